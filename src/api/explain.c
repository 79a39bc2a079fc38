/*
 * Explains why a job is in its state, by asking the process that holds the
 * cell of the job's zone, and summarises all zones and processes.
 */
#include "api_internal.h"
#include "corianderstair/errors.h"

#include <string.h>

#define EXPLAIN_TIMEOUT_US (2 * CS_SEC_US)

struct pending_explain {
    uint64_t id;
    cs_api *api;
    cs_http_request *request;
    char job[CS_NAME_BYTES];
    int64_t deadline_us; /* boot clock */
};

struct holder_search {
    const char *zone;
    char name[CS_MESSAGE_NAME_BYTES];
};

static json_t *
load_summary(const cs_peer *peer)
{
    const char *text = peer->newest_heartbeat.summary;

    if (!text || !*text)
        return NULL;
    return json_loads(text, 0, NULL);
}

static void
match_holder(void *user_data, const cs_peer *peer)
{
    struct holder_search *search = user_data;
    json_t *summary;

    if (strcmp(peer->newest_heartbeat.zone, search->zone) != 0)
        return;
    summary = load_summary(peer);
    if (json_is_true(json_object_get(summary, "leading")))
        g_strlcpy(search->name, peer->name, sizeof(search->name));
    json_decref(summary);
}

/* Answers with the last stored status, as the holder is not known or does not
   answer. */
static void
answer_from_view(struct pending_explain *pending)
{
    const cs_resource_row *row =
        cs_store_view_find(cs_process_store_view(pending->api->process),
                           CS_KIND_JOB, pending->job);
    json_t *body;

    if (!row) {
        cs_error_set(CS_E_NOT_FOUND, "jobs/%s does not exist", pending->job);
        reply_last_error(pending->api, pending->request, CS_E_NOT_FOUND);
        return;
    }
    body =
        json_pack("{s:s,s:o,s:s}", "state", cs_job_state_name(row->job.state),
                  "status", cs_job_status_write(&row->job), "message",
                  "the scheduler of the zone does not answer; this is "
                  "what it last wrote");
    reply_json(pending->request, 200, body);
}

void
explain_handle(cs_api *api, cs_http_request *request, const char *job)
{
    cs_store_view *view = cs_process_store_view(api->process);
    const cs_resource_row *row = cs_store_view_find(view, CS_KIND_JOB, job);
    struct pending_explain *pending = g_new0(struct pending_explain, 1);
    struct holder_search search = {row ? row->resource.u.job.zone : "", ""};
    cs_message message = {.type = CS_MSG_EXPLAIN_REQUEST};

    pending->id = ++api->next_explain_id;
    pending->api = api;
    pending->request = request;
    pending->deadline_us = cs_clock_boot_us() + EXPLAIN_TIMEOUT_US;
    g_strlcpy(pending->job, job, sizeof(pending->job));
    cs_peers_each_live(cs_process_peers(api->process), cs_clock_boot_us(),
                       match_holder, &search);
    message.deadline_us = cs_clock_wall_us() + EXPLAIN_TIMEOUT_US;
    message.u.explain_request.id = pending->id;
    g_strlcpy(message.sender_name, api->name, sizeof(message.sender_name));
    g_strlcpy(message.u.explain_request.job, job,
              sizeof(message.u.explain_request.job));
    if (!row || !search.name[0] ||
        cs_peers_send(cs_process_peers(api->process), search.name, &message)) {
        answer_from_view(pending);
        g_free(pending);
        return;
    }
    g_hash_table_insert(api->pending_explains, &pending->id, pending);
}

void
cs_api_message(cs_api *api, const cs_message *message)
{
    struct pending_explain *pending;
    json_t *body;

    if (message->type != CS_MSG_EXPLAIN_REPLY)
        return;
    pending = g_hash_table_lookup(api->pending_explains,
                                  &message->u.explain_reply.id);
    if (!pending)
        return;
    g_hash_table_remove(api->pending_explains, &pending->id);
    body = json_loads(message->u.explain_reply.text, 0, NULL);
    if (body)
        reply_json(pending->request, 200, body);
    else
        answer_from_view(pending);
    g_free(pending);
}

void
explain_tick(cs_api *api)
{
    int64_t now_us = cs_clock_boot_us();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, api->pending_explains);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pending_explain *pending = value;

        if (now_us < pending->deadline_us)
            continue;
        g_hash_table_iter_remove(&iter);
        answer_from_view(pending);
        g_free(pending);
    }
}

struct fleet_summary {
    json_t *zones;
    json_t *processes;
};

static void
add_peer(void *user_data, const cs_peer *peer)
{
    struct fleet_summary *summaries = user_data;
    json_t *summary = load_summary(peer);

    json_array_append_new(
        summaries->processes,
        json_pack(
            "{s:s,s:s,s:s,s:s,s:I,s:I,s:b}", "name", peer->name, "role",
            peer->newest_heartbeat.role, "zone", peer->newest_heartbeat.zone,
            "api", peer->newest_heartbeat.http_address, "config_version",
            (json_int_t)peer->newest_heartbeat.config_version, "open_requests",
            (json_int_t)peer->newest_heartbeat.open_requests, "draining",
            peer->newest_heartbeat.draining != 0));
    if (json_is_true(json_object_get(summary, "leading")))
        json_array_append(summaries->zones, summary);
    json_decref(summary);
}

void
top_handle(cs_api *api, cs_http_request *request)
{
    struct fleet_summary summaries = {json_array(), json_array()};

    cs_peers_each_live(cs_process_peers(api->process), cs_clock_boot_us(),
                       add_peer, &summaries);
    reply_json(
        request, 200,
        json_pack("{s:s,s:I,s:o,s:o}", "answered_by", api->name,
                  "config_version",
                  (json_int_t)cs_store_view_version(
                      cs_process_store_view(api->process), CS_SCOPE_CONFIG),
                  "zones", summaries.zones, "processes", summaries.processes));
}
