#include "router_internal.h"
#include "corianderstair/errors.h"

#include <stdlib.h>
#include <string.h>

/* Retries may be a tenth of recent successes, with this much to begin. */
#define RETRY_SHARE 0.1
#define RETRY_BUDGET_MAX 100.0
#define BUSY_US (5 * CS_MS_US)

static void
queue_destroy(gpointer data)
{
    struct service_queue *queue = data;

    g_queue_clear(&queue->turns);
    g_hash_table_destroy(queue->queues);
    g_free(queue);
}

cs_router *
cs_router_create(cs_board *board, cs_outbox *outbox, cs_http_client *client,
                 cs_counters *counters, const char *zone,
                 const char *incarnation, uint64_t seed)
{
    cs_router *router = g_new0(cs_router, 1);

    router->board = board;
    router->outbox = outbox;
    router->client = client;
    router->counters = counters;
    router->processes = 1;
    router->retry_budget = RETRY_BUDGET_MAX;
    g_strlcpy(router->zone, zone, sizeof(router->zone));
    g_strlcpy(router->incarnation, incarnation, sizeof(router->incarnation));
    cs_random_init(&router->random, seed);
    router->endpoints = g_ptr_array_new();
    router->intents = g_ptr_array_new();
    router->queues =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, queue_destroy);
    router->open =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    router->recent =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, recent_free);
    g_queue_init(&router->recent_ages);
    router->retries = cs_counters_get(counters, "cs_request_retries_total");
    router->crossed = cs_counters_get(counters, "cs_request_crossed_total");
    router->duplicates =
        cs_counters_get(counters, "cs_request_duplicates_total");
    router->refused = cs_counters_get(counters, "cs_request_refused_total");
    router->aside = cs_counters_get(counters, "cs_endpoints_set_aside_total");
    router->intent_writes =
        cs_counters_get(counters, "cs_request_intent_writes_total");
    return router;
}

void
cs_router_destroy(cs_router *router)
{
    if (!router)
        return;
    g_ptr_array_set_free_func(router->endpoints, g_free);
    g_ptr_array_free(router->endpoints, TRUE);
    g_ptr_array_free(router->intents, TRUE);
    g_hash_table_destroy(router->queues);
    g_hash_table_destroy(router->open);
    g_queue_clear(&router->recent_ages);
    g_hash_table_destroy(router->recent);
    g_free(router);
}

int64_t
router_now_us(const cs_router *router)
{
    return cs_outbox_now(router->outbox).boot_us;
}

void
router_key(char *out, const char *service, const char *id)
{
    g_snprintf(out, 160, "%s/%s", service, id);
}

const char *
cs_run_name(cs_run run)
{
    switch (run) {
    case CS_RUN_NOT:
        return "not-run";
    case CS_RUN_DONE:
        return "ran";
    case CS_RUN_UNKNOWN:
        break;
    }
    return "unknown";
}

static void
count_final(cs_router *router, const struct request *request, int code)
{
    char name[256];

    g_snprintf(name, sizeof(name),
               "cs_requests_final_total{service=\"%s\",class=\"%s\","
               "result=\"%s\"}",
               request->service, request->class_name, cs_error_name(code));
    (*cs_counters_get(router->counters, name))++;
}

void
router_finish(struct request *request, int code, int status, cs_run run,
              const char *body, size_t size)
{
    cs_router *router = request->router;
    cs_router_answer answer = {code, status, run, body, size};
    char key[160];
    guint i;

    router_key(key, request->service, request->id);
    g_hash_table_remove(router->open, key);
    count_final(router, request, code);
    if (code)
        (*router->refused)++;
    if (run == CS_RUN_NOT && request->intent_version)
        intent_release(request);
    recent_keep(router, request, &answer);
    request->done(request->data, &answer);
    for (i = 0; i < request->followers->len; i++) {
        struct follower *f = g_ptr_array_index(request->followers, i);

        f->done(f->data, &answer);
    }
    g_ptr_array_free(request->followers, TRUE);
    g_string_free(request->body, TRUE);
    g_free(request);
}

static void
finish_with_text(struct request *request, int code, int status,
                 const char *text)
{
    router_finish(request, code, status, request->run, text, strlen(text));
}

