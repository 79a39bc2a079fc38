#include "corianderstair/file_watch.h"
#include "corianderstair/clock.h"

#include <glib.h>
#include <sys/stat.h>

#define LOOK_US CS_SEC_US

struct cs_file_watch {
    char *path;
    struct stat last;
    int64_t next_us;
};

static bool
is_same(const struct stat *a, const struct stat *b)
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
    /* A file that is missing differs from the one that comes. */
    if (stat(path, &watch->last) != 0)
        watch->last.st_size = -1;
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
    struct stat now;

    if (now_us < watch->next_us)
        return false;
    watch->next_us = now_us + LOOK_US;
    if (stat(watch->path, &now) != 0 || is_same(&now, &watch->last))
        return false;
    watch->last = now;
    return true;
}

const char *
cs_file_watch_path(const cs_file_watch *watch)
{
    return watch->path;
}
