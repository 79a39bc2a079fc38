/**
 * @file router.h
 * Routes callers' requests to the endpoints of services. An endpoint is chosen
 * by its free slots and latency. Requests wait in bounded queues, are retried
 * within a budget, and are answered exactly once. A request that is not
 * idempotent is sent to an endpoint only after its id is stored, so that it
 * runs at most once even if several processes receive it.
 */
#ifndef CS_ROUTER_H
#define CS_ROUTER_H

#include <stdbool.h>
#include "corianderstair/store_view.h"
#include "corianderstair/counters.h"
#include "corianderstair/http_client.h"
#include "corianderstair/outbox.h"

typedef struct cs_router cs_router;

/** Whether a request has run at an endpoint. */
typedef enum {
    CS_RUN_NOT,     /**< it has not and will not run */
    CS_RUN_UNKNOWN, /**< it may have run or may still run */
    CS_RUN_DONE     /**< it has run */
} cs_run;

/** The parameters of a request; all strings and the body are copied. */
typedef struct {
    const char *service;
    const char *class_name;
    const char *organisation;
    const char *id; /**< 1..64 of [A-Za-z0-9._-] */
    const char *body;
    size_t size_bytes;
    int64_t deadline_us; /**< boot clock */
} cs_router_request;

/** The final answer to a request. */
typedef struct {
    int code;   /**< 0 or a CS_E_ error */
    int status; /**< HTTP status */
    cs_run run;
    const char *body; /**< the endpoint's body, or the error message */
    size_t size_bytes;
} cs_router_answer;

/**
 * Called exactly once for each accepted request. The answer is valid only
 * during the call.
 */
typedef void (*cs_router_done)(void *user_data,
                               const cs_router_answer *answer);

/**
 * Creates a router for the services in the store view. The view, the outbox,
 * the client and the counters are borrowed.
 *
 * @param zone zone of this process; its endpoints are preferred
 * @param incarnation unique to this run of the process; part of the
 *        transaction ids
 * @param seed of the random choice of endpoints
 */
cs_router *cs_router_create(cs_store_view *view, cs_outbox *outbox,
                            cs_http_client *client, cs_counters *counters,
                            const char *zone, const char *incarnation,
                            uint64_t seed);
void cs_router_destroy(cs_router *router);

/** Sets how many processes share the endpoints and the index of this one. */
void cs_router_set_share(cs_router *router, uint32_t processes, uint32_t rank);

/**
 * Accepts the request that params describes.
 *
 * done may be called before this function returns. A request with the id of
 * an open or recently answered one gets that request's answer.
 *
 * @return 0, or an error; then the request does not run and done is not
 *         called
 */
int cs_router_submit(cs_router *router, const cs_router_request *params,
                     cs_router_done done, void *user_data);

/** Expires and sends queued requests; call it periodically. */
void cs_router_tick(cs_router *router);

/** Refuses new requests from now on; accepted ones are still answered. */
void cs_router_drain(cs_router *router);

/** @return the number of requests accepted and not yet answered */
uint32_t cs_router_open_requests(const cs_router *router);

/** @return the name used in error bodies, such as "not-run" */
const char *cs_run_name(cs_run run);

#endif
