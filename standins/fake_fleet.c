/* The deployment: virtual time, processes of VMs, callers. */
#include "fake_fleet_internal.h"

#include "config.h"
#include "workers.h"

#include <stdarg.h>
#include <stdlib.h>

#define TICK_US (20 * CS_MS_US)
#define WORKER_STEP_US (10 * CS_MS_US)
#define BEAT_US (1500 * CS_MS_US)
#define CALL_US (3 * CS_SEC_US)
#define DRAIN_US (3 * CS_SEC_US)
#define PEER_PREFIX "10.8.0.1:"
#define DOWN_US (500 * CS_MS_US)

struct event {
    int64_t at_us;
    uint64_t serial;
    fake_event run;
    void *data;
};

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct event *x = a;
    const struct event *y = b;

    if (x->at_us != y->at_us)
        return x->at_us < y->at_us ? -1 : 1;
    return x->serial < y->serial ? -1 : 1;
}

void
fake_at(fake_fleet *world, int64_t us, fake_event run, void *data)
{
    struct event *event = g_new0(struct event, 1);

    event->at_us = MAX(us, world->now_us);
    event->serial = ++world->serial;
    event->run = run;
    event->data = data;
    g_sequence_insert_sorted(world->events, event, compare_events, NULL);
}

void
fake_violate(fake_fleet *world, const char *fmt, ...)
{
    char *text;
    va_list ap;

    va_start(ap, fmt);
    text = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    if (world->violation) {
        g_free(text);
        return;
    }
    world->violation = g_strdup_printf(
        "at %.3f s: %s", (double)world->now_us / CS_SEC_US, text);
    g_free(text);
}

bool
fake_chance(fake_fleet *world, double share)
{
    return share > 0 && g_rand_double(world->random) < share;
}

cs_now
fake_vm_now(void *data)
{
    const struct fake_vm *vm = data;
    cs_now now = {vm->world->now_us, FAKE_WALL_US + vm->world->now_us};

    return now;
}

static const cs_store_port *
open_peer(void *data, const char *address)
{
    struct fake_vm *vm = data;

    return &vm->ways[atoi(address + strlen(PEER_PREFIX))].port;
}

static void
vm_start(struct fake_vm *vm)
{
    cs_store_router_settings routes = {.direct = &vm->ways[vm->number].port,
                                       .open = open_peer,
                                       .open_data = vm,
                                       .own_name = vm->name,
                                       .now = fake_vm_now,
                                       .now_data = vm};
    cs_fleet_ports ports = {.workers = &vm->workers,
                            .adviser = &vm->adviser,
                            .now = fake_vm_now,
                            .now_data = vm,
                            .decode_config = platform_config_decode,
                            .config_table = PLATFORM_CONFIG_TABLE,
                            .config_key = PLATFORM_CONFIG_KEY,
                            .decode_worker = platform_worker_entry_decode,
                            .workers_table = PLATFORM_WORKERS_TABLE};
    cs_vm_settings settings = {.bounds = {.worker_lease_ms = FAKE_LEASE_MS,
                                          .stop_ms = 900,
                                          .grace_ms = 6000,
                                          .config_ms = 2000,
                                          .restore_ms = 600,
                                          .retention_ms = 120000}};

    g_snprintf(vm->name, sizeof(vm->name), "vm-%u", vm->number);
    g_strlcpy(settings.name, vm->name, sizeof(settings.name));
    vm->up = true;
    vm->stopped_us = 0;
    g_snprintf(settings.peer_address, sizeof(settings.peer_address),
               PEER_PREFIX "%u", vm->number);
    fake_link_address(settings.link_address, sizeof(settings.link_address),
                      vm->number);
    g_snprintf(settings.zone, sizeof(settings.zone), "z%u", vm->number % 3);
    settings.cpu_share = (double)vm->cpu_milli / 1000.0;
    vm->busy_until_us = 0;
    vm->counters = cs_counters_create();
    routes.counters = vm->counters;
    vm->router = cs_store_router_create(&routes);
    ports.store = cs_store_router_port(vm->router);
    cs_fleet_board_init(&vm->board, &ports, &settings, vm->counters);
    vm->members = cs_members_create(&vm->board, vm->router);
    fake_link_start(vm, vm->world->direct_max);
    vm->follower = cs_config_follower_create(&vm->board);
    vm->entry = cs_entry_create(&vm->board);
    vm->fleet = cs_fleet_create(&vm->board);
}

