/**
 * @file worker_port.h
 * Orders to workers and their answers. The adapter in platform/ and the fakes
 * of the tests implement it.
 */
#ifndef CS_WORKER_PORT_H
#define CS_WORKER_PORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The worker that an order is meant for. */
typedef struct {
    const char *address;     /**< "IP:PORT" */
    const char *incarnation; /**< another one refuses the order */
    bool once;               /**< the connection is not needed again soon */
    const char *zone;        /**< availability zone; NULL not known */
} cs_worker_target;

/** Why a worker refused an order; it has then done nothing. */
typedef enum {
    CS_REFUSED_OTHER,
    CS_REFUSED_FENCED,     /**< it has seen a higher epoch */
    CS_REFUSED_OLD_RUN,    /**< the run is not above one ended there */
    CS_REFUSED_LATE,       /**< the lease would end in the past */
    CS_REFUSED_NO_SPACE,   /**< the demand does not fit */
    CS_REFUSED_TICKET,     /**< no valid ticket of the placement adviser */
    CS_REFUSED_INCARNATION /**< another incarnation answers there */
} cs_worker_refusal;

/** How a run ended. */
typedef enum {
    CS_END_DONE,
    CS_END_FAILED,
    CS_END_STOPPED, /**< by our order */
    CS_END_LAPSED,  /**< its lease ended */
    CS_END_BROKEN,  /**< another member of its gang ended */
    CS_END_ALONE    /**< the other members of its gang did not come */
} cs_run_end;

/** A run that the worker lists as present. */
typedef struct {
    const char *task;
    uint32_t run;
    const char *saved; /**< newest checkpoint; empty for none */
    int64_t percent;   /**< progress */
} cs_worker_run;

/** A run that has ended and is listed until it is acknowledged. */
typedef struct {
    uint64_t number; /**< rises within an incarnation */
    const char *task;
    uint32_t run;
    cs_run_end how;
    const char *saved;
} cs_worker_end;

/** The end of an order. */
typedef struct {
    /**
     * 0 done; CS_E_WORKER refused, see refusal; CS_E_OVERLOAD the worker is
     * unwell and did nothing; CS_E_CONNECT nothing was sent; CS_E_INVALID the
     * answer cannot be read; CS_E_UNKNOWN the outcome is open.
     */
    int code;
    cs_worker_refusal refusal;
    int64_t clock_ms; /**< the worker's clock; -1 not told */
    uint64_t born_ms; /**< start of the incarnation; 0 not told */
    const cs_worker_run *runs;
    size_t run_count;
    const cs_worker_end *ends;
    size_t end_count;
} cs_worker_answer;

typedef void (*cs_worker_done)(void *data, const cs_worker_answer *answer);

/** Starts a run of a task. */
typedef struct {
    const char *task;
    uint32_t run;
    const char *spec;
    const char *saved;  /**< checkpoint to resume from; NULL for none */
    const char *ticket; /**< of the placement adviser; NULL for none */
    int64_t until_ms;   /**< end of the lease on the worker's clock */
    uint64_t epoch;
} cs_start_order;

/** Extends the leases of everything on the worker and lists it. */
typedef struct {
    uint64_t epoch;
    uint64_t seen_upto; /**< ends up to this number are recorded */
    int64_t until_ms;   /**< 0 leaves the leases as they are */
    int64_t wait_ms;    /**< the answer waits so long for an end */
} cs_hold_order;

/**
 * The calls. Texts are copied before a call returns; done is called exactly
 * once, never inside the call. Deadlines are on the boot clock.
 */
typedef struct {
    void *self;
    void (*start)(void *self, const cs_worker_target *target,
                  const cs_start_order *order, int64_t deadline_us,
                  cs_worker_done done, void *data);
    void (*stop)(void *self, const cs_worker_target *target, const char *task,
                 uint32_t run, uint64_t epoch, int64_t deadline_us,
                 cs_worker_done done, void *data);
    void (*hold)(void *self, const cs_worker_target *target,
                 const cs_hold_order *order, int64_t deadline_us,
                 cs_worker_done done, void *data);
} cs_worker_port;

#endif
