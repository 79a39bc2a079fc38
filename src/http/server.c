/*
 * Accepts connections and accounts for what they hold. A server that has used
 * up its share closes the connections that have waited longest for their
 * clients, so that a client which sends its request at once is served however
 * many others hold theirs back.
 */
#include "server_internal.h"
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "net_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024
/* Connections that are accepted before others are served. */
#define ACCEPT_BATCH 16
#define CHECK_INTERVAL_MS 1000
/* Until a request must be complete after its first byte, and until a client
   must take further bytes of a response. */
#define TRANSFER_TIMEOUT_US (20 * CS_SEC_US)
#define IDLE_TIMEOUT_US (75 * CS_SEC_US)
#define CLOSING_TIMEOUT_US (2 * CS_SEC_US)
/* Shares of the connections: streams, and those that only wait for their
   clients to close. */
#define STREAM_DIVISOR 2
#define CLOSING_DIVISOR 4
/* Clients decide how many are refused, so that the lines are limited. */
#define LINES_PER_S 10
/* Parts of the machine for a server without limits of its own. */
#define DEFAULT_MEMORY_PERCENT 12
#define DEFAULT_DESCRIPTOR_PERCENT 36

/* In the order in which connections are closed to make room. */
static const connection_state evictable[] = {
    CONNECTION_CLOSING, CONNECTION_IDLE, CONNECTION_READING,
    CONNECTION_WRITING};

void
server_charge(cs_http_server *server, int64_t bytes)
{
    server->held_bytes += bytes;
    if (server->held)
        *server->held = server->held_bytes;
}

void
server_set_state(struct connection *connection, connection_state state)
{
    cs_http_server *server = connection->server;

    g_queue_unlink(&server->connections[connection->state], &connection->link);
    connection->state = state;
    connection->since_us = cs_clock_boot_us();
    g_queue_push_tail_link(&server->connections[state], &connection->link);
}

void
server_remove(struct connection *connection)
{
    cs_http_server *server = connection->server;

    g_queue_unlink(&server->connections[connection->state], &connection->link);
    if (connection->resume_queued)
        g_queue_remove(&server->resumed, connection);
    server->connection_count--;
    poller_close(server->poller, &connection->poll);
    server_charge(server, -(int64_t)sizeof(*connection));
    g_free(connection);
}

static gboolean
on_resume(gpointer user_data)
{
    cs_http_server *server = user_data;
    guint count = server->resumed.length;
    struct connection *connection;

    /* Connections that are queued meanwhile wait for the next iteration. */
    while (count-- > 0 &&
           (connection = g_queue_pop_head(&server->resumed)) != NULL) {
        connection->resume_queued = false;
        connection_proceed(connection);
    }
    if (server->resumed.length > 0)
        return G_SOURCE_CONTINUE;
    server->resume_source = 0;
    return G_SOURCE_REMOVE;
}

void
server_resume(struct connection *connection)
{
    cs_http_server *server = connection->server;

    if (connection->resume_queued)
        return;
    connection->resume_queued = true;
    g_queue_push_tail(&server->resumed, connection);
    if (!server->resume_source)
        server->resume_source =
            g_idle_add_full(G_PRIORITY_DEFAULT, on_resume, server, NULL);
}

/* Returns the connection that has waited longest for its client, or NULL. */
static struct connection *
find_evictable(const cs_http_server *server, const struct connection *except)
{
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(evictable); i++) {
        GList *node = server->connections[evictable[i]].head;

        if (node && node->data == except)
            node = node->next;
        if (node)
            return node->data;
    }
    return NULL;
}

static bool
evict_one(cs_http_server *server, const struct connection *except)
{
    struct connection *connection = find_evictable(server, except);

    if (!connection)
        return false;
    if (connection->state != CONNECTION_CLOSING && server->evicted)
        (*server->evicted)++;
    connection_close(connection);
    return true;
}

bool
server_reserve(cs_http_server *server, int64_t bytes,
               const struct connection *except)
{
    while (server->held_bytes + bytes > server->limits.held_bytes) {
        if (!evict_one(server, except))
            return false;
    }
    return true;
}

