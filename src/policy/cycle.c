/*
 * One scheduling cycle. It starts jobs in the order of their tiers:
 * guaranteed, urgent, normal, opportunistic. Jobs of the last two tiers are
 * ordered by fair share and expected run time. One normal gang that has waited
 * long holds a reservation, which other jobs are backfilled around.
 */
#include "selector.h"
#include "sched_internal.h"

/* A gang may hold the reservation after it has waited for twice its expected
   run time, but at least this long and at most wait_bound_us. */
#define RESERVATION_WAIT_MIN_US (60 * INT64_C(1000000))
/* Minimum time between two searches for a job to suspend, and between two
   searches for a reservation, since each one visits the whole cell. */
#define SUSPEND_INTERVAL_US (INT64_C(200) * 1000)
#define RESERVATION_INTERVAL_US (INT64_C(1000) * 1000)
/* A normal job preempts opportunistic ones after this wait. */
#define PREEMPTION_WAIT_US (INT64_C(3) * 1000000)
/* How many guaranteed, and how many urgent, jobs a cycle tries to place. */
#define TIER_ATTEMPTS_MAX 64
/* The gain of a migration must be at least this many times its cost. */
#define MIGRATION_GAIN_MIN 2.0

struct cycle {
    cs_sched *sched;
    int64_t now_us;
    uint32_t max_decisions;
    /* Jobs of this many accelerators or more do not fit anywhere. */
    uint32_t smallest_unplaceable;
    GArray *members; /* of cs_sched_member: the place found last */
};

static void
add_decision(struct cycle *cycle, cs_decision_type type, cs_sched_job *job,
             cs_sched_job *beneficiary, int64_t deadline_us)
{
    cs_decision *decision = g_new0(cs_decision, 1);

    decision->type = type;
    decision->job = job;
    decision->beneficiary = beneficiary;
    decision->deadline_us = deadline_us;
    g_queue_push_tail(&cycle->sched->pending_decisions, decision);
}

static bool
decisions_full(const struct cycle *cycle)
{
    return cycle->sched->pending_decisions.length >= cycle->max_decisions;
}

static void
start_job(struct cycle *cycle, cs_sched_job *job, const GArray *members)
{
    if (job->state == JOB_QUEUED)
        queue_remove(cycle->sched, job);
    sched_start(cycle->sched, job, members, cycle->now_us);
    add_decision(cycle, CS_DECIDE_START, job, NULL, 0);
}

static bool
members_are_free(const cs_sched *sched, const cs_sched_job *job)
{
    uint32_t i;

    for (i = 0; i < job->member_count; i++) {
        const struct worker *worker =
            topology_worker(&sched->topology, job->members[i].worker);

        if (worker->used_mask & job->members[i].mask)
            return false;
    }
    return true;
}

static bool
has_unusable_worker(const cs_sched *sched, const cs_sched_job *job)
{
    uint32_t i;

    for (i = 0; i < job->member_count; i++) {
        if (!topology_worker(&sched->topology, job->members[i].worker)->usable)
            return true;
    }
    return false;
}

/* Starts the claiming jobs whose victims have all stopped. A job that claims
   a worker which has become unusable is queued again. */
static void
start_ready_claims(struct cycle *cycle)
{
    cs_sched *sched = cycle->sched;
    GList *link = sched->claiming_jobs.head;

    while (link && !decisions_full(cycle)) {
        cs_sched_job *job = link->data;
        GList *next = link->next;

        if (has_unusable_worker(sched, job)) {
            sched_unclaim(sched, job);
            queue_push(sched, job);
        }
        else if (members_are_free(sched, job)) {
            g_queue_delete_link(&sched->claiming_jobs, link);
            start_job(cycle, job, NULL);
        }
        link = next;
    }
}

/* Finds free accelerators and stores them in cycle->members. end_us is when
   the job is expected to end; INT64_MIN ignores the reservation. */
static bool
find_free_place(struct cycle *cycle, const cs_sched_job *job, int64_t end_us,
                bool *blocked)
{
    placement out = {cycle->members, false};
    bool found;

    g_array_set_size(cycle->members, 0);
    switch (cycle->sched->settings.policy) {
    case CS_POLICY_BASELINE:
        found = place_first_fit(&out, &cycle->sched->topology,
                                job->request.accelerators);
        break;
    case CS_POLICY_CURRENT:
    default:
        health_exclude_suspects(cycle->sched, job, true);
        found = place_best_fit(&out, &cycle->sched->topology,
                               job->request.accelerators, end_us);
        health_exclude_suspects(cycle->sched, job, false);
        break;
    }
    *blocked = out.blocked_by_reservation;
    return found;
}

