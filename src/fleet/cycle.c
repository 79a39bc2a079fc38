/*
 * One turn of decisions: where the tasks of waiting steps go. Each step finds
 * room, or others are stopped for it, or it waits.
 */
#include "cycle_internal.h"

#include <math.h>

/* Room that stops make is kept this long for the step that claimed it. */
#define CLAIM_US (2500 * CS_MS_US)
/* Searches for victims in one turn; the next turn goes on. */
#define MAX_SEARCHES 4
/* The room counts as idle while about half of it is and no jobs come that
   would take it: the rules look at it from 14 s after the last submission. */
#define IDLE_USE_MAX 0.55
#define IDLE_CALM_MS 8000

/* Adds up what is there and what is free of it. */
struct room {
    cs_demand all;
    cs_demand free;
};

static double
share_used(int64_t all, int64_t free)
{
    return all > 0 ? 1.0 - (double)free / (double)all : 1.0;
}

/* Use of the resource that is used least. */
static double
least_use(const struct room *room)
{
    double use = share_used(room->all.accelerators, room->free.accelerators);

    use = MIN(use, share_used(room->all.cpu_milli, room->free.cpu_milli));
    return MIN(use, share_used(room->all.memory_mb, room->free.memory_mb));
}

static void
build_cell(struct turn *turn)
{
    cs_fleet *fleet = turn->fleet;
    struct room room = {{0}, {0}};
    guint i;

    turn->cell.worker_count = fleet->worker_list->len;
    turn->cell.rack_count = g_hash_table_size(fleet->racks);
    turn->cell.workers = g_new0(cs_fit_worker, fleet->worker_list->len + 1);
    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);
        cs_fit_worker *fit = &turn->cell.workers[i];

        fit->capacity = worker->capacity;
        fit->free = worker->capacity;
        cs_demand_subtract(&fit->free, &worker->used);
        fit->rack = worker->rack;
        fit->labels = worker->labels;
        fit->speed = exp(worker->speed.log_speed);
        fit->usable = worker_is_usable(fleet, worker);
        if (!fit->usable)
            continue;
        cs_demand_add(&room.all, &fit->capacity);
        cs_demand_add(&room.free, &fit->free);
    }
    cs_fit_cell_index(&turn->cell);
    turn->urgent_racks = cs_headroom_racks(&fleet->headroom, &turn->cell);
    if (room.all.accelerators > 0)
        turn->use = share_used(room.all.accelerators, room.free.accelerators);
    turn->idle =
        turn->now.wall_us / CS_MS_US - fleet->submitted_ms >= IDLE_CALM_MS &&
        least_use(&room) < IDLE_USE_MAX;
}

void
turn_apply_claim(struct turn *turn, const struct step *step, bool keep)
{
    uint32_t i;

    for (i = 0; step->claim && i < step->spec->task_count; i++) {
        cs_demand *free = &turn->cell.workers[step->claim[i]].free;

        if (keep)
            cs_demand_subtract(free, &step->spec->demand);
        else
            cs_demand_add(free, &step->spec->demand);
    }
}

static void
drop_claim(struct step *step)
{
    g_free(step->claim);
    step->claim = NULL;
}

static void
keep_claims(struct turn *turn)
{
    guint i;

    for (i = 0; i < turn->candidates->len; i++) {
        struct step *step =
            g_array_index(turn->candidates, struct candidate, i).step;

        if (!step->claim)
            continue;
        if (turn->now.boot_us - step->claim_us > CLAIM_US)
            drop_claim(step);
        else
            turn_apply_claim(turn, step, true);
    }
}

