/* Tables and JSON for people and programs. */
#include "csctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *
text_of(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));

    return text ? text : "-";
}

static long long
number_of(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static void
print_job(const json_t *view)
{
    const json_t *job = json_object_get(view, "resource");
    const json_t *status = json_object_get(view, "status");
    const json_t *conditions = json_object_get(status, "conditions");
    const json_t *last = json_array_get(
        conditions,
        json_array_size(conditions) ? json_array_size(conditions) - 1 : 0);

    printf("%-28s %-16s %-12s %-13s %5lld %-10s %7lld  %s\n",
           text_of(job, "name"), text_of(job, "organisation"),
           text_of(job, "zone"), text_of(job, "tier"),
           number_of(job, "accelerators"), text_of(status, "state"),
           number_of(status, "attempt"), text_of(last, "reason"));
}

static void
print_plain(const json_t *view)
{
    char *text = json_dumps(json_object_get(view, "resource"), JSON_COMPACT);

    printf("%-28s %7lld  %s\n",
           text_of(json_object_get(view, "resource"), "name"),
           number_of(view, "version"), text);
    free(text);
}

static void
print_view(const json_t *view)
{
    if (strcmp(text_of(view, "kind"), "jobs") == 0)
        print_job(view);
    else
        print_plain(view);
}

static void
print_head(const json_t *view)
{
    if (strcmp(text_of(view, "kind"), "jobs") == 0)
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
        printf("nothing\n");
        return;
    }
    print_head(json_array_get(items, 0));
    json_array_foreach(items, i, item) print_view(item);
}

void
ctl_print(struct ctl *ctl)
{
    const json_t *items = json_object_get(ctl->body, "items");

    if (strcmp(ctl->output, "json") == 0) {
        json_dumpf(ctl->body, stdout, JSON_INDENT(2));
        printf("\n");
    }
    else if (items) {
        print_items(items);
    }
    else if (json_object_get(ctl->body, "resource")) {
        print_head(ctl->body);
        print_view(ctl->body);
    }
    else {
        json_dumpf(ctl->body, stdout, JSON_INDENT(2));
        printf("\n");
    }
}
