/*
 * Checks the scheduling rules at each event that the workers and the store
 * observe, and records violations.
 */
#include "fake_fleet_internal.h"

struct fake_job_record *
fake_job_record_find(fake_fleet *deployment, const char *id)
{
    return g_hash_table_lookup(deployment->jobs, id);
}

static const cs_job_step *
find_step(const struct fake_job_record *record, const struct fake_run *run)
{
    return &record->job.spec.steps[run->step];
}

/* Checks that no other run of the task exists on any worker. */
static void
check_single_run(fake_fleet *deployment,
                 const struct fake_fleet_worker *worker,
                 const struct fake_run *run)
{
    uint32_t i;
    guint k;

    for (i = 0; i < deployment->worker_count; i++) {
        const struct fake_fleet_worker *other = &deployment->workers[i];

        for (k = 0; k < other->runs->len; k++) {
            const struct fake_run *other_run =
                g_ptr_array_index(other->runs, k);

            if (other_run != run && strcmp(other_run->task, run->task) == 0)
                fake_record_violation(
                    deployment,
                    "duplicate run: %s run %u on %s (epoch %" G_GUINT64_FORMAT
                    ") while run %u is on %s (epoch %" G_GUINT64_FORMAT
                    ", started at %.3f s)",
                    run->task, run->run, worker->id, run->epoch,
                    other_run->run, other->id, other_run->epoch,
                    (double)other_run->started_us / CS_SEC_US);
        }
    }
}

/* Checks that the runs on a worker fit its accelerators. */
static void
check_capacity(fake_fleet *deployment, const struct fake_fleet_worker *worker)
{
    int64_t total = 0;
    guint k;

    for (k = 0; k < worker->runs->len; k++) {
        const struct fake_run *other_run = g_ptr_array_index(worker->runs, k);
        const struct fake_job_record *record =
            fake_job_record_find(deployment, other_run->job);

        total += find_step(record, other_run)->demand.accelerators;
    }
    if (total > FAKE_WORKER_ACCELERATORS)
        fake_record_violation(deployment,
                              "capacity: runs on %s use %d accelerators",
                              worker->id, (int)total);
}

/* Checks that the predecessors of the run's step are done. */
static void
check_dependencies(fake_fleet *deployment,
                   const struct fake_job_record *record,
                   const struct fake_run *run)
{
    const cs_job_step *step = find_step(record, run);
    uint32_t step_index;
    uint32_t i;

    for (step_index = 0; step_index < run->step; step_index++) {
        if (!(step->predecessors >> step_index & 1))
            continue;
        for (i = 0; i < record->job.spec.steps[step_index].task_count; i++) {
            char name[64];

            g_snprintf(name, sizeof(name), "%s.0.%u.%u", run->job, step_index,
                       i);
            if (!g_hash_table_contains(record->done_tasks, name))
                fake_record_violation(
                    deployment, "dependency: %s started before %s was done",
                    run->task, name);
        }
    }
}

/* Checks that the zone of the worker is not evacuated. */
static void
check_evacuation(fake_fleet *deployment,
                 const struct fake_fleet_worker *worker,
                 const struct fake_run *run, int64_t ordered_us)
{
    uint32_t zone = fake_worker_zone(worker);
    int64_t evacuated_us = deployment->evacuated_us[zone];

    deployment->zone_starts[zone]++;
    if (evacuated_us >= 0 &&
        ordered_us - evacuated_us > FAKE_EVACUATE_MS * CS_MS_US)
        fake_record_violation(
            deployment,
            "evacuation: %s run %u started on %s %.3f s after the evacuation "
            "of its zone",
            run->task, run->run, worker->id,
            (double)(ordered_us - evacuated_us) / CS_SEC_US);
}

void
fake_count_task(GHashTable *counts, const char *task)
{
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, task));

    g_hash_table_insert(counts, g_strdup(task), GUINT_TO_POINTER(count + 1));
}

/* Returns the failed runs of a task that count towards its attempts. Those
   whose end a worker lost before it was acknowledged do not: nobody else may
   know of them. */
static guint
count_acknowledgeable_failures(const struct fake_job_record *record,
                               const char *task)
{
    return GPOINTER_TO_UINT(
               g_hash_table_lookup(record->failure_counts, task)) -
           GPOINTER_TO_UINT(
               g_hash_table_lookup(record->lost_failure_counts, task));
}

