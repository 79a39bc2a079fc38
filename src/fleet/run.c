/* Starts and stops runs on workers and handles the answers. */
#include "fleet_internal.h"

/* A worker that refuses a start for lack of capacity probably has a run that
   has ended but is not listed yet, so a short pause suffices. */
#define NO_SPACE_PAUSE_US (150 * CS_MS_US)
#define UNREACHED_PAUSE_US (500 * CS_MS_US)

static void
pause_worker(cs_fleet *fleet, struct worker *worker, int64_t pause_us)
{
    int64_t until_us = fleet_now(fleet).boot_us + pause_us;

    worker->paused_until_us = MAX(worker->paused_until_us, until_us);
}

static struct task *
find_run(const struct call *call)
{
    struct task *task = job_find_task(call->fleet, call->task);

    if (!task || task->worker != call->worker || task->run != call->run)
        return NULL;
    return task;
}

/* Lets a task wait again whose run surely does not exist. */
static void
requeue_task(cs_fleet *fleet, struct task *task)
{
    struct step *step = task->step;

    task_release(fleet, task);
    if (step->spec->gang)
        step_stop_members(fleet, step);
}

static void
handle_refusal(cs_fleet *fleet, struct task *task,
               const cs_worker_answer *answer)
{
    struct worker *worker = task->worker;

    switch (answer->refusal) {
    case CS_REFUSED_FENCED:
        tenure_end(fleet, "a worker has seen a higher epoch");
        return;
    case CS_REFUSED_NO_SPACE:
        pause_worker(fleet, worker, NO_SPACE_PAUSE_US);
        fleet_increment_counter(fleet, "cs_starts_without_space_total");
        break;
    case CS_REFUSED_INCARNATION:
    case CS_REFUSED_LEASE_EXPIRED:
        worker->answered = false;
        worker->next_heartbeat_us = 0;
        break;
    case CS_REFUSED_OLD_RUN:
        /* The run itself may have ended there and not be listed yet. If it
           did not, it is stopped as one of unknown outcome. */
        task->start_unconfirmed = true;
        heartbeat_probe(fleet, worker);
        return;
    case CS_REFUSED_TICKET:
        advice_discard_ticket(task->step, worker);
        fleet_increment_counter(fleet, "cs_starts_without_ticket_total");
        break;
    case CS_REFUSED_OTHER:
        worker_record_failure(fleet, worker, task->step->job->spec.id);
        break;
    }
    requeue_task(fleet, task);
}

static void
confirm_start(cs_fleet *fleet, struct task *task)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    job_note_begun(fleet, task->step->job);
    if (task->state == TASK_STARTING)
        task->state = TASK_RUNNING;
    task->confirmed_us = now_us;
    if (!task->worker->heartbeat_pending)
        task->worker->next_heartbeat_us = 0;
}

static void
log_unconfirmed_start(const struct call *call, const cs_worker_answer *answer)
{
    cs_log_event("start-not-confirmed",
                 "task %s run %u worker %s: %s, refusal %d, sent %" PRId64
                 " ms ago",
                 call->task, call->run, call->worker->id,
                 cs_error_name(answer->code), (int)answer->refusal,
                 (fleet_now(call->fleet).boot_us - call->sent_us) / CS_MS_US);
}

/* Returns whether the order may have been carried out, or may be later. */
static bool
is_outcome_unknown(const cs_worker_answer *answer)
{
    switch (answer->code) {
    case 0:
    case CS_E_WORKER:
    case CS_E_CONNECT:
    case CS_E_OVERLOAD:
        return false;
    default:
        return true;
    }
}

static void
handle_start(struct call *call, const cs_worker_answer *answer)
{
    cs_fleet *fleet = call->fleet;
    struct task *task = find_run(call);

    if (answer->code)
        log_unconfirmed_start(call, answer);
    /* A run that the worker has listed has been carried out. */
    if (is_outcome_unknown(answer) && !(task && task->confirmed_us)) {
        unsettled_note(call);
        /* A successor may not reach the worker, and then knows it only from
           the record. */
        if (task)
            progress_set_task_dirty(fleet, task);
    }
    if (!task)
        return;
    switch (answer->code) {
    case 0:
        confirm_start(fleet, task);
        return;
    case CS_E_WORKER:
        handle_refusal(fleet, task, answer);
        return;
    case CS_E_CONNECT:
        pause_worker(fleet, task->worker, UNREACHED_PAUSE_US);
        requeue_task(fleet, task);
        return;
    case CS_E_OVERLOAD:
        worker_record_failure(fleet, task->worker, task->step->job->spec.id);
        pause_worker(fleet, task->worker, UNREACHED_PAUSE_US);
        requeue_task(fleet, task);
        return;
    default:
        /* The run may exist, now or later. A heartbeat that waits for an end
           would tell seconds later. */
        task->start_unconfirmed = true;
        pause_worker(fleet, task->worker, UNREACHED_PAUSE_US);
        task->worker->probe_requested = true;
        task->worker->next_heartbeat_us = 0;
        return;
    }
}

