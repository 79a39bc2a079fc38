/**
 * @file http_limits.h
 * What a process may hold for the clients of its HTTP servers, as shares of
 * its machine.
 */
#ifndef CS_HTTP_LIMITS_H
#define CS_HTTP_LIMITS_H

#include <stdint.h>

/** Largest body of a request by default; a larger one is answered with 413. */
#define CS_HTTP_BODY_MAX_BYTES ((int64_t)1 << 20)

/** What the machine gives the process. */
typedef struct {
    int64_t memory_bytes;
    int64_t descriptors;
} cs_machine;

/** What one server may hold for all of its clients together. */
typedef struct {
    /** Connections, and requests and responses that are not complete. */
    int64_t held_bytes;
    int64_t connections;
    int64_t body_bytes; /**< of one request */
} cs_http_limits;

/**
 * Determines what the machine gives the process: the smaller of what is stated
 * and what the system reports.
 * @param memory_bytes as stated; 0 if unknown
 * @param descriptors as stated; 0 if unknown
 */
void cs_machine_read(cs_machine *out, int64_t memory_bytes,
                     int64_t descriptors);

/**
 * Sets the limits of a server that gets a part of the machine. The length of a
 * body stays at its default.
 */
void cs_http_limits_share(cs_http_limits *out, const cs_machine *machine,
                          uint32_t memory_percent,
                          uint32_t descriptor_percent);

#endif
