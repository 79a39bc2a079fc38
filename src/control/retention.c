/* Removing jobs that ended long ago. Their change records stay. */
#include "scheduler_internal.h"

#include <string.h>

#define SWEEP_US (5 * CS_SEC_US)
#define WRITE_DEADLINE_US (60 * CS_SEC_US)

struct sweep {
    cs_scheduler *s;
    GPtrArray *names;
};

static void
find_old(void *data, const cs_record *record)
{
    struct sweep *sweep = data;
    const cs_scheduler *s = sweep->s;
    int64_t age_us = sched_now(s).wall_us - record->job.ended_us;

    if (sweep->names->len < CS_JOURNAL_BATCH &&
        strcmp(record->scope, s->zone) == 0 &&
        cs_job_state_is_final(record->job.state) && age_us > s->retention_us)
        g_ptr_array_add(sweep->names, (gpointer)record->resource.u.job.name);
}

static void
on_removed(void *data, int code, uint64_t version)
{
    /* What could not be removed is found again by the next sweep. */
}

static void
remove_job(cs_scheduler *s, const char *name)
{
    cs_change *change =
        cs_change_create(s->zone, CS_OP_DELETE, CS_KIND_JOB, name, NULL);

    cs_journal_submit(s->journal, change, CS_MATCH_ANY,
                      sched_now(s).boot_us + WRITE_DEADLINE_US, on_removed,
                      NULL);
}

void
retention_tick(cs_scheduler *s)
{
    int64_t now_us = sched_now(s).boot_us;
    struct sweep sweep = {s, NULL};
    guint i;

    /* One batch at a time, and only when nothing else waits. */
    if (now_us < s->next_sweep_us || cs_journal_pending(s->journal) > 0)
        return;
    s->next_sweep_us = now_us + SWEEP_US;
    sweep.names = g_ptr_array_new();
    cs_board_each(s->board, CS_KIND_JOB, find_old, &sweep);
    for (i = 0; i < sweep.names->len; i++)
        remove_job(s, g_ptr_array_index(sweep.names, i));
    g_ptr_array_free(sweep.names, TRUE);
}
