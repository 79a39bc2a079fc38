#include "timeline.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Starts that differ by less are regarded as equal, so that reservations don't
   move between racks. Ends are listed by heartbeats with about this delay. */
#define START_TOLERANCE_S 0.5
/* The same as a share of the time up to the start, whose error grows with
   it. */
#define START_TOLERANCE_SHARE 0.1

static uint32_t
rack_of(const struct timeline *timeline, const cs_backfill_run *run)
{
    return timeline->cell->workers[run->worker].rack;
}

/* Groups the runs by rack. */
static void
group_runs(struct timeline *timeline, const cs_backfill_run *runs)
{
    uint32_t rack_count = timeline->cell->rack_count;
    uint32_t *next = g_new0(uint32_t, rack_count + 1);
    uint32_t i;

    for (i = 0; i < timeline->run_count; i++)
        timeline->rack_first_run[rack_of(timeline, &runs[i]) + 1]++;
    for (i = 0; i < rack_count; i++)
        timeline->rack_first_run[i + 1] += timeline->rack_first_run[i];
    memcpy(next, timeline->rack_first_run, rack_count * sizeof(*next));
    for (i = 0; i < timeline->run_count; i++) {
        cs_backfill_run *run =
            &timeline->runs[next[rack_of(timeline, &runs[i])]++];

        *run = runs[i];
        run->end_s = MAX(run->end_s + run->spread_s, timeline->now_s);
    }
    g_free(next);
}

void
timeline_init(struct timeline *timeline, const cs_binpack_cell *cell,
              const cs_backfill_run *runs, uint32_t run_count, double now_s)
{
    uint32_t i;

    memset(timeline, 0, sizeof(*timeline));
    timeline->cell = cell;
    timeline->now_s = now_s;
    timeline->run_count = run_count;
    timeline->free = g_new(cs_demand, cell->worker_count + 1);
    timeline->rack_capacity = g_new0(cs_demand, cell->rack_count + 1);
    timeline->runs = g_new(cs_backfill_run, run_count + 1);
    timeline->rack_first_run = g_new0(uint32_t, cell->rack_count + 1);
    timeline->rack_sorted = g_new0(bool, cell->rack_count + 1);
    timeline->available = g_new(cs_demand, cell->worker_count + 1);
    timeline->slots = g_new(uint32_t, cell->worker_count + 1);
    for (i = 0; i < cell->worker_count; i++) {
        const cs_binpack_worker *worker = &cell->workers[i];

        timeline->free[i] = worker->free;
        if (worker->usable)
            cs_demand_add(&timeline->rack_capacity[worker->rack],
                          &worker->capacity);
    }
    group_runs(timeline, runs);
}

void
timeline_dispose(struct timeline *timeline)
{
    g_free(timeline->free);
    g_free(timeline->rack_capacity);
    g_free(timeline->runs);
    g_free(timeline->rack_first_run);
    g_free(timeline->rack_sorted);
    g_free(timeline->all);
    g_free(timeline->available);
    g_free(timeline->slots);
}

static int
compare_ends(const void *a, const void *b)
{
    const cs_backfill_run *first = a;
    const cs_backfill_run *second = b;

    if (first->end_s != second->end_s)
        return first->end_s < second->end_s ? -1 : 1;
    return first->worker < second->worker ? -1
                                          : first->worker > second->worker;
}

/* Returns the runs of a rack, or of all for CS_BINPACK_ANY, sorted by their
   ends. */
const cs_backfill_run *
timeline_sorted_runs(struct timeline *timeline, uint32_t rack, uint32_t *count)
{
    cs_backfill_run *first;

    if (rack == CS_BINPACK_ANY) {
        *count = timeline->run_count;
        if (!timeline->all) {
            timeline->all = g_new(cs_backfill_run, *count + 1);
            memcpy(timeline->all, timeline->runs, *count * sizeof(*first));
            qsort(timeline->all, *count, sizeof(*first), compare_ends);
        }
        return timeline->all;
    }
    first = &timeline->runs[timeline->rack_first_run[rack]];
    *count =
        timeline->rack_first_run[rack + 1] - timeline->rack_first_run[rack];
    if (!timeline->rack_sorted[rack])
        qsort(first, *count, sizeof(*first), compare_ends);
    timeline->rack_sorted[rack] = true;
    return first;
}

