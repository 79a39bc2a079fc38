/*
 * Packing of guaranteed shapes into a room, largest first and each into the
 * tightest place. A shape that is reported as packed surely fits.
 */
#include "policy_internal.h"

void
room_init(struct room *room, const struct topology *t, bool now)
{
    uint32_t i;
    guint k;

    room->rack_count = t->racks->len;
    room->whole = g_new0(uint32_t, MAX(room->rack_count, 1));
    room->workers = g_array_new(FALSE, FALSE, sizeof(struct room_worker));
    room->rack_first = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (i = 0; i < room->rack_count; i++) {
        const struct rack *r = topology_rack(t, i);
        uint32_t first = room->workers->len;

        g_array_append_val(room->rack_first, first);
        for (k = 0; k < r->workers->len; k++) {
            const struct worker *w =
                topology_worker(t, g_array_index(r->workers, uint32_t, k));
            struct room_worker entry = {i, w->accelerators, w->all, false};

            if (now)
                entry.avail = w->usable ? w->all & ~w->held : 0;
            entry.whole = entry.avail && entry.avail == w->all;
            if (entry.whole)
                room->whole[i] += entry.size;
            g_array_append_val(room->workers, entry);
        }
    }
}

void
room_dispose(struct room *room)
{
    g_free(room->whole);
    g_array_free(room->workers, TRUE);
    g_array_free(room->rack_first, TRUE);
}

static struct room_worker *
room_worker(const struct room *room, uint32_t index)
{
    return &g_array_index(room->workers, struct room_worker, index);
}

static void
take(struct room *room, struct room_worker *w, uint64_t mask)
{
    if (w->whole && mask) {
        w->whole = false;
        room->whole[w->rack] -= w->size;
    }
    w->avail &= ~mask;
}

/* Index of a topology's worker: rooms list workers rack by rack. */
void
room_take(struct room *room, uint32_t index, uint64_t mask)
{
    take(room, room_worker(room, index), mask);
}

static uint32_t
rack_end(const struct room *room, uint32_t rack)
{
    return rack + 1 < room->rack_count
               ? g_array_index(room->rack_first, uint32_t, rack + 1)
               : room->workers->len;
}

static uint32_t
rack_start(const struct room *room, uint32_t rack)
{
    return g_array_index(room->rack_first, uint32_t, rack);
}

static void
drop_one_worker(struct room *room)
{
    uint32_t best = UINT32_MAX;
    uint32_t i;

    for (i = 0; i < room->rack_count; i++) {
        if (room->whole[i] &&
            (best == UINT32_MAX || room->whole[i] > room->whole[best]))
            best = i;
    }
    if (best == UINT32_MAX)
        return;
    for (i = rack_start(room, best); i < rack_end(room, best); i++) {
        struct room_worker *w = room_worker(room, i);

        if (w->whole) {
            take(room, w, w->avail);
            return;
        }
    }
}

/* Failures may strike the fullest racks; count on losing those. */
void
room_remove_spares(struct room *room, uint32_t spare)
{
    while (spare-- > 0)
        drop_one_worker(room);
}

static uint32_t
take_whole(struct room *room, uint32_t rack, uint32_t n)
{
    uint32_t i;

    for (i = rack_start(room, rack); i < rack_end(room, rack) && n > 0; i++) {
        struct room_worker *w = room_worker(room, i);

        if (!w->whole)
            continue;
        take(room, w, low_bits(MIN(n, w->size)));
        n -= MIN(n, w->size);
    }
    return n;
}

static bool
pack_window(struct room *room, uint32_t n)
{
    uint32_t first = 0;
    uint32_t last = 0;
    uint32_t i;

    if (!window_find(&first, &last, room->whole, room->rack_count, n))
        return false;
    for (i = first; i <= last; i++)
        n = take_whole(room, i, n);
    return true;
}

static bool
pack_rack(struct room *room, uint32_t n)
{
    uint32_t best = UINT32_MAX;
    uint32_t i;

    for (i = 0; i < room->rack_count; i++) {
        if (room->whole[i] >= n &&
            (best == UINT32_MAX || room->whole[i] < room->whole[best]))
            best = i;
    }
    if (best == UINT32_MAX)
        return false;
    take_whole(room, best, n);
    return true;
}

static bool
pack_small(struct room *room, uint32_t n)
{
    struct room_worker *best = NULL;
    uint64_t best_mask = 0;
    int best_free = 65;
    uint32_t i;

    for (i = 0; i < room->workers->len; i++) {
        struct room_worker *w = room_worker(room, i);
        struct worker as = {.accelerators = w->size, .all = low_bits(w->size)};
        int free = __builtin_popcountll(w->avail);
        uint64_t mask;

        if (free < (int)n || free >= best_free)
            continue;
        mask = block_find(&as, w->avail, n);
        if (!mask)
            continue;
        best = w;
        best_mask = mask;
        best_free = free;
    }
    if (!best)
        return false;
    take(room, best, best_mask);
    return true;
}

static int
compare_descending(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return x > y ? -1 : x < y;
}

static uint32_t
largest_worker(const struct room *room)
{
    uint32_t largest = 0;
    uint32_t i;

    for (i = 0; i < room->workers->len; i++)
        largest = MAX(largest, room_worker(room, i)->size);
    return largest;
}

static uint32_t
largest_rack(const struct room *room)
{
    uint32_t largest = 0;
    uint32_t i;
    uint32_t k;

    for (i = 0; i < room->rack_count; i++) {
        uint32_t sum = 0;

        for (k = rack_start(room, i); k < rack_end(room, i); k++)
            sum += room_worker(room, k)->size;
        largest = MAX(largest, sum);
    }
    return largest;
}

uint32_t
room_pack(struct room *room, const uint32_t *sizes, uint32_t count)
{
    uint32_t *sorted = g_new(uint32_t, MAX(count, 1));
    uint32_t worker_max = largest_worker(room);
    uint32_t rack_max = largest_rack(room);
    uint32_t missing = 0;
    uint32_t i;

    for (i = 0; i < count; i++)
        sorted[i] = sizes[i];
    qsort(sorted, count, sizeof(*sorted), compare_descending);
    for (i = 0; i < count; i++) {
        bool fits;

        if (sorted[i] > rack_max)
            fits = pack_window(room, sorted[i]);
        else if (sorted[i] > worker_max)
            fits = pack_rack(room, sorted[i]);
        else
            fits = pack_small(room, sorted[i]);
        if (!fits)
            missing++;
    }
    g_free(sorted);
    return missing;
}
