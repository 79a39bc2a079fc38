/* The store of rows: conditions, ranges, feeds; lost and late changes. */
#include "fake_fleet_internal.h"

#define EXECUTE_US (4 * CS_MS_US)
#define ENTRIES_MAX 100
#define LATE_MIN_US (1 * CS_SEC_US)
#define LATE_MAX_US (6 * CS_SEC_US)

struct owned_change {
    GPtrArray *conditions; /* of struct fake_row */
    GPtrArray *puts;
    GPtrArray *removals;
};

struct store_call {
    fake_fleet *world;
    struct fake_vm *vm;
    struct fake_vm *via;
    struct owned_change change;
    char *table;
    char *part;
    char *from;
    char *to;
    uint32_t limit;
    uint64_t after;
    int64_t wait_until_us;
    int64_t deadline_us;
    bool answered;
    bool waiting;
    cs_store_done done;
    void *data;
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

static char *
row_name(const char *table, const char *part, const char *key)
{
    return g_strdup_printf("%s %s %s", table, part ? part : "", key);
}

void
fake_store_init(fake_fleet *world)
{
    struct fake_store *store = &world->store;

    store->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
    store->history = g_ptr_array_new_with_free_func(row_free);
    store->waiters = g_ptr_array_new();
}

static void
call_free(struct store_call *call)
{
    if (call->change.conditions) {
        g_ptr_array_free(call->change.conditions, TRUE);
        g_ptr_array_free(call->change.puts, TRUE);
        g_ptr_array_free(call->change.removals, TRUE);
    }
    g_free(call->table);
    g_free(call->part);
    g_free(call->from);
    g_free(call->to);
    g_free(call);
}

void
fake_store_dispose(fake_fleet *world)
{
    g_hash_table_destroy(world->store.rows);
    g_ptr_array_free(world->store.history, TRUE);
    g_ptr_array_free(world->store.waiters, TRUE);
}

const struct fake_row *
fake_store_get(const fake_fleet *world, const char *table, const char *part,
               const char *key)
{
    char *name = row_name(table, part, key);
    const struct fake_row *row = g_hash_table_lookup(world->store.rows, name);

    g_free(name);
    return row;
}

static void
answer(struct store_call *call, const cs_store_answer *a)
{
    if (call->answered)
        return;
    call->answered = true;
    g_hash_table_remove(call->vm->open, call);
    call->done(call->data, a);
}

static void
answer_code(struct store_call *call, int code)
{
    cs_store_answer a = {.code = code,
                         .version = call->world->store.version,
                         .now_ms = call->world->now_us / CS_MS_US + 1};

    answer(call, &a);
}

static void
answer_rows(struct store_call *call, int code, GPtrArray *rows, bool more)
{
    cs_store_answer a = {.code = code,
                         .version = call->world->store.version,
                         .now_ms = call->world->now_us / CS_MS_US + 1,
                         .row_count = rows->len,
                         .more = more};
    cs_row *list = g_new0(cs_row, rows->len + 1);
    guint i;

    for (i = 0; i < rows->len; i++) {
        const struct fake_row *row = g_ptr_array_index(rows, i);

        list[i].table = row->table;
        list[i].part = row->part;
        list[i].key = row->key;
        list[i].value = row->value->data;
        list[i].size_bytes = row->value->len;
        list[i].version = row->version;
        list[i].deleted = row->deleted;
    }
    a.rows = list;
    answer(call, &a);
    g_free(list);
}

static bool
feed_is_ready(const struct store_call *call)
{
    const GPtrArray *history = call->world->store.history;
    guint i;

    for (i = history->len; i-- > 0;) {
        const struct fake_row *row = g_ptr_array_index(history, i);

        if (row->version <= call->after)
            return false;
        if (strcmp(row->table, call->table) == 0)
            return true;
    }
    return false;
}

static void
answer_feed(struct store_call *call)
{
    const GPtrArray *history = call->world->store.history;
    GPtrArray *rows;
    guint first;
    guint i;

    if (call->after < call->world->store.kept_after) {
        answer_code(call, CS_E_TOO_OLD);
        return;
    }
    rows = g_ptr_array_new();
    first = history->len;
    while (first > 0 &&
           ((const struct fake_row *)g_ptr_array_index(history, first - 1))
                   ->version > call->after)
        first--;
    for (i = first; i < history->len; i++) {
        struct fake_row *row = g_ptr_array_index(history, i);

        if (strcmp(row->table, call->table) == 0)
            g_ptr_array_add(rows, row);
    }
    answer_rows(call, 0, rows, false);
    g_ptr_array_free(rows, TRUE);
}

static void
wake_waiters(fake_fleet *world)
{
    GPtrArray *waiters = world->store.waiters;
    guint i = 0;

    while (i < waiters->len) {
        struct store_call *call = g_ptr_array_index(waiters, i);

        if (!call->answered && !feed_is_ready(call) &&
            world->now_us < call->wait_until_us) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(waiters, i);
        call->waiting = false;
        if (!call->answered)
            answer_feed(call);
        i = 0;
    }
}

static void
wake_later(void *data)
{
    wake_waiters(data);
}

static void
set_row(fake_fleet *world, const char *table, const char *part,
        const char *key, const void *value, size_t size, bool deleted)
{
    struct fake_store *store = &world->store;
    char *name = row_name(table, part, key);

    g_ptr_array_add(store->history, row_new(table, part, key, value, size,
                                            store->version, deleted));
    if (deleted)
        g_hash_table_remove(store->rows, name);
    else
        g_hash_table_replace(
            store->rows, g_strdup(name),
            row_new(table, part, key, value, size, store->version, false));
    g_free(name);
}

void
fake_store_put(fake_fleet *world, const char *table, const char *part,
               const char *key, const void *value, size_t size)
{
    world->store.version++;
    set_row(world, table, part, key, value, size, false);
    fake_at(world, world->now_us, wake_later, world);
}

void
fake_store_remove(fake_fleet *world, const char *table, const char *part,
                  const char *key)
{
    world->store.version++;
    set_row(world, table, part, key, NULL, 0, true);
    fake_at(world, world->now_us, wake_later, world);
}

static bool
conditions_hold(const struct store_call *call)
{
    guint i;

    for (i = 0; i < call->change.conditions->len; i++) {
        const struct fake_row *wanted =
            g_ptr_array_index(call->change.conditions, i);
        const struct fake_row *row = fake_store_get(call->world, wanted->table,
                                                    wanted->part, wanted->key);

        if ((row ? row->version : 0) != wanted->version)
            return false;
    }
    return true;
}

static void
answer_conflict(struct store_call *call)
{
    GPtrArray *rows = g_ptr_array_new();
    guint i;

    for (i = 0; i < call->change.conditions->len; i++) {
        const struct fake_row *wanted =
            g_ptr_array_index(call->change.conditions, i);
        const struct fake_row *row = fake_store_get(call->world, wanted->table,
                                                    wanted->part, wanted->key);

        if (row)
            g_ptr_array_add(rows, (gpointer)row);
    }
    answer_rows(call, CS_E_CONFLICT, rows, false);
    g_ptr_array_free(rows, TRUE);
}

static void
apply_change(struct store_call *call)
{
    fake_fleet *world = call->world;
    guint i;

    world->store.version++;
    for (i = 0; i < call->change.puts->len; i++) {
        const struct fake_row *row = g_ptr_array_index(call->change.puts, i);

        set_row(world, row->table, row->part, row->key, row->value->data,
                row->value->len, false);
        if (strcmp(row->table, CS_TABLE_JOBS) == 0)
            fake_check_job(world, row->value);
        if (strcmp(row->table, CS_TABLE_PROGRESS) == 0)
            fake_check_progress(world, row->key, row->value);
    }
    for (i = 0; i < call->change.removals->len; i++) {
        const struct fake_row *row =
            g_ptr_array_index(call->change.removals, i);

        set_row(world, row->table, row->part, row->key, NULL, 0, true);
    }
}

static bool
is_in_part(const GPtrArray *rows, const char *part)
{
    guint i;

    for (i = 0; i < rows->len; i++) {
        const struct fake_row *row = g_ptr_array_index(rows, i);

        if (strcmp(row->part, part) != 0)
            return false;
    }
    return true;
}

/* All rows of a change have to share a part. */
static bool
shares_part(const struct owned_change *change)
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
        if (!is_in_part(lists[i], part))
            return false;
    }
    return true;
}

