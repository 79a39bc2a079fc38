/* The holder and an executor, each with a clock of its own, when the process
   of either is replaced by another one at the same address. */
#include "corianderstair/dispatch.h"
#include "corianderstair/errors.h"
#include "corianderstair/executor.h"
#include "corianderstair/record.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define HOLDER_ADDRESS "10.7.0.1:7000"
#define EXECUTOR_ADDRESS "10.7.0.2:7000"
#define WORKERS 10
#define TICK_US (20 * CS_MS_US)
#define ORDER_TIMEOUT_US (900 * CS_MS_US)
#define MAX_CALLS 8

/* The outcome of a call of the holder. */
struct outcome {
    uint32_t count;
    int code;
};

/* A call of the executor to a worker that is not answered yet. */
struct worker_call {
    cs_worker_done done;
    void *user_data;
};

struct fixture {
    int64_t now_us;
    uint64_t last_session;
    int64_t executor_clock_us; /* of the executor's boot clock at now_us 0 */
    GPtrArray *orders;         /* batches on their way, of GByteArray */
    GPtrArray *answers;
    struct worker_call calls[MAX_CALLS];
    uint32_t call_count;
    cs_worker_port workers;
    cs_peer_link_port holder_link;
    cs_peer_link_port executor_link;
    cs_store_port store;
    GByteArray *member_row;
    cs_counters *counters;
    cs_evacuations *evacuations;
    cs_store_router *router;
    cs_fleet_state state;
    cs_members *members;
    cs_dispatch *dispatch;
    cs_executor *executor;
};

static cs_now
holder_now(void *user_data)
{
    const struct fixture *fixture = user_data;
    cs_now now = {fixture->now_us, fixture->now_us};

    return now;
}

static cs_now
executor_now(void *user_data)
{
    const struct fixture *fixture = user_data;
    int64_t boot_us = fixture->now_us + fixture->executor_clock_us;
    cs_now now = {boot_us, boot_us};

    return now;
}

static void
record_worker_call(struct fixture *fixture, cs_worker_done done,
                   void *user_data)
{
    assert_true(fixture->call_count < MAX_CALLS);
    fixture->calls[fixture->call_count].done = done;
    fixture->calls[fixture->call_count++].user_data = user_data;
}

static void
worker_start(void *self, const cs_worker_target *target,
             const cs_start_order *start, int64_t deadline_us,
             cs_worker_done done, void *user_data)
{
    record_worker_call(self, done, user_data);
}

static void
worker_heartbeat(void *self, const cs_worker_target *target,
                 const cs_heartbeat_order *heartbeat, int64_t deadline_us,
                 cs_worker_done done, void *user_data)
{
    record_worker_call(self, done, user_data);
}

static void
append_message(GPtrArray *messages, const void *bytes, size_t size_bytes)
{
    GByteArray *message = g_byte_array_new();

    g_byte_array_append(message, bytes, (guint)size_bytes);
    g_ptr_array_add(messages, message);
}

static void
send_orders(void *self, const char *address, uint8_t kind, const void *bytes,
            size_t size_bytes)
{
    append_message(((struct fixture *)self)->orders, bytes, size_bytes);
}

static void
send_answers(void *self, const char *address, uint8_t kind, const void *bytes,
             size_t size_bytes)
{
    append_message(((struct fixture *)self)->answers, bytes, size_bytes);
}

static void
close_link(void *self, const char *address)
{
}

static void
store_read(void *self, const cs_row_range *range, int64_t deadline_us,
           cs_store_done done, void *user_data)
{
    const struct fixture *fixture = self;
    cs_row row = {.key = "vm-2",
                  .value = fixture->member_row->data,
                  .size_bytes = fixture->member_row->len};
    cs_store_answer answer = {.now_ms = 1, .rows = &row, .row_count = 1};

    done(user_data, &answer);
}

static const cs_store_port *
open_relay(void *user_data, const char *address)
{
    return &((struct fixture *)user_data)->store;
}

