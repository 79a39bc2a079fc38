/* Times single decisions of the policy on cells of three sizes. */
#include "corianderstair/clock.h"
#include "corianderstair/random.h"
#include "corianderstair/sched.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define QUEUED 10000
#define ROUNDS 4000
#define GANG_ROUNDS 200
#define ORGANISATIONS 390
#define DECISIONS 64
#define RACK 8
#define WORKER 8

struct cell {
    cs_sched *sched;
    cs_random random;
    uint32_t accelerators;
    GPtrArray *running; /* of cs_sched_job */
    int64_t now_us;
    GArray *samples; /* of double, microseconds */
};

static double
thread_us(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void
apply(struct cell *cell, const cs_decision *decisions, uint32_t count)
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

/* One timed turn. Returns its decisions. */
static uint32_t
turn(struct cell *cell, bool timed)
{
    cs_decision decisions[DECISIONS];
    double from_us = thread_us();
    uint32_t count =
        cs_sched_turn(cell->sched, decisions, DECISIONS, cell->now_us);
    double spent_us = thread_us() - from_us;

    if (timed)
        g_array_append_val(cell->samples, spent_us);
    apply(cell, decisions, count);
    return count;
}

static void
submit(struct cell *cell, uint32_t accelerators, cs_tier tier)
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
build(uint32_t accelerators, cs_policy policy)
{
    cs_sched_settings settings = {.policy = policy,
                                  .grace_us = CS_SEC_US,
                                  .wait_bound_us = 3600 * CS_SEC_US,
                                  .completion_weight = 50,
                                  .fragmentation_weight = 50};
    struct cell cell = {.accelerators = accelerators,
                        .running = g_ptr_array_new(),
                        .samples = g_array_new(FALSE, FALSE, sizeof(double)),
                        .sched = cs_sched_create(&settings)};
    uint32_t i;

    cs_random_init(&cell.random, 7);
    for (i = 0; i < accelerators / WORKER; i++)
        cs_sched_set_usable(cell.sched,
                            cs_sched_add_worker(cell.sched, i / RACK, WORKER),
                            true);
    for (i = 0; i < ORGANISATIONS; i++)
        cs_sched_add_organisation(cell.sched, 1);
    for (i = 0; i < QUEUED + accelerators / 4; i++)
        submit(&cell, draw_size(&cell), CS_TIER_NORMAL);
    while (turn(&cell, false) == DECISIONS)
        ;
    return cell;
}

static void
finish_one(struct cell *cell)
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
compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

static double
quantile(struct cell *cell, double q)
{
    GArray *s = cell->samples;

    if (s->len == 0)
        return 0;
    qsort(s->data, s->len, sizeof(double), compare);
    return g_array_index(s, double, (guint)(q * (s->len - 1)));
}

/* Each round: one job ends, one arrives, one turn decides. */
static double
run_rounds(struct cell *cell)
{
    double from_us = thread_us();
    uint32_t decisions = 0;
    uint32_t i;

    for (i = 0; i < ROUNDS; i++) {
        cell->now_us += 20000;
        finish_one(cell);
        submit(cell, draw_size(cell), CS_TIER_NORMAL);
        decisions += turn(cell, true);
    }
    return (double)decisions * 1e6 / (thread_us() - from_us);
}

/* A gang of 512 that has to find its place by stopping others. */
static double
run_gangs(struct cell *cell)
{
    uint32_t i;

    if (cell->accelerators < 1024)
        return -1;
    g_array_set_size(cell->samples, 0);
    for (i = 0; i < GANG_ROUNDS; i++) {
        cell->now_us += CS_SEC_US;
        submit(cell, 512, CS_TIER_URGENT);
        turn(cell, true);
        turn(cell, false);
        while (cell->running->len > cell->accelerators / 16)
            finish_one(cell);
    }
    return quantile(cell, 0.99);
}

static void
bench(uint32_t accelerators, cs_policy policy)
{
    struct cell cell = build(accelerators, policy);
    double rate = run_rounds(&cell);
    double p50_us = quantile(&cell, 0.5);
    double p99_us = quantile(&cell, 0.99);
    double gang_us = run_gangs(&cell);

    printf("{\"bench\":\"decide\",\"policy\":\"%s\",\"accelerators\":%u,"
           "\"queued\":%u,\"decisions_per_s\":%.0f,\"p50_us\":%.1f,"
           "\"p99_us\":%.1f,\"gang512_p99_us\":",
           policy == CS_POLICY_BASELINE ? "baseline" : "current", accelerators,
           QUEUED, rate, p50_us, p99_us);
    if (gang_us < 0)
        printf("null}\n");
    else
        printf("%.1f}\n", gang_us);
    cs_sched_destroy(cell.sched);
    g_array_free(cell.samples, TRUE);
    g_ptr_array_free(cell.running, TRUE);
}

int
main(void)
{
    static const uint32_t sizes[] = {400, 2000, 20000};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
        bench(sizes[i], CS_POLICY_BASELINE);
        bench(sizes[i], CS_POLICY_CURRENT);
    }
    return 0;
}
