/*
 * Tests of starts that get no answer and are carried out seconds later, in a
 * simulated deployment on a virtual clock: the worker has started anew under
 * its id by then, and the order is the first that its new incarnation gets,
 * while the task is at work elsewhere.
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
#define JOB "0000000000000002"
#define TASK JOB ".0.0.0"
#define RUN_MS 12000
/* By how much an order is late; the protocol names no bound. */
#define LATE_US (9 * CS_SEC_US)
#define LATE_MAX_US (12 * CS_SEC_US)
/* The order reaches the new incarnation this long after its start. */
#define FIRST_US (2 * CS_MS_US)
/* A worker that is stopped and comes back is away for this long at least. */
#define DOWN_MIN_US (800 * CS_MS_US)
/* A start without an answer is stopped, and the task started elsewhere, by
   then. */
#define MOVED_US (5 * CS_SEC_US)

/* An order is answered by then, if it is. */
#define ORDER_TIMEOUT_US (900 * CS_MS_US)

struct late_start {
    fake_fleet *deployment;
    int64_t sent_us;
    uint32_t worker; /* that carries it out late */
};

static int32_t
holder(const fake_fleet *deployment)
{
    return fake_fleet_holder(deployment);
}

static int64_t
count_starts_sent(const fake_fleet *deployment)
{
    return fake_fleet_counter(deployment, (uint32_t)holder(deployment),
                              "cs_starts_total");
}

/* Returns the number of the worker that a task is placed on; UINT32_MAX for
   none. */
static uint32_t
find_worker(const fake_fleet *deployment, uint32_t index)
{
    json_t *job =
        fake_fleet_explain(deployment, (uint32_t)holder(deployment), JOB);
    const json_t *step = json_array_get(json_object_get(job, "steps"), 0);
    const json_t *task = json_array_get(json_object_get(step, "tasks"), index);
    const char *id = json_string_value(json_object_get(task, "worker"));
    uint32_t number = UINT32_MAX;

    if (id && id[0])
        number = (uint32_t)atoi(id + strlen("w-"));
    json_decref(job);
    return number;
}

static void
set_orders_late(fake_fleet *deployment, bool late, int64_t late_us)
{
    fake_vm_faults faults = {.late_orders_share = late,
                             .late_order_us = late ? late_us : 0};

    fake_fleet_set_faults(deployment, -1, &faults);
}

static fake_fleet *
create_deployment(void)
{
    fake_fleet_settings settings = {.vms = 4,
                                    .workers = WORKERS,
                                    .racks = 2,
                                    .seed = 62,
                                    .late_orders_outlive_workers = true};
    fake_fleet *deployment = fake_fleet_create(&settings);

    fake_fleet_run(deployment, 3 * CS_SEC_US);
    return deployment;
}

/* Submits a job whose first starts are late, and whose other orders are not.
   The zone of the worker is evacuated, so that the task moves to another one.
 */
static struct late_start
begin(uint32_t tasks, int64_t late_us, bool gang)
{
    struct late_start late = {.deployment = create_deployment()};
    fake_job job;

    set_orders_late(late.deployment, true, late_us);
    fake_job_init(&job, 2, 1, tasks, 8, RUN_MS);
    job.spec.steps[0].gang = gang;
    fake_fleet_submit(late.deployment, 0, &job, NULL);
    while (count_starts_sent(late.deployment) == 0)
        fake_fleet_run(late.deployment, CS_MS_US);
    late.worker = find_worker(late.deployment, 0);
    late.sent_us = fake_fleet_now_us(late.deployment);
    set_orders_late(late.deployment, false, 0);
    fake_fleet_evacuate(late.deployment, late.worker % FAKE_ZONES, true);
    return late;
}

/* Lets the task begin on another worker than that of the late start. */
static void
run_until_task_runs(const struct late_start *late)
{
    fake_fleet *deployment = late->deployment;
    int64_t until_us = fake_fleet_now_us(deployment) + MOVED_US;

    while (!fake_fleet_task_runs(deployment, TASK) &&
           fake_fleet_now_us(deployment) < until_us)
        fake_fleet_run(deployment, 5 * CS_MS_US);
    assert_true(fake_fleet_task_runs(deployment, TASK));
    assert_int_not_equal(find_worker(deployment, 0), late->worker);
    fake_fleet_evacuate(deployment, late->worker % FAKE_ZONES, false);
}

