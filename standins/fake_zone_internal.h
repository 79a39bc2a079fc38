/* Declarations shared by the source files of the simulated zone. */
#ifndef FAKE_ZONE_INTERNAL_H
#define FAKE_ZONE_INTERNAL_H

#include <glib.h>
#include "corianderstair/journal.h"
#include "corianderstair/random.h"
#include "corianderstair/scheduler.h"
#include "fake_table.h"
#include "fake_zone.h"
#include "fake_worker.h"

#define FAKE_ZONE_NAME "zone"
#define FAKE_ZONE_PROCESSES 3 /* two schedulers and an entry process */
#define FAKE_ZONE_ENTRY_PROCESS 2
#define FAKE_ZONE_WORKERS 5
#define FAKE_ZONE_CELL_LEASE_US (3 * CS_SEC_US)
#define FAKE_ZONE_WORKER_LEASE_MS 3000
#define FAKE_ZONE_GRACE_MS 1000
/* Duration of the pause faults; longer than the cell lease. */
#define FAKE_ZONE_PAUSE_US (8 * CS_SEC_US)
/* Time between the death of a process and its restart. */
#define FAKE_ZONE_RESTART_DELAY_US (2 * CS_SEC_US)
/* Duration of the store-down fault. */
#define FAKE_ZONE_OUTAGE_US (10 * CS_SEC_US)
/* A session that takes longer has failed. */
#define FAKE_ZONE_TIME_LIMIT_US (120 * CS_SEC_US)

/* A scheduler or the entry process. */
struct process {
    struct fake_zone *zone;
    uint32_t index;
    uint32_t incarnation; /* incremented at each start */
    bool alive;
    int64_t paused_until_us;
    int64_t restart_us;
    cs_outbox *outbox;
    cs_store_view *store_view;
    cs_counters *counters;
    cs_journal *journal;
    cs_scheduler *scheduler;  /* NULL in the entry process */
    uint64_t last_version[2]; /* of the scopes config and zone */
    bool version_decreased;
};

/* A call in flight: sent by a process and not finished. */
struct flight {
    cs_call *call;
    uint32_t process;
    uint32_t incarnation; /* of the process when it sent the call */
    int64_t arrive_us;    /* at the receiver; INT64_MAX if it is lost */
    int64_t return_us;    /* of the reply; INT64_MAX if it is lost */
    bool arrived;
    bool duplicated;
    fake_zone_fault fault;
    int status;
    json_t *reply;
};

/* A change that the operator submitted, and the reply. */
struct submission {
    struct fake_zone *zone;
    char name[64];
    bool answered;
    int code;
    uint64_t version;
    char scope[64];
};

struct fake_zone {
    fake_zone_options options;
    fake_zone_result result;
    cs_random random;
    cs_now now;
    fake_table *table;
    fake_worker *workers[FAKE_ZONE_WORKERS];
    struct process processes[FAKE_ZONE_PROCESSES];
    GPtrArray *flights;     /* of struct flight */
    GPtrArray *submissions; /* of struct submission */
    uint32_t call_count;
    int64_t outage_until_us;
    uint32_t next_action; /* index in the script */
    int64_t action_due_us;
    bool closing;
    int64_t claim_submitted_us;
};

/* fake_zone_net.c: calls between processes, table and workers */

/* Takes the new calls of all processes and plans their delivery. */
void fake_zone_send_calls(struct fake_zone *zone);
/* Delivers the calls and replies that are due. */
void fake_zone_deliver_calls(struct fake_zone *zone);
/* Frees a call in flight without finishing it. */
void fake_zone_discard_flight(struct flight *flight);

/* fake_zone.c */
void fake_zone_kill_process(struct fake_zone *zone, struct process *process);

/* fake_zone_check.c */

/* Checks all invariants at the end of a session. */
void fake_zone_check(struct fake_zone *zone);
/* Returns whether the last change was accepted and every job has ended. */
bool fake_zone_all_jobs_final(const struct fake_zone *zone);

#endif
