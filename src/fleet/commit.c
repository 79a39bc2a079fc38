/*
 * The holder's writes: one change at a time, on condition of the epoch row
 * and of the version of each progress row. What depends on a record happens
 * only after the store has confirmed it: starts, and acknowledgements of
 * ends. A change without an answer is repeated unchanged until it is settled,
 * so that at most one of its copies takes effect.
 */
#include "fleet_internal.h"

/* A change holds at most 100 entries; each job takes two, a condition and a
   put, besides the epoch's condition and the puts of lease and speeds. */
#define ENTRIES_MAX 100
#define ROWS_MAX ((ENTRIES_MAX - 3) / 2 - EXPIRED_MAX)
#define BYTES_MAX (128 * 1024)
/* Beside the time of an answer: what the writing of a large change takes on a
   VM with little of a core, and the store's part. */
#define BYTES_PER_MS 2048
#define RENEW_US (450 * CS_MS_US)
/* Rows of old jobs that one change removes, besides. */
#define EXPIRED_MAX 10
#define BACKOFF_FIRST_US (50 * CS_MS_US)
#define BACKOFF_MAX_US (500 * CS_MS_US)

void
commit_init(struct commit *commit)
{
    memset(commit, 0, sizeof(*commit));
    commit->jobs = g_ptr_array_new();
    commit->values =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    commit->puts = g_array_new(FALSE, TRUE, sizeof(cs_row));
    commit->conditions = g_array_new(FALSE, TRUE, sizeof(cs_row));
    commit->removals = g_array_new(FALSE, TRUE, sizeof(cs_row));
    commit->expired = g_ptr_array_new();
}

void
commit_dispose(struct commit *commit)
{
    g_ptr_array_free(commit->jobs, TRUE);
    g_ptr_array_free(commit->values, TRUE);
    g_array_free(commit->puts, TRUE);
    g_array_free(commit->conditions, TRUE);
    g_array_free(commit->removals, TRUE);
    g_ptr_array_free(commit->expired, TRUE);
}

static void
empty(struct commit *commit)
{
    g_ptr_array_set_size(commit->jobs, 0);
    g_ptr_array_set_size(commit->values, 0);
    g_array_set_size(commit->puts, 0);
    g_array_set_size(commit->conditions, 0);
    g_array_set_size(commit->removals, 0);
    g_ptr_array_set_size(commit->expired, 0);
    commit->has_lease = false;
    commit->has_acks = false;
    commit->unanswered = false;
    commit->first_us = 0;
    commit->backoff_us = 0;
}

void
commit_clear(cs_fleet *fleet)
{
    empty(&fleet->commit);
    fleet->commit.open = false;
    fleet->commit.next_us = 0;
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

static void
mark_recording(struct job *job)
{
    uint32_t i;
    uint32_t k;

    for (i = 0; i < job_slot_count(job); i++) {
        struct step *step = job->steps[i];

        for (k = 0; step && k < step->spec->task_count; k++) {
            if (step->tasks[k].state == TASK_PLANNED)
                step->tasks[k].state = TASK_RECORDING;
        }
    }
}

static size_t
add_job(struct commit *commit, struct job *job)
{
    GByteArray *value = g_byte_array_new();
    cs_job_progress progress;

    mark_recording(job);
    job_progress(job, &progress);
    cs_job_progress_encode(value, &progress);
    cs_job_progress_dispose(&progress);
    add_condition(commit, CS_TABLE_PROGRESS, job->spec.id, job->version);
    add_put(commit, CS_TABLE_PROGRESS, job->spec.id, value);
    g_ptr_array_add(commit->jobs, job);
    job->dirty = false;
    job->committing = true;
    return value->len;
}

static void
add_removal(struct commit *commit, const char *table, const char *key)
{
    cs_row row = {.table = table, .part = CS_CELL_PART, .key = key};

    g_array_append_val(commit->removals, row);
}

/* Their own rows are gone; then jobs go out of memory. */
static void
add_expired(cs_fleet *fleet)
{
    struct commit *commit = &fleet->commit;

    while (commit->expired->len < EXPIRED_MAX &&
           !g_queue_is_empty(&fleet->expired_progress)) {
        struct job *job = g_queue_pop_head(&fleet->expired_progress);

        g_ptr_array_add(commit->expired, job);
        add_removal(commit, CS_TABLE_PROGRESS, job->spec.id);
    }
}

static void
add_lease(cs_fleet *fleet)
{
    GByteArray *value = g_byte_array_new();

    tenure_encode_lease(fleet, value);
    add_put(&fleet->commit, CS_TABLE_CELL, LEASE_KEY, value);
    fleet->commit.has_lease = true;
}

static void
add_speeds(cs_fleet *fleet)
{
    GByteArray *value = g_byte_array_new();
    struct commit *commit = &fleet->commit;
    uint32_t group;

    if (!speeds_take_due(fleet, &group, value)) {
        g_byte_array_unref(value);
        return;
    }
    g_snprintf(commit->speed_key, sizeof(commit->speed_key), "%u", group);
    add_put(commit, CS_TABLE_SPEEDS, commit->speed_key, value);
}

static void
snapshot_acks(cs_fleet *fleet)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        worker->ack_next = worker->noted;
    }
}

