/*
 * Fault injection on a virtual clock: runs one session once for each call and
 * fault, then with random pairs of faults, and counts the violations of each
 * invariant. After that it runs sessions of a fleet in which zones are
 * evacuated under random faults. Exits with 1 if there was any violation.
 */
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/random.h"
#include "corianderstair/settings.h"
#include "fake_fleet.h"
#include "fake_zone.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* One case in so many is run twice to check that it is deterministic. */
#define REPEAT_INTERVAL 50

struct totals {
    uint32_t cases;
    uint32_t violations[FAKE_ZONE_INVARIANT_COUNT];
    uint32_t nondeterministic; /* repeated cases with another end state */
    int64_t session_max_us;
    int64_t partial_gang_max_us; /* part of a gang ran without the rest */
    int64_t claim_max_us;        /* from a claim to its start */
};

static void
print_violation(const fake_zone_options *options,
                const fake_zone_result *result, fake_zone_invariant invariant)
{
    printf("VIOLATION %s: %s; reproduce with --seed %" PRIu64
           " --first %s:%u --second %s:%u\n",
           fake_zone_invariant_name(invariant), result->violation[invariant],
           options->seed, fake_zone_fault_name(options->injections[0].fault),
           options->injections[0].call,
           fake_zone_fault_name(options->injections[1].fault),
           options->injections[1].call);
}

static void
run_case(struct totals *totals, const fake_zone_options *options)
{
    fake_zone_result result = fake_zone_run(options);
    int i;

    totals->cases++;
    totals->session_max_us = MAX(totals->session_max_us, result.ended_us);
    totals->partial_gang_max_us =
        MAX(totals->partial_gang_max_us, result.max_partial_us);
    totals->claim_max_us = MAX(totals->claim_max_us, result.max_claim_wait_us);
    for (i = 0; i < FAKE_ZONE_INVARIANT_COUNT; i++) {
        if (!result.violated[i])
            continue;
        totals->violations[i]++;
        print_violation(options, &result, (fake_zone_invariant)i);
    }
    if (totals->cases % REPEAT_INTERVAL == 0 &&
        fake_zone_run(options).digest != result.digest)
        totals->nondeterministic++;
}

static void
run_single_faults(struct totals *totals, uint64_t seed, uint32_t calls,
                  uint32_t stride, fake_zone_disabled_protections disabled)
{
    uint32_t call;
    int fault;

    for (call = 1; call <= calls; call += stride) {
        for (fault = 1; fault < FAKE_ZONE_FAULT_COUNT; fault++) {
            fake_zone_options options = {
                .seed = seed,
                .injections = {{(fake_zone_fault)fault, call}},
                .disabled = disabled};

            run_case(totals, &options);
        }
    }
}

static void
run_fault_pairs(struct totals *totals, uint64_t seed, uint32_t calls,
                uint32_t pairs)
{
    cs_random random;
    uint32_t i;
    int k;

    cs_random_init(&random, seed);
    for (i = 0; i < pairs; i++) {
        fake_zone_options options = {.seed = seed};

        for (k = 0; k < 2; k++) {
            options.injections[k].fault =
                (fake_zone_fault)(1 + cs_random_below(
                                          &random, FAKE_ZONE_FAULT_COUNT - 1));
            options.injections[k].call =
                1 + (uint32_t)cs_random_below(&random, calls);
        }
        run_case(totals, &options);
    }
}

#define FLEET_VMS 4
#define FLEET_WORKERS 18
#define FLEET_JOBS 30
/* Longer than the bound of an evacuation and the longest job. */
#define FLEET_SETTLE_US (60 * CS_SEC_US)

static void
inject_fleet_fault(fake_fleet *fleet, cs_random *random)
{
    uint32_t holder = (uint32_t)MAX(fake_fleet_holder(fleet), 0);
    fake_vm_faults faults = {0};

    switch (cs_random_below(random, 8)) {
    case 0:
        fake_fleet_kill(fleet, holder, CS_SEC_US);
        return;
    case 1:
        fake_fleet_freeze(fleet, holder, 7 * CS_SEC_US);
        return;
    case 2:
        faults.store_unreachable = true;
        fake_fleet_set_faults(fleet, (int32_t)holder, &faults);
        return;
    case 3:
        faults.store_refuses = true;
        fake_fleet_set_faults(fleet, (int32_t)holder, &faults);
        return;
    case 4:
        faults.config_unanswered = true;
        fake_fleet_set_faults(fleet, (int32_t)holder, &faults);
        return;
    case 5:
        faults.unanswered_changes_share = 0.3;
        fake_fleet_set_faults(fleet, -1, &faults);
        return;
    case 6:
        fake_fleet_compact(fleet);
        return;
    default:
        fake_fleet_set_faults(fleet, -1, &faults);
        return;
    }
}

