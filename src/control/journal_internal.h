/* Shared by the files of the journal; not part of the interface. */
#ifndef CS_JOURNAL_INTERNAL_H
#define CS_JOURNAL_INTERNAL_H

#include <glib.h>
#include "corianderstair/journal.h"
#include "corianderstair/store.h"

#define CALL_TIMEOUT_US (2 * CS_SEC_US)
#define BACKOFF_MIN_US (50 * CS_MS_US)
#define BACKOFF_MAX_US (2 * CS_SEC_US)

/* A change that waits for its commit. */
struct pending {
    cs_change *change;
    int64_t match;
    uint64_t fence; /* of the tenure that submitted it */
    int64_t deadline_us;
    cs_journal_done done; /* NULL once told */
    void *data;
};

typedef enum {
    COMMIT_IDLE,
    COMMIT_WRITING,
    COMMIT_SETTLING /* the outcome must be read back */
} commit_state;

struct journal_scope {
    cs_journal *journal;
    char name[CS_NAME_BYTES];
    /* following */
    bool listed; /* rows were loaded */
    bool loaded; /* and the changes since */
    bool reading;
    bool poll_now;
    uint64_t known_version; /* highest counter seen */
    uint64_t list_version;
    char cursor[CS_STORE_KEY_BYTES];
    /* committing */
    commit_state state;
    GQueue queue;     /* of struct pending */
    GPtrArray *batch; /* of struct pending */
    json_t *txn;
    char txn_id[CS_TXN_ID_BYTES];
    uint64_t base;      /* version that the transaction builds on */
    bool batch_seen;    /* our change was read back */
    bool maybe_applied; /* some answer of this transaction was lost */
    int64_t retry_at_us;
    int64_t backoff_us;
    char fence_key[CS_STORE_KEY_BYTES];
    uint64_t fence_version;
};

struct cs_journal {
    cs_board *board;
    cs_outbox *outbox;
    cs_journal_check check;
    char writer[CS_WRITER_BYTES];
    char incarnation[32];
    uint64_t next_txn;
    GPtrArray *scopes; /* of struct journal_scope, in order of following */
    int64_t poll_us;
    int64_t next_poll_us;
    bool polling;
    int64_t poll_sent_us;
    int64_t last_poll_us; /* when the last answered poll was sent */
    int64_t *commits;
    int64_t *conflicts;
    int64_t *ambiguous;
    int64_t *rows_written;
    int64_t *polls;
    int64_t *refused;
};

struct journal_scope *journal_find(const cs_journal *journal,
                                   const char *name);
int64_t journal_now_us(const cs_journal *journal);

/* journal_commit.c */
void journal_commit_tick(struct journal_scope *scope);
/* Compares an applied change with the batch in flight. */
void journal_commit_saw(struct journal_scope *scope, const cs_change *change);
/* Called when a read has shown the scope's latest changes. */
void journal_commit_settle(struct journal_scope *scope);
void journal_commit_clear(struct journal_scope *scope);

/* journal_follow.c */
void journal_follow_tick(cs_journal *journal);

#endif
