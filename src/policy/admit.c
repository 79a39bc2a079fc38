#include "corianderstair/admit.h"
#include "corianderstair/binpack.h"
#include "corianderstair/clock.h"

#include <string.h>

/* The estimate of the end is divided by this before it is compared, because
   the rate of the fleet and the run times are not known exactly. */
#define UNCERTAINTY_FACTOR 2
/* A new holder has read the entries of all workers, which are written every
   1.5 s, several times by then. */
#define HOLDER_LOADED_MIN_MS 10000
/* Above any end that a forecast can lead to. */
#define LIMIT_MAX_MS 1e18

struct cs_admit_returning {
    GHashTable *by_id; /* id to struct rejection */
    GQueue order;      /* of struct rejection, oldest first; owns them */
};

struct rejection {
    char id[CS_JOB_ID_BYTES];
    int64_t first_us;
    int64_t wait_ms; /* that the forecast told then */
    GList *link;     /* in order */
};

cs_admit_returning *
cs_admit_returning_create(void)
{
    cs_admit_returning *returning = g_new0(cs_admit_returning, 1);

    returning->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&returning->order);
    return returning;
}

void
cs_admit_returning_destroy(cs_admit_returning *returning)
{
    if (!returning)
        return;
    g_hash_table_destroy(returning->by_id);
    g_queue_clear_full(&returning->order, g_free);
    g_free(returning);
}

void
cs_admit_returning_remove(cs_admit_returning *returning, const char *id)
{
    struct rejection *rejection = g_hash_table_lookup(returning->by_id, id);

    if (!rejection)
        return;
    g_hash_table_remove(returning->by_id, id);
    g_queue_delete_link(&returning->order, rejection->link);
    g_free(rejection);
}

void
cs_admit_returning_add(cs_admit_returning *returning, const char *id,
                       int64_t now_us, int64_t wait_ms)
{
    struct rejection *rejection;

    if (g_hash_table_contains(returning->by_id, id))
        return;
    if (g_queue_get_length(&returning->order) >= CS_ADMIT_RETURNING_MAX) {
        rejection = g_queue_peek_head(&returning->order);
        cs_admit_returning_remove(returning, rejection->id);
    }
    rejection = g_new0(struct rejection, 1);
    g_strlcpy(rejection->id, id, sizeof(rejection->id));
    rejection->first_us = now_us;
    rejection->wait_ms = wait_ms;
    g_queue_push_tail(&returning->order, rejection);
    rejection->link = returning->order.tail;
    g_hash_table_insert(returning->by_id, rejection->id, rejection);
}

uint32_t
cs_admit_returning_count(const cs_admit_returning *returning)
{
    return g_hash_table_size(returning->by_id);
}

const char *
cs_admit_verdict_name(cs_admit_verdict verdict)
{
    switch (verdict) {
    case CS_ADMIT_ACCEPT:
        return "accept";
    case CS_ADMIT_UNSERVABLE:
        return "unservable";
    case CS_ADMIT_TOO_LATE:
        return "too-late";
    }
    return "accept";
}

uint32_t
cs_admit_retry_after_s(int64_t delay_ms, const char *id, int64_t timeout_ms)
{
    /* To the nearest second: some ms of the timeout have passed already. */
    int64_t latest_s = MAX((timeout_ms + 500) / 1000, 1);
    int64_t delay_s = CLAMP((delay_ms + 999) / 1000, 1, latest_s);
    int64_t spread_s = MIN((delay_s + 1) / 2, latest_s + 1 - delay_s);

    return (uint32_t)(delay_s + g_str_hash(id) % (spread_s + 1));
}

static bool
is_usable(const cs_admit_input *input)
{
    return input->forecast && input->forecast->epoch == input->epoch &&
           input->age_ms >= 0 && input->age_ms <= CS_ADMIT_FORECAST_AGE_MAX_MS;
}

static uint32_t
service_index(const cs_forecast *forecast, const cs_forecast_service *service)
{
    return (uint32_t)(service - (const cs_forecast_service *)(gpointer)
                                    forecast->services->data);
}

/* Returns the workers of the service with a label; NULL if the forecast does
   not list them apart from the service. */
static const cs_forecast_label *
find_label(const cs_forecast *forecast, const cs_forecast_service *service,
           const char *name)
{
    guint i;

    for (i = 0; i < forecast->labels->len; i++) {
        const cs_forecast_label *label =
            &g_array_index(forecast->labels, cs_forecast_label, i);

        if (label->service == service_index(forecast, service) &&
            strcmp(label->name, name) == 0)
            return label;
    }
    return NULL;
}

