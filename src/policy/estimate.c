/*
 * Estimates of run times by organisation and job class. There are two
 * predictors: the mean logarithm of the run time, and the mean logarithm of
 * its ratio to the declared run time. Estimates come from the one with the
 * smaller mean error.
 */
#include "policy_internal.h"

#include <math.h>

/* Weight of the latest run in the moving averages. The first runs weigh
   equally. */
#define AVERAGING_RATE 0.2
/* With fewer recorded runs, the declared run time is the estimate. */
#define RECORDED_RUNS_MIN 3
/* Lower bound of run times, so that their logarithms are bounded. */
#define RUN_MIN_US 1000.0

static uint64_t *
make_estimate_key(uint64_t *key, const cs_sched_request *request)
{
    *key = (uint64_t)request->organisation << 32 | request->class_id;
    return key;
}

static double
log_run_time(int64_t us)
{
    return log(MAX((double)us, RUN_MIN_US));
}

int64_t
estimate_run(const cs_sched *sched, const cs_sched_request *request)
{
    uint64_t key;
    const struct estimate *estimate = g_hash_table_lookup(
        sched->estimates, make_estimate_key(&key, request));

    if (!estimate || estimate->run_count < RECORDED_RUNS_MIN)
        return request->declared_us;
    if (estimate->run_error <= estimate->ratio_error)
        return (int64_t)exp(estimate->log_run);
    return (int64_t)exp(log_run_time(request->declared_us) +
                        estimate->log_ratio);
}

static void
update_mean(double *mean, double value, double rate)
{
    *mean += rate * (value - *mean);
}

void
estimate_record_run(cs_sched *sched, const cs_sched_request *request,
                    int64_t run_us)
{
    uint64_t key;
    struct estimate *estimate = g_hash_table_lookup(
        sched->estimates, make_estimate_key(&key, request));
    double log_run = log_run_time(run_us);
    double log_ratio = log_run - log_run_time(request->declared_us);
    double rate;

    if (!estimate) {
        estimate = g_new0(struct estimate, 1);
        g_hash_table_insert(sched->estimates, g_memdup2(&key, sizeof(key)),
                            estimate);
    }
    estimate->run_count++;
    rate = MAX(AVERAGING_RATE, 1.0 / estimate->run_count);
    if (estimate->run_count > 1) {
        update_mean(&estimate->run_error, fabs(log_run - estimate->log_run),
                    rate);
        update_mean(&estimate->ratio_error,
                    fabs(log_ratio - estimate->log_ratio), rate);
    }
    update_mean(&estimate->log_run, log_run, rate);
    update_mean(&estimate->log_ratio, log_ratio, rate);
}
