/* What the holder knows of each worker. */
#include "fleet_internal.h"

/* Leases are measured on clocks that may be this slow. */
#define CLOCK_RATE 0.98
#define LEASE_MARGIN_US (150 * CS_MS_US)
/* A former holder that is cut off from the store may extend leases for so
   long; one that is not is fenced by the first look. */
#define FORMER_EXTENDS_US (15 * CS_SEC_US)
#define STRIKES_MAX 2
#define ASIDE_FIRST_US (3 * CS_SEC_US)
#define ASIDE_MAX_US (30 * CS_SEC_US)
/* A worker that has not answered for so long gets no new tasks. */
#define FRESH_US (4 * CS_SEC_US)

static int64_t
longest_lease_us(const cs_fleet *fleet)
{
    int64_t lease_ms = fleet->board->settings.bounds.worker_lease_ms;

    return (int64_t)((double)(lease_ms * CS_MS_US) / CLOCK_RATE) +
           LEASE_MARGIN_US;
}

struct worker *
worker_get(cs_fleet *fleet, const char *id)
{
    struct worker *worker = g_hash_table_lookup(fleet->workers, id);
    int64_t now_us = fleet_now(fleet).boot_us;

    if (worker)
        return worker;
    worker = g_new0(struct worker, 1);
    g_strlcpy(worker->id, id, sizeof(worker->id));
    worker->index = fleet->worker_list->len;
    worker->clock_ms = -1;
    worker->remaining_ms = -1;
    worker->rack = worker_rack(fleet, "");
    worker->tasks = g_ptr_array_new();
    worker->unknown_until_us =
        now_us + FORMER_EXTENDS_US + longest_lease_us(fleet);
    g_hash_table_insert(fleet->workers, worker->id, worker);
    g_ptr_array_add(fleet->worker_list, worker);
    return worker;
}

void
worker_free(gpointer data)
{
    struct worker *worker = data;

    g_ptr_array_free(worker->tasks, TRUE);
    g_free(worker);
}

uint32_t
worker_rack(cs_fleet *fleet, const char *name)
{
    guint number = GPOINTER_TO_UINT(g_hash_table_lookup(fleet->racks, name));

    if (number == 0) {
        number = g_hash_table_size(fleet->racks) + 1;
        g_hash_table_insert(fleet->racks, g_strdup(name),
                            GUINT_TO_POINTER(number));
    }
    return number - 1;
}

uint64_t
worker_label(cs_fleet *fleet, const char *name)
{
    guint number;

    if (!*name)
        return 0;
    number = GPOINTER_TO_UINT(g_hash_table_lookup(fleet->labels, name));
    if (number == 0) {
        number = g_hash_table_size(fleet->labels) + 1;
        g_hash_table_insert(fleet->labels, g_strdup(name),
                            GUINT_TO_POINTER(number));
        if (number > 64)
            cs_log_event("labels-exhausted", "%s is the %u. label", name,
                         number);
    }
    /* Beyond the bits of a word no worker matches. */
    return number > 64 ? UINT64_MAX : UINT64_C(1) << (number - 1);
}

bool
worker_task_is_started(const struct task *task)
{
    switch (task->state) {
    case TASK_STARTING:
    case TASK_RUNNING:
    case TASK_STOPPING:
        return true;
    case TASK_WAITING:
    case TASK_PLANNED:
    case TASK_RECORDING:
    case TASK_DONE:
        return false;
    }
    return false;
}

uint32_t
worker_started(const struct worker *worker)
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < worker->tasks->len; i++)
        count += worker_task_is_started(g_ptr_array_index(worker->tasks, i));
    return count;
}

void
worker_expect_end(cs_fleet *fleet, struct worker *worker)
{
    int64_t stop_us = fleet->board->settings.bounds.stop_ms * CS_MS_US;

    worker->look_until_us = fleet_now(fleet).boot_us + stop_us;
}

void
worker_drop_tasks(cs_fleet *fleet, struct worker *worker, const char *reason)
{
    guint i = 0;

    worker_expect_end(fleet, worker);
    if (worker_started(worker) > 0)
        cs_log_event("tasks-lost", "worker %s: %u tasks, %s", worker->id,
                     worker_started(worker), reason);
    while (i < worker->tasks->len) {
        struct task *task = g_ptr_array_index(worker->tasks, i);

        if (!worker_task_is_started(task)) {
            i++;
            continue;
        }
        task_ended(fleet, task, CS_END_LAPSED, "");
        /* A gang's end may have released others. */
        i = 0;
    }
}

/*
 * Runs of the former incarnation are gone, but some may have been started in
 * the new one already: the next look tells.
 */
void
worker_reborn(cs_fleet *fleet, struct worker *worker, uint64_t born_ms)
{
    if (worker->born_ms)
        cs_log_event("worker-reborn", "worker %s, %u tasks", worker->id,
                     worker->tasks->len);
    worker->born_ms = born_ms;
    worker->looked = false;
    worker->noted = 0;
    worker->seen_upto = 0;
    worker->ack_next = 0;
    worker->acked = 0;
    worker->clock_ms = -1;
    worker->next_hold_us = 0;
    worker->strikes = 0;
    worker->aside_until_us = 0;
    memset(&worker->speed, 0, sizeof(worker->speed));
}

