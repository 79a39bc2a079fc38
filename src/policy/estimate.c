/*
 * Learned run times by organisation and class. Two predictors are kept, the
 * mean run time and the mean ratio to the declared one (both of logarithms),
 * and the one that was closer so far is used.
 */
#include "policy_internal.h"

#include <math.h>

#define LEARN_RATE 0.2
#define LEARN_MIN 3
#define RUN_MIN_US 1000.0

static uint64_t *
key_of(uint64_t *key, const cs_sched_request *request)
{
    *key = (uint64_t)request->organisation << 32 | request->class_id;
    return key;
}

static double
log_of(int64_t us)
{
    return log(MAX((double)us, RUN_MIN_US));
}

int64_t
estimate_run(const cs_sched *sched, const cs_sched_request *request)
{
    uint64_t key;
    const struct estimate *e =
        g_hash_table_lookup(sched->estimates, key_of(&key, request));

    if (!e || e->count < LEARN_MIN)
        return request->declared_us;
    if (e->run_error <= e->ratio_error)
        return (int64_t)exp(e->log_run);
    return (int64_t)exp(log_of(request->declared_us) + e->log_ratio);
}

static void
approach(double *mean, double value, double rate)
{
    *mean += rate * (value - *mean);
}

void
estimate_learn(cs_sched *sched, const cs_sched_request *request,
               int64_t run_us)
{
    uint64_t key;
    struct estimate *e =
        g_hash_table_lookup(sched->estimates, key_of(&key, request));
    double run = log_of(run_us);
    double ratio = run - log_of(request->declared_us);
    double rate;

    if (!e) {
        e = g_new0(struct estimate, 1);
        g_hash_table_insert(sched->estimates, g_memdup2(&key, sizeof(key)), e);
    }
    e->count++;
    rate = MAX(LEARN_RATE, 1.0 / e->count);
    if (e->count > 1) {
        approach(&e->run_error, fabs(run - e->log_run), rate);
        approach(&e->ratio_error, fabs(ratio - e->log_ratio), rate);
    }
    approach(&e->log_run, run, rate);
    approach(&e->log_ratio, ratio, rate);
}
