/*
 * Best-fit bin packing. Partly used workers are filled before empty ones, and
 * a request for one rack takes the fullest rack that holds it, so that empty
 * workers and racks remain for large gangs. The request's speed_weight
 * balances this against the speed of the workers.
 */
#include "corianderstair/binpack.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* An accelerator weighs as much as this many cores in the loss of a stop and
   in the cost of idle capacity. */
#define CORES_PER_ACCELERATOR 8.0

/* Added to the score of what uses the avoided worker; above any difference of
   scores. */
#define AVOIDED_SCORE 1e6

/* A worker that can run tasks of a request. */
struct candidate {
    uint32_t worker;
    uint32_t slots; /* number of tasks that fit */
    double score;   /* lower is better */
    uint32_t zone;
};

bool
cs_demand_fits(const cs_demand *demand, const cs_demand *available)
{
    return demand->cpu_milli <= available->cpu_milli &&
           demand->memory_mb <= available->memory_mb &&
           demand->accelerators <= available->accelerators;
}

void
cs_demand_add(cs_demand *sum, const cs_demand *part)
{
    sum->cpu_milli += part->cpu_milli;
    sum->memory_mb += part->memory_mb;
    sum->accelerators += part->accelerators;
}

void
cs_demand_subtract(cs_demand *sum, const cs_demand *part)
{
    sum->cpu_milli -= part->cpu_milli;
    sum->memory_mb -= part->memory_mb;
    sum->accelerators -= part->accelerators;
}

double
cs_demand_cores(const cs_demand *demand)
{
    return (double)demand->cpu_milli / 1000.0 +
           CORES_PER_ACCELERATOR * (double)demand->accelerators;
}

/* Lowers slots to what one dimension of the available resources holds. */
static void
limit_slots(uint32_t *slots, int64_t available, int64_t demand)
{
    if (demand <= 0)
        return;
    if (available < demand)
        *slots = 0;
    else
        *slots = (uint32_t)MIN((int64_t)*slots, available / demand);
}

uint32_t
cs_binpack_worker_slots(const cs_binpack_cell *cell, uint32_t index,
                        const cs_binpack_request *request,
                        const cs_demand *available)
{
    const cs_binpack_worker *worker = &cell->workers[index];
    uint32_t slots = request->count;
    uint32_t present;

    if (!worker->usable ||
        (request->avoids_strictly && index == request->avoided_worker) ||
        worker->rack >= request->first_reserved_rack ||
        (request->allowed && !request->allowed[index]) ||
        (worker->labels & request->labels) != request->labels)
        return 0;
    if (request->data_rack != CS_BINPACK_ANY &&
        worker->rack != request->data_rack)
        return 0;
    limit_slots(&slots, available->cpu_milli, request->demand.cpu_milli);
    limit_slots(&slots, available->memory_mb, request->demand.memory_mb);
    limit_slots(&slots, available->accelerators, request->demand.accelerators);
    if (request->max_per_worker == 0)
        return slots;
    present = request->tasks_present ? request->tasks_present[index] : 0;
    if (present >= request->max_per_worker)
        return 0;
    return MIN(slots, request->max_per_worker - present);
}

/* Returns the available fraction of the accelerators, or of the processor
   time on a worker without accelerators. */
static double
free_share(const cs_demand *available, const cs_demand *capacity)
{
    double share = 0;

    if (capacity->accelerators > 0)
        share =
            (double)available->accelerators / (double)capacity->accelerators;
    else if (capacity->cpu_milli > 0)
        share = (double)available->cpu_milli / (double)capacity->cpu_milli;
    return CLAMP(share, 0, 1);
}

static double
worker_score(const cs_binpack_worker *worker,
             const cs_binpack_request *request)
{
    return free_share(&worker->free, &worker->capacity) -
           request->speed_weight * worker->speed;
}

