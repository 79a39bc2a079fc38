/**
 * @file sched.h
 * The scheduling policy of one cell: pure decisions without I/O or clock.
 *
 * The owner tells the policy of workers, organisations and jobs, and asks for
 * decisions. A decision counts as carried out when it is returned; where it
 * fails the owner says so by cs_sched_release or cs_sched_requeue. The same
 * calls with the same instants give the same decisions.
 */
#ifndef CS_SCHED_H
#define CS_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "corianderstair/resource.h"

typedef struct cs_sched cs_sched;
typedef struct cs_sched_job cs_sched_job;

typedef enum {
    CS_POLICY_BASELINE, /**< first come first served, first fit */
    CS_POLICY_CURRENT
} cs_policy;

/** Settings of the policy. */
typedef struct {
    cs_policy policy;
    int64_t grace_us;             /**< time to checkpoint before a stop */
    int64_t wait_bound_us;        /**< a wait that earns a reservation */
    int64_t completion_weight;    /**< parts in 100 */
    int64_t fragmentation_weight; /**< parts in 100 */
} cs_sched_settings;

/** What the policy needs to know of a job. */
typedef struct {
    uint32_t organisation;
    uint32_t class_id; /**< for learned run times */
    cs_tier tier;
    uint32_t accelerators;
    int64_t declared_us;
    int64_t progress_us; /**< run time kept by checkpoints */
    int64_t submitted_us;
    bool checkpoint;
    bool pinned; /**< a stop ends it for good; only guarantees may do that */
    void *data;  /**< the owner's */
} cs_sched_request;

/** A worker's part of a placement. */
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
    cs_sched_job *beneficiary; /**< of a preemption; NULL for a move */
    int64_t deadline_us;       /**< of a preemption */
} cs_decision;

/** Creates an empty cell. */
cs_sched *cs_sched_create(const cs_sched_settings *settings);
void cs_sched_destroy(cs_sched *sched);

/** Changes settings; the policy kind stays. */
void cs_sched_configure(cs_sched *sched, const cs_sched_settings *settings);

/** Adds a worker; racks are numbered by their order on the floor. */
uint32_t cs_sched_add_worker(cs_sched *sched, uint32_t rack,
                             uint32_t accelerators);

/** Says whether new tasks may go to a worker; all start unusable. */
void cs_sched_set_usable(cs_sched *sched, uint32_t worker, bool usable);

/** What failures have shown of a worker. */
typedef enum {
    CS_HEALTH_SOUND,
    CS_HEALTH_ASIDE,  /**< different jobs failed there in a row */
    CS_HEALTH_PROBING /**< it is tried again */
} cs_health;

/** Says that a job's task failed on a worker. */
void cs_sched_task_failed(cs_sched *sched, cs_sched_job *job, uint32_t worker,
                          int64_t now_us);

/** Says that a job's task was done on a worker. */
void cs_sched_task_done(cs_sched *sched, uint32_t worker);

/** @return whether the job has failed on several sound workers */
bool cs_sched_is_at_fault(const cs_sched_job *job);

/** @return the health of a worker */
cs_health cs_sched_health(const cs_sched *sched, uint32_t worker);

/** Adds an organisation. @return its number */
uint32_t cs_sched_add_organisation(cs_sched *sched, int64_t weight);
void cs_sched_set_weight(cs_sched *sched, uint32_t organisation,
                         int64_t weight);

/** Replaces the guaranteed shapes of an organisation in this cell. */
void cs_sched_set_guarantees(cs_sched *sched, uint32_t organisation,
                             const cs_guarantee *guarantees, uint32_t count);

/**
 * Queues a job.
 * @return 0, or CS_E_NEVER with the reason where no state of this cell could
 *         ever run it
 */
int cs_sched_submit(cs_sched_job **out, cs_sched *sched,
                    const cs_sched_request *request);

/** Tells of a job that is running already, found after a takeover. */
int cs_sched_adopt(cs_sched_job **out, cs_sched *sched,
                   const cs_sched_request *request,
                   const cs_sched_member *members, uint32_t count,
                   int64_t started_us);

/**
 * Forgets a job: one that waits, or a started one all of whose tasks have
 * ended.
 */
void cs_sched_release(cs_sched *sched, cs_sched_job *job);

/** As release, and queues the job again with its kept progress. */
void cs_sched_requeue(cs_sched *sched, cs_sched_job *job, int64_t progress_us);

/** Teaches the run time of a job that was done. */
void cs_sched_learn(cs_sched *sched, const cs_sched_job *job, int64_t run_us);

/** Says that a running job is being stopped for the owner's reasons. */
void cs_sched_stopping(cs_sched *sched, cs_sched_job *job);

/**
 * Decides.
 * @param out room for max decisions
 * @return the number of decisions; max means that there may be more
 */
uint32_t cs_sched_turn(cs_sched *sched, cs_decision *out, uint32_t max,
                       int64_t now_us);

/** @return the placement of a started job, owned by it */
const cs_sched_member *cs_sched_members(const cs_sched_job *job,
                                        uint32_t *count);

/** @return the owner's pointer */
void *cs_sched_job_data(const cs_sched_job *job);

/** @return whether the job waits */
bool cs_sched_is_queued(const cs_sched_job *job);

/** @return the run time that the policy expects, less kept progress */
int64_t cs_sched_estimate_us(const cs_sched *sched, const cs_sched_job *job);

/** Writes why the job waits or where it runs. reason: a stable short name. */
void cs_sched_explain(const cs_sched *sched, const cs_sched_job *job,
                      int64_t now_us, char *reason, size_t reason_size,
                      char *message, size_t message_size,
                      int64_t *expected_us);

/** State of the cell for measures. */
typedef struct {
    uint32_t accelerators; /**< on usable workers */
    uint32_t free;
    uint32_t queued;
    uint32_t started;
    uint32_t guarantees_short; /**< shapes that do not fit now */
} cs_sched_stats;

cs_sched_stats cs_sched_get_stats(const cs_sched *sched);

/**
 * Share of free accelerators that a demand mix cannot use (the FGD measure).
 * @param sizes accelerators of each shape; weights its part of the demand
 * @return 0..1
 */
double cs_sched_fragmentation(const cs_sched *sched, const uint32_t *sizes,
                              const double *weights, uint32_t count);

/**
 * Checks that shapes can all be honoured at once.
 * @param spare workers that may fail
 * @param largest set, on CS_E_GUARANTEE, to the largest shape that would
 *        still fit in place of the last one
 * @return 0 or CS_E_GUARANTEE
 */
int cs_sched_admit(uint32_t *largest, const cs_sched *sched,
                   const uint32_t *sizes, uint32_t count, uint32_t spare);

/** Checks every internal rule. @return 0 or CS_E_INVALID with the rule */
int cs_sched_verify(const cs_sched *sched);

#endif