/* Stops all jobs that use accelerators which the job has claimed. */
static void
preempt_victims(struct cycle *cycle, cs_sched_job *job)
{
    cs_sched *sched = cycle->sched;
    int64_t deadline_us = cycle->now_us + sched->settings.grace_us;
    uint32_t i;
    guint k;

    for (i = 0; i < job->member_count; i++) {
        const cs_sched_member *member = &job->members[i];
        struct worker *worker =
            topology_worker(&sched->topology, member->worker);

        for (k = 0; k < worker->allocations->len; k++) {
            cs_sched_job *victim = worker_allocation(worker, k)->job;

            if (victim->state != JOB_STARTED ||
                !(worker_allocation(worker, k)->mask & member->mask))
                continue;
            victim->state = JOB_STOPPING;
            victim->stop_deadline_us = deadline_us;
            add_decision(cycle, CS_DECIDE_PREEMPT, victim, job, deadline_us);
        }
    }
}

/* Claims cycle->members for the job and preempts the jobs that use them. */
static void
claim_place(struct cycle *cycle, cs_sched_job *job)
{
    queue_remove(cycle->sched, job);
    if (cycle->sched->reserved_job == job)
        reservation_clear(cycle->sched);
    sched_claim(cycle->sched, job, cycle->members);
    preempt_victims(cycle, job);
}

static bool
claim_by_preemption(struct cycle *cycle, cs_sched_job *job)
{
    bool found;

    g_array_set_size(cycle->members, 0);
    health_exclude_suspects(cycle->sched, job, true);
    found = preemption_find(cycle->members, cycle->sched, job, cycle->now_us);
    health_exclude_suspects(cycle->sched, job, false);
    if (!found)
        return false;
    claim_place(cycle, job);
    return true;
}

static void
try_guaranteed(struct cycle *cycle, cs_sched_job *job)
{
    bool blocked;

    if (!guarantee_claim(cycle->sched, job)) {
        job->wait = WAIT_GUARANTEE_IN_USE;
        return;
    }
    /* A reservation never delays a guaranteed claim. */
    if (find_free_place(cycle, job, INT64_MIN, &blocked) &&
        guarantee_allows_placement(cycle->sched, cycle->members)) {
        start_job(cycle, job, cycle->members);
        return;
    }
    if (claim_by_preemption(cycle, job))
        return;
    guarantee_release(cycle->sched, job);
    job->wait = WAIT_NO_SPACE;
}

static void
try_urgent(struct cycle *cycle, cs_sched_job *job)
{
    bool blocked;

    /* A job of this size or smaller has found no place in this cycle. */
    if (job->request.accelerators >= cycle->smallest_unplaceable) {
        job->wait = WAIT_NO_SPACE;
        return;
    }
    if (find_free_place(cycle, job, INT64_MIN, &blocked)) {
        start_job(cycle, job, cycle->members);
        return;
    }
    if (claim_by_preemption(cycle, job))
        return;
    job->wait = WAIT_NO_SPACE;
    cycle->smallest_unplaceable = job->request.accelerators;
}

/* Visits the jobs of a tier, largest size class first and oldest first within
   a class. */
static void
visit_tier(struct cycle *cycle, cs_tier tier,
           void (*attempt)(struct cycle *, cs_sched_job *))
{
    uint32_t attempts = 0;
    int size_class;

    for (size_class = SIZE_CLASS_COUNT - 1; size_class >= 0; size_class--) {
        GList *link = cycle->sched->jobs_by_age[tier][size_class].head;

        while (link && !decisions_full(cycle) &&
               attempts++ < TIER_ATTEMPTS_MAX) {
            GList *next = link->next;

            attempt(cycle, link->data);
            link = next;
        }
    }
}

static int64_t
expected_end_us(const struct cycle *cycle, const cs_sched_job *job)
{
    return cycle->now_us + job->key.remaining_us;
}

/* Returns whether the job was started; otherwise sets why it waits. */
static bool
try_normal(struct cycle *cycle, cs_sched_job *job)
{
    bool blocked = false;
    int64_t end_us = job == cycle->sched->reserved_job
                         ? INT64_MIN
                         : expected_end_us(cycle, job);

    if (job->request.accelerators >= cycle->smallest_unplaceable) {
        job->wait = WAIT_NO_SPACE;
        return false;
    }
    if (find_free_place(cycle, job, end_us, &blocked)) {
        start_job(cycle, job, cycle->members);
        return true;
    }
    job->wait = blocked ? WAIT_RESERVED : WAIT_NO_SPACE;
    if (!blocked)
        cycle->smallest_unplaceable = job->request.accelerators;
    return false;
}

