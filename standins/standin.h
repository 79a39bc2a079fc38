/**
 * @file standin.h
 * Shared by the stand-in programs: an HTTP server on a main loop, and faults
 * that delay or lose replies.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <jansson.h>
#include "corianderstair/http_server.h"

/** Faults that POST /faults sets; all zero means none. */
typedef struct {
    bool outage;          /**< all requests are refused with 503 */
    int64_t delay_ms;     /**< before each reply */
    int64_t lose_answers; /**< number of replies to drop; their requests
                               are executed */
    bool silent;          /**< no request gets a reply */
} standin_faults;

/**
 * Replies with JSON, or delays or drops the reply as the faults say.
 * @param body is moved
 */
void standin_reply(cs_http_request *request, int status, json_t *body,
                   standin_faults *faults);

/** Updates the faults that the body names; the others stay. */
void standin_update_faults(standin_faults *faults, const json_t *body);

/** @return the body of a request as JSON, a new reference, or NULL */
json_t *standin_read_json(cs_http_request *request);

/**
 * Listens, prints "ready IP:PORT" and serves until SIGTERM or SIGINT.
 * @param listen "IP:PORT"; port 0 lets the kernel choose one
 * @return the exit status of the program
 */
int standin_run(const char *listen, cs_http_handler handler, void *user_data,
                GMainLoop *loop);

#endif
