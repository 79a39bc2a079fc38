/*
 * Reservations for gangs that a scheduling cycle could not place, and the
 * limits that they set for other work. See docs/design/backfill.md.
 */
#include "reserve.h"

/* Maximum numbers of waiting gangs that an update considers, in total and of
   an organisation's queue. At most one of the latter gets a reservation; the
   others replace one that has lost it for a while. */
#define MAX_STEPS 16
#define MAX_GROUP_STEPS 2
/* Weight of a new run in the mean deviation of a queue's run times. */
#define DEVIATION_SAMPLE_WEIGHT 0.05
/* Racks that a description names; more are counted only. */
#define MAX_NAMED_RACKS 4

struct reserve *
reserve_create(void)
{
    struct reserve *reserve = g_new0(struct reserve, 1);

    reserve->backfill = cs_backfill_create();
    reserve->deviations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return reserve;
}

void
reserve_free(struct reserve *reserve)
{
    if (!reserve)
        return;
    cs_backfill_destroy(reserve->backfill);
    g_hash_table_destroy(reserve->deviations);
    g_free(reserve);
}

void
reserve_learn(struct reserve *reserve, const char *queue, double ms,
              double mean_ms)
{
    double sample = ABS(ms - mean_ms) / MAX(mean_ms, 1);
    double *deviation = g_hash_table_lookup(reserve->deviations, queue);

    if (!deviation) {
        deviation = g_new(double, 1);
        *deviation = sample;
        g_hash_table_insert(reserve->deviations, g_strdup(queue), deviation);
    }
    *deviation += (sample - *deviation) * DEVIATION_SAMPLE_WEIGHT;
}

static double
now_s(const cs_now *now)
{
    return (double)now->boot_us / (double)CS_SEC_US;
}

double
reserve_duration_s(const struct cycle *cycle,
                   const struct candidate *candidate)
{
    double spread_ms;
    double ms;

    if (cs_backfill_count(cycle->fleet->reserve->backfill) == 0 ||
        candidate->queue->priority == 0)
        return 0;
    if (candidate->step->spec->perpetual)
        return G_MAXDOUBLE;
    ms = run_expected_work_ms(cycle->fleet, candidate->step, &spread_ms);
    return (ms + spread_ms) / 1000.0;
}

bool
reserve_has(const struct cycle *cycle, const struct step *step)
{
    return cs_backfill_find(cycle->fleet->reserve->backfill, step) != NULL;
}

bool
reserve_withhold(struct cycle *cycle, const struct step *step,
                 double duration_s)
{
    return duration_s > 0 &&
           cs_backfill_withhold(cycle->fleet->reserve->backfill, &cycle->cell,
                                step, now_s(&cycle->now), duration_s);
}

void
reserve_restore(struct cycle *cycle)
{
    cs_backfill_restore(cycle->fleet->reserve->backfill, &cycle->cell);
}

void
reserve_placed(struct cycle *cycle, const struct step *step,
               const uint32_t *workers, uint32_t count, double duration_s)
{
    cs_backfill *backfill = cycle->fleet->reserve->backfill;
    bool is_backfill = false;
    uint32_t i;

    if (cs_backfill_count(backfill) == 0)
        return;
    for (i = 0; i < count; i++)
        is_backfill |= cs_backfill_placed(backfill, &cycle->cell, step,
                                          workers[i], &step->spec->demand,
                                          now_s(&cycle->now), duration_s);
    if (is_backfill && duration_s > 0)
        fleet_increment_counter(cycle->fleet, "cs_backfills_total");
    if (!cs_backfill_find(backfill, step))
        return;
    cs_backfill_remove(backfill, step);
    fleet_increment_counter(cycle->fleet, "cs_reservations_used_total");
}

/* Returns whether the step may get a reservation. Urgent work preempts other
   work instead. A ticket of the adviser would expire before the start. */
static bool
is_eligible(const struct candidate *candidate)
{
    const struct step *step = candidate->step;

    return step->spec->gang && step->waiting_count > 1 &&
           step->waiting_count == step->spec->task_count &&
           candidate->queue->priority > 0 && !candidate->queue->needs_ticket &&
           !candidate->too_late_to_count && !step->reserved_workers;
}

/* Returns a number for the organisation and queue of a step. */
static uint32_t
group_number(GHashTable *groups, const struct step *step)
{
    char *name = g_strdup_printf("%s/%s", step->job->spec.organisation,
                                 step->job->spec.queue);
    guint number = GPOINTER_TO_UINT(g_hash_table_lookup(groups, name));

    if (number) {
        g_free(name);
        return number;
    }
    number = g_hash_table_size(groups) + 1;
    g_hash_table_insert(groups, name, GUINT_TO_POINTER(number));
    return number;
}

