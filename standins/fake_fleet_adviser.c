/*
 * The placement adviser of a simulated deployment. It allows a step on half of
 * the workers, chosen by worker number and step. A ticket holds a hash of the
 * step and the worker's incarnation, and expires after
 * FAKE_TICKET_VALIDITY_MS.
 */
#include "fake_fleet_internal.h"

#include <inttypes.h>
#include <stdio.h>

/* With more requests pending, the adviser answers that it is overloaded. */
#define MAX_PENDING_REQUESTS 32
/* Time of a decision: a fixed part and one for each worker asked about. */
#define BASE_TIME_US (50 * CS_MS_US)
#define TIME_PER_WORKER_US (2 * CS_MS_US)

struct advice_request {
    struct fake_vm *vm;
    char *step;
    char **workers;
    bool overloaded;
    cs_advice_done done;
    void *user_data;
};

static struct fake_fleet_worker *
find_worker_by_id(fake_fleet *deployment, const char *id)
{
    uint32_t i;

    for (i = 0; i < deployment->worker_count; i++) {
        if (strcmp(deployment->workers[i].id, id) == 0)
            return &deployment->workers[i];
    }
    return NULL;
}

bool
fake_adviser_allows(const struct fake_fleet_worker *worker, const char *step)
{
    return (worker->number / 2 + g_str_hash(step)) % 2 == 0;
}

static char *
make_ticket(const struct fake_fleet_worker *worker, const char *step)
{
    return g_strdup_printf(
        "%08x-%" PRId64, g_str_hash(step) ^ (guint)worker->incarnation_ms,
        worker->deployment->now_us / CS_MS_US + FAKE_TICKET_VALIDITY_MS);
}

bool
fake_adviser_accepts(const struct fake_fleet_worker *worker, const char *step,
                     const char *ticket)
{
    unsigned hash;
    int64_t until_ms;

    return sscanf(ticket, "%x-%" SCNd64, &hash, &until_ms) == 2 &&
           hash == (g_str_hash(step) ^ (guint)worker->incarnation_ms) &&
           worker->deployment->now_us / CS_MS_US < until_ms;
}

static void
advice_request_free(struct advice_request *request)
{
    g_free(request->step);
    g_strfreev(request->workers);
    g_free(request);
}

static void
abort_request(void *user_data)
{
    struct advice_request *request = user_data;
    cs_advice advice = {.code = CS_E_OUTCOME_UNKNOWN};
    cs_advice_done done = request->done;

    g_hash_table_remove(request->vm->pending_calls, request);
    request->done = NULL;
    done(request->user_data, &advice);
}

static void
answer_request(void *user_data)
{
    struct advice_request *request = user_data;
    fake_fleet *deployment = request->vm->deployment;
    GArray *allowed;
    GPtrArray *tickets;
    cs_advice advice = {.valid_ms = FAKE_TICKET_VALIDITY_MS};
    guint i;

    if (request->done && fake_vm_is_frozen(request->vm)) {
        fake_schedule(deployment, request->vm->frozen_until_us, answer_request,
                      request);
        return;
    }
    allowed = g_array_new(FALSE, FALSE, sizeof(cs_advised_worker));
    tickets = g_ptr_array_new_with_free_func(g_free);

    deployment->pending_advice_requests--;
    for (i = 0; request->workers[i]; i++) {
        struct fake_fleet_worker *worker =
            find_worker_by_id(deployment, request->workers[i]);
        cs_advised_worker allowed_worker = {.worker = request->workers[i]};

        if (!worker || !fake_adviser_allows(worker, request->step))
            continue;
        g_ptr_array_add(tickets, make_ticket(worker, request->step));
        allowed_worker.ticket = g_ptr_array_index(tickets, tickets->len - 1);
        g_array_append_val(allowed, allowed_worker);
    }
    advice.allowed = (const cs_advised_worker *)(void *)allowed->data;
    advice.allowed_count = allowed->len;
    if (request->overloaded)
        advice.code = CS_E_OVERLOAD;
    if (request->done) {
        g_hash_table_remove(request->vm->pending_calls, request);
        request->done(request->user_data, &advice);
    }
    g_array_free(allowed, TRUE);
    g_ptr_array_free(tickets, TRUE);
    advice_request_free(request);
}

static void
request_advice(void *self, const char *step, const char *const *workers,
               size_t count, int64_t deadline_us, cs_advice_done done,
               void *user_data)
{
    struct fake_vm *vm = self;
    struct advice_request *request = g_new0(struct advice_request, 1);
    int64_t decision_us = BASE_TIME_US + (int64_t)count * TIME_PER_WORKER_US;
    size_t i;

    request->vm = vm;
    request->step = g_strdup(step);
    request->workers = g_new0(char *, count + 1);
    for (i = 0; i < count; i++)
        request->workers[i] = g_strdup(workers[i]);
    request->done = done;
    request->user_data = user_data;
    request->overloaded =
        ++vm->deployment->pending_advice_requests > MAX_PENDING_REQUESTS;
    if (count > CS_ADVICE_WORKERS_MAX)
        fake_record_violation(vm->deployment,
                              "advice: request for %zu workers", count);
    fake_pending_call_add(vm, request, abort_request);
    fake_schedule(vm->deployment,
                  vm->deployment->now_us +
                      decision_us * vm->deployment->pending_advice_requests,
                  answer_request, request);
}

void
fake_adviser_port(struct fake_vm *vm)
{
    vm->adviser.self = vm;
    vm->adviser.ask = request_advice;
}
