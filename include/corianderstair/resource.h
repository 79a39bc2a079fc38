/**
 * @file resource.h
 * The resources that operators declare through the API, as typed structs.
 * Members have the names of the JSON fields, except class_name, which is
 * "class"; the lengths of arrays are not in the JSON.
 */
#ifndef CS_RESOURCE_H
#define CS_RESOURCE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/fields.h"

/** Sizes of a name and of an "IP:PORT" address, with the terminating NUL. */
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

/** Settings of all processes: the single resource config/main. */
typedef struct {
    char name[CS_NAME_BYTES];
    int64_t worker_lease_ms;
    int64_t grace_ms;             /**< time for a checkpoint before a stop */
    int64_t wait_bound_s;         /**< longest wait before a reservation */
    int64_t completion_weight;    /**< 0..100: how readily long jobs are
                                       suspended for short ones */
    int64_t fragmentation_weight; /**< 0..100: how readily small jobs are moved
                                       to make space for large ones */
    int64_t retention_s;          /**< how long ended jobs stay stored */
} cs_config;

typedef struct {
    char name[CS_NAME_BYTES];
    char region[CS_NAME_BYTES];
    int64_t spare_workers; /**< not counted when guarantees are checked */
} cs_zone;

typedef struct {
    char name[CS_NAME_BYTES];
    char zone[CS_NAME_BYTES];
    int64_t rack;
    char address[CS_ADDRESS_BYTES];
    int64_t accelerators;
    int64_t cores;
    int64_t memory_bytes;
    bool cordoned; /**< gets no new tasks */
} cs_worker;

/**
 * Guarantees an organisation a number of groups of adjacent accelerators in a
 * zone, which it can claim at any time.
 */
typedef struct {
    char zone[CS_NAME_BYTES];
    int64_t accelerators; /**< of each group */
    int64_t count;        /**< number of groups */
} cs_guarantee;

typedef struct {
    char name[CS_NAME_BYTES];
    int64_t weight;
    cs_guarantee *guarantees;
    uint32_t guarantee_count;
} cs_organisation;

typedef struct {
    char name[CS_NAME_BYTES];
    bool idempotent;   /**< requests may be run more than once */
    int64_t queue_max; /**< maximum of queued requests of an organisation at
                            one entry process */
} cs_class;

typedef struct {
    char name[CS_NAME_BYTES];
    char zone[CS_NAME_BYTES];
    char address[CS_ADDRESS_BYTES]; /**< "IP:PORT" */
    int64_t slots;                  /**< requests it runs at a time */
    int64_t connections;            /**< checked and stored, not enforced */
    bool leaving;                   /**< gets no new requests */
} cs_endpoint;

typedef struct {
    char name[CS_NAME_BYTES];
    cs_class *classes;
    uint32_t class_count;
    cs_endpoint *endpoints;
    uint32_t endpoint_count;
} cs_service;

typedef enum {
    CS_TIER_OPPORTUNISTIC, /**< may be preempted by all higher tiers */
    CS_TIER_NORMAL,
    CS_TIER_URGENT,
    CS_TIER_GUARANTEED /**< claims a guarantee of its organisation */
} cs_tier;

typedef struct {
    char name[CS_NAME_BYTES];
    char organisation[CS_NAME_BYTES];
    char zone[CS_NAME_BYTES];
    char class_name[CS_NAME_BYTES];
    int32_t tier;         /**< cs_tier */
    int64_t accelerators; /**< adjacent; each worker used runs one task */
    int64_t declared_s;   /**< run time that the owner expects */
    int64_t run_ms;       /**< run time passed to the workers */
    bool restartable;     /**< may be started again after a failure */
    bool checkpoint;      /**< can save its progress */
    bool cancelled;
} cs_job;

/** A resource of any kind. */
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

/** @return the plural name of a kind in the API, such as "jobs" */
const char *cs_kind_name(cs_kind kind);

/** Finds a kind by plural or singular name. @return 0 or CS_E_NOT_FOUND */
int cs_kind_find(cs_kind *out, const char *name);

/**
 * Reads a resource from JSON, sets defaults and checks every field.
 * @return 0, then free it with cs_resource_clear(); CS_E_FIELD or
 *         CS_E_INVALID
 */
int cs_resource_read(cs_resource *out, cs_kind kind, const json_t *object);

/** @return a new reference to the resource as JSON */
json_t *cs_resource_write(const cs_resource *resource);

/** @return the resource's name */
const char *cs_resource_name(const cs_resource *resource);

/** Frees the arrays that the resource owns. */
void cs_resource_clear(cs_resource *resource);

#endif
