/*
 * Deletes ended jobs whose retention time has passed. Their change records
 * stay in the store.
 */
#include "scheduler_internal.h"

#include <string.h>

#define SWEEP_INTERVAL_US (5 * CS_SEC_US)
#define DELETE_DEADLINE_US (60 * CS_SEC_US)

struct sweep {
    cs_scheduler *scheduler;
    GPtrArray *names;
};

static void
collect_expired(void *user_data, const cs_resource_row *row)
{
    struct sweep *sweep = user_data;
    const cs_scheduler *scheduler = sweep->scheduler;
    int64_t age_us = sched_now(scheduler).wall_us - row->job.ended_us;

    if (sweep->names->len < CS_JOURNAL_MAX_BATCH &&
        strcmp(row->scope, scheduler->zone) == 0 &&
        cs_job_state_is_final(row->job.state) &&
        age_us > scheduler->retention_us)
        g_ptr_array_add(sweep->names, (gpointer)row->resource.u.job.name);
}

static void
on_deleted(void *user_data, int code, uint64_t version)
{
    /* The next sweep finds a job again that could not be deleted. */
}

static void
delete_job(cs_scheduler *scheduler, const char *name)
{
    cs_change *change = cs_change_create(scheduler->zone, CS_OP_DELETE,
                                         CS_KIND_JOB, name, NULL);

    cs_journal_submit(scheduler->journal, change, CS_MATCH_ANY,
                      sched_now(scheduler).boot_us + DELETE_DEADLINE_US,
                      on_deleted, NULL);
}

void
retention_tick(cs_scheduler *scheduler)
{
    int64_t now_us = sched_now(scheduler).boot_us;
    struct sweep sweep = {scheduler, NULL};
    guint i;

    /* Deletes one batch at a time, and only while no other change waits. */
    if (now_us < scheduler->next_sweep_us ||
        cs_journal_pending(scheduler->journal) > 0)
        return;
    scheduler->next_sweep_us = now_us + SWEEP_INTERVAL_US;
    sweep.names = g_ptr_array_new();
    cs_store_view_each(scheduler->store_view, CS_KIND_JOB, collect_expired,
                       &sweep);
    for (i = 0; i < sweep.names->len; i++)
        delete_job(scheduler, g_ptr_array_index(sweep.names, i));
    g_ptr_array_free(sweep.names, TRUE);
}
