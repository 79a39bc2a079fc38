#include "router_internal.h"
#include "corianderstair/errors.h"

#include <stdlib.h>
#include <string.h>

/*
 * Retry budget: each success earns a tenth of a retry, up to a maximum that is
 * also the initial budget.
 */
#define RETRIES_PER_SUCCESS 0.1
#define RETRY_BUDGET_MAX 100.0
#define NO_SLOT_BACKOFF_US (5 * CS_MS_US)

static void
queue_destroy(gpointer data)
{
    struct service_queue *queue = data;

    g_queue_clear(&queue->rotation);
    g_hash_table_destroy(queue->by_organisation);
    g_free(queue);
}

cs_router *
cs_router_create(cs_store_view *view, cs_outbox *outbox,
                 cs_http_client *client, cs_counters *counters,
                 const char *zone, const char *incarnation, uint64_t seed)
{
    cs_router *router = g_new0(cs_router, 1);

    router->view = view;
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
    router->open_requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    router->answer_cache = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                                 cached_answer_free);
    g_queue_init(&router->cached_by_age);
    router->retries = cs_counters_get(counters, "cs_request_retries_total");
    router->mismatched_answers =
        cs_counters_get(counters, "cs_request_crossed_total");
    router->duplicates =
        cs_counters_get(counters, "cs_request_duplicates_total");
    router->refused = cs_counters_get(counters, "cs_request_refused_total");
    router->quarantines =
        cs_counters_get(counters, "cs_endpoints_set_aside_total");
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
    g_hash_table_destroy(router->open_requests);
    g_queue_clear(&router->cached_by_age);
    g_hash_table_destroy(router->answer_cache);
    g_free(router);
}

int64_t
router_now_us(const cs_router *router)
{
    return cs_outbox_now(router->outbox).boot_us;
}

void
router_request_key(char *out, const char *service, const char *id)
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

    router_request_key(key, request->service, request->id);
    g_hash_table_remove(router->open_requests, key);
    count_final(router, request, code);
    if (code)
        (*router->refused)++;
    if (run == CS_RUN_NOT && request->intent_version)
        intent_release(request);
    answer_cache_add(router, request, &answer);
    request->done(request->user_data, &answer);
    for (i = 0; i < request->waiters->len; i++) {
        struct waiter *waiter = g_ptr_array_index(request->waiters, i);

        waiter->done(waiter->user_data, &answer);
    }
    g_ptr_array_free(request->waiters, TRUE);
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
router_service_queue(cs_router *router, const char *service)
{
    struct service_queue *queue = g_hash_table_lookup(router->queues, service);

    if (!queue) {
        queue = g_new0(struct service_queue, 1);
        g_strlcpy(queue->service, service, sizeof(queue->service));
        g_queue_init(&queue->rotation);
        queue->by_organisation =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(router->queues, queue->service, queue);
    }
    return queue;
}

struct organisation_queue *
router_organisation_queue(struct service_queue *queue,
                          const char *organisation)
{
    struct organisation_queue *organisation_queue =
        g_hash_table_lookup(queue->by_organisation, organisation);

    if (!organisation_queue) {
        organisation_queue = g_new0(struct organisation_queue, 1);
        g_queue_init(&organisation_queue->requests);
        g_hash_table_insert(queue->by_organisation, g_strdup(organisation),
                            organisation_queue);
    }
    return organisation_queue;
}

void
router_enqueue(struct request *request)
{
    struct service_queue *queue =
        router_service_queue(request->router, request->service);
    struct organisation_queue *organisation_queue =
        router_organisation_queue(queue, request->organisation);

    request->state = REQUEST_QUEUED;
    /* A retry goes before the requests that have not been sent yet. */
    if (request->attempts > 0)
        g_queue_push_head(&organisation_queue->requests, request);
    else
        g_queue_push_tail(&organisation_queue->requests, request);
    queue->length++;
    if (!organisation_queue->in_rotation) {
        organisation_queue->in_rotation = true;
        g_queue_push_tail(&queue->rotation, organisation_queue);
    }
}

static struct request *
dequeue(struct service_queue *queue)
{
    struct organisation_queue *organisation_queue =
        g_queue_pop_head(&queue->rotation);
    struct request *request;

    if (!organisation_queue)
        return NULL;
    request = g_queue_pop_head(&organisation_queue->requests);
    queue->length--;
    organisation_queue->in_rotation =
        !g_queue_is_empty(&organisation_queue->requests);
    if (organisation_queue->in_rotation)
        g_queue_push_tail(&queue->rotation, organisation_queue);
    return request;
}

static bool
spend_retry(cs_router *router)
{
    if (router->retry_budget < 1.0)
        return false;
    router->retry_budget -= 1.0;
    (*router->retries)++;
    return true;
}

/* Queues the request again if that is safe, else answers with the error. */
static void
retry_or_finish(struct request *request, int code, int status,
                const char *text)
{
    cs_router *router = request->router;
    bool safe = request->run == CS_RUN_NOT || request->idempotent;

    if (safe && request->attempts < ATTEMPTS_MAX &&
        router_now_us(router) < request->deadline_us && spend_retry(router)) {
        router_enqueue(request);
        return;
    }
    finish_with_text(request, code, status, text);
}

/* Whether the answer is for this request; endpoints repeat the id in it. */
static bool
answer_matches(const struct request *request, const cs_http_response *answer)
{
    char id_field[100];

    g_snprintf(id_field, sizeof(id_field), "\"id\":\"%s\"", request->id);
    return answer->body && strstr(answer->body, id_field) != NULL;
}

