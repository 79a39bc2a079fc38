/* The process of a VM on the users' platform: entry and holder in one. */
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

#include <glib-unix.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 20
#define STORE_CONNECTIONS 12
/* Calls of peers wait for each other, not ours for them. */
#define RELAY_CONNECTIONS 8
/* One for the open look at a worker, the others for orders. */
#define WORKER_CONNECTIONS 4
/* Workers that a holder calls by itself; 350 took a third of a core. */
#define DIRECT_WORKERS 150
/* The balancer goes on sending callers until it has missed two checks. */
#define LINGER_US (2600 * CS_MS_US)
/* Part of the grace that is kept for closing down. */
#define CLOSE_RESERVE_US (1000 * CS_MS_US)
#define EXIT_CUT 3

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

static cs_now
read_now(void *data)
{
    return cs_now_read();
}

static uint32_t
open_requests(const struct daemon *daemon)
{
    return cs_http_server_open(daemon->callers);
}

static void
close_down(struct daemon *daemon)
{
    int64_t now_us = cs_clock_boot_us();
    int64_t grace_us =
        daemon->settings.bounds.grace_ms * CS_MS_US - CLOSE_RESERVE_US;

    if (now_us - daemon->stop_us < LINGER_US)
        return;
    if (open_requests(daemon) > 0 && now_us - daemon->stop_us < grace_us)
        return;
    if (!cs_fleet_is_released(daemon->fleet) &&
        now_us - daemon->stop_us < grace_us)
        return;
    daemon->status = open_requests(daemon) > 0 ? EXIT_CUT : 0;
    cs_log_event("stop", "open requests %u", open_requests(daemon));
    g_main_loop_quit(daemon->loop);
}

/* Bounds change; addresses are bound for the life of the process. */
static void
reload_settings(struct daemon *daemon)
{
    cs_vm_settings fresh;

    if (platform_settings_load(&fresh, cs_file_watch_path(daemon->watch))) {
        cs_log_event("settings-rejected", "%s", cs_error_last());
        return;
    }
    daemon->settings.bounds = fresh.bounds;
    daemon->board.settings.bounds = fresh.bounds;
    daemon->board.settings.cpu_share = fresh.cpu_share;
    cs_log_event("settings-reloaded", "lease %" PRId64 " ms",
                 fresh.bounds.worker_lease_ms);
}

static void
tick_dispatch(struct daemon *daemon)
{
    cs_peer_link_tick(daemon->link);
    cs_executor_tick(daemon->executor);
    cs_dispatch_tick(daemon->dispatch, !cs_fleet_is_released(daemon->fleet),
                     cs_fleet_worker_count(daemon->fleet));
}

