/* Declarations shared by the files of the router. */
#ifndef CS_ROUTER_INTERNAL_H
#define CS_ROUTER_INTERNAL_H

#include <glib.h>
#include "corianderstair/random.h"
#include "corianderstair/router.h"

#define ATTEMPTS_MAX 6 /* per request */
#define ATTEMPT_TIMEOUT_MIN_US CS_SEC_US
#define ANSWER_CACHE_US (60 * CS_SEC_US)
#define ANSWER_CACHE_MAX 20000 /* answers */
#define ANSWER_CACHE_BODY_MAX_BYTES 65536

struct endpoint {
    char name[CS_NAME_BYTES];
    char service[CS_NAME_BYTES];
    char zone[CS_NAME_BYTES];
    char address[CS_ADDRESS_BYTES];
    uint32_t slots;
    bool leaving;
    bool configured; /* false: removed, freed when nothing is in flight */
    uint32_t in_flight;
    double mean_latency_us; /* exponential moving average */
    uint32_t consecutive_failures;
    int64_t quarantined_until_us;
    int64_t busy_until_us; /* refused a request, as it had no free slot */
};

typedef enum {
    REQUEST_INTENT, /* its intent row is being written */
    REQUEST_QUEUED,
    REQUEST_SENT
} request_state;

struct request {
    cs_router *router;
    request_state state;
    char service[CS_NAME_BYTES];
    char class_name[CS_NAME_BYTES];
    char organisation[CS_NAME_BYTES];
    char id[80];
    bool idempotent;
    uint64_t intent_version; /* version of its intent row; 0: not written */
    GString *body;
    int64_t deadline_us;
    int64_t sent_us;
    struct endpoint *endpoint;
    uint32_t attempts;
    cs_run run; /* whether any attempt may have run it */
    cs_router_done done;
    void *user_data;
    GPtrArray *waiters; /* of struct waiter */
};

/* A repeated call with the id of an open request; gets the same answer. */
struct waiter {
    cs_router_done done;
    void *user_data;
};

/* Queued requests of a service, served round-robin over organisations. */
struct service_queue {
    char service[CS_NAME_BYTES];
    GQueue rotation; /* of struct organisation_queue, those not empty */
    GHashTable *by_organisation; /* of struct organisation_queue, by name */
    uint32_t length;
};

/* Queued requests of one organisation to one service. */
struct organisation_queue {
    GQueue requests;
    bool in_rotation;
};

struct cs_router {
    cs_store_view *view;
    cs_outbox *outbox;
    cs_http_client *client;
    cs_counters *counters;
    char zone[CS_NAME_BYTES];
    char incarnation[32];
    cs_random random;
    uint64_t config_version; /* that the endpoints were built from */
    bool draining;
    uint32_t processes; /* entry processes that share the endpoints */
    uint32_t rank;      /* index of this process among them */
    GPtrArray *endpoints;
    GHashTable *queues;        /* of struct service_queue, by service */
    GHashTable *open_requests; /* of struct request, by service/id */
    GHashTable *answer_cache;  /* of struct cached_answer, by service/id */
    GQueue cached_by_age;      /* of struct cached_answer, oldest first */
    GPtrArray *intents;        /* of struct request; intent rows to write */
    bool intent_call_in_flight;
    uint64_t next_txn;
    double retry_budget; /* retries that may be sent */
    int64_t *retries;
    int64_t *mismatched_answers;
    int64_t *duplicates;
    int64_t *refused;
    int64_t *quarantines;
    int64_t *intent_writes;
};

/* Returns the boot clock as of the start of the current event. */
int64_t router_now_us(const cs_router *router);
/* Writes "service/id" to out, which holds 160 bytes. */
void router_request_key(char *out, const char *service, const char *id);
/* Answers a request and everyone who repeated it, and frees it. */
void router_finish(struct request *request, int code, int status, cs_run run,
                   const char *body, size_t size);
/* Both return the queue, created on first use. */
struct service_queue *router_service_queue(cs_router *router,
                                           const char *service);
struct organisation_queue *
router_organisation_queue(struct service_queue *queue,
                          const char *organisation);
void router_enqueue(struct request *request);
/* Sends queued requests while endpoints have free slots. */
void router_send_queued(cs_router *router);
/* Rebuilds the endpoints if the configuration has changed. */
void router_update_endpoints(cs_router *router);

/* endpoint.c */
void endpoint_rebuild(cs_router *router);
/* Whether any endpoint of the service is neither leaving nor quarantined, even
   if it has no free slot. */
bool endpoint_is_available(cs_router *router, const char *service);
struct endpoint *endpoint_choose(cs_router *router, const char *service);
void endpoint_succeeded(struct endpoint *endpoint, int64_t latency_us);
void endpoint_failed(cs_router *router, struct endpoint *endpoint);

/* intent.c */
/* Queues the request's intent row to be written before it is sent. */
void intent_add(struct request *request);
/* Deletes the intent row of a request that did not run. */
void intent_release(const struct request *request);
void intent_tick(cs_router *router);

/* answer_cache.c */
/* Answers from the cache. Returns false if the id is not cached. */
bool answer_cache_reply(cs_router *router, const char *service, const char *id,
                        cs_router_done done, void *user_data);
void answer_cache_add(cs_router *router, const struct request *request,
                      const cs_router_answer *answer);
void answer_cache_expire(cs_router *router);
void cached_answer_free(gpointer data);

#endif
