/*
 * The processes that held the cell before this one. One that is cut off from
 * the store, or was frozen, may not know that it has lost the cell and extend
 * leases of workers that have not answered its successor. Without further
 * knowledge these have ended when its epoch row says, see extension.c.
 * The wait for it ends sooner once it has written that its tenure has ended,
 * see ended_tenure.c, or its VM is known to run a later process. The epoch row
 * carries the former holders over takeovers that follow one another, each
 * under its name, so that none is waited for after it has ended.
 */
#include "fleet_internal.h"
#include "corianderstair/members.h"
#include "corianderstair/record.h"

/* Of the rows that tell whether former holders have ended. It lengthens a wait
   of one lease by a sixth at most, with leases of 6 s. */
#define READ_INTERVAL_US CS_SEC_US
/* Workers that are reached at all answer a new holder within this time. */
#define FIRST_WAIT_LOG_US (2 * CS_SEC_US)
#define WAIT_LOG_INTERVAL_US (5 * CS_SEC_US)
/* A line of the log holds 511 bytes, of which an entry takes up to 140. */
#define WORKER_LIST_BYTES_MAX 320

/* Returns the length of the VM's name in an incarnation, see
   cs_fleet_state_init(). */
static size_t
name_length(const char *incarnation)
{
    const char *dash = strrchr(incarnation, '-');

    return dash ? (size_t)(dash - incarnation) : 0;
}

static bool
is_of_vm(const char *incarnation, const char *vm)
{
    size_t length = name_length(incarnation);

    return length > 0 && strlen(vm) == length &&
           strncmp(incarnation, vm, length) == 0;
}

/* Returns when the process of an incarnation has started, by its VM's wall
   clock. */
static uint64_t
start_of(const char *incarnation)
{
    const char *dash = strrchr(incarnation, '-');

    return dash ? g_ascii_strtoull(dash + 1, NULL, 16) : 0;
}

/* Notes that a former holder extends no leases from now on. */
static void
note_end(const cs_fleet *fleet, struct former_holder *former)
{
    int64_t end_us = worker_lease_end_us(fleet, fleet_now(fleet).boot_us);

    former->leases_end_us = MIN(former->leases_end_us, end_us);
    former->ended = true;
}

void
former_holder_reset(cs_fleet *fleet)
{
    memset(&fleet->former, 0, sizeof(fleet->former));
    fleet->former.next_log_us = fleet_now(fleet).boot_us + FIRST_WAIT_LOG_US;
}

/* Replaces the two oldest ones by an unknown one, which is waited for as long
   as for both. */
static void
merge_oldest(struct former_holders *former)
{
    struct former_holder merged = {
        .leases_end_us =
            MAX(former->list[0].leases_end_us, former->list[1].leases_end_us)};

    former->list[0] = merged;
    former->count--;
    memmove(&former->list[1], &former->list[2],
            (former->count - 1) * sizeof(former->list[0]));
}

void
former_holder_add(cs_fleet *fleet, const char *incarnation, uint64_t epoch,
                  int64_t leases_end_us, bool ended)
{
    struct former_holders *former = &fleet->former;
    struct former_holder added = {.leases_end_us = leases_end_us};

    if (leases_end_us <= fleet_now(fleet).boot_us)
        return;
    if (*incarnation) {
        g_strlcpy(added.incarnation, incarnation, sizeof(added.incarnation));
        added.epoch = epoch;
    }
    if (former->count == FORMER_HOLDERS_MAX)
        merge_oldest(former);
    /* A former tenure of this VM has ended. */
    if (ended || is_of_vm(incarnation, fleet->state->settings.name))
        note_end(fleet, &added);
    former->list[former->count++] = added;
}

int64_t
former_holder_leases_end_us(const cs_fleet *fleet)
{
    /* A silent worker is given up after one lease at the earliest, so that one
       whose leases have ended can list how its runs have. */
    int64_t end_us = worker_lease_end_us(fleet, fleet->loaded_us);
    uint32_t i;

    for (i = 0; i < fleet->former.count; i++)
        end_us = MAX(end_us, fleet->former.list[i].leases_end_us);
    return end_us;
}

int64_t
former_holder_extend_until_us(const cs_fleet *fleet)
{
    int64_t end_us = 0;
    uint32_t i;

    for (i = 0; i < fleet->former.count; i++)
        end_us = MAX(end_us, fleet->former.list[i].leases_end_us);
    return end_us - worker_lease_end_us(fleet, 0);
}

