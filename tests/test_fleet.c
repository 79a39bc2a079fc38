/*
 * Tests of the scheduler and the entry point in a simulated deployment on a
 * virtual clock.
 */
#include "harness.h"
#include "fake_fleet.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

static fake_fleet *
create_deployment(uint64_t seed)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 16, .racks = 2, .seed = seed};
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
submit(fake_fleet *deployment, uint32_t vm, uint32_t number, uint32_t queue,
       uint32_t tasks, int64_t accelerators, bool gang)
{
    int32_t reply;
    fake_job job;

    fake_job_init(&job, number, queue, tasks, accelerators, 2000);
    job.spec.steps[0].gang = gang;
    fake_fleet_submit(deployment, vm, &job, &reply);
    fake_fleet_run(deployment, 100 * CS_MS_US);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
}

static void
expect_state(const fake_fleet *deployment, uint32_t number, int32_t state)
{
    char id[CS_JOB_ID_BYTES];

    g_snprintf(id, sizeof(id), "%016x", number);
    assert_int_equal(fake_fleet_job_state(deployment, id), state);
}

static void
fleet__job_is_completed(void **state)
{
    fake_fleet *deployment = create_deployment(1);

    submit(deployment, 0, 1, 0, 4, 2, false);
    submit(deployment, 1, 2, 1, 6, 8, true);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    expect_state(deployment, 2, CS_PROGRESS_COMPLETED);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_true(fake_fleet_is_idle(deployment));
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Submits a job of steps, each of which waits for the one before. */
static void
submit_steps(fake_fleet *deployment, uint32_t steps, uint32_t tasks_per_step)
{
    int32_t reply;
    fake_job job;
    uint32_t i;

    fake_job_init(&job, 1, 2, tasks_per_step, 0, 500);
    g_free(job.spec.steps);
    job.spec.step_count = steps;
    job.spec.steps = g_new0(cs_job_step, steps);
    for (i = 0; i < steps; i++) {
        job.spec.steps[i].task_count = tasks_per_step;
        job.spec.steps[i].demand.cpu_milli = 1000;
        job.spec.steps[i].estimate_ms = 500;
        job.spec.steps[i].predecessors = i ? UINT64_C(1) << (i - 1) : 0;
    }
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 100 * CS_MS_US);
    assert_int_equal(reply, CS_REPLY_ACCEPTED);
}

static void
submit_large_job(fake_fleet *deployment, uint32_t tasks_per_step)
{
    submit_steps(deployment, 3, tasks_per_step);
}

/*
 * Guards against one large job that ends all scheduling: its progress does not
 * fit into a row of the store, which rejects the write of each holder in turn.
 */
static void
fleet__job_larger_than_a_row_is_completed(void **state)
{
    fake_fleet *deployment = create_deployment(31);

    submit_large_job(deployment, 2200);
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    submit(deployment, 1, 2, 0, 4, 2, false);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    expect_state(deployment, 2, CS_PROGRESS_COMPLETED);
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     3 * 2200);
    assert_int_equal(fake_fleet_rejected_changes(deployment), 0);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against a holder, and each of its successors, that runs out of memory
 * by the tasks of accepted jobs. Those for which there is no room wait, also
 * over a takeover, and run in the end.
 */
static void
fleet__tasks_beyond_the_memory_wait_for_room(void **state)
{
    fake_fleet_settings settings = {.vms = 4,
                                    .workers = 16,
                                    .racks = 2,
                                    .seed = 47,
                                    .memory_bytes = 1000000};
    fake_fleet *deployment = fake_fleet_create(&settings);
    uint32_t former;
    uint32_t id;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    for (id = 1; id <= 6; id++)
        submit(deployment, 0, id, 2, 2200, 0, false);
    fake_fleet_run(deployment, CS_SEC_US);
    former = (uint32_t)fake_fleet_holder(deployment);
    assert_in_range(
        fake_fleet_counter(deployment, former, "cs_steps_deferred"), 1, 5);
    fake_fleet_kill(deployment, former, 2 * CS_SEC_US);
    fake_fleet_run(deployment, 150 * CS_SEC_US);
    for (id = 1; id <= 6; id++)
        expect_state(deployment, id, CS_PROGRESS_COMPLETED);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against tasks that a successor starts again because it has read only
   some of the rows of a large job, and against rows that are never removed. */
static void
fleet__successor_adopts_a_job_of_many_rows(void **state)
{
    fake_fleet *deployment = create_deployment(32);
    uint32_t i;

    submit_large_job(deployment, 1000);
    for (i = 0; i < 3; i++) {
        fake_fleet_run(deployment, 1300 * CS_MS_US);
        fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                        2 * CS_SEC_US);
        fake_fleet_run(deployment, 3 * CS_SEC_US);
    }
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     3 * 1000);
    expect_no_violation(deployment);
    assert_true(fake_fleet_row_count(deployment, "progress") > 3);
    fake_fleet_run(deployment, 200 * CS_SEC_US);
    assert_int_equal(fake_fleet_row_count(deployment, "progress"), 0);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against a job that was begun by a former build, with one progress row
 * for all of its tasks, and whose rows do not all fit into one change.
 */
static void
fleet__single_row_of_a_former_build_is_split(void **state)
{
    fake_fleet *deployment = create_deployment(43);
    uint32_t i;

    submit_steps(deployment, 5, 4096);
    fake_fleet_run(deployment, 1500 * CS_MS_US);
    for (i = 0; i < 4; i++)
        fake_fleet_kill(deployment, i, CS_SEC_US);
    fake_fleet_merge_progress(deployment, "0000000000000001");
    assert_int_equal(fake_fleet_row_count(deployment, "progress"), 1);
    fake_fleet_run(deployment, 60 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_rejected_changes(deployment), 0);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     5 * 4096);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against starting tasks again that are done: a worker lists only the
 * first 500 ends, and more end while no VM holds the cell.
 */
static void
fleet__ends_beyond_an_answer_are_not_taken_for_lost(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 1, .racks = 1, .seed = 37};
    fake_fleet *deployment = fake_fleet_create(&settings);
    fake_job job;
    int32_t reply;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_job_init(&job, 1, 2, 1280, 0, 3000);
    job.spec.steps[0].demand.cpu_milli = 10;
    job.spec.steps[0].demand.memory_mb = 10;
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 2500 * CS_MS_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     1280);
    fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                    30 * CS_SEC_US);
    fake_fleet_run(deployment, 10 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     1280);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against progress rows that stay in the store for good because the
   holder died between the removal of a job's row and of the last of these. */
static void
fleet__progress_rows_without_a_job_are_removed(void **state)
{
    fake_fleet *deployment = create_deployment(44);
    uint32_t holder = (uint32_t)fake_fleet_holder(deployment);

    submit_large_job(deployment, 1000);
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    fake_fleet_remove_job_row(deployment, "0000000000000001");
    fake_fleet_kill(deployment, holder, CS_SEC_US);
    assert_in_range(fake_fleet_row_count(deployment, "progress"), 10, 20);
    fake_fleet_run(deployment, 10 * CS_SEC_US);
    assert_int_equal(fake_fleet_row_count(deployment, "progress"), 0);
    assert_int_equal(fake_fleet_rejected_changes(deployment), 0);
    fake_fleet_destroy(deployment);
}

