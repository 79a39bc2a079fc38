/* The batch encoding between the holder and its executors, and an executor
   with a fake worker port, peer link and clock. */
#include "corianderstair/dispatch_batch.h"
#include "corianderstair/errors.h"
#include "corianderstair/executor.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* What was decoded from a batch of orders; strings of the last start order. */
struct received_orders {
    uint32_t count;
    cs_dispatch_order last_order;
    char spec[64];
    char task[64];
    char saved[64];
};

static void
record_order(void *user_data, const cs_dispatch_order *order)
{
    struct received_orders *received = user_data;

    received->count++;
    received->last_order = *order;
    if (order->type != CS_DISPATCH_START)
        return;
    g_strlcpy(received->spec, order->u.start.payload, sizeof(received->spec));
    g_strlcpy(received->task, order->u.start.task, sizeof(received->task));
    g_strlcpy(received->saved,
              order->u.start.checkpoint_data ? order->u.start.checkpoint_data
                                             : "-",
              sizeof(received->saved));
}

static cs_dispatch_order
make_start_order(uint64_t id, const char *spec)
{
    cs_dispatch_order order = {.type = CS_DISPATCH_START,
                               .id = id,
                               .deadline_us = 5000,
                               .target = {"10.9.0.1:80", "w-1", false, "z1"},
                               .u.start = {.task = "0123456789abcdef.0.0.3",
                                           .run = 7,
                                           .payload = spec,
                                           .lease_end_ms = 6000,
                                           .epoch = 4}};

    return order;
}

static void
finish_batch(cs_batch_writer *writer, GByteArray *out, uint64_t sequence,
             int64_t clock_us)
{
    cs_batch_header header = {.sequence = sequence,
                              .sender_clock_us = clock_us};

    cs_batch_finish(writer, out, &header);
}

static GByteArray *
write_orders(void)
{
    GByteArray *out = g_byte_array_new();
    cs_batch_writer writer;
    cs_batch_header header = {.sequence = 11,
                              .sender_clock_us = 1234,
                              .session = 77,
                              .receiver_session = 78};
    cs_dispatch_order order = make_start_order(1, "one text");

    cs_batch_writer_init(&writer);
    cs_batch_add_order(&writer, &order);
    order.id = 2;
    order.u.start.checkpoint_data = "00ff";
    cs_batch_add_order(&writer, &order);
    order = (cs_dispatch_order){.type = CS_DISPATCH_HEARTBEAT,
                                .id = 3,
                                .target = {"10.9.0.1:80", "w-1", true, NULL},
                                .u.heartbeat = {4, 9, 6000, 2000}};
    cs_batch_add_order(&writer, &order);
    cs_batch_finish(&writer, out, &header);
    assert_int_equal(writer.count, 0);
    cs_batch_writer_dispose(&writer);
    return out;
}

static void
batch__orders_survive_a_round_trip(void **state)
{
    GByteArray *bytes = write_orders();
    struct received_orders received = {0};
    cs_batch_header header;

    assert_int_equal(cs_batch_read_orders(&header, bytes->data, bytes->len,
                                          record_order, &received),
                     0);
    assert_int_equal(header.sequence, 11);
    assert_int_equal(header.sender_clock_us, 1234);
    assert_int_equal(received.count, 3);
    assert_string_equal(received.spec, "one text");
    assert_string_equal(received.saved, "00ff");
    assert_int_equal(received.last_order.type, CS_DISPATCH_HEARTBEAT);
    assert_int_equal(received.last_order.u.heartbeat.acknowledged_upto, 9);
    assert_int_equal(received.last_order.u.heartbeat.wait_ms, 2000);
    g_byte_array_unref(bytes);
}

/* Guards mixed versions: a header without sessions, as older versions write
   it, is read, and older versions, which read the first five fields, find
   those unchanged. */
static void
batch__header_of_an_older_version_is_read(void **state)
{
    GByteArray *bytes = write_orders();
    /* Version 1, sequence 11, clock 5, not draining, no items. */
    static const guint8 older[] = {0x95, 1, 11, 5, 0, 0};
    static const guint8 newer[] = {0x97, 1, 11, 0xcd, 0x04, 0xd2, 0, 3};
    cs_batch_header header;

    assert_int_equal(cs_batch_read_header(&header, older, sizeof(older)), 0);
    assert_int_equal(header.sequence, 11);
    assert_int_equal(header.session, 0);
    assert_int_equal(header.receiver_session, 0);
    assert_memory_equal(bytes->data, newer, sizeof(newer));
    assert_int_equal(cs_batch_read_header(&header, bytes->data, bytes->len),
                     0);
    assert_int_equal(header.session, 77);
    assert_int_equal(header.receiver_session, 78);
    g_byte_array_unref(bytes);
}

