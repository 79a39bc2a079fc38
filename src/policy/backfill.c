/*
 * Reservation and backfill. The expected ends of the runs give, for each
 * worker, its free capacity over time. A gang gets the rack, or the workers,
 * on which it fits first; among racks that hold it at nearly the same time,
 * the one that idles least up to then.
 */
#include "timeline.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* A step gets a reservation once the time that it may still wait within its
   objective is less than this multiple of the wait that the reservation would
   take. Before that it may find a place by itself. */
#define OBJECTIVE_MARGIN_FACTOR 2.0
/* A reservation must not idle more than this multiple of the step's own work.
   At 1 it would displace as much work as it enables; the estimate leaves out
   what is backfilled but also that the start may slip. */
#define IDLE_SHARE_MAX 0.5
/* A start that slips by more than this share of the step's run time, and by
   more than the minimum, costs the step its reservation for one run time
   within the bounds of the pause. */
#define SLIP_SHARE_MAX 0.5
#define SLIP_MIN_S 2.0
#define PAUSE_MIN_S 2.0
#define PAUSE_MAX_S 10.0
/* Maximum number of steps without a reservation for which a place is searched
   in an update, to bound its run time. */
#define MAX_SEARCHES 8
/* Interval of the updates of a small fleet: half of START_TOLERANCE_S in
   timeline.c, so that
   a start which deviates by it is noticed in time. */
#define UPDATE_INTERVAL_S 0.25
/* Maximum number of runs that the updates of a second consider. At the design
   size of docs/CAPACITY.md, 200,000 runs, there is an update every 2 s. */
#define UPDATE_RUNS_PER_S 100000.0
/* Pauses that are remembered; the one that ends first is replaced. */
#define MAX_PAUSES 16

/* What a reservation means for one of its workers. */
struct hold {
    const void *key;
    uint32_t worker;
    double start_s;
    cs_demand reserved; /* for the step */
    cs_demand spare;    /* free at start_s beside all reserved steps */
};

struct withheld {
    uint32_t worker;
    cs_demand demand;
};

struct pause {
    const void *key;
    double until_s;
};

struct cs_backfill {
    GArray *reservations; /* of cs_backfill_reservation */
    GArray *holds;        /* of struct hold */
    GArray *withheld;     /* of struct withheld */
    struct pause pauses[MAX_PAUSES];
};

cs_backfill *
cs_backfill_create(void)
{
    cs_backfill *backfill = g_new0(cs_backfill, 1);

    backfill->reservations =
        g_array_new(FALSE, FALSE, sizeof(cs_backfill_reservation));
    backfill->holds = g_array_new(FALSE, FALSE, sizeof(struct hold));
    backfill->withheld = g_array_new(FALSE, FALSE, sizeof(struct withheld));
    return backfill;
}

static cs_backfill_reservation *
reservation_at(const cs_backfill *backfill, guint index)
{
    return &g_array_index(backfill->reservations, cs_backfill_reservation,
                          index);
}

void
cs_backfill_destroy(cs_backfill *backfill)
{
    guint i;

    if (!backfill)
        return;
    for (i = 0; i < backfill->reservations->len; i++)
        g_free(reservation_at(backfill, i)->workers);
    g_array_free(backfill->reservations, TRUE);
    g_array_free(backfill->holds, TRUE);
    g_array_free(backfill->withheld, TRUE);
    g_free(backfill);
}

uint32_t
cs_backfill_count(const cs_backfill *backfill)
{
    return backfill->reservations->len;
}

const cs_backfill_reservation *
cs_backfill_get(const cs_backfill *backfill, uint32_t index)
{
    return reservation_at(backfill, index);
}

const cs_backfill_reservation *
cs_backfill_find(const cs_backfill *backfill, const void *key)
{
    guint i;

    for (i = 0; i < backfill->reservations->len; i++) {
        if (reservation_at(backfill, i)->key == key)
            return reservation_at(backfill, i);
    }
    return NULL;
}