void
fake_open_add(struct fake_vm *vm, void *call, fake_event abort_call)
{
    struct fake_open *open = g_new0(struct fake_open, 1);

    open->abort = abort_call;
    open->serial = ++vm->world->serial;
    g_hash_table_insert(vm->open, call, open);
}

/* The oldest call, so that sessions do not depend on addresses. */
static struct fake_open *
find_oldest(struct fake_vm *vm, gpointer *call)
{
    struct fake_open *oldest = NULL;
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    g_hash_table_iter_init(&iter, vm->open);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        struct fake_open *open = value;

        if (oldest && oldest->serial < open->serial)
            continue;
        oldest = open;
        *call = key;
    }
    return oldest;
}

/* Calls on their way end with the process. */
static void
abort_calls(struct fake_vm *vm)
{
    gpointer call;
    struct fake_open *open;

    while ((open = find_oldest(vm, &call)) != NULL)
        open->abort(call);
}

static void
vm_end(struct fake_vm *vm)
{
    if (!vm->up)
        return;
    abort_calls(vm);
    fake_link_end(vm);
    vm->up = false;
    cs_fleet_destroy(vm->fleet);
    cs_entry_destroy(vm->entry);
    cs_config_follower_destroy(vm->follower);
    fake_link_dispose(vm);
    cs_members_destroy(vm->members);
    cs_store_router_destroy(vm->router);
    cs_fleet_board_dispose(&vm->board);
    cs_counters_destroy(vm->counters);
}

static void
restart(void *data)
{
    struct fake_vm *vm = data;

    if (!vm->up)
        vm_start(vm);
}

static void
tick(void *data)
{
    struct fake_vm *vm = data;
    fake_fleet *world = vm->world;

    fake_at(world, world->now_us + TICK_US, tick, vm);
    if (!vm->up || world->now_us < vm->frozen_until_us ||
        world->now_us < vm->busy_until_us)
        return;
    cs_members_tick(vm->members);
    cs_config_follower_tick(vm->follower);
    cs_entry_tick(vm->entry);
    cs_fleet_tick(vm->fleet);
    fake_link_tick(vm);
    if (vm->stopped_us && world->now_us - vm->stopped_us > DRAIN_US &&
        cs_fleet_is_released(vm->fleet) && cs_entry_open(vm->entry) == 0) {
        vm_end(vm);
        fake_at(world, world->now_us + DOWN_US, restart, vm);
    }
}

static void
step_workers(void *data)
{
    fake_fleet *world = data;
    uint32_t i;

    for (i = 0; i < world->worker_count; i++)
        fake_worker_step(&world->workers[i]);
    fake_at(world, world->now_us + WORKER_STEP_US, step_workers, world);
}

static void
beat(void *data)
{
    struct fake_worker_state *worker = data;

    if (worker->up && !worker->cut)
        fake_worker_beat(worker);
    fake_at(worker->world, worker->world->now_us + BEAT_US, beat, worker);
}

