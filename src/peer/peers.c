/*
 * One ROUTER socket receives from all peers, and one DEALER socket per peer
 * sends to it. Each message carries the address of its sender's ROUTER socket.
 */
#include "corianderstair/peers.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/settings.h"

#include <glib-unix.h>
#include <string.h>
#include <zmq.h>

/* High-water mark per peer, for messages that wait for a connection or for a
   slow peer. */
#define SEND_QUEUE_MESSAGES 1000
/* Discovered peers are removed after this long without a heartbeat: their VM
   was replaced. */
#define DISCOVERED_PEER_TIMEOUT_US (60 * CS_SEC_US)

struct peer_entry {
    cs_peer peer;
    void *socket;    /* ZMQ_DEALER socket, for sending */
    bool discovered; /* through its heartbeat, not named in the settings */
};

struct cs_peers {
    char name[CS_MESSAGE_NAME_BYTES];
    char own_address[32]; /* that peers reply to; sent with every message */
    void *context;
    void *inbox; /* ZMQ_ROUTER socket, which receives from all peers */
    guint readable_source;
    GPtrArray *entries; /* of struct peer_entry */
    cs_peers_handler handler;
    void *user_data;
    int64_t *sent_total;
    int64_t *received_total;
    int64_t *sent_bytes_total;
    int64_t *received_bytes_total;
    int64_t *refused_total; /* malformed, expired or not sendable */
};

static struct peer_entry *
find_by_address(const cs_peers *peers, const char *address)
{
    guint i;

    for (i = 0; i < peers->entries->len; i++) {
        struct peer_entry *entry = g_ptr_array_index(peers->entries, i);

        if (strcmp(entry->peer.address, address) == 0)
            return entry;
    }
    return NULL;
}

static struct peer_entry *
find_by_name(const cs_peers *peers, const char *name)
{
    guint i;

    for (i = 0; i < peers->entries->len; i++) {
        struct peer_entry *entry = g_ptr_array_index(peers->entries, i);

        if (strcmp(entry->peer.name, name) == 0)
            return entry;
    }
    return NULL;
}

static int connect_peer(cs_peers *peers, const char *address);

/*
 * Stores a heartbeat with the peer that has the sender's address. It carries
 * the sender's name, so the settings need to list addresses only.
 */
static void
on_heartbeat(cs_peers *peers, const char *address, cs_message *message)
{
    struct peer_entry *entry = find_by_address(peers, address);

    /* The settings don't list this process yet; it may run on a new VM. */
    if (!entry && peers->entries->len < CS_PEERS_MAX &&
        connect_peer(peers, address) == 0) {
        entry = find_by_address(peers, address);
        entry->discovered = true;
    }
    if (!entry)
        return;
    g_free(entry->peer.newest_heartbeat.summary);
    entry->peer.newest_heartbeat = message->u.heartbeat;
    message->u.heartbeat.summary = NULL;
    entry->peer.last_heard_us = cs_clock_boot_us();
    g_strlcpy(entry->peer.name, message->sender_name,
              sizeof(entry->peer.name));
}

static void
process_message(cs_peers *peers, const char *address, const void *bytes,
                size_t size)
{
    cs_message message;

    if (cs_message_decode(&message, bytes, size)) {
        (*peers->refused_total)++;
        return;
    }
    (*peers->received_total)++;
    *peers->received_bytes_total += (int64_t)size;
    if (message.deadline_us < cs_clock_wall_us())
        (*peers->refused_total)++;
    else if (message.type == CS_MSG_HEARTBEAT)
        on_heartbeat(peers, address, &message);
    else
        peers->handler(peers->user_data, &message);
    cs_message_clear(&message);
}

/*
 * Receives one message and processes it if it is well formed. Returns false if
 * there was none. Frames: routing id added by ZeroMQ, sender's address,
 * message.
 */
static bool
receive_message(cs_peers *peers)
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
        process_message(peers, address, zmq_msg_data(&frames[2]),
                        zmq_msg_size(&frames[2]));
    }
    for (i = 0; i < count; i++)
        zmq_msg_close(&frames[i]);
    return count > 0;
}

static void
receive_pending(cs_peers *peers)
{
    uint32_t events = 0;
    size_t size = sizeof(events);

    while (zmq_getsockopt(peers->inbox, ZMQ_EVENTS, &events, &size) == 0 &&
           (events & ZMQ_POLLIN)) {
        if (!receive_message(peers))
            return;
    }
}

static gboolean
on_readable(gint fd, GIOCondition condition, gpointer user_data)
{
    receive_pending(user_data);
    return G_SOURCE_CONTINUE;
}

static int
connect_peer(cs_peers *peers, const char *address)
{
    struct peer_entry *entry;
    char endpoint[64];
    char ip[32];
    uint16_t port;
    int linger = 0;
    int limit = SEND_QUEUE_MESSAGES;

    if (cs_address_split(ip, sizeof(ip), &port, address))
        return CS_E_INVALID;
    entry = g_new0(struct peer_entry, 1);
    g_strlcpy(entry->peer.address, address, sizeof(entry->peer.address));
    g_snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
    entry->socket = zmq_socket(peers->context, ZMQ_DEALER);
    zmq_setsockopt(entry->socket, ZMQ_LINGER, &linger, sizeof(linger));
    zmq_setsockopt(entry->socket, ZMQ_SNDHWM, &limit, sizeof(limit));
    g_ptr_array_add(peers->entries, entry);
    if (zmq_connect(entry->socket, endpoint))
        return cs_error_set(CS_E_SYSTEM, "cannot connect to peer %s", address);
    return 0;
}

