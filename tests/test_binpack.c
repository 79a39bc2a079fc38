/* Bin packing of requests and selection of preemption victims. */
#include "corianderstair/binpack.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <glib.h>
#include <cmocka.h>

#define RACKS 3
#define RACK_WORKERS 4
#define WORKERS (RACKS * RACK_WORKERS)

static cs_binpack_worker workers[WORKERS];
static uint32_t by_rack[WORKERS];
static uint32_t rack_first[RACKS + 1];

static cs_binpack_cell
make_cell(void)
{
    cs_binpack_cell cell = {workers, WORKERS, RACKS, by_rack, rack_first};
    uint32_t i;

    memset(workers, 0, sizeof(workers));
    for (i = 0; i < WORKERS; i++) {
        workers[i].capacity.cpu_milli = 64000;
        workers[i].capacity.memory_mb = 131072;
        workers[i].capacity.accelerators = 8;
        workers[i].free = workers[i].capacity;
        workers[i].rack = i / RACK_WORKERS;
        workers[i].labels = 1;
        workers[i].speed = 1;
        workers[i].usable = true;
        by_rack[i] = i;
    }
    for (i = 0; i <= RACKS; i++)
        rack_first[i] = i * RACK_WORKERS;
    return cell;
}

static cs_binpack_request
make_request(uint32_t count, int64_t accelerators)
{
    cs_binpack_request request = {.count = count,
                                  .data_rack = CS_BINPACK_ANY,
                                  .first_reserved_rack = RACKS,
                                  .avoided_worker = CS_BINPACK_ANY,
                                  .labels = 1};

    request.demand.cpu_milli = 1000;
    request.demand.memory_mb = 1000;
    request.demand.accelerators = accelerators;
    return request;
}

static void
binpack__small_tasks_fill_partly_used_workers(void **state)
{
    cs_binpack_cell cell = make_cell();
    cs_binpack_request request = make_request(8, 1);
    uint32_t out[8];
    uint32_t i;

    workers[5].free.accelerators = 4;
    workers[9].free.accelerators = 4;
    assert_int_equal(cs_binpack_place(out, &cell, &request), 8);
    for (i = 0; i < 8; i++)
        assert_true(out[i] == 5 || out[i] == 9);
}

/* Guards against gangs that break when one of several zones is cut off. */
static void
binpack__gang_is_placed_in_one_zone_if_it_fits(void **state)
{
    cs_binpack_cell cell = make_cell();
    cs_binpack_request request = make_request(6, 8);
    uint32_t out[10];
    uint32_t i;

    /* Racks 0 and 2 are in zone 0, rack 1 alone is in zone 1 and has the
       fullest worker, which a placement by best fit takes first. */
    for (i = RACK_WORKERS; i < 2 * RACK_WORKERS; i++)
        workers[i].zone = 1;
    workers[RACK_WORKERS].capacity.accelerators = 9;
    workers[RACK_WORKERS].free.accelerators = 8;
    request.all_or_nothing = true;
    assert_int_equal(cs_binpack_place(out, &cell, &request), 6);
    for (i = 0; i < 6; i++)
        assert_int_equal(workers[out[i]].zone, 0);
    /* Only both zones together hold a gang of 10, which must not wait. */
    cell = make_cell();
    for (i = RACK_WORKERS; i < 2 * RACK_WORKERS; i++)
        workers[i].zone = 1;
    request.count = 10;
    assert_int_equal(cs_binpack_place(out, &cell, &request), 10);
}

static void
binpack__same_rack_gang_is_placed_in_one_rack_or_not_at_all(void **state)
{
    cs_binpack_cell cell = make_cell();
    cs_binpack_request request = make_request(4, 8);
    uint32_t out[4];
    uint32_t i;

    request.all_or_nothing = true;
    request.same_rack = true;
    workers[0].free.accelerators = 7;
    workers[4].free.accelerators = 7;
    assert_int_equal(cs_binpack_place(out, &cell, &request), 4);
    for (i = 0; i < 4; i++)
        assert_int_equal(workers[out[i]].rack, 2);
    assert_int_equal(cs_binpack_place(out, &cell, &request), 0);
    /* A gang that is not placed takes no resources. */
    assert_int_equal(workers[1].free.accelerators, 8);
}

