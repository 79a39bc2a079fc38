/*
 * Calls to one worker. Each call carries every order that the gangs need there
 * and that the worker has not confirmed. All orders are idempotent, so the
 * next call makes up for a lost answer. The field renew_us renews all leases
 * of the worker, and the answer lists the leases only if they differ from the
 * list last received, so that a call to a worker without changes stays short
 * however much runs there.
 */
#include "scheduler_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <inttypes.h>
#include <string.h>

/* No list of leases has been received, or a new one is required. */
#define LEASE_VERSION_NONE INT64_C(-1)

struct link *
link_create(cs_scheduler *scheduler, const cs_worker *worker, uint32_t index)
{
    struct link *link = g_new0(struct link, 1);

    link->scheduler = scheduler;
    link->index = index;
    link->gangs = g_ptr_array_new();
    link->orphans = g_array_new(FALSE, TRUE, sizeof(struct orphan));
    g_strlcpy(link->name, worker->name, sizeof(link->name));
    link_update(link, worker);
    return link;
}

void
link_set_pending(struct link *link)
{
    link->call_due = true;
    if (link->pending)
        return;
    link->pending = true;
    g_ptr_array_add(link->scheduler->pending_links, link);
}

void
link_destroy(struct link *link)
{
    g_ptr_array_free(link->gangs, TRUE);
    g_array_free(link->orphans, TRUE);
    json_decref(link->sent_orders);
    g_free(link);
}

void
link_update(struct link *link, const cs_worker *worker)
{
    g_strlcpy(link->address, worker->address, sizeof(link->address));
    link->cordoned = worker->cordoned;
    link->declared = true;
    health_update_usable(link);
}

void
link_reset(struct link *link)
{
    link->state = LINK_UNKNOWN;
    link->last_reply_us = sched_now(link->scheduler).boot_us;
    link->next_call_us = 0;
    link_set_pending(link);
    link->lease_version = LEASE_VERSION_NONE;
    g_array_set_size(link->orphans, 0);
    health_update_usable(link);
}

/*
 * Writes the token that identifies the gang's attempt. It contains the epoch,
 * because a later holder may use the number of an unrecorded attempt again.
 */
static void
make_token(char *token, const struct gang *gang)
{
    g_snprintf(token, CS_TOKEN_BYTES, "%" PRId64 ".%" PRId64,
               gang->status.epoch, gang->status.attempt);
}

static json_t *
order_for_member(const struct gang *gang, const struct member *member,
                 const char *op, int64_t lease_wall_us)
{
    char token[CS_TOKEN_BYTES];

    make_token(token, gang);
    return json_pack(
        "{s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:b}", "op", op, "job", gang->name,
        "token", token, "mask", (json_int_t)member->mask, "lease_us",
        (json_int_t)lease_wall_us, "run_ms", (json_int_t)gang->run_ms,
        "grace_ms", (json_int_t)(gang->grace_us / CS_MS_US), "progress_ms",
        (json_int_t)gang->status.progress_ms, "checkpoint", gang->checkpoint);
}

/* Returns the operation that the member needs now, or NULL. */
static const char *
required_op(const struct gang *gang, const struct member *member)
{
    switch (gang->state) {
    case GANG_RESERVING:
        return member->phase == PHASE_ABSENT && !member->refused ? "reserve"
                                                                 : NULL;
    case GANG_STARTING:
        return member->phase == PHASE_RESERVED && !member->refused ? "start"
                                                                   : NULL;
    case GANG_STOPPING:
        return member->phase == PHASE_EXITED ? NULL : "stop";
    case GANG_QUEUED:
    case GANG_RECORDING:
    case GANG_RUNNING:
    case GANG_ADOPTING:
    case GANG_FINAL:
        break;
    }
    return NULL;
}

static json_t *
order_for_orphan(const struct orphan *orphan)
{
    return json_pack("{s:s,s:s,s:s,s:I}", "op",
                     orphan->phase == PHASE_EXITED ? "forget" : "stop", "job",
                     orphan->job, "token", orphan->token, "grace_ms",
                     (json_int_t)0);
}

/*
 * Returns whether the members' leases are renewed. While a gang stops, they
 * are renewed only until the grace period ends.
 */