static gboolean
on_tick(gpointer data)
{
    struct daemon *daemon = data;

    if (cs_file_watch_changed(daemon->watch, cs_clock_boot_us()))
        reload_settings(daemon);
    cs_members_tick(daemon->members);
    cs_config_follower_tick(daemon->follower);
    cs_entry_tick(daemon->entry);
    cs_fleet_tick(daemon->fleet);
    if (daemon->link)
        tick_dispatch(daemon);
    if (daemon->stop_us)
        close_down(daemon);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_stop_signal(gpointer data)
{
    struct daemon *daemon = data;

    if (daemon->stop_us)
        return G_SOURCE_CONTINUE;
    daemon->stop_us = cs_clock_boot_us();
    daemon->board.draining = true;
    cs_fleet_release(daemon->fleet);
    cs_http_server_end_connections(daemon->callers);
    cs_log_event("stopping", "open requests %u", open_requests(daemon));
    return G_SOURCE_CONTINUE;
}

static gboolean
on_reload_signal(gpointer data)
{
    reload_settings(data);
    return G_SOURCE_CONTINUE;
}

static void
reply_status(struct daemon *daemon, cs_http_request *request)
{
    json_t *status = cs_fleet_status(daemon->fleet);
    char *text;

    json_object_set_new(
        status, "relayed",
        json_boolean(cs_store_router_is_relayed(daemon->router)));
    json_object_set_new(status, "open_requests",
                        json_integer(open_requests(daemon)));
    if (daemon->dispatch)
        json_object_set_new(status, "executors",
                            cs_dispatch_status(daemon->dispatch));
    text = json_dumps(status, JSON_COMPACT);
    cs_http_reply(request, 200, "application/json", text, strlen(text));
    free(text);
    json_decref(status);
}

#define JOBS_PREFIX "/v1/fleet/jobs/"

static void
reply_job(struct daemon *daemon, cs_http_request *request)
{
    const char *id = cs_http_request_path(request) + strlen(JOBS_PREFIX);
    json_t *job = cs_fleet_explain(daemon->fleet, id);
    char *text;

    if (!job)
        job = json_pack("{s:i,s:s,s:s}", "code", CS_E_NOT_FOUND, "name",
                        cs_error_name(CS_E_NOT_FOUND), "message",
                        cs_fleet_is_holder(daemon->fleet)
                            ? "no such job"
                            : "this VM does not hold the cell");
    text = json_dumps(job, JSON_COMPACT);
    cs_http_reply(request, json_object_get(job, "code") ? 404 : 200,
                  "application/json", text, strlen(text));
    free(text);
    json_decref(job);
}

static void
reply_metrics(struct daemon *daemon, cs_http_request *request)
{
    GString *text = g_string_new(NULL);

    cs_counters_print(daemon->counters, text);
    cs_http_reply(request, 200, "text/plain", text->str, text->len);
    g_string_free(text, TRUE);
}

/* The address for peers and operators. */
static void
on_peer_request(cs_http_request *request, void *data)
{
    static const char missing[] = "{\"error\":\"not-found\"}\n";
    struct daemon *daemon = data;
    const char *path = cs_http_request_path(request);

    if (platform_relay_takes(request))
        platform_relay_handle(request, &daemon->relay);
    else if (strcmp(path, "/metrics") == 0)
        reply_metrics(daemon, request);
    else if (strcmp(path, "/v1/fleet") == 0)
        reply_status(daemon, request);
    else if (g_str_has_prefix(path, JOBS_PREFIX))
        reply_job(daemon, request);
    else
        cs_http_reply(request, 404, "application/json", missing,
                      sizeof(missing) - 1);
}

static int
listen_on(cs_http_server **out, struct daemon *daemon, const char *address,
          cs_http_handler handler, void *data)
{
    char ip[32];
    uint16_t port;
    int rc = cs_address_split(ip, sizeof(ip), &port, address);

    if (!rc)
        rc = cs_http_server_create(out, daemon->net, ip, port, handler, data);
    return rc;
}

static const cs_store_port *
open_peer(void *data, const char *address)
{
    struct daemon *daemon = data;
    platform_store *store = g_hash_table_lookup(daemon->peer_stores, address);

    if (!store) {
        store =
            platform_store_create(daemon->client, daemon->counters, address);
        g_hash_table_insert(daemon->peer_stores, g_strdup(address), store);
    }
    return platform_store_port(store);
}

static void
create_router(struct daemon *daemon)
{
    cs_store_router_settings settings = {
        .direct = platform_store_port(daemon->store),
        .open = open_peer,
        .open_data = daemon,
        .own_name = daemon->settings.name,
        .now = read_now,
        .counters = daemon->counters};
    size_t i;

    daemon->peer_stores =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                              (GDestroyNotify)platform_store_destroy);
    daemon->router = cs_store_router_create(&settings);
    for (i = 0; i < G_N_ELEMENTS(daemon->settings.seeds); i++) {
        const char *seed = daemon->settings.seeds[i];

        if (*seed && strcmp(seed, daemon->settings.peer_address) != 0)
            cs_store_router_add_peer(daemon->router, seed);
    }
    daemon->relay.client = daemon->relay_client;
    daemon->relay.store_address = daemon->settings.store_address;
}

/* Port 0 lets the kernel choose; peers have to know which. */
static void
publish_peer_address(struct daemon *daemon)
{
    cs_vm_settings *settings = &daemon->board.settings;
    char ip[32];
    uint16_t port;

    if (cs_address_split(ip, sizeof(ip), &port, settings->peer_address))
        return;
    g_snprintf(settings->peer_address, sizeof(settings->peer_address), "%s:%u",
               ip, cs_http_server_port(daemon->peers));
}

