#include "corianderstair/http_client.h"
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"

#include <libwebsockets.h>
#include <string.h>

#define MAX_SLOTS 64
#define RESPONSE_MAX_BYTES ((size_t)64 << 20)
#define IDLE_CONNECTION_S 60
/* A fallback only: each call has an earlier deadline of its own. */
#define IO_TIMEOUT_S 3600
#define MAX_QUEUED_CALLS 20000
/* A value is the id of a worker at the longest, which has up to 200 bytes. */
#define HEADER_VALUE_BYTES 208

/*
 * libwebsockets queues the calls of one virtual host to one address on a
 * single connection. Each connection slot has a virtual host of its own, so
 * that concurrent calls use separate connections and no response waits behind
 * another.
 */
struct slot {
    struct lws_vhost *vhost;
    char name[16];
};

struct cs_http_client {
    struct lws_context *context;
    struct lws_protocols protocols[2];
    struct slot slots[MAX_SLOTS];
    uint32_t slot_count;
    GHashTable *targets;   /* "IP:PORT" to struct target */
    GHashTable *completed; /* set of struct call, to be freed by on_release */
    /* Set of struct lws without a call: idle, or replaced by a call that
       reuses its socket. */
    GHashTable *detached;
    uint32_t open_calls;   /* calls whose done callback has not run */
    uint32_t queued_count; /* open calls without a slot, of all targets */
    bool closing;
};

/* An address with its connection slots and the calls waiting for one. */
struct target {
    char ip[32];
    uint16_t port;
    char address[48];
    uint64_t busy_slots; /* bit i is set while a call occupies slot i */
    GQueue queued_calls; /* of struct call */
};

struct call {
    cs_http_client *client;
    struct target *target;
    struct lws *wsi; /* NULL while there is no connection */
    int32_t slot;    /* -1 while queued */
    char method[8];
    char path[512];
    char if_match[64];
    char host[96]; /* empty for the target's address */
    char content_type[48];
    char header_names[CS_HTTP_MAX_CALL_HEADERS][32];
    char header_values[CS_HTTP_MAX_CALL_HEADERS][HEADER_VALUE_BYTES];
    GString *body;
    GString *response;
    int status;
    cs_http_chunk_handler on_chunk; /* NULL to collect the body in response */
    cs_http_done done;
    void *user_data;
    int64_t deadline_us;          /* of the whole call */
    int64_t progress_deadline_us; /* moves while bytes arrive; 0 none */
    int64_t progress_us;          /* by which it moves */
    size_t max_response_bytes;
    guint timer;       /* source of on_deadline, later of on_release */
    guint body_source; /* source of on_body_buffered */
    bool sent;         /* the request may have reached the server */
    bool body_pending; /* the body has not been passed to libwebsockets */
    bool notified;     /* the done callback has run */
    bool connecting;   /* connect_call is running and will release the call */
    bool single_use;   /* uses a connection of its own */
};

static void start_queued_calls(cs_http_client *client, struct target *target);

static void
remove_source(guint *source)
{
    if (*source)
        g_source_remove(*source);
    *source = 0;
}

static void
stop_timer(struct call *call)
{
    remove_source(&call->timer);
}

static void
call_destroy(struct call *call)
{
    stop_timer(call);
    remove_source(&call->body_source);
    g_string_free(call->body, TRUE);
    g_string_free(call->response, TRUE);
    g_free(call);
}

static void
notify_done(struct call *call, int code)
{
    cs_http_response response = {code, call->status, call->response->str,
                                 call->response->len};

    if (call->notified)
        return;
    call->notified = true;
    stop_timer(call);
    call->client->open_calls--;
    call->done(call->user_data, &response);
}

/*
 * Frees a call whose connection is idle or closed, and starts the next queued
 * call on its slot.
 */
static void
release_call(struct call *call)
{
    struct target *target = call->target;
    cs_http_client *client = call->client;

    if (call->slot >= 0)
        target->busy_slots &= ~(UINT64_C(1) << call->slot);
    call_destroy(call);
    if (!client->closing)
        start_queued_calls(client, target);
}

