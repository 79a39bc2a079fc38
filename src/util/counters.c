#include "corianderstair/counters.h"

#include <inttypes.h>

struct cs_counters {
    GTree *by_name;
};

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer user_data)
{
    return g_strcmp0(a, b);
}

cs_counters *
cs_counters_create(void)
{
    cs_counters *counters = g_new0(cs_counters, 1);

    counters->by_name = g_tree_new_full(compare_names, NULL, g_free, g_free);
    return counters;
}

void
cs_counters_destroy(cs_counters *counters)
{
    if (!counters)
        return;
    g_tree_destroy(counters->by_name);
    g_free(counters);
}

int64_t *
cs_counters_get(cs_counters *counters, const char *name)
{
    int64_t *value = g_tree_lookup(counters->by_name, name);

    if (!value) {
        value = g_new0(int64_t, 1);
        g_tree_insert(counters->by_name, g_strdup(name), value);
    }
    return value;
}

void
cs_counters_observe_ms(cs_counters *counters, const char *name, int64_t ms)
{
    static const int64_t bounds_ms[] = {5,   10,   25,   50,   100,  250,
                                        500, 1000, 2500, 5000, 10000};
    char full_name[128];
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(bounds_ms); i++) {
        if (ms > bounds_ms[i])
            continue;
        g_snprintf(full_name, sizeof(full_name),
                   "%s_bucket{le=\"%" PRId64 "\"}", name, bounds_ms[i]);
        (*cs_counters_get(counters, full_name))++;
    }
    g_snprintf(full_name, sizeof(full_name), "%s_bucket{le=\"+Inf\"}", name);
    (*cs_counters_get(counters, full_name))++;
    g_snprintf(full_name, sizeof(full_name), "%s_sum", name);
    *cs_counters_get(counters, full_name) += ms;
    g_snprintf(full_name, sizeof(full_name), "%s_count", name);
    (*cs_counters_get(counters, full_name))++;
}

static gboolean
print_counter(gpointer name, gpointer value, gpointer user_data)
{
    g_string_append_printf(user_data, "%s %" PRId64 "\n", (const char *)name,
                           *(int64_t *)value);
    return FALSE;
}

void
cs_counters_print(const cs_counters *counters, GString *out)
{
    g_tree_foreach(counters->by_name, print_counter, out);
}