static void
execute_change(void *data)
{
    struct store_call *call = data;

    if (call->change.conditions->len + call->change.puts->len +
                call->change.removals->len >
            ENTRIES_MAX ||
        !shares_part(&call->change)) {
        answer_code(call, CS_E_INVALID);
        return;
    }

    if (!conditions_hold(call) &&
        call->world->removed != FAKE_WITHOUT_CONDITIONS) {
        answer_conflict(call);
        return;
    }
    apply_change(call);
    answer_code(call, 0);
    wake_waiters(call->world);
}

static void
execute_lost(void *data)
{
    struct store_call *call = data;

    if (conditions_hold(call))
        apply_change(call);
    wake_waiters(call->world);
}

static int
compare_rows(gconstpointer a, gconstpointer b)
{
    const struct fake_row *x = *(const struct fake_row *const *)a;
    const struct fake_row *y = *(const struct fake_row *const *)b;

    return strcmp(x->key, y->key);
}

static bool
in_range(const struct store_call *call, const struct fake_row *row)
{
    return strcmp(row->table, call->table) == 0 &&
           strcmp(row->part, call->part) == 0 &&
           (!call->from || strcmp(row->key, call->from) >= 0) &&
           (!call->to || strcmp(row->key, call->to) < 0);
}

static void
execute_read(void *data)
{
    struct store_call *call = data;
    GPtrArray *rows = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    guint limit = call->limit ? call->limit : 500;
    bool more;

    g_hash_table_iter_init(&iter, call->world->store.rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (in_range(call, value))
            g_ptr_array_add(rows, value);
    }
    g_ptr_array_sort(rows, compare_rows);
    more = rows->len > limit;
    if (more)
        g_ptr_array_set_size(rows, (gint)limit);
    answer_rows(call, 0, rows, more);
    g_ptr_array_free(rows, TRUE);
}

