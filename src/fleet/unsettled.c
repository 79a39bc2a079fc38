/*
 * Starts that have got no answer. Such an order may be carried out seconds
 * later, unless it has been by then. The incarnation of the worker that it was
 * sent to refuses it once it was told to stop the run, or once the order's
 * lease has ended. The next incarnation under the same id knows neither the
 * former clock nor earlier stops, and would carry it out.
 *
 * So while the order may be on its way its worker is watched, and no other run
 * of the task is at work unless the incarnation that refuses the order is
 * known to live: the task is not placed, a recorded start is withheld, and a
 * run at work is stopped as soon as the worker may have ended. Another
 * incarnation is told to stop the run as soon as it is known, and refuses the
 * order from then on.
 *
 * The record of a task names its unsettled starts, so that a successor goes on
 * with them.
 */
#include "fleet_internal.h"

/* For how long a start may be carried out late. The protocol of the workers
   gives no bound; orders are known to take up to 12 s from their arrival. */
#define LATE_ORDER_MAX_US (12 * CS_SEC_US + ORDER_TIMEOUT_US)
/* For this long another incarnation is told to refuse the start, should an
   order take longer: it costs one stop. */
#define REFUSE_US (30 * CS_SEC_US)
#define RETRY_US (500 * CS_MS_US)
/* Failed heartbeats in a row after which the worker may have ended. A single
   one may be due to its connection or to an executor. */
#define FAILED_HEARTBEATS_MAX 2
/* A watched worker that has not answered for this long may have ended: a
   heartbeat and its timeout, and a while for this process. */
#define ANSWER_AGE_MAX_US                                                     \
    (UNSETTLED_WATCH_WAIT_MS * CS_MS_US + HEARTBEAT_TIMEOUT_US +              \
     100 * CS_MS_US)

/* What the worker would do with the order if it arrived now. */
typedef enum {
    ORDER_REFUSED,  /* the incarnation that refuses it lives */
    ORDER_DOUBTFUL, /* a heartbeat has failed, or none was answered yet */
    ORDER_ACCEPTED  /* another incarnation may live, or come next */
} order_prospect;

struct unsettled_start {
    struct worker *worker;
    uint32_t run;
    uint64_t incarnation_ms; /* the newest one that is known to refuse it, or
                                that it was sent to */
    uint64_t stopped_incarnation_ms; /* the newest one that has answered a stop
                                        of the run */
    int64_t stopped_us;              /* when it did so */
    int64_t sent_us;                 /* at the latest */
    int64_t stop_sent_us;            /* 0 not yet */
    bool watched;                    /* counts in worker->watched_starts */
    bool accepted;                   /* the last prospect that was logged */
};

static void
free_starts(gpointer data)
{
    g_array_free(data, TRUE);
}

GHashTable *
unsettled_starts_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_starts);
}

static struct unsettled_start *
find_start(const cs_fleet *fleet, const struct worker *worker,
           const char *name, uint32_t run)
{
    GArray *starts = g_hash_table_lookup(fleet->unsettled_starts, name);
    guint i;

    for (i = 0; starts && i < starts->len; i++) {
        struct unsettled_start *start =
            &g_array_index(starts, struct unsettled_start, i);

        if (start->worker == worker && start->run == run)
            return start;
    }
    return NULL;
}

static void
add_start(cs_fleet *fleet, const char *name,
          const struct unsettled_start *start)
{
    GArray *starts = g_hash_table_lookup(fleet->unsettled_starts, name);
    struct unsettled_start added = *start;

    if (find_start(fleet, start->worker, name, start->run))
        return;
    if (!starts) {
        starts = g_array_new(FALSE, FALSE, sizeof(struct unsettled_start));
        g_hash_table_insert(fleet->unsettled_starts, g_strdup(name), starts);
    }
    added.watched = true;
    added.worker->watched_starts++;
    added.worker->unsettled_starts++;
    g_array_append_val(starts, added);
    fleet_increment_counter(fleet, "cs_starts_unsettled_total");
}

