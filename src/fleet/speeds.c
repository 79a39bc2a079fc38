/*
 * Learned speeds outlive a holder: they are written now and then, a row for a
 * group of workers, and read when the cell is taken. They only guide choices,
 * so old or missing rows do no harm.
 */
#include "fleet_internal.h"
#include "corianderstair/record.h"

#define WRITE_US (5 * CS_SEC_US)
/* Workers in a row: well below the least size of a row's value, 64 KiB. */
#define GROUP_WORKERS 500
#define RECORD_VERSION 1
#define SCALE 1000.0

struct kept {
    uint64_t born_ms;
    cs_speed speed;
};

static uint32_t
group_count(const cs_fleet *fleet)
{
    return (fleet->worker_list->len + GROUP_WORKERS - 1) / GROUP_WORKERS;
}

static void
encode_group(const cs_fleet *fleet, uint32_t group, GByteArray *out)
{
    uint32_t first = group * GROUP_WORKERS;
    uint32_t last = MIN(first + GROUP_WORKERS, fleet->worker_list->len);
    msgpack_packer packer;
    uint32_t i;

    cs_record_begin(&packer, out);
    msgpack_pack_array(&packer, 1 + (last - first) * 4);
    msgpack_pack_int64(&packer, RECORD_VERSION);
    for (i = first; i < last; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        cs_record_text(&packer, worker->id);
        msgpack_pack_uint64(&packer, worker->born_ms);
        msgpack_pack_int64(&packer,
                           (int64_t)(worker->speed.log_speed * SCALE));
        msgpack_pack_int64(&packer, (int64_t)(worker->speed.sureness * SCALE));
    }
}

bool
speeds_take_due(cs_fleet *fleet, uint32_t *group, GByteArray *out)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    if (fleet->tenure != TENURE_HOLDING || now_us < fleet->next_speeds_us ||
        group_count(fleet) == 0)
        return false;
    *group = fleet->speed_group;
    encode_group(fleet, *group, out);
    if (++fleet->speed_group >= group_count(fleet)) {
        fleet->speed_group = 0;
        fleet->next_speeds_us = now_us + WRITE_US;
    }
    return true;
}

static void
decode_entries(cs_fleet *fleet, cs_record_reader *reader)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    char id[CS_JOB_NAME_BYTES];

    while (reader->next < reader->count) {
        struct kept *kept = g_new0(struct kept, 1);

        cs_record_read_text(reader, id, sizeof(id));
        kept->born_ms = (uint64_t)cs_record_read_int(reader);
        kept->speed.log_speed = (double)cs_record_read_int(reader) / SCALE;
        kept->speed.sureness = (double)cs_record_read_int(reader) / SCALE;
        kept->speed.seen_us = now_us;
        if (reader->failed) {
            g_free(kept);
            return;
        }
        g_hash_table_replace(fleet->kept_speeds, g_strdup(id), kept);
    }
}

static void
restore(cs_fleet *fleet)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++)
        speeds_restore(fleet, g_ptr_array_index(fleet->worker_list, i));
}

void
speeds_apply_row(cs_fleet *fleet, const cs_row *row)
{
    cs_record record;

    cs_record_open(&record, row->value, row->size_bytes);
    if (cs_record_read_int(&record.reader) == RECORD_VERSION)
        decode_entries(fleet, &record.reader);
    cs_record_close(&record);
    if (record.reader.failed) {
        cs_log_event("speeds-unreadable", "group %s", row->key);
        fleet_count(fleet, "cs_rows_unreadable_total");
    }
    restore(fleet);
}

void
speeds_restore(const cs_fleet *fleet, struct worker *worker)
{
    const struct kept *kept =
        g_hash_table_lookup(fleet->kept_speeds, worker->id);

    if (kept && worker->speed.sureness <= 0 && worker->born_ms &&
        kept->born_ms == worker->born_ms)
        worker->speed = kept->speed;
}
