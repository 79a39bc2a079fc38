/*
 * Caches final answers for a minute, so that a request that is repeated under
 * the same id gets the same answer without running again.
 */
#include "router_internal.h"

struct cached_answer {
    char *key;
    int64_t expires_us;
    int code;
    int status;
    cs_run run;
    char *body;
    size_t size;
};

void
cached_answer_free(gpointer data)
{
    struct cached_answer *cached = data;

    g_free(cached->key);
    g_free(cached->body);
    g_free(cached);
}

bool
answer_cache_reply(cs_router *router, const char *service, const char *id,
                   cs_router_done done, void *user_data)
{
    char key[160];
    const struct cached_answer *cached;
    cs_router_answer answer;

    router_request_key(key, service, id);
    cached = g_hash_table_lookup(router->answer_cache, key);
    if (!cached)
        return false;
    (*router->duplicates)++;
    answer.code = cached->code;
    answer.status = cached->status;
    answer.run = cached->run;
    answer.body = cached->body;
    answer.size_bytes = cached->size;
    done(user_data, &answer);
    return true;
}

static void
drop_oldest(cs_router *router)
{
    struct cached_answer *cached = g_queue_pop_head(&router->cached_by_age);

    g_hash_table_remove(router->answer_cache, cached->key);
}

/* Does not cache the answer of a request that did not run, as the caller may
   send it again under the same id. */
void
answer_cache_add(cs_router *router, const struct request *request,
                 const cs_router_answer *answer)
{
    struct cached_answer *cached;
    char key[160];

    if (answer->run == CS_RUN_NOT ||
        answer->size_bytes > ANSWER_CACHE_BODY_MAX_BYTES)
        return;
    router_request_key(key, request->service, request->id);
    if (g_hash_table_contains(router->answer_cache, key))
        return;
    if (g_queue_get_length(&router->cached_by_age) >= ANSWER_CACHE_MAX)
        drop_oldest(router);
    cached = g_new0(struct cached_answer, 1);
    cached->key = g_strdup(key);
    cached->expires_us = router_now_us(router) + ANSWER_CACHE_US;
    cached->code = answer->code;
    cached->status = answer->status;
    cached->run = answer->run;
    cached->body = g_strndup(answer->body, answer->size_bytes);
    cached->size = answer->size_bytes;
    g_hash_table_insert(router->answer_cache, cached->key, cached);
    g_queue_push_tail(&router->cached_by_age, cached);
}

void
answer_cache_expire(cs_router *router)
{
    const struct cached_answer *oldest;

    while ((oldest = g_queue_peek_head(&router->cached_by_age)) != NULL &&
           oldest->expires_us <= router_now_us(router))
        drop_oldest(router);
}
