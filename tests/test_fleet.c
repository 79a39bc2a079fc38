/* The holder and the entry of a deployment on a virtual clock. */
#include "harness.h"
#include "fake_fleet.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

static fake_fleet *
world_new(uint64_t seed)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 16, .racks = 2, .seed = seed};
    fake_fleet *world = fake_fleet_create(&settings);

    fake_fleet_run(world, 2 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(world), -1);
    return world;
}

static void
expect_no_violation(const fake_fleet *world)
{
    if (fake_fleet_violation(world))
        fail_msg("%s", fake_fleet_violation(world));
}

static void
submit(fake_fleet *world, uint32_t vm, uint32_t number, uint32_t queue,
       uint32_t tasks, int64_t accelerators, bool gang)
{
    int32_t reply;
    fake_job job;

    fake_job_init(&job, number, queue, tasks, accelerators, 2000);
    job.spec.steps[0].gang = gang;
    fake_fleet_submit(world, vm, &job, &reply);
    fake_fleet_run(world, 100 * CS_MS_US);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
}

static void
expect_state(const fake_fleet *world, uint32_t number, int32_t state)
{
    char id[CS_JOB_ID_BYTES];

    g_snprintf(id, sizeof(id), "%016x", number);
    assert_int_equal(fake_fleet_state(world, id), state);
}

