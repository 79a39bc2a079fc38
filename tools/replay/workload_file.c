/* Reads and writes workload files: a header line and a line for each event,
   each a JSON object. */
#include "workload.h"
#include "corianderstair/errors.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECOND 1e6

static const char *const tier_names[] = {"opportunistic", "normal", "urgent",
                                         "guaranteed"};

struct workload *
workload_create(void)
{
    struct workload *workload = g_new0(struct workload, 1);

    workload->worker_racks = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    workload->worker_accelerators =
        g_array_new(FALSE, FALSE, sizeof(uint32_t));
    workload->organisation_weights =
        g_array_new(FALSE, FALSE, sizeof(int64_t));
    workload->guarantees =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
    workload->jobs = g_array_new(FALSE, TRUE, sizeof(struct workload_job));
    workload->events = g_array_new(FALSE, TRUE, sizeof(struct workload_event));
    return workload;
}

void
workload_destroy(struct workload *workload)
{
    if (!workload)
        return;
    g_array_unref(workload->worker_racks);
    g_array_unref(workload->worker_accelerators);
    g_array_unref(workload->organisation_weights);
    g_ptr_array_unref(workload->guarantees);
    g_array_unref(workload->jobs);
    g_array_unref(workload->events);
    g_free(workload);
}

static void
read_organisation(struct workload *workload, const json_t *item)
{
    int64_t weight = json_integer_value(json_object_get(item, "weight"));
    GArray *guarantees = g_array_new(FALSE, TRUE, sizeof(cs_guarantee));
    const json_t *guarantee_json;
    size_t i;

    json_array_foreach(json_object_get(item, "guarantees"), i, guarantee_json)
    {
        cs_guarantee guarantee = {
            .accelerators = json_integer_value(
                json_object_get(guarantee_json, "accelerators")),
            .count =
                json_integer_value(json_object_get(guarantee_json, "count"))};

        g_array_append_val(guarantees, guarantee);
    }
    g_array_append_val(workload->organisation_weights, weight);
    g_ptr_array_add(workload->guarantees, guarantees);
}

static int
read_header(struct workload *workload, const json_t *line)
{
    const char *deployment =
        json_string_value(json_object_get(line, "deployment"));
    const char *scenario =
        json_string_value(json_object_get(line, "scenario"));
    const json_t *item;
    size_t i;

    if (!deployment || !scenario)
        return cs_error_set(CS_E_FIELD,
                            "the header has no deployment or scenario");
    g_strlcpy(workload->deployment, deployment, sizeof(workload->deployment));
    g_strlcpy(workload->scenario, scenario, sizeof(workload->scenario));
    workload->settings.grace_us =
        json_integer_value(json_object_get(line, "grace_us"));
    workload->settings.wait_bound_us =
        json_integer_value(json_object_get(line, "wait_bound_us"));
    workload->settings.completion_weight =
        json_integer_value(json_object_get(line, "completion_weight"));
    workload->settings.fragmentation_weight =
        json_integer_value(json_object_get(line, "fragmentation_weight"));
    json_array_foreach(json_object_get(line, "workers"), i, item)
    {
        uint32_t rack =
            (uint32_t)json_integer_value(json_object_get(item, "rack"));
        uint32_t size = (uint32_t)json_integer_value(
            json_object_get(item, "accelerators"));

        g_array_append_val(workload->worker_racks, rack);
        g_array_append_val(workload->worker_accelerators, size);
    }
    json_array_foreach(json_object_get(line, "organisations"), i, item)
        read_organisation(workload, item);
    if (workload->worker_racks->len == 0 ||
        workload->organisation_weights->len == 0)
        return cs_error_set(CS_E_FIELD,
                            "the header has no workers or organisations");
    return 0;
}

static int
read_tier(cs_tier *out, const char *name)
{
    int i;

    for (i = 0; name && i < 4; i++) {
        if (strcmp(tier_names[i], name) == 0) {
            *out = (cs_tier)i;
            return 0;
        }
    }
    return cs_error_set(CS_E_INVALID, "a job has no tier or an unknown one");
}