static gint
compare_candidates(gconstpointer a, gconstpointer b)
{
    const struct candidate *left = a;
    const struct candidate *right = b;

    if (left->score != right->score)
        return left->score < right->score ? -1 : 1;
    return left->worker < right->worker ? -1 : left->worker > right->worker;
}

static void
add_candidate(GArray *list, const cs_binpack_cell *cell,
              const cs_binpack_request *request, uint32_t index)
{
    const cs_binpack_worker *worker = &cell->workers[index];
    struct candidate candidate = {.worker = index};

    candidate.slots =
        cs_binpack_worker_slots(cell, index, request, &worker->free);
    if (candidate.slots == 0)
        return;
    candidate.score = worker_score(worker, request);
    if (index == request->avoided_worker)
        candidate.score += AVOIDED_SCORE;
    candidate.zone = worker->zone;
    g_array_append_val(list, candidate);
}

/* Lists the candidates of a rack, or of all racks for CS_BINPACK_ANY, best
   first. */
static GArray *
find_candidates(const cs_binpack_cell *cell, const cs_binpack_request *request,
                uint32_t rack)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    uint32_t first = 0;
    uint32_t last = cell->worker_count;
    uint32_t i;

    if (rack != CS_BINPACK_ANY) {
        first = cell->rack_first[rack];
        last = cell->rack_first[rack + 1];
    }
    for (i = first; i < last; i++)
        add_candidate(list, cell, request,
                      rack == CS_BINPACK_ANY ? i : cell->by_rack[i]);
    g_array_sort(list, compare_candidates);
    return list;
}

/* Assigns up to count tasks to the candidates of a zone, or of all zones for
   CS_BINPACK_ANY, in their order. */
static uint32_t
fill_slots(uint32_t *out, const GArray *candidates, uint32_t zone,
           uint32_t count)
{
    uint32_t placed = 0;
    uint32_t k;
    guint i;

    for (i = 0; i < candidates->len && placed < count; i++) {
        const struct candidate *candidate =
            &g_array_index(candidates, struct candidate, i);

        if (zone != CS_BINPACK_ANY && candidate->zone != zone)
            continue;
        for (k = 0; k < candidate->slots && placed < count; k++)
            out[placed++] = candidate->worker;
    }
    return placed;
}

/* Returns what a placement's score gets for the avoided worker. */
static double
avoided_score(const cs_binpack_request *request, const uint32_t *workers,
              uint32_t count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (workers[i] == request->avoided_worker)
            return AVOIDED_SCORE;
    }
    return 0;
}

static double
slowest_speed(const cs_binpack_cell *cell, const uint32_t *workers,
              uint32_t count)
{
    double speed = INFINITY;
    uint32_t i;

    for (i = 0; i < count; i++)
        speed = MIN(speed, cell->workers[workers[i]].speed);
    return speed;
}

/* Sums the accelerators of a rack: free ones of usable workers, and all. */
static void
sum_rack_accelerators(const cs_binpack_cell *cell, uint32_t rack,
                      int64_t *free, int64_t *total)
{
    uint32_t i;

    *free = 0;
    *total = 0;
    for (i = cell->rack_first[rack]; i < cell->rack_first[rack + 1]; i++) {
        const cs_binpack_worker *worker = &cell->workers[cell->by_rack[i]];

        *total += worker->capacity.accelerators;
        if (worker->usable)
            *free += MAX(worker->free.accelerators, 0);
    }
}

/* Returns the free fraction of the rack less the weighted speed of the slowest
   worker, which a gang waits for. Lower is better. */
static double
rack_score(const cs_binpack_cell *cell, const cs_binpack_request *request,
           uint32_t rack, const uint32_t *workers)
{
    int64_t free;
    int64_t total;
    double share = 0;

    sum_rack_accelerators(cell, rack, &free, &total);
    if (total > 0)
        share = (double)free / (double)total;
    return share - request->speed_weight *
                       slowest_speed(cell, workers, request->count);
}

/* Returns false where the rack is reserved or has too few free accelerators,
   without examining its workers. */
