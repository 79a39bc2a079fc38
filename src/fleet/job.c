/*
 * The holder's in-memory jobs with their steps and tasks: creation, recovery
 * from records, end, and removal after their retention.
 */
#include "fleet_internal.h"

#include <inttypes.h>
#include <stdlib.h>

/* Part of the memory of the VM that the tasks of all jobs may take. */
#define TASKS_MEMORY_DIVISOR 3
/* Of a checkpoint, with the overhead of its allocation. */
#define CHECKPOINT_BYTES 64
/* Calls about the tasks of an ended job have ended after this time. */
#define ENDED_STEPS_MS 30000
/* The largest step always fits. */
#define TASKS_MIN (2 * CS_JOB_TASKS_MAX)
/* Steps with more tasks than this, the longest gang, leave a quarter of the
   room to others. */
#define LARGE_STEP_TASKS 512

uint64_t
job_max_tasks(int64_t memory_bytes)
{
    if (memory_bytes <= 0)
        return UINT64_MAX;
    return MAX((uint64_t)memory_bytes / TASKS_MEMORY_DIVISOR /
                   (sizeof(struct task) + CHECKPOINT_BYTES),
               TASKS_MIN);
}

/* Returns whether the tasks of a further step fit into the memory. */
static bool
has_room(const cs_fleet *fleet, uint32_t task_count)
{
    uint64_t max_tasks = fleet->max_tasks;

    /* The tasks that have begun are read after the jobs, and always kept. */
    if (fleet->tenure == TENURE_LOADING)
        max_tasks /= 2;
    if (task_count > LARGE_STEP_TASKS)
        max_tasks -= max_tasks / 4;
    return fleet->task_count + task_count <= max_tasks;
}

bool
job_is_final(const struct job *job)
{
    return cs_progress_is_final(job->state);
}

void
job_note_begun(cs_fleet *fleet, struct job *job)
{
    if (job->has_begun)
        return;
    job->has_begun = true;
    cs_log_event("job-begun",
                 "job %s queue %s, accepted %" PRId64 " ms before",
                 job->spec.id, job->spec.queue,
                 fleet_now(fleet).wall_us / CS_MS_US - job->spec.accepted_ms);
}

bool
job_is_waiting(const struct job *job)
{
    return !job->has_begun && job->unverified_tasks == 0;
}

uint32_t
job_total_steps(const struct job *job)
{
    return job->occurrences * job->spec.step_count;
}

struct job *
job_add(cs_fleet *fleet, cs_job_spec *spec)
{
    struct job *job = g_new0(struct job, 1);

    job->fleet = fleet;
    job->spec = *spec;
    job->sequence = ++fleet->next_sequence;
    fleet->last_submission_ms =
        MAX(fleet->last_submission_ms, spec->accepted_ms);
    job->occurrences = MAX(spec->repeats, 1);
    job_terms_init(fleet, job);
    job->steps = g_new0(struct step *, job_total_steps(job));
    progress_init(job, progress_default_row_tasks(fleet));
    g_hash_table_insert(fleet->jobs, job->spec.id, job);
    g_ptr_array_add(fleet->active_jobs, job);
    job_create_due_steps(fleet, job, fleet_now(fleet).wall_us / CS_MS_US);
    return job;
}

static void
step_free(struct step *step)
{
    uint32_t i;

    if (!step)
        return;
    for (i = 0; i < step->spec->task_count; i++)
        g_free(step->tasks[i].checkpoint);
    step->job->fleet->task_count -= step->spec->task_count;
    g_free(step->tasks);
    g_free(step->reserved_workers);
    advice_free(step->advice);
    g_free(step);
}

void
job_free(gpointer data)
{
    struct job *job = data;
    uint32_t i;

    for (i = 0; i < job_total_steps(job); i++)
        step_free(job->steps[i]);
    g_free(job->steps);
    g_free(job->rows);
    newer_job_free(job->newer);
    cs_job_spec_dispose(&job->spec);
    g_free(job);
}