void
former_holder_encode(const cs_fleet *fleet, msgpack_packer *packer,
                     int64_t store_ms, int64_t now_us)
{
    uint32_t i;

    msgpack_pack_array(packer, fleet->former.count);
    for (i = 0; i < fleet->former.count; i++) {
        const struct former_holder *former = &fleet->former.list[i];

        msgpack_pack_array(packer, 3);
        cs_record_pack_text(packer, former->incarnation);
        msgpack_pack_uint64(packer, former->epoch);
        msgpack_pack_int64(
            packer,
            store_ms + (former->leases_end_us - now_us) / CS_MS_US + 1);
    }
}

bool
former_holder_decode(struct former_record *out, uint32_t *count,
                     const msgpack_object *list)
{
    cs_record_reader reader;

    *count = 0;
    cs_record_reader_init(&reader, list);
    while (!reader.failed && reader.next < reader.count) {
        struct former_record *record = &out[*count];
        cs_record_reader fields;

        if (*count == FORMER_HOLDERS_MAX)
            return false;
        cs_record_reader_init(&fields, cs_record_read_item(&reader));
        cs_record_read_text(&fields, record->incarnation,
                            sizeof(record->incarnation));
        record->epoch = (uint64_t)cs_record_read_int(&fields);
        record->leases_end_ms = cs_record_read_int(&fields);
        if (fields.failed)
            return false;
        (*count)++;
    }
    return !reader.failed;
}

static void
log_end(const cs_fleet *fleet, const struct former_holder *former,
        const char *reason)
{
    cs_log_event(
        "former-holder-ended",
        "%s, epoch %" PRIu64 ": %s; its leases have ended in %" PRId64 " ms",
        former->incarnation, former->epoch, reason,
        MAX(former->leases_end_us - fleet_now(fleet).boot_us, 0) / CS_MS_US);
}

/* Applies the row of an ended tenure. */
static void
apply_tenure_row(cs_fleet *fleet, const cs_row *row, int64_t store_ms)
{
    struct former_record record;
    int64_t end_us;
    uint32_t i;

    if (!ended_tenure_decode(&record, row)) {
        cs_log_event("tenure-unreadable", "row %.20s", row->key);
        return;
    }
    end_us = fleet_now(fleet).boot_us +
             (record.leases_end_ms - store_ms) * CS_MS_US;
    for (i = 0; i < fleet->former.count; i++) {
        struct former_holder *former = &fleet->former.list[i];

        if (former->ended || former->epoch != record.epoch ||
            strcmp(former->incarnation, record.incarnation) != 0)
            continue;
        former->leases_end_us = MIN(former->leases_end_us, end_us);
        former->ended = true;
        log_end(fleet, former, "it has written so");
    }
}

static void
on_tenure_rows(void *user_data, const cs_store_answer *answer)
{
    struct call *call = user_data;
    cs_fleet *fleet = call->fleet;
    bool stale = call_is_stale(call);
    size_t i;

    g_free(call);
    if (stale)
        return;
    fleet->former.tenure_read_pending = false;
    /* Without the store's clock the rows tell no time. */
    if (answer->code || answer->now_ms <= 0)
        return;
    for (i = 0; i < answer->row_count; i++)
        apply_tenure_row(fleet, &answer->rows[i], answer->now_ms);
}

static void
on_member_row(void *user_data, const cs_store_answer *answer)
{
    struct call *call = user_data;
    cs_fleet *fleet = call->fleet;
    char incarnation[sizeof(fleet->former.list[0].incarnation)];
    bool stale = call_is_stale(call);
    uint32_t i;

    g_free(call);
    if (stale)
        return;
    fleet->former.member_read_pending = false;
    if (answer->code || answer->row_count == 0 ||
        !cs_members_read_incarnation(incarnation, sizeof(incarnation),
                                     &answer->rows[0]))
        return;
    for (i = 0; i < fleet->former.count; i++) {
        struct former_holder *former = &fleet->former.list[i];

        /* The row may still be that of an earlier process: a VM may hold the
           cell before it has written its row, and a write may be carried out
           late. */
        if (former->ended ||
            !is_of_vm(former->incarnation, answer->rows[0].key) ||
            start_of(incarnation) <= start_of(former->incarnation))
            continue;
        note_end(fleet, former);
        log_end(fleet, former, "its VM runs a later process");
    }
}

/* Returns the next former holder that may not have ended, in turn; NULL if
   there is none. */
static const struct former_holder *
next_unended(struct former_holders *former, int64_t now_us)
{
    uint32_t i;

    for (i = 0; i < former->count; i++) {
        const struct former_holder *candidate =
            &former->list[former->next_member++ % former->count];

        if (candidate->incarnation[0] && !candidate->ended &&
            now_us < candidate->leases_end_us)
            return candidate;
    }
    return NULL;
}

