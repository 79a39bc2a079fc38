/**
 * @file store.h
 * Builds requests to the platform's table service, that is conditional
 * transactions and reads of key ranges, and reads its replies. The protocol
 * is described in docs/PLATFORM.md.
 */
#ifndef CS_STORE_H
#define CS_STORE_H

#include <jansson.h>
#include <stdint.h>

#define CS_STORE_TXN_PATH "/v1/table/txn"
#define CS_STORE_READ_PATH "/v1/table/read"
#define CS_STORE_KEY_BYTES 192

/** @return a new, empty transaction with this id */
json_t *cs_store_txn_create(const char *id);

/** Adds the condition that the row has this version; 0: it does not exist. */
void cs_store_txn_add_check(json_t *txn, const char *key, uint64_t version);

/** Adds the write of a row; takes ownership of value. */
void cs_store_txn_add_put(json_t *txn, const char *key, json_t *value);

/** Adds the deletion of a row. */
void cs_store_txn_add_delete(json_t *txn, const char *key);

/** @return a new, empty read request */
json_t *cs_store_read_create(void);

/** Adds the key range [from, to), of which at most limit rows are returned. */
void cs_store_read_add_range(json_t *read, const char *from, const char *to,
                             uint32_t limit);

/** Adds a single key. */
void cs_store_read_add_key(json_t *read, const char *key);

/** @return the rows of the n-th range of a reply, borrowed, or NULL */
const json_t *cs_store_reply_rows(const json_t *reply, uint32_t n);

/** @return 1 if a conflict reply names the key, else 0 */
int cs_store_reply_conflicts(const json_t *reply, const char *key);

/** @return the commit version in the reply to a transaction */
uint64_t cs_store_reply_version(const json_t *reply);

/** Each writes the key of a row to out, of CS_STORE_KEY_BYTES bytes. */
void cs_store_key_counter(char *out, const char *scope);
void cs_store_key_change(char *out, const char *scope, uint64_t version);
void cs_store_key_resource(char *out, const char *scope, const char *kind,
                           const char *name);
void cs_store_key_cell(char *out, const char *zone);
void cs_store_key_lease(char *out, const char *zone);
void cs_store_key_job_name(char *out, const char *name);
void cs_store_key_request(char *out, const char *service, const char *id);

#endif
