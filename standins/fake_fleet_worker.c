/*
 * The fake workers: leases, epochs, runs and gangs, and reports of ended runs.
 * Depending on the faults, an order is lost, or executed late and not
 * answered.
 */
#include "fake_fleet_internal.h"

#include <stdlib.h>

/* Delay of an order that a fault makes late. */
#define MIN_LATE_US (2 * CS_SEC_US)
#define MAX_LATE_US (12 * CS_SEC_US)
/* A run that fails does so this long after its work started. */
#define FAILURE_DELAY_US (100 * CS_MS_US)

#define SLOW_CLOCK_RATE 0.98
/* Value of a worker's clock when its process starts. */
#define CLOCK_START_MS 1000

static const char *const outcome_names[] = {
    [CS_OUTCOME_DONE] = "done",       [CS_OUTCOME_FAILED] = "failed",
    [CS_OUTCOME_STOPPED] = "stopped", [CS_OUTCOME_LAPSED] = "lapsed",
    [CS_OUTCOME_BROKEN] = "broken",   [CS_OUTCOME_ALONE] = "alone",
};

typedef enum { ORDER_START, ORDER_STOP, ORDER_HEARTBEAT } order_type;

struct order {
    fake_fleet *deployment;
    struct fake_vm *vm;
    order_type type;
    char address[32];
    char incarnation[32];
    char task[64];
    uint32_t run;
    uint64_t epoch;
    uint64_t acknowledged_upto; /* sequence of an ended run */
    int64_t lease_end_ms;       /* on the worker's clock */
    int64_t wait_until_us;      /* of a heartbeat; 0 for other orders */
    int64_t deadline_us;
    uint64_t incarnation_ms; /* of the worker when the order was sent */
    bool answered;
    bool is_waiting;
    int64_t ordered_us;  /* when it arrives; when it was sent if it is late */
    bool answer_is_lost; /* an order that is executed late is not answered */
    char ticket[CS_TICKET_BYTES];
    cs_worker_done done;
    void *user_data;
};

/* Returns the worker's own clock, which starts with its process. */
static int64_t
clock_ms(const struct fake_fleet_worker *worker)
{
    int64_t elapsed_us = worker->deployment->now_us - worker->started_us;

    return (int64_t)((double)elapsed_us * worker->clock_rate) / CS_MS_US +
           CLOCK_START_MS;
}

static void
run_free(gpointer data)
{
    g_free(data);
}

void
fake_fleet_worker_lose_results(struct fake_fleet_worker *worker)
{
    guint i;

    for (i = 0; worker->ended_runs && i < worker->ended_runs->len; i++) {
        struct fake_ended_run *end =
            &g_array_index(worker->ended_runs, struct fake_ended_run, i);
        char id[CS_JOB_ID_BYTES];
        struct fake_job_record *record;

        g_strlcpy(id, end->task, sizeof(id));
        record = fake_job_record_find(worker->deployment, id);
        if (record && end->outcome == CS_OUTCOME_DONE)
            g_hash_table_add(record->lost_results, g_strdup(end->task));
        else if (record && end->outcome == CS_OUTCOME_FAILED && !end->is_lost)
            fake_count_task(record->lost_failure_counts, end->task);
        end->is_lost = true;
    }
}

void
fake_fleet_worker_init(fake_fleet *deployment, uint32_t number)
{
    struct fake_fleet_worker *worker = &deployment->workers[number];

    worker->deployment = deployment;
    worker->number = number;
    if (worker->speed == 0)
        worker->speed = 1;
    g_snprintf(worker->id, sizeof(worker->id), "w-%02u", number);
    if (!worker->address[0])
        g_snprintf(worker->address, sizeof(worker->address), "10.9.%u.%u:80",
                   number / 200, number % 200 + 1);
    worker->started_us = deployment->now_us;
    worker->clock_rate =
        deployment->slow_clocks && number % 2 ? SLOW_CLOCK_RATE : 1;
    worker->incarnation_ms =
        (uint64_t)((FAKE_WALL_CLOCK_START_US + deployment->now_us) /
                   CS_MS_US) +
        1;
    worker->highest_epoch = 0;
    worker->next_sequence = 1;
    worker->lease_end_us = 0;
    worker->up = true;
    worker->runs = g_ptr_array_new_with_free_func(run_free);
    worker->ended_runs =
        g_array_new(FALSE, TRUE, sizeof(struct fake_ended_run));
    worker->finished_runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    worker->waiting_heartbeats = g_ptr_array_new();
}

