/*
 * Tests of how long a new holder waits for processes that have held the cell
 * before it, in a simulated deployment on a virtual clock.
 */
#include "harness.h"
#include "fake_fleet.h"
#include "corianderstair/errors.h"
#include "corianderstair/job_progress.h"
#include "corianderstair/log.h"
#include "corianderstair/record.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define JOB_ID "0000000000000001"
#define JOB_TASKS 10
/* Bound of the fakes' settings within which lost tasks run again. */
#define RESTART_US (14 * CS_SEC_US)
/* The lease of the settings, 6 s, on a clock that is 2% slow. */
#define LEASE_US (6300 * CS_MS_US)
/* A new holder looks for rows of former ones each second. */
#define NOTICE_US (1500 * CS_MS_US)

static fake_fleet *
create_deployment(const fake_fleet_settings *settings)
{
    fake_fleet *deployment = fake_fleet_create(settings);

    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), -1);
    return deployment;
}

static fake_fleet *
create_small_deployment(uint64_t seed)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 16, .racks = 2, .seed = seed};

    return create_deployment(&settings);
}

static void
expect_no_violation(const fake_fleet *deployment)
{
    if (fake_fleet_violation(deployment))
        fail_msg("%s", fake_fleet_violation(deployment));
}

/* Lets a job run on 10 of 16 workers, longer than former holders are waited
   for. */
static void
start_job(fake_fleet *deployment)
{
    int32_t reply;
    fake_job job;

    fake_job_init(&job, 1, 2, JOB_TASKS, 8, 60 * 1000);
    fake_fleet_submit(deployment, (uint32_t)fake_fleet_holder(deployment),
                      &job, &reply);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, JOB_ID), JOB_TASKS);
}

/* Ends every third worker for good; their entries expire. */
static void
lose_workers(fake_fleet *deployment)
{
    uint32_t i;

    for (i = 0; i < 16; i += 3)
        fake_fleet_crash_worker(deployment, i, 3600 * CS_SEC_US);
}

/* Cuts or restores the network of the 16 workers that are in a zone. */
static void
disconnect_workers(fake_fleet *deployment, uint32_t zone, bool cut)
{
    uint32_t i;

    for (i = zone; i < 16; i += FAKE_ZONES)
        fake_fleet_set_worker_disconnected(deployment, i, cut);
}

/* Returns the VM that holds the cell according to another one. */
static uint32_t
holder_known_to(const fake_fleet *deployment, uint32_t vm)
{
    json_t *status = fake_fleet_status(deployment, vm);
    const char *holder = json_string_value(json_object_get(status, "holder"));
    uint32_t number;

    assert_non_null(holder);
    assert_true(g_str_has_prefix(holder, "vm-"));
    number = (uint32_t)g_ascii_strtoull(holder + strlen("vm-"), NULL, 10);
    json_decref(status);
    return number;
}

/* Advances until a process knows of a higher epoch. Returns the VM that has
   acquired the cell under it. */
static uint32_t
run_to_takeover(fake_fleet *deployment, uint32_t vms, uint64_t former_epoch)
{
    uint32_t step;
    uint32_t i;

    for (step = 0; step < 10000; step++) {
        for (i = 0; i < vms; i++) {
            if (fake_fleet_epoch(deployment, i) > former_epoch)
                return holder_known_to(deployment, i);
        }
        fake_fleet_run(deployment, CS_MS_US);
    }
    fail_msg("nobody has acquired the cell");
    return 0;
}

/* Expects that tasks which were lost with their workers start elsewhere at
   min_us to max_us. */
static void
expect_restart(fake_fleet *deployment, int64_t min_us, int64_t max_us)
{
    int64_t limit_us = fake_fleet_now_us(deployment) + 60 * CS_SEC_US;

    while (fake_fleet_start_count(deployment, JOB_ID) == JOB_TASKS &&
           fake_fleet_now_us(deployment) < limit_us)
        fake_fleet_run(deployment, 10 * CS_MS_US);
    assert_in_range(fake_fleet_now_us(deployment), min_us, max_us);
}

