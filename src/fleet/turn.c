/*
 * One turn of decisions: where the tasks of waiting steps go. Each step finds
 * room, or others are stopped for it, or it waits.
 */
#include "turn_internal.h"

#include <math.h>

/* Room that stops make is kept this long for the step that claimed it. */
#define CLAIM_US (2500 * CS_MS_US)
/* Searches for victims in one turn; the next turn goes on. */
#define MAX_SEARCHES 4
/* How long it counts whether a rack could hold a step at all. */
#define WIDE_AGAIN_US (5 * CS_SEC_US)
/* Room is kept for urgent work while so much of all is used. */
#define KEPT_USE_MIN 0.4
/* A rack of data is waited for as long as this many run times. */
#define FAR_PATIENCE 1.5
/* Nothing waits for a rack while about half of the room is idle and no jobs
   come that would take it: the rules allow 3 s under a half, from 14 s after
   the last submission. */
#define IDLE_USE_MAX 0.55
#define IDLE_PATIENCE_S 1.5
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

static uint32_t *
count_present(const struct turn *turn, const struct step *step)
{
    uint32_t *present;
    uint32_t i;

    if (step->spec->max_per_worker == 0)
        return NULL;
    present = g_new0(uint32_t, turn->cell.worker_count + 1);
    for (i = 0; i < step->spec->task_count; i++) {
        const struct task *task = &step->tasks[i];

        if (task->worker)
            present[task->worker->index]++;
    }
    return present;
}

static double
speed_weight(uint32_t priority)
{
    /* Urgent work takes fast workers and leaves slow ones to the rest. */
    switch (priority) {
    case 0:
        return 2.0;
    case 1:
        return 1.0;
    default:
        return -0.3;
    }
}

static uint32_t
find_avoid(const struct step *step)
{
    uint32_t i;

    for (i = 0; i < step->spec->task_count; i++) {
        const struct task *task = &step->tasks[i];

        if (task->state == TASK_WAITING && task->avoid)
            return task->avoid->index;
    }
    return CS_FIT_ANY;
}

static double
waited_seconds(const struct turn *turn, const struct step *step)
{
    return (double)(turn->now.boot_us - step->ready_us) / (double)CS_SEC_US;
}

/* Whether the step waits on for the rack that has its data. */
static bool
waits_for_data(const struct turn *turn, const struct step *step)
{
    double patience_s = FAR_PATIENCE * turn_step_seconds(turn->fleet, step);

    if (turn->idle)
        patience_s = MIN(patience_s, IDLE_PATIENCE_S);
    return waited_seconds(turn, step) < patience_s;
}

/* Whether no rack could hold the step, even if it were empty. */
static bool
is_wide(const struct turn *turn, struct step *step,
        const cs_fit_request *request)
{
    cs_fit_request possible = *request;
    bool *allowed = NULL;

    if (step->wide_us != 0 && !request->allowed &&
        turn->now.boot_us - step->wide_us < WIDE_AGAIN_US)
        return step->wide;
    if (request->allowed)
        allowed = advice_possible(turn->fleet, step);
    possible.allowed = allowed;
    step->wide_us = turn->now.boot_us;
    step->wide = !cs_fit_is_possible(&turn->cell, &possible);
    g_free(allowed);
    return step->wide;
}

static void
make_request(struct turn *turn, const struct candidate *candidate,
             cs_fit_request *request)
{
    const struct step *step = candidate->step;
    cs_fleet *fleet = turn->fleet;
    char service[CS_JOB_NAME_BYTES + 8];

    memset(request, 0, sizeof(*request));
    request->demand = step->spec->demand;
    request->count = step->waiting;
    request->whole = step->spec->gang;
    request->same_rack = step->spec->same_rack;
    request->data_rack = CS_FIT_ANY;
    if (step->spec->data_rack[0] && waits_for_data(turn, step))
        request->data_rack = worker_rack(fleet, step->spec->data_rack);
    g_snprintf(service, sizeof(service), "service:%s",
               candidate->queue->service);
    request->kept_racks = turn->cell.rack_count;
    if (candidate->queue->priority > 0 && !turn->idle &&
        request->data_rack == CS_FIT_ANY && turn->use >= KEPT_USE_MIN)
        request->kept_racks -= turn->urgent_racks;
    request->labels =
        worker_label(fleet, service) | worker_label(fleet, step->spec->label);
    request->max_per_worker = step->spec->max_per_worker;
    request->present = count_present(turn, step);
    if (candidate->queue->advised)
        request->allowed = advice_allowed(fleet, step);
    request->avoid = find_avoid(step);
    request->speed_weight = speed_weight(candidate->queue->priority);
    if (request->same_rack &&
        ((turn->idle && waited_seconds(turn, step) >= IDLE_PATIENCE_S) ||
         is_wide(turn, candidate->step, request)))
        request->same_rack = false;
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

/* Whether the step finds room if every worker may run it. */
static bool
has_room(struct turn *turn, const cs_fit_request *request)
{
    cs_fit_request any = *request;
    uint32_t *workers = g_new(uint32_t, request->count);
    uint32_t placed;
    uint32_t i;

    any.allowed = NULL;
    placed = cs_fit_place(workers, &turn->cell, &any);
    for (i = 0; i < placed; i++)
        cs_demand_add(&turn->cell.workers[workers[i]].free, &any.demand);
    g_free(workers);
    return placed > 0;
}

/* Tickets are short, so nobody asks before there is room. */
static void
ask_for_advice(struct turn *turn, const struct candidate *candidate,
               const cs_fit_request *request)
{
    uint32_t *ranked;

    if (candidate->queue->priority > 0 && !has_room(turn, request))
        return;
    ranked = g_new(uint32_t, turn->cell.worker_count + 1);
    advice_ask(turn->fleet, candidate->step, ranked,
               cs_fit_rank(ranked, &turn->cell, request));
    g_free(ranked);
}

static void
try_candidate(struct turn *turn, const struct candidate *candidate)
{
    struct step *step = candidate->step;
    cs_fit_request request;
    uint32_t *workers = g_new(uint32_t, step->spec->task_count);
    bool claimed = step->claim != NULL;
    uint32_t placed;

    make_request(turn, candidate, &request);
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
        ask_for_advice(turn, candidate, &request);
    g_free((gpointer)request.present);
    g_free((gpointer)request.allowed);
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
