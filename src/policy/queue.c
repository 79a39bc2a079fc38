/* Waiting jobs by tier, organisation and size, and the shares used. */
#include "policy_internal.h"

#include <math.h>

#define USAGE_DECAY_S 1800.0
#define REMAINING_MIN_US INT64_C(1000)

uint32_t
class_of(uint32_t accelerators)
{
    return MIN(order_for(accelerators), CLASS_COUNT - 1);
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
    const cs_sched_job *x = a;
    const cs_sched_job *y = b;

    if (x->key.remaining_us != y->key.remaining_us)
        return x->key.remaining_us < y->key.remaining_us ? -1 : 1;
    if (x->key.sequence != y->key.sequence)
        return x->key.sequence < y->key.sequence ? -1 : 1;
    return 0;
}

void
queue_init(cs_sched *sched)
{
    int tier;
    int size_class;

    sched->organisations = g_ptr_array_new();
    for (tier = 0; tier < TIER_COUNT; tier++) {
        for (size_class = 0; size_class < CLASS_COUNT; size_class++)
            g_queue_init(&sched->ages[tier][size_class]);
    }
    g_queue_init(&sched->claiming);
}

void
queue_dispose(cs_sched *sched)
{
    guint i;
    int tier;
    int size_class;

    for (i = 0; i < sched->organisations->len; i++) {
        struct organisation *o = queue_organisation(sched, i);

        for (tier = 0; tier < TIER_COUNT; tier++) {
            for (size_class = 0; size_class < CLASS_COUNT; size_class++)
                g_sequence_free(o->queues[tier][size_class]);
        }
        g_array_free(o->guarantees, TRUE);
        g_free(o);
    }
    g_ptr_array_free(sched->organisations, TRUE);
    for (tier = 0; tier < TIER_COUNT; tier++) {
        for (size_class = 0; size_class < CLASS_COUNT; size_class++)
            g_queue_clear(&sched->ages[tier][size_class]);
    }
    g_queue_clear(&sched->claiming);
}

struct organisation *
queue_organisation(const cs_sched *sched, uint32_t i)
{
    return g_ptr_array_index(sched->organisations, i);
}

uint32_t
cs_sched_add_organisation(cs_sched *sched, int64_t weight)
{
    struct organisation *o = g_new0(struct organisation, 1);
    int tier;
    int size_class;

    o->weight = MAX(weight, 1);
    o->guarantees = g_array_new(FALSE, FALSE, sizeof(struct guarantee));
    for (tier = 0; tier < TIER_COUNT; tier++) {
        for (size_class = 0; size_class < CLASS_COUNT; size_class++)
            o->queues[tier][size_class] = g_sequence_new(NULL);
    }
    g_ptr_array_add(sched->organisations, o);
    return sched->organisations->len - 1;
}

void
cs_sched_set_weight(cs_sched *sched, uint32_t organisation, int64_t weight)
{
    queue_organisation(sched, organisation)->weight = MAX(weight, 1);
}

static void
note_head(struct organisation *o, cs_tier tier, uint32_t size_class)
{
    GSequence *queue = o->queues[tier][size_class];

    o->heads[tier][size_class] =
        g_sequence_is_empty(queue)
            ? NULL
            : g_sequence_get(g_sequence_get_begin_iter(queue));
}

void
queue_push(cs_sched *sched, cs_sched_job *job)
{
    struct organisation *o =
        queue_organisation(sched, job->request.organisation);
    cs_tier tier = job->request.tier;
    uint32_t size_class = class_of(job->request.accelerators);
    GQueue *ages = &sched->ages[tier][size_class];
    GList *link = ages->tail;

    job->state = JOB_QUEUED;
    job->wait = WAIT_NEW;
    job->key.remaining_us =
        MAX(estimate_run(sched, &job->request) - job->request.progress_us,
            REMAINING_MIN_US);
    job->key.sequence = job->sequence;
    job->by_length = g_sequence_insert_sorted(o->queues[tier][size_class], job,
                                              compare_keys, NULL);
    note_head(o, tier, size_class);
    o->nonempty[tier] |= UINT32_C(1) << size_class;
    /* A job that is queued again goes back to its place by age. */
    while (link && ((cs_sched_job *)link->data)->sequence > job->sequence)
        link = link->prev;
    if (link)
        g_queue_insert_after(ages, link, job);
    else
        g_queue_push_head(ages, job);
    job->by_age = link ? link->next : ages->head;
    sched->queued++;
}

void
queue_remove(cs_sched *sched, cs_sched_job *job)
{
    struct organisation *o =
        queue_organisation(sched, job->request.organisation);
    cs_tier tier = job->request.tier;
    uint32_t size_class = class_of(job->request.accelerators);

    g_sequence_remove(job->by_length);
    g_queue_delete_link(&sched->ages[tier][size_class], job->by_age);
    job->by_length = NULL;
    job->by_age = NULL;
    note_head(o, tier, size_class);
    if (g_sequence_is_empty(o->queues[tier][size_class]))
        o->nonempty[tier] &= ~(UINT32_C(1) << size_class);
    sched->queued--;
}

void
queue_charge(struct organisation *o, int64_t now_us)
{
    double elapsed_s = (double)(now_us - o->usage_us) / 1e6;
    double keep;

    if (elapsed_s <= 0)
        return;
    keep = exp(-elapsed_s / USAGE_DECAY_S);
    o->usage = o->usage * keep + o->running * USAGE_DECAY_S * (1 - keep);
    o->usage_us = now_us;
}

double
queue_share(struct organisation *o, int64_t now_us)
{
    queue_charge(o, now_us);
    return (o->running + o->usage / USAGE_DECAY_S) / (double)o->weight;
}