void
fake_fleet_configure(fake_fleet *world, uint64_t version)
{
    char *text = g_strdup_printf(
        "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":["
        "{\"name\":\"q0\",\"host\":\"h\",\"pathPrefix\":\"/q0/\",\"service\":"
        "\"lab\",\"priority\":0,\"attempts\":3,\"stretch\":1.5,"
        "\"targetLatencyMs\":250},"
        "{\"name\":\"q1\",\"host\":\"h\",\"pathPrefix\":\"/q1/\",\"service\":"
        "\"lab\",\"priority\":1,\"attempts\":3,\"stretch\":3.0,"
        "\"targetLatencyMs\":1000},"
        "{\"name\":\"q2\",\"host\":\"h\",\"pathPrefix\":\"/q2/\",\"service\":"
        "\"lab\",\"priority\":2,\"attempts\":3,\"stretch\":3.0,"
        "\"targetLatencyMs\":3000},"
        "{\"name\":\"q3\",\"host\":\"h\",\"pathPrefix\":\"/q3/\",\"service\":"
        "\"lab\",\"priority\":1,\"attempts\":3,\"stretch\":3.0,"
        "\"targetLatencyMs\":1000,\"advice\":{\"decideMs\":50,"
        "\"eachMs\":2,\"validMs\":3000}}],"
        "\"services\":[{\"name\":\"lab\",\"admissionControl\":true}],"
        "\"limits\":{\"maxBodyBytes\":262144},"
        "\"tenants\":[{\"name\":\"t0\",\"apiKeys\":[\"k0\"],"
        "\"guaranteed\":{\"gpu\":64}}]}",
        version);

    fake_store_put(world, PLATFORM_CONFIG_TABLE, "", PLATFORM_CONFIG_KEY, text,
                   strlen(text));
    g_free(text);
}

static int64_t
cpu_milli_of(const fake_fleet_settings *settings, uint32_t vm)
{
    uint32_t count = 0;

    while (count < G_N_ELEMENTS(settings->cpu_milli) &&
           settings->cpu_milli[count])
        count++;
    return count ? settings->cpu_milli[vm % count] : 1000;
}

static void
known_free(gpointer data)
{
    struct fake_known *known = data;

    cs_job_spec_dispose(&known->job.spec);
    g_hash_table_destroy(known->done);
    g_hash_table_destroy(known->voided);
    g_hash_table_destroy(known->failures);
    g_free(known);
}

fake_fleet *
fake_fleet_create(const fake_fleet_settings *settings)
{
    fake_fleet *world = g_new0(fake_fleet, 1);
    uint32_t i;

    world->random = g_rand_new_with_seed((guint32)settings->seed);
    world->events = g_sequence_new(g_free);
    world->jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, known_free);
    world->vm_count = settings->vms;
    world->worker_count = settings->workers;
    world->rack_count = settings->racks;
    world->removed = settings->removed;
    world->direct_max =
        settings->direct_max ? settings->direct_max : UINT32_MAX;
    world->call_us = settings->call_us;
    world->message_us = settings->message_us;
    fake_store_init(world);
    fake_fleet_configure(world, 1);
    for (i = 0; i < world->worker_count; i++) {
        fake_worker_init(world, i);
        fake_at(world, (int64_t)i * 1000, beat, &world->workers[i]);
    }
    for (i = 0; i < world->vm_count; i++) {
        struct fake_vm *vm = &world->vms[i];

        vm->world = world;
        vm->number = i;
        vm->cpu_milli = cpu_milli_of(settings, i);
        vm->open =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
        fake_store_port(vm);
        fake_worker_port(vm);
        fake_adviser_port(vm);
        vm_start(vm);
        fake_at(world, (int64_t)i * 1500, tick, vm);
    }
    fake_at(world, 0, step_workers, world);
    return world;
}

void
fake_fleet_destroy(fake_fleet *world)
{
    uint32_t i;

    for (i = 0; i < world->vm_count; i++)
        vm_end(&world->vms[i]);
    world->ended = true;
    /* Calls free themselves at their last event. */
    while (!g_sequence_is_empty(world->events)) {
        GSequenceIter *first = g_sequence_get_begin_iter(world->events);
        struct event event = *(struct event *)g_sequence_get(first);

        g_sequence_remove(first);
        if (event.at_us - world->now_us > 60 * CS_SEC_US)
            continue;
        if (event.run != tick && event.run != beat &&
            event.run != step_workers && event.run != restart)
            event.run(event.data);
    }
    for (i = 0; i < world->vm_count; i++)
        g_hash_table_destroy(world->vms[i].open);
    g_sequence_free(world->events);
    for (i = 0; i < world->worker_count; i++)
        fake_worker_dispose(&world->workers[i]);
    fake_store_dispose(world);
    g_hash_table_destroy(world->jobs);
    g_rand_free(world->random);
    g_free(world->violation);
    g_free(world);
}

