#include "fake_fleet_http.h"
#include "corianderstair/errors.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Timeout of a call to the simulated deployment, in virtual time. It is longer
   than callers wait for an answer, and bounds the connections that they have
   abandoned. */
#define CALL_TIMEOUT_US (2500 * CS_MS_US)
/* A caller learns nothing from it, unlike 503, which says that nothing was
   done. */
#define HTTP_STATUS_UNKNOWN 500

static void
reply_json(cs_http_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);

    cs_http_reply(request, status, "application/json", text, strlen(text));
    free(text);
    json_decref(body);
}

static json_t *
encode_row(const cs_row *row)
{
    char *value = g_base64_encode(row->value, row->size_bytes);
    json_t *object =
        json_pack("{s:s,s:s,s:s,s:I}", "table", row->table, "part", row->part,
                  "key", row->key, "ver", (json_int_t)row->version);

    if (row->deleted)
        json_object_set_new(object, "deleted", json_true());
    else
        json_object_set_new(object, "value", json_string(value));
    g_free(value);
    return object;
}

static int
http_status(int code)
{
    switch (code) {
    case 0:
        return 200;
    case CS_E_CONFLICT:
        return 412;
    case CS_E_TOO_OLD:
        return 410;
    case CS_E_INVALID:
        return 400;
    case CS_E_OUTCOME_UNKNOWN:
        return HTTP_STATUS_UNKNOWN;
    default:
        return 503;
    }
}

static void
on_store_answer(void *user_data, const cs_store_answer *answer)
{
    json_t *rows = json_array();
    size_t i;

    for (i = 0; i < answer->row_count; i++)
        json_array_append_new(rows, encode_row(&answer->rows[i]));
    reply_json(user_data, http_status(answer->code),
               json_pack("{s:o,s:b,s:I,s:i}", "rows", rows, "hasMore",
                         answer->has_more, "ver", (json_int_t)answer->version,
                         "nowMs", 1));
}

static const char *
get_text(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));

    return text ? text : "";
}

/* Decodes a list of rows; the rows borrow their values from the array. */
static GArray *
decode_rows(const json_t *items, GPtrArray *values)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(cs_row));
    const json_t *item;
    size_t i;

    json_array_foreach(items, i, item)
    {
        gsize size = 0;
        guchar *value = g_base64_decode(get_text(item, "value"), &size);
        cs_row row = {.table = get_text(item, "table"),
                      .part = get_text(item, "part"),
                      .key = get_text(item, "key"),
                      .value = value,
                      .size_bytes = size,
                      .version = (uint64_t)json_integer_value(
                          json_object_get(item, "ver"))};

        g_ptr_array_add(values, value);
        g_array_append_val(rows, row);
    }
    return rows;
}

static void
handle_change(const cs_store_port *store, cs_http_request *request,
              int64_t deadline_us)
{
    size_t size;
    const char *text = cs_http_request_body(request, &size);
    json_t *body = json_loadb(text, size, 0, NULL);
    GPtrArray *values = g_ptr_array_new_with_free_func(g_free);
    GArray *conditions = decode_rows(json_object_get(body, "ifRev"), values);
    GArray *puts = decode_rows(json_object_get(body, "puts"), values);
    GArray *removals = decode_rows(json_object_get(body, "remove"), values);
    cs_row_change change = {
        (const cs_row *)(void *)conditions->data, conditions->len,
        (const cs_row *)(void *)puts->data,       puts->len,
        (const cs_row *)(void *)removals->data,   removals->len};

    store->change(store->self, &change, deadline_us, on_store_answer, request);
    g_array_free(conditions, TRUE);
    g_array_free(puts, TRUE);
    g_array_free(removals, TRUE);
    g_ptr_array_free(values, TRUE);
    json_decref(body);
}

static int64_t
number_argument(const cs_http_request *request, const char *name)
{
    char text[32];

    if (cs_http_request_query_argument(text, sizeof(text), request, name))
        return 0;
    return g_ascii_strtoll(text, NULL, 10);
}

