#include "corianderstair/board.h"
#include "corianderstair/errors.h"

#include <glib.h>
#include <string.h>

struct scope {
    uint64_t version;
    GQueue history; /* of cs_change, oldest first */
};

struct listener {
    uint32_t handle;
    cs_board_notice notice;
    void *data;
};

struct cs_board {
    GTree *tables[CS_KIND_COUNT];
    GHashTable *scopes;
    GArray *listeners;
    uint32_t next_handle;
};

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
    return strcmp(a, b);
}

static void
record_destroy(gpointer data)
{
    cs_record *record = data;

    cs_resource_clear(&record->resource);
    cs_job_status_clear(&record->job);
    json_decref(record->status);
    g_free(record);
}

static void
scope_destroy(gpointer data)
{
    struct scope *scope = data;

    g_queue_clear_full(&scope->history, (GDestroyNotify)cs_change_destroy);
    g_free(scope);
}

cs_board *
cs_board_create(void)
{
    cs_board *board = g_new0(cs_board, 1);
    int i;

    for (i = 0; i < CS_KIND_COUNT; i++)
        board->tables[i] =
            g_tree_new_full(compare_names, NULL, g_free, record_destroy);
    board->scopes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, scope_destroy);
    board->listeners = g_array_new(FALSE, FALSE, sizeof(struct listener));
    return board;
}

void
cs_board_destroy(cs_board *board)
{
    int i;

    if (!board)
        return;
    for (i = 0; i < CS_KIND_COUNT; i++)
        g_tree_destroy(board->tables[i]);
    g_hash_table_destroy(board->scopes);
    g_array_free(board->listeners, TRUE);
    g_free(board);
}

static struct scope *
find_scope(cs_board *board, const char *name)
{
    struct scope *scope = g_hash_table_lookup(board->scopes, name);

    if (!scope) {
        scope = g_new0(struct scope, 1);
        g_queue_init(&scope->history);
        g_hash_table_insert(board->scopes, g_strdup(name), scope);
    }
    return scope;
}

static cs_record *
make_record(cs_board *board, cs_kind kind, const char *name)
{
    cs_record *record = g_tree_lookup(board->tables[kind], name);

    if (!record) {
        record = g_new0(cs_record, 1);
        record->resource.kind = kind;
        g_tree_insert(board->tables[kind], g_strdup(name), record);
    }
    return record;
}

static int
put_resource(cs_board *board, const char *scope, cs_kind kind,
             const char *name, uint64_t version, const json_t *value)
{
    cs_resource resource;
    cs_record *record;
    int rc = cs_resource_read(&resource, kind, value);

    if (rc)
        return rc;
    record = make_record(board, kind, name);
    cs_resource_clear(&record->resource);
    record->resource = resource;
    record->version = version;
    g_strlcpy(record->scope, scope, sizeof(record->scope));
    return 0;
}

static int
put_status(cs_record *record, uint64_t version, const json_t *value)
{
    cs_job_status status;
    int rc;

    record->status_version = version;
    if (record->resource.kind != CS_KIND_JOB) {
        json_decref(record->status);
        record->status = json_incref((json_t *)value);
        return 0;
    }
    rc = cs_job_status_read(&status, value);
    if (rc)
        return rc;
    cs_job_status_clear(&record->job);
    record->job = status;
    return 0;
}

static int
apply_value(cs_board *board, const cs_change *change)
{
    cs_record *record;

    switch (change->op) {
    case CS_OP_PUT:
        return put_resource(board, change->scope, change->kind, change->name,
                            change->version, change->value);
    case CS_OP_DELETE:
        g_tree_remove(board->tables[change->kind], change->name);
        return 0;
    case CS_OP_STATUS:
        record = g_tree_lookup(board->tables[change->kind], change->name);
        return record ? put_status(record, change->version, change->value) : 0;
    }
    return CS_E_INVALID;
}

static void
keep_history(struct scope *scope, const cs_change *change)
{
    cs_change *copy =
        cs_change_create(change->scope, change->op, change->kind, change->name,
                         json_incref(change->value));

    copy->version = change->version;
    copy->at_us = change->at_us;
    memcpy(copy->txn, change->txn, sizeof(copy->txn));
    memcpy(copy->writer, change->writer, sizeof(copy->writer));
    g_queue_push_tail(&scope->history, copy);
    if (g_queue_get_length(&scope->history) > CS_BOARD_HISTORY)
        cs_change_destroy(g_queue_pop_head(&scope->history));
}

