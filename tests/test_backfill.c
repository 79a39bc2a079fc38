/* Reservations: without them, wide gangs that need one rack wait beside a
   stream of single tasks, which fill any free capacity, until they no longer
   count. */
#include "corianderstair/backfill.h"
#include "corianderstair/log.h"
#include "fake_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <glib.h>
#include <cmocka.h>

#define WORKERS_MAX 15000
#define TASKS_MAX 64
#define TICK_S 0.1
#define UPDATE_TICKS 3
#define GANGS_PER_S 1.0
#define GANG_RUN_S 11.0
#define SINGLE_RUN_S 9.5
/* The objective as a multiple of the run time, and until when a job counts as
   a multiple of the objective. */
#define OBJECTIVE 1.3
#define COUNTED_UNTIL 3.0

struct run {
    cs_backfill_run expected;
    double actual_end_s;
};

struct gang {
    uint32_t count;
    double submitted_s;
    double started_s; /* 0 not yet */
};

struct load {
    cs_binpack_worker workers[WORKERS_MAX];
    cs_binpack_cell cell;
    cs_backfill *backfill; /* NULL: no reservations */
    GArray *runs;          /* of struct run */
    GPtrArray *gangs;      /* of struct gang, waiting; owned by all_gangs */
    GPtrArray *all_gangs;
    GRand *gang_random; /* the same gangs for every policy */
    GRand *run_random;
    double now_s;
    double deviation; /* of actual run times from expected ones, as a share */
    double work_s;    /* accelerator-seconds of runs that ended */
    uint32_t counted; /* gangs that started early enough to count */
    uint32_t changes[CS_BACKFILL_WITHDRAWN + 1];
};

static struct load *
create_load(uint32_t workers, uint32_t rack_workers, bool reserve)
{
    struct load *load = g_new0(struct load, 1);
    uint32_t i;

    for (i = 0; i < workers; i++) {
        load->workers[i].capacity.accelerators = 8;
        load->workers[i].free = load->workers[i].capacity;
        load->workers[i].rack = i / rack_workers;
        load->workers[i].speed = 1;
        load->workers[i].usable = true;
    }
    load->cell.workers = load->workers;
    load->cell.worker_count = workers;
    load->cell.rack_count = (workers + rack_workers - 1) / rack_workers;
    cs_binpack_cell_index(&load->cell);
    if (reserve)
        load->backfill = cs_backfill_create();
    load->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
    load->gangs = g_ptr_array_new();
    load->all_gangs = g_ptr_array_new_with_free_func(g_free);
    load->gang_random = g_rand_new_with_seed(1);
    load->run_random = g_rand_new_with_seed(2);
    return load;
}

static void
destroy_load(struct load *load)
{
    cs_backfill_destroy(load->backfill);
    cs_binpack_cell_unindex(&load->cell);
    g_array_free(load->runs, TRUE);
    g_ptr_array_free(load->gangs, TRUE);
    g_ptr_array_free(load->all_gangs, TRUE);
    g_rand_free(load->gang_random);
    g_rand_free(load->run_random);
    g_free(load);
}

static cs_binpack_request
make_request(const struct load *load, uint32_t count, int64_t accelerators)
{
    cs_binpack_request request = {.count = count,
                                  .demand = {.accelerators = accelerators},
                                  .all_or_nothing = count > 1,
                                  .same_rack = count > 1,
                                  .data_rack = CS_BINPACK_ANY,
                                  .first_reserved_rack = load->cell.rack_count,
                                  .avoided_worker = CS_BINPACK_ANY};

    return request;
}

static void
add_run(struct load *load, uint32_t worker, int64_t accelerators, double run_s,
        double actual_s)
{
    struct run run = {{.worker = worker,
                       .demand = {.accelerators = accelerators},
                       .end_s = load->now_s + run_s,
                       .spread_s = run_s * load->deviation / 2},
                      load->now_s + actual_s};

    g_array_append_val(load->runs, run);
}

static bool
place(struct load *load, const void *key, uint32_t count, int64_t accelerators,
      double run_s)
{
    cs_binpack_request request = make_request(load, count, accelerators);
    double actual_s =
        run_s *
        (1 + load->deviation * g_rand_double_range(load->run_random, -1, 1));
    double duration_s = run_s * (1 + load->deviation / 2);
    uint32_t out[TASKS_MAX];
    uint32_t i;

    if (load->backfill)
        cs_backfill_withhold(load->backfill, &load->cell, key, load->now_s,
                             duration_s);
    count = cs_binpack_place(out, &load->cell, &request);
    if (load->backfill)
        cs_backfill_restore(load->backfill, &load->cell);
    for (i = 0; i < count; i++) {
        add_run(load, out[i], accelerators, run_s, actual_s);
        if (load->backfill)
            cs_backfill_placed(load->backfill, &load->cell, key, out[i],
                               &request.demand, load->now_s, duration_s);
    }
    if (load->backfill && count > 0)
        cs_backfill_remove(load->backfill, key);
    return count > 0;
}

