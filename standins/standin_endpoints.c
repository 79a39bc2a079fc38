/*
 * Stand-in for an endpoint of a service: runs up to a number of requests at a
 * time, each for a fixed time, and counts how often it ran each request id.
 */
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"
#include "standin.h"

#include <stdio.h>
#include <string.h>

struct endpoint {
    const char *name;
    int64_t slots;
    int64_t service_ms;
    int64_t running;
    bool fail;
    standin_faults faults;
    GHashTable *run_counts; /* id to number of runs */
    uint64_t refused;
};

struct run {
    struct endpoint *endpoint;
    cs_http_request *request;
    char id[80];
};

static void
finish_run(struct run *run)
{
    struct endpoint *endpoint = run->endpoint;
    int status = endpoint->fail ? 500 : 200;

    endpoint->running--;
    standin_reply(
        run->request, status,
        json_pack("{s:s,s:s}", "id", run->id, "ran_by", endpoint->name),
        &endpoint->faults);
    g_free(run);
}

static gboolean
on_run_done(gpointer user_data)
{
    finish_run(user_data);
    return G_SOURCE_REMOVE;
}

static void
count_run(struct endpoint *endpoint, const char *id)
{
    gpointer count = g_hash_table_lookup(endpoint->run_counts, id);

    g_hash_table_replace(endpoint->run_counts, g_strdup(id),
                         GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
}

static void
start_run(struct endpoint *endpoint, cs_http_request *request)
{
    standin_faults no_faults = {0};
    struct run *run;

    if (endpoint->running >= endpoint->slots || endpoint->faults.outage) {
        endpoint->refused++;
        standin_reply(request, 503, json_object(), &no_faults);
        return;
    }
    run = g_new0(struct run, 1);
    run->endpoint = endpoint;
    run->request = request;
    cs_http_request_query_argument(run->id, sizeof(run->id), request, "id");
    count_run(endpoint, run->id);
    endpoint->running++;
    if (endpoint->service_ms > 0)
        g_timeout_add((guint)endpoint->service_ms, on_run_done, run);
    else
        finish_run(run);
}

static void
handle_record(struct endpoint *endpoint, cs_http_request *request)
{
    json_t *run_counts = json_object();
    standin_faults no_faults = {0};
    GHashTableIter iter;
    gpointer id;
    gpointer count;

    g_hash_table_iter_init(&iter, endpoint->run_counts);
    while (g_hash_table_iter_next(&iter, &id, &count))
        json_object_set_new(run_counts, id,
                            json_integer(GPOINTER_TO_INT(count)));
    standin_reply(request, 200,
                  json_pack("{s:o,s:I}", "runs", run_counts, "refused",
                            (json_int_t)endpoint->refused),
                  &no_faults);
}

static void
handle_faults(struct endpoint *endpoint, cs_http_request *request)
{
    json_t *body = standin_read_json(request);
    standin_faults no_faults = {0};
    const json_t *value;

    standin_update_faults(&endpoint->faults, body);
    if ((value = json_object_get(body, "fail")) != NULL)
        endpoint->fail = json_is_true(value);
    if ((value = json_object_get(body, "service_ms")) != NULL)
        endpoint->service_ms = json_integer_value(value);
    json_decref(body);
    standin_reply(request, 200, json_object(), &no_faults);
}

static void
on_request(cs_http_request *request, void *user_data)
{
    struct endpoint *endpoint = user_data;
    const char *path = cs_http_request_path(request);

    if (strcmp(path, "/faults") == 0)
        handle_faults(endpoint, request);
    else if (strcmp(path, "/record") == 0)
        handle_record(endpoint, request);
    else
        start_run(endpoint, request);
}

int
main(int argc, char **argv)
{
    struct endpoint endpoint = {.name = "runner", .slots = 8, .service_ms = 5};
    const char *listen = "127.0.0.1:7200";
    const cs_setting options[] = {
        {"name", CS_SETTING_TEXT, &endpoint.name, 1, 63, false,
         "name, reported in replies"},
        {"listen", CS_SETTING_ADDRESS, &listen, 0, 0, false,
         "address to listen on"},
        {"slots", CS_SETTING_NUMBER, &endpoint.slots, 1, 1024, false,
         "maximum number of concurrent requests"},
        {"service-ms", CS_SETTING_NUMBER, &endpoint.service_ms, 0, 60000,
         false, "time that a request takes"},
    };
    cs_settings_next next;
    int status;

    if (cs_settings_parse(&next, NULL, options, G_N_ELEMENTS(options), argc,
                          argv, "stand-in for an endpoint")) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    endpoint.run_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    status = standin_run(listen, on_request, &endpoint,
                         g_main_loop_new(NULL, FALSE));
    g_hash_table_destroy(endpoint.run_counts);
    return status;
}