static int
append_extra_headers(struct call *call, struct lws *wsi, unsigned char **pos,
                     unsigned char *end)
{
    uint32_t i;

    if (call->content_type[0] &&
        lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE,
                                     (const unsigned char *)call->content_type,
                                     (int)strlen(call->content_type), pos,
                                     end))
        return -1;
    for (i = 0; i < CS_HTTP_MAX_CALL_HEADERS && call->header_names[i][0];
         i++) {
        if (lws_add_http_header_by_name(
                wsi, (const unsigned char *)call->header_names[i],
                (const unsigned char *)call->header_values[i],
                (int)strlen(call->header_values[i]), pos, end))
            return -1;
    }
    return 0;
}

static int
append_request_headers(struct call *call, struct lws *wsi, unsigned char **pos,
                       unsigned char *end)
{
    char length[24];
    int size;

    /* The connection may come up after the call was reported as not sent. */
    if (call->notified)
        return -1;
    call->sent = true;
    if (call->if_match[0] &&
        lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_IF_MATCH,
                                     (const unsigned char *)call->if_match,
                                     (int)strlen(call->if_match), pos, end))
        return -1;
    if (append_extra_headers(call, wsi, pos, end))
        return -1;
    if (call->body->len == 0 && strcmp(call->method, "POST") != 0 &&
        strcmp(call->method, "PUT") != 0)
        return 0;
    size = g_snprintf(length, sizeof(length), "%zu", call->body->len);
    if (lws_add_http_header_by_token(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
                                     (unsigned char *)length, size, pos, end))
        return -1;
    if (call->body->len > 0) {
        call->body_pending = true;
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
    call->body_pending = false;
    lws_client_http_body_pending(wsi, 0);
    written = lws_write(wsi, buffer + LWS_PRE, call->body->len,
                        LWS_WRITE_HTTP_FINAL);
    g_free(buffer);
    return written < 0 ? -1 : 0;
}

static int
read_body(struct lws *wsi)
{
    char buffer[LWS_PRE + 16384];
    char *start = buffer + LWS_PRE;
    int size = (int)(sizeof(buffer) - LWS_PRE);

    return lws_http_client_read(wsi, &start, &size) < 0 ? -1 : 0;
}

static void
extend_progress_deadline(struct call *call)
{
    if (call->progress_deadline_us)
        call->progress_deadline_us =
            MAX(call->progress_deadline_us,
                cs_clock_boot_us() + call->progress_us);
}

/*
 * libwebsockets keeps what it has received beyond the headers, and passes it
 * on from an idle source of the main loop, which starves while other sources
 * are ready. Serving the connection as if its socket were readable delivers
 * it.
 */
static gboolean
on_body_buffered(gpointer user_data)
{
    struct call *call = user_data;
    struct lws_pollfd pollfd = {.events = LWS_POLLIN, .revents = LWS_POLLIN};

    call->body_source = 0;
    if (call->wsi) {
        pollfd.fd = lws_get_socket_fd(call->wsi);
        lws_service_fd(call->client->context, &pollfd);
    }
    return G_SOURCE_REMOVE;
}

