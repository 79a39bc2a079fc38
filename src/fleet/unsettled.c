/*
 * Starts without an answer that were given up with a silent worker. Such an
 * order may be carried out seconds later. The worker refuses it then, as its
 * lease has ended, unless it is another incarnation by then under the same id:
 * that one knows neither the former clock nor earlier stops. It is therefore
 * told to stop these runs as soon as it is known, after which it refuses their
 * starts.
 */
#include "fleet_internal.h"

/* For how long a start may be carried out late. The protocol of the workers
   gives no bound; orders are known to take up to 12 s. */
#define LATE_ORDER_MAX_US (30 * CS_SEC_US)
#define RETRY_US (500 * CS_MS_US)

struct unsettled_start {
    char task[TASK_NAME_BYTES];
    uint32_t run;
    uint64_t incarnation_ms; /* of the worker that was given up */
    int64_t given_up_us;
    int64_t stop_sent_us; /* 0 not yet */
};

GArray *
unsettled_starts_create(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct unsettled_start));
}

static bool
is_unsettled(const struct task *task)
{
    if (task->adopted || task->stop_answered)
        return false;
    return task->state == TASK_STARTING || task->start_unconfirmed;
}

void
unsettled_note(const cs_fleet *fleet, const struct task *task)
{
    struct worker *worker = task->worker;
    struct unsettled_start start = {.run = task->run,
                                    .incarnation_ms = worker->incarnation_ms,
                                    .given_up_us = fleet_now(fleet).boot_us};

    if (!is_unsettled(task))
        return;
    task_name(start.task, task);
    g_array_append_val(worker->unsettled, start);
}

void
unsettled_settle(struct worker *worker, const char *name, uint32_t run)
{
    guint i;

    for (i = 0; i < worker->unsettled->len; i++) {
        const struct unsettled_start *start =
            &g_array_index(worker->unsettled, struct unsettled_start, i);

        if (start->run == run && strcmp(start->task, name) == 0) {
            g_array_remove_index_fast(worker->unsettled, i);
            return;
        }
    }
}

void
unsettled_tick(cs_fleet *fleet, struct worker *worker, int64_t now_us)
{
    guint i = 0;

    while (i < worker->unsettled->len) {
        struct unsettled_start *start =
            &g_array_index(worker->unsettled, struct unsettled_start, i);

        if (now_us - start->given_up_us > LATE_ORDER_MAX_US) {
            g_array_remove_index_fast(worker->unsettled, i);
            continue;
        }
        i++;
        if (!worker->listed ||
            start->incarnation_ms == worker->incarnation_ms ||
            (start->stop_sent_us && now_us - start->stop_sent_us < RETRY_US))
            continue;
        if (start->stop_sent_us == 0)
            cs_log_event("start-unsettled",
                         "task %s run %u is stopped on worker %s/%" PRIu64
                         ", given up on /%" PRIu64 " %" PRId64 " ms ago",
                         start->task, start->run, worker->id,
                         worker->incarnation_ms, start->incarnation_ms,
                         (now_us - start->given_up_us) / CS_MS_US);
        start->stop_sent_us = now_us;
        run_send_stop(fleet, worker, start->task, start->run);
    }
}
