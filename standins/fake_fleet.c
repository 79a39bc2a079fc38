/*
 * The simulated deployment: the event queue on virtual time, the processes of
 * the VMs and the requests of callers.
 */
#include "fake_fleet_internal.h"

#include "config.h"
#include "workers.h"

#include <stdarg.h>
#include <stdlib.h>

#define VM_TICK_US (20 * CS_MS_US)
#define WORKER_TICK_US (10 * CS_MS_US)
/* Interval at which a worker writes its entry to the store, and after how many
   of them without a write the store deletes it. */
#define ENTRY_INTERVAL_US (1500 * CS_MS_US)
#define ENTRY_EXPIRY_INTERVALS 3
#define DEFAULT_ROW_BYTES 65536
/* Bound of the VMs' settings, as on the users' platform. */
#define RESTART_BOUND_MS 14000
#define CALL_TIMEOUT_US (3 * CS_SEC_US)
/* Time between a stop request and the earliest end of the process. */
#define MIN_DRAIN_TIME_US (3 * CS_SEC_US)
/* Followed by the number of the VM. */
#define PEER_ADDRESS_PREFIX "10.8.0.1:"
/* Time between the end of a stopped process and its restart. */
#define RESTART_DELAY_US (500 * CS_MS_US)

struct event {
    int64_t at_us;
    uint64_t sequence; /* orders events of the same time */
    fake_event_fn callback;
    void *user_data;
};

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer user_data)
{
    const struct event *first = a;
    const struct event *second = b;

    if (first->at_us != second->at_us)
        return first->at_us < second->at_us ? -1 : 1;
    return first->sequence < second->sequence ? -1 : 1;
}

void
fake_schedule(fake_fleet *deployment, int64_t at_us, fake_event_fn callback,
              void *user_data)
{
    struct event *event = g_new0(struct event, 1);

    event->at_us = MAX(at_us, deployment->now_us);
    event->sequence = ++deployment->last_sequence;
    event->callback = callback;
    event->user_data = user_data;
    g_sequence_insert_sorted(deployment->events, event, compare_events, NULL);
}

void
fake_record_violation(fake_fleet *deployment, const char *fmt, ...)
{
    char *text;
    va_list ap;

    va_start(ap, fmt);
    text = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    deployment->violation_count++;
    fake_observe(deployment, "violation", "at %.3f s: %s",
                 (double)deployment->now_us / CS_SEC_US, text);
    if (deployment->violation) {
        g_free(text);
        return;
    }
    deployment->violation = g_strdup_printf(
        "at %.3f s: %s", (double)deployment->now_us / CS_SEC_US, text);
    g_free(text);
}

void
fake_observe(const fake_fleet *deployment, const char *event, const char *fmt,
             ...)
{
    char *text;
    va_list ap;

    if (!deployment->observer)
        return;
    va_start(ap, fmt);
    text = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    deployment->observer(deployment->observer_data, event, text);
    g_free(text);
}

void
fake_fleet_set_observer(fake_fleet *deployment, fake_observer observer,
                        void *user_data)
{
    deployment->observer = observer;
    deployment->observer_data = user_data;
}

uint32_t
fake_worker_zone(const struct fake_fleet_worker *worker)
{
    return worker->number % worker->deployment->worker_zones;
}

bool
fake_random_bool(fake_fleet *deployment, double probability)
{
    return probability > 0 && g_rand_double(deployment->random) < probability;
}

cs_now
fake_vm_now(void *user_data)
{
    const struct fake_vm *vm = user_data;
    cs_now now = {vm->deployment->now_us,
                  FAKE_WALL_CLOCK_START_US + vm->deployment->now_us};

    return now;
}

static const cs_store_port *
find_relay_port(void *user_data, const char *address)
{
    struct fake_vm *vm = user_data;

    return &vm->routes[atoi(address + strlen(PEER_ADDRESS_PREFIX))].port;
}