/* Returns whether the response announces a body above the limit. */
static bool
announces_too_much(const struct call *call, struct lws *wsi)
{
    char length[24];

    return !call->on_chunk &&
           lws_hdr_copy(wsi, length, sizeof(length),
                        WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0 &&
           g_ascii_strtoull(length, NULL, 10) > call->max_response_bytes;
}

static int
on_headers_received(struct call *call, struct lws *wsi)
{
    call->status = (int)lws_http_client_http_response(wsi);
    extend_progress_deadline(call);
    if (announces_too_much(call, wsi)) {
        notify_done(call, CS_E_TOO_LARGE);
        return -1;
    }
    if (!call->body_source)
        call->body_source =
            g_idle_add_full(G_PRIORITY_DEFAULT, on_body_buffered, call, NULL);
    return 0;
}

static void
detach_connection(struct call *call, struct lws *wsi)
{
    lws_set_opaque_user_data(wsi, NULL);
    call->wsi = NULL;
    g_hash_table_add(call->client->detached, wsi);
}

static int
receive_body(struct call *call, const char *bytes, size_t size)
{
    extend_progress_deadline(call);
    if (call->on_chunk) {
        call->on_chunk(call->user_data, bytes, size);
        return 0;
    }
    if (call->response->len + size > call->max_response_bytes) {
        notify_done(call, CS_E_TOO_LARGE);
        return -1;
    }
    g_string_append_len(call->response, bytes, (gssize)size);
    return 0;
}

static void
on_disconnected(struct call *call, struct lws *wsi)
{
    lws_set_opaque_user_data(wsi, NULL);
    call->wsi = NULL;
    notify_done(call, call->sent ? CS_E_CUT : CS_E_CONNECT);
    if (!call->connecting)
        release_call(call);
}

static gboolean
on_release(gpointer user_data)
{
    struct call *call = user_data;

    call->timer = 0;
    g_hash_table_remove(call->client->completed, call);
    release_call(call);
    return G_SOURCE_REMOVE;
}

/*
 * The connection becomes idle, and thus reusable, only after this callback
 * has returned 0, so the slot is released from the main loop. Returning -1
 * closes the connection. A server that has answered before it received the
 * whole body would read the next request as the rest of it.
 */
static int
on_response_complete(struct call *call, struct lws *wsi)
{
    bool close =
        call->single_use || call->body_pending || lws_partial_buffered(wsi);

    detach_connection(call, wsi);
    notify_done(call, 0);
    call->timer = g_idle_add_full(G_PRIORITY_DEFAULT, on_release, call, NULL);
    g_hash_table_add(call->client->completed, call);
    return close ? -1 : 0;
}

static void
remove_detached(struct lws *wsi)
{
    cs_http_client *client = lws_get_protocol(wsi)->user;

    g_hash_table_remove(client->detached, wsi);
}

static int
client_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                void *in, size_t len)
{
    struct call *call = lws_get_opaque_user_data(wsi);

    if (reason == LWS_CALLBACK_WSI_DESTROY)
        remove_detached(wsi);
    if (!call)
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return append_request_headers(call, wsi, in,
                                      *(unsigned char **)in + len);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return write_body(call, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return on_headers_received(call, wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return read_body(wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return receive_body(call, in, len);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        return on_response_complete(call, wsi);
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        on_disconnected(call, wsi);
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
}

static gboolean on_deadline(gpointer user_data);

/* Returns the boot clock at which the call ends if no further bytes arrive. */
static int64_t
next_deadline_us(const struct call *call)
{
    return call->progress_deadline_us
               ? MIN(call->progress_deadline_us, call->deadline_us)
               : call->deadline_us;
}

static void
start_timer(struct call *call)
{
    int64_t remaining_us =
        MAX(next_deadline_us(call) - cs_clock_boot_us(), CS_MS_US);

    call->timer =
        g_timeout_add((guint)(remaining_us / CS_MS_US) + 1, on_deadline, call);
}

/*
 * Deadlines use GLib timers, because libwebsockets notices a timer that is
 * set outside its callbacks only at its next event, which may be far off.
 */
static gboolean
on_deadline(gpointer user_data)
{
    struct call *call = user_data;

    call->timer = 0;
    if (next_deadline_us(call) > cs_clock_boot_us()) {
        start_timer(call);
        return G_SOURCE_REMOVE;
    }
    if (call->slot < 0) {
        g_queue_remove(&call->target->queued_calls, call);
        call->client->queued_count--;
        notify_done(call, CS_E_OVERLOAD);
        call_destroy(call);
        return G_SOURCE_REMOVE;
    }
    notify_done(call, call->sent ? CS_E_TIMEOUT : CS_E_CONNECT);
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
    info.vhost = client->slots[call->slot].vhost;
    info.address = target->ip;
    /* libwebsockets compares the address with the host to find an idle
       connection to reuse. */
    info.host = call->host[0] ? call->host : target->ip;
    info.port = target->port;
    info.path = call->path;
    info.method = call->method;
    info.protocol = "client";
    info.local_protocol_name = "client";
    if (!call->single_use) {
        info.ssl_connection = LCCSCF_PIPELINE;
        info.keep_warm_secs = IDLE_CONNECTION_S;
    }
    info.opaque_user_data = call;
    info.pwsi = &call->wsi;
    call->connecting = true;
    if (!lws_client_connect_via_info(&info)) {
        call->wsi = NULL;
        notify_done(call, CS_E_CONNECT);
    }
    call->connecting = false;
    if (call->notified && !call->wsi)
        release_call(call);
}

static int32_t
find_free_slot(const cs_http_client *client, const struct target *target)
{
    uint32_t i;

    for (i = 0; i < client->slot_count; i++) {
        if (!(target->busy_slots & (UINT64_C(1) << i)))
            return (int32_t)i;
    }
    return -1;
}

static void
start_queued_calls(cs_http_client *client, struct target *target)
{
    struct call *call;
    int32_t slot;

    while (!g_queue_is_empty(&target->queued_calls)) {
        slot = find_free_slot(client, target);
        if (slot < 0)
            return;
        call = g_queue_pop_head(&target->queued_calls);
        client->queued_count--;
        call->slot = slot;
        target->busy_slots |= UINT64_C(1) << slot;
        connect_call(call);
    }
}

static void
target_destroy(gpointer value)
{
    struct target *target = value;

    g_queue_clear(&target->queued_calls);
    g_free(target);
}

static int
get_target(struct target **out, cs_http_client *client, const char *address)
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
        g_queue_init(&target->queued_calls);
        g_strlcpy(target->address, address, sizeof(target->address));
        g_hash_table_insert(client->targets, target->address, target);
    }
    *out = target;
    return 0;
}

static int
create_slots(cs_http_client *client)
{
    uint32_t i;

    for (i = 0; i < client->slot_count; i++) {
        struct lws_context_creation_info info = {0};
        struct slot *slot = &client->slots[i];

        g_snprintf(slot->name, sizeof(slot->name), "slot%u", i);
        info.port = CONTEXT_PORT_NO_LISTEN;
        info.protocols = client->protocols;
        info.vhost_name = slot->name;
        info.timeout_secs = IO_TIMEOUT_S;
        slot->vhost = lws_create_vhost(client->context, &info);
        if (!slot->vhost)
            return cs_error_set(CS_E_SYSTEM,
                                "cannot create the virtual host of HTTP "
                                "connection slot %u",
                                i);
    }
    return 0;
}

int
cs_http_client_create(cs_http_client **out, cs_net *net,
                      uint32_t max_connections)
{
    cs_http_client *client = g_new0(cs_http_client, 1);
    int rc;

    client->context = cs_net_lws_context(net);
    client->slot_count = MIN(max_connections, (uint32_t)MAX_SLOTS);
    client->protocols[0].name = "client";
    client->protocols[0].callback = client_callback;
    client->protocols[0].user = client;
    client->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_destroy);
    client->completed = g_hash_table_new(g_direct_hash, g_direct_equal);
    client->detached = g_hash_table_new(g_direct_hash, g_direct_equal);
    rc = create_slots(client);
    if (rc) {
        cs_http_client_destroy(client);
        return rc;
    }
    *out = client;
    return 0;
}