/* Guards against a gang of which some members start before the rows of the
   others are written. */
static void
fleet__gang_of_many_rows_starts_as_a_whole(void **state)
{
    fake_fleet *deployment = create_deployment(33);
    fake_job job;
    int32_t reply;

    fake_job_init(&job, 1, 1, 600, 0, 2000);
    job.spec.steps[0].gang = true;
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 6 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     600);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

static void
fleet__successor_adopts_running_tasks(void **state)
{
    fake_fleet *deployment = create_deployment(2);
    int32_t holder = fake_fleet_holder(deployment);

    submit(deployment, 0, 1, 1, 6, 8, true);
    submit(deployment, 0, 2, 2, 8, 1, false);
    fake_fleet_kill(deployment, (uint32_t)holder, 60 * CS_SEC_US);
    fake_fleet_run(deployment, 8 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), holder);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    expect_state(deployment, 2, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     6);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000002"),
                     8);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * If all processes die at once, the first one that is started again must
 * acquire the cell before the leases of the running tasks end. It therefore
 * infers from the store's clock how long the lease was not renewed.
 */
static void
fleet__cold_start_adopts_tasks_before_leases_end(void **state)
{
    fake_fleet *deployment = create_deployment(9);
    fake_job job;
    int32_t reply;
    uint32_t i;

    fake_job_init(&job, 1, 1, 6, 8, 15 * 1000);
    job.spec.steps[0].gang = true;
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    for (i = 0; i < 4; i++)
        fake_fleet_kill(deployment, i, 3 * CS_SEC_US);
    fake_fleet_run(deployment, 3 * CS_SEC_US + 900 * CS_MS_US);
    assert_int_not_equal(fake_fleet_holder(deployment), -1);
    fake_fleet_run(deployment, 12 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     6);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against placing the tasks that were lost with a silent worker on that
 * worker again.
 */
static void
fleet__silent_worker_gets_no_tasks(void **state)
{
    fake_fleet *deployment = create_deployment(8);
    uint32_t holder = (uint32_t)fake_fleet_holder(deployment);
    fake_job job;
    int32_t reply;

    fake_job_init(&job, 1, 2, 128, 1, 300 * 1000);
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_int_equal(fake_fleet_counter(deployment, holder, "cs_starts_total"),
                     128);
    fake_fleet_set_worker_disconnected(deployment, 0, true);
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    assert_int_equal(fake_fleet_counter(deployment, holder, "cs_starts_total"),
                     128);
    fake_fleet_set_worker_disconnected(deployment, 0, false);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_int_equal(fake_fleet_counter(deployment, holder, "cs_starts_total"),
                     136);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * A run succeeds while its worker is cut off, and its task is started on
 * another worker. Once the end is seen the task is done and the new run is
 * stopped.
 */
static void
fleet__success_seen_late_completes_the_task(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 2, .racks = 1, .seed = 11};
    fake_fleet *deployment = fake_fleet_create(&settings);
    fake_job job;
    int32_t reply;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_job_init(&job, 1, 2, 2, 8, 8 * 1000);
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 6 * CS_SEC_US);
    fake_fleet_set_worker_disconnected(deployment, 0, true);
    fake_fleet_run(deployment, 8 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     3);
    expect_state(deployment, 1, CS_PROGRESS_RUNNING);
    fake_fleet_set_worker_disconnected(deployment, 0, false);
    fake_fleet_run(deployment, 1500 * CS_MS_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_true(fake_fleet_is_idle(deployment));
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     3);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against a task that is never started again after it has failed once
 * on the only worker that may run it, and against the same for a gang that
 * needs all workers.
 */
static void
fleet__task_is_retried_on_its_only_worker(void **state)
{
    const uint32_t workers[] = {1, 2};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(workers); i++) {
        fake_fleet_settings settings = {
            .vms = 4, .workers = workers[i], .racks = 1, .seed = 35};
        fake_fleet *deployment = fake_fleet_create(&settings);

        fake_fleet_run(deployment, 2 * CS_SEC_US);
        fake_fleet_set_worker_failing(deployment, 0, true);
        submit(deployment, 0, 1, 1, workers[i], 8, workers[i] > 1);
        fake_fleet_run(deployment, 400 * CS_MS_US);
        fake_fleet_set_worker_failing(deployment, 0, false);
        fake_fleet_run(deployment, 6 * CS_SEC_US);
        expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
        expect_no_violation(deployment);
        fake_fleet_destroy(deployment);
    }
}

/*
 * Guards against work that waits half a minute for the only worker that may
 * run it, which has failed runs for some time and is sound again.
 */
static void
fleet__only_worker_is_not_quarantined_for_long(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 1, .racks = 1, .seed = 36};
    fake_fleet *deployment = fake_fleet_create(&settings);
    uint32_t number;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_fleet_set_worker_failing(deployment, 0, true);
    for (number = 1; number <= 15; number++) {
        submit(deployment, 0, number, 1, 1, 8, false);
        fake_fleet_run(deployment, 900 * CS_MS_US);
    }
    fake_fleet_set_worker_failing(deployment, 0, false);
    submit(deployment, 0, 16, 0, 1, 8, false);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000010"),
                     1);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Returns a text that repeats a character. */
static char *
repeat(char character, size_t count)
{
    return g_strnfill(count, character);
}

/* Writes entries as another writer may: keys of any length, and members that
   are missing, of another type, nested or out of range. */
