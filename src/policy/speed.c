/*
 * The run time of a task is its work divided by the worker's speed, so the
 * logarithm of the time is a difference. Each run time is compared with the
 * work that the other tasks of the step imply, and the difference corrects the
 * worker's speed as in a Kalman filter: the greater the variance of the speed,
 * the greater the correction. The variance grows with time, since speeds
 * change.
 */
#include "corianderstair/speed.h"

#include <glib.h>
#include <math.h>

/* Variance of the logarithm of an unknown speed. The fastest worker of a
   deployment is 2 to 2.7 times as fast as the slowest. */
#define PRIOR_VARIANCE 0.15
/* Variance of the logarithm of a run time: progress is reported in
   percent, and the tasks of a step differ by a few percent. */
#define NOISE_VARIANCE 0.01
/* Growth of the variance of a speed. It lets the estimate follow within
   seconds when a worker turns slow or recovers. */
#define VARIANCE_PER_S 0.01
/* Bound of a difference. Tasks that hang or fail early say nothing about the
   speed. */
#define LOG_ERROR_MAX 2.0
/* Bounds of an estimate, as natural logarithms. */
#define LOG_SPEED_MIN (-2.0)
#define LOG_SPEED_MAX 1.0

static double
log_speed_variance(const cs_speed *speed, int64_t now_us)
{
    double age_s = (double)(now_us - speed->observed_us) / 1e6;
    double last_variance = PRIOR_VARIANCE * (1.0 - speed->confidence);

    if (speed->confidence <= 0)
        return PRIOR_VARIANCE;
    return MIN(PRIOR_VARIANCE, last_variance + VARIANCE_PER_S * age_s);
}

static void
update_speed(cs_speed *speed, double error, double other_variance,
             int64_t now_us)
{
    double own_variance = log_speed_variance(speed, now_us);
    double gain =
        own_variance / (own_variance + other_variance + NOISE_VARIANCE);

    speed->log_speed -= gain * CLAMP(error, -LOG_ERROR_MAX, LOG_ERROR_MAX);
    speed->log_speed = CLAMP(speed->log_speed, LOG_SPEED_MIN, LOG_SPEED_MAX);
    speed->confidence = 1.0 - own_variance * (1.0 - gain) / PRIOR_VARIANCE;
    speed->observed_us = now_us;
}

void
cs_speed_observe(cs_speed_step *step, cs_speed *speed, double ms,
                 int64_t now_us)
{
    double log_ms = log(ms);
    double own_variance = log_speed_variance(speed, now_us);
    double weight;

    if (step->observation_count == 1 && step->first_speed != speed) {
        /* With two run times the difference corrects both workers. */
        double error = log_ms + speed->log_speed - step->first_log_ms -
                       step->first_speed->log_speed;
        double first_variance = log_speed_variance(step->first_speed, now_us);

        update_speed(step->first_speed, -error, own_variance + NOISE_VARIANCE,
                     now_us);
        update_speed(speed, error, first_variance + NOISE_VARIANCE, now_us);
    }
    else if (step->observation_count > 1) {
        update_speed(speed,
                     log_ms + speed->log_speed -
                         step->weighted_work / step->weight,
                     1.0 / step->weight, now_us);
    }
    if (step->observation_count++ == 0) {
        step->first_speed = speed;
        step->first_log_ms = log_ms;
    }
    weight = 1.0 / (log_speed_variance(speed, now_us) + NOISE_VARIANCE);
    step->weight += weight;
    step->weighted_work += weight * (log_ms + speed->log_speed);
}
