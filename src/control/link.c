/*
 * The conversation with one worker. Each call carries every order that the
 * gangs want there and the worker has not confirmed; all orders are
 * idempotent, so a lost answer is repaired by the next call. One field renews
 * all leases of the worker, and the answer lists them only when they are not
 * as they were last seen, so that a quiet worker costs a short call whatever
 * runs on it.
 */
#include "scheduler_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <inttypes.h>
#include <string.h>

/* No list of leases was seen, or a new one is wanted. */
#define SEEN_NONE INT64_C(-1)

struct link *
link_create(cs_scheduler *s, const cs_worker *worker, uint32_t index)
{
    struct link *link = g_new0(struct link, 1);

    link->s = s;
    link->index = index;
    link->gangs = g_ptr_array_new();
    link->orphans = g_array_new(FALSE, TRUE, sizeof(struct orphan));
    g_strlcpy(link->name, worker->name, sizeof(link->name));
    link_update(link, worker);
    return link;
}

void
link_touch(struct link *link)
{
    link->dirty = true;
    if (link->touched)
        return;
    link->touched = true;
    g_ptr_array_add(link->s->touched, link);
}

void
link_destroy(struct link *link)
{
    g_ptr_array_free(link->gangs, TRUE);
    g_array_free(link->orphans, TRUE);
    json_decref(link->sent);
    g_free(link);
}

void
link_update(struct link *link, const cs_worker *worker)
{
    g_strlcpy(link->address, worker->address, sizeof(link->address));
    link->cordoned = worker->cordoned;
    link->present = true;
    health_apply(link);
}

/* A new epoch of our own: nothing is known of the worker any more. */
void
link_forget_epoch(struct link *link)
{
    link->state = LINK_UNKNOWN;
    link->heard_us = sched_now(link->s).boot_us;
    link->next_us = 0;
    link_touch(link);
    link->seen = SEEN_NONE;
    g_array_set_size(link->orphans, 0);
    health_apply(link);
}

/*
 * A gang's token. Numbers of attempts that were never written may be used
 * again by a later holder, so the epoch is a part of it.
 */
static void
make_token(char *token, const struct gang *gang)
{
    g_snprintf(token, CS_TOKEN_BYTES, "%" PRId64 ".%" PRId64,
               gang->status.epoch, gang->status.attempt);
}

static json_t *
order_for_member(const struct gang *gang, const struct member *m,
                 const char *op, int64_t lease_wall_us)
{
    char token[CS_TOKEN_BYTES];

    make_token(token, gang);
    return json_pack(
        "{s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:b}", "op", op, "job", gang->name,
        "token", token, "mask", (json_int_t)m->mask, "lease_us",
        (json_int_t)lease_wall_us, "run_ms", (json_int_t)gang->run_ms,
        "grace_ms", (json_int_t)(gang->grace_us / CS_MS_US), "progress_ms",
        (json_int_t)gang->status.progress_ms, "checkpoint", gang->checkpoint);
}

