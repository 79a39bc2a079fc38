#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>

#include "corianderstair/log.h"
#include "fake_world.h"

/* Declare, submit, reclaim, cancel: what a watch from the start shows. After
   an intended change: CS_GOLDEN_WRITE=1 test_session, and read the diff. */
static void
session__is_the_golden_one(void **state)
{
    const char *path = CS_TEST_DATA "/session.golden";
    world_options o = {.seed = 1, .trace = g_string_new(NULL)};
    gchar *golden = NULL;

    world_play(&o);
    if (g_getenv("CS_GOLDEN_WRITE"))
        assert_true(g_file_set_contents(path, o.trace->str, -1, NULL));
    assert_true(g_file_get_contents(path, &golden, NULL, NULL));
    assert_string_equal(o.trace->str, golden);
    g_free(golden);
    g_string_free(o.trace, TRUE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(session__is_the_golden_one),
    };

    cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