static void
start_vm(struct fake_vm *vm)
{
    cs_store_router_settings routes = {.direct = &vm->routes[vm->number].port,
                                       .open_relay = find_relay_port,
                                       .open_relay_data = vm,
                                       .own_name = vm->name,
                                       .now = fake_vm_now,
                                       .now_data = vm,
                                       .bulk_table = PLATFORM_CONFIG_TABLE};
    cs_fleet_ports ports = {.workers = &vm->workers,
                            .adviser = &vm->adviser,
                            .now = fake_vm_now,
                            .now_data = vm,
                            .decode_config = platform_config_decode,
                            .config_table = PLATFORM_CONFIG_TABLE,
                            .config_key = PLATFORM_CONFIG_KEY,
                            .evacuation_prefix = PLATFORM_EVACUATION_PREFIX,
                            .decode_worker = platform_worker_entry_decode,
                            .workers_table = PLATFORM_WORKERS_TABLE};
    cs_vm_settings settings = {
        .bounds = {.worker_lease_ms = FAKE_WORKER_LEASE_MS,
                   .stop_ms = 900,
                   .grace_ms = 6000,
                   .config_apply_ms = vm->deployment->config_apply_ms,
                   .restore_ms = 600,
                   .restart_ms = vm->deployment->restart_not_given
                                     ? 0
                                     : RESTART_BOUND_MS,
                   .evacuate_ms = FAKE_EVACUATE_MS,
                   .evacuate_given = !vm->deployment->evacuate_not_given,
                   .retention_ms = 120000}};

    g_snprintf(vm->name, sizeof(vm->name), "vm-%u", vm->number);
    g_strlcpy(settings.name, vm->name, sizeof(settings.name));
    vm->up = true;
    vm->stop_requested_us = 0;
    g_snprintf(settings.peer_address, sizeof(settings.peer_address),
               PEER_ADDRESS_PREFIX "%u", vm->number);
    fake_link_address(settings.link_address, sizeof(settings.link_address),
                      vm->number);
    g_snprintf(settings.zone, sizeof(settings.zone), "z%u",
               vm->number % FAKE_ZONES);
    settings.cpu_share = (double)vm->cpu_milli / 1000.0;
    settings.row_bytes = vm->deployment->row_bytes;
    settings.memory_bytes = vm->deployment->memory_bytes;
    settings.worker_heartbeat_ms = ENTRY_INTERVAL_US / CS_MS_US;
    vm->busy_until_us = 0;
    vm->counters = cs_counters_create();
    routes.counters = vm->counters;
    vm->router = cs_store_router_create(&routes);
    ports.store = cs_store_router_port(vm->router);
    cs_fleet_state_init(&vm->state, &ports, &settings, vm->counters);
    vm->members = cs_members_create(&vm->state, vm->router);
    fake_link_start(vm, vm->deployment->max_direct_workers);
    vm->follower = cs_config_follower_create(&vm->state);
    vm->entry = cs_entry_create(&vm->state);
    vm->fleet = cs_fleet_create(&vm->state);
}

void *
fake_pending_call_next(const struct fake_vm *vm, fake_event_fn abort_call,
                       uint64_t *sequence)
{
    const struct fake_pending_call *next = NULL;
    void *next_call = NULL;
    GHashTableIter iter;
    gpointer call;
    gpointer value;

    g_hash_table_iter_init(&iter, vm->pending_calls);
    while (g_hash_table_iter_next(&iter, &call, &value)) {
        const struct fake_pending_call *pending = value;

        if (pending->abort != abort_call || pending->sequence <= *sequence ||
            (next && next->sequence < pending->sequence))
            continue;
        next = pending;
        next_call = call;
    }
    if (next)
        *sequence = next->sequence;
    return next_call;
}

void
fake_pending_call_add(struct fake_vm *vm, void *call, fake_event_fn abort_call)
{
    struct fake_pending_call *pending = g_new0(struct fake_pending_call, 1);

    pending->abort = abort_call;
    pending->sequence = ++vm->deployment->last_sequence;
    g_hash_table_insert(vm->pending_calls, call, pending);
}

/*
 * Returns the oldest pending call, or NULL. The order of the hash table
 * depends on memory addresses, so calls are taken by age to keep sessions
 * reproducible.
 */
static struct fake_pending_call *
find_oldest_call(struct fake_vm *vm, gpointer *call)
{
    struct fake_pending_call *oldest = NULL;
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, vm->pending_calls);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct fake_pending_call *pending = value;

        if (oldest && oldest->sequence < pending->sequence)
            continue;
        oldest = pending;
        *call = key;
    }
    return oldest;
}

/* Aborts all pending calls, oldest first, when the process ends. */
static void
abort_calls(struct fake_vm *vm)
{
    gpointer call;
    struct fake_pending_call *pending;

    while ((pending = find_oldest_call(vm, &call)) != NULL)
        pending->abort(call);
}

static void
end_vm(struct fake_vm *vm)
{
    if (!vm->up)
        return;
    abort_calls(vm);
    fake_link_close(vm);
    vm->up = false;
    cs_fleet_destroy(vm->fleet);
    cs_entry_destroy(vm->entry);
    cs_config_follower_destroy(vm->follower);
    fake_link_dispose(vm);
    cs_members_destroy(vm->members);
    cs_store_router_destroy(vm->router);
    cs_fleet_state_dispose(&vm->state);
    cs_counters_destroy(vm->counters);
}

static void
restart_vm(void *user_data)
{
    struct fake_vm *vm = user_data;

    if (!vm->up)
        start_vm(vm);
}

