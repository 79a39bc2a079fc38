/*
 * The scheduling cycle: decides on which workers the tasks of waiting steps
 * run. Each candidate step is placed if there is capacity for it. Otherwise
 * lower-priority work may be preempted for it, or it waits.
 */
#include "reserve.h"

#include <math.h>

/* How long capacity freed by preemption stays reserved for a step. */
#define RESERVATION_US (2500 * CS_MS_US)
/* A guaranteed step has to start within 2.9 s (the smallest reclaimMs) and may
   have waited for 1.0 s before the stop. If the stop has not taken effect
   within stop_ms and this time for its answer, there is still time for one
   other stop. */
#define STOP_ANSWER_US (100 * CS_MS_US)
/* The capacity counts as idle if about half of it is free and no job has been
   submitted for a while. The requirements limit how long a step may wait on
   idle capacity (see IDLE_RACK_WAIT_S in cycle_request.c) from 14 s after the
   last submission on, so the capacity counts as idle some seconds earlier. */
#define IDLE_USED_SHARE_MAX 0.55
#define IDLE_AFTER_SUBMISSION_MS 8000

/* Sums over the usable workers. */
struct usable_capacity {
    cs_demand total;
    cs_demand free;
};

static double
used_share(int64_t total, int64_t free)
{
    return total > 0 ? 1.0 - (double)free / (double)total : 1.0;
}

/* Returns the used share of the resource with the lowest one. */
static double
min_used_share(const struct usable_capacity *capacity)
{
    double use =
        used_share(capacity->total.accelerators, capacity->free.accelerators);

    use = MIN(use,
              used_share(capacity->total.cpu_milli, capacity->free.cpu_milli));
    return MIN(
        use, used_share(capacity->total.memory_mb, capacity->free.memory_mb));
}

/*
 * A worker that has not answered a new holder yet, or that is paused, is not
 * usable now but will be soon. What the fleet can hold at all is decided with
 * these workers, else a gang is spread over racks after each takeover.
 */
static void
build_expected_cell(struct cycle *cycle)
{
    const GPtrArray *list = cycle->fleet->worker_list;
    guint i;

    cycle->expected_cell = cycle->cell;
    cycle->expected_cell.workers = g_memdup2(
        cycle->cell.workers, (list->len + 1) * sizeof(cs_binpack_worker));
    for (i = 0; i < list->len; i++)
        cycle->expected_cell.workers[i].usable =
            worker_is_expected(cycle->fleet, g_ptr_array_index(list, i));
}

static void
build_cell(struct cycle *cycle)
{
    cs_fleet *fleet = cycle->fleet;
    struct usable_capacity capacity = {{0}, {0}};
    cs_demand listed = {0};
    guint i;

    cycle->cell.worker_count = fleet->worker_list->len;
    cycle->cell.rack_count = g_hash_table_size(fleet->rack_numbers);
    cycle->cell.workers =
        g_new0(cs_binpack_worker, fleet->worker_list->len + 1);
    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);
        cs_binpack_worker *binpack_worker = &cycle->cell.workers[i];

        binpack_worker->capacity = worker->capacity;
        binpack_worker->free = worker->capacity;
        cs_demand_subtract(&binpack_worker->free, &worker->used);
        binpack_worker->rack = worker->rack;
        binpack_worker->zone = worker->zone_number;
        binpack_worker->labels = worker->label_bits;
        binpack_worker->speed = exp(worker->speed.log_speed);
        binpack_worker->usable = worker_is_usable(fleet, worker);
        if (worker->listed)
            cs_demand_add(&listed, &worker->capacity);
        if (!binpack_worker->usable)
            continue;
        cs_demand_add(&capacity.total, &binpack_worker->capacity);
        cs_demand_add(&capacity.free, &binpack_worker->free);
    }
    ledger_begin_cycle(fleet, &listed);
    cs_binpack_cell_index(&cycle->cell);
    build_expected_cell(cycle);
    cycle->urgent_only_racks =
        cs_headroom_racks(&fleet->headroom, &cycle->cell);
    if (capacity.total.accelerators > 0)
        cycle->accelerator_use = used_share(capacity.total.accelerators,
                                            capacity.free.accelerators);
    cycle->capacity_idle =
        cycle->now.wall_us / CS_MS_US - fleet->last_submission_ms >=
            IDLE_AFTER_SUBMISSION_MS &&
        min_used_share(&capacity) < IDLE_USED_SHARE_MAX;
}

