/**
 * @file job_spec.h
 * A job as its caller submitted it: steps, each with a number of equal tasks.
 * A stored job is immutable, except that it can be marked as cancelled.
 */
#ifndef CS_JOB_SPEC_H
#define CS_JOB_SPEC_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Sizes of strings, with the terminating zero byte. */
#define CS_JOB_ID_BYTES 17
#define CS_JOB_NAME_BYTES 201 /* a key of the store has up to 200 */
/** Maximum length of a job's payload. */
#define CS_JOB_PAYLOAD_MAX_BYTES 4000
#define CS_JOB_STEPS_MAX 64
#define CS_JOB_TASKS_MAX 4096
#define CS_JOB_REPEATS_MAX 4096
/** Tasks of all steps in all occurrences. A holder keeps 112 bytes and the
    checkpoint of each task that is due: 7 MB for the largest job. */
#define CS_JOB_TOTAL_TASKS_MAX 65536

/** Resources of a worker that one task takes, or that a worker has. */
typedef struct {
    int64_t cpu_milli; /**< thousandths of a core */
    int64_t memory_mb;
    int64_t accelerators;
} cs_demand;

/** A step: a number of tasks with the same demand. */
typedef struct {
    uint32_t task_count;
    cs_demand demand;
    int64_t estimate_ms;   /**< declared run time of a task; 0 if unknown */
    uint64_t predecessors; /**< bit mask of the earlier steps to wait for */
    bool checkpoint;       /**< the tasks save checkpoints */
    bool gang;             /**< all tasks have to run at the same time */
    bool same_rack;        /**< the tasks are much slower on several racks */
    bool speculative;      /**< several copies of a task may run at once */
    bool perpetual;        /**< runs until the job is cancelled */
    bool best_effort;      /**< the CPU demand is not reserved on the worker */
    uint32_t max_per_worker;  /**< tasks on one worker; 0: no limit */
    uint32_t max_unavailable; /**< tasks of a perpetual step that may be
                                   unavailable at once; 0 if not given */
    int64_t target_ms;        /**< latency objective of a serving task */
    char required_label[CS_JOB_NAME_BYTES]; /**< required of the worker; or
                                               empty */
    char data_rack[CS_JOB_NAME_BYTES]; /**< rack with the data; or empty */
    char image[CS_JOB_NAME_BYTES];
} cs_job_step;

/** A job. */
typedef struct {
    char id[CS_JOB_ID_BYTES];
    char queue[CS_JOB_NAME_BYTES];        /**< name of the queue */
    char organisation[CS_JOB_NAME_BYTES]; /**< empty for anonymous callers */
    char *payload;      /**< payload, passed to each task as it is; owned */
    cs_job_step *steps; /**< owned */
    uint32_t step_count;
    uint32_t repeats;    /**< number of occurrences; 0: the job runs once */
    int64_t start_ms;    /**< due time of occurrence 0, since 1970 */
    int64_t interval_ms; /**< between the due times of two occurrences */
    int64_t accepted_ms; /**< wall clock of the process that accepted it */
    bool cancelled;
    char entry_zone[CS_JOB_NAME_BYTES]; /**< zone of the VM that accepted it;
                                           empty if unknown */
    uint32_t max_attempts; /**< of its queue when it was accepted; 0 if not
                                known, as priority then */
    uint32_t priority;     /**< of its queue when it was accepted */
    /**
     * No job: the id was cancelled before a job of it was stored, and is taken
     * so that an insert that arrives later fails.
     */
    bool tombstone;
    int64_t tombstone_ms; /**< the store's clock when the tombstone was last
                               written; 0 if unknown */
} cs_job_spec;

/** Initializes an empty job. */
void cs_job_spec_init(cs_job_spec *spec);
/**
 * Initializes a tombstone. Builds that do not know tombstones read it as a
 * cancelled job.
 * @param organisation that cancels the id; empty for anonymous callers
 * @param store_ms the store's clock; 0 if unknown
 */
void cs_job_spec_init_tombstone(cs_job_spec *spec, const char *id,
                                const char *organisation, int64_t store_ms);
/** Frees what a job owns, not the struct itself. */
void cs_job_spec_dispose(cs_job_spec *spec);

/** @return whether a string is a job id: 16 hexadecimal digits */
bool cs_job_id_is_valid(const char *id);

/**
 * Checks that all values are within their limits and that steps depend only on
 * earlier ones.
 * @return 0, or CS_E_INVALID with a message that says what is wrong
 */
int cs_job_spec_check(const cs_job_spec *spec);

/** Appends the stored record to out. */
void cs_job_spec_encode(GByteArray *out, const cs_job_spec *spec);

/** Decodes a stored record. @return 0, or CS_E_INVALID with out disposed */
int cs_job_spec_decode(cs_job_spec *out, const void *bytes, size_t size_bytes);

#endif
