/*
 * What holds for a job by its queue. While the configuration does not have the
 * queue, the job keeps the terms that the holder has last seen there, or, if
 * it has not, those under which the job was accepted. Nothing of the job is
 * started meanwhile, as only the queue tells which workers may run it; what
 * runs goes on and is not stopped for other work.
 */
#include "fleet_internal.h"

/* Terms that no known queue has: the job neither fails nor is urgent. */
#define UNKNOWN_ATTEMPTS UINT32_MAX
#define UNKNOWN_PRIORITY UINT32_MAX

const cs_queue_config *
job_queue(const cs_fleet *fleet, const struct job *job)
{
    const cs_fleet_config *config = fleet->state->config;

    return config ? cs_fleet_config_queue(config, job->spec.queue) : NULL;
}

/* Returns whether the job has fewer attempts than before. */
static bool
update(const cs_fleet *fleet, struct job *job)
{
    const cs_queue_config *queue = job_queue(fleet, job);
    uint32_t attempts = job->max_attempts;

    job->has_queue = queue != NULL;
    if (!queue)
        return false;
    job->max_attempts = queue->max_attempts;
    job->priority = queue->priority;
    return job->max_attempts < attempts;
}

void
job_terms_init(const cs_fleet *fleet, struct job *job)
{
    /* Rows of former builds do not contain the terms. */
    bool known = job->spec.max_attempts > 0;

    job->max_attempts = known ? job->spec.max_attempts : UNKNOWN_ATTEMPTS;
    job->priority = known ? job->spec.priority : UNKNOWN_PRIORITY;
    update(fleet, job);
}

void
job_terms_tick(cs_fleet *fleet)
{
    const cs_fleet_config *config = fleet->state->config;
    uint64_t version = config ? config->version : 0;
    guint i = fleet->active_jobs->len;

    if (version == fleet->terms_version)
        return;
    fleet->terms_version = version;
    while (i-- > 0) {
        struct job *job = g_ptr_array_index(fleet->active_jobs, i);

        /* Tasks must not start beyond the attempts that hold now. */
        if (update(fleet, job) && fleet->tenure == TENURE_HOLDING)
            job_update(fleet, job);
    }
    fleet->cycle_requested = true;
}

void
job_terms_count(cs_fleet *fleet)
{
    int64_t *gauge =
        cs_fleet_state_counter(fleet->state, "cs_jobs_without_queue");
    uint32_t count = 0;
    guint i;

    for (i = 0; i < fleet->active_jobs->len; i++) {
        const struct job *job = g_ptr_array_index(fleet->active_jobs, i);

        count += !job->has_queue;
    }
    if ((count > 0) != (*gauge > 0))
        cs_log_event(count > 0 ? "jobs-without-queue" : "jobs-have-queues",
                     "%u of %u jobs, configuration version %" PRIu64, count,
                     fleet->active_jobs->len, fleet->terms_version);
    *gauge = count;
}
