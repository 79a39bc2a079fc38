/* A workload: the cell, its organisations, and events in order of time. */
#ifndef WORKLOAD_H
#define WORKLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/sched.h"

enum workload_event_type {
    EVENT_SUBMIT,
    EVENT_CANCEL,
    EVENT_WORKER_UP,     /* a worker goes down or comes up */
    EVENT_WORKER_FAULTY, /* every task on a worker fails from now on, or no
                            longer does */
    EVENT_COUNT
};

struct workload_event {
    int64_t at_us;
    enum workload_event_type type;
    uint32_t job; /* of a submit or cancel: index in workload.jobs */
    uint32_t worker;
    bool value; /* of a worker event: whether it is up, or is faulty */
};

struct workload_job {
    uint32_t organisation;
    uint32_t class_id;
    cs_tier tier;
    uint32_t accelerators;
    int64_t declared_us; /* the run time that the job declares */
    int64_t run_us;      /* its real run time */
    bool checkpoint;     /* it can be preempted without loss of progress */
};

struct workload {
    char deployment[64];
    char scenario[64];
    cs_sched_settings settings;
    GArray *worker_racks;         /* of uint32_t, by worker */
    GArray *worker_accelerators;  /* of uint32_t, by worker */
    GArray *organisation_weights; /* of int64_t, by organisation */
    GPtrArray *guarantees;        /* of GArray of cs_guarantee, likewise */
    GArray *jobs;                 /* of struct workload_job */
    GArray *events; /* of struct workload_event, in order of time */
};

struct workload *workload_create(void);

/* Frees a workload; NULL is allowed. */
void workload_destroy(struct workload *workload);

/*
 * Reads a file of the format in docs/WORKLOADS.md into a new workload, which
 * the caller destroys. Returns 0, CS_E_SYSTEM, CS_E_JSON, CS_E_FIELD or
 * CS_E_INVALID.
 */
int workload_read(struct workload **out, const char *path);

/*
 * Generates a workload, which the caller destroys; the same arguments give the
 * same workload. Returns 0, or CS_E_NOT_FOUND where the deployment or the
 * scenario has no such name.
 */
int workload_generate(struct workload **out, const char *deployment,
                      const char *scenario, uint64_t seed);

/* Writes a workload to a file. Returns 0 or CS_E_SYSTEM. */
int workload_write(const struct workload *workload, const char *path);

#endif
