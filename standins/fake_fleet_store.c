/*
 * The fake row store: conditional changes, range reads and change feeds. With
 * faults, it applies changes without an answer, at once or late. Answers to
 * reads and polls take time on the links of the store, of a relaying peer and
 * of the VM, if these have a bandwidth. Reads and polls may lag: they return
 * the rows and the version of an earlier time.
 */
#include "fake_fleet_internal.h"

#include "config.h"
#include "corianderstair/record.h"

#define STORE_LATENCY_US (4 * CS_MS_US)
#define MAX_CHANGE_ROWS 100
#define MAX_CHANGE_BYTES ((size_t)1 << 20)
#define MAX_NAME_BYTES 200
/* Delay of a change that a fault makes late. */
#define MIN_LATE_US (1 * CS_SEC_US)
#define MAX_LATE_US (6 * CS_SEC_US)

/* A feed ends its answer once it has this many bytes of values, and does not
   say so: the caller continues from the answer's version. */
#define FEED_BYTES ((size_t)1 << 20)

/* A transfer is sent in pieces of this size, so that several transfers share a
   link. */
#define PIECE_BYTES 16384
/* Approximate text around each row and around an answer, in JSON. */
#define ROW_OVERHEAD_BYTES 100
#define ANSWER_OVERHEAD_BYTES 200
/* A fake_fleet_stall_transfer() affects answers above this size. */
#define STALL_MIN_BYTES 65536

/* An answer whose bytes are under way. */
struct transfer {
    GPtrArray *rows; /* of struct fake_row, copies */
    bool has_more;
    uint64_t version;
    int64_t store_now_ms;
    size_t remaining_bytes;
    size_t stall_at_bytes; /* stalls when so many bytes remain; 0 never */
    bool through_relay;    /* still on its way to the relaying peer */
    size_t total_bytes;
};

/* A cs_row_change that owns its rows. */
struct owned_change {
    GPtrArray *conditions; /* of struct fake_row */
    GPtrArray *puts;
    GPtrArray *removals;
};

struct store_call {
    fake_fleet *deployment;
    struct fake_vm *vm;
    struct fake_vm *relay; /* sends the call to the store; vm if direct */
    struct owned_change change;
    char *table;
    char *part;
    char *from; /* first key of a range read; NULL for no bound */
    char *to;   /* key after the last one, exclusive; NULL for no bound */
    uint32_t limit;
    uint64_t after;   /* a feed returns changes after this version */
    size_t max_bytes; /* a larger answer is not sent; 0: any is */
    int64_t wait_until_us;
    int64_t deadline_us;
    bool answered;
    bool deferred;   /* the answer waits until the VM's process runs again */
    bool is_waiting; /* is in the store's waiting_feeds */
    bool extensible; /* the deadline moves while bytes arrive */
    int64_t transfer_deadline_us;
    struct transfer *transfer; /* NULL until an answer with rows is sent */
    cs_store_done done;
    void *user_data;
};

static void
row_free(gpointer data)
{
    struct fake_row *row = data;

    g_free(row->table);
    g_free(row->part);
    g_free(row->key);
    g_byte_array_unref(row->value);
    g_free(row);
}

static struct fake_row *
row_new(const char *table, const char *part, const char *key,
        const void *value, size_t size, uint64_t version, bool deleted)
{
    struct fake_row *row = g_new0(struct fake_row, 1);

    row->table = g_strdup(table);
    row->part = g_strdup(part ? part : "");
    row->key = g_strdup(key);
    row->value = g_byte_array_new();
    if (size)
        g_byte_array_append(row->value, value, (guint)size);
    row->version = version;
    row->deleted = deleted;
    return row;
}

/* Values do not change, so copies share them. */
static struct fake_row *
row_copy(const struct fake_row *row)
{
    struct fake_row *copy = g_new0(struct fake_row, 1);

    copy->table = g_strdup(row->table);
    copy->part = g_strdup(row->part);
    copy->key = g_strdup(row->key);
    copy->value = g_byte_array_ref(row->value);
    copy->version = row->version;
    copy->deleted = row->deleted;
    return copy;
}

static char *
make_row_id(const char *table, const char *part, const char *key)
{
    return g_strdup_printf("%s %s %s", table, part ? part : "", key);
}

