/* Types and functions that the files of the scheduling policy share. */
#ifndef CS_POLICY_INTERNAL_H
#define CS_POLICY_INTERNAL_H

#include <glib.h>
#include "corianderstair/sched.h"

#define BLOCK_ORDER_COUNT 7 /* free blocks of 1, 2, 4 .. 64 accelerators */
#define SIZE_CLASS_COUNT 13 /* jobs of up to 1, 2, 4 .. 4096 accelerators */
#define TIER_COUNT 4
#define NO_WORKER UINT32_MAX
/* A job that fails on this many healthy workers is itself at fault. */
#define JOB_ATTRIBUTED_FAILURES_MAX 3
/* How many of the workers that it failed on a job remembers. */
#define JOB_FAILED_WORKERS_MAX 8

/* The accelerators of one worker that a started job uses. */
struct allocation {
    cs_sched_job *job;
    uint64_t mask;
};

/* Masks have one bit for each accelerator of the worker. */
struct worker {
    uint32_t rack;
    uint32_t accelerators;
    bool reported_usable; /* last value given to cs_sched_set_usable */
    bool usable;          /* reported usable and not in quarantine */
    cs_health health;
    uint32_t consecutive_failures; /* of different jobs, with no success */
    uint64_t last_failed_job;      /* sequence number; 0 for none */
    int64_t quarantine_us;         /* length of the latest quarantine */
    int64_t quarantine_until_us;
    uint64_t all_mask;
    uint64_t used_mask;       /* by started jobs */
    uint64_t claimed_mask;    /* by jobs that wait for their victims to stop */
    uint64_t guaranteed_mask; /* used or claimed by guaranteed jobs */
    /* Backfilled jobs must end by then; 0 where there is no reservation. */
    int64_t reservation_start_us;
    /* topology_update recomputes the members from here to
       counted_in_topology. */
    int8_t largest_free_order; /* order of the largest free block; -1 none */
    bool fully_free;           /* usable, and nothing is used or claimed */
    uint32_t free_accelerators;
    bool counted_in_topology; /* as part of topology.accelerators */
    GArray *allocations;      /* of struct allocation */
};

struct rack {
    GArray *workers; /* of uint32_t: indexes into topology.workers */
    uint32_t fully_free_workers;
    uint32_t fully_free_accelerators; /* on the fully free workers */
    uint32_t reserved_workers;        /* part of the reservation */
    uint32_t accelerators;            /* on usable and unusable workers */
    /* Number of workers by the order of their largest free block. */
    uint32_t workers_by_order[BLOCK_ORDER_COUNT];
};

struct topology {
    GArray *workers;       /* of struct worker */
    GArray *racks;         /* of struct rack, by their order on the floor */
    uint32_t worker_max;   /* accelerators of the largest worker */
    uint32_t rack_max;     /* accelerators of the largest rack */
    uint32_t accelerators; /* on usable workers */
    uint32_t free_accelerators;
};

/* Sort key of an organisation's queues: the shortest job first. */
struct queue_key {
    int64_t remaining_us;
    uint64_t sequence;
};

/* Why a job has not been started. */
typedef enum {
    WAIT_NEW,             /* no scheduling cycle has considered it yet */
    WAIT_NO_SPACE,        /* no free place is large enough */
    WAIT_RESERVED,        /* starting it would delay the reserved job */
    WAIT_PREEMPTION,      /* its victims are being stopped */
    WAIT_GUARANTEE_IN_USE /* every guaranteed shape that holds it is claimed */
} wait_reason;

typedef enum {
    JOB_QUEUED,
    JOB_CLAIMING, /* has a place and waits for its victims to stop */
    JOB_STARTED,
    JOB_STOPPING
} job_state;

struct cs_sched_job {
    cs_sched_request request;
    job_state state;
    wait_reason wait;
    uint64_t sequence; /* number of the submission, from 1 */
    struct queue_key key;
    cs_sched_member *members;
    uint32_t member_count;
    int64_t started_us;
    int64_t stop_deadline_us;
    int64_t expected_start_us;    /* of the reservation; 0 without one */
    uint32_t claimed_shape;       /* its accelerators; UINT32_MAX for none */
    uint32_t attributed_failures; /* on workers that were then healthy */
    /* Ring buffer of workers; the count includes overwritten entries. */
    uint32_t failed_worker_count;
    uint32_t failed_workers[JOB_FAILED_WORKERS_MAX];
    uint64_t search_mark;          /* the last search that visited the job */
    GSequenceIter *queue_position; /* in organisation.queues */
    GList *age_link;               /* in cs_sched.jobs_by_age */
};

