/*
 * The queued jobs by tier, organisation and size class, and the usage of each
 * organisation, from which its fair share follows.
 */
#include "policy_internal.h"

#include <math.h>

/* Time constant of the exponential decay of past usage. */
#define USAGE_DECAY_S 1800.0
/* Remaining run time of a job whose progress exceeds its estimate. */
#define REMAINING_MIN_US INT64_C(1000)

uint32_t
size_class_of(uint32_t accelerators)
{
    return MIN(block_order(accelerators), SIZE_CLASS_COUNT - 1);
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
    const cs_sched_job *left = a;
    const cs_sched_job *right = b;

    if (left->key.remaining_us != right->key.remaining_us)
        return left->key.remaining_us < right->key.remaining_us ? -1 : 1;
    if (left->key.sequence != right->key.sequence)
        return left->key.sequence < right->key.sequence ? -1 : 1;
    return 0;
}

void
queue_init(cs_sched *sched)
{
    int tier;
    int size_class;

    sched->organisations = g_ptr_array_new();
    for (tier = 0; tier < TIER_COUNT; tier++) {
        for (size_class = 0; size_class < SIZE_CLASS_COUNT; size_class++)
            g_queue_init(&sched->jobs_by_age[tier][size_class]);
    }
    g_queue_init(&sched->claiming_jobs);
}

void
queue_dispose(cs_sched *sched)
{
    guint i;
    int tier;
    int size_class;

    for (i = 0; i < sched->organisations->len; i++) {
        struct organisation *organisation = queue_organisation(sched, i);

        for (tier = 0; tier < TIER_COUNT; tier++) {
            for (size_class = 0; size_class < SIZE_CLASS_COUNT; size_class++)
                g_sequence_free(organisation->queues[tier][size_class]);
        }
        g_array_free(organisation->guarantees, TRUE);
        g_free(organisation);
    }
    g_ptr_array_free(sched->organisations, TRUE);
    for (tier = 0; tier < TIER_COUNT; tier++) {
        for (size_class = 0; size_class < SIZE_CLASS_COUNT; size_class++)
            g_queue_clear(&sched->jobs_by_age[tier][size_class]);
    }
    g_queue_clear(&sched->claiming_jobs);
}

struct organisation *
queue_organisation(const cs_sched *sched, uint32_t index)
{
    return g_ptr_array_index(sched->organisations, index);
}

uint32_t
cs_sched_add_organisation(cs_sched *sched, int64_t weight)
{
    struct organisation *organisation = g_new0(struct organisation, 1);
    int tier;
    int size_class;

    organisation->weight = MAX(weight, 1);
    organisation->guarantees =
        g_array_new(FALSE, FALSE, sizeof(struct guarantee));
    for (tier = 0; tier < TIER_COUNT; tier++) {
        for (size_class = 0; size_class < SIZE_CLASS_COUNT; size_class++)
            organisation->queues[tier][size_class] = g_sequence_new(NULL);
    }
    g_ptr_array_add(sched->organisations, organisation);
    return sched->organisations->len - 1;
}

void
cs_sched_set_weight(cs_sched *sched, uint32_t organisation, int64_t weight)
{
    queue_organisation(sched, organisation)->weight = MAX(weight, 1);
}

/* Caches the first job of a queue. */
static void
update_head(struct organisation *organisation, cs_tier tier,
            uint32_t size_class)
{
    GSequence *queue = organisation->queues[tier][size_class];

    organisation->heads[tier][size_class] =
        g_sequence_is_empty(queue)
            ? NULL
            : g_sequence_get(g_sequence_get_begin_iter(queue));
}

void
queue_push(cs_sched *sched, cs_sched_job *job)
{
    struct organisation *organisation =
        queue_organisation(sched, job->request.organisation);
    cs_tier tier = job->request.tier;
    uint32_t size_class = size_class_of(job->request.accelerators);
    GQueue *jobs_by_age = &sched->jobs_by_age[tier][size_class];
    GList *link = jobs_by_age->tail;

    job->state = JOB_QUEUED;
    job->wait = WAIT_NEW;
    job->key.remaining_us =
        MAX(estimate_run(sched, &job->request) - job->request.progress_us,
            REMAINING_MIN_US);
    job->key.sequence = job->sequence;
    job->queue_position = g_sequence_insert_sorted(
        organisation->queues[tier][size_class], job, compare_keys, NULL);
    update_head(organisation, tier, size_class);
    organisation->nonempty_classes[tier] |= UINT32_C(1) << size_class;
    /* A job that is queued again returns to its place in the order of
       submission. */
    while (link && ((cs_sched_job *)link->data)->sequence > job->sequence)
        link = link->prev;
    if (link)
        g_queue_insert_after(jobs_by_age, link, job);
    else
        g_queue_push_head(jobs_by_age, job);
    job->age_link = link ? link->next : jobs_by_age->head;
    sched->queued_count++;
}

void
queue_remove(cs_sched *sched, cs_sched_job *job)
{
    struct organisation *organisation =
        queue_organisation(sched, job->request.organisation);
    cs_tier tier = job->request.tier;
    uint32_t size_class = size_class_of(job->request.accelerators);

    g_sequence_remove(job->queue_position);
    g_queue_delete_link(&sched->jobs_by_age[tier][size_class], job->age_link);
    job->queue_position = NULL;
    job->age_link = NULL;
    update_head(organisation, tier, size_class);
    if (g_sequence_is_empty(organisation->queues[tier][size_class]))
        organisation->nonempty_classes[tier] &= ~(UINT32_C(1) << size_class);
    sched->queued_count--;
}

void
queue_update_usage(struct organisation *organisation, int64_t now_us)
{
    double elapsed_s = (double)(now_us - organisation->usage_updated_us) / 1e6;
    double decay;

    if (elapsed_s <= 0)
        return;
    decay = exp(-elapsed_s / USAGE_DECAY_S);
    organisation->usage =
        organisation->usage * decay +
        organisation->running_accelerators * USAGE_DECAY_S * (1 - decay);
    organisation->usage_updated_us = now_us;
}

double
queue_weighted_share(struct organisation *organisation, int64_t now_us)
{
    queue_update_usage(organisation, now_us);
    return (organisation->running_accelerators +
            organisation->usage / USAGE_DECAY_S) /
           (double)organisation->weight;
}
