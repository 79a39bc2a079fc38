/* The commands of csctl that call entry processes. */
#include "csctl.h"
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/resource.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WAIT_POLL_INTERVAL_US 100000

static json_t *
load_file(const char *file)
{
    json_error_t error;
    json_t *body;

    if (strcmp(file, "-") == 0)
        body = json_loadf(stdin, JSON_REJECT_DUPLICATES, &error);
    else
        body = json_load_file(file, JSON_REJECT_DUPLICATES, &error);
    if (!body)
        fprintf(stderr, "csctl: %s, line %d: %s\n", file, error.line,
                error.text);
    return body;
}

static int
apply_item(struct ctl *ctl, const json_t *item)
{
    const char *kind_name = json_string_value(json_object_get(item, "kind"));
    const json_t *resource = json_object_get(item, "resource");
    const char *name = json_string_value(json_object_get(resource, "name"));
    char path[192];
    cs_kind kind;
    int status;

    if (!kind_name || !name || cs_kind_find(&kind, kind_name)) {
        fprintf(stderr, "csctl: an item needs a known 'kind' and a 'resource' "
                        "with a 'name'\n");
        return EXIT_USAGE;
    }
    g_snprintf(path, sizeof(path), "/v1/%s/%s", cs_kind_name(kind), name);
    status = ctl_call(ctl, "PUT", path, NULL, resource);
    if (status == EXIT_OK)
        printf("%s/%s %s, version %" JSON_INTEGER_FORMAT "\n",
               cs_kind_name(kind), name,
               ctl->http_status == 201 ? "created" : "configured",
               json_integer_value(json_object_get(ctl->response, "version")));
    else
        fprintf(stderr, "csctl: %s/%s was not applied\n", kind_name, name);
    return status;
}

int
command_apply(struct ctl *ctl)
{
    json_t *file = ctl->file ? load_file(ctl->file) : NULL;
    const json_t *items = json_object_get(file, "items");
    const json_t *item;
    size_t i;
    int status = EXIT_OK;

    if (!file)
        return EXIT_USAGE;
    if (!items) {
        status = apply_item(ctl, file);
        json_decref(file);
        return status;
    }
    json_array_foreach(items, i, item)
    {
        status = apply_item(ctl, item);
        if (status != EXIT_OK)
            break;
    }
    json_decref(file);
    return status;
}

/* Converts the command's KIND[/NAME] argument into the path of the resource.
   Returns EXIT_OK or EXIT_USAGE. */
static int
path_of_resource_arg(struct ctl *ctl, char *path, size_t size, bool needs_name)
{
    const char *name;
    const char *kind;

    if (ctl->arg_count != 2)
        return EXIT_USAGE;
    kind = ctl_parse_resource(ctl->args[1], &name);
    if (!kind || (needs_name && !name))
        return EXIT_USAGE;
    g_snprintf(path, size, "/v1/%s%s%s", kind, name ? "/" : "",
               name ? name : "");
    return EXIT_OK;
}

int
command_get(struct ctl *ctl)
{
    char path[192];
    char full_path[300];
    int status = path_of_resource_arg(ctl, path, sizeof(path), false);

    if (status != EXIT_OK)
        return status;
    g_snprintf(full_path, sizeof(full_path), "%s%s%s", path,
               ctl->zone[0] ? "?zone=" : "", ctl->zone);
    status = ctl_call(ctl, "GET", full_path, NULL, NULL);
    if (status == EXIT_OK)
        ctl_print_response(ctl);
    return status;
}

int
command_delete(struct ctl *ctl)
{
    char path[192];
    int status = path_of_resource_arg(ctl, path, sizeof(path), true);

    if (status == EXIT_OK)
        status = ctl_call(ctl, "DELETE", path, NULL, NULL);
    if (status == EXIT_OK)
        printf("%s deleted\n", ctl->args[1]);
    return status;
}

