#include "corianderstair/http_server.h"
#include "corianderstair/errors.h"

#include <arpa/inet.h>
#include <libwebsockets.h>
#include <string.h>
#include <sys/socket.h>

#define HEADER_BUFFER_BYTES 1024
#define WRITE_CHUNK_BYTES 32768
#define STREAM_QUEUE_MAX_BYTES ((size_t)4 << 20)
#define REQUEST_READ_TIMEOUT_S 20
#define KEEPALIVE_TIMEOUT_S 75
/* Listening sockets are opened at the start of the process, so that their
   descriptors are below this limit. */
#define MAX_LISTENING_FD 256

struct cs_http_server {
    struct lws_vhost *vhost;
    const char *deadline_header; /* NULL for none */
    struct lws_protocols protocols[2];
    cs_http_handler handler;
    void *user_data;
    uint32_t open_requests;
    bool keepalive_disabled; /* each response closes its connection */
};

typedef enum {
    REQUEST_READING,  /* its body is being received */
    REQUEST_HANDLED,  /* passed to the handler, not answered yet */
    REQUEST_WRITING,  /* its complete response is being sent */
    REQUEST_STREAMING /* its streamed response is being sent */
} request_state;

struct cs_http_request {
    cs_http_server *server;
    struct lws *wsi; /* NULL after the caller has disconnected */
    request_state state;
    const char *method;
    char path[512];
    char query[512];
    char if_match[64];
    char host[128];
    char authorization[160];
    int64_t deadline_ms;    /* 0 if the caller sent none */
    uint32_t retry_after_s; /* 0 to send no Retry-After */
    GString *body;
    bool too_large; /* the body exceeds CS_HTTP_BODY_MAX_BYTES */
    int status;
    char content_type[64];
    GString *response; /* the response body, or the queued part of a stream */
    size_t written;    /* bytes of response that were sent */
    bool headers_sent;
    bool close_connection; /* the response carries "Connection: close" */
    bool stream_ended;     /* nothing will be appended to the stream */
    cs_http_stream_closed stream_closed;
    void *stream_closed_data;
};

/* Per-connection data of libwebsockets. */
struct session {
    cs_http_request *request; /* NULL between requests */
};

static const struct {
    enum lws_token_indexes token;
    const char *method;
} methods[] = {
    {WSI_TOKEN_GET_URI, "GET"},         {WSI_TOKEN_POST_URI, "POST"},
    {WSI_TOKEN_PUT_URI, "PUT"},         {WSI_TOKEN_DELETE_URI, "DELETE"},
    {WSI_TOKEN_HEAD_URI, "HEAD"},       {WSI_TOKEN_PATCH_URI, "PATCH"},
    {WSI_TOKEN_OPTIONS_URI, "OPTIONS"},
};

static const char *
find_method(struct lws *wsi)
{
    size_t i;

    for (i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
        if (lws_hdr_total_length(wsi, methods[i].token) > 0)
            return methods[i].method;
    }
    return "OTHER";
}

static void
read_if_match(cs_http_request *request, struct lws *wsi)
{
    char text[64] = "";
    char *start = text;
    size_t length;

    if (lws_hdr_copy(wsi, text, sizeof(text), WSI_TOKEN_HTTP_IF_MATCH) <= 0)
        return;
    if (*start == '"')
        start++;
    length = strlen(start);
    if (length > 0 && start[length - 1] == '"')
        start[length - 1] = '\0';
    g_strlcpy(request->if_match, start, sizeof(request->if_match));
}

static void
read_caller_headers(cs_http_request *request, struct lws *wsi)
{
    const char *deadline = request->server->deadline_header;
    char text[24] = "";
    char *port;

    if (lws_hdr_copy(wsi, request->host, sizeof(request->host),
                     WSI_TOKEN_HOST) <= 0)
        request->host[0] = '\0';
    port = strchr(request->host, ':');
    if (port)
        *port = '\0';
    if (lws_hdr_copy(wsi, request->authorization,
                     sizeof(request->authorization),
                     WSI_TOKEN_HTTP_AUTHORIZATION) <= 0)
        request->authorization[0] = '\0';
    if (deadline && lws_hdr_custom_copy(wsi, text, sizeof(text), deadline,
                                        (int)strlen(deadline)) > 0)
        request->deadline_ms = g_ascii_strtoll(text, NULL, 10);
}

static void
read_query(cs_http_request *request, struct lws *wsi)
{
    char argument[256];
    int i;

    for (i = 0; lws_hdr_copy_fragment(wsi, argument, sizeof(argument),
                                      WSI_TOKEN_HTTP_URI_ARGS, i) >= 0;
         i++) {
        if (i)
            g_strlcat(request->query, "&", sizeof(request->query));
        g_strlcat(request->query, argument, sizeof(request->query));
    }
}

