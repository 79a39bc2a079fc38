/*
 * A message is a msgpack array of version, type, sender name, deadline and
 * body; the body is an array whose items depend on the type.
 */
#include "corianderstair/message.h"
#include "corianderstair/errors.h"
#include "corianderstair/record.h"

#include <msgpack.h>
#include <string.h>

static void
pack_heartbeat(msgpack_packer *packer, const cs_peer_heartbeat *heartbeat)
{
    msgpack_pack_array(packer, 7);
    cs_record_pack_text(packer, heartbeat->role);
    cs_record_pack_text(packer, heartbeat->zone);
    cs_record_pack_text(packer, heartbeat->http_address);
    msgpack_pack_uint64(packer, heartbeat->config_version);
    msgpack_pack_int64(packer, heartbeat->open_requests);
    msgpack_pack_int64(packer, heartbeat->draining);
    cs_record_pack_text(packer, heartbeat->summary);
}

void
cs_message_encode(GByteArray *out, const cs_message *message)
{
    msgpack_packer packer;

    cs_record_packer_init(&packer, out);
    msgpack_pack_array(&packer, 5);
    msgpack_pack_int64(&packer, CS_MESSAGE_VERSION);
    msgpack_pack_int64(&packer, message->type);
    cs_record_pack_text(&packer, message->sender_name);
    msgpack_pack_int64(&packer, message->deadline_us);
    switch (message->type) {
    case CS_MSG_HEARTBEAT:
        pack_heartbeat(&packer, &message->u.heartbeat);
        break;
    case CS_MSG_VERSION_HINT:
        msgpack_pack_array(&packer, 2);
        cs_record_pack_text(&packer, message->u.version_hint.scope);
        msgpack_pack_uint64(&packer, message->u.version_hint.version);
        break;
    case CS_MSG_EXPLAIN_REQUEST:
        msgpack_pack_array(&packer, 2);
        msgpack_pack_uint64(&packer, message->u.explain_request.id);
        cs_record_pack_text(&packer, message->u.explain_request.job);
        break;
    case CS_MSG_EXPLAIN_REPLY:
        msgpack_pack_array(&packer, 2);
        msgpack_pack_uint64(&packer, message->u.explain_reply.id);
        cs_record_pack_text(&packer, message->u.explain_reply.text);
        break;
    }
}

/* Reads the items of an array in order. Once a read has failed, all later ones
   fail too. */
struct reader {
    const msgpack_object *items;
    uint32_t count;
    uint32_t next;
    bool failed;
};

/*
 * Returns the next item, or NULL if it isn't of the given type.
 * MSGPACK_OBJECT_NEGATIVE_INTEGER stands for integers of any sign.
 */
static const msgpack_object *
read_item(struct reader *reader, msgpack_object_type type)
{
    const msgpack_object *item;

    if (reader->failed || reader->next >= reader->count) {
        reader->failed = true;
        return NULL;
    }
    item = &reader->items[reader->next++];
    if (item->type == type)
        return item;
    if (type == MSGPACK_OBJECT_NEGATIVE_INTEGER &&
        item->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
        return item;
    reader->failed = true;
    return NULL;
}

static int64_t
read_number(struct reader *reader)
{
    const msgpack_object *item =
        read_item(reader, MSGPACK_OBJECT_NEGATIVE_INTEGER);

    return item ? item->via.i64 : 0;
}

/* Copies a string to out, a buffer of CS_MESSAGE_NAME_BYTES. Fails if it is
   too long. */
static void
read_name(char *out, struct reader *reader)
{
    const msgpack_object *item = read_item(reader, MSGPACK_OBJECT_STR);

    if (!item)
        return;
    if (item->via.str.size >= CS_MESSAGE_NAME_BYTES) {
        reader->failed = true;
        return;
    }
    memcpy(out, item->via.str.ptr, item->via.str.size);
    out[item->via.str.size] = '\0';
}

/* Returns a copy of a string, to be freed with g_free, or NULL on failure. */
static char *
read_text(struct reader *reader)
{
    const msgpack_object *item = read_item(reader, MSGPACK_OBJECT_STR);

    return item ? g_strndup(item->via.str.ptr, item->via.str.size) : NULL;
}

static struct reader
open_array(const msgpack_object *object)
{
    struct reader reader = {0};

    if (!object || object->type != MSGPACK_OBJECT_ARRAY) {
        reader.failed = true;
        return reader;
    }
    reader.items = object->via.array.ptr;
    reader.count = object->via.array.size;
    return reader;
}

static void
read_heartbeat(cs_peer_heartbeat *heartbeat, struct reader *reader)
{
    read_name(heartbeat->role, reader);
    read_name(heartbeat->zone, reader);
    read_name(heartbeat->http_address, reader);
    heartbeat->config_version = (uint64_t)read_number(reader);
    heartbeat->open_requests = read_number(reader);
    heartbeat->draining = read_number(reader);
    heartbeat->summary = read_text(reader);
}

static bool
read_body(cs_message *out, const msgpack_object *body)
{
    struct reader reader = open_array(body);

    switch (out->type) {
    case CS_MSG_HEARTBEAT:
        read_heartbeat(&out->u.heartbeat, &reader);
        return !reader.failed;
    case CS_MSG_VERSION_HINT:
        read_name(out->u.version_hint.scope, &reader);
        out->u.version_hint.version = (uint64_t)read_number(&reader);
        return !reader.failed;
    case CS_MSG_EXPLAIN_REQUEST:
        out->u.explain_request.id = (uint64_t)read_number(&reader);
        read_name(out->u.explain_request.job, &reader);
        return !reader.failed;
    case CS_MSG_EXPLAIN_REPLY:
        out->u.explain_reply.id = (uint64_t)read_number(&reader);
        out->u.explain_reply.text = read_text(&reader);
        return !reader.failed;
    }
    return false;
}

static bool
read_message(cs_message *out, const msgpack_object *object)
{
    struct reader reader = open_array(object);
    int64_t version = read_number(&reader);

    out->type = (cs_message_type)read_number(&reader);
    read_name(out->sender_name, &reader);
    out->deadline_us = read_number(&reader);
    if (reader.failed || version != CS_MESSAGE_VERSION ||
        reader.next >= reader.count)
        return false;
    return read_body(out, &reader.items[reader.next]);
}

int
cs_message_decode(cs_message *out, const void *bytes, size_t size_bytes)
{
    msgpack_unpacked unpacked;
    bool valid;

    memset(out, 0, sizeof(*out));
    msgpack_unpacked_init(&unpacked);
    valid = msgpack_unpack_next(&unpacked, bytes, size_bytes, NULL) ==
                MSGPACK_UNPACK_SUCCESS &&
            read_message(out, &unpacked.data);
    msgpack_unpacked_destroy(&unpacked);
    if (valid)
        return 0;
    cs_message_clear(out);
    return cs_error_set(CS_E_INVALID,
                        "malformed peer message or unsupported version");
}

void
cs_message_clear(cs_message *message)
{
    switch (message->type) {
    case CS_MSG_HEARTBEAT:
        g_free(message->u.heartbeat.summary);
        message->u.heartbeat.summary = NULL;
        break;
    case CS_MSG_EXPLAIN_REPLY:
        g_free(message->u.explain_reply.text);
        message->u.explain_reply.text = NULL;
        break;
    case CS_MSG_VERSION_HINT:
    case CS_MSG_EXPLAIN_REQUEST:
        break;
    }
}
