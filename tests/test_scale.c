/* Large simulated fleets on a virtual clock. Each call and message costs the
   VM that makes it CPU time. */
#include "fake_fleet.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

/* CPU time of an HTTP call to a worker, and of a message between VMs, which
   carries many orders or answers. They follow from the CPU time of one
   day of a benchmark, divided by the number of its calls. */
#define CALL_US 400
#define MESSAGE_US 40
/* Number of workers up to which the holder calls them directly. */
#define DIRECT_MAX 150
/* Gang jobs that are submitted at once, before the steady load. */
#define BURST_JOBS 70
#define BURST_GANG_TASKS 30
/* The steady load: three times the tasks per second of the largest deployment
   so far. */
#define LOAD_MS 5000
#define LOAD_STEP_MS 100
#define LOAD_GANG_TASKS 10
#define LOAD_JOBS_PER_STEP 15
#define TOTAL_LOAD_JOBS (LOAD_MS / LOAD_STEP_MS * LOAD_JOBS_PER_STEP)

static const fake_fleet_settings large_fleet = {
    .vms = 147,
    .workers = 1100,
    .racks = 55,
    .seed = 1,
    .max_direct_workers = DIRECT_MAX,
    .call_us = CALL_US,
    .message_us = MESSAGE_US,
    .cpu_milli = {500, 300, 90, 90}};

static fake_fleet *
create_fleet(const fake_fleet_settings *settings)
{
    fake_fleet *fleet = fake_fleet_create(settings);

    fake_fleet_run(fleet, 6 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(fleet), -1);
    return fleet;
}

static void
expect_no_violation(const fake_fleet *fleet)
{
    if (fake_fleet_violation(fleet))
        fail_msg("%s", fake_fleet_violation(fleet));
}

static void
submit_gang_job(fake_fleet *fleet, uint32_t job_number, uint32_t task_count,
                int64_t accelerators, int64_t run_ms)
{
    fake_job job;

    fake_job_init(&job, job_number, 1, task_count, accelerators, run_ms);
    job.spec.steps[0].gang = true;
    fake_fleet_submit(fleet, job_number % large_fleet.vms, &job, NULL);
}

static void
submit_gang_burst(fake_fleet *fleet)
{
    uint32_t i;

    for (i = 0; i < BURST_JOBS; i++)
        submit_gang_job(fleet, 1 + i, BURST_GANG_TASKS, 1, 5000);
}

static void
submit_steady_load(fake_fleet *fleet)
{
    uint32_t job_number = BURST_JOBS;
    int64_t elapsed_ms;
    uint32_t i;

    for (elapsed_ms = 0; elapsed_ms < LOAD_MS; elapsed_ms += LOAD_STEP_MS) {
        for (i = 0; i < LOAD_JOBS_PER_STEP; i++)
            submit_gang_job(fleet, ++job_number, LOAD_GANG_TASKS, 4, 700);
        fake_fleet_run(fleet, LOAD_STEP_MS * CS_MS_US);
    }
}

static uint32_t
count_completed(const fake_fleet *fleet)
{
    char id[CS_JOB_ID_BYTES];
    uint32_t count = 0;
    uint32_t i;

    for (i = 1; i <= BURST_JOBS + TOTAL_LOAD_JOBS; i++) {
        g_snprintf(id, sizeof(id), "%016x", i);
        count += fake_fleet_job_state(fleet, id) == CS_PROGRESS_COMPLETED;
    }
    return count;
}

/*
 * A holder that calls every worker itself falls behind in a burst of orders
 * and renews its cell lease too late; the next holder inherits the backlog and
 * fails in the same way. With executors the first holder keeps the cell.
 */
static void
scale__burst_of_gangs_keeps_the_tenure(void **state)
{
    fake_fleet *fleet = create_fleet(&large_fleet);
    uint32_t holder = (uint32_t)fake_fleet_holder(fleet);

    submit_gang_burst(fleet);
    submit_steady_load(fleet);
    fake_fleet_run(fleet, 6 * CS_SEC_US);
    assert_int_equal(fake_fleet_epoch(fleet, holder), 1);
    assert_int_equal(count_completed(fleet), BURST_JOBS + TOTAL_LOAD_JOBS);
    expect_no_violation(fleet);
    fake_fleet_destroy(fleet);
}

