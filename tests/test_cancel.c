/*
 * Tests of cancels that overtake the submission of their job, in a simulated
 * deployment on a virtual clock. A cancel that was answered with "no such job"
 * holds: the job must not run, by whichever way its insert arrives later.
 */
#include "fake_fleet.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define VMS 4
#define JOB_ID "0000000000000001"
#define JOB_TASKS 4
/* How long a tombstone lasts: the retention of the fakes' settings and what
   the product adds to it. */
#define RETENTION_US (180 * CS_SEC_US)
/* Tombstones of one organisation on one VM at a time. */
#define ORGANISATION_MAX 64

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

/* Returns a VM that does not hold the cell. */
static uint32_t
other_vm(const fake_fleet *deployment, uint32_t number)
{
    return (uint32_t)(fake_fleet_holder(deployment) + 1 + (int32_t)number) %
           VMS;
}

static void
submit_job(fake_fleet *deployment, uint32_t vm, int32_t *reply)
{
    fake_job job;

    fake_job_init(&job, 1, 2, JOB_TASKS, 1, 1000);
    fake_fleet_submit(deployment, vm, &job, reply);
}

static void
set_faults(fake_fleet *deployment, uint32_t vm, fake_vm_faults faults)
{
    fake_fleet_set_faults(deployment, (int32_t)vm, &faults);
}

static void
expect_cancel_reply(fake_fleet *deployment, uint32_t vm, const char *id,
                    cs_reply_type type)
{
    int32_t reply;

    fake_fleet_cancel(deployment, vm, id, &reply);
    fake_fleet_run(deployment, 50 * CS_MS_US);
    assert_int_equal(reply, type);
}

static void
expect_no_job(fake_fleet *deployment, uint32_t vm)
{
    int32_t reply;
    int32_t state;

    fake_fleet_query_status(deployment, vm, JOB_ID, &reply, &state);
    fake_fleet_run(deployment, 100 * CS_MS_US);
    assert_int_equal(reply, CS_REPLY_NOT_FOUND);
    assert_int_equal(fake_fleet_row_count(deployment, "progress"), 0);
}

static void
expect_never_runs(fake_fleet *deployment)
{
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), 0);
    expect_no_job(deployment, other_vm(deployment, 2));
    assert_null(fake_fleet_violation(deployment));
}

/* Guards against a cancelled job that runs: a VM that stood still, or a
   repeat by the caller, brings its submission after the cancel. */
static void
cancel__submission_read_after_the_cancel_does_not_run(void **state)
{
    fake_fleet *deployment = create_deployment(1);
    int32_t reply;

    expect_cancel_reply(deployment, other_vm(deployment, 0), JOB_ID,
                        CS_REPLY_NOT_FOUND);
    submit_job(deployment, other_vm(deployment, 1), &reply);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_REJECTED);
    expect_never_runs(deployment);
    submit_job(deployment, other_vm(deployment, 2), &reply);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_REJECTED);
    expect_never_runs(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against a cancelled job that runs: the store carries its insert out
   seconds later, without an answer. */
static void
cancel__late_insert_does_not_run(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 8; seed++) {
        fake_fleet *deployment = create_deployment(seed);
        int32_t reply;

        set_faults(deployment, other_vm(deployment, 0),
                   (fake_vm_faults){.late_changes_share = 1});
        submit_job(deployment, other_vm(deployment, 0), &reply);
        fake_fleet_run(deployment, 300 * CS_MS_US);
        expect_cancel_reply(deployment, other_vm(deployment, 1), JOB_ID,
                            CS_REPLY_NOT_FOUND);
        fake_fleet_run(deployment, 4 * CS_SEC_US);
        assert_int_equal(reply, CS_REPLY_REJECTED);
        expect_never_runs(deployment);
        fake_fleet_destroy(deployment);
    }
}

/* Guards against a cancelled job that runs: its submission waits in an entry
   for a retry while the cancel is answered by another. */
