#include "standin.h"
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct delayed_reply {
    cs_http_request *request;
    int status;
    char *text;
};

static void
send_reply(struct delayed_reply *delayed)
{
    cs_http_reply(delayed->request, delayed->status, "application/json",
                  delayed->text, strlen(delayed->text));
    free(delayed->text);
    g_free(delayed);
}

static gboolean
on_delay_end(gpointer user_data)
{
    send_reply(user_data);
    return G_SOURCE_REMOVE;
}

void
standin_reply(cs_http_request *request, int status, json_t *body,
              standin_faults *faults)
{
    struct delayed_reply *delayed = g_new0(struct delayed_reply, 1);

    delayed->request = request;
    delayed->status = status;
    delayed->text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    if (faults->silent || faults->lose_answers > 0) {
        /* Without a reply, the caller waits until its own deadline. */
        if (!faults->silent)
            faults->lose_answers--;
        free(delayed->text);
        g_free(delayed);
        return;
    }
    if (faults->delay_ms > 0)
        g_timeout_add((guint)faults->delay_ms, on_delay_end, delayed);
    else
        send_reply(delayed);
}

void
standin_update_faults(standin_faults *faults, const json_t *body)
{
    const json_t *value;

    if ((value = json_object_get(body, "outage")) != NULL)
        faults->outage = json_is_true(value);
    if ((value = json_object_get(body, "silent")) != NULL)
        faults->silent = json_is_true(value);
    if ((value = json_object_get(body, "delay_ms")) != NULL)
        faults->delay_ms = json_integer_value(value);
    if ((value = json_object_get(body, "lose_answers")) != NULL)
        faults->lose_answers = json_integer_value(value);
}

json_t *
standin_read_json(cs_http_request *request)
{
    size_t size;
    const char *body = cs_http_request_body(request, &size);

    return json_loadb(body, size, 0, NULL);
}

static gboolean
on_signal(gpointer user_data)
{
    g_main_loop_quit(user_data);
    return G_SOURCE_REMOVE;
}

int
standin_run(const char *listen, cs_http_handler handler, void *user_data,
            GMainLoop *loop)
{
    cs_net *net;
    cs_http_server *server;
    char ip[32];
    uint16_t port;

    signal(SIGPIPE, SIG_IGN);
    if (cs_address_split(ip, sizeof(ip), &port, listen) ||
        cs_net_create(&net, loop) ||
        cs_http_server_create(&server, net, ip, port, handler, user_data)) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 1;
    }
    g_unix_signal_add(SIGTERM, on_signal, loop);
    g_unix_signal_add(SIGINT, on_signal, loop);
    printf("ready %s:%u\n", ip, cs_http_server_port(server));
    fflush(stdout);
    g_main_loop_run(loop);
    cs_net_destroy(net);
    cs_http_server_destroy(server);
    g_main_loop_unref(loop);
    return 0;
}
