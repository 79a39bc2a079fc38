/*
 * The holder's state of each worker: its entry in the store, its incarnation,
 * the end of its leases, and its quarantine after failures.
 */
#include "fleet_internal.h"
#include "corianderstair/departure.h"

/* Minimum rate of a worker's clock relative to this VM's. A lease ends by
   the worker's clock, so it lasts longer where that clock runs slow. */
#define CLOCK_RATE_MIN 0.98
#define LEASE_MARGIN_US (150 * CS_MS_US)
/* Failed runs of different jobs in a row that quarantine a worker, for a time
   that doubles with each quarantine until a run succeeds. */
#define CONSECUTIVE_FAILURES_MAX 2
#define QUARANTINE_FIRST_US (3 * CS_SEC_US)
#define QUARANTINE_MAX_US (30 * CS_SEC_US)
/* The longest quarantine of a worker that no other one can stand in for: a
   step that has capacity has to run within 3 s. After the last failure, it is
   as long for tasks that last and have no room elsewhere. */
#define QUARANTINE_WITHOUT_SUBSTITUTE_US (2 * CS_SEC_US)
/* Labels of a worker that count; the platform's workers have two. */
#define LABELS_MAX 16
/* A worker with tasks that has not answered for this long gets no new ones. */
#define ANSWER_AGE_MAX_US (4 * CS_SEC_US)

int64_t
worker_lease_end_us(const cs_fleet *fleet, int64_t extended_us)
{
    int64_t lease_ms = fleet->state->settings.bounds.worker_lease_ms;

    return extended_us +
           (int64_t)((double)(lease_ms * CS_MS_US) / CLOCK_RATE_MIN) +
           LEASE_MARGIN_US;
}

struct worker *
worker_get(cs_fleet *fleet, const char *id)
{
    struct worker *worker = g_hash_table_lookup(fleet->workers, id);

    if (worker)
        return worker;
    worker = g_new0(struct worker, 1);
    g_strlcpy(worker->id, id, sizeof(worker->id));
    worker->index = fleet->worker_list->len;
    worker->clock_ms = -1;
    worker->remaining_ms = -1;
    worker->rack = worker_rack_number(fleet, "");
    worker->tasks = g_ptr_array_new();
    worker->unwanted_runs =
        g_array_new(FALSE, FALSE, sizeof(struct unwanted_run));
    g_hash_table_insert(fleet->workers, worker->id, worker);
    g_ptr_array_add(fleet->worker_list, worker);
    return worker;
}

void
worker_free(gpointer data)
{
    struct worker *worker = data;

    g_ptr_array_free(worker->tasks, TRUE);
    g_array_free(worker->unwanted_runs, TRUE);
    g_strfreev(worker->labels);
    g_free(worker);
}

uint32_t
worker_rack_number(cs_fleet *fleet, const char *name)
{
    guint number =
        GPOINTER_TO_UINT(g_hash_table_lookup(fleet->rack_numbers, name));

    if (number == 0) {
        number = g_hash_table_size(fleet->rack_numbers) + 1;
        g_hash_table_insert(fleet->rack_numbers, g_strdup(name),
                            GUINT_TO_POINTER(number));
    }
    return number - 1;
}

bool
worker_matches(const struct worker *worker, const char *service,
               const char *label)
{
    return strcmp(worker->service, service) == 0 &&
           (!*label ||
            (worker->labels &&
             g_strv_contains((const char *const *)worker->labels, label)));
}

/* Number of bits of a worker's labels. */
#define LABEL_BITS 64

static void
clear_label_pair(gpointer data)
{
    struct label_pair *pair = data;

    g_free(pair->service);
    g_free(pair->label);
}

GArray *
worker_label_pairs_create(void)
{
    GArray *pairs = g_array_new(FALSE, FALSE, sizeof(struct label_pair));

    g_array_set_clear_func(pairs, clear_label_pair);
    return pairs;
}

