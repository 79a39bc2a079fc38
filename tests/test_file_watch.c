#include "corianderstair/clock.h"
#include "corianderstair/file_watch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <cmocka.h>

static char *
temporary_file(const char *text)
{
    char *path = NULL;
    int file = g_file_open_tmp("cs-watch-XXXXXX", &path, NULL);

    assert_true(file >= 0);
    g_close(file, NULL);
    assert_true(g_file_set_contents(path, text, -1, NULL));
    return path;
}

static void
file_watch__each_change_is_reported_once(void **state)
{
    char *path = temporary_file("a");
    cs_file_watch *watch = cs_file_watch_create(path);

    assert_string_equal(cs_file_watch_path(watch), path);
    assert_false(cs_file_watch_changed(watch, CS_SEC_US));
    assert_true(g_file_set_contents(path, "bb", -1, NULL));
    /* The file is not checked again within the same second. */
    assert_false(cs_file_watch_changed(watch, CS_SEC_US + 1));
    assert_true(cs_file_watch_changed(watch, 2 * CS_SEC_US));
    assert_false(cs_file_watch_changed(watch, 3 * CS_SEC_US));
    cs_file_watch_destroy(watch);
    g_unlink(path);
    g_free(path);
}

static void
file_watch__file_created_later_is_reported(void **state)
{
    char *path = temporary_file("a");
    cs_file_watch *watch;

    g_unlink(path);
    watch = cs_file_watch_create(path);
    assert_false(cs_file_watch_changed(watch, CS_SEC_US));
    assert_true(g_file_set_contents(path, "a", -1, NULL));
    assert_true(cs_file_watch_changed(watch, 2 * CS_SEC_US));
    g_unlink(path);
    assert_false(cs_file_watch_changed(watch, 3 * CS_SEC_US));
    cs_file_watch_destroy(watch);
    cs_file_watch_destroy(NULL);
    g_free(path);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(file_watch__each_change_is_reported_once),
        cmocka_unit_test(file_watch__file_created_later_is_reported),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
