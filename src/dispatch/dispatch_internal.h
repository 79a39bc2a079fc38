/* Declarations shared by dispatch.c and executor_pool.c. */
#ifndef CS_DISPATCH_INTERNAL_H
#define CS_DISPATCH_INTERNAL_H

#include "corianderstair/dispatch.h"
#include "corianderstair/dispatch_batch.h"

#define MAX_LINK_ADDRESS_BYTES 48 /* including the terminator */

/* A VM that executes orders for this holder. */
struct remote_executor {
    char address[MAX_LINK_ADDRESS_BYTES]; /* of its peer link */
    char zone[64];
    int64_t cpu_milli; /* thousandths of a core; at least 1 */
    cs_batch_writer pending_orders;
    uint64_t session;          /* of its process, while it is up */
    bool up;                   /* has answered and not timed out since */
    bool draining;             /* answers open orders, accepts no new ones */
    uint32_t route_count;      /* workers that are called through it */
    uint64_t sent_sequence;    /* of the newest batch sent to it */
    uint64_t unacked_sequence; /* of a batch not acknowledged yet; 0 none */
    int64_t unacked_since_us;  /* boot clock */
    int64_t last_sent_us;      /* boot clock, of the newest batch */
    /* Its boot clock minus ours, estimated low by the transit time of its last
       batch: a deadline converted with it is never too late. */
    int64_t clock_offset_us;
    int64_t retry_at_us; /* boot clock; until then nothing is sent to it */
};

/* How a worker is reached. */
struct route {
    struct remote_executor *executor; /* NULL if none is assigned */
    uint32_t consecutive_failures;    /* calls that got no answer */
};

/* Executors, routes and calls exist only while the process holds the cell. */
struct cs_dispatch {
    cs_dispatch_settings settings;
    cs_worker_port port;
    GPtrArray *executors; /* of struct remote_executor */
    GHashTable *routes;   /* worker address -> struct route */
    GHashTable *calls;    /* order id -> struct open_call */
    uint64_t session;     /* of the present or the last tenure */
    uint64_t last_order_id;
    int64_t next_sweep_us;     /* boot clock */
    int64_t next_pool_grow_us; /* boot clock */
    bool is_holder;
    uint32_t worker_count;  /* workers of the cell */
    int64_t *relayed_total; /* calls through executors */
    int64_t *lost_total; /* of these, ended here with CS_E_OUTCOME_UNKNOWN */
    int64_t *executors_lost_total;
    int64_t *stale_total; /* batches for a former process or tenure */
};

/* executor_pool.c */
void remote_executor_free(gpointer data);
/* Adds executors in each zone until there are enough for the cell's workers.
   The strongest VMs come first. */
void executor_pool_grow(cs_dispatch *dispatch, int64_t now_us);
/* Sends the pending orders. An executor without any gets an empty batch as a
   keepalive, which it acknowledges. */
void executor_pool_flush(cs_dispatch *dispatch, int64_t now_us);
/* Marks executors down whose acknowledgement is overdue. */
void executor_pool_check_timeouts(cs_dispatch *dispatch, int64_t now_us);
/* Checks the sender of a batch of answers, and marks the executor down if its
   process was replaced. Returns whether the answers may be read. */
bool remote_executor_accepts(cs_dispatch *dispatch,
                             struct remote_executor *executor,
                             const cs_batch_header *header, int64_t now_us);
/* Processes the header of a batch of answers: acknowledgement, clock and
   draining flag. */
void remote_executor_update(cs_dispatch *dispatch,
                            struct remote_executor *executor,
                            const cs_batch_header *header, int64_t now_us);
/* Returns the least loaded executor: in the zone, or in any if the zone has
   none. Returns the one to avoid, or NULL, only if no other is up. */
struct remote_executor *
executor_pool_choose(cs_dispatch *dispatch, const char *zone,
                     const struct remote_executor *avoid);
/* Returns the executor with a link address, or NULL. */
struct remote_executor *executor_pool_find(const cs_dispatch *dispatch,
                                           const char *address);
/* Closes the connections to all executors and frees them. */
void executor_pool_clear(cs_dispatch *dispatch);

/* dispatch.c */
/* Fails the open calls of an executor, or of all if it is NULL, with
   CS_E_OUTCOME_UNKNOWN. */
void fail_open_calls(cs_dispatch *dispatch,
                     const struct remote_executor *executor);
/* Removes an executor from the routes that use it. */
void unassign_routes(cs_dispatch *dispatch,
                     const struct remote_executor *executor);

#endif