static void
tick_vm(void *user_data)
{
    struct fake_vm *vm = user_data;
    fake_fleet *deployment = vm->deployment;

    fake_schedule(deployment, deployment->now_us + VM_TICK_US, tick_vm, vm);
    if (!vm->up || deployment->now_us < vm->frozen_until_us ||
        deployment->now_us < vm->busy_until_us)
        return;
    cs_members_tick(vm->members);
    cs_config_follower_tick(vm->follower);
    cs_entry_tick(vm->entry);
    cs_fleet_tick(vm->fleet);
    fake_link_tick(vm);
    if (vm->stop_requested_us &&
        deployment->now_us - vm->stop_requested_us > MIN_DRAIN_TIME_US &&
        cs_fleet_is_released(vm->fleet) &&
        cs_entry_open_requests(vm->entry) == 0) {
        end_vm(vm);
        fake_schedule(deployment, deployment->now_us + RESTART_DELAY_US,
                      restart_vm, vm);
    }
}

static void
tick_workers(void *user_data)
{
    fake_fleet *deployment = user_data;
    uint32_t i;

    for (i = 0; i < deployment->worker_count; i++)
        fake_fleet_worker_advance(&deployment->workers[i]);
    fake_schedule(deployment, deployment->now_us + WORKER_TICK_US,
                  tick_workers, deployment);
}

static void
publish_worker(void *user_data)
{
    struct fake_fleet_worker *worker = user_data;

    if (worker->up && !worker->disconnected &&
        worker->deployment->now_us >= worker->hidden_until_us &&
        !worker->deployment->zone_cut[fake_worker_zone(worker)]) {
        worker->silent_intervals = 0;
        fake_fleet_worker_publish(worker);
    }
    else if (++worker->silent_intervals == ENTRY_EXPIRY_INTERVALS) {
        fake_fleet_expire_entry(worker->deployment, worker->number);
    }
    fake_schedule(worker->deployment,
                  worker->deployment->now_us + ENTRY_INTERVAL_US,
                  publish_worker, worker);
}

void
fake_fleet_set_organisations(fake_fleet *deployment, uint32_t count)
{
    deployment->organisations = count;
}

void
fake_fleet_put_entry(fake_fleet *deployment, const char *key, const char *text)
{
    fake_store_put(deployment, PLATFORM_WORKERS_TABLE, "", key, text,
                   strlen(text));
}

void
fake_fleet_put_cell_row(fake_fleet *deployment, const char *key,
                        const void *value, size_t size_bytes)
{
    fake_store_put(deployment, CS_TABLE_CELL, CS_CELL_PART, key, value,
                   size_bytes);
}

void
fake_fleet_set_restart_given(fake_fleet *deployment, uint32_t vm, bool given)
{
    deployment->vms[vm].state.settings.bounds.restart_ms =
        given ? RESTART_BOUND_MS : 0;
}

/* Returns the organisations after the first, as items of a JSON list. */
static GString *
further_organisations(const fake_fleet *deployment)
{
    GString *text = g_string_new("");
    uint32_t i;

    for (i = 1; i < deployment->organisations; i++)
        g_string_append_printf(
            text, ",{\"name\":\"t%u\",\"apiKeys\":[\"k%u\"]}", i, i);
    return text;
}

/* Text that brings a further queue to about 540 bytes on the wire. */
#define QUEUE_PADDING_BYTES 260

static char *
further_queues_text(uint32_t count)
{
    GString *text = g_string_new(NULL);
    uint32_t i;

    for (i = 0; i < count; i++) {
        g_string_append_printf(
            text,
            ",{\"name\":\"more-%u\",\"host\":\"h\",\"pathPrefix\":"
            "\"/more-%u/\",\"service\":\"lab\",\"priority\":2,"
            "\"attempts\":3,\"stretch\":3.0,\"targetLatencyMs\":3000,"
            "\"note\":\"%*s\"}",
            i, i, QUEUE_PADDING_BYTES, "");
    }
    return g_string_free(text, FALSE);
}

void
fake_fleet_set_queue(fake_fleet *deployment, uint32_t queue, uint32_t attempts)
{
    deployment->queue_attempts[queue] = attempts;
    if (attempts)
        deployment->min_attempts = MIN(deployment->min_attempts, attempts);
}

/* Returns the queues of a configuration as a list in JSON. */
static GString *
queues_text(const fake_fleet *deployment)
{
    static const struct {
        uint32_t priority;
        const char *stretch;
        uint32_t target_ms;
        const char *more;
    } queues[FAKE_QUEUES] = {
        {0, "1.5", 250, ""},
        {1, "3.0", 1000, ""},
        {2, "3.0", 3000, ""},
        {1, "3.0", 1000,
         ",\"advice\":{\"decideMs\":50,\"eachMs\":2,\"validMs\":3000}"},
    };
    GString *text = g_string_new("");
    uint32_t i;

    for (i = 0; i < FAKE_QUEUES; i++) {
        if (!deployment->queue_attempts[i])
            continue;
        g_string_append_printf(
            text,
            "%s{\"name\":\"q%u\",\"host\":\"h\",\"pathPrefix\":\"/q%u/\","
            "\"service\":\"lab\",\"priority\":%u,\"attempts\":%u,"
            "\"stretch\":%s,\"targetLatencyMs\":%u%s}",
            text->len ? "," : "", i, i, queues[i].priority,
            deployment->queue_attempts[i], queues[i].stretch,
            queues[i].target_ms, queues[i].more);
    }
    return text;
}

