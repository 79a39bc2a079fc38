/* The policy's copy of the board: workers, organisations and jobs. */
#include "scheduler_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <string.h>

static cs_config
current_config(const cs_scheduler *s)
{
    const cs_record *record = cs_board_find(s->board, CS_KIND_CONFIG, "main");
    cs_config config = {.worker_lease_ms = 6000,
                        .grace_ms = 1000,
                        .wait_bound_s = 3600,
                        .completion_weight = 50,
                        .fragmentation_weight = 50,
                        .retention_s = 86400};

    return record ? record->resource.u.config : config;
}

static cs_sched_settings
current_settings(cs_scheduler *s)
{
    cs_config config = current_config(s);
    cs_sched_settings settings = {
        .policy = CS_POLICY_CURRENT,
        .grace_us = config.grace_ms * CS_MS_US,
        .wait_bound_us = config.wait_bound_s * CS_SEC_US,
        .completion_weight = config.completion_weight,
        .fragmentation_weight = config.fragmentation_weight};

    s->worker_lease_us = config.worker_lease_ms * CS_MS_US;
    s->retention_us = config.retention_s * CS_SEC_US;
    return settings;
}

static void
add_worker(void *data, const cs_record *record)
{
    cs_scheduler *s = data;
    const cs_worker *worker = &record->resource.u.worker;
    struct link *link = sched_find_link(s, worker->name);
    uint32_t index;

    if (strcmp(worker->zone, s->zone) != 0)
        return;
    if (link) {
        link_update(link, worker);
        return;
    }
    index = cs_sched_add_worker(s->sched, (uint32_t)worker->rack,
                                (uint32_t)worker->accelerators);
    link = link_create(s, worker, index);
    link->rack = worker->rack;
    link->accelerators = worker->accelerators;
    link_forget_epoch(link);
    g_ptr_array_add(s->links, link);
    g_hash_table_insert(s->links_by_name, link->name, link);
}

static uint32_t
organisation_number(cs_scheduler *s, const char *name, int64_t weight)
{
    gpointer number = g_hash_table_lookup(s->organisations, name);

    if (!number) {
        number =
            GUINT_TO_POINTER(cs_sched_add_organisation(s->sched, weight) + 1);
        g_hash_table_insert(s->organisations, g_strdup(name), number);
    }
    return GPOINTER_TO_UINT(number) - 1;
}

static void
add_organisation(void *data, const cs_record *record)
{
    cs_scheduler *s = data;
    const cs_organisation *o = &record->resource.u.organisation;
    uint32_t number = organisation_number(s, o->name, o->weight);
    cs_guarantee *here = g_new0(cs_guarantee, MAX(o->guarantee_count, 1));
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < o->guarantee_count; i++) {
        if (strcmp(o->guarantees[i].zone, s->zone) == 0)
            here[count++] = o->guarantees[i];
    }
    cs_sched_set_weight(s->sched, number, o->weight);
    cs_sched_set_guarantees(s->sched, number, here, count);
    g_free(here);
}

static uint32_t
class_number(cs_scheduler *s, const char *name)
{
    gpointer number = g_hash_table_lookup(s->classes, name);

    if (!number) {
        number = GUINT_TO_POINTER(g_hash_table_size(s->classes) + 1);
        g_hash_table_insert(s->classes, g_strdup(name), number);
    }
    return GPOINTER_TO_UINT(number);
}

cs_sched_request
mirror_request(cs_scheduler *s, const cs_record *record, struct gang *gang)
{
    const cs_job *job = &record->resource.u.job;
    cs_now now = sched_now(s);
    cs_sched_request request = {
        .organisation = organisation_number(s, job->organisation, 1),
        .class_id = class_number(s, job->class_name),
        .tier = (cs_tier)job->tier,
        .accelerators = (uint32_t)job->accelerators,
        .declared_us = job->declared_s * CS_SEC_US,
        .progress_us = gang->status.progress_ms * CS_MS_US,
        .submitted_us =
            now.boot_us - MAX(now.wall_us - gang->status.submitted_us, 0),
        .checkpoint = job->checkpoint,
        .pinned = !job->checkpoint && !job->restartable,
        .data = gang};

    return request;
}

static void
submit(cs_scheduler *s, const cs_record *record, struct gang *gang)
{
    cs_sched_request request = mirror_request(s, record, gang);

    if (cs_sched_submit(&gang->job, s->sched, &request) == 0) {
        gang->state = GANG_QUEUED;
        s->decide = true;
        return;
    }
    gang->job = NULL;
    gang_set_condition(gang, "Ended", "never-runnable", cs_error_last());
    gang_end(gang, CS_JOB_NEVER);
}

