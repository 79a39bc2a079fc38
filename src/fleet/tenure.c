/*
 * Who holds the cell. The epoch row changes only when the cell is taken; the
 * lease row is renewed by the holder in its own commits. A stand-by that has
 * seen the lease row unchanged for TAKEOVER_US raises the epoch on condition
 * of both rows, so that a renewal that arrives late wins.
 */
#include "fleet_internal.h"
#include "corianderstair/record.h"

#define WATCH_US (300 * CS_MS_US)
/* VMs that leave the cell to stronger ones read the row for the numbers of
   waiting jobs, which may be 2 s old. */
#define WATCH_OTHERS_US (1500 * CS_MS_US)
/* Three renewals missed. A takeover too many is safe: it costs the reading
   of the rows and one look at each worker. */
#define TAKEOVER_US (1500 * CS_MS_US)
#define COMMIT_GAP_US (600 * CS_MS_US)
/* VMs with less than this share of a core leave the cell to stronger ones,
   unless these do not take it. */
#define STRONG_SHARE 0.25
#define WEAK_WAIT_US (1200 * CS_MS_US)
/* Candidates try one after the other, the strongest first; then the rest. */
#define STAGGER_US (60 * CS_MS_US)
#define STAGGER_STEPS 8
/* More than the time between two looks at the lease. */
#define OUTDONE_WAIT_US (400 * CS_MS_US)
/* Until the other VMs' rows are read, which takes less than a second. */
#define UNRANKED_WAIT_US (900 * CS_MS_US)
/* The store turned this VM away for so long that it is likely to go on. */
#define RELAYED_MAX_US (800 * CS_MS_US)
/* Others go first then. */
#define RELAYED_WAIT_US (1500 * CS_MS_US)
#define RECORD_VERSION 1

struct cell_rows {
    uint64_t epoch_version;
    uint64_t epoch;
    char holder[96];
    uint64_t lease_version;
    bool released;
    int64_t written_ms; /* the store's clock at the last renewal; 0 unknown */
    int64_t now_ms;     /* the store's clock */
};

static void
pack_waiting(msgpack_packer *packer, GHashTable *waiting)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    msgpack_pack_array(packer, g_hash_table_size(waiting) * 2);
    g_hash_table_iter_init(&iter, waiting);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        cs_record_text(packer, key);
        msgpack_pack_uint32(packer, GPOINTER_TO_UINT(value));
    }
}

/* Jobs of each queue of which no task has been started. */
static void
count_waiting(cs_fleet *fleet)
{
    GHashTable *waiting = fleet->board->cell.waiting;
    guint i;

    g_hash_table_remove_all(waiting);
    for (i = 0; i < fleet->active->len; i++) {
        const struct job *job = g_ptr_array_index(fleet->active, i);
        guint count;

        if (job->begun)
            continue;
        count =
            GPOINTER_TO_UINT(g_hash_table_lookup(waiting, job->spec.queue));
        g_hash_table_insert(waiting, g_strdup(job->spec.queue),
                            GUINT_TO_POINTER(count + 1));
    }
}

static void
encode_lease(cs_fleet *fleet, GByteArray *out)
{
    msgpack_packer packer;

    cs_record_begin(&packer, out);
    msgpack_pack_array(&packer, 5);
    msgpack_pack_int64(&packer, RECORD_VERSION);
    msgpack_pack_uint64(&packer, ++fleet->lease_serial);
    msgpack_pack_int64(&packer, fleet->release_wanted);
    msgpack_pack_int64(&packer, fleet->store_ms);
    pack_waiting(&packer, fleet->board->cell.waiting);
}

void
tenure_encode_lease(cs_fleet *fleet, GByteArray *out)
{
    /* Until all jobs are read, what the former holder told stays. */
    if (fleet->tenure == TENURE_HOLDING)
        count_waiting(fleet);
    encode_lease(fleet, out);
}

