/* Declarations shared by the source files of cs-fleetd. */
#ifndef FLEETD_H
#define FLEETD_H

#include "corianderstair/config_follower.h"
#include "corianderstair/dispatch.h"
#include "corianderstair/executor.h"
#include "corianderstair/entry.h"
#include "corianderstair/errors.h"
#include "corianderstair/file_watch.h"
#include "corianderstair/fleet.h"
#include "corianderstair/http_client.h"
#include "corianderstair/http_server.h"
#include "corianderstair/log.h"
#include "corianderstair/members.h"
#include "corianderstair/settings.h"

#include "adviser.h"
#include "callers.h"
#include "config.h"
#include "relay.h"
#include "settings.h"
#include "store.h"
#include "workers.h"

struct daemon {
    cs_vm_settings settings;
    int64_t max_direct_workers; /* above it, calls go through executors */
    cs_file_watch *settings_watch;
    cs_fleet_state state;
    cs_counters *counters;
    GMainLoop *loop;
    cs_net *net;
    cs_http_client *platform_client; /* to store, peers and adviser */
    cs_http_client *worker_client;   /* to workers */
    cs_http_client *relay_client;    /* relayed calls of peers to the store */
    cs_http_server *caller_server;
    cs_http_server *readiness_server;
    cs_http_server *peer_server;
    platform_store *store;
    GHashTable *peer_stores; /* peer address to platform_store */
    platform_relay relay;
    cs_store_router *store_router;
    cs_members *members;
    platform_workers *worker_calls;
    cs_peer_link *peer_link; /* NULL without an address or on failure */
    cs_executor *executor;   /* makes calls for a holder on another VM */
    cs_dispatch *dispatch;   /* distributes this holder's calls */
    platform_adviser *adviser;
    cs_config_follower *config_follower;
    cs_entry *entry;
    cs_fleet *fleet;
    int64_t stop_signal_us; /* boot clock; 0: no stop signal yet */
    int exit_status;
};

/* cs_fleetd.c */
cs_now daemon_now(void *user_data);
uint32_t daemon_open_requests(const struct daemon *daemon);

/* fleetd_peer_requests.c */
/* Handles requests on the address for peers and operators. */
void daemon_on_peer_request(cs_http_request *request, void *user_data);

/* fleetd_dispatch.c */
/* Opens the message link to other VMs if the settings contain its address. */
void daemon_create_link(struct daemon *daemon);
/* Routes the calls to workers through daemon->dispatch from now on. Requires
   an open peer link. */
void daemon_create_dispatch(struct daemon *daemon);
void daemon_tick_dispatch(struct daemon *daemon);
void daemon_destroy_dispatch(struct daemon *daemon);

#endif
