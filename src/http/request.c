/* Requests as the handlers see them, and the responses to them. */
#include "server_internal.h"
#include "corianderstair/errors.h"

#include <string.h>

#define STREAM_QUEUE_MAX_BYTES ((size_t)4 << 20)
#define BODY_FIRST_BYTES 1024
/* When the client of a request that found no room should return. */
#define RETRY_AFTER_S 1

cs_http_request *
request_create(struct connection *connection)
{
    cs_http_request *request = g_new0(cs_http_request, 1);

    request->server = connection->server;
    request->connection = connection;
    request->method = "";
    request->url = g_string_new(NULL);
    request->headers = g_string_new(NULL);
    request->response = g_string_new(NULL);
    request_update_charge(request);
    return request;
}

static void
free_body(cs_http_request *request)
{
    g_free(request->body);
    request->body = NULL;
    request->body_capacity = 0;
}

void
request_destroy(cs_http_request *request)
{
    server_charge(request->server, -request->charged_bytes);
    if (request->is_handled)
        request->server->open_requests--;
    free_body(request);
    g_string_free(request->url, TRUE);
    g_string_free(request->headers, TRUE);
    g_string_free(request->response, TRUE);
    if (request->head)
        g_string_free(request->head, TRUE);
    g_free(request);
}

void
request_update_charge(cs_http_request *request)
{
    size_t body_bytes = request->body_capacity;
    int64_t bytes;

    if (request->is_handled)
        body_bytes += COPIES_OF_A_HANDLED_BODY * request->body_capacity;
    bytes = (int64_t)(REQUEST_BYTES + request->url->allocated_len +
                      request->headers->allocated_len + body_bytes +
                      request->response->len);
    if (request->head)
        bytes += (int64_t)request->head->allocated_len;
    server_charge(request->server, bytes - request->charged_bytes);
    request->charged_bytes = bytes;
}

bool
request_append_body(cs_http_request *request, const char *bytes, size_t size)
{
    size_t needed = request->body_bytes + size + 1;
    size_t capacity = MAX(request->body_capacity, BODY_FIRST_BYTES);

    while (capacity < needed)
        capacity *= 2;
    capacity = MIN(capacity, request->announced_bytes + 1);
    if (capacity > request->body_capacity) {
        if (!server_reserve(request->server,
                            (int64_t)(capacity - request->body_capacity),
                            request->connection))
            return false;
        request->body = g_realloc(request->body, capacity);
        request->body_capacity = capacity;
        request_update_charge(request);
    }
    memcpy(request->body + request->body_bytes, bytes, size);
    request->body_bytes += size;
    request->body[request->body_bytes] = '\0';
    return true;
}

bool
request_begin_handling(cs_http_request *request)
{
    size_t copies = COPIES_OF_A_HANDLED_BODY * request->body_capacity;

    if (!server_reserve(request->server, (int64_t)copies, request->connection))
        return false;
    request->is_handled = true;
    request->server->open_requests++;
    request_update_charge(request);
    return true;
}

/* Returns the value of a header, or NULL. */
static const char *
find_header(const cs_http_request *request, const char *name)
{
    size_t length = strlen(name);
    const char *line = request->headers->str;
    const char *end = line + request->headers->len;

    for (; line < end; line += strlen(line) + 1) {
        if (strncmp(line, name, length) == 0 && line[length] == ':')
            return line + length + 1;
    }
    return NULL;
}

void
request_copy_header(char *out, size_t size, const cs_http_request *request,
                    const char *name)
{
    const char *value = find_header(request, name);

    g_strlcpy(out, value ? value : "", size);
    g_strchomp(out);
}

static int64_t
read_number_header(const cs_http_request *request, const char *name)
{
    /* Names of headers are given with their colon. */
    char *plain_name = g_strndup(name, strcspn(name, ":"));
    const char *value = find_header(request, plain_name);

    g_free(plain_name);
    return value ? g_ascii_strtoll(value, NULL, 10) : 0;
}

static void
read_if_match(cs_http_request *request)
{
    char text[sizeof(request->if_match)];
    char *start = text;
    size_t length;

    request_copy_header(text, sizeof(text), request, "if-match");
    if (*start == '"')
        start++;
    length = strlen(start);
    if (length > 0 && start[length - 1] == '"')
        start[length - 1] = '\0';
    g_strlcpy(request->if_match, start, sizeof(request->if_match));
}

