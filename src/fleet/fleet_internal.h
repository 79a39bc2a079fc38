/*
 * Private declarations of src/fleet: the state of the cell's holder and the
 * functions that its files call in each other.
 *
 * Times ending in _us are on the boot clock and those ending in _ms on the
 * wall clock, unless a comment says otherwise.
 */
#ifndef CS_FLEET_INTERNAL_H
#define CS_FLEET_INTERNAL_H

#include "corianderstair/errors.h"
#include "corianderstair/binpack.h"
#include "corianderstair/fleet.h"
#include "corianderstair/headroom.h"
#include "corianderstair/job_progress.h"
#include "corianderstair/job_spec.h"
#include "corianderstair/log.h"
#include "corianderstair/preempt_gain.h"
#include "corianderstair/speed.h"

#include <inttypes.h>
#include <msgpack.h>
#include <string.h>

#define TASK_NAME_BYTES 64
#define CS_PROGRESS_KEY_BYTES (CS_JOB_ID_BYTES + 12)
/* Keys of the rows of CS_TABLE_CELL. */
#define EPOCH_KEY "epoch"
#define LEASE_KEY "lease"
/* The store normally answers within tens of milliseconds. */
#define STORE_TIMEOUT_US (900 * CS_MS_US)
/* Maximum duration of an order to a worker. */
#define ORDER_TIMEOUT_US (900 * CS_MS_US)
/* Timeout of a heartbeat, counted from the end of the delay that it allows. */
#define HEARTBEAT_TIMEOUT_US (700 * CS_MS_US)
/* The same delay while starts on the worker are unsettled, so that a worker
   that falls silent is noticed within 2.4 s: a stop takes up to 0.9 s more,
   and workers are known to be silent for 3.6 s or longer when they start anew.
 */
#define UNSETTLED_WATCH_WAIT_MS 1000

typedef enum {
    TENURE_FOLLOWING, /* stand-by: another process or none holds the cell */
    TENURE_ACQUIRING, /* the write that raises the epoch is in flight */
    TENURE_LOADING,   /* holds the cell and reads its rows */
    TENURE_HOLDING    /* holds the cell and schedules */
} tenure_state;

typedef enum {
    TASK_WAITING,
    TASK_PLANNED,   /* placed on a worker, in no change to the store yet */
    TASK_RECORDING, /* the write that records its run is in flight */
    TASK_STARTING,  /* recorded; the start is not confirmed yet */
    TASK_RUNNING,
    TASK_STOPPING, /* being stopped; its end is not confirmed yet */
    TASK_DONE
} task_state;

struct job;
struct step;
struct advice;
struct ledger;
struct newer_job;
struct reserve;
struct tombstones;

/* A run that a worker lists and that is not, or no longer, wanted there. */
struct unwanted_run {
    char task[TASK_NAME_BYTES];
    uint32_t run;
    uint32_t repeats;  /* how often it was listed again */
    int64_t seen_us;   /* when it was last listed */
    int64_t logged_us; /* 0 not yet */
};

/* A worker as the holder of the cell knows it, across its incarnations. */
struct worker {
    uint32_t zone_number; /* unique to the zone's name in this process */
    uint32_t index; /* in fleet->worker_list and the bin packing's cell */
    uint32_t rack;
    char **labels;       /* names, ended by NULL; the first one is its kind */
    uint64_t label_bits; /* see worker_label_bit() */
    cs_demand capacity;
    cs_demand used;       /* by the tasks placed on the worker */
    bool listed;          /* has an entry in the store */
    uint64_t read_serial; /* of the last complete read with its entry */
    int64_t entry_written_after_us; /* its entry was last written after this
                                       time; 0 unknown */
    bool draining;
    int64_t drain_seen_us; /* when draining was first seen */
    int64_t remaining_ms;  /* minimum time left at drain_seen_us; -1 unknown */
    uint64_t incarnation_ms; /* start of the newest known incarnation, on the
                                worker's clock; 0 unknown */
    bool answered;           /* has answered a heartbeat of this tenure */
    bool fenced;             /* so has this incarnation: it refuses the orders
                                of former holders */
    bool heartbeat_pending;
    bool idle_heartbeat; /* the pending one counts in fleet->idle_heartbeats */
    /* An extra heartbeat is due. It is not sent from the callback of a call,
       which may end with the process. */
    bool probe_requested;
    int64_t next_heartbeat_us;
    int64_t last_answer_us;     /* of a successful heartbeat */
    int64_t clock_ms;           /* the worker's clock at clock_read_us; -1
                                   unknown */
    int64_t clock_read_us;      /* on the boot clock of this VM */
    int64_t lease_end_us;       /* all leases have ended by then */
    int64_t leases_extended_us; /* when leases were last extended */
    /*
     * A worker numbers the ends of its runs. Each end is processed, then
     * covered by a change to the store, recorded when the store confirms the
     * change, and acknowledged to the worker with the next heartbeat. These
     * are the highest numbers that have got so far.
     */
    uint64_t ends_processed;
    uint64_t ends_recorded;
    uint64_t ends_committing; /* covered by the change in flight */
    /* Heartbeats are sent until one is answered after this time. */
    int64_t expect_ends_until_us;
    uint64_t ends_acknowledged;
    uint32_t failed_heartbeats;    /* consecutive */
    uint32_t consecutive_failures; /* of runs of different jobs */
    char last_failed_job[CS_JOB_ID_BYTES];
    int64_t paused_until_us;      /* gets no new tasks before */
    int64_t quarantine_us;        /* length of the last quarantine; 0 none */
    int64_t quarantined_until_us; /* gets new tasks only as a last resort */
    int64_t last_failure_us;      /* of a run */
    cs_speed speed;               /* learned */
    uint32_t unsettled_starts;    /* number of struct unsettled_start */
    uint32_t watched_starts; /* of them those that may be carried out yet */
    GPtrArray *tasks;        /* of struct task, placed on the worker */
    GArray *unwanted_runs;   /* of struct unwanted_run */
    /* The names are last: a cycle reads all of the others of each worker. */
    char address[48];
    char id[CS_JOB_NAME_BYTES];
    char zone[CS_JOB_NAME_BYTES];
    char service[CS_JOB_NAME_BYTES];
};