static void
put_odd_entries(fake_fleet *deployment)
{
    static const char valid[] =
        "{\"service\":\"lab\",\"addr\":\"127.0.0.1:9\",\"zone\":\"z0\","
        "\"state\":\"ready\",\"capacity\":{\"cpu\":64000,\"memMb\":131072,"
        "\"gpu\":8},\"labels\":[\"a\",\"r1-0\"],\"seq\":1,\"born\":5}";
    static const size_t lengths[] = {1, 31, 62, 63, 64, 65, 127, 199, 200};
    static const struct {
        const char *from;
        const char *to;
    } changes[] = {
        {"\"lab\"", "7"},
        {"127.0.0.1:9", "127.0.0.1:99999"},
        {"127.0.0.1:9", "127.0.0.1:0"},
        {"127.0.0.1:9", "[::1]:9"},
        {"127.0.0.1:9", ""},
        {"64000", "9223372036854775807"},
        {"131072", "9223372036854775807"},
        {":8}", ":-9223372036854775808}"},
        {":8}", ":1e300}"},
        {"\"born\":5", "\"born\":-1"},
        {"\"born\":5", "\"born\":9223372036854775807"},
        {"\"born\":5", "\"born\":18446744073709551616"},
        {"\"seq\":1", "\"remainingMs\":9223372036854775807"},
        {"[\"a\",\"r1-0\"]", "[[\"a\"]]"},
        {"[\"a\",\"r1-0\"]", "[]"},
        {"ready", "gone"},
        {"}", ""},
    };
    char *nested = repeat('[', 30000);
    char *name = repeat('n', 300);
    GString *many_labels = g_string_new("");
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(lengths); i++) {
        char *key = repeat('k', lengths[i]);

        fake_fleet_put_entry(deployment, key, valid);
        fake_fleet_put_entry(deployment, key, "\xff\xfe");
        key[0] = ' ';
        fake_fleet_put_entry(deployment, key, valid);
        g_free(key);
    }
    for (i = 0; i < G_N_ELEMENTS(changes); i++) {
        GString *text = g_string_new(valid);
        char key[16];

        g_string_replace(text, changes[i].from, changes[i].to, 0);
        g_snprintf(key, sizeof(key), "odd-%zu", i);
        fake_fleet_put_entry(deployment, key, text->str);
        /* Under the id of a worker as well, which writes its entry again. */
        g_snprintf(key, sizeof(key), "w-%02zu", i % 16);
        fake_fleet_put_entry(deployment, key, text->str);
        g_string_free(text, TRUE);
    }
    for (i = 0; i < 500; i++)
        g_string_append_printf(many_labels, "\"%s-%zu\",", "label", i);
    for (i = 0; i < 3; i++) {
        const char *const to[] = {nested, name, many_labels->str};
        const char *const from[] = {"\"seq\":1", "\"z0\"", "[\"a\""};
        GString *text = g_string_new(valid);
        GString *value = g_string_new("");

        g_string_printf(value,
                        i == 0   ? "\"seq\":%s"
                        : i == 1 ? "\"%s\""
                                 : "[%s\"a\"",
                        to[i]);
        g_string_replace(text, from[i], value->str, 0);
        fake_fleet_put_entry(deployment, "odd-long", text->str);
        g_string_free(text, TRUE);
        g_string_free(value, TRUE);
    }
    g_string_free(many_labels, TRUE);
    g_free(nested);
    g_free(name);
}

/*
 * Guards against a process that ends by itself, or a holder that stops
 * following the workers, because of one odd entry among them: a key of more
 * than 63 bytes ended every process that read it.
 */
static void
fleet__odd_entries_of_workers_harm_nothing(void **state)
{
    fake_fleet *deployment = create_deployment(38);
    int32_t holder = fake_fleet_holder(deployment);

    put_odd_entries(deployment);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(deployment), holder);
    submit(deployment, 0, 1, 1, 16, 8, true);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    /* A successor reads all entries, and the speeds that were learned. */
    fake_fleet_run(deployment, 6 * CS_SEC_US);
    fake_fleet_kill(deployment, (uint32_t)holder, 60 * CS_SEC_US);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), -1);
    submit(deployment, (uint32_t)(holder + 1) % 4, 2, 2, 16, 8, false);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    expect_state(deployment, 2, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_rejected_changes(deployment), 0);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against work that goes to workers of another service or without the
 * required label in a fleet with many labels: beyond the 64th, a worker's
 * label stood for all labels.
 */
static void
fleet__labels_beyond_64_do_not_match(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 160, .racks = 80, .seed = 39};
    fake_fleet *deployment = fake_fleet_create(&settings);
    fake_job job;
    int32_t reply;
    uint32_t i;

    fake_fleet_run(deployment, 3 * CS_SEC_US);
    fake_job_init(&job, 1, 2, 4, 1, 1000);
    g_strlcpy(job.spec.steps[0].required_label, "none",
              sizeof(job.spec.steps[0].required_label));
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     0);
    /* Each rack is required by a job of its own, and holds two of its tasks.
     */
    for (i = 0; i < 80; i++) {
        fake_job_init(&job, i + 2, 2, 2, 8, 1000);
        g_snprintf(job.spec.steps[0].required_label,
                   sizeof(job.spec.steps[0].required_label), "r1-%u", i);
        fake_fleet_submit(deployment, 0, &job, &reply);
    }
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    for (i = 0; i < 80; i++)
        expect_state(deployment, i + 2, CS_PROGRESS_COMPLETED);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Starts a gang on workers 0 to 14 of 16, the first of which then drains. */
static void
start_gang_and_drain_member(fake_fleet *deployment)
{
    fake_job job;
    int32_t reply;

    fake_job_init(&job, 1, 1, 15, 8, 12 * 1000);
    job.spec.steps[0].gang = true;
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     15);
    fake_fleet_drain_worker(deployment, 0);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
}

/*
 * Guards against a gang that waits for the end of the leases of a member whose
 * worker has left, while nothing of it runs.
 */
static void
fleet__gang_restarts_when_a_draining_worker_has_left(void **state)
{
    fake_fleet *deployment = create_deployment(22);

    start_gang_and_drain_member(deployment);
    fake_fleet_remove_worker(deployment, 0);
    fake_fleet_run(deployment, 1500 * CS_MS_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     30);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against starting a task twice at the same time: a draining worker
 * that is cut off loses its entry by silence, and runs on.
 */
static void
fleet__gang_waits_for_the_leases_of_a_silent_draining_worker(void **state)
{
    fake_fleet *deployment = create_deployment(23);
    int64_t silence_us = 3 * INT64_C(1500) * CS_MS_US;

    start_gang_and_drain_member(deployment);
    fake_fleet_set_worker_disconnected(deployment, 0, true);
    fake_fleet_run(deployment, silence_us);
    fake_fleet_expire_entry(deployment, 0);
    fake_fleet_run(deployment, 500 * CS_MS_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     15);
    fake_fleet_run(deployment, 8 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     30);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Lets a job of 16 tasks run on all workers, and cuts off the zone of the
   holder, which goes on extending the leases there. */
static void
cut_holder_zone(fake_fleet *deployment, int64_t run_ms)
{
    fake_job job;
    int32_t reply;

    fake_job_init(&job, 1, 2, 16, 8, run_ms);
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     16);
    fake_fleet_cut_zone(deployment,
                        (uint32_t)fake_fleet_holder(deployment) % FAKE_ZONES,
                        true);
}

/*
 * Guards against a successor that starts tasks of a zone that is cut off while
 * the former holder in the zone still extends their leases: their workers have
 * no entries in the store, but are not gone.
 */
static void
fleet__tasks_of_a_cut_zone_run_once(void **state)
{
    int64_t cut_s;

    for (cut_s = 4; cut_s <= 34; cut_s += 2) {
        /* Every other deployment calls its workers through executors. */
        fake_fleet_settings settings = {.vms = 9,
                                        .workers = 16,
                                        .racks = 2,
                                        .seed = 40 + (uint64_t)cut_s,
                                        .max_direct_workers =
                                            cut_s % 4 ? 4 : 0};
        fake_fleet *deployment = fake_fleet_create(&settings);
        uint32_t zone;

        fake_fleet_run(deployment, 3 * CS_SEC_US);
        cut_holder_zone(deployment, 12 * 1000);
        zone = (uint32_t)fake_fleet_holder(deployment) % FAKE_ZONES;
        fake_fleet_run(deployment, cut_s * CS_SEC_US);
        fake_fleet_cut_zone(deployment, zone, false);
        fake_fleet_run(deployment, 40 * CS_SEC_US);
        expect_no_violation(deployment);
        expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
        fake_fleet_destroy(deployment);
    }
}

/* Kills the holder while a worker with a task is cut off. Returns after how
   many seconds the task is started elsewhere. */
static uint32_t
measure_restart_s(int64_t holder_down_us, bool bound_given)
{
    fake_fleet_settings settings = {.vms = 4,
                                    .workers = 16,
                                    .racks = 2,
                                    .seed = 42,
                                    .restart_not_given = !bound_given};
    fake_fleet *deployment = fake_fleet_create(&settings);
    uint32_t seconds = 0;
    fake_job job;
    int32_t reply;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_job_init(&job, 1, 2, 8, 8, 60 * 1000);
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_fleet_set_worker_disconnected(deployment, 0, true);
    fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                    holder_down_us);
    while (fake_fleet_start_count(deployment, "0000000000000001") == 8) {
        fake_fleet_run(deployment, CS_SEC_US);
        assert_in_range(++seconds, 0, 60);
    }
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
    return seconds;
}

