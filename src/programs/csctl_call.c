/* Calls of csctl to entry processes. */
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
    ctl->text = g_string_new(NULL);
    ctl->addresses = g_strsplit(ctl->servers, ",", 64);
    rc = cs_net_create(&ctl->net, ctl->loop);
    if (!rc)
        rc = cs_http_client_create(&ctl->client, ctl->net, 1);
    return rc;
}

void
ctl_close(struct ctl *ctl)
{
    json_decref(ctl->body);
    cs_http_client_close(ctl->client);
    cs_net_destroy(ctl->net);
    cs_http_client_destroy(ctl->client);
    g_strfreev(ctl->addresses);
    g_string_free(ctl->text, TRUE);
    g_main_loop_unref(ctl->loop);
}

static void
on_done(void *data, const cs_http_answer *answer)
{
    struct ctl *ctl = data;

    ctl->code = answer->code;
    ctl->status = answer->status;
    json_decref(ctl->body);
    ctl->body = json_loadb(answer->body, answer->size_bytes, 0, NULL);
    g_main_loop_quit(ctl->loop);
}

static int
call_one(struct ctl *ctl, const cs_http_call *call)
{
    int rc = cs_http_client_start(ctl->client, call);

    if (rc)
        return rc;
    g_main_loop_run(ctl->loop);
    return 0;
}

/* Another server may be asked where this one surely did nothing. */
static bool
try_next(const struct ctl *ctl)
{
    json_int_t code = json_integer_value(json_object_get(ctl->body, "code"));

    return ctl->code == CS_E_CONNECT ||
           (ctl->code == 0 && code == CS_E_DRAINING);
}

static int
print_failure(struct ctl *ctl)
{
    const char *message =
        json_string_value(json_object_get(ctl->body, "message"));

    if (ctl->code) {
        fprintf(stderr, "csctl: no answer (%s)\n", cs_error_name(ctl->code));
        return EXIT_UNREACHABLE;
    }
    fprintf(stderr, "csctl: error %lld (%s): %s; run: %s\n",
            (long long)json_integer_value(json_object_get(ctl->body, "code")),
            json_string_value(json_object_get(ctl->body, "name")),
            message ? message : "no message",
            json_string_value(json_object_get(ctl->body, "run")));
    return EXIT_REFUSED;
}

int
ctl_call(struct ctl *ctl, const char *method, const char *path,
         const char *if_match, const json_t *body)
{
    char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
    int i;

    for (i = 0; ctl->addresses[i]; i++) {
        cs_http_call call = {.method = method,
                             .address = ctl->addresses[i],
                             .path = path,
                             .if_match = if_match,
                             .body = text ? text : "",
                             .size_bytes = text ? strlen(text) : 0,
                             .deadline_us =
                                 cs_clock_boot_us() + CALL_TIMEOUT_US,
                             .done = on_done,
                             .data = ctl};

        if (call_one(ctl, &call)) {
            fprintf(stderr, "csctl: %s\n", cs_error_last());
            free(text);
            return EXIT_USAGE;
        }
        if (!try_next(ctl))
            break;
    }
    free(text);
    if (ctl->code == 0 && ctl->status >= 200 && ctl->status < 300)
        return EXIT_DONE;
    return print_failure(ctl);
}

struct stream {
    struct ctl *ctl;
    bool (*line)(struct ctl *ctl, const json_t *object);
    bool ended;
};

static void
on_piece(void *data, const char *bytes, size_t size)
{
    struct stream *stream = data;
    GString *text = stream->ctl->text;
    char *end;

    g_string_append_len(text, bytes, (gssize)size);
    while (!stream->ended && (end = strchr(text->str, '\n')) != NULL) {
        size_t length = (size_t)(end - text->str);
        json_t *object = json_loadb(text->str, length, 0, NULL);

        if (object && !stream->line(stream->ctl, object)) {
            stream->ended = true;
            g_main_loop_quit(stream->ctl->loop);
        }
        json_decref(object);
        g_string_erase(text, 0, (gssize)length + 1);
    }
}

static void
on_stream_done(void *data, const cs_http_answer *answer)
{
    struct stream *stream = data;

    if (!stream->ended)
        on_done(stream->ctl, answer);
}

int
ctl_stream(struct ctl *ctl, const char *path,
           bool (*line)(struct ctl *ctl, const json_t *object))
{
    struct stream stream = {ctl, line, false};
    cs_http_call call = {.method = "GET",
                         .address = ctl->addresses[0],
                         .path = path,
                         .deadline_us =
                             cs_clock_boot_us() + ctl->deadline_s * CS_SEC_US,
                         .piece = on_piece,
                         .done = on_stream_done,
                         .data = &stream};

    if (call_one(ctl, &call)) {
        fprintf(stderr, "csctl: %s\n", cs_error_last());
        return EXIT_USAGE;
    }
    if (stream.ended)
        return EXIT_DONE;
    if (ctl->code == CS_E_TIMEOUT)
        return EXIT_DEADLINE;
    if (ctl->code == 0 && ctl->status == 200)
        return EXIT_DONE;
    return print_failure(ctl);
}

const char *
ctl_split(const char *word, const char **name)
{
    const char *slash = strchr(word, '/');
    char kind_word[32] = "";
    cs_kind kind;
    size_t length = slash ? (size_t)(slash - word) : strlen(word);

    *name = slash ? slash + 1 : NULL;
    if (length >= sizeof(kind_word))
        return NULL;
    g_strlcpy(kind_word, word, length + 1);
    if (cs_kind_find(&kind, kind_word))
        return NULL;
    return cs_kind_name(kind);
}
