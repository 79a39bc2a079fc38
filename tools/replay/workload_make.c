/*
 * Generates seeded scenarios for two deployments: one zone of each, with its
 * organisations, guarantees and mix of jobs.
 */
#include "workload.h"
#include "corianderstair/errors.h"
#include "corianderstair/random.h"

#include <math.h>
#include <string.h>

#define SECOND_US INT64_C(1000000)
#define HOUR_S 3600.0
#define DURATION_S (8 * HOUR_S)
#define RACK_WORKERS 8
#define SIZES_MAX 8

/* The jobs of a deployment: sizes in accelerators with their percentages. */
struct mix {
    uint32_t sizes[SIZES_MAX];
    uint32_t percentages[SIZES_MAX];
    double mean_run_s;
};

struct deployment {
    const char *name;
    uint32_t workers;
    int64_t completion_weight;
    int64_t fragmentation_weight;
    int64_t organisation_weights[4];
    cs_guarantee guarantees[4];
    struct mix mix;
};

static const struct deployment deployments[] = {
    {"consortium",
     50,
     70,
     30,
     {1, 1, 1, 1},
     {{.accelerators = 64, .count = 1},
      {.accelerators = 32, .count = 1},
      {.accelerators = 16, .count = 2},
      {.accelerators = 8, .count = 2}},
     {{1, 2, 4, 8, 16, 32, 64}, {30, 20, 15, 15, 10, 6, 4}, 900.0}},
    {"souffle-atlas",
     50,
     30,
     70,
     {1, 1, 1, 1},
     {{.accelerators = 64, .count = 1},
      {.accelerators = 64, .count = 1},
      {.accelerators = 16, .count = 2},
      {.accelerators = 8, .count = 2}},
     {{1, 2, 4, 8, 16, 32, 64}, {25, 20, 15, 15, 10, 10, 5}, 1500.0}},
};

/* How a scenario differs from a steady stream of jobs. */
struct scenario {
    const char *name;
    double load;              /* offered work as a fraction of capacity */
    uint32_t small_jobs;      /* in a burst */
    uint32_t large_jobs;      /* in a burst */
    double declaration_error; /* factor by which declared times are off */
    bool cancels;             /* half of each burst is cancelled */
    bool bad_workers;
    bool claims;
};

static const struct scenario scenarios[] = {
    {"steady", 0.6, 0, 0, 1.5, false, false, false},
    {"small-burst", 0.6, 1500, 0, 2.0, false, false, false},
    {"large-burst", 0.6, 0, 40, 2.0, false, false, false},
    {"mis-declared", 0.8, 0, 0, 10.0, false, false, false},
    {"cancel-wave", 0.8, 800, 10, 2.0, true, false, false},
    {"bad-workers", 0.7, 0, 0, 2.0, false, true, false},
    {"guarantee-claims", 0.8, 0, 0, 2.0, false, false, true},
    {"mixed", 0.8, 800, 20, 10.0, true, true, true},
};

struct generator {
    struct workload *workload;
    const struct deployment *deployment;
    const struct scenario *scenario;
    cs_random random;
};

static const struct deployment *
find_deployment(const char *name)
{
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(deployments); i++) {
        if (strcmp(deployments[i].name, name) == 0)
            return &deployments[i];
    }
    return NULL;
}

static const struct scenario *
find_scenario(const char *name)
{
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        if (strcmp(scenarios[i].name, name) == 0)
            return &scenarios[i];
    }
    return NULL;
}

static void
add_workers_and_organisations(struct generator *generator)
{
    uint32_t size = 8;
    uint32_t i;

    for (i = 0; i < generator->deployment->workers; i++) {
        uint32_t rack = i / RACK_WORKERS;

        g_array_append_val(generator->workload->worker_racks, rack);
        g_array_append_val(generator->workload->worker_accelerators, size);
    }
    for (i = 0; i < 4; i++) {
        GArray *guarantees = g_array_new(FALSE, TRUE, sizeof(cs_guarantee));

        g_array_append_val(guarantees, generator->deployment->guarantees[i]);
        g_array_append_val(generator->workload->organisation_weights,
                           generator->deployment->organisation_weights[i]);
        g_ptr_array_add(generator->workload->guarantees, guarantees);
    }
}

