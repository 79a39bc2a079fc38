/**
 * @file fields.h
 * Conversion between JSON objects and C structs, driven by tables of fields.
 * Reading checks the type and range of each field and rejects unknown names.
 */
#ifndef CS_FIELDS_H
#define CS_FIELDS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
    CS_FIELD_TEXT,   /**< char[size], of at least min bytes */
    CS_FIELD_NAME,   /**< as CS_FIELD_TEXT, but only of [a-z0-9.-] */
    CS_FIELD_NUMBER, /**< int64_t within min..max */
    CS_FIELD_BOOL,   /**< bool */
    CS_FIELD_ENUM,   /**< int32_t, an index into the values of the enum */
    CS_FIELD_ARRAY   /**< pointer to at most max structs, described by items */
} cs_field_type;

/** A field of an object, and the struct member that holds its value. */
typedef struct cs_field {
    const char *name; /**< in the JSON object; NULL ends a table */
    cs_field_type type;
    size_t offset; /**< of the member in the struct */
    size_t size;   /**< bytes of a text, or of one item of an array */
    int64_t min;
    int64_t max;
    bool required;                  /**< a missing field is an error */
    const char *const *enum_values; /**< the values of an enum, then NULL */
    const struct cs_field *items;   /**< the fields of an array's items */
    size_t count_offset;            /**< of the uint32_t number of items */
} cs_field;

/**
 * Reads an object into a struct. Members of absent fields are left as they
 * are, so the struct must be zeroed or hold the defaults.
 * @return 0, or CS_E_FIELD or CS_E_INVALID with a message that names the
 *         field; free the arrays with cs_fields_clear in either case
 */
int cs_fields_read(void *out, const cs_field *fields, const json_t *object);

/** Writes every field. @return a new reference to an object */
json_t *cs_fields_write(const void *in, const cs_field *fields);

/** Frees the arrays of a struct and zeroes their counts. */
void cs_fields_clear(void *in, const cs_field *fields);

#endif
