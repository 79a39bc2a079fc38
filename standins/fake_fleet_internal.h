/* Declarations shared by the source files of the simulated deployment. */
#ifndef FAKE_FLEET_INTERNAL_H
#define FAKE_FLEET_INTERNAL_H

#include "fake_fleet.h"
#include "corianderstair/dispatch.h"
#include "corianderstair/errors.h"
#include "corianderstair/executor.h"
#include "corianderstair/job_progress.h"

#include <string.h>

/* Delay of a message in one direction. */
#define FAKE_NETWORK_DELAY_US (500)
#define FAKE_WORKER_LEASE_MS 6000
/* Bound for the last start in an evacuated zone. */
#define FAKE_EVACUATE_MS 5000
#define FAKE_DEFAULT_STOP_US (300 * CS_MS_US)
/* A run of a gang ends if the gang is not complete after this time. */
#define FAKE_GANG_TIMEOUT_US (3000 * CS_MS_US)
/* Wall clock at virtual time 0. */
#define FAKE_WALL_CLOCK_START_US (INT64_C(1700000000) * CS_SEC_US)
/* "attempts" of every queue in fake_fleet_configure(). */
#define FAKE_MAX_ATTEMPTS 3
/* Accelerators of a worker, as in the entry that it publishes. */
#define FAKE_WORKER_ACCELERATORS 8
#define FAKE_TICKET_VALIDITY_MS 3000
/* The queue whose starts need a ticket. */
#define FAKE_TICKET_QUEUE "q3"

typedef void (*fake_event_fn)(void *user_data);

struct fake_row {
    char *table;
    char *part;
    char *key;
    GByteArray *value;
    uint64_t version;
    bool deleted;
};

/* See fake_fleet_set_store_lag(). */
struct fake_store_lag {
    int32_t vm;
    const char *table;
    int64_t us;
};

struct fake_store {
    GHashTable *rows;   /* "table part key" to struct fake_row */
    GPtrArray *history; /* of struct fake_row, copies by version */
    uint64_t version;
    GArray *version_times; /* of int64_t, when version 1 and so on was made */
    struct fake_store_lag lag;
    uint64_t compacted_version; /* feeds get no changes up to this version */
    GPtrArray *waiting_feeds;   /* of struct store_call */
    GHashTable *table_versions; /* table to the uint64_t of its last change */
    int64_t delay_us;           /* of each answer, by a fault */
    int64_t read_capacity_us;   /* when the next read can be executed */
    int64_t link_free_us;       /* when the store's link has sent all bytes */
    fake_store_load load;
    uint32_t rejected_changes; /* beyond a limit of the store */
};

struct fake_run {
    char task[64];
    uint32_t run;
    char job[CS_JOB_ID_BYTES];
    uint32_t step;
    uint64_t epoch;
    int64_t started_us;
    int64_t work_started_us; /* 0 while it waits for its gang */
    int64_t end_us;          /* time at which the work is done or fails */
    int64_t stop_us;         /* time at which it stops; 0 if not requested */
};

struct fake_ended_run {
    uint64_t sequence; /* of the ended run on its worker, from 1 */
    char task[64];
    uint32_t run;
    cs_run_outcome outcome;
    bool is_lost; /* counted by fake_fleet_worker_lose_results() */
};

struct fake_fleet_worker {
    fake_fleet *deployment;
    uint32_t number;
    char id[32];
    char address[32];
    uint64_t incarnation_ms; /* wall clock at the start of the process */
    int64_t started_us;
    double clock_rate;       /* of its steady clock, which counts its lease */
    uint64_t highest_epoch;  /* orders with a lower epoch are refused */
    int64_t hidden_until_us; /* orders with a higher one are lost before */
    uint64_t next_sequence;  /* of struct fake_ended_run */
    int64_t lease_end_us;    /* 0 without a lease */
    bool up;
    bool disconnected;
    bool draining;
    bool failing;   /* every run fails */
    bool unhealthy; /* every start is rejected */
    double speed;
    uint64_t entry_sequence;       /* "seq" of its entry in the store */
    uint32_t silent_intervals;     /* since it last wrote its entry */
    GPtrArray *runs;               /* of struct fake_run */
    GArray *ended_runs;            /* not acknowledged, fake_ended_run */
    GHashTable *finished_runs;     /* task to its last ended or stopped run */
    GPtrArray *waiting_heartbeats; /* of struct order */
    int64_t last_extended_us;
};

