/* Workers in racks, and which accelerators of each are free. */
#include "policy_internal.h"

uint64_t
low_bits(uint32_t n)
{
    return n >= 64 ? UINT64_MAX : (UINT64_C(1) << n) - 1;
}

uint32_t
order_for(uint32_t accelerators)
{
    if (accelerators <= 1)
        return 0;
    return 32 - (uint32_t)__builtin_clz(accelerators - 1);
}

/* Starts of aligned blocks of 2^order free accelerators. */
static uint64_t
aligned_blocks(uint64_t free, uint32_t order)
{
    static const uint64_t starts[ORDER_COUNT] = {UINT64_MAX,
                                                 UINT64_C(0x5555555555555555),
                                                 UINT64_C(0x1111111111111111),
                                                 UINT64_C(0x0101010101010101),
                                                 UINT64_C(0x0001000100010001),
                                                 UINT64_C(0x0000000100000001),
                                                 UINT64_C(1)};
    uint32_t i;

    for (i = 0; i < order; i++) {
        free &= free >> (1U << i);
        free &= starts[i + 1];
    }
    return free;
}

uint64_t
worker_free(const struct worker *w)
{
    return w->usable ? w->all & ~w->used & ~w->claimed : 0;
}

uint64_t
block_find(const struct worker *w, uint64_t free, uint32_t n)
{
    uint32_t order = order_for(n);
    uint64_t blocks;

    if (n > w->accelerators)
        return 0;
    if (free == w->all)
        return low_bits(n);
    for (; order < ORDER_COUNT; order++) {
        blocks = aligned_blocks(free, order);
        /* A block that is part of a larger free one is split last. */
        if (order + 1 < ORDER_COUNT) {
            uint64_t larger = aligned_blocks(free, order + 1);
            uint64_t apart = blocks & ~larger & ~(larger << (1U << order));

            if (apart)
                blocks = apart;
        }
        if (blocks)
            return low_bits(n) << __builtin_ctzll(blocks);
    }
    return 0;
}

void
topology_init(struct topology *t)
{
    t->workers = g_array_new(FALSE, TRUE, sizeof(struct worker));
    t->racks = g_array_new(FALSE, TRUE, sizeof(struct rack));
}

void
topology_dispose(struct topology *t)
{
    guint i;

    for (i = 0; i < t->workers->len; i++)
        g_array_free(topology_worker(t, i)->tenants, TRUE);
    for (i = 0; i < t->racks->len; i++)
        g_array_free(topology_rack(t, i)->workers, TRUE);
    g_array_free(t->workers, TRUE);
    g_array_free(t->racks, TRUE);
}

struct tenant *
worker_tenant(const struct worker *w, uint32_t i)
{
    return &g_array_index(w->tenants, struct tenant, i);
}

struct worker *
topology_worker(const struct topology *t, uint32_t index)
{
    return &g_array_index(t->workers, struct worker, index);
}

struct rack *
topology_rack(const struct topology *t, uint32_t index)
{
    return &g_array_index(t->racks, struct rack, index);
}

uint32_t
topology_add(struct topology *t, uint32_t rack, uint32_t accelerators)
{
    struct worker worker = {
        .rack = rack,
        .accelerators = accelerators,
        .all = low_bits(accelerators),
        .order = -1,
        .tenants = g_array_new(FALSE, FALSE, sizeof(struct tenant))};
    uint32_t index = t->workers->len;
    struct rack *r;

    while (t->racks->len <= rack) {
        struct rack empty = {.workers =
                                 g_array_new(FALSE, FALSE, sizeof(uint32_t))};

        g_array_append_val(t->racks, empty);
    }
    g_array_append_val(t->workers, worker);
    r = topology_rack(t, rack);
    g_array_append_val(r->workers, index);
    r->accelerators += accelerators;
    t->worker_max = MAX(t->worker_max, accelerators);
    t->rack_max = MAX(t->rack_max, r->accelerators);
    return index;
}

static int8_t
largest_order(const struct worker *w, uint64_t free)
{
    int8_t order;

    if (free == 0)
        return -1;
    if (free == w->all)
        return (int8_t)order_for(w->accelerators);
    for (order = ORDER_COUNT - 1; order > 0; order--) {
        if (aligned_blocks(free, (uint32_t)order))
            return order;
    }
    return 0;
}

void
topology_update(struct topology *t, uint32_t index)
{
    struct worker *w = topology_worker(t, index);
    struct rack *r = topology_rack(t, w->rack);
    uint64_t free = worker_free(w);
    bool whole = free != 0 && free == w->all;
    uint32_t count = (uint32_t)__builtin_popcountll(free);

    t->free += count - w->free;
    w->free = count;
    if (w->usable != w->counted)
        t->accelerators += w->usable ? w->accelerators : -w->accelerators;
    w->counted = w->usable;
    if (w->order >= 0)
        r->orders[w->order]--;
    w->order = largest_order(w, free);
    if (w->order >= 0)
        r->orders[w->order]++;
    if (whole == w->whole)
        return;
    w->whole = whole;
    if (whole) {
        r->whole++;
        r->whole_accelerators += w->accelerators;
    }
    else {
        r->whole--;
        r->whole_accelerators -= w->accelerators;
    }
}
