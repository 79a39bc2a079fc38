/* Workers: leases, epochs, runs, gangs, ends; lost and late orders. */
#include "fake_fleet_internal.h"

#include <stdlib.h>

#define LATE_MIN_US (2 * CS_SEC_US)
#define LATE_MAX_US (12 * CS_SEC_US)
#define FAILS_AFTER_US (100 * CS_MS_US)

typedef enum { ORDER_START, ORDER_STOP, ORDER_HOLD } order_type;

struct order {
    fake_fleet *world;
    struct fake_vm *vm;
    order_type type;
    char address[32];
    char incarnation[32];
    char task[64];
    uint32_t run;
    uint64_t epoch;
    uint64_t seen_upto;
    int64_t until_ms;
    int64_t wait_until_us;
    int64_t deadline_us;
    uint64_t born_ms; /* of the incarnation that the order went to */
    bool answered;
    bool waiting;
    bool is_late; /* its answer is lost */
    char ticket[CS_TICKET_BYTES];
    cs_worker_done done;
    void *data;
};

static int64_t
clock_ms(const struct fake_worker_state *worker)
{
    return (worker->world->now_us - worker->born_us) / CS_MS_US + 1000;
}

static void
run_free(gpointer data)
{
    g_free(data);
}

void
fake_worker_reset(struct fake_worker_state *worker)
{
    guint i;

    for (i = 0; worker->ends && i < worker->ends->len; i++) {
        const struct fake_end *end =
            &g_array_index(worker->ends, struct fake_end, i);
        char id[CS_JOB_ID_BYTES];
        struct fake_known *known;

        g_strlcpy(id, end->task, sizeof(id));
        known = fake_known(worker->world, id);
        if (known && end->how == CS_END_DONE)
            g_hash_table_add(known->voided, g_strdup(end->task));
    }
}

void
fake_worker_init(fake_fleet *world, uint32_t number)
{
    struct fake_worker_state *worker = &world->workers[number];

    worker->world = world;
    worker->number = number;
    if (worker->speed == 0)
        worker->speed = 1;
    g_snprintf(worker->id, sizeof(worker->id), "w-%02u", number);
    if (!worker->address[0])
        g_snprintf(worker->address, sizeof(worker->address), "10.9.%u.%u:80",
                   number / 200, number % 200 + 1);
    worker->born_us = world->now_us;
    worker->born_ms =
        (uint64_t)((FAKE_WALL_US + world->now_us) / CS_MS_US) + 1;
    worker->fence = 0;
    worker->next_end = 1;
    worker->until_us = 0;
    worker->up = true;
    worker->runs = g_ptr_array_new_with_free_func(run_free);
    worker->ends = g_array_new(FALSE, TRUE, sizeof(struct fake_end));
    worker->dead =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    worker->waiters = g_ptr_array_new();
}

void
fake_worker_dispose(struct fake_worker_state *worker)
{
    g_ptr_array_free(worker->runs, TRUE);
    g_array_free(worker->ends, TRUE);
    g_hash_table_destroy(worker->dead);
    g_ptr_array_free(worker->waiters, TRUE);
}

void
fake_worker_beat(struct fake_worker_state *worker)
{
    char *text = g_strdup_printf(
        "{\"service\":\"lab\",\"addr\":\"%s\",\"zone\":\"z%u\",\"version\":"
        "\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,"
        "\"capacity\":{\"cpu\":64000,\"memMb\":131072,\"gpu\":8},"
        "\"labels\":[\"a\",\"r1-%u\"],\"clockMs\":1,\"seq\":%u,\"born\":"
        "%" G_GUINT64_FORMAT "}",
        worker->address, worker->number % 3,
        worker->number % worker->world->rack_count, (unsigned)++worker->beat,
        worker->born_ms);

    fake_store_put(worker->world, "servers", "", worker->id, text,
                   strlen(text));
    g_free(text);
}

static void
deliver(struct order *order, const cs_worker_answer *a)
{
    if (order->answered)
        return;
    order->answered = true;
    g_hash_table_remove(order->vm->open, order);
    order->done(order->data, a);
}

/* An answer that waits until its VM has time for it. */
struct held_answer {
    struct order *order;
    cs_worker_answer answer;
    cs_worker_run *runs;
    cs_worker_end *ends;
    GStringChunk *texts;
};

static void
deliver_held(void *data)
{
    struct held_answer *held = data;

    deliver(held->order, &held->answer);
    g_string_chunk_free(held->texts);
    g_free(held->runs);
    g_free(held->ends);
    g_free(held);
}

