/* The network of the world and what goes wrong on it. */
#include "fake_world_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/store.h"

#include <string.h>

#define LATENCY_US (2 * CS_MS_US)
#define LATE_US (5 * CS_SEC_US)

static world_fault
fault_of(const struct world *w, uint32_t number)
{
    size_t i;

    for (i = 0; i < 2; i++) {
        if (w->options.strikes[i].call == number)
            return w->options.strikes[i].fault;
    }
    return WORLD_NO_FAULT;
}

static int64_t
latency_us(struct world *w)
{
    return LATENCY_US + (int64_t)cs_random_below(&w->random, LATENCY_US);
}

static void
plan(struct world *w, struct flight *f)
{
    f->arrive_us = w->now.boot_us + latency_us(w);
    f->return_us = f->arrive_us + latency_us(w);
    switch (f->fault) {
    case WORLD_LOSE_REQUEST:
        f->arrive_us = INT64_MAX;
        f->return_us = INT64_MAX;
        break;
    case WORLD_LOSE_REPLY:
        f->return_us = INT64_MAX;
        break;
    case WORLD_LATE_REQUEST:
        f->arrive_us += LATE_US;
        f->return_us += LATE_US;
        break;
    case WORLD_LATE_REPLY:
        f->return_us += LATE_US;
        break;
    case WORLD_DOUBLE:
        f->twice = true;
        break;
    case WORLD_STORE_DOWN:
        w->outage_until_us = w->now.boot_us + WORLD_OUTAGE_US;
        break;
    default:
        break;
    }
}

static void
send_one(struct world *w, struct node *node, cs_call *call)
{
    struct flight *f = g_new0(struct flight, 1);

    f->call = call;
    f->node = node->index;
    f->run = node->run;
    f->fault = fault_of(w, ++w->calls);
    plan(w, f);
    g_ptr_array_add(w->flights, f);
    if (f->fault == WORLD_PAUSE_BEFORE) {
        node->paused_until_us = w->now.boot_us + WORLD_PAUSE_US;
        /* What the process had decided goes out when it wakes. */
        f->arrive_us += WORLD_PAUSE_US;
        f->return_us += WORLD_PAUSE_US;
    }
    if (f->fault == WORLD_KILL_BEFORE) {
        f->arrive_us = INT64_MAX;
        world_kill(w, node);
    }
}

void
world_carry(struct world *w)
{
    uint32_t i;

    for (i = 0; i < WORLD_NODES; i++) {
        struct node *node = &w->nodes[i];
        cs_call *call;

        while (node->alive && (call = cs_outbox_pop(node->outbox)) != NULL)
            send_one(w, node, call);
    }
}

static fake_worker *
find_worker(struct world *w, const char *path)
{
    uint32_t i;

    for (i = 0; i < WORLD_WORKERS; i++) {
        char own[96];

        g_snprintf(own, sizeof(own), "/v1/workers/%s/orders",
                   fake_worker_name(w->workers[i]));
        if (strcmp(own, path) == 0)
            return w->workers[i];
    }
    return NULL;
}

static void
strip_conditions(json_t *body)
{
    json_object_set_new(body, "checks", json_array());
}

static int
execute(struct world *w, const struct flight *f, json_t **reply)
{
    const cs_call *call = f->call;
    json_t *body = json_deep_copy(call->body);
    int status = 503;

    if (call->type == CS_CALL_WORKER) {
        fake_worker *worker = find_worker(w, call->path);

        status = worker ? fake_worker_call(reply, worker, body, w->now) : 404;
    }
    else if (w->now.boot_us >= w->outage_until_us) {
        if (w->options.breaks.no_condition)
            strip_conditions(body);
        status = fake_table_call(reply, w->table, call->path, body);
    }
    json_decref(body);
    return status;
}

static struct node *
caller_of(struct world *w, const struct flight *f)
{
    struct node *node = &w->nodes[f->node];

    return node->alive && node->run == f->run ? node : NULL;
}

static void
arrive(struct world *w, struct flight *f)
{
    struct node *node = caller_of(w, f);

    f->arrived = true;
    if (f->twice) {
        json_t *first = NULL;

        execute(w, f, &first);
        json_decref(first);
    }
    f->status = execute(w, f, &f->reply);
    if (node && f->fault == WORLD_KILL_AFTER)
        world_kill(w, node);
    if (node && f->fault == WORLD_PAUSE_AFTER)
        node->paused_until_us = w->now.boot_us + WORLD_PAUSE_US;
}

static int
code_of(const struct flight *f)
{
    switch (f->status) {
    case 200:
        return 0;
    case 409:
        return f->call->type == CS_CALL_WORKER ? CS_E_FENCED : CS_E_CONFLICT;
    default:
        return CS_E_STORE;
    }
}

static void
flight_destroy(struct flight *f)
{
    json_decref(f->reply);
    g_free(f);
}

void
world_discard(struct flight *f)
{
    cs_call_drop(f->call);
    flight_destroy(f);
}

static void
finish(struct world *w, struct flight *f, int code)
{
    struct node *node = caller_of(w, f);

    if (!node) {
        world_discard(f);
        return;
    }
    cs_outbox_set_now(node->outbox, w->now);
    cs_call_finish(f->call, code,
                   code == CS_E_STORE || code == CS_E_UNKNOWN ? NULL
                                                              : f->reply);
    flight_destroy(f);
}

/* Moves one flight on. Returns whether it has ended. */
static bool
advance(struct world *w, struct flight *f)
{
    const struct node *node = &w->nodes[f->node];
    int64_t now_us = w->now.boot_us;
    int code;

    if (!f->arrived && f->arrive_us <= now_us)
        arrive(w, f);
    /* A paused caller notices neither answer nor deadline. */
    if (caller_of(w, f) && node->paused_until_us > now_us)
        return false;
    if (f->arrived && f->return_us <= now_us) {
        finish(w, f, code_of(f));
        return true;
    }
    if (f->call->deadline_us > now_us && caller_of(w, f))
        return false;
    if (!f->arrived && f->arrive_us != INT64_MAX)
        return false; /* it may still take effect */
    code = f->call->type == CS_CALL_STORE_READ ? CS_E_STORE : CS_E_UNKNOWN;
    finish(w, f, code);
    return true;
}

/* A late request is still under way when its caller has given up. */
static void
give_up_late(struct world *w)
{
    guint i;

    for (i = 0; i < w->flights->len; i++) {
        struct flight *f = g_ptr_array_index(w->flights, i);
        struct flight *ghost;

        if (f->arrived || f->arrive_us == INT64_MAX || !f->call->done ||
            f->call->deadline_us > w->now.boot_us || !caller_of(w, f) ||
            w->nodes[f->node].paused_until_us > w->now.boot_us)
            continue;
        ghost = g_new0(struct flight, 1);
        *ghost = *f;
        ghost->run = UINT32_MAX; /* nobody waits for its answer */
        ghost->call = g_new0(cs_call, 1);
        *ghost->call = *f->call;
        ghost->call->body = json_deep_copy(f->call->body);
        g_ptr_array_add(w->flights, ghost);
        f->arrive_us = INT64_MAX;
        f->return_us = INT64_MAX;
    }
}

void
world_deliver(struct world *w)
{
    guint i = 0;

    give_up_late(w);
    while (i < w->flights->len) {
        struct flight *f = g_ptr_array_index(w->flights, i);

        if (advance(w, f))
            g_ptr_array_remove_index(w->flights, i);
        else
            i++;
    }
}
