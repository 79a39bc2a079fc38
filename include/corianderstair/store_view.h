/**
 * @file store_view.h
 * The store view: an in-memory copy of the resources and their status in the
 * table service, with the version reached in each scope, subscriptions to
 * changes and a bounded history of them.
 */
#ifndef CS_STORE_VIEW_H
#define CS_STORE_VIEW_H

#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/change.h"
#include "corianderstair/job_status.h"

/** Number of recent changes of a scope that can be replayed to a watch. */
#define CS_STORE_VIEW_HISTORY_MAX 4096

typedef struct cs_store_view cs_store_view;

/** A resource row; owned by the view, valid until its next change. */
typedef struct {
    char scope[CS_NAME_BYTES];
    uint64_t version;        /**< of the change that wrote the resource */
    uint64_t status_version; /**< of the change that wrote the status */
    cs_resource resource;
    cs_job_status job; /**< status of a job */
    json_t *status;    /**< status of any other kind; NULL until written */
} cs_resource_row;

/** Called for each row of a kind. */
typedef void (*cs_store_view_visit)(void *user_data,
                                    const cs_resource_row *row);
/** Called for a change, which is borrowed. */
typedef void (*cs_store_view_on_change)(void *user_data,
                                        const cs_change *change);

cs_store_view *cs_store_view_create(void);
void cs_store_view_destroy(cs_store_view *view);

/**
 * Applies a change, which must have the version after the one reached in its
 * scope, and notifies the subscribers.
 * @return 0, also for a change that was applied before and is ignored;
 *         CS_E_CONFLICT if a change before it is missing; another error if
 *         its value cannot be read
 */
int cs_store_view_apply(cs_store_view *view, const cs_change *change);

/**
 * Loads one row of a listing without notifying anyone. Once all rows are
 * loaded, the version of the scope has to be set.
 * @param value the stored row: version, status_version, doc, status
 * @return 0 or an error if the row cannot be read
 */
int cs_store_view_load(cs_store_view *view, const char *scope, cs_kind kind,
                       const json_t *value);

/** Sets the version of a scope whose rows have all been loaded. */
void cs_store_view_set_version(cs_store_view *view, const char *scope,
                               uint64_t version);

/** @return the version reached in a scope; 0 if the scope is not known */
uint64_t cs_store_view_version(const cs_store_view *view, const char *scope);

/** @return the row, or NULL if it does not exist */
const cs_resource_row *cs_store_view_find(const cs_store_view *view,
                                          cs_kind kind, const char *name);

/** @return the number of rows of a kind */
uint32_t cs_store_view_count(const cs_store_view *view, cs_kind kind);

/** Visits the rows of a kind in the order of their names. */
void cs_store_view_each(const cs_store_view *view, cs_kind kind,
                        cs_store_view_visit visit, void *user_data);

/** @return a new reference to the stored form of a row */
json_t *cs_resource_row_write(const cs_resource_row *row);

/** Subscribes to applied changes. @return a handle to unsubscribe with */
uint32_t cs_store_view_subscribe(cs_store_view *view,
                                 cs_store_view_on_change on_change,
                                 void *user_data);
void cs_store_view_unsubscribe(cs_store_view *view, uint32_t handle);

/**
 * Calls on_change for each change of a scope after a version, oldest first.
 * @return 0, or CS_E_TOO_OLD if the history no longer reaches back so far
 */
int cs_store_view_replay(const cs_store_view *view, const char *scope,
                         uint64_t after, cs_store_view_on_change on_change,
                         void *user_data);

#endif
