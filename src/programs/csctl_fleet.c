/* The command that queries cs-fleetd; --server gives the address for peers and
   operators of a VM. */
#include "csctl.h"

#include <stdio.h>
#include <string.h>

static const char *
string_member(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text ? text : "";
}

static int
integer_member(const json_t *object, const char *key)
{
    return (int)json_integer_value(json_object_get(object, key));
}

static void
print_workers(const json_t *workers)
{
    const json_t *item;
    size_t i;

    if (json_array_size(workers) == 0)
        return;
    printf("\n%-20s %-16s %-9s %5s %5s %12s\n", "WORKER", "ZONE", "STATE",
           "TASKS", "USED", "ANSWERED-MS");
    json_array_foreach(workers, i, item)
    {
        const char *state = "waiting";

        if (json_is_true(json_object_get(item, "draining")))
            state = "draining";
        else if (!json_is_true(json_object_get(item, "listed")))
            state = "gone";
        else if (json_is_true(json_object_get(item, "evacuated")))
            state = "evacuated";
        else if (json_is_true(json_object_get(item, "usable")))
            state = "usable";
        printf("%-20s %-16s %-9s %5d %5d %12d\n", string_member(item, "id"),
               string_member(item, "zone"), state,
               integer_member(item, "tasks"), integer_member(item, "used"),
               integer_member(item, "answered_ms_ago"));
    }
}

static void
print_organisations(const json_t *organisations)
{
    const json_t *item;
    size_t i;

    if (json_array_size(organisations) == 0)
        return;
    printf("\n%-24s %7s %7s %s\n", "ORGANISATION", "SHARE", "WEIGHT", "STATE");
    json_array_foreach(organisations, i, item)
    {
        printf("%-24s %6.1f%% %7.1f %s\n", string_member(item, "organisation"),
               json_number_value(json_object_get(item, "share")) * 100.0,
               json_number_value(json_object_get(item, "weight")),
               json_is_true(json_object_get(item, "over")) ? "over"
                                                           : "within");
    }
}

static void
print_zones(const json_t *zones)
{
    const json_t *item;
    size_t i;

    if (json_array_size(zones) == 0)
        return;
    printf("\n%-24s %8s %s\n", "ZONE OF ENTRY", "LATENESS", "STATE");
    json_array_foreach(zones, i, item)
    {
        printf("%-24s %8.2f %s\n", string_member(item, "zone"),
               json_number_value(json_object_get(item, "lateness")),
               json_is_true(json_object_get(item, "late")) ? "late" : "even");
    }
}

static void
print_executors(const json_t *executors)
{
    const json_t *item;
    size_t i;

    if (json_array_size(executors) == 0)
        return;
    printf("\n%-22s %-16s %-7s %8s %6s\n", "EXECUTOR", "ZONE", "STATE",
           "WORKERS", "CORES");
    json_array_foreach(executors, i, item)
    {
        printf("%-22s %-16s %-7s %8d %6.2f\n", string_member(item, "address"),
               string_member(item, "zone"),
               json_is_true(json_object_get(item, "up")) ? "up" : "silent",
               integer_member(item, "workers"),
               integer_member(item, "cpu_milli") / 1000.0);
    }
}

static void
print_evacuations(const json_t *body)
{
    const json_t *evacuations = json_object_get(body, "evacuations");
    const json_t *item;
    size_t i;

    json_array_foreach(evacuations, i, item)
    {
        printf("zone %s is evacuated, for %d ms\n",
               string_member(item, "zone"), integer_member(item, "for_ms"));
    }
    if (json_is_true(json_object_get(body, "starts_held")))
        printf("no task is started: the evacuated zones are not known\n");
}

