/*
 * Where and when tasks may start: not in an evacuated zone, nowhere while an
 * evacuation may have been missed, not on a worker whose incarnation has not
 * answered, and not while a worker lists a run of the task that is not wanted
 * there, or may yet carry out a start of it (unsettled.c). Only starts are
 * held back. Running work goes on, its leases are extended and the cell is
 * kept.
 */
#include "fleet_internal.h"

/* Lower limit of the age at which the evacuations are too old to start tasks.
   The follower confirms them with each poll, and a poll takes up to 1.2 s. */
#define EVACUATIONS_AGE_MIN_US (1500 * CS_MS_US)

bool
start_gate_is_closed_at(const cs_fleet *fleet, const struct worker *worker)
{
    return cs_evacuations_contains(fleet->state->evacuations, worker->zone);
}

/* Returns whether the evacuations are known well enough. An order that is sent
   now may take effect until ORDER_TIMEOUT_US later. */
static bool
are_evacuations_current(const cs_fleet *fleet)
{
    const cs_evacuations *evacuations = fleet->state->evacuations;
    const cs_vm_bounds *bounds = &fleet->state->settings.bounds;
    int64_t max_age_us = bounds->evacuate_ms * CS_MS_US - ORDER_TIMEOUT_US;

    if (!bounds->evacuate_given)
        return cs_evacuations_is_known(evacuations);
    return cs_evacuations_is_current(evacuations, fleet_now(fleet).boot_us,
                                     MAX(max_age_us, EVACUATIONS_AGE_MIN_US));
}

bool
start_gate_is_open(cs_fleet *fleet)
{
    bool held = !are_evacuations_current(fleet);

    if (held && !fleet->starts_held) {
        cs_log_event("starts-held",
                     "the evacuations were not confirmed in time");
        fleet_increment_counter(fleet, "cs_starts_held_total");
    }
    else if (!held && fleet->starts_held) {
        cs_log_event("starts-resumed", "the evacuations are confirmed");
    }
    fleet->starts_held = held;
    return !held;
}

/* Returns whether the record was confirmed too late: the process was frozen,
   and a successor may have given up the run. */
static bool
is_overdue(const cs_fleet *fleet)
{
    return !extension_is_allowed(fleet);
}

/* Returns whether the worker has started anew since the run was placed. Until
   the new incarnation has answered, the end of a lease on its clock is not
   known, and it does not refuse the orders of former holders. */
static bool
has_started_anew(const struct worker *worker)
{
    return !worker->answered;
}

static bool
must_withhold(cs_fleet *fleet, const struct task *task)
{
    return task->state == TASK_RECORDING && task->recorded &&
           (is_overdue(fleet) || !start_gate_is_open(fleet) ||
            start_gate_is_closed_at(fleet, task->worker) ||
            has_started_anew(task->worker) || unwanted_holds(fleet, task) ||
            unsettled_holds(fleet, task));
}

static const char *
withhold_reason(const cs_fleet *fleet, const struct task *task)
{
    if (is_overdue(fleet))
        return "the lease was not renewed in time";
    if (fleet->starts_held)
        return "the evacuations were not confirmed in time";
    if (has_started_anew(task->worker))
        return "the worker's incarnation has not answered yet";
    if (start_gate_is_closed_at(fleet, task->worker))
        return task->worker->zone;
    if (unsettled_holds(fleet, task))
        return "a late start of the task may be carried out elsewhere";
    return unwanted_holds(fleet, task)
               ? "a worker lists another run of the task"
               : "another member of its gang is withheld";
}

/* Lets a recorded task wait again. Its run was never sent to a worker. */
static void
withhold_start(cs_fleet *fleet, struct task *task)
{
    char name[TASK_NAME_BYTES];

    task_name(name, task);
    cs_log_event("start-withheld", "task %s run %u worker %s, %s", name,
                 task->run, task->worker->id, withhold_reason(fleet, task));
    fleet_increment_counter(fleet, "cs_starts_withheld_total");
    task_release(fleet, task);
}

void
start_gate_release(cs_fleet *fleet, struct step *step)
{
    bool any = false;
    uint32_t i;

    if (job_is_final(step->job))
        return;
    for (i = 0; i < step->spec->task_count; i++)
        any = any || must_withhold(fleet, &step->tasks[i]);
    if (!any)
        return;
    for (i = 0; i < step->spec->task_count; i++) {
        struct task *task = &step->tasks[i];

        if (must_withhold(fleet, task) ||
            (step->spec->gang && task->state == TASK_RECORDING))
            withhold_start(fleet, task);
    }
    if (step->spec->gang)
        step_stop_members(fleet, step);
}
