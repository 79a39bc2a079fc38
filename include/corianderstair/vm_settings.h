/**
 * @file vm_settings.h
 * Settings of a process, which the platform provides: addresses, limits of its
 * VM, and time bounds of the deployment.
 */
#ifndef CS_VM_SETTINGS_H
#define CS_VM_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

/** evacuate_ms of a deployment whose settings do not contain it; the figure of
    docs/design/heavy-load.md. */
#define CS_EVACUATE_MS 5000

/** Time bounds of the deployment, all in milliseconds. */
typedef struct {
    int64_t worker_lease_ms; /**< longest lease that a worker grants */
    int64_t stop_ms;         /**< longest time that a run takes to stop */
    int64_t grace_ms;        /**< between SIGTERM and SIGKILL */
    int64_t config_apply_ms; /**< until a new configuration is in force */
    int64_t restore_ms;      /**< work that a resumed run has to repeat */
    int64_t retention_ms;    /**< how long ended jobs can be queried */
    /** Until a task that a fault has ended runs again, if there is room for
       it; 0 if the settings do not state it. */
    int64_t restart_ms;
    /** Until no task is started in an evacuated zone. */
    int64_t evacuate_ms;
    bool evacuate_given; /**< the settings contain evacuate_ms */
} cs_vm_bounds;

/** The settings of a process. Addresses are "IP:PORT". */
typedef struct {
    char name[64];           /**< of the VM */
    char zone[64];           /**< availability zone of the VM */
    char caller_address[48]; /**< listens for the job API */
    char ready_address[48];  /**< listens for readiness checks */
    char peer_address[48];   /**< listens for peers, operators; may be empty */
    char link_address[48];   /**< listens for VM messages; may be empty */
    char store_address[48];
    char adviser_address[48]; /**< empty if there is no adviser */
    char seeds[3][48];        /**< peer addresses of some VMs; may be empty */
    int64_t
        max_descriptors;  /**< limit of open files and sockets; 0 if unknown */
    int64_t memory_bytes; /**< memory of the VM; 0 if unknown */
    int64_t
        row_bytes;    /**< longest value of a row in the store; 0 if unknown */
    double cpu_share; /**< share of a core that the VM has; 0 if unknown */
    int64_t worker_heartbeat_ms; /**< how often a worker writes its entry in
                                      the store; 0 if unknown */
    cs_vm_bounds bounds;
} cs_vm_settings;

#endif