static void
hold_answer(struct order *order, const cs_worker_answer *a, int64_t until_us)
{
    struct held_answer *held = g_new0(struct held_answer, 1);
    size_t i;

    held->order = order;
    held->answer = *a;
    held->texts = g_string_chunk_new(256);
    held->runs = g_memdup2(a->runs, a->run_count * sizeof(*a->runs));
    held->ends = g_memdup2(a->ends, a->end_count * sizeof(*a->ends));
    for (i = 0; i < a->run_count; i++)
        held->runs[i].task =
            g_string_chunk_insert(held->texts, a->runs[i].task);
    for (i = 0; i < a->end_count; i++)
        held->ends[i].task =
            g_string_chunk_insert(held->texts, a->ends[i].task);
    held->answer.runs = held->runs;
    held->answer.ends = held->ends;
    fake_at(order->world, until_us, deliver_held, held);
}

static void
answer(struct order *order, const cs_worker_answer *a)
{
    int64_t free_us;

    if (order->answered || (order->is_late && a->code != CS_E_UNKNOWN))
        return;
    free_us = fake_charge(order->vm, order->world->call_us / 2);
    if (a->code != CS_E_UNKNOWN && free_us > order->world->now_us)
        hold_answer(order, a, free_us);
    else
        deliver(order, a);
}

static void
answer_code(struct order *order, int code, cs_worker_refusal refusal)
{
    cs_worker_answer a = {.code = code, .refusal = refusal, .clock_ms = -1};

    answer(order, &a);
}

static void
answer_lists(struct order *order, const struct fake_worker_state *worker)
{
    cs_worker_answer a = {.clock_ms = clock_ms(worker),
                          .born_ms = worker->born_ms,
                          .run_count = worker->runs->len,
                          .end_count = worker->ends->len};
    cs_worker_run *runs = g_new0(cs_worker_run, worker->runs->len + 1);
    cs_worker_end *ends = g_new0(cs_worker_end, worker->ends->len + 1);
    guint i;

    for (i = 0; i < worker->runs->len; i++) {
        const struct fake_run *run = g_ptr_array_index(worker->runs, i);

        runs[i].task = run->task;
        runs[i].run = run->run;
        runs[i].saved = "";
    }
    for (i = 0; i < worker->ends->len; i++) {
        const struct fake_end *end =
            &g_array_index(worker->ends, struct fake_end, i);

        ends[i].number = end->number;
        ends[i].task = end->task;
        ends[i].run = end->run;
        ends[i].how = end->how;
        ends[i].saved = "";
    }
    a.runs = runs;
    a.ends = ends;
    answer(order, &a);
    g_free(runs);
    g_free(ends);
}

static void
wake(struct fake_worker_state *worker)
{
    while (worker->waiters->len > 0) {
        struct order *order = g_ptr_array_index(worker->waiters, 0);

        g_ptr_array_remove_index(worker->waiters, 0);
        order->waiting = false;
        if (!worker->cut)
            answer_lists(order, worker);
    }
}

static void
end_run(struct fake_worker_state *worker, struct fake_run *run, cs_run_end how)
{
    struct fake_end end = {
        .number = worker->next_end++, .run = run->run, .how = how};

    g_strlcpy(end.task, run->task, sizeof(end.task));
    g_array_append_val(worker->ends, end);
    g_hash_table_insert(worker->dead, g_strdup(run->task),
                        GUINT_TO_POINTER(run->run));
    fake_check_end(worker->world, worker, run, how);
    g_ptr_array_remove(worker->runs, run);
    wake(worker);
}

/* Visits the members of a gang's run on all workers that are up. */
static guint
gang_members(fake_fleet *world, const struct fake_run *run, GPtrArray *out)
{
    guint count = 0;
    uint32_t i;
    guint k;

    for (i = 0; i < world->worker_count; i++) {
        for (k = 0; k < world->workers[i].runs->len; k++) {
            struct fake_run *r = g_ptr_array_index(world->workers[i].runs, k);

            if (strcmp(r->job, run->job) != 0 || r->step != run->step ||
                r->run != run->run)
                continue;
            count++;
            if (out) {
                g_ptr_array_add(out, &world->workers[i]);
                g_ptr_array_add(out, r);
            }
        }
    }
    return count;
}

static void
end_gang(struct fake_worker_state *worker, struct fake_run *run,
         cs_run_end how)
{
    GPtrArray *members = g_ptr_array_new();
    cs_run_end others = how == CS_END_DONE ? CS_END_DONE : CS_END_BROKEN;
    guint i;

    gang_members(worker->world, run, members);
    for (i = 0; i < members->len; i += 2) {
        struct fake_run *r = g_ptr_array_index(members, i + 1);

        end_run(g_ptr_array_index(members, i), r, r == run ? how : others);
    }
    g_ptr_array_free(members, TRUE);
}

