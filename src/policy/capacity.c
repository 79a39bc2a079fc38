/*
 * Packs guaranteed shapes into a copy of the cell's capacity, the largest
 * first and each into the tightest place that holds it. The packing is a
 * heuristic: shapes that it places do fit together, but it may miss a packing
 * that exists.
 */
#include "policy_internal.h"

void
capacity_init(struct capacity *capacity, const struct topology *topology,
              bool current_state)
{
    uint32_t i;
    guint k;

    capacity->rack_count = topology->racks->len;
    capacity->fully_free_accelerators =
        g_new0(uint32_t, MAX(capacity->rack_count, 1));
    capacity->workers =
        g_array_new(FALSE, FALSE, sizeof(struct capacity_worker));
    capacity->rack_first = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (i = 0; i < capacity->rack_count; i++) {
        const struct rack *rack = topology_rack(topology, i);
        uint32_t first = capacity->workers->len;

        g_array_append_val(capacity->rack_first, first);
        for (k = 0; k < rack->workers->len; k++) {
            const struct worker *worker = topology_worker(
                topology, g_array_index(rack->workers, uint32_t, k));
            struct capacity_worker entry = {i, worker->accelerators,
                                            worker->all_mask, false};

            if (current_state)
                entry.available_mask =
                    worker->usable
                        ? worker->all_mask & ~worker->guaranteed_mask
                        : 0;
            entry.fully_free = entry.available_mask &&
                               entry.available_mask == worker->all_mask;
            if (entry.fully_free)
                capacity->fully_free_accelerators[i] += entry.accelerators;
            g_array_append_val(capacity->workers, entry);
        }
    }
}

void
capacity_dispose(struct capacity *capacity)
{
    g_free(capacity->fully_free_accelerators);
    g_array_free(capacity->workers, TRUE);
    g_array_free(capacity->rack_first, TRUE);
}

static struct capacity_worker *
capacity_worker(const struct capacity *capacity, uint32_t index)
{
    return &g_array_index(capacity->workers, struct capacity_worker, index);
}

static void
take_accelerators(struct capacity *capacity, struct capacity_worker *worker,
                  uint64_t mask)
{
    if (worker->fully_free && mask) {
        worker->fully_free = false;
        capacity->fully_free_accelerators[worker->rack] -=
            worker->accelerators;
    }
    worker->available_mask &= ~mask;
}

void
capacity_take(struct capacity *capacity, uint32_t index, uint64_t mask)
{
    take_accelerators(capacity, capacity_worker(capacity, index), mask);
}

static uint32_t
rack_end(const struct capacity *capacity, uint32_t rack)
{
    return rack + 1 < capacity->rack_count
               ? g_array_index(capacity->rack_first, uint32_t, rack + 1)
               : capacity->workers->len;
}

static uint32_t
rack_start(const struct capacity *capacity, uint32_t rack)
{
    return g_array_index(capacity->rack_first, uint32_t, rack);
}

static void
remove_spare_worker(struct capacity *capacity)
{
    uint32_t best = UINT32_MAX;
    uint32_t i;

    for (i = 0; i < capacity->rack_count; i++) {
        if (capacity->fully_free_accelerators[i] &&
            (best == UINT32_MAX ||
             capacity->fully_free_accelerators[i] >
                 capacity->fully_free_accelerators[best]))
            best = i;
    }
    if (best == UINT32_MAX)
        return;
    for (i = rack_start(capacity, best); i < rack_end(capacity, best); i++) {
        struct capacity_worker *worker = capacity_worker(capacity, i);

        if (worker->fully_free) {
            take_accelerators(capacity, worker, worker->available_mask);
            return;
        }
    }
}

/* Assumes the worst case, in which the failures hit the racks with the most
   free workers. */
void
capacity_remove_spares(struct capacity *capacity, uint32_t spare)
{
    while (spare-- > 0)
        remove_spare_worker(capacity);
}

/* Takes fully free workers of a rack. Returns what is still missing. */
static uint32_t
take_fully_free(struct capacity *capacity, uint32_t rack, uint32_t size)
{
    uint32_t i;

    for (i = rack_start(capacity, rack);
         i < rack_end(capacity, rack) && size > 0; i++) {
        struct capacity_worker *worker = capacity_worker(capacity, i);

        if (!worker->fully_free)
            continue;
        take_accelerators(capacity, worker,
                          low_bits(MIN(size, worker->accelerators)));
        size -= MIN(size, worker->accelerators);
    }
    return size;
}