void
fake_fleet_worker_dispose(struct fake_fleet_worker *worker)
{
    g_ptr_array_free(worker->runs, TRUE);
    g_array_free(worker->ended_runs, TRUE);
    g_hash_table_destroy(worker->finished_runs);
    g_ptr_array_free(worker->waiting_heartbeats, TRUE);
}

void
fake_fleet_worker_publish(struct fake_fleet_worker *worker)
{
    char *text = g_strdup_printf(
        "{\"service\":\"lab\",\"addr\":\"%s\",\"zone\":\"z%u\",\"version\":"
        "\"v1\",\"slots\":8,\"state\":\"%s\",\"coldLeftMs\":0,"
        "\"capacity\":{\"cpu\":64000,\"memMb\":131072,\"gpu\":8},"
        "\"labels\":[\"a\",\"r1-%u\"],\"clockMs\":1,\"seq\":%u,\"born\":"
        "%" G_GUINT64_FORMAT "}",
        worker->address, fake_worker_zone(worker),
        worker->draining ? "draining" : "ready",
        worker->number % worker->deployment->rack_count,
        (unsigned)++worker->entry_sequence, worker->incarnation_ms);

    fake_store_put(worker->deployment, "servers", "", worker->id, text,
                   strlen(text));
    g_free(text);
}

static void
deliver_answer(struct order *order, const cs_worker_answer *answer)
{
    if (order->answered)
        return;
    order->answered = true;
    g_hash_table_remove(order->vm->pending_calls, order);
    order->done(order->user_data, answer);
}

/* An answer that is delivered when the process of its VM is idle. */
struct delayed_answer {
    struct order *order;
    cs_worker_answer answer;
    cs_worker_run *runs;
    cs_worker_ended_run *ends;
    GStringChunk *texts;
};

static void
deliver_delayed(void *user_data)
{
    struct delayed_answer *delayed = user_data;
    struct order *order = delayed->order;

    if (!order->answered && fake_vm_is_frozen(order->vm)) {
        fake_schedule(order->deployment, order->vm->frozen_until_us,
                      deliver_delayed, delayed);
        return;
    }
    deliver_answer(delayed->order, &delayed->answer);
    g_string_chunk_free(delayed->texts);
    g_free(delayed->runs);
    g_free(delayed->ends);
    g_free(delayed);
}

static void
delay_answer(struct order *order, const cs_worker_answer *answer,
             int64_t until_us)
{
    struct delayed_answer *delayed = g_new0(struct delayed_answer, 1);
    size_t i;

    delayed->order = order;
    delayed->answer = *answer;
    delayed->texts = g_string_chunk_new(256);
    delayed->runs =
        g_memdup2(answer->runs, answer->run_count * sizeof(*answer->runs));
    delayed->ends =
        g_memdup2(answer->ended_runs,
                  answer->ended_run_count * sizeof(*answer->ended_runs));
    for (i = 0; i < answer->run_count; i++)
        delayed->runs[i].task =
            g_string_chunk_insert(delayed->texts, answer->runs[i].task);
    for (i = 0; i < answer->ended_run_count; i++)
        delayed->ends[i].task =
            g_string_chunk_insert(delayed->texts, answer->ended_runs[i].task);
    delayed->answer.runs = delayed->runs;
    delayed->answer.ended_runs = delayed->ends;
    fake_schedule(order->deployment, until_us, deliver_delayed, delayed);
}

static void
send_answer(struct order *order, const cs_worker_answer *answer)
{
    int64_t idle_us;

    if (order->answered ||
        (order->answer_is_lost && answer->code != CS_E_OUTCOME_UNKNOWN))
        return;
    idle_us = fake_charge_cpu(order->vm, order->deployment->call_us / 2);
    if (fake_vm_is_frozen(order->vm))
        idle_us = MAX(idle_us, order->vm->frozen_until_us);
    if ((answer->code != CS_E_OUTCOME_UNKNOWN ||
         fake_vm_is_frozen(order->vm)) &&
        idle_us > order->deployment->now_us)
        delay_answer(order, answer, idle_us);
    else
        deliver_answer(order, answer);
}

