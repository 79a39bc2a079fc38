/**
 * @file log.h
 * Structured log of state changes, through GLib. Each line is a JSON object on
 * standard error with the members time_us, level, process, event and detail.
 */
#ifndef CS_LOG_H
#define CS_LOG_H

/**
 * Installs the log writer.
 * @param process name of this process in each line; copied
 */
void cs_log_init(const char *process);

/**
 * Drops every line from now on. For tools that run thousands of simulated
 * sessions.
 */
void cs_log_silence(void);

/**
 * Logs a state change.
 * @param event short stable name, such as "cell-taken"
 * @param fmt printf format of the detail text, which is truncated to 511
 *            bytes
 */
void cs_log_event(const char *event, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
