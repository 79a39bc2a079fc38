/* Declarations shared by the files of the HTTP API. */
#ifndef CS_API_INTERNAL_H
#define CS_API_INTERNAL_H

#include <glib.h>
#include "corianderstair/api.h"

#define STORE_TIMEOUT_US (5 * CS_SEC_US)

struct cs_api {
    cs_process *process;
    cs_router *router;
    char name[CS_NAME_BYTES];
    char zone[CS_NAME_BYTES];
    GPtrArray *watches;           /* of struct watch */
    GHashTable *pending_explains; /* of struct pending_explain, by id */
    uint64_t next_explain_id;
    bool draining;
    int64_t *request_count;
    int64_t *error_count;
};

/* A path split at its slashes into "v1", kind, name and action. */
struct route {
    char parts[4][CS_NAME_BYTES];
    uint32_t count;
    cs_kind kind;
};

/* error.c */
/* Returns the HTTP status of an error code. */
int status_of_code(int code);
/* Replies with a JSON body and takes ownership of it. */
void reply_json(cs_http_request *request, int status, json_t *body);
/* Replies with an error body that says whether the request has run. */
void reply_error(cs_api *api, cs_http_request *request, int code, cs_run run,
                 const char *message);
/* Uses the message of the last error. The run is reported as unknown for
   CS_E_OUTCOME_UNKNOWN, else as not run. */
void reply_last_error(cs_api *api, cs_http_request *request, int code);

/* resources.c */
void resources_handle(cs_api *api, cs_http_request *request,
                      const struct route *route);
/* Returns a new reference to the row as API callers see it. */
json_t *resource_to_json(const cs_resource_row *row);

/* remote.c: jobs of zones that this process does not follow */
void remote_job_get(cs_api *api, cs_http_request *request, const char *name);

/* watch.c */
void watch_start(cs_api *api, cs_http_request *request, cs_kind kind);
/* Keeps quiet watches alive. */
void watch_tick(cs_api *api);
void watch_end_all(cs_api *api);

/* requests.c */
void requests_handle(cs_api *api, cs_http_request *request,
                     const char *service);

/* audit.c */
void audit_handle(cs_api *api, cs_http_request *request);

/* explain.c */
void explain_handle(cs_api *api, cs_http_request *request, const char *job);
/* Answers explanations whose deadline has passed from the store view. */
void explain_tick(cs_api *api);
void top_handle(cs_api *api, cs_http_request *request);

#endif
