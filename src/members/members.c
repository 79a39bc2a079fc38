/*
 * A row is written again before it counts as old, by the store's clock, so
 * that VMs which are gone are passed over without anyone removing their rows.
 */
#include "corianderstair/members.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/record.h"

#include <string.h>

#define ANSWER_US (900 * CS_MS_US)
#define RETRY_US CS_SEC_US
/* The VMs of a deployment start together; their rows are there by then. */
#define SECOND_READ_US (400 * CS_MS_US)
#define READ_US (10 * CS_SEC_US)
/* VMs that will not hold the cell need the others only as ways to the store.
 */
#define READ_WEAK_US (30 * CS_SEC_US)
#define WRITE_US (40 * CS_SEC_US)
/* Two writes missed. */
#define FRESH_MS 100000
#define RECORD_VERSION 1

struct cs_members {
    cs_fleet_board *board;
    cs_store_router *router;
    GPtrArray *list; /* of cs_member, strongest first */
    bool open;
    uint32_t reads;
    int64_t next_read_us;  /* boot clock */
    int64_t next_write_us; /* boot clock */
    int64_t store_ms;      /* the store's clock at store_us; 0 unknown */
    int64_t store_us;      /* boot clock */
};

static int64_t
now_us(const cs_members *members)
{
    return cs_fleet_board_now(members->board).boot_us;
}

static int64_t
own_cpu_milli(const cs_members *members)
{
    return (int64_t)(members->board->settings.cpu_share * 1000.0);
}

static void
encode_own(const cs_members *members, GByteArray *out)
{
    const cs_vm_settings *settings = &members->board->settings;
    int64_t since_us = now_us(members) - members->store_us;
    msgpack_packer packer;

    cs_record_begin(&packer, out);
    msgpack_pack_array(&packer, 6);
    msgpack_pack_int64(&packer, RECORD_VERSION);
    cs_record_text(&packer, settings->peer_address);
    cs_record_text(&packer, settings->link_address);
    cs_record_text(&packer, settings->zone);
    msgpack_pack_int64(&packer, own_cpu_milli(members));
    msgpack_pack_int64(&packer, members->store_ms + since_us / CS_MS_US);
}

static bool
decode(cs_member *out, int64_t *written_ms, const cs_row *row)
{
    cs_record record;
    bool ok;

    memset(out, 0, sizeof(*out));
    g_strlcpy(out->name, row->key, sizeof(out->name));
    cs_record_open(&record, row->value, row->size_bytes);
    ok = cs_record_read_int(&record.reader) == RECORD_VERSION;
    cs_record_read_text(&record.reader, out->peer_address,
                        sizeof(out->peer_address));
    cs_record_read_text(&record.reader, out->link_address,
                        sizeof(out->link_address));
    cs_record_read_text(&record.reader, out->zone, sizeof(out->zone));
    out->cpu_milli = cs_record_read_int(&record.reader);
    *written_ms = cs_record_read_int(&record.reader);
    ok = ok && !record.reader.failed;
    cs_record_close(&record);
    return ok;
}

static gint
compare(gconstpointer a, gconstpointer b)
{
    const cs_member *x = *(const cs_member *const *)a;
    const cs_member *y = *(const cs_member *const *)b;

    if (x->cpu_milli != y->cpu_milli)
        return x->cpu_milli > y->cpu_milli ? -1 : 1;
    return strcmp(x->name, y->name);
}

/* Position of this VM among those of its zone, and of its like among all. */
static void
rank_own(cs_members *members)
{
    const cs_vm_settings *settings = &members->board->settings;
    cs_vm_rank rank = {.known = true};
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    guint i;

    for (i = 0; i < members->list->len; i++) {
        const cs_member *m = g_ptr_array_index(members->list, i);
        guint before = GPOINTER_TO_UINT(g_hash_table_lookup(zones, m->zone));

        if (strcmp(m->name, settings->name) == 0) {
            rank.in_zone = before;
            break;
        }
        if (before < CS_CANDIDATES_PER_ZONE) {
            rank.candidates_before++;
            rank.outdone |= m->cpu_milli > own_cpu_milli(members);
        }
        g_hash_table_insert(zones, (gpointer)m->zone,
                            GUINT_TO_POINTER(before + 1));
    }
    g_hash_table_destroy(zones);
    members->board->rank = rank;
}

