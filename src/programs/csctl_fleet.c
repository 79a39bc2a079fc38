/* Commands for the processes of VMs on the users' platform; --servers names
   their addresses for peers. */
#include "csctl.h"

#include <stdio.h>
#include <string.h>

static const char *
text_of(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));

    return text ? text : "";
}

static int
number_of(const json_t *object, const char *name)
{
    return (int)json_integer_value(json_object_get(object, name));
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
        else if (json_is_true(json_object_get(item, "usable")))
            state = "usable";
        printf("%-20s %-16s %-9s %5d %5d %12d\n", text_of(item, "id"),
               text_of(item, "zone"), state, number_of(item, "tasks"),
               number_of(item, "used"), number_of(item, "answered_ms_ago"));
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
        printf("%-22s %-16s %-7s %8d %6.2f\n", text_of(item, "address"),
               text_of(item, "zone"),
               json_is_true(json_object_get(item, "up")) ? "up" : "silent",
               number_of(item, "workers"),
               number_of(item, "cpu_milli") / 1000.0);
    }
}

static void
print_fleet(const json_t *body)
{
    printf("vm %s, zone %s: %s, epoch %d, holder %s\n", text_of(body, "vm"),
           text_of(body, "zone"), text_of(body, "tenure"),
           number_of(body, "epoch"), text_of(body, "holder"));
    printf("configuration %d, store answered %d ms ago%s, open requests %d\n",
           number_of(body, "config"), number_of(body, "store_answered_ms_ago"),
           json_is_true(json_object_get(body, "relayed")) ? " through a peer"
                                                          : "",
           number_of(body, "open_requests"));
    printf("jobs: %d active, %d ended, %d not recorded yet\n",
           number_of(body, "active_jobs"), number_of(body, "ended_jobs"),
           number_of(body, "unrecorded_jobs"));
    print_executors(json_object_get(body, "executors"));
    print_workers(json_object_get(body, "workers"));
}

int
command_fleet(struct ctl *ctl)
{
    int status;

    if (ctl->word_count > 2)
        return EXIT_USAGE;
    if (ctl->word_count == 2) {
        char *path = g_strdup_printf("/v1/fleet/jobs/%s", ctl->words[1]);

        status = ctl_call(ctl, "GET", path, NULL, NULL);
        g_free(path);
        if (status == EXIT_DONE)
            ctl_print(ctl);
        return status;
    }
    status = ctl_call(ctl, "GET", "/v1/fleet", NULL, NULL);
    if (status != EXIT_DONE)
        return status;
    if (strcmp(ctl->output, "json") == 0)
        ctl_print(ctl);
    else
        print_fleet(ctl->body);
    return EXIT_DONE;
}
