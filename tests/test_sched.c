#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/random.h"
#include "corianderstair/sched.h"

#define HISTORIES 1000
#define STEPS 60
#define DECISIONS_MAX 64
#define GRACE_US CS_SEC_US

static const cs_sched_settings settings = {.policy = CS_POLICY_CURRENT,
                                           .grace_us = GRACE_US,
                                           .wait_bound_us = 600 * CS_SEC_US,
                                           .completion_weight = 50,
                                           .fragmentation_weight = 50};

/* Makes a cell of workers with 8 accelerators each, in racks of 8 workers. The
   last rack may have fewer. */
static cs_sched *
make_cell(uint32_t workers)
{
    cs_sched *sched = cs_sched_create(&settings);
    uint32_t i;

    for (i = 0; i < workers; i++)
        cs_sched_set_usable(sched, cs_sched_add_worker(sched, i / 8, 8), true);
    return sched;
}

static cs_sched_job *
submit(cs_sched *sched, uint32_t organisation, cs_tier tier, uint32_t size,
       int64_t now_us)
{
    cs_sched_request request = {.organisation = organisation,
                                .tier = tier,
                                .accelerators = size,
                                .declared_us = 100 * CS_SEC_US,
                                .submitted_us = now_us,
                                .checkpoint = size % 2 == 0};
    cs_sched_job *job = NULL;

    assert_int_equal(cs_sched_submit(&job, sched, &request), 0);
    return job;
}

static uint32_t
size_of(const cs_sched_job *job)
{
    uint32_t count;
    const cs_sched_member *members = cs_sched_members(job, &count);
    uint32_t size = 0;
    uint32_t i;

    for (i = 0; i < count; i++)
        size += (uint32_t)__builtin_popcountll(members[i].mask);
    return size;
}

static void
sched__small_job_takes_the_smallest_block(void **state)
{
    cs_sched *sched = make_cell(16);
    cs_decision decisions[DECISIONS_MAX];
    const cs_sched_member *members;
    uint32_t count;

    cs_sched_add_organisation(sched, 1);
    submit(sched, 0, CS_TIER_NORMAL, 2, 0);
    assert_int_equal(cs_sched_run_cycle(sched, decisions, DECISIONS_MAX, 0),
                     1);
    submit(sched, 0, CS_TIER_NORMAL, 2, 0);
    submit(sched, 0, CS_TIER_NORMAL, 4, 0);
    assert_int_equal(cs_sched_run_cycle(sched, decisions, DECISIONS_MAX, 0),
                     2);
    members = cs_sched_members(decisions[0].job, &count);
    assert_int_equal(members[0].worker, 0);
    assert_int_equal(members[0].mask, 0x0c);
    members = cs_sched_members(decisions[1].job, &count);
    assert_int_equal(members[0].worker, 0);
    assert_int_equal(members[0].mask, 0xf0);
    cs_sched_destroy(sched);
}

static void
sched__gang_stays_within_one_rack(void **state)
{
    cs_sched *sched = make_cell(24);
    cs_decision decisions[DECISIONS_MAX];
    const cs_sched_member *members;
    uint32_t count;
    uint32_t i;

    cs_sched_add_organisation(sched, 1);
    submit(sched, 0, CS_TIER_NORMAL, 32, 0);
    assert_int_equal(cs_sched_run_cycle(sched, decisions, DECISIONS_MAX, 0),
                     1);
    members = cs_sched_members(decisions[0].job, &count);
    assert_int_equal(count, 4);
    for (i = 0; i < count; i++)
        assert_int_equal(members[i].worker / 8, members[0].worker / 8);
    cs_sched_destroy(sched);
}

static void
sched__impossible_job_is_rejected_on_submission(void **state)
{
    cs_sched *sched = make_cell(8);
    cs_sched_request request = {
        .accelerators = 65, .tier = CS_TIER_NORMAL, .declared_us = 1};
    cs_sched_job *job;

    cs_sched_add_organisation(sched, 1);
    assert_int_equal(cs_sched_submit(&job, sched, &request),
                     CS_E_NEVER_RUNNABLE);
    request.accelerators = 8;
    request.tier = CS_TIER_GUARANTEED;
    assert_int_equal(cs_sched_submit(&job, sched, &request),
                     CS_E_NEVER_RUNNABLE);
    cs_sched_destroy(sched);
}

