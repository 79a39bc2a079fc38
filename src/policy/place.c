/*
 * Where a job goes on free accelerators. A job that fits a worker takes the
 * smallest free block, in the rack with the fewest whole workers left; a
 * larger one takes whole workers of one rack, or of consecutive racks where
 * no rack is large enough.
 */
#include "policy_internal.h"

static bool
may_use(const struct worker *w, int64_t end_us)
{
    return w->reserved_us == 0 || end_us <= w->reserved_us;
}

static void
add_member(GArray *members, uint32_t worker, uint64_t mask)
{
    cs_sched_member member = {worker, mask};

    g_array_append_val(members, member);
}

/* The fullest worker of a rack whose largest free block has this order. */
static uint32_t
pick_worker(const struct topology *t, const struct rack *r, int8_t order,
            uint32_t n, int64_t end_us, bool *blocked)
{
    uint32_t best = NO_WORKER;
    int best_free = 65;
    guint i;

    for (i = 0; i < r->workers->len; i++) {
        uint32_t index = g_array_index(r->workers, uint32_t, i);
        const struct worker *w = topology_worker(t, index);
        int free;

        if (w->order != order || w->accelerators < n)
            continue;
        if (!may_use(w, end_us)) {
            *blocked = true;
            continue;
        }
        free = __builtin_popcountll(worker_free(w));
        if (free < best_free) {
            best = index;
            best_free = free;
        }
    }
    return best;
}

static uint32_t
find_small_worker(const struct topology *t, uint32_t n, int64_t end_us,
                  bool *blocked)
{
    uint32_t order;

    for (order = order_for(n); order < ORDER_COUNT; order++) {
        uint32_t best = NO_WORKER;
        uint32_t best_whole = UINT32_MAX;
        guint i;

        for (i = 0; i < t->racks->len; i++) {
            const struct rack *r = topology_rack(t, i);
            uint32_t worker;

            if (r->orders[order] == 0 || r->whole >= best_whole)
                continue;
            worker = pick_worker(t, r, (int8_t)order, n, end_us, blocked);
            if (worker == NO_WORKER)
                continue;
            best = worker;
            best_whole = r->whole;
        }
        if (best != NO_WORKER)
            return best;
    }
    return NO_WORKER;
}

static bool
place_small(placement *out, const struct topology *t, uint32_t n,
            int64_t end_us)
{
    uint32_t index = find_small_worker(t, n, end_us, &out->blocked);
    const struct worker *w;
    uint64_t mask;

    if (index == NO_WORKER)
        return false;
    w = topology_worker(t, index);
    mask = block_find(w, worker_free(w), n);
    if (!mask)
        return false;
    add_member(out->members, index, mask);
    return true;
}

/* Accelerators on whole workers of a rack that a job may use. */
static uint32_t
usable_whole(const struct topology *t, const struct rack *r, int64_t end_us,
             bool *blocked)
{
    uint32_t sum = r->whole_accelerators;
    guint i;

    if (r->reserved == 0)
        return sum;
    for (i = 0; i < r->workers->len; i++) {
        const struct worker *w =
            topology_worker(t, g_array_index(r->workers, uint32_t, i));

        if (w->whole && !may_use(w, end_us)) {
            *blocked = true;
            sum -= w->accelerators;
        }
    }
    return sum;
}

static uint32_t
take_rack(GArray *members, const struct topology *t, const struct rack *r,
          uint32_t n, int64_t end_us)
{
    guint i;

    for (i = 0; i < r->workers->len && n > 0; i++) {
        uint32_t index = g_array_index(r->workers, uint32_t, i);
        const struct worker *w = topology_worker(t, index);
        uint32_t part = MIN(n, w->accelerators);

        if (!w->whole || !may_use(w, end_us))
            continue;
        add_member(members, index, low_bits(part));
        n -= part;
    }
    return n;
}

bool
window_find(uint32_t *first, uint32_t *last, const uint32_t *sums,
            uint32_t count, uint32_t n)
{
    uint32_t best = UINT32_MAX;
    uint64_t best_sum = UINT64_MAX;
    uint64_t sum = 0;
    uint32_t left = 0;
    uint32_t right;

    for (right = 0; right < count; right++) {
        sum += sums[right];
        while (sum - sums[left] >= n && left < right)
            sum -= sums[left++];
        if (sum < n)
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
place_window(placement *out, const struct topology *t, uint32_t n,
             int64_t end_us)
{
    uint32_t *sums = g_new(uint32_t, t->racks->len);
    uint32_t first = 0;
    uint32_t last = 0;
    uint32_t i;
    bool found;

    for (i = 0; i < t->racks->len; i++)
        sums[i] = usable_whole(t, topology_rack(t, i), end_us, &out->blocked);
    found = window_find(&first, &last, sums, t->racks->len, n);
    for (i = first; found && i <= last; i++)
        n = take_rack(out->members, t, topology_rack(t, i), n, end_us);
    g_free(sums);
    return found;
}

static bool
place_gang(placement *out, const struct topology *t, uint32_t n,
           int64_t end_us)
{
    const struct rack *best = NULL;
    uint32_t best_sum = UINT32_MAX;
    guint i;

    if (n > t->rack_max)
        return place_window(out, t, n, end_us);
    for (i = 0; i < t->racks->len; i++) {
        const struct rack *r = topology_rack(t, i);
        uint32_t sum;

        if (r->whole_accelerators < n)
            continue;
        sum = usable_whole(t, r, end_us, &out->blocked);
        if (sum >= n && sum < best_sum) {
            best = r;
            best_sum = sum;
        }
    }
    if (!best)
        return false;
    take_rack(out->members, t, best, n, end_us);
    return true;
}

bool
place_find(placement *out, const struct topology *t, uint32_t n,
           int64_t end_us)
{
    if (n <= t->worker_max)
        return place_small(out, t, n, end_us);
    return place_gang(out, t, n, end_us);
}

static bool
first_fit_small(placement *out, const struct topology *t, uint32_t n)
{
    guint i;

    for (i = 0; i < t->workers->len; i++) {
        const struct worker *w = topology_worker(t, i);
        uint64_t mask = block_find(w, worker_free(w), n);

        if (mask) {
            add_member(out->members, i, mask);
            return true;
        }
    }
    return false;
}

/* The baseline: the first place that fits, in the order of the floor. */
bool
place_first_fit(placement *out, const struct topology *t, uint32_t n)
{
    guint i;

    if (n <= t->worker_max)
        return first_fit_small(out, t, n);
    if (n > t->rack_max)
        return place_window(out, t, n, 0);
    for (i = 0; i < t->racks->len; i++) {
        const struct rack *r = topology_rack(t, i);

        if (r->whole_accelerators < n)
            continue;
        take_rack(out->members, t, r, n, 0);
        return true;
    }
    return false;
}
