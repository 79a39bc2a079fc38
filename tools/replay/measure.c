/* Measurements of a replay: completion times, fairness and a lower bound. */
#include "replay.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#define CYCLE_S 0.5 /* scheduling cycle */

/* A job on a single machine that is as fast as the whole cell. */
struct fluid_job {
    double remaining; /* accelerator-seconds */
    double submitted_s;
};

static gint
compare_remaining(gconstpointer a, gconstpointer b, gpointer user_data)
{
    const struct fluid_job *left = a;
    const struct fluid_job *right = b;

    if (left->remaining != right->remaining)
        return left->remaining < right->remaining ? -1 : 1;
    return left < right ? -1 : left > right;
}

static bool
is_measured(const struct replay_job *job)
{
    return !job->cancelled && !job->cancel_planned;
}

static uint32_t
total_accelerators(const struct replay *replay)
{
    uint32_t sum = 0;
    guint i;

    for (i = 0; i < replay->workload->worker_accelerators->len; i++)
        sum +=
            g_array_index(replay->workload->worker_accelerators, uint32_t, i);
    return sum;
}

/* Runs the queue from from_s until until_s, the job with the least remaining
   work first. Returns the sum of the completion times of the finished jobs. */
static double
run_least_remaining(GSequence *queue, double from_s, double until_s,
                    double speed)
{
    double sum = 0;

    while (!g_sequence_is_empty(queue) && from_s < until_s) {
        GSequenceIter *first = g_sequence_get_begin_iter(queue);
        struct fluid_job *item = g_sequence_get(first);
        double needed_s = item->remaining / speed;

        if (from_s + needed_s > until_s) {
            item->remaining -= (until_s - from_s) * speed;
            return sum;
        }
        from_s += needed_s;
        sum += from_s - item->submitted_s;
        g_sequence_remove(first);
    }
    return sum;
}

/*
 * Returns a lower bound of the mean completion time: no schedule is better
 * than one machine as fast as the whole cell that always runs the job with the
 * least remaining work. count is set to the number of jobs.
 */
static double
mean_lower_bound_s(const struct replay *replay, uint32_t *count)
{
    GSequence *queue = g_sequence_new(NULL);
    struct fluid_job *items =
        g_new0(struct fluid_job, replay->workload->jobs->len + 1);
    double speed = total_accelerators(replay);
    double sum = 0;
    double now_s = 0;
    guint i;

    *count = 0;
    for (i = 0; i < replay->workload->events->len; i++) {
        const struct workload_event *event =
            &g_array_index(replay->workload->events, struct workload_event, i);
        const struct replay_job *job = &replay->jobs[event->job];
        struct fluid_job *item = &items[*count];

        if (event->type != EVENT_SUBMIT || !is_measured(job))
            continue;
        (*count)++;
        item->submitted_s = (double)event->at_us / 1e6;
        item->remaining =
            (double)job->spec->run_us / 1e6 * job->spec->accelerators;
        sum += run_least_remaining(queue, now_s, item->submitted_s, speed);
        now_s = item->submitted_s;
        g_sequence_insert_sorted(queue, item, compare_remaining, NULL);
    }
    sum += run_least_remaining(queue, now_s, 1e18, speed);
    g_sequence_free(queue);
    g_free(items);
    return *count ? sum / *count : 0;
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return left < right ? -1 : left > right;
}

struct summary {
    uint32_t count;
    uint32_t unfinished;
    double completion_sum_s;
    double run_sum_s;
    double completion_p95_s;
    double slowdown_sum;
    double claim_wait_max_s;
    uint32_t late_claims; /* waited longer than grace and one cycle */
    uint32_t claims;      /* jobs of the guaranteed tier */
};

static void
add_guaranteed_job(struct summary *summary, const struct replay *replay,
                   const struct replay_job *job)
{
    double wait_s =
        job->attempts ? (double)(job->first_start_us - job->submitted_us) / 1e6
                      : 1e9;

    summary->claims++;
    if (wait_s > summary->claim_wait_max_s)
        summary->claim_wait_max_s = wait_s;
    if (wait_s > (double)replay->workload->settings.grace_us / 1e6 + CYCLE_S)
        summary->late_claims++;
}

static struct summary
summarize(const struct replay *replay)
{
    struct summary summary = {0};
    double *completions_s = g_new(double, replay->workload->jobs->len + 1);
    guint i;

    for (i = 0; i < replay->workload->jobs->len; i++) {
        const struct replay_job *job = &replay->jobs[i];
        double run_s = (double)job->spec->run_us / 1e6;
        double completion_s =
            (double)(job->completed_us - job->submitted_us) / 1e6;

        if (!is_measured(job))
            continue;
        if (job->spec->tier == CS_TIER_GUARANTEED)
            add_guaranteed_job(&summary, replay, job);
        summary.run_sum_s += run_s;
        if (!job->completed_us) {
            summary.unfinished++;
            continue;
        }
        summary.completion_sum_s += completion_s;
        summary.slowdown_sum += completion_s / run_s;
        completions_s[summary.count++] = completion_s;
    }
    qsort(completions_s, summary.count, sizeof(*completions_s),
          compare_doubles);
    summary.completion_p95_s =
        summary.count ? completions_s[(size_t)(summary.count * 0.95)] : 0;
    g_free(completions_s);
    return summary;
}

/* Returns Jain's fairness index of the organisations' accelerator time per
   unit of weight, while all of them had jobs waiting; guaranteed jobs are not
   counted. */
static double
jain_index(const struct replay *replay)
{
    double sum = 0;
    double squares = 0;
    guint organisations = replay->workload->organisation_weights->len;
    guint i;

    for (i = 0; i < organisations; i++) {
        double share = replay->contended_area[i] /
                       (double)g_array_index(
                           replay->workload->organisation_weights, int64_t, i);

        sum += share;
        squares += share * share;
    }
    return squares > 0 ? sum * sum / (organisations * squares) : 1;
}

void
replay_print(const struct replay *replay, const char *policy, int64_t seed)
{
    struct summary summary = summarize(replay);
    uint32_t count = 0;
    double lower_bound_s = mean_lower_bound_s(replay, &count);
    double run_s = count ? summary.run_sum_s / count : 0;

    printf("{\"bench\":\"replay\",\"deployment\":\"%s\",\"scenario\":"
           "\"%s\",\"policy\":\"%s\",\"seed\":%lld,\"jobs\":%u,"
           "\"mean_completion_s\":%.1f,\"p95_completion_s\":%.1f,"
           "\"mean_slowdown\":%.2f,\"lower_bound_s\":%.1f,"
           "\"fragmentation\":%.4f,\"claims\":%u,\"reclaim_max_s\":%.2f,"
           "\"guarantee_misses\":%u,\"jain\":%.3f,\"unfinished\":%u}\n",
           replay->workload->deployment, replay->workload->scenario, policy,
           (long long)seed, count,
           summary.count ? summary.completion_sum_s / summary.count : 0,
           summary.completion_p95_s,
           summary.count ? summary.slowdown_sum / summary.count : 0,
           MAX(lower_bound_s, run_s),
           replay->fragmentation_time > 0
               ? replay->fragmentation_area / replay->fragmentation_time
               : 0,
           summary.claims, summary.claim_wait_max_s, summary.late_claims,
           jain_index(replay), summary.unfinished);
}
