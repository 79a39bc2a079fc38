/*
 * Evacuation of a zone in a simulated deployment on a virtual clock. The
 * checker of the deployment records a start in an evacuated zone later than
 * the bound after the evacuation; most tests demand less, see each.
 */
#include "fake_fleet.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#define VMS 4
#define WORKERS 18
/* Within this time the row has reached a process that reads the store. */
#define NOTICE_US (200 * CS_MS_US)

static const fake_vm_faults none;

static fake_fleet *
create_deployment(uint32_t max_direct_workers)
{
    fake_fleet_settings settings = {.vms = VMS,
                                    .workers = WORKERS,
                                    .racks = 6,
                                    .seed = 1,
                                    .max_direct_workers = max_direct_workers};
    fake_fleet *deployment = fake_fleet_create(&settings);

    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), -1);
    return deployment;
}

static void
destroy_deployment(fake_fleet *deployment)
{
    if (fake_fleet_violation(deployment))
        fail_msg("%s", fake_fleet_violation(deployment));
    fake_fleet_destroy(deployment);
}

static void
submit(fake_fleet *deployment, uint32_t vm, uint32_t number, uint32_t tasks,
       int64_t accelerators, bool gang)
{
    fake_job job;

    fake_job_init(&job, number, 2, tasks, accelerators, 1000);
    job.spec.steps[0].gang = gang;
    fake_fleet_submit(deployment, vm, &job, NULL);
}

static void
expect_completed(const fake_fleet *deployment, uint32_t number)
{
    char id[CS_JOB_ID_BYTES];

    g_snprintf(id, sizeof(id), "%016x", number);
    assert_int_equal(fake_fleet_job_state(deployment, id),
                     CS_PROGRESS_COMPLETED);
}

static uint32_t
count_starts(const fake_fleet *deployment)
{
    uint32_t count = 0;
    uint32_t zone;

    for (zone = 0; zone < FAKE_ZONES; zone++)
        count += fake_fleet_zone_starts(deployment, zone);
    return count;
}

static int64_t
holder_counter(const fake_fleet *deployment, const char *name)
{
    return fake_fleet_counter(deployment,
                              (uint32_t)fake_fleet_holder(deployment), name);
}

/* Runs until the next call of the deployment, at most 100 ms. */
static void
run_to_next_call(fake_fleet *deployment)
{
    fake_fleet_run_to_call(deployment, 100 * CS_MS_US,
                           fake_fleet_call_count(deployment) + 1);
}

/* Guards against a zone that gets tasks while it is evacuated, and against one
   that gets none after its return. */
static void
evacuation__zone_gets_no_tasks_until_it_returns(void **state)
{
    fake_fleet *deployment = create_deployment(0);
    uint32_t before;

    fake_fleet_evacuate(deployment, 1, true);
    fake_fleet_run(deployment, NOTICE_US);
    submit(deployment, 0, 1, 144, 1, false);
    fake_fleet_run(deployment, 10 * CS_SEC_US);
    assert_int_equal(fake_fleet_zone_starts(deployment, 1), 0);
    assert_int_equal(holder_counter(deployment, "cs_starts_withheld_total"),
                     0);
    expect_completed(deployment, 1);
    fake_fleet_evacuate(deployment, 1, false);
    fake_fleet_run(deployment, NOTICE_US);
    before = count_starts(deployment);
    submit(deployment, 0, 2, 144, 1, false);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(count_starts(deployment) - before, 144);
    assert_int_equal(fake_fleet_zone_starts(deployment, 1), 48);
    destroy_deployment(deployment);
}

/* Guards against stopping the tasks that run in the zone. */
static void
evacuation__running_tasks_continue(void **state)
{
    fake_fleet *deployment = create_deployment(0);
    fake_job job;

    fake_job_init(&job, 1, 2, 18, 8, 20 * 1000);
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(fake_fleet_zone_starts(deployment, 2), 6);
    fake_fleet_evacuate(deployment, 2, true);
    fake_fleet_run(deployment, 24 * CS_SEC_US);
    expect_completed(deployment, 1);
    assert_int_equal(count_starts(deployment), 18);
    assert_int_equal(holder_counter(deployment, "cs_stops_total"), 0);
    destroy_deployment(deployment);
}

/*
 * Evacuates a zone at each call between the placement of a gang and its start.
 * Guards against starting what was recorded when the request arrived, and
 * against starting a part of a gang.
 */