struct service_queue *
router_find_queue(cs_router *router, const char *service)
{
    struct service_queue *queue = g_hash_table_lookup(router->queues, service);

    if (!queue) {
        queue = g_new0(struct service_queue, 1);
        g_strlcpy(queue->service, service, sizeof(queue->service));
        g_queue_init(&queue->turns);
        queue->queues =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(router->queues, queue->service, queue);
    }
    return queue;
}

struct organisation_queue *
router_find_turn(struct service_queue *queue, const char *name)
{
    struct organisation_queue *o = g_hash_table_lookup(queue->queues, name);

    if (!o) {
        o = g_new0(struct organisation_queue, 1);
        g_queue_init(&o->requests);
        g_hash_table_insert(queue->queues, g_strdup(name), o);
    }
    return o;
}

void
router_enqueue(struct request *request)
{
    struct service_queue *queue =
        router_find_queue(request->router, request->service);
    struct organisation_queue *o =
        router_find_turn(queue, request->organisation);

    request->state = REQUEST_QUEUED;
    /* A retry keeps its place at the front. */
    if (request->tries > 0)
        g_queue_push_head(&o->requests, request);
    else
        g_queue_push_tail(&o->requests, request);
    queue->length++;
    if (!o->in_turn) {
        o->in_turn = true;
        g_queue_push_tail(&queue->turns, o);
    }
}

static struct request *
dequeue(struct service_queue *queue)
{
    struct organisation_queue *o = g_queue_pop_head(&queue->turns);
    struct request *request;

    if (!o)
        return NULL;
    request = g_queue_pop_head(&o->requests);
    queue->length--;
    o->in_turn = !g_queue_is_empty(&o->requests);
    if (o->in_turn)
        g_queue_push_tail(&queue->turns, o);
    return request;
}

static bool
take_retry(cs_router *router)
{
    if (router->retry_budget < 1.0)
        return false;
    router->retry_budget -= 1.0;
    (*router->retries)++;
    return true;
}

/* Sends it again where that is safe, or answers with what is known. */
static void
retry_or_finish(struct request *request, int code, int status,
                const char *text)
{
    cs_router *router = request->router;
    bool safe = request->run == CS_RUN_NOT || request->idempotent;

    if (safe && request->tries < TRIES_MAX &&
        router_now_us(router) < request->deadline_us && take_retry(router)) {
        router_enqueue(request);
        return;
    }
    finish_with_text(request, code, status, text);
}

/* The endpoint names the request that its answer belongs to. */
static bool
answers_request(const struct request *request, const cs_http_answer *answer)
{
    char mark[100];

    g_snprintf(mark, sizeof(mark), "\"id\":\"%s\"", request->id);
    return answer->body && strstr(answer->body, mark) != NULL;
}

static void
on_success(struct request *request, const cs_http_answer *answer)
{
    cs_router *router = request->router;

    if (!answers_request(request, answer)) {
        (*router->crossed)++;
        request->run = CS_RUN_UNKNOWN;
        endpoint_failed(router, request->endpoint);
        retry_or_finish(request, CS_E_CUT, 502,
                        "the endpoint answered another request");
        return;
    }
    endpoint_succeeded(request->endpoint,
                       router_now_us(router) - request->sent_us);
    router->retry_budget =
        MIN(router->retry_budget + RETRY_SHARE, RETRY_BUDGET_MAX);
    router_finish(request, 0, 200, CS_RUN_DONE, answer->body,
                  answer->size_bytes);
}

static void
on_refused(struct request *request)
{
    cs_router *router = request->router;

    /* It had no slot and did not start; ask others for a moment. */
    request->endpoint->busy_until_us = router_now_us(router) + BUSY_US;
    if (router_now_us(router) < request->deadline_us)
        router_enqueue(request);
    else
        finish_with_text(request, CS_E_OVERLOAD, 503,
                         "no endpoint had a free slot");
}

static void
on_broken(struct request *request, int code)
{
    cs_router *router = request->router;

    endpoint_failed(router, request->endpoint);
    if (code == CS_E_CONNECT) {
        retry_or_finish(request, CS_E_CONNECT, 503,
                        "no endpoint could be reached");
        return;
    }
    request->run = CS_RUN_UNKNOWN;
    retry_or_finish(request, code, 504,
                    "the endpoint did not answer whole and in time");
}