/* Lets the worker crash so that the late start is the first order that its
   next incarnation gets. Time passes until the start is carried out. */
static void
crash_before_the_start(const struct late_start *late, int64_t down_us,
                       int64_t late_us)
{
    int64_t up_us = late->sent_us + late_us - FIRST_US;

    fake_fleet_run(late->deployment,
                   up_us - down_us - fake_fleet_now_us(late->deployment));
    fake_fleet_crash_worker(late->deployment, late->worker, down_us);
    fake_fleet_run(late->deployment, up_us + 500 * CS_MS_US -
                                         fake_fleet_now_us(late->deployment));
}

static void
expect_completed_once(struct late_start *late)
{
    fake_fleet_run(late->deployment, (RUN_MS + 4000) * CS_MS_US);
    if (fake_fleet_violation(late->deployment))
        fail_msg("%s", fake_fleet_violation(late->deployment));
    assert_int_equal(fake_fleet_job_state(late->deployment, JOB),
                     CS_PROGRESS_COMPLETED);
    fake_fleet_destroy(late->deployment);
}

/* Guards against two runs of a task at once: the worker of a late start ends,
   and its next incarnation carries the start out while the task, which was
   stopped on the former one, is at work elsewhere. */
static void
late_starts__other_run_ends_before_the_next_incarnation(void **state)
{
    int64_t down_us;

    for (down_us = DOWN_MIN_US; down_us <= 3200 * CS_MS_US;
         down_us += 300 * CS_MS_US) {
        struct late_start late = begin(1, LATE_US, false);

        run_until_task_runs(&late);
        crash_before_the_start(&late, down_us, LATE_US);
        expect_completed_once(&late);
    }
}

/* The same for a worker that falls silent, so that no connection tells that it
   has ended: it is away for longer then. */
static void
late_starts__other_run_ends_when_the_worker_is_silent(void **state)
{
    int64_t late_us;

    for (late_us = LATE_US; late_us <= LATE_MAX_US;
         late_us += 250 * CS_MS_US) {
        struct late_start late = begin(1, late_us, false);
        int64_t down_us = 3600 * CS_MS_US;

        run_until_task_runs(&late);
        fake_fleet_run(late.deployment,
                       late.sent_us + late_us - FIRST_US - down_us -
                           fake_fleet_now_us(late.deployment));
        fake_fleet_set_worker_disconnected(late.deployment, late.worker, true);
        fake_fleet_crash_worker(late.deployment, late.worker, down_us);
        fake_fleet_run(late.deployment, down_us - CS_MS_US);
        fake_fleet_set_worker_disconnected(late.deployment, late.worker,
                                           false);
        expect_completed_once(&late);
    }
}

/* Guards against a gang of which a member runs twice at once: its late start
   is carried out by the next incarnation of its worker. */
static void
late_starts__gang_ends_before_the_next_incarnation(void **state)
{
    int64_t down_us;

    for (down_us = DOWN_MIN_US; down_us <= 1800 * CS_MS_US;
         down_us += 200 * CS_MS_US) {
        struct late_start late = begin(4, LATE_US, true);

        run_until_task_runs(&late);
        crash_before_the_start(&late, down_us, LATE_US);
        expect_completed_once(&late);
    }
}

/* Guards against a start elsewhere while the worker that is to refuse the late
   one may have ended: it ends before the other start is recorded. */
static void
late_starts__no_start_while_the_worker_may_have_ended(void **state)
{
    int64_t crash_us;

    for (crash_us = 0; crash_us <= MOVED_US; crash_us += 50 * CS_MS_US) {
        struct late_start late = begin(1, LATE_US, false);
        int64_t down_us = LATE_US - FIRST_US - 100 * CS_MS_US - crash_us;

        fake_fleet_run(late.deployment, crash_us);
        fake_fleet_crash_worker(late.deployment, late.worker, down_us);
        fake_fleet_run(late.deployment, down_us + 500 * CS_MS_US);
        expect_completed_once(&late);
    }
}

/* Guards against a successor that knows nothing of the late start: the holder
   is killed once the other run has begun, or just before. */
