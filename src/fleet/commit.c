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

/* Adds to the timeout of a change the time that a VM with a small share of a
   core, and the store, take for its size. */
#define SEND_BYTES_PER_MS 2048
#define RENEWAL_INTERVAL_US (450 * CS_MS_US)
#define BACKOFF_FIRST_US (50 * CS_MS_US)
#define BACKOFF_MAX_US (500 * CS_MS_US)

void
commit_clear(cs_fleet *fleet)
{
    commit_reset(&fleet->commit);
    fleet->commit.pending = false;
    fleet->commit.next_attempt_us = 0;
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
    if (!job_is_final(step->job))
        run_log_starts(fleet, step);
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

/* A change removes a few rows at most, so that their keys fit into a line. */
static void
log_removals(const struct commit *commit)
{
    GString *keys;
    guint i;

    if (commit->removals->len == 0)
        return;
    keys = g_string_new(NULL);
    for (i = 0; i < commit->removals->len; i++)
        g_string_append_printf(keys, " %s",
                               g_array_index(commit->removals, cs_row, i).key);
    cs_log_event("progress-removed", "%u rows:%s", commit->removals->len,
                 keys->str);
    g_string_free(keys, TRUE);
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
    log_removals(commit);
    for (i = 0; i < commit->expired_rows->len; i++) {
        struct progress_row *row = g_ptr_array_index(commit->expired_rows, i);

        row->version = 0;
    }
    for (i = 0; i < commit->expired_jobs->len; i++)
        job_remove(fleet, g_ptr_array_index(commit->expired_jobs, i));
    if (commit->covers_ends)
        mark_ends_recorded(fleet);
    if (commit->has_lease) {
        fleet->last_renewal_us = now_us;
        if (!fleet->release_requested)
            extension_renew(fleet, commit->first_attempt_us);
        fleet->next_renewal_us = now_us + RENEWAL_INTERVAL_US;
    }
    commit_reset(commit);
    if (fleet->release_requested && fleet->last_renewal_us == now_us)
        tenure_end(fleet, "handed over");
}

/* Returns the row in the answer to a change, or NULL if it does not exist. */
static const cs_row *
find_answer_row(const cs_store_answer *answer, const char *table,
                const char *key)
{
    size_t i;

    for (i = 0; i < answer->row_count; i++) {
        const cs_row *row = &answer->rows[i];

        if (row->table && strcmp(row->table, table) == 0 &&
            strcmp(row->key, key) == 0)
            return row->version && !row->deleted ? row : NULL;
    }
    return NULL;
}

/*
 * Returns whether the progress rows in the answer are those of this change, so
 * that an earlier attempt without an answer has succeeded: one version has
 * written all that it writes, and what it removes is gone.
 */
static bool
is_already_written(const cs_fleet *fleet, const cs_store_answer *answer,
                   uint64_t *version)
{
    const struct commit *commit = &fleet->commit;
    guint i;

    for (i = 0; i < commit->removals->len; i++) {
        const cs_row *removal = &g_array_index(commit->removals, cs_row, i);

        if (find_answer_row(answer, removal->table, removal->key))
            return false;
    }
    for (i = 0; i < commit->puts->len; i++) {
        const cs_row *put = &g_array_index(commit->puts, cs_row, i);
        const cs_row *row;

        if (strcmp(put->table, CS_TABLE_PROGRESS) != 0)
            continue;
        row = find_answer_row(answer, put->table, put->key);
        if (!row || row->size_bytes != put->size_bytes ||
            memcmp(row->value, put->value, put->size_bytes) != 0 ||
            (*version && row->version != *version))
            return false;
        *version = row->version;
    }
    return true;
}

/* Returns the index of the condition on a row; every removal has one. */
static guint
find_condition(const struct commit *commit, const char *key)
{
    guint i = commit->conditions->len;

    while (i-- > 0) {
        const cs_row *row = &g_array_index(commit->conditions, cs_row, i);

        if (strcmp(row->table, CS_TABLE_PROGRESS) == 0 &&
            strcmp(row->key, key) == 0)
            break;
    }
    return i;
}

/*
 * Takes out of the change the removals of rows that are gone already or have
 * changed. Such a row is no reason to give up the tenure; if it is there, the
 * next holder decides on it. Returns whether there were any.
 */
static bool
drop_failed_removals(struct commit *commit, const cs_store_answer *answer)
{
    guint count = commit->removals->len;
    guint i = count;

    while (i-- > 0) {
        const char *key = g_array_index(commit->removals, cs_row, i).key;
        guint condition = find_condition(commit, key);
        const cs_row *row = find_answer_row(answer, CS_TABLE_PROGRESS, key);

        if (row &&
            row->version ==
                g_array_index(commit->conditions, cs_row, condition).version)
            continue;
        cs_log_event("removal-dropped", "row %s is %s", key,
                     row ? "a newer one" : "gone");
        g_array_remove_index(commit->removals, i);
        g_array_remove_index(commit->conditions, condition);
    }
    return commit->removals->len < count;
}

static void
handle_conflict(cs_fleet *fleet, const cs_store_answer *answer)
{
    const cs_row *epoch = find_answer_row(answer, CS_TABLE_CELL, EPOCH_KEY);
    struct commit *commit = &fleet->commit;
    uint64_t version = 0;

    if (!epoch || epoch->version != fleet->epoch_version) {
        tenure_end(fleet, "another process has raised the epoch");
        return;
    }
    if (commit->unanswered && is_already_written(fleet, answer, &version)) {
        complete_commit(fleet, version);
        return;
    }
    if (drop_failed_removals(commit, answer)) {
        /* The rest is sent again. */
        if (commit->puts->len == 0 && commit->removals->len == 0)
            complete_commit(fleet, 0);
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
        if (answer->now_ms > fleet->store_clock_ms) {
            fleet->store_clock_ms = answer->now_ms;
            fleet->store_clock_read_us = fleet_now(fleet).boot_us;
        }
        fleet->known_version = MAX(fleet->known_version, answer->version);
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
        g_queue_is_empty(&fleet->orphan_rows) &&
        g_queue_is_empty(&fleet->dirty_rows) &&
        now_us < fleet->next_renewal_us && !fleet->release_requested &&
        !has_unrecorded_ends(fleet))
        return;
    commit_build(fleet);
    if (commit->puts->len > 0 || commit->removals->len > 0) {
        send_change(fleet);
        return;
    }
    /* The ends processed so far have changed nothing that is recorded. */
    mark_ends_recorded(fleet);
    commit_reset(commit);
}
