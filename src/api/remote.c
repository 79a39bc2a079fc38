/*
 * Reads a job whose zone this process does not follow: first the row of the
 * job's name, which holds its zone, then the job's row in that zone.
 */
#include "api_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/store.h"

struct job_lookup {
    cs_api *api;
    cs_http_request *request;
    char name[CS_NAME_BYTES];
    char zone[CS_NAME_BYTES];
};

static void
finish_with_error(struct job_lookup *lookup, int code)
{
    if (code == CS_E_NOT_FOUND)
        cs_error_set(code, "jobs/%s does not exist", lookup->name);
    else
        cs_error_set(code, "the store cannot be reached");
    reply_last_error(lookup->api, lookup->request, code);
    g_free(lookup);
}

static void
push_read(struct job_lookup *lookup, const char *key, cs_call_done done)
{
    cs_outbox *outbox = cs_process_outbox(lookup->api->process);
    json_t *read = cs_store_read_create();

    cs_store_read_add_key(read, key);
    cs_outbox_push(outbox, CS_CALL_STORE_READ, NULL, CS_STORE_READ_PATH, read,
                   cs_outbox_now(outbox).boot_us + STORE_TIMEOUT_US, done,
                   lookup);
}

static const json_t *
first_row_value(const json_t *reply)
{
    return json_object_get(json_array_get(cs_store_reply_rows(reply, 0), 0),
                           "value");
}

static void
on_job_row(void *user_data, int code, const json_t *reply)
{
    struct job_lookup *lookup = user_data;
    const json_t *row = first_row_value(reply);

    if (code || !row) {
        finish_with_error(lookup,
                          code ? CS_E_STORE_UNAVAILABLE : CS_E_NOT_FOUND);
        return;
    }
    reply_json(lookup->request, 200,
               json_pack("{s:s,s:s,s:O,s:O,s:O}", "kind", "jobs", "scope",
                         lookup->zone, "version",
                         json_object_get(row, "version"), "resource",
                         json_object_get(row, "doc"), "status",
                         json_object_get(row, "status")));
    g_free(lookup);
}

static void
on_name_row(void *user_data, int code, const json_t *reply)
{
    struct job_lookup *lookup = user_data;
    const char *zone =
        json_string_value(json_object_get(first_row_value(reply), "zone"));
    char key[CS_STORE_KEY_BYTES];

    if (code || !zone) {
        finish_with_error(lookup,
                          code ? CS_E_STORE_UNAVAILABLE : CS_E_NOT_FOUND);
        return;
    }
    g_strlcpy(lookup->zone, zone, sizeof(lookup->zone));
    cs_store_key_resource(key, zone, "jobs", lookup->name);
    push_read(lookup, key, on_job_row);
}

void
remote_job_get(cs_api *api, cs_http_request *request, const char *name)
{
    struct job_lookup *lookup = g_new0(struct job_lookup, 1);
    char key[CS_STORE_KEY_BYTES];

    lookup->api = api;
    lookup->request = request;
    g_strlcpy(lookup->name, name, sizeof(lookup->name));
    cs_store_key_job_name(key, name);
    push_read(lookup, key, on_name_row);
}
