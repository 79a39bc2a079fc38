/**
 * @file worker_port.h
 * Interface to the workers: orders to start and stop runs, and heartbeats.
 * Implemented by the HTTP client in platform/workers.c, by the dispatch to
 * executor processes and by the fake workers of the tests.
 */
#ifndef CS_WORKER_PORT_H
#define CS_WORKER_PORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The worker that an order is sent to. */
typedef struct {
    const char *address;     /**< "IP:PORT" */
    const char *incarnation; /**< expected; any other refuses the order */
    bool single_use;         /**< close the connection after the order */
    const char *zone;        /**< availability zone; NULL if unknown */
} cs_worker_target;

/** Why a worker refused an order. A refused order has no effect. */
typedef enum {
    CS_REFUSED_OTHER,   /**< any other reason */
    CS_REFUSED_FENCED,  /**< the worker has seen a higher epoch */
    CS_REFUSED_OLD_RUN, /**< a run with this or a higher number ended there */
    CS_REFUSED_LEASE_EXPIRED, /**< the requested end of the lease is past */
    CS_REFUSED_NO_SPACE,      /**< the demand exceeds the free capacity */
    CS_REFUSED_TICKET,        /**< the ticket is missing or not valid */
    CS_REFUSED_INCARNATION    /**< not the incarnation that was addressed */
} cs_worker_refusal;

/** How a run ended. */
typedef enum {
    CS_OUTCOME_DONE,
    CS_OUTCOME_FAILED,
    CS_OUTCOME_STOPPED, /**< stopped by an order */
    CS_OUTCOME_LAPSED,  /**< the lease expired */
    CS_OUTCOME_BROKEN,  /**< another member of the gang ended */
    CS_OUTCOME_ALONE    /**< the other members of the gang did not start */
} cs_run_outcome;

/** A run that is present on the worker. */
typedef struct {
    const char *task; /**< "JOB.OCCURRENCE.STEP.INDEX" */
    uint32_t run;
    const char
        *checkpoint_data; /**< latest checkpoint; empty if there is none */
    int64_t percent;      /**< progress, 0 to 100 */
} cs_worker_run;

/** An answer lists at most this many ended runs, those with the lowest
   numbers; one with as many may have left out others. */
#define CS_WORKER_ENDS_MAX 500

/** An ended run; listed until a heartbeat acknowledges its number. */
typedef struct {
    uint64_t sequence; /**< increases within an incarnation */
    const char *task;
    uint32_t run;
    cs_run_outcome outcome;
    const char
        *checkpoint_data; /**< latest checkpoint; empty if there is none */
} cs_worker_ended_run;

/** The result of an order; valid during the callback. */
typedef struct {
    /**
     * 0: done.
     * CS_E_WORKER: refused; see refusal.
     * CS_E_OVERLOAD: the worker cannot serve orders now; nothing was done.
     * CS_E_CONNECT: the order was not sent.
     * CS_E_INVALID: the answer is malformed; the order may have been done.
     * CS_E_OUTCOME_UNKNOWN: no valid answer; the order may have been done.
     */
    int code;
    cs_worker_refusal refusal;
    int64_t clock_ms; /**< the worker's clock; -1 if not reported */
    uint64_t
        incarnation_ms; /**< start of the incarnation; 0 if not reported */
    const cs_worker_run *runs; /**< in the answer to a heartbeat */
    size_t run_count;
    const cs_worker_ended_run *ended_runs; /**< in the answer to a heartbeat */
    size_t ended_run_count;
} cs_worker_answer;

typedef void (*cs_worker_done)(void *user_data,
                               const cs_worker_answer *answer);

/** An order to start a run of a task. */
typedef struct {
    const char *task;
    uint32_t run;
    const char *payload; /**< payload of the job */
    const char *
        checkpoint_data; /**< checkpoint to resume from; NULL or empty: none */
    const char *ticket;  /**< of the placement adviser; NULL if not needed */
    int64_t lease_end_ms; /**< end of the run's lease, on the worker's clock */
    uint64_t epoch;       /**< fencing token: the sender's epoch */
} cs_start_order;

/** A heartbeat: renews the leases of all runs of a worker and lists them. */
typedef struct {
    uint64_t epoch; /**< fencing token: the sender's epoch */
    uint64_t
        acknowledged_upto; /**< acknowledges ended runs up to this number */
    int64_t lease_end_ms;  /**< new end of the leases, on the worker's clock;
                            0: unchanged */
    int64_t wait_ms;       /**< long poll: longest wait for a run to end before
                                the worker answers */
} cs_heartbeat_order;

/**
 * The orders to workers. Arguments are copied before a call returns. done is
 * called exactly once and never before the call has returned. Deadlines are on
 * the boot clock.
 */
typedef struct {
    void *self;
    void (*start)(void *self, const cs_worker_target *target,
                  const cs_start_order *order, int64_t deadline_us,
                  cs_worker_done done, void *user_data);
    void (*stop)(void *self, const cs_worker_target *target, const char *task,
                 uint32_t run, uint64_t epoch, int64_t deadline_us,
                 cs_worker_done done, void *user_data);
    void (*heartbeat)(void *self, const cs_worker_target *target,
                      const cs_heartbeat_order *order, int64_t deadline_us,
                      cs_worker_done done, void *user_data);
} cs_worker_port;

#endif
