/*
 * Translates a step into a bin packing request: on which workers it may run,
 * how long it waits for its preferred rack, and which workers the adviser
 * allows.
 */
#include "cycle_internal.h"

/* How long the result of exceeds_every_rack() is cached. */
#define RACK_CHECK_INTERVAL_US (5 * CS_SEC_US)
/* Racks are reserved for urgent work only while at least this share of all
   accelerators is in use. */
#define URGENT_RACKS_MIN_USE 0.4
/* A step waits for the rack of its data for up to this many times its expected
   run time. */
#define DATA_RACK_WAIT_FACTOR 1.5
/* Run times triple for a gang on several racks, so up to twice its run time it
   costs no more to wait for the workers of a rack that are expected back. */
#define RACK_WAIT_FACTOR 2
/* Maximum wait for the rack of the data while capacity is idle. The
   requirements allow 3 s then. */
#define IDLE_RACK_WAIT_S 1.5

/* Returns, by worker index, how many tasks of the step are placed there; NULL
   if their number is not limited. Freed with g_free(). */
static uint32_t *
count_placed_by_worker(const struct cycle *cycle, const struct step *step)
{
    uint32_t *present;
    uint32_t i;

    if (step->spec->max_per_worker == 0)
        return NULL;
    present = g_new0(uint32_t, cycle->cell.worker_count + 1);
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
    /* Urgent work prefers fast workers. Work of low priority prefers slow
       ones, which leaves fast ones free. */
    switch (priority) {
    case 0:
        return 2.0;
    case 1:
        return 1.0;
    default:
        return -0.3;
    }
}

/* Avoids the worker on which a waiting task of the step has failed last, for a
   while strictly. */
static void
avoid_failed_worker(const struct cycle *cycle, const struct step *step,
                    cs_binpack_request *request)
{
    const struct task *failed = NULL;
    uint32_t i;

    for (i = 0; i < step->spec->task_count; i++) {
        const struct task *task = &step->tasks[i];

        if (task->state == TASK_WAITING && task->avoid_worker &&
            (!failed || task->avoid_until_us > failed->avoid_until_us))
            failed = task;
    }
    request->avoided_worker =
        failed ? failed->avoid_worker->index : CS_BINPACK_ANY;
    request->avoids_strictly =
        failed && cycle->now.boot_us < failed->avoid_until_us;
}

static double
waited_seconds(const struct cycle *cycle, const struct step *step)
{
    return (double)(cycle->now.boot_us - step->ready_us) / (double)CS_SEC_US;
}

/* Returns whether a rack has workers that get tasks now or soon. Racks that
   are first named by a step are not in the cell yet. */
static bool
has_expected_worker(const struct cycle *cycle, uint32_t rack)
{
    const cs_binpack_cell *cell = &cycle->expected_cell;
    uint32_t i;

    if (rack >= cell->rack_count)
        return false;
    for (i = cell->rack_first[rack]; i < cell->rack_first[rack + 1]; i++) {
        if (cell->workers[cell->by_rack[i]].usable)
            return true;
    }
    return false;
}

/* Returns whether the step still waits for the rack that has its data. */
static bool
waits_for_data(const struct cycle *cycle, const struct step *step,
               uint32_t rack)
{
    double wait_limit_s =
        DATA_RACK_WAIT_FACTOR * cycle_expected_run_s(cycle->fleet, step);

    if (!has_expected_worker(cycle, rack))
        return false;
    if (cycle->capacity_idle)
        wait_limit_s = MIN(wait_limit_s, IDLE_RACK_WAIT_S);
    return waited_seconds(cycle, step) < wait_limit_s;
}

/* Returns whether the cell could hold the request if it were empty. */
static bool
is_possible(const cs_binpack_cell *cell, const cs_binpack_request *request,
            const bool *allowed)
{
    cs_binpack_request allowed_request = *request;

    allowed_request.allowed = allowed;
    return cs_binpack_is_possible(cell, &allowed_request);
}

/*
 * Returns whether no single rack could hold the step, even an empty one. Racks
 * whose workers are expected to be usable soon are waited for, as long as that
 * costs less than to run on several racks.
 */
