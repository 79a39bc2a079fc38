/* JSON descriptions of the process, the cell and its jobs for operators. */
#include "ledger.h"
#include "reserve.h"

#include <math.h>

static const char *
tenure_name(tenure_state tenure)
{
    switch (tenure) {
    case TENURE_FOLLOWING:
        return "following";
    case TENURE_ACQUIRING:
        return "taking";
    case TENURE_LOADING:
        return "loading";
    case TENURE_HOLDING:
        return "holding";
    }
    return "following";
}

static json_t *
worker_status(const cs_fleet *fleet, const struct worker *worker)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    return json_pack(
        "{s:s,s:s,s:b,s:b,s:b,s:b,s:i,s:I,s:I,s:f}", "id", worker->id, "zone",
        worker->zone, "listed", worker->listed, "draining", worker->draining,
        "evacuated", start_gate_is_closed_at(fleet, worker), "usable",
        worker_is_usable(fleet, worker), "tasks", (int)worker->tasks->len,
        "used", (json_int_t)worker->used.accelerators, "answered_ms_ago",
        (json_int_t)((now_us - worker->last_answer_us) / CS_MS_US),
        "log_speed", worker->speed.log_speed);
}

static json_t *
list_workers(const cs_fleet *fleet)
{
    json_t *list = json_array();
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (worker->listed || worker->tasks->len > 0)
            json_array_append_new(list, worker_status(fleet, worker));
    }
    return list;
}

json_t *
cs_fleet_status(const cs_fleet *fleet)
{
    const cs_fleet_state *state = fleet->state;
    int64_t now_us = fleet_now(fleet).boot_us;

    return json_pack(
        "{s:s,s:s,s:s,s:I,s:s,s:I,s:I,s:b,s:i,s:i,s:i,s:I,s:I,s:b,s:o,s:o,s:o,"
        "s:o,s:o*}",
        "vm", state->settings.name, "zone", state->settings.zone, "tenure",
        tenure_name(fleet->tenure), "epoch", (json_int_t)state->cell.epoch,
        "holder", state->cell.holder, "config",
        (json_int_t)(state->config ? state->config->version : 0),
        "store_answered_ms_ago",
        (json_int_t)((now_us - state->last_store_answer_us) / CS_MS_US),
        "draining", state->draining, "active_jobs",
        (int)fleet->active_jobs->len, "ended_jobs",
        (int)fleet->final_jobs->len, "unrecorded_jobs",
        (int)g_queue_get_length((GQueue *)&fleet->dirty_rows),
        "jobs_without_queue",
        (json_int_t)*cs_fleet_state_counter(state, "cs_jobs_without_queue"),
        "urgent_accelerators", (json_int_t)fleet->headroom.used_accelerators,
        "starts_held", fleet->starts_held, "evacuations",
        cs_evacuations_status(state->evacuations, now_us), "workers",
        list_workers(fleet), "organisations", ledger_list_organisations(fleet),
        "zones", ledger_list_zones(fleet), "forecast", forecast_status(fleet));
}

static const char *
task_state_name(task_state state)
{
    switch (state) {
    case TASK_WAITING:
        return "waiting";
    case TASK_PLANNED:
    case TASK_RECORDING:
        return "being recorded";
    case TASK_STARTING:
        return "starting";
    case TASK_RUNNING:
        return "running";
    case TASK_STOPPING:
        return "stopping";
    case TASK_DONE:
        return "done";
    }
    return "waiting";
}

static json_t *
task_status(const struct task *task)
{
    char name[TASK_NAME_BYTES];

    task_name(name, task);
    return json_pack("{s:s,s:s,s:i,s:i,s:s,s:I}", "task", name, "state",
                     task_state_name(task->state), "run", (int)task->run,
                     "failures", (int)task->failures, "worker",
                     task->worker ? task->worker->id : "", "percent",
                     (json_int_t)task->progress_percent);
}

static const char *
step_reason(const cs_fleet *fleet, const struct job *job,
            const struct step *step)
{
    uint32_t i;

    if (step->waiting_count == 0)
        return "every task is placed or done";
    for (i = 0; i < step->spec->task_count; i++) {
        if (step->tasks[i].state == TASK_WAITING &&
            unwanted_holds(fleet, &step->tasks[i]))
            return "a worker still lists a run that is being stopped";
        if (step->tasks[i].state == TASK_WAITING &&
            unsettled_holds(fleet, &step->tasks[i]))
            return "a worker may still carry out a late start";
    }
    if (!job_queue(fleet, job))
        return "the configuration does not have its queue";
    if (!job_step_is_ready(job, step))
        return "an earlier step is not done";
    if (fleet->starts_held)
        return "starts are held, as the evacuated zones are not known";
    if (step->reserved_workers)
        return "others are being stopped for it";
    if (step->exceeds_racks)
        return "no rack could hold it; waits for workers in several";
    return "no room on usable workers";
}

static json_t *
preemption_status(const cs_preempt_record *record)
{
    return json_pack("{s:i,s:s,s:f,s:f,s:I}", "stops", (int)record->stops,
                     "verdict", cs_preempt_verdict_name(record->verdict),
                     "loss", record->loss, "gain", record->gain, "wait_ms",
                     isinf(record->wait_s)
                         ? (json_int_t)-1
                         : (json_int_t)(record->wait_s * 1000.0));
}

static json_t *
step_status(const cs_fleet *fleet, const struct job *job,
            const struct step *step)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    json_t *tasks = json_array();
    char *reason = NULL;
    json_t *reservation = reserve_status(fleet, step, &reason);
    json_t *status;
    uint32_t i;

    for (i = 0; i < step->spec->task_count; i++)
        json_array_append_new(tasks, task_status(&step->tasks[i]));
    status = json_pack(
        "{s:i,s:i,s:s,s:I,s:o,s:o}", "occurrence", (int)step->occurrence,
        "step", (int)step->number, "reason",
        reason ? reason : step_reason(fleet, job, step), "waited_ms",
        (json_int_t)(step->ready_us ? (now_us - step->ready_us) / CS_MS_US
                                    : 0),
        "preemption", preemption_status(&step->preemption), "tasks", tasks);
    if (reservation)
        json_object_set_new(status, "reservation", reservation);
    g_free(reason);
    return status;
}

json_t *
cs_fleet_explain(const cs_fleet *fleet, const char *id)
{
    const struct job *job = g_hash_table_lookup(fleet->jobs, id);
    json_t *steps;
    uint32_t i;

    if (!job)
        return NULL;
    steps = json_array();
    for (i = 0; i < job_total_steps(job); i++) {
        if (job->steps[i])
            json_array_append_new(steps,
                                  step_status(fleet, job, job->steps[i]));
    }
    return json_pack("{s:s,s:s,s:s,s:i,s:b,s:o}", "id", job->spec.id, "queue",
                     job->spec.queue, "organisation", job->spec.organisation,
                     "state", (int)job->state, "recorded",
                     progress_is_recorded(job), "steps", steps);
}
