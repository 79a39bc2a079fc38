#include "fake_worker.h"

#include <glib.h>
#include <string.h>

enum lease_phase { RESERVED, RUNNING, EXITED };

static const char *const phase_names[] = {"reserved", "running", "exited"};

struct lease {
    char job[64];
    char token[48];
    int64_t epoch;
    uint64_t mask; /* accelerators, a bit each */
    enum lease_phase phase;
    int64_t lease_end_us; /* boot clock */
    int64_t started_us;   /* boot clock */
    int64_t end_us;       /* boot clock, when the task is done */
    int64_t stop_us;      /* boot clock; 0 if no stop was requested */
    int64_t progress_ms;  /* saved by checkpoints */
    bool checkpoint;
    int32_t exit_code;
};

struct fake_worker {
    char name[64];
    uint64_t accelerators; /* a bit each */
    int64_t epoch;         /* orders with a lower epoch are refused */
    int64_t lease_version; /* incremented at each change of the leases */
    GPtrArray *leases;     /* of struct lease */
    GArray *events;        /* of fake_worker_event */
    fake_worker_faults faults;
};

fake_worker *
fake_worker_create(const char *name, uint32_t accelerators)
{
    fake_worker *worker = g_new0(fake_worker, 1);

    g_strlcpy(worker->name, name, sizeof(worker->name));
    worker->accelerators =
        accelerators >= 64 ? UINT64_MAX : (UINT64_C(1) << accelerators) - 1;
    worker->lease_version = 1;
    worker->leases = g_ptr_array_new_with_free_func(g_free);
    worker->events = g_array_new(FALSE, TRUE, sizeof(fake_worker_event));
    return worker;
}

void
fake_worker_destroy(fake_worker *worker)
{
    if (!worker)
        return;
    g_ptr_array_free(worker->leases, TRUE);
    g_array_free(worker->events, TRUE);
    g_free(worker);
}

void
fake_worker_set_faults(fake_worker *worker, fake_worker_faults faults)
{
    worker->faults = faults;
}

static void
record_event(fake_worker *worker, const struct lease *lease, int type,
             int64_t at_us)
{
    fake_worker_event event = {0};

    event.at_us = at_us;
    g_strlcpy(event.job, lease->job, sizeof(event.job));
    g_strlcpy(event.token, lease->token, sizeof(event.token));
    event.epoch = lease->epoch;
    event.mask = lease->mask;
    event.type = type;
    event.exit_code = lease->exit_code;
    g_array_append_val(worker->events, event);
}

static void
end_task(fake_worker *worker, struct lease *lease, int32_t exit_code,
         int64_t at_us)
{
    if (lease->checkpoint || exit_code == 0)
        lease->progress_ms += (at_us - lease->started_us) / CS_MS_US;
    lease->phase = EXITED;
    worker->lease_version++;
    lease->exit_code = exit_code;
    record_event(worker, lease, FAKE_TASK_ENDED, at_us);
}

void
fake_worker_restart(fake_worker *worker, cs_now now)
{
    guint i;

    for (i = 0; i < worker->leases->len; i++) {
        struct lease *lease = g_ptr_array_index(worker->leases, i);

        lease->checkpoint = false;
        if (lease->phase == RUNNING)
            end_task(worker, lease, 1, now.boot_us);
    }
    g_ptr_array_set_size(worker->leases, 0);
    worker->lease_version++;
}

static void
tick_running(fake_worker *worker, struct lease *lease, int64_t now_us)
{
    if (lease->end_us <= now_us)
        end_task(worker, lease, worker->faults.fail_tasks ? 1 : 0,
                 lease->end_us);
    else if (lease->stop_us && lease->stop_us <= now_us)
        end_task(worker, lease, 2, now_us);
    else if (lease->lease_end_us <= now_us && !worker->faults.ignore_leases)
        end_task(worker, lease, 3, now_us);
}

void
fake_worker_tick(fake_worker *worker, cs_now now)
{
    guint i = 0;

    while (i < worker->leases->len) {
        struct lease *lease = g_ptr_array_index(worker->leases, i);

        if (lease->phase == RUNNING)
            tick_running(worker, lease, now.boot_us);
        if (lease->phase == RESERVED && lease->lease_end_us <= now.boot_us) {
            g_ptr_array_remove_index(worker->leases, i);
            worker->lease_version++;
        }
        else
            i++;
    }
}

static struct lease *
find_lease(const fake_worker *worker, const char *job, const char *token)
{
    guint i;

    for (i = 0; i < worker->leases->len; i++) {
        struct lease *lease = g_ptr_array_index(worker->leases, i);

        if (strcmp(lease->job, job) == 0 && strcmp(lease->token, token) == 0)
            return lease;
    }
    return NULL;
}