static const cs_job_step *
step_of(const struct fake_worker_state *worker, const struct fake_run *run)
{
    const struct fake_known *known = fake_known(worker->world, run->job);

    return known ? &known->job.spec.steps[run->step] : NULL;
}

static void
end_any(struct fake_worker_state *worker, struct fake_run *run, cs_run_end how)
{
    const cs_job_step *step = step_of(worker, run);

    if (step && step->gang && run->working_us)
        end_gang(worker, run, how);
    else
        end_run(worker, run, how);
}

static void
begin_work(struct fake_worker_state *worker, struct fake_run *run)
{
    const struct fake_known *known = fake_known(worker->world, run->job);
    int64_t now_us = worker->world->now_us;

    run->working_us = now_us;
    run->end_us = now_us + (int64_t)((double)(known->job.run_ms * CS_MS_US) /
                                     worker->speed);
    if (known->job.hopeless || worker->spoilt)
        run->end_us = now_us + FAILS_AFTER_US;
}

static void
begin_if_present(struct fake_worker_state *worker, struct fake_run *run)
{
    const cs_job_step *step = step_of(worker, run);
    GPtrArray *members;
    guint i;

    if (!step || run->working_us)
        return;
    if (!step->gang) {
        begin_work(worker, run);
        return;
    }
    members = g_ptr_array_new();
    if (gang_members(worker->world, run, members) == step->task_count) {
        for (i = 0; i < members->len; i += 2)
            begin_work(g_ptr_array_index(members, i),
                       g_ptr_array_index(members, i + 1));
    }
    g_ptr_array_free(members, TRUE);
}

static void
lapse(struct fake_worker_state *worker)
{
    while (worker->runs->len > 0)
        end_any(worker, g_ptr_array_index(worker->runs, 0), CS_END_LAPSED);
    worker->until_us = 0;
    fake_worker_reset(worker);
}

void
fake_worker_crash(struct fake_worker_state *worker)
{
    while (worker->runs->len > 0)
        end_any(worker, g_ptr_array_index(worker->runs, 0), CS_END_LAPSED);
}

static bool
step_run(struct fake_worker_state *worker, struct fake_run *run)
{
    const struct fake_known *known = fake_known(worker->world, run->job);
    int64_t now_us = worker->world->now_us;

    if (run->stop_us && now_us >= run->stop_us) {
        end_any(worker, run, CS_END_STOPPED);
        return true;
    }
    if (run->working_us && now_us >= run->end_us) {
        bool failed = worker->spoilt || (known && known->job.hopeless);

        end_any(worker, run, failed ? CS_END_FAILED : CS_END_DONE);
        return true;
    }
    if (!run->working_us && now_us - run->started_us > FAKE_GANG_US) {
        end_run(worker, run, CS_END_ALONE);
        return true;
    }
    return false;
}

void
fake_worker_step(struct fake_worker_state *worker)
{
    guint i = 0;

    if (!worker->up)
        return;
    if (worker->until_us && worker->world->now_us > worker->until_us)
        lapse(worker);
    while (i < worker->runs->len) {
        if (step_run(worker, g_ptr_array_index(worker->runs, i)))
            i = 0;
        else
            i++;
    }
}

static struct fake_run *
find_run(const struct fake_worker_state *worker, const char *task)
{
    guint i;

    for (i = 0; i < worker->runs->len; i++) {
        struct fake_run *run = g_ptr_array_index(worker->runs, i);

        if (strcmp(run->task, task) == 0)
            return run;
    }
    return NULL;
}

static void
extend(struct fake_worker_state *worker, int64_t until_ms)
{
    int64_t most_us =
        worker->world->now_us + (int64_t)FAKE_LEASE_MS * CS_MS_US;
    int64_t until_us = worker->born_us + (until_ms - 1000) * CS_MS_US;

    worker->until_us = MAX(worker->until_us, MIN(until_us, most_us));
}

static int64_t
free_accelerators(const struct fake_worker_state *worker)
{
    int64_t left = 8;
    guint i;

    for (i = 0; i < worker->runs->len; i++) {
        const cs_job_step *step =
            step_of(worker, g_ptr_array_index(worker->runs, i));

        left -= step ? step->demand.accelerators : 0;
    }
    return left;
}

