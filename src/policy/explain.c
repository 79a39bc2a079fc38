/* Explanations of placements and waits, statistics, and invariant checks. */
#include "policy_internal.h"
#include "corianderstair/errors.h"

#include <math.h>
#include <stdio.h>

static void
explain_place(const cs_sched *sched, const cs_sched_job *job, char *message,
              size_t size)
{
    uint32_t worker_count = job->member_count;
    uint32_t rack =
        worker_count
            ? topology_worker(&sched->topology, job->members[0].worker)->rack
            : 0;

    if (job->request.accelerators <= sched->topology.worker_max)
        snprintf(message, size,
                 "the smallest free block that fits, in rack %u, so that "
                 "whole workers stay free",
                 rack);
    else
        snprintf(message, size,
                 "%u whole workers from rack %u on, the tightest place that "
                 "fits",
                 worker_count, rack);
}

static void
explain_wait(const cs_sched *sched, const cs_sched_job *job,
             const char **reason, char *message, size_t size)
{
    const struct topology *topology = &sched->topology;

    switch (job->wait) {
    case WAIT_NEW:
        *reason = "new";
        snprintf(message, size, "not looked at yet");
        return;
    case WAIT_NO_SPACE:
        *reason = "no-space";
        snprintf(message, size,
                 "no adjacent block of %u accelerators is free; %u of %u "
                 "are free in pieces",
                 job->request.accelerators, topology->free_accelerators,
                 topology->accelerators);
        return;
    case WAIT_RESERVED:
        *reason = "reserved";
        snprintf(message, size,
                 "it would delay a job that has waited longer and has the "
                 "free block reserved");
        return;
    case WAIT_PREEMPTION:
        *reason = "reclaiming";
        snprintf(message, size,
                 "its place is chosen; work there is being checkpointed and "
                 "stopped");
        return;
    case WAIT_GUARANTEE_IN_USE:
        *reason = "guarantee-in-use";
        snprintf(message, size,
                 "every guaranteed block of %u or more accelerators of the "
                 "organisation is in use",
                 job->request.accelerators);
        return;
    }
}

void
cs_sched_explain(const cs_sched *sched, const cs_sched_job *job,
                 int64_t now_us, char *reason, size_t reason_size,
                 char *message, size_t message_size, int64_t *expected_us)
{
    const char *reason_name = "placed";

    *expected_us = job->expected_start_us;
    switch (job->state) {
    case JOB_QUEUED:
    case JOB_CLAIMING:
        explain_wait(sched, job, &reason_name, message, message_size);
        break;
    case JOB_STARTED:
        explain_place(sched, job, message, message_size);
        break;
    case JOB_STOPPING:
        reason_name = "stopping";
        snprintf(message, message_size, "being stopped, %.1f s left",
                 (double)MAX(job->stop_deadline_us - now_us, 0) / 1e6);
        break;
    }
    snprintf(reason, reason_size, "%s", reason_name);
}

cs_sched_stats
cs_sched_get_stats(const cs_sched *sched)
{
    cs_sched_stats stats = {.accelerators = sched->topology.accelerators,
                            .free = sched->topology.free_accelerators,
                            .queued = sched->queued_count +
                                      sched->claiming_jobs.length,
                            .started = sched->started_count};
    GArray *sizes = guarantee_unclaimed_sizes(sched);
    struct capacity capacity;

    if (sizes->len > 0) {
        capacity_init(&capacity, &sched->topology, true);
        stats.guarantees_short = capacity_pack(
            &capacity, (const uint32_t *)(void *)sizes->data, sizes->len);
        capacity_dispose(&capacity);
    }
    g_array_free(sizes, TRUE);
    return stats;
}

/* Returns the free accelerators on workers without a block for the size. */
static uint32_t
unusable_in_workers(const struct topology *topology, uint32_t size)
{
    uint32_t sum = 0;
    guint i;

    for (i = 0; i < topology->workers->len; i++) {
        const struct worker *worker = topology_worker(topology, i);

        if (worker->free_accelerators &&
            !block_find(worker, worker_free_mask(worker), size))
            sum += worker->free_accelerators;
    }
    return sum;
}

/* Returns the free accelerators in racks whose fully free workers do not hold
   the size. */
static uint32_t
unusable_in_racks(const struct topology *topology, uint32_t size)
{
    uint32_t sum = 0;
    guint i;
    guint k;

    for (i = 0; i < topology->racks->len; i++) {
        const struct rack *rack = topology_rack(topology, i);

        if (rack->fully_free_accelerators >= size)
            continue;
        for (k = 0; k < rack->workers->len; k++)
            sum += topology_worker(topology,
                                   g_array_index(rack->workers, uint32_t, k))
                       ->free_accelerators;
    }
    return sum;
}

