/* A large configuration on slow links, and the restart of all VMs, on a
   virtual clock. The bounds are those of docs/design/heavy-load.md. */
#include "fake_fleet.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define VMS 40
#define LINK_KBPS 10000
#define MORE_QUEUES 1803 /* 1,807 with those of fake_fleet_configure() */
#define ROW_WIRE_BYTES 1100000
/* config_apply_ms and its extension while the store is disturbed. */
#define APPLY_US (3 * CS_SEC_US)
#define DISTURBED_US (6 * CS_SEC_US)
/* As stated in docs/design/store-routes.md. */
#define ROUTES_SETTLE_US (8 * CS_SEC_US)
/* Twice the interval of calls to a store that refuses, stated there as well: a
   call may have been sent just before the store serves again. */
#define REFUSED_RETRY_BOUND_US (400 * CS_MS_US)
/* A VM that the store does not serve for a while. */
#define LATE_VM 38
#define MISSED_VERSIONS 6
/* The first probe of the direct route, up to 1.5 s after the store serves the
   VM again, and two more, 250 ms apart; see docs/design/store-routes.md. */
#define DIRECT_AGAIN_US (2 * CS_SEC_US)
#define RESTART_JOBS 460
#define RESTART_BOUND_US (2500 * CS_MS_US)

static const fake_vm_faults no_faults = {0};
static const fake_vm_faults refused = {.store_refuses = true};
static const fake_vm_faults unanswered = {.config_unanswered = true};

static const fake_fleet_settings slow_links = {.vms = VMS,
                                               .workers = 60,
                                               .racks = 6,
                                               .seed = 3,
                                               .config_apply_ms = 3000,
                                               .link_kbps = {LINK_KBPS},
                                               .store_kbps = 1000000,
                                               .store_reads_per_s = 6000};

static fake_fleet *
create_fleet(const fake_fleet_settings *settings)
{
    fake_fleet *fleet = fake_fleet_create(settings);

    fake_fleet_run(fleet, 6 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(fleet), -1);
    return fleet;
}

static uint32_t
count_vms_with(const fake_fleet *fleet, uint64_t version, uint32_t vms)
{
    uint32_t count = 0;
    uint32_t vm;

    for (vm = 0; vm < vms; vm++)
        count += fake_fleet_config_version(fleet, vm) == version;
    return count;
}

static int64_t
sum_counter(const fake_fleet *fleet, const char *name)
{
    int64_t sum = 0;
    uint32_t vm;

    for (vm = 0; vm < VMS; vm++)
        sum += fake_fleet_counter(fleet, vm, name);
    return sum;
}

/* Guards against a healthy store whose feed sends the row of each version to
   all VMs, and VMs that abandon it before their link has carried it. */
static void
large_config__is_applied_in_time(void **state)
{
    fake_fleet *fleet = create_fleet(&slow_links);
    uint64_t bytes = fake_fleet_store_load(fleet).sent_bytes;

    fake_fleet_configure_queues(fleet, 2, MORE_QUEUES);
    fake_fleet_run(fleet, APPLY_US);
    assert_int_equal(count_vms_with(fleet, 2, VMS), VMS);
    /* Now VMs know that it is large, and take turns. */
    fake_fleet_configure_queues(fleet, 3, MORE_QUEUES);
    fake_fleet_run(fleet, APPLY_US);
    assert_int_equal(count_vms_with(fleet, 3, VMS), VMS);
    bytes = fake_fleet_store_load(fleet).sent_bytes - bytes;
    assert_true(bytes < (uint64_t)3 * VMS * ROW_WIRE_BYTES);
    assert_int_equal(sum_counter(fleet, "cs_store_way_changes_total"), 0);
    fake_fleet_destroy(fleet);
}

/* Guards against VMs that poll in slots, learn there that the store has
   dropped the change, and wait for a further slot before they read the row. */