void
fake_store_init(fake_fleet *deployment)
{
    struct fake_store *store = &deployment->store;

    store->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
    store->history = g_ptr_array_new_with_free_func(row_free);
    store->version_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    store->waiting_feeds = g_ptr_array_new();
    store->table_versions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
call_free(struct store_call *call)
{
    if (call->change.conditions) {
        g_ptr_array_free(call->change.conditions, TRUE);
        g_ptr_array_free(call->change.puts, TRUE);
        g_ptr_array_free(call->change.removals, TRUE);
    }
    if (call->transfer) {
        g_ptr_array_free(call->transfer->rows, TRUE);
        g_free(call->transfer);
    }
    g_free(call->table);
    g_free(call->part);
    g_free(call->from);
    g_free(call->to);
    g_free(call);
}

void
fake_store_dispose(fake_fleet *deployment)
{
    g_hash_table_destroy(deployment->store.rows);
    g_ptr_array_free(deployment->store.history, TRUE);
    g_array_free(deployment->store.version_times, TRUE);
    g_ptr_array_free(deployment->store.waiting_feeds, TRUE);
    g_hash_table_destroy(deployment->store.table_versions);
}

void
fake_fleet_remove_job_row(fake_fleet *deployment, const char *id)
{
    char part[CS_JOB_PART_BYTES];

    cs_job_part(part, id);
    fake_store_remove(deployment, CS_TABLE_JOBS, part, id);
}

void
fake_fleet_remove_progress_row(fake_fleet *deployment, const char *key)
{
    fake_store_remove(deployment, CS_TABLE_PROGRESS, CS_CELL_PART, key);
}

void
fake_fleet_repeat_member_write(fake_fleet *deployment, uint32_t vm)
{
    const GPtrArray *history = deployment->store.history;
    guint i;

    for (i = 0; i < history->len; i++) {
        const struct fake_row *row = g_ptr_array_index(history, i);

        if (strcmp(row->table, CS_TABLE_MEMBERS) == 0 &&
            strcmp(row->key, deployment->vms[vm].name) == 0) {
            fake_store_put(deployment, row->table, row->part, row->key,
                           row->value->data, row->value->len);
            return;
        }
    }
}

void
fake_fleet_merge_progress(fake_fleet *deployment, const char *id)
{
    GByteArray *value = g_byte_array_new();
    cs_job_progress merged;
    uint32_t number;

    cs_job_progress_init(&merged);
    for (number = 0; number < CS_JOB_TOTAL_TASKS_MAX; number++) {
        char *key =
            number ? g_strdup_printf("%s.%u", id, number) : g_strdup(id);
        const struct fake_row *row =
            fake_store_get(deployment, CS_TABLE_PROGRESS, CS_CELL_PART, key);
        cs_job_progress part;
        guint i;

        if (row && !row->deleted &&
            cs_job_progress_decode(&part, row->value->data, row->value->len) ==
                0) {
            if (number == 0)
                merged.state = part.state;
            for (i = 0; i < part.tasks->len; i++)
                cs_job_progress_add(
                    &merged, &g_array_index(part.tasks, cs_task_progress, i));
            cs_job_progress_dispose(&part);
            fake_store_remove(deployment, CS_TABLE_PROGRESS, CS_CELL_PART,
                              key);
        }
        g_free(key);
    }
    cs_job_progress_encode(value, &merged);
    cs_job_progress_dispose(&merged);
    fake_store_put(deployment, CS_TABLE_PROGRESS, CS_CELL_PART, id,
                   value->data, value->len);
    g_byte_array_unref(value);
}

/* Number of items of the row before the time that leases last. */
#define FORMER_EPOCH_ITEMS 5

void
fake_fleet_put_former_epoch_row(fake_fleet *deployment)
{
    const struct fake_row *row =
        fake_store_get(deployment, CS_TABLE_CELL, CS_CELL_PART, "epoch");
    GByteArray *value = g_byte_array_new();
    cs_packed_record record;
    msgpack_packer packer;
    uint32_t i;

    cs_record_open(&record, row->value->data, row->value->len);
    cs_record_packer_init(&packer, value);
    msgpack_pack_array(&packer, FORMER_EPOCH_ITEMS);
    for (i = 0; i < FORMER_EPOCH_ITEMS; i++)
        msgpack_pack_object(&packer, *cs_record_read_item(&record.reader));
    cs_record_close(&record);
    fake_store_put(deployment, CS_TABLE_CELL, CS_CELL_PART, "epoch",
                   value->data, value->len);
    g_byte_array_unref(value);
}

uint32_t
fake_fleet_row_count(const fake_fleet *deployment, const char *table)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, deployment->store.rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct fake_row *row = value;

        count += strcmp(row->table, table) == 0 && !row->deleted;
    }
    return count;
}

const struct fake_row *
fake_store_get(const fake_fleet *deployment, const char *table,
               const char *part, const char *key)
{
    char *row_id = make_row_id(table, part, key);
    const struct fake_row *row =
        g_hash_table_lookup(deployment->store.rows, row_id);

    g_free(row_id);
    return row;
}

static void
deliver_answer(struct store_call *call, const cs_store_answer *answer)
{
    call->answered = true;
    g_hash_table_remove(call->vm->pending_calls, call);
    call->done(call->user_data, answer);
}

