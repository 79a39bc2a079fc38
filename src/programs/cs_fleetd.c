/* cs-fleetd: the process of a VM on the users' platform. It accepts callers'
   requests and schedules the cell if it holds it. */
#include "fleetd.h"

#include <glib-unix.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 20
#define PLATFORM_CONNECTIONS 12
/* Relayed calls of peers have their own client, so that this VM's calls to the
   store never queue behind them. */
#define RELAY_CONNECTIONS 8
/* Per worker: one carries the open heartbeat, the others carry orders. */
#define WORKER_CONNECTIONS 4
/* Default of --direct-workers. The calls to 350 workers took a third of a
   core. */
#define DEFAULT_MAX_DIRECT_WORKERS 150
/* The load balancer routes requests to this VM until two readiness checks have
   failed, so the process serves at least this long after SIGTERM. */
#define BALANCER_DRAIN_US (2600 * CS_MS_US)
/* Part of the grace period that is reserved for closing connections and
   exiting. */
#define EXIT_RESERVE_US (1000 * CS_MS_US)
/* Parts of the machine that the clients of each listener may hold, together a
   quarter of the memory. A third of the descriptors remains for the calls to
   store, workers and peers. */
#define CALLERS_MEMORY_PERCENT 12
#define CALLERS_DESCRIPTOR_PERCENT 36
#define PEERS_MEMORY_PERCENT 12
#define PEERS_DESCRIPTOR_PERCENT 24
#define READINESS_MEMORY_PERCENT 1
#define READINESS_DESCRIPTOR_PERCENT 4
/* Readiness checks have no body. */
#define READINESS_BODY_BYTES 1024
/* Exit status if requests were still open when the grace period ended. */
#define EXIT_REQUESTS_CUT 3

cs_now
daemon_now(void *user_data)
{
    return cs_now_read();
}

uint32_t
daemon_open_requests(const struct daemon *daemon)
{
    return cs_http_server_open_requests(daemon->caller_server);
}

/* Ends the main loop once no request is open and the cell is released, or once
   the grace period has run out. */
static void
stop_when_drained(struct daemon *daemon)
{
    int64_t now_us = cs_clock_boot_us();
    int64_t grace_us =
        daemon->settings.bounds.grace_ms * CS_MS_US - EXIT_RESERVE_US;

    if (now_us - daemon->stop_signal_us < BALANCER_DRAIN_US)
        return;
    if (daemon_open_requests(daemon) > 0 &&
        now_us - daemon->stop_signal_us < grace_us)
        return;
    if (!cs_fleet_is_released(daemon->fleet) &&
        now_us - daemon->stop_signal_us < grace_us)
        return;
    daemon->exit_status =
        daemon_open_requests(daemon) > 0 ? EXIT_REQUESTS_CUT : 0;
    cs_log_event("stop", "open requests %u", daemon_open_requests(daemon));
    g_main_loop_quit(daemon->loop);
}

/* Applies changed time bounds. The sockets are bound once, so changed
   addresses take effect only after a restart. */
static void
reload_settings(struct daemon *daemon)
{
    cs_vm_settings new_settings;

    if (platform_settings_load(&new_settings,
                               cs_file_watch_path(daemon->settings_watch))) {
        cs_log_event("settings-rejected", "%s", cs_error_last());
        return;
    }
    daemon->settings.bounds = new_settings.bounds;
    daemon->state.settings.bounds = new_settings.bounds;
    daemon->state.settings.cpu_share = new_settings.cpu_share;
    cs_log_event("settings-reloaded", "worker lease %" PRId64 " ms",
                 new_settings.bounds.worker_lease_ms);
}

/* A body that the configuration does not allow is refused before it is read.
 */
static void
apply_body_limit(struct daemon *daemon)
{
    const cs_fleet_config *config = daemon->state.config;

    if (config)
        cs_http_server_set_body_limit(
            daemon->caller_server,
            CLAMP(config->max_body_bytes, 0, CS_HTTP_BODY_MAX_BYTES));
}

