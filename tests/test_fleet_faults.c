/*
 * Faults in a deployment on a virtual clock: each at each call of a session,
 * in pairs, and at random; and the checker itself, with what protects against
 * a fault taken away. CS_FAULT_STRIDE=1 strikes at every call, CS_SOAK_SEED
 * plays one seed.
 */
#include "harness.h"
#include "fake_fleet.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <cmocka.h>

#define VMS 4
#define WORKERS 16
/* Calls between two strikes, without CS_FAULT_STRIDE. */
#define STRIDE 13
#define PAIRS 120
#define SESSION_US (9 * CS_SEC_US)
#define SETTLE_US (60 * CS_SEC_US)
#define SESSION_JOBS 5

static fake_fleet *
world_new(uint64_t seed, fake_removal removed)
{
    fake_fleet_settings settings = {.vms = VMS,
                                    .workers = WORKERS,
                                    .racks = 2,
                                    .seed = seed,
                                    .removed = removed};
    fake_fleet *world = fake_fleet_create(&settings);

    fake_fleet_run(world, 2 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(world), -1);
    return world;
}

static void
expect_no_violation(const fake_fleet *world)
{
    if (fake_fleet_violation(world))
        fail_msg("%s", fake_fleet_violation(world));
}

typedef enum {
    STRIKE_KILL_HOLDER,
    STRIKE_FREEZE_HOLDER,
    STRIKE_STOP_HOLDER,
    STRIKE_CUT_HOLDER_FROM_STORE,
    STRIKE_KILL_ALL,
    STRIKE_LOSE_ANSWERS,
    STRIKE_LATE_CHANGES,
    STRIKE_LATE_ORDERS,
    STRIKE_CRASH_WORKER,
    STRIKE_CUT_WORKER,
    STRIKE_REFUSE,
    STRIKE_FORGET_HISTORY,
    STRIKES
} strike;

struct strike_at {
    strike what;
    uint64_t call; /* counted from the start of the session */
};

static void
strike_now(fake_fleet *world, strike what, uint32_t worker)
{
    int32_t holder = MAX(fake_fleet_holder(world), 0);
    fake_vm_faults faults = {0};
    uint32_t i;

    switch (what) {
    case STRIKE_KILL_HOLDER:
        fake_fleet_kill(world, (uint32_t)holder, CS_SEC_US);
        return;
    case STRIKE_FREEZE_HOLDER:
        fake_fleet_freeze(world, (uint32_t)holder, 4 * CS_SEC_US);
        return;
    case STRIKE_STOP_HOLDER:
        fake_fleet_stop(world, (uint32_t)holder);
        return;
    case STRIKE_CUT_HOLDER_FROM_STORE:
        faults.store_cut = true;
        fake_fleet_set_faults(world, holder, &faults);
        return;
    case STRIKE_KILL_ALL:
        for (i = 0; i < VMS; i++)
            fake_fleet_kill(world, i, CS_SEC_US);
        return;
    case STRIKE_LOSE_ANSWERS:
        faults.store_lost = 0.5;
        fake_fleet_set_faults(world, -1, &faults);
        return;
    case STRIKE_LATE_CHANGES:
        faults.store_late = 0.5;
        fake_fleet_set_faults(world, -1, &faults);
        return;
    case STRIKE_LATE_ORDERS:
        faults.orders_late = 0.3;
        fake_fleet_set_faults(world, -1, &faults);
        return;
    case STRIKE_CRASH_WORKER:
        fake_fleet_crash_worker(world, worker, CS_SEC_US);
        return;
    case STRIKE_CUT_WORKER:
        fake_fleet_cut_worker(world, worker, true);
        return;
    case STRIKE_REFUSE:
        faults.store_refuses = true;
        fake_fleet_set_faults(world, -1, &faults);
        return;
    case STRIKE_FORGET_HISTORY:
        fake_fleet_compact(world);
        return;
    case STRIKES:
        return;
    }
}

static void
heal(fake_fleet *world)
{
    fake_vm_faults none = {0};
    uint32_t i;

    fake_fleet_set_faults(world, -1, &none);
    for (i = 0; i < WORKERS; i++)
        fake_fleet_cut_worker(world, i, false);
}

/* Gangs, single tasks, an urgent job, an advised one; one is cancelled. */
static void
submit_session(fake_fleet *world)
{
    static const struct {
        uint32_t queue;
        uint32_t tasks;
        int64_t accelerators;
        int64_t run_ms;
        bool gang;
    } jobs[SESSION_JOBS] = {
        {2, 64, 1, 1500, false}, {1, 6, 8, 2500, true},
        {0, 4, 8, 1000, true},   {3, 5, 4, 1500, false},
        {2, 12, 2, 4000, false},
    };
    uint32_t i;

    for (i = 0; i < SESSION_JOBS; i++) {
        fake_job job;

        fake_job_init(&job, i + 1, jobs[i].queue, jobs[i].tasks,
                      jobs[i].accelerators, jobs[i].run_ms);
        job.spec.steps[0].gang = jobs[i].gang;
        fake_fleet_submit(world, i % VMS, &job, NULL);
    }
}

