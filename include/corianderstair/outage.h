/**
 * @file outage.h
 * How long an outage of the store is likely to last, as estimated from past
 * ones. Load that it addresses: callers that return again and again while no
 * VM, or not this one, can reach the store. Pure decisions without I/O or a
 * clock; all times are on the boot clock.
 */
#ifndef CS_OUTAGE_H
#define CS_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/** Number of past outages that are remembered. */
#define CS_OUTAGE_PAST_MAX 16

/** The present outage and the lengths of past ones. All zero: none. */
typedef struct {
    int64_t since_us; /**< last answer before the present outage; 0: none */
    int64_t past_us[CS_OUTAGE_PAST_MAX]; /**< lengths, in a ring */
    uint32_t past_count;                 /**< so far */
} cs_outage;

/**
 * Updates the state. An outage begins when the store has not answered for a
 * while, nor any call for part of that, and ends with an answer.
 * @param answered_us when the store answered last; 0: never
 * @param failing_since_us when a call failed first since that; 0: none has
 * @return whether the store is unreachable
 */
bool cs_outage_update(cs_outage *outage, int64_t answered_us,
                      int64_t failing_since_us, int64_t now_us);

/** @return estimated time to the end of the present outage in us; 0 if there
 *          is none */
int64_t cs_outage_rest_us(const cs_outage *outage, int64_t now_us);

/**
 * @param id of the job; its hash spreads the callers
 * @param timeout_ms of the caller
 * @return after how many seconds the caller should return, at least 1
 */
uint32_t cs_outage_retry_after_s(const cs_outage *outage, int64_t now_us,
                                 const char *id, int64_t timeout_ms);

#endif
