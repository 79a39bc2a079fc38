/*
 * The workers of the cell in their racks, and the free accelerators of each.
 * Free accelerators are grouped into aligned blocks of 2^order, as in a buddy
 * allocator.
 */
#include "policy_internal.h"

uint64_t
low_bits(uint32_t count)
{
    return count >= 64 ? UINT64_MAX : (UINT64_C(1) << count) - 1;
}

uint32_t
block_order(uint32_t accelerators)
{
    if (accelerators <= 1)
        return 0;
    return 32 - (uint32_t)__builtin_clz(accelerators - 1);
}

/* Returns the first bit of each aligned block of 2^order free accelerators. */
static uint64_t
aligned_blocks(uint64_t free_mask, uint32_t order)
{
    /* By order: the bits at which an aligned block may begin. */
    static const uint64_t starts[BLOCK_ORDER_COUNT] = {
        UINT64_MAX,
        UINT64_C(0x5555555555555555),
        UINT64_C(0x1111111111111111),
        UINT64_C(0x0101010101010101),
        UINT64_C(0x0001000100010001),
        UINT64_C(0x0000000100000001),
        UINT64_C(1)};
    uint32_t i;

    for (i = 0; i < order; i++) {
        free_mask &= free_mask >> (1U << i);
        free_mask &= starts[i + 1];
    }
    return free_mask;
}

uint64_t
worker_free_mask(const struct worker *worker)
{
    return worker->usable
               ? worker->all_mask & ~worker->used_mask & ~worker->claimed_mask
               : 0;
}

uint64_t
block_find(const struct worker *worker, uint64_t free_mask, uint32_t size)
{
    uint32_t order = block_order(size);
    uint64_t blocks;

    if (size > worker->accelerators)
        return 0;
    if (free_mask == worker->all_mask)
        return low_bits(size);
    for (; order < BLOCK_ORDER_COUNT; order++) {
        blocks = aligned_blocks(free_mask, order);
        /* Blocks that are not part of a larger free block go first, so that
           larger blocks are split last. */
        if (order + 1 < BLOCK_ORDER_COUNT) {
            uint64_t larger = aligned_blocks(free_mask, order + 1);
            uint64_t isolated = blocks & ~larger & ~(larger << (1U << order));

            if (isolated)
                blocks = isolated;
        }
        if (blocks)
            return low_bits(size) << __builtin_ctzll(blocks);
    }
    return 0;
}

void
topology_init(struct topology *topology)
{
    topology->workers = g_array_new(FALSE, TRUE, sizeof(struct worker));
    topology->racks = g_array_new(FALSE, TRUE, sizeof(struct rack));
}

void
topology_dispose(struct topology *topology)
{
    guint i;

    for (i = 0; i < topology->workers->len; i++)
        g_array_free(topology_worker(topology, i)->allocations, TRUE);
    for (i = 0; i < topology->racks->len; i++)
        g_array_free(topology_rack(topology, i)->workers, TRUE);
    g_array_free(topology->workers, TRUE);
    g_array_free(topology->racks, TRUE);
}

struct allocation *
worker_allocation(const struct worker *worker, uint32_t index)
{
    return &g_array_index(worker->allocations, struct allocation, index);
}

struct worker *
topology_worker(const struct topology *topology, uint32_t index)
{
    return &g_array_index(topology->workers, struct worker, index);
}

struct rack *
topology_rack(const struct topology *topology, uint32_t index)
{
    return &g_array_index(topology->racks, struct rack, index);
}

uint32_t
topology_add(struct topology *topology, uint32_t rack_index,
             uint32_t accelerators)
{
    struct worker worker = {
        .rack = rack_index,
        .accelerators = accelerators,
        .all_mask = low_bits(accelerators),
        .largest_free_order = -1,
        .allocations = g_array_new(FALSE, FALSE, sizeof(struct allocation))};
    uint32_t index = topology->workers->len;
    struct rack *rack;

    while (topology->racks->len <= rack_index) {
        struct rack empty = {.workers =
                                 g_array_new(FALSE, FALSE, sizeof(uint32_t))};

        g_array_append_val(topology->racks, empty);
    }
    g_array_append_val(topology->workers, worker);
    rack = topology_rack(topology, rack_index);
    g_array_append_val(rack->workers, index);
    rack->accelerators += accelerators;
    topology->worker_max = MAX(topology->worker_max, accelerators);
    topology->rack_max = MAX(topology->rack_max, rack->accelerators);
    return index;
}

static int8_t
find_largest_order(const struct worker *worker, uint64_t free_mask)
{
    int8_t order;

    if (free_mask == 0)
        return -1;
    if (free_mask == worker->all_mask)
        return (int8_t)block_order(worker->accelerators);
    for (order = BLOCK_ORDER_COUNT - 1; order > 0; order--) {
        if (aligned_blocks(free_mask, (uint32_t)order))
            return order;
    }
    return 0;
}

void
topology_update(struct topology *topology, uint32_t index)
{
    struct worker *worker = topology_worker(topology, index);
    struct rack *rack = topology_rack(topology, worker->rack);
    uint64_t free_mask = worker_free_mask(worker);
    bool fully_free = free_mask != 0 && free_mask == worker->all_mask;
    uint32_t free_accelerators = (uint32_t)__builtin_popcountll(free_mask);

    topology->free_accelerators +=
        free_accelerators - worker->free_accelerators;
    worker->free_accelerators = free_accelerators;
    if (worker->usable != worker->counted_in_topology)
        topology->accelerators +=
            worker->usable ? worker->accelerators : -worker->accelerators;
    worker->counted_in_topology = worker->usable;
    if (worker->largest_free_order >= 0)
        rack->workers_by_order[worker->largest_free_order]--;
    worker->largest_free_order = find_largest_order(worker, free_mask);
    if (worker->largest_free_order >= 0)
        rack->workers_by_order[worker->largest_free_order]++;
    if (fully_free == worker->fully_free)
        return;
    worker->fully_free = fully_free;
    if (fully_free) {
        rack->fully_free_workers++;
        rack->fully_free_accelerators += worker->accelerators;
    }
    else {
        rack->fully_free_workers--;
        rack->fully_free_accelerators -= worker->accelerators;
    }
}
