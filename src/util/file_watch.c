#include "corianderstair/file_watch.h"
#include "corianderstair/clock.h"

#include <glib.h>
#include <sys/stat.h>

#define CHECK_INTERVAL_US CS_SEC_US

struct cs_file_watch {
    char *path;
    struct stat last_stat; /* at the start, or when last reported as changed */
    int64_t next_check_us; /* boot clock */
};

static bool
is_same_version(const struct stat *a, const struct stat *b)
{
    return a->st_ino == b->st_ino && a->st_size == b->st_size &&
           a->st_mtim.tv_sec == b->st_mtim.tv_sec &&
           a->st_mtim.tv_nsec == b->st_mtim.tv_nsec;
}

cs_file_watch *
cs_file_watch_create(const char *path)
{
    cs_file_watch *watch = g_new0(cs_file_watch, 1);

    watch->path = g_strdup(path);
    /* A missing file has the size -1, so that a file created later differs. */
    if (stat(path, &watch->last_stat) != 0)
        watch->last_stat.st_size = -1;
    return watch;
}

void
cs_file_watch_destroy(cs_file_watch *watch)
{
    if (!watch)
        return;
    g_free(watch->path);
    g_free(watch);
}

bool
cs_file_watch_changed(cs_file_watch *watch, int64_t now_us)
{
    struct stat current;

    if (now_us < watch->next_check_us)
        return false;
    watch->next_check_us = now_us + CHECK_INTERVAL_US;
    if (stat(watch->path, &current) != 0 ||
        is_same_version(&current, &watch->last_stat))
        return false;
    watch->last_stat = current;
    return true;
}

const char *
cs_file_watch_path(const cs_file_watch *watch)
{
    return watch->path;
}
