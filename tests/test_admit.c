/*
 * Forecast and admission under overload, and entry during an outage of the
 * store: pure decisions, an entry with a store that the test answers, and a
 * simulated deployment.
 */
#include "fake_fleet.h"
#include "corianderstair/admit.h"
#include "corianderstair/errors.h"
#include "corianderstair/outage.h"
#include "corianderstair/record.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* Limits of docs/design/heavy-load.md, part 5. */
#define FORECAST_MAX_BYTES 8192
#define FORECAST_AGE_MAX_MS 3000
#define CALLER_TIMEOUT_MS 3000

#define WORKERS 10
#define CORES 64
#define RACK_WORKERS 5

/* A decision with a usable forecast, to be changed by each test. */
struct fixture {
    cs_forecast forecast;
    cs_queue_config queue;
    cs_organisation_config organisation;
    cs_job_step step;
    cs_job_spec job;
    cs_admit_input input;
};

static cs_demand
demand(int64_t cores, int64_t accelerators)
{
    cs_demand out = {cores * 1000, cores * 1000, accelerators};

    return out;
}

static void
fixture_init(struct fixture *fixture)
{
    cs_forecast_service service = {
        .name = "lab",
        .worker_count = WORKERS,
        .largest_worker = demand(CORES, 8),
        .largest_rack = demand(CORES * RACK_WORKERS, 8 * RACK_WORKERS),
        .total = demand(CORES * WORKERS, 8 * WORKERS),
        .rate_cpu_milli = CORES * WORKERS * 1000,
        .rate_accelerator_milli = 8 * WORKERS * 1000};
    cs_forecast_queue own = {.name = "q2", .priority = 2, .run_ms = 1000};

    memset(fixture, 0, sizeof(*fixture));
    cs_forecast_init(&fixture->forecast);
    fixture->forecast.epoch = 7;
    fixture->forecast.made_ms = 1000;
    fixture->forecast.loaded_ms = 10000;
    g_array_append_val(fixture->forecast.services, service);
    g_array_append_val(fixture->forecast.queues, own);
    g_strlcpy(fixture->queue.name, "q2", sizeof(fixture->queue.name));
    g_strlcpy(fixture->queue.service, "lab", sizeof(fixture->queue.service));
    fixture->queue.priority = 2;
    fixture->queue.stretch = 2;
    fixture->queue.target_ms = 1000;
    fixture->step.task_count = 1;
    fixture->step.demand = demand(1, 0);
    fixture->step.estimate_ms = 1000;
    g_strlcpy(fixture->job.id, "000000000000000a", sizeof(fixture->job.id));
    fixture->job.steps = &fixture->step;
    fixture->job.step_count = 1;
    fixture->input.forecast = &fixture->forecast;
    fixture->input.epoch = 7;
    fixture->input.queue = &fixture->queue;
    fixture->input.job = &fixture->job;
    fixture->input.timeout_ms = CALLER_TIMEOUT_MS;
}

static cs_admit_verdict
verdict(const struct fixture *fixture)
{
    return cs_admit_decide(&fixture->input).verdict;
}

/* Adds single tasks of one core that take the whole service some seconds. */
static void
add_backlog(struct fixture *fixture, uint32_t priority, double seconds,
            int64_t counts_for_ms)
{
    cs_forecast_queue queue = {.priority = priority, .run_ms = 1000};
    cs_job_step step = {.task_count = 1, .demand = demand(1, 0)};

    g_snprintf(queue.name, sizeof(queue.name), "b%u",
               fixture->forecast.queues->len);
    cs_forecast_add_step(&queue.backlog[CS_FORECAST_SINGLES], &step, 1,
                         seconds * 1000 * CORES * WORKERS, counts_for_ms, 0);
    g_array_append_val(fixture->forecast.queues, queue);
}

/* Guards against rejections that no load causes, and against those of a short
   job by the longer mean of its queue. */
static void
admit__learned_mean_alone_does_not_reject(void **state)
{
    struct fixture fixture;

    fixture_init(&fixture);
    g_array_index(fixture.forecast.queues, cs_forecast_queue, 0).run_ms =
        100000;
    fixture.queue.stretch = 0;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    add_backlog(&fixture, 1, 1, 1000000);
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    fixture.step.estimate_ms = 100000;
    assert_int_equal(verdict(&fixture), CS_ADMIT_TOO_LATE);
    cs_forecast_dispose(&fixture.forecast);
}

/* Guards against rejections after an overflow of figures that the decoder
   still allows. */
static void
admit__figures_at_their_limit_accept(void **state)
{
    const int64_t figure_max = INT64_C(1000000000000000);
    struct fixture fixture;
    cs_forecast_service *service;

    fixture_init(&fixture);
    service =
        &g_array_index(fixture.forecast.services, cs_forecast_service, 0);
    service->worker_count = INT32_MAX;
    service->largest_worker.cpu_milli = figure_max;
    service->total.cpu_milli = figure_max;
    fixture.step.demand.cpu_milli = 1;
    fixture.step.gang = true;
    fixture.step.task_count = 10;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    cs_forecast_dispose(&fixture.forecast);
    fixture_init(&fixture);
    g_array_index(fixture.forecast.queues, cs_forecast_queue, 0).run_ms =
        figure_max;
    fixture.queue.stretch = 10000;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    cs_forecast_dispose(&fixture.forecast);
}

