/* Shared by the files of the scheduler; not part of the interface. */
#ifndef CS_SCHEDULER_INTERNAL_H
#define CS_SCHEDULER_INTERNAL_H

#include <glib.h>
#include "corianderstair/scheduler.h"

/* A worker's clock may differ by this much from ours. */
#define CLOCK_MARGIN_US (250 * CS_MS_US)
#define WORKER_TIMEOUT_US CS_SEC_US
#define ATTEMPTS_MAX 8
#define DECISIONS_MAX 64
#define CS_TOKEN_BYTES 48

typedef enum {
    PHASE_NONE, /* nothing there, or gone */
    PHASE_RESERVED,
    PHASE_RUNNING,
    PHASE_EXITED
} member_phase;

struct gang;

/* A gang's part on one worker. */
struct member {
    struct link *link;
    uint64_t mask;
    member_phase phase;
    int32_t exit_code;
    int64_t progress_ms;
    int64_t lease_us; /* boot clock: it has surely ended by then */
    bool reported;    /* the worker has spoken of it since the takeover */
    bool ever_ran;
    bool refused; /* the lease or the start */
    bool start_refused;
};

typedef enum {
    GANG_QUEUED,    /* the policy decides */
    GANG_RESERVING, /* leases are being taken on all members */
    GANG_RECORDING, /* the attempt is being written */
    GANG_STARTING,
    GANG_RUNNING,
    GANG_STOPPING,
    GANG_ADOPTING, /* found after a takeover; members are being asked */
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

struct gang {
    cs_scheduler *s;
    uint64_t serial; /* tells it from a gang of an earlier tenure */
    char name[CS_NAME_BYTES];
    gang_state state;
    stop_reason stop;
    cs_sched_job *job; /* NULL when final */
    GArray *members;   /* of struct member */
    cs_job_status status;
    bool dirty;  /* status differs from the one written */
    bool active; /* in the list of the scheduler */
    bool writing;
    int64_t run_ms;
    bool restartable;
    bool checkpoint;
    int64_t grace_us;
    int64_t stop_us;   /* boot clock, end of the grace */
    uint32_t failures; /* attempts that failed */
    int64_t adopt_us;  /* boot clock, end of the wait for members */
    int64_t start_us;  /* boot clock */
};

typedef enum {
    LINK_UNKNOWN, /* not heard since this process took the cell */
    LINK_READY,
    LINK_LOST /* silent for a lease */
} link_state;

struct link {
    cs_scheduler *s;
    char name[CS_NAME_BYTES];
    char address[CS_ADDRESS_BYTES];
    uint32_t index; /* in the policy */
    int64_t rack;
    int64_t accelerators;
    bool cordoned;
    bool present; /* still declared */
    link_state state;
    bool busy;
    bool dirty;
    bool touched; /* in the scheduler's list */
    int64_t next_us;
    int64_t heard_us;
    int64_t seen;          /* state of the worker's leases as last listed */
    GPtrArray *gangs;      /* with a member here */
    GArray *orphans;       /* of struct orphan */
    json_t *sent;          /* orders in flight */
    int64_t sent_lease_us; /* boot clock */
    cs_health health;      /* as last logged */
};

/* A lease on a worker that belongs to no gang. */
struct orphan {
    char job[CS_NAME_BYTES];
    char token[CS_TOKEN_BYTES];
    member_phase phase;
};

struct cs_scheduler {
    cs_board *board;
    cs_outbox *outbox;
    cs_journal *journal;
    cs_counters *counters;
    cs_cell *cell;
    cs_sched *sched;
    char zone[CS_NAME_BYTES];
    char name[CS_NAME_BYTES];
    bool unsafe_no_fence;
    bool leading; /* held at the last tick */
    bool draining;
    bool rebuild; /* workers changed in a way the policy cannot follow */
    bool decide;  /* something changed that may allow a decision */
    uint32_t listener;
    uint64_t next_serial;
    int64_t worker_lease_us;
    int64_t retention_us;
    int64_t next_turn_us;
    int64_t next_sweep_us;
    GPtrArray *links; /* by index in the policy */
    GHashTable *links_by_name;
    GHashTable *gangs;         /* by name */
    GPtrArray *active;         /* gangs that want attention, oldest first */
    GPtrArray *touched;        /* links that want a call */
    int64_t next_scan_us;      /* of every link */
    GHashTable *organisations; /* name to number + 1 */
    GHashTable *classes;       /* name to number */
    int64_t *started;
    int64_t *succeeded;
    int64_t *failed;
    int64_t *preempted;
    int64_t *orders;
    int64_t *worker_calls;
    int64_t *turns;
};

cs_now sched_now(const cs_scheduler *s);
bool sched_leads(const cs_scheduler *s);
struct link *sched_find_link(const cs_scheduler *s, const char *name);
struct gang *sched_find_gang(const cs_scheduler *s, const char *name);

/* gang.c */
struct gang *gang_create(cs_scheduler *s, const cs_record *record);
void gang_destroy(struct gang *gang);
/* Puts it on the list of gangs that want attention. */
void gang_touch(struct gang *gang);
/* Its status must be written. */
void gang_mark(struct gang *gang);
/* Nothing but news of its members or a decision moves it. */
bool gang_is_idle(const struct gang *gang);
void gang_place(struct gang *gang);
void gang_stop(struct gang *gang, stop_reason reason, int64_t grace_us);
void gang_cancel(struct gang *gang);
void gang_adopt(struct gang *gang, const cs_record *record);
/* Moves the gang on after news of a member. */
void gang_step(struct gang *gang);
struct member *gang_member(struct gang *gang, const struct link *link);
void gang_set_condition(struct gang *gang, const char *type,
                        const char *reason, const char *message);

/* gang_outcome.c */
void gang_succeed(struct gang *gang);
/* Ends a stop, all of whose members have ended. */
void gang_finish_stop(struct gang *gang);
/* Whether any attempt may have run, in words for a condition. */
const char *gang_how_far(const struct gang *gang);
void gang_requeue(struct gang *gang, int64_t progress_ms);
void gang_end(struct gang *gang, int32_t state);

/* gang_status.c */
void gang_write(struct gang *gang);

/* link.c */
struct link *link_create(cs_scheduler *s, const cs_worker *worker,
                         uint32_t index);
void link_destroy(struct link *link);
void link_touch(struct link *link);
void link_tick(struct link *link);
void link_update(struct link *link, const cs_worker *worker);
void link_forget_epoch(struct link *link);

/* health.c */
void health_apply(struct link *link);
/* Logs a change of the health of the worker. */
void health_watch(struct link *link);

/* retention.c */
void retention_tick(cs_scheduler *s);

/* mirror.c: the policy's copy of the board */
void mirror_build(cs_scheduler *s);
void mirror_clear(cs_scheduler *s);
void mirror_change(cs_scheduler *s, const cs_change *change);
cs_sched_request mirror_request(cs_scheduler *s, const cs_record *record,
                                struct gang *gang);

#endif
