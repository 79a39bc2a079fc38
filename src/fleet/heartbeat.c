/*
 * Looks at workers. A look extends the leases of what runs there, and its
 * answer lists what runs and what has ended; it stays open until something
 * ends. Workers without tasks are not looked at.
 */
#include "fleet_internal.h"

#define WAIT_MS 2000
#define ANSWER_US (700 * CS_MS_US)
#define PROBE_US (300 * CS_MS_US)
/* An unreachable worker without tasks is asked less often. */
#define PROBE_IDLE_US (1000 * CS_MS_US)
#define UNCOMMITTED_US (1000 * CS_MS_US)
#define EXTEND_AGAIN_US (2 * CS_SEC_US)
#define STOP_RETRY_US (500 * CS_MS_US)
/* Workers without tasks that are not known to answer are looked at a few at a
   time: a new holder looks at all of them, and has running work to extend and
   jobs to take meanwhile. */
#define IDLE_LOOKS_MAX 64
/* Connections are kept to all workers where they take at most this share of
   the descriptors; a worker has up to four. */
#define KEPT_SHARE 0.5
#define WORKER_CONNECTIONS 4
/* Leases go on so long without the store; a successor counts on that. */
#define EXTEND_WITHOUT_STORE_US (15 * CS_SEC_US)

static bool
is_wanted(const struct worker *worker)
{
    if (!worker->address[0])
        return false;
    if (worker->tasks->len > 0)
        return true;
    if (!worker->listed)
        return false;
    return !worker->looked || worker->failed_looks > 0 ||
           worker->last_ok_us < worker->look_until_us ||
           worker->noted > worker->seen_upto ||
           worker->seen_upto > worker->acked;
}

static void
update_clock(struct worker *worker, const cs_worker_answer *answer,
             int64_t now_us)
{
    if (answer->clock_ms < 0)
        return;
    worker->clock_ms = answer->clock_ms;
    worker->clock_us = now_us;
}

static void
note_end(cs_fleet *fleet, struct worker *worker, const cs_worker_end *end)
{
    struct task *task = job_find_task(fleet, end->task);

    if (!task || end->run > task->run)
        return;
    if (task->worker == worker && task->run == end->run) {
        task_ended(fleet, task, end->how, end->saved);
        return;
    }
    /* Its end was taken for a loss. */
    if (end->how == CS_END_DONE && task->state != TASK_DONE &&
        !task->step->spec->perpetual && !job_is_final(task->step->job))
        task_done_late(fleet, task, end->run);
}

static void
note_ends(cs_fleet *fleet, struct worker *worker,
          const cs_worker_answer *answer)
{
    size_t i;

    for (i = 0; i < answer->end_count; i++) {
        const cs_worker_end *end = &answer->ends[i];

        if (end->number <= worker->noted)
            continue;
        worker->noted = end->number;
        note_end(fleet, worker, end);
        fleet->turn_wanted = true;
    }
}

/* Members of a gang that is done end by themselves. */
static bool
is_left_over(const struct task *task, const struct worker *worker)
{
    if (task->worker == worker)
        return false;
    return task->state != TASK_DONE || !task->step->spec->gang;
}

static void
note_run(cs_fleet *fleet, struct worker *worker, const cs_worker_run *run,
         uint64_t look, int64_t now_us)
{
    struct task *task = job_find_task(fleet, run->task);

    if (!task || task->run != run->run || is_left_over(task, worker)) {
        run_stop_unknown(fleet, worker, run->task, run->run);
        return;
    }
    if (task->worker != worker)
        return;
    task->look = look;
    task_save(task, run->saved);
    task->percent = run->percent;
    task_progressed(fleet, task);
    if (task->state == TASK_STARTING) {
        task->state = TASK_RUNNING;
        task->doubtful = false;
        task->adopted = false;
    }
    if (task->confirmed_us == 0)
        task->confirmed_us = now_us;
}

