/**
 * @file config_status.h
 * How current the configuration of a process is: when it was last known to be
 * the newest one, and what the calls to the store since then came to. Times
 * are on the boot clock, in microseconds.
 */
#ifndef CS_CONFIG_STATUS_H
#define CS_CONFIG_STATUS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The call to the store that is in flight. */
typedef enum {
    CS_CONFIG_CALL_NONE, /**< none; the next one starts at next_call_us */
    CS_CONFIG_CALL_READ, /**< a read of the present rows */
    CS_CONFIG_CALL_POLL  /**< a poll for changes of the rows */
} cs_config_call;

/** Zero-initialize it. Written by the follower of the configuration only. */
typedef struct {
    /** Every version that was stored before this time is applied; 0: no
        version has been applied. */
    int64_t confirmed_us;
    cs_config_call call;
    int64_t sent_us;       /**< when the newest call was sent */
    int64_t next_call_us;  /**< earliest time of the next call */
    uint32_t failed_calls; /**< consecutive */
    int failure;           /**< error of the last one; 0: none has failed */
    bool failed_midway;    /**< a part of its answer was received */
    bool unreadable;       /**< the newest row cannot be decoded */
} cs_config_status;

/** Size of a description. */
#define CS_CONFIG_STATUS_TEXT_BYTES 192

/**
 * @return milliseconds since the configuration was last known to be the newest
 *         one; -1 if it never was
 */
int64_t cs_config_status_age_ms(const cs_config_status *status,
                                int64_t now_us);

/**
 * Describes in one line how old the last confirmation is, and why there is no
 * newer one.
 */
void cs_config_status_describe(char out[CS_CONFIG_STATUS_TEXT_BYTES],
                               const cs_config_status *status, int64_t now_us);

#endif
