/**
 * @file job_progress.h
 * Progress record of a job: its state and the runs of its tasks. The holder of
 * the cell stores the record before it starts the runs that the record names.
 */
#ifndef CS_JOB_PROGRESS_H
#define CS_JOB_PROGRESS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Tables of the scheduler. Their rows are in CS_CELL_PART, except jobs. */
#define CS_TABLE_CELL "cell"
#define CS_TABLE_JOBS "job"
#define CS_TABLE_PROGRESS "progress"
#define CS_TABLE_SPEEDS "speed"
#define CS_TABLE_TENURES "tenure"

/** Partition of the rows of the fleet's cell. */
#define CS_CELL_PART "0"

/**
 * Number of partitions of the job rows, which are spread by job id. A
 * partition applies its transactions one after another; inserts of different
 * jobs need not wait for each other.
 */
#define CS_JOB_PARTS 8
/** Size of a partition's name with its terminating zero byte. */
#define CS_JOB_PART_BYTES 4

/** Writes the name of the partition that holds the row of a job. */
void cs_job_part(char out[CS_JOB_PART_BYTES], const char *id);

/** Writes the name of a partition. @param number 0 to CS_JOB_PARTS - 1 */
void cs_job_part_name(char out[CS_JOB_PART_BYTES], uint32_t number);

/** State of a job. The numbers are stored. */
typedef enum {
    CS_PROGRESS_QUEUED,
    CS_PROGRESS_RUNNING,
    CS_PROGRESS_COMPLETED,
    CS_PROGRESS_FAILED,
    CS_PROGRESS_CANCELLED
} cs_progress_state;

/** A task that has been started at least once. Its record takes at most 256
    bytes, besides the checkpoint. */
typedef struct {
    uint32_t occurrence; /**< of a repeated job, from 0 */
    uint32_t step;       /**< index of the step in the job */
    uint32_t index;      /**< of the task in its step */
    uint32_t run;        /**< number of the latest run */
    uint32_t failures;   /**< runs that ended as failed */
    bool done;
    char
        *worker; /**< may be executing the run; empty if it has ended; owned */
    char *checkpoint_data; /**< latest checkpoint; empty if there is none;
                              owned */
} cs_task_progress;

/** Upper bound of the record of a cs_unsettled_start: an array of six integers
    and a worker's id. */
#define CS_UNSETTLED_START_BYTES_MAX 288

/** A start that got no answer and may yet be carried out, by an incarnation of
    its worker that does not refuse it. */
typedef struct {
    uint32_t occurrence; /**< of its task, as in cs_task_progress */
    uint32_t step;
    uint32_t index;
    uint32_t run;
    char *worker;            /**< that it was sent to; owned */
    uint64_t incarnation_ms; /**< of the worker, that refuses the start */
    int64_t expires_ms; /**< the store's clock; carried out by then if at all
                         */
} cs_unsettled_start;

/**
 * A row with the progress of a job. The first row of a job has its id as key;
 * further ones, with more tasks, are named ID.1, ID.2 and so on, and their
 * state and end do not count.
 */
typedef struct {
    cs_progress_state state;
    int64_t ended_ms;   /**< wall clock; 0 if not ended */
    uint32_t row_tasks; /**< tasks of the job in each of its rows; 0: all of
                             them are in the first one */
    GArray *tasks; /**< of cs_task_progress; NULL if only the state was read */
    bool has_begun;    /**< a run of one of the job's tasks is known to have
                            begun; it may have without */
    GArray *unsettled; /**< of cs_unsettled_start, of the row's tasks; NULL as
                            tasks */
} cs_job_progress;

/** Initializes the progress of a queued job without tasks. */
void cs_job_progress_init(cs_job_progress *progress);
/** Frees what a progress owns, not the struct itself. */
void cs_job_progress_dispose(cs_job_progress *progress);

/** Appends a task; its strings are copied. */
void cs_job_progress_add(cs_job_progress *progress,
                         const cs_task_progress *task);

/** Appends an unsettled start; its string is copied. */
void cs_job_progress_add_unsettled(cs_job_progress *progress,
                                   const cs_unsettled_start *start);

/** @return whether a state is final */
bool cs_progress_is_final(cs_progress_state state);

/** Appends the stored record to out. */
void cs_job_progress_encode(GByteArray *out, const cs_job_progress *progress);

/** Decodes a stored record. @return 0, or CS_E_INVALID with out disposed */
int cs_job_progress_decode(cs_job_progress *out, const void *bytes,
                           size_t size_bytes);

#endif
