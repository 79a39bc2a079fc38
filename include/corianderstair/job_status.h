/**
 * @file job_status.h
 * Status of a job, written by the holder of its cell: state, attempt, the
 * workers its members run on and the conditions that explain the state.
 */
#ifndef CS_JOB_STATUS_H
#define CS_JOB_STATUS_H

#include "corianderstair/resource.h"

/** Maximum number of conditions of a job. */
#define CS_CONDITION_MAX 8

typedef enum {
    CS_JOB_QUEUED,
    CS_JOB_STARTING,
    CS_JOB_RUNNING,
    CS_JOB_STOPPING,
    CS_JOB_SUCCEEDED,
    CS_JOB_FAILED,
    CS_JOB_CANCELLED,
    CS_JOB_NEVER,  /**< it can never run; a condition gives the reason */
    CS_JOB_UNKNOWN /**< it may have run, but its result is lost */
} cs_job_state;

/** A member of a gang: accelerators of one worker. */
typedef struct {
    char worker[CS_NAME_BYTES];
    int64_t mask; /**< bit i is set if accelerator i is used */
} cs_gang_member;

/** A reason for the state of a job. */
typedef struct {
    char type[24];
    char reason[40];
    char message[200];
    int64_t at_us; /**< wall clock; since when the reason holds */
} cs_condition;

typedef struct {
    int32_t state; /**< cs_job_state */
    int64_t attempt;
    int64_t epoch;        /**< of the holder that wrote this status */
    int64_t progress_ms;  /**< run time saved in checkpoints */
    int64_t submitted_us; /**< wall clock, as the times below; 0: none */
    int64_t started_us;
    int64_t ended_us;
    int64_t expected_us; /**< expected start */
    cs_gang_member *members;
    uint32_t member_count;
    cs_condition *conditions;
    uint32_t condition_count;
} cs_job_status;

/** @return the name of a state, such as "running" */
const char *cs_job_state_name(int32_t state);

/** @return whether the state is final: the job will not leave it */
bool cs_job_state_is_final(int32_t state);

/**
 * Reads a status from JSON.
 * @return 0, then free it with cs_job_status_clear(); or an error
 */
int cs_job_status_read(cs_job_status *out, const json_t *object);

/** @return a new reference to the status as JSON */
json_t *cs_job_status_write(const cs_job_status *status);

/** Frees the arrays that the status owns. */
void cs_job_status_clear(cs_job_status *status);

/** Makes a deep copy of a status; out is overwritten, not freed. */
void cs_job_status_copy(cs_job_status *out, const cs_job_status *status);

/**
 * Sets the condition of a type. Its time changes only if the reason does. If
 * there are CS_CONDITION_MAX others, it replaces the first of them.
 */
void cs_job_status_set_condition(cs_job_status *status, const char *type,
                                 const char *reason, const char *message,
                                 int64_t at_us);

/** Replaces the members; the array is copied. */
void cs_job_status_set_members(cs_job_status *status,
                               const cs_gang_member *members, uint32_t count);

#endif
