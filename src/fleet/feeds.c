/*
 * The holder's reads from the store: all rows of jobs, progress, workers and
 * speeds and the row of shares when it acquires the cell, then the changes of
 * jobs and of workers' entries.
 */
#include "ledger.h"
#include "tombstones.h"

/* The store delays its answer until a job changes, for up to this long. */
#define JOBS_FOLLOW_WAIT_MS 1000
/* Timeout of a call, counted from the end of that delay, if any. */
#define ANSWER_TIMEOUT_US (700 * CS_MS_US)
#define RETRY_US (100 * CS_MS_US)
/* The store returns at most this many rows at a time. An answer with as many
   may have left out later changes. */
#define ANSWER_ROWS_MAX 500
/* A new holder whose reads lag for this long hands the cell over: other VMs
   may read current rows. Longer than reads of a store that lags for all are
   known to be behind (3 s). */
#define LAG_MAX_US (10 * CS_SEC_US)
/* Log lines about orphan rows in a tenure. */
#define ORPHAN_LINES_MAX 20
/* Draining must be seen well within the notice that a worker gives. */
#define WORKERS_POLL_INTERVAL_US (400 * CS_MS_US)

static void
apply_job_row(cs_fleet *fleet, const cs_row *row)
{
    struct job *job = g_hash_table_lookup(fleet->jobs, row->key);
    cs_job_spec spec;
    bool cancelled;

    if (row->deleted) {
        tombstones_forget(fleet, row->key);
        return;
    }
    if (cs_job_spec_decode(&spec, row->value, row->size_bytes)) {
        cs_log_event("job-unreadable", "job %.60s: %s", row->key,
                     cs_error_last());
        fleet->job_rows_unreadable = true;
        fleet_increment_counter(fleet, "cs_rows_unreadable_total");
        return;
    }
    if (spec.tombstone) {
        tombstones_note(fleet, row, &spec);
        cs_job_spec_dispose(&spec);
        return;
    }
    /* All changes up to this version were applied, so that the job was known
       and is removed. Pages that are read again may still show it. */
    if (!job && row->version <= fleet->job_feed.followed_version) {
        cs_job_spec_dispose(&spec);
        return;
    }
    if (job && !job_is_of_row(job, &spec) &&
        (job_is_final(job) || row->version <= job->row_version)) {
        job_note_newer(fleet, job, &spec, row->version);
        return;
    }
    cancelled = spec.cancelled;
    /* job_cancel() sets it again, also for a new job. */
    spec.cancelled = false;
    if (job) {
        /* The row of an active job was removed by another writer, and its id
           accepted again: to callers it is one job. */
        job->spec.accepted_ms = spec.accepted_ms;
        cs_job_spec_dispose(&spec);
    }
    else {
        job = job_add(fleet, &spec);
    }
    job->row_version = MAX(job->row_version, row->version);
    if (cancelled)
        job_cancel(fleet, job);
    fleet->cycle_requested = true;
}

/* Returns whether the job of a progress row without a known job has ended, as
   its first row, which is read before the others, tells. */
static bool
orphan_has_ended(cs_fleet *fleet, const cs_row *row, const char *id)
{
    cs_job_progress progress;

    if (strcmp(row->key, id) != 0)
        return strcmp(fleet->ended_orphan, id) == 0;
    fleet->ended_orphan[0] = '\0';
    if (cs_job_progress_decode(&progress, row->value, row->size_bytes))
        return false;
    if (cs_progress_is_final(progress.state))
        g_strlcpy(fleet->ended_orphan, id, sizeof(fleet->ended_orphan));
    cs_job_progress_dispose(&progress);
    return fleet->ended_orphan[0] != '\0';
}

static void
queue_removal(cs_fleet *fleet, const cs_row *row)
{
    struct orphan_row *orphan = g_new0(struct orphan_row, 1);

    g_strlcpy(orphan->key, row->key, sizeof(orphan->key));
    orphan->version = row->version;
    g_queue_push_tail(&fleet->orphan_rows, orphan);
}

/*
 * Queues the removal of a progress row whose job is not known: a former holder
 * had removed the job row, and not yet this one. Jobs are read before, and a
 * job that was inserted meanwhile has no progress. Only ended jobs are
 * removed. The tasks of another one may be running: if its row returns, its
 * progress must still be there.
 */
static void
note_orphan(cs_fleet *fleet, const cs_row *row)
{
    char id[CS_JOB_ID_BYTES];
    bool ended;

    g_strlcpy(id, row->key, sizeof(id));
    if (fleet->job_rows_unreadable || !progress_is_key(row->key) ||
        g_hash_table_contains(fleet->jobs, id))
        return;
    ended = orphan_has_ended(fleet, row, id);
    if (ended)
        queue_removal(fleet, row);
    fleet_increment_counter(fleet, "cs_orphan_rows_total");
    if (fleet->orphan_count++ < ORPHAN_LINES_MAX)
        cs_log_event("progress-orphaned",
                     "row %s of version %" PRIu64
                     ", jobs read at version %" PRIu64 " to %" PRIu64 ", %s",
                     row->key, row->version, fleet->job_feed.lowest_version,
                     fleet->job_feed.highest_version,
                     ended ? "to be removed"
                           : "kept, as the job has not ended");
}

