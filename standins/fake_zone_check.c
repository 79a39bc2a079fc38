/*
 * Checks the invariants of a session. It reads the events that the workers
 * recorded and the rows of the table, never the state of the processes.
 */
#include "fake_zone_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/job_status.h"
#include "corianderstair/store.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Part of a gang may run until its worker leases expire, with 1 s of slack. */
#define MAX_PARTIAL_US (FAKE_ZONE_WORKER_LEASE_MS * CS_MS_US + CS_SEC_US)
/* The grace time, and 1 s for a scheduling cycle and the calls of a start. */
#define MAX_CLAIM_WAIT_US (FAKE_ZONE_GRACE_MS * CS_MS_US + CS_SEC_US)
/*
 * After a fault: 20 s for a cell lease, a worker lease, an outage or a pause,
 * and the restart of a process; twice that as a session has up to two faults.
 */
#define MAX_CLAIM_WAIT_FAULT_US (2 * 20 * CS_SEC_US)

static void record_violation(struct fake_zone *zone,
                             fake_zone_invariant invariant, const char *fmt,
                             ...) __attribute__((format(printf, 3, 4)));

static void
record_violation(struct fake_zone *zone, fake_zone_invariant invariant,
                 const char *fmt, ...)
{
    va_list ap;

    if (zone->result.violated[invariant])
        return;
    zone->result.violated[invariant] = true;
    va_start(ap, fmt);
    g_vsnprintf(zone->result.violation[invariant],
                sizeof(zone->result.violation[0]), fmt, ap);
    va_end(ap);
}

/* Summary of the events of one attempt of a job. */
struct attempt {
    char token[48];
    uint32_t started_tasks;
    uint32_t done_tasks; /* ended with exit code 0 */
    int64_t started_us;  /* first start of a task */
    int64_t ended_us;    /* last end; INT64_MAX while a task runs */
    uint32_t running_tasks;
    int64_t last_event_us;
    int64_t partial_us; /* time with only part of the gang running */
};

/* The events of a job on all workers. */
struct job_history {
    const char *name;
    uint32_t members; /* tasks of the gang */
    GArray *attempts;
    GArray *events; /* of fake_worker_event, by time */
};

static gint
compare_events(gconstpointer a, gconstpointer b)
{
    const fake_worker_event *first = a;
    const fake_worker_event *second = b;

    return first->at_us < second->at_us ? -1 : first->at_us > second->at_us;
}

static struct attempt *
find_attempt(struct job_history *history, const char *token)
{
    struct attempt new_attempt = {0};
    guint i;

    for (i = 0; i < history->attempts->len; i++) {
        struct attempt *attempt =
            &g_array_index(history->attempts, struct attempt, i);

        if (strcmp(attempt->token, token) == 0)
            return attempt;
    }
    g_strlcpy(new_attempt.token, token, sizeof(new_attempt.token));
    g_array_append_val(history->attempts, new_attempt);
    return &g_array_index(history->attempts, struct attempt,
                          history->attempts->len - 1);
}

static void
add_event(struct job_history *history, const fake_worker_event *event)
{
    struct attempt *attempt = find_attempt(history, event->token);

    if (attempt->running_tasks > 0 &&
        attempt->running_tasks < history->members)
        attempt->partial_us += event->at_us - attempt->last_event_us;
    attempt->last_event_us = event->at_us;
    attempt->ended_us = event->at_us;
    if (event->type == FAKE_TASK_STARTED) {
        if (attempt->started_tasks++ == 0)
            attempt->started_us = event->at_us;
        attempt->running_tasks++;
        return;
    }
    attempt->running_tasks--;
    if (event->exit_code == 0)
        attempt->done_tasks++;
}

static struct job_history
collect_history(struct fake_zone *zone, const char *name, uint32_t members)
{
    struct job_history history = {
        name, members, g_array_new(FALSE, TRUE, sizeof(struct attempt)),
        g_array_new(FALSE, TRUE, sizeof(fake_worker_event))};
    uint32_t i;
    guint k;

    for (i = 0; i < FAKE_ZONE_WORKERS; i++) {
        uint32_t count;
        const fake_worker_event *events =
            fake_worker_events(zone->workers[i], &count);
        uint32_t j;

        for (j = 0; j < count; j++) {
            if (strcmp(events[j].job, name) == 0)
                g_array_append_val(history.events, events[j]);
        }
    }
    g_array_sort(history.events, compare_events);
    for (k = 0; k < history.events->len; k++)
        add_event(&history,
                  &g_array_index(history.events, fake_worker_event, k));
    for (k = 0; k < history.attempts->len; k++) {
        struct attempt *attempt =
            &g_array_index(history.attempts, struct attempt, k);

        if (attempt->running_tasks > 0 && attempt->running_tasks < members)
            attempt->partial_us += zone->now.boot_us - attempt->last_event_us;
        if (attempt->running_tasks > 0)
            attempt->ended_us = INT64_MAX;
    }
    return history;
}