static bool
has_ticket(const struct order *order, const struct fake_worker_state *worker,
           const struct fake_known *known)
{
    char step[sizeof(order->task)];

    if (strcmp(known->job.spec.queue, FAKE_ADVISED_QUEUE) != 0)
        return true;
    g_strlcpy(step, order->task, sizeof(step));
    *strrchr(step, '.') = '\0';
    return fake_adviser_accepts(worker, step, order->ticket);
}

static void
do_start(struct order *order, struct fake_worker_state *worker)
{
    struct fake_run *run = find_run(worker, order->task);
    cs_worker_answer a = {.clock_ms = clock_ms(worker),
                          .born_ms = worker->born_ms};
    struct fake_known *known;
    char id[CS_JOB_ID_BYTES];
    char **words;

    if (run && run->run == order->run) {
        extend(worker, order->until_ms);
        answer(order, &a);
        return;
    }
    if (run || (worker->world->removed != FAKE_WITHOUT_OLD_RUNS &&
                GPOINTER_TO_UINT(g_hash_table_lookup(
                    worker->dead, order->task)) >= order->run)) {
        answer_code(order, CS_E_WORKER, CS_REFUSED_OLD_RUN);
        return;
    }
    if (order->until_ms <= clock_ms(worker)) {
        answer_code(order, CS_E_WORKER, CS_REFUSED_LATE);
        return;
    }
    g_strlcpy(id, order->task, sizeof(id));
    known = fake_known(worker->world, id);
    words = g_strsplit(order->task, ".", 0);
    if (!known || g_strv_length(words) != 4) {
        fake_violate(worker->world, "unasked: start of %s", order->task);
        g_strfreev(words);
        return;
    }
    if (!has_ticket(order, worker, known)) {
        g_strfreev(words);
        answer_code(order, CS_E_WORKER, CS_REFUSED_TICKET);
        return;
    }
    if (free_accelerators(worker) <
        known->job.spec.steps[atoi(words[2])].demand.accelerators) {
        g_strfreev(words);
        answer_code(order, CS_E_WORKER, CS_REFUSED_NO_SPACE);
        return;
    }
    run = g_new0(struct fake_run, 1);
    g_strlcpy(run->task, order->task, sizeof(run->task));
    g_strlcpy(run->job, id, sizeof(run->job));
    run->step = (uint32_t)atoi(words[2]);
    g_strfreev(words);
    run->run = order->run;
    run->epoch = order->epoch;
    run->started_us = worker->world->now_us;
    g_ptr_array_add(worker->runs, run);
    extend(worker, order->until_ms);
    fake_check_start(worker->world, worker, run);
    begin_if_present(worker, run);
    answer(order, &a);
}

static void
do_stop(struct order *order, struct fake_worker_state *worker)
{
    struct fake_run *run = find_run(worker, order->task);
    cs_worker_answer a = {.clock_ms = clock_ms(worker),
                          .born_ms = worker->born_ms};
    guint dead =
        GPOINTER_TO_UINT(g_hash_table_lookup(worker->dead, order->task));

    if (run && run->run == order->run && !run->stop_us)
        run->stop_us = worker->world->now_us + FAKE_STOP_US;
    else if (!run)
        g_hash_table_insert(worker->dead, g_strdup(order->task),
                            GUINT_TO_POINTER(MAX(dead, order->run)));
    answer(order, &a);
}

static void
do_hold(struct order *order, struct fake_worker_state *worker)
{
    guint i = 0;

    while (i < worker->ends->len) {
        if (g_array_index(worker->ends, struct fake_end, i).number <=
            order->seen_upto)
            g_array_remove_index(worker->ends, i);
        else
            i++;
    }
    if (order->until_ms)
        extend(worker, order->until_ms);
    if (worker->ends->len > 0 ||
        worker->world->now_us >= order->wait_until_us) {
        answer_lists(order, worker);
        return;
    }
    order->waiting = true;
    g_ptr_array_add(worker->waiters, order);
}

static struct fake_worker_state *
find_worker(const struct order *order)
{
    uint32_t i;

    for (i = 0; i < order->world->worker_count; i++) {
        struct fake_worker_state *worker = &order->world->workers[i];

        if (strcmp(worker->address, order->address) == 0)
            return worker;
    }
    return NULL;
}

static void
execute(void *data)
{
    struct order *order = data;
    struct fake_worker_state *worker = find_worker(order);

    if (!worker || worker->cut)
        return;
    /* An order on its way dies with the process that it was sent to. */
    if (worker->up && order->born_ms && order->born_ms != worker->born_ms)
        return;
    if (!worker->up) {
        answer_code(order, CS_E_CONNECT, CS_REFUSED_OTHER);
        return;
    }
    if (order->epoch < worker->fence &&
        worker->world->removed != FAKE_WITHOUT_EPOCHS) {
        answer_code(order, CS_E_WORKER, CS_REFUSED_FENCED);
        return;
    }
    worker->fence = MAX(worker->fence, order->epoch);
    switch (order->type) {
    case ORDER_START:
        do_start(order, worker);
        return;
    case ORDER_STOP:
        do_stop(order, worker);
        return;
    case ORDER_HOLD:
        do_hold(order, worker);
        return;
    }
}