/* Lets the members list the VM of the executor. */
static void
create_members(struct fixture *fixture)
{
    cs_store_router_settings routes = {.direct = &fixture->store,
                                       .open_relay = open_relay,
                                       .open_relay_data = fixture,
                                       .own_name = "vm-1",
                                       .now = holder_now,
                                       .now_data = fixture,
                                       .counters = fixture->counters};
    cs_fleet_ports ports = {.now = holder_now,
                            .now_data = fixture,
                            .evacuation_prefix = "evacuate/"};
    cs_vm_settings settings = {.name = "vm-1", .peer_address = "10.7.0.1:80"};
    msgpack_packer packer;

    fixture->member_row = g_byte_array_new();
    cs_record_packer_init(&packer, fixture->member_row);
    msgpack_pack_array(&packer, 7);
    msgpack_pack_int64(&packer, 1);
    cs_record_pack_text(&packer, "10.7.0.2:80");
    cs_record_pack_text(&packer, EXECUTOR_ADDRESS);
    cs_record_pack_text(&packer, "z1");
    msgpack_pack_int64(&packer, 1000);
    msgpack_pack_int64(&packer, 1);
    cs_record_pack_text(&packer, "vm-2-1");
    fixture->store.self = fixture;
    fixture->store.read = store_read;
    fixture->router = cs_store_router_create(&routes);
    ports.store = cs_store_router_port(fixture->router);
    cs_fleet_state_init(&fixture->state, &ports, &settings, fixture->counters);
    fixture->members = cs_members_create(&fixture->state, fixture->router);
    cs_members_tick(fixture->members);
    assert_int_equal(cs_members_list(fixture->members)->len, 1);
}

static void
start_holder(struct fixture *fixture)
{
    cs_dispatch_settings settings = {.direct = &fixture->workers,
                                     .link = &fixture->holder_link,
                                     .members = fixture->members,
                                     .own_name = "vm-1",
                                     .max_direct_workers = 0,
                                     .now = holder_now,
                                     .now_data = fixture,
                                     .counters = fixture->counters,
                                     .session = fixture->last_session += 1000};

    fixture->dispatch = cs_dispatch_create(&settings);
}

static void
start_executor(struct fixture *fixture)
{
    cs_executor_settings settings = {.workers = &fixture->workers,
                                     .link = &fixture->executor_link,
                                     .evacuations = fixture->evacuations,
                                     .now = executor_now,
                                     .now_data = fixture,
                                     .counters = fixture->counters,
                                     .session = fixture->last_session += 1000};

    fixture->executor = cs_executor_create(&settings);
}

static void
end_holder(struct fixture *fixture)
{
    cs_dispatch_close(fixture->dispatch);
    cs_dispatch_destroy(fixture->dispatch);
}

static void
restart_holder(struct fixture *fixture)
{
    end_holder(fixture);
    start_holder(fixture);
}

/* Replaces the executor by one on a machine with another boot clock. */
static void
restart_executor(struct fixture *fixture, int64_t clock_us)
{
    cs_executor_destroy(fixture->executor);
    fixture->executor_clock_us = clock_us;
    start_executor(fixture);
}

static void
fixture_init(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->now_us = CS_SEC_US;
    fixture->executor_clock_us = 1000 * CS_SEC_US;
    fixture->orders =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    fixture->answers =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    fixture->workers.self = fixture;
    fixture->workers.start = worker_start;
    fixture->workers.heartbeat = worker_heartbeat;
    fixture->holder_link.self = fixture;
    fixture->holder_link.send = send_orders;
    fixture->holder_link.close = close_link;
    fixture->executor_link = fixture->holder_link;
    fixture->executor_link.send = send_answers;
    fixture->counters = cs_counters_create();
    fixture->evacuations = cs_evacuations_create("evacuate/");
    create_members(fixture);
    start_holder(fixture);
    start_executor(fixture);
}