/* Guards against rejections by a forecast that does not describe the present:
   missing, old, of a former holder, or of one that has just begun. */
static void
admit__doubtful_forecast_accepts(void **state)
{
    struct fixture fixture;

    fixture_init(&fixture);
    fixture.step.demand = demand(CORES + 1, 0);
    assert_int_equal(verdict(&fixture), CS_ADMIT_UNSERVABLE);
    fixture.input.age_ms = FORECAST_AGE_MAX_MS + 1;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    fixture.input.age_ms = -1;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    fixture.input.age_ms = 0;
    fixture.input.epoch = 8;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    fixture.input.epoch = 7;
    fixture.forecast.loaded_ms = 9999;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    fixture.forecast.loaded_ms = 10000;
    g_strlcpy(fixture.queue.service, "other", sizeof(fixture.queue.service));
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    fixture.input.forecast = NULL;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    cs_forecast_dispose(&fixture.forecast);
}

/* Guards against jobs that wait forever, and against rejections of jobs that
   the scheduler could place. */
static void
admit__unservable_only_beyond_the_whole_fleet(void **state)
{
    struct fixture fixture;
    cs_forecast_label label = {.name = "small",
                               .worker_count = 2,
                               .largest_worker = demand(16, 0),
                               .total = demand(32, 0)};

    fixture_init(&fixture);
    fixture.step.gang = fixture.step.same_rack = true;
    fixture.step.demand = demand(26, 0);
    /* Two of them fit on a worker, ten in a rack. */
    fixture.step.task_count = 2 * WORKERS;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    fixture.step.task_count++;
    assert_int_equal(verdict(&fixture), CS_ADMIT_UNSERVABLE);
    fixture.step.gang = false;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    fixture.step.gang = true;
    fixture.step.task_count = WORKERS + 1;
    fixture.step.max_per_worker = 1;
    assert_int_equal(verdict(&fixture), CS_ADMIT_UNSERVABLE);
    fixture.step.task_count = 1;
    fixture.step.best_effort = true;
    fixture.step.demand = demand(CORES, 0);
    fixture.step.demand.cpu_milli++;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    fixture.step.best_effort = false;
    assert_int_equal(verdict(&fixture), CS_ADMIT_UNSERVABLE);
    fixture.step.demand = demand(17, 0);
    g_strlcpy(fixture.step.required_label, "small",
              sizeof(fixture.step.required_label));
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    g_array_append_val(fixture.forecast.labels, label);
    assert_int_equal(verdict(&fixture), CS_ADMIT_UNSERVABLE);
    cs_forecast_dispose(&fixture.forecast);
}

/* Guards against rejections as too late of jobs that could still be served in
   time: the objective is 3 s, so 9 s count and the factor of 2 gives 18 s. */
static void
admit__too_late_only_behind_more_urgent_work(void **state)
{
    struct fixture fixture;
    cs_forecast_queue *backlog;
    cs_forecast_service *service;

    fixture_init(&fixture);
    add_backlog(&fixture, 2, 1000, 1000000);
    add_backlog(&fixture, 3, 1000, 1000000);
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    add_backlog(&fixture, 1, 16, 1000000);
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    add_backlog(&fixture, 0, 4, 1000000);
    assert_int_equal(verdict(&fixture), CS_ADMIT_TOO_LATE);
    backlog = &g_array_index(fixture.forecast.queues, cs_forecast_queue, 3);
    /* Work that soon stops counting goes behind the job. */
    backlog->backlog[CS_FORECAST_SINGLES].counts_for_ms = 5000;
    (backlog + 1)->backlog[CS_FORECAST_SINGLES].counts_for_ms = 5000;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    backlog->backlog[CS_FORECAST_SINGLES].counts_for_ms = 1000000;
    /* The job fits where larger tasks do not. */
    backlog->backlog[CS_FORECAST_SINGLES].largest_task = demand(2, 0);
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    backlog->backlog[CS_FORECAST_SINGLES].largest_task = demand(1, 0);
    assert_int_equal(verdict(&fixture), CS_ADMIT_TOO_LATE);
    service =
        &g_array_index(fixture.forecast.services, cs_forecast_service, 0);
    service->largest_free = demand(1, 0);
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    service->largest_free = demand(0, 0);
    fixture.queue.priority = 0;
    fixture.organisation.guaranteed_accelerators = 1;
    fixture.input.organisation = &fixture.organisation;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    cs_forecast_dispose(&fixture.forecast);
}

/* Guards against callers that return and rank behind new ones each time, and
   against a table that grows with the number of callers. */
