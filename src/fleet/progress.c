/*
 * The progress rows of a job. The store limits the size of a row, so a job
 * with many tasks has several: a row holds the same number of tasks each, in
 * the order of occurrence, step and index, and the first one also the state of
 * the job. Only rows that have changed are written.
 */
#include "fleet_internal.h"

#include <stdlib.h>

/* Tasks in a row, if the store's limit allows. */
#define ROW_TASKS_MAX 256
/* Upper bound of a task's record without its checkpoint: an array of six
   integers and two texts, one of them a worker's id. */
#define TASK_BYTES_MAX 256
/* The same without both texts. */
#define TASK_NUMBERS_BYTES 40
#define ROW_HEADER_BYTES 64
/* Limit of a row if the settings do not name one. */
#define DEFAULT_ROW_BYTES 65536

static uint32_t
tasks_per_occurrence(const struct job *job)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < job->spec.step_count; i++)
        count += job->spec.steps[i].task_count;
    /* Each job has a step, and each step a task. */
    return MAX(count, 1);
}

size_t
progress_max_row_bytes(const cs_fleet *fleet)
{
    int64_t row_bytes = fleet->state->settings.row_bytes;

    return row_bytes > 0 ? (size_t)row_bytes : DEFAULT_ROW_BYTES;
}

void
progress_init(struct job *job, uint32_t row_tasks)
{
    uint32_t total = tasks_per_occurrence(job) * job->occurrences;
    uint32_t i;

    g_free(job->rows);
    job->row_tasks = CLAMP(row_tasks, 1, CS_JOB_TOTAL_TASKS_MAX);
    job->row_count = (total + job->row_tasks - 1) / job->row_tasks;
    job->rows = g_new0(struct progress_row, job->row_count);
    for (i = 0; i < job->row_count; i++) {
        job->rows[i].job = job;
        job->rows[i].number = i;
    }
}

uint32_t
progress_default_row_tasks(const cs_fleet *fleet)
{
    size_t tasks = progress_max_row_bytes(fleet) / TASK_BYTES_MAX;

    return (uint32_t)CLAMP(tasks, 1, ROW_TASKS_MAX);
}

static void
set_row_dirty(cs_fleet *fleet, struct progress_row *row)
{
    if (row->dirty)
        return;
    row->dirty = true;
    if (!row->committing)
        g_queue_push_tail(&fleet->dirty_rows, row);
}

void
progress_set_dirty(cs_fleet *fleet, struct job *job)
{
    set_row_dirty(fleet, &job->rows[0]);
}

void
progress_set_task_dirty(cs_fleet *fleet, const struct task *task)
{
    const struct step *step = task->step;
    struct job *job = step->job;
    uint32_t position = step->first_task + task->index;

    set_row_dirty(fleet, &job->rows[position / job->row_tasks]);
}

bool
progress_is_recorded(const struct job *job)
{
    uint32_t i;

    for (i = 0; i < job->row_count; i++) {
        if (job->rows[i].dirty || job->rows[i].committing)
            return false;
    }
    return true;
}

uint32_t
progress_first_task(const struct job *job, uint32_t occurrence,
                    uint32_t step_number)
{
    uint32_t position = occurrence * tasks_per_occurrence(job);
    uint32_t i;

    for (i = 0; i < step_number; i++)
        position += job->spec.steps[i].task_count;
    return position;
}

void
progress_key(char out[CS_PROGRESS_KEY_BYTES], const struct progress_row *row)
{
    /* "." sorts after "!", so that the range of a job's first row, which ends
       with "!", holds no other row. */
    if (row->number == 0)
        g_strlcpy(out, row->job->spec.id, CS_PROGRESS_KEY_BYTES);
    else
        g_snprintf(out, CS_PROGRESS_KEY_BYTES, "%s.%u", row->job->spec.id,
                   row->number);
}

/* Reads the number of a row from the part of its key behind the job's id. */
static bool
parse_row_number(unsigned long *out, const char *text)
{
    char *end;

    *out = 0;
    if (!*text)
        return true;
    if (text[0] != '.' || !g_ascii_isdigit(text[1]))
        return false;
    *out = strtoul(text + 1, &end, 10);
    return !*end && *out > 0;
}

bool
progress_is_key(const char *key)
{
    char id[CS_JOB_ID_BYTES];
    unsigned long number;

    g_strlcpy(id, key, sizeof(id));
    return cs_job_id_is_valid(id) &&
           parse_row_number(&number, key + CS_JOB_ID_BYTES - 1);
}