static void
submit_fleet_job(fake_fleet *fleet, cs_random *random, uint32_t number)
{
    bool gang = cs_random_below(random, 2) == 0;
    fake_job job;

    fake_job_init(&job, number, (uint32_t)cs_random_below(random, 3),
                  1 + (uint32_t)cs_random_below(random, gang ? 8 : 40),
                  gang ? 4 : 1, 500 + (int64_t)cs_random_below(random, 3000));
    job.spec.steps[0].gang = gang;
    fake_fleet_submit(fleet, (uint32_t)cs_random_below(random, FLEET_VMS),
                      &job, NULL);
}

/* Returns the number of jobs that were stored and have not ended. */
static uint32_t
count_unfinished(const fake_fleet *fleet)
{
    char id[CS_JOB_ID_BYTES];
    uint32_t count = 0;
    uint32_t number;

    for (number = 1; number <= FLEET_JOBS; number++) {
        g_snprintf(id, sizeof(id), "%016x", number);
        count += fake_fleet_job_is_stored(fleet, id) &&
                 fake_fleet_job_state(fleet, id) < CS_PROGRESS_COMPLETED;
    }
    return count;
}

/* Runs jobs while zones are evacuated and returned, and then without faults
   until they have ended. Returns whether a rule was violated. */
static bool
run_fleet_session(uint64_t seed, uint32_t direct_workers, bool hide_rows)
{
    fake_fleet_settings settings = {.vms = FLEET_VMS,
                                    .workers = FLEET_WORKERS,
                                    .racks = 6,
                                    .seed = seed,
                                    .max_direct_workers = direct_workers,
                                    .disabled_protection =
                                        hide_rows ? FAKE_WITHOUT_EVACUATIONS
                                                  : FAKE_ALL_PROTECTIONS};
    fake_fleet *fleet = fake_fleet_create(&settings);
    fake_vm_faults none = {0};
    cs_random random;
    uint32_t number;
    uint32_t zone;
    bool violated;

    cs_random_init(&random, seed);
    fake_fleet_run(fleet, 4 * CS_SEC_US);
    for (number = 1; number <= FLEET_JOBS; number++) {
        submit_fleet_job(fleet, &random, number);
        if (cs_random_below(&random, 6) == 0)
            fake_fleet_evacuate(fleet,
                                (uint32_t)cs_random_below(&random, FAKE_ZONES),
                                cs_random_below(&random, 4) != 0);
        if (cs_random_below(&random, 4) == 0)
            inject_fleet_fault(fleet, &random);
        fake_fleet_run(fleet, (100 + (int64_t)cs_random_below(&random, 900)) *
                                  CS_MS_US);
    }
    fake_fleet_set_faults(fleet, -1, &none);
    for (zone = 0; zone < FAKE_ZONES; zone++)
        fake_fleet_evacuate(fleet, zone, false);
    fake_fleet_run(fleet, FLEET_SETTLE_US);
    violated = fake_fleet_violation(fleet) || count_unfinished(fleet) > 0;
    if (violated)
        printf("VIOLATION fleet: %s, %u jobs have not ended; reproduce with "
               "--fleet-seed %" PRIu64 "\n",
               fake_fleet_violation(fleet) ? fake_fleet_violation(fleet)
                                           : "no rule",
               count_unfinished(fleet), seed);
    fake_fleet_destroy(fleet);
    return violated;
}

/* Half of the sessions start tasks through executors. Returns the number of
   sessions with a violation. */
static uint32_t
run_fleet_sessions(uint64_t first_seed, uint32_t count, bool hide_rows)
{
    uint32_t violations = 0;
    uint32_t i;

    for (i = 0; i < count; i++)
        violations += run_fleet_session(
            first_seed + i, (first_seed + i) % 2 ? 1 : 0, hide_rows);
    printf("%-12s cases %u violations %u\n", "fleet", count, violations);
    return violations;
}

static int
print_report(const struct totals *totals)
{
    uint32_t failures = totals->nondeterministic;
    int i;

    for (i = 0; i < FAKE_ZONE_INVARIANT_COUNT; i++) {
        printf("%-12s cases %u violations %u\n",
               fake_zone_invariant_name((fake_zone_invariant)i), totals->cases,
               totals->violations[i]);
        failures += totals->violations[i];
    }
    printf("%-12s cases %u violations %u\n", "same-result",
           totals->cases / REPEAT_INTERVAL, totals->nondeterministic);
    printf("worst case: session %.1f s, partial gang %.2f s, claim %.2f s\n",
           (double)totals->session_max_us / 1e6,
           (double)totals->partial_gang_max_us / 1e6,
           (double)totals->claim_max_us / 1e6);
    return failures ? 1 : 0;
}

