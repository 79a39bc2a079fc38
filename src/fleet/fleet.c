/* Creation of a fleet, its periodic work, and state shared by its files. */
#include "ledger.h"
#include "reserve.h"
#include "tombstones.h"

/* Interval of the work that depends on the time only. */
#define TIMED_WORK_INTERVAL_US (100 * CS_MS_US)

cs_now
fleet_now(const cs_fleet *fleet)
{
    return cs_fleet_state_now(fleet->state);
}

int64_t
fleet_store_clock_ms(const cs_fleet *fleet)
{
    return fleet->store_clock_ms +
           (fleet_now(fleet).boot_us - fleet->store_clock_read_us) / CS_MS_US;
}

void
fleet_increment_counter(const cs_fleet *fleet, const char *name)
{
    (*cs_fleet_state_counter(fleet->state, name))++;
}

void
call_init(struct call *call, cs_fleet *fleet, struct worker *worker)
{
    call->fleet = fleet;
    call->generation = fleet->generation;
    call->worker = worker;
    call->sent_us = fleet_now(fleet).boot_us;
    call->known_version = fleet->known_version;
}

struct call *
call_create(cs_fleet *fleet, struct worker *worker)
{
    struct call *call = g_new0(struct call, 1);

    call_init(call, fleet, worker);
    return call;
}

bool
call_is_stale(const struct call *call)
{
    return call->generation != call->fleet->generation;
}

static void
create_tables(cs_fleet *fleet)
{
    fleet->jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    fleet->active_jobs = g_ptr_array_new();
    fleet->final_jobs = g_ptr_array_new();
    fleet->workers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, worker_free);
    fleet->worker_list = g_ptr_array_new();
    fleet->rack_numbers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    fleet->label_pairs = worker_label_pairs_create();
    fleet->queue_run_times =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet->unwanted_tasks = unwanted_tasks_create();
    fleet->unsettled_starts = unsettled_starts_create();
    fleet->stored_speeds =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet->reserve = reserve_create();
    fleet->tombstones = tombstones_create();
    g_queue_init(&fleet->dirty_rows);
    g_queue_init(&fleet->expired_jobs);
    g_queue_init(&fleet->expired_progress);
    g_queue_init(&fleet->orphan_rows);
    fleet->known_version = 0;
    fleet->orphan_count = 0;
    fleet->ended_orphan[0] = '\0';
    fleet->job_rows_unreadable = false;
    fleet->job_removal_pending = false;
}

static void
destroy_tables(cs_fleet *fleet)
{
    g_queue_clear(&fleet->dirty_rows);
    g_queue_clear(&fleet->expired_jobs);
    g_queue_clear(&fleet->expired_progress);
    g_queue_clear_full(&fleet->orphan_rows, g_free);
    g_ptr_array_free(fleet->active_jobs, TRUE);
    g_ptr_array_free(fleet->final_jobs, TRUE);
    g_ptr_array_free(fleet->worker_list, TRUE);
    g_hash_table_destroy(fleet->jobs);
    g_hash_table_destroy(fleet->workers);
    g_hash_table_destroy(fleet->rack_numbers);
    g_array_free(fleet->label_pairs, TRUE);
    g_hash_table_destroy(fleet->queue_run_times);
    g_hash_table_destroy(fleet->stored_speeds);
    g_hash_table_destroy(fleet->unwanted_tasks);
    g_hash_table_destroy(fleet->unsettled_starts);
    reserve_free(fleet->reserve);
    tombstones_free(fleet->tombstones);
}

void
fleet_reset(cs_fleet *fleet)
{
    fleet->generation++;
    commit_clear(fleet);
    forecast_reset(fleet);
    destroy_tables(fleet);
    create_tables(fleet);
    ledger_reset(fleet->ledger);
    feeds_init(fleet);
    fleet->cycle_requested = false;
    fleet->advice_pending = false;
    fleet->idle_heartbeats = 0;
    fleet->former.member_read_pending = false;
    fleet->former.tenure_read_pending = false;
    fleet->headroom.used_accelerators = 0;
    fleet->starts_held = false;
    fleet->deferred_steps = 0;
    *fleet->deferred_gauge = 0;
    *fleet->former_gauge = 0;
    fleet->terms_version = 0;
    *cs_fleet_state_counter(fleet->state, "cs_jobs_without_queue") = 0;
    *cs_fleet_state_counter(fleet->state, "cs_tombstones") = 0;
}

cs_fleet *
cs_fleet_create(cs_fleet_state *state)
{
    cs_fleet *fleet = g_new0(cs_fleet, 1);

    fleet->state = state;
    fleet->tenure = TENURE_FOLLOWING;
    fleet->created_us = fleet_now(fleet).boot_us;
    fleet->max_tasks = job_max_tasks(state->settings.memory_bytes);
    fleet->deferred_gauge = cs_fleet_state_counter(state, "cs_steps_deferred");
    fleet->former_gauge =
        cs_fleet_state_counter(state, "cs_tasks_behind_former_holders");
    create_tables(fleet);
    fleet->ledger = ledger_create();
    feeds_init(fleet);
    commit_init(&fleet->commit);
    return fleet;
}

void
cs_fleet_destroy(cs_fleet *fleet)
{
    if (!fleet)
        return;
    forecast_reset(fleet);
    destroy_tables(fleet);
    commit_dispose(&fleet->commit);
    ledger_destroy(fleet->ledger);
    g_free(fleet);
}

/* Does the work that no event triggers, only the passing of time. */
static void
run_timed_work(cs_fleet *fleet)
{
    cs_now now = fleet_now(fleet);

    if (now.boot_us < fleet->next_timed_work_us)
        return;
    fleet->next_timed_work_us = now.boot_us + TIMED_WORK_INTERVAL_US;
    job_create_all_due_steps(fleet, now.wall_us / CS_MS_US);
    job_terms_count(fleet);
    evacuate_tick(fleet);
    cs_headroom_advance(&fleet->headroom,
                        TIMED_WORK_INTERVAL_US / (double)CS_SEC_US);
    job_queue_expired(fleet);
    job_remove_expired(fleet);
    tombstones_remove_expired(fleet);
    fleet->cycle_requested = true;
}

void
cs_fleet_tick(cs_fleet *fleet)
{
    tenure_tick(fleet);
    switch (fleet->tenure) {
    case TENURE_FOLLOWING:
    case TENURE_ACQUIRING:
        return;
    case TENURE_LOADING:
        job_terms_tick(fleet);
        feeds_tick(fleet);
        if (fleet->tenure == TENURE_HOLDING) {
            fleet->loaded_us = fleet_now(fleet).boot_us;
            run_log_adopted(fleet);
        }
        commit_tick(fleet);
        return;
    case TENURE_HOLDING:
        job_terms_tick(fleet);
        feeds_tick(fleet);
        former_holder_tick(fleet);
        heartbeat_tick(fleet);
        run_timed_work(fleet);
        if (fleet->cycle_requested)
            cycle_run(fleet);
        forecast_tick(fleet);
        commit_tick(fleet);
        return;
    }
}

bool
cs_fleet_is_holder(const cs_fleet *fleet)
{
    return fleet->tenure == TENURE_HOLDING;
}

uint32_t
cs_fleet_worker_count(const cs_fleet *fleet)
{
    return fleet->worker_list->len;
}

void
cs_fleet_release(cs_fleet *fleet)
{
    fleet->release_requested = true;
}

bool
cs_fleet_is_released(const cs_fleet *fleet)
{
    return fleet->tenure == TENURE_FOLLOWING;
}
