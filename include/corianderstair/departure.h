/**
 * @file departure.h
 * Decides whether a worker whose entry was removed from the store has left.
 *
 * Load: rolling releases and shrinking pools remove workers while gangs run on
 * them. An entry is removed when its worker has left, or after three
 * heartbeat intervals of silence. In the second case the worker may run on,
 * and its tasks must not start elsewhere before their leases have ended; in
 * the first one they may start again at once. Pure decisions without I/O or a
 * clock.
 */
#ifndef CS_DEPARTURE_H
#define CS_DEPARTURE_H

#include <stdbool.h>
#include <stdint.h>

/** What is known when the removal of a worker's entry is read. */
typedef struct {
    bool draining; /**< the entry announced that the worker would leave */
    /** Boot clock: the entry was last written after this time; 0 unknown. */
    int64_t written_after_us;
    int64_t removal_read_us; /**< boot clock: the removal happened before */
    /** How often a worker writes its entry, milliseconds; 0 unknown. */
    int64_t heartbeat_ms;
} cs_departure;

/**
 * @return whether the entry was removed because the worker has left, so that
 *         nothing runs on it any more; false where silence may be the cause
 */
bool cs_departure_is_certain(const cs_departure *departure);

#endif
