/*
 * Selection and order of the steps that a scheduling cycle tries to place:
 * guaranteed ones first, then by priority, then those that can still meet
 * their queue's objective, then by the shares of organisations and the
 * lateness of callers' zones, in steps, then the oldest. Steps whose jobs end
 * too late to count come last, see COUNTED_UNTIL_FACTOR.
 */
#include "cycle_internal.h"
#include "corianderstair/forecast.h"

/* A job counts in full if it is completed within the time of its queue's
   objective, in part up to this multiple of that time, and not at all after
   that. */
#define COUNTED_UNTIL_FACTOR CS_FORECAST_COUNTED_FACTOR

double
cycle_expected_run_s(const cs_fleet *fleet, const struct step *step)
{
    double ms =
        fleet_expected_run_ms(fleet, step->job->spec.queue, step->spec);

    return MAX(ms, 1.0) / 1000.0;
}

int64_t
cycle_objective_ms(const cs_fleet *fleet, const struct job *job,
                   const cs_queue_config *queue)
{
    double step_run_ms =
        fleet_expected_run_ms(fleet, job->spec.queue, &job->spec.steps[0]);

    return job->spec.accepted_ms + queue->target_ms +
           (int64_t)(queue->stretch * step_run_ms * job->spec.step_count);
}

int64_t
cycle_counted_until_ms(const struct job *job, int64_t objective_ms)
{
    int64_t accepted_ms = job->spec.accepted_ms;

    return accepted_ms + COUNTED_UNTIL_FACTOR * (objective_ms - accepted_ms);
}

/* Returns the accelerators of the job's largest step. */
static int64_t
job_max_accelerators(const struct job *job)
{
    int64_t maximum = 0;
    uint32_t s;

    for (s = 0; s < job->spec.step_count; s++) {
        const cs_job_step *step = &job->spec.steps[s];

        maximum = MAX(maximum, step->demand.accelerators * step->task_count);
    }
    return maximum;
}

/*
 * Counts a job of a queue of priority 0 against its organisation's guarantee
 * and returns whether it is within it. To be called in the order of the jobs'
 * acceptance.
 */
static bool
job_is_guaranteed(struct cycle *cycle, const struct job *job)
{
    const cs_fleet_config *config = cycle->fleet->state->config;
    const cs_organisation_config *organisation =
        cs_fleet_config_organisation_by_name(config, job->spec.organisation);
    int64_t *used;

    if (!organisation || organisation->guaranteed_accelerators <= 0)
        return false;
    used = g_hash_table_lookup(cycle->guarantee_used, organisation);
    if (!used) {
        used = g_new0(int64_t, 1);
        g_hash_table_insert(cycle->guarantee_used, (gpointer)organisation,
                            used);
    }
    *used += job_max_accelerators(job);
    return *used <= organisation->guaranteed_accelerators;
}

bool
cycle_counts_for_zone(const struct candidate *candidate)
{
    return candidate->step->job->spec.repeats == 0 &&
           !candidate->step->spec->perpetual;
}

/* Counts a step among those that compete for capacity by share and zone. */
static void
mark_waiting(struct cycle *cycle, const struct candidate *candidate)
{
    if (candidate->guaranteed || candidate->too_late_to_count)
        return;
    candidate->share->waiting = true;
    if (cycle_counts_for_zone(candidate))
        cs_zone_lag_add_waiting(&cycle->fleet->ledger->zones, candidate->zone,
                                candidate->queue->priority,
                                candidate->lateness);
}