/* An answer to a VM whose process is suspended. */
struct deferred_answer {
    struct store_call *call;
    cs_store_answer answer;
    GPtrArray *rows; /* of struct fake_row, copies */
    cs_row *list;
};

static void
deliver_deferred(void *user_data)
{
    struct deferred_answer *deferred = user_data;
    struct store_call *call = deferred->call;

    if (!call->answered && fake_vm_is_frozen(call->vm)) {
        fake_schedule(call->deployment, call->vm->frozen_until_us,
                      deliver_deferred, deferred);
        return;
    }
    call->deferred = false;
    if (!call->answered)
        deliver_answer(call, &deferred->answer);
    g_ptr_array_free(deferred->rows, TRUE);
    g_free(deferred->list);
    g_free(deferred);
}

static void
defer_answer(struct store_call *call, const cs_store_answer *answer)
{
    struct deferred_answer *deferred = g_new0(struct deferred_answer, 1);
    size_t i;

    call->deferred = true;
    deferred->call = call;
    deferred->answer = *answer;
    deferred->rows = g_ptr_array_new_with_free_func(row_free);
    deferred->list = g_new0(cs_row, answer->row_count + 1);
    for (i = 0; i < answer->row_count; i++) {
        const cs_row *row = &answer->rows[i];
        struct fake_row *copy =
            row_new(row->table, row->part, row->key, row->value,
                    row->size_bytes, row->version, row->deleted);

        g_ptr_array_add(deferred->rows, copy);
        deferred->list[i] = *row;
        deferred->list[i].table = copy->table;
        deferred->list[i].part = copy->part;
        deferred->list[i].key = copy->key;
        deferred->list[i].value = copy->value->data;
    }
    deferred->answer.rows = deferred->list;
    fake_schedule(call->deployment, call->vm->frozen_until_us,
                  deliver_deferred, deferred);
}

static void
send_answer(struct store_call *call, const cs_store_answer *answer)
{
    if (call->answered || call->deferred)
        return;
    if (fake_vm_is_frozen(call->vm))
        defer_answer(call, answer);
    else
        deliver_answer(call, answer);
}

static void
send_code(struct store_call *call, int code)
{
    cs_store_answer answer = {.code = code,
                              .version = call->deployment->store.version,
                              .now_ms =
                                  call->deployment->now_us / CS_MS_US + 1};

    send_answer(call, &answer);
}

static bool
is_hidden(const struct store_call *call, const struct fake_row *row)
{
    return call->deployment->disabled_protection == FAKE_WITHOUT_EVACUATIONS &&
           strcmp(row->table, PLATFORM_CONFIG_TABLE) == 0 &&
           g_str_has_prefix(row->key, PLATFORM_EVACUATION_PREFIX);
}

static void
deliver_rows(struct store_call *call, int code, const GPtrArray *rows,
             bool has_more, uint64_t version, int64_t store_now_ms)
{
    cs_store_answer answer = {.code = code,
                              .version = version,
                              .now_ms = store_now_ms,
                              .has_more = has_more};
    cs_row *list = g_new0(cs_row, rows->len + 1);
    guint i;

    for (i = 0; i < rows->len; i++) {
        const struct fake_row *row = g_ptr_array_index(rows, i);
        cs_row *out = &list[answer.row_count];

        if (is_hidden(call, row))
            continue;
        out->table = row->table;
        out->part = row->part;
        out->key = row->key;
        out->value = row->value->data;
        out->size_bytes = row->value->len;
        out->version = row->version;
        out->deleted = row->deleted;
        answer.row_count++;
    }
    answer.rows = list;
    send_answer(call, &answer);
    g_free(list);
}

/* Sends bytes over a link, and moves at_us to when they have arrived. */
static void
use_link(int64_t *at_us, int64_t *free_us, int64_t kbps, size_t bytes,
         int64_t now_us)
{
    if (kbps <= 0)
        return;
    *free_us = MAX(*free_us, now_us) + (int64_t)bytes * 8 * CS_MS_US / kbps;
    *at_us = MAX(*at_us, *free_us);
}

static void
start_pass(struct transfer *transfer, bool through_relay)
{
    transfer->through_relay = through_relay;
    transfer->remaining_bytes = transfer->total_bytes;
}

/* Sends the next piece of a transfer. A relaying peer passes an answer on
   only when it has all of it. */
