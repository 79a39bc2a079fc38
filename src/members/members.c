/*
 * Each VM rewrites its row, with a timestamp of the store's clock, before it
 * becomes stale. Stale rows are ignored, so the rows of VMs that are gone need
 * not be removed.
 */
#include "corianderstair/members.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/record.h"

#include <string.h>

#define CALL_TIMEOUT_US (900 * CS_MS_US)
#define RETRY_INTERVAL_US CS_SEC_US
/* The VMs of a new deployment start together, and have written their rows
   within this time. */
#define SECOND_READ_DELAY_US (400 * CS_MS_US)
/* The first read is limited to this number of rows. If all VMs restarted with
   a read of all rows, its bytes would grow with the square of their number:
   300 VMs took 30 MB of the store's link before any of them held the cell. In
   a larger deployment, VMs that may be candidates read all rows next. The
   others have the rows of enough peers and wait for a time between the two
   bounds. */
#define FIRST_READ_ROWS 64
/* The first rows by name may all be of one zone, which may be cut off from the
   store. So they fill only a part of the router's list of peers, and a read of
   all rows adds the strongest VMs of all zones. */
#define FIRST_READ_PEERS 16
#define OUTRANKED_READ_DELAY_MIN_US (2 * CS_SEC_US)
#define OUTRANKED_READ_DELAY_MAX_US (12 * CS_SEC_US)
#define CANDIDATE_READ_INTERVAL_US (10 * CS_SEC_US)
/* VMs that are not candidates for the cell need the others only as relays to
   the store. */
#define OTHER_READ_INTERVAL_US (30 * CS_SEC_US)
#define WRITE_INTERVAL_US (40 * CS_SEC_US)
/* A row is stale once two writes were missed. */
#define MAX_ROW_AGE_MS 100000
#define RECORD_VERSION 1
/* Index of the incarnation in the record, which older versions lack. */
#define INCARNATION_FIELD 6

struct cs_members {
    cs_fleet_state *state;
    cs_store_router *router;
    GPtrArray *list;             /* of cs_member, strongest first */
    bool call_open;              /* a read or write is in flight */
    uint32_t read_count;         /* successful reads */
    int64_t next_read_us;        /* boot clock */
    int64_t next_write_us;       /* boot clock */
    int64_t store_clock_ms;      /* the store's clock; 0 unknown */
    int64_t store_clock_read_us; /* boot clock when store_clock_ms was read */
};

static int64_t
now_us(const cs_members *members)
{
    return cs_fleet_state_now(members->state).boot_us;
}

static int64_t
own_cpu_milli(const cs_members *members)
{
    return (int64_t)(members->state->settings.cpu_share * 1000.0);
}

static void
encode_own_row(const cs_members *members, GByteArray *out)
{
    const cs_vm_settings *settings = &members->state->settings;
    int64_t elapsed_us = now_us(members) - members->store_clock_read_us;
    msgpack_packer packer;

    cs_record_packer_init(&packer, out);
    msgpack_pack_array(&packer, 7);
    msgpack_pack_int64(&packer, RECORD_VERSION);
    cs_record_pack_text(&packer, settings->peer_address);
    cs_record_pack_text(&packer, settings->link_address);
    cs_record_pack_text(&packer, settings->zone);
    msgpack_pack_int64(&packer, own_cpu_milli(members));
    msgpack_pack_int64(&packer,
                       members->store_clock_ms + elapsed_us / CS_MS_US);
    cs_record_pack_text(&packer, members->state->incarnation);
}

