/*
 * Intents: rows that record the ids of requests that may run only once. A
 * request's row is inserted, on the condition that it does not exist, before
 * the request is sent to any endpoint. Many rows are inserted in one
 * transaction, and one store call runs at a time. If the answer of a
 * transaction is lost, the rows are read back to learn whether it took effect.
 */
#include "router_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/store.h"

#include <inttypes.h>
#include <string.h>

#define BATCH_REQUESTS_MAX 64
#define CALL_TIMEOUT_US CS_SEC_US

struct intent_batch {
    cs_router *router;
    GPtrArray *keys; /* of the requests, as service/id; some may have ended */
    char txn[80];    /* transaction id, stored in each row */
};

static void
batch_destroy(struct intent_batch *batch)
{
    g_ptr_array_free(batch->keys, TRUE);
    g_free(batch);
}

void
intent_add(struct request *request)
{
    request->state = REQUEST_INTENT;
    g_ptr_array_add(request->router->intents, request);
}

static struct request *
find_open(const struct intent_batch *batch, guint i)
{
    return g_hash_table_lookup(batch->router->open_requests,
                               g_ptr_array_index(batch->keys, i));
}

static void
on_intent_written(struct request *request, uint64_t version)
{
    request->intent_version = version;
    router_enqueue(request);
}

static void
finish_refused(struct request *request, int code, cs_run run, const char *text)
{
    router_finish(request, code, code == CS_E_DUPLICATE ? 409 : 503, run, text,
                  strlen(text));
}

static void
refuse_duplicate(struct request *request)
{
    static const char text[] =
        "this request id was used before; its outcome is not known here";

    (*request->router->duplicates)++;
    finish_refused(request, CS_E_DUPLICATE, CS_RUN_UNKNOWN, text);
}

static bool
row_has_txn_of_batch(const struct intent_batch *batch, const json_t *row)
{
    const char *txn = json_string_value(
        json_object_get(json_object_get(row, "value"), "txn"));

    return g_strcmp0(txn, batch->txn) == 0;
}

static void
on_read_back(void *user_data, int code, const json_t *reply)
{
    struct intent_batch *batch = user_data;
    cs_router *router = batch->router;
    guint i;

    router->intent_call_in_flight = false;
    for (i = 0; i < batch->keys->len; i++) {
        struct request *request = find_open(batch, i);
        const json_t *row = json_array_get(cs_store_reply_rows(reply, i), 0);

        if (!request || request->state != REQUEST_INTENT)
            continue;
        /* Whether or not the row was stored, the request was not sent to any
           endpoint. */
        if (code || !row)
            finish_refused(
                request, CS_E_STORE_UNAVAILABLE, CS_RUN_NOT,
                "the store cannot be reached; the request did not run");
        else if (row_has_txn_of_batch(batch, row))
            on_intent_written(request, (uint64_t)json_integer_value(
                                           json_object_get(row, "version")));
        else
            refuse_duplicate(request);
    }
    batch_destroy(batch);
    router_send_queued(router);
}

static void
read_back(struct intent_batch *batch)
{
    cs_router *router = batch->router;
    json_t *read = cs_store_read_create();
    guint i;

    for (i = 0; i < batch->keys->len; i++) {
        char key[CS_STORE_KEY_BYTES];

        g_snprintf(key, sizeof(key), "q/%s",
                   (const char *)g_ptr_array_index(batch->keys, i));
        cs_store_read_add_key(read, key);
    }
    cs_outbox_push(
        router->outbox, CS_CALL_STORE_READ, NULL, CS_STORE_READ_PATH, read,
        router_now_us(router) + CALL_TIMEOUT_US, on_read_back, batch);
}

