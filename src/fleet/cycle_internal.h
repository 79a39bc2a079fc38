/* Private declarations of the files of a scheduling cycle, cycle*.c. */
#ifndef CS_CYCLE_INTERNAL_H
#define CS_CYCLE_INTERNAL_H

#include "ledger.h"

/* A step with waiting tasks that may start. */
struct candidate {
    struct step *step;
    const cs_queue_config *queue;
    int64_t objective_ms; /* see cycle_objective_ms() */
    bool guaranteed;      /* within its organisation's guarantee */
    double lateness; /* relative to its queue's objective, see zone_lag.h */
    cs_share *share; /* of its organisation */
    uint32_t zone;   /* of its entry, index in fleet->ledger->zones */
    cs_share_rank rank;
    bool too_late_to_count; /* would end too late to count, see
                               COUNTED_UNTIL_FACTOR in cycle_order.c */
    /* For how long it may still wait; negative if it is late already. */
    int64_t objective_slack_ms; /* to meet its objective */
    int64_t counted_slack_ms;   /* to count at all */
};

/* A request that found no capacity. */
struct failed_request {
    cs_binpack_request request;
    double duration_s; /* of which reservations have limited it; 0 for none */
};

/* The state of one scheduling cycle. */
struct cycle {
    cs_fleet *fleet;
    cs_now now;
    cs_binpack_cell cell;
    cs_binpack_cell expected_cell; /* the same, but usable are all workers that
                                      will get tasks again, if not now */
    GArray *candidates;         /* of struct candidate, in scheduling order */
    GHashTable *guarantee_used; /* organisation's config to the accelerators
                                   of its guarantee that are used */
    GArray *failed_requests;    /* of struct failed_request */
    struct running_work *running; /* of cycle_preempt.c; NULL until needed */
    double accelerator_use;       /* share of the usable accelerators in use */
    uint32_t urgent_only_racks;   /* reserved for urgent tasks */
    bool capacity_idle; /* about half is free and no jobs come to use it */
};

/* cycle_order.c */
/* Fills cycle->candidates. */
void cycle_collect_candidates(struct cycle *cycle);
/* Returns whether the lateness of the candidate's job says something of its
   zone: repeated and perpetual jobs have no single objective. */
bool cycle_counts_for_zone(const struct candidate *candidate);
/* Returns the expected run time of a task of the step, in seconds. */
double cycle_expected_run_s(const cs_fleet *fleet, const struct step *step);
/* Returns the time on the wall clock by which the job has to be completed to
   count in full, from the target_ms and the stretch of its queue. */
int64_t cycle_objective_ms(const cs_fleet *fleet, const struct job *job,
                           const cs_queue_config *queue);
/* Returns the same to count at all. */
int64_t cycle_counted_until_ms(const struct job *job, int64_t objective_ms);

/* cycle_request.c */
/* Fills a bin packing request, to be freed with cycle_free_request(). */
void cycle_make_request(struct cycle *cycle, const struct candidate *candidate,
                        cs_binpack_request *request);
void cycle_free_request(cs_binpack_request *request);
void cycle_request_advice(struct cycle *cycle,
                          const struct candidate *candidate,
                          const cs_binpack_request *request);

/* cycle_preempt.c */
/* Stops other work for a step if the step gains more than the work loses. */
void cycle_preempt(struct cycle *cycle, const struct candidate *candidate,
                   const cs_binpack_request *request);
/* Frees what cycle_preempt() has collected in the cycle. */
void cycle_preempt_dispose(struct cycle *cycle);

/* cycle.c */
/* Takes a step's reserved capacity from the cell, or gives it back. */
void cycle_apply_reservation(struct cycle *cycle, const struct step *step,
                             bool reserve);

#endif
