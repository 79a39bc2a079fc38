/**
 * @file store_router.h
 * A store that is reached directly, or through a peer while the store turns
 * this VM away. Calls keep their meaning on either way.
 */
#ifndef CS_STORE_ROUTER_H
#define CS_STORE_ROUTER_H

#include "corianderstair/clock.h"
#include "corianderstair/counters.h"
#include "corianderstair/store_port.h"

/** Most peers that a router knows. */
#define CS_STORE_ROUTER_PEERS 64

typedef struct cs_store_router cs_store_router;

/** Makes the calls to one address; valid until the router is destroyed. */
typedef const cs_store_port *(*cs_store_open)(void *user_data,
                                              const char *address);

typedef struct {
    const cs_store_port *direct;
    cs_store_open open; /**< the port of a peer that passes calls on */
    void *open_data;
    const char *own_name; /**< of this VM; decides which peer it tries first */
    cs_now (*now)(void *user_data);
    void *now_data;
    cs_counters *counters; /**< borrowed */
} cs_store_router_settings;

cs_store_router *
cs_store_router_create(const cs_store_router_settings *settings);

/** Frees it once no call is open; NULL is allowed. */
void cs_store_router_destroy(cs_store_router *router);

/** @return the calls, valid as long as the router */
const cs_store_port *cs_store_router_port(cs_store_router *router);

/** Adds a peer's address, if it is new and there is room. */
void cs_store_router_add_peer(cs_store_router *router, const char *address);

/** @return whether calls go through a peer now */
bool cs_store_router_is_relayed(const cs_store_router *router);

#endif
