/*
 * The lifecycle of a task: placed on a worker, ended, waiting again. Also what
 * the ends and the progress of runs show of run times and of workers' speeds.
 */
#include "ledger.h"
#include "reserve.h"

#include <math.h>

double
task_cores(const struct task *task)
{
    return cs_demand_cores(&task->step->spec->demand);
}

double
task_stop_loss(const cs_fleet *fleet, const struct task *task, int64_t now_us)
{
    double restore_s =
        (double)fleet->state->settings.bounds.restore_ms / 1000.0;
    double run_s = 0;

    if (task->started_us)
        run_s = (double)(now_us - task->started_us) / (double)CS_SEC_US;
    /* A stop saves a checkpoint, so that only the restore is lost. */
    if (task->step->spec->checkpoint)
        run_s = MIN(run_s, restore_s);
    return run_s * task_cores(task);
}

void
task_set_checkpoint(struct task *task, const char *checkpoint)
{
    if (!checkpoint || !*checkpoint ||
        g_strcmp0(task->checkpoint, checkpoint) == 0)
        return;
    g_free(task->checkpoint);
    task->checkpoint = g_strdup(checkpoint);
}

void
task_place(cs_fleet *fleet, struct task *task, struct worker *worker,
           uint32_t run)
{
    task->state = TASK_PLANNED;
    task->worker = worker;
    task->run = run;
    task->recorded = false;
    task->progress_percent = 0;
    task->started_us = 0;
    task->confirmed_us = 0;
    task->urgent = task->step->job->priority == 0;
    if (task->urgent)
        fleet->headroom.used_accelerators +=
            task->step->spec->demand.accelerators;
    task->adopted = false;
    task->partial = task->checkpoint != NULL;
    task->speed_sampled = false;
    task->start_unconfirmed = false;
    task->stop_pending = false;
    task->stop_answered = false;
    task->stop_sent_us = 0;
    task->step->waiting_count--;
    task->step->job->active_tasks++;
    cs_demand_add(&worker->used, &task->step->spec->demand);
    ledger_add_use(fleet, task);
    g_ptr_array_add(worker->tasks, task);
}

void
task_set_verified(struct task *task)
{
    if (task->adopted)
        task->step->job->unverified_tasks--;
    task->adopted = false;
}

static void
detach(cs_fleet *fleet, struct task *task)
{
    struct worker *worker = task->worker;

    g_ptr_array_remove_fast(worker->tasks, task);
    cs_demand_subtract(&worker->used, &task->step->spec->demand);
    ledger_remove_use(fleet, task);
    if (task->urgent)
        fleet->headroom.used_accelerators -=
            task->step->spec->demand.accelerators;
    task->urgent = false;
    task->worker = NULL;
    task_set_verified(task);
    task->step->job->active_tasks--;
    progress_set_task_dirty(fleet, task);
    fleet->cycle_requested = true;
}

void
task_release(cs_fleet *fleet, struct task *task)
{
    struct job *job = task->step->job;

    detach(fleet, task);
    task->state = TASK_WAITING;
    task->step->waiting_count++;
    if (job->state == CS_PROGRESS_RUNNING && job->active_tasks == 0 &&
        job_is_waiting(job)) {
        job->state = CS_PROGRESS_QUEUED;
        progress_set_dirty(fleet, job);
    }
}

uint32_t
task_next_run(const struct task *task)
{
    return MAX(task->run, task->highest_listed_run) + 1;
}

uint32_t
step_next_run(const struct step *step)
{
    uint32_t run = 0;
    uint32_t i;

    for (i = 0; i < step->spec->task_count; i++)
        run = MAX(run, task_next_run(&step->tasks[i]));
    return run;
}

double
fleet_expected_run_ms(const cs_fleet *fleet, const char *queue,
                      const cs_job_step *step)
{
    const struct queue_run_time *run_time =
        g_hash_table_lookup(fleet->queue_run_times, queue);

    return run_time ? run_time->mean_ms : (double)step->estimate_ms;
}

