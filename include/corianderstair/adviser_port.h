/**
 * @file adviser_port.h
 * Interface to the placement adviser, which decides which workers may run a
 * step. Implemented by the HTTP client in platform/adviser.c and by the fakes
 * of the tests.
 */
#ifndef CS_ADVISER_PORT_H
#define CS_ADVISER_PORT_H

#include <stddef.h>
#include <stdint.h>

/** Maximum number of workers in one query. */
#define CS_ADVICE_WORKERS_MAX 100
/** Maximum size of a ticket, with its terminating zero byte. */
#define CS_TICKET_BYTES 64

/** A worker that may run the step. */
typedef struct {
    const char *worker;
    const char *ticket; /**< to be sent with each start of the step there */
} cs_advised_worker;

/** The result of a query; valid during the callback. */
typedef struct {
    /**
     * 0: answered.
     * CS_E_OVERLOAD: the adviser has too many queries.
     * CS_E_INVALID: the answer is malformed.
     * Any other code: no answer.
     */
    int code;
    const cs_advised_worker *allowed; /**< allowed; all others asked are not */
    size_t allowed_count;
    int64_t valid_ms; /**< lifetime of the tickets from the answer on */
} cs_advice;

typedef void (*cs_advice_done)(void *user_data, const cs_advice *advice);

/**
 * The calls to the adviser. Arguments are copied before a call returns. done
 * is called exactly once and never before the call has returned. The deadline
 * is on the boot clock.
 */
typedef struct {
    void *self;
    /** Asks which of some workers may run a step, "JOB.OCCURRENCE.STEP". */
    void (*ask)(void *self, const char *step, const char *const *workers,
                size_t worker_count, int64_t deadline_us, cs_advice_done done,
                void *user_data);
} cs_adviser_port;

#endif
