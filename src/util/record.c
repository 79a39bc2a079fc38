#include "corianderstair/record.h"

#include <string.h>

static int
append_bytes(void *user_data, const char *bytes, size_t size)
{
    g_byte_array_append(user_data, (const guint8 *)bytes, (guint)size);
    return 0;
}

void
cs_record_packer_init(msgpack_packer *packer, GByteArray *out)
{
    msgpack_packer_init(packer, out, append_bytes);
}

void
cs_record_pack_text(msgpack_packer *packer, const char *text)
{
    size_t size = text ? strlen(text) : 0;

    msgpack_pack_str(packer, size);
    msgpack_pack_str_body(packer, text ? text : "", size);
}

void
cs_record_reader_init(cs_record_reader *reader, const msgpack_object *object)
{
    memset(reader, 0, sizeof(*reader));
    if (!object || object->type != MSGPACK_OBJECT_ARRAY) {
        reader->failed = true;
        return;
    }
    reader->items = object->via.array.ptr;
    reader->count = object->via.array.size;
}

void
cs_record_open(cs_packed_record *record, const void *bytes, size_t size_bytes)
{
    bool complete;

    msgpack_unpacked_init(&record->unpacked);
    complete = msgpack_unpack_next(&record->unpacked, bytes, size_bytes,
                                   NULL) == MSGPACK_UNPACK_SUCCESS;
    cs_record_reader_init(&record->reader,
                          complete ? &record->unpacked.data : NULL);
}

void
cs_record_close(cs_packed_record *record)
{
    msgpack_unpacked_destroy(&record->unpacked);
}

const msgpack_object *
cs_record_read_item(cs_record_reader *reader)
{
    if (reader->failed || reader->next >= reader->count) {
        reader->failed = true;
        return NULL;
    }
    return &reader->items[reader->next++];
}

int64_t
cs_record_read_int(cs_record_reader *reader)
{
    const msgpack_object *item = cs_record_read_item(reader);

    if (item && item->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
        item->via.u64 <= INT64_MAX)
        return (int64_t)item->via.u64;
    if (item && item->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
        return item->via.i64;
    reader->failed = true;
    return 0;
}

void
cs_record_read_text(cs_record_reader *reader, char *out, size_t size)
{
    const msgpack_object *item = cs_record_read_item(reader);

    out[0] = '\0';
    if (!item || item->type != MSGPACK_OBJECT_STR ||
        item->via.str.size >= size) {
        reader->failed = true;
        return;
    }
    memcpy(out, item->via.str.ptr, item->via.str.size);
    out[item->via.str.size] = '\0';
}

char *
cs_record_dup_text(cs_record_reader *reader)
{
    const msgpack_object *item = cs_record_read_item(reader);

    if (!item || item->type != MSGPACK_OBJECT_STR) {
        reader->failed = true;
        return NULL;
    }
    /* The pointer of an empty text may be NULL. */
    if (item->via.str.size == 0)
        return g_strdup("");
    return g_strndup(item->via.str.ptr, item->via.str.size);
}
