/*
 * One ROUTER socket receives from all peers, and one DEALER socket per peer
 * sends to it. ZeroMQ maintains the connections. The link doesn't track
 * whether a peer is alive; that is up to its users.
 */
#include "corianderstair/peer_link.h"
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"

#include <glib-unix.h>
#include <string.h>
#include <zmq.h>

/* High-water mark per peer, for messages that wait for a connection or for a
   slow peer. */
#define SEND_QUEUE_MESSAGES 200
#define MAX_MESSAGE_BYTES ((int64_t)8 << 20)
/* ZeroMQ heartbeats, which close inbound connections of lost peers. */
#define HEARTBEAT_INTERVAL_MS 2000
#define HEARTBEAT_TIMEOUT_MS 4000
#define ADDRESS_BYTES 48
#define FRAME_COUNT 4 /* of a message; see deliver_message */

struct cs_peer_link {
    void *context;
    void *inbox; /* ZMQ_ROUTER socket */
    guint readable_source;
    char own_address[ADDRESS_BYTES]; /* sent along with every message */
    GHashTable *sockets;             /* peer address -> ZMQ_DEALER socket */
    cs_peer_link_received on_received;
    void *user_data;
    cs_peer_link_port port;
    int64_t *sent_total;
    int64_t *dropped_total;
};

