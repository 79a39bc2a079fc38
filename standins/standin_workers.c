/* Stand-in for many workers behind one address. */
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"
#include "fake_worker.h"
#include "standin.h"

#include <stdio.h>
#include <string.h>

#define TICK_MS 50

struct floor {
    GHashTable *workers;
    int64_t accelerators;
    standin_faults faults;
    uint64_t calls;
};

static fake_worker *
find_worker(struct floor *floor, const char *name)
{
    fake_worker *worker = g_hash_table_lookup(floor->workers, name);

    if (!worker) {
        worker = fake_worker_create(name, (uint32_t)floor->accelerators);
        g_hash_table_insert(floor->workers, g_strdup(name), worker);
    }
    return worker;
}

static json_t *
record_of(const fake_worker *worker)
{
    uint32_t count;
    const fake_worker_event *events = fake_worker_record(worker, &count);
    json_t *list = json_array();
    uint32_t i;

    for (i = 0; i < count; i++)
        json_array_append_new(
            list,
            json_pack("{s:I,s:s,s:s,s:I,s:I,s:s,s:i}", "at_us",
                      (json_int_t)events[i].at_us, "job", events[i].job,
                      "token", events[i].token, "epoch",
                      (json_int_t)events[i].epoch, "mask",
                      (json_int_t)events[i].mask, "what",
                      events[i].what == FAKE_STARTED ? "started" : "ended",
                      "exit", events[i].exit_code));
    return list;
}

static void
handle_record(struct floor *floor, cs_http_request *request)
{
    json_t *all = json_object();
    standin_faults sound = {0};
    GHashTableIter iter;
    gpointer name;
    gpointer worker;

    g_hash_table_iter_init(&iter, floor->workers);
    while (g_hash_table_iter_next(&iter, &name, &worker)) {
        json_t *record = record_of(worker);

        if (json_array_size(record) > 0)
            json_object_set_new(all, name, record);
        else
            json_decref(record);
    }
    standin_reply(request, 200, all, &sound);
}

static void
set_worker_faults(struct floor *floor, const json_t *body)
{
    const char *name = json_string_value(json_object_get(body, "worker"));
    fake_worker_faults faults = {
        .fail_tasks = json_is_true(json_object_get(body, "fail_tasks")),
        .refuse_starts = json_is_true(json_object_get(body, "refuse_starts"))};

    if (!name)
        return;
    fake_worker_set_faults(find_worker(floor, name), faults);
    if (json_is_true(json_object_get(body, "restart")))
        fake_worker_restart(find_worker(floor, name), cs_now_read());
}

static void
handle_faults(struct floor *floor, cs_http_request *request)
{
    json_t *body = standin_body(request);
    standin_faults sound = {0};

    standin_read_faults(&floor->faults, body);
    set_worker_faults(floor, body);
    json_decref(body);
    standin_reply(request, 200, json_object(), &sound);
}

/* Path: /v1/workers/NAME/orders */
static void
handle_orders(struct floor *floor, cs_http_request *request)
{
    gchar **parts = g_strsplit(cs_http_request_path(request), "/", 6);
    json_t *body = standin_body(request);
    json_t *reply = NULL;
    int status = 404;

    floor->calls++;
    if (g_strv_length(parts) == 5 && body)
        status = fake_worker_call(&reply, find_worker(floor, parts[3]), body,
                                  cs_now_read());
    json_decref(body);
    g_strfreev(parts);
    standin_reply(request, status, reply ? reply : json_object(),
                  &floor->faults);
}

static void
on_request(cs_http_request *request, void *data)
{
    struct floor *floor = data;
    const char *path = cs_http_request_path(request);
    standin_faults sound = {0};

    if (strcmp(path, "/faults") == 0)
        handle_faults(floor, request);
    else if (strcmp(path, "/record") == 0)
        handle_record(floor, request);
    else if (floor->faults.outage)
        standin_reply(request, 503, json_object(), &sound);
    else if (g_str_has_prefix(path, "/v1/workers/"))
        handle_orders(floor, request);
    else
        standin_reply(request, 404, json_object(), &sound);
}

static gboolean
on_tick(gpointer data)
{
    struct floor *floor = data;
    GHashTableIter iter;
    gpointer worker;

    g_hash_table_iter_init(&iter, floor->workers);
    while (g_hash_table_iter_next(&iter, NULL, &worker))
        fake_worker_tick(worker, cs_now_read());
    return G_SOURCE_CONTINUE;
}

int
main(int argc, char **argv)
{
    struct floor floor = {.accelerators = 8};
    const char *listen = "127.0.0.1:7100";
    const cs_setting table[] = {
        {"listen", CS_SETTING_ADDRESS, &listen, 0, 0, false, "address"},
        {"accelerators", CS_SETTING_NUMBER, &floor.accelerators, 0, 64, false,
         "accelerators of each worker"},
    };
    cs_settings_next next;
    int status;

    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "stand-in for workers")) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    floor.workers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)fake_worker_destroy);
    g_timeout_add(TICK_MS, on_tick, &floor);
    status =
        standin_run(listen, on_request, &floor, g_main_loop_new(NULL, FALSE));
    g_hash_table_destroy(floor.workers);
    return status;
}