static int
parse_fault(fake_zone_injection *out, const char *text)
{
    gchar **parts;
    int i;

    if (!*text)
        return 0;
    parts = g_strsplit(text, ":", 2);
    for (i = 0; parts[0] && parts[1] && i < FAKE_ZONE_FAULT_COUNT; i++) {
        if (g_strcmp0(parts[0], fake_zone_fault_name((fake_zone_fault)i)) ==
            0) {
            out->fault = (fake_zone_fault)i;
            out->call = (uint32_t)g_ascii_strtoull(parts[1], NULL, 10);
            g_strfreev(parts);
            return 0;
        }
    }
    g_strfreev(parts);
    return cs_error_set(CS_E_SETTING, "'%s' is not FAULT:CALL", text);
}

int
main(int argc, char **argv)
{
    struct totals totals = {0};
    fake_zone_options base_options = {0};
    const char *first_fault = "";
    const char *second_fault = "";
    const char *disabled_protection = "";
    int64_t seed = 1;
    int64_t stride = 1;
    int64_t pairs = 1000;
    int64_t fleet_sessions = 40;
    int64_t fleet_seed = 0;
    uint32_t fleet_violations;
    bool hide_rows;
    bool trace = false;
    const cs_setting table[] = {
        {"seed", CS_SETTING_NUMBER, &seed, 1, INT64_MAX, false,
         "seed of the session and of the pairs"},
        {"every", CS_SETTING_NUMBER, &stride, 1, 1000, false,
         "inject single faults at every n-th call only"},
        {"pairs", CS_SETTING_NUMBER, &pairs, 0, 1000000, false,
         "number of random cases with two faults"},
        {"first", CS_SETTING_TEXT, &first_fault, 0, 64, false,
         "run one case only, with this fault at this call: FAULT:CALL"},
        {"break", CS_SETTING_TEXT, &disabled_protection, 0, 32, false,
         "disable a protection: fencing, lease, admission, condition or "
         "evacuation"},
        {"fleet-sessions", CS_SETTING_NUMBER, &fleet_sessions, 0, 1000000,
         false, "number of sessions of a fleet with evacuated zones"},
        {"fleet-seed", CS_SETTING_NUMBER, &fleet_seed, 0, INT64_MAX, false,
         "run one session of a fleet only, with this seed"},
        {"trace", CS_SETTING_FLAG, &trace, 0, 0, false,
         "print the audit trail of the case of --first"},
        {"second", CS_SETTING_TEXT, &second_fault, 0, 64, false,
         "second fault of the case of --first: FAULT:CALL"},
    };
    cs_settings_next next;

    if (cs_settings_parse(
            &next, NULL, table, G_N_ELEMENTS(table), argc, argv,
            "injects faults into a session on a virtual clock") ||
        parse_fault(&base_options.injections[0], first_fault) ||
        parse_fault(&base_options.injections[1], second_fault)) {
        fprintf(stderr, "cs-faults: %s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    cs_log_silence();
    base_options.seed = (uint64_t)seed;
    base_options.disabled.no_fencing =
        strcmp(disabled_protection, "fencing") == 0;
    base_options.disabled.no_worker_lease =
        strcmp(disabled_protection, "lease") == 0;
    base_options.disabled.no_admission =
        strcmp(disabled_protection, "admission") == 0;
    base_options.disabled.no_condition_checks =
        strcmp(disabled_protection, "condition") == 0;
    hide_rows = strcmp(disabled_protection, "evacuation") == 0;
    if (fleet_seed)
        return run_fleet_sessions((uint64_t)fleet_seed, 1, hide_rows) ? 1 : 0;
    if (*first_fault) {
        base_options.trace = trace ? g_string_new(NULL) : NULL;
        run_case(&totals, &base_options);
        if (trace)
            fputs(base_options.trace->str, stdout);
    }
    else {
        uint32_t calls = fake_zone_run(&base_options).call_count;

        printf("the session without faults makes %u calls\n", calls);
        run_case(&totals, &base_options);
        run_single_faults(&totals, base_options.seed, calls, (uint32_t)stride,
                          base_options.disabled);
        run_fault_pairs(&totals, base_options.seed, calls, (uint32_t)pairs);
    }
    if (*first_fault)
        return print_report(&totals);
    fleet_violations = run_fleet_sessions((uint64_t)seed,
                                          (uint32_t)fleet_sessions, hide_rows);
    return print_report(&totals) || fleet_violations ? 1 : 0;
}
