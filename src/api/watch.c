/* Watches: streams of changes as lines of JSON. */
#include "api_internal.h"
#include "corianderstair/errors.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Every watch gets an empty line this often, so that the caller can tell a
   quiet watch from a broken connection. */
#define KEEPALIVE_US (10 * CS_SEC_US)

struct watch {
    cs_api *api;
    cs_http_request *request;
    cs_kind kind;
    char zone[CS_NAME_BYTES]; /* limits jobs to a zone; "" for all */
    uint32_t subscription;    /* handle, to the store view; 0: none yet */
    int64_t next_keepalive_us;
    bool ended;
};

static void
write_line(struct watch *watch, json_t *line)
{
    char *text = json_dumps(line, JSON_COMPACT);
    size_t size = strlen(text);

    text[size] = '\n';
    /* The stream of a caller that reads too slowly is ended; it has to list
       the resources again. */
    if (!watch->ended &&
        cs_http_stream_write(watch->request, text, size + 1)) {
        watch->ended = true;
        cs_http_stream_end(watch->request);
    }
    free(text);
    json_decref(line);
}

static void
send_change(void *user_data, const cs_change *change)
{
    struct watch *watch = user_data;
    const cs_resource_row *row;
    json_t *line;

    if (change->kind != watch->kind)
        return;
    if (watch->zone[0] && change->kind == CS_KIND_JOB &&
        strcmp(change->scope, watch->zone) != 0)
        return;
    line = cs_change_write(change);
    row = cs_store_view_find(cs_process_store_view(watch->api->process),
                             change->kind, change->name);
    if (row && change->op != CS_OP_DELETE)
        json_object_set_new(line, "now", resource_to_json(row));
    write_line(watch, line);
}

static void
on_closed(void *user_data)
{
    struct watch *watch = user_data;

    if (watch->subscription)
        cs_store_view_unsubscribe(cs_process_store_view(watch->api->process),
                                  watch->subscription);
    g_ptr_array_remove(watch->api->watches, watch);
    g_free(watch);
}

static int
read_from(cs_http_request *request, uint64_t *from, bool *from_given)
{
    char text[32];
    char *end;

    *from_given = cs_http_request_query_argument(text, sizeof(text), request,
                                                 "from") == 0;
    if (!*from_given)
        return 0;
    *from = strtoull(text, &end, 10);
    if (*end || end == text)
        return cs_error_set(CS_E_INVALID, "'from' is not a version");
    return 0;
}

static int
replay_history(struct watch *watch, const char *scope, uint64_t from)
{
    return cs_store_view_replay(cs_process_store_view(watch->api->process),
                                scope, from, send_change, watch);
}

static int
check_watch(cs_api *api, cs_kind kind, const char *zone, bool from_given)
{
    cs_store_view *view = cs_process_store_view(api->process);

    if (api->draining)
        return cs_error_set(CS_E_DRAINING, "this process is shutting down");
    if (zone[0] && !cs_store_view_find(view, CS_KIND_ZONE, zone))
        return cs_error_set(CS_E_NOT_FOUND, "zones/%s does not exist", zone);
    if (kind == CS_KIND_JOB && from_given && !zone[0])
        return cs_error_set(CS_E_INVALID,
                            "jobs have a version in each zone: 'from' needs "
                            "'zone'");
    return 0;
}

void
watch_start(cs_api *api, cs_http_request *request, cs_kind kind)
{
    struct watch *watch = g_new0(struct watch, 1);
    cs_store_view *view = cs_process_store_view(api->process);
    const char *scope;
    uint64_t from = 0;
    bool from_given;
    int rc;

    watch->api = api;
    watch->request = request;
    watch->kind = kind;
    cs_http_request_query_argument(watch->zone, sizeof(watch->zone), request,
                                   "zone");
    rc = read_from(request, &from, &from_given);
    if (!rc)
        rc = check_watch(api, kind, watch->zone, from_given);
    scope = kind == CS_KIND_JOB ? watch->zone : CS_SCOPE_CONFIG;
    if (!rc && from_given)
        rc = replay_history(watch, scope, from);
    if (rc) {
        g_free(watch);
        reply_last_error(api, request, rc);
        return;
    }
    cs_http_stream_begin(request, "application/json", on_closed, watch);
    g_ptr_array_add(api->watches, watch);
    watch->subscription = cs_store_view_subscribe(view, send_change, watch);
    watch->next_keepalive_us = cs_clock_boot_us() + KEEPALIVE_US;
}

void
watch_tick(cs_api *api)
{
    int64_t now_us = cs_clock_boot_us();
    guint i;

    for (i = 0; i < api->watches->len; i++) {
        struct watch *watch = g_ptr_array_index(api->watches, i);

        if (watch->ended || now_us < watch->next_keepalive_us)
            continue;
        watch->next_keepalive_us = now_us + KEEPALIVE_US;
        cs_http_stream_write(watch->request, "\n", 1);
    }
}

void
watch_end_all(cs_api *api)
{
    guint i;

    for (i = 0; i < api->watches->len; i++) {
        struct watch *watch = g_ptr_array_index(api->watches, i);

        watch->ended = true;
        cs_http_stream_end(watch->request);
    }
}
