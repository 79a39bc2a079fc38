/*
 * Finds a place for a job by preemption: the one whose victims lose the least
 * work. Work that a checkpoint saves is not lost.
 */
#include "policy_internal.h"

#include <math.h>

/* Every victim loses the time of its stop and second start, even if a
   checkpoint saves its work. */
#define RESTART_COST_S 15.0
/* Multiplies the cost of a pinned victim, which is never started again. */
#define PINNED_FACTOR 16.0
/* Maximum number of places that are examined for a job without a guarantee. */
#define CANDIDATES_MAX 16

/* A job is migrated only for one that is at least this many times as large. */
#define MIGRATION_SIZE_RATIO 4

static bool
may_migrate(const cs_sched_job *job, const cs_sched_job *victim)
{
    return victim->request.checkpoint &&
           victim->request.tier <= job->request.tier &&
           victim->request.accelerators * MIGRATION_SIZE_RATIO <=
               job->request.accelerators;
}

/* Returns whether the job may use accelerators of the victim. One that is
   being stopped already costs nothing more. */
static bool
may_preempt(const cs_sched *sched, const cs_sched_job *job,
            const cs_sched_job *victim)
{
    if (victim->state == JOB_STOPPING)
        return true;
    if (sched->migrating)
        return may_migrate(job, victim);
    if (victim->request.pinned && job->request.tier != CS_TIER_GUARANTEED)
        return false;
    return job->request.tier > victim->request.tier &&
           victim->request.tier != CS_TIER_GUARANTEED;
}

double
preemption_cost(const cs_sched_job *victim, int64_t now_us)
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

/* Returns the cost of preempting the users of the accelerators in mask, or
   INFINITY if one of them may not be preempted. Each victim counts once in a
   search; the caller begins one by incrementing search_mark. */
static double
block_cost(cs_sched *sched, const cs_sched_job *job, uint32_t index,
           uint64_t mask, int64_t now_us)
{
    const struct worker *worker = topology_worker(&sched->topology, index);
    double cost = 0;
    guint i;

    if (!worker->usable || (worker->claimed_mask & mask))
        return INFINITY;
    for (i = 0; i < worker->allocations->len && (worker->used_mask & mask);
         i++) {
        cs_sched_job *victim = worker_allocation(worker, i)->job;

        if (!(worker_allocation(worker, i)->mask & mask))
            continue;
        if (!may_preempt(sched, job, victim))
            return INFINITY;
        if (victim->search_mark == sched->search_mark)
            continue;
        victim->search_mark = sched->search_mark;
        cost += preemption_cost(victim, now_us);
    }
    return cost;
}

/* A place for the job: a block of one worker, or workers of some racks. */
struct candidate {
    double cost;
    uint32_t first; /* the worker if mask is set, else the first rack */
    uint32_t last;  /* the last rack */
    uint64_t mask;  /* accelerators of the worker; 0 for a place in racks */
};

static gint
compare_candidates(gconstpointer a, gconstpointer b)
{
    const struct candidate *left = a;
    const struct candidate *right = b;

    if (left->cost != right->cost)
        return left->cost < right->cost ? -1 : 1;
    return left->first < right->first ? -1 : left->first > right->first;
}

static void
add_candidate(GArray *candidates, double cost, uint32_t first, uint32_t last,
              uint64_t mask)
{
    struct candidate candidate = {cost, first, last, mask};

    if (isfinite(cost))
        g_array_append_val(candidates, candidate);
}

/* Adds the cheapest aligned block of each worker. */
static void
add_worker_candidates(GArray *candidates, cs_sched *sched,
                      const cs_sched_job *job, int64_t now_us)
{
    uint32_t size = job->request.accelerators;
    uint32_t alignment = UINT32_C(1) << block_order(size);
    const struct topology *topology = &sched->topology;
    uint32_t i;
    uint32_t offset;

    for (i = 0; i < topology->workers->len; i++) {
        const struct worker *worker = topology_worker(topology, i);
        struct candidate best = {INFINITY, i, i, 0};

        for (offset = 0;
             worker->usable && offset + size <= worker->accelerators;
             offset += alignment) {
            uint64_t mask = low_bits(size) << offset;
            double cost;

            sched->search_mark++;
            cost = block_cost(sched, job, i, mask, now_us);
            if (cost < best.cost) {
                best.cost = cost;
                best.mask = mask;
            }
        }
        add_candidate(candidates, best.cost, i, i, best.mask);
    }
}

struct worker_cost {
    uint32_t worker;
    double cost;
};

static gint
compare_worker_costs(gconstpointer a, gconstpointer b)
{
    const struct worker_cost *left = a;
    const struct worker_cost *right = b;

    if (left->cost != right->cost)
        return left->cost < right->cost ? -1 : 1;
    return left->worker < right->worker ? -1 : left->worker > right->worker;
}

