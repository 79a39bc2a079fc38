/**
 * @file vm_settings.h
 * What the platform tells a process about its VM and the deployment.
 */
#ifndef CS_VM_SETTINGS_H
#define CS_VM_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

/** Time bounds of the deployment, all in milliseconds. */
typedef struct {
    int64_t worker_lease_ms; /**< longest lease that a worker gives */
    int64_t stop_ms;         /**< longest time that a stop takes */
    int64_t grace_ms;        /**< between SIGTERM and SIGKILL */
    int64_t config_ms;       /**< a configuration is in force after that */
    int64_t restore_ms;      /**< work that a resumed run has to repeat */
    int64_t retention_ms;    /**< states of ended jobs are answered */
} cs_vm_bounds;

typedef struct {
    char name[64];
    char zone[64];
    char caller_address[48]; /**< "IP:PORT" for callers */
    char ready_address[48];  /**< "IP:PORT" of the readiness check */
    char peer_address[48];   /**< "IP:PORT" for peers and operators; may be
                                  empty */
    char link_address[48];   /**< "IP:PORT" for messages between VMs; may be
                                  empty */
    char store_address[48];
    char adviser_address[48]; /**< empty where there is none */
    char seeds[3][48];   /**< peer addresses of some VMs; empty for none */
    int64_t descriptors; /**< most open files and sockets; 0 not told */
    double cpu_share;    /**< of a core that the VM has; 0 not told */
    cs_vm_bounds bounds;
} cs_vm_settings;

#endif
