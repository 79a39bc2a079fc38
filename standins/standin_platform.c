/* Stand-in for the platform: table service, object store and VM list. */
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"
#include "fake_table.h"
#include "standin.h"

#include <stdio.h>
#include <string.h>

struct platform {
    fake_table *table;
    standin_faults faults;
    GHashTable *objects; /* path to content */
    json_t *vms;
    json_t *visible_vms; /* what a request gets; lags behind vms */
    int64_t vm_lag_ms;
};

static gboolean
publish_vms(gpointer user_data)
{
    struct platform *platform = user_data;

    json_decref(platform->visible_vms);
    platform->visible_vms = json_deep_copy(platform->vms);
    return G_SOURCE_REMOVE;
}

static void
handle_vms(struct platform *platform, cs_http_request *request)
{
    json_t *body;

    if (strcmp(cs_http_request_method(request), "POST") == 0) {
        body = standin_read_json(request);
        if (json_is_object(body))
            json_object_update(platform->vms, body);
        json_decref(body);
        g_timeout_add((guint)platform->vm_lag_ms, publish_vms, platform);
    }
    standin_reply(request, 200, json_incref(platform->visible_vms),
                  &platform->faults);
}

static void
handle_object(struct platform *platform, cs_http_request *request)
{
    const char *path = cs_http_request_path(request);
    size_t size;
    const char *body = cs_http_request_body(request, &size);
    const char *object;

    if (strcmp(cs_http_request_method(request), "PUT") == 0) {
        g_hash_table_replace(platform->objects, g_strdup(path),
                             g_strndup(body, size));
        standin_reply(request, 200, json_object(), &platform->faults);
        return;
    }
    object = g_hash_table_lookup(platform->objects, path);
    cs_http_reply(request, object ? 200 : 404, "application/octet-stream",
                  object ? object : "", object ? strlen(object) : 0);
}

static void
handle_stats(struct platform *platform, cs_http_request *request)
{
    fake_table_stats stats = fake_table_get_stats(platform->table);
    standin_faults no_faults = {0};

    standin_reply(request, 200,
                  json_pack("{s:I,s:I,s:I,s:I,s:I}", "txns",
                            (json_int_t)stats.txns, "conflicts",
                            (json_int_t)stats.conflicts, "rows_written",
                            (json_int_t)stats.rows_written, "reads",
                            (json_int_t)stats.reads, "rows_read",
                            (json_int_t)stats.rows_read),
                  &no_faults);
}

static void
handle_faults(struct platform *platform, cs_http_request *request)
{
    json_t *body = standin_read_json(request);
    standin_faults no_faults = {0};

    standin_update_faults(&platform->faults, body);
    json_decref(body);
    standin_reply(request, 200, json_object(), &no_faults);
}

static void
handle_table(struct platform *platform, cs_http_request *request)
{
    json_t *body = standin_read_json(request);
    json_t *reply = NULL;
    int status;

    if (!body) {
        standin_reply(request, 400, json_object(), &platform->faults);
        return;
    }
    status = fake_table_call(&reply, platform->table,
                             cs_http_request_path(request), body);
    json_decref(body);
    standin_reply(request, status, reply, &platform->faults);
}

static void
on_request(cs_http_request *request, void *user_data)
{
    struct platform *platform = user_data;
    const char *path = cs_http_request_path(request);
    standin_faults no_faults = {0};

    if (strcmp(path, "/faults") == 0)
        handle_faults(platform, request);
    else if (strcmp(path, "/stats") == 0)
        handle_stats(platform, request);
    else if (platform->faults.outage)
        standin_reply(request, 503, json_object(), &no_faults);
    else if (g_str_has_prefix(path, "/v1/table/"))
        handle_table(platform, request);
    else if (g_str_has_prefix(path, "/v1/objects/"))
        handle_object(platform, request);
    else if (strcmp(path, "/v1/vms") == 0)
        handle_vms(platform, request);
    else
        standin_reply(request, 404, json_object(), &no_faults);
}

int
main(int argc, char **argv)
{
    struct platform platform = {.vm_lag_ms = 2000};
    const char *listen = "127.0.0.1:7000";
    const cs_setting options[] = {
        {"listen", CS_SETTING_ADDRESS, &listen, 0, 0, false,
         "address to listen on"},
        {"vm-lag-ms", CS_SETTING_NUMBER, &platform.vm_lag_ms, 0, 60000, false,
         "delay of changes to the VM list"},
    };
    cs_settings_next next;
    int status;

    if (cs_settings_parse(&next, NULL, options, G_N_ELEMENTS(options), argc,
                          argv, "stand-in for the platform")) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    platform.table = fake_table_create();
    platform.objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    platform.vms = json_object();
    platform.visible_vms = json_object();
    status = standin_run(listen, on_request, &platform,
                         g_main_loop_new(NULL, FALSE));
    fake_table_destroy(platform.table);
    g_hash_table_destroy(platform.objects);
    json_decref(platform.vms);
    json_decref(platform.visible_vms);
    return status;
}
