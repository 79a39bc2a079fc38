#include "corianderstair/cell.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/store.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define STORE_CALL_TIMEOUT_US CS_SEC_US

typedef enum {
    CELL_WATCHING,  /* reads the rows to see whether the lease is renewed */
    CELL_ACQUIRING, /* the write that acquires the cell is in flight */
    CELL_HELD
} cell_state;

struct cs_cell {
    cs_outbox *outbox;
    char zone[64];
    char own_name[64];
    char incarnation[32];
    int64_t lease_us;
    cell_state state;
    bool call_open; /* a call to the store is in flight */
    bool releasing;
    bool released;
    bool store_answers;
    char holder[64];
    int64_t epoch; /* held, or the highest seen */
    uint64_t cell_version;
    uint64_t lease_version;
    int64_t lease_changed_us; /* when lease_version was first seen */
    int64_t next_call_us;     /* next read or renewal */
    int64_t txn_sent_us;      /* when the open transaction was sent */
    int64_t acquire_sent_us;  /* of an unsettled acquisition; 0 none */
    int64_t lease_end_us;     /* of the lease held */
    uint64_t renewal_number;  /* written to the lease row */
    int64_t *takeovers_total;
    int64_t *losses_total;
    int64_t *renewals_total;
};

cs_cell *
cs_cell_create(cs_outbox *outbox, cs_counters *counters, const char *zone,
               const char *holder, const char *incarnation, int64_t lease_us)
{
    cs_cell *cell = g_new0(cs_cell, 1);

    cell->outbox = outbox;
    cell->lease_us = lease_us;
    g_strlcpy(cell->zone, zone, sizeof(cell->zone));
    g_strlcpy(cell->own_name, holder, sizeof(cell->own_name));
    g_strlcpy(cell->incarnation, incarnation, sizeof(cell->incarnation));
    cell->takeovers_total =
        cs_counters_get(counters, "cs_cell_takeovers_total");
    cell->losses_total = cs_counters_get(counters, "cs_cell_losses_total");
    cell->renewals_total = cs_counters_get(counters, "cs_cell_renewals_total");
    return cell;
}

void
cs_cell_destroy(cs_cell *cell)
{
    g_free(cell);
}

static int64_t
now_us(const cs_cell *cell)
{
    return cs_outbox_now(cell->outbox).boot_us;
}

/* Returns to watching if the cell was held. */
static void
lose_cell(cs_cell *cell, const char *reason)
{
    if (cell->state != CELL_HELD)
        return;
    cell->state = CELL_WATCHING;
    cell->lease_changed_us = now_us(cell);
    cell->next_call_us = now_us(cell);
    (*cell->losses_total)++;
    cs_log_event("cell-lost", "%s epoch %" PRId64 ": %s", cell->zone,
                 cell->epoch, reason);
}

static json_t *
lease_value(const cs_cell *cell, int64_t epoch, bool released)
{
    return json_pack("{s:s,s:I,s:I,s:b}", "holder", cell->own_name, "epoch",
                     (json_int_t)epoch, "renewal",
                     (json_int_t)cell->renewal_number, "released", released);
}

static void
push_txn(cs_cell *cell, json_t *txn, cs_call_done done)
{
    cell->call_open = true;
    cell->txn_sent_us = now_us(cell);
    cs_outbox_push(cell->outbox, CS_CALL_STORE_TXN, NULL, CS_STORE_TXN_PATH,
                   txn, now_us(cell) + STORE_CALL_TIMEOUT_US, done, cell);
}

static void
become_holder(cs_cell *cell, int64_t epoch, uint64_t version)
{
    cell->state = CELL_HELD;
    cell->epoch = epoch;
    cell->cell_version = version;
    cell->lease_end_us = cell->acquire_sent_us + cell->lease_us;
    cell->next_call_us =
        cell->acquire_sent_us + cell->lease_us / CS_CELL_RENEWALS_PER_LEASE;
    cell->acquire_sent_us = 0;
    g_strlcpy(cell->holder, cell->own_name, sizeof(cell->holder));
    (*cell->takeovers_total)++;
    cs_log_event("cell-taken", "%s epoch %" PRId64, cell->zone, epoch);
}

