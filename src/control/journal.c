#include "journal_internal.h"
#include "corianderstair/errors.h"

#include <string.h>

#define DEFAULT_POLL_INTERVAL_US (500 * CS_MS_US)

cs_journal *
cs_journal_create(cs_store_view *store_view, cs_outbox *outbox,
                  cs_counters *counters, const char *writer,
                  const char *incarnation, cs_journal_check_change check)
{
    cs_journal *journal = g_new0(cs_journal, 1);

    journal->store_view = store_view;
    journal->outbox = outbox;
    journal->check = check;
    g_strlcpy(journal->writer, writer, sizeof(journal->writer));
    g_strlcpy(journal->incarnation, incarnation, sizeof(journal->incarnation));
    journal->scopes = g_ptr_array_new();
    journal->poll_us = DEFAULT_POLL_INTERVAL_US;
    journal->commits = cs_counters_get(counters, "cs_store_commits_total");
    journal->conflicts = cs_counters_get(counters, "cs_store_conflicts_total");
    journal->ambiguous = cs_counters_get(counters, "cs_store_ambiguous_total");
    journal->rows_written =
        cs_counters_get(counters, "cs_store_rows_written_total");
    journal->polls = cs_counters_get(counters, "cs_store_reads_total");
    journal->refused = cs_counters_get(counters, "cs_store_refused_total");
    return journal;
}

void
cs_journal_destroy(cs_journal *journal)
{
    guint i;

    if (!journal)
        return;
    for (i = 0; i < journal->scopes->len; i++) {
        struct journal_scope *scope = g_ptr_array_index(journal->scopes, i);

        journal_commit_clear(scope);
        g_free(scope);
    }
    g_ptr_array_free(journal->scopes, TRUE);
    g_free(journal);
}

struct journal_scope *
journal_find(const cs_journal *journal, const char *name)
{
    guint i;

    for (i = 0; i < journal->scopes->len; i++) {
        struct journal_scope *scope = g_ptr_array_index(journal->scopes, i);

        if (strcmp(scope->name, name) == 0)
            return scope;
    }
    return NULL;
}

int64_t
journal_now_us(const cs_journal *journal)
{
    return cs_outbox_now(journal->outbox).boot_us;
}

void
cs_journal_set_poll_interval_us(cs_journal *journal, int64_t poll_us)
{
    journal->poll_us = poll_us;
}

void
cs_journal_follow(cs_journal *journal, const char *scope_name)
{
    struct journal_scope *scope;

    if (journal_find(journal, scope_name))
        return;
    scope = g_new0(struct journal_scope, 1);
    scope->journal = journal;
    scope->backoff_us = BACKOFF_MIN_US;
    scope->batch = g_ptr_array_new();
    g_queue_init(&scope->queue);
    g_strlcpy(scope->name, scope_name, sizeof(scope->name));
    g_ptr_array_add(journal->scopes, scope);
}

bool
cs_journal_is_loaded(const cs_journal *journal, const char *scope_name)
{
    const struct journal_scope *scope = journal_find(journal, scope_name);

    return scope && scope->loaded;
}

int64_t
cs_journal_last_poll_us(const cs_journal *journal)
{
    return journal->last_poll_us;
}

bool
cs_journal_has_read_since(const cs_journal *journal, const char *scope_name,
                          int64_t since_us)
{
    const struct journal_scope *scope = journal_find(journal, scope_name);

    return scope && scope->loaded && journal->last_poll_us >= since_us &&
           cs_store_view_version(journal->store_view, scope_name) >=
               scope->known_version;
}

void
cs_journal_report_version(cs_journal *journal, const char *scope_name,
                          uint64_t version)
{
    struct journal_scope *scope = journal_find(journal, scope_name);

    if (!scope ||
        version <= cs_store_view_version(journal->store_view, scope_name))
        return;
    if (version > scope->known_version)
        scope->known_version = version;
    scope->poll_now = true;
}

void
cs_journal_set_fence(cs_journal *journal, const char *scope_name,
                     const char *key, uint64_t version)
{
    struct journal_scope *scope = journal_find(journal, scope_name);

    if (!scope)
        return;
    g_strlcpy(scope->fence_key, version ? key : "", sizeof(scope->fence_key));
    scope->fence_version = version;
}

