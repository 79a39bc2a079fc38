#include "net_internal.h"
#include "corianderstair/errors.h"

#include <libwebsockets.h>

/* Limits the connections that the process makes. */
#define MAX_DESCRIPTORS 12000
#define IO_TIMEOUT_S 3600

struct cs_net {
    struct lws_context *context;
    void *loops[1];
    struct poller *poller;
    GArray *listeners; /* of struct destroy_listener */
};

struct destroy_listener {
    void (*callback)(void *user_data);
    void *user_data;
};

int
cs_net_create(cs_net **out, GMainLoop *loop)
{
    struct lws_context_creation_info info = {0};
    cs_net *net = g_new0(cs_net, 1);

    lws_set_log_level(LLL_ERR, NULL);
    net->loops[0] = loop;
    info.options = LWS_SERVER_OPTION_GLIB | LWS_SERVER_OPTION_EXPLICIT_VHOSTS |
                   LWS_SERVER_OPTION_DISABLE_IPV6;
    info.foreign_loops = net->loops;
    info.fd_limit_per_thread = MAX_DESCRIPTORS;
    /* A fallback only: each call has an earlier deadline of its own. */
    info.timeout_secs = IO_TIMEOUT_S;
    info.port = CONTEXT_PORT_NO_LISTEN;
    net->context = lws_create_context(&info);
    net->poller = poller_create();
    net->listeners =
        g_array_new(FALSE, FALSE, sizeof(struct destroy_listener));
    if (!net->context || !net->poller) {
        cs_net_destroy(net);
        return cs_error_set(CS_E_SYSTEM, "cannot create the network context");
    }
    *out = net;
    return 0;
}

void
cs_net_destroy(cs_net *net)
{
    guint i;

    if (!net)
        return;
    for (i = 0; i < net->listeners->len; i++) {
        const struct destroy_listener *listener =
            &g_array_index(net->listeners, struct destroy_listener, i);

        listener->callback(listener->user_data);
    }
    g_array_free(net->listeners, TRUE);
    if (net->context)
        lws_context_destroy(net->context);
    poller_destroy(net->poller);
    g_free(net);
}

struct poller *
net_poller(cs_net *net)
{
    return net->poller;
}

void
net_on_destroy(cs_net *net, void (*callback)(void *user_data), void *user_data)
{
    struct destroy_listener listener = {callback, user_data};

    g_array_append_val(net->listeners, listener);
}

void *
cs_net_lws_context(cs_net *net)
{
    return net->context;
}
