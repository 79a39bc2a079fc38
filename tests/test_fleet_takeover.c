/*
 * Tests of what a new holder of the cell reads from the store, in a simulated
 * deployment on a virtual clock: reads that lag behind its own epoch row, and
 * removals of rows that are carried out late.
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
#define WORKERS_TABLE "servers"
#define WORKER_INTERVAL_US (1500 * CS_MS_US)
#define JOB_TASKS 8
#define JOB_ID "0000000000000001"
#define SECOND_JOB_ID "0000000000000002"

static fake_fleet *
create_deployment(uint64_t seed)
{
    fake_fleet_settings settings = {
        .vms = VMS, .workers = 16, .racks = 2, .seed = seed};
    fake_fleet *deployment = fake_fleet_create(&settings);

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), -1);
    return deployment;
}

static void
expect_no_violation(const fake_fleet *deployment)
{
    if (fake_fleet_violation(deployment))
        fail_msg("%s", fake_fleet_violation(deployment));
}

static void
submit_job(fake_fleet *deployment, uint32_t vm, uint32_t number,
           int64_t run_ms, int32_t *reply)
{
    fake_job job;

    fake_job_init(&job, number, 2, JOB_TASKS, 1, run_ms);
    fake_fleet_submit(deployment, vm, &job, reply);
}

/* How the holder is replaced. */
typedef enum { KILL_HOLDER, STOP_HOLDER } replacement;

/*
 * Replaces the holder right after it has started the tasks of a job. From then
 * on, reads and polls of a table lag, or of all tables if it is NULL.
 */
static void
expect_tasks_run_once(replacement how, const char *table, int64_t lag_us)
{
    fake_fleet *deployment = create_deployment(1);
    uint32_t holder = (uint32_t)fake_fleet_holder(deployment);
    int32_t reply;

    submit_job(deployment, (holder + 1) % VMS, 1, 5000, &reply);
    fake_fleet_run(deployment, 100 * CS_MS_US);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), JOB_TASKS);
    fake_fleet_set_store_lag(deployment, -1, table, lag_us);
    if (how == KILL_HOLDER)
        fake_fleet_kill(deployment, holder, 60 * CS_SEC_US);
    else
        fake_fleet_stop(deployment, holder);
    fake_fleet_run(deployment, 12 * CS_SEC_US);
    fake_fleet_set_store_lag(deployment, -1, NULL, 0);
    fake_fleet_run(deployment, 8 * CS_SEC_US);
    expect_no_violation(deployment);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), JOB_TASKS);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_COMPLETED);
    fake_fleet_destroy(deployment);
}

/* Guards against running tasks that are started again: the new holder reads
   the jobs as of a time before the job was accepted, takes its progress rows
   for those of a removed job, and learns of the job afterwards. */
static void
takeover__tasks_run_once_while_reads_of_jobs_lag(void **state)
{
    int64_t lag_us;

    for (lag_us = 100 * CS_MS_US; lag_us <= 3 * CS_SEC_US;
         lag_us += 100 * CS_MS_US) {
        expect_tasks_run_once(STOP_HOLDER, "job", lag_us);
        expect_tasks_run_once(KILL_HOLDER, "job", lag_us);
    }
}

/* Guards against running tasks that are started again: the new holder reads
   their progress as of a time before it was recorded. */
static void
takeover__tasks_run_once_while_reads_of_progress_lag(void **state)
{
    int64_t lag_us;

    for (lag_us = 100 * CS_MS_US; lag_us <= 3 * CS_SEC_US;
         lag_us += 100 * CS_MS_US) {
        expect_tasks_run_once(STOP_HOLDER, "progress", lag_us);
        expect_tasks_run_once(KILL_HOLDER, "progress", lag_us);
    }
}

static void
takeover__tasks_run_once_while_all_reads_lag(void **state)
{
    int64_t lag_us;

    for (lag_us = 100 * CS_MS_US; lag_us <= 3 * CS_SEC_US;
         lag_us += 100 * CS_MS_US) {
        expect_tasks_run_once(STOP_HOLDER, NULL, lag_us);
        expect_tasks_run_once(KILL_HOLDER, NULL, lag_us);
    }
}

/* Advances until a process has acquired the cell. Returns its VM. */
static uint32_t
run_to_takeover(fake_fleet *deployment)
{
    uint64_t epoch = 0;
    uint32_t step;
    uint32_t i;

    for (i = 0; i < VMS; i++)
        epoch = MAX(epoch, fake_fleet_epoch(deployment, i));
    for (step = 0; step < 10000; step++) {
        fake_fleet_run(deployment, CS_MS_US);
        for (i = 0; i < VMS; i++) {
            if (fake_fleet_epoch(deployment, i) > epoch)
                return i;
        }
    }
    fail_msg("nobody has acquired the cell");
    return 0;
}

