/**
 * @file speed.h
 * Estimates the speeds of workers from the run times of the tasks of a step.
 * Pure computation without I/O or a clock.
 */
#ifndef CS_SPEED_H
#define CS_SPEED_H

#include <stdint.h>

/** The estimated speed of a worker. All zeros if nothing is known. */
typedef struct {
    double log_speed;  /**< natural logarithm; 0 for the mean of all workers */
    double confidence; /**< confidence in log_speed: 0 if nothing is known,
                          near 1 after many observations */
    int64_t observed_us; /**< boot clock; time of the last observation */
} cs_speed;

/**
 * The run times of a step's tasks, which all do the same, unknown amount of
 * work. All zeros before the first one. Holds a pointer to the speed of the
 * first worker, which must outlive it.
 */
typedef struct {
    double weight;        /**< sum of the weights of the observations */
    double weighted_work; /**< weighted sum of the logarithms of the work,
                               in ms of run time at the mean speed */
    uint32_t observation_count; /**< number of observations */
    cs_speed *first_speed;      /**< speed of the worker observed first */
    double first_log_ms;        /**< logarithm of its run time in ms */
} cs_speed_step;

/**
 * Compares a worker with those that ran other tasks of the step and corrects
 * its estimated speed. The second observation of a step also corrects the
 * first worker.
 * @param ms run time of a whole task on the worker
 * @param now_us boot clock
 */
void cs_speed_observe(cs_speed_step *step, cs_speed *speed, double ms,
                      int64_t now_us);

#endif
