/*
 * Tests of the jobs that are told to wait, in a simulated deployment on a
 * virtual clock: those of which no task has begun on a worker, whatever orders
 * were sent for them.
 */
#include "harness.h"
#include "fake_fleet.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define VMS 4
#define WORKERS 16
#define JOBS 5
#define FIRST_JOB 0x10
#define QUEUE "q1"
/* What is told of a queue may be this old. */
#define AGE_MAX_US (2 * CS_SEC_US)

static void
set_unhealthy(fake_fleet *deployment, bool unhealthy)
{
    uint32_t i;

    for (i = 0; i < WORKERS; i++)
        fake_fleet_set_worker_unhealthy(deployment, i, unhealthy);
}

static fake_fleet *
create_deployment(void)
{
    fake_fleet_settings settings = {
        .vms = VMS, .workers = WORKERS, .racks = 2, .seed = 71};
    fake_fleet *deployment = fake_fleet_create(&settings);

    fake_fleet_run(deployment, 3 * CS_SEC_US);
    return deployment;
}

/* Submits jobs of one task to a VM that stays. */
static void
submit_jobs(fake_fleet *deployment, int64_t accelerators, int64_t run_ms)
{
    uint32_t vm = ((uint32_t)fake_fleet_holder(deployment) + 1) % VMS;
    uint32_t i;

    for (i = 0; i < JOBS; i++) {
        fake_job job;

        fake_job_init(&job, FIRST_JOB + i, 1, 1, accelerators, run_ms);
        fake_fleet_submit(deployment, vm, &job, NULL);
    }
}

static int32_t
job_state(const fake_fleet *deployment, uint32_t index)
{
    char id[17];

    g_snprintf(id, sizeof(id), "%016x", FIRST_JOB + index);
    return fake_fleet_job_state(deployment, id);
}

/* Fails unless all VMs, but one that is down, tell the number at each moment
   of a duration. */
static void
expect_waiting(fake_fleet *deployment, int32_t down_vm, uint32_t count,
               int64_t us)
{
    int64_t until_us = fake_fleet_now_us(deployment) + us;
    int32_t vm;

    while (fake_fleet_now_us(deployment) < until_us) {
        for (vm = 0; vm < VMS; vm++) {
            if (vm != down_vm)
                assert_int_equal(
                    fake_fleet_waiting_jobs(deployment, (uint32_t)vm, QUEUE),
                    count);
        }
        fake_fleet_run(deployment, 20 * CS_MS_US);
    }
}

static void
expect_all_completed(fake_fleet *deployment)
{
    uint32_t i;

    fake_fleet_run(deployment, 8 * CS_SEC_US);
    assert_null(fake_fleet_violation(deployment));
    for (i = 0; i < JOBS; i++)
        assert_int_equal(job_state(deployment, i), CS_PROGRESS_COMPLETED);
    expect_waiting(deployment, -1, 0, CS_MS_US);
    fake_fleet_destroy(deployment);
}

/* Guards against jobs that are not told to wait, and are shown as running,
   although workers have rejected all of their starts. */
static void
waiting_jobs__rejected_starts_begin_no_job(void **state)
{
    fake_fleet *deployment = create_deployment();
    uint32_t i;

    set_unhealthy(deployment, true);
    submit_jobs(deployment, 4, 2000);
    fake_fleet_run(deployment, AGE_MAX_US);
    expect_waiting(deployment, -1, JOBS, 3 * CS_SEC_US);
    for (i = 0; i < JOBS; i++)
        assert_true(job_state(deployment, i) <= CS_PROGRESS_RUNNING);
    set_unhealthy(deployment, false);
    expect_all_completed(deployment);
}

/* The same for the state that callers see between two attempts. */
static void
waiting_jobs__rejected_starts_show_no_running_job(void **state)
{
    fake_fleet *deployment = create_deployment();
    uint32_t queued = 0;
    uint32_t i;

    set_unhealthy(deployment, true);
    submit_jobs(deployment, 4, 2000);
    fake_fleet_run(deployment, AGE_MAX_US);
    for (i = 0; i < 100; i++) {
        fake_fleet_run(deployment, 10 * CS_MS_US);
        queued += job_state(deployment, 0) == CS_PROGRESS_QUEUED;
    }
    assert_true(queued > 50);
    set_unhealthy(deployment, false);
    expect_all_completed(deployment);
}

/* Guards against jobs that are not told to wait as their orders have got no
   answer, and were never carried out. */
