/*
 * Heartbeats to workers. A heartbeat extends the leases of the runs on the
 * worker, and its answer lists the runs and those that have ended. The worker
 * delays the answer until a run ends (long polling). Workers without tasks get
 * heartbeats only until they have answered once and their ends are
 * acknowledged.
 */
#include "fleet_internal.h"

/* A worker delays its answer for up to this long. */
#define HEARTBEAT_WAIT_MS 2000
/* Pause after a failed heartbeat to a worker with tasks. */
#define RETRY_US (300 * CS_MS_US)
/* The same for a worker without tasks, which is less urgent. */
#define RETRY_IDLE_US (1000 * CS_MS_US)
/* The same for a watched one, whose next incarnation is to be told soon which
   starts it must refuse. The first failed heartbeat is repeated at once. */
#define RETRY_WATCHED_US (100 * CS_MS_US)
/* Between heartbeats to a worker whose ends are not recorded yet. */
#define UNRECORDED_PAUSE_US (1000 * CS_MS_US)
#define EXTEND_INTERVAL_US (2 * CS_SEC_US)
#define STOP_RETRY_US (500 * CS_MS_US)
/* Maximum heartbeats in flight to unverified workers, which have no tasks and
   are not known to answer. A new holder sends one to every worker, and must
   extend the leases of running work and schedule jobs meanwhile. */
#define IDLE_HEARTBEATS_MAX 64
/* Connections to idle workers stay open if those to all workers, up to
   WORKER_CONNECTIONS each, take at most this share of the descriptors. */
#define OPEN_CONNECTIONS_SHARE_MAX 0.5
#define WORKER_CONNECTIONS 4

/* Returns whether it matters that the worker ends: a start there may be
   carried out yet, by its next incarnation. */
static bool
is_watched(const struct worker *worker)
{
    return worker->watched_starts > 0;
}

static bool
needs_heartbeat(const struct worker *worker)
{
    if (!worker->address[0])
        return false;
    if (worker->tasks->len > 0 || is_watched(worker))
        return true;
    if (!worker->listed)
        return false;
    return !worker->answered || worker->failed_heartbeats > 0 ||
           worker->last_answer_us < worker->expect_ends_until_us ||
           worker->ends_processed > worker->ends_recorded ||
           worker->ends_recorded > worker->ends_acknowledged;
}

static void
update_clock(struct worker *worker, const cs_worker_answer *answer,
             int64_t now_us)
{
    if (answer->clock_ms < 0)
        return;
    worker->clock_ms = answer->clock_ms;
    worker->clock_read_us = now_us;
}

static void
process_end(cs_fleet *fleet, struct worker *worker,
            const cs_worker_ended_run *end)
{
    struct task *task = job_find_task(fleet, end->task);

    /* A run that was stopped need not have been there. */
    if (end->outcome != CS_OUTCOME_STOPPED)
        unsettled_end(fleet, worker, end->task, end->run);
    if (!task)
        return;
    job_note_begun(fleet, task->step->job);
    if (end->run > task->run)
        task->highest_listed_run = MAX(task->highest_listed_run, end->run);
    if (task->worker == worker && task->run == end->run) {
        task_end(fleet, task, end->outcome, end->checkpoint_data,
                 "as the worker lists");
        return;
    }
    /* The run was considered lost, and its task was released or restarted, or
       it was never known. */
    if (end->outcome == CS_OUTCOME_DONE && task->state != TASK_DONE &&
        !task->step->spec->perpetual && !job_is_final(task->step->job))
        task_complete_late(fleet, task, end->run);
}

static void
process_ends(cs_fleet *fleet, struct worker *worker,
             const cs_worker_answer *answer)
{
    size_t i;

    for (i = 0; i < answer->ended_run_count; i++) {
        const cs_worker_ended_run *end = &answer->ended_runs[i];

        if (end->sequence <= worker->ends_processed)
            continue;
        worker->ends_processed = end->sequence;
        process_end(fleet, worker, end);
        fleet->cycle_requested = true;
    }
}

/*
 * Returns whether a listed run is not, or no longer, wanted on the worker. The
 * members of a gang that is done end by themselves.
 */
static bool
is_obsolete_run(const struct task *task, const struct worker *worker)
{
    if (task->worker == worker)
        return false;
    return task->state != TASK_DONE || !task->step->spec->gang;
}

