/**
 * @file fake_fleet.h
 * Simulates a whole deployment on a virtual clock. The store, the workers and
 * the placement adviser are fakes; each VM runs the real entry and cell holder
 * code. Tests inject faults with setter functions. A checker verifies the
 * scheduling rules from what the workers, the store and the callers observe,
 * never from the state of the code under test.
 *
 * All times that end in _us are microseconds of the virtual clock, which
 * starts at 0.
 */
#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include <glib.h>
#include <jansson.h>
#include "corianderstair/config_follower.h"
#include "corianderstair/entry.h"
#include "corianderstair/fleet.h"
#include "corianderstair/members.h"

#define FAKE_VMS_MAX 300
#define FAKE_WORKERS_MAX 3000

typedef struct fake_fleet fake_fleet;

/** Faults on the network links of one VM; all zero means none. */
typedef struct {
    bool store_unreachable; /**< calls to the store never arrive */
    bool store_refuses;     /**< the store answers 503 */
    bool config_unanswered; /**< calls for the table of the configuration are
                                 not answered */
    double unanswered_changes_share; /**< share of changes applied but never
                                        answered */
    double late_changes_share; /**< share of changes applied seconds later and
                            never answered */
    double lost_changes_share; /**< share of changes that never arrive */
    bool workers_unreachable;  /**< orders to workers never arrive */
    bool peers_unreachable;    /**< messages from and to other VMs are lost */
    double late_orders_share;  /**< share of orders executed seconds later and
                              never  answered */
    int64_t late_order_us;     /**< how much later; 0 for a random delay */
    double unanswered_orders_share; /**< share of orders executed but never
                                       answered */
    int64_t order_delay_us; /**< maximum delay of an order, which may be
                               overtaken by later ones */
} fake_vm_faults;

/**
 * A protection that the fake store or the fake workers leave out. Tests use
 * it to verify that the checker detects the violations that follow.
 */
typedef enum {
    FAKE_ALL_PROTECTIONS,
    FAKE_WITHOUT_CONDITION_CHECK, /**< the store ignores conditions */
    FAKE_WITHOUT_EPOCH_CHECK,     /**< workers accept stale epochs */
    FAKE_WITHOUT_OLD_RUN_CHECK,   /**< workers restart finished runs */
    FAKE_WITHOUT_EVACUATIONS /**< the store hides the rows of evacuations */
} fake_disabled_protection;

typedef struct {
    uint32_t vms;
    uint32_t workers;
    uint32_t racks;
    uint64_t seed;
    fake_disabled_protection disabled_protection;
    /** Maximum number of workers that the holder calls directly; with more
        workers, it sends orders through other VMs. 0 means no maximum. */
    uint32_t max_direct_workers;
    /** CPU time of a call and of a message between VMs, on a full core. */
    int64_t call_us;
    int64_t message_us;
    /** Messages to a VM that cannot be reached wait until its address answers,
        possibly by another process, unless the sender ends or closes the
        connection. Otherwise they are lost. */
    bool messages_wait;
    /** CPU shares in thousandths of a core, assigned to the VMs round-robin;
        0 ends the list, and an empty list gives every VM a full core. */
    int64_t cpu_milli[4];
    /** Bandwidth of the VMs' links in kbit/s, assigned as cpu_milli; an empty
        list gives every VM an unlimited link. */
    int64_t link_kbps[4];
    /** Bound of the VMs' settings; 0 means 2,000. */
    int64_t config_apply_ms;
    /** Bandwidth of the store's link in kbit/s; 0 means unlimited. */
    int64_t store_kbps;
    /** Maximum reads and polls per second; 0 means unlimited. */
    uint32_t store_reads_per_s;
    /** Maximum rows of an answer to a poll; 0 means unlimited. */
    uint32_t feed_rows_max;
    /** Maximum bytes of a row's value in a change; 0 means 65,536. */
    int64_t row_bytes;
    /** Memory of a VM by its settings; 0 if they do not contain it. */
    int64_t memory_bytes;
    /** Orders that are executed late reach the next incarnation of a worker,
        which has the same id. They are lost with the former one otherwise. */
    bool late_orders_outlive_workers;
    /** The VMs' settings do not contain the bound of evacuations. */
    bool evacuate_not_given;
    /** The VMs' settings do not contain the bound of restarts, 14 s, as those
        of former builds do not. */
    bool restart_not_given;
    /** Number of zones of the workers, at most FAKE_WORKER_ZONES_MAX; 0 means
        FAKE_ZONES. */
    uint32_t worker_zones;
    /** Time that a run takes to stop; 0 means 300 ms. */
    int64_t stop_us;
    /** The steady clock of every second worker is 2% slow. */
    bool slow_clocks;
} fake_fleet_settings;