void
cycle_apply_reservation(struct cycle *cycle, const struct step *step,
                        bool reserve)
{
    uint32_t i;

    for (i = 0; step->reserved_workers && i < step->reserved_count; i++) {
        cs_demand *free = &cycle->cell.workers[step->reserved_workers[i]].free;

        if (reserve)
            cs_demand_subtract(free, &step->spec->demand);
        else
            cs_demand_add(free, &step->spec->demand);
    }
}

static void
drop_reservation(struct step *step)
{
    g_free(step->reserved_workers);
    step->reserved_workers = NULL;
    step->reserved_count = 0;
}

/* Ends the reservations of tasks that were placed. The others are kept, so
   that no further stops are made for them. */
static void
reduce_reservation(struct step *step, const uint32_t *workers, uint32_t count)
{
    uint32_t i;
    uint32_t k;

    for (i = 0;
         i < count && step->reserved_workers && step->reserved_count > 0;
         i++) {
        for (k = 0; k < step->reserved_count - 1; k++) {
            if (step->reserved_workers[k] == workers[i])
                break;
        }
        step->reserved_workers[k] =
            step->reserved_workers[--step->reserved_count];
    }
    if (step->reserved_count == 0)
        drop_reservation(step);
}

/* Returns how long a step's capacity stays reserved at most. */
static int64_t
reservation_us(const struct cycle *cycle, const struct candidate *candidate)
{
    int64_t stop_ms = cycle->fleet->state->settings.bounds.stop_ms;

    if (!candidate->guaranteed)
        return RESERVATION_US;
    return MIN(stop_ms * CS_MS_US + STOP_ANSWER_US, RESERVATION_US);
}

/* Returns whether a reserved worker is not going to run the step: it is no
   longer listed, is draining, or its zone is evacuated. */
static bool
reservation_is_lost(const struct cycle *cycle, const struct step *step)
{
    uint32_t i;

    for (i = 0; i < step->reserved_count; i++) {
        if (!cycle->expected_cell.workers[step->reserved_workers[i]].usable)
            return true;
    }
    return false;
}

static void
apply_reservations(struct cycle *cycle)
{
    guint i;

    for (i = 0; i < cycle->candidates->len; i++) {
        const struct candidate *candidate =
            &g_array_index(cycle->candidates, struct candidate, i);
        struct step *step = candidate->step;

        if (!step->reserved_workers)
            continue;
        if (cycle->now.boot_us - step->reserved_us >
                reservation_us(cycle, candidate) ||
            reservation_is_lost(cycle, step))
            drop_reservation(step);
        else
            cycle_apply_reservation(cycle, step, true);
    }
}

static bool
spans_racks(const struct cycle *cycle, const uint32_t *workers, uint32_t count)
{
    uint32_t i;

    for (i = 1; i < count; i++) {
        if (cycle->cell.workers[workers[i]].rack !=
            cycle->cell.workers[workers[0]].rack)
            return true;
    }
    return false;
}

