#include "corianderstair/resource.h"
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"

#include <string.h>

#define NAME(record, member, is_required)                                     \
    {                                                                         \
        .name = #member, .type = CS_FIELD_NAME,                               \
        .offset = offsetof(record, member), .size = CS_NAME_BYTES,            \
        .min = (is_required) ? 1 : 0, .required = (is_required)               \
    }
#define NUMBER(record, member, min_value, max_value, is_required)             \
    {                                                                         \
        .name = #member, .type = CS_FIELD_NUMBER,                             \
        .offset = offsetof(record, member), .min = (min_value),               \
        .max = (max_value), .required = (is_required)                         \
    }
#define BOOLEAN(record, member)                                               \
    {                                                                         \
        .name = #member, .type = CS_FIELD_BOOL,                               \
        .offset = offsetof(record, member)                                    \
    }
#define ADDRESS(record, member)                                               \
    {                                                                         \
        .name = #member, .type = CS_FIELD_TEXT,                               \
        .offset = offsetof(record, member), .size = CS_ADDRESS_BYTES,         \
        .min = 1, .required = true                                            \
    }
#define ARRAY(record, member, count_member, item, fields, max_items)          \
    {                                                                         \
        .name = #member, .type = CS_FIELD_ARRAY,                              \
        .offset = offsetof(record, member), .size = sizeof(item),             \
        .max = (max_items), .items = (fields),                                \
        .count_offset = offsetof(record, count_member)                        \
    }
#define FIELDS_END                                                            \
    {                                                                         \
        .name = NULL                                                          \
    }

static const cs_field config_fields[] = {
    NAME(cs_config, name, true),
    NUMBER(cs_config, worker_lease_ms, 500, 600000, false),
    NUMBER(cs_config, grace_ms, 0, 600000, false),
    NUMBER(cs_config, wait_bound_s, 1, 604800, false),
    NUMBER(cs_config, completion_weight, 0, 100, false),
    NUMBER(cs_config, fragmentation_weight, 0, 100, false),
    NUMBER(cs_config, retention_s, 60, 31536000, false),
    FIELDS_END};

static const cs_field zone_fields[] = {
    NAME(cs_zone, name, true), NAME(cs_zone, region, false),
    NUMBER(cs_zone, spare_workers, 0, 1000, false), FIELDS_END};

static const cs_field worker_fields[] = {
    NAME(cs_worker, name, true),
    NAME(cs_worker, zone, true),
    NUMBER(cs_worker, rack, 0, 1000000, true),
    ADDRESS(cs_worker, address),
    NUMBER(cs_worker, accelerators, 0, 64, true),
    NUMBER(cs_worker, cores, 1, 4096, false),
    NUMBER(cs_worker, memory_bytes, 0, INT64_C(1) << 50, false),
    BOOLEAN(cs_worker, cordoned),
    FIELDS_END};

static const cs_field guarantee_fields[] = {
    NAME(cs_guarantee, zone, true),
    NUMBER(cs_guarantee, accelerators, 1, 4096, true),
    NUMBER(cs_guarantee, count, 1, 1000, true), FIELDS_END};

static const cs_field organisation_fields[] = {
    NAME(cs_organisation, name, true),
    NUMBER(cs_organisation, weight, 1, 10000, false),
    ARRAY(cs_organisation, guarantees, guarantee_count, cs_guarantee,
          guarantee_fields, 64),
    FIELDS_END};

static const cs_field class_fields[] = {
    NAME(cs_class, name, true), BOOLEAN(cs_class, idempotent),
    NUMBER(cs_class, queue_max, 0, 100000, false), FIELDS_END};

static const cs_field endpoint_fields[] = {
    NAME(cs_endpoint, name, true),
    NAME(cs_endpoint, zone, true),
    ADDRESS(cs_endpoint, address),
    NUMBER(cs_endpoint, slots, 1, 1024, false),
    NUMBER(cs_endpoint, connections, 1, 1024, false),
    BOOLEAN(cs_endpoint, leaving),
    FIELDS_END};

static const cs_field service_fields[] = {
    NAME(cs_service, name, true),
    ARRAY(cs_service, classes, class_count, cs_class, class_fields, 64),
    ARRAY(cs_service, endpoints, endpoint_count, cs_endpoint, endpoint_fields,
          1000),
    FIELDS_END};

static const char *const tier_names[] = {"opportunistic", "normal", "urgent",
                                         "guaranteed", NULL};

