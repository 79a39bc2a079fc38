/*
 * Leader election: which process holds the cell.
 *
 * The epoch row changes only when a process acquires the cell. The holder
 * renews the lease row with its commits. A stand-by that has seen the lease
 * row unchanged for LEASE_TIMEOUT_US raises the epoch, on condition that
 * neither row has changed, so that a delayed renewal still wins.
 */
#include "fleet_internal.h"
#include "corianderstair/record.h"

#define CELL_READ_INTERVAL_US (300 * CS_MS_US)
/* VMs that are no candidates read the rows for the numbers of waiting jobs,
   which may be up to 2 s old. */
#define CELL_READ_INTERVAL_OTHERS_US (1500 * CS_MS_US)
/* Three missed renewals, one each 450 ms, see RENEWAL_INTERVAL_US in commit.c.
   An unnecessary takeover is safe and only costs a read of all rows and a
   heartbeat to each worker. */
#define LEASE_TIMEOUT_US (1500 * CS_MS_US)
/* Maximum time between two commits of a holder. */
#define COMMIT_INTERVAL_MAX_US (600 * CS_MS_US)
/* VMs with less than this share of a core wait longer, the weaker the longer
   and up to WEAK_VM_DELAY_US, so that a stronger one acquires the cell if
   there is any. */
#define STRONG_CPU_SHARE 0.25
#define WEAK_VM_DELAY_US (1200 * CS_MS_US)
/* The candidates try to acquire the cell one after another, the strongest
   first, STAGGER_STEP_US apart, and after them the other VMs, spread over
   STAGGER_STEPS further steps. */
#define STAGGER_STEP_US (60 * CS_MS_US)
#define STAGGER_STEPS 8
/* A candidate waits this long if a stronger VM goes first. Longer than
   CELL_READ_INTERVAL_US, so that the other reads the rows meanwhile. */
#define OUTRANKED_DELAY_US (400 * CS_MS_US)
/* A process waits this long for the rows of the other VMs, whose read takes
   less than a second. */
#define UNRANKED_DELAY_US (900 * CS_MS_US)
/* If the store refuses this VM for this long it is likely to go on doing so,
   and the holder hands the cell over. */
#define RELAYED_HANDOVER_US (800 * CS_MS_US)
/* A VM that the store refuses, or whose reads have lagged within
   LAG_MEMORY_US, waits this much longer, so that the others go first. */
#define RELAYED_DELAY_US (1500 * CS_MS_US)
#define LAG_MEMORY_US (10 * CS_SEC_US)
#define RECORD_VERSION 1

/* The rows of CS_TABLE_CELL as read by a stand-by. */
struct cell_rows {
    uint64_t epoch_version; /* 0 no such row */
    uint64_t epoch;
    char holder[96];
    int64_t older_until_ms; /* store's clock; until when holders before this
                               one may extend leases; -1 unknown */
    bool older_known;       /* the same by holder, which rows of former builds
                               lack */
    struct former_record older[FORMER_HOLDERS_MAX];
    uint32_t older_count;
    int64_t leases_last_us; /* see extension.c; 0 if the row of a former build
                               does not state it */
    uint64_t lease_version;
    bool released;
    int64_t renewed_ms; /* store's clock at the last renewal; 0 unknown */
    int64_t now_ms;     /* store's clock at the read; 0 unknown */
};

/* How much of the lease row is written. It must fit into a row of the store:
   without it the holder loses the cell, and so does each successor. */
typedef enum {
    LEASE_IN_FULL,
    LEASE_WITHOUT_FORECAST,
    LEASE_WITH_HASHES /* and with hashes instead of the queues' names */
} lease_form;

static void
encode_waiting(msgpack_packer *packer, GHashTable *waiting, lease_form form)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    msgpack_pack_array(packer, g_hash_table_size(waiting) * 2);
    g_hash_table_iter_init(&iter, waiting);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (form == LEASE_WITH_HASHES)
            msgpack_pack_uint32(packer, cs_cell_view_queue_hash(key));
        else
            cs_record_pack_text(packer, key);
        msgpack_pack_uint32(packer, GPOINTER_TO_UINT(value));
    }
}