static bool
has_acks(const cs_fleet *fleet)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (worker->noted > worker->seen_upto)
            return true;
    }
    return false;
}

static void
build(cs_fleet *fleet)
{
    struct commit *commit = &fleet->commit;
    int64_t now_us = fleet_now(fleet).boot_us;
    size_t bytes = 0;

    empty(commit);
    add_condition(commit, CS_TABLE_CELL, EPOCH_KEY, fleet->epoch_version);
    while (commit->jobs->len < ROWS_MAX && bytes < BYTES_MAX &&
           !g_queue_is_empty(&fleet->dirty))
        bytes += add_job(commit, g_queue_pop_head(&fleet->dirty));
    if (now_us >= fleet->next_lease_us || fleet->release_wanted)
        add_lease(fleet);
    add_expired(fleet);
    add_speeds(fleet);
    if (g_queue_is_empty(&fleet->dirty)) {
        commit->has_acks = true;
        snapshot_acks(fleet);
    }
}

static void
start_recorded(cs_fleet *fleet, struct step *step)
{
    uint32_t k;

    for (k = 0; k < step->spec->task_count; k++) {
        struct task *task = &step->tasks[k];

        if (task->state != TASK_RECORDING)
            continue;
        if (job_is_final(step->job))
            task_release(fleet, task);
        else
            run_start(fleet, task);
    }
}

static void
job_committed(cs_fleet *fleet, struct job *job, uint64_t version)
{
    uint32_t i;

    job->committing = false;
    job->version = version;
    if (job->dirty)
        g_queue_push_tail(&fleet->dirty, job);
    for (i = 0; i < job_slot_count(job); i++) {
        if (job->steps[i])
            start_recorded(fleet, job->steps[i]);
    }
}

static void
acknowledge(cs_fleet *fleet)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (worker->ack_next <= worker->seen_upto)
            continue;
        worker->seen_upto = worker->ack_next;
        worker->next_hold_us = 0;
    }
}

static void
succeed(cs_fleet *fleet, uint64_t version)
{
    struct commit *commit = &fleet->commit;
    int64_t now_us = fleet_now(fleet).boot_us;
    guint i;

    cs_fleet_board_store_wrote(fleet->board, now_us - commit->first_us);
    for (i = 0; i < commit->jobs->len; i++)
        job_committed(fleet, g_ptr_array_index(commit->jobs, i), version);
    for (i = 0; i < commit->expired->len; i++) {
        const struct job *job = g_ptr_array_index(commit->expired, i);

        g_hash_table_remove(fleet->jobs, job->spec.id);
    }
    if (commit->has_acks)
        acknowledge(fleet);
    if (commit->has_lease) {
        fleet->lease_written_us = now_us;
        fleet->next_lease_us = now_us + RENEW_US;
    }
    empty(commit);
    if (fleet->release_wanted && fleet->lease_written_us == now_us)
        tenure_lost(fleet, "handed over");
}

static const cs_row *
find_row(const cs_store_answer *answer, const char *table, const char *key)
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

/* Whether the rows are what an attempt without an answer has written. */
static bool
was_written(const cs_fleet *fleet, const cs_store_answer *answer,
            uint64_t *version)
{
    const struct commit *commit = &fleet->commit;
    guint i;

    for (i = 0; i < commit->puts->len; i++) {
        const cs_row *put = &g_array_index(commit->puts, cs_row, i);
        const cs_row *row;

        if (strcmp(put->table, CS_TABLE_PROGRESS) != 0)
            continue;
        row = find_row(answer, put->table, put->key);
        if (!row || row->size_bytes != put->size_bytes ||
            memcmp(row->value, put->value, put->size_bytes) != 0)
            return false;
        *version = row->version;
    }
    return true;
}

