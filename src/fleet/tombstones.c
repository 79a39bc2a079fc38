#include "tombstones.h"

/* Of a change, which may hold 100 entries: a condition and a removal each. */
#define REMOVALS_MAX 50
/* Interval at which the tombstones are searched for expired ones. */
#define SEARCH_INTERVAL_US CS_SEC_US

struct tombstone {
    char id[CS_JOB_ID_BYTES];
    uint64_t version;   /* of its row */
    int64_t expires_us; /* boot clock */
};

struct tombstones {
    GHashTable *by_id;  /* of struct tombstone, owned */
    GPtrArray *removed; /* of struct tombstone, owned: copies of those whose
                           removal is in flight; NULL for none */
    int64_t next_search_us;
};

struct tombstones *
tombstones_create(void)
{
    struct tombstones *tombstones = g_new0(struct tombstones, 1);

    tombstones->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return tombstones;
}

static void
end_removal(struct tombstones *tombstones)
{
    if (tombstones->removed)
        g_ptr_array_free(tombstones->removed, TRUE);
    tombstones->removed = NULL;
}

void
tombstones_free(struct tombstones *tombstones)
{
    end_removal(tombstones);
    g_hash_table_destroy(tombstones->by_id);
    g_free(tombstones);
}

static void
update_gauge(const cs_fleet *fleet)
{
    *cs_fleet_state_counter(fleet->state, "cs_tombstones") =
        g_hash_table_size(fleet->tombstones->by_id);
}

/* Returns how long ago the row was written; 0 if that is not known, so that
   the tombstone is retained for too long rather than too short. */
static int64_t
age_ms(const cs_fleet *fleet, const cs_job_spec *spec)
{
    if (spec->tombstone_ms <= 0 || spec->tombstone_ms > fleet->store_clock_ms)
        return 0;
    return fleet->store_clock_ms - spec->tombstone_ms;
}

void
tombstones_note(cs_fleet *fleet, const cs_row *row, const cs_job_spec *spec)
{
    GHashTable *by_id = fleet->tombstones->by_id;
    struct tombstone *tombstone = g_hash_table_lookup(by_id, spec->id);

    if (tombstone && row->version < tombstone->version)
        return;
    if (!tombstone) {
        tombstone = g_new0(struct tombstone, 1);
        g_strlcpy(tombstone->id, spec->id, sizeof(tombstone->id));
        g_hash_table_insert(by_id, tombstone->id, tombstone);
    }
    tombstone->version = row->version;
    tombstone->expires_us =
        fleet_now(fleet).boot_us +
        (cs_fleet_state_retention_ms(fleet->state) - age_ms(fleet, spec)) *
            CS_MS_US;
    update_gauge(fleet);
}

void
tombstones_forget(cs_fleet *fleet, const char *id)
{
    if (g_hash_table_remove(fleet->tombstones->by_id, id))
        update_gauge(fleet);
}

/* Returns copies of expired tombstones whose rows share a part of the store,
   or NULL if there are none. */
static GPtrArray *
list_expired(const struct tombstones *tombstones, int64_t now_us)
{
    char part[CS_JOB_PART_BYTES] = "";
    GPtrArray *list = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, tombstones->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value) &&
           (!list || list->len < REMOVALS_MAX)) {
        const struct tombstone *tombstone = value;
        char own_part[CS_JOB_PART_BYTES];

        if (tombstone->expires_us > now_us)
            continue;
        cs_job_part(own_part, tombstone->id);
        if (!list) {
            list = g_ptr_array_new_with_free_func(g_free);
            g_strlcpy(part, own_part, sizeof(part));
        }
        if (strcmp(own_part, part) == 0)
            g_ptr_array_add(list, g_memdup2(tombstone, sizeof(*tombstone)));
    }
    return list;
}

/* Returns whether a failed removal has found the row as it was to be removed.
   It is not to be removed otherwise: it is gone, or written since, which a
   change of the table tells. */
static bool
is_unchanged(const struct tombstone *tombstone, const cs_store_answer *answer)
{
    size_t i;

    for (i = 0; i < answer->row_count; i++) {
        const cs_row *row = &answer->rows[i];

        if (strcmp(row->key, tombstone->id) == 0)
            return !row->deleted && row->version == tombstone->version;
    }
    return false;
}

/* Forgets a tombstone unless its row was written since. */
static void
forget_removed(cs_fleet *fleet, const struct tombstone *removed)
{
    const struct tombstone *tombstone =
        g_hash_table_lookup(fleet->tombstones->by_id, removed->id);

    if (tombstone && tombstone->version == removed->version)
        tombstones_forget(fleet, removed->id);
}

static void
on_removed(void *user_data, const cs_store_answer *answer)
{
    struct call *call = user_data;
    cs_fleet *fleet = call->fleet;
    struct tombstones *tombstones = fleet->tombstones;
    bool stale = call_is_stale(call);
    guint count = 0;
    guint i;

    g_free(call);
    if (stale)
        return;
    for (i = 0; i < tombstones->removed->len; i++) {
        const struct tombstone *removed =
            g_ptr_array_index(tombstones->removed, i);

        if (answer->code == 0 || (answer->code == CS_E_CONFLICT &&
                                  !is_unchanged(removed, answer))) {
            forget_removed(fleet, removed);
            count++;
        }
    }
    if (count > 0)
        cs_log_event("tombstones-removed",
                     "%u rows, %u remain, store at version %" PRIu64, count,
                     g_hash_table_size(tombstones->by_id), answer->version);
    end_removal(tombstones);
}

static void
send_removal(cs_fleet *fleet, const GPtrArray *removed)
{
    const cs_store_port *store = fleet->state->ports.store;
    const struct tombstone *first = g_ptr_array_index(removed, 0);
    char part[CS_JOB_PART_BYTES];
    cs_row rows[REMOVALS_MAX] = {0};
    /* An attempt that is carried out late must not remove a newer row. */
    cs_row_change change = {.conditions = rows,
                            .condition_count = removed->len,
                            .removals = rows,
                            .removal_count = removed->len};
    guint i;

    cs_job_part(part, first->id);
    for (i = 0; i < removed->len; i++) {
        const struct tombstone *tombstone = g_ptr_array_index(removed, i);

        rows[i].table = CS_TABLE_JOBS;
        rows[i].part = part;
        rows[i].key = tombstone->id;
        rows[i].version = tombstone->version;
    }
    store->change(store->self, &change,
                  fleet_now(fleet).boot_us + STORE_TIMEOUT_US, on_removed,
                  call_create(fleet, NULL));
}

void
tombstones_remove_expired(cs_fleet *fleet)
{
    struct tombstones *tombstones = fleet->tombstones;
    int64_t now_us = fleet_now(fleet).boot_us;

    if (tombstones->removed || now_us < tombstones->next_search_us)
        return;
    tombstones->removed = list_expired(tombstones, now_us);
    if (tombstones->removed)
        send_removal(fleet, tombstones->removed);
    else
        tombstones->next_search_us = now_us + SEARCH_INTERVAL_US;
}