static bool
extends_lease(const struct gang *gang)
{
    return gang->state != GANG_STOPPING ||
           sched_now(gang->scheduler).boot_us < gang->grace_end_us;
}

static json_t *
build_orders(struct link *link, int64_t lease_wall_us)
{
    json_t *orders = json_array();
    guint i;

    for (i = 0; i < link->gangs->len; i++) {
        struct gang *gang = g_ptr_array_index(link->gangs, i);
        struct member *member = gang_find_member(gang, link);
        const char *op = required_op(gang, member);

        if (extends_lease(gang))
            member->lease_end_us = link->sent_lease_end_us;
        if (!op)
            continue;
        json_array_append_new(
            orders, order_for_member(gang, member, op,
                                     extends_lease(gang) ? lease_wall_us : 0));
    }
    for (i = 0; i < link->orphans->len; i++)
        json_array_append_new(orders, order_for_orphan(&g_array_index(
                                          link->orphans, struct orphan, i)));
    return orders;
}

static member_phase
read_phase(const char *phase_name)
{
    if (g_strcmp0(phase_name, "reserved") == 0)
        return PHASE_RESERVED;
    if (g_strcmp0(phase_name, "running") == 0)
        return PHASE_RUNNING;
    return PHASE_EXITED;
}

static void
add_orphan(struct link *link, const char *job, const char *token,
           member_phase phase)
{
    struct orphan orphan = {.phase = phase};

    g_strlcpy(orphan.job, job, sizeof(orphan.job));
    g_strlcpy(orphan.token, token, sizeof(orphan.token));
    g_array_append_val(link->orphans, orphan);
}

static void
read_lease(struct link *link, const json_t *lease)
{
    const char *job = json_string_value(json_object_get(lease, "job"));
    const char *token = json_string_value(json_object_get(lease, "token"));
    char own_token[CS_TOKEN_BYTES] = "";
    member_phase phase =
        read_phase(json_string_value(json_object_get(lease, "phase")));
    struct gang *gang = job ? sched_find_gang(link->scheduler, job) : NULL;
    struct member *member = gang ? gang_find_member(gang, link) : NULL;

    if (!job || !token)
        return;
    if (gang)
        make_token(own_token, gang);
    if (!member || strcmp(own_token, token) != 0) {
        /*
         * The worker must retain the record until the end of the gang has
         * been written, because a later holder would need it.
         */
        if (phase == PHASE_EXITED && gang && (gang->dirty || gang->writing)) {
            link->lease_version = LEASE_VERSION_NONE;
            return;
        }
        add_orphan(link, job, token, phase);
        return;
    }
    member->phase = phase;
    member->exit_code =
        (int32_t)json_integer_value(json_object_get(lease, "exit"));
    member->progress_ms =
        json_integer_value(json_object_get(lease, "progress_ms"));
    if (phase >= PHASE_RUNNING)
        member->ever_ran = true;
}

static void
read_leases(struct link *link, const json_t *reply)
{
    const json_t *leases = json_object_get(reply, "leases");
    const json_t *lease;
    size_t k;
    guint i;

    for (i = 0; i < link->gangs->len; i++) {
        struct gang *gang = g_ptr_array_index(link->gangs, i);
        struct member *member = gang_find_member(gang, link);

        /* A lease that is missing from the list does not exist. */
        if (leases && member->phase != PHASE_EXITED)
            member->phase = PHASE_ABSENT;
        member->reported = true;
    }
    if (!leases)
        return;
    g_array_set_size(link->orphans, 0);
    link->lease_version = json_integer_value(json_object_get(reply, "state"));
    json_array_foreach(leases, k, lease) read_lease(link, lease);
    /* A call that is answered with a list has not renewed the leases. */
    if (link->gangs->len > 0)
        link_set_pending(link);
}

