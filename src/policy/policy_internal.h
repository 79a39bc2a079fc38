/* Shared by the files of the policy; not part of the interface. */
#ifndef CS_POLICY_INTERNAL_H
#define CS_POLICY_INTERNAL_H

#include <glib.h>
#include "corianderstair/sched.h"

#define ORDER_COUNT 7  /* blocks of 1..64 accelerators in a worker */
#define CLASS_COUNT 13 /* queues for 1..4096 accelerators */
#define TIER_COUNT 4
#define NO_WORKER UINT32_MAX
/* A job that has failed on this many sound workers is at fault itself. */
#define JOB_STRIKES_MAX 3
/* Workers under suspicion that a job keeps away from. */
#define JOB_AVOIDS_MAX 8

/* A started job's part of a worker. */
struct tenant {
    cs_sched_job *job;
    uint64_t mask;
};

struct worker {
    uint32_t rack;
    uint32_t accelerators;
    bool up;     /* as its owner says */
    bool usable; /* up and not set aside */
    cs_health health;
    uint32_t strikes;     /* failures of different jobs in a row */
    uint64_t last_failed; /* the job that failed last */
    int64_t aside_us;     /* length of the last time aside */
    int64_t aside_until_us;
    uint64_t all;
    uint64_t used;       /* by started jobs */
    uint64_t claimed;    /* by jobs that wait for a preemption */
    uint64_t held;       /* part of used or claimed by guaranteed jobs */
    int64_t reserved_us; /* backfill must end by then; 0 not reserved */
    int8_t order;        /* largest free block; -1 none */
    bool whole;          /* usable and wholly free */
    uint32_t free;       /* counted in the topology's sum */
    bool counted;        /* among the topology's accelerators */
    GArray *tenants;     /* of struct tenant */
};

struct rack {
    GArray *workers; /* of uint32_t */
    uint32_t whole;  /* wholly free workers */
    uint32_t whole_accelerators;
    uint32_t reserved; /* workers with a reservation */
    uint32_t accelerators;
    uint32_t orders[ORDER_COUNT]; /* workers by largest free block */
};

struct topology {
    GArray *workers;       /* of struct worker */
    GArray *racks;         /* of struct rack */
    uint32_t worker_max;   /* most accelerators in one worker */
    uint32_t rack_max;     /* most accelerators in one rack */
    uint32_t accelerators; /* on usable workers */
    uint32_t free;
};

struct queue_key {
    int64_t remaining_us;
    uint64_t sequence;
};

typedef enum {
    WAIT_NEW,
    WAIT_NO_SPACE,
    WAIT_RESERVED, /* would delay a reservation */
    WAIT_CLAIM,    /* others are being stopped for it */
    WAIT_ENTITLED  /* all guaranteed blocks of its size are in use */
} wait_reason;

typedef enum { JOB_QUEUED, JOB_CLAIMING, JOB_STARTED, JOB_STOPPING } job_state;

struct cs_sched_job {
    cs_sched_request request;
    job_state state;
    wait_reason wait;
    uint64_t sequence;
    struct queue_key key;
    cs_sched_member *members;
    uint32_t member_count;
    int64_t started_us;
    int64_t stop_us;     /* deadline of a stop */
    int64_t expected_us; /* of a reservation */
    uint32_t guarantee;  /* index of the shape it claims, or UINT32_MAX */
    uint32_t strikes;    /* failures on workers then free of suspicion */
    uint32_t failures;   /* entries made in failed_on, oldest overwritten */
    uint32_t failed_on[JOB_AVOIDS_MAX];
    uint64_t mark; /* visited in this search */
    GSequenceIter *by_length;
    GList *by_age;
};

struct guarantee {
    uint32_t accelerators;
    uint32_t count;
    uint32_t claimed;
};

struct organisation {
    int64_t weight;
    GArray *guarantees; /* of struct guarantee, smallest first */
    GSequence *queues[TIER_COUNT][CLASS_COUNT];
    cs_sched_job *heads[TIER_COUNT][CLASS_COUNT]; /* first of each queue */
    uint32_t nonempty[TIER_COUNT];                /* a bit for each class */
    uint32_t running; /* accelerators outside guarantees */
    double usage;     /* decayed accelerator-seconds */
    int64_t usage_us; /* instant of usage */
};

struct estimate {
    double log_ratio;   /* of run time to declared time */
    double log_run;     /* of run time */
    double ratio_error; /* mean error of each predictor */
    double run_error;
    uint32_t count;
};

