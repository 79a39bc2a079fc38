/* The simulated zone: its processes and the operator's script. */
#include "fake_zone_internal.h"
#include "corianderstair/admission.h"
#include "corianderstair/errors.h"

#include <stdlib.h>
#include <string.h>

#define TICK_US (20 * CS_MS_US)
#define SUBMIT_DEADLINE_US (4 * CS_SEC_US)
#define WALL_CLOCK_START_US INT64_C(1700000000000000)

/* A change that the operator submits. */
struct action {
    int64_t pause_ms; /* after the reply to the previous action */
    cs_kind kind;
    const char *name;
    const char *value;
};

#define ADD_WORKER(n)                                                         \
    {                                                                         \
        0, CS_KIND_WORKER, "w" n,                                             \
            "{\"name\":\"w" n "\",\"zone\":\"zone\",\"rack\":0,"              \
            "\"address\":\"127.0.0.1:1\",\"accelerators\":8}"                 \
    }

/*
 * The changes of a session, in order. Together, the guarantees of "own" and
 * "greedy" exceed the 40 accelerators of the zone, so admission has to refuse
 * the second.
 */
static const struct action script[] = {
    {0, CS_KIND_CONFIG, "main",
     "{\"name\":\"main\",\"worker_lease_ms\":3000,\"grace_ms\":1000}"},
    {0, CS_KIND_ZONE, "zone", "{\"name\":\"zone\"}"},
    ADD_WORKER("0"),
    ADD_WORKER("1"),
    ADD_WORKER("2"),
    ADD_WORKER("3"),
    ADD_WORKER("4"),
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
start_process(struct fake_zone *zone, struct process *process)
{
    char name[16];
    char incarnation[32];
    cs_scheduler_settings settings = {.zone = FAKE_ZONE_NAME,
                                      .name = name,
                                      .incarnation = incarnation,
                                      .cell_lease_us = FAKE_ZONE_CELL_LEASE_US,
                                      .unsafe_no_fence =
                                          zone->options.disabled.no_fencing};

    g_snprintf(name, sizeof(name), "n%u", process->index);
    g_snprintf(incarnation, sizeof(incarnation), "n%u-%u", process->index,
               ++process->incarnation);
    process->alive = true;
    process->paused_until_us = 0;
    process->outbox = cs_outbox_create();
    cs_outbox_set_now(process->outbox, zone->now);
    process->store_view = cs_store_view_create();
    process->counters = cs_counters_create();
    process->journal = cs_journal_create(
        process->store_view, process->outbox, process->counters, name,
        incarnation,
        zone->options.disabled.no_admission ? NULL : cs_admission_check);
    cs_journal_set_poll_interval_us(process->journal, 250 * CS_MS_US);
    process->scheduler = NULL;
    if (process->index != FAKE_ZONE_ENTRY_PROCESS) {
        process->scheduler = cs_scheduler_create(
            process->store_view, process->outbox, process->journal,
            process->counters, &settings);
        return;
    }
    cs_journal_follow(process->journal, CS_SCOPE_CONFIG);
    cs_journal_follow(process->journal, FAKE_ZONE_NAME);
}

static void
end_process(struct process *process)
{
    if (!process->alive)
        return;
    process->alive = false;
    cs_journal_destroy(process->journal);
    cs_scheduler_destroy(process->scheduler);
    cs_counters_destroy(process->counters);
    cs_store_view_destroy(process->store_view);
    cs_outbox_destroy(process->outbox);
}

void
fake_zone_kill_process(struct fake_zone *zone, struct process *process)
{
    end_process(process);
    process->restart_us = zone->now.boot_us + FAKE_ZONE_RESTART_DELAY_US;
    memset(process->last_version, 0, sizeof(process->last_version));
}

static void
on_submitted(void *user_data, int code, uint64_t version)
{
    struct submission *submission = user_data;

    submission->answered = true;
    submission->code = code;
    submission->version = version;
}

static void
submit_action(struct fake_zone *zone, const struct action *action)
{
    struct process *entry = &zone->processes[FAKE_ZONE_ENTRY_PROCESS];
    struct submission *submission = g_new0(struct submission, 1);
    const char *scope =
        action->kind == CS_KIND_JOB ? FAKE_ZONE_NAME : CS_SCOPE_CONFIG;
    cs_change *change =
        cs_change_create(scope, CS_OP_PUT, action->kind, action->name,
                         json_loads(action->value, 0, NULL));

    submission->zone = zone;
    g_strlcpy(submission->name, action->name, sizeof(submission->name));
    g_strlcpy(submission->scope, scope, sizeof(submission->scope));
    g_ptr_array_add(zone->submissions, submission);
    if (strcmp(action->name, "claim") == 0 && !zone->claim_submitted_us)
        zone->claim_submitted_us = zone->now.boot_us;
    if (cs_journal_submit(entry->journal, change, CS_MATCH_ANY,
                          zone->now.boot_us + SUBMIT_DEADLINE_US, on_submitted,
                          submission))
        submission->answered = true;
}

/*
 * Returns whether a change was accepted or refused. The operator submits it
 * again after any other reply.
 */
static bool
is_settled(const struct submission *submission)
{
    return submission->answered &&
           submission->code != CS_E_STORE_UNAVAILABLE &&
           submission->code != CS_E_OUTCOME_UNKNOWN;
}

static void
run_script(struct fake_zone *zone)
{
    const struct process *entry = &zone->processes[FAKE_ZONE_ENTRY_PROCESS];
    const struct submission *last =
        zone->submissions->len
            ? g_ptr_array_index(zone->submissions, zone->submissions->len - 1)
            : NULL;

    if (!entry->alive || entry->paused_until_us > zone->now.boot_us)
        return;
    if (last && !last->answered)
        return;
    if (last && !is_settled(last)) {
        submit_action(zone, &script[zone->next_action - 1]);
        return;
    }
    if (zone->next_action == G_N_ELEMENTS(script))
        return;
    if (!zone->action_due_us)
        zone->action_due_us =
            zone->now.boot_us + script[zone->next_action].pause_ms * CS_MS_US;
    if (zone->now.boot_us < zone->action_due_us)
        return;
    zone->action_due_us = 0;
    submit_action(zone, &script[zone->next_action++]);
}

/* Records whether the version of a scope has decreased in a process. */
static void
record_versions(struct process *process)
{
    const char *scopes[] = {CS_SCOPE_CONFIG, FAKE_ZONE_NAME};
    size_t i;

    for (i = 0; i < 2; i++) {
        uint64_t version =
            cs_store_view_version(process->store_view, scopes[i]);

        process->version_decreased |= version < process->last_version[i];
        process->last_version[i] = version;
    }
}

static void
tick_process(struct fake_zone *zone, struct process *process)
{
    if (!process->alive) {
        if (zone->now.boot_us >= process->restart_us)
            start_process(zone, process);
        return;
    }
    if (process->paused_until_us > zone->now.boot_us)
        return;
    cs_outbox_set_now(process->outbox, zone->now);
    cs_journal_tick(process->journal);
    if (process->scheduler)
        cs_scheduler_tick(process->scheduler);
    record_versions(process);
}

static void
tick(struct fake_zone *zone)
{
    uint32_t i;

    for (i = 0; i < FAKE_ZONE_WORKERS; i++)
        fake_worker_tick(zone->workers[i], zone->now);
    fake_zone_deliver_calls(zone);
    for (i = 0; i < FAKE_ZONE_PROCESSES; i++)
        tick_process(zone, &zone->processes[i]);
    run_script(zone);
    fake_zone_send_calls(zone);
}

static void
set_up(struct fake_zone *zone, const fake_zone_options *options)
{
    fake_worker_faults faults = {.ignore_epochs = options->disabled.no_fencing,
                                 .ignore_leases =
                                     options->disabled.no_worker_lease};
    uint32_t i;

    zone->options = *options;
    cs_random_init(&zone->random, options->seed);
    zone->now.boot_us = CS_SEC_US;
    zone->now.wall_us = WALL_CLOCK_START_US;
    zone->table = fake_table_create();
    zone->flights = g_ptr_array_new();
    zone->submissions = g_ptr_array_new_with_free_func(g_free);
    for (i = 0; i < FAKE_ZONE_WORKERS; i++) {
        char name[8];

        g_snprintf(name, sizeof(name), "w%u", i);
        zone->workers[i] = fake_worker_create(name, 8);
        fake_worker_set_faults(zone->workers[i], faults);
    }
    for (i = 0; i < FAKE_ZONE_PROCESSES; i++) {
        zone->processes[i].zone = zone;
        zone->processes[i].index = i;
        start_process(zone, &zone->processes[i]);
    }
}

static void
tear_down(struct fake_zone *zone)
{
    uint32_t i;

    for (i = 0; i < FAKE_ZONE_PROCESSES; i++)
        end_process(&zone->processes[i]);
    zone->closing = true;
    while (zone->flights->len > 0) {
        fake_zone_discard_flight(g_ptr_array_index(zone->flights, 0));
        g_ptr_array_remove_index(zone->flights, 0);
    }
    g_ptr_array_free(zone->flights, TRUE);
    g_ptr_array_free(zone->submissions, TRUE);
    for (i = 0; i < FAKE_ZONE_WORKERS; i++)
        fake_worker_destroy(zone->workers[i]);
    fake_table_destroy(zone->table);
}

fake_zone_result
fake_zone_run(const fake_zone_options *options)
{
    struct fake_zone zone = {0};

    set_up(&zone, options);
    while (zone.now.boot_us < FAKE_ZONE_TIME_LIMIT_US) {
        tick(&zone);
        if (zone.next_action == G_N_ELEMENTS(script) &&
            fake_zone_all_jobs_final(&zone))
            break;
        zone.now.boot_us += TICK_US;
        zone.now.wall_us += TICK_US;
    }
    zone.result.ended_us = zone.now.boot_us;
    zone.result.call_count = zone.call_count;
    fake_zone_check(&zone);
    tear_down(&zone);
    return zone.result;
}

const char *
fake_zone_invariant_name(fake_zone_invariant invariant)
{
    static const char *const names[] = {"guarantee", "whole-gang", "truth",
                                        "once",      "durable",    "forward",
                                        "complete"};

    return names[invariant];
}

const char *
fake_zone_fault_name(fake_zone_fault fault)
{
    static const char *const names[] = {
        "none",         "lose-request", "lose-reply",  "late-request",
        "late-reply",   "double",       "kill-before", "kill-after",
        "pause-before", "pause-after",  "store-down"};

    return names[fault];
}
