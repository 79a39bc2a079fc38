/*
 * The store may refuse some VMs, or be unreachable for them, and serve the
 * others. After two consecutive failures calls are relayed through a peer. One
 * read a second still goes directly as a probe, one of the router's own if no
 * other is due; after several answered probes in a row all calls go directly
 * again, after one if the peer has answered nothing. If the peers cannot reach
 * the store either, it is assumed to be down for all, and no peer is tried for
 * a while.
 *
 * Load on links may delay answers of every route. A VM that then keeps
 * changing its route only moves the load, so only calls that were not answered
 * at all count as failures, and changes of the route are limited: by a token
 * bucket, and by a minimum stay on a route that doubles with each change.
 */
#include "corianderstair/store_router.h"
#include "corianderstair/errors.h"
#include "corianderstair/job_progress.h"
#include "corianderstair/log.h"

#include <glib.h>
#include <string.h>

#define MAX_DIRECT_FAILURES 2
/* Large calls in a row that a peer leaves unanswered before it has failed: one
   may be the fault of a slow link. */
#define MAX_UNANSWERED_BULK_CALLS 2
#define PROBE_INTERVAL_US CS_SEC_US
/* Answered probes in a row after which the direct route is used again, and the
   interval of those that follow an answered one. One answer may be chance
   while the store refuses most calls. */
#define PROBES_TO_RETURN 3
#define NEXT_PROBE_INTERVAL_US (250 * CS_MS_US)
/* Of a probe of the router's own; the store normally answers within tens of
   milliseconds. */
#define PROBE_TIMEOUT_US (900 * CS_MS_US)
/* The first change of the route is not delayed. After a fault the routes have
   settled within STAY_MAX_US and the probes, each of which waits up to 1.5 s
   for a read, see CELL_READ_INTERVAL_OTHERS_US: within 8 s. */
#define STAY_MIN_US (100 * CS_MS_US)
#define STAY_MAX_US (4 * CS_SEC_US)
/* The stay is short again after this time without a change. */
#define STAY_RESET_US (2 * STAY_MAX_US)
/* Token bucket of changes of the route: to three peers and back, then one per
   interval. */
#define CHANGE_TOKENS_MAX 4
#define CHANGE_TOKEN_INTERVAL_US (2 * CS_SEC_US)
#define RELAY_BACKOFF_US (2 * CS_SEC_US)
/* If this many peers in a row cannot reach the store, it is assumed that no
   peer can. */
#define MAX_PEER_TRIES 3
#define DIRECT (-1)

struct cs_store_router {
    cs_store_router_settings settings;
    cs_store_port port;
    GPtrArray *peers;               /* addresses, char * */
    int32_t route;                  /* DIRECT or the index of a peer */
    uint64_t route_changes;         /* so far */
    uint32_t consecutive_failures;  /* of the current route */
    uint32_t failed_peers;          /* in a row */
    uint32_t failed_rounds;         /* of MAX_PEER_TRIES peers, so far */
    int64_t next_probe_us;          /* boot clock; next direct read */
    int64_t relay_backoff_until_us; /* boot clock; no peer is tried before */
    uint32_t answered_probes;       /* in a row */
    bool probe_open;    /* a probe of the router's own is in flight */
    bool peer_answered; /* a call through the current peer was answered */
    bool peer_was_read; /* a quick read has been sent through it */
    uint32_t unanswered_bulk_calls; /* in a row, through the current peer */
    bool direct_refused;            /* a later probe was not */
    uint32_t change_tokens;
    int64_t next_token_us; /* boot clock; when the bucket gets the next one */
    int64_t stay_us;       /* minimum stay after the last change */
    int64_t last_change_us;
    int64_t *relayed_count;
    int64_t *switch_count;
    int64_t *limited_count; /* changes that the limits have prevented */
};

/* A call in flight, with what its caller passed for the callback. */
struct call {
    cs_store_router *router;
    int32_t route;
    uint64_t route_changes; /* of the router when the call was sent */
    bool peer_answered;     /* as in the router when the call was sent */
    bool bulk;              /* of settings.bulk_table */
    cs_store_done done;
    void *user_data;
};

