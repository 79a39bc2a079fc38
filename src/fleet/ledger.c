/*
 * The ledger of shares: accounting of use, persistence across tenures, and
 * what operators see of it.
 */
#include "ledger.h"
#include "corianderstair/record.h"

#define WRITE_INTERVAL_US (5 * CS_SEC_US)
#define RECORD_VERSION 1
/* Shares and lateness are stored as integers, in millionths. */
#define RECORD_SCALE 1000000.0
/* Organisations in the row, those with the largest shares. The design size has
   390. */
#define ROW_ORGANISATIONS_MAX 400
#define FIELDS 4
#define ORGANISATION_FIELDS 2
#define ZONE_FIELDS (1 + 2 * CS_ZONE_LAG_CLASSES)
/* Maximum sizes of packed items, with their headers. */
#define NAME_BYTES (2 + CS_JOB_NAME_BYTES)
#define NUMBER_BYTES 9
/* The row is read by a new holder before it places. */
#define ROW_BYTES_MAX (32 * 1024)
#define ROW_ZONES_BYTES                                                       \
    (CS_ZONE_LAG_ZONES_MAX *                                                  \
         (NAME_BYTES + (ZONE_FIELDS - 1) * NUMBER_BYTES) +                    \
     FIELDS * NUMBER_BYTES)
#define ROW_ORGANISATIONS_BYTES (ROW_BYTES_MAX - ROW_ZONES_BYTES)

G_STATIC_ASSERT(ROW_ORGANISATIONS_BYTES >= ROW_BYTES_MAX / 2);

struct ledger *
ledger_create(void)
{
    struct ledger *ledger = g_new0(struct ledger, 1);

    ledger_reset(ledger);
    return ledger;
}

void
ledger_destroy(struct ledger *ledger)
{
    cs_shares_destroy(ledger->shares);
    g_free(ledger);
}

void
ledger_reset(struct ledger *ledger)
{
    struct feed feed = {.table = CS_TABLE_CELL,
                        .part = CS_CELL_PART,
                        .apply_row = ledger_apply_row,
                        .page_start = LEDGER_KEY};

    cs_shares_destroy(ledger->shares);
    memset(ledger, 0, sizeof(*ledger));
    ledger->shares = cs_shares_create();
    ledger->feed = feed;
}

void
ledger_add_use(cs_fleet *fleet, const struct task *task)
{
    cs_share *share = cs_shares_get(fleet->ledger->shares,
                                    task->step->job->spec.organisation);

    cs_demand_add(&share->used, &task->step->spec->demand);
}

void
ledger_remove_use(cs_fleet *fleet, const struct task *task)
{
    cs_share *share = cs_shares_get(fleet->ledger->shares,
                                    task->step->job->spec.organisation);

    cs_demand_subtract(&share->used, &task->step->spec->demand);
}

static void
apply_configuration(cs_fleet *fleet)
{
    struct ledger *ledger = fleet->ledger;
    const cs_fleet_config *config = fleet->state->config;

    if (ledger->configured && ledger->config_version == config->version)
        return;
    cs_shares_configure(ledger->shares, config->organisations);
    ledger->configured = true;
    ledger->config_version = config->version;
}

/* Returns the time for which the averages are to be advanced. In the first
   cycle of a tenure it is the age of the row. */
static double
elapsed_s(const cs_fleet *fleet, int64_t now_us)
{
    const struct ledger *ledger = fleet->ledger;

    if (ledger->advanced_us)
        return (double)(now_us - ledger->advanced_us) / (double)CS_SEC_US;
    return (double)MAX(fleet->store_clock_ms - ledger->row_clock_ms, 0) /
           1000.0;
}

void
ledger_begin_cycle(cs_fleet *fleet, const cs_demand *capacity)
{
    struct ledger *ledger = fleet->ledger;
    int64_t now_us = fleet_now(fleet).boot_us;
    double seconds = elapsed_s(fleet, now_us);
    uint32_t i;

    apply_configuration(fleet);
    if (!ledger->advanced_us && !ledger->restored)
        cs_shares_start(ledger->shares, capacity);
    else
        cs_shares_advance(ledger->shares, capacity, seconds);
    cs_zone_lag_advance(&ledger->zones, seconds);
    ledger->advanced_us = now_us;
    for (i = 0; i < cs_shares_count(ledger->shares); i++)
        cs_shares_at(ledger->shares, i)->waiting = false;
}

