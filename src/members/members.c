#include "corianderstair/members.h"
#include "corianderstair/errors.h"

#include <string.h>

#define ANSWER_US (900 * CS_MS_US)
#define RETRY_US CS_SEC_US
#define READ_US (10 * CS_SEC_US)
#define ADDRESS_BYTES 48

struct cs_members {
    cs_fleet_board *board;
    cs_store_router *router;
    bool open;
    bool written;
    int64_t next_us; /* boot clock */
};

static void
on_written(void *data, const cs_store_answer *answer)
{
    cs_members *members = data;

    members->open = false;
    members->written = answer->code == 0;
    if (!members->written)
        members->next_us =
            cs_fleet_board_now(members->board).boot_us + RETRY_US;
}

static void
on_read(void *data, const cs_store_answer *answer)
{
    cs_members *members = data;
    int64_t now_us = cs_fleet_board_now(members->board).boot_us;
    char address[ADDRESS_BYTES];
    size_t i;

    members->open = false;
    members->next_us = now_us + (answer->code ? RETRY_US : READ_US);
    for (i = 0; answer->code == 0 && i < answer->row_count; i++) {
        const cs_row *row = &answer->rows[i];

        if (strcmp(row->key, members->board->settings.name) == 0 ||
            row->size_bytes >= sizeof(address))
            continue;
        memcpy(address, row->value, row->size_bytes);
        address[row->size_bytes] = '\0';
        cs_store_router_add_peer(members->router, address);
    }
}

static void
write_own(cs_members *members, int64_t now_us)
{
    const cs_store_port *store = members->board->ports.store;
    const cs_vm_settings *settings = &members->board->settings;
    cs_row row = {.table = CS_TABLE_MEMBERS,
                  .part = "",
                  .key = settings->name,
                  .value = settings->peer_address,
                  .size_bytes = strlen(settings->peer_address)};
    cs_row_change change = {.puts = &row, .put_count = 1};

    members->open = true;
    store->change(store->self, &change, now_us + ANSWER_US, on_written,
                  members);
}

static void
read_others(cs_members *members, int64_t now_us)
{
    const cs_store_port *store = members->board->ports.store;
    cs_row_range range = {.table = CS_TABLE_MEMBERS, .part = ""};

    members->open = true;
    store->read(store->self, &range, now_us + ANSWER_US, on_read, members);
}

cs_members *
cs_members_create(cs_fleet_board *board, cs_store_router *router)
{
    cs_members *members = g_new0(cs_members, 1);

    members->board = board;
    members->router = router;
    return members;
}

void
cs_members_destroy(cs_members *members)
{
    g_free(members);
}

void
cs_members_tick(cs_members *members)
{
    int64_t now_us = cs_fleet_board_now(members->board).boot_us;

    if (members->open || now_us < members->next_us ||
        !members->board->settings.peer_address[0])
        return;
    if (!members->written)
        write_own(members, now_us);
    else
        read_others(members, now_us);
}