static int64_t
now_us(const cs_store_router *router)
{
    return router->settings.now(router->settings.now_data).boot_us;
}

static bool
is_store_response(int code)
{
    switch (code) {
    case 0:
    case CS_E_CONFLICT:
    case CS_E_TOO_OLD:
    case CS_E_INVALID:
    case CS_E_TOO_LARGE:
        return true;
    default:
        return false;
    }
}

static void
refill_tokens(cs_store_router *router, int64_t now)
{
    while (router->change_tokens < CHANGE_TOKENS_MAX &&
           now >= router->next_token_us) {
        router->change_tokens++;
        router->next_token_us += CHANGE_TOKEN_INTERVAL_US;
    }
}

/* Returns whether the route may be changed now, and counts if not. */
static bool
may_switch(cs_store_router *router)
{
    int64_t now = now_us(router);

    refill_tokens(router, now);
    if (router->change_tokens > 0 &&
        now - router->last_change_us >= router->stay_us)
        return true;
    (*router->limited_count)++;
    return false;
}

static void
use_change_token(cs_store_router *router)
{
    int64_t now = now_us(router);

    if (router->change_tokens == CHANGE_TOKENS_MAX)
        router->next_token_us = now + CHANGE_TOKEN_INTERVAL_US;
    if (router->change_tokens > 0)
        router->change_tokens--;
    router->stay_us = now - router->last_change_us >= STAY_RESET_US
                          ? STAY_MIN_US
                          : MIN(2 * router->stay_us, STAY_MAX_US);
    router->last_change_us = now;
}

static void
switch_route(cs_store_router *router, int32_t route)
{
    use_change_token(router);
    router->answered_probes = 0;
    router->peer_answered = false;
    router->peer_was_read = false;
    router->unanswered_bulk_calls = 0;
    router->direct_refused = false;
    router->route = route;
    router->route_changes++;
    router->consecutive_failures = 0;
    (*router->switch_count)++;
    cs_log_event("store-way", "%s",
                 route == DIRECT
                     ? "direct"
                     : (char *)g_ptr_array_index(router->peers, (guint)route));
}

/*
 * The store may become unreachable for many VMs at once. Each VM starts with
 * another peer, so that no peer has to relay the calls of all. After a round
 * in which all peers failed, the next one continues with others: the store may
 * refuse most VMs.
 */
static int32_t
choose_first_peer(const cs_store_router *router)
{
    return (int32_t)((g_str_hash(router->settings.own_name) +
                      (uint64_t)router->failed_rounds * MAX_PEER_TRIES) %
                     router->peers->len);
}

static void
switch_to_next_peer(cs_store_router *router)
{
    int32_t next = router->route + 1;

    if (router->failed_peers >= MIN(router->peers->len, MAX_PEER_TRIES)) {
        router->failed_peers = 0;
        router->failed_rounds++;
        router->relay_backoff_until_us = now_us(router) + RELAY_BACKOFF_US;
        if (router->route != DIRECT)
            switch_route(router, DIRECT);
        return;
    }
    if (router->route != DIRECT && router->answered_probes > 0)
        next = DIRECT;
    else if (router->route == DIRECT)
        next = choose_first_peer(router);
    if (next >= (int32_t)router->peers->len)
        next = 0;
    if (next == router->route)
        return;
    router->next_probe_us = now_us(router) + PROBE_INTERVAL_US;
    switch_route(router, next);
}

/* Handles a call that the current route has not answered, or has refused. */
static void
handle_failure(cs_store_router *router, const struct call *call, int code)
{
    int32_t route = call->route;

    if (route != router->route) {
        /* A failed probe. */
        if (route == DIRECT && call->route_changes == router->route_changes) {
            router->answered_probes = 0;
            router->direct_refused = call->peer_answered;
        }
        return;
    }
    router->consecutive_failures++;
    if (route == DIRECT &&
        (router->consecutive_failures < MAX_DIRECT_FAILURES ||
         now_us(router) < router->relay_backoff_until_us ||
         router->peers->len == 0))
        return;
    if (!may_switch(router))
        return;
    /* A peer that relays too many calls already tells nothing of the store. */
    if (route != DIRECT && code != CS_E_OVERLOAD)
        router->failed_peers++;
    switch_to_next_peer(router);
}