void
fake_fleet_configure_queues(fake_fleet *deployment, uint64_t version,
                            uint32_t further_queues)
{
    char *more = further_queues_text(further_queues);
    GString *further = further_organisations(deployment);
    GString *queues = queues_text(deployment);
    char *text = g_strdup_printf(
        "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[%s%s],"
        "\"services\":[{\"name\":\"lab\",\"admissionControl\":true}],"
        "\"limits\":{\"maxBodyBytes\":262144},"
        "\"tenants\":[{\"name\":\"t0\",\"apiKeys\":[\"k0\"],"
        "\"guaranteed\":{\"gpu\":64}}%s]}",
        version, queues->str, more, further->str);

    fake_store_put(deployment, PLATFORM_CONFIG_TABLE, "", PLATFORM_CONFIG_KEY,
                   text, strlen(text));
    g_string_free(queues, TRUE);
    g_string_free(further, TRUE);
    g_free(text);
    g_free(more);
}

void
fake_fleet_put_evacuation(fake_fleet *deployment, const char *zone,
                          bool evacuate)
{
    char *key = g_strconcat(PLATFORM_EVACUATION_PREFIX, zone, NULL);

    if (evacuate)
        fake_store_put(deployment, PLATFORM_CONFIG_TABLE, "", key, "{}", 2);
    else
        fake_store_remove(deployment, PLATFORM_CONFIG_TABLE, "", key);
    g_free(key);
}

void
fake_fleet_evacuate(fake_fleet *deployment, uint32_t zone, bool evacuate)
{
    char name[16];

    if (evacuate == (deployment->evacuated_us[zone] >= 0))
        return;
    g_snprintf(name, sizeof(name), "z%u", zone);
    fake_fleet_put_evacuation(deployment, name, evacuate);
    deployment->evacuated_us[zone] = evacuate ? deployment->now_us : -1;
}

void
fake_fleet_configure(fake_fleet *deployment, uint64_t version)
{
    fake_fleet_configure_queues(deployment, version, 0);
}

uint64_t
fake_fleet_config_version(const fake_fleet *deployment, uint32_t vm)
{
    const struct fake_vm *process = &deployment->vms[vm];

    return process->up && process->state.config
               ? process->state.config->version
               : 0;
}

/* Returns a VM's value of a list that ends at its first 0. */
static int64_t
vm_value(const int64_t *list, size_t size, uint32_t vm, int64_t none)
{
    uint32_t count = 0;

    while (count < size && list[count])
        count++;
    return count ? list[vm % count] : none;
}

static void
job_record_free(gpointer data)
{
    struct fake_job_record *record = data;

    cs_job_spec_dispose(&record->job.spec);
    g_hash_table_destroy(record->done_tasks);
    g_hash_table_destroy(record->lost_results);
    g_hash_table_destroy(record->failure_counts);
    g_hash_table_destroy(record->lost_failure_counts);
    g_free(record);
}

