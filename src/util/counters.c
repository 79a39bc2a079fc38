#include "corianderstair/counters.h"

#include <inttypes.h>

struct cs_counters {
    GTree *by_name;
};

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
    return g_strcmp0(a, b);
}

cs_counters *
cs_counters_create(void)
{
    cs_counters *set = g_new0(cs_counters, 1);

    set->by_name = g_tree_new_full(compare_names, NULL, g_free, g_free);
    return set;
}

void
cs_counters_destroy(cs_counters *set)
{
    if (!set)
        return;
    g_tree_destroy(set->by_name);
    g_free(set);
}

int64_t *
cs_counters_get(cs_counters *set, const char *name)
{
    int64_t *value = g_tree_lookup(set->by_name, name);

    if (!value) {
        value = g_new0(int64_t, 1);
        g_tree_insert(set->by_name, g_strdup(name), value);
    }
    return value;
}

static gboolean
print_one(gpointer name, gpointer value, gpointer data)
{
    g_string_append_printf(data, "%s %" PRId64 "\n", (const char *)name,
                           *(int64_t *)value);
    return FALSE;
}

void
cs_counters_print(const cs_counters *set, GString *out)
{
    g_tree_foreach(set->by_name, print_one, out);
}