static void
end_runs(struct load *load)
{
    guint i = load->runs->len;

    while (i-- > 0) {
        struct run *run = &g_array_index(load->runs, struct run, i);

        if (run->actual_end_s <= load->now_s) {
            cs_demand_add(&load->workers[run->expected.worker].free,
                          &run->expected.demand);
            g_array_remove_index_fast(load->runs, i);
        }
        else if (run->expected.end_s < load->now_s) {
            run->expected.end_s = load->now_s + 1;
            run->expected.spread_s = 0;
        }
    }
}

static void
count_change(void *user_data, cs_backfill_change change,
             const cs_backfill_reservation *reservation)
{
    ((struct load *)user_data)->changes[change]++;
}

static struct gang *
submit_gang(struct load *load, uint32_t count)
{
    struct gang *gang = g_new0(struct gang, 1);

    gang->count = count;
    gang->submitted_s = load->now_s;
    g_ptr_array_add(load->gangs, gang);
    g_ptr_array_add(load->all_gangs, gang);
    return gang;
}

/* Returns the latest start with which a gang counts. */
static double
last_start_s(const struct gang *gang)
{
    return gang->submitted_s + (COUNTED_UNTIL * OBJECTIVE - 1) * GANG_RUN_S;
}

static void
update(struct load *load)
{
    GArray *runs = g_array_new(FALSE, FALSE, sizeof(cs_backfill_run));
    GArray *steps = g_array_new(FALSE, FALSE, sizeof(cs_backfill_step));
    guint i;

    for (i = 0; i < load->runs->len; i++)
        g_array_append_val(runs,
                           g_array_index(load->runs, struct run, i).expected);
    for (i = 0; i < load->gangs->len; i++) {
        const struct gang *gang = g_ptr_array_index(load->gangs, i);
        cs_backfill_step step = {.key = gang,
                                 .group = 1 + i % 4,
                                 .request = make_request(load, gang->count, 1),
                                 .run_s = GANG_RUN_S,
                                 .objective_s = gang->submitted_s +
                                                (OBJECTIVE - 1) * GANG_RUN_S,
                                 .last_start_s = last_start_s(gang)};

        g_array_append_val(steps, step);
    }
    cs_backfill_update(load->backfill, &load->cell,
                       (const cs_backfill_run *)(void *)runs->data, runs->len,
                       (const cs_backfill_step *)(void *)steps->data,
                       steps->len, load->now_s, count_change, load);
    g_array_free(runs, TRUE);
    g_array_free(steps, TRUE);
}

/* Simulates a tick: gangs go first, then as many single tasks as fit. */
static void
tick(struct load *load, uint32_t number)
{
    guint i = 0;

    load->now_s = number * TICK_S;
    end_runs(load);
    while (i < load->gangs->len) {
        struct gang *gang = g_ptr_array_index(load->gangs, i);

        if (load->now_s > last_start_s(gang)) {
            g_ptr_array_remove_index(load->gangs, i);
        }
        else if (place(load, gang, gang->count, 1, GANG_RUN_S)) {
            gang->started_s = load->now_s;
            load->counted++;
            load->work_s += gang->count * GANG_RUN_S;
            g_ptr_array_remove_index(load->gangs, i);
        }
        else {
            i++;
        }
    }
    while (place(load, NULL, 1, 1, SINGLE_RUN_S))
        load->work_s += SINGLE_RUN_S;
    if (load->backfill && number % UPDATE_TICKS == 0)
        update(load);
}

/* Simulates a load of wide gangs and a backlog of single tasks. */
static struct load *
simulate(uint32_t rack_workers, bool reserve, double deviation)
{
    struct load *load = create_load(350, rack_workers, reserve);
    uint32_t number;

    load->deviation = deviation;
    for (number = 1; number <= 60 / TICK_S; number++) {
        if (g_rand_double(load->gang_random) < GANGS_PER_S * TICK_S)
            submit_gang(load,
                        (uint32_t)g_rand_int_range(load->gang_random, 8, 61));
        tick(load, number);
    }
    return load;
}

/* Expects that at least a share of the gangs counts with reservations, that
   fewer than a fifth do without, and that little other work is displaced. */
