/**
 * @file shares.h
 * Shares of the fleet that organisations use, for the order of waiting steps.
 * Load: a few organisations submit most of the jobs, so that an order by age
 * would give them most of the fleet. Dominant resource fairness: an
 * organisation's dominant share is the largest of its shares of processors,
 * memory and accelerators; it is averaged over time and divided by the
 * organisation's weight. Pure decisions without I/O or a clock.
 */
#ifndef CS_SHARES_H
#define CS_SHARES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/job_spec.h"

/** Time constant of the average, in seconds: a few run times of the longest
 * common jobs (11 s), so that a burst counts while its jobs can still count
 * and is forgotten within minutes. */
#define CS_SHARES_AVERAGING_S 30.0

/** Shares are compared in steps of this fraction of the fleet, as in the order
 * of cs-schedd (docs/design/decisions.md), so that small differences change
 * nothing. */
#define CS_SHARES_QUANTUM 0.04

/** The share of an organisation. */
typedef struct {
    char name[CS_JOB_NAME_BYTES]; /**< empty for anonymous callers */
    double weight;                /**< 1; the configuration has no field
                                     for another */
    bool configured; /**< named by the configuration, or anonymous */
    cs_demand used;  /**< by placed tasks; set by the caller */
    double mean;     /**< average dominant share, 0 to 1 */
    bool waiting;    /**< has steps that compete in this cycle; set by the
                        caller */
    uint32_t step;   /**< steps of CS_SHARES_QUANTUM ahead of the waiting
                        organisation with the lowest share; see
                        cs_shares_compute_steps() */
    bool over;       /**< above its share, see cs_shares_update_over() */
} cs_share;

/** The shares of all organisations. */
typedef struct cs_shares cs_shares;

/** Creates an empty set, to be freed with cs_shares_destroy(). */
cs_shares *cs_shares_create(void);
/** Frees a set; NULL is allowed. */
void cs_shares_destroy(cs_shares *shares);

/** @return the share of an organisation, created if need be. It is valid until
 * the next call of cs_shares_configure() or cs_shares_advance(). */
cs_share *cs_shares_get(cs_shares *shares, const char *name);
uint32_t cs_shares_count(const cs_shares *shares);
/** @return the share at an index below cs_shares_count(), as cs_shares_get()
 */
cs_share *cs_shares_at(const cs_shares *shares, uint32_t index);

/**
 * Applies the organisations of a configuration. The averages of those that it
 * does not name are dropped; their entries remain while they use capacity.
 * @param organisations of cs_organisation_config
 */
void cs_shares_configure(cs_shares *shares, const GArray *organisations);

/** @return the largest share that the use has of a resource of the capacity,
 *          0 to 1 */
double cs_shares_dominant(const cs_demand *used, const cs_demand *capacity);

/** Updates the averages after an interval in which the use did not change, and
 * drops the entries that are neither configured nor used. */
void cs_shares_advance(cs_shares *shares, const cs_demand *capacity,
                       double seconds);
/** Sets the averages to the present use, where no past is known. */
void cs_shares_start(cs_shares *shares, const cs_demand *capacity);

/** Computes the steps of the organisations that are marked as waiting. With a
 * single one its step is 0. */
void cs_shares_compute_steps(cs_shares *shares);

/**
 * Updates whether an organisation is above its share, that is the fleet
 * divided by weight among the organisations that use it: from a quantum above
 * on, until it is back at the share.
 * @param share_of_weight as cs_shares_fair() returns it
 * @return whether that has changed
 */
bool cs_shares_update_over(cs_share *share, double share_of_weight);
/** @return the share of the fleet for a weight of 1 */
double cs_shares_fair(const cs_shares *shares);

/** What decides between two steps of the same priority before their age. */
typedef struct {
    bool misses_objective;
    uint32_t share_step; /**< of the organisation */
    uint32_t zone_step;  /**< of the zone of entry, see zone_lag.h */
} cs_share_rank;

/** @return negative if the first goes first, positive if the second does, or 0
 */
int cs_share_rank_compare(const cs_share_rank *first,
                          const cs_share_rank *second);

#endif
