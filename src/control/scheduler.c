#include "scheduler_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/store.h"

#include <string.h>

/* A turn is made at least this often, for waits that time alone ends. */
#define TURN_US (500 * CS_MS_US)
/* Every worker is looked at this often, for heartbeats and lost leases. */
#define SCAN_US (100 * CS_MS_US)

cs_now
sched_now(const cs_scheduler *s)
{
    return cs_outbox_now(s->outbox);
}

bool
sched_leads(const cs_scheduler *s)
{
    return s->leading && cs_cell_is_held(s->cell, sched_now(s).boot_us);
}

struct link *
sched_find_link(const cs_scheduler *s, const char *name)
{
    return g_hash_table_lookup(s->links_by_name, name);
}

struct gang *
sched_find_gang(const cs_scheduler *s, const char *name)
{
    return g_hash_table_lookup(s->gangs, name);
}

static void
on_change(void *data, const cs_change *change)
{
    cs_scheduler *s = data;

    if (s->leading)
        mirror_change(s, change);
}

static void
find_counters(cs_scheduler *s)
{
    s->started = cs_counters_get(s->counters, "cs_gangs_started_total");
    s->succeeded = cs_counters_get(s->counters, "cs_gangs_succeeded_total");
    s->failed = cs_counters_get(s->counters, "cs_gangs_failed_total");
    s->preempted = cs_counters_get(s->counters, "cs_gangs_preempted_total");
    s->orders = cs_counters_get(s->counters, "cs_worker_orders_total");
    s->worker_calls = cs_counters_get(s->counters, "cs_worker_calls_total");
    s->turns = cs_counters_get(s->counters, "cs_turns_total");
}

cs_scheduler *
cs_scheduler_create(cs_board *board, cs_outbox *outbox, cs_journal *journal,
                    cs_counters *counters,
                    const cs_scheduler_settings *settings)
{
    cs_scheduler *s = g_new0(cs_scheduler, 1);

    s->board = board;
    s->outbox = outbox;
    s->journal = journal;
    s->counters = counters;
    s->unsafe_no_fence = settings->unsafe_no_fence;
    g_strlcpy(s->zone, settings->zone, sizeof(s->zone));
    g_strlcpy(s->name, settings->name, sizeof(s->name));
    s->cell = cs_cell_create(outbox, counters, settings->zone, settings->name,
                             settings->incarnation, settings->cell_lease_us);
    s->links = g_ptr_array_new();
    s->links_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    s->gangs = g_hash_table_new(g_str_hash, g_str_equal);
    s->active = g_ptr_array_new();
    s->touched = g_ptr_array_new();
    s->organisations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->classes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->listener = cs_board_listen(board, on_change, s);
    find_counters(s);
    cs_journal_follow(journal, CS_SCOPE_CONFIG);
    cs_journal_follow(journal, settings->zone);
    return s;
}

void
cs_scheduler_destroy(cs_scheduler *s)
{
    if (!s)
        return;
    cs_board_unlisten(s->board, s->listener);
    mirror_clear(s);
    g_ptr_array_free(s->links, TRUE);
    g_ptr_array_free(s->active, TRUE);
    g_ptr_array_free(s->touched, TRUE);
    g_hash_table_destroy(s->links_by_name);
    g_hash_table_destroy(s->gangs);
    g_hash_table_destroy(s->organisations);
    g_hash_table_destroy(s->classes);
    cs_cell_destroy(s->cell);
    g_free(s);
}

static void
set_fence(cs_scheduler *s)
{
    char key[CS_STORE_KEY_BYTES];

    cs_store_key_cell(key, s->zone);
    cs_journal_set_fence(s->journal, s->zone, key,
                         s->unsafe_no_fence ? 0 : cs_cell_fence(s->cell));
}

/* Calls of the last tenure still refer to the old links. */
static bool
links_idle(const cs_scheduler *s)
{
    guint i;

    for (i = 0; i < s->links->len; i++) {
        if (((struct link *)g_ptr_array_index(s->links, i))->busy)
            return false;
    }
    return true;
}

/* Starts a tenure when all that earlier holders wrote has been read. */
static void
begin(cs_scheduler *s)
{
    if (!links_idle(s) || cs_journal_pending(s->journal) > 0)
        return;
    mirror_clear(s);
    s->rebuild = false;
    s->leading = true;
    set_fence(s);
    mirror_build(s);
    cs_log_event("cell-leading", "%s with %u workers and %u jobs", s->zone,
                 s->links->len, g_hash_table_size(s->gangs));
}

static void
end(cs_scheduler *s)
{
    s->leading = false;
    set_fence(s);
    cs_log_event("cell-following", "%s", s->zone);
}

