/**
 * @file fleet.h
 * The scheduler of a deployment. Each process has one; at most one of them
 * holds the cell at a time and the others stand by. The holder places the
 * tasks of accepted jobs on workers, records each run in the store before it
 * starts, and processes the ends of runs.
 */
#ifndef CS_FLEET_H
#define CS_FLEET_H

#include <jansson.h>
#include <stdbool.h>
#include "corianderstair/fleet_state.h"

typedef struct cs_fleet cs_fleet;

/**
 * Creates a fleet as a stand-by.
 * @param state shared state of the process; borrowed, must outlive the fleet
 * @return the fleet, to be freed with cs_fleet_destroy()
 */
cs_fleet *cs_fleet_create(cs_fleet_state *state);

/**
 * Frees a fleet. None of its calls to the store, to workers or to the adviser
 * may be in flight.
 * @param fleet may be NULL
 */
void cs_fleet_destroy(cs_fleet *fleet);

/** Does all work that is due; to be called periodically. */
void cs_fleet_tick(cs_fleet *fleet);

/**
 * Requests that the cell be released, for a planned stop. It is done once
 * cs_fleet_is_released() returns true.
 */
void cs_fleet_release(cs_fleet *fleet);

/** @return whether this process holds the cell and has read its rows */
bool cs_fleet_is_holder(const cs_fleet *fleet);

/** @return the number of workers known; 0 unless this process holds the cell
 */
uint32_t cs_fleet_worker_count(const cs_fleet *fleet);

/**
 * Describes the process for operators: its tenure, jobs and workers.
 * @return a new JSON object, owned by the caller
 */
json_t *cs_fleet_status(const cs_fleet *fleet);

/**
 * Describes a job for operators: what each task waits for or where it runs.
 * @param id ID of the job
 * @return a new JSON object, owned by the caller; NULL if the job is not known
 *         to this process
 */
json_t *cs_fleet_explain(const cs_fleet *fleet, const char *id);

/** @return whether this process neither holds the cell nor is acquiring it */
bool cs_fleet_is_released(const cs_fleet *fleet);

#endif