static void
note_absent(cs_fleet *fleet, struct task *task, int64_t sent_us)
{
    switch (task->state) {
    case TASK_STARTING:
        if (task->adopted)
            /* The epoch keeps a late start of the former holder out. */
            task_ended(fleet, task, CS_END_LAPSED, "");
        else if (task->doubtful)
            run_stop(fleet, task);
        return;
    case TASK_RUNNING:
        if (task->confirmed_us < sent_us)
            task_ended(fleet, task, CS_END_LAPSED, "");
        return;
    case TASK_STOPPING:
        if (task->adopted ||
            (task->stop_answered && task->stop_answered_us < sent_us))
            task_ended(fleet, task, CS_END_STOPPED, "");
        return;
    case TASK_WAITING:
    case TASK_PLANNED:
    case TASK_RECORDING:
    case TASK_DONE:
        return;
    }
}

/* Handles the placed tasks that a look has not listed. */
static void
note_absents(cs_fleet *fleet, struct worker *worker, uint64_t look,
             int64_t sent_us)
{
    GPtrArray *absent = g_ptr_array_new();
    guint i;

    for (i = 0; i < worker->tasks->len; i++) {
        struct task *task = g_ptr_array_index(worker->tasks, i);

        if (task->look != look)
            g_ptr_array_add(absent, task);
    }
    for (i = 0; i < absent->len; i++) {
        struct task *task = g_ptr_array_index(absent, i);

        /* One task's end may have changed its siblings. */
        if (task->worker == worker)
            note_absent(fleet, task, sent_us);
    }
    g_ptr_array_free(absent, TRUE);
}

static void
note_answer(cs_fleet *fleet, struct worker *worker,
            const cs_worker_answer *answer, int64_t sent_us)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    uint64_t look = ++fleet->look_serial;
    size_t i;

    if (answer->born_ms && answer->born_ms < worker->born_ms) {
        worker->next_hold_us = now_us;
        return;
    }
    if (answer->born_ms > worker->born_ms)
        worker_reborn(fleet, worker, answer->born_ms);
    update_clock(worker, answer, now_us);
    worker->last_ok_us = now_us;
    worker->failed_looks = 0;
    worker->unknown_until_us = 0;
    if (!worker->looked) {
        worker->looked = true;
        worker_note_former_lease(fleet, worker);
        fleet->turn_wanted = true;
    }
    note_ends(fleet, worker, answer);
    for (i = 0; i < answer->run_count; i++)
        note_run(fleet, worker, &answer->runs[i], look, now_us);
    note_absents(fleet, worker, look, sent_us);
    worker->next_hold_us = now_us;
    /* Until its ends are recorded, a look is answered at once. */
    if (worker->noted > worker->seen_upto &&
        now_us - worker->extended_us < EXTEND_AGAIN_US)
        worker->next_hold_us = now_us + UNCOMMITTED_US;
}

static void
on_looked(void *data, const cs_worker_answer *answer)
{
    struct call *call = data;
    cs_fleet *fleet = call->fleet;
    struct worker *worker = call->worker;
    int64_t sent_us = call->sent_us;
    uint64_t acked = call->seen_upto;
    bool stale = call_is_stale(call);
    bool probe = call->probe;

    g_free(call);
    if (stale)
        return;
    if (probe) {
        if (answer->code == 0)
            note_answer(fleet, worker, answer, sent_us);
        return;
    }
    worker->hold_open = false;
    if (worker->idle_look)
        fleet->idle_looks--;
    worker->idle_look = false;
    if (answer->code == 0) {
        worker->acked = MAX(worker->acked, acked);
        note_answer(fleet, worker, answer, sent_us);
        return;
    }
    fleet_count(fleet, "cs_looks_failed_total");
    worker->next_hold_us = fleet_now(fleet).boot_us +
                           (worker->tasks->len > 0 ? PROBE_US : PROBE_IDLE_US);
    worker->failed_looks++;
    if (answer->code != CS_E_WORKER)
        return;
    if (answer->refusal == CS_REFUSED_FENCED)
        tenure_lost(fleet, "a worker has seen a higher epoch");
    else if (answer->refusal == CS_REFUSED_INCARNATION)
        worker_drop_tasks(fleet, worker, "another incarnation answers");
}