void
fake_fleet_run_to_call(fake_fleet *world, int64_t us, uint64_t call)
{
    int64_t end_us = world->now_us + us;

    while (!g_sequence_is_empty(world->events) && world->calls < call) {
        GSequenceIter *first = g_sequence_get_begin_iter(world->events);
        struct event event = *(struct event *)g_sequence_get(first);

        if (event.at_us > end_us)
            break;
        g_sequence_remove(first);
        world->now_us = event.at_us;
        event.run(event.data);
    }
    if (world->calls < call)
        world->now_us = end_us;
}

void
fake_fleet_run(fake_fleet *world, int64_t us)
{
    fake_fleet_run_to_call(world, us, UINT64_MAX);
}

uint64_t
fake_fleet_calls(const fake_fleet *world)
{
    return world->calls;
}

int64_t
fake_fleet_now_us(const fake_fleet *world)
{
    return world->now_us;
}

/* Calls of another process come from a VM that runs nothing here. */
static struct fake_vm *
outside(fake_fleet *world)
{
    struct fake_vm *vm = &world->vms[0];

    if (!vm->open) {
        vm->world = world;
        vm->up = true;
        vm->open =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
        fake_store_port(vm);
        fake_worker_port(vm);
        fake_adviser_port(vm);
    }
    return vm;
}

const cs_store_port *
fake_fleet_store(fake_fleet *world)
{
    return &outside(world)->ways[0].port;
}

const cs_worker_port *
fake_fleet_workers(fake_fleet *world)
{
    return &outside(world)->workers;
}

const cs_adviser_port *
fake_fleet_adviser(fake_fleet *world)
{
    return &outside(world)->adviser;
}

void
fake_fleet_set_address(fake_fleet *world, uint32_t worker, const char *address)
{
    g_strlcpy(world->workers[worker].address, address,
              sizeof(world->workers[worker].address));
}

void
fake_fleet_set_faults(fake_fleet *world, int32_t vm,
                      const fake_vm_faults *faults)
{
    uint32_t i;

    for (i = 0; i < world->vm_count; i++) {
        if (vm < 0 || (uint32_t)vm == i)
            world->vms[i].faults = *faults;
    }
}

void
fake_fleet_kill(fake_fleet *world, uint32_t vm, int64_t down_us)
{
    vm_end(&world->vms[vm]);
    fake_at(world, world->now_us + down_us, restart, &world->vms[vm]);
}

void
fake_fleet_freeze(fake_fleet *world, uint32_t vm, int64_t us)
{
    world->vms[vm].frozen_until_us = world->now_us + us;
}

void
fake_fleet_stop(fake_fleet *world, uint32_t vm)
{
    struct fake_vm *state = &world->vms[vm];

    if (!state->up || state->stopped_us)
        return;
    state->stopped_us = world->now_us;
    state->board.draining = true;
    cs_fleet_release(state->fleet);
}

int32_t
fake_fleet_holder(const fake_fleet *world)
{
    uint32_t i;

    for (i = 0; i < world->vm_count; i++) {
        if (world->vms[i].up && cs_fleet_is_holder(world->vms[i].fleet))
            return (int32_t)i;
    }
    return -1;
}

uint64_t
fake_fleet_epoch(const fake_fleet *world, uint32_t vm)
{
    return world->vms[vm].board.cell.epoch;
}

void
fake_fleet_compact(fake_fleet *world)
{
    world->store.kept_after = world->store.version;
    g_ptr_array_set_size(world->store.history, 0);
}