static uint32_t
count_group(const GArray *steps, uint32_t group)
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < steps->len; i++)
        count += g_array_index(steps, cs_backfill_step, i).group == group;
    return count;
}

static void
add_step(struct cycle *cycle, GArray *steps, uint32_t group,
         const struct candidate *candidate)
{
    double time_s = now_s(&cycle->now);
    double spread_ms;
    cs_backfill_step step = {
        .key = candidate->step,
        .group = group,
        .run_s =
            run_expected_work_ms(cycle->fleet, candidate->step, &spread_ms) /
            1000.0,
        .objective_s = time_s + (double)candidate->objective_slack_ms / 1000.0,
        .last_start_s = time_s + (double)candidate->counted_slack_ms / 1000.0};

    cycle_make_request(cycle, candidate, &step.request);
    g_array_append_val(steps, step);
}

/* Lists waiting gangs that may have or get a reservation, those that have one
   first. */
static GArray *
list_steps(struct cycle *cycle)
{
    GHashTable *groups =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GArray *steps = g_array_new(FALSE, FALSE, sizeof(cs_backfill_step));
    int has_reservation;
    guint i;

    for (has_reservation = 1; has_reservation >= 0; has_reservation--) {
        for (i = 0; i < cycle->candidates->len && steps->len < MAX_STEPS;
             i++) {
            const struct candidate *candidate =
                &g_array_index(cycle->candidates, struct candidate, i);
            uint32_t group;

            if (!is_eligible(candidate) ||
                reserve_has(cycle, candidate->step) != (has_reservation == 1))
                continue;
            group = group_number(groups, candidate->step);
            if (count_group(steps, group) < MAX_GROUP_STEPS)
                add_step(cycle, steps, group, candidate);
        }
    }
    g_hash_table_destroy(groups);
    return steps;
}

static bool
has_eligible_candidate(const struct cycle *cycle)
{
    guint i;

    for (i = 0; i < cycle->candidates->len; i++) {
        if (is_eligible(
                &g_array_index(cycle->candidates, struct candidate, i)))
            return true;
    }
    return false;
}

static const char *
rack_name(const cs_fleet *fleet, uint32_t rack)
{
    GHashTableIter iter;
    gpointer name;
    gpointer number;

    g_hash_table_iter_init(&iter, fleet->rack_numbers);
    while (g_hash_table_iter_next(&iter, &name, &number)) {
        if (GPOINTER_TO_UINT(number) == rack + 1)
            return name;
    }
    return "";
}

/* Returns the names of the reservation's racks, and sets count to the number
   of its workers. */
static GString *
name_racks(const cs_fleet *fleet, const cs_backfill_reservation *reservation,
           uint32_t *count)
{
    GString *text = g_string_new(NULL);
    GHashTable *racks = g_hash_table_new(g_direct_hash, g_direct_equal);
    uint32_t i;

    *count = 0;
    for (i = 0; i < reservation->count; i++) {
        const struct worker *worker =
            g_ptr_array_index(fleet->worker_list, reservation->workers[i]);

        if (i > 0 && reservation->workers[i] == reservation->workers[i - 1])
            continue;
        (*count)++;
        if (g_hash_table_add(racks, GUINT_TO_POINTER(worker->rack)) &&
            g_hash_table_size(racks) <= MAX_NAMED_RACKS)
            g_string_append_printf(text, "%s%s", text->len ? ", " : "",
                                   rack_name(fleet, worker->rack));
    }
    if (g_hash_table_size(racks) > MAX_NAMED_RACKS)
        g_string_append_printf(text, " and %u racks more",
                               g_hash_table_size(racks) - MAX_NAMED_RACKS);
    g_hash_table_destroy(racks);
    return text;
}

static const char *
change_name(cs_backfill_change change)
{
    switch (change) {
    case CS_BACKFILL_MADE:
        return "made";
    case CS_BACKFILL_MOVED:
        return "moved";
    case CS_BACKFILL_SLIPPED:
        return "lost as its start has slipped";
    case CS_BACKFILL_TOO_LATE:
        return "lost as the step would start too late";
    case CS_BACKFILL_WITHDRAWN:
        return "not needed any longer";
    }
    return "";
}

