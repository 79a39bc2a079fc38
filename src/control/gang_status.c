/* Writes the status of gangs to the store, one write at a time per gang. */
#include "scheduler_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <string.h>

#define WRITE_DEADLINE_US (3600 * CS_SEC_US)

struct status_write {
    cs_scheduler *scheduler;
    char name[CS_NAME_BYTES];
    uint64_t serial;
};

static void
on_written(void *user_data, int code, uint64_t version)
{
    struct status_write *status_write = user_data;
    struct gang *gang =
        sched_find_gang(status_write->scheduler, status_write->name);
    cs_scheduler *scheduler = status_write->scheduler;
    uint64_t serial = status_write->serial;

    g_free(user_data);
    /* The gang may have been freed, or replaced in a later tenure. */
    if (!gang || gang->serial != serial)
        return;
    gang->writing = false;
    gang_set_pending(gang);
    /* The epoch of the new holder is unknown, but higher. */
    if (code == CS_E_FENCED) {
        cs_cell_report_epoch(scheduler->cell,
                             cs_cell_epoch(scheduler->cell) + 1);
        return;
    }
    if (code) {
        gang_mark_dirty(gang);
        return;
    }
    /* The attempt has been recorded, so its members may be started. */
    if (gang->state == GANG_RECORDING && !gang->dirty) {
        guint i;

        gang->state = GANG_STARTING;
        for (i = 0; i < gang->members->len; i++)
            link_set_pending(
                g_array_index(gang->members, struct member, i).link);
    }
}

void
gang_write(struct gang *gang)
{
    cs_scheduler *scheduler = gang->scheduler;
    struct status_write *status_write;
    cs_change *change;

    if (!gang->dirty || gang->writing || !sched_is_leading(scheduler))
        return;
    status_write = g_new0(struct status_write, 1);
    status_write->scheduler = scheduler;
    status_write->serial = gang->serial;
    g_strlcpy(status_write->name, gang->name, sizeof(status_write->name));
    change = cs_change_create(scheduler->zone, CS_OP_STATUS, CS_KIND_JOB,
                              gang->name, cs_job_status_write(&gang->status));
    gang->dirty = false;
    gang->writing = true;
    if (cs_journal_submit(scheduler->journal, change, CS_MATCH_ANY,
                          sched_now(scheduler).boot_us + WRITE_DEADLINE_US,
                          on_written, status_write)) {
        gang_mark_dirty(gang);
        gang->writing = false;
        g_free(status_write);
    }
}
