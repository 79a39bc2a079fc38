/**
 * @file admit.h
 * Admission of jobs under overload. Load that it addresses: demand beyond the
 * fleet's capacity, jobs that no worker could ever hold, and callers that
 * return after a rejection. Pure decisions without I/O or a clock.
 */
#ifndef CS_ADMIT_H
#define CS_ADMIT_H

#include "corianderstair/fleet_config.h"
#include "corianderstair/forecast.h"

/** A forecast older than this is not used, in ms. */
#define CS_ADMIT_FORECAST_AGE_MAX_MS 3000
/** Maximum number of rejected ids that a table remembers. */
#define CS_ADMIT_RETURNING_MAX 1024

typedef enum {
    CS_ADMIT_ACCEPT,
    CS_ADMIT_UNSERVABLE, /**< no worker that the fleet has had could hold a
                              task, or all of them together a gang */
    CS_ADMIT_TOO_LATE    /**< would end too late to count */
} cs_admit_verdict;

/** Rejected ids and when each was first rejected; bounded. */
typedef struct cs_admit_returning cs_admit_returning;

/** What a decision depends on; all of it is borrowed. */
typedef struct {
    const cs_forecast *forecast; /**< NULL: there is none */
    int64_t age_ms;              /**< of the forecast */
    uint64_t epoch;              /**< current one, as far as is known */
    const cs_queue_config *queue;
    const cs_organisation_config *organisation; /**< NULL: anonymous */
    const cs_job_spec *job;
    int64_t timeout_ms; /**< how long the caller waits for its answer */
    const cs_admit_returning *returning; /**< NULL: none is known */
    int64_t now_us;                      /**< any clock of the table */
} cs_admit_input;

typedef struct {
    cs_admit_verdict verdict;
    uint32_t retry_after_s; /**< unless accepted */
    int64_t wait_ms;        /**< the least wait that the forecast tells */
    int64_t end_ms;     /**< half of the least time to its end; 0 if unused */
    int64_t limit_ms;   /**< latest end that counts; 0 if unused */
    const char *reason; /**< for the caller; static */
} cs_admit_decision;

/**
 * Decides whether a job is stored. Accepts it whenever the forecast does not
 * show with certainty that it could not run, or not in time.
 */
cs_admit_decision cs_admit_decide(const cs_admit_input *input);

/** @return the short name of a verdict, static */
const char *cs_admit_verdict_name(cs_admit_verdict verdict);

/**
 * Spreads the callers that are to return after a delay. None returns before
 * it, as a caller retries only a few times.
 * @param delay_ms until the reason of the rejection may have passed
 * @param id of the job; its hash selects the time
 * @param timeout_ms of the caller
 * @return seconds, from 1 to a second after the timeout
 */
uint32_t cs_admit_retry_after_s(int64_t delay_ms, const char *id,
                                int64_t timeout_ms);

/** Creates an empty table; free it with cs_admit_returning_destroy. */
cs_admit_returning *cs_admit_returning_create(void);
/** Frees a table; NULL is allowed. */
void cs_admit_returning_destroy(cs_admit_returning *returning);
/**
 * Records a rejection. Only the first one of an id has an effect. The oldest
 * id is dropped when the table is full.
 * @param wait_ms the least wait that the forecast told then
 */
void cs_admit_returning_add(cs_admit_returning *returning, const char *id,
                            int64_t now_us, int64_t wait_ms);
/** Forgets an id, for example when its job was stored. */
void cs_admit_returning_remove(cs_admit_returning *returning, const char *id);
/** @return the number of ids in the table */
uint32_t cs_admit_returning_count(const cs_admit_returning *returning);

#endif