static void
expect_job_completed(fake_fleet *deployment)
{
    fake_fleet_run(deployment, 200 * CS_SEC_US);
    expect_no_violation(deployment);
    assert_int_equal(fake_fleet_job_state(deployment, JOB_ID),
                     CS_PROGRESS_COMPLETED);
}

/* Starts a job, freezes the holder, and loses workers. */
static fake_fleet *
create_with_frozen_holder(uint64_t seed, int64_t us)
{
    fake_fleet *deployment = create_small_deployment(seed);

    start_job(deployment);
    fake_fleet_freeze(deployment, (uint32_t)fake_fleet_holder(deployment), us);
    lose_workers(deployment);
    return deployment;
}

/*
 * Guards against jobs that wait 21 s for tasks on workers that have gone while
 * the holder stood still for 4 s: it knows after these that it was deposed.
 */
static void
former_holder__one_that_wakes_is_not_waited_for(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 8; seed++) {
        fake_fleet *deployment =
            create_with_frozen_holder(seed, 4 * CS_SEC_US);
        int64_t wakes_us = fake_fleet_now_us(deployment) + 4 * CS_SEC_US;

        expect_restart(deployment, wakes_us, wakes_us + LEASE_US + NOTICE_US);
        expect_job_completed(deployment);
        fake_fleet_destroy(deployment);
    }
}

/* Guards against the same wait for a holder whose zone was cut off. */
static void
former_holder__one_whose_zone_is_back_is_not_waited_for(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 8; seed++) {
        fake_fleet *deployment = create_small_deployment(seed);
        uint32_t zone = (uint32_t)fake_fleet_holder(deployment) % FAKE_ZONES;
        int64_t back_us;

        start_job(deployment);
        fake_fleet_cut_zone(deployment, zone, true);
        lose_workers(deployment);
        fake_fleet_run(deployment, 5 * CS_SEC_US);
        assert_int_equal(fake_fleet_start_count(deployment, JOB_ID),
                         JOB_TASKS);
        fake_fleet_cut_zone(deployment, zone, false);
        back_us = fake_fleet_now_us(deployment);
        /* It repeats its change to the store within a second. */
        expect_restart(deployment, back_us,
                       back_us + CS_SEC_US + LEASE_US + NOTICE_US);
        expect_job_completed(deployment);
        fake_fleet_destroy(deployment);
    }
}

/* Guards against the same wait after two takeovers in a row, for the first of
   two holders that both know that they were deposed. */
static void
former_holder__two_in_a_row_are_not_waited_for(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 8; seed++) {
        fake_fleet *deployment =
            create_with_frozen_holder(seed, 4 * CS_SEC_US);
        uint32_t holder = run_to_takeover(deployment, 4, 1);
        int64_t wakes_us = fake_fleet_now_us(deployment) + 4 * CS_SEC_US;

        fake_fleet_freeze(deployment, holder, 4 * CS_SEC_US);
        assert_int_not_equal(run_to_takeover(deployment, 4, 2), holder);
        expect_restart(deployment, wakes_us, wakes_us + LEASE_US + NOTICE_US);
        expect_job_completed(deployment);
        fake_fleet_destroy(deployment);
    }
}

/*
 * Guards against a former holder that writes only once that its tenure has
 * ended: its changes to the store are lost for 2 s, or carried out late, or
 * the store refuses it and it reaches no peer.
 */