static void
send_piece(void *user_data)
{
    struct store_call *call = user_data;
    struct transfer *transfer = call->transfer;
    fake_fleet *deployment = call->deployment;
    struct fake_vm *relay = call->relay;
    int64_t at_us = deployment->now_us;
    size_t bytes = MIN(transfer->remaining_bytes, PIECE_BYTES);

    /* The connection of an abandoned call is closed. */
    if (call->answered)
        return;
    if (!transfer->through_relay &&
        transfer->remaining_bytes < transfer->total_bytes)
        call->transfer_deadline_us =
            MAX(MAX(call->transfer_deadline_us, call->deadline_us + 1),
                deployment->now_us + CS_STORE_PROGRESS_US);
    if (bytes == 0 && transfer->through_relay) {
        start_pass(transfer, false);
        bytes = MIN(transfer->remaining_bytes, PIECE_BYTES);
    }
    if (bytes == 0) {
        deliver_rows(call, 0, transfer->rows, transfer->has_more,
                     transfer->version, transfer->store_now_ms);
        return;
    }
    if (transfer->stall_at_bytes &&
        transfer->remaining_bytes <= transfer->stall_at_bytes)
        return;
    transfer->remaining_bytes -= bytes;
    if (relay == call->vm || transfer->through_relay) {
        deployment->store.load.sent_bytes += bytes;
        use_link(&at_us, &deployment->store.link_free_us,
                 deployment->store_kbps, bytes, deployment->now_us);
    }
    if (relay != call->vm)
        use_link(&at_us, &relay->link_free_us, relay->link_kbps, bytes,
                 deployment->now_us);
    if (!transfer->through_relay)
        use_link(&at_us, &call->vm->link_free_us, call->vm->link_kbps, bytes,
                 deployment->now_us);
    if (at_us == deployment->now_us)
        send_piece(call);
    else
        fake_schedule(deployment, at_us, send_piece, call);
}

static void
start_transfer(struct store_call *call, const GPtrArray *rows, bool has_more,
               uint64_t version)
{
    struct transfer *transfer = g_new0(struct transfer, 1);
    guint i;

    transfer->rows = g_ptr_array_new_with_free_func(row_free);
    transfer->has_more = has_more;
    transfer->version = version;
    transfer->store_now_ms = call->deployment->now_us / CS_MS_US + 1;
    transfer->total_bytes = ANSWER_OVERHEAD_BYTES;
    for (i = 0; i < rows->len; i++) {
        const struct fake_row *row = g_ptr_array_index(rows, i);

        g_ptr_array_add(transfer->rows, row_copy(row));
        /* Values are encoded in base64. */
        transfer->total_bytes +=
            ROW_OVERHEAD_BYTES + ((size_t)row->value->len + 2) / 3 * 4;
    }
    call->transfer = transfer;
    if (call->max_bytes && transfer->total_bytes > call->max_bytes) {
        send_code(call, CS_E_TOO_LARGE);
        return;
    }
    if (call->vm->stall_next_transfer &&
        transfer->total_bytes > STALL_MIN_BYTES) {
        call->vm->stall_next_transfer = false;
        transfer->stall_at_bytes = transfer->total_bytes / 2;
    }
    start_pass(transfer, call->relay != call->vm);
    send_piece(call);
}

static void
send_rows(struct store_call *call, int code, GPtrArray *rows, bool has_more,
          uint64_t version)
{
    if (call->answered || call->transfer)
        return;
    if (call->extensible)
        start_transfer(call, rows, has_more, version);
    else
        deliver_rows(call, code, rows, has_more, version,
                     call->deployment->now_us / CS_MS_US + 1);
}

/* Returns by how much the answer to a read or a poll lags. */
static int64_t
answer_lag_us(const struct store_call *call)
{
    const struct fake_store_lag *lag = &call->deployment->store.lag;

    if ((lag->vm >= 0 && (uint32_t)lag->vm != call->relay->number) ||
        (lag->table && strcmp(lag->table, call->table) != 0))
        return 0;
    return lag->us;
}

/* Returns the version of the store that the call is answered at. */
static uint64_t
visible_version(const struct store_call *call)
{
    const struct fake_store *store = &call->deployment->store;
    int64_t at_us = call->deployment->now_us - answer_lag_us(call);
    uint64_t version = store->version;

    while (version > 0 &&
           g_array_index(store->version_times, int64_t, version - 1) > at_us)
        version--;
    return version;
}

/* Returns the first row of the history after a version. */
static guint
find_in_history(const fake_fleet *deployment, uint64_t version)
{
    const GPtrArray *history = deployment->store.history;
    guint first = history->len;

    while (first > 0 &&
           ((const struct fake_row *)g_ptr_array_index(history, first - 1))
                   ->version > version)
        first--;
    return first;
}

/* Returns whether the table has changed after the version of the feed. */
static bool
feed_is_ready(const struct store_call *call)
{
    const fake_fleet *deployment = call->deployment;
    const uint64_t *version =
        g_hash_table_lookup(deployment->store.table_versions, call->table);
    guint end;
    guint i;

    if (!version || *version <= call->after || answer_lag_us(call) == 0)
        return version && *version > call->after;
    end = find_in_history(deployment, visible_version(call));
    for (i = find_in_history(deployment, call->after); i < end; i++) {
        const struct fake_row *row =
            g_ptr_array_index(deployment->store.history, i);

        if (strcmp(row->table, call->table) == 0)
            return true;
    }
    return false;
}