fake_fleet *
fake_fleet_create(const fake_fleet_settings *settings)
{
    fake_fleet *deployment = g_new0(fake_fleet, 1);
    uint32_t i;

    deployment->random = g_rand_new_with_seed((guint32)settings->seed);
    deployment->events = g_sequence_new(g_free);
    deployment->jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_record_free);
    deployment->vm_count = settings->vms;
    deployment->worker_count = settings->workers;
    deployment->rack_count = settings->racks;
    deployment->disabled_protection = settings->disabled_protection;
    deployment->max_direct_workers = settings->max_direct_workers
                                         ? settings->max_direct_workers
                                         : UINT32_MAX;
    deployment->call_us = settings->call_us;
    deployment->message_us = settings->message_us;
    deployment->messages_wait = settings->messages_wait;
    deployment->worker_zones =
        settings->worker_zones ? settings->worker_zones : FAKE_ZONES;
    deployment->stop_us =
        settings->stop_us ? settings->stop_us : FAKE_DEFAULT_STOP_US;
    deployment->slow_clocks = settings->slow_clocks;
    for (i = 0; i < FAKE_WORKER_ZONES_MAX; i++)
        deployment->evacuated_us[i] = -1;
    deployment->config_apply_ms =
        settings->config_apply_ms ? settings->config_apply_ms : 2000;
    deployment->store_kbps = settings->store_kbps;
    deployment->store_reads_per_s = settings->store_reads_per_s;
    deployment->feed_rows_max = settings->feed_rows_max;
    deployment->memory_bytes = settings->memory_bytes;
    deployment->restart_not_given = settings->restart_not_given;
    deployment->evacuate_not_given = settings->evacuate_not_given;
    deployment->late_orders_outlive_workers =
        settings->late_orders_outlive_workers;
    deployment->row_bytes =
        settings->row_bytes ? settings->row_bytes : DEFAULT_ROW_BYTES;
    fake_store_init(deployment);
    deployment->min_attempts = FAKE_MAX_ATTEMPTS;
    for (i = 0; i < FAKE_QUEUES; i++)
        deployment->queue_attempts[i] = FAKE_MAX_ATTEMPTS;
    fake_fleet_configure(deployment, 1);
    for (i = 0; i < deployment->worker_count; i++) {
        fake_fleet_worker_init(deployment, i);
        fake_schedule(deployment, (int64_t)i * 1000, publish_worker,
                      &deployment->workers[i]);
    }
    for (i = 0; i < deployment->vm_count; i++) {
        struct fake_vm *vm = &deployment->vms[i];

        vm->deployment = deployment;
        vm->number = i;
        vm->cpu_milli = vm_value(settings->cpu_milli,
                                 G_N_ELEMENTS(settings->cpu_milli), i, 1000);
        vm->link_kbps = vm_value(settings->link_kbps,
                                 G_N_ELEMENTS(settings->link_kbps), i, 0);
        vm->pending_calls =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
        fake_store_port(vm);
        fake_fleet_worker_port(vm);
        fake_adviser_port(vm);
        start_vm(vm);
        fake_schedule(deployment, (int64_t)i * 1500, tick_vm, vm);
    }
    fake_schedule(deployment, 0, tick_workers, deployment);
    return deployment;
}

void
fake_fleet_destroy(fake_fleet *deployment)
{
    uint32_t i;

    for (i = 0; i < deployment->vm_count; i++)
        end_vm(&deployment->vms[i]);
    deployment->shutting_down = true;
    /*
     * A call is freed by its last event, so the remaining events are run,
     * except those that keep the VMs and the workers running.
     */
    while (!g_sequence_is_empty(deployment->events)) {
        GSequenceIter *first = g_sequence_get_begin_iter(deployment->events);
        struct event event = *(struct event *)g_sequence_get(first);

        g_sequence_remove(first);
        if (event.at_us - deployment->now_us > 60 * CS_SEC_US)
            continue;
        if (event.callback != tick_vm && event.callback != publish_worker &&
            event.callback != tick_workers && event.callback != restart_vm)
            event.callback(event.user_data);
    }
    for (i = 0; i < deployment->vm_count; i++)
        g_hash_table_destroy(deployment->vms[i].pending_calls);
    g_sequence_free(deployment->events);
    for (i = 0; i < deployment->worker_count; i++)
        fake_fleet_worker_dispose(&deployment->workers[i]);
    fake_store_dispose(deployment);
    g_hash_table_destroy(deployment->jobs);
    g_rand_free(deployment->random);
    g_free(deployment->violation);
    g_free(deployment);
}

void
fake_fleet_run_to_call(fake_fleet *deployment, int64_t us, uint64_t call)
{
    int64_t end_us = deployment->now_us + us;

    while (!g_sequence_is_empty(deployment->events) &&
           deployment->call_count < call) {
        GSequenceIter *first = g_sequence_get_begin_iter(deployment->events);
        struct event event = *(struct event *)g_sequence_get(first);

        if (event.at_us > end_us)
            break;
        g_sequence_remove(first);
        deployment->now_us = event.at_us;
        event.callback(event.user_data);
    }
    if (deployment->call_count < call)
        deployment->now_us = end_us;
}

void
fake_fleet_run(fake_fleet *deployment, int64_t us)
{
    fake_fleet_run_to_call(deployment, us, UINT64_MAX);
}

uint64_t
fake_fleet_call_count(const fake_fleet *deployment)
{
    return deployment->call_count;
}

int64_t
fake_fleet_now_us(const fake_fleet *deployment)
{
    return deployment->now_us;
}

/*
 * Returns a VM without a process, which stands for the caller of calls that
 * come from another process.
 */
static struct fake_vm *
external_vm(fake_fleet *deployment)
{
    struct fake_vm *vm = &deployment->vms[0];

    if (!vm->pending_calls) {
        vm->deployment = deployment;
        vm->up = true;
        vm->pending_calls =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
        fake_store_port(vm);
        fake_fleet_worker_port(vm);
        fake_adviser_port(vm);
    }
    return vm;
}

const cs_store_port *
fake_fleet_store(fake_fleet *deployment)
{
    return &external_vm(deployment)->routes[0].port;
}

const cs_worker_port *
fake_fleet_workers(fake_fleet *deployment)
{
    return &external_vm(deployment)->workers;
}

const cs_adviser_port *
fake_fleet_adviser(fake_fleet *deployment)
{
    return &external_vm(deployment)->adviser;
}

