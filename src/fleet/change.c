/* What a change to the store contains: progress rows, the lease, and the rows
   of speeds and of shares. */
#include "ledger.h"

/* The store accepts at most 100 entries in a change. Each progress row takes
   two, a condition and a put or a removal. The three others are the condition
   of the epoch row and the puts of the lease and either of the speeds or of
   the shares. */
#define CHANGE_ENTRIES_MAX 100
#define CHANGE_ROWS_MAX ((CHANGE_ENTRIES_MAX - 3) / 2 - CHANGE_EXPIRED_MAX)
#define CHANGE_BYTES_MAX (128 * 1024)
/* Maximum progress rows that a change removes. */
#define CHANGE_EXPIRED_MAX 10

void
commit_init(struct commit *commit)
{
    memset(commit, 0, sizeof(*commit));
    commit->rows = g_ptr_array_new();
    commit->keys = g_ptr_array_new_with_free_func(g_free);
    commit->values =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    commit->puts = g_array_new(FALSE, TRUE, sizeof(cs_row));
    commit->conditions = g_array_new(FALSE, TRUE, sizeof(cs_row));
    commit->removals = g_array_new(FALSE, TRUE, sizeof(cs_row));
    commit->expired_rows = g_ptr_array_new();
    commit->expired_jobs = g_ptr_array_new();
}

void
commit_dispose(struct commit *commit)
{
    g_ptr_array_free(commit->rows, TRUE);
    g_ptr_array_free(commit->keys, TRUE);
    g_ptr_array_free(commit->values, TRUE);
    g_array_free(commit->puts, TRUE);
    g_array_free(commit->conditions, TRUE);
    g_array_free(commit->removals, TRUE);
    g_ptr_array_free(commit->expired_rows, TRUE);
    g_ptr_array_free(commit->expired_jobs, TRUE);
}

void
commit_reset(struct commit *commit)
{
    g_ptr_array_set_size(commit->rows, 0);
    g_ptr_array_set_size(commit->keys, 0);
    g_ptr_array_set_size(commit->values, 0);
    g_array_set_size(commit->puts, 0);
    g_array_set_size(commit->conditions, 0);
    g_array_set_size(commit->removals, 0);
    g_ptr_array_set_size(commit->expired_rows, 0);
    g_ptr_array_set_size(commit->expired_jobs, 0);
    commit->has_lease = false;
    commit->covers_ends = false;
    commit->unanswered = false;
    commit->first_attempt_us = 0;
    commit->backoff_us = 0;
}

static void
add_condition(struct commit *commit, const char *table, const char *key,
              uint64_t version)
{
    cs_row row = {
        .table = table, .part = CS_CELL_PART, .key = key, .version = version};

    g_array_append_val(commit->conditions, row);
}

static void
add_put(struct commit *commit, const char *table, const char *key,
        GByteArray *value)
{
    cs_row row = {.table = table,
                  .part = CS_CELL_PART,
                  .key = key,
                  .value = value->data,
                  .size_bytes = value->len};

    g_ptr_array_add(commit->values, value);
    g_array_append_val(commit->puts, row);
}

/* The key belongs to the change and is freed with it. */
static const char *
own_key(struct commit *commit, const struct progress_row *row)
{
    char *key = g_malloc(CS_PROGRESS_KEY_BYTES);

    progress_key(key, row);
    g_ptr_array_add(commit->keys, key);
    return key;
}

/* Returns the size of the value. */
static size_t
add_row(cs_fleet *fleet, struct progress_row *row)
{
    struct commit *commit = &fleet->commit;
    GByteArray *value = g_byte_array_new();
    GPtrArray *tasks = progress_list_tasks(row);
    const char *key = own_key(commit, row);
    guint i;

    for (i = 0; i < tasks->len; i++) {
        struct task *task = g_ptr_array_index(tasks, i);

        if (task->state == TASK_PLANNED)
            task->state = TASK_RECORDING;
    }
    progress_encode(fleet, row, tasks, value);
    g_ptr_array_free(tasks, TRUE);
    add_condition(commit, CS_TABLE_PROGRESS, key, row->version);
    add_put(commit, CS_TABLE_PROGRESS, key, value);
    g_ptr_array_add(commit->rows, row);
    row->dirty = false;
    row->committing = true;
    return value->len;
}

/* Returns whether the row has to be written when a job's single row is split:
   it is the first one, holds a task with a run, or is in the store already. */
static bool
belongs_to_split(const struct progress_row *row)
{
    GPtrArray *tasks;
    bool has_run = false;
    guint i;

    if (row->number == 0 || row->version > 0)
        return true;
    tasks = progress_list_tasks(row);
    for (i = 0; i < tasks->len; i++)
        has_run |= ((const struct task *)g_ptr_array_index(tasks, i))->run > 0;
    g_ptr_array_free(tasks, TRUE);
    return has_run;
}

static uint32_t
count_split_rows(const struct job *job)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < job->row_count; i++)
        count += belongs_to_split(&job->rows[i]);
    return count;
}

/* Replaces the single row of a former build by several, in one change. */
static size_t
add_split_rows(cs_fleet *fleet, struct job *job)
{
    size_t bytes = 0;
    uint32_t i;

    for (i = 0; i < job->row_count; i++) {
        g_queue_remove(&fleet->dirty_rows, &job->rows[i]);
        if (belongs_to_split(&job->rows[i]))
            bytes += add_row(fleet, &job->rows[i]);
    }
    job->single_row = false;
    return bytes;
}

/* Keeps the single row of a former build whose tasks are spread over more rows
   than a change holds. */
