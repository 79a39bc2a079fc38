/* Messages between the holder and its executors. */
#include "corianderstair/dispatch_batch.h"
#include "corianderstair/errors.h"
#include "corianderstair/executor.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

struct seen {
    uint32_t count;
    cs_dispatch_order last;
    char spec[64];
    char task[64];
    char saved[64];
};

static void
take_order(void *data, const cs_dispatch_order *order)
{
    struct seen *seen = data;

    seen->count++;
    seen->last = *order;
    if (order->type != CS_DISPATCH_START)
        return;
    g_strlcpy(seen->spec, order->u.start.spec, sizeof(seen->spec));
    g_strlcpy(seen->task, order->u.start.task, sizeof(seen->task));
    g_strlcpy(seen->saved, order->u.start.saved ? order->u.start.saved : "-",
              sizeof(seen->saved));
}

static cs_dispatch_order
make_start(uint64_t number, const char *spec)
{
    cs_dispatch_order order = {.type = CS_DISPATCH_START,
                               .id = number,
                               .deadline_us = 5000,
                               .target = {"10.9.0.1:80", "w-1", false, "z1"},
                               .u.start = {.task = "0123456789abcdef.0.0.3",
                                           .run = 7,
                                           .spec = spec,
                                           .until_ms = 6000,
                                           .epoch = 4}};

    return order;
}

static void
finish(cs_batch_writer *writer, GByteArray *out, uint64_t serial,
       int64_t clock_us)
{
    cs_batch_header head = {serial, clock_us, false};

    cs_batch_finish(writer, out, &head);
}

static GByteArray *
write_orders(void)
{
    GByteArray *out = g_byte_array_new();
    cs_batch_writer writer;
    cs_dispatch_order order = make_start(1, "one text");

    cs_batch_writer_init(&writer);
    cs_batch_add_order(&writer, &order);
    order.id = 2;
    order.u.start.saved = "00ff";
    cs_batch_add_order(&writer, &order);
    order = (cs_dispatch_order){.type = CS_DISPATCH_HEARTBEAT,
                                .id = 3,
                                .target = {"10.9.0.1:80", "w-1", true, NULL},
                                .u.heartbeat = {4, 9, 6000, 2000}};
    cs_batch_add_order(&writer, &order);
    finish(&writer, out, 11, 1234);
    assert_int_equal(writer.count, 0);
    cs_batch_writer_dispose(&writer);
    return out;
}

static void
dispatch__orders_are_read_as_written(void **state)
{
    GByteArray *bytes = write_orders();
    struct seen seen = {0};
    cs_batch_header head;

    assert_int_equal(cs_batch_read_orders(&head, bytes->data, bytes->len,
                                          take_order, &seen),
                     0);
    assert_int_equal(head.sequence, 11);
    assert_int_equal(head.sender_clock_us, 1234);
    assert_int_equal(seen.count, 3);
    assert_string_equal(seen.spec, "one text");
    assert_string_equal(seen.saved, "00ff");
    assert_int_equal(seen.last.type, CS_DISPATCH_HEARTBEAT);
    assert_int_equal(seen.last.u.heartbeat.seen_upto, 9);
    assert_int_equal(seen.last.u.heartbeat.wait_ms, 2000);
    g_byte_array_unref(bytes);
}

/* Tasks of one step share the text of their job. */
static void
dispatch__text_of_a_job_is_sent_once(void **state)
{
    GByteArray *one = g_byte_array_new();
    GByteArray *many = g_byte_array_new();
    char *text = g_strnfill(4000, 'x');
    cs_dispatch_order order = make_start(1, text);
    cs_batch_writer writer;
    uint32_t i;

    cs_batch_writer_init(&writer);
    cs_batch_add_order(&writer, &order);
    finish(&writer, one, 1, 1);
    for (i = 0; i < 50; i++)
        cs_batch_add_order(&writer, &order);
    finish(&writer, many, 2, 1);
    assert_true(many->len < 3 * one->len);
    cs_batch_writer_dispose(&writer);
    g_byte_array_unref(one);
    g_byte_array_unref(many);
    g_free(text);
}

/* The head of a start's array, its type behind it. */
static guint8 *
find_start(guint8 *at)
{
    while (at[0] != 0x9c || at[1] != CS_DISPATCH_START)
        at++;
    return at;
}

/* An order that shares the text of an unreadable one is passed over too; it
   must not start with the text of an earlier job. */
