/**
 * @file fake_wire.h
 * The far side of the platform's HTTP interfaces: requests of a process under
 * test to the store and to the workers of a fake deployment.
 */
#ifndef FAKE_WIRE_H
#define FAKE_WIRE_H

#include "fake_fleet.h"
#include "corianderstair/http_server.h"

/** Answers a call to the store. */
void fake_wire_store(fake_fleet *world, cs_http_request *request);

/** Answers a question to the placement adviser. */
void fake_wire_adviser(fake_fleet *world, cs_http_request *request);

/** Answers an order to the worker of an address. */
void fake_wire_worker(fake_fleet *world, cs_http_request *request,
                      const char *address);

#endif