static bool
may_extend(const cs_fleet *fleet, const struct worker *worker, int64_t now_us)
{
    return worker->tasks->len > 0 && worker->clock_ms >= 0 &&
           worker->failed_looks == 0 &&
           now_us - fleet->lease_written_us < EXTEND_WITHOUT_STORE_US;
}

static bool
is_unknown(const struct worker *worker)
{
    return worker->tasks->len == 0 &&
           (!worker->looked || worker->failed_looks > 0);
}

/* Whether connections to idle workers would take too many descriptors. */
static bool
spares_connections(const cs_fleet *fleet)
{
    double most = KEPT_SHARE * (double)fleet->board->settings.descriptors;

    return most > 0 &&
           (double)fleet->worker_list->len * WORKER_CONNECTIONS > most;
}

static void
look(cs_fleet *fleet, struct worker *worker, int64_t now_us)
{
    const cs_worker_port *port = fleet->board->ports.workers;
    cs_worker_target target = {
        worker->address, worker->id,
        worker->tasks->len == 0 && spares_connections(fleet), worker->zone};
    cs_hold_order order = {.epoch = fleet->epoch,
                           .seen_upto = worker->seen_upto};
    struct call *call = call_create(fleet, worker);

    if (may_extend(fleet, worker, now_us)) {
        order.until_ms = worker_clock_ms(worker, now_us) +
                         fleet->board->settings.bounds.worker_lease_ms;
        worker_note_lease(worker, order.until_ms);
        worker->extended_us = now_us;
    }
    if (worker->noted == worker->seen_upto && worker->looked &&
        worker->failed_looks == 0)
        order.wait_ms = WAIT_MS;
    call->seen_upto = worker->seen_upto;
    worker->hold_open = true;
    worker->idle_look = is_unknown(worker);
    if (worker->idle_look)
        fleet->idle_looks++;
    fleet_count(fleet, "cs_looks_total");
    port->hold(port->self, &target, &order,
               now_us + order.wait_ms * CS_MS_US + ANSWER_US, on_looked, call);
}

void
hold_probe(cs_fleet *fleet, struct worker *worker)
{
    const cs_worker_port *port = fleet->board->ports.workers;
    cs_worker_target target = {worker->address, worker->id, false,
                               worker->zone};
    cs_hold_order order = {.epoch = fleet->epoch,
                           .seen_upto = worker->seen_upto};
    struct call *call = call_create(fleet, worker);

    call->probe = true;
    fleet_count(fleet, "cs_looks_total");
    port->hold(port->self, &target, &order, call->sent_us + ANSWER_US,
               on_looked, call);
}

/* Without an answer, leases have surely ended after a while. */
static void
check_lapse(cs_fleet *fleet, struct worker *worker, int64_t now_us)
{
    int64_t end_us = worker->lease_end_us;

    if (now_us < end_us || now_us < worker->unknown_until_us ||
        now_us - worker->last_ok_us < ANSWER_US)
        return;
    if (worker_started(worker) == 0)
        return;
    worker_drop_tasks(fleet, worker, "its leases have ended");
}

static void
retry_stops(cs_fleet *fleet, struct worker *worker, int64_t now_us)
{
    guint i;

    for (i = 0; i < worker->tasks->len; i++) {
        struct task *task = g_ptr_array_index(worker->tasks, i);

        if (task->state == TASK_STOPPING && !task->stop_open &&
            !task->stop_answered &&
            now_us - task->stop_sent_us >= STOP_RETRY_US)
            run_stop(fleet, task);
    }
}

void
hold_tick(cs_fleet *fleet)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (fleet->tenure != TENURE_HOLDING)
            return;
        retry_stops(fleet, worker, now_us);
        check_lapse(fleet, worker, now_us);
        if (!worker->hold_open && now_us >= worker->next_hold_us &&
            is_wanted(worker) &&
            (!is_unknown(worker) || fleet->idle_looks < IDLE_LOOKS_MAX))
            look(fleet, worker, now_us);
    }
}
