/*
 * Stand-in for a deployment: the store, the placement adviser and workers
 * over the platform's HTTP interfaces, in real time. Prints "ready IP:PORT" of
 * the store and the adviser; workers listen on ports of the kernel's choice.
 */
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"
#include "fake_wire.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define STEP_MS 2
#define WORKERS_MAX 32
#define RACK_WORKERS 8

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
    struct worker_server workers[WORKERS_MAX];
    uint32_t worker_count;
    fake_fleet *world;
    int64_t started_us;
};

static void
catch_up(struct deployment *d)
{
    int64_t elapsed_us = cs_clock_boot_us() - d->started_us;

    fake_fleet_run(d->world, elapsed_us - fake_fleet_now_us(d->world));
}

static gboolean
on_step(gpointer data)
{
    struct deployment *d = data;

    catch_up(d);
    if (fake_fleet_violation(d->world)) {
        fprintf(stderr, "violation %s\n", fake_fleet_violation(d->world));
        g_main_loop_quit(d->loop);
        return G_SOURCE_REMOVE;
    }
    return G_SOURCE_CONTINUE;
}

static void
on_store_request(cs_http_request *request, void *data)
{
    struct deployment *d = data;

    catch_up(d);
    if (strcmp(cs_http_request_path(request), "/advise") == 0)
        fake_wire_adviser(d->world, request);
    else
        fake_wire_store(d->world, request);
}

static void
on_worker_request(cs_http_request *request, void *data)
{
    struct worker_server *worker = data;

    catch_up(worker->deployment);
    fake_wire_worker(worker->deployment->world, request, worker->address);
}

static gboolean
on_signal(gpointer data)
{
    g_main_loop_quit(data);
    return G_SOURCE_CONTINUE;
}

static int
listen_worker(struct deployment *d, uint32_t number)
{
    struct worker_server *worker = &d->workers[number];
    int rc;

    worker->deployment = d;
    rc = cs_http_server_create(&worker->server, d->net, "127.0.0.1", 0,
                               on_worker_request, worker);
    if (rc)
        return rc;
    g_snprintf(worker->address, sizeof(worker->address), "127.0.0.1:%u",
               cs_http_server_port(worker->server));
    fake_fleet_set_address(d->world, number, worker->address);
    return 0;
}

static int
start(struct deployment *d)
{
    uint32_t i;
    int rc = cs_net_create(&d->net, d->loop);

    if (!rc)
        rc = cs_http_server_create(&d->store, d->net, "127.0.0.1", 0,
                                   on_store_request, d);
    for (i = 0; !rc && i < d->worker_count; i++)
        rc = listen_worker(d, i);
    return rc;
}

static void
stop(struct deployment *d)
{
    uint32_t i;

    cs_net_destroy(d->net);
    fake_fleet_destroy(d->world);
    cs_http_server_destroy(d->store);
    for (i = 0; i < d->worker_count; i++)
        cs_http_server_destroy(d->workers[i].server);
    g_main_loop_unref(d->loop);
}

int
main(int argc, char **argv)
{
    struct deployment d = {0};
    fake_fleet_settings settings = {.seed = 1};
    int64_t workers = RACK_WORKERS;
    const cs_setting table[] = {
        {"workers", CS_SETTING_NUMBER, &workers, 1, WORKERS_MAX, false,
         "workers of 8 accelerators"},
    };
    cs_settings_next next;
    int status = 0;

    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "stand-in for a deployment")) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    signal(SIGPIPE, SIG_IGN);
    d.worker_count = (uint32_t)workers;
    settings.workers = d.worker_count;
    settings.racks = (d.worker_count + RACK_WORKERS - 1) / RACK_WORKERS;
    d.world = fake_fleet_create(&settings);
    d.loop = g_main_loop_new(NULL, FALSE);
    d.started_us = cs_clock_boot_us();
    if (start(&d)) {
        fprintf(stderr, "%s\n", cs_error_last());
        return 1;
    }
    g_unix_signal_add(SIGTERM, on_signal, d.loop);
    g_unix_signal_add(SIGINT, on_signal, d.loop);
    g_timeout_add(STEP_MS, on_step, &d);
    printf("ready 127.0.0.1:%u\n", cs_http_server_port(d.store));
    fflush(stdout);
    g_main_loop_run(d.loop);
    if (fake_fleet_violation(d.world))
        status = 1;
    stop(&d);
    return status;
}
