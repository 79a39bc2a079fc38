/**
 * @file fleet_state.h
 * State that the controllers of a process share: ports to the outside,
 * settings, the current configuration, and what is known of the cell. Each
 * field is written by one controller only.
 */
#ifndef CS_FLEET_STATE_H
#define CS_FLEET_STATE_H

#include <glib.h>
#include <stdint.h>
#include "corianderstair/adviser_port.h"
#include "corianderstair/clock.h"
#include "corianderstair/config_status.h"
#include "corianderstair/counters.h"
#include "corianderstair/evacuations.h"
#include "corianderstair/fleet_config.h"
#include "corianderstair/store_port.h"
#include "corianderstair/vm_settings.h"
#include "corianderstair/worker_entry.h"
#include "corianderstair/worker_port.h"

/** Ports and decoders that connect a process to the platform; borrowed. */
typedef struct {
    const cs_store_port *store;
    const cs_worker_port *workers;
    const cs_adviser_port *adviser; /**< NULL if there is no adviser */
    cs_now (*now)(void *user_data); /**< reads the clocks */
    void *now_data;
    /** Decodes a version of the configuration. */
    int (*decode_config)(cs_fleet_config **out, const void *bytes,
                         size_t size_bytes);
    const char *config_table;
    const char *config_key; /**< row that holds the configuration */
    /** Rows of config_table with this prefix name the evacuated zones. */
    const char *evacuation_prefix;
    /** Decodes the entry of a worker. */
    int (*decode_worker)(cs_worker_entry *out, const void *bytes,
                         size_t size_bytes);
    const char *workers_table;
} cs_fleet_ports;

/** What the holder of the cell reports in its lease row. */
typedef struct {
    char holder[96]; /**< incarnation of the holder */
    uint64_t epoch;
    GHashTable *waiting_jobs; /**< queue name, or the name of its hash, to
                                 number of waiting jobs; owned */
    GByteArray *forecast;     /**< record of forecast.h; NULL: none; owned */
    int64_t forecast_read_us; /**< boot clock when it was read */
    int64_t forecast_read_ms; /**< the store's clock when it was read */
    uint64_t forecast_serial; /**< raised whenever forecast is replaced */
} cs_cell_view;

/** Rows of ended jobs are retained for this long beyond the time in which
   their states may be requested. */
#define CS_RETENTION_EXTRA_MS 60000

/** Size of a name that stands for the hash of a queue's name. */
#define CS_QUEUE_HASH_NAME_BYTES 12

/** @return the hash of a queue's name that a lease row may contain instead */
uint32_t cs_cell_view_queue_hash(const char *queue);
/** Writes the name under which waiting_jobs holds a hash. */
void cs_cell_view_hash_name(char out[CS_QUEUE_HASH_NAME_BYTES], uint32_t hash);
/** @return the number of waiting jobs of a queue; of all queues with the same
 *          hash if the holder has written no names */
uint32_t cs_cell_view_waiting_jobs(const cs_cell_view *cell,
                                   const char *queue);

/**
 * Number of VMs of each zone that are candidates: the strongest ones, which
 * acquire the cell before any other VM tries to.
 */
#define CS_CANDIDATES_PER_ZONE 2

/** Rank of this VM among all VMs: the larger the CPU share, the earlier. */
typedef struct {
    bool known;         /**< the rows of the other VMs have been read */
    uint32_t zone_rank; /**< VMs of its zone that rank before it */
    uint32_t candidates_before; /**< candidates that rank before it */
    bool stronger_before;       /**< one of these has a larger CPU share */
} cs_vm_rank;

/** @return whether the VM is a candidate; true while its rank is unknown */
bool cs_vm_is_candidate(const cs_vm_rank *rank);

/** The state of a process. */
typedef struct {
    cs_fleet_ports ports;
    cs_vm_settings settings;
    cs_vm_rank rank;
    char incarnation[96];    /**< unique to this run of the process */
    cs_counters *counters;   /**< borrowed */
    cs_fleet_config *config; /**< NULL until a version has been read */
    cs_config_status config_status;
    cs_evacuations *evacuations; /**< zones in which nothing is started */
    double mean_write_us;        /**< duration of store writes; 0 if unknown */
    int64_t
        last_store_answer_us; /**< boot clock of the last answer; 0 if none */
    int64_t store_failing_since_us; /**< boot clock of the first failed call
                                       since that answer; 0 if none */
    cs_cell_view cell;
    bool relayed; /**< store calls go through a peer, as direct ones fail */
    uint64_t route_changes; /**< changes of the route to the store so far */
    bool refused;           /**< relayed, and a peer is known to be served */
    bool draining;          /**< this process was asked to stop */
} cs_fleet_state;

/**
 * Initializes the state of a process.
 * @param ports copied; what it points to is borrowed
 * @param settings copied
 * @param counters borrowed
 */
void cs_fleet_state_init(cs_fleet_state *state, const cs_fleet_ports *ports,
                         const cs_vm_settings *settings,
                         cs_counters *counters);
/** Frees what the state owns, not the struct itself. */
void cs_fleet_state_dispose(cs_fleet_state *state);

/** @return the current time on both clocks */
cs_now cs_fleet_state_now(const cs_fleet_state *state);

/**
 * How long the row of an ended job, or a tombstone, is retained. An insert of
 * the same id must not arrive later: a caller may wait for 60 s, the store may
 * carry a change out seconds after that, and a VM may stand still for seconds
 * before it reads a request.
 * @return milliseconds
 */
int64_t cs_fleet_state_retention_ms(const cs_fleet_state *state);

/** @return the counter of a name, created if need be; owned by the counters */
int64_t *cs_fleet_state_counter(const cs_fleet_state *state, const char *name);

/**
 * Records how long a write to the store took, from its first attempt on.
 * @param elapsed_us microseconds
 */
void cs_fleet_state_record_write_time(cs_fleet_state *state,
                                      int64_t elapsed_us);

/**
 * Timeout of a write, after which it is repeated unchanged. It follows the
 * average duration of a write, so that a lost answer is noticed soon and a
 * slow store is not loaded with repeats.
 * @return microseconds
 */
int64_t cs_fleet_state_write_timeout_us(const cs_fleet_state *state);

/**
 * Records the time of a call's result: of an answer if the code shows that the
 * store answered, else of a failure.
 */
void cs_fleet_state_record_store_answer(cs_fleet_state *state, int code);

/**
 * Replaces the forecast of the cell.
 * @param bytes copied; NULL if there is no forecast
 * @param store_ms the store's clock now; 0, if unknown, drops the forecast, as
 *                 its age could not be told
 */
void cs_fleet_state_set_forecast(cs_fleet_state *state, const void *bytes,
                                 size_t size_bytes, int64_t store_ms);

#endif