static void
send_code(struct order *order, int code, cs_worker_refusal refusal)
{
    cs_worker_answer answer = {
        .code = code, .refusal = refusal, .clock_ms = -1};

    send_answer(order, &answer);
}

static void
send_lists(struct order *order, const struct fake_fleet_worker *worker)
{
    cs_worker_answer answer = {
        .clock_ms = clock_ms(worker),
        .incarnation_ms = worker->incarnation_ms,
        .run_count = worker->runs->len,
        .ended_run_count = MIN(worker->ended_runs->len, CS_WORKER_ENDS_MAX)};
    cs_worker_run *runs = g_new0(cs_worker_run, worker->runs->len + 1);
    cs_worker_ended_run *ends =
        g_new0(cs_worker_ended_run, answer.ended_run_count + 1);
    guint i;

    for (i = 0; i < worker->runs->len; i++) {
        const struct fake_run *run = g_ptr_array_index(worker->runs, i);

        runs[i].task = run->task;
        runs[i].run = run->run;
        runs[i].checkpoint_data = "";
    }
    for (i = 0; i < answer.ended_run_count; i++) {
        const struct fake_ended_run *end =
            &g_array_index(worker->ended_runs, struct fake_ended_run, i);

        ends[i].sequence = end->sequence;
        ends[i].task = end->task;
        ends[i].run = end->run;
        ends[i].outcome = end->outcome;
        ends[i].checkpoint_data = "";
    }
    answer.runs = runs;
    answer.ended_runs = ends;
    send_answer(order, &answer);
    g_free(runs);
    g_free(ends);
}

static bool
is_connected(const struct order *order, const struct fake_fleet_worker *worker)
{
    return !worker->disconnected &&
           fake_zones_are_connected(order->deployment,
                                    order->vm->number % FAKE_ZONES,
                                    fake_worker_zone(worker));
}

static void
answer_waiting_heartbeats(struct fake_fleet_worker *worker)
{
    while (worker->waiting_heartbeats->len > 0) {
        struct order *order = g_ptr_array_index(worker->waiting_heartbeats, 0);

        g_ptr_array_remove_index(worker->waiting_heartbeats, 0);
        order->is_waiting = false;
        if (is_connected(order, worker))
            send_lists(order, worker);
    }
}

static void
end_run(struct fake_fleet_worker *worker, struct fake_run *run,
        cs_run_outcome outcome)
{
    struct fake_ended_run end = {.sequence = worker->next_sequence++,
                                 .run = run->run,
                                 .outcome = outcome};

    g_strlcpy(end.task, run->task, sizeof(end.task));
    g_array_append_val(worker->ended_runs, end);
    g_hash_table_insert(worker->finished_runs, g_strdup(run->task),
                        GUINT_TO_POINTER(run->run));
    fake_observe(
        worker->deployment, "worker-run-ended",
        "task %s run %u worker %s end %" G_GUINT64_FORMAT " outcome %s",
        run->task, run->run, worker->id, end.sequence, outcome_names[outcome]);
    fake_check_end(worker->deployment, worker, run, outcome);
    g_ptr_array_remove(worker->runs, run);
    answer_waiting_heartbeats(worker);
}

/*
 * Finds the runs of a gang on all workers and returns their number. Appends a
 * worker and a run for each to out, unless it is NULL.
 */
static guint
find_gang_members(fake_fleet *deployment, const struct fake_run *run,
                  GPtrArray *out)
{
    guint count = 0;
    uint32_t i;
    guint k;

    for (i = 0; i < deployment->worker_count; i++) {
        for (k = 0; k < deployment->workers[i].runs->len; k++) {
            struct fake_run *other =
                g_ptr_array_index(deployment->workers[i].runs, k);

            if (strcmp(other->job, run->job) != 0 ||
                other->step != run->step || other->run != run->run)
                continue;
            count++;
            if (out) {
                g_ptr_array_add(out, &deployment->workers[i]);
                g_ptr_array_add(out, other);
            }
        }
    }
    return count;
}

/*
 * Ends all runs of a gang. If the given run ends as done, so do the others;
 * otherwise they end as broken.
 */