/* Counts by queue the jobs of which no task has begun. */
static void
count_waiting_jobs(cs_fleet *fleet)
{
    GHashTable *waiting = fleet->state->cell.waiting_jobs;
    guint i;

    g_hash_table_remove_all(waiting);
    for (i = 0; i < fleet->active_jobs->len; i++) {
        const struct job *job = g_ptr_array_index(fleet->active_jobs, i);
        guint count;

        if (!job_is_waiting(job))
            continue;
        count =
            GPOINTER_TO_UINT(g_hash_table_lookup(waiting, job->spec.queue));
        g_hash_table_insert(waiting, g_strdup(job->spec.queue),
                            GUINT_TO_POINTER(count + 1));
    }
}

static void
encode_lease_form(const cs_fleet *fleet, GByteArray *out, lease_form form)
{
    const GByteArray *forecast =
        form == LEASE_IN_FULL ? forecast_record(fleet) : NULL;
    msgpack_packer packer;

    cs_record_packer_init(&packer, out);
    msgpack_pack_array(&packer, forecast ? 6 : 5);
    msgpack_pack_int64(&packer, RECORD_VERSION);
    msgpack_pack_uint64(&packer, fleet->renewal_serial);
    msgpack_pack_int64(&packer, fleet->release_requested);
    msgpack_pack_int64(&packer, fleet->store_clock_ms);
    encode_waiting(&packer, fleet->state->cell.waiting_jobs, form);
    if (forecast) {
        msgpack_pack_bin(&packer, forecast->len);
        msgpack_pack_bin_body(&packer, forecast->data, forecast->len);
    }
}

static void
encode_lease(cs_fleet *fleet, GByteArray *out)
{
    lease_form form = LEASE_IN_FULL;

    fleet->renewal_serial++;
    encode_lease_form(fleet, out, form);
    while (out->len > progress_max_row_bytes(fleet) &&
           form < LEASE_WITH_HASHES) {
        g_byte_array_set_size(out, 0);
        encode_lease_form(fleet, out, ++form);
        fleet_increment_counter(fleet, "cs_lease_rows_shortened_total");
    }
}

void
tenure_encode_lease(cs_fleet *fleet, GByteArray *out)
{
    /* Until all jobs are read, the former holder's counts are kept. */
    if (fleet->tenure == TENURE_HOLDING)
        count_waiting_jobs(fleet);
    encode_lease(fleet, out);
}

/* Writes the epoch row. The store's clock has shown store_ms at now_us or
   later. */
static void
encode_epoch(const cs_fleet *fleet, GByteArray *out, int64_t store_ms,
             int64_t now_us)
{
    /* Former builds know no former holders by name, and add one lease. */
    int64_t older_until_us = former_holder_extend_until_us(fleet);
    msgpack_packer packer;

    cs_record_packer_init(&packer, out);
    msgpack_pack_array(&packer, 6);
    msgpack_pack_int64(&packer, RECORD_VERSION);
    msgpack_pack_uint64(&packer, fleet->epoch);
    cs_record_pack_text(&packer, fleet->state->incarnation);
    msgpack_pack_int64(
        &packer, older_until_us > now_us
                     ? store_ms + (older_until_us - now_us) / CS_MS_US + 1
                     : 0);
    former_holder_encode(fleet, &packer, store_ms, now_us);
    extension_encode(&packer, fleet->leases_last_us);
}

