/**
 * @file fake_fleet.h
 * A whole deployment on a virtual clock: a store of rows, workers, and VMs
 * that run the real entry and holder. Faults are switches; a checker reads
 * only what the workers, the store and the callers saw.
 */
#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include <glib.h>
#include <jansson.h>
#include "corianderstair/config_follower.h"
#include "corianderstair/entry.h"
#include "corianderstair/fleet.h"
#include "corianderstair/members.h"

#define FAKE_VMS_MAX 160
#define FAKE_WORKERS_MAX 1200

typedef struct fake_fleet fake_fleet;

/** Switches of one VM's links. */
typedef struct {
    bool store_cut;     /**< calls to the store hang */
    bool store_refuses; /**< the store answers 503 */
    double store_lost;  /**< share of changes done and not answered */
    double store_late;  /**< share of changes done seconds later */
    bool workers_cut;   /**< orders hang */
    bool peers_cut;     /**< messages from and to other VMs are lost */
    double orders_late; /**< share of orders not answered and done later */
} fake_vm_faults;

/** What the outside no longer does, to see that the checker notices. */
typedef enum {
    FAKE_ALL_KEPT,
    FAKE_WITHOUT_CONDITIONS, /**< the store applies every change */
    FAKE_WITHOUT_EPOCHS,     /**< workers obey every holder */
    FAKE_WITHOUT_OLD_RUNS    /**< workers start what was stopped or ended */
} fake_removal;

typedef struct {
    uint32_t vms;
    uint32_t workers;
    uint32_t racks;
    uint64_t seed;
    fake_removal removed;
    /** More workers than these are called through other VMs; 0 for any
        number directly. */
    uint32_t direct_max;
    /** Costs on a whole core: of a call, of a message between VMs. */
    int64_t call_us;
    int64_t message_us;
    /** Shares of a core in thousandths, by VM in turn; 0 ends the list, and
        an empty one means whole cores. */
    int64_t cpu_milli[4];
} fake_fleet_settings;

fake_fleet *fake_fleet_create(const fake_fleet_settings *settings);
void fake_fleet_destroy(fake_fleet *world);

/**
 * The store and the workers for callers of another process, in a world
 * without VMs. Jobs are known from their rows and run as long as estimated.
 */
const cs_store_port *fake_fleet_store(fake_fleet *world);
const cs_worker_port *fake_fleet_workers(fake_fleet *world);
const cs_adviser_port *fake_fleet_adviser(fake_fleet *world);
/** Tells where a worker is reached. */
void fake_fleet_set_address(fake_fleet *world, uint32_t worker,
                            const char *address);

/** Lets virtual time pass. */
void fake_fleet_run(fake_fleet *world, int64_t us);
/** The same, but stops before it once so many calls have been made. */
void fake_fleet_run_to_call(fake_fleet *world, int64_t us, uint64_t call);
/** @return the calls to the store and the orders made so far */
uint64_t fake_fleet_calls(const fake_fleet *world);
int64_t fake_fleet_now_us(const fake_fleet *world);

/** Switches of a VM, or with vm < 0 of all. */
void fake_fleet_set_faults(fake_fleet *world, int32_t vm,
                           const fake_vm_faults *faults);

/** Kills the process of a VM; it starts again after down_us. */
void fake_fleet_kill(fake_fleet *world, uint32_t vm, int64_t down_us);
/** Freezes the process of a VM. */
void fake_fleet_freeze(fake_fleet *world, uint32_t vm, int64_t us);
/** Asks the process to stop; it starts again once it has ended. */
void fake_fleet_stop(fake_fleet *world, uint32_t vm);
/** @return the epoch as the VM knows it: one more with each takeover */
uint64_t fake_fleet_epoch(const fake_fleet *world, uint32_t vm);
/** @return the VM that holds the cell, or -1 */
int32_t fake_fleet_holder(const fake_fleet *world);

/** Drops the store's history. */
void fake_fleet_compact(fake_fleet *world);
/** Writes the configuration with another priority for a queue. */
void fake_fleet_configure(fake_fleet *world, uint64_t version);

/** Kills a worker; it comes back as another incarnation of the same id. */
void fake_fleet_crash_worker(fake_fleet *world, uint32_t worker,
                             int64_t down_us);
/** Kills a worker for good; its entry goes. */
void fake_fleet_remove_worker(fake_fleet *world, uint32_t worker);
/** Cuts a worker off from all VMs; it runs on. */
void fake_fleet_cut_worker(fake_fleet *world, uint32_t worker, bool cut);
/** Makes a worker fail every run that starts there. */
void fake_fleet_spoil_worker(fake_fleet *world, uint32_t worker, bool spoilt);
/** Sets a worker's speed. */
void fake_fleet_set_speed(fake_fleet *world, uint32_t worker, double speed);

/** What a job of the test needs besides its spec. */
typedef struct {
    cs_job_spec spec; /**< moved */
    int64_t run_ms;   /**< of each task at speed 1 */
    bool hopeless;    /**< every run fails by its own fault */
} fake_job;

/** Submits a job at a VM. The reply's type is kept in *reply, or -1. */
void fake_fleet_submit(fake_fleet *world, uint32_t vm, fake_job *job,
                       int32_t *reply);
/** Cancels a job at a VM. */
void fake_fleet_cancel(fake_fleet *world, uint32_t vm, const char *id,
                       int32_t *reply);
/** Asks for a state at a VM; *state is a cs_progress_state, or -1. */
void fake_fleet_ask(fake_fleet *world, uint32_t vm, const char *id,
                    int32_t *reply, int32_t *state);

/** @return the state in the store, or -1 without a row */
int32_t fake_fleet_state(const fake_fleet *world, const char *id);

/** @return whether the store holds the job */
bool fake_fleet_is_stored(const fake_fleet *world, const char *id);

/** @return runs started of a job's tasks */
uint32_t fake_fleet_starts(const fake_fleet *world, const char *id);

/** @return the first violated rule, or NULL; owned by the world */
const char *fake_fleet_violation(const fake_fleet *world);

/** @return whether no run exists and no end waits to be acknowledged */
bool fake_fleet_is_quiet(const fake_fleet *world);

/** @return jobs that wait in a queue, as a VM would answer */
uint32_t fake_fleet_waiting(const fake_fleet *world, uint32_t vm,
                            const char *queue);

/** @return the most calls that a VM had open at once */
uint32_t fake_fleet_most_open(const fake_fleet *world, uint32_t vm);

/** @return what a VM's process tells operators, a new reference */
json_t *fake_fleet_status(const fake_fleet *world, uint32_t vm);

/** @return a counter of a VM's process */
int64_t fake_fleet_counter(const fake_fleet *world, uint32_t vm,
                           const char *name);

/** @return the id of a worker with runs or ends, or NULL */
const char *fake_fleet_unquiet(const fake_fleet *world);

/** Fills a job of one step; the id is made from a number. */
void fake_job_init(fake_job *job, uint32_t number, uint32_t queue,
                   uint32_t tasks, int64_t accelerators, int64_t run_ms);

#endif