static void
delay_changes(fake_fleet *deployment, double late_share)
{
    fake_vm_faults faults = {.late_changes_share = late_share};

    fake_fleet_set_faults(deployment, -1, &faults);
}

static void
cancel_job(fake_fleet *deployment, uint32_t vm)
{
    int32_t reply;

    fake_fleet_cancel(deployment, vm, JOB_ID, &reply);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_CANCELLED);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_CANCELLED);
}

/* Advances until no progress is stored. */
static void
run_to_removal(fake_fleet *deployment)
{
    int64_t end_us = fake_fleet_now_us(deployment) + 300 * CS_SEC_US;

    while (fake_fleet_row_count(deployment, "progress") &&
           fake_fleet_now_us(deployment) < end_us)
        fake_fleet_run(deployment, CS_MS_US);
    assert_int_equal(fake_fleet_row_count(deployment, "progress"), 0);
}

/* Submits the job again that was removed, and expects that it runs once. */
static void
expect_job_runs_again(fake_fleet *deployment)
{
    uint32_t starts = fake_fleet_start_count(deployment, JOB_ID);
    int32_t reply;

    submit_job(deployment, 3, 1, 8000, &reply);
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
    assert_true(fake_fleet_job_is_stored(deployment, JOB_ID));
    expect_no_violation(deployment);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID) - starts,
                     JOB_TASKS);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_COMPLETED);
}

/*
 * Guards against a removal of progress without a job that is carried out
 * seconds after its repetition, and removes the progress of a job that was
 * submitted meanwhile under the same id.
 */
static void
takeover__late_removal_of_progress_spares_a_newer_job(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 8; seed++) {
        fake_fleet *deployment = create_deployment(seed);
        uint32_t holder = (uint32_t)fake_fleet_holder(deployment);
        int32_t reply;
        uint32_t vm;

        submit_job(deployment, (holder + 1) % VMS, 1, 8000, &reply);
        fake_fleet_run(deployment, CS_SEC_US);
        cancel_job(deployment, (holder + 1) % VMS);
        fake_fleet_remove_job_row(deployment, JOB_ID);
        fake_fleet_kill(deployment, holder, CS_SEC_US);
        vm = run_to_takeover(deployment);
        /* The first change only renews the lease. */
        fake_fleet_run(deployment, 30 * CS_MS_US);
        delay_changes(deployment, 1);
        /* The rows are read, and the first removal is sent, meanwhile. */
        fake_fleet_run(deployment, 400 * CS_MS_US);
        assert_int_equal(
            fake_fleet_counter(deployment, vm, "cs_orphan_rows_total"), 1);
        delay_changes(deployment, 0);
        run_to_removal(deployment);
        expect_job_runs_again(deployment);
        fake_fleet_destroy(deployment);
    }
}

/* Replaces the holder after the rows of two cancelled jobs were removed, and
   lets no change be answered while its successor removes their progress.
   Returns the successor. */
static uint32_t
remove_orphans_unanswered(fake_fleet *deployment, bool late)
{
    uint32_t holder = (uint32_t)fake_fleet_holder(deployment);
    uint32_t vm = (holder + 1) % VMS;
    fake_vm_faults faults = {.unanswered_changes_share = late ? 0 : 1,
                             .late_changes_share = late ? 1 : 0};
    int32_t reply;

    submit_job(deployment, vm, 1, 8000, &reply);
    submit_job(deployment, vm, 2, 8000, &reply);
    fake_fleet_run(deployment, CS_SEC_US);
    fake_fleet_cancel(deployment, vm, SECOND_JOB_ID, &reply);
    cancel_job(deployment, vm);
    fake_fleet_remove_job_row(deployment, JOB_ID);
    fake_fleet_remove_job_row(deployment, SECOND_JOB_ID);
    fake_fleet_kill(deployment, holder, CS_SEC_US);
    vm = run_to_takeover(deployment);
    /* The first change only renews the lease. */
    fake_fleet_run(deployment, 30 * CS_MS_US);
    fake_fleet_set_faults(deployment, -1, &faults);
    fake_fleet_run(deployment, 400 * CS_MS_US);
    assert_int_equal(
        fake_fleet_counter(deployment, vm, "cs_orphan_rows_total"), 2);
    delay_changes(deployment, 0);
    return vm;
}

