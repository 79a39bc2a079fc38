#include "corianderstair/log.h"
#include "corianderstair/clock.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static char process_name[64];

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
write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
           gpointer user_data)
{
    json_t *line;
    char *text;

    if (level & G_LOG_LEVEL_DEBUG)
        return G_LOG_WRITER_HANDLED;
    line = json_pack(
        "{s:I,s:s,s:s,s:s,s:s}", "time_us", (json_int_t)cs_clock_wall_us(),
        "level", level & G_LOG_LEVEL_WARNING ? "warning" : "info", "process",
        process_name, "event", find_field(fields, count, "CS_EVENT"), "detail",
        find_field(fields, count, "MESSAGE"));
    if (!line)
        return G_LOG_WRITER_UNHANDLED;
    text = json_dumps(line, JSON_COMPACT);
    fprintf(stderr, "%s\n", text);
    free(text);
    json_decref(line);
    return G_LOG_WRITER_HANDLED;
}

void
cs_log_init(const char *process)
{
    g_strlcpy(process_name, process, sizeof(process_name));
    g_log_set_writer_func(write_line, NULL, NULL);
}

static GLogWriterOutput
drop_line(GLogLevelFlags level, const GLogField *fields, gsize count,
          gpointer user_data)
{
    return G_LOG_WRITER_HANDLED;
}

void
cs_log_silence(void)
{
    g_log_set_writer_func(drop_line, NULL, NULL);
}

void
cs_log_event(const char *event, const char *fmt, ...)
{
    char detail[512];
    va_list args;

    va_start(args, fmt);
    vsnprintf(detail, sizeof(detail), fmt, args);
    va_end(args);
    g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_MESSAGE, "CS_EVENT", event,
                     "MESSAGE", "%s", detail);
}