/* Returns the capacity of a worker that is reserved for a step. */
static cs_demand
reserved_on(const cs_backfill *backfill, const void *key, uint32_t worker)
{
    cs_demand none = {0};
    guint i;

    for (i = 0; i < backfill->holds->len; i++) {
        const struct hold *hold =
            &g_array_index(backfill->holds, struct hold, i);

        if (hold->key == key && hold->worker == worker)
            return hold->reserved;
    }
    return none;
}

/* Gives the capacity that is reserved for a step back to the other
   reservations on its workers. */
static void
release_spare(cs_backfill *backfill, const void *key)
{
    guint i;

    for (i = 0; i < backfill->holds->len; i++) {
        struct hold *hold = &g_array_index(backfill->holds, struct hold, i);
        cs_demand reserved = reserved_on(backfill, key, hold->worker);

        if (hold->key != key)
            cs_demand_add(&hold->spare, &reserved);
    }
}

void
cs_backfill_remove(cs_backfill *backfill, const void *key)
{
    guint i;

    if (!cs_backfill_find(backfill, key))
        return;
    release_spare(backfill, key);

    for (i = backfill->reservations->len; i-- > 0;) {
        if (reservation_at(backfill, i)->key != key)
            continue;
        g_free(reservation_at(backfill, i)->workers);
        g_array_remove_index(backfill->reservations, i);
    }
    for (i = backfill->holds->len; i-- > 0;) {
        if (g_array_index(backfill->holds, struct hold, i).key == key)
            g_array_remove_index(backfill->holds, i);
    }
}

/* The arguments of an update. */
struct update {
    cs_backfill *backfill;
    struct timeline timeline;
    const cs_backfill_step *steps;
    uint32_t step_count;
    cs_backfill_observer observer;
    void *user_data;
};

static void
notify(const struct update *update, cs_backfill_change change,
       const cs_backfill_reservation *reservation)
{
    if (update->observer)
        update->observer(update->user_data, change, reservation);
}

static bool
is_paused(const cs_backfill *backfill, const void *key, double now_s)
{
    uint32_t i;

    for (i = 0; i < MAX_PAUSES; i++) {
        if (backfill->pauses[i].key == key &&
            now_s < backfill->pauses[i].until_s)
            return true;
    }
    return false;
}

static void
pause_step(cs_backfill *backfill, const cs_backfill_step *step, double now_s)
{
    struct pause *first = &backfill->pauses[0];
    uint32_t i;

    for (i = 1; i < MAX_PAUSES; i++) {
        if (backfill->pauses[i].until_s < first->until_s)
            first = &backfill->pauses[i];
    }
    first->key = step->key;
    first->until_s = now_s + CLAMP(step->run_s, PAUSE_MIN_S, PAUSE_MAX_S);
}

static const cs_backfill_step *
find_step(const struct update *update, const void *key)
{
    uint32_t i;

    for (i = 0; i < update->step_count; i++) {
        if (update->steps[i].key == key)
            return &update->steps[i];
    }
    return NULL;
}

/* Moves a reservation if its step could start notably earlier elsewhere than
   at start_s. */
static void
consider_move(struct update *update, cs_backfill_reservation *reservation,
              const cs_backfill_step *step)
{
    struct place place = {.workers = g_new(uint32_t, step->request.count)};

    if (timeline_find_place(&place, &update->timeline, &step->request,
                            step->last_start_s) &&
        place.start_s +
                timeline_tolerance_s(&update->timeline, place.start_s) <
            reservation->start_s) {
        g_free(reservation->workers);
        reservation->workers = g_steal_pointer(&place.workers);
        reservation->count = step->request.count;
        reservation->start_s = place.start_s;
        reservation->idle_cores_s = place.idle_cores_s;
        notify(update, CS_BACKFILL_MOVED, reservation);
    }
    g_free(place.workers);
}