/* Guards against a holder that gives up the cell because a removal has
   succeeded whose answer was lost. */
static void
takeover__removal_without_an_answer_is_settled(void **state)
{
    fake_fleet *deployment = create_deployment(1);
    uint32_t vm = remove_orphans_unanswered(deployment, false);

    run_to_removal(deployment);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(deployment), vm);
    assert_int_equal(fake_fleet_counter(deployment, vm, "cs_cell_lost_total"),
                     0);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against a holder that gives up the cell because one of the rows that
   it removes is gone, and against rows that stay because of it. */
static void
takeover__row_that_is_gone_does_not_end_the_tenure(void **state)
{
    fake_fleet *deployment = create_deployment(1);
    uint32_t vm = remove_orphans_unanswered(deployment, true);

    assert_int_equal(fake_fleet_row_count(deployment, "progress"), 2);
    fake_fleet_remove_progress_row(deployment, JOB_ID);
    run_to_removal(deployment);
    fake_fleet_run(deployment, 8 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(deployment), vm);
    assert_int_equal(fake_fleet_counter(deployment, vm, "cs_cell_lost_total"),
                     0);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* The retention of the settings and that of the holder beyond it. */
#define RETENTION_US (180 * CS_SEC_US)

/*
 * Guards against a removal of an ended job that is carried out seconds after
 * its repetition, and removes a job that was submitted meanwhile under the
 * same id: it is forgotten when the holder changes.
 */
static void
takeover__late_removal_of_a_job_spares_a_newer_one(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 8; seed++) {
        fake_fleet *deployment = create_deployment(seed);
        int64_t cancelled_us;
        int32_t reply;

        submit_job(deployment, 3, 1, 8000, &reply);
        fake_fleet_run(deployment, CS_SEC_US);
        cancelled_us = fake_fleet_now_us(deployment);
        cancel_job(deployment, 3);
        fake_fleet_run(deployment, cancelled_us + RETENTION_US -
                                       50 * CS_MS_US -
                                       fake_fleet_now_us(deployment));
        assert_true(fake_fleet_job_is_stored(deployment, JOB_ID));
        delay_changes(deployment, 1);
        fake_fleet_run(deployment, 300 * CS_MS_US);
        delay_changes(deployment, 0);
        run_to_removal(deployment);
        expect_job_runs_again(deployment);
        fake_fleet_destroy(deployment);
    }
}

/* Guards against a completed job that stays stored, because its row was
   rewritten when a caller cancelled it. */
static void
takeover__cancelled_job_is_removed_after_its_end(void **state)
{
    fake_fleet *deployment = create_deployment(1);
    int32_t holder = fake_fleet_holder(deployment);
    uint32_t vm = ((uint32_t)holder + 1) % VMS;
    int32_t reply;

    submit_job(deployment, vm, 1, 500, &reply);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_COMPLETED);
    /* The holder does not see the row's new version. */
    fake_fleet_set_store_lag(deployment, holder, "job", 300 * CS_SEC_US);
    fake_fleet_cancel(deployment, vm, JOB_ID, &reply);
    run_to_removal(deployment);
    assert_int_equal(reply, CS_REPLY_CANCELLED);
    assert_int_equal(fake_fleet_holder(deployment), holder);
    assert_false(fake_fleet_job_is_stored(deployment, JOB_ID));
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Removes a completed job after its retention, and lets the holder read all
 * jobs again, of which the job is one as of an earlier time.
 * lag_before: reads and polls lag already when the job is removed
 */
static void
expect_removed_job_stays_removed(bool lag_before)
{
    fake_fleet *deployment = create_deployment(1);
    uint32_t starts;
    int32_t reply;

    submit_job(deployment, 3, 1, 500, &reply);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_COMPLETED);
    starts = fake_fleet_start_count(deployment, JOB_ID);
    if (lag_before)
        fake_fleet_set_store_lag(deployment, -1, "job", 4 * CS_SEC_US);
    run_to_removal(deployment);
    fake_fleet_set_store_lag(deployment, -1, "job", 4 * CS_SEC_US);
    fake_fleet_compact(deployment);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_fleet_set_store_lag(deployment, -1, NULL, 0);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    expect_no_violation(deployment);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), starts);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against an ended job that runs again: its row was removed, and a
 * repeated read of all jobs, which lags, still shows it.
 */
static void
takeover__removed_job_does_not_run_again(void **state)
{
    expect_removed_job_stays_removed(false);
    expect_removed_job_stays_removed(true);
}