/**
 * Receives an event that the workers or the store observe.
 * @param event a name as in cs_log_event()
 */
typedef void (*fake_observer)(void *user_data, const char *event,
                              const char *detail);

/** What the store has done since the start. */
typedef struct {
    uint64_t reads;      /**< reads and polls that it has received */
    uint64_t sent_bytes; /**< of answers to reads and polls */
} fake_store_load;

/**
 * Creates a deployment and starts all its VMs and workers.
 * @return the deployment, to be freed with fake_fleet_destroy()
 */
fake_fleet *fake_fleet_create(const fake_fleet_settings *settings);
void fake_fleet_destroy(fake_fleet *deployment);

/**
 * Ports to the store, the workers and the adviser for requests from another
 * process, in a deployment created without VMs. The checker learns of jobs
 * from their rows in the store; a task runs for its estimated time.
 * @return the port, owned by the deployment
 */
const cs_store_port *fake_fleet_store(fake_fleet *deployment);
const cs_worker_port *fake_fleet_workers(fake_fleet *deployment);
const cs_adviser_port *fake_fleet_adviser(fake_fleet *deployment);
/** Sets the "IP:PORT" at which a worker is reached. */
void fake_fleet_set_address(fake_fleet *deployment, uint32_t worker,
                            const char *address);

/** Sets the receiver of the events; NULL for none. */
void fake_fleet_set_observer(fake_fleet *deployment, fake_observer observer,
                             void *user_data);

/** @return the "IP:PORT" of a worker, owned by the deployment */
const char *fake_fleet_address(const fake_fleet *deployment, uint32_t worker);

/** Advances virtual time by a duration. */
void fake_fleet_run(fake_fleet *deployment, int64_t us);
/**
 * Advances virtual time by a duration, but stops early once the number of
 * store changes and worker orders since the start reaches call.
 */
void fake_fleet_run_to_call(fake_fleet *deployment, int64_t us, uint64_t call);
/** @return number of store changes and worker orders sent so far */
uint64_t fake_fleet_call_count(const fake_fleet *deployment);
int64_t fake_fleet_now_us(const fake_fleet *deployment);

/** Sets the faults of a VM, or of all VMs and of the calls that come from
   another process if vm < 0. */
void fake_fleet_set_faults(fake_fleet *deployment, int32_t vm,
                           const fake_vm_faults *faults);

/** Kills the process of a VM; it restarts after down_us. */
void fake_fleet_kill(fake_fleet *deployment, uint32_t vm, int64_t down_us);
/** Suspends the process of a VM for a duration. */
void fake_fleet_freeze(fake_fleet *deployment, uint32_t vm, int64_t us);
/** Requests a graceful stop of a VM's process; it restarts after it ends. */
void fake_fleet_stop(fake_fleet *deployment, uint32_t vm);
/** @return the cell epoch that the VM knows; each takeover increments it */
uint64_t fake_fleet_epoch(const fake_fleet *deployment, uint32_t vm);
/** @return index of the VM that holds the cell, or -1 if none does */
int32_t fake_fleet_holder(const fake_fleet *deployment);

/**
 * Deletes the store's change history, so that feeds that have not read it all
 * fail with CS_E_TOO_OLD.
 */
void fake_fleet_compact(fake_fleet *deployment);
/** Sets the number of organisations of configurations that are written from
 * now on; the first has a guarantee. It is 1 before. */
void fake_fleet_set_organisations(fake_fleet *deployment, uint32_t count);
/** Queues of a configuration: "q0" and so on. */
#define FAKE_QUEUES 4
/** Sets the attempts of a queue in configurations that are written from now
 * on; it is not in them with 0. They are 3 before. */
void fake_fleet_set_queue(fake_fleet *deployment, uint32_t queue,
                          uint32_t attempts);
/** Writes an entry among those of the workers, as another writer may. */
void fake_fleet_put_entry(fake_fleet *deployment, const char *key,
                          const char *text);
/** Removes the row of a job, as the holder does first when it has expired. */
void fake_fleet_remove_job_row(fake_fleet *deployment, const char *id);
/** Removes a progress row, as only another writer may. */
void fake_fleet_remove_progress_row(fake_fleet *deployment, const char *key);
/** Carries out a VM's first write of its own row again, as the store may do
    seconds later if the VM got no answer. */
void fake_fleet_repeat_member_write(fake_fleet *deployment, uint32_t vm);
/** Rewrites the progress rows of a job as the single row that former builds
    wrote. */
void fake_fleet_merge_progress(fake_fleet *deployment, const char *id);
/** Overwrites a row of the cell's part in the store. */
void fake_fleet_put_cell_row(fake_fleet *deployment, const char *key,
                             const void *value, size_t size_bytes);
