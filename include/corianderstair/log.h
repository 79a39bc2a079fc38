/**
 * @file log.h
 * Structured log lines for changes of state, through GLib. Each line is one
 * JSON object on standard error: time, level, process, event and fields.
 */
#ifndef CS_LOG_H
#define CS_LOG_H

/** Names this process in each line and installs the writer. */
void cs_log_init(const char *process);

/** Drops every line from now on, for sessions that are played by thousands. */
void cs_log_silence(void);

/**
 * Writes one line for a change of state.
 * @param event short stable name, such as "cell-taken"
 * @param fmt printf format of the detail text
 */
void cs_log_event(const char *event, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
