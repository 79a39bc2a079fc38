/**
 * @file outbox_sender.h
 * Sends the calls of an outbox over HTTP and reports their results.
 */
#ifndef CS_OUTBOX_SENDER_H
#define CS_OUTBOX_SENDER_H

#include "corianderstair/counters.h"
#include "corianderstair/http_client.h"
#include "corianderstair/outbox.h"

typedef struct cs_outbox_sender cs_outbox_sender;

/** Called after the result of a call has been reported to its owner. */
typedef void (*cs_outbox_sender_on_finished)(void *user_data);

/**
 * Creates a sender. The outbox, the client and the counters are borrowed.
 * @param store "IP:PORT" of the table service
 * @param on_finished called after each call has finished
 */
cs_outbox_sender *
cs_outbox_sender_create(cs_outbox *outbox, cs_http_client *client,
                        cs_counters *counters, const char *store,
                        cs_outbox_sender_on_finished on_finished,
                        void *user_data);
void cs_outbox_sender_destroy(cs_outbox_sender *sender);

/** Sends every call that waits in the outbox. */
void cs_outbox_sender_send_all(cs_outbox_sender *sender);

#endif
