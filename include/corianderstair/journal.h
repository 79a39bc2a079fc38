/**
 * @file journal.h
 * Follows scopes of the table service on the board and commits changes.
 *
 * A commit inserts change N+1 on the condition that it is absent, so that two
 * writers can never take the same version. A transaction whose answer was
 * lost is settled by reading that row back, and resent only as it was.
 */
#ifndef CS_JOURNAL_H
#define CS_JOURNAL_H

#include <stdbool.h>
#include "corianderstair/board.h"
#include "corianderstair/counters.h"
#include "corianderstair/outbox.h"

/** Changes of one transaction at most. */
#define CS_JOURNAL_BATCH 40
/** Changes that may wait for a commit in one scope. */
#define CS_JOURNAL_QUEUE 10000
/** No condition on the resource's version. */
#define CS_MATCH_ANY INT64_C(-1)

typedef struct cs_journal cs_journal;

/**
 * The end of a submitted change.
 * @param code 0; CS_E_CONFLICT, CS_E_EXISTS, CS_E_NOT_FOUND, CS_E_FENCED or
 *        an admission error where it surely was not made; CS_E_STORE where
 *        the store was out of reach and nothing was sent; CS_E_UNKNOWN where
 *        the outcome was not settled by the deadline
 * @param version the committed version where code is 0
 */
typedef void (*cs_journal_done)(void *data, int code, uint64_t version);

/** Checks a change against the board just before it is written. */
typedef int (*cs_journal_check)(const cs_board *board,
                                const cs_change *change);

/**
 * Creates a journal.
 * @param writer name of this process in change records
 * @param incarnation tells this run of the process from every other one
 * @param check the admission rules; NULL for none
 */
cs_journal *cs_journal_create(cs_board *board, cs_outbox *outbox,
                              cs_counters *counters, const char *writer,
                              const char *incarnation, cs_journal_check check);
/** Ends what is pending with CS_E_UNKNOWN and frees the journal. */
void cs_journal_destroy(cs_journal *journal);

/** Sets the time between polls. */
void cs_journal_set_poll_us(cs_journal *journal, int64_t poll_us);

/** Starts to follow a scope; calls after the first are ignored. */
void cs_journal_follow(cs_journal *journal, const char *scope);

/** @return whether the scope was loaded and caught up once */
bool cs_journal_is_loaded(const cs_journal *journal, const char *scope);

/** @return when the last answered poll was sent, boot clock; 0 never */
int64_t cs_journal_last_poll_us(const cs_journal *journal);

/** @return whether all that was committed before an instant was applied */
bool cs_journal_has_read(const cs_journal *journal, const char *scope,
                         int64_t since_us);

/** Says that a scope has reached a version; polls at once if it is new. */
void cs_journal_hint(cs_journal *journal, const char *scope, uint64_t version);

/** Starts polls and commits that are due. */
void cs_journal_tick(cs_journal *journal);

/** Commits of a scope hold only while key has this row version; 0 ends it. */
void cs_journal_set_fence(cs_journal *journal, const char *scope,
                          const char *key, uint64_t version);

/**
 * Queues a change, taking it over.
 * @param match version of the resource to replace; 0 it must be absent;
 *        CS_MATCH_ANY
 * @param deadline_us on the boot clock; done has run by then
 * @return 0, CS_E_OVERLOAD or CS_E_NOT_FOUND (the scope is not followed);
 *         done runs only where 0 was returned
 */
int cs_journal_submit(cs_journal *journal, cs_change *change, int64_t match,
                      int64_t deadline_us, cs_journal_done done, void *data);

/** @return changes queued or in flight */
uint32_t cs_journal_pending(const cs_journal *journal);

/** @return the first followed scope that is not loaded, or NULL */
const char *cs_journal_unloaded(const cs_journal *journal);

/** Loads a snapshot taken from a peer where the scope is not loaded yet. */
int cs_journal_load_snapshot(cs_journal *journal, const json_t *snapshot);

/** @return a snapshot of a loaded scope, or NULL */
json_t *cs_journal_snapshot(const cs_journal *journal, const char *scope);

#endif