static void
former_holder__row_is_written_until_the_store_confirms_it(void **state)
{
    const fake_vm_faults faults[] = {
        {.lost_changes_share = 1},
        {.late_changes_share = 1},
        {.store_refuses = true, .peers_unreachable = true}};
    const fake_vm_faults none = {0};
    uint32_t i;

    for (i = 0; i < G_N_ELEMENTS(faults); i++) {
        fake_fleet *deployment = create_with_frozen_holder(1, 4 * CS_SEC_US);
        int32_t holder = fake_fleet_holder(deployment);
        int64_t end_us;

        fake_fleet_run(deployment, 3900 * CS_MS_US);
        fake_fleet_set_faults(deployment, holder, &faults[i]);
        fake_fleet_run(deployment, 2100 * CS_MS_US);
        fake_fleet_set_faults(deployment, holder, &none);
        end_us = fake_fleet_now_us(deployment);
        expect_restart(deployment, end_us,
                       end_us + 2 * CS_SEC_US + LEASE_US + NOTICE_US);
        expect_job_completed(deployment);
        fake_fleet_destroy(deployment);
    }
}

/*
 * Guards against a wait of 21 s for a VM that has acquired the cell without
 * knowing it, as the answer to its write was lost, and was then frozen: it
 * never began its tenure.
 */
static void
former_holder__one_that_never_began_is_not_waited_for(void **state)
{
    fake_fleet *deployment = create_with_frozen_holder(1, 4 * CS_SEC_US);
    fake_vm_faults faults = {.unanswered_changes_share = 1};
    uint32_t second = run_to_takeover(deployment, 4, 1);
    int64_t wakes_us;

    /* Plays the same again, now with a lost answer. */
    fake_fleet_destroy(deployment);
    deployment = create_with_frozen_holder(1, 4 * CS_SEC_US);
    fake_fleet_set_faults(deployment, (int32_t)second, &faults);
    assert_int_equal(run_to_takeover(deployment, 4, 1), second);
    assert_int_equal(fake_fleet_epoch(deployment, second), 1);
    fake_fleet_freeze(deployment, second, 4 * CS_SEC_US);
    wakes_us = fake_fleet_now_us(deployment) + 4 * CS_SEC_US;
    faults.unanswered_changes_share = 0;
    fake_fleet_set_faults(deployment, (int32_t)second, &faults);
    assert_int_not_equal(run_to_takeover(deployment, 4, 2), second);
    expect_restart(deployment, wakes_us, wakes_us + LEASE_US + NOTICE_US);
    assert_int_equal(
        fake_fleet_counter(deployment, second, "cs_cell_taken_total"), 0);
    expect_job_completed(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against tasks that run twice because a former holder is taken for one
 * that extends nothing: the leases that it has extended last, of workers that
 * only it reached, have not ended when it learns that it was deposed.
 */
static void
former_holder__its_last_leases_are_waited_for(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 12; seed++) {
        /* Half of the deployments call their workers through executors. */
        fake_fleet_settings settings = {.vms = 9,
                                        .workers = 16,
                                        .racks = 2,
                                        .seed = seed,
                                        .max_direct_workers = seed % 2 * 4,
                                        .slow_clocks = true};
        fake_fleet *deployment = create_deployment(&settings);
        uint32_t zone = (uint32_t)fake_fleet_holder(deployment) % FAKE_ZONES;

        start_job(deployment);
        fake_fleet_cut_zone(deployment, zone, true);
        fake_fleet_run(deployment, 9 * CS_SEC_US + (int64_t)seed * 83000);
        disconnect_workers(deployment, zone, true);
        fake_fleet_cut_zone(deployment, zone, false);
        fake_fleet_run(deployment, 20 * CS_SEC_US);
        disconnect_workers(deployment, zone, false);
        expect_job_completed(deployment);
        fake_fleet_destroy(deployment);
    }
}

/* Kills all VMs but one, so that it acquires the cell. */
static void
let_acquire(fake_fleet *deployment, uint32_t vms, uint32_t vm)
{
    uint32_t i;

    for (i = 0; i < vms; i++) {
        if (i != vm)
            fake_fleet_kill(deployment, i, 8 * CS_SEC_US);
    }
    fake_fleet_run(deployment, 12 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(deployment), vm);
}

/*
 * Guards against tasks that run twice because a process that holds the cell
 * again, and is cut off with some workers, is taken for one that extends
 * nothing: it had written so of its first tenure.
 */
static void
former_holder__one_that_holds_the_cell_again_is_waited_for(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 4; seed++) {
        fake_fleet_settings settings = {
            .vms = 9, .workers = 16, .racks = 2, .seed = seed};
        fake_fleet *deployment = create_deployment(&settings);
        uint32_t vm = (uint32_t)fake_fleet_holder(deployment);

        fake_fleet_freeze(deployment, vm, 4 * CS_SEC_US);
        fake_fleet_run(deployment, 6 * CS_SEC_US);
        assert_int_equal(fake_fleet_row_count(deployment, CS_TABLE_TENURES),
                         1);
        let_acquire(deployment, settings.vms, vm);
        start_job(deployment);
        fake_fleet_cut_zone(deployment, vm % FAKE_ZONES, true);
        fake_fleet_run(deployment, 40 * CS_SEC_US);
        fake_fleet_cut_zone(deployment, vm % FAKE_ZONES, false);
        expect_job_completed(deployment);
        fake_fleet_destroy(deployment);
    }
}

