/**
 * @file process.h
 * What every daemon has: a main loop, HTTP, the board with its journal,
 * peers, counters, and a shutdown in order.
 */
#ifndef CS_PROCESS_H
#define CS_PROCESS_H

#include <stdbool.h>
#include "corianderstair/board.h"
#include "corianderstair/carrier.h"
#include "corianderstair/counters.h"
#include "corianderstair/http_server.h"
#include "corianderstair/journal.h"
#include "corianderstair/peers.h"

typedef struct cs_process cs_process;

typedef struct {
    const char *role; /**< "entryd" or "schedd" */
    const char *name;
    const char *zone;
    const char *listen;      /**< HTTP, "IP:PORT" */
    const char *peer_listen; /**< peers, "IP:PORT" */
    const char *peers;       /**< "IP:PORT,IP:PORT" */
    const char *store;       /**< table service, "IP:PORT" */
    int64_t poll_ms;
    int64_t drain_ms;
    uint32_t connections; /**< to one address */
} cs_process_settings;

/** The parts that differ between daemons; data is passed back to each. */
typedef struct {
    /** A request that the process does not answer itself. */
    void (*request)(cs_http_request *request, void *user_data);
    /** A message of a peer. */
    void (*message)(void *user_data, const cs_message *message);
    /** Does what is due. */
    void (*tick)(void *user_data);
    /** Fills in what a heartbeat says. */
    void (*heartbeat)(void *user_data, cs_heartbeat *heartbeat);
    /** The first signal to stop. */
    void (*drain)(void *user_data);
    /** @return whether nothing is left to finish */
    bool (*is_drained)(void *user_data);
    /** @return whether the process can serve */
    bool (*is_ready)(void *user_data);
    void *data;
} cs_process_hooks;

/** Creates everything and listens. @return 0 or the error */
int cs_process_create(cs_process **out, const cs_process_settings *settings);

/** Sets the hooks; before cs_process_run. */
void cs_process_set_hooks(cs_process *process, const cs_process_hooks *hooks);

/** Runs until a drain has ended. @return the exit status of the program */
int cs_process_run(cs_process *process);
/** Closes all connections; calls in flight end before it returns. */
void cs_process_close(cs_process *process);
/** Ends what waits in the journal, while those who wait still live. */
void cs_process_end_journal(cs_process *process);
void cs_process_destroy(cs_process *process);

/** Asks for a tick soon. */
void cs_process_wake(cs_process *process);

cs_board *cs_process_board(cs_process *process);
cs_outbox *cs_process_outbox(cs_process *process);
cs_journal *cs_process_journal(cs_process *process);
cs_counters *cs_process_counters(cs_process *process);
cs_http_client *cs_process_client(cs_process *process);
cs_peers *cs_process_peers(cs_process *process);
/** @return a text that tells this run of the process from all others */
const char *cs_process_incarnation(const cs_process *process);
/** @return whether a signal to stop has come */
bool cs_process_is_draining(const cs_process *process);

#endif