static bool
decode_epoch(struct cell_rows *out, const cs_row *row)
{
    cs_packed_record record;
    cs_record_reader *reader = &record.reader;
    bool valid;

    cs_record_open(&record, row->value, row->size_bytes);
    valid = cs_record_read_int(reader) == RECORD_VERSION;
    out->epoch = (uint64_t)cs_record_read_int(reader);
    cs_record_read_text(reader, out->holder, sizeof(out->holder));
    out->older_until_ms = -1;
    /* Records of older versions end here, or after one of the next items. */
    if (!reader->failed && reader->next < reader->count)
        out->older_until_ms = cs_record_read_int(reader);
    if (!reader->failed && reader->next < reader->count)
        out->older_known = former_holder_decode(out->older, &out->older_count,
                                                cs_record_read_item(reader));
    if (!reader->failed && reader->next < reader->count)
        valid = extension_decode(&out->leases_last_us,
                                 cs_record_read_item(reader)) &&
                valid;
    valid = valid && !reader->failed;
    cs_record_close(&record);
    out->epoch_version = row->version;
    return valid;
}

static void
decode_waiting(GHashTable *waiting, const msgpack_object *list)
{
    cs_record_reader reader;
    char name[CS_JOB_NAME_BYTES];

    g_hash_table_remove_all(waiting);
    cs_record_reader_init(&reader, list);
    while (!reader.failed && reader.next < reader.count) {
        int64_t count;

        if (reader.items[reader.next].type == MSGPACK_OBJECT_STR)
            cs_record_read_text(&reader, name, sizeof(name));
        else
            cs_cell_view_hash_name(name,
                                   (uint32_t)cs_record_read_int(&reader));
        count = cs_record_read_int(&reader);
        if (!reader.failed)
            g_hash_table_insert(waiting, g_strdup(name),
                                GUINT_TO_POINTER((guint)count));
    }
}

/* Reads the forecast, which rows of holders without one lack. */
static void
decode_forecast(cs_fleet *fleet, cs_record_reader *reader, int64_t store_ms)
{
    const msgpack_object *item = NULL;

    if (!reader->failed && reader->next < reader->count)
        item = cs_record_read_item(reader);
    if (item && item->type == MSGPACK_OBJECT_BIN)
        cs_fleet_state_set_forecast(fleet->state, item->via.bin.ptr,
                                    item->via.bin.size, store_ms);
    else
        cs_fleet_state_set_forecast(fleet->state, NULL, 0, 0);
}

static void
decode_lease(struct cell_rows *out, cs_fleet *fleet, const cs_row *row)
{
    cs_packed_record record;
    const msgpack_object *waiting;

    out->lease_version = row->version;
    cs_record_open(&record, row->value, row->size_bytes);
    cs_record_read_int(&record.reader);
    cs_record_read_int(&record.reader);
    out->released = cs_record_read_int(&record.reader) != 0;
    out->renewed_ms = cs_record_read_int(&record.reader);
    waiting = cs_record_read_item(&record.reader);
    /* Invalid rows leave the last known counts unchanged. */
    if (waiting)
        decode_waiting(fleet->state->cell.waiting_jobs, waiting);
    decode_forecast(fleet, &record.reader, out->now_ms);
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
begin_tenure(cs_fleet *fleet, uint64_t epoch, uint64_t version,
             int64_t leases_last_us)
{
    cs_cell_view *cell = &fleet->state->cell;

    fleet_reset(fleet);
    fleet->tenure = TENURE_LOADING;
    fleet->unsure_epoch = 0;
    fleet->epoch = epoch;
    fleet->epoch_version = version;
    fleet->next_renewal_us = 0;
    fleet->last_renewal_us = fleet_now(fleet).boot_us;
    extension_begin(fleet, fleet->acquire_sent_us, leases_last_us);
    cell->epoch = epoch;
    g_strlcpy(cell->holder, fleet->state->incarnation, sizeof(cell->holder));
    cs_log_event("cell-taken",
                 "epoch %" PRIu64 ", leases end within %" PRId64
                 " ms of a renewal",
                 epoch, leases_last_us / CS_MS_US);
    fleet_increment_counter(fleet, "cs_cell_taken_total");
}

static void
on_acquired(void *user_data, const cs_store_answer *answer)
{
    cs_fleet *fleet = user_data;
    uint64_t epoch = fleet->epoch;

    cs_fleet_state_record_store_answer(fleet->state, answer->code);
    if (answer->code == 0) {
        begin_tenure(fleet, epoch, answer->version, fleet->leases_last_us);
        return;
    }
    /* If the answer was lost, the next read of the rows shows the holder. */
    cs_log_event("cell-not-taken", "epoch %" PRIu64 ": %s", epoch,
                 cs_error_name(answer->code));
    fleet->tenure = TENURE_FOLLOWING;
    if (answer->code == CS_E_OUTCOME_UNKNOWN)
        fleet->unsure_epoch = epoch;
}

/* Notes who may still extend leases. */
static void
note_former_holders(cs_fleet *fleet, const struct cell_rows *rows)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    int64_t silent_since_us =
        fleet->lease_change_us ? fleet->lease_change_us : now_us;
    uint32_t i;

    former_holder_reset(fleet);
    if (!rows->epoch_version)
        return;
    for (i = 0; rows->older_known && i < rows->older_count; i++) {
        const struct former_record *older = &rows->older[i];
        int64_t left_ms = older->leases_end_ms - rows->now_ms;

        former_holder_add(fleet, older->incarnation, older->epoch,
                          now_us + left_ms * CS_MS_US, false);
    }
    if (!rows->older_known) {
        int64_t end_us = now_us + extension_longest_us(fleet);

        if (rows->older_until_ms >= 0)
            end_us = worker_lease_end_us(
                fleet,
                now_us + (rows->older_until_ms - rows->now_ms) * CS_MS_US);
        former_holder_add(fleet, "", 0, end_us, false);
    }
    former_holder_add(fleet, rows->holder, rows->epoch,
                      silent_since_us + (rows->leases_last_us
                                             ? rows->leases_last_us
                                             : extension_longest_us(fleet)),
                      rows->released);
}

