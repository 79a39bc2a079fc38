#include "corianderstair/carrier.h"
#include "corianderstair/errors.h"

#include <stdlib.h>
#include <string.h>

struct cs_carrier {
    cs_outbox *outbox;
    cs_http_client *client;
    char store[32];
    cs_carrier_wake on_finished;
    void *user_data;
    int64_t *sent_bytes;
    int64_t *received_bytes;
    int64_t *calls;
};

struct sent_call {
    cs_carrier *carrier;
    cs_call *call;
};

cs_carrier *
cs_carrier_create(cs_outbox *outbox, cs_http_client *client,
                  cs_counters *counters, const char *store,
                  cs_carrier_wake on_finished, void *user_data)
{
    cs_carrier *carrier = g_new0(cs_carrier, 1);

    carrier->outbox = outbox;
    carrier->client = client;
    carrier->on_finished = on_finished;
    carrier->user_data = user_data;
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

/* Returns the error of a call that got no readable answer: CS_E_UNKNOWN if it
   may have been executed. */
static int
error_without_answer(cs_call_type type, int code)
{
    if (type == CS_CALL_STORE_READ)
        return CS_E_STORE;
    if (code == CS_E_CONNECT || code == CS_E_OVERLOAD)
        return CS_E_CONNECT;
    return CS_E_UNKNOWN;
}

static int
error_of_status(cs_call_type type, int status)
{
    if (status == 200)
        return 0;
    if (status == 409)
        return type == CS_CALL_WORKER ? CS_E_FENCED : CS_E_CONFLICT;
    /* 503 means that the call was not executed; a failed read changes
       nothing. */
    if (status == 503 || type == CS_CALL_STORE_READ)
        return CS_E_STORE;
    return CS_E_UNKNOWN;
}

static void
on_answer(void *user_data, const cs_http_answer *answer)
{
    struct sent_call *sent_call = user_data;
    cs_carrier *carrier = sent_call->carrier;
    cs_call *call = sent_call->call;
    json_t *reply = NULL;
    int code;

    g_free(sent_call);
    cs_outbox_set_now(carrier->outbox, cs_now_read());
    *carrier->received_bytes += (int64_t)answer->size_bytes;
    if (answer->code)
        code = error_without_answer(call->type, answer->code);
    else
        code = error_of_status(call->type, answer->status);
    if (code == 0 || code == CS_E_CONFLICT || code == CS_E_FENCED) {
        reply = json_loadb(answer->body, answer->size_bytes, 0, NULL);
        if (!reply)
            code = error_without_answer(call->type, CS_E_CUT);
    }
    cs_call_finish(call, code, reply);
    json_decref(reply);
    carrier->on_finished(carrier->user_data);
}

static void
send_call(cs_carrier *carrier, cs_call *call)
{
    char *body = json_dumps(call->body, JSON_COMPACT);
    struct sent_call *sent_call = g_new(struct sent_call, 1);
    cs_http_call http = {.method = "POST",
                         .address = call->type == CS_CALL_WORKER
                                        ? call->address
                                        : carrier->store,
                         .path = call->path,
                         .body = body,
                         .size_bytes = strlen(body),
                         .deadline_us = call->deadline_us,
                         .done = on_answer,
                         .data = sent_call};

    sent_call->carrier = carrier;
    sent_call->call = call;
    (*carrier->calls)++;
    *carrier->sent_bytes += (int64_t)http.size_bytes;
    if (cs_http_client_start(carrier->client, &http)) {
        g_free(sent_call);
        cs_call_finish(call, CS_E_CONNECT, NULL);
    }
    free(body);
}

void
cs_carrier_run(cs_carrier *carrier)
{
    cs_call *call;

    while ((call = cs_outbox_pop(carrier->outbox)) != NULL)
        send_call(carrier, call);
}