static void
worker_back(void *data)
{
    struct fake_worker_state *worker = data;
    fake_fleet *world = worker->world;

    if (worker->up)
        return;
    fake_worker_dispose(worker);
    fake_worker_init(world, worker->number);
    fake_worker_beat(worker);
}

void
fake_fleet_crash_worker(fake_fleet *world, uint32_t number, int64_t down_us)
{
    struct fake_worker_state *worker = &world->workers[number];

    if (!worker->up)
        return;
    fake_worker_reset(worker);
    worker->up = false;
    fake_worker_crash(worker);
    fake_at(world, world->now_us + down_us, worker_back, worker);
}

void
fake_fleet_remove_worker(fake_fleet *world, uint32_t number)
{
    struct fake_worker_state *worker = &world->workers[number];

    worker->up = false;
    fake_worker_crash(worker);
    fake_store_remove(world, PLATFORM_WORKERS_TABLE, "", worker->id);
}

void
fake_fleet_cut_worker(fake_fleet *world, uint32_t worker, bool cut)
{
    world->workers[worker].cut = cut;
}

void
fake_fleet_spoil_worker(fake_fleet *world, uint32_t worker, bool spoilt)
{
    world->workers[worker].spoilt = spoilt;
}

void
fake_fleet_set_speed(fake_fleet *world, uint32_t worker, double speed)
{
    world->workers[worker].speed = speed;
}

static cs_job_spec *
copy_spec(const cs_job_spec *spec)
{
    cs_job_spec *copy = g_new(cs_job_spec, 1);

    *copy = *spec;
    copy->text = g_strdup(spec->text);
    copy->steps =
        g_memdup2(spec->steps, spec->step_count * sizeof(*spec->steps));
    return copy;
}

struct pending {
    int32_t *reply;
    int32_t *state;
    struct fake_known *known;
};

static void
on_reply(void *data, const cs_entry_reply *reply)
{
    struct pending *pending = data;

    if (pending->reply)
        *pending->reply = (int32_t)reply->type;
    if (pending->state && reply->type == CS_REPLY_STATUS)
        *pending->state = (int32_t)reply->state;
    if (pending->known && reply->type == CS_REPLY_ACCEPTED)
        pending->known->accepted = true;
    g_free(pending);
}

static void
call(fake_fleet *world, uint32_t vm, cs_call_type type, const char *queue,
     const char *id, cs_job_spec *spec, struct pending *pending)
{
    char *path = g_strdup_printf("/%s/%s", queue, id);
    cs_entry_call request = {.type = type,
                             .host = "h",
                             .path = path,
                             .key = "k0",
                             .spec = spec,
                             .deadline_us = world->now_us + CALL_US};

    if (world->vms[vm].up) {
        cs_entry_handle(world->vms[vm].entry, &request, on_reply, pending);
    }
    else {
        if (spec)
            cs_job_spec_dispose(spec);
        g_free(pending);
    }
    g_free(path);
}

struct fake_known *
fake_known_add(fake_fleet *world, const fake_job *job)
{
    struct fake_known *known = g_new0(struct fake_known, 1);

    known->job = *job;
    known->done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    known->voided =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    known->failures =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(world->jobs, known->job.spec.id, known);
    return known;
}

void
fake_fleet_submit(fake_fleet *world, uint32_t vm, fake_job *job,
                  int32_t *reply)
{
    struct fake_known *known = fake_known(world, job->spec.id);
    struct pending *pending = g_new0(struct pending, 1);
    cs_job_spec *copy = copy_spec(&job->spec);

    if (reply)
        *reply = -1;
    if (!known) {
        known = fake_known_add(world, job);
    }
    else if (known->job.spec.text != job->spec.text) {
        cs_job_spec_dispose(&job->spec);
    }
    pending->reply = reply;
    pending->known = known;
    call(world, vm, CS_CALL_SUBMIT, known->job.spec.queue, copy->id, copy,
         pending);
    g_free(copy);
}

