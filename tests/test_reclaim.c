/*
 * Tests of guaranteed jobs that reclaim accelerators from work that lasts, in
 * a simulated deployment on a virtual clock.
 */
#include "harness.h"
#include "fake_fleet.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define WORKERS 16
/* Bound of the users' platform from the acknowledgement of a guaranteed job to
   the start of its tasks. */
#define RECLAIM_US (3400 * CS_MS_US)
#define GUARANTEED_ID "0000000000000009"

/* Creates a deployment that is full of a job's tasks, a worker each. */
static fake_fleet *
create_full_deployment(bool lasts, uint32_t max_unavailable)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = WORKERS, .racks = 2, .seed = 6};
    fake_fleet *deployment = fake_fleet_create(&settings);
    int32_t reply;
    fake_job job;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_job_init(&job, 1, 2, WORKERS, 8, 3600 * 1000);
    job.spec.steps[0].perpetual = lasts;
    job.spec.steps[0].max_unavailable = max_unavailable;
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 8 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     WORKERS);
    return deployment;
}

/* Submits a guaranteed job of two tasks. Returns how many have started in
   time. */
static uint32_t
start_guaranteed_job(fake_fleet *deployment)
{
    int32_t reply;
    fake_job job;

    fake_job_init(&job, 9, 0, 2, 4, 5000);
    fake_fleet_submit(deployment, 1, &job, &reply);
    fake_fleet_run(deployment, RECLAIM_US);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
    return fake_fleet_start_count(deployment, GUARANTEED_ID);
}

static uint32_t
count_running(const fake_fleet *deployment, uint32_t job)
{
    uint32_t count = 0;
    uint32_t i;
    char task[64];

    for (i = 0; i < WORKERS; i++) {
        g_snprintf(task, sizeof(task), "%016x.0.0.%u", job, i);
        count += fake_fleet_task_runs(deployment, task);
    }
    return count;
}

static void
finish(fake_fleet *deployment)
{
    if (fake_fleet_violation(deployment))
        fail_msg("%s", fake_fleet_violation(deployment));
    fake_fleet_destroy(deployment);
}

/* Guards against a job within its organisation's guarantee that waits until
   work of another one, which lasts and uses idle accelerators, is cancelled.
 */
static void
reclaim__guaranteed_job_stops_work_that_lasts(void **state)
{
    fake_fleet *deployment = create_full_deployment(true, 0);

    assert_int_equal(start_guaranteed_job(deployment), 2);
    /* It takes one worker, and gives it back. */
    assert_int_equal(count_running(deployment, 1), WORKERS - 1);
    fake_fleet_run(deployment, 6 * CS_SEC_US);
    assert_int_equal(count_running(deployment, 1), WORKERS);
    finish(deployment);
}

/* Guards against a stop that makes more tasks of a step unavailable than it
   allows. */
static void
reclaim__work_with_a_bound_of_unavailability_is_not_stopped(void **state)
{
    fake_fleet *deployment = create_full_deployment(true, 1);

    assert_int_equal(start_guaranteed_job(deployment), 0);
    assert_int_equal(count_running(deployment, 1), WORKERS);
    finish(deployment);
}

/* Guards against work that lasts and is stopped although work that ends could
   be, at a smaller loss. */
static void
reclaim__work_that_ends_is_stopped_first(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = WORKERS, .racks = 2, .seed = 6};
    fake_fleet *deployment = fake_fleet_create(&settings);
    int32_t reply;
    fake_job job;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_job_init(&job, 1, 2, WORKERS / 2, 8, 3600 * 1000);
    job.spec.steps[0].perpetual = true;
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    fake_job_init(&job, 2, 2, WORKERS / 2, 8, 60 * 1000);
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    assert_int_equal(start_guaranteed_job(deployment), 2);
    assert_int_equal(count_running(deployment, 1), WORKERS / 2);
    finish(deployment);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(reclaim__guaranteed_job_stops_work_that_lasts),
        cmocka_unit_test(
            reclaim__work_with_a_bound_of_unavailability_is_not_stopped),
        cmocka_unit_test(reclaim__work_that_ends_is_stopped_first),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