static bool
read_url(cs_http_request *request)
{
    const char *url = request->url->str;
    struct http_parser_url parts;
    const char *path;
    char *decoded;
    bool fits;

    http_parser_url_init(&parts);
    if (http_parser_parse_url(url, request->url->len, 0, &parts) ||
        !(parts.field_set & (1 << UF_PATH)))
        return false;
    path = url + parts.field_data[UF_PATH].off;
    decoded = g_uri_unescape_segment(
        path, path + parts.field_data[UF_PATH].len, NULL);
    if (!decoded)
        return false;
    fits = g_strlcpy(request->path, decoded, sizeof(request->path)) <
           sizeof(request->path);
    g_free(decoded);
    if (!(parts.field_set & (1 << UF_QUERY)))
        return fits;
    if (parts.field_data[UF_QUERY].len >= sizeof(request->query))
        return false;
    memcpy(request->query, url + parts.field_data[UF_QUERY].off,
           parts.field_data[UF_QUERY].len);
    return fits;
}

bool
request_read_headers(cs_http_request *request)
{
    const char *deadline = request->server->deadline_header;
    char *port;

    request_copy_header(request->host, sizeof(request->host), request, "host");
    port = strchr(request->host, ':');
    if (port)
        *port = '\0';
    request_copy_header(request->authorization, sizeof(request->authorization),
                        request, "authorization");
    read_if_match(request);
    if (deadline)
        request->deadline_ms = read_number_header(request, deadline);
    return read_url(request);
}

/* Sets the error that the body of a refusal tells. */
static void
describe_refusal(int status, int *code, const char **message)
{
    switch (status) {
    case HTTP_STATUS_BAD_REQUEST:
        *code = CS_E_INVALID;
        *message = "the request is malformed";
        return;
    case HTTP_STATUS_LENGTH_REQUIRED:
        *code = CS_E_INVALID;
        *message = "the length of the body is not stated";
        return;
    case HTTP_STATUS_PAYLOAD_TOO_LARGE:
    case HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE:
        *code = CS_E_TOO_LARGE;
        *message = "the body or the headers are larger than allowed";
        return;
    default:
        *code = CS_E_OVERLOAD;
        *message = "too many requests are open";
    }
}

void
request_refuse(cs_http_request *request, int status)
{
    const char *message;
    int code;

    describe_refusal(status, &code, &message);
    free_body(request);
    if (code == CS_E_OVERLOAD)
        request->retry_after_s = RETRY_AFTER_S;
    request->refusal = status;
    request->status = status;
    g_strlcpy(request->content_type, "application/json",
              sizeof(request->content_type));
    g_string_printf(
        request->response,
        "{\"code\":%d,\"name\":\"%s\",\"message\":\"%s\",\"run\":\"%s\"}\n",
        code, cs_error_name(code), message,
        status == HTTP_STATUS_GATEWAY_TIMEOUT ? "unknown" : "not-run");
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
    return read_number_header(request, name);
}

void
cs_http_request_set_retry_after(cs_http_request *request, uint32_t seconds)
{
    request->retry_after_s = seconds;
}

const char *
cs_http_request_body(const cs_http_request *request, size_t *size_bytes)
{
    *size_bytes = request->body_bytes;
    return request->body ? request->body : "";
}

bool
cs_http_request_is_connected(const cs_http_request *request)
{
    return request->connection != NULL;
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
    if (!request->connection) {
        request_destroy(request);
        return;
    }
    request->status = status;
    g_strlcpy(request->content_type, content_type,
              sizeof(request->content_type));
    g_string_append_len(request->response, body, (gssize)size_bytes);
    free_body(request);
    connection_respond(request->connection);
}

void
cs_http_stream_begin(cs_http_request *request, const char *content_type,
                     cs_http_stream_closed closed, void *user_data)
{
    request->is_stream = true;
    request->status = 200;
    request->stream_closed = closed;
    request->stream_closed_data = user_data;
    g_strlcpy(request->content_type, content_type,
              sizeof(request->content_type));
    free_body(request);
    if (request->connection)
        connection_begin_stream(request->connection);
}

int
cs_http_stream_write(cs_http_request *request, const char *text,
                     size_t size_bytes)
{
    cs_http_server *server = request->server;
    size_t queued = request->response->len;

    if (queued + size_bytes > STREAM_QUEUE_MAX_BYTES)
        return CS_E_OVERLOAD;
    /* A caller that has read all that was sent may get the next line. */
    if (queued > 0 &&
        server->held_bytes + (int64_t)size_bytes > server->limits.held_bytes)
        return CS_E_OVERLOAD;
    /* Until now there was nothing that the caller could have read. */
    if (queued == 0 && request->connection &&
        request->connection->state == CONNECTION_STREAMING)
        server_set_state(request->connection, CONNECTION_STREAMING);
    g_string_append_len(request->response, text, (gssize)size_bytes);
    request_update_charge(request);
    if (request->connection)
        server_resume(request->connection);
    return 0;
}

void
cs_http_stream_end(cs_http_request *request)
{
    request->stream_ended = true;
    if (request->connection)
        server_resume(request->connection);
}
