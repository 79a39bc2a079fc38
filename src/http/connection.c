/* One connection of an HTTP server: reads requests, one at a time, and sends
   their responses. */
#include "server_internal.h"
#include "corianderstair/clock.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Reads of one connection before the others get their turn. */
#define READS_PER_TURN 4
/* Bytes before a request that belong to none; line breaks are allowed. */
#define BLANK_MAX_BYTES 1024
/* Bytes that the client of a stream may send. */
#define STREAM_INPUT_MAX_BYTES 65536
/* A body that is copied behind the header lines, to be sent with them. */
#define JOINED_BODY_BYTES 16384

static cs_http_request *
request_of(http_parser *parser)
{
    return ((struct connection *)parser->data)->request;
}

/* Stops the parser with a response to the request. */
static int
stop_parser(http_parser *parser, int status)
{
    request_of(parser)->refusal = status;
    return -1;
}

static int
on_message_begin(http_parser *parser)
{
    struct connection *connection = parser->data;

    connection->request = request_create(connection);
    if (!server_reserve(connection->server, 0, connection))
        return stop_parser(parser, connection->server->overload_status);
    return 0;
}

static int
check_head_size(http_parser *parser)
{
    const cs_http_request *request = request_of(parser);

    if (request->url->len + request->headers->len > HEADERS_MAX_BYTES)
        return stop_parser(parser,
                           HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE);
    return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t length)
{
    g_string_append_len(request_of(parser)->url, at, (gssize)length);
    return check_head_size(parser);
}

static int
on_header_field(http_parser *parser, const char *at, size_t length)
{
    cs_http_request *request = request_of(parser);
    gsize start;

    if (request->in_header_value)
        g_string_append_c(request->headers, '\0');
    request->in_header_value = false;
    start = request->headers->len;
    g_string_append_len(request->headers, at, (gssize)length);
    for (; start < request->headers->len; start++)
        request->headers->str[start] =
            g_ascii_tolower(request->headers->str[start]);
    return check_head_size(parser);
}

static int
on_header_value(http_parser *parser, const char *at, size_t length)
{
    cs_http_request *request = request_of(parser);

    if (!request->in_header_value)
        g_string_append_c(request->headers, ':');
    request->in_header_value = true;
    g_string_append_len(request->headers, at, (gssize)length);
    return check_head_size(parser);
}

/* The client waits for this before it sends the body. If it is not sent whole,
   the client sends the body after a while. */
static void
send_continue(const struct connection *connection)
{
    static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
    char expect[16];

    request_copy_header(expect, sizeof(expect), connection->request, "expect");
    if (g_ascii_strcasecmp(expect, "100-continue") == 0)
        send(connection->poll.fd, text, sizeof(text) - 1,
             MSG_NOSIGNAL | MSG_DONTWAIT);
}