/*
 * Guards against a successor that waits for the leases that a former holder
 * may extend although its VM runs another process, and against one that does
 * not wait as long as the former holder may be alive.
 */
static void
fleet__former_holder_is_waited_for_until_its_vm_restarts(void **state)
{
    assert_in_range(measure_restart_s(CS_SEC_US, false), 6, 11);
    assert_in_range(measure_restart_s(300 * CS_SEC_US, false), 20, 24);
    assert_in_range(measure_restart_s(CS_SEC_US, true), 6, 11);
    assert_in_range(measure_restart_s(300 * CS_SEC_US, true), 6, 14);
}

/*
 * Guards against a holder that is frozen while a change is on its way, reads
 * the confirmation half a minute later and starts the recorded runs, on
 * workers that its successor could not reach and has given up.
 */
static void
fleet__frozen_holder_starts_nothing_late(void **state)
{
    uint32_t ms;

    for (ms = 0; ms < 60; ms += 2) {
        fake_fleet_settings settings = {.vms = 4,
                                        .workers = 16,
                                        .racks = 2,
                                        .seed = 41,
                                        .evacuate_not_given = true};
        fake_fleet *deployment = fake_fleet_create(&settings);
        uint32_t holder;
        fake_job job;
        int32_t reply;

        fake_fleet_run(deployment, 2 * CS_SEC_US);
        holder = (uint32_t)fake_fleet_holder(deployment);
        fake_job_init(&job, 1, 2, 8, 8, 40 * 1000);
        fake_fleet_submit(deployment, (holder + 1) % 4, &job, &reply);
        fake_fleet_run(deployment, ms * CS_MS_US);
        fake_fleet_cut_zone(deployment, holder % FAKE_ZONES, true);
        fake_fleet_freeze(deployment, holder, 25 * CS_SEC_US);
        fake_fleet_run(deployment, 30 * CS_SEC_US);
        fake_fleet_cut_zone(deployment, holder % FAKE_ZONES, false);
        fake_fleet_run(deployment, 60 * CS_SEC_US);
        expect_no_violation(deployment);
        fake_fleet_destroy(deployment);
    }
}

/*
 * Guards against a VM that waits for the answer of a peer that was cut off,
 * and misses a configuration, although it reaches the store itself again.
 */
static void
fleet__new_configuration_is_applied_after_the_relaying_peer_is_lost(
    void **state)
{
    fake_fleet *deployment = create_deployment(24);
    int32_t holder = fake_fleet_holder(deployment);
    uint32_t vm = holder == 1 ? 2 : 1;
    fake_vm_faults refused = {.store_refuses = true};
    fake_vm_faults cut_off = {.store_unreachable = true};
    fake_vm_faults none = {0};

    fake_fleet_set_faults(deployment, (int32_t)vm, &refused);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    fake_fleet_set_faults(deployment, -1, &cut_off);
    fake_fleet_set_faults(deployment, (int32_t)vm, &none);
    fake_fleet_run(deployment, CS_SEC_US);
    fake_fleet_configure(deployment, 2);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_int_equal(fake_fleet_config_version(deployment, vm), 2);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against a poll that was lost in an outage and whose long timeout
 * outlasts the time in which a new configuration has to be applied. Outages of
 * several lengths meet different polls.
 */
static void
fleet__new_configuration_is_applied_after_a_silent_store(void **state)
{
    fake_vm_faults silent = {.store_unreachable = true};
    fake_vm_faults none = {0};
    int64_t outage_ms;
    uint32_t vm;

    for (outage_ms = 4000; outage_ms < 8000; outage_ms += 250) {
        fake_fleet *deployment = create_deployment(26);

        fake_fleet_set_faults(deployment, -1, &silent);
        fake_fleet_run(deployment, outage_ms * CS_MS_US);
        fake_fleet_set_faults(deployment, -1, &none);
        fake_fleet_configure(deployment, 2);
        fake_fleet_run(deployment, 2 * CS_SEC_US);
        for (vm = 0; vm < 4; vm++)
            assert_int_equal(fake_fleet_config_version(deployment, vm), 2);
        fake_fleet_destroy(deployment);
    }
}

/*
 * Guards against a wait for a rack of the data that has no workers, and
 * against a read beyond the racks of the cell when a step is the first to name
 * one.
 */
static void
fleet__data_rack_without_workers_is_not_waited_for(void **state)
{
    fake_fleet *deployment = create_deployment(25);
    fake_job job;
    int32_t reply;

    fake_job_init(&job, 1, 2, 2, 1, 4000);
    g_strlcpy(job.spec.steps[0].data_rack, "r9-9",
              sizeof(job.spec.steps[0].data_rack));
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     2);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against spreading a gang over racks, which triples its run time,
 * because most workers have not answered a new holder yet.
 */
static void
fleet__gang_waits_for_a_rack_after_a_takeover(void **state)
{
    fake_fleet *deployment = create_deployment(21);
    int32_t holder = fake_fleet_holder(deployment);
    int32_t reply;
    fake_job job;
    uint32_t i;

    for (i = 2; i < 16; i++)
        fake_fleet_set_worker_disconnected(deployment, i, true);
    fake_fleet_kill(deployment, (uint32_t)holder, 60 * CS_SEC_US);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    holder = fake_fleet_holder(deployment);
    assert_int_not_equal(holder, -1);
    fake_job_init(&job, 1, 1, 2, 8, 2000);
    job.spec.steps[0].gang = true;
    job.spec.steps[0].same_rack = true;
    fake_fleet_submit(deployment, (uint32_t)holder, &job, &reply);
    fake_fleet_run(deployment, CS_SEC_US);
    for (i = 2; i < 16; i++)
        fake_fleet_set_worker_disconnected(deployment, i, false);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_counter(deployment, (uint32_t)holder,
                                        "cs_gangs_spread_total"),
                     0);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* The adviser allows half of the workers, so the tasks run in two rounds. */
static void
fleet__advised_step_runs_on_allowed_workers(void **state)
{
    fake_fleet *deployment = create_deployment(12);
    uint32_t holder = (uint32_t)fake_fleet_holder(deployment);

    submit(deployment, 0, 1, 3, 10, 8, false);
    fake_fleet_run(deployment, 7 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     10);
    assert_int_equal(fake_fleet_counter(deployment, holder,
                                        "cs_starts_without_ticket_total"),
                     0);
    /* Two rounds of tasks, and cached verdicts are not requested again. */
    assert_in_range(
        fake_fleet_counter(deployment, holder, "cs_advice_asked_total"), 1, 4);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * No rack has enough workers that the adviser allows for the gang, so it must
 * be placed across racks although it prefers a single one.
 */
static void
fleet__advised_gang_may_span_racks(void **state)
{
    fake_fleet *deployment = create_deployment(13);
    fake_job job;
    int32_t reply;

    fake_job_init(&job, 1, 3, 6, 8, 2000);
    job.spec.steps[0].gang = true;
    job.spec.steps[0].same_rack = true;
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 6 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     6);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Tickets are valid for one incarnation of a worker, and a new holder has none
   at all. */
static void
fleet__advice_is_requested_again_after_a_crash(void **state)
{
    fake_fleet *deployment = create_deployment(14);
    uint32_t i;

    submit(deployment, 0, 1, 3, 10, 8, false);
    fake_fleet_run(deployment, CS_SEC_US);
    for (i = 0; i < 16; i++)
        fake_fleet_crash_worker(deployment, i, CS_SEC_US);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                    60 * CS_SEC_US);
    fake_fleet_run(deployment, 12 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

static const json_t *
find_worker(const json_t *status, const char *id)
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
get_log_speed(const fake_fleet *deployment, const char *id)
{
    json_t *status =
        fake_fleet_status(deployment, (uint32_t)fake_fleet_holder(deployment));
    double speed =
        json_real_value(json_object_get(find_worker(status, id), "log_speed"));

    json_decref(status);
    return speed;
}

/* The speeds that a holder has learned are available to its successor. */
static void
fleet__successor_restores_speeds(void **state)
{
    fake_fleet *deployment = create_deployment(15);

    fake_fleet_set_speed(deployment, 3, 0.4);
    submit(deployment, 0, 1, 2, 16, 8, false);
    fake_fleet_run(deployment, 12 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    assert_true(get_log_speed(deployment, "w-03") <
                get_log_speed(deployment, "w-04") - 0.5);
    fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                    60 * CS_SEC_US);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), -1);
    assert_true(get_log_speed(deployment, "w-03") <
                get_log_speed(deployment, "w-04") - 0.5);
    fake_fleet_destroy(deployment);
}

/*
 * The holder misses the removal of a worker because the store's history is
 * gone. It must find out from a new read, which takes several pages.
 */
static void
fleet__removed_worker_is_unlisted_by_a_paged_read(void **state)
{
    fake_fleet_settings settings = {
        .vms = 2, .workers = 510, .racks = 10, .seed = 16};
    fake_fleet *deployment = fake_fleet_create(&settings);
    fake_vm_faults cut = {.store_unreachable = true};
    fake_vm_faults none = {0};
    json_t *status;
    uint32_t holder;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    holder = (uint32_t)fake_fleet_holder(deployment);
    fake_fleet_set_faults(deployment, -1, &cut);
    fake_fleet_remove_worker(deployment, 3);
    fake_fleet_compact(deployment);
    fake_fleet_run(deployment, CS_SEC_US);
    fake_fleet_set_faults(deployment, -1, &none);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(deployment), holder);
    status = fake_fleet_status(deployment, holder);
    assert_non_null(find_worker(status, "w-04"));
    assert_null(find_worker(status, "w-03"));
    json_decref(status);
    fake_fleet_destroy(deployment);
}

