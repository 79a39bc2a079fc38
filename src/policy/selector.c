/*
 * Selects the next job from the organisation with the smallest weighted
 * share. Among organisations whose shares are nearly equal, the job with the
 * least remaining work goes first. After a job has found no place, the jobs of
 * its size class that are at least as large and at least as long are not tried
 * in this scheduling cycle. If no reservation stood in its way, no job of any
 * class that is at least as large is tried.
 */
#include "selector.h"

#include <math.h>

/* Shares are compared in steps of this fraction of the cell's accelerators,
   so that organisations with nearly equal shares tie. */
#define SHARE_QUANTUM 0.04

static double
remaining_work(const cs_sched_job *job)
{
    return (double)job->key.remaining_us * job->request.accelerators;
}

static bool
is_unplaceable(const struct selector *selector, const cs_sched_job *job)
{
    const struct unplaced_job *known =
        &selector->unplaced[size_class_of(job->request.accelerators)];

    if (job->request.accelerators >= selector->smallest_unplaceable)
        return true;
    return job->request.accelerators >= known->accelerators &&
           job->key.remaining_us >= known->remaining_us;
}

/* Compares the shortest job of each size class and keeps the one with the
   least remaining work. */
static void
update_candidate(struct selector *selector, uint32_t i)
{
    struct organisation *organisation = queue_organisation(selector->sched, i);
    uint32_t classes = organisation->nonempty_classes[selector->tier];
    struct candidate *candidate = &selector->candidates[i];

    candidate->job = NULL;
    while (classes) {
        uint32_t size_class = (uint32_t)__builtin_ctz(classes);
        cs_sched_job *job = organisation->heads[selector->tier][size_class];

        classes &= classes - 1;
        if (is_unplaceable(selector, job))
            continue;
        if (!candidate->job ||
            remaining_work(job) < candidate->remaining_work) {
            candidate->job = job;
            candidate->remaining_work = remaining_work(job);
        }
    }
}

static void
update_share_level(struct selector *selector, uint32_t i)
{
    struct organisation *organisation = queue_organisation(selector->sched, i);

    selector->candidates[i].share_level =
        floor(queue_weighted_share(organisation, selector->now_us) /
              selector->share_quantum);
}

void
selector_init(struct selector *selector, cs_sched *sched, cs_tier tier,
              int64_t now_us)
{
    uint32_t i;

    selector->sched = sched;
    selector->tier = tier;
    selector->now_us = now_us;
    selector->share_quantum =
        MAX(SHARE_QUANTUM * sched->topology.accelerators, 1.0);
    selector->organisation_count = sched->organisations->len;
    selector->candidates =
        g_new0(struct candidate, MAX(selector->organisation_count, 1));
    selector->smallest_unplaceable = UINT32_MAX;
    for (i = 0; i < SIZE_CLASS_COUNT; i++) {
        selector->unplaced[i].accelerators = UINT32_MAX;
        selector->unplaced[i].remaining_us = INT64_MAX;
    }
    for (i = 0; i < selector->organisation_count; i++) {
        if (!queue_organisation(sched, i)->nonempty_classes[tier])
            continue;
        update_share_level(selector, i);
        update_candidate(selector, i);
    }
}

void
selector_dispose(struct selector *selector)
{
    g_free(selector->candidates);
}

cs_sched_job *
selector_next(struct selector *selector)
{
    const struct candidate *best = NULL;
    uint32_t i;

    for (i = 0; i < selector->organisation_count; i++) {
        const struct candidate *candidate = &selector->candidates[i];

        /* A job of another organisation may have found no place since. */
        if (candidate->job && is_unplaceable(selector, candidate->job))
            update_candidate(selector, i);
        if (!candidate->job)
            continue;
        if (!best || candidate->share_level < best->share_level ||
            (candidate->share_level == best->share_level &&
             candidate->remaining_work < best->remaining_work))
            best = candidate;
    }
    return best ? best->job : NULL;
}

void
selector_job_started(struct selector *selector, uint32_t organisation)
{
    update_share_level(selector, organisation);
    update_candidate(selector, organisation);
}

void
selector_job_unplaced(struct selector *selector, const cs_sched_job *job)
{
    struct unplaced_job *known =
        &selector->unplaced[size_class_of(job->request.accelerators)];

    if (job->wait == WAIT_NO_SPACE)
        selector->smallest_unplaceable =
            MIN(selector->smallest_unplaceable, job->request.accelerators);
    known->accelerators = job->request.accelerators;
    known->remaining_us = job->key.remaining_us;
    update_candidate(selector, job->request.organisation);
}
