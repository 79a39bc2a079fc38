/*
 * Stand-in for a deployment: serves the store, the placement adviser and
 * workers over the platform's HTTP interfaces, in real time. Prints
 * "ready IP:PORT" with the address of the store and the adviser. Workers
 * listen on ports that the kernel chooses. Stops with status 1 if the checker
 * finds a violation.
 */
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"
#include "fake_fleet_http.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS 2
#define MAX_WORKERS 32
#define WORKERS_PER_RACK 8

struct deployment;

struct worker_server {
    struct deployment *deployment;
    cs_http_server *server;
    char address[48];
};

struct deployment {
    GMainLoop *loop;
    cs_net *net;
    cs_http_server *store;
    struct worker_server workers[MAX_WORKERS];
    uint32_t worker_count;
    fake_fleet *fleet;
    int64_t started_us;
};

/* Advances virtual time to the time since the start of the process. */
static void
advance_to_now(struct deployment *deployment)
{
    int64_t elapsed_us = cs_clock_boot_us() - deployment->started_us;

    fake_fleet_run(deployment->fleet,
                   elapsed_us - fake_fleet_now_us(deployment->fleet));
}

static gboolean
on_tick(gpointer user_data)
{
    struct deployment *deployment = user_data;

    advance_to_now(deployment);
    if (fake_fleet_violation(deployment->fleet)) {
        fprintf(stderr, "violation %s\n",
                fake_fleet_violation(deployment->fleet));
        g_main_loop_quit(deployment->loop);
        return G_SOURCE_REMOVE;
    }
    return G_SOURCE_CONTINUE;
}

static void
on_store_request(cs_http_request *request, void *user_data)
{
    struct deployment *deployment = user_data;

    advance_to_now(deployment);
    if (strcmp(cs_http_request_path(request), "/advise") == 0)
        fake_fleet_http_adviser(deployment->fleet, request);
    else
        fake_fleet_http_store(deployment->fleet, request);
}

static void
on_worker_request(cs_http_request *request, void *user_data)
{
    struct worker_server *worker = user_data;

    advance_to_now(worker->deployment);
    fake_fleet_http_worker(worker->deployment->fleet, request,
                           worker->address);
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
    int rc;

    worker->deployment = deployment;
    rc = cs_http_server_create(&worker->server, deployment->net, "127.0.0.1",
                               0, on_worker_request, worker);
    if (rc)
        return rc;
    g_snprintf(worker->address, sizeof(worker->address), "127.0.0.1:%u",
               cs_http_server_port(worker->server));
    fake_fleet_set_address(deployment->fleet, number, worker->address);
    return 0;
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
    for (i = 0; !rc && i < deployment->worker_count; i++)
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
    g_main_loop_unref(deployment->loop);
}

int
main(int argc, char **argv)
{
    struct deployment deployment = {0};
    fake_fleet_settings settings = {.seed = 1};
    int64_t workers = WORKERS_PER_RACK;
    const cs_setting options[] = {
        {"workers", CS_SETTING_NUMBER, &workers, 1, MAX_WORKERS, false,
         "number of workers, with 8 accelerators each"},
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
    settings.workers = deployment.worker_count;
    settings.racks =
        (deployment.worker_count + WORKERS_PER_RACK - 1) / WORKERS_PER_RACK;
    deployment.fleet = fake_fleet_create(&settings);
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