static bool
rack_may_hold(const cs_binpack_cell *cell, const cs_binpack_request *request,
              uint32_t rack)
{
    int64_t free;
    int64_t total;

    if (rack >= request->first_reserved_rack)
        return false;
    sum_rack_accelerators(cell, rack, &free, &total);
    return free >= request->demand.accelerators * request->count;
}

static uint32_t
place_in_rack(uint32_t *out, const cs_binpack_cell *cell,
              const cs_binpack_request *request)
{
    uint32_t *trial = g_new(uint32_t, request->count);
    double best = INFINITY;
    uint32_t found = 0;
    uint32_t rack;

    for (rack = 0; rack < cell->rack_count; rack++) {
        GArray *candidates;
        uint32_t placed;
        double score;

        if (request->data_rack != CS_BINPACK_ANY && rack != request->data_rack)
            continue;
        if (!rack_may_hold(cell, request, rack))
            continue;
        candidates = find_candidates(cell, request, rack);
        placed = fill_slots(trial, candidates, CS_BINPACK_ANY, request->count);
        g_array_free(candidates, TRUE);
        if (placed < request->count)
            continue;
        score = rack_score(cell, request, rack, trial) +
                avoided_score(request, trial, placed);
        if (score >= best)
            continue;
        best = score;
        found = placed;
        memcpy(out, trial, placed * sizeof(*out));
    }
    g_free(trial);
    return found;
}

/* Zones beyond this number are not tried one by one; the largest region of
   the design size has fewer. */
#define ZONES_MAX 32

static uint32_t
list_zones(uint32_t *zones, const GArray *candidates)
{
    uint32_t count = 0;
    uint32_t k;
    guint i;

    for (i = 0; i < candidates->len && count < ZONES_MAX; i++) {
        uint32_t zone = g_array_index(candidates, struct candidate, i).zone;

        for (k = 0; k < count && zones[k] != zone; k++)
            continue;
        if (k == count)
            zones[count++] = zone;
    }
    return count;
}

/*
 * Places a gang in the zone in which its slowest member is the fastest. A gang
 * that spans zones ends with the first zone that is cut off.
 */
static uint32_t
place_in_zone(uint32_t *out, const cs_binpack_cell *cell,
              const cs_binpack_request *request, const GArray *candidates)
{
    uint32_t *trial = g_new(uint32_t, request->count);
    uint32_t zones[ZONES_MAX];
    uint32_t zone_count = list_zones(zones, candidates);
    double best = INFINITY;
    uint32_t found = 0;
    uint32_t i;

    for (i = 0; i < zone_count; i++) {
        uint32_t placed =
            fill_slots(trial, candidates, zones[i], request->count);
        double score;

        if (placed < request->count)
            continue;
        score = avoided_score(request, trial, placed) -
                request->speed_weight * slowest_speed(cell, trial, placed);
        if (score >= best)
            continue;
        best = score;
        found = placed;
        memcpy(out, trial, placed * sizeof(*out));
    }
    g_free(trial);
    return found;
}

static uint32_t
place_anywhere(uint32_t *out, const cs_binpack_cell *cell,
               const cs_binpack_request *request)
{
    GArray *candidates = find_candidates(cell, request, request->data_rack);
    uint32_t placed = 0;

    if (request->all_or_nothing)
        placed = place_in_zone(out, cell, request, candidates);
    if (placed == 0)
        placed = fill_slots(out, candidates, CS_BINPACK_ANY, request->count);
    g_array_free(candidates, TRUE);
    return placed;
}

void
cs_binpack_cell_index(cs_binpack_cell *cell)
{
    uint32_t *next = g_new0(uint32_t, cell->rack_count + 1);
    uint32_t i;

    cell->by_rack = g_new0(uint32_t, cell->worker_count + 1);
    cell->rack_first = g_new0(uint32_t, cell->rack_count + 1);
    for (i = 0; i < cell->worker_count; i++)
        cell->rack_first[cell->workers[i].rack + 1]++;
    for (i = 0; i < cell->rack_count; i++)
        cell->rack_first[i + 1] += cell->rack_first[i];
    memcpy(next, cell->rack_first, cell->rack_count * sizeof(*next));
    for (i = 0; i < cell->worker_count; i++)
        cell->by_rack[next[cell->workers[i].rack]++] = i;
    g_free(next);
}

