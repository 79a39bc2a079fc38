/* Tests what the HTTP client reports of a call, and how it uses its
   connections. */
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/http_client.h"
#include "corianderstair/http_server.h"

#include <arpa/inet.h>
#include <glib-unix.h>
#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/lsan_interface.h>
#endif
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <string.h>

#define SLOTS 2

struct fixture {
    GMainLoop *loop;
    cs_net *net;
    cs_http_server *server;
    cs_http_client *client;
    char address[32];
    uint32_t received; /* requests that reached the server */
    uint32_t ended;    /* calls whose done has run */
    bool single_use;   /* each call uses a connection of its own */
    size_t body_bytes; /* of each call; 0 for one */
    uint32_t not_sent; /* ended calls that were reported as not sent */
};

static void
on_request(cs_http_request *request, void *user_data)
{
    struct fixture *fixture = user_data;

    fixture->received++;
    cs_http_reply(request, 200, "text/plain", "x", 1);
}

static void
on_done(void *user_data, const cs_http_response *response)
{
    struct fixture *fixture = user_data;

    fixture->ended++;
    if (response->code == CS_E_CONNECT || response->code == CS_E_OVERLOAD)
        fixture->not_sent++;
}

static gboolean
quit(gpointer user_data)
{
    g_main_loop_quit(user_data);
    return G_SOURCE_REMOVE;
}

static void
run_for(struct fixture *fixture, guint ms)
{
    g_timeout_add(ms, quit, fixture->loop);
    g_main_loop_run(fixture->loop);
}

static void
start_call(struct fixture *fixture, int64_t timeout_us)
{
    size_t body_bytes = MAX(fixture->body_bytes, 1);
    char *body = g_strnfill(body_bytes, 'y');
    cs_http_call call = {.method = "POST",
                         .address = fixture->address,
                         .path = "/x",
                         .body = body,
                         .size_bytes = body_bytes,
                         .deadline_us = cs_clock_boot_us() + timeout_us,
                         .single_use = fixture->single_use,
                         .done = on_done,
                         .user_data = fixture};

    assert_int_equal(cs_http_client_start(fixture->client, &call), 0);
    g_free(body);
}

static void
fixture_init(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    signal(SIGPIPE, SIG_IGN);
    fixture->loop = g_main_loop_new(NULL, FALSE);
    assert_int_equal(cs_net_create(&fixture->net, fixture->loop), 0);
    assert_int_equal(cs_http_server_create(&fixture->server, fixture->net,
                                           "127.0.0.1", 0, on_request,
                                           fixture),
                     0);
    assert_int_equal(
        cs_http_client_create(&fixture->client, fixture->net, SLOTS), 0);
    g_snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%u",
               cs_http_server_port(fixture->server));
}

static void
fixture_dispose(struct fixture *fixture)
{
    cs_http_client_close(fixture->client);
    cs_net_destroy(fixture->net);
    cs_http_client_destroy(fixture->client);
    cs_http_server_destroy(fixture->server);
    g_main_loop_unref(fixture->loop);
}

/*
 * A call that is reported as not sent must never reach the server. Calls that
 * pass their deadline while they are queued, or while they take over an idle
 * connection, could be reported so and still be sent.
 */
static void
http__call_reported_as_not_sent_is_not_sent(void **state)
{
    struct fixture fixture;
    uint32_t i;

    fixture_init(&fixture);
    /* Leaves idle connections, which a call can reuse at once. */
    for (i = 0; i < SLOTS; i++)
        start_call(&fixture, CS_SEC_US);
    run_for(&fixture, 50);
    assert_int_equal(fixture.received, SLOTS);
    fixture.received = 0;
    fixture.ended = 0;
    for (i = 0; i < 40; i++) {
        start_call(&fixture, CS_MS_US);
        start_call(&fixture, CS_MS_US);
        start_call(&fixture, CS_MS_US);
        g_usleep(1500);
        run_for(&fixture, 3);
    }
    run_for(&fixture, 100);
    assert_int_equal(fixture.ended, 120);
    assert_true(fixture.received + fixture.not_sent <= 120);
    /* All slots are free again. */
    fixture.received = 0;
    fixture.ended = 0;
    fixture.not_sent = 0;
    for (i = 0; i < 2 * SLOTS; i++)
        start_call(&fixture, CS_SEC_US);
    run_for(&fixture, 200);
    assert_int_equal(fixture.ended, 2 * SLOTS);
    assert_int_equal(fixture.received, 2 * SLOTS);
    assert_int_equal(fixture.not_sent, 0);
    fixture_dispose(&fixture);
}