/* What steps require of their workers. */
struct label_pair {
    char *service;
    char *label; /* empty for none */
};

struct task {
    struct step *step;
    uint32_t index; /* in step->tasks */
    task_state state;
    uint32_t run;          /* number of the newest run */
    uint32_t failures;     /* failed runs */
    struct worker *worker; /* NULL while waiting or done */
    char *checkpoint;      /* data of the newest checkpoint; NULL for none */
    int64_t progress_percent;
    int64_t started_us;     /* when the start was sent or adopted; 0 not yet */
    int64_t confirmed_us;   /* when the start was confirmed; 0 not yet */
    bool recorded;          /* the store has confirmed the record of the run */
    bool partial;           /* the run is adopted or resumes a checkpoint, so
                               its run time is not that of a whole task */
    bool speed_sampled;     /* its progress has counted for the worker's speed
                               already */
    bool urgent;            /* placed for a queue of priority 0 */
    bool adopted;           /* taken over from a former holder's record; no
                               answer has listed the run yet */
    bool start_unconfirmed; /* the call to start it had an unknown outcome */
    bool stop_pending;      /* a stop is in flight */
    bool stop_answered;
    int64_t stop_sent_us;
    int64_t stop_answered_us;
    uint64_t heartbeat; /* serial of the last heartbeat that listed it */
    struct worker *avoid_worker; /* where its last run failed */
    int64_t avoid_until_us;      /* not placed there before */
    bool held; /* not placed in this cycle, see unwanted_hold_tasks() */
    /* Of the runs that workers have listed, as present or ended, and that were
       not wanted there. */
    uint32_t highest_listed_run;
};

/* A step of one occurrence of a job. */
struct step {
    struct job *job;
    const cs_job_step *spec;
    uint32_t occurrence;
    uint32_t number;
    struct task *tasks;
    uint32_t first_task; /* number of its tasks before it in the job */
    uint32_t waiting_count;
    uint32_t done_count;
    uint32_t last_failed_run; /* gang: the last run that counted as failed */
    uint32_t failures;        /* gang: failed runs */
    int64_t ready_us;         /* since when it may start; 0 not yet */
    cs_speed_step run_times;  /* of its tasks, to compare workers' speeds */
    int64_t rack_check_us;    /* when exceeds_racks was computed; 0 never */
    bool exceeds_racks;       /* no single rack could hold it, even if empty */
    struct advice *advice;    /* of an advised queue; NULL none yet */
    uint32_t *reserved_workers; /* indexes of the workers whose capacity
                                   preemption frees; NULL for none */
    uint32_t reserved_count;    /* of reserved_workers, one for each task that
                                   waits */
    int64_t reserved_us;
    cs_preempt_record preemption; /* of it, and searches for victims for it */
};

/* A row with the progress of some tasks of a job, see progress.c. */
struct progress_row {
    struct job *job;
    uint32_t number;  /* in job->rows */
    uint64_t version; /* of the row in the store; 0 none */
    bool dirty;       /* the row in the store is out of date */
    bool committing;  /* the row is being written */
};

/* A progress row in the store whose job is not known. */
struct orphan_row {
    char key[CS_PROGRESS_KEY_BYTES];
    uint64_t version;
};

struct job {
    cs_fleet *fleet;
    cs_job_spec spec;
    uint64_t row_version; /* of its row in CS_TABLE_JOBS */
    cs_progress_state state;
    struct progress_row *rows;
    uint32_t row_count; /* at least 1 */
    uint32_t row_tasks; /* tasks in a row */
    bool single_row;    /* a former build has stored all tasks in one row */
    int64_t ended_ms;
    uint64_t sequence;     /* in order of acceptance */
    uint32_t occurrences;  /* at least 1 */
    struct step **steps;   /* by occurrence and number; NULL until due, and
                              until the holder has room for its tasks */
    uint32_t steps_done;   /* of all occurrences */
    uint32_t active_tasks; /* placed on workers */
    bool has_begun;        /* a worker has begun a run of one of its tasks */
    uint32_t unverified_tasks; /* adopted ones; their runs may have begun */
    bool lateness_observed;    /* at the first placement of a task */
    uint32_t max_attempts;     /* see job_terms.c, as the next two */
    uint32_t priority;
    bool has_queue;          /* in the configuration that was applied last */
    struct newer_job *newer; /* accepted under the same id after this ended
                                one was removed; NULL for none */
};