struct cs_sched {
    cs_sched_settings settings;
    struct topology topology;
    GPtrArray *organisations;             /* of struct organisation */
    GQueue ages[TIER_COUNT][CLASS_COUNT]; /* oldest first */
    GQueue claiming;
    GHashTable *estimates; /* (organisation, class) to struct estimate */
    GHashTable *jobs;      /* every job, for the end */
    GQueue decisions;      /* made and not fetched */
    int64_t last_us;       /* latest instant seen */
    bool moving;           /* a search may move jobs of the same tier */
    uint64_t next_sequence;
    uint64_t mark;
    uint32_t queued;
    uint32_t started;
    uint32_t aside;         /* workers set aside */
    int64_t suspend_us;     /* last search for a long job to suspend */
    int64_t reserve_us;     /* last search for a place to reserve */
    uint32_t opportunistic; /* started jobs of that tier */
    cs_sched_job *reserved; /* the job that the reservation is for */
};

/* topology.c */
void topology_init(struct topology *t);
void topology_dispose(struct topology *t);
uint32_t topology_add(struct topology *t, uint32_t rack,
                      uint32_t accelerators);
struct tenant *worker_tenant(const struct worker *w, uint32_t i);
struct worker *topology_worker(const struct topology *t, uint32_t index);
struct rack *topology_rack(const struct topology *t, uint32_t index);
/* Brings the sums of the worker's rack up to date after a change. */
void topology_update(struct topology *t, uint32_t index);
uint64_t worker_free(const struct worker *w);
uint32_t order_for(uint32_t accelerators);
/* Lowest free block that holds n accelerators, as a mask; 0 none. */
uint64_t block_find(const struct worker *w, uint64_t free, uint32_t n);
uint64_t low_bits(uint32_t n);

/* place.c */
typedef struct {
    GArray *members; /* of cs_sched_member */
    bool blocked;    /* only a reservation stood in the way */
} placement;

bool place_find(placement *out, const struct topology *t, uint32_t n,
                int64_t end_us);
bool place_first_fit(placement *out, const struct topology *t, uint32_t n);
/* Shortest run of racks with n accelerators by the given sums. */
bool window_find(uint32_t *first, uint32_t *last, const uint32_t *sums,
                 uint32_t count, uint32_t n);

/* reclaim.c */
bool reclaim_find(GArray *members, cs_sched *sched, const cs_sched_job *job,
                  int64_t now_us);
double reclaim_cost(const cs_sched_job *victim, int64_t now_us);

/* pack.c: the room that guarantees are packed into. */
struct room {
    uint32_t *whole; /* by rack: accelerators on whole workers */
    uint32_t rack_count;
    GArray *workers;    /* of struct room_worker */
    GArray *rack_first; /* index of each rack's first worker */
};

struct room_worker {
    uint32_t rack;
    uint32_t size;
    uint64_t avail;
    bool whole;
};

void room_init(struct room *room, const struct topology *t, bool now);
void room_dispose(struct room *room);
void room_take(struct room *room, uint32_t worker, uint64_t mask);
void room_remove_spares(struct room *room, uint32_t spare);
/* Packs sizes in descending order. Returns how many did not fit. */
uint32_t room_pack(struct room *room, const uint32_t *sizes, uint32_t count);

/* guarantee.c */
bool guarantee_claim(cs_sched *sched, cs_sched_job *job);
void guarantee_return(cs_sched *sched, cs_sched_job *job);
bool guarantee_is_safe(const cs_sched *sched, const GArray *members);
GArray *guarantee_outstanding(const cs_sched *sched);

/* queue.c */
void queue_init(cs_sched *sched);
void queue_dispose(cs_sched *sched);
struct organisation *queue_organisation(const cs_sched *sched, uint32_t i);
void queue_push(cs_sched *sched, cs_sched_job *job);
void queue_remove(cs_sched *sched, cs_sched_job *job);
double queue_share(struct organisation *o, int64_t now_us);
void queue_charge(struct organisation *o, int64_t now_us);
uint32_t class_of(uint32_t accelerators);

/* estimate.c */
int64_t estimate_run(const cs_sched *sched, const cs_sched_request *request);
void estimate_learn(cs_sched *sched, const cs_sched_request *request,
                    int64_t run_us);

/* suspend.c: a long job that should give way to this one, or NULL. */
cs_sched_job *suspend_find(cs_sched *sched, const cs_sched_job *waiting,
                           int64_t now_us);

/* health.c */
void health_tick(cs_sched *sched, int64_t now_us);
/* Hides workers under suspicion from a job that failed there, and shows
   them again. */
void health_hide(cs_sched *sched, const cs_sched_job *job, bool hide);

/* reserve.c */
void reserve_clear(cs_sched *sched);
void reserve_make(cs_sched *sched, cs_sched_job *job, int64_t now_us);

/* sched.c */
int64_t job_end_us(const cs_sched *sched, const cs_sched_job *job);

#endif