/* Recomputes a reservation and returns whether it stands. */
static bool
keep_reservation(struct update *update, cs_backfill_reservation *reservation)
{
    const cs_backfill_step *step = find_step(update, reservation->key);
    double former_s = reservation->start_s;
    double slip_max_s;

    if (!step) {
        notify(update, CS_BACKFILL_WITHDRAWN, reservation);
        return false;
    }
    /* Groups may be numbered anew for each update. */
    reservation->group = step->group;
    reservation->start_s = timeline_reserved_start_s(
        &update->timeline, reservation, &step->request);
    if (reservation->start_s >
        former_s + timeline_tolerance_s(&update->timeline, former_s))
        consider_move(update, reservation, step);
    slip_max_s = MAX(SLIP_MIN_S, SLIP_SHARE_MAX * step->run_s);
    if (reservation->start_s <= step->last_start_s &&
        reservation->start_s <= reservation->promised_s + slip_max_s) {
        timeline_reserve(&update->timeline, reservation);
        return true;
    }
    pause_step(update->backfill, step, update->timeline.now_s);
    notify(update,
           reservation->start_s > step->last_start_s ? CS_BACKFILL_TOO_LATE
                                                     : CS_BACKFILL_SLIPPED,
           reservation);
    return false;
}

static bool
group_has_reservation(const cs_backfill *backfill, uint32_t group)
{
    guint i;

    for (i = 0; i < backfill->reservations->len; i++) {
        if (reservation_at(backfill, i)->group == group)
            return true;
    }
    return false;
}

/* Returns whether a step is worth the reservation of a place. */
static bool
is_worth_place(const struct update *update, const cs_backfill_step *step,
               const struct place *place)
{
    double wait_s = place->start_s - update->timeline.now_s;
    double work_cores_s = cs_demand_cores(&step->request.demand) *
                          step->request.count * step->run_s;

    return step->objective_s - update->timeline.now_s <
               OBJECTIVE_MARGIN_FACTOR * wait_s &&
           place->idle_cores_s <= IDLE_SHARE_MAX * work_cores_s;
}

static void
make_reservation(struct update *update, const cs_backfill_step *step)
{
    struct place place = {.workers = g_new(uint32_t, step->request.count)};

    if (timeline_find_place(&place, &update->timeline, &step->request,
                            step->last_start_s) &&
        is_worth_place(update, step, &place)) {
        cs_backfill_reservation reservation = {
            .key = step->key,
            .group = step->group,
            .demand = step->request.demand,
            .count = step->request.count,
            .workers = g_steal_pointer(&place.workers),
            .start_s = place.start_s,
            .promised_s = place.start_s,
            .idle_cores_s = place.idle_cores_s};

        g_array_append_val(update->backfill->reservations, reservation);
        timeline_reserve(&update->timeline, &reservation);
        notify(update, CS_BACKFILL_MADE, &reservation);
    }
    g_free(place.workers);
}

static void
make_reservations(struct update *update)
{
    cs_backfill *backfill = update->backfill;
    uint32_t searches = 0;
    uint32_t i;

    for (i = 0; i < update->step_count && searches < MAX_SEARCHES &&
                backfill->reservations->len < CS_BACKFILL_RESERVATIONS_MAX;
         i++) {
        const cs_backfill_step *step = &update->steps[i];

        if (cs_backfill_find(backfill, step->key) ||
            group_has_reservation(backfill, step->group) ||
            is_paused(backfill, step->key, update->timeline.now_s))
            continue;
        searches++;
        make_reservation(update, step);
    }
}

/* Sets the spare capacity of a worker at a time. */
static void
set_spare(struct hold *hold, struct timeline *timeline)
{
    uint32_t run_count;
    const cs_backfill_run *runs = timeline_sorted_runs(
        timeline, timeline->cell->workers[hold->worker].rack, &run_count);
    uint32_t i;

    hold->spare = timeline->free[hold->worker];
    for (i = 0; i < run_count && runs[i].end_s <= hold->start_s; i++) {
        if (runs[i].worker == hold->worker)
            cs_demand_add(&hold->spare, &runs[i].demand);
    }
}

static void
set_holds(cs_backfill *backfill, struct timeline *timeline)
{
    guint i;
    uint32_t k;
    uint32_t next;

    g_array_set_size(backfill->holds, 0);
    for (i = 0; i < backfill->reservations->len; i++) {
        const cs_backfill_reservation *reservation =
            reservation_at(backfill, i);

        for (k = 0; k < reservation->count; k = next) {
            struct hold hold = {.key = reservation->key,
                                .worker = reservation->workers[k],
                                .start_s = reservation->start_s};

            hold.reserved = timeline_reserved_on_worker(reservation, k, &next);
            set_spare(&hold, timeline);
            g_array_append_val(backfill->holds, hold);
        }
    }
}

