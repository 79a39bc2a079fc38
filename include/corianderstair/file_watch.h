/**
 * @file file_watch.h
 * Notices that a file was replaced or written, by looking now and then.
 */
#ifndef CS_FILE_WATCH_H
#define CS_FILE_WATCH_H

#include <stdbool.h>
#include <stdint.h>

typedef struct cs_file_watch cs_file_watch;

/** Watches a file from its present state on; the path is copied. */
cs_file_watch *cs_file_watch_create(const char *path);

/** Frees the watch; NULL is allowed. */
void cs_file_watch_destroy(cs_file_watch *watch);

/**
 * Looks at the file, at most once a second.
 * @param now_us boot clock
 * @return whether it differs from when it was last looked at; a file that is
 *         missing for a while does not
 */
bool cs_file_watch_changed(cs_file_watch *watch, int64_t now_us);

/** @return the path, owned by the watch */
const char *cs_file_watch_path(const cs_file_watch *watch);

#endif