static void
late_starts__successor_stops_the_other_run(void **state)
{
    int64_t down_us;

    for (down_us = DOWN_MIN_US; down_us <= 2 * CS_SEC_US;
         down_us += 200 * CS_MS_US) {
        struct late_start late = begin(1, LATE_MAX_US, false);

        run_until_task_runs(&late);
        fake_fleet_kill(late.deployment, (uint32_t)holder(late.deployment),
                        CS_SEC_US);
        fake_fleet_run(late.deployment, 4 * CS_SEC_US);
        assert_true(holder(late.deployment) >= 0);
        crash_before_the_start(&late, down_us, LATE_MAX_US);
        expect_completed_once(&late);
    }
}

/* Guards against a successor that fences the late start of an adopted run on
   the incarnation that it reaches, and forgets it with the next one. */
static void
late_starts__successor_knows_an_adopted_run_that_did_not_begin(void **state)
{
    int64_t kill_us;

    for (kill_us = 0; kill_us <= 800 * CS_MS_US; kill_us += 100 * CS_MS_US) {
        struct late_start late = begin(1, LATE_MAX_US, false);

        fake_fleet_run(late.deployment, kill_us);
        fake_fleet_kill(late.deployment, (uint32_t)holder(late.deployment),
                        CS_SEC_US);
        fake_fleet_run(late.deployment, 2500 * CS_MS_US);
        run_until_task_runs(&late);
        crash_before_the_start(&late, CS_SEC_US, LATE_MAX_US);
        expect_completed_once(&late);
    }
}

/* Guards against a successor that never reaches the worker of the late start,
   and takes the task for lost once the worker's leases have ended. */
static void
late_starts__successor_knows_of_a_start_on_a_silent_worker(void **state)
{
    struct late_start late = begin(1, LATE_MAX_US, false);
    int64_t down_us;

    fake_fleet_run(late.deployment, 1200 * CS_MS_US);
    fake_fleet_kill(late.deployment, (uint32_t)holder(late.deployment),
                    CS_SEC_US);
    fake_fleet_set_worker_disconnected(late.deployment, late.worker, true);
    down_us = late.sent_us + LATE_MAX_US - FIRST_US -
              fake_fleet_now_us(late.deployment);
    fake_fleet_crash_worker(late.deployment, late.worker, down_us);
    fake_fleet_run(late.deployment, down_us);
    fake_fleet_set_worker_disconnected(late.deployment, late.worker, false);
    expect_completed_once(&late);
}

/* Guards against a task whose second start is late as well: either worker may
   carry one out. */
static void
late_starts__two_starts_on_two_workers(void **state)
{
    uint32_t carried_out; /* which of the two is, while the other is not yet */

    for (carried_out = 0; carried_out < 2; carried_out++) {
        struct late_start late = begin(1, LATE_US, false);
        uint32_t workers[2] = {late.worker, late.worker};
        uint32_t i;

        while (count_starts_sent(late.deployment) == 1) {
            fake_fleet_run(late.deployment, CS_MS_US);
            workers[1] = find_worker(late.deployment, 0);
            /* Set as late as possible: other orders must not be late. */
            set_orders_late(
                late.deployment,
                workers[1] != workers[0] && workers[1] != UINT32_MAX, LATE_US);
        }
        late.worker = workers[carried_out];
        if (carried_out == 1)
            late.sent_us = fake_fleet_now_us(late.deployment);
        set_orders_late(late.deployment, false, 0);
        fake_fleet_evacuate(late.deployment, workers[1] % FAKE_ZONES, true);
        run_until_task_runs(&late);
        for (i = 0; i < 2; i++)
            fake_fleet_evacuate(late.deployment, workers[i] % FAKE_ZONES,
                                false);
        crash_before_the_start(&late, CS_SEC_US, LATE_US);
        expect_completed_once(&late);
    }
}

/* Guards against a run that nobody wants: the start of a cancelled job is
   carried out by the next incarnation of its worker, and stopped within the
   time of a heartbeat and a stop. */
static void
late_starts__start_of_a_cancelled_job_is_stopped(void **state)
{
    struct late_start late = begin(1, LATE_US, false);
    int64_t crash_us = late.sent_us + LATE_US - FIRST_US - CS_SEC_US;

    fake_fleet_cancel(late.deployment, 0, JOB, NULL);
    fake_fleet_run(late.deployment,
                   crash_us - fake_fleet_now_us(late.deployment));
    assert_false(fake_fleet_task_runs(late.deployment, TASK));
    fake_fleet_crash_worker(late.deployment, late.worker, CS_SEC_US);
    fake_fleet_run(late.deployment, CS_SEC_US + 2 * FIRST_US);
    assert_true(fake_fleet_task_runs(late.deployment, TASK));
    fake_fleet_run(late.deployment, 500 * CS_MS_US);
    assert_false(fake_fleet_task_runs(late.deployment, TASK));
    assert_null(fake_fleet_violation(late.deployment));
    fake_fleet_destroy(late.deployment);
}

