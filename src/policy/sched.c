/* The jobs of a cell, their state changes and their accelerators. */
#include "policy_internal.h"
#include "sched_internal.h"
#include "corianderstair/errors.h"

cs_sched *
cs_sched_create(const cs_sched_settings *settings)
{
    cs_sched *sched = g_new0(cs_sched, 1);

    sched->settings = *settings;
    topology_init(&sched->topology);
    queue_init(sched);
    sched->estimates =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    g_queue_init(&sched->pending_decisions);
    sched->jobs = g_hash_table_new(NULL, NULL);
    return sched;
}

static void
job_destroy(cs_sched *sched, cs_sched_job *job)
{
    if (sched->reserved_job == job)
        reservation_clear(sched);
    g_hash_table_remove(sched->jobs, job);
    g_free(job->members);
    g_free(job);
}

void
cs_sched_destroy(cs_sched *sched)
{
    GHashTableIter iter;
    gpointer job;

    if (!sched)
        return;
    g_hash_table_iter_init(&iter, sched->jobs);
    while (g_hash_table_iter_next(&iter, &job, NULL)) {
        g_free(((cs_sched_job *)job)->members);
        g_free(job);
    }
    g_hash_table_destroy(sched->jobs);
    g_hash_table_destroy(sched->estimates);
    g_queue_clear_full(&sched->pending_decisions, g_free);
    queue_dispose(sched);
    topology_dispose(&sched->topology);
    g_free(sched);
}

void
cs_sched_configure(cs_sched *sched, const cs_sched_settings *settings)
{
    cs_policy policy = sched->settings.policy;

    sched->settings = *settings;
    sched->settings.policy = policy;
}

uint32_t
cs_sched_add_worker(cs_sched *sched, uint32_t rack, uint32_t accelerators)
{
    return topology_add(&sched->topology, rack, accelerators);
}

static cs_sched_job *
job_create(cs_sched *sched, const cs_sched_request *request)
{
    cs_sched_job *job = g_new0(cs_sched_job, 1);

    job->request = *request;
    job->sequence = ++sched->next_sequence;
    job->claimed_shape = UINT32_MAX;
    g_hash_table_add(sched->jobs, job);
    return job;
}

static uint32_t
total_accelerators(const cs_sched *sched)
{
    uint32_t sum = 0;
    guint i;

    for (i = 0; i < sched->topology.racks->len; i++)
        sum += topology_rack(&sched->topology, i)->accelerators;
    return sum;
}

static uint32_t
largest_guarantee(const cs_sched *sched, uint32_t organisation)
{
    const struct organisation *owner = queue_organisation(sched, organisation);

    if (owner->guarantees->len == 0)
        return 0;
    return g_array_index(owner->guarantees, struct guarantee,
                         owner->guarantees->len - 1)
        .accelerators;
}

static int
check_runnable(const cs_sched *sched, const cs_sched_request *request)
{
    uint32_t total = total_accelerators(sched);
    uint32_t largest = largest_guarantee(sched, request->organisation);

    if (request->accelerators > total)
        return cs_error_set(CS_E_NEVER_RUNNABLE,
                            "%u adjacent accelerators are asked for and the "
                            "zone has %u",
                            request->accelerators, total);
    if (request->tier == CS_TIER_GUARANTEED && request->accelerators > largest)
        return cs_error_set(CS_E_NEVER_RUNNABLE,
                            "%u accelerators are claimed and the largest "
                            "guaranteed shape of the organisation here is %u",
                            request->accelerators, largest);
    return 0;
}

int
cs_sched_submit(cs_sched_job **out, cs_sched *sched,
                const cs_sched_request *request)
{
    int rc = check_runnable(sched, request);

    if (rc)
        return rc;
    *out = job_create(sched, request);
    queue_push(sched, *out);
    return 0;
}

static bool
is_guaranteed(const cs_sched_job *job)
{
    return job->request.tier == CS_TIER_GUARANTEED;
}