/* The router knows a limited number of peers; it gets the strongest. */
static void
add_ways(cs_members *members)
{
    guint i;

    for (i = 0; i < members->list->len; i++) {
        const cs_member *m = g_ptr_array_index(members->list, i);

        if (strcmp(m->name, members->board->settings.name) != 0)
            cs_store_router_add_peer(members->router, m->peer_address);
    }
}

static void
take_rows(cs_members *members, const cs_store_answer *answer)
{
    cs_member member;
    int64_t written_ms;
    size_t i;

    g_ptr_array_set_size(members->list, 0);
    for (i = 0; i < answer->row_count; i++) {
        if (!decode(&member, &written_ms, &answer->rows[i])) {
            cs_log_event("member-unreadable", "row %.60s",
                         answer->rows[i].key);
            continue;
        }
        if (answer->now_ms - written_ms > FRESH_MS)
            continue;
        g_ptr_array_add(members->list, g_memdup2(&member, sizeof(member)));
    }
    g_ptr_array_sort(members->list, compare);
    add_ways(members);
}

static void
note_clock(cs_members *members, const cs_store_answer *answer)
{
    if (answer->code || answer->now_ms <= 0)
        return;
    members->store_ms = answer->now_ms;
    members->store_us = now_us(members);
}

static void
on_written(void *user_data, const cs_store_answer *answer)
{
    cs_members *members = user_data;

    members->open = false;
    note_clock(members, answer);
    members->next_write_us =
        now_us(members) + (answer->code ? RETRY_US : WRITE_US);
}

static int64_t
read_pause_us(const cs_members *members)
{
    if (members->reads == 1)
        return SECOND_READ_US;
    return cs_vm_is_candidate(&members->board->rank) ? READ_US : READ_WEAK_US;
}

static void
on_read(void *user_data, const cs_store_answer *answer)
{
    cs_members *members = user_data;

    members->open = false;
    members->next_read_us = now_us(members) + RETRY_US;
    note_clock(members, answer);
    if (answer->code)
        return;
    take_rows(members, answer);
    members->reads++;
    /* The first read comes before most others have written. */
    if (members->reads > 1)
        rank_own(members);
    members->next_read_us = now_us(members) + read_pause_us(members);
}

static void
write_own(cs_members *members)
{
    const cs_store_port *store = members->board->ports.store;
    GByteArray *value = g_byte_array_new();
    cs_row row = {.table = CS_TABLE_MEMBERS,
                  .part = "",
                  .key = members->board->settings.name};
    cs_row_change change = {.puts = &row, .put_count = 1};

    encode_own(members, value);
    row.value = value->data;
    row.size_bytes = value->len;
    members->open = true;
    store->change(store->self, &change, now_us(members) + ANSWER_US,
                  on_written, members);
    g_byte_array_unref(value);
}

static void
read_all(cs_members *members)
{
    const cs_store_port *store = members->board->ports.store;
    cs_row_range range = {.table = CS_TABLE_MEMBERS, .part = ""};

    members->open = true;
    store->read(store->self, &range, now_us(members) + ANSWER_US, on_read,
                members);
}

cs_members *
cs_members_create(cs_fleet_board *board, cs_store_router *router)
{
    cs_members *members = g_new0(cs_members, 1);

    members->board = board;
    members->router = router;
    members->list = g_ptr_array_new_with_free_func(g_free);
    return members;
}

void
cs_members_destroy(cs_members *members)
{
    if (!members)
        return;
    g_ptr_array_free(members->list, TRUE);
    g_free(members);
}

void
cs_members_tick(cs_members *members)
{
    int64_t now = now_us(members);

    members->board->relayed = cs_store_router_is_relayed(members->router);
    if (members->open || !members->board->settings.peer_address[0])
        return;
    /* The store's clock, which a row tells, is known from the first read. */
    if (members->reads > 0 && now >= members->next_write_us)
        write_own(members);
    else if (now >= members->next_read_us)
        read_all(members);
}

const GPtrArray *
cs_members_list(const cs_members *members)
{
    return members->list;
}