/* The change to the store that is being written. */
struct commit {
    bool pending; /* an attempt is in flight */
    int64_t next_attempt_us;
    int64_t backoff_us;
    int64_t first_attempt_us; /* 0 none yet */
    size_t sent_bytes;        /* of the values */
    bool unanswered;    /* an earlier attempt of the same rows got no answer */
    GPtrArray *rows;    /* of struct progress_row, which it writes */
    GPtrArray *keys;    /* of char, of progress rows */
    GPtrArray *values;  /* of GByteArray, referenced by puts */
    GArray *puts;       /* of cs_row */
    GArray *conditions; /* of cs_row */
    GArray *removals;   /* of cs_row */
    GPtrArray *expired_rows; /* of struct progress_row, which it removes */
    GPtrArray *expired_jobs; /* of struct job without further rows */
    char speed_key[12];      /* of the row of speeds among the puts, if any */
    bool has_lease;          /* it renews the lease */
    bool covers_ends;        /* it writes all that the ends processed so far
                                have changed */
};

/* A table that is read page by page, after which its changes are followed. */
struct feed {
    const char *table;
    const char *part;     /* NULL to read the parts of jobs one by one */
    uint32_t part_number; /* that is being read, if part is NULL */
    void (*apply_row)(cs_fleet *fleet, const cs_row *row);
    /* Called once all rows were read and applied; may be NULL. */
    void (*read_completed)(cs_fleet *fleet);
    bool pending; /* a call is in flight */
    bool loaded;
    int64_t next_call_us;     /* no call before */
    int64_t lagging_since_us; /* since when pages lag; 0 they do not */
    char page_start[CS_JOB_NAME_BYTES + 1]; /* first key of the next page;
                                               empty for the first page */
    uint64_t lowest_version; /* of the store in the answers with pages */
    uint64_t highest_version;
    uint64_t followed_version; /* changes up to it were applied */
    int64_t followed_until_us; /* changes that were made before this time were
                                  applied; 0 unknown */
};

/* Maximum number of former holders that a holder distinguishes. More takeovers
   than these within the longest wait make the oldest two one unknown one. */
#define FORMER_HOLDERS_MAX 8

/* A process that has held the cell before. It may not know that it has lost
   it, and extend the leases of workers that its successor does not reach. */
struct former_holder {
    char incarnation[96];  /* empty for an unknown one, or several */
    uint64_t epoch;        /* of its tenure; 0 if incarnation is empty */
    int64_t leases_end_us; /* the leases that it extends have ended by then */
    bool ended;            /* it is known to extend no further ones */
};

/* What the rows of the cell and of ended tenures say of a former holder. */
struct former_record {
    char incarnation[96];  /* empty for an unknown one, or several */
    uint64_t epoch;        /* 0 if incarnation is empty */
    int64_t leases_end_ms; /* by the store's clock */
};

struct former_holders {
    struct former_holder list[FORMER_HOLDERS_MAX]; /* in order of epochs */
    uint32_t count;
    uint32_t next_member; /* in list, whose VM's row is read next */
    bool member_read_pending;
    bool tenure_read_pending;
    int64_t next_read_us;
    int64_t next_log_us;
};

/* The last ended tenure of this process, until it is in the store. */
struct ended_tenure {
    uint64_t epoch;        /* 0 for none */
    int64_t leases_end_us; /* its leases have ended by then */
    int64_t expires_us;    /* no successor waits for it after */
    int64_t next_write_us;
    uint64_t written_epoch; /* in the write that is in flight; 0 for none */
};

