/*
 * The time of a task is its work over the worker's speed, in logarithms a
 * difference. A new time is compared with the work that the step's other
 * times tell; the less is known of the worker, the more its speed follows.
 * Speeds change, so old knowledge fades.
 */
#include "corianderstair/speed.h"

#include <glib.h>
#include <math.h>

/* Variances of logarithms. Speeds on the deployments differ by 2 to 2.7. */
#define PRIOR_VARIANCE 0.15
/* Progress is told in percent, and tasks of a step differ by some percent. */
#define NOISE_VARIANCE 0.01
/* A worker that has turned slow or sound again is believed after seconds. */
#define VARIANCE_PER_S 0.01
/* Times that hang or fail early say nothing of the speed. */
#define LOG_ERROR_MAX 2.0
#define LOG_SPEED_MIN (-2.0)
#define LOG_SPEED_MAX 1.0

static double
log_speed_variance(const cs_speed *speed, int64_t now_us)
{
    double age_s = (double)(now_us - speed->seen_us) / 1e6;
    double unfaded = PRIOR_VARIANCE * (1.0 - speed->sureness);

    if (speed->sureness <= 0)
        return PRIOR_VARIANCE;
    return MIN(PRIOR_VARIANCE, unfaded + VARIANCE_PER_S * age_s);
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
    speed->sureness = 1.0 - own_variance * (1.0 - gain) / PRIOR_VARIANCE;
    speed->seen_us = now_us;
}

void
cs_speed_observe(cs_speed_step *step, cs_speed *speed, double ms,
                 int64_t now_us)
{
    double log_ms = log(ms);
    double own_variance = log_speed_variance(speed, now_us);
    double weight;

    if (step->count == 1 && step->first != speed) {
        /* Two times tell as much of the one worker as of the other. */
        double error = log_ms + speed->log_speed - step->first_log_ms -
                       step->first->log_speed;
        double first_variance = log_speed_variance(step->first, now_us);

        update_speed(step->first, -error, own_variance + NOISE_VARIANCE,
                     now_us);
        update_speed(speed, error, first_variance + NOISE_VARIANCE, now_us);
    }
    else if (step->count > 1) {
        update_speed(speed,
                     log_ms + speed->log_speed -
                         step->weighted_work / step->weight,
                     1.0 / step->weight, now_us);
    }
    if (step->count++ == 0) {
        step->first = speed;
        step->first_log_ms = log_ms;
    }
    weight = 1.0 / (log_speed_variance(speed, now_us) + NOISE_VARIANCE);
    step->weight += weight;
    step->weighted_work += weight * (log_ms + speed->log_speed);
}
