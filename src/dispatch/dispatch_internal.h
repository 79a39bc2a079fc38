/* Shared by the files of this folder; not part of the interface. */
#ifndef CS_DISPATCH_INTERNAL_H
#define CS_DISPATCH_INTERNAL_H

#include "corianderstair/dispatch.h"
#include "corianderstair/dispatch_batch.h"

#define LINK_ADDRESS_BYTES 48

/* A VM that carries out orders. */
struct executor {
    char address[LINK_ADDRESS_BYTES];
    char zone[64];
    int64_t cpu_milli;
    cs_dispatch_writer orders;
    bool up;
    bool leaving;            /* gets no new orders, but answers open ones */
    uint32_t routes;         /* workers that are called through it */
    uint64_t sent_serial;    /* of the newest message to it */
    uint64_t asked_serial;   /* whose echo is waited for; 0 none */
    int64_t asked_us;        /* boot clock */
    int64_t sent_us;         /* boot clock of the newest message */
    int64_t clock_offset_us; /* its boot clock less ours, at most */
    int64_t retry_us;        /* boot clock; left alone before */
};

/* The way to a worker. */
struct route {
    struct executor *executor; /* NULL for none yet */
    uint32_t failures;         /* calls without an answer, in a row */
};

struct cs_dispatch {
    cs_dispatch_settings settings;
    cs_worker_port port;
    GPtrArray *executors; /* of struct executor */
    GHashTable *routes;   /* worker address to struct route */
    GHashTable *calls;    /* number to struct open_call */
    uint64_t next_number;
    int64_t next_sweep_us;
    int64_t next_fill_us;
    bool holding;
    uint32_t workers; /* of the cell */
    int64_t *relayed;
    int64_t *lost;
    int64_t *downs;
};

/* executors.c */
void executor_free(gpointer data);
/* Opens executors near the workers, as many as their number asks for. */
void executors_fill(cs_dispatch *dispatch, int64_t now_us);
/* Sends what has gathered, or a question to one that was left in peace. */
void executors_flush(cs_dispatch *dispatch, int64_t now_us);
/* Notes those that do not answer. */
void executors_watch(cs_dispatch *dispatch, int64_t now_us);
void executor_heard(cs_dispatch *dispatch, struct executor *executor,
                    const cs_dispatch_head *head, int64_t now_us);
/* The executor for a worker of a zone, other than the one to avoid if there
   is a choice; NULL where none is up. */
struct executor *executors_choose(cs_dispatch *dispatch, const char *zone,
                                  const struct executor *avoid);
struct executor *executors_find(const cs_dispatch *dispatch,
                                const char *address);
void executors_drop_all(cs_dispatch *dispatch);

/* dispatch.c */
/* Ends the open calls of an executor, or with NULL all. */
void calls_lost(cs_dispatch *dispatch, const struct executor *executor);
/* Takes the routes off an executor. */
void routes_leave(cs_dispatch *dispatch, const struct executor *executor);

#endif