/* A new holder of many workers without tasks limits the heartbeats in flight.
 */
static void
fleet__heartbeats_to_idle_workers_are_limited(void **state)
{
    fake_fleet_settings settings = {
        .vms = 2, .workers = 510, .racks = 10, .seed = 17};
    fake_fleet *deployment = fake_fleet_create(&settings);
    uint32_t holder;
    fake_job job;
    int32_t reply;

    fake_fleet_run(deployment, 3 * CS_SEC_US);
    holder = (uint32_t)fake_fleet_holder(deployment);
    /* At most 64 heartbeats, and a few calls to the store. */
    assert_in_range(fake_fleet_max_pending_calls(deployment, holder), 64, 74);
    fake_job_init(&job, 1, 2, 510, 8, 2000);
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     510);
    /* All workers become idle at once; the ends of their runs must still be
       acknowledged soon. */
    fake_fleet_run(deployment, 2500 * CS_MS_US);
    assert_true(fake_fleet_is_idle(deployment));
    fake_fleet_destroy(deployment);
}

/*
 * No VM may report that a queue has no waiting jobs while a new holder still
 * loads the cell.
 */
static void
fleet__waiting_counts_survive_a_takeover(void **state)
{
    fake_fleet *deployment = create_deployment(18);
    uint32_t holder = (uint32_t)fake_fleet_holder(deployment);
    uint32_t other = (holder + 1) % 4;
    fake_job job;
    int32_t reply;
    uint32_t i;

    fake_job_init(&job, 1, 2, 16, 8, 60 * 1000);
    fake_fleet_submit(deployment, other, &job, &reply);
    fake_fleet_run(deployment, 500 * CS_MS_US);
    for (i = 2; i <= 6; i++)
        submit(deployment, other, i, 2, 1, 8, false);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(fake_fleet_waiting_jobs(deployment, other, "q2"), 5);
    fake_fleet_kill(deployment, holder, 60 * CS_SEC_US);
    /* The VM that acquires the cell is among those asked. */
    for (i = 0; i < 4 * 3000; i++) {
        if (i % 4 != holder)
            assert_int_equal(fake_fleet_waiting_jobs(deployment, i % 4, "q2"),
                             5);
        if (i % 4 == 3)
            fake_fleet_run(deployment, CS_MS_US);
    }
    assert_int_not_equal(fake_fleet_holder(deployment), (int32_t)holder);
    fake_fleet_destroy(deployment);
}

/*
 * Guards against a lease row that is larger than the store allows because jobs
 * of many queues wait: without it each holder loses the cell.
 */
static void
fleet__waiting_counts_of_many_queues_fit_into_a_row(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 16, .racks = 2, .seed = 34, .row_bytes = 1024};
    fake_fleet *deployment = fake_fleet_create(&settings);
    int32_t holder;
    fake_job job;
    int32_t reply;
    uint32_t i;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    fake_fleet_configure_queues(deployment, 2, 110);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    holder = fake_fleet_holder(deployment);
    fake_job_init(&job, 1, 2, 16, 8, 60 * 1000);
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 500 * CS_MS_US);
    for (i = 0; i < 110; i++) {
        fake_job_init(&job, i + 2, 2, 1, 8, 1000);
        g_snprintf(job.spec.queue, sizeof(job.spec.queue), "more-%u", i);
        fake_fleet_submit(deployment, i % 4, &job, &reply);
        fake_fleet_run(deployment, 30 * CS_MS_US);
    }
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(deployment), holder);
    assert_int_equal(fake_fleet_rejected_changes(deployment), 0);
    for (i = 0; i < 4; i++)
        assert_int_equal(fake_fleet_waiting_jobs(deployment, i, "more-77"), 1);
    fake_fleet_destroy(deployment);
}