static void
send_feed(struct store_call *call)
{
    const GPtrArray *history = call->deployment->store.history;
    uint64_t version = visible_version(call);
    guint limit = call->deployment->feed_rows_max;
    bool has_more = false;
    size_t bytes = 0;
    GPtrArray *rows;
    guint end;
    guint i;

    if (call->after < call->deployment->store.compacted_version) {
        send_code(call, CS_E_TOO_OLD);
        return;
    }
    rows = g_ptr_array_new();
    end = find_in_history(call->deployment, version);
    for (i = find_in_history(call->deployment, call->after); i < end; i++) {
        struct fake_row *row = g_ptr_array_index(history, i);

        if (strcmp(row->table, call->table) != 0)
            continue;
        if ((limit > 0 && rows->len >= limit) || bytes >= FEED_BYTES) {
            const struct fake_row *last =
                g_ptr_array_index(rows, rows->len - 1);

            has_more = bytes < FEED_BYTES;
            version = last->version;
            break;
        }
        g_ptr_array_add(rows, row);
        bytes += row->value->len;
    }
    send_rows(call, 0, rows, has_more, version);
    g_ptr_array_free(rows, TRUE);
}

/* Answers the waiting feeds that have changes or whose wait has ended. */
static void
answer_ready_feeds(fake_fleet *deployment)
{
    GPtrArray *waiting_feeds = deployment->store.waiting_feeds;
    guint i = 0;

    while (i < waiting_feeds->len) {
        struct store_call *call = g_ptr_array_index(waiting_feeds, i);

        if (!call->answered && !feed_is_ready(call) &&
            deployment->now_us < call->wait_until_us) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(waiting_feeds, i);
        call->is_waiting = false;
        if (!call->answered)
            send_feed(call);
    }
}

static void
answer_ready_feeds_event(void *user_data)
{
    answer_ready_feeds(user_data);
}

static void
write_row(fake_fleet *deployment, const char *table, const char *part,
          const char *key, const void *value, size_t size, bool deleted)
{
    struct fake_store *store = &deployment->store;
    char *row_id = make_row_id(table, part, key);

    g_hash_table_replace(store->table_versions, g_strdup(table),
                         g_memdup2(&store->version, sizeof(store->version)));
    g_ptr_array_add(store->history, row_new(table, part, key, value, size,
                                            store->version, deleted));
    if (deleted)
        g_hash_table_remove(store->rows, row_id);
    else
        g_hash_table_replace(
            store->rows, g_strdup(row_id),
            row_new(table, part, key, value, size, store->version, false));
    g_free(row_id);
}

static void
begin_version(fake_fleet *deployment)
{
    struct fake_store *store = &deployment->store;

    store->version++;
    g_array_append_val(store->version_times, deployment->now_us);
    if (store->lag.us > 0)
        fake_schedule(deployment, deployment->now_us + store->lag.us,
                      answer_ready_feeds_event, deployment);
}

void
fake_store_put(fake_fleet *deployment, const char *table, const char *part,
               const char *key, const void *value, size_t size)
{
    begin_version(deployment);
    write_row(deployment, table, part, key, value, size, false);
    fake_schedule(deployment, deployment->now_us, answer_ready_feeds_event,
                  deployment);
}

void
fake_store_remove(fake_fleet *deployment, const char *table, const char *part,
                  const char *key)
{
    begin_version(deployment);
    write_row(deployment, table, part, key, NULL, 0, true);
    fake_schedule(deployment, deployment->now_us, answer_ready_feeds_event,
                  deployment);
}

static bool
conditions_hold(const struct store_call *call)
{
    guint i;

    for (i = 0; i < call->change.conditions->len; i++) {
        const struct fake_row *condition =
            g_ptr_array_index(call->change.conditions, i);
        const struct fake_row *row =
            fake_store_get(call->deployment, condition->table, condition->part,
                           condition->key);

        if ((row ? row->version : 0) != condition->version)
            return false;
    }
    return true;
}

static void
send_conflict(struct store_call *call)
{
    GPtrArray *rows = g_ptr_array_new();
    guint i;

    for (i = 0; i < call->change.conditions->len; i++) {
        const struct fake_row *condition =
            g_ptr_array_index(call->change.conditions, i);
        const struct fake_row *row =
            fake_store_get(call->deployment, condition->table, condition->part,
                           condition->key);

        if (row)
            g_ptr_array_add(rows, (gpointer)row);
    }
    send_rows(call, CS_E_CONFLICT, rows, false,
              call->deployment->store.version);
    g_ptr_array_free(rows, TRUE);
}