static void
end_gang(struct fake_fleet_worker *worker, struct fake_run *run,
         cs_run_outcome outcome)
{
    GPtrArray *members = g_ptr_array_new();
    cs_run_outcome other_outcome =
        outcome == CS_OUTCOME_DONE ? CS_OUTCOME_DONE : CS_OUTCOME_BROKEN;
    guint i;

    find_gang_members(worker->deployment, run, members);
    for (i = 0; i < members->len; i += 2) {
        struct fake_run *other = g_ptr_array_index(members, i + 1);

        end_run(g_ptr_array_index(members, i), other,
                other == run ? outcome : other_outcome);
    }
    g_ptr_array_free(members, TRUE);
}

static const cs_job_step *
find_step(const struct fake_fleet_worker *worker, const struct fake_run *run)
{
    const struct fake_job_record *record =
        fake_job_record_find(worker->deployment, run->job);

    return record ? &record->job.spec.steps[run->step] : NULL;
}

static void
end_run_or_gang(struct fake_fleet_worker *worker, struct fake_run *run,
                cs_run_outcome outcome)
{
    const cs_job_step *step = find_step(worker, run);

    if (step && step->gang && run->work_started_us)
        end_gang(worker, run, outcome);
    else
        end_run(worker, run, outcome);
}

static void
start_work(struct fake_fleet_worker *worker, struct fake_run *run)
{
    const struct fake_job_record *record =
        fake_job_record_find(worker->deployment, run->job);
    int64_t now_us = worker->deployment->now_us;

    run->work_started_us = now_us;
    run->end_us = now_us + (int64_t)((double)(record->job.run_ms * CS_MS_US) /
                                     worker->speed);
    if (record->job.always_fails || worker->failing)
        run->end_us = now_us + FAILURE_DELAY_US;
}

/*
 * Starts the work of a run; the runs of a gang start together, once all are
 * present.
 */
static void
start_work_if_complete(struct fake_fleet_worker *worker, struct fake_run *run)
{
    const cs_job_step *step = find_step(worker, run);
    GPtrArray *members;
    guint i;

    if (!step || run->work_started_us)
        return;
    if (!step->gang) {
        start_work(worker, run);
        return;
    }
    members = g_ptr_array_new();
    if (find_gang_members(worker->deployment, run, members) ==
        step->task_count) {
        for (i = 0; i < members->len; i += 2)
            start_work(g_ptr_array_index(members, i),
                       g_ptr_array_index(members, i + 1));
    }
    g_ptr_array_free(members, TRUE);
}

static void
expire_lease(struct fake_fleet_worker *worker)
{
    while (worker->runs->len > 0)
        end_run_or_gang(worker, g_ptr_array_index(worker->runs, 0),
                        CS_OUTCOME_LAPSED);
    worker->lease_end_us = 0;
    fake_fleet_worker_lose_results(worker);
}

void
fake_fleet_worker_lapse_runs(struct fake_fleet_worker *worker)
{
    while (worker->runs->len > 0)
        end_run_or_gang(worker, g_ptr_array_index(worker->runs, 0),
                        CS_OUTCOME_LAPSED);
}

/* Ends a run whose time has come. Returns whether it did. */
static bool
advance_run(struct fake_fleet_worker *worker, struct fake_run *run)
{
    const struct fake_job_record *record =
        fake_job_record_find(worker->deployment, run->job);
    int64_t now_us = worker->deployment->now_us;

    if (run->stop_us && now_us >= run->stop_us) {
        end_run_or_gang(worker, run, CS_OUTCOME_STOPPED);
        return true;
    }
    if (run->work_started_us && now_us >= run->end_us) {
        bool failed = worker->failing || (record && record->job.always_fails);

        end_run_or_gang(worker, run,
                        failed ? CS_OUTCOME_FAILED : CS_OUTCOME_DONE);
        return true;
    }
    if (!run->work_started_us &&
        now_us - run->started_us > FAKE_GANG_TIMEOUT_US) {
        end_run(worker, run, CS_OUTCOME_ALONE);
        return true;
    }
    return false;
}

void
fake_fleet_fail_runs(fake_fleet *deployment, uint32_t worker)
{
    struct fake_fleet_worker *target = &deployment->workers[worker];

    while (target->runs->len > 0)
        end_run_or_gang(target, g_ptr_array_index(target->runs, 0),
                        CS_OUTCOME_FAILED);
}