static cs_http_request *
request_create(cs_http_server *server, struct lws *wsi, const char *path)
{
    cs_http_request *request = g_new0(cs_http_request, 1);

    request->server = server;
    request->wsi = wsi;
    request->method = find_method(wsi);
    request->body = g_string_new(NULL);
    request->response = g_string_new(NULL);
    g_strlcpy(request->path, path, sizeof(request->path));
    read_query(request, wsi);
    read_if_match(request, wsi);
    read_caller_headers(request, wsi);
    server->open_requests++;
    return request;
}

static void
request_destroy(cs_http_request *request)
{
    request->server->open_requests--;
    g_string_free(request->body, TRUE);
    g_string_free(request->response, TRUE);
    g_free(request);
}

/*
 * Stops and resumes reading from the connection of a request. libwebsockets
 * does not read while the request is with the handler, but goes on waiting for
 * input: once the caller has left, its main loop source is always ready, which
 * takes a full core and starves the sources of lower priority. A connection
 * that does not read does not write either, so it resumes for the response.
 */
static void
stop_reading(const cs_http_request *request)
{
    lws_rx_flow_control(request->wsi, 0);
}

static void
resume_reading(const cs_http_request *request)
{
    lws_rx_flow_control(request->wsi, 1);
}

static void
dispatch_request(cs_http_request *request)
{
    static const char too_large[] =
        "{\"code\":-103,\"name\":\"too-large\",\"message\":\"the body is "
        "larger than 1048576 bytes\",\"run\":\"not-run\"}\n";

    if (request->state != REQUEST_READING)
        return;
    request->state = REQUEST_HANDLED;
    lws_set_timeout(request->wsi, NO_PENDING_TIMEOUT, 0);
    if (request->too_large) {
        cs_http_reply(request, 413, "application/json", too_large,
                      sizeof(too_large) - 1);
        return;
    }
    stop_reading(request);
    request->server->handler(request, request->server->user_data);
}

static bool
expects_body(struct lws *wsi, const char *method)
{
    char length[24] = "";

    if (strcmp(method, "POST") != 0 && strcmp(method, "PUT") != 0 &&
        strcmp(method, "PATCH") != 0)
        return false;
    lws_hdr_copy(wsi, length, sizeof(length), WSI_TOKEN_HTTP_CONTENT_LENGTH);
    return length[0] && strcmp(length, "0") != 0;
}

static void
on_body(cs_http_request *request, const char *bytes, size_t size)
{
    if (request->body->len + size > CS_HTTP_BODY_MAX_BYTES) {
        request->too_large = true;
        return;
    }
    g_string_append_len(request->body, bytes, (gssize)size);
}

static int
write_retry_after(cs_http_request *request, unsigned char **pos,
                  unsigned char *end)
{
    char text[16];

    if (request->retry_after_s == 0)
        return 0;
    g_snprintf(text, sizeof(text), "%u", request->retry_after_s);
    return lws_add_http_header_by_token(
        request->wsi, WSI_TOKEN_HTTP_RETRY_AFTER, (const unsigned char *)text,
        (int)strlen(text), pos, end);
}

static int
write_headers(cs_http_request *request)
{
    unsigned char buffer[LWS_PRE + HEADER_BUFFER_BYTES];
    unsigned char *start = buffer + LWS_PRE;
    unsigned char *pos = start;
    unsigned char *end = buffer + sizeof(buffer) - 1;
    lws_filepos_t length = LWS_ILLEGAL_HTTP_CONTENT_LEN;

    if (request->state == REQUEST_WRITING)
        length = request->response->len;
    if (lws_add_http_common_headers(request->wsi,
                                    (unsigned int)request->status,
                                    request->content_type, length, &pos, end))
        return -1;
    if (write_retry_after(request, &pos, end))
        return -1;
    request->close_connection = request->server->keepalive_disabled;
    if (request->close_connection &&
        lws_add_http_header_by_token(request->wsi, WSI_TOKEN_CONNECTION,
                                     (const unsigned char *)"close", 5, &pos,
                                     end))
        return -1;
    if (lws_finalize_write_http_header(request->wsi, start, &pos, end))
        return -1;
    request->headers_sent = true;
    return 0;
}

