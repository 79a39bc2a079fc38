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
/* Time within which an answer must begin; its transfer may then continue, see
   store_port.h. It doubles with each call in a row that got no answer. Through
   a peer it is the longest at once unless the row is known to be small: a peer
   passes an answer on only when it has all of it. A poll of a small row is
   repeated at once when the route changes: its answer may be lost with the
   former route, and costs little. */
#define ANSWER_TIMEOUT_US (400 * CS_MS_US)
#define ANSWER_TIMEOUT_MAX_US (3200 * CS_MS_US)
/* The longest where the row is known to be small: a call that was lost with
   its connection must not outlast config_apply_ms, 2 s on some deployments. */
#define ANSWER_TIMEOUT_SMALL_MAX_US (800 * CS_MS_US)
/* Pause after a failed call. It doubles with each further one that timed out
   or met a busy peer, so that calls that fail because of load do not keep up
   the load. A refused call carries no row and leaves the pause unchanged: a VM
   without a configuration asks soon after the store serves it again. After the
   store has recovered, the longest pause, a lost call of the longest timeout
   and a transfer of a megabyte at 10 Mbit/s take less than the 6 s by which a
   disturbed store extends config_apply_ms. */
#define RETRY_DELAY_US (200 * CS_MS_US)
#define RETRY_DELAY_MAX_US (1600 * CS_MS_US)
/* The longest pause where the row is known to be small: repeated calls then do
   not load the links, and config_apply_ms may be 2 s. */
#define RETRY_DELAY_SMALL_MAX_US (400 * CS_MS_US)
/* A configuration of this size, 4/3 of it in base64, takes 0.28 s on a link of
   10 Mbit/s, so that larger ones may exceed ANSWER_TIMEOUT_US. Its feed
   answers with the whole row. */
#define LARGE_ROW_BYTES (256 * 1024)
/* An answer to a poll with more bytes than this multiple of the last row holds
   several versions of it: one takes 4/3 of the row in base64. The row is then
   read instead, as only its newest version matters. */
#define MAX_POLL_ROWS 2
/* Up to this size changes are transferred to see whether there are any: an
   answer without rows has about 60 bytes, rows of evacuated zones have 100. */
#define CHECK_BYTES_MAX 4096
/* Pause after a read that showed more evacuated zones than are kept, as the
   row of the configuration has to be read again after each one. Until the
   zones are known nothing is started, and the configuration is followed. */
#define EVACUATIONS_RETRY_US (5 * CS_SEC_US)
/* Only this many VMs of a zone wait for changes of a large configuration; the
   others poll one after another, in slots of the store's clock. */
#define WAITING_READERS 4
#define READERS_PER_SLOT 4
/* A VM polls once within config_apply_ms / this, which leaves as much time for
   the transfer. */
#define SLOTS_DIVISOR 2
#define SLOT_COUNT 4

struct cs_config_follower {
    cs_fleet_state *fleet_state;
    cs_config_status *status; /* in the state of the process */
    uint64_t call_serial;     /* of the newest call; answers of others are
                                 dropped */
    uint64_t route_changes;   /* of the process when that call was sent */
    bool check_due;           /* ask whether there are further changes */
    bool snapshot_due;       /* read the row and the evacuated zones at once */
    bool evacuations_loaded; /* false: read the range of evacuated zones */
    int64_t next_evacuations_us; /* boot clock; not before this time */
    bool row_loaded; /* false: read the row before following changes */
    uint64_t followed_version; /* store version up to which it is current */
    uint32_t delayed_calls;    /* consecutive failed calls: not refused */
    uint32_t unanswered_calls; /* consecutive failed calls: no answer */
    size_t row_bytes;          /* size of the last row; 0 unknown */
    int64_t store_clock_us;    /* the store's clock minus the boot clock */
    int64_t *versions_received;
    int64_t *age_ms;  /* gauge: since the last confirmation; -1: none */
    int64_t *skipped; /* polls that were replaced by a read */
    int64_t *retries;
    int64_t *superseded;
    int64_t *applied;
    int64_t *rejected;
};