static void
carry_out(cs_scheduler *s, const cs_decision *decision)
{
    struct gang *gang = cs_sched_job_data(decision->job);
    int64_t now_us = sched_now(s).boot_us;

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
decide(cs_scheduler *s)
{
    cs_decision decisions[DECISIONS_MAX];
    int64_t now_us = sched_now(s).boot_us;
    uint32_t count;
    uint32_t i;

    if (!s->decide && now_us < s->next_turn_us)
        return;
    s->decide = false;
    s->next_turn_us = now_us + TURN_US;
    (*s->turns)++;
    count = cs_sched_turn(s->sched, decisions, DECISIONS_MAX, now_us);
    for (i = 0; i < count; i++)
        carry_out(s, &decisions[i]);
    if (count == DECISIONS_MAX)
        s->decide = true;
}

/* Final gangs are dropped once their end is written. */
static void
step_gangs(cs_scheduler *s)
{
    GPtrArray *gangs = s->active;
    guint i;

    s->active = g_ptr_array_new();
    for (i = 0; i < gangs->len; i++)
        ((struct gang *)g_ptr_array_index(gangs, i))->active = false;
    for (i = 0; i < gangs->len; i++) {
        struct gang *gang = g_ptr_array_index(gangs, i);

        gang_step(gang);
        gang_write(gang);
        if (gang->state == GANG_FINAL && !gang->dirty && !gang->writing) {
            g_ptr_array_remove(s->active, gang);
            g_hash_table_remove(s->gangs, gang->name);
            gang_destroy(gang);
        }
        else if (!gang_is_idle(gang)) {
            gang_touch(gang);
        }
    }
    g_ptr_array_free(gangs, TRUE);
}

static void
tick_touched(cs_scheduler *s)
{
    GPtrArray *links = s->touched;
    guint i;

    s->touched = g_ptr_array_new();
    for (i = 0; i < links->len; i++) {
        struct link *link = g_ptr_array_index(links, i);

        link->touched = false;
        link_tick(link);
    }
    g_ptr_array_free(links, TRUE);
}

static void
tick_all(cs_scheduler *s)
{
    int64_t now_us = sched_now(s).boot_us;
    guint i;

    if (now_us < s->next_scan_us)
        return;
    s->next_scan_us = now_us + SCAN_US;
    for (i = 0; i < s->links->len; i++)
        link_tick(g_ptr_array_index(s->links, i));
}

static void
lead(cs_scheduler *s)
{
    if (!s->draining)
        decide(s);
    step_gangs(s);
    tick_all(s);
    tick_touched(s);
    retention_tick(s);
}

/* The table must be read after the take, so that nothing written before
   it is missed. */
static bool
has_caught_up(const cs_scheduler *s)
{
    int64_t taken_us =
        cs_cell_deadline_us(s->cell) - cs_cell_lease_us(s->cell);

    return cs_journal_has_read(s->journal, s->zone, taken_us) &&
           cs_journal_has_read(s->journal, CS_SCOPE_CONFIG, taken_us);
}

void
cs_scheduler_tick(cs_scheduler *s)
{
    bool held;

    cs_cell_tick(s->cell);
    held = cs_cell_is_held(s->cell, sched_now(s).boot_us);
    if (held && !s->leading && has_caught_up(s))
        begin(s);
    else if ((!held || s->rebuild) && s->leading)
        end(s);
    if (s->leading)
        lead(s);
}

void
cs_scheduler_drain(cs_scheduler *s)
{
    s->draining = true;
    cs_cell_release(s->cell);
}

bool
cs_scheduler_is_drained(const cs_scheduler *s)
{
    return s->draining && !cs_cell_fence(s->cell);
}

const cs_cell *
cs_scheduler_cell(const cs_scheduler *s)
{
    return s->cell;
}

static json_t *
explain_status(const cs_job_status *status)
{
    return json_pack("{s:s,s:o}", "state", cs_job_state_name(status->state),
                     "status", cs_job_status_write(status));
}

json_t *
cs_scheduler_explain(const cs_scheduler *s, const char *job)
{
    const cs_record *record = cs_board_find(s->board, CS_KIND_JOB, job);
    const struct gang *gang = sched_find_gang(s, job);
    char reason[40];
    char message[200];
    int64_t expected_us;
    json_t *answer;

    if (!record)
        return NULL;
    answer = explain_status(gang ? &gang->status : &record->job);
    if (!s->leading || !gang || !gang->job)
        return answer;
    cs_sched_explain(s->sched, gang->job, sched_now(s).boot_us, reason,
                     sizeof(reason), message, sizeof(message), &expected_us);
    json_object_set_new(answer, "reason", json_string(reason));
    json_object_set_new(answer, "message", json_string(message));
    json_object_set_new(
        answer, "estimate_s",
        json_integer(cs_sched_estimate_us(s->sched, gang->job) / CS_SEC_US));
    return answer;
}

json_t *
cs_scheduler_summary(const cs_scheduler *s)
{
    cs_sched_stats stats = {0};
    uint32_t ready = 0;
    guint i;

    if (s->leading)
        stats = cs_sched_get_stats(s->sched);
    for (i = 0; i < s->links->len; i++) {
        const struct link *link = g_ptr_array_index(s->links, i);

        if (link->state == LINK_READY)
            ready++;
    }
    return json_pack(
        "{s:s,s:s,s:b,s:I,s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "zone", s->zone,
        "holder", cs_cell_holder(s->cell), "leading", s->leading, "epoch",
        (json_int_t)cs_cell_epoch(s->cell), "workers", (int)s->links->len,
        "workers_ready", (int)ready, "accelerators", (int)stats.accelerators,
        "free", (int)stats.free, "queued", (int)stats.queued, "started",
        (int)stats.started, "guarantees_short", (int)stats.guarantees_short);
}