void
server_admit_stream(struct connection *connection)
{
    cs_http_server *server = connection->server;
    GQueue *streams = &server->connections[CONNECTION_STREAMING];

    if (streams->length > server->limits.connections / STREAM_DIVISOR)
        connection_close(g_queue_peek_head(streams));
}

bool
server_may_wait_for_close(const cs_http_server *server)
{
    return server->connections[CONNECTION_CLOSING].length <
           server->limits.connections / CLOSING_DIVISOR;
}

void
server_note_refusal(cs_http_server *server, const char *reason, int status,
                    const cs_http_request *request)
{
    int64_t now_us = cs_clock_boot_us();

    if (server->refused)
        (*server->refused)++;
    if (now_us - server->lines_from_us >= CS_SEC_US) {
        server->lines_from_us = now_us;
        server->lines = 0;
    }
    if (server->lines >= LINES_PER_S) {
        server->lines_dropped++;
        return;
    }
    server->lines++;
    cs_log_event("client-refused",
                 "%s: %s, status %d, method %s, body %zu bytes so far; "
                 "%u connections hold %" G_GINT64_FORMAT
                 " bytes; %u lines not logged before",
                 server->name ? server->name : "HTTP", reason, status,
                 request && *request->method ? request->method : "none",
                 request ? request->body_bytes : 0, server->connection_count,
                 server->held_bytes, server->lines_dropped);
    server->lines_dropped = 0;
}

static void
stop_accept(cs_http_server *server)
{
    if (server->accepting)
        poller_watch(server->poller, &server->poll, 0);
    server->accepting = false;
}