typedef void (*answer_handler)(cs_config_follower *follower,
                               const cs_store_answer *answer);

/* A call in flight. */
struct call {
    cs_config_follower *follower;
    uint64_t serial;
    answer_handler handler;
};

static void
on_answer(void *user_data, const cs_store_answer *answer)
{
    struct call *call = user_data;
    cs_config_follower *follower = call->follower;

    if (call->serial == follower->call_serial)
        call->handler(follower, answer);
    g_free(call);
}

static struct call *
create_call(cs_config_follower *follower, answer_handler handler)
{
    struct call *call = g_new0(struct call, 1);

    call->follower = follower;
    call->serial = ++follower->call_serial;
    call->handler = handler;
    return call;
}

static bool
is_row_small(const cs_config_follower *follower)
{
    return follower->row_bytes > 0 && follower->row_bytes <= LARGE_ROW_BYTES;
}

static bool
is_config_row(const cs_config_follower *follower, const cs_row *row)
{
    return strcmp(row->key, follower->fleet_state->ports.config_key) == 0 &&
           !row->deleted;
}

/* Puts a version in force unless a newer one is. Returns whether the row can
   be decoded. */
static bool
apply_row(cs_config_follower *follower, const cs_row *row)
{
    cs_fleet_state *fleet_state = follower->fleet_state;
    cs_fleet_config *config;

    if (fleet_state->ports.decode_config(&config, row->value,
                                         row->size_bytes)) {
        (*follower->rejected)++;
        cs_log_event("config-rejected", "row version %" PRIu64 ": %s",
                     row->version, cs_error_last());
        return false;
    }
    if (fleet_state->config &&
        config->version <= fleet_state->config->version) {
        cs_fleet_config_unref(config);
        return true;
    }
    cs_log_event(
        "config-applied", "version %" PRIu64 ", %u queues, %u organisations",
        config->version, config->queues->len, config->organisations->len);
    cs_fleet_config_unref(fleet_state->config);
    fleet_state->config = config;
    (*follower->applied)++;
    return true;
}

/* Applies the newest version of an answer that can be decoded. Decoding takes
   a weak VM a quarter of a second, so that older ones are skipped. */
static void
apply_newest_row(cs_config_follower *follower, const cs_store_answer *answer)
{
    bool newest = true;
    size_t i;

    for (i = answer->row_count; i > 0; i--) {
        const cs_row *row = &answer->rows[i - 1];
        bool decoded;

        if (!is_config_row(follower, row))
            continue;
        decoded = apply_row(follower, row);
        if (newest) {
            follower->row_bytes = row->size_bytes;
            follower->status->unreadable = !decoded;
        }
        newest = false;
        if (decoded)
            return;
    }
}

/* Returns the size up to which an answer to a poll is transferred. */
static size_t
poll_bytes_max(const cs_config_follower *follower)
{
    return MAX((size_t)LARGE_ROW_BYTES, MAX_POLL_ROWS * follower->row_bytes);
}

/* Returns the pause before the next attempt. VMs whose calls failed together
   are spread by a hash. The first retry is not, as a refused call may be the
   fault of one VM or route only. */
static int64_t
retry_delay_us(const cs_config_follower *follower)
{
    uint32_t doublings =
        follower->delayed_calls > 0 ? MIN(follower->delayed_calls - 1, 8U) : 0;
    int64_t max_us =
        is_row_small(follower) ? RETRY_DELAY_SMALL_MAX_US : RETRY_DELAY_MAX_US;
    int64_t delay_us = MIN(RETRY_DELAY_US << doublings, max_us);
    char seed[128];

    if (doublings == 0)
        return delay_us;
    g_snprintf(seed, sizeof(seed), "%s %u", follower->fleet_state->incarnation,
               follower->status->failed_calls);
    return delay_us / 2 + g_str_hash(seed) % (delay_us / 2);
}