static int
write_chunk(cs_http_request *request)
{
    unsigned char buffer[LWS_PRE + WRITE_CHUNK_BYTES];
    size_t remaining = request->response->len - request->written;
    size_t size = MIN(remaining, (size_t)WRITE_CHUNK_BYTES);
    bool last = size == remaining &&
                (request->state == REQUEST_WRITING || request->stream_ended);

    memcpy(buffer + LWS_PRE, request->response->str + request->written, size);
    if (lws_write(request->wsi, buffer + LWS_PRE, size,
                  last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
        return -1;
    request->written += size;
    return 0;
}

static int
finish_response(struct session *session)
{
    cs_http_request *request = session->request;
    struct lws *wsi = request->wsi;
    bool close_connection = request->close_connection;

    session->request = NULL;
    request_destroy(request);
    if (close_connection)
        return -1;
    return lws_http_transaction_completed(wsi) ? -1 : 0;
}

static int
on_writeable(struct session *session)
{
    cs_http_request *request = session->request;

    if (!request || request->state < REQUEST_WRITING)
        return 0;
    if (!request->headers_sent && write_headers(request))
        return -1;
    if (request->written < request->response->len && write_chunk(request))
        return -1;
    if (request->written < request->response->len) {
        lws_callback_on_writable(request->wsi);
        return 0;
    }
    if (request->state == REQUEST_WRITING)
        return finish_response(session);
    g_string_truncate(request->response, 0);
    request->written = 0;
    return request->stream_ended ? -1 : 0;
}

static void
on_connection_closed(struct session *session)
{
    cs_http_request *request = session->request;

    if (!request)
        return;
    session->request = NULL;
    request->wsi = NULL;
    switch (request->state) {
    case REQUEST_HANDLED:
        /* The handler still owns the request; cs_http_reply will free it. */
        return;
    case REQUEST_STREAMING:
        request->stream_closed(request->stream_closed_data);
        break;
    case REQUEST_READING:
    case REQUEST_WRITING:
        break;
    }
    request_destroy(request);
}

static int
on_request(cs_http_server *server, struct session *session, struct lws *wsi,
           const char *path)
{
    if (session->request)
        return -1;
    session->request = request_create(server, wsi, path);
    if (!expects_body(wsi, session->request->method))
        dispatch_request(session->request);
    else
        lws_set_timeout(wsi, PENDING_TIMEOUT_HTTP_CONTENT,
                        REQUEST_READ_TIMEOUT_S);
    return 0;
}

static int
server_callback(struct lws *wsi, enum lws_callback_reasons reason, void *user,
                void *in, size_t len)
{
    struct session *session = user;
    const struct lws_protocols *protocol = lws_get_protocol(wsi);

    switch (reason) {
    case LWS_CALLBACK_HTTP:
        return on_request(protocol->user, session, wsi, in);
    case LWS_CALLBACK_HTTP_BODY:
        if (session->request && session->request->state == REQUEST_READING)
            on_body(session->request, in, len);
        return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (session->request)
            dispatch_request(session->request);
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return on_writeable(session);
    case LWS_CALLBACK_CLOSED_HTTP:
        if (session)
            on_connection_closed(session);
        return 0;
    default:
        return lws_callback_http_dummy(wsi, reason, user, in, len);
    }
}

int
cs_http_server_create(cs_http_server **out, cs_net *net, const char *ip,
                      uint16_t port, cs_http_handler handler, void *user_data)
{
    struct lws_context_creation_info info = {0};
    cs_http_server *server = g_new0(cs_http_server, 1);

    server->handler = handler;
    server->user_data = user_data;
    server->protocols[0].name = "http";
    server->protocols[0].callback = server_callback;
    server->protocols[0].per_session_data_size = sizeof(struct session);
    server->protocols[0].user = server;
    info.protocols = server->protocols;
    info.port = port;
    info.iface = ip;
    info.vhost_name = "server";
    info.timeout_secs = REQUEST_READ_TIMEOUT_S;
    info.keepalive_timeout = KEEPALIVE_TIMEOUT_S;
    server->vhost = lws_create_vhost(cs_net_lws_context(net), &info);
    if (!server->vhost || lws_get_vhost_listen_port(server->vhost) <= 0) {
        g_free(server);
        return cs_error_set(CS_E_SYSTEM, "cannot listen on %s:%u", ip, port);
    }
    *out = server;
    return 0;
}

void
cs_http_server_set_deadline_header(cs_http_server *server, const char *name)
{
    server->deadline_header = name;
}

void
cs_http_server_destroy(cs_http_server *server)
{
    g_free(server);
}

uint16_t
cs_http_server_port(const cs_http_server *server)
{
    return (uint16_t)lws_get_vhost_listen_port(server->vhost);
}

uint32_t
cs_http_server_open_requests(const cs_http_server *server)
{
    return server->open_requests;
}

static bool
listens_on(int fd, uint16_t port)
{
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);
    socklen_t flag_size = sizeof(int);
    int listening = 0;

    if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &flag_size) ||
        !listening)
        return false;
    if (getsockname(fd, (struct sockaddr *)&address, &size) ||
        address.sin_family != AF_INET)
        return false;
    return ntohs(address.sin_port) == port;
}