static void
admit__returning_caller_keeps_its_age(void **state)
{
    cs_admit_returning *returning = cs_admit_returning_create();
    struct fixture fixture;
    char id[CS_JOB_ID_BYTES];
    uint32_t i;

    fixture_init(&fixture);
    add_backlog(&fixture, 1, 40, 1000000);
    fixture.input.returning = returning;
    assert_int_equal(verdict(&fixture), CS_ADMIT_TOO_LATE);
    cs_admit_returning_add(returning, fixture.job.id, 0, 40000);
    fixture.input.now_us = 24 * CS_SEC_US;
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    cs_admit_returning_add(returning, fixture.job.id, 24 * CS_SEC_US, 40000);
    assert_int_equal(verdict(&fixture), CS_ADMIT_ACCEPT);
    cs_admit_returning_remove(returning, fixture.job.id);
    assert_int_equal(verdict(&fixture), CS_ADMIT_TOO_LATE);
    for (i = 0; i < 3 * CS_ADMIT_RETURNING_MAX; i++) {
        g_snprintf(id, sizeof(id), "%016x", i);
        cs_admit_returning_add(returning, id, i, 1);
    }
    assert_int_equal(cs_admit_returning_count(returning),
                     CS_ADMIT_RETURNING_MAX);
    cs_admit_returning_destroy(returning);
    cs_forecast_dispose(&fixture.forecast);
}

/* Guards against callers that all return at once, that use up their retries
   before the delay is over, or that wait far beyond their timeout. */
static void
admit__retry_after_is_spread_after_the_delay(void **state)
{
    uint32_t seen[4] = {0};
    char id[CS_JOB_ID_BYTES];
    uint32_t i;

    for (i = 0; i < 1000; i++) {
        uint32_t seconds;

        g_snprintf(id, sizeof(id), "%016x", i);
        seconds = cs_admit_retry_after_s(2000, id, CALLER_TIMEOUT_MS);
        assert_in_range(seconds, 2, 3);
        seen[seconds]++;
        assert_in_range(cs_admit_retry_after_s(900000, id, 2990), 3, 4);
        assert_in_range(cs_admit_retry_after_s(0, id, 200), 1, 2);
    }
    assert_true(seen[2] > 300 && seen[3] > 300);
}

#define SIM_SLOTS 20
#define SIM_TICKS_PER_S 10
#define SIM_URGENT_RUN_TICKS (10 * SIM_TICKS_PER_S)
#define SIM_RUN_TICKS (1 * SIM_TICKS_PER_S)
/* stretch 3 and 1 s of a run of 10 s, and stretch 2 and 1 s of one of 1 s. */
#define SIM_URGENT_COUNTS_TICKS (3 * 31 * SIM_TICKS_PER_S)
#define SIM_COUNTS_TICKS (3 * 3 * SIM_TICKS_PER_S)

struct sim_job {
    uint32_t accepted;
    uint32_t end; /* 0: waits */
    bool rejected;
};

struct sim {
    struct fixture fixture;
    uint32_t urgent_waiting; /* all accepted at tick 0 */
    GArray *jobs;            /* of struct sim_job */
    uint32_t slot_ends[SIM_SLOTS];
    uint32_t rejections;
};

static void
sim_forecast(struct sim *sim, uint32_t tick)
{
    cs_forecast *forecast = &sim->fixture.forecast;
    cs_job_step step = {.task_count = 1, .demand = demand(1, 0)};
    int64_t left_ticks =
        SIM_URGENT_COUNTS_TICKS - SIM_URGENT_RUN_TICKS - (int64_t)tick;
    cs_forecast_queue queue = {.name = "urgent", .priority = 1};

    g_array_set_size(forecast->queues, 1);
    g_array_index(forecast->services, cs_forecast_service, 0).rate_cpu_milli =
        SIM_SLOTS * 1000;
    if (left_ticks <= 0 || sim->urgent_waiting == 0)
        return;
    cs_forecast_add_step(&queue.backlog[CS_FORECAST_SINGLES], &step,
                         sim->urgent_waiting, 10000, left_ticks * 100, 0);
    g_array_append_val(forecast->queues, queue);
}

/* Starts waiting work as the holder orders it: urgent work that counts, then
   the oldest job. */
static void
sim_schedule(struct sim *sim, uint32_t tick)
{
    bool urgent_counts =
        tick + SIM_URGENT_RUN_TICKS <= SIM_URGENT_COUNTS_TICKS;
    bool offered = false;
    guint next = 0;
    uint32_t i;

    for (i = 0; i < SIM_SLOTS; i++) {
        if (sim->slot_ends[i] > tick)
            continue;
        if (sim->urgent_waiting > 0 && urgent_counts) {
            sim->urgent_waiting--;
            sim->slot_ends[i] = tick + SIM_URGENT_RUN_TICKS;
            continue;
        }
        offered = true;
        for (; next < sim->jobs->len; next++) {
            struct sim_job *job =
                &g_array_index(sim->jobs, struct sim_job, next);

            if (job->end || job->rejected)
                continue;
            job->end = sim->slot_ends[i] = tick + SIM_RUN_TICKS;
            break;
        }
    }
    for (next = 0; offered && next < sim->jobs->len; next++) {
        struct sim_job *job = &g_array_index(sim->jobs, struct sim_job, next);

        if (job->rejected && !job->end)
            job->end = tick + SIM_RUN_TICKS;
    }
}

/* Runs 40 times the capacity of urgent work and a job each tick. A rejected
   job is said to end as if it alone had been accepted and went first. */