/* Returns a step of an occurrence, creating it if necessary. */
static struct step *
ensure_step(struct job *job, uint32_t occurrence, uint32_t number)
{
    struct step **slot =
        &job->steps[occurrence * job->spec.step_count + number];
    struct step *step;
    uint32_t i;

    if (*slot)
        return *slot;
    step = g_new0(struct step, 1);
    step->job = job;
    step->spec = &job->spec.steps[number];
    step->occurrence = occurrence;
    step->number = number;
    step->first_task = progress_first_task(job, occurrence, number);
    step->waiting_count = step->spec->task_count;
    job->fleet->task_count += step->spec->task_count;
    step->tasks = g_new0(struct task, step->spec->task_count);
    for (i = 0; i < step->spec->task_count; i++) {
        step->tasks[i].step = step;
        step->tasks[i].index = i;
    }
    *slot = step;
    return step;
}

void
job_create_due_steps(cs_fleet *fleet, struct job *job, int64_t wall_ms)
{
    uint32_t k;
    uint32_t s;

    for (k = 0; k < job->occurrences; k++) {
        if (job->spec.repeats > 0 &&
            wall_ms < job->spec.start_ms + k * job->spec.interval_ms)
            return;
        for (s = 0; s < job->spec.step_count; s++) {
            if (!job->steps[k * job->spec.step_count + s] &&
                !has_room(fleet, job->spec.steps[s].task_count)) {
                /* Later steps may depend on this one and must not take the
                   room that it needs. */
                fleet->deferred_steps++;
                return;
            }
            ensure_step(job, k, s);
        }
    }
}

/* Frees the tasks of jobs whose end is recorded and that no call is about. */
static void
free_ended_steps(cs_fleet *fleet, int64_t wall_ms)
{
    guint i;
    uint32_t k;

    for (i = 0; i < fleet->final_jobs->len; i++) {
        struct job *job = g_ptr_array_index(fleet->final_jobs, i);

        if (wall_ms - job->ended_ms < ENDED_STEPS_MS ||
            job->active_tasks > 0 || !progress_is_recorded(job))
            continue;
        for (k = 0; k < job_total_steps(job); k++)
            g_clear_pointer(&job->steps[k], step_free);
    }
}

void
job_create_all_due_steps(cs_fleet *fleet, int64_t wall_ms)
{
    bool were_deferred = fleet->deferred_steps > 0;
    guint i;

    if (were_deferred)
        free_ended_steps(fleet, wall_ms);
    fleet->deferred_steps = 0;
    for (i = 0; i < fleet->active_jobs->len; i++)
        job_create_due_steps(fleet, g_ptr_array_index(fleet->active_jobs, i),
                             wall_ms);
    *fleet->deferred_gauge = fleet->deferred_steps;
    if (were_deferred != (fleet->deferred_steps > 0))
        cs_log_event(were_deferred ? "tasks-have-room" : "tasks-deferred",
                     "%" PRIu64 " tasks of %u jobs, room for %" PRIu64
                     ", %u steps wait for room",
                     fleet->task_count, fleet->active_jobs->len,
                     fleet->max_tasks, fleet->deferred_steps);
}

bool
job_step_is_ready(const struct job *job, const struct step *step)
{
    uint32_t s;

    for (s = 0; s < step->number; s++) {
        const struct step *earlier =
            job->steps[step->occurrence * job->spec.step_count + s];

        if (!(step->spec->predecessors >> s & 1))
            continue;
        if (!earlier || earlier->done_count < earlier->spec->task_count)
            return false;
    }
    return true;
}

/*
 * Stops are not recorded. Runs that have neither failed nor succeeded count as
 * stopped, also those that have lapsed or were not started, so that a takeover
 * lets no step be stopped more often.
 */
static void
restore_stops(struct step *step, const cs_task_progress *record)
{
    /* The newest run is executing or has succeeded. */
    uint32_t other = record->failures + (record->worker[0] || record->done);

    if (record->run > other)
        step->preemption.stops =
            MAX(step->preemption.stops, record->run - other);
}

