#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>

#include "corianderstair/log.h"
#include "fake_zone.h"

/* The audit trail of a session equals the golden file. The session declares a
   deployment, submits jobs, preempts some for a guaranteed one and cancels
   one. After an intended change run CS_GOLDEN_WRITE=1 test_session and review
   the diff of the file. */
static void
session__trace_equals_the_golden_file(void **state)
{
    const char *path = CS_TEST_DATA "/session.golden";
    fake_zone_options options = {.seed = 1, .trace = g_string_new(NULL)};
    gchar *golden = NULL;

    fake_zone_run(&options);
    if (g_getenv("CS_GOLDEN_WRITE"))
        assert_true(g_file_set_contents(path, options.trace->str, -1, NULL));
    assert_true(g_file_get_contents(path, &golden, NULL, NULL));
    assert_string_equal(options.trace->str, golden);
    g_free(golden);
    g_string_free(options.trace, TRUE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(session__trace_equals_the_golden_file),
    };

    cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
