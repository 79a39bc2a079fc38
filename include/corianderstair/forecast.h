/**
 * @file forecast.h
 * The forecast that the holder of the cell publishes with its lease row: what
 * the fleet could hold, and the work that waits. Load that it addresses:
 * demand beyond the fleet's capacity, whose callers need to be told before
 * their jobs are stored. Pure data without I/O or a clock.
 */
#ifndef CS_FORECAST_H
#define CS_FORECAST_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "corianderstair/job_spec.h"

/**
 * Maximum size of an encoded forecast. The requirements allow 8 KB; candidates
 * for the cell read it every 0.3 s as base64, which at this size takes 9 of
 * the 15 KB/s that a node may use.
 */
#define CS_FORECAST_MAX_BYTES 2000
/** Maximum numbers of services and labels in a forecast; at most 1,300 bytes.
 */
#define CS_FORECAST_SERVICES_MAX 8
#define CS_FORECAST_LABELS_MAX 8
/** A job that ends later than this multiple of its objective does not count.
 */
#define CS_FORECAST_COUNTED_FACTOR 3
/** Declared run times are off by up to this share of their value. */
#define CS_FORECAST_DECLARED_ERROR 0.9

/** Size classes of steps: what has to be free at once for one to start. */
typedef enum {
    CS_FORECAST_SINGLES, /**< room for one task */
    CS_FORECAST_GANGS,   /**< room for all tasks */
    CS_FORECAST_CLASSES
} cs_forecast_class;

/** The steps of a queue and size class that wait for capacity and whose jobs
 * would still count. */
typedef struct {
    int64_t cpu_milli_s;    /**< work in thousandths of core-seconds */
    int64_t accelerator_s;  /**< work in accelerator-seconds */
    cs_demand largest_task; /**< the largest of each resource */
    uint32_t widest;        /**< tasks of the widest step; 0: none waits */
    bool same_rack;         /**< some are to be placed in one rack */
    int64_t counts_for_ms;  /**< from then on none of them would count */
    int64_t oldest_wait_ms; /**< the longest wait so far */
} cs_forecast_backlog;

/** The backlog of a queue. */
typedef struct {
    char name[CS_JOB_NAME_BYTES];
    uint32_t service;  /**< index in services of the forecast */
    uint32_t priority; /**< 0 is the highest */
    int64_t run_ms;    /**< learned run time of a task; 0: none yet */
    cs_forecast_backlog backlog[CS_FORECAST_CLASSES];
} cs_forecast_queue;

/** What the workers of a service are and have been, also under former holders.
 */
typedef struct {
    char name[CS_JOB_NAME_BYTES];
    uint32_t worker_count;
    cs_demand largest_worker; /**< the largest of each resource */
    cs_demand largest_rack;   /**< the same, of the sums of racks */
    cs_demand total;
    cs_demand largest_free;         /**< free now on one usable worker */
    int64_t rate_cpu_milli;         /**< largest so far, by speed */
    int64_t rate_accelerator_milli; /**< the same, in thousandths */
} cs_forecast_service;

/** The workers of a service with a label, if smaller than all of it. */
typedef struct {
    char name[CS_JOB_NAME_BYTES];
    uint32_t service; /**< index in services of the forecast */
    uint32_t worker_count;
    cs_demand largest_worker;
    cs_demand total;
} cs_forecast_label;

/** A forecast. */
typedef struct {
    uint64_t epoch;    /**< of the holder that made it */
    int64_t made_ms;   /**< the store's clock when it was made */
    int64_t loaded_ms; /**< how long the holder had been loaded by then */
    GArray *services;  /**< of cs_forecast_service, owned */
    GArray *labels;    /**< of cs_forecast_label, owned */
    GArray *queues;    /**< of cs_forecast_queue, owned */
} cs_forecast;

/** Initializes an empty forecast. */
void cs_forecast_init(cs_forecast *forecast);
/** Frees what a forecast owns, not the struct itself. */
void cs_forecast_dispose(cs_forecast *forecast);

/**
 * Adds the waiting tasks of a step to a backlog.
 * @param count number of waiting tasks
 * @param run_ms run time of a task
 * @param counts_for_ms for how long the step would still count if it waited
 * @param waited_ms how long it has waited
 */
void cs_forecast_add_step(cs_forecast_backlog *backlog,
                          const cs_job_step *step, uint32_t count,
                          double run_ms, int64_t counts_for_ms,
                          int64_t waited_ms);

/** Raises each resource of a demand to at least that of another one. */
void cs_forecast_raise(cs_demand *demand, const cs_demand *other);

/**
 * @return the time that a backlog takes the whole service in ms, at least; 0
 *         if the service has no rate
 */
double cs_forecast_work_ms(const cs_forecast_backlog *backlog,
                           const cs_forecast_service *service);

/**
 * Appends the record of a forecast to out. Drops the queues with the least
 * work that do not fit into CS_FORECAST_MAX_BYTES.
 */
void cs_forecast_encode(GByteArray *out, const cs_forecast *forecast);

/**
 * Decodes a record.
 * @return 0, or CS_E_INVALID with out disposed if the record is unreadable or
 *         its figures are not possible
 */
int cs_forecast_decode(cs_forecast *out, const void *bytes, size_t size_bytes);

/** @return the service with a name, owned by the forecast, or NULL */
const cs_forecast_service *
cs_forecast_find_service(const cs_forecast *forecast, const char *name);

/** @return the queue with a name, owned by the forecast, or NULL */
const cs_forecast_queue *cs_forecast_find_queue(const cs_forecast *forecast,
                                                const char *name);

#endif
