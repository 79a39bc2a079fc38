/*
 * Preemption by gain: a load of urgent gangs and single tasks on full workers,
 * decided with the module alone, and failures in a simulated deployment. The
 * bounds are those of docs/design/heavy-load.md, part 6.
 */
#include "fake_fleet.h"
#include "corianderstair/preempt_gain.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* The load of deployment B on a thirtieth of its workers, with more single
   tasks than fit. */
#define WORKERS 12
#define WORKER_MILLI 128000
#define TICKS 3000
#define SEEDS 3
#define URGENT_TASKS 5

/* Urgent gangs and single tasks, with the objectives of the queues of the
   simulated deployments. */
static const struct kind {
    uint32_t tasks;
    double cores;
    double run_s;
    double objective_s;
} single = {1, 11, 7.6, 3.0 * 7.6 + 3.0},
  urgent = {URGENT_TASKS, 15, 2.5, 1.5 * 2.5 + 0.25};

typedef enum { RULE_NEVER, RULE_FIXED, RULE_GAIN } rule;
typedef enum { WAITING, RUNNING, STOPPING, DONE } run_state;

/* An urgent gang, or a single task, whose only worker is the first. */
struct run {
    const struct kind *kind;
    run_state state;
    double accepted_s;
    double start_s;
    double left_s;  /* work to do from start_s on */
    double freed_s; /* when it ends or its stop has taken effect */
    double reserved_until_s;
    cs_preempt_record record;
    uint32_t workers[URGENT_TASKS];
};

struct load {
    cs_binpack_worker workers[WORKERS];
    cs_binpack_cell cell;
    GArray *runs; /* of struct run */
    double now_s;
    rule rule;
    uint32_t stops;
    double lost;         /* core-seconds */
    double value;        /* core-seconds of runs that met their objective */
    uint32_t urgent_met; /* urgent jobs that met it */
};

static const cs_preempt_costs costs = {.stop_s = 0.9, .restore_s = 0.6};

static cs_demand
run_demand(const struct run *run)
{
    cs_demand demand = {.cpu_milli = (int64_t)(1000 * run->kind->cores)};

    return demand;
}

/* Returns the time from now until a run has to end to count in full. */
static double
objective_s(const struct load *load, const struct run *run)
{
    return run->accepted_s + run->kind->objective_s - load->now_s;
}

/* Takes a run's capacity from the workers, or gives it back. */
static void
take(struct load *load, const struct run *run, bool back)
{
    int64_t demand = run_demand(run).cpu_milli;
    uint32_t i;

    for (i = 0; i < run->kind->tasks; i++)
        load->workers[run->workers[i]].free.cpu_milli +=
            back ? demand : -demand;
}

static cs_preempt_victim
make_victim(const struct load *load, const struct run *run)
{
    double run_s = load->now_s - run->start_s;
    cs_preempt_victim victim = {.cores = single.cores,
                                .run_s = run_s,
                                .expected_run_s = single.run_s,
                                .remaining_s = run->left_s - run_s,
                                .objective_s = objective_s(load, run),
                                .checkpoint = true,
                                .restarts = run->record.stops};

    victim.counted_until_s = victim.objective_s + 2 * single.objective_s;
    return victim;
}

static gint
compare_ends(gconstpointer a, gconstpointer b)
{
    const cs_preempt_end *first = a;

    return first->end_s < ((const cs_preempt_end *)b)->end_s ? -1 : 1;
}

static double
estimate_wait_s(struct load *load, const cs_binpack_request *request)
{
    GArray *ends = g_array_new(FALSE, FALSE, sizeof(cs_preempt_end));
    uint32_t workers[URGENT_TASKS];
    double wait_s;
    guint i;
    uint32_t k;

    for (i = 0; i < load->runs->len; i++) {
        const struct run *run = &g_array_index(load->runs, struct run, i);

        if (run->state != RUNNING && run->state != STOPPING)
            continue;
        for (k = 0; k < run->kind->tasks; k++) {
            cs_preempt_end end = {run->workers[k], run_demand(run),
                                  run->freed_s - load->now_s};

            g_array_append_val(ends, end);
        }
    }
    g_array_sort(ends, compare_ends);
    wait_s = cs_preempt_wait_s(workers, &load->cell, request,
                               (const cs_preempt_end *)(void *)ends->data,
                               ends->len, NULL, 0);
    g_array_free(ends, TRUE);
    return wait_s;
}

