/* HTTP calls of csctl to the servers. */
#include "csctl.h"
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/resource.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_US (15 * CS_SEC_US)

int
ctl_open(struct ctl *ctl)
{
    int rc;

    if (strcmp(ctl->output, "table") != 0 && strcmp(ctl->output, "json") != 0)
        return cs_error_set(
            CS_E_SETTING, "--output: '%s' is not table or json", ctl->output);
    ctl->loop = g_main_loop_new(NULL, FALSE);
    ctl->stream_buffer = g_string_new(NULL);
    ctl->server_addresses = g_strsplit(ctl->servers, ",", 64);
    rc = cs_net_create(&ctl->net, ctl->loop);
    if (!rc)
        rc = cs_http_client_create(&ctl->client, ctl->net, 1);
    return rc;
}

void
ctl_close(struct ctl *ctl)
{
    json_decref(ctl->response);
    cs_http_client_close(ctl->client);
    cs_net_destroy(ctl->net);
    cs_http_client_destroy(ctl->client);
    g_strfreev(ctl->server_addresses);
    g_string_free(ctl->stream_buffer, TRUE);
    g_main_loop_unref(ctl->loop);
}

static void
on_response(void *user_data, const cs_http_response *response)
{
    struct ctl *ctl = user_data;

    ctl->call_code = response->code;
    ctl->http_status = response->status;
    json_decref(ctl->response);
    ctl->response = json_loadb(response->body, response->size_bytes, 0, NULL);
    g_main_loop_quit(ctl->loop);
}

/* Starts a call and runs the main loop until its callback ends the loop. */
static int
call_server(struct ctl *ctl, const cs_http_call *call)
{
    int rc = cs_http_client_start(ctl->client, call);

    if (rc)
        return rc;
    g_main_loop_run(ctl->loop);
    return 0;
}

/* Returns whether this server has certainly not handled the request, so that
   sending it to another server cannot repeat its effect. */
static bool
may_try_next_server(const struct ctl *ctl)
{
    json_int_t code =
        json_integer_value(json_object_get(ctl->response, "code"));

    return ctl->call_code == CS_E_CONNECT ||
           (ctl->call_code == 0 && code == CS_E_DRAINING);
}

static int
print_error(struct ctl *ctl)
{
    const char *message =
        json_string_value(json_object_get(ctl->response, "message"));

    if (ctl->call_code) {
        fprintf(stderr, "csctl: no response from the server (%s)\n",
                cs_error_name(ctl->call_code));
        return EXIT_UNREACHABLE;
    }
    fprintf(
        stderr, "csctl: error %lld (%s): %s; run: %s\n",
        (long long)json_integer_value(json_object_get(ctl->response, "code")),
        json_string_value(json_object_get(ctl->response, "name")),
        message ? message : "no message",
        json_string_value(json_object_get(ctl->response, "run")));
    return EXIT_REFUSED;
}

int
ctl_call(struct ctl *ctl, const char *method, const char *path,
         const char *if_match, const json_t *body)
{
    char *body_text = body ? json_dumps(body, JSON_COMPACT) : NULL;
    int i;

    for (i = 0; ctl->server_addresses[i]; i++) {
        cs_http_call call = {.method = method,
                             .address = ctl->server_addresses[i],
                             .path = path,
                             .if_match = if_match,
                             .body = body_text ? body_text : "",
                             .size_bytes = body_text ? strlen(body_text) : 0,
                             .deadline_us =
                                 cs_clock_boot_us() + CALL_TIMEOUT_US,
                             .done = on_response,
                             .user_data = ctl};

        if (call_server(ctl, &call)) {
            fprintf(stderr, "csctl: %s\n", cs_error_last());
            free(body_text);
            return EXIT_USAGE;
        }
        if (!may_try_next_server(ctl))
            break;
    }
    free(body_text);
    if (ctl->call_code == 0 && ctl->http_status >= 200 &&
        ctl->http_status < 300)
        return EXIT_OK;
    return print_error(ctl);
}

struct stream {
    struct ctl *ctl;
    bool (*on_line)(struct ctl *ctl, const json_t *object);
    bool stopped; /* on_line has returned false */
};

static void
on_chunk(void *user_data, const char *bytes, size_t size)
{
    struct stream *stream = user_data;
    GString *buffer = stream->ctl->stream_buffer;
    char *end;

    g_string_append_len(buffer, bytes, (gssize)size);
    while (!stream->stopped && (end = strchr(buffer->str, '\n')) != NULL) {
        size_t length = (size_t)(end - buffer->str);
        json_t *object = json_loadb(buffer->str, length, 0, NULL);

        if (object && !stream->on_line(stream->ctl, object)) {
            stream->stopped = true;
            g_main_loop_quit(stream->ctl->loop);
        }
        json_decref(object);
        g_string_erase(buffer, 0, (gssize)length + 1);
    }
}

static void
on_stream_done(void *user_data, const cs_http_response *response)
{
    struct stream *stream = user_data;

    if (!stream->stopped)
        on_response(stream->ctl, response);
}

int
ctl_stream(struct ctl *ctl, const char *path,
           bool (*on_line)(struct ctl *ctl, const json_t *object))
{
    struct stream stream = {ctl, on_line, false};
    cs_http_call call = {.method = "GET",
                         .address = ctl->server_addresses[0],
                         .path = path,
                         .deadline_us =
                             cs_clock_boot_us() + ctl->deadline_s * CS_SEC_US,
                         .on_chunk = on_chunk,
                         .done = on_stream_done,
                         .user_data = &stream};

    if (call_server(ctl, &call)) {
        fprintf(stderr, "csctl: %s\n", cs_error_last());
        return EXIT_USAGE;
    }
    if (stream.stopped)
        return EXIT_OK;
    if (ctl->call_code == CS_E_TIMEOUT)
        return EXIT_DEADLINE;
    if (ctl->call_code == 0 && ctl->http_status == 200)
        return EXIT_OK;
    return print_error(ctl);
}

const char *
ctl_parse_resource(const char *arg, const char **name)
{
    const char *slash = strchr(arg, '/');
    char kind_arg[32] = "";
    cs_kind kind;
    size_t length = slash ? (size_t)(slash - arg) : strlen(arg);

    *name = slash ? slash + 1 : NULL;
    if (length >= sizeof(kind_arg))
        return NULL;
    g_strlcpy(kind_arg, arg, length + 1);
    if (cs_kind_find(&kind, kind_arg))
        return NULL;
    return cs_kind_name(kind);
}
