/**
 * @file process.h
 * The common frame of the daemons: main loop, HTTP server and client, store
 * view with its journal, peers, counters, and the orderly shutdown.
 */
#ifndef CS_PROCESS_H
#define CS_PROCESS_H

#include <stdbool.h>
#include "corianderstair/store_view.h"
#include "corianderstair/outbox_sender.h"
#include "corianderstair/counters.h"
#include "corianderstair/http_server.h"
#include "corianderstair/journal.h"
#include "corianderstair/peers.h"

typedef struct cs_process cs_process;

/** Settings of a process. The texts are borrowed for its lifetime. */
typedef struct {
    const char *role; /**< "entryd" or "schedd" */
    const char *name; /**< unique among the processes of the deployment */
    const char *zone;
    const char *listen;       /**< of the HTTP server, "IP:PORT" */
    const char *peer_listen;  /**< for messages of peers, "IP:PORT" */
    const char *peers;        /**< of all peers, "IP:PORT,IP:PORT" */
    const char *store;        /**< of the table service, "IP:PORT" */
    int64_t poll_ms;          /**< time between polls of the table service */
    int64_t drain_ms;         /**< time to finish work after a stop signal */
    uint32_t max_connections; /**< maximum to one address, 1..64 */
    int64_t memory_mb;        /**< memory of the machine; 0: as it reports */
    int64_t descriptors;      /**< of the process; 0: as its limit says */
} cs_process_settings;

/** The behaviour that differs between daemons. */
typedef struct {
    /** Handles a request that the process does not answer itself. */
    void (*request)(cs_http_request *request, void *user_data);
    /** Handles a message of a peer, except version hints and heartbeats;
        optional. */
    void (*message)(void *user_data, const cs_message *message);
    /** Does the work that is due; called periodically and after each event. */
    void (*tick)(void *user_data);
    /** Adds the daemon's own fields to a heartbeat to the peers; optional. */
    void (*heartbeat)(void *user_data, cs_peer_heartbeat *heartbeat);
    /** Starts to drain; called on the first SIGTERM or SIGINT only. */
    void (*drain)(void *user_data);
    /** @return whether all work of the daemon is finished */
    bool (*is_drained)(void *user_data);
    /** @return whether the daemon can serve; answers /readyz */
    bool (*is_ready)(void *user_data);
    void *user_data; /**< passed to each hook */
} cs_process_hooks;

/**
 * Creates a process with all its parts and starts to listen. Free it with
 * cs_process_destroy.
 * @return 0, CS_E_INVALID for a malformed address or CS_E_SYSTEM
 */
int cs_process_create(cs_process **out, const cs_process_settings *settings);

/** Sets the hooks, which are copied; to be called before cs_process_run. */
void cs_process_set_hooks(cs_process *process, const cs_process_hooks *hooks);

/**
 * Runs the main loop until a stop signal has come and the drain has ended.
 * @return the exit status of the program: 0, or 3 if the drain deadline passed
 *         before all work was finished
 */
int cs_process_run(cs_process *process);

/** Closes all connections; the open HTTP calls end before it returns. */
void cs_process_close(cs_process *process);

/**
 * Frees the journal, which ends its pending changes as of unknown outcome. To
 * be called while the owners of their callbacks still exist.
 */
void cs_process_destroy_journal(cs_process *process);

/** Closes and frees the process and all its parts; NULL is allowed. */
void cs_process_destroy(cs_process *process);

/** Schedules a tick in the next iteration of the main loop. */
void cs_process_wake(cs_process *process);

/* The parts of a process, owned by it. */

cs_store_view *cs_process_store_view(cs_process *process);
cs_outbox *cs_process_outbox(cs_process *process);
cs_journal *cs_process_journal(cs_process *process);
cs_counters *cs_process_counters(cs_process *process);
cs_http_client *cs_process_client(cs_process *process);
cs_peers *cs_process_peers(cs_process *process);
/** @return a text that is unique to this run of the process */
const char *cs_process_incarnation(const cs_process *process);
/** @return whether a stop signal was received */
bool cs_process_is_draining(const cs_process *process);

#endif