static void
expect_gangs_count(uint32_t rack_workers, double deviation, double share)
{
    struct load *with = simulate(rack_workers, true, deviation);
    struct load *without = simulate(rack_workers, false, deviation);
    uint32_t gangs = with->all_gangs->len;

    print_message(
        "racks of %u, deviation %.1f: of %u gangs %u count with "
        "reservations, %u without; work %.0f, %.0f; %u made, %u "
        "moved, %u slipped, %u too late\n",
        rack_workers, deviation, gangs, with->counted, without->counted,
        with->work_s, without->work_s, with->changes[CS_BACKFILL_MADE],
        with->changes[CS_BACKFILL_MOVED], with->changes[CS_BACKFILL_SLIPPED],
        with->changes[CS_BACKFILL_TOO_LATE]);
    assert_int_equal(gangs, without->all_gangs->len);
    assert_true(with->counted >= share * gangs);
    assert_true(without->counted < 0.2 * gangs);
    assert_true(with->work_s >= 0.96 * without->work_s);
    destroy_load(with);
    destroy_load(without);
}

static void
backfill__wide_gangs_count_beside_single_tasks(void **state)
{
    expect_gangs_count(8, 0.3, 0.8);
    expect_gangs_count(20, 0.3, 0.8);
}

/* Guards against reservations that are useless because runs don't end as
   expected: run times are off by up to 0.6 of their value. */
static void
backfill__wide_gangs_count_where_ends_deviate(void **state)
{
    expect_gangs_count(8, 0.6, 0.5);
    expect_gangs_count(20, 0.6, 0.5);
}

/* Fills two racks of 8 workers with single tasks that end one after another,
   those of the first rack earlier. */
static struct load *
create_full_racks(void)
{
    struct load *load = create_load(16, 8, true);
    uint32_t i;

    for (i = 0; i < 128; i++) {
        double run_s = 2 + i / 64 + i % 64 / 16.0;

        load->workers[i / 8].free.accelerators--;
        add_run(load, i / 8, 1, run_s, run_s);
    }
    return load;
}

/* Guards against two gangs that each hold part of what the other needs. */
static void
backfill__two_wide_gangs_reserve_different_racks(void **state)
{
    struct load *load = create_full_racks();
    const cs_backfill_reservation *first;
    const cs_backfill_reservation *second;
    struct gang *gangs[2];
    uint32_t number;

    gangs[0] = submit_gang(load, 64);
    gangs[1] = submit_gang(load, 60);
    update(load);
    first = cs_backfill_find(load->backfill, gangs[0]);
    second = cs_backfill_find(load->backfill, gangs[1]);
    assert_true(first && second);
    assert_int_not_equal(load->workers[first->workers[0]].rack,
                         load->workers[second->workers[0]].rack);
    assert_true(first->start_s > 5 && first->start_s < 7);
    for (number = 1; number <= 80; number++)
        tick(load, number);
    assert_true(gangs[0]->started_s > 0 && gangs[1]->started_s > 0);
    assert_int_equal(load->changes[CS_BACKFILL_MOVED], 0);
    destroy_load(load);
}

/* Guards against two reservations on the same workers that each withhold the
   capacity of the other. */
static void
backfill__two_gangs_share_a_rack(void **state)
{
    struct load *load = create_load(8, 8, true);
    struct gang *gangs[2];
    uint32_t number;
    uint32_t i;

    for (i = 0; i < 64; i++) {
        load->workers[i / 8].free.accelerators--;
        add_run(load, i / 8, 1, 4 + i % 8, 4 + i % 8);
    }
    gangs[0] = submit_gang(load, 33);
    gangs[1] = submit_gang(load, 31);
    update(load);
    assert_int_equal(cs_backfill_count(load->backfill), 2);
    for (number = 1; number <= 115; number++)
        tick(load, number);
    assert_true(gangs[0]->started_s > 0 && gangs[0]->started_s < 9.5);
    assert_true(gangs[1]->started_s > 0);
    destroy_load(load);
}

static void
backfill__only_work_that_ends_in_time_uses_a_reserved_place(void **state)
{
    struct load *load = create_full_racks();
    const cs_backfill_reservation *reservation;
    struct gang *gang = submit_gang(load, 64);
    uint32_t worker;

    update(load);
    reservation = cs_backfill_find(load->backfill, gang);
    worker = reservation->workers[0];
    load->workers[worker].free.accelerators = 1;
    assert_false(place(load, NULL, 1, 1, reservation->start_s + 0.1));
    assert_true(place(load, NULL, 1, 1, reservation->start_s - 0.1));
    /* Urgent work, of duration 0 here, is never limited. */
    load->workers[worker].free.accelerators = 1;
    assert_true(place(load, NULL, 1, 1, 0));
    destroy_load(load);
}

