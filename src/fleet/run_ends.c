/*
 * The expected ends of runs, from the learned run times of steps and queues,
 * the speeds of workers and the progress that workers list.
 */
#include "reserve.h"

#include <math.h>

/* Spread of a run time that other tasks of the step or the run's own progress
   imply, as a share: progress is listed in percent and some heartbeats late,
   and the tasks of a step differ by a few percent. */
#define KNOWN_SPREAD_SHARE 0.1
/* Spread of a run time before its queue has learned any. Declared run times
   are off by up to 0.9 of their value; this is about the mean of that. */
#define DECLARED_SPREAD_SHARE 0.5
/* Below this the progress is no basis for an estimate of the rest. */
#define PROGRESS_MIN_PERCENT 15
/* A run past its expected end is assumed to last for this share of its elapsed
   time more. */
#define OVERRUN_SHARE 0.1

double
run_expected_work_ms(const cs_fleet *fleet, const struct step *step,
                     double *spread_ms)
{
    const char *queue = step->job->spec.queue;
    const double *deviation =
        g_hash_table_lookup(fleet->reserve->deviations, queue);
    double ms;

    if (step->run_times.weight > 0) {
        ms = exp(step->run_times.weighted_work / step->run_times.weight);
        *spread_ms = ms * KNOWN_SPREAD_SHARE;
        return ms;
    }
    ms = MAX(fleet_expected_run_ms(fleet, queue, step->spec), 1);
    *spread_ms = ms * (deviation ? MAX(*deviation, KNOWN_SPREAD_SHARE)
                                 : DECLARED_SPREAD_SHARE);
    return ms;
}

/* The expected rest of a run. */
struct rest {
    double ms;
    double spread_ms;
};

static struct rest
rest_of_started(const cs_fleet *fleet, const struct task *task, int64_t now_us)
{
    const struct worker *worker = task->worker;
    double elapsed_ms = (double)(now_us - task->started_us) / (double)CS_MS_US;
    double answered_ms =
        (double)(worker->last_answer_us - task->started_us) / (double)CS_MS_US;
    double percent = (double)task->progress_percent;
    double speed = exp(worker->speed.log_speed);
    struct rest rest;
    double total_ms =
        run_expected_work_ms(fleet, task->step, &rest.spread_ms) / speed;

    rest.spread_ms /= speed;
    if (percent >= 100) {
        rest.ms = 0;
        rest.spread_ms = 0;
        return rest;
    }
    if (percent >= PROGRESS_MIN_PERCENT && answered_ms > 0) {
        /* The progress is that of the worker's last answer. A run that resumes
           a checkpoint or was adopted has not made it in its elapsed time. */
        rest.ms = task->partial ? total_ms * (100 - percent) / 100
                                : answered_ms * (100 - percent) / percent;
        rest.ms -= elapsed_ms - answered_ms;
        rest.spread_ms = MAX(rest.ms, 0) * KNOWN_SPREAD_SHARE;
    }
    else {
        rest.ms = total_ms - elapsed_ms;
    }
    if (rest.ms <= 0) {
        rest.ms = elapsed_ms * OVERRUN_SHARE;
        rest.spread_ms = 0;
    }
    return rest;
}

static struct rest
task_rest(const cs_fleet *fleet, const struct task *task, int64_t now_us)
{
    struct rest rest = {0, 0};

    switch (task->state) {
    case TASK_WAITING:
    case TASK_DONE:
        break;
    case TASK_STOPPING:
        rest.ms = (double)fleet->state->settings.bounds.stop_ms;
        break;
    case TASK_PLANNED:
    case TASK_RECORDING:
        rest.ms = run_expected_work_ms(fleet, task->step, &rest.spread_ms) /
                  exp(task->worker->speed.log_speed);
        break;
    case TASK_STARTING:
    case TASK_RUNNING:
        if (task->started_us)
            rest = rest_of_started(fleet, task, now_us);
        break;
    }
    return rest;
}

/* Returns the rest of a gang, which ends with its slowest member. */
static struct rest
gang_rest(const cs_fleet *fleet, const struct step *step, int64_t now_us)
{
    struct rest slowest = {0, 0};
    uint32_t i;

    for (i = 0; i < step->spec->task_count; i++) {
        const struct task *task = &step->tasks[i];
        struct rest rest;

        if (!task->worker)
            continue;
        rest = task_rest(fleet, task, now_us);
        if (rest.ms + rest.spread_ms >= slowest.ms + slowest.spread_ms)
            slowest = rest;
    }
    return slowest;
}

/* Returns the rest of the gang, computed once for all its members. */
static struct rest
known_gang_rest(const cs_fleet *fleet, const struct step *step,
                GHashTable *gangs, int64_t now_us)
{
    struct rest *rest = g_hash_table_lookup(gangs, step);

    if (!rest) {
        rest = g_new(struct rest, 1);
        *rest = gang_rest(fleet, step, now_us);
        g_hash_table_insert(gangs, (gpointer)step, rest);
    }
    return *rest;
}

GArray *
run_list_ends(const cs_fleet *fleet, int64_t now_us)
{
    GArray *runs = g_array_new(FALSE, FALSE, sizeof(cs_backfill_run));
    GHashTable *gangs =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    guint i;
    guint k;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        for (k = 0; k < worker->tasks->len; k++) {
            const struct task *task = g_ptr_array_index(worker->tasks, k);
            const struct step *step = task->step;
            cs_backfill_run run = {.worker = i, .demand = step->spec->demand};
            struct rest rest;

            if (step->spec->perpetual && task->state != TASK_STOPPING)
                continue;
            rest = step->spec->gang
                       ? known_gang_rest(fleet, step, gangs, now_us)
                       : task_rest(fleet, task, now_us);
            run.end_s = (double)now_us / (double)CS_SEC_US + rest.ms / 1000.0;
            run.spread_s = rest.spread_ms / 1000.0;
            g_array_append_val(runs, run);
        }
    }
    g_hash_table_destroy(gangs);
    return runs;
}