/* Ends the watch of the start's worker. */
static void
unwatch(struct unsettled_start *start)
{
    if (start->watched)
        start->worker->watched_starts--;
    start->watched = false;
}

void
unsettled_note(const struct call *call)
{
    struct unsettled_start start = {.worker = call->worker,
                                    .run = call->run,
                                    .incarnation_ms = call->incarnation_ms,
                                    .sent_us = call->sent_us};

    add_start(call->fleet, call->task, &start);
}

void
unsettled_note_adopted(cs_fleet *fleet, const struct task *task)
{
    struct unsettled_start start = {.worker = task->worker,
                                    .run = task->run,
                                    .incarnation_ms =
                                        task->worker->incarnation_ms,
                                    .sent_us = fleet_now(fleet).boot_us};
    char name[TASK_NAME_BYTES];

    task_name(name, task);
    add_start(fleet, name, &start);
}

void
unsettled_settle(const struct call *call)
{
    struct unsettled_start *start =
        find_start(call->fleet, call->worker, call->task, call->run);

    if (!start || call->incarnation_ms <= start->incarnation_ms)
        return;
    /* The run may have begun before, and takes a while to stop. */
    start->stopped_incarnation_ms = call->incarnation_ms;
    start->stopped_us = fleet_now(call->fleet).boot_us;
    heartbeat_probe(call->fleet, call->worker);
}

void
unsettled_confirm_stops(cs_fleet *fleet, const struct worker *worker,
                        int64_t sent_us)
{
    GHashTableIter iter;
    gpointer value;
    guint i;

    if (worker->unsettled_starts == 0)
        return;
    g_hash_table_iter_init(&iter, fleet->unsettled_starts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GArray *starts = value;

        for (i = 0; i < starts->len; i++) {
            struct unsettled_start *start =
                &g_array_index(starts, struct unsettled_start, i);

            if (start->worker == worker &&
                start->stopped_incarnation_ms == worker->incarnation_ms &&
                start->stopped_us <= sent_us)
                start->incarnation_ms = worker->incarnation_ms;
        }
    }
}

void
unsettled_end(cs_fleet *fleet, struct worker *worker, const char *name,
              uint32_t run)
{
    struct unsettled_start *start;
    GArray *starts;

    if (worker->unsettled_starts == 0)
        return;
    start = find_start(fleet, worker, name, run);
    if (!start)
        return;
    starts = g_hash_table_lookup(fleet->unsettled_starts, name);
    unwatch(start);
    worker->unsettled_starts--;
    g_array_remove_index_fast(
        starts,
        (guint)(start - (struct unsettled_start *)(void *)starts->data));
    if (starts->len == 0)
        g_hash_table_remove(fleet->unsettled_starts, name);
}

static order_prospect
order_prospect_of(const struct unsettled_start *start, int64_t now_us)
{
    const struct worker *worker = start->worker;

    if (now_us - start->sent_us > LATE_ORDER_MAX_US)
        return ORDER_REFUSED;
    /* A worker without an address has no entry, and cannot be asked. */
    if (worker->incarnation_ms != start->incarnation_ms ||
        worker->failed_heartbeats >= FAILED_HEARTBEATS_MAX ||
        !worker->address[0])
        return ORDER_ACCEPTED;
    if (!worker->answered || worker->failed_heartbeats > 0 ||
        now_us - worker->last_answer_us > ANSWER_AGE_MAX_US)
        return ORDER_DOUBTFUL;
    return ORDER_REFUSED;
}

/* Returns whether the start is that of the run that its task has on the
   worker, which heartbeats settle. */
static bool
is_accounted_for(const struct task *task, const struct unsettled_start *start)
{
    return task && task->worker == start->worker && task->run == start->run;
}