/* The states of ended jobs are available during the retention; after it their
   rows are removed. */
static void
fleet__expired_jobs_are_removed(void **state)
{
    fake_fleet *deployment = create_deployment(7);
    uint32_t i;

    for (i = 1; i <= 25; i++)
        submit(deployment, 0, i, 2, 1, 1, false);
    fake_fleet_run(deployment, 100 * CS_SEC_US);
    expect_state(deployment, 25, CS_PROGRESS_COMPLETED);
    fake_fleet_run(deployment, 100 * CS_SEC_US);
    for (i = 1; i <= 25; i++) {
        char id[CS_JOB_ID_BYTES];

        g_snprintf(id, sizeof(id), "%016x", i);
        assert_false(fake_fleet_job_is_stored(deployment, id));
        assert_int_equal(fake_fleet_job_state(deployment, id), -1);
    }
    submit(deployment, 0, 30, 2, 1, 1, false);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    expect_state(deployment, 30, CS_PROGRESS_COMPLETED);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* All capacity is used by long jobs of another queue. A guaranteed job must
   not wait for their end. */
static void
fleet__guaranteed_job_preempts_long_work(void **state)
{
    fake_fleet *deployment = create_deployment(6);
    fake_job job;
    int32_t reply;

    fake_job_init(&job, 1, 2, 128, 1, 300 * 1000);
    fake_fleet_submit(deployment, 0, &job, &reply);
    fake_fleet_run(deployment, 30 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     128);
    fake_job_init(&job, 2, 0, 2, 8, 2000);
    job.spec.steps[0].gang = true;
    job.spec.steps[0].same_rack = true;
    fake_fleet_submit(deployment, 0, &job, &reply);
    /* It has to start within 3.4 s of its acknowledgement. */
    fake_fleet_run(deployment, 3400 * CS_MS_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000002"),
                     2);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/*
 * A step prefers one rack that is full of long work while most other workers
 * are idle. It must not wait for the rack for long.
 */
static void
expect_start_outside_preferred_rack(bool same_rack)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 24, .racks = 3, .seed = 10};
    fake_fleet *deployment = fake_fleet_create(&settings);
    fake_job job;
    int32_t reply;
    uint32_t k;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    for (k = 0; k < 3; k++) {
        /* With same_rack a part of each rack is used, so that no rack can hold
           the gang. Without, the rack of the data is filled. */
        fake_job_init(&job, k + 1, 1, same_rack ? 1 : 3, same_rack ? 3 : 8,
                      300 * 1000);
        g_snprintf(job.spec.steps[0].data_rack,
                   sizeof(job.spec.steps[0].data_rack), "r1-%u",
                   same_rack ? k : 0);
        fake_fleet_submit(deployment, 0, &job, &reply);
        fake_fleet_run(deployment, CS_SEC_US);
    }
    fake_job_init(&job, 9, 1, same_rack ? 8 : 1, 8, 60 * 1000);
    job.spec.steps[0].gang = same_rack;
    job.spec.steps[0].same_rack = same_rack;
    if (!same_rack)
        g_strlcpy(job.spec.steps[0].data_rack, "r1-0",
                  sizeof(job.spec.steps[0].data_rack));
    fake_fleet_submit(deployment, 0, &job, &reply);
    /* From 14 s after the last submission a step may wait for its rack for 3 s
       at most while less than half of the capacity is in use. */
    fake_fleet_run(deployment, 14 * CS_SEC_US);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000009"),
                     same_rack ? 8 : 1);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

static void
fleet__idle_capacity_is_used_outside_the_data_rack(void **state)
{
    expect_start_outside_preferred_rack(false);
}

static void
fleet__idle_capacity_is_used_across_racks(void **state)
{
    expect_start_outside_preferred_rack(true);
}

/* The holder was cut off from the store, so it reads a job and its
   cancellation together. The job must not start. */
static void
fleet__job_cancelled_before_it_is_read(void **state)
{
    fake_fleet *deployment = create_deployment(5);
    int32_t holder = fake_fleet_holder(deployment);
    uint32_t other = (uint32_t)(holder + 1) % 4;
    fake_vm_faults cut = {.store_unreachable = true};
    fake_vm_faults none = {0};
    int32_t reply;

    /* Waits until the holder's open feed of the jobs has ended, so that it
       cannot return the submission. */
    fake_fleet_set_faults(deployment, holder, &cut);
    fake_fleet_run(deployment, 1100 * CS_MS_US);
    submit(deployment, other, 1, 2, 4, 1, false);
    fake_fleet_cancel(deployment, other, "0000000000000001", &reply);
    fake_fleet_run(deployment, 300 * CS_MS_US);
    assert_int_equal(reply, CS_REPLY_CANCELLED);
    fake_fleet_compact(deployment);
    fake_fleet_set_faults(deployment, holder, &none);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_CANCELLED);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     0);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* A VM that the store refuses still accepts jobs, answers requests and applies
   new configurations, through a peer. */
static void
fleet__refused_vm_is_relayed_through_a_peer(void **state)
{
    fake_fleet *deployment = create_deployment(4);
    uint32_t vm = (uint32_t)(fake_fleet_holder(deployment) + 1) % 4;
    fake_vm_faults refuse = {.store_refuses = true};
    int32_t reply;
    int32_t job_state;
    fake_job job;

    fake_fleet_set_faults(deployment, (int32_t)vm, &refuse);
    fake_fleet_run(deployment, CS_SEC_US);
    submit(deployment, vm, 1, 0, 2, 1, false);
    fake_fleet_configure(deployment, 7);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    fake_fleet_query_status(deployment, vm, "0000000000000001", &reply,
                            &job_state);
    fake_fleet_run(deployment, CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_STATUS);
    assert_int_equal(job_state, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_counter(deployment, vm, "cs_config_applied"),
                     2);
    assert_true(fake_fleet_counter(deployment, vm, "cs_store_relayed_total") >
                0);
    /* If the store refuses all VMs, a submission is rejected and not stored.
     */
    fake_fleet_set_faults(deployment, -1, &refuse);
    fake_job_init(&job, 2, 0, 1, 1, 500);
    fake_fleet_submit(deployment, vm, &job, &reply);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_int_equal(reply, CS_REPLY_REJECTED);
    assert_false(fake_fleet_job_is_stored(deployment, "0000000000000002"));
    fake_fleet_destroy(deployment);
}

/* A holder that the store refuses records through a peer only until a VM with
   a direct route to the store has acquired the cell. */
static void
fleet__refused_holder_hands_over(void **state)
{
    static const fake_vm_faults refused = {.store_refuses = true};
    fake_fleet *deployment = create_deployment(17);
    int32_t holder = fake_fleet_holder(deployment);
    int32_t successor;

    submit(deployment, 0, 1, 1, 6, 8, true);
    fake_fleet_run(deployment, 500 * CS_MS_US);
    fake_fleet_set_faults(deployment, holder, &refused);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    successor = fake_fleet_holder(deployment);
    assert_int_not_equal(successor, -1);
    assert_int_not_equal(successor, holder);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(deployment), successor);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    assert_int_equal(fake_fleet_start_count(deployment, "0000000000000001"),
                     6);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* If the store refuses all VMs there is none to hand the cell over to. */
