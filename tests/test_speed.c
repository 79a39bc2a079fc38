/* Speeds of workers, estimated from steps with an unknown amount of work. */
#include "corianderstair/speed.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <glib.h>
#include <cmocka.h>

#define SEC_US INT64_C(1000000)
#define WORKERS 12

static void
speed__one_task_changes_nothing(void **state)
{
    cs_speed_step step = {0};
    cs_speed speed = {0};

    cs_speed_observe(&step, &speed, 5000, SEC_US);
    assert_true(speed.log_speed == 0);
    assert_true(speed.confidence == 0);
}

static void
speed__two_tasks_correct_both_workers(void **state)
{
    cs_speed_step step = {0};
    cs_speed slow = {0};
    cs_speed fast = {0};
    double ratio = log(1.2 / 0.55);

    cs_speed_observe(&step, &slow, 3000 / 0.55, SEC_US);
    cs_speed_observe(&step, &fast, 3000 / 1.2, SEC_US);
    assert_true(fast.log_speed > 0.3 * ratio);
    assert_true(slow.log_speed < -0.3 * ratio);
    assert_true(fast.log_speed - slow.log_speed < 1.1 * ratio);
}

/* Runs gangs of three tasks on workers of which every fourth is slow, as
   in the deployments. The work of the gangs differs by more than the speeds
   do, so run times of different gangs cannot be compared. */
static void
speed__slow_workers_are_found_after_some_gangs(void **state)
{
    GRand *random = g_rand_new_with_seed(3);
    cs_speed speeds[WORKERS];
    double slowest_healthy = INFINITY;
    double fastest_slow = -INFINITY;
    int64_t now_us = SEC_US;
    uint32_t i;
    uint32_t k;

    memset(speeds, 0, sizeof(speeds));
    for (i = 0; i < 20; i++) {
        double work_ms = g_rand_double_range(random, 500, 8000);
        cs_speed_step step = {0};

        for (k = 0; k < 3; k++) {
            uint32_t worker = (uint32_t)g_rand_int_range(random, 0, WORKERS);
            double noise = g_rand_double_range(random, 0.95, 1.05);
            double speed = worker % 4 == 0 ? 0.55 : 1.2;

            cs_speed_observe(&step, &speeds[worker], work_ms / speed * noise,
                             now_us);
        }
        now_us += 300000;
    }
    for (i = 0; i < WORKERS; i++) {
        if (i % 4 == 0)
            fastest_slow = MAX(fastest_slow, speeds[i].log_speed);
        else
            slowest_healthy = MIN(slowest_healthy, speeds[i].log_speed);
    }
    assert_true(fastest_slow < slowest_healthy - 0.3);
    g_rand_free(random);
}

/* Observes two tasks of one step; the second takes factor times as long. */
static void
observe_pair(cs_speed *reference, cs_speed *other, double factor,
             int64_t now_us)
{
    cs_speed_step step = {0};

    cs_speed_observe(&step, reference, 2000, now_us);
    cs_speed_observe(&step, other, 2000 * factor, now_us);
}

static void
speed__estimate_recovers_after_a_slow_period(void **state)
{
    cs_speed healthy = {0};
    cs_speed other = {0};
    int64_t now_us = SEC_US;
    uint32_t i;

    for (i = 0; i < 5; i++)
        observe_pair(&healthy, &other, 1, now_us += SEC_US);
    for (i = 0; i < 3; i++)
        observe_pair(&healthy, &other, 6.5, now_us += 2 * SEC_US);
    assert_true(other.log_speed < healthy.log_speed - 0.7);
    for (i = 0; i < 5; i++)
        observe_pair(&healthy, &other, 1, now_us += 2 * SEC_US);
    assert_true(fabs(other.log_speed - healthy.log_speed) < 0.3);
}

static void
speed__estimates_are_bounded(void **state)
{
    cs_speed fast = {0};
    cs_speed slow = {0};
    uint32_t i;

    for (i = 0; i < 50; i++)
        observe_pair(&fast, &slow, 1000, (i + 1) * SEC_US);
    assert_true(fast.log_speed <= 1.0 && slow.log_speed >= -2.0);
    assert_true(isfinite(fast.log_speed) && isfinite(slow.log_speed));
    assert_true(fast.confidence >= 0 && fast.confidence <= 1);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(speed__one_task_changes_nothing),
        cmocka_unit_test(speed__two_tasks_correct_both_workers),
        cmocka_unit_test(speed__slow_workers_are_found_after_some_gangs),
        cmocka_unit_test(speed__estimate_recovers_after_a_slow_period),
        cmocka_unit_test(speed__estimates_are_bounded),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
