/* Taking requests: what is checked before one is queued. */
#include "router_internal.h"
#include "corianderstair/errors.h"

#include <string.h>

static const cs_class *
find_class(const cs_service *service, const char *name)
{
    uint32_t i;

    for (i = 0; i < service->class_count; i++) {
        if (strcmp(service->classes[i].name, name) == 0)
            return &service->classes[i];
    }
    return NULL;
}

static bool
is_valid_id(const char *id)
{
    size_t length = strlen(id);

    return length > 0 && length <= 64 &&
           strspn(id, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                      "0123456789._-") == length;
}

static int
check_request(cs_router *router, const cs_router_request *params,
              const cs_class **rules)
{
    const cs_record *record =
        cs_board_find(router->board, CS_KIND_SERVICE, params->service);

    if (router->draining)
        return cs_error_set(CS_E_DRAINING, "this process is shutting down");
    if (!record)
        return cs_error_set(CS_E_NOT_FOUND, "services/%s does not exist",
                            params->service);
    *rules = find_class(&record->resource.u.service, params->class_name);
    if (!*rules)
        return cs_error_set(CS_E_NOT_FOUND, "services/%s has no class '%s'",
                            params->service, params->class_name);
    if (!is_valid_id(params->id))
        return cs_error_set(CS_E_INVALID,
                            "'id' must be 1..64 of A-Z, a-z, 0-9, '.', '_' "
                            "and '-'");
    if (!cs_board_find(router->board, CS_KIND_ORGANISATION,
                       params->organisation))
        return cs_error_set(CS_E_NOT_FOUND, "organisations/%s does not exist",
                            params->organisation);
    if (params->deadline_us <= router_now_us(router))
        return cs_error_set(CS_E_TIMEOUT, "the deadline has passed");
    return 0;
}

static int
check_room(cs_router *router, const cs_router_request *params,
           const cs_class *rules)
{
    struct service_queue *queue = router_find_queue(router, params->service);
    struct organisation_queue *o =
        router_find_turn(queue, params->organisation);

    if (!endpoint_any(router, params->service)) {
        (*router->refused)++;
        return cs_error_set(CS_E_NO_ENDPOINT,
                            "no endpoint of %s takes work now",
                            params->service);
    }
    if (o->requests.length < (guint)rules->queue_max &&
        router->intents->len < (guint)rules->queue_max)
        return 0;
    (*router->refused)++;
    return cs_error_set(CS_E_OVERLOAD, "the queue of %s is full",
                        params->organisation);
}

static struct request *
request_create(cs_router *router, const cs_router_request *params,
               const cs_class *rules, cs_router_done done, void *data)
{
    struct request *request = g_new0(struct request, 1);

    request->router = router;
    request->idempotent = rules->idempotent;
    request->deadline_us = params->deadline_us;
    request->run = CS_RUN_NOT;
    request->done = done;
    request->data = data;
    request->followers = g_ptr_array_new_with_free_func(g_free);
    request->body = g_string_new_len(params->body, (gssize)params->size_bytes);
    g_strlcpy(request->service, params->service, sizeof(request->service));
    g_strlcpy(request->class_name, params->class_name,
              sizeof(request->class_name));
    g_strlcpy(request->organisation, params->organisation,
              sizeof(request->organisation));
    g_strlcpy(request->id, params->id, sizeof(request->id));
    return request;
}

static void
follow(struct request *request, cs_router_done done, void *data)
{
    struct follower *f = g_new(struct follower, 1);

    f->done = done;
    f->data = data;
    (*request->router->duplicates)++;
    g_ptr_array_add(request->followers, f);
}

int
cs_router_submit(cs_router *router, const cs_router_request *params,
                 cs_router_done done, void *data)
{
    const cs_class *rules = NULL;
    struct request *request;
    char key[160];
    int rc;

    router_refresh(router);
    rc = check_request(router, params, &rules);
    if (rc || !rules)
        return rc;
    router_key(key, params->service, params->id);
    request = g_hash_table_lookup(router->open, key);
    if (request) {
        follow(request, done, data);
        return 0;
    }
    if (recent_answer(router, params->service, params->id, done, data))
        return 0;
    rc = check_room(router, params, rules);
    if (rc)
        return rc;
    request = request_create(router, params, rules, done, data);
    g_hash_table_insert(router->open, g_strdup(key), request);
    if (request->idempotent)
        router_enqueue(request);
    else
        intent_add(request);
    router_pump(router);
    return 0;
}
