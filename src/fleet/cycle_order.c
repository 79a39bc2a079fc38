/*
 * Which steps may start, and in which order: guaranteed ones first, then by
 * priority, those that can still meet their objective before the others, and
 * the oldest first. What is too late to count goes last.
 */
#include "cycle_internal.h"

/* A job counts, if less, until so many times its objective. */
#define LATE_FACTOR 3

double
turn_step_seconds(const cs_fleet *fleet, const struct step *step)
{
    double ms = fleet_expected_ms(fleet, step->job->spec.queue, step->spec);

    return MAX(ms, 1.0) / 1000.0;
}

/* When the job has to be completed to count in full. */
static int64_t
job_deadline_ms(const struct turn *turn, const struct job *job,
                const cs_queue_config *queue)
{
    double chain_ms =
        fleet_expected_ms(turn->fleet, job->spec.queue, &job->spec.steps[0]);

    return job->spec.accepted_ms + queue->target_ms +
           (int64_t)(queue->stretch * chain_ms * job->spec.step_count);
}

static int64_t
job_accelerators(const struct job *job)
{
    int64_t most = 0;
    uint32_t s;

    for (s = 0; s < job->spec.step_count; s++) {
        const cs_job_step *step = &job->spec.steps[s];

        most = MAX(most, step->demand.accelerators * step->task_count);
    }
    return most;
}

/* Jobs of the first priority claim in the order of their acceptance. */
static bool
job_claims(struct turn *turn, const struct job *job)
{
    const cs_fleet_config *config = turn->fleet->board->config;
    const cs_organisation_config *organisation =
        cs_fleet_config_named(config, job->spec.organisation);
    int64_t *sum;

    if (!organisation || organisation->guaranteed_accelerators <= 0)
        return false;
    sum = g_hash_table_lookup(turn->claimed, organisation);
    if (!sum) {
        sum = g_new0(int64_t, 1);
        g_hash_table_insert(turn->claimed, (gpointer)organisation, sum);
    }
    *sum += job_accelerators(job);
    return *sum <= organisation->guaranteed_accelerators;
}

static void
add_candidate(struct turn *turn, struct step *step,
              const cs_queue_config *queue, bool claims)
{
    struct candidate candidate = {
        .step = step, .queue = queue, .claims = claims};
    double seconds = turn_step_seconds(turn->fleet, step);
    int64_t end_ms =
        turn->now.wall_us / CS_MS_US + (int64_t)(seconds * 1000.0);
    int64_t accepted_ms = step->job->spec.accepted_ms;
    int64_t deadline_ms = job_deadline_ms(turn, step->job, queue);

    if (step->ready_us == 0)
        step->ready_us = turn->now.boot_us;
    candidate.late = end_ms > deadline_ms;
    candidate.lapsed =
        end_ms > accepted_ms + LATE_FACTOR * (deadline_ms - accepted_ms);
    g_array_append_val(turn->candidates, candidate);
}

static void
gather_job(struct turn *turn, struct job *job)
{
    const cs_queue_config *queue =
        cs_fleet_config_queue(turn->fleet->board->config, job->spec.queue);
    bool claims;
    uint32_t i;

    if (!queue || (queue->advised && !turn->fleet->board->ports.adviser))
        return;
    claims = queue->priority == 0 && job_claims(turn, job);
    for (i = 0; i < job_slot_count(job); i++) {
        struct step *step = job->steps[i];

        if (!step || step->waiting == 0 || !job_step_is_ready(job, step))
            continue;
        if (step->spec->gang && step->waiting < step->spec->task_count)
            continue;
        add_candidate(turn, step, queue, claims);
    }
}

static gint
compare_candidates(gconstpointer a, gconstpointer b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;

    if (x->lapsed != y->lapsed)
        return x->lapsed ? 1 : -1;
    if (x->claims != y->claims)
        return x->claims ? -1 : 1;
    if (x->queue->priority != y->queue->priority)
        return x->queue->priority < y->queue->priority ? -1 : 1;
    if (x->late != y->late)
        return x->late ? 1 : -1;
    if (x->step->job->sequence != y->step->job->sequence)
        return x->step->job->sequence < y->step->job->sequence ? -1 : 1;
    if (x->step->occurrence != y->step->occurrence)
        return x->step->occurrence < y->step->occurrence ? -1 : 1;
    return x->step->number < y->step->number ? -1 : 1;
}

void
turn_gather(struct turn *turn)
{
    guint i;

    for (i = 0; i < turn->fleet->active->len; i++)
        gather_job(turn, g_ptr_array_index(turn->fleet->active, i));
    g_array_sort(turn->candidates, compare_candidates);
}