void
fake_fleet_set_address(fake_fleet *deployment, uint32_t worker,
                       const char *address)
{
    g_strlcpy(deployment->workers[worker].address, address,
              sizeof(deployment->workers[worker].address));
}

const char *
fake_fleet_address(const fake_fleet *deployment, uint32_t worker)
{
    return deployment->workers[worker].address;
}

void
fake_fleet_set_faults(fake_fleet *deployment, int32_t vm,
                      const fake_vm_faults *faults)
{
    uint32_t i;

    for (i = 0; i < deployment->vm_count; i++) {
        if (vm < 0 || (uint32_t)vm == i)
            deployment->vms[i].faults = *faults;
    }
    if (vm < 0 && deployment->vm_count == 0)
        external_vm(deployment)->faults = *faults;
}

void
fake_fleet_kill(fake_fleet *deployment, uint32_t vm, int64_t down_us)
{
    end_vm(&deployment->vms[vm]);
    fake_schedule(deployment, deployment->now_us + down_us, restart_vm,
                  &deployment->vms[vm]);
}

void
fake_fleet_freeze(fake_fleet *deployment, uint32_t vm, int64_t us)
{
    deployment->vms[vm].frozen_until_us = deployment->now_us + us;
}

void
fake_fleet_stop(fake_fleet *deployment, uint32_t vm)
{
    struct fake_vm *state = &deployment->vms[vm];

    if (!state->up || state->stop_requested_us)
        return;
    state->stop_requested_us = deployment->now_us;
    state->state.draining = true;
    cs_fleet_release(state->fleet);
}

int32_t
fake_fleet_holder(const fake_fleet *deployment)
{
    uint32_t i;

    for (i = 0; i < deployment->vm_count; i++) {
        if (deployment->vms[i].up &&
            cs_fleet_is_holder(deployment->vms[i].fleet))
            return (int32_t)i;
    }
    return -1;
}

uint64_t
fake_fleet_epoch(const fake_fleet *deployment, uint32_t vm)
{
    return deployment->vms[vm].state.cell.epoch;
}

void
fake_fleet_compact(fake_fleet *deployment)
{
    /* The rows stay for reads that lag. */
    deployment->store.compacted_version = deployment->store.version;
}

static void
restart_worker(void *user_data)
{
    struct fake_fleet_worker *worker = user_data;
    fake_fleet *deployment = worker->deployment;

    if (worker->up)
        return;
    fake_fleet_worker_dispose(worker);
    fake_fleet_worker_init(deployment, worker->number);
    fake_observe(deployment, "worker-restarted", "worker %s", worker->id);
    fake_fleet_worker_publish(worker);
}

void
fake_fleet_crash_worker(fake_fleet *deployment, uint32_t number,
                        int64_t down_us)
{
    struct fake_fleet_worker *worker = &deployment->workers[number];

    if (!worker->up)
        return;
    fake_observe(deployment, "worker-crashed", "worker %s", worker->id);
    fake_fleet_worker_lose_results(worker);
    worker->up = false;
    fake_fleet_worker_cut_connections(worker);
    fake_fleet_worker_lapse_runs(worker);
    fake_schedule(deployment, deployment->now_us + down_us, restart_worker,
                  worker);
}

void
fake_fleet_remove_worker(fake_fleet *deployment, uint32_t number)
{
    struct fake_fleet_worker *worker = &deployment->workers[number];

    worker->up = false;
    fake_fleet_worker_lapse_runs(worker);
    fake_store_remove(deployment, PLATFORM_WORKERS_TABLE, "", worker->id);
}

void
fake_fleet_drain_worker(fake_fleet *deployment, uint32_t number)
{
    deployment->workers[number].draining = true;
    fake_fleet_worker_publish(&deployment->workers[number]);
}

void
fake_fleet_expire_entry(fake_fleet *deployment, uint32_t number)
{
    fake_store_remove(deployment, PLATFORM_WORKERS_TABLE, "",
                      deployment->workers[number].id);
}

void
fake_fleet_hide_worker(fake_fleet *deployment, uint32_t number, int64_t us)
{
    deployment->workers[number].hidden_until_us = deployment->now_us + us;
}

bool
fake_vm_is_frozen(const struct fake_vm *vm)
{
    return vm->deployment->now_us < vm->frozen_until_us;
}

void
fake_fleet_cut_zone(fake_fleet *deployment, uint32_t zone, bool cut)
{
    deployment->zone_cut[zone] = cut;
}

bool
fake_zones_are_connected(const fake_fleet *deployment, uint32_t first,
                         uint32_t second)
{
    return first == second ||
           (!deployment->zone_cut[first] && !deployment->zone_cut[second]);
}

void
fake_fleet_set_worker_disconnected(fake_fleet *deployment, uint32_t worker,
                                   bool disconnected)
{
    deployment->workers[worker].disconnected = disconnected;
}