/* Returns whether a failed call was refused immediately. */
static bool
is_refused(const cs_store_answer *answer)
{
    return answer->code == CS_E_STORE_UNAVAILABLE ||
           answer->code == CS_E_CONNECT;
}

static void
handle_failed_call(cs_config_follower *follower, const cs_store_answer *answer)
{
    size_t max_poll_bytes = poll_bytes_max(follower);
    int64_t delay_us;

    if (answer->code == CS_E_TOO_OLD || answer->code == CS_E_TOO_LARGE) {
        follower->snapshot_due = true;
        if (answer->code == CS_E_TOO_LARGE) {
            follower->row_bytes = 0;
            (*follower->skipped)++;
            cs_log_event("config-behind",
                         "the changes are above %zu bytes, the newest version "
                         "is read instead",
                         max_poll_bytes);
        }
        /* The row has changed, or may have, so it is read before the next
           slot. */
        follower->status->next_call_us = 0;
        return;
    }
    /* A poll is repeated with the same version. If the store has dropped its
       changes meanwhile, it answers CS_E_TOO_OLD. */
    follower->status->failed_calls++;
    follower->status->failure = answer->code;
    follower->status->failed_midway = answer->partial;
    follower->delayed_calls =
        is_refused(answer) ? 0 : follower->delayed_calls + 1;
    if (answer->code == CS_E_OUTCOME_UNKNOWN && !answer->partial)
        follower->unanswered_calls++;
    delay_us = retry_delay_us(follower);
    follower->status->next_call_us =
        cs_fleet_state_now(follower->fleet_state).boot_us + delay_us;
    (*follower->retries)++;
    cs_log_event("config-retry", "%s%s, attempt %u, next in %" PRId64 " ms",
                 cs_error_name(answer->code),
                 answer->partial ? " in the transfer" : "",
                 follower->status->failed_calls, delay_us / CS_MS_US);
}

/* Logs an answer with versions of the configuration: those that it contains,
   and the time from the call to the end of the transfer. */
static void
log_received(const cs_config_follower *follower, const cs_store_answer *answer)
{
    int64_t now_us = cs_fleet_state_now(follower->fleet_state).boot_us;
    char former[64] = "no former confirmation";
    int64_t age_ms;
    size_t versions = 0;
    size_t bytes = 0;
    size_t i;

    for (i = 0; i < answer->row_count; i++) {
        if (!is_config_row(follower, &answer->rows[i]))
            continue;
        versions++;
        bytes += answer->rows[i].size_bytes;
    }
    if (versions == 0)
        return;
    *follower->versions_received += (int64_t)versions;
    age_ms = cs_config_status_age_ms(follower->status, now_us);
    if (age_ms >= 0)
        g_snprintf(former, sizeof(former),
                   "the former confirmation is %" PRId64 " ms old", age_ms);
    cs_log_event(
        "config-received",
        "%zu versions, %zu bytes, %" PRId64 " ms after the call%s; %s",
        versions, bytes, (now_us - follower->status->sent_us) / CS_MS_US,
        follower->fleet_state->relayed ? ", through a peer" : "", former);
}

/* Records that the configuration is the newest one of when the call was sent.
 */
static void
confirm(cs_config_follower *follower)
{
    cs_config_status *status = follower->status;

    if (!status->unreadable && follower->fleet_state->config)
        status->confirmed_us = MAX(status->confirmed_us, status->sent_us);
}

/* Ends a call. Returns whether its answer has rows to apply. */
static bool
end_call(cs_config_follower *follower, const cs_store_answer *answer)
{
    follower->status->call = CS_CONFIG_CALL_NONE;
    follower->check_due = false;
    cs_fleet_state_record_store_answer(follower->fleet_state, answer->code);
    if (answer->code) {
        handle_failed_call(follower, answer);
        return false;
    }
    follower->status->failed_calls = 0;
    follower->delayed_calls = 0;
    follower->unanswered_calls = 0;
    if (answer->now_ms > 0)
        follower->store_clock_us =
            answer->now_ms * CS_MS_US -
            cs_fleet_state_now(follower->fleet_state).boot_us;
    return true;
}

