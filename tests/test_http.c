/* The HTTP client's promises about what was sent. */
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
#include <sys/socket.h>
#include <unistd.h>
#include <string.h>

#define LANES 2

struct fixture {
    GMainLoop *loop;
    cs_net *net;
    cs_http_server *server;
    cs_http_client *client;
    char address[32];
    uint32_t received; /* by the server */
    uint32_t ended;
    bool once;         /* its calls close their connections */
    uint32_t not_sent; /* calls that ended so */
};

static void
on_request(cs_http_request *request, void *data)
{
    struct fixture *f = data;

    f->received++;
    cs_http_reply(request, 200, "text/plain", "x", 1);
}

static void
on_done(void *data, const cs_http_answer *answer)
{
    struct fixture *f = data;

    f->ended++;
    if (answer->code == CS_E_CONNECT || answer->code == CS_E_OVERLOAD)
        f->not_sent++;
}

static gboolean
quit(gpointer data)
{
    g_main_loop_quit(data);
    return G_SOURCE_REMOVE;
}

static void
run_for(struct fixture *f, guint ms)
{
    g_timeout_add(ms, quit, f->loop);
    g_main_loop_run(f->loop);
}

static void
start_call(struct fixture *f, int64_t left_us)
{
    cs_http_call call = {.method = "POST",
                         .address = f->address,
                         .path = "/x",
                         .body = "y",
                         .size_bytes = 1,
                         .deadline_us = cs_clock_boot_us() + left_us,
                         .once = f->once,
                         .done = on_done,
                         .data = f};

    assert_int_equal(cs_http_client_start(f->client, &call), 0);
}

static void
fixture_init(struct fixture *f)
{
    memset(f, 0, sizeof(*f));
    signal(SIGPIPE, SIG_IGN);
    f->loop = g_main_loop_new(NULL, FALSE);
    assert_int_equal(cs_net_create(&f->net, f->loop), 0);
    assert_int_equal(cs_http_server_create(&f->server, f->net, "127.0.0.1", 0,
                                           on_request, f),
                     0);
    assert_int_equal(cs_http_client_create(&f->client, f->net, LANES), 0);
    g_snprintf(f->address, sizeof(f->address), "127.0.0.1:%u",
               cs_http_server_port(f->server));
}

static void
fixture_dispose(struct fixture *f)
{
    cs_http_client_close(f->client);
    cs_net_destroy(f->net);
    cs_http_client_destroy(f->client);
    cs_http_server_destroy(f->server);
    g_main_loop_unref(f->loop);
}

/* A call that is told as not sent must never reach the far side. */
static void
http__what_is_told_as_not_sent_is_not_sent(void **state)
{
    struct fixture f;
    uint32_t i;

    fixture_init(&f);
    /* Idle connections that a late call could use at once. */
    for (i = 0; i < LANES; i++)
        start_call(&f, CS_SEC_US);
    run_for(&f, 50);
    assert_int_equal(f.received, LANES);
    f.received = 0;
    f.ended = 0;
    for (i = 0; i < 40; i++) {
        start_call(&f, CS_MS_US);
        start_call(&f, CS_MS_US);
        start_call(&f, CS_MS_US);
        g_usleep(1500);
        run_for(&f, 3);
    }
    run_for(&f, 100);
    assert_int_equal(f.ended, 120);
    assert_true(f.received + f.not_sent <= 120);
    /* Every lane is free again. */
    f.received = 0;
    f.ended = 0;
    f.not_sent = 0;
    for (i = 0; i < 2 * LANES; i++)
        start_call(&f, CS_SEC_US);
    run_for(&f, 200);
    assert_int_equal(f.ended, 2 * LANES);
    assert_int_equal(f.received, 2 * LANES);
    assert_int_equal(f.not_sent, 0);
    fixture_dispose(&f);
}

/* A far side whose connections answer once and then never again. */
struct mute {
    int fd;
    uint16_t port;
    uint32_t connections;
    uint32_t answered;
    GHashTable *answered_fds;
};

static gboolean
on_mute_data(gint fd, GIOCondition condition, gpointer data)
{
    static const char answer[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    struct mute *mute = data;
    char buffer[4096];

    if (read(fd, buffer, sizeof(buffer)) <= 0) {
        g_hash_table_remove(mute->answered_fds, GINT_TO_POINTER(fd));
        close(fd);
        return G_SOURCE_REMOVE;
    }
    if (!g_hash_table_add(mute->answered_fds, GINT_TO_POINTER(fd)))
        return G_SOURCE_CONTINUE;
    mute->answered++;
    assert_int_equal(write(fd, answer, sizeof(answer) - 1),
                     sizeof(answer) - 1);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_mute_connection(gint fd, GIOCondition condition, gpointer data)
{
    struct mute *mute = data;
    int peer = accept(fd, NULL, NULL);

    mute->connections++;
    g_unix_fd_add(peer, G_IO_IN, on_mute_data, mute);
    return G_SOURCE_CONTINUE;
}

static void
mute_init(struct mute *mute)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);

    memset(mute, 0, sizeof(*mute));
    mute->answered_fds = g_hash_table_new(g_direct_hash, g_direct_equal);
    mute->fd = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(
        bind(mute->fd, (struct sockaddr *)&address, sizeof(address)), 0);
    assert_int_equal(listen(mute->fd, 8), 0);
    getsockname(mute->fd, (struct sockaddr *)&address, &size);
    mute->port = ntohs(address.sin_port);
    g_unix_fd_add(mute->fd, G_IO_IN, on_mute_connection, mute);
}

