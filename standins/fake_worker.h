/**
 * @file fake_worker.h
 * A fake worker of a zone: grants exclusive leases on its accelerators, runs
 * tasks for a given time, keeps the progress that checkpoints save, refuses
 * stale epochs, and records every start and end of a task for tests.
 *
 * Times come from the caller's clock, so the worker runs on real or virtual
 * time.
 */
#ifndef FAKE_WORKER_H
#define FAKE_WORKER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/clock.h"

typedef struct fake_worker fake_worker;

/** Faults of a worker; all false means none. */
typedef struct {
    bool fail_tasks;    /**< every task fails after 1 ms */
    bool refuse_starts; /**< every start is refused */
    bool ignore_epochs; /**< accepts orders with a stale epoch */
    bool ignore_leases; /**< tasks continue after their lease expires */
} fake_worker_faults;

/** A start or end of a task on the worker. */
typedef struct {
    int64_t at_us; /**< boot clock */
    char job[64];
    char token[48];
    int64_t epoch;
    uint64_t mask; /**< accelerators of the task, a bit each */
    enum { FAKE_TASK_STARTED, FAKE_TASK_ENDED } type;
    int32_t exit_code; /**< of an end: 0 done, 1 failed, 2 stopped, 3 lease
                            expired */
} fake_worker_event;

/**
 * Creates a worker with up to 64 accelerators.
 * @return the worker, to be freed with fake_worker_destroy()
 */
fake_worker *fake_worker_create(const char *name, uint32_t accelerators);
void fake_worker_destroy(fake_worker *worker);

void fake_worker_set_faults(fake_worker *worker, fake_worker_faults faults);

/** Ends every task and drops every lease, like a reboot. */
void fake_worker_restart(fake_worker *worker, cs_now now);

/** Ends the tasks and leases that are due at this time. */
void fake_worker_tick(fake_worker *worker, cs_now now);

/**
 * Executes a call of the worker protocol.
 * @param reply set to a new reference
 * @param body the request
 * @return the HTTP status
 */
int fake_worker_call(json_t **reply, fake_worker *worker, const json_t *body,
                     cs_now now);

/** @return all events in order, owned by the worker */
const fake_worker_event *fake_worker_events(const fake_worker *worker,
                                            uint32_t *count);

const char *fake_worker_name(const fake_worker *worker);

/** @return number of accelerators with a running task */
uint32_t fake_worker_busy_accelerators(const fake_worker *worker);

/**
 * @return the next time on the boot clock at which a task or lease ends, or
 *         INT64_MAX
 */
int64_t fake_worker_next_event_us(const fake_worker *worker);

#endif
