/**
 * @file resource.h
 * The resources that operators declare, as typed records.
 */
#ifndef CS_RESOURCE_H
#define CS_RESOURCE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/fields.h"

#define CS_NAME_BYTES 64
#define CS_ADDRESS_BYTES 32

typedef enum {
    CS_KIND_CONFIG,
    CS_KIND_ZONE,
    CS_KIND_WORKER,
    CS_KIND_ORGANISATION,
    CS_KIND_SERVICE,
    CS_KIND_JOB,
    CS_KIND_COUNT
} cs_kind;

/** Settings that every process applies, one resource named "main". */
typedef struct {
    char name[CS_NAME_BYTES];
    int64_t worker_lease_ms;
    int64_t grace_ms;             /**< time to checkpoint before a stop */
    int64_t wait_bound_s;         /**< the longest wait before reservation */
    int64_t completion_weight;    /**< parts in 100 of the objective */
    int64_t fragmentation_weight; /**< parts in 100 of the objective */
    int64_t retention_s;          /**< how long ended jobs are kept */
} cs_config;

typedef struct {
    char name[CS_NAME_BYTES];
    char region[CS_NAME_BYTES];
    int64_t spare_workers; /**< workers that guarantees may not count on */
} cs_zone;

typedef struct {
    char name[CS_NAME_BYTES];
    char zone[CS_NAME_BYTES];
    int64_t rack;
    char address[CS_ADDRESS_BYTES];
    int64_t accelerators;
    int64_t cores;
    int64_t memory_bytes;
    bool cordoned; /**< takes no new tasks */
} cs_worker;

/** A shape of adjacent accelerators that can be claimed at any time. */
typedef struct {
    char zone[CS_NAME_BYTES];
    int64_t accelerators;
    int64_t count;
} cs_guarantee;

typedef struct {
    char name[CS_NAME_BYTES];
    int64_t weight;
    cs_guarantee *guarantees;
    uint32_t guarantee_count;
} cs_organisation;

typedef struct {
    char name[CS_NAME_BYTES];
    bool idempotent;
    int64_t queue_max; /**< requests that may wait at one entry process */
} cs_class;

typedef struct {
    char name[CS_NAME_BYTES];
    char zone[CS_NAME_BYTES];
    char address[CS_ADDRESS_BYTES];
    int64_t slots;
    int64_t connections;
    bool leaving;
} cs_endpoint;

typedef struct {
    char name[CS_NAME_BYTES];
    cs_class *classes;
    uint32_t class_count;
    cs_endpoint *endpoints;
    uint32_t endpoint_count;
} cs_service;

typedef enum {
    CS_TIER_OPPORTUNISTIC, /**< may be preempted by all below */
    CS_TIER_NORMAL,
    CS_TIER_URGENT,
    CS_TIER_GUARANTEED /**< claims a guaranteed shape */
} cs_tier;

typedef struct {
    char name[CS_NAME_BYTES];
    char organisation[CS_NAME_BYTES];
    char zone[CS_NAME_BYTES];
    char class_name[CS_NAME_BYTES];
    int32_t tier;
    int64_t accelerators; /**< adjacent ones, one task on each worker */
    int64_t declared_s;   /**< run time as its owner expects it */
    int64_t run_ms;       /**< run time given to the workers */
    bool restartable;     /**< may be started again after a failure */
    bool checkpoint;
    bool cancelled;
} cs_job;

/** Any resource. */
typedef struct {
    cs_kind kind;
    union {
        cs_config config;
        cs_zone zone;
        cs_worker worker;
        cs_organisation organisation;
        cs_service service;
        cs_job job;
    } u;
} cs_resource;

/** @return the plural word of the API, such as "jobs" */
const char *cs_kind_name(cs_kind kind);

/** Finds a kind by plural or singular. @return 0 or CS_E_NOT_FOUND */
int cs_kind_find(cs_kind *out, const char *word);

/**
 * Reads and checks a resource.
 * @return 0, CS_E_FIELD or CS_E_INVALID; cs_resource_clear frees it
 */
int cs_resource_read(cs_resource *out, cs_kind kind, const json_t *object);

/** @return a new reference to the resource as JSON */
json_t *cs_resource_write(const cs_resource *resource);

/** @return the resource's name */
const char *cs_resource_name(const cs_resource *resource);

/** Frees what the resource owns. */
void cs_resource_clear(cs_resource *resource);

#endif
