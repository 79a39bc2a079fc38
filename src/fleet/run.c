/* Orders to start and stop a run. */
#include "fleet_internal.h"

#define ORDER_US (900 * CS_MS_US)
/* A worker that refuses for want of room has not listed an end yet. */
#define NO_SPACE_PAUSE_US (150 * CS_MS_US)
#define UNREACHED_PAUSE_US (500 * CS_MS_US)

static void
pause_worker(cs_fleet *fleet, struct worker *worker, int64_t pause_us)
{
    int64_t until_us = fleet_now(fleet).boot_us + pause_us;

    worker->aside_until_us = MAX(worker->aside_until_us, until_us);
}

static struct task *
find_run(const struct call *call)
{
    struct task *task = job_find_task(call->fleet, call->task);

    if (!task || task->worker != call->worker || task->run != call->run)
        return NULL;
    return task;
}

/* The run surely does not exist: the task waits again. */
static void
not_started(cs_fleet *fleet, struct task *task)
{
    struct step *step = task->step;

    task_release(fleet, task);
    if (step->spec->gang)
        step_break(fleet, step);
}

static void
on_refused(cs_fleet *fleet, struct task *task, const cs_worker_answer *answer)
{
    struct worker *worker = task->worker;

    switch (answer->refusal) {
    case CS_REFUSED_FENCED:
        tenure_lost(fleet, "a worker has seen a higher epoch");
        return;
    case CS_REFUSED_NO_SPACE:
        pause_worker(fleet, worker, NO_SPACE_PAUSE_US);
        fleet_count(fleet, "cs_starts_without_space_total");
        break;
    case CS_REFUSED_INCARNATION:
    case CS_REFUSED_LATE:
        worker->looked = false;
        worker->next_hold_us = 0;
        break;
    case CS_REFUSED_OLD_RUN:
        break;
    case CS_REFUSED_TICKET:
        advice_drop(task->step, worker);
        fleet_count(fleet, "cs_starts_without_ticket_total");
        break;
    case CS_REFUSED_OTHER:
        worker_failed(fleet, worker, task->step->job->spec.id);
        break;
    }
    not_started(fleet, task);
}

static void
on_confirmed(cs_fleet *fleet, struct task *task)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    if (task->state == TASK_STARTING)
        task->state = TASK_RUNNING;
    task->confirmed_us = now_us;
    if (!task->worker->hold_open)
        task->worker->next_hold_us = 0;
}

static void
log_start(const struct call *call, const cs_worker_answer *answer)
{
    cs_log_event("start-not-confirmed",
                 "task %s run %u worker %s: %s, refusal %d, sent %" PRId64
                 " ms ago",
                 call->task, call->run, call->worker->id,
                 cs_error_name(answer->code), (int)answer->refusal,
                 (fleet_now(call->fleet).boot_us - call->sent_us) / CS_MS_US);
}

static void
handle_start(struct call *call, const cs_worker_answer *answer)
{
    cs_fleet *fleet = call->fleet;
    struct task *task = find_run(call);

    if (answer->code)
        log_start(call, answer);
    if (!task)
        return;
    switch (answer->code) {
    case 0:
        on_confirmed(fleet, task);
        return;
    case CS_E_WORKER:
        on_refused(fleet, task, answer);
        return;
    case CS_E_CONNECT:
        pause_worker(fleet, task->worker, UNREACHED_PAUSE_US);
        not_started(fleet, task);
        return;
    case CS_E_OVERLOAD:
        worker_failed(fleet, task->worker, task->step->job->spec.id);
        pause_worker(fleet, task->worker, UNREACHED_PAUSE_US);
        not_started(fleet, task);
        return;
    default:
        /* It may run, now or later; the next look tells. */
        task->doubtful = true;
        pause_worker(fleet, task->worker, UNREACHED_PAUSE_US);
        task->worker->next_hold_us = 0;
        return;
    }
}

static void
on_started(void *data, const cs_worker_answer *answer)
{
    struct call *call = data;

    if (!call_is_stale(call))
        handle_start(call, answer);
    g_free(call);
}

