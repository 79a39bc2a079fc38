/* Declarations shared by the files of the scheduler; not public. */
#ifndef CS_SCHEDULER_INTERNAL_H
#define CS_SCHEDULER_INTERNAL_H

#include <glib.h>
#include "corianderstair/scheduler.h"

/* Assumed maximum difference between a worker's clock and the local one. */
#define MAX_CLOCK_SKEW_US (250 * CS_MS_US)
#define WORKER_CALL_TIMEOUT_US CS_SEC_US
#define MAX_FAILED_ATTEMPTS 8
#define MAX_CYCLE_DECISIONS 64
#define CS_TOKEN_BYTES 48

/* How far a member's run has come, in this order. */
typedef enum {
    PHASE_ABSENT, /* the worker has no lease for the member */
    PHASE_RESERVED,
    PHASE_RUNNING,
    PHASE_EXITED
} member_phase;

struct gang;

/* The part of a gang that is placed on one worker. */
struct member {
    struct link *link;
    uint64_t mask; /* accelerators of the worker, one bit each */
    member_phase phase;
    int32_t exit_code; /* 0 succeeded, 1 failed, other: ended by the worker */
    int64_t progress_ms;
    int64_t lease_end_us; /* boot clock; upper bound of the lease's end */
    bool reported;        /* the worker has replied since the gang was placed
                             or adopted */
    bool ever_ran;
    bool refused;       /* the worker refused the lease or the start */
    bool start_refused; /* the worker refused the start */
};

typedef enum {
    GANG_QUEUED,    /* waits for the policy to place it */
    GANG_RESERVING, /* leases are being acquired on all members' workers */
    GANG_RECORDING, /* the attempt is being written to the store */
    GANG_STARTING,
    GANG_RUNNING,
    GANG_STOPPING,
    GANG_ADOPTING, /* found after a takeover; waits for the workers' reports */
    GANG_FINAL
} gang_state;

typedef enum {
    STOP_NONE,
    STOP_PREEMPTED,
    STOP_CANCELLED,
    STOP_REFUSED, /* a worker refused the lease or the start */
    STOP_FAILED,  /* a task failed */
    STOP_LOST     /* a worker is lost */
} stop_reason;

/* A job of the cell that has not ended, and its current attempt. */
struct gang {
    cs_scheduler *scheduler;
    uint64_t serial; /* distinguishes gangs of the same name across tenures */
    char name[CS_NAME_BYTES];
    gang_state state;
    stop_reason stop;  /* why the attempt is being stopped */
    cs_sched_job *job; /* NULL when final */
    GArray *members;   /* of struct member */
    cs_job_status status;
    bool dirty;   /* status differs from the one last written */
    bool pending; /* in scheduler->pending_gangs */
    bool writing; /* a write of the status is open */
    int64_t run_ms;
    bool restartable;
    bool checkpoint;
    int64_t grace_us;
    int64_t grace_end_us;      /* boot clock */
    uint32_t failures;         /* attempts that failed */
    int64_t adopt_deadline_us; /* boot clock; end of the wait for reports */
    int64_t start_us;          /* boot clock */
};

typedef enum {
    LINK_UNKNOWN, /* no reply since this process acquired the cell */
    LINK_READY,
    LINK_LOST /* no reply for a whole worker lease */
} link_state;

/* The connection to one worker and what is known of the worker. */
struct link {
    cs_scheduler *scheduler;
    char name[CS_NAME_BYTES];
    char address[CS_ADDRESS_BYTES];
    uint32_t index; /* of the worker in the policy */
    int64_t rack;
    int64_t accelerators;
    bool cordoned;
    bool declared; /* the worker resource exists */
    link_state state;
    bool call_open;
    bool call_due; /* a call is to be made before next_call_us */
    bool pending;  /* in scheduler->pending_links */
    int64_t next_call_us;
    int64_t last_reply_us;
    int64_t lease_version; /* of the worker's lease list as last received */
    GPtrArray *gangs;      /* with a member on this worker */
    GArray *orphans;       /* of struct orphan */
    json_t *sent_orders;   /* of the open call */
    int64_t sent_lease_end_us; /* boot clock; set by the open call */
    cs_health health;          /* as last logged */
};

/* A lease on a worker that belongs to no gang. */
struct orphan {
    char job[CS_NAME_BYTES];
    char token[CS_TOKEN_BYTES];
    member_phase phase;
};