static void
on_change(void *user_data, cs_backfill_change change,
          const cs_backfill_reservation *reservation)
{
    struct cycle *cycle = user_data;
    const struct step *step = NULL;
    GString *racks;
    uint32_t workers;
    guint i;

    fleet_increment_counter(cycle->fleet, change == CS_BACKFILL_MADE
                                              ? "cs_reservations_made_total"
                                          : change == CS_BACKFILL_MOVED
                                              ? "cs_reservations_moved_total"
                                              : "cs_reservations_lost_total");
    /* The step of a withdrawn reservation may be gone. */
    for (i = 0; i < cycle->candidates->len && !step; i++) {
        const struct step *waiting =
            g_array_index(cycle->candidates, struct candidate, i).step;

        if (waiting == reservation->key)
            step = waiting;
    }
    if (!step)
        return;
    if (change != CS_BACKFILL_MADE && change != CS_BACKFILL_MOVED) {
        cs_log_event("reservation", "job %s step %u.%u: %s",
                     step->job->spec.id, step->occurrence, step->number,
                     change_name(change));
        return;
    }
    racks = name_racks(cycle->fleet, reservation, &workers);
    cs_log_event("reservation",
                 "job %s step %u.%u: %s, %u workers on %s from %.1f s on, "
                 "%.0f core-seconds idle",
                 step->job->spec.id, step->occurrence, step->number,
                 change_name(change), workers, racks->str,
                 reservation->start_s - now_s(&cycle->now),
                 reservation->idle_cores_s);
    g_string_free(racks, TRUE);
}

/* Returns the runs that hold capacity, including those of steps for which
   preemption frees capacity. */
static GArray *
list_runs(const struct cycle *cycle)
{
    GArray *runs = run_list_ends(cycle->fleet, cycle->now.boot_us);
    guint i;
    uint32_t k;

    for (i = 0; i < cycle->candidates->len; i++) {
        const struct step *step =
            g_array_index(cycle->candidates, struct candidate, i).step;
        cs_backfill_run run = {.demand = step->spec->demand};
        double spread_ms;

        if (!step->reserved_workers)
            continue;
        run.end_s =
            now_s(&cycle->now) +
            run_expected_work_ms(cycle->fleet, step, &spread_ms) / 1000.0;
        run.spread_s = spread_ms / 1000.0;
        for (k = 0; k < step->reserved_count; k++) {
            run.worker = step->reserved_workers[k];
            g_array_append_val(runs, run);
        }
    }
    return runs;
}

void
reserve_update(struct cycle *cycle)
{
    struct reserve *reserve = cycle->fleet->reserve;
    GArray *steps;
    GArray *runs;
    guint i;

    if (cycle->now.boot_us < reserve->next_update_us ||
        (cs_backfill_count(reserve->backfill) == 0 &&
         !has_eligible_candidate(cycle)))
        return;
    steps = list_steps(cycle);
    runs = list_runs(cycle);
    reserve->next_update_us =
        cycle->now.boot_us +
        (int64_t)(cs_backfill_update_interval_s(runs->len) *
                  (double)CS_SEC_US);
    cs_backfill_update(reserve->backfill, &cycle->cell,
                       (const cs_backfill_run *)(void *)runs->data, runs->len,
                       (const cs_backfill_step *)(void *)steps->data,
                       steps->len, now_s(&cycle->now), on_change, cycle);
    for (i = 0; i < steps->len; i++)
        cycle_free_request(&g_array_index(steps, cs_backfill_step, i).request);
    g_array_free(steps, TRUE);
    g_array_free(runs, TRUE);
}

json_t *
reserve_status(const cs_fleet *fleet, const struct step *step, char **reason)
{
    const cs_backfill_reservation *reservation =
        cs_backfill_find(fleet->reserve->backfill, step);
    cs_now now = fleet_now(fleet);
    GString *racks;
    uint32_t workers;
    int64_t wait_ms;
    GDateTime *start;
    char *time;
    json_t *status;

    if (!reservation)
        return NULL;
    racks = name_racks(fleet, reservation, &workers);
    wait_ms = (int64_t)((reservation->start_s - now_s(&now)) * 1000.0);
    start = g_date_time_new_from_unix_utc((now.wall_us / CS_MS_US + wait_ms) /
                                          1000);
    time = g_date_time_format(start, "%H:%M:%S UTC");
    *reason = g_strdup_printf("reserved on %s from %s", racks->str, time);
    status = json_pack("{s:s,s:i,s:I}", "racks", racks->str, "workers",
                       (int)workers, "start_in_ms", (json_int_t)wait_ms);
    g_free(time);
    g_date_time_unref(start);
    g_string_free(racks, TRUE);
    return status;
}
