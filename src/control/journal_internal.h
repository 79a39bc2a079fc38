/* Declarations shared by the files of the journal; not public. */
#ifndef CS_JOURNAL_INTERNAL_H
#define CS_JOURNAL_INTERNAL_H

#include <glib.h>
#include "corianderstair/journal.h"
#include "corianderstair/store.h"

#define STORE_CALL_TIMEOUT_US (2 * CS_SEC_US)
#define BACKOFF_MIN_US (50 * CS_MS_US)
#define BACKOFF_MAX_US (2 * CS_SEC_US)

/* A submitted change that is queued or in flight. */
struct pending_change {
    cs_change *change;
    int64_t match;          /* required version; see cs_journal_submit */
    uint64_t fence_version; /* of the tenure that submitted it; 0 no fence */
    int64_t deadline_us;    /* boot clock */
    cs_journal_done done;   /* NULL once the caller has been notified */
    void *user_data;
};

typedef enum {
    COMMIT_IDLE,
    COMMIT_WRITING,
    COMMIT_SETTLING /* the outcome must be read back from the store */
} commit_state;

struct journal_scope {
    cs_journal *journal;
    char name[CS_NAME_BYTES];
    /* following */
    bool rows_loaded; /* the initial listing of rows is complete */
    bool loaded;      /* the changes made since the listing are applied too */
    bool reading;     /* a read of rows or changes is open */
    bool poll_now;    /* read without waiting for the next poll */
    uint64_t known_version;          /* highest version counter seen */
    uint64_t list_version;           /* counter at the start of the listing */
    char cursor[CS_STORE_KEY_BYTES]; /* start of the next page; "" first */
    /* committing */
    commit_state state;
    GQueue queue;     /* of struct pending_change */
    GPtrArray *batch; /* of struct pending_change, in the open transaction */
    json_t *txn;
    char txn_id[CS_TXN_ID_BYTES];
    uint64_t base_version; /* version that the transaction builds on */
    bool batch_confirmed;  /* a change of the batch was read back */
    bool maybe_applied;    /* the outcome of some send is unknown */
    int64_t retry_at_us;   /* boot clock */
    int64_t backoff_us;
    char fence_key[CS_STORE_KEY_BYTES];
    uint64_t fence_version; /* 0 no fence */
};

struct cs_journal {
    cs_store_view *store_view;
    cs_outbox *outbox;
    cs_journal_check_change check;
    char writer[CS_WRITER_BYTES];
    char incarnation[32];
    uint64_t next_txn;
    GPtrArray *scopes; /* of struct journal_scope, in order of following */
    int64_t poll_us;   /* time between polls */
    int64_t next_poll_us;
    bool poll_open;
    int64_t poll_sent_us;
    int64_t last_poll_us; /* when the last answered poll was sent */
    /* counters */
    int64_t *commits;
    int64_t *conflicts;
    int64_t *ambiguous; /* writes whose outcome was unknown */
    int64_t *rows_written;
    int64_t *polls;
    int64_t *refused; /* writes that the store did not execute */
};

struct journal_scope *journal_find(const cs_journal *journal,
                                   const char *name);

/* Returns the current time on the boot clock. */
int64_t journal_now_us(const cs_journal *journal);

/* journal_commit.c */

/* Expires overdue changes and starts the next commit of the scope. */
void journal_commit_tick(struct journal_scope *scope);

/* Confirms the batch in flight if the applied change belongs to it. */
void journal_commit_match(struct journal_scope *scope,
                          const cs_change *change);

/*
 * Settles a transaction of unknown outcome. Called after a read has applied
 * the scope's latest changes.
 */
void journal_commit_settle(struct journal_scope *scope);

/* Ends every pending change with CS_E_OUTCOME_UNKNOWN and frees the commit
 * state. */
void journal_commit_clear(struct journal_scope *scope);

/* journal_follow.c */

/* Starts the reads that are due. */
void journal_follow_tick(cs_journal *journal);

#endif
