/**
 * @file fleet_board.h
 * The blackboard of a process on a VM: what its controllers know of the
 * configuration and of the cell. Each field has one writer.
 */
#ifndef CS_FLEET_BOARD_H
#define CS_FLEET_BOARD_H

#include <glib.h>
#include <stdint.h>
#include "corianderstair/adviser_port.h"
#include "corianderstair/clock.h"
#include "corianderstair/counters.h"
#include "corianderstair/fleet_config.h"
#include "corianderstair/store_port.h"
#include "corianderstair/vm_settings.h"
#include "corianderstair/worker_entry.h"
#include "corianderstair/worker_port.h"

/** What connects a process to the outside; filled in by the program. */
typedef struct {
    const cs_store_port *store;
    const cs_worker_port *workers;
    const cs_adviser_port *adviser; /**< NULL where there is none */
    cs_now (*now)(void *data);
    void *now_data;
    /** Reads a version of the configuration. */
    int (*decode_config)(cs_fleet_config **out, const void *bytes,
                         size_t size_bytes);
    const char *config_table;
    const char *config_key;
    /** Reads the entry of a worker. */
    int (*decode_worker)(cs_worker_entry *out, const void *bytes,
                         size_t size_bytes);
    const char *workers_table;
} cs_fleet_ports;

/** What the holder of the cell says of it, in its lease row. */
typedef struct {
    char holder[96];
    uint64_t epoch;
    GHashTable *waiting; /**< queue name to number of waiting jobs */
} cs_cell_view;

/** VMs of each zone that are the first to take the cell: its strongest. */
#define CS_CANDIDATES_PER_ZONE 2

/** Where this VM stands among all, by share of a core. */
typedef struct {
    bool known;                 /**< the other VMs' rows were read */
    uint32_t in_zone;           /**< stronger VMs of its zone */
    uint32_t candidates_before; /**< candidates of all zones that go first */
    bool outdone;               /**< one of these is stronger */
} cs_vm_rank;

/** @return whether the VM is among the first to take the cell */
bool cs_vm_is_candidate(const cs_vm_rank *rank);

typedef struct {
    cs_fleet_ports ports;
    cs_vm_settings settings;
    cs_vm_rank rank;
    char incarnation[96];    /**< of this process, unique */
    cs_counters *counters;   /**< borrowed */
    cs_fleet_config *config; /**< NULL until one was read */
    double store_write_us;   /**< mean time of a write; 0 unknown */
    int64_t store_answer_us; /**< boot clock of the last answer; 0 never */
    cs_cell_view cell;
    bool relayed;  /**< the store turns this VM away; peers pass calls on */
    bool draining; /**< this process was asked to stop */
} cs_fleet_board;

/** Fills a board. Settings are copied, the rest is borrowed. */
void cs_fleet_board_init(cs_fleet_board *board, const cs_fleet_ports *ports,
                         const cs_vm_settings *settings,
                         cs_counters *counters);
void cs_fleet_board_dispose(cs_fleet_board *board);

/** @return the present instant */
cs_now cs_fleet_board_now(const cs_fleet_board *board);

/** @return the counter of a name */
int64_t *cs_fleet_board_counter(const cs_fleet_board *board, const char *name);

/** Notes how long a write to the store took, repeats included. */
void cs_fleet_board_store_wrote(cs_fleet_board *board, int64_t us);

/**
 * How long a write is waited for before it is repeated unchanged: a lost
 * answer is noticed soon, a slow store is not hurried.
 * @return microseconds
 */
int64_t cs_fleet_board_write_patience_us(const cs_fleet_board *board);

/** Notes that the store has answered. */
void cs_fleet_board_store_answered(cs_fleet_board *board, int code);

#endif
