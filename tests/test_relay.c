/* Tests the limits of the calls that a VM relays to the store for peers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "relay.h"
#include "store.h"
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"

#include <arpa/inet.h>
#include <glib-unix.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS 16
#define CONFIG_READ "/rows-get?table=op&part=&from=config&limit=1"
#define OTHER_READ "/rows-get?table=cell&part=c"
/* Longer than the relay waits for the first byte of an answer. */
#define ABANDONED_MS 1000

/* A VM that relays to a store which accepts connections and is silent, and a
   peer that calls it. */
struct fixture {
    GMainLoop *loop;
    cs_net *net;
    cs_http_server *server;
    cs_http_client *relay_client;
    cs_http_client *peer_client;
    platform_relay relay;
    int store_fd;
    char store_address[32];
    char address[32];
    uint32_t busy;       /* answers 429 */
    uint32_t unanswered; /* answers 504 */
};

static void
on_request(cs_http_request *request, void *user_data)
{
    struct fixture *fixture = user_data;

    assert_true(platform_relay_matches(request));
    platform_relay_handle(request, &fixture->relay);
}

static void
on_done(void *user_data, const cs_http_response *response)
{
    struct fixture *fixture = user_data;

    fixture->busy += response->code == 0 && response->status == 429;
    fixture->unanswered += response->code == 0 && response->status == 504;
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
start_reads(struct fixture *fixture, const char *path, uint32_t count)
{
    cs_http_call call = {.method = "GET",
                         .address = fixture->address,
                         .path = path,
                         .deadline_us = cs_clock_boot_us() + 5 * CS_SEC_US,
                         .done = on_done,
                         .user_data = fixture};
    uint32_t i;

    for (i = 0; i < count; i++)
        cs_http_client_call(fixture->peer_client, &call);
}

static void
listen_silently(struct fixture *fixture)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    fixture->store_fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(
        bind(fixture->store_fd, (struct sockaddr *)&address, size), 0);
    assert_int_equal(listen(fixture->store_fd, 2 * CONNECTIONS), 0);
    assert_int_equal(
        getsockname(fixture->store_fd, (struct sockaddr *)&address, &size), 0);
    g_snprintf(fixture->store_address, sizeof(fixture->store_address),
               "127.0.0.1:%u", ntohs(address.sin_port));
}

static void
fixture_init(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    signal(SIGPIPE, SIG_IGN);
    fixture->loop = g_main_loop_new(NULL, FALSE);
    listen_silently(fixture);
    assert_int_equal(cs_net_create(&fixture->net, fixture->loop), 0);
    assert_int_equal(cs_http_server_create(&fixture->server, fixture->net,
                                           "127.0.0.1", 0, on_request,
                                           fixture),
                     0);
    assert_int_equal(cs_http_client_create(&fixture->relay_client,
                                           fixture->net, CONNECTIONS),
                     0);
    assert_int_equal(cs_http_client_create(&fixture->peer_client, fixture->net,
                                           CONNECTIONS),
                     0);
    fixture->relay.client = fixture->relay_client;
    fixture->relay.store_address = fixture->store_address;
    g_snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%u",
               cs_http_server_port(fixture->server));
}

static void
fixture_dispose(struct fixture *fixture)
{
    cs_http_client_close(fixture->peer_client);
    cs_http_client_close(fixture->relay_client);
    cs_net_destroy(fixture->net);
    cs_http_client_destroy(fixture->peer_client);
    cs_http_client_destroy(fixture->relay_client);
    cs_http_server_destroy(fixture->server);
    close(fixture->store_fd);
    g_main_loop_unref(fixture->loop);
}

/* Guards against a peer whose link carries the configuration for many VMs at
   once, and against one that stays busy after the store has not answered. */
static void
relay__reads_of_the_configuration_are_limited(void **state)
{
    struct fixture fixture;

    fixture_init(&fixture);
    start_reads(&fixture, CONFIG_READ, 5);
    start_reads(&fixture, OTHER_READ, 1);
    run_for(&fixture, 200);
    assert_int_equal(fixture.busy, 1);
    assert_int_equal(fixture.unanswered, 0);
    run_for(&fixture, ABANDONED_MS);
    assert_int_equal(fixture.unanswered, 5);
    assert_int_equal(fixture.relay.open_config_reads, 0);
    start_reads(&fixture, CONFIG_READ, 4);
    run_for(&fixture, 200 + ABANDONED_MS);
    assert_int_equal(fixture.busy, 1);
    assert_int_equal(fixture.unanswered, 9);
    fixture_dispose(&fixture);
}

/* A store whose answers announce a length and do not begin. */
static gboolean
on_store_connection(gint fd, GIOCondition condition, gpointer user_data)
{
    static const char headers[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n";
    int *store_connection = user_data;

    *store_connection = accept(fd, NULL, NULL);
    assert_int_equal(write(*store_connection, headers, sizeof(headers) - 1),
                     sizeof(headers) - 1);
    return G_SOURCE_CONTINUE;
}

static void
on_follow_answer(void *user_data, const cs_store_answer *answer)
{
    int *code = user_data;

    assert_false(answer->partial);
    *code = answer->code;
}

/* Returns the code of a poll that allows answers of some bytes, or 1 if it is
   not answered. */
static int
poll_store(struct fixture *fixture, platform_store_route route,
           size_t max_bytes)
{
    const char *address = route == PLATFORM_STORE_PEER
                              ? fixture->address
                              : fixture->store_address;
    cs_counters *counters = cs_counters_create();
    platform_store *store =
        platform_store_create(fixture->peer_client, counters, address, route);
    const cs_store_port *port = platform_store_port(store);
    int code = 1;

    port->follow(port->self, "op", 1, 0, max_bytes,
                 cs_clock_boot_us() + 100 * CS_MS_US, on_follow_answer, &code);
    run_for(fixture, 300);
    platform_store_destroy(store);
    cs_counters_destroy(counters);
    return code;
}

/* Guards against a link that carries an answer which the poll does not allow:
   the VM's own, and that of a peer that relays the call. */
static void
relay__answer_above_the_limit_is_not_transferred(void **state)
{
    struct fixture fixture;
    int connection = -1;
    guint source;

    fixture_init(&fixture);
    source = g_unix_fd_add(fixture.store_fd, G_IO_IN, on_store_connection,
                           &connection);
    assert_int_equal(poll_store(&fixture, PLATFORM_STORE_DIRECT, 3999),
                     CS_E_TOO_LARGE);
    close(connection);
    assert_int_equal(poll_store(&fixture, PLATFORM_STORE_PEER, 3999),
                     CS_E_TOO_LARGE);
    close(connection);
    assert_int_equal(fixture.relay.open_config_reads, 0);
    g_source_remove(source);
    fixture_dispose(&fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(relay__reads_of_the_configuration_are_limited),
        cmocka_unit_test(relay__answer_above_the_limit_is_not_transferred),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
