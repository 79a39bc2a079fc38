/* Commits changes, with one transaction at a time per scope. */
#include "journal_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <inttypes.h>
#include <string.h>

static void
notify(struct pending_change *pending, int code, uint64_t version)
{
    cs_journal_done done = pending->done;

    pending->done = NULL;
    if (done)
        done(pending->user_data, code, version);
}

static void
pending_destroy(struct pending_change *pending)
{
    cs_change_destroy(pending->change);
    g_free(pending);
}

static void
notify_and_free(struct pending_change *pending, int code, uint64_t version)
{
    notify(pending, code, version);
    pending_destroy(pending);
}

void
journal_commit_clear(struct journal_scope *scope)
{
    struct pending_change *pending;
    guint i;

    while ((pending = g_queue_pop_head(&scope->queue)) != NULL)
        notify_and_free(pending, CS_E_OUTCOME_UNKNOWN, 0);
    for (i = 0; i < scope->batch->len; i++)
        notify_and_free(g_ptr_array_index(scope->batch, i),
                        CS_E_OUTCOME_UNKNOWN, 0);
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
    scope->batch_confirmed = false;
    scope->maybe_applied = false;
    scope->state = COMMIT_IDLE;
}

static void
back_off(struct journal_scope *scope)
{
    scope->retry_at_us = journal_now_us(scope->journal) + scope->backoff_us;
    scope->backoff_us = MIN(scope->backoff_us * 2, BACKOFF_MAX_US);
}

static int
check_match(const cs_resource_row *row, const struct pending_change *pending)
{
    const cs_change *change = pending->change;

    if (!row && (change->op != CS_OP_PUT || pending->match > 0))
        return cs_error_set(CS_E_NOT_FOUND, "%s/%s does not exist",
                            cs_kind_name(change->kind), change->name);
    if (pending->match == CS_MATCH_ANY)
        return 0;
    if (row && pending->match == 0)
        return cs_error_set(CS_E_EXISTS, "%s/%s exists already",
                            cs_kind_name(change->kind), change->name);
    if (row && row->version != (uint64_t)pending->match)
        return cs_error_set(CS_E_CONFLICT,
                            "%s/%s has version %" PRIu64 ", not %" PRId64,
                            cs_kind_name(change->kind), change->name,
                            row->version, pending->match);
    return 0;
}

static int
check_pending(struct journal_scope *scope,
              const struct pending_change *pending)
{
    cs_journal *journal = scope->journal;
    const cs_change *change = pending->change;
    const cs_resource_row *row =
        cs_store_view_find(journal->store_view, change->kind, change->name);
    int rc;

    /* A change submitted in an ended tenure is not written in a later one. */
    if (pending->fence_version != scope->fence_version)
        return cs_error_set(CS_E_FENCED,
                            "the tenure that submitted the change has ended");
    rc = check_match(row, pending);
    if (rc)
        return rc;
    if (row && strcmp(row->scope, scope->name) != 0)
        return cs_error_set(CS_E_EXISTS, "%s/%s exists in %s",
                            cs_kind_name(change->kind), change->name,
                            row->scope);
    if (journal->check && change->op != CS_OP_STATUS)
        rc = journal->check(journal->store_view, change);
    return rc;
}

static bool
batch_changes_resource(const struct journal_scope *scope,
                       const cs_change *change)
{
    guint i;

    for (i = 0; i < scope->batch->len; i++) {
        const struct pending_change *other =
            g_ptr_array_index(scope->batch, i);

        if (other->change->kind == change->kind &&
            strcmp(other->change->name, change->name) == 0)
            return true;
    }
    return false;
}

/*
 * Returns the maximum size of the next batch. Changes are checked against the
 * store view, which does not contain the rest of their batch. While fewer
 * changes are queued than a batch holds, configuration changes are committed
 * one by one, so two that are admissible each cannot overcommit together.
 */
static guint
max_batch_size(const struct journal_scope *scope)
{
    return strcmp(scope->name, CS_SCOPE_CONFIG) == 0 &&
                   scope->queue.length < CS_JOURNAL_MAX_BATCH
               ? 1
               : CS_JOURNAL_MAX_BATCH;
}

/*
 * Moves queued changes to the batch, up to the first that must wait for the
 * next one: a second change of a resource, or a change of an organisation,
 * which is always committed alone. A change that fails its check ends here.
 */