static void
history_dispose(struct job_history *history)
{
    g_array_free(history->attempts, TRUE);
    g_array_free(history->events, TRUE);
}

/* Checks that no attempt ran with part of its gang for too long. */
static void
check_partial_gangs(struct fake_zone *zone, const struct job_history *history)
{
    guint i;

    for (i = 0; i < history->attempts->len; i++) {
        const struct attempt *attempt =
            &g_array_index(history->attempts, struct attempt, i);

        zone->result.max_partial_us =
            MAX(zone->result.max_partial_us, attempt->partial_us);
        if (attempt->partial_us > MAX_PARTIAL_US)
            record_violation(
                zone, FAKE_ZONE_WHOLE_GANG,
                "%s attempt %s ran with part of its gang for %" PRId64 " ms",
                history->name, attempt->token, attempt->partial_us / CS_MS_US);
    }
}

/*
 * Checks that the attempts of a job did not overlap, and that a job which is
 * not restartable was started by one attempt only.
 */
static void
check_single_start(struct fake_zone *zone, const struct job_history *history,
                   bool restartable)
{
    uint32_t started_attempts = 0;
    guint i;
    guint k;

    for (i = 0; i < history->attempts->len; i++) {
        const struct attempt *attempt =
            &g_array_index(history->attempts, struct attempt, i);

        started_attempts += attempt->started_tasks > 0;
        if (attempt->started_tasks > history->members)
            record_violation(zone, FAKE_ZONE_SINGLE_START,
                             "%s attempt %s started %u tasks of %u",
                             history->name, attempt->token,
                             attempt->started_tasks, history->members);
        for (k = 0; k < i; k++) {
            const struct attempt *other =
                &g_array_index(history->attempts, struct attempt, k);

            if (attempt->started_us < other->ended_us &&
                other->started_us < attempt->ended_us)
                record_violation(zone, FAKE_ZONE_SINGLE_START,
                                 "%s ran as attempts %s and %s at once",
                                 history->name, attempt->token, other->token);
        }
    }
    if (!restartable && started_attempts > 1)
        record_violation(
            zone, FAKE_ZONE_SINGLE_START,
            "%s was started by %u attempts, but is not restartable",
            history->name, started_attempts);
}

static bool
any_attempt_done(const struct job_history *history)
{
    guint i;

    for (i = 0; i < history->attempts->len; i++) {
        if (g_array_index(history->attempts, struct attempt, i).done_tasks ==
            history->members)
            return true;
    }
    return false;
}

static bool
reports_never_started(const cs_job_status *status)
{
    uint32_t i;

    for (i = 0; i < status->condition_count; i++) {
        if (strcmp(status->conditions[i].message, "it never started") == 0)
            return true;
    }
    return false;
}

/* Checks that the reported state agrees with what the workers ran. */
static void
check_reported_state(struct fake_zone *zone, const struct job_history *history,
                     const cs_job_status *status)
{
    bool any_done = any_attempt_done(history);

    if (status->state == CS_JOB_SUCCEEDED && !any_done)
        record_violation(zone, FAKE_ZONE_TRUE_STATE,
                         "%s is reported succeeded, but no attempt completed",
                         history->name);
    if (status->state == CS_JOB_FAILED && any_done)
        record_violation(zone, FAKE_ZONE_TRUE_STATE,
                         "%s is reported failed, but an attempt completed",
                         history->name);
    if (reports_never_started(status) && history->attempts->len > 0)
        record_violation(zone, FAKE_ZONE_TRUE_STATE,
                         "%s is reported as never started, but was started",
                         history->name);
    if (status->state == CS_JOB_NEVER && history->attempts->len > 0)
        record_violation(zone, FAKE_ZONE_TRUE_STATE,
                         "%s is reported as never runnable, but was started",
                         history->name);
}

/* Checks that a guaranteed job started within its time bound. */
static void
check_claim_wait(struct fake_zone *zone, const struct job_history *history,
                 int64_t submitted_us)
{
    bool no_faults = zone->options.injections[0].call == 0;
    int64_t max_wait_us =
        no_faults ? MAX_CLAIM_WAIT_US : MAX_CLAIM_WAIT_FAULT_US;
    int64_t first_us = INT64_MAX;
    guint i;

    for (i = 0; i < history->attempts->len; i++)
        first_us = MIN(
            first_us,
            g_array_index(history->attempts, struct attempt, i).started_us);
    if (first_us == INT64_MAX || first_us - submitted_us > max_wait_us)
        record_violation(zone, FAKE_ZONE_CLAIM_WAIT,
                         "%s was not placed within %" PRId64 " ms",
                         history->name, max_wait_us / CS_MS_US);
    else
        zone->result.max_claim_wait_us =
            MAX(zone->result.max_claim_wait_us, first_us - submitted_us);
}