static void
evacuation__arrives_between_record_and_start(void **state)
{
    int64_t withheld = 0;
    uint32_t calls;

    for (calls = 0; calls < 8; calls++) {
        fake_fleet *deployment = create_deployment(0);
        fake_vm_faults unanswered = {.unanswered_changes_share = 1};
        uint32_t holder = (uint32_t)fake_fleet_holder(deployment);
        uint32_t i;

        submit(deployment, (holder + 1) % VMS, 1, 12, 8, true);
        for (i = 0; i < calls; i++)
            run_to_next_call(deployment);
        /* The answer to the record is lost, so that the request arrives before
           the record is confirmed. */
        fake_fleet_set_faults(deployment, (int32_t)holder, &unanswered);
        run_to_next_call(deployment);
        fake_fleet_set_faults(deployment, -1, &none);
        fake_fleet_evacuate(deployment, 1, true);
        fake_fleet_run(deployment, 8 * CS_SEC_US);
        withheld += holder_counter(deployment, "cs_starts_withheld_total");
        if (count_starts(deployment) != 12)
            fail_msg("%u starts of the 12 members of a gang",
                     count_starts(deployment));
        expect_completed(deployment, 1);
        destroy_deployment(deployment);
    }
    assert_true(withheld >= 12);
}

/*
 * The store answers the holder's calls except those for the evacuations.
 * Guards against a holder that starts tasks by an old set, and against one
 * that gives up running work or the cell for it.
 */
static void
evacuation__holder_without_answers_starts_nothing(void **state)
{
    fake_fleet *deployment = create_deployment(0);
    fake_vm_faults unanswered = {.config_unanswered = true};
    int32_t holder = fake_fleet_holder(deployment);
    fake_job job;

    fake_job_init(&job, 1, 2, 1, 8, 20 * 1000);
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(count_starts(deployment), 1);
    fake_fleet_set_faults(deployment, holder, &unanswered);
    fake_fleet_evacuate(deployment, 1, true);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    submit(deployment, 0, 2, 144, 1, false);
    fake_fleet_run(deployment, 9 * CS_SEC_US);
    assert_int_equal(count_starts(deployment), 1);
    assert_int_equal(holder_counter(deployment, "cs_starts_held_total"), 1);
    fake_fleet_set_faults(deployment, -1, &none);
    fake_fleet_run(deployment, 8 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(deployment), holder);
    expect_completed(deployment, 1);
    expect_completed(deployment, 2);
    assert_int_equal(fake_fleet_zone_starts(deployment, 1), 0);
    assert_int_equal(count_starts(deployment), 145);
    destroy_deployment(deployment);
}

/*
 * Guards against an executor that sends a start in an evacuated zone: the
 * holder has not seen the requests, which the executors have.
 */
static void
evacuation__executor_drops_delayed_starts(void **state)
{
    fake_fleet *deployment = create_deployment(1);
    uint32_t holder = (uint32_t)fake_fleet_holder(deployment);
    fake_vm_faults unanswered = {.config_unanswered = true};
    int64_t dropped = 0;
    uint32_t zone;
    uint32_t i;

    fake_fleet_run(deployment, 4 * CS_SEC_US);
    fake_fleet_set_faults(deployment, (int32_t)holder, &unanswered);
    /* A poll that is open already is answered. */
    fake_fleet_run(deployment, 700 * CS_MS_US);
    for (zone = 0; zone < FAKE_ZONES; zone++)
        fake_fleet_evacuate(deployment, zone, true);
    fake_fleet_run(deployment, 300 * CS_MS_US);
    submit(deployment, (holder + 1) % VMS, 1, 18, 8, false);
    fake_fleet_run(deployment, 100 * CS_MS_US);
    assert_true(holder_counter(deployment, "cs_starts_total") >= 18);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    for (i = 0; i < VMS; i++)
        dropped +=
            fake_fleet_counter(deployment, i, "cs_executor_withheld_total");
    assert_true(dropped >= 18);
    assert_int_equal(count_starts(deployment), 0);
    destroy_deployment(deployment);
}

/* Guards against a successor that places tasks before it knows the request. */
static void
evacuation__takeover_between_request_and_start(void **state)
{
    fake_fleet *deployment = create_deployment(0);
    int32_t holder = fake_fleet_holder(deployment);
    uint32_t i;

    fake_fleet_evacuate(deployment, 0, true);
    for (i = 0; i < VMS; i++)
        fake_fleet_kill(deployment, i,
                        i == (uint32_t)holder ? 60 * CS_SEC_US : CS_SEC_US);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    submit(deployment, ((uint32_t)holder + 1) % VMS, 1, 144, 1, false);
    fake_fleet_run(deployment, 10 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), holder);
    expect_completed(deployment, 1);
    assert_int_equal(fake_fleet_zone_starts(deployment, 0), 0);
    destroy_deployment(deployment);
}

/* Guards against a holder that misses the request when its calls are relayed
   through a peer. */
static void
evacuation__reaches_a_relayed_holder(void **state)
{
    fake_fleet *deployment = create_deployment(0);
    fake_vm_faults refused = {.store_refuses = true};

    fake_fleet_set_faults(deployment, fake_fleet_holder(deployment), &refused);
    fake_fleet_run(deployment, 500 * CS_MS_US);
    fake_fleet_evacuate(deployment, 2, true);
    fake_fleet_run(deployment, CS_SEC_US);
    submit(deployment, 0, 1, 144, 1, false);
    submit(deployment, 1, 2, 144, 1, false);
    fake_fleet_run(deployment, 12 * CS_SEC_US);
    assert_int_equal(fake_fleet_zone_starts(deployment, 2), 0);
    expect_completed(deployment, 1);
    destroy_deployment(deployment);
}