static void
set_members(cs_sched_job *job, const cs_sched_member *members, uint32_t count)
{
    g_free(job->members);
    job->members = g_memdup2(members, count * sizeof(*members));
    job->member_count = count;
}

void
sched_claim(cs_sched *sched, cs_sched_job *job, const GArray *members)
{
    uint32_t i;

    set_members(job, (const cs_sched_member *)(void *)members->data,
                members->len);
    for (i = 0; i < job->member_count; i++) {
        const cs_sched_member *member = &job->members[i];
        struct worker *worker =
            topology_worker(&sched->topology, member->worker);

        worker->claimed_mask |= member->mask;
        if (is_guaranteed(job))
            worker->guaranteed_mask |= member->mask;
        topology_update(&sched->topology, member->worker);
    }
    job->state = JOB_CLAIMING;
    job->wait = WAIT_PREEMPTION;
    g_queue_push_tail(&sched->claiming_jobs, job);
}

void
sched_unclaim(cs_sched *sched, cs_sched_job *job)
{
    uint32_t i;

    for (i = 0; i < job->member_count; i++) {
        const cs_sched_member *member = &job->members[i];
        struct worker *worker =
            topology_worker(&sched->topology, member->worker);

        worker->claimed_mask &= ~member->mask;
        worker->guaranteed_mask &= ~member->mask;
        topology_update(&sched->topology, member->worker);
    }
    job->member_count = 0;
    g_queue_remove(&sched->claiming_jobs, job);
    guarantee_release(sched, job);
}

/* Marks the members of the job as used and the job as started. */
static void
allocate_members(cs_sched *sched, cs_sched_job *job, int64_t now_us)
{
    struct organisation *organisation =
        queue_organisation(sched, job->request.organisation);
    uint32_t i;

    for (i = 0; i < job->member_count; i++) {
        const cs_sched_member *member = &job->members[i];
        struct allocation allocation = {job, member->mask};
        struct worker *worker =
            topology_worker(&sched->topology, member->worker);

        worker->claimed_mask &= ~member->mask;
        worker->used_mask |= member->mask;
        if (is_guaranteed(job))
            worker->guaranteed_mask |= member->mask;
        g_array_append_val(worker->allocations, allocation);
        topology_update(&sched->topology, member->worker);
    }
    queue_update_usage(organisation, now_us);
    if (!is_guaranteed(job))
        organisation->running_accelerators += job->request.accelerators;
    job->state = JOB_STARTED;
    job->started_us = now_us;
    sched->started_count++;
    if (job->request.tier == CS_TIER_OPPORTUNISTIC)
        sched->opportunistic_count++;
    sched->latest_us = MAX(sched->latest_us, now_us);
}

static void
remove_allocation(struct worker *worker, const cs_sched_job *job)
{
    guint i;

    for (i = 0; i < worker->allocations->len; i++) {
        if (worker_allocation(worker, i)->job == job) {
            g_array_remove_index(worker->allocations, i);
            return;
        }
    }
}

/* Frees the accelerators of a started job and the shape that it claims. */
static void
free_members(cs_sched *sched, cs_sched_job *job)
{
    struct organisation *organisation =
        queue_organisation(sched, job->request.organisation);
    uint32_t i;

    for (i = 0; i < job->member_count; i++) {
        const cs_sched_member *member = &job->members[i];
        struct worker *worker =
            topology_worker(&sched->topology, member->worker);

        worker->used_mask &= ~member->mask;
        if (is_guaranteed(job))
            worker->guaranteed_mask &= ~member->mask;
        remove_allocation(worker, job);
        topology_update(&sched->topology, member->worker);
    }
    queue_update_usage(organisation, sched->latest_us);
    if (!is_guaranteed(job))
        organisation->running_accelerators -= job->request.accelerators;
    guarantee_release(sched, job);
    job->member_count = 0;
    sched->started_count--;
    if (job->request.tier == CS_TIER_OPPORTUNISTIC)
        sched->opportunistic_count--;
}