static void
encode_epoch(GByteArray *out, uint64_t epoch, const char *holder)
{
    msgpack_packer packer;

    cs_record_begin(&packer, out);
    msgpack_pack_array(&packer, 3);
    msgpack_pack_int64(&packer, RECORD_VERSION);
    msgpack_pack_uint64(&packer, epoch);
    cs_record_text(&packer, holder);
}

static bool
decode_epoch(struct cell_rows *out, const cs_row *row)
{
    cs_record record;
    bool ok;

    cs_record_open(&record, row->value, row->size_bytes);
    ok = cs_record_read_int(&record.reader) == RECORD_VERSION;
    out->epoch = (uint64_t)cs_record_read_int(&record.reader);
    cs_record_read_text(&record.reader, out->holder, sizeof(out->holder));
    ok = ok && !record.reader.failed;
    cs_record_close(&record);
    out->epoch_version = row->version;
    return ok;
}

static void
read_waiting(GHashTable *waiting, const msgpack_object *list)
{
    cs_record_reader reader;
    char name[CS_JOB_NAME_BYTES];

    g_hash_table_remove_all(waiting);
    cs_record_read(&reader, list);
    while (!reader.failed && reader.next < reader.count) {
        int64_t count;

        cs_record_read_text(&reader, name, sizeof(name));
        count = cs_record_read_int(&reader);
        if (!reader.failed)
            g_hash_table_insert(waiting, g_strdup(name),
                                GUINT_TO_POINTER((guint)count));
    }
}

static void
decode_lease(struct cell_rows *out, cs_fleet *fleet, const cs_row *row)
{
    cs_record record;
    const msgpack_object *waiting;

    out->lease_version = row->version;
    cs_record_open(&record, row->value, row->size_bytes);
    cs_record_read_int(&record.reader);
    cs_record_read_int(&record.reader);
    out->released = cs_record_read_int(&record.reader) != 0;
    out->written_ms = cs_record_read_int(&record.reader);
    waiting = cs_record_read_item(&record.reader);
    /* From a row that cannot be read nothing is believed. */
    if (waiting)
        read_waiting(fleet->board->cell.waiting, waiting);
    cs_record_close(&record);
}

static bool
read_cell_rows(struct cell_rows *out, cs_fleet *fleet,
               const cs_store_answer *answer)
{
    size_t i;

    memset(out, 0, sizeof(*out));
    out->now_ms = answer->now_ms;
    for (i = 0; i < answer->row_count; i++) {
        const cs_row *row = &answer->rows[i];

        if (strcmp(row->key, EPOCH_KEY) == 0) {
            if (!decode_epoch(out, row))
                return false;
        }
        else if (strcmp(row->key, LEASE_KEY) == 0) {
            decode_lease(out, fleet, row);
        }
    }
    return true;
}

static void
hold(cs_fleet *fleet, uint64_t epoch, uint64_t version)
{
    cs_cell_view *cell = &fleet->board->cell;

    fleet_forget(fleet);
    fleet->tenure = TENURE_LOADING;
    fleet->epoch = epoch;
    fleet->epoch_version = version;
    fleet->next_lease_us = 0;
    fleet->lease_written_us = fleet_now(fleet).boot_us;
    cell->epoch = epoch;
    g_strlcpy(cell->holder, fleet->board->incarnation, sizeof(cell->holder));
    cs_log_event("cell-taken", "epoch %" PRIu64, epoch);
    fleet_count(fleet, "cs_cell_taken_total");
}

static void
on_taken(void *data, const cs_store_answer *answer)
{
    cs_fleet *fleet = data;
    uint64_t epoch = fleet->epoch;

    cs_fleet_board_store_answered(fleet->board, answer->code);
    if (answer->code == 0) {
        hold(fleet, epoch, answer->version);
        return;
    }
    /* After a lost answer the next read tells whose the cell is. */
    cs_log_event("cell-not-taken", "epoch %" PRIu64 ": %s", epoch,
                 cs_error_name(answer->code));
    fleet->tenure = TENURE_FOLLOWING;
}

