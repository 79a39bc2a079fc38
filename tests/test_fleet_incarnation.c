/* Workers that crash and return with the same id and address, in a simulated
   deployment on a virtual clock. */
#include "fake_fleet.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

/* Workers without tasks get no heartbeats; after this time their last answer
   is older than a lease. */
#define IDLE_US (10 * CS_SEC_US)
#define SECOND_JOB_ID "0000000000000002"
/* The interval in which a holder reads the entries of workers, in steps
   shorter than a tick. */
#define SUBMIT_DELAY_MAX_MS 400
#define SUBMIT_DELAY_STEP_MS 10

/* Lets all workers crash and return, and submits a job some time later. */
static void
submit_after_crash(int64_t delay_ms, bool gang)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 3, .racks = 1, .seed = 1, .call_us = 100};
    fake_fleet *deployment = fake_fleet_create(&settings);
    fake_job job;
    int32_t reply;
    uint32_t i;

    fake_fleet_run(deployment, IDLE_US);
    for (i = 0; i < settings.workers; i++)
        fake_fleet_crash_worker(deployment, i, 100 * CS_MS_US);
    fake_fleet_run(deployment, delay_ms * CS_MS_US);
    fake_job_init(&job, 1, 0, 8, 1, 2000);
    job.spec.steps[0].gang = gang;
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 8 * CS_SEC_US);
    if (fake_fleet_violation(deployment))
        fail_msg("submitted %d ms after the crash: %s", (int)delay_ms,
                 fake_fleet_violation(deployment));
    /* A task that is held for its listed run would start again later. */
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     8);
    assert_int_equal(fake_fleet_job_state(deployment, "0000000000000001"),
                     CS_PROGRESS_COMPLETED);
    fake_fleet_destroy(deployment);
}

static void
submit_at_any_time_after_crash(bool gang)
{
    int64_t delay_ms;

    for (delay_ms = 0; delay_ms <= SUBMIT_DELAY_MAX_MS;
         delay_ms += SUBMIT_DELAY_STEP_MS)
        submit_after_crash(delay_ms, gang);
}

/*
 * Guards against tasks that run twice because an idle worker has started anew
 * while their runs were recorded: its lease was taken for ended before the
 * starts arrived.
 */
static void
incarnation__worker_reborn_before_a_start_runs_tasks_once(void **state)
{
    submit_at_any_time_after_crash(false);
}

/* The same for a gang, of which no member may start without the others. */
static void
incarnation__worker_reborn_before_a_start_runs_a_gang_once(void **state)
{
    submit_at_any_time_after_crash(true);
}

/*
 * Guards against a heartbeat that a worker carries out after it has started
 * anew: it acknowledged ends by the numbers of the former incarnation, the
 * worker forgot results that were not recorded, and their tasks ran again.
 */
static void
incarnation__late_heartbeat_acknowledges_no_end_of_the_next_one(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 2, .racks = 1, .seed = 3};
    fake_vm_faults late = {.late_orders_share = 1};
    fake_vm_faults none = {0};
    fake_fleet *deployment = fake_fleet_create(&settings);
    uint32_t number = 3;
    fake_job job;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_job_init(&job, 1, 2, 16, 1, 200);
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, CS_SEC_US);
    /* Each worker has tasks, so that heartbeats are sent while it is down. */
    fake_job_init(&job, 2, 2, 4, 4, 30000);
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, CS_SEC_US);
    fake_fleet_crash_worker(deployment, 0, 2 * CS_SEC_US);
    fake_fleet_run(deployment, 300 * CS_MS_US);
    fake_fleet_set_faults(deployment, -1, &late);
    fake_fleet_run(deployment, CS_SEC_US);
    fake_fleet_set_faults(deployment, -1, &none);
    fake_fleet_run(deployment, CS_SEC_US);
    /* Most of the time there are ends that are not recorded yet. */
    fake_fleet_set_store_delay(deployment, 150 * CS_MS_US);
    for (; number < 20; number++) {
        fake_job_init(&job, number, 0, 4, 1, 300);
        fake_fleet_submit(deployment, 0, &job, NULL);
        fake_fleet_run(deployment, 700 * CS_MS_US);
    }
    if (fake_fleet_violation(deployment))
        fail_msg("%s", fake_fleet_violation(deployment));
    fake_fleet_destroy(deployment);
}

/* Runs a job, lets all workers crash while they are idle, and submits a second
   job with short tasks before the holder has read the new entries. */
static bool
run_short_tasks_after_crash(int64_t delay_ms, int64_t run_ms)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 3, .racks = 1, .seed = 1, .call_us = 100};
    fake_fleet *deployment = fake_fleet_create(&settings);
    bool violated;
    fake_job job;
    uint32_t i;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_job_init(&job, 1, 0, 24, 1, 500);
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, IDLE_US);
    for (i = 0; i < settings.workers; i++)
        fake_fleet_crash_worker(deployment, i, 20 * CS_MS_US);
    fake_fleet_run(deployment, delay_ms * CS_MS_US);
    fake_job_init(&job, 2, 0, 6, 1, run_ms);
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, 8 * CS_SEC_US);
    violated = fake_fleet_violation(deployment) != NULL;
    if (violated)
        print_message("delay %d ms, run time %d ms: %s\n", (int)delay_ms,
                      (int)run_ms, fake_fleet_violation(deployment));
    fake_fleet_destroy(deployment);
    return violated;
}

