#include "fake_world_internal.h"
#include "corianderstair/admission.h"
#include "corianderstair/errors.h"

#include <stdlib.h>
#include <string.h>

#define TICK_US (20 * CS_MS_US)
#define SUBMIT_DEADLINE_US (4 * CS_SEC_US)
#define EPOCH_WALL_US INT64_C(1700000000000000)

/* One step of the operator's session. */
struct step {
    int64_t pause_ms; /* after the step before was answered */
    cs_kind kind;
    const char *name;
    const char *value;
};

#define WORKER_STEP(n)                                                        \
    {                                                                         \
        0, CS_KIND_WORKER, "w" n,                                             \
            "{\"name\":\"w" n "\",\"zone\":\"zone\",\"rack\":0,"              \
            "\"address\":\"127.0.0.1:1\",\"accelerators\":8}"                 \
    }

static const struct step script[] = {
    {0, CS_KIND_CONFIG, "main",
     "{\"name\":\"main\",\"worker_lease_ms\":3000,\"grace_ms\":1000}"},
    {0, CS_KIND_ZONE, "zone", "{\"name\":\"zone\"}"},
    WORKER_STEP("0"),
    WORKER_STEP("1"),
    WORKER_STEP("2"),
    WORKER_STEP("3"),
    WORKER_STEP("4"),
    {0, CS_KIND_ORGANISATION, "own",
     "{\"name\":\"own\",\"guarantees\":[{\"zone\":\"zone\","
     "\"accelerators\":32,\"count\":1}]}"},
    {0, CS_KIND_ORGANISATION, "other", "{\"name\":\"other\"}"},
    {0, CS_KIND_ORGANISATION, "greedy",
     "{\"name\":\"greedy\",\"guarantees\":[{\"zone\":\"zone\","
     "\"accelerators\":40,\"count\":1}]}"},
    {500, CS_KIND_JOB, "once",
     "{\"name\":\"once\",\"organisation\":\"other\",\"zone\":\"zone\","
     "\"accelerators\":16,\"run_ms\":3000,\"declared_s\":3}"},
    {0, CS_KIND_JOB, "filler",
     "{\"name\":\"filler\",\"organisation\":\"other\",\"zone\":\"zone\","
     "\"tier\":\"opportunistic\",\"accelerators\":24,\"run_ms\":5000,"
     "\"restartable\":true,\"checkpoint\":true}"},
    {1500, CS_KIND_JOB, "claim",
     "{\"name\":\"claim\",\"organisation\":\"own\",\"zone\":\"zone\","
     "\"tier\":\"guaranteed\",\"accelerators\":32,\"run_ms\":4000,"
     "\"restartable\":true}"},
    {2500, CS_KIND_JOB, "greedy-claim",
     "{\"name\":\"greedy-claim\",\"organisation\":\"greedy\",\"zone\":"
     "\"zone\",\"tier\":\"guaranteed\",\"accelerators\":40,\"run_ms\":500,"
     "\"restartable\":true}"},
    {0, CS_KIND_JOB, "dropped",
     "{\"name\":\"dropped\",\"organisation\":\"other\",\"zone\":\"zone\","
     "\"accelerators\":8,\"run_ms\":60000,\"restartable\":true}"},
    {2500, CS_KIND_JOB, "dropped",
     "{\"name\":\"dropped\",\"organisation\":\"other\",\"zone\":\"zone\","
     "\"accelerators\":8,\"run_ms\":60000,\"restartable\":true,"
     "\"cancelled\":true}"},
    {0, CS_KIND_CONFIG, "main",
     "{\"name\":\"main\",\"worker_lease_ms\":3000,\"grace_ms\":900}"},
};

