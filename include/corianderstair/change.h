/**
 * @file change.h
 * A committed change of a resource or its status, as stored in the audit trail
 * and streamed to watches.
 *
 * A scope is "config" or the name of an availability zone. The table service
 * holds a version counter for each scope. Change N of a scope is written in
 * the transaction that raises the counter to N, so that versions have no gaps.
 */
#ifndef CS_CHANGE_H
#define CS_CHANGE_H

#include <jansson.h>
#include <stdint.h>
#include "corianderstair/resource.h"

#define CS_SCOPE_CONFIG "config"
#define CS_WRITER_BYTES 64
#define CS_TXN_ID_BYTES 64

typedef enum {
    CS_OP_PUT,    /**< creates or replaces a resource */
    CS_OP_DELETE, /**< deletes a resource */
    CS_OP_STATUS  /**< replaces the status of a resource */
} cs_change_op;

typedef struct {
    char scope[CS_NAME_BYTES];
    uint64_t version;             /**< 0 until committed */
    char txn[CS_TXN_ID_BYTES];    /**< id of the transaction */
    char writer[CS_WRITER_BYTES]; /**< name of the process that wrote it */
    int64_t at_us;                /**< wall clock */
    cs_change_op op;
    cs_kind kind;
    char name[CS_NAME_BYTES];
    json_t *value; /**< the resource or status; NULL for a deletion */
} cs_change;

/**
 * Creates a change with no version, transaction or writer. Takes ownership of
 * value, which may be NULL.
 */
cs_change *cs_change_create(const char *scope, cs_change_op op, cs_kind kind,
                            const char *name, json_t *value);

/** Frees a change; NULL is allowed. */
void cs_change_destroy(cs_change *change);

/** @return a new reference to the change as JSON */
json_t *cs_change_write(const cs_change *change);

/** Reads a change, which the caller destroys. @return 0 or CS_E_JSON */
int cs_change_read(cs_change **out, const json_t *object);

/** @return the name of an operation, such as "put" */
const char *cs_change_op_name(cs_change_op op);

#endif
