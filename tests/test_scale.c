/* Large fleets on a virtual clock, where each call costs its VM time. */
#include "fake_fleet.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

/* Of a call over HTTP, and of a message between VMs, which carries many: from
   the processor time of a day on the users' bench over its calls. */
#define CALL_US 400
#define MESSAGE_US 40
#define DIRECT_MAX 150
/* Gangs that come at once before the day begins. */
#define BURST_JOBS 70
#define BURST_WIDTH 30
/* Then three times the tasks a second of the largest deployment so far. */
#define LOAD_MS 5000
#define LOAD_STEP_MS 100
#define LOAD_WIDTH 10
#define LOAD_JOBS 15
#define JOBS_OF_LOAD (LOAD_MS / LOAD_STEP_MS * LOAD_JOBS)

static const fake_fleet_settings large = {.vms = 147,
                                          .workers = 1100,
                                          .racks = 55,
                                          .seed = 1,
                                          .direct_max = DIRECT_MAX,
                                          .call_us = CALL_US,
                                          .message_us = MESSAGE_US,
                                          .cpu_milli = {500, 300, 90, 90}};

static fake_fleet *
world_new(const fake_fleet_settings *settings)
{
    fake_fleet *world = fake_fleet_create(settings);

    fake_fleet_run(world, 6 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(world), -1);
    return world;
}

static void
expect_no_violation(const fake_fleet *world)
{
    if (fake_fleet_violation(world))
        fail_msg("%s", fake_fleet_violation(world));
}

static void
submit(fake_fleet *world, uint32_t number, uint32_t width,
       int64_t accelerators, int64_t run_ms)
{
    fake_job job;

    fake_job_init(&job, number, 1, width, accelerators, run_ms);
    job.spec.steps[0].gang = true;
    fake_fleet_submit(world, number % large.vms, &job, NULL);
}

static void
submit_burst(fake_fleet *world)
{
    uint32_t i;

    for (i = 0; i < BURST_JOBS; i++)
        submit(world, 1 + i, BURST_WIDTH, 1, 5000);
}

static void
submit_load(fake_fleet *world)
{
    uint32_t number = BURST_JOBS;
    int64_t ms;
    uint32_t i;

    for (ms = 0; ms < LOAD_MS; ms += LOAD_STEP_MS) {
        for (i = 0; i < LOAD_JOBS; i++)
            submit(world, ++number, LOAD_WIDTH, 4, 700);
        fake_fleet_run(world, LOAD_STEP_MS * CS_MS_US);
    }
}

static uint32_t
count_completed(const fake_fleet *world)
{
    char id[CS_JOB_ID_BYTES];
    uint32_t count = 0;
    uint32_t i;

    for (i = 1; i <= BURST_JOBS + JOBS_OF_LOAD; i++) {
        g_snprintf(id, sizeof(id), "%016x", i);
        count += fake_fleet_state(world, id) == CS_PROGRESS_COMPLETED;
    }
    return count;
}

/*
 * One process that calls every worker falls behind in a burst of orders,
 * renews its lease too late, and its successors inherit the arrears.
 */
