/**
 * @file sched.h
 * The scheduling policy of one cell: pure decisions without I/O or a clock.
 *
 * The caller reports workers, organisations and jobs to the policy and runs
 * scheduling cycles, which return decisions. The policy assumes that each
 * decision is carried out as soon as it has been returned; the caller reports
 * failures with cs_sched_release or cs_sched_requeue. The same sequence of
 * calls with the same times gives the same decisions.
 *
 * All times are microseconds of one clock that the caller chooses. Workers,
 * racks and organisations are identified by indexes that count from 0.
 * Accelerators of a worker are the bits of a mask. A cs_sched is not thread
 * safe.
 */
#ifndef CS_SCHED_H
#define CS_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "corianderstair/resource.h"

typedef struct cs_sched cs_sched;

/** A job that the policy knows; owned by its cs_sched until it is released. */
typedef struct cs_sched_job cs_sched_job;

typedef enum {
    CS_POLICY_BASELINE, /**< first come first served, first fit */
    CS_POLICY_CURRENT   /**< tiers, fair share, preemption and backfilling */
} cs_policy;

/** Settings of the policy. */
typedef struct {
    cs_policy policy;
    int64_t grace_us;      /**< time to checkpoint before a stop */
    int64_t wait_bound_us; /**< wait after which a normal job goes first and
                                a gang may hold the reservation */
    int64_t completion_weight;    /**< 0..100; the higher, the sooner a long
                                       job is suspended for a short one */
    int64_t fragmentation_weight; /**< 0..100; the higher, the sooner small
                                       jobs are migrated for a large one */
} cs_sched_settings;

/** What the policy needs to know about a job. */
typedef struct {
    uint32_t organisation;
    uint32_t class_id; /**< jobs of a class share an estimated run time */
    cs_tier tier;
    uint32_t accelerators;
    int64_t declared_us;  /**< run time as the owner of the job expects it */
    int64_t progress_us;  /**< part of the run time that checkpoints saved */
    int64_t submitted_us; /**< time of submission */
    bool checkpoint;      /**< a stop saves the progress */
    bool pinned;     /**< cannot be started again; only guaranteed jobs preempt
                          it */
    void *user_data; /**< of the caller; not used by the policy */
} cs_sched_request;

/** The accelerators of one worker in a placement. */
typedef struct {
    uint32_t worker;
    uint64_t mask;
} cs_sched_member;

typedef enum {
    CS_DECIDE_START,  /**< start the job on its members */
    CS_DECIDE_PREEMPT /**< checkpoint and stop the job by the deadline */
} cs_decision_type;

typedef struct {
    cs_decision_type type;
    cs_sched_job *job;
    cs_sched_job *beneficiary; /**< the job that a preemption is for; NULL for
                                    a start, or if that job has been released
                                    or queued again */
    int64_t deadline_us;       /**< of a preemption */
} cs_decision;

/** Creates a cell without workers. The caller frees it with
 * cs_sched_destroy. */
cs_sched *cs_sched_create(const cs_sched_settings *settings);

/** Frees the cell and all of its jobs. */
void cs_sched_destroy(cs_sched *sched);

/** Changes the settings except for the policy, which stays. */
void cs_sched_configure(cs_sched *sched, const cs_sched_settings *settings);

/**
 * Adds a worker, which is unusable at first.
 * @param rack number of its rack; racks with consecutive numbers are
 *        neighbours
 * @param accelerators at most 64
 * @return the index of the worker
 */
uint32_t cs_sched_add_worker(cs_sched *sched, uint32_t rack,
                             uint32_t accelerators);

/** Sets whether new tasks may be placed on a worker. */
void cs_sched_set_usable(cs_sched *sched, uint32_t worker_index, bool usable);

/** The health of a worker, as far as failures of tasks show it. */
typedef enum {
    CS_HEALTH_HEALTHY,     /**< healthy */
    CS_HEALTH_QUARANTINED, /**< in quarantine: different jobs failed in
                          succession and nothing is placed there */
    CS_HEALTH_PROBATION    /**< on probation after a quarantine */
} cs_health;

/** Reports that a task of the job failed on a worker. */
void cs_sched_task_failed(cs_sched *sched, cs_sched_job *job,
                          uint32_t worker_index, int64_t now_us);

/** Reports that a task succeeded on a worker. */
void cs_sched_task_succeeded(cs_sched *sched, uint32_t worker_index);

/** @return whether the job has failed on several healthy workers, so that the
 *          job itself is at fault */
bool cs_sched_is_at_fault(const cs_sched_job *job);

/** @return the health of a worker */
cs_health cs_sched_health(const cs_sched *sched, uint32_t worker_index);

/**
 * Adds an organisation.
 * @param weight its part of the fair share, relative to the others; at least 1
 * @return the index of the organisation
 */
uint32_t cs_sched_add_organisation(cs_sched *sched, int64_t weight);

