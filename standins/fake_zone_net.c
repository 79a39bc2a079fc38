/* The network of the simulated zone and its faults. */
#include "fake_zone_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/store.h"

#include <string.h>

#define LATENCY_US (2 * CS_MS_US)
/* Delay of a late request or reply; longer than the cell lease. */
#define LATE_DELAY_US (5 * CS_SEC_US)

static fake_zone_fault
fault_at_call(const struct fake_zone *zone, uint32_t call_number)
{
    size_t i;

    for (i = 0; i < 2; i++) {
        if (zone->options.injections[i].call == call_number)
            return zone->options.injections[i].fault;
    }
    return FAKE_ZONE_NO_FAULT;
}

static int64_t
latency_us(struct fake_zone *zone)
{
    return LATENCY_US + (int64_t)cs_random_below(&zone->random, LATENCY_US);
}

static void
plan_delivery(struct fake_zone *zone, struct flight *flight)
{
    flight->arrive_us = zone->now.boot_us + latency_us(zone);
    flight->return_us = flight->arrive_us + latency_us(zone);
    switch (flight->fault) {
    case FAKE_ZONE_LOSE_REQUEST:
        flight->arrive_us = INT64_MAX;
        flight->return_us = INT64_MAX;
        break;
    case FAKE_ZONE_LOSE_REPLY:
        flight->return_us = INT64_MAX;
        break;
    case FAKE_ZONE_LATE_REQUEST:
        flight->arrive_us += LATE_DELAY_US;
        flight->return_us += LATE_DELAY_US;
        break;
    case FAKE_ZONE_LATE_REPLY:
        flight->return_us += LATE_DELAY_US;
        break;
    case FAKE_ZONE_DUPLICATE_REQUEST:
        flight->duplicated = true;
        break;
    case FAKE_ZONE_STORE_DOWN:
        zone->outage_until_us = zone->now.boot_us + FAKE_ZONE_OUTAGE_US;
        break;
    default:
        break;
    }
}

static void
send_call(struct fake_zone *zone, struct process *process, cs_call *call)
{
    struct flight *flight = g_new0(struct flight, 1);

    flight->call = call;
    flight->process = process->index;
    flight->incarnation = process->incarnation;
    flight->fault = fault_at_call(zone, ++zone->call_count);
    plan_delivery(zone, flight);
    g_ptr_array_add(zone->flights, flight);
    if (flight->fault == FAKE_ZONE_PAUSE_BEFORE) {
        process->paused_until_us = zone->now.boot_us + FAKE_ZONE_PAUSE_US;
        /* The call is sent when the process resumes. */
        flight->arrive_us += FAKE_ZONE_PAUSE_US;
        flight->return_us += FAKE_ZONE_PAUSE_US;
    }
    if (flight->fault == FAKE_ZONE_KILL_BEFORE) {
        flight->arrive_us = INT64_MAX;
        fake_zone_kill_process(zone, process);
    }
}

void
fake_zone_send_calls(struct fake_zone *zone)
{
    uint32_t i;

    for (i = 0; i < FAKE_ZONE_PROCESSES; i++) {
        struct process *process = &zone->processes[i];
        cs_call *call;

        while (process->alive &&
               (call = cs_outbox_pop(process->outbox)) != NULL)
            send_call(zone, process, call);
    }
}

static fake_worker *
find_worker(struct fake_zone *zone, const char *path)
{
    uint32_t i;

    for (i = 0; i < FAKE_ZONE_WORKERS; i++) {
        char worker_path[96];

        g_snprintf(worker_path, sizeof(worker_path), "/v1/workers/%s/orders",
                   fake_worker_name(zone->workers[i]));
        if (strcmp(worker_path, path) == 0)
            return zone->workers[i];
    }
    return NULL;
}

static void
strip_conditions(json_t *body)
{
    json_object_set_new(body, "checks", json_array());
}

static int
execute_call(struct fake_zone *zone, const struct flight *flight,
             json_t **reply)
{
    const cs_call *call = flight->call;
    json_t *body = json_deep_copy(call->body);
    int status = 503;

    if (call->type == CS_CALL_WORKER) {
        fake_worker *worker = find_worker(zone, call->path);

        status =
            worker ? fake_worker_call(reply, worker, body, zone->now) : 404;
    }
    else if (zone->now.boot_us >= zone->outage_until_us) {
        if (zone->options.disabled.no_condition_checks)
            strip_conditions(body);
        status = fake_table_call(reply, zone->table, call->path, body);
    }
    json_decref(body);
    return status;
}

