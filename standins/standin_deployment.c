/*
 * Stand-in for a deployment: serves the store, the placement adviser and
 * workers over the platform's HTTP interfaces, in real time. Prints
 * "ready IP:PORT" with the address of the store, the adviser and the controls
 * (see fake_fleet_http.h). Workers listen on ports that the kernel chooses.
 * Ends with status 1 if the checker has found a violation, with --go-on at
 * the end, else at once. With --events, what workers and the store observe is
 * logged in the format of the daemons.
 */
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/settings.h"
#include "fake_fleet_front.h"
#include "fake_fleet_http.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS 2
/* Workers of a front; see fake_fleet_front.h. With fewer workers than this,
   the process serves them itself. */
#define WORKERS_PER_FRONT 200
#define DEFAULT_WORKERS 8
#define MAX_WORKERS 1200
#define DEFAULT_WORKERS_PER_RACK 8

struct deployment;

struct worker_server {
    struct deployment *deployment;
    cs_http_server *server;
    uint32_t number;
};

struct deployment {
    GMainLoop *loop;
    cs_net *net;
    cs_http_server *store;
    struct worker_server *workers; /* of this process */
    fake_fleet_front **fronts;
    uint32_t front_count;
    uint32_t worker_count;
    fake_fleet *fleet;
    int64_t started_us;
    bool go_on;    /* after a violation */
    bool reported; /* the first violation was printed */
};

/* Advances virtual time to the time since the start of the process. */
static void
advance_to_now(void *user_data)
{
    struct deployment *deployment = user_data;
    int64_t elapsed_us = cs_clock_boot_us() - deployment->started_us;

    fake_fleet_run(deployment->fleet,
                   elapsed_us - fake_fleet_now_us(deployment->fleet));
}

static gboolean
on_tick(gpointer user_data)
{
    struct deployment *deployment = user_data;

    advance_to_now(deployment);
    if (!fake_fleet_violation(deployment->fleet) || deployment->reported)
        return G_SOURCE_CONTINUE;
    deployment->reported = true;
    fprintf(stderr, "violation %s\n", fake_fleet_violation(deployment->fleet));
    if (deployment->go_on)
        return G_SOURCE_CONTINUE;
    g_main_loop_quit(deployment->loop);
    return G_SOURCE_REMOVE;
}

static void
on_event(void *user_data, const char *event, const char *detail)
{
    cs_log_event(event, "%s", detail);
}

static void
on_store_request(cs_http_request *request, void *user_data)
{
    struct deployment *deployment = user_data;
    const char *path = cs_http_request_path(request);

    advance_to_now(deployment);
    if (strcmp(path, "/advise") == 0)
        fake_fleet_http_adviser(deployment->fleet, request);
    else if (strcmp(path, "/faults") == 0 || strcmp(path, "/state") == 0)
        fake_fleet_http_control(deployment->fleet, request);
    else
        fake_fleet_http_store(deployment->fleet, request);
}

static void
on_worker_request(cs_http_request *request, void *user_data)
{
    struct worker_server *worker = user_data;

    advance_to_now(worker->deployment);
    fake_fleet_http_worker(worker->deployment->fleet, request, worker->number);
}

static gboolean
on_signal(gpointer user_data)
{
    g_main_loop_quit(user_data);
    return G_SOURCE_CONTINUE;
}

static int
start_worker_server(struct deployment *deployment, uint32_t number)
{
    struct worker_server *worker = &deployment->workers[number];
    char address[32];
    int rc;

    worker->deployment = deployment;
    worker->number = number;
    rc = cs_http_server_create(&worker->server, deployment->net, "127.0.0.1",
                               0, on_worker_request, worker);
    if (rc)
        return rc;
    g_snprintf(address, sizeof(address), "127.0.0.1:%u",
               cs_http_server_port(worker->server));
    fake_fleet_set_address(deployment->fleet, number, address);
    return 0;
}

/* To be called before the main loop and other sockets exist. */
static int
fork_fronts(struct deployment *deployment)
{
    uint32_t count = deployment->worker_count / WORKERS_PER_FRONT;
    int rc = 0;

    deployment->fronts = g_new0(fake_fleet_front *, count + 1);
    while (!rc && deployment->front_count < count) {
        rc = fake_fleet_front_fork(
            &deployment->fronts[deployment->front_count],
            deployment->front_count, count, deployment->worker_count);
        if (!rc)
            deployment->front_count++;
    }
    return rc;
}

