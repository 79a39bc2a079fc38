/*
 * A message is an array: version, serial, clock, leaving, number of items; the
 * items follow it as arrays of their own, so that they can be written before
 * their number is known. Texts carry their terminator and are read in place.
 */
#include "batch.h"
#include "corianderstair/record.h"

#include <string.h>

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
                   const cs_dispatch_head *head)
{
    msgpack_packer packer;

    cs_record_begin(&packer, out);
    msgpack_pack_array(&packer, 5);
    msgpack_pack_int64(&packer, MESSAGE_VERSION);
    msgpack_pack_uint64(&packer, head->serial);
    msgpack_pack_int64(&packer, head->clock_us);
    msgpack_pack_int64(&packer, head->leaving);
    msgpack_pack_uint32(&packer, writer->count);
    g_byte_array_append(out, writer->items->data, writer->items->len);
    g_byte_array_set_size(writer->items, 0);
    writer->count = 0;
    g_clear_pointer(&writer->spec, g_free);
}