static bool
print_change(struct ctl *ctl, const json_t *change)
{
    const json_t *status =
        json_object_get(json_object_get(change, "now"), "status");

    if (strcmp(ctl->output, "json") == 0) {
        json_dumpf(change, stdout, JSON_COMPACT);
        printf("\n");
    }
    else {
        const char *state =
            json_string_value(json_object_get(status, "state"));

        printf("%s %" JSON_INTEGER_FORMAT " %s %s/%s %s by %s\n",
               json_string_value(json_object_get(change, "scope")),
               json_integer_value(json_object_get(change, "version")),
               json_string_value(json_object_get(change, "op")),
               json_string_value(json_object_get(change, "kind")),
               json_string_value(json_object_get(change, "name")),
               state ? state : "",
               json_string_value(json_object_get(change, "writer")));
    }
    fflush(stdout);
    return true;
}

int
command_watch(struct ctl *ctl)
{
    char path[192];
    char full_path[400];
    int status = path_of_resource_arg(ctl, path, sizeof(path), false);

    if (status != EXIT_OK)
        return status;
    g_snprintf(full_path, sizeof(full_path), "%s?watch=1%s%s", path,
               ctl->zone[0] ? "&zone=" : "", ctl->zone);
    if (ctl->from_version >= 0) {
        size_t length = strlen(full_path);

        g_snprintf(full_path + length, sizeof(full_path) - length,
                   "&from=%" PRId64, ctl->from_version);
    }
    return ctl_stream(ctl, full_path, print_change);
}

/* Returns whether a job in this state stays in it, so that waiting for another
   one is pointless. */
static bool
is_final_state(const char *state)
{
    static const char *const final_states[] = {
        "succeeded", "failed", "cancelled", "never", "unknown"};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(final_states); i++) {
        if (strcmp(final_states[i], state) == 0)
            return true;
    }
    return false;
}

int
command_wait(struct ctl *ctl)
{
    int64_t deadline_us = cs_clock_boot_us() + ctl->deadline_s * CS_SEC_US;
    char path[192];
    int status = path_of_resource_arg(ctl, path, sizeof(path), true);

    while (status == EXIT_OK) {
        const char *state;

        status = ctl_call(ctl, "GET", path, NULL, NULL);
        state = json_string_value(json_object_get(
            json_object_get(ctl->response, "status"), "state"));
        if (status != EXIT_OK || !state)
            return status == EXIT_OK ? EXIT_USAGE : status;
        if (strcmp(state, ctl->wait_state) == 0) {
            printf("%s is %s\n", ctl->args[1], state);
            return EXIT_OK;
        }
        if (is_final_state(state)) {
            fprintf(stderr, "csctl: %s is %s\n", ctl->args[1], state);
            return EXIT_UNEXPECTED_STATE;
        }
        if (cs_clock_boot_us() >= deadline_us) {
            fprintf(stderr, "csctl: %s is still %s at the deadline\n",
                    ctl->args[1], state);
            return EXIT_DEADLINE;
        }
        usleep(WAIT_POLL_INTERVAL_US);
    }
    return status;
}

static void
print_explanation(const json_t *body)
{
    const json_t *conditions =
        json_object_get(json_object_get(body, "status"), "conditions");
    const char *reason = json_string_value(json_object_get(body, "reason"));
    const char *message = json_string_value(json_object_get(body, "message"));
    const json_t *item;
    size_t i;

    printf("state:    %s\n",
           json_string_value(json_object_get(body, "state")));
    if (reason)
        printf("reason:   %s\n", reason);
    if (message)
        printf("because:  %s\n", message);
    if (json_object_get(body, "estimate_s"))
        printf("estimate: %" JSON_INTEGER_FORMAT " s left to run\n",
               json_integer_value(json_object_get(body, "estimate_s")));
    json_array_foreach(conditions, i, item) printf(
        "  %-9s %-22s %s\n", json_string_value(json_object_get(item, "type")),
        json_string_value(json_object_get(item, "reason")),
        json_string_value(json_object_get(item, "message")));
}

