/*
 * Tests of the removal of ended jobs whose ids are used again meanwhile, in a
 * simulated deployment on a virtual clock.
 */
#include "harness.h"
#include "fake_fleet.h"
#include "corianderstair/errors.h"
#include "corianderstair/job_progress.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define VMS 4
#define JOB_ID "0000000000000001"
#define JOB_TASKS 4

static void
submit(fake_fleet *deployment, uint32_t vm, int32_t *reply)
{
    fake_job job;

    fake_job_init(&job, 1, 2, JOB_TASKS, 1, 8000);
    fake_fleet_submit(deployment, vm, &job, reply);
}

/* Creates a deployment with a job that was cancelled while it ran. */
static fake_fleet *
create_with_ended_job(uint64_t seed)
{
    fake_fleet_settings settings = {
        .vms = VMS, .workers = 16, .racks = 2, .seed = seed};
    fake_fleet *deployment = fake_fleet_create(&settings);
    int32_t reply;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    submit(deployment, 0, &reply);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), JOB_TASKS);
    fake_fleet_cancel(deployment, 0, JOB_ID, &reply);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_CANCELLED);
    return deployment;
}

/* Advances until the store has no row of the job. Returns the time. */
static int64_t
run_to_removal(fake_fleet *deployment)
{
    int64_t limit_us = fake_fleet_now_us(deployment) + 300 * CS_SEC_US;

    while (fake_fleet_job_is_stored(deployment, JOB_ID) &&
           fake_fleet_now_us(deployment) < limit_us)
        fake_fleet_run(deployment, CS_MS_US);
    assert_false(fake_fleet_job_is_stored(deployment, JOB_ID));
    return fake_fleet_now_us(deployment);
}

/* Returns a deployment in which the row of an ended job was just removed, and
   the holder has got no answer to that change. */
static fake_fleet *
create_with_unanswered_removal(uint64_t seed)
{
    const fake_vm_faults unanswered = {.unanswered_changes_share = 1};
    const fake_vm_faults none = {0};
    fake_fleet *deployment = create_with_ended_job(seed);
    int64_t removed_us = run_to_removal(deployment);
    int32_t holder;

    /* Plays the same again, now with a lost answer. */
    fake_fleet_destroy(deployment);
    deployment = create_with_ended_job(seed);
    fake_fleet_run(deployment,
                   removed_us - fake_fleet_now_us(deployment) - 20 * CS_MS_US);
    holder = fake_fleet_holder(deployment);
    fake_fleet_set_faults(deployment, holder, &unanswered);
    run_to_removal(deployment);
    fake_fleet_set_faults(deployment, holder, &none);
    return deployment;
}

/* Expects that the job that was accepted under the id again runs and is done.
 */
static void
expect_newer_job_runs(fake_fleet *deployment)
{
    fake_fleet_run(deployment, 30 * CS_SEC_US);
    assert_true(fake_fleet_job_is_stored(deployment, JOB_ID));
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID),
                     2 * JOB_TASKS);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_COMPLETED);
    if (fake_fleet_violation(deployment))
        fail_msg("%s", fake_fleet_violation(deployment));
}

/*
 * Guards against an accepted job that is removed instead of the ended one of
 * the same id: the answer to that one's removal was lost, and its repetition
 * takes over the version of the row that it finds.
 */
static void
removed_jobs__repeated_removal_spares_a_newer_job(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 8; seed++) {
        fake_fleet *deployment = create_with_unanswered_removal(seed);
        uint32_t vm = ((uint32_t)fake_fleet_holder(deployment) + 1) % VMS;
        int32_t reply;

        fake_fleet_run(deployment, (int64_t)(seed % 4) * 200 * CS_MS_US);
        submit(deployment, vm, &reply);
        fake_fleet_run(deployment, 500 * CS_MS_US);
        assert_int_equal(reply, CS_REPLY_ACCEPTED);
        expect_newer_job_runs(deployment);
        fake_fleet_destroy(deployment);
    }
}

/* Guards against the same of a tombstone, without which a submission that
   arrives late is accepted although its cancel was answered. */
static void
removed_jobs__repeated_removal_spares_a_tombstone(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 4; seed++) {
        fake_fleet *deployment = create_with_unanswered_removal(seed);
        uint32_t vm = ((uint32_t)fake_fleet_holder(deployment) + 1) % VMS;
        int32_t reply;

        fake_fleet_cancel(deployment, vm, JOB_ID, &reply);
        fake_fleet_run(deployment, 30 * CS_SEC_US);
        assert_true(fake_fleet_has_tombstone(deployment, JOB_ID));
        assert_int_equal(fake_fleet_row_count(deployment, "progress"), 0);
        fake_fleet_destroy(deployment);
    }
}

/*
 * Guards against an accepted job that does not run before the next takeover:
 * the holder takes its row for that of the ended job of the same id, whose
 * progress it has not removed yet, or that another writer has removed.
 */
static void
removed_jobs__newer_job_runs_once_the_former_one_is_removed(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 4; seed++) {
        fake_fleet *deployment = create_with_ended_job(seed);
        uint32_t vm = ((uint32_t)fake_fleet_holder(deployment) + 1) % VMS;
        int32_t reply;

        if (seed % 2)
            run_to_removal(deployment);
        else
            fake_fleet_remove_job_row(deployment, JOB_ID);
        submit(deployment, vm, &reply);
        fake_fleet_run(deployment, 500 * CS_MS_US);
        assert_int_equal(reply, CS_REPLY_ACCEPTED);
        expect_newer_job_runs(deployment);
        fake_fleet_destroy(deployment);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(removed_jobs__repeated_removal_spares_a_newer_job),
        cmocka_unit_test(removed_jobs__repeated_removal_spares_a_tombstone),
        cmocka_unit_test(
            removed_jobs__newer_job_runs_once_the_former_one_is_removed),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
