#include "batch.h"
#include "corianderstair/errors.h"
#include "corianderstair/record.h"

#include <string.h>

/* A text that is empty stands for one that is not there. */
static const char *
read_text(cs_record_reader *reader)
{
    const msgpack_object *item = cs_record_read_item(reader);

    if (!item || item->type != MSGPACK_OBJECT_STR || item->via.str.size == 0 ||
        item->via.str.ptr[item->via.str.size - 1] != '\0') {
        reader->failed = true;
        return "";
    }
    return item->via.str.ptr;
}

static const char *
read_optional(cs_record_reader *reader)
{
    const char *text = read_text(reader);

    return *text ? text : NULL;
}

/* A message that is being read. */
struct message {
    const char *bytes;
    size_t size_bytes;
    size_t offset;
    msgpack_unpacked unpacked;
};

static bool
next_item(cs_record_reader *reader, struct message *message)
{
    msgpack_unpack_return rc =
        msgpack_unpack_next(&message->unpacked, message->bytes,
                            message->size_bytes, &message->offset);

    cs_record_read(
        reader, rc == MSGPACK_UNPACK_SUCCESS ? &message->unpacked.data : NULL);
    return !reader->failed;
}

static int
refuse(struct message *message)
{
    msgpack_unpacked_destroy(&message->unpacked);
    return cs_error_set(CS_E_INVALID, "a message between VMs is unreadable");
}

static int
open_message(struct message *message, cs_dispatch_head *head, uint32_t *count,
             const void *bytes, size_t size_bytes)
{
    cs_record_reader reader;

    memset(message, 0, sizeof(*message));
    message->bytes = bytes;
    message->size_bytes = size_bytes;
    msgpack_unpacked_init(&message->unpacked);
    if (!next_item(&reader, message) ||
        cs_record_read_int(&reader) != MESSAGE_VERSION)
        return refuse(message);
    head->serial = (uint64_t)cs_record_read_int(&reader);
    head->clock_us = cs_record_read_int(&reader);
    head->leaving = cs_record_read_int(&reader) != 0;
    *count = (uint32_t)cs_record_read_int(&reader);
    return reader.failed ? refuse(message) : 0;
}

static void
read_start(cs_start_order *start, cs_record_reader *reader, char **spec)
{
    const msgpack_object *text;

    start->task = read_text(reader);
    start->run = (uint32_t)cs_record_read_int(reader);
    if (reader->next < reader->count &&
        reader->items[reader->next].type == MSGPACK_OBJECT_NIL) {
        text = cs_record_read_item(reader);
        reader->failed |= !text || !*spec;
    }
    else {
        g_free(*spec);
        *spec = g_strdup(read_text(reader));
    }
    start->spec = *spec;
    start->saved = read_optional(reader);
    start->ticket = read_optional(reader);
    start->until_ms = cs_record_read_int(reader);
    start->epoch = (uint64_t)cs_record_read_int(reader);
}

static void
read_stop(cs_stop_order *stop, cs_record_reader *reader)
{
    stop->task = read_text(reader);
    stop->run = (uint32_t)cs_record_read_int(reader);
    stop->epoch = (uint64_t)cs_record_read_int(reader);
}

static void
read_hold(cs_hold_order *hold, cs_record_reader *reader)
{
    hold->epoch = (uint64_t)cs_record_read_int(reader);
    hold->seen_upto = (uint64_t)cs_record_read_int(reader);
    hold->until_ms = cs_record_read_int(reader);
    hold->wait_ms = cs_record_read_int(reader);
}

static bool
read_order(cs_dispatch_order *order, cs_record_reader *reader, char **spec)
{
    memset(order, 0, sizeof(*order));
    order->type = (cs_dispatch_type)cs_record_read_int(reader);
    order->number = (uint64_t)cs_record_read_int(reader);
    order->deadline_us = cs_record_read_int(reader);
    order->target.address = read_text(reader);
    order->target.incarnation = read_text(reader);
    switch (order->type) {
    case CS_DISPATCH_START:
        read_start(&order->u.start, reader, spec);
        break;
    case CS_DISPATCH_STOP:
        read_stop(&order->u.stop, reader);
        break;
    case CS_DISPATCH_HOLD:
        read_hold(&order->u.hold, reader);
        break;
    default:
        return false;
    }
    return !reader->failed;
}

