/*
 * Preemption: stops work of lower priority for a step and reserves the
 * capacity for the step that this frees.
 */
#include "cycle_internal.h"

#include <math.h>

/* Maximum core-seconds lost to preemption for a step outside guarantees. */
#define UNGUARANTEED_LOSS_MAX 500.0
/* For a step within a guarantee the maximum loss, in core-seconds, grows with
   its wait, as cheaper capacity may become free at first. After a while there
   is no limit. */
#define GUARANTEED_LOSS_INITIAL 400.0
#define GUARANTEED_LOSS_PER_S 800.0
#define GUARANTEED_UNLIMITED_AFTER_US (1300 * CS_MS_US)
#define MAX_VICTIMS 4096

/* Returns the loss if the task were stopped; a gang is stopped as a whole. */
static double
group_loss(const struct cycle *cycle, const struct task *task)
{
    const struct step *step = task->step;
    double sum = 0;
    uint32_t i;

    if (!step->spec->gang)
        return task_stop_loss(cycle->fleet, task, cycle->now.boot_us);
    for (i = 0; i < step->spec->task_count; i++)
        sum +=
            task_stop_loss(cycle->fleet, &step->tasks[i], cycle->now.boot_us);
    return sum;
}

static bool
is_preemptible(const struct cycle *cycle, const struct task *task,
               uint32_t priority)
{
    const struct step *step = task->step;
    const cs_queue_config *queue = cs_fleet_config_queue(
        cycle->fleet->state->config, step->job->spec.queue);

    return task->state == TASK_RUNNING && queue &&
           queue->priority > priority && !step->spec->perpetual &&
           !job_is_final(step->job);
}

/* The tasks that may be preempted. */
struct victims {
    GArray *entries;    /* of cs_binpack_victim */
    GPtrArray *tasks;   /* of struct task, parallel to entries */
    GHashTable *groups; /* struct step of a gang to group number + 1 */
    uint32_t next_group;
};

static uint32_t
group_number(struct victims *victims, const struct task *task)
{
    guint number;

    if (!task->step->spec->gang)
        return victims->next_group++;
    number =
        GPOINTER_TO_UINT(g_hash_table_lookup(victims->groups, task->step));
    if (number == 0) {
        number = ++victims->next_group;
        g_hash_table_insert(victims->groups, task->step,
                            GUINT_TO_POINTER(number));
    }
    return number - 1;
}

static void
collect_victims(struct cycle *cycle, struct victims *victims,
                uint32_t priority)
{
    cs_fleet *fleet = cycle->fleet;
    guint i;
    guint k;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        for (k = 0; k < worker->tasks->len; k++) {
            struct task *task = g_ptr_array_index(worker->tasks, k);
            cs_binpack_victim victim = {.worker = i,
                                        .demand = task->step->spec->demand};

            if (victims->entries->len >= MAX_VICTIMS ||
                !is_preemptible(cycle, task, priority))
                continue;
            victim.group = group_number(victims, task);
            victim.loss = group_loss(cycle, task);
            g_array_append_val(victims->entries, victim);
            g_ptr_array_add(victims->tasks, task);
        }
    }
}

static double
total_loss(const struct victims *victims, const uint32_t *groups,
           int32_t count)
{
    double sum = 0;
    int32_t i;
    guint k;

    for (i = 0; i < count; i++) {
        for (k = 0; k < victims->entries->len; k++) {
            const cs_binpack_victim *victim =
                &g_array_index(victims->entries, cs_binpack_victim, k);

            if (victim->group == groups[i]) {
                sum += victim->loss;
                break;
            }
        }
    }
    return sum;
}

static void
stop_groups(struct cycle *cycle, const struct victims *victims,
            const uint32_t *groups, int32_t count)
{
    int32_t i;
    guint k;

    for (i = 0; i < count; i++) {
        for (k = 0; k < victims->entries->len; k++) {
            struct task *task = g_ptr_array_index(victims->tasks, k);

            if (g_array_index(victims->entries, cs_binpack_victim, k).group ==
                groups[i])
                run_stop(cycle->fleet, task);
        }
    }
}

static double
loss_limit(const struct cycle *cycle, const struct candidate *candidate)
{
    int64_t waited_us = cycle->now.boot_us - candidate->step->ready_us;

    if (!candidate->guaranteed)
        return UNGUARANTEED_LOSS_MAX;
    if (waited_us >= GUARANTEED_UNLIMITED_AFTER_US)
        return INFINITY;
    return GUARANTEED_LOSS_INITIAL +
           GUARANTEED_LOSS_PER_S * (double)waited_us / (double)CS_SEC_US;
}

void
cycle_preempt(struct cycle *cycle, const struct candidate *candidate,
              const cs_binpack_request *request)
{
    struct step *step = candidate->step;
    struct victims victims = {
        .entries = g_array_new(FALSE, FALSE, sizeof(cs_binpack_victim)),
        .tasks = g_ptr_array_new(),
        .groups = g_hash_table_new(g_direct_hash, g_direct_equal)};
    uint32_t *groups;
    uint32_t *workers = g_new(uint32_t, step->spec->task_count);
    int32_t count;
    double loss;

    collect_victims(cycle, &victims, candidate->queue->priority);
    groups = g_new(uint32_t, victims.entries->len + 1);
    count = cs_binpack_preempt(
        groups, workers, &cycle->cell, request,
        (const cs_binpack_victim *)(void *)victims.entries->data,
        victims.entries->len);
    loss = total_loss(&victims, groups, count);
    if (count > 0 && loss <= loss_limit(cycle, candidate)) {
        cs_log_event("preempt",
                     "job %s step %u.%u stops %d groups, %.0f core-seconds, "
                     "%s",
                     step->job->spec.id, step->occurrence, step->number, count,
                     loss, candidate->guaranteed ? "guaranteed" : "priority");
        fleet_increment_counter(cycle->fleet, "cs_preemptions_total");
        stop_groups(cycle, &victims, groups, count);
        step->reserved_workers = workers;
        step->reserved_us = cycle->now.boot_us;
        workers = NULL;
        cycle_apply_reservation(cycle, step, true);
    }
    g_free(workers);
    g_free(groups);
    g_array_free(victims.entries, TRUE);
    g_ptr_array_free(victims.tasks, TRUE);
    g_hash_table_destroy(victims.groups);
}