static const fake_fleet_settings medium_fleet = {.vms = 24,
                                                 .workers = 300,
                                                 .racks = 15,
                                                 .seed = 2,
                                                 .max_direct_workers =
                                                     DIRECT_MAX,
                                                 .call_us = CALL_US,
                                                 .message_us = MESSAGE_US,
                                                 .cpu_milli = {500, 300, 90}};

static void
submit_jobs(fake_fleet *fleet, uint32_t first_job, uint32_t count)
{
    fake_job job;
    uint32_t i;

    for (i = 0; i < count; i++) {
        fake_job_init(&job, first_job + i, 1, 8, 2, 1500);
        job.spec.steps[0].gang = i % 2 == 0;
        /* These VMs are weak and therefore don't become executors. */
        fake_fleet_submit(fleet, i % 2 ? 2 : 5, &job, NULL);
    }
}

static void
expect_completed(fake_fleet *fleet, uint32_t first_job, uint32_t count)
{
    char id[CS_JOB_ID_BYTES];
    uint32_t i;

    for (i = first_job; i < first_job + count; i++) {
        g_snprintf(id, sizeof(id), "%016x", i);
        assert_int_equal(fake_fleet_job_state(fleet, id),
                         CS_PROGRESS_COMPLETED);
    }
    assert_true(fake_fleet_is_idle(fleet));
    expect_no_violation(fleet);
}

/* Returns a VM that has executed orders and isn't the holder. */
static uint32_t
find_executor(const fake_fleet *fleet)
{
    int32_t holder = fake_fleet_holder(fleet);
    uint32_t vm;

    for (vm = 0; vm < medium_fleet.vms; vm++) {
        if ((int32_t)vm != holder &&
            fake_fleet_counter(fleet, vm, "cs_executor_orders_total") > 0)
            return vm;
    }
    fail_msg("no VM has executed orders");
    return 0;
}

/* Creates a medium fleet whose executors have orders in progress. */
static fake_fleet *
create_busy_fleet(uint64_t seed)
{
    fake_fleet_settings settings = medium_fleet;
    fake_fleet *fleet;

    settings.seed = seed;
    fleet = create_fleet(&settings);
    submit_jobs(fleet, 1, 40);
    fake_fleet_run(fleet, 700 * CS_MS_US);
    return fleet;
}

static void
scale__killed_executor_costs_no_job(void **state)
{
    fake_fleet *fleet = create_busy_fleet(2);

    fake_fleet_kill(fleet, find_executor(fleet), 4 * CS_SEC_US);
    submit_jobs(fleet, 41, 20);
    fake_fleet_run(fleet, 12 * CS_SEC_US);
    expect_completed(fleet, 1, 60);
    assert_int_equal(fake_fleet_epoch(fleet, 1), 1);
    fake_fleet_destroy(fleet);
}

/* An executor that shuts down announces that it is draining, so no order
   through it is lost. */
static void
scale__stopped_executor_loses_no_order(void **state)
{
    fake_fleet *fleet = create_busy_fleet(8);
    uint32_t holder = (uint32_t)fake_fleet_holder(fleet);

    fake_fleet_stop(fleet, find_executor(fleet));
    submit_jobs(fleet, 41, 20);
    fake_fleet_run(fleet, 12 * CS_SEC_US);
    expect_completed(fleet, 1, 60);
    assert_int_equal(
        fake_fleet_counter(fleet, holder, "cs_dispatch_lost_total"), 0);
    fake_fleet_destroy(fleet);
}

static void
scale__partitioned_executor_costs_no_job(void **state)
{
    static const fake_vm_faults partition = {.peers_unreachable = true};
    static const fake_vm_faults no_faults = {0};
    fake_fleet *fleet = create_busy_fleet(3);
    int32_t vm = (int32_t)find_executor(fleet);

    fake_fleet_set_faults(fleet, vm, &partition);
    submit_jobs(fleet, 41, 20);
    fake_fleet_run(fleet, 3 * CS_SEC_US);
    fake_fleet_set_faults(fleet, vm, &no_faults);
    submit_jobs(fleet, 61, 20);
    fake_fleet_run(fleet, 12 * CS_SEC_US);
    expect_completed(fleet, 1, 80);
    fake_fleet_destroy(fleet);
}

/* The executor can reach its peers but no worker. Its workers are reached
   through other executors. */
static void
scale__executor_without_workers_is_avoided(void **state)
{
    static const fake_vm_faults partition = {.workers_unreachable = true};
    fake_fleet *fleet = create_busy_fleet(4);

    fake_fleet_set_faults(fleet, (int32_t)find_executor(fleet), &partition);
    submit_jobs(fleet, 41, 20);
    fake_fleet_run(fleet, 16 * CS_SEC_US);
    expect_completed(fleet, 1, 60);
    fake_fleet_destroy(fleet);
}

