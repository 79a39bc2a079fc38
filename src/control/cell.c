#include "corianderstair/cell.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/store.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define CALL_TIMEOUT_US CS_SEC_US

typedef enum { CELL_WATCHING, CELL_TAKING, CELL_HELD } cell_state;

struct cs_cell {
    cs_outbox *outbox;
    char zone[64];
    char name[64];
    char incarnation[32];
    int64_t lease_us;
    cell_state state;
    bool busy; /* a call is open */
    bool releasing;
    bool released;
    bool answers;
    char holder[64];
    int64_t epoch;
    uint64_t cell_version;
    uint64_t lease_version;
    int64_t seen_us;     /* when this lease version was first seen */
    int64_t next_us;     /* next read or renewal */
    int64_t sent_us;     /* when the open take or renewal was sent */
    int64_t take_us;     /* when an unsettled take was sent; 0 none */
    int64_t deadline_us; /* of the hold */
    uint64_t renewals;
    int64_t *takeovers;
    int64_t *losses;
    int64_t *renewed;
};

cs_cell *
cs_cell_create(cs_outbox *outbox, cs_counters *counters, const char *zone,
               const char *holder, const char *incarnation, int64_t lease_us)
{
    cs_cell *cell = g_new0(cs_cell, 1);

    cell->outbox = outbox;
    cell->lease_us = lease_us;
    g_strlcpy(cell->zone, zone, sizeof(cell->zone));
    g_strlcpy(cell->name, holder, sizeof(cell->name));
    g_strlcpy(cell->incarnation, incarnation, sizeof(cell->incarnation));
    cell->takeovers = cs_counters_get(counters, "cs_cell_takeovers_total");
    cell->losses = cs_counters_get(counters, "cs_cell_losses_total");
    cell->renewed = cs_counters_get(counters, "cs_cell_renewals_total");
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

static void
lose(cs_cell *cell, const char *why)
{
    if (cell->state != CELL_HELD)
        return;
    cell->state = CELL_WATCHING;
    cell->seen_us = now_us(cell);
    cell->next_us = now_us(cell);
    (*cell->losses)++;
    cs_log_event("cell-lost", "%s epoch %" PRId64 ": %s", cell->zone,
                 cell->epoch, why);
}

static json_t *
lease_value(const cs_cell *cell, int64_t epoch, bool released)
{
    return json_pack("{s:s,s:I,s:I,s:b}", "holder", cell->name, "epoch",
                     (json_int_t)epoch, "renewal", (json_int_t)cell->renewals,
                     "released", released);
}

static void
push_txn(cs_cell *cell, json_t *txn, cs_call_done done)
{
    cell->busy = true;
    cell->sent_us = now_us(cell);
    cs_outbox_push(cell->outbox, CS_CALL_STORE_TXN, NULL, CS_STORE_TXN_PATH,
                   txn, now_us(cell) + CALL_TIMEOUT_US, done, cell);
}

static void
hold(cs_cell *cell, int64_t epoch, uint64_t version)
{
    cell->state = CELL_HELD;
    cell->epoch = epoch;
    cell->cell_version = version;
    cell->deadline_us = cell->take_us + cell->lease_us;
    cell->next_us = cell->take_us + cell->lease_us / CS_CELL_RENEWALS;
    cell->take_us = 0;
    g_strlcpy(cell->holder, cell->name, sizeof(cell->holder));
    (*cell->takeovers)++;
    cs_log_event("cell-taken", "%s epoch %" PRId64, cell->zone, epoch);
}

static void
on_taken(void *data, int code, const json_t *reply)
{
    cs_cell *cell = data;

    cell->busy = false;
    cell->answers = code == 0 || code == CS_E_CONFLICT;
    if (code == 0) {
        hold(cell, cell->epoch + 1, cs_store_reply_version(reply));
        return;
    }
    /* A lost answer is settled by the next read, which may show our name. */
    cell->state = CELL_WATCHING;
    cell->next_us = now_us(cell);
}

static void
take(cs_cell *cell)
{
    char key[CS_STORE_KEY_BYTES];
    json_t *txn = cs_store_txn(cell->incarnation);
    int64_t epoch = cell->epoch + 1;

    cs_store_key_cell(key, cell->zone);
    cs_store_txn_check(txn, key, cell->cell_version);
    cs_store_txn_put(txn, key,
                     json_pack("{s:s,s:I,s:s}", "holder", cell->name, "epoch",
                               (json_int_t)epoch, "incarnation",
                               cell->incarnation));
    cs_store_key_lease(key, cell->zone);
    cs_store_txn_check(txn, key, cell->lease_version);
    cs_store_txn_put(txn, key, lease_value(cell, epoch, false));
    cell->state = CELL_TAKING;
    cell->take_us = now_us(cell);
    push_txn(cell, txn, on_taken);
}

static void
on_renewed(void *data, int code, const json_t *reply)
{
    cs_cell *cell = data;

    cell->busy = false;
    cell->answers = code == 0;
    if (cell->state != CELL_HELD)
        return;
    if (code == CS_E_CONFLICT) {
        lose(cell, "another process took it");
        return;
    }
    if (code) {
        cell->next_us = now_us(cell) + cell->lease_us / (4 * CS_CELL_RENEWALS);
        return;
    }
    (*cell->renewed)++;
    if (cell->releasing) {
        cell->released = true;
        lose(cell, "released");
        return;
    }
    cell->deadline_us = cell->sent_us + cell->lease_us;
    cell->next_us = cell->sent_us + cell->lease_us / CS_CELL_RENEWALS;
}

static void
renew(cs_cell *cell)
{
    char key[CS_STORE_KEY_BYTES];
    json_t *txn = cs_store_txn(cell->incarnation);

    cell->renewals++;
    cs_store_key_cell(key, cell->zone);
    cs_store_txn_check(txn, key, cell->cell_version);
    cs_store_key_lease(key, cell->zone);
    cs_store_txn_put(txn, key,
                     lease_value(cell, cell->epoch, cell->releasing));
    push_txn(cell, txn, on_renewed);
}

static void
saw_lease(cs_cell *cell, const json_t *row)
{
    uint64_t version =
        (uint64_t)json_integer_value(json_object_get(row, "version"));

    if (version == cell->lease_version && cell->seen_us)
        return;
    cell->lease_version = version;
    cell->seen_us = now_us(cell);
}

static bool
is_ours(const cs_cell *cell, const json_t *value)
{
    const char *incarnation =
        json_string_value(json_object_get(value, "incarnation"));

    return g_strcmp0(incarnation, cell->incarnation) == 0;
}

static bool
may_take(const cs_cell *cell, const json_t *lease_value_row)
{
    if (cell->releasing)
        return false;
    if (cell->lease_version == 0 ||
        json_is_true(json_object_get(lease_value_row, "released")))
        return true;
    return now_us(cell) - cell->seen_us > cell->lease_us;
}

static void
on_read(void *data, int code, const json_t *reply)
{
    cs_cell *cell = data;
    const json_t *row = json_array_get(cs_store_reply_rows(reply, 0), 0);
    const json_t *lease = json_array_get(cs_store_reply_rows(reply, 1), 0);
    const json_t *value = json_object_get(row, "value");
    const char *holder = json_string_value(json_object_get(value, "holder"));

    cell->busy = false;
    cell->answers = code == 0;
    if (code || cell->state != CELL_WATCHING)
        return;
    cell->cell_version =
        (uint64_t)json_integer_value(json_object_get(row, "version"));
    cell->epoch =
        MAX(cell->epoch, json_integer_value(json_object_get(value, "epoch")));
    g_strlcpy(cell->holder, holder ? holder : "", sizeof(cell->holder));
    saw_lease(cell, lease);
    /* Our own take whose answer was lost; it counts from its sending. */
    if (is_ours(cell, value) && cell->take_us &&
        now_us(cell) < cell->take_us + cell->lease_us) {
        hold(cell, cell->epoch, cell->cell_version);
        return;
    }
    if (may_take(cell, json_object_get(lease, "value")))
        take(cell);
}

static void
read_rows(cs_cell *cell)
{
    char key[CS_STORE_KEY_BYTES];
    json_t *read = cs_store_read();

    cs_store_key_cell(key, cell->zone);
    cs_store_read_key(read, key);
    cs_store_key_lease(key, cell->zone);
    cs_store_read_key(read, key);
    cell->busy = true;
    cell->next_us = now_us(cell) + cell->lease_us / CS_CELL_RENEWALS;
    cs_outbox_push(cell->outbox, CS_CALL_STORE_READ, NULL, CS_STORE_READ_PATH,
                   read, now_us(cell) + CALL_TIMEOUT_US, on_read, cell);
}

void
cs_cell_tick(cs_cell *cell)
{
    if (cell->state == CELL_HELD && now_us(cell) >= cell->deadline_us)
        lose(cell, "its lease ended before a renewal");
    if (cell->busy || now_us(cell) < cell->next_us)
        return;
    switch (cell->state) {
    case CELL_HELD:
        renew(cell);
        break;
    case CELL_WATCHING:
        read_rows(cell);
        break;
    case CELL_TAKING:
        break;
    }
}

void
cs_cell_release(cs_cell *cell)
{
    cell->releasing = true;
    cell->next_us = now_us(cell);
    if (cell->state != CELL_HELD)
        cell->released = true;
}

bool
cs_cell_is_held(const cs_cell *cell, int64_t now)
{
    return cell->state == CELL_HELD && now < cell->deadline_us;
}

int64_t
cs_cell_epoch(const cs_cell *cell)
{
    return cell->epoch;
}

int64_t
cs_cell_deadline_us(const cs_cell *cell)
{
    return cell->deadline_us;
}

uint64_t
cs_cell_fence(const cs_cell *cell)
{
    return cell->state == CELL_HELD ? cell->cell_version : 0;
}

void
cs_cell_fenced(cs_cell *cell, int64_t epoch)
{
    if (epoch <= cell->epoch)
        return;
    cell->epoch = epoch;
    lose(cell, "a worker has seen a higher epoch");
}

const char *
cs_cell_holder(const cs_cell *cell)
{
    return cell->holder;
}

bool
cs_cell_store_answers(const cs_cell *cell)
{
    return cell->answers;
}

int64_t
cs_cell_lease_us(const cs_cell *cell)
{
    return cell->lease_us;
}
