#include "batch.h"
#include "corianderstair/errors.h"
#include "corianderstair/record.h"

#include <string.h>

/*
 * Reads a NUL-terminated string in place. The returned pointer refers to the
 * unpacked message; on failure it is an empty string.
 */
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

/* Like read_text, but returns NULL for an empty string: the encoding has no
   other representation of an absent one. */
static const char *
read_optional_text(cs_record_reader *reader)
{
    const char *text = read_text(reader);

    return *text ? text : NULL;
}

/* Decoder state. unpacked owns the memory of the current item. */
struct batch_reader {
    const char *bytes;
    size_t size_bytes;
    size_t offset;
    msgpack_unpacked unpacked;
};

/* Decodes the next item of the batch, which must be an array, into reader. */
static bool
next_item(cs_record_reader *reader, struct batch_reader *batch)
{
    msgpack_unpack_return rc = msgpack_unpack_next(
        &batch->unpacked, batch->bytes, batch->size_bytes, &batch->offset);

    cs_record_reader_init(
        reader, rc == MSGPACK_UNPACK_SUCCESS ? &batch->unpacked.data : NULL);
    return !reader->failed;
}

static int
reject_batch(struct batch_reader *batch)
{
    msgpack_unpacked_destroy(&batch->unpacked);
    return cs_error_set(CS_E_INVALID,
                        "malformed batch or unsupported version");
}

static int
open_batch(struct batch_reader *batch, cs_batch_header *header,
           uint32_t *count, const void *bytes, size_t size_bytes)
{
    cs_record_reader reader;

    memset(batch, 0, sizeof(*batch));
    batch->bytes = bytes;
    batch->size_bytes = size_bytes;
    msgpack_unpacked_init(&batch->unpacked);
    if (!next_item(&reader, batch) ||
        cs_record_read_int(&reader) != BATCH_VERSION)
        return reject_batch(batch);
    header->sequence = (uint64_t)cs_record_read_int(&reader);
    header->sender_clock_us = cs_record_read_int(&reader);
    header->draining = cs_record_read_int(&reader) != 0;
    *count = (uint32_t)cs_record_read_int(&reader);
    header->session = 0;
    header->receiver_session = 0;
    /* Headers of older versions end here. */
    if (!reader.failed && reader.next < reader.count) {
        header->session = (uint64_t)cs_record_read_int(&reader);
        header->receiver_session = (uint64_t)cs_record_read_int(&reader);
    }
    return reader.failed ? reject_batch(batch) : 0;
}

int
cs_batch_read_header(cs_batch_header *header, const void *bytes,
                     size_t size_bytes)
{
    struct batch_reader batch;
    uint32_t count;
    int rc = open_batch(&batch, header, &count, bytes, size_bytes);

    if (!rc)
        msgpack_unpacked_destroy(&batch.unpacked);
    return rc;
}

/*
 * spec holds the job spec of the preceding start order in the batch, or NULL.
 * A nil in the message stands for the same spec again.
 */
static void
read_start_order(cs_start_order *start, cs_record_reader *reader, char **spec)
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
    start->payload = *spec;
    start->checkpoint_data = read_optional_text(reader);
    start->ticket = read_optional_text(reader);
    start->lease_end_ms = cs_record_read_int(reader);
    start->epoch = (uint64_t)cs_record_read_int(reader);
}

static void
read_stop_order(cs_stop_order *stop, cs_record_reader *reader)
{
    stop->task = read_text(reader);
    stop->run = (uint32_t)cs_record_read_int(reader);
    stop->epoch = (uint64_t)cs_record_read_int(reader);
}

static void
read_heartbeat_order(cs_heartbeat_order *heartbeat, cs_record_reader *reader)
{
    heartbeat->epoch = (uint64_t)cs_record_read_int(reader);
    heartbeat->acknowledged_upto = (uint64_t)cs_record_read_int(reader);
    heartbeat->lease_end_ms = cs_record_read_int(reader);
    heartbeat->wait_ms = cs_record_read_int(reader);
}

static bool
read_order(cs_dispatch_order *order, cs_record_reader *reader, char **spec)
{
    memset(order, 0, sizeof(*order));
    order->type = (cs_dispatch_order_type)cs_record_read_int(reader);
    order->id = (uint64_t)cs_record_read_int(reader);
    order->deadline_us = cs_record_read_int(reader);
    order->target.address = read_text(reader);
    order->target.incarnation = read_text(reader);
    switch (order->type) {
    case CS_DISPATCH_START:
        read_start_order(&order->u.start, reader, spec);
        /* Older holders do not send the zone. */
        if (reader->next < reader->count)
            order->target.zone = read_optional_text(reader);
        break;
    case CS_DISPATCH_STOP:
        read_stop_order(&order->u.stop, reader);
        break;
    case CS_DISPATCH_HEARTBEAT:
        read_heartbeat_order(&order->u.heartbeat, reader);
        break;
    default:
        return false;
    }
    return !reader->failed;
}

