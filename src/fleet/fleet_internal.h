/* Shared by the files of this folder; not part of the interface. */
#ifndef CS_FLEET_INTERNAL_H
#define CS_FLEET_INTERNAL_H

#include "corianderstair/errors.h"
#include "corianderstair/fit.h"
#include "corianderstair/fleet.h"
#include "corianderstair/headroom.h"
#include "corianderstair/job_progress.h"
#include "corianderstair/job_spec.h"
#include "corianderstair/log.h"
#include "corianderstair/speed.h"

#include <inttypes.h>
#include <string.h>

#define TASK_NAME_BYTES 64
/* Keys of the rows of CS_TABLE_CELL. */
#define EPOCH_KEY "epoch"
#define LEASE_KEY "lease"
/* The store answers a transaction within tens of milliseconds. */
#define STORE_ANSWER_US (900 * CS_MS_US)

typedef enum {
    TENURE_FOLLOWING, /* another process holds the cell, or nobody */
    TENURE_TAKING,    /* the epoch is being raised */
    TENURE_LOADING,   /* the cell is ours, its rows are being read */
    TENURE_HOLDING
} tenure_state;

typedef enum {
    TASK_WAITING,
    TASK_PLANNED,   /* placed; its record is not being written yet */
    TASK_RECORDING, /* the record of its run is being written */
    TASK_STARTING,  /* recorded; whether it runs is not known yet */
    TASK_RUNNING,
    TASK_STOPPING, /* its end is being waited for */
    TASK_DONE
} task_state;

struct job;
struct step;
struct advice;

/* An instance of this process's place at a worker's id. */
struct worker {
    char id[CS_JOB_NAME_BYTES];
    char address[48];
    char zone[CS_JOB_NAME_BYTES];
    char service[CS_JOB_NAME_BYTES];
    uint32_t index; /* in the fleet's list and the cell of placement */
    uint32_t rack;
    uint64_t labels;
    cs_demand capacity;
    cs_demand used;
    bool listed;      /* has an entry in the store */
    uint64_t reading; /* the last whole read that its entry was in */
    bool draining;
    int64_t drain_us;     /* boot clock when draining was seen */
    int64_t remaining_ms; /* least time left then; -1 not told */
    uint64_t born_ms;     /* newest incarnation known; 0 unknown */
    bool looked;          /* has answered under our epoch */
    bool hold_open;
    bool idle_look; /* the open look counts among fleet->idle_looks */
    int64_t next_hold_us;
    int64_t last_ok_us;       /* when a hold was last answered */
    int64_t clock_ms;         /* its clock at clock_us; -1 unknown */
    int64_t clock_us;         /* boot clock */
    int64_t lease_end_us;     /* when its last possible lease has ended */
    int64_t extended_us;      /* when leases were last extended */
    int64_t unknown_until_us; /* adopted tasks wait for it until then */
    uint64_t noted;           /* ends up to this number were processed */
    uint64_t seen_upto;       /* ends up to this number are recorded */
    uint64_t ack_next;        /* becomes seen_upto with the open commit */
    int64_t look_until_us;    /* ends may be listed until then */
    uint64_t acked;           /* the worker has been told so */
    uint32_t failed_looks;    /* in a row */
    uint32_t strikes;         /* failures of different jobs in a row */
    char last_failed[CS_JOB_ID_BYTES];
    int64_t aside_until_us; /* takes no new tasks before */
    int64_t aside_us;       /* length of the last time aside */
    cs_speed speed;         /* learned */
    GPtrArray *tasks;       /* of struct task, placed here */
};

struct task {
    struct step *step;
    uint32_t index;
    task_state state;
    uint32_t run;
    uint32_t failures;
    struct worker *worker; /* NULL while waiting or done */
    char *saved;           /* newest checkpoint; NULL none */
    int64_t percent;
    int64_t started_us;   /* boot clock, when the start was sent */
    int64_t confirmed_us; /* boot clock; 0 not confirmed */
    bool partial;         /* the run began before, or from a checkpoint */
    bool sampled;         /* its speed was learned from its progress */
    bool urgent;          /* of the first priority when it was placed */
    bool adopted;         /* known only from a former holder's record */
    bool doubtful;        /* the start's outcome is not known */
    bool stop_open;
    bool stop_answered;
    int64_t stop_sent_us;
    int64_t stop_answered_us;
    uint64_t look;        /* serial of the last look that listed it */
    struct worker *avoid; /* where it failed last */
};