static void
large_config__is_applied_in_time_without_history(void **state)
{
    fake_fleet *fleet = create_fleet(&slow_links);

    fake_fleet_configure_queues(fleet, 2, MORE_QUEUES);
    fake_fleet_run(fleet, APPLY_US);
    fake_fleet_configure_queues(fleet, 3, MORE_QUEUES);
    fake_fleet_compact(fleet);
    fake_fleet_run(fleet, APPLY_US);
    assert_int_equal(count_vms_with(fleet, 3, VMS), VMS);
    fake_fleet_destroy(fleet);
}

/* Guards against a backoff that keeps restarted VMs without a configuration
   after a store that refused all serves again, although their links could have
   transferred it. */
static void
large_config__is_applied_soon_after_the_store_refused(void **state)
{
    fake_fleet *fleet = create_fleet(&slow_links);
    uint32_t vm;

    fake_fleet_set_faults(fleet, -1, &refused);
    for (vm = 0; vm < VMS; vm++)
        fake_fleet_kill(fleet, vm, CS_SEC_US);
    fake_fleet_run(fleet, 7 * CS_SEC_US);
    assert_int_equal(count_vms_with(fleet, 1, VMS), 0);
    fake_fleet_set_faults(fleet, -1, &no_faults);
    fake_fleet_run(fleet, REFUSED_RETRY_BOUND_US);
    assert_int_equal(count_vms_with(fleet, 1, VMS), VMS);
    fake_fleet_destroy(fleet);
}

/* Guards against a metastable failure: transfers that were abandoned and
   restarted kept links full after the store had recovered, and VMs kept
   changing their routes. */
static void
large_config__is_applied_after_the_store_was_slow(void **state)
{
    fake_fleet *fleet = create_fleet(&slow_links);
    uint64_t bytes = fake_fleet_store_load(fleet).sent_bytes;
    int64_t changes;

    fake_fleet_set_store_delay(fleet, 1500 * CS_MS_US);
    fake_fleet_configure_queues(fleet, 2, MORE_QUEUES);
    fake_fleet_run(fleet, 5 * CS_SEC_US);
    fake_fleet_set_store_delay(fleet, 0);
    fake_fleet_run(fleet, DISTURBED_US);
    assert_int_equal(count_vms_with(fleet, 2, VMS), VMS);
    fake_fleet_run(fleet, ROUTES_SETTLE_US - DISTURBED_US);
    bytes = fake_fleet_store_load(fleet).sent_bytes - bytes;
    assert_true(bytes < (uint64_t)3 * VMS * ROW_WIRE_BYTES);
    changes = sum_counter(fleet, "cs_store_way_changes_total");
    fake_fleet_run(fleet, 10 * CS_SEC_US);
    assert_int_equal(sum_counter(fleet, "cs_store_way_changes_total"),
                     changes);
    /* 4 tokens, one per 2 s, and the return, for each VM. */
    assert_true(changes <= VMS * (4 + 13 / 2 + 1));
    fake_fleet_destroy(fleet);
}

/* Guards against VMs that serve nothing after a restart because they never
   obtain a configuration that their link needs a second for. */
static void
large_config__is_read_once_after_a_restart(void **state)
{
    fake_fleet *fleet = create_fleet(&slow_links);
    uint64_t bytes;
    fake_job job;
    uint32_t i;

    fake_fleet_configure_queues(fleet, 2, MORE_QUEUES);
    fake_fleet_run(fleet, APPLY_US);
    for (i = 0; i < RESTART_JOBS; i++) {
        fake_job_init(&job, 1 + i, 1, 2, 1, 1500);
        fake_fleet_submit(fleet, i % VMS, &job, NULL);
    }
    fake_fleet_run(fleet, CS_SEC_US);
    bytes = fake_fleet_store_load(fleet).sent_bytes;
    for (i = 0; i < VMS; i++)
        fake_fleet_kill(fleet, i, CS_SEC_US);
    fake_fleet_run(fleet, CS_SEC_US + RESTART_BOUND_US);
    assert_int_equal(count_vms_with(fleet, 2, VMS), VMS);
    assert_int_not_equal(fake_fleet_holder(fleet), -1);
    bytes = fake_fleet_store_load(fleet).sent_bytes - bytes;
    assert_true(bytes < (uint64_t)VMS * ROW_WIRE_BYTES * 3 / 2);
    fake_fleet_run(fleet, 30 * CS_SEC_US);
    for (i = 0; i < RESTART_JOBS; i++) {
        char id[CS_JOB_ID_BYTES];

        g_snprintf(id, sizeof(id), "%016x", 1 + i);
        assert_int_equal(fake_fleet_job_state(fleet, id),
                         CS_PROGRESS_COMPLETED);
    }
    assert_null(fake_fleet_violation(fleet));
    fake_fleet_destroy(fleet);
}