/* Guards against a task that waits for longer than it must: the next
   incarnation of the worker refuses the late start once it was told to. */
static void
late_starts__task_waits_until_the_next_incarnation_refuses(void **state)
{
    struct late_start late = begin(1, LATE_MAX_US, false);

    run_until_task_runs(&late);
    fake_fleet_crash_worker(late.deployment, late.worker, CS_SEC_US);
    fake_fleet_run(late.deployment, 900 * CS_MS_US);
    assert_false(fake_fleet_task_runs(late.deployment, TASK));
    fake_fleet_run(late.deployment, 500 * CS_MS_US);
    assert_true(fake_fleet_task_runs(late.deployment, TASK));
    expect_completed_once(&late);
}

/* Guards against a task that waits for a worker that is gone for good. */
static void
late_starts__task_does_not_wait_for_good(void **state)
{
    struct late_start late = begin(1, LATE_MAX_US, false);

    run_until_task_runs(&late);
    fake_fleet_remove_worker(late.deployment, late.worker);
    fake_fleet_run(late.deployment, 6 * CS_SEC_US);
    assert_false(fake_fleet_task_runs(late.deployment, TASK));
    fake_fleet_run(late.deployment, late.sent_us + 14 * CS_SEC_US -
                                        fake_fleet_now_us(late.deployment));
    assert_true(fake_fleet_task_runs(late.deployment, TASK));
    expect_completed_once(&late);
}

/* Guards against work that is thrown away as a single heartbeat has failed, or
   for a start whose answer alone was lost. */
static void
late_starts__run_goes_on_while_the_worker_lives(void **state)
{
    struct late_start late = begin(1, LATE_US, false);

    run_until_task_runs(&late);
    fake_fleet_set_worker_disconnected(late.deployment, late.worker, true);
    fake_fleet_run(late.deployment, 1200 * CS_MS_US);
    fake_fleet_set_worker_disconnected(late.deployment, late.worker, false);
    fake_fleet_run(late.deployment, RUN_MS * CS_MS_US);
    assert_int_equal(fake_fleet_start_count(late.deployment, JOB), 1);
    expect_completed_once(&late);
}

/* Guards against a task that waits for seconds to be started elsewhere, as the
   heartbeat that would tell waits for the end of a run. */
static void
late_starts__task_moves_soon_after_its_start_got_no_answer(void **state)
{
    struct late_start late = begin(1, LATE_US, false);

    run_until_task_runs(&late);
    assert_in_range(fake_fleet_now_us(late.deployment) - late.sent_us, 0,
                    ORDER_TIMEOUT_US + 300 * CS_MS_US);
    expect_completed_once(&late);
}

/* Workers that crash are back after this long; those that fall silent after
   the longest time. */
#define SOAK_DOWN_MIN_MS 1500
#define SOAK_DOWN_MAX_MS 4500
/* Longer than an order is late, so that no late start meets a task that is
   done: nothing can prevent that. */
#define SOAK_RUN_MS 15000
#define SOAK_JOBS 30
#define SOAK_SEEDS 20

static void
submit_soak_job(fake_fleet *deployment, GRand *random, uint32_t number)
{
    bool gang = g_rand_boolean(random);
    fake_job job;

    fake_job_init(&job, 0x100 + number,
                  (uint32_t)g_rand_int_range(random, 0, 4),
                  (uint32_t)g_rand_int_range(random, 1, 5), 4, SOAK_RUN_MS);
    job.spec.steps[0].gang = gang;
    fake_fleet_submit(deployment, (uint32_t)g_rand_int_range(random, 0, 4),
                      &job, NULL);
}