/* Stops single tasks for an urgent gang if the rule says so. */
static void
preempt(struct load *load, struct run *gang, const cs_binpack_request *request)
{
    cs_preempt_claim claim = {.cores = URGENT_TASKS * urgent.cores,
                              .run_s = urgent.run_s,
                              .age_s = load->now_s - gang->accepted_s,
                              .objective_s = objective_s(load, gang),
                              .counted_until_s = objective_s(load, gang) +
                                                 2 * urgent.objective_s};
    GArray *victims = g_array_new(FALSE, FALSE, sizeof(cs_binpack_victim));
    uint32_t *groups = g_new(uint32_t, load->runs->len + 1);
    double *losses = g_new0(double, load->runs->len + 1);
    double wait_s = estimate_wait_s(load, request);
    double gain = cs_preempt_gain(&claim, &costs, wait_s);
    bool fixed = load->rule == RULE_FIXED;
    double loss = 0;
    int32_t count = -1;
    int32_t k;
    guint i;

    for (i = 0; i < load->runs->len; i++) {
        const struct run *run = &g_array_index(load->runs, struct run, i);
        cs_preempt_victim state = make_victim(load, run);
        cs_binpack_victim victim = {
            .worker = run->workers[0], .group = i, .demand = run_demand(run)};

        if (run->kind == &urgent || run->state != RUNNING)
            continue;
        victim.loss = fixed ? MIN(state.run_s, costs.restore_s) * single.cores
                            : cs_preempt_loss(&state, &costs, wait_s);
        losses[i] = victim.loss;
        if (fixed || (!cs_preempt_ends_first(&state, &costs) &&
                      cs_preempt_may_repeat(&run->record, single.run_s,
                                            (int64_t)(run->start_s * 1e6),
                                            (int64_t)(load->now_s * 1e6))))
            g_array_append_val(victims, victim);
    }
    if (fixed || !cs_preempt_judge_wait(&claim, &costs, wait_s))
        count = cs_binpack_preempt(
            groups, gang->workers, &load->cell, request,
            (const cs_binpack_victim *)(void *)victims->data, victims->len);
    for (k = 0; k < count; k++)
        loss += losses[groups[k]];
    if (fixed ? claim.objective_s < urgent.run_s || loss > 500
              : cs_preempt_judge_loss(&claim, loss, loss, gain) !=
                    CS_PREEMPT_STOP)
        count = 0;
    for (k = 0; k < count; k++) {
        struct run *run = &g_array_index(load->runs, struct run, groups[k]);

        run->left_s += run->start_s - load->now_s + costs.restore_s;
        run->state = STOPPING;
        run->freed_s = load->now_s + costs.stop_s;
        run->record.stops++;
        run->record.stopped_us = (int64_t)(load->now_s * 1e6);
        load->stops++;
        load->lost += costs.restore_s * single.cores;
    }
    if (count > 0) {
        gang->reserved_until_s = load->now_s + 2.5;
        take(load, gang, false);
    }
    g_free(groups);
    g_free(losses);
    g_array_free(victims, TRUE);
}

static void
schedule(struct load *load, struct run *run)
{
    cs_binpack_request request = {.demand = run_demand(run),
                                  .count = run->kind->tasks,
                                  .all_or_nothing = true,
                                  .data_rack = CS_BINPACK_ANY,
                                  .first_reserved_rack = 1,
                                  .avoided_worker = CS_BINPACK_ANY};
    uint32_t workers[URGENT_TASKS];

    if (run->reserved_until_s > 0)
        take(load, run, true);
    if (cs_binpack_place(workers, &load->cell, &request) > 0) {
        memcpy(run->workers, workers, sizeof(workers));
        run->state = RUNNING;
        run->start_s = load->now_s;
        run->freed_s = load->now_s + run->left_s;
        run->reserved_until_s = 0;
    }
    else if (run->reserved_until_s > load->now_s) {
        take(load, run, false);
    }
    else if (run->kind == &urgent && load->rule != RULE_NEVER) {
        run->reserved_until_s = 0;
        preempt(load, run, &request);
    }
}

