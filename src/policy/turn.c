/*
 * One turn of decisions, in the order of tiers: claims of guaranteed shapes,
 * urgent work, normal work by fair share and expected length with one
 * reservation, opportunistic work.
 */
#include "choose.h"
#include "sched_internal.h"

#define WAIT_MIN_US (60 * INT64_C(1000000))
/* Searches over the whole cell are made no more often. */
#define SUSPEND_GAP_US (INT64_C(200) * 1000)
#define RESERVE_GAP_US (INT64_C(1000) * 1000)
/* Normal work stops opportunistic work after this wait. */
#define RECLAIM_WAIT_US (INT64_C(3) * 1000000)
#define URGENT_TRIES 64
/* A move must save this many times what it costs. */
#define MOVE_GAIN 2.0

struct turn {
    cs_sched *sched;
    int64_t now_us;
    uint32_t max;
    uint32_t smallest_failed; /* no free place for this many or more */
    GArray *members;
};

static void
decide(struct turn *turn, cs_decision_type type, cs_sched_job *job,
       cs_sched_job *beneficiary, int64_t deadline_us)
{
    cs_decision *decision = g_new0(cs_decision, 1);

    decision->type = type;
    decision->job = job;
    decision->beneficiary = beneficiary;
    decision->deadline_us = deadline_us;
    g_queue_push_tail(&turn->sched->decisions, decision);
}

static bool
is_full(const struct turn *turn)
{
    return turn->sched->decisions.length >= turn->max;
}

static void
start(struct turn *turn, cs_sched_job *job, const GArray *members)
{
    if (job->state == JOB_QUEUED)
        queue_remove(turn->sched, job);
    sched_start(turn->sched, job, members, turn->now_us);
    decide(turn, CS_DECIDE_START, job, NULL, 0);
}

static bool
is_vacant(const cs_sched *sched, const cs_sched_job *job)
{
    uint32_t i;

    for (i = 0; i < job->member_count; i++) {
        const struct worker *w =
            topology_worker(&sched->topology, job->members[i].worker);

        if (w->used & job->members[i].mask)
            return false;
    }
    return true;
}

static bool
lost_worker(const cs_sched *sched, const cs_sched_job *job)
{
    uint32_t i;

    for (i = 0; i < job->member_count; i++) {
        if (!topology_worker(&sched->topology, job->members[i].worker)->usable)
            return true;
    }
    return false;
}

/* Starts claims whose place has become free. */
static void
finish_claims(struct turn *turn)
{
    cs_sched *sched = turn->sched;
    GList *link = sched->claiming.head;

    while (link && !is_full(turn)) {
        cs_sched_job *job = link->data;
        GList *next = link->next;

        if (lost_worker(sched, job)) {
            sched_unclaim(sched, job);
            queue_push(sched, job);
        }
        else if (is_vacant(sched, job)) {
            g_queue_delete_link(&sched->claiming, link);
            start(turn, job, NULL);
        }
        link = next;
    }
}

static bool
find_free(struct turn *turn, const cs_sched_job *job, int64_t end_us,
          bool *blocked)
{
    placement out = {turn->members, false};
    bool found;

    g_array_set_size(turn->members, 0);
    switch (turn->sched->settings.policy) {
    case CS_POLICY_BASELINE:
        found = place_first_fit(&out, &turn->sched->topology,
                                job->request.accelerators);
        break;
    case CS_POLICY_CURRENT:
    default:
        health_hide(turn->sched, job, true);
        found = place_find(&out, &turn->sched->topology,
                           job->request.accelerators, end_us);
        health_hide(turn->sched, job, false);
        break;
    }
    *blocked = out.blocked;
    return found;
}