/* The state of sweep(). */
struct sweep {
    struct timeline *timeline;
    const cs_binpack_request *request;
    const uint32_t *workers; /* indexes; NULL for all of the cell */
    uint32_t worker_count;
    uint32_t slots; /* sum over the workers, each at most the count */
    double parts;   /* sum over the usable workers, see free_parts() */
    double time_s;
    double idle_cores_s; /* up to time_s */
};

static uint32_t
sweep_worker(const struct sweep *sweep, uint32_t position)
{
    return sweep->workers ? sweep->workers[position] : position;
}

/* Returns how many tasks of the request the capacity is worth, fractions
   included: by the resource that limits them, since others would be left over
   anyway. */
static double
free_parts(const cs_demand *available, const cs_binpack_request *request)
{
    const cs_demand *demand = &request->demand;
    double parts = request->count;

    if (demand->accelerators > 0)
        parts = (double)available->accelerators / (double)demand->accelerators;
    if (demand->cpu_milli > 0)
        parts = MIN(parts,
                    (double)available->cpu_milli / (double)demand->cpu_milli);
    if (demand->memory_mb > 0)
        parts = MIN(parts,
                    (double)available->memory_mb / (double)demand->memory_mb);
    return CLAMP(parts, 0, request->count);
}

/* Sets a worker's available capacity. */
static void
sweep_set(struct sweep *sweep, uint32_t worker, const cs_demand *available)
{
    struct timeline *timeline = sweep->timeline;

    timeline->available[worker] = *available;
    timeline->slots[worker] = cs_binpack_worker_slots(
        timeline->cell, worker, sweep->request, available);
    sweep->slots += timeline->slots[worker];
    if (timeline->cell->workers[worker].usable)
        sweep->parts += free_parts(available, sweep->request);
}

static void
sweep_release(struct sweep *sweep, const cs_backfill_run *run)
{
    struct timeline *timeline = sweep->timeline;
    cs_demand available = timeline->available[run->worker];

    sweep->idle_cores_s += MIN(sweep->parts, sweep->request->count) *
                           cs_demand_cores(&sweep->request->demand) *
                           (run->end_s - sweep->time_s);
    sweep->time_s = run->end_s;
    sweep->slots -= timeline->slots[run->worker];
    if (timeline->cell->workers[run->worker].usable)
        sweep->parts -= free_parts(&available, sweep->request);
    cs_demand_add(&available, &run->demand);
    sweep_set(sweep, run->worker, &available);
}

static void
sweep_choose(const struct sweep *sweep, uint32_t *out)
{
    uint32_t chosen = 0;
    uint32_t i;
    uint32_t k;

    for (i = 0; i < sweep->worker_count; i++) {
        uint32_t worker = sweep_worker(sweep, i);

        for (k = 0; k < sweep->timeline->slots[worker] &&
                    chosen < sweep->request->count;
             k++)
            out[chosen++] = worker;
    }
}

/*
 * Follows the ends of runs in a rack, or in the cell for CS_BINPACK_ANY, until
 * the request fits. Returns false if it does not by limit_s.
 */
static bool
sweep_rack(struct place *out, struct timeline *timeline,
           const cs_binpack_request *request, uint32_t rack, double limit_s)
{
    const cs_binpack_cell *cell = timeline->cell;
    struct sweep sweep = {.timeline = timeline,
                          .request = request,
                          .worker_count = cell->worker_count,
                          .time_s = timeline->now_s};
    const cs_backfill_run *runs;
    uint32_t run_count;
    uint32_t i;

    if (rack != CS_BINPACK_ANY) {
        sweep.workers = &cell->by_rack[cell->rack_first[rack]];
        sweep.worker_count =
            cell->rack_first[rack + 1] - cell->rack_first[rack];
    }
    for (i = 0; i < sweep.worker_count; i++)
        sweep_set(&sweep, sweep_worker(&sweep, i),
                  &timeline->free[sweep_worker(&sweep, i)]);
    runs = timeline_sorted_runs(timeline, rack, &run_count);
    for (i = 0; i < run_count && sweep.slots < request->count; i++) {
        if (runs[i].end_s > limit_s)
            return false;
        sweep_release(&sweep, &runs[i]);
    }
    if (sweep.slots < request->count || sweep.time_s > limit_s)
        return false;
    out->start_s = sweep.time_s;
    out->idle_cores_s = sweep.idle_cores_s;
    sweep_choose(&sweep, out->workers);
    return true;
}