/* Lists the workers of a rack that can be taken entirely, cheapest first. */
static GArray *
rank_workers(cs_sched *sched, const cs_sched_job *job, uint32_t rack_index,
             int64_t now_us)
{
    const struct topology *topology = &sched->topology;
    const struct rack *rack = topology_rack(topology, rack_index);
    GArray *ranked = g_array_new(FALSE, FALSE, sizeof(struct worker_cost));
    guint i;

    for (i = 0; i < rack->workers->len; i++) {
        struct worker_cost entry = {g_array_index(rack->workers, uint32_t, i),
                                    0};
        const struct worker *worker = topology_worker(topology, entry.worker);

        if (worker->accelerators == 0)
            continue;
        sched->search_mark++;
        entry.cost =
            block_cost(sched, job, entry.worker, worker->all_mask, now_us);
        if (isfinite(entry.cost))
            g_array_append_val(ranked, entry);
    }
    g_array_sort(ranked, compare_worker_costs);
    return ranked;
}

/* Takes the cheapest workers of a rack. Returns what is still missing. */
static uint32_t
take_cheapest(GArray *members, cs_sched *sched, const cs_sched_job *job,
              uint32_t rack_index, uint32_t size, int64_t now_us)
{
    GArray *ranked = rank_workers(sched, job, rack_index, now_us);
    guint i;

    for (i = 0; i < ranked->len && size > 0; i++) {
        uint32_t index = g_array_index(ranked, struct worker_cost, i).worker;
        const struct worker *worker = topology_worker(&sched->topology, index);
        cs_sched_member member = {index,
                                  low_bits(MIN(size, worker->accelerators))};

        g_array_append_val(members, member);
        size -= MIN(size, worker->accelerators);
    }
    g_array_free(ranked, TRUE);
    return size;
}

static double
members_cost(cs_sched *sched, const cs_sched_job *job, const GArray *members,
             int64_t now_us)
{
    double cost = 0;
    guint i;

    sched->search_mark++;
    for (i = 0; i < members->len; i++) {
        const cs_sched_member *member =
            &g_array_index(members, cs_sched_member, i);

        cost += block_cost(sched, job, member->worker, member->mask, now_us);
    }
    return cost;
}

/* Returns the accelerators of a rack on workers that can be taken entirely. */
static uint32_t
obtainable_accelerators(cs_sched *sched, const cs_sched_job *job,
                        uint32_t rack_index, int64_t now_us)
{
    GArray *ranked = rank_workers(sched, job, rack_index, now_us);
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

/* Adds the cheapest workers of each rack that is large enough. */
static void
add_rack_candidates(GArray *candidates, cs_sched *sched,
                    const cs_sched_job *job, int64_t now_us)
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
            add_candidate(candidates,
                          members_cost(sched, job, members, now_us), i, i, 0);
    }
    g_array_free(members, TRUE);
}

/* Adds the shortest run of racks that can hold the job. It is the only
   candidate, so its cost does not matter. */
static void
add_window_candidate(GArray *candidates, cs_sched *sched,
                     const cs_sched_job *job, int64_t now_us)
{
    uint32_t count = sched->topology.racks->len;
    uint32_t *obtainable = g_new(uint32_t, count);
    uint32_t first = 0;
    uint32_t last = 0;
    uint32_t i;

    for (i = 0; i < count; i++)
        obtainable[i] = obtainable_accelerators(sched, job, i, now_us);
    if (rack_window_find(&first, &last, obtainable, count,
                         job->request.accelerators))
        add_candidate(candidates, 0, first, last, 0);
    g_free(obtainable);
}

static void
build_members(GArray *members, cs_sched *sched, const cs_sched_job *job,
              const struct candidate *candidate, int64_t now_us)
{
    uint32_t size = job->request.accelerators;
    uint32_t rack;

    g_array_set_size(members, 0);
    if (candidate->mask) {
        cs_sched_member member = {candidate->first, candidate->mask};

        g_array_append_val(members, member);
        return;
    }
    for (rack = candidate->first; rack <= candidate->last; rack++)
        size = take_cheapest(members, sched, job, rack, size, now_us);
}

bool
preemption_find(GArray *members, cs_sched *sched, const cs_sched_job *job,
                int64_t now_us)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    bool guaranteed = job->request.tier == CS_TIER_GUARANTEED;
    bool found = false;
    guint i;

    if (job->request.accelerators <= sched->topology.worker_max)
        add_worker_candidates(candidates, sched, job, now_us);
    else if (job->request.accelerators <= sched->topology.rack_max)
        add_rack_candidates(candidates, sched, job, now_us);
    else
        add_window_candidate(candidates, sched, job, now_us);
    g_array_sort(candidates, compare_candidates);
    for (i = 0; i < candidates->len && !found; i++) {
        const struct candidate *candidate =
            &g_array_index(candidates, struct candidate, i);

        if (!guaranteed && i >= CANDIDATES_MAX)
            break;
        build_members(members, sched, job, candidate, now_us);
        found = !guaranteed || guarantee_allows_placement(sched, members);
    }
    g_array_free(candidates, TRUE);
    return found;
}
