/*
 * The life of a gang. Leases are taken on every member, the attempt is
 * written to the table, and only then is any member started. Whatever goes
 * wrong with one member stops all of them.
 */
#include "scheduler_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <inttypes.h>
#include <string.h>

struct gang *
gang_create(cs_scheduler *s, const cs_record *record)
{
    const cs_job *job = &record->resource.u.job;
    struct gang *gang = g_new0(struct gang, 1);

    gang->s = s;
    gang->serial = ++s->next_serial;
    g_strlcpy(gang->name, job->name, sizeof(gang->name));
    gang->members = g_array_new(FALSE, TRUE, sizeof(struct member));
    gang->run_ms = job->run_ms;
    gang->restartable = job->restartable;
    gang->checkpoint = job->checkpoint;
    cs_job_status_copy(&gang->status, &record->job);
    if (!gang->status.submitted_us)
        gang->status.submitted_us = sched_now(s).wall_us;
    return gang;
}

void
gang_touch(struct gang *gang)
{
    if (gang->active)
        return;
    gang->active = true;
    g_ptr_array_add(gang->s->active, gang);
}

void
gang_mark(struct gang *gang)
{
    gang->dirty = true;
    gang_touch(gang);
}

bool
gang_is_idle(const struct gang *gang)
{
    bool resting = gang->state == GANG_QUEUED || gang->state == GANG_RUNNING;

    return resting && !gang->dirty && !gang->writing;
}

void
gang_destroy(struct gang *gang)
{
    g_array_free(gang->members, TRUE);
    cs_job_status_clear(&gang->status);
    g_free(gang);
}

void
gang_set_condition(struct gang *gang, const char *type, const char *reason,
                   const char *message)
{
    cs_job_status_set_condition(&gang->status, type, reason, message,
                                sched_now(gang->s).wall_us);
    gang_mark(gang);
}

struct member *
gang_member(struct gang *gang, const struct link *link)
{
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        struct member *m = &g_array_index(gang->members, struct member, i);

        if (m->link == link)
            return m;
    }
    return NULL;
}

static void
add_member(struct gang *gang, struct link *link, uint64_t mask)
{
    struct member m = {.link = link, .mask = mask};

    g_array_append_val(gang->members, m);
    g_ptr_array_add(link->gangs, gang);
    link_touch(link);
}

static void
set_state(struct gang *gang, gang_state state)
{
    guint i;

    gang->state = state;
    gang_touch(gang);
    for (i = 0; i < gang->members->len; i++)
        link_touch(g_array_index(gang->members, struct member, i).link);
}

static void
copy_members_to_status(struct gang *gang)
{
    cs_member *members = g_new0(cs_member, MAX(gang->members->len, 1));
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        const struct member *m =
            &g_array_index(gang->members, struct member, i);

        g_strlcpy(members[i].worker, m->link->name, sizeof(members[i].worker));
        members[i].mask = (int64_t)m->mask;
    }
    cs_job_status_set_members(&gang->status, members, gang->members->len);
    g_free(members);
}

/* The policy has placed the job: reserve its members. */
void
gang_place(struct gang *gang)
{
    cs_scheduler *s = gang->s;
    char reason[40];
    char message[200];
    int64_t expected_us;
    uint32_t count;
    const cs_sched_member *members = cs_sched_members(gang->job, &count);
    uint32_t i;

    for (i = 0; i < count; i++)
        add_member(gang, g_ptr_array_index(s->links, members[i].worker),
                   members[i].mask);
    gang->stop = STOP_NONE;
    gang->status.attempt++;
    gang->status.epoch = cs_cell_epoch(s->cell);
    cs_sched_explain(s->sched, gang->job, sched_now(s).boot_us, reason,
                     sizeof(reason), message, sizeof(message), &expected_us);
    gang_set_condition(gang, "Placed", reason, message);
    set_state(gang, GANG_RESERVING);
}