/* The rows are read in the order of their keys, so that the first row of a
   job, which says how many tasks the others hold, precedes them. */
static void
apply_progress_row(cs_fleet *fleet, const cs_row *row)
{
    struct progress_row *progress_row = progress_find_row(fleet, row->key);
    cs_job_progress progress;
    uint32_t progress_row_number;
    struct job *job;

    if (!progress_row) {
        note_orphan(fleet, row);
        return;
    }
    job = progress_row->job;
    progress_row_number = progress_row->number;
    progress_row->version = row->version;
    if (cs_job_progress_decode(&progress, row->value, row->size_bytes)) {
        cs_log_event("progress-unreadable", "job %.60s: %s", row->key,
                     cs_error_last());
        fleet_increment_counter(fleet, "cs_rows_unreadable_total");
        return;
    }
    if (progress_row_number == 0) {
        job_restore_state(fleet, job, &progress);
        job->rows[0].version = row->version;
    }
    /* The single row of a former build replaces further rows, which it does
       not know. */
    if (progress_row_number == 0 || !job->single_row)
        job_restore_tasks(fleet, job, &progress);
    cs_job_progress_dispose(&progress);
}

static void follow_jobs(cs_fleet *fleet);
static void follow_workers(cs_fleet *fleet);

static struct call *
begin_call(cs_fleet *fleet, struct feed *feed)
{
    struct call *call = call_create(fleet, NULL);

    feed->pending = true;
    call->feed = feed;
    return call;
}

/* Ends a call. Returns its feed, or NULL if there are no rows to apply. */
static struct feed *
end_call(struct call *call, const cs_store_answer *answer)
{
    cs_fleet *fleet = call->fleet;
    struct feed *feed = call->feed;
    bool stale = call_is_stale(call);

    g_free(call);
    cs_fleet_state_record_store_answer(fleet->state, answer->code);
    if (stale)
        return NULL;
    feed->pending = false;
    if (answer->code == 0) {
        fleet->known_version = MAX(fleet->known_version, answer->version);
        return feed;
    }
    if (answer->code == CS_E_TOO_OLD) {
        cs_log_event("table-reread", "table %s: the history is gone",
                     feed->table);
        feed->loaded = false;
        /* If answers lag, the next one may be too old again. */
        feed->next_call_us = fleet_now(fleet).boot_us + RETRY_US;
        return NULL;
    }
    feed->next_call_us = fleet_now(fleet).boot_us + RETRY_US;
    return NULL;
}

/* Sets the start of the next page or, after the last one, marks the table as
   loaded. */
static void
advance_page(struct feed *feed, const cs_store_answer *answer)
{
    if (answer->has_more && answer->row_count > 0) {
        /* Any other key after the last one of this page sorts behind this
           character. */
        g_snprintf(feed->page_start, sizeof(feed->page_start), "%s\001",
                   answer->rows[answer->row_count - 1].key);
        return;
    }
    feed->page_start[0] = '\0';
    if (!feed->part && ++feed->part_number < CS_JOB_PARTS)
        return;
    feed->part_number = 0;
    /* Of the pages that lag, each may lack a change that is older than the
       version of the first one. */
    feed->followed_version = feed->lowest_version;
    feed->followed_until_us = 0;
    feed->loaded = true;
}

static void
apply_rows(cs_fleet *fleet, const struct feed *feed,
           const cs_store_answer *answer)
{
    size_t i;

    for (i = 0; i < answer->row_count; i++)
        feed->apply_row(fleet, &answer->rows[i]);
}

/*
 * Returns whether a page lags behind the tenure: it may lack what a former
 * holder has recorded, so that running tasks would be started again. What is
 * written later, by this holder or by entries, does not have to be in a page,
 * unless the feed has seen it before. An answer without a version lags as
 * well.
 */