struct cs_fleet {
    cs_fleet_state *state; /* of the process; borrowed */
    tenure_state tenure;
    uint64_t generation; /* raised when the state of a tenure is dropped */
    uint64_t epoch;
    uint64_t epoch_version; /* of the epoch row */
    uint64_t known_version; /* the highest of the store that an answer to this
                               tenure's reads and changes has shown */
    uint64_t last_ended_epoch; /* of this process's last ended tenure */
    uint64_t unsure_epoch; /* that this process may have acquired: the write
                              got no answer; 0 for none */
    struct ended_tenure ended_tenure;
    /* Stand-by. */
    bool cell_read_pending;
    int64_t next_cell_read_us;
    int64_t cell_read_sent_us;
    uint64_t lease_version;  /* last seen of the lease row */
    int64_t lease_change_us; /* when lease_version was first seen; 0 unknown */
    bool renewal_seen; /* the lease row has changed since the process began */
    bool release_requested;
    int64_t lagged_us; /* when the cell was offered since reads lagged; 0
                          never */
    int64_t created_us;
    int64_t rank_known_us; /* when the VM's rank was settled; 0 not yet */
    /* Holder. */
    int64_t relayed_since_us; /* since when the store refuses this VM; 0 it
                                 does not */
    int64_t next_renewal_us;
    int64_t last_renewal_us; /* of the lease, as confirmed by the store */
    int64_t leases_last_us;  /* after a renewal of the cell's lease, at most;
                                as the epoch row of the tenure states it */
    int64_t leases_due_us;   /* all leases that the tenure extends, or starts
                                tasks with, end by then; 0 it does neither */
    int64_t acquire_sent_us; /* when the cell was last to be acquired */
    int64_t loaded_us;       /* when the tenure had read all rows */
    struct former_holders former;
    uint64_t renewal_serial;
    int64_t store_clock_ms;      /* the store's clock in its last answer */
    int64_t store_clock_read_us; /* when store_clock_ms was read */
    GHashTable *jobs;            /* id to struct job; owns them */
    GPtrArray *active_jobs;      /* of struct job that are not final */
    GPtrArray *final_jobs;    /* of struct job, in the order of their ends */
    GHashTable *workers;      /* id to struct worker; owns them */
    GPtrArray *worker_list;   /* of struct worker, by index */
    GHashTable *rack_numbers; /* name to number + 1 */
    GArray *label_pairs;      /* of struct label_pair, by number of the bit */
    GHashTable *queue_run_times; /* queue name to struct queue_run_time */
    GHashTable *unwanted_tasks;  /* name to struct unwanted_task, of tasks with
                                    a struct unwanted_run on any worker */
    GHashTable *unsettled_starts; /* task name to GArray of struct
                                     unsettled_start */
    GQueue dirty_rows;            /* of struct progress_row, to be written */
    GQueue expired_jobs; /* of struct job, whose job row is to be removed */
    GQueue expired_progress; /* of struct job, whose job row was removed and
                                whose progress rows are to be */
    GQueue orphan_rows;      /* of struct orphan_row, owned: to be removed */
    uint32_t orphan_count;   /* progress rows without a job in this tenure */
    char ended_orphan[CS_JOB_ID_BYTES]; /* the last ended job among theirs */
    bool job_rows_unreadable; /* at least one, whose job is not known */
    bool job_removal_pending; /* the removal of a job row is in flight */
    struct commit commit;
    struct feed job_feed;
    struct feed progress_feed; /* read, but not followed */
    struct feed worker_feed;
    struct feed speed_feed;      /* read, but not followed */
    uint64_t worker_read_serial; /* of the last read of all workers */
    GHashTable *stored_speeds;   /* worker id to struct stored_speed, as read
                                    from the store */
    int64_t next_speeds_write_us;
    uint32_t next_speed_group; /* to be written */
    uint64_t next_sequence;
    uint64_t task_count;     /* of all steps of all jobs */
    uint64_t max_tasks;      /* that the memory of the VM has room for */
    uint32_t deferred_steps; /* due, but without room, at the last check */
    int64_t *deferred_gauge;
    int64_t *former_gauge;      /* tasks that wait for former holders */
    int64_t last_submission_ms; /* when the newest job was accepted */
    uint64_t terms_version; /* of the configuration that the jobs' terms are
                               from; 0 none yet */
    uint64_t heartbeat_serial;
    bool cycle_requested;     /* a scheduling cycle is due */
    uint32_t idle_heartbeats; /* in flight to unverified workers without
                                 tasks */
    bool advice_pending;      /* a query to the adviser is in flight */
    int64_t next_timed_work_us;
    cs_headroom headroom;  /* of the urgent tasks that are placed */
    bool starts_held;      /* the evacuations were not confirmed in time */
    struct ledger *ledger; /* see ledger.h */
    struct forecaster *forecaster; /* NULL until the first forecast of the
                                      tenure */
    struct reserve *reserve;       /* for waiting gangs, see reserve.h */
    struct tombstones *tombstones; /* of cancelled ids, see tombstones.h */
};

/* Run times of the tasks of a queue. */
struct queue_run_time {
    double mean_ms; /* on a worker of the fleet's mean speed */
    uint32_t sample_count;
};

/*
 * The context of an asynchronous call. Its answer is dropped if the state that
 * the call refers to was dropped meanwhile.
 */
struct call {
    cs_fleet *fleet;
    uint64_t generation;
    struct worker *worker;
    struct feed *feed;
    char task[TASK_NAME_BYTES];
    uint32_t run;
    uint64_t ends_recorded;  /* heartbeat: the ends that it acknowledges */
    uint64_t incarnation_ms; /* of the worker when the call was sent */
    bool probe;              /* an extra heartbeat beside the pending one */
    int64_t sent_us;
    uint64_t known_version; /* fleet->known_version when it was sent */
};

/* fleet.c */
cs_now fleet_now(const cs_fleet *fleet);
/* Returns the store's clock, or an earlier time by as much as its last answer
   took. */
int64_t fleet_store_clock_ms(const cs_fleet *fleet);
void fleet_increment_counter(const cs_fleet *fleet, const char *name);
/* Drops all state of the tenure; answers still in flight become stale. */
void fleet_reset(cs_fleet *fleet);
void call_init(struct call *call, cs_fleet *fleet, struct worker *worker);
struct call *call_create(cs_fleet *fleet, struct worker *worker);
/* Returns whether the state that the call refers to was dropped. */
bool call_is_stale(const struct call *call);

