/* State and measurements of a replay. */
#ifndef REPLAY_H
#define REPLAY_H

#include "workload.h"

/* State of one job of the workload. */
struct replay_job {
    struct replay *replay;
    const struct workload_job *spec;
    cs_sched_job *sched_job; /* NULL before submission and after the end */
    int64_t submitted_us;
    int64_t attempt_start_us;
    int64_t first_start_us; /* of the first attempt */
    int64_t attempt_end_us;
    int64_t progress_us;  /* run time saved by checkpoints */
    int64_t completed_us; /* 0 while the job has not succeeded */
    uint32_t attempts;
    uint64_t attempt_serial; /* an attempt_end with another serial is
                                stale */
    bool stopping;           /* the attempt is being preempted */
    bool attempt_fails;      /* the attempt uses a faulty worker */
    bool cancelled;
    bool cancel_planned; /* the workload has a cancel event for it */
};

/* The planned end of an attempt. */
struct attempt_end {
    int64_t at_us;
    uint64_t attempt_serial;
    struct replay_job *job;
};

struct replay {
    struct workload *workload;
    cs_sched *sched;
    struct replay_job *jobs;
    bool *faulty_workers;
    GSequence *attempt_ends; /* of struct attempt_end, by time */
    int64_t now_us;
    uint64_t last_serial;
    /* Share of the accelerators that are free but that the demand sizes
       cannot use, times microseconds. */
    double fragmentation_area;
    /* Microseconds during which jobs waited while accelerators were free. */
    double fragmentation_time;
    int64_t sampled_until_us;
    uint32_t demand_sizes[16]; /* the first 16 distinct sizes of jobs, in
                                  accelerators */
    double demand_weights[16]; /* number of jobs of each size */
    uint32_t demand_count;
    /* By organisation, without guaranteed jobs. */
    uint32_t queued_jobs[64];
    double running_accelerators[64];
    /* Accelerators times microseconds while all organisations had jobs
       queued. */
    double contended_area[64];
};

/* Prints the measurements as one JSON object on one line. */
void replay_print(const struct replay *replay, const char *policy,
                  int64_t seed);

#endif
