/*
 * Which waiting job comes next: that of the organisation with the smallest
 * share, and of the least work among nearly equal shares. What has failed in
 * this turn is not tried again, nor is anything harder to place.
 */
#include "choose.h"

#include <math.h>

/* Shares that differ by less than this part of the cell count as equal. */
#define SHARE_STEP 0.04

static double
area_of(const cs_sched_job *job)
{
    return (double)job->key.remaining_us * job->request.accelerators;
}

static bool
is_hopeless(const struct chooser *c, const cs_sched_job *job)
{
    const struct failure *f = &c->failed[class_of(job->request.accelerators)];

    if (job->request.accelerators >= c->smallest_failed)
        return true;
    return job->request.accelerators >= f->accelerators &&
           job->key.remaining_us >= f->remaining_us;
}

/* The least work of an organisation among its shortest of each size. */
static void
choose_for(struct chooser *c, uint32_t i)
{
    struct organisation *o = queue_organisation(c->sched, i);
    uint32_t classes = o->nonempty[c->tier];
    struct choice *choice = &c->choices[i];

    choice->job = NULL;
    while (classes) {
        uint32_t size_class = (uint32_t)__builtin_ctz(classes);
        cs_sched_job *job = o->heads[c->tier][size_class];

        classes &= classes - 1;
        if (is_hopeless(c, job))
            continue;
        if (!choice->job || area_of(job) < choice->area) {
            choice->job = job;
            choice->area = area_of(job);
        }
    }
}

static void
measure_share(struct chooser *c, uint32_t i)
{
    struct organisation *o = queue_organisation(c->sched, i);

    c->choices[i].step = floor(queue_share(o, c->now_us) / c->step);
}

void
chooser_init(struct chooser *c, cs_sched *sched, cs_tier tier, int64_t now_us)
{
    uint32_t i;

    c->sched = sched;
    c->tier = tier;
    c->now_us = now_us;
    c->step = MAX(SHARE_STEP * sched->topology.accelerators, 1.0);
    c->count = sched->organisations->len;
    c->choices = g_new0(struct choice, MAX(c->count, 1));
    c->smallest_failed = UINT32_MAX;
    for (i = 0; i < CLASS_COUNT; i++) {
        c->failed[i].accelerators = UINT32_MAX;
        c->failed[i].remaining_us = INT64_MAX;
    }
    for (i = 0; i < c->count; i++) {
        if (!queue_organisation(sched, i)->nonempty[tier])
            continue;
        measure_share(c, i);
        choose_for(c, i);
    }
}

void
chooser_dispose(struct chooser *c)
{
    g_free(c->choices);
}

cs_sched_job *
chooser_next(struct chooser *c)
{
    const struct choice *best = NULL;
    uint32_t i;

    for (i = 0; i < c->count; i++) {
        const struct choice *choice = &c->choices[i];

        /* Another organisation's failure may have made it hopeless. */
        if (choice->job && is_hopeless(c, choice->job))
            choose_for(c, i);
        if (!choice->job)
            continue;
        if (!best || choice->step < best->step ||
            (choice->step == best->step && choice->area < best->area))
            best = choice;
    }
    return best ? best->job : NULL;
}

void
chooser_started(struct chooser *c, uint32_t organisation)
{
    measure_share(c, organisation);
    choose_for(c, organisation);
}

void
chooser_failed(struct chooser *c, const cs_sched_job *job)
{
    struct failure *f = &c->failed[class_of(job->request.accelerators)];

    if (job->wait == WAIT_NO_SPACE)
        c->smallest_failed =
            MIN(c->smallest_failed, job->request.accelerators);
    f->accelerators = job->request.accelerators;
    f->remaining_us = job->key.remaining_us;
    choose_for(c, job->request.organisation);
}