void
fake_fleet_worker_advance(struct fake_fleet_worker *worker)
{
    guint i = 0;

    if (!worker->up)
        return;
    if (worker->lease_end_us &&
        worker->deployment->now_us > worker->lease_end_us)
        expire_lease(worker);
    while (i < worker->runs->len) {
        if (advance_run(worker, g_ptr_array_index(worker->runs, i)))
            i = 0;
        else
            i++;
    }
}

static struct fake_run *
find_run(const struct fake_fleet_worker *worker, const char *task)
{
    guint i;

    for (i = 0; i < worker->runs->len; i++) {
        struct fake_run *run = g_ptr_array_index(worker->runs, i);

        if (strcmp(run->task, task) == 0)
            return run;
    }
    return NULL;
}

/* Extends the worker's lease; lease_end_ms is a time of the worker's clock. */
static void
extend_lease(struct fake_fleet_worker *worker, int64_t lease_end_ms)
{
    int64_t max_us = worker->deployment->now_us +
                     (int64_t)((double)(FAKE_WORKER_LEASE_MS * CS_MS_US) /
                               worker->clock_rate);
    int64_t requested_us =
        worker->started_us +
        (int64_t)((double)((lease_end_ms - CLOCK_START_MS) * CS_MS_US) /
                  worker->clock_rate);

    worker->lease_end_us =
        MAX(worker->lease_end_us, MIN(requested_us, max_us));
}

static int64_t
count_free_accelerators(const struct fake_fleet_worker *worker)
{
    int64_t free_count = FAKE_WORKER_ACCELERATORS;
    guint i;

    for (i = 0; i < worker->runs->len; i++) {
        const cs_job_step *step =
            find_step(worker, g_ptr_array_index(worker->runs, i));

        free_count -= step ? step->demand.accelerators : 0;
    }
    return free_count;
}

static bool
has_ticket(const struct order *order, const struct fake_fleet_worker *worker,
           const struct fake_job_record *record)
{
    char step[sizeof(order->task)];

    if (strcmp(record->job.spec.queue, FAKE_TICKET_QUEUE) != 0)
        return true;
    g_strlcpy(step, order->task, sizeof(step));
    *strrchr(step, '.') = '\0';
    return fake_adviser_accepts(worker, step, order->ticket);
}

static void
execute_start(struct order *order, struct fake_fleet_worker *worker)
{
    struct fake_run *run = find_run(worker, order->task);
    cs_worker_answer answer = {.clock_ms = clock_ms(worker),
                               .incarnation_ms = worker->incarnation_ms};
    struct fake_job_record *record;
    char id[CS_JOB_ID_BYTES];
    char **parts;

    if (worker->unhealthy) {
        send_code(order, CS_E_OVERLOAD, CS_REFUSED_OTHER);
        return;
    }
    if (run && run->run == order->run) {
        extend_lease(worker, order->lease_end_ms);
        send_answer(order, &answer);
        return;
    }
    if (run || (worker->deployment->disabled_protection !=
                    FAKE_WITHOUT_OLD_RUN_CHECK &&
                GPOINTER_TO_UINT(g_hash_table_lookup(
                    worker->finished_runs, order->task)) >= order->run)) {
        send_code(order, CS_E_WORKER, CS_REFUSED_OLD_RUN);
        return;
    }
    if (order->lease_end_ms <= clock_ms(worker)) {
        send_code(order, CS_E_WORKER, CS_REFUSED_LEASE_EXPIRED);
        return;
    }
    g_strlcpy(id, order->task, sizeof(id));
    record = fake_job_record_find(worker->deployment, id);
    parts = g_strsplit(order->task, ".", 0);
    if (!record || g_strv_length(parts) != 4) {
        fake_record_violation(worker->deployment, "unknown job: start of %s",
                              order->task);
        g_strfreev(parts);
        return;
    }
    if (!has_ticket(order, worker, record)) {
        g_strfreev(parts);
        send_code(order, CS_E_WORKER, CS_REFUSED_TICKET);
        return;
    }
    if (count_free_accelerators(worker) <
        record->job.spec.steps[atoi(parts[2])].demand.accelerators) {
        g_strfreev(parts);
        send_code(order, CS_E_WORKER, CS_REFUSED_NO_SPACE);
        return;
    }
    run = g_new0(struct fake_run, 1);
    g_strlcpy(run->task, order->task, sizeof(run->task));
    g_strlcpy(run->job, id, sizeof(run->job));
    run->step = (uint32_t)atoi(parts[2]);
    g_strfreev(parts);
    run->run = order->run;
    run->epoch = order->epoch;
    run->started_us = worker->deployment->now_us;
    g_ptr_array_add(worker->runs, run);
    extend_lease(worker, order->lease_end_ms);
    fake_observe(worker->deployment, "worker-run-started",
                 "task %s run %u worker %s/%" G_GUINT64_FORMAT
                 " epoch %" G_GUINT64_FORMAT " late %" G_GINT64_FORMAT " ms",
                 run->task, run->run, worker->id, worker->incarnation_ms,
                 run->epoch,
                 (worker->deployment->now_us - order->ordered_us) / CS_MS_US);
    fake_check_start(worker->deployment, worker, run, order->ordered_us);
    start_work_if_complete(worker, run);
    send_answer(order, &answer);
}