/*
 * Guards against a wait of 21 s for the first of two holders in a row although
 * its VM runs a later process: only the last one was known by name.
 */
static void
former_holder__earlier_ones_that_restart_are_not_waited_for(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 8; seed++) {
        fake_fleet *deployment = create_small_deployment(seed);
        int64_t back_us;

        start_job(deployment);
        fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                        8 * CS_SEC_US);
        back_us = fake_fleet_now_us(deployment) + 8 * CS_SEC_US;
        lose_workers(deployment);
        fake_fleet_kill(deployment, run_to_takeover(deployment, 4, 1),
                        CS_SEC_US);
        run_to_takeover(deployment, 4, 2);
        expect_restart(deployment, back_us,
                       back_us + LEASE_US + 2 * NOTICE_US);
        expect_job_completed(deployment);
        fake_fleet_destroy(deployment);
    }
}

/*
 * Guards against tasks that run twice after several takeovers in a row: each
 * holder reaches workers that its successors do not, is frozen or cut off with
 * them, and carries on, while some orders are carried out late.
 */
static void
former_holder__tasks_run_once_after_takeovers_in_a_row(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 24; seed++) {
        fake_fleet_settings settings = {.vms = 9,
                                        .workers = 16,
                                        .racks = 2,
                                        .seed = seed,
                                        .max_direct_workers = seed % 2 * 4,
                                        .slow_clocks = true};
        fake_fleet *deployment = create_deployment(&settings);
        fake_vm_faults faults = {.late_orders_share = 0.3};
        uint32_t i;

        start_job(deployment);
        fake_fleet_set_faults(deployment, -1, &faults);
        for (i = 0; i < 4; i++) {
            uint32_t holder = (uint32_t)fake_fleet_holder(deployment);
            uint64_t epoch = fake_fleet_epoch(deployment, holder);
            uint32_t worker = ((uint32_t)seed + i * 5) % settings.workers;

            if (i % 2)
                fake_fleet_freeze(deployment, holder,
                                  (int64_t)(seed % 5 + 3) * CS_SEC_US);
            else
                fake_fleet_cut_zone(deployment, holder % FAKE_ZONES, true);
            fake_fleet_set_worker_disconnected(deployment, worker, true);
            run_to_takeover(deployment, settings.vms, epoch);
            fake_fleet_run(deployment,
                           200 * CS_MS_US + (int64_t)(seed % 7) * CS_SEC_US);
            fake_fleet_cut_zone(deployment, holder % FAKE_ZONES, false);
            fake_fleet_set_worker_disconnected(deployment, worker, i % 2);
        }
        fake_fleet_run(deployment, 20 * CS_SEC_US);
        memset(&faults, 0, sizeof(faults));
        fake_fleet_set_faults(deployment, -1, &faults);
        for (i = 0; i < settings.workers; i++)
            fake_fleet_set_worker_disconnected(deployment, i, false);
        expect_job_completed(deployment);
        fake_fleet_destroy(deployment);
    }
}

