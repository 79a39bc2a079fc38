#include "corianderstair/store_view.h"
#include "corianderstair/errors.h"

#include <glib.h>
#include <string.h>

struct scope {
    uint64_t version;
    GQueue history; /* of cs_change, oldest first */
};

struct subscriber {
    uint32_t handle;
    cs_store_view_on_change on_change;
    void *user_data;
};

struct cs_store_view {
    GTree *tables[CS_KIND_COUNT]; /* of cs_resource_row, by name */
    GHashTable *scopes;           /* of struct scope, by name */
    GArray *subscribers;          /* of struct subscriber */
    uint32_t next_handle;
};

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
    return strcmp(a, b);
}

static void
row_destroy(gpointer data)
{
    cs_resource_row *row = data;

    cs_resource_clear(&row->resource);
    cs_job_status_clear(&row->job);
    json_decref(row->status);
    g_free(row);
}

static void
scope_destroy(gpointer data)
{
    struct scope *scope = data;

    g_queue_clear_full(&scope->history, (GDestroyNotify)cs_change_destroy);
    g_free(scope);
}

cs_store_view *
cs_store_view_create(void)
{
    cs_store_view *view = g_new0(cs_store_view, 1);
    int i;

    for (i = 0; i < CS_KIND_COUNT; i++)
        view->tables[i] =
            g_tree_new_full(compare_names, NULL, g_free, row_destroy);
    view->scopes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, scope_destroy);
    view->subscribers = g_array_new(FALSE, FALSE, sizeof(struct subscriber));
    return view;
}

void
cs_store_view_destroy(cs_store_view *view)
{
    int i;

    if (!view)
        return;
    for (i = 0; i < CS_KIND_COUNT; i++)
        g_tree_destroy(view->tables[i]);
    g_hash_table_destroy(view->scopes);
    g_array_free(view->subscribers, TRUE);
    g_free(view);
}

static struct scope *
find_or_create_scope(cs_store_view *view, const char *name)
{
    struct scope *scope = g_hash_table_lookup(view->scopes, name);

    if (!scope) {
        scope = g_new0(struct scope, 1);
        g_queue_init(&scope->history);
        g_hash_table_insert(view->scopes, g_strdup(name), scope);
    }
    return scope;
}

static cs_resource_row *
find_or_create_row(cs_store_view *view, cs_kind kind, const char *name)
{
    cs_resource_row *row = g_tree_lookup(view->tables[kind], name);

    if (!row) {
        row = g_new0(cs_resource_row, 1);
        row->resource.kind = kind;
        g_tree_insert(view->tables[kind], g_strdup(name), row);
    }
    return row;
}

static int
put_resource(cs_store_view *view, const char *scope, cs_kind kind,
             const char *name, uint64_t version, const json_t *value)
{
    cs_resource resource;
    cs_resource_row *row;
    int rc = cs_resource_read(&resource, kind, value);

    if (rc)
        return rc;
    row = find_or_create_row(view, kind, name);
    cs_resource_clear(&row->resource);
    row->resource = resource;
    row->version = version;
    g_strlcpy(row->scope, scope, sizeof(row->scope));
    return 0;
}

static int
put_status(cs_resource_row *row, uint64_t version, const json_t *value)
{
    cs_job_status status;
    int rc;

    row->status_version = version;
    if (row->resource.kind != CS_KIND_JOB) {
        json_decref(row->status);
        row->status = json_incref((json_t *)value);
        return 0;
    }
    rc = cs_job_status_read(&status, value);
    if (rc)
        return rc;
    cs_job_status_clear(&row->job);
    row->job = status;
    return 0;
}

static int
apply_value(cs_store_view *view, const cs_change *change)
{
    cs_resource_row *row;

    switch (change->op) {
    case CS_OP_PUT:
        return put_resource(view, change->scope, change->kind, change->name,
                            change->version, change->value);
    case CS_OP_DELETE:
        g_tree_remove(view->tables[change->kind], change->name);
        return 0;
    case CS_OP_STATUS:
        row = g_tree_lookup(view->tables[change->kind], change->name);
        return row ? put_status(row, change->version, change->value) : 0;
    }
    return CS_E_INVALID;
}

static void
append_to_history(struct scope *scope, const cs_change *change)
{
    cs_change *copy =
        cs_change_create(change->scope, change->op, change->kind, change->name,
                         json_incref(change->value));

    copy->version = change->version;
    copy->at_us = change->at_us;
    memcpy(copy->txn, change->txn, sizeof(copy->txn));
    memcpy(copy->writer, change->writer, sizeof(copy->writer));
    g_queue_push_tail(&scope->history, copy);
    if (g_queue_get_length(&scope->history) > CS_STORE_VIEW_HISTORY_MAX)
        cs_change_destroy(g_queue_pop_head(&scope->history));
}

