/*
 * Outages of the store as this VM sees them: it has answered on no route for a
 * while. Submissions are then rejected at once, while probes find out when the
 * store answers again.
 */
#include "entry_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/outage.h"

#include <inttypes.h>
#include <string.h>

/* Callers retry about twice a second for their 3 s, so the end of an outage
   has to be known sooner than that. The next probe is sent before former ones
   without an answer are given up. A slow store answers a probe in time
   although it does not answer other calls in theirs. */
#define PROBE_INTERVAL_US (300 * CS_MS_US)
#define PROBE_TIMEOUT_US (2 * CS_SEC_US)
#define PROBES_MAX 8
/* Key of the row that is read; it exists as soon as any VM held the cell. */
#define PROBE_KEY "epoch"

struct entry_outage {
    cs_fleet_state *fleet_state;
    cs_outage outage;
    uint32_t probes; /* in flight */
    int64_t next_probe_us;
    int64_t *outages;
    int64_t *rejected;
    int64_t *rejected_in_outage;
};

struct entry_outage *
entry_outage_create(cs_fleet_state *fleet_state)
{
    struct entry_outage *outage = g_new0(struct entry_outage, 1);

    outage->fleet_state = fleet_state;
    outage->outages =
        cs_fleet_state_counter(fleet_state, "cs_store_outages_total");
    outage->rejected =
        cs_fleet_state_counter(fleet_state, "cs_jobs_rejected_total");
    outage->rejected_in_outage =
        cs_fleet_state_counter(fleet_state, "cs_jobs_rejected_outage_total");
    return outage;
}

void
entry_outage_destroy(struct entry_outage *outage)
{
    g_free(outage);
}

static void
on_probe(void *user_data, const cs_store_answer *answer)
{
    struct entry_outage *outage = user_data;

    outage->probes--;
    cs_fleet_state_record_store_answer(outage->fleet_state, answer->code);
}

static void
send_probe(struct entry_outage *outage, int64_t now_us)
{
    const cs_store_port *store = outage->fleet_state->ports.store;
    cs_row_range range = {.table = CS_TABLE_CELL,
                          .part = CS_CELL_PART,
                          .from = PROBE_KEY,
                          .to = PROBE_KEY "!",
                          .limit = 1};

    outage->next_probe_us = now_us + PROBE_INTERVAL_US;
    outage->probes++;
    store->read(store->self, &range, now_us + PROBE_TIMEOUT_US, on_probe,
                outage);
}

void
entry_outage_tick(struct entry_outage *outage)
{
    const cs_fleet_state *state = outage->fleet_state;
    int64_t now_us = cs_fleet_state_now(state).boot_us;
    int64_t since_us = outage->outage.since_us;
    bool present =
        cs_outage_update(&outage->outage, state->last_store_answer_us,
                         state->store_failing_since_us, now_us);

    if (since_us && outage->outage.since_us != since_us)
        cs_log_event("store-outage-ended", "after %" PRId64 " ms",
                     (state->last_store_answer_us - since_us) / CS_MS_US);
    if (!present)
        return;
    if (since_us != outage->outage.since_us) {
        (*outage->outages)++;
        cs_log_event("store-outage",
                     "no answer for %" PRId64 " ms, expected to last %" PRId64
                     " ms more",
                     (now_us - outage->outage.since_us) / CS_MS_US,
                     cs_outage_rest_us(&outage->outage, now_us) / CS_MS_US);
    }
    if (now_us >= outage->next_probe_us && outage->probes < PROBES_MAX)
        send_probe(outage, now_us);
}

uint32_t
entry_outage_retry_after_s(const struct entry_outage *outage, const char *id,
                           int64_t timeout_ms)
{
    return cs_outage_retry_after_s(
        &outage->outage, cs_fleet_state_now(outage->fleet_state).boot_us, id,
        timeout_ms);
}

bool
entry_outage_is_present(const struct entry_outage *outage)
{
    int64_t now_us = cs_fleet_state_now(outage->fleet_state).boot_us;
    int64_t answered_us = outage->fleet_state->last_store_answer_us;

    /* An answer since the last tick ends the outage. A store that refuses
       calls answers a probe at once, so the next one may not be due yet. */
    return outage->outage.since_us && answered_us <= outage->outage.since_us &&
           (outage->probes > 0 || now_us < outage->next_probe_us);
}

void
entry_outage_reject(struct entry_outage *outage, const char *id,
                    int64_t deadline_us, cs_entry_reply *reply)
{
    int64_t now_us = cs_fleet_state_now(outage->fleet_state).boot_us;
    int64_t answered_us = outage->fleet_state->last_store_answer_us;

    memset(reply, 0, sizeof(*reply));
    reply->type = CS_REPLY_REJECTED;
    reply->code = CS_E_STORE_UNAVAILABLE;
    reply->message = "the store cannot be reached";
    reply->retry_after_s = entry_outage_retry_after_s(
        outage, id, (deadline_us - now_us) / CS_MS_US);
    (*outage->rejected)++;
    (*outage->rejected_in_outage)++;
    cs_log_event("job-rejected",
                 "job %s: outage, no answer of the store for %" PRId64
                 " ms, retry after %u s",
                 id, (now_us - answered_us) / CS_MS_US, reply->retry_after_s);
}
