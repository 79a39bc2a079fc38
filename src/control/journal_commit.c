/* Writing: one transaction at a time for each scope. */
#include "journal_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <inttypes.h>
#include <string.h>

static void
tell(struct pending *pending, int code, uint64_t version)
{
    cs_journal_done done = pending->done;

    pending->done = NULL;
    if (done)
        done(pending->data, code, version);
}

static void
pending_destroy(struct pending *pending)
{
    cs_change_destroy(pending->change);
    g_free(pending);
}

static void
finish(struct pending *pending, int code, uint64_t version)
{
    tell(pending, code, version);
    pending_destroy(pending);
}

void
journal_commit_clear(struct journal_scope *scope)
{
    struct pending *pending;
    guint i;

    while ((pending = g_queue_pop_head(&scope->queue)) != NULL)
        finish(pending, CS_E_UNKNOWN, 0);
    for (i = 0; i < scope->batch->len; i++)
        finish(g_ptr_array_index(scope->batch, i), CS_E_UNKNOWN, 0);
    g_ptr_array_free(scope->batch, TRUE);
    json_decref(scope->txn);
}

/* Puts the batch back at the head of the queue, in order. */
static void
requeue(struct journal_scope *scope)
{
    guint i;

    for (i = scope->batch->len; i > 0; i--)
        g_queue_push_head(&scope->queue,
                          g_ptr_array_index(scope->batch, i - 1));
    g_ptr_array_set_size(scope->batch, 0);
}

static void
end_batch(struct journal_scope *scope)
{
    json_decref(scope->txn);
    scope->txn = NULL;
    scope->batch_seen = false;
    scope->maybe_applied = false;
    scope->state = COMMIT_IDLE;
}

static void
wait_backoff(struct journal_scope *scope)
{
    scope->retry_at_us = journal_now_us(scope->journal) + scope->backoff_us;
    scope->backoff_us = MIN(scope->backoff_us * 2, BACKOFF_MAX_US);
}

static int
check_match(const cs_record *record, const struct pending *pending)
{
    const cs_change *change = pending->change;

    if (!record && (change->op != CS_OP_PUT || pending->match > 0))
        return cs_error_set(CS_E_NOT_FOUND, "%s/%s does not exist",
                            cs_kind_name(change->kind), change->name);
    if (pending->match == CS_MATCH_ANY)
        return 0;
    if (record && pending->match == 0)
        return cs_error_set(CS_E_EXISTS, "%s/%s exists already",
                            cs_kind_name(change->kind), change->name);
    if (record && record->version != (uint64_t)pending->match)
        return cs_error_set(CS_E_CONFLICT,
                            "%s/%s has version %" PRIu64 ", not %" PRId64,
                            cs_kind_name(change->kind), change->name,
                            record->version, pending->match);
    return 0;
}

static int
check_pending(struct journal_scope *scope, const struct pending *pending)
{
    cs_journal *journal = scope->journal;
    const cs_change *change = pending->change;
    const cs_record *record =
        cs_board_find(journal->board, change->kind, change->name);
    int rc;

    /* What an ended tenure left behind is never written in a later one. */
    if (pending->fence != scope->fence_version)
        return cs_error_set(CS_E_FENCED, "the tenure has ended");
    rc = check_match(record, pending);
    if (rc)
        return rc;
    if (record && strcmp(record->scope, scope->name) != 0)
        return cs_error_set(CS_E_EXISTS, "%s/%s exists in %s",
                            cs_kind_name(change->kind), change->name,
                            record->scope);
    if (journal->check && change->op != CS_OP_STATUS)
        rc = journal->check(journal->board, change);
    return rc;
}

static bool
batch_touches(const struct journal_scope *scope, const cs_change *change)
{
    guint i;

    for (i = 0; i < scope->batch->len; i++) {
        const struct pending *other = g_ptr_array_index(scope->batch, i);

        if (other->change->kind == change->kind &&
            strcmp(other->change->name, change->name) == 0)
            return true;
    }
    return false;
}

/*
 * Configuration changes are judged one by one against the board, so two that
 * were each admissible cannot overcommit in one transaction.
 */
static guint
batch_limit(const struct journal_scope *scope)
{
    return strcmp(scope->name, CS_SCOPE_CONFIG) == 0 &&
                   scope->queue.length < CS_JOURNAL_BATCH
               ? 1
               : CS_JOURNAL_BATCH;
}

static void
fill_batch(struct journal_scope *scope)
{
    struct pending *pending;
    guint limit = batch_limit(scope);

    while (scope->batch->len < limit &&
           (pending = g_queue_peek_head(&scope->queue)) != NULL) {
        int rc;

        if (batch_touches(scope, pending->change))
            return;
        if (scope->batch->len > 0 &&
            pending->change->kind == CS_KIND_ORGANISATION)
            return;
        g_queue_pop_head(&scope->queue);
        rc = check_pending(scope, pending);
        if (rc) {
            finish(pending, rc, 0);
            continue;
        }
        g_ptr_array_add(scope->batch, pending);
        if (pending->change->kind == CS_KIND_ORGANISATION)
            return;
    }
}

