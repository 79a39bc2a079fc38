/* The endpoints of all services and the choice of one for a request. */
#include "router_internal.h"
#include "corianderstair/log.h"

#include <string.h>

#define CONSECUTIVE_FAILURES_MAX 5
#define QUARANTINE_US (5 * CS_SEC_US)
#define MEAN_LATENCY_GAIN 0.1
#define MEAN_LATENCY_INITIAL_US 1000.0

static struct endpoint *
find_endpoint(cs_router *router, const char *service, const char *name)
{
    guint i;

    for (i = 0; i < router->endpoints->len; i++) {
        struct endpoint *endpoint = g_ptr_array_index(router->endpoints, i);

        if (strcmp(endpoint->name, name) == 0 &&
            strcmp(endpoint->service, service) == 0)
            return endpoint;
    }
    return NULL;
}

static void
add_service(void *user_data, const cs_resource_row *row)
{
    cs_router *router = user_data;
    const cs_service *service = &row->resource.u.service;
    uint32_t i;

    for (i = 0; i < service->endpoint_count; i++) {
        const cs_endpoint *declared = &service->endpoints[i];
        struct endpoint *endpoint =
            find_endpoint(router, service->name, declared->name);

        if (!endpoint) {
            endpoint = g_new0(struct endpoint, 1);
            endpoint->mean_latency_us = MEAN_LATENCY_INITIAL_US;
            g_ptr_array_add(router->endpoints, endpoint);
        }
        g_strlcpy(endpoint->name, declared->name, sizeof(endpoint->name));
        g_strlcpy(endpoint->service, service->name, sizeof(endpoint->service));
        g_strlcpy(endpoint->zone, declared->zone, sizeof(endpoint->zone));
        g_strlcpy(endpoint->address, declared->address,
                  sizeof(endpoint->address));
        endpoint->slots = (uint32_t)declared->slots;
        endpoint->leaving = declared->leaving;
        endpoint->configured = true;
    }
}

void
endpoint_rebuild(cs_router *router)
{
    guint i = 0;

    for (i = 0; i < router->endpoints->len; i++)
        ((struct endpoint *)g_ptr_array_index(router->endpoints, i))
            ->configured = false;
    cs_store_view_each(router->view, CS_KIND_SERVICE, add_service, router);
    i = 0;
    while (i < router->endpoints->len) {
        struct endpoint *endpoint = g_ptr_array_index(router->endpoints, i);

        if (!endpoint->configured && endpoint->in_flight == 0) {
            g_ptr_array_remove_index(router->endpoints, i);
            g_free(endpoint);
            continue;
        }
        i++;
    }
}

/*
 * Returns the number of an endpoint's slots that this process may use. Slots
 * that cannot be divided evenly go to different processes at different
 * endpoints. Every process gets at least one; if that exceeds the slots, the
 * endpoint refuses requests before they start.
 */
static uint32_t
slot_share(const cs_router *router, const struct endpoint *endpoint)
{
    uint32_t processes = MAX(router->processes, 1);
    uint32_t share = endpoint->slots / processes;
    uint32_t remainder = endpoint->slots % processes;
    uint32_t position =
        (g_str_hash(endpoint->name) + router->rank) % processes;

    if (position < remainder)
        share++;
    return MAX(share, 1);
}

/* Whether an endpoint of the service is neither leaving nor quarantined. */
static bool
is_healthy(const cs_router *router, const struct endpoint *endpoint,
           const char *service)
{
    return endpoint->configured && !endpoint->leaving &&
           strcmp(endpoint->service, service) == 0 &&
           router_now_us(router) >= endpoint->quarantined_until_us;
}

bool
endpoint_is_available(cs_router *router, const char *service)
{
    guint i;

    for (i = 0; i < router->endpoints->len; i++) {
        if (is_healthy(router, g_ptr_array_index(router->endpoints, i),
                       service))
            return true;
    }
    return false;
}

/* Whether a request can be sent to the endpoint now. */
static bool
is_usable(const cs_router *router, const struct endpoint *endpoint,
          const char *service)
{
    return is_healthy(router, endpoint, service) &&
           router_now_us(router) >= endpoint->busy_until_us &&
           endpoint->in_flight < slot_share(router, endpoint);
}

/*
 * Estimates the time until an answer: the mean latency for each request in
 * flight and the new one, half as much again plus 1 ms in another zone.
 */
static double
expected_wait_us(const cs_router *router, const struct endpoint *endpoint)
{
    double wait_us = endpoint->mean_latency_us * (endpoint->in_flight + 1);

    return strcmp(endpoint->zone, router->zone) == 0 ? wait_us
                                                     : wait_us * 1.5 + 1000.0;
}

/* Returns the better of two usable endpoints drawn at random, or NULL. */
struct endpoint *
endpoint_choose(cs_router *router, const char *service)
{
    struct endpoint *candidates[2] = {NULL, NULL};
    uint32_t usable_count = 0;
    guint i;

    for (i = 0; i < router->endpoints->len; i++) {
        struct endpoint *endpoint = g_ptr_array_index(router->endpoints, i);

        if (!is_usable(router, endpoint, service))
            continue;
        usable_count++;
        if (usable_count <= 2)
            candidates[usable_count - 1] = endpoint;
        else if (cs_random_below(&router->random, usable_count) < 2)
            candidates[cs_random_below(&router->random, 2)] = endpoint;
    }
    if (usable_count < 2)
        return candidates[0];
    return expected_wait_us(router, candidates[0]) <=
                   expected_wait_us(router, candidates[1])
               ? candidates[0]
               : candidates[1];
}

void
endpoint_succeeded(struct endpoint *endpoint, int64_t latency_us)
{
    endpoint->consecutive_failures = 0;
    endpoint->mean_latency_us +=
        MEAN_LATENCY_GAIN * ((double)latency_us - endpoint->mean_latency_us);
}

void
endpoint_failed(cs_router *router, struct endpoint *endpoint)
{
    endpoint->consecutive_failures++;
    if (endpoint->consecutive_failures < CONSECUTIVE_FAILURES_MAX)
        return;
    /* A single failure after the quarantine starts another one. */
    endpoint->consecutive_failures = CONSECUTIVE_FAILURES_MAX - 1;
    endpoint->quarantined_until_us = router_now_us(router) + QUARANTINE_US;
    (*router->quarantines)++;
    cs_log_event("endpoint-set-aside", "%s/%s at %s", endpoint->service,
                 endpoint->name, endpoint->address);
}
