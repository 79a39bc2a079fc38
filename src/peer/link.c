/*
 * One socket takes messages of all peers; one socket a peer sends. ZeroMQ
 * keeps the connections; whether a peer is alive is the users' of a link to
 * judge.
 */
#include "corianderstair/peer_link.h"
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"

#include <glib-unix.h>
#include <string.h>
#include <zmq.h>

/* Messages that wait for a connection or for a slow peer. */
#define SEND_QUEUE 200
#define MESSAGE_MAX_BYTES ((int64_t)8 << 20)
/* Connections without traffic end, so that those of lost peers do. */
#define HEARTBEAT_MS 2000
#define HEARTBEAT_TIMEOUT_MS 4000
#define ADDRESS_BYTES 48
#define FRAMES 4

struct cs_peer_link {
    void *context;
    void *inbox;
    guint source;
    char own[ADDRESS_BYTES];
    GHashTable *sockets; /* address to socket */
    cs_peer_link_received received;
    void *data;
    cs_peer_link_port port;
    int64_t *sent;
    int64_t *dropped;
};

static void
set_int(void *socket, int option, int value)
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
    set_int(socket, ZMQ_LINGER, 0);
    set_int(socket, ZMQ_SNDHWM, SEND_QUEUE);
    if (zmq_connect(socket, endpoint)) {
        zmq_close(socket);
        return NULL;
    }
    g_hash_table_insert(link->sockets, g_strdup(address), socket);
    return socket;
}

static void
link_send(void *self, const char *address, uint8_t kind, const void *bytes,
          size_t size_bytes)
{
    cs_peer_link *link = self;
    void *socket = g_hash_table_lookup(link->sockets, address);

    if (!socket)
        socket = open_socket(link, address);
    if (!socket ||
        zmq_send(socket, link->own, strlen(link->own),
                 ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0 ||
        zmq_send(socket, &kind, sizeof(kind), ZMQ_DONTWAIT | ZMQ_SNDMORE) <
            0 ||
        zmq_send(socket, bytes, size_bytes, ZMQ_DONTWAIT) < 0) {
        (*link->dropped)++;
        return;
    }
    (*link->sent)++;
}

static void
link_close(void *self, const char *address)
{
    cs_peer_link *link = self;

    g_hash_table_remove(link->sockets, address);
}

/* Frames: routing id made by ZeroMQ, sender's address, kind, bytes. */
static void
deliver(cs_peer_link *link, zmq_msg_t *frames)
{
    char from[ADDRESS_BYTES];
    size_t length = zmq_msg_size(&frames[1]);

    if (length >= sizeof(from) || zmq_msg_size(&frames[2]) != 1)
        return;
    memcpy(from, zmq_msg_data(&frames[1]), length);
    from[length] = '\0';
    link->received(link->data, from, *(uint8_t *)zmq_msg_data(&frames[2]),
                   zmq_msg_data(&frames[3]), zmq_msg_size(&frames[3]));
}

static bool
receive_one(cs_peer_link *link)
{
    zmq_msg_t frames[FRAMES];
    int count = 0;
    int more = 1;
    int i;

    while (count < FRAMES && more) {
        zmq_msg_init(&frames[count]);
        if (zmq_msg_recv(&frames[count], link->inbox, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&frames[count]);
            break;
        }
        more = zmq_msg_more(&frames[count]);
        count++;
    }
    if (count == FRAMES && !more)
        deliver(link, frames);
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
        if (!receive_one(link))
            return;
    }
}

static gboolean
on_readable(gint fd, GIOCondition condition, gpointer data)
{
    cs_peer_link_tick(data);
    return G_SOURCE_CONTINUE;
}

/* The port may have been the kernel's choice. */
static void
note_own_address(cs_peer_link *link)
{
    char endpoint[ADDRESS_BYTES + 8] = "";
    size_t length = sizeof(endpoint);

    zmq_getsockopt(link->inbox, ZMQ_LAST_ENDPOINT, endpoint, &length);
    g_strlcpy(link->own, endpoint + strlen("tcp://"), sizeof(link->own));
}

static int
listen_on(cs_peer_link *link, const char *address)
{
    char endpoint[ADDRESS_BYTES + 8];
    int64_t most_bytes = MESSAGE_MAX_BYTES;
    int fd;
    size_t size = sizeof(fd);

    link->inbox = zmq_socket(link->context, ZMQ_ROUTER);
    if (!link->inbox)
        return cs_error_set(CS_E_SYSTEM, "no socket for peers");
    set_int(link->inbox, ZMQ_LINGER, 0);
    set_int(link->inbox, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
    set_int(link->inbox, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
    zmq_setsockopt(link->inbox, ZMQ_MAXMSGSIZE, &most_bytes,
                   sizeof(most_bytes));
    g_snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
    if (zmq_bind(link->inbox, endpoint))
        return cs_error_set(CS_E_SYSTEM,
                            "peers at %s cannot be listened for: %s", address,
                            zmq_strerror(zmq_errno()));
    note_own_address(link);
    zmq_getsockopt(link->inbox, ZMQ_FD, &fd, &size);
    link->source = g_unix_fd_add(fd, G_IO_IN, on_readable, link);
    return 0;
}

int
cs_peer_link_create(cs_peer_link **out, cs_counters *counters,
                    const char *address, cs_peer_link_received received,
                    void *data)
{
    cs_peer_link *link = g_new0(cs_peer_link, 1);
    int rc;

    link->context = zmq_ctx_new();
    link->sockets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, close_socket);
    link->received = received;
    link->data = data;
    link->sent = cs_counters_get(counters, "cs_link_sent_total");
    link->dropped = cs_counters_get(counters, "cs_link_dropped_total");
    link->port.self = link;
    link->port.send = link_send;
    link->port.close = link_close;
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
    if (link->source)
        g_source_remove(link->source);
    g_hash_table_destroy(link->sockets);
    if (link->inbox)
        zmq_close(link->inbox);
    zmq_ctx_term(link->context);
    g_free(link);
}

const char *
cs_peer_link_address(const cs_peer_link *link)
{
    return link->own;
}

const cs_peer_link_port *
cs_peer_link_port_of(cs_peer_link *link)
{
    return &link->port;
}
