/* Ends attempts: success, failure, cancellation or another attempt. */
#include "scheduler_internal.h"

#include <string.h>

static void
unlink_members(struct gang *gang)
{
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        struct member *member =
            &g_array_index(gang->members, struct member, i);

        g_ptr_array_remove(member->link->gangs, gang);
        link_set_pending(member->link);
    }
    g_array_set_size(gang->members, 0);
}

void
gang_requeue(struct gang *gang, int64_t progress_ms)
{
    cs_scheduler *scheduler = gang->scheduler;

    unlink_members(gang);
    gang->status.progress_ms = progress_ms;
    gang->status.state = CS_JOB_QUEUED;
    cs_job_status_set_members(&gang->status, NULL, 0);
    if (gang->stop == STOP_PREEMPTED)
        (*scheduler->preempted)++;
    gang->state = GANG_QUEUED;
    gang_mark_dirty(gang);
    cs_sched_requeue(scheduler->sched, gang->job, progress_ms * CS_MS_US);
    scheduler->cycle_due = true;
}

void
gang_end(struct gang *gang, int32_t state)
{
    cs_scheduler *scheduler = gang->scheduler;

    unlink_members(gang);
    gang->status.state = state;
    gang->status.ended_us = sched_now(scheduler).wall_us;
    gang->state = GANG_FINAL;
    gang_mark_dirty(gang);
    if (gang->job)
        cs_sched_release(scheduler->sched, gang->job);
    gang->job = NULL;
    scheduler->cycle_due = true;
}

static bool
any_ran(const struct gang *gang)
{
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        if (g_array_index(gang->members, struct member, i).ever_ran)
            return true;
    }
    return false;
}

/*
 * Returns the progress that a next attempt can start from: the least that a
 * member has checkpointed, and no less than earlier attempts had.
 */
static int64_t
min_progress_ms(const struct gang *gang)
{
    int64_t progress_ms = INT64_MAX;
    guint i;

    if (!gang->checkpoint)
        return 0;
    for (i = 0; i < gang->members->len; i++) {
        const struct member *member =
            &g_array_index(gang->members, struct member, i);

        progress_ms = MIN(progress_ms, member->progress_ms);
    }
    return MAX(progress_ms == INT64_MAX ? 0 : progress_ms,
               gang->status.progress_ms);
}

void
gang_succeed(struct gang *gang)
{
    cs_scheduler *scheduler = gang->scheduler;
    int64_t run_us = sched_now(scheduler).boot_us - gang->start_us;
    guint i;

    for (i = 0; i < gang->members->len; i++)
        cs_sched_task_succeeded(
            scheduler->sched,
            g_array_index(gang->members, struct member, i).link->index);
    cs_sched_record_run_time(scheduler->sched, gang->job,
                             run_us + gang->status.progress_ms * CS_MS_US);
    (*scheduler->succeeded)++;
    gang_set_condition(gang, "Ended", "done", "every member has succeeded");
    gang_end(gang, CS_JOB_SUCCEEDED);
}

/* Returns whether another attempt may follow the one that was stopped. */
static bool
may_restart(const struct gang *gang)
{
    if (!any_ran(gang))
        return gang->failures < MAX_FAILED_ATTEMPTS;
    if (gang->stop == STOP_PREEMPTED)
        return gang->restartable || gang->checkpoint;
    return gang->restartable && gang->failures < MAX_FAILED_ATTEMPTS &&
           !cs_sched_is_at_fault(gang->job);
}

static void
fail_job(struct gang *gang)
{
    const char *reason = "failed";
    const char *message = "a member failed";

    if (cs_sched_is_at_fault(gang->job)) {
        reason = "job-at-fault";
        message = "it failed on three sound workers";
    }
    else if (gang->stop == STOP_LOST) {
        reason = "worker-lost";
        message = "a worker was lost and the job may not run again";
    }
    else if (gang->stop == STOP_PREEMPTED) {
        reason = "preempted";
        message = "a guaranteed claim took its place and it may not run "
                  "again";
    }
    else if (gang->stop == STOP_REFUSED) {
        reason = "start-refused";
        message = "a member was refused after others had started";
    }
    (*gang->scheduler->failed)++;
    gang_set_condition(gang, "Ended", reason, message);
    gang_end(gang, gang->stop == STOP_LOST ? CS_JOB_UNKNOWN : CS_JOB_FAILED);
}

static bool
all_succeeded(const struct gang *gang)
{
    guint i;

    for (i = 0; i < gang->members->len; i++) {
        const struct member *member =
            &g_array_index(gang->members, struct member, i);

        if (member->phase != PHASE_EXITED || member->exit_code != 0)
            return false;
    }
    return gang->members->len > 0;
}

/*
 * An attempt is recorded before any of its members is started, so a job
 * without the condition "Starting" has surely never run.
 */
const char *
gang_describe_start(const struct gang *gang)
{
    uint32_t i;

    for (i = 0; i < gang->status.condition_count; i++) {
        if (strcmp(gang->status.conditions[i].type, "Starting") == 0)
            return "an attempt had been started";
    }
    return "it never started";
}

void
gang_finish_stop(struct gang *gang)
{
    /* Every member succeeded before the stop reached it. */
    if (all_succeeded(gang)) {
        gang_succeed(gang);
        return;
    }
    switch (gang->stop) {
    case STOP_CANCELLED:
        gang_set_condition(gang, "Ended", "cancelled",
                           gang_describe_start(gang));
        gang_end(gang, CS_JOB_CANCELLED);
        return;
    case STOP_FAILED:
        gang->failures++;
        break;
    case STOP_PREEMPTED:
    case STOP_REFUSED:
    case STOP_LOST:
    case STOP_NONE:
        break;
    }
    if (may_restart(gang))
        gang_requeue(gang, min_progress_ms(gang));
    else
        fail_job(gang);
}
