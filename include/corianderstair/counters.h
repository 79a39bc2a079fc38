/**
 * @file counters.h
 * Named counters and gauges of one process, printed in the Prometheus text
 * format. Look up a counter by name once, then update it by its pointer.
 */
#ifndef CS_COUNTERS_H
#define CS_COUNTERS_H

#include <stdint.h>
#include <glib.h>

typedef struct cs_counters cs_counters;

/** Creates an empty set. Free it with cs_counters_destroy. */
cs_counters *cs_counters_create(void);

/** Frees the set and every counter in it; NULL is allowed. */
void cs_counters_destroy(cs_counters *counters);

/**
 * Finds a counter, or creates it with the value 0.
 * @param name Prometheus name with its labels, for instance
 *             cs_requests_total{class="verify"}
 * @return the counter's value, owned by the set
 */
int64_t *cs_counters_get(cs_counters *counters, const char *name);

/**
 * Adds a duration to a Prometheus histogram with buckets from 5 ms to 10 s.
 * @param name of the histogram, without labels
 * @param ms duration in milliseconds
 */
void cs_counters_observe_ms(cs_counters *counters, const char *name,
                            int64_t ms);

/** Appends every counter to out, one per line, sorted by name. */
void cs_counters_print(const cs_counters *counters, GString *out);

#endif