static void
acquire_cell(cs_fleet *fleet, const struct cell_rows *rows)
{
    const cs_store_port *store = fleet->state->ports.store;
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

    fleet->tenure = TENURE_ACQUIRING;
    fleet->epoch = rows->epoch + 1;
    fleet->acquire_sent_us = fleet_now(fleet).boot_us;
    fleet->store_clock_ms = rows->now_ms;
    fleet->store_clock_read_us = fleet->acquire_sent_us;
    note_former_holders(fleet, rows);
    fleet->leases_last_us = extension_choose_us(fleet);
    encode_epoch(fleet, epoch, rows->now_ms, fleet->cell_read_sent_us);
    puts[0].value = epoch->data;
    puts[0].size_bytes = epoch->len;
    /* Also renews the lease, so that no other stand-by finds it expired. */
    encode_lease(fleet, lease);
    puts[1].value = lease->data;
    puts[1].size_bytes = lease->len;
    store->change(store->self, &change,
                  fleet_now(fleet).boot_us + STORE_TIMEOUT_US, on_acquired,
                  fleet);
    g_byte_array_free(epoch, TRUE);
    g_byte_array_free(lease, TRUE);
}

static int64_t
weak_vm_delay_us(const cs_fleet *fleet)
{
    double share = fleet->state->settings.cpu_share;

    if (share <= 0 || share >= STRONG_CPU_SHARE)
        return 0;
    return (int64_t)((1 - share / STRONG_CPU_SHARE) * WEAK_VM_DELAY_US);
}

/* Returns how long this VM waits for VMs that are to acquire the cell first.
   Beyond the candidates a hash spreads the VMs' attempts. */
static int64_t
rank_delay_us(const cs_fleet *fleet)
{
    const cs_vm_rank *rank = &fleet->state->rank;
    uint32_t steps = g_str_hash(fleet->state->incarnation) % STAGGER_STEPS;

    if (!rank->known)
        return weak_vm_delay_us(fleet) + steps * STAGGER_STEP_US;
    if (cs_vm_is_candidate(rank))
        return weak_vm_delay_us(fleet) +
               (rank->stronger_before ? OUTRANKED_DELAY_US : 0) +
               MIN(rank->candidates_before, STAGGER_STEPS) * STAGGER_STEP_US;
    return WEAK_VM_DELAY_US + weak_vm_delay_us(fleet) +
           (STAGGER_STEPS + steps) * STAGGER_STEP_US;
}

