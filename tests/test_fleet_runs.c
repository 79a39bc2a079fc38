/*
 * Tests of runs that workers list and that the holder of the cell does not
 * want there, in a simulated deployment on a virtual clock. Such a run stands
 * for whatever reason a holder may have to lose sight of a run.
 */
#include "harness.h"
#include "fake_fleet.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define WORKERS 16
/* An evacuation and its end are known to the holder by then. */
#define NOTICE_US (500 * CS_MS_US)
#define JOB "0000000000000002"
/* By then the leases of a silent worker have surely ended. */
#define LEASES_END_US (7 * CS_SEC_US)
/* By how much an order is late. */
#define LATE_US (9 * CS_SEC_US)

static void
evacuate_all(fake_fleet *deployment, bool evacuate)
{
    uint32_t zone;

    for (zone = 0; zone < FAKE_ZONES; zone++)
        fake_fleet_evacuate(deployment, zone, evacuate);
}

static void
submit(fake_fleet *deployment, uint32_t number, uint32_t tasks,
       int64_t accelerators, int64_t run_ms, bool gang)
{
    fake_job job;

    fake_job_init(&job, number, 1, tasks, accelerators, run_ms);
    job.spec.steps[0].gang = gang;
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, 200 * CS_MS_US);
}

/* Lets a job with a task on each worker run, so that all of them are waited on
   by heartbeats. */
static fake_fleet *
create_deployment(void)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = WORKERS, .racks = 2, .seed = 61};
    fake_fleet *deployment = fake_fleet_create(&settings);

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    submit(deployment, 1, WORKERS, 5, 60 * 1000, false);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     WORKERS);
    return deployment;
}

/* The same with a job of four tasks that waits until a zone is returned. */
static fake_fleet *
create_deployment_with_waiting_job(bool gang)
{
    fake_fleet *deployment = create_deployment();

    evacuate_all(deployment, true);
    fake_fleet_run(deployment, NOTICE_US);
    submit(deployment, 2, 4, 2, 2000, gang);
    assert_int_equal(fake_fleet_start_count(deployment, JOB), 0);
    return deployment;
}

static int64_t
holder_counter(const fake_fleet *deployment, const char *name)
{
    return fake_fleet_counter(deployment,
                              (uint32_t)fake_fleet_holder(deployment), name);
}

static void
expect_no_violation(const fake_fleet *deployment)
{
    if (fake_fleet_violation(deployment))
        fail_msg("%s", fake_fleet_violation(deployment));
}

static void
expect_completed(fake_fleet *deployment)
{
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    expect_no_violation(deployment);
    assert_int_equal(fake_fleet_job_state(deployment, JOB),
                     CS_PROGRESS_COMPLETED);
}

/* Returns the number of the newest run of a task as the holder knows it. */
static int64_t
newest_run(const fake_fleet *deployment, uint32_t index)
{
    json_t *job = fake_fleet_explain(
        deployment, (uint32_t)fake_fleet_holder(deployment), JOB);
    const json_t *step = json_array_get(json_object_get(job, "steps"), 0);
    const json_t *task = json_array_get(json_object_get(step, "tasks"), index);
    int64_t run = json_integer_value(json_object_get(task, "run"));

    json_decref(job);
    return run;
}

/*
 * Guards against a waiting task that is started while a run of it, which a
 * worker lists, is still being stopped there.
 */
static void
fleet_runs__waiting_task_is_held_until_a_listed_run_has_ended(void **state)
{
    fake_fleet *deployment = create_deployment_with_waiting_job(false);

    fake_fleet_start_run(deployment, 5, JOB ".0.0.1", 1);
    evacuate_all(deployment, false);
    fake_fleet_run(deployment, 200 * CS_MS_US);
    assert_true(fake_fleet_task_runs(deployment, JOB ".0.0.1"));
    assert_true(holder_counter(deployment, "cs_runs_unknown_total") > 0);
    expect_no_violation(deployment);
    /* The other tasks of the step are not held. */
    assert_int_equal(fake_fleet_start_count(deployment, JOB), 4);
    fake_fleet_run(deployment, 500 * CS_MS_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB), 5);
    expect_completed(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against a gang whose members start while a run of one of them is
   still being stopped, or that starts in part. */
static void
fleet_runs__waiting_gang_is_held_as_a_whole(void **state)
{
    fake_fleet *deployment = create_deployment_with_waiting_job(true);

    fake_fleet_start_run(deployment, 5, JOB ".0.0.1", 1);
    evacuate_all(deployment, false);
    fake_fleet_run(deployment, 200 * CS_MS_US);
    expect_no_violation(deployment);
    assert_int_equal(fake_fleet_start_count(deployment, JOB), 1);
    fake_fleet_run(deployment, 500 * CS_MS_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB), 5);
    expect_completed(deployment);
    fake_fleet_destroy(deployment);
}