static uint64_t
used_accelerators(const fake_worker *worker)
{
    uint64_t mask = 0;
    guint i;

    for (i = 0; i < worker->leases->len; i++) {
        const struct lease *lease = g_ptr_array_index(worker->leases, i);

        if (lease->phase != EXITED)
            mask |= lease->mask;
    }
    return mask;
}

struct order {
    const char *op;
    const char *job;
    const char *token;
    uint64_t mask;
    int64_t lease_end_us;
    int64_t run_ms;
    int64_t grace_ms;
    int64_t progress_ms;
    bool checkpoint;
};

static int64_t
wall_to_boot_us(int64_t wall_us, cs_now now)
{
    return wall_us - now.wall_us + now.boot_us;
}

static struct order
decode_order(const json_t *item, cs_now now)
{
    struct order order = {
        .op = json_string_value(json_object_get(item, "op")),
        .job = json_string_value(json_object_get(item, "job")),
        .token = json_string_value(json_object_get(item, "token")),
        .mask = (uint64_t)json_integer_value(json_object_get(item, "mask")),
        .run_ms = json_integer_value(json_object_get(item, "run_ms")),
        .grace_ms = json_integer_value(json_object_get(item, "grace_ms")),
        .progress_ms =
            json_integer_value(json_object_get(item, "progress_ms")),
        .checkpoint = json_is_true(json_object_get(item, "checkpoint")),
    };

    order.lease_end_us = wall_to_boot_us(
        json_integer_value(json_object_get(item, "lease_us")), now);
    return order;
}

/* The execute functions return 0 if done, 1 if refused, 2 if invalid. */

static int
execute_reserve(fake_worker *worker, const struct order *order, int64_t epoch)
{
    struct lease *lease = find_lease(worker, order->job, order->token);

    if (lease) {
        if (lease->phase == EXITED || lease->mask != order->mask)
            return 1;
        lease->lease_end_us = MAX(lease->lease_end_us, order->lease_end_us);
        return 0;
    }
    if ((order->mask & ~worker->accelerators) ||
        (order->mask & used_accelerators(worker)))
        return 1;
    lease = g_new0(struct lease, 1);
    g_strlcpy(lease->job, order->job, sizeof(lease->job));
    g_strlcpy(lease->token, order->token, sizeof(lease->token));
    lease->epoch = epoch;
    lease->mask = order->mask;
    lease->lease_end_us = order->lease_end_us;
    g_ptr_array_add(worker->leases, lease);
    worker->lease_version++;
    return 0;
}

static int
execute_start(fake_worker *worker, const struct order *order, int64_t epoch,
              int64_t now_us)
{
    struct lease *lease = find_lease(worker, order->job, order->token);

    if (!lease || worker->faults.refuse_starts)
        return 1;
    if (lease->phase != RESERVED)
        return 0;
    lease->phase = RUNNING;
    worker->lease_version++;
    lease->epoch = epoch;
    lease->started_us = now_us;
    lease->progress_ms = order->progress_ms;
    lease->checkpoint = order->checkpoint;
    lease->lease_end_us = MAX(lease->lease_end_us, order->lease_end_us);
    lease->end_us =
        now_us + CS_MS_US * MAX(order->run_ms - order->progress_ms, 0);
    if (worker->faults.fail_tasks)
        lease->end_us = now_us + CS_MS_US;
    record_event(worker, lease, FAKE_TASK_STARTED, now_us);
    return 0;
}

static int
execute_stop(fake_worker *worker, const struct order *order, int64_t now_us)
{
    struct lease *lease = find_lease(worker, order->job, order->token);

    if (!lease)
        return 0;
    if (lease->phase == RESERVED) {
        g_ptr_array_remove(worker->leases, lease);
        worker->lease_version++;
        return 0;
    }
    if (lease->phase == EXITED || lease->stop_us)
        return 0;
    lease->lease_end_us = MAX(lease->lease_end_us, order->lease_end_us);
    /* A task that can checkpoint stops within a tenth of its grace time. */
    lease->stop_us =
        now_us + order->grace_ms * CS_MS_US / (lease->checkpoint ? 10 : 1);
    if (lease->stop_us <= now_us)
        end_task(worker, lease, 2, now_us);
    return 0;
}

static int
execute_forget(fake_worker *worker, const struct order *order)
{
    struct lease *lease = find_lease(worker, order->job, order->token);

    if (lease && lease->phase == EXITED) {
        g_ptr_array_remove(worker->leases, lease);
        worker->lease_version++;
    }
    return 0;
}