static int64_t
takeover_delay_us(const cs_fleet *fleet)
{
    bool lagged = fleet->lagged_us &&
                  fleet_now(fleet).boot_us - fleet->lagged_us < LAG_MEMORY_US;

    return rank_delay_us(fleet) +
           (fleet->state->relayed || lagged ? RELAYED_DELAY_US : 0);
}

/*
 * Returns for how long the lease was surely not renewed, by the store's clock,
 * for a process that has not seen a renewal since its start. The holder writes
 * the clock of its last commit, so the difference is too high by up to the
 * time between two commits, which is subtracted.
 */
static int64_t
silence_by_store_clock_us(const struct cell_rows *rows)
{
    if (rows->renewed_ms <= 0 || rows->now_ms <= 0)
        return 0;
    return (rows->now_ms - rows->renewed_ms) * CS_MS_US -
           COMMIT_INTERVAL_MAX_US;
}

/*
 * Returns whether the process may try to acquire the cell: once its VM's rank
 * is known, or after a while without. All processes may have started at once,
 * and the strongest VM is to go first.
 */
static bool
is_rank_settled(cs_fleet *fleet, int64_t now_us)
{
    if (fleet->rank_known_us == 0 &&
        (fleet->state->rank.known ||
         now_us - fleet->created_us >= UNRANKED_DELAY_US))
        fleet->rank_known_us = now_us;
    return fleet->rank_known_us != 0;
}

/* Handles rows by which an epoch that this process may have acquired is that
   of another one, or is over. */
static void
settle_unsure_epoch(cs_fleet *fleet, const struct cell_rows *rows)
{
    uint64_t epoch = fleet->unsure_epoch;

    if (!epoch || rows->epoch < epoch)
        return;
    fleet->unsure_epoch = 0;
    if (rows->epoch == epoch)
        return;
    fleet->last_ended_epoch = MAX(fleet->last_ended_epoch, epoch);
    ended_tenure_note_unbegun(fleet, epoch);
}

static void
consider_takeover(cs_fleet *fleet, const struct cell_rows *rows)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    int64_t silent_us;

    /* An attempt to acquire the cell whose answer was lost has succeeded. */
    if (rows->epoch_version && rows->epoch > fleet->last_ended_epoch &&
        strcmp(rows->holder, fleet->state->incarnation) == 0) {
        begin_tenure(fleet, rows->epoch, rows->epoch_version,
                     rows->leases_last_us);
        return;
    }
    settle_unsure_epoch(fleet, rows);
    ended_tenure_publish(fleet, rows->now_ms, fleet->cell_read_sent_us);
    fleet->state->cell.epoch = rows->epoch;
    g_strlcpy(fleet->state->cell.holder, rows->holder,
              sizeof(fleet->state->cell.holder));
    if (rows->lease_version != fleet->lease_version ||
        fleet->lease_change_us == 0) {
        if (fleet->lease_version &&
            rows->lease_version != fleet->lease_version)
            fleet->renewal_seen = true;
        fleet->lease_version = rows->lease_version;
        fleet->lease_change_us = now_us;
    }
    if (fleet->state->draining || !fleet->state->config ||
        !is_rank_settled(fleet, now_us))
        return;
    silent_us = now_us - fleet->lease_change_us;
    if (!fleet->renewal_seen)
        silent_us = MAX(silent_us, silence_by_store_clock_us(rows));
    if (rows->epoch_version && !rows->released)
        silent_us -= LEASE_TIMEOUT_US;
    if (MIN(silent_us, now_us - fleet->rank_known_us) >=
        takeover_delay_us(fleet))
        acquire_cell(fleet, rows);
}