/* After a call without an answer the next one takes another connection. */
static void
http__silent_connection_is_replaced(void **state)
{
    struct fixture f;
    struct mute mute;
    uint32_t i;

    fixture_init(&f);
    mute_init(&mute);
    g_snprintf(f.address, sizeof(f.address), "127.0.0.1:%u", mute.port);
    for (i = 0; i < 6; i++) {
        start_call(&f, 100 * CS_MS_US);
        run_for(&f, 200);
    }
    assert_int_equal(f.ended, 6);
    /* Every other call finds the connection silent. */
    assert_int_equal(mute.answered, 3);
    assert_int_equal(mute.connections, 3);
    fixture_dispose(&f);
    while (g_source_remove_by_user_data(&mute))
        ;
    g_hash_table_destroy(mute.answered_fds);
    close(mute.fd);
}

/* Each call that says so has a connection of its own, which is not kept. */
static void
http__connection_for_one_call_is_closed(void **state)
{
    struct fixture f;
    struct mute mute;
    uint32_t i;

    fixture_init(&f);
    mute_init(&mute);
    g_snprintf(f.address, sizeof(f.address), "127.0.0.1:%u", mute.port);
    f.once = true;
    for (i = 0; i < 4; i++) {
        start_call(&f, 2 * CS_SEC_US);
        run_for(&f, 100);
    }
    assert_int_equal(f.ended, 4);
    assert_int_equal(mute.answered, 4);
    assert_int_equal(mute.connections, 4);
    assert_int_equal(g_hash_table_size(mute.answered_fds), 0);
    fixture_dispose(&f);
    while (g_source_remove_by_user_data(&mute))
        ;
    g_hash_table_destroy(mute.answered_fds);
    close(mute.fd);
}

static int
fill_backlog(const struct mute *mute)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(mute->port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_unix_set_fd_nonblocking(fd, TRUE, NULL);
    (void)!connect(fd, (struct sockaddr *)&address, sizeof(address));
    return fd;
}

/* Connections that hang give their lanes back at the calls' deadlines. */
static void
http__hanging_connections_free_their_lanes(void **state)
{
    struct fixture f;
    struct mute mute;
    int fillers[4];
    uint32_t i;

    fixture_init(&f);
    mute_init(&mute);
    while (g_source_remove_by_user_data(&mute))
        ;
    listen(mute.fd, 0);
    for (i = 0; i < G_N_ELEMENTS(fillers); i++)
        fillers[i] = fill_backlog(&mute);
    g_snprintf(f.address, sizeof(f.address), "127.0.0.1:%u", mute.port);
    for (i = 0; i < 4 * LANES; i++) {
        start_call(&f, 40 * CS_MS_US);
        run_for(&f, 60);
    }
    assert_int_equal(f.ended, 4 * LANES);
    assert_int_equal(f.not_sent, 4 * LANES);
    for (i = 0; i < G_N_ELEMENTS(fillers); i++)
        close(fillers[i]);
    listen(mute.fd, 16);
    g_unix_fd_add(mute.fd, G_IO_IN, on_mute_connection, &mute);
    run_for(&f, 100);
    f.ended = 0;
    f.not_sent = 0;
    for (i = 0; i < LANES; i++)
        start_call(&f, 5 * CS_SEC_US);
    run_for(&f, 500);
    assert_int_equal(f.ended, LANES);
    assert_int_equal(f.not_sent, 0);
    fixture_dispose(&f);
    while (g_source_remove_by_user_data(&mute))
        ;
    g_hash_table_destroy(mute.answered_fds);
    close(mute.fd);
}

/* Under the address sanitizer: how many leaks there are by now, 0 or 1. */
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
 * A client is destroyed right after a call began on an idle connection, before
 * the loop has turned: nothing of the connection's former owner may leak.
 */
static void
http__client_is_destroyed_after_a_call_reused_a_connection(void **state)
{
    struct fixture f;

    fixture_init(&f);
    start_call(&f, CS_SEC_US);
    run_for(&f, 50);
    assert_int_equal(f.received, 1);
    start_call(&f, CS_SEC_US);
    fixture_dispose(&f);
    assert_int_equal(f.ended, 2);
    assert_int_equal(found_leaks(), 0);
}

/* The same once the call's deadline has passed in that turn of the loop. */
static void
http__client_is_destroyed_after_a_reused_connection_timed_out(void **state)
{
    struct fixture f;

    fixture_init(&f);
    start_call(&f, CS_SEC_US);
    run_for(&f, 50);
    start_call(&f, CS_MS_US);
    g_usleep(3 * CS_MS_US);
    g_main_context_iteration(NULL, FALSE);
    fixture_dispose(&f);
    assert_int_equal(f.ended, 2);
    assert_int_equal(found_leaks(), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            http__client_is_destroyed_after_a_call_reused_a_connection),
        cmocka_unit_test(
            http__client_is_destroyed_after_a_reused_connection_timed_out),
        cmocka_unit_test(http__connection_for_one_call_is_closed),
        cmocka_unit_test(http__hanging_connections_free_their_lanes),
        cmocka_unit_test(http__silent_connection_is_replaced),
        cmocka_unit_test(http__what_is_told_as_not_sent_is_not_sent),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
