/*
 * Admission of submissions by the forecast that the holder of the cell
 * publishes. Without a forecast that is recent and of the current epoch every
 * job is accepted.
 */
#include "entry_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <inttypes.h>
#include <string.h>

/* A write without an answer may take effect as long as the store may hold it
   back, which is seconds. */
#define UNSETTLED_US (30 * CS_SEC_US)
#define UNSETTLED_MAX 1024
/* Ids of stored jobs that are remembered, the newest. A caller returns within
   seconds, and a read for a rejection takes at most 0.9 s. Later the row may
   have been deleted. */
#define STORED_US (30 * CS_SEC_US)
#define STORED_MAX 4096

/* Writes of a job's row that this process has sent. */
struct unsettled_write {
    uint32_t in_flight;
    int64_t until_us; /* boot clock; one may take effect before; 0: none */
};

struct entry_admit {
    cs_fleet_state *fleet_state;
    cs_forecast forecast;
    bool forecast_valid;
    uint64_t forecast_serial; /* of the record that was decoded */
    cs_admit_returning *returning;
    GHashTable *unsettled; /* id to struct unsettled_write */
    GHashTable *stored;    /* id to boot clock until which it is remembered */
    GQueue stored_order;   /* the same ids, oldest first */
    int64_t unlisted_until_us; /* boot clock; writes of ids that did not fit
                                  into the table may be unsettled before */
    int64_t *rejected;
    int64_t *unservable;
    int64_t *too_late;
    int64_t *unreadable;
};

struct entry_admit *
entry_admit_create(cs_fleet_state *fleet_state)
{
    struct entry_admit *admit = g_new0(struct entry_admit, 1);

    admit->fleet_state = fleet_state;
    admit->returning = cs_admit_returning_create();
    admit->unsettled =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    admit->stored =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&admit->stored_order);
    admit->rejected =
        cs_fleet_state_counter(fleet_state, "cs_jobs_rejected_total");
    admit->unservable =
        cs_fleet_state_counter(fleet_state, "cs_jobs_unservable_total");
    admit->too_late =
        cs_fleet_state_counter(fleet_state, "cs_jobs_too_late_total");
    admit->unreadable =
        cs_fleet_state_counter(fleet_state, "cs_forecasts_unreadable_total");
    return admit;
}

void
entry_admit_destroy(struct entry_admit *admit)
{
    if (!admit)
        return;
    if (admit->forecast_valid)
        cs_forecast_dispose(&admit->forecast);
    cs_admit_returning_destroy(admit->returning);
    g_hash_table_destroy(admit->unsettled);
    g_queue_clear(&admit->stored_order);
    g_hash_table_destroy(admit->stored);
    g_free(admit);
}

static int64_t
now_us(const struct entry_admit *admit)
{
    return cs_fleet_state_now(admit->fleet_state).boot_us;
}

/* Decodes the forecast if it was replaced since. */
static void
update_forecast(struct entry_admit *admit)
{
    const cs_cell_view *cell = &admit->fleet_state->cell;

    if (cell->forecast_serial == admit->forecast_serial)
        return;
    admit->forecast_serial = cell->forecast_serial;
    if (admit->forecast_valid)
        cs_forecast_dispose(&admit->forecast);
    admit->forecast_valid = false;
    if (!cell->forecast)
        return;
    if (cs_forecast_decode(&admit->forecast, cell->forecast->data,
                           cell->forecast->len)) {
        (*admit->unreadable)++;
        return;
    }
    admit->forecast_valid = true;
}

static int64_t
forecast_age_ms(const struct entry_admit *admit)
{
    const cs_cell_view *cell = &admit->fleet_state->cell;

    return cell->forecast_read_ms - admit->forecast.made_ms +
           (now_us(admit) - cell->forecast_read_us) / CS_MS_US;
}

struct entry_verdict *
entry_admit_decide(struct entry_admit *admit, const cs_queue_config *queue,
                   const cs_organisation_config *organisation,
                   const cs_job_spec *spec, int64_t timeout_ms)
{
    cs_admit_input input = {.epoch = admit->fleet_state->cell.epoch,
                            .queue = queue,
                            .organisation = organisation,
                            .job = spec,
                            .timeout_ms = timeout_ms,
                            .returning = admit->returning,
                            .now_us = now_us(admit)};
    cs_admit_decision decision;
    struct entry_verdict *verdict;

    update_forecast(admit);
    if (!admit->forecast_valid)
        return NULL;
    input.forecast = &admit->forecast;
    input.age_ms = forecast_age_ms(admit);
    decision = cs_admit_decide(&input);
    if (decision.verdict == CS_ADMIT_ACCEPT ||
        entry_admit_is_unsettled(admit, spec->id))
        return NULL;
    verdict = g_new0(struct entry_verdict, 1);
    verdict->decision = decision;
    verdict->forecast_age_ms = input.age_ms;
    verdict->epoch = input.epoch;
    g_strlcpy(verdict->queue, queue->name, sizeof(verdict->queue));
    g_strlcpy(verdict->organisation, organisation ? organisation->name : "",
              sizeof(verdict->organisation));
    return verdict;
}

