/**
 * @file zone_lag.h
 * Lateness of the jobs that entered through each availability zone, for the
 * order of waiting steps. Load: callers of one zone are held up (slow links, a
 * partition that ends), so that their jobs become known late and stay behind
 * the jobs of other zones. Pure decisions without I/O or a clock.
 */
#ifndef CS_ZONE_LAG_H
#define CS_ZONE_LAG_H

#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/job_spec.h"

/** Zones with figures of their own; further ones share the last entry. */
#define CS_ZONE_LAG_ZONES_MAX 16
/** Priorities that are kept apart: 0, 1, 2, and lower ones together. Zones may
 * differ in what their callers submit. */
#define CS_ZONE_LAG_CLASSES 4
/** Time constant of the means, in seconds. A zone is to catch up within
 * seconds, and an urgent job runs for 2.5 s. */
#define CS_ZONE_LAG_AVERAGING_S 5.0
/** Zones are compared in steps of this lateness: an eighth of the time over
 * which a late job's count falls to nothing. */
#define CS_ZONE_LAG_QUANTUM 0.25
/** A job that is this late does not count any more. */
#define CS_ZONE_LAG_MAX 2.0

/** Lateness of a zone's jobs of one class. */
typedef struct {
    double sum;   /**< of the lateness of placed jobs, decaying */
    double count; /**< of placed jobs, decaying */
    double waiting_sum;
    uint32_t waiting_count;
    double mean;   /**< see cs_zone_lag_compute_steps() */
    uint32_t step; /**< steps of CS_ZONE_LAG_QUANTUM that the zone is less late
                      than the latest waiting one */
} cs_zone_lag_class;

/** A zone. */
typedef struct {
    char name[CS_JOB_NAME_BYTES]; /**< empty for jobs without a zone */
    cs_zone_lag_class classes[CS_ZONE_LAG_CLASSES];
    bool late; /**< a quantum later than the least late zone, see
                  cs_zone_lag_update_late() */
} cs_zone;

/** All zones. Initialised with zeros. */
typedef struct {
    cs_zone zones[CS_ZONE_LAG_ZONES_MAX];
    uint32_t zone_count;
} cs_zone_lag;

/** @return the index of a zone, which is added if need be */
uint32_t cs_zone_lag_find(cs_zone_lag *lag, const char *name);

/**
 * @return how late a job is relative to its objective: 0 in time, 1 after
 *         twice the time that it had, at most CS_ZONE_LAG_MAX
 */
double cs_zone_lag_of_job(int64_t accepted_ms, int64_t objective_ms,
                          int64_t expected_end_ms);

/** Begins a cycle after an interval: lets the means decay and forgets the
 * waiting jobs. */
void cs_zone_lag_advance(cs_zone_lag *lag, double seconds);
/** Counts a waiting step of a zone, by the index that cs_zone_lag_find()
 * returned. */
void cs_zone_lag_add_waiting(cs_zone_lag *lag, uint32_t zone,
                             uint32_t priority, double lateness);
/** Counts a job that was placed. */
void cs_zone_lag_add_placed(cs_zone_lag *lag, uint32_t zone, uint32_t priority,
                            double lateness);
/** Computes the means and steps. With a single zone its step is 0. */
void cs_zone_lag_compute_steps(cs_zone_lag *lag);
/** @return the step of a zone for a priority; the lowest goes first */
uint32_t cs_zone_lag_step(const cs_zone_lag *lag, uint32_t zone,
                          uint32_t priority);

/** @return the mean lateness of a zone over all classes */
double cs_zone_lag_mean(const cs_zone *zone);
/** Updates whether the zone at an index is late: from a quantum above the
 * least late zone on, until it is within half of that.
 * @return whether that has changed */
bool cs_zone_lag_update_late(cs_zone_lag *lag, uint32_t zone);

#endif
