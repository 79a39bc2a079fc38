/*
 * Runs that workers list and that the holder does not want there. Each is
 * stopped, which takes a while. Until a later answer of the worker does not
 * list it any more, its leases have surely ended or the worker is another
 * incarnation, its task is not started elsewhere. That holds whatever the
 * reason that the holder does not know the run.
 */
#include "fleet_internal.h"

/* What the unwanted runs of a task amount to, on all workers. */
struct unwanted_task {
    uint32_t count;
    uint32_t highest_run;
};

GHashTable *
unwanted_tasks_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
raise_listed_run(struct task *task, uint32_t run)
{
    if (task)
        task->highest_listed_run = MAX(task->highest_listed_run, run);
}

static struct unwanted_run *
find_run(const struct worker *worker, const char *name, uint32_t run)
{
    guint i;

    for (i = 0; i < worker->unwanted_runs->len; i++) {
        struct unwanted_run *unwanted =
            &g_array_index(worker->unwanted_runs, struct unwanted_run, i);

        if (unwanted->run == run && strcmp(unwanted->task, name) == 0)
            return unwanted;
    }
    return NULL;
}

static struct unwanted_run *
add_run(cs_fleet *fleet, struct worker *worker, const char *name, uint32_t run)
{
    struct unwanted_run added = {.run = run};
    struct unwanted_task *task;

    g_strlcpy(added.task, name, sizeof(added.task));
    g_array_append_val(worker->unwanted_runs, added);
    task = g_hash_table_lookup(fleet->unwanted_tasks, added.task);
    if (!task) {
        task = g_new0(struct unwanted_task, 1);
        g_hash_table_insert(fleet->unwanted_tasks, g_strdup(added.task), task);
    }
    task->count++;
    task->highest_run = MAX(task->highest_run, run);
    return &g_array_index(worker->unwanted_runs, struct unwanted_run,
                          worker->unwanted_runs->len - 1);
}

static void
remove_run(cs_fleet *fleet, struct worker *worker, guint index)
{
    const struct unwanted_run *run =
        &g_array_index(worker->unwanted_runs, struct unwanted_run, index);
    struct unwanted_task *task =
        g_hash_table_lookup(fleet->unwanted_tasks, run->task);

    if (--task->count == 0)
        g_hash_table_remove(fleet->unwanted_tasks, run->task);
    g_array_remove_index_fast(worker->unwanted_runs, index);
    fleet->cycle_requested = true;
}

void
unwanted_note(cs_fleet *fleet, struct worker *worker, const char *name,
              uint32_t run)
{
    struct unwanted_run *unwanted = find_run(worker, name, run);

    if (unwanted) {
        fleet_increment_counter(fleet, "cs_runs_unknown_repeated_total");
        unwanted->repeats++;
    }
    else {
        unwanted = add_run(fleet, worker, name, run);
    }
    unwanted->seen_us = fleet_now(fleet).boot_us;
    raise_listed_run(job_find_task(fleet, name), run);
    run_log_unwanted(fleet, worker, unwanted);
}

void
unwanted_forget(cs_fleet *fleet, struct worker *worker, int64_t sent_us)
{
    guint i = 0;

    while (i < worker->unwanted_runs->len) {
        if (g_array_index(worker->unwanted_runs, struct unwanted_run, i)
                .seen_us <= sent_us)
            remove_run(fleet, worker, i);
        else
            i++;
    }
}

void
unwanted_end_all(cs_fleet *fleet, struct worker *worker, const char *reason)
{
    if (worker->unwanted_runs->len == 0)
        return;
    cs_log_event("runs-unknown-ended", "worker %s/%" PRIu64 ": %u runs, %s",
                 worker->id, worker->incarnation_ms,
                 worker->unwanted_runs->len, reason);
    unwanted_forget(fleet, worker, INT64_MAX);
}

bool
unwanted_holds(const cs_fleet *fleet, const struct task *task)
{
    char name[TASK_NAME_BYTES];

    if (g_hash_table_size(fleet->unwanted_tasks) == 0)
        return false;
    task_name(name, task);
    return g_hash_table_contains(fleet->unwanted_tasks, name);
}

GPtrArray *
unwanted_hold_tasks(cs_fleet *fleet)
{
    GPtrArray *held = g_ptr_array_new();
    GHashTableIter iter;
    gpointer name;
    gpointer value;

    g_hash_table_iter_init(&iter, fleet->unwanted_tasks);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const struct unwanted_task *unwanted = value;
        struct task *task = job_find_task(fleet, name);

        /* The job may have become known after its run. */
        raise_listed_run(task, unwanted->highest_run);
        if (!task || task->state != TASK_WAITING)
            continue;
        task->held = true;
        task->step->waiting_count--;
        g_ptr_array_add(held, task);
    }
    return held;
}

void
unwanted_release_tasks(GPtrArray *held)
{
    guint i;

    for (i = 0; i < held->len; i++) {
        struct task *task = g_ptr_array_index(held, i);

        task->held = false;
        task->step->waiting_count++;
    }
    g_ptr_array_free(held, TRUE);
}
