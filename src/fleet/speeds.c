/*
 * Persistence of the workers' learned speeds across tenures. The holder writes
 * them periodically, one row for a group of workers, and reads them when it
 * acquires the cell. They only guide placement, so outdated or missing rows do
 * no harm.
 */
#include "fleet_internal.h"
#include "corianderstair/record.h"

#define WRITE_INTERVAL_US (5 * CS_SEC_US)
/* Workers in a row. Keeps the value well below 64 KiB, the smallest limit of a
   row's value. */
#define GROUP_WORKERS 500
/* Upper bound of the record of a speed, besides the worker's id. */
#define SPEED_NUMBERS_BYTES 32
#define RECORD_VERSION 1
/* Speeds are stored as integers, in thousandths. */
#define RECORD_SCALE 1000.0

/* A worker's speed as read from the store. */
struct stored_speed {
    uint64_t incarnation_ms;
    cs_speed speed;
};

static uint32_t
group_count(const cs_fleet *fleet)
{
    return (fleet->worker_list->len + GROUP_WORKERS - 1) / GROUP_WORKERS;
}

/* Returns the end of the workers whose speeds fit into a row of the store. The
   speeds of the others are learned anew by the next holder. */
static uint32_t
limit_group(const cs_fleet *fleet, uint32_t first, uint32_t last)
{
    size_t limit = progress_max_row_bytes(fleet);
    size_t bytes = SPEED_NUMBERS_BYTES;
    uint32_t i;

    for (i = first; i < last; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        bytes += strlen(worker->id) + SPEED_NUMBERS_BYTES;
        if (bytes > limit)
            break;
    }
    return i;
}

static void
encode_group(const cs_fleet *fleet, uint32_t group, GByteArray *out)
{
    uint32_t first = group * GROUP_WORKERS;
    uint32_t last = MIN(first + GROUP_WORKERS, fleet->worker_list->len);
    msgpack_packer packer;
    uint32_t i;

    last = limit_group(fleet, first, last);
    cs_record_packer_init(&packer, out);
    msgpack_pack_array(&packer, 1 + (last - first) * 4);
    msgpack_pack_int64(&packer, RECORD_VERSION);
    for (i = first; i < last; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        cs_record_pack_text(&packer, worker->id);
        msgpack_pack_uint64(&packer, worker->incarnation_ms);
        msgpack_pack_int64(&packer,
                           (int64_t)(worker->speed.log_speed * RECORD_SCALE));
        msgpack_pack_int64(&packer,
                           (int64_t)(worker->speed.confidence * RECORD_SCALE));
    }
}

bool
speeds_encode_due(cs_fleet *fleet, uint32_t *group, GByteArray *out)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    if (fleet->tenure != TENURE_HOLDING ||
        now_us < fleet->next_speeds_write_us || group_count(fleet) == 0)
        return false;
    *group = fleet->next_speed_group;
    encode_group(fleet, *group, out);
    if (++fleet->next_speed_group >= group_count(fleet)) {
        fleet->next_speed_group = 0;
        fleet->next_speeds_write_us = now_us + WRITE_INTERVAL_US;
    }
    return true;
}

static void
decode_entries(cs_fleet *fleet, cs_record_reader *reader)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    char id[CS_JOB_NAME_BYTES];

    while (reader->next < reader->count) {
        struct stored_speed *stored_speed = g_new0(struct stored_speed, 1);

        cs_record_read_text(reader, id, sizeof(id));
        stored_speed->incarnation_ms = (uint64_t)cs_record_read_int(reader);
        stored_speed->speed.log_speed =
            (double)cs_record_read_int(reader) / RECORD_SCALE;
        stored_speed->speed.confidence =
            (double)cs_record_read_int(reader) / RECORD_SCALE;
        stored_speed->speed.observed_us = now_us;
        if (reader->failed) {
            g_free(stored_speed);
            return;
        }
        g_hash_table_replace(fleet->stored_speeds, g_strdup(id), stored_speed);
    }
}

static void
restore_all_speeds(cs_fleet *fleet)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++)
        speeds_restore(fleet, g_ptr_array_index(fleet->worker_list, i));
}

void
speeds_apply_row(cs_fleet *fleet, const cs_row *row)
{
    cs_packed_record record;

    cs_record_open(&record, row->value, row->size_bytes);
    if (cs_record_read_int(&record.reader) == RECORD_VERSION)
        decode_entries(fleet, &record.reader);
    cs_record_close(&record);
    if (record.reader.failed) {
        cs_log_event("speeds-unreadable", "group %.60s", row->key);
        fleet_increment_counter(fleet, "cs_rows_unreadable_total");
    }
    restore_all_speeds(fleet);
}

void
speeds_restore(const cs_fleet *fleet, struct worker *worker)
{
    const struct stored_speed *stored_speed =
        g_hash_table_lookup(fleet->stored_speeds, worker->id);

    if (stored_speed && worker->speed.confidence <= 0 &&
        worker->incarnation_ms &&
        stored_speed->incarnation_ms == worker->incarnation_ms)
        worker->speed = stored_speed->speed;
}