static void
fleet__holder_stays_while_the_store_is_unavailable(void **state)
{
    static const fake_vm_faults refused = {.store_refuses = true};
    static const fake_vm_faults none = {0};
    fake_fleet *deployment = create_deployment(18);
    int32_t holder = fake_fleet_holder(deployment);
    uint64_t epoch = fake_fleet_epoch(deployment, (uint32_t)holder);

    fake_fleet_set_faults(deployment, -1, &refused);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    fake_fleet_set_faults(deployment, -1, &none);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_int_equal(fake_fleet_holder(deployment), holder);
    assert_int_equal(fake_fleet_epoch(deployment, (uint32_t)holder), epoch);
    fake_fleet_destroy(deployment);
}

/* More jobs make progress at once than fit in one change to the store. */
static void
fleet__progress_of_many_jobs_is_split_over_changes(void **state)
{
    fake_fleet *deployment = create_deployment(3);
    int32_t replies[120];
    fake_vm_faults refuse = {.store_refuses = true};
    fake_vm_faults none = {0};
    int32_t holder = fake_fleet_holder(deployment);
    uint32_t i;

    fake_fleet_set_faults(deployment, holder, &refuse);
    for (i = 0; i < 120; i++) {
        fake_job job;

        fake_job_init(&job, i + 1, 2, 1, 1, 500);
        fake_fleet_submit(deployment, (uint32_t)(holder + 1) % 4, &job,
                          &replies[i]);
    }
    fake_fleet_run(deployment, CS_SEC_US);
    fake_fleet_set_faults(deployment, holder, &none);
    fake_fleet_run(deployment, 6 * CS_SEC_US);
    for (i = 0; i < 120; i++) {
        assert_int_equal(replies[i], CS_REPLY_ACCEPTED);
        expect_state(deployment, i + 1, CS_PROGRESS_COMPLETED);
    }
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

static fake_fleet *
create_organisations(uint64_t seed, uint32_t count)
{
    fake_fleet *deployment = create_deployment(seed);

    fake_fleet_set_organisations(deployment, count);
    fake_fleet_configure(deployment, 2);
    fake_fleet_run(deployment, CS_SEC_US);
    return deployment;
}

/* Submits single tasks of one accelerator for an organisation, to a VM that
   does not hold the cell. */
static void
submit_for(fake_fleet *deployment, uint32_t number, uint32_t organisation,
           uint32_t tasks, int64_t run_ms)
{
    uint32_t vm = ((uint32_t)fake_fleet_holder(deployment) + 1) % 4;
    fake_job job;

    fake_job_init(&job, number, 2, tasks, 1, run_ms);
    job.organisation = organisation;
    fake_fleet_submit(deployment, vm, &job, NULL);
    fake_fleet_run(deployment, 100 * CS_MS_US);
}

/* Returns an organisation's share as the holder shows it, or -1. */
static double
get_share(const fake_fleet *deployment, const char *name)
{
    json_t *status =
        fake_fleet_status(deployment, (uint32_t)fake_fleet_holder(deployment));
    const json_t *item;
    double share = -1;
    size_t i;

    json_array_foreach(json_object_get(status, "organisations"), i, item)
    {
        if (strcmp(json_string_value(json_object_get(item, "organisation")),
                   name) == 0)
            share = json_real_value(json_object_get(item, "share"));
    }
    json_decref(status);
    return share;
}

/* Runs a job of t1 on three quarters of the fleet for 30 s. The jobs end
   before what the row says does. */
static fake_fleet *
run_past_use(uint64_t seed)
{
    fake_fleet *deployment = create_organisations(seed, 2);

    submit_for(deployment, 1, 1, 96, 25 * 1000);
    fake_fleet_run(deployment, 32 * CS_SEC_US);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    assert_true(get_share(deployment, "t1") > 0.2);
    return deployment;
}

/* Advances until the holder has sent the row of shares, and kills it before
   the answer. Returns its number. */
static int32_t
kill_with_row_in_flight(fake_fleet *deployment)
{
    int32_t holder = fake_fleet_holder(deployment);
    int64_t sent = fake_fleet_counter(deployment, (uint32_t)holder,
                                      "cs_share_rows_total");
    uint32_t i;

    for (i = 0; i < 8000; i++) {
        fake_fleet_run(deployment, CS_MS_US);
        if (fake_fleet_counter(deployment, (uint32_t)holder,
                               "cs_share_rows_total") > sent)
            break;
    }
    assert_true(i < 8000);
    fake_fleet_kill(deployment, (uint32_t)holder, 60 * CS_SEC_US);
    return holder;
}

/* Guards against the organisation that submits most keeping all others
   waiting until its jobs are done. */
static void
fleet__small_organisation_does_not_wait_for_a_large_one(void **state)
{
    fake_fleet *deployment = create_organisations(31, 3);
    uint32_t i;

    /* Each job takes the whole fleet for 5 s. */
    for (i = 1; i <= 5; i++)
        submit_for(deployment, i, 1, 128, 5000);
    submit_for(deployment, 6, 2, 128, 5000);
    fake_fleet_run(deployment, 13 * CS_SEC_US);
    expect_state(deployment, 6, CS_PROGRESS_COMPLETED);
    expect_state(deployment, 3, -1);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against a takeover that forgets what was used before, and against a
   row that is half written. */
static void
fleet__successor_restores_shares(void **state)
{
    fake_fleet *deployment = run_past_use(32);
    double share = get_share(deployment, "t1");
    int32_t holder = kill_with_row_in_flight(deployment);

    fake_fleet_run(deployment, 4 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), holder);
    /* Within 9 s a share decays to 0.74 of its value. */
    assert_true(get_share(deployment, "t1") > 0.7 * share);
    assert_true(get_share(deployment, "t1") < share);
    assert_true(get_share(deployment, "t0") < 0.01);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against a holder that does not begin, or begins with part of the
   figures, because of a row that it cannot read. */
static void
fleet__unreadable_shares_start_from_adopted_tasks(void **state)
{
    fake_fleet *deployment = run_past_use(33);
    int32_t holder;

    submit_for(deployment, 2, 0, 64, 60 * 1000);
    fake_fleet_run(deployment, CS_SEC_US);
    holder = kill_with_row_in_flight(deployment);
    fake_fleet_run(deployment, 100 * CS_MS_US);
    fake_fleet_put_cell_row(deployment, "shares", "\x94\x01\x02\x92\xa2t1", 7);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), -1);
    assert_int_not_equal(fake_fleet_holder(deployment), holder);
    assert_true(get_share(deployment, "t0") > 0.45);
    assert_true(get_share(deployment, "t1") < 0.01);
    assert_int_equal(
        fake_fleet_counter(deployment, (uint32_t)fake_fleet_holder(deployment),
                           "cs_rows_unreadable_total"),
        1);
    submit_for(deployment, 3, 1, 4, 1000);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    expect_state(deployment, 3, CS_PROGRESS_COMPLETED);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against a negative time in the row being used for its age, which the
   smallest values would bring out of the range of an integer. */
static void
fleet__shares_of_negative_time_are_unreadable(void **state)
{
    fake_fleet *deployment = run_past_use(35);

    kill_with_row_in_flight(deployment);
    fake_fleet_run(deployment, 100 * CS_MS_US);
    /* Version 1, a negative time, no organisations, no zones. */
    fake_fleet_put_cell_row(deployment, "shares",
                            "\x94\x01\xd3\x80\x01\x01\x01\x01\x01\x01\x01"
                            "\x90\x90",
                            13);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), -1);
    assert_int_equal(
        fake_fleet_counter(deployment, (uint32_t)fake_fleet_holder(deployment),
                           "cs_rows_unreadable_total"),
        1);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against an organisation that a configuration has removed staying in
   the ledger, and against harm to its running tasks. */