static char *
text_argument(const cs_http_request *request, const char *name)
{
    char text[256];

    if (cs_http_request_query_argument(text, sizeof(text), request, name))
        return NULL;
    return g_uri_unescape_string(text, NULL);
}

static void
handle_read(const cs_store_port *store, cs_http_request *request,
            int64_t deadline_us)
{
    char *table = text_argument(request, "table");
    char *part = text_argument(request, "part");
    char *from = text_argument(request, "from");
    char *to = text_argument(request, "to");
    cs_row_range range = {table ? table : "", part ? part : "", from, to,
                          (uint32_t)number_argument(request, "limit")};

    store->read(store->self, &range, deadline_us, on_store_answer, request);
    g_free(table);
    g_free(part);
    g_free(from);
    g_free(to);
}

void
fake_fleet_http_store(fake_fleet *deployment, cs_http_request *request)
{
    const cs_store_port *store = fake_fleet_store(deployment);
    const char *path = cs_http_request_path(request);
    int64_t deadline_us = fake_fleet_now_us(deployment) + CALL_TIMEOUT_US;
    char *table;

    if (strcmp(path, "/rows-tx") == 0) {
        handle_change(store, request, deadline_us);
    }
    else if (strcmp(path, "/rows-get") == 0) {
        handle_read(store, request, deadline_us);
    }
    else if (strcmp(path, "/rows-feed") == 0) {
        int64_t wait_ms = number_argument(request, "waitMs");

        table = text_argument(request, "table");
        store->follow(store->self, table ? table : "",
                      (uint64_t)number_argument(request, "after"), wait_ms, 0,
                      deadline_us + wait_ms * CS_MS_US, on_store_answer,
                      request);
        g_free(table);
    }
    else {
        reply_json(request, 404, json_object());
    }
}

struct worker_call {
    fake_worker_response done;
    void *user_data;
};

/* Responds to an order and frees its call. */
static void
respond(struct worker_call *call, int status, json_t *body)
{
    call->done(call->user_data, status, body);
    json_decref(body);
    g_free(call);
}

static void
respond_refusal(struct worker_call *call, const cs_worker_answer *answer)
{
    static const char *const names[] = {
        [CS_REFUSED_FENCED] = "fence",       [CS_REFUSED_OLD_RUN] = "old",
        [CS_REFUSED_LEASE_EXPIRED] = "late", [CS_REFUSED_NO_SPACE] = "room",
        [CS_REFUSED_TICKET] = "ticket",
    };
    const char *name = names[answer->refusal];

    respond(call, 409, json_pack("{s:s}", "reason", name ? name : ""));
}

static json_t *
encode_runs(const cs_worker_answer *answer)
{
    json_t *items = json_array();
    size_t i;

    for (i = 0; i < answer->run_count; i++)
        json_array_append_new(
            items, json_pack("[s,i,s,I,f]", answer->runs[i].task,
                             (int)answer->runs[i].run,
                             answer->runs[i].checkpoint_data,
                             (json_int_t)answer->runs[i].percent, 0.0));
    return items;
}

static json_t *
encode_ends(const cs_worker_answer *answer)
{
    static const char *const names[] = {"done",   "failed", "stopped",
                                        "lapsed", "broken", "alone"};
    json_t *items = json_array();
    size_t i;

    for (i = 0; i < answer->ended_run_count; i++)
        json_array_append_new(
            items, json_pack("[I,s,i,s,s]",
                             (json_int_t)answer->ended_runs[i].sequence,
                             answer->ended_runs[i].task,
                             (int)answer->ended_runs[i].run,
                             names[answer->ended_runs[i].outcome],
                             answer->ended_runs[i].checkpoint_data));
    return items;
}

