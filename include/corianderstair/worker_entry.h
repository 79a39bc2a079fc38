/**
 * @file worker_entry.h
 * The entry that a worker registers in the store.
 */
#ifndef CS_WORKER_ENTRY_H
#define CS_WORKER_ENTRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/job_spec.h"

/** The decoded entry of a worker. */
typedef struct {
    char service[CS_JOB_NAME_BYTES];
    char address[48]; /**< "IP:PORT" */
    char zone[CS_JOB_NAME_BYTES];
    bool draining;
    int64_t remaining_ms; /**< least time left to drain; -1 if not reported */
    cs_demand capacity;
    GPtrArray *labels; /**< of char *, owned; its kind and its rack */
    uint64_t
        incarnation_ms; /**< start of the incarnation; 0 if not reported */
} cs_worker_entry;

/** Initializes an empty entry. */
void cs_worker_entry_init(cs_worker_entry *entry);
/** Frees what an entry owns, not the struct itself. */
void cs_worker_entry_dispose(cs_worker_entry *entry);

#endif