static void
apply_change(struct store_call *call)
{
    fake_fleet *deployment = call->deployment;
    guint i;

    begin_version(deployment);
    for (i = 0; i < call->change.puts->len; i++) {
        const struct fake_row *row = g_ptr_array_index(call->change.puts, i);

        write_row(deployment, row->table, row->part, row->key,
                  row->value->data, row->value->len, false);
        if (strcmp(row->table, CS_TABLE_JOBS) == 0)
            fake_check_job(deployment, row->value);
        if (strcmp(row->table, CS_TABLE_PROGRESS) == 0) {
            fake_observe(deployment, "progress-stored",
                         "job %s version %" G_GUINT64_FORMAT, row->key,
                         deployment->store.version);
            fake_check_progress(deployment, row->key, row->value);
        }
    }
    for (i = 0; i < call->change.removals->len; i++) {
        const struct fake_row *row =
            g_ptr_array_index(call->change.removals, i);

        write_row(deployment, row->table, row->part, row->key, NULL, 0, true);
    }
}

static bool
all_in_part(const GPtrArray *rows, const char *part)
{
    guint i;

    for (i = 0; i < rows->len; i++) {
        const struct fake_row *row = g_ptr_array_index(rows, i);

        if (strcmp(row->part, part) != 0)
            return false;
    }
    return true;
}

/* The store accepts only changes whose rows are all in one part. */
static bool
is_single_part(const struct owned_change *change)
{
    const GPtrArray *lists[] = {change->conditions, change->puts,
                                change->removals};
    const char *part = NULL;
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(lists) && !part; i++) {
        if (lists[i]->len > 0)
            part = ((const struct fake_row *)g_ptr_array_index(lists[i], 0))
                       ->part;
    }
    for (i = 0; i < G_N_ELEMENTS(lists); i++) {
        if (!all_in_part(lists[i], part))
            return false;
    }
    return true;
}

static size_t
count_wire_bytes(const GPtrArray *rows)
{
    size_t bytes = 0;
    guint i;

    for (i = 0; i < rows->len; i++) {
        const struct fake_row *row = g_ptr_array_index(rows, i);

        bytes += ROW_OVERHEAD_BYTES + ((size_t)row->value->len + 2) / 3 * 4;
    }
    return bytes;
}

static bool
has_valid_rows(const GPtrArray *rows, int64_t row_bytes)
{
    guint i;

    for (i = 0; i < rows->len; i++) {
        const struct fake_row *row = g_ptr_array_index(rows, i);

        if (row->value->len > row_bytes ||
            strlen(row->table) > MAX_NAME_BYTES ||
            strlen(row->part) > MAX_NAME_BYTES ||
            strlen(row->key) > MAX_NAME_BYTES)
            return false;
    }
    return true;
}

/* Checks the limits of a change: entries, bytes, and those of each row. */
static bool
is_within_limits(const fake_fleet *deployment,
                 const struct owned_change *change)
{
    return change->conditions->len + change->puts->len +
                   change->removals->len <=
               MAX_CHANGE_ROWS &&
           count_wire_bytes(change->conditions) +
                   count_wire_bytes(change->puts) +
                   count_wire_bytes(change->removals) <=
               MAX_CHANGE_BYTES &&
           has_valid_rows(change->puts, deployment->row_bytes) &&
           has_valid_rows(change->removals, deployment->row_bytes);
}

static void
execute_change(void *user_data)
{
    struct store_call *call = user_data;

    if (!is_within_limits(call->deployment, &call->change) ||
        !is_single_part(&call->change)) {
        call->deployment->store.rejected_changes++;
        send_code(call, CS_E_INVALID);
        return;
    }

    if (!conditions_hold(call) && call->deployment->disabled_protection !=
                                      FAKE_WITHOUT_CONDITION_CHECK) {
        send_conflict(call);
        return;
    }
    apply_change(call);
    send_code(call, 0);
    answer_ready_feeds(call->deployment);
}

/* Applies a change whose answer is lost, for a fault of the VM. */
static void
execute_unanswered(void *user_data)
{
    struct store_call *call = user_data;

    if (conditions_hold(call))
        apply_change(call);
    answer_ready_feeds(call->deployment);
}

static int
compare_rows(gconstpointer a, gconstpointer b)
{
    const struct fake_row *first = *(const struct fake_row *const *)a;
    const struct fake_row *second = *(const struct fake_row *const *)b;

    return strcmp(first->key, second->key);
}

static bool
in_range(const struct store_call *call, const struct fake_row *row)
{
    return strcmp(row->table, call->table) == 0 &&
           strcmp(row->part, call->part) == 0 &&
           (!call->from || strcmp(row->key, call->from) >= 0) &&
           (!call->to || strcmp(row->key, call->to) < 0);
}

