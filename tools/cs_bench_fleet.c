/*
 * Measures the CPU time that the holder of a cell uses per second of virtual
 * time, in a simulated deployment of one VM. Use --jobs-per-s 0 for the cost
 * without jobs. Prints one JSON object.
 */
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/settings.h"
#include "fake_fleet.h"

#include <glib.h>
#include <stdio.h>
#include <time.h>

#define RACK_WORKERS 8
#define STARTUP_US (2 * CS_SEC_US) /* excluded from the measurement */

static double
process_cpu_s(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void
submit(fake_fleet *fleet, GRand *random, uint32_t number)
{
    uint32_t queue = (uint32_t)g_rand_int_range(random, 0, 3);
    bool gang = queue < 2;
    fake_job job;

    fake_job_init(&job, number, queue,
                  (uint32_t)g_rand_int_range(random, 1, gang ? 8 : 40),
                  gang ? 1 << g_rand_int_range(random, 0, 4) : 1,
                  queue == 0 ? 2500 : 8000);
    job.spec.steps[0].gang = gang;
    job.spec.steps[0].same_rack = gang;
    fake_fleet_submit(fleet, 0, &job, NULL);
}

int
main(int argc, char **argv)
{
    int64_t workers = 48;
    int64_t seconds = 20;
    int64_t jobs_per_s = 4;
    const cs_setting table[] = {
        {"workers", CS_SETTING_NUMBER, &workers, 1, FAKE_WORKERS_MAX, false,
         "number of workers, of 8 accelerators each"},
        {"seconds", CS_SETTING_NUMBER, &seconds, 1, 600, false,
         "virtual time to measure, in seconds"},
        {"jobs-per-s", CS_SETTING_NUMBER, &jobs_per_s, 0, 1000, false,
         "jobs submitted per second of virtual time"},
    };
    fake_fleet_settings settings = {.vms = 1, .seed = 1};
    cs_settings_next next;
    fake_fleet *fleet;
    GRand *random = g_rand_new_with_seed(1);
    double start_cpu_s;
    uint32_t i;

    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "measures the CPU cost of a cell's holder")) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    cs_log_silence();
    settings.workers = (uint32_t)workers;
    settings.racks = (uint32_t)((workers + RACK_WORKERS - 1) / RACK_WORKERS);
    fleet = fake_fleet_create(&settings);
    fake_fleet_run(fleet, STARTUP_US);
    start_cpu_s = process_cpu_s();
    for (i = 0; i < seconds * jobs_per_s; i++) {
        submit(fleet, random, i + 1);
        fake_fleet_run(fleet, CS_SEC_US / jobs_per_s);
    }
    if (jobs_per_s == 0)
        fake_fleet_run(fleet, seconds * CS_SEC_US);
    printf("{\"bench\":\"fleet\",\"workers\":%d,\"jobs_per_s\":%d,"
           "\"cores\":%.4f}\n",
           (int)workers, (int)jobs_per_s,
           (process_cpu_s() - start_cpu_s) / (double)seconds);
    fake_fleet_destroy(fleet);
    g_rand_free(random);
    return 0;
}