static void
on_peer_message(void *data, const char *from, uint8_t kind, const void *bytes,
                size_t size_bytes)
{
    struct daemon *daemon = data;

    switch (kind) {
    case CS_PEER_ORDERS:
        cs_executor_receive(daemon->executor, from, bytes, size_bytes);
        return;
    case CS_PEER_ANSWERS:
        cs_dispatch_receive(daemon->dispatch, from, bytes, size_bytes);
        return;
    default:
        return;
    }
}

/* Port 0 lets the kernel choose; peers have to know which. */
static int
create_link(struct daemon *daemon)
{
    cs_vm_settings *settings = &daemon->settings;
    int rc;

    if (!settings->link_address[0])
        return 0;
    rc = cs_peer_link_create(&daemon->link, daemon->counters,
                             settings->link_address, on_peer_message, daemon);
    if (!rc)
        g_strlcpy(settings->link_address, cs_peer_link_address(daemon->link),
                  sizeof(settings->link_address));
    return rc;
}

static void
create_dispatch(struct daemon *daemon)
{
    const cs_worker_port *direct = platform_workers_port(daemon->workers);
    cs_executor_settings carrying = {.workers = direct,
                                     .link =
                                         cs_peer_link_port_of(daemon->link),
                                     .now = read_now,
                                     .counters = daemon->counters};
    cs_dispatch_settings giving = {.direct = direct,
                                   .link = cs_peer_link_port_of(daemon->link),
                                   .members = daemon->members,
                                   .own_name = daemon->settings.name,
                                   .direct_max =
                                       (uint32_t)daemon->direct_workers,
                                   .now = read_now,
                                   .counters = daemon->counters};

    daemon->executor = cs_executor_create(&carrying);
    daemon->dispatch = cs_dispatch_create(&giving);
    daemon->board.ports.workers = cs_dispatch_port(daemon->dispatch);
}

static void
create_parts(struct daemon *daemon)
{
    cs_fleet_ports ports = {
        .now = read_now,
        .decode_config = platform_config_decode,
        .config_table = PLATFORM_CONFIG_TABLE,
        .config_key = PLATFORM_CONFIG_KEY,
        .decode_worker = platform_worker_entry_decode,
        .workers_table = PLATFORM_WORKERS_TABLE,
    };

    daemon->store = platform_store_create(daemon->client, daemon->counters,
                                          daemon->settings.store_address);
    daemon->workers =
        platform_workers_create(daemon->worker_client, daemon->counters);
    create_router(daemon);
    ports.store = cs_store_router_port(daemon->router);
    ports.workers = platform_workers_port(daemon->workers);
    if (daemon->settings.adviser_address[0]) {
        daemon->adviser =
            platform_adviser_create(daemon->client, daemon->counters,
                                    daemon->settings.adviser_address);
        ports.adviser = platform_adviser_port(daemon->adviser);
    }
    cs_fleet_board_init(&daemon->board, &ports, &daemon->settings,
                        daemon->counters);
    daemon->members = cs_members_create(&daemon->board, daemon->router);
    if (daemon->link)
        create_dispatch(daemon);
    daemon->follower = cs_config_follower_create(&daemon->board);
    daemon->entry = cs_entry_create(&daemon->board);
    daemon->fleet = cs_fleet_create(&daemon->board);
}

static int
create(struct daemon *daemon)
{
    int rc;

    daemon->loop = g_main_loop_new(NULL, FALSE);
    daemon->counters = cs_counters_create();
    rc = cs_net_create(&daemon->net, daemon->loop);
    if (!rc)
        rc = cs_http_client_create(&daemon->client, daemon->net,
                                   STORE_CONNECTIONS);
    if (!rc)
        rc = cs_http_client_create(&daemon->worker_client, daemon->net,
                                   WORKER_CONNECTIONS);
    if (!rc)
        rc = cs_http_client_create(&daemon->relay_client, daemon->net,
                                   RELAY_CONNECTIONS);
    if (!rc)
        rc = create_link(daemon);
    if (rc)
        return rc;
    create_parts(daemon);
    rc = listen_on(&daemon->callers, daemon, daemon->settings.caller_address,
                   platform_callers_handle, daemon->entry);
    if (!rc)
        cs_http_server_set_deadline_header(daemon->callers,
                                           PLATFORM_DEADLINE_HEADER);
    if (!rc)
        rc = listen_on(&daemon->ready, daemon, daemon->settings.ready_address,
                       platform_ready_handle, daemon->entry);
    if (!rc && daemon->settings.peer_address[0])
        rc = listen_on(&daemon->peers, daemon, daemon->settings.peer_address,
                       on_peer_request, daemon);
    if (!rc && daemon->peers)
        publish_peer_address(daemon);
    return rc;
}

