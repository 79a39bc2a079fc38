/**
 * @file dispatch.h
 * The holder's way to the workers: calls them itself while they are few, and
 * otherwise through executors on other VMs. A call whose executor is lost
 * ends as one with an open outcome, like any call without an answer.
 */
#ifndef CS_DISPATCH_H
#define CS_DISPATCH_H

#include <jansson.h>
#include "corianderstair/clock.h"
#include "corianderstair/counters.h"
#include "corianderstair/members.h"
#include "corianderstair/peer_link.h"
#include "corianderstair/worker_port.h"

typedef struct cs_dispatch cs_dispatch;

typedef struct {
    const cs_worker_port *direct; /**< calls of this process */
    const cs_peer_link_port *link;
    const cs_members *members;
    const char *own_name; /**< of this VM, which is no executor */
    uint32_t direct_max;  /**< workers that are called directly */
    cs_now (*now)(void *data);
    void *now_data;
    cs_counters *counters; /**< borrowed */
} cs_dispatch_settings;

cs_dispatch *cs_dispatch_create(const cs_dispatch_settings *settings);

/** Ends every open call, with CS_E_UNKNOWN. */
void cs_dispatch_close(cs_dispatch *dispatch);

/** Frees it after it was closed; NULL is allowed. */
void cs_dispatch_destroy(cs_dispatch *dispatch);

/** @return the port that the holder uses */
const cs_worker_port *cs_dispatch_port(cs_dispatch *dispatch);

/** Takes a message of answers. */
void cs_dispatch_receive(cs_dispatch *dispatch, const char *from,
                         const void *bytes, size_t size_bytes);

/**
 * Sends what has gathered, looks after the executors and ends calls whose
 * deadline has passed.
 * @param holding whether this process holds the cell
 * @param workers of the cell, as far as they are known
 */
void cs_dispatch_tick(cs_dispatch *dispatch, bool holding, uint32_t workers);

/**
 * Describes the executors for operators.
 * @return a new array, empty where this process does not hold the cell
 */
json_t *cs_dispatch_status(const cs_dispatch *dispatch);

#endif
