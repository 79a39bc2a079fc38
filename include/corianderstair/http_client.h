/**
 * @file http_client.h
 * Asynchronous HTTP/1.1 client with pooled connections. A connection carries
 * one request at a time, without pipelining.
 */
#ifndef CS_HTTP_CLIENT_H
#define CS_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "corianderstair/net.h"

typedef struct cs_http_client cs_http_client;

/** The outcome of a call. */
typedef struct {
    /**
     * 0 if the complete response was received;
     * CS_E_CONNECT if nothing was sent;
     * CS_E_OVERLOAD if the call was queued for a connection until its
     * deadline, so that nothing was sent;
     * CS_E_CUT, CS_E_TIMEOUT or CS_E_TOO_LARGE (the response exceeds
     * max_response_bytes) if the request was sent and may have been executed.
     */
    int code;
    /** HTTP status; if code is not 0, that of a response that had begun, or 0.
     */
    int status;
    const char *body;  /**< zero-terminated; valid during the callback */
    size_t size_bytes; /**< of the body, without the terminating zero */
} cs_http_response;

/** Called once when a call has ended; the response is borrowed. */
typedef void (*cs_http_done)(void *user_data,
                             const cs_http_response *response);

/** Receives one chunk of a streamed response body. */
typedef void (*cs_http_chunk_handler)(void *user_data, const char *bytes,
                                      size_t size_bytes);

/** An additional request header. */
typedef struct {
    const char *name; /**< in lower case, with a trailing colon */
    const char *value;
} cs_http_header;

/** Maximum number of additional headers of a call. */
#define CS_HTTP_MAX_CALL_HEADERS 3

/** Parameters of a call. All texts and the body are copied. */
typedef struct {
    const char *method;
    const char *address; /**< "IP:PORT" */
    const char *path;
    const char *host;         /**< Host header; NULL for the IP of address */
    const char *if_match;     /**< If-Match header; NULL for none */
    const char *content_type; /**< Content-Type of the body; NULL for none */
    /** Additional headers; the first NULL name ends the list. */
    cs_http_header headers[CS_HTTP_MAX_CALL_HEADERS];
    const char *body;
    size_t size_bytes;
    int64_t deadline_us; /**< on the boot clock */
    /**
     * Boot clock; the call ends with CS_E_TIMEOUT at this time, if it is
     * before deadline_us, unless bytes of the response have arrived. Each
     * arrival moves it to progress_us later. 0: only deadline_us applies.
     */
    int64_t progress_deadline_us;
    int64_t progress_us; /**< time within which further bytes must arrive */
    /**
     * Ends the call with CS_E_TOO_LARGE and closes its connection if the body
     * of the response is larger, before it is transferred if its length is
     * announced. 0: 64 MB.
     */
    size_t max_response_bytes;
    bool single_use; /**< uses a new connection and closes it afterwards */
    /** Receives the body in chunks; NULL to pass all of it to done. */
    cs_http_chunk_handler on_chunk;
    /**
     * Called exactly once; before cs_http_client_start returns, if the
     * connection fails immediately.
     */
    cs_http_done done;
    void *user_data; /**< passed to the callbacks */
} cs_http_call;

/**
 * Creates a client. Free it with cs_http_client_destroy.
 * @param net the context that makes its connections; borrowed
 * @param max_connections maximum number of connections to one address, 1..64
 * @return 0 or CS_E_SYSTEM
 */
int cs_http_client_create(cs_http_client **out, cs_net *net,
                          uint32_t max_connections);

/**
 * Refuses new calls, ends the queued ones with CS_E_CONNECT and closes idle
 * connections. To be called before cs_net_destroy, which ends the calls that
 * have a connection.
 */
void cs_http_client_close(cs_http_client *client);

/**
 * Frees the client; NULL is allowed. To be called after cs_net_destroy, which
 * ends the open calls.
 */
void cs_http_client_destroy(cs_http_client *client);

/**
 * Starts a call, or queues it until a connection is free.
 * @return 0, CS_E_INVALID for a malformed address, CS_E_OVERLOAD if the queue
 *         is full, or CS_E_DRAINING after cs_http_client_close; done is called
 *         only if 0 is returned
 */
int cs_http_client_start(cs_http_client *client, const cs_http_call *call);

/**
 * As cs_http_client_start, but reports a call that cannot be started through
 * done, with CS_E_CONNECT and later from the main loop.
 */
void cs_http_client_call(cs_http_client *client, const cs_http_call *call);

/** @return the number of calls that were started and have not ended */
uint32_t cs_http_client_open_calls(const cs_http_client *client);

#endif