/* Lets every third worker announce that it leaves, and go. */
static void
let_workers_leave(fake_fleet *deployment)
{
    uint32_t i;

    for (i = 0; i < 16; i += 3)
        fake_fleet_drain_worker(deployment, i);
    fake_fleet_run(deployment, 1900 * CS_MS_US);
    lose_workers(deployment);
}

/*
 * Guards against jobs that wait 17 s for tasks on workers that have left, as
 * the holder's VM was removed for good at the same time and nobody writes that
 * its tenure has ended.
 */
static void
former_holder__one_that_is_gone_is_waited_for_no_longer_than_the_bound(
    void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 12; seed++) {
        fake_fleet *deployment = create_small_deployment(seed);
        int64_t gone_us;

        start_job(deployment);
        if (seed % 2)
            let_workers_leave(deployment);
        else
            lose_workers(deployment);
        fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                        3600 * CS_SEC_US);
        gone_us = fake_fleet_now_us(deployment);
        expect_restart(deployment, gone_us, gone_us + RESTART_US);
        expect_job_completed(deployment);
        fake_fleet_destroy(deployment);
    }
}

/* Guards against the same wait for the first of two holders that are removed
   one after the other. */
static void
former_holder__two_that_are_gone_are_waited_for_no_longer(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 8; seed++) {
        fake_fleet *deployment = create_small_deployment(seed);
        int64_t gone_us;

        start_job(deployment);
        fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                        3600 * CS_SEC_US);
        lose_workers(deployment);
        fake_fleet_kill(deployment, run_to_takeover(deployment, 4, 1),
                        3600 * CS_SEC_US);
        gone_us = fake_fleet_now_us(deployment);
        expect_restart(deployment, gone_us, gone_us + RESTART_US);
        expect_job_completed(deployment);
        fake_fleet_destroy(deployment);
    }
}

/*
 * Guards against tasks that run twice because a successor counts with its own
 * settings and not with what the former holder's row states, or does not: that
 * holder, cut off with some workers, extends their leases for longer.
 */
static void
former_holder__its_row_tells_how_long_to_wait(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 16; seed++) {
        fake_fleet_settings settings = {.vms = 9,
                                        .workers = 16,
                                        .racks = 2,
                                        .seed = seed,
                                        .max_direct_workers = seed % 2 * 4,
                                        .slow_clocks = true,
                                        .restart_not_given = true};
        fake_fleet *deployment = create_deployment(&settings);
        uint32_t zone = (uint32_t)fake_fleet_holder(deployment) % FAKE_ZONES;
        uint32_t i;

        for (i = 0; i < settings.vms; i++)
            fake_fleet_set_restart_given(deployment, i, true);
        start_job(deployment);
        fake_fleet_cut_zone(deployment, zone, true);
        if (seed % 4 >= 2)
            fake_fleet_put_former_epoch_row(deployment);
        fake_fleet_run(deployment, (12 + (int64_t)seed) * CS_SEC_US);
        fake_fleet_cut_zone(deployment, zone, false);
        expect_job_completed(deployment);
        fake_fleet_destroy(deployment);
    }
}

/*
 * Guards against tasks that run twice because a holder whose VM runs a later
 * process is taken for one whose leases have ended with it: it has extended
 * them, on workers that only it reached, until it was killed.
 */