/* tenure.c */
void tenure_tick(cs_fleet *fleet);
/* Stops holding the cell and returns to stand-by. */
void tenure_end(cs_fleet *fleet, const char *reason);
/* Offers the cell to other VMs. */
void tenure_hand_over(cs_fleet *fleet, const char *reason);
void tenure_encode_lease(cs_fleet *fleet, GByteArray *out);

/* extension.c */
/* Returns the longest time, after the last renewal of the cell's lease, until
   all leases of a tenure have ended. That of tenures that do not state it. */
int64_t extension_longest_us(const cs_fleet *fleet);
/* Returns the time for a tenure that is to be acquired. */
int64_t extension_choose_us(const cs_fleet *fleet);
/*
 * Begins a tenure.
 * renewed_us: when the call was sent that has acquired the cell
 * leases_last_us: what the epoch row states
 */
void extension_begin(cs_fleet *fleet, int64_t renewed_us,
                     int64_t leases_last_us);
/* Notes that the store has confirmed a renewal that was sent at renewed_us. */
void extension_renew(cs_fleet *fleet, int64_t renewed_us);
/* Notes that the tenure extends no leases from now on. */
void extension_end(cs_fleet *fleet);
/* Returns whether leases may be extended now, and tasks be started. */
bool extension_is_allowed(const cs_fleet *fleet);
/* Packs the time into the epoch row. */
void extension_encode(msgpack_packer *packer, int64_t leases_last_us);
/* Reads it from there. Returns whether it is valid. */
bool extension_decode(int64_t *leases_last_us, const msgpack_object *item);

/* former_holder.c */
/* Drops what was noted of former holders. */
void former_holder_reset(cs_fleet *fleet);
/*
 * Notes a process that has held the cell before this one acquires it, in the
 * order of epochs.
 * incarnation: of the process; empty if it is not known
 * leases_end_us: the leases that it extends have ended by then
 * ended: it extends none from now on
 */
void former_holder_add(cs_fleet *fleet, const char *incarnation,
                       uint64_t epoch, int64_t leases_end_us, bool ended);
/* Returns the time by which all leases of former holders have ended. */
int64_t former_holder_leases_end_us(const cs_fleet *fleet);
/* Returns until when former holders extend leases, for builds that do not know
   them by name. */
int64_t former_holder_extend_until_us(const cs_fleet *fleet);
/* Packs the former holders into the epoch row. The store's clock has shown
   store_ms at now_us or later. */
void former_holder_encode(const cs_fleet *fleet, msgpack_packer *packer,
                          int64_t store_ms, int64_t now_us);
/*
 * Reads them from the epoch row into out, which has room for
 * FORMER_HOLDERS_MAX. Returns whether the list is valid.
 */
bool former_holder_decode(struct former_record *out, uint32_t *count,
                          const msgpack_object *list);
/* Finds out which former holders have ended. */
void former_holder_tick(cs_fleet *fleet);

/* ended_tenure.c */
/* Notes that this process's tenure ends, before its state is dropped. */
void ended_tenure_note(cs_fleet *fleet);
/* Notes that this process will not begin a tenure that it may have acquired.
 */
void ended_tenure_note_unbegun(cs_fleet *fleet, uint64_t epoch);
/*
 * Writes the ended tenure to the store if it is not there yet.
 * store_ms: the store's clock in the answer to a read
 * read_sent_us: when that read was sent
 */
void ended_tenure_publish(cs_fleet *fleet, int64_t store_ms,
                          int64_t read_sent_us);
/* Reads the row of an ended tenure. Returns whether it is valid. */
bool ended_tenure_decode(struct former_record *out, const cs_row *row);

/* feeds.c */
void feeds_init(cs_fleet *fleet);
void feeds_tick(cs_fleet *fleet);

/* start_gate.c */
/* Returns whether the worker's zone is evacuated, so that nothing starts on
   the worker. */
bool start_gate_is_closed_at(const cs_fleet *fleet,
                             const struct worker *worker);
/* Returns whether tasks may start in zones that are not known to be evacuated.
 */
bool start_gate_is_open(cs_fleet *fleet);
/* Releases the recorded tasks of a step that must not start, a gang as a
   whole. */
void start_gate_release(cs_fleet *fleet, struct step *step);

/* worker.c */
/* Returns the worker with the id, creating it if necessary. */
struct worker *worker_get(cs_fleet *fleet, const char *id);
void worker_free(gpointer data);
/* Applies a worker's entry in the store. */
void worker_apply(cs_fleet *fleet, const char *id,
                  const cs_worker_entry *entry);
/* Returns the time by which leases that are extended at another time have
   ended. */
int64_t worker_lease_end_us(const cs_fleet *fleet, int64_t extended_us);
void worker_unlist(cs_fleet *fleet, struct worker *worker);
/* Returns whether the worker will get new tasks again, if not now. */
bool worker_is_expected(const cs_fleet *fleet, const struct worker *worker);
/* Returns whether the worker may get new tasks. */
bool worker_is_usable(const cs_fleet *fleet, const struct worker *worker);
/* Returns whether the worker is quarantined and may get tasks that last, if
   there is no room for them elsewhere. */
