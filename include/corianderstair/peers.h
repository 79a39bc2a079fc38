/**
 * @file peers.h
 * Messages to and from the other processes of the deployment, over ZeroMQ. The
 * settings list addresses of peers; their heartbeats tell which are alive, and
 * reveal peers that the settings don't list.
 */
#ifndef CS_PEERS_H
#define CS_PEERS_H

#include <stdbool.h>
#include "corianderstair/clock.h"
#include "corianderstair/counters.h"
#include "corianderstair/message.h"

/** A peer without a heartbeat for this long isn't live. */
#define CS_PEER_TIMEOUT_US (3 * CS_SEC_US)
/** Interval at which processes send heartbeats. */
#define CS_PEER_HEARTBEAT_INTERVAL_US CS_SEC_US
/** Maximum number of peers; heartbeats of others are ignored. */
#define CS_PEERS_MAX 512

typedef struct cs_peers cs_peers;

/** A peer as of its newest heartbeat; owned by the cs_peers. */
typedef struct {
    char address[32];                   /**< "IP:PORT" */
    char name[CS_MESSAGE_NAME_BYTES];   /**< process name; empty if unknown */
    cs_peer_heartbeat newest_heartbeat; /**< zeros if there was none */
    int64_t last_heard_us; /**< boot clock; 0 if there was no heartbeat */
} cs_peer;

/** Called for each message; it is valid during the call. */
typedef void (*cs_peers_handler)(void *user_data, const cs_message *message);
/** Called for each peer; it is valid during the call. */
typedef void (*cs_peers_visit)(void *user_data, const cs_peer *peer);

/**
 * Listens on an address and connects to every listed peer. Needs the GLib main
 * loop.
 * @param out receives the new object; free it with cs_peers_destroy
 * @param counters borrowed
 * @param name of this process, copied
 * @param listen "IP:PORT" to listen on; port 0 lets the kernel choose
 * @param addresses "IP:PORT,IP:PORT" of the peers; listen is skipped
 * @param handler called for every message before its deadline, except
 *                heartbeats
 * @return 0, CS_E_INVALID for a malformed peer address, or CS_E_SYSTEM if the
 *         address can't be bound or a peer not connected to
 */
int cs_peers_create(cs_peers **out, cs_counters *counters, const char *name,
                    const char *listen, const char *addresses,
                    cs_peers_handler handler, void *user_data);
/** Closes all connections and frees the peers. NULL is allowed. */
void cs_peers_destroy(cs_peers *peers);

/** Sends to every peer without blocking. Drops the message for a peer whose
    send queue is full. */
void cs_peers_broadcast(cs_peers *peers, const cs_message *message);

/**
 * Sends to the peer with a name, without blocking.
 * @return 0, also if the message was dropped; CS_E_NOT_FOUND if no peer has
 *         that name
 */
int cs_peers_send(cs_peers *peers, const char *name,
                  const cs_message *message);

/**
 * Calls visit for every live peer.
 * @param now_us boot clock
 */
void cs_peers_each_live(const cs_peers *peers, int64_t now_us,
                        cs_peers_visit visit, void *user_data);

/**
 * Counts the live peers of a role that are not draining. This process itself
 * is not counted.
 * @param now_us boot clock
 */
uint32_t cs_peers_count_live(const cs_peers *peers, const char *role,
                             int64_t now_us);

#endif