int
command_explain(struct ctl *ctl)
{
    char path[192];
    char full_path[256];
    int status = path_of_resource_arg(ctl, path, sizeof(path), true);

    if (status != EXIT_OK)
        return status;
    g_snprintf(full_path, sizeof(full_path), "%s/explain", path);
    status = ctl_call(ctl, "GET", full_path, NULL, NULL);
    if (status != EXIT_OK)
        return status;
    if (strcmp(ctl->output, "json") == 0)
        ctl_print_response(ctl);
    else
        print_explanation(ctl->response);
    return EXIT_OK;
}

int
command_cancel(struct ctl *ctl)
{
    char path[192];
    char full_path[256];
    int status = path_of_resource_arg(ctl, path, sizeof(path), true);

    if (status != EXIT_OK)
        return status;
    g_snprintf(full_path, sizeof(full_path), "%s/cancel", path);
    status = ctl_call(ctl, "POST", full_path, NULL, NULL);
    if (status == EXIT_OK)
        printf("%s cancelled\n", ctl->args[1]);
    return status;
}

/* Writes back the resource in the last response; fails with a conflict if the
   stored resource has changed since it was read. */
static int
put_if_unchanged(struct ctl *ctl, const char *path)
{
    json_t *resource = json_incref(json_object_get(ctl->response, "resource"));
    char version[32];
    int status;

    g_snprintf(version, sizeof(version), "%" JSON_INTEGER_FORMAT,
               json_integer_value(json_object_get(ctl->response, "version")));
    status = ctl_call(ctl, "PUT", path, version, resource);
    json_decref(resource);
    return status;
}

static int
drain_worker(struct ctl *ctl, const char *name)
{
    char path[192];
    int status;

    g_snprintf(path, sizeof(path), "/v1/workers/%s", name);
    status = ctl_call(ctl, "GET", path, NULL, NULL);
    if (status != EXIT_OK)
        return status;
    json_object_set_new(json_object_get(ctl->response, "resource"), "cordoned",
                        json_true());
    return put_if_unchanged(ctl, path);
}

static int
drain_endpoint(struct ctl *ctl, const char *service, const char *name)
{
    char path[192];
    json_t *item;
    size_t i;
    bool found = false;
    int status;

    g_snprintf(path, sizeof(path), "/v1/services/%s", service);
    status = ctl_call(ctl, "GET", path, NULL, NULL);
    if (status != EXIT_OK)
        return status;
    json_array_foreach(
        json_object_get(json_object_get(ctl->response, "resource"),
                        "endpoints"),
        i, item)
    {
        if (g_strcmp0(json_string_value(json_object_get(item, "name")),
                      name) == 0) {
            json_object_set_new(item, "leaving", json_true());
            found = true;
        }
    }
    if (!found) {
        fprintf(stderr, "csctl: service %s has no endpoint %s\n", service,
                name);
        return EXIT_REFUSED;
    }
    return put_if_unchanged(ctl, path);
}

int
command_drain(struct ctl *ctl)
{
    gchar **parts;
    int status = EXIT_USAGE;

    if (ctl->arg_count != 2)
        return EXIT_USAGE;
    parts = g_strsplit(ctl->args[1], "/", 4);
    if (g_strv_length(parts) == 2 && strcmp(parts[0], "worker") == 0)
        status = drain_worker(ctl, parts[1]);
    else if (g_strv_length(parts) == 3 && strcmp(parts[0], "endpoint") == 0)
        status = drain_endpoint(ctl, parts[1], parts[2]);
    if (status == EXIT_OK)
        printf("%s is draining: it gets no new work\n", ctl->args[1]);
    g_strfreev(parts);
    return status;
}

