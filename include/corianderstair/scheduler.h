/**
 * @file scheduler.h
 * The controller that schedules the jobs of a zone.
 *
 * A scheduler tries to hold the zone's cell. While it holds it, it follows the
 * jobs in the store view, executes the policy's decisions on the workers, one
 * gang per job, and writes the status of each job to the store.
 */
#ifndef CS_SCHEDULER_H
#define CS_SCHEDULER_H

#include <stdbool.h>
#include "corianderstair/cell.h"
#include "corianderstair/journal.h"
#include "corianderstair/sched.h"

typedef struct cs_scheduler cs_scheduler;

/** Settings of a scheduler; the strings are copied. */
typedef struct {
    const char *zone;
    const char *name;        /**< of this process, as holder of the cell */
    const char *incarnation; /**< distinguishes this run of the process */
    int64_t cell_lease_us;
    bool unsafe_no_fence; /**< disables fencing, to test that the simulation
                               detects a scheduler without it */
} cs_scheduler_settings;

/**
 * Creates a scheduler and makes the journal follow its zone.
 * @param store_view updated by the journal; borrowed, as are
 *        outbox, journal and counters
 * @return the scheduler; free it with cs_scheduler_destroy before them
 */
cs_scheduler *cs_scheduler_create(cs_store_view *store_view, cs_outbox *outbox,
                                  cs_journal *journal, cs_counters *counters,
                                  const cs_scheduler_settings *settings);
void cs_scheduler_destroy(cs_scheduler *scheduler);

/** Performs everything that is due at the outbox's current time. */
void cs_scheduler_tick(cs_scheduler *scheduler);

/** Releases the cell and makes no further scheduling decision. */
void cs_scheduler_drain(cs_scheduler *scheduler);

/** @return whether the scheduler was drained and no longer holds the cell */
bool cs_scheduler_is_drained(const cs_scheduler *scheduler);

/** @return the cell, owned by the scheduler */
const cs_cell *cs_scheduler_cell(const cs_scheduler *scheduler);

/**
 * Explains why a job waits, runs or ended.
 * @return a new reference, or NULL where the job does not exist
 */
json_t *cs_scheduler_explain(const cs_scheduler *scheduler, const char *job);

/** @return counts of the cell for metrics and csctl top; a new reference */
json_t *cs_scheduler_summary(const cs_scheduler *scheduler);

#endif