static char *
unsettled(const fake_fleet *world, uint32_t jobs)
{
    uint32_t number;

    if (fake_fleet_violation(world))
        return g_strdup(fake_fleet_violation(world));
    for (number = 1; number <= jobs; number++) {
        char id[CS_JOB_ID_BYTES];

        g_snprintf(id, sizeof(id), "%016x", number);
        if (fake_fleet_is_stored(world, id) &&
            fake_fleet_state(world, id) < CS_PROGRESS_COMPLETED)
            return g_strdup_printf("job %s is in state %d", id,
                                   fake_fleet_state(world, id));
    }
    if (!fake_fleet_is_quiet(world))
        return g_strdup_printf("runs or ends are left on %s",
                               fake_fleet_unquiet(world));
    return NULL;
}

/*
 * Plays the session with its strikes, heals and waits.
 * Returns what was broken, or NULL; calls is set to the session's calls.
 */
static char *
play(const struct strike_at *strikes, uint32_t count, fake_removal removed,
     uint64_t *calls)
{
    fake_fleet *world = world_new(31, removed);
    uint64_t first = fake_fleet_calls(world);
    int64_t end_us = fake_fleet_now_us(world) + SESSION_US;
    char *broken;
    uint32_t i;

    submit_session(world);
    for (i = 0; i < count; i++) {
        fake_fleet_run_to_call(world, end_us - fake_fleet_now_us(world),
                               first + strikes[i].call);
        strike_now(world, strikes[i].what, (uint32_t)strikes[i].call % 16);
    }
    fake_fleet_run(world, end_us - fake_fleet_now_us(world));
    if (calls)
        *calls = fake_fleet_calls(world) - first;
    heal(world);
    fake_fleet_run(world, SETTLE_US);
    broken = unsettled(world, SESSION_JOBS);
    fake_fleet_destroy(world);
    return broken;
}

static void
expect_kept(const struct strike_at *strikes, uint32_t count)
{
    char *broken = play(strikes, count, FAKE_ALL_KEPT, NULL);
    const struct strike_at *last = &strikes[count - 1];

    if (broken)
        fail_msg("strike %d at call %u, %d at %u: %s", (int)strikes[0].what,
                 (unsigned)strikes[0].call, (int)last->what,
                 (unsigned)last->call, broken);
}

static void
fleet_faults__session_without_faults(void **state)
{
    uint64_t calls;
    char *broken = play(NULL, 0, FAKE_ALL_KEPT, &calls);

    if (broken)
        fail_msg("%s", broken);
    assert_in_range(calls, 100, 2000);
}

static uint64_t
stride(void)
{
    const char *text = g_getenv("CS_FAULT_STRIDE");

    return text ? (uint64_t)MAX(atoi(text), 1) : STRIDE;
}

static uint64_t
session_calls(void)
{
    uint64_t calls;

    g_free(play(NULL, 0, FAKE_ALL_KEPT, &calls));
    return calls;
}

static void
fleet_faults__each_at_many_calls(void **state)
{
    uint64_t calls = session_calls();
    struct strike_at at;
    uint32_t what;

    for (what = 0; what < STRIKES; what++) {
        at.what = (strike)what;
        /* Each kind begins elsewhere, so that all calls are met. */
        for (at.call = 1 + what % stride(); at.call < calls;
             at.call += stride())
            expect_kept(&at, 1);
    }
}

static void
fleet_faults__pairs(void **state)
{
    GRand *random = g_rand_new_with_seed(5);
    uint64_t calls = session_calls();
    uint32_t i;

    for (i = 0; i < PAIRS; i++) {
        struct strike_at pair[2];

        pair[0].what = (strike)g_rand_int_range(random, 0, STRIKES);
        pair[1].what = (strike)g_rand_int_range(random, 0, STRIKES);
        pair[0].call = (uint64_t)g_rand_int_range(random, 1, (gint32)calls);
        pair[1].call =
            pair[0].call + (uint64_t)g_rand_int_range(random, 0, 40);
        expect_kept(pair, 2);
    }
    g_rand_free(random);
}

/* With the protection taken away, some strike breaks a rule. */
static void
expect_noticed(fake_removal removed, strike what)
{
    uint64_t calls = session_calls();
    struct strike_at at[2] = {{.what = what}, {.what = STRIKE_FREEZE_HOLDER}};
    bool noticed = false;

    for (at[0].call = 1; at[0].call < calls && !noticed;
         at[0].call += STRIDE) {
        char *broken;

        at[1].call = at[0].call + 20;
        broken = play(at, 2, removed, NULL);
        noticed = broken != NULL;
        g_free(broken);
    }
    assert_true(noticed);
}

static void
fleet_faults__checker_notices_missing_conditions(void **state)
{
    expect_noticed(FAKE_WITHOUT_CONDITIONS, STRIKE_LATE_CHANGES);
}

static void
fleet_faults__checker_notices_missing_epochs(void **state)
{
    expect_noticed(FAKE_WITHOUT_EPOCHS, STRIKE_LATE_ORDERS);
}

