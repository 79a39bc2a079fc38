#include "corianderstair/net.h"
#include "corianderstair/errors.h"

#include <libwebsockets.h>

/* Limits the connections of the process, served and made ones together. */
#define MAX_DESCRIPTORS 12000
#define IO_TIMEOUT_S 3600

struct cs_net {
    struct lws_context *context;
    void *loops[1];
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
    if (!net->context) {
        g_free(net);
        return cs_error_set(CS_E_SYSTEM,
                            "cannot create the libwebsockets context");
    }
    *out = net;
    return 0;
}

void
cs_net_destroy(cs_net *net)
{
    if (!net)
        return;
    lws_context_destroy(net->context);
    g_free(net);
}

void *
cs_net_lws_context(cs_net *net)
{
    return net->context;
}