static void
cancel__submission_that_waits_for_a_retry_does_not_run(void **state)
{
    fake_fleet *deployment = create_deployment(2);
    int32_t reply;

    set_faults(deployment, other_vm(deployment, 0),
               (fake_vm_faults){.store_unreachable = true,
                                .peers_unreachable = true});
    submit_job(deployment, other_vm(deployment, 0), &reply);
    fake_fleet_run(deployment, 200 * CS_MS_US);
    expect_cancel_reply(deployment, other_vm(deployment, 1), JOB_ID,
                        CS_REPLY_NOT_FOUND);
    assert_int_equal(reply, -1);
    set_faults(deployment, other_vm(deployment, 0), (fake_vm_faults){0});
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_REJECTED);
    expect_never_runs(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against a cancelled job that runs: its insert passes through a peer,
   as the store turns the entry's VM away. */
static void
cancel__relayed_submission_does_not_run(void **state)
{
    fake_fleet *deployment = create_deployment(3);
    int32_t reply;

    set_faults(deployment, other_vm(deployment, 0),
               (fake_vm_faults){.store_refuses = true});
    fake_fleet_run(deployment, CS_SEC_US);
    expect_cancel_reply(deployment, other_vm(deployment, 1), JOB_ID,
                        CS_REPLY_NOT_FOUND);
    submit_job(deployment, other_vm(deployment, 0), &reply);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_REJECTED);
    expect_never_runs(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against a cancel that does not hold, as its own write got no answer,
   at once or at all. */
static void
cancel__cancel_whose_write_got_no_answer_holds(void **state)
{
    uint64_t seed;
    int late;

    for (seed = 1; seed <= 8; seed++) {
        for (late = 0; late <= 1; late++) {
            fake_fleet *deployment = create_deployment(seed);
            uint32_t vm = other_vm(deployment, 0);
            fake_vm_faults faults = {.unanswered_changes_share = late ? 0 : 1,
                                     .late_changes_share = late ? 1 : 0};
            int32_t reply;

            set_faults(deployment, vm, faults);
            fake_fleet_cancel(deployment, vm, JOB_ID, &reply);
            fake_fleet_run(deployment, 4 * CS_SEC_US);
            if (!late)
                assert_int_equal(reply, CS_REPLY_NOT_FOUND);
            assert_int_not_equal(reply, -1);
            fake_fleet_run(deployment, 6 * CS_SEC_US);
            set_faults(deployment, vm, (fake_vm_faults){0});
            submit_job(deployment, vm, &reply);
            fake_fleet_run(deployment, CS_SEC_US);
            assert_int_equal(reply, CS_REPLY_REJECTED);
            expect_never_runs(deployment);
            fake_fleet_destroy(deployment);
        }
    }
}

/* Guards against a submission that is stored in the middle of a cancel, after
   its read and before its write, and is not cancelled. */
static void
cancel__job_stored_during_the_cancel_is_cancelled(void **state)
{
    int64_t ahead_us;

    for (ahead_us = 0; ahead_us <= 12 * CS_MS_US; ahead_us += CS_MS_US) {
        fake_fleet *deployment = create_deployment(1);
        int32_t cancel_reply;
        int32_t reply;

        fake_fleet_cancel(deployment, other_vm(deployment, 0), JOB_ID,
                          &cancel_reply);
        fake_fleet_run(deployment, ahead_us);
        submit_job(deployment, other_vm(deployment, 1), &reply);
        fake_fleet_run(deployment, CS_SEC_US);
        assert_int_not_equal(cancel_reply, -1);
        if (reply == CS_REPLY_ACCEPTED) {
            assert_int_equal(cancel_reply, CS_REPLY_CANCELLED);
            assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                             CS_PROGRESS_CANCELLED);
        }
        else {
            assert_int_equal(cancel_reply, CS_REPLY_NOT_FOUND);
            assert_int_equal(reply, CS_REPLY_REJECTED);
            assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), 0);
        }
        fake_fleet_destroy(deployment);
    }
}

