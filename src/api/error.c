/* Sends replies. An error body has the number and name of the error, a
   message, and whether the request has run. */
#include "api_internal.h"
#include "corianderstair/errors.h"

#include <stdlib.h>
#include <string.h>

int
status_of_code(int code)
{
    switch (code) {
    case CS_OK:
        return 200;
    case CS_E_TOO_LARGE:
        return 413;
    case CS_E_METHOD:
        return 405;
    case CS_E_NOT_FOUND:
        return 404;
    case CS_E_CONFLICT:
        return 412;
    case CS_E_EXISTS:
    case CS_E_IN_USE:
    case CS_E_DUPLICATE:
        return 409;
    case CS_E_TOO_OLD:
        return 410;
    case CS_E_GUARANTEE:
    case CS_E_NEVER_RUNNABLE:
        return 422;
    case CS_E_OVERLOAD:
        return 429;
    case CS_E_OUTCOME_UNKNOWN:
    case CS_E_TIMEOUT:
        return 504;
    case CS_E_STORE_UNAVAILABLE:
    case CS_E_DRAINING:
    case CS_E_NO_ENDPOINT:
    case CS_E_CONNECT:
        return 503;
    case CS_E_SYSTEM:
        return 500;
    default:
        return 400;
    }
}

void
reply_json(cs_http_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT | JSON_PRESERVE_ORDER);
    GString *line = g_string_new(text);

    g_string_append_c(line, '\n');
    cs_http_reply(request, status, "application/json", line->str, line->len);
    g_string_free(line, TRUE);
    free(text);
    json_decref(body);
}

void
reply_error(cs_api *api, cs_http_request *request, int code, cs_run run,
            const char *message)
{
    (*api->error_count)++;
    reply_json(request, status_of_code(code),
               json_pack("{s:i,s:s,s:s,s:s}", "code", code, "name",
                         cs_error_name(code), "message", message, "run",
                         cs_run_name(run)));
}

void
reply_last_error(cs_api *api, cs_http_request *request, int code)
{
    reply_error(api, request, code,
                code == CS_E_OUTCOME_UNKNOWN ? CS_RUN_UNKNOWN : CS_RUN_NOT,
                cs_error_last());
}