static void
fixture_dispose(struct fixture *fixture)
{
    const cs_worker_answer lost = {.code = CS_E_OUTCOME_UNKNOWN,
                                   .clock_ms = -1};

    end_holder(fixture);
    cs_executor_destroy(fixture->executor);
    while (fixture->call_count > 0) {
        fixture->call_count--;
        if (fixture->calls[fixture->call_count].done)
            fixture->calls[fixture->call_count].done(
                fixture->calls[fixture->call_count].user_data, &lost);
    }
    cs_members_destroy(fixture->members);
    cs_fleet_state_dispose(&fixture->state);
    cs_store_router_destroy(fixture->router);
    cs_evacuations_destroy(fixture->evacuations);
    cs_counters_destroy(fixture->counters);
    g_byte_array_unref(fixture->member_row);
    g_ptr_array_unref(fixture->orders);
    g_ptr_array_unref(fixture->answers);
}

/* Delivers all batches on their way to the executor. */
static void
deliver_orders(struct fixture *fixture)
{
    while (fixture->orders->len > 0) {
        GByteArray *batch = g_ptr_array_steal_index(fixture->orders, 0);

        cs_executor_receive(fixture->executor, HOLDER_ADDRESS, batch->data,
                            batch->len);
        g_byte_array_unref(batch);
    }
}

/* Delivers all batches on their way to the holder. */
static void
deliver_answers(struct fixture *fixture)
{
    while (fixture->answers->len > 0) {
        GByteArray *batch = g_ptr_array_steal_index(fixture->answers, 0);

        cs_dispatch_receive(fixture->dispatch, EXECUTOR_ADDRESS, batch->data,
                            batch->len);
        g_byte_array_unref(batch);
    }
}

static void
tick(struct fixture *fixture)
{
    fixture->now_us += TICK_US;
    cs_dispatch_tick(fixture->dispatch, true, WORKERS);
    cs_executor_tick(fixture->executor, false);
}

/* Runs both processes for a time, with a network that delivers at once. */
static void
run(struct fixture *fixture, int64_t us)
{
    int64_t until_us = fixture->now_us + us;

    while (fixture->now_us < until_us) {
        tick(fixture);
        deliver_orders(fixture);
        cs_executor_tick(fixture->executor, false);
        deliver_answers(fixture);
    }
}

static void
record_outcome(void *user_data, const cs_worker_answer *answer)
{
    struct outcome *outcome = user_data;

    outcome->count++;
    outcome->code = answer->code;
}

static const cs_worker_target target = {"10.9.0.1:80", "w-1", false, "z1"};

static void
order_start(struct fixture *fixture, struct outcome *outcome)
{
    const cs_worker_port *port = cs_dispatch_port(fixture->dispatch);
    cs_start_order start = {.task = "0123456789abcdef.0.0.0",
                            .run = 1,
                            .payload = "text",
                            .lease_end_ms = 6000,
                            .epoch = 4};

    memset(outcome, 0, sizeof(*outcome));
    port->start(port->self, &target, &start,
                fixture->now_us + ORDER_TIMEOUT_US, record_outcome, outcome);
}

static void
order_heartbeat(struct fixture *fixture, struct outcome *outcome)
{
    const cs_worker_port *port = cs_dispatch_port(fixture->dispatch);
    cs_heartbeat_order heartbeat = {.epoch = 4, .wait_ms = 2000};

    memset(outcome, 0, sizeof(*outcome));
    port->heartbeat(port->self, &target, &heartbeat,
                    fixture->now_us + 3 * CS_SEC_US, record_outcome, outcome);
}

/* Lets the worker answer a call of the executor. */
static void
answer_call(struct fixture *fixture, uint32_t call, int code)
{
    cs_worker_answer answer = {.code = code, .clock_ms = 50};

    fixture->calls[call].done(fixture->calls[call].user_data, &answer);
    fixture->calls[call].done = NULL;
}

/* Lets the executor answer and the holder receive it. */
static void
return_answers(struct fixture *fixture)
{
    cs_executor_tick(fixture->executor, false);
    deliver_answers(fixture);
}

static bool
is_executor_up(const struct fixture *fixture)
{
    json_t *status = cs_dispatch_status(fixture->dispatch);
    bool up = json_is_true(json_object_get(json_array_get(status, 0), "up"));

    json_decref(status);
    return up;
}

/* Guards against an answer to an order of a former process of the holder's VM
   that completes a call of the present one: a start that is on its way would
   be taken for not sent, or for running before it is. */
