/* Questions to the holder of a job's zone, and the state of all zones. */
#include "api_internal.h"
#include "corianderstair/errors.h"

#include <string.h>

#define ANSWER_US (2 * CS_SEC_US)

struct question {
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
read_summary(const cs_peer *peer)
{
    const char *text = peer->last.summary;

    if (!text || !*text)
        return NULL;
    return json_loads(text, 0, NULL);
}

static void
find_holder(void *data, const cs_peer *peer)
{
    struct holder_search *search = data;
    json_t *summary;

    if (strcmp(peer->last.zone, search->zone) != 0)
        return;
    summary = read_summary(peer);
    if (json_is_true(json_object_get(summary, "leading")))
        g_strlcpy(search->name, peer->name, sizeof(search->name));
    json_decref(summary);
}

/* What the board knows, where the holder does not answer. */
static void
answer_from_board(struct question *question)
{
    const cs_record *record = cs_board_find(
        cs_process_board(question->api->process), CS_KIND_JOB, question->job);
    json_t *body;

    if (!record) {
        cs_error_set(CS_E_NOT_FOUND, "jobs/%s does not exist", question->job);
        reply_last_error(question->api, question->request, CS_E_NOT_FOUND);
        return;
    }
    body = json_pack("{s:s,s:o,s:s}", "state",
                     cs_job_state_name(record->job.state), "status",
                     cs_job_status_write(&record->job), "message",
                     "the scheduler of the zone does not answer; this is "
                     "what it last wrote");
    reply_json(question->request, 200, body);
}

void
explain_handle(cs_api *api, cs_http_request *request, const char *job)
{
    cs_board *board = cs_process_board(api->process);
    const cs_record *record = cs_board_find(board, CS_KIND_JOB, job);
    struct question *question = g_new0(struct question, 1);
    struct holder_search search = {record ? record->resource.u.job.zone : "",
                                   ""};
    cs_message message = {.type = CS_MSG_EXPLAIN};

    question->id = ++api->next_question;
    question->api = api;
    question->request = request;
    question->deadline_us = cs_clock_boot_us() + ANSWER_US;
    g_strlcpy(question->job, job, sizeof(question->job));
    cs_peers_each_live(cs_process_peers(api->process), cs_clock_boot_us(),
                       find_holder, &search);
    message.deadline_us = cs_clock_wall_us() + ANSWER_US;
    message.u.explain.id = question->id;
    g_strlcpy(message.from, api->name, sizeof(message.from));
    g_strlcpy(message.u.explain.job, job, sizeof(message.u.explain.job));
    if (!record || !search.name[0] ||
        cs_peers_send(cs_process_peers(api->process), search.name, &message)) {
        answer_from_board(question);
        g_free(question);
        return;
    }
    g_hash_table_insert(api->questions, &question->id, question);
}

void
cs_api_message(cs_api *api, const cs_message *message)
{
    struct question *question;
    json_t *body;

    if (message->type != CS_MSG_EXPLAINED)
        return;
    question = g_hash_table_lookup(api->questions, &message->u.explained.id);
    if (!question)
        return;
    g_hash_table_remove(api->questions, &question->id);
    body = json_loads(message->u.explained.text, 0, NULL);
    if (body)
        reply_json(question->request, 200, body);
    else
        answer_from_board(question);
    g_free(question);
}

void
explain_tick(cs_api *api)
{
    int64_t now_us = cs_clock_boot_us();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, api->questions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct question *question = value;

        if (now_us < question->deadline_us)
            continue;
        g_hash_table_iter_remove(&iter);
        answer_from_board(question);
        g_free(question);
    }
}

struct top {
    json_t *zones;
    json_t *processes;
};

static void
add_peer(void *data, const cs_peer *peer)
{
    struct top *top = data;
    json_t *summary = read_summary(peer);

    json_array_append_new(
        top->processes,
        json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:b}", "name", peer->name, "role",
                  peer->last.role, "zone", peer->last.zone, "api",
                  peer->last.api, "config_version",
                  (json_int_t)peer->last.config_version, "open_requests",
                  (json_int_t)peer->last.open_requests, "draining",
                  peer->last.draining != 0));
    if (json_is_true(json_object_get(summary, "leading")))
        json_array_append(top->zones, summary);
    json_decref(summary);
}

void
top_handle(cs_api *api, cs_http_request *request)
{
    struct top top = {json_array(), json_array()};

    cs_peers_each_live(cs_process_peers(api->process), cs_clock_boot_us(),
                       add_peer, &top);
    reply_json(request, 200,
               json_pack("{s:s,s:I,s:o,s:o}", "answered_by", api->name,
                         "config_version",
                         (json_int_t)cs_board_version(
                             cs_process_board(api->process), CS_SCOPE_CONFIG),
                         "zones", top.zones, "processes", top.processes));
}