bool worker_is_last_resort(const cs_fleet *fleet, const struct worker *worker);
/* Returns the estimated time on the worker's clock; -1 if unknown. */
int64_t worker_clock_ms(const struct worker *worker, int64_t now_us);
/* Accounts for leases that an order lets last to until_ms of its clock. */
void worker_extend_lease_end(struct worker *worker, int64_t until_ms);
/* Accounts for leases that a former holder may have extended until now. */
void worker_assume_former_lease(const cs_fleet *fleet, struct worker *worker);
/* Counts a failed run and quarantines the worker after several. */
void worker_record_failure(cs_fleet *fleet, struct worker *worker,
                           const char *job_id);
void worker_record_success(struct worker *worker);
/* Returns the number of a rack, which is assigned at its first use. */
uint32_t worker_rack_number(cs_fleet *fleet, const char *name);
/* Returns an empty list for fleet->label_pairs. */
GArray *worker_label_pairs_create(void);
/* Returns whether the worker is one of the service and has the label, if that
   is not empty. */
bool worker_matches(const struct worker *worker, const char *service,
                    const char *label);
/*
 * Returns the bit of the workers that match a service and a label. Bits are
 * given out as they are needed, and anew once all are taken.
 * changed: whether bits of workers have changed
 */
uint64_t worker_label_bit(cs_fleet *fleet, const char *service,
                          const char *label, bool *changed);
/* Resets what was known of the worker's former incarnation. */
void worker_set_incarnation(cs_fleet *fleet, struct worker *worker,
                            uint64_t incarnation_ms);
/* Returns whether the start of the task's run was sent. */
bool worker_task_is_started(const struct task *task);
/* Returns the number of the worker's tasks whose start was sent. */
uint32_t worker_count_started(const struct worker *worker);
/* Keeps up heartbeats for a while, as the worker may yet list an end. */
void worker_expect_end(cs_fleet *fleet, struct worker *worker);
/* Ends the started tasks of a worker as lapsed, without an end listed. */
void worker_end_started_tasks(cs_fleet *fleet, struct worker *worker,
                              const char *reason);

/* job.c */
/* Adds an accepted job; takes ownership of what spec owns. */
struct job *job_add(cs_fleet *fleet, cs_job_spec *spec);
void job_free(gpointer data);
/* Restores a job's state from the record of a former holder. */
void job_restore_state(cs_fleet *fleet, struct job *job,
                       const cs_job_progress *progress);
/* Restores the tasks in a record of a former holder. */
void job_restore_tasks(cs_fleet *fleet, struct job *job,
                       const cs_job_progress *progress);
void job_cancel(cs_fleet *fleet, struct job *job);
/* Ends the jobs whose cancellation was read before their progress. */
void job_finish_cancelled(cs_fleet *fleet);
/* Ends the job if all its steps are done or one is out of attempts. */
void job_update(cs_fleet *fleet, struct job *job);
/* The same for all jobs. A former holder may have left some without doing so:
   the rows of a job may have been written one after another. */
void job_update_all(cs_fleet *fleet);
/* Creates the steps of the occurrences that are due. */
void job_create_due_steps(cs_fleet *fleet, struct job *job, int64_t wall_ms);
/* The same for all jobs that have not ended, in the order of acceptance. */
void job_create_all_due_steps(cs_fleet *fleet, int64_t wall_ms);
/* Returns how many tasks a holder has room for; memory_bytes 0 if unknown. */
uint64_t job_max_tasks(int64_t memory_bytes);
/* Returns whether all steps that the step depends on are done. */
bool job_step_is_ready(const struct job *job, const struct step *step);
bool job_is_final(const struct job *job);
/* Notes that a worker has answered the start of one of the job's runs, or
   lists it or its end. The job does not wait from then on, whatever becomes of
   the run. */
void job_note_begun(cs_fleet *fleet, struct job *job);
/* Returns whether no task of the job has begun. Adopted tasks count as begun
   until their workers have told. */
bool job_is_waiting(const struct job *job);
/* Returns the length of job->steps: the steps of all occurrences. */
uint32_t job_total_steps(const struct job *job);
/* Returns the task with the name that task_name() gives it, or NULL. */
struct task *job_find_task(cs_fleet *fleet, const char *name);
/* Writes a task's name to out, a buffer of TASK_NAME_BYTES. */
void task_name(char *out, const struct task *task);

/* job_removal.c */
/* Queues the final jobs past their retention for removal. */
void job_queue_expired(cs_fleet *fleet);
/* Removes the row of the next expired job unless a removal is in flight. */
void job_remove_expired(cs_fleet *fleet);
/* Returns whether a row of the job's id is that of this job. */
bool job_is_of_row(const struct job *job, const cs_job_spec *spec);
/* Notes another job of the same id, to be added once an ended job is removed.
   Takes ownership of what spec owns. */
void job_note_newer(cs_fleet *fleet, struct job *job, cs_job_spec *spec,
                    uint64_t row_version);
/* Frees an ended job whose rows are removed, and adds the newer one of its id,
   if any. */
void job_remove(cs_fleet *fleet, struct job *job);
void newer_job_free(struct newer_job *newer);

