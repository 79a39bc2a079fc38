/**
 * @file http_limits.h
 * What an HTTP server may hold for its clients.
 */
#ifndef CS_HTTP_LIMITS_H
#define CS_HTTP_LIMITS_H

#include <stdint.h>

/** Largest body of a request by default; a larger one is answered with 413. */
#define CS_HTTP_BODY_MAX_BYTES ((int64_t)1 << 20)

/** What one server may hold for all of its clients together. */
typedef struct {
    /** Connections, and requests and responses that are not complete. */
    int64_t held_bytes;
    int64_t connections;
    int64_t body_bytes; /**< of one request */
} cs_http_limits;

#endif