static void
stop_victims(struct turn *turn, cs_sched_job *job)
{
    cs_sched *sched = turn->sched;
    int64_t deadline_us = turn->now_us + sched->settings.grace_us;
    uint32_t i;
    guint k;

    for (i = 0; i < job->member_count; i++) {
        const cs_sched_member *m = &job->members[i];
        struct worker *w = topology_worker(&sched->topology, m->worker);

        for (k = 0; k < w->tenants->len; k++) {
            cs_sched_job *victim = worker_tenant(w, k)->job;

            if (victim->state != JOB_STARTED ||
                !(worker_tenant(w, k)->mask & m->mask))
                continue;
            victim->state = JOB_STOPPING;
            victim->stop_us = deadline_us;
            decide(turn, CS_DECIDE_PREEMPT, victim, job, deadline_us);
        }
    }
}

/* Takes the place found last; others are stopped for it. */
static void
claim(struct turn *turn, cs_sched_job *job)
{
    queue_remove(turn->sched, job);
    if (turn->sched->reserved == job)
        reserve_clear(turn->sched);
    sched_claim(turn->sched, job, turn->members);
    stop_victims(turn, job);
}

static bool
reclaim(struct turn *turn, cs_sched_job *job)
{
    bool found;

    g_array_set_size(turn->members, 0);
    health_hide(turn->sched, job, true);
    found = reclaim_find(turn->members, turn->sched, job, turn->now_us);
    health_hide(turn->sched, job, false);
    if (!found)
        return false;
    claim(turn, job);
    return true;
}

static void
try_guaranteed(struct turn *turn, cs_sched_job *job)
{
    bool blocked;

    if (!guarantee_claim(turn->sched, job)) {
        job->wait = WAIT_ENTITLED;
        return;
    }
    /* A reservation never delays a guaranteed claim. */
    if (find_free(turn, job, INT64_MIN, &blocked) &&
        guarantee_is_safe(turn->sched, turn->members)) {
        start(turn, job, turn->members);
        return;
    }
    if (reclaim(turn, job))
        return;
    guarantee_return(turn->sched, job);
    job->wait = WAIT_NO_SPACE;
}

static void
try_urgent(struct turn *turn, cs_sched_job *job)
{
    bool blocked;

    /* What no smaller job found in this turn it cannot find either. */
    if (job->request.accelerators >= turn->smallest_failed) {
        job->wait = WAIT_NO_SPACE;
        return;
    }
    if (find_free(turn, job, INT64_MIN, &blocked)) {
        start(turn, job, turn->members);
        return;
    }
    if (reclaim(turn, job))
        return;
    job->wait = WAIT_NO_SPACE;
    turn->smallest_failed = job->request.accelerators;
}

/* Visits the jobs of a tier, oldest first in each size. */
static void
run_tier(struct turn *turn, cs_tier tier,
         void (*attempt)(struct turn *, cs_sched_job *))
{
    uint32_t tries = 0;
    int size_class;

    for (size_class = CLASS_COUNT - 1; size_class >= 0; size_class--) {
        GList *link = turn->sched->ages[tier][size_class].head;

        while (link && !is_full(turn) && tries++ < URGENT_TRIES) {
            GList *next = link->next;

            attempt(turn, link->data);
            link = next;
        }
    }
}

static int64_t
end_if_started(const struct turn *turn, const cs_sched_job *job)
{
    return turn->now_us + job->key.remaining_us;
}

/* Returns whether the job was started; sets how it failed otherwise. */
static bool
try_normal(struct turn *turn, cs_sched_job *job)
{
    bool blocked = false;
    int64_t end_us =
        job == turn->sched->reserved ? INT64_MIN : end_if_started(turn, job);

    if (job->request.accelerators >= turn->smallest_failed) {
        job->wait = WAIT_NO_SPACE;
        return false;
    }
    if (find_free(turn, job, end_us, &blocked)) {
        start(turn, job, turn->members);
        return true;
    }
    job->wait = blocked ? WAIT_RESERVED : WAIT_NO_SPACE;
    if (!blocked)
        turn->smallest_failed = job->request.accelerators;
    return false;
}

