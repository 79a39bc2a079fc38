/**
 * @file fit.h
 * Placing tasks with demand vectors on workers in racks: pure decisions
 * without I/O or clock.
 */
#ifndef CS_FIT_H
#define CS_FIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "corianderstair/job_spec.h"

#define CS_FIT_ANY UINT32_MAX

/** A worker as placement sees it. */
typedef struct {
    cs_demand capacity;
    cs_demand free;  /**< capacity less what is placed; may be negative */
    uint32_t rack;   /**< 0.. below the number of racks */
    uint64_t labels; /**< a bit for each label */
    double speed;    /**< learned; 1 is the fleet's mean */
    bool usable;     /**< takes new tasks */
} cs_fit_worker;

/** The workers of a cell. */
typedef struct {
    cs_fit_worker *workers;
    uint32_t worker_count;
    uint32_t rack_count;
    uint32_t *by_rack;    /**< worker indexes, rack by rack */
    uint32_t *rack_first; /**< where each rack begins in by_rack; one more
                               than there are racks */
} cs_fit_cell;

/** Builds the index by rack from the workers. */
void cs_fit_cell_index(cs_fit_cell *cell);
/** Frees the index. */
void cs_fit_cell_unindex(cs_fit_cell *cell);

/** Tasks to place that are alike. */
typedef struct {
    cs_demand demand;
    uint32_t count;
    bool whole;              /**< all of them or none */
    bool same_rack;          /**< on one rack */
    uint32_t data_rack;      /**< only on this rack; CS_FIT_ANY for none */
    uint64_t labels;         /**< bits that a worker must have */
    uint32_t max_per_worker; /**< 0 no limit */
    const uint32_t *present; /**< tasks of the step by worker; NULL for none */
    uint32_t kept_racks;     /**< racks from this number on stay free; the
                                  number of racks for none */
    const bool *allowed;     /**< by worker; NULL for all */
    uint32_t avoid;          /**< a worker to keep away from; CS_FIT_ANY */
    double speed_weight;     /**< parts that speed has in the choice, 0.. */
} cs_fit_request;

/** @return whether a demand fits in what is free */
bool cs_demand_fits(const cs_demand *demand, const cs_demand *room);
void cs_demand_add(cs_demand *sum, const cs_demand *part);
void cs_demand_subtract(cs_demand *sum, const cs_demand *part);

/**
 * Places tasks and takes their room from the workers.
 * @param out room for request->count worker indexes
 * @return the number placed, from the front of out; 0 or all for a whole
 *         request
 */
uint32_t cs_fit_place(uint32_t *out, cs_fit_cell *cell,
                      const cs_fit_request *request);

/**
 * Ranks the workers that could take a task of the request if they were
 * empty, whether they are allowed or not: those with room first, rack by rack
 * where it wants one rack.
 * @param out room for as many worker indexes as there are workers
 * @return their number
 */
uint32_t cs_fit_rank(uint32_t *out, const cs_fit_cell *cell,
                     const cs_fit_request *request);

/** @return whether an empty cell of usable workers could hold the request */
bool cs_fit_is_possible(const cs_fit_cell *cell,
                        const cs_fit_request *request);

/** Running work that may be stopped; one entry for each of its tasks. */
typedef struct {
    uint32_t worker;
    uint32_t group; /**< tasks of a group stop together */
    cs_demand demand;
    double loss; /**< of the whole group; the same in each of its entries */
} cs_fit_victim;

/**
 * Finds the groups whose stop makes room for a request at the least loss.
 * @param groups room for victim_count group numbers
 * @param out the workers that the request will then take
 * @return the number of groups, or -1 where no stop makes room
 */
int32_t cs_fit_preempt(uint32_t *groups, uint32_t *out,
                       const cs_fit_cell *cell, const cs_fit_request *request,
                       const cs_fit_victim *victims, uint32_t victim_count);

#endif
