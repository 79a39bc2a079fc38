/*
 * Stand-in for a runner of a service: slots, a speed, and a record of every
 * request that it ran.
 */
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"
#include "standin.h"

#include <stdio.h>
#include <string.h>

struct runner {
    const char *name;
    int64_t slots;
    int64_t service_ms;
    int64_t busy;
    bool fail;
    standin_faults faults;
    GHashTable *runs; /* id to times run */
    uint64_t refused;
};

struct run {
    struct runner *runner;
    cs_http_request *request;
    char id[80];
};

static void
finish(struct run *run)
{
    struct runner *runner = run->runner;
    int status = runner->fail ? 500 : 200;

    runner->busy--;
    standin_reply(
        run->request, status,
        json_pack("{s:s,s:s}", "id", run->id, "ran_by", runner->name),
        &runner->faults);
    g_free(run);
}

static gboolean
on_done(gpointer data)
{
    finish(data);
    return G_SOURCE_REMOVE;
}

static void
count_run(struct runner *runner, const char *id)
{
    gpointer times = g_hash_table_lookup(runner->runs, id);

    g_hash_table_replace(runner->runs, g_strdup(id),
                         GINT_TO_POINTER(GPOINTER_TO_INT(times) + 1));
}

static void
start(struct runner *runner, cs_http_request *request)
{
    standin_faults sound = {0};
    struct run *run;

    if (runner->busy >= runner->slots || runner->faults.outage) {
        runner->refused++;
        standin_reply(request, 503, json_object(), &sound);
        return;
    }
    run = g_new0(struct run, 1);
    run->runner = runner;
    run->request = request;
    cs_http_request_argument(run->id, sizeof(run->id), request, "id");
    count_run(runner, run->id);
    runner->busy++;
    if (runner->service_ms > 0)
        g_timeout_add((guint)runner->service_ms, on_done, run);
    else
        finish(run);
}

static void
handle_record(struct runner *runner, cs_http_request *request)
{
    json_t *runs = json_object();
    standin_faults sound = {0};
    GHashTableIter iter;
    gpointer id;
    gpointer times;

    g_hash_table_iter_init(&iter, runner->runs);
    while (g_hash_table_iter_next(&iter, &id, &times))
        json_object_set_new(runs, id, json_integer(GPOINTER_TO_INT(times)));
    standin_reply(request, 200,
                  json_pack("{s:o,s:I}", "runs", runs, "refused",
                            (json_int_t)runner->refused),
                  &sound);
}

static void
handle_faults(struct runner *runner, cs_http_request *request)
{
    json_t *body = standin_body(request);
    standin_faults sound = {0};
    const json_t *value;

    standin_read_faults(&runner->faults, body);
    if ((value = json_object_get(body, "fail")) != NULL)
        runner->fail = json_is_true(value);
    if ((value = json_object_get(body, "service_ms")) != NULL)
        runner->service_ms = json_integer_value(value);
    json_decref(body);
    standin_reply(request, 200, json_object(), &sound);
}

static void
on_request(cs_http_request *request, void *data)
{
    struct runner *runner = data;
    const char *path = cs_http_request_path(request);

    if (strcmp(path, "/faults") == 0)
        handle_faults(runner, request);
    else if (strcmp(path, "/record") == 0)
        handle_record(runner, request);
    else
        start(runner, request);
}

int
main(int argc, char **argv)
{
    struct runner runner = {.name = "runner", .slots = 8, .service_ms = 5};
    const char *listen = "127.0.0.1:7200";
    const cs_setting table[] = {
        {"name", CS_SETTING_TEXT, &runner.name, 1, 63, false, "its name"},
        {"listen", CS_SETTING_ADDRESS, &listen, 0, 0, false, "address"},
        {"slots", CS_SETTING_NUMBER, &runner.slots, 1, 1024, false,
         "requests at a time"},
        {"service-ms", CS_SETTING_NUMBER, &runner.service_ms, 0, 60000, false,
         "time of a request"},
    };
    cs_settings_next next;
    int status;

    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "stand-in for an endpoint")) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    runner.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    status =
        standin_run(listen, on_request, &runner, g_main_loop_new(NULL, FALSE));
    g_hash_table_destroy(runner.runs);
    return status;
}