void
fake_check_start(fake_fleet *deployment, struct fake_fleet_worker *worker,
                 const struct fake_run *run, int64_t ordered_us)
{
    struct fake_job_record *record =
        fake_job_record_find(deployment, run->job);

    if (!record) {
        fake_record_violation(
            deployment,
            "unknown job: %s started, but its job was never submitted",
            run->task);
        return;
    }
    record->start_count++;
    if (g_hash_table_contains(record->done_tasks, run->task) &&
        !g_hash_table_contains(record->lost_results, run->task))
        fake_record_violation(
            deployment,
            "duplicate run: %s run %u on %s (epoch %" G_GUINT64_FORMAT
            ") started after run %u was done",
            run->task, run->run, worker->id, run->epoch,
            GPOINTER_TO_UINT(
                g_hash_table_lookup(record->done_tasks, run->task)));
    if (count_acknowledgeable_failures(record, run->task) >= FAKE_MAX_ATTEMPTS)
        fake_record_violation(
            deployment,
            "retry budget: %s run %u started after all attempts failed",
            run->task, run->run);
    check_evacuation(deployment, worker, run, ordered_us);
    check_single_run(deployment, worker, run);
    check_capacity(deployment, worker);
    check_dependencies(deployment, record, run);
}

void
fake_check_end(fake_fleet *deployment, struct fake_fleet_worker *worker,
               const struct fake_run *run, cs_run_outcome outcome)
{
    struct fake_job_record *record =
        fake_job_record_find(deployment, run->job);

    if (!record)
        return;
    if (outcome == CS_OUTCOME_DONE) {
        g_hash_table_insert(record->done_tasks, g_strdup(run->task),
                            GUINT_TO_POINTER(run->run));
    }
    else if (outcome == CS_OUTCOME_FAILED) {
        fake_count_task(record->failure_counts, run->task);
    }
}

void
fake_check_job(fake_fleet *deployment, const GByteArray *value)
{
    fake_job job = {0};
    struct fake_job_record *record;

    if (cs_job_spec_decode(&job.spec, value->data, value->len)) {
        fake_record_violation(deployment, "job row cannot be decoded");
        return;
    }
    /* A tombstone is not a job. */
    if (job.spec.tombstone) {
        cs_job_spec_dispose(&job.spec);
        return;
    }
    record = fake_job_record_find(deployment, job.spec.id);
    if (record) {
        record->cancelled = record->cancelled || job.spec.cancelled;
        cs_job_spec_dispose(&job.spec);
        return;
    }
    job.run_ms = job.spec.steps[0].estimate_ms;
    fake_job_record_add(deployment, &job);
}

static uint32_t
count_tasks(const cs_job_spec *spec)
{
    uint32_t total = 0;
    uint32_t step_index;

    for (step_index = 0; step_index < spec->step_count; step_index++)
        total += spec->steps[step_index].task_count;
    return total;
}

/* Returns the failed runs of all tasks of a job. */
static guint
count_failures(const struct fake_job_record *record)
{
    guint count = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, record->failure_counts);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        count += GPOINTER_TO_UINT(value);
    return count;
}

void
fake_check_progress(fake_fleet *deployment, const char *id,
                    const GByteArray *value)
{
    const struct fake_job_record *record;
    cs_job_progress progress;
    char job[CS_JOB_ID_BYTES];
    bool is_first_row = strlen(id) == CS_JOB_ID_BYTES - 1;

    g_strlcpy(job, id, sizeof(job));
    record = fake_job_record_find(deployment, job);
    if (!record) {
        fake_record_violation(deployment,
                              "unknown job: progress written for %s", id);
        return;
    }
    if (cs_job_progress_decode(&progress, value->data, value->len)) {
        fake_record_violation(deployment,
                              "progress row of %s cannot be decoded", id);
        return;
    }
    if (!is_first_row) {
        cs_job_progress_dispose(&progress);
        return;
    }
    if (progress.state == CS_PROGRESS_COMPLETED &&
        g_hash_table_size(record->done_tasks) < count_tasks(&record->job.spec))
        fake_record_violation(
            deployment, "incomplete: %s completed with %u of %u tasks done",
            id, g_hash_table_size(record->done_tasks),
            count_tasks(&record->job.spec));
    if (progress.state == CS_PROGRESS_CANCELLED && !record->cancelled)
        fake_record_violation(
            deployment, "lost job: %s is cancelled without a cancel request",
            id);
    if (progress.state == CS_PROGRESS_FAILED &&
        count_failures(record) < deployment->min_attempts)
        fake_record_violation(
            deployment, "lost job: %s is failed after %u of %u attempts", id,
            count_failures(record), deployment->min_attempts);
    cs_job_progress_dispose(&progress);
}