static bool
exceeds_every_rack(const struct cycle *cycle, struct step *step,
                   const cs_binpack_request *request)
{
    double rack_wait_s =
        RACK_WAIT_FACTOR * cycle_expected_run_s(cycle->fleet, step);
    const cs_binpack_cell *cell = waited_seconds(cycle, step) < rack_wait_s
                                      ? &cycle->expected_cell
                                      : &cycle->cell;
    bool *allowed = NULL;

    if (step->rack_check_us != 0 && !request->allowed &&
        cycle->now.boot_us - step->rack_check_us < RACK_CHECK_INTERVAL_US)
        return step->exceeds_racks;
    if (request->allowed)
        allowed = advice_eligible_workers(cycle->fleet, step);
    step->rack_check_us = cycle->now.boot_us;
    step->exceeds_racks = !is_possible(cell, request, allowed);
    g_free(allowed);
    return step->exceeds_racks;
}

/* Returns the bit that the workers of the cells have if they are of the
   service and have the label, if that is not empty. */
static uint64_t
find_label_bit(struct cycle *cycle, const char *service, const char *label)
{
    bool renumbered;
    uint64_t bit = worker_label_bit(cycle->fleet, service, label, &renumbered);
    guint i;

    if (!renumbered)
        return bit;
    /* These refer to the former bits. */
    g_array_set_size(cycle->failed_requests, 0);
    for (i = 0; i < cycle->cell.worker_count; i++) {
        const struct worker *worker =
            g_ptr_array_index(cycle->fleet->worker_list, i);

        cycle->cell.workers[i].labels = worker->label_bits;
        cycle->expected_cell.workers[i].labels = worker->label_bits;
    }
    return bit;
}

void
cycle_make_request(struct cycle *cycle, const struct candidate *candidate,
                   cs_binpack_request *request)
{
    const struct step *step = candidate->step;
    cs_fleet *fleet = cycle->fleet;

    memset(request, 0, sizeof(*request));
    request->demand = step->spec->demand;
    request->count = step->waiting_count;
    request->all_or_nothing = step->spec->gang;
    request->same_rack = step->spec->same_rack;
    request->data_rack = CS_BINPACK_ANY;
    if (step->spec->data_rack[0]) {
        uint32_t rack = worker_rack_number(fleet, step->spec->data_rack);

        if (waits_for_data(cycle, step, rack))
            request->data_rack = rack;
    }
    request->first_reserved_rack = cycle->cell.rack_count;
    if (candidate->queue->priority > 0 && !cycle->capacity_idle &&
        request->data_rack == CS_BINPACK_ANY &&
        cycle->accelerator_use >= URGENT_RACKS_MIN_USE)
        request->first_reserved_rack -= cycle->urgent_only_racks;
    request->labels = find_label_bit(cycle, candidate->queue->service,
                                     step->spec->required_label);
    request->max_per_worker = step->spec->max_per_worker;
    request->tasks_present = count_placed_by_worker(cycle, step);
    if (candidate->queue->needs_ticket)
        request->allowed = advice_ticketed_workers(fleet, step);
    avoid_failed_worker(cycle, step, request);
    request->speed_weight = speed_weight(candidate->queue->priority);
    if (request->same_rack &&
        ((cycle->capacity_idle &&
          waited_seconds(cycle, step) >= IDLE_RACK_WAIT_S) ||
         exceeds_every_rack(cycle, candidate->step, request)))
        request->same_rack = false;
}

void
cycle_free_request(cs_binpack_request *request)
{
    g_free((gpointer)request->tasks_present);
    g_free((gpointer)request->allowed);
}

/* Returns whether there would be capacity for the step if the adviser allowed
   every worker. */
static bool
has_capacity(struct cycle *cycle, const cs_binpack_request *request)
{
    cs_binpack_request unrestricted = *request;
    uint32_t *workers = g_new(uint32_t, request->count);
    uint32_t placed;
    uint32_t i;

    unrestricted.allowed = NULL;
    placed = cs_binpack_place(workers, &cycle->cell, &unrestricted);
    for (i = 0; i < placed; i++)
        cs_demand_add(&cycle->cell.workers[workers[i]].free,
                      &unrestricted.demand);
    g_free(workers);
    return placed > 0;
}

/*
 * Tickets expire soon, so the adviser is not asked before there is capacity.
 * Urgent steps don't wait for that.
 */
void
cycle_request_advice(struct cycle *cycle, const struct candidate *candidate,
                     const cs_binpack_request *request)
{
    uint32_t *ranked;

    if (candidate->queue->priority > 0 && !has_capacity(cycle, request))
        return;
    ranked = g_new(uint32_t, cycle->cell.worker_count + 1);
    advice_ask(cycle->fleet, candidate->step, ranked,
               cs_binpack_rank(ranked, &cycle->cell, request));
    g_free(ranked);
}
