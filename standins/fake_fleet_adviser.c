/*
 * The placement adviser of a fake deployment. For a step it lets half of
 * the workers in, by their number; its tickets name worker, incarnation and
 * step, and end after FAKE_TICKET_MS.
 */
#include "fake_fleet_internal.h"

#include <inttypes.h>
#include <stdio.h>

#define QUESTIONS_MAX 32
#define DECIDE_US (50 * CS_MS_US)
#define EACH_US (2 * CS_MS_US)

struct question {
    struct fake_vm *vm;
    char *step;
    char **workers;
    bool busy;
    cs_advice_done done;
    void *data;
};

static struct fake_worker_state *
find_worker(fake_fleet *world, const char *id)
{
    uint32_t i;

    for (i = 0; i < world->worker_count; i++) {
        if (strcmp(world->workers[i].id, id) == 0)
            return &world->workers[i];
    }
    return NULL;
}

bool
fake_adviser_lets_in(const struct fake_worker_state *worker, const char *step)
{
    return (worker->number / 2 + g_str_hash(step)) % 2 == 0;
}

static char *
make_ticket(const struct fake_worker_state *worker, const char *step)
{
    return g_strdup_printf("%08x-%" PRId64,
                           g_str_hash(step) ^ (guint)worker->born_ms,
                           worker->world->now_us / CS_MS_US + FAKE_TICKET_MS);
}

bool
fake_adviser_accepts(const struct fake_worker_state *worker, const char *step,
                     const char *ticket)
{
    unsigned hash;
    int64_t until_ms;

    return sscanf(ticket, "%x-%" SCNd64, &hash, &until_ms) == 2 &&
           hash == (g_str_hash(step) ^ (guint)worker->born_ms) &&
           worker->world->now_us / CS_MS_US < until_ms;
}

static void
question_free(struct question *question)
{
    g_free(question->step);
    g_strfreev(question->workers);
    g_free(question);
}

static void
abort_question(void *data)
{
    struct question *question = data;
    cs_advice advice = {.code = CS_E_UNKNOWN};
    cs_advice_done done = question->done;

    g_hash_table_remove(question->vm->open, question);
    question->done = NULL;
    done(question->data, &advice);
}

static void
answer(void *data)
{
    struct question *question = data;
    fake_fleet *world = question->vm->world;
    GArray *good = g_array_new(FALSE, FALSE, sizeof(cs_advised_worker));
    GPtrArray *tickets = g_ptr_array_new_with_free_func(g_free);
    cs_advice advice = {.valid_ms = FAKE_TICKET_MS};
    guint i;

    world->questions--;
    for (i = 0; question->workers[i]; i++) {
        struct fake_worker_state *worker =
            find_worker(world, question->workers[i]);
        cs_advised_worker row = {.worker = question->workers[i]};

        if (!worker || !fake_adviser_lets_in(worker, question->step))
            continue;
        g_ptr_array_add(tickets, make_ticket(worker, question->step));
        row.ticket = g_ptr_array_index(tickets, tickets->len - 1);
        g_array_append_val(good, row);
    }
    advice.good = (const cs_advised_worker *)(void *)good->data;
    advice.good_count = good->len;
    if (question->busy)
        advice.code = CS_E_OVERLOAD;
    if (question->done) {
        g_hash_table_remove(question->vm->open, question);
        question->done(question->data, &advice);
    }
    g_array_free(good, TRUE);
    g_ptr_array_free(tickets, TRUE);
    question_free(question);
}

static void
ask(void *self, const char *step, const char *const *workers, size_t count,
    int64_t deadline_us, cs_advice_done done, void *data)
{
    struct fake_vm *vm = self;
    struct question *question = g_new0(struct question, 1);
    int64_t took_us = DECIDE_US + (int64_t)count * EACH_US;
    size_t i;

    question->vm = vm;
    question->step = g_strdup(step);
    question->workers = g_new0(char *, count + 1);
    for (i = 0; i < count; i++)
        question->workers[i] = g_strdup(workers[i]);
    question->done = done;
    question->data = data;
    question->busy = ++vm->world->questions > QUESTIONS_MAX;
    if (count > CS_ADVICE_WORKERS_MAX)
        fake_violate(vm->world, "advice: %zu workers asked about", count);
    fake_open_add(vm, question, abort_question);
    fake_at(vm->world, vm->world->now_us + took_us * vm->world->questions,
            answer, question);
}

void
fake_adviser_port(struct fake_vm *vm)
{
    vm->adviser.self = vm;
    vm->adviser.ask = ask;
}