static void
log_shares(cs_fleet *fleet)
{
    const cs_shares *shares = fleet->ledger->shares;
    double fair = cs_shares_fair(shares);
    uint32_t i;

    for (i = 0; i < cs_shares_count(shares); i++) {
        cs_share *share = cs_shares_at(shares, i);

        if (!share->configured || !cs_shares_update_over(share, fair))
            continue;
        cs_log_event(share->over ? "organisation-over-share"
                                 : "organisation-within-share",
                     "organisation %s uses %.1f%% of the fleet, its share is "
                     "%.1f%%",
                     share->name, share->mean * 100.0,
                     fair * share->weight * 100.0);
        if (share->over)
            fleet_increment_counter(fleet,
                                    "cs_organisations_over_share_total");
    }
}

static void
log_zones(cs_fleet *fleet)
{
    cs_zone_lag *zones = &fleet->ledger->zones;
    uint32_t i;

    for (i = 0; i < zones->zone_count; i++) {
        const cs_zone *zone = &zones->zones[i];

        if (!cs_zone_lag_update_late(zones, i))
            continue;
        cs_log_event(zone->late ? "zone-late" : "zone-caught-up",
                     "zone %s, mean lateness %.2f", zone->name,
                     cs_zone_lag_mean(zone));
        if (zone->late)
            fleet_increment_counter(fleet, "cs_zones_late_total");
    }
}

void
ledger_compute_steps(cs_fleet *fleet)
{
    cs_shares_compute_steps(fleet->ledger->shares);
    cs_zone_lag_compute_steps(&fleet->ledger->zones);
    log_shares(fleet);
    log_zones(fleet);
}

static gint
compare_by_mean(gconstpointer a, gconstpointer b)
{
    const cs_share *first = *(const cs_share *const *)a;
    const cs_share *second = *(const cs_share *const *)b;

    if (first->mean == second->mean)
        return strcmp(first->name, second->name);
    return first->mean > second->mean ? -1 : 1;
}

static int64_t
to_record(double value)
{
    return (int64_t)(value * RECORD_SCALE);
}

/* Returns how many shares, the largest first, fit into the row. */
static uint32_t
count_fitting(const GPtrArray *list)
{
    size_t bytes = 0;
    uint32_t i;

    for (i = 0; i < MIN(list->len, ROW_ORGANISATIONS_MAX); i++) {
        const cs_share *share = g_ptr_array_index(list, i);

        bytes += NAME_BYTES - CS_JOB_NAME_BYTES + strlen(share->name) +
                 NUMBER_BYTES;
        if (bytes > ROW_ORGANISATIONS_BYTES)
            break;
    }
    return i;
}

static void
pack_organisations(msgpack_packer *packer, const cs_shares *shares)
{
    GPtrArray *list = g_ptr_array_new();
    guint count;
    uint32_t i;

    for (i = 0; i < cs_shares_count(shares); i++) {
        cs_share *share = cs_shares_at(shares, i);

        if (share->configured && to_record(share->mean) > 0)
            g_ptr_array_add(list, share);
    }
    g_ptr_array_sort(list, compare_by_mean);
    count = count_fitting(list);
    msgpack_pack_array(packer, count * ORGANISATION_FIELDS);
    for (i = 0; i < count; i++) {
        const cs_share *share = g_ptr_array_index(list, i);

        cs_record_pack_text(packer, share->name);
        msgpack_pack_int64(packer, to_record(share->mean));
    }
    g_ptr_array_free(list, TRUE);
}

static void
pack_zones(msgpack_packer *packer, const cs_zone_lag *zones)
{
    uint32_t i;
    uint32_t k;

    msgpack_pack_array(packer, zones->zone_count * ZONE_FIELDS);
    for (i = 0; i < zones->zone_count; i++) {
        const cs_zone *zone = &zones->zones[i];

        cs_record_pack_text(packer, zone->name);
        for (k = 0; k < CS_ZONE_LAG_CLASSES; k++) {
            msgpack_pack_int64(packer, to_record(zone->classes[k].sum));
            msgpack_pack_int64(packer, to_record(zone->classes[k].count));
        }
    }
}

bool
ledger_encode_due(cs_fleet *fleet, GByteArray *out)
{
    struct ledger *ledger = fleet->ledger;
    int64_t now_us = fleet_now(fleet).boot_us;
    msgpack_packer packer;

    /* Before the first cycle the averages lack the time since the row. */
    if (fleet->tenure != TENURE_HOLDING || !ledger->advanced_us ||
        now_us < ledger->next_write_us)
        return false;
    ledger->next_write_us = now_us + WRITE_INTERVAL_US;
    cs_record_packer_init(&packer, out);
    msgpack_pack_array(&packer, FIELDS);
    msgpack_pack_int64(&packer, RECORD_VERSION);
    msgpack_pack_int64(&packer, fleet->store_clock_ms);
    pack_organisations(&packer, ledger->shares);
    pack_zones(&packer, &ledger->zones);
    fleet_increment_counter(fleet, "cs_share_rows_total");
    return true;
}

