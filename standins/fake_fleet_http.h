/**
 * @file fake_fleet_http.h
 * Serves the platform's HTTP interfaces: decodes requests of a process under
 * test to the store, the placement adviser and the workers, passes them to a
 * simulated deployment and replies with its answers.
 */
#ifndef FAKE_FLEET_HTTP_H
#define FAKE_FLEET_HTTP_H

#include "fake_fleet.h"
#include "corianderstair/http_server.h"

/** Handles a request to the store. */
void fake_fleet_http_store(fake_fleet *deployment, cs_http_request *request);

/** Handles a request to the placement adviser. */
void fake_fleet_http_adviser(fake_fleet *deployment, cs_http_request *request);

/** Receives the response to an order. The body is borrowed. */
typedef void (*fake_worker_response)(void *user_data, int status,
                                     json_t *body);

/** Handles an order to a worker by its number, which came from elsewhere. */
void fake_fleet_http_worker_call(fake_fleet *deployment, uint32_t worker,
                                 const char *path, const char *body,
                                 size_t size_bytes, fake_worker_response done,
                                 void *user_data);

/** Handles an order to a worker by its number. */
void fake_fleet_http_worker(fake_fleet *deployment, cs_http_request *request,
                            uint32_t worker);

/**
 * Handles a request to the controls of a deployment. GET /state returns what
 * the checker counts. POST /faults takes an object; the members that it names
 * change, the others keep their values:
 * - late_orders, unanswered_orders, late_changes, unanswered_changes: shares
 * of orders to workers and of changes of the store
 * - order_delay_ms: maximum delay of orders to workers
 * - store_refuses, store_unreachable: whether the store is down
 * - store_delay_ms: delay of the store's answers
 * - expire_entry: number of a worker whose entry is deleted once
 * - crash_worker, down_ms: number of a worker that crashes, and when it
 *   returns under the same address and id
 * - hide_worker, hidden_ms: number of a worker, and for how long only the
 *   holders that it knows reach it, see fake_fleet_hide_worker()
 */
void fake_fleet_http_control(fake_fleet *deployment, cs_http_request *request);

#endif
