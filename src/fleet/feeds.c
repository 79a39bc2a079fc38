/*
 * What the holder reads: all rows of jobs and progress when it takes the
 * cell, then the feeds of jobs and of workers' entries.
 */
#include "fleet_internal.h"

#define JOBS_WAIT_MS 1000
#define ANSWER_US (700 * CS_MS_US)
#define RETRY_US (100 * CS_MS_US)
/* Draining has to be known well within the time that a worker grants. */
#define WORKERS_POLL_US (400 * CS_MS_US)

static void
apply_job_row(cs_fleet *fleet, const cs_row *row)
{
    struct job *job = g_hash_table_lookup(fleet->jobs, row->key);
    cs_job_spec spec;
    bool cancelled;

    if (row->deleted)
        return;
    if (cs_job_spec_decode(&spec, row->value, row->size_bytes)) {
        cs_log_event("job-unreadable", "job %s: %s", row->key,
                     cs_error_last());
        fleet_count(fleet, "cs_rows_unreadable_total");
        return;
    }
    cancelled = spec.cancelled;
    /* The cancellation takes effect below, also for a job that is new. */
    spec.cancelled = false;
    if (job)
        cs_job_spec_dispose(&spec);
    else
        job = job_add(fleet, &spec);
    if (cancelled)
        job_cancel(fleet, job);
    fleet->turn_wanted = true;
}

static void
apply_progress_row(cs_fleet *fleet, const cs_row *row)
{
    struct job *job = g_hash_table_lookup(fleet->jobs, row->key);
    cs_job_progress progress;

    if (!job)
        return;
    if (cs_job_progress_decode(&progress, row->value, row->size_bytes)) {
        cs_log_event("progress-unreadable", "job %s: %s", row->key,
                     cs_error_last());
        fleet_count(fleet, "cs_rows_unreadable_total");
        job->version = row->version;
        return;
    }
    job->version = row->version;
    job_restore(fleet, job, &progress);
    cs_job_progress_dispose(&progress);
}

static void follow_jobs(cs_fleet *fleet);
static void follow_workers(cs_fleet *fleet);

static struct call *
begin_call(cs_fleet *fleet, struct feed *feed)
{
    struct call *call = call_create(fleet, NULL);

    feed->open = true;
    call->feed = feed;
    return call;
}

/* Ends a call. Returns the feed, or NULL where nothing is to be applied. */
static struct feed *
end_call(struct call *call, const cs_store_answer *answer)
{
    cs_fleet *fleet = call->fleet;
    struct feed *feed = call->feed;
    bool stale = call_is_stale(call);

    g_free(call);
    cs_fleet_board_store_answered(fleet->board, answer->code);
    if (stale)
        return NULL;
    feed->open = false;
    if (answer->code == 0)
        return feed;
    if (answer->code == CS_E_TOO_OLD) {
        cs_log_event("table-reread", "table %s: the history is gone",
                     feed->table);
        feed->loaded = false;
        feed->next_us = 0;
        return NULL;
    }
    feed->next_us = fleet_now(fleet).boot_us + RETRY_US;
    return NULL;
}

/* Notes where the next page begins, or that the table was read. */
static void
turn_page(struct feed *feed, const cs_store_answer *answer)
{
    if (!feed->from[0] && feed->part_number == 0)
        feed->read_version = answer->version;
    if (answer->more && answer->row_count > 0) {
        g_snprintf(feed->from, sizeof(feed->from), "%s!",
                   answer->rows[answer->row_count - 1].key);
        return;
    }
    feed->from[0] = '\0';
    if (!feed->part && ++feed->part_number < CS_JOB_PARTS)
        return;
    feed->part_number = 0;
    feed->after = feed->read_version;
    feed->loaded = true;
}

static void
apply_rows(cs_fleet *fleet, const struct feed *feed,
           const cs_store_answer *answer)
{
    size_t i;

    for (i = 0; i < answer->row_count; i++)
        feed->apply(fleet, &answer->rows[i]);
}

static void
on_page(void *data, const cs_store_answer *answer)
{
    struct call *call = data;
    cs_fleet *fleet = call->fleet;
    struct feed *feed = end_call(call, answer);

    if (!feed)
        return;
    apply_rows(fleet, feed, answer);
    turn_page(feed, answer);
    if (feed->loaded && feed->end_read)
        feed->end_read(fleet);
    /* The next page at once: nothing starts before all are read. */
    follow_jobs(fleet);
    follow_workers(fleet);
}

static void
on_changes(void *data, const cs_store_answer *answer)
{
    struct call *call = data;
    cs_fleet *fleet = call->fleet;
    struct feed *feed = end_call(call, answer);

    if (!feed)
        return;
    apply_rows(fleet, feed, answer);
    feed->after = MAX(feed->after, answer->version);
}