/* Reads a number of the row. Sets failed if it is out of range. */
static double
read_number(cs_record_reader *reader, double maximum)
{
    double value = (double)cs_record_read_int(reader) / RECORD_SCALE;

    if (value < 0 || value > maximum)
        reader->failed = true;
    return value;
}

static bool
unpack_organisations(cs_shares *shares, const msgpack_object *list)
{
    cs_record_reader reader;
    char name[CS_JOB_NAME_BYTES];

    cs_record_reader_init(&reader, list);
    if (reader.count > ROW_ORGANISATIONS_MAX * ORGANISATION_FIELDS)
        return false;
    while (!reader.failed && reader.next < reader.count) {
        double mean;

        cs_record_read_text(&reader, name, sizeof(name));
        mean = read_number(&reader, 1);
        if (!reader.failed)
            cs_shares_get(shares, name)->mean = mean;
    }
    return !reader.failed;
}

static bool
unpack_zones(cs_zone_lag *zones, const msgpack_object *list)
{
    cs_record_reader reader;
    char name[CS_JOB_NAME_BYTES];
    uint32_t k;

    cs_record_reader_init(&reader, list);
    if (reader.count > CS_ZONE_LAG_ZONES_MAX * ZONE_FIELDS)
        return false;
    while (!reader.failed && reader.next < reader.count) {
        cs_zone *zone;

        cs_record_read_text(&reader, name, sizeof(name));
        zone = &zones->zones[cs_zone_lag_find(zones, name)];
        for (k = 0; k < CS_ZONE_LAG_CLASSES; k++) {
            zone->classes[k].sum = read_number(&reader, INT32_MAX);
            zone->classes[k].count = read_number(&reader, INT32_MAX);
        }
    }
    return !reader.failed;
}

static bool
unpack_row(struct ledger *ledger, cs_record_reader *reader)
{
    const msgpack_object *organisations;
    const msgpack_object *zones;

    if (cs_record_read_int(reader) != RECORD_VERSION)
        return false;
    ledger->row_clock_ms = cs_record_read_int(reader);
    organisations = cs_record_read_item(reader);
    zones = cs_record_read_item(reader);
    return !reader->failed && ledger->row_clock_ms >= 0 &&
           unpack_organisations(ledger->shares, organisations) &&
           unpack_zones(&ledger->zones, zones);
}

void
ledger_apply_row(cs_fleet *fleet, const cs_row *row)
{
    struct ledger *ledger = fleet->ledger;
    cs_packed_record record;

    if (strcmp(row->key, LEDGER_KEY) != 0 || row->deleted)
        return;
    cs_record_open(&record, row->value, row->size_bytes);
    ledger->restored = unpack_row(ledger, &record.reader);
    cs_record_close(&record);
    if (ledger->restored)
        return;
    ledger->row_clock_ms = 0;
    memset(&ledger->zones, 0, sizeof(ledger->zones));
    cs_log_event("shares-unreadable", "the shares start from what is adopted");
    fleet_increment_counter(fleet, "cs_rows_unreadable_total");
}

json_t *
ledger_list_organisations(const cs_fleet *fleet)
{
    const cs_shares *shares = fleet->ledger->shares;
    json_t *list = json_array();
    uint32_t i;

    for (i = 0; i < cs_shares_count(shares); i++) {
        const cs_share *share = cs_shares_at(shares, i);

        if (share->configured && (share->name[0] || share->mean > 0))
            json_array_append_new(
                list, json_pack("{s:s,s:f,s:f,s:b}", "organisation",
                                share->name, "share", share->mean, "weight",
                                share->weight, "over", share->over));
    }
    return list;
}

json_t *
ledger_list_zones(const cs_fleet *fleet)
{
    const cs_zone_lag *zones = &fleet->ledger->zones;
    json_t *list = json_array();
    uint32_t i;

    for (i = 0; i < zones->zone_count; i++)
        json_array_append_new(
            list, json_pack("{s:s,s:f,s:b}", "zone", zones->zones[i].name,
                            "lateness", cs_zone_lag_mean(&zones->zones[i]),
                            "late", zones->zones[i].late));
    return list;
}
