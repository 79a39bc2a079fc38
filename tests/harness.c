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

#define CALL_TIMEOUT_US (10 * CS_SEC_US)
#define WAIT_TIMEOUT_US (20 * CS_SEC_US)

#define OUTPUT_TAIL_BYTES 8192

struct child {
    GPid pid;
    char program[32];
    int output_fd; /* pipe from its stderr if it is a daemon, else stdout */
};

struct harness {
    GMainLoop *loop;
    cs_net *net;
    cs_http_client *client;
    GArray *children; /* of struct child */
    GPtrArray *addresses;
    /* The last response. */
    int call_code; /* 0, or a negative cs_code if there was no response */
    int http_status;
    GString *response_body;
};

struct harness *
harness_create(void)
{
    struct harness *harness = g_new0(struct harness, 1);

    signal(SIGPIPE, SIG_IGN);
    harness->loop = g_main_loop_new(NULL, FALSE);
    harness->children = g_array_new(FALSE, FALSE, sizeof(struct child));
    harness->addresses = g_ptr_array_new_with_free_func(g_free);
    harness->response_body = g_string_new(NULL);
    assert_int_equal(cs_net_create(&harness->net, harness->loop), 0);
    assert_int_equal(cs_http_client_create(&harness->client, harness->net, 4),
                     0);
    return harness;
}

/* Reads a pipe until it is closed and returns the last OUTPUT_TAIL_BYTES. */
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

/* Stops a program and returns whether it exited with status 0; otherwise
   prints its exit status or signal and the end of its output. */
static bool
stop_child(const struct child *child)
{
    GString *tail;
    int status = 0;
    bool exited_with_0;

    kill(child->pid, SIGTERM);
    tail = read_tail(child->output_fd);
    waitpid(child->pid, &status, 0);
    exited_with_0 = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!exited_with_0)
        fprintf(stderr, "%s (process %d) ended with %s %d; last output:\n%s\n",
                child->program, child->pid,
                WIFEXITED(status) ? "exit status" : "signal",
                WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status),
                tail->str);
    g_string_free(tail, TRUE);
    close(child->output_fd);
    return exited_with_0;
}

int
harness_destroy(struct harness *harness)
{
    int failed = 0;
    guint i;

    for (i = harness->children->len; i > 0; i--) {
        if (!stop_child(
                &g_array_index(harness->children, struct child, i - 1)))
            failed++;
    }
    cs_http_client_close(harness->client);
    cs_net_destroy(harness->net);
    cs_http_client_destroy(harness->client);
    g_main_loop_unref(harness->loop);
    g_array_free(harness->children, TRUE);
    g_ptr_array_free(harness->addresses, TRUE);
    g_string_free(harness->response_body, TRUE);
    g_free(harness);
    return failed;
}

/* Returns the address in a line of output, or NULL: the stand-ins for the
   platform print "ready IP:PORT", the daemons log "... on IP:PORT". */
static char *
find_address(const char *line)
{
    const char *address = strstr(line, "ready 127.");
    size_t length;

    if (address)
        address += strlen("ready ");
    else if ((address = strstr(line, " on 127.")) != NULL)
        address += strlen(" on ");
    if (!address)
        return NULL;
    length = strspn(address, "0123456789.:");
    return g_strndup(address, length);
}

/* Reads lines of output up to the first one with an address. */
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
harness_start(struct harness *harness, const char *program, ...)
{
    GPtrArray *argv = g_ptr_array_new();
    gchar *path = g_strdup_printf("%s/%s", CS_BUILD, program);
    gboolean is_daemon = g_str_has_prefix(program, "cs-");
    const char *argument;
    char *address;
    struct child child;
    va_list arguments;

    g_ptr_array_add(argv, path);
    va_start(arguments, program);
    while ((argument = va_arg(arguments, const char *)) != NULL)
        g_ptr_array_add(argv, (gpointer)argument);
    va_end(arguments);
    g_ptr_array_add(argv, NULL);
    assert_true(g_spawn_async_with_pipes(
        NULL, (gchar **)argv->pdata, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL,
        NULL, &child.pid, NULL, is_daemon ? NULL : &child.output_fd,
        is_daemon ? &child.output_fd : NULL, NULL));
    g_strlcpy(child.program, program, sizeof(child.program));
    g_array_append_val(harness->children, child);
    address = read_address(child.output_fd);
    assert_non_null(address);
    g_ptr_array_add(harness->addresses, address);
    g_ptr_array_free(argv, TRUE);
    g_free(path);
    return address;
}

static void
on_response(void *user_data, const cs_http_response *response)
{
    struct harness *harness = user_data;

    harness->call_code = response->code;
    harness->http_status = response->status;
    g_string_truncate(harness->response_body, 0);
    g_string_append_len(harness->response_body, response->body,
                        (gssize)response->size_bytes);
    g_main_loop_quit(harness->loop);
}

static int
run_call(struct harness *harness, json_t **body, cs_http_call *call)
{
    call->deadline_us = cs_clock_boot_us() + CALL_TIMEOUT_US;
    call->done = on_response;
    call->user_data = harness;
    assert_int_equal(cs_http_client_start(harness->client, call), 0);
    g_main_loop_run(harness->loop);
    if (body)
        *body = json_loadb(harness->response_body->str,
                           harness->response_body->len, 0, NULL);
    return harness->call_code ? harness->call_code : harness->http_status;
}

int
harness_call(struct harness *harness, json_t **body, const char *method,
             const char *address, const char *path, const char *if_match,
             const char *text, size_t size)
{
    cs_http_call call = {.method = method,
                         .address = address,
                         .path = path,
                         .if_match = if_match,
                         .body = text ? text : "",
                         .size_bytes = size};

    return run_call(harness, body, &call);
}

int
harness_call_as(struct harness *harness, json_t **body, const char *method,
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
    return run_call(harness, body, &call);
}

void
harness_wait_for_status(struct harness *harness, const char *address,
                        const char *path, int status)
{
    int64_t deadline_us = cs_clock_boot_us() + WAIT_TIMEOUT_US;

    while (harness_call(harness, NULL, "GET", address, path, NULL, NULL, 0) !=
           status) {
        assert_true(cs_clock_boot_us() < deadline_us);
        g_usleep(20000);
    }
}