/* A server that answers only the first request of each connection. */
struct silent_server {
    int fd; /* listening socket */
    uint16_t port;
    uint32_t connections;      /* accepted so far */
    uint32_t responded;        /* responses sent */
    GHashTable *responded_fds; /* open connections that had their response */
};

static gboolean
on_silent_data(gint fd, GIOCondition condition, gpointer user_data)
{
    static const char response[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    struct silent_server *silent = user_data;
    char buffer[4096];

    if (read(fd, buffer, sizeof(buffer)) <= 0) {
        g_hash_table_remove(silent->responded_fds, GINT_TO_POINTER(fd));
        close(fd);
        return G_SOURCE_REMOVE;
    }
    if (!g_hash_table_add(silent->responded_fds, GINT_TO_POINTER(fd)))
        return G_SOURCE_CONTINUE;
    silent->responded++;
    assert_int_equal(write(fd, response, sizeof(response) - 1),
                     sizeof(response) - 1);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_silent_connection(gint fd, GIOCondition condition, gpointer user_data)
{
    struct silent_server *silent = user_data;
    int peer = accept(fd, NULL, NULL);

    silent->connections++;
    g_unix_fd_add(peer, G_IO_IN, on_silent_data, silent);
    return G_SOURCE_CONTINUE;
}

static void
silent_init(struct silent_server *silent)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);

    memset(silent, 0, sizeof(*silent));
    silent->responded_fds = g_hash_table_new(g_direct_hash, g_direct_equal);
    silent->fd = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(
        bind(silent->fd, (struct sockaddr *)&address, sizeof(address)), 0);
    assert_int_equal(listen(silent->fd, 8), 0);
    getsockname(silent->fd, (struct sockaddr *)&address, &size);
    silent->port = ntohs(address.sin_port);
    g_unix_fd_add(silent->fd, G_IO_IN, on_silent_connection, silent);
}

/* After a call without a response the next call opens a new connection. */
static void
http__silent_connection_is_replaced(void **state)
{
    struct fixture fixture;
    struct silent_server silent;
    uint32_t i;

    fixture_init(&fixture);
    silent_init(&silent);
    g_snprintf(fixture.address, sizeof(fixture.address), "127.0.0.1:%u",
               silent.port);
    for (i = 0; i < 6; i++) {
        start_call(&fixture, 100 * CS_MS_US);
        run_for(&fixture, 200);
    }
    assert_int_equal(fixture.ended, 6);
    /* Every other call reuses a connection that no longer answers. */
    assert_int_equal(silent.responded, 3);
    assert_int_equal(silent.connections, 3);
    fixture_dispose(&fixture);
    while (g_source_remove_by_user_data(&silent))
        ;
    g_hash_table_destroy(silent.responded_fds);
    close(silent.fd);
}

/* Guards against a call on a connection whose server has answered the former
   call before it received its body: it would read the call as the rest of that
   body. */
static void
http__connection_with_an_unsent_body_is_not_reused(void **state)
{
    struct fixture fixture;
    struct silent_server silent;

    fixture_init(&fixture);
    silent_init(&silent);
    g_snprintf(fixture.address, sizeof(fixture.address), "127.0.0.1:%u",
               silent.port);
    /* More than fits into the buffers of the sockets. */
    fixture.body_bytes = (size_t)16 << 20;
    start_call(&fixture, 10 * CS_SEC_US);
    while (fixture.ended == 0)
        run_for(&fixture, 1);
    fixture.body_bytes = 0;
    start_call(&fixture, CS_SEC_US);
    while (fixture.ended == 1)
        run_for(&fixture, 1);
    assert_int_equal(silent.connections, 2);
    fixture_dispose(&fixture);
    while (g_source_remove_by_user_data(&silent))
        ;
    g_hash_table_destroy(silent.responded_fds);
    close(silent.fd);
}

