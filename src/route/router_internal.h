/* Shared by the files of the router; not part of the interface. */
#ifndef CS_ROUTER_INTERNAL_H
#define CS_ROUTER_INTERNAL_H

#include <glib.h>
#include "corianderstair/random.h"
#include "corianderstair/router.h"

#define TRIES_MAX 6
#define TRY_MIN_US CS_SEC_US
#define RECENT_US (60 * CS_SEC_US)
#define RECENT_MAX 20000
#define RECENT_BODY_MAX 65536

struct endpoint {
    char name[CS_NAME_BYTES];
    char service[CS_NAME_BYTES];
    char zone[CS_NAME_BYTES];
    char address[CS_ADDRESS_BYTES];
    uint32_t slots;
    bool leaving;
    bool present;
    uint32_t in_flight;
    double latency_us; /* moving mean */
    uint32_t failures; /* in a row */
    int64_t aside_until_us;
    int64_t busy_until_us; /* it refused for want of a slot */
};

typedef enum {
    REQUEST_INTENT, /* its id is being written */
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
    uint64_t intent_version; /* row version of its id; 0 not written */
    GString *body;
    int64_t deadline_us;
    int64_t sent_us;
    struct endpoint *endpoint;
    uint32_t tries;
    cs_run run; /* the most that may have happened so far */
    cs_router_done done;
    void *data;
    GPtrArray *followers; /* of struct follower: the same id again */
};

struct follower {
    cs_router_done done;
    void *data;
};

/* Waiting requests of a service, organisations in turn. */
struct service_queue {
    char service[CS_NAME_BYTES];
    GQueue turns;       /* of struct organisation_queue with requests */
    GHashTable *queues; /* by organisation */
    uint32_t length;
};

struct organisation_queue {
    GQueue requests;
    bool in_turn;
};

struct cs_router {
    cs_board *board;
    cs_outbox *outbox;
    cs_http_client *client;
    cs_counters *counters;
    char zone[CS_NAME_BYTES];
    char incarnation[32];
    cs_random random;
    uint64_t config_version; /* that the endpoints are from */
    bool draining;
    uint32_t processes;
    uint32_t rank;
    GPtrArray *endpoints;
    GHashTable *queues; /* of struct service_queue, by service */
    GHashTable *open;   /* of struct request, by service/id */
    GHashTable *recent; /* of struct recent, by service/id */
    GQueue recent_ages;
    GPtrArray *intents; /* requests whose ids are to be written */
    bool intent_busy;
    uint64_t next_txn;
    double retry_budget;
    int64_t *retries;
    int64_t *crossed;
    int64_t *duplicates;
    int64_t *refused;
    int64_t *aside;
    int64_t *intent_writes;
};

int64_t router_now_us(const cs_router *router);
void router_key(char *out, const char *service, const char *id);
void router_finish(struct request *request, int code, int status, cs_run run,
                   const char *body, size_t size);
struct service_queue *router_find_queue(cs_router *router,
                                        const char *service);
struct organisation_queue *router_find_turn(struct service_queue *queue,
                                            const char *organisation);
void router_enqueue(struct request *request);
void router_pump(cs_router *router);
void router_refresh(cs_router *router);

/* endpoint.c */
void endpoint_rebuild(cs_router *router);
/* Whether any endpoint of the service takes work, now or when a slot is
   free. */
bool endpoint_any(cs_router *router, const char *service);
struct endpoint *endpoint_pick(cs_router *router, const char *service);
void endpoint_succeeded(struct endpoint *e, int64_t latency_us);
void endpoint_failed(cs_router *router, struct endpoint *e);

/* intent.c */
void intent_add(struct request *request);
/* Takes the id back after a request that surely did not run. */
void intent_release(const struct request *request);
void intent_tick(cs_router *router);

/* recent.c */
bool recent_answer(cs_router *router, const char *service, const char *id,
                   cs_router_done done, void *data);
void recent_keep(cs_router *router, const struct request *request,
                 const cs_router_answer *answer);
void recent_tick(cs_router *router);
void recent_free(gpointer data);

#endif
