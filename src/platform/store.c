#include "corianderstair/store.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

json_t *
cs_store_txn_create(const char *id)
{
    return json_pack("{s:s,s:[],s:[],s:[]}", "id", id, "checks", "puts",
                     "deletes");
}

void
cs_store_txn_add_check(json_t *txn, const char *key, uint64_t version)
{
    json_array_append_new(
        json_object_get(txn, "checks"),
        json_pack("{s:s,s:I}", "key", key, "version", (json_int_t)version));
}

void
cs_store_txn_add_put(json_t *txn, const char *key, json_t *value)
{
    json_array_append_new(json_object_get(txn, "puts"),
                          json_pack("{s:s,s:o}", "key", key, "value", value));
}

void
cs_store_txn_add_delete(json_t *txn, const char *key)
{
    json_array_append_new(json_object_get(txn, "deletes"), json_string(key));
}

json_t *
cs_store_read_create(void)
{
    return json_pack("{s:[]}", "ranges");
}

void
cs_store_read_add_range(json_t *read, const char *from, const char *to,
                        uint32_t limit)
{
    json_array_append_new(json_object_get(read, "ranges"),
                          json_pack("{s:s,s:s,s:i}", "from", from, "to", to,
                                    "limit", (int)limit));
}

void
cs_store_read_add_key(json_t *read, const char *key)
{
    char end[CS_STORE_KEY_BYTES + 1];

    /* "!" sorts before every character of a key, so the range holds only this
       key and no longer one that starts with it. */
    snprintf(end, sizeof(end), "%s!", key);
    cs_store_read_add_range(read, key, end, 1);
}

const json_t *
cs_store_reply_rows(const json_t *reply, uint32_t n)
{
    const json_t *range = json_array_get(json_object_get(reply, "ranges"), n);

    return json_object_get(range, "rows");
}

int
cs_store_reply_conflicts(const json_t *reply, const char *key)
{
    const json_t *keys = json_object_get(reply, "conflicts");
    const json_t *item;
    size_t i;

    json_array_foreach(keys, i, item)
    {
        const char *text = json_string_value(item);

        if (text && strcmp(text, key) == 0)
            return 1;
    }
    return 0;
}

uint64_t
cs_store_reply_version(const json_t *reply)
{
    return (uint64_t)json_integer_value(json_object_get(reply, "version"));
}

void
cs_store_key_counter(char *out, const char *scope)
{
    snprintf(out, CS_STORE_KEY_BYTES, "v/%s", scope);
}

void
cs_store_key_change(char *out, const char *scope, uint64_t version)
{
    snprintf(out, CS_STORE_KEY_BYTES, "c/%s/%012" PRIu64, scope, version);
}

void
cs_store_key_resource(char *out, const char *scope, const char *kind,
                      const char *name)
{
    snprintf(out, CS_STORE_KEY_BYTES, "r/%s/%s/%s", scope, kind, name);
}

void
cs_store_key_cell(char *out, const char *zone)
{
    snprintf(out, CS_STORE_KEY_BYTES, "cell/%s", zone);
}

void
cs_store_key_lease(char *out, const char *zone)
{
    snprintf(out, CS_STORE_KEY_BYTES, "lease/%s", zone);
}

void
cs_store_key_job_name(char *out, const char *name)
{
    snprintf(out, CS_STORE_KEY_BYTES, "u/%s", name);
}

void
cs_store_key_request(char *out, const char *service, const char *id)
{
    snprintf(out, CS_STORE_KEY_BYTES, "q/%s/%s", service, id);
}