static void
advance(struct load *load, struct run *run)
{
    if (run->state == RUNNING && load->now_s >= run->freed_s) {
        run->state = DONE;
        take(load, run, true);
        if (objective_s(load, run) >= 0) {
            load->urgent_met += run->kind == &urgent;
            load->value +=
                run->kind->tasks * run->kind->cores * run->kind->run_s;
        }
    }
    if (run->state == STOPPING && load->now_s >= run->freed_s) {
        run->state = WAITING;
        take(load, run, true);
    }
}

static void
submit(struct load *load, const struct kind *kind, uint32_t count)
{
    struct run run = {
        .kind = kind, .accepted_s = load->now_s, .left_s = kind->run_s};

    while (count-- > 0)
        g_array_append_val(load->runs, run);
}

static void
run_load(struct load *load, rule decided_by, uint32_t seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    cs_binpack_worker worker = {.free.cpu_milli = WORKER_MILLI,
                                .capacity.cpu_milli = WORKER_MILLI,
                                .speed = 1,
                                .usable = true};
    guint pass;
    guint i;
    int tick;

    memset(load, 0, sizeof(*load));
    load->rule = decided_by;
    for (i = 0; i < WORKERS; i++)
        load->workers[i] = worker;
    load->cell.workers = load->workers;
    load->cell.worker_count = WORKERS;
    load->cell.rack_count = 1;
    cs_binpack_cell_index(&load->cell);
    load->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
    for (tick = 0; tick < TICKS; tick++) {
        load->now_s = tick * 0.1;
        if (g_rand_double(random) < 0.07)
            submit(load, &urgent, 1);
        if (g_rand_double(random) < 0.045)
            submit(load, &single, 39);
        for (i = 0; i < load->runs->len; i++)
            advance(load, &g_array_index(load->runs, struct run, i));
        /* Urgent gangs go first. */
        for (pass = 0; pass < 2; pass++) {
            for (i = 0; i < load->runs->len; i++) {
                struct run *run = &g_array_index(load->runs, struct run, i);

                if (run->state == WAITING &&
                    (run->kind == &urgent) == (pass == 0))
                    schedule(load, run);
            }
        }
    }
    cs_binpack_cell_unindex(&load->cell);
    g_array_free(load->runs, TRUE);
    g_rand_free(random);
}

/* Guards against stops that cost more than they help, as with a fixed limit of
   the loss, and against urgent work that is no longer helped at all. */
static void
preempt_gain__stops_for_urgent_gangs_pay(void **state)
{
    struct load loads[3]; /* by rule */
    const struct load *never = &loads[RULE_NEVER];
    const struct load *fixed = &loads[RULE_FIXED];
    const struct load *gain = &loads[RULE_GAIN];
    uint32_t seed;
    int i;

    for (seed = 1; seed <= SEEDS; seed++) {
        for (i = RULE_NEVER; i <= RULE_GAIN; i++)
            run_load(&loads[i], (rule)i, seed);
        assert_true(gain->urgent_met > never->urgent_met);
        assert_true(gain->stops < fixed->stops && gain->lost < fixed->lost);
        assert_true(gain->value - gain->lost > fixed->value - fixed->lost);
    }
}

/* Guards against a fourth stop and one within the expected run time. */
static void
preempt_gain__repeated_stops_are_limited(void **state)
{
    cs_preempt_record record = {.stops = 1, .stopped_us = 10 * CS_SEC_US};

    assert_false(cs_preempt_may_repeat(&record, 8, 0, 17 * CS_SEC_US));
    assert_false(
        cs_preempt_may_repeat(&record, 8, 12 * CS_SEC_US, 19 * CS_SEC_US));
    assert_true(
        cs_preempt_may_repeat(&record, 8, 12 * CS_SEC_US, 20 * CS_SEC_US));
    record.stops = 3;
    assert_false(cs_preempt_may_repeat(&record, 8, 0, 900 * CS_SEC_US));
}

