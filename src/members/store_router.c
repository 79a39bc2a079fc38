/*
 * The store may turn some VMs away and serve the others. After two failures
 * in a row calls go through a peer; one call a second still goes directly and
 * brings the router back. Where no peer answers either, the store itself is
 * away and peers are left alone for a while.
 */
#include "corianderstair/store_router.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <glib.h>
#include <string.h>

#define DIRECT_FAILURES_MAX 2
#define PROBE_US CS_SEC_US
#define REST_US (2 * CS_SEC_US)
/* Peers asked in a row; where three cannot reach the store, none can. */
#define TRIES_MAX 3
#define DIRECT (-1)

struct cs_store_router {
    cs_store_router_settings settings;
    cs_store_port port;
    GPtrArray *peers;  /* of char * */
    int32_t way;       /* DIRECT or the index of a peer */
    uint64_t turns;    /* changes of the way so far */
    uint32_t failures; /* of the present way, in a row */
    uint32_t tried;    /* peers that failed since one has worked */
    int64_t probe_us;  /* boot clock of the next direct call */
    int64_t rest_us;   /* boot clock; no peer is tried before */
    int64_t *relayed;
    int64_t *switches;
};

struct routed {
    cs_store_router *router;
    int32_t way;
    uint64_t turns; /* of the router when it was sent */
    cs_store_done done;
    void *data;
};

static int64_t
now_us(const cs_store_router *router)
{
    return router->settings.now(router->settings.now_data).boot_us;
}

static bool
has_answered(int code)
{
    switch (code) {
    case 0:
    case CS_E_CONFLICT:
    case CS_E_TOO_OLD:
    case CS_E_INVALID:
        return true;
    default:
        return false;
    }
}

static void
take_way(cs_store_router *router, int32_t way)
{
    router->way = way;
    router->turns++;
    router->failures = 0;
    (*router->switches)++;
    cs_log_event("store-way", "%s",
                 way == DIRECT
                     ? "direct"
                     : (char *)g_ptr_array_index(router->peers, (guint)way));
}

/*
 * The store may turn many VMs away at once. Each starts with another peer, so
 * that none of them has to pass on the calls of all.
 */
static int32_t
first_peer(const cs_store_router *router)
{
    return (int32_t)(g_str_hash(router->settings.own_name) %
                     router->peers->len);
}

static void
next_peer(cs_store_router *router)
{
    int32_t next = router->way + 1;

    if (router->tried >= MIN(router->peers->len, TRIES_MAX)) {
        router->tried = 0;
        router->rest_us = now_us(router) + REST_US;
        if (router->way != DIRECT)
            take_way(router, DIRECT);
        return;
    }
    if (router->way == DIRECT)
        next = first_peer(router);
    if (next >= (int32_t)router->peers->len)
        next = 0;
    router->probe_us = now_us(router) + PROBE_US;
    take_way(router, next);
}

static void
note_failure(cs_store_router *router, int32_t way)
{
    if (way != router->way)
        return;
    router->failures++;
    if (way != DIRECT) {
        router->tried++;
        next_peer(router);
        return;
    }
    if (router->failures >= DIRECT_FAILURES_MAX &&
        now_us(router) >= router->rest_us && router->peers->len > 0)
        next_peer(router);
}

/* A feed that was asked for before the store turned us away says nothing. */
static void
note_answer(cs_store_router *router, int32_t way, uint64_t turns)
{
    if (way == DIRECT && router->way != DIRECT && turns == router->turns)
        take_way(router, DIRECT);
    if (way != router->way)
        return;
    router->failures = 0;
    router->tried = 0;
}

static void
on_done(void *user_data, const cs_store_answer *answer)
{
    struct routed *routed = user_data;

    if (has_answered(answer->code))
        note_answer(routed->router, routed->way, routed->turns);
    else
        note_failure(routed->router, routed->way);
    routed->done(routed->data, answer);
    g_free(routed);
}

static int32_t
choose_way(cs_store_router *router)
{
    int64_t now = now_us(router);

    if (router->way == DIRECT)
        return DIRECT;
    if (now >= router->probe_us) {
        router->probe_us = now + PROBE_US;
        return DIRECT;
    }
    (*router->relayed)++;
    return router->way;
}

static const cs_store_port *
port_of(cs_store_router *router, int32_t way)
{
    if (way == DIRECT)
        return router->settings.direct;
    return router->settings.open(router->settings.open_data,
                                 g_ptr_array_index(router->peers, (guint)way));
}

static struct routed *
routed_create(cs_store_router *router, int32_t way, cs_store_done done,
              void *user_data)
{
    struct routed *routed = g_new0(struct routed, 1);

    routed->router = router;
    routed->way = way;
    routed->turns = router->turns;
    routed->done = done;
    routed->data = user_data;
    return routed;
}

static void
route_change(void *self, const cs_row_change *change, int64_t deadline_us,
             cs_store_done done, void *user_data)
{
    cs_store_router *router = self;
    /* Writes are not used as probes: a lost one costs its caller time. */
    int32_t way = router->way;
    const cs_store_port *port = port_of(router, way);

    port->change(port->self, change, deadline_us, on_done,
                 routed_create(router, way, done, user_data));
}

static void
route_read(void *self, const cs_row_range *range, int64_t deadline_us,
           cs_store_done done, void *user_data)
{
    cs_store_router *router = self;
    int32_t way = choose_way(router);
    const cs_store_port *port = port_of(router, way);

    port->read(port->self, range, deadline_us, on_done,
               routed_create(router, way, done, user_data));
}

static void
route_follow(void *self, const char *table, uint64_t after, int64_t wait_ms,
             int64_t deadline_us, cs_store_done done, void *user_data)
{
    cs_store_router *router = self;
    int32_t way = choose_way(router);
    const cs_store_port *port = port_of(router, way);

    port->follow(port->self, table, after, wait_ms, deadline_us, on_done,
                 routed_create(router, way, done, user_data));
}

cs_store_router *
cs_store_router_create(const cs_store_router_settings *settings)
{
    cs_store_router *router = g_new0(cs_store_router, 1);

    router->settings = *settings;
    router->peers = g_ptr_array_new_with_free_func(g_free);
    router->way = DIRECT;
    router->relayed =
        cs_counters_get(settings->counters, "cs_store_relayed_total");
    router->switches =
        cs_counters_get(settings->counters, "cs_store_way_changes_total");
    router->port.self = router;
    router->port.change = route_change;
    router->port.read = route_read;
    router->port.follow = route_follow;
    return router;
}

void
cs_store_router_destroy(cs_store_router *router)
{
    if (!router)
        return;
    g_ptr_array_free(router->peers, TRUE);
    g_free(router);
}

const cs_store_port *
cs_store_router_port(cs_store_router *router)
{
    return &router->port;
}

void
cs_store_router_add_peer(cs_store_router *router, const char *address)
{
    guint i;

    if (router->peers->len >= CS_STORE_ROUTER_PEERS)
        return;
    for (i = 0; i < router->peers->len; i++) {
        if (strcmp(g_ptr_array_index(router->peers, i), address) == 0)
            return;
    }
    g_ptr_array_add(router->peers, g_strdup(address));
}

bool
cs_store_router_is_relayed(const cs_store_router *router)
{
    return router->way != DIRECT;
}