static int
on_headers_complete(http_parser *parser)
{
    struct connection *connection = parser->data;
    cs_http_request *request = connection->request;
    bool has_length = parser->flags & F_CONTENTLENGTH;

    request->method = http_method_str(parser->method);
    request->is_head = parser->method == HTTP_HEAD;
    connection->keep_alive =
        http_should_keep_alive(parser) && !parser->upgrade;
    if (!request_read_headers(request))
        return stop_parser(parser, HTTP_STATUS_BAD_REQUEST);
    /* The length is known before the body is read. */
    if (parser->uses_transfer_encoding)
        return stop_parser(parser, HTTP_STATUS_LENGTH_REQUIRED);
    if (!has_length || parser->content_length == 0)
        return 0;
    if (parser->content_length >
        (uint64_t)connection->server->limits.body_bytes)
        return stop_parser(parser, HTTP_STATUS_PAYLOAD_TOO_LARGE);
    request->announced_bytes = (size_t)parser->content_length;
    send_continue(connection);
    return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    cs_http_request *request = request_of(parser);

    if (!request_append_body(request, at, length))
        return stop_parser(parser, request->server->overload_status);
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void
start_parser(struct connection *connection)
{
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    connection->blank_bytes = 0;
}

static void
drop_pending(struct connection *connection)
{
    if (!connection->pending)
        return;
    server_charge(connection->server, -(int64_t)connection->pending->len);
    g_byte_array_free(connection->pending, TRUE);
    connection->pending = NULL;
}

static void
keep_pending(struct connection *connection, const char *bytes, size_t size)
{
    if (size == 0)
        return;
    connection->pending = g_byte_array_new();
    g_byte_array_append(connection->pending, (const guint8 *)bytes,
                        (guint)size);
    server_charge(connection->server, (int64_t)size);
}

void
connection_close(struct connection *connection)
{
    cs_http_request *request = connection->request;

    drop_pending(connection);
    connection->request = NULL;
    if (request) {
        request->connection = NULL;
        /* The handler owns a request that it has not answered. */
        if (connection->state == CONNECTION_STREAMING)
            request->stream_closed(request->stream_closed_data);
        if (connection->state != CONNECTION_HANDLED)
            request_destroy(request);
    }
    server_remove(connection);
}

/* Waits until the client has taken the response and closes, since closing with
   unread bytes may discard it. */
static void
begin_closing(struct connection *connection)
{
    if (!server_may_wait_for_close(connection->server) ||
        shutdown(connection->poll.fd, SHUT_WR)) {
        connection_close(connection);
        return;
    }
    drop_pending(connection);
    server_set_state(connection, CONNECTION_CLOSING);
    poller_watch(connection->server->poller, &connection->poll, EPOLLIN);
}

static void
finish_response(struct connection *connection)
{
    cs_http_request *request = connection->request;
    bool refused = request->refusal != 0;

    connection->request = NULL;
    request_destroy(request);
    if (connection->keep_alive) {
        start_parser(connection);
        server_set_state(connection, CONNECTION_IDLE);
        poller_watch(connection->server->poller, &connection->poll, EPOLLIN);
        if (connection->pending)
            server_resume(connection);
        return;
    }
    if (refused || connection->pending)
        begin_closing(connection);
    else
        connection_close(connection);
}

/* Sends a part of the response; returns whether all of it is sent. */
static bool
send_part(struct connection *connection, const GString *part, size_t offset,
          bool *failed)
{
    cs_http_request *request = connection->request;
    ssize_t sent;

    while (offset + part->len > request->written) {
        size_t start = request->written - offset;

        sent = send(connection->poll.fd, part->str + start, part->len - start,
                    MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent <= 0) {
            *failed = sent == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
            return false;
        }
        request->written += (size_t)sent;
        connection->progressed = true;
    }
    return true;
}

void
connection_write(struct connection *connection)
{
    cs_http_request *request = connection->request;
    bool failed = false;
    bool complete;

    connection->progressed = false;
    complete =
        send_part(connection, request->head, 0, &failed) &&
        send_part(connection, request->response, request->head->len, &failed);
    if (failed) {
        connection_close(connection);
        return;
    }
    if (connection->progressed)
        server_set_state(connection, connection->state);
    if (!complete) {
        poller_watch(connection->server->poller, &connection->poll,
                     request->is_stream ? EPOLLIN | EPOLLOUT : EPOLLOUT);
        return;
    }
    if (!request->is_stream) {
        finish_response(connection);
        return;
    }
    g_string_truncate(request->head, 0);
    g_string_truncate(request->response, 0);
    request->written = 0;
    request_update_charge(request);
    if (request->stream_ended)
        connection_close(connection);
    else
        poller_watch(connection->server->poller, &connection->poll, EPOLLIN);
}

static void
append_head(struct connection *connection)
{
    cs_http_request *request = connection->request;
    GString *head = g_string_new(NULL);

    request->head = head;
    g_string_append_printf(head, "HTTP/1.1 %d %s\r\ncontent-type: %s\r\n",
                           request->status,
                           http_status_str((enum http_status)request->status),
                           request->content_type);
    if (!request->is_stream)
        g_string_append_printf(head, "content-length: %" G_GSIZE_FORMAT "\r\n",
                               request->response->len);
    if (request->retry_after_s)
        g_string_append_printf(head, "retry-after: %u\r\n",
                               request->retry_after_s);
    if (!connection->keep_alive)
        g_string_append(head, "connection: close\r\n");
    else if (connection->parser.http_minor == 0)
        g_string_append(head, "connection: keep-alive\r\n");
    g_string_append(head, "\r\n");
}

void
connection_respond(struct connection *connection)
{
    cs_http_request *request = connection->request;
    cs_http_server *server = connection->server;

    if (server->keepalive_disabled)
        connection->keep_alive = false;
    append_head(connection);
    if (request->is_head)
        g_string_truncate(request->response, 0);
    if (request->response->len <= JOINED_BODY_BYTES) {
        g_string_append_len(request->head, request->response->str,
                            (gssize)request->response->len);
        g_string_truncate(request->response, 0);
    }
    request_update_charge(request);
    server_set_state(connection, CONNECTION_WRITING);
    server_reserve(server, 0, connection);
    connection_write(connection);
}

void
connection_begin_stream(struct connection *connection)
{
    connection->keep_alive = false;
    append_head(connection);
    request_update_charge(connection->request);
    server_set_state(connection, CONNECTION_STREAMING);
    poller_watch(connection->server->poller, &connection->poll, EPOLLIN);
    server_admit_stream(connection);
    server_resume(connection);
}

static void
refuse(struct connection *connection, int status, const char *reason)
{
    if (!connection->request)
        connection->request = request_create(connection);
    server_note_refusal(connection->server, reason, status,
                        connection->request);
    request_refuse(connection->request, status);
    connection->keep_alive = false;
    connection_respond(connection);
}

/* Passes a complete request to the handler, which may answer it, and thereby
   close the connection, before it returns. */
static void
dispatch_request(struct connection *connection)
{
    cs_http_request *request = connection->request;
    cs_http_server *server = connection->server;

    if (!request_begin_handling(request)) {
        refuse(connection, server->overload_status,
               "open requests hold the memory for clients");
        return;
    }
    server_set_state(connection, CONNECTION_HANDLED);
    server->handler(request, server->user_data);
}

static const char *
refusal_reason(const struct connection *connection)
{
    switch (connection->request->refusal) {
    case HTTP_STATUS_PAYLOAD_TOO_LARGE:
        return "body too large";
    case HTTP_STATUS_LENGTH_REQUIRED:
        return "body of unknown length";
    case HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE:
        return "headers too large";
    case HTTP_STATUS_BAD_REQUEST:
        return "malformed address";
    default:
        return "requests hold the memory for clients";
    }
}

/* Parses bytes up to the end of a request. Returns whether more can be read;
   otherwise the connection may be closed. */
static bool
parse(struct connection *connection, const char *bytes, size_t size)
{
    http_parser *parser = &connection->parser;
    size_t parsed = http_parser_execute(parser, &parser_settings, bytes, size);
    enum http_errno error = HTTP_PARSER_ERRNO(parser);

    if (connection->request && connection->request->refusal) {
        refuse(connection, connection->request->refusal,
               refusal_reason(connection));
        return false;
    }
    if (error == HPE_PAUSED) {
        keep_pending(connection, bytes + parsed, size - parsed);
        dispatch_request(connection);
        return false;
    }
    if (error != HPE_OK) {
        refuse(connection, HTTP_STATUS_BAD_REQUEST, http_errno_name(error));
        return false;
    }
    if (!connection->request) {
        connection->blank_bytes += size;
        if (connection->blank_bytes <= BLANK_MAX_BYTES)
            return true;
        connection_close(connection);
        return false;
    }
    if (connection->state == CONNECTION_IDLE)
        server_set_state(connection, CONNECTION_READING);
    request_update_charge(connection->request);
    return true;
}

static void
parse_pending(struct connection *connection)
{
    GByteArray *pending = connection->pending;

    server_charge(connection->server, -(int64_t)pending->len);
    connection->pending = NULL;
    parse(connection, (const char *)pending->data, pending->len);
    g_byte_array_free(pending, TRUE);
}

static void
read_request(struct connection *connection)
{
    char buffer[READ_BYTES];
    ssize_t size;
    int i;

    if (connection->pending) {
        parse_pending(connection);
        return;
    }
    for (i = 0; i < READS_PER_TURN; i++) {
        size = recv(connection->poll.fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (size < 0 &&
            (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
            return;
        if (size <= 0) {
            connection_close(connection);
            return;
        }
        if (!parse(connection, buffer, (size_t)size) ||
            size < (ssize_t)sizeof(buffer))
            return;
    }
}

/*
 * Stops to read beyond the limit. A reset would let the client lose the answer
 * that it may not have read yet; it has until the time limit of the state, or
 * closes before.
 */
static void
stop_dropping(struct connection *connection)
{
    if (connection->state == CONNECTION_CLOSING)
        poller_watch(connection->server->poller, &connection->poll,
                     EPOLLRDHUP);
    else
        connection_close(connection);
}

/* Reads and drops bytes, up to a limit. */
static void
drop_input(struct connection *connection, int64_t max_bytes)
{
    char buffer[READ_BYTES];
    ssize_t size;
    int i;

    for (i = 0; i < READS_PER_TURN; i++) {
        size = recv(connection->poll.fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (size < 0 &&
            (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
            return;
        connection->dropped_bytes += MAX(size, 0);
        if (size <= 0) {
            connection_close(connection);
            return;
        }
        if (connection->dropped_bytes > max_bytes) {
            stop_dropping(connection);
            return;
        }
    }
}

static void
read_input(struct connection *connection)
{
    cs_http_server *server = connection->server;

    switch (connection->state) {
    case CONNECTION_IDLE:
    case CONNECTION_READING:
        read_request(connection);
        return;
    case CONNECTION_HANDLED:
    case CONNECTION_WRITING:
        /* The next request, or the end of the caller's bytes. */
        poller_watch(server->poller, &connection->poll,
                     connection->poll.events & ~(uint32_t)EPOLLIN);
        return;
    case CONNECTION_STREAMING:
        drop_input(connection, STREAM_INPUT_MAX_BYTES);
        return;
    case CONNECTION_CLOSING:
        drop_input(connection, server->limits.body_bytes);
        return;
    case CONNECTION_STATES:
        return;
    }
}

void
connection_proceed(struct connection *connection)
{
    if (connection->state == CONNECTION_STREAMING)
        connection_write(connection);
    else if (connection->state == CONNECTION_IDLE)
        read_request(connection);
}

static void
on_ready(struct poll_entry *entry, uint32_t events)
{
    struct connection *connection = (struct connection *)entry;
    bool writes = connection->state == CONNECTION_WRITING ||
                  connection->state == CONNECTION_STREAMING;

    if (events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP))
        connection_close(connection);
    else if (writes && (events & EPOLLOUT))
        connection_write(connection);
    else if (events & EPOLLIN)
        read_input(connection);
}

void
connection_create(cs_http_server *server, int fd)
{
    struct connection *connection = g_new0(struct connection, 1);

    connection->server = server;
    connection->poll.fd = fd;
    connection->poll.events = EPOLLIN;
    connection->poll.ready = on_ready;
    connection->state = CONNECTION_IDLE;
    connection->since_us = cs_clock_boot_us();
    connection->link.data = connection;
    start_parser(connection);
    server->connection_count++;
    server_charge(server, (int64_t)sizeof(*connection));
    g_queue_push_tail_link(&server->connections[CONNECTION_IDLE],
                           &connection->link);
    if (poller_add(server->poller, &connection->poll))
        connection_close(connection);
}