static int
execute(fake_worker *worker, const struct order *order, int64_t epoch,
        cs_now now)
{
    if (!order->op || !order->job || !order->token)
        return 2;
    if (strcmp(order->op, "reserve") == 0)
        return execute_reserve(worker, order, epoch);
    if (strcmp(order->op, "start") == 0)
        return execute_start(worker, order, epoch, now.boot_us);
    if (strcmp(order->op, "stop") == 0)
        return execute_stop(worker, order, now.boot_us);
    if (strcmp(order->op, "forget") == 0)
        return execute_forget(worker, order);
    return 2;
}

static json_t *
encode_leases(const fake_worker *worker)
{
    json_t *items = json_array();
    guint i;

    for (i = 0; i < worker->leases->len; i++) {
        const struct lease *lease = g_ptr_array_index(worker->leases, i);

        json_array_append_new(
            items,
            json_pack("{s:s,s:s,s:I,s:s,s:i,s:I}", "job", lease->job, "token",
                      lease->token, "mask", (json_int_t)lease->mask, "phase",
                      phase_names[lease->phase], "exit", lease->exit_code,
                      "progress_ms", (json_int_t)lease->progress_ms));
    }
    return items;
}

/* Extends every lease, for a holder that knows the current leases. */
static void
renew_leases(fake_worker *worker, const json_t *body, cs_now now)
{
    int64_t renew_us = wall_to_boot_us(
        json_integer_value(json_object_get(body, "renew_us")), now);
    guint i;

    for (i = 0; i < worker->leases->len; i++) {
        struct lease *lease = g_ptr_array_index(worker->leases, i);

        if (lease->phase != EXITED && !lease->stop_us)
            lease->lease_end_us = MAX(lease->lease_end_us, renew_us);
    }
}

int
fake_worker_call(json_t **reply, fake_worker *worker, const json_t *body,
                 cs_now now)
{
    json_int_t epoch = json_integer_value(json_object_get(body, "epoch"));
    json_int_t known_lease_version =
        json_integer_value(json_object_get(body, "seen"));
    json_int_t deadline =
        json_integer_value(json_object_get(body, "deadline_us"));
    const json_t *ops = json_object_get(body, "ops");
    json_t *results = json_array();
    const json_t *item;
    size_t i;

    fake_worker_tick(worker, now);
    if ((epoch < worker->epoch && !worker->faults.ignore_epochs) ||
        deadline < now.wall_us) {
        json_decref(results);
        *reply = json_pack("{s:I}", "epoch", (json_int_t)worker->epoch);
        return 409;
    }
    worker->epoch = MAX(worker->epoch, epoch);
    json_array_foreach(ops, i, item)
    {
        struct order order = decode_order(item, now);

        json_array_append_new(
            results, json_integer(execute(worker, &order, epoch, now)));
    }
    if (known_lease_version == worker->lease_version)
        renew_leases(worker, body, now);
    *reply =
        json_pack("{s:I,s:I,s:o}", "epoch", (json_int_t)worker->epoch, "state",
                  (json_int_t)worker->lease_version, "results", results);
    if (known_lease_version != worker->lease_version)
        json_object_set_new(*reply, "leases", encode_leases(worker));
    return 200;
}

const fake_worker_event *
fake_worker_events(const fake_worker *worker, uint32_t *count)
{
    *count = worker->events->len;
    return (const fake_worker_event *)worker->events->data;
}

const char *
fake_worker_name(const fake_worker *worker)
{
    return worker->name;
}

uint32_t
fake_worker_busy_accelerators(const fake_worker *worker)
{
    uint64_t mask = 0;
    guint i;

    for (i = 0; i < worker->leases->len; i++) {
        const struct lease *lease = g_ptr_array_index(worker->leases, i);

        if (lease->phase == RUNNING)
            mask |= lease->mask;
    }
    return (uint32_t)__builtin_popcountll(mask);
}

int64_t
fake_worker_next_event_us(const fake_worker *worker)
{
    int64_t next_us = INT64_MAX;
    guint i;

    for (i = 0; i < worker->leases->len; i++) {
        const struct lease *lease = g_ptr_array_index(worker->leases, i);

        if (lease->phase == RUNNING) {
            next_us = MIN(next_us, lease->end_us);
            if (lease->stop_us)
                next_us = MIN(next_us, lease->stop_us);
        }
        if (lease->phase != EXITED)
            next_us = MIN(next_us, lease->lease_end_us);
    }
    return next_us;
}