/* Guards against a loss that disregards what a stop costs the victim. */
static void
preempt_gain__loss_counts_width_restarts_objective(void **state)
{
    cs_preempt_victim victim = {
        .cores = 10, .run_s = 4, .expected_run_s = 8, .remaining_s = 4};
    double loss;

    victim.objective_s = 60;
    victim.counted_until_s = 180;
    loss = cs_preempt_loss(&victim, &costs, 1);
    assert_true(loss >= 45);
    victim.restarts = 1;
    assert_true(cs_preempt_loss(&victim, &costs, 1) > loss);
    victim.restarts = 0;
    victim.cores = 20;
    assert_true(cs_preempt_loss(&victim, &costs, 1) >= 2 * loss);
    victim.objective_s = 5;
    assert_true(cs_preempt_loss(&victim, &costs, 1) >= 2 * loss + 160);
    victim.objective_s = 60;
    victim.checkpoint = true;
    assert_true(cs_preempt_loss(&victim, &costs, 1) <= loss);
}

/* Guards against stops for jobs that no longer count and for capacity that
   becomes free as soon as a stop would take effect. */
static void
preempt_gain__late_or_slow_stop_gains_nothing(void **state)
{
    cs_preempt_claim claim = {.cores = 10, .run_s = 2, .age_s = 1};

    claim.objective_s = 3.5;
    claim.counted_until_s = 10;
    assert_true(cs_preempt_gain(&claim, &costs, 0.9) == 0);
    assert_true(cs_preempt_gain(&claim, &costs, 1.2) < 20);
    assert_true(cs_preempt_gain(&claim, &costs, 5) == 20);
    claim.counted_until_s = 2.5;
    assert_true(cs_preempt_gain(&claim, &costs, INFINITY) == 0);
}

static fake_fleet *
create_deployment(void)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 16, .racks = 2, .seed = 4};
    fake_fleet *deployment = fake_fleet_create(&settings);

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), -1);
    return deployment;
}

static void
submit_job(fake_fleet *deployment, uint32_t number, uint32_t queue,
           uint32_t tasks, int64_t accelerators, int64_t run_ms, bool gang)
{
    fake_job job;

    fake_job_init(&job, number, queue, tasks, accelerators, run_ms);
    job.spec.steps[0].gang = gang;
    job.spec.steps[0].checkpoint = queue == 2 && !gang && tasks > 1;
    fake_fleet_submit(deployment, 0, &job, NULL);
}

static int64_t
count_preemptions(const fake_fleet *deployment)
{
    return fake_fleet_counter(deployment,
                              (uint32_t)fake_fleet_holder(deployment),
                              "cs_preemptions_total");
}

static uint32_t
start_count(const fake_fleet *deployment, uint32_t number)
{
    char id[CS_JOB_ID_BYTES];

    g_snprintf(id, sizeof(id), "%016x", number);
    return fake_fleet_start_count(deployment, id);
}

static void
expect_starts(const fake_fleet *deployment, uint32_t number, uint32_t count)
{
    assert_int_equal(start_count(deployment, number), count);
}

static void
end_test(fake_fleet *deployment)
{
    if (fake_fleet_violation(deployment))
        fail_msg("%s", fake_fleet_violation(deployment));
    fake_fleet_destroy(deployment);
}

/*
 * Fills half of the deployment with jobs of single tasks and the other half
 * with a job that uses up the guarantee of 64 accelerators, so that later jobs
 * are outside it.
 */