static gboolean
on_tick(gpointer user_data)
{
    struct daemon *daemon = user_data;

    if (cs_file_watch_changed(daemon->settings_watch, cs_clock_boot_us()))
        reload_settings(daemon);
    cs_members_tick(daemon->members);
    cs_config_follower_tick(daemon->config_follower);
    apply_body_limit(daemon);
    cs_entry_tick(daemon->entry);
    cs_fleet_tick(daemon->fleet);
    if (daemon->peer_link)
        daemon_tick_dispatch(daemon);
    if (daemon->stop_signal_us)
        stop_when_drained(daemon);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_stop_signal(gpointer user_data)
{
    struct daemon *daemon = user_data;

    if (daemon->stop_signal_us)
        return G_SOURCE_CONTINUE;
    daemon->stop_signal_us = cs_clock_boot_us();
    daemon->state.draining = true;
    cs_fleet_release(daemon->fleet);
    cs_http_server_disable_keepalive(daemon->caller_server);
    cs_log_event("stopping", "open requests %u", daemon_open_requests(daemon));
    return G_SOURCE_CONTINUE;
}

static gboolean
on_reload_signal(gpointer user_data)
{
    reload_settings(user_data);
    return G_SOURCE_CONTINUE;
}

/* A listener of the process. */
struct listener {
    cs_http_server **server;
    const char *name; /* in counters and log lines */
    const char *address;
    uint32_t memory_percent; /* of the machine */
    uint32_t descriptor_percent;
    int64_t body_bytes;
    int overload_status; /* see cs_http_server_set_overload_status */
    cs_http_handler handler;
    void *user_data;
};

static int
create_server(struct daemon *daemon, const struct listener *listener)
{
    const cs_machine machine = {daemon->settings.memory_bytes,
                                daemon->settings.max_descriptors};
    cs_http_limits limits;
    char ip[32];
    uint16_t port;
    int rc = cs_address_split(ip, sizeof(ip), &port, listener->address);

    if (!rc)
        rc = cs_http_server_create(listener->server, daemon->net, ip, port,
                                   listener->handler, listener->user_data);
    if (rc)
        return rc;
    cs_http_limits_share(&limits, &machine, listener->memory_percent,
                         listener->descriptor_percent);
    limits.body_bytes = listener->body_bytes;
    cs_http_server_set_limits(*listener->server, &limits);
    cs_http_server_set_overload_status(*listener->server,
                                       listener->overload_status);
    cs_http_server_set_counters(*listener->server, daemon->counters,
                                listener->name);
    return 0;
}

static int
create_servers(struct daemon *daemon)
{
    const cs_vm_settings *settings = &daemon->settings;
    const struct listener callers = {
        .server = &daemon->caller_server,
        .name = "callers",
        .address = settings->caller_address,
        .memory_percent = CALLERS_MEMORY_PERCENT,
        .descriptor_percent = CALLERS_DESCRIPTOR_PERCENT,
        .body_bytes = CS_HTTP_BODY_MAX_BYTES,
        .overload_status = PLATFORM_CALLER_OVERLOAD,
        .handler = platform_callers_handle,
        .user_data = daemon->entry};
    const struct listener readiness = {
        .server = &daemon->readiness_server,
        .name = "readiness",
        .address = settings->ready_address,
        .memory_percent = READINESS_MEMORY_PERCENT,
        .descriptor_percent = READINESS_DESCRIPTOR_PERCENT,
        .body_bytes = READINESS_BODY_BYTES,
        .overload_status = 503,
        .handler = platform_ready_handle,
        .user_data = daemon->entry};
    const struct listener peers = {.server = &daemon->peer_server,
                                   .name = "peers",
                                   .address = settings->peer_address,
                                   .memory_percent = PEERS_MEMORY_PERCENT,
                                   .descriptor_percent =
                                       PEERS_DESCRIPTOR_PERCENT,
                                   .body_bytes = CS_HTTP_BODY_MAX_BYTES,
                                   .overload_status = PLATFORM_RELAY_BUSY,
                                   .handler = daemon_on_peer_request,
                                   .user_data = daemon};
    int rc = create_server(daemon, &callers);

    if (!rc)
        cs_http_server_set_deadline_header(daemon->caller_server,
                                           PLATFORM_DEADLINE_HEADER);
    if (!rc)
        rc = create_server(daemon, &readiness);
    if (!rc && settings->peer_address[0])
        rc = create_server(daemon, &peers);
    return rc;
}

/* Returns the store as reached through the relay of a peer. */
static const cs_store_port *
open_peer_store(void *user_data, const char *address)
{
    struct daemon *daemon = user_data;
    platform_store *store = g_hash_table_lookup(daemon->peer_stores, address);

    if (!store) {
        store =
            platform_store_create(daemon->platform_client, daemon->counters,
                                  address, PLATFORM_STORE_PEER);
        g_hash_table_insert(daemon->peer_stores, g_strdup(address), store);
    }
    return platform_store_port(store);
}

static void
create_store_router(struct daemon *daemon)
{
    cs_store_router_settings settings = {
        .direct = platform_store_port(daemon->store),
        .open_relay = open_peer_store,
        .open_relay_data = daemon,
        .own_name = daemon->settings.name,
        .now = daemon_now,
        .counters = daemon->counters,
        .bulk_table = PLATFORM_CONFIG_TABLE};
    size_t i;

    daemon->peer_stores =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                              (GDestroyNotify)platform_store_destroy);
    daemon->store_router = cs_store_router_create(&settings);
    for (i = 0; i < G_N_ELEMENTS(daemon->settings.seeds); i++) {
        const char *seed = daemon->settings.seeds[i];

        if (*seed && strcmp(seed, daemon->settings.peer_address) != 0)
            cs_store_router_add_peer(daemon->store_router, seed);
    }
    daemon->relay.client = daemon->relay_client;
    daemon->relay.store_address = daemon->settings.store_address;
}