/* What the gang wants changed of this member now; NULL for nothing. */
static const char *
wanted_op(const struct gang *gang, const struct member *m)
{
    switch (gang->state) {
    case GANG_RESERVING:
        return m->phase == PHASE_NONE && !m->refused ? "reserve" : NULL;
    case GANG_STARTING:
        return m->phase == PHASE_RESERVED && !m->refused ? "start" : NULL;
    case GANG_STOPPING:
        return m->phase == PHASE_EXITED ? NULL : "stop";
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
orphan_order(const struct orphan *orphan)
{
    return json_pack("{s:s,s:s,s:s,s:I}", "op",
                     orphan->phase == PHASE_EXITED ? "forget" : "stop", "job",
                     orphan->job, "token", orphan->token, "grace_ms",
                     (json_int_t)0);
}

/* A stop extends the lease no further than the grace it gives. */
static bool
extends_lease(const struct gang *gang)
{
    return gang->state != GANG_STOPPING ||
           sched_now(gang->s).boot_us < gang->stop_us;
}

static json_t *
build_orders(struct link *link, int64_t lease_wall_us)
{
    json_t *orders = json_array();
    guint i;

    for (i = 0; i < link->gangs->len; i++) {
        struct gang *gang = g_ptr_array_index(link->gangs, i);
        struct member *m = gang_member(gang, link);
        const char *op = wanted_op(gang, m);

        if (extends_lease(gang))
            m->lease_us = link->sent_lease_us;
        if (!op)
            continue;
        json_array_append_new(
            orders, order_for_member(gang, m, op,
                                     extends_lease(gang) ? lease_wall_us : 0));
    }
    for (i = 0; i < link->orphans->len; i++)
        json_array_append_new(orders, orphan_order(&g_array_index(
                                          link->orphans, struct orphan, i)));
    return orders;
}

static member_phase
read_phase(const char *word)
{
    if (g_strcmp0(word, "reserved") == 0)
        return PHASE_RESERVED;
    if (g_strcmp0(word, "running") == 0)
        return PHASE_RUNNING;
    return PHASE_EXITED;
}

static void
note_orphan(struct link *link, const char *job, const char *token,
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
    char ours[CS_TOKEN_BYTES] = "";
    member_phase phase =
        read_phase(json_string_value(json_object_get(lease, "phase")));
    struct gang *gang = job ? sched_find_gang(link->s, job) : NULL;
    struct member *m = gang ? gang_member(gang, link) : NULL;

    if (!job || !token)
        return;
    if (gang)
        make_token(ours, gang);
    if (!m || strcmp(ours, token) != 0) {
        /* A later holder needs this record until the end is written. */
        if (phase == PHASE_EXITED && gang && (gang->dirty || gang->writing)) {
            link->seen = SEEN_NONE;
            return;
        }
        note_orphan(link, job, token, phase);
        return;
    }
    m->phase = phase;
    m->exit_code = (int32_t)json_integer_value(json_object_get(lease, "exit"));
    m->progress_ms = json_integer_value(json_object_get(lease, "progress_ms"));
    if (phase >= PHASE_RUNNING)
        m->ever_ran = true;
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
        struct member *m = gang_member(gang, link);

        /* What the worker does not list it does not have. */
        if (leases && m->phase != PHASE_EXITED)
            m->phase = PHASE_NONE;
        m->reported = true;
    }
    if (!leases)
        return;
    g_array_set_size(link->orphans, 0);
    link->seen = json_integer_value(json_object_get(reply, "state"));
    json_array_foreach(leases, k, lease) read_lease(link, lease);
    /* The call that listed them did not renew them. */
    if (link->gangs->len > 0)
        link_touch(link);
}

static void
read_results(struct link *link, const json_t *reply)
{
    const json_t *results = json_object_get(reply, "results");
    const json_t *order;
    size_t i;

    json_array_foreach(link->sent, i, order)
    {
        const char *op = json_string_value(json_object_get(order, "op"));
        const char *job = json_string_value(json_object_get(order, "job"));
        struct gang *gang = sched_find_gang(link->s, job);
        struct member *m = gang ? gang_member(gang, link) : NULL;
        char token[CS_TOKEN_BYTES] = "";

        if (!m || json_integer_value(json_array_get(results, i)) == 0)
            continue;
        make_token(token, gang);
        if (g_strcmp0(token,
                      json_string_value(json_object_get(order, "token"))) != 0)
            continue;
        m->start_refused |= strcmp(op, "start") == 0;
        m->refused |= m->start_refused || strcmp(op, "reserve") == 0;
    }
}

static void
step_gangs(struct link *link)
{
    GPtrArray *gangs = g_ptr_array_copy(link->gangs, NULL, NULL);
    guint i;

    for (i = 0; i < gangs->len; i++)
        gang_step(g_ptr_array_index(gangs, i));
    g_ptr_array_free(gangs, TRUE);
}

static void
heard(struct link *link, const json_t *reply)
{
    link->heard_us = sched_now(link->s).boot_us;
    if (link->state == LINK_UNKNOWN || link->state == LINK_LOST) {
        if (link->state == LINK_LOST)
            cs_log_event("worker-back", "%s", link->name);
        link->state = LINK_READY;
        health_apply(link);
        link->s->decide = true;
    }
    read_leases(link, reply);
    read_results(link, reply);
    if (link->orphans->len > 0)
        link_touch(link);
    step_gangs(link);
}

static void
on_answer(void *data, int code, const json_t *reply)
{
    struct link *link = data;
    cs_scheduler *s = link->s;

    link->busy = false;
    if (code == 0 && sched_leads(s))
        heard(link, reply);
    else if (code == CS_E_FENCED && !s->unsafe_no_fence)
        cs_cell_fenced(s->cell,
                       json_integer_value(json_object_get(reply, "epoch")));
    json_decref(link->sent);
    link->sent = NULL;
    /* What was wanted while the call was open goes out now. */
    if (link->dirty)
        link_touch(link);
}

static void
call(struct link *link)
{
    cs_scheduler *s = link->s;
    cs_now now = sched_now(s);
    char path[96];
    json_t *body;
    int64_t deadline_us =
        MIN(now.boot_us + WORKER_TIMEOUT_US, cs_cell_deadline_us(s->cell));

    link->sent_lease_us = now.boot_us + s->worker_lease_us;
    link->sent = build_orders(link, now.wall_us + s->worker_lease_us);
    link->busy = true;
    link->dirty = false;
    link->next_us = now.boot_us + s->worker_lease_us / 3;
    *s->orders += (int64_t)json_array_size(link->sent);
    (*s->worker_calls)++;
    g_snprintf(path, sizeof(path), "/v1/workers/%s/orders", link->name);
    body = json_pack(
        "{s:I,s:I,s:I,s:I,s:O}", "epoch", (json_int_t)cs_cell_epoch(s->cell),
        "deadline_us", (json_int_t)(now.wall_us + deadline_us - now.boot_us),
        "renew_us", (json_int_t)(now.wall_us + s->worker_lease_us), "seen",
        (json_int_t)link->seen, "ops", link->sent);
    cs_outbox_push(s->outbox, CS_CALL_WORKER, link->address, path, body,
                   deadline_us, on_answer, link);
}

static void
lose(struct link *link)
{
    link->state = LINK_LOST;
    health_apply(link);
    cs_log_event("worker-lost", "%s is silent for a lease", link->name);
    step_gangs(link);
}

void
link_tick(struct link *link)
{
    cs_scheduler *s = link->s;
    int64_t now_us = sched_now(s).boot_us;

    health_watch(link);
    if (link->state != LINK_LOST &&
        now_us - link->heard_us > s->worker_lease_us)
        lose(link);
    if (link->busy || !(link->dirty || now_us >= link->next_us))
        return;
    if (link->present || link->gangs->len > 0)
        call(link);
}