static const cs_field job_fields[] = {
    NAME(cs_job, name, true),
    NAME(cs_job, organisation, true),
    NAME(cs_job, zone, true),
    {.name = "class",
     .type = CS_FIELD_NAME,
     .offset = offsetof(cs_job, class_name),
     .size = CS_NAME_BYTES},
    {.name = "tier",
     .type = CS_FIELD_ENUM,
     .offset = offsetof(cs_job, tier),
     .enum_values = tier_names},
    NUMBER(cs_job, accelerators, 1, 4096, true),
    NUMBER(cs_job, declared_s, 1, 31536000, false),
    NUMBER(cs_job, run_ms, 1, INT64_C(31536000000), true),
    BOOLEAN(cs_job, restartable),
    BOOLEAN(cs_job, checkpoint),
    BOOLEAN(cs_job, cancelled),
    FIELDS_END};

static const struct {
    const char *plural;
    const char *singular;
    const cs_field *fields;
} kind_table[CS_KIND_COUNT] = {
    [CS_KIND_CONFIG] = {"config", "config", config_fields},
    [CS_KIND_ZONE] = {"zones", "zone", zone_fields},
    [CS_KIND_WORKER] = {"workers", "worker", worker_fields},
    [CS_KIND_ORGANISATION] = {"organisations", "organisation",
                              organisation_fields},
    [CS_KIND_SERVICE] = {"services", "service", service_fields},
    [CS_KIND_JOB] = {"jobs", "job", job_fields},
};

const char *
cs_kind_name(cs_kind kind)
{
    return kind_table[kind].plural;
}

int
cs_kind_find(cs_kind *out, const char *name)
{
    int i;

    for (i = 0; i < CS_KIND_COUNT; i++) {
        if (strcmp(name, kind_table[i].plural) == 0 ||
            strcmp(name, kind_table[i].singular) == 0) {
            *out = (cs_kind)i;
            return 0;
        }
    }
    return cs_error_set(CS_E_NOT_FOUND, "no resource kind '%.64s'", name);
}

static void
set_defaults(cs_resource *resource)
{
    switch (resource->kind) {
    case CS_KIND_CONFIG:
        resource->u.config.worker_lease_ms = 6000;
        resource->u.config.grace_ms = 1000;
        resource->u.config.wait_bound_s = 3600;
        resource->u.config.completion_weight = 50;
        resource->u.config.fragmentation_weight = 50;
        resource->u.config.retention_s = 86400;
        break;
    case CS_KIND_WORKER:
        resource->u.worker.cores = 64;
        break;
    case CS_KIND_ORGANISATION:
        resource->u.organisation.weight = 1;
        break;
    case CS_KIND_JOB:
        resource->u.job.tier = CS_TIER_NORMAL;
        resource->u.job.declared_s = 3600;
        break;
    case CS_KIND_ZONE:
    case CS_KIND_SERVICE:
    case CS_KIND_COUNT:
        break;
    }
}

static int
check_address(const char *address)
{
    char ip[CS_ADDRESS_BYTES];
    uint16_t port;

    return cs_address_split(ip, sizeof(ip), &port, address);
}

static int
check_service(cs_service *service)
{
    uint32_t i;
    int rc = 0;

    for (i = 0; i < service->endpoint_count && !rc; i++) {
        cs_endpoint *endpoint = &service->endpoints[i];

        if (!endpoint->slots)
            endpoint->slots = 8;
        if (!endpoint->connections)
            endpoint->connections = 64;
        rc = check_address(endpoint->address);
    }
    for (i = 0; i < service->class_count; i++) {
        if (!service->classes[i].queue_max)
            service->classes[i].queue_max = 1000;
    }
    return rc;
}

int
cs_resource_read(cs_resource *out, cs_kind kind, const json_t *object)
{
    int rc;

    memset(out, 0, sizeof(*out));
    out->kind = kind;
    set_defaults(out);
    rc = cs_fields_read(&out->u, kind_table[kind].fields, object);
    if (!rc && kind == CS_KIND_WORKER)
        rc = check_address(out->u.worker.address);
    if (!rc && kind == CS_KIND_SERVICE)
        rc = check_service(&out->u.service);
    if (rc)
        cs_resource_clear(out);
    return rc;
}

json_t *
cs_resource_write(const cs_resource *resource)
{
    return cs_fields_write(&resource->u, kind_table[resource->kind].fields);
}

const char *
cs_resource_name(const cs_resource *resource)
{
    /* The name is the first member of every struct in the union. */
    return resource->u.config.name;
}

void
cs_resource_clear(cs_resource *resource)
{
    cs_fields_clear(&resource->u, kind_table[resource->kind].fields);
}