static void
print_forecast_services(const json_t *services)
{
    const json_t *item;
    size_t i;

    if (json_array_size(services) == 0)
        return;
    printf("%-16s %7s %12s %10s %10s %10s\n", "SERVICE", "WORKERS",
           "WORKER-CORES", "WORKER-ACC", "RACK-CORES", "RACK-ACC");
    json_array_foreach(services, i, item)
    {
        printf("%-16s %7d %12d %10d %10d %10d\n",
               string_member(item, "service"), integer_member(item, "workers"),
               integer_member(item, "worker_cores"),
               integer_member(item, "worker_accelerators"),
               integer_member(item, "rack_cores"),
               integer_member(item, "rack_accelerators"));
    }
}

/* WAIT-MS is the time that the work takes all workers of the service. */
static void
print_forecast_backlog(const json_t *backlog)
{
    const json_t *item;
    size_t i;

    if (json_array_size(backlog) == 0)
        return;
    printf("%-20s %8s %-8s %10s %10s %9s %10s\n", "QUEUE", "PRIORITY", "CLASS",
           "CORE-S", "ACC-S", "WAIT-MS", "OLDEST-MS");
    json_array_foreach(backlog, i, item)
    {
        printf("%-20s %8d %-8s %10lld %10lld %9lld %10lld\n",
               string_member(item, "queue"), integer_member(item, "priority"),
               string_member(item, "class"),
               (long long)json_integer_value(json_object_get(item, "core_s")),
               (long long)json_integer_value(
                   json_object_get(item, "accelerator_s")),
               (long long)json_integer_value(json_object_get(item, "wait_ms")),
               (long long)json_integer_value(
                   json_object_get(item, "oldest_wait_ms")));
    }
}

static void
print_forecast(const json_t *forecast)
{
    if (!forecast)
        return;
    printf("\nforecast of epoch %d, %d ms old, holder loaded for %d ms\n",
           integer_member(forecast, "epoch"),
           integer_member(forecast, "age_ms"),
           integer_member(forecast, "loaded_ms"));
    print_forecast_services(json_object_get(forecast, "services"));
    print_forecast_backlog(json_object_get(forecast, "backlog"));
}

static void
print_fleet(const json_t *body)
{
    printf("vm %s, zone %s: %s, epoch %d, holder %s\n",
           string_member(body, "vm"), string_member(body, "zone"),
           string_member(body, "tenure"), integer_member(body, "epoch"),
           string_member(body, "holder"));
    printf("configuration %d, store answered %d ms ago%s, open requests %d\n",
           integer_member(body, "config"),
           integer_member(body, "store_answered_ms_ago"),
           json_is_true(json_object_get(body, "relayed")) ? " through a peer"
                                                          : "",
           integer_member(body, "open_requests"));
    printf("jobs: %d active, %d of them without their queue, %d ended, %d not "
           "recorded yet\n",
           integer_member(body, "active_jobs"),
           integer_member(body, "jobs_without_queue"),
           integer_member(body, "ended_jobs"),
           integer_member(body, "unrecorded_jobs"));
    print_evacuations(body);
    print_forecast(json_object_get(body, "forecast"));
    print_executors(json_object_get(body, "executors"));
    print_organisations(json_object_get(body, "organisations"));
    print_zones(json_object_get(body, "zones"));
    print_workers(json_object_get(body, "workers"));
}

int
command_fleet(struct ctl *ctl)
{
    int status;

    if (ctl->arg_count > 2)
        return EXIT_USAGE;
    if (ctl->arg_count == 2) {
        char *path = g_strdup_printf("/v1/fleet/jobs/%s", ctl->args[1]);

        status = ctl_call(ctl, "GET", path, NULL, NULL);
        g_free(path);
        if (status == EXIT_OK)
            ctl_print_response(ctl);
        return status;
    }
    status = ctl_call(ctl, "GET", "/v1/fleet", NULL, NULL);
    if (status != EXIT_OK)
        return status;
    if (strcmp(ctl->output, "json") == 0)
        ctl_print_response(ctl);
    else
        print_fleet(ctl->response);
    return EXIT_OK;
}
