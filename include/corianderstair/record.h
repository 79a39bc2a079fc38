/**
 * @file record.h
 * Reading and writing of our own rows: msgpack arrays of fixed order.
 */
#ifndef CS_RECORD_H
#define CS_RECORD_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/** Starts a packer that appends to out. */
void cs_record_begin(msgpack_packer *packer, GByteArray *out);
/** Appends a text; NULL counts as empty. */
void cs_record_text(msgpack_packer *packer, const char *text);

/** Reads the items of one array in order; a wrong type sets failed. */
typedef struct {
    const msgpack_object *items;
    uint32_t count;
    uint32_t next;
    bool failed;
} cs_record_reader;

/** A whole record that is being read. */
typedef struct {
    msgpack_unpacked unpacked;
    cs_record_reader reader; /**< failed where the bytes hold no array */
} cs_record;

/** Starts reading a record; to be closed also where it failed. */
void cs_record_open(cs_record *record, const void *bytes, size_t size_bytes);
void cs_record_close(cs_record *record);

/** Starts reading an array. failed is set where the object is none. */
void cs_record_read(cs_record_reader *reader, const msgpack_object *object);
int64_t cs_record_read_int(cs_record_reader *reader);
/** Copies a text; one that does not fit fails. */
void cs_record_read_text(cs_record_reader *reader, char *out, size_t size);
/** @return a copy of a text, or NULL on failure */
char *cs_record_read_string(cs_record_reader *reader);
/** @return the next item, or NULL on failure */
const msgpack_object *cs_record_read_item(cs_record_reader *reader);

#endif
