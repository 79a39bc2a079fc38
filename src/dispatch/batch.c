/*
 * A message is an array: version, serial, clock, number of items; the items
 * follow it as arrays of their own, so that they can be written before their
 * number is known. Texts carry their terminator and are read in place.
 */
#include "corianderstair/dispatch_batch.h"
#include "corianderstair/errors.h"
#include "corianderstair/record.h"

#include <string.h>

#define MESSAGE_VERSION 1

void
cs_dispatch_writer_init(cs_dispatch_writer *writer)
{
    writer->items = g_byte_array_new();
    writer->count = 0;
    writer->spec = NULL;
}

void
cs_dispatch_writer_dispose(cs_dispatch_writer *writer)
{
    g_byte_array_unref(writer->items);
    g_free(writer->spec);
}

static void
pack_text(msgpack_packer *packer, const char *text)
{
    size_t size = text ? strlen(text) + 1 : 1;

    msgpack_pack_str(packer, size);
    msgpack_pack_str_body(packer, text ? text : "", size);
}

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

#define START_ITEMS 12
#define STOP_ITEMS 8
#define HOLD_ITEMS 9

static void
pack_target(msgpack_packer *packer, const cs_dispatch_order *order,
            size_t items)
{
    msgpack_pack_array(packer, items);
    msgpack_pack_int64(packer, order->type);
    msgpack_pack_uint64(packer, order->number);
    msgpack_pack_int64(packer, order->deadline_us);
    pack_text(packer, order->target.address);
    pack_text(packer, order->target.incarnation);
}

/* Tasks of one step follow one another and share their text. */
static void
pack_spec(cs_dispatch_writer *writer, msgpack_packer *packer, const char *spec)
{
    if (writer->spec && strcmp(writer->spec, spec) == 0) {
        msgpack_pack_nil(packer);
        return;
    }
    g_free(writer->spec);
    writer->spec = g_strdup(spec);
    pack_text(packer, spec);
}

static void
pack_start(cs_dispatch_writer *writer, msgpack_packer *packer,
           const cs_start_order *start)
{
    pack_text(packer, start->task);
    msgpack_pack_uint32(packer, start->run);
    pack_spec(writer, packer, start->spec);
    pack_text(packer, start->saved);
    pack_text(packer, start->ticket);
    msgpack_pack_int64(packer, start->until_ms);
    msgpack_pack_uint64(packer, start->epoch);
}

static void
pack_stop(msgpack_packer *packer, const cs_stop_order *stop)
{
    pack_text(packer, stop->task);
    msgpack_pack_uint32(packer, stop->run);
    msgpack_pack_uint64(packer, stop->epoch);
}

static void
pack_hold(msgpack_packer *packer, const cs_hold_order *hold)
{
    msgpack_pack_uint64(packer, hold->epoch);
    msgpack_pack_uint64(packer, hold->seen_upto);
    msgpack_pack_int64(packer, hold->until_ms);
    msgpack_pack_int64(packer, hold->wait_ms);
}

void
cs_dispatch_add_order(cs_dispatch_writer *writer,
                      const cs_dispatch_order *order)
{
    msgpack_packer packer;

    cs_record_begin(&packer, writer->items);
    writer->count++;
    switch (order->type) {
    case CS_DISPATCH_START:
        pack_target(&packer, order, START_ITEMS);
        pack_start(writer, &packer, &order->u.start);
        break;
    case CS_DISPATCH_STOP:
        pack_target(&packer, order, STOP_ITEMS);
        pack_stop(&packer, &order->u.stop);
        break;
    case CS_DISPATCH_HOLD:
        pack_target(&packer, order, HOLD_ITEMS);
        pack_hold(&packer, &order->u.hold);
        break;
    }
}

static void
pack_runs(msgpack_packer *packer, const cs_worker_answer *answer)
{
    size_t i;

    msgpack_pack_array(packer, answer->run_count);
    for (i = 0; i < answer->run_count; i++) {
        const cs_worker_run *run = &answer->runs[i];

        msgpack_pack_array(packer, 4);
        pack_text(packer, run->task);
        msgpack_pack_uint32(packer, run->run);
        pack_text(packer, run->saved);
        msgpack_pack_int64(packer, run->percent);
    }
}

static void
pack_ends(msgpack_packer *packer, const cs_worker_answer *answer)
{
    size_t i;

    msgpack_pack_array(packer, answer->end_count);
    for (i = 0; i < answer->end_count; i++) {
        const cs_worker_end *end = &answer->ends[i];

        msgpack_pack_array(packer, 5);
        msgpack_pack_uint64(packer, end->number);
        pack_text(packer, end->task);
        msgpack_pack_uint32(packer, end->run);
        msgpack_pack_int64(packer, end->how);
        pack_text(packer, end->saved);
    }
}

void
cs_dispatch_add_answer(cs_dispatch_writer *writer, uint64_t number,
                       const cs_worker_answer *answer)
{
    msgpack_packer packer;

    cs_record_begin(&packer, writer->items);
    writer->count++;
    msgpack_pack_array(&packer, 7);
    msgpack_pack_uint64(&packer, number);
    msgpack_pack_int64(&packer, answer->code);
    msgpack_pack_int64(&packer, answer->refusal);
    msgpack_pack_int64(&packer, answer->clock_ms);
    msgpack_pack_uint64(&packer, answer->born_ms);
    pack_runs(&packer, answer);
    pack_ends(&packer, answer);
}

void
cs_dispatch_finish(cs_dispatch_writer *writer, GByteArray *out,
                   uint64_t serial, int64_t clock_us)
{
    msgpack_packer packer;

    cs_record_begin(&packer, out);
    msgpack_pack_array(&packer, 4);
    msgpack_pack_int64(&packer, MESSAGE_VERSION);
    msgpack_pack_uint64(&packer, serial);
    msgpack_pack_int64(&packer, clock_us);
    msgpack_pack_uint32(&packer, writer->count);
    g_byte_array_append(out, writer->items->data, writer->items->len);
    g_byte_array_set_size(writer->items, 0);
    writer->count = 0;
    g_clear_pointer(&writer->spec, g_free);
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
