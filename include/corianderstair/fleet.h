/**
 * @file fleet.h
 * The part of a process that may hold the cell: it places the tasks of stored
 * jobs on workers, records each run before it starts, and takes note of ends.
 */
#ifndef CS_FLEET_H
#define CS_FLEET_H

#include <jansson.h>
#include <stdbool.h>
#include "corianderstair/fleet_board.h"

typedef struct cs_fleet cs_fleet;

/** Creates a stand-by; the board is borrowed. */
cs_fleet *cs_fleet_create(cs_fleet_board *board);

/** Frees it; its calls must have ended. NULL is allowed. */
void cs_fleet_destroy(cs_fleet *fleet);

/** Does what is due. */
void cs_fleet_tick(cs_fleet *fleet);

/** Gives the cell up, for a planned stop. */
void cs_fleet_release(cs_fleet *fleet);

/** @return whether this process holds the cell */
bool cs_fleet_is_holder(const cs_fleet *fleet);

/** @return workers that the holder knows, 0 where the cell is not held */
uint32_t cs_fleet_worker_count(const cs_fleet *fleet);

/**
 * Describes the process for operators: whether it holds the cell, its jobs
 * and workers.
 * @return a new object
 */
json_t *cs_fleet_status(const cs_fleet *fleet);

/**
 * Explains a job to operators: what each task waits for or where it runs.
 * @return a new object; NULL where the job is not known here
 */
json_t *cs_fleet_explain(const cs_fleet *fleet, const char *id);

/** @return whether nothing of the cell is held or being written */
bool cs_fleet_is_released(const cs_fleet *fleet);

#endif
