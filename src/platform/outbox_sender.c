#include "corianderstair/outbox_sender.h"
#include "corianderstair/errors.h"

#include <stdlib.h>
#include <string.h>

struct cs_outbox_sender {
    cs_outbox *outbox;
    cs_http_client *client;
    char store[32];
    cs_outbox_sender_on_finished on_finished;
    void *user_data;
    int64_t *sent_bytes;
    int64_t *received_bytes;
    int64_t *calls;
};

struct sent_call {
    cs_outbox_sender *sender;
    cs_call *call;
};

cs_outbox_sender *
cs_outbox_sender_create(cs_outbox *outbox, cs_http_client *client,
                        cs_counters *counters, const char *store,
                        cs_outbox_sender_on_finished on_finished,
                        void *user_data)
{
    cs_outbox_sender *sender = g_new0(cs_outbox_sender, 1);

    sender->outbox = outbox;
    sender->client = client;
    sender->on_finished = on_finished;
    sender->user_data = user_data;
    g_strlcpy(sender->store, store, sizeof(sender->store));
    sender->sent_bytes =
        cs_counters_get(counters, "cs_control_sent_bytes_total");
    sender->received_bytes =
        cs_counters_get(counters, "cs_control_received_bytes_total");
    sender->calls = cs_counters_get(counters, "cs_control_calls_total");
    return sender;
}

void
cs_outbox_sender_destroy(cs_outbox_sender *sender)
{
    g_free(sender);
}

/* Returns the error of a call that got no readable answer:
   CS_E_OUTCOME_UNKNOWN if it may have been executed. */
static int
error_without_answer(cs_call_type type, int code)
{
    if (type == CS_CALL_STORE_READ)
        return CS_E_STORE_UNAVAILABLE;
    if (code == CS_E_CONNECT || code == CS_E_OVERLOAD)
        return CS_E_CONNECT;
    return CS_E_OUTCOME_UNKNOWN;
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
        return CS_E_STORE_UNAVAILABLE;
    return CS_E_OUTCOME_UNKNOWN;
}

static void
on_answer(void *user_data, const cs_http_response *answer)
{
    struct sent_call *sent_call = user_data;
    cs_outbox_sender *sender = sent_call->sender;
    cs_call *call = sent_call->call;
    json_t *reply = NULL;
    int code;

    g_free(sent_call);
    cs_outbox_set_now(sender->outbox, cs_now_read());
    *sender->received_bytes += (int64_t)answer->size_bytes;
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
    sender->on_finished(sender->user_data);
}

static void
send_call(cs_outbox_sender *sender, cs_call *call)
{
    char *body = json_dumps(call->body, JSON_COMPACT);
    struct sent_call *sent_call = g_new(struct sent_call, 1);
    cs_http_call http = {.method = "POST",
                         .address = call->type == CS_CALL_WORKER
                                        ? call->address
                                        : sender->store,
                         .path = call->path,
                         .body = body,
                         .size_bytes = strlen(body),
                         .deadline_us = call->deadline_us,
                         .done = on_answer,
                         .user_data = sent_call};

    sent_call->sender = sender;
    sent_call->call = call;
    (*sender->calls)++;
    *sender->sent_bytes += (int64_t)http.size_bytes;
    if (cs_http_client_start(sender->client, &http)) {
        g_free(sent_call);
        cs_call_finish(call, CS_E_CONNECT, NULL);
    }
    free(body);
}

void
cs_outbox_sender_send_all(cs_outbox_sender *sender)
{
    cs_call *call;

    while ((call = cs_outbox_pop(sender->outbox)) != NULL)
        send_call(sender, call);
}
