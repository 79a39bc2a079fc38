#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>

#include "corianderstair/log.h"
#include "corianderstair/random.h"
#include "fake_world.h"

/*
 * A sample of the faults; scripts/faults plays each one at every call.
 * LAST_CALL is beyond the 360 calls of the session without faults (seed 1).
 */
#define CALL_STRIDE 23
#define PAIR_COUNT 60
#define LAST_CALL 380

static void
assert_promises_kept(const world_options *options)
{
    world_result result = world_play(options);
    int i;

    for (i = 0; i < WORLD_PROMISE_COUNT; i++) {
        if (result.broken[i])
            fail_msg("%s: %s (cs-faults --seed %u --first %s:%u --second "
                     "%s:%u)",
                     world_promise_name((world_promise)i), result.why[i],
                     (unsigned)options->seed,
                     world_fault_name(options->strikes[0].fault),
                     options->strikes[0].call,
                     world_fault_name(options->strikes[1].fault),
                     options->strikes[1].call);
    }
}

static void
faults__session_without_faults(void **state)
{
    world_options options = {.seed = 1};
    world_result result = world_play(&options);

    assert_promises_kept(&options);
    assert_true(result.partial_us < 100000);
    assert_true(result.digest == world_play(&options).digest);
}

static void
faults__each_fault_at_many_calls(void **state)
{
    uint32_t call;
    int fault;

    for (call = 1; call <= LAST_CALL; call += CALL_STRIDE) {
        for (fault = 1; fault < WORLD_FAULT_COUNT; fault++) {
            world_options options = {.seed = 1,
                                     .strikes = {{(world_fault)fault, call}}};

            assert_promises_kept(&options);
        }
    }
}

static void
faults__random_pairs_of_faults(void **state)
{
    cs_random random;
    int i;
    int k;

    cs_random_init(&random, 11);
    for (i = 0; i < PAIR_COUNT; i++) {
        world_options options = {.seed = 11};

        for (k = 0; k < 2; k++) {
            options.strikes[k].fault =
                (world_fault)(1 +
                              cs_random_below(&random, WORLD_FAULT_COUNT - 1));
            options.strikes[k].call =
                1 + (uint32_t)cs_random_below(&random, LAST_CALL);
        }
        assert_promises_kept(&options);
    }
}

/* Faults that broke a promise in earlier versions. */
static void
faults__regressions(void **state)
{
    static const struct {
        uint64_t seed;
        world_strike first;
        world_strike second;
    } cases[] = {
        /* after a takeover, a gang that had succeeded counted as preempted */
        {1, {WORLD_KILL_BEFORE, 76}, {WORLD_NO_FAULT, 0}},
        /* a worker deleted its record of an end not yet in the store */
        {1, {WORLD_LOSE_REPLY, 93}, {WORLD_STORE_DOWN, 129}},
        /* the status of a cancelled job that had run said it never started */
        {3, {WORLD_STORE_DOWN, 221}, {WORLD_PAUSE_AFTER, 355}},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(cases); i++) {
        world_options options = {.seed = cases[i].seed,
                                 .strikes = {cases[i].first, cases[i].second}};

        assert_promises_kept(&options);
    }
}

/*
 * Asserts that without a protection, a fault at some call makes the checker
 * find the promise broken.
 */
static void
assert_checker_detects(world_breaks breaks, world_fault fault,
                       world_promise promise)
{
    uint32_t call;

    for (call = 1; call <= LAST_CALL; call++) {
        world_options options = {
            .seed = 1, .breaks = breaks, .strikes = {{fault, call}}};

        if (world_play(&options).broken[promise])
            return;
    }
    fail_msg("%s was never found broken", world_promise_name(promise));
}

static void
faults__checker_detects_missing_fencing(void **state)
{
    world_breaks breaks = {.no_fencing = true};

    assert_checker_detects(breaks, WORLD_PAUSE_BEFORE, WORLD_COMPLETE);
}

static void
faults__checker_detects_missing_worker_lease(void **state)
{
    world_breaks breaks = {.no_worker_lease = true};

    assert_checker_detects(breaks, WORLD_KILL_BEFORE, WORLD_WHOLE_GANG);
}

static void
faults__checker_detects_missing_admission(void **state)
{
    world_breaks breaks = {.no_admission = true};

    world_options options = {.seed = 1, .breaks = breaks};

    assert_true(world_play(&options).broken[WORLD_GUARANTEE]);
}

static void
faults__checker_detects_missing_conditions(void **state)
{
    world_breaks breaks = {.no_condition = true};

    assert_checker_detects(breaks, WORLD_LOSE_REQUEST, WORLD_DURABLE);
    assert_checker_detects(breaks, WORLD_LOSE_REQUEST, WORLD_ONCE);
    assert_checker_detects(breaks, WORLD_LOSE_REQUEST, WORLD_TRUTH);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(faults__session_without_faults),
        cmocka_unit_test(faults__each_fault_at_many_calls),
        cmocka_unit_test(faults__random_pairs_of_faults),
        cmocka_unit_test(faults__regressions),
        cmocka_unit_test(faults__checker_detects_missing_fencing),
        cmocka_unit_test(faults__checker_detects_missing_worker_lease),
        cmocka_unit_test(faults__checker_detects_missing_admission),
        cmocka_unit_test(faults__checker_detects_missing_conditions),
    };

    cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
