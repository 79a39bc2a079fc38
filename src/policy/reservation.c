/*
 * The reservation for one job that has waited long. It covers the workers
 * that are expected to be free for the job first. Other jobs may be
 * backfilled onto them if they are expected to end before it starts.
 */
#include "policy_internal.h"

/* Returns when all jobs of a worker are expected to have ended, or INT64_MAX
   for a worker that cannot be used. */
static int64_t
worker_free_us(const cs_sched *sched, const struct worker *worker,
               int64_t now_us)
{
    int64_t free_us = now_us;
    guint i;

    if (!worker->usable || worker->accelerators == 0)
        return INT64_MAX;
    for (i = 0; i < worker->allocations->len; i++) {
        const cs_sched_job *job = worker_allocation(worker, i)->job;
        int64_t end_us = job_end_us(sched, job);

        /* A job that has overrun its estimate is expected to run on for a
           quarter of the time that it has run. */
        if (end_us <= now_us)
            end_us = now_us + (now_us - job->started_us) / 4;
        free_us = MAX(free_us, end_us);
    }
    return free_us;
}

struct free_worker {
    uint32_t worker;
    uint32_t accelerators;
    int64_t free_us;
};

static gint
compare_free_times(gconstpointer a, gconstpointer b)
{
    const struct free_worker *left = a;
    const struct free_worker *right = b;

    if (left->free_us != right->free_us)
        return left->free_us < right->free_us ? -1 : 1;
    return left->worker < right->worker ? -1 : left->worker > right->worker;
}

/* Lists the workers of racks first..last, the earliest free first. */
static GArray *
list_by_free_time(const cs_sched *sched, uint32_t first, uint32_t last,
                  int64_t now_us)
{
    const struct topology *topology = &sched->topology;
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct free_worker));
    uint32_t rack_index;
    guint i;

    for (rack_index = first; rack_index <= last; rack_index++) {
        const struct rack *rack = topology_rack(topology, rack_index);

        for (i = 0; i < rack->workers->len; i++) {
            uint32_t index = g_array_index(rack->workers, uint32_t, i);
            const struct worker *worker = topology_worker(topology, index);
            struct free_worker entry = {index, worker->accelerators,
                                        worker_free_us(sched, worker, now_us)};

            if (entry.free_us != INT64_MAX)
                g_array_append_val(list, entry);
        }
    }
    g_array_sort(list, compare_free_times);
    return list;
}

/* Returns when size accelerators of the list are free, and sets count to the
   number of workers that this takes. INT64_MAX if the list is too short. */
static int64_t
earliest_start_us(const GArray *list, uint32_t size, guint *count)
{
    uint32_t sum = 0;
    guint i;

    for (i = 0; i < list->len; i++) {
        const struct free_worker *entry =
            &g_array_index(list, struct free_worker, i);

        sum += entry->accelerators;
        if (sum >= size) {
            *count = i + 1;
            return entry->free_us;
        }
    }
    return INT64_MAX;
}

void
reservation_clear(cs_sched *sched)
{
    guint i;

    if (!sched->reserved_job)
        return;
    for (i = 0; i < sched->topology.workers->len; i++)
        topology_worker(&sched->topology, i)->reservation_start_us = 0;
    for (i = 0; i < sched->topology.racks->len; i++)
        topology_rack(&sched->topology, i)->reserved_workers = 0;
    sched->reserved_job->expected_start_us = 0;
    sched->reserved_job = NULL;
}

static void
mark_reserved(cs_sched *sched, const GArray *list, guint count,
              int64_t start_us)
{
    guint i;

    for (i = 0; i < count; i++) {
        uint32_t index = g_array_index(list, struct free_worker, i).worker;
        struct worker *worker = topology_worker(&sched->topology, index);

        worker->reservation_start_us = start_us;
        topology_rack(&sched->topology, worker->rack)->reserved_workers++;
    }
}

/* Returns the number of racks that a job of this size takes at least. */
static uint32_t
rack_span(const cs_sched *sched, uint32_t size)
{
    uint32_t rack_max = MAX(sched->topology.rack_max, 1);

    return MIN((size + rack_max - 1) / rack_max, sched->topology.racks->len);
}

/* Returns for each rack when all of its usable workers are expected to be
   free. */
static int64_t *
rack_free_times(const cs_sched *sched, int64_t now_us)
{
    uint32_t count = sched->topology.racks->len;
    int64_t *times = g_new0(int64_t, MAX(count, 1));
    uint32_t i;
    guint k;

    for (i = 0; i < count; i++) {
        const struct rack *rack = topology_rack(&sched->topology, i);

        times[i] = now_us;
        for (k = 0; k < rack->workers->len; k++) {
            const struct worker *worker = topology_worker(
                &sched->topology, g_array_index(rack->workers, uint32_t, k));
            int64_t free_us = worker_free_us(sched, worker, now_us);

            if (free_us != INT64_MAX)
                times[i] = MAX(times[i], free_us);
        }
    }
    return times;
}

/* Returns the first rack of the run of span racks that is free earliest. */
static uint32_t
earliest_rack_window(const cs_sched *sched, uint32_t span, int64_t now_us)
{
    int64_t *times = rack_free_times(sched, now_us);
    int64_t best_us = INT64_MAX;
    uint32_t best = 0;
    uint32_t i;
    uint32_t k;

    for (i = 0; i + span <= sched->topology.racks->len; i++) {
        int64_t free_us = 0;

        for (k = i; k < i + span; k++)
            free_us = MAX(free_us, times[k]);
        if (free_us < best_us) {
            best_us = free_us;
            best = i;
        }
    }
    g_free(times);
    return best;
}

/* Returns the rack in which size accelerators are free earliest. */
static uint32_t
earliest_rack(const cs_sched *sched, uint32_t size, int64_t now_us)
{
    int64_t best_us = INT64_MAX;
    uint32_t best = 0;
    uint32_t i;

    for (i = 0; i < sched->topology.racks->len; i++) {
        GArray *list = list_by_free_time(sched, i, i, now_us);
        guint count = 0;
        int64_t free_us = earliest_start_us(list, size, &count);

        g_array_free(list, TRUE);
        if (free_us < best_us) {
            best_us = free_us;
            best = i;
        }
    }
    return best;
}

void
reservation_make(cs_sched *sched, cs_sched_job *job, int64_t now_us)
{
    uint32_t size = job->request.accelerators;
    uint32_t span = rack_span(sched, size);
    uint32_t first;
    GArray *list;
    guint count = 0;
    int64_t start_us;

    reservation_clear(sched);
    first = span > 1 ? earliest_rack_window(sched, span, now_us)
                     : earliest_rack(sched, size, now_us);
    list = list_by_free_time(sched, first, first + span - 1, now_us);
    start_us = earliest_start_us(list, size, &count);
    if (start_us != INT64_MAX) {
        start_us = MAX(start_us, now_us + 1);
        mark_reserved(sched, list, count, start_us);
        sched->reserved_job = job;
        job->expected_start_us = start_us;
    }
    g_array_free(list, TRUE);
}
