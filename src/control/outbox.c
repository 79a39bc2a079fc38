#include "corianderstair/outbox.h"

#include <glib.h>

struct cs_outbox {
    GQueue calls;
    cs_now now;
};

cs_outbox *
cs_outbox_create(void)
{
    cs_outbox *outbox = g_new0(cs_outbox, 1);

    g_queue_init(&outbox->calls);
    return outbox;
}

void
cs_outbox_destroy(cs_outbox *outbox)
{
    cs_call *call;

    if (!outbox)
        return;
    while ((call = cs_outbox_pop(outbox)) != NULL)
        cs_call_drop(call);
    g_free(outbox);
}

void
cs_outbox_set_now(cs_outbox *outbox, cs_now now)
{
    outbox->now = now;
}

cs_now
cs_outbox_now(const cs_outbox *outbox)
{
    return outbox->now;
}

void
cs_outbox_push(cs_outbox *outbox, cs_call_type type, const char *address,
               const char *path, json_t *body, int64_t deadline_us,
               cs_call_done done, void *user_data)
{
    cs_call *call = g_new0(cs_call, 1);

    call->type = type;
    g_strlcpy(call->address, address ? address : "", sizeof(call->address));
    g_strlcpy(call->path, path, sizeof(call->path));
    call->body = body;
    call->deadline_us = deadline_us;
    call->done = done;
    call->user_data = user_data;
    g_queue_push_tail(&outbox->calls, call);
}

cs_call *
cs_outbox_pop(cs_outbox *outbox)
{
    return g_queue_pop_head(&outbox->calls);
}

void
cs_call_finish(cs_call *call, int code, const json_t *reply)
{
    call->done(call->user_data, code, reply);
    cs_call_drop(call);
}

void
cs_call_drop(cs_call *call)
{
    json_decref(call->body);
    g_free(call);
}