static void
notify_subscribers(cs_store_view *view, const cs_change *change)
{
    guint i;

    for (i = 0; i < view->subscribers->len; i++) {
        struct subscriber subscriber =
            g_array_index(view->subscribers, struct subscriber, i);

        subscriber.on_change(subscriber.user_data, change);
    }
}

int
cs_store_view_apply(cs_store_view *view, const cs_change *change)
{
    struct scope *scope = find_or_create_scope(view, change->scope);
    int rc;

    if (change->version <= scope->version)
        return 0;
    if (change->version != scope->version + 1)
        return cs_error_set(CS_E_CONFLICT, "a change of scope %s is missing",
                            change->scope);
    rc = apply_value(view, change);
    if (rc)
        return rc;
    scope->version = change->version;
    append_to_history(scope, change);
    notify_subscribers(view, change);
    return 0;
}

int
cs_store_view_load(cs_store_view *view, const char *scope, cs_kind kind,
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
    rc = put_resource(view, scope, kind, name, (uint64_t)version, doc);
    if (!rc && status)
        rc = put_status(find_or_create_row(view, kind, name),
                        (uint64_t)status_version, status);
    return rc;
}

void
cs_store_view_set_version(cs_store_view *view, const char *scope,
                          uint64_t version)
{
    find_or_create_scope(view, scope)->version = version;
}

uint64_t
cs_store_view_version(const cs_store_view *view, const char *scope)
{
    const struct scope *found = g_hash_table_lookup(view->scopes, scope);

    return found ? found->version : 0;
}

const cs_resource_row *
cs_store_view_find(const cs_store_view *view, cs_kind kind, const char *name)
{
    return g_tree_lookup(view->tables[kind], name);
}

uint32_t
cs_store_view_count(const cs_store_view *view, cs_kind kind)
{
    return (uint32_t)g_tree_nnodes(view->tables[kind]);
}

struct visit {
    cs_store_view_visit visit;
    void *user_data;
};

static gboolean
visit_row(gpointer key, gpointer value, gpointer user_data)
{
    const struct visit *context = user_data;

    context->visit(context->user_data, value);
    return FALSE;
}

void
cs_store_view_each(const cs_store_view *view, cs_kind kind,
                   cs_store_view_visit visit, void *user_data)
{
    struct visit context = {visit, user_data};

    g_tree_foreach(view->tables[kind], visit_row, &context);
}

json_t *
cs_resource_row_write(const cs_resource_row *row)
{
    json_t *json =
        json_pack("{s:I,s:I,s:o}", "version", (json_int_t)row->version,
                  "status_version", (json_int_t)row->status_version, "doc",
                  cs_resource_write(&row->resource));

    if (row->resource.kind == CS_KIND_JOB)
        json_object_set_new(json, "status", cs_job_status_write(&row->job));
    else if (row->status)
        json_object_set(json, "status", row->status);
    return json;
}

uint32_t
cs_store_view_subscribe(cs_store_view *view, cs_store_view_on_change on_change,
                        void *user_data)
{
    struct subscriber subscriber = {++view->next_handle, on_change, user_data};

    g_array_append_val(view->subscribers, subscriber);
    return subscriber.handle;
}

void
cs_store_view_unsubscribe(cs_store_view *view, uint32_t handle)
{
    guint i;

    for (i = 0; i < view->subscribers->len; i++) {
        if (g_array_index(view->subscribers, struct subscriber, i).handle ==
            handle) {
            g_array_remove_index(view->subscribers, i);
            return;
        }
    }
}

int
cs_store_view_replay(const cs_store_view *view, const char *scope,
                     uint64_t after, cs_store_view_on_change on_change,
                     void *user_data)
{
    const struct scope *found = g_hash_table_lookup(view->scopes, scope);
    const cs_change *oldest;
    GList *link;

    if (!found || after >= found->version)
        return 0;
    oldest = g_queue_peek_head((GQueue *)&found->history);
    if (!oldest || oldest->version > after + 1)
        return cs_error_set(CS_E_TOO_OLD,
                            "changes of scope %s after this version are no "
                            "longer available; list again",
                            scope);
    for (link = found->history.head; link; link = link->next) {
        const cs_change *change = link->data;

        if (change->version > after)
            on_change(user_data, change);
    }
    return 0;
}
