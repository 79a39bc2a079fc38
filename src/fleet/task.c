/* The life of a task: placed, ended, waiting again. */
#include "fleet_internal.h"

#include <math.h>

/* Core-seconds that an accelerator-second counts for when thrown away. */
#define ACCELERATOR_CORES 8.0

/* Cores, with accelerators counted as some. */
static double
demand_cores(const cs_demand *demand)
{
    return (double)demand->cpu_milli / 1000.0 +
           ACCELERATOR_CORES * (double)demand->accelerators;
}

double
task_loss(const cs_fleet *fleet, const struct task *task, int64_t now_us)
{
    double restore_s =
        (double)fleet->board->settings.bounds.restore_ms / 1000.0;
    double run_s = 0;

    if (task->started_us)
        run_s = (double)(now_us - task->started_us) / (double)CS_SEC_US;
    /* A stop makes a checkpoint; the restore is lost. */
    if (task->step->spec->checkpoint)
        run_s = MIN(run_s, restore_s);
    return run_s * demand_cores(&task->step->spec->demand);
}

void
task_save(struct task *task, const char *saved)
{
    if (!saved || !*saved || g_strcmp0(task->saved, saved) == 0)
        return;
    g_free(task->saved);
    task->saved = g_strdup(saved);
}

static bool
is_urgent(const cs_fleet *fleet, const struct task *task)
{
    const cs_queue_config *queue = NULL;

    if (fleet->board->config)
        queue = cs_fleet_config_queue(fleet->board->config,
                                      task->step->job->spec.queue);
    return queue && queue->priority == 0;
}

void
task_place(cs_fleet *fleet, struct task *task, struct worker *worker,
           uint32_t run)
{
    task->state = TASK_PLANNED;
    task->worker = worker;
    task->run = run;
    task->percent = 0;
    task->started_us = 0;
    task->confirmed_us = 0;
    task->urgent = is_urgent(fleet, task);
    if (task->urgent)
        fleet->headroom.used += task->step->spec->demand.accelerators;
    task->adopted = false;
    task->partial = task->saved != NULL;
    task->sampled = false;
    task->doubtful = false;
    task->stop_open = false;
    task->stop_answered = false;
    task->stop_sent_us = 0;
    task->step->waiting--;
    task->step->job->active++;
    cs_demand_add(&worker->used, &task->step->spec->demand);
    g_ptr_array_add(worker->tasks, task);
}

static void
detach(cs_fleet *fleet, struct task *task)
{
    struct worker *worker = task->worker;

    g_ptr_array_remove_fast(worker->tasks, task);
    cs_demand_subtract(&worker->used, &task->step->spec->demand);
    if (task->urgent)
        fleet->headroom.used -= task->step->spec->demand.accelerators;
    task->urgent = false;
    task->worker = NULL;
    task->step->job->active--;
    job_set_dirty(fleet, task->step->job);
    fleet->turn_wanted = true;
}

void
task_release(cs_fleet *fleet, struct task *task)
{
    detach(fleet, task);
    task->state = TASK_WAITING;
    task->step->waiting++;
}

uint32_t
step_next_run(const struct step *step)
{
    uint32_t run = 0;
    uint32_t i;

    for (i = 0; i < step->spec->task_count; i++)
        run = MAX(run, step->tasks[i].run);
    return run + 1;
}

double
fleet_expected_ms(const cs_fleet *fleet, const char *queue,
                  const cs_job_step *step)
{
    const struct duration *d = g_hash_table_lookup(fleet->durations, queue);

    return d ? d->mean_ms : (double)step->estimate_ms;
}

/* Weight of a new sample of a queue's run time, once there are many. */
#define DURATION_WEIGHT 0.05
static void
learn_duration(cs_fleet *fleet, const char *queue, double ms)
{
    struct duration *d = g_hash_table_lookup(fleet->durations, queue);

    if (!d) {
        d = g_new0(struct duration, 1);
        g_hash_table_insert(fleet->durations, g_strdup(queue), d);
    }
    d->count++;
    d->mean_ms += (ms - d->mean_ms) * MAX(DURATION_WEIGHT, 1.0 / d->count);
}

/* Whether the task runs where its step's data is, if that matters. */
static bool
is_near(cs_fleet *fleet, const struct task *task)
{
    const char *rack = task->step->spec->data_rack;

    return !*rack || worker_rack(fleet, rack) == task->worker->rack;
}

/* A gang ends with its slowest member. */
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
learn(cs_fleet *fleet, const struct task *task)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    double ms = (double)(now_us - task->started_us) / (double)CS_MS_US;

    /* What resumed from a checkpoint or began elsewhere tells nothing. */
    if (task->partial || task->saved || ms <= 0 || !is_near(fleet, task))
        return;
    learn_duration(fleet, task->step->job->spec.queue,
                   ms * exp(slowest_log_speed(task)));
    if (!task->step->spec->gang && !task->sampled)
        cs_speed_observe(&task->step->times, &task->worker->speed, ms, now_us);
}