static void
fail_queued_calls(struct target *target)
{
    struct call *call;

    while ((call = g_queue_pop_head(&target->queued_calls)) != NULL) {
        notify_done(call, CS_E_CONNECT);
        call_destroy(call);
    }
}

/*
 * Destroys the connections that have no call. A call that reuses an idle
 * connection takes over its socket at once, but libwebsockets destroys the
 * replaced connection object only in the next iteration of the main loop.
 * Destroying the context before that would leak the object.
 */
static void
close_detached(cs_http_client *client)
{
    GList *detached = g_hash_table_get_keys(client->detached);
    GList *node;

    for (node = detached; node; node = node->next)
        lws_set_timeout(node->data, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
    g_list_free(detached);
}

void
cs_http_client_close(cs_http_client *client)
{
    GHashTableIter iter;
    gpointer target;

    client->closing = true;
    close_detached(client);
    g_hash_table_iter_init(&iter, client->targets);
    while (g_hash_table_iter_next(&iter, NULL, &target))
        fail_queued_calls(target);
}

void
cs_http_client_destroy(cs_http_client *client)
{
    GHashTableIter iter;
    gpointer call;

    if (!client)
        return;
    g_hash_table_iter_init(&iter, client->completed);
    while (g_hash_table_iter_next(&iter, &call, NULL))
        call_destroy(call);
    g_hash_table_destroy(client->completed);
    g_hash_table_destroy(client->detached);
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
    if (params->content_type)
        g_strlcpy(call->content_type, params->content_type,
                  sizeof(call->content_type));
    for (i = 0; i < CS_HTTP_MAX_CALL_HEADERS && params->headers[i].name; i++) {
        g_strlcpy(call->header_names[i], params->headers[i].name,
                  sizeof(call->header_names[i]));
        g_strlcpy(call->header_values[i], params->headers[i].value,
                  sizeof(call->header_values[i]));
    }
}

int
cs_http_client_start(cs_http_client *client, const cs_http_call *params)
{
    struct target *target;
    struct call *call;
    int rc;

    rc = get_target(&target, client, params->address);
    if (rc)
        return rc;
    if (client->closing)
        return cs_error_set(CS_E_DRAINING, "the HTTP client is closed");
    if (client->queued_count >= MAX_QUEUED_CALLS)
        return cs_error_set(CS_E_OVERLOAD,
                            "the HTTP call queue is full; call to %s refused",
                            params->address);
    call = g_new0(struct call, 1);
    call->client = client;
    call->target = target;
    call->slot = -1;
    g_strlcpy(call->method, params->method, sizeof(call->method));
    g_strlcpy(call->path, params->path, sizeof(call->path));
    copy_headers(call, params);
    call->body = g_string_new_len(params->body, (gssize)params->size_bytes);
    call->response = g_string_new(NULL);
    call->on_chunk = params->on_chunk;
    call->done = params->done;
    call->user_data = params->user_data;
    call->deadline_us = params->deadline_us;
    call->progress_deadline_us = params->progress_deadline_us;
    call->progress_us = params->progress_us;
    call->max_response_bytes = params->max_response_bytes
                                   ? params->max_response_bytes
                                   : RESPONSE_MAX_BYTES;
    call->single_use = params->single_use;
    client->open_calls++;
    client->queued_count++;
    start_timer(call);
    g_queue_push_tail(&target->queued_calls, call);
    start_queued_calls(client, target);
    return 0;
}

/* A call that could not be started and whose done callback has not run. */
struct failed_call {
    cs_http_done done;
    void *user_data;
};

static gboolean
report_failed_start(gpointer user_data)
{
    struct failed_call *failed = user_data;
    cs_http_response response = {.code = CS_E_CONNECT, .body = ""};

    failed->done(failed->user_data, &response);
    g_free(failed);
    return G_SOURCE_REMOVE;
}

void
cs_http_client_call(cs_http_client *client, const cs_http_call *call)
{
    struct failed_call *failed;

    if (cs_http_client_start(client, call) == 0)
        return;
    failed = g_new0(struct failed_call, 1);
    failed->done = call->done;
    failed->user_data = call->user_data;
    g_idle_add(report_failed_start, failed);
}

uint32_t
cs_http_client_open_calls(const cs_http_client *client)
{
    return client->open_calls;
}