/* A step of one occurrence of a job. */
struct step {
    struct job *job;
    const cs_job_step *spec;
    uint32_t occurrence;
    uint32_t number;
    struct task *tasks;
    uint32_t waiting;
    uint32_t done;
    uint32_t failed_run;   /* gang: the last run that counted as failed */
    uint32_t failures;     /* gang: failed runs */
    int64_t ready_us;      /* boot clock since when it may start; 0 not yet */
    cs_speed_step times;   /* of its tasks, to compare workers by */
    int64_t wide_us;       /* boot clock when a rack was last looked for */
    bool wide;             /* no rack could hold it, even an empty one */
    struct advice *advice; /* of an advised queue; NULL none yet */
    uint32_t *claim; /* workers kept for it, one for each task; or NULL */
    int64_t claim_us;
};

struct job {
    cs_job_spec spec;
    cs_progress_state state;
    uint64_t version; /* of its progress row; 0 none */
    bool dirty;
    bool committing;
    int64_t ended_ms;
    uint64_t sequence;    /* order of acceptance */
    uint32_t occurrences; /* at least 1 */
    struct step **steps;  /* occurrences * step_count, NULL until due */
    uint32_t steps_done;
    uint32_t active; /* tasks on workers */
    bool begun;      /* a task has been started at some time */
};

struct commit {
    bool open;
    int64_t next_us;
    int64_t backoff_us;
    int64_t first_us;  /* boot clock of the first attempt; 0 none yet */
    size_t sent_bytes; /* of the values */
    bool unanswered;   /* an earlier attempt of these rows got no answer */
    GPtrArray *jobs;   /* of struct job, in the change */
    GPtrArray *values; /* of GByteArray */
    GArray *puts;      /* of cs_row */
    GArray *conditions;
    GArray *removals;
    GPtrArray *expired; /* of struct job, in the removals */
    char speed_key[12]; /* of the row of speeds, if one is among the puts */
    bool has_lease;
    bool has_acks; /* the change holds all that the acks depend on */
};

/* A table that is read page by page and then followed. */
struct feed {
    const char *table;
    const char *part;     /* NULL for the parts of jobs, one by one */
    uint32_t part_number; /* of jobs, that is being read */
    void (*apply)(cs_fleet *fleet, const cs_row *row);
    /* Called once all rows were read and applied; NULL for none. */
    void (*end_read)(cs_fleet *fleet);
    bool open;
    bool loaded;
    int64_t next_us;              /* boot clock; no call before */
    char from[CS_JOB_NAME_BYTES]; /* of the next page; empty for the first */
    uint64_t read_version;        /* of the store at the first page */
    uint64_t after;               /* followed up to this version */
};

struct cs_fleet {
    cs_fleet_board *board;
    tenure_state tenure;
    uint64_t generation; /* rises whenever what is known is dropped */
    uint64_t epoch;
    uint64_t epoch_version; /* of the epoch row */
    uint64_t ended_epoch;   /* our last tenure that is over */
    /* Following. */
    bool cell_open;
    int64_t next_cell_us;
    uint64_t lease_version; /* last seen of the lease row */
    int64_t lease_seen_us;  /* boot clock when it last changed */
    bool lease_changed;     /* a renewal was seen since the start */
    bool release_wanted;
    int64_t created_us; /* boot clock */
    int64_t ranked_us;  /* boot clock; 0 while our strength is not compared */
    /* Holding. */
    int64_t relayed_us; /* boot clock since when the store turns this VM
                           away; 0 it does not */
    int64_t next_lease_us;
    int64_t lease_written_us;
    uint64_t lease_serial;
    int64_t store_ms;       /* the store's clock, as last told to the holder */
    GHashTable *jobs;       /* id to struct job */
    GPtrArray *active;      /* of struct job that are not final */
    GPtrArray *final;       /* of struct job, by the time of their end */
    GHashTable *workers;    /* id to struct worker */
    GPtrArray *worker_list; /* of struct worker, by index */
    GHashTable *racks;      /* name to number + 1 */
    GHashTable *labels;     /* name to bit number + 1 */
    GHashTable *durations;  /* queue name to struct duration */
    GQueue dirty;           /* of struct job */
    GQueue expired;         /* of struct job, whose row is to go first */
    GQueue expired_progress; /* of struct job, whose progress row goes next */
    bool expiring;           /* a job's row is being removed */
    struct commit commit;
    struct feed job_feed;
    struct feed progress; /* read once */
    struct feed worker_feed;
    struct feed speed_feed;  /* read once */
    uint64_t worker_reading; /* serial of the last whole read of workers */
    GHashTable *kept_speeds; /* worker id to its speed, as a former holder
                                wrote it */
    int64_t next_speeds_us;
    uint32_t speed_group; /* that is written next */
    uint64_t next_sequence;
    int64_t submitted_ms; /* wall clock; when the newest job was accepted */
    uint64_t look_serial;
    bool turn_wanted;
    uint32_t idle_looks; /* open ones, at unknown workers without tasks */
    bool advice_open;    /* the adviser is being asked */
    int64_t next_scan_us;
    cs_headroom headroom; /* of the urgent tasks that are placed */
};