static void
restore_task(cs_fleet *fleet, struct job *job, const cs_task_progress *record)
{
    struct step *step;
    struct task *task;

    if (record->occurrence >= job->occurrences ||
        record->step >= job->spec.step_count ||
        record->index >= job->spec.steps[record->step].task_count) {
        cs_log_event("progress-unreadable", "job %s: no task %u.%u.%u",
                     job->spec.id, record->occurrence, record->step,
                     record->index);
        return;
    }
    step = ensure_step(job, record->occurrence, record->step);
    task = &step->tasks[record->index];
    /* A second record of a task would place it twice. */
    if (task->run > 0)
        return;
    task->failures = record->failures;
    task_set_checkpoint(task, record->checkpoint_data);
    /* Refused starts have run numbers, too. */
    job->has_begun = job->has_begun || record->done || record->failures > 0 ||
                     record->checkpoint_data[0];
    if (record->worker[0])
        task_place(fleet, task, worker_get(fleet, record->worker),
                   record->run);
    task->run = record->run;
    restore_stops(step, record);
    if (record->worker[0]) {
        task->state = job_is_final(job) ? TASK_STOPPING : TASK_STARTING;
        task->adopted = true;
        job->unverified_tasks++;
        task->partial = true;
        task->started_us = fleet_now(fleet).boot_us;
    }
    else if (record->done) {
        task_mark_done(task);
    }
    if (step->spec->gang)
        step->failures += record->failures;
}

void
job_restore_state(cs_fleet *fleet, struct job *job,
                  const cs_job_progress *progress)
{
    bool was_final = job_is_final(job);

    job->state = progress->state;
    job->ended_ms = progress->ended_ms;
    if (progress->row_tasks > 0)
        progress_init(job, progress->row_tasks);
    else
        job->single_row = job->row_count > 1;
    if (job_is_final(job) && !was_final) {
        g_ptr_array_remove(fleet->active_jobs, job);
        g_ptr_array_add(fleet->final_jobs, job);
    }
}

void
job_restore_tasks(cs_fleet *fleet, struct job *job,
                  const cs_job_progress *progress)
{
    guint i;

    job->has_begun = job->has_begun || progress->has_begun;
    for (i = 0; i < progress->tasks->len; i++)
        restore_task(fleet, job,
                     &g_array_index(progress->tasks, cs_task_progress, i));
    for (i = 0; i < progress->unsettled->len; i++)
        unsettled_restore(
            fleet, job->spec.id,
            &g_array_index(progress->unsettled, cs_unsettled_start, i));
}

static void
finish_job(cs_fleet *fleet, struct job *job, cs_progress_state state)
{
    uint32_t i;
    uint32_t k;

    job->state = state;
    job->ended_ms = fleet_now(fleet).wall_us / CS_MS_US;
    progress_set_dirty(fleet, job);
    g_ptr_array_remove(fleet->active_jobs, job);
    g_ptr_array_add(fleet->final_jobs, job);
    cs_log_event("job-ended", "job %s queue %s state %d after %" PRId64 " ms",
                 job->spec.id, job->spec.queue, (int)state,
                 job->ended_ms - job->spec.accepted_ms);
    for (i = 0; i < job_total_steps(job); i++) {
        struct step *step = job->steps[i];

        for (k = 0; step && k < step->spec->task_count; k++) {
            struct task *task = &step->tasks[k];

            if (task->state == TASK_PLANNED)
                task_release(fleet, task);
            else if (task->worker && task->state != TASK_RECORDING)
                run_stop(fleet, task);
        }
    }
    fleet->cycle_requested = true;
}

void
job_cancel(cs_fleet *fleet, struct job *job)
{
    if (job->spec.cancelled)
        return;
    job->spec.cancelled = true;
    if (!fleet->progress_feed.loaded || job_is_final(job))
        return;
    finish_job(fleet, job, CS_PROGRESS_CANCELLED);
}

