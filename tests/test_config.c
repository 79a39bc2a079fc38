/* How current the configuration is by which a VM answers its callers, on a
   virtual clock. */
#include "fake_fleet.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define VM 2
/* A row above the size at which the store ends an answer. */
#define MANY_QUEUES 3000
#define NEWEST_QUEUE "more-3000"

static const fake_vm_faults no_faults = {0};
static const fake_vm_faults unanswered = {.config_unanswered = true};

static const fake_fleet_settings small = {
    .vms = 6, .workers = 24, .racks = 4, .seed = 9, .config_apply_ms = 2000};

static int32_t
ask(fake_fleet *fleet, const char *queue)
{
    int32_t reply;

    fake_fleet_query_queue(fleet, VM, queue, &reply);
    return reply;
}

/* Guards against a VM that denies a queue for good although its configuration
   is too old to tell: the queue may have been added since. */
static void
config__queue_is_denied_only_by_a_confirmed_configuration(void **state)
{
    fake_fleet *fleet = fake_fleet_create(&small);

    fake_fleet_run(fleet, 6 * CS_SEC_US);
    assert_int_equal(ask(fleet, "more-0"), CS_REPLY_UNKNOWN_QUEUE);
    fake_fleet_set_faults(fleet, VM, &unanswered);
    /* The last poll that is answered ends. */
    fake_fleet_run(fleet, CS_SEC_US);
    fake_fleet_configure_queues(fleet, 2, 1);
    fake_fleet_run(fleet, 2 * CS_SEC_US);
    assert_int_equal(fake_fleet_config_version(fleet, VM), 1);
    assert_int_equal(ask(fleet, "more-0"), CS_REPLY_REJECTED);
    /* The queues that it knows are served. */
    assert_int_equal(ask(fleet, "q0"), CS_REPLY_QUEUE_LENGTH);
    fake_fleet_set_faults(fleet, VM, &no_faults);
    fake_fleet_run(fleet, 2 * CS_SEC_US);
    assert_int_equal(ask(fleet, "more-0"), CS_REPLY_QUEUE_LENGTH);
    assert_int_equal(ask(fleet, "more-1"), CS_REPLY_UNKNOWN_QUEUE);
    fake_fleet_destroy(fleet);
}

/* Guards against a VM that takes its configuration for the newest one after an
   answer that the store has cut off, and denies a queue by it. */
static void
config__answer_that_is_cut_off_confirms_nothing(void **state)
{
    static const fake_fleet_settings slow = {.vms = 6,
                                             .workers = 24,
                                             .racks = 4,
                                             .seed = 9,
                                             .config_apply_ms = 3000,
                                             .link_kbps = {10000},
                                             .store_kbps = 1000000};
    fake_fleet *fleet = fake_fleet_create(&slow);
    uint32_t i;

    fake_fleet_run(fleet, 6 * CS_SEC_US);
    fake_fleet_configure_queues(fleet, 2, MANY_QUEUES);
    fake_fleet_run(fleet, 6 * CS_SEC_US);
    assert_int_equal(fake_fleet_config_version(fleet, VM), 2);
    fake_fleet_set_faults(fleet, -1, &unanswered);
    fake_fleet_run(fleet, 4 * CS_SEC_US);
    fake_fleet_configure_queues(fleet, 3, MANY_QUEUES);
    fake_fleet_configure_queues(fleet, 4, MANY_QUEUES + 1);
    fake_fleet_run(fleet, 4 * CS_SEC_US);
    fake_fleet_set_faults(fleet, -1, &no_faults);
    /* 6 s for a disturbed store, and the transfer of a second version. */
    for (i = 0; i < 160; i++) {
        fake_fleet_run(fleet, 50 * CS_MS_US);
        assert_int_not_equal(ask(fleet, NEWEST_QUEUE), CS_REPLY_UNKNOWN_QUEUE);
    }
    assert_int_equal(ask(fleet, NEWEST_QUEUE), CS_REPLY_QUEUE_LENGTH);
    fake_fleet_destroy(fleet);
}

static void
put_evacuations(fake_fleet *fleet, uint32_t count, bool evacuate)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        char zone[16];

        g_snprintf(zone, sizeof(zone), "other-%u", i);
        fake_fleet_put_evacuation(fleet, zone, evacuate);
    }
}

/* Guards against a configuration that is not put in force because more zones
   are evacuated than a VM keeps, and against one that is lost when they
   return. */
static void
config__is_applied_while_too_many_zones_are_evacuated(void **state)
{
    fake_fleet *fleet = fake_fleet_create(&small);
    fake_job job;

    fake_fleet_run(fleet, 6 * CS_SEC_US);
    put_evacuations(fleet, CS_EVACUATIONS_MAX + 1, true);
    fake_fleet_run(fleet, CS_SEC_US);
    fake_fleet_configure_queues(fleet, 2, 1);
    fake_fleet_run(fleet, 2 * CS_SEC_US);
    assert_int_equal(fake_fleet_config_version(fleet, VM), 2);
    fake_job_init(&job, 1, 1, 1, 1, 500);
    fake_fleet_submit(fleet, VM, &job, NULL);
    fake_fleet_run(fleet, 2 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(fleet, "0000000000000001"), 0);
    put_evacuations(fleet, CS_EVACUATIONS_MAX + 1, false);
    fake_fleet_configure_queues(fleet, 3, 2);
    fake_fleet_run(fleet, 2 * CS_SEC_US);
    assert_int_equal(fake_fleet_config_version(fleet, VM), 3);
    fake_fleet_run(fleet, 6 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(fleet, "0000000000000001"), 1);
    assert_null(fake_fleet_violation(fleet));
    fake_fleet_destroy(fleet);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            config__queue_is_denied_only_by_a_confirmed_configuration),
        cmocka_unit_test(config__answer_that_is_cut_off_confirms_nothing),
        cmocka_unit_test(
            config__is_applied_while_too_many_zones_are_evacuated),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    else
        cs_log_init("test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
