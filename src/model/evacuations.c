#include "corianderstair/evacuations.h"
#include "corianderstair/clock.h"
#include "corianderstair/log.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

/* Older than every instant of the clock; half of the range, so that
   differences do not overflow. */
#define NEVER_US (INT64_MIN / 2)

struct cs_evacuations {
    char *key_prefix;
    char *range_end;      /* first key after all that have the prefix */
    GHashTable *zones;    /* zone to int64_t, the boot clock when first seen */
    bool known;           /* a complete read has been applied */
    int64_t confirmed_us; /* boot clock; changes before it are applied */
};

cs_evacuations *
cs_evacuations_create(const char *key_prefix)
{
    cs_evacuations *evacuations = g_new0(cs_evacuations, 1);

    evacuations->key_prefix = g_strdup(key_prefix);
    evacuations->confirmed_us = NEVER_US;
    evacuations->range_end = g_strdup(key_prefix);
    evacuations->range_end[strlen(key_prefix) - 1]++;
    evacuations->zones =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return evacuations;
}

void
cs_evacuations_destroy(cs_evacuations *evacuations)
{
    if (!evacuations)
        return;
    g_hash_table_destroy(evacuations->zones);
    g_free(evacuations->key_prefix);
    g_free(evacuations->range_end);
    g_free(evacuations);
}

cs_row_range
cs_evacuations_range(const cs_evacuations *evacuations, const char *table)
{
    cs_row_range range = {.table = table,
                          .part = "",
                          .from = evacuations->key_prefix,
                          .to = evacuations->range_end,
                          .limit = CS_EVACUATIONS_MAX};

    return range;
}

/* Returns the zone that a key names, or NULL if it is no evacuation. */
static const char *
zone_of_key(const cs_evacuations *evacuations, const char *key)
{
    size_t length = strlen(evacuations->key_prefix);

    if (strncmp(key, evacuations->key_prefix, length) != 0 || !key[length])
        return NULL;
    return key + length;
}

static void
set_unknown(cs_evacuations *evacuations)
{
    if (evacuations->known)
        cs_log_event("evacuations-unknown",
                     "more than %d zones are evacuated, no task is started",
                     CS_EVACUATIONS_MAX);
    evacuations->known = false;
}

static void
add_zone(cs_evacuations *evacuations, const char *zone, uint64_t version,
         int64_t now_us)
{
    int64_t *since_us;

    if (g_hash_table_contains(evacuations->zones, zone))
        return;
    if (g_hash_table_size(evacuations->zones) >= CS_EVACUATIONS_MAX) {
        set_unknown(evacuations);
        return;
    }
    since_us = g_new(int64_t, 1);
    *since_us = now_us;
    g_hash_table_insert(evacuations->zones, g_strdup(zone), since_us);
    cs_log_event("zone-evacuating", "zone %s, row version %" PRIu64, zone,
                 version);
}

static void
log_return(const char *zone, int64_t since_us, int64_t now_us)
{
    cs_log_event("zone-returned", "zone %s, evacuated for %" PRId64 " ms",
                 zone, (now_us - since_us) / CS_MS_US);
}

static bool
lists_zone(const cs_evacuations *evacuations, const cs_store_answer *answer,
           const char *zone)
{
    size_t i;

    for (i = 0; i < answer->row_count; i++) {
        const char *listed = zone_of_key(evacuations, answer->rows[i].key);

        if (listed && strcmp(listed, zone) == 0)
            return true;
    }
    return false;
}

static void
remove_unlisted_zones(cs_evacuations *evacuations,
                      const cs_store_answer *answer, int64_t now_us)
{
    GHashTableIter iter;
    gpointer zone;
    gpointer since_us;

    g_hash_table_iter_init(&iter, evacuations->zones);
    while (g_hash_table_iter_next(&iter, &zone, &since_us)) {
        if (lists_zone(evacuations, answer, zone))
            continue;
        log_return(zone, *(const int64_t *)since_us, now_us);
        g_hash_table_iter_remove(&iter);
    }
}

bool
cs_evacuations_replace(cs_evacuations *evacuations,
                       const cs_store_answer *answer, int64_t now_us)
{
    size_t i;

    if (answer->has_more) {
        set_unknown(evacuations);
        return false;
    }
    remove_unlisted_zones(evacuations, answer, now_us);
    evacuations->known = true;
    for (i = 0; i < answer->row_count; i++)
        cs_evacuations_apply(evacuations, &answer->rows[i], now_us);
    return evacuations->known;
}

void
cs_evacuations_apply(cs_evacuations *evacuations, const cs_row *row,
                     int64_t now_us)
{
    const char *zone = zone_of_key(evacuations, row->key);
    const int64_t *since_us;

    if (!zone)
        return;
    if (!row->deleted) {
        add_zone(evacuations, zone, row->version, now_us);
        return;
    }
    since_us = g_hash_table_lookup(evacuations->zones, zone);
    if (!since_us)
        return;
    log_return(zone, *since_us, now_us);
    g_hash_table_remove(evacuations->zones, zone);
}

void
cs_evacuations_confirm(cs_evacuations *evacuations, int64_t sent_us)
{
    evacuations->confirmed_us = MAX(evacuations->confirmed_us, sent_us);
}

bool
cs_evacuations_is_known(const cs_evacuations *evacuations)
{
    return evacuations->known;
}

bool
cs_evacuations_is_current(const cs_evacuations *evacuations, int64_t now_us,
                          int64_t max_age_us)
{
    return evacuations->known &&
           now_us - evacuations->confirmed_us <= max_age_us;
}

bool
cs_evacuations_contains(const cs_evacuations *evacuations, const char *zone)
{
    return zone && *zone && g_hash_table_contains(evacuations->zones, zone);
}

json_t *
cs_evacuations_status(const cs_evacuations *evacuations, int64_t now_us)
{
    json_t *list = json_array();
    GHashTableIter iter;
    gpointer zone;
    gpointer since_us;

    g_hash_table_iter_init(&iter, evacuations->zones);
    while (g_hash_table_iter_next(&iter, &zone, &since_us))
        json_array_append_new(
            list, json_pack("{s:s,s:I}", "zone", (const char *)zone, "for_ms",
                            (json_int_t)((now_us - *(int64_t *)since_us) /
                                         CS_MS_US)));
    return list;
}