void
fake_fleet_cancel(fake_fleet *world, uint32_t vm, const char *id,
                  int32_t *reply)
{
    struct fake_known *known = fake_known(world, id);
    struct pending *pending = g_new0(struct pending, 1);

    if (reply)
        *reply = -1;
    if (known)
        known->cancelled = true;
    pending->reply = reply;
    call(world, vm, CS_CALL_CANCEL, known ? known->job.spec.queue : "q0", id,
         NULL, pending);
}

void
fake_fleet_ask(fake_fleet *world, uint32_t vm, const char *id, int32_t *reply,
               int32_t *state)
{
    struct fake_known *known = fake_known(world, id);
    struct pending *pending = g_new0(struct pending, 1);

    *reply = -1;
    *state = -1;
    pending->reply = reply;
    pending->state = state;
    call(world, vm, CS_CALL_STATUS, known ? known->job.spec.queue : "q0", id,
         NULL, pending);
}

int32_t
fake_fleet_state(const fake_fleet *world, const char *id)
{
    const struct fake_row *row =
        fake_store_get(world, CS_TABLE_PROGRESS, CS_CELL_PART, id);
    cs_job_progress progress;

    if (!row ||
        cs_job_progress_decode(&progress, row->value->data, row->value->len))
        return -1;
    cs_job_progress_dispose(&progress);
    return (int32_t)progress.state;
}

bool
fake_fleet_is_stored(const fake_fleet *world, const char *id)
{
    char part[CS_JOB_PART_BYTES];

    cs_job_part(part, id);
    return fake_store_get(world, CS_TABLE_JOBS, part, id) != NULL;
}

uint32_t
fake_fleet_starts(const fake_fleet *world, const char *id)
{
    const struct fake_known *known = g_hash_table_lookup(world->jobs, id);

    return known ? known->starts : 0;
}

const char *
fake_fleet_violation(const fake_fleet *world)
{
    return world->violation;
}

uint32_t
fake_fleet_waiting(const fake_fleet *world, uint32_t vm, const char *queue)
{
    return GPOINTER_TO_UINT(
        g_hash_table_lookup(world->vms[vm].board.cell.waiting, queue));
}

uint32_t
fake_fleet_most_open(const fake_fleet *world, uint32_t vm)
{
    return world->vms[vm].most_open;
}

json_t *
fake_fleet_status(const fake_fleet *world, uint32_t vm)
{
    return cs_fleet_status(world->vms[vm].fleet);
}

int64_t
fake_fleet_counter(const fake_fleet *world, uint32_t vm, const char *name)
{
    return *cs_counters_get(world->vms[vm].counters, name);
}

const char *
fake_fleet_unquiet(const fake_fleet *world)
{
    uint32_t i;

    for (i = 0; i < world->worker_count; i++) {
        if (world->workers[i].runs->len > 0 || world->workers[i].ends->len > 0)
            return world->workers[i].id;
    }
    return NULL;
}

bool
fake_fleet_is_quiet(const fake_fleet *world)
{
    return fake_fleet_unquiet(world) == NULL;
}

void
fake_job_init(fake_job *job, uint32_t number, uint32_t queue, uint32_t tasks,
              int64_t accelerators, int64_t run_ms)
{
    memset(job, 0, sizeof(*job));
    cs_job_spec_init(&job->spec);
    g_snprintf(job->spec.id, sizeof(job->spec.id), "%016x", number);
    g_snprintf(job->spec.queue, sizeof(job->spec.queue), "q%u", queue);
    job->spec.text = g_strdup("spec");
    job->spec.step_count = 1;
    job->spec.steps = g_new0(cs_job_step, 1);
    job->spec.steps[0].task_count = tasks;
    job->spec.steps[0].demand.cpu_milli = 1000;
    job->spec.steps[0].demand.memory_mb = 1000;
    job->spec.steps[0].demand.accelerators = accelerators;
    job->spec.steps[0].estimate_ms = run_ms;
    job->run_ms = run_ms;
}