static void
take_cell(cs_fleet *fleet, const struct cell_rows *rows)
{
    const cs_store_port *store = fleet->board->ports.store;
    GByteArray *epoch = g_byte_array_new();
    GByteArray *lease = g_byte_array_new();
    cs_row conditions[2] = {{.table = CS_TABLE_CELL,
                             .part = CS_CELL_PART,
                             .key = EPOCH_KEY,
                             .version = rows->epoch_version},
                            {.table = CS_TABLE_CELL,
                             .part = CS_CELL_PART,
                             .key = LEASE_KEY,
                             .version = rows->lease_version}};
    cs_row puts[2] = {conditions[0], conditions[1]};
    cs_row_change change = {.conditions = conditions,
                            .condition_count = 2,
                            .puts = puts,
                            .put_count = 2};

    fleet->tenure = TENURE_TAKING;
    fleet->epoch = rows->epoch + 1;
    fleet->store_ms = rows->now_ms;
    encode_epoch(epoch, fleet->epoch, fleet->board->incarnation);
    puts[0].value = epoch->data;
    puts[0].size_bytes = epoch->len;
    /* The lease starts anew, so that no other stand-by finds it lapsed. */
    encode_lease(fleet, lease);
    puts[1].value = lease->data;
    puts[1].size_bytes = lease->len;
    store->change(store->self, &change,
                  fleet_now(fleet).boot_us + STORE_ANSWER_US, on_taken, fleet);
    g_byte_array_free(epoch, TRUE);
    g_byte_array_free(lease, TRUE);
}

static int64_t
weak_wait_us(const cs_fleet *fleet)
{
    double share = fleet->board->settings.cpu_share;

    if (share <= 0 || share >= STRONG_SHARE)
        return 0;
    return (int64_t)((1 - share / STRONG_SHARE) * WEAK_WAIT_US);
}

static int64_t
rank_wait_us(const cs_fleet *fleet)
{
    const cs_vm_rank *rank = &fleet->board->rank;
    uint32_t steps = g_str_hash(fleet->board->incarnation) % STAGGER_STEPS;

    if (!rank->known)
        return weak_wait_us(fleet) + steps * STAGGER_US;
    if (cs_vm_is_candidate(rank))
        return weak_wait_us(fleet) + (rank->outdone ? OUTDONE_WAIT_US : 0) +
               MIN(rank->candidates_before, STAGGER_STEPS) * STAGGER_US;
    return WEAK_WAIT_US + weak_wait_us(fleet) +
           (STAGGER_STEPS + steps) * STAGGER_US;
}

static int64_t
stagger_us(const cs_fleet *fleet)
{
    return rank_wait_us(fleet) + (fleet->board->relayed ? RELAYED_WAIT_US : 0);
}

/*
 * What the store's clock tells of the silence, for a process that has not
 * seen a renewal since its start. The holder knows that clock from its last
 * commit, so the figure is too high by up to the time between two commits.
 */
static int64_t
silence_by_store_us(const struct cell_rows *rows)
{
    if (rows->written_ms <= 0 || rows->now_ms <= 0)
        return 0;
    return (rows->now_ms - rows->written_ms) * CS_MS_US - COMMIT_GAP_US;
}

/* Until its place among the VMs is known a process leaves the cell alone,
   for a while: all may have started at once. */
static bool
is_ranked(cs_fleet *fleet, int64_t now_us)
{
    if (fleet->ranked_us == 0 &&
        (fleet->board->rank.known ||
         now_us - fleet->created_us >= UNRANKED_WAIT_US))
        fleet->ranked_us = now_us;
    return fleet->ranked_us != 0;
}