static int
connect_all(cs_peers *peers, const char *own_address, const char *addresses)
{
    gchar **list = g_strsplit(addresses, ",", CS_PEERS_MAX);
    int rc = 0;
    int i;

    for (i = 0; list[i] && !rc; i++) {
        if (*list[i] && strcmp(list[i], own_address) != 0)
            rc = connect_peer(peers, list[i]);
    }
    g_strfreev(list);
    return rc;
}

/* Stores the bound address: with port 0 the kernel has chosen the port. */
static void
store_own_address(cs_peers *peers)
{
    char endpoint[64] = "";
    size_t length = sizeof(endpoint);

    zmq_getsockopt(peers->inbox, ZMQ_LAST_ENDPOINT, endpoint, &length);
    g_strlcpy(peers->own_address, endpoint + strlen("tcp://"),
              sizeof(peers->own_address));
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
    store_own_address(peers);
    zmq_getsockopt(peers->inbox, ZMQ_FD, &fd, &size);
    peers->readable_source = g_unix_fd_add(fd, G_IO_IN, on_readable, peers);
    return 0;
}

int
cs_peers_create(cs_peers **out, cs_counters *counters, const char *name,
                const char *listen, const char *addresses,
                cs_peers_handler handler, void *user_data)
{
    cs_peers *peers = g_new0(cs_peers, 1);
    int rc;

    g_strlcpy(peers->name, name, sizeof(peers->name));
    peers->context = zmq_ctx_new();
    peers->entries = g_ptr_array_new();
    peers->handler = handler;
    peers->user_data = user_data;
    peers->sent_total = cs_counters_get(counters, "cs_peer_sent_total");
    peers->received_total =
        cs_counters_get(counters, "cs_peer_received_total");
    peers->sent_bytes_total =
        cs_counters_get(counters, "cs_peer_sent_bytes_total");
    peers->received_bytes_total =
        cs_counters_get(counters, "cs_peer_received_bytes_total");
    peers->refused_total = cs_counters_get(counters, "cs_peer_refused_total");
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
close_peer(struct peer_entry *entry)
{
    zmq_close(entry->socket);
    g_free(entry->peer.newest_heartbeat.summary);
    g_free(entry);
}

/* VMs are replaced regularly. Without this, the entries of those that are gone
   would pile up. */
static void
remove_silent_peers(cs_peers *peers)
{
    int64_t now_us = cs_clock_boot_us();
    guint i = 0;

    while (i < peers->entries->len) {
        struct peer_entry *entry = g_ptr_array_index(peers->entries, i);

        if (entry->discovered &&
            now_us - entry->peer.last_heard_us > DISCOVERED_PEER_TIMEOUT_US) {
            g_ptr_array_remove_index(peers->entries, i);
            close_peer(entry);
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
    if (peers->readable_source)
        g_source_remove(peers->readable_source);
    for (i = 0; i < peers->entries->len; i++)
        close_peer(g_ptr_array_index(peers->entries, i));
    g_ptr_array_free(peers->entries, TRUE);
    if (peers->inbox)
        zmq_close(peers->inbox);
    zmq_ctx_term(peers->context);
    g_free(peers);
}

static void
send_bytes(cs_peers *peers, struct peer_entry *entry, const GByteArray *bytes)
{
    if (zmq_send(entry->socket, peers->own_address, strlen(peers->own_address),
                 ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0 ||
        zmq_send(entry->socket, bytes->data, bytes->len, ZMQ_DONTWAIT) < 0) {
        (*peers->refused_total)++;
        return;
    }
    (*peers->sent_total)++;
    *peers->sent_bytes_total += bytes->len;
}

void
cs_peers_broadcast(cs_peers *peers, const cs_message *message)
{
    GByteArray *bytes = g_byte_array_new();
    guint i;

    remove_silent_peers(peers);
    cs_message_encode(bytes, message);
    for (i = 0; i < peers->entries->len; i++)
        send_bytes(peers, g_ptr_array_index(peers->entries, i), bytes);
    g_byte_array_unref(bytes);
    /* ZMQ_FD is edge-triggered, and sending may have consumed the edge that
       announces input. */
    receive_pending(peers);
}

int
cs_peers_send(cs_peers *peers, const char *name, const cs_message *message)
{
    struct peer_entry *entry = find_by_name(peers, name);
    GByteArray *bytes;

    if (!entry)
        return cs_error_set(CS_E_NOT_FOUND, "no peer named %s", name);
    bytes = g_byte_array_new();
    cs_message_encode(bytes, message);
    send_bytes(peers, entry, bytes);
    g_byte_array_unref(bytes);
    return 0;
}

static bool
is_live(const cs_peer *peer, int64_t now_us)
{
    return peer->last_heard_us &&
           now_us - peer->last_heard_us < CS_PEER_TIMEOUT_US;
}

void
cs_peers_each_live(const cs_peers *peers, int64_t now_us, cs_peers_visit visit,
                   void *user_data)
{
    guint i;

    for (i = 0; i < peers->entries->len; i++) {
        const struct peer_entry *entry = g_ptr_array_index(peers->entries, i);

        if (is_live(&entry->peer, now_us))
            visit(user_data, &entry->peer);
    }
}

uint32_t
cs_peers_count_live(const cs_peers *peers, const char *role, int64_t now_us)
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < peers->entries->len; i++) {
        const struct peer_entry *entry = g_ptr_array_index(peers->entries, i);

        if (is_live(&entry->peer, now_us) &&
            !entry->peer.newest_heartbeat.draining &&
            strcmp(entry->peer.newest_heartbeat.role, role) == 0)
            count++;
    }
    return count;
}
