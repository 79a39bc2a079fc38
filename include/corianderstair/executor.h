/**
 * @file executor.h
 * Carries out the orders that the holder of the cell sends to other VMs: a
 * VM near the workers makes the calls, and the holder only decides.
 */
#ifndef CS_EXECUTOR_H
#define CS_EXECUTOR_H

#include "corianderstair/clock.h"
#include "corianderstair/counters.h"
#include "corianderstair/peer_link.h"
#include "corianderstair/worker_port.h"

typedef struct cs_executor cs_executor;

typedef struct {
    const cs_worker_port *workers;
    const cs_peer_link_port *link;
    cs_now (*now)(void *data);
    void *now_data;
    cs_counters *counters; /**< borrowed */
} cs_executor_settings;

cs_executor *cs_executor_create(const cs_executor_settings *settings);

/** Frees it; answers of calls that are open are dropped. NULL is allowed. */
void cs_executor_destroy(cs_executor *executor);

/** Takes a message of orders. */
void cs_executor_receive(cs_executor *executor, const char *from,
                         const void *bytes, size_t size_bytes);

/**
 * Sends the answers that have come since the last call.
 * @param leaving whether this process will stop: holders are told to use
 *                others, and what is open is answered
 */
void cs_executor_tick(cs_executor *executor, bool leaving);

#endif
