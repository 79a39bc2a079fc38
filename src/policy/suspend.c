/*
 * Suspends long jobs in favour of short ones. In a burst of short jobs the
 * mean completion time falls if a checkpointed long job is stopped: it is
 * delayed, but all the short jobs that fit in its place are not.
 */
#include "policy_internal.h"

/* A victim's remaining run time is at least this many times that of the
   waiting job, at the default completion_weight of 50; the ratio is inversely
   proportional to the weight. */
#define LENGTH_RATIO 2.0
/* A victim has run for at least this long, so that no job is stopped over and
   over. */
#define RUN_MIN_US (INT64_C(30) * 1000000)
/* The waiting job has waited for at least this long. */
#define WAIT_MIN_US (INT64_C(1) * 1000000)

static int64_t
remaining_us(const cs_sched *sched, const cs_sched_job *job, int64_t now_us)
{
    return MAX(job_end_us(sched, job) - now_us, 0);
}

/* Estimates the accelerators that queued normal jobs of up to one worker ask
   for, with each size rounded up to its class. */
static uint64_t
short_demand(const cs_sched *sched)
{
    uint64_t demand = 0;
    uint32_t max_class = size_class_of(MAX(sched->topology.worker_max, 1));
    uint32_t i;

    for (i = 0; i <= max_class && i < SIZE_CLASS_COUNT; i++)
        demand += (uint64_t)sched->jobs_by_age[CS_TIER_NORMAL][i].length << i;
    return demand;
}

static bool
may_suspend(const cs_sched *sched, const cs_sched_job *job,
            const cs_sched_job *waiting, int64_t now_us)
{
    double ratio =
        LENGTH_RATIO * 50 / MAX((double)sched->settings.completion_weight, 1);

    return job->state == JOB_STARTED && job->request.checkpoint &&
           job->request.tier <= CS_TIER_NORMAL &&
           now_us - job->started_us >= RUN_MIN_US &&
           (double)remaining_us(sched, job, now_us) >=
               ratio * (double)waiting->key.remaining_us;
}

/* Returns the job with the most remaining work, and adds the accelerators of
   jobs that are being stopped to stopping_accelerators. */
static cs_sched_job *
find_victim(const cs_sched *sched, const cs_sched_job *waiting, int64_t now_us,
            uint64_t *stopping_accelerators)
{
    cs_sched_job *best = NULL;
    double best_work = 0;
    guint i;
    guint k;

    for (i = 0; i < sched->topology.workers->len; i++) {
        const struct worker *worker = topology_worker(&sched->topology, i);

        for (k = 0; k < worker->allocations->len; k++) {
            cs_sched_job *job = worker_allocation(worker, k)->job;
            double work;

            if (job->members[0].worker != i)
                continue;
            if (job->state == JOB_STOPPING)
                *stopping_accelerators += job->request.accelerators;
            if (!may_suspend(sched, job, waiting, now_us))
                continue;
            work = (double)remaining_us(sched, job, now_us) *
                   job->request.accelerators;
            if (work > best_work) {
                best = job;
                best_work = work;
            }
        }
    }
    return best;
}

cs_sched_job *
suspend_find(cs_sched *sched, const cs_sched_job *waiting, int64_t now_us)
{
    uint64_t stopping_accelerators = 0;
    cs_sched_job *victim;

    if (now_us - waiting->request.submitted_us < WAIT_MIN_US)
        return NULL;
    victim = find_victim(sched, waiting, now_us, &stopping_accelerators);
    if (!victim || short_demand(sched) <
                       stopping_accelerators + victim->request.accelerators)
        return NULL;
    return victim;
}
