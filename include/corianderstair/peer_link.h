/**
 * @file peer_link.h
 * Messages between VMs, over ZeroMQ. Delivery is at most once: a lost message
 * is not sent again, and messages to an unreachable peer are dropped once its
 * send queue is full.
 */
#ifndef CS_PEER_LINK_H
#define CS_PEER_LINK_H

#include <stddef.h>
#include <stdint.h>
#include "corianderstair/counters.h"

/** Interface for sending. The tests implement it on a virtual clock. */
typedef struct {
    void *self;
    /** Sends a message to an address without blocking; drops it if it can't be
        queued. The bytes are copied. */
    void (*send)(void *self, const char *address, uint8_t kind,
                 const void *bytes, size_t size_bytes);
    /** Closes the connection to an address and drops what is queued on it. */
    void (*close)(void *self, const char *address);
} cs_peer_link_port;

/**
 * Called for each message that is received.
 * @param sender_address of the sender's own link, where it can be replied to
 * @param kind CS_PEER_ORDERS or CS_PEER_ANSWERS; others are to be ignored
 * @param bytes valid during the call
 */
typedef void (*cs_peer_link_received)(void *user_data,
                                      const char *sender_address, uint8_t kind,
                                      const void *bytes, size_t size_bytes);

/** Kinds of messages; the values are sent. See dispatch_batch.h. */
#define CS_PEER_ORDERS 1  /**< from the holder to an executor */
#define CS_PEER_ANSWERS 2 /**< from an executor to the holder */

typedef struct cs_peer_link cs_peer_link;

/**
 * Creates a link that listens for peers. Needs the GLib main loop.
 * @param out receives the link; free it with cs_peer_link_destroy
 * @param counters borrowed
 * @param address "IP:PORT" to listen on; port 0 lets the kernel choose
 * @return 0, or CS_E_SYSTEM if the address can't be bound
 */
int cs_peer_link_create(cs_peer_link **out, cs_counters *counters,
                        const char *address, cs_peer_link_received received,
                        void *user_data);
/** Frees the link and drops what is queued. NULL is allowed. */
void cs_peer_link_destroy(cs_peer_link *link);

/** @return "IP:PORT" that the link listens on, owned by the link */
const char *cs_peer_link_address(const cs_peer_link *link);

/** @return the interface for sending, owned by the link */
const cs_peer_link_port *cs_peer_link_port_of(cs_peer_link *link);

/**
 * Receives pending messages whose arrival the main loop was not notified of.
 * To be called in each main loop iteration.
 */
void cs_peer_link_tick(cs_peer_link *link);

#endif
