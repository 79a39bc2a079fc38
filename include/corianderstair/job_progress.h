/**
 * @file job_progress.h
 * What the holder of a cell records of a job: its state, and the runs of its
 * tasks. A row is written before the runs that it names are started.
 */
#ifndef CS_JOB_PROGRESS_H
#define CS_JOB_PROGRESS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Tables of our own rows, all in one part for each cell. */
#define CS_TABLE_CELL "cell"
#define CS_TABLE_JOBS "job"
#define CS_TABLE_PROGRESS "progress"
#define CS_TABLE_SPEEDS "speed"

/** Part of the rows of the fleet's cell. */
#define CS_CELL_PART "0"

/**
 * Rows of jobs are spread over parts by their id: a part takes one change
 * after another, and callers' inserts need no common one.
 */
#define CS_JOB_PARTS 8
#define CS_JOB_PART_BYTES 4

/** Names the part of a job's row. */
void cs_job_part(char out[CS_JOB_PART_BYTES], const char *id);

/** Names a part by its number, below CS_JOB_PARTS. */
void cs_job_part_name(char out[CS_JOB_PART_BYTES], uint32_t number);

typedef enum {
    CS_PROGRESS_QUEUED,
    CS_PROGRESS_RUNNING,
    CS_PROGRESS_COMPLETED,
    CS_PROGRESS_FAILED,
    CS_PROGRESS_CANCELLED
} cs_progress_state;

/** A task that has been started at least once. */
typedef struct {
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
    uint32_t run;      /**< number of its newest run */
    uint32_t failures; /**< runs that ended as failed */
    bool done;
    char *worker; /**< that may have the run; empty once it has ended; owned */
    char *saved;  /**< newest checkpoint; empty for none; owned */
} cs_task_progress;

typedef struct {
    cs_progress_state state;
    int64_t ended_ms; /**< wall clock; 0 not ended */
    GArray *tasks;    /**< of cs_task_progress; NULL where only the state
                           was read */
} cs_job_progress;

void cs_job_progress_init(cs_job_progress *progress);
void cs_job_progress_dispose(cs_job_progress *progress);

/** Appends a task; texts are copied. */
void cs_job_progress_add(cs_job_progress *progress,
                         const cs_task_progress *task);

/** @return whether a state is final */
bool cs_progress_is_final(cs_progress_state state);

/** Appends the record that the store keeps. */
void cs_job_progress_encode(GByteArray *out, const cs_job_progress *progress);

/** Reads a record. @return 0 or CS_E_INVALID; out is disposed on failure */
int cs_job_progress_decode(cs_job_progress *out, const void *bytes,
                           size_t size_bytes);

#endif