void
entry_admit_reject(struct entry_admit *admit, const char *id,
                   const struct entry_verdict *verdict, cs_entry_reply *reply)
{
    const cs_admit_decision *decision = &verdict->decision;
    bool too_late = decision->verdict == CS_ADMIT_TOO_LATE;

    (*admit->rejected)++;
    (*(too_late ? admit->too_late : admit->unservable))++;
    if (too_late)
        cs_admit_returning_add(admit->returning, id, now_us(admit),
                               decision->wait_ms);
    cs_log_event("job-rejected",
                 "job %s queue %s organisation %s: %s, wait %" PRId64
                 " ms, end %" PRId64 " ms, counts until %" PRId64
                 " ms, forecast of epoch %" PRIu64 " %" PRId64
                 " ms old, retry after %u s",
                 id, verdict->queue, verdict->organisation,
                 cs_admit_verdict_name(decision->verdict), decision->wait_ms,
                 decision->end_ms, decision->limit_ms, verdict->epoch,
                 verdict->forecast_age_ms, decision->retry_after_s);
    reply->type = CS_REPLY_REJECTED;
    reply->retry_after_s = decision->retry_after_s;
    reply->code = too_late ? CS_E_OVERLOAD : CS_E_NEVER_RUNNABLE;
    reply->message = decision->reason;
}

static gboolean
is_settled(gpointer key, gpointer value, gpointer user_data)
{
    const struct unsettled_write *write = value;

    return write->in_flight == 0 &&
           write->until_us <= *(const int64_t *)user_data;
}

void
entry_admit_note_write(struct entry_admit *admit, const char *id)
{
    struct unsettled_write *write = g_hash_table_lookup(admit->unsettled, id);
    int64_t now = now_us(admit);

    if (!write && g_hash_table_size(admit->unsettled) >= UNSETTLED_MAX)
        g_hash_table_foreach_remove(admit->unsettled, is_settled, &now);
    if (!write && g_hash_table_size(admit->unsettled) >= UNSETTLED_MAX) {
        /* Nothing is rejected while it is not known what may be stored. */
        admit->unlisted_until_us = now + UNSETTLED_US;
        return;
    }
    if (!write) {
        write = g_new0(struct unsettled_write, 1);
        g_hash_table_insert(admit->unsettled, g_strdup(id), write);
    }
    write->in_flight++;
}

void
entry_admit_note_answer(struct entry_admit *admit, const char *id,
                        bool unknown)
{
    struct unsettled_write *write = g_hash_table_lookup(admit->unsettled, id);
    int64_t now = now_us(admit);

    if (!write) {
        /* The table was full when the write was sent. */
        if (unknown && !entry_admit_is_stored(admit, id))
            admit->unlisted_until_us = now + UNSETTLED_US;
        return;
    }
    if (write->in_flight > 0)
        write->in_flight--;
    if (unknown)
        write->until_us = now + UNSETTLED_US;
    if (is_settled(NULL, write, &now))
        g_hash_table_remove(admit->unsettled, id);
}

static void
remember_stored(struct entry_admit *admit, const char *id)
{
    int64_t until_us = now_us(admit) + STORED_US;
    int64_t *known = g_hash_table_lookup(admit->stored, id);
    char *copy;

    if (known) {
        *known = until_us;
        return;
    }
    if (g_hash_table_size(admit->stored) >= STORED_MAX)
        g_hash_table_remove(admit->stored,
                            g_queue_pop_head(&admit->stored_order));
    copy = g_strdup(id);
    g_hash_table_insert(admit->stored, copy,
                        g_memdup2(&until_us, sizeof(until_us)));
    g_queue_push_tail(&admit->stored_order, copy);
}

void
entry_admit_note_stored(struct entry_admit *admit, const char *id)
{
    remember_stored(admit, id);
    g_hash_table_remove(admit->unsettled, id);
    cs_admit_returning_remove(admit->returning, id);
}

bool
entry_admit_is_stored(const struct entry_admit *admit, const char *id)
{
    const int64_t *until_us = g_hash_table_lookup(admit->stored, id);

    return until_us && now_us(admit) < *until_us;
}

bool
entry_admit_is_unsettled(const struct entry_admit *admit, const char *id)
{
    int64_t now = now_us(admit);
    gpointer write = g_hash_table_lookup(admit->unsettled, id);

    return now < admit->unlisted_until_us ||
           (write && !is_settled(NULL, write, &now));
}