static void
former_holder__leases_outlast_its_process(void **state)
{
    uint64_t seed;

    for (seed = 1; seed <= 12; seed++) {
        fake_fleet_settings settings = {.vms = 9,
                                        .workers = 16,
                                        .racks = 2,
                                        .seed = seed,
                                        .slow_clocks = true};
        fake_fleet *deployment = create_deployment(&settings);
        uint32_t holder = (uint32_t)fake_fleet_holder(deployment);
        uint32_t zone = holder % FAKE_ZONES;

        start_job(deployment);
        fake_fleet_cut_zone(deployment, zone, true);
        fake_fleet_run(deployment, 6 * CS_SEC_US + (int64_t)seed * 41000);
        disconnect_workers(deployment, zone, true);
        fake_fleet_kill(deployment, holder, 200 * CS_MS_US);
        fake_fleet_cut_zone(deployment, zone, false);
        fake_fleet_run(deployment, 20 * CS_SEC_US);
        disconnect_workers(deployment, zone, false);
        expect_job_completed(deployment);
        fake_fleet_destroy(deployment);
    }
}

/* Number of former holders that a row of the epoch names. */
#define FORMER_HOLDERS 8

/* Writes a row of the epoch by which the oldest of several former holders
   extends leases until oldest_end_us. */
static void
put_former_holders(fake_fleet *deployment, uint64_t epoch,
                   int64_t oldest_end_us)
{
    int64_t now_ms = fake_fleet_now_us(deployment) / CS_MS_US;
    GByteArray *value = g_byte_array_new();
    msgpack_packer packer;
    uint32_t i;

    cs_record_packer_init(&packer, value);
    msgpack_pack_array(&packer, 5);
    msgpack_pack_int64(&packer, 1);
    msgpack_pack_uint64(&packer, epoch);
    cs_record_pack_text(&packer, "vm-gone-1");
    msgpack_pack_int64(&packer, 0);
    msgpack_pack_array(&packer, FORMER_HOLDERS);
    for (i = 0; i < FORMER_HOLDERS; i++) {
        msgpack_pack_array(&packer, 3);
        cs_record_pack_text(&packer, "vm-former-1");
        msgpack_pack_uint64(&packer, i + 1);
        msgpack_pack_int64(&packer,
                           i == 0 ? oldest_end_us / CS_MS_US : now_ms + 8000);
    }
    fake_fleet_put_cell_row(deployment, "epoch", value->data, value->len);
    g_byte_array_unref(value);
}

/*
 * Guards against tasks that run twice because the oldest of more former
 * holders than a row has room for is dropped although the leases that it
 * extends last longest.
 */
static void
former_holder__oldest_of_many_is_waited_for(void **state)
{
    fake_fleet *deployment = create_small_deployment(1);
    int64_t end_us;

    start_job(deployment);
    fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                    3600 * CS_SEC_US);
    lose_workers(deployment);
    end_us = fake_fleet_now_us(deployment) + 40 * CS_SEC_US;
    put_former_holders(deployment, FORMER_HOLDERS + 1, end_us);
    expect_restart(deployment, end_us, end_us + NOTICE_US);
    expect_job_completed(deployment);
    fake_fleet_destroy(deployment);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(former_holder__one_that_wakes_is_not_waited_for),
        cmocka_unit_test(
            former_holder__one_whose_zone_is_back_is_not_waited_for),
        cmocka_unit_test(former_holder__two_in_a_row_are_not_waited_for),
        cmocka_unit_test(
            former_holder__row_is_written_until_the_store_confirms_it),
        cmocka_unit_test(
            former_holder__one_that_never_began_is_not_waited_for),
        cmocka_unit_test(former_holder__its_last_leases_are_waited_for),
        cmocka_unit_test(
            former_holder__one_that_holds_the_cell_again_is_waited_for),
        cmocka_unit_test(
            former_holder__earlier_ones_that_restart_are_not_waited_for),
        cmocka_unit_test(
            former_holder__tasks_run_once_after_takeovers_in_a_row),
        cmocka_unit_test(
            former_holder__one_that_is_gone_is_waited_for_no_longer_than_the_bound),
        cmocka_unit_test(
            former_holder__two_that_are_gone_are_waited_for_no_longer),
        cmocka_unit_test(former_holder__its_row_tells_how_long_to_wait),
        cmocka_unit_test(former_holder__leases_outlast_its_process),
        cmocka_unit_test(former_holder__oldest_of_many_is_waited_for),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