static void
apply_labels(cs_fleet *fleet, struct worker *worker,
             const cs_worker_entry *entry)
{
    char service[CS_JOB_NAME_BYTES + 8];
    guint i;

    g_snprintf(service, sizeof(service), "service:%s", entry->service);
    worker->labels = worker_label(fleet, service);
    for (i = 0; i < entry->labels->len; i++)
        worker->labels |=
            worker_label(fleet, g_ptr_array_index(entry->labels, i));
    /* The kind comes first, the rack second. */
    if (entry->labels->len > 1)
        worker->rack = worker_rack(fleet, g_ptr_array_index(entry->labels, 1));
}

void
worker_apply(cs_fleet *fleet, const char *id, const cs_worker_entry *entry)
{
    struct worker *worker = worker_get(fleet, id);

    if (entry->born_ms && entry->born_ms < worker->born_ms)
        return;
    if (entry->born_ms > worker->born_ms)
        worker_reborn(fleet, worker, entry->born_ms);
    if (!worker->listed) {
        worker->listed = true;
        worker->next_hold_us = 0;
        fleet->turn_wanted = true;
    }
    if (entry->draining && !worker->draining) {
        worker->drain_us = fleet_now(fleet).boot_us;
        cs_log_event("worker-draining",
                     "worker %s, %" PRId64 " ms left, %u "
                     "tasks",
                     worker->id, entry->remaining_ms, worker->tasks->len);
        fleet->turn_wanted = true;
    }
    worker->draining = entry->draining;
    worker->remaining_ms = entry->remaining_ms;
    worker->capacity = entry->capacity;
    g_strlcpy(worker->address, entry->address, sizeof(worker->address));
    g_strlcpy(worker->zone, entry->zone, sizeof(worker->zone));
    g_strlcpy(worker->service, entry->service, sizeof(worker->service));
    apply_labels(fleet, worker, entry);
}

void
worker_note_gone(const cs_fleet *fleet, struct worker *worker)
{
    int64_t end_us = fleet_now(fleet).boot_us + longest_lease_us(fleet);

    worker->unknown_until_us = MIN(worker->unknown_until_us, end_us);
}

void
worker_unlist(cs_fleet *fleet, struct worker *worker)
{
    if (!worker->listed)
        return;
    worker->listed = false;
    worker_note_gone(fleet, worker);
    cs_log_event("worker-unlisted", "worker %s, %u tasks", worker->id,
                 worker->tasks->len);
}

bool
worker_is_usable(const cs_fleet *fleet, const struct worker *worker)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    if (!worker->listed || worker->draining || !worker->looked ||
        worker->failed_looks > 0)
        return false;
    if (now_us < worker->aside_until_us)
        return false;
    /* Only workers with tasks are looked at all the time. */
    return worker->tasks->len == 0 || now_us - worker->last_ok_us < FRESH_US;
}

int64_t
worker_clock_ms(const struct worker *worker, int64_t now_us)
{
    if (worker->clock_ms < 0)
        return -1;
    return worker->clock_ms + (now_us - worker->clock_us) / CS_MS_US;
}

void
worker_note_lease(struct worker *worker, int64_t until_ms)
{
    double left_us =
        (double)((until_ms - worker->clock_ms) * CS_MS_US) / CLOCK_RATE;
    int64_t end_us = worker->clock_us + (int64_t)left_us + LEASE_MARGIN_US;

    worker->lease_end_us = MAX(worker->lease_end_us, end_us);
}

void
worker_note_former_lease(const cs_fleet *fleet, struct worker *worker)
{
    int64_t end_us = fleet_now(fleet).boot_us + longest_lease_us(fleet);

    worker->lease_end_us = MAX(worker->lease_end_us, end_us);
}

void
worker_failed(cs_fleet *fleet, struct worker *worker, const char *job_id)
{
    if (strcmp(worker->last_failed, job_id) == 0)
        return;
    g_strlcpy(worker->last_failed, job_id, sizeof(worker->last_failed));
    if (++worker->strikes < STRIKES_MAX)
        return;
    worker->aside_us = worker->aside_us
                           ? MIN(worker->aside_us * 2, ASIDE_MAX_US)
                           : ASIDE_FIRST_US;
    worker->aside_until_us = fleet_now(fleet).boot_us + worker->aside_us;
    cs_log_event("worker-aside", "worker %s for %" PRId64 " ms, %u strikes",
                 worker->id, worker->aside_us / CS_MS_US, worker->strikes);
    fleet_count(fleet, "cs_workers_aside_total");
}

void
worker_succeeded(struct worker *worker)
{
    worker->strikes = 0;
    worker->aside_us = 0;
    worker->last_failed[0] = '\0';
}
