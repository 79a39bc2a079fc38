#include "corianderstair/admission.h"
#include "corianderstair/errors.h"
#include "corianderstair/sched.h"

#include <glib.h>
#include <string.h>

static int
check_exists(const cs_store_view *store_view, cs_kind kind, const char *name)
{
    if (cs_store_view_find(store_view, kind, name))
        return 0;
    return cs_error_set(CS_E_NOT_FOUND, "%s/%s does not exist",
                        cs_kind_name(kind), name);
}

/* Finds a resource that refers to a zone or an organisation. */
struct usage_search {
    const char *zone;
    const char *organisation;
    bool found;
    char referrer[2 * CS_NAME_BYTES];
};

static void
find_zone_referrer(void *user_data, const cs_resource_row *row)
{
    struct usage_search *search = user_data;
    const char *zone = "";

    if (row->resource.kind == CS_KIND_WORKER)
        zone = row->resource.u.worker.zone;
    else if (row->resource.kind == CS_KIND_JOB &&
             !cs_job_state_is_final(row->job.state))
        zone = row->resource.u.job.zone;
    if (strcmp(zone, search->zone) != 0)
        return;
    search->found = true;
    g_snprintf(search->referrer, sizeof(search->referrer), "%s/%s",
               cs_kind_name(row->resource.kind),
               cs_resource_name(&row->resource));
}

static void
find_organisation_referrer(void *user_data, const cs_resource_row *row)
{
    struct usage_search *search = user_data;

    if (cs_job_state_is_final(row->job.state) ||
        strcmp(row->resource.u.job.organisation, search->organisation) != 0)
        return;
    search->found = true;
    g_snprintf(search->referrer, sizeof(search->referrer), "jobs/%s",
               row->resource.u.job.name);
}

/* Accelerator counts of the guarantees in a zone, one per instance. */
struct guarantee_sizes {
    const char *zone;
    const char *skipped_organisation;
    GArray *sizes;
};

static void
add_guarantees(struct guarantee_sizes *collected,
               const cs_organisation *organisation)
{
    uint32_t i;
    int64_t k;

    for (i = 0; i < organisation->guarantee_count; i++) {
        uint32_t size = (uint32_t)organisation->guarantees[i].accelerators;

        if (strcmp(organisation->guarantees[i].zone, collected->zone) != 0)
            continue;
        for (k = 0; k < organisation->guarantees[i].count; k++)
            g_array_append_val(collected->sizes, size);
    }
}

static void
collect_guarantees(void *user_data, const cs_resource_row *row)
{
    struct guarantee_sizes *collected = user_data;
    const cs_organisation *organisation = &row->resource.u.organisation;

    if (g_strcmp0(organisation->name, collected->skipped_organisation) != 0)
        add_guarantees(collected, organisation);
}

/* Collects the workers of a zone in a policy instance. */
struct zone_capacity {
    const char *zone;
    const char *skipped_worker;
    cs_sched *sched;
};

static void
add_worker(void *user_data, const cs_resource_row *row)
{
    struct zone_capacity *capacity = user_data;
    const cs_worker *worker = &row->resource.u.worker;

    if (strcmp(worker->zone, capacity->zone) == 0 &&
        g_strcmp0(worker->name, capacity->skipped_worker) != 0)
        cs_sched_add_worker(capacity->sched, (uint32_t)worker->rack,
                            (uint32_t)worker->accelerators);
}

/*
 * Checks that all guarantees of a zone can be honoured at once.
 *
 * candidate takes the place of the stored organisation of its name, and
 * replacement that of the worker replaced; each may be NULL, and a replaced
 * worker without replacement is removed. The candidate's guarantees come last,
 * because the check reports the largest size that would fit in place of the
 * last one.
 */
static int
check_zone_guarantees(const cs_store_view *store_view, const char *zone,
                      const cs_organisation *candidate,
                      const cs_worker *replaced, const cs_worker *replacement)
{
    const cs_resource_row *row =
        cs_store_view_find(store_view, CS_KIND_ZONE, zone);
    cs_sched_settings settings = {.policy = CS_POLICY_CURRENT};
    struct zone_capacity capacity = {zone, replaced ? replaced->name : NULL,
                                     cs_sched_create(&settings)};
    struct guarantee_sizes collected = {
        zone, candidate ? candidate->name : NULL,
        g_array_new(FALSE, FALSE, sizeof(uint32_t))};
    uint32_t spare = row ? (uint32_t)row->resource.u.zone.spare_workers : 0;
    uint32_t largest = 0;
    int rc;

    cs_store_view_each(store_view, CS_KIND_WORKER, add_worker, &capacity);
    if (replacement && strcmp(replacement->zone, zone) == 0)
        cs_sched_add_worker(capacity.sched, (uint32_t)replacement->rack,
                            (uint32_t)replacement->accelerators);
    cs_store_view_each(store_view, CS_KIND_ORGANISATION, collect_guarantees,
                       &collected);
    if (candidate)
        add_guarantees(&collected, candidate);
    rc = cs_sched_check_guarantees(
        &largest, capacity.sched,
        (const uint32_t *)(void *)collected.sizes->data, collected.sizes->len,
        spare);
    g_array_free(collected.sizes, TRUE);
    cs_sched_destroy(capacity.sched);
    return rc;
}

static int
check_organisation(const cs_store_view *store_view,
                   const cs_organisation *organisation)
{
    uint32_t i;
    int rc;

    for (i = 0; i < organisation->guarantee_count; i++) {
        rc = check_exists(store_view, CS_KIND_ZONE,
                          organisation->guarantees[i].zone);
        if (!rc)
            rc = check_zone_guarantees(store_view,
                                       organisation->guarantees[i].zone,
                                       organisation, NULL, NULL);
        if (rc)
            return rc;
    }
    return 0;
}

