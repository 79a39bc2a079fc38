#include "corianderstair/admission.h"
#include "corianderstair/errors.h"
#include "corianderstair/sched.h"

#include <glib.h>
#include <string.h>

static int
need(const cs_board *board, cs_kind kind, const char *name)
{
    if (cs_board_find(board, kind, name))
        return 0;
    return cs_error_set(CS_E_NOT_FOUND, "%s/%s does not exist",
                        cs_kind_name(kind), name);
}

struct search {
    const char *zone;
    const char *organisation;
    bool found;
    char by[2 * CS_NAME_BYTES];
};

static void
find_zone_user(void *data, const cs_record *record)
{
    struct search *search = data;
    const char *zone = "";

    if (record->resource.kind == CS_KIND_WORKER)
        zone = record->resource.u.worker.zone;
    else if (record->resource.kind == CS_KIND_JOB &&
             !cs_job_state_is_final(record->job.state))
        zone = record->resource.u.job.zone;
    if (strcmp(zone, search->zone) != 0)
        return;
    search->found = true;
    g_snprintf(search->by, sizeof(search->by), "%s/%s",
               cs_kind_name(record->resource.kind),
               cs_resource_name(&record->resource));
}

static void
find_organisation_user(void *data, const cs_record *record)
{
    struct search *search = data;

    if (cs_job_state_is_final(record->job.state) ||
        strcmp(record->resource.u.job.organisation, search->organisation) != 0)
        return;
    search->found = true;
    g_snprintf(search->by, sizeof(search->by), "jobs/%s",
               record->resource.u.job.name);
}

struct shapes {
    const char *zone;
    const char *skip;
    GArray *sizes;
};

static void
add_guarantees(struct shapes *shapes, const cs_organisation *o)
{
    uint32_t i;
    int64_t k;

    for (i = 0; i < o->guarantee_count; i++) {
        uint32_t size = (uint32_t)o->guarantees[i].accelerators;

        if (strcmp(o->guarantees[i].zone, shapes->zone) != 0)
            continue;
        for (k = 0; k < o->guarantees[i].count; k++)
            g_array_append_val(shapes->sizes, size);
    }
}

static void
collect_guarantees(void *data, const cs_record *record)
{
    struct shapes *shapes = data;
    const cs_organisation *o = &record->resource.u.organisation;

    if (g_strcmp0(o->name, shapes->skip) != 0)
        add_guarantees(shapes, o);
}

struct floor {
    const char *zone;
    const char *skip;
    cs_sched *sched;
};

static void
add_worker(void *data, const cs_record *record)
{
    struct floor *floor = data;
    const cs_worker *worker = &record->resource.u.worker;

    if (strcmp(worker->zone, floor->zone) == 0 &&
        g_strcmp0(worker->name, floor->skip) != 0)
        cs_sched_add_worker(floor->sched, (uint32_t)worker->rack,
                            (uint32_t)worker->accelerators);
}

/* Packs every guarantee of a zone, the candidate's own shapes last. */
static int
check_zone(const cs_board *board, const char *zone,
           const cs_organisation *candidate, const cs_worker *replaced,
           const cs_worker *replacement)
{
    const cs_record *record = cs_board_find(board, CS_KIND_ZONE, zone);
    cs_sched_settings settings = {.policy = CS_POLICY_CURRENT};
    struct floor floor = {zone, replaced ? replaced->name : NULL,
                          cs_sched_create(&settings)};
    struct shapes shapes = {zone, candidate ? candidate->name : NULL,
                            g_array_new(FALSE, FALSE, sizeof(uint32_t))};
    uint32_t spare =
        record ? (uint32_t)record->resource.u.zone.spare_workers : 0;
    uint32_t largest = 0;
    int rc;

    cs_board_each(board, CS_KIND_WORKER, add_worker, &floor);
    if (replacement && strcmp(replacement->zone, zone) == 0)
        cs_sched_add_worker(floor.sched, (uint32_t)replacement->rack,
                            (uint32_t)replacement->accelerators);
    cs_board_each(board, CS_KIND_ORGANISATION, collect_guarantees, &shapes);
    if (candidate)
        add_guarantees(&shapes, candidate);
    rc = cs_sched_admit(&largest, floor.sched,
                        (const uint32_t *)(void *)shapes.sizes->data,
                        shapes.sizes->len, spare);
    g_array_free(shapes.sizes, TRUE);
    cs_sched_destroy(floor.sched);
    return rc;
}

static int
check_organisation(const cs_board *board, const cs_organisation *o)
{
    uint32_t i;
    int rc;

    for (i = 0; i < o->guarantee_count; i++) {
        rc = need(board, CS_KIND_ZONE, o->guarantees[i].zone);
        if (!rc)
            rc = check_zone(board, o->guarantees[i].zone, o, NULL, NULL);
        if (rc)
            return rc;
    }
    return 0;
}