void
fake_fleet_set_worker_failing(fake_fleet *deployment, uint32_t worker,
                              bool failing)
{
    deployment->workers[worker].failing = failing;
}

void
fake_fleet_set_worker_unhealthy(fake_fleet *deployment, uint32_t worker,
                                bool unhealthy)
{
    deployment->workers[worker].unhealthy = unhealthy;
}

void
fake_fleet_set_speed(fake_fleet *deployment, uint32_t worker, double speed)
{
    deployment->workers[worker].speed = speed;
}

static cs_job_spec *
copy_spec(const cs_job_spec *spec)
{
    cs_job_spec *copy = g_new(cs_job_spec, 1);

    *copy = *spec;
    copy->payload = g_strdup(spec->payload);
    copy->steps =
        g_memdup2(spec->steps, spec->step_count * sizeof(*spec->steps));
    return copy;
}

/* Where to store the reply to a request of a test. */
struct pending_reply {
    int32_t *reply;
    int32_t *state;
    struct fake_job_record *record;
};

static void
on_entry_reply(void *user_data, const cs_entry_reply *reply)
{
    struct pending_reply *pending = user_data;

    if (pending->reply)
        *pending->reply = (int32_t)reply->type;
    if (pending->state && reply->type == CS_REPLY_STATUS)
        *pending->state = (int32_t)reply->state;
    if (pending->record && reply->type == CS_REPLY_ACCEPTED)
        pending->record->accepted = true;
    g_free(pending);
}

static void
send_call(fake_fleet *deployment, uint32_t vm, cs_entry_call_type type,
          const char *queue, const char *id, cs_job_spec *spec,
          struct pending_reply *pending)
{
    char key[16];
    char *path = g_strdup_printf("/%s/%s", queue, id);
    cs_entry_call request = {.type = type,
                             .host = "h",
                             .path = path,
                             .api_key = key,
                             .spec = spec,
                             .deadline_us =
                                 deployment->now_us + CALL_TIMEOUT_US};

    g_snprintf(key, sizeof(key), "k%u",
               pending->record ? pending->record->job.organisation : 0);
    if (deployment->vms[vm].up) {
        cs_entry_handle(deployment->vms[vm].entry, &request, on_entry_reply,
                        pending);
    }
    else {
        if (spec)
            cs_job_spec_dispose(spec);
        g_free(pending);
    }
    g_free(path);
}

struct fake_job_record *
fake_job_record_add(fake_fleet *deployment, const fake_job *job)
{
    struct fake_job_record *record = g_new0(struct fake_job_record, 1);

    record->job = *job;
    record->done_tasks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    record->lost_results =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    record->failure_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    record->lost_failure_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(deployment->jobs, record->job.spec.id, record);
    return record;
}

void
fake_fleet_submit(fake_fleet *deployment, uint32_t vm, fake_job *job,
                  int32_t *reply)
{
    struct fake_job_record *record =
        fake_job_record_find(deployment, job->spec.id);
    struct pending_reply *pending = g_new0(struct pending_reply, 1);
    cs_job_spec *copy = copy_spec(&job->spec);

    if (reply)
        *reply = -1;
    if (!record) {
        record = fake_job_record_add(deployment, job);
    }
    else if (record->job.spec.payload != job->spec.payload) {
        cs_job_spec_dispose(&job->spec);
    }
    pending->reply = reply;
    pending->record = record;
    send_call(deployment, vm, CS_ENTRY_SUBMIT, record->job.spec.queue,
              copy->id, copy, pending);
    g_free(copy);
}

void
fake_fleet_cancel(fake_fleet *deployment, uint32_t vm, const char *id,
                  int32_t *reply)
{
    struct fake_job_record *record = fake_job_record_find(deployment, id);
    struct pending_reply *pending = g_new0(struct pending_reply, 1);

    if (reply)
        *reply = -1;
    if (record)
        record->cancelled = true;
    pending->record = record;
    pending->reply = reply;
    send_call(deployment, vm, CS_ENTRY_CANCEL,
              record ? record->job.spec.queue : "q0", id, NULL, pending);
}

void
fake_fleet_query_status(fake_fleet *deployment, uint32_t vm, const char *id,
                        int32_t *reply, int32_t *state)
{
    struct fake_job_record *record = fake_job_record_find(deployment, id);
    struct pending_reply *pending = g_new0(struct pending_reply, 1);

    *reply = -1;
    *state = -1;
    pending->reply = reply;
    pending->state = state;
    send_call(deployment, vm, CS_ENTRY_STATUS,
              record ? record->job.spec.queue : "q0", id, NULL, pending);
}

void
fake_fleet_query_queue(fake_fleet *deployment, uint32_t vm, const char *queue,
                       int32_t *reply)
{
    struct pending_reply *pending = g_new0(struct pending_reply, 1);

    *reply = -1;
    pending->reply = reply;
    send_call(deployment, vm, CS_ENTRY_STATUS, queue, "", NULL, pending);
}

