/**
 * @file net.h
 * The network context of a process, driven by its GLib main loop. HTTP servers
 * and clients are created on it.
 */
#ifndef CS_NET_H
#define CS_NET_H

#include <glib.h>

typedef struct cs_net cs_net;

/**
 * Creates the context. Free it with cs_net_destroy.
 * @param loop the loop that drives all I/O; borrowed
 * @return 0 or CS_E_SYSTEM
 */
int cs_net_create(cs_net **out, GMainLoop *loop);

/**
 * Closes every connection and frees the context; NULL is allowed. Close the
 * clients (cs_http_client_close) before, and destroy the servers and clients
 * after it.
 */
void cs_net_destroy(cs_net *net);

/** @return the underlying struct lws_context, owned by net */
void *cs_net_lws_context(cs_net *net);

#endif
