/*
 * The state machine of a gang. A lease is acquired on the worker of every
 * member, the attempt is written to the store, and only then is any member
 * started. A failure of one member stops all of them.
 */
#include "scheduler_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <inttypes.h>
#include <string.h>

struct gang *
gang_create(cs_scheduler *scheduler, const cs_resource_row *row)
{
    const cs_job *job = &row->resource.u.job;
    struct gang *gang = g_new0(struct gang, 1);

    gang->scheduler = scheduler;
    gang->serial = ++scheduler->next_serial;
    g_strlcpy(gang->name, job->name, sizeof(gang->name));
    gang->members = g_array_new(FALSE, TRUE, sizeof(struct member));
    gang->run_ms = job->run_ms;
    gang->restartable = job->restartable;
    gang->checkpoint = job->checkpoint;
    cs_job_status_copy(&gang->status, &row->job);
    if (!gang->status.submitted_us)
        gang->status.submitted_us = sched_now(scheduler).wall_us;
    return gang;
}

void
gang_set_pending(struct gang *gang)
{
    if (gang->pending)
        return;
    gang->pending = true;
    g_ptr_array_add(gang->scheduler->pending_gangs, gang);
}

void
gang_mark_dirty(struct gang *gang)
{
    gang->dirty = true;
    gang_set_pending(gang);
}

bool
gang_is_idle(const struct gang *gang)
{
    bool is_stable = gang->state == GANG_QUEUED || gang->state == GANG_RUNNING;

    return is_stable && !gang->dirty && !gang->writing;
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
                                sched_now(gang->scheduler).wall_us);
    gang_mark_dirty(gang);
}

struct member *
gang_find_member(struct gang *gang, const struct link *link)
{
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        struct member *member =
            &g_array_index(gang->members, struct member, i);

        if (member->link == link)
            return member;
    }
    return NULL;
}

static void
add_member(struct gang *gang, struct link *link, uint64_t mask)
{
    struct member member = {.link = link, .mask = mask};

    g_array_append_val(gang->members, member);
    g_ptr_array_add(link->gangs, gang);
    link_set_pending(link);
}

static void
set_state(struct gang *gang, gang_state state)
{
    guint i;

    gang->state = state;
    gang_set_pending(gang);
    for (i = 0; i < gang->members->len; i++)
        link_set_pending(g_array_index(gang->members, struct member, i).link);
}

static void
copy_members_to_status(struct gang *gang)
{
    cs_gang_member *members =
        g_new0(cs_gang_member, MAX(gang->members->len, 1));
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        const struct member *member =
            &g_array_index(gang->members, struct member, i);

        g_strlcpy(members[i].worker, member->link->name,
                  sizeof(members[i].worker));
        members[i].mask = (int64_t)member->mask;
    }
    cs_job_status_set_members(&gang->status, members, gang->members->len);
    g_free(members);
}

void
gang_place(struct gang *gang)
{
    cs_scheduler *scheduler = gang->scheduler;
    char reason[40];
    char message[200];
    int64_t expected_us;
    uint32_t count;
    const cs_sched_member *members = cs_sched_members(gang->job, &count);
    uint32_t i;

    for (i = 0; i < count; i++)
        add_member(gang,
                   g_ptr_array_index(scheduler->links, members[i].worker),
                   members[i].mask);
    gang->stop = STOP_NONE;
    gang->status.attempt++;
    gang->status.epoch = cs_cell_epoch(scheduler->cell);
    cs_sched_explain(scheduler->sched, gang->job, sched_now(scheduler).boot_us,
                     reason, sizeof(reason), message, sizeof(message),
                     &expected_us);
    gang_set_condition(gang, "Placed", reason, message);
    set_state(gang, GANG_RESERVING);
}

static bool
all_have_reached(const struct gang *gang, member_phase minimum)
{
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        const struct member *member =
            &g_array_index(gang->members, struct member, i);

        if (member->phase < minimum)
            return false;
    }
    return true;
}

/*
 * Returns whether a member surely no longer runs. A worker that cannot be
 * reached ends its tasks itself when their lease ends.
 */
static bool
has_ended(const struct member *member, int64_t now_us)
{
    if (member->phase == PHASE_EXITED)
        return true;
    return (member->phase == PHASE_ABSENT && member->reported) ||
           now_us > member->lease_end_us + MAX_CLOCK_SKEW_US;
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
    cs_scheduler *scheduler = gang->scheduler;

    gang->start_us = sched_now(scheduler).boot_us;
    gang->status.state = CS_JOB_RUNNING;
    gang->status.started_us = sched_now(scheduler).wall_us;
    gang_set_condition(gang, "Running", "all-members-started",
                       "every member of the gang runs");
    (*scheduler->started)++;
    set_state(gang, GANG_RUNNING);
}

static void
advance_stopping(struct gang *gang)
{
    int64_t now_us = sched_now(gang->scheduler).boot_us;
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        if (!has_ended(&g_array_index(gang->members, struct member, i),
                       now_us))
            return;
    }
    gang_finish_stop(gang);
}

/* Reports the failed tasks of the attempt to the policy. */
static void
report_failures(struct gang *gang)
{
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        struct member *member =
            &g_array_index(gang->members, struct member, i);

        if (member->start_refused ||
            (member->phase == PHASE_EXITED && member->exit_code == 1))
            cs_sched_task_failed(gang->scheduler->sched, gang->job,
                                 member->link->index,
                                 sched_now(gang->scheduler).boot_us);
    }
}

/*
 * Returns the reason to stop an attempt that is in progress, or STOP_NONE.
 * started: the members may have been started.
 */