/* Guards against a takeover that loses cancels or shows them as jobs. */
static void
cancel__cancel_holds_after_takeovers(void **state)
{
    fake_fleet *deployment = create_deployment(4);
    uint32_t holder;
    uint32_t round;
    int32_t reply;

    expect_cancel_reply(deployment, other_vm(deployment, 0), JOB_ID,
                        CS_REPLY_NOT_FOUND);
    for (round = 0; round < 4; round++) {
        holder = (uint32_t)fake_fleet_holder(deployment);
        assert_int_equal(
            fake_fleet_counter(deployment, holder, "cs_tombstones"), 1);
        if (round % 2)
            fake_fleet_stop(deployment, holder);
        else
            fake_fleet_kill(deployment, holder, 2 * CS_SEC_US);
        if (round == 2)
            fake_fleet_compact(deployment);
        fake_fleet_run(deployment, 10 * CS_SEC_US);
        assert_int_not_equal(fake_fleet_holder(deployment), -1);
        submit_job(deployment, other_vm(deployment, round % 3), &reply);
        fake_fleet_run(deployment, CS_SEC_US);
        assert_int_equal(reply, CS_REPLY_REJECTED);
    }
    fake_fleet_query_queue(deployment, other_vm(deployment, 0), "q2", &reply);
    assert_int_equal(
        fake_fleet_waiting_jobs(deployment, other_vm(deployment, 0), "q2"), 0);
    expect_never_runs(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against rows of cancelled ids that are kept for good, and against
   ones that are removed, by a new holder too, before their time. */
static void
cancel__tombstones_are_removed_after_their_retention(void **state)
{
    fake_fleet *deployment = create_deployment(5);
    uint32_t vm = other_vm(deployment, 0);
    char id[CS_JOB_ID_BYTES];
    uint32_t number;
    int32_t reply;

    for (number = 1; number <= ORGANISATION_MAX; number++) {
        g_snprintf(id, sizeof(id), "%016x", number);
        expect_cancel_reply(deployment, vm, id, CS_REPLY_NOT_FOUND);
    }
    fake_fleet_run(deployment, 60 * CS_SEC_US);
    fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                    CS_SEC_US);
    fake_fleet_run(deployment, RETENTION_US - 70 * CS_SEC_US);
    assert_int_equal(fake_fleet_row_count(deployment, "job"),
                     ORGANISATION_MAX);
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    assert_int_equal(fake_fleet_row_count(deployment, "job"), 0);
    assert_int_equal(
        fake_fleet_counter(deployment, (uint32_t)fake_fleet_holder(deployment),
                           "cs_tombstones"),
        0);
    assert_int_equal(fake_fleet_rejected_changes(deployment), 0);
    submit_job(deployment, vm, &reply);
    fake_fleet_run(deployment, 10 * CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_COMPLETED);
    fake_fleet_destroy(deployment);
}

/* Guards against removals that are carried out late, or without an answer, and
   take a newer row with them, or that are repeated for good. */
static void
cancel__late_removal_spares_a_newer_row(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 8; seed++) {
        fake_fleet *deployment = create_deployment(seed);
        fake_vm_faults faults = {.late_changes_share = 0.5,
                                 .unanswered_changes_share = 0.2};
        uint32_t vm = other_vm(deployment, 0);
        int64_t end_us;
        int32_t reply;

        expect_cancel_reply(deployment, vm, JOB_ID, CS_REPLY_NOT_FOUND);
        fake_fleet_run(deployment, RETENTION_US - 2 * CS_SEC_US);
        set_faults(deployment, (uint32_t)fake_fleet_holder(deployment),
                   faults);
        end_us = fake_fleet_now_us(deployment) + 60 * CS_SEC_US;
        while (fake_fleet_has_tombstone(deployment, JOB_ID) &&
               fake_fleet_now_us(deployment) < end_us)
            fake_fleet_run(deployment, CS_MS_US);
        assert_false(fake_fleet_has_tombstone(deployment, JOB_ID));
        submit_job(deployment, vm, &reply);
        fake_fleet_run(deployment, 30 * CS_SEC_US);
        assert_int_equal(reply, CS_REPLY_ACCEPTED);
        assert_true(fake_fleet_job_is_stored(deployment, JOB_ID));
        assert_null(fake_fleet_violation(deployment));
        fake_fleet_destroy(deployment);
    }
}