/* Guards against capacity that is held for a step which cannot use it. */
static void
backfill__step_that_would_start_too_late_gets_none(void **state)
{
    struct load *load = create_full_racks();
    struct gang *gang = submit_gang(load, 64);

    gang->submitted_s = -last_start_s(gang) + 4;
    update(load);
    assert_int_equal(cs_backfill_count(load->backfill), 0);
    destroy_load(load);
}

static void
backfill__reservation_moves_when_a_worker_is_lost(void **state)
{
    struct load *load = create_full_racks();
    const cs_backfill_reservation *reservation;
    struct gang *gang = submit_gang(load, 64);

    update(load);
    reservation = cs_backfill_find(load->backfill, gang);
    assert_int_equal(load->workers[reservation->workers[0]].rack, 0);
    load->workers[3].usable = false;
    update(load);
    reservation = cs_backfill_find(load->backfill, gang);
    assert_int_equal(load->workers[reservation->workers[0]].rack, 1);
    assert_int_equal(load->changes[CS_BACKFILL_MOVED], 1);
    destroy_load(load);
}

/* Guards against a rack that is held for runs which end later and later. */
static void
backfill__start_that_keeps_slipping_costs_the_reservation(void **state)
{
    struct load *load = create_full_racks();
    struct gang *gang = submit_gang(load, 64);
    guint i;

    for (i = 0; i < load->runs->len; i++)
        g_array_index(load->runs, struct run, i).actual_end_s = 1000;
    for (; load->now_s < 15; load->now_s += UPDATE_TICKS * TICK_S) {
        end_runs(load);
        update(load);
    }
    assert_int_equal(load->changes[CS_BACKFILL_MADE], 1);
    assert_int_equal(load->changes[CS_BACKFILL_SLIPPED], 1);
    assert_null(cs_backfill_find(load->backfill, gang));
    destroy_load(load);
}

/* Prints the processor time of an update, and expects that reservations are
   made at this size. See cs_backfill_update_interval_s(). */
static void
measure_update(uint32_t workers, uint32_t rack_workers)
{
    struct load *load = create_load(workers, rack_workers, true);
    const uint32_t rounds = 50;
    int64_t start_us;
    uint32_t i;

    for (i = 0; i < workers * 8; i++) {
        double run_s = g_rand_double_range(load->run_random, 0.1, 12);

        load->workers[i / 8].free.accelerators--;
        add_run(load, i / 8, 1, run_s, run_s);
    }
    for (i = 0; i < 16; i++)
        submit_gang(load, 40 + i);
    start_us = g_get_monotonic_time();
    for (i = 0; i < rounds; i++)
        update(load);
    print_message("%u workers in racks of %u, %u runs, 16 gangs: %.0f us an "
                  "update\n",
                  workers, rack_workers, load->runs->len,
                  (double)(g_get_monotonic_time() - start_us) / rounds);
    assert_int_equal(cs_backfill_count(load->backfill),
                     CS_BACKFILL_RESERVATIONS_MAX);
    destroy_load(load);
}

/* Guards against updates that take a share of the holder's processor which
   grows with the fleet: the runs considered in a second are bounded. */
static void
backfill__updates_of_a_large_fleet_are_rarer(void **state)
{
    const uint32_t design_runs = 200000;
    const uint32_t target_runs = 350 * 8;

    assert_true(cs_backfill_update_interval_s(target_runs) == 0.25);
    assert_true(cs_backfill_update_interval_s(design_runs) >= 2);
    assert_true(cs_backfill_update_interval_s(10 * design_runs) >= 20);
}

static void
backfill__cost_of_an_update(void **state)
{
    measure_update(350, 8);
    measure_update(350, 20);
    measure_update(1100, 8);
    measure_update(15000, 8);
}

#define GANG_ID "0000000000000001"

/* Starts a deployment of two racks that is filled with single tasks, and
   submits a gang that needs a whole rack. */
static fake_fleet *
create_deployment_with_waiting_gang(void)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 16, .racks = 2, .seed = 4};
    fake_fleet *deployment = fake_fleet_create(&settings);
    fake_job job;
    uint32_t i;

    fake_fleet_run(deployment, 2 * CS_SEC_US);
    for (i = 0; i < 16; i++) {
        fake_job_init(&job, 100 + i, 2, 8, 1, 6000 + 100 * (int64_t)i);
        fake_fleet_submit(deployment, 0, &job, NULL);
    }
    fake_fleet_run(deployment, CS_SEC_US);
    fake_job_init(&job, 1, 1, 8, 8, 4000);
    job.spec.steps[0].gang = true;
    job.spec.steps[0].same_rack = true;
    fake_fleet_submit(deployment, 0, &job, NULL);
    fake_fleet_run(deployment, 500 * CS_MS_US);
    return deployment;
}