static void
adopt(cs_scheduler *s, const cs_record *record, struct gang *gang)
{
    cs_sched_request request = mirror_request(s, record, gang);
    GArray *members = g_array_new(FALSE, FALSE, sizeof(cs_sched_member));
    guint i;

    gang_adopt(gang, record);
    for (i = 0; i < gang->members->len; i++) {
        const struct member *m =
            &g_array_index(gang->members, struct member, i);
        cs_sched_member member = {m->link->index, m->mask};

        g_array_append_val(members, member);
    }
    if (cs_sched_adopt(&gang->job, s->sched, &request,
                       (const cs_sched_member *)(void *)members->data,
                       members->len, gang->start_us))
        cs_log_event("adopt-failed", "%s: %s", gang->name, cs_error_last());
    g_array_free(members, TRUE);
}

static void
add_job(void *data, const cs_record *record)
{
    cs_scheduler *s = data;
    const cs_job *job = &record->resource.u.job;
    struct gang *gang;

    if (strcmp(job->zone, s->zone) != 0 ||
        cs_job_state_is_final(record->job.state))
        return;
    gang = sched_find_gang(s, job->name);
    if (!gang) {
        gang = gang_create(s, record);
        g_hash_table_insert(s->gangs, gang->name, gang);
        gang_touch(gang);
        if (record->job.state == CS_JOB_QUEUED)
            submit(s, record, gang);
        else
            adopt(s, record, gang);
    }
    if (job->cancelled)
        gang_cancel(gang);
}

void
mirror_build(cs_scheduler *s)
{
    cs_sched_settings settings = current_settings(s);

    s->sched = cs_sched_create(&settings);
    cs_board_each(s->board, CS_KIND_WORKER, add_worker, s);
    cs_board_each(s->board, CS_KIND_ORGANISATION, add_organisation, s);
    cs_board_each(s->board, CS_KIND_JOB, add_job, s);
}

void
mirror_clear(cs_scheduler *s)
{
    GHashTableIter iter;
    gpointer gang;
    guint i;

    g_hash_table_iter_init(&iter, s->gangs);
    while (g_hash_table_iter_next(&iter, NULL, &gang))
        gang_destroy(gang);
    for (i = 0; i < s->links->len; i++)
        link_destroy(g_ptr_array_index(s->links, i));
    g_ptr_array_set_size(s->active, 0);
    g_ptr_array_set_size(s->touched, 0);
    g_ptr_array_set_size(s->links, 0);
    g_hash_table_remove_all(s->gangs);
    g_hash_table_remove_all(s->links_by_name);
    g_hash_table_remove_all(s->organisations);
    g_hash_table_remove_all(s->classes);
    cs_sched_destroy(s->sched);
    s->sched = NULL;
}

static void
change_worker(cs_scheduler *s, const cs_change *change)
{
    const cs_record *record =
        cs_board_find(s->board, CS_KIND_WORKER, change->name);
    struct link *link = sched_find_link(s, change->name);

    if (record) {
        const cs_worker *worker = &record->resource.u.worker;

        /* The policy cannot move a worker; it is built anew. */
        s->rebuild |= link && (link->rack != worker->rack ||
                               link->accelerators != worker->accelerators);
        add_worker(s, record);
        return;
    }
    if (!link)
        return;
    link->present = false;
    health_apply(link);
}

static void
change_job(cs_scheduler *s, const cs_change *change)
{
    const cs_record *record =
        cs_board_find(s->board, CS_KIND_JOB, change->name);

    if (record && change->op == CS_OP_PUT)
        add_job(s, record);
}

void
mirror_change(cs_scheduler *s, const cs_change *change)
{
    const cs_record *record;
    cs_sched_settings settings;

    switch (change->kind) {
    case CS_KIND_WORKER:
        change_worker(s, change);
        break;
    case CS_KIND_ORGANISATION:
        record = cs_board_find(s->board, CS_KIND_ORGANISATION, change->name);
        if (record)
            add_organisation(s, record);
        break;
    case CS_KIND_CONFIG:
        settings = current_settings(s);
        cs_sched_configure(s->sched, &settings);
        break;
    case CS_KIND_JOB:
        change_job(s, change);
        break;
    case CS_KIND_ZONE:
    case CS_KIND_SERVICE:
    case CS_KIND_COUNT:
        break;
    }
    s->decide = true;
}