static void
consider(cs_fleet *fleet, const struct cell_rows *rows)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    int64_t silent_us;

    /* An attempt to take the cell that got no answer has succeeded. */
    if (rows->epoch_version && rows->epoch > fleet->ended_epoch &&
        strcmp(rows->holder, fleet->board->incarnation) == 0) {
        hold(fleet, rows->epoch, rows->epoch_version);
        return;
    }
    fleet->board->cell.epoch = rows->epoch;
    g_strlcpy(fleet->board->cell.holder, rows->holder,
              sizeof(fleet->board->cell.holder));
    if (rows->lease_version != fleet->lease_version ||
        fleet->lease_seen_us == 0) {
        if (fleet->lease_version &&
            rows->lease_version != fleet->lease_version)
            fleet->lease_changed = true;
        fleet->lease_version = rows->lease_version;
        fleet->lease_seen_us = now_us;
    }
    if (fleet->board->draining || !fleet->board->config ||
        !is_ranked(fleet, now_us))
        return;
    silent_us = now_us - fleet->lease_seen_us;
    if (!fleet->lease_changed)
        silent_us = MAX(silent_us, silence_by_store_us(rows));
    if (rows->epoch_version && !rows->released)
        silent_us -= TAKEOVER_US;
    if (MIN(silent_us, now_us - fleet->ranked_us) >= stagger_us(fleet))
        take_cell(fleet, rows);
}

static void
on_cell_rows(void *data, const cs_store_answer *answer)
{
    cs_fleet *fleet = data;
    struct cell_rows rows;

    fleet->cell_open = false;
    cs_fleet_board_store_answered(fleet->board, answer->code);
    if (fleet->tenure != TENURE_FOLLOWING)
        return;
    if (answer->code) {
        /* Silence that was not observed does not count. */
        fleet->lease_seen_us = 0;
        return;
    }
    if (read_cell_rows(&rows, fleet, answer))
        consider(fleet, &rows);
    else
        cs_log_event("cell-unreadable", "the epoch row cannot be read");
}

static void
watch(cs_fleet *fleet)
{
    const cs_store_port *store = fleet->board->ports.store;
    cs_row_range range = {.table = CS_TABLE_CELL, .part = CS_CELL_PART};
    int64_t now_us = fleet_now(fleet).boot_us;

    if (fleet->cell_open || now_us < fleet->next_cell_us)
        return;
    fleet->cell_open = true;
    fleet->next_cell_us =
        now_us +
        (cs_vm_is_candidate(&fleet->board->rank) ? WATCH_US : WATCH_OTHERS_US);
    store->read(store->self, &range, now_us + STORE_ANSWER_US, on_cell_rows,
                fleet);
}

void
tenure_lost(cs_fleet *fleet, const char *reason)
{
    cs_log_event("cell-lost", "epoch %" PRIu64 ": %s", fleet->epoch, reason);
    fleet_count(fleet, "cs_cell_lost_total");
    fleet_forget(fleet);
    fleet->tenure = TENURE_FOLLOWING;
    fleet->relayed_us = 0;
    /* A process that stops stays released. */
    fleet->release_wanted = fleet->board->draining;
    fleet->ended_epoch = fleet->epoch;
    fleet->lease_seen_us = 0;
}

/* A VM that the store serves records sooner than one whose calls are passed
   on; a hand-over takes less than a second. */
static void
leave_to_others(cs_fleet *fleet)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    if (!fleet->board->relayed) {
        fleet->relayed_us = 0;
        return;
    }
    if (fleet->relayed_us == 0)
        fleet->relayed_us = now_us;
    /* Where no peer is served either, the store itself is away. */
    if (now_us - fleet->relayed_us < RELAYED_MAX_US ||
        fleet->lease_written_us <= fleet->relayed_us || fleet->release_wanted)
        return;
    cs_log_event("cell-offered", "the store turns this VM away");
    fleet->release_wanted = true;
}

void
tenure_tick(cs_fleet *fleet)
{
    switch (fleet->tenure) {
    case TENURE_FOLLOWING:
        watch(fleet);
        return;
    case TENURE_TAKING:
        return;
    case TENURE_LOADING:
    case TENURE_HOLDING:
        leave_to_others(fleet);
        if (fleet->next_lease_us == 0)
            fleet->next_lease_us = fleet_now(fleet).boot_us;
        return;
    }
}