/* Start orders of the tasks of one step share the job's spec, which can be
   long. */
static void
batch__shared_spec_is_encoded_once(void **state)
{
    GByteArray *single = g_byte_array_new();
    GByteArray *shared = g_byte_array_new();
    char *spec = g_strnfill(4000, 'x');
    cs_dispatch_order order = make_start_order(1, spec);
    cs_batch_writer writer;
    uint32_t i;

    cs_batch_writer_init(&writer);
    cs_batch_add_order(&writer, &order);
    finish_batch(&writer, single, 1, 1);
    for (i = 0; i < 50; i++)
        cs_batch_add_order(&writer, &order);
    finish_batch(&writer, shared, 2, 1);
    assert_true(shared->len < 3 * single->len);
    cs_batch_writer_dispose(&writer);
    g_byte_array_unref(single);
    g_byte_array_unref(shared);
    g_free(spec);
}

/* Returns the next encoded start order: a msgpack array header for 13 fields,
   followed by the order type. */
static guint8 *
find_start_order(guint8 *at)
{
    while (at[0] != 0x9d || at[1] != CS_DISPATCH_START)
        at++;
    return at;
}

/* An order that shares the spec of an unreadable one must be skipped as well:
   it must not be executed with the spec of an earlier job. */
static void
batch__order_sharing_an_unreadable_spec_is_skipped(void **state)
{
    GByteArray *bytes = g_byte_array_new();
    struct received_orders received = {0};
    cs_batch_header header;
    cs_dispatch_order order = make_start_order(1, "first");
    cs_batch_writer writer;
    guint8 *second;

    cs_batch_writer_init(&writer);
    cs_batch_add_order(&writer, &order);
    order = make_start_order(2, "second");
    cs_batch_add_order(&writer, &order);
    order.id = 3;
    cs_batch_add_order(&writer, &order);
    finish_batch(&writer, bytes, 1, 1);
    second = find_start_order(find_start_order(bytes->data) + 1);
    second[1] = 0x7f;
    assert_int_equal(cs_batch_read_orders(&header, bytes->data, bytes->len,
                                          record_order, &received),
                     0);
    assert_int_equal(received.count, 1);
    assert_string_equal(received.spec, "first");
    cs_batch_writer_dispose(&writer);
    g_byte_array_unref(bytes);
}

/* What was decoded from a batch of answers. */
struct received_answers {
    uint32_t count;
    uint64_t order_id;
    cs_worker_answer last_answer;
    char task[64];
    uint64_t end_number;
};

static void
record_answer(void *user_data, uint64_t order_id,
              const cs_worker_answer *answer)
{
    struct received_answers *answers = user_data;

    answers->count++;
    answers->order_id = order_id;
    answers->last_answer = *answer;
    if (answer->run_count > 0)
        g_strlcpy(answers->task, answer->runs[answer->run_count - 1].task,
                  sizeof(answers->task));
    if (answer->ended_run_count > 0)
        answers->end_number = answer->ended_runs[0].sequence;
}

static GByteArray *
write_answers(int how)
{
    const cs_worker_run runs[] = {{"a.0.0.0", 1, "", 10},
                                  {"b.0.0.1", 2, "ff", 55}};
    const cs_worker_ended_run ends[] = {
        {8, "c.0.0.0", 3, (cs_run_outcome)how, ""}};
    cs_worker_answer answer = {.clock_ms = 777,
                               .incarnation_ms = 42,
                               .runs = runs,
                               .run_count = 2,
                               .ended_runs = ends,
                               .ended_run_count = 1};
    GByteArray *out = g_byte_array_new();
    cs_batch_writer writer;

    cs_batch_writer_init(&writer);
    cs_batch_add_answer(&writer, 5, &answer);
    finish_batch(&writer, out, 3, 99);
    cs_batch_writer_dispose(&writer);
    return out;
}

static void
batch__answers_survive_a_round_trip(void **state)
{
    GByteArray *bytes = write_answers(CS_OUTCOME_ALONE);
    struct received_answers answers = {0};
    cs_batch_header header;

    assert_int_equal(cs_batch_read_answers(&header, bytes->data, bytes->len,
                                           record_answer, &answers),
                     0);
    assert_int_equal(answers.count, 1);
    assert_int_equal(answers.order_id, 5);
    assert_int_equal(answers.last_answer.clock_ms, 777);
    assert_int_equal(answers.last_answer.incarnation_ms, 42);
    assert_int_equal(answers.last_answer.run_count, 2);
    assert_string_equal(answers.task, "b.0.0.1");
    assert_int_equal(answers.end_number, 8);
    g_byte_array_unref(bytes);
}

