/* Entitlements, and whether a claim leaves room for all the others. */
#include "policy_internal.h"
#include "corianderstair/errors.h"

static gint
compare_shapes(gconstpointer a, gconstpointer b)
{
    const struct guarantee *x = a;
    const struct guarantee *y = b;

    return x->accelerators < y->accelerators
               ? -1
               : x->accelerators > y->accelerators;
}

static struct guarantee *
find_shape(const struct organisation *o, uint32_t accelerators)
{
    guint i;

    for (i = 0; i < o->guarantees->len; i++) {
        struct guarantee *g =
            &g_array_index(o->guarantees, struct guarantee, i);

        if (g->accelerators == accelerators)
            return g;
    }
    return NULL;
}

static void
add_shape(GArray *shapes, const cs_guarantee *guarantee)
{
    struct guarantee shape = {(uint32_t)guarantee->accelerators,
                              (uint32_t)guarantee->count, 0};
    guint i;

    for (i = 0; i < shapes->len; i++) {
        struct guarantee *g = &g_array_index(shapes, struct guarantee, i);

        if (g->accelerators == shape.accelerators) {
            g->count += shape.count;
            return;
        }
    }
    g_array_append_val(shapes, shape);
}

void
cs_sched_set_guarantees(cs_sched *sched, uint32_t organisation,
                        const cs_guarantee *guarantees, uint32_t count)
{
    struct organisation *o = queue_organisation(sched, organisation);
    GArray *shapes = g_array_new(FALSE, FALSE, sizeof(struct guarantee));
    guint i;

    for (i = 0; i < count; i++)
        add_shape(shapes, &guarantees[i]);
    for (i = 0; i < shapes->len; i++) {
        struct guarantee *g = &g_array_index(shapes, struct guarantee, i);
        const struct guarantee *old = find_shape(o, g->accelerators);

        if (old)
            g->claimed = old->claimed;
    }
    g_array_sort(shapes, compare_shapes);
    g_array_free(o->guarantees, TRUE);
    o->guarantees = shapes;
}

bool
guarantee_claim(cs_sched *sched, cs_sched_job *job)
{
    struct organisation *o =
        queue_organisation(sched, job->request.organisation);
    guint i;

    for (i = 0; i < o->guarantees->len; i++) {
        struct guarantee *g =
            &g_array_index(o->guarantees, struct guarantee, i);

        if (g->accelerators < job->request.accelerators ||
            g->claimed >= g->count)
            continue;
        g->claimed++;
        job->guarantee = g->accelerators;
        return true;
    }
    return false;
}

void
guarantee_return(cs_sched *sched, cs_sched_job *job)
{
    struct organisation *o =
        queue_organisation(sched, job->request.organisation);
    struct guarantee *g = find_shape(o, job->guarantee);

    if (job->guarantee != UINT32_MAX && g && g->claimed > 0)
        g->claimed--;
    job->guarantee = UINT32_MAX;
}

GArray *
guarantee_outstanding(const cs_sched *sched)
{
    GArray *sizes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    guint i;
    guint k;

    for (i = 0; i < sched->organisations->len; i++) {
        const struct organisation *o = queue_organisation(sched, i);

        for (k = 0; k < o->guarantees->len; k++) {
            const struct guarantee *g =
                &g_array_index(o->guarantees, struct guarantee, k);
            uint32_t left;

            for (left = g->claimed; left < g->count; left++)
                g_array_append_val(sizes, g->accelerators);
        }
    }
    return sizes;
}

/* Topology and room number workers alike only rack by rack. */
static uint32_t
room_index(const struct room *room, const struct topology *t, uint32_t worker)
{
    uint32_t rack = topology_worker(t, worker)->rack;
    const struct rack *r = topology_rack(t, rack);
    guint i;

    for (i = 0; i < r->workers->len; i++) {
        if (g_array_index(r->workers, uint32_t, i) == worker)
            break;
    }
    return g_array_index(room->rack_first, uint32_t, rack) + i;
}

static uint32_t
missing_after(const cs_sched *sched, const GArray *members,
              const GArray *sizes)
{
    struct room room;
    uint32_t missing;
    guint i;

    room_init(&room, &sched->topology, true);
    for (i = 0; members && i < members->len; i++) {
        const cs_sched_member *m = &g_array_index(members, cs_sched_member, i);

        room_take(&room, room_index(&room, &sched->topology, m->worker),
                  m->mask);
    }
    missing =
        room_pack(&room, (const uint32_t *)(void *)sizes->data, sizes->len);
    room_dispose(&room);
    return missing;
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

/* Where capacity was lost, a claim must not make the shortage worse. */
bool
guarantee_is_safe(const cs_sched *sched, const GArray *members)
{
    GArray *sizes = guarantee_outstanding(sched);
    uint32_t after = missing_after(sched, members, sizes);
    bool safe = after == 0;

    if (!safe) {
        uint32_t size = members_size(members);

        g_array_append_val(sizes, size);
        safe = after <= missing_after(sched, NULL, sizes);
    }
    g_array_free(sizes, TRUE);
    return safe;
}

static bool
packs(const cs_sched *sched, const uint32_t *sizes, uint32_t count,
      uint32_t spare)
{
    struct room room;
    uint32_t missing;

    room_init(&room, &sched->topology, false);
    room_remove_spares(&room, spare);
    missing = room_pack(&room, sizes, count);
    room_dispose(&room);
    return missing == 0;
}

int
cs_sched_admit(uint32_t *largest, const cs_sched *sched, const uint32_t *sizes,
               uint32_t count, uint32_t spare)
{
    uint32_t *trial;
    uint32_t low = 0;
    uint32_t high;

    if (count == 0 || packs(sched, sizes, count, spare))
        return 0;
    trial = g_memdup2(sizes, count * sizeof(*sizes));
    high = sizes[count - 1];
    while (low + 1 < high) {
        uint32_t middle = low + (high - low) / 2;

        trial[count - 1] = middle;
        if (packs(sched, trial, count, spare))
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