int
cs_dispatch_read_orders(cs_dispatch_head *head, const void *bytes,
                        size_t size_bytes, cs_dispatch_on_order take,
                        void *data)
{
    struct message message;
    cs_record_reader reader;
    cs_dispatch_order order;
    char *spec = NULL;
    uint32_t count;
    uint32_t i;
    int rc = open_message(&message, head, &count, bytes, size_bytes);

    if (rc)
        return rc;
    for (i = 0; i < count && next_item(&reader, &message); i++) {
        if (read_order(&order, &reader, &spec))
            take(data, &order);
        else
            /* What shares the text of an unreadable order has none. */
            g_clear_pointer(&spec, g_free);
    }
    g_free(spec);
    msgpack_unpacked_destroy(&message.unpacked);
    return 0;
}

static cs_worker_run *
read_runs(cs_worker_answer *answer, const msgpack_object *list, bool *failed)
{
    cs_record_reader reader;
    cs_record_reader row;
    cs_worker_run *runs;
    uint32_t i;

    cs_record_read(&reader, list);
    *failed |= reader.failed;
    runs = g_new0(cs_worker_run, reader.count + 1);
    for (i = 0; i < reader.count; i++) {
        cs_record_read(&row, cs_record_read_item(&reader));
        runs[i].task = read_text(&row);
        runs[i].run = (uint32_t)cs_record_read_int(&row);
        runs[i].saved = read_text(&row);
        runs[i].percent = cs_record_read_int(&row);
        *failed |= row.failed;
    }
    answer->runs = runs;
    answer->run_count = reader.count;
    return runs;
}

static cs_worker_end *
read_ends(cs_worker_answer *answer, const msgpack_object *list, bool *failed)
{
    cs_record_reader reader;
    cs_record_reader row;
    cs_worker_end *ends;
    uint32_t i;

    cs_record_read(&reader, list);
    *failed |= reader.failed;
    ends = g_new0(cs_worker_end, reader.count + 1);
    for (i = 0; i < reader.count; i++) {
        cs_record_read(&row, cs_record_read_item(&reader));
        ends[i].number = (uint64_t)cs_record_read_int(&row);
        ends[i].task = read_text(&row);
        ends[i].run = (uint32_t)cs_record_read_int(&row);
        ends[i].how = (cs_run_end)cs_record_read_int(&row);
        ends[i].saved = read_text(&row);
        *failed |= row.failed || ends[i].how > CS_END_ALONE;
    }
    answer->ends = ends;
    answer->end_count = reader.count;
    return ends;
}

static void
take_answer(cs_record_reader *reader, cs_dispatch_on_answer take, void *data)
{
    cs_worker_answer answer = {0};
    uint64_t number = (uint64_t)cs_record_read_int(reader);
    bool failed = false;
    cs_worker_run *runs;
    cs_worker_end *ends;

    answer.code = (int)cs_record_read_int(reader);
    answer.refusal = (cs_worker_refusal)cs_record_read_int(reader);
    answer.clock_ms = cs_record_read_int(reader);
    answer.born_ms = (uint64_t)cs_record_read_int(reader);
    runs = read_runs(&answer, cs_record_read_item(reader), &failed);
    ends = read_ends(&answer, cs_record_read_item(reader), &failed);
    if (!failed && !reader->failed && answer.refusal <= CS_REFUSED_INCARNATION)
        take(data, number, &answer);
    g_free(runs);
    g_free(ends);
}

int
cs_dispatch_read_answers(cs_dispatch_head *head, const void *bytes,
                         size_t size_bytes, cs_dispatch_on_answer take,
                         void *data)
{
    struct message message;
    cs_record_reader reader;
    uint32_t count;
    uint32_t i;
    int rc = open_message(&message, head, &count, bytes, size_bytes);

    if (rc)
        return rc;
    for (i = 0; i < count && next_item(&reader, &message); i++)
        take_answer(&reader, take, data);
    msgpack_unpacked_destroy(&message.unpacked);
    return 0;
}