/* Decodes a batch that is truncated at every possible length, one that isn't a
   batch at all, and an answer with an enum value out of range. */
static void
batch__truncated_or_invalid_items_are_skipped(void **state)
{
    GByteArray *order_bytes = write_orders();
    GByteArray *answer_bytes = write_answers(CS_OUTCOME_ALONE + 1);
    struct received_answers answers = {0};
    struct received_orders received = {0};
    cs_batch_header header;
    guint length;

    for (length = 0; length < order_bytes->len; length++) {
        guint8 *part = g_memdup2(order_bytes->data, length);

        received.count = 0;
        cs_batch_read_orders(&header, part, length, record_order, &received);
        assert_true(received.count < 3);
        g_free(part);
    }
    assert_int_equal(
        cs_batch_read_orders(&header, "x", 1, record_order, &received),
        CS_E_INVALID);
    assert_int_equal(cs_batch_read_answers(&header, answer_bytes->data,
                                           answer_bytes->len, record_answer,
                                           &answers),
                     0);
    assert_int_equal(answers.count, 0);
    g_byte_array_unref(order_bytes);
    g_byte_array_unref(answer_bytes);
}

/* Records what the executor does with its worker port and its peer link, and
   sets its clock. */
struct fake_ports {
    int64_t now_us;
    uint32_t start_calls;
    uint32_t batches_sent;
    uint32_t connections_closed;
    struct received_answers answers;
    cs_batch_header last_header;
    cs_worker_done done; /* completes the newest call to the worker */
    void *done_data;
};

static cs_now
fake_now(void *user_data)
{
    const struct fake_ports *ports = user_data;
    cs_now now = {ports->now_us, ports->now_us};

    return now;
}

static void
fake_start(void *self, const cs_worker_target *target,
           const cs_start_order *start, int64_t deadline_us,
           cs_worker_done done, void *user_data)
{
    struct fake_ports *ports = self;

    ports->start_calls++;
    ports->done = done;
    ports->done_data = user_data;
}

static void
fake_send(void *self, const char *address, uint8_t kind, const void *bytes,
          size_t size_bytes)
{
    struct fake_ports *ports = self;

    assert_int_equal(kind, CS_PEER_ANSWERS);
    ports->batches_sent++;
    cs_batch_read_answers(&ports->last_header, bytes, size_bytes,
                          record_answer, &ports->answers);
}

static void
fake_close(void *self, const char *address)
{
    ((struct fake_ports *)self)->connections_closed++;
}

static void
receive_start_order(cs_executor *executor, uint64_t sequence)
{
    cs_dispatch_order order = make_start_order(6, "text");
    GByteArray *bytes = g_byte_array_new();
    cs_batch_writer writer;

    cs_batch_writer_init(&writer);
    cs_batch_add_order(&writer, &order);
    finish_batch(&writer, bytes, sequence, 0);
    cs_executor_receive(executor, "10.7.0.1:7000", bytes->data, bytes->len);
    cs_batch_writer_dispose(&writer);
    g_byte_array_unref(bytes);
}

struct executor_fixture {
    struct fake_ports ports;
    cs_worker_port workers;
    cs_peer_link_port link;
    cs_counters *counters;
    cs_evacuations *evacuations;
    cs_executor *executor;
};

static void
fixture_init(struct executor_fixture *fixture)
{
    cs_executor_settings settings = {.workers = &fixture->workers,
                                     .link = &fixture->link,
                                     .now = fake_now,
                                     .now_data = &fixture->ports};

    memset(fixture, 0, sizeof(*fixture));
    fixture->workers.self = &fixture->ports;
    fixture->workers.start = fake_start;
    fixture->link.self = &fixture->ports;
    fixture->link.send = fake_send;
    fixture->link.close = fake_close;
    fixture->counters = cs_counters_create();
    settings.counters = fixture->counters;
    fixture->evacuations = cs_evacuations_create("e/");
    settings.evacuations = fixture->evacuations;
    fixture->executor = cs_executor_create(&settings);
}

static void
fixture_dispose(struct executor_fixture *fixture)
{
    cs_executor_destroy(fixture->executor);
    cs_evacuations_destroy(fixture->evacuations);
    cs_counters_destroy(fixture->counters);
}