static void
sched__claim_preempts_no_more_than_it_needs(void **state)
{
    static const cs_guarantee shape = {.accelerators = 64, .count = 1};
    cs_sched *sched = make_cell(16);
    cs_decision decisions[DECISIONS_MAX];
    cs_sched_job *claim;
    uint32_t count;
    uint32_t i;

    cs_sched_add_organisation(sched, 1);
    cs_sched_add_organisation(sched, 1);
    cs_sched_set_guarantees(sched, 0, &shape, 1);
    for (i = 0; i < 16; i++)
        submit(sched, 1, CS_TIER_OPPORTUNISTIC, 8, 0);
    assert_int_equal(cs_sched_run_cycle(sched, decisions, DECISIONS_MAX, 0),
                     16);
    claim = submit(sched, 0, CS_TIER_GUARANTEED, 64, CS_SEC_US);
    count = cs_sched_run_cycle(sched, decisions, DECISIONS_MAX, CS_SEC_US);
    assert_int_equal(count, 8);
    for (i = 0; i < count; i++) {
        assert_int_equal(decisions[i].type, CS_DECIDE_PREEMPT);
        assert_ptr_equal(decisions[i].beneficiary, claim);
        assert_int_equal(decisions[i].deadline_us, CS_SEC_US + GRACE_US);
    }
    for (i = 0; i < count; i++)
        cs_sched_requeue(sched, decisions[i].job, 0);
    count = cs_sched_run_cycle(sched, decisions, DECISIONS_MAX,
                               CS_SEC_US + GRACE_US);
    assert_int_equal(count, 1);
    assert_int_equal(decisions[0].type, CS_DECIDE_START);
    assert_ptr_equal(decisions[0].job, claim);
    assert_int_equal(cs_sched_verify(sched), 0);
    cs_sched_destroy(sched);
}

static void
sched__guarantees_are_admitted_only_if_all_fit(void **state)
{
    cs_sched *sched = make_cell(17);
    static const uint32_t fits[] = {64, 32, 16, 8};
    static const uint32_t too_many[] = {64, 32, 40};
    uint32_t largest = 0;

    assert_int_equal(cs_sched_check_guarantees(&largest, sched, fits, 4, 1),
                     0);
    assert_int_equal(
        cs_sched_check_guarantees(&largest, sched, too_many, 3, 1),
        CS_E_GUARANTEE);
    assert_in_range(largest, 1, 39);
    cs_sched_destroy(sched);
}

static void
sched__worker_that_fails_several_jobs_is_quarantined(void **state)
{
    cs_sched *sched = make_cell(8);
    cs_decision decisions[DECISIONS_MAX];
    int64_t now_us = 0;
    uint32_t i;

    cs_sched_add_organisation(sched, 1);
    for (i = 0; i < 3; i++) {
        cs_sched_job *job = submit(sched, 0, CS_TIER_NORMAL, 8, now_us);

        assert_int_equal(
            cs_sched_run_cycle(sched, decisions, DECISIONS_MAX, now_us), 1);
        cs_sched_task_failed(sched, job, 0, now_us);
        cs_sched_release(sched, job);
    }
    assert_int_equal(cs_sched_health(sched, 0), CS_HEALTH_QUARANTINED);
    assert_int_equal(cs_sched_get_stats(sched).accelerators, 56);
    now_us = 61 * CS_SEC_US;
    cs_sched_run_cycle(sched, decisions, DECISIONS_MAX, now_us);
    assert_int_equal(cs_sched_health(sched, 0), CS_HEALTH_PROBATION);
    cs_sched_task_succeeded(sched, 0);
    assert_int_equal(cs_sched_health(sched, 0), CS_HEALTH_HEALTHY);
    cs_sched_destroy(sched);
}