static json_t *
build_row(struct journal_scope *scope, const cs_change *change)
{
    const cs_record *record =
        cs_board_find(scope->journal->board, change->kind, change->name);
    json_t *row = record ? cs_record_write(record) : json_object();
    bool status = change->op == CS_OP_STATUS;

    json_object_set(row, status ? "status" : "doc", change->value);
    json_object_set_new(row, status ? "status_version" : "version",
                        json_integer((json_int_t)change->version));
    return row;
}

static void
add_change(struct journal_scope *scope, json_t *txn, const cs_change *change)
{
    char key[CS_STORE_KEY_BYTES];
    bool is_new =
        !cs_board_find(scope->journal->board, change->kind, change->name);

    cs_store_key_change(key, scope->name, change->version);
    /* Versions have no gaps, so the first one stands for the batch. */
    if (change->version == scope->base + 1)
        cs_store_txn_check(txn, key, 0);
    cs_store_txn_put(txn, key, cs_change_write(change));
    cs_store_key_resource(key, scope->name, cs_kind_name(change->kind),
                          change->name);
    if (change->op == CS_OP_DELETE)
        cs_store_txn_delete(txn, key);
    else
        cs_store_txn_put(txn, key, build_row(scope, change));
    if (change->kind != CS_KIND_JOB || change->op == CS_OP_STATUS)
        return;
    /* A job's name is taken once, in whatever zone it is declared. */
    cs_store_key_job_name(key, change->name);
    if (change->op == CS_OP_DELETE) {
        cs_store_txn_delete(txn, key);
    }
    else if (is_new) {
        cs_store_txn_check(txn, key, 0);
        cs_store_txn_put(txn, key, json_pack("{s:s}", "zone", scope->name));
    }
}

static void
build_txn(struct journal_scope *scope)
{
    cs_journal *journal = scope->journal;
    char key[CS_STORE_KEY_BYTES];
    uint64_t last;
    guint i;

    scope->base = cs_board_version(journal->board, scope->name);
    g_snprintf(scope->txn_id, sizeof(scope->txn_id), "%s.%" PRIu64,
               journal->incarnation, ++journal->next_txn);
    scope->txn = cs_store_txn(scope->txn_id);
    for (i = 0; i < scope->batch->len; i++) {
        struct pending *pending = g_ptr_array_index(scope->batch, i);
        cs_change *change = pending->change;

        change->version = scope->base + i + 1;
        change->at_us = cs_outbox_now(journal->outbox).wall_us;
        g_strlcpy(change->txn, scope->txn_id, sizeof(change->txn));
        g_strlcpy(change->writer, journal->writer, sizeof(change->writer));
        add_change(scope, scope->txn, change);
    }
    last = scope->base + scope->batch->len;
    cs_store_key_counter(key, scope->name);
    cs_store_txn_put(scope->txn, key,
                     json_pack("{s:I}", "version", (json_int_t)last));
    if (scope->fence_version)
        cs_store_txn_check(scope->txn, scope->fence_key, scope->fence_version);
}

/* Applies and tells the whole batch. */
static void
succeed(struct journal_scope *scope)
{
    cs_journal *journal = scope->journal;
    GPtrArray *batch = scope->batch;
    guint i;

    (*journal->commits)++;
    *journal->rows_written +=
        (int64_t)json_array_size(json_object_get(scope->txn, "puts"));
    scope->batch = g_ptr_array_new();
    scope->backoff_us = BACKOFF_MIN_US;
    end_batch(scope);
    for (i = 0; i < batch->len; i++) {
        struct pending *pending = g_ptr_array_index(batch, i);

        if (cs_board_apply(journal->board, pending->change))
            scope->poll_now = true;
        finish(pending, 0, pending->change->version);
    }
    g_ptr_array_free(batch, TRUE);
}

static void
fail_all(struct journal_scope *scope, int code)
{
    requeue(scope);
    end_batch(scope);
    while (!g_queue_is_empty(&scope->queue))
        finish(g_queue_pop_head(&scope->queue), code, 0);
}

/* A name that is taken in some zone fails its own change only. */
static void
drop_taken_names(struct journal_scope *scope, const json_t *reply)
{
    char key[CS_STORE_KEY_BYTES];
    guint i = 0;

    while (i < scope->batch->len) {
        struct pending *pending = g_ptr_array_index(scope->batch, i);

        cs_store_key_job_name(key, pending->change->name);
        if (pending->change->kind != CS_KIND_JOB ||
            !cs_store_reply_conflicts(reply, key)) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(scope->batch, i);
        cs_error_set(CS_E_EXISTS, "a job named %s exists already",
                     pending->change->name);
        finish(pending, CS_E_EXISTS, 0);
    }
}

