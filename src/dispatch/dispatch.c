/*
 * Worker port of the cell's holder. Each worker has a route, which names the
 * executor that its calls are relayed through. A relayed call is tracked until
 * its answer arrives, the executor is marked down, or its deadline passes.
 */
#include "dispatch_internal.h"
#include "corianderstair/errors.h"

#include <string.h>

#define DEADLINE_SWEEP_INTERVAL_US (100 * CS_MS_US)
/* The executor ends a call at its deadline. Its answer arrives later by up to
   one main loop iteration on each side. */
#define ANSWER_GRACE_US (150 * CS_MS_US)
/* After this many failures a route moves to another executor, which may reach
   the worker where the current one does not. */
#define MAX_CONSECUTIVE_FAILURES 2
/* Numbers of orders take 5 bytes at most for the first 2^31 of a process. */
#define ORDER_ID_START_MASK UINT64_C(0x7fffffff)

/* A relayed call whose answer is outstanding. */
struct open_call {
    uint64_t order_id;
    struct remote_executor *executor;
    struct route *route;
    int64_t deadline_us; /* boot clock; includes ANSWER_GRACE_US */
    cs_worker_done done;
    void *user_data;
};

static int64_t
now_us(const cs_dispatch *dispatch)
{
    return dispatch->settings.now(dispatch->settings.now_data).boot_us;
}

/* Returns the route to a worker address; creates it if there is none. */
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
route_set_executor(struct route *route, struct remote_executor *executor)
{
    if (route->executor)
        route->executor->route_count--;
    route->executor = executor;
    route->consecutive_failures = 0;
    if (executor)
        executor->route_count++;
}

void
unassign_routes(cs_dispatch *dispatch, const struct remote_executor *executor)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, dispatch->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct route *route = value;

        if (route->executor == executor)
            route_set_executor(route, NULL);
    }
}

/*
 * Returns the route's executor. Assigns one first if the route has none, or if
 * too many calls in a row have failed on it. NULL if no executor is up.
 */
static struct remote_executor *
route_choose_executor(cs_dispatch *dispatch, struct route *route,
                      const cs_worker_target *target)
{
    if (!route->executor ||
        route->consecutive_failures >= MAX_CONSECUTIVE_FAILURES)
        route_set_executor(route, executor_pool_choose(dispatch, target->zone,
                                                       route->executor));
    return route->executor;
}

/* Ends a call. Both error codes below may mean that the executor can't reach
   the worker, so they count as failures of the route. */
static void
complete_call(struct open_call *call, const cs_worker_answer *answer)
{
    if (answer->code == CS_E_OUTCOME_UNKNOWN || answer->code == CS_E_CONNECT)
        call->route->consecutive_failures++;
    else
        call->route->consecutive_failures = 0;
    call->done(call->user_data, answer);
    g_free(call);
}

/* Completes a call whose outcome is unknown. */
static void
fail_call(cs_dispatch *dispatch, struct open_call *call)
{
    cs_worker_answer answer = {.code = CS_E_OUTCOME_UNKNOWN, .clock_ms = -1};

    (*dispatch->lost_total)++;
    complete_call(call, &answer);
}

/*
 * Fails the calls of an executor, or of all if it is NULL, with a deadline up
 * to max_deadline_us. Removes them from the table first, since completion
 * callbacks may open new calls.
 */
static void
fail_calls_due_by(cs_dispatch *dispatch,
                  const struct remote_executor *executor,
                  int64_t max_deadline_us)
{
    GPtrArray *failed = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    guint i;

    g_hash_table_iter_init(&iter, dispatch->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct open_call *call = value;

        if ((executor && call->executor != executor) ||
            call->deadline_us > max_deadline_us)
            continue;
        g_hash_table_iter_remove(&iter);
        g_ptr_array_add(failed, call);
    }
    for (i = 0; i < failed->len; i++)
        fail_call(dispatch, g_ptr_array_index(failed, i));
    g_ptr_array_free(failed, TRUE);
}

void
fail_open_calls(cs_dispatch *dispatch, const struct remote_executor *executor)
{
    fail_calls_due_by(dispatch, executor, INT64_MAX);
}

/*
 * Queues the order for the worker's executor and tracks the call. Returns
 * false if the call has to be made directly: the cell has few workers, or no
 * executor is up.
 */
static bool
relay_order(cs_dispatch *dispatch, cs_dispatch_order *order,
            const cs_worker_target *target, int64_t deadline_us,
            cs_worker_done done, void *user_data)
{
    struct remote_executor *executor;
    struct open_call *call;
    struct route *route;

    if (dispatch->worker_count <= dispatch->settings.max_direct_workers)
        return false;
    route = get_route(dispatch, target->address);
    executor = route_choose_executor(dispatch, route, target);
    if (!executor)
        return false;
    call = g_new0(struct open_call, 1);
    call->order_id = ++dispatch->last_order_id;
    call->executor = executor;
    call->route = route;
    call->deadline_us = deadline_us + ANSWER_GRACE_US;
    call->done = done;
    call->user_data = user_data;
    g_hash_table_insert(dispatch->calls, &call->order_id, call);
    order->id = call->order_id;
    order->target = *target;
    order->deadline_us = deadline_us + executor->clock_offset_us;
    cs_batch_add_order(&executor->pending_orders, order);
    (*dispatch->relayed_total)++;
    return true;
}