static void
print_audit(const json_t *body)
{
    const json_t *item;
    size_t i;

    json_array_foreach(json_object_get(body, "items"), i, item)
        printf("%-12s %6" JSON_INTEGER_FORMAT " %16" JSON_INTEGER_FORMAT
               " %-12s %-6s %s/%s\n",
               json_string_value(json_object_get(item, "scope")),
               json_integer_value(json_object_get(item, "version")),
               json_integer_value(json_object_get(item, "at_us")),
               json_string_value(json_object_get(item, "writer")),
               json_string_value(json_object_get(item, "op")),
               json_string_value(json_object_get(item, "kind")),
               json_string_value(json_object_get(item, "name")));
}

int
command_audit(struct ctl *ctl)
{
    char path[192];
    int status;

    g_snprintf(path, sizeof(path), "/v1/audit?scope=%s&from=%" PRId64,
               ctl->scope, MAX(ctl->from_version, 1));
    status = ctl_call(ctl, "GET", path, NULL, NULL);
    if (status != EXIT_OK)
        return status;
    if (strcmp(ctl->output, "json") == 0)
        ctl_print_response(ctl);
    else
        print_audit(ctl->response);
    return EXIT_OK;
}

static void
print_top(const json_t *body)
{
    const json_t *item;
    size_t i;

    printf("%-14s %-12s %6s %8s %6s %6s %6s %7s %6s\n", "ZONE", "HOLDER",
           "EPOCH", "WORKERS", "ACCEL", "FREE", "QUEUED", "STARTED", "SHORT");
    json_array_foreach(json_object_get(body, "zones"), i, item)
        printf("%-14s %-12s %6lld %4lld/%-3lld %6lld %6lld %6lld %7lld "
               "%6lld\n",
               json_string_value(json_object_get(item, "zone")),
               json_string_value(json_object_get(item, "holder")),
               json_integer_value(json_object_get(item, "epoch")),
               json_integer_value(json_object_get(item, "workers_ready")),
               json_integer_value(json_object_get(item, "workers")),
               json_integer_value(json_object_get(item, "accelerators")),
               json_integer_value(json_object_get(item, "free")),
               json_integer_value(json_object_get(item, "queued")),
               json_integer_value(json_object_get(item, "started")),
               json_integer_value(json_object_get(item, "guarantees_short")));
    printf("\n%-14s %-8s %-14s %-22s %8s %6s\n", "PROCESS", "ROLE", "ZONE",
           "ADDRESS", "CONFIG", "OPEN");
    json_array_foreach(json_object_get(body, "processes"), i, item) printf(
        "%-14s %-8s %-14s %-22s %8lld %6lld%s\n",
        json_string_value(json_object_get(item, "name")),
        json_string_value(json_object_get(item, "role")),
        json_string_value(json_object_get(item, "zone")),
        json_string_value(json_object_get(item, "api")),
        json_integer_value(json_object_get(item, "config_version")),
        json_integer_value(json_object_get(item, "open_requests")),
        json_is_true(json_object_get(item, "draining")) ? " draining" : "");
}

int
command_top(struct ctl *ctl)
{
    int status = ctl_call(ctl, "GET", "/v1/top", NULL, NULL);

    if (status != EXIT_OK)
        return status;
    if (strcmp(ctl->output, "json") == 0)
        ctl_print_response(ctl);
    else
        print_top(ctl->response);
    return EXIT_OK;
}

int
command_request(struct ctl *ctl)
{
    char path[512];
    int status;

    if (ctl->arg_count != 5)
        return EXIT_USAGE;
    g_snprintf(path, sizeof(path),
               "/v1/services/%s/requests?class=%s&organisation=%s&id=%s",
               ctl->args[1], ctl->args[2], ctl->args[3], ctl->args[4]);
    status = ctl_call(ctl, "POST", path, NULL, NULL);
    if (status == EXIT_OK)
        ctl_print_response(ctl);
    return status;
}
