#include "corianderstair/carrier.h"
#include "corianderstair/errors.h"

#include <stdlib.h>
#include <string.h>

struct cs_carrier {
    cs_outbox *outbox;
    cs_http_client *client;
    char store[32];
    cs_carrier_wake wake;
    void *data;
    int64_t *sent_bytes;
    int64_t *received_bytes;
    int64_t *calls;
};

struct carried {
    cs_carrier *carrier;
    cs_call *call;
};

cs_carrier *
cs_carrier_create(cs_outbox *outbox, cs_http_client *client,
                  cs_counters *counters, const char *store,
                  cs_carrier_wake wake, void *data)
{
    cs_carrier *carrier = g_new0(cs_carrier, 1);

    carrier->outbox = outbox;
    carrier->client = client;
    carrier->wake = wake;
    carrier->data = data;
    g_strlcpy(carrier->store, store, sizeof(carrier->store));
    carrier->sent_bytes =
        cs_counters_get(counters, "cs_control_sent_bytes_total");
    carrier->received_bytes =
        cs_counters_get(counters, "cs_control_received_bytes_total");
    carrier->calls = cs_counters_get(counters, "cs_control_calls_total");
    return carrier;
}

void
cs_carrier_destroy(cs_carrier *carrier)
{
    g_free(carrier);
}

static int
code_without_answer(cs_call_type type, int code)
{
    if (type == CS_CALL_STORE_READ)
        return CS_E_STORE;
    if (code == CS_E_CONNECT || code == CS_E_OVERLOAD)
        return CS_E_CONNECT;
    return CS_E_UNKNOWN;
}

static int
code_of_status(cs_call_type type, int status)
{
    if (status == 200)
        return 0;
    if (status == 409)
        return type == CS_CALL_WORKER ? CS_E_FENCED : CS_E_CONFLICT;
    /* 503 says that nothing was executed. */
    if (status == 503 || type == CS_CALL_STORE_READ)
        return CS_E_STORE;
    return CS_E_UNKNOWN;
}

static void
on_done(void *data, const cs_http_answer *answer)
{
    struct carried *carried = data;
    cs_carrier *carrier = carried->carrier;
    cs_call *call = carried->call;
    json_t *reply = NULL;
    int code;

    g_free(carried);
    cs_outbox_set_now(carrier->outbox, cs_now_read());
    *carrier->received_bytes += (int64_t)answer->size_bytes;
    if (answer->code)
        code = code_without_answer(call->type, answer->code);
    else
        code = code_of_status(call->type, answer->status);
    if (code == 0 || code == CS_E_CONFLICT || code == CS_E_FENCED) {
        reply = json_loadb(answer->body, answer->size_bytes, 0, NULL);
        if (!reply)
            code = code_without_answer(call->type, CS_E_CUT);
    }
    cs_call_finish(call, code, reply);
    json_decref(reply);
    carrier->wake(carrier->data);
}

static void
carry(cs_carrier *carrier, cs_call *call)
{
    char *body = json_dumps(call->body, JSON_COMPACT);
    struct carried *carried = g_new(struct carried, 1);
    cs_http_call http = {.method = "POST",
                         .address = call->type == CS_CALL_WORKER
                                        ? call->address
                                        : carrier->store,
                         .path = call->path,
                         .body = body,
                         .size_bytes = strlen(body),
                         .deadline_us = call->deadline_us,
                         .done = on_done,
                         .data = carried};

    carried->carrier = carrier;
    carried->call = call;
    (*carrier->calls)++;
    *carrier->sent_bytes += (int64_t)http.size_bytes;
    if (cs_http_client_start(carrier->client, &http)) {
        g_free(carried);
        cs_call_finish(call, CS_E_CONNECT, NULL);
    }
    free(body);
}

void
cs_carrier_run(cs_carrier *carrier)
{
    cs_call *call;

    while ((call = cs_outbox_pop(carrier->outbox)) != NULL)
        carry(carrier, call);
}
