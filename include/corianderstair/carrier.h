/**
 * @file carrier.h
 * Sends the calls of an outbox over HTTP and reports their results.
 */
#ifndef CS_CARRIER_H
#define CS_CARRIER_H

#include "corianderstair/counters.h"
#include "corianderstair/http_client.h"
#include "corianderstair/outbox.h"

typedef struct cs_carrier cs_carrier;

/** Called after the result of a call has been reported to its owner. */
typedef void (*cs_carrier_wake)(void *user_data);

/**
 * Creates a carrier. The outbox, the client and the counters are borrowed.
 * @param store "IP:PORT" of the table service
 * @param on_finished called after each call has finished
 */
cs_carrier *cs_carrier_create(cs_outbox *outbox, cs_http_client *client,
                              cs_counters *counters, const char *store,
                              cs_carrier_wake on_finished, void *user_data);
void cs_carrier_destroy(cs_carrier *carrier);

/** Sends every call that waits in the outbox. */
void cs_carrier_run(cs_carrier *carrier);

#endif