/* Weight of a new sample in the mean run time of a queue, once there are more
   samples than its inverse. */
#define RUN_TIME_SAMPLE_WEIGHT_MIN 0.05

static void
learn_queue_run_time(cs_fleet *fleet, const char *queue, double ms)
{
    struct queue_run_time *run_time =
        g_hash_table_lookup(fleet->queue_run_times, queue);

    if (!run_time) {
        run_time = g_new0(struct queue_run_time, 1);
        g_hash_table_insert(fleet->queue_run_times, g_strdup(queue), run_time);
    }
    if (run_time->sample_count > 0)
        reserve_learn(fleet->reserve, queue, ms, run_time->mean_ms);
    run_time->sample_count++;
    run_time->mean_ms +=
        (ms - run_time->mean_ms) *
        MAX(RUN_TIME_SAMPLE_WEIGHT_MIN, 1.0 / run_time->sample_count);
}

/* Returns whether the task ran in the rack of its step's data, if any. */
static bool
ran_near_data(cs_fleet *fleet, const struct task *task)
{
    const char *rack = task->step->spec->data_rack;

    return !*rack || worker_rack_number(fleet, rack) == task->worker->rack;
}

/* Returns the speed that determines the run time: a gang runs as long as its
   slowest member. */
static double
slowest_log_speed(const struct task *task)
{
    const struct step *step = task->step;
    double slowest = task->worker->speed.log_speed;
    uint32_t i;

    for (i = 0; step->spec->gang && i < step->spec->task_count; i++) {
        const struct worker *worker = step->tasks[i].worker;

        if (worker)
            slowest = MIN(slowest, worker->speed.log_speed);
    }
    return slowest;
}

static void
learn_from_run(cs_fleet *fleet, const struct task *task)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    double ms = (double)(now_us - task->started_us) / (double)CS_MS_US;

    /* The run time is only that of a whole task if the run began from the
       start and under this holder, and had its data near. */
    if (task->partial || task->checkpoint || ms <= 0 ||
        !ran_near_data(fleet, task))
        return;
    learn_queue_run_time(fleet, task->step->job->spec.queue,
                         ms * exp(slowest_log_speed(task)));
    if (!task->step->spec->gang && !task->speed_sampled)
        cs_speed_observe(&task->step->run_times, &task->worker->speed, ms,
                         now_us);
}

/*
 * The progress of a task lets its whole run time be extrapolated long before
 * its end. The members of a gang progress at their own workers' speeds and
 * wait for the others at 100 %, so that only progress below 100 % counts.
 */
#define SAMPLE_MIN_PERCENT 15

void
task_sample_speed(cs_fleet *fleet, struct task *task)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    double ms = (double)(now_us - task->started_us) / (double)CS_MS_US;

    if (task->speed_sampled || task->partial || task->step->spec->perpetual ||
        task->progress_percent < SAMPLE_MIN_PERCENT ||
        task->progress_percent >= 100 || ms <= 0 ||
        !ran_near_data(fleet, task))
        return;
    task->speed_sampled = true;
    cs_speed_observe(&task->step->run_times, &task->worker->speed,
                     ms * 100.0 / (double)task->progress_percent, now_us);
}

static void
finish_task(cs_fleet *fleet, struct task *task)
{
    struct step *step = task->step;

    learn_from_run(fleet, task);
    worker_record_success(task->worker);
    detach(fleet, task);
    task->state = TASK_DONE;
    step->done_count++;
    if (step->done_count == step->spec->task_count)
        step->job->steps_done++;
}

void
task_mark_done(struct task *task)
{
    struct step *step = task->step;

    task->state = TASK_DONE;
    step->waiting_count--;
    step->done_count++;
    if (step->done_count == step->spec->task_count)
        step->job->steps_done++;
}