int
cs_batch_read_orders(cs_batch_header *header, const void *bytes,
                     size_t size_bytes, cs_batch_on_order on_order,
                     void *user_data)
{
    struct batch_reader batch;
    cs_record_reader reader;
    cs_dispatch_order order;
    char *spec = NULL;
    uint32_t count;
    uint32_t i;
    int rc = open_batch(&batch, header, &count, bytes, size_bytes);

    if (rc)
        return rc;
    for (i = 0; i < count && next_item(&reader, &batch); i++) {
        if (read_order(&order, &reader, &spec))
            on_order(user_data, &order);
        else
            /* Later orders that refer to the spec of this one must fail as
               well, instead of using an older spec. */
            g_clear_pointer(&spec, g_free);
    }
    g_free(spec);
    msgpack_unpacked_destroy(&batch.unpacked);
    return 0;
}

/* The caller frees the returned array, also when failed is set. */
static cs_worker_run *
read_runs(cs_worker_answer *answer, const msgpack_object *list, bool *failed)
{
    cs_record_reader reader;
    cs_record_reader row;
    cs_worker_run *runs;
    uint32_t i;

    cs_record_reader_init(&reader, list);
    *failed |= reader.failed;
    runs = g_new0(cs_worker_run, reader.count + 1);
    for (i = 0; i < reader.count; i++) {
        cs_record_reader_init(&row, cs_record_read_item(&reader));
        runs[i].task = read_text(&row);
        runs[i].run = (uint32_t)cs_record_read_int(&row);
        runs[i].checkpoint_data = read_text(&row);
        runs[i].percent = cs_record_read_int(&row);
        *failed |= row.failed;
    }
    answer->runs = runs;
    answer->run_count = reader.count;
    return runs;
}

/* The caller frees the returned array, also when failed is set. */
static cs_worker_ended_run *
read_ends(cs_worker_answer *answer, const msgpack_object *list, bool *failed)
{
    cs_record_reader reader;
    cs_record_reader row;
    cs_worker_ended_run *ends;
    uint32_t i;

    cs_record_reader_init(&reader, list);
    *failed |= reader.failed;
    ends = g_new0(cs_worker_ended_run, reader.count + 1);
    for (i = 0; i < reader.count; i++) {
        cs_record_reader_init(&row, cs_record_read_item(&reader));
        ends[i].sequence = (uint64_t)cs_record_read_int(&row);
        ends[i].task = read_text(&row);
        ends[i].run = (uint32_t)cs_record_read_int(&row);
        ends[i].outcome = (cs_run_outcome)cs_record_read_int(&row);
        ends[i].checkpoint_data = read_text(&row);
        *failed |= row.failed || ends[i].outcome > CS_OUTCOME_ALONE;
    }
    answer->ended_runs = ends;
    answer->ended_run_count = reader.count;
    return ends;
}

static void
read_answer(cs_record_reader *reader, cs_batch_on_answer on_answer,
            void *user_data)
{
    cs_worker_answer answer = {0};
    uint64_t order_id = (uint64_t)cs_record_read_int(reader);
    bool failed = false;
    cs_worker_run *runs;
    cs_worker_ended_run *ends;

    answer.code = (int)cs_record_read_int(reader);
    answer.refusal = (cs_worker_refusal)cs_record_read_int(reader);
    answer.clock_ms = cs_record_read_int(reader);
    answer.incarnation_ms = (uint64_t)cs_record_read_int(reader);
    runs = read_runs(&answer, cs_record_read_item(reader), &failed);
    ends = read_ends(&answer, cs_record_read_item(reader), &failed);
    if (!failed && !reader->failed && answer.refusal <= CS_REFUSED_INCARNATION)
        on_answer(user_data, order_id, &answer);
    g_free(runs);
    g_free(ends);
}

int
cs_batch_read_answers(cs_batch_header *header, const void *bytes,
                      size_t size_bytes, cs_batch_on_answer on_answer,
                      void *user_data)
{
    struct batch_reader batch;
    cs_record_reader reader;
    uint32_t count;
    uint32_t i;
    int rc = open_batch(&batch, header, &count, bytes, size_bytes);

    if (rc)
        return rc;
    for (i = 0; i < count && next_item(&reader, &batch); i++)
        read_answer(&reader, on_answer, user_data);
    msgpack_unpacked_destroy(&batch.unpacked);
    return 0;
}
