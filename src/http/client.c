#include "corianderstair/http_client.h"
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"

#include <libwebsockets.h>
#include <string.h>

#define MAX_LANES 64
#define ANSWER_MAX_BYTES ((size_t)64 << 20)
#define KEEP_WARM_S 60
#define CALL_MAX_S 3600 /* calls have deadlines of their own */
#define QUEUE_MAX 20000

/*
 * libwebsockets queues calls of one virtual host and address on a single
 * connection. Each lane is a virtual host, so that concurrent calls get a
 * connection each and no answer waits behind another.
 */
struct lane {
    struct lws_vhost *vhost;
    char name[16];
};

struct cs_http_client {
    struct lws_context *context;
    struct lws_protocols protocols[2];
    struct lane lanes[MAX_LANES];
    uint32_t lane_count;
    GHashTable *targets;
    GHashTable *ended; /* set of struct call, told and not released yet */
    GHashTable *used; /* set of struct lws without a call: idle, or replaced */
    uint32_t open_calls;
    uint32_t queued;
    bool closing;
};

struct target {
    char ip[32];
    uint16_t port;
    char address[48];
    uint64_t busy; /* a bit for each lane with a call on it */
    GQueue waiting;
};

struct call {
    cs_http_client *client;
    struct target *target;
    struct lws *wsi;
    int32_t lane; /* -1 while waiting */
    char method[8];
    char path[512];
    char if_match[64];
    char host[96]; /* empty for the address */
    char type[48];
    char names[CS_HTTP_CALL_HEADERS][32];
    char values[CS_HTTP_CALL_HEADERS][96];
    GString *body;
    GString *answer;
    int status;
    cs_http_piece piece;
    cs_http_done done;
    void *data;
    int64_t deadline_us;
    guint timer; /* of the deadline, then of the release */
    bool sent;
    bool ended;
    bool connecting;
    bool once;
};

static void start_waiting(cs_http_client *client, struct target *target);

static void
stop_timer(struct call *call)
{
    if (call->timer)
        g_source_remove(call->timer);
    call->timer = 0;
}

static void
call_destroy(struct call *call)
{
    stop_timer(call);
    g_string_free(call->body, TRUE);
    g_string_free(call->answer, TRUE);
    g_free(call);
}

static void
tell_end(struct call *call, int code)
{
    cs_http_answer answer = {code, call->status, call->answer->str,
                             call->answer->len};

    if (call->ended)
        return;
    call->ended = true;
    stop_timer(call);
    call->client->open_calls--;
    call->done(call->data, &answer);
}

/* Gives the lane back once the connection is idle or gone. */
static void
release(struct call *call)
{
    struct target *target = call->target;
    cs_http_client *client = call->client;

    if (call->lane >= 0)
        target->busy &= ~(UINT64_C(1) << call->lane);
    call_destroy(call);
    if (!client->closing)
        start_waiting(client, target);
}

static int
append_added(struct call *call, struct lws *wsi, unsigned char **p,
             unsigned char *end)
{
    uint32_t i;

    if (call->type[0] &&
        lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE,
                                     (const unsigned char *)call->type,
                                     (int)strlen(call->type), p, end))
        return -1;
    for (i = 0; i < CS_HTTP_CALL_HEADERS && call->names[i][0]; i++) {
        if (lws_add_http_header_by_name(wsi,
                                        (const unsigned char *)call->names[i],
                                        (const unsigned char *)call->values[i],
                                        (int)strlen(call->values[i]), p, end))
            return -1;
    }
    return 0;
}

static int
append_headers(struct call *call, struct lws *wsi, unsigned char **p,
               unsigned char *end)
{
    char length[24];
    int size;

    /* A call that was told as not sent may still find a connection. */
    if (call->ended)
        return -1;
    call->sent = true;
    if (call->if_match[0] &&
        lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_IF_MATCH,
                                     (const unsigned char *)call->if_match,
                                     (int)strlen(call->if_match), p, end))
        return -1;
    if (append_added(call, wsi, p, end))
        return -1;
    if (call->body->len == 0 && strcmp(call->method, "POST") != 0 &&
        strcmp(call->method, "PUT") != 0)
        return 0;
    size = g_snprintf(length, sizeof(length), "%zu", call->body->len);
    if (lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
                                     (unsigned char *)length, size, p, end))
        return -1;
    if (call->body->len > 0) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    return 0;
}

