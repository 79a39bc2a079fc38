#include "api_internal.h"
#include "corianderstair/errors.h"

#include <string.h>

cs_api *
cs_api_create(cs_process *process, cs_router *router, const char *name,
              const char *zone)
{
    cs_api *api = g_new0(cs_api, 1);
    cs_counters *counters = cs_process_counters(process);

    api->process = process;
    api->router = router;
    g_strlcpy(api->name, name, sizeof(api->name));
    g_strlcpy(api->zone, zone, sizeof(api->zone));
    api->watches = g_ptr_array_new();
    api->pending_explains = g_hash_table_new(g_int64_hash, g_int64_equal);
    api->request_count = cs_counters_get(counters, "cs_api_requests_total");
    api->error_count = cs_counters_get(counters, "cs_api_errors_total");
    return api;
}

void
cs_api_destroy(cs_api *api)
{
    if (!api)
        return;
    g_ptr_array_free(api->watches, TRUE);
    g_hash_table_destroy(api->pending_explains);
    g_free(api);
}

/* Splits "/v1/kind/name/action". Returns 0 or CS_E_NOT_FOUND. */
static int
split_path(struct route *route, const char *path)
{
    memset(route, 0, sizeof(*route));
    while (*path == '/') {
        size_t length = strcspn(++path, "/");

        if (length == 0 && !path[0])
            break;
        if (route->count == 4 || length == 0 || length >= CS_NAME_BYTES)
            return cs_error_set(CS_E_NOT_FOUND, "no such path");
        memcpy(route->parts[route->count++], path, length);
        path += length;
    }
    if (route->count < 2 || strcmp(route->parts[0], "v1") != 0)
        return cs_error_set(CS_E_NOT_FOUND, "no such path");
    return 0;
}

static bool
is_service_request(const struct route *route, const char *method)
{
    return route->count == 4 && strcmp(method, "POST") == 0 &&
           strcmp(route->parts[1], "services") == 0 &&
           strcmp(route->parts[3], "requests") == 0;
}

static void
handle_snapshot(cs_api *api, cs_http_request *request)
{
    char scope[CS_NAME_BYTES] = CS_SCOPE_CONFIG;
    json_t *snapshot;

    cs_http_request_query_argument(scope, sizeof(scope), request, "scope");
    snapshot = cs_journal_snapshot(cs_process_journal(api->process), scope);
    if (snapshot) {
        reply_json(request, 200, snapshot);
        return;
    }
    cs_error_set(CS_E_NOT_FOUND, "this process has not loaded scope %s",
                 scope);
    reply_last_error(api, request, CS_E_NOT_FOUND);
}

void
cs_api_handle(cs_api *api, cs_http_request *request)
{
    const char *method = cs_http_request_method(request);
    bool is_get = strcmp(method, "GET") == 0;
    struct route route;
    int rc = split_path(&route, cs_http_request_path(request));

    (*api->request_count)++;
    if (rc) {
        reply_last_error(api, request, rc);
        return;
    }
    if (is_service_request(&route, method))
        requests_handle(api, request, route.parts[2]);
    else if (is_get && strcmp(route.parts[1], "audit") == 0)
        audit_handle(api, request);
    else if (is_get && strcmp(route.parts[1], "top") == 0)
        top_handle(api, request);
    else if (is_get && strcmp(route.parts[1], "snapshot") == 0)
        handle_snapshot(api, request);
    else if ((rc = cs_kind_find(&route.kind, route.parts[1])) != 0)
        reply_last_error(api, request, rc);
    else
        resources_handle(api, request, &route);
}

void
cs_api_tick(cs_api *api)
{
    watch_tick(api);
    explain_tick(api);
}

void
cs_api_drain(cs_api *api)
{
    api->draining = true;
    watch_end_all(api);
}