static void
on_acquired(void *user_data, int code, const json_t *reply)
{
    cs_cell *cell = user_data;

    cell->call_open = false;
    cell->store_answers = code == 0 || code == CS_E_CONFLICT;
    if (code == 0) {
        become_holder(cell, cell->epoch + 1, cs_store_reply_version(reply));
        return;
    }
    /*
     * If only the answer was lost, the next read shows this incarnation as
     * the holder.
     */
    cell->state = CELL_WATCHING;
    cell->next_call_us = now_us(cell);
}

static void
acquire(cs_cell *cell)
{
    char key[CS_STORE_KEY_BYTES];
    json_t *txn = cs_store_txn_create(cell->incarnation);
    int64_t epoch = cell->epoch + 1;

    cs_store_key_cell(key, cell->zone);
    cs_store_txn_add_check(txn, key, cell->cell_version);
    cs_store_txn_add_put(txn, key,
                         json_pack("{s:s,s:I,s:s}", "holder", cell->own_name,
                                   "epoch", (json_int_t)epoch, "incarnation",
                                   cell->incarnation));
    cs_store_key_lease(key, cell->zone);
    cs_store_txn_add_check(txn, key, cell->lease_version);
    cs_store_txn_add_put(txn, key, lease_value(cell, epoch, false));
    cell->state = CELL_ACQUIRING;
    cell->acquire_sent_us = now_us(cell);
    push_txn(cell, txn, on_acquired);
}

static void
on_renewed(void *user_data, int code, const json_t *reply)
{
    cs_cell *cell = user_data;

    cell->call_open = false;
    cell->store_answers = code == 0;
    if (cell->state != CELL_HELD)
        return;
    if (code == CS_E_CONFLICT) {
        lose_cell(cell, "another process acquired the cell");
        return;
    }
    if (code) {
        cell->next_call_us =
            now_us(cell) + cell->lease_us / (4 * CS_CELL_RENEWALS_PER_LEASE);
        return;
    }
    (*cell->renewals_total)++;
    if (cell->releasing) {
        cell->released = true;
        lose_cell(cell, "released");
        return;
    }
    cell->lease_end_us = cell->txn_sent_us + cell->lease_us;
    cell->next_call_us =
        cell->txn_sent_us + cell->lease_us / CS_CELL_RENEWALS_PER_LEASE;
}

static void
renew(cs_cell *cell)
{
    char key[CS_STORE_KEY_BYTES];
    json_t *txn = cs_store_txn_create(cell->incarnation);

    cell->renewal_number++;
    cs_store_key_cell(key, cell->zone);
    cs_store_txn_add_check(txn, key, cell->cell_version);
    cs_store_key_lease(key, cell->zone);
    cs_store_txn_add_put(txn, key,
                         lease_value(cell, cell->epoch, cell->releasing));
    push_txn(cell, txn, on_renewed);
}

static void
update_lease(cs_cell *cell, const json_t *row)
{
    uint64_t version =
        (uint64_t)json_integer_value(json_object_get(row, "version"));

    if (version == cell->lease_version && cell->lease_changed_us)
        return;
    cell->lease_version = version;
    cell->lease_changed_us = now_us(cell);
}

static bool
is_own_incarnation(const cs_cell *cell, const json_t *value)
{
    const char *incarnation =
        json_string_value(json_object_get(value, "incarnation"));

    return g_strcmp0(incarnation, cell->incarnation) == 0;
}

/*
 * Returns whether the lease is absent, released, or has not been renewed for a
 * whole lease on the local clock.
 */
static bool
may_acquire(const cs_cell *cell, const json_t *lease)
{
    if (cell->releasing)
        return false;
    if (cell->lease_version == 0 ||
        json_is_true(json_object_get(lease, "released")))
        return true;
    return now_us(cell) - cell->lease_changed_us > cell->lease_us;
}