/* Returns the rows in the range of the call as of a version, to be freed by
   the caller. */
static GPtrArray *
list_past_rows(const struct store_call *call, uint64_t version)
{
    const fake_fleet *deployment = call->deployment;
    guint end = find_in_history(deployment, version);
    GHashTable *by_key = g_hash_table_new(g_str_hash, g_str_equal);
    GPtrArray *rows = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    guint i;

    for (i = 0; i < end; i++) {
        struct fake_row *row = g_ptr_array_index(deployment->store.history, i);

        if (in_range(call, row))
            g_hash_table_replace(by_key, row->key, row);
    }
    g_hash_table_iter_init(&iter, by_key);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!((const struct fake_row *)value)->deleted)
            g_ptr_array_add(rows, value);
    }
    g_hash_table_destroy(by_key);
    return rows;
}

static GPtrArray *
list_current_rows(const struct store_call *call)
{
    GPtrArray *rows = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, call->deployment->store.rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (in_range(call, value))
            g_ptr_array_add(rows, value);
    }
    return rows;
}

static void
execute_read(void *user_data)
{
    struct store_call *call = user_data;
    uint64_t version = visible_version(call);
    GPtrArray *rows = version < call->deployment->store.version
                          ? list_past_rows(call, version)
                          : list_current_rows(call);
    guint limit = call->limit ? call->limit : 500;
    bool has_more;

    g_ptr_array_sort(rows, compare_rows);
    has_more = rows->len > limit;
    if (has_more)
        g_ptr_array_set_size(rows, (gint)limit);
    send_rows(call, 0, rows, has_more, version);
    g_ptr_array_free(rows, TRUE);
}

static void
execute_follow(void *user_data)
{
    struct store_call *call = user_data;

    if (feed_is_ready(call) ||
        call->after < call->deployment->store.compacted_version ||
        call->deployment->now_us >= call->wait_until_us) {
        send_feed(call);
        return;
    }
    call->is_waiting = true;
    g_ptr_array_add(call->deployment->store.waiting_feeds, call);
    fake_schedule(call->deployment, call->wait_until_us,
                  answer_ready_feeds_event, call->deployment);
}

static void
expire_call(void *user_data)
{
    struct store_call *call = user_data;
    int64_t end_us = MIN(call->transfer_deadline_us,
                         call->deadline_us + CS_STORE_TRANSFER_MAX_US);
    cs_store_answer answer = {.code = CS_E_OUTCOME_UNKNOWN};

    if (!call->answered && !call->deployment->shutting_down &&
        call->deployment->now_us < end_us) {
        fake_schedule(call->deployment, end_us, expire_call, call);
        return;
    }
    answer.partial = call->transfer_deadline_us > call->deadline_us;
    send_answer(call, &answer);
    if (call->is_waiting)
        g_ptr_array_remove(call->deployment->store.waiting_feeds, call);
}

static void
refuse_call(void *user_data)
{
    send_code(user_data, CS_E_STORE_UNAVAILABLE);
}

static void
free_call_event(void *user_data)
{
    struct store_call *call = user_data;

    if (call->deferred)
        fake_schedule(call->deployment,
                      call->deployment->now_us + CS_STORE_TRANSFER_MAX_US,
                      free_call_event, call);
    else
        call_free(call);
}

/* Returns when the store executes a read that arrives at a time. */
static int64_t
wait_for_read_capacity(fake_fleet *deployment, int64_t at_us)
{
    struct fake_store *store = &deployment->store;

    store->load.reads++;
    if (deployment->store_reads_per_s == 0)
        return at_us;
    store->read_capacity_us = MAX(store->read_capacity_us, at_us) +
                              CS_SEC_US / deployment->store_reads_per_s;
    return store->read_capacity_us;
}

