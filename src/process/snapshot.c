#include "snapshot.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <string.h>

/* Time for the store to answer before the first fetch from a peer. */
#define INITIAL_DELAY_US (2 * CS_SEC_US)
#define RETRY_INTERVAL_US CS_SEC_US

struct fetch {
    struct snapshot_state *state;
    cs_process *process;
};

/* The entry process with the newest configuration that was found so far. */
struct search {
    char api[CS_MESSAGE_NAME_BYTES]; /* empty if none was found */
    uint64_t version;                /* its version of the configuration */
};

static void
find_newest(void *user_data, const cs_peer *peer)
{
    struct search *search = user_data;

    if (strcmp(peer->newest_heartbeat.role, "entryd") != 0 ||
        peer->newest_heartbeat.draining ||
        peer->newest_heartbeat.config_version < search->version)
        return;
    search->version = peer->newest_heartbeat.config_version;
    g_strlcpy(search->api, peer->newest_heartbeat.http_address,
              sizeof(search->api));
}

static void
on_response(void *user_data, const cs_http_response *response)
{
    struct fetch *fetch = user_data;
    json_t *body = NULL;

    fetch->state->fetching = false;
    if (response->code == 0 && response->status == 200)
        body = json_loadb(response->body, response->size_bytes, 0, NULL);
    if (body && cs_journal_load_snapshot(cs_process_journal(fetch->process),
                                         body) == 0)
        cs_log_event("snapshot-loaded", "scope %s loaded from a peer",
                     json_string_value(json_object_get(body, "scope")));
    json_decref(body);
    cs_process_wake(fetch->process);
    g_free(fetch);
}

static void
start_fetch(struct snapshot_state *state, cs_process *process,
            const char *scope, const char *address)
{
    struct fetch *fetch = g_new(struct fetch, 1);
    char path[128];
    cs_http_call call = {.method = "GET",
                         .address = address,
                         .path = path,
                         .deadline_us = cs_clock_boot_us() + RETRY_INTERVAL_US,
                         .done = on_response,
                         .user_data = fetch};

    fetch->state = state;
    fetch->process = process;
    g_snprintf(path, sizeof(path), "/v1/snapshot?scope=%s", scope);
    state->fetching = true;
    if (cs_http_client_start(cs_process_client(process), &call) == 0)
        return;
    state->fetching = false;
    g_free(fetch);
}

void
snapshot_tick(struct snapshot_state *state, cs_process *process)
{
    const char *scope = cs_journal_first_unloaded(cs_process_journal(process));
    int64_t now_us = cs_clock_boot_us();
    struct search search = {"", 1};

    if (!scope || state->fetching)
        return;
    if (!state->next_fetch_us)
        state->next_fetch_us = now_us + INITIAL_DELAY_US;
    if (now_us < state->next_fetch_us)
        return;
    state->next_fetch_us = now_us + RETRY_INTERVAL_US;
    cs_peers_each_live(cs_process_peers(process), now_us, find_newest,
                       &search);
    if (search.api[0])
        start_fetch(state, process, scope, search.api);
}
