/**
 * @file json_limits.h
 * Bounds what parsing a text that a client has sent can take. A parsed value
 * takes over a hundred times the bytes of its text, so that the length of the
 * text is no bound.
 */
#ifndef CS_JSON_LIMITS_H
#define CS_JSON_LIMITS_H

#include <stddef.h>
#include <stdint.h>

/** Bounds of a JSON text. */
typedef struct {
    uint32_t values; /**< values and names of members */
    uint32_t depth;  /**< of arrays and objects in each other */
} cs_json_limits;

/**
 * Counts the values of a JSON text without parsing it. The text need not be
 * valid.
 * @return 0 or CS_E_TOO_LARGE
 */
int cs_json_check(const char *text, size_t size_bytes,
                  const cs_json_limits *limits);

#endif