/* A worker that shrinks or moves must leave room for the guarantees. */
static int
check_worker(const cs_board *board, const cs_worker *worker)
{
    const cs_record *old = cs_board_find(board, CS_KIND_WORKER, worker->name);
    int rc = need(board, CS_KIND_ZONE, worker->zone);

    if (rc || !old)
        return rc;
    if (strcmp(old->resource.u.worker.zone, worker->zone) == 0 &&
        old->resource.u.worker.rack == worker->rack &&
        old->resource.u.worker.accelerators <= worker->accelerators)
        return 0;
    return check_zone(board, old->resource.u.worker.zone, NULL,
                      &old->resource.u.worker, worker);
}

static bool
same_but_cancelled(const cs_job *job, const cs_job *old)
{
    cs_resource a = {.kind = CS_KIND_JOB, .u.job = *job};
    cs_resource b = {.kind = CS_KIND_JOB, .u.job = *old};
    json_t *x;
    json_t *y;
    bool same;

    a.u.job.cancelled = old->cancelled;
    x = cs_resource_write(&a);
    y = cs_resource_write(&b);
    same = json_equal(x, y);
    json_decref(x);
    json_decref(y);
    return same;
}

static int
check_job(const cs_board *board, const cs_job *job)
{
    const cs_record *old = cs_board_find(board, CS_KIND_JOB, job->name);
    int rc = need(board, CS_KIND_ZONE, job->zone);

    if (!rc)
        rc = need(board, CS_KIND_ORGANISATION, job->organisation);
    if (rc || !old)
        return rc;
    if (!same_but_cancelled(job, &old->resource.u.job))
        return cs_error_set(CS_E_INVALID,
                            "a declared job changes only by 'cancelled'");
    if (old->resource.u.job.cancelled && !job->cancelled)
        return cs_error_set(CS_E_INVALID,
                            "a cancellation cannot be taken back");
    return 0;
}

static int
check_service(const cs_board *board, const cs_service *service)
{
    uint32_t i;
    int rc = 0;

    for (i = 0; i < service->endpoint_count && !rc; i++)
        rc = need(board, CS_KIND_ZONE, service->endpoints[i].zone);
    return rc;
}

static int
check_put(const cs_board *board, const cs_resource *resource)
{
    switch (resource->kind) {
    case CS_KIND_WORKER:
        return check_worker(board, &resource->u.worker);
    case CS_KIND_ORGANISATION:
        return check_organisation(board, &resource->u.organisation);
    case CS_KIND_JOB:
        return check_job(board, &resource->u.job);
    case CS_KIND_SERVICE:
        return check_service(board, &resource->u.service);
    case CS_KIND_CONFIG:
        if (strcmp(resource->u.config.name, "main") != 0)
            return cs_error_set(CS_E_INVALID,
                                "the configuration is named 'main'");
        return 0;
    case CS_KIND_ZONE:
    case CS_KIND_COUNT:
        break;
    }
    return 0;
}

static int
in_use(const cs_change *change, const struct search *search)
{
    if (!search->found)
        return 0;
    return cs_error_set(CS_E_IN_USE, "%s/%s is used by %s",
                        cs_kind_name(change->kind), change->name, search->by);
}

static int
check_delete(const cs_board *board, const cs_change *change)
{
    struct search search = {.zone = change->name,
                            .organisation = change->name};
    const cs_record *record = cs_board_find(board, change->kind, change->name);

    switch (change->kind) {
    case CS_KIND_ZONE:
        cs_board_each(board, CS_KIND_WORKER, find_zone_user, &search);
        cs_board_each(board, CS_KIND_JOB, find_zone_user, &search);
        return in_use(change, &search);
    case CS_KIND_ORGANISATION:
        cs_board_each(board, CS_KIND_JOB, find_organisation_user, &search);
        return in_use(change, &search);
    case CS_KIND_WORKER:
        return check_zone(board, record->resource.u.worker.zone, NULL,
                          &record->resource.u.worker, NULL);
    case CS_KIND_JOB:
        if (!cs_job_state_is_final(record->job.state))
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
cs_admission_check(const cs_board *board, const cs_change *change)
{
    cs_resource resource;
    int rc;

    switch (change->op) {
    case CS_OP_STATUS:
        return 0;
    case CS_OP_DELETE:
        return check_delete(board, change);
    case CS_OP_PUT:
        break;
    }
    rc = cs_resource_read(&resource, change->kind, change->value);
    if (rc)
        return rc;
    rc = check_put(board, &resource);
    cs_resource_clear(&resource);
    return rc;
}