static bool
all_in(const struct gang *gang, member_phase least)
{
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        const struct member *m =
            &g_array_index(gang->members, struct member, i);

        if (m->phase < least)
            return false;
    }
    return true;
}

/* A silent worker ends its tasks itself when their lease ends. */
static bool
has_ended(const struct member *m, int64_t now_us)
{
    if (m->phase == PHASE_EXITED)
        return true;
    return (m->phase == PHASE_NONE && m->reported) ||
           now_us > m->lease_us + CLOCK_MARGIN_US;
}

static void
record_attempt(struct gang *gang)
{
    gang->status.state = CS_JOB_STARTING;
    copy_members_to_status(gang);
    gang_set_condition(gang, "Starting", "attempt-recorded",
                       "the attempt is written and its members may start");
    set_state(gang, GANG_RECORDING);
    gang_write(gang);
}

static void
begin_running(struct gang *gang)
{
    cs_scheduler *s = gang->s;

    gang->start_us = sched_now(s).boot_us;
    gang->status.state = CS_JOB_RUNNING;
    gang->status.started_us = sched_now(s).wall_us;
    gang_set_condition(gang, "Running", "all-members-started",
                       "every member of the gang runs");
    (*s->started)++;
    set_state(gang, GANG_RUNNING);
}

static void
step_stopping(struct gang *gang)
{
    int64_t now_us = sched_now(gang->s).boot_us;
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        if (!has_ended(&g_array_index(gang->members, struct member, i),
                       now_us))
            return;
    }
    gang_finish_stop(gang);
}

static void
note_failures(struct gang *gang)
{
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        struct member *m = &g_array_index(gang->members, struct member, i);

        if (m->start_refused ||
            (m->phase == PHASE_EXITED && m->exit_code == 1))
            cs_sched_task_failed(gang->s->sched, gang->job, m->link->index,
                                 sched_now(gang->s).boot_us);
    }
}

/* Finds what is wrong with a member that should run or be about to. */
static stop_reason
find_fault(const struct gang *gang, bool started)
{
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        const struct member *m =
            &g_array_index(gang->members, struct member, i);

        if (m->refused)
            return STOP_REFUSED;
        if (m->phase == PHASE_EXITED && m->exit_code != 0)
            return m->exit_code == 1 ? STOP_FAILED : STOP_LOST;
        if (m->link->state == LINK_LOST)
            return STOP_LOST;
        if (started && m->phase == PHASE_NONE && m->reported)
            return STOP_LOST;
    }
    return STOP_NONE;
}

static bool
stop_on_fault(struct gang *gang, bool started)
{
    stop_reason fault = find_fault(gang, started);

    if (fault == STOP_NONE)
        return false;
    note_failures(gang);
    gang_stop(gang, fault, 0);
    return true;
}

static void
step_adopting(struct gang *gang)
{
    int64_t now_us = sched_now(gang->s).boot_us;
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        const struct member *m =
            &g_array_index(gang->members, struct member, i);

        if (!m->reported && now_us < gang->adopt_us)
            return;
    }
    if (gang->stop != STOP_NONE) {
        set_state(gang, GANG_STOPPING);
        return;
    }
    for (i = 0; i < gang->members->len; i++) {
        if (g_array_index(gang->members, struct member, i).phase ==
            PHASE_NONE) {
            gang_stop(gang, STOP_LOST, 0);
            return;
        }
    }
    set_state(gang,
              all_in(gang, PHASE_RUNNING) ? GANG_RUNNING : GANG_STARTING);
}