static void
sched__job_that_fails_on_several_workers_is_at_fault(void **state)
{
    cs_sched *sched = make_cell(8);
    cs_decision decisions[DECISIONS_MAX];
    cs_sched_job *job;
    uint32_t i;

    cs_sched_add_organisation(sched, 1);
    job = submit(sched, 0, CS_TIER_NORMAL, 8, 0);
    for (i = 0; i < 3; i++) {
        uint32_t count;

        assert_false(cs_sched_is_at_fault(job));
        assert_int_equal(
            cs_sched_run_cycle(sched, decisions, DECISIONS_MAX, 0), 1);
        cs_sched_task_failed(sched, job,
                             cs_sched_members(job, &count)[0].worker, 0);
        cs_sched_requeue(sched, job, 0);
    }
    assert_true(cs_sched_is_at_fault(job));
    cs_sched_destroy(sched);
}

/* A cell with a random sequence of submissions, ends and lost workers. */
struct history {
    cs_sched *sched;
    cs_random random;
    GPtrArray *started;
    GPtrArray *stopping;
    GPtrArray *claims;
    int64_t now_us;
    uint64_t digest; /* of all decisions */
};

static void
run_cycle(struct history *history)
{
    cs_decision decisions[DECISIONS_MAX];
    uint32_t count = cs_sched_run_cycle(history->sched, decisions,
                                        DECISIONS_MAX, history->now_us);
    uint32_t i;

    for (i = 0; i < count; i++) {
        uint32_t member_count;
        const cs_sched_member *members =
            cs_sched_members(decisions[i].job, &member_count);

        history->digest =
            history->digest * 31 + decisions[i].type * 7 + members[0].worker;
        if (decisions[i].type == CS_DECIDE_START) {
            assert_true(size_of(decisions[i].job) > 0);
            g_ptr_array_add(history->started, decisions[i].job);
            continue;
        }
        g_ptr_array_remove(history->started, decisions[i].job);
        g_ptr_array_add(history->stopping, decisions[i].job);
    }
}

static void
end_one_job(struct history *history)
{
    cs_sched_job *job;
    uint32_t i;

    if (history->stopping->len > 0) {
        cs_sched_requeue(history->sched,
                         g_ptr_array_remove_index(history->stopping, 0), 0);
        return;
    }
    if (history->started->len == 0)
        return;
    i = (uint32_t)cs_random_below(&history->random, history->started->len);
    job = g_ptr_array_remove_index(history->started, i);
    if (history->claims)
        g_ptr_array_remove(history->claims, job);
    cs_sched_release(history->sched, job);
}

static void
step_history(struct history *history)
{
    static const uint32_t sizes[] = {1, 2, 3, 4, 6, 8, 16, 24, 32, 64};
    uint64_t choice = cs_random_below(&history->random, 100);

    history->now_us +=
        (int64_t)cs_random_below(&history->random, 30 * CS_SEC_US);
    if (choice < 50)
        submit(history->sched,
               1 + (uint32_t)cs_random_below(&history->random, 2),
               (cs_tier)cs_random_below(&history->random, 3),
               sizes[cs_random_below(&history->random, G_N_ELEMENTS(sizes))],
               history->now_us);
    else if (choice < 55)
        submit(history->sched, 0, CS_TIER_GUARANTEED, choice < 53 ? 64 : 16,
               history->now_us);
    else if (choice < 60)
        cs_sched_set_usable(history->sched,
                            (uint32_t)cs_random_below(&history->random, 20),
                            choice < 58);
    else
        end_one_job(history);
    run_cycle(history);
}

static uint64_t
play_history(uint64_t seed)
{
    static const cs_guarantee shapes[] = {{.accelerators = 64, .count = 1},
                                          {.accelerators = 16, .count = 2}};
    struct history history = {.sched = make_cell(20),
                              .started = g_ptr_array_new(),
                              .stopping = g_ptr_array_new()};
    uint32_t i;

    cs_random_init(&history.random, seed);
    for (i = 0; i < 3; i++)
        cs_sched_add_organisation(history.sched, 1);
    cs_sched_set_guarantees(history.sched, 0, shapes, 2);
    for (i = 0; i < STEPS; i++) {
        step_history(&history);
        if (cs_sched_verify(history.sched))
            fail_msg("seed %u step %u: %s", (unsigned)seed, i,
                     cs_error_last());
    }
    g_ptr_array_free(history.started, TRUE);
    g_ptr_array_free(history.stopping, TRUE);
    cs_sched_destroy(history.sched);
    return history.digest;
}

