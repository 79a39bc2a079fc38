/*
 * The row in which a process writes that its tenure has ended, so that its
 * successors need not wait as long as for a holder that may be cut off.
 *
 * The row names the tenure by epoch and incarnation, and the time by which all
 * leases have ended that the tenure has extended. Both stay true whatever
 * happens later: an epoch is held once, and a process that acquires the cell
 * again does so under a higher one. So a write may be repeated, and be carried
 * out late. The time covers orders that are still on their way, in a link, an
 * executor or a worker: each names the end of its lease on the worker's clock.
 */
#include "fleet_internal.h"
#include "corianderstair/record.h"

/* Tenures share this number of rows, so that none need be removed. More than
   FORMER_HOLDERS_MAX, which are all that a successor looks for. */
#define ROWS 16
/* Between attempts: two within the interval in which a successor reads. */
#define WRITE_INTERVAL_US (500 * CS_MS_US)
#define KEY_BYTES 12
#define RECORD_VERSION 1

static void
note(cs_fleet *fleet, uint64_t epoch, int64_t leases_end_us)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    struct ended_tenure *ended = &fleet->ended_tenure;

    ended->epoch = epoch;
    ended->leases_end_us = leases_end_us;
    ended->expires_us = now_us + extension_longest_us(fleet);
    ended->next_write_us = now_us;
}

void
ended_tenure_note(cs_fleet *fleet)
{
    int64_t end_us = fleet_now(fleet).boot_us;
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        end_us = MAX(end_us, worker->lease_end_us);
    }
    note(fleet, fleet->epoch, end_us);
}

void
ended_tenure_note_unbegun(cs_fleet *fleet, uint64_t epoch)
{
    note(fleet, epoch, fleet_now(fleet).boot_us);
}

static void
on_written(void *user_data, const cs_store_answer *answer)
{
    cs_fleet *fleet = user_data;
    struct ended_tenure *ended = &fleet->ended_tenure;
    uint64_t epoch = ended->written_epoch;

    ended->written_epoch = 0;
    if (answer->code) {
        cs_log_event("tenure-not-written", "epoch %" PRIu64 ": %s", epoch,
                     cs_error_name(answer->code));
        return;
    }
    if (ended->epoch == epoch)
        ended->epoch = 0;
}

static void
encode(const cs_fleet *fleet, int64_t leases_end_ms, GByteArray *out)
{
    msgpack_packer packer;

    cs_record_packer_init(&packer, out);
    msgpack_pack_array(&packer, 4);
    msgpack_pack_int64(&packer, RECORD_VERSION);
    msgpack_pack_uint64(&packer, fleet->ended_tenure.epoch);
    cs_record_pack_text(&packer, fleet->state->incarnation);
    msgpack_pack_int64(&packer, leases_end_ms);
}

void
ended_tenure_publish(cs_fleet *fleet, int64_t store_ms, int64_t read_sent_us)
{
    const cs_store_port *store = fleet->state->ports.store;
    struct ended_tenure *ended = &fleet->ended_tenure;
    int64_t now_us = fleet_now(fleet).boot_us;
    int64_t left_ms = (ended->leases_end_us - read_sent_us) / CS_MS_US + 1;
    char key[KEY_BYTES];
    cs_row row = {.table = CS_TABLE_TENURES, .part = CS_CELL_PART, .key = key};
    cs_row_change change = {.puts = &row, .put_count = 1};
    GByteArray *value;

    if (ended->epoch && now_us >= ended->expires_us)
        ended->epoch = 0;
    if (!ended->epoch || ended->written_epoch || store_ms <= 0 ||
        now_us < ended->next_write_us)
        return;
    value = g_byte_array_new();
    /* The store's clock was read after the call was sent. */
    encode(fleet, store_ms + left_ms, value);
    g_snprintf(key, sizeof(key), "%u", (unsigned)(ended->epoch % ROWS));
    row.value = value->data;
    row.size_bytes = value->len;
    ended->written_epoch = ended->epoch;
    ended->next_write_us = now_us + WRITE_INTERVAL_US;
    cs_log_event(
        "tenure-written",
        "epoch %" PRIu64 " has ended, its leases end in %" PRId64 " ms",
        ended->epoch, MAX(ended->leases_end_us - now_us, 0) / CS_MS_US);
    store->change(store->self, &change, now_us + STORE_TIMEOUT_US, on_written,
                  fleet);
    g_byte_array_free(value, TRUE);
}

bool
ended_tenure_decode(struct former_record *out, const cs_row *row)
{
    cs_packed_record record;
    bool valid;

    cs_record_open(&record, row->value, row->size_bytes);
    valid = cs_record_read_int(&record.reader) == RECORD_VERSION;
    out->epoch = (uint64_t)cs_record_read_int(&record.reader);
    cs_record_read_text(&record.reader, out->incarnation,
                        sizeof(out->incarnation));
    out->leases_end_ms = cs_record_read_int(&record.reader);
    valid = valid && !record.reader.failed;
    cs_record_close(&record);
    return valid;
}
