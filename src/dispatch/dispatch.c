/* Open calls of the holder, and the way that each worker is reached by. */
#include "dispatch_internal.h"
#include "corianderstair/errors.h"

#include <string.h>

#define SWEEP_US (100 * CS_MS_US)
/* The executor ends a call by itself at its deadline; its answer comes later
   by a turn of both loops. */
#define ANSWER_SLACK_US (150 * CS_MS_US)
/* Another executor may reach a worker that this one does not. */
#define FAILURES_MAX 2

struct open_call {
    uint64_t number;
    struct executor *executor;
    struct route *route;
    int64_t deadline_us;
    cs_worker_done done;
    void *data;
};

static int64_t
now_us(const cs_dispatch *dispatch)
{
    return dispatch->settings.now(dispatch->settings.now_data).boot_us;
}

static struct route *
get_route(cs_dispatch *dispatch, const char *address)
{
    struct route *route = g_hash_table_lookup(dispatch->routes, address);

    if (!route) {
        route = g_new0(struct route, 1);
        g_hash_table_insert(dispatch->routes, g_strdup(address), route);
    }
    return route;
}

static void
set_executor(struct route *route, struct executor *executor)
{
    if (route->executor)
        route->executor->routes--;
    route->executor = executor;
    route->failures = 0;
    if (executor)
        executor->routes++;
}

void
routes_leave(cs_dispatch *dispatch, const struct executor *executor)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, dispatch->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct route *route = value;

        if (route->executor == executor)
            set_executor(route, NULL);
    }
}

/* The executor for a worker, or NULL where none is up. */
static struct executor *
find_way(cs_dispatch *dispatch, struct route *route,
         const cs_worker_target *target)
{
    if (!route->executor || route->failures >= FAILURES_MAX)
        set_executor(
            route, executors_choose(dispatch, target->zone, route->executor));
    return route->executor;
}

static void
end_call(struct open_call *call, const cs_worker_answer *answer)
{
    if (answer->code == CS_E_UNKNOWN || answer->code == CS_E_CONNECT)
        call->route->failures++;
    else
        call->route->failures = 0;
    call->done(call->data, answer);
    g_free(call);
}

static void
lose(cs_dispatch *dispatch, struct open_call *call)
{
    cs_worker_answer answer = {.code = CS_E_UNKNOWN, .clock_ms = -1};

    (*dispatch->lost)++;
    end_call(call, &answer);
}

/* Takes calls out of the table first: their ends may make new ones. */
static void
lose_where(cs_dispatch *dispatch, const struct executor *executor,
           int64_t until_us)
{
    GPtrArray *lost = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    guint i;

    g_hash_table_iter_init(&iter, dispatch->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct open_call *call = value;

        if ((executor && call->executor != executor) ||
            call->deadline_us > until_us)
            continue;
        g_hash_table_iter_remove(&iter);
        g_ptr_array_add(lost, call);
    }
    for (i = 0; i < lost->len; i++)
        lose(dispatch, g_ptr_array_index(lost, i));
    g_ptr_array_free(lost, TRUE);
}

void
calls_lost(cs_dispatch *dispatch, const struct executor *executor)
{
    lose_where(dispatch, executor, INT64_MAX);
}

/* Gives the order to the worker's executor. Returns false for a direct one. */
static bool
relay(cs_dispatch *dispatch, cs_dispatch_order *order,
      const cs_worker_target *target, int64_t deadline_us, cs_worker_done done,
      void *data)
{
    struct executor *executor;
    struct open_call *call;
    struct route *route;

    if (dispatch->workers <= dispatch->settings.direct_max)
        return false;
    route = get_route(dispatch, target->address);
    executor = find_way(dispatch, route, target);
    if (!executor)
        return false;
    call = g_new0(struct open_call, 1);
    call->number = ++dispatch->next_number;
    call->executor = executor;
    call->route = route;
    call->deadline_us = deadline_us + ANSWER_SLACK_US;
    call->done = done;
    call->data = data;
    g_hash_table_insert(dispatch->calls, &call->number, call);
    order->number = call->number;
    order->target = *target;
    order->deadline_us = deadline_us + executor->clock_offset_us;
    cs_dispatch_add_order(&executor->orders, order);
    (*dispatch->relayed)++;
    return true;
}