/* Guards against a transfer that stalls and keeps its call open, and against
   taking its end for a failure of the route. */
static void
large_config__stalled_transfer_is_repeated(void **state)
{
    fake_fleet *fleet = create_fleet(&slow_links);

    fake_fleet_stall_transfer(fleet, 7);
    fake_fleet_configure_queues(fleet, 2, MORE_QUEUES);
    fake_fleet_run(fleet, APPLY_US);
    assert_int_equal(count_vms_with(fleet, 2, VMS), VMS);
    assert_int_equal(fake_fleet_counter(fleet, 7, "cs_config_retries_total"),
                     1);
    assert_int_equal(
        fake_fleet_counter(fleet, 7, "cs_store_way_changes_total"), 0);
    fake_fleet_destroy(fleet);
}

/* Guards against a VM that stays with a peer that the store refuses as well,
   and against peers whose links carry the configuration again and again. */
static void
large_config__refused_vms_avoid_refused_peers(void **state)
{
    fake_fleet *fleet = create_fleet(&slow_links);
    uint32_t vm;

    for (vm = 0; vm < VMS; vm += 4)
        fake_fleet_set_faults(fleet, (int32_t)vm, &refused);
    fake_fleet_run(fleet, 2 * CS_SEC_US);
    fake_fleet_configure_queues(fleet, 2, MORE_QUEUES);
    fake_fleet_run(fleet, APPLY_US + DISTURBED_US);
    assert_int_equal(count_vms_with(fleet, 2, VMS), VMS);
    fake_fleet_set_faults(fleet, -1, &no_faults);
    fake_fleet_run(fleet, 6 * CS_SEC_US);
    /* To three peers and back, then to one more and back. */
    for (vm = 0; vm < VMS; vm++)
        assert_true(
            fake_fleet_counter(fleet, vm, "cs_store_way_changes_total") <= 6);
    fake_fleet_destroy(fleet);
}

/* Guards against a VM that has to transfer each version that it missed before
   it learns the newest one, and falls behind meanwhile. */
static void
large_config__vm_that_missed_versions_reads_the_newest(void **state)
{
    fake_fleet *fleet = create_fleet(&slow_links);
    uint64_t version = 2;
    uint64_t bytes;

    fake_fleet_configure_queues(fleet, version, MORE_QUEUES);
    fake_fleet_run(fleet, APPLY_US);
    fake_fleet_set_faults(fleet, -1, &unanswered);
    while (version < 2 + MISSED_VERSIONS) {
        fake_fleet_configure_queues(fleet, ++version, MORE_QUEUES);
        fake_fleet_run(fleet, 1500 * CS_MS_US);
    }
    assert_int_equal(count_vms_with(fleet, version, VMS), 0);
    bytes = fake_fleet_store_load(fleet).sent_bytes;
    fake_fleet_set_faults(fleet, -1, &no_faults);
    fake_fleet_run(fleet, DISTURBED_US);
    assert_int_equal(count_vms_with(fleet, version, VMS), VMS);
    bytes = fake_fleet_store_load(fleet).sent_bytes - bytes;
    assert_true(bytes < (uint64_t)2 * VMS * ROW_WIRE_BYTES);
    fake_fleet_destroy(fleet);
}

/* Guards against a VM that waits for the answer to a poll through a peer, or
   for the pause after it, although the store serves the VM again. */
