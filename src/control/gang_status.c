/* Writing the state of gangs to the table, one write of each at a time. */
#include "scheduler_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <string.h>

#define WRITE_DEADLINE_US (3600 * CS_SEC_US)

struct write {
    cs_scheduler *s;
    char name[CS_NAME_BYTES];
    uint64_t serial;
};

static void
on_written(void *data, int code, uint64_t version)
{
    struct write *write = data;
    struct gang *gang = sched_find_gang(write->s, write->name);
    cs_scheduler *s = write->s;
    uint64_t serial = write->serial;

    g_free(data);
    if (!gang || gang->serial != serial)
        return;
    gang->writing = false;
    gang_touch(gang);
    if (code == CS_E_FENCED) {
        cs_cell_fenced(s->cell, cs_cell_epoch(s->cell) + 1);
        return;
    }
    if (code) {
        gang_mark(gang);
        return;
    }
    /* The attempt is durable now, so its members may start. */
    if (gang->state == GANG_RECORDING && !gang->dirty) {
        guint i;

        gang->state = GANG_STARTING;
        for (i = 0; i < gang->members->len; i++)
            link_touch(g_array_index(gang->members, struct member, i).link);
    }
}

void
gang_write(struct gang *gang)
{
    cs_scheduler *s = gang->s;
    struct write *write;
    cs_change *change;

    if (!gang->dirty || gang->writing || !sched_leads(s))
        return;
    write = g_new0(struct write, 1);
    write->s = s;
    write->serial = gang->serial;
    g_strlcpy(write->name, gang->name, sizeof(write->name));
    change = cs_change_create(s->zone, CS_OP_STATUS, CS_KIND_JOB, gang->name,
                              cs_job_status_write(&gang->status));
    gang->dirty = false;
    gang->writing = true;
    if (cs_journal_submit(s->journal, change, CS_MATCH_ANY,
                          sched_now(s).boot_us + WRITE_DEADLINE_US, on_written,
                          write)) {
        gang_mark(gang);
        gang->writing = false;
        g_free(write);
    }
}
