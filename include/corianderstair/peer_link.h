/**
 * @file peer_link.h
 * Messages between the processes of the VMs. A message is delivered once or
 * lost; nothing is repeated, and nothing waits for a peer that is away.
 */
#ifndef CS_PEER_LINK_H
#define CS_PEER_LINK_H

#include <stddef.h>
#include <stdint.h>
#include "corianderstair/counters.h"

/** What carries messages; the tests have one on a virtual clock. */
typedef struct {
    void *self;
    /** Sends to an address; what cannot leave now is dropped. */
    void (*send)(void *self, const char *address, uint8_t kind,
                 const void *bytes, size_t size_bytes);
    /** Closes the connection and drops what waits on it. */
    void (*close)(void *self, const char *address);
} cs_peer_link_port;

/** @param from address of the sender's own link */
typedef void (*cs_peer_link_received)(void *data, const char *from,
                                      uint8_t kind, const void *bytes,
                                      size_t size_bytes);

/** Kinds of messages. */
#define CS_PEER_ORDERS 1  /**< from the holder to an executor */
#define CS_PEER_ANSWERS 2 /**< from an executor to the holder */

typedef struct cs_peer_link cs_peer_link;

/**
 * Listens for peers.
 * @param address "IP:PORT"; port 0 lets the kernel choose
 * @return 0, CS_E_INVALID or CS_E_SYSTEM
 */
int cs_peer_link_create(cs_peer_link **out, cs_counters *counters,
                        const char *address, cs_peer_link_received received,
                        void *data);
/** NULL is allowed. */
void cs_peer_link_destroy(cs_peer_link *link);

/** @return the address that peers reach */
const char *cs_peer_link_address(const cs_peer_link *link);

const cs_peer_link_port *cs_peer_link_port_of(cs_peer_link *link);

/** Takes what has arrived unnoticed; to be called in each turn of the loop. */
void cs_peer_link_tick(cs_peer_link *link);

#endif