/*
 * Checks the guarantees of the old zone when a worker shrinks or moves; other
 * changes of a worker cannot break them.
 */
static int
check_worker(const cs_store_view *store_view, const cs_worker *worker)
{
    const cs_resource_row *old =
        cs_store_view_find(store_view, CS_KIND_WORKER, worker->name);
    int rc = check_exists(store_view, CS_KIND_ZONE, worker->zone);

    if (rc || !old)
        return rc;
    if (strcmp(old->resource.u.worker.zone, worker->zone) == 0 &&
        old->resource.u.worker.rack == worker->rack &&
        old->resource.u.worker.accelerators <= worker->accelerators)
        return 0;
    return check_zone_guarantees(store_view, old->resource.u.worker.zone, NULL,
                                 &old->resource.u.worker, worker);
}

static bool
equal_except_cancelled(const cs_job *job, const cs_job *old)
{
    cs_resource new_resource = {.kind = CS_KIND_JOB, .u.job = *job};
    cs_resource old_resource = {.kind = CS_KIND_JOB, .u.job = *old};
    json_t *new_json;
    json_t *old_json;
    bool same;

    new_resource.u.job.cancelled = old->cancelled;
    new_json = cs_resource_write(&new_resource);
    old_json = cs_resource_write(&old_resource);
    same = json_equal(new_json, old_json);
    json_decref(new_json);
    json_decref(old_json);
    return same;
}

static int
check_job(const cs_store_view *store_view, const cs_job *job)
{
    const cs_resource_row *old =
        cs_store_view_find(store_view, CS_KIND_JOB, job->name);
    int rc = check_exists(store_view, CS_KIND_ZONE, job->zone);

    if (!rc)
        rc = check_exists(store_view, CS_KIND_ORGANISATION, job->organisation);
    if (rc || !old)
        return rc;
    if (!equal_except_cancelled(job, &old->resource.u.job))
        return cs_error_set(
            CS_E_INVALID, "only 'cancelled' can be changed in a declared job");
    if (old->resource.u.job.cancelled && !job->cancelled)
        return cs_error_set(CS_E_INVALID, "a cancelled job cannot be resumed");
    return 0;
}

static int
check_service(const cs_store_view *store_view, const cs_service *service)
{
    uint32_t i;
    int rc = 0;

    for (i = 0; i < service->endpoint_count && !rc; i++)
        rc =
            check_exists(store_view, CS_KIND_ZONE, service->endpoints[i].zone);
    return rc;
}

static int
check_put(const cs_store_view *store_view, const cs_resource *resource)
{
    switch (resource->kind) {
    case CS_KIND_WORKER:
        return check_worker(store_view, &resource->u.worker);
    case CS_KIND_ORGANISATION:
        return check_organisation(store_view, &resource->u.organisation);
    case CS_KIND_JOB:
        return check_job(store_view, &resource->u.job);
    case CS_KIND_SERVICE:
        return check_service(store_view, &resource->u.service);
    case CS_KIND_CONFIG:
        if (strcmp(resource->u.config.name, "main") != 0)
            return cs_error_set(CS_E_INVALID,
                                "a config resource must be named 'main'");
        return 0;
    case CS_KIND_ZONE:
    case CS_KIND_COUNT:
        break;
    }
    return 0;
}

static int
check_unused(const cs_change *change, const struct usage_search *search)
{
    if (!search->found)
        return 0;
    return cs_error_set(CS_E_IN_USE, "%s/%s is used by %s",
                        cs_kind_name(change->kind), change->name,
                        search->referrer);
}

static int
check_delete(const cs_store_view *store_view, const cs_change *change)
{
    struct usage_search search = {.zone = change->name,
                                  .organisation = change->name};
    const cs_resource_row *row =
        cs_store_view_find(store_view, change->kind, change->name);

    switch (change->kind) {
    case CS_KIND_ZONE:
        cs_store_view_each(store_view, CS_KIND_WORKER, find_zone_referrer,
                           &search);
        cs_store_view_each(store_view, CS_KIND_JOB, find_zone_referrer,
                           &search);
        return check_unused(change, &search);
    case CS_KIND_ORGANISATION:
        cs_store_view_each(store_view, CS_KIND_JOB, find_organisation_referrer,
                           &search);
        return check_unused(change, &search);
    case CS_KIND_WORKER:
        return check_zone_guarantees(store_view, row->resource.u.worker.zone,
                                     NULL, &row->resource.u.worker, NULL);
    case CS_KIND_JOB:
        if (!cs_job_state_is_final(row->job.state))
            return cs_error_set(CS_E_IN_USE,
                                "jobs/%s has not ended; cancel it first",
                                change->name);
        return 0;
    case CS_KIND_CONFIG:
    case CS_KIND_SERVICE:
    case CS_KIND_COUNT:
        break;
    }
    return 0;
}

int
cs_admission_check(const cs_store_view *store_view, const cs_change *change)
{
    cs_resource resource;
    int rc;

    switch (change->op) {
    case CS_OP_STATUS:
        return 0;
    case CS_OP_DELETE:
        return check_delete(store_view, change);
    case CS_OP_PUT:
        break;
    }
    rc = cs_resource_read(&resource, change->kind, change->value);
    if (rc)
        return rc;
    rc = check_put(store_view, &resource);
    cs_resource_clear(&resource);
    return rc;
}