static void
on_conflict(struct journal_scope *scope, const json_t *reply)
{
    char key[CS_STORE_KEY_BYTES];

    (*scope->journal->conflicts)++;
    /* A conflict on our own change row may be our lost write. */
    cs_store_key_change(key, scope->name, scope->base + 1);
    if (cs_store_reply_conflicts(reply, key)) {
        scope->maybe_applied = true;
        scope->state = COMMIT_SETTLING;
        scope->poll_now = true;
        return;
    }
    if (scope->fence_version &&
        cs_store_reply_conflicts(reply, scope->fence_key)) {
        cs_error_set(CS_E_FENCED, "another process holds %s", scope->name);
        fail_all(scope, CS_E_FENCED);
        return;
    }
    drop_taken_names(scope, reply);
    requeue(scope);
    end_batch(scope);
}

static void
on_written(void *data, int code, const json_t *reply)
{
    struct journal_scope *scope = data;

    switch (code) {
    case 0:
        succeed(scope);
        return;
    case CS_E_CONFLICT:
        on_conflict(scope, reply);
        return;
    case CS_E_STORE:
    case CS_E_CONNECT:
        (*scope->journal->refused)++;
        /* An earlier send of this transaction may have taken effect. */
        scope->state = COMMIT_SETTLING;
        break;
    default:
        (*scope->journal->ambiguous)++;
        scope->maybe_applied = true;
        scope->state = COMMIT_SETTLING;
        break;
    }
    wait_backoff(scope);
}

static void
send_txn(struct journal_scope *scope)
{
    cs_journal *journal = scope->journal;

    scope->state = COMMIT_WRITING;
    cs_outbox_push(journal->outbox, CS_CALL_STORE_TXN, NULL, CS_STORE_TXN_PATH,
                   json_incref(scope->txn),
                   journal_now_us(journal) + CALL_TIMEOUT_US, on_written,
                   scope);
}

void
journal_commit_saw(struct journal_scope *scope, const cs_change *change)
{
    if (scope->state != COMMIT_IDLE && strcmp(change->txn, scope->txn_id) == 0)
        scope->batch_seen = true;
}

void
journal_commit_settle(struct journal_scope *scope)
{
    uint64_t version;

    if (scope->state != COMMIT_SETTLING)
        return;
    if (scope->batch_seen) {
        succeed(scope);
        return;
    }
    version = cs_board_version(scope->journal->board, scope->name);
    if (version > scope->base) {
        /* Another writer took the version; ours can never apply now. */
        requeue(scope);
        end_batch(scope);
        return;
    }
    if (journal_now_us(scope->journal) >= scope->retry_at_us)
        send_txn(scope);
}

static bool
is_late(const struct journal_scope *scope)
{
    int64_t now_us = journal_now_us(scope->journal);
    guint i;

    for (i = 0; i < scope->batch->len; i++) {
        const struct pending *pending = g_ptr_array_index(scope->batch, i);

        if (pending->deadline_us <= now_us)
            return true;
    }
    return false;
}

/*
 * A transaction that every send of was refused is surely not applied. It is
 * given up when a change in it is late, so that this one can be told as not
 * made and is not made later.
 */
static void
give_up_refused(struct journal_scope *scope)
{
    if (scope->state != COMMIT_SETTLING || scope->maybe_applied ||
        scope->batch_seen || !is_late(scope))
        return;
    requeue(scope);
    end_batch(scope);
}

static int
late_code(const struct journal_scope *scope, bool in_batch)
{
    if (in_batch && scope->state != COMMIT_IDLE)
        return cs_error_set(CS_E_UNKNOWN, "the store has not answered");
    return cs_error_set(CS_E_STORE, "the store is out of reach");
}

/* Tells callers whose deadline has passed; a batch goes on settling. */
static void
expire(struct journal_scope *scope)
{
    int64_t now_us = journal_now_us(scope->journal);
    GList *link = scope->queue.head;
    guint i;

    give_up_refused(scope);
    for (i = 0; i < scope->batch->len; i++) {
        struct pending *pending = g_ptr_array_index(scope->batch, i);

        if (pending->done && pending->deadline_us <= now_us)
            tell(pending, late_code(scope, true), 0);
    }
    while (link) {
        struct pending *pending = link->data;
        GList *next = link->next;

        if (pending->deadline_us <= now_us) {
            g_queue_delete_link(&scope->queue, link);
            finish(pending, late_code(scope, false), 0);
        }
        link = next;
    }
}

void
journal_commit_tick(struct journal_scope *scope)
{
    int64_t now_us = journal_now_us(scope->journal);

    expire(scope);
    switch (scope->state) {
    case COMMIT_WRITING:
        return;
    case COMMIT_SETTLING:
        if (now_us >= scope->retry_at_us && !scope->reading)
            scope->poll_now = true;
        return;
    case COMMIT_IDLE:
        break;
    }
    if (!scope->loaded || now_us < scope->retry_at_us ||
        g_queue_is_empty(&scope->queue))
        return;
    fill_batch(scope);
    if (scope->batch->len == 0)
        return;
    build_txn(scope);
    send_txn(scope);
}
