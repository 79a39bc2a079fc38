/* cs-entryd: the HTTP interface of a VM for callers and operators. */
#include "corianderstair/api.h"
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

struct entryd {
    cs_process *process;
    cs_router *router;
    cs_api *api;
    const char *name;
    const char *zone;
    bool follow_all_zones; /* false: only the own zone */
    uint64_t followed_config_version;
};

static void
on_request(cs_http_request *request, void *user_data)
{
    struct entryd *entryd = user_data;

    cs_api_handle(entryd->api, request);
}

static void
on_message(void *user_data, const cs_message *message)
{
    struct entryd *entryd = user_data;

    cs_api_message(entryd->api, message);
}

static void
follow_zone_row(void *user_data, const cs_resource_row *row)
{
    struct entryd *entryd = user_data;
    const char *zone = cs_resource_name(&row->resource);

    if (!entryd->follow_all_zones && strcmp(zone, entryd->zone) != 0)
        return;
    cs_journal_follow(cs_process_journal(entryd->process), zone);
}

/* Follows the jobs of newly configured zones. Runs once per version of the
   configuration. */
static void
follow_zones(struct entryd *entryd)
{
    cs_store_view *view = cs_process_store_view(entryd->process);
    uint64_t config_version = cs_store_view_version(view, CS_SCOPE_CONFIG);

    if (config_version == entryd->followed_config_version)
        return;
    entryd->followed_config_version = config_version;
    cs_store_view_each(view, CS_KIND_ZONE, follow_zone_row, entryd);
}

/* Counts the live entry processes that are not draining and whose name sorts
   before name. */
struct rank_count {
    const char *name;
    uint32_t rank;
};

static void
count_lower_name(void *user_data, const cs_peer *peer)
{
    struct rank_count *rank_count = user_data;

    if (strcmp(peer->newest_heartbeat.role, "entryd") == 0 &&
        !peer->newest_heartbeat.draining &&
        strcmp(peer->name, rank_count->name) < 0)
        rank_count->rank++;
}

/* Divides the endpoints among the live entry processes; the rank of this
   process is its position when they are sorted by name. */
static void
update_endpoint_share(struct entryd *entryd)
{
    cs_peers *peers = cs_process_peers(entryd->process);
    int64_t now_us = cs_clock_boot_us();
    struct rank_count rank_count = {entryd->name, 0};

    cs_peers_each_live(peers, now_us, count_lower_name, &rank_count);
    cs_router_set_share(entryd->router,
                        cs_peers_count_live(peers, "entryd", now_us) + 1,
                        rank_count.rank);
}

static void
on_tick(void *user_data)
{
    struct entryd *entryd = user_data;

    follow_zones(entryd);
    update_endpoint_share(entryd);
    cs_router_tick(entryd->router);
    cs_api_tick(entryd->api);
}

static void
on_heartbeat(void *user_data, cs_peer_heartbeat *heartbeat)
{
    struct entryd *entryd = user_data;

    heartbeat->open_requests = cs_router_open_requests(entryd->router);
}

static void
on_drain(void *user_data)
{
    struct entryd *entryd = user_data;

    cs_router_drain(entryd->router);
    cs_api_drain(entryd->api);
}

static bool
is_drained(void *user_data)
{
    struct entryd *entryd = user_data;

    return cs_router_open_requests(entryd->router) == 0 &&
           cs_journal_pending(cs_process_journal(entryd->process)) == 0;
}

static bool
is_ready(void *user_data)
{
    struct entryd *entryd = user_data;

    return cs_journal_is_loaded(cs_process_journal(entryd->process),
                                CS_SCOPE_CONFIG);
}