/* Starts jobs of a tier in the order of fair share. */
static void
run_fair_share(struct cycle *cycle, cs_tier tier)
{
    struct selector selector;
    cs_sched_job *job;

    if (cycle->sched->topology.free_accelerators == 0)
        return;
    selector_init(&selector, cycle->sched, tier, cycle->now_us);
    cycle->smallest_unplaceable = UINT32_MAX;
    while (!decisions_full(cycle) &&
           (job = selector_next(&selector)) != NULL) {
        uint32_t organisation = job->request.organisation;

        if (try_normal(cycle, job))
            selector_job_started(&selector, organisation);
        else
            selector_job_unplaced(&selector, job);
    }
    selector_dispose(&selector);
}

/* Returns the oldest job of the size class or a larger one, or NULL. */
static cs_sched_job *
oldest_from_size_class(const cs_sched *sched, cs_tier tier,
                       uint32_t size_class)
{
    cs_sched_job *best = NULL;

    for (; size_class < SIZE_CLASS_COUNT; size_class++) {
        cs_sched_job *job =
            g_queue_peek_head((GQueue *)&sched->jobs_by_age[tier][size_class]);

        if (job && (!best || job->sequence < best->sequence))
            best = job;
    }
    return best;
}

static cs_sched_job *
oldest_job(const cs_sched *sched, cs_tier tier)
{
    return oldest_from_size_class(sched, tier, 0);
}

/* Returns the oldest normal job that needs most of a worker or more, or NULL.
   A place for it rarely becomes free unless it is reserved. */
static cs_sched_job *
oldest_gang(const cs_sched *sched)
{
    uint32_t min_accelerators = MAX(sched->topology.worker_max, 2);

    return oldest_from_size_class(sched, CS_TIER_NORMAL,
                                  size_class_of(min_accelerators));
}

static int64_t
waited_us(const struct cycle *cycle, const cs_sched_job *job)
{
    return cycle->now_us - job->request.submitted_us;
}

static bool
is_due_for_reservation(const struct cycle *cycle, const cs_sched_job *job)
{
    int64_t bound_us =
        MIN(cycle->sched->settings.wait_bound_us,
            MAX(RESERVATION_WAIT_MIN_US, 2 * job->key.remaining_us));

    return waited_us(cycle, job) >= bound_us;
}

/* Starts the normal jobs that have waited past the bound, oldest first in
   each size class. */
static void
run_past_wait_bound(struct cycle *cycle)
{
    cs_sched *sched = cycle->sched;
    int size_class;

    for (size_class = 0; size_class < SIZE_CLASS_COUNT; size_class++) {
        cs_sched_job *job;

        cycle->smallest_unplaceable = UINT32_MAX;
        while (!decisions_full(cycle) &&
               (job = g_queue_peek_head(
                    &sched->jobs_by_age[CS_TIER_NORMAL][size_class])) !=
                   NULL &&
               waited_us(cycle, job) >= sched->settings.wait_bound_us &&
               try_normal(cycle, job))
            ;
    }
}

/* Stops small checkpointed jobs, which then restart elsewhere, so that the
   reserved job starts earlier, if the gain outweighs the cost. */
static bool
try_migration(struct cycle *cycle, cs_sched_job *job)
{
    cs_sched *sched = cycle->sched;
    double gain = (double)(job->expected_start_us - cycle->now_us) / 1e6 *
                  job->request.accelerators *
                  (double)sched->settings.fragmentation_weight / 50.0;
    double cost = 0;
    bool found;
    guint i;
    guint k;

    /* The victims must find capacity elsewhere. */
    if (job->request.accelerators > sched->topology.free_accelerators)
        return false;
    sched->migrating = true;
    g_array_set_size(cycle->members, 0);
    found = preemption_find(cycle->members, sched, job, cycle->now_us);
    sched->migrating = false;
    if (!found)
        return false;
    sched->search_mark++;
    for (i = 0; i < cycle->members->len; i++) {
        const cs_sched_member *member =
            &g_array_index(cycle->members, cs_sched_member, i);
        const struct worker *worker =
            topology_worker(&sched->topology, member->worker);

        for (k = 0; k < worker->allocations->len; k++) {
            cs_sched_job *victim = worker_allocation(worker, k)->job;

            if (victim->search_mark == sched->search_mark)
                continue;
            victim->search_mark = sched->search_mark;
            cost += preemption_cost(victim, cycle->now_us);
        }
    }
    if (cost * MIGRATION_GAIN_MIN > gain)
        return false;
    claim_place(cycle, job);
    return true;
}

