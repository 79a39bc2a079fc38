/*
 * A reservation for one job that has waited long: the workers that will be
 * free for it first. Others may use them only if they are expected to end by
 * then.
 */
#include "policy_internal.h"

static int64_t
worker_free_at(const cs_sched *sched, const struct worker *w, int64_t now_us)
{
    int64_t at_us = now_us;
    guint i;

    if (!w->usable || w->accelerators == 0)
        return INT64_MAX;
    for (i = 0; i < w->tenants->len; i++) {
        const cs_sched_job *job = worker_tenant(w, i)->job;
        int64_t end_us = job_end_us(sched, job);

        /* A job that has overrun is expected to go on for a while. */
        if (end_us <= now_us)
            end_us = now_us + (now_us - job->started_us) / 4;
        at_us = MAX(at_us, end_us);
    }
    return at_us;
}

struct free_worker {
    uint32_t worker;
    uint32_t accelerators;
    int64_t at_us;
};

static gint
compare_free(gconstpointer a, gconstpointer b)
{
    const struct free_worker *x = a;
    const struct free_worker *y = b;

    if (x->at_us != y->at_us)
        return x->at_us < y->at_us ? -1 : 1;
    return x->worker < y->worker ? -1 : x->worker > y->worker;
}

/* Adds the workers of racks first..last, earliest free first. */
static GArray *
rank_free(const cs_sched *sched, uint32_t first, uint32_t last, int64_t now_us)
{
    const struct topology *t = &sched->topology;
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct free_worker));
    uint32_t rack;
    guint i;

    for (rack = first; rack <= last; rack++) {
        const struct rack *r = topology_rack(t, rack);

        for (i = 0; i < r->workers->len; i++) {
            uint32_t index = g_array_index(r->workers, uint32_t, i);
            const struct worker *w = topology_worker(t, index);
            struct free_worker entry = {index, w->accelerators,
                                        worker_free_at(sched, w, now_us)};

            if (entry.at_us != INT64_MAX)
                g_array_append_val(list, entry);
        }
    }
    g_array_sort(list, compare_free);
    return list;
}

/* Instant at which n accelerators of the list are free; count to take. */
static int64_t
instant_for(const GArray *list, uint32_t n, guint *count)
{
    uint32_t sum = 0;
    guint i;

    for (i = 0; i < list->len; i++) {
        const struct free_worker *entry =
            &g_array_index(list, struct free_worker, i);

        sum += entry->accelerators;
        if (sum >= n) {
            *count = i + 1;
            return entry->at_us;
        }
    }
    return INT64_MAX;
}

void
reserve_clear(cs_sched *sched)
{
    guint i;

    if (!sched->reserved)
        return;
    for (i = 0; i < sched->topology.workers->len; i++)
        topology_worker(&sched->topology, i)->reserved_us = 0;
    for (i = 0; i < sched->topology.racks->len; i++)
        topology_rack(&sched->topology, i)->reserved = 0;
    sched->reserved->expected_us = 0;
    sched->reserved = NULL;
}

static void
mark_reserved(cs_sched *sched, const GArray *list, guint count, int64_t at_us)
{
    guint i;

    for (i = 0; i < count; i++) {
        uint32_t index = g_array_index(list, struct free_worker, i).worker;
        struct worker *w = topology_worker(&sched->topology, index);

        w->reserved_us = at_us;
        topology_rack(&sched->topology, w->rack)->reserved++;
    }
}

static uint32_t
racks_spanned(const cs_sched *sched, uint32_t n)
{
    uint32_t rack_max = MAX(sched->topology.rack_max, 1);

    return MIN((n + rack_max - 1) / rack_max, sched->topology.racks->len);
}

/* When every usable worker of each rack is free. */
static int64_t *
rack_times(const cs_sched *sched, int64_t now_us)
{
    uint32_t count = sched->topology.racks->len;
    int64_t *times = g_new0(int64_t, MAX(count, 1));
    uint32_t i;
    guint k;

    for (i = 0; i < count; i++) {
        const struct rack *r = topology_rack(&sched->topology, i);

        times[i] = now_us;
        for (k = 0; k < r->workers->len; k++) {
            const struct worker *w = topology_worker(
                &sched->topology, g_array_index(r->workers, uint32_t, k));
            int64_t at_us = worker_free_at(sched, w, now_us);

            if (at_us != INT64_MAX)
                times[i] = MAX(times[i], at_us);
        }
    }
    return times;
}

/* The run of racks that is free first. */
static uint32_t
best_run(const cs_sched *sched, uint32_t span, int64_t now_us)
{
    int64_t *times = rack_times(sched, now_us);
    int64_t best_us = INT64_MAX;
    uint32_t best = 0;
    uint32_t i;
    uint32_t k;

    for (i = 0; i + span <= sched->topology.racks->len; i++) {
        int64_t at_us = 0;

        for (k = i; k < i + span; k++)
            at_us = MAX(at_us, times[k]);
        if (at_us < best_us) {
            best_us = at_us;
            best = i;
        }
    }
    g_free(times);
    return best;
}

/* The rack in which n accelerators are free first. */
static uint32_t
best_rack(const cs_sched *sched, uint32_t n, int64_t now_us)
{
    int64_t best_us = INT64_MAX;
    uint32_t best = 0;
    uint32_t i;

    for (i = 0; i < sched->topology.racks->len; i++) {
        GArray *list = rank_free(sched, i, i, now_us);
        guint count = 0;
        int64_t at_us = instant_for(list, n, &count);

        g_array_free(list, TRUE);
        if (at_us < best_us) {
            best_us = at_us;
            best = i;
        }
    }
    return best;
}

void
reserve_make(cs_sched *sched, cs_sched_job *job, int64_t now_us)
{
    uint32_t n = job->request.accelerators;
    uint32_t span = racks_spanned(sched, n);
    uint32_t first;
    GArray *list;
    guint count = 0;
    int64_t at_us;

    reserve_clear(sched);
    first =
        span > 1 ? best_run(sched, span, now_us) : best_rack(sched, n, now_us);
    list = rank_free(sched, first, first + span - 1, now_us);
    at_us = instant_for(list, n, &count);
    if (at_us != INT64_MAX) {
        at_us = MAX(at_us, now_us + 1);
        mark_reserved(sched, list, count, at_us);
        sched->reserved = job;
        job->expected_us = at_us;
    }
    g_array_free(list, TRUE);
}
