/* Requests on the address for peers and operators: status, job explanations,
   metrics, and calls to the store that are relayed for peers. */
#include "fleetd.h"

#include <stdlib.h>
#include <string.h>

static void
reply_status(struct daemon *daemon, cs_http_request *request)
{
    json_t *status = cs_fleet_status(daemon->fleet);
    char *text;

    json_object_set_new(
        status, "relayed",
        json_boolean(cs_store_router_is_relayed(daemon->store_router)));
    json_object_set_new(
        status, "refused",
        json_boolean(cs_store_router_is_refused(daemon->store_router)));
    json_object_set_new(status, "open_requests",
                        json_integer(daemon_open_requests(daemon)));
    if (daemon->dispatch)
        json_object_set_new(status, "executors",
                            cs_dispatch_status(daemon->dispatch));
    text = json_dumps(status, JSON_COMPACT);
    cs_http_reply(request, 200, "application/json", text, strlen(text));
    free(text);
    json_decref(status);
}

#define JOBS_PREFIX "/v1/fleet/jobs/"

static void
reply_job(struct daemon *daemon, cs_http_request *request)
{
    const char *job_id = cs_http_request_path(request) + strlen(JOBS_PREFIX);
    json_t *job = cs_fleet_explain(daemon->fleet, job_id);
    char *text;

    if (!job)
        job = json_pack("{s:i,s:s,s:s}", "code", CS_E_NOT_FOUND, "name",
                        cs_error_name(CS_E_NOT_FOUND), "message",
                        cs_fleet_is_holder(daemon->fleet)
                            ? "no such job"
                            : "this VM does not hold the cell");
    text = json_dumps(job, JSON_COMPACT);
    cs_http_reply(request, json_object_get(job, "code") ? 404 : 200,
                  "application/json", text, strlen(text));
    free(text);
    json_decref(job);
}

static void
reply_metrics(struct daemon *daemon, cs_http_request *request)
{
    GString *text = g_string_new(NULL);

    cs_counters_print(daemon->counters, text);
    cs_http_reply(request, 200, "text/plain", text->str, text->len);
    g_string_free(text, TRUE);
}

void
daemon_on_peer_request(cs_http_request *request, void *user_data)
{
    static const char not_found[] = "{\"error\":\"not-found\"}\n";
    struct daemon *daemon = user_data;
    const char *path = cs_http_request_path(request);

    if (platform_relay_matches(request))
        platform_relay_handle(request, &daemon->relay);
    else if (strcmp(path, "/metrics") == 0)
        reply_metrics(daemon, request);
    else if (strcmp(path, "/v1/fleet") == 0)
        reply_status(daemon, request);
    else if (g_str_has_prefix(path, JOBS_PREFIX))
        reply_job(daemon, request);
    else
        cs_http_reply(request, 404, "application/json", not_found,
                      sizeof(not_found) - 1);
}