static const char *
gang_saved(const struct task *task)
{
    uint32_t i;

    if (!task->step->spec->gang)
        return task->saved;
    /* All members start from the same one. */
    for (i = 0; i < task->step->spec->task_count; i++) {
        if (task->step->tasks[i].saved)
            return task->step->tasks[i].saved;
    }
    return NULL;
}

void
run_start(cs_fleet *fleet, struct task *task)
{
    const cs_worker_port *port = fleet->board->ports.workers;
    struct worker *worker = task->worker;
    int64_t now_us = fleet_now(fleet).boot_us;
    cs_worker_target target = {worker->address, worker->id, false,
                               worker->zone};
    cs_start_order order = {.run = task->run,
                            .spec = task->step->job->spec.text,
                            .saved = gang_saved(task),
                            .ticket = advice_ticket(fleet, task->step, worker),
                            .epoch = fleet->epoch};
    struct call *call = call_create(fleet, worker);

    order.until_ms = worker_clock_ms(worker, now_us) +
                     fleet->board->settings.bounds.worker_lease_ms;
    worker_note_lease(worker, order.until_ms);
    task_name(call->task, task);
    call->run = task->run;
    order.task = call->task;
    task->state = TASK_STARTING;
    task->started_us = now_us;
    task->step->job->begun = true;
    fleet_count(fleet, "cs_starts_total");
    port->start(port->self, &target, &order, now_us + ORDER_US, on_started,
                call);
}

/*
 * A run that was there lists its end, which ends the look that waits. One
 * that was not there yet can no longer come: a look from now on settles it.
 */
static void
stop_was_answered(cs_fleet *fleet, struct task *task)
{
    task->stop_answered = true;
    task->stop_answered_us = fleet_now(fleet).boot_us;
    if (task->doubtful)
        hold_probe(fleet, task->worker);
    else if (!task->worker->hold_open)
        task->worker->next_hold_us = 0;
}

static void
on_stopped(void *data, const cs_worker_answer *answer)
{
    struct call *call = data;
    struct task *task;

    if (!call_is_stale(call)) {
        task = find_run(call);
        if (answer->code == CS_E_WORKER &&
            answer->refusal == CS_REFUSED_FENCED)
            tenure_lost(call->fleet, "a worker has seen a higher epoch");
        else if (task && task->state == TASK_STOPPING) {
            task->stop_open = false;
            if (answer->code == 0)
                stop_was_answered(call->fleet, task);
        }
    }
    g_free(call);
}

static void
send_stop(cs_fleet *fleet, struct worker *worker, const char *name,
          uint32_t run)
{
    const cs_worker_port *port = fleet->board->ports.workers;
    cs_worker_target target = {worker->address, worker->id, false,
                               worker->zone};
    struct call *call = call_create(fleet, worker);

    g_strlcpy(call->task, name, sizeof(call->task));
    call->run = run;
    fleet_count(fleet, "cs_stops_total");
    port->stop(port->self, &target, call->task, run, fleet->epoch,
               call->sent_us + ORDER_US, on_stopped, call);
}

void
run_stop(cs_fleet *fleet, struct task *task)
{
    char name[TASK_NAME_BYTES];

    task->state = TASK_STOPPING;
    if (task->stop_open || task->stop_answered || !task->worker->address[0])
        return;
    task->stop_open = true;
    task->stop_sent_us = fleet_now(fleet).boot_us;
    task_name(name, task);
    send_stop(fleet, task->worker, name, task->run);
}

void
run_stop_unknown(cs_fleet *fleet, struct worker *worker, const char *task,
                 uint32_t run)
{
    cs_log_event("run-unknown", "task %.60s run %u worker %s is stopped", task,
                 run, worker->id);
    fleet_count(fleet, "cs_runs_unknown_total");
    worker_expect_end(fleet, worker);
    /* Its demand is not counted, and is free only after the stop. */
    pause_worker(fleet, worker,
                 fleet->board->settings.bounds.stop_ms * CS_MS_US);
    send_stop(fleet, worker, task, run);
}
