/*
 * Encoding of a batch in msgpack: a header array with version, sequence
 * number, sender clock, draining flag, item count and the sessions of sender
 * and receiver, followed by one array per item. The items aren't nested in the
 * header, so that they can be encoded before their count is known. Strings
 * include their NUL terminator and can therefore be read in place.
 */
#include "batch.h"
#include "corianderstair/record.h"

#include <string.h>

void
cs_batch_writer_init(cs_batch_writer *writer)
{
    writer->items = g_byte_array_new();
    writer->count = 0;
    writer->last_spec = NULL;
}

void
cs_batch_writer_dispose(cs_batch_writer *writer)
{
    g_byte_array_unref(writer->items);
    g_free(writer->last_spec);
}

static void
pack_text(msgpack_packer *packer, const char *text)
{
    size_t size = text ? strlen(text) + 1 : 1;

    msgpack_pack_str(packer, size);
    msgpack_pack_str_body(packer, text ? text : "", size);
}

/* Lengths of the order arrays, including the fields of pack_order_header. */
#define START_FIELDS 13
#define STOP_FIELDS 8
#define HEARTBEAT_FIELDS 9

static void
pack_order_header(msgpack_packer *packer, const cs_dispatch_order *order,
                  size_t field_count)
{
    msgpack_pack_array(packer, field_count);
    msgpack_pack_int64(packer, order->type);
    msgpack_pack_uint64(packer, order->id);
    msgpack_pack_int64(packer, order->deadline_us);
    pack_text(packer, order->target.address);
    pack_text(packer, order->target.incarnation);
}

/*
 * Writes nil if the spec equals that of the preceding start order: the tasks
 * of a step are started one after another and share one spec.
 */
static void
pack_spec(cs_batch_writer *writer, msgpack_packer *packer, const char *spec)
{
    if (writer->last_spec && strcmp(writer->last_spec, spec) == 0) {
        msgpack_pack_nil(packer);
        return;
    }
    g_free(writer->last_spec);
    writer->last_spec = g_strdup(spec);
    pack_text(packer, spec);
}

static void
pack_start_order(cs_batch_writer *writer, msgpack_packer *packer,
                 const cs_start_order *start, const char *zone)
{
    pack_text(packer, start->task);
    msgpack_pack_uint32(packer, start->run);
    pack_spec(writer, packer, start->payload);
    pack_text(packer, start->checkpoint_data);
    pack_text(packer, start->ticket);
    msgpack_pack_int64(packer, start->lease_end_ms);
    msgpack_pack_uint64(packer, start->epoch);
    pack_text(packer, zone);
}

static void
pack_stop_order(msgpack_packer *packer, const cs_stop_order *stop)
{
    pack_text(packer, stop->task);
    msgpack_pack_uint32(packer, stop->run);
    msgpack_pack_uint64(packer, stop->epoch);
}

static void
pack_heartbeat_order(msgpack_packer *packer,
                     const cs_heartbeat_order *heartbeat)
{
    msgpack_pack_uint64(packer, heartbeat->epoch);
    msgpack_pack_uint64(packer, heartbeat->acknowledged_upto);
    msgpack_pack_int64(packer, heartbeat->lease_end_ms);
    msgpack_pack_int64(packer, heartbeat->wait_ms);
}

void
cs_batch_add_order(cs_batch_writer *writer, const cs_dispatch_order *order)
{
    msgpack_packer packer;

    cs_record_packer_init(&packer, writer->items);
    writer->count++;
    switch (order->type) {
    case CS_DISPATCH_START:
        pack_order_header(&packer, order, START_FIELDS);
        pack_start_order(writer, &packer, &order->u.start, order->target.zone);
        break;
    case CS_DISPATCH_STOP:
        pack_order_header(&packer, order, STOP_FIELDS);
        pack_stop_order(&packer, &order->u.stop);
        break;
    case CS_DISPATCH_HEARTBEAT:
        pack_order_header(&packer, order, HEARTBEAT_FIELDS);
        pack_heartbeat_order(&packer, &order->u.heartbeat);
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
        pack_text(packer, run->checkpoint_data);
        msgpack_pack_int64(packer, run->percent);
    }
}

static void
pack_ends(msgpack_packer *packer, const cs_worker_answer *answer)
{
    size_t i;

    msgpack_pack_array(packer, answer->ended_run_count);
    for (i = 0; i < answer->ended_run_count; i++) {
        const cs_worker_ended_run *end = &answer->ended_runs[i];

        msgpack_pack_array(packer, 5);
        msgpack_pack_uint64(packer, end->sequence);
        pack_text(packer, end->task);
        msgpack_pack_uint32(packer, end->run);
        msgpack_pack_int64(packer, end->outcome);
        pack_text(packer, end->checkpoint_data);
    }
}

void
cs_batch_add_answer(cs_batch_writer *writer, uint64_t order_id,
                    const cs_worker_answer *answer)
{
    msgpack_packer packer;

    cs_record_packer_init(&packer, writer->items);
    writer->count++;
    msgpack_pack_array(&packer, 7);
    msgpack_pack_uint64(&packer, order_id);
    msgpack_pack_int64(&packer, answer->code);
    msgpack_pack_int64(&packer, answer->refusal);
    msgpack_pack_int64(&packer, answer->clock_ms);
    msgpack_pack_uint64(&packer, answer->incarnation_ms);
    pack_runs(&packer, answer);
    pack_ends(&packer, answer);
}

void
cs_batch_finish(cs_batch_writer *writer, GByteArray *out,
                const cs_batch_header *header)
{
    msgpack_packer packer;

    cs_record_packer_init(&packer, out);
    msgpack_pack_array(&packer, 7);
    msgpack_pack_int64(&packer, BATCH_VERSION);
    msgpack_pack_uint64(&packer, header->sequence);
    msgpack_pack_int64(&packer, header->sender_clock_us);
    msgpack_pack_int64(&packer, header->draining);
    msgpack_pack_uint32(&packer, writer->count);
    msgpack_pack_uint64(&packer, header->session);
    msgpack_pack_uint64(&packer, header->receiver_session);
    g_byte_array_append(out, writer->items->data, writer->items->len);
    g_byte_array_set_size(writer->items, 0);
    writer->count = 0;
    g_clear_pointer(&writer->last_spec, g_free);
}
