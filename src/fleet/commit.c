/*
 * The holder's writes to the store.
 *
 * A change is a transaction of the store. There is one in flight at a time, on
 * condition that the epoch row and the version of each progress row are as
 * expected. The rows of a large job may be written by several changes, in the
 * order in which they became out of date. What depends on a record happens
 * only after the store has confirmed it: the start of a recorded run and the
 * acknowledgement of an end. A change without an answer is repeated unchanged
 * until its outcome is known, so that at most one of its copies takes effect.
 */
#include "ledger.h"

/* The store accepts at most 100 entries in a change. Each progress row takes
   two, a condition and a put. The three others are the condition of the epoch
   row and the puts of the lease and either of the speeds or of the shares. */
#define CHANGE_ENTRIES_MAX 100
#define CHANGE_ROWS_MAX ((CHANGE_ENTRIES_MAX - 3) / 2 - CHANGE_EXPIRED_MAX)
#define CHANGE_BYTES_MAX (128 * 1024)
/* Adds to the timeout of a change the time that a VM with a small share of a
   core, and the store, take for its size. */
#define SEND_BYTES_PER_MS 2048
#define RENEWAL_INTERVAL_US (450 * CS_MS_US)
/* Maximum progress rows of expired jobs that a change removes. */
#define CHANGE_EXPIRED_MAX 10
#define BACKOFF_FIRST_US (50 * CS_MS_US)
#define BACKOFF_MAX_US (500 * CS_MS_US)

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

static void
reset_change(struct commit *commit)
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

void
commit_clear(cs_fleet *fleet)
{
    reset_change(&fleet->commit);
    fleet->commit.pending = false;
    fleet->commit.next_attempt_us = 0;
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

/* Adds all rows of a job at once. They replace the single one of a former
   build, whose size bounds their number. */
static size_t
add_all_rows(cs_fleet *fleet, struct job *job)
{
    size_t bytes = 0;
    uint32_t i;

    for (i = 0; i < job->row_count; i++) {
        g_queue_remove(&fleet->dirty_rows, &job->rows[i]);
        bytes += add_row(fleet, &job->rows[i]);
    }
    job->single_row = false;
    return bytes;
}

/* Returns whether the next row, or all rows that go with it, fit. */
static bool
has_space(const struct commit *commit, const struct progress_row *row)
{
    uint32_t count = row->job->single_row ? row->job->row_count : 1;

    return commit->rows->len == 0 ||
           commit->rows->len + count <= CHANGE_ROWS_MAX;
}

static void
add_dirty_rows(cs_fleet *fleet)
{
    size_t bytes = 0;

    while (bytes < CHANGE_BYTES_MAX && !g_queue_is_empty(&fleet->dirty_rows)) {
        struct progress_row *row = g_queue_peek_head(&fleet->dirty_rows);

        if (!has_space(&fleet->commit, row))
            return;
        if (row->job->single_row) {
            bytes += add_all_rows(fleet, row->job);
            continue;
        }
        g_queue_pop_head(&fleet->dirty_rows);
        bytes += add_row(fleet, row);
    }
}

static void
add_removal(struct commit *commit, const char *table, const char *key)
{
    cs_row row = {.table = table, .part = CS_CELL_PART, .key = key};

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
        add_removal(commit, CS_TABLE_PROGRESS, own_key(commit, row));
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
add_lease(cs_fleet *fleet)
{
    GByteArray *value = g_byte_array_new();

    tenure_encode_lease(fleet, value);
    add_put(&fleet->commit, CS_TABLE_CELL, LEASE_KEY, value);
    fleet->commit.has_lease = true;
    /* A successor does not wait for a holder that has released the cell. */
    if (fleet->release_requested)
        fleet->extend_until_us = 0;
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

static bool
has_unrecorded_ends(const cs_fleet *fleet)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (worker->ends_processed > worker->ends_recorded)
            return true;
    }
    return false;
}

static void
build_change(cs_fleet *fleet)
{
    struct commit *commit = &fleet->commit;
    int64_t now_us = fleet_now(fleet).boot_us;

    reset_change(commit);
    add_condition(commit, CS_TABLE_CELL, EPOCH_KEY, fleet->epoch_version);
    add_dirty_rows(fleet);
    if (now_us >= fleet->next_renewal_us || fleet->release_requested)
        add_lease(fleet);
    add_expired(fleet);
    /* Speeds wait for the next change, so that the change stays small. */
    if (!add_shares(fleet))
        add_speeds(fleet);
    if (g_queue_is_empty(&fleet->dirty_rows)) {
        commit->covers_ends = true;
        mark_ends_committing(fleet);
    }
}

/* Returns whether some members of a gang are not recorded yet: their rows may
   be written by several changes, and none of a gang starts before all. */
static bool
waits_for_members(const struct step *step)
{
    uint32_t k;

    if (!step->spec->gang || job_is_final(step->job))
        return false;
    for (k = 0; k < step->spec->task_count; k++) {
        const struct task *task = &step->tasks[k];

        if (task->state == TASK_PLANNED ||
            (task->state == TASK_RECORDING && !task->recorded))
            return true;
    }
    return false;
}

static void
start_recorded(cs_fleet *fleet, struct step *step)
{
    uint32_t k;

    if (waits_for_members(step))
        return;
    start_gate_release(fleet, step);
    for (k = 0; k < step->spec->task_count; k++) {
        struct task *task = &step->tasks[k];

        if (task->state != TASK_RECORDING || !task->recorded)
            continue;
        if (job_is_final(step->job))
            task_release(fleet, task);
        else
            run_start(fleet, task);
    }
}

static void
row_committed(cs_fleet *fleet, struct progress_row *row, uint64_t version)
{
    GPtrArray *tasks = progress_list_tasks(row);
    struct step *step = NULL;
    guint i;

    row->committing = false;
    row->version = version;
    if (row->dirty)
        g_queue_push_tail(&fleet->dirty_rows, row);
    for (i = 0; i < tasks->len; i++) {
        struct task *task = g_ptr_array_index(tasks, i);

        if (task->state == TASK_RECORDING)
            task->recorded = true;
    }
    for (i = 0; i < tasks->len; i++) {
        struct task *task = g_ptr_array_index(tasks, i);

        /* The tasks of a step follow one another. */
        if (task->step == step)
            continue;
        step = task->step;
        start_recorded(fleet, step);
    }
    g_ptr_array_free(tasks, TRUE);
}

static void
mark_ends_recorded(cs_fleet *fleet)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (worker->ends_committing <= worker->ends_recorded)
            continue;
        worker->ends_recorded = worker->ends_committing;
        worker->next_heartbeat_us = 0;
    }
}

