/*
 * Follows scopes: lists the rows of each once, then polls the version counters
 * and reads the changes of scopes that have new ones.
 */
#include "journal_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <string.h>

#define LIST_PAGE_ROWS 500
#define CHANGE_PAGE_ROWS 200
#define MAX_COUNTERS 1000

static void
push_read(cs_journal *journal, json_t *read, cs_call_done done,
          void *user_data)
{
    (*journal->polls)++;
    cs_outbox_push(
        journal->outbox, CS_CALL_STORE_READ, NULL, CS_STORE_READ_PATH, read,
        journal_now_us(journal) + STORE_CALL_TIMEOUT_US, done, user_data);
}

/*
 * Writes the range of all keys that start with PREFIX/SCOPE/; '0' is the
 * character after '/'.
 */
static void
format_scope_range(char *from, char *to, const char *prefix, const char *scope)
{
    g_snprintf(from, CS_STORE_KEY_BYTES, "%s/%s/", prefix, scope);
    g_snprintf(to, CS_STORE_KEY_BYTES, "%s/%s0", prefix, scope);
}

static int
apply_row(struct journal_scope *scope, const json_t *row)
{
    cs_change *change;
    int rc = cs_change_read(&change, json_object_get(row, "value"));

    if (rc)
        return rc;
    rc = cs_store_view_apply(scope->journal->store_view, change);
    if (!rc)
        journal_commit_match(scope, change);
    cs_change_destroy(change);
    return rc;
}

static void
on_changes(void *user_data, int code, const json_t *reply)
{
    struct journal_scope *scope = user_data;
    const json_t *rows = cs_store_reply_rows(reply, 0);
    const json_t *row;
    size_t i;

    scope->reading = false;
    if (code)
        return;
    json_array_foreach(rows, i, row)
    {
        if (apply_row(scope, row)) {
            cs_log_event("change-refused", "%s: %s", scope->name,
                         cs_error_last());
            return;
        }
    }
    if (json_array_size(rows) == CHANGE_PAGE_ROWS) {
        scope->poll_now = true;
        return;
    }
    scope->loaded = true;
    journal_commit_settle(scope);
}

static void
read_changes(struct journal_scope *scope)
{
    char from[CS_STORE_KEY_BYTES];
    char to[CS_STORE_KEY_BYTES];
    json_t *read = cs_store_read_create();

    format_scope_range(from, to, "c", scope->name);
    cs_store_key_change(
        from, scope->name,
        cs_store_view_version(scope->journal->store_view, scope->name) + 1);
    cs_store_read_add_range(read, from, to, CHANGE_PAGE_ROWS);
    scope->reading = true;
    scope->poll_now = false;
    push_read(scope->journal, read, on_changes, scope);
}

static void
load_row(struct journal_scope *scope, const char *key, const json_t *value)
{
    char kind_name[CS_NAME_BYTES];
    const char *start = key + strlen("r//") + strlen(scope->name);
    const char *end = strchr(start, '/');
    cs_kind kind;

    if (!end || (size_t)(end - start) >= sizeof(kind_name))
        return;
    memcpy(kind_name, start, (size_t)(end - start));
    kind_name[end - start] = '\0';
    if (cs_kind_find(&kind, kind_name) ||
        cs_store_view_load(scope->journal->store_view, scope->name, kind,
                           value))
        cs_log_event("row-refused", "%s: %s", key, cs_error_last());
}

static void
on_list(void *user_data, int code, const json_t *reply)
{
    struct journal_scope *scope = user_data;
    const json_t *counter = cs_store_reply_rows(reply, 0);
    const json_t *rows = cs_store_reply_rows(reply, 1);
    const json_t *row;
    size_t i;

    scope->reading = false;
    if (code || scope->rows_loaded)
        return;
    /*
     * The version counter read with the first page is the version listed: all
     * later changes are read from there.
     */
    if (!scope->cursor[0])
        scope->list_version = (uint64_t)json_integer_value(json_object_get(
            json_object_get(json_array_get(counter, 0), "value"), "version"));
    json_array_foreach(rows, i, row)
    {
        const char *key = json_string_value(json_object_get(row, "key"));

        load_row(scope, key, json_object_get(row, "value"));
        /* The next page starts after this key. */
        g_snprintf(scope->cursor, sizeof(scope->cursor), "%s!", key);
    }
    scope->poll_now = true;
    if (json_array_size(rows) == LIST_PAGE_ROWS)
        return;
    scope->rows_loaded = true;
    cs_store_view_set_version(scope->journal->store_view, scope->name,
                              scope->list_version);
}

static void
read_list(struct journal_scope *scope)
{
    char key[CS_STORE_KEY_BYTES];
    char from[CS_STORE_KEY_BYTES];
    char to[CS_STORE_KEY_BYTES];
    json_t *read = cs_store_read_create();

    cs_store_key_counter(key, scope->name);
    cs_store_read_add_key(read, key);
    format_scope_range(from, to, "r", scope->name);
    cs_store_read_add_range(read, scope->cursor[0] ? scope->cursor : from, to,
                            LIST_PAGE_ROWS);
    scope->reading = true;
    scope->poll_now = false;
    push_read(scope->journal, read, on_list, scope);
}

static void
read_scope(struct journal_scope *scope)
{
    if (scope->reading)
        return;
    if (scope->rows_loaded)
        read_changes(scope);
    else
        read_list(scope);
}

static void
on_counters(void *user_data, int code, const json_t *reply)
{
    cs_journal *journal = user_data;
    const json_t *row;
    size_t i;

    journal->poll_open = false;
    if (code)
        return;
    journal->last_poll_us = journal->poll_sent_us;
    json_array_foreach(cs_store_reply_rows(reply, 0), i, row)
    {
        const char *key = json_string_value(json_object_get(row, "key"));
        json_int_t version = json_integer_value(
            json_object_get(json_object_get(row, "value"), "version"));

        cs_journal_report_version(journal, key + strlen("v/"),
                                  (uint64_t)version);
    }
}

/* Reads the version counters of all scopes with one call. */
static void
poll_counters(cs_journal *journal)
{
    json_t *read = cs_store_read_create();

    cs_store_read_add_range(read, "v/", "v0", MAX_COUNTERS);
    journal->poll_open = true;
    journal->poll_sent_us = journal_now_us(journal);
    journal->next_poll_us = journal_now_us(journal) + journal->poll_us;
    push_read(journal, read, on_counters, journal);
}

void
journal_follow_tick(cs_journal *journal)
{
    bool due = journal_now_us(journal) >= journal->next_poll_us;
    guint i;

    for (i = 0; i < journal->scopes->len; i++) {
        struct journal_scope *scope = g_ptr_array_index(journal->scopes, i);

        if (scope->poll_now || (due && !scope->loaded))
            read_scope(scope);
    }
    if (due && !journal->poll_open)
        poll_counters(journal);
}