/*
 * Guards against ends that a worker forgets unread: the first heartbeat to a
 * worker that has started anew acknowledges the numbers of its former
 * incarnation.
 */
static void
incarnation__ends_of_a_new_incarnation_are_not_acknowledged_unread(
    void **state)
{
    uint32_t violations = 0;
    int64_t delay_ms;
    int64_t run_ms;

    for (run_ms = 1; run_ms <= 41; run_ms += 10) {
        for (delay_ms = 20; delay_ms <= 420; delay_ms += 20)
            violations += run_short_tasks_after_crash(delay_ms, run_ms);
    }
    assert_int_equal(violations, 0);
}

/*
 * The same for tasks of the usual length: the entries of workers are not read
 * for some seconds, and no order reaches a worker after the starts.
 */
static void
incarnation__ends_are_not_acknowledged_unread_after_a_cut(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 3, .racks = 1, .seed = 1, .call_us = 100};
    fake_fleet *deployment = fake_fleet_create(&settings);
    fake_vm_faults cut = {.workers_unreachable = true};
    fake_vm_faults none = {0};
    fake_job job;
    uint32_t i;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_job_init(&job, 1, 0, 24, 1, 500);
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, IDLE_US);
    fake_fleet_set_store_lag(deployment, -1, "servers", 5 * CS_SEC_US);
    for (i = 0; i < settings.workers; i++)
        fake_fleet_crash_worker(deployment, i, 20 * CS_MS_US);
    fake_fleet_run(deployment, 100 * CS_MS_US);
    fake_job_init(&job, 2, 0, 6, 1, 2500);
    fake_fleet_submit(deployment, 0, &job, NULL);
    while (fake_fleet_start_count(deployment, SECOND_JOB_ID) < 6)
        fake_fleet_run(deployment, CS_MS_US);
    fake_fleet_set_faults(deployment, -1, &cut);
    fake_fleet_run(deployment, 2600 * CS_MS_US);
    fake_fleet_set_faults(deployment, -1, &none);
    fake_fleet_run(deployment, 12 * CS_SEC_US);
    if (fake_fleet_violation(deployment))
        fail_msg("%s", fake_fleet_violation(deployment));
    fake_fleet_destroy(deployment);
}

/*
 * Guards against a run that begins beside the next one: its start is carried
 * out late, by an incarnation of the worker that does not know the stop that
 * another one has confirmed.
 */
static void
incarnation__late_start_on_a_newer_incarnation_runs_tasks_once(void **state)
{
    fake_vm_faults late = {.late_orders_share = 1};
    fake_vm_faults none = {0};
    uint32_t violations = 0;
    uint64_t seed;

    for (seed = 1; seed <= 10; seed++) {
        fake_fleet_settings settings = {
            .vms = 4, .workers = 3, .racks = 1, .seed = seed, .call_us = 100};
        fake_fleet *deployment = fake_fleet_create(&settings);
        fake_job job;
        uint32_t i;

        fake_fleet_run(deployment, IDLE_US);
        for (i = 0; i < settings.workers; i++)
            fake_fleet_crash_worker(deployment, i, 300 * CS_MS_US);
        fake_fleet_run(deployment, 20 * CS_MS_US);
        fake_fleet_set_faults(deployment, -1, &late);
        fake_job_init(&job, 1, 0, 8, 1, 20000);
        fake_fleet_submit(deployment, 0, &job, NULL);
        fake_fleet_run(deployment, 150 * CS_MS_US);
        fake_fleet_set_faults(deployment, -1, &none);
        fake_fleet_run(deployment, 3500 * CS_MS_US);
        for (i = 0; i < settings.workers; i++)
            fake_fleet_crash_worker(deployment, i, 100 * CS_MS_US);
        fake_fleet_run(deployment, 15 * CS_SEC_US);
        violations += fake_fleet_violation(deployment) != NULL;
        if (fake_fleet_violation(deployment))
            print_message("seed %d: %s\n", (int)seed,
                          fake_fleet_violation(deployment));
        fake_fleet_destroy(deployment);
    }
    assert_int_equal(violations, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            incarnation__worker_reborn_before_a_start_runs_tasks_once),
        cmocka_unit_test(
            incarnation__worker_reborn_before_a_start_runs_a_gang_once),
        cmocka_unit_test(
            incarnation__late_heartbeat_acknowledges_no_end_of_the_next_one),
        cmocka_unit_test(
            incarnation__ends_of_a_new_incarnation_are_not_acknowledged_unread),
        cmocka_unit_test(
            incarnation__ends_are_not_acknowledged_unread_after_a_cut),
        cmocka_unit_test(
            incarnation__late_start_on_a_newer_incarnation_runs_tasks_once),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