static void
sched__random_histories_keep_the_invariants(void **state)
{
    uint64_t seed;

    /* The same calls must give the same decisions. */
    for (seed = 1; seed <= HISTORIES; seed++)
        assert_true(play_history(seed) == play_history(seed));
}

/* While all workers are usable, each claim of an admitted guarantee must be
   placed once its victims have stopped, whatever else is running. */
static void
sched__admitted_guarantees_are_always_placed(void **state)
{
    static const cs_guarantee shapes[3][2] = {
        {{.accelerators = 64, .count = 1}, {.accelerators = 8, .count = 2}},
        {{.accelerators = 32, .count = 1}, {.accelerators = 4, .count = 2}},
        {{.accelerators = 16, .count = 1}, {.accelerators = 2, .count = 3}}};
    uint64_t seed;

    for (seed = 1; seed <= HISTORIES; seed++) {
        struct history history = {.sched = make_cell(20),
                                  .started = g_ptr_array_new(),
                                  .stopping = g_ptr_array_new(),
                                  .claims = g_ptr_array_new()};
        uint32_t i;

        cs_random_init(&history.random, seed);
        for (i = 0; i < 3; i++) {
            cs_sched_add_organisation(history.sched, 1);
            cs_sched_set_guarantees(history.sched, i, shapes[i], 2);
        }
        for (i = 0; i < 40; i++) {
            uint32_t organisation =
                (uint32_t)cs_random_below(&history.random, 3);
            uint32_t shape = (uint32_t)cs_random_below(&history.random, 2);

            history.now_us += CS_SEC_US;
            submit(history.sched, organisation, CS_TIER_OPPORTUNISTIC,
                   1 + i % 8, history.now_us);
            g_ptr_array_add(
                history.claims,
                submit(history.sched, organisation, CS_TIER_GUARANTEED,
                       (uint32_t)shapes[organisation][shape].accelerators,
                       history.now_us));
            run_cycle(&history);
            while (history.stopping->len > 0)
                end_one_job(&history);
            run_cycle(&history);
            if (i % 3 == 0)
                end_one_job(&history);
        }
        /* A claim may still wait only because all shapes of its own
           organisation are in use. */
        run_cycle(&history);
        while (history.stopping->len > 0)
            end_one_job(&history);
        run_cycle(&history);
        for (i = 0; i < history.claims->len; i++) {
            cs_sched_job *job = g_ptr_array_index(history.claims, i);
            char reason[40];
            char message[200];
            int64_t expected_us;

            cs_sched_explain(history.sched, job, history.now_us, reason,
                             sizeof(reason), message, sizeof(message),
                             &expected_us);
            if (strcmp(reason, "placed") != 0 &&
                strcmp(reason, "guarantee-in-use") != 0)
                fail_msg("seed %u: a claim is not placed (%s): %s",
                         (unsigned)seed, reason, message);
        }
        assert_int_equal(cs_sched_get_stats(history.sched).guarantees_short,
                         0);
        g_ptr_array_free(history.started, TRUE);
        g_ptr_array_free(history.stopping, TRUE);
        g_ptr_array_free(history.claims, TRUE);
        cs_sched_destroy(history.sched);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(sched__small_job_takes_the_smallest_block),
        cmocka_unit_test(sched__gang_stays_within_one_rack),
        cmocka_unit_test(sched__impossible_job_is_rejected_on_submission),
        cmocka_unit_test(sched__claim_preempts_no_more_than_it_needs),
        cmocka_unit_test(sched__guarantees_are_admitted_only_if_all_fit),
        cmocka_unit_test(sched__worker_that_fails_several_jobs_is_quarantined),
        cmocka_unit_test(sched__job_that_fails_on_several_workers_is_at_fault),
        cmocka_unit_test(sched__random_histories_keep_the_invariants),
        cmocka_unit_test(sched__admitted_guarantees_are_always_placed),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