static fake_fleet *
create_full_deployment(uint32_t jobs, int64_t run_ms)
{
    fake_fleet *deployment = create_deployment();
    uint32_t i;

    for (i = 0; i < jobs; i++)
        submit_job(deployment, 10 + i, 2, 64 / jobs, 1, run_ms, false);
    fake_fleet_run(deployment, 500 * CS_MS_US);
    expect_starts(deployment, 0xa, 64 / jobs);
    submit_job(deployment, 1, 0, 8, 8, 300 * 1000, true);
    fake_fleet_run(deployment, 500 * CS_MS_US);
    expect_starts(deployment, 0x1, 8);
    return deployment;
}

/* Guards against a guaranteed claim that waits because of the loss or because
   the victim was stopped before. */
static void
preempt_gain__guaranteed_claim_keeps_its_bound(void **state)
{
    fake_fleet *deployment = create_deployment();

    submit_job(deployment, 1, 2, 16, 8, 300 * 1000, true);
    fake_fleet_run(deployment, 30 * CS_SEC_US);
    submit_job(deployment, 2, 0, 2, 8, 2000, true);
    fake_fleet_run(deployment, 2900 * CS_MS_US);
    expect_starts(deployment, 0x2, 2);
    fake_fleet_run(deployment, 12 * CS_SEC_US);
    expect_starts(deployment, 0x1, 32);
    submit_job(deployment, 3, 0, 2, 8, 2000, true);
    fake_fleet_run(deployment, 2900 * CS_MS_US);
    expect_starts(deployment, 0x3, 2);
    end_test(deployment);
}

/* Guards against singles that are stopped, restarted elsewhere and stopped
   again, also by a new holder. */
static void
preempt_gain__step_is_not_stopped_again_and_again(void **state)
{
    fake_fleet *deployment = create_full_deployment(1, 40 * 1000);
    uint32_t i;

    for (i = 0; i < 4; i++) {
        submit_job(deployment, 3 + i, 0, 2, 4, 8000, true);
        fake_fleet_run(deployment, 2 * CS_SEC_US);
    }
    assert_int_equal(count_preemptions(deployment), 1);
    fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                    30 * CS_SEC_US);
    fake_fleet_run(deployment, 6 * CS_SEC_US);
    submit_job(deployment, 9, 0, 2, 8, 8000, true);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    assert_int_equal(count_preemptions(deployment), 0);
    end_test(deployment);
}

/* Guards against a stop of much unsaved work for a short job, which a fixed
   limit of 500 core-seconds allowed. */
static void
preempt_gain__no_stop_if_loss_exceeds_gain(void **state)
{
    fake_fleet *deployment = create_full_deployment(64, 300 * 1000);

    fake_fleet_run(deployment, 20 * CS_SEC_US);
    submit_job(deployment, 2, 0, 1, 1, 2000, true);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    assert_int_equal(count_preemptions(deployment), 0);
    expect_starts(deployment, 0x2, 0);
    end_test(deployment);
}

/* Guards against stops of work that would have ended before the stop has taken
   effect. */
static void
preempt_gain__no_stop_just_before_end_of_victim(void **state)
{
    fake_fleet *deployment = create_full_deployment(1, 10 * 1000);

    fake_fleet_run(deployment, 8400 * CS_MS_US);
    submit_job(deployment, 3, 0, 2, 4, 2000, true);
    fake_fleet_run(deployment, 3250 * CS_MS_US);
    assert_int_equal(count_preemptions(deployment), 0);
    expect_starts(deployment, 0xa, 64);
    assert_int_equal(fake_fleet_job_state(deployment, "0000000000000003"),
                     CS_PROGRESS_COMPLETED);
    end_test(deployment);
}

/* Guards against capacity that stays reserved for a guaranteed claim on a
   worker that is cut off while it stops work, beyond the bound of the claim.
 */