static void
set_int_option(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
close_socket(gpointer socket)
{
    zmq_close(socket);
}

static void *
open_socket(cs_peer_link *link, const char *address)
{
    char endpoint[ADDRESS_BYTES + 8];
    void *socket = zmq_socket(link->context, ZMQ_DEALER);

    if (!socket)
        return NULL;
    g_snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
    set_int_option(socket, ZMQ_LINGER, 0);
    set_int_option(socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
    if (zmq_connect(socket, endpoint)) {
        zmq_close(socket);
        return NULL;
    }
    g_hash_table_insert(link->sockets, g_strdup(address), socket);
    return socket;
}

static void
send_message(void *self, const char *address, uint8_t kind, const void *bytes,
             size_t size_bytes)
{
    cs_peer_link *link = self;
    void *socket = g_hash_table_lookup(link->sockets, address);

    if (!socket)
        socket = open_socket(link, address);
    if (!socket ||
        zmq_send(socket, link->own_address, strlen(link->own_address),
                 ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0 ||
        zmq_send(socket, &kind, sizeof(kind), ZMQ_DONTWAIT | ZMQ_SNDMORE) <
            0 ||
        zmq_send(socket, bytes, size_bytes, ZMQ_DONTWAIT) < 0) {
        (*link->dropped_total)++;
        return;
    }
    (*link->sent_total)++;
}

static void
close_connection(void *self, const char *address)
{
    cs_peer_link *link = self;

    g_hash_table_remove(link->sockets, address);
}

/* Frames: routing id added by ZeroMQ, sender's address, kind, payload. Ignores
   a message with malformed frames. */
static void
deliver_message(cs_peer_link *link, zmq_msg_t *frames)
{
    char sender_address[ADDRESS_BYTES];
    size_t length = zmq_msg_size(&frames[1]);

    if (length >= sizeof(sender_address) || zmq_msg_size(&frames[2]) != 1)
        return;
    memcpy(sender_address, zmq_msg_data(&frames[1]), length);
    sender_address[length] = '\0';
    link->on_received(link->user_data, sender_address,
                      *(uint8_t *)zmq_msg_data(&frames[2]),
                      zmq_msg_data(&frames[3]), zmq_msg_size(&frames[3]));
}

/* Receives one message. Returns false if there was none. */
static bool
receive_message(cs_peer_link *link)
{
    zmq_msg_t frames[FRAME_COUNT];
    int count = 0;
    int more = 1;
    int i;

    while (count < FRAME_COUNT && more) {
        zmq_msg_init(&frames[count]);
        if (zmq_msg_recv(&frames[count], link->inbox, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&frames[count]);
            break;
        }
        more = zmq_msg_more(&frames[count]);
        count++;
    }
    if (count == FRAME_COUNT && !more)
        deliver_message(link, frames);
    for (i = 0; i < count; i++)
        zmq_msg_close(&frames[i]);
    return count > 0;
}

void
cs_peer_link_tick(cs_peer_link *link)
{
    uint32_t events = 0;
    size_t size = sizeof(events);

    while (zmq_getsockopt(link->inbox, ZMQ_EVENTS, &events, &size) == 0 &&
           (events & ZMQ_POLLIN)) {
        if (!receive_message(link))
            return;
    }
}

static gboolean
on_readable(gint fd, GIOCondition condition, gpointer user_data)
{
    cs_peer_link_tick(user_data);
    return G_SOURCE_CONTINUE;
}

/* Stores the bound address: with port 0 the kernel has chosen the port. */
static void
store_own_address(cs_peer_link *link)
{
    char endpoint[ADDRESS_BYTES + 8] = "";
    size_t length = sizeof(endpoint);

    zmq_getsockopt(link->inbox, ZMQ_LAST_ENDPOINT, endpoint, &length);
    g_strlcpy(link->own_address, endpoint + strlen("tcp://"),
              sizeof(link->own_address));
}

static int
listen_on(cs_peer_link *link, const char *address)
{
    char endpoint[ADDRESS_BYTES + 8];
    int64_t max_message_bytes = MAX_MESSAGE_BYTES;
    int fd;
    size_t size = sizeof(fd);

    link->inbox = zmq_socket(link->context, ZMQ_ROUTER);
    if (!link->inbox)
        return cs_error_set(CS_E_SYSTEM,
                            "cannot create the socket for peer links");
    set_int_option(link->inbox, ZMQ_LINGER, 0);
    set_int_option(link->inbox, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
    set_int_option(link->inbox, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
    zmq_setsockopt(link->inbox, ZMQ_MAXMSGSIZE, &max_message_bytes,
                   sizeof(max_message_bytes));
    g_snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
    if (zmq_bind(link->inbox, endpoint))
        return cs_error_set(CS_E_SYSTEM,
                            "cannot bind the socket for peer links to %s: %s",
                            address, zmq_strerror(zmq_errno()));
    store_own_address(link);
    zmq_getsockopt(link->inbox, ZMQ_FD, &fd, &size);
    link->readable_source = g_unix_fd_add(fd, G_IO_IN, on_readable, link);
    return 0;
}

int
cs_peer_link_create(cs_peer_link **out, cs_counters *counters,
                    const char *address, cs_peer_link_received received,
                    void *user_data)
{
    cs_peer_link *link = g_new0(cs_peer_link, 1);
    int rc;

    link->context = zmq_ctx_new();
    link->sockets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, close_socket);
    link->on_received = received;
    link->user_data = user_data;
    link->sent_total = cs_counters_get(counters, "cs_link_sent_total");
    link->dropped_total = cs_counters_get(counters, "cs_link_dropped_total");
    link->port.self = link;
    link->port.send = send_message;
    link->port.close = close_connection;
    rc = listen_on(link, address);
    if (rc) {
        cs_peer_link_destroy(link);
        return rc;
    }
    *out = link;
    return 0;
}

void
cs_peer_link_destroy(cs_peer_link *link)
{
    if (!link)
        return;
    if (link->readable_source)
        g_source_remove(link->readable_source);
    g_hash_table_destroy(link->sockets);
    if (link->inbox)
        zmq_close(link->inbox);
    zmq_ctx_term(link->context);
    g_free(link);
}

const char *
cs_peer_link_address(const cs_peer_link *link)
{
    return link->own_address;
}

const cs_peer_link_port *
cs_peer_link_port_of(cs_peer_link *link)
{
    return &link->port;
}