static void
on_success(struct request *request, const cs_http_response *answer)
{
    cs_router *router = request->router;

    if (!answer_matches(request, answer)) {
        (*router->mismatched_answers)++;
        request->run = CS_RUN_UNKNOWN;
        endpoint_failed(router, request->endpoint);
        retry_or_finish(request, CS_E_CUT, 502,
                        "the endpoint's answer belongs to another request");
        return;
    }
    endpoint_succeeded(request->endpoint,
                       router_now_us(router) - request->sent_us);
    router->retry_budget =
        MIN(router->retry_budget + RETRIES_PER_SUCCESS, RETRY_BUDGET_MAX);
    router_finish(request, 0, 200, CS_RUN_DONE, answer->body,
                  answer->size_bytes);
}

static void
on_no_slot(struct request *request)
{
    cs_router *router = request->router;

    /* The request did not start, as no slot was free. The endpoint is not
       chosen again until the backoff has passed. */
    request->endpoint->busy_until_us =
        router_now_us(router) + NO_SLOT_BACKOFF_US;
    if (router_now_us(router) < request->deadline_us)
        router_enqueue(request);
    else
        finish_with_text(request, CS_E_OVERLOAD, 503,
                         "no endpoint had a free slot");
}

static void
on_attempt_failed(struct request *request, int code)
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
                    "the endpoint gave no complete answer in time");
}

static void
on_answer(void *user_data, const cs_http_response *answer)
{
    struct request *request = user_data;
    cs_router *router = request->router;

    cs_outbox_set_now(router->outbox, cs_now_read());
    request->endpoint->in_flight--;
    if (answer->code == CS_E_OVERLOAD)
        on_attempt_failed(request, CS_E_CONNECT);
    else if (answer->code)
        on_attempt_failed(request, answer->code);
    else if (answer->status == 200)
        on_success(request, answer);
    else if (answer->status == 503)
        on_no_slot(request);
    else {
        request->run = CS_RUN_DONE;
        endpoint_failed(router, request->endpoint);
        retry_or_finish(request, CS_E_ENDPOINT, 502,
                        "the endpoint ran the request and reported an error");
    }
    router_send_queued(router);
}

/* An idempotent request times out early at one endpoint, after ten times its
   mean latency, so that it can be retried at another. */
static int64_t
attempt_deadline_us(const struct request *request, int64_t now_us)
{
    int64_t timeout_us =
        MAX(ATTEMPT_TIMEOUT_MIN_US,
            (int64_t)(request->endpoint->mean_latency_us * 10));

    if (!request->idempotent)
        return request->deadline_us;
    return MIN(request->deadline_us, now_us + timeout_us);
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
                         .user_data = request};

    g_snprintf(path, sizeof(path), "/%s?id=%s", request->class_name,
               request->id);
    request->state = REQUEST_SENT;
    request->endpoint = endpoint;
    request->sent_us = now_us;
    request->attempts++;
    call.deadline_us = attempt_deadline_us(request, now_us);
    endpoint->in_flight++;
    if (cs_http_client_start(router->client, &call) == 0)
        return;
    endpoint->in_flight--;
    finish_with_text(request, CS_E_CONNECT, 503,
                     "no endpoint could be reached");
}

static void
send_queued(cs_router *router, struct service_queue *queue)
{
    while (queue->length > 0) {
        struct endpoint *endpoint = endpoint_choose(router, queue->service);
        struct request *request;

        if (!endpoint)
            return;
        request = dequeue(queue);
        if (router_now_us(router) >= request->deadline_us) {
            finish_with_text(
                request, CS_E_TIMEOUT, 504,
                "the deadline passed while the request was queued");
            continue;
        }
        send_request(request, endpoint);
    }
}

void
router_send_queued(cs_router *router)
{
    GHashTableIter iter;
    gpointer queue;

    g_hash_table_iter_init(&iter, router->queues);
    while (g_hash_table_iter_next(&iter, NULL, &queue))
        send_queued(router, queue);
    intent_tick(router);
}

static void
expire_queue(cs_router *router, struct service_queue *queue)
{
    GPtrArray *expired = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    guint i;

    g_hash_table_iter_init(&iter, queue->by_organisation);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct organisation_queue *organisation_queue = value;
        GList *link = organisation_queue->requests.head;

        while (link) {
            struct request *request = link->data;
            GList *next = link->next;

            if (request->deadline_us <= router_now_us(router)) {
                g_queue_delete_link(&organisation_queue->requests, link);
                queue->length--;
                g_ptr_array_add(expired, request);
            }
            link = next;
        }
        if (organisation_queue->in_rotation &&
            g_queue_is_empty(&organisation_queue->requests)) {
            g_queue_remove(&queue->rotation, organisation_queue);
            organisation_queue->in_rotation = false;
        }
    }
    for (i = 0; i < expired->len; i++)
        finish_with_text(g_ptr_array_index(expired, i), CS_E_TIMEOUT, 504,
                         "the deadline passed while the request was queued");
    g_ptr_array_free(expired, TRUE);
}

/* Compares versions, as the view changes by single changes and by whole
   listings; both advance the version of the scope. */
void
router_update_endpoints(cs_router *router)
{
    uint64_t version = cs_store_view_version(router->view, CS_SCOPE_CONFIG);

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

    router_update_endpoints(router);
    g_hash_table_iter_init(&iter, router->queues);
    while (g_hash_table_iter_next(&iter, NULL, &queue))
        expire_queue(router, queue);
    answer_cache_expire(router);
    router_send_queued(router);
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
cs_router_open_requests(const cs_router *router)
{
    return g_hash_table_size(router->open_requests);
}
