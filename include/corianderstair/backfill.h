/**
 * @file backfill.h
 * Reservations of capacity for waiting gangs, and the backfill of reserved
 * capacity by work that ends before it is needed. Pure decisions without I/O
 * or a clock.
 *
 * Addresses wide gangs that need one rack beside a stream of small tasks: free
 * capacity is filled by the small tasks at once, so that a gang never finds a
 * rack with enough of it.
 *
 * Times are in seconds of the caller's clock unless they are durations.
 */
#ifndef CS_BACKFILL_H
#define CS_BACKFILL_H

#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/binpack.h"

/** Maximum number of reservations that stand at a time. */
#define CS_BACKFILL_RESERVATIONS_MAX 4

/** A run that holds capacity of a worker now. */
typedef struct {
    uint32_t worker;
    cs_demand demand;
    double end_s;    /**< expected */
    double spread_s; /**< by which it may end later */
} cs_backfill_run;

/** A waiting gang that could not be placed. */
typedef struct {
    const void *key; /**< identifies the step */
    uint32_t group;  /**< at most one step of a group gets a reservation */
    cs_binpack_request request; /**< all_or_nothing */
    double run_s;               /**< expected duration */
    double objective_s;  /**< latest start with which it meets its objective */
    double last_start_s; /**< latest start with which it still counts */
} cs_backfill_step;

/** A standing reservation. */
typedef struct {
    const void *key;
    uint32_t group;
    cs_demand demand; /**< of each task */
    uint32_t count;
    uint32_t *workers;   /**< one for each task, in ascending order; owned */
    double start_s;      /**< expected */
    double promised_s;   /**< start_s when the reservation was made */
    double idle_cores_s; /**< estimated core-seconds that idle up to the start
                            if nothing is backfilled */
} cs_backfill_reservation;

/** What an update has done to a reservation. */
typedef enum {
    CS_BACKFILL_MADE,
    CS_BACKFILL_MOVED,     /**< to other workers */
    CS_BACKFILL_SLIPPED,   /**< lost, as its start has slipped too far */
    CS_BACKFILL_TOO_LATE,  /**< lost, as the step would start too late */
    CS_BACKFILL_WITHDRAWN, /**< the step does not need it any longer */
} cs_backfill_change;

/** Is told of changes; the reservation is borrowed for the call. */
typedef void (*cs_backfill_observer)(
    void *user_data, cs_backfill_change change,
    const cs_backfill_reservation *reservation);

/** The reservations of a cell. */
typedef struct cs_backfill cs_backfill;

/** Creates an empty set. Free it with cs_backfill_destroy(). */
cs_backfill *cs_backfill_create(void);

/** Frees a set; NULL is allowed. */
void cs_backfill_destroy(cs_backfill *backfill);

/**
 * Recomputes the reservations. One is kept on its workers unless others would
 * let the step start notably earlier, and lost once its start has slipped by
 * too much or the step is not among steps any longer. Then reservations are
 * made for steps that would not meet their objective otherwise.
 * @param cell free is that without any reservations of this set
 * @param runs all runs that hold capacity and will end
 * @param steps in the order in which they get reservations
 * @param observer may be NULL
 */
void cs_backfill_update(cs_backfill *backfill, const cs_binpack_cell *cell,
                        const cs_backfill_run *runs, uint32_t run_count,
                        const cs_backfill_step *steps, uint32_t step_count,
                        double now_s, cs_backfill_observer observer,
                        void *user_data);

/**
 * @return for how long the next update is to wait after one of this number of
 *         runs, in seconds. It grows with the number, so that the updates of a
 *         large fleet take a bounded share of a processor.
 */
double cs_backfill_update_interval_s(uint32_t run_count);

/** Drops the reservation of a step, if any, as the step was placed. */
void cs_backfill_remove(cs_backfill *backfill, const void *key);

/** @return the number of standing reservations */
uint32_t cs_backfill_count(const cs_backfill *backfill);

/** @return a reservation by index, in the order in which they were made */
const cs_backfill_reservation *cs_backfill_get(const cs_backfill *backfill,
                                               uint32_t index);

/** @return the reservation of a step, or NULL */
const cs_backfill_reservation *cs_backfill_find(const cs_backfill *backfill,
                                                const void *key);

/**
 * Withholds from the free capacity of the cell what a request may not use: on
 * workers reserved for other steps it may use all of it if it ends before the
 * reserved step starts, and otherwise what remains beside that step.
 * @param key the step of the request
 * @param duration_s expected duration with its spread on a worker of speed 1
 * @return whether anything was withheld; cs_backfill_restore() gives it back
 */
bool cs_backfill_withhold(cs_backfill *backfill, cs_binpack_cell *cell,
                          const void *key, double now_s, double duration_s);

/** Gives back what the last cs_backfill_withhold() has withheld. */
void cs_backfill_restore(cs_backfill *backfill, cs_binpack_cell *cell);

/**
 * Accounts for a task that was placed on a worker.
 * @return whether the worker is reserved for another step
 */
bool cs_backfill_placed(cs_backfill *backfill, const cs_binpack_cell *cell,
                        const void *key, uint32_t worker,
                        const cs_demand *demand, double now_s,
                        double duration_s);

#endif
