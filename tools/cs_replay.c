/*
 * Replays a workload through the scheduling policy on a virtual clock. Jobs
 * run as long as the workload says; attempts on faulty workers fail.
 */
#include "replay/replay.h"
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CYCLE_US INT64_C(500000) /* scheduling cycle */
#define DECISIONS_MAX 256
#define TASK_FAILURE_US INT64_C(1000000) /* run time on a faulty worker */
#define ATTEMPTS_MAX 50
#define CHECKPOINT_RESTORE_US INT64_C(15000000)

static gint
compare_ends(gconstpointer a, gconstpointer b, gpointer user_data)
{
    const struct attempt_end *left = a;
    const struct attempt_end *right = b;

    if (left->at_us != right->at_us)
        return left->at_us < right->at_us ? -1 : 1;
    return left->attempt_serial < right->attempt_serial
               ? -1
               : left->attempt_serial > right->attempt_serial;
}

static void
schedule_attempt_end(struct replay_job *job, int64_t at_us)
{
    struct attempt_end *end = g_new(struct attempt_end, 1);

    job->attempt_serial = ++job->replay->last_serial;
    job->attempt_end_us = at_us;
    end->at_us = at_us;
    end->attempt_serial = job->attempt_serial;
    end->job = job;
    g_sequence_insert_sorted(job->replay->attempt_ends, end, compare_ends,
                             NULL);
}

static bool
uses_faulty_worker(const struct replay *replay, const cs_sched_job *sched_job)
{
    uint32_t count;
    const cs_sched_member *members = cs_sched_members(sched_job, &count);
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (replay->faulty_workers[members[i].worker])
            return true;
    }
    return false;
}

/* Updates the usage of the job's organisation when the job enters or leaves
   the queue or the workers. Guaranteed jobs are not counted. */
static void
update_usage(struct replay *replay, const struct replay_job *job,
             int queued_delta, int running_delta)
{
    uint32_t organisation = job->spec->organisation;

    if (job->spec->tier == CS_TIER_GUARANTEED)
        return;
    replay->queued_jobs[organisation] += (uint32_t)queued_delta;
    replay->running_accelerators[organisation] +=
        running_delta * (double)job->spec->accelerators;
}

/* Returns the remaining run time, including the load of a checkpoint. */
static int64_t
remaining_us(const struct replay_job *job)
{
    int64_t work_us = job->spec->run_us - job->progress_us;

    return job->progress_us > 0 ? work_us + CHECKPOINT_RESTORE_US : work_us;
}

static void
start_attempt(struct replay *replay, struct replay_job *job)
{
    update_usage(replay, job, -1, 1);
    job->attempt_start_us = replay->now_us;
    if (job->attempts == 0)
        job->first_start_us = replay->now_us;
    job->stopping = false;
    job->attempts++;
    job->attempt_fails = uses_faulty_worker(replay, job->sched_job);
    schedule_attempt_end(job, replay->now_us + (job->attempt_fails
                                                    ? TASK_FAILURE_US
                                                    : remaining_us(job)));
}

static void
preempt_job(struct replay *replay, struct replay_job *job, int64_t deadline_us)
{
    int64_t stop_us = deadline_us;

    /* A checkpoint takes a tenth of the grace period. */
    if (job->spec->checkpoint)
        stop_us = replay->now_us + (deadline_us - replay->now_us) / 10;
    if (job->attempt_end_us <= stop_us)
        return;
    job->stopping = true;
    schedule_attempt_end(job, stop_us);
}

static void
run_cycles(struct replay *replay)
{
    cs_decision decisions[DECISIONS_MAX];
    uint32_t count;
    uint32_t i;

    do {
        count = cs_sched_run_cycle(replay->sched, decisions, DECISIONS_MAX,
                                   replay->now_us);
        for (i = 0; i < count; i++) {
            struct replay_job *job = cs_sched_job_user_data(decisions[i].job);

            if (decisions[i].type == CS_DECIDE_START)
                start_attempt(replay, job);
            else
                preempt_job(replay, job, decisions[i].deadline_us);
        }
    } while (count == DECISIONS_MAX);
}

static void
fail_attempt(struct replay *replay, struct replay_job *job)
{
    uint32_t count;
    const cs_sched_member *members = cs_sched_members(job->sched_job, &count);
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (replay->faulty_workers[members[i].worker])
            cs_sched_task_failed(replay->sched, job->sched_job,
                                 members[i].worker, replay->now_us);
    }
    if (job->attempts < ATTEMPTS_MAX) {
        cs_sched_requeue(replay->sched, job->sched_job, job->progress_us);
        update_usage(replay, job, 1, 0);
        return;
    }
    cs_sched_release(replay->sched, job->sched_job);
    job->sched_job = NULL;
}

