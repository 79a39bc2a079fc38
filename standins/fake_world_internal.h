/* Shared by the files of the world. */
#ifndef FAKE_WORLD_INTERNAL_H
#define FAKE_WORLD_INTERNAL_H

#include <glib.h>
#include "corianderstair/journal.h"
#include "corianderstair/random.h"
#include "corianderstair/scheduler.h"
#include "fake_table.h"
#include "fake_world.h"
#include "fake_worker.h"

#define WORLD_ZONE "zone"
#define WORLD_NODES 3 /* two schedulers and an entry process */
#define WORLD_ENTRY 2
#define WORLD_WORKERS 5
#define WORLD_CELL_LEASE_US (3 * CS_SEC_US)
#define WORLD_WORKER_LEASE_MS 3000
#define WORLD_GRACE_MS 1000
#define WORLD_PAUSE_US (8 * CS_SEC_US)
#define WORLD_REPLACE_US (2 * CS_SEC_US)
#define WORLD_OUTAGE_US (10 * CS_SEC_US)
#define WORLD_END_US (120 * CS_SEC_US)

struct node {
    struct world *world;
    uint32_t index;
    uint32_t run; /* grows with each replacement */
    bool alive;
    int64_t paused_until_us;
    int64_t replace_us;
    cs_outbox *outbox;
    cs_board *board;
    cs_counters *counters;
    cs_journal *journal;
    cs_scheduler *scheduler; /* NULL in the entry process */
    uint64_t highest[2];     /* versions seen: config, zone */
    bool went_back;
};

struct flight {
    cs_call *call;
    uint32_t node;
    uint32_t run;
    int64_t arrive_us; /* at the far side; INT64_MAX lost */
    int64_t return_us; /* of the answer; INT64_MAX lost */
    bool arrived;
    bool twice;
    world_fault fault;
    int status;
    json_t *reply;
};

/* What the entry process was told of a change. */
struct told {
    struct world *world;
    char name[64];
    bool answered;
    int code;
    uint64_t version;
    char scope[64];
};

struct world {
    world_options options;
    world_result result;
    cs_random random;
    cs_now now;
    fake_table *table;
    fake_worker *workers[WORLD_WORKERS];
    struct node nodes[WORLD_NODES];
    GPtrArray *flights;
    GPtrArray *told; /* of struct told */
    uint32_t calls;
    int64_t outage_until_us;
    uint32_t script_step;
    int64_t step_due_us;
    bool closing;
    int64_t claim_us; /* when the claim was submitted */
};

/* world_net: calls between the parts */
void world_carry(struct world *w);
void world_deliver(struct world *w);
/* Frees a call in flight. */
void world_discard(struct flight *f);
void world_kill(struct world *w, struct node *node);

/* world_check */
void world_check(struct world *w);
bool world_all_final(const struct world *w);

#endif