static void
dispatch__answer_to_a_former_process_completes_no_call(void **state)
{
    struct fixture fixture;
    struct outcome former;
    struct outcome present;

    fixture_init(&fixture);
    run(&fixture, CS_SEC_US);
    order_heartbeat(&fixture, &former);
    run(&fixture, TICK_US);
    assert_int_equal(fixture.call_count, 1);
    restart_holder(&fixture);
    run(&fixture, CS_SEC_US);
    order_start(&fixture, &present);
    run(&fixture, TICK_US);
    assert_int_equal(fixture.call_count, 2);
    answer_call(&fixture, 0, CS_E_CONNECT);
    return_answers(&fixture);
    assert_int_equal(present.count, 0);
    answer_call(&fixture, 1, 0);
    return_answers(&fixture);
    assert_int_equal(present.count, 1);
    assert_int_equal(present.code, 0);
    fixture_dispose(&fixture);
}

/* Guards against an executor that acknowledges to a new process what a former
   one at its address has sent: a batch that is lost would count as arrived. */
static void
dispatch__acknowledgement_of_a_former_process_is_ignored(void **state)
{
    struct fixture fixture;
    struct outcome former;

    fixture_init(&fixture);
    run(&fixture, CS_SEC_US);
    order_heartbeat(&fixture, &former);
    run(&fixture, TICK_US);
    restart_holder(&fixture);
    tick(&fixture);
    g_ptr_array_set_size(fixture.orders, 0);
    answer_call(&fixture, 0, 0);
    return_answers(&fixture);
    assert_false(is_executor_up(&fixture));
    fixture_dispose(&fixture);
}

/* The same within one process, whose batches are numbered anew when it holds
   the cell again. */
static void
dispatch__acknowledgement_of_a_former_tenure_is_ignored(void **state)
{
    struct fixture fixture;
    struct outcome former;

    fixture_init(&fixture);
    run(&fixture, CS_SEC_US);
    order_heartbeat(&fixture, &former);
    run(&fixture, TICK_US);
    cs_dispatch_tick(fixture.dispatch, false, WORKERS);
    assert_int_equal(former.count, 1);
    tick(&fixture);
    g_ptr_array_set_size(fixture.orders, 0);
    answer_call(&fixture, 0, 0);
    return_answers(&fixture);
    assert_false(is_executor_up(&fixture));
    fixture_dispose(&fixture);
}

/* Guards against orders that waited for a connection and reach the next
   process at the executor's address: their deadlines are on the clock of the
   former one, so that they are carried out after the holder has given up. */
static void
executor__orders_for_a_former_process_are_not_sent(void **state)
{
    struct fixture fixture;
    struct outcome outcome;

    fixture_init(&fixture);
    run(&fixture, CS_SEC_US);
    order_start(&fixture, &outcome);
    tick(&fixture);
    restart_executor(&fixture, 500 * CS_SEC_US);
    fixture.now_us += 2 * CS_SEC_US;
    cs_dispatch_tick(fixture.dispatch, true, WORKERS);
    assert_int_equal(outcome.count, 1);
    assert_int_equal(outcome.code, CS_E_OUTCOME_UNKNOWN);
    deliver_orders(&fixture);
    assert_int_equal(fixture.call_count, 0);
    fixture_dispose(&fixture);
}

/* Guards against an executor that is replaced by another process within the
   time for its acknowledgement: orders went on with the former one's clock,
   and calls waited for answers that nobody could give. */
static void
dispatch__replaced_executor_is_noticed(void **state)
{
    struct fixture fixture;
    struct outcome outcome;

    fixture_init(&fixture);
    run(&fixture, CS_SEC_US);
    order_start(&fixture, &outcome);
    run(&fixture, TICK_US);
    assert_int_equal(fixture.call_count, 1);
    restart_executor(&fixture, 500 * CS_SEC_US);
    run(&fixture, 300 * CS_MS_US);
    assert_int_equal(outcome.count, 1);
    assert_int_equal(outcome.code, CS_E_OUTCOME_UNKNOWN);
    assert_false(is_executor_up(&fixture));
    run(&fixture, 3 * CS_SEC_US);
    assert_true(is_executor_up(&fixture));
    order_start(&fixture, &outcome);
    run(&fixture, TICK_US);
    assert_int_equal(fixture.call_count, 2);
    fixture_dispose(&fixture);
}