/** Rewrites the row of the cell's epoch as a former build wrote it. */
void fake_fleet_put_former_epoch_row(fake_fleet *deployment);
/** Changes the settings of a VM to contain the bound of restarts, or not. */
void fake_fleet_set_restart_given(fake_fleet *deployment, uint32_t vm,
                                  bool given);
/** Writes the configuration to the store under a version number. */
void fake_fleet_configure(fake_fleet *deployment, uint64_t version);

/** Number of zones; VM or worker n is in zone n modulo this number. */
#define FAKE_ZONES 3
/** Maximum number of zones of the workers of a deployment without VMs. */
#define FAKE_WORKER_ZONES_MAX 8
/**
 * Writes or removes the row that evacuates a zone. The checker records a
 * violation if a task is started there later than evacuate_ms after the write.
 */
void fake_fleet_evacuate(fake_fleet *deployment, uint32_t zone, bool evacuate);
/** Writes a configuration with further queues, of about 540 bytes on the wire
 * each. */
void fake_fleet_configure_queues(fake_fleet *deployment, uint64_t version,
                                 uint32_t further_queues);
/** @return version of the configuration that a VM has applied; 0 for none */
uint64_t fake_fleet_config_version(const fake_fleet *deployment, uint32_t vm);
/** Delays the store's answers by a duration; 0 ends the delay. */
void fake_fleet_set_store_delay(fake_fleet *deployment, int64_t us);
/**
 * Lets reads and polls return the rows and the version of an earlier time; the
 * history that this needs is kept. Changes and their conditions do not lag.
 * @param vm that sends the calls to the store, or all VMs if vm < 0
 * @param table the only one that lags, or NULL for all; not copied
 * @param us 0 ends the lag
 */
void fake_fleet_set_store_lag(fake_fleet *deployment, int32_t vm,
                              const char *table, int64_t us);
/**
 * Lets the transfer of the next answer of more than 64 KB to a VM stall after
 * its first half.
 */
void fake_fleet_stall_transfer(fake_fleet *deployment, uint32_t vm);
/** @return the load of the store since the start */
fake_store_load fake_fleet_store_load(const fake_fleet *deployment);

/**
 * Kills a worker; after down_us it returns with the same id and a new
 * incarnation.
 */
void fake_fleet_crash_worker(fake_fleet *deployment, uint32_t worker,
                             int64_t down_us);
/** Kills a worker permanently and deletes its entry from the store. */
void fake_fleet_remove_worker(fake_fleet *deployment, uint32_t worker);
/** Lets a worker announce that it leaves; its runs continue. */
void fake_fleet_drain_worker(fake_fleet *deployment, uint32_t worker);
/** Deletes the entry of a worker that runs on, as the store does after
    silence. Until the worker is disconnected it writes the entry again. */
void fake_fleet_expire_entry(fake_fleet *deployment, uint32_t worker);
/** Cuts a zone off from the other zones and from the store, or restores it.
   Its VMs reach its workers, and its runs continue. */
void fake_fleet_cut_zone(fake_fleet *deployment, uint32_t zone, bool cut);
/** Cuts or restores the network of a worker; its runs continue. */
void fake_fleet_set_worker_disconnected(fake_fleet *deployment,
                                        uint32_t worker, bool cut);
/**
 * Cuts a worker off from the store, and from holders of a higher epoch than
 * any that has ordered it so far, for a duration. The holder of that time
 * reaches it, so that only it extends leases there.
 */
void fake_fleet_hide_worker(fake_fleet *deployment, uint32_t worker,
                            int64_t us);
/**
 * Starts a run on a worker by an order that no VM has sent, and lets the
 * worker list it at once.
 * @param task "JOB.OCCURRENCE.STEP.INDEX" of a submitted job
 */
void fake_fleet_start_run(fake_fleet *deployment, uint32_t worker,
                          const char *task, uint32_t run);
/**
 * Ends a run on a worker as done. The answer to the heartbeat that waits for
 * an end there is late, so that only the next one lists it.
 */
void fake_fleet_end_run_unlisted(fake_fleet *deployment, uint32_t worker,
                                 const char *task);
/** @return whether a run of the task is on any worker */
bool fake_fleet_task_runs(const fake_fleet *deployment, const char *task);
/** Sets whether every run on a worker fails. */
void fake_fleet_set_worker_failing(fake_fleet *deployment, uint32_t worker,
                                   bool failing);
/** Lets all runs on a worker fail now. */
void fake_fleet_fail_runs(fake_fleet *deployment, uint32_t worker);
/** Sets whether a worker is unhealthy: it cannot serve orders to start a run,
    and does nothing then. */