static void
sim_run(struct sim *sim, uint32_t ticks, uint32_t cancel_tick)
{
    uint32_t tick;

    fixture_init(&sim->fixture);
    sim->urgent_waiting = 40 * SIM_SLOTS;
    sim->jobs = g_array_new(FALSE, TRUE, sizeof(struct sim_job));
    for (tick = 0; tick < SIM_SLOTS; tick++)
        sim->slot_ends[tick] = tick * SIM_URGENT_RUN_TICKS / SIM_SLOTS;
    for (tick = 0; tick < ticks; tick++) {
        struct sim_job job = {.accepted = tick};

        if (tick == cancel_tick)
            sim->urgent_waiting = 0;
        sim_schedule(sim, tick);
        if (tick % SIM_TICKS_PER_S == 1)
            sim_forecast(sim, tick);
        job.rejected = verdict(&sim->fixture) != CS_ADMIT_ACCEPT;
        sim->rejections += job.rejected;
        g_array_append_val(sim->jobs, job);
    }
}

static void
sim_dispose(struct sim *sim)
{
    g_array_free(sim->jobs, TRUE);
    cs_forecast_dispose(&sim->fixture.forecast);
}

/* Load: guards against a rejection of a job that would have counted, and
   against an overload in which nothing is rejected. */
static void
admit__rejected_jobs_would_have_been_too_late(void **state)
{
    struct sim sim = {.rejections = 0};
    guint i;

    sim_run(&sim, 200 * SIM_TICKS_PER_S, UINT32_MAX);
    assert_true(sim.rejections > 300);
    for (i = 0; i < sim.jobs->len; i++) {
        const struct sim_job *job =
            &g_array_index(sim.jobs, struct sim_job, i);

        if (job->rejected && job->end &&
            job->end - job->accepted <= SIM_COUNTS_TICKS)
            fail_msg("the job of tick %u would have ended at %u",
                     job->accepted, job->end);
    }
    sim_dispose(&sim);
}

/* Guards against rejections that outlast the backlog after its callers have
   cancelled it: they end with the next forecast. */
static void
admit__wave_of_cancellations_ends_rejections(void **state)
{
    const uint32_t cancel_tick = 30 * SIM_TICKS_PER_S;
    struct sim sim = {.rejections = 0};
    guint i;

    sim_run(&sim, 60 * SIM_TICKS_PER_S, cancel_tick);
    assert_true(g_array_index(sim.jobs, struct sim_job, cancel_tick).rejected);
    for (i = cancel_tick + 2 * SIM_TICKS_PER_S; i < sim.jobs->len; i++)
        assert_false(g_array_index(sim.jobs, struct sim_job, i).rejected);
    sim_dispose(&sim);
}

/* Guards against lease rows that outgrow their bound, with the configuration
   of 1,807 queues, and against the loss of the longest backlogs. */
static void
forecast__record_is_bounded_and_keeps_the_longest(void **state)
{
    GByteArray *record = g_byte_array_new();
    cs_forecast decoded;
    struct fixture fixture;
    uint32_t i;

    fixture_init(&fixture);
    for (i = 0; i < 10; i++)
        add_backlog(&fixture, i % 3, 5 + i, 60000);
    cs_forecast_encode(record, &fixture.forecast);
    assert_true(record->len < 1024);
    for (; i < 1807; i++)
        add_backlog(&fixture, i % 3, 5 + i, 60000);
    g_byte_array_set_size(record, 0);
    cs_forecast_encode(record, &fixture.forecast);
    assert_true(record->len <= FORECAST_MAX_BYTES);
    assert_int_equal(cs_forecast_decode(&decoded, record->data, record->len),
                     0);
    assert_true(decoded.queues->len >= 20);
    assert_non_null(cs_forecast_find_queue(&decoded, "b1807"));
    assert_int_equal(decoded.loaded_ms, 10000);
    cs_forecast_dispose(&decoded);
    cs_forecast_dispose(&fixture.forecast);
    g_byte_array_free(record, TRUE);
}

/* Guards against the use of forecasts with impossible figures, and against
   lists that only the record's own lengths bound. */
static void
forecast__absurd_or_cut_records_are_refused(void **state)
{
    GByteArray *record = g_byte_array_new();
    cs_forecast decoded;
    struct fixture fixture;
    cs_forecast_service *service;
    cs_forecast_queue *queue;
    guint cut;

    fixture_init(&fixture);
    add_backlog(&fixture, 1, 10, 60000);
    cs_forecast_encode(record, &fixture.forecast);
    for (cut = 0; cut < record->len; cut++)
        assert_int_equal(cs_forecast_decode(&decoded, record->data, cut),
                         CS_E_INVALID);
    service =
        &g_array_index(fixture.forecast.services, cs_forecast_service, 0);
    queue = &g_array_index(fixture.forecast.queues, cs_forecast_queue, 0);
    for (cut = 0; cut < 4; cut++) {
        struct fixture absurd = fixture;
        cs_forecast_service saved = *service;
        cs_forecast_queue saved_queue = *queue;

        if (cut == 0)
            service->largest_worker.cpu_milli = -1;
        else if (cut == 1)
            service->largest_rack = demand(1, 1);
        else if (cut == 2)
            queue->backlog[0].cpu_milli_s = INT64_MAX;
        else
            absurd.forecast.made_ms = 0;
        g_byte_array_set_size(record, 0);
        cs_forecast_encode(record, &absurd.forecast);
        assert_int_equal(
            cs_forecast_decode(&decoded, record->data, record->len),
            CS_E_INVALID);
        *service = saved;
        *queue = saved_queue;
    }
    for (cut = 0; cut < 100; cut++) {
        cs_forecast_service more =
            g_array_index(fixture.forecast.services, cs_forecast_service, 0);

        g_array_append_val(fixture.forecast.services, more);
    }
    g_byte_array_set_size(record, 0);
    cs_forecast_encode(record, &fixture.forecast);
    assert_true(record->len > CS_FORECAST_MAX_BYTES);
    assert_int_equal(cs_forecast_decode(&decoded, record->data, record->len),
                     CS_E_INVALID);
    cs_forecast_dispose(&fixture.forecast);
    g_byte_array_free(record, TRUE);
}

