/*
 * Dominant resource fairness between organisations. Load: a few organisations
 * submit most of the jobs, or one submits a burst.
 */
#include "corianderstair/shares.h"
#include "corianderstair/fleet_config.h"

#include <math.h>
#include <string.h>

/* An organisation with less than this average share of the fleet does not
   count as using it: 15 of the 15,000 workers of the design size. */
#define USING_MIN 0.001

struct cs_shares {
    GHashTable *by_name; /* to cs_share; owned by the list */
    GPtrArray *list;     /* of cs_share */
};

cs_shares *
cs_shares_create(void)
{
    cs_shares *shares = g_new0(cs_shares, 1);

    shares->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    shares->list = g_ptr_array_new_with_free_func(g_free);
    return shares;
}

void
cs_shares_destroy(cs_shares *shares)
{
    if (!shares)
        return;
    g_hash_table_destroy(shares->by_name);
    g_ptr_array_free(shares->list, TRUE);
    g_free(shares);
}

cs_share *
cs_shares_get(cs_shares *shares, const char *name)
{
    cs_share *share = g_hash_table_lookup(shares->by_name, name);

    if (share)
        return share;
    share = g_new0(cs_share, 1);
    g_strlcpy(share->name, name, sizeof(share->name));
    share->weight = 1;
    share->configured = !*name;
    g_hash_table_insert(shares->by_name, share->name, share);
    g_ptr_array_add(shares->list, share);
    return share;
}

uint32_t
cs_shares_count(const cs_shares *shares)
{
    return shares->list->len;
}

cs_share *
cs_shares_at(const cs_shares *shares, uint32_t index)
{
    return g_ptr_array_index(shares->list, index);
}

static bool
is_used(const cs_share *share)
{
    return share->used.cpu_milli > 0 || share->used.memory_mb > 0 ||
           share->used.accelerators > 0;
}

static void
drop_unused(cs_shares *shares)
{
    guint i = shares->list->len;

    while (i-- > 0) {
        const cs_share *share = cs_shares_at(shares, i);

        if (share->configured || is_used(share))
            continue;
        g_hash_table_remove(shares->by_name, share->name);
        g_ptr_array_remove_index_fast(shares->list, i);
    }
}

void
cs_shares_configure(cs_shares *shares, const GArray *organisations)
{
    guint i;

    for (i = 0; i < shares->list->len; i++) {
        cs_share *share = cs_shares_at(shares, i);

        share->configured = !share->name[0];
    }
    for (i = 0; i < organisations->len; i++) {
        const cs_organisation_config *organisation =
            &g_array_index(organisations, cs_organisation_config, i);
        cs_share *share = cs_shares_get(shares, organisation->name);

        share->configured = true;
    }
    for (i = 0; i < shares->list->len; i++) {
        cs_share *share = cs_shares_at(shares, i);

        if (share->configured)
            continue;
        share->mean = 0;
        share->over = false;
    }
    drop_unused(shares);
}

static double
fraction(int64_t used, int64_t capacity)
{
    if (capacity <= 0)
        return 0;
    return CLAMP((double)used / (double)capacity, 0.0, 1.0);
}

double
cs_shares_dominant(const cs_demand *used, const cs_demand *capacity)
{
    double share = fraction(used->accelerators, capacity->accelerators);

    share = MAX(share, fraction(used->cpu_milli, capacity->cpu_milli));
    return MAX(share, fraction(used->memory_mb, capacity->memory_mb));
}

static void
average(cs_shares *shares, const cs_demand *capacity, double weight)
{
    guint i;

    for (i = 0; i < shares->list->len; i++) {
        cs_share *share = cs_shares_at(shares, i);

        share->mean +=
            (cs_shares_dominant(&share->used, capacity) - share->mean) *
            weight;
    }
}

void
cs_shares_advance(cs_shares *shares, const cs_demand *capacity, double seconds)
{
    drop_unused(shares);
    average(shares, capacity,
            1.0 - exp(-MAX(seconds, 0) / CS_SHARES_AVERAGING_S));
}

void
cs_shares_start(cs_shares *shares, const cs_demand *capacity)
{
    average(shares, capacity, 1.0);
}

static double
relative_share(const cs_share *share)
{
    return share->mean / share->weight;
}

void
cs_shares_compute_steps(cs_shares *shares)
{
    double lowest = INFINITY;
    guint i;

    for (i = 0; i < shares->list->len; i++) {
        const cs_share *share = cs_shares_at(shares, i);

        if (share->waiting)
            lowest = MIN(lowest, relative_share(share));
    }
    for (i = 0; i < shares->list->len; i++) {
        cs_share *share = cs_shares_at(shares, i);

        share->step = 0;
        if (share->waiting)
            share->step = (uint32_t)((relative_share(share) - lowest) /
                                     CS_SHARES_QUANTUM);
    }
}

double
cs_shares_fair(const cs_shares *shares)
{
    double weights = 0;
    guint i;

    for (i = 0; i < shares->list->len; i++) {
        const cs_share *share = cs_shares_at(shares, i);

        if (share->mean >= USING_MIN)
            weights += share->weight;
    }
    return weights > 0 ? 1.0 / weights : 1.0;
}

bool
cs_shares_update_over(cs_share *share, double share_of_weight)
{
    double excess = relative_share(share) - share_of_weight;
    bool over = share->over ? excess > 0 : excess >= CS_SHARES_QUANTUM;

    if (over == share->over)
        return false;
    share->over = over;
    return true;
}

int
cs_share_rank_compare(const cs_share_rank *first, const cs_share_rank *second)
{
    /* Steps that still meet their objective first, of all organisations:
       share before objective let fewer jobs count (docs/design/shares.md). */
    if (first->misses_objective != second->misses_objective)
        return first->misses_objective ? 1 : -1;
    if (first->share_step != second->share_step)
        return first->share_step < second->share_step ? -1 : 1;
    if (first->zone_step != second->zone_step)
        return first->zone_step < second->zone_step ? -1 : 1;
    return 0;
}
