/* Shared by the files of cs-fleetd. */
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
    int64_t direct_workers; /* more are called through executors */
    cs_file_watch *watch;   /* of the settings file */
    cs_fleet_board board;
    cs_counters *counters;
    GMainLoop *loop;
    cs_net *net;
    cs_http_client *client;        /* to the store and to peers */
    cs_http_client *worker_client; /* to workers */
    cs_http_client *relay_client;  /* to the store, for peers */
    cs_http_server *callers;
    cs_http_server *ready;
    cs_http_server *peers;
    platform_store *store;
    GHashTable *peer_stores; /* address to platform_store */
    platform_relay relay;
    cs_store_router *router;
    cs_members *members;
    platform_workers *workers;
    cs_peer_link *link;    /* NULL without an address for it */
    cs_executor *executor; /* carries out orders of another holder */
    cs_dispatch *dispatch; /* gives our orders to others */
    platform_adviser *adviser;
    cs_config_follower *follower;
    cs_entry *entry;
    cs_fleet *fleet;
    int64_t stop_us; /* boot clock of SIGTERM; 0 none */
    int status;
};

/* cs_fleetd.c */
cs_now daemon_now(void *data);
uint32_t daemon_open_requests(const struct daemon *daemon);

/* fleetd_pages.c */
/* Answers on the address for peers and operators. */
void daemon_on_peer_request(cs_http_request *request, void *data);

/* fleetd_dispatch.c */
/* Opens the link to other VMs, if the settings name its address. */
void daemon_create_link(struct daemon *daemon);
/* Calls workers through executors from now on, where there is a link. */
void daemon_create_dispatch(struct daemon *daemon);
void daemon_tick_dispatch(struct daemon *daemon);
void daemon_destroy_dispatch(struct daemon *daemon);

#endif