bool
unsettled_holds(const cs_fleet *fleet, const struct task *task)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    char name[TASK_NAME_BYTES];
    GArray *starts;
    guint i;

    if (g_hash_table_size(fleet->unsettled_starts) == 0)
        return false;
    task_name(name, task);
    starts = g_hash_table_lookup(fleet->unsettled_starts, name);
    for (i = 0; starts && i < starts->len; i++) {
        const struct unsettled_start *start =
            &g_array_index(starts, struct unsettled_start, i);

        /* With its worker the run there ends as well. */
        if (start->worker != task->worker &&
            order_prospect_of(start, now_us) != ORDER_REFUSED)
            return true;
    }
    return false;
}

void
unsettled_hold_tasks(cs_fleet *fleet, GPtrArray *held)
{
    GHashTableIter iter;
    gpointer name;

    g_hash_table_iter_init(&iter, fleet->unsettled_starts);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        struct task *task = job_find_task(fleet, name);

        if (!task || task->state != TASK_WAITING || task->held ||
            !unsettled_holds(fleet, task))
            continue;
        task->held = true;
        task->step->waiting_count--;
        g_ptr_array_add(held, task);
    }
}

static void
log_prospect(const char *name, const struct unsettled_start *start,
             const struct task *task, int64_t now_us)
{
    const struct worker *worker = start->worker;

    cs_log_event(
        start->accepted ? "late-start-possible" : "late-start-refused",
        "task %s run %u on worker %s, sent %" PRId64
        " ms ago, refused by incarnation %" PRIu64 ", now %" PRIu64
        ", answered %" PRId64 " ms ago, %u heartbeats failed; the "
        "task's newest run %u is on %s",
        name, start->run, worker->id, (now_us - start->sent_us) / CS_MS_US,
        start->incarnation_ms, worker->incarnation_ms,
        worker->last_answer_us ? (now_us - worker->last_answer_us) / CS_MS_US
                               : -1,
        worker->failed_heartbeats, task ? task->run : 0,
        task && task->worker ? task->worker->id : "none");
}

/* Stops a run that is at work elsewhere while the start may be carried out.
   The members of a gang work only together. */
static void
stop_other_run(cs_fleet *fleet, struct task *task)
{
    if (task->state != TASK_STARTING && task->state != TASK_RUNNING)
        return;
    fleet_increment_counter(fleet, "cs_runs_stopped_for_late_starts_total");
    run_stop(fleet, task);
    if (task->step->spec->gang)
        step_stop_members(fleet, task->step);
}

static void
apply_prospect(cs_fleet *fleet, const char *name,
               struct unsettled_start *start, int64_t now_us)
{
    struct task *task = job_find_task(fleet, name);
    order_prospect prospect = order_prospect_of(start, now_us);

    if (is_accounted_for(task, start))
        return;
    if (prospect != ORDER_DOUBTFUL &&
        start->accepted != (prospect == ORDER_ACCEPTED)) {
        start->accepted = prospect == ORDER_ACCEPTED;
        log_prospect(name, start, task, now_us);
        fleet->cycle_requested = true;
    }
    if (prospect == ORDER_ACCEPTED && task && task->worker != start->worker)
        stop_other_run(fleet, task);
}

static void
stop_on_new_incarnation(cs_fleet *fleet, const char *name,
                        struct unsettled_start *start, int64_t now_us)
{
    struct worker *worker = start->worker;

    if (worker->incarnation_ms == start->incarnation_ms ||
        (!worker->listed && !worker->answered) ||
        is_accounted_for(job_find_task(fleet, name), start) ||
        (start->stop_sent_us && now_us - start->stop_sent_us < RETRY_US))
        return;
    if (start->stop_sent_us == 0)
        cs_log_event("start-unsettled",
                     "task %s run %u is stopped on worker %s/%" PRIu64
                     ", started on /%" PRIu64 " %" PRId64 " ms ago",
                     name, start->run, worker->id, worker->incarnation_ms,
                     start->incarnation_ms,
                     (now_us - start->sent_us) / CS_MS_US);
    start->stop_sent_us = now_us;
    run_send_stop(fleet, worker, name, start->run);
}