static void
end_wait(void *data)
{
    struct order *order = data;
    struct fake_worker_state *worker = find_worker(order);

    if (!order->waiting)
        return;
    order->waiting = false;
    g_ptr_array_remove(worker->waiters, order);
    if (!worker->cut && worker->up)
        answer_lists(order, worker);
}

static void
expire(void *data)
{
    struct order *order = data;

    answer_code(order, CS_E_UNKNOWN, CS_REFUSED_OTHER);
}

static void
release(void *data)
{
    struct order *order = data;
    struct fake_worker_state *worker = find_worker(order);

    if (order->waiting)
        g_ptr_array_remove(worker->waiters, order);
    g_free(order);
}

static void
schedule(struct order *order)
{
    fake_fleet *world = order->world;
    const fake_vm_faults *faults = &order->vm->faults;
    const struct fake_worker_state *worker = find_worker(order);
    int64_t at_us = fake_charge(order->vm, world->call_us / 2) + FAKE_HOP_US;
    bool late = fake_chance(world, faults->orders_late);

    order->is_late = late;
    if (worker && worker->up)
        order->born_ms = worker->born_ms;

    if (late)
        at_us = world->now_us +
                g_rand_int_range(world->random, LATE_MIN_US, LATE_MAX_US);
    if (!faults->workers_cut)
        fake_at(world, at_us, execute, order);
    if (order->wait_until_us)
        fake_at(world, order->wait_until_us, end_wait, order);
    fake_at(world, order->deadline_us, expire, order);
    fake_at(world, order->deadline_us + 2 * LATE_MAX_US, release, order);
}

static void
abort_order(void *data)
{
    answer_code(data, CS_E_UNKNOWN, CS_REFUSED_OTHER);
}

static struct order *
order_new(struct fake_vm *vm, order_type type, const cs_worker_target *target,
          int64_t deadline_us, cs_worker_done done, void *data)
{
    struct order *order = g_new0(struct order, 1);

    order->world = vm->world;
    vm->world->calls++;
    order->vm = vm;
    order->type = type;
    g_strlcpy(order->address, target->address, sizeof(order->address));
    g_strlcpy(order->incarnation, target->incarnation,
              sizeof(order->incarnation));
    order->deadline_us = deadline_us;
    order->done = done;
    order->data = data;
    fake_open_add(vm, order, abort_order);
    vm->most_open = MAX(vm->most_open, g_hash_table_size(vm->open));
    return order;
}

static void
port_start(void *self, const cs_worker_target *target,
           const cs_start_order *start, int64_t deadline_us,
           cs_worker_done done, void *data)
{
    struct order *order =
        order_new(self, ORDER_START, target, deadline_us, done, data);

    g_strlcpy(order->task, start->task, sizeof(order->task));
    order->run = start->run;
    order->epoch = start->epoch;
    order->until_ms = start->until_ms;
    if (start->ticket)
        g_strlcpy(order->ticket, start->ticket, sizeof(order->ticket));
    schedule(order);
}

static void
port_stop(void *self, const cs_worker_target *target, const char *task,
          uint32_t run, uint64_t epoch, int64_t deadline_us,
          cs_worker_done done, void *data)
{
    struct order *order =
        order_new(self, ORDER_STOP, target, deadline_us, done, data);

    g_strlcpy(order->task, task, sizeof(order->task));
    order->run = run;
    order->epoch = epoch;
    schedule(order);
}

static void
port_hold(void *self, const cs_worker_target *target,
          const cs_hold_order *hold, int64_t deadline_us, cs_worker_done done,
          void *data)
{
    struct order *order =
        order_new(self, ORDER_HOLD, target, deadline_us, done, data);

    order->epoch = hold->epoch;
    order->seen_upto = hold->seen_upto;
    order->until_ms = hold->until_ms;
    order->wait_until_us = order->world->now_us + hold->wait_ms * CS_MS_US;
    schedule(order);
}

void
fake_worker_port(struct fake_vm *vm)
{
    vm->workers.self = vm;
    vm->workers.start = port_start;
    vm->workers.stop = port_stop;
    vm->workers.hold = port_hold;
}