static void
dispatch__shared_text_goes_with_its_order(void **state)
{
    GByteArray *bytes = g_byte_array_new();
    struct seen seen = {0};
    cs_batch_header head;
    cs_dispatch_order order = make_start(1, "first");
    cs_batch_writer writer;
    guint8 *second;

    cs_batch_writer_init(&writer);
    cs_batch_add_order(&writer, &order);
    order = make_start(2, "second");
    cs_batch_add_order(&writer, &order);
    order.id = 3;
    cs_batch_add_order(&writer, &order);
    finish(&writer, bytes, 1, 1);
    second = find_start(find_start(bytes->data) + 1);
    second[1] = 0x7f;
    assert_int_equal(cs_batch_read_orders(&head, bytes->data, bytes->len,
                                          take_order, &seen),
                     0);
    assert_int_equal(seen.count, 1);
    assert_string_equal(seen.spec, "first");
    cs_batch_writer_dispose(&writer);
    g_byte_array_unref(bytes);
}

struct answered {
    uint32_t count;
    uint64_t number;
    cs_worker_answer last;
    char task[64];
    uint64_t end;
};

static void
take_answer(void *data, uint64_t number, const cs_worker_answer *answer)
{
    struct answered *answered = data;

    answered->count++;
    answered->number = number;
    answered->last = *answer;
    if (answer->run_count > 0)
        g_strlcpy(answered->task, answer->runs[answer->run_count - 1].task,
                  sizeof(answered->task));
    if (answer->end_count > 0)
        answered->end = answer->ends[0].number;
}

static GByteArray *
write_answers(int how)
{
    const cs_worker_run runs[] = {{"a.0.0.0", 1, "", 10},
                                  {"b.0.0.1", 2, "ff", 55}};
    const cs_worker_end ends[] = {{8, "c.0.0.0", 3, (cs_run_end)how, ""}};
    cs_worker_answer answer = {.clock_ms = 777,
                               .born_ms = 42,
                               .runs = runs,
                               .run_count = 2,
                               .ends = ends,
                               .end_count = 1};
    GByteArray *out = g_byte_array_new();
    cs_batch_writer writer;

    cs_batch_writer_init(&writer);
    cs_batch_add_answer(&writer, 5, &answer);
    finish(&writer, out, 3, 99);
    cs_batch_writer_dispose(&writer);
    return out;
}

static void
dispatch__answers_are_read_as_written(void **state)
{
    GByteArray *bytes = write_answers(CS_END_ALONE);
    struct answered answered = {0};
    cs_batch_header head;

    assert_int_equal(cs_batch_read_answers(&head, bytes->data, bytes->len,
                                           take_answer, &answered),
                     0);
    assert_int_equal(answered.count, 1);
    assert_int_equal(answered.number, 5);
    assert_int_equal(answered.last.clock_ms, 777);
    assert_int_equal(answered.last.born_ms, 42);
    assert_int_equal(answered.last.run_count, 2);
    assert_string_equal(answered.task, "b.0.0.1");
    assert_int_equal(answered.end, 8);
    g_byte_array_unref(bytes);
}

/* What is cut off or of wrong values is passed over, wherever it breaks. */
static void
dispatch__broken_messages_are_refused(void **state)
{
    GByteArray *orders = write_orders();
    GByteArray *answers = write_answers(CS_END_ALONE + 1);
    struct answered answered = {0};
    struct seen seen = {0};
    cs_batch_header head;
    guint length;

    for (length = 0; length < orders->len; length++) {
        guint8 *part = g_memdup2(orders->data, length);

        seen.count = 0;
        cs_batch_read_orders(&head, part, length, take_order, &seen);
        assert_true(seen.count < 3);
        g_free(part);
    }
    assert_int_equal(cs_batch_read_orders(&head, "x", 1, take_order, &seen),
                     CS_E_INVALID);
    assert_int_equal(cs_batch_read_answers(&head, answers->data, answers->len,
                                           take_answer, &answered),
                     0);
    assert_int_equal(answered.count, 0);
    g_byte_array_unref(orders);
    g_byte_array_unref(answers);
}

/* A VM that carries out orders, on a clock of the test. */
struct bench {
    int64_t now_us;
    uint32_t started;
    uint32_t sent;
    uint32_t closed;
    struct answered answered;
    cs_batch_header head;
    cs_worker_done done;
    void *done_data;
};

static cs_now
bench_now(void *data)
{
    const struct bench *bench = data;
    cs_now now = {bench->now_us, bench->now_us};

    return now;
}

static void
bench_start(void *self, const cs_worker_target *target,
            const cs_start_order *start, int64_t deadline_us,
            cs_worker_done done, void *data)
{
    struct bench *bench = self;

    bench->started++;
    bench->done = done;
    bench->done_data = data;
}