struct progress_row *
progress_find_row(cs_fleet *fleet, const char *key)
{
    char id[CS_JOB_ID_BYTES];
    struct job *job;
    unsigned long number;

    g_strlcpy(id, key, sizeof(id));
    job = g_hash_table_lookup(fleet->jobs, id);
    if (!job || !parse_row_number(&number, key + strlen(id)))
        return NULL;
    return number < job->row_count ? &job->rows[number] : NULL;
}

GPtrArray *
progress_list_tasks(const struct progress_row *row)
{
    const struct job *job = row->job;
    uint32_t first = row->number * job->row_tasks;
    uint32_t last = first + job->row_tasks;
    uint32_t occurrence = first / tasks_per_occurrence(job);
    uint32_t position = progress_first_task(job, occurrence, 0);
    uint32_t i = occurrence * job->spec.step_count;
    GPtrArray *tasks = g_ptr_array_new();

    for (; i < job_total_steps(job) && position < last; i++) {
        uint32_t count = job->spec.steps[i % job->spec.step_count].task_count;
        uint32_t k = first > position ? first - position : 0;

        /* A step that is not due yet is NULL and has no tasks. */
        for (; job->steps[i] && k < count && position + k < last; k++)
            g_ptr_array_add(tasks, &job->steps[i]->tasks[k]);
        position += count;
    }
    return tasks;
}

/* Returns the bytes of a row that its tasks leave for unsettled starts and
   checkpoints. */
static size_t
bytes_available(const cs_fleet *fleet, const GPtrArray *tasks)
{
    size_t used = ROW_HEADER_BYTES;
    size_t limit = progress_max_row_bytes(fleet);
    guint i;

    for (i = 0; i < tasks->len; i++) {
        const struct task *task = g_ptr_array_index(tasks, i);

        if (task->run > 0)
            used += TASK_NUMBERS_BYTES +
                    (task->worker ? strlen(task->worker->id) : 0);
    }
    return limit > used ? limit - used : 0;
}

/* Returns the checkpoint to be recorded, or NULL. A task on a worker reports
   its checkpoint with the next heartbeat. */
static const char *
choose_checkpoint(const cs_fleet *fleet, const struct task *task,
                  size_t *available)
{
    size_t length;

    if (task->worker || !task->checkpoint)
        return NULL;
    length = strlen(task->checkpoint);
    if (length > *available) {
        /* The task starts over after a takeover. */
        fleet_increment_counter(fleet, "cs_checkpoints_unrecorded_total");
        return NULL;
    }
    *available -= length;
    return task->checkpoint;
}

/* Adds the unsettled starts of the tasks, which precede the checkpoints. */
static void
add_unsettled(const cs_fleet *fleet, const GPtrArray *tasks,
              cs_job_progress *progress, size_t *available)
{
    guint i;

    if (g_hash_table_size(fleet->unsettled_starts) == 0)
        return;
    for (i = 0; i < tasks->len; i++) {
        const struct task *task = g_ptr_array_index(tasks, i);

        if (task->run > 0)
            unsettled_add_to_record(fleet, task, progress, available);
    }
}

void
progress_encode(const cs_fleet *fleet, const struct progress_row *row,
                const GPtrArray *tasks, GByteArray *out)
{
    size_t available = bytes_available(fleet, tasks);
    const struct job *job = row->job;
    cs_job_progress progress;
    guint i;

    cs_job_progress_init(&progress);
    progress.state = job->state;
    progress.has_begun = job->has_begun;
    progress.ended_ms = job->ended_ms;
    progress.row_tasks = job->row_tasks;
    add_unsettled(fleet, tasks, &progress, &available);
    for (i = 0; i < tasks->len; i++) {
        const struct task *task = g_ptr_array_index(tasks, i);
        cs_task_progress record = {.occurrence = task->step->occurrence,
                                   .step = task->step->number,
                                   .index = task->index,
                                   .run = task->run,
                                   .failures = task->failures,
                                   .done = task->state == TASK_DONE,
                                   .worker =
                                       task->worker ? task->worker->id : NULL};

        if (task->run == 0)
            continue;
        record.checkpoint_data =
            (char *)choose_checkpoint(fleet, task, &available);
        cs_job_progress_add(&progress, &record);
    }
    cs_job_progress_encode(out, &progress);
    cs_job_progress_dispose(&progress);
}
