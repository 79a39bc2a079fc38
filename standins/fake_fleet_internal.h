/* Shared by the files of the fake deployment. */
#ifndef FAKE_FLEET_INTERNAL_H
#define FAKE_FLEET_INTERNAL_H

#include "fake_fleet.h"
#include "corianderstair/dispatch.h"
#include "corianderstair/errors.h"
#include "corianderstair/executor.h"
#include "corianderstair/job_progress.h"

#include <string.h>

#define FAKE_HOP_US (500)
#define FAKE_LEASE_MS 6000
#define FAKE_STOP_US (300 * CS_MS_US)
#define FAKE_GANG_US (3000 * CS_MS_US)
#define FAKE_WALL_US (INT64_C(1700000000) * CS_SEC_US)
#define FAKE_ATTEMPTS 3
#define FAKE_TICKET_MS 3000
/* The queue whose starts need a ticket. */
#define FAKE_ADVISED_QUEUE "q3"

typedef void (*fake_event)(void *data);

struct fake_row {
    char *table;
    char *part;
    char *key;
    GByteArray *value;
    uint64_t version;
    bool deleted;
};

struct fake_store {
    GHashTable *rows;   /* "table part key" to struct fake_row */
    GPtrArray *history; /* of struct fake_row, copies by version */
    uint64_t version;
    uint64_t kept_after; /* history up to this version is gone */
    GPtrArray *waiters;
};

struct fake_run {
    char task[64];
    uint32_t run;
    char job[CS_JOB_ID_BYTES];
    uint32_t step;
    uint64_t epoch;
    int64_t started_us;
    int64_t working_us; /* 0 waits for its gang */
    int64_t end_us;
    int64_t stop_us; /* 0 not being stopped */
};

struct fake_end {
    uint64_t number;
    char task[64];
    uint32_t run;
    cs_run_end how;
};

struct fake_worker_state {
    fake_fleet *world;
    uint32_t number;
    char id[32];
    char address[32];
    uint64_t born_ms;
    int64_t born_us;
    uint64_t fence;
    uint64_t next_end;
    int64_t until_us;
    bool up;
    bool cut;
    bool spoilt;
    double speed;
    uint64_t beat;
    GPtrArray *runs;    /* of struct fake_run */
    GArray *ends;       /* of struct fake_end */
    GHashTable *dead;   /* task to highest run ended or stopped */
    GPtrArray *waiters; /* of struct fake_look */
    int64_t last_extended_us;
};

/* How a VM's calls reach the store: by itself, or passed on by a peer. */
struct fake_way {
    struct fake_vm *vm;
    struct fake_vm *via;
    cs_store_port port;
};

struct fake_vm {
    fake_fleet *world;
    uint32_t number;
    char name[16];
    bool up;
    int64_t frozen_until_us;
    int64_t stopped_us; /* asked to stop; 0 not */
    fake_vm_faults faults;
    struct fake_way ways[FAKE_VMS_MAX]; /* by the peer; own is direct */
    cs_worker_port workers;
    cs_adviser_port adviser;
    uint32_t most_open;
    cs_peer_link_port link;
    uint64_t life; /* rises with each start of the process */
    int64_t cpu_milli;
    int64_t busy_until_us;
    cs_executor *executor;
    cs_dispatch *dispatch;
    GHashTable *open; /* calls without an answer to struct fake_open */
    cs_counters *counters;
    cs_store_router *router;
    cs_members *members;
    cs_fleet_board board;
    cs_config_follower *follower;
    cs_entry *entry;
    cs_fleet *fleet;
};

/* What is known of a job from its submission. */
struct fake_known {
    fake_job job;
    GHashTable *done;     /* task to its run that ended done */
    GHashTable *voided;   /* tasks whose end was lost before it was noted */
    GHashTable *failures; /* task, or step of a gang, to failed runs */
    uint32_t starts;
    bool accepted;
    bool cancelled;
};

struct fake_fleet {
    int64_t now_us;
    uint64_t serial;
    GSequence *events;
    GRand *random;
    struct fake_store store;
    struct fake_vm vms[FAKE_VMS_MAX];
    uint32_t vm_count;
    struct fake_worker_state workers[FAKE_WORKERS_MAX];
    uint32_t worker_count;
    uint32_t rack_count;
    fake_removal removed;
    uint32_t direct_max;
    int64_t call_us;
    int64_t message_us;
    bool ended;         /* what is on its way is only freed */
    uint64_t calls;     /* to the store and to workers */
    uint32_t questions; /* that the adviser has not answered */
    GHashTable *jobs;   /* id to struct fake_known */
    char *violation;
};

/* A call without an answer. */
struct fake_open {
    fake_event abort;
    uint64_t serial;
};

/* fake_fleet.c */
cs_now fake_vm_now(void *data); /* of a struct fake_vm */
/* Notes a call of a VM, which ends with its process. */
void fake_open_add(struct fake_vm *vm, void *call, fake_event abort_call);
void fake_at(fake_fleet *world, int64_t us, fake_event event, void *data);
void fake_violate(fake_fleet *world, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
bool fake_chance(fake_fleet *world, double share);

/* fake_fleet_store.c */
void fake_store_init(fake_fleet *world);
void fake_store_dispose(fake_fleet *world);
void fake_store_port(struct fake_vm *vm);
void fake_store_put(fake_fleet *world, const char *table, const char *part,
                    const char *key, const void *value, size_t size);
void fake_store_remove(fake_fleet *world, const char *table, const char *part,
                       const char *key);
const struct fake_row *fake_store_get(const fake_fleet *world,
                                      const char *table, const char *part,
                                      const char *key);

/* fake_fleet_worker.c */
void fake_worker_init(fake_fleet *world, uint32_t number);
void fake_worker_dispose(struct fake_worker_state *worker);
void fake_worker_port(struct fake_vm *vm);
void fake_worker_step(struct fake_worker_state *worker);
void fake_worker_beat(struct fake_worker_state *worker);
void fake_worker_crash(struct fake_worker_state *worker);
void fake_worker_reset(struct fake_worker_state *worker);

/* fake_fleet_link.c */
void fake_link_address(char *out, size_t size, uint32_t vm);
/* Makes a VM work. Returns when it will be done. */
int64_t fake_charge(struct fake_vm *vm, int64_t cost_us);
void fake_link_start(struct fake_vm *vm, uint32_t direct_max);
void fake_link_end(struct fake_vm *vm);
void fake_link_dispose(struct fake_vm *vm);
void fake_link_tick(struct fake_vm *vm);

/* fake_fleet_adviser.c */
void fake_adviser_port(struct fake_vm *vm);
bool fake_adviser_lets_in(const struct fake_worker_state *worker,
                          const char *step);
bool fake_adviser_accepts(const struct fake_worker_state *worker,
                          const char *step, const char *ticket);

/* fake_fleet_check.c */
void fake_check_start(fake_fleet *world, struct fake_worker_state *worker,
                      const struct fake_run *run);
void fake_check_end(fake_fleet *world, struct fake_worker_state *worker,
                    const struct fake_run *run, cs_run_end how);
/* A job that was submitted to another process. */
void fake_check_job(fake_fleet *world, const GByteArray *value);
void fake_check_progress(fake_fleet *world, const char *id,
                         const GByteArray *value);
struct fake_known *fake_known_add(fake_fleet *world, const fake_job *job);
struct fake_known *fake_known(fake_fleet *world, const char *id);

#endif