static void
tell_listeners(cs_board *board, const cs_change *change)
{
    guint i;

    for (i = 0; i < board->listeners->len; i++) {
        struct listener listener =
            g_array_index(board->listeners, struct listener, i);

        listener.notice(listener.data, change);
    }
}

int
cs_board_apply(cs_board *board, const cs_change *change)
{
    struct scope *scope = find_scope(board, change->scope);
    int rc;

    if (change->version <= scope->version)
        return 0;
    if (change->version != scope->version + 1)
        return cs_error_set(CS_E_CONFLICT, "a change of %s is missing",
                            change->scope);
    rc = apply_value(board, change);
    if (rc)
        return rc;
    scope->version = change->version;
    keep_history(scope, change);
    tell_listeners(board, change);
    return 0;
}

int
cs_board_load(cs_board *board, const char *scope, cs_kind kind,
              const json_t *value)
{
    const json_t *doc = json_object_get(value, "doc");
    const json_t *status = json_object_get(value, "status");
    const char *name = json_string_value(json_object_get(doc, "name"));
    json_int_t version = json_integer_value(json_object_get(value, "version"));
    json_int_t status_version =
        json_integer_value(json_object_get(value, "status_version"));
    int rc;

    if (!name)
        return cs_error_set(CS_E_JSON, "a stored row has no name");
    rc = put_resource(board, scope, kind, name, (uint64_t)version, doc);
    if (!rc && status)
        rc = put_status(make_record(board, kind, name),
                        (uint64_t)status_version, status);
    return rc;
}

void
cs_board_set_version(cs_board *board, const char *scope, uint64_t version)
{
    find_scope(board, scope)->version = version;
}

uint64_t
cs_board_version(const cs_board *board, const char *scope)
{
    const struct scope *found = g_hash_table_lookup(board->scopes, scope);

    return found ? found->version : 0;
}

const cs_record *
cs_board_find(const cs_board *board, cs_kind kind, const char *name)
{
    return g_tree_lookup(board->tables[kind], name);
}

uint32_t
cs_board_count(const cs_board *board, cs_kind kind)
{
    return (uint32_t)g_tree_nnodes(board->tables[kind]);
}

struct visit {
    cs_board_visit visit;
    void *data;
};

static gboolean
visit_one(gpointer key, gpointer value, gpointer data)
{
    const struct visit *v = data;

    v->visit(v->data, value);
    return FALSE;
}

void
cs_board_each(const cs_board *board, cs_kind kind, cs_board_visit visit,
              void *data)
{
    struct visit v = {visit, data};

    g_tree_foreach(board->tables[kind], visit_one, &v);
}

json_t *
cs_record_write(const cs_record *record)
{
    json_t *row =
        json_pack("{s:I,s:I,s:o}", "version", (json_int_t)record->version,
                  "status_version", (json_int_t)record->status_version, "doc",
                  cs_resource_write(&record->resource));

    if (record->resource.kind == CS_KIND_JOB)
        json_object_set_new(row, "status", cs_job_status_write(&record->job));
    else if (record->status)
        json_object_set(row, "status", record->status);
    return row;
}

uint32_t
cs_board_listen(cs_board *board, cs_board_notice notice, void *data)
{
    struct listener listener = {++board->next_handle, notice, data};

    g_array_append_val(board->listeners, listener);
    return listener.handle;
}

void
cs_board_unlisten(cs_board *board, uint32_t handle)
{
    guint i;

    for (i = 0; i < board->listeners->len; i++) {
        if (g_array_index(board->listeners, struct listener, i).handle ==
            handle) {
            g_array_remove_index(board->listeners, i);
            return;
        }
    }
}

int
cs_board_history(const cs_board *board, const char *scope, uint64_t after,
                 cs_board_notice notice, void *data)
{
    const struct scope *found = g_hash_table_lookup(board->scopes, scope);
    const cs_change *oldest;
    GList *link;

    if (!found || after >= found->version)
        return 0;
    oldest = g_queue_peek_head((GQueue *)&found->history);
    if (!oldest || oldest->version > after + 1)
        return cs_error_set(CS_E_TOO_OLD,
                            "changes of %s after this version are no longer "
                            "kept; list again",
                            scope);
    for (link = found->history.head; link; link = link->next) {
        const cs_change *change = link->data;

        if (change->version > after)
            notice(data, change);
    }
    return 0;
}