static void
accept_connection(cs_http_server *server, int fd)
{
    int enabled = 1;

    while (server->connection_count >= server->limits.connections) {
        if (evict_one(server, NULL))
            continue;
        server_note_refusal(server, "too many connections", 0, NULL);
        close(fd);
        return;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    connection_create(server, fd);
}

static void
on_acceptable(struct poll_entry *entry, uint32_t events)
{
    cs_http_server *server = (cs_http_server *)entry;
    int i;

    for (i = 0; i < ACCEPT_BATCH && server->accepting; i++) {
        int fd = accept4(entry->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

        if (fd >= 0) {
            accept_connection(server, fd);
            continue;
        }
        /* A connection that cannot be accepted stays acceptable, which would
           keep the main loop busy until the next check. */
        if ((errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
             errno == ENOMEM) &&
            !evict_one(server, NULL)) {
            server_note_refusal(server, "no descriptor", 0, NULL);
            stop_accept(server);
        }
        if (errno != EINTR && errno != ECONNABORTED)
            return;
    }
}

static void
close_expired(cs_http_server *server, connection_state state,
              int64_t timeout_us)
{
    int64_t since_us = cs_clock_boot_us() - timeout_us;
    struct connection *connection;

    while ((connection = g_queue_peek_head(&server->connections[state])) !=
               NULL &&
           connection->since_us < since_us)
        connection_close(connection);
}

/* Streams of which nothing is queued may stay. */
static void
close_stalled_streams(cs_http_server *server)
{
    int64_t since_us = cs_clock_boot_us() - TRANSFER_TIMEOUT_US;
    GList *node = server->connections[CONNECTION_STREAMING].head;

    while (node) {
        struct connection *connection = node->data;

        node = node->next;
        if (connection->since_us < since_us &&
            connection->request->response->len > 0)
            connection_close(connection);
    }
}

static gboolean
on_check(gpointer user_data)
{
    cs_http_server *server = user_data;

    close_expired(server, CONNECTION_IDLE, IDLE_TIMEOUT_US);
    close_expired(server, CONNECTION_READING, TRANSFER_TIMEOUT_US);
    close_expired(server, CONNECTION_WRITING, TRANSFER_TIMEOUT_US);
    close_expired(server, CONNECTION_CLOSING, CLOSING_TIMEOUT_US);
    close_stalled_streams(server);
    if (!server->accepting && server->poll.fd >= 0) {
        server->accepting = true;
        poller_watch(server->poller, &server->poll, EPOLLIN);
    }
    return G_SOURCE_CONTINUE;
}

static int
listen_on(cs_http_server *server, const char *ip, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    socklen_t size = sizeof(address);
    int enabled = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    server->poll.fd = fd;
    if (fd < 0)
        return -1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (inet_pton(AF_INET, ip, &address.sin_addr) != 1 ||
        bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
        listen(fd, LISTEN_BACKLOG) ||
        getsockname(fd, (struct sockaddr *)&address, &size))
        return -1;
    server->port = ntohs(address.sin_port);
    server->poll.events = EPOLLIN;
    server->poll.ready = on_acceptable;
    server->accepting = true;
    return poller_add(server->poller, &server->poll);
}

/* Closes all connections and the listening socket; called by cs_net_destroy.
 */
static void
on_net_destroy(void *user_data)
{
    cs_http_server *server = user_data;
    struct connection *connection;
    int i;

    for (i = 0; i < CONNECTION_STATES; i++) {
        while ((connection = g_queue_peek_head(&server->connections[i])) !=
               NULL)
            connection_close(connection);
    }
    if (server->poll.fd >= 0)
        poller_close(server->poller, &server->poll);
    if (server->resume_source)
        g_source_remove(server->resume_source);
    g_source_remove(server->timer);
}

int
cs_http_server_create(cs_http_server **out, cs_net *net, const char *ip,
                      uint16_t port, cs_http_handler handler, void *user_data)
{
    cs_http_server *server = g_new0(cs_http_server, 1);
    cs_machine machine;
    int i;

    server->net = net;
    server->poller = net_poller(net);
    server->handler = handler;
    server->user_data = user_data;
    server->overload_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
    for (i = 0; i < CONNECTION_STATES; i++)
        g_queue_init(&server->connections[i]);
    g_queue_init(&server->resumed);
    cs_machine_read(&machine, 0, 0);
    cs_http_limits_share(&server->limits, &machine, DEFAULT_MEMORY_PERCENT,
                         DEFAULT_DESCRIPTOR_PERCENT);
    if (listen_on(server, ip, port)) {
        if (server->poll.fd >= 0)
            close(server->poll.fd);
        g_free(server);
        return cs_error_set(CS_E_SYSTEM, "cannot listen on %s:%u", ip, port);
    }
    server->timer = g_timeout_add(CHECK_INTERVAL_MS, on_check, server);
    net_on_destroy(net, on_net_destroy, server);
    *out = server;
    return 0;
}

void
cs_http_server_set_limits(cs_http_server *server, const cs_http_limits *limits)
{
    server->limits = *limits;
}

void
cs_http_server_set_overload_status(cs_http_server *server, int status)
{
    server->overload_status = status;
}

void
cs_http_server_set_body_limit(cs_http_server *server, int64_t body_bytes)
{
    server->limits.body_bytes = body_bytes;
}

void
cs_http_server_set_counters(cs_http_server *server, cs_counters *counters,
                            const char *name)
{
    char text[96];

    server->name = name;
    g_snprintf(text, sizeof(text),
               "cs_http_clients_refused_total{server=\"%s\"}", name);
    server->refused = cs_counters_get(counters, text);
    g_snprintf(text, sizeof(text),
               "cs_http_connections_evicted_total{server=\"%s\"}", name);
    server->evicted = cs_counters_get(counters, text);
    g_snprintf(text, sizeof(text), "cs_http_held_bytes{server=\"%s\"}", name);
    server->held = cs_counters_get(counters, text);
}

void
cs_http_server_set_deadline_header(cs_http_server *server, const char *name)
{
    server->deadline_header = name;
}

void
cs_http_server_destroy(cs_http_server *server)
{
    g_free(server);
}

uint16_t
cs_http_server_port(const cs_http_server *server)
{
    return server->port;
}

uint32_t
cs_http_server_open_requests(const cs_http_server *server)
{
    return server->open_requests;
}

void
cs_http_server_disable_keepalive(cs_http_server *server)
{
    server->keepalive_disabled = true;
}

void
cs_http_server_stop_accepting(cs_http_server *server)
{
    server->keepalive_disabled = true;
    if (server->poll.fd < 0)
        return;
    /* Those that are connected already are served. */
    on_acceptable(&server->poll, EPOLLIN);
    server->accepting = false;
    poller_close(server->poller, &server->poll);
}