/* Run times of the tasks of a queue. */
struct duration {
    double mean_ms; /* at the fleet's mean speed */
    uint32_t count;
};

/* Identity of a call made while holding; stale ones are dropped. */
struct call {
    cs_fleet *fleet;
    uint64_t generation;
    struct worker *worker;
    struct feed *feed;
    char task[TASK_NAME_BYTES];
    uint32_t run;
    uint64_t seen_upto; /* of a look */
    bool probe;         /* a look beside the one that waits */
    int64_t sent_us;
};

/* fleet.c */
cs_now fleet_now(const cs_fleet *fleet);
void fleet_count(const cs_fleet *fleet, const char *name);
void fleet_forget(cs_fleet *fleet); /* drops everything held */
void call_init(struct call *call, cs_fleet *fleet, struct worker *worker);
struct call *call_create(cs_fleet *fleet, struct worker *worker);
bool call_is_stale(const struct call *call);

/* tenure.c */
void tenure_tick(cs_fleet *fleet);
void tenure_lost(cs_fleet *fleet, const char *reason);
void tenure_encode_lease(cs_fleet *fleet, GByteArray *out);

/* feeds.c */
void load_init(cs_fleet *fleet);
void load_tick(cs_fleet *fleet);

/* worker.c */
struct worker *worker_get(cs_fleet *fleet, const char *id);
void worker_free(gpointer data);
void worker_apply(cs_fleet *fleet, const char *id,
                  const cs_worker_entry *entry);
/* A worker without an entry is gone; only its leases are waited for. */
void worker_note_gone(const cs_fleet *fleet, struct worker *worker);
void worker_unlist(cs_fleet *fleet, struct worker *worker);
bool worker_is_usable(const cs_fleet *fleet, const struct worker *worker);
int64_t worker_clock_ms(const struct worker *worker, int64_t now_us);
/* Notes that an order lets leases go on until until_ms of its clock. */
void worker_note_lease(struct worker *worker, int64_t until_ms);
/* A former holder may have extended leases until just now. */
void worker_note_former_lease(const cs_fleet *fleet, struct worker *worker);
void worker_failed(cs_fleet *fleet, struct worker *worker, const char *job_id);
void worker_succeeded(struct worker *worker);
uint32_t worker_rack(cs_fleet *fleet, const char *name);
/* Bit of a label, made if new; 0 for an empty one. */
uint64_t worker_label(cs_fleet *fleet, const char *name);
/* Another incarnation has the worker's id. */
void worker_reborn(cs_fleet *fleet, struct worker *worker, uint64_t born_ms);
/* Whether the start of the task's run has been sent. */
bool worker_task_is_started(const struct task *task);
/* Tasks whose start has been sent. */
uint32_t worker_started(const struct worker *worker);
/* Has the worker looked at, as an end may be listed there. */
void worker_expect_end(cs_fleet *fleet, struct worker *worker);
/* Everything started on the worker has ended without a listed end. */
void worker_drop_tasks(cs_fleet *fleet, struct worker *worker,
                       const char *reason);

