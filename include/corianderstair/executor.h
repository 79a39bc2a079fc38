/**
 * @file executor.h
 * Executes the orders that the holder of a cell relays through this VM. In a
 * large cell the holder only decides, and VMs near the workers make the calls.
 */
#ifndef CS_EXECUTOR_H
#define CS_EXECUTOR_H

#include "corianderstair/clock.h"
#include "corianderstair/counters.h"
#include "corianderstair/evacuations.h"
#include "corianderstair/peer_link.h"
#include "corianderstair/worker_port.h"

typedef struct cs_executor cs_executor;

/** Settings; everything they point to is borrowed. */
typedef struct {
    const cs_worker_port *workers; /**< calls workers from this process */
    const cs_peer_link_port *link; /**< carries the answers */
    const cs_evacuations *evacuations;
    cs_now (*now)(void *user_data); /**< clock */
    void *now_data;
    cs_counters *counters;
    /** See CS_SESSION_MAX; identifies this process to holders. */
    uint64_t session;
} cs_executor_settings;

/** @return a new executor; free it with cs_executor_destroy */
cs_executor *cs_executor_create(const cs_executor_settings *settings);

/**
 * Frees the executor; NULL is allowed. Calls that are still open are not
 * cancelled, but their answers are dropped.
 */
void cs_executor_destroy(cs_executor *executor);

/**
 * Executes a batch of orders. An order past its deadline is not sent to its
 * worker, and is answered with CS_E_CONNECT. So is a start on a worker of an
 * evacuated zone, so that an order which the holder sent before the evacuation
 * is dropped. Orders for another process at this address are not answered.
 * @param sender_address of the sender's peer link, where the answers go
 */
void cs_executor_receive(cs_executor *executor, const char *sender_address,
                         const void *bytes, size_t size_bytes);

/**
 * Sends the answers that have arrived since the last call, and acknowledges
 * received batches. To be called in each main loop iteration.
 * @param draining whether this process is about to exit: tells holders to use
 *                 other executors, while open orders are still answered
 */
void cs_executor_tick(cs_executor *executor, bool draining);

#endif