static void
on_answer(void *data, const cs_http_answer *answer)
{
    struct request *request = data;
    cs_router *router = request->router;

    cs_outbox_set_now(router->outbox, cs_now_read());
    request->endpoint->in_flight--;
    if (answer->code == CS_E_OVERLOAD)
        on_broken(request, CS_E_CONNECT);
    else if (answer->code)
        on_broken(request, answer->code);
    else if (answer->status == 200)
        on_success(request, answer);
    else if (answer->status == 503)
        on_refused(request);
    else {
        request->run = CS_RUN_DONE;
        endpoint_failed(router, request->endpoint);
        retry_or_finish(request, CS_E_ENDPOINT, 502,
                        "the endpoint ran the request and failed");
    }
    router_pump(router);
}

/* A try that shows no end in time frees the request for another endpoint. */
static int64_t
try_deadline_us(const struct request *request, int64_t now_us)
{
    int64_t patience_us =
        MAX(TRY_MIN_US, (int64_t)(request->endpoint->latency_us * 10));

    if (!request->idempotent)
        return request->deadline_us;
    return MIN(request->deadline_us, now_us + patience_us);
}

static void
send_request(struct request *request, struct endpoint *endpoint)
{
    cs_router *router = request->router;
    int64_t now_us = router_now_us(router);
    char path[256];
    cs_http_call call = {.method = "POST",
                         .address = endpoint->address,
                         .path = path,
                         .body = request->body->str,
                         .size_bytes = request->body->len,
                         .done = on_answer,
                         .data = request};

    g_snprintf(path, sizeof(path), "/%s?id=%s", request->class_name,
               request->id);
    request->state = REQUEST_SENT;
    request->endpoint = endpoint;
    request->sent_us = now_us;
    request->tries++;
    call.deadline_us = try_deadline_us(request, now_us);
    endpoint->in_flight++;
    if (cs_http_client_start(router->client, &call) == 0)
        return;
    endpoint->in_flight--;
    finish_with_text(request, CS_E_CONNECT, 503,
                     "no endpoint could be reached");
}

static void
pump_queue(cs_router *router, struct service_queue *queue)
{
    while (queue->length > 0) {
        struct endpoint *endpoint = endpoint_pick(router, queue->service);
        struct request *request;

        if (!endpoint)
            return;
        request = dequeue(queue);
        if (router_now_us(router) >= request->deadline_us) {
            finish_with_text(request, CS_E_TIMEOUT, 504,
                             "the deadline passed in the queue");
            continue;
        }
        send_request(request, endpoint);
    }
}

void
router_pump(cs_router *router)
{
    GHashTableIter iter;
    gpointer queue;

    g_hash_table_iter_init(&iter, router->queues);
    while (g_hash_table_iter_next(&iter, NULL, &queue))
        pump_queue(router, queue);
    intent_tick(router);
}

static void
expire_queue(cs_router *router, struct service_queue *queue)
{
    GPtrArray *late = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    guint i;

    g_hash_table_iter_init(&iter, queue->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct organisation_queue *o = value;
        GList *link = o->requests.head;

        while (link) {
            struct request *request = link->data;
            GList *next = link->next;

            if (request->deadline_us <= router_now_us(router)) {
                g_queue_delete_link(&o->requests, link);
                queue->length--;
                g_ptr_array_add(late, request);
            }
            link = next;
        }
        if (o->in_turn && g_queue_is_empty(&o->requests)) {
            g_queue_remove(&queue->turns, o);
            o->in_turn = false;
        }
    }
    for (i = 0; i < late->len; i++)
        finish_with_text(g_ptr_array_index(late, i), CS_E_TIMEOUT, 504,
                         "the deadline passed in the queue");
    g_ptr_array_free(late, TRUE);
}

/* Services may come by a list or a change; both move the version. */
void
router_refresh(cs_router *router)
{
    uint64_t version = cs_board_version(router->board, CS_SCOPE_CONFIG);

    if (version == router->config_version)
        return;
    router->config_version = version;
    endpoint_rebuild(router);
}

void
cs_router_tick(cs_router *router)
{
    GHashTableIter iter;
    gpointer queue;

    router_refresh(router);
    g_hash_table_iter_init(&iter, router->queues);
    while (g_hash_table_iter_next(&iter, NULL, &queue))
        expire_queue(router, queue);
    recent_tick(router);
    router_pump(router);
}

void
cs_router_set_share(cs_router *router, uint32_t processes, uint32_t rank)
{
    router->processes = processes;
    router->rank = rank;
}

void
cs_router_drain(cs_router *router)
{
    router->draining = true;
}

uint32_t
cs_router_open(const cs_router *router)
{
    return g_hash_table_size(router->open);
}
