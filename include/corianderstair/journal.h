/**
 * @file journal.h
 * Follows scopes of the table service, keeps the store view up to date with
 * them, and commits changes.
 *
 * The changes of a scope are rows numbered without gaps. A commit inserts
 * change N+1 on the condition that it is absent, so two writers can never
 * commit the same version. When the answer to a transaction is lost, the
 * outcome is settled by reading that row back; the transaction is resent only
 * unchanged.
 */
#ifndef CS_JOURNAL_H
#define CS_JOURNAL_H

#include <stdbool.h>
#include "corianderstair/store_view.h"
#include "corianderstair/counters.h"
#include "corianderstair/outbox.h"

/** Maximum number of changes in one transaction. */
#define CS_JOURNAL_MAX_BATCH 40
/** Maximum number of changes queued in one scope. */
#define CS_JOURNAL_MAX_QUEUED 10000
/** Places no condition on the resource's version. */
#define CS_MATCH_ANY INT64_C(-1)

typedef struct cs_journal cs_journal;

/**
 * Reports the outcome of a submitted change.
 * @param code 0; CS_E_CONFLICT, CS_E_EXISTS, CS_E_NOT_FOUND, CS_E_FENCED or
 *        an admission error where the change was certainly not made;
 *        CS_E_STORE_UNAVAILABLE where the store could not be reached and the
 *        change was not made; CS_E_OUTCOME_UNKNOWN where the outcome was not
 *        settled by the deadline
 * @param version the committed version where code is 0
 */
typedef void (*cs_journal_done)(void *user_data, int code, uint64_t version);

/**
 * Checks a change against the store view just before it is written.
 * @return 0, or the error with which the change ends
 */
typedef int (*cs_journal_check_change)(const cs_store_view *store_view,
                                       const cs_change *change);

/**
 * Creates a journal.
 * @param store_view to update; borrowed, as are outbox and counters
 * @param writer name of this process in change records
 * @param incarnation distinguishes this run of the process from all others
 * @param check the admission rules; NULL for none
 */
cs_journal *cs_journal_create(cs_store_view *store_view, cs_outbox *outbox,
                              cs_counters *counters, const char *writer,
                              const char *incarnation,
                              cs_journal_check_change check);
/** Ends all pending changes with CS_E_OUTCOME_UNKNOWN and frees the journal.
 */
void cs_journal_destroy(cs_journal *journal);

/** Sets the time between polls of the store for new versions. */
void cs_journal_set_poll_interval_us(cs_journal *journal, int64_t poll_us);

/** Starts to follow a scope; has no effect if it is followed already. */
void cs_journal_follow(cs_journal *journal, const char *scope_name);

/** @return whether the scope has been loaded and has caught up once */
bool cs_journal_is_loaded(const cs_journal *journal, const char *scope_name);

/** @return when the last answered poll was sent, boot clock; 0 for none */
int64_t cs_journal_last_poll_us(const cs_journal *journal);

/**
 * @param since_us an instant of the boot clock
 * @return whether every change committed before since_us has been applied
 */
bool cs_journal_has_read_since(const cs_journal *journal,
                               const char *scope_name, int64_t since_us);

/** Reports a version that a scope has reached; a new one is read at once. */
void cs_journal_report_version(cs_journal *journal, const char *scope_name,
                               uint64_t version);

/** Starts the polls and commits that are due. */
void cs_journal_tick(cs_journal *journal);

/**
 * Makes commits of a scope conditional on the row version of a key.
 * @param version of the row at key; 0 removes the condition
 */
void cs_journal_set_fence(cs_journal *journal, const char *scope_name,
                          const char *key, uint64_t version);

/**
 * Queues a change.
 * @param change ownership is transferred, also on failure
 * @param match version of the resource to replace; 0 where it must be absent;
 *        CS_MATCH_ANY
 * @param deadline_us on the boot clock; done is called by then
 * @return 0, CS_E_OVERLOAD or CS_E_NOT_FOUND (the scope is not followed);
 *         done is called only where 0 was returned
 */
int cs_journal_submit(cs_journal *journal, cs_change *change, int64_t match,
                      int64_t deadline_us, cs_journal_done done,
                      void *user_data);

/** @return the number of changes queued or in flight */
uint32_t cs_journal_pending(const cs_journal *journal);

/** @return the first followed scope that is not loaded, or NULL */
const char *cs_journal_first_unloaded(const cs_journal *journal);

/**
 * Loads a scope from a peer's snapshot instead of listing it.
 * @return 0; CS_E_CONFLICT where the scope is not followed, is loaded already
 *         or is at a later version; CS_E_JSON or the error of a bad row
 */
int cs_journal_load_snapshot(cs_journal *journal, const json_t *snapshot);

/** @return a new reference to a snapshot of a scope; NULL if not loaded */
json_t *cs_journal_snapshot(const cs_journal *journal, const char *scope_name);

#endif