static void
complete_job(struct replay *replay, struct replay_job *job)
{
    uint32_t count;
    const cs_sched_member *members = cs_sched_members(job->sched_job, &count);
    uint32_t i;

    for (i = 0; i < count; i++)
        cs_sched_task_succeeded(replay->sched, members[i].worker);
    cs_sched_record_run_time(replay->sched, job->sched_job, job->spec->run_us);
    cs_sched_release(replay->sched, job->sched_job);
    job->sched_job = NULL;
    job->completed_us = replay->now_us;
}

static int64_t
attempt_progress_us(const struct replay_job *job)
{
    int64_t ran_us = job->replay->now_us - job->attempt_start_us;

    if (job->progress_us > 0)
        ran_us -= CHECKPOINT_RESTORE_US;
    return MAX(ran_us, 0);
}

static void
end_attempt(struct replay *replay, struct replay_job *job)
{
    update_usage(replay, job, 0, -1);
    if (job->stopping) {
        if (job->spec->checkpoint)
            job->progress_us += attempt_progress_us(job);
        cs_sched_requeue(replay->sched, job->sched_job, job->progress_us);
        update_usage(replay, job, 1, 0);
    }
    else if (job->attempt_fails) {
        fail_attempt(replay, job);
    }
    else {
        complete_job(replay, job);
    }
}

static void
submit_job(struct replay *replay, struct replay_job *job)
{
    cs_sched_request request = {.organisation = job->spec->organisation,
                                .class_id = job->spec->class_id,
                                .tier = job->spec->tier,
                                .accelerators = job->spec->accelerators,
                                .declared_us = job->spec->declared_us,
                                .submitted_us = replay->now_us,
                                .checkpoint = job->spec->checkpoint,
                                .user_data = job};

    job->submitted_us = replay->now_us;
    if (cs_sched_submit(&job->sched_job, replay->sched, &request))
        job->cancelled = true; /* rejected: it can never run in this cell */
    else
        update_usage(replay, job, 1, 0);
}

static void
cancel_job(struct replay_job *job)
{
    if (!job->sched_job)
        return;
    if (cs_sched_is_queued(job->sched_job))
        update_usage(job->replay, job, -1, 0);
    else
        update_usage(job->replay, job, 0, -1);
    job->attempt_serial = 0;
    job->cancelled = true;
    cs_sched_release(job->replay->sched, job->sched_job);
    job->sched_job = NULL;
}

static void
take_worker_down(struct replay *replay, uint32_t worker)
{
    guint i;

    cs_sched_set_usable(replay->sched, worker, false);
    for (i = 0; i < replay->workload->jobs->len; i++) {
        struct replay_job *job = &replay->jobs[i];
        uint32_t count;
        const cs_sched_member *members;
        uint32_t k;

        if (!job->sched_job || cs_sched_is_queued(job->sched_job))
            continue;
        members = cs_sched_members(job->sched_job, &count);
        for (k = 0; k < count && members[k].worker != worker; k++)
            ;
        if (k == count)
            continue;
        job->attempt_serial = 0;
        update_usage(replay, job, 1, -1);
        cs_sched_requeue(replay->sched, job->sched_job, job->progress_us);
    }
}

static void
apply_event(struct replay *replay, const struct workload_event *event)
{
    switch (event->type) {
    case EVENT_SUBMIT:
        submit_job(replay, &replay->jobs[event->job]);
        break;
    case EVENT_CANCEL:
        cancel_job(&replay->jobs[event->job]);
        break;
    case EVENT_WORKER_UP:
        if (event->value)
            cs_sched_set_usable(replay->sched, event->worker, true);
        else
            take_worker_down(replay, event->worker);
        break;
    case EVENT_WORKER_FAULTY:
        replay->faulty_workers[event->worker] = event->value;
        break;
    case EVENT_COUNT:
        break;
    }
}

/* Adds the interval that ends at until_us to the averages: to fragmentation if
   jobs wait while accelerators are free, and to the contended area if every
   organisation has jobs waiting. */
static void
sample_usage(struct replay *replay, int64_t until_us)
{
    double span_us = (double)(until_us - replay->sampled_until_us);
    cs_sched_stats stats = cs_sched_get_stats(replay->sched);
    guint contenders = 0;
    guint i;

    replay->sampled_until_us = until_us;
    for (i = 0; i < replay->workload->organisation_weights->len; i++)
        contenders += replay->queued_jobs[i] > 0;
    for (i = 0; contenders == replay->workload->organisation_weights->len &&
                i < contenders;
         i++)
        replay->contended_area[i] += span_us * replay->running_accelerators[i];
    if (stats.queued == 0 || stats.free == 0)
        return;
    replay->fragmentation_time += span_us;
    replay->fragmentation_area +=
        span_us * stats.free / stats.accelerators *
        cs_sched_fragmentation(replay->sched, replay->demand_sizes,
                               replay->demand_weights, replay->demand_count);
}