/* Returns the process that sent the call, or NULL if that has died since. */
static struct process *
find_live_caller(struct fake_zone *zone, const struct flight *flight)
{
    struct process *process = &zone->processes[flight->process];

    return process->alive && process->incarnation == flight->incarnation
               ? process
               : NULL;
}

static void
deliver_call(struct fake_zone *zone, struct flight *flight)
{
    struct process *process = find_live_caller(zone, flight);

    flight->arrived = true;
    if (flight->duplicated) {
        json_t *first = NULL;

        execute_call(zone, flight, &first);
        json_decref(first);
    }
    flight->status = execute_call(zone, flight, &flight->reply);
    if (process && flight->fault == FAKE_ZONE_KILL_AFTER)
        fake_zone_kill_process(zone, process);
    if (process && flight->fault == FAKE_ZONE_PAUSE_AFTER)
        process->paused_until_us = zone->now.boot_us + FAKE_ZONE_PAUSE_US;
}

static int
result_code(const struct flight *flight)
{
    switch (flight->status) {
    case 200:
        return 0;
    case 409:
        return flight->call->type == CS_CALL_WORKER ? CS_E_FENCED
                                                    : CS_E_CONFLICT;
    default:
        return CS_E_STORE_UNAVAILABLE;
    }
}

static void
flight_free(struct flight *flight)
{
    json_decref(flight->reply);
    g_free(flight);
}

void
fake_zone_discard_flight(struct flight *flight)
{
    cs_call_drop(flight->call);
    flight_free(flight);
}

static void
finish_flight(struct fake_zone *zone, struct flight *flight, int code)
{
    struct process *process = find_live_caller(zone, flight);

    if (!process) {
        fake_zone_discard_flight(flight);
        return;
    }
    cs_outbox_set_now(process->outbox, zone->now);
    cs_call_finish(flight->call, code,
                   code == CS_E_STORE_UNAVAILABLE ||
                           code == CS_E_OUTCOME_UNKNOWN
                       ? NULL
                       : flight->reply);
    flight_free(flight);
}

/* Delivers the call or the reply if due. Returns whether the flight ended. */
static bool
advance_flight(struct fake_zone *zone, struct flight *flight)
{
    const struct process *process = &zone->processes[flight->process];
    int64_t now_us = zone->now.boot_us;
    int code;

    if (!flight->arrived && flight->arrive_us <= now_us)
        deliver_call(zone, flight);
    /* A paused caller handles neither reply nor deadline. */
    if (find_live_caller(zone, flight) && process->paused_until_us > now_us)
        return false;
    if (flight->arrived && flight->return_us <= now_us) {
        finish_flight(zone, flight, result_code(flight));
        return true;
    }
    if (flight->call->deadline_us > now_us && find_live_caller(zone, flight))
        return false;
    if (!flight->arrived && flight->arrive_us != INT64_MAX)
        return false; /* it may still be executed */
    code = flight->call->type == CS_CALL_STORE_READ ? CS_E_STORE_UNAVAILABLE
                                                    : CS_E_OUTCOME_UNKNOWN;
    finish_flight(zone, flight, code);
    return true;
}

/*
 * Times out late requests: their callers see no reply by the deadline, but a
 * detached copy of the request still arrives and is executed.
 */
static void
time_out_late_requests(struct fake_zone *zone)
{
    guint i;

    for (i = 0; i < zone->flights->len; i++) {
        struct flight *flight = g_ptr_array_index(zone->flights, i);
        struct flight *detached;

        if (flight->arrived || flight->arrive_us == INT64_MAX ||
            !flight->call->done ||
            flight->call->deadline_us > zone->now.boot_us ||
            !find_live_caller(zone, flight) ||
            zone->processes[flight->process].paused_until_us >
                zone->now.boot_us)
            continue;
        detached = g_new0(struct flight, 1);
        *detached = *flight;
        /* Matches no process, so the reply is dropped. */
        detached->incarnation = UINT32_MAX;
        detached->call = g_new0(cs_call, 1);
        *detached->call = *flight->call;
        detached->call->body = json_deep_copy(flight->call->body);
        g_ptr_array_add(zone->flights, detached);
        flight->arrive_us = INT64_MAX;
        flight->return_us = INT64_MAX;
    }
}

void
fake_zone_deliver_calls(struct fake_zone *zone)
{
    guint i = 0;

    time_out_late_requests(zone);
    while (i < zone->flights->len) {
        struct flight *flight = g_ptr_array_index(zone->flights, i);

        if (advance_flight(zone, flight))
            g_ptr_array_remove_index(zone->flights, i);
        else
            i++;
    }
}
