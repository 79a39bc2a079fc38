/*
 * What a step asks of placement: where it may go, how long it insists on a
 * rack, and which workers the adviser lets it use.
 */
#include "cycle_internal.h"

/* How long it counts whether a rack could hold a step at all. */
#define WIDE_AGAIN_US (5 * CS_SEC_US)
/* Room is kept for urgent work while so much of all is used. */
#define KEPT_USE_MIN 0.4
/* A rack of data is waited for as long as this many run times. */
#define FAR_PATIENCE 1.5
/* The same where half of the room is idle: the rules allow 3 s. */
#define IDLE_PATIENCE_S 1.5

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

void
turn_make_request(struct turn *turn, const struct candidate *candidate,
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

void
turn_free_request(cs_fit_request *request)
{
    g_free((gpointer)request->present);
    g_free((gpointer)request->allowed);
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
void
turn_ask_for_advice(struct turn *turn, const struct candidate *candidate,
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
