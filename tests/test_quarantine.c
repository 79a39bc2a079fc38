/* Tests of quarantined workers, in a simulated deployment on a virtual clock.
 */
#include "harness.h"
#include "fake_fleet.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define VMS 4
#define LASTING_JOBS 6
/* A task that lasts has to run again 6 s after its last run, or within 3 s
   from then on. */
#define RESTART_US (9 * CS_SEC_US)

static void
submit(fake_fleet *deployment, uint32_t number, int64_t accelerators,
       bool lasts)
{
    int32_t reply;
    fake_job job;

    fake_job_init(&job, number, 1, 1, accelerators, 3600 * 1000);
    job.spec.steps[0].perpetual = lasts;
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 400 * CS_MS_US);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
}

static uint32_t
count_running(const fake_fleet *deployment, uint32_t first, uint32_t last)
{
    uint32_t count = 0;
    uint32_t number;
    char task[64];

    for (number = first; number <= last; number++) {
        g_snprintf(task, sizeof(task), "%016x.0.0.0", number);
        count += fake_fleet_task_runs(deployment, task);
    }
    return count;
}

static uint32_t
find_busy_worker(const fake_fleet *deployment)
{
    const char *id = fake_fleet_find_busy_worker(deployment);

    assert_non_null(id);
    return (uint32_t)g_ascii_strtoull(id + strlen("w-"), NULL, 10);
}

/* Creates a deployment of two workers that are full: one of tasks that last,
   the other of a task of its size. Returns the former. */
static uint32_t
fill_workers(fake_fleet *deployment)
{
    uint32_t worker;
    uint32_t number;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    for (number = 1; number <= LASTING_JOBS; number++)
        submit(deployment, number, 1, true);
    worker = find_busy_worker(deployment);
    submit(deployment, LASTING_JOBS + 1, 8, true);
    assert_int_equal(count_running(deployment, 1, LASTING_JOBS + 1),
                     LASTING_JOBS + 1);
    return worker;
}

/*
 * Guards against tasks that last and wait for half a minute beside a worker
 * that is sound again: each of them that failed there has doubled its
 * quarantine, and the other workers have no room.
 */
static void
quarantine__tasks_that_last_run_again_on_the_only_room(void **state)
{
    uint32_t failing_s;

    for (failing_s = 1; failing_s <= 25; failing_s += 6) {
        fake_fleet_settings settings = {
            .vms = VMS, .workers = 2, .racks = 1, .seed = failing_s};
        fake_fleet *deployment = fake_fleet_create(&settings);
        uint32_t worker = fill_workers(deployment);

        fake_fleet_set_worker_failing(deployment, worker, true);
        fake_fleet_fail_runs(deployment, worker);
        fake_fleet_run(deployment, failing_s * CS_SEC_US);
        fake_fleet_set_worker_failing(deployment, worker, false);
        fake_fleet_run(deployment, RESTART_US);
        assert_int_equal(count_running(deployment, 1, LASTING_JOBS),
                         LASTING_JOBS);
        fake_fleet_destroy(deployment);
    }
}

/*
 * Guards against tasks with attempts that are used up on a quarantined worker:
 * the last resort is for tasks that last only.
 */
static void
quarantine__other_tasks_wait_for_its_end(void **state)
{
    fake_fleet_settings settings = {
        .vms = VMS, .workers = 2, .racks = 1, .seed = 1};
    fake_fleet *deployment = fake_fleet_create(&settings);
    uint32_t worker = fill_workers(deployment);

    fake_fleet_set_worker_failing(deployment, worker, true);
    fake_fleet_fail_runs(deployment, worker);
    submit(deployment, LASTING_JOBS + 2, 1, false);
    fake_fleet_run(deployment, 15 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000008"),
                     0);
    fake_fleet_destroy(deployment);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            quarantine__tasks_that_last_run_again_on_the_only_room),
        cmocka_unit_test(quarantine__other_tasks_wait_for_its_end),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