static void
bench_send(void *self, const char *address, uint8_t kind, const void *bytes,
           size_t size_bytes)
{
    struct bench *bench = self;

    assert_int_equal(kind, CS_PEER_ANSWERS);
    bench->sent++;
    cs_batch_read_answers(&bench->head, bytes, size_bytes, take_answer,
                          &bench->answered);
}

static void
bench_close(void *self, const char *address)
{
    ((struct bench *)self)->closed++;
}

static void
receive(cs_executor *executor, uint64_t serial)
{
    cs_dispatch_order order = make_start(6, "text");
    GByteArray *bytes = g_byte_array_new();
    cs_batch_writer writer;

    cs_batch_writer_init(&writer);
    cs_batch_add_order(&writer, &order);
    finish(&writer, bytes, serial, 0);
    cs_executor_receive(executor, "10.7.0.1:7000", bytes->data, bytes->len);
    cs_batch_writer_dispose(&writer);
    g_byte_array_unref(bytes);
}

struct executor_bench {
    struct bench bench;
    cs_worker_port workers;
    cs_peer_link_port link;
    cs_counters *counters;
    cs_executor *executor;
};

static void
bench_init(struct executor_bench *b)
{
    cs_executor_settings settings = {.workers = &b->workers,
                                     .link = &b->link,
                                     .now = bench_now,
                                     .now_data = &b->bench};

    memset(b, 0, sizeof(*b));
    b->workers.self = &b->bench;
    b->workers.start = bench_start;
    b->link.self = &b->bench;
    b->link.send = bench_send;
    b->link.close = bench_close;
    b->counters = cs_counters_create();
    settings.counters = b->counters;
    b->executor = cs_executor_create(&settings);
}

static void
bench_dispose(struct executor_bench *b)
{
    cs_executor_destroy(b->executor);
    cs_counters_destroy(b->counters);
}

static void
dispatch__answer_names_the_order(void **state)
{
    cs_worker_answer answer = {.clock_ms = 50};
    struct executor_bench b;

    bench_init(&b);
    b.bench.now_us = 1000;
    receive(b.executor, 21);
    assert_int_equal(b.bench.started, 1);
    cs_executor_tick(b.executor, false);
    assert_int_equal(b.bench.head.sequence, 21);
    assert_int_equal(b.bench.answered.count, 0);
    assert_false(b.bench.head.draining);
    b.bench.done(b.bench.done_data, &answer);
    cs_executor_tick(b.executor, true);
    assert_true(b.bench.head.draining);
    assert_int_equal(b.bench.answered.count, 1);
    assert_int_equal(b.bench.answered.number, 6);
    assert_int_equal(b.bench.answered.last.clock_ms, 50);
    bench_dispose(&b);
}

/* An order that was held up on its way is told as not done, and is not. */
static void
dispatch__late_order_is_not_carried_out(void **state)
{
    struct executor_bench b;

    bench_init(&b);
    b.bench.now_us = 5000;
    receive(b.executor, 1);
    assert_int_equal(b.bench.started, 0);
    cs_executor_tick(b.executor, false);
    assert_int_equal(b.bench.answered.count, 1);
    assert_int_equal(b.bench.answered.last.code, CS_E_CONNECT);
    bench_dispose(&b);
}

/* A call may outlast the holder that asked for it, and the executor. */
static void
dispatch__silent_holder_is_forgotten(void **state)
{
    cs_worker_answer answer = {.clock_ms = 50};
    struct executor_bench b;

    bench_init(&b);
    receive(b.executor, 1);
    b.bench.now_us = 60 * CS_SEC_US;
    cs_executor_tick(b.executor, false);
    assert_int_equal(b.bench.closed, 1);
    b.bench.done(b.bench.done_data, &answer);
    cs_executor_tick(b.executor, false);
    assert_int_equal(b.bench.sent, 0);
    b.bench.now_us = 0;
    receive(b.executor, 2);
    bench_dispose(&b);
    b.bench.done(b.bench.done_data, &answer);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(dispatch__orders_are_read_as_written),
        cmocka_unit_test(dispatch__text_of_a_job_is_sent_once),
        cmocka_unit_test(dispatch__shared_text_goes_with_its_order),
        cmocka_unit_test(dispatch__answers_are_read_as_written),
        cmocka_unit_test(dispatch__broken_messages_are_refused),
        cmocka_unit_test(dispatch__answer_names_the_order),
        cmocka_unit_test(dispatch__late_order_is_not_carried_out),
        cmocka_unit_test(dispatch__silent_holder_is_forgotten),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
