/*
 * Limits the tombstones that this process writes for cancelled ids without a
 * job. Ids are free to invent, and each tombstone is a row that the store and
 * the holder of the cell keep for the retention time.
 */
#include "entry_internal.h"
#include "corianderstair/log.h"

#include <string.h>

/* With the most VMs of a deployment, 147, less than 19,000 rows: 40 pages for
   a new holder to read. */
#define TOMBSTONES_MAX 128
/* Of one organisation, so that one alone does not take the room of others. */
#define ORGANISATION_TOMBSTONES_MAX (TOMBSTONES_MAX / 2)
#define LINE_INTERVAL_US CS_SEC_US

struct written {
    int64_t until_us; /* boot clock; the row is removed about then */
    char organisation[CS_JOB_NAME_BYTES];
};

struct entry_tombstones {
    cs_fleet_state *fleet_state;
    GQueue written; /* of struct written, oldest first */
    int64_t next_line_us;
    uint32_t refusals_not_logged;
    int64_t *count;
    int64_t *refused;
};

struct entry_tombstones *
entry_tombstones_create(cs_fleet_state *fleet_state)
{
    struct entry_tombstones *tombstones = g_new0(struct entry_tombstones, 1);

    tombstones->fleet_state = fleet_state;
    g_queue_init(&tombstones->written);
    tombstones->count =
        cs_fleet_state_counter(fleet_state, "cs_tombstones_written_total");
    tombstones->refused =
        cs_fleet_state_counter(fleet_state, "cs_tombstones_refused_total");
    return tombstones;
}

void
entry_tombstones_destroy(struct entry_tombstones *tombstones)
{
    if (!tombstones)
        return;
    g_queue_clear_full(&tombstones->written, g_free);
    g_free(tombstones);
}

static void
drop_expired(struct entry_tombstones *tombstones, int64_t now_us)
{
    const struct written *oldest;

    while ((oldest = g_queue_peek_head(&tombstones->written)) != NULL &&
           oldest->until_us <= now_us)
        g_free(g_queue_pop_head(&tombstones->written));
}

static guint
count_of_organisation(const struct entry_tombstones *tombstones,
                      const char *organisation)
{
    const GList *link;
    guint count = 0;

    for (link = tombstones->written.head; link; link = link->next) {
        const struct written *written = link->data;

        count += strcmp(written->organisation, organisation) == 0;
    }
    return count;
}

static void
note_refusal(struct entry_tombstones *tombstones, const char *organisation,
             int64_t now_us)
{
    (*tombstones->refused)++;
    if (now_us < tombstones->next_line_us) {
        tombstones->refusals_not_logged++;
        return;
    }
    tombstones->next_line_us = now_us + LINE_INTERVAL_US;
    cs_log_event("tombstone-refused",
                 "organisation %.60s has %u of %u tombstones of this VM; %u "
                 "refusals not logged before",
                 organisation, count_of_organisation(tombstones, organisation),
                 tombstones->written.length, tombstones->refusals_not_logged);
    tombstones->refusals_not_logged = 0;
}

bool
entry_tombstones_reserve(struct entry_tombstones *tombstones,
                         const char *organisation)
{
    int64_t now_us = cs_fleet_state_now(tombstones->fleet_state).boot_us;
    struct written *written;

    drop_expired(tombstones, now_us);
    if (tombstones->written.length >= TOMBSTONES_MAX ||
        count_of_organisation(tombstones, organisation) >=
            ORGANISATION_TOMBSTONES_MAX) {
        note_refusal(tombstones, organisation, now_us);
        return false;
    }
    (*tombstones->count)++;
    written = g_new0(struct written, 1);
    written->until_us =
        now_us +
        cs_fleet_state_retention_ms(tombstones->fleet_state) * CS_MS_US;
    g_strlcpy(written->organisation, organisation,
              sizeof(written->organisation));
    g_queue_push_tail(&tombstones->written, written);
    return true;
}
