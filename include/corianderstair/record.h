/**
 * @file record.h
 * Encoding and decoding of the records that this project stores and sends:
 * msgpack arrays whose items have a fixed order.
 */
#ifndef CS_RECORD_H
#define CS_RECORD_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/** Initializes a packer that appends to out; out is borrowed. */
void cs_record_packer_init(msgpack_packer *packer, GByteArray *out);
/** Packs a text; NULL is packed as an empty one. */
void cs_record_pack_text(msgpack_packer *packer, const char *text);

/**
 * Reads the items of an array in order. An item that is missing or of the
 * wrong type sets failed. Check failed once after the last read.
 */
typedef struct {
    const msgpack_object *items; /**< borrowed */
    uint32_t count;
    uint32_t next; /**< index of the next item */
    bool failed;
} cs_record_reader;

/** A record that is being read. */
typedef struct {
    msgpack_unpacked unpacked;
    cs_record_reader reader; /**< failed is set if the bytes hold no array */
} cs_packed_record;

/**
 * Starts to read a record. Close it with cs_record_close, even if its reader
 * has failed.
 */
void cs_record_open(cs_packed_record *record, const void *bytes,
                    size_t size_bytes);
/** Frees what the record holds; items that were read become invalid. */
void cs_record_close(cs_packed_record *record);

/** Starts to read an array; failed is set if the object is not an array. */
void cs_record_reader_init(cs_record_reader *reader,
                           const msgpack_object *object);
/** @return an integer, or 0 on failure */
int64_t cs_record_read_int(cs_record_reader *reader);
/** Copies a text into out; a text that does not fit is a failure. */
void cs_record_read_text(cs_record_reader *reader, char *out, size_t size);
/** @return a copy of a text, to be freed with g_free, or NULL on failure */
char *cs_record_dup_text(cs_record_reader *reader);
/** @return the next item, owned by the record, or NULL on failure */
const msgpack_object *cs_record_read_item(cs_record_reader *reader);

#endif