static void
binpack__fullest_rack_goes_first(void **state)
{
    cs_binpack_cell cell = make_cell();
    cs_binpack_request request = make_request(2, 8);
    uint32_t out[2];

    request.all_or_nothing = true;
    request.same_rack = true;
    workers[4].free.accelerators = 0;
    workers[5].free.accelerators = 0;
    assert_int_equal(cs_binpack_place(out, &cell, &request), 2);
    assert_int_equal(workers[out[0]].rack, 1);
}

static void
binpack__speed_weight_prefers_fast_workers(void **state)
{
    cs_binpack_cell cell = make_cell();
    cs_binpack_request request = make_request(1, 8);
    uint32_t out[1];
    uint32_t i;

    for (i = 0; i < WORKERS; i++)
        workers[i].speed = i == 7 ? 1.2 : 0.55;
    request.speed_weight = 2;
    assert_int_equal(cs_binpack_place(out, &cell, &request), 1);
    assert_int_equal(out[0], 7);
}

static void
binpack__limits_of_a_request_are_respected(void **state)
{
    cs_binpack_cell cell = make_cell();
    cs_binpack_request request = make_request(30, 1);
    uint32_t present[WORKERS] = {0};
    uint32_t out[30];

    /* Worker 0 has a task of the step already, worker 1 is to be avoided. */
    present[0] = 1;
    request.tasks_present = present;
    request.max_per_worker = 2;
    request.avoided_worker = 1;
    request.avoids_strictly = true;
    assert_int_equal(cs_binpack_place(out, &cell, &request), 21);
    request = make_request(30, 1);
    request.data_rack = 2;
    assert_int_equal(cs_binpack_place(out, &cell, &request), 30 - 6);
    request = make_request(1, 1);
    request.labels = 3;
    assert_int_equal(cs_binpack_place(out, &cell, &request), 0);
    request = make_request(1, 8);
    request.first_reserved_rack = 0;
    assert_int_equal(cs_binpack_place(out, &cell, &request), 0);
}

/* Guards against work that waits although a worker has capacity, because it
   has failed there before. */
static void
binpack__avoided_worker_is_used_last(void **state)
{
    cs_binpack_cell cell = make_cell();
    cs_binpack_request request = make_request(1, 8);
    uint32_t out[WORKERS];
    uint32_t i;

    request.avoided_worker = 0;
    for (i = 0; i + 1 < WORKERS; i++) {
        assert_int_equal(cs_binpack_place(out, &cell, &request), 1);
        assert_int_not_equal(out[0], 0);
    }
    assert_int_equal(cs_binpack_place(out, &cell, &request), 1);
    assert_int_equal(out[0], 0);
    cell = make_cell();
    request = make_request(WORKERS, 8);
    request.all_or_nothing = true;
    request.avoided_worker = 0;
    assert_int_equal(cs_binpack_place(out, &cell, &request), WORKERS);
}

static void
binpack__unusable_workers_are_not_used(void **state)
{
    cs_binpack_cell cell = make_cell();
    cs_binpack_request request = make_request(1, 8);
    uint32_t out[1];
    uint32_t i;

    for (i = 0; i < WORKERS; i++)
        workers[i].usable = false;
    assert_int_equal(cs_binpack_place(out, &cell, &request), 0);
    assert_false(cs_binpack_is_possible(&cell, &request));
}

static void
binpack__gang_larger_than_a_rack_is_possible_only_across_racks(void **state)
{
    cs_binpack_cell cell = make_cell();
    cs_binpack_request request = make_request(5, 8);
    uint32_t i;

    request.all_or_nothing = true;
    for (i = 0; i < WORKERS; i++)
        workers[i].free.accelerators = 0;
    assert_true(cs_binpack_is_possible(&cell, &request));
    request.same_rack = true;
    assert_false(cs_binpack_is_possible(&cell, &request));
}