static void
destroy(struct daemon *daemon)
{
    if (daemon->client)
        cs_http_client_close(daemon->client);
    if (daemon->worker_client)
        cs_http_client_close(daemon->worker_client);
    if (daemon->relay_client)
        cs_http_client_close(daemon->relay_client);
    cs_net_destroy(daemon->net);
    cs_dispatch_close(daemon->dispatch);
    cs_http_client_destroy(daemon->client);
    cs_http_client_destroy(daemon->worker_client);
    cs_http_client_destroy(daemon->relay_client);
    cs_fleet_destroy(daemon->fleet);
    cs_entry_destroy(daemon->entry);
    cs_http_server_destroy(daemon->callers);
    cs_http_server_destroy(daemon->ready);
    cs_http_server_destroy(daemon->peers);
    cs_config_follower_destroy(daemon->follower);
    if (daemon->members)
        cs_fleet_board_dispose(&daemon->board);
    cs_members_destroy(daemon->members);
    cs_store_router_destroy(daemon->router);
    if (daemon->peer_stores)
        g_hash_table_destroy(daemon->peer_stores);
    platform_store_destroy(daemon->store);
    platform_workers_destroy(daemon->workers);
    platform_adviser_destroy(daemon->adviser);
    cs_dispatch_destroy(daemon->dispatch);
    cs_executor_destroy(daemon->executor);
    cs_peer_link_destroy(daemon->link);
    cs_counters_destroy(daemon->counters);
    g_main_loop_unref(daemon->loop);
}

static void
log_start(const struct daemon *daemon)
{
    char ip[32];
    uint16_t port = 0;

    cs_address_split(ip, sizeof(ip), &port, daemon->settings.caller_address);
    cs_log_event("start", "callers on %s:%u, zone %s, peers %s, store %s", ip,
                 cs_http_server_port(daemon->callers), daemon->settings.zone,
                 daemon->board.settings.peer_address,
                 daemon->settings.store_address);
}

static int
run(struct daemon *daemon)
{
    int rc = create(daemon);

    if (rc) {
        fprintf(stderr, "cs-fleetd: %s\n", cs_error_last());
        destroy(daemon);
        return 1;
    }
    log_start(daemon);
    g_unix_signal_add(SIGTERM, on_stop_signal, daemon);
    g_unix_signal_add(SIGINT, on_stop_signal, daemon);
    g_unix_signal_add(SIGHUP, on_reload_signal, daemon);
    g_timeout_add(TICK_MS, on_tick, daemon);
    g_main_loop_run(daemon->loop);
    destroy(daemon);
    return daemon->status;
}

int
main(int argc, char **argv)
{
    const char *path = g_getenv(PLATFORM_SETTINGS_VARIABLE);
    struct daemon daemon = {.direct_workers = DIRECT_WORKERS};
    const cs_setting table[] = {
        {"settings", CS_SETTING_TEXT, &path, 1, 4096, false,
         "settings file that the platform writes"},
        {"direct-workers", CS_SETTING_NUMBER, &daemon.direct_workers, 0,
         100000, false, "more workers than these are called by other VMs"},
    };
    cs_settings_next next;
    int status;

    signal(SIGPIPE, SIG_IGN);
    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "entry and scheduler of a VM")) {
        fprintf(stderr, "cs-fleetd: %s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    if (!path) {
        fprintf(stderr, "cs-fleetd: --settings or %s is required\n",
                PLATFORM_SETTINGS_VARIABLE);
        return 2;
    }
    if (platform_settings_load(&daemon.settings, path)) {
        fprintf(stderr, "cs-fleetd: %s\n", cs_error_last());
        return 2;
    }
    cs_log_init(daemon.settings.name);
    daemon.watch = cs_file_watch_create(path);
    status = run(&daemon);
    cs_file_watch_destroy(daemon.watch);
    return status;
}
