/*
 * Finds free accelerators for a job. A job that fits into one worker takes
 * the smallest free block that holds it, in the rack with the fewest fully
 * free workers. A larger job takes fully free workers of one rack, or of
 * consecutive racks if no rack is large enough.
 */
#include "policy_internal.h"

/* Returns whether a job that ends at end_us does not delay the reservation. */
static bool
allows_backfill(const struct worker *worker, int64_t end_us)
{
    return worker->reservation_start_us == 0 ||
           end_us <= worker->reservation_start_us;
}

static void
add_member(GArray *members, uint32_t worker, uint64_t mask)
{
    cs_sched_member member = {worker, mask};

    g_array_append_val(members, member);
}

/* Returns the worker with the fewest free accelerators among those of a rack
   whose largest free block has this order, or NO_WORKER. Sets blocked if it
   has passed over a worker for the reservation. */
static uint32_t
find_worker_in_rack(const struct topology *topology, const struct rack *rack,
                    int8_t order, uint32_t size, int64_t end_us, bool *blocked)
{
    uint32_t best = NO_WORKER;
    int best_free_count = 65;
    guint i;

    for (i = 0; i < rack->workers->len; i++) {
        uint32_t index = g_array_index(rack->workers, uint32_t, i);
        const struct worker *worker = topology_worker(topology, index);
        int free_count;

        if (worker->largest_free_order != order || worker->accelerators < size)
            continue;
        if (!allows_backfill(worker, end_us)) {
            *blocked = true;
            continue;
        }
        free_count = __builtin_popcountll(worker_free_mask(worker));
        if (free_count < best_free_count) {
            best = index;
            best_free_count = free_count;
        }
    }
    return best;
}

static uint32_t
find_worker(const struct topology *topology, uint32_t size, int64_t end_us,
            bool *blocked)
{
    uint32_t order;

    for (order = block_order(size); order < BLOCK_ORDER_COUNT; order++) {
        uint32_t best = NO_WORKER;
        uint32_t best_fully_free = UINT32_MAX;
        guint i;

        for (i = 0; i < topology->racks->len; i++) {
            const struct rack *rack = topology_rack(topology, i);
            uint32_t index;

            if (rack->workers_by_order[order] == 0 ||
                rack->fully_free_workers >= best_fully_free)
                continue;
            index = find_worker_in_rack(topology, rack, (int8_t)order, size,
                                        end_us, blocked);
            if (index == NO_WORKER)
                continue;
            best = index;
            best_fully_free = rack->fully_free_workers;
        }
        if (best != NO_WORKER)
            return best;
    }
    return NO_WORKER;
}

static bool
place_in_worker(placement *out, const struct topology *topology, uint32_t size,
                int64_t end_us)
{
    uint32_t index =
        find_worker(topology, size, end_us, &out->blocked_by_reservation);
    const struct worker *worker;
    uint64_t mask;

    if (index == NO_WORKER)
        return false;
    worker = topology_worker(topology, index);
    mask = block_find(worker, worker_free_mask(worker), size);
    if (!mask)
        return false;
    add_member(out->members, index, mask);
    return true;
}

/* Returns the accelerators on fully free workers of a rack that a job which
   ends at end_us may use. */
static uint32_t
available_fully_free(const struct topology *topology, const struct rack *rack,
                     int64_t end_us, bool *blocked)
{
    uint32_t sum = rack->fully_free_accelerators;
    guint i;

    if (rack->reserved_workers == 0)
        return sum;
    for (i = 0; i < rack->workers->len; i++) {
        const struct worker *worker = topology_worker(
            topology, g_array_index(rack->workers, uint32_t, i));

        if (worker->fully_free && !allows_backfill(worker, end_us)) {
            *blocked = true;
            sum -= worker->accelerators;
        }
    }
    return sum;
}

