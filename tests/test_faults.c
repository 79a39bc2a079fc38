#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>

#include "corianderstair/log.h"
#include "corianderstair/random.h"
#include "fake_zone.h"

/*
 * A sample of the faults; scripts/faults plays each one at every call.
 * LAST_CALL is beyond the 360 calls of the session without faults (seed 1).
 */
#define CALL_STRIDE 23
#define PAIR_COUNT 60
#define LAST_CALL 380

static void
assert_invariants_hold(const fake_zone_options *options)
{
    fake_zone_result result = fake_zone_run(options);
    int i;

    for (i = 0; i < FAKE_ZONE_INVARIANT_COUNT; i++) {
        if (result.violated[i])
            fail_msg("%s: %s (cs-faults --seed %u --first %s:%u --second "
                     "%s:%u)",
                     fake_zone_invariant_name((fake_zone_invariant)i),
                     result.violation[i], (unsigned)options->seed,
                     fake_zone_fault_name(options->injections[0].fault),
                     options->injections[0].call,
                     fake_zone_fault_name(options->injections[1].fault),
                     options->injections[1].call);
    }
}

static void
faults__session_without_faults(void **state)
{
    fake_zone_options options = {.seed = 1};
    fake_zone_result result = fake_zone_run(&options);

    assert_invariants_hold(&options);
    assert_true(result.max_partial_us < 100000);
    assert_true(result.digest == fake_zone_run(&options).digest);
}

static void
faults__each_fault_at_many_calls(void **state)
{
    uint32_t call;
    int fault;

    for (call = 1; call <= LAST_CALL; call += CALL_STRIDE) {
        for (fault = 1; fault < FAKE_ZONE_FAULT_COUNT; fault++) {
            fake_zone_options options = {
                .seed = 1, .injections = {{(fake_zone_fault)fault, call}}};

            assert_invariants_hold(&options);
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
        fake_zone_options options = {.seed = 11};

        for (k = 0; k < 2; k++) {
            options.injections[k].fault =
                (fake_zone_fault)(1 + cs_random_below(
                                          &random, FAKE_ZONE_FAULT_COUNT - 1));
            options.injections[k].call =
                1 + (uint32_t)cs_random_below(&random, LAST_CALL);
        }
        assert_invariants_hold(&options);
    }
}

/* Faults that violated an invariant in earlier versions. */
static void
faults__regressions(void **state)
{
    static const struct {
        uint64_t seed;
        fake_zone_injection first;
        fake_zone_injection second;
    } cases[] = {
        /* after a takeover, a gang that had succeeded counted as preempted */
        {1, {FAKE_ZONE_KILL_BEFORE, 76}, {FAKE_ZONE_NO_FAULT, 0}},
        /* a worker deleted its record of an end not yet in the store */
        {1, {FAKE_ZONE_LOSE_REPLY, 93}, {FAKE_ZONE_STORE_DOWN, 129}},
        /* the status of a cancelled job that had run said it never started */
        {3, {FAKE_ZONE_STORE_DOWN, 221}, {FAKE_ZONE_PAUSE_AFTER, 355}},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(cases); i++) {
        fake_zone_options options = {
            .seed = cases[i].seed,
            .injections = {cases[i].first, cases[i].second}};

        assert_invariants_hold(&options);
    }
}

/*
 * Asserts that without a protection, a fault at some call makes the checker
 * report a violation of the invariant.
 */
static void
assert_checker_detects(fake_zone_disabled_protections disabled,
                       fake_zone_fault fault, fake_zone_invariant invariant)
{
    uint32_t call;

    for (call = 1; call <= LAST_CALL; call++) {
        fake_zone_options options = {
            .seed = 1, .disabled = disabled, .injections = {{fault, call}}};

        if (fake_zone_run(&options).violated[invariant])
            return;
    }
    fail_msg("%s was never found broken", fake_zone_invariant_name(invariant));
}

static void
faults__checker_detects_missing_fencing(void **state)
{
    fake_zone_disabled_protections disabled = {.no_fencing = true};

    assert_checker_detects(disabled, FAKE_ZONE_PAUSE_BEFORE,
                           FAKE_ZONE_COMPLETE);
}

static void
faults__checker_detects_missing_worker_lease(void **state)
{
    fake_zone_disabled_protections disabled = {.no_worker_lease = true};

    assert_checker_detects(disabled, FAKE_ZONE_KILL_BEFORE,
                           FAKE_ZONE_WHOLE_GANG);
}

static void
faults__checker_detects_missing_admission(void **state)
{
    fake_zone_disabled_protections disabled = {.no_admission = true};

    fake_zone_options options = {.seed = 1, .disabled = disabled};

    assert_true(fake_zone_run(&options).violated[FAKE_ZONE_CLAIM_WAIT]);
}

static void
faults__checker_detects_missing_conditions(void **state)
{
    fake_zone_disabled_protections disabled = {.no_condition_checks = true};

    assert_checker_detects(disabled, FAKE_ZONE_LOSE_REQUEST,
                           FAKE_ZONE_DURABLE);
    assert_checker_detects(disabled, FAKE_ZONE_LOSE_REQUEST,
                           FAKE_ZONE_SINGLE_START);
    assert_checker_detects(disabled, FAKE_ZONE_LOSE_REQUEST,
                           FAKE_ZONE_TRUE_STATE);
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
