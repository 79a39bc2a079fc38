/*
 * Copies workers, organisations and jobs from the store view to the policy, at
 * the start of a tenure and at each change.
 */
#include "scheduler_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <string.h>

static cs_config
current_config(const cs_scheduler *scheduler)
{
    const cs_resource_row *row =
        cs_store_view_find(scheduler->store_view, CS_KIND_CONFIG, "main");
    cs_config config = {.worker_lease_ms = 6000,
                        .grace_ms = 1000,
                        .wait_bound_s = 3600,
                        .completion_weight = 50,
                        .fragmentation_weight = 50,
                        .retention_s = 86400};

    return row ? row->resource.u.config : config;
}

static cs_sched_settings
current_settings(cs_scheduler *scheduler)
{
    cs_config config = current_config(scheduler);
    cs_sched_settings settings = {
        .policy = CS_POLICY_CURRENT,
        .grace_us = config.grace_ms * CS_MS_US,
        .wait_bound_us = config.wait_bound_s * CS_SEC_US,
        .completion_weight = config.completion_weight,
        .fragmentation_weight = config.fragmentation_weight};

    scheduler->worker_lease_us = config.worker_lease_ms * CS_MS_US;
    scheduler->retention_us = config.retention_s * CS_SEC_US;
    return settings;
}

static void
add_worker(void *user_data, const cs_resource_row *row)
{
    cs_scheduler *scheduler = user_data;
    const cs_worker *worker = &row->resource.u.worker;
    struct link *link = sched_find_link(scheduler, worker->name);
    uint32_t index;

    if (strcmp(worker->zone, scheduler->zone) != 0)
        return;
    if (link) {
        link_update(link, worker);
        return;
    }
    index = cs_sched_add_worker(scheduler->sched, (uint32_t)worker->rack,
                                (uint32_t)worker->accelerators);
    link = link_create(scheduler, worker, index);
    link->rack = worker->rack;
    link->accelerators = worker->accelerators;
    link_reset(link);
    g_ptr_array_add(scheduler->links, link);
    g_hash_table_insert(scheduler->links_by_name, link->name, link);
}

/*
 * Returns the index of an organisation in the policy, and adds the
 * organisation if the policy does not have it.
 */
static uint32_t
organisation_index(cs_scheduler *scheduler, const char *name, int64_t weight)
{
    gpointer entry = g_hash_table_lookup(scheduler->organisations, name);

    /* An entry holds index + 1, because NULL means that there is none. */
    if (!entry) {
        entry = GUINT_TO_POINTER(
            cs_sched_add_organisation(scheduler->sched, weight) + 1);
        g_hash_table_insert(scheduler->organisations, g_strdup(name), entry);
    }
    return GPOINTER_TO_UINT(entry) - 1;
}

static void
add_organisation(void *user_data, const cs_resource_row *row)
{
    cs_scheduler *scheduler = user_data;
    const cs_organisation *organisation = &row->resource.u.organisation;
    uint32_t index = organisation_index(scheduler, organisation->name,
                                        organisation->weight);
    cs_guarantee *zone_guarantees =
        g_new0(cs_guarantee, MAX(organisation->guarantee_count, 1));
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < organisation->guarantee_count; i++) {
        if (strcmp(organisation->guarantees[i].zone, scheduler->zone) == 0)
            zone_guarantees[count++] = organisation->guarantees[i];
    }
    cs_sched_set_weight(scheduler->sched, index, organisation->weight);
    cs_sched_set_guarantees(scheduler->sched, index, zone_guarantees, count);
    g_free(zone_guarantees);
}

static uint32_t
class_number(cs_scheduler *scheduler, const char *name)
{
    gpointer number = g_hash_table_lookup(scheduler->classes, name);

    if (!number) {
        number = GUINT_TO_POINTER(g_hash_table_size(scheduler->classes) + 1);
        g_hash_table_insert(scheduler->classes, g_strdup(name), number);
    }
    return GPOINTER_TO_UINT(number);
}

cs_sched_request
mirror_make_request(cs_scheduler *scheduler, const cs_resource_row *row,
                    struct gang *gang)
{
    const cs_job *job = &row->resource.u.job;
    cs_now now = sched_now(scheduler);
    cs_sched_request request = {
        .organisation = organisation_index(scheduler, job->organisation, 1),
        .class_id = class_number(scheduler, job->class_name),
        .tier = (cs_tier)job->tier,
        .accelerators = (uint32_t)job->accelerators,
        .declared_us = job->declared_s * CS_SEC_US,
        .progress_us = gang->status.progress_ms * CS_MS_US,
        .submitted_us =
            now.boot_us - MAX(now.wall_us - gang->status.submitted_us, 0),
        .checkpoint = job->checkpoint,
        .pinned = !job->checkpoint && !job->restartable,
        .user_data = gang};

    return request;
}

static void
submit_job(cs_scheduler *scheduler, const cs_resource_row *row,
           struct gang *gang)
{
    cs_sched_request request = mirror_make_request(scheduler, row, gang);