static void
on_evacuations(cs_config_follower *follower, const cs_store_answer *answer)
{
    cs_evacuations *evacuations = follower->fleet_state->evacuations;
    int64_t now_us = cs_fleet_state_now(follower->fleet_state).boot_us;

    if (!end_call(follower, answer))
        return;
    follower->evacuations_loaded =
        cs_evacuations_replace(evacuations, answer, now_us);
    if (follower->evacuations_loaded)
        cs_evacuations_confirm(evacuations, follower->status->sent_us);
    else
        follower->next_evacuations_us = now_us + EVACUATIONS_RETRY_US;
    /* Changes of the configuration row before this version are not followed
       any more. */
    follower->followed_version = answer->version;
    follower->row_loaded = false;
    /* Reads the configuration row at once, as a process that has started
       serves nothing without it. */
    cs_config_follower_tick(follower);
}

static void
on_config_row(cs_config_follower *follower, const cs_store_answer *answer)
{
    if (!end_call(follower, answer))
        return;
    log_received(follower, answer);
    apply_newest_row(follower, answer);
    confirm(follower);
    follower->row_loaded = true;
}

static void
on_snapshot(cs_config_follower *follower, const cs_store_answer *answer)
{
    cs_evacuations *evacuations = follower->fleet_state->evacuations;
    int64_t now_us = cs_fleet_state_now(follower->fleet_state).boot_us;

    if (!end_call(follower, answer))
        return;
    follower->snapshot_due = false;
    log_received(follower, answer);
    apply_newest_row(follower, answer);
    if (answer->has_more) {
        /* The evacuated zones are incomplete. Changes are followed from the
           version of the next read, so that the row is read again as well. */
        follower->evacuations_loaded = false;
        follower->row_loaded = false;
        return;
    }
    confirm(follower);
    cs_evacuations_replace(evacuations, answer, now_us);
    cs_evacuations_confirm(evacuations, follower->status->sent_us);
    follower->followed_version = answer->version;
    follower->evacuations_loaded = cs_evacuations_is_known(evacuations);
}

/* Applies the changes of a poll. The store ends an answer at a size without
   saying so, thus only one without rows shows that nothing is missing. */
static void
apply_changes(cs_config_follower *follower, const cs_store_answer *answer)
{
    cs_evacuations *evacuations = follower->fleet_state->evacuations;
    int64_t now_us = cs_fleet_state_now(follower->fleet_state).boot_us;
    size_t i;

    log_received(follower, answer);
    apply_newest_row(follower, answer);
    for (i = 0; i < answer->row_count; i++)
        cs_evacuations_apply(evacuations, &answer->rows[i], now_us);
    if (answer->row_count == 0) {
        cs_evacuations_confirm(evacuations, follower->status->sent_us);
        confirm(follower);
    }
    follower->check_due = answer->row_count > 0;
    follower->followed_version = answer->version;
    follower->evacuations_loaded = cs_evacuations_is_known(evacuations);
}

static void
on_changes(cs_config_follower *follower, const cs_store_answer *answer)
{
    if (!end_call(follower, answer))
        return;
    apply_changes(follower, answer);
    cs_config_follower_tick(follower);
}

static void
on_check(cs_config_follower *follower, const cs_store_answer *answer)
{
    if (answer->code == CS_E_TOO_LARGE) {
        /* The next poll transfers the changes. */
        follower->check_due = false;
        follower->status->call = CS_CONFIG_CALL_NONE;
        cs_fleet_state_record_store_answer(follower->fleet_state,
                                           answer->code);
        return;
    }
    if (end_call(follower, answer))
        apply_changes(follower, answer);
}

