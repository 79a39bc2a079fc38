/* Shared by the files of a turn of decisions. */
#ifndef CS_CYCLE_INTERNAL_H
#define CS_CYCLE_INTERNAL_H

#include "fleet_internal.h"

/* A step with tasks that wait and may start. */
struct candidate {
    struct step *step;
    const cs_queue_config *queue;
    bool claims; /* within its organisation's guarantee */
    bool late;   /* beyond its objective */
    bool lapsed; /* so late that its end counts for nothing */
};

struct turn {
    cs_fleet *fleet;
    cs_now now;
    cs_fit_cell cell;
    GArray *candidates;  /* of struct candidate, in the order of their turn */
    GHashTable *claimed; /* organisation to claimed accelerators */
    GArray *failed;      /* of cs_fit_request that found no room */
    uint32_t searches;   /* for victims */
    double use;          /* share of the usable accelerators in use */
    uint32_t urgent_racks; /* that only urgent work may take */
    bool idle;             /* no jobs come, and half of the room is free */
};

/* cycle_order.c */
void turn_gather(struct turn *turn);
/* Seconds that a task of the step is expected to run. */
double turn_step_seconds(const cs_fleet *fleet, const struct step *step);

/* cycle_request.c */
/* Disposed with turn_free_request. */
void turn_make_request(struct turn *turn, const struct candidate *candidate,
                       cs_fit_request *request);
void turn_free_request(cs_fit_request *request);
void turn_ask_for_advice(struct turn *turn, const struct candidate *candidate,
                         const cs_fit_request *request);

/* cycle_preempt.c */
void turn_preempt(struct turn *turn, const struct candidate *candidate,
                  const cs_fit_request *request);

/* cycle.c */
/* Takes a claim's room away from all others, or gives it back. */
void turn_apply_claim(struct turn *turn, const struct step *step, bool keep);

#endif
