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

/** Handles an order to the worker at an address ("IP:PORT"). */
void fake_fleet_http_worker(fake_fleet *deployment, cs_http_request *request,
                            const char *address);

#endif
