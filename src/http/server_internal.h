/* Private declarations of the HTTP server: server.c keeps the connections and
   what they hold in sum, connection.c reads and writes, request.c is the view
   of the handlers. */
#ifndef CS_HTTP_SERVER_INTERNAL_H
#define CS_HTTP_SERVER_INTERNAL_H

#include "corianderstair/http_server.h"
#include "poller.h"

#include <glib.h>
#include <http_parser.h>

/* Of the header lines of a request together. */
#define HEADERS_MAX_BYTES 16384
/* Bytes that a connection reads at once. What follows a request stays in the
   connection until that request is answered. */
#define READ_BYTES 16384
/* An open request that was passed to its handler also exists as the record
   made from it, and as the call that stores this. */
#define COPIES_OF_A_HANDLED_BODY 2
/* What an open request takes besides its body: itself, the caller's entry in
   the handler, and a call to the store. */
#define REQUEST_BYTES 8192

typedef enum {
    CONNECTION_IDLE,      /* nothing of a request has come */
    CONNECTION_READING,   /* a request is not complete */
    CONNECTION_HANDLED,   /* the handler has the request */
    CONNECTION_WRITING,   /* a complete response is being sent */
    CONNECTION_STREAMING, /* a streamed response is being sent */
    CONNECTION_CLOSING,   /* all is sent; what still comes is dropped */
    CONNECTION_STATES
} connection_state;

struct connection {
    struct poll_entry poll;
    cs_http_server *server;
    connection_state state;
    GList link;       /* in the server's list of its state */
    int64_t since_us; /* boot clock; of the state, or of the last progress
                         of a response */
    http_parser parser;
    cs_http_request *request; /* NULL if idle or closing */
    GByteArray *pending;      /* received after the request; or NULL */
    bool resume_queued;       /* in the server's queue of those to go on */
    bool keep_alive;          /* the request allows another one after it */
    size_t blank_bytes;       /* received before a request */
    int64_t dropped_bytes;    /* of a stream's client, or while closing */
    bool progressed;          /* the last write has sent something */
};

struct cs_http_request {
    cs_http_server *server;
    struct connection *connection; /* NULL once it is closed */
    const char *method;
    char path[512];
    char query[512];
    char if_match[64];
    char host[128];
    char authorization[160];
    int64_t deadline_ms;    /* 0 if the caller sent none */
    uint32_t retry_after_s; /* 0 to send no Retry-After */
    /* While the headers are read. */
    GString *url;
    GString *headers;       /* "name:value" and a zero byte for each */
    bool in_header_value;   /* the last line has its name */
    char *body;             /* NULL without one; has body_capacity bytes */
    size_t announced_bytes; /* of the body */
    size_t body_bytes;
    size_t body_capacity;
    int64_t charged_bytes; /* of the server's held_bytes */
    bool is_handled;
    bool is_head; /* the response has no body */
    int refusal;  /* status, if the request is refused while it is read */
    int status;
    char content_type[64];
    GString *head;     /* header lines of the response; NULL before */
    GString *response; /* the response body, or the queued part of a stream */
    size_t written;    /* bytes of head and response that were sent */
    bool is_stream;
    bool stream_ended; /* nothing will be appended to the stream */
    cs_http_stream_closed stream_closed;
    void *stream_closed_data;
};

struct cs_http_server {
    struct poll_entry poll; /* the listening socket */
    cs_net *net;
    struct poller *poller;
    uint16_t port;
    const char *deadline_header; /* NULL for none */
    cs_http_handler handler;
    void *user_data;
    cs_http_limits limits;
    int overload_status; /* of requests for which there is no room */
    uint32_t open_requests;
    bool keepalive_disabled; /* each response closes its connection */
    bool accepting;          /* the listening socket is polled */
    GQueue connections[CONNECTION_STATES]; /* longest in their state first */
    uint32_t connection_count;
    int64_t held_bytes;
    GQueue resumed; /* of struct connection, to go on in the main loop */
    guint resume_source;
    guint timer;
    /* Counters; see cs_http_server_set_counters. */
    const char *name;
    int64_t *refused;
    int64_t *evicted;
    int64_t *held;
    /* Lines on refused clients in the present second. */
    int64_t lines_from_us; /* boot clock; begin of that second */
    uint32_t lines;
    uint32_t lines_dropped; /* since the last line */
};

/* server.c */
/*
 * Makes room for further bytes, if need be by closing the connections that
 * have waited longest for their clients. Returns false if there is none.
 */
bool server_reserve(cs_http_server *server, int64_t bytes,
                    const struct connection *except);
void server_charge(cs_http_server *server, int64_t bytes);
/* Counts a client that is refused and logs it, with a bounded rate. */
void server_note_refusal(cs_http_server *server, const char *reason,
                         int status, const cs_http_request *request);
void server_set_state(struct connection *connection, connection_state state);
/* Lets a connection go on from the main loop. */
void server_resume(struct connection *connection);
/* Takes a connection out of the lists, closes and frees it. */
void server_remove(struct connection *connection);
/* Closes the oldest stream if there are too many besides this one. */
void server_admit_stream(struct connection *connection);
/* Returns whether a connection may be kept until its client closes it. */
bool server_may_wait_for_close(const cs_http_server *server);

/* connection.c */
void connection_create(cs_http_server *server, int fd);
/* Closes the connection and what depends on it. */
void connection_close(struct connection *connection);
/* Reads and writes what is possible. */
void connection_proceed(struct connection *connection);
/* Starts to send the response of the request. */
void connection_respond(struct connection *connection);
/* Starts to stream the response of the request; nothing is sent before the
   main loop runs. */
void connection_begin_stream(struct connection *connection);
/* Sends more of a response; closes the connection on failure. */
void connection_write(struct connection *connection);

/* request.c */
cs_http_request *request_create(struct connection *connection);
void request_destroy(cs_http_request *request);
/* Sets the texts that the handlers read. Returns false if the address of the
   request is malformed. */
bool request_read_headers(cs_http_request *request);
/* Copies a header; out is empty if there is none. */
void request_copy_header(char *out, size_t size,
                         const cs_http_request *request, const char *name);
/* Returns false if there is no room for further bytes of the body. */
bool request_append_body(cs_http_request *request, const char *bytes,
                         size_t size);
/* Charges the server for the copies that a handler makes of the body. Returns
   false if there is no room. */
bool request_begin_handling(cs_http_request *request);
/* Charges the server for what the request takes now. */
void request_update_charge(cs_http_request *request);
/* Fills the response of a request that is refused. */
void request_refuse(cs_http_request *request, int status);

#endif