static void
fleet__removed_organisation_is_dropped(void **state)
{
    fake_fleet *deployment = create_organisations(34, 2);

    submit_for(deployment, 1, 1, 96, 12 * 1000);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    assert_true(get_share(deployment, "t1") > 0.05);
    fake_fleet_set_organisations(deployment, 1);
    fake_fleet_configure(deployment, 3);
    fake_fleet_run(deployment, 2 * CS_SEC_US);
    assert_true(get_share(deployment, "t1") < 0);
    kill_with_row_in_flight(deployment);
    fake_fleet_run(deployment, 10 * CS_SEC_US);
    assert_true(get_share(deployment, "t1") < 0);
    expect_state(deployment, 1, CS_PROGRESS_COMPLETED);
    expect_no_violation(deployment);
    fake_fleet_destroy(deployment);
}

/* Guards against jobs that an older version has stored becoming unreadable,
   and against losing the zone when a job is stored again as cancelled. */
static void
fleet__job_record_without_zone_is_read(void **state)
{
    GByteArray *bytes = g_byte_array_new();
    cs_job_spec copy;
    fake_job job;

    fake_job_init(&job, 1, 2, 4, 1, 1000);
    g_strlcpy(job.spec.entry_zone, "z", sizeof(job.spec.entry_zone));
    cs_job_spec_encode(bytes, &job.spec);
    assert_int_equal(cs_job_spec_decode(&copy, bytes->data, bytes->len), 0);
    assert_string_equal(copy.entry_zone, "z");
    cs_job_spec_dispose(&copy);
    /* Cuts off the last four of the 15 items. */
    assert_int_equal(bytes->data[0], 0x9f);
    bytes->data[0] = 0x9b;
    g_byte_array_set_size(bytes, bytes->len - 7);
    assert_int_equal(cs_job_spec_decode(&copy, bytes->data, bytes->len), 0);
    assert_string_equal(copy.entry_zone, "");
    cs_job_spec_dispose(&copy);
    cs_job_spec_dispose(&job.spec);
    g_byte_array_free(bytes, TRUE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(fleet__job_is_completed),
        cmocka_unit_test(fleet__job_larger_than_a_row_is_completed),
        cmocka_unit_test(fleet__tasks_beyond_the_memory_wait_for_room),
        cmocka_unit_test(fleet__successor_adopts_a_job_of_many_rows),
        cmocka_unit_test(fleet__ends_beyond_an_answer_are_not_taken_for_lost),
        cmocka_unit_test(fleet__single_row_of_a_former_build_is_split),
        cmocka_unit_test(fleet__progress_rows_without_a_job_are_removed),
        cmocka_unit_test(fleet__gang_of_many_rows_starts_as_a_whole),
        cmocka_unit_test(fleet__successor_adopts_running_tasks),
        cmocka_unit_test(fleet__cold_start_adopts_tasks_before_leases_end),
        cmocka_unit_test(fleet__silent_worker_gets_no_tasks),
        cmocka_unit_test(fleet__success_seen_late_completes_the_task),
        cmocka_unit_test(fleet__tasks_of_a_cut_zone_run_once),
        cmocka_unit_test(
            fleet__former_holder_is_waited_for_until_its_vm_restarts),
        cmocka_unit_test(fleet__frozen_holder_starts_nothing_late),
        cmocka_unit_test(fleet__odd_entries_of_workers_harm_nothing),
        cmocka_unit_test(fleet__labels_beyond_64_do_not_match),
        cmocka_unit_test(fleet__task_is_retried_on_its_only_worker),
        cmocka_unit_test(fleet__only_worker_is_not_quarantined_for_long),
        cmocka_unit_test(fleet__gang_restarts_when_a_draining_worker_has_left),
        cmocka_unit_test(
            fleet__gang_waits_for_the_leases_of_a_silent_draining_worker),
        cmocka_unit_test(
            fleet__new_configuration_is_applied_after_the_relaying_peer_is_lost),
        cmocka_unit_test(
            fleet__new_configuration_is_applied_after_a_silent_store),
        cmocka_unit_test(fleet__data_rack_without_workers_is_not_waited_for),
        cmocka_unit_test(fleet__gang_waits_for_a_rack_after_a_takeover),
        cmocka_unit_test(fleet__advised_step_runs_on_allowed_workers),
        cmocka_unit_test(fleet__advised_gang_may_span_racks),
        cmocka_unit_test(fleet__advice_is_requested_again_after_a_crash),
        cmocka_unit_test(fleet__successor_restores_speeds),
        cmocka_unit_test(fleet__removed_worker_is_unlisted_by_a_paged_read),
        cmocka_unit_test(fleet__heartbeats_to_idle_workers_are_limited),
        cmocka_unit_test(fleet__waiting_counts_survive_a_takeover),
        cmocka_unit_test(fleet__waiting_counts_of_many_queues_fit_into_a_row),
        cmocka_unit_test(fleet__expired_jobs_are_removed),
        cmocka_unit_test(fleet__guaranteed_job_preempts_long_work),
        cmocka_unit_test(fleet__idle_capacity_is_used_outside_the_data_rack),
        cmocka_unit_test(fleet__idle_capacity_is_used_across_racks),
        cmocka_unit_test(fleet__job_cancelled_before_it_is_read),
        cmocka_unit_test(fleet__refused_vm_is_relayed_through_a_peer),
        cmocka_unit_test(fleet__refused_holder_hands_over),
        cmocka_unit_test(fleet__holder_stays_while_the_store_is_unavailable),
        cmocka_unit_test(fleet__progress_of_many_jobs_is_split_over_changes),
        cmocka_unit_test(
            fleet__small_organisation_does_not_wait_for_a_large_one),
        cmocka_unit_test(fleet__successor_restores_shares),
        cmocka_unit_test(fleet__unreadable_shares_start_from_adopted_tasks),
        cmocka_unit_test(fleet__shares_of_negative_time_are_unreadable),
        cmocka_unit_test(fleet__removed_organisation_is_dropped),
        cmocka_unit_test(fleet__job_record_without_zone_is_read),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    else
        cs_log_init("test");
    return cmocka_run_group_tests(tests, NULL, NULL);
}
