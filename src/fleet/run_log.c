/*
 * Log lines that tell which runs a holder has started and adopted, why it does
 * not want a run that a worker lists, and why it considers a run ended. Runs
 * that follow one another on a worker share an entry, and entries a line.
 */
#include "fleet_internal.h"

/* A line of the log holds 511 bytes, of which the header of this one takes up
   to 120 and a further entry up to 110. */
#define ENTRIES_BYTES_MAX 270
/* Interval between lines about the same unwanted run. */
#define REPEAT_INTERVAL_US (2 * CS_SEC_US)

typedef bool (*task_filter)(const struct task *task);

static uint64_t
record_version(const struct task *task)
{
    const struct job *job = task->step->job;

    return job->rows[(task->step->first_task + task->index) / job->row_tasks]
        .version;
}

/* Returns whether both tasks fit into one entry. */
static bool
share_an_entry(const struct task *first, const struct task *second)
{
    return first->worker == second->worker && first->run == second->run &&
           record_version(first) == record_version(second);
}

static void
append_entry(GString *entries, const struct task *first,
             const struct task *last)
{
    g_string_append_printf(entries, "%s%u", entries->len ? ", " : "",
                           first->index);
    if (last != first)
        g_string_append_printf(entries, "-%u", last->index);
    g_string_append_printf(entries, " run %u on %s/%" PRIu64, first->run,
                           first->worker->id, first->worker->incarnation_ms);
}

static void
write_entries(const cs_fleet *fleet, const char *event,
              const struct step *step, uint64_t version, GString *entries)
{
    cs_log_event(event,
                 "job %s step %u.%u epoch %" PRIu64 " record %" PRIu64
                 ": tasks %s",
                 step->job->spec.id, step->occurrence, step->number,
                 fleet->epoch, version, entries->str);
    g_string_set_size(entries, 0);
}

/* Logs the tasks of a step that pass a filter. */
static void
log_tasks(const cs_fleet *fleet, const char *event, const struct step *step,
          task_filter filter)
{
    GString *entries = g_string_new(NULL);
    uint64_t version = 0;
    uint32_t i = 0;

    while (i < step->spec->task_count) {
        const struct task *first = &step->tasks[i++];

        if (!filter(first))
            continue;
        while (i < step->spec->task_count && filter(&step->tasks[i]) &&
               share_an_entry(first, &step->tasks[i]))
            i++;
        if (entries->len > ENTRIES_BYTES_MAX ||
            (entries->len > 0 && version != record_version(first)))
            write_entries(fleet, event, step, version, entries);
        version = record_version(first);
        append_entry(entries, first, &step->tasks[i - 1]);
    }
    if (entries->len > 0)
        write_entries(fleet, event, step, version, entries);
    g_string_free(entries, TRUE);
}

static bool
is_about_to_start(const struct task *task)
{
    return task->state == TASK_RECORDING && task->recorded;
}

void
run_log_starts(const cs_fleet *fleet, const struct step *step)
{
    log_tasks(fleet, "runs-started", step, is_about_to_start);
}

static bool
is_adopted(const struct task *task)
{
    return task->adopted && task->worker;
}

static void
log_adopted(const cs_fleet *fleet, const GPtrArray *jobs)
{
    guint i;
    uint32_t k;

    for (i = 0; i < jobs->len; i++) {
        const struct job *job = g_ptr_array_index(jobs, i);

        for (k = 0; job->active_tasks > 0 && k < job_total_steps(job); k++) {
            if (job->steps[k])
                log_tasks(fleet, "runs-adopted", job->steps[k], is_adopted);
        }
    }
}

void
run_log_adopted(const cs_fleet *fleet)
{
    log_adopted(fleet, fleet->active_jobs);
    log_adopted(fleet, fleet->final_jobs);
}

static const char *
describe_mismatch(const struct task *task, const struct worker *worker,
                  uint32_t run)
{
    if (!task)
        return "no such task";
    if (task->run != run)
        return "another run is the newest";
    if (!task->worker)
        return "the task is on no worker";
    return task->worker == worker ? "the task is done by another run"
                                  : "the task is on another worker";
}

static const char *
state_name(task_state state)
{
    static const char *const names[] = {[TASK_WAITING] = "waiting",
                                        [TASK_PLANNED] = "planned",
                                        [TASK_RECORDING] = "recording",
                                        [TASK_STARTING] = "starting",
                                        [TASK_RUNNING] = "running",
                                        [TASK_STOPPING] = "stopping",
                                        [TASK_DONE] = "done"};

    return names[state];
}

static char *
describe_task(const struct task *task)
{
    if (!task)
        return g_strdup("");
    return g_strdup_printf(
        "; the task is %s%s, newest run %u, worker %s, record %" PRIu64,
        state_name(task->state), task->adopted ? " (adopted)" : "", task->run,
        task->worker ? task->worker->id : "none", record_version(task));
}

static void
write_unwanted(cs_fleet *fleet, const struct worker *worker,
               const struct unwanted_run *unwanted)
{
    const struct task *task = job_find_task(fleet, unwanted->task);
    char *now = describe_task(task);

    cs_log_event(
        "run-unknown",
        "task %s run %u worker %s/%" PRIu64 " is stopped, %s%s; epoch %" PRIu64
        " for %" PRId64 " ms, listed %u times before",
        unwanted->task, unwanted->run, worker->id, worker->incarnation_ms,
        describe_mismatch(task, worker, unwanted->run), now, fleet->epoch,
        (fleet_now(fleet).boot_us - fleet->acquire_sent_us) / CS_MS_US,
        unwanted->repeats);
    g_free(now);
}

void
run_log_unwanted(cs_fleet *fleet, const struct worker *worker,
                 struct unwanted_run *unwanted)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    if (unwanted->logged_us &&
        now_us - unwanted->logged_us < REPEAT_INTERVAL_US)
        return;
    unwanted->logged_us = now_us;
    write_unwanted(fleet, worker, unwanted);
}

void
run_log_end(const cs_fleet *fleet, const struct task *task, cs_run_outcome end,
            const char *reason)
{
    static const char *const end_names[] = {"done",   "failed", "stopped",
                                            "lapsed", "broken", "alone"};
    int64_t now_us = fleet_now(fleet).boot_us;
    char name[TASK_NAME_BYTES];

    if (end == CS_OUTCOME_DONE)
        return;
    task_name(name, task);
    cs_log_event("run-ended",
                 "task %s run %u worker %s %s at %" PRId64
                 "%%, %.0f core-seconds lost, queue %s, %s%s",
                 name, task->run, task->worker->id, end_names[end],
                 task->progress_percent, task_stop_loss(fleet, task, now_us),
                 task->step->job->spec.queue, reason,
                 task->adopted ? ", adopted" : "");
}