/* Applies the results of the orders, which are listed as they were sent. */
static void
read_results(struct link *link, const json_t *reply)
{
    const json_t *results = json_object_get(reply, "results");
    const json_t *order;
    size_t i;

    json_array_foreach(link->sent_orders, i, order)
    {
        const char *op = json_string_value(json_object_get(order, "op"));
        const char *job = json_string_value(json_object_get(order, "job"));
        struct gang *gang = sched_find_gang(link->scheduler, job);
        struct member *member = gang ? gang_find_member(gang, link) : NULL;
        char token[CS_TOKEN_BYTES] = "";

        if (!member || json_integer_value(json_array_get(results, i)) == 0)
            continue;
        make_token(token, gang);
        if (g_strcmp0(token,
                      json_string_value(json_object_get(order, "token"))) != 0)
            continue;
        member->start_refused |= strcmp(op, "start") == 0;
        member->refused |= member->start_refused || strcmp(op, "reserve") == 0;
    }
}

static void
advance_gangs(struct link *link)
{
    GPtrArray *gangs = g_ptr_array_copy(link->gangs, NULL, NULL);
    guint i;

    for (i = 0; i < gangs->len; i++)
        gang_advance(g_ptr_array_index(gangs, i));
    g_ptr_array_free(gangs, TRUE);
}

static void
handle_reply(struct link *link, const json_t *reply)
{
    link->last_reply_us = sched_now(link->scheduler).boot_us;
    if (link->state == LINK_UNKNOWN || link->state == LINK_LOST) {
        if (link->state == LINK_LOST)
            cs_log_event("worker-back", "%s", link->name);
        link->state = LINK_READY;
        health_update_usable(link);
        link->scheduler->cycle_due = true;
    }
    read_leases(link, reply);
    read_results(link, reply);
    if (link->orphans->len > 0)
        link_set_pending(link);
    advance_gangs(link);
}

static void
on_call_done(void *user_data, int code, const json_t *reply)
{
    struct link *link = user_data;
    cs_scheduler *scheduler = link->scheduler;

    link->call_open = false;
    if (code == 0 && sched_is_leading(scheduler))
        handle_reply(link, reply);
    else if (code == CS_E_FENCED && !scheduler->unsafe_no_fence)
        cs_cell_report_epoch(
            scheduler->cell,
            json_integer_value(json_object_get(reply, "epoch")));
    json_decref(link->sent_orders);
    link->sent_orders = NULL;
    /* Sends the orders that became due while the call was open. */
    if (link->call_due)
        link_set_pending(link);
}

static void
make_call(struct link *link)
{
    cs_scheduler *scheduler = link->scheduler;
    cs_now now = sched_now(scheduler);
    char path[96];
    json_t *body;
    int64_t deadline_us = MIN(now.boot_us + WORKER_CALL_TIMEOUT_US,
                              cs_cell_lease_end_us(scheduler->cell));

    link->sent_lease_end_us = now.boot_us + scheduler->worker_lease_us;
    link->sent_orders =
        build_orders(link, now.wall_us + scheduler->worker_lease_us);
    link->call_open = true;
    link->call_due = false;
    link->next_call_us = now.boot_us + scheduler->worker_lease_us / 3;
    *scheduler->orders += (int64_t)json_array_size(link->sent_orders);
    (*scheduler->worker_calls)++;
    g_snprintf(path, sizeof(path), "/v1/workers/%s/orders", link->name);
    body = json_pack(
        "{s:I,s:I,s:I,s:I,s:O}", "epoch",
        (json_int_t)cs_cell_epoch(scheduler->cell), "deadline_us",
        (json_int_t)(now.wall_us + deadline_us - now.boot_us), "renew_us",
        (json_int_t)(now.wall_us + scheduler->worker_lease_us), "seen",
        (json_int_t)link->lease_version, "ops", link->sent_orders);
    cs_outbox_push(scheduler->outbox, CS_CALL_WORKER, link->address, path,
                   body, deadline_us, on_call_done, link);
}

static void
mark_lost(struct link *link)
{
    link->state = LINK_LOST;
    health_update_usable(link);
    cs_log_event("worker-lost", "%s has not replied for a whole lease",
                 link->name);
    advance_gangs(link);
}

void
link_tick(struct link *link)
{
    cs_scheduler *scheduler = link->scheduler;
    int64_t now_us = sched_now(scheduler).boot_us;

    health_log_change(link);
    if (link->state != LINK_LOST &&
        now_us - link->last_reply_us > scheduler->worker_lease_us)
        mark_lost(link);
    if (link->call_open || !(link->call_due || now_us >= link->next_call_us))
        return;
    if (link->declared || link->gangs->len > 0)
        make_call(link);
}
