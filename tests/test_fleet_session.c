/*
 * A whole day of a deployment on a virtual clock, as its processes log it:
 * jobs of each kind, a claim that takes its room, a cancellation, a new
 * configuration, a worker that crashes, one that is cut off, a holder that is
 * killed and one that is stopped. After an intended change:
 * CS_GOLDEN_WRITE=1 test_fleet_session, and read the diff.
 */
#include "fake_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <inttypes.h>
#include <string.h>
#include <cmocka.h>

struct trace {
    fake_fleet *world;
    GString *text;
};

/* GLib takes one writer for the life of a process. */
static struct trace *writer_target;

static const char *
find_field(const GLogField *fields, gsize count, const char *key)
{
    gsize i;

    for (i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0)
            return fields[i].value;
    }
    return "";
}

static GLogWriterOutput
trace_line(GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer data)
{
    struct trace *trace = writer_target;
    int64_t ms = 0;

    if (!trace)
        return G_LOG_WRITER_HANDLED;
    if (trace->world)
        ms = fake_fleet_now_us(trace->world) / CS_MS_US;
    g_string_append_printf(trace->text, "%6" PRId64 " %s: %s\n", ms,
                           find_field(fields, count, "CS_EVENT"),
                           find_field(fields, count, "MESSAGE"));
    return G_LOG_WRITER_HANDLED;
}

static void
submit(fake_fleet *world, uint32_t number, uint32_t queue, uint32_t tasks,
       int64_t accelerators, int64_t run_ms, bool gang)
{
    fake_job job;

    fake_job_init(&job, number, queue, tasks, accelerators, run_ms);
    job.spec.steps[0].gang = gang;
    job.spec.steps[0].same_rack = gang;
    fake_fleet_submit(world, number % 4, &job, NULL);
    fake_fleet_run(world, 200 * CS_MS_US);
}

static void
submit_hopeless(fake_fleet *world, uint32_t number)
{
    fake_job job;

    fake_job_init(&job, number, 1, 1, 1, 500);
    job.hopeless = true;
    fake_fleet_submit(world, 0, &job, NULL);
    fake_fleet_run(world, 200 * CS_MS_US);
}

static void
play_jobs(fake_fleet *world)
{
    submit(world, 1, 0, 4, 2, 2000, true);
    submit(world, 2, 1, 8, 4, 3000, true);
    submit_hopeless(world, 3);
    submit(world, 4, 2, 64, 1, 20000, false);
    submit(world, 5, 0, 8, 8, 2000, true);
    fake_fleet_cancel(world, 2, "0000000000000004", NULL);
    fake_fleet_run(world, 5 * CS_SEC_US);
}

static void
play_faults(fake_fleet *world)
{
    submit(world, 6, 1, 12, 8, 6000, false);
    fake_fleet_crash_worker(world, 3, CS_SEC_US);
    fake_fleet_configure(world, 5);
    fake_fleet_run(world, 3 * CS_SEC_US);
    fake_fleet_kill(world, (uint32_t)fake_fleet_holder(world), CS_SEC_US);
    fake_fleet_run(world, 4 * CS_SEC_US);
    submit(world, 7, 2, 16, 8, 8000, false);
    fake_fleet_run(world, 5 * CS_SEC_US);
    fake_fleet_cut_worker(world, 5, true);
    fake_fleet_run(world, 9 * CS_SEC_US);
    fake_fleet_cut_worker(world, 5, false);
    fake_fleet_run(world, CS_SEC_US);
    fake_fleet_stop(world, (uint32_t)fake_fleet_holder(world));
    fake_fleet_run(world, 15 * CS_SEC_US);
}

static char *
play(void)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 16, .racks = 2, .seed = 21};
    struct trace trace = {.text = g_string_new(NULL)};

    writer_target = &trace;
    trace.world = fake_fleet_create(&settings);
    fake_fleet_run(trace.world, 2 * CS_SEC_US);
    play_jobs(trace.world);
    play_faults(trace.world);
    if (fake_fleet_violation(trace.world))
        fail_msg("%s", fake_fleet_violation(trace.world));
    assert_true(fake_fleet_is_quiet(trace.world));
    fake_fleet_destroy(trace.world);
    trace.world = NULL;
    writer_target = NULL;
    return g_string_free(trace.text, FALSE);
}

static void
fleet_session__is_the_golden_one(void **state)
{
    const char *path = CS_TEST_DATA "/fleet_session.golden";
    char *trace = play();
    char *golden = NULL;

    if (g_getenv("CS_GOLDEN_WRITE"))
        assert_true(g_file_set_contents(path, trace, -1, NULL));
    assert_true(g_file_get_contents(path, &golden, NULL, NULL));
    assert_string_equal(trace, golden);
    g_free(golden);
    g_free(trace);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(fleet_session__is_the_golden_one),
    };

    g_log_set_writer_func(trace_line, NULL, NULL);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
