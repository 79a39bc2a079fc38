/* The endpoints of services, and which one takes a request. */
#include "router_internal.h"
#include "corianderstair/log.h"

#include <string.h>

#define FAILURES_MAX 5
#define ASIDE_US (5 * CS_SEC_US)
#define LATENCY_RATE 0.1
#define LATENCY_FIRST_US 1000.0

static struct endpoint *
find(cs_router *router, const char *service, const char *name)
{
    guint i;

    for (i = 0; i < router->endpoints->len; i++) {
        struct endpoint *e = g_ptr_array_index(router->endpoints, i);

        if (strcmp(e->name, name) == 0 && strcmp(e->service, service) == 0)
            return e;
    }
    return NULL;
}

static void
add_service(void *data, const cs_record *record)
{
    cs_router *router = data;
    const cs_service *service = &record->resource.u.service;
    uint32_t i;

    for (i = 0; i < service->endpoint_count; i++) {
        const cs_endpoint *from = &service->endpoints[i];
        struct endpoint *e = find(router, service->name, from->name);

        if (!e) {
            e = g_new0(struct endpoint, 1);
            e->latency_us = LATENCY_FIRST_US;
            g_ptr_array_add(router->endpoints, e);
        }
        g_strlcpy(e->name, from->name, sizeof(e->name));
        g_strlcpy(e->service, service->name, sizeof(e->service));
        g_strlcpy(e->zone, from->zone, sizeof(e->zone));
        g_strlcpy(e->address, from->address, sizeof(e->address));
        e->slots = (uint32_t)from->slots;
        e->leaving = from->leaving;
        e->present = true;
    }
}

void
endpoint_rebuild(cs_router *router)
{
    guint i = 0;

    for (i = 0; i < router->endpoints->len; i++)
        ((struct endpoint *)g_ptr_array_index(router->endpoints, i))->present =
            false;
    cs_board_each(router->board, CS_KIND_SERVICE, add_service, router);
    i = 0;
    while (i < router->endpoints->len) {
        struct endpoint *e = g_ptr_array_index(router->endpoints, i);

        if (!e->present && e->in_flight == 0) {
            g_ptr_array_remove_index(router->endpoints, i);
            g_free(e);
            continue;
        }
        i++;
    }
}

/*
 * Our part of an endpoint's slots. The remainder goes to different processes
 * at different endpoints; each has at least one, and an endpoint that is
 * asked for more than its slots refuses before it starts.
 */
static uint32_t
share_of(const cs_router *router, const struct endpoint *e)
{
    uint32_t processes = MAX(router->processes, 1);
    uint32_t share = e->slots / processes;
    uint32_t rest = e->slots % processes;
    uint32_t turn = (g_str_hash(e->name) + router->rank) % processes;

    if (turn < rest)
        share++;
    return MAX(share, 1);
}

/* Neither leaving nor set aside. */
static bool
is_sound(const cs_router *router, const struct endpoint *e,
         const char *service)
{
    return e->present && !e->leaving && strcmp(e->service, service) == 0 &&
           router_now_us(router) >= e->aside_until_us;
}

bool
endpoint_any(cs_router *router, const char *service)
{
    guint i;

    for (i = 0; i < router->endpoints->len; i++) {
        if (is_sound(router, g_ptr_array_index(router->endpoints, i), service))
            return true;
    }
    return false;
}

static bool
is_usable(const cs_router *router, const struct endpoint *e,
          const char *service)
{
    return is_sound(router, e, service) &&
           router_now_us(router) >= e->busy_until_us &&
           e->in_flight < share_of(router, e);
}

/* Expected wait: latency times the queue in front, dearer in other zones. */
static double
cost_of(const cs_router *router, const struct endpoint *e)
{
    double cost = e->latency_us * (e->in_flight + 1);

    return strcmp(e->zone, router->zone) == 0 ? cost : cost * 1.5 + 1000.0;
}

/* The better of two endpoints taken at random among the usable ones. */
struct endpoint *
endpoint_pick(cs_router *router, const char *service)
{
    struct endpoint *chosen[2] = {NULL, NULL};
    uint32_t seen = 0;
    guint i;

    for (i = 0; i < router->endpoints->len; i++) {
        struct endpoint *e = g_ptr_array_index(router->endpoints, i);

        if (!is_usable(router, e, service))
            continue;
        seen++;
        if (seen <= 2)
            chosen[seen - 1] = e;
        else if (cs_random_below(&router->random, seen) < 2)
            chosen[cs_random_below(&router->random, 2)] = e;
    }
    if (seen < 2)
        return chosen[0];
    return cost_of(router, chosen[0]) <= cost_of(router, chosen[1])
               ? chosen[0]
               : chosen[1];
}

void
endpoint_succeeded(struct endpoint *e, int64_t latency_us)
{
    e->failures = 0;
    e->latency_us += LATENCY_RATE * ((double)latency_us - e->latency_us);
}

void
endpoint_failed(cs_router *router, struct endpoint *e)
{
    e->failures++;
    if (e->failures < FAILURES_MAX)
        return;
    /* One request tries it again when this has passed. */
    e->failures = FAILURES_MAX - 1;
    e->aside_until_us = router_now_us(router) + ASIDE_US;
    (*router->aside)++;
    cs_log_event("endpoint-set-aside", "%s/%s at %s", e->service, e->name,
                 e->address);
}