static void
run_shared(struct turn *turn, cs_tier tier)
{
    struct chooser chooser;
    cs_sched_job *job;

    /* A full cell has no place for anything. */
    if (turn->sched->topology.free == 0)
        return;
    chooser_init(&chooser, turn->sched, tier, turn->now_us);
    turn->smallest_failed = UINT32_MAX;
    while (!is_full(turn) && (job = chooser_next(&chooser)) != NULL) {
        uint32_t organisation = job->request.organisation;

        if (try_normal(turn, job))
            chooser_started(&chooser, organisation);
        else
            chooser_failed(&chooser, job);
    }
    chooser_dispose(&chooser);
}

/* The oldest job of a tier that asks for no smaller size class. */
static cs_sched_job *
oldest_from(const cs_sched *sched, cs_tier tier, uint32_t size_class)
{
    cs_sched_job *best = NULL;

    for (; size_class < CLASS_COUNT; size_class++) {
        cs_sched_job *job =
            g_queue_peek_head((GQueue *)&sched->ages[tier][size_class]);

        if (job && (!best || job->sequence < best->sequence))
            best = job;
    }
    return best;
}

static cs_sched_job *
oldest(const cs_sched *sched, cs_tier tier)
{
    return oldest_from(sched, tier, 0);
}

/* The oldest job that nothing but a drained place can help. */
static cs_sched_job *
oldest_gang(const cs_sched *sched)
{
    uint32_t least = MAX(sched->topology.worker_max, 2);

    return oldest_from(sched, CS_TIER_NORMAL, class_of(least));
}

static int64_t
waited_us(const struct turn *turn, const cs_sched_job *job)
{
    return turn->now_us - job->request.submitted_us;
}

static bool
has_waited(const struct turn *turn, const cs_sched_job *job)
{
    int64_t bound_us = MIN(turn->sched->settings.wait_bound_us,
                           MAX(WAIT_MIN_US, 2 * job->key.remaining_us));

    return waited_us(turn, job) >= bound_us;
}

/* Jobs past the wait bound go first, oldest first. */
static void
run_aged(struct turn *turn)
{
    cs_sched *sched = turn->sched;
    int size_class;

    for (size_class = 0; size_class < CLASS_COUNT; size_class++) {
        cs_sched_job *job;

        turn->smallest_failed = UINT32_MAX;
        while (!is_full(turn) &&
               (job = g_queue_peek_head(
                    &sched->ages[CS_TIER_NORMAL][size_class])) != NULL &&
               waited_us(turn, job) >= sched->settings.wait_bound_us &&
               try_normal(turn, job))
            ;
    }
}

/* Moves small jobs that checkpoint, where that saves more than it costs. */
static bool
try_move(struct turn *turn, cs_sched_job *job)
{
    cs_sched *sched = turn->sched;
    double gain = (double)(job->expected_us - turn->now_us) / 1e6 *
                  job->request.accelerators *
                  (double)sched->settings.fragmentation_weight / 50.0;
    double cost = 0;
    bool found;
    guint i;
    guint k;

    /* What is moved must find room elsewhere. */
    if (job->request.accelerators > sched->topology.free)
        return false;
    sched->moving = true;
    g_array_set_size(turn->members, 0);
    found = reclaim_find(turn->members, sched, job, turn->now_us);
    sched->moving = false;
    if (!found)
        return false;
    sched->mark++;
    for (i = 0; i < turn->members->len; i++) {
        const cs_sched_member *m =
            &g_array_index(turn->members, cs_sched_member, i);
        const struct worker *w = topology_worker(&sched->topology, m->worker);

        for (k = 0; k < w->tenants->len; k++) {
            cs_sched_job *victim = worker_tenant(w, k)->job;

            if (victim->mark == sched->mark)
                continue;
            victim->mark = sched->mark;
            cost += reclaim_cost(victim, turn->now_us);
        }
    }
    if (cost * MOVE_GAIN > gain)
        return false;
    claim(turn, job);
    return true;
}

/* Keeps a place for the job that has waited longest. */
static void
run_reservation(struct turn *turn)
{
    cs_sched *sched = turn->sched;
    cs_sched_job *job = oldest_gang(sched);
    bool stale =
        sched->reserved && sched->reserved->expected_us <= turn->now_us;

    if (!job || !has_waited(turn, job) || (sched->reserved && !stale) ||
        turn->now_us - sched->reserve_us < RESERVE_GAP_US)
        return;
    sched->reserve_us = turn->now_us;
    reserve_make(sched, job, turn->now_us);
    if (sched->reserved == job && !is_full(turn))
        try_move(turn, job);
}

