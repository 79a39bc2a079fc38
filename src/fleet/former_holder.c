/*
 * The processes that held the cell before this one. One that is cut off from
 * the store, or was frozen, may not know that it has lost the cell and extend
 * leases of workers that have not answered its successor. How long it does is
 * bounded; the wait ends sooner once its VM is known to run another process.
 */
#include "fleet_internal.h"
#include "corianderstair/members.h"

#define READ_INTERVAL_US CS_SEC_US
/* Workers that are reached at all answer a new holder within this time. */
#define FIRST_WAIT_LOG_US (2 * CS_SEC_US)
#define WAIT_LOG_INTERVAL_US (5 * CS_SEC_US)

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

static void
note_end(cs_fleet *fleet)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    fleet->former.extends_until_us =
        MIN(fleet->former.extends_until_us, now_us);
    fleet->former.incarnation[0] = '\0';
}

void
former_holder_note(cs_fleet *fleet, const char *incarnation,
                   int64_t silent_since_us, bool released,
                   int64_t older_until_us)
{
    struct former_holder *former = &fleet->former;

    memset(former, 0, sizeof(*former));
    former->older_until_us = older_until_us;
    former->next_log_us = fleet_now(fleet).boot_us + FIRST_WAIT_LOG_US;
    if (!*incarnation)
        return;
    g_strlcpy(former->incarnation, incarnation, sizeof(former->incarnation));
    former->extends_until_us = silent_since_us + EXTEND_WITHOUT_STORE_US;
    /* An earlier process of this VM has ended. */
    if (released || is_of_vm(incarnation, fleet->state->settings.name))
        note_end(fleet);
}

int64_t
former_holder_extends_until_us(const cs_fleet *fleet)
{
    return MAX(fleet->former.extends_until_us, fleet->former.older_until_us);
}

static void
on_row(void *user_data, const cs_store_answer *answer)
{
    struct call *call = user_data;
    cs_fleet *fleet = call->fleet;
    struct former_holder *former = &fleet->former;
    char incarnation[sizeof(former->incarnation)];
    bool stale = call_is_stale(call);

    g_free(call);
    if (stale)
        return;
    former->read_pending = false;
    /* The row may still be that of an earlier process: a VM may hold the cell
       before it has written its row, and a write may be carried out late. */
    if (answer->code || answer->row_count == 0 ||
        !is_of_vm(former->incarnation, answer->rows[0].key) ||
        !cs_members_read_incarnation(incarnation, sizeof(incarnation),
                                     &answer->rows[0]) ||
        start_of(incarnation) <= start_of(former->incarnation))
        return;
    cs_log_event("former-holder-ended", "%s runs now", incarnation);
    note_end(fleet);
}

/* Tasks on workers that have not answered this holder, so that a former one
   may still order them. */
struct unfenced {
    guint workers;
    guint tasks;
};

static struct unfenced
count_unfenced(const cs_fleet *fleet)
{
    struct unfenced count = {0};
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (worker->fenced || worker->tasks->len == 0)
            continue;
        count.workers++;
        count.tasks += worker->tasks->len;
    }
    return count;
}

/* Logs what waits for former holders, for whom, and until when. */
static void
log_wait(cs_fleet *fleet, const struct unfenced *waiting, int64_t now_us)
{
    struct former_holder *former = &fleet->former;
    int64_t end_us =
        worker_lease_end_us(fleet, former_holder_extends_until_us(fleet));

    if (now_us < former->next_log_us || now_us >= end_us)
        return;
    former->next_log_us = now_us + WAIT_LOG_INTERVAL_US;
    cs_log_event(
        "former-holder-wait",
        "%u tasks on %u workers that have not answered, epoch %" PRIu64
        ", former holder %s; its leases have ended in %" PRId64
        " ms, those of earlier holders in %" PRId64 " ms",
        waiting->tasks, waiting->workers, fleet->epoch,
        former->incarnation[0] ? former->incarnation : "has ended",
        (end_us - now_us) / CS_MS_US,
        former->older_until_us
            ? (worker_lease_end_us(fleet, former->older_until_us) - now_us) /
                  CS_MS_US
            : 0);
}

void
former_holder_tick(cs_fleet *fleet)
{
    const cs_store_port *store = fleet->state->ports.store;
    struct former_holder *former = &fleet->former;
    int64_t now_us = fleet_now(fleet).boot_us;
    char name[sizeof(former->incarnation)];
    cs_row_range range = {
        .table = CS_TABLE_MEMBERS, .part = "", .from = name, .limit = 1};

    struct unfenced waiting = count_unfenced(fleet);

    if (waiting.tasks == 0)
        return;
    log_wait(fleet, &waiting, now_us);
    if (!former->incarnation[0] || former->read_pending ||
        now_us < former->next_read_us || now_us >= former->extends_until_us)
        return;
    former->read_pending = true;
    former->next_read_us = now_us + READ_INTERVAL_US;
    g_strlcpy(name, former->incarnation, name_length(former->incarnation) + 1);
    store->read(store->self, &range, now_us + STORE_TIMEOUT_US, on_row,
                call_create(fleet, NULL));
}