static void
process_run(cs_fleet *fleet, struct worker *worker, const cs_worker_run *run,
            uint64_t heartbeat, int64_t now_us)
{
    struct task *task = job_find_task(fleet, run->task);

    unsettled_end(fleet, worker, run->task, run->run);
    if (task)
        job_note_begun(fleet, task->step->job);
    if (!task || task->run != run->run || is_obsolete_run(task, worker)) {
        run_stop_unknown(fleet, worker, run->task, run->run);
        return;
    }
    if (task->worker != worker)
        return;
    task->heartbeat = heartbeat;
    task_set_checkpoint(task, run->checkpoint_data);
    task->progress_percent = run->percent;
    task_sample_speed(fleet, task);
    if (task->state == TASK_STARTING) {
        task->state = TASK_RUNNING;
        task->start_unconfirmed = false;
        task_set_verified(task);
    }
    if (task->confirmed_us == 0)
        task->confirmed_us = now_us;
}

static void
end_absent_task(cs_fleet *fleet, struct task *task, cs_run_outcome end,
                int64_t sent_us)
{
    char reason[96];

    g_snprintf(reason, sizeof(reason),
               "not listed in the answer to a heartbeat sent %" PRId64
               " ms ago",
               (fleet_now(fleet).boot_us - sent_us) / CS_MS_US);
    fleet_increment_counter(fleet, "cs_runs_absent_total");
    task_end(fleet, task, end, "", reason);
}

/* Handles a placed task that an answer has not listed. */
static void
process_absent_task(cs_fleet *fleet, struct task *task, int64_t sent_us)
{
    switch (task->state) {
    case TASK_STARTING:
        if (task->adopted) {
            /* This tenure's epoch fences a delayed start of the former
               holder's, so the run can no longer begin on this incarnation. */
            unsettled_note_adopted(fleet, task);
            end_absent_task(fleet, task, CS_OUTCOME_LAPSED, sent_us);
        }
        else if (task->start_unconfirmed)
            run_stop(fleet, task);
        return;
    case TASK_RUNNING:
        if (task->confirmed_us < sent_us)
            end_absent_task(fleet, task, CS_OUTCOME_LAPSED, sent_us);
        return;
    case TASK_STOPPING:
        if (task->adopted)
            unsettled_note_adopted(fleet, task);
        if (task->adopted ||
            (task->stop_answered && task->stop_answered_us <= sent_us))
            end_absent_task(fleet, task, CS_OUTCOME_STOPPED, sent_us);
        return;
    case TASK_WAITING:
    case TASK_PLANNED:
    case TASK_RECORDING:
    case TASK_DONE:
        return;
    }
}

/* Handles all placed tasks that a heartbeat's answer has not listed. */
static void
process_absent_tasks(cs_fleet *fleet, struct worker *worker,
                     uint64_t heartbeat, int64_t sent_us)
{
    GPtrArray *absent = g_ptr_array_new();
    guint i;

    for (i = 0; i < worker->tasks->len; i++) {
        struct task *task = g_ptr_array_index(worker->tasks, i);

        if (task->heartbeat != heartbeat)
            g_ptr_array_add(absent, task);
    }
    for (i = 0; i < absent->len; i++) {
        struct task *task = g_ptr_array_index(absent, i);

        /* The end of a gang's member may have changed others. */
        if (task->worker == worker)
            process_absent_task(fleet, task, sent_us);
    }
    g_ptr_array_free(absent, TRUE);
}

static void
process_answer(cs_fleet *fleet, struct worker *worker,
               const cs_worker_answer *answer, int64_t sent_us)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    uint64_t heartbeat = ++fleet->heartbeat_serial;
    size_t i;

    /* Answers of former incarnations are ignored. */
    if (answer->incarnation_ms &&
        answer->incarnation_ms < worker->incarnation_ms) {
        worker->next_heartbeat_us = now_us;
        return;
    }
    if (answer->incarnation_ms > worker->incarnation_ms)
        worker_set_incarnation(fleet, worker, answer->incarnation_ms);
    update_clock(worker, answer, now_us);
    worker->last_answer_us = now_us;
    worker->failed_heartbeats = 0;
    worker->fenced = true;
    if (!worker->answered) {
        worker->answered = true;
        worker_assume_former_lease(fleet, worker);
        fleet->cycle_requested = true;
    }
    process_ends(fleet, worker, answer);
    for (i = 0; i < answer->run_count; i++)
        process_run(fleet, worker, &answer->runs[i], heartbeat, now_us);
    unwanted_forget(fleet, worker, sent_us);
    unsettled_confirm_stops(fleet, worker, sent_us);
    /* A run that is neither listed as present nor among the first ends may
       have ended as well; a later answer lists it. */
    if (answer->ended_run_count < CS_WORKER_ENDS_MAX)
        process_absent_tasks(fleet, worker, heartbeat, sent_us);
    worker->next_heartbeat_us = now_us;
    /* A worker with unacknowledged ends answers without delay, so pause. */
    if (worker->ends_processed > worker->ends_recorded &&
        now_us - worker->leases_extended_us < EXTEND_INTERVAL_US)
        worker->next_heartbeat_us =
            now_us +
            (is_watched(worker) ? RETRY_WATCHED_US : UNRECORDED_PAUSE_US);
}