static void
fill_batch(struct journal_scope *scope)
{
    struct pending_change *pending;
    guint limit = max_batch_size(scope);

    while (scope->batch->len < limit &&
           (pending = g_queue_peek_head(&scope->queue)) != NULL) {
        int rc;

        if (batch_changes_resource(scope, pending->change))
            return;
        if (scope->batch->len > 0 &&
            pending->change->kind == CS_KIND_ORGANISATION)
            return;
        g_queue_pop_head(&scope->queue);
        rc = check_pending(scope, pending);
        if (rc) {
            notify_and_free(pending, rc, 0);
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
    const cs_resource_row *row = cs_store_view_find(
        scope->journal->store_view, change->kind, change->name);
    json_t *json = row ? cs_resource_row_write(row) : json_object();
    bool status = change->op == CS_OP_STATUS;

    json_object_set(json, status ? "status" : "doc", change->value);
    json_object_set_new(json, status ? "status_version" : "version",
                        json_integer((json_int_t)change->version));
    return json;
}

static void
add_change(struct journal_scope *scope, json_t *txn, const cs_change *change)
{
    char key[CS_STORE_KEY_BYTES];
    bool is_new = !cs_store_view_find(scope->journal->store_view, change->kind,
                                      change->name);

    cs_store_key_change(key, scope->name, change->version);
    /*
     * Versions have no gaps, so if the first one of the batch is absent, all
     * of them are.
     */
    if (change->version == scope->base_version + 1)
        cs_store_txn_add_check(txn, key, 0);
    cs_store_txn_add_put(txn, key, cs_change_write(change));
    cs_store_key_resource(key, scope->name, cs_kind_name(change->kind),
                          change->name);
    if (change->op == CS_OP_DELETE)
        cs_store_txn_add_delete(txn, key);
    else
        cs_store_txn_add_put(txn, key, build_row(scope, change));
    if (change->kind != CS_KIND_JOB || change->op == CS_OP_STATUS)
        return;
    /* A job's name is unique across all zones. */
    cs_store_key_job_name(key, change->name);
    if (change->op == CS_OP_DELETE) {
        cs_store_txn_add_delete(txn, key);
    }
    else if (is_new) {
        cs_store_txn_add_check(txn, key, 0);
        cs_store_txn_add_put(txn, key,
                             json_pack("{s:s}", "zone", scope->name));
    }
}

static void
build_txn(struct journal_scope *scope)
{
    cs_journal *journal = scope->journal;
    char key[CS_STORE_KEY_BYTES];
    uint64_t last_version;
    guint i;

    scope->base_version =
        cs_store_view_version(journal->store_view, scope->name);
    g_snprintf(scope->txn_id, sizeof(scope->txn_id), "%s.%" PRIu64,
               journal->incarnation, ++journal->next_txn);
    scope->txn = cs_store_txn_create(scope->txn_id);
    for (i = 0; i < scope->batch->len; i++) {
        struct pending_change *pending = g_ptr_array_index(scope->batch, i);
        cs_change *change = pending->change;

        change->version = scope->base_version + i + 1;
        change->at_us = cs_outbox_now(journal->outbox).wall_us;
        g_strlcpy(change->txn, scope->txn_id, sizeof(change->txn));
        g_strlcpy(change->writer, journal->writer, sizeof(change->writer));
        add_change(scope, scope->txn, change);
    }
    last_version = scope->base_version + scope->batch->len;
    cs_store_key_counter(key, scope->name);
    cs_store_txn_add_put(
        scope->txn, key,
        json_pack("{s:I}", "version", (json_int_t)last_version));
    if (scope->fence_version)
        cs_store_txn_add_check(scope->txn, scope->fence_key,
                               scope->fence_version);
}

/* Applies the committed batch to the store view and notifies the callers. */
static void
apply_batch(struct journal_scope *scope)
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
        struct pending_change *pending = g_ptr_array_index(batch, i);

        if (cs_store_view_apply(journal->store_view, pending->change))
            scope->poll_now = true;
        notify_and_free(pending, 0, pending->change->version);
    }
    g_ptr_array_free(batch, TRUE);
}

static void
fail_pending(struct journal_scope *scope, int code)
{
    requeue(scope);
    end_batch(scope);
    while (!g_queue_is_empty(&scope->queue))
        notify_and_free(g_queue_pop_head(&scope->queue), code, 0);
}

/* Fails only the changes whose job name exists already in some zone. */
static void
fail_duplicate_names(struct journal_scope *scope, const json_t *reply)
{
    char key[CS_STORE_KEY_BYTES];
    guint i = 0;

    while (i < scope->batch->len) {
        struct pending_change *pending = g_ptr_array_index(scope->batch, i);

        cs_store_key_job_name(key, pending->change->name);
        if (pending->change->kind != CS_KIND_JOB ||
            !cs_store_reply_conflicts(reply, key)) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(scope->batch, i);
        cs_error_set(CS_E_EXISTS, "a job named %s exists already",
                     pending->change->name);
        notify_and_free(pending, CS_E_EXISTS, 0);
    }
}

