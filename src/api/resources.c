/* Lists, reads, creates, replaces and deletes resources. */
#include "api_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/json_limits.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Of a resource that is created or replaced. */
#define BODY_VALUES_MAX 16384
#define BODY_DEPTH_MAX 32

json_t *
resource_to_json(const cs_resource_row *row)
{
    json_t *view = json_pack("{s:s,s:s,s:I,s:o}", "kind",
                             cs_kind_name(row->resource.kind), "scope",
                             row->scope, "version", (json_int_t)row->version,
                             "resource", cs_resource_write(&row->resource));

    if (row->resource.kind == CS_KIND_JOB)
        json_object_set_new(view, "status", cs_job_status_write(&row->job));
    else if (row->status)
        json_object_set(view, "status", row->status);
    return view;
}

struct list_result {
    json_t *items;
    const char *zone; /* NULL for all */
};

static const char *
zone_of(const cs_resource_row *row)
{
    switch (row->resource.kind) {
    case CS_KIND_WORKER:
        return row->resource.u.worker.zone;
    case CS_KIND_JOB:
        return row->resource.u.job.zone;
    case CS_KIND_CONFIG:
    case CS_KIND_ZONE:
    case CS_KIND_ORGANISATION:
    case CS_KIND_SERVICE:
    case CS_KIND_COUNT:
        break;
    }
    return NULL;
}

static void
append_item(void *user_data, const cs_resource_row *row)
{
    struct list_result *list = user_data;
    const char *zone = zone_of(row);

    if (list->zone && zone && strcmp(list->zone, zone) != 0)
        return;
    json_array_append_new(list->items, resource_to_json(row));
}

static void
reply_list(cs_api *api, cs_http_request *request, cs_kind kind)
{
    char zone[CS_NAME_BYTES];
    struct list_result list = {json_array(), NULL};
    cs_store_view *view = cs_process_store_view(api->process);
    const char *scope = CS_SCOPE_CONFIG;

    if (cs_http_request_query_argument(zone, sizeof(zone), request, "zone") ==
        0)
        list.zone = zone;
    if (kind == CS_KIND_JOB)
        scope = list.zone ? list.zone : "";
    cs_store_view_each(view, kind, append_item, &list);
    reply_json(request, 200,
               json_pack("{s:s,s:I,s:o}", "scope", scope, "version",
                         (json_int_t)cs_store_view_version(view, scope),
                         "items", list.items));
}

static void
reply_one(cs_api *api, cs_http_request *request, const struct route *route)
{
    const cs_resource_row *row = cs_store_view_find(
        cs_process_store_view(api->process), route->kind, route->parts[2]);

    if (row) {
        reply_json(request, 200, resource_to_json(row));
        return;
    }
    if (route->kind == CS_KIND_JOB) {
        remote_job_get(api, request, route->parts[2]);
        return;
    }
    cs_error_set(CS_E_NOT_FOUND, "%s/%s does not exist",
                 cs_kind_name(route->kind), route->parts[2]);
    reply_last_error(api, request, CS_E_NOT_FOUND);
}

struct pending_change {
    cs_api *api;
    cs_http_request *request;
    cs_kind kind;
    char name[CS_NAME_BYTES];
    bool created;
};

static void
on_committed(void *user_data, int code, uint64_t version)
{
    struct pending_change *pending = user_data;

    if (code)
        reply_last_error(pending->api, pending->request, code);
    else
        reply_json(pending->request, pending->created ? 201 : 200,
                   json_pack("{s:s,s:s,s:I}", "kind",
                             cs_kind_name(pending->kind), "name",
                             pending->name, "version", (json_int_t)version));
    g_free(pending);
}

static void
submit_change(cs_api *api, cs_http_request *request, cs_change *change,
              int64_t if_match)
{
    struct pending_change *pending = g_new0(struct pending_change, 1);
    int64_t deadline_us =
        cs_outbox_now(cs_process_outbox(api->process)).boot_us +
        STORE_TIMEOUT_US;
    int rc;

    pending->api = api;
    pending->request = request;
    pending->kind = change->kind;
    pending->created = change->op == CS_OP_PUT &&
                       !cs_store_view_find(cs_process_store_view(api->process),
                                           change->kind, change->name);
    g_strlcpy(pending->name, change->name, sizeof(pending->name));
    rc = cs_journal_submit(cs_process_journal(api->process), change, if_match,
                           deadline_us, on_committed, pending);
    if (!rc)
        return;
    g_free(pending);
    reply_last_error(api, request, rc);
}

static int
read_if_match(int64_t *if_match, cs_http_request *request)
{
    const char *text = cs_http_request_if_match(request);
    char *end;

    *if_match = CS_MATCH_ANY;
    if (!*text || strcmp(text, "*") == 0)
        return 0;
    *if_match = strtoll(text, &end, 10);
    if (*end || end == text || *if_match < 0)
        return cs_error_set(CS_E_INVALID, "If-Match '%s' is not a version",
                            text);
    return 0;
}