static void
schedule(struct store_call *call, fake_event_fn execute, bool writes)
{
    fake_fleet *deployment = call->deployment;
    const fake_vm_faults *faults = &call->relay->faults;
    int64_t at_us = fake_charge_cpu(call->vm, deployment->call_us) +
                    FAKE_NETWORK_DELAY_US + STORE_LATENCY_US +
                    deployment->store.delay_us;

    if (!writes)
        at_us = wait_for_read_capacity(deployment, at_us);
    if (faults->store_refuses || !call->relay->up) {
        fake_schedule(deployment, at_us, refuse_call, call);
    }
    else if (!faults->store_unreachable &&
             !deployment->zone_cut[call->relay->number % FAKE_ZONES] &&
             fake_zones_are_connected(deployment,
                                      call->vm->number % FAKE_ZONES,
                                      call->relay->number % FAKE_ZONES) &&
             !(faults->config_unanswered && call->table &&
               strcmp(call->table, PLATFORM_CONFIG_TABLE) == 0) &&
             !(writes &&
               fake_random_bool(deployment, faults->lost_changes_share))) {
        if (writes &&
            fake_random_bool(deployment, faults->unanswered_changes_share))
            fake_schedule(deployment, at_us, execute_unanswered, call);
        else if (writes &&
                 fake_random_bool(deployment, faults->late_changes_share))
            fake_schedule(deployment,
                          deployment->now_us +
                              g_rand_int_range(deployment->random, MIN_LATE_US,
                                               MAX_LATE_US),
                          execute_unanswered, call);
        else
            fake_schedule(deployment, at_us, execute, call);
    }
    fake_schedule(deployment, call->deadline_us, expire_call, call);
    /* The call is freed after every event that may still refer to it. */
    fake_schedule(deployment,
                  MAX(call->deadline_us, deployment->now_us) +
                      CS_STORE_TRANSFER_MAX_US + 2 * MAX_LATE_US,
                  free_call_event, call);
}

static void
abort_call(void *user_data)
{
    cs_store_answer answer = {.code = CS_E_OUTCOME_UNKNOWN};

    deliver_answer(user_data, &answer);
}

static struct store_call *
call_new(struct fake_store_route *route, int64_t deadline_us,
         cs_store_done done, void *user_data)
{
    struct store_call *call = g_new0(struct store_call, 1);
    struct fake_vm *vm = route->vm;

    call->deployment = vm->deployment;
    call->vm = vm;
    call->relay = route->relay;
    call->deadline_us = deadline_us;
    call->transfer_deadline_us = deadline_us;
    call->done = done;
    call->user_data = user_data;
    fake_pending_call_add(vm, call, abort_call);
    return call;
}

static GPtrArray *
copy_rows(const cs_row *rows, size_t count)
{
    GPtrArray *copies = g_ptr_array_new_with_free_func(row_free);
    size_t i;

    for (i = 0; i < count; i++)
        g_ptr_array_add(copies,
                        row_new(rows[i].table, rows[i].part, rows[i].key,
                                rows[i].value, rows[i].size_bytes,
                                rows[i].version, false));
    return copies;
}

static void
port_change(void *self, const cs_row_change *change, int64_t deadline_us,
            cs_store_done done, void *user_data)
{
    struct store_call *call = call_new(self, deadline_us, done, user_data);

    call->change.conditions =
        copy_rows(change->conditions, change->condition_count);
    call->change.puts = copy_rows(change->puts, change->put_count);
    call->change.removals = copy_rows(change->removals, change->removal_count);
    call->deployment->call_count++;
    schedule(call, execute_change, true);
}

static void
port_read(void *self, const cs_row_range *range, int64_t deadline_us,
          cs_store_done done, void *user_data)
{
    struct store_call *call = call_new(self, deadline_us, done, user_data);

    call->table = g_strdup(range->table);
    call->part = g_strdup(range->part);
    call->from = g_strdup(range->from);
    call->to = g_strdup(range->to);
    call->limit = range->limit;
    call->extensible = true;
    schedule(call, execute_read, false);
}

static void
port_follow(void *self, const char *table, uint64_t after, int64_t wait_ms,
            size_t max_bytes, int64_t deadline_us, cs_store_done done,
            void *user_data)
{
    struct store_call *call = call_new(self, deadline_us, done, user_data);

    call->table = g_strdup(table);
    call->after = after;
    call->max_bytes = max_bytes;
    call->wait_until_us = call->deployment->now_us + wait_ms * CS_MS_US;
    call->extensible = true;
    schedule(call, execute_follow, false);
}

void
fake_fleet_set_store_delay(fake_fleet *deployment, int64_t us)
{
    deployment->store.delay_us = us;
}

void
fake_fleet_set_store_lag(fake_fleet *deployment, int32_t vm, const char *table,
                         int64_t us)
{
    struct fake_store_lag lag = {.vm = vm, .table = table, .us = us};

    deployment->store.lag = lag;
}

void
fake_fleet_stall_transfer(fake_fleet *deployment, uint32_t vm)
{
    deployment->vms[vm].stall_next_transfer = true;
}

fake_store_load
fake_fleet_store_load(const fake_fleet *deployment)
{
    return deployment->store.load;
}

void
fake_store_port(struct fake_vm *vm)
{
    uint32_t i;

    for (i = 0; i < FAKE_VMS_MAX; i++) {
        struct fake_store_route *route = &vm->routes[i];

        route->vm = vm;
        route->relay = &vm->deployment->vms[i];
        route->port.self = route;
        route->port.change = port_change;
        route->port.read = port_read;
        route->port.follow = port_follow;
    }
}