/* Sets the bits of a worker for the pairs from the first one on. */
static void
set_label_bits(const cs_fleet *fleet, struct worker *worker, guint first)
{
    guint i;

    for (i = first; i < fleet->label_pairs->len; i++) {
        const struct label_pair *pair =
            &g_array_index(fleet->label_pairs, struct label_pair, i);

        if (worker_matches(worker, pair->service, pair->label))
            worker->label_bits |= UINT64_C(1) << i;
    }
}

static void
add_label_pair(cs_fleet *fleet, const char *service, const char *label)
{
    struct label_pair pair = {g_strdup(service), g_strdup(label)};
    bool is_full = fleet->label_pairs->len == LABEL_BITS;
    guint i;

    if (is_full)
        g_array_set_size(fleet->label_pairs, 0);
    g_array_append_val(fleet->label_pairs, pair);
    for (i = 0; i < fleet->worker_list->len; i++) {
        struct worker *worker = g_ptr_array_index(fleet->worker_list, i);

        if (is_full)
            worker->label_bits = 0;
        set_label_bits(fleet, worker, fleet->label_pairs->len - 1);
    }
}

uint64_t
worker_label_bit(cs_fleet *fleet, const char *service, const char *label,
                 bool *changed)
{
    guint i;

    *changed = false;
    for (i = 0; i < fleet->label_pairs->len; i++) {
        const struct label_pair *pair =
            &g_array_index(fleet->label_pairs, struct label_pair, i);

        if (strcmp(pair->service, service) == 0 &&
            strcmp(pair->label, label) == 0)
            return UINT64_C(1) << i;
    }
    *changed = true;
    add_label_pair(fleet, service, label);
    return UINT64_C(1) << (fleet->label_pairs->len - 1);
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
worker_count_started(const struct worker *worker)
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
    int64_t stop_us = fleet->state->settings.bounds.stop_ms * CS_MS_US;

    worker->expect_ends_until_us = fleet_now(fleet).boot_us + stop_us;
}

static void
log_lost_tasks(const cs_fleet *fleet, const struct worker *worker,
               const char *reason)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    char *answered =
        worker->last_answer_us
            ? g_strdup_printf("answered %" PRId64 " ms ago",
                              (now_us - worker->last_answer_us) / CS_MS_US)
            : g_strdup("never answered");

    cs_log_event("tasks-lost",
                 "worker %s: %u tasks, %s; %s, %slisted, epoch %" PRIu64
                 ", leases of former holders ended %" PRId64 " ms ago",
                 worker->id, worker_count_started(worker), reason, answered,
                 worker->listed ? "" : "not ", fleet->epoch,
                 (now_us - former_holder_leases_end_us(fleet)) / CS_MS_US);
    g_free(answered);
}

void
worker_end_started_tasks(cs_fleet *fleet, struct worker *worker,
                         const char *reason)
{
    guint i = 0;

    worker_expect_end(fleet, worker);
    if (worker_count_started(worker) > 0)
        log_lost_tasks(fleet, worker, reason);
    unwanted_end_all(fleet, worker, reason);
    while (i < worker->tasks->len) {
        struct task *task = g_ptr_array_index(worker->tasks, i);

        if (!worker_task_is_started(task)) {
            i++;
            continue;
        }
        task_end(fleet, task, CS_OUTCOME_LAPSED, "", reason);
        /* The end of a gang's member may have released others, which changes
           the list. */
        i = 0;
    }
}

/*
 * The runs of the former incarnation are gone, but some tasks may have been
 * started in the new one already. The next heartbeat shows which.
 */
void
worker_set_incarnation(cs_fleet *fleet, struct worker *worker,
                       uint64_t incarnation_ms)
{
    if (worker->incarnation_ms)
        cs_log_event("worker-reborn", "worker %s, %u tasks", worker->id,
                     worker->tasks->len);
    worker->incarnation_ms = incarnation_ms;
    unwanted_end_all(fleet, worker, "another incarnation");
    worker->answered = false;
    worker->fenced = false;
    worker->ends_processed = 0;
    worker->ends_recorded = 0;
    worker->ends_committing = 0;
    worker->ends_acknowledged = 0;
    worker->clock_ms = -1;
    worker->next_heartbeat_us = 0;
    worker->consecutive_failures = 0;
    worker->paused_until_us = 0;
    worker->quarantined_until_us = 0;
    memset(&worker->speed, 0, sizeof(worker->speed));
}

