#include "snapshot.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <string.h>

/* The store has this long to answer before peers are asked. */
#define FIRST_US (2 * CS_SEC_US)
#define RETRY_US CS_SEC_US

struct fetch {
    struct snapshot_state *state;
    cs_process *process;
};

struct search {
    char api[CS_MESSAGE_NAME_BYTES];
    uint64_t version;
};

static void
find_newest(void *user_data, const cs_peer *peer)
{
    struct search *search = user_data;

    if (strcmp(peer->last.role, "entryd") != 0 || peer->last.draining ||
        peer->last.config_version < search->version)
        return;
    search->version = peer->last.config_version;
    g_strlcpy(search->api, peer->last.api, sizeof(search->api));
}

static void
on_answer(void *user_data, const cs_http_answer *answer)
{
    struct fetch *fetch = user_data;
    json_t *body = NULL;

    fetch->state->busy = false;
    if (answer->code == 0 && answer->status == 200)
        body = json_loadb(answer->body, answer->size_bytes, 0, NULL);
    if (body && cs_journal_load_snapshot(cs_process_journal(fetch->process),
                                         body) == 0)
        cs_log_event("snapshot-loaded", "%s from a peer",
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
                         .deadline_us = cs_clock_boot_us() + RETRY_US,
                         .done = on_answer,
                         .data = fetch};

    fetch->state = state;
    fetch->process = process;
    g_snprintf(path, sizeof(path), "/v1/snapshot?scope=%s", scope);
    state->busy = true;
    if (cs_http_client_start(cs_process_client(process), &call) == 0)
        return;
    state->busy = false;
    g_free(fetch);
}

void
snapshot_tick(struct snapshot_state *state, cs_process *process)
{
    const char *scope = cs_journal_unloaded(cs_process_journal(process));
    int64_t now_us = cs_clock_boot_us();
    struct search search = {"", 1};

    if (!scope || state->busy)
        return;
    if (!state->next_us)
        state->next_us = now_us + FIRST_US;
    if (now_us < state->next_us)
        return;
    state->next_us = now_us + RETRY_US;
    cs_peers_each_live(cs_process_peers(process), now_us, find_newest,
                       &search);
    if (search.api[0])
        start_fetch(state, process, scope, search.api);
}
