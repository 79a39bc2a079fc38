#include "corianderstair/fleet_config.h"

#include <string.h>

static void
clear_organisation(gpointer data)
{
    cs_organisation_config *organisation = data;

    if (organisation->keys)
        g_ptr_array_free(organisation->keys, TRUE);
}

cs_fleet_config *
cs_fleet_config_create(void)
{
    cs_fleet_config *config = g_new0(cs_fleet_config, 1);

    config->ref_count = 1;
    config->queues = g_array_new(FALSE, TRUE, sizeof(cs_queue_config));
    config->services = g_array_new(FALSE, TRUE, sizeof(cs_service_config));
    config->organisations =
        g_array_new(FALSE, TRUE, sizeof(cs_organisation_config));
    g_array_set_clear_func(config->organisations, clear_organisation);
    config->queues_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    config->organisations_by_key = g_hash_table_new(g_str_hash, g_str_equal);
    return config;
}

void
cs_fleet_config_build_indexes(cs_fleet_config *config)
{
    guint i;
    guint k;

    for (i = 0; i < config->queues->len; i++) {
        cs_queue_config *queue =
            &g_array_index(config->queues, cs_queue_config, i);

        g_hash_table_insert(config->queues_by_name, queue->name, queue);
    }
    for (i = 0; i < config->organisations->len; i++) {
        cs_organisation_config *organisation =
            &g_array_index(config->organisations, cs_organisation_config, i);

        for (k = 0; k < organisation->keys->len; k++)
            g_hash_table_insert(config->organisations_by_key,
                                g_ptr_array_index(organisation->keys, k),
                                organisation);
    }
}

cs_fleet_config *
cs_fleet_config_ref(cs_fleet_config *config)
{
    config->ref_count++;
    return config;
}

void
cs_fleet_config_unref(cs_fleet_config *config)
{
    if (!config || --config->ref_count > 0)
        return;
    g_hash_table_destroy(config->queues_by_name);
    g_hash_table_destroy(config->organisations_by_key);
    g_array_free(config->queues, TRUE);
    g_array_free(config->services, TRUE);
    g_array_free(config->organisations, TRUE);
    g_free(config);
}

const cs_queue_config *
cs_fleet_config_route(const cs_fleet_config *config, const char *host,
                      const char *path, const char **rest)
{
    const cs_queue_config *best = NULL;
    size_t best_length = 0;
    guint i;

    for (i = 0; i < config->queues->len; i++) {
        const cs_queue_config *queue =
            &g_array_index(config->queues, cs_queue_config, i);
        size_t length = strlen(queue->prefix);

        if (best && length <= best_length)
            continue;
        if (g_ascii_strcasecmp(queue->host, host) != 0 ||
            strncmp(queue->prefix, path, length) != 0)
            continue;
        best = queue;
        best_length = length;
    }
    if (best)
        *rest = path + best_length;
    return best;
}

const cs_queue_config *
cs_fleet_config_queue(const cs_fleet_config *config, const char *name)
{
    return g_hash_table_lookup(config->queues_by_name, name);
}

const cs_organisation_config *
cs_fleet_config_organisation_by_key(const cs_fleet_config *config,
                                    const char *key)
{
    return g_hash_table_lookup(config->organisations_by_key, key);
}

const cs_organisation_config *
cs_fleet_config_organisation_by_name(const cs_fleet_config *config,
                                     const char *name)
{
    guint i;

    for (i = 0; i < config->organisations->len; i++) {
        const cs_organisation_config *organisation =
            &g_array_index(config->organisations, cs_organisation_config, i);

        if (strcmp(organisation->name, name) == 0)
            return organisation;
    }
    return NULL;
}

const cs_service_config *
cs_fleet_config_service(const cs_fleet_config *config, const char *name)
{
    guint i;

    for (i = 0; i < config->services->len; i++) {
        const cs_service_config *service =
            &g_array_index(config->services, cs_service_config, i);

        if (strcmp(service->name, name) == 0)
            return service;
    }
    return NULL;
}