/* Guards against a second cancel that holds no longer than the first. */
static void
cancel__further_cancel_holds_as_long(void **state)
{
    fake_fleet *deployment = create_deployment(6);
    int32_t reply;

    expect_cancel_reply(deployment, other_vm(deployment, 0), JOB_ID,
                        CS_REPLY_NOT_FOUND);
    fake_fleet_run(deployment, 150 * CS_SEC_US);
    expect_cancel_reply(deployment, other_vm(deployment, 1), JOB_ID,
                        CS_REPLY_NOT_FOUND);
    fake_fleet_run(deployment, 119 * CS_SEC_US);
    submit_job(deployment, other_vm(deployment, 0), &reply);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_REJECTED);
    expect_never_runs(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against clients that cancel any number of invented ids: rows beyond
   the limit, cancels beyond it that are said to hold, and other cancels or
   organisations that suffer. */
static void
cancel__tombstones_are_limited(void **state)
{
    fake_fleet *deployment = create_deployment(7);
    uint32_t vm = other_vm(deployment, 0);
    char id[CS_JOB_ID_BYTES];
    uint32_t number;
    int32_t reply;
    fake_job job;

    submit_job(deployment, vm, &reply);
    fake_fleet_run(deployment, 50 * CS_MS_US);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
    fake_fleet_set_organisations(deployment, 2);
    fake_fleet_configure(deployment, 5);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    for (number = 0; number < 4 * ORGANISATION_MAX; number++) {
        g_snprintf(id, sizeof(id), "%016x", 0x1000 + number);
        expect_cancel_reply(deployment, vm, id,
                            number < ORGANISATION_MAX ? CS_REPLY_NOT_FOUND
                                                      : CS_REPLY_REJECTED);
    }
    assert_int_equal(fake_fleet_row_count(deployment, "job"),
                     ORGANISATION_MAX + 1);
    /* A cancel that needs no new row is not limited. */
    expect_cancel_reply(deployment, vm, "0000000000001000",
                        CS_REPLY_NOT_FOUND);
    expect_cancel_reply(deployment, vm, JOB_ID, CS_REPLY_CANCELLED);
    expect_cancel_reply(deployment, other_vm(deployment, 1),
                        "0000000000002000", CS_REPLY_NOT_FOUND);
    /* A job of the other organisation, whose submission gets lost. */
    fake_job_init(&job, 3, 2, 1, 1, 1000);
    job.organisation = 1;
    fake_fleet_kill(deployment, other_vm(deployment, 2), CS_SEC_US);
    fake_fleet_submit(deployment, other_vm(deployment, 2), &job, &reply);
    expect_cancel_reply(deployment, vm, "0000000000000003",
                        CS_REPLY_NOT_FOUND);
    fake_fleet_run(deployment, RETENTION_US + CS_SEC_US);
    expect_cancel_reply(deployment, vm, "0000000000003000",
                        CS_REPLY_NOT_FOUND);
    fake_fleet_destroy(deployment);
}

/* Guards against a build that does not know tombstones and fails to read one,
   or takes it for a job to be run. */
static void
cancel__former_builds_read_a_tombstone_as_a_cancelled_job(void **state)
{
    GByteArray *bytes = g_byte_array_new();
    cs_job_spec tombstone;
    cs_job_spec copy;

    cs_job_spec_init_tombstone(&tombstone, JOB_ID, "t1", 5);
    cs_job_spec_encode(bytes, &tombstone);
    cs_job_spec_dispose(&tombstone);
    assert_int_equal(cs_job_spec_decode(&copy, bytes->data, bytes->len), 0);
    assert_true(copy.tombstone);
    assert_int_equal(copy.tombstone_ms, 5);
    cs_job_spec_dispose(&copy);
    /* Cuts off the last three of the 15 items. */
    assert_int_equal(bytes->data[0], 0x9f);
    bytes->data[0] = 0x9c;
    g_byte_array_set_size(bytes, bytes->len - 5);
    assert_int_equal(cs_job_spec_decode(&copy, bytes->data, bytes->len), 0);
    assert_false(copy.tombstone);
    assert_true(copy.cancelled);
    assert_string_equal(copy.id, JOB_ID);
    cs_job_spec_dispose(&copy);
    g_byte_array_free(bytes, TRUE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            cancel__submission_read_after_the_cancel_does_not_run),
        cmocka_unit_test(cancel__late_insert_does_not_run),
        cmocka_unit_test(
            cancel__submission_that_waits_for_a_retry_does_not_run),
        cmocka_unit_test(cancel__relayed_submission_does_not_run),
        cmocka_unit_test(cancel__cancel_whose_write_got_no_answer_holds),
        cmocka_unit_test(cancel__job_stored_during_the_cancel_is_cancelled),
        cmocka_unit_test(cancel__cancel_holds_after_takeovers),
        cmocka_unit_test(cancel__tombstones_are_removed_after_their_retention),
        cmocka_unit_test(cancel__late_removal_spares_a_newer_row),
        cmocka_unit_test(cancel__further_cancel_holds_as_long),
        cmocka_unit_test(cancel__tombstones_are_limited),
        cmocka_unit_test(
            cancel__former_builds_read_a_tombstone_as_a_cancelled_job),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