static void
preempt_gain__claim_keeps_bound_if_worker_is_cut_off(void **state)
{
    uint32_t worker;
    uint32_t i;
    int64_t ms;

    for (worker = 0; worker < 16; worker++) {
        fake_fleet *deployment = create_deployment();

        /* Without checkpoints, so that the stop is only made when the bound
           requires it, 1.0 s after the acceptance. */
        for (i = 0; i < 16; i++)
            submit_job(deployment, 10 + i, 2, 1, 8, 300 * 1000, false);
        fake_fleet_run(deployment, 30 * CS_SEC_US);
        submit_job(deployment, 2, 0, 1, 8, 2000, true);
        for (ms = 0; count_preemptions(deployment) == 0; ms += 10)
            fake_fleet_run(deployment, 10 * CS_MS_US);
        assert_in_range(ms, 900, 1200);
        fake_fleet_set_worker_disconnected(deployment, worker, true);
        fake_fleet_run(deployment, (2900 - ms) * CS_MS_US);
        assert_true(start_count(deployment, 0x2) >= 1);
        end_test(deployment);
    }
}

/* Guards against guaranteed claims that no stop helps and that use up the
   searches of each cycle. */
static void
preempt_gain__claims_without_victims_delay_no_others(void **state)
{
    fake_fleet *deployment = create_deployment();
    uint32_t i;

    submit_job(deployment, 1, 2, 16, 8, 300 * 1000, false);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    for (i = 0; i < 5; i++)
        submit_job(deployment, 2 + i, 0, 1, 9, 60 * 1000, true);
    fake_fleet_run(deployment, 100 * CS_MS_US);
    submit_job(deployment, 9, 0, 2, 8, 2000, true);
    fake_fleet_run(deployment, 2900 * CS_MS_US);
    expect_starts(deployment, 0x9, 2);
    end_test(deployment);
}

/* Guards against a guaranteed claim that finds no victims because the bound on
   them is used up by work that may not be stopped. */
static void
preempt_gain__urgent_work_hides_no_victims(void **state)
{
    fake_fleet *deployment = create_deployment();
    fake_job job;

    fake_job_init(&job, 1, 0, 4096, 0, 300 * 1000);
    job.spec.steps[0].demand.cpu_milli = 1;
    job.spec.steps[0].demand.memory_mb = 1;
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    expect_starts(deployment, 0x1, 4096);
    submit_job(deployment, 2, 2, 16, 8, 300 * 1000, false);
    fake_fleet_run(deployment, 10 * CS_SEC_US);
    expect_starts(deployment, 0x2, 16);
    submit_job(deployment, 3, 0, 2, 8, 2000, true);
    fake_fleet_run(deployment, 2900 * CS_MS_US);
    expect_starts(deployment, 0x3, 2);
    end_test(deployment);
}

/* Guards against a guaranteed step that is no gang, part of which starts at
   once, and whose other tasks no stop is made for. */
static void
preempt_gain__partly_started_claim_keeps_its_bound(void **state)
{
    fake_fleet *deployment = create_deployment();

    submit_job(deployment, 1, 2, 15, 8, 300 * 1000, false);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    submit_job(deployment, 2, 0, 3, 8, 60 * 1000, false);
    fake_fleet_run(deployment, 2900 * CS_MS_US);
    expect_starts(deployment, 0x2, 3);
    end_test(deployment);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(preempt_gain__stops_for_urgent_gangs_pay),
        cmocka_unit_test(preempt_gain__repeated_stops_are_limited),
        cmocka_unit_test(preempt_gain__loss_counts_width_restarts_objective),
        cmocka_unit_test(preempt_gain__late_or_slow_stop_gains_nothing),
        cmocka_unit_test(preempt_gain__guaranteed_claim_keeps_its_bound),
        cmocka_unit_test(preempt_gain__step_is_not_stopped_again_and_again),
        cmocka_unit_test(preempt_gain__no_stop_if_loss_exceeds_gain),
        cmocka_unit_test(preempt_gain__no_stop_just_before_end_of_victim),
        cmocka_unit_test(preempt_gain__claim_keeps_bound_if_worker_is_cut_off),
        cmocka_unit_test(preempt_gain__urgent_work_hides_no_victims),
        cmocka_unit_test(preempt_gain__partly_started_claim_keeps_its_bound),
        cmocka_unit_test(preempt_gain__claims_without_victims_delay_no_others),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