/* Guards against hints that ignore how long outages have lasted, and against a
   short disturbance that counts as one. */
static void
outage__estimate_follows_past_lengths(void **state)
{
    cs_outage outage = {0};
    int64_t answered_us = CS_SEC_US;
    uint32_t i;

    assert_false(cs_outage_update(&outage, answered_us, 0, 9 * CS_SEC_US));
    assert_false(cs_outage_update(&outage, answered_us, 1300 * CS_MS_US,
                                  2 * CS_SEC_US));
    /* A process that was paused has only just seen its calls fail. */
    assert_false(cs_outage_update(&outage, answered_us, 60 * CS_SEC_US,
                                  60 * CS_SEC_US));
    for (i = 0; i < 20; i++) {
        int64_t now_us = answered_us + 4 * CS_SEC_US;

        assert_true(
            cs_outage_update(&outage, answered_us, answered_us + 1, now_us));
        if (i == 0)
            assert_int_equal(cs_outage_rest_us(&outage, now_us),
                             4 * CS_SEC_US);
        else
            assert_int_equal(cs_outage_rest_us(&outage, now_us),
                             8 * CS_SEC_US);
        answered_us += 12 * CS_SEC_US;
        assert_false(cs_outage_update(&outage, answered_us, 0, answered_us));
        assert_int_equal(cs_outage_rest_us(&outage, answered_us), 0);
    }
}

#define CALLS_MAX 64

/* An entry whose store is answered by the test. */
struct bench {
    cs_store_port store;
    cs_fleet_state state;
    cs_entry *entry;
    cs_counters *counters;
    int64_t now_us;
    cs_store_done done[CALLS_MAX];
    void *user_data[CALLS_MAX];
    bool is_write[CALLS_MAX];
    uint32_t calls;
    uint32_t writes;
    cs_entry_reply reply;
    uint32_t replies;
};

static cs_now
bench_now(void *user_data)
{
    const struct bench *bench = user_data;
    cs_now now = {bench->now_us, bench->now_us};

    return now;
}

static void
bench_call(struct bench *bench, bool is_write, cs_store_done done,
           void *user_data)
{
    assert_true(bench->calls < CALLS_MAX);
    bench->done[bench->calls] = done;
    bench->user_data[bench->calls] = user_data;
    bench->is_write[bench->calls++] = is_write;
    bench->writes += is_write;
}

static void
bench_change(void *self, const cs_row_change *change, int64_t deadline_us,
             cs_store_done done, void *user_data)
{
    bench_call(self, true, done, user_data);
}

static void
bench_read(void *self, const cs_row_range *range, int64_t deadline_us,
           cs_store_done done, void *user_data)
{
    bench_call(self, false, done, user_data);
}

/* Answers all calls in flight; writes with write_code, reads with read_code
   and a number of rows. */
static void
bench_answer(struct bench *bench, int write_code, int read_code, size_t rows)
{
    cs_row row = {.value = "", .version = 1};
    uint32_t count = bench->calls;
    struct bench calls = *bench;
    uint32_t i;

    bench->calls = 0;
    for (i = 0; i < count; i++) {
        cs_store_answer answer = {.code = calls.is_write[i] ? write_code
                                                            : read_code,
                                  .rows = &row,
                                  .row_count = rows};

        /* A conflict is answered with the row that exists. */
        if (calls.is_write[i])
            answer.row_count = write_code == CS_E_CONFLICT;

        calls.done[i](calls.user_data[i], &answer);
    }
}

static void
bench_set_forecast(struct bench *bench, cs_forecast *forecast)
{
    GByteArray *record = g_byte_array_new();

    cs_forecast_encode(record, forecast);
    cs_fleet_state_set_forecast(&bench->state, record->data, record->len,
                                forecast->made_ms);
    g_byte_array_free(record, TRUE);
}

