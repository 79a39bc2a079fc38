#include "corianderstair/peers.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/settings.h"

#include <glib-unix.h>
#include <string.h>
#include <zmq.h>

#define SEND_QUEUE 1000
/* A learned peer that is silent for this long was replaced. */
#define FORGET_US (60 * CS_SEC_US)

struct peer_socket {
    cs_peer peer;
    void *socket;
    bool learned; /* from a heartbeat, not from settings */
};

struct cs_peers {
    char name[CS_MESSAGE_NAME_BYTES];
    char own[32]; /* the address that peers answer to */
    void *context;
    void *inbox;
    guint source;
    GPtrArray *list; /* of struct peer_socket */
    cs_peers_handler handler;
    void *data;
    int64_t *sent;
    int64_t *received;
    int64_t *sent_bytes;
    int64_t *received_bytes;
    int64_t *refused;
};

static struct peer_socket *
find_by_address(const cs_peers *peers, const char *address)
{
    guint i;

    for (i = 0; i < peers->list->len; i++) {
        struct peer_socket *p = g_ptr_array_index(peers->list, i);

        if (strcmp(p->peer.address, address) == 0)
            return p;
    }
    return NULL;
}

static struct peer_socket *
find_by_name(const cs_peers *peers, const char *name)
{
    guint i;

    for (i = 0; i < peers->list->len; i++) {
        struct peer_socket *p = g_ptr_array_index(peers->list, i);

        if (strcmp(p->peer.name, name) == 0)
            return p;
    }
    return NULL;
}

static int connect_peer(cs_peers *peers, const char *address);

/* Heartbeats name their sender's address, so that settings need no names. */
static void
on_heartbeat(cs_peers *peers, const char *address, cs_message *message)
{
    struct peer_socket *p = find_by_address(peers, address);

    /* A process that our settings do not name yet, such as a new VM's. */
    if (!p && peers->list->len < CS_PEERS_MAX &&
        connect_peer(peers, address) == 0) {
        p = find_by_address(peers, address);
        p->learned = true;
    }
    if (!p)
        return;
    g_free(p->peer.last.summary);
    p->peer.last = message->u.heartbeat;
    message->u.heartbeat.summary = NULL;
    p->peer.heard_us = cs_clock_boot_us();
    g_strlcpy(p->peer.name, message->from, sizeof(p->peer.name));
}

static void
on_message(cs_peers *peers, const char *address, const void *bytes,
           size_t size)
{
    cs_message message;

    if (cs_message_decode(&message, bytes, size)) {
        (*peers->refused)++;
        return;
    }
    (*peers->received)++;
    *peers->received_bytes += (int64_t)size;
    if (message.deadline_us < cs_clock_wall_us())
        (*peers->refused)++;
    else if (message.type == CS_MSG_HEARTBEAT)
        on_heartbeat(peers, address, &message);
    else
        peers->handler(peers->data, &message);
    cs_message_clear(&message);
}

/* Frames: routing id made by ZeroMQ, sender's address, message. */
static bool
receive_one(cs_peers *peers)
{
    zmq_msg_t frames[3];
    char address[32] = "";
    int count = 0;
    int i;

    for (i = 0; i < 3; i++) {
        zmq_msg_init(&frames[i]);
        if (zmq_msg_recv(&frames[i], peers->inbox, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&frames[i]);
            break;
        }
        count++;
        if (!zmq_msg_more(&frames[i]))
            break;
    }
    if (count == 3 && zmq_msg_size(&frames[1]) < sizeof(address)) {
        memcpy(address, zmq_msg_data(&frames[1]), zmq_msg_size(&frames[1]));
        on_message(peers, address, zmq_msg_data(&frames[2]),
                   zmq_msg_size(&frames[2]));
    }
    for (i = 0; i < count; i++)
        zmq_msg_close(&frames[i]);
    return count > 0;
}

static void
drain_inbox(cs_peers *peers)
{
    uint32_t events = 0;
    size_t size = sizeof(events);

    while (zmq_getsockopt(peers->inbox, ZMQ_EVENTS, &events, &size) == 0 &&
           (events & ZMQ_POLLIN)) {
        if (!receive_one(peers))
            return;
    }
}

static gboolean
on_readable(gint fd, GIOCondition condition, gpointer data)
{
    drain_inbox(data);
    return G_SOURCE_CONTINUE;
}

static int
connect_peer(cs_peers *peers, const char *address)
{
    struct peer_socket *p;
    char endpoint[64];
    char ip[32];
    uint16_t port;
    int linger = 0;
    int limit = SEND_QUEUE;

    if (cs_address_split(ip, sizeof(ip), &port, address))
        return CS_E_INVALID;
    p = g_new0(struct peer_socket, 1);
    g_strlcpy(p->peer.address, address, sizeof(p->peer.address));
    g_snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
    p->socket = zmq_socket(peers->context, ZMQ_DEALER);
    zmq_setsockopt(p->socket, ZMQ_LINGER, &linger, sizeof(linger));
    zmq_setsockopt(p->socket, ZMQ_SNDHWM, &limit, sizeof(limit));
    g_ptr_array_add(peers->list, p);
    if (zmq_connect(p->socket, endpoint))
        return cs_error_set(CS_E_SYSTEM, "cannot connect to peer %s", address);
    return 0;
}

static int
connect_all(cs_peers *peers, const char *own, const char *addresses)
{
    gchar **list = g_strsplit(addresses, ",", CS_PEERS_MAX);
    int rc = 0;
    int i;

    for (i = 0; list[i] && !rc; i++) {
        if (*list[i] && strcmp(list[i], own) != 0)
            rc = connect_peer(peers, list[i]);
    }
    g_strfreev(list);
    return rc;
}

