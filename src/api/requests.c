/* Passes callers' requests to services on to the router. */
#include "api_internal.h"
#include "corianderstair/errors.h"

#include <stdlib.h>
#include <string.h>

#define DEADLINE_DEFAULT_US (10 * CS_SEC_US)
#define DEADLINE_MAX_US (60 * CS_SEC_US)

struct pending_reply {
    cs_api *api;
    cs_http_request *request;
};

static void
on_answer(void *user_data, const cs_router_answer *answer)
{
    struct pending_reply *reply = user_data;

    if (answer->code == 0)
        cs_http_reply(reply->request, 200, "application/json", answer->body,
                      answer->size_bytes);
    else
        reply_error(reply->api, reply->request, answer->code, answer->run,
                    answer->body);
    g_free(reply);
}

/* Converts the caller's deadline from the wall clock to the boot clock. */
static int
read_deadline(int64_t *out, cs_http_request *request, cs_now now)
{
    char text[32];
    char *end;
    int64_t remaining_us = DEADLINE_DEFAULT_US;

    if (cs_http_request_query_argument(text, sizeof(text), request,
                                       "deadline_us") == 0) {
        remaining_us = strtoll(text, &end, 10) - now.wall_us;
        if (*end || end == text)
            return cs_error_set(CS_E_INVALID,
                                "'deadline_us' is not an integer");
    }
    *out = now.boot_us + MIN(remaining_us, DEADLINE_MAX_US);
    return 0;
}

static int
read_argument(char *out, size_t size, cs_http_request *request,
              const char *name)
{
    if (cs_http_request_query_argument(out, size, request, name))
        return cs_error_set(CS_E_FIELD, "argument '%s' is missing", name);
    return 0;
}

static int
submit(cs_api *api, cs_http_request *request, const char *service,
       struct pending_reply *reply)
{
    cs_now now = cs_outbox_now(cs_process_outbox(api->process));
    char id[96];
    char class_name[CS_NAME_BYTES];
    char organisation[CS_NAME_BYTES];
    cs_router_request params = {.service = service,
                                .id = id,
                                .class_name = class_name,
                                .organisation = organisation};
    int rc = read_argument(id, sizeof(id), request, "id");

    if (!rc)
        rc = read_argument(class_name, sizeof(class_name), request, "class");
    if (!rc)
        rc = read_argument(organisation, sizeof(organisation), request,
                           "organisation");
    if (!rc)
        rc = read_deadline(&params.deadline_us, request, now);
    if (rc)
        return rc;
    params.body = cs_http_request_body(request, &params.size_bytes);
    return cs_router_submit(api->router, &params, on_answer, reply);
}

void
requests_handle(cs_api *api, cs_http_request *request, const char *service)
{
    struct pending_reply *reply = g_new0(struct pending_reply, 1);
    int rc;

    reply->api = api;
    reply->request = request;
    rc = submit(api, request, service, reply);
    if (!rc)
        return;
    g_free(reply);
    reply_last_error(api, request, rc);
}
