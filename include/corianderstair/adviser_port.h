/**
 * @file adviser_port.h
 * Questions to the placement adviser: which workers may run a step. The
 * adapter in platform/ and the fakes of the tests implement it.
 */
#ifndef CS_ADVISER_PORT_H
#define CS_ADVISER_PORT_H

#include <stddef.h>
#include <stdint.h>

/** Most workers that one question may name. */
#define CS_ADVICE_WORKERS_MAX 100
#define CS_TICKET_BYTES 64

/** A worker that may run the step. */
typedef struct {
    const char *worker;
    const char *ticket; /**< that a start has to carry */
} cs_advised_worker;

/** The end of a question. */
typedef struct {
    /**
     * 0 answered; CS_E_OVERLOAD too many questions wait; CS_E_INVALID the
     * answer cannot be read; any other number: no answer.
     */
    int code;
    const cs_advised_worker *good; /**< the others may not run it */
    size_t good_count;
    int64_t valid_ms; /**< of the tickets, from the answer on */
} cs_advice;

typedef void (*cs_advice_done)(void *data, const cs_advice *advice);

/**
 * The call. Texts are copied before it returns; done is called exactly once,
 * never inside the call. The deadline is on the boot clock.
 */
typedef struct {
    void *self;
    void (*ask)(void *self, const char *step, const char *const *workers,
                size_t worker_count, int64_t deadline_us, cs_advice_done done,
                void *data);
} cs_adviser_port;

#endif