static void
assign(struct turn *turn, struct step *step, const uint32_t *workers,
       uint32_t count)
{
    cs_fleet *fleet = turn->fleet;
    uint32_t run = step_next_run(step);
    uint32_t placed = 0;
    uint32_t i;

    for (i = 0; i < step->spec->task_count && placed < count; i++) {
        struct task *task = &step->tasks[i];

        if (task->state != TASK_WAITING)
            continue;
        task_place(fleet, task,
                   g_ptr_array_index(fleet->worker_list, workers[placed++]),
                   step->spec->gang ? run : task->run + 1);
    }
    if (step->job->state == CS_PROGRESS_QUEUED)
        step->job->state = CS_PROGRESS_RUNNING;
    cs_counters_observe_ms(fleet->board->counters, "cs_step_wait_ms",
                           (turn->now.boot_us - step->ready_us) / CS_MS_US);
    job_set_dirty(fleet, step->job);
    cs_log_event("step-placed",
                 "job %s step %u.%u: %u of %u tasks, waited %" PRId64 " ms",
                 step->job->spec.id, step->occurrence, step->number, count,
                 step->spec->task_count,
                 (turn->now.boot_us - step->ready_us) / CS_MS_US);
}

static bool
is_harder(const cs_fit_request *request, const cs_fit_request *failed)
{
    if (failed->present || failed->avoid != CS_FIT_ANY ||
        failed->labels != request->labels ||
        failed->kept_racks < request->kept_racks ||
        (failed->data_rack != CS_FIT_ANY &&
         failed->data_rack != request->data_rack))
        return false;
    if (failed->whole && (!request->whole || request->count < failed->count))
        return false;
    if (failed->same_rack && !request->same_rack)
        return false;
    return cs_demand_fits(&failed->demand, &request->demand);
}

/* Whether something easier has found no room in this turn. */
static bool
is_hopeless(const struct turn *turn, const cs_fit_request *request)
{
    guint i;

    for (i = 0; i < turn->failed->len; i++) {
        if (is_harder(request,
                      &g_array_index(turn->failed, cs_fit_request, i)))
            return true;
    }
    return false;
}

static void
try_candidate(struct turn *turn, const struct candidate *candidate)
{
    struct step *step = candidate->step;
    cs_fit_request request;
    uint32_t *workers = g_new(uint32_t, step->spec->task_count);
    bool claimed = step->claim != NULL;
    uint32_t placed;

    turn_make_request(turn, candidate, &request);
    if (claimed)
        turn_apply_claim(turn, step, false);
    placed = 0;
    if (!is_hopeless(turn, &request))
        placed = cs_fit_place(workers, &turn->cell, &request);
    if (placed == 0 && !claimed && !request.allowed)
        g_array_append_val(turn->failed, request);
    if (placed > 0) {
        drop_claim(step);
        assign(turn, step, workers, placed);
    }
    else if (claimed) {
        turn_apply_claim(turn, step, true);
    }
    else if (candidate->queue->priority == 0 &&
             (candidate->claims || !candidate->late) &&
             step->waiting == step->spec->task_count &&
             turn->searches++ < MAX_SEARCHES) {
        turn_preempt(turn, candidate, &request);
    }
    if (request.allowed && step->waiting > 0)
        turn_ask_for_advice(turn, candidate, &request);
    turn_free_request(&request);
    g_free(workers);
}

void
turn_run(cs_fleet *fleet)
{
    struct turn turn = {.fleet = fleet, .now = fleet_now(fleet)};
    guint i;

    fleet->turn_wanted = false;
    if (!fleet->board->config)
        return;
    turn.candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    turn.failed = g_array_new(FALSE, FALSE, sizeof(cs_fit_request));
    turn.claimed =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    build_cell(&turn);
    turn_gather(&turn);
    keep_claims(&turn);
    for (i = 0; i < turn.candidates->len; i++)
        try_candidate(&turn,
                      &g_array_index(turn.candidates, struct candidate, i));
    cs_fit_cell_unindex(&turn.cell);
    g_free(turn.cell.workers);
    g_array_free(turn.failed, TRUE);
    g_array_free(turn.candidates, TRUE);
    g_hash_table_destroy(turn.claimed);
}
