/*
 * The health of the workers. A worker on which several different jobs fail in
 * succession is quarantined. After the quarantine it is on probation: the
 * next failure quarantines it for twice as long, the next success makes it
 * healthy again. A job that fails on several healthy workers is itself at
 * fault.
 */
#include "policy_internal.h"

/* This many failures of different jobs quarantine a worker. */
#define CONSECUTIVE_FAILURES_MAX 3
#define QUARANTINE_FIRST_US (INT64_C(60) * 1000000)
#define QUARANTINE_MAX_US (INT64_C(3600) * 1000000)

static void
update_usable(cs_sched *sched, uint32_t index)
{
    struct worker *worker = topology_worker(&sched->topology, index);
    bool usable =
        worker->reported_usable && worker->health != CS_HEALTH_QUARANTINED;

    if (worker->usable == usable)
        return;
    worker->usable = usable;
    topology_update(&sched->topology, index);
}

void
cs_sched_set_usable(cs_sched *sched, uint32_t worker_index, bool usable)
{
    topology_worker(&sched->topology, worker_index)->reported_usable = usable;
    update_usable(sched, worker_index);
}

static void
quarantine_worker(cs_sched *sched, uint32_t index, int64_t now_us)
{
    struct worker *worker = topology_worker(&sched->topology, index);

    worker->quarantine_us =
        worker->quarantine_us
            ? MIN(worker->quarantine_us * 2, QUARANTINE_MAX_US)
            : QUARANTINE_FIRST_US;
    worker->quarantine_until_us = now_us + worker->quarantine_us;
    worker->health = CS_HEALTH_QUARANTINED;
    sched->quarantined_workers++;
    update_usable(sched, index);
}

static bool
has_failed_on(const cs_sched_job *job, uint32_t worker)
{
    uint32_t count = MIN(job->failed_worker_count, JOB_FAILED_WORKERS_MAX);
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (job->failed_workers[i] == worker)
            return true;
    }
    return false;
}

/* Records the worker as one to avoid. The failure counts against the job only
   if the worker was not suspect already: on probation, or with a failure of
   another job and no success since. */
static void
record_failure(cs_sched_job *job, uint32_t worker, bool suspect)
{
    if (has_failed_on(job, worker))
        return;
    job->failed_workers[job->failed_worker_count++ % JOB_FAILED_WORKERS_MAX] =
        worker;
    if (!suspect)
        job->attributed_failures++;
}

void
cs_sched_task_failed(cs_sched *sched, cs_sched_job *job, uint32_t worker_index,
                     int64_t now_us)
{
    struct worker *worker = topology_worker(&sched->topology, worker_index);

    if (worker->health == CS_HEALTH_QUARANTINED)
        return;
    if (worker->last_failed_job != job->sequence)
        worker->consecutive_failures++;
    worker->last_failed_job = job->sequence;
    record_failure(job, worker_index,
                   worker->health != CS_HEALTH_HEALTHY ||
                       worker->consecutive_failures > 1);
    if (worker->health == CS_HEALTH_PROBATION ||
        worker->consecutive_failures >= CONSECUTIVE_FAILURES_MAX)
        quarantine_worker(sched, worker_index, now_us);
}

void
cs_sched_task_succeeded(cs_sched *sched, uint32_t worker_index)
{
    struct worker *worker = topology_worker(&sched->topology, worker_index);

    worker->consecutive_failures = 0;
    worker->last_failed_job = 0;
    if (worker->health != CS_HEALTH_PROBATION)
        return;
    worker->health = CS_HEALTH_HEALTHY;
    worker->quarantine_us = 0;
}

bool
cs_sched_is_at_fault(const cs_sched_job *job)
{
    return job->attributed_failures >= JOB_ATTRIBUTED_FAILURES_MAX;
}

cs_health
cs_sched_health(const cs_sched *sched, uint32_t worker_index)
{
    return topology_worker(&sched->topology, worker_index)->health;
}

void
health_end_quarantines(cs_sched *sched, int64_t now_us)
{
    uint32_t i;

    if (sched->quarantined_workers == 0)
        return;
    for (i = 0; i < sched->topology.workers->len; i++) {
        struct worker *worker = topology_worker(&sched->topology, i);

        if (worker->health != CS_HEALTH_QUARANTINED ||
            now_us < worker->quarantine_until_us)
            continue;
        worker->health = CS_HEALTH_PROBATION;
        worker->consecutive_failures = 0;
        sched->quarantined_workers--;
        update_usable(sched, i);
    }
}

void
health_exclude_suspects(cs_sched *sched, const cs_sched_job *job, bool exclude)
{
    uint32_t i;

    uint32_t count = MIN(job->failed_worker_count, JOB_FAILED_WORKERS_MAX);

    for (i = 0; i < count; i++) {
        struct worker *worker =
            topology_worker(&sched->topology, job->failed_workers[i]);
        bool suspect = worker->consecutive_failures > 0 ||
                       worker->health != CS_HEALTH_HEALTHY;

        if (!suspect)
            continue;
        worker->usable = !exclude && worker->reported_usable &&
                         worker->health != CS_HEALTH_QUARANTINED;
        topology_update(&sched->topology, job->failed_workers[i]);
    }
}
