/* Admission of requests: the checks before a request is queued. */
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
              const cs_class **request_class)
{
    const cs_resource_row *row =
        cs_store_view_find(router->view, CS_KIND_SERVICE, params->service);

    if (router->draining)
        return cs_error_set(CS_E_DRAINING, "this process is shutting down");
    if (!row)
        return cs_error_set(CS_E_NOT_FOUND, "services/%s does not exist",
                            params->service);
    *request_class = find_class(&row->resource.u.service, params->class_name);
    if (!*request_class)
        return cs_error_set(CS_E_NOT_FOUND, "services/%s has no class '%s'",
                            params->service, params->class_name);
    if (!is_valid_id(params->id))
        return cs_error_set(CS_E_INVALID,
                            "'id' must have 1 to 64 characters of A-Z, a-z, "
                            "0-9, '.', '_' and '-'");
    if (!cs_store_view_find(router->view, CS_KIND_ORGANISATION,
                            params->organisation))
        return cs_error_set(CS_E_NOT_FOUND, "organisations/%s does not exist",
                            params->organisation);
    if (params->deadline_us <= router_now_us(router))
        return cs_error_set(CS_E_TIMEOUT, "the deadline has passed");
    return 0;
}

static int
check_queue_capacity(cs_router *router, const cs_router_request *params,
                     const cs_class *request_class)
{
    struct service_queue *queue =
        router_service_queue(router, params->service);
    struct organisation_queue *organisation_queue =
        router_organisation_queue(queue, params->organisation);

    if (!endpoint_is_available(router, params->service)) {
        (*router->refused)++;
        return cs_error_set(CS_E_NO_ENDPOINT,
                            "no endpoint of service %s is available",
                            params->service);
    }
    if (organisation_queue->requests.length <
            (guint)request_class->queue_max &&
        router->intents->len < (guint)request_class->queue_max)
        return 0;
    (*router->refused)++;
    return cs_error_set(CS_E_OVERLOAD, "the queue of organisation %s is full",
                        params->organisation);
}

static struct request *
request_create(cs_router *router, const cs_router_request *params,
               const cs_class *request_class, cs_router_done done,
               void *user_data)
{
    struct request *request = g_new0(struct request, 1);

    request->router = router;
    request->idempotent = request_class->idempotent;
    request->deadline_us = params->deadline_us;
    request->run = CS_RUN_NOT;
    request->done = done;
    request->user_data = user_data;
    request->waiters = g_ptr_array_new_with_free_func(g_free);
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
add_waiter(struct request *request, cs_router_done done, void *user_data)
{
    struct waiter *waiter = g_new(struct waiter, 1);

    waiter->done = done;
    waiter->user_data = user_data;
    (*request->router->duplicates)++;
    g_ptr_array_add(request->waiters, waiter);
}

int
cs_router_submit(cs_router *router, const cs_router_request *params,
                 cs_router_done done, void *user_data)
{
    const cs_class *request_class = NULL;
    struct request *request;
    char key[160];
    int rc;

    router_update_endpoints(router);
    rc = check_request(router, params, &request_class);
    if (rc || !request_class)
        return rc;
    router_request_key(key, params->service, params->id);
    request = g_hash_table_lookup(router->open_requests, key);
    if (request) {
        add_waiter(request, done, user_data);
        return 0;
    }
    if (answer_cache_reply(router, params->service, params->id, done,
                           user_data))
        return 0;
    rc = check_queue_capacity(router, params, request_class);
    if (rc)
        return rc;
    request = request_create(router, params, request_class, done, user_data);
    g_hash_table_insert(router->open_requests, g_strdup(key), request);
    if (request->idempotent)
        router_enqueue(request);
    else
        intent_add(request);
    router_send_queued(router);
    return 0;
}
