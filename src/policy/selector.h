/* Selects the queued jobs of one tier in the order of fair share. */
#ifndef CS_SELECTOR_H
#define CS_SELECTOR_H

#include "policy_internal.h"

/* The job of an organisation that is tried next. */
struct candidate {
    cs_sched_job *job;     /* NULL for none */
    double share_level;    /* weighted share, in whole share quanta */
    double remaining_work; /* remaining run time in us times accelerators */
};

/* The last job of a size class that found no place. */
struct unplaced_job {
    uint32_t accelerators;
    int64_t remaining_us;
};

struct selector {
    cs_sched *sched;
    cs_tier tier;
    int64_t now_us;
    double share_quantum;         /* accelerators; see SHARE_QUANTUM */
    struct candidate *candidates; /* by organisation */
    uint32_t organisation_count;
    /* Jobs of this many accelerators or more do not fit anywhere. */
    uint32_t smallest_unplaceable;
    struct unplaced_job unplaced[SIZE_CLASS_COUNT];
};

void selector_init(struct selector *selector, cs_sched *sched, cs_tier tier,
                   int64_t now_us);
void selector_dispose(struct selector *selector);
/* Returns the job to try next, or NULL. */
cs_sched_job *selector_next(struct selector *selector);
/* Reports that the selected job of the organisation was started. */
void selector_job_started(struct selector *selector, uint32_t organisation);
/* Reports that the selected job found no place, for the reason in job.wait. */
void selector_job_unplaced(struct selector *selector, const cs_sched_job *job);

#endif
