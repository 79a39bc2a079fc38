/* Lists the audit trail, which is read from the table service. */
#include "api_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/store.h"

#include <stdlib.h>

#define LIMIT_DEFAULT 200
#define LIMIT_MAX 1000

struct audit_query {
    cs_api *api;
    cs_http_request *request;
};

static void
on_read(void *user_data, int code, const json_t *reply)
{
    struct audit_query *query = user_data;
    json_t *items = json_array();
    const json_t *row;
    size_t i;

    if (code) {
        json_decref(items);
        reply_error(query->api, query->request, CS_E_STORE_UNAVAILABLE,
                    CS_RUN_NOT, "the store cannot be reached");
        g_free(query);
        return;
    }
    json_array_foreach(cs_store_reply_rows(reply, 0), i, row)
        json_array_append(items, json_object_get(row, "value"));
    reply_json(query->request, 200, json_pack("{s:o}", "items", items));
    g_free(query);
}

static uint64_t
read_argument_number(cs_http_request *request, const char *name,
                     uint64_t default_value)
{
    char text[32];
    char *end;
    uint64_t number;

    if (cs_http_request_query_argument(text, sizeof(text), request, name))
        return default_value;
    number = strtoull(text, &end, 10);
    return *end || end == text ? default_value : number;
}

void
audit_handle(cs_api *api, cs_http_request *request)
{
    struct audit_query *query = g_new0(struct audit_query, 1);
    cs_outbox *outbox = cs_process_outbox(api->process);
    char scope[CS_NAME_BYTES] = CS_SCOPE_CONFIG;
    char from[CS_STORE_KEY_BYTES];
    char to[CS_STORE_KEY_BYTES];
    json_t *read = cs_store_read_create();
    uint64_t limit = read_argument_number(request, "limit", LIMIT_DEFAULT);

    query->api = api;
    query->request = request;
    cs_http_request_query_argument(scope, sizeof(scope), request, "scope");
    cs_store_key_change(from, scope, read_argument_number(request, "from", 1));
    /* "0" is the character after "/", so the range ends with the scope. */
    g_snprintf(to, sizeof(to), "c/%s0", scope);
    cs_store_read_add_range(read, from, to, (uint32_t)MIN(limit, LIMIT_MAX));
    cs_outbox_push(outbox, CS_CALL_STORE_READ, NULL, CS_STORE_READ_PATH, read,
                   cs_outbox_now(outbox).boot_us + STORE_TIMEOUT_US, on_read,
                   query);
}
