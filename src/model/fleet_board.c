#include "corianderstair/fleet_board.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <inttypes.h>
#include <string.h>

void
cs_fleet_board_init(cs_fleet_board *board, const cs_fleet_ports *ports,
                    const cs_vm_settings *settings, cs_counters *counters)
{
    cs_now now;

    memset(board, 0, sizeof(*board));
    board->ports = *ports;
    board->settings = *settings;
    board->counters = counters;
    board->cell.waiting =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    now = cs_fleet_board_now(board);
    g_snprintf(board->incarnation, sizeof(board->incarnation),
               "%.60s-%" PRIx64, settings->name, (uint64_t)now.wall_us);
}

void
cs_fleet_board_dispose(cs_fleet_board *board)
{
    cs_fleet_config_unref(board->config);
    g_hash_table_destroy(board->cell.waiting);
}

cs_now
cs_fleet_board_now(const cs_fleet_board *board)
{
    return board->ports.now(board->ports.now_data);
}

int64_t *
cs_fleet_board_counter(const cs_fleet_board *board, const char *name)
{
    return cs_counters_get(board->counters, name);
}

#define WRITE_WEIGHT 0.2
#define PATIENCE_FACTOR 5
#define PATIENCE_MIN_US (250 * CS_MS_US)
#define PATIENCE_MAX_US (900 * CS_MS_US)

void
cs_fleet_board_store_wrote(cs_fleet_board *board, int64_t us)
{
    if (board->store_write_us <= 0)
        board->store_write_us = (double)us;
    board->store_write_us +=
        WRITE_WEIGHT * ((double)us - board->store_write_us);
}

int64_t
cs_fleet_board_write_patience_us(const cs_fleet_board *board)
{
    int64_t patience_us = (int64_t)(PATIENCE_FACTOR * board->store_write_us);

    if (patience_us <= 0)
        return PATIENCE_MAX_US;
    return CLAMP(patience_us, PATIENCE_MIN_US, PATIENCE_MAX_US);
}

void
cs_fleet_board_store_answered(cs_fleet_board *board, int code)
{
    if (code == 0 || code == CS_E_CONFLICT || code == CS_E_TOO_OLD)
        board->store_answer_us = cs_fleet_board_now(board).boot_us;
}

bool
cs_vm_is_candidate(const cs_vm_rank *rank)
{
    return !rank->known || rank->in_zone < CS_CANDIDATES_PER_ZONE;
}