static int
write_body(struct call *call, struct lws *wsi)
{
    unsigned char *buffer;
    int written;

    if (call->body->len == 0)
        return 0;
    buffer = g_malloc(LWS_PRE + call->body->len);
    memcpy(buffer + LWS_PRE, call->body->str, call->body->len);
    lws_client_http_body_pending(wsi, 0);
    written = lws_write(wsi, buffer + LWS_PRE, call->body->len,
                        LWS_WRITE_HTTP_FINAL);
    g_free(buffer);
    return written < 0 ? -1 : 0;
}

static int
read_more(struct lws *wsi)
{
    char buffer[LWS_PRE + 16384];
    char *start = buffer + LWS_PRE;
    int size = (int)(sizeof(buffer) - LWS_PRE);

    return lws_http_client_read(wsi, &start, &size) < 0 ? -1 : 0;
}

static void
set_used(struct call *call, struct lws *wsi)
{
    lws_set_opaque_user_data(wsi, NULL);
    call->wsi = NULL;
    g_hash_table_add(call->client->used, wsi);
}

static int
keep_answer(struct call *call, const char *bytes, size_t size)
{
    if (call->piece) {
        call->piece(call->data, bytes, size);
        return 0;
    }
    if (call->answer->len + size > ANSWER_MAX_BYTES) {
        tell_end(call, CS_E_TOO_LARGE);
        return -1;
    }
    g_string_append_len(call->answer, bytes, (gssize)size);
    return 0;
}

static void
on_gone(struct call *call, struct lws *wsi)
{
    lws_set_opaque_user_data(wsi, NULL);
    call->wsi = NULL;
    tell_end(call, call->sent ? CS_E_CUT : CS_E_CONNECT);
    if (!call->connecting)
        release(call);
}

static gboolean
on_idle(gpointer data)
{
    struct call *call = data;

    call->timer = 0;
    g_hash_table_remove(call->client->ended, call);
    release(call);
    return G_SOURCE_REMOVE;
}

/* The connection becomes idle, and so reusable, after this callback, unless
   it returns -1. */
static int
on_completed(struct call *call, struct lws *wsi)
{
    set_used(call, wsi);
    tell_end(call, 0);
    call->timer = g_idle_add_full(G_PRIORITY_DEFAULT, on_idle, call, NULL);
    g_hash_table_add(call->client->ended, call);
    return call->once ? -1 : 0;
}

static void
forget_used(struct lws *wsi)
{
    cs_http_client *client = lws_get_protocol(wsi)->user;

    g_hash_table_remove(client->used, wsi);
}

