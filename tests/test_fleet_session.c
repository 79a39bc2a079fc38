/*
 * Compares the log of a simulated deployment on a virtual clock with a golden
 * file. The session has jobs of each kind, a preemption, a cancellation, a new
 * configuration, a worker that crashes and one that is cut off, a holder that
 * is killed and one that is stopped.
 *
 * After an intended change of the log run CS_GOLDEN_WRITE=1
 * test_fleet_session, and review the diff of the golden file.
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
    fake_fleet *deployment;
    GString *text;
};

/* GLib allows one log writer for the lifetime of a process, so its target is
   a global. */
static struct trace *active_trace;

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
append_to_trace(GLogLevelFlags level, const GLogField *fields, gsize count,
                gpointer data)
{
    struct trace *trace = active_trace;
    int64_t ms = 0;

    if (!trace)
        return G_LOG_WRITER_HANDLED;
    if (trace->deployment)
        ms = fake_fleet_now_us(trace->deployment) / CS_MS_US;
    g_string_append_printf(trace->text, "%6" PRId64 " %s: %s\n", ms,
                           find_field(fields, count, "CS_EVENT"),
                           find_field(fields, count, "MESSAGE"));
    return G_LOG_WRITER_HANDLED;
}

static void
submit(fake_fleet *deployment, uint32_t number, uint32_t queue, uint32_t tasks,
       int64_t accelerators, int64_t run_ms, bool gang)
{
    fake_job job;

    fake_job_init(&job, number, queue, tasks, accelerators, run_ms);
    job.spec.steps[0].gang = gang;
    job.spec.steps[0].same_rack = gang;
    fake_fleet_submit(deployment, number % 4, &job, NULL);
    fake_fleet_run(deployment, 200 * CS_MS_US);
}

static void
submit_failing_job(fake_fleet *deployment, uint32_t number)
{
    fake_job job;

    fake_job_init(&job, number, 1, 1, 1, 500);
    job.always_fails = true;
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, 200 * CS_MS_US);
}

static void
run_jobs(fake_fleet *deployment)
{
    submit(deployment, 1, 0, 4, 2, 2000, true);
    submit(deployment, 2, 1, 8, 4, 3000, true);
    submit_failing_job(deployment, 3);
    submit(deployment, 4, 2, 64, 1, 20000, false);
    submit(deployment, 5, 0, 8, 8, 2000, true);
    fake_fleet_cancel(deployment, 2, "0000000000000004", NULL);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
}

static void
run_faults(fake_fleet *deployment)
{
    submit(deployment, 6, 1, 12, 8, 6000, false);
    fake_fleet_crash_worker(deployment, 3, CS_SEC_US);
    fake_fleet_configure(deployment, 5);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    fake_fleet_kill(deployment, (uint32_t)fake_fleet_holder(deployment),
                    CS_SEC_US);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    submit(deployment, 7, 2, 16, 8, 8000, false);
    fake_fleet_run(deployment, 5 * CS_SEC_US);
    fake_fleet_set_worker_disconnected(deployment, 5, true);
    fake_fleet_run(deployment, 9 * CS_SEC_US);
    fake_fleet_set_worker_disconnected(deployment, 5, false);
    fake_fleet_run(deployment, CS_SEC_US);
    fake_fleet_stop(deployment, (uint32_t)fake_fleet_holder(deployment));
    fake_fleet_run(deployment, 15 * CS_SEC_US);
}

static char *
run_session(void)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 16, .racks = 2, .seed = 21};
    struct trace trace = {.text = g_string_new(NULL)};

    active_trace = &trace;
    trace.deployment = fake_fleet_create(&settings);
    fake_fleet_run(trace.deployment, 2 * CS_SEC_US);
    run_jobs(trace.deployment);
    run_faults(trace.deployment);
    if (fake_fleet_violation(trace.deployment))
        fail_msg("%s", fake_fleet_violation(trace.deployment));
    assert_true(fake_fleet_is_idle(trace.deployment));
    fake_fleet_destroy(trace.deployment);
    trace.deployment = NULL;
    active_trace = NULL;
    return g_string_free(trace.text, FALSE);
}

static void
fleet_session__matches_the_golden_file(void **state)
{
    const char *path = CS_TEST_DATA "/fleet_session.golden";
    char *trace = run_session();
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
        cmocka_unit_test(fleet_session__matches_the_golden_file),
    };

    g_log_set_writer_func(append_to_trace, NULL, NULL);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