static bool
has_same_labels(const struct worker *worker, const cs_worker_entry *entry)
{
    uint32_t count = MIN(entry->labels->len, LABELS_MAX);
    uint32_t i;

    if (!worker->labels || strcmp(worker->service, entry->service) != 0 ||
        g_strv_length(worker->labels) != count)
        return false;
    for (i = 0; i < count; i++) {
        if (strcmp(worker->labels[i], g_ptr_array_index(entry->labels, i)) !=
            0)
            return false;
    }
    return true;
}

static void
apply_labels(cs_fleet *fleet, struct worker *worker,
             const cs_worker_entry *entry)
{
    uint32_t count = MIN(entry->labels->len, LABELS_MAX);
    uint32_t i;

    if (has_same_labels(worker, entry))
        return;
    g_strlcpy(worker->service, entry->service, sizeof(worker->service));
    g_strfreev(worker->labels);
    worker->labels = g_new0(char *, count + 1);
    for (i = 0; i < count; i++)
        worker->labels[i] = g_strdup(g_ptr_array_index(entry->labels, i));
    worker->label_bits = 0;
    set_label_bits(fleet, worker, 0);
    /* The first label is the worker's kind, the second its rack. */
    if (count > 1)
        worker->rack = worker_rack_number(fleet, worker->labels[1]);
}

void
worker_apply(cs_fleet *fleet, const char *id, const cs_worker_entry *entry)
{
    struct worker *worker = worker_get(fleet, id);

    if (entry->incarnation_ms &&
        entry->incarnation_ms < worker->incarnation_ms)
        return;
    if (entry->incarnation_ms > worker->incarnation_ms)
        worker_set_incarnation(fleet, worker, entry->incarnation_ms);
    if (!worker->listed) {
        worker->listed = true;
        worker->next_heartbeat_us = 0;
        fleet->cycle_requested = true;
    }
    if (entry->draining && !worker->draining) {
        worker->drain_seen_us = fleet_now(fleet).boot_us;
        cs_log_event("worker-draining",
                     "worker %s, %" PRId64 " ms left, %u "
                     "tasks",
                     worker->id, entry->remaining_ms, worker->tasks->len);
        fleet->cycle_requested = true;
    }
    worker->draining = entry->draining;
    worker->remaining_ms = entry->remaining_ms;
    worker->capacity = entry->capacity;
    g_strlcpy(worker->address, entry->address, sizeof(worker->address));
    g_strlcpy(worker->zone, entry->zone, sizeof(worker->zone));
    worker->zone_number = g_quark_from_string(worker->zone);
    apply_labels(fleet, worker, entry);
}

/* Returns whether the removal of the worker's entry shows that nothing runs on
   it any more. While the tenure loads, jobs are not complete. */
static bool
has_left(const cs_fleet *fleet, const struct worker *worker)
{
    cs_departure departure = {
        .draining = worker->draining,
        .written_after_us = worker->entry_written_after_us,
        .removal_read_us = fleet_now(fleet).boot_us,
        .heartbeat_ms = fleet->state->settings.worker_heartbeat_ms};

    return fleet->tenure == TENURE_HOLDING &&
           cs_departure_is_certain(&departure);
}

void
worker_unlist(cs_fleet *fleet, struct worker *worker)
{
    bool left;

    if (!worker->listed)
        return;
    worker->listed = false;
    left = has_left(fleet, worker);
    cs_log_event("worker-unlisted", "worker %s, %u tasks%s", worker->id,
                 worker->tasks->len, left ? ", it has left" : "");
    if (!left)
        return;
    fleet_increment_counter(fleet, "cs_workers_left_total");
    worker_end_started_tasks(fleet, worker, "it has left");
}

bool
worker_is_expected(const cs_fleet *fleet, const struct worker *worker)
{
    return worker->listed && !worker->draining &&
           !start_gate_is_closed_at(fleet, worker);
}