/* Returns how many probes have to be answered. Nothing is lost by leaving a
   peer that has answered nothing. */
static uint32_t
probes_to_return(const cs_store_router *router)
{
    return router->peer_answered ? PROBES_TO_RETURN : 1;
}

/*
 * Returns to the direct route once enough direct calls in a row that were
 * sent since the last change of the route are answered. The answer to an
 * earlier one, such as a long poll, does not show that the store is reachable
 * again.
 */
static void
handle_response(cs_store_router *router, int32_t route, uint64_t route_changes)
{
    if (route == DIRECT && router->route != DIRECT &&
        route_changes == router->route_changes) {
        router->answered_probes++;
        router->direct_refused = false;
        router->next_probe_us = MIN(router->next_probe_us,
                                    now_us(router) + NEXT_PROBE_INTERVAL_US);
        /* The limits on changes must not keep a VM with a peer that answers
           nothing while the store serves it. */
        if (router->answered_probes >= probes_to_return(router) &&
            (!router->peer_answered || may_switch(router)))
            switch_route(router, DIRECT);
    }
    if (route != router->route)
        return;
    if (route != DIRECT && !router->peer_answered) {
        /* Whether the store refuses this VM only is to be known soon. */
        router->peer_answered = true;
        router->next_probe_us = MIN(router->next_probe_us,
                                    now_us(router) + NEXT_PROBE_INTERVAL_US);
    }
    router->consecutive_failures = 0;
    router->failed_peers = 0;
    router->unanswered_bulk_calls = 0;
}

/*
 * Returns whether a failed call shows a slow link, which is neither a failure
 * of the route nor evidence that the route works: a transfer that was
 * abandoned midway, or a large answer that a peer had not received in time. A
 * peer that answers nothing between several large calls has failed: all other
 * reads of a VM that reads little may be probes.
 */
static bool
is_slow_transfer(cs_store_router *router, const struct call *call,
                 const cs_store_answer *answer)
{
    if (answer->partial)
        return true;
    if (!call->bulk || call->route == DIRECT ||
        answer->code != CS_E_OUTCOME_UNKNOWN)
        return false;
    if (call->route_changes == router->route_changes)
        router->unanswered_bulk_calls++;
    return router->unanswered_bulk_calls < MAX_UNANSWERED_BULK_CALLS;
}

static void
on_done(void *user_data, const cs_store_answer *answer)
{
    struct call *call = user_data;

    if (is_store_response(answer->code))
        handle_response(call->router, call->route, call->route_changes);
    else if (!is_slow_transfer(call->router, call, answer))
        handle_failure(call->router, call, answer->code);
    call->done(call->user_data, answer);
    g_free(call);
}

static bool
is_bulk(const cs_store_router *router, const char *table)
{
    return router->settings.bulk_table &&
           strcmp(table, router->settings.bulk_table) == 0;
}

/* Probes are quick calls: the answer to a long poll or a large one comes late
   also if the store serves this VM. The first quick read after a change of the
   route goes through the peer: a VM whose reads are further apart than probes
   would otherwise not notice that the peer does not answer. */
static int32_t
choose_read_route(cs_store_router *router, bool quick)
{
    int64_t now = now_us(router);

    if (router->route == DIRECT)
        return DIRECT;
    if (quick && router->peer_was_read && now >= router->next_probe_us) {
        router->next_probe_us = now + PROBE_INTERVAL_US;
        return DIRECT;
    }
    router->peer_was_read |= quick;
    (*router->relayed_count)++;
    return router->route;
}