static void
settle_conflict(cs_fleet *fleet, const cs_store_answer *answer)
{
    const cs_row *epoch = find_row(answer, CS_TABLE_CELL, EPOCH_KEY);
    uint64_t version = 0;

    if (!epoch || epoch->version != fleet->epoch_version) {
        tenure_lost(fleet, "another process has raised the epoch");
        return;
    }
    if (fleet->commit.unanswered && was_written(fleet, answer, &version)) {
        succeed(fleet, version);
        return;
    }
    tenure_lost(fleet, "a progress row is not as it was written");
}

static void
on_committed(void *data, const cs_store_answer *answer)
{
    struct call *call = data;
    cs_fleet *fleet = call->fleet;
    bool stale = call_is_stale(call);
    int64_t sent_us = call->sent_us;
    struct commit *commit = &fleet->commit;

    g_free(call);
    cs_fleet_board_store_answered(fleet->board, answer->code);
    if (stale)
        return;
    commit->open = false;
    cs_counters_observe_ms(fleet->board->counters, "cs_commit_ms",
                           (fleet_now(fleet).boot_us - sent_us) / CS_MS_US);
    if (answer->code == 0) {
        fleet->store_ms = MAX(fleet->store_ms, answer->now_ms);
        succeed(fleet, answer->version);
        return;
    }
    if (answer->code == CS_E_CONFLICT) {
        settle_conflict(fleet, answer);
        return;
    }
    if (answer->code == CS_E_INVALID) {
        tenure_lost(fleet, "the store refuses the change as wrong");
        return;
    }
    cs_log_event("commit-repeated",
                 "%s after %" PRId64 " ms, %u jobs, %zu bytes, lease written "
                 "%" PRId64 " ms ago%s",
                 cs_error_name(answer->code),
                 (fleet_now(fleet).boot_us - sent_us) / CS_MS_US,
                 commit->jobs->len, commit->sent_bytes,
                 (fleet_now(fleet).boot_us - fleet->lease_written_us) /
                     CS_MS_US,
                 fleet->board->relayed ? ", through a peer" : "");
    if (answer->code == CS_E_UNKNOWN) {
        commit->unanswered = true;
        cs_fleet_board_store_wrote(fleet->board, fleet_now(fleet).boot_us -
                                                     commit->first_us);
    }
    fleet_count(fleet, "cs_commit_retries_total");
    commit->backoff_us = commit->backoff_us
                             ? MIN(commit->backoff_us * 2, BACKOFF_MAX_US)
                             : BACKOFF_FIRST_US;
    commit->next_us = fleet_now(fleet).boot_us + commit->backoff_us;
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
send(cs_fleet *fleet)
{
    const cs_store_port *store = fleet->board->ports.store;
    struct commit *commit = &fleet->commit;
    cs_row_change change = {
        .conditions = (const cs_row *)(void *)commit->conditions->data,
        .condition_count = commit->conditions->len,
        .puts = (const cs_row *)(void *)commit->puts->data,
        .put_count = commit->puts->len,
        .removals = (const cs_row *)(void *)commit->removals->data,
        .removal_count = commit->removals->len};

    commit->open = true;
    commit->sent_bytes = count_bytes(commit);
    if (commit->first_us == 0)
        commit->first_us = fleet_now(fleet).boot_us;
    store->change(store->self, &change,
                  fleet_now(fleet).boot_us +
                      cs_fleet_board_write_patience_us(fleet->board) +
                      (int64_t)(commit->sent_bytes / BYTES_PER_MS) * CS_MS_US,
                  on_committed, call_create(fleet, NULL));
}

void
commit_tick(cs_fleet *fleet)
{
    struct commit *commit = &fleet->commit;
    int64_t now_us = fleet_now(fleet).boot_us;

    if (commit->open || now_us < commit->next_us)
        return;
    if (commit->puts->len > 0 || commit->removals->len > 0) {
        send(fleet);
        return;
    }
    if (g_queue_is_empty(&fleet->expired_progress) &&
        g_queue_is_empty(&fleet->dirty) && now_us < fleet->next_lease_us &&
        !fleet->release_wanted && !has_acks(fleet))
        return;
    build(fleet);
    if (commit->puts->len > 0 || commit->removals->len > 0) {
        send(fleet);
        return;
    }
    /* Nothing of these ends needs a record. */
    acknowledge(fleet);
    empty(commit);
}
