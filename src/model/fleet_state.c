#include "corianderstair/fleet_state.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <inttypes.h>
#include <string.h>

void
cs_fleet_state_init(cs_fleet_state *state, const cs_fleet_ports *ports,
                    const cs_vm_settings *settings, cs_counters *counters)
{
    cs_now now;

    memset(state, 0, sizeof(*state));
    state->ports = *ports;
    state->settings = *settings;
    state->counters = counters;
    state->evacuations = cs_evacuations_create(ports->evacuation_prefix);
    state->cell.waiting_jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    now = cs_fleet_state_now(state);
    g_snprintf(state->incarnation, sizeof(state->incarnation),
               "%.60s-%" PRIx64, settings->name, (uint64_t)now.wall_us);
}

static void
drop_forecast(cs_cell_view *cell)
{
    if (cell->forecast)
        g_byte_array_unref(cell->forecast);
    cell->forecast = NULL;
}

void
cs_fleet_state_dispose(cs_fleet_state *state)
{
    cs_fleet_config_unref(state->config);
    cs_evacuations_destroy(state->evacuations);
    g_hash_table_destroy(state->cell.waiting_jobs);
    drop_forecast(&state->cell);
}

int64_t
cs_fleet_state_retention_ms(const cs_fleet_state *state)
{
    return state->settings.bounds.retention_ms + CS_RETENTION_EXTRA_MS;
}

uint32_t
cs_cell_view_queue_hash(const char *queue)
{
    return g_str_hash(queue);
}

void
cs_cell_view_hash_name(char out[CS_QUEUE_HASH_NAME_BYTES], uint32_t hash)
{
    g_snprintf(out, CS_QUEUE_HASH_NAME_BYTES, "#%08" PRIx32, hash);
}

uint32_t
cs_cell_view_waiting_jobs(const cs_cell_view *cell, const char *queue)
{
    char hash[CS_QUEUE_HASH_NAME_BYTES];
    gpointer count;

    if (g_hash_table_lookup_extended(cell->waiting_jobs, queue, NULL, &count))
        return GPOINTER_TO_UINT(count);
    cs_cell_view_hash_name(hash, cs_cell_view_queue_hash(queue));
    return GPOINTER_TO_UINT(g_hash_table_lookup(cell->waiting_jobs, hash));
}

cs_now
cs_fleet_state_now(const cs_fleet_state *state)
{
    return state->ports.now(state->ports.now_data);
}

int64_t *
cs_fleet_state_counter(const cs_fleet_state *state, const char *name)
{
    return cs_counters_get(state->counters, name);
}

/* Weight of the newest write in the moving average. */
#define WRITE_TIME_WEIGHT 0.2
/* Timeout of a write, in multiples of the average. */
#define WRITE_TIMEOUT_FACTOR 5
#define WRITE_TIMEOUT_MIN_US (250 * CS_MS_US)
#define WRITE_TIMEOUT_MAX_US (900 * CS_MS_US)

void
cs_fleet_state_record_write_time(cs_fleet_state *state, int64_t elapsed_us)
{
    if (state->mean_write_us <= 0)
        state->mean_write_us = (double)elapsed_us;
    state->mean_write_us +=
        WRITE_TIME_WEIGHT * ((double)elapsed_us - state->mean_write_us);
}

int64_t
cs_fleet_state_write_timeout_us(const cs_fleet_state *state)
{
    int64_t timeout_us =
        (int64_t)(WRITE_TIMEOUT_FACTOR * state->mean_write_us);

    if (timeout_us <= 0)
        return WRITE_TIMEOUT_MAX_US;
    return CLAMP(timeout_us, WRITE_TIMEOUT_MIN_US, WRITE_TIMEOUT_MAX_US);
}

void
cs_fleet_state_record_store_answer(cs_fleet_state *state, int code)
{
    int64_t now_us = cs_fleet_state_now(state).boot_us;

    if (code == 0 || code == CS_E_CONFLICT || code == CS_E_TOO_OLD ||
        code == CS_E_TOO_LARGE) {
        state->last_store_answer_us = now_us;
        state->store_failing_since_us = 0;
    }
    else if (state->store_failing_since_us == 0) {
        state->store_failing_since_us = now_us;
    }
}

void
cs_fleet_state_set_forecast(cs_fleet_state *state, const void *bytes,
                            size_t size_bytes, int64_t store_ms)
{
    cs_cell_view *cell = &state->cell;

    drop_forecast(cell);
    cell->forecast_serial++;
    if (!bytes || store_ms <= 0)
        return;
    cell->forecast = g_byte_array_new();
    g_byte_array_append(cell->forecast, bytes, (guint)size_bytes);
    cell->forecast_read_us = cs_fleet_state_now(state).boot_us;
    cell->forecast_read_ms = store_ms;
}

bool
cs_vm_is_candidate(const cs_vm_rank *rank)
{
    return !rank->known || rank->zone_rank < CS_CANDIDATES_PER_ZONE;
}