static void
bench_init(struct bench *bench)
{
    cs_fleet_ports ports = {
        .now = bench_now, .now_data = bench, .evacuation_prefix = "evacuate/"};
    cs_vm_settings settings = {.name = "vm"};
    struct fixture fixture;

    memset(bench, 0, sizeof(*bench));
    bench->store.self = bench;
    bench->store.change = bench_change;
    bench->store.read = bench_read;
    bench->now_us = CS_SEC_US;
    ports.store = &bench->store;
    bench->counters = cs_counters_create();
    cs_fleet_state_init(&bench->state, &ports, &settings, bench->counters);
    fixture_init(&fixture);
    g_strlcpy(fixture.queue.prefix, "/q2/", sizeof(fixture.queue.prefix));
    g_strlcpy(fixture.queue.host, "h", sizeof(fixture.queue.host));
    fixture.queue.allow_anonymous = true;
    bench->state.config = cs_fleet_config_create();
    bench->state.config->max_body_bytes = 1000;
    g_array_append_val(bench->state.config->queues, fixture.queue);
    cs_fleet_config_build_indexes(bench->state.config);
    bench->state.cell.epoch = 7;
    bench_set_forecast(bench, &fixture.forecast);
    cs_forecast_dispose(&fixture.forecast);
    bench->entry = cs_entry_create(&bench->state);
}

static void
bench_dispose(struct bench *bench)
{
    bench_answer(bench, CS_E_CONNECT, CS_E_CONNECT, 0);
    cs_entry_destroy(bench->entry);
    bench_answer(bench, CS_E_CONNECT, CS_E_CONNECT, 0);
    cs_fleet_state_dispose(&bench->state);
    cs_counters_destroy(bench->counters);
}

static void
bench_on_reply(void *user_data, const cs_entry_reply *reply)
{
    struct bench *bench = user_data;

    bench->reply = *reply;
    bench->replies++;
}

/* Submits a job of one task; clears the count of replies. */
static void
bench_submit(struct bench *bench, uint32_t number, int64_t cores)
{
    char *path = g_strdup_printf("/q2/%016x", number);
    fake_job job;
    cs_entry_call call = {.type = CS_ENTRY_SUBMIT,
                          .host = "h",
                          .path = path,
                          .deadline_us =
                              bench->now_us + CALLER_TIMEOUT_MS * CS_MS_US};

    fake_job_init(&job, number, 2, 1, 0, 1000);
    job.spec.steps[0].demand = demand(cores, 0);
    call.spec = &job.spec;
    bench->replies = 0;
    cs_entry_handle(bench->entry, &call, bench_on_reply, bench);
    g_free(path);
}

/* Guards against the rejection of a job that an earlier call has stored, and
   against a write for one that is rejected. */
static void
entry__rejects_only_what_is_not_stored(void **state)
{
    struct bench bench;

    bench_init(&bench);
    bench_submit(&bench, 1, CORES + 1);
    assert_int_equal(bench.replies, 0);
    bench_answer(&bench, 0, 0, 0);
    assert_int_equal(bench.reply.type, CS_REPLY_REJECTED);
    assert_int_equal(bench.reply.code, CS_E_NEVER_RUNNABLE);
    assert_in_range(bench.reply.retry_after_s, 3, 4);
    assert_int_equal(bench.writes, 0);
    bench_submit(&bench, 2, CORES + 1);
    bench_answer(&bench, 0, 0, 1);
    assert_int_equal(bench.reply.type, CS_REPLY_ACCEPTED);
    assert_int_equal(bench.writes, 0);
    assert_int_equal(
        *cs_counters_get(bench.counters, "cs_jobs_unservable_total"), 1);
    bench_dispose(&bench);
}

/* Slow store while a caller returns: guards against a rejection although an
   earlier write may yet take effect, and against one after a failed read. */
static void
entry__unsettled_job_is_not_rejected(void **state)
{
    struct bench bench;
    uint32_t i;

    bench_init(&bench);
    /* A holder that has not been loaded long enough lets the first call in. */
    bench.state.cell.epoch = 8;
    bench_submit(&bench, 1, CORES + 1);
    for (i = 0; i < 40 && bench.replies == 0; i++) {
        bench_answer(&bench, CS_E_OUTCOME_UNKNOWN, 0, 0);
        bench.now_us += 100 * CS_MS_US;
        cs_entry_tick(bench.entry);
    }
    assert_int_equal(bench.reply.type, CS_REPLY_UNKNOWN);
    bench_answer(&bench, CS_E_CONNECT, CS_E_CONNECT, 0);
    bench.state.cell.epoch = 7;
    bench.state.cell.forecast_read_us = bench.now_us;
    bench.writes = 0;
    bench_submit(&bench, 1, CORES + 1);
    assert_int_equal(bench.writes, 1);
    bench_answer(&bench, CS_E_CONFLICT, 0, 0);
    assert_int_equal(bench.reply.type, CS_REPLY_ACCEPTED);
    /* Whether another id is stored cannot be read, so it is not rejected. */
    bench_submit(&bench, 2, CORES + 1);
    bench_answer(&bench, 0, CS_E_STORE_UNAVAILABLE, 0);
    bench.now_us += 100 * CS_MS_US;
    cs_entry_tick(bench.entry);
    bench_answer(&bench, 0, 0, 0);
    assert_int_equal(bench.reply.type, CS_REPLY_ACCEPTED);
    bench_dispose(&bench);
}

/* Guards against rejections by a record that is cut off or old. */
static void
entry__unreadable_or_stale_forecast_accepts(void **state)
{
    struct bench bench;

    bench_init(&bench);
    cs_fleet_state_set_forecast(&bench.state, "\x97\x01\x07", 3, 1000);
    bench_submit(&bench, 1, CORES + 1);
    assert_int_equal(bench.writes, 1);
    bench_dispose(&bench);
    bench_init(&bench);
    bench.now_us += (FORECAST_AGE_MAX_MS + 1) * CS_MS_US;
    bench_submit(&bench, 1, CORES + 1);
    assert_int_equal(bench.writes, 1);
    bench_dispose(&bench);
}

