#include "corianderstair/job_status.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

#define NUMBER_FIELD(member)                                                  \
    {                                                                         \
        .name = #member, .type = CS_FIELD_NUMBER,                             \
        .offset = offsetof(cs_job_status, member), .min = INT64_MIN,          \
        .max = INT64_MAX                                                      \
    }
#define TEXT_FIELD(member)                                                    \
    {                                                                         \
        .name = #member, .type = CS_FIELD_TEXT,                               \
        .offset = offsetof(cs_condition, member),                             \
        .size = sizeof(((cs_condition *)0)->member)                           \
    }
#define FIELDS_END                                                            \
    {                                                                         \
        .name = NULL                                                          \
    }

static const char *const state_names[] = {
    "queued", "starting",  "running", "stopping", "succeeded",
    "failed", "cancelled", "never",   "unknown",  NULL};

static const cs_field member_fields[] = {
    {.name = "worker",
     .type = CS_FIELD_NAME,
     .offset = offsetof(cs_gang_member, worker),
     .size = CS_NAME_BYTES},
    {.name = "mask",
     .type = CS_FIELD_NUMBER,
     .offset = offsetof(cs_gang_member, mask),
     .min = INT64_MIN,
     .max = INT64_MAX},
    FIELDS_END};

static const cs_field condition_fields[] = {
    TEXT_FIELD(type),
    TEXT_FIELD(reason),
    TEXT_FIELD(message),
    {.name = "at_us",
     .type = CS_FIELD_NUMBER,
     .offset = offsetof(cs_condition, at_us),
     .max = INT64_MAX},
    FIELDS_END};

static const cs_field status_fields[] = {
    {.name = "state",
     .type = CS_FIELD_ENUM,
     .offset = offsetof(cs_job_status, state),
     .enum_values = state_names},
    NUMBER_FIELD(attempt),
    NUMBER_FIELD(epoch),
    NUMBER_FIELD(progress_ms),
    NUMBER_FIELD(submitted_us),
    NUMBER_FIELD(started_us),
    NUMBER_FIELD(ended_us),
    NUMBER_FIELD(expected_us),
    {.name = "members",
     .type = CS_FIELD_ARRAY,
     .offset = offsetof(cs_job_status, members),
     .size = sizeof(cs_gang_member),
     .max = 4096,
     .items = member_fields,
     .count_offset = offsetof(cs_job_status, member_count)},
    {.name = "conditions",
     .type = CS_FIELD_ARRAY,
     .offset = offsetof(cs_job_status, conditions),
     .size = sizeof(cs_condition),
     .max = CS_CONDITION_MAX,
     .items = condition_fields,
     .count_offset = offsetof(cs_job_status, condition_count)},
    FIELDS_END};

const char *
cs_job_state_name(int32_t state)
{
    return state_names[state];
}

bool
cs_job_state_is_final(int32_t state)
{
    return state >= CS_JOB_SUCCEEDED;
}

int
cs_job_status_read(cs_job_status *out, const json_t *object)
{
    int rc;

    memset(out, 0, sizeof(*out));
    rc = cs_fields_read(out, status_fields, object);
    if (rc)
        cs_job_status_clear(out);
    return rc;
}

json_t *
cs_job_status_write(const cs_job_status *status)
{
    return cs_fields_write(status, status_fields);
}

void
cs_job_status_clear(cs_job_status *status)
{
    cs_fields_clear(status, status_fields);
}

static void *
copy_items(const void *items, size_t size_bytes)
{
    void *copy;

    if (size_bytes == 0)
        return NULL;
    copy = malloc(size_bytes);
    if (!copy)
        abort();
    memcpy(copy, items, size_bytes);
    return copy;
}

void
cs_job_status_copy(cs_job_status *out, const cs_job_status *status)
{
    *out = *status;
    out->members = copy_items(status->members,
                              status->member_count * sizeof(cs_gang_member));
    out->conditions = copy_items(status->conditions, status->condition_count *
                                                         sizeof(cs_condition));
}

static cs_condition *
find_or_add_condition(cs_job_status *status, const char *type)
{
    uint32_t i;

    for (i = 0; i < status->condition_count; i++) {
        if (strcmp(status->conditions[i].type, type) == 0)
            return &status->conditions[i];
    }
    if (status->condition_count == CS_CONDITION_MAX)
        return &status->conditions[0];
    status->conditions =
        realloc(status->conditions,
                (status->condition_count + 1) * sizeof(cs_condition));
    if (!status->conditions)
        abort();
    memset(&status->conditions[status->condition_count], 0,
           sizeof(cs_condition));
    return &status->conditions[status->condition_count++];
}

void
cs_job_status_set_condition(cs_job_status *status, const char *type,
                            const char *reason, const char *message,
                            int64_t at_us)
{
    cs_condition *condition = find_or_add_condition(status, type);

    if (strcmp(condition->reason, reason) != 0)
        condition->at_us = at_us;
    g_strlcpy(condition->type, type, sizeof(condition->type));
    g_strlcpy(condition->reason, reason, sizeof(condition->reason));
    g_strlcpy(condition->message, message, sizeof(condition->message));
}

void
cs_job_status_set_members(cs_job_status *status, const cs_gang_member *members,
                          uint32_t count)
{
    free(status->members);
    status->members = copy_items(members, count * sizeof(cs_gang_member));
    status->member_count = count;
}
