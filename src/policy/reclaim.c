/*
 * Where a job goes by stopping others: the place that loses the least work.
 * Work kept by a checkpoint is not lost.
 */
#include "policy_internal.h"

#include <math.h>

/* A checkpointed job still pays for its stop and second start. */
#define RESTART_COST_S 15.0
/* A pinned job is lost for good. */
#define PINNED_FACTOR 16.0
#define CANDIDATES_MAX 16

/* Only jobs much smaller than the one they make room for are moved. */
#define MOVE_PART 4

static bool
may_move(const cs_sched_job *job, const cs_sched_job *victim)
{
    return victim->request.checkpoint &&
           victim->request.tier <= job->request.tier &&
           victim->request.accelerators * MOVE_PART <=
               job->request.accelerators;
}

static bool
may_preempt(const cs_sched *sched, const cs_sched_job *job,
            const cs_sched_job *victim)
{
    if (victim->state == JOB_STOPPING)
        return true;
    if (sched->moving)
        return may_move(job, victim);
    if (victim->request.pinned && job->request.tier != CS_TIER_GUARANTEED)
        return false;
    return job->request.tier > victim->request.tier &&
           victim->request.tier != CS_TIER_GUARANTEED;
}

double
reclaim_cost(const cs_sched_job *victim, int64_t now_us)
{
    static const double tier_factor[TIER_COUNT] = {1.0, 2.0, 8.0, 64.0};
    double lost_s = RESTART_COST_S;

    if (victim->state == JOB_STOPPING)
        return 0;
    if (!victim->request.checkpoint)
        lost_s += (double)(now_us - victim->started_us) / 1e6;
    if (victim->request.pinned)
        lost_s *= PINNED_FACTOR;
    return lost_s * victim->request.accelerators *
           tier_factor[victim->request.tier];
}

/* Cost of the accelerators in mask; INFINITY where they cannot be had. */
static double
block_cost(cs_sched *sched, const cs_sched_job *job, uint32_t index,
           uint64_t mask, int64_t now_us)
{
    const struct worker *w = topology_worker(&sched->topology, index);
    double cost = 0;
    guint i;

    if (!w->usable || (w->claimed & mask))
        return INFINITY;
    for (i = 0; i < w->tenants->len && (w->used & mask); i++) {
        cs_sched_job *victim = worker_tenant(w, i)->job;

        if (!(worker_tenant(w, i)->mask & mask))
            continue;
        if (!may_preempt(sched, job, victim))
            return INFINITY;
        if (victim->mark == sched->mark)
            continue;
        victim->mark = sched->mark;
        cost += reclaim_cost(victim, now_us);
    }
    return cost;
}

struct candidate {
    double cost;
    uint32_t first; /* worker, or first rack */
    uint32_t last;  /* last rack */
    uint64_t mask;
};

static gint
compare_candidates(gconstpointer a, gconstpointer b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;

    if (x->cost != y->cost)
        return x->cost < y->cost ? -1 : 1;
    return x->first < y->first ? -1 : x->first > y->first;
}

static void
add_candidate(GArray *list, double cost, uint32_t first, uint32_t last,
              uint64_t mask)
{
    struct candidate candidate = {cost, first, last, mask};

    if (isfinite(cost))
        g_array_append_val(list, candidate);
}

static void
small_candidates(GArray *list, cs_sched *sched, const cs_sched_job *job,
                 int64_t now_us)
{
    uint32_t n = job->request.accelerators;
    uint32_t step = UINT32_C(1) << order_for(n);
    const struct topology *t = &sched->topology;
    uint32_t i;
    uint32_t at;

    for (i = 0; i < t->workers->len; i++) {
        const struct worker *w = topology_worker(t, i);
        struct candidate best = {INFINITY, i, i, 0};

        for (at = 0; w->usable && at + n <= w->accelerators; at += step) {
            uint64_t mask = low_bits(n) << at;
            double cost;

            sched->mark++;
            cost = block_cost(sched, job, i, mask, now_us);
            if (cost < best.cost) {
                best.cost = cost;
                best.mask = mask;
            }
        }
        add_candidate(list, best.cost, i, i, best.mask);
    }
}

struct worker_cost {
    uint32_t worker;
    double cost;
};

static gint
compare_worker_costs(gconstpointer a, gconstpointer b)
{
    const struct worker_cost *x = a;
    const struct worker_cost *y = b;

    if (x->cost != y->cost)
        return x->cost < y->cost ? -1 : 1;
    return x->worker < y->worker ? -1 : x->worker > y->worker;
}