/* Completes all members of a gang when the first has listed its end. */
static void
finish_gang(cs_fleet *fleet, struct step *step)
{
    uint32_t i;

    for (i = 0; i < step->spec->task_count; i++) {
        struct task *task = &step->tasks[i];

        if (task->state == TASK_WAITING) {
            /* Its run was considered lost before. */
            task_mark_done(task);
            progress_set_task_dirty(fleet, task);
        }
        else if (task->state != TASK_DONE) {
            worker_expect_end(fleet, task->worker);
            finish_task(fleet, task);
        }
    }
}

/* Stops and releases a task whose run is no longer needed. */
static void
abandon_run(cs_fleet *fleet, struct task *task)
{
    struct worker *worker = task->worker;
    char name[TASK_NAME_BYTES];

    if (!worker)
        return;
    task_name(name, task);
    if (worker_task_is_started(task))
        run_stop_unknown(fleet, worker, name, task->run);
    task_release(fleet, task);
}

static void
complete_late_task(cs_fleet *fleet, struct task *task, uint32_t run)
{
    if (task->state == TASK_DONE)
        return;
    abandon_run(fleet, task);
    task->run = MAX(task->run, run);
    task_mark_done(task);
    progress_set_task_dirty(fleet, task);
}

void
task_complete_late(cs_fleet *fleet, struct task *task, uint32_t run)
{
    struct step *step = task->step;
    char name[TASK_NAME_BYTES];
    uint32_t i;

    task_name(name, task);
    cs_log_event("end-seen-late", "task %s run %u is done, newest run %u",
                 name, run, task->run);
    fleet_increment_counter(fleet, "cs_ends_late_total");
    if (step->spec->gang) {
        for (i = 0; i < step->spec->task_count; i++)
            complete_late_task(fleet, &step->tasks[i], run);
    }
    else {
        complete_late_task(fleet, task, run);
    }
    job_update(fleet, step->job);
}

/* How long a task is not placed again on the worker where it has failed. It
   doubles with each failed run. No other worker may be able to run the task,
   and a step that has capacity has to run within 3 s. */
#define RETRY_PAUSE_FIRST_US (1000 * CS_MS_US)
#define RETRY_PAUSE_MAX_US (2500 * CS_MS_US)

static int64_t
retry_pause_us(uint32_t failures)
{
    return MIN(RETRY_PAUSE_FIRST_US << MIN(failures, 8U), RETRY_PAUSE_MAX_US);
}

static void
record_failure(cs_fleet *fleet, struct task *task)
{
    struct step *step = task->step;

    worker_record_failure(fleet, task->worker, step->job->spec.id);
    task->avoid_worker = task->worker;
    task->avoid_until_us =
        fleet_now(fleet).boot_us + retry_pause_us(task->failures);
    if (step->spec->gang) {
        if (step->last_failed_run == task->run)
            return;
        step->last_failed_run = task->run;
        step->failures++;
    }
    task->failures++;
}

void
step_stop_members(cs_fleet *fleet, struct step *step)
{
    uint32_t i;

    for (i = 0; i < step->spec->task_count; i++) {
        struct task *task = &step->tasks[i];

        switch (task->state) {
        case TASK_WAITING:
        case TASK_RECORDING: /* none of a gang starts before all are recorded
                              */
        case TASK_STOPPING:
        case TASK_DONE:
            break;
        case TASK_PLANNED:
            task_release(fleet, task);
            break;
        case TASK_STARTING:
        case TASK_RUNNING:
            run_stop(fleet, task);
            break;
        }
    }
}

void
task_end(cs_fleet *fleet, struct task *task, cs_run_outcome end,
         const char *checkpoint, const char *reason)
{
    struct step *step = task->step;
    struct job *job = step->job;

    task_set_checkpoint(task, checkpoint);
    run_log_end(fleet, task, end, reason);
    if (end == CS_OUTCOME_FAILED)
        record_failure(fleet, task);
    if (end != CS_OUTCOME_DONE || step->spec->perpetual) {
        task_release(fleet, task);
        if (step->spec->gang)
            step_stop_members(fleet, step);
    }
    else if (step->spec->gang) {
        finish_gang(fleet, step);
    }
    else {
        finish_task(fleet, task);
    }
    job_update(fleet, job);
}
