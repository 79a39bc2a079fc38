/**
 * @file http_client.h
 * HTTP/1.1 client with pooled connections, one request on a connection at a
 * time.
 */
#ifndef CS_HTTP_CLIENT_H
#define CS_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "corianderstair/net.h"

typedef struct cs_http_client cs_http_client;

/** The end of a call. */
typedef struct {
    /**
     * 0 for a whole answer; CS_E_CONNECT where nothing was sent; CS_E_CUT,
     * CS_E_TIMEOUT or CS_E_TOO_LARGE where the request may have run;
     * CS_E_OVERLOAD where it waited for a connection until its deadline.
     */
    int code;
    int status;       /**< HTTP status where code is 0 */
    const char *body; /**< zero-terminated; valid during the callback */
    size_t size_bytes;
} cs_http_answer;

typedef void (*cs_http_done)(void *data, const cs_http_answer *answer);

/** A piece of an answer that is streamed. */
typedef void (*cs_http_piece)(void *data, const char *bytes,
                              size_t size_bytes);

/** A header of a call. */
typedef struct {
    const char *name; /**< in lower case, with its colon */
    const char *value;
} cs_http_header;

/** Most headers that a call may add. */
#define CS_HTTP_CALL_HEADERS 3

/** One call; every text is copied. */
typedef struct {
    const char *method;
    const char *address; /**< "IP:PORT" */
    const char *path;
    const char *host;     /**< Host header; NULL for the address */
    const char *if_match; /**< NULL for none */
    const char *type;     /**< Content-Type of the body; NULL for none */
    cs_http_header headers[CS_HTTP_CALL_HEADERS]; /**< up to a NULL name */
    const char *body;
    size_t size_bytes;
    int64_t deadline_us; /**< on the boot clock */
    bool once;           /**< takes a connection of its own and closes it */
    cs_http_piece piece; /**< takes the body in pieces; NULL for whole */
    cs_http_done done;   /**< called exactly once, never inside the call */
    void *data;
} cs_http_call;

/**
 * Creates a client.
 * @param connections the most connections to one address, 1..64
 * @return 0 or CS_E_SYSTEM
 */
int cs_http_client_create(cs_http_client **out, cs_net *net,
                          uint32_t connections);

/** Starts no further call; to be called before the net is destroyed. */
void cs_http_client_close(cs_http_client *client);

/** Frees the client after the net, which ends its calls; NULL is allowed. */
void cs_http_client_destroy(cs_http_client *client);

/** Starts a call. @return 0, CS_E_INVALID or CS_E_OVERLOAD (not started) */
int cs_http_client_start(cs_http_client *client, const cs_http_call *call);

/**
 * Starts a call; one that cannot be started ends with CS_E_CONNECT through
 * done, later and from the main loop.
 */
void cs_http_client_call(cs_http_client *client, const cs_http_call *call);

/** @return calls started and not ended */
uint32_t cs_http_client_open(const cs_http_client *client);

#endif