double
cs_backfill_update_interval_s(uint32_t run_count)
{
    return MAX(UPDATE_INTERVAL_S, run_count / UPDATE_RUNS_PER_S);
}

void
cs_backfill_update(cs_backfill *backfill, const cs_binpack_cell *cell,
                   const cs_backfill_run *runs, uint32_t run_count,
                   const cs_backfill_step *steps, uint32_t step_count,
                   double now_s, cs_backfill_observer observer,
                   void *user_data)
{
    struct update update = {.backfill = backfill,
                            .steps = steps,
                            .step_count = step_count,
                            .observer = observer,
                            .user_data = user_data};
    guint i = 0;

    timeline_init(&update.timeline, cell, runs, run_count, now_s);
    while (i < backfill->reservations->len) {
        cs_backfill_reservation *reservation = reservation_at(backfill, i);

        if (keep_reservation(&update, reservation)) {
            i++;
            continue;
        }
        g_free(reservation->workers);
        g_array_remove_index(backfill->reservations, i);
    }
    make_reservations(&update);
    set_holds(backfill, &update.timeline);
    timeline_dispose(&update.timeline);
}

/* Returns whether a run would still hold its capacity when the reserved step
   is to start. */
static bool
overlaps(const struct hold *hold, const cs_binpack_cell *cell, const void *key,
         double now_s, double duration_s)
{
    double speed = cell->workers[hold->worker].speed;

    return hold->key != key && now_s + duration_s / speed > hold->start_s;
}

/* Returns what of the free capacity exceeds the spare one. */
static cs_demand
excess(const cs_demand *free, const cs_demand *spare)
{
    cs_demand result = {
        .cpu_milli = MAX(free->cpu_milli - spare->cpu_milli, 0),
        .memory_mb = MAX(free->memory_mb - spare->memory_mb, 0),
        .accelerators = MAX(free->accelerators - spare->accelerators, 0)};

    return result;
}

bool
cs_backfill_withhold(cs_backfill *backfill, cs_binpack_cell *cell,
                     const void *key, double now_s, double duration_s)
{
    bool has_reservation = cs_backfill_find(backfill, key) != NULL;
    guint i;

    g_array_set_size(backfill->withheld, 0);
    for (i = 0; i < backfill->holds->len; i++) {
        const struct hold *hold =
            &g_array_index(backfill->holds, struct hold, i);
        cs_demand spare = hold->spare;
        cs_demand *free = &cell->workers[hold->worker].free;
        struct withheld withheld = {.worker = hold->worker};

        if (!overlaps(hold, cell, key, now_s, duration_s))
            continue;
        /* What is reserved for the step itself is not spare for others, but is
           for the step. */
        if (has_reservation) {
            cs_demand own = reserved_on(backfill, key, hold->worker);

            cs_demand_add(&spare, &own);
        }
        withheld.demand = excess(free, &spare);
        cs_demand_subtract(free, &withheld.demand);
        g_array_append_val(backfill->withheld, withheld);
    }
    return backfill->withheld->len > 0;
}

void
cs_backfill_restore(cs_backfill *backfill, cs_binpack_cell *cell)
{
    guint i;

    for (i = 0; i < backfill->withheld->len; i++) {
        const struct withheld *withheld =
            &g_array_index(backfill->withheld, struct withheld, i);

        cs_demand_add(&cell->workers[withheld->worker].free,
                      &withheld->demand);
    }
    g_array_set_size(backfill->withheld, 0);
}

bool
cs_backfill_placed(cs_backfill *backfill, const cs_binpack_cell *cell,
                   const void *key, uint32_t worker, const cs_demand *demand,
                   double now_s, double duration_s)
{
    bool is_reserved = false;
    guint i;

    for (i = 0; i < backfill->holds->len; i++) {
        struct hold *hold = &g_array_index(backfill->holds, struct hold, i);

        if (hold->worker != worker || hold->key == key)
            continue;
        is_reserved = true;
        if (overlaps(hold, cell, key, now_s, duration_s))
            cs_demand_subtract(&hold->spare, demand);
    }
    return is_reserved;
}