/* Adds fully free workers of a rack. Returns what is still missing. */
static uint32_t
take_workers(GArray *members, const struct topology *topology,
             const struct rack *rack, uint32_t size, int64_t end_us)
{
    guint i;

    for (i = 0; i < rack->workers->len && size > 0; i++) {
        uint32_t index = g_array_index(rack->workers, uint32_t, i);
        const struct worker *worker = topology_worker(topology, index);
        uint32_t part = MIN(size, worker->accelerators);

        if (!worker->fully_free || !allows_backfill(worker, end_us))
            continue;
        add_member(members, index, low_bits(part));
        size -= part;
    }
    return size;
}

bool
rack_window_find(uint32_t *first, uint32_t *last, const uint32_t *sums,
                 uint32_t count, uint32_t size)
{
    uint32_t best = UINT32_MAX;
    uint64_t best_sum = UINT64_MAX;
    uint64_t sum = 0;
    uint32_t left = 0;
    uint32_t right;

    for (right = 0; right < count; right++) {
        sum += sums[right];
        while (sum - sums[left] >= size && left < right)
            sum -= sums[left++];
        if (sum < size)
            continue;
        if (right - left + 1 < best ||
            (right - left + 1 == best && sum < best_sum)) {
            best = right - left + 1;
            best_sum = sum;
            *first = left;
            *last = right;
        }
    }
    return best != UINT32_MAX;
}

static bool
place_in_rack_window(placement *out, const struct topology *topology,
                     uint32_t size, int64_t end_us)
{
    uint32_t *available = g_new(uint32_t, topology->racks->len);
    uint32_t first = 0;
    uint32_t last = 0;
    uint32_t i;
    bool found;

    for (i = 0; i < topology->racks->len; i++)
        available[i] =
            available_fully_free(topology, topology_rack(topology, i), end_us,
                                 &out->blocked_by_reservation);
    found =
        rack_window_find(&first, &last, available, topology->racks->len, size);
    for (i = first; found && i <= last; i++)
        size = take_workers(out->members, topology, topology_rack(topology, i),
                            size, end_us);
    g_free(available);
    return found;
}

static bool
place_on_workers(placement *out, const struct topology *topology,
                 uint32_t size, int64_t end_us)
{
    const struct rack *best = NULL;
    uint32_t best_sum = UINT32_MAX;
    guint i;

    if (size > topology->rack_max)
        return place_in_rack_window(out, topology, size, end_us);
    for (i = 0; i < topology->racks->len; i++) {
        const struct rack *rack = topology_rack(topology, i);
        uint32_t sum;

        if (rack->fully_free_accelerators < size)
            continue;
        sum = available_fully_free(topology, rack, end_us,
                                   &out->blocked_by_reservation);
        if (sum >= size && sum < best_sum) {
            best = rack;
            best_sum = sum;
        }
    }
    if (!best)
        return false;
    take_workers(out->members, topology, best, size, end_us);
    return true;
}

bool
place_best_fit(placement *out, const struct topology *topology, uint32_t size,
               int64_t end_us)
{
    if (size <= topology->worker_max)
        return place_in_worker(out, topology, size, end_us);
    return place_on_workers(out, topology, size, end_us);
}

static bool
first_fit_in_worker(placement *out, const struct topology *topology,
                    uint32_t size)
{
    guint i;

    for (i = 0; i < topology->workers->len; i++) {
        const struct worker *worker = topology_worker(topology, i);
        uint64_t mask = block_find(worker, worker_free_mask(worker), size);

        if (mask) {
            add_member(out->members, i, mask);
            return true;
        }
    }
    return false;
}

bool
place_first_fit(placement *out, const struct topology *topology, uint32_t size)
{
    guint i;

    if (size <= topology->worker_max)
        return first_fit_in_worker(out, topology, size);
    if (size > topology->rack_max)
        return place_in_rack_window(out, topology, size, 0);
    for (i = 0; i < topology->racks->len; i++) {
        const struct rack *rack = topology_rack(topology, i);

        if (rack->fully_free_accelerators < size)
            continue;
        take_workers(out->members, topology, rack, size, 0);
        return true;
    }
    return false;
}