/*
 * Progress tells a task's whole run time long before its end. Members of a
 * gang progress each at its worker's speed and wait for the others at 100.
 */
#define SAMPLE_PERCENT 15

void
task_progressed(cs_fleet *fleet, struct task *task)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    double ms = (double)(now_us - task->started_us) / (double)CS_MS_US;

    if (task->sampled || task->partial || task->step->spec->perpetual ||
        task->percent < SAMPLE_PERCENT || task->percent >= 100 || ms <= 0 ||
        !is_near(fleet, task))
        return;
    task->sampled = true;
    cs_speed_observe(&task->step->times, &task->worker->speed,
                     ms * 100.0 / (double)task->percent, now_us);
}

static void
finish_task(cs_fleet *fleet, struct task *task)
{
    struct step *step = task->step;

    learn(fleet, task);
    worker_succeeded(task->worker);
    detach(fleet, task);
    task->state = TASK_DONE;
    step->done++;
    if (step->done == step->spec->task_count)
        step->job->steps_done++;
}

void
task_mark_done(struct task *task)
{
    struct step *step = task->step;

    task->state = TASK_DONE;
    step->waiting--;
    step->done++;
    if (step->done == step->spec->task_count)
        step->job->steps_done++;
}

/* One member's end stands for all. */
static void
step_finish_gang(cs_fleet *fleet, struct step *step)
{
    uint32_t i;

    for (i = 0; i < step->spec->task_count; i++) {
        struct task *task = &step->tasks[i];

        if (task->state == TASK_WAITING) {
            /* Its end was taken for a loss before. */
            task_mark_done(task);
        }
        else if (task->state != TASK_DONE) {
            worker_expect_end(fleet, task->worker);
            finish_task(fleet, task);
        }
    }
    job_set_dirty(fleet, step->job);
}

/* Takes a task off its worker, whose run is no longer needed. */
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
finish_late(cs_fleet *fleet, struct task *task)
{
    if (task->state == TASK_DONE)
        return;
    abandon_run(fleet, task);
    task_mark_done(task);
}

void
task_done_late(cs_fleet *fleet, struct task *task, uint32_t run)
{
    struct step *step = task->step;
    char name[TASK_NAME_BYTES];
    uint32_t i;

    task_name(name, task);
    cs_log_event("end-seen-late", "task %s run %u is done, newest run %u",
                 name, run, task->run);
    fleet_count(fleet, "cs_ends_late_total");
    if (step->spec->gang) {
        for (i = 0; i < step->spec->task_count; i++)
            finish_late(fleet, &step->tasks[i]);
    }
    else {
        finish_late(fleet, task);
    }
    job_set_dirty(fleet, step->job);
    job_update(fleet, step->job);
}

static void
note_failure(cs_fleet *fleet, struct task *task)
{
    struct step *step = task->step;

    worker_failed(fleet, task->worker, step->job->spec.id);
    task->avoid = task->worker;
    if (step->spec->gang) {
        if (step->failed_run == task->run)
            return;
        step->failed_run = task->run;
        step->failures++;
    }
    task->failures++;
}

void
step_break(cs_fleet *fleet, struct step *step)
{
    uint32_t i;

    for (i = 0; i < step->spec->task_count; i++) {
        struct task *task = &step->tasks[i];

        switch (task->state) {
        case TASK_WAITING:
        case TASK_RECORDING: /* a gang is recorded whole, before any starts */
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

static void
log_end(const cs_fleet *fleet, const struct task *task, cs_run_end how)
{
    static const char *const words[] = {"done",   "failed", "stopped",
                                        "lapsed", "broken", "alone"};
    char name[TASK_NAME_BYTES];

    if (how == CS_END_DONE)
        return;
    task_name(name, task);
    cs_log_event("run-ended",
                 "task %s run %u worker %s %s at %" PRId64
                 "%%, %.0f core-seconds lost, queue %s",
                 name, task->run, task->worker->id, words[how], task->percent,
                 task_loss(fleet, task, fleet_now(fleet).boot_us),
                 task->step->job->spec.queue);
}

void
task_ended(cs_fleet *fleet, struct task *task, cs_run_end how,
           const char *saved)
{
    struct step *step = task->step;
    struct job *job = step->job;

    task_save(task, saved);
    log_end(fleet, task, how);
    if (how == CS_END_FAILED)
        note_failure(fleet, task);
    if (how != CS_END_DONE || step->spec->perpetual) {
        task_release(fleet, task);
        if (step->spec->gang)
            step_break(fleet, step);
    }
    else if (step->spec->gang) {
        step_finish_gang(fleet, step);
    }
    else {
        finish_task(fleet, task);
    }
    job_update(fleet, job);
}
