/*
 * Tests of jobs whose queue the configuration does not have for a while, in a
 * simulated deployment on a virtual clock. They keep the terms under which
 * they were accepted: what runs goes on, nothing is started, and none of them
 * fails by other attempts than its queue's.
 */
#include "fake_fleet.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define VMS 4
#define WORKERS 16
#define JOB_ID "0000000000000001"
#define QUEUE 1
#define ATTEMPTS 3
#define RUN_MS 6000

static fake_fleet *
create_deployment(uint64_t seed)
{
    fake_fleet_settings settings = {
        .vms = VMS, .workers = WORKERS, .racks = 2, .seed = seed};
    fake_fleet *deployment = fake_fleet_create(&settings);

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), -1);
    return deployment;
}

static void
submit_job(fake_fleet *deployment, uint32_t queue, bool gang)
{
    int32_t reply;
    fake_job job;

    fake_job_init(&job, 1, queue, WORKERS, 8, RUN_MS);
    job.spec.steps[0].gang = gang;
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 200 * CS_MS_US);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), WORKERS);
}

static void
set_attempts(fake_fleet *deployment, uint32_t queue, uint32_t attempts,
             uint64_t version)
{
    fake_fleet_set_queue(deployment, queue, attempts);
    fake_fleet_configure(deployment, version);
}

/*
 * Starts a job with a task on each worker. One of them fails once and runs
 * again until 16 s from now, the others until 6 s. 5 s have passed then.
 */
static void
run_until_a_task_has_failed(fake_fleet *deployment)
{
    fake_fleet_set_speed(deployment, 0, 2);
    submit_job(deployment, QUEUE, false);
    fake_fleet_set_worker_failing(deployment, 0, true);
    fake_fleet_run(deployment, 3300 * CS_MS_US);
    fake_fleet_set_worker_failing(deployment, 0, false);
    fake_fleet_set_speed(deployment, 0, 0.5);
    fake_fleet_run(deployment, 1500 * CS_MS_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), WORKERS + 1);
}

static void
expect_completed(fake_fleet *deployment)
{
    if (fake_fleet_violation(deployment))
        fail_msg("%s", fake_fleet_violation(deployment));
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_COMPLETED);
}

/* Guards against a job that fails after fewer attempts than its queue has: a
   task of it ends while the queue is away. */
static void
removed_queue__job_keeps_its_attempts(void **state)
{
    fake_fleet *deployment = create_deployment(1);

    run_until_a_task_has_failed(deployment);
    set_attempts(deployment, QUEUE, 0, 4);
    fake_fleet_run(deployment, 6 * CS_SEC_US);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_RUNNING);
    set_attempts(deployment, QUEUE, ATTEMPTS, 9);
    fake_fleet_run(deployment, 7 * CS_SEC_US);
    expect_completed(deployment);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), WORKERS + 1);
    fake_fleet_destroy(deployment);
}

/* Guards against the same after a takeover: the new holder has never known the
   queue, and learns of the attempts from the job's row. */
static void
removed_queue__job_keeps_its_attempts_after_a_takeover(void **state)
{
    fake_fleet *deployment = create_deployment(2);

    run_until_a_task_has_failed(deployment);
    set_attempts(deployment, QUEUE, 0, 4);
    fake_fleet_run(deployment, 300 * CS_MS_US);
    fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                    60 * CS_SEC_US);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), -1);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_RUNNING);
    set_attempts(deployment, QUEUE, ATTEMPTS, 9);
    fake_fleet_run(deployment, 7 * CS_SEC_US);
    expect_completed(deployment);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), WORKERS + 1);
    fake_fleet_destroy(deployment);
}

/* Lets a task of the job fail while its queue is away. */
static fake_fleet *
fail_a_task_without_queue(bool takeover, bool gang)
{
    fake_fleet *deployment = create_deployment(3);

    submit_job(deployment, QUEUE, gang);
    set_attempts(deployment, QUEUE, 0, 4);
    fake_fleet_set_worker_failing(deployment, 0, true);
    fake_fleet_run(deployment, 7 * CS_SEC_US);
    if (takeover) {
        fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                        60 * CS_SEC_US);
        fake_fleet_run(deployment, 5 * CS_SEC_US);
    }
    fake_fleet_set_worker_failing(deployment, 0, false);
    /* It waits for its queue. */
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), WORKERS);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_RUNNING);
    assert_int_equal(
        fake_fleet_counter(deployment, (uint32_t)fake_fleet_holder(deployment),
                           "cs_jobs_without_queue"),
        1);
    return deployment;
}

/* Guards against a job that fails, or is never started again, as one of its
   tasks has failed while the queue is away. */
static void
removed_queue__failed_task_waits_for_its_queue(void **state)
{
    int variant;

    for (variant = 0; variant < 4; variant++) {
        bool gang = variant & 2;
        fake_fleet *deployment = fail_a_task_without_queue(variant & 1, gang);

        set_attempts(deployment, QUEUE, ATTEMPTS, 9);
        fake_fleet_run(deployment, 9 * CS_SEC_US);
        expect_completed(deployment);
        assert_int_equal(fake_fleet_start_count(deployment, JOB_ID),
                         gang ? 2 * WORKERS : WORKERS + 1);
        assert_int_equal(
            fake_fleet_counter(deployment,
                               (uint32_t)fake_fleet_holder(deployment),
                               "cs_jobs_without_queue"),
            0);
        fake_fleet_destroy(deployment);
    }
}

/* Guards against a start beyond the attempts of a queue that returns with
   fewer of them than runs have failed. */
