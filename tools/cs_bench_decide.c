/*
 * Times single scheduling cycles of both policies on cells of three sizes.
 * Prints one JSON object per cell and policy.
 */
#include "corianderstair/clock.h"
#include "corianderstair/random.h"
#include "corianderstair/sched.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define QUEUED_JOBS 10000
#define STEADY_ROUNDS 4000
#define GANG_ROUNDS 200
#define ORGANISATIONS 390
#define DECISIONS_MAX 64
#define RACK_WORKERS 8
#define WORKER_ACCELERATORS 8

struct cell {
    cs_sched *sched;
    cs_random random;
    uint32_t accelerators;
    GPtrArray *running; /* of cs_sched_job */
    int64_t now_us;
    GArray *samples_us; /* of double, microseconds */
};

static double
monotonic_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void
apply_decisions(struct cell *cell, const cs_decision *decisions,
                uint32_t count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (decisions[i].type == CS_DECIDE_START) {
            g_ptr_array_add(cell->running, decisions[i].job);
            continue;
        }
        g_ptr_array_remove_fast(cell->running, decisions[i].job);
        cs_sched_requeue(cell->sched, decisions[i].job, 0);
    }
}

/* Runs one scheduling cycle, applies its decisions and returns their number.
   The measured time excludes the application of the decisions. */
static uint32_t
run_cycle(struct cell *cell, bool timed)
{
    cs_decision decisions[DECISIONS_MAX];
    double start_us = monotonic_us();
    uint32_t count = cs_sched_run_cycle(cell->sched, decisions, DECISIONS_MAX,
                                        cell->now_us);
    double elapsed_us = monotonic_us() - start_us;

    if (timed)
        g_array_append_val(cell->samples_us, elapsed_us);
    apply_decisions(cell, decisions, count);
    return count;
}

static void
submit_job(struct cell *cell, uint32_t accelerators, cs_tier tier)
{
    cs_sched_request request = {
        .organisation =
            (uint32_t)cs_random_below(&cell->random, ORGANISATIONS),
        .class_id = accelerators,
        .tier = tier,
        .accelerators = accelerators,
        .declared_us =
            (int64_t)(1e6 * cs_random_exponential(&cell->random, 3600)) +
            CS_SEC_US,
        .submitted_us = cell->now_us,
        .checkpoint = cs_random_below(&cell->random, 2) == 0};
    cs_sched_job *job;

    cs_sched_submit(&job, cell->sched, &request);
}

static uint32_t
draw_size(struct cell *cell)
{
    static const uint32_t sizes[] = {1, 1, 1, 2, 2, 4, 4, 8, 8, 16, 32, 64};

    return sizes[cs_random_below(&cell->random, G_N_ELEMENTS(sizes))];
}

static struct cell
create_cell(uint32_t accelerators, cs_policy policy)
{
    cs_sched_settings settings = {.policy = policy,
                                  .grace_us = CS_SEC_US,
                                  .wait_bound_us = 3600 * CS_SEC_US,
                                  .completion_weight = 50,
                                  .fragmentation_weight = 50};
    struct cell cell = {.accelerators = accelerators,
                        .running = g_ptr_array_new(),
                        .samples_us =
                            g_array_new(FALSE, FALSE, sizeof(double)),
                        .sched = cs_sched_create(&settings)};
    uint32_t i;

    cs_random_init(&cell.random, 7);
    for (i = 0; i < accelerators / WORKER_ACCELERATORS; i++)
        cs_sched_set_usable(cell.sched,
                            cs_sched_add_worker(cell.sched, i / RACK_WORKERS,
                                                WORKER_ACCELERATORS),
                            true);
    for (i = 0; i < ORGANISATIONS; i++)
        cs_sched_add_organisation(cell.sched, 1);
    for (i = 0; i < QUEUED_JOBS + accelerators / 4; i++)
        submit_job(&cell, draw_size(&cell), CS_TIER_NORMAL);
    while (run_cycle(&cell, false) == DECISIONS_MAX)
        ;
    return cell;
}

static void
finish_random_job(struct cell *cell)
{
    uint32_t index;
    cs_sched_job *job;

    if (cell->running->len == 0)
        return;
    index = (uint32_t)cs_random_below(&cell->random, cell->running->len);
    job = g_ptr_array_index(cell->running, index);
    g_ptr_array_remove_index_fast(cell->running, index);
    cs_sched_release(cell->sched, job);
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;

    return left < right ? -1 : left > right;
}

static double
quantile(struct cell *cell, double fraction)
{
    GArray *samples = cell->samples_us;

    if (samples->len == 0)
        return 0;
    qsort(samples->data, samples->len, sizeof(double), compare_doubles);
    return g_array_index(samples, double,
                         (guint)(fraction * (samples->len - 1)));
}

/* In each round one job ends, one arrives and one scheduling cycle runs.
   Returns the decisions per second of the whole loop. */
static double
measure_steady_load(struct cell *cell)
{
    double start_us = monotonic_us();
    uint32_t decisions = 0;
    uint32_t i;

    for (i = 0; i < STEADY_ROUNDS; i++) {
        cell->now_us += 20000;
        finish_random_job(cell);
        submit_job(cell, draw_size(cell), CS_TIER_NORMAL);
        decisions += run_cycle(cell, true);
    }
    return (double)decisions * 1e6 / (monotonic_us() - start_us);
}

/* Submits gangs of 512 accelerators that can only start by preempting other
   jobs. Returns the 99th percentile of the scheduling cycle in microseconds,
   or -1 where the cell is too small for such a gang. */
static double
measure_preempting_gangs(struct cell *cell)
{
    uint32_t i;

    if (cell->accelerators < 1024)
        return -1;
    g_array_set_size(cell->samples_us, 0);
    for (i = 0; i < GANG_ROUNDS; i++) {
        cell->now_us += CS_SEC_US;
        submit_job(cell, 512, CS_TIER_URGENT);
        run_cycle(cell, true);
        run_cycle(cell, false);
        while (cell->running->len > cell->accelerators / 16)
            finish_random_job(cell);
    }
    return quantile(cell, 0.99);
}

static void
bench_cell(uint32_t accelerators, cs_policy policy)
{
    struct cell cell = create_cell(accelerators, policy);
    double decisions_per_s = measure_steady_load(&cell);
    double p50_us = quantile(&cell, 0.5);
    double p99_us = quantile(&cell, 0.99);
    double gang_p99_us = measure_preempting_gangs(&cell);

    printf("{\"bench\":\"decide\",\"policy\":\"%s\",\"accelerators\":%u,"
           "\"queued\":%u,\"decisions_per_s\":%.0f,\"p50_us\":%.1f,"
           "\"p99_us\":%.1f,\"gang512_p99_us\":",
           policy == CS_POLICY_BASELINE ? "baseline" : "current", accelerators,
           QUEUED_JOBS, decisions_per_s, p50_us, p99_us);
    if (gang_p99_us < 0)
        printf("null}\n");
    else
        printf("%.1f}\n", gang_p99_us);
    cs_sched_destroy(cell.sched);
    g_array_free(cell.samples_us, TRUE);
    g_ptr_array_free(cell.running, TRUE);
}

int
main(void)
{
    static const uint32_t cell_sizes[] = {400, 2000, 20000};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(cell_sizes); i++) {
        bench_cell(cell_sizes[i], CS_POLICY_BASELINE);
        bench_cell(cell_sizes[i], CS_POLICY_CURRENT);
    }
    return 0;
}
