/* Reasons in words, measures, and a check of the internal rules. */
#include "policy_internal.h"
#include "corianderstair/errors.h"

#include <math.h>
#include <stdio.h>

static void
explain_place(const cs_sched *sched, const cs_sched_job *job, char *message,
              size_t size)
{
    uint32_t workers = job->member_count;
    uint32_t rack =
        workers
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
                 workers, rack);
}

static void
explain_wait(const cs_sched *sched, const cs_sched_job *job,
             const char **reason, char *message, size_t size)
{
    const struct topology *t = &sched->topology;

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
                 job->request.accelerators, t->free, t->accelerators);
        return;
    case WAIT_RESERVED:
        *reason = "reserved";
        snprintf(message, size,
                 "it would delay a job that has waited longer and has the "
                 "free block reserved");
        return;
    case WAIT_CLAIM:
        *reason = "reclaiming";
        snprintf(message, size,
                 "its place is chosen; work there is being checkpointed and "
                 "stopped");
        return;
    case WAIT_ENTITLED:
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
    const char *word = "placed";

    *expected_us = job->expected_us;
    switch (job->state) {
    case JOB_QUEUED:
    case JOB_CLAIMING:
        explain_wait(sched, job, &word, message, message_size);
        break;
    case JOB_STARTED:
        explain_place(sched, job, message, message_size);
        break;
    case JOB_STOPPING:
        word = "stopping";
        snprintf(message, message_size, "being stopped, %.1f s left",
                 (double)MAX(job->stop_us - now_us, 0) / 1e6);
        break;
    }
    snprintf(reason, reason_size, "%s", word);
}

cs_sched_stats
cs_sched_get_stats(const cs_sched *sched)
{
    cs_sched_stats stats = {.accelerators = sched->topology.accelerators,
                            .free = sched->topology.free,
                            .queued = sched->queued + sched->claiming.length,
                            .started = sched->started};
    GArray *sizes = guarantee_outstanding(sched);
    struct room room;

    if (sizes->len > 0) {
        room_init(&room, &sched->topology, true);
        stats.guarantees_short = room_pack(
            &room, (const uint32_t *)(void *)sizes->data, sizes->len);
        room_dispose(&room);
    }
    g_array_free(sizes, TRUE);
    return stats;
}

static uint32_t
unusable_in_workers(const struct topology *t, uint32_t n)
{
    uint32_t sum = 0;
    guint i;

    for (i = 0; i < t->workers->len; i++) {
        const struct worker *w = topology_worker(t, i);

        if (w->free && !block_find(w, worker_free(w), n))
            sum += w->free;
    }
    return sum;
}

static uint32_t
unusable_in_racks(const struct topology *t, uint32_t n)
{
    uint32_t sum = 0;
    guint i;
    guint k;

    for (i = 0; i < t->racks->len; i++) {
        const struct rack *r = topology_rack(t, i);

        if (r->whole_accelerators >= n)
            continue;
        for (k = 0; k < r->workers->len; k++)
            sum += topology_worker(t, g_array_index(r->workers, uint32_t, k))
                       ->free;
    }
    return sum;
}

static uint32_t
unusable_in_cell(const struct topology *t, uint32_t n)
{
    uint32_t whole = 0;
    guint i;

    for (i = 0; i < t->racks->len; i++)
        whole += topology_rack(t, i)->whole_accelerators;
    return whole >= n ? t->free - whole : t->free;
}

double
cs_sched_fragmentation(const cs_sched *sched, const uint32_t *sizes,
                       const double *weights, uint32_t count)
{
    const struct topology *t = &sched->topology;
    double total = 0;
    double sum = 0;
    uint32_t i;

    if (t->free == 0)
        return 0;
    for (i = 0; i < count; i++) {
        uint32_t unusable;

        if (sizes[i] <= t->worker_max)
            unusable = unusable_in_workers(t, sizes[i]);
        else if (sizes[i] <= t->rack_max)
            unusable = unusable_in_racks(t, sizes[i]);
        else
            unusable = unusable_in_cell(t, sizes[i]);
        sum += weights[i] * unusable / t->free;
        total += weights[i];
    }
    return total > 0 ? sum / total : 0;
}

static int
verify_worker(const cs_sched *sched, uint32_t index)
{
    const struct worker *w = topology_worker(&sched->topology, index);
    uint64_t used = 0;
    guint i;

    for (i = 0; i < w->tenants->len; i++) {
        if (used & worker_tenant(w, i)->mask)
            return cs_error_set(CS_E_INVALID,
                                "worker %u gives an accelerator twice", index);
        used |= worker_tenant(w, i)->mask;
    }
    if (used != w->used || (used & ~w->all))
        return cs_error_set(CS_E_INVALID, "worker %u has a wrong mask", index);
    if (w->free != (uint32_t)__builtin_popcountll(worker_free(w)))
        return cs_error_set(CS_E_INVALID, "worker %u has a wrong count",
                            index);
    return 0;
}

static int
verify_rack(const cs_sched *sched, uint32_t index)
{
    const struct topology *t = &sched->topology;
    const struct rack *r = topology_rack(t, index);
    uint32_t orders[ORDER_COUNT] = {0};
    uint32_t whole = 0;
    guint i;

    for (i = 0; i < r->workers->len; i++) {
        const struct worker *w =
            topology_worker(t, g_array_index(r->workers, uint32_t, i));

        if (w->order >= 0)
            orders[w->order]++;
        if (w->usable && worker_free(w) == w->all && w->all)
            whole += w->accelerators;
    }
    if (whole != r->whole_accelerators)
        return cs_error_set(CS_E_INVALID, "rack %u has a wrong sum", index);
    for (i = 0; i < ORDER_COUNT; i++) {
        if (orders[i] != r->orders[i])
            return cs_error_set(CS_E_INVALID,
                                "rack %u has a wrong count of blocks", index);
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
                                "a job has a part of its accelerators");
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