static void
read_page(cs_fleet *fleet, struct feed *feed)
{
    const cs_store_port *store = fleet->board->ports.store;
    char part[CS_JOB_PART_BYTES];
    cs_row_range range = {.table = feed->table,
                          .part = feed->part ? feed->part : part,
                          .from = feed->from[0] ? feed->from : NULL};

    cs_job_part_name(part, feed->part_number);
    store->read(store->self, &range,
                fleet_now(fleet).boot_us + STORE_ANSWER_US, on_page,
                begin_call(fleet, feed));
}

static void
follow(cs_fleet *fleet, struct feed *feed, int64_t wait_ms)
{
    const cs_store_port *store = fleet->board->ports.store;
    int64_t deadline_us =
        fleet_now(fleet).boot_us + wait_ms * CS_MS_US + ANSWER_US;

    store->follow(store->self, feed->table, feed->after, wait_ms, deadline_us,
                  on_changes, begin_call(fleet, feed));
}

static bool
is_due(const cs_fleet *fleet, const struct feed *feed)
{
    return !feed->open && fleet_now(fleet).boot_us >= feed->next_us;
}

/* Progress is read once, after the jobs; then changes of jobs are followed. */
static void
follow_jobs(cs_fleet *fleet)
{
    if (fleet->progress.open || !is_due(fleet, &fleet->job_feed))
        return;
    if (!fleet->job_feed.loaded)
        read_page(fleet, &fleet->job_feed);
    else if (fleet->progress.loaded)
        follow(fleet, &fleet->job_feed, JOBS_WAIT_MS);
    else if (is_due(fleet, &fleet->progress))
        read_page(fleet, &fleet->progress);
}

static void
apply_worker_row(cs_fleet *fleet, const cs_row *row)
{
    struct worker *worker = g_hash_table_lookup(fleet->workers, row->key);
    cs_worker_entry entry;

    if (row->deleted) {
        if (worker)
            worker_unlist(fleet, worker);
        return;
    }
    if (worker)
        worker->reading = fleet->worker_reading;
    if (fleet->board->ports.decode_worker(&entry, row->value,
                                          row->size_bytes)) {
        if (!worker || !worker->listed)
            cs_log_event("worker-entry-skipped", "%.40s: %s", row->key,
                         cs_error_last());
        fleet_count(fleet, "cs_rows_unreadable_total");
        return;
    }
    worker_apply(fleet, row->key, &entry);
    cs_worker_entry_dispose(&entry);
    worker = g_hash_table_lookup(fleet->workers, row->key);
    worker->reading = fleet->worker_reading;
    speeds_restore(fleet, worker);
}

/* After a whole read, workers without a row are gone. */
static void
unlist_missing(cs_fleet *fleet)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (worker->listed && worker->reading != fleet->worker_reading)
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
        if (!feed->from[0])
            fleet->worker_reading++;
        read_page(fleet, feed);
        return;
    }
    feed->next_us = fleet_now(fleet).boot_us + WORKERS_POLL_US;
    follow(fleet, feed, 0);
}

void
load_init(cs_fleet *fleet)
{
    struct feed jobs = {.table = CS_TABLE_JOBS, .apply = apply_job_row};
    struct feed progress = {.table = CS_TABLE_PROGRESS,
                            .part = CS_CELL_PART,
                            .apply = apply_progress_row};
    struct feed workers = {.table = fleet->board->ports.workers_table,
                           .part = "",
                           .apply = apply_worker_row,
                           .end_read = unlist_missing};
    struct feed speeds = {.table = CS_TABLE_SPEEDS,
                          .part = CS_CELL_PART,
                          .apply = speeds_apply_row};

    fleet->job_feed = jobs;
    fleet->progress = progress;
    fleet->worker_feed = workers;
    fleet->speed_feed = speeds;
}

static void
note_gone_workers(cs_fleet *fleet)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (!worker->listed)
            worker_note_gone(fleet, worker);
    }
}

void
load_tick(cs_fleet *fleet)
{
    follow_jobs(fleet);
    follow_workers(fleet);
    if (!fleet->speed_feed.loaded && is_due(fleet, &fleet->speed_feed))
        read_page(fleet, &fleet->speed_feed);
    if (fleet->tenure != TENURE_LOADING || !fleet->job_feed.loaded ||
        !fleet->progress.loaded || !fleet->worker_feed.loaded)
        return;
    fleet->tenure = TENURE_HOLDING;
    fleet->turn_wanted = true;
    job_settle_cancelled(fleet);
    note_gone_workers(fleet);
    /* A new holder has seen no use yet but what it adopted. */
    fleet->headroom.mean =
        MAX(fleet->headroom.mean, (double)fleet->headroom.used);
    cs_log_event("cell-loaded", "epoch %" PRIu64 ", %u jobs, %u workers",
                 fleet->epoch, g_hash_table_size(fleet->jobs),
                 g_hash_table_size(fleet->workers));
}