/* job_terms.c */
/* Sets the terms of a new job. */
void job_terms_init(const cs_fleet *fleet, struct job *job);
/* Applies a new version of the configuration to the terms of all jobs. */
void job_terms_tick(cs_fleet *fleet);
/* Counts the jobs that wait for their queue, for the metrics and the log. */
void job_terms_count(cs_fleet *fleet);
/* Returns the job's queue; NULL while the configuration does not have it, so
   that nothing of the job may start. */
const cs_queue_config *job_queue(const cs_fleet *fleet, const struct job *job);

/* progress.c */
/* Returns the store's limit of a row's value. */
size_t progress_max_row_bytes(const cs_fleet *fleet);
/* Returns how many tasks a row of a new job holds. */
uint32_t progress_default_row_tasks(const cs_fleet *fleet);
/* Creates the job's rows, with a number of tasks each. */
void progress_init(struct job *job, uint32_t row_tasks);
/* Schedules a write of the row with the job's state. */
void progress_set_dirty(cs_fleet *fleet, struct job *job);
/* Schedules a write of the row with the task. */
void progress_set_task_dirty(cs_fleet *fleet, const struct task *task);
/* Returns whether all rows of the job are up to date in the store. */
bool progress_is_recorded(const struct job *job);
/* Returns the number of tasks of the job before those of a step. */
uint32_t progress_first_task(const struct job *job, uint32_t occurrence,
                             uint32_t step_number);
void progress_key(char out[CS_PROGRESS_KEY_BYTES],
                  const struct progress_row *row);
/* Returns whether a key is that of a progress row of any job. */
bool progress_is_key(const char *key);
/* Returns the row with a key, or NULL if no job has such a row. */
struct progress_row *progress_find_row(cs_fleet *fleet, const char *key);
/* Returns the tasks in a row, of struct task, to be freed by the caller. */
GPtrArray *progress_list_tasks(const struct progress_row *row);
/* Appends the record of a row with the tasks in it. Checkpoints that do not
   fit into a row of the store are left out. */
void progress_encode(const cs_fleet *fleet, const struct progress_row *row,
                     const GPtrArray *tasks, GByteArray *out);

/* task.c */
void task_place(cs_fleet *fleet, struct task *task, struct worker *worker,
                uint32_t run);
/* Notes that the worker of an adopted task has told whether its run is there.
 */
void task_set_verified(struct task *task);
/* Takes the task off its worker and lets it wait again. */
void task_release(cs_fleet *fleet, struct task *task);
/* Handles the end of the task's newest run. reason: for the log */
void task_end(cs_fleet *fleet, struct task *task, cs_run_outcome end,
              const char *checkpoint, const char *reason);
/* Stores a newer checkpoint of the task; NULL and empty are ignored. */
void task_set_checkpoint(struct task *task, const char *checkpoint);
/* Learns the worker's speed from progress that a heartbeat has listed. */
void task_sample_speed(cs_fleet *fleet, struct task *task);
/* Counts a waiting task as done. */
void task_mark_done(struct task *task);
/*
 * Handles a run that has succeeded although it was considered lost: completes
 * its task and stops the newer run.
 */
void task_complete_late(cs_fleet *fleet, struct task *task, uint32_t run);
/* Returns the number of the task's next run, unless it is of a gang. */
uint32_t task_next_run(const struct task *task);
/* Returns the number of the next run of a gang. */
uint32_t step_next_run(const struct step *step);
/* Stops or releases all members of a gang after one of them has ended. */
void step_stop_members(cs_fleet *fleet, struct step *step);
/* Returns the task's demand in cores, accelerators included by their weight.
 */
double task_cores(const struct task *task);
/* Returns the core-seconds of work lost if the task were stopped now. */
double task_stop_loss(const cs_fleet *fleet, const struct task *task,
                      int64_t now_us);
/* Returns the mean run time learned for the queue, else the declared one. */
double fleet_expected_run_ms(const cs_fleet *fleet, const char *queue,
                             const cs_job_step *step);

/* run.c */
/* Sends the start of a task whose run is recorded. */
void run_start(cs_fleet *fleet, struct task *task);
void run_stop(cs_fleet *fleet, struct task *task);
/* Stops a run on a worker that no task accounts for. */
void run_stop_unknown(cs_fleet *fleet, struct worker *worker, const char *task,
                      uint32_t run);

/* Sends a stop that no task accounts for. */
void run_send_stop(cs_fleet *fleet, struct worker *worker, const char *name,
                   uint32_t run);

/* unsettled.c */
GHashTable *unsettled_starts_create(void);
/* Notes the call of a start that has got no answer. */
void unsettled_note(const struct call *call);
/* Notes that a former holder may have sent the start of an adopted task, which
   the worker has not listed. */
void unsettled_note_adopted(cs_fleet *fleet, const struct task *task);
/* Notes that a stop has succeeded, after which the start is refused. */
void unsettled_settle(const struct call *call);
/* Handles an answer to a heartbeat sent at a time. Runs that were stopped
   before and are not listed cannot begin any more. */
void unsettled_confirm_stops(cs_fleet *fleet, const struct worker *worker,
                             int64_t sent_us);
/* Notes that a start was carried out: an order is so once at most. */
void unsettled_end(cs_fleet *fleet, struct worker *worker, const char *name,
                   uint32_t run);