/*
 * Shuts down the process's listening sockets on a port, so that later callers
 * are refused a connection and know that nothing was sent. libwebsockets
 * closes a listening socket only together with the connections accepted on
 * it, and so cannot be used for this.
 */
static void
shut_listening_socket(uint16_t port)
{
    int fd;

    for (fd = 0; fd < MAX_LISTENING_FD; fd++) {
        if (listens_on(fd, port))
            shutdown(fd, SHUT_RD);
    }
}

void
cs_http_server_disable_keepalive(cs_http_server *server)
{
    server->keepalive_disabled = true;
}

void
cs_http_server_stop_accepting(cs_http_server *server)
{
    shut_listening_socket(cs_http_server_port(server));
    server->keepalive_disabled = true;
}

const char *
cs_http_request_method(const cs_http_request *request)
{
    return request->method;
}

const char *
cs_http_request_path(const cs_http_request *request)
{
    return request->path;
}

const char *
cs_http_request_query(const cs_http_request *request)
{
    return request->query;
}

const char *
cs_http_request_if_match(const cs_http_request *request)
{
    return request->if_match;
}

const char *
cs_http_request_host(const cs_http_request *request)
{
    return request->host;
}

const char *
cs_http_request_authorization(const cs_http_request *request)
{
    return request->authorization;
}

int64_t
cs_http_request_deadline_ms(const cs_http_request *request)
{
    return request->deadline_ms;
}

int64_t
cs_http_request_number_header(const cs_http_request *request, const char *name)
{
    char text[24];

    if (!request->wsi || lws_hdr_custom_copy(request->wsi, text, sizeof(text),
                                             name, (int)strlen(name)) <= 0)
        return 0;
    return g_ascii_strtoll(text, NULL, 10);
}

void
cs_http_request_set_retry_after(cs_http_request *request, uint32_t seconds)
{
    request->retry_after_s = seconds;
}

const char *
cs_http_request_body(const cs_http_request *request, size_t *size_bytes)
{
    *size_bytes = request->body->len;
    return request->body->str;
}

bool
cs_http_request_is_connected(const cs_http_request *request)
{
    return request->wsi != NULL;
}

int
cs_http_request_query_argument(char *out, size_t size,
                               const cs_http_request *request,
                               const char *name)
{
    size_t name_length = strlen(name);
    const char *argument = request->query;

    while (*argument) {
        size_t argument_length = strcspn(argument, "&");

        if (argument_length > name_length &&
            strncmp(argument, name, name_length) == 0 &&
            argument[name_length] == '=') {
            size_t value_length = argument_length - name_length - 1;

            if (value_length >= size)
                return CS_E_NOT_FOUND;
            memcpy(out, argument + name_length + 1, value_length);
            out[value_length] = '\0';
            return 0;
        }
        argument += argument_length;
        if (*argument)
            argument++;
    }
    return CS_E_NOT_FOUND;
}

void
cs_http_reply(cs_http_request *request, int status, const char *content_type,
              const char *body, size_t size_bytes)
{
    if (!request->wsi) {
        request_destroy(request);
        return;
    }
    request->state = REQUEST_WRITING;
    request->status = status;
    g_strlcpy(request->content_type, content_type,
              sizeof(request->content_type));
    g_string_append_len(request->response, body, (gssize)size_bytes);
    resume_reading(request);
    lws_callback_on_writable(request->wsi);
}

void
cs_http_stream_begin(cs_http_request *request, const char *content_type,
                     cs_http_stream_closed closed, void *user_data)
{
    request->state = REQUEST_STREAMING;
    request->status = 200;
    request->stream_closed = closed;
    request->stream_closed_data = user_data;
    g_strlcpy(request->content_type, content_type,
              sizeof(request->content_type));
    if (!request->wsi)
        return;
    resume_reading(request);
    lws_callback_on_writable(request->wsi);
}

int
cs_http_stream_write(cs_http_request *request, const char *text,
                     size_t size_bytes)
{
    if (request->response->len + size_bytes > STREAM_QUEUE_MAX_BYTES)
        return CS_E_OVERLOAD;
    g_string_append_len(request->response, text, (gssize)size_bytes);
    if (request->wsi)
        lws_callback_on_writable(request->wsi);
    return 0;
}

void
cs_http_stream_end(cs_http_request *request)
{
    request->stream_ended = true;
    if (request->wsi)
        lws_callback_on_writable(request->wsi);
}