void
fake_fleet_start_run(fake_fleet *deployment, uint32_t number, const char *task,
                     uint32_t run_number)
{
    struct fake_fleet_worker *worker = &deployment->workers[number];
    struct fake_run *run = g_new0(struct fake_run, 1);
    char **parts = g_strsplit(task, ".", 0);

    g_strlcpy(run->task, task, sizeof(run->task));
    g_strlcpy(run->job, parts[0], sizeof(run->job));
    run->step = (uint32_t)atoi(parts[2]);
    g_strfreev(parts);
    run->run = run_number;
    run->started_us = deployment->now_us;
    g_ptr_array_add(worker->runs, run);
    worker->lease_end_us =
        MAX(worker->lease_end_us,
            deployment->now_us + (int64_t)FAKE_WORKER_LEASE_MS * CS_MS_US);
    fake_check_start(deployment, worker, run, deployment->now_us);
    start_work_if_complete(worker, run);
    answer_waiting_heartbeats(worker);
}

void
fake_fleet_end_run_unlisted(fake_fleet *deployment, uint32_t number,
                            const char *task)
{
    struct fake_fleet_worker *worker = &deployment->workers[number];
    GPtrArray *waiting = worker->waiting_heartbeats;

    worker->waiting_heartbeats = g_ptr_array_new();
    end_run(worker, find_run(worker, task), CS_OUTCOME_DONE);
    g_ptr_array_free(worker->waiting_heartbeats, TRUE);
    worker->waiting_heartbeats = waiting;
}

bool
fake_fleet_task_runs(const fake_fleet *deployment, const char *task)
{
    uint32_t i;

    for (i = 0; i < deployment->worker_count; i++) {
        if (find_run(&deployment->workers[i], task))
            return true;
    }
    return false;
}

static void
execute_stop(struct order *order, struct fake_fleet_worker *worker)
{
    struct fake_run *run = find_run(worker, order->task);
    cs_worker_answer answer = {.clock_ms = clock_ms(worker),
                               .incarnation_ms = worker->incarnation_ms};
    guint finished_run = GPOINTER_TO_UINT(
        g_hash_table_lookup(worker->finished_runs, order->task));

    fake_observe(
        worker->deployment, "worker-stop-ordered",
        "task %s run %u worker %s epoch %" G_GUINT64_FORMAT ", present run %u",
        order->task, order->run, worker->id, order->epoch, run ? run->run : 0);
    if (run && run->run == order->run && !run->stop_us)
        run->stop_us =
            worker->deployment->now_us + worker->deployment->stop_us;
    else if (!run)
        g_hash_table_insert(worker->finished_runs, g_strdup(order->task),
                            GUINT_TO_POINTER(MAX(finished_run, order->run)));
    send_answer(order, &answer);
}

static void
execute_heartbeat(struct order *order, struct fake_fleet_worker *worker)
{
    guint i = 0;

    while (i < worker->ended_runs->len) {
        const struct fake_ended_run *end =
            &g_array_index(worker->ended_runs, struct fake_ended_run, i);

        if (end->sequence > order->acknowledged_upto) {
            i++;
            continue;
        }
        fake_observe(worker->deployment, "worker-end-acknowledged",
                     "task %s run %u worker %s epoch %" G_GUINT64_FORMAT,
                     end->task, end->run, worker->id, order->epoch);
        g_array_remove_index(worker->ended_runs, i);
    }
    if (order->lease_end_ms)
        extend_lease(worker, order->lease_end_ms);
    if (worker->ended_runs->len > 0 ||
        worker->deployment->now_us >= order->wait_until_us) {
        send_lists(order, worker);
        return;
    }
    order->is_waiting = true;
    g_ptr_array_add(worker->waiting_heartbeats, order);
}

