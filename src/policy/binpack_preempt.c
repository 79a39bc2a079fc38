/*
 * Selects the running tasks to preempt for a request. For each rack, or for
 * the whole cell if the request may span racks, a greedy search frees the
 * groups with the smallest loss one by one until the request fits. It then
 * restores the groups whose resources are not needed, starting with the
 * largest loss. The rack with the smallest total loss wins.
 */
#include "corianderstair/binpack.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define NO_ENTRY UINT32_MAX

/* A group of tasks that stop together. */
struct group {
    uint32_t first_entry; /* head of the list in search.next_in_group */
    double loss;
    bool chosen;
};

/* An entry is the index of a victim. */
struct search {
    cs_binpack_cell cell; /* with a copy of the workers, whose free changes */
    cs_binpack_request request;
    const cs_binpack_victim *victims;
    uint32_t count;
    uint32_t *next_in_group;  /* by entry: the next one of its group */
    struct group *groups;     /* by group number */
    uint32_t *sorted_entries; /* by loss, the smallest first */
    uint32_t *placed_workers; /* where the request was placed last */
    GArray *chosen;           /* of uint32_t: group numbers, as chosen */
    double loss;              /* total of the chosen groups */
};

static gint
compare_loss(gconstpointer a, gconstpointer b, gpointer data)
{
    const cs_binpack_victim *victims = data;
    const cs_binpack_victim *left = &victims[*(const uint32_t *)a];
    const cs_binpack_victim *right = &victims[*(const uint32_t *)b];

    if (left->loss != right->loss)
        return left->loss < right->loss ? -1 : 1;
    return left->group < right->group ? -1 : left->group > right->group;
}

/* Frees the resources of a group's tasks, or takes them again. */
static void
set_group_freed(struct search *search, uint32_t group, bool freed)
{
    uint32_t i = search->groups[group].first_entry;

    for (; i != NO_ENTRY; i = search->next_in_group[i]) {
        const cs_binpack_victim *victim = &search->victims[i];
        cs_demand *free = &search->cell.workers[victim->worker].free;

        if (freed)
            cs_demand_add(free, &victim->demand);
        else
            cs_demand_subtract(free, &victim->demand);
    }
}

/* Places the whole request in the rack, or anywhere for CS_BINPACK_ANY, and
   takes the placement back. The workers stay in placed_workers. */
static bool
request_fits(struct search *search, uint32_t rack)
{
    cs_binpack_request request = search->request;
    uint32_t placed;
    uint32_t i;

    request.all_or_nothing = true;
    if (rack != CS_BINPACK_ANY)
        request.data_rack = rack;
    placed = cs_binpack_place(search->placed_workers, &search->cell, &request);
    for (i = 0; i < placed; i++)
        cs_demand_add(&search->cell.workers[search->placed_workers[i]].free,
                      &request.demand);
    return placed == request.count;
}

static void
choose_group(struct search *search, uint32_t group)
{
    set_group_freed(search, group, true);
    search->groups[group].chosen = true;
    g_array_append_val(search->chosen, group);
}

static bool
touches_rack(const struct search *search, const cs_binpack_victim *victim,
             uint32_t rack)
{
    return rack == CS_BINPACK_ANY ||
           search->cell.workers[victim->worker].rack == rack;
}

/* Restores each chosen group, the largest loss first, without which the
   request still fits. */
static void
prune(struct search *search, uint32_t rack)
{
    guint i = search->chosen->len;

    while (i-- > 0) {
        uint32_t group = g_array_index(search->chosen, uint32_t, i);

        set_group_freed(search, group, false);
        if (request_fits(search, rack)) {
            search->groups[group].chosen = false;
            g_array_remove_index(search->chosen, i);
        }
        else {
            set_group_freed(search, group, true);
        }
    }
}

static double
total_loss(const struct search *search)
{
    double sum = 0;
    guint i;

    for (i = 0; i < search->chosen->len; i++)
        sum += search->groups[g_array_index(search->chosen, uint32_t, i)].loss;
    return sum;
}