/* The port may have been the kernel's choice. */
static void
note_own_address(cs_peers *peers)
{
    char endpoint[64] = "";
    size_t length = sizeof(endpoint);

    zmq_getsockopt(peers->inbox, ZMQ_LAST_ENDPOINT, endpoint, &length);
    g_strlcpy(peers->own, endpoint + strlen("tcp://"), sizeof(peers->own));
}

static int
bind_inbox(cs_peers *peers, const char *listen)
{
    char endpoint[64];
    int linger = 0;
    int fd;
    size_t size = sizeof(fd);

    peers->inbox = zmq_socket(peers->context, ZMQ_ROUTER);
    zmq_setsockopt(peers->inbox, ZMQ_LINGER, &linger, sizeof(linger));
    g_snprintf(endpoint, sizeof(endpoint), "tcp://%s", listen);
    if (zmq_bind(peers->inbox, endpoint))
        return cs_error_set(CS_E_SYSTEM, "cannot listen for peers on %s",
                            listen);
    note_own_address(peers);
    zmq_getsockopt(peers->inbox, ZMQ_FD, &fd, &size);
    peers->source = g_unix_fd_add(fd, G_IO_IN, on_readable, peers);
    return 0;
}

int
cs_peers_create(cs_peers **out, cs_counters *counters, const char *name,
                const char *listen, const char *addresses,
                cs_peers_handler handler, void *data)
{
    cs_peers *peers = g_new0(cs_peers, 1);
    int rc;

    g_strlcpy(peers->name, name, sizeof(peers->name));
    peers->context = zmq_ctx_new();
    peers->list = g_ptr_array_new();
    peers->handler = handler;
    peers->data = data;
    peers->sent = cs_counters_get(counters, "cs_peer_sent_total");
    peers->received = cs_counters_get(counters, "cs_peer_received_total");
    peers->sent_bytes = cs_counters_get(counters, "cs_peer_sent_bytes_total");
    peers->received_bytes =
        cs_counters_get(counters, "cs_peer_received_bytes_total");
    peers->refused = cs_counters_get(counters, "cs_peer_refused_total");
    rc = bind_inbox(peers, listen);
    if (!rc)
        rc = connect_all(peers, listen, addresses);
    if (rc) {
        cs_peers_destroy(peers);
        return rc;
    }
    *out = peers;
    return 0;
}

static void
close_peer(struct peer_socket *p)
{
    zmq_close(p->socket);
    g_free(p->peer.last.summary);
    g_free(p);
}

/* VMs are replaced all day; those that were learned do not pile up. */
static void
forget_silent(cs_peers *peers)
{
    int64_t now_us = cs_clock_boot_us();
    guint i = 0;

    while (i < peers->list->len) {
        struct peer_socket *p = g_ptr_array_index(peers->list, i);

        if (p->learned && now_us - p->peer.heard_us > FORGET_US) {
            g_ptr_array_remove_index(peers->list, i);
            close_peer(p);
        }
        else {
            i++;
        }
    }
}

void
cs_peers_destroy(cs_peers *peers)
{
    guint i;

    if (!peers)
        return;
    if (peers->source)
        g_source_remove(peers->source);
    for (i = 0; i < peers->list->len; i++)
        close_peer(g_ptr_array_index(peers->list, i));
    g_ptr_array_free(peers->list, TRUE);
    if (peers->inbox)
        zmq_close(peers->inbox);
    zmq_ctx_term(peers->context);
    g_free(peers);
}

static void
send_bytes(cs_peers *peers, struct peer_socket *p, const GByteArray *bytes)
{
    if (zmq_send(p->socket, peers->own, strlen(peers->own),
                 ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0 ||
        zmq_send(p->socket, bytes->data, bytes->len, ZMQ_DONTWAIT) < 0) {
        (*peers->refused)++;
        return;
    }
    (*peers->sent)++;
    *peers->sent_bytes += bytes->len;
}

void
cs_peers_broadcast(cs_peers *peers, const cs_message *message)
{
    GByteArray *bytes = g_byte_array_new();
    guint i;

    forget_silent(peers);
    cs_message_encode(bytes, message);
    for (i = 0; i < peers->list->len; i++)
        send_bytes(peers, g_ptr_array_index(peers->list, i), bytes);
    g_byte_array_unref(bytes);
    /* Sending may have used up the edge that announces input. */
    drain_inbox(peers);
}

int
cs_peers_send(cs_peers *peers, const char *name, const cs_message *message)
{
    struct peer_socket *p = find_by_name(peers, name);
    GByteArray *bytes;

    if (!p)
        return cs_error_set(CS_E_NOT_FOUND, "no peer named %s", name);
    bytes = g_byte_array_new();
    cs_message_encode(bytes, message);
    send_bytes(peers, p, bytes);
    g_byte_array_unref(bytes);
    return 0;
}

static bool
is_live(const cs_peer *peer, int64_t now_us)
{
    return peer->heard_us && now_us - peer->heard_us < CS_PEER_SILENCE_US;
}

void
cs_peers_each_live(const cs_peers *peers, int64_t now_us, cs_peers_visit visit,
                   void *data)
{
    guint i;

    for (i = 0; i < peers->list->len; i++) {
        const struct peer_socket *p = g_ptr_array_index(peers->list, i);

        if (is_live(&p->peer, now_us))
            visit(data, &p->peer);
    }
}

uint32_t
cs_peers_count_live(const cs_peers *peers, const char *role, int64_t now_us)
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < peers->list->len; i++) {
        const struct peer_socket *p = g_ptr_array_index(peers->list, i);

        if (is_live(&p->peer, now_us) && !p->peer.last.draining &&
            strcmp(p->peer.last.role, role) == 0)
            count++;
    }
    return count;
}
