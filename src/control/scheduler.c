#include "scheduler_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/store.h"

#include <string.h>

/*
 * Maximum time between scheduling cycles: some waits end by the passage of
 * time and not by a change.
 */
#define CYCLE_INTERVAL_US (500 * CS_MS_US)
/* Interval of the check of every link for due heartbeats and lost workers. */
#define LINK_SCAN_INTERVAL_US (100 * CS_MS_US)

cs_now
sched_now(const cs_scheduler *scheduler)
{
    return cs_outbox_now(scheduler->outbox);
}

bool
sched_is_leading(const cs_scheduler *scheduler)
{
    return scheduler->leading &&
           cs_cell_is_held(scheduler->cell, sched_now(scheduler).boot_us);
}

struct link *
sched_find_link(const cs_scheduler *scheduler, const char *name)
{
    return g_hash_table_lookup(scheduler->links_by_name, name);
}

struct gang *
sched_find_gang(const cs_scheduler *scheduler, const char *name)
{
    return g_hash_table_lookup(scheduler->gangs, name);
}

static void
on_change(void *user_data, const cs_change *change)
{
    cs_scheduler *scheduler = user_data;

    if (scheduler->leading)
        mirror_apply_change(scheduler, change);
}

static void
init_counters(cs_scheduler *scheduler)
{
    scheduler->started =
        cs_counters_get(scheduler->counters, "cs_gangs_started_total");
    scheduler->succeeded =
        cs_counters_get(scheduler->counters, "cs_gangs_succeeded_total");
    scheduler->failed =
        cs_counters_get(scheduler->counters, "cs_gangs_failed_total");
    scheduler->preempted =
        cs_counters_get(scheduler->counters, "cs_gangs_preempted_total");
    scheduler->orders =
        cs_counters_get(scheduler->counters, "cs_worker_orders_total");
    scheduler->worker_calls =
        cs_counters_get(scheduler->counters, "cs_worker_calls_total");
    scheduler->cycles = cs_counters_get(scheduler->counters, "cs_turns_total");
}

cs_scheduler *
cs_scheduler_create(cs_store_view *store_view, cs_outbox *outbox,
                    cs_journal *journal, cs_counters *counters,
                    const cs_scheduler_settings *settings)
{
    cs_scheduler *scheduler = g_new0(cs_scheduler, 1);

    scheduler->store_view = store_view;
    scheduler->outbox = outbox;
    scheduler->journal = journal;
    scheduler->counters = counters;
    scheduler->unsafe_no_fence = settings->unsafe_no_fence;
    g_strlcpy(scheduler->zone, settings->zone, sizeof(scheduler->zone));
    g_strlcpy(scheduler->name, settings->name, sizeof(scheduler->name));
    scheduler->cell =
        cs_cell_create(outbox, counters, settings->zone, settings->name,
                       settings->incarnation, settings->cell_lease_us);
    scheduler->links = g_ptr_array_new();
    scheduler->links_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    scheduler->gangs = g_hash_table_new(g_str_hash, g_str_equal);
    scheduler->pending_gangs = g_ptr_array_new();
    scheduler->pending_links = g_ptr_array_new();
    scheduler->organisations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    scheduler->classes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    scheduler->subscription =
        cs_store_view_subscribe(store_view, on_change, scheduler);
    init_counters(scheduler);
    cs_journal_follow(journal, CS_SCOPE_CONFIG);
    cs_journal_follow(journal, settings->zone);
    return scheduler;
}

void
cs_scheduler_destroy(cs_scheduler *scheduler)
{
    if (!scheduler)
        return;
    cs_store_view_unsubscribe(scheduler->store_view, scheduler->subscription);
    mirror_clear(scheduler);
    g_ptr_array_free(scheduler->links, TRUE);
    g_ptr_array_free(scheduler->pending_gangs, TRUE);
    g_ptr_array_free(scheduler->pending_links, TRUE);
    g_hash_table_destroy(scheduler->links_by_name);
    g_hash_table_destroy(scheduler->gangs);
    g_hash_table_destroy(scheduler->organisations);
    g_hash_table_destroy(scheduler->classes);
    cs_cell_destroy(scheduler->cell);
    g_free(scheduler);
}