static void
execute_follow(void *data)
{
    struct store_call *call = data;

    if (feed_is_ready(call) || call->after < call->world->store.kept_after ||
        call->world->now_us >= call->wait_until_us) {
        answer_feed(call);
        return;
    }
    call->waiting = true;
    g_ptr_array_add(call->world->store.waiters, call);
    fake_at(call->world, call->wait_until_us, wake_later, call->world);
}

static void
expire(void *data)
{
    struct store_call *call = data;

    answer_code(call, CS_E_UNKNOWN);
    if (call->waiting)
        g_ptr_array_remove(call->world->store.waiters, call);
}

static void
refuse(void *data)
{
    answer_code(data, CS_E_STORE);
}

static void
release(void *data)
{
    call_free(data);
}

static void
schedule(struct store_call *call, fake_event execute, bool writes)
{
    fake_fleet *world = call->world;
    const fake_vm_faults *faults = &call->via->faults;
    int64_t at_us =
        fake_charge(call->vm, world->call_us) + FAKE_HOP_US + EXECUTE_US;

    if (faults->store_refuses || !call->via->up) {
        fake_at(world, at_us, refuse, call);
    }
    else if (!faults->store_cut) {
        if (writes && fake_chance(world, faults->store_lost))
            fake_at(world, at_us, execute_lost, call);
        else if (writes && fake_chance(world, faults->store_late))
            fake_at(world,
                    world->now_us + g_rand_int_range(world->random,
                                                     LATE_MIN_US, LATE_MAX_US),
                    execute_lost, call);
        else
            fake_at(world, at_us, execute, call);
    }
    fake_at(world, call->deadline_us, expire, call);
    /* After every event that may still refer to the call. */
    fake_at(world, MAX(call->deadline_us, world->now_us) + 2 * LATE_MAX_US,
            release, call);
}

static void
abort_call(void *data)
{
    answer_code(data, CS_E_UNKNOWN);
}

static struct store_call *
call_new(struct fake_way *way, int64_t deadline_us, cs_store_done done,
         void *data)
{
    struct store_call *call = g_new0(struct store_call, 1);
    struct fake_vm *vm = way->vm;

    call->world = vm->world;
    call->vm = vm;
    call->via = way->via;
    call->deadline_us = deadline_us;
    call->done = done;
    call->data = data;
    fake_open_add(vm, call, abort_call);
    return call;
}

static GPtrArray *
copy_rows(const cs_row *rows, size_t count)
{
    GPtrArray *copy = g_ptr_array_new_with_free_func(row_free);
    size_t i;

    for (i = 0; i < count; i++)
        g_ptr_array_add(copy, row_new(rows[i].table, rows[i].part, rows[i].key,
                                      rows[i].value, rows[i].size_bytes,
                                      rows[i].version, false));
    return copy;
}

static void
port_change(void *self, const cs_row_change *change, int64_t deadline_us,
            cs_store_done done, void *data)
{
    struct store_call *call = call_new(self, deadline_us, done, data);

    call->change.conditions =
        copy_rows(change->conditions, change->condition_count);
    call->change.puts = copy_rows(change->puts, change->put_count);
    call->change.removals = copy_rows(change->removals, change->removal_count);
    call->world->calls++;
    schedule(call, execute_change, true);
}

static void
port_read(void *self, const cs_row_range *range, int64_t deadline_us,
          cs_store_done done, void *data)
{
    struct store_call *call = call_new(self, deadline_us, done, data);

    call->table = g_strdup(range->table);
    call->part = g_strdup(range->part);
    call->from = g_strdup(range->from);
    call->to = g_strdup(range->to);
    call->limit = range->limit;
    schedule(call, execute_read, false);
}

static void
port_follow(void *self, const char *table, uint64_t after, int64_t wait_ms,
            int64_t deadline_us, cs_store_done done, void *data)
{
    struct store_call *call = call_new(self, deadline_us, done, data);

    call->table = g_strdup(table);
    call->after = after;
    call->wait_until_us = call->world->now_us + wait_ms * CS_MS_US;
    schedule(call, execute_follow, false);
}

void
fake_store_port(struct fake_vm *vm)
{
    uint32_t i;

    for (i = 0; i < FAKE_VMS_MAX; i++) {
        struct fake_way *way = &vm->ways[i];

        way->vm = vm;
        way->via = &vm->world->vms[i];
        way->port.self = way;
        way->port.change = port_change;
        way->port.read = port_read;
        way->port.follow = port_follow;
    }
}
