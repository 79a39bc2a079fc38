/*
 * The load that this addresses: urgent gangs beside many single tasks on full
 * workers, docs/design/heavy-load.md, part 6. With fixed limits on the loss
 * 400 to 1,600 runs a day were stopped, many of them just after their start
 * and again after their restart, or shortly before enough work had ended by
 * itself.
 */
#include "corianderstair/preempt_gain.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Below this percentage the progress is no basis for an estimate: it is listed
   in whole percents, so the error would exceed a fifth. */
#define PROGRESS_MIN_PERCENT 5
/* A run past its expected end is assumed to take this share of its duration so
   far in addition (requirements, part 4). */
#define OVERDUE_SHARE 0.1
/* Stops of a step, unless a guaranteed claim requires more (requirements, part
   6). */
#define STOPS_MAX 3
/* Time to record and start a run on freed capacity: a write to the store and
   an order, of some tens of milliseconds each. */
#define START_S 0.1
/* A guaranteed claim must start within 2.9 s of its acceptance (the smallest
   reclaimMs). A stop takes up to 0.9 s; the other 1.0 s is for the record, the
   start and a disturbed store. */
#define GUARANTEED_FORCED_AFTER_S 1.0
/* Until then the unsaved work that a guaranteed claim may stop grows with its
   wait, in core-seconds, as cheaper capacity may become free at first. */
#define GUARANTEED_WORK_INITIAL 400.0
#define GUARANTEED_WORK_PER_S 800.0

double
cs_preempt_remaining_s(const cs_preempt_progress *progress)
{
    double whole_s = progress->expected_run_s;
    double remaining_s;

    if (progress->percent >= PROGRESS_MIN_PERCENT && !progress->resumed)
        whole_s = progress->sampled_run_s * 100.0 / (double)progress->percent;
    remaining_s = whole_s - progress->run_s;
    /* A resumed run began with an unknown part of the work done, so its
       progress is compared with the whole run's duration. */
    if (progress->percent >= PROGRESS_MIN_PERCENT && progress->resumed)
        remaining_s = whole_s * (double)(100 - progress->percent) / 100.0 -
                      (progress->run_s - progress->sampled_run_s);
    if (remaining_s <= 0)
        remaining_s = OVERDUE_SHARE * progress->run_s;
    return remaining_s;
}

const char *
cs_preempt_verdict_name(cs_preempt_verdict verdict)
{
    switch (verdict) {
    case CS_PREEMPT_UNDECIDED:
        return "undecided";
    case CS_PREEMPT_STOP:
        return "stop";
    case CS_PREEMPT_FREE_SOONER:
        return "free-sooner";
    case CS_PREEMPT_TOO_LATE:
        return "too-late";
    case CS_PREEMPT_NO_VICTIMS:
        return "no-victims";
    case CS_PREEMPT_LOSS:
        return "loss";
    }
    return "undecided";
}

bool
cs_preempt_may_repeat(const cs_preempt_record *record, double expected_run_s,
                      int64_t started_us, int64_t now_us)
{
    int64_t since_us = MAX(record->stopped_us, started_us);

    if (record->stops == 0)
        return true;
    return record->stops < STOPS_MAX &&
           (double)(now_us - since_us) / 1e6 >= expected_run_s;
}

bool
cs_preempt_ends_first(const cs_preempt_victim *victim,
                      const cs_preempt_costs *costs)
{
    return victim->remaining_s <= costs->stop_s;
}

/* Returns whether the later one of two ends is past a limit and the earlier
   one is not. */
static bool
is_between(double limit_s, double early_s, double late_s)
{
    return early_s <= limit_s && late_s > limit_s;
}

double
cs_preempt_loss(const cs_preempt_victim *victim, const cs_preempt_costs *costs,
                double requeue_s)
{
    double unsaved_s = victim->checkpoint ? 0 : victim->run_s;
    double stopped_end_s = costs->stop_s + requeue_s + START_S +
                           costs->restore_s + unsaved_s + victim->remaining_s;
    double loss = (unsaved_s + costs->restore_s) * victim->cores *
                  (1.0 + victim->restarts);

    if (is_between(victim->objective_s, victim->remaining_s, stopped_end_s) ||
        is_between(victim->counted_until_s, victim->remaining_s,
                   stopped_end_s))
        loss += victim->cores * victim->expected_run_s;
    return loss;
}

bool
cs_preempt_is_forced(const cs_preempt_claim *claim)
{
    return claim->guaranteed && claim->waited_s >= GUARANTEED_FORCED_AFTER_S;
}