static void
complete_commit(cs_fleet *fleet, uint64_t version)
{
    struct commit *commit = &fleet->commit;
    int64_t now_us = fleet_now(fleet).boot_us;
    guint i;

    cs_fleet_state_record_write_time(fleet->state,
                                     now_us - commit->first_attempt_us);
    for (i = 0; i < commit->rows->len; i++)
        row_committed(fleet, g_ptr_array_index(commit->rows, i), version);
    for (i = 0; i < commit->expired_rows->len; i++) {
        struct progress_row *row = g_ptr_array_index(commit->expired_rows, i);

        row->version = 0;
    }
    for (i = 0; i < commit->expired_jobs->len; i++) {
        const struct job *job = g_ptr_array_index(commit->expired_jobs, i);

        g_hash_table_remove(fleet->jobs, job->spec.id);
    }
    if (commit->covers_ends)
        mark_ends_recorded(fleet);
    if (commit->has_lease) {
        fleet->last_renewal_us = now_us;
        if (!fleet->release_requested)
            fleet->extend_until_us =
                commit->first_attempt_us + EXTEND_WITHOUT_STORE_US;
        fleet->next_renewal_us = now_us + RENEWAL_INTERVAL_US;
    }
    reset_change(commit);
    if (fleet->release_requested && fleet->last_renewal_us == now_us)
        tenure_end(fleet, "handed over");
}

static const cs_row *
find_answer_row(const cs_store_answer *answer, const char *table,
                const char *key)
{
    size_t i;

    for (i = 0; i < answer->row_count; i++) {
        const cs_row *row = &answer->rows[i];

        if (row->table && strcmp(row->table, table) == 0 &&
            strcmp(row->key, key) == 0)
            return row;
    }
    return NULL;
}

/*
 * Returns whether the progress rows in the answer are those of this change, so
 * that an earlier attempt without an answer has succeeded.
 */
static bool
is_already_written(const cs_fleet *fleet, const cs_store_answer *answer,
                   uint64_t *version)
{
    const struct commit *commit = &fleet->commit;
    guint i;

    for (i = 0; i < commit->puts->len; i++) {
        const cs_row *put = &g_array_index(commit->puts, cs_row, i);
        const cs_row *row;

        if (strcmp(put->table, CS_TABLE_PROGRESS) != 0)
            continue;
        row = find_answer_row(answer, put->table, put->key);
        if (!row || row->size_bytes != put->size_bytes ||
            memcmp(row->value, put->value, put->size_bytes) != 0)
            return false;
        *version = row->version;
    }
    return true;
}