static void
on_start_answer(void *user_data, const cs_worker_answer *answer)
{
    struct call *call = user_data;

    if (!call_is_stale(call))
        handle_start(call, answer);
    g_free(call);
}

/* Returns the checkpoint that the task's run resumes; NULL for none. */
static const char *
start_checkpoint(const struct task *task)
{
    uint32_t i;

    if (!task->step->spec->gang)
        return task->checkpoint;
    /* All members of a gang resume the same checkpoint. */
    for (i = 0; i < task->step->spec->task_count; i++) {
        if (task->step->tasks[i].checkpoint)
            return task->step->tasks[i].checkpoint;
    }
    return NULL;
}

void
run_start(cs_fleet *fleet, struct task *task)
{
    const cs_worker_port *port = fleet->state->ports.workers;
    struct worker *worker = task->worker;
    int64_t now_us = fleet_now(fleet).boot_us;
    cs_worker_target target = {worker->address, worker->id, false,
                               worker->zone};
    cs_start_order order = {.run = task->run,
                            .payload = task->step->job->spec.payload,
                            .checkpoint_data = start_checkpoint(task),
                            .ticket = advice_ticket(fleet, task->step, worker),
                            .epoch = fleet->epoch};
    struct call *call = call_create(fleet, worker);

    order.lease_end_ms = worker_clock_ms(worker, now_us) +
                         fleet->state->settings.bounds.worker_lease_ms;
    worker_extend_lease_end(worker, order.lease_end_ms);
    task_name(call->task, task);
    call->run = task->run;
    call->incarnation_ms = worker->incarnation_ms;
    order.task = call->task;
    task->state = TASK_STARTING;
    task->started_us = now_us;
    fleet_increment_counter(fleet, "cs_starts_total");
    port->start(port->self, &target, &order, now_us + ORDER_TIMEOUT_US,
                on_start_answer, call);
}

/*
 * Handles a successful stop. If the run existed, the worker lists its end,
 * which answers the pending heartbeat. If its start was unconfirmed, the run
 * may not have existed; after the stop it can no longer begin, so a probe from
 * now on shows whether it did.
 */
static void
confirm_stop(cs_fleet *fleet, struct task *task)
{
    task->stop_answered = true;
    task->stop_answered_us = fleet_now(fleet).boot_us;
    if (task->start_unconfirmed)
        heartbeat_probe(fleet, task->worker);
    else if (!task->worker->heartbeat_pending)
        task->worker->next_heartbeat_us = 0;
}

static void
on_stop_answer(void *user_data, const cs_worker_answer *answer)
{
    struct call *call = user_data;
    struct task *task;

    if (!call_is_stale(call)) {
        task = find_run(call);
        if (answer->code == 0)
            unsettled_settle(call);
        if (answer->code == CS_E_WORKER &&
            answer->refusal == CS_REFUSED_FENCED)
            tenure_end(call->fleet, "a worker has seen a higher epoch");
        else if (task && task->state == TASK_STOPPING) {
            task->stop_pending = false;
            if (answer->code == 0)
                confirm_stop(call->fleet, task);
        }
    }
    g_free(call);
}

void
run_send_stop(cs_fleet *fleet, struct worker *worker, const char *name,
              uint32_t run)
{
    const cs_worker_port *port = fleet->state->ports.workers;
    cs_worker_target target = {worker->address, worker->id, false,
                               worker->zone};
    struct call *call = call_create(fleet, worker);

    g_strlcpy(call->task, name, sizeof(call->task));
    call->run = run;
    call->incarnation_ms = worker->incarnation_ms;
    fleet_increment_counter(fleet, "cs_stops_total");
    port->stop(port->self, &target, call->task, run, fleet->epoch,
               call->sent_us + ORDER_TIMEOUT_US, on_stop_answer, call);
}

void
run_stop(cs_fleet *fleet, struct task *task)
{
    char name[TASK_NAME_BYTES];

    task->state = TASK_STOPPING;
    if (task->stop_pending || task->stop_answered || !task->worker->address[0])
        return;
    task->stop_pending = true;
    task->stop_sent_us = fleet_now(fleet).boot_us;
    task_name(name, task);
    run_send_stop(fleet, task->worker, name, task->run);
}

void
run_stop_unknown(cs_fleet *fleet, struct worker *worker, const char *task,
                 uint32_t run)
{
    unwanted_note(fleet, worker, task, run);
    fleet_increment_counter(fleet, "cs_runs_unknown_total");
    worker_expect_end(fleet, worker);
    /* No task accounts for the run's demand, so the worker's capacity appears
       free until the stop has taken effect. */
    pause_worker(fleet, worker,
                 fleet->state->settings.bounds.stop_ms * CS_MS_US);
    run_send_stop(fleet, worker, task, run);
}