int
cs_journal_submit(cs_journal *journal, cs_change *change, int64_t match,
                  int64_t deadline_us, cs_journal_done done, void *user_data)
{
    struct journal_scope *scope = journal_find(journal, change->scope);
    struct pending_change *pending;

    if (!scope) {
        cs_change_destroy(change);
        return cs_error_set(CS_E_NOT_FOUND,
                            "the scope of the change is not followed");
    }
    if (g_queue_get_length(&scope->queue) >= CS_JOURNAL_MAX_QUEUED) {
        cs_change_destroy(change);
        return cs_error_set(CS_E_OVERLOAD,
                            "too many changes are queued for the scope");
    }
    pending = g_new0(struct pending_change, 1);
    pending->change = change;
    pending->match = match;
    pending->fence_version = scope->fence_version;
    pending->deadline_us = deadline_us;
    pending->done = done;
    pending->user_data = user_data;
    g_queue_push_tail(&scope->queue, pending);
    return 0;
}

void
cs_journal_tick(cs_journal *journal)
{
    guint i;

    journal_follow_tick(journal);
    for (i = 0; i < journal->scopes->len; i++)
        journal_commit_tick(g_ptr_array_index(journal->scopes, i));
}

uint32_t
cs_journal_pending(const cs_journal *journal)
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < journal->scopes->len; i++) {
        const struct journal_scope *scope =
            g_ptr_array_index(journal->scopes, i);

        count += scope->batch->len + scope->queue.length;
    }
    return count;
}

const char *
cs_journal_first_unloaded(const cs_journal *journal)
{
    guint i;

    for (i = 0; i < journal->scopes->len; i++) {
        const struct journal_scope *scope =
            g_ptr_array_index(journal->scopes, i);

        if (!scope->loaded)
            return scope->name;
    }
    return NULL;
}

struct snapshot_builder {
    const char *scope;
    json_t *rows;
};

static void
append_row(void *user_data, const cs_resource_row *row)
{
    struct snapshot_builder *snapshot = user_data;
    json_t *json;

    if (strcmp(row->scope, snapshot->scope) != 0)
        return;
    json = cs_resource_row_write(row);
    json_object_set_new(json, "kind",
                        json_string(cs_kind_name(row->resource.kind)));
    json_array_append_new(snapshot->rows, json);
}

json_t *
cs_journal_snapshot(const cs_journal *journal, const char *scope_name)
{
    struct snapshot_builder snapshot = {scope_name, NULL};
    int kind;

    if (!cs_journal_is_loaded(journal, scope_name))
        return NULL;
    snapshot.rows = json_array();
    for (kind = 0; kind < CS_KIND_COUNT; kind++)
        cs_store_view_each(journal->store_view, (cs_kind)kind, append_row,
                           &snapshot);
    return json_pack(
        "{s:s,s:I,s:o}", "scope", scope_name, "version",
        (json_int_t)cs_store_view_version(journal->store_view, scope_name),
        "rows", snapshot.rows);
}

int
cs_journal_load_snapshot(cs_journal *journal, const json_t *snapshot)
{
    const char *name = json_string_value(json_object_get(snapshot, "scope"));
    json_int_t version =
        json_integer_value(json_object_get(snapshot, "version"));
    const json_t *rows = json_object_get(snapshot, "rows");
    struct journal_scope *scope;
    const json_t *row;
    size_t i;

    if (!name || !json_is_array(rows) || version < 0)
        return cs_error_set(CS_E_JSON,
                            "the snapshot lacks scope, version or rows");
    scope = journal_find(journal, name);
    if (!scope || scope->rows_loaded ||
        (uint64_t)version < cs_store_view_version(journal->store_view, name))
        return cs_error_set(CS_E_CONFLICT,
                            "the scope of the snapshot is not followed, "
                            "loaded already or newer");
    json_array_foreach(rows, i, row)
    {
        const char *kind_name =
            json_string_value(json_object_get(row, "kind"));
        cs_kind kind;
        int rc = kind_name ? cs_kind_find(&kind, kind_name) : CS_E_JSON;

        if (!rc)
            rc = cs_store_view_load(journal->store_view, name, kind, row);
        if (rc)
            return rc;
    }
    cs_store_view_set_version(journal->store_view, name, (uint64_t)version);
    scope->rows_loaded = true;
    scope->loaded = true;
    return 0;
}
