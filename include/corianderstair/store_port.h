/**
 * @file store_port.h
 * Interface to the platform's transactional row store. Implemented by the HTTP
 * client in platform/store.c and by the fake stores of the tests.
 */
#ifndef CS_STORE_PORT_H
#define CS_STORE_PORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * A row. In a cs_row_change it stands for a condition, a row to write or a row
 * to remove, and only the members that these need are read.
 */
typedef struct {
    const char *table;
    const char *part; /**< partition of the table */
    const char *key;
    const void *value;
    size_t size_bytes; /**< of the value */
    uint64_t version;  /**< of the row; 0 in a condition: must not exist */
    bool deleted;      /**< set only in answers to follow */
} cs_row;

/**
 * A transaction: writes and removes rows if every condition holds, else does
 * nothing. All rows are of the same partition.
 */
typedef struct {
    const cs_row *conditions; /**< the version that each row must have */
    size_t condition_count;
    const cs_row *puts;
    size_t put_count;
    const cs_row *removals;
    size_t removal_count;
} cs_row_change;

/** The result of a call to the store; valid during the callback. */
typedef struct {
    /**
     * 0: done.
     * CS_E_CONFLICT: a condition failed; rows holds the current rows.
     * CS_E_OVERLOAD, CS_E_STORE_UNAVAILABLE: the store refused the call;
     * nothing changed. CS_E_CONNECT: the call was not sent. CS_E_TOO_OLD:
     * follow asked for changes that the store no longer has. CS_E_INVALID: the
     * store rejected the call as malformed or forbidden. CS_E_TOO_LARGE: the
     * answer to follow is larger than asked for. CS_E_OUTCOME_UNKNOWN:
     * no valid answer; a change may have been applied.
     */
    int code;
    uint64_t version; /**< latest version of the store */
    int64_t now_ms;   /**< the store's monotonic clock; 0 if not reported */
    const cs_row *rows;
    size_t row_count;
    bool has_more; /**< the range has further rows after the last one */
    /** The code is not 0, but a part of the answer was received. */
    bool partial;
} cs_store_answer;

/**
 * A transfer may outlast the deadline of its call by this time, in which a
 * link of 10 Mbit/s carries 10 MB.
 */
#define CS_STORE_TRANSFER_MAX_US (INT64_C(8) * 1000 * 1000)
/** A transfer is abandoned if no byte arrives for this time. */
#define CS_STORE_PROGRESS_US (INT64_C(500) * 1000)

typedef void (*cs_store_done)(void *user_data, const cs_store_answer *answer);

/** A range of keys [from, to) of a partition. */
typedef struct {
    const char *table;
    const char *part;
    const char *from; /**< NULL: from the first key */
    const char *to;   /**< NULL: to the last key */
    uint32_t limit;   /**< maximum number of rows; 0: the store's own limit */
} cs_row_range;

/**
 * The calls to the store. Arguments are copied before a call returns. done is
 * called exactly once and never before the call has returned. Deadlines are on
 * the boot clock.
 *
 * The answer to a read or a poll must begin by its deadline. The transfer of
 * an answer that has begun may continue after it while bytes arrive, for up to
 * CS_STORE_TRANSFER_MAX_US: a large answer on a slow link would otherwise be
 * abandoned and sent again, and keep the link busy. The answer to a change
 * must be complete by its deadline.
 */
typedef struct {
    void *self;
    /** Runs a transaction. */
    void (*change)(void *self, const cs_row_change *change,
                   int64_t deadline_us, cs_store_done done, void *user_data);
    /** Reads a range of rows in key order. */
    void (*read)(void *self, const cs_row_range *range, int64_t deadline_us,
                 cs_store_done done, void *user_data);
    /**
     * Long poll: returns the rows of a table, of all its partitions, that
     * changed after a version, and waits up to wait_ms for the first of them.
     * Each change of a row is returned with the row's value, also if a later
     * one has replaced it.
     * @param max_bytes an answer that takes more on the wire is abandoned at
     *                  its begin with CS_E_TOO_LARGE; 0: no limit
     */
    void (*follow)(void *self, const char *table, uint64_t after,
                   int64_t wait_ms, size_t max_bytes, int64_t deadline_us,
                   cs_store_done done, void *user_data);
} cs_store_port;

#endif
