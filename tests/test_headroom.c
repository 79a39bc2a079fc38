/* Reserved racks for urgent work: without them, short urgent gangs find all
   workers filled with long tasks and have to wait. */
#include "corianderstair/headroom.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <glib.h>
#include <cmocka.h>

#define RACKS 6
#define RACK_WORKERS 8
#define WORKERS (RACKS * RACK_WORKERS)
#define TICKS_PER_S 10
/* Run times of long and of urgent tasks. */
#define LONG_RUN_TICKS 95
#define URGENT_RUN_TICKS 25
#define RUN_TICKS (120 * TICKS_PER_S)
#define WARM_UP_TICKS (20 * TICKS_PER_S)

struct run {
    uint32_t worker;
    cs_demand demand;
    uint32_t end_tick;
    bool urgent;
};

struct load {
    cs_binpack_worker workers[WORKERS];
    cs_binpack_cell cell;
    cs_headroom headroom;
    GArray *runs; /* of struct run */
    uint32_t tick;
    uint32_t urgent_jobs;    /* submitted after the warm-up */
    uint32_t immediate_jobs; /* those of them that were placed at once */
};

static void
load_init(struct load *load)
{
    uint32_t i;

    memset(load, 0, sizeof(*load));
    for (i = 0; i < WORKERS; i++) {
        cs_binpack_worker *worker = &load->workers[i];

        worker->capacity.accelerators = 8;
        worker->free = worker->capacity;
        worker->rack = i / RACK_WORKERS;
        worker->speed = 1;
        worker->usable = true;
    }
    load->cell.workers = load->workers;
    load->cell.worker_count = WORKERS;
    load->cell.rack_count = RACKS;
    cs_binpack_cell_index(&load->cell);
    load->runs = g_array_new(FALSE, FALSE, sizeof(struct run));
}

static void
load_dispose(struct load *load)
{
    cs_binpack_cell_unindex(&load->cell);
    g_array_free(load->runs, TRUE);
}

static void
end_runs(struct load *load)
{
    guint i = load->runs->len;

    while (i-- > 0) {
        const struct run *run = &g_array_index(load->runs, struct run, i);

        if (run->end_tick > load->tick)
            continue;
        cs_demand_add(&load->workers[run->worker].free, &run->demand);
        if (run->urgent)
            load->headroom.used_accelerators -= run->demand.accelerators;
        g_array_remove_index_fast(load->runs, i);
    }
}

static uint32_t
place(struct load *load, uint32_t count, int64_t accelerators, bool urgent,
      uint32_t reserved_racks)
{
    cs_binpack_request request = {.count = count,
                                  .all_or_nothing = urgent,
                                  .same_rack = urgent,
                                  .data_rack = CS_BINPACK_ANY,
                                  .first_reserved_rack =
                                      RACKS - reserved_racks,
                                  .avoided_worker = CS_BINPACK_ANY};
    uint32_t out[WORKERS * 8];
    uint32_t placed;
    uint32_t i;

    request.demand.accelerators = accelerators;
    placed = cs_binpack_place(out, &load->cell, &request);
    for (i = 0; i < placed; i++) {
        struct run run = {
            out[i], request.demand,
            load->tick + (urgent ? URGENT_RUN_TICKS : LONG_RUN_TICKS), urgent};

        g_array_append_val(load->runs, run);
        if (urgent)
            load->headroom.used_accelerators += accelerators;
    }
    return placed;
}

/* Simulates RUN_TICKS of load and returns the fraction of urgent jobs that
   were placed at once. */
static double
immediate_share(bool reserve)
{
    static const int64_t sizes[] = {1, 2, 4, 8, 8};
    GRand *random = g_rand_new_with_seed(1);
    struct load load;
    double share;

    load_init(&load);
    for (load.tick = 0; load.tick < RUN_TICKS; load.tick++) {
        end_runs(&load);
        cs_headroom_advance(&load.headroom, 1.0 / TICKS_PER_S);
        if (g_rand_double(random) < 0.24) {
            uint32_t count = (uint32_t)g_rand_int_range(random, 1, 6);
            int64_t size = sizes[g_rand_int_range(random, 0, 5)];
            bool found = place(&load, count, size, true, 0) > 0;

            if (load.tick >= WARM_UP_TICKS) {
                load.urgent_jobs++;
                load.immediate_jobs += found;
            }
        }
        place(&load, 4, 1, false,
              reserve ? cs_headroom_racks(&load.headroom, &load.cell) : 0);
    }
    assert_true(load.urgent_jobs > 100);
    share = (double)load.immediate_jobs / load.urgent_jobs;
    load_dispose(&load);
    g_rand_free(random);
    return share;
}

static void
headroom__urgent_gangs_start_at_once_among_long_tasks(void **state)
{
    double with = immediate_share(true);
    double without = immediate_share(false);

    if (with < 0.9 || without > 0.5)
        fail_msg("%.2f placed at once with headroom, %.2f without", with,
                 without);
}

static void
headroom__reserved_racks_are_at_least_one_at_most_half(void **state)
{
    struct load load;
    cs_headroom unused = {0};
    cs_headroom saturated = {0};

    load_init(&load);
    assert_int_equal(cs_headroom_racks(&unused, &load.cell), 1);
    saturated.used_accelerators = (int64_t)WORKERS * 8;
    cs_headroom_advance(&saturated, 1000);
    assert_int_equal(cs_headroom_racks(&saturated, &load.cell), RACKS / 2);
    load.cell.rack_count = 1;
    assert_int_equal(cs_headroom_racks(&saturated, &load.cell), 0);
    load.cell.rack_count = RACKS;
    load_dispose(&load);
}

/* Guards against headroom that consists of racks in an evacuated zone, whose
   workers are not usable. */
static void
headroom__racks_without_usable_workers_do_not_count(void **state)
{
    struct load load;
    cs_headroom unused = {0};
    cs_headroom saturated = {0};
    uint32_t i;

    load_init(&load);
    saturated.used_accelerators = (int64_t)WORKERS * 8;
    cs_headroom_advance(&saturated, 1000);
    for (i = 0; i < WORKERS; i++)
        load.workers[i].usable = load.workers[i].rack < 4;
    assert_int_equal(cs_headroom_racks(&unused, &load.cell), 3);
    assert_int_equal(cs_headroom_racks(&saturated, &load.cell), 4);
    for (i = 0; i < WORKERS; i++)
        load.workers[i].usable = load.workers[i].rack < 1;
    assert_int_equal(cs_headroom_racks(&saturated, &load.cell), 0);
    load_dispose(&load);
}

static void
headroom__mean_follows_use_within_seconds(void **state)
{
    cs_headroom headroom = {.used_accelerators = 100};

    cs_headroom_advance(&headroom, 1);
    assert_true(headroom.mean_used > 5 && headroom.mean_used < 15);
    cs_headroom_advance(&headroom, 60);
    assert_true(headroom.mean_used > 99);
    headroom.used_accelerators = 0;
    cs_headroom_advance(&headroom, 60);
    assert_true(headroom.mean_used < 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            headroom__urgent_gangs_start_at_once_among_long_tasks),
        cmocka_unit_test(
            headroom__reserved_racks_are_at_least_one_at_most_half),
        cmocka_unit_test(headroom__racks_without_usable_workers_do_not_count),
        cmocka_unit_test(headroom__mean_follows_use_within_seconds),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