double
timeline_tolerance_s(const struct timeline *timeline, double start_s)
{
    return MAX(START_TOLERANCE_S,
               START_TOLERANCE_SHARE * (start_s - timeline->now_s));
}

/* Returns whether the rack could hold the request if it were empty. */
static bool
rack_may_hold(const struct timeline *timeline,
              const cs_binpack_request *request, uint32_t rack)
{
    const cs_demand *capacity = &timeline->rack_capacity[rack];

    if (rack >= request->first_reserved_rack ||
        (request->data_rack != CS_BINPACK_ANY && rack != request->data_rack))
        return false;
    return capacity->accelerators >=
               request->demand.accelerators * request->count &&
           capacity->cpu_milli >= request->demand.cpu_milli * request->count &&
           capacity->memory_mb >= request->demand.memory_mb * request->count;
}

bool
timeline_find_place(struct place *out, struct timeline *timeline,
                    const cs_binpack_request *request, double limit_s)
{
    struct place trial = {.workers = g_new(uint32_t, request->count)};
    bool found = false;
    uint32_t rack;

    if (!request->same_rack)
        found = sweep_rack(out, timeline, request, CS_BINPACK_ANY, limit_s);
    for (rack = 0; request->same_rack && rack < timeline->cell->rack_count;
         rack++) {
        double tolerance_s;

        if (!rack_may_hold(timeline, request, rack) ||
            !sweep_rack(&trial, timeline, request, rack, limit_s))
            continue;
        tolerance_s = timeline_tolerance_s(timeline, trial.start_s);
        if (!found || trial.start_s + tolerance_s < out->start_s ||
            trial.idle_cores_s < out->idle_cores_s) {
            out->start_s = trial.start_s;
            out->idle_cores_s = trial.idle_cores_s;
            memcpy(out->workers, trial.workers,
                   request->count * sizeof(*out->workers));
        }
        found = true;
        limit_s = MIN(limit_s, trial.start_s + tolerance_s);
    }
    g_free(trial.workers);
    return found;
}

cs_demand
timeline_reserved_on_worker(const cs_backfill_reservation *reservation,
                            uint32_t index, uint32_t *next)
{
    cs_demand sum = reservation->demand;

    for (*next = index + 1;
         *next < reservation->count &&
         reservation->workers[*next] == reservation->workers[index];
         (*next)++)
        cs_demand_add(&sum, &reservation->demand);
    return sum;
}

/* Returns from when a worker has the capacity. */
static double
worker_start_s(struct timeline *timeline, uint32_t worker,
               const cs_demand *demand)
{
    cs_demand available = timeline->free[worker];
    uint32_t run_count;
    const cs_backfill_run *runs = timeline_sorted_runs(
        timeline, timeline->cell->workers[worker].rack, &run_count);
    uint32_t i;

    if (cs_demand_fits(demand, &available))
        return timeline->now_s;
    for (i = 0; i < run_count; i++) {
        if (runs[i].worker != worker)
            continue;
        cs_demand_add(&available, &runs[i].demand);
        if (cs_demand_fits(demand, &available))
            return runs[i].end_s;
    }
    return INFINITY;
}

double
timeline_reserved_start_s(struct timeline *timeline,
                          const cs_backfill_reservation *reservation,
                          const cs_binpack_request *request)
{
    const cs_binpack_cell *cell = timeline->cell;
    double start_s = timeline->now_s;
    uint32_t i;
    uint32_t next;

    if (request->count != reservation->count)
        return INFINITY;
    for (i = 0; i < reservation->count; i = next) {
        uint32_t worker = reservation->workers[i];
        cs_demand demand = timeline_reserved_on_worker(reservation, i, &next);

        if (cs_binpack_worker_slots(cell, worker, request,
                                    &cell->workers[worker].capacity) <
            next - i)
            return INFINITY;
        start_s = MAX(start_s, worker_start_s(timeline, worker, &demand));
    }
    return start_s;
}

void
timeline_reserve(struct timeline *timeline,
                 const cs_backfill_reservation *reservation)
{
    uint32_t i;

    for (i = 0; i < reservation->count; i++)
        cs_demand_subtract(&timeline->free[reservation->workers[i]],
                           &reservation->demand);
}
