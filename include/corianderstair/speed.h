/**
 * @file speed.h
 * Speeds of workers, learned from how long tasks of one step take on them.
 * Pure decisions without I/O or clock.
 */
#ifndef CS_SPEED_H
#define CS_SPEED_H

#include <stdint.h>

/** What is known of a worker's speed. Zeroed: nothing. */
typedef struct {
    double log_speed; /**< 0 for the mean of all workers */
    double sureness;  /**< 0 unknown, towards 1 with each comparison */
    int64_t seen_us;  /**< boot clock; the last comparison */
} cs_speed;

/**
 * What the tasks of a step have shown so far. They do the same work, however
 * much that is. Zeroed: nothing. Borrows the first worker's speed.
 */
typedef struct {
    double weight;
    double weighted_work; /**< logarithms of work, times their weights */
    uint32_t count;
    cs_speed *first;
    double first_log_ms;
} cs_speed_step;

/**
 * Compares a worker with those that ran other tasks of the step.
 * @param ms run time of a whole task on the worker
 * @param now_us boot clock
 */
void cs_speed_observe(cs_speed_step *step, cs_speed *speed, double ms,
                      int64_t now_us);

#endif