struct check_context {
    struct fake_zone *zone;
    bool all_final;
    uint32_t jobs;
};

/* Returns the boot clock time at which a job was submitted. */
static int64_t
submitted_us(const struct fake_zone *zone, const cs_job_status *status)
{
    return status->submitted_us - zone->now.wall_us + zone->now.boot_us;
}

static void
check_job(void *user_data, const char *key, const json_t *row)
{
    struct check_context *context = user_data;
    struct fake_zone *zone = context->zone;
    cs_resource resource;
    cs_job_status status;
    struct job_history history;
    const cs_job *job = &resource.u.job;

    if (cs_resource_read(&resource, CS_KIND_JOB,
                         json_object_get(row, "doc")) ||
        cs_job_status_read(&status, json_object_get(row, "status")))
        return;
    history = collect_history(zone, job->name,
                              (uint32_t)(job->accelerators + 7) / 8);
    check_partial_gangs(zone, &history);
    check_single_start(zone, &history, job->restartable || job->checkpoint);
    check_reported_state(zone, &history, &status);
    if (job->tier == CS_TIER_GUARANTEED)
        check_claim_wait(zone, &history,
                         strcmp(job->name, "claim") == 0
                             ? zone->claim_submitted_us
                             : submitted_us(zone, &status));
    if (!cs_job_state_is_final(status.state))
        record_violation(zone, FAKE_ZONE_COMPLETE, "%s is still %s", job->name,
                         cs_job_state_name(status.state));
    history_dispose(&history);
    cs_job_status_clear(&status);
}

static void
check_state_is_final(void *user_data, const char *key, const json_t *row)
{
    struct check_context *context = user_data;
    cs_job_status status;

    context->jobs++;
    if (cs_job_status_read(&status, json_object_get(row, "status"))) {
        context->all_final = false;
        return;
    }
    context->all_final &= cs_job_state_is_final(status.state);
    cs_job_status_clear(&status);
}

bool
fake_zone_all_jobs_final(const struct fake_zone *zone)
{
    struct check_context context = {NULL, true, 0};
    const struct submission *last =
        g_ptr_array_index(zone->submissions, zone->submissions->len - 1);

    if (!last->answered || last->code)
        return false;
    fake_table_foreach(zone->table, "r/zone/jobs/", check_state_is_final,
                       &context);
    return context.all_final;
}

/* Checks that an acknowledged change is in the table. */
static void
check_submission(struct fake_zone *zone, const struct submission *submission)
{
    char key[CS_STORE_KEY_BYTES];
    const json_t *row;
    const char *name;

    if (!submission->answered || submission->code)
        return;
    cs_store_key_change(key, submission->scope, submission->version);
    row = fake_table_get(zone->table, key);
    name = json_string_value(json_object_get(row, "name"));
    if (g_strcmp0(name, submission->name) != 0)
        record_violation(
            zone, FAKE_ZONE_DURABLE,
            "change %s of %s was acknowledged, but the table has %s", key,
            submission->name, name ? name : "absent");
}

static void
check_submissions(struct fake_zone *zone)
{
    guint i;
    uint32_t process_index;

    for (i = 0; i < zone->submissions->len; i++)
        check_submission(zone, g_ptr_array_index(zone->submissions, i));
    for (process_index = 0; process_index < FAKE_ZONE_PROCESSES;
         process_index++) {
        if (zone->processes[process_index].version_decreased)
            record_violation(zone, FAKE_ZONE_MONOTONIC_VERSION,
                             "process %u applied an older version",
                             process_index);
    }
}

static void
add_digest(void *user_data, const char *key, const json_t *value)
{
    uint64_t *digest = user_data;
    char *text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);

    *digest = *digest * 1099511628211U + g_str_hash(key);
    *digest = *digest * 1099511628211U + g_str_hash(text);
    free(text);
}

/* Appends a line of the audit trail. */
static void
trace_change(void *user_data, const char *key, const json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);

    g_string_append_printf(user_data, "%s %s\n", key, text);
    free(text);
}

void
fake_zone_check(struct fake_zone *zone)
{
    struct check_context context = {zone, true, 0};

    if (zone->options.trace)
        fake_table_foreach(zone->table, "c/", trace_change,
                           zone->options.trace);
    check_submissions(zone);
    fake_table_foreach(zone->table, "r/zone/jobs/", check_job, &context);
    if (zone->now.boot_us >= FAKE_ZONE_TIME_LIMIT_US)
        record_violation(zone, FAKE_ZONE_COMPLETE, "the session did not end");
    fake_table_foreach(zone->table, "", add_digest, &zone->result.digest);
}