static int64_t
answer_timeout_us(const cs_config_follower *follower)
{
    bool small = is_row_small(follower);
    int64_t max_us =
        small ? ANSWER_TIMEOUT_SMALL_MAX_US : ANSWER_TIMEOUT_MAX_US;

    if (follower->fleet_state->relayed && !small)
        return max_us;
    return MIN(ANSWER_TIMEOUT_US << MIN(follower->unanswered_calls, 8U),
               max_us);
}

/* Returns whether the VM polls in its slot instead of waiting for changes. */
static bool
polls_in_slot(const cs_config_follower *follower)
{
    const cs_vm_rank *rank = &follower->fleet_state->rank;

    return follower->row_bytes > LARGE_ROW_BYTES && rank->known &&
           rank->zone_rank >= WAITING_READERS;
}

/* Returns the time until the VM's next slot, which begins in each period at
   the same time by the store's clock. */
static int64_t
time_to_slot_us(const cs_config_follower *follower, int64_t now_us)
{
    int64_t period_us =
        follower->fleet_state->settings.bounds.config_apply_ms * CS_MS_US /
        SLOTS_DIVISOR;
    uint32_t slot =
        follower->fleet_state->rank.zone_rank / READERS_PER_SLOT % SLOT_COUNT;
    int64_t slot_us = period_us * slot / SLOT_COUNT;
    int64_t phase_us = (now_us + follower->store_clock_us) % period_us;

    /* A VM whose slot is just about to begin has polled in it already: the
       clock is known only to the delay of a call. */
    return period_us / SLOT_COUNT +
           (slot_us - phase_us + 2 * period_us - period_us / SLOT_COUNT) %
               period_us;
}

static void
read_evacuations(cs_config_follower *follower, int64_t now_us)
{
    const cs_fleet_ports *ports = &follower->fleet_state->ports;
    cs_row_range range = cs_evacuations_range(
        follower->fleet_state->evacuations, ports->config_table);

    ports->store->read(ports->store->self, &range, now_us + ANSWER_TIMEOUT_US,
                       on_answer, create_call(follower, on_evacuations));
}

/* Reads the rows of the configuration and of the evacuated zones as of one
   moment, and others whose keys are between them. */
static void
read_snapshot(cs_config_follower *follower, int64_t now_us)
{
    const cs_fleet_ports *ports = &follower->fleet_state->ports;
    cs_row_range range = cs_evacuations_range(
        follower->fleet_state->evacuations, ports->config_table);

    if (strcmp(ports->config_key, range.from) < 0)
        range.from = ports->config_key;
    else if (strcmp(ports->config_key, range.to) >= 0)
        range.to = NULL;
    range.limit = 0;
    ports->store->read(ports->store->self, &range,
                       now_us + answer_timeout_us(follower), on_answer,
                       create_call(follower, on_snapshot));
}

static void
read_row(cs_config_follower *follower, int64_t now_us)
{
    const cs_fleet_ports *ports = &follower->fleet_state->ports;
    cs_row_range range = {.table = ports->config_table,
                          .part = "",
                          .from = ports->config_key,
                          .limit = 1};

    ports->store->read(ports->store->self, &range,
                       now_us + answer_timeout_us(follower), on_answer,
                       create_call(follower, on_config_row));
}

/* Polls without waiting for changes or transferring large ones. */
static void
check_for_changes(cs_config_follower *follower, int64_t now_us)
{
    const cs_fleet_ports *ports = &follower->fleet_state->ports;

    follower->status->call = CS_CONFIG_CALL_POLL;
    ports->store->follow(ports->store->self, ports->config_table,
                         follower->followed_version, 0, CHECK_BYTES_MAX,
                         now_us + answer_timeout_us(follower), on_answer,
                         create_call(follower, on_check));
}