static void
port_start(void *self, const cs_worker_target *target,
           const cs_start_order *start, int64_t deadline_us,
           cs_worker_done done, void *user_data)
{
    cs_dispatch *dispatch = self;
    const cs_worker_port *direct = dispatch->settings.direct;
    cs_dispatch_order order = {.type = CS_DISPATCH_START, .u.start = *start};

    if (!relay_order(dispatch, &order, target, deadline_us, done, user_data))
        direct->start(direct->self, target, start, deadline_us, done,
                      user_data);
}

static void
port_stop(void *self, const cs_worker_target *target, const char *task,
          uint32_t run, uint64_t epoch, int64_t deadline_us,
          cs_worker_done done, void *user_data)
{
    cs_dispatch *dispatch = self;
    const cs_worker_port *direct = dispatch->settings.direct;
    cs_dispatch_order order = {
        .type = CS_DISPATCH_STOP,
        .u.stop = {.task = task, .run = run, .epoch = epoch}};

    if (!relay_order(dispatch, &order, target, deadline_us, done, user_data))
        direct->stop(direct->self, target, task, run, epoch, deadline_us, done,
                     user_data);
}

static void
port_heartbeat(void *self, const cs_worker_target *target,
               const cs_heartbeat_order *heartbeat, int64_t deadline_us,
               cs_worker_done done, void *user_data)
{
    cs_dispatch *dispatch = self;
    const cs_worker_port *direct = dispatch->settings.direct;
    cs_dispatch_order order = {.type = CS_DISPATCH_HEARTBEAT,
                               .u.heartbeat = *heartbeat};

    if (!relay_order(dispatch, &order, target, deadline_us, done, user_data))
        direct->heartbeat(direct->self, target, heartbeat, deadline_us, done,
                          user_data);
}

/* A batch of answers that is being read. */
struct answer_batch {
    cs_dispatch *dispatch;
    const struct remote_executor *executor;
};

static void
on_answer(void *user_data, uint64_t order_id, const cs_worker_answer *answer)
{
    const struct answer_batch *batch = user_data;
    cs_dispatch *dispatch = batch->dispatch;
    struct open_call *call = g_hash_table_lookup(dispatch->calls, &order_id);

    if (!call || call->executor != batch->executor)
        return;
    g_hash_table_remove(dispatch->calls, &order_id);
    complete_call(call, answer);
}

void
cs_dispatch_receive(cs_dispatch *dispatch, const char *executor_address,
                    const void *bytes, size_t size_bytes)
{
    struct remote_executor *executor =
        executor_pool_find(dispatch, executor_address);
    struct answer_batch batch = {dispatch, executor};
    cs_batch_header header;

    if (!executor || cs_batch_read_header(&header, bytes, size_bytes) ||
        !remote_executor_accepts(dispatch, executor, &header,
                                 now_us(dispatch)))
        return;
    cs_batch_read_answers(&header, bytes, size_bytes, on_answer, &batch);
    /* A completion callback may have ended the tenure, which frees all
       executors. */
    executor = executor_pool_find(dispatch, executor_address);
    if (executor)
        remote_executor_update(dispatch, executor, &header, now_us(dispatch));
}

/* Drops all calls, routes and executors when the cell is lost. */
static void
end_tenure(cs_dispatch *dispatch)
{
    fail_open_calls(dispatch, NULL);
    g_hash_table_remove_all(dispatch->routes);
    executor_pool_clear(dispatch);
    dispatch->next_pool_grow_us = 0;
}

void
cs_dispatch_tick(cs_dispatch *dispatch, bool is_holder, uint32_t worker_count)
{
    int64_t now = now_us(dispatch);

    dispatch->worker_count = worker_count;
    if (!is_holder) {
        if (dispatch->is_holder)
            end_tenure(dispatch);
        dispatch->is_holder = false;
        return;
    }
    if (!dispatch->is_holder)
        dispatch->session++;
    dispatch->is_holder = true;
    executor_pool_grow(dispatch, now);
    executor_pool_flush(dispatch, now);
    executor_pool_check_timeouts(dispatch, now);
    if (now < dispatch->next_sweep_us)
        return;
    dispatch->next_sweep_us = now + DEADLINE_SWEEP_INTERVAL_US;
    fail_calls_due_by(dispatch, NULL, now);
}

cs_dispatch *
cs_dispatch_create(const cs_dispatch_settings *settings)
{
    cs_dispatch *dispatch = g_new0(cs_dispatch, 1);
    cs_counters *counters = settings->counters;

    dispatch->settings = *settings;
    dispatch->session = settings->session;
    /* Executors of older versions do not name the session that they answer.
       Numbers that start elsewhere in each process tell its answers from those
       for a former one. */
    dispatch->last_order_id = settings->session & ORDER_ID_START_MASK;
    dispatch->executors = g_ptr_array_new_with_free_func(remote_executor_free);
    dispatch->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    dispatch->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    dispatch->relayed_total =
        cs_counters_get(counters, "cs_dispatch_orders_total");
    dispatch->lost_total = cs_counters_get(counters, "cs_dispatch_lost_total");
    dispatch->executors_lost_total =
        cs_counters_get(counters, "cs_executors_lost_total");
    dispatch->stale_total =
        cs_counters_get(counters, "cs_dispatch_stale_total");
    dispatch->port.self = dispatch;
    dispatch->port.start = port_start;
    dispatch->port.stop = port_stop;
    dispatch->port.heartbeat = port_heartbeat;
    return dispatch;
}

void
cs_dispatch_close(cs_dispatch *dispatch)
{
    if (dispatch)
        fail_open_calls(dispatch, NULL);
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