/* Workers of a rack that can be had whole, cheapest first. */
static GArray *
rank_workers(cs_sched *sched, const cs_sched_job *job, uint32_t rack,
             int64_t now_us)
{
    const struct topology *t = &sched->topology;
    const struct rack *r = topology_rack(t, rack);
    GArray *ranked = g_array_new(FALSE, FALSE, sizeof(struct worker_cost));
    guint i;

    for (i = 0; i < r->workers->len; i++) {
        struct worker_cost entry = {g_array_index(r->workers, uint32_t, i), 0};
        const struct worker *w = topology_worker(t, entry.worker);

        if (w->accelerators == 0)
            continue;
        sched->mark++;
        entry.cost = block_cost(sched, job, entry.worker, w->all, now_us);
        if (isfinite(entry.cost))
            g_array_append_val(ranked, entry);
    }
    g_array_sort(ranked, compare_worker_costs);
    return ranked;
}

/* Takes the cheapest workers of a rack. Returns what is still missing. */
static uint32_t
take_cheapest(GArray *members, cs_sched *sched, const cs_sched_job *job,
              uint32_t rack, uint32_t n, int64_t now_us)
{
    GArray *ranked = rank_workers(sched, job, rack, now_us);
    guint i;

    for (i = 0; i < ranked->len && n > 0; i++) {
        uint32_t index = g_array_index(ranked, struct worker_cost, i).worker;
        const struct worker *w = topology_worker(&sched->topology, index);
        cs_sched_member member = {index, low_bits(MIN(n, w->accelerators))};

        g_array_append_val(members, member);
        n -= MIN(n, w->accelerators);
    }
    g_array_free(ranked, TRUE);
    return n;
}

static double
members_cost(cs_sched *sched, const cs_sched_job *job, const GArray *members,
             int64_t now_us)
{
    double cost = 0;
    guint i;

    sched->mark++;
    for (i = 0; i < members->len; i++) {
        const cs_sched_member *m = &g_array_index(members, cs_sched_member, i);

        cost += block_cost(sched, job, m->worker, m->mask, now_us);
    }
    return cost;
}

static uint32_t
obtainable(cs_sched *sched, const cs_sched_job *job, uint32_t rack,
           int64_t now_us)
{
    GArray *ranked = rank_workers(sched, job, rack, now_us);
    uint32_t sum = 0;
    guint i;

    for (i = 0; i < ranked->len; i++)
        sum += topology_worker(
                   &sched->topology,
                   g_array_index(ranked, struct worker_cost, i).worker)
                   ->accelerators;
    g_array_free(ranked, TRUE);
    return sum;
}

static void
rack_candidates(GArray *list, cs_sched *sched, const cs_sched_job *job,
                int64_t now_us)
{
    GArray *members = g_array_new(FALSE, FALSE, sizeof(cs_sched_member));
    uint32_t i;

    for (i = 0; i < sched->topology.racks->len; i++) {
        if (topology_rack(&sched->topology, i)->accelerators <
            job->request.accelerators)
            continue;
        g_array_set_size(members, 0);
        if (take_cheapest(members, sched, job, i, job->request.accelerators,
                          now_us) == 0)
            add_candidate(list, members_cost(sched, job, members, now_us), i,
                          i, 0);
    }
    g_array_free(members, TRUE);
}

static void
window_candidate(GArray *list, cs_sched *sched, const cs_sched_job *job,
                 int64_t now_us)
{
    uint32_t count = sched->topology.racks->len;
    uint32_t *sums = g_new(uint32_t, count);
    uint32_t first = 0;
    uint32_t last = 0;
    uint32_t i;

    for (i = 0; i < count; i++)
        sums[i] = obtainable(sched, job, i, now_us);
    if (window_find(&first, &last, sums, count, job->request.accelerators))
        add_candidate(list, 0, first, last, 0);
    g_free(sums);
}

static void
build_members(GArray *members, cs_sched *sched, const cs_sched_job *job,
              const struct candidate *candidate, int64_t now_us)
{
    uint32_t n = job->request.accelerators;
    uint32_t rack;

    g_array_set_size(members, 0);
    if (candidate->mask) {
        cs_sched_member member = {candidate->first, candidate->mask};

        g_array_append_val(members, member);
        return;
    }
    for (rack = candidate->first; rack <= candidate->last; rack++)
        n = take_cheapest(members, sched, job, rack, n, now_us);
}

bool
reclaim_find(GArray *members, cs_sched *sched, const cs_sched_job *job,
             int64_t now_us)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    bool guaranteed = job->request.tier == CS_TIER_GUARANTEED;
    bool found = false;
    guint i;

    if (job->request.accelerators <= sched->topology.worker_max)
        small_candidates(list, sched, job, now_us);
    else if (job->request.accelerators <= sched->topology.rack_max)
        rack_candidates(list, sched, job, now_us);
    else
        window_candidate(list, sched, job, now_us);
    g_array_sort(list, compare_candidates);
    for (i = 0; i < list->len && !found; i++) {
        const struct candidate *candidate =
            &g_array_index(list, struct candidate, i);

        if (!guaranteed && i >= CANDIDATES_MAX)
            break;
        build_members(members, sched, job, candidate, now_us);
        found = !guaranteed || guarantee_is_safe(sched, members);
    }
    g_array_free(list, TRUE);
    return found;
}