/* Lets all calls fail for a duration. */
static void
bench_fail(struct bench *bench, int64_t us)
{
    int64_t end_us = bench->now_us + us;

    while (bench->now_us < end_us) {
        bench->now_us += 100 * CS_MS_US;
        bench_answer(bench, CS_E_STORE_UNAVAILABLE, CS_E_STORE_UNAVAILABLE, 0);
        cs_fleet_state_record_store_answer(&bench->state,
                                           CS_E_STORE_UNAVAILABLE);
        cs_entry_tick(bench->entry);
    }
}

/* Guards against the rejection of a job that another call of its caller has
   stored while the row was read for the rejection, and of a stored job whose
   caller returns in an outage because the reply was lost. */
static void
entry__stored_job_is_not_rejected(void **state)
{
    struct bench bench;
    cs_store_answer absent = {0};
    cs_store_done read_done;
    void *read;

    bench_init(&bench);
    cs_fleet_state_record_store_answer(&bench.state, 0);
    bench_submit(&bench, 1, CORES + 1);
    assert_int_equal(bench.calls, 1);
    read_done = bench.done[0];
    read = bench.user_data[0];
    bench.calls = 0;
    /* The forecast is of a former epoch now, so the second call writes. */
    bench.state.cell.epoch = 8;
    bench_submit(&bench, 1, CORES + 1);
    assert_int_equal(bench.writes, 1);
    bench_answer(&bench, 0, 0, 0);
    assert_int_equal(bench.reply.type, CS_REPLY_ACCEPTED);
    read_done(read, &absent);
    assert_int_equal(bench.replies, 2);
    assert_int_equal(bench.reply.type, CS_REPLY_ACCEPTED);
    bench_fail(&bench, 4 * CS_SEC_US);
    bench_submit(&bench, 2, 1);
    assert_int_equal(bench.reply.type, CS_REPLY_REJECTED);
    bench_submit(&bench, 1, 1);
    assert_int_equal(bench.replies, 1);
    assert_int_equal(bench.reply.type, CS_REPLY_ACCEPTED);
    /* The row of a job that was stored long ago may be deleted. */
    bench_fail(&bench, 30 * CS_SEC_US);
    bench_submit(&bench, 1, 1);
    assert_int_equal(bench.reply.type, CS_REPLY_REJECTED);
    bench_dispose(&bench);
}

/* Guards against callers that wait for a third of their time in an outage,
   against rejections in a short disturbance or after the outage, and against
   writes for rejected submissions. */
static void
entry__outage_rejects_at_once_and_ends_with_an_answer(void **state)
{
    struct bench bench;

    bench_init(&bench);
    cs_fleet_state_record_store_answer(&bench.state, 0);
    bench_fail(&bench, CS_SEC_US);
    bench_submit(&bench, 1, 1);
    assert_int_equal(bench.replies, 0);
    assert_int_equal(bench.writes, 1);
    bench_answer(&bench, CS_E_STORE_UNAVAILABLE, CS_E_STORE_UNAVAILABLE, 0);
    bench_fail(&bench, 3 * CS_SEC_US);
    assert_int_equal(bench.replies, 1);
    bench.writes = 0;
    bench_submit(&bench, 2, 1);
    assert_int_equal(bench.replies, 1);
    assert_int_equal(bench.reply.type, CS_REPLY_REJECTED);
    assert_int_equal(bench.reply.code, CS_E_STORE_UNAVAILABLE);
    /* The outage has lasted for over 3 s, and the callers' timeout is 3 s. */
    assert_in_range(bench.reply.retry_after_s, 3, 4);
    assert_int_equal(bench.writes, 0);
    assert_int_equal(
        *cs_counters_get(bench.counters, "cs_jobs_rejected_outage_total"), 1);
    /* The next probe is answered. */
    bench_fail(&bench, CS_SEC_US);
    bench.now_us += CS_SEC_US;
    cs_entry_tick(bench.entry);
    bench_answer(&bench, 0, 0, 1);
    bench_submit(&bench, 3, 1);
    assert_int_equal(bench.replies, 0);
    assert_int_equal(bench.writes, 1);
    bench_dispose(&bench);
}

static int32_t
submit_gang(fake_fleet *deployment, uint32_t vm, uint32_t number,
            uint32_t tasks)
{
    fake_job job;
    int32_t reply;

    fake_job_init(&job, number, 1, tasks, 8, 1000);
    job.spec.steps[0].gang = true;
    fake_fleet_submit(deployment, vm, &job, &reply);
    fake_fleet_run(deployment, 200 * CS_MS_US);
    return reply;
}

/* Guards against a forecast that does not reach the other VMs, against
   rejections when a worker is gone for a moment, and against those by the
   forecast of a holder that has ended. */
