/**
 * @file store_router.h
 * Routes calls to the store: directly, or relayed through a peer while this VM
 * cannot reach the store itself. The calls mean the same on either route.
 */
#ifndef CS_STORE_ROUTER_H
#define CS_STORE_ROUTER_H

#include "corianderstair/clock.h"
#include "corianderstair/counters.h"
#include "corianderstair/store_port.h"

/** Maximum number of peers of a router. */
#define CS_STORE_ROUTER_MAX_PEERS 64

typedef struct cs_store_router cs_store_router;

/**
 * Returns a port that makes calls through the peer at an address. The port
 * must stay valid until the router is destroyed.
 */
typedef const cs_store_port *(*cs_store_open_relay)(void *user_data,
                                                    const char *address);

typedef struct {
    const cs_store_port *direct;    /**< borrowed */
    cs_store_open_relay open_relay; /**< returns the port of a relaying peer */
    void *open_relay_data;
    /** Name of this VM, which determines the peer it tries first; borrowed. */
    const char *own_name;
    cs_now (*now)(void *user_data);
    void *now_data;
    cs_counters *counters; /**< borrowed */
    /**
     * The table whose answers may be large; NULL for none; borrowed. Its calls
     * are no probes. As a peer passes an answer on only when it has all of it,
     * such a call through a peer may get no answer in time from one that
     * works.
     */
    const char *bulk_table;
} cs_store_router_settings;

/**
 * Creates a router without peers. The settings are copied. Free it with
 * cs_store_router_destroy.
 */
cs_store_router *
cs_store_router_create(const cs_store_router_settings *settings);

/**
 * Frees the router; NULL is allowed. To be called only when no call is open.
 */
void cs_store_router_destroy(cs_store_router *router);

/** @return the port that routes its calls, owned by the router */
const cs_store_port *cs_store_router_port(cs_store_router *router);

/**
 * Adds the address of a peer. Does nothing if the router has it already or
 * has CS_STORE_ROUTER_MAX_PEERS peers.
 */
void cs_store_router_add_peer(cs_store_router *router, const char *address);

/** Sends a probe by the direct route if one is due. */
void cs_store_router_tick(cs_store_router *router);

/** @return how often the route has changed so far */
uint64_t cs_store_router_route_changes(const cs_store_router *router);

/** @return whether calls are relayed through a peer at present */
bool cs_store_router_is_relayed(const cs_store_router *router);

/**
 * @return whether the store refuses this VM and serves a peer: a direct call
 *         has failed that was sent after a relayed one was answered
 */
bool cs_store_router_is_refused(const cs_store_router *router);

#endif