static struct fake_fleet_worker *
find_order_worker(const struct order *order)
{
    uint32_t i;

    for (i = 0; i < order->deployment->worker_count; i++) {
        struct fake_fleet_worker *worker = &order->deployment->workers[i];

        if (strcmp(worker->address, order->address) == 0)
            return worker;
    }
    return NULL;
}

static void
execute(void *user_data)
{
    struct order *order = user_data;
    const fake_fleet *deployment = order->deployment;
    struct fake_fleet_worker *worker = find_order_worker(order);

    if (!worker || !is_connected(order, worker) ||
        (order->epoch > worker->highest_epoch &&
         deployment->now_us < worker->hidden_until_us))
        return;
    /* An order is lost if its worker has restarted since it was sent. */
    if (worker->up && order->incarnation_ms &&
        !order->deployment->late_orders_outlive_workers &&
        order->incarnation_ms != worker->incarnation_ms)
        return;
    if (!worker->up) {
        send_code(order, CS_E_CONNECT, CS_REFUSED_OTHER);
        return;
    }
    if (order->epoch < worker->highest_epoch &&
        worker->deployment->disabled_protection != FAKE_WITHOUT_EPOCH_CHECK) {
        fake_observe(deployment, "worker-order-fenced",
                     "task %s run %u worker %s epoch %" G_GUINT64_FORMAT
                     ", highest %" G_GUINT64_FORMAT,
                     order->task, order->run, worker->id, order->epoch,
                     worker->highest_epoch);
        send_code(order, CS_E_WORKER, CS_REFUSED_FENCED);
        return;
    }
    worker->highest_epoch = MAX(worker->highest_epoch, order->epoch);
    switch (order->type) {
    case ORDER_START:
        execute_start(order, worker);
        return;
    case ORDER_STOP:
        execute_stop(order, worker);
        return;
    case ORDER_HEARTBEAT:
        execute_heartbeat(order, worker);
        return;
    }
}

static void
end_heartbeat_wait(void *user_data)
{
    struct order *order = user_data;
    struct fake_fleet_worker *worker = find_order_worker(order);

    if (!order->is_waiting)
        return;
    order->is_waiting = false;
    g_ptr_array_remove(worker->waiting_heartbeats, order);
    if (is_connected(order, worker) && worker->up)
        send_lists(order, worker);
}

static void
expire_order(void *user_data)
{
    struct order *order = user_data;

    send_code(order, CS_E_OUTCOME_UNKNOWN, CS_REFUSED_OTHER);
}

static void
free_order(void *user_data)
{
    struct order *order = user_data;
    struct fake_fleet_worker *worker = find_order_worker(order);

    if (!order->answered) {
        fake_schedule(order->deployment,
                      order->deployment->now_us + MAX_LATE_US, free_order,
                      order);
        return;
    }
    if (order->is_waiting)
        g_ptr_array_remove(worker->waiting_heartbeats, order);
    g_free(order);
}

static void
schedule(struct order *order)
{
    fake_fleet *deployment = order->deployment;
    const fake_vm_faults *faults = &order->vm->faults;
    const struct fake_fleet_worker *worker = find_order_worker(order);
    int64_t at_us = fake_charge_cpu(order->vm, deployment->call_us / 2) +
                    FAKE_NETWORK_DELAY_US;
    bool late = fake_random_bool(deployment, faults->late_orders_share);

    order->answer_is_lost =
        late || fake_random_bool(deployment, faults->unanswered_orders_share);
    order->ordered_us = late ? deployment->now_us : at_us;
    if (worker && worker->up)
        order->incarnation_ms = worker->incarnation_ms;

    if (late)
        at_us = deployment->now_us +
                (faults->late_order_us
                     ? faults->late_order_us
                     : g_rand_int_range(deployment->random, MIN_LATE_US,
                                        MAX_LATE_US));
    else if (faults->order_delay_us > 0)
        at_us += g_rand_int_range(deployment->random, 0,
                                  (gint32)faults->order_delay_us);
    if (!faults->workers_unreachable)
        fake_schedule(deployment, at_us, execute, order);
    if (order->wait_until_us)
        fake_schedule(deployment, order->wait_until_us, end_heartbeat_wait,
                      order);
    fake_schedule(deployment, order->deadline_us, expire_order, order);
    fake_schedule(deployment, order->deadline_us + 2 * MAX_LATE_US, free_order,
                  order);
}