/* Restores all chosen groups. */
static void
restore_groups(struct search *search)
{
    guint i;

    for (i = 0; i < search->chosen->len; i++) {
        uint32_t group = g_array_index(search->chosen, uint32_t, i);

        set_group_freed(search, group, false);
        search->groups[group].chosen = false;
    }
    g_array_set_size(search->chosen, 0);
}

static bool
choose_until_fit(struct search *search, uint32_t rack)
{
    uint32_t i;

    for (i = 0; i < search->count; i++) {
        const cs_binpack_victim *victim =
            &search->victims[search->sorted_entries[i]];

        if (search->groups[victim->group].chosen ||
            !touches_rack(search, victim, rack))
            continue;
        choose_group(search, victim->group);
        if (request_fits(search, rack))
            return true;
    }
    return false;
}

static bool
try_rack(struct search *search, uint32_t rack)
{
    if (rack != CS_BINPACK_ANY &&
        search->request.data_rack != CS_BINPACK_ANY &&
        search->request.data_rack != rack)
        return false;
    if (!choose_until_fit(search, rack))
        return false;
    prune(search, rack);
    search->loss = total_loss(search);
    return request_fits(search, rack);
}

static void
link_groups(struct search *search)
{
    uint32_t max_group = 0;
    uint32_t i;

    for (i = 0; i < search->count; i++)
        max_group = MAX(max_group, search->victims[i].group);
    search->groups = g_new0(struct group, max_group + 1);
    for (i = 0; i <= max_group; i++)
        search->groups[i].first_entry = NO_ENTRY;
    for (i = 0; i < search->count; i++) {
        struct group *group = &search->groups[search->victims[i].group];

        group->loss = search->victims[i].loss;
        search->next_in_group[i] = group->first_entry;
        group->first_entry = i;
    }
}

static void
search_init(struct search *search, const cs_binpack_cell *cell,
            const cs_binpack_request *request,
            const cs_binpack_victim *victims, uint32_t count)
{
    uint32_t i;

    search->cell = *cell;
    search->cell.workers = g_new0(cs_binpack_worker, cell->worker_count + 1);
    memcpy(search->cell.workers, cell->workers,
           cell->worker_count * sizeof(*cell->workers));
    search->request = *request;
    search->victims = victims;
    search->count = count;
    search->next_in_group = g_new0(uint32_t, count + 1);
    search->sorted_entries = g_new0(uint32_t, count + 1);
    for (i = 0; i < count; i++)
        search->sorted_entries[i] = i;
    g_qsort_with_data(search->sorted_entries, (gint)count, sizeof(uint32_t),
                      compare_loss, (gpointer)victims);
    search->placed_workers = g_new0(uint32_t, request->count + 1);
    search->chosen = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    link_groups(search);
}

static void
search_dispose(struct search *search)
{
    g_free(search->cell.workers);
    g_free(search->next_in_group);
    g_free(search->groups);
    g_free(search->sorted_entries);
    g_free(search->placed_workers);
    g_array_free(search->chosen, TRUE);
}

int32_t
cs_binpack_preempt(uint32_t *groups, uint32_t *out,
                   const cs_binpack_cell *cell,
                   const cs_binpack_request *request,
                   const cs_binpack_victim *victims, uint32_t victim_count)
{
    uint32_t racks = request->same_rack ? cell->rack_count : 1;
    struct search search;
    double best = INFINITY;
    int32_t found = -1;
    uint32_t i;

    search_init(&search, cell, request, victims, victim_count);
    for (i = 0; i < racks; i++) {
        if (try_rack(&search, request->same_rack ? i : CS_BINPACK_ANY) &&
            search.loss < best) {
            best = search.loss;
            found = (int32_t)search.chosen->len;
            memcpy(out, search.placed_workers, request->count * sizeof(*out));
            memcpy(groups, search.chosen->data,
                   search.chosen->len * sizeof(*groups));
        }
        restore_groups(&search);
    }
    search_dispose(&search);
    return found;
}
