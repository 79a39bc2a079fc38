/**
 * @file binpack.h
 * Bin packing: the placement of tasks with resource demands on workers in
 * racks. Pure decisions without I/O or a clock.
 */
#ifndef CS_BINPACK_H
#define CS_BINPACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "corianderstair/job_spec.h"

/** Stands for any rack, or for no worker. */
#define CS_BINPACK_ANY UINT32_MAX

/** What placement needs to know about a worker. */
typedef struct {
    cs_demand capacity;
    cs_demand free;  /**< capacity less placed demands; may be negative */
    uint32_t rack;   /**< less than rack_count of the cell */
    uint64_t labels; /**< a bit for each label */
    double speed;    /**< relative to the mean of the fleet, which is 1 */
    bool usable;     /**< new tasks may be placed on it */
    uint32_t zone;   /**< number of its zone; all racks of a number are in one
                          place that may be cut off from the others */
} cs_binpack_worker;

/** The workers of a cell. The caller owns the workers. */
typedef struct {
    cs_binpack_worker *workers;
    uint32_t worker_count;
    uint32_t rack_count;
    uint32_t *by_rack;    /**< worker indexes, sorted by rack */
    uint32_t *rack_first; /**< by rack: the first of its workers in by_rack;
                               an entry more than there are racks */
} cs_binpack_cell;

/** Builds by_rack and rack_first from the workers. */
void cs_binpack_cell_index(cs_binpack_cell *cell);

/** Frees by_rack and rack_first. */
void cs_binpack_cell_unindex(cs_binpack_cell *cell);

/** A number of equal tasks to place. */
typedef struct {
    cs_demand demand; /**< of each task */
    uint32_t count;
    bool all_or_nothing;     /**< places all of the tasks or none */
    bool same_rack;          /**< all tasks go to one rack */
    uint32_t data_rack;      /**< the only rack allowed, or CS_BINPACK_ANY */
    uint64_t labels;         /**< labels that a worker must have */
    uint32_t max_per_worker; /**< tasks of the step; 0 no limit */
    const uint32_t *tasks_present; /**< by worker: tasks of the step that it
                                  has already; NULL for none */
    uint32_t first_reserved_rack;  /**< racks from this index on are reserved
                               for others; rack_count if none are */
    const bool *allowed;           /**< by worker; NULL allows all */
    uint32_t avoided_worker; /**< a worker that is used only if no other one
                                  has capacity, or CS_BINPACK_ANY */
    bool avoids_strictly;    /**< avoided_worker is not used at all */
    double speed_weight;     /**< weight of a worker's speed against its free
                                  fraction; negative prefers slow workers */
} cs_binpack_request;

/** @return whether the available resources cover the demand */
bool cs_demand_fits(const cs_demand *demand, const cs_demand *available);

/** Adds part to sum. */
void cs_demand_add(cs_demand *sum, const cs_demand *part);

/** Subtracts part from sum. */
void cs_demand_subtract(cs_demand *sum, const cs_demand *part);

/** @return the demand in cores; an accelerator weighs as much as 8 */
double cs_demand_cores(const cs_demand *demand);

/**
 * @param available resources of the worker that the tasks may take
 * @return how many tasks of the request the worker may run in them, at most
 *         request->count
 */
uint32_t cs_binpack_worker_slots(const cs_binpack_cell *cell, uint32_t worker,
                                 const cs_binpack_request *request,
                                 const cs_demand *available);

/**
 * Places tasks and subtracts their demands from free of the workers. A request
 * for all tasks that may span racks is placed in one zone if one can hold it.
 * @param out buffer for request->count worker indexes, one for each task
 * @return the number of tasks placed; 0 or all if the request is to be placed
 *         as a whole or in one rack
 */
uint32_t cs_binpack_place(uint32_t *out, cs_binpack_cell *cell,
                          const cs_binpack_request *request);

/**
 * Ranks the workers that could run a task of the request if they were empty.
 * Disregards request->allowed and reserved racks. Workers with enough free
 * resources go first; if the request is for one rack, workers are grouped by
 * rack and the rack with the most free accelerators goes first.
 * @param out buffer for cell->worker_count worker indexes
 * @return the number of ranked workers
 */
uint32_t cs_binpack_rank(uint32_t *out, const cs_binpack_cell *cell,
                         const cs_binpack_request *request);

/** @return whether the request would fit if all usable workers were empty: all
 *          of its tasks if it is to be placed as a whole, else at least one */
bool cs_binpack_is_possible(const cs_binpack_cell *cell,
                            const cs_binpack_request *request);

/** A running task that may be preempted. */
typedef struct {
    uint32_t worker;
    uint32_t group; /**< tasks with the same number are stopped together */
    cs_demand demand;
    double loss; /**< cost of stopping the group, in a unit of the caller;
                      the same for all of its tasks */
} cs_binpack_victim;

/**
 * Finds groups of tasks whose stop makes a request fit at a small total loss.
 * Places the request as a whole.
 * @param groups buffer for victim_count group numbers: those to stop
 * @param out buffer for request->count worker indexes, one for each task
 * @return the number of groups, or -1 if no stop makes the request fit
 */
int32_t cs_binpack_preempt(uint32_t *groups, uint32_t *out,
                           const cs_binpack_cell *cell,
                           const cs_binpack_request *request,
                           const cs_binpack_victim *victims,
                           uint32_t victim_count);

#endif
