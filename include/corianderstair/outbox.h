/**
 * @file outbox.h
 * Queue of outgoing calls. Controllers perform no I/O: they push calls and are
 * notified of the replies; a driver (a daemon, or a test on a virtual clock)
 * pops the calls and makes them.
 */
#ifndef CS_OUTBOX_H
#define CS_OUTBOX_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/clock.h"

typedef enum {
    CS_CALL_STORE_TXN,  /**< conditional write of several rows */
    CS_CALL_STORE_READ, /**< read of ranges of rows */
    CS_CALL_WORKER      /**< operations on one worker */
} cs_call_type;

/**
 * Reports the outcome of a call.
 * @param code 0; CS_E_CONFLICT where a condition failed; CS_E_FENCED from a
 *        worker; CS_E_STORE_UNAVAILABLE or CS_E_CONNECT where the call was
 *        certainly not executed; CS_E_OUTCOME_UNKNOWN where it may have been
 * @param reply the body, borrowed; NULL unless code is 0, CS_E_CONFLICT or
 *        CS_E_FENCED
 */
typedef void (*cs_call_done)(void *user_data, int code, const json_t *reply);

typedef struct cs_call {
    cs_call_type type;
    char address[32]; /**< of the worker; "" for the store */
    char path[96];
    json_t *body;        /**< owned */
    int64_t deadline_us; /**< on the boot clock */
    cs_call_done done;
    void *user_data;
} cs_call;

typedef struct cs_outbox cs_outbox;

/** @return an empty outbox; free it with cs_outbox_destroy */
cs_outbox *cs_outbox_create(void);

/** Frees the outbox and its queued calls; popped calls stay valid. */
void cs_outbox_destroy(cs_outbox *outbox);

/** Sets the current time that controllers see. */
void cs_outbox_set_now(cs_outbox *outbox, cs_now now);
cs_now cs_outbox_now(const cs_outbox *outbox);

/**
 * Queues a call.
 * @param address of a worker; NULL for the store
 * @param body ownership is transferred to the call
 * @param deadline_us on the boot clock
 * @param done runs once, unless the call is dropped
 */
void cs_outbox_push(cs_outbox *outbox, cs_call_type type, const char *address,
                    const char *path, json_t *body, int64_t deadline_us,
                    cs_call_done done, void *user_data);

/** @return the oldest call, whose ownership passes to the caller, or NULL */
cs_call *cs_outbox_pop(cs_outbox *outbox);

/** Reports the outcome of a call and frees the call. */
void cs_call_finish(cs_call *call, int code, const json_t *reply);

/** Frees a call without a report, because its owner no longer exists. */
void cs_call_drop(cs_call *call);

#endif