/* Makes or renews the reservation for the gang that has waited longest. */
static void
make_reservation(struct cycle *cycle)
{
    cs_sched *sched = cycle->sched;
    cs_sched_job *job = oldest_gang(sched);
    bool expired = sched->reserved_job &&
                   sched->reserved_job->expected_start_us <= cycle->now_us;

    if (!job || !is_due_for_reservation(cycle, job) ||
        (sched->reserved_job && !expired) ||
        cycle->now_us - sched->last_reservation_us < RESERVATION_INTERVAL_US)
        return;
    sched->last_reservation_us = cycle->now_us;
    reservation_make(sched, job, cycle->now_us);
    if (sched->reserved_job == job && !decisions_full(cycle))
        try_migration(cycle, job);
}

static void
try_reserved(struct cycle *cycle)
{
    cs_sched_job *job = cycle->sched->reserved_job;

    if (!job || decisions_full(cycle) || job->state != JOB_QUEUED)
        return;
    cycle->smallest_unplaceable = UINT32_MAX;
    try_normal(cycle, job);
}

/* Preempts opportunistic jobs for the oldest normal job, at most one job in a
   cycle. */
static void
preempt_opportunistic(struct cycle *cycle)
{
    cs_sched_job *job = oldest_job(cycle->sched, CS_TIER_NORMAL);

    if (!job || decisions_full(cycle) ||
        cycle->sched->opportunistic_count == 0 ||
        waited_us(cycle, job) < PREEMPTION_WAIT_US)
        return;
    claim_by_preemption(cycle, job);
}

/* Stops a long job so that short ones that wait can run. */
static void
suspend_for_short_job(struct cycle *cycle)
{
    cs_sched *sched = cycle->sched;
    struct selector selector;
    cs_sched_job *waiting;
    cs_sched_job *victim;
    int64_t deadline_us = cycle->now_us + sched->settings.grace_us;

    if (decisions_full(cycle) || sched->queued_count == 0)
        return;
    if (cycle->now_us - sched->last_suspend_us < SUSPEND_INTERVAL_US)
        return;
    sched->last_suspend_us = cycle->now_us;
    selector_init(&selector, sched, CS_TIER_NORMAL, cycle->now_us);
    waiting = selector_next(&selector);
    selector_dispose(&selector);
    if (!waiting)
        return;
    victim = suspend_find(sched, waiting, cycle->now_us);
    if (!victim)
        return;
    victim->state = JOB_STOPPING;
    victim->stop_deadline_us = deadline_us;
    add_decision(cycle, CS_DECIDE_PREEMPT, victim, waiting, deadline_us);
}

static void
run_current(struct cycle *cycle)
{
    start_ready_claims(cycle);
    visit_tier(cycle, CS_TIER_GUARANTEED, try_guaranteed);
    visit_tier(cycle, CS_TIER_URGENT, try_urgent);
    try_reserved(cycle);
    run_past_wait_bound(cycle);
    run_fair_share(cycle, CS_TIER_NORMAL);
    suspend_for_short_job(cycle);
    preempt_opportunistic(cycle);
    make_reservation(cycle);
    run_fair_share(cycle, CS_TIER_OPPORTUNISTIC);
}

/* Starts jobs of all tiers in the order of submission. While the first one
   does not fit, the others wait behind it. */
static void
run_baseline(struct cycle *cycle)
{
    while (!decisions_full(cycle)) {
        cs_sched_job *head = NULL;
        bool blocked;
        int tier;

        for (tier = 0; tier < TIER_COUNT; tier++) {
            cs_sched_job *job = oldest_job(cycle->sched, (cs_tier)tier);

            if (job && (!head || job->sequence < head->sequence))
                head = job;
        }
        if (!head || !find_free_place(cycle, head, 0, &blocked))
            return;
        if (head->request.tier == CS_TIER_GUARANTEED)
            guarantee_claim(cycle->sched, head);
        start_job(cycle, head, cycle->members);
    }
}

uint32_t
cs_sched_run_cycle(cs_sched *sched, cs_decision *out, uint32_t max,
                   int64_t now_us)
{
    struct cycle cycle = {sched, now_us, max, UINT32_MAX,
                          g_array_new(FALSE, FALSE, sizeof(cs_sched_member))};
    uint32_t count = 0;

    sched->latest_us = MAX(sched->latest_us, now_us);
    health_end_quarantines(sched, now_us);
    switch (sched->settings.policy) {
    case CS_POLICY_BASELINE:
        run_baseline(&cycle);
        break;
    case CS_POLICY_CURRENT:
        run_current(&cycle);
        break;
    }
    g_array_free(cycle.members, TRUE);
    while (count < max && !g_queue_is_empty(&sched->pending_decisions)) {
        cs_decision *decision = g_queue_pop_head(&sched->pending_decisions);

        out[count++] = *decision;
        g_free(decision);
    }
    return count;
}