static void
waiting_jobs__unreached_workers_begin_no_job(void **state)
{
    fake_fleet *deployment = create_deployment();
    fake_vm_faults cut = {.workers_unreachable = true};
    fake_vm_faults none = {0};

    fake_fleet_set_faults(deployment, -1, &cut);
    submit_jobs(deployment, 4, 2000);
    fake_fleet_run(deployment, AGE_MAX_US);
    expect_waiting(deployment, -1, JOBS, 3 * CS_SEC_US);
    fake_fleet_set_faults(deployment, -1, &none);
    fake_fleet_run(deployment, 6 * CS_SEC_US);
    expect_all_completed(deployment);
}

/* Guards against jobs that are told to wait while they are at work: the
   answers to their starts were lost. */
static void
waiting_jobs__listed_run_has_begun(void **state)
{
    fake_fleet *deployment = create_deployment();
    fake_vm_faults unanswered = {.unanswered_orders_share = 1};
    fake_vm_faults none = {0};

    fake_fleet_set_faults(deployment, -1, &unanswered);
    submit_jobs(deployment, 4, 6000);
    fake_fleet_run(deployment, 200 * CS_MS_US);
    fake_fleet_set_faults(deployment, -1, &none);
    fake_fleet_run(deployment, AGE_MAX_US);
    expect_waiting(deployment, -1, 0, 2 * CS_SEC_US);
    expect_all_completed(deployment);
}

/* Guards against a job that is told to wait again after its run has lapsed. */
static void
waiting_jobs__job_stays_begun_when_its_run_lapses(void **state)
{
    fake_fleet *deployment = create_deployment();
    uint32_t i;

    submit_jobs(deployment, 8, 2000);
    fake_fleet_run(deployment, AGE_MAX_US / 2);
    set_unhealthy(deployment, true);
    for (i = 0; i < WORKERS; i++)
        fake_fleet_crash_worker(deployment, i, 500 * CS_MS_US);
    fake_fleet_run(deployment, AGE_MAX_US);
    expect_waiting(deployment, -1, 0, 3 * CS_SEC_US);
    set_unhealthy(deployment, false);
    expect_all_completed(deployment);
}

/* Guards against a successor that takes each job with a recorded run for one
   that has begun. */
static void
waiting_jobs__successor_counts_jobs_whose_starts_were_rejected(void **state)
{
    fake_fleet *deployment = create_deployment();
    int32_t holder = fake_fleet_holder(deployment);

    set_unhealthy(deployment, true);
    submit_jobs(deployment, 4, 2000);
    fake_fleet_run(deployment, AGE_MAX_US);
    fake_fleet_kill(deployment, (uint32_t)holder, 60 * CS_SEC_US);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), -1);
    expect_waiting(deployment, holder, JOBS, 3 * CS_SEC_US);
    set_unhealthy(deployment, false);
    fake_fleet_run(deployment, 8 * CS_SEC_US);
    expect_waiting(deployment, holder, 0, CS_MS_US);
    assert_null(fake_fleet_violation(deployment));
    fake_fleet_destroy(deployment);
}

/* Guards against a queue full of running jobs that a successor tells to wait,
   before their workers have answered it or after. */
static void
waiting_jobs__successor_counts_no_running_job(void **state)
{
    int64_t kill_us;

    for (kill_us = 100 * CS_MS_US; kill_us <= 1500 * CS_MS_US;
         kill_us += 100 * CS_MS_US) {
        fake_fleet *deployment = create_deployment();
        int32_t holder = fake_fleet_holder(deployment);

        submit_jobs(deployment, 8, 20000);
        fake_fleet_run(deployment, 600 * CS_MS_US + kill_us);
        expect_waiting(deployment, -1, 0, CS_MS_US);
        fake_fleet_kill(deployment, (uint32_t)holder, 60 * CS_SEC_US);
        expect_waiting(deployment, holder, 0, 6 * CS_SEC_US);
        assert_int_not_equal(fake_fleet_holder(deployment), -1);
        assert_null(fake_fleet_violation(deployment));
        fake_fleet_destroy(deployment);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(waiting_jobs__rejected_starts_begin_no_job),
        cmocka_unit_test(waiting_jobs__rejected_starts_show_no_running_job),
        cmocka_unit_test(waiting_jobs__unreached_workers_begin_no_job),
        cmocka_unit_test(waiting_jobs__listed_run_has_begun),
        cmocka_unit_test(waiting_jobs__job_stays_begun_when_its_run_lapses),
        cmocka_unit_test(
            waiting_jobs__successor_counts_jobs_whose_starts_were_rejected),
        cmocka_unit_test(waiting_jobs__successor_counts_no_running_job),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