static void
set_fence(cs_scheduler *scheduler)
{
    char key[CS_STORE_KEY_BYTES];

    cs_store_key_cell(key, scheduler->zone);
    cs_journal_set_fence(scheduler->journal, scheduler->zone, key,
                         scheduler->unsafe_no_fence
                             ? 0
                             : cs_cell_fence_version(scheduler->cell));
}

/*
 * Returns whether no call to a worker is open. Open calls of the previous
 * tenure refer to its links, which must not be freed before.
 */
static bool
no_calls_open(const cs_scheduler *scheduler)
{
    guint i;

    for (i = 0; i < scheduler->links->len; i++) {
        if (((struct link *)g_ptr_array_index(scheduler->links, i))->call_open)
            return false;
    }
    return true;
}

/*
 * Starts a tenure, unless calls or changes of the previous one are pending.
 * Requires that everything earlier holders wrote has been read.
 */
static void
begin_tenure(cs_scheduler *scheduler)
{
    if (!no_calls_open(scheduler) ||
        cs_journal_pending(scheduler->journal) > 0)
        return;
    mirror_clear(scheduler);
    scheduler->rebuild_needed = false;
    scheduler->leading = true;
    set_fence(scheduler);
    mirror_build(scheduler);
    cs_log_event("cell-leading", "%s with %u workers and %u jobs",
                 scheduler->zone, scheduler->links->len,
                 g_hash_table_size(scheduler->gangs));
}

/* Ends the tenure. Its policy, links and gangs are freed when the next one
   starts. */
static void
end_tenure(cs_scheduler *scheduler)
{
    scheduler->leading = false;
    set_fence(scheduler);
    cs_log_event("cell-following", "%s", scheduler->zone);
}

static void
execute_decision(cs_scheduler *scheduler, const cs_decision *decision)
{
    struct gang *gang = cs_sched_job_user_data(decision->job);
    int64_t now_us = sched_now(scheduler).boot_us;

    switch (decision->type) {
    case CS_DECIDE_START:
        gang_place(gang);
        break;
    case CS_DECIDE_PREEMPT:
        gang_stop(gang, STOP_PREEMPTED,
                  MAX(decision->deadline_us - now_us, 0));
        break;
    }
}

static void
run_cycle(cs_scheduler *scheduler)
{
    cs_decision decisions[MAX_CYCLE_DECISIONS];
    int64_t now_us = sched_now(scheduler).boot_us;
    uint32_t count;
    uint32_t i;

    if (!scheduler->cycle_due && now_us < scheduler->next_cycle_us)
        return;
    scheduler->cycle_due = false;
    scheduler->next_cycle_us = now_us + CYCLE_INTERVAL_US;
    (*scheduler->cycles)++;
    count = cs_sched_run_cycle(scheduler->sched, decisions,
                               MAX_CYCLE_DECISIONS, now_us);
    for (i = 0; i < count; i++)
        execute_decision(scheduler, &decisions[i]);
    if (count == MAX_CYCLE_DECISIONS)
        scheduler->cycle_due = true;
}

/*
 * Advances the pending gangs and frees final ones whose status has been
 * written.
 */
static void
advance_gangs(cs_scheduler *scheduler)
{
    GPtrArray *gangs = scheduler->pending_gangs;
    guint i;

    scheduler->pending_gangs = g_ptr_array_new();
    for (i = 0; i < gangs->len; i++)
        ((struct gang *)g_ptr_array_index(gangs, i))->pending = false;
    for (i = 0; i < gangs->len; i++) {
        struct gang *gang = g_ptr_array_index(gangs, i);

        gang_advance(gang);
        gang_write(gang);
        if (gang->state == GANG_FINAL && !gang->dirty && !gang->writing) {
            g_ptr_array_remove(scheduler->pending_gangs, gang);
            g_hash_table_remove(scheduler->gangs, gang->name);
            gang_destroy(gang);
        }
        else if (!gang_is_idle(gang)) {
            gang_set_pending(gang);
        }
    }
    g_ptr_array_free(gangs, TRUE);
}

static void
tick_pending_links(cs_scheduler *scheduler)
{
    GPtrArray *links = scheduler->pending_links;
    guint i;

    scheduler->pending_links = g_ptr_array_new();
    for (i = 0; i < links->len; i++) {
        struct link *link = g_ptr_array_index(links, i);

        link->pending = false;
        link_tick(link);
    }
    g_ptr_array_free(links, TRUE);
}