void
job_finish_cancelled(cs_fleet *fleet)
{
    guint i = fleet->active_jobs->len;

    while (i-- > 0) {
        struct job *job = g_ptr_array_index(fleet->active_jobs, i);

        if (job->spec.cancelled)
            finish_job(fleet, job, CS_PROGRESS_CANCELLED);
    }
}

static bool
step_is_exhausted(const struct step *step)
{
    uint32_t attempts = step->job->max_attempts;
    uint32_t i;

    if (step->spec->perpetual)
        return false;
    if (step->spec->gang)
        return step->failures >= attempts;
    for (i = 0; i < step->spec->task_count; i++) {
        if (step->tasks[i].failures >= attempts &&
            step->tasks[i].state != TASK_DONE)
            return true;
    }
    return false;
}

/* Logs why a job fails, with what decided on it. */
static void
log_exhausted(const cs_fleet *fleet, const struct step *step)
{
    const struct job *job = step->job;
    const cs_fleet_config *config = fleet->state->config;
    uint32_t failures = step->failures;
    uint32_t i;

    for (i = 0; i < step->spec->task_count; i++)
        failures = MAX(failures, step->tasks[i].failures);
    cs_log_event("job-exhausted",
                 "job %s step %u.%u: %u failed runs of a task, %u attempts, "
                 "queue %s %s configuration version %" PRIu64,
                 job->spec.id, step->occurrence, step->number, failures,
                 job->max_attempts, job->spec.queue,
                 job_queue(fleet, job) ? "in" : "not in",
                 config ? config->version : 0);
}

void
job_update(cs_fleet *fleet, struct job *job)
{
    uint32_t i;

    if (job_is_final(job))
        return;
    if (job->steps_done == job_total_steps(job)) {
        finish_job(fleet, job, CS_PROGRESS_COMPLETED);
        return;
    }
    for (i = 0; i < job_total_steps(job); i++) {
        if (job->steps[i] && step_is_exhausted(job->steps[i])) {
            log_exhausted(fleet, job->steps[i]);
            finish_job(fleet, job, CS_PROGRESS_FAILED);
            return;
        }
    }
}

void
job_update_all(cs_fleet *fleet)
{
    guint i = fleet->active_jobs->len;

    while (i-- > 0)
        job_update(fleet, g_ptr_array_index(fleet->active_jobs, i));
}

void
task_name(char *out, const struct task *task)
{
    g_snprintf(out, TASK_NAME_BYTES, "%s.%u.%u.%u", task->step->job->spec.id,
               task->step->occurrence, task->step->number, task->index);
}

static bool
parse_number(const char **cursor, uint32_t *out)
{
    char *end;
    unsigned long value;

    if (**cursor != '.' || !g_ascii_isdigit((*cursor)[1]))
        return false;
    value = strtoul(*cursor + 1, &end, 10);
    *out = (uint32_t)value;
    *cursor = end;
    return value < UINT32_MAX;
}

struct task *
job_find_task(cs_fleet *fleet, const char *name)
{
    char id[CS_JOB_ID_BYTES];
    const char *cursor = name;
    struct job *job;
    struct step *step;
    uint32_t occurrence;
    uint32_t number;
    uint32_t index;

    if (strlen(name) < CS_JOB_ID_BYTES)
        return NULL;
    g_strlcpy(id, name, sizeof(id));
    cursor += CS_JOB_ID_BYTES - 1;
    job = g_hash_table_lookup(fleet->jobs, id);
    if (!job || !parse_number(&cursor, &occurrence) ||
        !parse_number(&cursor, &number) || !parse_number(&cursor, &index) ||
        *cursor)
        return NULL;
    if (occurrence >= job->occurrences || number >= job->spec.step_count ||
        index >= job->spec.steps[number].task_count)
        return NULL;
    step = job->steps[occurrence * job->spec.step_count + number];
    return step ? &step->tasks[index] : NULL;
}