static void
port_start(void *self, const cs_worker_target *target,
           const cs_start_order *start, int64_t deadline_us,
           cs_worker_done done, void *data)
{
    cs_dispatch *dispatch = self;
    const cs_worker_port *direct = dispatch->settings.direct;
    cs_dispatch_order order = {.type = CS_DISPATCH_START, .u.start = *start};

    if (!relay(dispatch, &order, target, deadline_us, done, data))
        direct->start(direct->self, target, start, deadline_us, done, data);
}

static void
port_stop(void *self, const cs_worker_target *target, const char *task,
          uint32_t run, uint64_t epoch, int64_t deadline_us,
          cs_worker_done done, void *data)
{
    cs_dispatch *dispatch = self;
    const cs_worker_port *direct = dispatch->settings.direct;
    cs_dispatch_order order = {
        .type = CS_DISPATCH_STOP,
        .u.stop = {.task = task, .run = run, .epoch = epoch}};

    if (!relay(dispatch, &order, target, deadline_us, done, data))
        direct->stop(direct->self, target, task, run, epoch, deadline_us, done,
                     data);
}

static void
port_hold(void *self, const cs_worker_target *target,
          const cs_hold_order *hold, int64_t deadline_us, cs_worker_done done,
          void *data)
{
    cs_dispatch *dispatch = self;
    const cs_worker_port *direct = dispatch->settings.direct;
    cs_dispatch_order order = {.type = CS_DISPATCH_HOLD, .u.hold = *hold};

    if (!relay(dispatch, &order, target, deadline_us, done, data))
        direct->hold(direct->self, target, hold, deadline_us, done, data);
}

static void
on_answer(void *data, uint64_t number, const cs_worker_answer *answer)
{
    cs_dispatch *dispatch = data;
    struct open_call *call = g_hash_table_lookup(dispatch->calls, &number);

    if (!call)
        return;
    g_hash_table_remove(dispatch->calls, &number);
    end_call(call, answer);
}

void
cs_dispatch_receive(cs_dispatch *dispatch, const char *from, const void *bytes,
                    size_t size_bytes)
{
    struct executor *executor = executors_find(dispatch, from);
    cs_dispatch_head head;

    if (!executor || cs_dispatch_read_answers(&head, bytes, size_bytes,
                                              on_answer, dispatch))
        return;
    /* What the answers led to may have ended the tenure. */
    executor = executors_find(dispatch, from);
    if (executor)
        executor_heard(dispatch, executor, &head, now_us(dispatch));
}

static void
let_go(cs_dispatch *dispatch)
{
    calls_lost(dispatch, NULL);
    g_hash_table_remove_all(dispatch->routes);
    executors_drop_all(dispatch);
    dispatch->next_fill_us = 0;
}

void
cs_dispatch_tick(cs_dispatch *dispatch, bool holding, uint32_t workers)
{
    int64_t now = now_us(dispatch);

    dispatch->workers = workers;
    if (!holding) {
        if (dispatch->holding)
            let_go(dispatch);
        dispatch->holding = false;
        return;
    }
    dispatch->holding = true;
    executors_fill(dispatch, now);
    executors_flush(dispatch, now);
    executors_watch(dispatch, now);
    if (now < dispatch->next_sweep_us)
        return;
    dispatch->next_sweep_us = now + SWEEP_US;
    lose_where(dispatch, NULL, now);
}

cs_dispatch *
cs_dispatch_create(const cs_dispatch_settings *settings)
{
    cs_dispatch *dispatch = g_new0(cs_dispatch, 1);
    cs_counters *counters = settings->counters;

    dispatch->settings = *settings;
    dispatch->executors = g_ptr_array_new_with_free_func(executor_free);
    dispatch->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    dispatch->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    dispatch->relayed = cs_counters_get(counters, "cs_dispatch_orders_total");
    dispatch->lost = cs_counters_get(counters, "cs_dispatch_lost_total");
    dispatch->downs = cs_counters_get(counters, "cs_executors_lost_total");
    dispatch->port.self = dispatch;
    dispatch->port.start = port_start;
    dispatch->port.stop = port_stop;
    dispatch->port.hold = port_hold;
    return dispatch;
}

void
cs_dispatch_close(cs_dispatch *dispatch)
{
    if (dispatch)
        calls_lost(dispatch, NULL);
}

void
cs_dispatch_destroy(cs_dispatch *dispatch)
{
    if (!dispatch)
        return;
    g_hash_table_destroy(dispatch->calls);
    g_hash_table_destroy(dispatch->routes);
    g_ptr_array_free(dispatch->executors, TRUE);
    g_free(dispatch);
}

const cs_worker_port *
cs_dispatch_port(cs_dispatch *dispatch)
{
    return &dispatch->port;
}