static cs_binpack_victim
victim(uint32_t worker, uint32_t group, int64_t accelerators, double loss)
{
    cs_binpack_victim entry = {.worker = worker, .group = group, .loss = loss};

    entry.demand.accelerators = accelerators;
    return entry;
}

static void
binpack__preemption_stops_the_group_with_the_least_loss(void **state)
{
    cs_binpack_cell cell = make_cell();
    cs_binpack_request request = make_request(1, 8);
    cs_binpack_victim victims[WORKERS];
    uint32_t groups[WORKERS];
    uint32_t out[1];
    uint32_t i;

    for (i = 0; i < WORKERS; i++) {
        workers[i].free.accelerators = 0;
        victims[i] = victim(i, i, 8, 100.0 + (i + 5) % WORKERS);
    }
    assert_int_equal(
        cs_binpack_preempt(groups, out, &cell, &request, victims, WORKERS), 1);
    assert_int_equal(groups[0], 7);
    assert_int_equal(out[0], 7);
}

static void
binpack__preemption_stops_only_groups_that_help(void **state)
{
    cs_binpack_cell cell = make_cell();
    cs_binpack_request request = make_request(1, 8);
    cs_binpack_victim victims[3];
    uint32_t groups[3];
    uint32_t out[1];
    uint32_t i;

    for (i = 0; i < WORKERS; i++)
        workers[i].free.accelerators = 0;
    /* The group with the smallest loss is tried first, but frees only half of
       a worker. */
    victims[0] = victim(0, 0, 4, 1);
    victims[1] = victim(1, 1, 8, 10);
    victims[2] = victim(2, 2, 8, 50);
    assert_int_equal(
        cs_binpack_preempt(groups, out, &cell, &request, victims, 3), 1);
    assert_int_equal(groups[0], 1);
    victims[1] = victim(1, 1, 4, 10);
    victims[2] = victim(2, 2, 4, 50);
    assert_int_equal(
        cs_binpack_preempt(groups, out, &cell, &request, victims, 3), -1);
}

static void
binpack__preemption_counts_the_loss_of_a_group_once(void **state)
{
    cs_binpack_cell cell = make_cell();
    cs_binpack_request request = make_request(2, 8);
    cs_binpack_victim victims[4];
    uint32_t groups[4];
    uint32_t out[2];
    uint32_t i;

    for (i = 0; i < WORKERS; i++)
        workers[i].free.accelerators = 0;
    request.all_or_nothing = true;
    request.same_rack = true;
    /* Two gangs of two tasks, in rack 0 and in rack 1. */
    victims[0] = victim(0, 0, 8, 90);
    victims[1] = victim(1, 0, 8, 90);
    victims[2] = victim(4, 1, 8, 60);
    victims[3] = victim(5, 1, 8, 60);
    assert_int_equal(
        cs_binpack_preempt(groups, out, &cell, &request, victims, 4), 1);
    assert_int_equal(groups[0], 1);
    assert_int_equal(workers[out[0]].rack, 1);
    assert_int_equal(workers[out[1]].rack, 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(binpack__small_tasks_fill_partly_used_workers),
        cmocka_unit_test(
            binpack__same_rack_gang_is_placed_in_one_rack_or_not_at_all),
        cmocka_unit_test(binpack__gang_is_placed_in_one_zone_if_it_fits),
        cmocka_unit_test(binpack__fullest_rack_goes_first),
        cmocka_unit_test(binpack__speed_weight_prefers_fast_workers),
        cmocka_unit_test(binpack__limits_of_a_request_are_respected),
        cmocka_unit_test(binpack__avoided_worker_is_used_last),
        cmocka_unit_test(binpack__unusable_workers_are_not_used),
        cmocka_unit_test(
            binpack__gang_larger_than_a_rack_is_possible_only_across_racks),
        cmocka_unit_test(
            binpack__preemption_stops_the_group_with_the_least_loss),
        cmocka_unit_test(binpack__preemption_stops_only_groups_that_help),
        cmocka_unit_test(binpack__preemption_counts_the_loss_of_a_group_once),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