double
cs_preempt_gain(const cs_preempt_claim *claim, const cs_preempt_costs *costs,
                double wait_s)
{
    double core_s = claim->cores * claim->run_s;
    double early_s = costs->stop_s + START_S + claim->run_s;
    double late_s = wait_s + START_S + claim->run_s;

    if (late_s <= early_s || early_s > claim->counted_until_s)
        return 0;
    if (is_between(claim->objective_s, early_s, late_s) ||
        is_between(claim->counted_until_s, early_s, late_s))
        return core_s;
    return core_s * (late_s - early_s) / (claim->age_s + late_s);
}

cs_preempt_verdict
cs_preempt_judge_wait(const cs_preempt_claim *claim,
                      const cs_preempt_costs *costs, double wait_s)
{
    if (cs_preempt_is_forced(claim))
        return CS_PREEMPT_UNDECIDED;
    if (wait_s <= costs->stop_s)
        return CS_PREEMPT_FREE_SOONER;
    if (!claim->guaranteed && cs_preempt_gain(claim, costs, wait_s) <= 0)
        return CS_PREEMPT_TOO_LATE;
    return CS_PREEMPT_UNDECIDED;
}

cs_preempt_verdict
cs_preempt_judge_loss(const cs_preempt_claim *claim, double loss, double work,
                      double gain)
{
    if (cs_preempt_is_forced(claim) || (gain > 0 && loss <= gain))
        return CS_PREEMPT_STOP;
    if (claim->guaranteed &&
        work <=
            GUARANTEED_WORK_INITIAL + GUARANTEED_WORK_PER_S * claim->waited_s)
        return CS_PREEMPT_STOP;
    return CS_PREEMPT_LOSS;
}

/* An estimate of when a request fits. */
struct estimate {
    cs_binpack_cell cell; /* with workers of its own */
    cs_binpack_request request;
    const cs_preempt_end *ends;
    uint32_t applied; /* ends that the free capacity of cell accounts for */
    uint32_t *placed_workers;
};

/* Returns whether the request fits once the first of the ends have come. */
static bool
fits_after(struct estimate *estimate, uint32_t end_count)
{
    cs_binpack_worker *workers = estimate->cell.workers;
    uint32_t placed;
    uint32_t i;

    for (; estimate->applied < end_count; estimate->applied++) {
        const cs_preempt_end *end = &estimate->ends[estimate->applied];

        cs_demand_add(&workers[end->worker].free, &end->demand);
    }
    for (; estimate->applied > end_count; estimate->applied--) {
        const cs_preempt_end *end = &estimate->ends[estimate->applied - 1];

        cs_demand_subtract(&workers[end->worker].free, &end->demand);
    }
    placed = cs_binpack_place(estimate->placed_workers, &estimate->cell,
                              &estimate->request);
    for (i = 0; i < placed; i++)
        cs_demand_add(&workers[estimate->placed_workers[i]].free,
                      &estimate->request.demand);
    return placed == estimate->request.count;
}

double
cs_preempt_wait_s(uint32_t *workers, const cs_binpack_cell *cell,
                  const cs_binpack_request *request,
                  const cs_preempt_end *ends, uint32_t end_count,
                  const cs_preempt_claimed *claimed, uint32_t claimed_count)
{
    struct estimate estimate = {.cell = *cell,
                                .request = *request,
                                .ends = ends,
                                .placed_workers = workers};
    uint32_t too_few = 0; /* ends with which the request does not fit */
    uint32_t enough = end_count;
    double wait_s = INFINITY;
    uint32_t i;

    estimate.cell.workers =
        g_new(cs_binpack_worker, (gsize)cell->worker_count + 1);
    memcpy(estimate.cell.workers, cell->workers,
           cell->worker_count * sizeof(*cell->workers));
    for (i = 0; i < claimed_count; i++)
        cs_demand_subtract(&estimate.cell.workers[claimed[i].worker].free,
                           &claimed[i].demand);
    estimate.request.all_or_nothing = true;
    if (fits_after(&estimate, 0)) {
        wait_s = 0;
    }
    else if (end_count > 0 && fits_after(&estimate, end_count)) {
        while (enough - too_few > 1) {
            uint32_t middle = too_few + (enough - too_few) / 2;

            if (fits_after(&estimate, middle))
                enough = middle;
            else
                too_few = middle;
        }
        fits_after(&estimate, enough); /* sets workers */
        wait_s = ends[enough - 1].end_s;
    }
    g_free(estimate.cell.workers);
    return wait_s;
}