/* How calls of a VM reach the store: directly or relayed through a peer. */
struct fake_store_route {
    struct fake_vm *vm;
    struct fake_vm *relay; /* the VM itself if direct */
    cs_store_port port;
};

struct fake_vm {
    fake_fleet *deployment;
    uint32_t number;
    char name[16];
    bool up;
    int64_t frozen_until_us;
    int64_t stop_requested_us; /* 0 if no stop was requested */
    fake_vm_faults faults;
    struct fake_store_route routes[FAKE_VMS_MAX]; /* by the relay's number */
    cs_worker_port workers;
    cs_adviser_port adviser;
    uint32_t max_pending_calls;
    cs_peer_link_port link;
    uint64_t incarnation; /* incremented at each start of the process */
    uint32_t connections[FAKE_VMS_MAX]; /* closed so far, by receiver */
    int64_t cpu_milli;
    int64_t busy_until_us;
    int64_t link_kbps;    /* 0 unlimited */
    int64_t link_free_us; /* when the link has carried all bytes sent so far */
    bool stall_next_transfer;
    cs_executor *executor;
    cs_dispatch *dispatch;
    GHashTable *pending_calls; /* call to struct fake_pending_call */
    cs_counters *counters;
    cs_store_router *router;
    cs_members *members;
    cs_fleet_state state;
    cs_config_follower *follower;
    cs_entry *entry;
    cs_fleet *fleet;
};

/* What the checker knows of a job since its submission. */
struct fake_job_record {
    fake_job job;
    GHashTable *done_tasks;     /* task to its run that ended as done */
    GHashTable *lost_results;   /* tasks done on a worker that lost the result
                                   before it was acknowledged */
    GHashTable *failure_counts; /* task to its number of failed runs */
    GHashTable *lost_failure_counts; /* of these, the ones that the worker lost
                                        before they were acknowledged */
    uint32_t start_count;
    bool accepted;
    bool cancelled;
};

struct fake_fleet {
    int64_t now_us;
    uint64_t last_sequence; /* given to an event or a pending call */
    GSequence *events;
    GRand *random;
    struct fake_store store;
    struct fake_vm vms[FAKE_VMS_MAX];
    uint32_t vm_count;
    struct fake_fleet_worker workers[FAKE_WORKERS_MAX];
    uint32_t worker_count;
    uint32_t rack_count;
    fake_disabled_protection disabled_protection;
    uint32_t organisations; /* see fake_fleet_set_organisations() */
    uint32_t queue_attempts[FAKE_QUEUES]; /* see fake_fleet_set_queue() */
    uint32_t min_attempts; /* of any queue in any configuration */
    uint32_t max_direct_workers;
    int64_t call_us;
    int64_t message_us;
    bool messages_wait; /* see fake_fleet_settings */
    uint32_t worker_zones;
    int64_t stop_us; /* time that a run takes to stop */
    bool slow_clocks;
    bool zone_cut[FAKE_WORKER_ZONES_MAX]; /* see fake_fleet_cut_zone() */
    /* When the row of a zone was written, or -1. */
    int64_t evacuated_us[FAKE_WORKER_ZONES_MAX];
    uint32_t zone_starts[FAKE_WORKER_ZONES_MAX];
    int64_t config_apply_ms;
    int64_t store_kbps;
    uint32_t store_reads_per_s;
    uint32_t feed_rows_max;
    int64_t row_bytes;
    int64_t memory_bytes;
    bool evacuate_not_given;
    bool restart_not_given;
    bool late_orders_outlive_workers;
    bool shutting_down;               /* messages are freed, not delivered */
    uint64_t call_count;              /* store changes and worker orders */
    uint32_t pending_advice_requests; /* not yet answered by the adviser */
    GHashTable *jobs;                 /* id to struct fake_job_record */
    char *violation;                  /* the first one */
    uint32_t violation_count;
    fake_observer observer; /* NULL for none */
    void *observer_data;
};

/* A call that has not been answered. */
struct fake_pending_call {
    fake_event_fn abort;
    uint64_t sequence;
};

/* fake_fleet.c */
cs_now fake_vm_now(void *user_data); /* takes a struct fake_vm */
/* Returns the VM's first call with this function behind a number, and sets
   that to the call's; NULL if there is none. */
void *fake_pending_call_next(const struct fake_vm *vm,
                             fake_event_fn abort_call, uint64_t *sequence);