static void
abort_order(void *user_data)
{
    cs_worker_answer answer = {.code = CS_E_OUTCOME_UNKNOWN, .clock_ms = -1};

    deliver_answer(user_data, &answer);
}

/* Ends an order as its connection breaks. */
static void
cut_order(struct order *order, struct fake_fleet_worker *worker)
{
    if (find_order_worker(order) != worker || !is_connected(order, worker))
        return;
    if (order->is_waiting)
        g_ptr_array_remove(worker->waiting_heartbeats, order);
    order->is_waiting = false;
    send_code(order, CS_E_OUTCOME_UNKNOWN, CS_REFUSED_OTHER);
}

void
fake_fleet_worker_cut_connections(struct fake_fleet_worker *worker)
{
    fake_fleet *deployment = worker->deployment;
    uint32_t i;

    for (i = 0; i < deployment->vm_count; i++) {
        uint64_t sequence = 0;
        struct order *order;

        while ((order = fake_pending_call_next(&deployment->vms[i],
                                               abort_order, &sequence)))
            cut_order(order, worker);
    }
}

static struct order *
order_new(struct fake_vm *vm, order_type type, const cs_worker_target *target,
          int64_t deadline_us, cs_worker_done done, void *user_data)
{
    struct order *order = g_new0(struct order, 1);

    order->deployment = vm->deployment;
    vm->deployment->call_count++;
    order->vm = vm;
    order->type = type;
    g_strlcpy(order->address, target->address, sizeof(order->address));
    g_strlcpy(order->incarnation, target->incarnation,
              sizeof(order->incarnation));
    order->deadline_us = deadline_us;
    order->done = done;
    order->user_data = user_data;
    fake_pending_call_add(vm, order, abort_order);
    vm->max_pending_calls =
        MAX(vm->max_pending_calls, g_hash_table_size(vm->pending_calls));
    return order;
}

static void
port_start(void *self, const cs_worker_target *target,
           const cs_start_order *start, int64_t deadline_us,
           cs_worker_done done, void *user_data)
{
    struct order *order =
        order_new(self, ORDER_START, target, deadline_us, done, user_data);

    g_strlcpy(order->task, start->task, sizeof(order->task));
    order->run = start->run;
    order->epoch = start->epoch;
    order->lease_end_ms = start->lease_end_ms;
    if (start->ticket)
        g_strlcpy(order->ticket, start->ticket, sizeof(order->ticket));
    schedule(order);
}

static void
port_stop(void *self, const cs_worker_target *target, const char *task,
          uint32_t run, uint64_t epoch, int64_t deadline_us,
          cs_worker_done done, void *user_data)
{
    struct order *order =
        order_new(self, ORDER_STOP, target, deadline_us, done, user_data);

    g_strlcpy(order->task, task, sizeof(order->task));
    order->run = run;
    order->epoch = epoch;
    schedule(order);
}

static void
port_heartbeat(void *self, const cs_worker_target *target,
               const cs_heartbeat_order *heartbeat, int64_t deadline_us,
               cs_worker_done done, void *user_data)
{
    struct order *order =
        order_new(self, ORDER_HEARTBEAT, target, deadline_us, done, user_data);

    order->epoch = heartbeat->epoch;
    order->acknowledged_upto = heartbeat->acknowledged_upto;
    order->lease_end_ms = heartbeat->lease_end_ms;
    order->wait_until_us =
        order->deployment->now_us + heartbeat->wait_ms * CS_MS_US;
    schedule(order);
}

void
fake_fleet_worker_port(struct fake_vm *vm)
{
    vm->workers.self = vm;
    vm->workers.start = port_start;
    vm->workers.stop = port_stop;
    vm->workers.heartbeat = port_heartbeat;
}