/* Submits single tasks that would fill whatever becomes free. */
static void
run_with_single_tasks(fake_fleet *deployment, uint32_t first, uint32_t jobs)
{
    uint32_t i;

    for (i = 0; i < jobs; i++) {
        fake_job job;

        fake_job_init(&job, first + i, 2, 16, 1, 4000);
        fake_fleet_submit(deployment, i % 4, &job, NULL);
        fake_fleet_run(deployment, 500 * CS_MS_US);
    }
}

static int64_t
sum_counter(const fake_fleet *deployment, const char *name)
{
    int64_t sum = 0;
    uint32_t vm;

    for (vm = 0; vm < 4; vm++)
        sum += fake_fleet_counter(deployment, vm, name);
    return sum;
}

/* Expects that operators see where and when the gang is to start. */
static void
expect_explained(const fake_fleet *deployment)
{
    json_t *report = fake_fleet_explain(
        deployment, (uint32_t)fake_fleet_holder(deployment), GANG_ID);
    json_t *step = json_array_get(json_object_get(report, "steps"), 0);
    json_t *reservation = json_object_get(step, "reservation");
    const char *reason = json_string_value(json_object_get(step, "reason"));

    assert_non_null(reason);
    assert_true(g_str_has_prefix(reason, "reserved on "));
    assert_non_null(strstr(reason, " from "));
    assert_int_equal(
        json_integer_value(json_object_get(reservation, "workers")), 8);
    assert_in_range(
        json_integer_value(json_object_get(reservation, "start_in_ms")), 1,
        20000);
    json_decref(report);
}

static void
backfill__holder_reserves_for_a_gang(void **state)
{
    fake_fleet *deployment = create_deployment_with_waiting_gang();

    expect_explained(deployment);
    assert_int_equal(sum_counter(deployment, "cs_reservations_made_total"), 1);
    run_with_single_tasks(deployment, 200, 30);
    assert_int_equal(fake_fleet_job_state(deployment, GANG_ID),
                     CS_PROGRESS_COMPLETED);
    assert_int_equal(sum_counter(deployment, "cs_reservations_used_total"), 1);
    assert_null(fake_fleet_violation(deployment));
    fake_fleet_destroy(deployment);
}

/* Guards against a reservation that is lost with the holder: its successor
   computes one from the runs that it has adopted. */
static void
backfill__successor_of_a_killed_holder_reserves_again(void **state)
{
    fake_fleet *deployment = create_deployment_with_waiting_gang();
    int32_t holder = fake_fleet_holder(deployment);

    assert_int_equal(fake_fleet_counter(deployment, (uint32_t)holder,
                                        "cs_reservations_made_total"),
                     1);
    fake_fleet_kill(deployment, (uint32_t)holder, 60 * CS_SEC_US);
    run_with_single_tasks(deployment, 200, 36);
    assert_int_not_equal(fake_fleet_holder(deployment), holder);
    assert_in_range(fake_fleet_counter(deployment,
                                       (uint32_t)fake_fleet_holder(deployment),
                                       "cs_reservations_made_total"),
                    1, 10);
    assert_int_equal(fake_fleet_job_state(deployment, GANG_ID),
                     CS_PROGRESS_COMPLETED);
    assert_null(fake_fleet_violation(deployment));
    fake_fleet_destroy(deployment);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(backfill__wide_gangs_count_beside_single_tasks),
        cmocka_unit_test(backfill__wide_gangs_count_where_ends_deviate),
        cmocka_unit_test(backfill__two_wide_gangs_reserve_different_racks),
        cmocka_unit_test(backfill__two_gangs_share_a_rack),
        cmocka_unit_test(
            backfill__only_work_that_ends_in_time_uses_a_reserved_place),
        cmocka_unit_test(backfill__step_that_would_start_too_late_gets_none),
        cmocka_unit_test(backfill__reservation_moves_when_a_worker_is_lost),
        cmocka_unit_test(
            backfill__start_that_keeps_slipping_costs_the_reservation),
        cmocka_unit_test(backfill__updates_of_a_large_fleet_are_rarer),
        cmocka_unit_test(backfill__cost_of_an_update),
        cmocka_unit_test(backfill__holder_reserves_for_a_gang),
        cmocka_unit_test(
            backfill__successor_of_a_killed_holder_reserves_again),
    };

    if (!g_getenv("CS_TEST_LOG"))
        cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