static void
on_cell_rows(void *user_data, const cs_store_answer *answer)
{
    cs_fleet *fleet = user_data;
    struct cell_rows rows;

    fleet->cell_read_pending = false;
    cs_fleet_state_record_store_answer(fleet->state, answer->code);
    if (fleet->tenure != TENURE_FOLLOWING)
        return;
    if (answer->code) {
        /* Only time in which the lease row could be read counts as silence. */
        fleet->lease_change_us = 0;
        return;
    }
    if (read_cell_rows(&rows, fleet, answer))
        consider_takeover(fleet, &rows);
    else
        cs_log_event("cell-unreadable", "the epoch row is invalid");
}

static void
poll_cell(cs_fleet *fleet)
{
    const cs_store_port *store = fleet->state->ports.store;
    /* Up to the lease row, without the larger row of shares behind it: this
       is read every 0.3 s. "!" sorts before the characters of keys. */
    cs_row_range range = {
        .table = CS_TABLE_CELL, .part = CS_CELL_PART, .to = LEASE_KEY "!"};
    int64_t now_us = fleet_now(fleet).boot_us;

    if (fleet->cell_read_pending || now_us < fleet->next_cell_read_us)
        return;
    fleet->cell_read_pending = true;
    fleet->cell_read_sent_us = now_us;
    fleet->next_cell_read_us =
        now_us + (cs_vm_is_candidate(&fleet->state->rank)
                      ? CELL_READ_INTERVAL_US
                      : CELL_READ_INTERVAL_OTHERS_US);
    store->read(store->self, &range, now_us + STORE_TIMEOUT_US, on_cell_rows,
                fleet);
}

void
tenure_end(cs_fleet *fleet, const char *reason)
{
    cs_log_event("cell-lost", "epoch %" PRIu64 ": %s", fleet->epoch, reason);
    fleet_increment_counter(fleet, "cs_cell_lost_total");
    ended_tenure_note(fleet);
    fleet_reset(fleet);
    fleet->tenure = TENURE_FOLLOWING;
    /* The next read tells the store's clock, which the row of the ended tenure
       names. */
    fleet->next_cell_read_us = 0;
    fleet->relayed_since_us = 0;
    /* A process that is stopping must not acquire the cell again. */
    fleet->release_requested = fleet->state->draining;
    fleet->last_ended_epoch = fleet->epoch;
    fleet->lease_change_us = 0;
}

void
tenure_hand_over(cs_fleet *fleet, const char *reason)
{
    if (fleet->release_requested)
        return;
    cs_log_event("cell-offered", "%s", reason);
    fleet->release_requested = true;
}

/*
 * Releases the cell if the store refuses this VM while it serves others. A VM
 * with a direct route to the store records faster than one whose calls are
 * relayed through a peer, and a handover takes less than a second.
 */
static void
offer_cell_if_relayed(cs_fleet *fleet)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    if (!fleet->state->relayed) {
        fleet->relayed_since_us = 0;
        return;
    }
    if (fleet->relayed_since_us == 0)
        fleet->relayed_since_us = now_us;
    /* Unless a renewal has succeeded through a peer, the store serves no VM,
       and there is none to hand over to. If it has just returned for all, a
       peer answers before this VM knows that it is served as well. */
    if (!fleet->state->refused ||
        now_us - fleet->relayed_since_us < RELAYED_HANDOVER_US ||
        fleet->last_renewal_us <= fleet->relayed_since_us ||
        fleet->release_requested)
        return;
    tenure_hand_over(fleet, "the store refuses this VM");
}

void
tenure_tick(cs_fleet *fleet)
{
    switch (fleet->tenure) {
    case TENURE_FOLLOWING:
        poll_cell(fleet);
        return;
    case TENURE_ACQUIRING:
        return;
    case TENURE_LOADING:
    case TENURE_HOLDING:
        offer_cell_if_relayed(fleet);
        if (fleet->next_renewal_us == 0)
            fleet->next_renewal_us = fleet_now(fleet).boot_us;
        return;
    }
}