/* Handles the unsettled starts of a task. Returns whether there are any left.
 */
static bool
advance_starts(cs_fleet *fleet, const char *name, GArray *starts,
               int64_t now_us)
{
    guint i = 0;

    while (i < starts->len) {
        struct unsettled_start *start =
            &g_array_index(starts, struct unsettled_start, i);

        apply_prospect(fleet, name, start, now_us);
        stop_on_new_incarnation(fleet, name, start, now_us);
        if (now_us - start->sent_us > LATE_ORDER_MAX_US)
            unwatch(start);
        if (now_us - start->sent_us > REFUSE_US) {
            start->worker->unsettled_starts--;
            g_array_remove_index_fast(starts, i);
        }
        else {
            i++;
        }
    }
    return starts->len > 0;
}

void
unsettled_tick(cs_fleet *fleet)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    GHashTableIter iter;
    gpointer name;
    gpointer starts;

    g_hash_table_iter_init(&iter, fleet->unsettled_starts);
    while (g_hash_table_iter_next(&iter, &name, &starts)) {
        if (!advance_starts(fleet, name, starts, now_us))
            g_hash_table_iter_remove(&iter);
    }
}

/* The record may be written some time after the store's clock was read. */
static int64_t
expiry_ms(const cs_fleet *fleet, const struct unsettled_start *start,
          int64_t now_us)
{
    int64_t remaining_us = start->sent_us + LATE_ORDER_MAX_US - now_us;

    return fleet_store_clock_ms(fleet) +
           (remaining_us + STORE_TIMEOUT_US) / CS_MS_US;
}

void
unsettled_add_to_record(const cs_fleet *fleet, const struct task *task,
                        cs_job_progress *progress, size_t *available)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    char name[TASK_NAME_BYTES];
    GArray *starts;
    guint i;

    task_name(name, task);
    starts = g_hash_table_lookup(fleet->unsettled_starts, name);
    for (i = 0; starts && i < starts->len; i++) {
        const struct unsettled_start *start =
            &g_array_index(starts, struct unsettled_start, i);
        cs_unsettled_start record = {.occurrence = task->step->occurrence,
                                     .step = task->step->number,
                                     .index = task->index,
                                     .run = start->run,
                                     .worker = start->worker->id,
                                     .incarnation_ms = start->incarnation_ms,
                                     .expires_ms =
                                         expiry_ms(fleet, start, now_us)};

        if (!start->watched)
            continue;
        if (*available < CS_UNSETTLED_START_BYTES_MAX) {
            /* A successor does not know of the start. */
            fleet_increment_counter(fleet, "cs_starts_unrecorded_total");
            return;
        }
        *available -= CS_UNSETTLED_START_BYTES_MAX;
        cs_job_progress_add_unsettled(progress, &record);
    }
}

void
unsettled_restore(cs_fleet *fleet, const char *job_id,
                  const cs_unsettled_start *record)
{
    int64_t remaining_us =
        (record->expires_ms - fleet_store_clock_ms(fleet)) * CS_MS_US;
    struct unsettled_start start = {.run = record->run,
                                    .incarnation_ms = record->incarnation_ms};
    char name[TASK_NAME_BYTES];

    if (remaining_us <= 0 || !record->worker[0])
        return;
    start.worker = worker_get(fleet, record->worker);
    start.sent_us = fleet_now(fleet).boot_us - LATE_ORDER_MAX_US +
                    MIN(remaining_us, LATE_ORDER_MAX_US);
    g_snprintf(name, sizeof(name), "%s.%u.%u.%u", job_id, record->occurrence,
               record->step, record->index);
    add_start(fleet, name, &start);
}