static int64_t
retry_pause_us(const struct worker *worker)
{
    if (is_watched(worker))
        return worker->failed_heartbeats > 0 ? RETRY_WATCHED_US : 0;
    return worker->tasks->len > 0 ? RETRY_US : RETRY_IDLE_US;
}

static void
on_heartbeat(void *user_data, const cs_worker_answer *answer)
{
    struct call *call = user_data;
    cs_fleet *fleet = call->fleet;
    struct worker *worker = call->worker;
    int64_t sent_us = call->sent_us;
    uint64_t ends_recorded = call->ends_recorded;
    uint64_t incarnation_ms = call->incarnation_ms;
    bool stale = call_is_stale(call);
    bool probe = call->probe;

    g_free(call);
    if (stale)
        return;
    if (probe) {
        if (answer->code == 0)
            process_answer(fleet, worker, answer, sent_us);
        return;
    }
    worker->heartbeat_pending = false;
    if (worker->idle_heartbeat)
        fleet->idle_heartbeats--;
    worker->idle_heartbeat = false;
    if (answer->code == 0) {
        /* Another incarnation numbers its ends anew. */
        if (incarnation_ms == worker->incarnation_ms)
            worker->ends_acknowledged =
                MAX(worker->ends_acknowledged, ends_recorded);
        process_answer(fleet, worker, answer, sent_us);
        return;
    }
    fleet_increment_counter(fleet, "cs_looks_failed_total");
    worker->next_heartbeat_us =
        fleet_now(fleet).boot_us + retry_pause_us(worker);
    worker->failed_heartbeats++;
    if (answer->code != CS_E_WORKER)
        return;
    if (answer->refusal == CS_REFUSED_FENCED)
        tenure_end(fleet, "a worker has seen a higher epoch");
    else if (answer->refusal == CS_REFUSED_INCARNATION)
        worker_end_started_tasks(fleet, worker, "another incarnation answers");
}

/* Returns whether a heartbeat may extend the worker's leases. */
static bool
may_extend(const cs_fleet *fleet, const struct worker *worker)
{
    return worker->tasks->len > 0 && worker->clock_ms >= 0 &&
           worker->failed_heartbeats == 0 && extension_is_allowed(fleet);
}

/* Returns whether the worker has no tasks and is not known to answer. */
static bool
is_unverified(const struct worker *worker)
{
    return worker->tasks->len == 0 &&
           (!worker->answered || worker->failed_heartbeats > 0);
}

/* Returns whether connections to all workers would take too many descriptors.
 */
static bool
must_limit_connections(const cs_fleet *fleet)
{
    double max_connections = OPEN_CONNECTIONS_SHARE_MAX *
                             (double)fleet->state->settings.max_descriptors;

    return max_connections > 0 &&
           (double)fleet->worker_list->len * WORKER_CONNECTIONS >
               max_connections;
}

/*
 * Returns up to which number a heartbeat acknowledges ends; 0 if none are to
 * be. The worker may have started anew with the same id, and numbers its ends
 * from 1 then: it would forget ends that the holder has not read. So only ends
 * that the worker still keeps are acknowledged, and none while it is silent.
 */
static uint64_t
acknowledged_upto(const struct worker *worker)
{
    return worker->failed_heartbeats == 0 &&
                   worker->ends_recorded > worker->ends_acknowledged
               ? worker->ends_recorded
               : 0;
}