/* job.c */
struct job *job_add(cs_fleet *fleet, cs_job_spec *spec);
void job_free(gpointer data);
void job_restore(cs_fleet *fleet, struct job *job,
                 const cs_job_progress *progress);
void job_cancel(cs_fleet *fleet, struct job *job);
/* Ends the jobs whose cancellation was read before their progress. */
void job_settle_cancelled(cs_fleet *fleet);
void job_update(cs_fleet *fleet, struct job *job);
void job_set_dirty(cs_fleet *fleet, struct job *job);
void job_progress(const struct job *job, cs_job_progress *out);
/* Makes the steps of the occurrences that are due. */
void job_make_due(cs_fleet *fleet, struct job *job, int64_t wall_ms);
bool job_step_is_ready(const struct job *job, const struct step *step);
bool job_is_final(const struct job *job);
/* Room for the steps of all occurrences; some may not be due yet. */
uint32_t job_slot_count(const struct job *job);
void job_sweep(cs_fleet *fleet);
/* Removes the rows of old jobs, one after another. */
void job_expire(cs_fleet *fleet);
struct task *job_find_task(cs_fleet *fleet, const char *name);
void task_name(char *out, const struct task *task);

/* task.c */
void task_place(cs_fleet *fleet, struct task *task, struct worker *worker,
                uint32_t run);
/* Takes the task off its worker; it waits again. */
void task_release(cs_fleet *fleet, struct task *task);
void task_ended(cs_fleet *fleet, struct task *task, cs_run_end how,
                const char *saved);
void task_save(struct task *task, const char *saved);
/* A look has listed new progress of the task. */
void task_progressed(cs_fleet *fleet, struct task *task);
/* Counts a waiting task as done. */
void task_mark_done(struct task *task);
/* A run that was taken for lost has ended as done; a newer one is stopped. */
void task_done_late(cs_fleet *fleet, struct task *task, uint32_t run);
uint32_t step_next_run(const struct step *step);
/* Stops what a gang has started, after one member did not. */
void step_break(cs_fleet *fleet, struct step *step);
/* Core-seconds that a stop of the task now would throw away. */
double task_loss(const cs_fleet *fleet, const struct task *task,
                 int64_t now_us);
/* Run time of a step's tasks: as learned from its queue, else as declared. */
double fleet_expected_ms(const cs_fleet *fleet, const char *queue,
                         const cs_job_step *step);

/* run.c */
void run_start(cs_fleet *fleet, struct task *task);
void run_stop(cs_fleet *fleet, struct task *task);
void run_stop_unknown(cs_fleet *fleet, struct worker *worker, const char *task,
                      uint32_t run);

/* advice.c */
void advice_free(struct advice *advice);
/* Asks about some of the ranked workers, unless a question is open. */
void advice_ask(cs_fleet *fleet, struct step *step, const uint32_t *ranked,
                uint32_t count);
/* By worker: whether a start there has a ticket. Freed with g_free. */
bool *advice_allowed(const cs_fleet *fleet, const struct step *step);
/* By worker: whether the adviser may let the step run there. */
bool *advice_possible(const cs_fleet *fleet, const struct step *step);
/* The ticket for a start now, or NULL. */
const char *advice_ticket(const cs_fleet *fleet, const struct step *step,
                          const struct worker *worker);
/* A worker has refused the step's ticket. */
void advice_drop(struct step *step, struct worker *worker);

/* speeds.c */
/* The next group's row, if one is due to be written. */
bool speeds_take_due(cs_fleet *fleet, uint32_t *group, GByteArray *out);
void speeds_apply_row(cs_fleet *fleet, const cs_row *row);
/* Gives a worker the speed that a former holder has learned. */
void speeds_restore(const cs_fleet *fleet, struct worker *worker);

/* evacuate.c */
void evacuate_tick(cs_fleet *fleet);

/* heartbeat.c */
void hold_tick(cs_fleet *fleet);
/* Looks at once, also while another look waits. */
void hold_probe(cs_fleet *fleet, struct worker *worker);

/* commit.c */
void commit_init(struct commit *commit);
void commit_dispose(struct commit *commit);
void commit_clear(cs_fleet *fleet);
void commit_tick(cs_fleet *fleet);

/* cycle.c */
void turn_run(cs_fleet *fleet);

#endif