/* All guaranteed shapes of one size that an organisation has. */
struct guarantee {
    uint32_t accelerators;
    uint32_t count;
    uint32_t claimed; /* by jobs that wait for victims or run */
};

struct organisation {
    int64_t weight;
    GArray *guarantees; /* of struct guarantee, smallest first */
    GSequence *queues[TIER_COUNT][SIZE_CLASS_COUNT];
    cs_sched_job *heads[TIER_COUNT][SIZE_CLASS_COUNT]; /* NULL if empty */
    uint32_t nonempty_classes[TIER_COUNT]; /* a bit for each size class */
    uint32_t running_accelerators;         /* without guaranteed jobs */
    double usage; /* accelerator-seconds with exponential decay */
    int64_t usage_updated_us;
};

/* Run times of a job class; see estimate.c. Logarithms are natural. */
struct estimate {
    double log_ratio;   /* mean of log(run time / declared time) */
    double log_run;     /* mean of log(run time in us) */
    double ratio_error; /* mean absolute error of a forecast by log_ratio */
    double run_error;   /* mean absolute error of a forecast by log_run */
    uint32_t run_count;
};

struct cs_sched {
    cs_sched_settings settings;
    struct topology topology;
    GPtrArray *organisations; /* of struct organisation */
    /* The queued jobs, the oldest first. */
    GQueue jobs_by_age[TIER_COUNT][SIZE_CLASS_COUNT];
    GQueue claiming_jobs;
    GHashTable *estimates;    /* (organisation, class) to struct estimate */
    GHashTable *jobs;         /* set of all jobs, owned */
    GQueue pending_decisions; /* not returned to the caller yet */
    int64_t latest_us;        /* latest time passed in by the caller */
    bool migrating; /* the search for victims may take jobs of the same tier */
    uint64_t next_sequence;
    uint64_t search_mark; /* number of the current search */
    uint32_t queued_count;
    uint32_t started_count;
    uint32_t quarantined_workers;
    int64_t last_suspend_us; /* time of the last search of suspend_find */
    int64_t
        last_reservation_us; /* time of the last call of reservation_make */
    uint32_t opportunistic_count; /* started jobs of the opportunistic tier */
    cs_sched_job *reserved_job;   /* owner of the reservation, or NULL */
};

/* topology.c */
void topology_init(struct topology *topology);
void topology_dispose(struct topology *topology);
/* Returns the index of the new worker. */
uint32_t topology_add(struct topology *topology, uint32_t rack_index,
                      uint32_t accelerators);
struct allocation *worker_allocation(const struct worker *worker,
                                     uint32_t index);
struct worker *topology_worker(const struct topology *topology,
                               uint32_t index);
struct rack *topology_rack(const struct topology *topology, uint32_t index);
/* Recomputes the sums of a worker, its rack and the topology. Called after
   each change to the worker's masks or to usable. */
void topology_update(struct topology *topology, uint32_t index);
/* Returns no bits for an unusable worker. */
uint64_t worker_free_mask(const struct worker *worker);
/* Returns the smallest order whose blocks hold the accelerators. */
uint32_t block_order(uint32_t accelerators);
/* Returns the first size accelerators of the tightest aligned free block that
   holds them, or 0 if there is none. */
uint64_t block_find(const struct worker *worker, uint64_t free_mask,
                    uint32_t size);
/* Returns a mask of the lowest count bits. */
uint64_t low_bits(uint32_t count);

/* place.c */
typedef struct {
    GArray *members;             /* of cs_sched_member */
    bool blocked_by_reservation; /* a reserved worker was passed over */
} placement;

/* Finds free accelerators for a job that is expected to end at end_us. */
bool place_best_fit(placement *out, const struct topology *topology,
                    uint32_t size, int64_t end_us);
/* Finds free accelerators without regard to fragmentation. */
bool place_first_fit(placement *out, const struct topology *topology,
                     uint32_t size);
/* Finds the shortest run of consecutive racks whose sums add up to size or
   more, and the one with the smallest total among equally short ones. */