static void
place_tasks(struct cycle *cycle, struct step *step, const uint32_t *workers,
            uint32_t count)
{
    cs_fleet *fleet = cycle->fleet;
    uint32_t run = step_next_run(step);
    uint32_t placed = 0;
    bool spread;
    uint32_t i;

    for (i = 0; i < step->spec->task_count && placed < count; i++) {
        struct task *task = &step->tasks[i];

        if (task->state != TASK_WAITING || task->held)
            continue;
        task_place(fleet, task,
                   g_ptr_array_index(fleet->worker_list, workers[placed++]),
                   step->spec->gang ? run : task_next_run(task));
        progress_set_task_dirty(fleet, task);
    }
    if (step->job->state == CS_PROGRESS_QUEUED) {
        step->job->state = CS_PROGRESS_RUNNING;
        progress_set_dirty(fleet, step->job);
    }
    cs_counters_observe_ms(fleet->state->counters, "cs_step_wait_ms",
                           (cycle->now.boot_us - step->ready_us) / CS_MS_US);
    spread = step->spec->same_rack && spans_racks(cycle, workers, count);
    if (spread)
        fleet_increment_counter(fleet, "cs_gangs_spread_total");
    cs_log_event("step-placed",
                 "job %s step %u.%u: %u of %u tasks, waited %" PRId64 " ms%s",
                 step->job->spec.id, step->occurrence, step->number, count,
                 step->spec->task_count,
                 (cycle->now.boot_us - step->ready_us) / CS_MS_US,
                 spread ? ", on several racks" : "");
}

/*
 * Returns whether a request cannot be placed if the failed one could not. May
 * return false where that cannot be told.
 */
static bool
is_at_least_as_demanding(const cs_binpack_request *request,
                         const cs_binpack_request *failed)
{
    if (failed->tasks_present || failed->avoided_worker != CS_BINPACK_ANY ||
        failed->labels != request->labels ||
        failed->first_reserved_rack < request->first_reserved_rack ||
        (failed->data_rack != CS_BINPACK_ANY &&
         failed->data_rack != request->data_rack))
        return false;
    if (failed->all_or_nothing &&
        (!request->all_or_nothing || request->count < failed->count))
        return false;
    if (failed->same_rack && !request->same_rack)
        return false;
    return cs_demand_fits(&failed->demand, &request->demand);
}

/* Returns whether a less demanding request, which reservations have limited no
   more, has failed in this cycle. */
static bool
is_known_to_fail(const struct cycle *cycle, const cs_binpack_request *request,
                 double duration_s)
{
    guint i;

    for (i = 0; i < cycle->failed_requests->len; i++) {
        const struct failed_request *failed =
            &g_array_index(cycle->failed_requests, struct failed_request, i);

        if (failed->duration_s <= duration_s &&
            is_at_least_as_demanding(request, &failed->request))
            return true;
    }
    return false;
}

/* Counts the lateness of a job at the first placement of its tasks. */
static void
observe_lateness(cs_fleet *fleet, const struct candidate *candidate)
{
    struct job *job = candidate->step->job;

    if (job->state == CS_PROGRESS_QUEUED && !job->lateness_observed &&
        cycle_counts_for_zone(candidate))
        cs_zone_lag_add_placed(&fleet->ledger->zones, candidate->zone,
                               candidate->queue->priority,
                               candidate->lateness);
    job->lateness_observed = true;
}

static void
add_failed_request(struct cycle *cycle, const cs_binpack_request *request,
                   double duration_s)
{
    struct failed_request failed = {*request, duration_s};

    g_array_append_val(cycle->failed_requests, failed);
}

/* Lets quarantined workers be used, or not. Returns whether there are any. */
static bool
use_last_resort(struct cycle *cycle, bool used)
{
    const GPtrArray *list = cycle->fleet->worker_list;
    bool any = false;
    guint i;

    for (i = 0; i < list->len; i++) {
        if (!worker_is_last_resort(cycle->fleet, g_ptr_array_index(list, i)))
            continue;
        cycle->cell.workers[i].usable = used;
        any = true;
    }
    return any;
}

/*
 * Places tasks that last on quarantined workers. They have no attempts that a
 * failure uses up, and must run again within seconds wherever there is room.
 * Returns the number of tasks placed.
 */
static uint32_t
place_as_last_resort(struct cycle *cycle, const struct candidate *candidate,
                     const cs_binpack_request *request, uint32_t *workers)
{
    double duration_s = reserve_duration_s(cycle, candidate);
    uint32_t placed;

    if (!candidate->step->spec->perpetual || !use_last_resort(cycle, true))
        return 0;
    reserve_withhold(cycle, candidate->step, duration_s);
    placed = cs_binpack_place(workers, &cycle->cell, request);
    reserve_restore(cycle);
    use_last_resort(cycle, false);
    if (placed > 0)
        fleet_increment_counter(cycle->fleet, "cs_last_resort_used_total");
    return placed;
}

