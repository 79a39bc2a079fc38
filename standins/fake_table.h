/**
 * @file fake_table.h
 * A fake table service in memory: rows ordered by key, transactions that are
 * conditional on row versions, and range reads.
 */
#ifndef FAKE_TABLE_H
#define FAKE_TABLE_H

#include <jansson.h>
#include <stdint.h>

typedef struct fake_table fake_table;

fake_table *fake_table_create(void);
void fake_table_destroy(fake_table *table);

/**
 * Executes a request of the table protocol, see docs/PLATFORM.md.
 * @param reply set to a new reference
 * @param path the HTTP path, which selects transaction or read
 * @param body the request
 * @return the HTTP status
 */
int fake_table_call(json_t **reply, fake_table *table, const char *path,
                    const json_t *body);

/** @return the value of a row, borrowed, or NULL if there is no row */
const json_t *fake_table_get(const fake_table *table, const char *key);

typedef void (*fake_table_visit)(void *user_data, const char *key,
                                 const json_t *value);

/** Calls visit for each row whose key starts with prefix, in key order. */
void fake_table_foreach(const fake_table *table, const char *prefix,
                        fake_table_visit visit, void *user_data);

/** Counters of the work done since the table was created. */
typedef struct {
    uint64_t txns;         /**< committed transactions */
    uint64_t conflicts;    /**< transactions refused for a row version */
    uint64_t rows_written; /**< including deletions */
    uint64_t reads;        /**< range reads */
    uint64_t rows_read;
} fake_table_stats;

fake_table_stats fake_table_get_stats(const fake_table *table);

#endif