static bool
decode_row(cs_member *out, int64_t *written_ms, const cs_row *row)
{
    cs_packed_record record;
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

bool
cs_members_read_incarnation(char *out, size_t size, const cs_row *row)
{
    cs_packed_record record;
    uint32_t i;
    bool ok;

    cs_record_open(&record, row->value, row->size_bytes);
    ok = cs_record_read_int(&record.reader) == RECORD_VERSION;
    for (i = 1; i < INCARNATION_FIELD; i++)
        cs_record_read_item(&record.reader);
    cs_record_read_text(&record.reader, out, size);
    ok = ok && !record.reader.failed;
    cs_record_close(&record);
    return ok;
}

static gint
compare_strength(gconstpointer first_item, gconstpointer second_item)
{
    const cs_member *first = *(const cs_member *const *)first_item;
    const cs_member *second = *(const cs_member *const *)second_item;

    if (first->cpu_milli != second->cpu_milli)
        return first->cpu_milli > second->cpu_milli ? -1 : 1;
    return strcmp(first->name, second->name);
}

/*
 * Counts the stronger VMs in this VM's zone, and the candidates for the cell
 * of all zones that precede this VM.
 */
static void
update_own_rank(cs_members *members)
{
    const cs_vm_settings *settings = &members->state->settings;
    cs_vm_rank rank = {.known = true};
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    guint i;

    for (i = 0; i < members->list->len; i++) {
        const cs_member *member = g_ptr_array_index(members->list, i);
        guint members_ahead =
            GPOINTER_TO_UINT(g_hash_table_lookup(zones, member->zone));

        if (strcmp(member->name, settings->name) == 0) {
            rank.zone_rank = members_ahead;
            break;
        }
        if (members_ahead < CS_CANDIDATES_PER_ZONE) {
            rank.candidates_before++;
            rank.stronger_before |= member->cpu_milli > own_cpu_milli(members);
        }
        g_hash_table_insert(zones, (gpointer)member->zone,
                            GUINT_TO_POINTER(members_ahead + 1));
    }
    g_hash_table_destroy(zones);
    members->state->rank = rank;
}

/* Adds the strongest peers first, because the router limits their number. */
static void
add_peers(cs_members *members, guint max_peers)
{
    guint i;

    for (i = 0; i < MIN(members->list->len, max_peers); i++) {
        const cs_member *member = g_ptr_array_index(members->list, i);

        if (strcmp(member->name, members->state->settings.name) != 0)
            cs_store_router_add_peer(members->router, member->peer_address);
    }
}

static void
load_rows(cs_members *members, const cs_store_answer *answer)
{
    cs_member member;
    int64_t written_ms;
    size_t i;

    g_ptr_array_set_size(members->list, 0);
    for (i = 0; i < answer->row_count; i++) {
        if (!decode_row(&member, &written_ms, &answer->rows[i])) {
            cs_log_event("member-unreadable", "ignoring the row of VM %.60s",
                         answer->rows[i].key);
            continue;
        }
        if (answer->now_ms - written_ms > MAX_ROW_AGE_MS)
            continue;
        g_ptr_array_add(members->list, g_memdup2(&member, sizeof(member)));
    }
    g_ptr_array_sort(members->list, compare_strength);
    add_peers(members,
              answer->has_more ? FIRST_READ_PEERS : members->list->len);
}

static void
update_store_clock(cs_members *members, const cs_store_answer *answer)
{
    if (answer->code || answer->now_ms <= 0)
        return;
    members->store_clock_ms = answer->now_ms;
    members->store_clock_read_us = now_us(members);
}

static void
on_written(void *user_data, const cs_store_answer *answer)
{
    cs_members *members = user_data;

    members->call_open = false;
    update_store_clock(members, answer);
    members->next_write_us =
        now_us(members) +
        (answer->code ? RETRY_INTERVAL_US : WRITE_INTERVAL_US);
}

static int64_t
read_interval_us(const cs_members *members)
{
    return cs_vm_is_candidate(&members->state->rank)
               ? CANDIDATE_READ_INTERVAL_US
               : OTHER_READ_INTERVAL_US;
}

/* Returns whether the listed VMs alone show that this one is no candidate. */
static bool
is_outranked(const cs_members *members)
{
    const cs_vm_settings *settings = &members->state->settings;
    cs_member own = {.cpu_milli = own_cpu_milli(members)};
    const cs_member *own_pointer = &own;
    uint32_t ahead = 0;
    guint i;

    g_strlcpy(own.name, settings->name, sizeof(own.name));
    for (i = 0; i < members->list->len; i++) {
        const cs_member *member = g_ptr_array_index(members->list, i);

        ahead += strcmp(member->zone, settings->zone) == 0 &&
                 compare_strength(&member, &own_pointer) < 0;
    }
    return ahead >= CS_CANDIDATES_PER_ZONE;
}

static int64_t
outranked_read_delay_us(const cs_members *members)
{
    return OUTRANKED_READ_DELAY_MIN_US +
           g_str_hash(members->state->incarnation) %
               (OUTRANKED_READ_DELAY_MAX_US - OUTRANKED_READ_DELAY_MIN_US);
}

static bool
has_own_row(const cs_members *members)
{
    guint i;

    for (i = 0; i < members->list->len; i++) {
        const cs_member *member = g_ptr_array_index(members->list, i);

        if (strcmp(member->name, members->state->settings.name) == 0)
            return true;
    }
    return false;
}

/*
 * Handles the first read since the start. Returns the delay until the next.
 * If this VM has a row already, the deployment has been running and the rows
 * of the other VMs are there as well.
 */
static int64_t
finish_first_read(cs_members *members, bool truncated)
{
    if (truncated) {
        if (!is_outranked(members))
            return 0;
        members->state->rank.known = true;
        members->state->rank.zone_rank = CS_CANDIDATES_PER_ZONE;
        return outranked_read_delay_us(members);
    }
    if (!has_own_row(members))
        return SECOND_READ_DELAY_US;
    update_own_rank(members);
    return read_interval_us(members);
}

static void
on_read(void *user_data, const cs_store_answer *answer)
{
    cs_members *members = user_data;

    members->call_open = false;
    members->next_read_us = now_us(members) + RETRY_INTERVAL_US;
    update_store_clock(members, answer);
    if (answer->code)
        return;
    load_rows(members, answer);
    members->read_count++;
    if (members->read_count == 1) {
        members->next_read_us =
            now_us(members) + finish_first_read(members, answer->has_more);
        return;
    }
    update_own_rank(members);
    members->next_read_us = now_us(members) + read_interval_us(members);
}

static void
write_own_row(cs_members *members)
{
    const cs_store_port *store = members->state->ports.store;
    GByteArray *value = g_byte_array_new();
    cs_row row = {.table = CS_TABLE_MEMBERS,
                  .part = "",
                  .key = members->state->settings.name};
    cs_row_change change = {.puts = &row, .put_count = 1};

    encode_own_row(members, value);
    row.value = value->data;
    row.size_bytes = value->len;
    members->call_open = true;
    store->change(store->self, &change, now_us(members) + CALL_TIMEOUT_US,
                  on_written, members);
    g_byte_array_unref(value);
}

static void
read_rows(cs_members *members)
{
    const cs_store_port *store = members->state->ports.store;
    cs_row_range range = {.table = CS_TABLE_MEMBERS,
                          .part = "",
                          .limit =
                              members->read_count == 0 ? FIRST_READ_ROWS : 0};

    members->call_open = true;
    store->read(store->self, &range, now_us(members) + CALL_TIMEOUT_US,
                on_read, members);
}

cs_members *
cs_members_create(cs_fleet_state *state, cs_store_router *router)
{
    cs_members *members = g_new0(cs_members, 1);

    members->state = state;
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

    cs_store_router_tick(members->router);
    members->state->relayed = cs_store_router_is_relayed(members->router);
    members->state->route_changes =
        cs_store_router_route_changes(members->router);
    members->state->refused = cs_store_router_is_refused(members->router);
    if (members->call_open || !members->state->settings.peer_address[0])
        return;
    /* The first read provides the store's clock, which the row contains. */
    if (members->read_count > 0 && now >= members->next_write_us)
        write_own_row(members);
    else if (now >= members->next_read_us)
        read_rows(members);
}

const GPtrArray *
cs_members_list(const cs_members *members)
{
    return members->list;
}