/*
 * Guards against jobs that are never run: they were accepted while a new
 * holder read the jobs page by page, and a later page lags behind the first.
 */
static void
takeover__job_accepted_between_pages_is_run(void **state)
{
    int64_t lag_us;

    for (lag_us = 350 * CS_MS_US; lag_us <= 450 * CS_MS_US;
         lag_us += 5 * CS_MS_US) {
        fake_fleet *deployment = create_deployment(1);
        uint32_t holder = (uint32_t)fake_fleet_holder(deployment);
        int32_t replies[8];
        uint32_t i;

        fake_fleet_kill(deployment, holder, CS_SEC_US);
        fake_fleet_run(deployment, CS_SEC_US);
        fake_fleet_set_store_delay(deployment, 200 * CS_MS_US);
        run_to_takeover(deployment);
        /* The first page is on its way. */
        fake_fleet_run(deployment, 11 * CS_MS_US);
        fake_fleet_set_store_delay(deployment, 20 * CS_MS_US);
        for (i = 0; i < G_N_ELEMENTS(replies); i++)
            submit_job(deployment, holder ? 0 : 1, i + 1, 500, &replies[i]);
        fake_fleet_run(deployment, 5 * CS_MS_US);
        fake_fleet_set_store_delay(deployment, 200 * CS_MS_US);
        fake_fleet_run(deployment, 214 * CS_MS_US);
        fake_fleet_set_store_lag(deployment, -1, "job", lag_us);
        fake_fleet_run(deployment, 220 * CS_MS_US);
        fake_fleet_set_store_lag(deployment, -1, NULL, 0);
        fake_fleet_set_store_delay(deployment, 0);
        fake_fleet_run(deployment, 8 * CS_SEC_US);
        for (i = 0; i < G_N_ELEMENTS(replies); i++) {
            char id[CS_JOB_ID_BYTES];

            g_snprintf(id, sizeof(id), "%016x", i + 1);
            assert_int_equal(replies[i], CS_REPLY_ACCEPTED);
            assert_int_equal(fake_fleet_job_state(deployment, id),
                             CS_PROGRESS_COMPLETED);
        }
        expect_no_violation(deployment);
        fake_fleet_destroy(deployment);
    }
}

/*
 * Guards against running tasks that are started again: a successor does not
 * find the job's row and removes the progress of its tasks, and then the job
 * arrives again.
 */
static void
takeover__progress_of_running_tasks_is_not_removed(void **state)
{
    fake_fleet *deployment = create_deployment(1);
    uint32_t holder = (uint32_t)fake_fleet_holder(deployment);
    int32_t reply;
    uint32_t vm;

    submit_job(deployment, (holder + 1) % VMS, 1, 5000, &reply);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), JOB_TASKS);
    fake_fleet_remove_job_row(deployment, JOB_ID);
    fake_fleet_kill(deployment, holder, 60 * CS_SEC_US);
    vm = run_to_takeover(deployment);
    /* The rows are read meanwhile. */
    fake_fleet_run(deployment, 100 * CS_MS_US);
    assert_int_equal(fake_fleet_holder(deployment), vm);
    assert_int_equal(fake_fleet_row_count(deployment, "progress"), 1);
    submit_job(deployment, vm, 1, 5000, &reply);
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
    expect_no_violation(deployment);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_COMPLETED);
    fake_fleet_destroy(deployment);
}

/* Drains a worker with a task and cuts it off a while after its start; its
   entry is removed after silence. Polls lag until then. */
static void
expect_silent_worker_is_not_gone(int64_t offset_us)
{
    fake_fleet *deployment = create_deployment(1);
    fake_job job;
    int32_t reply;

    /* One worker stays free. */
    fake_job_init(&job, 1, 2, 15, 8, 60000);
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, CS_SEC_US + offset_us);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), 15);
    fake_fleet_set_store_lag(deployment, -1, WORKERS_TABLE, 3 * CS_SEC_US);
    fake_fleet_drain_worker(deployment, 0);
    fake_fleet_set_worker_disconnected(deployment, 0, true);
    fake_fleet_run(deployment, 3 * WORKER_INTERVAL_US);
    fake_fleet_expire_entry(deployment, 0);
    fake_fleet_set_store_lag(deployment, -1, NULL, 0);
    fake_fleet_run(deployment, 10 * CS_SEC_US);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against tasks that are started again while they run on a worker that
 * drains and is cut off. The holder sees the entry late, as its polls lag, and
 * its removal in time, so that the worker seems to have been silent for too
 * short a time for a removal by the store.
 */