/* A single-use call opens a connection of its own, which is closed after. */
static void
http__single_use_connection_is_closed(void **state)
{
    struct fixture fixture;
    struct silent_server silent;
    uint32_t i;

    fixture_init(&fixture);
    silent_init(&silent);
    g_snprintf(fixture.address, sizeof(fixture.address), "127.0.0.1:%u",
               silent.port);
    fixture.single_use = true;
    for (i = 0; i < 4; i++) {
        start_call(&fixture, 2 * CS_SEC_US);
        run_for(&fixture, 100);
    }
    assert_int_equal(fixture.ended, 4);
    assert_int_equal(silent.responded, 4);
    assert_int_equal(silent.connections, 4);
    assert_int_equal(g_hash_table_size(silent.responded_fds), 0);
    fixture_dispose(&fixture);
    while (g_source_remove_by_user_data(&silent))
        ;
    g_hash_table_destroy(silent.responded_fds);
    close(silent.fd);
}

static int
fill_backlog(const struct silent_server *silent)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(silent->port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_unix_set_fd_nonblocking(fd, TRUE, NULL);
    (void)!connect(fd, (struct sockaddr *)&address, sizeof(address));
    return fd;
}

/* Connection attempts that hang free their slots at the calls' deadlines. */
static void
http__hanging_connections_free_their_slots(void **state)
{
    struct fixture fixture;
    struct silent_server silent;
    int backlog_fds[4];
    uint32_t i;

    fixture_init(&fixture);
    silent_init(&silent);
    while (g_source_remove_by_user_data(&silent))
        ;
    listen(silent.fd, 0);
    for (i = 0; i < G_N_ELEMENTS(backlog_fds); i++)
        backlog_fds[i] = fill_backlog(&silent);
    g_snprintf(fixture.address, sizeof(fixture.address), "127.0.0.1:%u",
               silent.port);
    for (i = 0; i < 4 * SLOTS; i++) {
        start_call(&fixture, 40 * CS_MS_US);
        run_for(&fixture, 60);
    }
    assert_int_equal(fixture.ended, 4 * SLOTS);
    assert_int_equal(fixture.not_sent, 4 * SLOTS);
    for (i = 0; i < G_N_ELEMENTS(backlog_fds); i++)
        close(backlog_fds[i]);
    listen(silent.fd, 16);
    g_unix_fd_add(silent.fd, G_IO_IN, on_silent_connection, &silent);
    run_for(&fixture, 100);
    fixture.ended = 0;
    fixture.not_sent = 0;
    for (i = 0; i < SLOTS; i++)
        start_call(&fixture, 5 * CS_SEC_US);
    run_for(&fixture, 500);
    assert_int_equal(fixture.ended, SLOTS);
    assert_int_equal(fixture.not_sent, 0);
    fixture_dispose(&fixture);
    while (g_source_remove_by_user_data(&silent))
        ;
    g_hash_table_destroy(silent.responded_fds);
    close(silent.fd);
}

/* A server that sends a body of TRICKLE_BYTES, one byte each 40 ms. */
#define TRICKLE_BYTES 8

struct trickle {
    int listener_fd;
    int fd;
    uint32_t sent;
    uint32_t stop_at; /* sends no further byte then */
    bool silent;      /* accepts connections and sends nothing at all */
    cs_http_response response;
    bool ended;
};

static gboolean
on_trickle_timer(gpointer user_data)
{
    struct trickle *trickle = user_data;

    if (trickle->sent == trickle->stop_at)
        return G_SOURCE_REMOVE;
    trickle->sent++;
    return write(trickle->fd, "x", 1) == 1 ? G_SOURCE_CONTINUE
                                           : G_SOURCE_REMOVE;
}