/* Replaces port 0 of the peer address by the port that the kernel chose, since
   peers read the address from this VM's row in the store. */
static void
publish_peer_address(struct daemon *daemon)
{
    cs_vm_settings *settings = &daemon->state.settings;
    char ip[32];
    uint16_t port;

    if (cs_address_split(ip, sizeof(ip), &port, settings->peer_address))
        return;
    g_snprintf(settings->peer_address, sizeof(settings->peer_address), "%s:%u",
               ip, cs_http_server_port(daemon->peer_server));
}

static void
create_components(struct daemon *daemon)
{
    cs_fleet_ports ports = {
        .now = daemon_now,
        .decode_config = platform_config_decode,
        .config_table = PLATFORM_CONFIG_TABLE,
        .config_key = PLATFORM_CONFIG_KEY,
        .evacuation_prefix = PLATFORM_EVACUATION_PREFIX,
        .decode_worker = platform_worker_entry_decode,
        .workers_table = PLATFORM_WORKERS_TABLE,
    };

    daemon->store = platform_store_create(
        daemon->platform_client, daemon->counters,
        daemon->settings.store_address, PLATFORM_STORE_DIRECT);
    daemon->worker_calls =
        platform_workers_create(daemon->worker_client, daemon->counters);
    create_store_router(daemon);
    ports.store = cs_store_router_port(daemon->store_router);
    ports.workers = platform_workers_port(daemon->worker_calls);
    if (daemon->settings.adviser_address[0]) {
        daemon->adviser =
            platform_adviser_create(daemon->platform_client, daemon->counters,
                                    daemon->settings.adviser_address);
        ports.adviser = platform_adviser_port(daemon->adviser);
    }
    cs_fleet_state_init(&daemon->state, &ports, &daemon->settings,
                        daemon->counters);
    daemon->members = cs_members_create(&daemon->state, daemon->store_router);
    if (daemon->peer_link)
        daemon_create_dispatch(daemon);
    daemon->config_follower = cs_config_follower_create(&daemon->state);
    daemon->entry = cs_entry_create(&daemon->state);
    daemon->fleet = cs_fleet_create(&daemon->state);
}

/* Sets what the settings do not state, or state above what the system reports.
 */
static void
complete_settings(cs_vm_settings *settings)
{
    cs_machine machine;

    cs_machine_read(&machine, settings->memory_bytes,
                    settings->max_descriptors);
    settings->memory_bytes = machine.memory_bytes;
    settings->max_descriptors = machine.descriptors;
}

