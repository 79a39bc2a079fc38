#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "harness.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>
#include "corianderstair/clock.h"
#include "corianderstair/http_client.h"

#define CALL_US (10 * CS_SEC_US)
#define WAIT_US (20 * CS_SEC_US)

#define OUTPUT_TAIL_BYTES 8192

struct child {
    GPid pid;
    char program[32];
    int output; /* pipe: standard output, of a daemon standard error */
};

struct harness {
    GMainLoop *loop;
    cs_net *net;
    cs_http_client *client;
    GArray *children; /* of struct child */
    GPtrArray *addresses;
    int code;
    int status;
    GString *body;
};

struct harness *
harness_create(void)
{
    struct harness *h = g_new0(struct harness, 1);

    signal(SIGPIPE, SIG_IGN);
    h->loop = g_main_loop_new(NULL, FALSE);
    h->children = g_array_new(FALSE, FALSE, sizeof(struct child));
    h->addresses = g_ptr_array_new_with_free_func(g_free);
    h->body = g_string_new(NULL);
    assert_int_equal(cs_net_create(&h->net, h->loop), 0);
    assert_int_equal(cs_http_client_create(&h->client, h->net, 4), 0);
    return h;
}

/* Reads to the end of a pipe and returns the last of it. */
static GString *
read_tail(int fd)
{
    GString *tail = g_string_new(NULL);
    char buffer[4096];
    ssize_t size;

    while ((size = read(fd, buffer, sizeof(buffer))) > 0 ||
           (size < 0 && errno == EINTR)) {
        if (size > 0)
            g_string_append_len(tail, buffer, size);
        if (tail->len > OUTPUT_TAIL_BYTES)
            g_string_erase(tail, 0, (gssize)(tail->len - OUTPUT_TAIL_BYTES));
    }
    return tail;
}

/* Returns whether the program exited with 0; otherwise prints how it ended
   and the last of its output. */
static bool
stop_child(const struct child *child)
{
    GString *tail;
    int status = 0;
    bool passed;

    kill(child->pid, SIGTERM);
    tail = read_tail(child->output);
    waitpid(child->pid, &status, 0);
    passed = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!passed)
        fprintf(stderr, "%s (process %d) ended with %s %d; last output:\n%s\n",
                child->program, child->pid,
                WIFEXITED(status) ? "exit status" : "signal",
                WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status),
                tail->str);
    g_string_free(tail, TRUE);
    close(child->output);
    return passed;
}

int
harness_destroy(struct harness *h)
{
    int failed = 0;
    guint i;

    for (i = h->children->len; i > 0; i--) {
        if (!stop_child(&g_array_index(h->children, struct child, i - 1)))
            failed++;
    }
    cs_http_client_close(h->client);
    cs_net_destroy(h->net);
    cs_http_client_destroy(h->client);
    g_main_loop_unref(h->loop);
    g_array_free(h->children, TRUE);
    g_ptr_array_free(h->addresses, TRUE);
    g_string_free(h->body, TRUE);
    g_free(h);
    return failed;
}

/* Stand-ins print "ready IP:PORT"; daemons log "... on IP:PORT". */
static char *
find_address(const char *line)
{
    const char *at = strstr(line, "ready 127.");
    size_t length;

    if (at)
        at += strlen("ready ");
    else if ((at = strstr(line, " on 127.")) != NULL)
        at += strlen(" on ");
    if (!at)
        return NULL;
    length = strspn(at, "0123456789.:");
    return g_strndup(at, length);
}

static char *
read_address(int fd)
{
    char line[1024];
    size_t length = 0;
    char *address = NULL;

    while (!address && length < sizeof(line) - 1 &&
           read(fd, line + length, 1) == 1) {
        length++;
        if (line[length - 1] != '\n')
            continue;
        line[length] = '\0';
        address = find_address(line);
        length = 0;
    }
    return address;
}

const char *
harness_start(struct harness *h, const char *program, ...)
{
    GPtrArray *words = g_ptr_array_new();
    gchar *path = g_strdup_printf("%s/%s", CS_BUILD, program);
    gboolean daemon = g_str_has_prefix(program, "cs-");
    const char *word;
    char *address;
    struct child child;
    va_list ap;

    g_ptr_array_add(words, path);
    va_start(ap, program);
    while ((word = va_arg(ap, const char *)) != NULL)
        g_ptr_array_add(words, (gpointer)word);
    va_end(ap);
    g_ptr_array_add(words, NULL);
    assert_true(g_spawn_async_with_pipes(
        NULL, (gchar **)words->pdata, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL,
        NULL, &child.pid, NULL, daemon ? NULL : &child.output,
        daemon ? &child.output : NULL, NULL));
    g_strlcpy(child.program, program, sizeof(child.program));
    g_array_append_val(h->children, child);
    address = read_address(child.output);
    assert_non_null(address);
    g_ptr_array_add(h->addresses, address);
    g_ptr_array_free(words, TRUE);
    g_free(path);
    return address;
}

static void
on_done(void *data, const cs_http_answer *answer)
{
    struct harness *h = data;

    h->code = answer->code;
    h->status = answer->status;
    g_string_truncate(h->body, 0);
    g_string_append_len(h->body, answer->body, (gssize)answer->size_bytes);
    g_main_loop_quit(h->loop);
}

static int
finish_call(struct harness *h, json_t **body, cs_http_call *call)
{
    call->deadline_us = cs_clock_boot_us() + CALL_US;
    call->done = on_done;
    call->data = h;
    assert_int_equal(cs_http_client_start(h->client, call), 0);
    g_main_loop_run(h->loop);
    if (body)
        *body = json_loadb(h->body->str, h->body->len, 0, NULL);
    return h->code ? h->code : h->status;
}

int
harness_call(struct harness *h, json_t **body, const char *method,
             const char *address, const char *path, const char *if_match,
             const char *text, size_t size)
{
    cs_http_call call = {.method = method,
                         .address = address,
                         .path = path,
                         .if_match = if_match,
                         .body = text ? text : "",
                         .size_bytes = size};

    return finish_call(h, body, &call);
}

int
harness_call_as(struct harness *h, json_t **body, const char *method,
                const char *address, const char *path, const char *host,
                const char *authorization, const char *text, size_t size)
{
    cs_http_call call = {.method = method,
                         .address = address,
                         .host = host,
                         .path = path,
                         .body = text ? text : "",
                         .size_bytes = size};

    if (authorization) {
        call.headers[0].name = "authorization:";
        call.headers[0].value = authorization;
    }
    return finish_call(h, body, &call);
}

void
harness_wait(struct harness *h, const char *address, const char *path,
             int status)
{
    int64_t until_us = cs_clock_boot_us() + WAIT_US;

    while (harness_call(h, NULL, "GET", address, path, NULL, NULL, 0) !=
           status) {
        assert_true(cs_clock_boot_us() < until_us);
        g_usleep(20000);
    }
}