static void
on_read(void *user_data, int code, const json_t *reply)
{
    cs_cell *cell = user_data;
    const json_t *row = json_array_get(cs_store_reply_rows(reply, 0), 0);
    const json_t *lease = json_array_get(cs_store_reply_rows(reply, 1), 0);
    const json_t *value = json_object_get(row, "value");
    const char *holder = json_string_value(json_object_get(value, "holder"));

    cell->call_open = false;
    cell->store_answers = code == 0;
    if (code || cell->state != CELL_WATCHING)
        return;
    cell->cell_version =
        (uint64_t)json_integer_value(json_object_get(row, "version"));
    cell->epoch =
        MAX(cell->epoch, json_integer_value(json_object_get(value, "epoch")));
    g_strlcpy(cell->holder, holder ? holder : "", sizeof(cell->holder));
    update_lease(cell, lease);
    /*
     * An earlier acquisition succeeded and its answer was lost. The lease
     * counts from the time at which the acquisition was sent.
     */
    if (is_own_incarnation(cell, value) && cell->acquire_sent_us &&
        now_us(cell) < cell->acquire_sent_us + cell->lease_us) {
        become_holder(cell, cell->epoch, cell->cell_version);
        return;
    }
    if (may_acquire(cell, json_object_get(lease, "value")))
        acquire(cell);
}

static void
read_rows(cs_cell *cell)
{
    char key[CS_STORE_KEY_BYTES];
    json_t *read = cs_store_read_create();

    cs_store_key_cell(key, cell->zone);
    cs_store_read_add_key(read, key);
    cs_store_key_lease(key, cell->zone);
    cs_store_read_add_key(read, key);
    cell->call_open = true;
    cell->next_call_us =
        now_us(cell) + cell->lease_us / CS_CELL_RENEWALS_PER_LEASE;
    cs_outbox_push(cell->outbox, CS_CALL_STORE_READ, NULL, CS_STORE_READ_PATH,
                   read, now_us(cell) + STORE_CALL_TIMEOUT_US, on_read, cell);
}

void
cs_cell_tick(cs_cell *cell)
{
    if (cell->state == CELL_HELD && now_us(cell) >= cell->lease_end_us)
        lose_cell(cell, "the lease expired before a renewal succeeded");
    if (cell->call_open || now_us(cell) < cell->next_call_us)
        return;
    switch (cell->state) {
    case CELL_HELD:
        renew(cell);
        break;
    case CELL_WATCHING:
        read_rows(cell);
        break;
    case CELL_ACQUIRING:
        break;
    }
}

void
cs_cell_release(cs_cell *cell)
{
    cell->releasing = true;
    cell->next_call_us = now_us(cell);
    if (cell->state != CELL_HELD)
        cell->released = true;
}

bool
cs_cell_is_held(const cs_cell *cell, int64_t at_us)
{
    return cell->state == CELL_HELD && at_us < cell->lease_end_us;
}

int64_t
cs_cell_epoch(const cs_cell *cell)
{
    return cell->epoch;
}

int64_t
cs_cell_lease_end_us(const cs_cell *cell)
{
    return cell->lease_end_us;
}

uint64_t
cs_cell_fence_version(const cs_cell *cell)
{
    return cell->state == CELL_HELD ? cell->cell_version : 0;
}

void
cs_cell_report_epoch(cs_cell *cell, int64_t epoch)
{
    if (epoch <= cell->epoch)
        return;
    cell->epoch = epoch;
    lose_cell(cell, "a higher epoch was seen");
}

const char *
cs_cell_holder(const cs_cell *cell)
{
    return cell->holder;
}

bool
cs_cell_store_answers(const cs_cell *cell)
{
    return cell->store_answers;
}

int64_t
cs_cell_lease_us(const cs_cell *cell)
{
    return cell->lease_us;
}