/* Returns how many tasks workers could hold of one resource, at most. */
static int64_t
max_tasks_of(int64_t demand, int64_t worker, int64_t total, uint32_t workers)
{
    int64_t by_workers;

    if (demand <= 0)
        return INT64_MAX;
    /* The figures come from a row, so their product may overflow. */
    if (__builtin_mul_overflow(worker / demand, (int64_t)workers, &by_workers))
        return total / demand;
    return MIN(total / demand, by_workers);
}

/* Returns why no worker, or for a gang all workers together, could ever hold
   the step; NULL if that is not certain. */
static const char *
find_unservable(const cs_forecast *forecast,
                const cs_forecast_service *service, const cs_job_step *step)
{
    const cs_forecast_label *label =
        find_label(forecast, service, step->required_label);
    const cs_demand *worker =
        label ? &label->largest_worker : &service->largest_worker;
    const cs_demand *total = label ? &label->total : &service->total;
    uint32_t workers = label ? label->worker_count : service->worker_count;
    cs_demand demand = step->demand;
    int64_t most;

    if (step->best_effort)
        demand.cpu_milli = 0;
    if (!cs_demand_fits(&demand, worker))
        return "a task is larger than any worker that the fleet has had";
    if (!step->gang)
        return NULL;
    /* A gang that is too wide for one rack is placed in several, so that only
       the whole fleet limits it. */
    most = max_tasks_of(demand.cpu_milli, worker->cpu_milli, total->cpu_milli,
                        workers);
    most = MIN(most, max_tasks_of(demand.memory_mb, worker->memory_mb,
                                  total->memory_mb, workers));
    most = MIN(most, max_tasks_of(demand.accelerators, worker->accelerators,
                                  total->accelerators, workers));
    if (step->max_per_worker > 0)
        most = MIN(most, (int64_t)step->max_per_worker * workers);
    if (step->task_count > most)
        return "a gang is wider than all workers that the fleet has had";
    return NULL;
}

/*
 * Returns whether a step of the job could be placed only where all waiting
 * steps of the backlog could be too, so that these go first.
 */
static bool
is_behind(const cs_job_step *step, cs_forecast_class class,
          const cs_forecast_backlog *backlog)
{
    if (backlog->widest == 0 ||
        !cs_demand_fits(&backlog->largest_task, &step->demand))
        return false;
    switch (class) {
    case CS_FORECAST_SINGLES:
        return true;
    case CS_FORECAST_GANGS:
        /* Smaller work is placed in gaps that a gang cannot use. */
        return step->gang && step->task_count >= backlog->widest &&
               (step->same_rack || !backlog->same_rack);
    case CS_FORECAST_CLASSES:
        break;
    }
    return false;
}

/*
 * Returns for how long the step waits at least. Only work of more urgent
 * queues surely goes first: within a priority a new job may overtake those
 * that have missed their objective. Work that no longer counts is overtaken
 * as well, so the wait ends when the last of it stops counting.
 */
static int64_t
least_wait_ms(const cs_admit_input *input, const cs_forecast_service *service,
              const cs_job_step *step)
{
    const cs_forecast *forecast = input->forecast;
    double work_ms = 0;
    int64_t counts_for_ms = 0;
    guint i;
    uint32_t c;

    for (i = 0; i < forecast->queues->len; i++) {
        const cs_forecast_queue *queue =
            &g_array_index(forecast->queues, cs_forecast_queue, i);

        if (queue->service != service_index(forecast, service) ||
            queue->priority >= input->queue->priority)
            continue;
        for (c = 0; c < CS_FORECAST_CLASSES; c++) {
            const cs_forecast_backlog *backlog = &queue->backlog[c];

            if (!is_behind(step, (cs_forecast_class)c, backlog))
                continue;
            work_ms += cs_forecast_work_ms(backlog, service);
            counts_for_ms = MAX(counts_for_ms, backlog->counts_for_ms);
        }
    }
    return (int64_t)MIN(work_ms, (double)counts_for_ms);
}

/* Returns the wait of a caller that was rejected before: work that came after
   its first rejection does not count against it. */