static void
tick_all_links(cs_scheduler *scheduler)
{
    int64_t now_us = sched_now(scheduler).boot_us;
    guint i;

    if (now_us < scheduler->next_scan_us)
        return;
    scheduler->next_scan_us = now_us + LINK_SCAN_INTERVAL_US;
    for (i = 0; i < scheduler->links->len; i++)
        link_tick(g_ptr_array_index(scheduler->links, i));
}

static void
tick_leading(cs_scheduler *scheduler)
{
    if (!scheduler->draining)
        run_cycle(scheduler);
    advance_gangs(scheduler);
    tick_all_links(scheduler);
    tick_pending_links(scheduler);
    retention_tick(scheduler);
}

/*
 * Returns whether the store has been read since the cell was acquired, so that
 * nothing written before is missed.
 */
static bool
has_caught_up(const cs_scheduler *scheduler)
{
    int64_t acquired_us = cs_cell_lease_end_us(scheduler->cell) -
                          cs_cell_lease_us(scheduler->cell);

    return cs_journal_has_read_since(scheduler->journal, scheduler->zone,
                                     acquired_us) &&
           cs_journal_has_read_since(scheduler->journal, CS_SCOPE_CONFIG,
                                     acquired_us);
}

void
cs_scheduler_tick(cs_scheduler *scheduler)
{
    bool held;

    cs_cell_tick(scheduler->cell);
    held = cs_cell_is_held(scheduler->cell, sched_now(scheduler).boot_us);
    if (held && !scheduler->leading && has_caught_up(scheduler))
        begin_tenure(scheduler);
    else if ((!held || scheduler->rebuild_needed) && scheduler->leading)
        end_tenure(scheduler);
    if (scheduler->leading)
        tick_leading(scheduler);
}

void
cs_scheduler_drain(cs_scheduler *scheduler)
{
    scheduler->draining = true;
    cs_cell_release(scheduler->cell);
}

bool
cs_scheduler_is_drained(const cs_scheduler *scheduler)
{
    return scheduler->draining && !cs_cell_fence_version(scheduler->cell);
}

const cs_cell *
cs_scheduler_cell(const cs_scheduler *scheduler)
{
    return scheduler->cell;
}

static json_t *
explain_status(const cs_job_status *status)
{
    return json_pack("{s:s,s:o}", "state", cs_job_state_name(status->state),
                     "status", cs_job_status_write(status));
}

json_t *
cs_scheduler_explain(const cs_scheduler *scheduler, const char *job)
{
    const cs_resource_row *row =
        cs_store_view_find(scheduler->store_view, CS_KIND_JOB, job);
    const struct gang *gang = sched_find_gang(scheduler, job);
    char reason[40];
    char message[200];
    int64_t expected_us;
    json_t *explanation;

    if (!row)
        return NULL;
    explanation = explain_status(gang ? &gang->status : &row->job);
    if (!scheduler->leading || !gang || !gang->job)
        return explanation;
    cs_sched_explain(scheduler->sched, gang->job, sched_now(scheduler).boot_us,
                     reason, sizeof(reason), message, sizeof(message),
                     &expected_us);
    json_object_set_new(explanation, "reason", json_string(reason));
    json_object_set_new(explanation, "message", json_string(message));
    json_object_set_new(
        explanation, "estimate_s",
        json_integer(cs_sched_estimate_us(scheduler->sched, gang->job) /
                     CS_SEC_US));
    return explanation;
}

json_t *
cs_scheduler_summary(const cs_scheduler *scheduler)
{
    cs_sched_stats stats = {0};
    uint32_t ready = 0;
    guint i;

    if (scheduler->leading)
        stats = cs_sched_get_stats(scheduler->sched);
    for (i = 0; i < scheduler->links->len; i++) {
        const struct link *link = g_ptr_array_index(scheduler->links, i);

        if (link->state == LINK_READY)
            ready++;
    }
    return json_pack(
        "{s:s,s:s,s:b,s:I,s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "zone",
        scheduler->zone, "holder", cs_cell_holder(scheduler->cell), "leading",
        scheduler->leading, "epoch",
        (json_int_t)cs_cell_epoch(scheduler->cell), "workers",
        (int)scheduler->links->len, "workers_ready", (int)ready,
        "accelerators", (int)stats.accelerators, "free", (int)stats.free,
        "queued", (int)stats.queued, "started", (int)stats.started,
        "guarantees_short", (int)stats.guarantees_short);
}