static void
scale__burst_of_gangs_takes_no_cell_away(void **state)
{
    fake_fleet *world = world_new(&large);
    uint32_t holder = (uint32_t)fake_fleet_holder(world);

    submit_burst(world);
    submit_load(world);
    fake_fleet_run(world, 6 * CS_SEC_US);
    assert_int_equal(fake_fleet_epoch(world, holder), 1);
    assert_int_equal(count_completed(world), BURST_JOBS + JOBS_OF_LOAD);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

static const fake_fleet_settings middle = {.vms = 24,
                                           .workers = 300,
                                           .racks = 15,
                                           .seed = 2,
                                           .direct_max = DIRECT_MAX,
                                           .call_us = CALL_US,
                                           .message_us = MESSAGE_US,
                                           .cpu_milli = {500, 300, 90}};

static void
submit_some(fake_fleet *world, uint32_t first, uint32_t count)
{
    fake_job job;
    uint32_t i;

    for (i = 0; i < count; i++) {
        fake_job_init(&job, first + i, 1, 8, 2, 1500);
        job.spec.steps[0].gang = i % 2 == 0;
        /* Weak VMs, which carry out no orders. */
        fake_fleet_submit(world, i % 2 ? 2 : 5, &job, NULL);
    }
}

static void
expect_completed(fake_fleet *world, uint32_t first, uint32_t count)
{
    char id[CS_JOB_ID_BYTES];
    uint32_t i;

    for (i = first; i < first + count; i++) {
        g_snprintf(id, sizeof(id), "%016x", i);
        assert_int_equal(fake_fleet_state(world, id), CS_PROGRESS_COMPLETED);
    }
    assert_true(fake_fleet_is_quiet(world));
    expect_no_violation(world);
}

/* A VM that carries out orders and is not the holder. */
static uint32_t
find_executor(const fake_fleet *world)
{
    int32_t holder = fake_fleet_holder(world);
    uint32_t vm;

    for (vm = 0; vm < middle.vms; vm++) {
        if ((int32_t)vm != holder &&
            fake_fleet_counter(world, vm, "cs_executor_orders_total") > 0)
            return vm;
    }
    fail_msg("no VM carries out orders");
    return 0;
}

static fake_fleet *
middle_world(uint64_t seed)
{
    fake_fleet_settings settings = middle;
    fake_fleet *world;

    settings.seed = seed;
    world = world_new(&settings);
    submit_some(world, 1, 40);
    fake_fleet_run(world, 700 * CS_MS_US);
    return world;
}

static void
scale__killed_executor_costs_no_job(void **state)
{
    fake_fleet *world = middle_world(2);

    fake_fleet_kill(world, find_executor(world), 4 * CS_SEC_US);
    submit_some(world, 41, 20);
    fake_fleet_run(world, 12 * CS_SEC_US);
    expect_completed(world, 1, 60);
    assert_int_equal(fake_fleet_epoch(world, 1), 1);
    fake_fleet_destroy(world);
}

/* An executor that is to stop says so: no order of its workers is lost. */
static void
scale__stopped_executor_loses_no_order(void **state)
{
    fake_fleet *world = middle_world(8);
    uint32_t holder = (uint32_t)fake_fleet_holder(world);

    fake_fleet_stop(world, find_executor(world));
    submit_some(world, 41, 20);
    fake_fleet_run(world, 12 * CS_SEC_US);
    expect_completed(world, 1, 60);
    assert_int_equal(
        fake_fleet_counter(world, holder, "cs_dispatch_lost_total"), 0);
    fake_fleet_destroy(world);
}

static void
scale__cut_executor_costs_no_job(void **state)
{
    static const fake_vm_faults cut = {.peers_cut = true};
    static const fake_vm_faults none = {0};
    fake_fleet *world = middle_world(3);
    int32_t vm = (int32_t)find_executor(world);

    fake_fleet_set_faults(world, vm, &cut);
    submit_some(world, 41, 20);
    fake_fleet_run(world, 3 * CS_SEC_US);
    fake_fleet_set_faults(world, vm, &none);
    submit_some(world, 61, 20);
    fake_fleet_run(world, 12 * CS_SEC_US);
    expect_completed(world, 1, 80);
    fake_fleet_destroy(world);
}

/* Its workers answer nobody's orders through it, but do so through others. */
static void
scale__executor_without_workers_is_passed_over(void **state)
{
    static const fake_vm_faults cut = {.workers_cut = true};
    fake_fleet *world = middle_world(4);

    fake_fleet_set_faults(world, (int32_t)find_executor(world), &cut);
    submit_some(world, 41, 20);
    fake_fleet_run(world, 16 * CS_SEC_US);
    expect_completed(world, 1, 60);
    fake_fleet_destroy(world);
}

static void
scale__frozen_executor_costs_no_job(void **state)
{
    fake_fleet *world = middle_world(5);

    fake_fleet_freeze(world, find_executor(world), 4 * CS_SEC_US);
    submit_some(world, 41, 20);
    fake_fleet_run(world, 14 * CS_SEC_US);
    expect_completed(world, 1, 60);
    fake_fleet_destroy(world);
}

static void
scale__holder_killed_in_a_burst_costs_no_job(void **state)
{
    fake_fleet *world = middle_world(6);
    uint32_t holder = (uint32_t)fake_fleet_holder(world);

    submit_some(world, 41, 40);
    fake_fleet_run(world, 100 * CS_MS_US);
    fake_fleet_kill(world, holder, 30 * CS_SEC_US);
    fake_fleet_run(world, 18 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(world), (int32_t)holder);
    expect_completed(world, 1, 80);
    fake_fleet_destroy(world);
}

/* The holder cannot reach any other VM: it calls the workers by itself. */
static void
scale__lonely_holder_calls_directly(void **state)
{
    static const fake_vm_faults cut = {.peers_cut = true};
    fake_fleet *world = middle_world(7);

    fake_fleet_set_faults(world, fake_fleet_holder(world), &cut);
    submit_some(world, 41, 10);
    fake_fleet_run(world, 16 * CS_SEC_US);
    expect_completed(world, 1, 50);
    fake_fleet_destroy(world);
}

/* The strongest VMs take the cell, and few VMs watch it closely. */
static void
scale__strong_vm_holds_the_cell(void **state)
{
    fake_fleet *world = world_new(&middle);
    int32_t first = fake_fleet_holder(world);
    int32_t second;

    assert_int_equal(first % 3, 0);
    fake_fleet_kill(world, (uint32_t)first, 60 * CS_SEC_US);
    fake_fleet_run(world, 4 * CS_SEC_US);
    second = fake_fleet_holder(world);
    assert_int_not_equal(second, -1);
    assert_int_equal(second % 3, 0);
    fake_fleet_destroy(world);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(scale__burst_of_gangs_takes_no_cell_away),
        cmocka_unit_test(scale__killed_executor_costs_no_job),
        cmocka_unit_test(scale__stopped_executor_loses_no_order),
        cmocka_unit_test(scale__cut_executor_costs_no_job),
        cmocka_unit_test(scale__executor_without_workers_is_passed_over),
        cmocka_unit_test(scale__frozen_executor_costs_no_job),
        cmocka_unit_test(scale__holder_killed_in_a_burst_costs_no_job),
        cmocka_unit_test(scale__lonely_holder_calls_directly),
        cmocka_unit_test(scale__strong_vm_holds_the_cell),
    };

    cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