/* Cuts the sessions out of the header of each batch on its way, as a process
   of an older version would send it. The array has 7 items, the last two of
   which are integers, and the others before them are copied. */
static void
make_older(GPtrArray *batches)
{
    guint i;

    for (i = 0; i < batches->len; i++) {
        GByteArray *batch = g_ptr_array_index(batches, i);
        size_t items_offset = 0;
        msgpack_unpacked header;
        msgpack_packer packer;
        GByteArray *older = g_byte_array_new();
        uint32_t k;

        msgpack_unpacked_init(&header);
        assert_int_equal(msgpack_unpack_next(&header, (char *)batch->data,
                                             batch->len, &items_offset),
                         MSGPACK_UNPACK_SUCCESS);
        cs_record_packer_init(&packer, older);
        msgpack_pack_array(&packer, 5);
        for (k = 0; k < 5; k++)
            msgpack_pack_object(&packer, header.data.via.array.ptr[k]);
        g_byte_array_append(older, batch->data + items_offset,
                            batch->len - (guint)items_offset);
        msgpack_unpacked_destroy(&header);
        g_ptr_array_remove_index(batches, i);
        g_ptr_array_insert(batches, (gint)i, older);
    }
}

/* Runs both processes as run() does, with an executor of an older version. */
static void
run_with_older_executor(struct fixture *fixture, int64_t us)
{
    int64_t until_us = fixture->now_us + us;

    while (fixture->now_us < until_us) {
        tick(fixture);
        make_older(fixture->orders);
        deliver_orders(fixture);
        cs_executor_tick(fixture->executor, false);
        make_older(fixture->answers);
        deliver_answers(fixture);
    }
}

/* Guards an upgrade: executors of older versions neither read nor name
   sessions. */
static void
dispatch__older_executor_works(void **state)
{
    struct fixture fixture;
    struct outcome outcome;

    fixture_init(&fixture);
    run_with_older_executor(&fixture, CS_SEC_US);
    assert_true(is_executor_up(&fixture));
    order_start(&fixture, &outcome);
    run_with_older_executor(&fixture, TICK_US);
    assert_int_equal(fixture.call_count, 1);
    answer_call(&fixture, 0, 0);
    run_with_older_executor(&fixture, TICK_US);
    assert_int_equal(outcome.count, 1);
    assert_int_equal(outcome.code, 0);
    fixture_dispose(&fixture);
}

/* Guards against the same confusion during an upgrade, when the executor does
   not name the process that it answers. */
static void
dispatch__older_executor_answers_no_call_of_another_process(void **state)
{
    struct fixture fixture;
    struct outcome former;
    struct outcome present;

    fixture_init(&fixture);
    run_with_older_executor(&fixture, CS_SEC_US);
    order_heartbeat(&fixture, &former);
    run_with_older_executor(&fixture, TICK_US);
    restart_holder(&fixture);
    run_with_older_executor(&fixture, CS_SEC_US);
    order_start(&fixture, &present);
    run_with_older_executor(&fixture, TICK_US);
    assert_int_equal(fixture.call_count, 2);
    answer_call(&fixture, 0, CS_E_CONNECT);
    run_with_older_executor(&fixture, TICK_US);
    assert_int_equal(present.count, 0);
    fixture_dispose(&fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            dispatch__answer_to_a_former_process_completes_no_call),
        cmocka_unit_test(
            dispatch__acknowledgement_of_a_former_process_is_ignored),
        cmocka_unit_test(
            dispatch__acknowledgement_of_a_former_tenure_is_ignored),
        cmocka_unit_test(dispatch__older_executor_works),
        cmocka_unit_test(
            dispatch__older_executor_answers_no_call_of_another_process),
        cmocka_unit_test(executor__orders_for_a_former_process_are_not_sent),
        cmocka_unit_test(dispatch__replaced_executor_is_noticed),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
