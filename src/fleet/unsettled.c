/*
 * Starts that have got no answer. Such an order may be carried out seconds
 * later. The worker refuses it if it was told to stop the run before, or if
 * the order's lease has ended, unless it is another incarnation by then under
 * the same id: that one knows neither the former clock nor earlier stops. It
 * is therefore told to stop these runs as soon as it is known, after which it
 * refuses their starts.
 */
#include "fleet_internal.h"

/* For how long a start may be carried out late. The protocol of the workers
   gives no bound; orders are known to take up to 12 s. */
#define LATE_ORDER_MAX_US (30 * CS_SEC_US)
#define RETRY_US (500 * CS_MS_US)

struct unsettled_start {
    char task[TASK_NAME_BYTES];
    uint32_t run;
    uint64_t incarnation_ms; /* the newest one that is known to refuse it, or
                                that it was sent to */
    int64_t sent_us;
    int64_t stop_sent_us; /* 0 not yet */
};

GArray *
unsettled_starts_create(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct unsettled_start));
}

void
unsettled_note(const struct call *call)
{
    struct unsettled_start start = {.run = call->run,
                                    .incarnation_ms = call->incarnation_ms,
                                    .sent_us = call->sent_us};

    g_strlcpy(start.task, call->task, sizeof(start.task));
    g_array_append_val(call->worker->unsettled, start);
}

void
unsettled_settle(const struct call *call)
{
    guint i;

    for (i = 0; i < call->worker->unsettled->len; i++) {
        struct unsettled_start *start =
            &g_array_index(call->worker->unsettled, struct unsettled_start, i);

        if (start->run == call->run && strcmp(start->task, call->task) == 0)
            start->incarnation_ms =
                MAX(start->incarnation_ms, call->incarnation_ms);
    }
}

/* Returns whether the run is the one that its task has on the worker, which
   heartbeats settle. */
static bool
is_accounted_for(cs_fleet *fleet, const struct worker *worker,
                 const struct unsettled_start *start)
{
    const struct task *task = job_find_task(fleet, start->task);

    return task && task->worker == worker && task->run == start->run;
}

static void
stop_on_new_incarnation(cs_fleet *fleet, struct worker *worker,
                        struct unsettled_start *start, int64_t now_us)
{
    if (start->stop_sent_us && now_us - start->stop_sent_us < RETRY_US)
        return;
    if (start->stop_sent_us == 0)
        cs_log_event("start-unsettled",
                     "task %s run %u is stopped on worker %s/%" PRIu64
                     ", started on /%" PRIu64 " %" PRId64 " ms ago",
                     start->task, start->run, worker->id,
                     worker->incarnation_ms, start->incarnation_ms,
                     (now_us - start->sent_us) / CS_MS_US);
    start->stop_sent_us = now_us;
    run_send_stop(fleet, worker, start->task, start->run);
}

void
unsettled_tick(cs_fleet *fleet, struct worker *worker, int64_t now_us)
{
    guint i = 0;

    while (i < worker->unsettled->len) {
        struct unsettled_start *start =
            &g_array_index(worker->unsettled, struct unsettled_start, i);

        if (now_us - start->sent_us > LATE_ORDER_MAX_US) {
            g_array_remove_index_fast(worker->unsettled, i);
            continue;
        }
        i++;
        if (worker->listed &&
            start->incarnation_ms != worker->incarnation_ms &&
            !is_accounted_for(fleet, worker, start))
            stop_on_new_incarnation(fleet, worker, start, now_us);
    }
}
