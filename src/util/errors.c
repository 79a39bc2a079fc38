#include "corianderstair/errors.h"

#include <stdarg.h>
#include <stdio.h>

static _Thread_local char last_message[512];

int
cs_error_set(int code, const char *fmt, ...)
{
    va_list args;

    va_start(args, fmt);
    vsnprintf(last_message, sizeof(last_message), fmt, args);
    va_end(args);
    return code;
}

const char *
cs_error_last(void)
{
    return last_message;
}

static const struct {
    int code;
    const char *name;
} error_names[] = {
    {CS_OK, "ok"},
    {CS_E_INVALID, "invalid"},
    {CS_E_JSON, "json"},
    {CS_E_FIELD, "field"},
    {CS_E_TOO_LARGE, "too-large"},
    {CS_E_SETTING, "setting"},
    {CS_E_METHOD, "method"},
    {CS_E_NOT_FOUND, "not-found"},
    {CS_E_CONFLICT, "conflict"},
    {CS_E_EXISTS, "exists"},
    {CS_E_TOO_OLD, "too-old"},
    {CS_E_IN_USE, "in-use"},
    {CS_E_CANCELLED, "cancelled"},
    {CS_E_GUARANTEE, "guarantee"},
    {CS_E_NEVER_RUNNABLE, "never-runnable"},
    {CS_E_NO_SPACE, "no-space"},
    {CS_E_STORE_UNAVAILABLE, "store-unavailable"},
    {CS_E_OUTCOME_UNKNOWN, "outcome-unknown"},
    {CS_E_FENCED, "fenced"},
    {CS_E_NOT_HOLDER, "not-holder"},
    {CS_E_TIMEOUT, "timeout"},
    {CS_E_CONNECT, "connect"},
    {CS_E_CUT, "cut"},
    {CS_E_OVERLOAD, "overload"},
    {CS_E_NO_ENDPOINT, "no-endpoint"},
    {CS_E_DRAINING, "draining"},
    {CS_E_DUPLICATE, "duplicate"},
    {CS_E_ENDPOINT, "endpoint"},
    {CS_E_WORKER, "worker"},
    {CS_E_EXPIRED, "expired"},
    {CS_E_SYSTEM, "system"},
};

const char *
cs_error_name(int code)
{
    size_t i;

    for (i = 0; i < sizeof(error_names) / sizeof(error_names[0]); i++) {
        if (error_names[i].code == code)
            return error_names[i].name;
    }
    return "unnamed";
}