static void
expect_recorded_start_is_withheld(bool gang)
{
    fake_fleet *deployment = create_deployment();
    uint32_t withheld = gang ? 4 : 1;
    fake_job job;

    fake_fleet_set_store_delay(deployment, 100 * CS_MS_US);
    fake_job_init(&job, 2, 1, 4, 2, 2000);
    job.spec.steps[0].gang = gang;
    fake_fleet_submit(deployment, 0, &job, NULL);
    while (newest_run(deployment, 1) == 0)
        fake_fleet_run(deployment, 10 * CS_MS_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB), 0);
    fake_fleet_start_run(deployment, 5, JOB ".0.0.1", 1);
    fake_fleet_run(deployment, 250 * CS_MS_US);
    expect_no_violation(deployment);
    assert_int_equal(holder_counter(deployment, "cs_starts_withheld_total"),
                     withheld);
    fake_fleet_set_store_delay(deployment, 0);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_true(newest_run(deployment, 1) > 1);
    expect_completed(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against a start whose record was being written when a worker listed
   another run of the task. */
static void
fleet_runs__recorded_start_is_withheld_while_a_run_is_listed(void **state)
{
    expect_recorded_start_is_withheld(false);
    expect_recorded_start_is_withheld(true);
}

/*
 * Guards against a task that is held for good because the worker with the run
 * is gone, and against one that is started before the run's lease has ended.
 */
static void
fleet_runs__held_task_starts_once_the_leases_have_ended(void **state)
{
    fake_fleet *deployment = create_deployment_with_waiting_job(false);

    fake_fleet_start_run(deployment, 5, JOB ".0.0.1", 1);
    fake_fleet_run(deployment, CS_MS_US);
    fake_fleet_set_worker_disconnected(deployment, 5, true);
    evacuate_all(deployment, false);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB), 4);
    fake_fleet_run(deployment, LEASES_END_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB), 5);
    expect_completed(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against a task that is held for the run of a former incarnation. */
static void
fleet_runs__held_task_starts_once_the_worker_is_another_incarnation(
    void **state)
{
    fake_fleet *deployment = create_deployment_with_waiting_job(false);

    fake_fleet_start_run(deployment, 5, JOB ".0.0.1", 1);
    fake_fleet_run(deployment, CS_MS_US);
    fake_fleet_crash_worker(deployment, 5, 500 * CS_MS_US);
    evacuate_all(deployment, false);
    fake_fleet_run(deployment, 400 * CS_MS_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB), 4);
    fake_fleet_run(deployment, 1500 * CS_MS_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB), 5);
    expect_completed(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against a start with a number up to that of a run that a worker has
 * listed: the worker would refuse it there, and another one would start it
 * under a number that is not the newest.
 */
static void
fleet_runs__next_run_is_above_a_listed_one(void **state)
{
    fake_fleet *deployment = create_deployment_with_waiting_job(false);

    fake_fleet_start_run(deployment, 5, JOB ".0.0.1", 7);
    evacuate_all(deployment, false);
    fake_fleet_run(deployment, 1500 * CS_MS_US);
    assert_int_equal(newest_run(deployment, 0), 1);
    assert_int_equal(newest_run(deployment, 1), 8);
    expect_completed(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against an end that is acknowledged and not counted because its run
 * has a higher number than the newest one that the holder knows: the task
 * would be started again although it is done, by this holder or the next one.
 */
static void
fleet_runs__success_of_a_run_above_the_newest_counts(void **state)
{
    fake_fleet *deployment = create_deployment();

    evacuate_all(deployment, true);
    fake_fleet_run(deployment, NOTICE_US);
    submit(deployment, 2, 4, 2, 20, false);
    fake_fleet_start_run(deployment, 5, JOB ".0.0.1", 7);
    fake_fleet_run(deployment, 100 * CS_MS_US);
    assert_false(fake_fleet_task_runs(deployment, JOB ".0.0.1"));
    fake_fleet_run(deployment, CS_SEC_US);
    fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                    CS_SEC_US);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    evacuate_all(deployment, false);
    expect_completed(deployment);
    assert_int_equal(fake_fleet_start_count(deployment, JOB), 4);
    fake_fleet_destroy(deployment);
}

/* Returns the number of the worker that the job's only task is placed on. */
static uint32_t
find_worker(const fake_fleet *deployment)
{
    json_t *job = fake_fleet_explain(
        deployment, (uint32_t)fake_fleet_holder(deployment), JOB);
    const json_t *step = json_array_get(json_object_get(job, "steps"), 0);
    const json_t *task = json_array_get(json_object_get(step, "tasks"), 0);
    const char *id = json_string_value(json_object_get(task, "worker"));
    uint32_t number;

    assert_non_null(id);
    number = (uint32_t)atoi(id + strlen("w-"));
    json_decref(job);
    return number;
}

/*
 * Guards against a task that is started elsewhere because its worker refuses
 * the start as old: the run itself may have ended there, and that end is not
 * listed yet.
 */
static void
fleet_runs__start_refused_as_old_waits_for_the_ends(void **state)
{
    fake_fleet *deployment = create_deployment();
    uint32_t worker;
    fake_job job;

    fake_fleet_set_store_delay(deployment, 100 * CS_MS_US);
    fake_job_init(&job, 2, 1, 1, 2, 2000);
    fake_fleet_submit(deployment, 0, &job, NULL);
    while (newest_run(deployment, 0) == 0)
        fake_fleet_run(deployment, 10 * CS_MS_US);
    worker = find_worker(deployment);
    fake_fleet_start_run(deployment, worker, JOB ".0.0.0", 1);
    fake_fleet_run(deployment, 50 * CS_MS_US);
    fake_fleet_end_run_unlisted(deployment, worker, JOB ".0.0.0");
    fake_fleet_set_store_delay(deployment, 0);
    fake_fleet_run(deployment, CS_SEC_US);
    expect_completed(deployment);
    assert_int_equal(fake_fleet_start_count(deployment, JOB), 1);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against a start on a worker that has become another incarnation since
 * the task was placed there, before that one has answered: its clock, by which
 * the lease is given, is not known.
 */
static void
fleet_runs__start_waits_for_an_answer_of_a_new_incarnation(void **state)
{
    fake_vm_faults unanswered = {.unanswered_changes_share = 1};
    fake_vm_faults none = {0};
    int64_t withheld = 0;
    int64_t phase_us;

    /* The holder looks for changed entries of workers every 400 ms. */
    for (phase_us = 0; phase_us < 400 * CS_MS_US; phase_us += 20 * CS_MS_US) {
        fake_fleet_settings settings = {
            .vms = 4, .workers = WORKERS, .racks = 2, .seed = 63};
        fake_fleet *deployment = fake_fleet_create(&settings);
        uint32_t holder;
        fake_job job;

        fake_fleet_run(deployment, 3 * CS_SEC_US + phase_us);
        holder = (uint32_t)fake_fleet_holder(deployment);
        fake_job_init(&job, 2, 1, 1, 8, 2000);
        fake_fleet_submit(deployment, (holder + 1) % 4, &job, NULL);
        /* The answer to the record is lost, so that the new entry of the
           worker may be read before the record is confirmed. */
        fake_fleet_set_faults(deployment, (int32_t)holder, &unanswered);
        while (newest_run(deployment, 0) == 0)
            fake_fleet_run(deployment, 5 * CS_MS_US);
        fake_fleet_crash_worker(deployment, find_worker(deployment),
                                5 * CS_MS_US);
        fake_fleet_run(deployment, 100 * CS_MS_US);
        fake_fleet_set_faults(deployment, -1, &none);
        expect_completed(deployment);
        withheld += holder_counter(deployment, "cs_starts_withheld_total");
        fake_fleet_destroy(deployment);
    }
    assert_true(withheld > 0);
}

/*
 * Guards against ends that are never acknowledged: a heartbeat that was sent
 * to the former incarnation of a worker is answered by the new one, whose ends
 * are numbered anew.
 */
static void
fleet_runs__ends_of_a_new_incarnation_are_acknowledged(void **state)
{
    int64_t phase_us;

    /* From before the ends of the first job to after their record. */
    for (phase_us = 0; phase_us < 100 * CS_MS_US; phase_us += 2 * CS_MS_US) {
        fake_fleet_settings settings = {
            .vms = 4, .workers = WORKERS, .racks = 2, .seed = 64};
        fake_fleet *deployment = fake_fleet_create(&settings);

        fake_fleet_run(deployment, 3 * CS_SEC_US);
        submit(deployment, 1, 8 * WORKERS, 1, 300, false);
        fake_fleet_run(deployment, 100 * CS_MS_US + phase_us);
        fake_fleet_crash_worker(deployment, 5, CS_MS_US);
        fake_fleet_run(deployment, 5 * CS_SEC_US);
        submit(deployment, 2, WORKERS, 8, 300, false);
        fake_fleet_run(deployment, 10 * CS_SEC_US);
        expect_completed(deployment);
        if (!fake_fleet_is_idle(deployment))
            fail_msg("ends are left on %s",
                     fake_fleet_find_busy_worker(deployment));
        fake_fleet_destroy(deployment);
    }
}

/* Lets a start be carried out 9 s late, without an answer, and its worker
   crash meanwhile. */
static void
start_late_on_the_next_incarnation(int64_t crash_us, int64_t down_us)
{
    fake_fleet_settings settings = {.vms = 4,
                                    .workers = WORKERS,
                                    .racks = 2,
                                    .seed = 62,
                                    .late_orders_outlive_workers = true};
    fake_fleet *deployment = fake_fleet_create(&settings);
    fake_vm_faults late = {.late_orders_share = 1, .late_order_us = LATE_US};
    fake_vm_faults none = {0};
    uint32_t worker;

    fake_fleet_run(deployment, 3 * CS_SEC_US);
    fake_fleet_set_faults(deployment, -1, &late);
    submit(deployment, 2, 1, 8, 12 * 1000, false);
    fake_fleet_set_faults(deployment, -1, &none);
    worker = find_worker(deployment);
    fake_fleet_run(deployment, crash_us);
    fake_fleet_crash_worker(deployment, worker, down_us);
    fake_fleet_run(deployment, 22 * CS_SEC_US);
    expect_completed(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against a start without an answer that is carried out after its
 * worker has come back as another incarnation under the same id, while the
 * task runs elsewhere: the worker was given up, or the run was stopped there
 * before the crash. test_late_starts.c has starts that arrive before the
 * holder knows of the new incarnation.
 */
static void
fleet_runs__late_start_is_refused_by_the_next_incarnation(void **state)
{
    int64_t notice_us = 1500 * CS_MS_US;
    int64_t crash_us;
    int64_t down_us;

    for (crash_us = 0; crash_us <= 3 * CS_SEC_US; crash_us += CS_SEC_US) {
        for (down_us = 500 * CS_MS_US;
             crash_us + down_us <= LATE_US - notice_us;
             down_us += 500 * CS_MS_US)
            start_late_on_the_next_incarnation(crash_us, down_us);
    }
}

/*
 * Guards against a start beyond the attempts of a task: a run that the holder
 * does not know ends as failed, which is acknowledged and not counted.
 */
static void
fleet_runs__failure_of_an_unknown_run_counts(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 16, .racks = 2, .seed = 61};
    fake_fleet *deployment = fake_fleet_create(&settings);
    fake_job job;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_job_init(&job, 1, 1, 16, 5, 60 * 1000);
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, 200 * CS_MS_US);
    evacuate_all(deployment, true);
    fake_fleet_run(deployment, 500 * CS_MS_US);
    fake_job_init(&job, 2, 1, 4, 2, 2000);
    job.always_fails = true;
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, 200 * CS_MS_US);
    fake_fleet_start_run(deployment, 5, JOB ".0.0.1", 1);
    fake_fleet_run(deployment, 400 * CS_MS_US);
    evacuate_all(deployment, false);
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            fleet_runs__waiting_task_is_held_until_a_listed_run_has_ended),
        cmocka_unit_test(fleet_runs__waiting_gang_is_held_as_a_whole),
        cmocka_unit_test(
            fleet_runs__recorded_start_is_withheld_while_a_run_is_listed),
        cmocka_unit_test(
            fleet_runs__held_task_starts_once_the_leases_have_ended),
        cmocka_unit_test(
            fleet_runs__held_task_starts_once_the_worker_is_another_incarnation),
        cmocka_unit_test(fleet_runs__next_run_is_above_a_listed_one),
        cmocka_unit_test(fleet_runs__success_of_a_run_above_the_newest_counts),
        cmocka_unit_test(fleet_runs__start_refused_as_old_waits_for_the_ends),
        cmocka_unit_test(
            fleet_runs__start_waits_for_an_answer_of_a_new_incarnation),
        cmocka_unit_test(
            fleet_runs__ends_of_a_new_incarnation_are_acknowledged),
        cmocka_unit_test(
            fleet_runs__late_start_is_refused_by_the_next_incarnation),
    };
    /* See KNOWN-RED.txt. */
    const struct CMUnitTest known_red[] = {
        cmocka_unit_test(fleet_runs__failure_of_an_unknown_run_counts),
    };

    cs_log_silence();
    if (g_getenv("CS_KNOWN_RED"))
        return cmocka_run_group_tests(known_red, NULL, NULL);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