static stop_reason
find_stop_reason(const struct gang *gang, bool started)
{
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        const struct member *member =
            &g_array_index(gang->members, struct member, i);

        if (member->refused)
            return STOP_REFUSED;
        /* Code 1 is a failure of the task; with others the worker ended it. */
        if (member->phase == PHASE_EXITED && member->exit_code != 0)
            return member->exit_code == 1 ? STOP_FAILED : STOP_LOST;
        if (member->link->state == LINK_LOST)
            return STOP_LOST;
        if (started && member->phase == PHASE_ABSENT && member->reported)
            return STOP_LOST;
    }
    return STOP_NONE;
}

static bool
stop_on_fault(struct gang *gang, bool started)
{
    stop_reason fault = find_stop_reason(gang, started);

    if (fault == STOP_NONE)
        return false;
    report_failures(gang);
    gang_stop(gang, fault, 0);
    return true;
}

static void
advance_adopting(struct gang *gang)
{
    int64_t now_us = sched_now(gang->scheduler).boot_us;
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        const struct member *member =
            &g_array_index(gang->members, struct member, i);

        if (!member->reported && now_us < gang->adopt_deadline_us)
            return;
    }
    if (gang->stop != STOP_NONE) {
        set_state(gang, GANG_STOPPING);
        return;
    }
    for (i = 0; i < gang->members->len; i++) {
        if (g_array_index(gang->members, struct member, i).phase ==
            PHASE_ABSENT) {
            gang_stop(gang, STOP_LOST, 0);
            return;
        }
    }
    set_state(gang, all_have_reached(gang, PHASE_RUNNING) ? GANG_RUNNING
                                                          : GANG_STARTING);
}

void
gang_advance(struct gang *gang)
{
    switch (gang->state) {
    case GANG_QUEUED:
    case GANG_FINAL:
        return;
    case GANG_RESERVING:
        if (!stop_on_fault(gang, false) &&
            all_have_reached(gang, PHASE_RESERVED))
            record_attempt(gang);
        return;
    case GANG_RECORDING:
        if (!stop_on_fault(gang, true))
            gang_write(gang);
        return;
    case GANG_STARTING:
        if (!stop_on_fault(gang, true) &&
            all_have_reached(gang, PHASE_RUNNING))
            begin_running(gang);
        return;
    case GANG_RUNNING:
        if (!stop_on_fault(gang, true) && all_have_reached(gang, PHASE_EXITED))
            gang_succeed(gang);
        return;
    case GANG_STOPPING:
        advance_stopping(gang);
        return;
    case GANG_ADOPTING:
        advance_adopting(gang);
        return;
    }
}

void
gang_stop(struct gang *gang, stop_reason reason, int64_t grace_us)
{
    static const char *const reason_names[] = {"none",      "preempted",
                                               "cancelled", "start-refused",
                                               "failed",    "worker-lost"};
    char message[120];

    if (gang->state == GANG_STOPPING) {
        /* A cancellation overrides the reason of a stop in progress. */
        if (reason == STOP_CANCELLED)
            gang->stop = reason;
        return;
    }
    g_snprintf(message, sizeof(message), "attempt %" PRId64 " is stopped",
               gang->status.attempt);
    gang->stop = reason;
    gang->grace_us = grace_us;
    gang->grace_end_us = sched_now(gang->scheduler).boot_us + grace_us;
    gang_set_condition(gang, "Stopping", reason_names[reason], message);
    gang->status.state = CS_JOB_STOPPING;
    cs_sched_mark_stopping(gang->scheduler->sched, gang->job);
    set_state(gang, GANG_STOPPING);
    advance_stopping(gang);
}

void
gang_cancel(struct gang *gang)
{
    switch (gang->state) {
    case GANG_QUEUED:
        gang_set_condition(gang, "Ended", "cancelled",
                           gang_describe_start(gang));
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

/* Returns the reason of a stop that an earlier holder has recorded. */
static stop_reason
stored_stop(const cs_job_status *status)
{
    uint32_t i;

    for (i = 0; i < status->condition_count; i++) {
        const cs_condition *condition = &status->conditions[i];

        if (strcmp(condition->type, "Stopping") != 0)
            continue;
        if (strcmp(condition->reason, "preempted") == 0)
            return STOP_PREEMPTED;
        if (strcmp(condition->reason, "cancelled") == 0)
            return STOP_CANCELLED;
        if (strcmp(condition->reason, "failed") == 0)
            return STOP_FAILED;
    }
    return STOP_LOST;
}

void
gang_adopt(struct gang *gang, const cs_resource_row *row)
{
    cs_scheduler *scheduler = gang->scheduler;
    const cs_job_status *status = &row->job;
    int64_t now_us = sched_now(scheduler).boot_us;
    uint32_t i;

    for (i = 0; i < status->member_count; i++) {
        struct link *link =
            sched_find_link(scheduler, status->members[i].worker);
        struct member *member;

        if (!link)
            continue;
        add_member(gang, link, (uint64_t)status->members[i].mask);
        member = gang_find_member(gang, link);
        member->lease_end_us = now_us + scheduler->worker_lease_us;
        member->ever_ran = status->state != CS_JOB_STARTING;
    }
    gang->start_us =
        now_us - MAX(sched_now(scheduler).wall_us - status->started_us, 0);
    gang->adopt_deadline_us =
        now_us + scheduler->worker_lease_us + MAX_CLOCK_SKEW_US;
    gang->stop =
        status->state == CS_JOB_STOPPING ? stored_stop(status) : STOP_NONE;
    /* A member on a worker that is no longer declared is lost. */
    if (gang->members->len != status->member_count && gang->stop == STOP_NONE)
        gang->stop = STOP_LOST;
    set_state(gang, GANG_ADOPTING);
}