void
sched_start(cs_sched *sched, cs_sched_job *job, const GArray *members,
            int64_t now_us)
{
    if (members)
        set_members(job, (const cs_sched_member *)(void *)members->data,
                    members->len);
    allocate_members(sched, job, now_us);
    if (sched->reserved_job == job)
        reservation_clear(sched);
}

int
cs_sched_adopt(cs_sched_job **out, cs_sched *sched,
               const cs_sched_request *request, const cs_sched_member *members,
               uint32_t count, int64_t started_us)
{
    cs_sched_job *job;
    uint32_t i;

    for (i = 0; i < count; i++) {
        const struct worker *worker =
            topology_worker(&sched->topology, members[i].worker);

        if ((worker->used_mask | worker->claimed_mask) & members[i].mask)
            return cs_error_set(
                CS_E_INVALID,
                "an adopted job uses accelerators of another job");
    }
    job = job_create(sched, request);
    set_members(job, members, count);
    if (is_guaranteed(job))
        guarantee_claim(sched, job);
    allocate_members(sched, job, started_us);
    *out = job;
    return 0;
}

/* Removes the decisions about a job that were not returned to the caller. */
static void
cancel_pending_decisions(cs_sched *sched, const cs_sched_job *job)
{
    GList *link = sched->pending_decisions.head;

    while (link) {
        GList *next = link->next;
        cs_decision *decision = link->data;

        if (decision->beneficiary == job)
            decision->beneficiary = NULL;
        if (decision->job == job) {
            g_free(decision);
            g_queue_delete_link(&sched->pending_decisions, link);
        }
        link = next;
    }
}

/* Removes a job from the queue, or gives up its claim or its accelerators. */
static void
detach(cs_sched *sched, cs_sched_job *job)
{
    cancel_pending_decisions(sched, job);
    switch (job->state) {
    case JOB_QUEUED:
        queue_remove(sched, job);
        break;
    case JOB_CLAIMING:
        sched_unclaim(sched, job);
        break;
    case JOB_STARTED:
    case JOB_STOPPING:
        free_members(sched, job);
        break;
    }
}

void
cs_sched_release(cs_sched *sched, cs_sched_job *job)
{
    detach(sched, job);
    job_destroy(sched, job);
}

void
cs_sched_requeue(cs_sched *sched, cs_sched_job *job, int64_t progress_us)
{
    detach(sched, job);
    job->request.progress_us = progress_us;
    queue_push(sched, job);
}

void
cs_sched_mark_stopping(cs_sched *sched, cs_sched_job *job)
{
    if (job->state == JOB_STARTED)
        job->state = JOB_STOPPING;
}

void
cs_sched_record_run_time(cs_sched *sched, const cs_sched_job *job,
                         int64_t run_us)
{
    estimate_record_run(sched, &job->request, run_us);
}

int64_t
job_end_us(const cs_sched *sched, const cs_sched_job *job)
{
    if (job->state == JOB_STOPPING && job->stop_deadline_us)
        return job->stop_deadline_us;
    return job->started_us + cs_sched_estimate_us(sched, job);
}

const cs_sched_member *
cs_sched_members(const cs_sched_job *job, uint32_t *count)
{
    *count = job->member_count;
    return job->members;
}

void *
cs_sched_job_user_data(const cs_sched_job *job)
{
    return job->request.user_data;
}

bool
cs_sched_is_queued(const cs_sched_job *job)
{
    return job->state == JOB_QUEUED || job->state == JOB_CLAIMING;
}

int64_t
cs_sched_estimate_us(const cs_sched *sched, const cs_sched_job *job)
{
    int64_t run_us = estimate_run(sched, &job->request);

    return MAX(run_us - job->request.progress_us, INT64_C(1000));
}