    if (cs_sched_submit(&gang->job, scheduler->sched, &request) == 0) {
        gang->state = GANG_QUEUED;
        scheduler->cycle_due = true;
        return;
    }
    gang->job = NULL;
    gang_set_condition(gang, "Ended", "never-runnable", cs_error_last());
    gang_end(gang, CS_JOB_NEVER);
}

static void
adopt_job(cs_scheduler *scheduler, const cs_resource_row *row,
          struct gang *gang)
{
    cs_sched_request request = mirror_make_request(scheduler, row, gang);
    GArray *members = g_array_new(FALSE, FALSE, sizeof(cs_sched_member));
    guint i;

    gang_adopt(gang, row);
    for (i = 0; i < gang->members->len; i++) {
        const struct member *member =
            &g_array_index(gang->members, struct member, i);
        cs_sched_member placed = {member->link->index, member->mask};

        g_array_append_val(members, placed);
    }
    if (cs_sched_adopt(&gang->job, scheduler->sched, &request,
                       (const cs_sched_member *)(void *)members->data,
                       members->len, gang->start_us))
        cs_log_event("adopt-failed", "%s: %s", gang->name, cs_error_last());
    g_array_free(members, TRUE);
}

static void
add_job(void *user_data, const cs_resource_row *row)
{
    cs_scheduler *scheduler = user_data;
    const cs_job *job = &row->resource.u.job;
    struct gang *gang;

    if (strcmp(job->zone, scheduler->zone) != 0 ||
        cs_job_state_is_final(row->job.state))
        return;
    gang = sched_find_gang(scheduler, job->name);
    if (!gang) {
        gang = gang_create(scheduler, row);
        g_hash_table_insert(scheduler->gangs, gang->name, gang);
        gang_set_pending(gang);
        if (row->job.state == CS_JOB_QUEUED)
            submit_job(scheduler, row, gang);
        else
            adopt_job(scheduler, row, gang);
    }
    if (job->cancelled)
        gang_cancel(gang);
}

void
mirror_build(cs_scheduler *scheduler)
{
    cs_sched_settings settings = current_settings(scheduler);

    scheduler->sched = cs_sched_create(&settings);
    cs_store_view_each(scheduler->store_view, CS_KIND_WORKER, add_worker,
                       scheduler);
    cs_store_view_each(scheduler->store_view, CS_KIND_ORGANISATION,
                       add_organisation, scheduler);
    cs_store_view_each(scheduler->store_view, CS_KIND_JOB, add_job, scheduler);
}

void
mirror_clear(cs_scheduler *scheduler)
{
    GHashTableIter iter;
    gpointer gang;
    guint i;

    g_hash_table_iter_init(&iter, scheduler->gangs);
    while (g_hash_table_iter_next(&iter, NULL, &gang))
        gang_destroy(gang);
    for (i = 0; i < scheduler->links->len; i++)
        link_destroy(g_ptr_array_index(scheduler->links, i));
    g_ptr_array_set_size(scheduler->pending_gangs, 0);
    g_ptr_array_set_size(scheduler->pending_links, 0);
    g_ptr_array_set_size(scheduler->links, 0);
    g_hash_table_remove_all(scheduler->gangs);
    g_hash_table_remove_all(scheduler->links_by_name);
    g_hash_table_remove_all(scheduler->organisations);
    g_hash_table_remove_all(scheduler->classes);
    cs_sched_destroy(scheduler->sched);
    scheduler->sched = NULL;
}

static void
apply_worker_change(cs_scheduler *scheduler, const cs_change *change)
{
    const cs_resource_row *row = cs_store_view_find(
        scheduler->store_view, CS_KIND_WORKER, change->name);
    struct link *link = sched_find_link(scheduler, change->name);

    if (row) {
        const cs_worker *worker = &row->resource.u.worker;

        /*
         * The policy cannot change the rack or the size of a worker, so it is
         * rebuilt from the store view.
         */
        scheduler->rebuild_needed |=
            link && (link->rack != worker->rack ||
                     link->accelerators != worker->accelerators);
        add_worker(scheduler, row);
        return;
    }
    if (!link)
        return;
    link->declared = false;
    health_update_usable(link);
}

static void
apply_job_change(cs_scheduler *scheduler, const cs_change *change)
{
    const cs_resource_row *row =
        cs_store_view_find(scheduler->store_view, CS_KIND_JOB, change->name);

    if (row && change->op == CS_OP_PUT)
        add_job(scheduler, row);
}

void
mirror_apply_change(cs_scheduler *scheduler, const cs_change *change)
{
    const cs_resource_row *row;
    cs_sched_settings settings;

    switch (change->kind) {
    case CS_KIND_WORKER:
        apply_worker_change(scheduler, change);
        break;
    case CS_KIND_ORGANISATION:
        row = cs_store_view_find(scheduler->store_view, CS_KIND_ORGANISATION,
                                 change->name);
        if (row)
            add_organisation(scheduler, row);
        break;
    case CS_KIND_CONFIG:
        settings = current_settings(scheduler);
        cs_sched_configure(scheduler->sched, &settings);
        break;
    case CS_KIND_JOB:
        apply_job_change(scheduler, change);
        break;
    case CS_KIND_ZONE:
    case CS_KIND_SERVICE:
    case CS_KIND_COUNT:
        break;
    }
    scheduler->cycle_due = true;
}