static void
run_reserved(struct turn *turn)
{
    cs_sched_job *job = turn->sched->reserved;

    if (!job || is_full(turn) || job->state != JOB_QUEUED)
        return;
    turn->smallest_failed = UINT32_MAX;
    try_normal(turn, job);
}

/* Normal work may stop opportunistic work, for one job a turn. */
static void
reclaim_for_normal(struct turn *turn)
{
    cs_sched_job *job = oldest(turn->sched, CS_TIER_NORMAL);

    if (!job || is_full(turn) || turn->sched->opportunistic == 0 ||
        waited_us(turn, job) < RECLAIM_WAIT_US)
        return;
    reclaim(turn, job);
}

/* Lets a long job give way to short ones that wait. */
static void
run_suspend(struct turn *turn)
{
    cs_sched *sched = turn->sched;
    struct chooser chooser;
    cs_sched_job *waiting;
    cs_sched_job *victim;
    int64_t deadline_us = turn->now_us + sched->settings.grace_us;

    if (is_full(turn) || sched->queued == 0)
        return;
    if (turn->now_us - sched->suspend_us < SUSPEND_GAP_US)
        return;
    sched->suspend_us = turn->now_us;
    chooser_init(&chooser, sched, CS_TIER_NORMAL, turn->now_us);
    waiting = chooser_next(&chooser);
    chooser_dispose(&chooser);
    if (!waiting)
        return;
    victim = suspend_find(sched, waiting, turn->now_us);
    if (!victim)
        return;
    victim->state = JOB_STOPPING;
    victim->stop_us = deadline_us;
    decide(turn, CS_DECIDE_PREEMPT, victim, waiting, deadline_us);
}

static void
run_current(struct turn *turn)
{
    finish_claims(turn);
    run_tier(turn, CS_TIER_GUARANTEED, try_guaranteed);
    run_tier(turn, CS_TIER_URGENT, try_urgent);
    run_reserved(turn);
    run_aged(turn);
    run_shared(turn, CS_TIER_NORMAL);
    run_suspend(turn);
    reclaim_for_normal(turn);
    run_reservation(turn);
    run_shared(turn, CS_TIER_OPPORTUNISTIC);
}

/* First come first served over all tiers; the head waits and so do others. */
static void
run_baseline(struct turn *turn)
{
    while (!is_full(turn)) {
        cs_sched_job *head = NULL;
        bool blocked;
        int tier;

        for (tier = 0; tier < TIER_COUNT; tier++) {
            cs_sched_job *job = oldest(turn->sched, (cs_tier)tier);

            if (job && (!head || job->sequence < head->sequence))
                head = job;
        }
        if (!head || !find_free(turn, head, 0, &blocked))
            return;
        if (head->request.tier == CS_TIER_GUARANTEED)
            guarantee_claim(turn->sched, head);
        start(turn, head, turn->members);
    }
}

uint32_t
cs_sched_turn(cs_sched *sched, cs_decision *out, uint32_t max, int64_t now_us)
{
    struct turn turn = {sched, now_us, max, UINT32_MAX,
                        g_array_new(FALSE, FALSE, sizeof(cs_sched_member))};
    uint32_t count = 0;

    sched->last_us = MAX(sched->last_us, now_us);
    health_tick(sched, now_us);
    switch (sched->settings.policy) {
    case CS_POLICY_BASELINE:
        run_baseline(&turn);
        break;
    case CS_POLICY_CURRENT:
        run_current(&turn);
        break;
    }
    g_array_free(turn.members, TRUE);
    while (count < max && !g_queue_is_empty(&sched->decisions)) {
        cs_decision *decision = g_queue_pop_head(&sched->decisions);

        out[count++] = *decision;
        g_free(decision);
    }
    return count;
}
