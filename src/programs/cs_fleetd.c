/* The process of a VM on the users' platform: entry and holder in one. */
#include "fleetd.h"

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

cs_now
daemon_now(void *data)
{
    return cs_now_read();
}

uint32_t
daemon_open_requests(const struct daemon *daemon)
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
    if (daemon_open_requests(daemon) > 0 &&
        now_us - daemon->stop_us < grace_us)
        return;
    if (!cs_fleet_is_released(daemon->fleet) &&
        now_us - daemon->stop_us < grace_us)
        return;
    daemon->status = daemon_open_requests(daemon) > 0 ? EXIT_CUT : 0;
    cs_log_event("stop", "open requests %u", daemon_open_requests(daemon));
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
        daemon_tick_dispatch(daemon);
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
    cs_log_event("stopping", "open requests %u", daemon_open_requests(daemon));
    return G_SOURCE_CONTINUE;
}

static gboolean
on_reload_signal(gpointer data)
{
    reload_settings(data);
    return G_SOURCE_CONTINUE;
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
        .now = daemon_now,
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
create_parts(struct daemon *daemon)
{
    cs_fleet_ports ports = {
        .now = daemon_now,
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
        daemon_create_dispatch(daemon);
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
    if (rc)
        return rc;
    daemon_create_link(daemon);
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
                       daemon_on_peer_request, daemon);
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
    daemon_destroy_dispatch(daemon);
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