static bool
page_lags(cs_fleet *fleet, struct feed *feed, uint64_t version)
{
    uint64_t known = MAX(fleet->epoch_version, feed->followed_version);
    int64_t now_us = fleet_now(fleet).boot_us;

    if (version >= known) {
        if (feed->lagging_since_us)
            cs_log_event("page-current", "table %s after %" PRId64 " ms",
                         feed->table,
                         (now_us - feed->lagging_since_us) / CS_MS_US);
        feed->lagging_since_us = 0;
        return false;
    }
    if (feed->lagging_since_us == 0) {
        feed->lagging_since_us = now_us;
        cs_log_event("page-behind",
                     "table %s at version %" PRIu64 ", epoch row %" PRIu64
                     ", known to %" PRIu64,
                     feed->table, version, fleet->epoch_version, known);
    }
    fleet_increment_counter(fleet, "cs_pages_behind_total");
    feed->next_call_us = now_us + RETRY_US;
    if (fleet->tenure == TENURE_LOADING &&
        now_us - feed->lagging_since_us >= LAG_MAX_US) {
        fleet->lagged_us = now_us;
        tenure_hand_over(fleet, "reads lag");
    }
    return true;
}

static void
note_page_version(struct feed *feed, uint64_t version)
{
    if (!feed->page_start[0] && feed->part_number == 0) {
        feed->lowest_version = version;
        feed->highest_version = version;
    }
    feed->lowest_version = MIN(feed->lowest_version, version);
    feed->highest_version = MAX(feed->highest_version, version);
}

static void
on_page(void *user_data, const cs_store_answer *answer)
{
    struct call *call = user_data;
    cs_fleet *fleet = call->fleet;
    struct feed *feed = end_call(call, answer);

    if (!feed || page_lags(fleet, feed, answer->version))
        return;
    note_page_version(feed, answer->version);
    apply_rows(fleet, feed, answer);
    advance_page(feed, answer);
    if (feed->loaded && feed->read_completed)
        feed->read_completed(fleet);
    /* Requests the next page at once, as nothing is scheduled before all are
       read. */
    follow_jobs(fleet);
    follow_workers(fleet);
}

/* Returns whether the store may have had more changes than it has returned. */
static bool
is_incomplete(const cs_store_answer *answer)
{
    return answer->has_more || answer->row_count >= ANSWER_ROWS_MAX;
}

static void
on_changes(void *user_data, const cs_store_answer *answer)
{
    struct call *call = user_data;
    cs_fleet *fleet = call->fleet;
    int64_t sent_us = call->sent_us;
    bool lags = answer->version < call->known_version;
    struct feed *feed = end_call(call, answer);

    if (!feed)
        return;
    apply_rows(fleet, feed, answer);
    /* 2,000 workers write more rows between two polls than one answer holds.
       Without the rest at once, the feed falls behind without end. */
    if (is_incomplete(answer))
        feed->next_call_us = 0;
    else if (!lags)
        feed->followed_until_us = sent_us;
    else
        fleet_increment_counter(fleet, "cs_polls_behind_total");
    feed->followed_version = MAX(feed->followed_version, answer->version);
}

static void
read_page(cs_fleet *fleet, struct feed *feed)
{
    const cs_store_port *store = fleet->state->ports.store;
    char part[CS_JOB_PART_BYTES];
    cs_row_range range = {.table = feed->table,
                          .part = feed->part ? feed->part : part,
                          .from =
                              feed->page_start[0] ? feed->page_start : NULL};

    cs_job_part_name(part, feed->part_number);
    store->read(store->self, &range,
                fleet_now(fleet).boot_us + STORE_TIMEOUT_US, on_page,
                begin_call(fleet, feed));
}

static void
follow_changes(cs_fleet *fleet, struct feed *feed, int64_t wait_ms)
{
    const cs_store_port *store = fleet->state->ports.store;
    int64_t deadline_us =
        fleet_now(fleet).boot_us + wait_ms * CS_MS_US + ANSWER_TIMEOUT_US;

    store->follow(store->self, feed->table, feed->followed_version, wait_ms, 0,
                  deadline_us, on_changes, begin_call(fleet, feed));
}

static bool
is_due(const cs_fleet *fleet, const struct feed *feed)
{
    return !feed->pending && fleet_now(fleet).boot_us >= feed->next_call_us;
}

/* Reads the jobs, then their progress, and then follows changes of jobs. */
static void
follow_jobs(cs_fleet *fleet)
{
    if (fleet->progress_feed.pending || !is_due(fleet, &fleet->job_feed))
        return;
    if (!fleet->job_feed.loaded)
        read_page(fleet, &fleet->job_feed);
    else if (fleet->progress_feed.loaded)
        follow_changes(fleet, &fleet->job_feed, JOBS_FOLLOW_WAIT_MS);
    else if (is_due(fleet, &fleet->progress_feed))
        read_page(fleet, &fleet->progress_feed);
}

