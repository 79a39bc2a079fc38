/* Stand-in for the platform: table service, object store, VM list. */
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"
#include "fake_table.h"
#include "standin.h"

#include <stdio.h>
#include <string.h>

struct platform {
    fake_table *table;
    standin_faults faults;
    GHashTable *objects;
    json_t *vms;
    json_t *vms_shown; /* what the lagging list shows */
    int64_t vm_lag_ms;
};

static gboolean
show_vms(gpointer data)
{
    struct platform *p = data;

    json_decref(p->vms_shown);
    p->vms_shown = json_deep_copy(p->vms);
    return G_SOURCE_REMOVE;
}

static void
handle_vms(struct platform *p, cs_http_request *request)
{
    json_t *body;

    if (strcmp(cs_http_request_method(request), "POST") == 0) {
        body = standin_body(request);
        if (json_is_object(body))
            json_object_update(p->vms, body);
        json_decref(body);
        g_timeout_add((guint)p->vm_lag_ms, show_vms, p);
    }
    standin_reply(request, 200, json_incref(p->vms_shown), &p->faults);
}

static void
handle_object(struct platform *p, cs_http_request *request)
{
    const char *path = cs_http_request_path(request);
    size_t size;
    const char *body = cs_http_request_body(request, &size);
    const char *found;

    if (strcmp(cs_http_request_method(request), "PUT") == 0) {
        g_hash_table_replace(p->objects, g_strdup(path),
                             g_strndup(body, size));
        standin_reply(request, 200, json_object(), &p->faults);
        return;
    }
    found = g_hash_table_lookup(p->objects, path);
    cs_http_reply(request, found ? 200 : 404, "application/octet-stream",
                  found ? found : "", found ? strlen(found) : 0);
}

static void
handle_stats(struct platform *p, cs_http_request *request)
{
    fake_table_stats s = fake_table_get_stats(p->table);
    standin_faults sound = {0};

    standin_reply(
        request, 200,
        json_pack("{s:I,s:I,s:I,s:I,s:I}", "txns", (json_int_t)s.txns,
                  "conflicts", (json_int_t)s.conflicts, "rows_written",
                  (json_int_t)s.rows_written, "reads", (json_int_t)s.reads,
                  "rows_read", (json_int_t)s.rows_read),
        &sound);
}

static void
handle_faults(struct platform *p, cs_http_request *request)
{
    json_t *body = standin_body(request);
    standin_faults sound = {0};

    standin_read_faults(&p->faults, body);
    json_decref(body);
    standin_reply(request, 200, json_object(), &sound);
}

static void
handle_table(struct platform *p, cs_http_request *request)
{
    json_t *body = standin_body(request);
    json_t *reply = NULL;
    int status;

    if (!body) {
        standin_reply(request, 400, json_object(), &p->faults);
        return;
    }
    status =
        fake_table_call(&reply, p->table, cs_http_request_path(request), body);
    json_decref(body);
    standin_reply(request, status, reply, &p->faults);
}

static void
on_request(cs_http_request *request, void *data)
{
    struct platform *p = data;
    const char *path = cs_http_request_path(request);
    standin_faults sound = {0};

    if (strcmp(path, "/faults") == 0)
        handle_faults(p, request);
    else if (strcmp(path, "/stats") == 0)
        handle_stats(p, request);
    else if (p->faults.outage)
        standin_reply(request, 503, json_object(), &sound);
    else if (g_str_has_prefix(path, "/v1/table/"))
        handle_table(p, request);
    else if (g_str_has_prefix(path, "/v1/objects/"))
        handle_object(p, request);
    else if (strcmp(path, "/v1/vms") == 0)
        handle_vms(p, request);
    else
        standin_reply(request, 404, json_object(), &sound);
}

int
main(int argc, char **argv)
{
    struct platform p = {.vm_lag_ms = 2000};
    const char *listen = "127.0.0.1:7000";
    const cs_setting table[] = {
        {"listen", CS_SETTING_ADDRESS, &listen, 0, 0, false, "address"},
        {"vm-lag-ms", CS_SETTING_NUMBER, &p.vm_lag_ms, 0, 60000, false,
         "lag of the VM list"},
    };
    cs_settings_next next;
    int status;

    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "stand-in for the platform")) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    p.table = fake_table_create();
    p.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    p.vms = json_object();
    p.vms_shown = json_object();
    status = standin_run(listen, on_request, &p, g_main_loop_new(NULL, FALSE));
    fake_table_destroy(p.table);
    g_hash_table_destroy(p.objects);
    json_decref(p.vms);
    json_decref(p.vms_shown);
    return status;
}
