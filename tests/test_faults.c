#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>

#include "corianderstair/log.h"
#include "corianderstair/random.h"
#include "fake_world.h"

/* A part of the table that scripts/faults plays in full. */
#define EVERY 23
#define PAIRS 60
#define CALLS 380

static void
assert_kept(const world_options *o)
{
    world_result r = world_play(o);
    int i;

    for (i = 0; i < WORLD_PROMISE_COUNT; i++) {
        if (r.broken[i])
            fail_msg("%s: %s (cs-faults --seed %u --first %s:%u --second "
                     "%s:%u)",
                     world_promise_name((world_promise)i), r.why[i],
                     (unsigned)o->seed, world_fault_name(o->strikes[0].fault),
                     o->strikes[0].call, world_fault_name(o->strikes[1].fault),
                     o->strikes[1].call);
    }
}

static void
faults__session_without_faults(void **state)
{
    world_options o = {.seed = 1};
    world_result r = world_play(&o);

    assert_kept(&o);
    assert_true(r.partial_us < 100000);
    assert_true(r.digest == world_play(&o).digest);
}

static void
faults__each_fault_at_many_calls(void **state)
{
    uint32_t call;
    int fault;

    for (call = 1; call <= CALLS; call += EVERY) {
        for (fault = 1; fault < WORLD_FAULT_COUNT; fault++) {
            world_options o = {.seed = 1,
                               .strikes = {{(world_fault)fault, call}}};

            assert_kept(&o);
        }
    }
}

static void
faults__pairs(void **state)
{
    cs_random random;
    int i;
    int k;

    cs_random_init(&random, 11);
    for (i = 0; i < PAIRS; i++) {
        world_options o = {.seed = 11};

        for (k = 0; k < 2; k++) {
            o.strikes[k].fault =
                (world_fault)(1 +
                              cs_random_below(&random, WORLD_FAULT_COUNT - 1));
            o.strikes[k].call = 1 + (uint32_t)cs_random_below(&random, CALLS);
        }
        assert_kept(&o);
    }
}

/* Cases that once broke a promise. */
static void
faults__found_before(void **state)
{
    static const struct {
        uint64_t seed;
        world_strike first;
        world_strike second;
    } cases[] = {
        /* a gang that was done was taken for preempted after a takeover */
        {1, {WORLD_KILL_BEFORE, 76}, {WORLD_NO_FAULT, 0}},
        /* workers forgot an end that was not written yet */
        {1, {WORLD_LOSE_REPLY, 93}, {WORLD_STORE_DOWN, 129}},
        /* a cancelled job was said not to have started */
        {3, {WORLD_STORE_DOWN, 221}, {WORLD_PAUSE_AFTER, 355}},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(cases); i++) {
        world_options o = {.seed = cases[i].seed,
                           .strikes = {cases[i].first, cases[i].second}};

        assert_kept(&o);
    }
}

/* Without a protection the checker finds a broken promise at some call. */
static void
assert_noticed_somewhere(world_breaks breaks, world_fault fault,
                         world_promise promise)
{
    uint32_t call;

    for (call = 1; call <= CALLS; call++) {
        world_options o = {
            .seed = 1, .breaks = breaks, .strikes = {{fault, call}}};

        if (world_play(&o).broken[promise])
            return;
    }
    fail_msg("%s was never found broken", world_promise_name(promise));
}

static void
faults__checker_notices_a_missing_fence(void **state)
{
    world_breaks breaks = {.no_fencing = true};

    assert_noticed_somewhere(breaks, WORLD_PAUSE_BEFORE, WORLD_COMPLETE);
}

static void
faults__checker_notices_a_missing_lease(void **state)
{
    world_breaks breaks = {.no_worker_lease = true};

    assert_noticed_somewhere(breaks, WORLD_KILL_BEFORE, WORLD_WHOLE_GANG);
}

static void
faults__checker_notices_a_missing_admission(void **state)
{
    world_breaks breaks = {.no_admission = true};

    world_options o = {.seed = 1, .breaks = breaks};

    assert_true(world_play(&o).broken[WORLD_GUARANTEE]);
}

static void
faults__checker_notices_missing_conditions(void **state)
{
    world_breaks breaks = {.no_condition = true};

    assert_noticed_somewhere(breaks, WORLD_LOSE_REQUEST, WORLD_DURABLE);
    assert_noticed_somewhere(breaks, WORLD_LOSE_REQUEST, WORLD_ONCE);
    assert_noticed_somewhere(breaks, WORLD_LOSE_REQUEST, WORLD_TRUTH);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(faults__session_without_faults),
        cmocka_unit_test(faults__each_fault_at_many_calls),
        cmocka_unit_test(faults__pairs),
        cmocka_unit_test(faults__found_before),
        cmocka_unit_test(faults__checker_notices_a_missing_fence),
        cmocka_unit_test(faults__checker_notices_a_missing_lease),
        cmocka_unit_test(faults__checker_notices_a_missing_admission),
        cmocka_unit_test(faults__checker_notices_missing_conditions),
    };

    cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