static int64_t
integer_of(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static int
read_submit(struct workload *workload, const json_t *item,
            struct workload_event *event)
{
    struct workload_job job = {
        .organisation = (uint32_t)integer_of(item, "organisation"),
        .class_id = (uint32_t)integer_of(item, "class"),
        .accelerators = (uint32_t)integer_of(item, "accelerators"),
        .declared_us = integer_of(item, "declared_us"),
        .run_us = integer_of(item, "run_us"),
        .checkpoint = json_is_true(json_object_get(item, "checkpoint"))};

    if (job.organisation >= workload->organisation_weights->len ||
        job.accelerators == 0 || job.run_us <= 0 || job.declared_us <= 0)
        return cs_error_set(CS_E_INVALID, "a job has a value out of range");
    event->type = EVENT_SUBMIT;
    event->job = workload->jobs->len;
    if (read_tier(&job.tier, json_string_value(json_object_get(item, "tier"))))
        return CS_E_INVALID;
    g_array_append_val(workload->jobs, job);
    return 0;
}

static int
read_event(struct workload *workload, const json_t *line)
{
    struct workload_event event = {.at_us = integer_of(line, "at_us")};
    const json_t *item;
    int rc = 0;

    if ((item = json_object_get(line, "submit")) != NULL) {
        rc = read_submit(workload, item, &event);
    }
    else if ((item = json_object_get(line, "cancel")) != NULL) {
        event.type = EVENT_CANCEL;
        event.job = (uint32_t)json_integer_value(item);
        if (event.job >= workload->jobs->len)
            rc = cs_error_set(CS_E_INVALID, "a job is cancelled before it "
                                            "is submitted");
    }
    else {
        bool is_fault = json_object_get(line, "broken") != NULL;

        event.type = is_fault ? EVENT_WORKER_FAULTY : EVENT_WORKER_UP;
        event.worker = (uint32_t)integer_of(line, "worker");
        event.value =
            json_is_true(json_object_get(line, is_fault ? "broken" : "up"));
        if (event.worker >= workload->worker_racks->len)
            rc = cs_error_set(CS_E_INVALID,
                              "an event names a worker that the header does "
                              "not list");
    }
    if (!rc)
        g_array_append_val(workload->events, event);
    return rc;
}

int
workload_read(struct workload **out, const char *path)
{
    FILE *file = fopen(path, "r");
    struct workload *workload;
    char *buffer = NULL;
    size_t size = 0;
    uint32_t line_number = 0;
    int rc = 0;

    if (!file)
        return cs_error_set(CS_E_SYSTEM, "cannot open %s", path);
    workload = workload_create();
    while (!rc && getline(&buffer, &size, file) > 0) {
        json_t *line = json_loads(buffer, 0, NULL);

        line_number++;
        if (!line)
            rc = cs_error_set(CS_E_JSON, "line %u is not JSON", line_number);
        else if (line_number == 1)
            rc = read_header(workload, line);
        else
            rc = read_event(workload, line);
        json_decref(line);
    }
    free(buffer);
    fclose(file);
    if (rc) {
        workload_destroy(workload);
        return rc;
    }
    *out = workload;
    return 0;
}

static json_t *
organisation_to_json(const struct workload *workload, guint i)
{
    const GArray *guarantees = g_ptr_array_index(workload->guarantees, i);
    json_t *list = json_array();
    guint k;

    for (k = 0; k < guarantees->len; k++) {
        const cs_guarantee *guarantee =
            &g_array_index(guarantees, cs_guarantee, k);

        json_array_append_new(
            list, json_pack("{s:I,s:I}", "accelerators",
                            (json_int_t)guarantee->accelerators, "count",
                            (json_int_t)guarantee->count));
    }
    return json_pack(
        "{s:I,s:o}", "weight",
        (json_int_t)g_array_index(workload->organisation_weights, int64_t, i),
        "guarantees", list);
}

static json_t *
header_to_json(const struct workload *workload)
{
    json_t *workers = json_array();
    json_t *organisations = json_array();
    guint i;

    for (i = 0; i < workload->worker_racks->len; i++)
        json_array_append_new(
            workers,
            json_pack(
                "{s:I,s:I}", "rack",
                (json_int_t)g_array_index(workload->worker_racks, uint32_t, i),
                "accelerators",
                (json_int_t)g_array_index(workload->worker_accelerators,
                                          uint32_t, i)));
    for (i = 0; i < workload->organisation_weights->len; i++)
        json_array_append_new(organisations,
                              organisation_to_json(workload, i));
    return json_pack(
        "{s:s,s:s,s:I,s:I,s:I,s:I,s:o,s:o}", "deployment",
        workload->deployment, "scenario", workload->scenario, "grace_us",
        (json_int_t)workload->settings.grace_us, "wait_bound_us",
        (json_int_t)workload->settings.wait_bound_us, "completion_weight",
        (json_int_t)workload->settings.completion_weight,
        "fragmentation_weight",
        (json_int_t)workload->settings.fragmentation_weight, "workers",
        workers, "organisations", organisations);
}

static json_t *
submit_to_json(const struct workload_job *job)
{
    return json_pack("{s:I,s:I,s:s,s:I,s:I,s:I,s:b}", "organisation",
                     (json_int_t)job->organisation, "class",
                     (json_int_t)job->class_id, "tier", tier_names[job->tier],
                     "accelerators", (json_int_t)job->accelerators,
                     "declared_us", (json_int_t)job->declared_us, "run_us",
                     (json_int_t)job->run_us, "checkpoint", job->checkpoint);
}

static json_t *
event_to_json(const struct workload *workload,
              const struct workload_event *event)
{
    json_t *line = json_pack("{s:I}", "at_us", (json_int_t)event->at_us);

    switch (event->type) {
    case EVENT_SUBMIT:
        json_object_set_new(
            line, "submit",
            submit_to_json(&g_array_index(workload->jobs, struct workload_job,
                                          event->job)));
        break;
    case EVENT_CANCEL:
        json_object_set_new(line, "cancel", json_integer(event->job));
        break;
    case EVENT_WORKER_UP:
    case EVENT_WORKER_FAULTY:
        json_object_set_new(line, "worker", json_integer(event->worker));
        json_object_set_new(
            line, event->type == EVENT_WORKER_FAULTY ? "broken" : "up",
            json_boolean(event->value));
        break;
    case EVENT_COUNT:
        break;
    }
    return line;
}

static void
write_line(FILE *file, json_t *line)
{
    json_dumpf(line, file, JSON_COMPACT);
    fputc('\n', file);
    json_decref(line);
}

int
workload_write(const struct workload *workload, const char *path)
{
    FILE *file = fopen(path, "w");
    guint i;

    if (!file)
        return cs_error_set(CS_E_SYSTEM, "cannot open %s", path);
    write_line(file, header_to_json(workload));
    for (i = 0; i < workload->events->len; i++)
        write_line(
            file,
            event_to_json(workload, &g_array_index(workload->events,
                                                   struct workload_event, i)));
    fclose(file);
    return 0;
}