static void
fleet_faults__checker_notices_old_runs(void **state)
{
    expect_noticed(FAKE_WITHOUT_OLD_RUNS, STRIKE_LATE_ORDERS);
}

/* A mix of jobs and faults, then a calm time in which all must settle. */
static void
random_faults(fake_fleet *world, GRand *random)
{
    fake_vm_faults faults = {0};
    uint32_t vm = (uint32_t)g_rand_int_range(random, 0, 4);
    uint32_t worker = (uint32_t)g_rand_int_range(random, 0, 16);

    switch (g_rand_int_range(random, 0, 12)) {
    case 0:
        fake_fleet_kill(world, vm, 2 * CS_SEC_US);
        break;
    case 1:
        if (fake_fleet_holder(world) >= 0)
            fake_fleet_kill(world, (uint32_t)fake_fleet_holder(world),
                            CS_SEC_US);
        break;
    case 2:
        fake_fleet_freeze(world, vm, 5 * CS_SEC_US);
        break;
    case 3:
        if (fake_fleet_holder(world) >= 0)
            fake_fleet_freeze(world, (uint32_t)fake_fleet_holder(world),
                              4 * CS_SEC_US);
        break;
    case 4:
        fake_fleet_stop(world, vm);
        break;
    case 5:
        faults.store_cut = true;
        fake_fleet_set_faults(world, (int32_t)vm, &faults);
        break;
    case 6:
        faults.store_lost = 0.3;
        fake_fleet_set_faults(world, -1, &faults);
        break;
    case 7:
        faults.store_late = 0.3;
        fake_fleet_set_faults(world, -1, &faults);
        break;
    case 8:
        faults.orders_late = 0.1;
        fake_fleet_set_faults(world, -1, &faults);
        break;
    case 9:
        fake_fleet_crash_worker(world, worker, 2 * CS_SEC_US);
        break;
    case 10:
        fake_fleet_cut_worker(world, worker, true);
        break;
    default:
        faults.store_refuses = true;
        fake_fleet_set_faults(world, -1, &faults);
        break;
    }
}

static void
random_job(fake_fleet *world, GRand *random, uint32_t number)
{
    uint32_t queue = (uint32_t)g_rand_int_range(random, 0, 4);
    bool gang = g_rand_boolean(random);
    fake_job job;

    fake_job_init(&job, number, queue,
                  (uint32_t)g_rand_int_range(random, 1, gang ? 7 : 20),
                  gang ? 1 << g_rand_int_range(random, 0, 4) : 1,
                  g_rand_int_range(random, 500, 4000));
    job.spec.steps[0].gang = gang;
    job.spec.steps[0].same_rack = gang && g_rand_boolean(random);
    job.hopeless = g_rand_int_range(random, 0, 20) == 0;
    fake_fleet_submit(world, (uint32_t)g_rand_int_range(random, 0, 4), &job,
                      NULL);
}

#define SOAK_JOBS 40

static void
soak(uint32_t seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    fake_fleet *world = world_new(seed, FAKE_ALL_KEPT);
    uint32_t number;
    char id[CS_JOB_ID_BYTES];
    char *broken;

    for (number = 1; number <= SOAK_JOBS; number++) {
        random_job(world, random, number);
        if (g_rand_int_range(random, 0, 8) == 0) {
            g_snprintf(
                id, sizeof(id), "%016x",
                (unsigned)g_rand_int_range(random, 1, (gint32)number + 1));
            fake_fleet_cancel(world, 0, id, NULL);
        }
        if (g_rand_int_range(random, 0, 4) == 0)
            random_faults(world, random);
        if (g_rand_int_range(random, 0, 5) == 0)
            heal(world);
        if (g_rand_int_range(random, 0, 20) == 0)
            fake_fleet_compact(world);
        fake_fleet_run(world, g_rand_int_range(random, 50, 700) * CS_MS_US);
        expect_no_violation(world);
    }
    heal(world);
    fake_fleet_run(world, SETTLE_US);
    broken = unsettled(world, SOAK_JOBS);
    if (broken)
        fail_msg("seed %u: %s", seed, broken);
    fake_fleet_destroy(world);
    g_rand_free(random);
}

#define SOAK_SEEDS 60

static void
fleet_faults__random_ones_break_no_rule(void **state)
{
    const char *only = g_getenv("CS_SOAK_SEED");
    uint32_t seed;

    if (only) {
        soak((uint32_t)atoi(only));
        return;
    }
    for (seed = 1; seed <= SOAK_SEEDS; seed++)
        soak(seed);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(fleet_faults__session_without_faults),
        cmocka_unit_test(fleet_faults__each_at_many_calls),
        cmocka_unit_test(fleet_faults__pairs),
        cmocka_unit_test(fleet_faults__checker_notices_missing_conditions),
        cmocka_unit_test(fleet_faults__checker_notices_missing_epochs),
        cmocka_unit_test(fleet_faults__checker_notices_old_runs),
        cmocka_unit_test(fleet_faults__random_ones_break_no_rule),
    };

    cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