static void
on_conflict(struct journal_scope *scope, const json_t *reply)
{
    char key[CS_STORE_KEY_BYTES];

    (*scope->journal->conflicts)++;
    /*
     * The row may have been written by an earlier send of this transaction
     * whose answer was lost.
     */
    cs_store_key_change(key, scope->name, scope->base_version + 1);
    if (cs_store_reply_conflicts(reply, key)) {
        scope->maybe_applied = true;
        scope->state = COMMIT_SETTLING;
        scope->poll_now = true;
        return;
    }
    if (scope->fence_version &&
        cs_store_reply_conflicts(reply, scope->fence_key)) {
        cs_error_set(CS_E_FENCED, "another process holds the cell of %s",
                     scope->name);
        fail_pending(scope, CS_E_FENCED);
        return;
    }
    fail_duplicate_names(scope, reply);
    requeue(scope);
    end_batch(scope);
}

static void
on_written(void *user_data, int code, const json_t *reply)
{
    struct journal_scope *scope = user_data;

    switch (code) {
    case 0:
        apply_batch(scope);
        return;
    case CS_E_CONFLICT:
        on_conflict(scope, reply);
        return;
    case CS_E_STORE_UNAVAILABLE:
    case CS_E_CONNECT:
        (*scope->journal->refused)++;
        /* An earlier send of this transaction may have been applied. */
        scope->state = COMMIT_SETTLING;
        break;
    default:
        (*scope->journal->ambiguous)++;
        scope->maybe_applied = true;
        scope->state = COMMIT_SETTLING;
        break;
    }
    back_off(scope);
}

static void
send_txn(struct journal_scope *scope)
{
    cs_journal *journal = scope->journal;

    scope->state = COMMIT_WRITING;
    cs_outbox_push(journal->outbox, CS_CALL_STORE_TXN, NULL, CS_STORE_TXN_PATH,
                   json_incref(scope->txn),
                   journal_now_us(journal) + STORE_CALL_TIMEOUT_US, on_written,
                   scope);
}

void
journal_commit_match(struct journal_scope *scope, const cs_change *change)
{
    if (scope->state != COMMIT_IDLE && strcmp(change->txn, scope->txn_id) == 0)
        scope->batch_confirmed = true;
}

void
journal_commit_settle(struct journal_scope *scope)
{
    uint64_t version;

    if (scope->state != COMMIT_SETTLING)
        return;
    if (scope->batch_confirmed) {
        apply_batch(scope);
        return;
    }
    version = cs_store_view_version(scope->journal->store_view, scope->name);
    if (version > scope->base_version) {
        /*
         * Another writer committed the version, so this transaction can no
         * longer be applied.
         */
        requeue(scope);
        end_batch(scope);
        return;
    }
    if (journal_now_us(scope->journal) >= scope->retry_at_us)
        send_txn(scope);
}

static bool
is_past_deadline(const struct journal_scope *scope)
{
    int64_t now_us = journal_now_us(scope->journal);
    guint i;

    for (i = 0; i < scope->batch->len; i++) {
        const struct pending_change *pending =
            g_ptr_array_index(scope->batch, i);

        if (pending->deadline_us <= now_us)
            return true;
    }
    return false;
}

/*
 * Abandons a transaction none of whose sends was executed, once the deadline
 * of a change in it has passed. That change can then be reported as not made,
 * and will not be made later.
 */
static void
abandon_refused(struct journal_scope *scope)
{
    if (scope->state != COMMIT_SETTLING || scope->maybe_applied ||
        scope->batch_confirmed || !is_past_deadline(scope))
        return;
    requeue(scope);
    end_batch(scope);
}

static int
set_expiry_error(const struct journal_scope *scope, bool in_batch)
{
    if (in_batch && scope->state != COMMIT_IDLE)
        return cs_error_set(CS_E_OUTCOME_UNKNOWN,
                            "the store has not confirmed the write");
    return cs_error_set(CS_E_STORE_UNAVAILABLE, "the store cannot be reached");
}

/*
 * Notifies callers whose deadline has passed. Their changes stay in the batch
 * until its outcome is settled.
 */
static void
expire_pending(struct journal_scope *scope)
{
    int64_t now_us = journal_now_us(scope->journal);
    GList *node = scope->queue.head;
    guint i;

    abandon_refused(scope);
    for (i = 0; i < scope->batch->len; i++) {
        struct pending_change *pending = g_ptr_array_index(scope->batch, i);

        if (pending->done && pending->deadline_us <= now_us)
            notify(pending, set_expiry_error(scope, true), 0);
    }
    while (node) {
        struct pending_change *pending = node->data;
        GList *next = node->next;

        if (pending->deadline_us <= now_us) {
            g_queue_delete_link(&scope->queue, node);
            notify_and_free(pending, set_expiry_error(scope, false), 0);
        }
        node = next;
    }
}

void
journal_commit_tick(struct journal_scope *scope)
{
    int64_t now_us = journal_now_us(scope->journal);

    expire_pending(scope);
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