static void
follow_table(cs_config_follower *follower, int64_t now_us)
{
    cs_config_status *status = follower->status;
    const cs_fleet_ports *ports = &follower->fleet_state->ports;
    int64_t wait_ms =
        follower->fleet_state->settings.bounds.config_apply_ms / WAIT_DIVISOR;

    status->call = CS_CONFIG_CALL_POLL;
    if (polls_in_slot(follower)) {
        wait_ms = 0;
        status->next_call_us = now_us + time_to_slot_us(follower, now_us);
    }
    ports->store->follow(
        ports->store->self, ports->config_table, follower->followed_version,
        wait_ms, poll_bytes_max(follower),
        now_us + wait_ms * CS_MS_US + answer_timeout_us(follower), on_answer,
        create_call(follower, on_changes));
}

cs_config_follower *
cs_config_follower_create(cs_fleet_state *fleet_state)
{
    cs_config_follower *follower = g_new0(cs_config_follower, 1);

    follower->fleet_state = fleet_state;
    follower->status = &fleet_state->config_status;
    follower->versions_received =
        cs_fleet_state_counter(fleet_state, "cs_config_versions_received");
    follower->age_ms = cs_fleet_state_counter(fleet_state, "cs_config_age_ms");
    follower->applied =
        cs_fleet_state_counter(fleet_state, "cs_config_applied");
    follower->rejected =
        cs_fleet_state_counter(fleet_state, "cs_config_rejected");
    follower->skipped =
        cs_fleet_state_counter(fleet_state, "cs_config_polls_skipped_total");
    follower->superseded = cs_fleet_state_counter(
        fleet_state, "cs_config_polls_superseded_total");
    follower->retries =
        cs_fleet_state_counter(fleet_state, "cs_config_retries_total");
    return follower;
}

void
cs_config_follower_destroy(cs_config_follower *follower)
{
    g_free(follower);
}

static bool
route_has_changed(const cs_config_follower *follower)
{
    return follower->route_changes != follower->fleet_state->route_changes;
}

/* Returns whether the call in flight went by a route that was left since, and
   is to be repeated. A large row is repeated only on the direct route, which
   needs one transfer where a peer needs two. */
static bool
is_superseded(const cs_config_follower *follower)
{
    return route_has_changed(follower) &&
           (is_row_small(follower) || !follower->fleet_state->relayed);
}

/* Ends the pause after failed calls if the route has changed since the last
   one: it says nothing of the new route. Changes are limited by the router. */
static void
end_pause_of_former_route(cs_config_follower *follower, int64_t now_us)
{
    if (follower->status->failed_calls == 0 || !route_has_changed(follower))
        return;
    follower->delayed_calls = 0;
    follower->unanswered_calls = 0;
    follower->status->next_call_us = now_us;
}

void
cs_config_follower_tick(cs_config_follower *follower)
{
    int64_t now_us = cs_fleet_state_now(follower->fleet_state).boot_us;

    *follower->age_ms = cs_config_status_age_ms(follower->status, now_us);
    if (follower->status->call != CS_CONFIG_CALL_NONE &&
        is_superseded(follower)) {
        (*follower->superseded)++;
        follower->status->call = CS_CONFIG_CALL_NONE;
        follower->status->next_call_us = now_us;
    }
    if (follower->status->call == CS_CONFIG_CALL_NONE)
        end_pause_of_former_route(follower, now_us);
    if (follower->status->call != CS_CONFIG_CALL_NONE ||
        (now_us < follower->status->next_call_us && !follower->check_due))
        return;
    follower->status->call = CS_CONFIG_CALL_READ;
    follower->route_changes = follower->fleet_state->route_changes;
    follower->status->sent_us = now_us;
    /* Changes are followed from the version of the first read, so that some
       are applied after the second one has shown them. An old version of the
       configuration is skipped then, but an old change of an evacuation would
       return its zone, so the evacuations are read first. */
    if (follower->snapshot_due)
        read_snapshot(follower, now_us);
    else if (!follower->evacuations_loaded &&
             now_us >= follower->next_evacuations_us)
        read_evacuations(follower, now_us);
    else if (!follower->row_loaded)
        read_row(follower, now_us);
    else if (follower->check_due)
        check_for_changes(follower, now_us);
    else
        follow_table(follower, now_us);
}