/** Changes the weight of an organisation. */
void cs_sched_set_weight(cs_sched *sched, uint32_t organisation,
                         int64_t weight);

/**
 * Replaces the guarantees of an organisation in this cell. Each guarantee is a
 * number of shapes, which are groups of adjacent accelerators of one size. A
 * claim is retained if the organisation still has a shape of its size.
 */
void cs_sched_set_guarantees(cs_sched *sched, uint32_t organisation,
                             const cs_guarantee *guarantees, uint32_t count);

/**
 * Queues a job.
 * @param out set to the job on success
 * @return 0, or CS_E_NEVER_RUNNABLE with the reason if the job could not run
 * even in an empty cell
 */
int cs_sched_submit(cs_sched_job **out, cs_sched *sched,
                    const cs_sched_request *request);

/**
 * Adds a job that runs already, for example after a takeover of the cell.
 * @param out set to the job on success
 * @param members its placement; copied
 * @return 0, or CS_E_INVALID if another job uses one of its accelerators
 */
int cs_sched_adopt(cs_sched_job **out, cs_sched *sched,
                   const cs_sched_request *request,
                   const cs_sched_member *members, uint32_t count,
                   int64_t started_us);

/**
 * Removes and frees a job that waits, or a started one all of whose tasks have
 * ended.
 */
void cs_sched_release(cs_sched *sched, cs_sched_job *job);

/**
 * Queues a job again that could not be started or all of whose tasks have
 * ended.
 * @param progress_us part of the run time that checkpoints have saved
 */
void cs_sched_requeue(cs_sched *sched, cs_sched_job *job, int64_t progress_us);

/** Records the run time of a completed job, which improves the estimates of
 * its class. */
void cs_sched_record_run_time(cs_sched *sched, const cs_sched_job *job,
                              int64_t run_us);

/** Reports that the caller is stopping a started job without a decision. */
void cs_sched_mark_stopping(cs_sched *sched, cs_sched_job *job);

/**
 * Runs a scheduling cycle.
 * @param out buffer for max decisions
 * @return the number of decisions; if it is max, there may be more and the
 *         caller should run another cycle
 */
uint32_t cs_sched_run_cycle(cs_sched *sched, cs_decision *out, uint32_t max,
                            int64_t now_us);

/** @return the placement of a started job, owned by the job */
const cs_sched_member *cs_sched_members(const cs_sched_job *job,
                                        uint32_t *count);

/** @return the caller's pointer from the job's request */
void *cs_sched_job_user_data(const cs_sched_job *job);

/** @return whether the job has not been started */
bool cs_sched_is_queued(const cs_sched_job *job);

/** @return the estimated run time in us, less the saved progress */
int64_t cs_sched_estimate_us(const cs_sched *sched, const cs_sched_job *job);

/**
 * Explains why a job waits or how it was placed.
 * @param reason buffer for a short name, which is stable between versions
 * @param message buffer for an explanation in English
 * @param expected_us set to when the reservation of a waiting job is expected
 *        to start, 0 without a reservation
 */
void cs_sched_explain(const cs_sched *sched, const cs_sched_job *job,
                      int64_t now_us, char *reason, size_t reason_size,
                      char *message, size_t message_size,
                      int64_t *expected_us);

/** State of the cell for metrics. */
typedef struct {
    uint32_t accelerators;     /**< on usable workers */
    uint32_t free;             /**< accelerators neither used nor claimed */
    uint32_t queued;           /**< jobs */
    uint32_t started;          /**< jobs */
    uint32_t guarantees_short; /**< unclaimed shapes that would not fit now,
                                    even with preemption */
} cs_sched_stats;

/** @return the current state of the cell */
cs_sched_stats cs_sched_get_stats(const cs_sched *sched);

/**
 * Measures fragmentation: the fraction of the free accelerators that a mix of
 * job sizes cannot use (FGD, fragmentation gradient descent).
 * @param sizes accelerators of each job size
 * @param weights part of each size in the mix
 * @param count number of sizes
 * @return 0..1
 */
double cs_sched_fragmentation(const cs_sched *sched, const uint32_t *sizes,
                              const double *weights, uint32_t count);

/**
 * Checks that guaranteed shapes can all be honoured at the same time.
 * @param largest set, on CS_E_GUARANTEE, to the largest shape that fits in
 *        place of the last one; 0 if none does
 * @param sizes accelerators of each shape
 * @param spare number of workers that may fail
 * @return 0 or CS_E_GUARANTEE
 */
int cs_sched_check_guarantees(uint32_t *largest, const cs_sched *sched,
                              const uint32_t *sizes, uint32_t count,
                              uint32_t spare);

/** Checks the internal invariants. @return 0, or CS_E_INVALID with the one
 * that is violated */
int cs_sched_verify(const cs_sched *sched);

#endif