static int
run(const cs_process_settings *settings, bool follow_all_zones)
{
    struct entryd entryd = {.name = settings->name,
                            .zone = settings->zone,
                            .follow_all_zones = follow_all_zones};
    cs_process_hooks hooks = {.request = on_request,
                              .message = on_message,
                              .tick = on_tick,
                              .heartbeat = on_heartbeat,
                              .drain = on_drain,
                              .is_drained = is_drained,
                              .is_ready = is_ready,
                              .user_data = &entryd};
    int status;

    if (cs_process_create(&entryd.process, settings)) {
        fprintf(stderr, "cs-entryd: %s\n", cs_error_last());
        return 1;
    }
    entryd.router = cs_router_create(
        cs_process_store_view(entryd.process),
        cs_process_outbox(entryd.process), cs_process_client(entryd.process),
        cs_process_counters(entryd.process), settings->zone,
        cs_process_incarnation(entryd.process), (uint64_t)cs_clock_wall_us());
    entryd.api = cs_api_create(entryd.process, entryd.router, settings->name,
                               settings->zone);
    cs_journal_follow(cs_process_journal(entryd.process), CS_SCOPE_CONFIG);
    cs_process_set_hooks(entryd.process, &hooks);
    status = cs_process_run(entryd.process);
    cs_process_close(entryd.process);
    cs_process_destroy_journal(entryd.process);
    cs_api_destroy(entryd.api);
    cs_router_destroy(entryd.router);
    cs_process_destroy(entryd.process);
    return status;
}

int
main(int argc, char **argv)
{
    cs_process_settings settings = {.role = "entryd",
                                    .listen = "127.0.0.1:7300",
                                    .peer_listen = "127.0.0.1:7301",
                                    .peers = "",
                                    .store = "127.0.0.1:7000",
                                    .poll_ms = 500,
                                    .drain_ms = 30000};
    const char *follow = "all";
    int64_t connections = 16;
    const cs_setting table[] = {
        {"name", CS_SETTING_TEXT, &settings.name, 1, 63, true,
         "name of this process, unique in the deployment"},
        {"zone", CS_SETTING_TEXT, &settings.zone, 1, 63, true,
         "availability zone of this VM"},
        {"listen", CS_SETTING_ADDRESS, &settings.listen, 0, 0, false,
         "IP:PORT of the HTTP interface"},
        {"peer-listen", CS_SETTING_ADDRESS, &settings.peer_listen, 0, 0, false,
         "IP:PORT for messages from peers"},
        {"peers", CS_SETTING_TEXT, &settings.peers, 0, 16384, false,
         "IP:PORT of each peer, separated by commas"},
        {"store", CS_SETTING_ADDRESS, &settings.store, 0, 0, false,
         "IP:PORT of the platform's table service"},
        {"poll-ms", CS_SETTING_NUMBER, &settings.poll_ms, 20, 5000, false,
         "interval between polls of the table service, in ms"},
        {"drain-ms", CS_SETTING_NUMBER, &settings.drain_ms, 0, 600000, false,
         "maximum time to finish open requests after SIGTERM, in ms"},
        {"follow", CS_SETTING_TEXT, &follow, 3, 3, false,
         "zones whose jobs are cached in memory: all, or own (see --zone)"},
        {"memory-mb", CS_SETTING_NUMBER, &settings.memory_mb, 0, 1 << 24,
         false,
         "memory of the machine, in MB, 12% of which clients may "
         "hold; 0: as the machine reports"},
        {"descriptors", CS_SETTING_NUMBER, &settings.descriptors, 0, 1 << 20,
         false,
         "file descriptors, 36% of which clients may hold; "
         "0: as the limit of the process says"},
        {"connections", CS_SETTING_NUMBER, &connections, 1, 64, false,
         "maximum number of connections to one address"},
    };
    cs_settings_next next;

    if (cs_settings_parse(
            &next, NULL, table, G_N_ELEMENTS(table), argc, argv,
            "HTTP interface of a VM for callers and operators")) {
        fprintf(stderr, "cs-entryd: %s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    if (strcmp(follow, "all") != 0 && strcmp(follow, "own") != 0) {
        fprintf(stderr, "cs-entryd: --follow: '%s' is not all or own\n",
                follow);
        return 2;
    }
    settings.max_connections = (uint32_t)connections;
    return run(&settings, strcmp(follow, "all") == 0);
}