/*
 * A guaranteed gang of 8 workers has stopped other work when the zone of some
 * of them is evacuated. Guards against a gang that waits for capacity in the
 * zone until its reservation expires.
 */
static void
evacuation__reservation_in_the_zone_is_dropped(void **state)
{
    fake_fleet *deployment = create_deployment(0);
    fake_job job;

    fake_job_init(&job, 1, 2, 144, 1, 60 * 1000);
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, CS_SEC_US);
    fake_job_init(&job, 2, 0, 8, 8, 1000);
    job.spec.steps[0].gang = true;
    fake_fleet_submit(deployment, 0, &job, NULL);
    while (holder_counter(deployment, "cs_preemptions_total") == 0)
        run_to_next_call(deployment);
    fake_fleet_evacuate(deployment, 0, true);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000002"),
                     8);
    destroy_deployment(deployment);
}

/* Guards against a request, or the return of a zone, that is missed as the
   store has dropped it from its history. */
static void
evacuation__is_read_again_after_lost_history(void **state)
{
    fake_fleet *deployment = create_deployment(0);
    fake_vm_faults unreachable = {.store_unreachable = true};

    fake_fleet_evacuate(deployment, 0, true);
    fake_fleet_run(deployment, NOTICE_US);
    fake_fleet_set_faults(deployment, -1, &unreachable);
    fake_fleet_run(deployment, CS_SEC_US);
    fake_fleet_evacuate(deployment, 0, false);
    fake_fleet_evacuate(deployment, 1, true);
    fake_fleet_compact(deployment);
    fake_fleet_set_faults(deployment, -1, &none);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    submit(deployment, 0, 1, 144, 1, false);
    fake_fleet_run(deployment, 10 * CS_SEC_US);
    assert_int_equal(fake_fleet_zone_starts(deployment, 1), 0);
    assert_true(fake_fleet_zone_starts(deployment, 0) > 0);
    destroy_deployment(deployment);
}

/* Guards against operators who cannot see why a zone gets no tasks. */
static void
evacuation__status_lists_zones(void **state)
{
    fake_fleet *deployment = create_deployment(0);
    const char *zone = "";
    json_int_t for_ms = 0;
    json_t *status;

    fake_fleet_evacuate(deployment, 1, true);
    fake_fleet_run(deployment, CS_SEC_US);
    status =
        fake_fleet_status(deployment, (uint32_t)fake_fleet_holder(deployment));
    assert_int_equal(json_unpack(status, "{s:[{s:s,s:I!}!]}", "evacuations",
                                 "zone", &zone, "for_ms", &for_ms),
                     0);
    assert_string_equal(zone, "z1");
    assert_in_range(for_ms, 900, 1000);
    json_decref(status);
    destroy_deployment(deployment);
}

/* Guards against an unbounded set: beyond its bound the set is unknown. */
static void
evacuation__set_is_bounded(void **state)
{
    cs_evacuations *evacuations = cs_evacuations_create("e/");
    cs_store_answer empty = {0};
    char key[16];
    cs_row row = {.key = key};
    int i;

    assert_false(cs_evacuations_is_current(evacuations, 0, CS_SEC_US));
    assert_true(cs_evacuations_replace(evacuations, &empty, 0));
    for (i = 0; i <= CS_EVACUATIONS_MAX; i++) {
        assert_true(cs_evacuations_is_known(evacuations));
        g_snprintf(key, sizeof(key), "e/z%d", i);
        cs_evacuations_apply(evacuations, &row, 0);
    }
    assert_false(cs_evacuations_is_known(evacuations));
    assert_true(cs_evacuations_replace(evacuations, &empty, 0));
    assert_false(cs_evacuations_contains(evacuations, "z1"));
    cs_evacuations_destroy(evacuations);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(evacuation__zone_gets_no_tasks_until_it_returns),
        cmocka_unit_test(evacuation__running_tasks_continue),
        cmocka_unit_test(evacuation__arrives_between_record_and_start),
        cmocka_unit_test(evacuation__holder_without_answers_starts_nothing),
        cmocka_unit_test(evacuation__executor_drops_delayed_starts),
        cmocka_unit_test(evacuation__takeover_between_request_and_start),
        cmocka_unit_test(evacuation__reaches_a_relayed_holder),
        cmocka_unit_test(evacuation__reservation_in_the_zone_is_dropped),
        cmocka_unit_test(evacuation__is_read_again_after_lost_history),
        cmocka_unit_test(evacuation__status_lists_zones),
        cmocka_unit_test(evacuation__set_is_bounded),
    };

    cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