static void
fleet__unservable_gang_is_rejected_by_every_vm(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 16, .racks = 2, .seed = 41};
    fake_fleet *deployment = fake_fleet_create(&settings);
    uint32_t vm;
    int32_t holder;

    fake_fleet_run(deployment, 6 * CS_SEC_US);
    assert_int_equal(submit_gang(deployment, 0, 1, 17), CS_REPLY_ACCEPTED);
    fake_fleet_cancel(deployment, 0, "0000000000000001", NULL);
    fake_fleet_run(deployment, 10 * CS_SEC_US);
    fake_fleet_remove_worker(deployment, 3);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    for (vm = 0; vm < 4; vm++) {
        char id[CS_JOB_ID_BYTES];

        g_snprintf(id, sizeof(id), "%016x", 10 + vm);
        assert_int_equal(submit_gang(deployment, vm, 10 + vm, 17),
                         CS_REPLY_REJECTED);
        assert_false(fake_fleet_job_is_stored(deployment, id));
        assert_int_equal(submit_gang(deployment, vm, 20 + vm, 16),
                         CS_REPLY_ACCEPTED);
        assert_int_equal(submit_gang(deployment, vm, 1, 17),
                         CS_REPLY_ACCEPTED);
    }
    holder = fake_fleet_holder(deployment);
    fake_fleet_kill(deployment, (uint32_t)holder, 60 * CS_SEC_US);
    fake_fleet_run(deployment, 4 * CS_SEC_US);
    vm = holder == 0 ? 1 : 0;
    assert_int_equal(submit_gang(deployment, vm, 30, 17), CS_REPLY_ACCEPTED);
    if (fake_fleet_violation(deployment))
        fail_msg("%s", fake_fleet_violation(deployment));
    fake_fleet_destroy(deployment);
}

/* Returns the rate of the first service in the forecast that a VM has. */
static int64_t
forecast_cores(const fake_fleet *deployment, uint32_t vm)
{
    json_t *status = fake_fleet_status(deployment, vm);
    const json_t *services =
        json_object_get(json_object_get(status, "forecast"), "services");
    int64_t cores = json_integer_value(
        json_object_get(json_array_get(services, 0), "cores"));

    json_decref(status);
    return cores;
}

/* Guards against the rejection of a gang that fits the fleet, by a holder that
   took over while a worker was gone, and against waits that are too long for
   a fleet whose worker returns. */
static void
fleet__takeover_keeps_absent_workers(void **state)
{
    fake_fleet_settings settings = {
        .vms = 4, .workers = 16, .racks = 2, .seed = 42};
    fake_fleet *deployment = fake_fleet_create(&settings);
    uint32_t holder;
    uint32_t vm;
    int64_t cores;

    fake_fleet_run(deployment, 16 * CS_SEC_US);
    holder = (uint32_t)fake_fleet_holder(deployment);
    cores = forecast_cores(deployment, holder);
    assert_true(cores > 0);
    fake_fleet_remove_worker(deployment, 3);
    fake_fleet_run(deployment, 3 * CS_SEC_US);
    assert_true(forecast_cores(deployment, holder) >= cores);
    fake_fleet_kill(deployment, holder, 60 * CS_SEC_US);
    fake_fleet_run(deployment, 20 * CS_SEC_US);
    assert_int_not_equal(fake_fleet_holder(deployment), holder);
    for (vm = 0; vm < 4; vm++) {
        if (vm == holder)
            continue;
        assert_true(forecast_cores(deployment, vm) >= cores);
        assert_int_equal(submit_gang(deployment, vm, 10 + vm, 17),
                         CS_REPLY_REJECTED);
        assert_int_equal(submit_gang(deployment, vm, 20 + vm, 16),
                         CS_REPLY_ACCEPTED);
    }
    if (fake_fleet_violation(deployment))
        fail_msg("%s", fake_fleet_violation(deployment));
    fake_fleet_destroy(deployment);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(admit__doubtful_forecast_accepts),
        cmocka_unit_test(admit__learned_mean_alone_does_not_reject),
        cmocka_unit_test(admit__figures_at_their_limit_accept),
        cmocka_unit_test(admit__unservable_only_beyond_the_whole_fleet),
        cmocka_unit_test(admit__too_late_only_behind_more_urgent_work),
        cmocka_unit_test(admit__returning_caller_keeps_its_age),
        cmocka_unit_test(admit__retry_after_is_spread_after_the_delay),
        cmocka_unit_test(admit__rejected_jobs_would_have_been_too_late),
        cmocka_unit_test(admit__wave_of_cancellations_ends_rejections),
        cmocka_unit_test(forecast__record_is_bounded_and_keeps_the_longest),
        cmocka_unit_test(forecast__absurd_or_cut_records_are_refused),
        cmocka_unit_test(outage__estimate_follows_past_lengths),
        cmocka_unit_test(entry__rejects_only_what_is_not_stored),
        cmocka_unit_test(entry__unsettled_job_is_not_rejected),
        cmocka_unit_test(entry__stored_job_is_not_rejected),
        cmocka_unit_test(entry__unreadable_or_stale_forecast_accepts),
        cmocka_unit_test(
            entry__outage_rejects_at_once_and_ends_with_an_answer),
        cmocka_unit_test(fleet__unservable_gang_is_rejected_by_every_vm),
        cmocka_unit_test(fleet__takeover_keeps_absent_workers),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