void
cs_binpack_cell_unindex(cs_binpack_cell *cell)
{
    g_free(cell->by_rack);
    g_free(cell->rack_first);
    cell->by_rack = NULL;
    cell->rack_first = NULL;
}

uint32_t
cs_binpack_place(uint32_t *out, cs_binpack_cell *cell,
                 const cs_binpack_request *request)
{
    uint32_t placed;
    uint32_t i;

    if (request->same_rack)
        placed = place_in_rack(out, cell, request);
    else
        placed = place_anywhere(out, cell, request);
    if (request->all_or_nothing && placed < request->count)
        return 0;
    for (i = 0; i < placed; i++)
        cs_demand_subtract(&cell->workers[out[i]].free, &request->demand);
    return placed;
}

/* A worker of a ranking. */
struct ranked {
    uint32_t worker;
    uint32_t rack;
    bool lacks_capacity; /* for even one task now */
    int64_t rack_free;   /* accelerators; 0 if the request may span racks */
};

static gint
compare_ranked(gconstpointer a, gconstpointer b)
{
    const struct ranked *left = a;
    const struct ranked *right = b;

    if (left->lacks_capacity != right->lacks_capacity)
        return left->lacks_capacity ? 1 : -1;
    if (left->rack_free != right->rack_free)
        return left->rack_free > right->rack_free ? -1 : 1;
    if (left->rack != right->rack)
        return left->rack < right->rack ? -1 : 1;
    return left->worker < right->worker ? -1 : left->worker > right->worker;
}

uint32_t
cs_binpack_rank(uint32_t *out, const cs_binpack_cell *cell,
                const cs_binpack_request *request)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct ranked));
    cs_binpack_request unrestricted = *request;
    uint32_t count;
    uint32_t i;
    int64_t total;

    unrestricted.allowed = NULL;
    unrestricted.first_reserved_rack = cell->rack_count;
    for (i = 0; i < cell->worker_count; i++) {
        const cs_binpack_worker *worker = &cell->workers[i];
        struct ranked ranked = {.worker = i};

        if (cs_binpack_worker_slots(cell, i, &unrestricted,
                                    &worker->capacity) == 0)
            continue;
        ranked.lacks_capacity = cs_binpack_worker_slots(cell, i, &unrestricted,
                                                        &worker->free) == 0;
        if (request->same_rack) {
            ranked.rack = worker->rack;
            sum_rack_accelerators(cell, worker->rack, &ranked.rack_free,
                                  &total);
        }
        g_array_append_val(list, ranked);
    }
    g_array_sort(list, compare_ranked);
    count = list->len;
    for (i = 0; i < count; i++)
        out[i] = g_array_index(list, struct ranked, i).worker;
    g_array_free(list, TRUE);
    return count;
}

bool
cs_binpack_is_possible(const cs_binpack_cell *cell,
                       const cs_binpack_request *request)
{
    cs_binpack_cell empty = *cell;
    cs_binpack_request unrestricted = *request;
    uint32_t *out = g_new0(uint32_t, request->count);
    uint32_t placed;
    uint32_t i;

    empty.workers = g_new0(cs_binpack_worker, cell->worker_count + 1);
    memcpy(empty.workers, cell->workers,
           cell->worker_count * sizeof(*empty.workers));
    for (i = 0; i < cell->worker_count; i++)
        empty.workers[i].free = empty.workers[i].capacity;
    unrestricted.avoids_strictly = false;
    placed = cs_binpack_place(out, &empty, &unrestricted);
    g_free(empty.workers);
    g_free(out);
    return request->all_or_nothing ? placed == request->count : placed > 0;
}
