/* Prints responses as tables or as JSON. */
#include "csctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *
string_member(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text ? text : "-";
}

static long long
integer_member(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static void
print_job(const json_t *item)
{
    const json_t *job = json_object_get(item, "resource");
    const json_t *status = json_object_get(item, "status");
    const json_t *conditions = json_object_get(status, "conditions");
    const json_t *last_condition = json_array_get(
        conditions,
        json_array_size(conditions) ? json_array_size(conditions) - 1 : 0);

    printf("%-28s %-16s %-12s %-13s %5lld %-10s %7lld  %s\n",
           string_member(job, "name"), string_member(job, "organisation"),
           string_member(job, "zone"), string_member(job, "tier"),
           integer_member(job, "accelerators"), string_member(status, "state"),
           integer_member(status, "attempt"),
           string_member(last_condition, "reason"));
}

static void
print_resource(const json_t *item)
{
    char *text = json_dumps(json_object_get(item, "resource"), JSON_COMPACT);

    printf("%-28s %7lld  %s\n",
           string_member(json_object_get(item, "resource"), "name"),
           integer_member(item, "version"), text);
    free(text);
}

static void
print_item(const json_t *item)
{
    if (strcmp(string_member(item, "kind"), "jobs") == 0)
        print_job(item);
    else
        print_resource(item);
}

static void
print_header(const json_t *item)
{
    if (strcmp(string_member(item, "kind"), "jobs") == 0)
        printf("%-28s %-16s %-12s %-13s %5s %-10s %7s  %s\n", "NAME",
               "ORGANISATION", "ZONE", "TIER", "ACCEL", "STATE", "ATTEMPT",
               "REASON");
    else
        printf("%-28s %7s  %s\n", "NAME", "VERSION", "RESOURCE");
}

static void
print_items(const json_t *items)
{
    const json_t *item;
    size_t i;

    if (json_array_size(items) == 0) {
        printf("no resources found\n");
        return;
    }
    print_header(json_array_get(items, 0));
    json_array_foreach(items, i, item) print_item(item);
}

void
ctl_print_response(struct ctl *ctl)
{
    const json_t *items = json_object_get(ctl->response, "items");

    if (strcmp(ctl->output, "json") == 0) {
        json_dumpf(ctl->response, stdout, JSON_INDENT(2));
        printf("\n");
    }
    else if (items) {
        print_items(items);
    }
    else if (json_object_get(ctl->response, "resource")) {
        print_header(ctl->response);
        print_item(ctl->response);
    }
    else {
        json_dumpf(ctl->response, stdout, JSON_INDENT(2));
        printf("\n");
    }
}
