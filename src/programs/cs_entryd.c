/* The entry process: the callers' and operators' interface of a VM. */
#include "corianderstair/api.h"
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

struct entry {
    cs_process *process;
    cs_router *router;
    cs_api *api;
    const char *name;
    const char *zone;
    bool follow_all;
    uint64_t followed_version;
};

static void
on_request(cs_http_request *request, void *data)
{
    struct entry *entry = data;

    cs_api_handle(entry->api, request);
}

static void
on_message(void *data, const cs_message *message)
{
    struct entry *entry = data;

    cs_api_message(entry->api, message);
}

static void
follow_zone(void *data, const cs_record *record)
{
    struct entry *entry = data;
    const char *zone = cs_resource_name(&record->resource);

    if (!entry->follow_all && strcmp(zone, entry->zone) != 0)
        return;
    cs_journal_follow(cs_process_journal(entry->process), zone);
}

static void
follow_zones(struct entry *entry)
{
    cs_board *board = cs_process_board(entry->process);
    uint64_t version = cs_board_version(board, CS_SCOPE_CONFIG);

    if (version == entry->followed_version)
        return;
    entry->followed_version = version;
    cs_board_each(board, CS_KIND_ZONE, follow_zone, entry);
}

struct ranking {
    const char *name;
    uint32_t rank;
};

static void
rank_peer(void *data, const cs_peer *peer)
{
    struct ranking *ranking = data;

    if (strcmp(peer->last.role, "entryd") == 0 && !peer->last.draining &&
        strcmp(peer->name, ranking->name) < 0)
        ranking->rank++;
}

/* Live entry processes share the endpoints in the order of their names. */
static void
set_share(struct entry *entry)
{
    cs_peers *peers = cs_process_peers(entry->process);
    int64_t now_us = cs_clock_boot_us();
    struct ranking ranking = {entry->name, 0};

    cs_peers_each_live(peers, now_us, rank_peer, &ranking);
    cs_router_set_share(entry->router,
                        cs_peers_count_live(peers, "entryd", now_us) + 1,
                        ranking.rank);
}

static void
on_tick(void *data)
{
    struct entry *entry = data;

    follow_zones(entry);
    set_share(entry);
    cs_router_tick(entry->router);
    cs_api_tick(entry->api);
}

static void
on_heartbeat(void *data, cs_heartbeat *heartbeat)
{
    struct entry *entry = data;

    heartbeat->open_requests = cs_router_open(entry->router);
}

static void
on_drain(void *data)
{
    struct entry *entry = data;

    cs_router_drain(entry->router);
    cs_api_drain(entry->api);
}

static bool
is_drained(void *data)
{
    struct entry *entry = data;

    return cs_router_open(entry->router) == 0 &&
           cs_journal_pending(cs_process_journal(entry->process)) == 0;
}

static bool
is_ready(void *data)
{
    struct entry *entry = data;

    return cs_journal_is_loaded(cs_process_journal(entry->process),
                                CS_SCOPE_CONFIG);
}

static int
run(const cs_process_settings *settings, bool follow_all)
{
    struct entry entry = {.name = settings->name,
                          .zone = settings->zone,
                          .follow_all = follow_all};
    cs_process_hooks hooks = {.request = on_request,
                              .message = on_message,
                              .tick = on_tick,
                              .heartbeat = on_heartbeat,
                              .drain = on_drain,
                              .is_drained = is_drained,
                              .is_ready = is_ready,
                              .data = &entry};
    int status;

    if (cs_process_create(&entry.process, settings)) {
        fprintf(stderr, "cs-entryd: %s\n", cs_error_last());
        return 1;
    }
    entry.router = cs_router_create(
        cs_process_board(entry.process), cs_process_outbox(entry.process),
        cs_process_client(entry.process), cs_process_counters(entry.process),
        settings->zone, cs_process_incarnation(entry.process),
        (uint64_t)cs_clock_wall_us());
    entry.api = cs_api_create(entry.process, entry.router, settings->name,
                              settings->zone);
    cs_journal_follow(cs_process_journal(entry.process), CS_SCOPE_CONFIG);
    cs_process_set_hooks(entry.process, &hooks);
    status = cs_process_run(entry.process);
    cs_process_close(entry.process);
    cs_process_end_journal(entry.process);
    cs_api_destroy(entry.api);
    cs_router_destroy(entry.router);
    cs_process_destroy(entry.process);
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
         "name of this process, unique among all"},
        {"zone", CS_SETTING_TEXT, &settings.zone, 1, 63, true,
         "availability zone of this VM"},
        {"listen", CS_SETTING_ADDRESS, &settings.listen, 0, 0, false,
         "address of the HTTP interface"},
        {"peer-listen", CS_SETTING_ADDRESS, &settings.peer_listen, 0, 0, false,
         "address for messages of peers"},
        {"peers", CS_SETTING_TEXT, &settings.peers, 0, 16384, false,
         "peer addresses, separated by commas"},
        {"store", CS_SETTING_ADDRESS, &settings.store, 0, 0, false,
         "address of the platform's table service"},
        {"poll-ms", CS_SETTING_NUMBER, &settings.poll_ms, 20, 5000, false,
         "time between polls of the store"},
        {"drain-ms", CS_SETTING_NUMBER, &settings.drain_ms, 0, 600000, false,
         "time to finish open requests after SIGTERM"},
        {"follow", CS_SETTING_TEXT, &follow, 3, 3, false,
         "zones whose jobs are kept in memory: all or own"},
        {"connections", CS_SETTING_NUMBER, &connections, 1, 64, false,
         "connections to one address at most"},
    };
    cs_settings_next next;

    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "entry process of a VM")) {
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
    settings.connections = (uint32_t)connections;
    return run(&settings, strcmp(follow, "all") == 0);
}