static void
start_node(struct world *w, struct node *node)
{
    char name[16];
    char incarnation[32];
    cs_scheduler_settings settings = {.zone = WORLD_ZONE,
                                      .name = name,
                                      .incarnation = incarnation,
                                      .cell_lease_us = WORLD_CELL_LEASE_US,
                                      .unsafe_no_fence =
                                          w->options.breaks.no_fencing};

    g_snprintf(name, sizeof(name), "n%u", node->index);
    g_snprintf(incarnation, sizeof(incarnation), "n%u-%u", node->index,
               ++node->run);
    node->alive = true;
    node->paused_until_us = 0;
    node->outbox = cs_outbox_create();
    cs_outbox_set_now(node->outbox, w->now);
    node->board = cs_board_create();
    node->counters = cs_counters_create();
    node->journal = cs_journal_create(
        node->board, node->outbox, node->counters, name, incarnation,
        w->options.breaks.no_admission ? NULL : cs_admission_check);
    cs_journal_set_poll_us(node->journal, 250 * CS_MS_US);
    node->scheduler = NULL;
    if (node->index != WORLD_ENTRY) {
        node->scheduler =
            cs_scheduler_create(node->board, node->outbox, node->journal,
                                node->counters, &settings);
        return;
    }
    cs_journal_follow(node->journal, CS_SCOPE_CONFIG);
    cs_journal_follow(node->journal, WORLD_ZONE);
}

static void
free_node(struct node *node)
{
    if (!node->alive)
        return;
    node->alive = false;
    cs_journal_destroy(node->journal);
    cs_scheduler_destroy(node->scheduler);
    cs_counters_destroy(node->counters);
    cs_board_destroy(node->board);
    cs_outbox_destroy(node->outbox);
}

void
world_kill(struct world *w, struct node *node)
{
    free_node(node);
    node->replace_us = w->now.boot_us + WORLD_REPLACE_US;
    memset(node->highest, 0, sizeof(node->highest));
}

static void
on_told(void *data, int code, uint64_t version)
{
    struct told *told = data;

    told->answered = true;
    told->code = code;
    told->version = version;
}

static void
submit_step(struct world *w, const struct step *step)
{
    struct node *entry = &w->nodes[WORLD_ENTRY];
    struct told *told = g_new0(struct told, 1);
    const char *scope =
        step->kind == CS_KIND_JOB ? WORLD_ZONE : CS_SCOPE_CONFIG;
    cs_change *change =
        cs_change_create(scope, CS_OP_PUT, step->kind, step->name,
                         json_loads(step->value, 0, NULL));

    told->world = w;
    g_strlcpy(told->name, step->name, sizeof(told->name));
    g_strlcpy(told->scope, scope, sizeof(told->scope));
    g_ptr_array_add(w->told, told);
    if (strcmp(step->name, "claim") == 0 && !w->claim_us)
        w->claim_us = w->now.boot_us;
    if (cs_journal_submit(entry->journal, change, CS_MATCH_ANY,
                          w->now.boot_us + SUBMIT_DEADLINE_US, on_told, told))
        told->answered = true;
}

/* An operator sends a change again until it is accepted or refused. */
static bool
is_settled(const struct told *told)
{
    return told->answered && told->code != CS_E_STORE &&
           told->code != CS_E_UNKNOWN;
}

static void
run_script(struct world *w)
{
    const struct node *entry = &w->nodes[WORLD_ENTRY];
    const struct told *last =
        w->told->len ? g_ptr_array_index(w->told, w->told->len - 1) : NULL;

    if (!entry->alive || entry->paused_until_us > w->now.boot_us)
        return;
    if (last && !last->answered)
        return;
    if (last && !is_settled(last)) {
        submit_step(w, &script[w->script_step - 1]);
        return;
    }
    if (w->script_step == G_N_ELEMENTS(script))
        return;
    if (!w->step_due_us)
        w->step_due_us =
            w->now.boot_us + script[w->script_step].pause_ms * CS_MS_US;
    if (w->now.boot_us < w->step_due_us)
        return;
    w->step_due_us = 0;
    submit_step(w, &script[w->script_step++]);
}