/* Refuses the requests whose ids already exist and retries the others. */
static void
on_conflict(struct intent_batch *batch, const json_t *reply)
{
    guint i;

    for (i = 0; i < batch->keys->len; i++) {
        struct request *request = find_open(batch, i);
        char key[CS_STORE_KEY_BYTES];

        if (!request || request->state != REQUEST_INTENT)
            continue;
        g_snprintf(key, sizeof(key), "q/%s",
                   (const char *)g_ptr_array_index(batch->keys, i));
        if (cs_store_reply_conflicts(reply, key))
            refuse_duplicate(request);
        else
            intent_add(request);
    }
}

static void
on_txn(void *user_data, int code, const json_t *reply)
{
    struct intent_batch *batch = user_data;
    cs_router *router = batch->router;
    guint i;

    if (code == CS_E_OUTCOME_UNKNOWN) {
        read_back(batch);
        return;
    }
    router->intent_call_in_flight = false;
    if (code == CS_E_CONFLICT)
        on_conflict(batch, reply);
    for (i = 0; code != CS_E_CONFLICT && i < batch->keys->len; i++) {
        struct request *request = find_open(batch, i);

        if (!request || request->state != REQUEST_INTENT)
            continue;
        if (code == 0)
            on_intent_written(request, cs_store_reply_version(reply));
        else
            finish_refused(
                request, CS_E_STORE_UNAVAILABLE, CS_RUN_NOT,
                "the store cannot be reached; the request did not run");
    }
    batch_destroy(batch);
    router_send_queued(router);
}

static json_t *
build_txn(struct intent_batch *batch, uint32_t count)
{
    cs_router *router = batch->router;
    json_t *txn;
    guint i;

    g_snprintf(batch->txn, sizeof(batch->txn), "%s.q%" PRIu64,
               router->incarnation, ++router->next_txn);
    txn = cs_store_txn_create(batch->txn);
    for (i = 0; i < count; i++) {
        struct request *request = g_ptr_array_index(router->intents, i);
        char key[CS_STORE_KEY_BYTES];

        g_ptr_array_add(batch->keys, g_strdup_printf("%s/%s", request->service,
                                                     request->id));
        cs_store_key_request(key, request->service, request->id);
        cs_store_txn_add_check(txn, key, 0);
        cs_store_txn_add_put(
            txn, key,
            json_pack("{s:s,s:I}", "txn", batch->txn, "at_us",
                      (json_int_t)cs_outbox_now(router->outbox).wall_us));
    }
    g_ptr_array_remove_range(router->intents, 0, count);
    return txn;
}

static void
on_released(void *user_data, int code, const json_t *reply)
{
    /* If the row could not be deleted, a repeated request is refused as a
       duplicate, so nothing runs twice. */
}

void
intent_release(const struct request *request)
{
    cs_router *router = request->router;
    char key[CS_STORE_KEY_BYTES];
    json_t *txn = cs_store_txn_create(router->incarnation);

    cs_store_key_request(key, request->service, request->id);
    cs_store_txn_add_check(txn, key, request->intent_version);
    cs_store_txn_add_delete(txn, key);
    cs_outbox_push(router->outbox, CS_CALL_STORE_TXN, NULL, CS_STORE_TXN_PATH,
                   txn, router_now_us(router) + CALL_TIMEOUT_US, on_released,
                   NULL);
}

void
intent_tick(cs_router *router)
{
    uint32_t count = MIN(router->intents->len, BATCH_REQUESTS_MAX);
    struct intent_batch *batch;
    json_t *txn;

    if (router->intent_call_in_flight || count == 0)
        return;
    batch = g_new0(struct intent_batch, 1);
    batch->router = router;
    batch->keys = g_ptr_array_new_with_free_func(g_free);
    txn = build_txn(batch, count);
    router->intent_call_in_flight = true;
    (*router->intent_writes)++;
    cs_outbox_push(router->outbox, CS_CALL_STORE_TXN, NULL, CS_STORE_TXN_PATH,
                   txn, router_now_us(router) + CALL_TIMEOUT_US, on_txn,
                   batch);
}
