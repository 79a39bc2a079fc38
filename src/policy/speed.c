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
#define PRIOR 0.15
/* Progress is told in percent, and tasks of a step differ by some percent. */
#define NOISE 0.01
/* A worker that has turned slow or sound again is believed after seconds. */
#define FADE_PER_S 0.01
/* Times that hang or fail early say nothing of the speed. */
#define ERROR_MAX 2.0
#define LOG_SPEED_MIN (-2.0)
#define LOG_SPEED_MAX 1.0

static double
variance(const cs_speed *speed, int64_t now_us)
{
    double age_s = (double)(now_us - speed->seen_us) / 1e6;
    double known = PRIOR * (1.0 - speed->sureness);

    if (speed->sureness <= 0)
        return PRIOR;
    return MIN(PRIOR, known + FADE_PER_S * age_s);
}

static void
follow(cs_speed *speed, double error, double other, int64_t now_us)
{
    double own = variance(speed, now_us);
    double gain = own / (own + other + NOISE);

    speed->log_speed -= gain * CLAMP(error, -ERROR_MAX, ERROR_MAX);
    speed->log_speed = CLAMP(speed->log_speed, LOG_SPEED_MIN, LOG_SPEED_MAX);
    speed->sureness = 1.0 - own * (1.0 - gain) / PRIOR;
    speed->seen_us = now_us;
}

void
cs_speed_observe(cs_speed_step *step, cs_speed *speed, double ms,
                 int64_t now_us)
{
    double log_ms = log(ms);
    double own = variance(speed, now_us);
    double weight;

    if (step->count == 1 && step->first != speed) {
        /* Two times tell as much of the one worker as of the other. */
        double error = log_ms + speed->log_speed - step->first_log_ms -
                       step->first->log_speed;
        double first = variance(step->first, now_us);

        follow(step->first, -error, own + NOISE, now_us);
        follow(speed, error, first + NOISE, now_us);
    }
    else if (step->count > 1) {
        follow(speed,
               log_ms + speed->log_speed - step->weighted_work / step->weight,
               1.0 / step->weight, now_us);
    }
    if (step->count++ == 0) {
        step->first = speed;
        step->first_log_ms = log_ms;
    }
    weight = 1.0 / (variance(speed, now_us) + NOISE);
    step->weight += weight;
    step->weighted_work += weight * (log_ms + speed->log_speed);
}