static void
scale__frozen_executor_costs_no_job(void **state)
{
    fake_fleet *fleet = create_busy_fleet(5);

    fake_fleet_freeze(fleet, find_executor(fleet), 4 * CS_SEC_US);
    submit_jobs(fleet, 41, 20);
    fake_fleet_run(fleet, 14 * CS_SEC_US);
    expect_completed(fleet, 1, 60);
    fake_fleet_destroy(fleet);
}

static void
scale__holder_killed_in_a_burst_costs_no_job(void **state)
{
    fake_fleet *fleet = create_busy_fleet(6);
    uint32_t holder = (uint32_t)fake_fleet_holder(fleet);

    submit_jobs(fleet, 41, 40);
    fake_fleet_run(fleet, 100 * CS_MS_US);
    fake_fleet_kill(fleet, holder, 30 * CS_SEC_US);
    fake_fleet_run(fleet, 18 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(fleet), (int32_t)holder);
    expect_completed(fleet, 1, 80);
    fake_fleet_destroy(fleet);
}

/* The holder cannot reach any other VM and falls back to direct calls. */
static void
scale__isolated_holder_calls_workers_directly(void **state)
{
    static const fake_vm_faults partition = {.peers_unreachable = true};
    fake_fleet *fleet = create_busy_fleet(7);

    fake_fleet_set_faults(fleet, fake_fleet_holder(fleet), &partition);
    submit_jobs(fleet, 41, 10);
    fake_fleet_run(fleet, 16 * CS_SEC_US);
    expect_completed(fleet, 1, 50);
    fake_fleet_destroy(fleet);
}

/* The strongest VMs acquire the cell, also in a takeover; only these few
   candidates poll the cell's lease often. Here that is every third VM. */
static void
scale__strongest_vms_take_the_cell(void **state)
{
    fake_fleet *fleet = create_fleet(&medium_fleet);
    int32_t first = fake_fleet_holder(fleet);
    int32_t second;

    assert_int_equal(first % 3, 0);
    fake_fleet_kill(fleet, (uint32_t)first, 60 * CS_SEC_US);
    fake_fleet_run(fleet, 4 * CS_SEC_US);
    second = fake_fleet_holder(fleet);
    assert_int_not_equal(second, -1);
    assert_int_equal(second % 3, 0);
    fake_fleet_destroy(fleet);
}

static bool
is_draining(const fake_fleet *fleet, size_t index)
{
    json_t *status =
        fake_fleet_status(fleet, (uint32_t)fake_fleet_holder(fleet));
    const json_t *workers = json_object_get(status, "workers");
    bool draining = json_is_true(
        json_object_get(json_array_get(workers, index), "draining"));

    json_decref(status);
    return draining;
}

/*
 * Guards against a feed of workers that falls behind without end, so that
 * tasks are started on workers that have announced long ago that they leave:
 * 400 workers write more rows between two polls than an answer holds.
 */
static void
scale__feed_of_workers_keeps_up(void **state)
{
    fake_fleet_settings settings = medium_fleet;
    fake_fleet *fleet;

    settings.workers = 400;
    settings.feed_rows_max = 50;
    fleet = create_fleet(&settings);
    fake_fleet_run(fleet, 20 * CS_SEC_US);
    fake_fleet_drain_worker(fleet, 0);
    /* The smallest drainMs. */
    fake_fleet_run(fleet, 2 * CS_SEC_US);
    assert_true(is_draining(fleet, 0));
    fake_fleet_destroy(fleet);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(scale__burst_of_gangs_keeps_the_tenure),
        cmocka_unit_test(scale__killed_executor_costs_no_job),
        cmocka_unit_test(scale__stopped_executor_loses_no_order),
        cmocka_unit_test(scale__partitioned_executor_costs_no_job),
        cmocka_unit_test(scale__executor_without_workers_is_avoided),
        cmocka_unit_test(scale__frozen_executor_costs_no_job),
        cmocka_unit_test(scale__holder_killed_in_a_burst_costs_no_job),
        cmocka_unit_test(scale__isolated_holder_calls_workers_directly),
        cmocka_unit_test(scale__feed_of_workers_keeps_up),
        cmocka_unit_test(scale__strongest_vms_take_the_cell),
    };

    cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