static void
init_replay(struct replay *replay, cs_policy policy)
{
    cs_sched_settings settings = replay->workload->settings;
    guint i;

    settings.policy = policy;
    replay->sched = cs_sched_create(&settings);
    for (i = 0; i < replay->workload->worker_racks->len; i++)
        cs_sched_set_usable(
            replay->sched,
            cs_sched_add_worker(
                replay->sched,
                g_array_index(replay->workload->worker_racks, uint32_t, i),
                g_array_index(replay->workload->worker_accelerators, uint32_t,
                              i)),
            true);
    for (i = 0; i < replay->workload->organisation_weights->len; i++) {
        const GArray *guarantees =
            g_ptr_array_index(replay->workload->guarantees, i);

        cs_sched_add_organisation(
            replay->sched,
            g_array_index(replay->workload->organisation_weights, int64_t, i));
        cs_sched_set_guarantees(replay->sched, i,
                                (const cs_guarantee *)(void *)guarantees->data,
                                guarantees->len);
    }
    replay->jobs = g_new0(struct replay_job, replay->workload->jobs->len);
    replay->faulty_workers = g_new0(bool, replay->workload->worker_racks->len);
    replay->attempt_ends = g_sequence_new(g_free);
    for (i = 0; i < replay->workload->events->len; i++) {
        const struct workload_event *event =
            &g_array_index(replay->workload->events, struct workload_event, i);

        if (event->type == EVENT_CANCEL)
            replay->jobs[event->job].cancel_planned = true;
    }
    for (i = 0; i < replay->workload->jobs->len; i++) {
        const struct workload_job *spec =
            &g_array_index(replay->workload->jobs, struct workload_job, i);
        uint32_t k;

        replay->jobs[i].replay = replay;
        replay->jobs[i].spec = spec;
        for (k = 0; k < replay->demand_count; k++) {
            if (replay->demand_sizes[k] == spec->accelerators)
                break;
        }
        if (k == replay->demand_count && replay->demand_count < 16)
            replay->demand_sizes[replay->demand_count++] = spec->accelerators;
        if (k < 16)
            replay->demand_weights[k] += 1;
    }
}

static void
run_replay(struct replay *replay)
{
    guint next = 0;

    for (;;) {
        GSequenceIter *first = g_sequence_get_begin_iter(replay->attempt_ends);
        const struct attempt_end *end =
            g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
        const struct workload_event *event =
            next < replay->workload->events->len
                ? &g_array_index(replay->workload->events,
                                 struct workload_event, next)
                : NULL;
        cs_sched_stats stats = cs_sched_get_stats(replay->sched);
        /* While jobs wait, a cycle runs at least every 30 s. */
        int64_t next_cycle_us =
            stats.queued ? replay->now_us + 60 * CYCLE_US : INT64_MAX;
        int64_t at_us = MIN(event ? event->at_us : INT64_MAX,
                            end ? end->at_us : INT64_MAX);

        if (at_us == INT64_MAX)
            return;
        at_us = MIN(at_us, next_cycle_us);
        sample_usage(replay, at_us);
        replay->now_us = at_us;
        if (end && end->at_us == at_us) {
            struct replay_job *job = end->job;
            bool valid =
                job->attempt_serial == end->attempt_serial && job->sched_job;

            g_sequence_remove(first);
            if (valid)
                end_attempt(replay, job);
        }
        else if (event && event->at_us == at_us) {
            apply_event(replay, event);
            next++;
        }
        run_cycles(replay);
    }
}

int
main(int argc, char **argv)
{
    struct replay replay = {0};
    const char *workload = "";
    const char *deployment = "consortium";
    const char *scenario = "mixed";
    const char *policy = "current";
    int64_t seed = 1;
    const cs_setting table[] = {
        {"workload", CS_SETTING_TEXT, &workload, 0, 4096, false,
         "workload file to replay; empty to generate a scenario"},
        {"deployment", CS_SETTING_TEXT, &deployment, 1, 63, false,
         "deployment of the scenario: consortium or souffle-atlas"},
        {"scenario", CS_SETTING_TEXT, &scenario, 1, 63, false,
         "scenario to generate"},
        {"policy", CS_SETTING_TEXT, &policy, 1, 16, false,
         "scheduling policy: baseline or current"},
        {"seed", CS_SETTING_NUMBER, &seed, 1, INT64_MAX, false,
         "seed of the generated scenario"},
    };
    cs_settings_next next;
    int rc;

    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "replays a workload on a virtual clock")) {
        fprintf(stderr, "cs-replay: %s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    rc = *workload ? workload_read(&replay.workload, workload)
                   : workload_generate(&replay.workload, deployment, scenario,
                                       (uint64_t)seed);
    if (rc) {
        fprintf(stderr, "cs-replay: %s\n", cs_error_last());
        return 1;
    }
    init_replay(&replay, strcmp(policy, "baseline") == 0 ? CS_POLICY_BASELINE
                                                         : CS_POLICY_CURRENT);
    run_replay(&replay);
    if (cs_sched_verify(replay.sched)) {
        fprintf(stderr, "cs-replay: %s\n", cs_error_last());
        return 1;
    }
    replay_print(&replay, policy, seed);
    return 0;
}