/* Packs a shape that is larger than any rack into consecutive racks. */
static bool
pack_in_rack_window(struct capacity *capacity, uint32_t size)
{
    uint32_t first = 0;
    uint32_t last = 0;
    uint32_t i;

    if (!rack_window_find(&first, &last, capacity->fully_free_accelerators,
                          capacity->rack_count, size))
        return false;
    for (i = first; i <= last; i++)
        size = take_fully_free(capacity, i, size);
    return true;
}

/* Packs a shape that is larger than any worker into the tightest rack. */
static bool
pack_in_rack(struct capacity *capacity, uint32_t size)
{
    uint32_t best = UINT32_MAX;
    uint32_t i;

    for (i = 0; i < capacity->rack_count; i++) {
        if (capacity->fully_free_accelerators[i] >= size &&
            (best == UINT32_MAX ||
             capacity->fully_free_accelerators[i] <
                 capacity->fully_free_accelerators[best]))
            best = i;
    }
    if (best == UINT32_MAX)
        return false;
    take_fully_free(capacity, best, size);
    return true;
}

/* Packs a shape into the worker with the fewest available accelerators. */
static bool
pack_in_worker(struct capacity *capacity, uint32_t size)
{
    struct capacity_worker *best = NULL;
    uint64_t best_mask = 0;
    int best_free_count = 65;
    uint32_t i;

    for (i = 0; i < capacity->workers->len; i++) {
        struct capacity_worker *worker = capacity_worker(capacity, i);
        struct worker empty_worker = {.accelerators = worker->accelerators,
                                      .all_mask =
                                          low_bits(worker->accelerators)};
        int free_count = __builtin_popcountll(worker->available_mask);
        uint64_t mask;

        if (free_count < (int)size || free_count >= best_free_count)
            continue;
        mask = block_find(&empty_worker, worker->available_mask, size);
        if (!mask)
            continue;
        best = worker;
        best_mask = mask;
        best_free_count = free_count;
    }
    if (!best)
        return false;
    take_accelerators(capacity, best, best_mask);
    return true;
}

static int
compare_descending(const void *a, const void *b)
{
    uint32_t left = *(const uint32_t *)a;
    uint32_t right = *(const uint32_t *)b;

    return left > right ? -1 : left < right;
}

static uint32_t
largest_worker(const struct capacity *capacity)
{
    uint32_t largest = 0;
    uint32_t i;

    for (i = 0; i < capacity->workers->len; i++)
        largest = MAX(largest, capacity_worker(capacity, i)->accelerators);
    return largest;
}

static uint32_t
largest_rack(const struct capacity *capacity)
{
    uint32_t largest = 0;
    uint32_t i;
    uint32_t k;

    for (i = 0; i < capacity->rack_count; i++) {
        uint32_t sum = 0;

        for (k = rack_start(capacity, i); k < rack_end(capacity, i); k++)
            sum += capacity_worker(capacity, k)->accelerators;
        largest = MAX(largest, sum);
    }
    return largest;
}

uint32_t
capacity_pack(struct capacity *capacity, const uint32_t *sizes, uint32_t count)
{
    uint32_t *sorted = g_new(uint32_t, MAX(count, 1));
    uint32_t worker_max = largest_worker(capacity);
    uint32_t rack_max = largest_rack(capacity);
    uint32_t unpacked = 0;
    uint32_t i;

    for (i = 0; i < count; i++)
        sorted[i] = sizes[i];
    qsort(sorted, count, sizeof(*sorted), compare_descending);
    for (i = 0; i < count; i++) {
        bool fits;

        if (sorted[i] > rack_max)
            fits = pack_in_rack_window(capacity, sorted[i]);
        else if (sorted[i] > worker_max)
            fits = pack_in_rack(capacity, sorted[i]);
        else
            fits = pack_in_worker(capacity, sorted[i]);
        if (!fits)
            unpacked++;
    }
    g_free(sorted);
    return unpacked;
}
