#include "fake_fleet_front.h"
#include "fake_fleet_http.h"
#include "corianderstair/errors.h"

#include <errno.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Largest message; the lists of a worker with 500 ends have about 40 KB. */
#define MESSAGE_MAX_BYTES 200000
/* A front rests after each turn of its main loop, which polls all of its
   connections. */
#define REST_US 1000
#define RETRY_US 200

struct fake_fleet_front {
    int fd; /* sends and receives whole messages of JSON */
    pid_t pid;
    guint source;
    uint32_t first;
    uint32_t stride;
    uint32_t count;
    char *buffer;
    fake_fleet *deployment;
    fake_front_advance advance;
    void *advance_data;
    /* In the front's process only. */
    cs_net *net;
};

/* A worker as served by a front. */
struct front_worker {
    fake_fleet_front *front;
    uint32_t number;
    cs_http_server *server;
};

/* Returns NULL if there is no message or, with closed set, no longer a peer.
 */
static json_t *
receive(const fake_fleet_front *front, int flags, bool *closed)
{
    ssize_t size = recv(front->fd, front->buffer, MESSAGE_MAX_BYTES, flags);

    *closed = size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
    return size > 0 ? json_loadb(front->buffer, (size_t)size, 0, NULL) : NULL;
}

static bool
send_text(const fake_fleet_front *front, const char *text, int flags)
{
    return send(front->fd, text, strlen(text), flags | MSG_NOSIGNAL) >= 0;
}

static gboolean
on_response(gint fd, GIOCondition condition, gpointer user_data)
{
    fake_fleet_front *front = user_data;
    bool closed;
    json_t *message;

    while ((message = receive(front, MSG_DONTWAIT, &closed)) != NULL) {
        const char *body = json_string_value(json_object_get(message, "body"));

        cs_http_reply(
            GSIZE_TO_POINTER(
                (gsize)json_integer_value(json_object_get(message, "n"))),
            (int)json_integer_value(json_object_get(message, "status")),
            "application/json", body, strlen(body));
        json_decref(message);
    }
    if (closed)
        _exit(0);
    return G_SOURCE_CONTINUE;
}

static void
on_front_request(cs_http_request *request, void *user_data)
{
    const struct front_worker *worker = user_data;
    fake_fleet_front *front = worker->front;
    size_t size;
    const char *body = cs_http_request_body(request, &size);
    json_t *message = json_pack("{s:I,s:i,s:s,s:s}", "n",
                                (json_int_t)GPOINTER_TO_SIZE(request), "w",
                                (int)worker->number, "path",
                                cs_http_request_path(request), "body", body);
    char *text = json_dumps(message, JSON_COMPACT);

    json_decref(message);
    /* The other end blocks while this one does not read, so responses are read
       until there is room. */
    while (!send_text(front, text, MSG_DONTWAIT)) {
        on_response(front->fd, G_IO_IN, front);
        g_usleep(RETRY_US);
    }
    free(text);
}

static bool
serve_worker(fake_fleet_front *front, uint32_t number)
{
    struct front_worker *worker = g_new0(struct front_worker, 1);
    char text[64];

    worker->front = front;
    worker->number = number;
    if (cs_http_server_create(&worker->server, front->net, "127.0.0.1", 0,
                              on_front_request, worker))
        return false;
    g_snprintf(text, sizeof(text), "{\"w\":%u,\"port\":%u}", number,
               cs_http_server_port(worker->server));
    return send_text(front, text, 0);
}

/* Runs the process of a front, which never returns. */
static void
run_front(fake_fleet_front *front)
{
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);
    uint32_t number;

    signal(SIGPIPE, SIG_IGN);
    if (cs_net_create(&front->net, loop))
        _exit(1);
    for (number = front->first; number < front->count;
         number += front->stride) {
        if (!serve_worker(front, number))
            _exit(1);
    }
    g_unix_fd_add(front->fd, G_IO_IN | G_IO_HUP, on_response, front);
    for (;;) {
        g_main_context_iteration(NULL, TRUE);
        g_usleep(REST_US);
    }
}

int
fake_fleet_front_fork(fake_fleet_front **out, uint32_t first, uint32_t stride,
                      uint32_t count)
{
    fake_fleet_front *front = g_new0(fake_fleet_front, 1);
    int pair[2];

    front->first = first;
    front->stride = stride;
    front->count = count;
    front->buffer = g_malloc(MESSAGE_MAX_BYTES);
    if (socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, pair) ||
        (front->pid = fork()) < 0) {
        g_free(front->buffer);
        g_free(front);
        return cs_error_set(CS_E_SYSTEM, "cannot start a front");
    }
    front->fd = pair[front->pid == 0];
    close(pair[front->pid != 0]);
    if (front->pid == 0)
        run_front(front);
    *out = front;
    return 0;
}

struct worker_call {
    const fake_fleet_front *front;
    json_int_t number;
};

static void
send_response(void *user_data, int status, json_t *body)
{
    struct worker_call *call = user_data;
    char *body_text = json_dumps(body, JSON_COMPACT);
    json_t *message = json_pack("{s:I,s:i,s:s}", "n", call->number, "status",
                                status, "body", body_text);
    char *text = json_dumps(message, JSON_COMPACT);

    send_text(call->front, text, 0);
    free(text);
    free(body_text);
    json_decref(message);
    g_free(call);
}

static void
handle_request(fake_fleet_front *front, const json_t *message)
{
    struct worker_call *call = g_new0(struct worker_call, 1);
    const char *body = json_string_value(json_object_get(message, "body"));

    call->front = front;
    call->number = json_integer_value(json_object_get(message, "n"));
    fake_fleet_http_worker_call(
        front->deployment,
        (uint32_t)json_integer_value(json_object_get(message, "w")),
        json_string_value(json_object_get(message, "path")), body,
        strlen(body), send_response, call);
}

static gboolean
on_request(gint fd, GIOCondition condition, gpointer user_data)
{
    fake_fleet_front *front = user_data;
    bool closed;
    json_t *message;

    front->advance(front->advance_data);
    while ((message = receive(front, MSG_DONTWAIT, &closed)) != NULL) {
        handle_request(front, message);
        json_decref(message);
    }
    if (!closed)
        return G_SOURCE_CONTINUE;
    front->source = 0;
    return G_SOURCE_REMOVE;
}

static bool
receive_address(fake_fleet_front *front)
{
    bool closed;
    json_t *message = receive(front, 0, &closed);
    char address[32];

    if (!message)
        return false;
    g_snprintf(address, sizeof(address), "127.0.0.1:%d",
               (int)json_integer_value(json_object_get(message, "port")));
    fake_fleet_set_address(
        front->deployment,
        (uint32_t)json_integer_value(json_object_get(message, "w")), address);
    json_decref(message);
    return true;
}

int
fake_fleet_front_attach(fake_fleet_front *front, fake_fleet *deployment,
                        fake_front_advance advance, void *user_data)
{
    uint32_t number;

    front->deployment = deployment;
    front->advance = advance;
    front->advance_data = user_data;
    for (number = front->first; number < front->count;
         number += front->stride) {
        if (!receive_address(front))
            return cs_error_set(CS_E_SYSTEM, "a front has not started");
    }
    front->source = g_unix_fd_add(front->fd, G_IO_IN, on_request, front);
    return 0;
}

void
fake_fleet_front_destroy(fake_fleet_front *front)
{
    if (!front)
        return;
    if (front->source)
        g_source_remove(front->source);
    close(front->fd);
    waitpid(front->pid, NULL, 0);
    g_free(front->buffer);
    g_free(front);
}