static void
send_heartbeat(cs_fleet *fleet, struct worker *worker, int64_t now_us)
{
    const cs_worker_port *port = fleet->state->ports.workers;
    cs_worker_target target = {worker->address, worker->id,
                               worker->tasks->len == 0 &&
                                   must_limit_connections(fleet),
                               worker->zone};
    cs_heartbeat_order order = {
        .epoch = fleet->epoch, .acknowledged_upto = acknowledged_upto(worker)};
    struct call *call = call_create(fleet, worker);

    if (may_extend(fleet, worker)) {
        order.lease_end_ms = worker_clock_ms(worker, now_us) +
                             fleet->state->settings.bounds.worker_lease_ms;
        worker_extend_lease_end(worker, order.lease_end_ms);
        worker->leases_extended_us = now_us;
    }
    if (worker->ends_processed == worker->ends_recorded && worker->answered &&
        worker->failed_heartbeats == 0)
        order.wait_ms =
            is_watched(worker) ? UNSETTLED_WATCH_WAIT_MS : HEARTBEAT_WAIT_MS;
    call->ends_recorded = order.acknowledged_upto;
    call->incarnation_ms = worker->incarnation_ms;
    worker->heartbeat_pending = true;
    worker->idle_heartbeat = is_unverified(worker);
    if (worker->idle_heartbeat)
        fleet->idle_heartbeats++;
    fleet_increment_counter(fleet, "cs_looks_total");
    port->heartbeat(port->self, &target, &order,
                    now_us + order.wait_ms * CS_MS_US + HEARTBEAT_TIMEOUT_US,
                    on_heartbeat, call);
}

void
heartbeat_probe(cs_fleet *fleet, struct worker *worker)
{
    const cs_worker_port *port = fleet->state->ports.workers;
    cs_worker_target target = {worker->address, worker->id, false,
                               worker->zone};
    cs_heartbeat_order order = {
        .epoch = fleet->epoch, .acknowledged_upto = acknowledged_upto(worker)};
    struct call *call = call_create(fleet, worker);

    call->probe = true;
    worker->probe_requested = false;
    fleet_increment_counter(fleet, "cs_looks_total");
    port->heartbeat(port->self, &target, &order,
                    call->sent_us + HEARTBEAT_TIMEOUT_US, on_heartbeat, call);
}

/* Returns the time by which the leases of a silent worker have surely ended. A
   former holder may extend those of a worker that has not answered yet. It may
   be cut off together with the worker, so that the worker's entry is missing
   in the store although the worker is not gone. */
static int64_t
leases_end_us(const cs_fleet *fleet, const struct worker *worker)
{
    if (worker->fenced)
        return worker->lease_end_us;
    return MAX(worker->lease_end_us, former_holder_leases_end_us(fleet));
}

/* Gives up the runs of a silent worker once their leases have surely ended. */
static void
check_leases_ended(cs_fleet *fleet, struct worker *worker, int64_t now_us)
{
    if (now_us < leases_end_us(fleet, worker) ||
        now_us - worker->last_answer_us < HEARTBEAT_TIMEOUT_US)
        return;
    if (worker_count_started(worker) == 0 && worker->unwanted_runs->len == 0)
        return;
    worker_end_started_tasks(fleet, worker, "its leases have ended");
}

static void
retry_stops(cs_fleet *fleet, struct worker *worker, int64_t now_us)
{
    guint i;

    for (i = 0; i < worker->tasks->len; i++) {
        struct task *task = g_ptr_array_index(worker->tasks, i);

        if (task->state == TASK_STOPPING && !task->stop_pending &&
            !task->stop_answered &&
            now_us - task->stop_sent_us >= STOP_RETRY_US)
            run_stop(fleet, task);
    }
}

void
heartbeat_tick(cs_fleet *fleet)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    guint i;

    unsettled_tick(fleet);
    for (i = 0; i < fleet->worker_list->len; i++) {
        struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (fleet->tenure != TENURE_HOLDING)
            return;
        retry_stops(fleet, worker, now_us);
        check_leases_ended(fleet, worker, now_us);
        if (worker->probe_requested)
            heartbeat_probe(fleet, worker);
        if (!worker->heartbeat_pending &&
            now_us >= worker->next_heartbeat_us && needs_heartbeat(worker) &&
            (!is_unverified(worker) || is_watched(worker) ||
             fleet->idle_heartbeats < IDLE_HEARTBEATS_MAX))
            send_heartbeat(fleet, worker, now_us);
    }
}
