/**
 * @file evacuations.h
 * The zones that the operator has evacuated, as last read from the store. No
 * task is started on a worker of such a zone.
 */
#ifndef CS_EVACUATIONS_H
#define CS_EVACUATIONS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/store_port.h"

/** Maximum number of evacuated zones. */
#define CS_EVACUATIONS_MAX 64

typedef struct cs_evacuations cs_evacuations;

/**
 * @param key_prefix of the rows' keys, which is followed by the zone; copied
 * @return an empty set that is not known yet; free it with
 *         cs_evacuations_destroy
 */
cs_evacuations *cs_evacuations_create(const char *key_prefix);

/** Frees the set; NULL is allowed. */
void cs_evacuations_destroy(cs_evacuations *evacuations);

/** @return the range of the rows; its strings are owned by the set */
cs_row_range cs_evacuations_range(const cs_evacuations *evacuations,
                                  const char *table);

/**
 * Replaces the set by the rows of a complete read. A read that is incomplete,
 * because there are more than CS_EVACUATIONS_MAX rows, leaves the set unknown.
 * @param now_us boot clock
 * @return whether the read was complete
 */
bool cs_evacuations_replace(cs_evacuations *evacuations,
                            const cs_store_answer *answer, int64_t now_us);

/**
 * Applies a row that has changed. Ignores rows with other keys. The set
 * becomes unknown, and has to be read again, if it would exceed
 * CS_EVACUATIONS_MAX.
 */
void cs_evacuations_apply(cs_evacuations *evacuations, const cs_row *row,
                          int64_t now_us);

/**
 * Records that the set contains every change that the store confirmed before
 * an instant: that at which a call was sent whose answer has been applied.
 */
void cs_evacuations_confirm(cs_evacuations *evacuations, int64_t sent_us);

/** @return whether the rows have been read completely */
bool cs_evacuations_is_known(const cs_evacuations *evacuations);

/**
 * @return whether the set is known and contains every change that the store
 *         confirmed up to max_age_us ago
 */
bool cs_evacuations_is_current(const cs_evacuations *evacuations,
                               int64_t now_us, int64_t max_age_us);

/** @return whether the zone is evacuated; false for NULL or an empty name */
bool cs_evacuations_contains(const cs_evacuations *evacuations,
                             const char *zone);

/**
 * Describes the zones for operators.
 * @return a new array of objects with the zone and how long it has been
 *         evacuated, as far as this process knows
 */
json_t *cs_evacuations_status(const cs_evacuations *evacuations,
                              int64_t now_us);

#endif