/* Returns whether a start of the task may be carried out by an incarnation
   that would not refuse it, on another worker than that of the task. */
bool unsettled_holds(const cs_fleet *fleet, const struct task *task);
/* Holds such waiting tasks as unwanted_hold_tasks() does, and adds them to
   held. */
void unsettled_hold_tasks(cs_fleet *fleet, GPtrArray *held);
/* Stops the other runs of such tasks, and tells other incarnations to refuse
   their starts. */
void unsettled_tick(cs_fleet *fleet);
/* Adds the unsettled starts of a task to a record, and takes their size off
   the bytes that are available there. */
void unsettled_add_to_record(const cs_fleet *fleet, const struct task *task,
                             cs_job_progress *progress, size_t *available);
/* Restores one from the record of a former holder. */
void unsettled_restore(cs_fleet *fleet, const char *job_id,
                       const cs_unsettled_start *record);

/* unwanted.c */
GHashTable *unwanted_tasks_create(void);
/* Notes that a worker lists a run that is not wanted there. */
void unwanted_note(cs_fleet *fleet, struct worker *worker, const char *name,
                   uint32_t run);
/* Forgets those of the worker's unwanted runs that the answer to a heartbeat
   has not listed. Ones that were seen after it was sent may have started
   behind it. */
void unwanted_forget(cs_fleet *fleet, struct worker *worker, int64_t sent_us);
/* Forgets all of them, as they have surely ended. */
void unwanted_end_all(cs_fleet *fleet, struct worker *worker,
                      const char *reason);
/* Returns whether a worker lists an unwanted run of the task. */
bool unwanted_holds(const cs_fleet *fleet, const struct task *task);
/*
 * Holds the waiting tasks with unwanted runs for a scheduling cycle: they do
 * not count in waiting_count until unwanted_release_tasks(). Returns them.
 */
GPtrArray *unwanted_hold_tasks(cs_fleet *fleet);
void unwanted_release_tasks(GPtrArray *held);

/* run_log.c */
/* Logs the recorded tasks of a step, which are about to start. */
void run_log_starts(const cs_fleet *fleet, const struct step *step);
/* Logs the tasks that were restored from a former holder's records. */
void run_log_adopted(const cs_fleet *fleet);
/* Logs why a run that a worker lists is not wanted, unless it did so a short
   while ago. */
void run_log_unwanted(cs_fleet *fleet, const struct worker *worker,
                      struct unwanted_run *unwanted);
/* Logs the end of a task's run, unless it is done. */
void run_log_end(const cs_fleet *fleet, const struct task *task,
                 cs_run_outcome end, const char *reason);

/* advice.c */
void advice_free(struct advice *advice);
/* Asks about some of the ranked workers unless a query is in flight. */
void advice_ask(cs_fleet *fleet, struct step *step, const uint32_t *ranked,
                uint32_t count);
/*
 * Returns by worker index whether the step has a valid ticket for it, to be
 * freed with g_free().
 */
bool *advice_ticketed_workers(const cs_fleet *fleet, const struct step *step);
/*
 * Returns by worker index whether the adviser has not refused it for the step,
 * to be freed with g_free().
 */
bool *advice_eligible_workers(const cs_fleet *fleet, const struct step *step);
/* Returns the ticket for a start on the worker now, or NULL. */
const char *advice_ticket(const cs_fleet *fleet, const struct step *step,
                          const struct worker *worker);
/* Discards the ticket that a worker has refused. */
void advice_discard_ticket(struct step *step, struct worker *worker);

/* speeds.c */
/*
 * Encodes the row of the next group of workers if one is due.
 * Returns whether it was.
 */
bool speeds_encode_due(cs_fleet *fleet, uint32_t *group, GByteArray *out);
void speeds_apply_row(cs_fleet *fleet, const cs_row *row);
/* Sets a worker's speed to the stored one if none is known yet. */
void speeds_restore(const cs_fleet *fleet, struct worker *worker);

/* forecast.c */
/* Makes a forecast if one is due. */
void forecast_tick(cs_fleet *fleet);
/* Returns the record of the last forecast of this tenure, or NULL. */
const GByteArray *forecast_record(const cs_fleet *fleet);
/* Drops what forecasts were made from. */
void forecast_reset(cs_fleet *fleet);
/* Describes the forecast that the process knows; NULL if there is none. */
json_t *forecast_status(const cs_fleet *fleet);

/* evacuate.c */
void evacuate_tick(cs_fleet *fleet);

/* heartbeat.c */
void heartbeat_tick(cs_fleet *fleet);
/* Sends an extra heartbeat at once, even while another one is pending. */
void heartbeat_probe(cs_fleet *fleet, struct worker *worker);

/* change.c */
void commit_init(struct commit *commit);
void commit_dispose(struct commit *commit);
/* Empties the change. */
void commit_reset(struct commit *commit);
/* Fills the change with what is out of date in the store, up to its limits. */
void commit_build(cs_fleet *fleet);

/* commit.c */
/* Drops the change that is being written. */
void commit_clear(cs_fleet *fleet);
void commit_tick(cs_fleet *fleet);

/* cycle.c */
/* Runs a scheduling cycle. */
void cycle_run(cs_fleet *fleet);

#endif