/* Returns the free accelerators that a job which spans racks cannot use. */
static uint32_t
unusable_in_cell(const struct topology *topology, uint32_t size)
{
    uint32_t fully_free = 0;
    guint i;

    for (i = 0; i < topology->racks->len; i++)
        fully_free += topology_rack(topology, i)->fully_free_accelerators;
    return fully_free >= size ? topology->free_accelerators - fully_free
                              : topology->free_accelerators;
}

double
cs_sched_fragmentation(const cs_sched *sched, const uint32_t *sizes,
                       const double *weights, uint32_t count)
{
    const struct topology *topology = &sched->topology;
    double total = 0;
    double sum = 0;
    uint32_t i;

    if (topology->free_accelerators == 0)
        return 0;
    for (i = 0; i < count; i++) {
        uint32_t unusable;

        if (sizes[i] <= topology->worker_max)
            unusable = unusable_in_workers(topology, sizes[i]);
        else if (sizes[i] <= topology->rack_max)
            unusable = unusable_in_racks(topology, sizes[i]);
        else
            unusable = unusable_in_cell(topology, sizes[i]);
        sum += weights[i] * unusable / topology->free_accelerators;
        total += weights[i];
    }
    return total > 0 ? sum / total : 0;
}

static int
verify_worker(const cs_sched *sched, uint32_t index)
{
    const struct worker *worker = topology_worker(&sched->topology, index);
    uint64_t used = 0;
    guint i;

    for (i = 0; i < worker->allocations->len; i++) {
        if (used & worker_allocation(worker, i)->mask)
            return cs_error_set(CS_E_INVALID,
                                "worker %u has an accelerator allocated twice",
                                index);
        used |= worker_allocation(worker, i)->mask;
    }
    if (used != worker->used_mask || (used & ~worker->all_mask))
        return cs_error_set(
            CS_E_INVALID,
            "worker %u has a mask that does not match its allocations", index);
    if (worker->free_accelerators !=
        (uint32_t)__builtin_popcountll(worker_free_mask(worker)))
        return cs_error_set(CS_E_INVALID,
                            "worker %u has a wrong count of free accelerators",
                            index);
    return 0;
}

static int
verify_rack(const cs_sched *sched, uint32_t index)
{
    const struct topology *topology = &sched->topology;
    const struct rack *rack = topology_rack(topology, index);
    uint32_t workers_by_order[BLOCK_ORDER_COUNT] = {0};
    uint32_t fully_free = 0;
    guint i;

    for (i = 0; i < rack->workers->len; i++) {
        const struct worker *worker = topology_worker(
            topology, g_array_index(rack->workers, uint32_t, i));

        if (worker->largest_free_order >= 0)
            workers_by_order[worker->largest_free_order]++;
        if (worker->usable && worker_free_mask(worker) == worker->all_mask &&
            worker->all_mask)
            fully_free += worker->accelerators;
    }
    if (fully_free != rack->fully_free_accelerators)
        return cs_error_set(
            CS_E_INVALID, "rack %u has a wrong sum of fully free accelerators",
            index);
    for (i = 0; i < BLOCK_ORDER_COUNT; i++) {
        if (workers_by_order[i] != rack->workers_by_order[i])
            return cs_error_set(
                CS_E_INVALID,
                "rack %u has a wrong count of workers by free block", index);
    }
    return 0;
}

static int
verify_jobs(const cs_sched *sched)
{
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, sched->jobs);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const cs_sched_job *job = key;
        uint32_t size = 0;
        uint32_t i;

        for (i = 0; i < job->member_count; i++)
            size += (uint32_t)__builtin_popcountll(job->members[i].mask);
        if (job->state == JOB_QUEUED ? size != 0
                                     : size != job->request.accelerators)
            return cs_error_set(CS_E_INVALID,
                                "the members of a job do not match its size");
    }
    return 0;
}

int
cs_sched_verify(const cs_sched *sched)
{
    int rc = verify_jobs(sched);
    uint32_t i;

    for (i = 0; i < sched->topology.workers->len && !rc; i++)
        rc = verify_worker(sched, i);
    for (i = 0; i < sched->topology.racks->len && !rc; i++)
        rc = verify_rack(sched, i);
    return rc;
}
