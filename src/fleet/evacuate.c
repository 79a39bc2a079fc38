/*
 * Evacuation of draining workers. A worker reports the minimum time that it
 * has left and often stays longer, so only tasks with checkpoints are moved
 * away, and only when that time is nearly over.
 */
#include "fleet_internal.h"

/* Time for the end of a task to be listed and recorded. */
#define RECORD_MARGIN_MS 300
/* A stop, with its checkpoint and the recording of its end, takes about this
   long. */
#define MOVE_MS 1200
/* Below this the progress is no basis for an estimate of the rest. */
#define PROGRESS_MIN_PERCENT 5

/* Returns the estimated time to the task's end. */
static double
task_remaining_ms(const cs_fleet *fleet, const struct task *task,
                  int64_t now_us)
{
    double run_ms = (double)(now_us - task->started_us) / (double)CS_MS_US;

    if (task->progress_percent >= PROGRESS_MIN_PERCENT)
        return run_ms * (double)(100 - task->progress_percent) /
               (double)task->progress_percent;
    return MAX(fleet_expected_run_ms(fleet, task->step->job->spec.queue,
                                     task->step->spec) -
                   run_ms,
               0);
}

/* Returns whether the task ends before the worker may leave, or whether it is
   still early to decide. */
static bool
ends_in_time(const cs_fleet *fleet, const struct worker *worker,
             const struct task *task, int64_t now_us)
{
    double worker_remaining_ms;

    if (worker->remaining_ms < 0)
        return true;
    worker_remaining_ms =
        (double)worker->remaining_ms -
        (double)(now_us - worker->drain_seen_us) / (double)CS_MS_US;
    return worker_remaining_ms > MOVE_MS ||
           task_remaining_ms(fleet, task, now_us) + RECORD_MARGIN_MS <=
               worker_remaining_ms;
}

static void
evacuate_worker(cs_fleet *fleet, struct worker *worker, int64_t now_us)
{
    guint i = 0;

    while (i < worker->tasks->len) {
        struct task *task = g_ptr_array_index(worker->tasks, i);
        struct step *step = task->step;

        i++;
        if (task->state != TASK_RUNNING || step->spec->perpetual ||
            !step->spec->checkpoint ||
            ends_in_time(fleet, worker, task, now_us))
            continue;
        cs_log_event("evacuate",
                     "job %s step %u.%u task %u worker %s at %" PRId64
                     "%%, %" PRId64 " ms left",
                     step->job->spec.id, step->occurrence, step->number,
                     task->index, worker->id, task->progress_percent,
                     worker->remaining_ms);
        fleet_increment_counter(fleet, "cs_evacuations_total");
        run_stop(fleet, task);
        if (step->spec->gang)
            step_stop_members(fleet, step);
    }
}

void
evacuate_tick(cs_fleet *fleet)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (worker->draining && worker->listed)
            evacuate_worker(fleet, worker, now_us);
    }
}