/* Places a step without preemption. Returns the number of tasks placed. */
static uint32_t
try_place(struct cycle *cycle, const struct candidate *candidate,
          const cs_binpack_request *request, uint32_t *workers,
          bool had_reservation)
{
    double duration_s = reserve_duration_s(cycle, candidate);
    bool limited;
    uint32_t placed;

    /* A step's own reservation limits others but not the step, so only
       failures without any limit apply to it. */
    if (is_known_to_fail(cycle, request,
                         reserve_has(cycle, candidate->step) ? 0 : duration_s))
        return 0;
    limited = reserve_withhold(cycle, candidate->step, duration_s);
    placed = cs_binpack_place(workers, &cycle->cell, request);
    reserve_restore(cycle);
    if (placed == 0 && !had_reservation && !request->allowed)
        add_failed_request(cycle, request, limited ? duration_s : 0);
    if (placed > 0)
        reserve_placed(cycle, candidate->step, workers, placed, duration_s);
    return placed;
}

static void
schedule_candidate(struct cycle *cycle, const struct candidate *candidate)
{
    struct step *step = candidate->step;
    cs_binpack_request request;
    uint32_t *workers = g_new(uint32_t, step->spec->task_count);
    bool had_reservation = step->reserved_workers != NULL;
    uint32_t placed;

    cycle_make_request(cycle, candidate, &request);
    if (had_reservation)
        cycle_apply_reservation(cycle, step, false);
    placed = try_place(cycle, candidate, &request, workers, had_reservation);
    if (placed > 0) {
        reduce_reservation(step, workers, placed);
        cycle_apply_reservation(cycle, step, true);
    }
    else if (had_reservation) {
        cycle_apply_reservation(cycle, step, true);
    }
    else if (candidate->queue->priority == 0 &&
             (candidate->guaranteed || !candidate->too_late_to_count) &&
             (candidate->guaranteed ||
              step->waiting_count == step->spec->task_count)) {
        cycle_preempt(cycle, candidate, &request);
    }
    if (placed == 0 && !step->reserved_workers)
        placed = place_as_last_resort(cycle, candidate, &request, workers);
    if (placed > 0) {
        observe_lateness(cycle->fleet, candidate);
        place_tasks(cycle, step, workers, placed);
    }
    if (request.allowed && step->waiting_count > 0) {
        reserve_withhold(cycle, step, reserve_duration_s(cycle, candidate));
        cycle_request_advice(cycle, candidate, &request);
        reserve_restore(cycle);
    }
    cycle_free_request(&request);
    g_free(workers);
}

void
cycle_run(cs_fleet *fleet)
{
    struct cycle cycle = {.fleet = fleet, .now = fleet_now(fleet)};
    GPtrArray *held;
    guint i;

    fleet->cycle_requested = false;
    if (!fleet->state->config || !start_gate_is_open(fleet))
        return;
    cycle.candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    cycle.failed_requests =
        g_array_new(FALSE, FALSE, sizeof(struct failed_request));
    cycle.guarantee_used =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    build_cell(&cycle);
    held = unwanted_hold_tasks(fleet);
    unsettled_hold_tasks(fleet, held);
    cycle_collect_candidates(&cycle);
    apply_reservations(&cycle);
    for (i = 0; i < cycle.candidates->len; i++)
        schedule_candidate(
            &cycle, &g_array_index(cycle.candidates, struct candidate, i));
    reserve_update(&cycle);
    unwanted_release_tasks(held);
    cycle_preempt_dispose(&cycle);
    cs_binpack_cell_unindex(&cycle.cell);
    g_free(cycle.expected_cell.workers);
    g_free(cycle.cell.workers);
    g_array_free(cycle.failed_requests, TRUE);
    g_array_free(cycle.candidates, TRUE);
    g_hash_table_destroy(cycle.guarantee_used);
}