static void
executor__answer_carries_the_order_id(void **state)
{
    cs_worker_answer answer = {.clock_ms = 50};
    struct executor_fixture fixture;

    fixture_init(&fixture);
    fixture.ports.now_us = 1000;
    receive_start_order(fixture.executor, 21);
    assert_int_equal(fixture.ports.start_calls, 1);
    cs_executor_tick(fixture.executor, false);
    assert_int_equal(fixture.ports.last_header.sequence, 21);
    assert_int_equal(fixture.ports.answers.count, 0);
    assert_false(fixture.ports.last_header.draining);
    fixture.ports.done(fixture.ports.done_data, &answer);
    cs_executor_tick(fixture.executor, true);
    assert_true(fixture.ports.last_header.draining);
    assert_int_equal(fixture.ports.answers.count, 1);
    assert_int_equal(fixture.ports.answers.order_id, 6);
    assert_int_equal(fixture.ports.answers.last_answer.clock_ms, 50);
    fixture_dispose(&fixture);
}

/* An order that arrives at or after its deadline is answered with
   CS_E_CONNECT: nothing was sent. */
static void
executor__expired_order_is_not_sent_to_the_worker(void **state)
{
    struct executor_fixture fixture;

    fixture_init(&fixture);
    fixture.ports.now_us = 5000;
    receive_start_order(fixture.executor, 1);
    assert_int_equal(fixture.ports.start_calls, 0);
    cs_executor_tick(fixture.executor, false);
    assert_int_equal(fixture.ports.answers.count, 1);
    assert_int_equal(fixture.ports.answers.last_answer.code, CS_E_CONNECT);
    fixture_dispose(&fixture);
}

/* Guards against a delayed start in an evacuated zone, and against an executor
   that goes on refusing starts by a set which it can no longer read. */
static void
executor__start_in_evacuated_zone_is_not_sent(void **state)
{
    cs_worker_answer started = {.clock_ms = 50};
    cs_store_answer none = {0};
    cs_row row = {.key = "e/z1"};
    struct executor_fixture fixture;

    fixture_init(&fixture);
    fixture.ports.now_us = 4000;
    cs_evacuations_replace(fixture.evacuations, &none, 0);
    cs_evacuations_apply(fixture.evacuations, &row, 0);
    receive_start_order(fixture.executor, 1);
    assert_int_equal(fixture.ports.start_calls, 1);
    fixture.ports.done(fixture.ports.done_data, &started);
    cs_evacuations_confirm(fixture.evacuations, 4000);
    receive_start_order(fixture.executor, 2);
    assert_int_equal(fixture.ports.start_calls, 1);
    cs_executor_tick(fixture.executor, false);
    assert_int_equal(fixture.ports.answers.last_answer.code, CS_E_CONNECT);
    fixture_dispose(&fixture);
}

/* A call to a worker may still be open when the executor removes the holder
   that ordered it, and even when the executor is destroyed. */
static void
executor__silent_holder_is_removed(void **state)
{
    cs_worker_answer answer = {.clock_ms = 50};
    struct executor_fixture fixture;

    fixture_init(&fixture);
    receive_start_order(fixture.executor, 1);
    fixture.ports.now_us = 60 * CS_SEC_US;
    cs_executor_tick(fixture.executor, false);
    assert_int_equal(fixture.ports.connections_closed, 1);
    fixture.ports.done(fixture.ports.done_data, &answer);
    cs_executor_tick(fixture.executor, false);
    assert_int_equal(fixture.ports.batches_sent, 0);
    fixture.ports.now_us = 0;
    receive_start_order(fixture.executor, 2);
    fixture_dispose(&fixture);
    fixture.ports.done(fixture.ports.done_data, &answer);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(batch__orders_survive_a_round_trip),
        cmocka_unit_test(batch__header_of_an_older_version_is_read),
        cmocka_unit_test(batch__shared_spec_is_encoded_once),
        cmocka_unit_test(batch__order_sharing_an_unreadable_spec_is_skipped),
        cmocka_unit_test(batch__answers_survive_a_round_trip),
        cmocka_unit_test(batch__truncated_or_invalid_items_are_skipped),
        cmocka_unit_test(executor__answer_carries_the_order_id),
        cmocka_unit_test(executor__expired_order_is_not_sent_to_the_worker),
        cmocka_unit_test(executor__start_in_evacuated_zone_is_not_sent),
        cmocka_unit_test(executor__silent_holder_is_removed),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
