/**
 * @file file_watch.h
 * Detects by polling that a file was replaced or written.
 */
#ifndef CS_FILE_WATCH_H
#define CS_FILE_WATCH_H

#include <stdbool.h>
#include <stdint.h>

typedef struct cs_file_watch cs_file_watch;

/**
 * Starts to watch a file for changes to its present state. The file may be
 * missing; the path is copied. Free the watch with cs_file_watch_destroy.
 */
cs_file_watch *cs_file_watch_create(const char *path);

/** Frees the watch; NULL is allowed. */
void cs_file_watch_destroy(cs_file_watch *watch);

/**
 * Checks the file, at most once a second; other calls return false.
 * @param now_us boot clock
 * @return whether the file has changed since the last change that was
 *         reported, or since the watch began; a file that is missing at
 *         present does not count as changed
 */
bool cs_file_watch_changed(cs_file_watch *watch, int64_t now_us);

/** @return the path, owned by the watch */
const char *cs_file_watch_path(const cs_file_watch *watch);

#endif