static int
start_servers(struct deployment *deployment)
{
    uint32_t i;
    int rc = cs_net_create(&deployment->net, deployment->loop);

    if (!rc)
        rc = cs_http_server_create(&deployment->store, deployment->net,
                                   "127.0.0.1", 0, on_store_request,
                                   deployment);
    for (i = 0; !rc && i < deployment->front_count; i++)
        rc = fake_fleet_front_attach(deployment->fronts[i], deployment->fleet,
                                     advance_to_now, deployment);
    for (i = 0;
         !rc && deployment->front_count == 0 && i < deployment->worker_count;
         i++)
        rc = start_worker_server(deployment, i);
    return rc;
}

static void
stop_servers(struct deployment *deployment)
{
    uint32_t i;

    cs_net_destroy(deployment->net);
    fake_fleet_destroy(deployment->fleet);
    cs_http_server_destroy(deployment->store);
    for (i = 0; i < deployment->worker_count; i++)
        cs_http_server_destroy(deployment->workers[i].server);
    g_free(deployment->workers);
    /* A front has a copy of the sockets of those before it, which end when all
       copies are closed. */
    while (deployment->front_count > 0)
        fake_fleet_front_destroy(
            deployment->fronts[--deployment->front_count]);
    g_free(deployment->fronts);
    g_main_loop_unref(deployment->loop);
}

int
main(int argc, char **argv)
{
    struct deployment deployment = {0};
    fake_fleet_settings settings = {0};
    int64_t workers = DEFAULT_WORKERS;
    int64_t workers_per_rack = DEFAULT_WORKERS_PER_RACK;
    int64_t zones = FAKE_ZONES;
    int64_t seed = 1;
    int64_t stop_ms = 300;
    int64_t organisations = 1;
    bool events = false;
    const cs_setting options[] = {
        {"workers", CS_SETTING_NUMBER, &workers, 1, MAX_WORKERS, false,
         "number of workers, with 8 accelerators each"},
        {"rack", CS_SETTING_NUMBER, &workers_per_rack, 1, MAX_WORKERS, false,
         "number of workers of a rack"},
        {"zones", CS_SETTING_NUMBER, &zones, 1, FAKE_WORKER_ZONES_MAX, false,
         "number of zones of the workers, named z0, z1 and so on"},
        {"seed", CS_SETTING_NUMBER, &seed, 0, UINT32_MAX, false,
         "seed of the faults"},
        {"organisations", CS_SETTING_NUMBER, &organisations, 1, 100, false,
         "number of organisations; number n has the key kn"},
        {"stop-ms", CS_SETTING_NUMBER, &stop_ms, 1, 10000, false,
         "time that a run takes to stop"},
        {"slow-clocks", CS_SETTING_FLAG, &settings.slow_clocks, 0, 0, false,
         "the steady clock of every second worker is 2% slow"},
        {"go-on", CS_SETTING_FLAG, &deployment.go_on, 0, 0, false,
         "runs on after a violation"},
        {"events", CS_SETTING_FLAG, &events, 0, 0, false,
         "logs what workers and the store observe"},
    };
    cs_settings_next next;
    int status = 0;

    if (cs_settings_parse(&next, NULL, options, G_N_ELEMENTS(options), argc,
                          argv, "stand-in for a deployment")) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    signal(SIGPIPE, SIG_IGN);
    deployment.worker_count = (uint32_t)workers;
    if (fork_fronts(&deployment)) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 1;
    }
    settings.workers = deployment.worker_count;
    settings.racks =
        (uint32_t)((workers + workers_per_rack - 1) / workers_per_rack);
    settings.worker_zones = (uint32_t)zones;
    settings.seed = (uint64_t)seed;
    settings.stop_us = stop_ms * CS_MS_US;
    deployment.workers = g_new0(struct worker_server, workers);
    deployment.fleet = fake_fleet_create(&settings);
    fake_fleet_set_organisations(deployment.fleet, (uint32_t)organisations);
    fake_fleet_configure(deployment.fleet, 2);
    cs_log_init("standin");
    if (events)
        fake_fleet_set_observer(deployment.fleet, on_event, NULL);
    deployment.loop = g_main_loop_new(NULL, FALSE);
    deployment.started_us = cs_clock_boot_us();
    if (start_servers(&deployment)) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 1;
    }
    g_unix_signal_add(SIGTERM, on_signal, deployment.loop);
    g_unix_signal_add(SIGINT, on_signal, deployment.loop);
    g_timeout_add(TICK_MS, on_tick, &deployment);
    printf("ready 127.0.0.1:%u\n", cs_http_server_port(deployment.store));
    fflush(stdout);
    g_main_loop_run(deployment.loop);
    if (fake_fleet_violation(deployment.fleet))
        status = 1;
    stop_servers(&deployment);
    return status;
}