static void
apply_worker_row(cs_fleet *fleet, const cs_row *row)
{
    struct worker *worker = g_hash_table_lookup(fleet->workers, row->key);
    cs_worker_entry entry;

    /* Longer than the store allows. */
    if (strlen(row->key) >= CS_JOB_NAME_BYTES)
        return;
    if (row->deleted) {
        if (worker)
            worker_unlist(fleet, worker);
        return;
    }
    if (worker)
        worker->read_serial = fleet->worker_read_serial;
    if (fleet->state->ports.decode_worker(&entry, row->value,
                                          row->size_bytes)) {
        if (!worker || !worker->listed)
            cs_log_event("worker-entry-skipped", "%.40s: %s", row->key,
                         cs_error_last());
        fleet_increment_counter(fleet, "cs_rows_unreadable_total");
        return;
    }
    worker_apply(fleet, row->key, &entry);
    cs_worker_entry_dispose(&entry);
    worker = g_hash_table_lookup(fleet->workers, row->key);
    /* A read of the table does not tell when a row was written. A change is
       newer than those that were followed before. */
    worker->entry_written_after_us =
        fleet->worker_feed.loaded ? fleet->worker_feed.followed_until_us : 0;
    worker->read_serial = fleet->worker_read_serial;
    speeds_restore(fleet, worker);
}

/* Unlists the workers that a complete read has not found. */
static void
unlist_missing_workers(cs_fleet *fleet)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (worker->listed && worker->read_serial != fleet->worker_read_serial)
            worker_unlist(fleet, worker);
    }
}

static void
follow_workers(cs_fleet *fleet)
{
    struct feed *feed = &fleet->worker_feed;

    if (!is_due(fleet, feed))
        return;
    if (!feed->loaded) {
        if (!feed->page_start[0])
            fleet->worker_read_serial++;
        read_page(fleet, feed);
        return;
    }
    feed->next_call_us = fleet_now(fleet).boot_us + WORKERS_POLL_INTERVAL_US;
    follow_changes(fleet, feed, 0);
}

void
feeds_init(cs_fleet *fleet)
{
    struct feed jobs = {.table = CS_TABLE_JOBS, .apply_row = apply_job_row};
    struct feed progress = {.table = CS_TABLE_PROGRESS,
                            .part = CS_CELL_PART,
                            .apply_row = apply_progress_row};
    struct feed workers = {.table = fleet->state->ports.workers_table,
                           .part = "",
                           .apply_row = apply_worker_row,
                           .read_completed = unlist_missing_workers};
    struct feed speeds = {.table = CS_TABLE_SPEEDS,
                          .part = CS_CELL_PART,
                          .apply_row = speeds_apply_row};

    fleet->job_feed = jobs;
    fleet->progress_feed = progress;
    fleet->worker_feed = workers;
    fleet->speed_feed = speeds;
}

static uint32_t
count_adopted_tasks(const cs_fleet *fleet)
{
    uint32_t count = 0;
    guint i;
    guint k;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        for (k = 0; k < worker->tasks->len; k++)
            count += ((const struct task *)g_ptr_array_index(worker->tasks, k))
                         ->adopted;
    }
    return count;
}

static void
log_loaded(const cs_fleet *fleet)
{
    const struct feed *jobs = &fleet->job_feed;
    const struct feed *progress = &fleet->progress_feed;
    const struct feed *workers = &fleet->worker_feed;

    cs_log_event("cell-loaded", "epoch %" PRIu64 ", %u jobs, %u workers",
                 fleet->epoch, g_hash_table_size(fleet->jobs),
                 g_hash_table_size(fleet->workers));
    cs_log_event(
        "cell-read",
        "epoch row of version %" PRIu64 ", jobs at %" PRIu64 " to %" PRIu64
        ", progress at %" PRIu64 " to %" PRIu64 ", workers at %" PRIu64
        " to %" PRIu64 ", %u tasks adopted, %u orphan rows",
        fleet->epoch_version, jobs->lowest_version, jobs->highest_version,
        progress->lowest_version, progress->highest_version,
        workers->lowest_version, workers->highest_version,
        count_adopted_tasks(fleet), fleet->orphan_count);
}

void
feeds_tick(cs_fleet *fleet)
{
    follow_jobs(fleet);
    follow_workers(fleet);
    if (!fleet->speed_feed.loaded && is_due(fleet, &fleet->speed_feed))
        read_page(fleet, &fleet->speed_feed);
    if (!fleet->ledger->feed.loaded && is_due(fleet, &fleet->ledger->feed))
        read_page(fleet, &fleet->ledger->feed);
    if (fleet->tenure != TENURE_LOADING || !fleet->job_feed.loaded ||
        !fleet->progress_feed.loaded || !fleet->worker_feed.loaded ||
        !fleet->ledger->feed.loaded)
        return;
    fleet->tenure = TENURE_HOLDING;
    fleet->cycle_requested = true;
    job_finish_cancelled(fleet);
    job_update_all(fleet);
    /* A new holder has no past use to average; it begins with what it has
       adopted. */
    fleet->headroom.mean_used = MAX(fleet->headroom.mean_used,
                                    (double)fleet->headroom.used_accelerators);
    log_loaded(fleet);
}
