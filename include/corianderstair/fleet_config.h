/**
 * @file fleet_config.h
 * One version of the operators' configuration: queues, services,
 * organisations and limits. Reference counted; immutable once its indexes are
 * built.
 */
#ifndef CS_FLEET_CONFIG_H
#define CS_FLEET_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/job_spec.h"

/** A queue of jobs. Requests are routed to it by host and path prefix. */
typedef struct {
    char name[CS_JOB_NAME_BYTES];
    char host[128];
    char prefix[128];
    char service[CS_JOB_NAME_BYTES]; /**< whose workers run the jobs */
    uint32_t priority;               /**< 0 is the highest */
    uint32_t max_attempts; /**< number of failed runs of a task after which
                            its job fails */
    /**
     * Time in which a job is to be completed, as a multiple of the expected
     * run time of its steps one after another; target_ms is added to it.
     */
    double stretch;
    int64_t target_ms;
    int64_t timeout_ms;   /**< as configured; not used */
    bool allow_anonymous; /**< accepts requests without a key */
    bool needs_ticket; /**< a start needs a ticket of the placement adviser */
} cs_queue_config;

/** A service: a pool of workers. */
typedef struct {
    char name[CS_JOB_NAME_BYTES];
    bool admission_control; /**< workers refuse runs beyond their capacity */
} cs_service_config;

/** An organisation. */
typedef struct {
    char name[CS_JOB_NAME_BYTES];
    GPtrArray *keys; /**< API keys, of char *, owned */
    int64_t guaranteed_accelerators;
} cs_organisation_config;

/** A version of the configuration. */
typedef struct {
    uint64_t version;                 /**< as the operators number it */
    GArray *queues;                   /**< of cs_queue_config */
    GArray *services;                 /**< of cs_service_config */
    GArray *organisations;            /**< of cs_organisation_config */
    int64_t max_body_bytes;           /**< of a submission */
    GHashTable *queues_by_name;       /**< to cs_queue_config */
    GHashTable *organisations_by_key; /**< API key to cs_organisation_config */
    uint32_t ref_count;
} cs_fleet_config;

/** Creates an empty version with one reference, which the caller owns. */
cs_fleet_config *cs_fleet_config_create(void);

/**
 * Builds the indexes by name and by key. Call it once, after the arrays are
 * filled; they must not change afterwards.
 */
void cs_fleet_config_build_indexes(cs_fleet_config *config);

/** Adds a reference. @return config */
cs_fleet_config *cs_fleet_config_ref(cs_fleet_config *config);

/** Releases a reference and frees the last one; NULL is allowed. */
void cs_fleet_config_unref(cs_fleet_config *config);

/**
 * Finds the queue of a request: the one of this host with the longest matching
 * prefix. Host names are compared without case.
 * @param rest set to the part of path after the prefix if a queue is found
 * @return the queue, owned by the configuration, or NULL
 */
const cs_queue_config *cs_fleet_config_route(const cs_fleet_config *config,
                                             const char *host,
                                             const char *path,
                                             const char **rest);

/** @return the queue with a name, owned by the configuration, or NULL */
const cs_queue_config *cs_fleet_config_queue(const cs_fleet_config *config,
                                             const char *name);

/** @return the organisation that an API key belongs to, or NULL */
const cs_organisation_config *
cs_fleet_config_organisation_by_key(const cs_fleet_config *config,
                                    const char *key);

/** @return the organisation with a name, or NULL */
const cs_organisation_config *
cs_fleet_config_organisation_by_name(const cs_fleet_config *config,
                                     const char *name);

/** @return the service with a name, or NULL */
const cs_service_config *cs_fleet_config_service(const cs_fleet_config *config,
                                                 const char *name);

#endif