static void
takeover__silent_worker_is_not_gone_when_polls_have_lagged(void **state)
{
    int64_t offset_us;

    for (offset_us = 0; offset_us < 2 * CS_SEC_US; offset_us += 100 * CS_MS_US)
        expect_silent_worker_is_not_gone(offset_us);
}

/*
 * Guards against tasks that are started again while a former holder that is
 * cut off still extends their leases: the row of its VM names an earlier
 * process, as a write of that process was carried out late, and the successor
 * takes it for a later one.
 */
static void
takeover__earlier_process_does_not_end_the_wait_for_a_holder(void **state)
{
    fake_fleet_settings settings = {
        .vms = 9, .workers = 16, .racks = 2, .seed = 1};
    fake_fleet *deployment = fake_fleet_create(&settings);
    uint32_t vm;
    uint32_t i;
    fake_job job;
    int32_t reply;

    fake_fleet_run(deployment, 3 * CS_SEC_US);
    vm = (uint32_t)fake_fleet_holder(deployment);
    fake_fleet_kill(deployment, vm, 500 * CS_MS_US);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    for (i = 0; i < settings.vms; i++) {
        if (i != vm)
            fake_fleet_kill(deployment, i, 8 * CS_SEC_US);
    }
    fake_fleet_run(deployment, 12 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(deployment), vm);
    fake_fleet_repeat_member_write(deployment, vm);
    fake_job_init(&job, 1, 2, 16, 8, 20 * 1000);
    fake_fleet_submit(deployment, vm, &job, &reply);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), 16);
    fake_fleet_cut_zone(deployment, vm % FAKE_ZONES, true);
    fake_fleet_run(deployment, 40 * CS_SEC_US);
    fake_fleet_cut_zone(deployment, vm % FAKE_ZONES, false);
    fake_fleet_run(deployment, 40 * CS_SEC_US);
    expect_no_violation(deployment);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_COMPLETED);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against a cell whose holder never schedules and keeps renewing its
 * lease, because the answers that it gets lag or have no version, while those
 * of other VMs do not.
 */
static void
takeover__holder_whose_reads_lag_gives_up_the_cell(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 16, .racks = 2, .seed = 1};
    fake_fleet *deployment = fake_fleet_create(&settings);
    uint32_t holder;
    uint32_t vm = 0;
    uint64_t epoch;
    fake_job job;
    int32_t reply;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    holder = (uint32_t)fake_fleet_holder(deployment);
    epoch = fake_fleet_epoch(deployment, holder);
    fake_fleet_kill(deployment, holder, CS_SEC_US);
    while (fake_fleet_epoch(deployment, vm) <= epoch) {
        vm = (vm + 1) % settings.vms;
        if (vm == 0)
            fake_fleet_run(deployment, CS_MS_US);
    }
    fake_fleet_set_store_lag(deployment, (int32_t)vm, NULL, 3600 * CS_SEC_US);
    fake_job_init(&job, 1, 2, 8, 1, 500);
    fake_fleet_submit(deployment, (vm + 1) % settings.vms, &job, &reply);
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    expect_no_violation(deployment);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_COMPLETED);
    fake_fleet_destroy(deployment);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(takeover__tasks_run_once_while_reads_of_jobs_lag),
        cmocka_unit_test(takeover__tasks_run_once_while_reads_of_progress_lag),
        cmocka_unit_test(takeover__tasks_run_once_while_all_reads_lag),
        cmocka_unit_test(takeover__job_accepted_between_pages_is_run),
        cmocka_unit_test(takeover__removed_job_does_not_run_again),
        cmocka_unit_test(
            takeover__late_removal_of_progress_spares_a_newer_job),
        cmocka_unit_test(takeover__removal_without_an_answer_is_settled),
        cmocka_unit_test(takeover__row_that_is_gone_does_not_end_the_tenure),
        cmocka_unit_test(takeover__progress_of_running_tasks_is_not_removed),
        cmocka_unit_test(takeover__late_removal_of_a_job_spares_a_newer_one),
        cmocka_unit_test(takeover__cancelled_job_is_removed_after_its_end),
        cmocka_unit_test(
            takeover__silent_worker_is_not_gone_when_polls_have_lagged),
        cmocka_unit_test(
            takeover__earlier_process_does_not_end_the_wait_for_a_holder),
        cmocka_unit_test(takeover__holder_whose_reads_lag_gives_up_the_cell),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
