#include "fake_table.h"

#include <glib.h>
#include <string.h>

#define MAX_ROWS_PER_READ 10000

struct row {
    uint64_t version;
    json_t *value;
};

struct fake_table {
    GTree *rows;
    uint64_t commits; /* version of the last transaction */
    fake_table_stats stats;
};

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
    return strcmp(a, b);
}

static void
row_destroy(gpointer data)
{
    struct row *row = data;

    json_decref(row->value);
    g_free(row);
}

fake_table *
fake_table_create(void)
{
    fake_table *table = g_new0(fake_table, 1);

    table->rows = g_tree_new_full(compare_keys, NULL, g_free, row_destroy);
    return table;
}

void
fake_table_destroy(fake_table *table)
{
    if (!table)
        return;
    g_tree_destroy(table->rows);
    g_free(table);
}

/* Returns the keys of the rows whose version is not the expected one. */
static json_t *
find_conflicts(const fake_table *table, const json_t *checks)
{
    json_t *conflicts = json_array();
    const json_t *check;
    size_t i;

    json_array_foreach(checks, i, check)
    {
        const char *key = json_string_value(json_object_get(check, "key"));
        json_int_t version =
            json_integer_value(json_object_get(check, "version"));
        const struct row *row = g_tree_lookup(table->rows, key);

        if ((row ? row->version : 0) != (uint64_t)version)
            json_array_append_new(conflicts, json_string(key));
    }
    return conflicts;
}

static void
write_rows(fake_table *table, const json_t *body)
{
    const json_t *item;
    size_t i;

    json_array_foreach(json_object_get(body, "puts"), i, item)
    {
        struct row *row = g_new0(struct row, 1);

        row->version = table->commits;
        row->value = json_deep_copy(json_object_get(item, "value"));
        g_tree_replace(
            table->rows,
            g_strdup(json_string_value(json_object_get(item, "key"))), row);
        table->stats.rows_written++;
    }
    json_array_foreach(json_object_get(body, "deletes"), i, item)
    {
        g_tree_remove(table->rows, json_string_value(item));
        table->stats.rows_written++;
    }
}

static int
call_txn(json_t **reply, fake_table *table, const json_t *body)
{
    json_t *conflicts = find_conflicts(table, json_object_get(body, "checks"));

    if (json_array_size(conflicts) > 0) {
        table->stats.conflicts++;
        *reply = json_pack("{s:o}", "conflicts", conflicts);
        return 409;
    }
    json_decref(conflicts);
    table->commits++;
    table->stats.txns++;
    write_rows(table, body);
    *reply = json_pack("{s:I}", "version", (json_int_t)table->commits);
    return 200;
}

static json_t *
read_range(fake_table *table, const json_t *range)
{
    const char *from = json_string_value(json_object_get(range, "from"));
    const char *to = json_string_value(json_object_get(range, "to"));
    json_int_t limit = json_integer_value(json_object_get(range, "limit"));
    json_t *rows = json_array();
    GTreeNode *node = from ? g_tree_lower_bound(table->rows, from) : NULL;

    if (limit <= 0 || limit > MAX_ROWS_PER_READ)
        limit = MAX_ROWS_PER_READ;
    for (; node && limit > 0; node = g_tree_node_next(node), limit--) {
        const char *key = g_tree_node_key(node);
        const struct row *row = g_tree_node_value(node);

        if (to && strcmp(key, to) >= 0)
            break;
        json_array_append_new(
            rows, json_pack("{s:s,s:I,s:O}", "key", key, "version",
                            (json_int_t)row->version, "value", row->value));
        table->stats.rows_read++;
    }
    return json_pack("{s:o}", "rows", rows);
}

static int
call_read(json_t **reply, fake_table *table, const json_t *body)
{
    json_t *ranges = json_array();
    const json_t *range;
    size_t i;

    json_array_foreach(json_object_get(body, "ranges"), i, range)
    {
        table->stats.reads++;
        json_array_append_new(ranges, read_range(table, range));
    }
    *reply = json_pack("{s:o}", "ranges", ranges);
    return 200;
}

int
fake_table_call(json_t **reply, fake_table *table, const char *path,
                const json_t *body)
{
    if (strcmp(path, "/v1/table/txn") == 0)
        return call_txn(reply, table, body);
    if (strcmp(path, "/v1/table/read") == 0)
        return call_read(reply, table, body);
    *reply = json_object();
    return 404;
}

const json_t *
fake_table_get(const fake_table *table, const char *key)
{
    const struct row *row = g_tree_lookup(table->rows, key);

    return row ? row->value : NULL;
}

void
fake_table_foreach(const fake_table *table, const char *prefix,
                   fake_table_visit visit, void *user_data)
{
    GTreeNode *node = g_tree_lower_bound(table->rows, prefix);

    for (; node; node = g_tree_node_next(node)) {
        const char *key = g_tree_node_key(node);
        const struct row *row = g_tree_node_value(node);

        if (!g_str_has_prefix(key, prefix))
            return;
        visit(user_data, key, row->value);
    }
}

fake_table_stats
fake_table_get_stats(const fake_table *table)
{
    return table->stats;
}
