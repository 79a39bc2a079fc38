/**
 * @file dispatch.h
 * Worker port of the holder of a cell. Calls workers directly in a small cell,
 * and relays the calls through executors on other VMs in a large one. A call
 * whose executor is lost ends with an unknown outcome (CS_E_OUTCOME_UNKNOWN),
 * like any call that isn't answered.
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

/** Settings; everything they point to is borrowed. */
typedef struct {
    const cs_worker_port *direct;  /**< calls workers from this process */
    const cs_peer_link_port *link; /**< carries batches to the executors */
    const cs_members *members;     /**< VMs that may become executors */
    const char *own_name; /**< of this VM, which isn't used as an executor */
    uint32_t
        max_direct_workers; /**< up to this many workers are called directly */
    cs_now (*now)(void *user_data); /**< clock */
    void *now_data;
    cs_counters *counters;
    /** See CS_SESSION_MAX; identifies this process to executors. */
    uint64_t session;
} cs_dispatch_settings;

/** @return a new object; free it with cs_dispatch_destroy */
cs_dispatch *cs_dispatch_create(const cs_dispatch_settings *settings);

/**
 * Completes every open call with CS_E_OUTCOME_UNKNOWN. To be called while the
 * owners of the calls still exist. NULL is allowed.
 */
void cs_dispatch_close(cs_dispatch *dispatch);

/** Frees a dispatch that has been closed; NULL is allowed. */
void cs_dispatch_destroy(cs_dispatch *dispatch);

/** @return the port for the holder's calls, owned by dispatch */
const cs_worker_port *cs_dispatch_port(cs_dispatch *dispatch);

/**
 * Processes a batch of answers; ignores one of an unknown sender, and one for
 * another process or tenure at this address.
 * @param executor_address of the sender's peer link
 */
void cs_dispatch_receive(cs_dispatch *dispatch, const char *executor_address,
                         const void *bytes, size_t size_bytes);

/**
 * Sends pending orders, selects and monitors the executors, and fails calls
 * whose deadline has passed. To be called in each main loop iteration.
 * @param is_holder whether this process holds the cell; on the change to false
 *                  all open calls are completed with CS_E_OUTCOME_UNKNOWN
 * @param worker_count workers of the cell that are known so far
 */
void cs_dispatch_tick(cs_dispatch *dispatch, bool is_holder,
                      uint32_t worker_count);

/**
 * Describes the executors for operators.
 * @return a new array; empty if this process doesn't hold the cell
 */
json_t *cs_dispatch_status(const cs_dispatch *dispatch);

#endif