static void
add_candidate(struct cycle *cycle, struct step *step,
              const struct candidate *template)
{
    struct candidate candidate = *template;
    double seconds = cycle_expected_run_s(cycle->fleet, step);
    int64_t end_ms =
        cycle->now.wall_us / CS_MS_US + (int64_t)(seconds * 1000.0);
    int64_t accepted_ms = step->job->spec.accepted_ms;
    int64_t objective_ms =
        cycle_objective_ms(cycle->fleet, step->job, candidate.queue);

    candidate.step = step;
    candidate.objective_ms = objective_ms;
    if (step->ready_us == 0)
        step->ready_us = cycle->now.boot_us;
    candidate.objective_slack_ms = objective_ms - end_ms;
    candidate.counted_slack_ms =
        cycle_counted_until_ms(step->job, objective_ms) - end_ms;
    candidate.rank.misses_objective = candidate.objective_slack_ms < 0;
    candidate.lateness = cs_zone_lag_of_job(accepted_ms, objective_ms, end_ms);
    candidate.too_late_to_count = candidate.counted_slack_ms < 0;
    mark_waiting(cycle, &candidate);
    g_array_append_val(cycle->candidates, candidate);
}

static void
find_accounts(struct cycle *cycle, const struct job *job,
              struct candidate *out)
{
    struct ledger *ledger = cycle->fleet->ledger;

    out->share = cs_shares_get(ledger->shares, job->spec.organisation);
    out->zone = cs_zone_lag_find(&ledger->zones, job->spec.entry_zone);
}

static void
collect_from_job(struct cycle *cycle, struct job *job)
{
    const cs_queue_config *queue = job_queue(cycle->fleet, job);
    struct candidate template = {.queue = queue};
    uint32_t i;

    /* What a job without its queue holds is taken from the guarantee. */
    if (!queue && job->priority == 0 && job->active_tasks > 0)
        job_is_guaranteed(cycle, job);
    if (!queue || (queue->needs_ticket && !cycle->fleet->state->ports.adviser))
        return;
    template.guaranteed =
        queue->priority == 0 && job_is_guaranteed(cycle, job);
    for (i = 0; i < job_total_steps(job); i++) {
        struct step *step = job->steps[i];

        if (!step || step->waiting_count == 0 || !job_step_is_ready(job, step))
            continue;
        if (step->spec->gang && step->waiting_count < step->spec->task_count)
            continue;
        if (!template.share)
            find_accounts(cycle, job, &template);
        add_candidate(cycle, step, &template);
    }
}

static gint
compare_candidates(gconstpointer a, gconstpointer b)
{
    const struct candidate *first = a;
    const struct candidate *second = b;
    int order;

    if (first->too_late_to_count != second->too_late_to_count)
        return first->too_late_to_count ? 1 : -1;
    if (first->guaranteed != second->guaranteed)
        return first->guaranteed ? -1 : 1;
    if (first->queue->priority != second->queue->priority)
        return first->queue->priority < second->queue->priority ? -1 : 1;
    order = cs_share_rank_compare(&first->rank, &second->rank);
    if (order)
        return order;
    if (first->step->job->sequence != second->step->job->sequence)
        return first->step->job->sequence < second->step->job->sequence ? -1
                                                                        : 1;
    if (first->step->occurrence != second->step->occurrence)
        return first->step->occurrence < second->step->occurrence ? -1 : 1;
    return first->step->number < second->step->number ? -1 : 1;
}

/* Guaranteed steps keep their order: their start is promised. */
static void
rank_candidates(struct cycle *cycle)
{
    const cs_zone_lag *zones = &cycle->fleet->ledger->zones;
    guint i;

    ledger_compute_steps(cycle->fleet);
    for (i = 0; i < cycle->candidates->len; i++) {
        struct candidate *candidate =
            &g_array_index(cycle->candidates, struct candidate, i);

        if (candidate->guaranteed || candidate->too_late_to_count)
            continue;
        candidate->rank.share_step = candidate->share->step;
        candidate->rank.zone_step = cs_zone_lag_step(
            zones, candidate->zone, candidate->queue->priority);
    }
}

void
cycle_collect_candidates(struct cycle *cycle)
{
    guint i;

    for (i = 0; i < cycle->fleet->active_jobs->len; i++)
        collect_from_job(cycle,
                         g_ptr_array_index(cycle->fleet->active_jobs, i));
    rank_candidates(cycle);
    g_array_sort(cycle->candidates, compare_candidates);
}