int32_t
fake_fleet_job_state(const fake_fleet *deployment, const char *id)
{
    const struct fake_row *row =
        fake_store_get(deployment, CS_TABLE_PROGRESS, CS_CELL_PART, id);
    cs_job_progress progress;

    if (!row ||
        cs_job_progress_decode(&progress, row->value->data, row->value->len))
        return -1;
    cs_job_progress_dispose(&progress);
    return (int32_t)progress.state;
}

/* Returns whether the store has a row under the id, a tombstone or a job. */
static bool
has_job_row(const fake_fleet *deployment, const char *id, bool tombstone)
{
    const struct fake_row *row;
    char part[CS_JOB_PART_BYTES];
    cs_job_spec spec;
    bool is_tombstone;

    cs_job_part(part, id);
    row = fake_store_get(deployment, CS_TABLE_JOBS, part, id);
    if (!row || cs_job_spec_decode(&spec, row->value->data, row->value->len))
        return row && !tombstone;
    is_tombstone = spec.tombstone;
    cs_job_spec_dispose(&spec);
    return is_tombstone == tombstone;
}

bool
fake_fleet_job_is_stored(const fake_fleet *deployment, const char *id)
{
    return has_job_row(deployment, id, false);
}

bool
fake_fleet_has_tombstone(const fake_fleet *deployment, const char *id)
{
    return has_job_row(deployment, id, true);
}

uint32_t
fake_fleet_zone_starts(const fake_fleet *deployment, uint32_t zone)
{
    return deployment->zone_starts[zone];
}

uint32_t
fake_fleet_start_count(const fake_fleet *deployment, const char *id)
{
    const struct fake_job_record *record =
        g_hash_table_lookup(deployment->jobs, id);

    return record ? record->start_count : 0;
}

const char *
fake_fleet_violation(const fake_fleet *deployment)
{
    return deployment->violation;
}

uint32_t
fake_fleet_rejected_changes(const fake_fleet *deployment)
{
    return deployment->store.rejected_changes;
}

uint32_t
fake_fleet_waiting_jobs(const fake_fleet *deployment, uint32_t vm,
                        const char *queue)
{
    return cs_cell_view_waiting_jobs(&deployment->vms[vm].state.cell, queue);
}

uint32_t
fake_fleet_max_pending_calls(const fake_fleet *deployment, uint32_t vm)
{
    return deployment->vms[vm].max_pending_calls;
}

json_t *
fake_fleet_status(const fake_fleet *deployment, uint32_t vm)
{
    return cs_fleet_status(deployment->vms[vm].fleet);
}

json_t *
fake_fleet_explain(const fake_fleet *deployment, uint32_t vm, const char *id)
{
    return cs_fleet_explain(deployment->vms[vm].fleet, id);
}

int64_t
fake_fleet_counter(const fake_fleet *deployment, uint32_t vm, const char *name)
{
    return *cs_counters_get(deployment->vms[vm].counters, name);
}

const char *
fake_fleet_find_busy_worker(const fake_fleet *deployment)
{
    uint32_t i;

    for (i = 0; i < deployment->worker_count; i++) {
        if (deployment->workers[i].runs->len > 0 ||
            deployment->workers[i].ended_runs->len > 0)
            return deployment->workers[i].id;
    }
    return NULL;
}

uint32_t
fake_fleet_violation_count(const fake_fleet *deployment)
{
    return deployment->violation_count;
}

uint64_t
fake_fleet_total_starts(const fake_fleet *deployment)
{
    uint64_t total = 0;
    uint32_t i;

    for (i = 0; i < deployment->worker_zones; i++)
        total += deployment->zone_starts[i];
    return total;
}

bool
fake_fleet_is_idle(const fake_fleet *deployment)
{
    return fake_fleet_find_busy_worker(deployment) == NULL;
}

void
fake_job_init(fake_job *job, uint32_t number, uint32_t queue, uint32_t tasks,
              int64_t accelerators, int64_t run_ms)
{
    memset(job, 0, sizeof(*job));
    cs_job_spec_init(&job->spec);
    g_snprintf(job->spec.id, sizeof(job->spec.id), "%016x", number);
    g_snprintf(job->spec.queue, sizeof(job->spec.queue), "q%u", queue);
    job->spec.payload = g_strdup("spec");
    job->spec.step_count = 1;
    job->spec.steps = g_new0(cs_job_step, 1);
    job->spec.steps[0].task_count = tasks;
    job->spec.steps[0].demand.cpu_milli = 1000;
    job->spec.steps[0].demand.memory_mb = 1000;
    job->spec.steps[0].demand.accelerators = accelerators;
    job->spec.steps[0].estimate_ms = run_ms;
    job->run_ms = run_ms;
}