void fake_fleet_set_worker_unhealthy(fake_fleet *deployment, uint32_t worker,
                                     bool unhealthy);
/** Sets a worker's speed; tasks at speed 2 take half their run_ms. */
void fake_fleet_set_speed(fake_fleet *deployment, uint32_t worker,
                          double speed);

/** A job together with how its simulated tasks behave. */
typedef struct {
    cs_job_spec spec;      /**< fake_fleet_submit() takes ownership */
    int64_t run_ms;        /**< run time of each task at speed 1 */
    bool always_fails;     /**< every run fails on any worker */
    uint32_t organisation; /**< index of the submitting organisation */
} fake_job;

/**
 * Submits a job to a VM.
 * @param job its spec is moved
 * @param reply set to the cs_reply_type once the VM replies, until then -1;
 *              may be NULL
 */
void fake_fleet_submit(fake_fleet *deployment, uint32_t vm, fake_job *job,
                       int32_t *reply);
/** Writes or removes the row that evacuates a zone, which need not exist. */
void fake_fleet_put_evacuation(fake_fleet *deployment, const char *zone,
                               bool evacuate);
/** Sends a cancel request to a VM; reply as in fake_fleet_submit(). */
void fake_fleet_cancel(fake_fleet *deployment, uint32_t vm, const char *id,
                       int32_t *reply);
/**
 * Sends a status request to a VM.
 * @param reply as in fake_fleet_submit(), but not NULL
 * @param state set to the cs_progress_state of the reply, until then -1
 */
void fake_fleet_query_status(fake_fleet *deployment, uint32_t vm,
                             const char *id, int32_t *reply, int32_t *state);

/**
 * Asks a VM for the length of a queue.
 * @param reply as in fake_fleet_submit(), but not NULL
 */
void fake_fleet_query_queue(fake_fleet *deployment, uint32_t vm,
                            const char *queue, int32_t *reply);

/** @return the cs_progress_state in the store, or -1 if there is no row */
int32_t fake_fleet_job_state(const fake_fleet *deployment, const char *id);

/** @return whether the store has a row for the job */
bool fake_fleet_job_is_stored(const fake_fleet *deployment, const char *id);

/** @return whether the store has a tombstone for the id, which is no job */
bool fake_fleet_has_tombstone(const fake_fleet *deployment, const char *id);

/** @return number of runs that workers of a zone have started */
uint32_t fake_fleet_zone_starts(const fake_fleet *deployment, uint32_t zone);

/** @return number of runs that workers started for the tasks of a job */
uint32_t fake_fleet_start_count(const fake_fleet *deployment, const char *id);

/**
 * @return description of the first violation that the checker found, or NULL;
 *         owned by the deployment
 */
const char *fake_fleet_violation(const fake_fleet *deployment);

/** @return number of violations that the checker found */
uint32_t fake_fleet_violation_count(const fake_fleet *deployment);

/** @return number of runs that workers have started */
uint64_t fake_fleet_total_starts(const fake_fleet *deployment);

/** @return whether no worker has a run or an unacknowledged ended run */
bool fake_fleet_is_idle(const fake_fleet *deployment);

/** @return number of rows in a table of the store */
uint32_t fake_fleet_row_count(const fake_fleet *deployment, const char *table);
/** @return number of changes rejected since the start because they exceed a
 *          limit of the store */
uint32_t fake_fleet_rejected_changes(const fake_fleet *deployment);
/** @return number of jobs that wait in a queue, as known to a VM */
uint32_t fake_fleet_waiting_jobs(const fake_fleet *deployment, uint32_t vm,
                                 const char *queue);

/**
 * @return maximum number of pending calls that a VM had when it sent an order
 *         to a worker
 */
uint32_t fake_fleet_max_pending_calls(const fake_fleet *deployment,
                                      uint32_t vm);

/** @return the status report of a VM's process, a new reference */
json_t *fake_fleet_status(const fake_fleet *deployment, uint32_t vm);

/** @return what a VM's process reports of a job, a new reference; NULL if it
 *          does not know the job */
json_t *fake_fleet_explain(const fake_fleet *deployment, uint32_t vm,
                           const char *id);

/** @return value of a metrics counter of a VM's process */
int64_t fake_fleet_counter(const fake_fleet *deployment, uint32_t vm,
                           const char *name);

/**
 * @return id of a worker with a run or an unacknowledged ended run, or NULL;
 *         owned by the deployment
 */
const char *fake_fleet_find_busy_worker(const fake_fleet *deployment);

/**
 * Initializes a job with one step. The id is the number in hexadecimal, the
 * queue is "q" and its number.
 */
void fake_job_init(fake_job *job, uint32_t number, uint32_t queue,
                   uint32_t tasks, int64_t accelerators, int64_t run_ms);

#endif
