#include "corianderstair/config_follower.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <inttypes.h>
#include <string.h>

/*
 * A long poll of the store may stop answering without its connection being
 * closed. Each poll therefore waits only for a fraction of config_apply_ms,
 * the time within which a new configuration has to be applied, and times out
 * shortly after that.
 */
#define WAIT_DIVISOR 4 /* a poll waits config_apply_ms / this */
#define ANSWER_TIMEOUT_US (400 * CS_MS_US)
#define RETRY_DELAY_US (200 * CS_MS_US)

struct cs_config_follower {
    cs_fleet_state *fleet_state;
    bool call_in_flight;
    bool evacuations_loaded; /* false: read the range of evacuated zones */
    bool row_loaded;         /* false: read the row before following changes */
    uint64_t followed_version; /* store version up to which it is current */
    int64_t sent_us;           /* boot clock; when the open call was sent */
    int64_t next_call_us;      /* boot clock; earliest time of the next call */
    int64_t *applied;
    int64_t *rejected;
};

static void
apply_row(cs_config_follower *follower, const cs_row *row)
{
    cs_fleet_state *fleet_state = follower->fleet_state;
    cs_fleet_config *config;

    if (strcmp(row->key, fleet_state->ports.config_key) != 0 || row->deleted)
        return;
    if (fleet_state->ports.decode_config(&config, row->value,
                                         row->size_bytes)) {
        (*follower->rejected)++;
        cs_log_event("config-rejected", "row version %" PRIu64 ": %s",
                     row->version, cs_error_last());
        return;
    }
    if (fleet_state->config &&
        config->version <= fleet_state->config->version) {
        cs_fleet_config_unref(config);
        return;
    }
    cs_log_event(
        "config-applied", "version %" PRIu64 ", %u queues, %u organisations",
        config->version, config->queues->len, config->organisations->len);
    cs_fleet_config_unref(fleet_state->config);
    fleet_state->config = config;
    (*follower->applied)++;
}

/* Ends a call. Returns whether its answer has rows to apply. */
static bool
end_call(cs_config_follower *follower, const cs_store_answer *answer)
{
    follower->call_in_flight = false;
    cs_fleet_state_record_store_answer(follower->fleet_state, answer->code);
    if (answer->code == 0)
        return true;
    /* The store may drop changes from its history before the retry, so the
       rows themselves are read again. */
    follower->evacuations_loaded = false;
    follower->row_loaded = false;
    if (answer->code != CS_E_TOO_OLD)
        follower->next_call_us =
            cs_fleet_state_now(follower->fleet_state).boot_us + RETRY_DELAY_US;
    return false;
}

static void
on_evacuations(void *user_data, const cs_store_answer *answer)
{
    cs_config_follower *follower = user_data;
    cs_evacuations *evacuations = follower->fleet_state->evacuations;
    int64_t now_us = cs_fleet_state_now(follower->fleet_state).boot_us;

    if (!end_call(follower, answer))
        return;
    if (!cs_evacuations_replace(evacuations, answer, now_us)) {
        follower->next_call_us = now_us + RETRY_DELAY_US;
        return;
    }
    cs_evacuations_confirm(evacuations, follower->sent_us);
    follower->followed_version = answer->version;
    follower->evacuations_loaded = true;
    /* Reads the configuration row at once, as a process that has started
       serves nothing without it. */
    cs_config_follower_tick(follower);
}

static void
on_config_row(void *user_data, const cs_store_answer *answer)
{
    cs_config_follower *follower = user_data;
    size_t i;

    if (!end_call(follower, answer))
        return;
    for (i = 0; i < answer->row_count; i++)
        apply_row(follower, &answer->rows[i]);
    follower->row_loaded = true;
}

static void
on_changes(void *user_data, const cs_store_answer *answer)
{
    cs_config_follower *follower = user_data;
    cs_evacuations *evacuations = follower->fleet_state->evacuations;
    int64_t now_us = cs_fleet_state_now(follower->fleet_state).boot_us;
    size_t i;

    if (!end_call(follower, answer))
        return;
    for (i = 0; i < answer->row_count; i++) {
        apply_row(follower, &answer->rows[i]);
        cs_evacuations_apply(evacuations, &answer->rows[i], now_us);
    }
    cs_evacuations_confirm(evacuations, follower->sent_us);
    follower->followed_version = answer->version;
    follower->evacuations_loaded = cs_evacuations_is_known(evacuations);
}

cs_config_follower *
cs_config_follower_create(cs_fleet_state *fleet_state)
{
    cs_config_follower *follower = g_new0(cs_config_follower, 1);

    follower->fleet_state = fleet_state;
    follower->applied =
        cs_fleet_state_counter(fleet_state, "cs_config_applied");
    follower->rejected =
        cs_fleet_state_counter(fleet_state, "cs_config_rejected");
    return follower;
}

void
cs_config_follower_destroy(cs_config_follower *follower)
{
    g_free(follower);
}

void
cs_config_follower_tick(cs_config_follower *follower)
{
    const cs_fleet_ports *ports = &follower->fleet_state->ports;
    int64_t now_us = cs_fleet_state_now(follower->fleet_state).boot_us;
    int64_t wait_ms =
        follower->fleet_state->settings.bounds.config_apply_ms / WAIT_DIVISOR;
    cs_row_range zones = cs_evacuations_range(
        follower->fleet_state->evacuations, ports->config_table);
    cs_row_range range = {.table = ports->config_table,
                          .part = "",
                          .from = ports->config_key,
                          .limit = 1};

    if (follower->call_in_flight || now_us < follower->next_call_us)
        return;
    follower->call_in_flight = true;
    follower->sent_us = now_us;
    /* Changes are followed from the version of the first read, so that some
       are applied after the second one has shown them. An old version of the
       configuration is skipped then, but an old change of an evacuation would
       return its zone, so the evacuations are read first. */
    if (!follower->evacuations_loaded)
        ports->store->read(ports->store->self, &zones,
                           now_us + ANSWER_TIMEOUT_US, on_evacuations,
                           follower);
    else if (follower->row_loaded)
        ports->store->follow(ports->store->self, ports->config_table,
                             follower->followed_version, wait_ms,
                             now_us + wait_ms * CS_MS_US + ANSWER_TIMEOUT_US,
                             on_changes, follower);
    else
        ports->store->read(ports->store->self, &range,
                           now_us + ANSWER_TIMEOUT_US, on_config_row,
                           follower);
}
