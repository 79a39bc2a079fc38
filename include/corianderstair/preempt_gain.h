/**
 * @file preempt_gain.h
 * Decides whether running work is stopped for a waiting step, by comparing
 * what the stop loses with what the step gains. Pure decisions without I/O or
 * a clock.
 *
 * Losses and gains are in core-seconds; an accelerator counts as 8 cores.
 * Times that end in _s are seconds from now unless a comment says otherwise.
 */
#ifndef CS_PREEMPT_GAIN_H
#define CS_PREEMPT_GAIN_H

#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/binpack.h"

/** How far a run has got. */
typedef struct {
    double expected_run_s; /**< duration of a whole run on its worker */
    double run_s;          /**< duration of the run so far */
    double sampled_run_s;  /**< duration of the run when percent was listed */
    int64_t percent;       /**< progress listed last; 0 if none was */
    bool resumed; /**< run_s is not that of the whole run: it was adopted or
                       resumes a checkpoint */
} cs_preempt_progress;

/**
 * @return the expected time to the end of a run; a run past its expected end
 *         is assumed to take another tenth of its duration so far
 */
double cs_preempt_remaining_s(const cs_preempt_progress *progress);

/** What the last search for victims for a step has decided. */
typedef enum {
    CS_PREEMPT_UNDECIDED,   /**< there was no search */
    CS_PREEMPT_STOP,        /**< work was stopped */
    CS_PREEMPT_FREE_SOONER, /**< capacity becomes free before a stop would take
                                 effect */
    CS_PREEMPT_TOO_LATE,    /**< the job no longer counts even with a stop */
    CS_PREEMPT_NO_VICTIMS,  /**< no allowed stop frees enough */
    CS_PREEMPT_LOSS         /**< the stop loses more than it gains */
} cs_preempt_verdict;

/** @return the name of a verdict for logs and operators */
const char *cs_preempt_verdict_name(cs_preempt_verdict verdict);

/** A step's part in preemptions. All zeros at first. */
typedef struct {
    uint32_t stops;      /**< decisions that have stopped tasks of the step */
    int64_t stopped_us;  /**< boot clock of the last one; 0 none */
    int64_t searched_us; /**< boot clock of the last search for victims for
                              the step; 0 none */
    cs_preempt_verdict verdict; /**< for the step */
    double loss;   /**< of the stop considered last for the step */
    double gain;   /**< of the step from that stop */
    double wait_s; /**< from the verdict on, until the step would have been
                        placed without a stop; INFINITY if not foreseen */
} cs_preempt_record;

/**
 * Whether a step may be stopped for a claim outside guarantees: not within its
 * expected run time after a former stop and the restart, nor more than 3
 * times.
 * @param started_us boot clock; start of the run that would be stopped
 */
bool cs_preempt_may_repeat(const cs_preempt_record *record,
                           double expected_run_s, int64_t started_us,
                           int64_t now_us);

/** Durations of a stop and of a restart, as the deployment bounds them. */
typedef struct {
    double stop_s;    /**< until a stop has freed the capacity */
    double restore_s; /**< work that a restarted run repeats */
} cs_preempt_costs;

/** Running work that would be stopped together: a task, or a whole gang. */
typedef struct {
    double cores; /**< of all its tasks */
    double run_s; /**< work done in this run */
    double expected_run_s;
    double remaining_s;
    double objective_s;     /**< until its job has to end to count in full */
    double counted_until_s; /**< until its job has to end to count at all */
    bool checkpoint;        /**< a stop saves its work */
    uint32_t restarts;      /**< runs that it has had before this one */
} cs_preempt_victim;

/** @return whether the work ends by itself before a stop would take effect */
bool cs_preempt_ends_first(const cs_preempt_victim *victim,
                           const cs_preempt_costs *costs);

/**
 * @param requeue_s how long the stopped work would wait for capacity
 * @return the core-seconds lost by a stop
 */
double cs_preempt_loss(const cs_preempt_victim *victim,
                       const cs_preempt_costs *costs, double requeue_s);

/** A waiting step. */
typedef struct {
    double cores; /**< of all its tasks */
    double run_s; /**< expected */
    double age_s; /**< since its job was accepted */
    double objective_s;
    double counted_until_s;
    bool guaranteed; /**< within its organisation's guarantee */
    double waited_s; /**< since it could have started */
} cs_preempt_claim;

/** @return whether the claim's bound requires a stop whatever the loss */
bool cs_preempt_is_forced(const cs_preempt_claim *claim);

/**
 * @param wait_s how long the step would wait without a stop; may be INFINITY
 * @return the core-seconds that the step gains by a stop now; 0 if none
 */
double cs_preempt_gain(const cs_preempt_claim *claim,
                       const cs_preempt_costs *costs, double wait_s);

/**
 * Decides before the victims are known.
 * @return CS_PREEMPT_FREE_SOONER, CS_PREEMPT_TOO_LATE, or CS_PREEMPT_UNDECIDED
 *         if victims have to be found
 */
cs_preempt_verdict cs_preempt_judge_wait(const cs_preempt_claim *claim,
                                         const cs_preempt_costs *costs,
                                         double wait_s);

/**
 * Decides on victims that were found.
 * @param loss sum of cs_preempt_loss() of the victims
 * @param work the core-seconds of unsaved work among it
 * @param gain of cs_preempt_gain()
 * @return CS_PREEMPT_STOP or CS_PREEMPT_LOSS
 */
cs_preempt_verdict cs_preempt_judge_loss(const cs_preempt_claim *claim,
                                         double loss, double work,
                                         double gain);

/** Capacity that becomes free. */
typedef struct {
    uint32_t worker;
    cs_demand demand;
    double end_s;
} cs_preempt_end;

/** Capacity that a step ahead in the order is going to take. */
typedef struct {
    uint32_t worker;
    cs_demand demand;
} cs_preempt_claimed;

/**
 * Estimates when a request fits as a whole if nothing is stopped.
 * @param workers set to where it fits, a buffer for request->count indexes;
 *                undefined if it never does
 * @param ends sorted by end_s
 * @return seconds; INFINITY if it does not fit when all of the ends have come
 */
double cs_preempt_wait_s(uint32_t *workers, const cs_binpack_cell *cell,
                         const cs_binpack_request *request,
                         const cs_preempt_end *ends, uint32_t end_count,
                         const cs_preempt_claimed *claimed,
                         uint32_t claimed_count);

#endif
