/* Private declarations of the network context, for the HTTP servers. */
#ifndef CS_NET_INTERNAL_H
#define CS_NET_INTERNAL_H

#include "corianderstair/net.h"
#include "poller.h"

/* The sockets of the HTTP servers of the process. */
struct poller *net_poller(cs_net *net);
/* Registers a callback that cs_net_destroy calls once. */
void net_on_destroy(cs_net *net, void (*callback)(void *user_data),
                    void *user_data);

#endif
