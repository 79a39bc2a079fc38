/*
 * Stand-in for many workers behind one address. A worker is created at the
 * first request that names it.
 */
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"
#include "fake_worker.h"
#include "standin.h"

#include <stdio.h>
#include <string.h>

#define TICK_MS 50

struct worker_pool {
    GHashTable *workers;
    int64_t accelerators;
    standin_faults faults;
    uint64_t calls;
};

static fake_worker *
get_or_create_worker(struct worker_pool *pool, const char *name)
{
    fake_worker *worker = g_hash_table_lookup(pool->workers, name);

    if (!worker) {
        worker = fake_worker_create(name, (uint32_t)pool->accelerators);
        g_hash_table_insert(pool->workers, g_strdup(name), worker);
    }
    return worker;
}

static json_t *
encode_events(const fake_worker *worker)
{
    uint32_t count;
    const fake_worker_event *events = fake_worker_events(worker, &count);
    json_t *items = json_array();
    uint32_t i;

    for (i = 0; i < count; i++)
        json_array_append_new(
            items, json_pack("{s:I,s:s,s:s,s:I,s:I,s:s,s:i}", "at_us",
                             (json_int_t)events[i].at_us, "job", events[i].job,
                             "token", events[i].token, "epoch",
                             (json_int_t)events[i].epoch, "mask",
                             (json_int_t)events[i].mask, "what",
                             events[i].type == FAKE_TASK_STARTED ? "started"
                                                                 : "ended",
                             "exit", events[i].exit_code));
    return items;
}

static void
handle_record(struct worker_pool *pool, cs_http_request *request)
{
    json_t *workers = json_object();
    standin_faults no_faults = {0};
    GHashTableIter iter;
    gpointer name;
    gpointer worker;

    g_hash_table_iter_init(&iter, pool->workers);
    while (g_hash_table_iter_next(&iter, &name, &worker)) {
        json_t *events = encode_events(worker);

        if (json_array_size(events) > 0)
            json_object_set_new(workers, name, events);
        else
            json_decref(events);
    }
    standin_reply(request, 200, workers, &no_faults);
}

static void
set_worker_faults(struct worker_pool *pool, const json_t *body)
{
    const char *name = json_string_value(json_object_get(body, "worker"));
    fake_worker_faults faults = {
        .fail_tasks = json_is_true(json_object_get(body, "fail_tasks")),
        .refuse_starts = json_is_true(json_object_get(body, "refuse_starts"))};

    if (!name)
        return;
    fake_worker_set_faults(get_or_create_worker(pool, name), faults);
    if (json_is_true(json_object_get(body, "restart")))
        fake_worker_restart(get_or_create_worker(pool, name), cs_now_read());
}

static void
handle_faults(struct worker_pool *pool, cs_http_request *request)
{
    json_t *body = standin_read_json(request);
    standin_faults no_faults = {0};

    standin_update_faults(&pool->faults, body);
    set_worker_faults(pool, body);
    json_decref(body);
    standin_reply(request, 200, json_object(), &no_faults);
}

/* Handles a request to /v1/workers/NAME/orders. */
static void
handle_orders(struct worker_pool *pool, cs_http_request *request)
{
    gchar **parts = g_strsplit(cs_http_request_path(request), "/", 6);
    json_t *body = standin_read_json(request);
    json_t *reply = NULL;
    int status = 404;

    pool->calls++;
    if (g_strv_length(parts) == 5 && body)
        status = fake_worker_call(&reply, get_or_create_worker(pool, parts[3]),
                                  body, cs_now_read());
    json_decref(body);
    g_strfreev(parts);
    standin_reply(request, status, reply ? reply : json_object(),
                  &pool->faults);
}

static void
on_request(cs_http_request *request, void *user_data)
{
    struct worker_pool *pool = user_data;
    const char *path = cs_http_request_path(request);
    standin_faults no_faults = {0};

    if (strcmp(path, "/faults") == 0)
        handle_faults(pool, request);
    else if (strcmp(path, "/record") == 0)
        handle_record(pool, request);
    else if (pool->faults.outage)
        standin_reply(request, 503, json_object(), &no_faults);
    else if (g_str_has_prefix(path, "/v1/workers/"))
        handle_orders(pool, request);
    else
        standin_reply(request, 404, json_object(), &no_faults);
}

static gboolean
on_tick(gpointer user_data)
{
    struct worker_pool *pool = user_data;
    GHashTableIter iter;
    gpointer worker;

    g_hash_table_iter_init(&iter, pool->workers);
    while (g_hash_table_iter_next(&iter, NULL, &worker))
        fake_worker_tick(worker, cs_now_read());
    return G_SOURCE_CONTINUE;
}

int
main(int argc, char **argv)
{
    struct worker_pool pool = {.accelerators = 8};
    const char *listen = "127.0.0.1:7100";
    const cs_setting options[] = {
        {"listen", CS_SETTING_ADDRESS, &listen, 0, 0, false,
         "address to listen on"},
        {"accelerators", CS_SETTING_NUMBER, &pool.accelerators, 0, 64, false,
         "number of accelerators of each worker"},
    };
    cs_settings_next next;
    int status;

    if (cs_settings_parse(&next, NULL, options, G_N_ELEMENTS(options), argc,
                          argv, "stand-in for workers")) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    pool.workers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)fake_worker_destroy);
    g_timeout_add(TICK_MS, on_tick, &pool);
    status =
        standin_run(listen, on_request, &pool, g_main_loop_new(NULL, FALSE));
    g_hash_table_destroy(pool.workers);
    return status;
}