/* Returns whether the worker answers and takes tasks, its failures aside. */
static bool
is_serving(const cs_fleet *fleet, const struct worker *worker)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    /* Without the worker's clock no lease can be given. */
    if (!worker_is_expected(fleet, worker) || !worker->answered ||
        worker->clock_ms < 0 || worker->failed_heartbeats > 0)
        return false;
    if (now_us < worker->paused_until_us)
        return false;
    /* Workers without tasks get no regular heartbeats, so the age of their
       last answer does not count. */
    return worker->tasks->len == 0 ||
           now_us - worker->last_answer_us < ANSWER_AGE_MAX_US;
}

bool
worker_is_usable(const cs_fleet *fleet, const struct worker *worker)
{
    return fleet_now(fleet).boot_us >= worker->quarantined_until_us &&
           is_serving(fleet, worker);
}

bool
worker_is_last_resort(const cs_fleet *fleet, const struct worker *worker)
{
    int64_t now_us = fleet_now(fleet).boot_us;

    return now_us < worker->quarantined_until_us &&
           now_us - worker->last_failure_us >=
               QUARANTINE_WITHOUT_SUBSTITUTE_US &&
           is_serving(fleet, worker);
}

int64_t
worker_clock_ms(const struct worker *worker, int64_t now_us)
{
    if (worker->clock_ms < 0)
        return -1;
    return worker->clock_ms + (now_us - worker->clock_read_us) / CS_MS_US;
}

void
worker_extend_lease_end(struct worker *worker, int64_t until_ms)
{
    double remaining_us =
        (double)((until_ms - worker->clock_ms) * CS_MS_US) / CLOCK_RATE_MIN;
    int64_t end_us =
        worker->clock_read_us + (int64_t)remaining_us + LEASE_MARGIN_US;

    worker->lease_end_us = MAX(worker->lease_end_us, end_us);
}

void
worker_assume_former_lease(const cs_fleet *fleet, struct worker *worker)
{
    int64_t end_us = worker_lease_end_us(fleet, fleet_now(fleet).boot_us);

    worker->lease_end_us = MAX(worker->lease_end_us, end_us);
}

static const char *
kind(const struct worker *worker)
{
    return worker->labels && worker->labels[0] ? worker->labels[0] : "";
}

/* Returns whether another worker of the same service and kind may get tasks,
   now or after short pauses. */
static bool
has_substitute(const cs_fleet *fleet, const struct worker *worker)
{
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *other = g_ptr_array_index(fleet->worker_list, i);

        if (other != worker && other->quarantine_us == 0 &&
            worker_is_expected(fleet, other) &&
            worker_matches(other, worker->service, kind(worker)))
            return true;
    }
    return false;
}

void
worker_record_failure(cs_fleet *fleet, struct worker *worker,
                      const char *job_id)
{
    worker->last_failure_us = fleet_now(fleet).boot_us;
    if (strcmp(worker->last_failed_job, job_id) == 0)
        return;
    g_strlcpy(worker->last_failed_job, job_id,
              sizeof(worker->last_failed_job));
    if (++worker->consecutive_failures < CONSECUTIVE_FAILURES_MAX)
        return;
    worker->quarantine_us =
        worker->quarantine_us
            ? MIN(worker->quarantine_us * 2, QUARANTINE_MAX_US)
            : QUARANTINE_FIRST_US;
    /* Work that only this worker can run must not wait long for it. */
    if (!has_substitute(fleet, worker))
        worker->quarantine_us =
            MIN(worker->quarantine_us, QUARANTINE_WITHOUT_SUBSTITUTE_US);
    worker->quarantined_until_us =
        worker->last_failure_us + worker->quarantine_us;
    cs_log_event("worker-aside",
                 "worker %s is quarantined for %" PRId64
                 " ms after %u consecutive failures",
                 worker->id, worker->quarantine_us / CS_MS_US,
                 worker->consecutive_failures);
    fleet_increment_counter(fleet, "cs_workers_aside_total");
}

void
worker_record_success(struct worker *worker)
{
    worker->consecutive_failures = 0;
    worker->quarantine_us = 0;
    worker->last_failed_job[0] = '\0';
}