bool rack_window_find(uint32_t *first, uint32_t *last, const uint32_t *sums,
                      uint32_t count, uint32_t size);

/* preemption.c */
/* Finds the place where starting the job costs its victims the least. */
bool preemption_find(GArray *members, cs_sched *sched, const cs_sched_job *job,
                     int64_t now_us);
/* Returns the cost of a stop in accelerator-seconds, weighted by tier. */
double preemption_cost(const cs_sched_job *victim, int64_t now_us);

/* capacity.c: the capacity that guaranteed shapes are packed into, a
   copy that the packing uses up. */
struct capacity {
    uint32_t *fully_free_accelerators; /* by rack */
    uint32_t rack_count;
    GArray *workers;    /* of struct capacity_worker, rack by rack */
    GArray *rack_first; /* of uint32_t: the first worker of each rack */
};

struct capacity_worker {
    uint32_t rack;
    uint32_t accelerators;
    uint64_t available_mask;
    bool fully_free;
};

/* With current_state, leaves out unusable workers and what guaranteed jobs
   use or claim; without it, counts every accelerator as available. */
void capacity_init(struct capacity *capacity, const struct topology *topology,
                   bool current_state);
void capacity_dispose(struct capacity *capacity);
/* index counts the workers rack by rack, as capacity.workers does. */
void capacity_take(struct capacity *capacity, uint32_t index, uint64_t mask);
/* Removes the given number of workers, each from the rack with the most fully
   free accelerators. */
void capacity_remove_spares(struct capacity *capacity, uint32_t spare);
/* Packs the shapes and returns how many did not fit. */
uint32_t capacity_pack(struct capacity *capacity, const uint32_t *sizes,
                       uint32_t count);

/* guarantee.c */
/* Assigns the job the smallest unclaimed shape that holds it. */
bool guarantee_claim(cs_sched *sched, cs_sched_job *job);
void guarantee_release(cs_sched *sched, cs_sched_job *job);
/* Returns whether the unclaimed shapes still fit, or are no worse off, if a
   guaranteed job takes the members. */
bool guarantee_allows_placement(const cs_sched *sched, const GArray *members);
/* Returns the sizes of all unclaimed shapes; the caller frees the array. */
GArray *guarantee_unclaimed_sizes(const cs_sched *sched);

/* queue.c */
void queue_init(cs_sched *sched);
void queue_dispose(cs_sched *sched);
struct organisation *queue_organisation(const cs_sched *sched, uint32_t index);
void queue_push(cs_sched *sched, cs_sched_job *job);
void queue_remove(cs_sched *sched, cs_sched_job *job);
/* Returns running plus recent accelerators, divided by the weight. */
double queue_weighted_share(struct organisation *organisation, int64_t now_us);
/* Brings the decayed usage forward to now_us. Called before each change of
   running_accelerators. */
void queue_update_usage(struct organisation *organisation, int64_t now_us);
uint32_t size_class_of(uint32_t accelerators);

/* estimate.c */
/* Returns the expected run time in us, the declared one until enough runs of
   the class have been recorded. */
int64_t estimate_run(const cs_sched *sched, const cs_sched_request *request);
/* Records the run time of a completed job. */
void estimate_record_run(cs_sched *sched, const cs_sched_request *request,
                         int64_t run_us);

/* suspend.c */
/* Returns a long job to suspend in favour of the waiting one, or NULL. */
cs_sched_job *suspend_find(cs_sched *sched, const cs_sched_job *waiting,
                           int64_t now_us);

/* health.c */
/* Ends the quarantines that have run out. */
void health_end_quarantines(cs_sched *sched, int64_t now_us);
/* Makes suspect workers that the job failed on unusable for a search, or with
   exclude false usable again. A worker is suspect on probation, and from a
   failure on it until its next success. */
void health_exclude_suspects(cs_sched *sched, const cs_sched_job *job,
                             bool exclude);

/* reservation.c */
void reservation_clear(cs_sched *sched);
/* Replaces the reservation by one for the job, where a place for it exists. */
void reservation_make(cs_sched *sched, cs_sched_job *job, int64_t now_us);

/* sched.c */
/* Returns when a started job is expected to end, or must have stopped. */
int64_t job_end_us(const cs_sched *sched, const cs_sched_job *job);

#endif