static void
watch_versions(struct node *node)
{
    const char *scopes[] = {CS_SCOPE_CONFIG, WORLD_ZONE};
    size_t i;

    for (i = 0; i < 2; i++) {
        uint64_t version = cs_board_version(node->board, scopes[i]);

        node->went_back |= version < node->highest[i];
        node->highest[i] = version;
    }
}

static void
tick_node(struct world *w, struct node *node)
{
    if (!node->alive) {
        if (w->now.boot_us >= node->replace_us)
            start_node(w, node);
        return;
    }
    if (node->paused_until_us > w->now.boot_us)
        return;
    cs_outbox_set_now(node->outbox, w->now);
    cs_journal_tick(node->journal);
    if (node->scheduler)
        cs_scheduler_tick(node->scheduler);
    watch_versions(node);
}

static void
step(struct world *w)
{
    uint32_t i;

    for (i = 0; i < WORLD_WORKERS; i++)
        fake_worker_tick(w->workers[i], w->now);
    world_deliver(w);
    for (i = 0; i < WORLD_NODES; i++)
        tick_node(w, &w->nodes[i]);
    run_script(w);
    world_carry(w);
}

static void
build(struct world *w, const world_options *options)
{
    fake_worker_faults faults = {.ignore_epochs = options->breaks.no_fencing,
                                 .ignore_leases =
                                     options->breaks.no_worker_lease};
    uint32_t i;

    w->options = *options;
    cs_random_init(&w->random, options->seed);
    w->now.boot_us = CS_SEC_US;
    w->now.wall_us = EPOCH_WALL_US;
    w->table = fake_table_create();
    w->flights = g_ptr_array_new();
    w->told = g_ptr_array_new_with_free_func(g_free);
    for (i = 0; i < WORLD_WORKERS; i++) {
        char name[8];

        g_snprintf(name, sizeof(name), "w%u", i);
        w->workers[i] = fake_worker_create(name, 8);
        fake_worker_set_faults(w->workers[i], faults);
    }
    for (i = 0; i < WORLD_NODES; i++) {
        w->nodes[i].world = w;
        w->nodes[i].index = i;
        start_node(w, &w->nodes[i]);
    }
}

static void
free_world(struct world *w)
{
    uint32_t i;

    for (i = 0; i < WORLD_NODES; i++)
        free_node(&w->nodes[i]);
    w->closing = true;
    while (w->flights->len > 0) {
        world_discard(g_ptr_array_index(w->flights, 0));
        g_ptr_array_remove_index(w->flights, 0);
    }
    g_ptr_array_free(w->flights, TRUE);
    g_ptr_array_free(w->told, TRUE);
    for (i = 0; i < WORLD_WORKERS; i++)
        fake_worker_destroy(w->workers[i]);
    fake_table_destroy(w->table);
}

world_result
world_play(const world_options *options)
{
    struct world w = {0};

    build(&w, options);
    while (w.now.boot_us < WORLD_END_US) {
        step(&w);
        if (w.script_step == G_N_ELEMENTS(script) && world_all_final(&w))
            break;
        w.now.boot_us += TICK_US;
        w.now.wall_us += TICK_US;
    }
    w.result.settled_us = w.now.boot_us;
    w.result.calls = w.calls;
    world_check(&w);
    free_world(&w);
    return w.result;
}

const char *
world_promise_name(world_promise promise)
{
    static const char *const names[] = {"guarantee", "whole-gang", "truth",
                                        "once",      "durable",    "forward",
                                        "complete"};

    return names[promise];
}

const char *
world_fault_name(world_fault fault)
{
    static const char *const names[] = {
        "none",         "lose-request", "lose-reply",  "late-request",
        "late-reply",   "double",       "kill-before", "kill-after",
        "pause-before", "pause-after",  "store-down"};

    return names[fault];
}