static void
read_rows(cs_fleet *fleet)
{
    const cs_store_port *store = fleet->state->ports.store;
    struct former_holders *former = &fleet->former;
    int64_t now_us = fleet_now(fleet).boot_us;
    const struct former_holder *next = next_unended(former, now_us);
    char name[sizeof(next->incarnation)];
    cs_row_range members = {
        .table = CS_TABLE_MEMBERS, .part = "", .from = name, .limit = 1};
    cs_row_range tenures = {.table = CS_TABLE_TENURES, .part = CS_CELL_PART};

    former->next_read_us = now_us + READ_INTERVAL_US;
    if (!next)
        return;
    if (!former->tenure_read_pending) {
        former->tenure_read_pending = true;
        store->read(store->self, &tenures, now_us + STORE_TIMEOUT_US,
                    on_tenure_rows, call_create(fleet, NULL));
    }
    if (!former->member_read_pending) {
        former->member_read_pending = true;
        g_strlcpy(name, next->incarnation, name_length(next->incarnation) + 1);
        store->read(store->self, &members, now_us + STORE_TIMEOUT_US,
                    on_member_row, call_create(fleet, NULL));
    }
}

/* Tasks on workers that have not answered this holder, so that a former one
   may still order them. */
struct unfenced {
    guint workers;
    guint tasks;
    GString *list;         /* of the workers, for the log; NULL for none */
    guint omitted_workers; /* that do not fit into it */
};

/* Names a worker, and what tells whether a former holder may reach it. */
static void
append_worker(const cs_fleet *fleet, struct unfenced *waiting,
              const struct worker *worker)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    if (waiting->list->len > WORKER_LIST_BYTES_MAX) {
        waiting->omitted_workers++;
        return;
    }
    g_string_append_printf(waiting->list, "%s%s in %s, %u tasks, %s",
                           waiting->list->len ? "; " : "", worker->id,
                           worker->zone[0] ? worker->zone : "unknown zone",
                           worker->tasks->len,
                           worker->listed ? "listed" : "not listed");
    if (worker->draining)
        g_string_append_printf(
            waiting->list,
            ", draining, %" PRId64 " ms left %" PRId64 " ms ago",
            worker->remaining_ms, (now_us - worker->drain_seen_us) / CS_MS_US);
}

static void
count_unfenced(const cs_fleet *fleet, struct unfenced *waiting)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (worker->fenced || worker->tasks->len == 0)
            continue;
        waiting->workers++;
        waiting->tasks += worker->tasks->len;
        if (waiting->list)
            append_worker(fleet, waiting, worker);
    }
}

/* Logs which workers wait for former holders. */
static void
log_workers(const cs_fleet *fleet)
{
    struct unfenced waiting = {.list = g_string_new(NULL)};

    count_unfenced(fleet, &waiting);
    cs_log_event("former-holder-workers", "epoch %" PRIu64 ": %s; %u more",
                 fleet->epoch, waiting.list->str, waiting.omitted_workers);
    g_string_free(waiting.list, TRUE);
}

/* Logs what waits for former holders, for whom, and until when. */
static void
log_wait(cs_fleet *fleet, const struct unfenced *waiting, int64_t now_us)
{
    int64_t end_us = former_holder_leases_end_us(fleet);
    GString *names;
    uint32_t i;

    fleet->former.next_log_us = now_us + WAIT_LOG_INTERVAL_US;
    names = g_string_new(NULL);
    for (i = 0; i < fleet->former.count; i++) {
        const struct former_holder *former = &fleet->former.list[i];

        g_string_append_printf(
            names, "; %s, epoch %" PRIu64 ", %s, leases end in %" PRId64 " ms",
            former->incarnation[0] ? former->incarnation : "unknown",
            former->epoch, former->ended ? "ended" : "not known to have ended",
            MAX(former->leases_end_us - now_us, 0) / CS_MS_US);
    }
    cs_log_event(
        "former-holder-wait",
        "%u tasks on %u workers that have not answered wait for %" PRId64
        " ms, epoch %" PRIu64 "; former holders: %u%s",
        waiting->tasks, waiting->workers, (end_us - now_us) / CS_MS_US,
        fleet->epoch, fleet->former.count, names->str);
    g_string_free(names, TRUE);
    log_workers(fleet);
}

void
former_holder_tick(cs_fleet *fleet)
{
    const struct former_holders *former = &fleet->former;
    int64_t now_us = fleet_now(fleet).boot_us;
    struct unfenced waiting = {0};

    if (now_us >= former_holder_leases_end_us(fleet)) {
        *fleet->former_gauge = 0;
        return;
    }
    if (now_us < MIN(former->next_read_us, former->next_log_us))
        return;
    count_unfenced(fleet, &waiting);
    *fleet->former_gauge = waiting.tasks;
    if (waiting.tasks == 0)
        return;
    if (now_us >= former->next_log_us)
        log_wait(fleet, &waiting, now_us);
    if (now_us >= former->next_read_us)
        read_rows(fleet);
}