static void
on_worker_answer(void *user_data, const cs_worker_answer *answer)
{
    if (answer->code == CS_E_WORKER) {
        respond_refusal(user_data, answer);
        return;
    }
    if (answer->code) {
        respond(user_data, http_status(answer->code), json_object());
        return;
    }
    respond(user_data, 200,
            json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
                      (json_int_t)answer->clock_ms, "born",
                      (json_int_t)answer->incarnation_ms, "running",
                      encode_runs(answer), "ended", encode_ends(answer)));
}

static int64_t
get_number(const json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}

void
fake_fleet_http_worker_call(fake_fleet *deployment, uint32_t worker,
                            const char *path, const char *text,
                            size_t size_bytes, fake_worker_response done,
                            void *user_data)
{
    const cs_worker_port *port = fake_fleet_workers(deployment);
    struct worker_call *call = g_new0(struct worker_call, 1);
    int64_t deadline_us = fake_fleet_now_us(deployment) + CALL_TIMEOUT_US;
    cs_worker_target target = {fake_fleet_address(deployment, worker), "",
                               false, NULL};
    json_t *body = json_loadb(text, size_bytes, 0, NULL);
    uint64_t epoch = (uint64_t)get_number(body, "fence");
    cs_start_order start = {.task = get_text(body, "task"),
                            .run = (uint32_t)get_number(body, "run"),
                            .payload = get_text(body, "spec"),
                            .checkpoint_data =
                                get_text(body, "checkpointData"),
                            .ticket = get_text(body, "ticket"),
                            .lease_end_ms = get_number(body, "untilMs"),
                            .epoch = epoch};
    cs_heartbeat_order heartbeat = {
        epoch, (uint64_t)get_number(body, "seenUpto"),
        get_number(body, "untilMs"), get_number(body, "waitMs")};

    call->done = done;
    call->user_data = user_data;
    if (strcmp(path, "/run-start") == 0)
        port->start(port->self, &target, &start, deadline_us, on_worker_answer,
                    call);
    else if (strcmp(path, "/run-stop") == 0)
        port->stop(port->self, &target, start.task, start.run, epoch,
                   deadline_us, on_worker_answer, call);
    else if (strcmp(path, "/hold") == 0)
        port->heartbeat(port->self, &target, &heartbeat, deadline_us,
                        on_worker_answer, call);
    else
        respond(call, 404, json_object());
    json_decref(body);
}

static void
reply_to_request(void *user_data, int status, json_t *body)
{
    reply_json(user_data, status, json_incref(body));
}

void
fake_fleet_http_worker(fake_fleet *deployment, cs_http_request *request,
                       uint32_t worker)
{
    size_t size;
    const char *body = cs_http_request_body(request, &size);

    fake_fleet_http_worker_call(deployment, worker,
                                cs_http_request_path(request), body, size,
                                reply_to_request, request);
}

static void
on_adviser_answer(void *user_data, const cs_advice *advice)
{
    json_t *rows = json_array();
    size_t i;

    for (i = 0; i < advice->allowed_count; i++)
        json_array_append_new(rows,
                              json_pack("[s,s]", advice->allowed[i].worker,
                                        advice->allowed[i].ticket));
    reply_json(user_data, advice->code ? 429 : 200,
               json_pack("{s:o,s:I}", "good", rows, "validMs",
                         (json_int_t)advice->valid_ms));
}

void
fake_fleet_http_adviser(fake_fleet *deployment, cs_http_request *request)
{
    const cs_adviser_port *port = fake_fleet_adviser(deployment);
    size_t size;
    const char *text = cs_http_request_body(request, &size);
    json_t *body = json_loadb(text, size, 0, NULL);
    const json_t *items = json_object_get(body, "workers");
    const char **workers = g_new0(const char *, json_array_size(items) + 1);
    const json_t *item;
    size_t i;

    json_array_foreach(items, i, item)
    {
        workers[i] = json_string_value(item);
    }
    port->ask(port->self, get_text(body, "step"), workers,
              json_array_size(items),
              fake_fleet_now_us(deployment) + CALL_TIMEOUT_US,
              on_adviser_answer, request);
    g_free(workers);
    json_decref(body);
}