static int64_t
limit_returning_wait(const cs_admit_input *input, int64_t wait_ms)
{
    const struct rejection *rejection;
    int64_t waited_ms;

    if (!input->returning)
        return wait_ms;
    rejection = g_hash_table_lookup(input->returning->by_id, input->job->id);
    if (!rejection)
        return wait_ms;
    waited_ms = (input->now_us - rejection->first_us) / CS_MS_US;
    return CLAMP(rejection->wait_ms - waited_ms, 0, wait_ms);
}

/* Returns whether load must not lead to a rejection of the job, whatever the
   forecast says. */
static bool
is_exempt(const cs_admit_input *input, const cs_forecast_service *service)
{
    const cs_job_spec *job = input->job;
    uint32_t i;

    /* Jobs without an objective never end too late. */
    if (input->queue->stretch <= 0 && input->queue->target_ms <= 0)
        return true;
    if (job->repeats > 0 || job->start_ms > 0)
        return true;
    /* Only queues of priority 0 use the guarantee. */
    if (input->organisation && input->queue->priority == 0 &&
        input->organisation->guaranteed_accelerators > 0)
        return true;
    for (i = 0; i < job->step_count; i++) {
        const cs_job_step *step = &job->steps[i];

        if (step->perpetual)
            return true;
        if (step->predecessors == 0 &&
            cs_demand_fits(&step->demand, &service->largest_free))
            return true;
    }
    return false;
}

static void
decide_by_time(cs_admit_decision *out, const cs_admit_input *input,
               const cs_forecast_service *service)
{
    const cs_forecast_queue *queue =
        cs_forecast_find_queue(input->forecast, input->queue->name);
    const cs_job_spec *job = input->job;
    double declared_ms = (double)job->steps[0].estimate_ms;
    double least_run_ms;
    double most_run_ms;
    double limit_ms;
    int64_t wait_ms = INT64_MAX;
    uint32_t i;

    /* The objective depends on the learned run time of the queue, which is
       only known if the forecast lists it. */
    if (!queue || is_exempt(input, service))
        return;
    for (i = 0; i < job->step_count; i++) {
        if (job->steps[i].predecessors == 0)
            wait_ms =
                MIN(wait_ms, least_wait_ms(input, service, &job->steps[i]));
    }
    wait_ms = limit_returning_wait(input, wait_ms);
    /* Without work ahead of it, the job would end no sooner later on. */
    if (wait_ms <= 0)
        return;
    /* The learned run time is a mean, which a short job stays below. */
    least_run_ms = declared_ms * (1 - CS_FORECAST_DECLARED_ERROR);
    most_run_ms = declared_ms * (1 + CS_FORECAST_DECLARED_ERROR);
    if (queue->run_ms > 0) {
        least_run_ms = MIN(least_run_ms, (double)queue->run_ms);
        most_run_ms = (double)queue->run_ms;
    }
    out->wait_ms = wait_ms;
    out->end_ms = (wait_ms + (int64_t)least_run_ms) / UNCERTAINTY_FACTOR;
    limit_ms = CS_FORECAST_COUNTED_FACTOR *
               ((double)input->queue->target_ms +
                input->queue->stretch * most_run_ms * job->step_count);
    /* A double beyond the range of int64_t has no defined conversion. */
    out->limit_ms = (int64_t)MIN(limit_ms, LIMIT_MAX_MS);
    if (out->end_ms <= out->limit_ms)
        return;
    out->verdict = CS_ADMIT_TOO_LATE;
    out->retry_after_s = cs_admit_retry_after_s(out->end_ms - out->limit_ms,
                                                job->id, input->timeout_ms);
    out->reason = "more urgent work leaves no time for the job to count";
}

cs_admit_decision
cs_admit_decide(const cs_admit_input *input)
{
    cs_admit_decision out = {.verdict = CS_ADMIT_ACCEPT};
    const cs_forecast_service *service;
    uint32_t i;

    if (!is_usable(input) || input->forecast->loaded_ms < HOLDER_LOADED_MIN_MS)
        return out;
    service = cs_forecast_find_service(input->forecast, input->queue->service);
    if (!service)
        return out;
    for (i = 0; i < input->job->step_count; i++) {
        out.reason =
            find_unservable(input->forecast, service, &input->job->steps[i]);
        if (!out.reason)
            continue;
        out.verdict = CS_ADMIT_UNSERVABLE;
        /* Only other workers would help, which take long to arrive. */
        out.retry_after_s = cs_admit_retry_after_s(
            input->timeout_ms, input->job->id, input->timeout_ms);
        return out;
    }
    decide_by_time(&out, input, service);
    return out;
}