static gboolean
on_trickle_connection(gint fd, GIOCondition condition, gpointer user_data)
{
    static const char headers[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
    struct trickle *trickle = user_data;

    trickle->fd = accept(fd, NULL, NULL);
    if (trickle->silent)
        return G_SOURCE_CONTINUE;
    assert_int_equal(write(trickle->fd, headers, sizeof(headers) - 1),
                     sizeof(headers) - 1);
    g_timeout_add(40, on_trickle_timer, trickle);
    return G_SOURCE_CONTINUE;
}

static void
on_trickle_done(void *user_data, const cs_http_response *response)
{
    struct trickle *trickle = user_data;

    trickle->response = *response;
    trickle->ended = true;
}

/* Calls a server that stops after some bytes, with a total timeout. */
static void
run_trickle(struct trickle *trickle, uint32_t stop_at, int64_t total_us,
            bool silent)
{
    struct fixture fixture;
    struct silent_server listener;
    int64_t now_us;
    cs_http_call call = {.method = "GET",
                         .path = "/x",
                         .progress_us = 120 * CS_MS_US,
                         .done = on_trickle_done,
                         .user_data = trickle};

    memset(trickle, 0, sizeof(*trickle));
    trickle->stop_at = stop_at;
    trickle->silent = silent;
    fixture_init(&fixture);
    silent_init(&listener);
    while (g_source_remove_by_user_data(&listener))
        ;
    g_unix_fd_add(listener.fd, G_IO_IN, on_trickle_connection, trickle);
    g_snprintf(fixture.address, sizeof(fixture.address), "127.0.0.1:%u",
               listener.port);
    call.address = fixture.address;
    now_us = cs_clock_boot_us();
    call.progress_deadline_us = now_us + 120 * CS_MS_US;
    call.deadline_us = now_us + total_us;
    cs_http_client_call(fixture.client, &call);
    run_for(&fixture, 700);
    assert_true(trickle->ended);
    fixture_dispose(&fixture);
    while (g_source_remove_by_user_data(trickle))
        ;
    g_hash_table_destroy(listener.responded_fds);
    close(trickle->fd);
    close(listener.fd);
}

/* Guards against abandoning a slow transfer that makes progress, and against
   waiting for one that has stalled or never ends, or for a silent server. */
static void
http__transfer_continues_while_bytes_arrive(void **state)
{
    struct trickle trickle;

    run_trickle(&trickle, TRICKLE_BYTES, 5 * CS_SEC_US, false);
    assert_int_equal(trickle.response.code, 0);
    assert_int_equal(trickle.response.size_bytes, TRICKLE_BYTES);
    run_trickle(&trickle, TRICKLE_BYTES / 2, 5 * CS_SEC_US, false);
    assert_int_equal(trickle.response.code, CS_E_TIMEOUT);
    assert_int_equal(trickle.response.status, 200);
    run_trickle(&trickle, TRICKLE_BYTES, 200 * CS_MS_US, false);
    assert_int_equal(trickle.response.code, CS_E_TIMEOUT);
    run_trickle(&trickle, 0, 5 * CS_SEC_US, true);
    assert_int_equal(trickle.response.code, CS_E_TIMEOUT);
    assert_int_equal(trickle.response.status, 0);
}

/* Returns 1 if the address sanitizer finds leaks; 0 also without it. */
static int
found_leaks(void)
{
#ifdef __SANITIZE_ADDRESS__
    return __lsan_do_recoverable_leak_check();
#else
    return 0;
#endif
}

/*
 * A call that reuses an idle connection replaces its libwebsockets object,
 * which the library destroys only in the next iteration of the main loop. It
 * must not leak if the client is destroyed before that.
 */
static void
http__client_is_destroyed_after_a_call_reused_a_connection(void **state)
{
    struct fixture fixture;

    fixture_init(&fixture);
    start_call(&fixture, CS_SEC_US);
    run_for(&fixture, 50);
    assert_int_equal(fixture.received, 1);
    start_call(&fixture, CS_SEC_US);
    fixture_dispose(&fixture);
    assert_int_equal(fixture.ended, 2);
    assert_int_equal(found_leaks(), 0);
}

/* As above, with the call's deadline passing in that iteration. */
static void
http__client_is_destroyed_after_a_reused_connection_timed_out(void **state)
{
    struct fixture fixture;

    fixture_init(&fixture);
    start_call(&fixture, CS_SEC_US);
    run_for(&fixture, 50);
    start_call(&fixture, CS_MS_US);
    g_usleep(3 * CS_MS_US);
    g_main_context_iteration(NULL, FALSE);
    fixture_dispose(&fixture);
    assert_int_equal(fixture.ended, 2);
    assert_int_equal(found_leaks(), 0);
}

static void
silent_dispose(struct silent_server *silent)
{
    while (g_source_remove_by_user_data(silent))
        continue;
    g_hash_table_destroy(silent->responded_fds);
    close(silent->fd);
}

/* Keeps requests open until the test answers them. */
static void
on_held_request(cs_http_request *request, void *user_data)
{
    g_ptr_array_add(user_data, request);
}

static gboolean
keep_source(gint fd, GIOCondition condition, gpointer user_data)
{
    return G_SOURCE_CONTINUE;
}

static int
connect_to(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    return fd;
}

static void
send_text(int fd, const char *text)
{
    assert_int_equal(write(fd, text, strlen(text)), strlen(text));
}

/* Runs the main loop for a duration and returns the number of iterations. */
static uint32_t
count_iterations(guint ms)
{
    int64_t end_us = cs_clock_boot_us() + ms * CS_MS_US;
    uint32_t iterations = 0;

    while (cs_clock_boot_us() < end_us) {
        if (g_main_context_iteration(NULL, FALSE))
            iterations++;
        else
            g_usleep(200);
    }
    return iterations;
}

/*
 * Guards against a process that turns at a full core, and takes in no answer
 * to its own calls, while a request is open whose caller has left.
 */
static void
http__caller_that_leaves_does_not_hold_up_calls(void **state)
{
    static const char *const requests[] = {
        "GET /held HTTP/1.1\r\nHost: h\r\n\r\n",
        "DELETE /held HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(requests); i++) {
        GPtrArray *held = g_ptr_array_new();
        struct silent_server responder;
        struct fixture fixture;
        cs_http_server *server;
        int fd;

        fixture_init(&fixture);
        silent_init(&responder);
        assert_int_equal(cs_http_server_create(&server, fixture.net,
                                               "127.0.0.1", 0, on_held_request,
                                               held),
                         0);
        fd = connect_to(cs_http_server_port(server));
        send_text(fd, requests[i]);
        run_for(&fixture, 50);
        assert_int_equal(held->len, 1);
        close(fd);
        assert_in_range(count_iterations(200), 0, 200);
        g_snprintf(fixture.address, sizeof(fixture.address), "127.0.0.1:%u",
                   responder.port);
        start_call(&fixture, CS_SEC_US);
        run_for(&fixture, 100);
        assert_int_equal(fixture.ended, 1);
        cs_http_reply(g_ptr_array_index(held, 0), 200, "text/plain", "x", 1);
        run_for(&fixture, 50);
        assert_int_equal(cs_http_server_open_requests(server), 0);
        fixture_dispose(&fixture);
        silent_dispose(&responder);
        cs_http_server_destroy(server);
        g_ptr_array_free(held, TRUE);
    }
}

/* Guards against a body that comes with the headers and is only delivered once
   no source of the main loop is ready. */
static void
http__body_is_delivered_while_the_loop_is_busy(void **state)
{
    struct silent_server responder;
    struct fixture fixture;
    int pipe_fds[2];
    guint source;

    fixture_init(&fixture);
    silent_init(&responder);
    g_snprintf(fixture.address, sizeof(fixture.address), "127.0.0.1:%u",
               responder.port);
    assert_int_equal(pipe(pipe_fds), 0);
    source = g_unix_fd_add(pipe_fds[1], G_IO_OUT, keep_source, NULL);
    start_call(&fixture, CS_SEC_US);
    run_for(&fixture, 100);
    assert_int_equal(fixture.ended, 1);
    g_source_remove(source);
    close(pipe_fds[0]);
    close(pipe_fds[1]);
    fixture_dispose(&fixture);
    silent_dispose(&responder);
}

/* Guards against a client that gets no answer to a body that is too large: it
   sends all of it before it reads, and the connection is reset meanwhile,
   which some clients take for the end without an answer. */
static void
http__client_that_sends_before_it_reads_is_not_reset(void **state)
{
    char *body = g_strnfill(300 * 1024, 'x');
    struct fixture fixture;
    char answer[64] = "";
    size_t sent = 0;
    uint32_t i;
    int fd;

    fixture_init(&fixture);
    cs_http_server_set_body_limit(fixture.server, 64 * 1024);
    fd = connect_to(cs_http_server_port(fixture.server));
    send_text(fd, "POST /x HTTP/1.1\r\nHost: h\r\n"
                  "Content-Length: 307200\r\n\r\n");
    for (i = 0; i < 300; i++) {
        ssize_t size = send(fd, body + sent, MIN(strlen(body) - sent, 4096),
                            MSG_DONTWAIT | MSG_NOSIGNAL);

        assert_true(size >= 0 || errno == EAGAIN);
        sent += (size_t)MAX(size, 0);
        count_iterations(1);
    }
    assert_true(recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT) > 0);
    answer[strlen("HTTP/1.1 413")] = '\0';
    assert_string_equal(answer, "HTTP/1.1 413");
    close(fd);
    fixture_dispose(&fixture);
    g_free(body);
}