static void
keep_single_row(cs_fleet *fleet, struct job *job)
{
    uint64_t version = job->rows[0].version;
    uint32_t i;

    for (i = 0; i < job->row_count; i++)
        g_queue_remove(&fleet->dirty_rows, &job->rows[i]);
    progress_init(job, CS_JOB_TOTAL_TASKS_MAX);
    job->rows[0].version = version;
    job->single_row = false;
    progress_set_dirty(fleet, job);
}

static void
add_dirty_rows(cs_fleet *fleet)
{
    size_t bytes = 0;

    while (bytes < CHANGE_BYTES_MAX && !g_queue_is_empty(&fleet->dirty_rows)) {
        struct progress_row *row = g_queue_peek_head(&fleet->dirty_rows);
        uint32_t count = row->job->single_row ? count_split_rows(row->job) : 1;

        if (count > CHANGE_ROWS_MAX) {
            keep_single_row(fleet, row->job);
            continue;
        }
        if (fleet->commit.rows->len + count > CHANGE_ROWS_MAX)
            return;
        if (row->job->single_row) {
            bytes += add_split_rows(fleet, row->job);
            continue;
        }
        g_queue_pop_head(&fleet->dirty_rows);
        bytes += add_row(fleet, row);
    }
}

/* An attempt that is carried out late must not remove a newer row. */
static void
add_removal(struct commit *commit, const char *key, uint64_t version)
{
    cs_row row = {
        .table = CS_TABLE_PROGRESS, .part = CS_CELL_PART, .key = key};

    add_condition(commit, CS_TABLE_PROGRESS, key, version);
    g_array_append_val(commit->removals, row);
}

/* Adds the removal of a job's progress rows, the last one first, until the
   change is full. Returns whether all are removed then. */
static bool
add_expired_rows(struct commit *commit, struct job *job)
{
    uint32_t i = job->row_count;

    while (i-- > 0) {
        struct progress_row *row = &job->rows[i];

        if (i > 0 && row->version == 0)
            continue;
        if (commit->expired_rows->len >= CHANGE_EXPIRED_MAX)
            return false;
        g_ptr_array_add(commit->expired_rows, row);
        add_removal(commit, own_key(commit, row), row->version);
    }
    return true;
}

/*
 * Adds the removal of the progress rows of jobs whose job rows are removed.
 * Once all rows of a job are removed the job is freed.
 */
static void
add_expired(cs_fleet *fleet)
{
    struct commit *commit = &fleet->commit;

    while (!g_queue_is_empty(&fleet->expired_progress)) {
        struct job *job = g_queue_peek_head(&fleet->expired_progress);

        if (!add_expired_rows(commit, job))
            return;
        g_queue_pop_head(&fleet->expired_progress);
        g_ptr_array_add(commit->expired_jobs, job);
    }
}

static void
add_orphans(cs_fleet *fleet)
{
    struct commit *commit = &fleet->commit;

    while (commit->removals->len < CHANGE_EXPIRED_MAX &&
           !g_queue_is_empty(&fleet->orphan_rows)) {
        struct orphan_row *orphan = g_queue_pop_head(&fleet->orphan_rows);
        char *key = g_strdup(orphan->key);

        g_ptr_array_add(commit->keys, key);
        add_removal(commit, key, orphan->version);
        g_free(orphan);
    }
}

static void
add_lease(cs_fleet *fleet)
{
    GByteArray *value = g_byte_array_new();

    tenure_encode_lease(fleet, value);
    add_put(&fleet->commit, CS_TABLE_CELL, LEASE_KEY, value);
    fleet->commit.has_lease = true;
    /* A successor does not wait for a holder that has released the cell. */
    if (fleet->release_requested)
        extension_end(fleet);
}

/* Returns whether the row of the shares was due. */
static bool
add_shares(cs_fleet *fleet)
{
    GByteArray *value = g_byte_array_new();

    if (!ledger_encode_due(fleet, value)) {
        g_byte_array_unref(value);
        return false;
    }
    add_put(&fleet->commit, CS_TABLE_CELL, LEDGER_KEY, value);
    return true;
}

static void
add_speeds(cs_fleet *fleet)
{
    GByteArray *value = g_byte_array_new();
    struct commit *commit = &fleet->commit;
    uint32_t group;

    if (!speeds_encode_due(fleet, &group, value)) {
        g_byte_array_unref(value);
        return;
    }
    g_snprintf(commit->speed_key, sizeof(commit->speed_key), "%u", group);
    add_put(commit, CS_TABLE_SPEEDS, commit->speed_key, value);
}

/* Marks all ends processed so far as covered by the change being built. */
static void
mark_ends_committing(cs_fleet *fleet)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        worker->ends_committing = worker->ends_processed;
    }
}

void
commit_build(cs_fleet *fleet)
{
    struct commit *commit = &fleet->commit;
    int64_t now_us = fleet_now(fleet).boot_us;

    commit_reset(commit);
    add_condition(commit, CS_TABLE_CELL, EPOCH_KEY, fleet->epoch_version);
    add_dirty_rows(fleet);
    if (now_us >= fleet->next_renewal_us || fleet->release_requested)
        add_lease(fleet);
    add_expired(fleet);
    add_orphans(fleet);
    /* Speeds wait for the next change, so that the change stays small. */
    if (!add_shares(fleet))
        add_speeds(fleet);
    if (g_queue_is_empty(&fleet->dirty_rows)) {
        commit->covers_ends = true;
        mark_ends_committing(fleet);
    }
}