static uint32_t
draw_size(struct generator *generator)
{
    uint32_t percentile = (uint32_t)cs_random_below(&generator->random, 100);
    uint32_t i;

    for (i = 0; i < SIZES_MAX; i++) {
        if (percentile < generator->deployment->mix.percentages[i])
            return generator->deployment->mix.sizes[i];
        percentile -= generator->deployment->mix.percentages[i];
    }
    return 1;
}

/* Draws a run time from a log-normal distribution, whose tail gives a few very
   long jobs. */
static double
draw_run_s(struct generator *generator, double mean_s)
{
    double radius = cs_random_unit(&generator->random) + 1e-12;
    double angle = cs_random_unit(&generator->random);
    double normal = sqrt(-2 * log(radius)) * cos(2 * G_PI * angle);

    return MAX(mean_s * exp(normal - 0.5), 5.0);
}

/* Returns the ratio of declared to real run time: a fixed one for each class
   of an organisation, with noise for each job. */
static double
declared_factor(struct generator *generator, uint32_t organisation,
                uint32_t class_id)
{
    cs_random class_random;
    double exponent;

    cs_random_init(&class_random,
                   (uint64_t)organisation * 97 + class_id * 13 + 5);
    exponent = cs_random_unit(&class_random) * 2 - 1;
    exponent += (cs_random_unit(&generator->random) * 2 - 1) * 0.2;
    return pow(generator->scenario->declaration_error, exponent);
}

static uint32_t
add_job(struct generator *generator, double at_s, uint32_t size, double run_s,
        cs_tier tier, uint32_t organisation)
{
    uint32_t class_id = size * 4 + (run_s > 1200);
    struct workload_job job = {
        .organisation = organisation,
        .class_id = class_id,
        .tier = tier,
        .accelerators = size,
        .run_us = (int64_t)(run_s * 1e6),
        .declared_us =
            (int64_t)(run_s * 1e6 *
                      declared_factor(generator, organisation, class_id)),
        .checkpoint = cs_random_below(&generator->random, 100) < 70};
    struct workload_event event = {.at_us = (int64_t)(at_s * 1e6),
                                   .type = EVENT_SUBMIT,
                                   .job = generator->workload->jobs->len};

    job.declared_us = MAX(job.declared_us, SECOND_US);
    g_array_append_val(generator->workload->jobs, job);
    g_array_append_val(generator->workload->events, event);
    return event.job;
}

static void
add_cancel(struct generator *generator, double at_s, uint32_t job)
{
    struct workload_event event = {
        .at_us = (int64_t)(at_s * 1e6), .type = EVENT_CANCEL, .job = job};

    g_array_append_val(generator->workload->events, event);
}

static cs_tier
draw_tier(struct generator *generator)
{
    uint32_t percentile = (uint32_t)cs_random_below(&generator->random, 100);

    if (percentile < 20)
        return CS_TIER_OPPORTUNISTIC;
    return percentile < 97 ? CS_TIER_NORMAL : CS_TIER_URGENT;
}

static void
add_steady_jobs(struct generator *generator)
{
    double mean_size = 0;
    double interval_s;
    double at_s = 0;
    uint32_t i;

    for (i = 0; i < SIZES_MAX; i++)
        mean_size += generator->deployment->mix.sizes[i] *
                     generator->deployment->mix.percentages[i] / 100.0;
    interval_s =
        mean_size * generator->deployment->mix.mean_run_s /
        (generator->scenario->load * generator->deployment->workers * 8);
    while ((at_s += cs_random_exponential(&generator->random, interval_s)) <
           DURATION_S)
        add_job(generator, at_s, draw_size(generator),
                draw_run_s(generator, generator->deployment->mix.mean_run_s),
                draw_tier(generator),
                (uint32_t)cs_random_below(&generator->random, 4));
}

