/* Final answers of the last minute, for requests that come again. */
#include "router_internal.h"

struct recent {
    char *key;
    int64_t until_us;
    int code;
    int status;
    cs_run run;
    char *body;
    size_t size;
};

void
recent_free(gpointer data)
{
    struct recent *recent = data;

    g_free(recent->key);
    g_free(recent->body);
    g_free(recent);
}

bool
recent_answer(cs_router *router, const char *service, const char *id,
              cs_router_done done, void *data)
{
    char key[160];
    const struct recent *recent;
    cs_router_answer answer;

    router_key(key, service, id);
    recent = g_hash_table_lookup(router->recent, key);
    if (!recent)
        return false;
    (*router->duplicates)++;
    answer.code = recent->code;
    answer.status = recent->status;
    answer.run = recent->run;
    answer.body = recent->body;
    answer.size_bytes = recent->size;
    done(data, &answer);
    return true;
}

static void
drop_oldest(cs_router *router)
{
    struct recent *recent = g_queue_pop_head(&router->recent_ages);

    g_hash_table_remove(router->recent, recent->key);
}

/* A request that surely did not run may be sent again under its id. */
void
recent_keep(cs_router *router, const struct request *request,
            const cs_router_answer *answer)
{
    struct recent *recent;
    char key[160];

    if (answer->run == CS_RUN_NOT || answer->size_bytes > RECENT_BODY_MAX)
        return;
    router_key(key, request->service, request->id);
    if (g_hash_table_contains(router->recent, key))
        return;
    if (g_queue_get_length(&router->recent_ages) >= RECENT_MAX)
        drop_oldest(router);
    recent = g_new0(struct recent, 1);
    recent->key = g_strdup(key);
    recent->until_us = router_now_us(router) + RECENT_US;
    recent->code = answer->code;
    recent->status = answer->status;
    recent->run = answer->run;
    recent->body = g_strndup(answer->body, answer->size_bytes);
    recent->size = answer->size_bytes;
    g_hash_table_insert(router->recent, recent->key, recent);
    g_queue_push_tail(&router->recent_ages, recent);
}

void
recent_tick(cs_router *router)
{
    const struct recent *oldest;

    while ((oldest = g_queue_peek_head(&router->recent_ages)) != NULL &&
           oldest->until_us <= router_now_us(router))
        drop_oldest(router);
}