static void
removed_queue__job_fails_if_its_queue_returns_with_fewer_attempts(void **state)
{
    int variant;

    for (variant = 0; variant < 4; variant++) {
        fake_fleet *deployment =
            fail_a_task_without_queue(variant & 1, variant & 2);

        set_attempts(deployment, QUEUE, 1, 9);
        fake_fleet_run(deployment, 4 * CS_SEC_US);
        assert_null(fake_fleet_violation(deployment));
        assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                         CS_PROGRESS_FAILED);
        assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), WORKERS);
        fake_fleet_destroy(deployment);
    }
}

/* Guards against a job that fails by the attempts that it was accepted with,
   although its queue had more of them when it was last there. */
static void
removed_queue__raised_attempts_are_kept(void **state)
{
    fake_fleet *deployment = create_deployment(4);

    set_attempts(deployment, QUEUE, 1, 2);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    submit_job(deployment, QUEUE, false);
    set_attempts(deployment, QUEUE, ATTEMPTS, 3);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    set_attempts(deployment, QUEUE, 0, 4);
    fake_fleet_set_worker_failing(deployment, 0, true);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    fake_fleet_set_worker_failing(deployment, 0, false);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_RUNNING);
    set_attempts(deployment, QUEUE, ATTEMPTS, 5);
    fake_fleet_run(deployment, 9 * CS_SEC_US);
    expect_completed(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against a job that is not shown as completed, as its last tasks have
   ended while its queue was away. */
static void
removed_queue__job_completes_without_its_queue(void **state)
{
    fake_fleet *deployment = create_deployment(5);

    submit_job(deployment, QUEUE, false);
    set_attempts(deployment, QUEUE, 0, 4);
    fake_fleet_run(deployment, 8 * CS_SEC_US);
    expect_completed(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against occurrences that are lost, or started, while the queue of a
   timed job is away. */
static void
removed_queue__due_occurrences_wait_for_their_queue(void **state)
{
    fake_fleet *deployment = create_deployment(6);
    int32_t reply;
    fake_job job;

    fake_job_init(&job, 1, QUEUE, 2, 1, 500);
    job.spec.repeats = 4;
    set_attempts(deployment, QUEUE, ATTEMPTS, 2);
    /* The wall clock of the fakes begins in 2023. */
    job.spec.start_ms =
        1700000000000 + fake_fleet_now_us(deployment) / CS_MS_US + 1000;
    job.spec.interval_ms = 2000;
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), 2);
    set_attempts(deployment, QUEUE, 0, 4);
    fake_fleet_run(deployment, 7 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), 2);
    set_attempts(deployment, QUEUE, ATTEMPTS, 9);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    expect_completed(deployment);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), 8);
    fake_fleet_destroy(deployment);
}

static json_int_t
urgent_accelerators(const fake_fleet *deployment)
{
    json_t *status =
        fake_fleet_status(deployment, (uint32_t)fake_fleet_holder(deployment));
    json_int_t count =
        json_integer_value(json_object_get(status, "urgent_accelerators"));

    json_decref(status);
    return count;
}

/* Guards against a new holder that keeps too little room for urgent work, as
   it does not count urgent tasks whose queue is away. */
static void
removed_queue__urgent_tasks_are_counted_after_a_takeover(void **state)
{
    fake_fleet *deployment = create_deployment(7);

    submit_job(deployment, 0, false);
    assert_int_equal(urgent_accelerators(deployment), WORKERS * 8);
    set_attempts(deployment, 0, 0, 4);
    fake_fleet_run(deployment, 300 * CS_MS_US);
    fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                    60 * CS_SEC_US);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    assert_int_equal(urgent_accelerators(deployment), WORKERS * 8);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    assert_int_equal(urgent_accelerators(deployment), 0);
    expect_completed(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against jobs that a former build has stored, without the terms under
   which they were accepted, and that fail without their queue. */
static void
removed_queue__former_records_have_no_terms(void **state)
{
    GByteArray *bytes = g_byte_array_new();
    cs_job_spec copy;
    fake_job job;

    fake_job_init(&job, 1, QUEUE, 1, 1, 1000);
    job.spec.max_attempts = 5;
    job.spec.priority = 2;
    cs_job_spec_encode(bytes, &job.spec);
    assert_int_equal(cs_job_spec_decode(&copy, bytes->data, bytes->len), 0);
    assert_int_equal(copy.max_attempts, 5);
    assert_int_equal(copy.priority, 2);
    cs_job_spec_dispose(&copy);
    /* Cuts off the last of the 15 items, an array of two. */
    assert_int_equal(bytes->data[0], 0x9f);
    bytes->data[0] = 0x9e;
    g_byte_array_set_size(bytes, bytes->len - 3);
    assert_int_equal(cs_job_spec_decode(&copy, bytes->data, bytes->len), 0);
    assert_int_equal(copy.max_attempts, 0);
    cs_job_spec_dispose(&copy);
    cs_job_spec_dispose(&job.spec);
    g_byte_array_free(bytes, TRUE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(removed_queue__job_keeps_its_attempts),
        cmocka_unit_test(
            removed_queue__job_keeps_its_attempts_after_a_takeover),
        cmocka_unit_test(removed_queue__failed_task_waits_for_its_queue),
        cmocka_unit_test(
            removed_queue__job_fails_if_its_queue_returns_with_fewer_attempts),
        cmocka_unit_test(removed_queue__raised_attempts_are_kept),
        cmocka_unit_test(removed_queue__job_completes_without_its_queue),
        cmocka_unit_test(removed_queue__due_occurrences_wait_for_their_queue),
        cmocka_unit_test(
            removed_queue__urgent_tasks_are_counted_after_a_takeover),
        cmocka_unit_test(removed_queue__former_records_have_no_terms),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