static void
large_config__poll_is_repeated_when_the_route_is_direct(void **state)
{
    const fake_vm_faults unreachable = {.store_unreachable = true};
    int64_t phase_us;

    for (phase_us = 0; phase_us < 4 * CS_SEC_US; phase_us += 500 * CS_MS_US) {
        fake_fleet *fleet = create_fleet(&slow_links);

        fake_fleet_configure_queues(fleet, 2, MORE_QUEUES);
        fake_fleet_run(fleet, APPLY_US);
        fake_fleet_set_faults(fleet, -1, &unanswered);
        fake_fleet_set_faults(fleet, LATE_VM, &unreachable);
        fake_fleet_run(fleet, 4 * CS_SEC_US + phase_us);
        fake_fleet_set_faults(fleet, LATE_VM, &no_faults);
        fake_fleet_configure_queues(fleet, 3, MORE_QUEUES);
        fake_fleet_run(fleet, DIRECT_AGAIN_US + APPLY_US / 2);
        assert_int_equal(fake_fleet_config_version(fleet, LATE_VM), 3);
        fake_fleet_destroy(fleet);
    }
}

static const uint32_t restart_sizes[] = {30, 300};
/* 64 rows of VMs of 250 bytes, and as much for all else. */
#define RESTART_BYTES_PER_VM 32768

/* Guards against work at a restart that grows with the number of VMs: all read
   the rows of all, which kept the store's link busy so that none of 300 held
   the cell within 9 s. */
static void
restart__serves_in_bounded_time(void **state)
{
    uint32_t i;

    for (i = 0; i < G_N_ELEMENTS(restart_sizes); i++) {
        fake_fleet_settings settings = {.vms = restart_sizes[i],
                                        .workers = 10 * restart_sizes[i],
                                        .racks = restart_sizes[i] / 2,
                                        .seed = 5,
                                        .config_apply_ms = 3000,
                                        .max_direct_workers = 150,
                                        .call_us = 400,
                                        .message_us = 40,
                                        .cpu_milli = {500, 300, 90, 90},
                                        .link_kbps = {200000, 100000, 10000},
                                        .store_kbps = 50000,
                                        .store_reads_per_s = 6000};
        fake_fleet *fleet = create_fleet(&settings);
        uint64_t bytes;
        uint32_t vm;
        fake_job job;

        for (vm = 0; vm < settings.vms; vm++)
            fake_fleet_kill(fleet, vm, 500 * CS_MS_US);
        bytes = fake_fleet_store_load(fleet).sent_bytes;
        fake_fleet_run(fleet, 1500 * CS_MS_US);
        assert_int_equal(count_vms_with(fleet, 1, settings.vms), settings.vms);
        fake_job_init(&job, 1, 1, 8, 1, 500);
        fake_fleet_submit(fleet, 1, &job, NULL);
        fake_fleet_run(fleet, RESTART_BOUND_US - 1500 * CS_MS_US);
        assert_int_equal(fake_fleet_start_count(fleet, "0000000000000001"), 8);
        bytes = fake_fleet_store_load(fleet).sent_bytes - bytes;
        assert_true(bytes <= (uint64_t)settings.vms * RESTART_BYTES_PER_VM);
        assert_null(fake_fleet_violation(fleet));
        fake_fleet_destroy(fleet);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(large_config__is_applied_in_time),
        cmocka_unit_test(large_config__is_applied_in_time_without_history),
        cmocka_unit_test(
            large_config__is_applied_soon_after_the_store_refused),
        cmocka_unit_test(large_config__is_applied_after_the_store_was_slow),
        cmocka_unit_test(large_config__is_read_once_after_a_restart),
        cmocka_unit_test(large_config__stalled_transfer_is_repeated),
        cmocka_unit_test(large_config__refused_vms_avoid_refused_peers),
        cmocka_unit_test(
            large_config__vm_that_missed_versions_reads_the_newest),
        cmocka_unit_test(
            large_config__poll_is_repeated_when_the_route_is_direct),
        cmocka_unit_test(restart__serves_in_bounded_time),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    else
        cs_log_init("test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