static int
read_body(json_t **out, cs_http_request *request)
{
    size_t size;
    const char *body = cs_http_request_body(request, &size);
    const cs_json_limits limits = {BODY_VALUES_MAX, BODY_DEPTH_MAX};
    json_error_t error;
    int rc = cs_json_check(body, size, &limits);

    if (rc)
        return rc;
    *out = json_loadb(body, size, JSON_REJECT_DUPLICATES, &error);
    if (*out)
        return 0;
    return cs_error_set(CS_E_JSON, "line %d column %d: %s", error.line,
                        error.column, error.text);
}

static const char *
scope_of(const cs_resource *resource)
{
    return resource->kind == CS_KIND_JOB ? resource->u.job.zone
                                         : CS_SCOPE_CONFIG;
}

/* Reads the body as a change. The name in the path, if any, must agree. */
static int
read_change(cs_change **out, cs_http_request *request,
            const struct route *route)
{
    cs_resource resource;
    json_t *body = NULL;
    int rc = read_body(&body, request);

    if (!rc)
        rc = cs_resource_read(&resource, route->kind, body);
    json_decref(body);
    if (rc)
        return rc;
    if (route->count > 2 &&
        strcmp(route->parts[2], cs_resource_name(&resource)) != 0)
        rc =
            cs_error_set(CS_E_INVALID, "the path names '%s' and the body '%s'",
                         route->parts[2], cs_resource_name(&resource));
    else
        *out = cs_change_create(scope_of(&resource), CS_OP_PUT, route->kind,
                                cs_resource_name(&resource),
                                cs_resource_write(&resource));
    cs_resource_clear(&resource);
    return rc;
}

static void
handle_put(cs_api *api, cs_http_request *request, const struct route *route)
{
    cs_change *change;
    int64_t if_match;
    int rc = read_if_match(&if_match, request);

    if (!rc)
        rc = read_change(&change, request, route);
    if (rc) {
        reply_last_error(api, request, rc);
        return;
    }
    if (route->count == 2)
        if_match = 0; /* POST to the collection creates */
    submit_change(api, request, change, if_match);
}

static void
handle_delete(cs_api *api, cs_http_request *request, const struct route *route)
{
    const cs_resource_row *row = cs_store_view_find(
        cs_process_store_view(api->process), route->kind, route->parts[2]);
    int64_t if_match;
    int rc = read_if_match(&if_match, request);

    if (!rc && !row)
        rc = cs_error_set(CS_E_NOT_FOUND, "%s/%s does not exist",
                          cs_kind_name(route->kind), route->parts[2]);
    if (rc) {
        reply_last_error(api, request, rc);
        return;
    }
    submit_change(api, request,
                  cs_change_create(row->scope, CS_OP_DELETE, route->kind,
                                   route->parts[2], NULL),
                  if_match);
}

static void
handle_cancel(cs_api *api, cs_http_request *request, const char *name)
{
    const cs_resource_row *row = cs_store_view_find(
        cs_process_store_view(api->process), CS_KIND_JOB, name);
    json_t *value;

    if (!row) {
        cs_error_set(CS_E_NOT_FOUND, "jobs/%s does not exist", name);
        reply_last_error(api, request, CS_E_NOT_FOUND);
        return;
    }
    value = cs_resource_write(&row->resource);
    json_object_set_new(value, "cancelled", json_true());
    submit_change(
        api, request,
        cs_change_create(row->scope, CS_OP_PUT, CS_KIND_JOB, name, value),
        CS_MATCH_ANY);
}

static void
handle_get(cs_api *api, cs_http_request *request, const struct route *route)
{
    char watch[8];

    if (route->count > 2)
        reply_one(api, request, route);
    else if (cs_http_request_query_argument(watch, sizeof(watch), request,
                                            "watch") == 0)
        watch_start(api, request, route->kind);
    else
        reply_list(api, request, route->kind);
}

static bool
is_action(const struct route *route, const char *action)
{
    return route->kind == CS_KIND_JOB && route->count == 4 &&
           strcmp(route->parts[3], action) == 0;
}

void
resources_handle(cs_api *api, cs_http_request *request,
                 const struct route *route)
{
    const char *method = cs_http_request_method(request);
    bool is_get = strcmp(method, "GET") == 0;
    bool is_post = strcmp(method, "POST") == 0;

    if (is_action(route, "explain") && is_get)
        explain_handle(api, request, route->parts[2]);
    else if (is_action(route, "cancel") && is_post)
        handle_cancel(api, request, route->parts[2]);
    else if (route->count == 4) {
        cs_error_set(CS_E_NOT_FOUND, "no such path");
        reply_last_error(api, request, CS_E_NOT_FOUND);
    }
    else if (is_get)
        handle_get(api, request, route);
    else if ((is_post && route->count == 2) ||
             (strcmp(method, "PUT") == 0 && route->count == 3))
        handle_put(api, request, route);
    else if (strcmp(method, "DELETE") == 0 && route->count == 3)
        handle_delete(api, request, route);
    else {
        cs_error_set(CS_E_METHOD, "%s is not allowed here", method);
        reply_last_error(api, request, CS_E_METHOD);
    }
}
