/* Shared by the files of the interface; not part of it. */
#ifndef CS_API_INTERNAL_H
#define CS_API_INTERNAL_H

#include <glib.h>
#include "corianderstair/api.h"

#define WRITE_TIMEOUT_US (5 * CS_SEC_US)

struct cs_api {
    cs_process *process;
    cs_router *router;
    char name[CS_NAME_BYTES];
    char zone[CS_NAME_BYTES];
    GPtrArray *watches;    /* of struct watch */
    GHashTable *questions; /* of struct question, by id */
    uint64_t next_question;
    bool draining;
    int64_t *answers;
    int64_t *errors;
};

/* A path split at its slashes: "v1", kind, name, action. */
struct route {
    char parts[4][CS_NAME_BYTES];
    uint32_t count;
    cs_kind kind;
};

/* error.c */
int status_of_code(int code);
void reply_json(cs_http_request *request, int status, json_t *body);
void reply_error(cs_api *api, cs_http_request *request, int code, cs_run run,
                 const char *message);
/* With the thread's last message; nothing has run. */
void reply_last_error(cs_api *api, cs_http_request *request, int code);

/* resources.c */
void resources_handle(cs_api *api, cs_http_request *request,
                      const struct route *route);
json_t *resource_view(const cs_record *record);

/* remote.c: a job of a zone that is not followed here */
void remote_get_job(cs_api *api, cs_http_request *request, const char *name);

/* watch.c */
void watch_start(cs_api *api, cs_http_request *request, cs_kind kind);
void watch_tick(cs_api *api);
void watch_end_all(cs_api *api);

/* requests.c */
void requests_handle(cs_api *api, cs_http_request *request,
                     const char *service);

/* audit.c */
void audit_handle(cs_api *api, cs_http_request *request);

/* explain.c */
void explain_handle(cs_api *api, cs_http_request *request, const char *job);
void explain_tick(cs_api *api);
void top_handle(cs_api *api, cs_http_request *request);

#endif