/* Registers a call of a VM, to be aborted when the VM's process ends. */
void fake_pending_call_add(struct fake_vm *vm, void *call,
                           fake_event_fn abort_call);
/* Schedules an event at a virtual time, or now if that has passed. */
void fake_schedule(fake_fleet *deployment, int64_t at_us,
                   fake_event_fn callback, void *user_data);
/* Records a violated rule. Only the text of the first one is kept. */
void fake_record_violation(fake_fleet *deployment, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Returns whether the process of a VM is suspended. What arrives meanwhile is
   delivered once it runs again, before its timeouts. */
bool fake_vm_is_frozen(const struct fake_vm *vm);
/* Returns whether zones reach each other. */
bool fake_zones_are_connected(const fake_fleet *deployment, uint32_t first,
                              uint32_t second);
/* Returns the zone of a worker. */
uint32_t fake_worker_zone(const struct fake_fleet_worker *worker);
/* Passes an event to the observer of the deployment. */
void fake_observe(const fake_fleet *deployment, const char *event,
                  const char *fmt, ...) __attribute__((format(printf, 3, 4)));
/* Returns true with the given probability. */
bool fake_random_bool(fake_fleet *deployment, double probability);

/* fake_fleet_store.c */
void fake_store_init(fake_fleet *deployment);
void fake_store_dispose(fake_fleet *deployment);
void fake_store_port(struct fake_vm *vm);
void fake_store_put(fake_fleet *deployment, const char *table,
                    const char *part, const char *key, const void *value,
                    size_t size);
void fake_store_remove(fake_fleet *deployment, const char *table,
                       const char *part, const char *key);
const struct fake_row *fake_store_get(const fake_fleet *deployment,
                                      const char *table, const char *part,
                                      const char *key);

/* fake_fleet_worker.c */
void fake_fleet_worker_init(fake_fleet *deployment, uint32_t number);
void fake_fleet_worker_dispose(struct fake_fleet_worker *worker);
void fake_fleet_worker_port(struct fake_vm *vm);
/* Ends the runs whose time has come and checks the worker's lease. */
void fake_fleet_worker_advance(struct fake_fleet_worker *worker);
/* Writes the worker's entry to the store. */
void fake_fleet_worker_publish(struct fake_fleet_worker *worker);
/* Ends every run of the worker as lapsed, with the rest of its gang. */
void fake_fleet_worker_lapse_runs(struct fake_fleet_worker *worker);
/* Breaks the worker's connections: orders that wait for an answer get none. */
void fake_fleet_worker_cut_connections(struct fake_fleet_worker *worker);
/* Marks the unacknowledged results of the worker as lost, for the checker. */
void fake_fleet_worker_lose_results(struct fake_fleet_worker *worker);

/* fake_fleet_link.c */
void fake_link_address(char *out, size_t size, uint32_t vm);
/* Adds CPU time to the work of a VM. Returns when the VM will be done. */
int64_t fake_charge_cpu(struct fake_vm *vm, int64_t cost_us);
void fake_link_start(struct fake_vm *vm, uint32_t max_direct_workers);
void fake_link_close(struct fake_vm *vm);
void fake_link_dispose(struct fake_vm *vm);
void fake_link_tick(struct fake_vm *vm);

/* fake_fleet_adviser.c */
void fake_adviser_port(struct fake_vm *vm);
bool fake_adviser_allows(const struct fake_fleet_worker *worker,
                         const char *step);
bool fake_adviser_accepts(const struct fake_fleet_worker *worker,
                          const char *step, const char *ticket);

/* fake_fleet_check.c */
/* ordered_us is when the order arrived, or would have without a fault of the
   network. */
void fake_check_start(fake_fleet *deployment, struct fake_fleet_worker *worker,
                      const struct fake_run *run, int64_t ordered_us);
/* Increments the count of a task. */
void fake_count_task(GHashTable *counts, const char *task);
void fake_check_end(fake_fleet *deployment, struct fake_fleet_worker *worker,
                    const struct fake_run *run, cs_run_outcome outcome);
/* Records a job that another process wrote to the store. */
void fake_check_job(fake_fleet *deployment, const GByteArray *value);
void fake_check_progress(fake_fleet *deployment, const char *id,
                         const GByteArray *value);
struct fake_job_record *fake_job_record_add(fake_fleet *deployment,
                                            const fake_job *job);
/* Returns NULL if no job with this id is known. */
struct fake_job_record *fake_job_record_find(fake_fleet *deployment,
                                             const char *id);

#endif