static int
client_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                void *in, size_t len)
{
    struct call *call = lws_get_opaque_user_data(wsi);

    if (reason == LWS_CALLBACK_WSI_DESTROY)
        forget_used(wsi);
    if (!call)
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return append_headers(call, wsi, in, *(unsigned char **)in + len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return write_body(call, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        call->status = (int)lws_http_client_http_response(wsi);
        return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return read_more(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return keep_answer(call, in, len);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        return on_completed(call, wsi);
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        on_gone(call, wsi);
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
}

/*
 * Deadlines are GLib's: the library takes note of a timer that is set outside
 * its own callbacks only at its next event, which may be far off.
 */
static gboolean
on_deadline(gpointer data)
{
    struct call *call = data;

    call->timer = 0;
    if (call->lane < 0) {
        g_queue_remove(&call->target->waiting, call);
        call->client->queued--;
        tell_end(call, CS_E_OVERLOAD);
        call_destroy(call);
        return G_SOURCE_REMOVE;
    }
    tell_end(call, call->sent ? CS_E_TIMEOUT : CS_E_CONNECT);
    if (call->wsi) {
        lws_set_timeout(call->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        lws_cancel_service(call->client->context);
    }
    return G_SOURCE_REMOVE;
}

static void
connect_call(struct call *call)
{
    struct lws_client_connect_info info = {0};
    struct target *target = call->target;
    cs_http_client *client = call->client;

    info.context = client->context;
    info.vhost = client->lanes[call->lane].vhost;
    info.address = target->ip;
    /* An idle connection is found by comparing the address with the host. */
    info.host = call->host[0] ? call->host : target->ip;
    info.port = target->port;
    info.path = call->path;
    info.method = call->method;
    info.protocol = "client";
    info.local_protocol_name = "client";
    if (!call->once) {
        info.ssl_connection = LCCSCF_PIPELINE;
        info.keep_warm_secs = KEEP_WARM_S;
    }
    info.opaque_user_data = call;
    info.pwsi = &call->wsi;
    call->connecting = true;
    if (!lws_client_connect_via_info(&info)) {
        call->wsi = NULL;
        tell_end(call, CS_E_CONNECT);
    }
    call->connecting = false;
    if (call->ended && !call->wsi)
        release(call);
}

static int32_t
free_lane(const cs_http_client *client, const struct target *target)
{
    uint32_t i;

    for (i = 0; i < client->lane_count; i++) {
        if (!(target->busy & (UINT64_C(1) << i)))
            return (int32_t)i;
    }
    return -1;
}

static void
start_waiting(cs_http_client *client, struct target *target)
{
    struct call *call;
    int32_t lane;

    while (!g_queue_is_empty(&target->waiting)) {
        lane = free_lane(client, target);
        if (lane < 0)
            return;
        call = g_queue_pop_head(&target->waiting);
        client->queued--;
        call->lane = lane;
        target->busy |= UINT64_C(1) << lane;
        connect_call(call);
    }
}

static void
target_destroy(gpointer data)
{
    struct target *target = data;

    g_queue_clear(&target->waiting);
    g_free(target);
}

static int
find_target(struct target **out, cs_http_client *client, const char *address)
{
    struct target *target = g_hash_table_lookup(client->targets, address);
    int rc;

    if (!target) {
        target = g_new0(struct target, 1);
        rc = cs_address_split(target->ip, sizeof(target->ip), &target->port,
                              address);
        if (rc) {
            g_free(target);
            return rc;
        }
        g_queue_init(&target->waiting);
        g_strlcpy(target->address, address, sizeof(target->address));
        g_hash_table_insert(client->targets, target->address, target);
    }
    *out = target;
    return 0;
}

static int
create_lanes(cs_http_client *client)
{
    uint32_t i;

    for (i = 0; i < client->lane_count; i++) {
        struct lws_context_creation_info info = {0};
        struct lane *lane = &client->lanes[i];

        g_snprintf(lane->name, sizeof(lane->name), "lane%u", i);
        info.port = CONTEXT_PORT_NO_LISTEN;
        info.protocols = client->protocols;
        info.vhost_name = lane->name;
        info.timeout_secs = CALL_MAX_S;
        lane->vhost = lws_create_vhost(client->context, &info);
        if (!lane->vhost)
            return cs_error_set(CS_E_SYSTEM, "no virtual host for a client");
    }
    return 0;
}

int
cs_http_client_create(cs_http_client **out, cs_net *net, uint32_t connections)
{
    cs_http_client *client = g_new0(cs_http_client, 1);
    int rc;

    client->context = cs_net_context(net);
    client->lane_count = MIN(connections, (uint32_t)MAX_LANES);
    client->protocols[0].name = "client";
    client->protocols[0].callback = client_callback;
    client->protocols[0].user = client;
    client->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_destroy);
    client->ended = g_hash_table_new(g_direct_hash, g_direct_equal);
    client->used = g_hash_table_new(g_direct_hash, g_direct_equal);
    rc = create_lanes(client);
    if (rc) {
        cs_http_client_destroy(client);
        return rc;
    }
    *out = client;
    return 0;
}

static void
end_waiting(struct target *target)
{
    struct call *call;

    while ((call = g_queue_pop_head(&target->waiting)) != NULL) {
        tell_end(call, CS_E_CONNECT);
        call_destroy(call);
    }
}

/*
 * A call that reuses an idle connection takes its socket over at once, and
 * libwebsockets destroys the replaced object only in the next turn of the
 * loop. Destroying the context before that turn would leak the object.
 */
static void
close_used(cs_http_client *client)
{
    GList *used = g_hash_table_get_keys(client->used);
    GList *at;

    for (at = used; at; at = at->next)
        lws_set_timeout(at->data, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
    g_list_free(used);
}

void
cs_http_client_close(cs_http_client *client)
{
    GHashTableIter iter;
    gpointer target;

    client->closing = true;
    close_used(client);
    g_hash_table_iter_init(&iter, client->targets);
    while (g_hash_table_iter_next(&iter, NULL, &target))
        end_waiting(target);
}

void
cs_http_client_destroy(cs_http_client *client)
{
    GHashTableIter iter;
    gpointer call;

    if (!client)
        return;
    g_hash_table_iter_init(&iter, client->ended);
    while (g_hash_table_iter_next(&iter, &call, NULL))
        call_destroy(call);
    g_hash_table_destroy(client->ended);
    g_hash_table_destroy(client->used);
    g_hash_table_destroy(client->targets);
    g_free(client);
}

static void
copy_headers(struct call *call, const cs_http_call *params)
{
    uint32_t i;

    if (params->host)
        g_strlcpy(call->host, params->host, sizeof(call->host));
    if (params->if_match)
        g_strlcpy(call->if_match, params->if_match, sizeof(call->if_match));
    if (params->type)
        g_strlcpy(call->type, params->type, sizeof(call->type));
    for (i = 0; i < CS_HTTP_CALL_HEADERS && params->headers[i].name; i++) {
        g_strlcpy(call->names[i], params->headers[i].name,
                  sizeof(call->names[i]));
        g_strlcpy(call->values[i], params->headers[i].value,
                  sizeof(call->values[i]));
    }
}

int
cs_http_client_start(cs_http_client *client, const cs_http_call *params)
{
    struct target *target;
    struct call *call;
    int64_t left_us;
    int rc;

    rc = find_target(&target, client, params->address);
    if (rc)
        return rc;
    if (client->closing)
        return cs_error_set(CS_E_DRAINING, "the client is closed");
    if (client->queued >= QUEUE_MAX)
        return cs_error_set(CS_E_OVERLOAD, "too many calls wait for %s",
                            params->address);
    call = g_new0(struct call, 1);
    call->client = client;
    call->target = target;
    call->lane = -1;
    g_strlcpy(call->method, params->method, sizeof(call->method));
    g_strlcpy(call->path, params->path, sizeof(call->path));
    copy_headers(call, params);
    call->body = g_string_new_len(params->body, (gssize)params->size_bytes);
    call->answer = g_string_new(NULL);
    call->piece = params->piece;
    call->done = params->done;
    call->data = params->data;
    call->deadline_us = params->deadline_us;
    call->once = params->once;
    client->open_calls++;
    client->queued++;
    left_us = MAX(params->deadline_us - cs_clock_boot_us(), CS_MS_US);
    call->timer =
        g_timeout_add((guint)(left_us / CS_MS_US) + 1, on_deadline, call);
    g_queue_push_tail(&target->waiting, call);
    start_waiting(client, target);
    return 0;
}

struct refused {
    cs_http_done done;
    void *data;
};

static gboolean
tell_refused(gpointer data)
{
    struct refused *refused = data;
    cs_http_answer answer = {.code = CS_E_CONNECT, .body = ""};

    refused->done(refused->data, &answer);
    g_free(refused);
    return G_SOURCE_REMOVE;
}

void
cs_http_client_call(cs_http_client *client, const cs_http_call *call)
{
    struct refused *refused;

    if (cs_http_client_start(client, call) == 0)
        return;
    refused = g_new0(struct refused, 1);
    refused->done = call->done;
    refused->data = call->data;
    g_idle_add(tell_refused, refused);
}

uint32_t
cs_http_client_open(const cs_http_client *client)
{
    return client->open_calls;
}