/* Guards against connections that serve one request and then no other, because
   reading was stopped for the first. */
static void
http__connection_serves_further_requests(void **state)
{
    static const char get[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    static const char post[] =
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\ny";
    struct fixture fixture;
    uint32_t i;
    int fd;

    fixture_init(&fixture);
    fd = connect_to(cs_http_server_port(fixture.server));
    for (i = 1; i <= 10; i++) {
        send_text(fd, i % 3 ? get : post);
        run_for(&fixture, 20);
        assert_int_equal(fixture.received, i);
    }
    close(fd);
    run_for(&fixture, 20);
    fixture_dispose(&fixture);
}

/* Guards against a process that hangs for good at a full core once a caller
   has sent requests without waiting for their responses. */
static void
http__pipelined_requests_do_not_hang_the_process(void **state)
{
    static const char *const pairs[] = {
        "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
        "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\ny"
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\ny",
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(pairs); i++) {
        GPtrArray *held = g_ptr_array_new();
        struct fixture fixture;
        cs_http_server *server;
        int fd;

        fixture_init(&fixture);
        assert_int_equal(cs_http_server_create(&server, fixture.net,
                                               "127.0.0.1", 0, on_held_request,
                                               held),
                         0);
        fd = connect_to(cs_http_server_port(server));
        send_text(fd, pairs[i]);
        assert_in_range(count_iterations(100), 0, 200);
        assert_in_range(held->len, 1, 2);
        cs_http_reply(g_ptr_array_index(held, 0), 200, "text/plain", "x", 1);
        assert_in_range(count_iterations(100), 0, 200);
        if (held->len == 2)
            cs_http_reply(g_ptr_array_index(held, 1), 200, "text/plain", "x",
                          1);
        run_for(&fixture, 50);
        start_call(&fixture, CS_SEC_US);
        run_for(&fixture, 100);
        assert_int_equal(fixture.ended, 1);
        close(fd);
        run_for(&fixture, 50);
        assert_int_equal(cs_http_server_open_requests(server), 0);
        fixture_dispose(&fixture);
        cs_http_server_destroy(server);
        g_ptr_array_free(held, TRUE);
    }
}

/* Starts a process that opens connections and holds them; returns its id. */
static pid_t
hold_connections(uint16_t port, uint32_t count)
{
    pid_t child = fork();
    uint32_t i;

    if (child)
        return child;
    /* It ends with the test also if that fails. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (i = 0; i < count; i++)
        connect_to(port);
    for (;;)
        pause();
}

/* Lowers the descriptors of the process to a few more than are open. */
static void
lower_descriptors(struct rlimit *former)
{
    struct rlimit lowered;
    int next_fd = dup(0);

    close(next_fd);
    getrlimit(RLIMIT_NOFILE, former);
    lowered = *former;
    lowered.rlim_cur = (rlim_t)next_fd + 10;
    assert_int_equal(setrlimit(RLIMIT_NOFILE, &lowered), 0);
}

/* Guards against a process that turns at a full core while more connections
   come than it has descriptors for. */
static void
http__exhausted_descriptors_do_not_keep_the_loop_busy(void **state)
{
    struct fixture fixture;
    struct rlimit former;
    uint32_t iterations;
    pid_t child;

    fixture_init(&fixture);
    child = hold_connections(cs_http_server_port(fixture.server), 40);
    lower_descriptors(&former);
    iterations = count_iterations(300);
    setrlimit(RLIMIT_NOFILE, &former);
    kill(child, SIGKILL);
    waitpid(child, NULL, 0);
    assert_in_range(iterations, 0, 200);
    run_for(&fixture, 50);
    start_call(&fixture, CS_SEC_US);
    run_for(&fixture, 100);
    assert_int_equal(fixture.ended, 1);
    fixture_dispose(&fixture);
}

/* Guards against clients that take the descriptors which the process needs for
   its own calls. */
static void
http__clients_leave_descriptors_for_own_calls(void **state)
{
    const cs_http_limits limits = {
        .held_bytes = 1 << 20, .connections = 4, .body_bytes = 1000};
    struct fixture fixture;
    struct rlimit former;
    pid_t child;

    fixture_init(&fixture);
    cs_http_server_set_limits(fixture.server, &limits);
    child = hold_connections(cs_http_server_port(fixture.server), 40);
    lower_descriptors(&former);
    run_for(&fixture, 100);
    fixture.body_bytes = 0;
    start_call(&fixture, CS_SEC_US);
    run_for(&fixture, 100);
    setrlimit(RLIMIT_NOFILE, &former);
    kill(child, SIGKILL);
    waitpid(child, NULL, 0);
    assert_int_equal(fixture.ended, 1);
    assert_int_equal(fixture.not_sent, 0);
    fixture_dispose(&fixture);
}

/* Reads what has come on a connection, up to a size. */
static char *
read_text(int fd)
{
    char text[4096];
    ssize_t size = recv(fd, text, sizeof(text), MSG_DONTWAIT);

    return g_strndup(text, (gsize)MAX(size, 0));
}

/*
 * While open requests use up the memory, a further one is refused without
 * being passed on, with a status that promises nothing for earlier requests.
 * Once they are answered, requests are served again.
 */
static void
http__request_without_room_is_refused_without_a_promise(void **state)
{
    static const char post[] =
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\ny";
    const cs_http_limits limits = {
        .held_bytes = 40000, .connections = 10, .body_bytes = 1000};
    GPtrArray *held = g_ptr_array_new();
    struct fixture fixture;
    cs_http_server *server;
    char *text;
    int fds[8];
    uint32_t i;

    fixture_init(&fixture);
    assert_int_equal(cs_http_server_create(&server, fixture.net, "127.0.0.1",
                                           0, on_held_request, held),
                     0);
    cs_http_server_set_limits(server, &limits);
    cs_http_server_set_overload_status(server, 504);
    for (i = 0; i < G_N_ELEMENTS(fds); i++) {
        fds[i] = connect_to(cs_http_server_port(server));
        send_text(fds[i], post);
        run_for(&fixture, 20);
    }
    assert_in_range(held->len, 1, G_N_ELEMENTS(fds) - 1);
    text = read_text(fds[G_N_ELEMENTS(fds) - 1]);
    assert_non_null(strstr(text, "HTTP/1.1 504 "));
    assert_non_null(strstr(text, "\"run\":\"unknown\""));
    g_free(text);
    for (i = 0; i < held->len; i++)
        cs_http_reply(g_ptr_array_index(held, i), 200, "text/plain", "x", 1);
    run_for(&fixture, 20);
    text = read_text(fds[0]);
    assert_non_null(strstr(text, "HTTP/1.1 200 "));
    g_free(text);
    g_ptr_array_set_size(held, 0);
    send_text(fds[0], post);
    run_for(&fixture, 20);
    assert_int_equal(held->len, 1);
    cs_http_reply(g_ptr_array_index(held, 0), 200, "text/plain", "x", 1);
    for (i = 0; i < G_N_ELEMENTS(fds); i++)
        close(fds[i]);
    fixture_dispose(&fixture);
    cs_http_server_destroy(server);
    g_ptr_array_free(held, TRUE);
}

/* Returns a request with random changes. */
static GString *
random_request(GRand *rand)
{
    static const char *const requests[] = {
        "GET /x?a=1&b=%20 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\n"
        "{\"spec\":\"x\"}GET /y HTTP/1.0\r\n\r\n",
        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n0\r\n\r\n",
        "HEAD /x HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
        "CONNECT h:1 HTTP/1.1\r\nIf-Match: \"1\"\r\n\r\n",
    };
    GString *text = g_string_new(
        requests[g_rand_int_range(rand, 0, G_N_ELEMENTS(requests))]);
    int32_t changes = g_rand_int_range(rand, 0, 4);

    while (changes-- > 0) {
        gssize at = g_rand_int_range(rand, 0, (gint32)text->len);

        switch (g_rand_int_range(rand, 0, 3)) {
        case 0:
            text->str[at] = (char)g_rand_int_range(rand, 0, 256);
            break;
        case 1:
            g_string_erase(text, at, 1);
            break;
        default:
            g_string_insert_len(text, at, text->str,
                                MIN((gssize)text->len, 20));
            break;
        }
    }
    return text;
}

/* Sends malformed requests in random pieces, some of which are cut off. */
static void
http__malformed_requests_do_no_harm(void **state)
{
    cs_counters *counters = cs_counters_create();
    GRand *rand = g_rand_new_with_seed(47);
    struct fixture fixture;
    uint32_t i;

    fixture_init(&fixture);
    cs_http_server_set_counters(fixture.server, counters, "test");
    for (i = 0; i < 3000; i++) {
        GString *text = random_request(rand);
        size_t sent = 0;
        int fd = connect_to(cs_http_server_port(fixture.server));

        while (sent < text->len && g_rand_int_range(rand, 0, 10) > 0) {
            size_t size = (size_t)g_rand_int_range(rand, 1, 60);
            ssize_t written;

            size = MIN(size, text->len - sent);
            written = send(fd, text->str + sent, size, MSG_NOSIGNAL);
            sent += size;
            if (written < 0)
                break;
            while (g_main_context_iteration(NULL, FALSE))
                continue;
        }
        close(fd);
        g_string_free(text, TRUE);
    }
    fixture.ended = 0;
    start_call(&fixture, CS_SEC_US);
    run_for(&fixture, 200);
    assert_int_equal(fixture.ended, 1);
    assert_int_equal(cs_http_server_open_requests(fixture.server), 0);
    fixture_dispose(&fixture);
    assert_int_equal(
        *cs_counters_get(counters, "cs_http_held_bytes{server=\"test\"}"), 0);
    cs_counters_destroy(counters);
    g_rand_free(rand);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            http__client_is_destroyed_after_a_call_reused_a_connection),
        cmocka_unit_test(
            http__client_is_destroyed_after_a_reused_connection_timed_out),
        cmocka_unit_test(http__caller_that_leaves_does_not_hold_up_calls),
        cmocka_unit_test(http__body_is_delivered_while_the_loop_is_busy),
        cmocka_unit_test(http__client_that_sends_before_it_reads_is_not_reset),
        cmocka_unit_test(http__connection_serves_further_requests),
        cmocka_unit_test(http__pipelined_requests_do_not_hang_the_process),
        cmocka_unit_test(
            http__exhausted_descriptors_do_not_keep_the_loop_busy),
        cmocka_unit_test(http__clients_leave_descriptors_for_own_calls),
        cmocka_unit_test(
            http__request_without_room_is_refused_without_a_promise),
        cmocka_unit_test(http__malformed_requests_do_no_harm),
        cmocka_unit_test(http__connection_with_an_unsent_body_is_not_reused),
        cmocka_unit_test(http__single_use_connection_is_closed),
        cmocka_unit_test(http__transfer_continues_while_bytes_arrive),
        cmocka_unit_test(http__hanging_connections_free_their_slots),
        cmocka_unit_test(http__silent_connection_is_replaced),
        cmocka_unit_test(http__call_reported_as_not_sent_is_not_sent),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