static void
add_burst(struct generator *generator, double at_s, uint32_t count, bool large)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        uint32_t organisation =
            (uint32_t)cs_random_below(&generator->random, 4);
        uint32_t size =
            large ? (cs_random_below(&generator->random, 2) ? 64 : 32)
                  : 1 + (uint32_t)cs_random_below(&generator->random, 2);
        double run_s = draw_run_s(generator, large ? 1800 : 300);
        uint32_t job = add_job(generator, at_s + i * 0.01, size, run_s,
                               CS_TIER_NORMAL, organisation);

        if (generator->scenario->cancels &&
            cs_random_below(&generator->random, 2))
            add_cancel(generator, at_s + 600 + i * 0.01, job);
    }
}

/* Adds a guaranteed job for each organisation every 2400 s. It runs for 900 s,
   so that the one before has ended when the next arrives. */
static void
add_guaranteed_jobs(struct generator *generator)
{
    double at_s;
    uint32_t i;

    for (at_s = 1200; at_s < DURATION_S; at_s += 2400) {
        for (i = 0; i < 4; i++)
            add_job(
                generator, at_s + i,
                (uint32_t)generator->deployment->guarantees[i].accelerators,
                900, CS_TIER_GUARANTEED, i);
    }
}

static void
add_worker_event(struct generator *generator, double at_s, uint32_t worker,
                 enum workload_event_type type, bool value)
{
    struct workload_event event = {.at_us = (int64_t)(at_s * 1e6),
                                   .type = type,
                                   .worker = worker,
                                   .value = value};

    g_array_append_val(generator->workload->events, event);
}

static void
add_worker_failures(struct generator *generator)
{
    add_worker_event(generator, 600, 3, EVENT_WORKER_FAULTY, true);
    add_worker_event(generator, 900, 19, EVENT_WORKER_FAULTY, true);
    add_worker_event(generator, 4 * HOUR_S, 3, EVENT_WORKER_FAULTY, false);
    add_worker_event(generator, 3 * HOUR_S, 30, EVENT_WORKER_UP, false);
    add_worker_event(generator, 3.5 * HOUR_S, 30, EVENT_WORKER_UP, true);
}

static gint
compare_events(gconstpointer a, gconstpointer b)
{
    const struct workload_event *left = a;
    const struct workload_event *right = b;

    return left->at_us < right->at_us ? -1 : left->at_us > right->at_us;
}

int
workload_generate(struct workload **out, const char *deployment,
                  const char *scenario, uint64_t seed)
{
    struct generator generator = {.deployment = find_deployment(deployment),
                                  .scenario = find_scenario(scenario)};

    if (!generator.deployment || !generator.scenario)
        return cs_error_set(CS_E_NOT_FOUND, "unknown deployment or scenario");
    cs_random_init(&generator.random, seed);
    generator.workload = workload_create();
    g_strlcpy(generator.workload->deployment, deployment,
              sizeof(generator.workload->deployment));
    g_strlcpy(generator.workload->scenario, scenario,
              sizeof(generator.workload->scenario));
    generator.workload->settings.grace_us = 30 * SECOND_US;
    generator.workload->settings.wait_bound_us = 1800 * SECOND_US;
    generator.workload->settings.completion_weight =
        generator.deployment->completion_weight;
    generator.workload->settings.fragmentation_weight =
        generator.deployment->fragmentation_weight;
    add_workers_and_organisations(&generator);
    add_steady_jobs(&generator);
    add_burst(&generator, 2 * HOUR_S, generator.scenario->small_jobs, false);
    add_burst(&generator, 2 * HOUR_S + 60, generator.scenario->large_jobs,
              true);
    if (generator.scenario->claims)
        add_guaranteed_jobs(&generator);
    if (generator.scenario->bad_workers)
        add_worker_failures(&generator);
    g_array_sort(generator.workload->events, compare_events);
    *out = generator.workload;
    return 0;
}