struct cs_scheduler {
    cs_store_view *store_view;
    cs_outbox *outbox;
    cs_journal *journal;
    cs_counters *counters;
    cs_cell *cell;
    cs_sched *sched; /* the policy; NULL before the first tenure */
    char zone[CS_NAME_BYTES];
    char name[CS_NAME_BYTES];
    bool unsafe_no_fence;
    bool leading; /* a tenure is in progress */
    bool draining;
    bool rebuild_needed;   /* workers changed in a way that the policy cannot
                              apply in place */
    bool cycle_due;        /* a change may allow a new decision */
    uint32_t subscription; /* handle, to the store view */
    uint64_t next_serial;
    int64_t worker_lease_us;
    int64_t retention_us;
    int64_t next_cycle_us;
    int64_t next_sweep_us;
    GPtrArray *links; /* by index in the policy */
    GHashTable *links_by_name;
    GHashTable *gangs;         /* by name */
    GPtrArray *pending_gangs;  /* to be advanced next, oldest first */
    GPtrArray *pending_links;  /* to be called at the next tick */
    int64_t next_scan_us;      /* of every link */
    GHashTable *organisations; /* name to index in the policy + 1 */
    GHashTable *classes;       /* name to number, from 1 */
    /* counters */
    int64_t *started;
    int64_t *succeeded;
    int64_t *failed;
    int64_t *preempted;
    int64_t *orders;
    int64_t *worker_calls;
    int64_t *cycles;
};

cs_now sched_now(const cs_scheduler *scheduler);

/* Returns whether a tenure is in progress and the cell is still held. */
bool sched_is_leading(const cs_scheduler *scheduler);

struct link *sched_find_link(const cs_scheduler *scheduler, const char *name);
struct gang *sched_find_gang(const cs_scheduler *scheduler, const char *name);

/* gang.c */

struct gang *gang_create(cs_scheduler *scheduler, const cs_resource_row *row);
void gang_destroy(struct gang *gang);

/* Adds the gang to those that are advanced at the next tick. */
void gang_set_pending(struct gang *gang);

/* Marks the status as changed, so that it is written. */
void gang_mark_dirty(struct gang *gang);

/*
 * Returns whether the gang does not change until a worker reports or the
 * policy makes a decision.
 */
bool gang_is_idle(const struct gang *gang);

/* Starts an attempt on the members that the policy has chosen. */
void gang_place(struct gang *gang);

/* Stops the attempt; tasks get grace_us to write a checkpoint. */
void gang_stop(struct gang *gang, stop_reason reason, int64_t grace_us);

void gang_cancel(struct gang *gang);

/* Takes over an attempt that an earlier holder has recorded. */
void gang_adopt(struct gang *gang, const cs_resource_row *row);

/* Runs the state machine of the gang on the current state of its members. */
void gang_advance(struct gang *gang);

/* Returns the gang's member on a worker, or NULL. */
struct member *gang_find_member(struct gang *gang, const struct link *link);

void gang_set_condition(struct gang *gang, const char *type,
                        const char *reason, const char *message);

/* gang_outcome.c */

void gang_succeed(struct gang *gang);

/* Ends a stopped attempt all of whose members have ended. */
void gang_finish_stop(struct gang *gang);

/* Returns a condition message that says whether an attempt may have run. */
const char *gang_describe_start(const struct gang *gang);

/* Queues the job for another attempt, which starts from progress_ms. */
void gang_requeue(struct gang *gang, int64_t progress_ms);

/* Ends the job in a final state. */
void gang_end(struct gang *gang, int32_t state);

/* gang_status.c */

/* Submits the status to the journal if it is dirty. */
void gang_write(struct gang *gang);

/* link.c */

struct link *link_create(cs_scheduler *scheduler, const cs_worker *worker,
                         uint32_t index);
void link_destroy(struct link *link);

/* Makes a call due at the next tick. */
void link_set_pending(struct link *link);

void link_tick(struct link *link);

/* Applies a change of the worker resource. */
void link_update(struct link *link, const cs_worker *worker);

/* Forgets what was known of the worker, at the start of a tenure. */
void link_reset(struct link *link);

/* health.c */

/* Updates in the policy whether the worker may get new tasks. */
void health_update_usable(struct link *link);

/* Logs a change of the worker's health. */
void health_log_change(struct link *link);

/* retention.c */

/* Deletes a batch of ended jobs whose retention time has passed. */
void retention_tick(cs_scheduler *scheduler);

/* mirror.c: the policy's copy of the store view */

void mirror_build(cs_scheduler *scheduler);
void mirror_clear(cs_scheduler *scheduler);
void mirror_apply_change(cs_scheduler *scheduler, const cs_change *change);
cs_sched_request mirror_make_request(cs_scheduler *scheduler,
                                     const cs_resource_row *row,
                                     struct gang *gang);

#endif
