/**
 * @file http_server.h
 * HTTP/1.1 server. A request is passed to its handler once its body is
 * complete; a response is sent in one piece or as a stream. Requests of one
 * connection are handled one after the other.
 *
 * What a server holds for its clients is bounded in sum (http_limits.h). If
 * that is used up, it closes the connections that have waited longest for
 * their clients, and refuses a request if there are none. A request that it
 * refuses has not been passed to the handler; its connection is closed after
 * the response.
 */
#ifndef CS_HTTP_SERVER_H
#define CS_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "corianderstair/counters.h"
#include "corianderstair/http_limits.h"
#include "corianderstair/net.h"

typedef struct cs_http_server cs_http_server;

/**
 * One request. It stays valid until cs_http_reply returns or, if its response
 * is streamed, until the stream's closed callback has run.
 */
typedef struct cs_http_request cs_http_request;

/** Handles a request; the response may be given later. */
typedef void (*cs_http_handler)(cs_http_request *request, void *user_data);

/** Called once when the connection of a streamed response has closed. */
typedef void (*cs_http_stream_closed)(void *user_data);

/**
 * Listens on an address. Free the server with cs_http_server_destroy.
 * @param net the context that serves the connections; borrowed
 * @param ip numeric IPv4 address
 * @param port 0 lets the kernel choose; see cs_http_server_port
 * @return 0 or CS_E_SYSTEM
 */
int cs_http_server_create(cs_http_server **out, cs_net *net, const char *ip,
                          uint16_t port, cs_http_handler handler,
                          void *user_data);

/**
 * Frees the server; NULL is allowed. To be called after cs_net_destroy, which
 * closes the server's connections.
 */
void cs_http_server_destroy(cs_http_server *server);

/** Sets the limits; by default, a share of the machine as the system reports
    it. */
void cs_http_server_set_limits(cs_http_server *server,
                               const cs_http_limits *limits);

/**
 * Sets the status of requests that are refused for want of room, 503 by
 * default. An interface whose 503 also promises that no earlier request with
 * the same id has run uses 504, which promises nothing.
 */
void cs_http_server_set_overload_status(cs_http_server *server, int status);

/** Sets the length of a body from which on requests are refused with 413. */
void cs_http_server_set_body_limit(cs_http_server *server, int64_t body_bytes);

/**
 * Counts refused clients, connections that were closed to make room, and held
 * bytes.
 * @param counters borrowed for the life of the server
 * @param name of the server in counters and log lines; borrowed
 */
void cs_http_server_set_counters(cs_http_server *server, cs_counters *counters,
                                 const char *name);

/**
 * Sets the header in which callers state how long they wait for the response,
 * in milliseconds. Without it cs_http_request_deadline_ms returns 0.
 * @param name in lower case, with a trailing colon; borrowed
 */
void cs_http_server_set_deadline_header(cs_http_server *server,
                                        const char *name);

/** @return the port that the server listens on */
uint16_t cs_http_server_port(const cs_http_server *server);

/** @return the number of requests that were passed to the handler and whose
            response is not completely sent */
uint32_t cs_http_server_open_requests(const cs_http_server *server);

/** From now on closes each connection after its next response. */
void cs_http_server_disable_keepalive(cs_http_server *server);

/**
 * Refuses new connections from now on, and closes each open connection after
 * its next response.
 */
void cs_http_server_stop_accepting(cs_http_server *server);

/*
 * Texts that these functions return are owned by the request and never NULL.
 */

/** @return the method in upper case, "OTHER" for an unknown one */
const char *cs_http_request_method(const cs_http_request *request);
/** @return the decoded path without its query */
const char *cs_http_request_path(const cs_http_request *request);
/** @return the query as it was sent, without its question mark, or an empty
            text */
const char *cs_http_request_query(const cs_http_request *request);
/** @return the If-Match header without its quotes, or an empty text */
const char *cs_http_request_if_match(const cs_http_request *request);
/** @return the Host header without its port, or an empty text */
const char *cs_http_request_host(const cs_http_request *request);
/** @return the Authorization header, or an empty text */
const char *cs_http_request_authorization(const cs_http_request *request);
/**
 * @return how long the caller waits, in milliseconds; 0 if its request does
 *         not state it
 */
int64_t cs_http_request_deadline_ms(const cs_http_request *request);
/**
 * Reads a header that holds a whole number.
 * @param name in lower case, with a trailing colon
 * @return the number; 0 if the header is missing or holds none
 */
int64_t cs_http_request_number_header(const cs_http_request *request,
                                      const char *name);
/** @return the body, followed by a zero byte that size_bytes leaves out */
const char *cs_http_request_body(const cs_http_request *request,
                                 size_t *size_bytes);
/** @return whether the caller is still connected */
bool cs_http_request_is_connected(const cs_http_request *request);

/**
 * Copies an argument of the query, as it was sent.
 * @return 0, or CS_E_NOT_FOUND if it is missing, or too long for out
 */
int cs_http_request_query_argument(char *out, size_t size,
                                   const cs_http_request *request,
                                   const char *name);

/** Sets the Retry-After header; to be called before the reply. */
void cs_http_request_set_retry_after(cs_http_request *request,
                                     uint32_t seconds);

/**
 * Sends a complete response and gives up the request. The response is dropped
 * if the caller has disconnected.
 * @param content_type the Content-Type header
 * @param body copied
 */
void cs_http_reply(cs_http_request *request, int status,
                   const char *content_type, const char *body,
                   size_t size_bytes);

/**
 * Starts a streamed response with status 200.
 * @param content_type the Content-Type header
 * @param closed called once when the connection has closed, after which the
 *               request is no longer valid
 */
void cs_http_stream_begin(cs_http_request *request, const char *content_type,
                          cs_http_stream_closed closed, void *user_data);

/**
 * Appends to a streamed response.
 * @param text copied
 * @return 0, or CS_E_OVERLOAD, with nothing appended, if the caller reads too
 *         slowly and the stream's queue is full
 */
int cs_http_stream_write(cs_http_request *request, const char *text,
                         size_t size_bytes);

/**
 * Closes the connection of a streamed response once all of it is sent; closed
 * still runs.
 */
void cs_http_stream_end(cs_http_request *request);

#endif