static void
handle_conflict(cs_fleet *fleet, const cs_store_answer *answer)
{
    const cs_row *epoch = find_answer_row(answer, CS_TABLE_CELL, EPOCH_KEY);
    uint64_t version = 0;

    if (!epoch || epoch->version != fleet->epoch_version) {
        tenure_end(fleet, "another process has raised the epoch");
        return;
    }
    if (fleet->commit.unanswered &&
        is_already_written(fleet, answer, &version)) {
        complete_commit(fleet, version);
        return;
    }
    tenure_end(fleet, "a progress row was changed unexpectedly");
}

static void
on_committed(void *user_data, const cs_store_answer *answer)
{
    struct call *call = user_data;
    cs_fleet *fleet = call->fleet;
    bool stale = call_is_stale(call);
    int64_t sent_us = call->sent_us;
    struct commit *commit = &fleet->commit;

    g_free(call);
    cs_fleet_state_record_store_answer(fleet->state, answer->code);
    if (stale)
        return;
    commit->pending = false;
    cs_counters_observe_ms(fleet->state->counters, "cs_commit_ms",
                           (fleet_now(fleet).boot_us - sent_us) / CS_MS_US);
    if (answer->code == 0) {
        fleet->store_clock_ms = MAX(fleet->store_clock_ms, answer->now_ms);
        complete_commit(fleet, answer->version);
        return;
    }
    if (answer->code == CS_E_CONFLICT) {
        handle_conflict(fleet, answer);
        return;
    }
    if (answer->code == CS_E_INVALID) {
        tenure_end(fleet, "the store rejects a change as invalid");
        return;
    }
    cs_log_event(
        "commit-repeated",
        "%s after %" PRId64 " ms, %u progress rows, %zu bytes, lease written "
        "%" PRId64 " ms ago%s",
        cs_error_name(answer->code),
        (fleet_now(fleet).boot_us - sent_us) / CS_MS_US, commit->rows->len,
        commit->sent_bytes,
        (fleet_now(fleet).boot_us - fleet->last_renewal_us) / CS_MS_US,
        fleet->state->relayed ? ", through a peer" : "");
    if (answer->code == CS_E_OUTCOME_UNKNOWN) {
        commit->unanswered = true;
        cs_fleet_state_record_write_time(
            fleet->state, fleet_now(fleet).boot_us - commit->first_attempt_us);
    }
    fleet_increment_counter(fleet, "cs_commit_retries_total");
    commit->backoff_us = commit->backoff_us
                             ? MIN(commit->backoff_us * 2, BACKOFF_MAX_US)
                             : BACKOFF_FIRST_US;
    commit->next_attempt_us = fleet_now(fleet).boot_us + commit->backoff_us;
}

static size_t
count_bytes(const struct commit *commit)
{
    size_t bytes = 0;
    guint i;

    for (i = 0; i < commit->values->len; i++) {
        const GByteArray *value = g_ptr_array_index(commit->values, i);

        bytes += value->len;
    }
    return bytes;
}

static void
send_change(cs_fleet *fleet)
{
    const cs_store_port *store = fleet->state->ports.store;
    struct commit *commit = &fleet->commit;
    cs_row_change change = {
        .conditions = (const cs_row *)(void *)commit->conditions->data,
        .condition_count = commit->conditions->len,
        .puts = (const cs_row *)(void *)commit->puts->data,
        .put_count = commit->puts->len,
        .removals = (const cs_row *)(void *)commit->removals->data,
        .removal_count = commit->removals->len};

    commit->pending = true;
    commit->sent_bytes = count_bytes(commit);
    if (commit->first_attempt_us == 0)
        commit->first_attempt_us = fleet_now(fleet).boot_us;
    store->change(store->self, &change,
                  fleet_now(fleet).boot_us +
                      cs_fleet_state_write_timeout_us(fleet->state) +
                      (int64_t)(commit->sent_bytes / SEND_BYTES_PER_MS) *
                          CS_MS_US,
                  on_committed, call_create(fleet, NULL));
}

void
commit_tick(cs_fleet *fleet)
{
    struct commit *commit = &fleet->commit;
    int64_t now_us = fleet_now(fleet).boot_us;

    if (commit->pending || now_us < commit->next_attempt_us)
        return;
    if (commit->puts->len > 0 || commit->removals->len > 0) {
        send_change(fleet);
        return;
    }
    if (g_queue_is_empty(&fleet->expired_progress) &&
        g_queue_is_empty(&fleet->dirty_rows) &&
        now_us < fleet->next_renewal_us && !fleet->release_requested &&
        !has_unrecorded_ends(fleet))
        return;
    build_change(fleet);
    if (commit->puts->len > 0 || commit->removals->len > 0) {
        send_change(fleet);
        return;
    }
    /* The ends processed so far have changed nothing that is recorded. */
    mark_ends_recorded(fleet);
    reset_change(commit);
}