void
gang_step(struct gang *gang)
{
    switch (gang->state) {
    case GANG_QUEUED:
    case GANG_FINAL:
        return;
    case GANG_RESERVING:
        if (!stop_on_fault(gang, false) && all_in(gang, PHASE_RESERVED))
            record_attempt(gang);
        return;
    case GANG_RECORDING:
        if (!stop_on_fault(gang, true))
            gang_write(gang);
        return;
    case GANG_STARTING:
        if (!stop_on_fault(gang, true) && all_in(gang, PHASE_RUNNING))
            begin_running(gang);
        return;
    case GANG_RUNNING:
        if (!stop_on_fault(gang, true) && all_in(gang, PHASE_EXITED))
            gang_succeed(gang);
        return;
    case GANG_STOPPING:
        step_stopping(gang);
        return;
    case GANG_ADOPTING:
        step_adopting(gang);
        return;
    }
}

void
gang_stop(struct gang *gang, stop_reason reason, int64_t grace_us)
{
    static const char *const words[] = {"none",      "preempted",
                                        "cancelled", "start-refused",
                                        "failed",    "worker-lost"};
    char message[120];

    if (gang->state == GANG_STOPPING) {
        /* A cancellation overrides whatever the stop was for. */
        if (reason == STOP_CANCELLED)
            gang->stop = reason;
        return;
    }
    g_snprintf(message, sizeof(message), "attempt %" PRId64 " is stopped",
               gang->status.attempt);
    gang->stop = reason;
    gang->grace_us = grace_us;
    gang->stop_us = sched_now(gang->s).boot_us + grace_us;
    gang_set_condition(gang, "Stopping", words[reason], message);
    gang->status.state = CS_JOB_STOPPING;
    cs_sched_stopping(gang->s->sched, gang->job);
    set_state(gang, GANG_STOPPING);
    step_stopping(gang);
}

void
gang_cancel(struct gang *gang)
{
    switch (gang->state) {
    case GANG_QUEUED:
        gang_set_condition(gang, "Ended", "cancelled", gang_how_far(gang));
        gang_end(gang, CS_JOB_CANCELLED);
        return;
    case GANG_FINAL:
        return;
    case GANG_RESERVING:
    case GANG_RECORDING:
    case GANG_STARTING:
    case GANG_RUNNING:
    case GANG_STOPPING:
        gang_stop(gang, STOP_CANCELLED, 0);
        return;
    case GANG_ADOPTING:
        gang->stop = STOP_CANCELLED;
        return;
    }
}

static stop_reason
stored_stop(const cs_job_status *status)
{
    uint32_t i;

    for (i = 0; i < status->condition_count; i++) {
        const cs_condition *c = &status->conditions[i];

        if (strcmp(c->type, "Stopping") != 0)
            continue;
        if (strcmp(c->reason, "preempted") == 0)
            return STOP_PREEMPTED;
        if (strcmp(c->reason, "cancelled") == 0)
            return STOP_CANCELLED;
        if (strcmp(c->reason, "failed") == 0)
            return STOP_FAILED;
    }
    return STOP_LOST;
}

/* Takes over an attempt that an earlier holder has written. */
void
gang_adopt(struct gang *gang, const cs_record *record)
{
    cs_scheduler *s = gang->s;
    const cs_job_status *status = &record->job;
    int64_t now_us = sched_now(s).boot_us;
    uint32_t i;

    for (i = 0; i < status->member_count; i++) {
        struct link *link = sched_find_link(s, status->members[i].worker);
        struct member *m;

        if (!link)
            continue;
        add_member(gang, link, (uint64_t)status->members[i].mask);
        m = gang_member(gang, link);
        m->lease_us = now_us + s->worker_lease_us;
        m->ever_ran = status->state != CS_JOB_STARTING;
    }
    gang->start_us =
        now_us - MAX(sched_now(s).wall_us - status->started_us, 0);
    gang->adopt_us = now_us + s->worker_lease_us + CLOCK_MARGIN_US;
    gang->stop =
        status->state == CS_JOB_STOPPING ? stored_stop(status) : STOP_NONE;
    /* A member on a worker that is no longer declared is lost. */
    if (gang->members->len != status->member_count && gang->stop == STOP_NONE)
        gang->stop = STOP_LOST;
    set_state(gang, GANG_ADOPTING);
}
