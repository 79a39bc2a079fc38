/*
 * Claims of guaranteed shapes, and the checks that all shapes which are not
 * claimed can still be placed.
 */
#include "policy_internal.h"
#include "corianderstair/errors.h"

static gint
compare_shapes(gconstpointer a, gconstpointer b)
{
    const struct guarantee *left = a;
    const struct guarantee *right = b;

    return left->accelerators < right->accelerators
               ? -1
               : left->accelerators > right->accelerators;
}

static struct guarantee *
find_shape(const struct organisation *organisation, uint32_t accelerators)
{
    guint i;

    for (i = 0; i < organisation->guarantees->len; i++) {
        struct guarantee *guarantee =
            &g_array_index(organisation->guarantees, struct guarantee, i);

        if (guarantee->accelerators == accelerators)
            return guarantee;
    }
    return NULL;
}

static void
add_shape(GArray *shapes, const cs_guarantee *added)
{
    struct guarantee shape = {(uint32_t)added->accelerators,
                              (uint32_t)added->count, 0};
    guint i;

    for (i = 0; i < shapes->len; i++) {
        struct guarantee *known = &g_array_index(shapes, struct guarantee, i);

        if (known->accelerators == shape.accelerators) {
            known->count += shape.count;
            return;
        }
    }
    g_array_append_val(shapes, shape);
}

void
cs_sched_set_guarantees(cs_sched *sched, uint32_t organisation,
                        const cs_guarantee *guarantees, uint32_t count)
{
    struct organisation *owner = queue_organisation(sched, organisation);
    GArray *shapes = g_array_new(FALSE, FALSE, sizeof(struct guarantee));
    guint i;

    for (i = 0; i < count; i++)
        add_shape(shapes, &guarantees[i]);
    for (i = 0; i < shapes->len; i++) {
        struct guarantee *shape = &g_array_index(shapes, struct guarantee, i);
        const struct guarantee *old = find_shape(owner, shape->accelerators);

        if (old)
            shape->claimed = old->claimed;
    }
    g_array_sort(shapes, compare_shapes);
    g_array_free(owner->guarantees, TRUE);
    owner->guarantees = shapes;
}

bool
guarantee_claim(cs_sched *sched, cs_sched_job *job)
{
    struct organisation *organisation =
        queue_organisation(sched, job->request.organisation);
    guint i;

    for (i = 0; i < organisation->guarantees->len; i++) {
        struct guarantee *guarantee =
            &g_array_index(organisation->guarantees, struct guarantee, i);

        if (guarantee->accelerators < job->request.accelerators ||
            guarantee->claimed >= guarantee->count)
            continue;
        guarantee->claimed++;
        job->claimed_shape = guarantee->accelerators;
        return true;
    }
    return false;
}

void
guarantee_release(cs_sched *sched, cs_sched_job *job)
{
    struct organisation *organisation =
        queue_organisation(sched, job->request.organisation);
    struct guarantee *guarantee = find_shape(organisation, job->claimed_shape);

    if (job->claimed_shape != UINT32_MAX && guarantee &&
        guarantee->claimed > 0)
        guarantee->claimed--;
    job->claimed_shape = UINT32_MAX;
}

GArray *
guarantee_unclaimed_sizes(const cs_sched *sched)
{
    GArray *sizes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    guint i;
    guint k;

    for (i = 0; i < sched->organisations->len; i++) {
        const struct organisation *organisation = queue_organisation(sched, i);

        for (k = 0; k < organisation->guarantees->len; k++) {
            const struct guarantee *guarantee =
                &g_array_index(organisation->guarantees, struct guarantee, k);
            uint32_t claimed;

            for (claimed = guarantee->claimed; claimed < guarantee->count;
                 claimed++)
                g_array_append_val(sizes, guarantee->accelerators);
        }
    }
    return sizes;
}

/* Converts the index of a worker. The topology numbers workers as they were
   added, the capacity lists them rack by rack. */
static uint32_t
capacity_index(const struct capacity *capacity,
               const struct topology *topology, uint32_t worker_index)
{
    uint32_t rack_index = topology_worker(topology, worker_index)->rack;
    const struct rack *rack = topology_rack(topology, rack_index);
    guint i;

    for (i = 0; i < rack->workers->len; i++) {
        if (g_array_index(rack->workers, uint32_t, i) == worker_index)
            break;
    }
    return g_array_index(capacity->rack_first, uint32_t, rack_index) + i;
}

/* Returns how many of the shapes do not fit after the members, which may be
   NULL, are taken. */
static uint32_t
count_unsatisfied(const cs_sched *sched, const GArray *members,
                  const GArray *sizes)
{
    struct capacity capacity;
    uint32_t unsatisfied;
    guint i;

    capacity_init(&capacity, &sched->topology, true);
    for (i = 0; members && i < members->len; i++) {
        const cs_sched_member *member =
            &g_array_index(members, cs_sched_member, i);

        capacity_take(
            &capacity,
            capacity_index(&capacity, &sched->topology, member->worker),
            member->mask);
    }
    unsatisfied = capacity_pack(
        &capacity, (const uint32_t *)(void *)sizes->data, sizes->len);
    capacity_dispose(&capacity);
    return unsatisfied;
}

static uint32_t
members_size(const GArray *members)
{
    uint32_t size = 0;
    guint i;

    for (i = 0; i < members->len; i++)
        size += (uint32_t)__builtin_popcountll(
            g_array_index(members, cs_sched_member, i).mask);
    return size;
}

bool
guarantee_allows_placement(const cs_sched *sched, const GArray *members)
{
    GArray *sizes = guarantee_unclaimed_sizes(sched);
    uint32_t unsatisfied = count_unsatisfied(sched, members, sizes);
    bool allowed = unsatisfied == 0;

    /* If capacity was lost, some shapes may not fit in any case. Then the
       placement must not increase the shortage: without it, and with the
       job's own size as one more shape, at least as many must not fit. */
    if (!allowed) {
        uint32_t size = members_size(members);

        g_array_append_val(sizes, size);
        allowed = unsatisfied <= count_unsatisfied(sched, NULL, sizes);
    }
    g_array_free(sizes, TRUE);
    return allowed;
}

/* Returns whether the shapes fit in an otherwise empty cell that has lost the
   spare workers. */
static bool
all_fit(const cs_sched *sched, const uint32_t *sizes, uint32_t count,
        uint32_t spare)
{
    struct capacity capacity;
    uint32_t unsatisfied;

    capacity_init(&capacity, &sched->topology, false);
    capacity_remove_spares(&capacity, spare);
    unsatisfied = capacity_pack(&capacity, sizes, count);
    capacity_dispose(&capacity);
    return unsatisfied == 0;
}

int
cs_sched_check_guarantees(uint32_t *largest, const cs_sched *sched,
                          const uint32_t *sizes, uint32_t count,
                          uint32_t spare)
{
    uint32_t *trial;
    uint32_t low = 0;
    uint32_t high;

    if (count == 0 || all_fit(sched, sizes, count, spare))
        return 0;
    trial = g_memdup2(sizes, count * sizeof(*sizes));
    high = sizes[count - 1];
    while (low + 1 < high) {
        uint32_t middle = low + (high - low) / 2;

        trial[count - 1] = middle;
        if (all_fit(sched, trial, count, spare))
            low = middle;
        else
            high = middle;
    }
    g_free(trial);
    *largest = low;
    return cs_error_set(CS_E_GUARANTEE,
                        "%u guaranteed accelerators cannot be honoured "
                        "together with all other guarantees and %u spare "
                        "workers; the largest shape that fits is %u",
                        sizes[count - 1], spare, low);
}