static void
inject_soak_fault(fake_fleet *deployment, GRand *random)
{
    fake_vm_faults faults = {.late_orders_share =
                                 g_rand_double_range(random, 0, 0.5)};
    uint32_t worker = (uint32_t)g_rand_int_range(random, 0, WORKERS);

    switch (g_rand_int_range(random, 0, 8)) {
    case 0:
        if (holder(deployment) >= 0)
            fake_fleet_kill(deployment, (uint32_t)holder(deployment),
                            CS_SEC_US);
        break;
    case 1:
        fake_fleet_set_faults(deployment, -1, &faults);
        break;
    case 2:
        fake_fleet_set_worker_unhealthy(deployment, worker,
                                        g_rand_boolean(random));
        break;
    default:
        fake_fleet_crash_worker(
            deployment, worker,
            g_rand_int_range(random, SOAK_DOWN_MIN_MS, SOAK_DOWN_MAX_MS) *
                CS_MS_US);
        break;
    }
}

static void
soak(uint32_t seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    fake_fleet_settings settings = {.vms = 4,
                                    .workers = WORKERS,
                                    .racks = 2,
                                    .seed = seed,
                                    .late_orders_outlive_workers = true};
    fake_fleet *deployment = fake_fleet_create(&settings);
    fake_vm_faults none = {0};
    uint32_t i;

    fake_fleet_run(deployment, 3 * CS_SEC_US);
    for (i = 0; i < SOAK_JOBS; i++) {
        submit_soak_job(deployment, random, i);
        inject_soak_fault(deployment, random);
        fake_fleet_run(deployment,
                       g_rand_int_range(random, 200, 2500) * CS_MS_US);
        if (fake_fleet_violation(deployment))
            fail_msg("seed %u: %s", seed, fake_fleet_violation(deployment));
    }
    fake_fleet_set_faults(deployment, -1, &none);
    for (i = 0; i < WORKERS; i++)
        fake_fleet_set_worker_unhealthy(deployment, i, false);
    fake_fleet_run(deployment, 400 * CS_SEC_US);
    if (fake_fleet_violation(deployment))
        fail_msg("seed %u: %s", seed, fake_fleet_violation(deployment));
    for (i = 0; i < SOAK_JOBS; i++) {
        char id[17];

        g_snprintf(id, sizeof(id), "%016x", 0x100 + i);
        if (fake_fleet_job_state(deployment, id) >= 0 &&
            fake_fleet_job_state(deployment, id) != CS_PROGRESS_COMPLETED)
            fail_msg("seed %u: job %s is in state %d", seed, id,
                     fake_fleet_job_state(deployment, id));
    }
    fake_fleet_destroy(deployment);
    g_rand_free(random);
}

/* Guards against two runs of a task at once, and a task that waits for good,
   whatever comes together: late starts, crashes, takeovers and rejected
   starts. CS_SOAK_SEED plays one seed, CS_SOAK_SEEDS the first ones. */
static void
late_starts__random_crashes_run_tasks_once(void **state)
{
    const char *single_seed = g_getenv("CS_SOAK_SEED");
    const char *count = g_getenv("CS_SOAK_SEEDS");
    uint32_t seeds = count ? (uint32_t)atoi(count) : SOAK_SEEDS;
    uint32_t seed;

    if (single_seed) {
        soak((uint32_t)atoi(single_seed));
        return;
    }
    for (seed = 1; seed <= seeds; seed++)
        soak(seed);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            late_starts__other_run_ends_before_the_next_incarnation),
        cmocka_unit_test(
            late_starts__other_run_ends_when_the_worker_is_silent),
        cmocka_unit_test(late_starts__gang_ends_before_the_next_incarnation),
        cmocka_unit_test(
            late_starts__no_start_while_the_worker_may_have_ended),
        cmocka_unit_test(late_starts__successor_stops_the_other_run),
        cmocka_unit_test(
            late_starts__successor_knows_an_adopted_run_that_did_not_begin),
        cmocka_unit_test(
            late_starts__successor_knows_of_a_start_on_a_silent_worker),
        cmocka_unit_test(late_starts__two_starts_on_two_workers),
        cmocka_unit_test(late_starts__start_of_a_cancelled_job_is_stopped),
        cmocka_unit_test(
            late_starts__task_waits_until_the_next_incarnation_refuses),
        cmocka_unit_test(late_starts__task_does_not_wait_for_good),
        cmocka_unit_test(
            late_starts__task_moves_soon_after_its_start_got_no_answer),
        cmocka_unit_test(late_starts__run_goes_on_while_the_worker_lives),
        cmocka_unit_test(late_starts__random_crashes_run_tasks_once),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    if (g_getenv("CS_SOAK_SEED") || g_getenv("CS_SOAK_SEEDS"))
        cmocka_set_test_filter("*random_crashes*");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
