#include "fleet_internal.h"

/* Boundaries of time pass unnoticed for at most this long. */
#define SCAN_US (100 * CS_MS_US)

cs_now
fleet_now(const cs_fleet *fleet)
{
    return cs_fleet_board_now(fleet->board);
}

void
fleet_count(const cs_fleet *fleet, const char *name)
{
    (*cs_fleet_board_counter(fleet->board, name))++;
}

void
call_init(struct call *call, cs_fleet *fleet, struct worker *worker)
{
    call->fleet = fleet;
    call->generation = fleet->generation;
    call->worker = worker;
    call->sent_us = fleet_now(fleet).boot_us;
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
    fleet->active = g_ptr_array_new();
    fleet->final = g_ptr_array_new();
    fleet->workers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, worker_free);
    fleet->worker_list = g_ptr_array_new();
    fleet->racks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    fleet->labels =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    fleet->durations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet->kept_speeds =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&fleet->dirty);
    g_queue_init(&fleet->expired);
    g_queue_init(&fleet->expired_progress);
    fleet->expiring = false;
}

static void
destroy_tables(cs_fleet *fleet)
{
    g_queue_clear(&fleet->dirty);
    g_queue_clear(&fleet->expired);
    g_queue_clear(&fleet->expired_progress);
    g_ptr_array_free(fleet->active, TRUE);
    g_ptr_array_free(fleet->final, TRUE);
    g_ptr_array_free(fleet->worker_list, TRUE);
    g_hash_table_destroy(fleet->jobs);
    g_hash_table_destroy(fleet->workers);
    g_hash_table_destroy(fleet->racks);
    g_hash_table_destroy(fleet->labels);
    g_hash_table_destroy(fleet->durations);
    g_hash_table_destroy(fleet->kept_speeds);
}

void
fleet_forget(cs_fleet *fleet)
{
    fleet->generation++;
    commit_clear(fleet);
    destroy_tables(fleet);
    create_tables(fleet);
    load_init(fleet);
    fleet->turn_wanted = false;
    fleet->advice_open = false;
    fleet->idle_looks = 0;
    fleet->headroom.used = 0;
}

cs_fleet *
cs_fleet_create(cs_fleet_board *board)
{
    cs_fleet *fleet = g_new0(cs_fleet, 1);

    fleet->board = board;
    fleet->tenure = TENURE_FOLLOWING;
    fleet->created_us = fleet_now(fleet).boot_us;
    create_tables(fleet);
    load_init(fleet);
    commit_init(&fleet->commit);
    return fleet;
}

void
cs_fleet_destroy(cs_fleet *fleet)
{
    if (!fleet)
        return;
    destroy_tables(fleet);
    commit_dispose(&fleet->commit);
    g_free(fleet);
}

/* What only the passing of time changes. */
static void
scan(cs_fleet *fleet)
{
    cs_now now = fleet_now(fleet);
    guint i;

    if (now.boot_us < fleet->next_scan_us)
        return;
    fleet->next_scan_us = now.boot_us + SCAN_US;
    for (i = 0; i < fleet->active->len; i++)
        job_make_due(fleet, g_ptr_array_index(fleet->active, i),
                     now.wall_us / CS_MS_US);
    evacuate_tick(fleet);
    cs_headroom_advance(&fleet->headroom, SCAN_US / (double)CS_SEC_US);
    job_sweep(fleet);
    job_expire(fleet);
    fleet->turn_wanted = true;
}

void
cs_fleet_tick(cs_fleet *fleet)
{
    tenure_tick(fleet);
    switch (fleet->tenure) {
    case TENURE_FOLLOWING:
    case TENURE_TAKING:
        return;
    case TENURE_LOADING:
        load_tick(fleet);
        commit_tick(fleet);
        return;
    case TENURE_HOLDING:
        load_tick(fleet);
        hold_tick(fleet);
        scan(fleet);
        if (fleet->turn_wanted)
            turn_run(fleet);
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
    fleet->release_wanted = true;
}

bool
cs_fleet_is_released(const cs_fleet *fleet)
{
    return fleet->tenure == TENURE_FOLLOWING;
}