static const cs_store_port *
get_route_port(cs_store_router *router, int32_t route)
{
    if (route == DIRECT)
        return router->settings.direct;
    return router->settings.open_relay(
        router->settings.open_relay_data,
        g_ptr_array_index(router->peers, (guint)route));
}

static struct call *
create_call(cs_store_router *router, int32_t route, cs_store_done done,
            void *user_data)
{
    struct call *call = g_new0(struct call, 1);

    call->router = router;
    call->route = route;
    call->route_changes = router->route_changes;
    call->peer_answered = router->peer_answered;
    call->done = done;
    call->user_data = user_data;
    return call;
}

static void
route_change(void *self, const cs_row_change *change, int64_t deadline_us,
             cs_store_done done, void *user_data)
{
    cs_store_router *router = self;
    /* Writes are not used as probes, as a lost write delays its caller. */
    int32_t route = router->route;
    const cs_store_port *port = get_route_port(router, route);

    port->change(port->self, change, deadline_us, on_done,
                 create_call(router, route, done, user_data));
}

static void
route_read(void *self, const cs_row_range *range, int64_t deadline_us,
           cs_store_done done, void *user_data)
{
    cs_store_router *router = self;
    bool bulk = is_bulk(router, range->table);
    int32_t route = choose_read_route(router, !bulk);
    const cs_store_port *port = get_route_port(router, route);
    struct call *call = create_call(router, route, done, user_data);

    call->bulk = bulk;
    port->read(port->self, range, deadline_us, on_done, call);
}

static void
route_follow(void *self, const char *table, uint64_t after, int64_t wait_ms,
             size_t max_bytes, int64_t deadline_us, cs_store_done done,
             void *user_data)
{
    cs_store_router *router = self;
    bool bulk = is_bulk(router, table);
    int32_t route = choose_read_route(router, !bulk && wait_ms == 0);
    const cs_store_port *port = get_route_port(router, route);
    struct call *call = create_call(router, route, done, user_data);

    call->bulk = bulk;
    port->follow(port->self, table, after, wait_ms, max_bytes, deadline_us,
                 on_done, call);
}

cs_store_router *
cs_store_router_create(const cs_store_router_settings *settings)
{
    cs_store_router *router = g_new0(cs_store_router, 1);

    router->settings = *settings;
    router->peers = g_ptr_array_new_with_free_func(g_free);
    router->route = DIRECT;
    router->change_tokens = CHANGE_TOKENS_MAX;
    router->last_change_us = now_us(router) - STAY_RESET_US;
    router->limited_count =
        cs_counters_get(settings->counters, "cs_store_way_limited_total");
    router->relayed_count =
        cs_counters_get(settings->counters, "cs_store_relayed_total");
    router->switch_count =
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

    if (router->peers->len >= CS_STORE_ROUTER_MAX_PEERS)
        return;
    for (i = 0; i < router->peers->len; i++) {
        if (strcmp(g_ptr_array_index(router->peers, i), address) == 0)
            return;
    }
    g_ptr_array_add(router->peers, g_strdup(address));
}

bool
cs_store_router_is_refused(const cs_store_router *router)
{
    return router->direct_refused;
}

static void
on_probe(void *user_data, const cs_store_answer *answer)
{
    cs_store_router *router = user_data;

    router->probe_open = false;
}

void
cs_store_router_tick(cs_store_router *router)
{
    const cs_store_port *direct = router->settings.direct;
    int64_t now = now_us(router);
    cs_row_range range = {
        .table = CS_TABLE_CELL, .part = CS_CELL_PART, .limit = 1};

    if (router->route == DIRECT || router->probe_open ||
        now < router->next_probe_us)
        return;
    router->next_probe_us = now + PROBE_INTERVAL_US;
    router->probe_open = true;
    direct->read(direct->self, &range, now + PROBE_TIMEOUT_US, on_done,
                 create_call(router, DIRECT, on_probe, router));
}

uint64_t
cs_store_router_route_changes(const cs_store_router *router)
{
    return router->route_changes;
}

bool
cs_store_router_is_relayed(const cs_store_router *router)
{
    return router->route != DIRECT;
}
