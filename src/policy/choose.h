/* The order of waiting jobs within one turn. */
#ifndef CS_CHOOSE_H
#define CS_CHOOSE_H

#include "policy_internal.h"

struct choice {
    cs_sched_job *job; /* NULL for none */
    double step;       /* of the organisation's share */
    double area;       /* work left of the job */
};

struct failure {
    uint32_t accelerators;
    int64_t remaining_us;
};

struct chooser {
    cs_sched *sched;
    cs_tier tier;
    int64_t now_us;
    double step;
    struct choice *choices; /* by organisation */
    uint32_t count;
    uint32_t smallest_failed; /* nothing as large finds a free place */
    struct failure failed[CLASS_COUNT];
};

void chooser_init(struct chooser *c, cs_sched *sched, cs_tier tier,
                  int64_t now_us);
void chooser_dispose(struct chooser *c);
/* The job to try next, or NULL. */
cs_sched_job *chooser_next(struct chooser *c);
/* A job of this organisation was started. */
void chooser_started(struct chooser *c, uint32_t organisation);
/* The job found no place; its wait says why. */
void chooser_failed(struct chooser *c, const cs_sched_job *job);

#endif
