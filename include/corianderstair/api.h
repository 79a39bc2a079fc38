/**
 * @file api.h
 * The HTTP API of an entry process: resources and watches on them, requests to
 * services, the audit trail and explanations of job states.
 */
#ifndef CS_API_H
#define CS_API_H

#include "corianderstair/process.h"
#include "corianderstair/router.h"

typedef struct cs_api cs_api;

/**
 * Creates the API. The process and the router are borrowed.
 * @param name name of this process, the sender of its messages to peers
 * @param zone zone of this process
 */
cs_api *cs_api_create(cs_process *process, cs_router *router, const char *name,
                      const char *zone);
void cs_api_destroy(cs_api *api);

/** Handles a request and replies to it, possibly after returning. */
void cs_api_handle(cs_api *api, cs_http_request *request);

/** Handles a peer's answer to an explain request; ignores other messages. */
void cs_api_message(cs_api *api, const cs_message *message);

/** Keeps watches alive and answers explanations that have timed out. */
void cs_api_tick(cs_api *api);

/** Ends all watches and refuses new ones, so that the process can stop. */
void cs_api_drain(cs_api *api);

#endif