static void
fleet__job_is_completed(void **state)
{
    fake_fleet *world = world_new(1);

    submit(world, 0, 1, 0, 4, 2, false);
    submit(world, 1, 2, 1, 6, 8, true);
    fake_fleet_run(world, 4 * CS_SEC_US);
    expect_state(world, 1, CS_PROGRESS_COMPLETED);
    expect_state(world, 2, CS_PROGRESS_COMPLETED);
    fake_fleet_run(world, 3 * CS_SEC_US);
    assert_true(fake_fleet_is_quiet(world));
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

static void
fleet__successor_adopts_what_runs(void **state)
{
    fake_fleet *world = world_new(2);
    int32_t holder = fake_fleet_holder(world);

    submit(world, 0, 1, 1, 6, 8, true);
    submit(world, 0, 2, 2, 8, 1, false);
    fake_fleet_kill(world, (uint32_t)holder, 60 * CS_SEC_US);
    fake_fleet_run(world, 8 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(world), holder);
    expect_state(world, 1, CS_PROGRESS_COMPLETED);
    expect_state(world, 2, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_starts(world, "0000000000000001"), 6);
    assert_int_equal(fake_fleet_starts(world, "0000000000000002"), 8);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

/* All processes die at once: the next one does not wait to see silence. */
static void
fleet__cold_start_adopts_before_leases_end(void **state)
{
    fake_fleet *world = world_new(9);
    fake_job job;
    int32_t reply;
    uint32_t i;

    fake_job_init(&job, 1, 1, 6, 8, 15 * 1000);
    job.spec.steps[0].gang = true;
    fake_fleet_submit(world, 0, &job, &reply);
    fake_fleet_run(world, 3 * CS_SEC_US);
    for (i = 0; i < 4; i++)
        fake_fleet_kill(world, i, 3 * CS_SEC_US);
    fake_fleet_run(world, 3 * CS_SEC_US + 900 * CS_MS_US);
    assert_int_not_equal(fake_fleet_holder(world), -1);
    fake_fleet_run(world, 12 * CS_SEC_US);
    expect_state(world, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_starts(world, "0000000000000001"), 6);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

/* What was lost with a worker is not sent to it again while it is silent. */
static void
fleet__silent_worker_gets_no_tasks(void **state)
{
    fake_fleet *world = world_new(8);
    uint32_t holder = (uint32_t)fake_fleet_holder(world);
    fake_job job;
    int32_t reply;

    fake_job_init(&job, 1, 2, 128, 1, 300 * 1000);
    fake_fleet_submit(world, 0, &job, &reply);
    fake_fleet_run(world, 2 * CS_SEC_US);
    assert_int_equal(fake_fleet_counter(world, holder, "cs_starts_total"),
                     128);
    fake_fleet_cut_worker(world, 0, true);
    fake_fleet_run(world, 20 * CS_SEC_US);
    assert_int_equal(fake_fleet_counter(world, holder, "cs_starts_total"),
                     128);
    fake_fleet_cut_worker(world, 0, false);
    fake_fleet_run(world, 3 * CS_SEC_US);
    assert_int_equal(fake_fleet_counter(world, holder, "cs_starts_total"),
                     136);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

/* A run ends as done while its worker is cut off, and its task is started
   elsewhere: the end counts once it is seen, and the new run is stopped. */
static void
fleet__end_seen_late_counts(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 2, .racks = 1, .seed = 11};
    fake_fleet *world = fake_fleet_create(&settings);
    fake_job job;
    int32_t reply;

    fake_fleet_run(world, 2 * CS_SEC_US);
    fake_job_init(&job, 1, 2, 2, 8, 8 * 1000);
    fake_fleet_submit(world, 0, &job, &reply);
    fake_fleet_run(world, 6 * CS_SEC_US);
    fake_fleet_cut_worker(world, 0, true);
    fake_fleet_run(world, 8 * CS_SEC_US);
    assert_int_equal(fake_fleet_starts(world, "0000000000000001"), 3);
    expect_state(world, 1, CS_PROGRESS_RUNNING);
    fake_fleet_cut_worker(world, 0, false);
    fake_fleet_run(world, 1500 * CS_MS_US);
    expect_state(world, 1, CS_PROGRESS_COMPLETED);
    fake_fleet_run(world, 3 * CS_SEC_US);
    assert_true(fake_fleet_is_quiet(world));
    assert_int_equal(fake_fleet_starts(world, "0000000000000001"), 3);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

/* The adviser lets half of the workers in, so the tasks take turns. */
static void
fleet__advised_step_runs_where_it_may(void **state)
{
    fake_fleet *world = world_new(12);
    uint32_t holder = (uint32_t)fake_fleet_holder(world);

    submit(world, 0, 1, 3, 10, 8, false);
    fake_fleet_run(world, 7 * CS_SEC_US);
    expect_state(world, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_starts(world, "0000000000000001"), 10);
    assert_int_equal(
        fake_fleet_counter(world, holder, "cs_starts_without_ticket_total"),
        0);
    /* Two rounds of tasks, and what was learned is not asked again. */
    assert_in_range(fake_fleet_counter(world, holder, "cs_advice_asked_total"),
                    1, 4);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

/* No rack has enough workers that may run the gang: it takes several. */
static void
fleet__advised_gang_is_not_kept_to_a_rack(void **state)
{
    fake_fleet *world = world_new(13);
    fake_job job;
    int32_t reply;

    fake_job_init(&job, 1, 3, 6, 8, 2000);
    job.spec.steps[0].gang = true;
    job.spec.steps[0].same_rack = true;
    fake_fleet_submit(world, 0, &job, &reply);
    fake_fleet_run(world, 6 * CS_SEC_US);
    expect_state(world, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_starts(world, "0000000000000001"), 6);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

/* A ticket is for one incarnation, and a new holder has none. */
static void
fleet__advice_is_asked_anew_after_a_crash(void **state)
{
    fake_fleet *world = world_new(14);
    uint32_t i;

    submit(world, 0, 1, 3, 10, 8, false);
    fake_fleet_run(world, CS_SEC_US);
    for (i = 0; i < 16; i++)
        fake_fleet_crash_worker(world, i, CS_SEC_US);
    fake_fleet_run(world, 2 * CS_SEC_US);
    fake_fleet_kill(world, (uint32_t)fake_fleet_holder(world), 60 * CS_SEC_US);
    fake_fleet_run(world, 12 * CS_SEC_US);
    expect_state(world, 1, CS_PROGRESS_COMPLETED);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

static const json_t *
worker_of(const json_t *status, const char *id)
{
    const json_t *worker;
    size_t i;

    json_array_foreach(json_object_get(status, "workers"), i, worker)
    {
        if (strcmp(json_string_value(json_object_get(worker, "id")), id) == 0)
            return worker;
    }
    return NULL;
}

static double
speed_of(const fake_fleet *world, const char *id)
{
    json_t *status =
        fake_fleet_status(world, (uint32_t)fake_fleet_holder(world));
    double speed =
        json_real_value(json_object_get(worker_of(status, id), "log_speed"));

    json_decref(status);
    return speed;
}

/* What one holder has learned of the workers guides the next. */
static void
fleet__successor_knows_speeds(void **state)
{
    fake_fleet *world = world_new(15);

    fake_fleet_set_speed(world, 3, 0.4);
    submit(world, 0, 1, 2, 16, 8, false);
    fake_fleet_run(world, 12 * CS_SEC_US);
    expect_state(world, 1, CS_PROGRESS_COMPLETED);
    assert_true(speed_of(world, "w-03") < speed_of(world, "w-04") - 0.5);
    fake_fleet_kill(world, (uint32_t)fake_fleet_holder(world), 60 * CS_SEC_US);
    fake_fleet_run(world, 4 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(world), -1);
    assert_true(speed_of(world, "w-03") < speed_of(world, "w-04") - 0.5);
    fake_fleet_destroy(world);
}

/* The workers' entries take more than one page of the store. */
static void
fleet__missing_worker_is_noticed_over_pages(void **state)
{
    fake_fleet_settings settings = {
        .vms = 2, .workers = 510, .racks = 10, .seed = 16};
    fake_fleet *world = fake_fleet_create(&settings);
    fake_vm_faults cut = {.store_cut = true};
    fake_vm_faults none = {0};
    json_t *status;
    uint32_t holder;

    fake_fleet_run(world, 2 * CS_SEC_US);
    holder = (uint32_t)fake_fleet_holder(world);
    fake_fleet_set_faults(world, -1, &cut);
    fake_fleet_remove_worker(world, 3);
    fake_fleet_compact(world);
    fake_fleet_run(world, CS_SEC_US);
    fake_fleet_set_faults(world, -1, &none);
    fake_fleet_run(world, 4 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(world), holder);
    status = fake_fleet_status(world, holder);
    assert_non_null(worker_of(status, "w-04"));
    assert_null(worker_of(status, "w-03"));
    json_decref(status);
    fake_fleet_destroy(world);
}

/* A new holder of many workers without tasks asks a few at a time. */
static void
fleet__idle_workers_are_looked_at_in_turn(void **state)
{
    fake_fleet_settings settings = {
        .vms = 2, .workers = 510, .racks = 10, .seed = 17};
    fake_fleet *world = fake_fleet_create(&settings);
    uint32_t holder;
    fake_job job;
    int32_t reply;

    fake_fleet_run(world, 3 * CS_SEC_US);
    holder = (uint32_t)fake_fleet_holder(world);
    /* Besides the looks, a few calls to the store. */
    assert_in_range(fake_fleet_most_open(world, holder), 64, 74);
    fake_job_init(&job, 1, 2, 510, 8, 2000);
    fake_fleet_submit(world, 0, &job, &reply);
    fake_fleet_run(world, CS_SEC_US);
    assert_int_equal(fake_fleet_starts(world, "0000000000000001"), 510);
    /* All become idle at once, and their ends are acknowledged soon. */
    fake_fleet_run(world, 2500 * CS_MS_US);
    assert_true(fake_fleet_is_quiet(world));
    fake_fleet_destroy(world);
}

/* A queue's waiting jobs are not said to be none while a cell is taken. */
static void
fleet__waiting_jobs_are_told_over_a_takeover(void **state)
{
    fake_fleet *world = world_new(18);
    uint32_t holder = (uint32_t)fake_fleet_holder(world);
    uint32_t other = (holder + 1) % 4;
    fake_job job;
    int32_t reply;
    uint32_t i;

    fake_job_init(&job, 1, 2, 16, 8, 60 * 1000);
    fake_fleet_submit(world, other, &job, &reply);
    fake_fleet_run(world, 500 * CS_MS_US);
    for (i = 2; i <= 6; i++)
        submit(world, other, i, 2, 1, 8, false);
    fake_fleet_run(world, CS_SEC_US);
    assert_int_equal(fake_fleet_waiting(world, other, "q2"), 5);
    fake_fleet_kill(world, holder, 60 * CS_SEC_US);
    /* The one that takes it is among those asked. */
    for (i = 0; i < 4 * 3000; i++) {
        if (i % 4 != holder)
            assert_int_equal(fake_fleet_waiting(world, i % 4, "q2"), 5);
        if (i % 4 == 3)
            fake_fleet_run(world, CS_MS_US);
    }
    assert_int_not_equal(fake_fleet_holder(world), (int32_t)holder);
    fake_fleet_destroy(world);
}

/* States are answered for the retention, then the rows go. */
static void
fleet__old_jobs_are_removed(void **state)
{
    fake_fleet *world = world_new(7);
    uint32_t i;

    for (i = 1; i <= 25; i++)
        submit(world, 0, i, 2, 1, 1, false);
    fake_fleet_run(world, 100 * CS_SEC_US);
    expect_state(world, 25, CS_PROGRESS_COMPLETED);
    fake_fleet_run(world, 100 * CS_SEC_US);
    for (i = 1; i <= 25; i++) {
        char id[CS_JOB_ID_BYTES];

        g_snprintf(id, sizeof(id), "%016x", i);
        assert_false(fake_fleet_is_stored(world, id));
        assert_int_equal(fake_fleet_state(world, id), -1);
    }
    submit(world, 0, 30, 2, 1, 1, false);
    fake_fleet_run(world, 4 * CS_SEC_US);
    expect_state(world, 30, CS_PROGRESS_COMPLETED);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

/* All is full of long work; a guaranteed job may not wait for its end. */
static void
fleet__late_claim_still_takes_its_room(void **state)
{
    fake_fleet *world = world_new(6);
    fake_job job;
    int32_t reply;

    fake_job_init(&job, 1, 2, 128, 1, 300 * 1000);
    fake_fleet_submit(world, 0, &job, &reply);
    fake_fleet_run(world, 30 * CS_SEC_US);
    assert_int_equal(fake_fleet_starts(world, "0000000000000001"), 128);
    fake_job_init(&job, 2, 0, 2, 8, 2000);
    job.spec.steps[0].gang = true;
    job.spec.steps[0].same_rack = true;
    fake_fleet_submit(world, 0, &job, &reply);
    /* The bound of the pages is 3.4 s from the acknowledgement. */
    fake_fleet_run(world, 3400 * CS_MS_US);
    assert_int_equal(fake_fleet_starts(world, "0000000000000002"), 2);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

/* A step prefers one rack, which is full of long work; most others are idle.
 */
static void
expect_start_elsewhere(bool same_rack)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 24, .racks = 3, .seed = 10};
    fake_fleet *world = fake_fleet_create(&settings);
    fake_job job;
    int32_t reply;
    uint32_t k;

    fake_fleet_run(world, 2 * CS_SEC_US);
    for (k = 0; k < 3; k++) {
        /* A rack is filled, or no rack is left whole. */
        fake_job_init(&job, k + 1, 1, same_rack ? 1 : 3, same_rack ? 3 : 8,
                      300 * 1000);
        g_snprintf(job.spec.steps[0].data_rack,
                   sizeof(job.spec.steps[0].data_rack), "r1-%u",
                   same_rack ? k : 0);
        fake_fleet_submit(world, 0, &job, &reply);
        fake_fleet_run(world, CS_SEC_US);
    }
    fake_job_init(&job, 9, 1, same_rack ? 8 : 1, 8, 60 * 1000);
    job.spec.steps[0].gang = same_rack;
    job.spec.steps[0].same_rack = same_rack;
    if (!same_rack)
        g_strlcpy(job.spec.steps[0].data_rack, "r1-0",
                  sizeof(job.spec.steps[0].data_rack));
    fake_fleet_submit(world, 0, &job, &reply);
    /* The bound of the pages: 3 s while under half of the room is in use, from
       14 s after the last submission. */
    fake_fleet_run(world, 14 * CS_SEC_US);
    assert_int_equal(fake_fleet_starts(world, "0000000000000009"),
                     same_rack ? 8 : 1);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

static void
fleet__idle_room_is_used_beyond_the_data_rack(void **state)
{
    expect_start_elsewhere(false);
}

static void
fleet__idle_room_is_used_over_racks(void **state)
{
    expect_start_elsewhere(true);
}

/* The holder reads of a job only after its cancellation, and both at once. */
static void
fleet__job_cancelled_before_it_is_read(void **state)
{
    fake_fleet *world = world_new(5);
    int32_t holder = fake_fleet_holder(world);
    uint32_t other = (uint32_t)(holder + 1) % 4;
    fake_vm_faults cut = {.store_cut = true};
    fake_vm_faults none = {0};
    int32_t reply;

    /* The feed that is open now ends before the job is there. */
    fake_fleet_set_faults(world, holder, &cut);
    fake_fleet_run(world, 1100 * CS_MS_US);
    submit(world, other, 1, 2, 4, 1, false);
    fake_fleet_cancel(world, other, "0000000000000001", &reply);
    fake_fleet_run(world, 300 * CS_MS_US);
    assert_int_equal(reply, CS_REPLY_CANCELLED);
    fake_fleet_compact(world);
    fake_fleet_set_faults(world, holder, &none);
    fake_fleet_run(world, 4 * CS_SEC_US);
    expect_state(world, 1, CS_PROGRESS_CANCELLED);
    assert_int_equal(fake_fleet_starts(world, "0000000000000001"), 0);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

/* The store turns one VM away: it accepts, answers and is configured. */
static void
fleet__refused_vm_goes_through_a_peer(void **state)
{
    fake_fleet *world = world_new(4);
    uint32_t vm = (uint32_t)(fake_fleet_holder(world) + 1) % 4;
    fake_vm_faults refuse = {.store_refuses = true};
    int32_t reply;
    int32_t job_state;
    fake_job job;

    fake_fleet_set_faults(world, (int32_t)vm, &refuse);
    fake_fleet_run(world, CS_SEC_US);
    submit(world, vm, 1, 0, 2, 1, false);
    fake_fleet_configure(world, 7);
    fake_fleet_run(world, 4 * CS_SEC_US);
    fake_fleet_ask(world, vm, "0000000000000001", &reply, &job_state);
    fake_fleet_run(world, CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_STATUS);
    assert_int_equal(job_state, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_counter(world, vm, "cs_config_applied"), 2);
    assert_true(fake_fleet_counter(world, vm, "cs_store_relayed_total") > 0);
    /* With the store away for all, a submission is rejected truthfully. */
    fake_fleet_set_faults(world, -1, &refuse);
    fake_job_init(&job, 2, 0, 1, 1, 500);
    fake_fleet_submit(world, vm, &job, &reply);
    fake_fleet_run(world, 3 * CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_REJECTED);
    assert_false(fake_fleet_is_stored(world, "0000000000000002"));
    fake_fleet_destroy(world);
}

/* A holder that the store turns away records through a peer only until a VM
   that the store serves has taken the cell. */
static void
fleet__refused_holder_hands_over(void **state)
{
    static const fake_vm_faults refused = {.store_refuses = true};
    fake_fleet *world = world_new(17);
    int32_t holder = fake_fleet_holder(world);
    int32_t successor;

    submit(world, 0, 1, 1, 6, 8, true);
    fake_fleet_run(world, 500 * CS_MS_US);
    fake_fleet_set_faults(world, holder, &refused);
    fake_fleet_run(world, 3 * CS_SEC_US);
    successor = fake_fleet_holder(world);
    assert_int_not_equal(successor, -1);
    assert_int_not_equal(successor, holder);
    fake_fleet_run(world, 5 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(world), successor);
    expect_state(world, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_starts(world, "0000000000000001"), 6);
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

/* Where the store is away for all there is nobody to hand over to. */
static void
fleet__holder_stays_while_the_store_is_away(void **state)
{
    static const fake_vm_faults refused = {.store_refuses = true};
    static const fake_vm_faults none = {0};
    fake_fleet *world = world_new(18);
    int32_t holder = fake_fleet_holder(world);
    uint64_t epoch = fake_fleet_epoch(world, (uint32_t)holder);

    fake_fleet_set_faults(world, -1, &refused);
    fake_fleet_run(world, 5 * CS_SEC_US);
    fake_fleet_set_faults(world, -1, &none);
    fake_fleet_run(world, 3 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(world), holder);
    assert_int_equal(fake_fleet_epoch(world, (uint32_t)holder), epoch);
    fake_fleet_destroy(world);
}

/* More jobs change at once than one change of the store may hold. */
static void
fleet__many_jobs_fit_several_changes(void **state)
{
    fake_fleet *world = world_new(3);
    int32_t replies[120];
    fake_vm_faults refuse = {.store_refuses = true};
    fake_vm_faults none = {0};
    int32_t holder = fake_fleet_holder(world);
    uint32_t i;

    fake_fleet_set_faults(world, holder, &refuse);
    for (i = 0; i < 120; i++) {
        fake_job job;

        fake_job_init(&job, i + 1, 2, 1, 1, 500);
        fake_fleet_submit(world, (uint32_t)(holder + 1) % 4, &job,
                          &replies[i]);
    }
    fake_fleet_run(world, CS_SEC_US);
    fake_fleet_set_faults(world, holder, &none);
    fake_fleet_run(world, 6 * CS_SEC_US);
    for (i = 0; i < 120; i++) {
        assert_int_equal(replies[i], CS_REPLY_ACCEPTED);
        expect_state(world, i + 1, CS_PROGRESS_COMPLETED);
    }
    expect_no_violation(world);
    fake_fleet_destroy(world);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(fleet__job_is_completed),
        cmocka_unit_test(fleet__successor_adopts_what_runs),
        cmocka_unit_test(fleet__cold_start_adopts_before_leases_end),
        cmocka_unit_test(fleet__silent_worker_gets_no_tasks),
        cmocka_unit_test(fleet__end_seen_late_counts),
        cmocka_unit_test(fleet__advised_step_runs_where_it_may),
        cmocka_unit_test(fleet__advised_gang_is_not_kept_to_a_rack),
        cmocka_unit_test(fleet__advice_is_asked_anew_after_a_crash),
        cmocka_unit_test(fleet__successor_knows_speeds),
        cmocka_unit_test(fleet__missing_worker_is_noticed_over_pages),
        cmocka_unit_test(fleet__idle_workers_are_looked_at_in_turn),
        cmocka_unit_test(fleet__waiting_jobs_are_told_over_a_takeover),
        cmocka_unit_test(fleet__old_jobs_are_removed),
        cmocka_unit_test(fleet__late_claim_still_takes_its_room),
        cmocka_unit_test(fleet__idle_room_is_used_beyond_the_data_rack),
        cmocka_unit_test(fleet__idle_room_is_used_over_racks),
        cmocka_unit_test(fleet__job_cancelled_before_it_is_read),
        cmocka_unit_test(fleet__refused_vm_goes_through_a_peer),
        cmocka_unit_test(fleet__refused_holder_hands_over),
        cmocka_unit_test(fleet__holder_stays_while_the_store_is_away),
        cmocka_unit_test(fleet__many_jobs_fit_several_changes),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    else
        cs_log_init("test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