static int
create_daemon(struct daemon *daemon)
{
    int rc;

    complete_settings(&daemon->settings);
    daemon->loop = g_main_loop_new(NULL, FALSE);
    daemon->counters = cs_counters_create();
    rc = cs_net_create(&daemon->net, daemon->loop);
    if (!rc)
        rc = cs_http_client_create(&daemon->platform_client, daemon->net,
                                   PLATFORM_CONNECTIONS);
    if (!rc)
        rc = cs_http_client_create(&daemon->worker_client, daemon->net,
                                   WORKER_CONNECTIONS);
    if (!rc)
        rc = cs_http_client_create(&daemon->relay_client, daemon->net,
                                   RELAY_CONNECTIONS);
    if (rc)
        return rc;
    daemon_create_link(daemon);
    create_components(daemon);
    rc = create_servers(daemon);
    if (!rc && daemon->peer_server)
        publish_peer_address(daemon);
    return rc;
}

static void
destroy_daemon(struct daemon *daemon)
{
    if (daemon->platform_client)
        cs_http_client_close(daemon->platform_client);
    if (daemon->worker_client)
        cs_http_client_close(daemon->worker_client);
    if (daemon->relay_client)
        cs_http_client_close(daemon->relay_client);
    cs_net_destroy(daemon->net);
    cs_dispatch_close(daemon->dispatch);
    cs_http_client_destroy(daemon->platform_client);
    cs_http_client_destroy(daemon->worker_client);
    cs_http_client_destroy(daemon->relay_client);
    cs_fleet_destroy(daemon->fleet);
    cs_entry_destroy(daemon->entry);
    cs_http_server_destroy(daemon->caller_server);
    cs_http_server_destroy(daemon->readiness_server);
    cs_http_server_destroy(daemon->peer_server);
    cs_config_follower_destroy(daemon->config_follower);
    if (daemon->members)
        cs_fleet_state_dispose(&daemon->state);
    cs_members_destroy(daemon->members);
    cs_store_router_destroy(daemon->store_router);
    if (daemon->peer_stores)
        g_hash_table_destroy(daemon->peer_stores);
    platform_store_destroy(daemon->store);
    platform_workers_destroy(daemon->worker_calls);
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
                 cs_http_server_port(daemon->caller_server),
                 daemon->settings.zone, daemon->state.settings.peer_address,
                 daemon->settings.store_address);
}

static int
run_daemon(struct daemon *daemon)
{
    int rc = create_daemon(daemon);

    if (rc) {
        fprintf(stderr, "cs-fleetd: %s\n", cs_error_last());
        destroy_daemon(daemon);
        return 1;
    }
    log_start(daemon);
    g_unix_signal_add(SIGTERM, on_stop_signal, daemon);
    g_unix_signal_add(SIGINT, on_stop_signal, daemon);
    g_unix_signal_add(SIGHUP, on_reload_signal, daemon);
    g_timeout_add(TICK_MS, on_tick, daemon);
    g_main_loop_run(daemon->loop);
    destroy_daemon(daemon);
    return daemon->exit_status;
}

int
main(int argc, char **argv)
{
    const char *settings_path = g_getenv(PLATFORM_SETTINGS_VARIABLE);
    struct daemon daemon = {.max_direct_workers = DEFAULT_MAX_DIRECT_WORKERS};
    const cs_setting table[] = {
        {"settings", CS_SETTING_TEXT, &settings_path, 1, 4096, false,
         "path of the settings file that the platform writes"},
        {"direct-workers", CS_SETTING_NUMBER, &daemon.max_direct_workers, 0,
         100000, false,
         "maximum number of workers that the holder calls itself; "
         "if there are more, other VMs call them"},
    };
    cs_settings_next next;
    int status;

    signal(SIGPIPE, SIG_IGN);
    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "request interface and scheduler of a VM")) {
        fprintf(stderr, "cs-fleetd: %s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    if (!settings_path) {
        fprintf(stderr, "cs-fleetd: --settings or %s is required\n",
                PLATFORM_SETTINGS_VARIABLE);
        return 2;
    }
    if (platform_settings_load(&daemon.settings, settings_path)) {
        fprintf(stderr, "cs-fleetd: %s\n", cs_error_last());
        return 2;
    }
    cs_log_init(daemon.settings.name);
    daemon.settings_watch = cs_file_watch_create(settings_path);
    status = run_daemon(&daemon);
    cs_file_watch_destroy(daemon.settings_watch);
    return status;
}
