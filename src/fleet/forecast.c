/*
 * The holder's forecast: what the workers of this tenure could hold and the
 * work that waits, for the entries of all VMs. It is made from what the holder
 * knows anyway and published with the lease row.
 */
#include "cycle_internal.h"
#include "corianderstair/forecast.h"

#include <math.h>

/* The lease row is written every 0.45 s; entries use a forecast for 3 s. */
#define FORECAST_INTERVAL_US CS_SEC_US

struct forecaster {
    cs_forecast peak; /* services and labels: the largest figures so far, also
                         of former holders */
    GByteArray *record;
    int64_t loaded_us; /* when the holder began to schedule */
    int64_t next_us;
};

void
forecast_reset(cs_fleet *fleet)
{
    struct forecaster *forecaster = fleet->forecaster;

    if (!forecaster)
        return;
    cs_forecast_dispose(&forecaster->peak);
    g_byte_array_free(forecaster->record, TRUE);
    g_free(forecaster);
    fleet->forecaster = NULL;
}

const GByteArray *
forecast_record(const cs_fleet *fleet)
{
    if (!fleet->forecaster || fleet->forecaster->record->len == 0)
        return NULL;
    return fleet->forecaster->record;
}

/* Returns the index of a service, adding it; -1 if there are too many. */
static int32_t
get_service(cs_forecast *forecast, const char *name)
{
    const cs_forecast_service *found =
        cs_forecast_find_service(forecast, name);
    cs_forecast_service service = {0};

    if (found)
        return (int32_t)(found - (const cs_forecast_service *)(gpointer)
                                     forecast->services->data);
    if (!*name || forecast->services->len >= CS_FORECAST_SERVICES_MAX)
        return -1;
    g_strlcpy(service.name, name, sizeof(service.name));
    g_array_append_val(forecast->services, service);
    return (int32_t)forecast->services->len - 1;
}

/* Adds a worker to the present figures of its service. */
static void
add_worker(const cs_fleet *fleet, cs_forecast_service *service,
           cs_demand *rack, const struct worker *worker)
{
    double speed = MAX(exp(worker->speed.log_speed), 1.0);
    cs_demand free = worker->capacity;

    service->worker_count++;
    cs_forecast_raise(&service->largest_worker, &worker->capacity);
    cs_demand_add(&service->total, &worker->capacity);
    cs_demand_add(rack, &worker->capacity);
    cs_forecast_raise(&service->largest_rack, rack);
    if (worker->listed) {
        service->rate_cpu_milli +=
            (int64_t)((double)worker->capacity.cpu_milli * speed);
        service->rate_accelerator_milli +=
            (int64_t)(1000.0 * (double)worker->capacity.accelerators * speed);
    }
    cs_demand_subtract(&free, &worker->used);
    if (worker_is_usable(fleet, worker))
        cs_forecast_raise(&service->largest_free, &free);
}

static void
add_label(cs_forecast_label *label, const struct worker *worker)
{
    label->worker_count++;
    cs_forecast_raise(&label->largest_worker, &worker->capacity);
    cs_demand_add(&label->total, &worker->capacity);
}

/* Raises the peaks of a service, and replaces what is free now. */
static void
merge_service(cs_forecast_service *peak, const cs_forecast_service *present)
{
    peak->worker_count = MAX(peak->worker_count, present->worker_count);
    cs_forecast_raise(&peak->largest_worker, &present->largest_worker);
    cs_forecast_raise(&peak->largest_rack, &present->largest_rack);
    cs_forecast_raise(&peak->total, &present->total);
    peak->largest_free = present->largest_free;
    /* Workers that are drained or gone for a moment return, so that the least
       wait follows from the largest rate. */
    peak->rate_cpu_milli = MAX(peak->rate_cpu_milli, present->rate_cpu_milli);
    peak->rate_accelerator_milli =
        MAX(peak->rate_accelerator_milli, present->rate_accelerator_milli);
}

static void
merge_label(cs_forecast *peak, const cs_forecast_label *present)
{
    guint i;

    for (i = 0; i < peak->labels->len; i++) {
        cs_forecast_label *label =
            &g_array_index(peak->labels, cs_forecast_label, i);

        if (label->service != present->service ||
            strcmp(label->name, present->name) != 0)
            continue;
        label->worker_count = MAX(label->worker_count, present->worker_count);
        cs_forecast_raise(&label->largest_worker, &present->largest_worker);
        cs_forecast_raise(&label->total, &present->total);
        return;
    }
    g_array_append_vals(peak->labels, present, 1);
}

/* Returns the label with a name, which is borrowed; creates it if there is
   none. */
static cs_forecast_label *
get_label(GHashTable *labels, const char *name, uint32_t service)
{
    cs_forecast_label *label = g_hash_table_lookup(labels, name);

    if (label)
        return label;
    label = g_new0(cs_forecast_label, 1);
    g_strlcpy(label->name, name, sizeof(label->name));
    label->service = service;
    g_hash_table_insert(labels, (gpointer)name, label);
    return label;
}

/* Updates the labels of a service from all workers that have them. */
static void
update_labels(const cs_fleet *fleet, cs_forecast *peak, uint32_t service)
{
    const char *service_name =
        g_array_index(peak->services, cs_forecast_service, service).name;
    GHashTable *labels =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    GHashTableIter iter;
    gpointer value;
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);
        char **name;

        if (strcmp(worker->service, service_name) != 0)
            continue;
        for (name = worker->labels; name && *name; name++)
            add_label(get_label(labels, *name, service), worker);
    }
    g_hash_table_iter_init(&iter, labels);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        merge_label(peak, value);
    g_hash_table_destroy(labels);
}

static void
update_peaks(const cs_fleet *fleet, cs_forecast *peak)
{
    cs_forecast_service present[CS_FORECAST_SERVICES_MAX];
    guint racks = g_hash_table_size(fleet->rack_numbers);
    cs_demand *rack_sums =
        g_new0(cs_demand, (gsize)CS_FORECAST_SERVICES_MAX * (racks + 1));
    guint i;

    memset(present, 0, sizeof(present));
    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct worker *worker = g_ptr_array_index(fleet->worker_list, i);
        int32_t service = get_service(peak, worker->service);

        if (service >= 0)
            add_worker(fleet, &present[service],
                       &rack_sums[(guint)service * racks + worker->rack],
                       worker);
    }
    g_free(rack_sums);
    for (i = 0; i < peak->services->len; i++) {
        merge_service(&g_array_index(peak->services, cs_forecast_service, i),
                      &present[i]);
        update_labels(fleet, peak, i);
    }
}

/* Returns the number of waiting tasks that start from the beginning. */
static uint32_t
count_whole_tasks(const struct step *step)
{
    uint32_t count = 0;
    uint32_t i;

    if (!step->spec->checkpoint)
        return step->waiting_count;
    for (i = 0; i < step->spec->task_count; i++) {
        const struct task *task = &step->tasks[i];

        count += task->state == TASK_WAITING && !task->checkpoint;
    }
    return count;
}

/* Returns whether any worker of the service may run the step's tasks now, so
   that the step surely goes before less urgent ones. */
static bool
is_unrestricted(const struct job *job, const struct step *step)
{
    const cs_job_step *spec = step->spec;

    return step->waiting_count > 0 && step->ready_us != 0 &&
           job_step_is_ready(job, step) && !spec->perpetual &&
           !spec->best_effort && spec->max_per_worker == 0 &&
           !spec->required_label[0] && !spec->data_rack[0] &&
           (!spec->gang || step->waiting_count == spec->task_count);
}

static void
add_step(const cs_fleet *fleet, cs_forecast_queue *out,
         const cs_queue_config *queue, const struct step *step)
{
    const struct job *job = step->job;
    cs_now now = fleet_now(fleet);
    double run_ms = fleet_expected_run_ms(fleet, job->spec.queue, step->spec);
    int64_t accepted_ms = job->spec.accepted_ms;
    int64_t objective_ms = cycle_objective_ms(fleet, job, queue) - accepted_ms;
    int64_t counts_for_ms = accepted_ms +
                            CS_FORECAST_COUNTED_FACTOR * objective_ms -
                            (int64_t)run_ms - now.wall_us / CS_MS_US;

    if (counts_for_ms <= 0)
        return;
    /* A declared run time may be this much too long. */
    if (out->run_ms <= 0)
        run_ms *= 1 - CS_FORECAST_DECLARED_ERROR;
    cs_forecast_add_step(&out->backlog[step->spec->gang ? CS_FORECAST_GANGS
                                                        : CS_FORECAST_SINGLES],
                         step->spec, count_whole_tasks(step), run_ms,
                         counts_for_ms,
                         (now.boot_us - step->ready_us) / CS_MS_US);
}

/* Returns the queue's entry in the forecast, adding it; NULL if its service
   has no worker. */
static cs_forecast_queue *
get_queue(const cs_fleet *fleet, cs_forecast *forecast, GHashTable *indexes,
          const cs_queue_config *config)
{
    gpointer known = g_hash_table_lookup(indexes, config);
    const struct queue_run_time *run_time;
    cs_forecast_queue queue = {.priority = config->priority};
    const cs_forecast_service *service;

    if (known)
        return &g_array_index(forecast->queues, cs_forecast_queue,
                              GPOINTER_TO_UINT(known) - 1);
    service = cs_forecast_find_service(forecast, config->service);
    if (!service)
        return NULL;
    g_strlcpy(queue.name, config->name, sizeof(queue.name));
    queue.service =
        (uint32_t)(service - (const cs_forecast_service *)(gpointer)
                                 forecast->services->data);
    run_time = g_hash_table_lookup(fleet->queue_run_times, config->name);
    if (run_time)
        queue.run_ms = MAX((int64_t)run_time->mean_ms, 1);
    g_array_append_val(forecast->queues, queue);
    g_hash_table_insert(indexes, (gpointer)config,
                        GUINT_TO_POINTER(forecast->queues->len));
    return &g_array_index(forecast->queues, cs_forecast_queue,
                          forecast->queues->len - 1);
}

static void
add_job(const cs_fleet *fleet, cs_forecast *forecast, GHashTable *indexes,
        const struct job *job)
{
    const cs_queue_config *config = job_queue(fleet, job);
    cs_forecast_queue *queue;
    uint32_t i;

    /* Without its queue the job does not compete for workers. */
    if (!config || config->needs_ticket)
        return;
    for (i = 0; i < job_total_steps(job); i++) {
        const struct step *step = job->steps[i];

        if (!step || !is_unrestricted(job, step))
            continue;
        queue = get_queue(fleet, forecast, indexes, config);
        if (queue)
            add_step(fleet, queue, config, step);
    }
}

static gint
compare_labels(gconstpointer a, gconstpointer b)
{
    const cs_forecast_label *first = a;
    const cs_forecast_label *second = b;

    if (first->worker_count != second->worker_count)
        return first->worker_count > second->worker_count ? -1 : 1;
    return strcmp(first->name, second->name);
}

/* Copies the labels that a smaller worker or fewer workers stand behind. The
   most common ones go first: these are kinds of workers rather than racks. */
static void
copy_labels(cs_forecast *out, const cs_forecast *peak)
{
    guint i;

    for (i = 0; i < peak->labels->len; i++) {
        const cs_forecast_label *label =
            &g_array_index(peak->labels, cs_forecast_label, i);
        const cs_forecast_service *service = &g_array_index(
            peak->services, cs_forecast_service, label->service);

        if (!cs_demand_fits(&service->largest_worker, &label->largest_worker))
            g_array_append_vals(out->labels, label, 1);
    }
    g_array_sort(out->labels, compare_labels);
    if (out->labels->len > CS_FORECAST_LABELS_MAX)
        g_array_set_size(out->labels, CS_FORECAST_LABELS_MAX);
}

static void
make_forecast(cs_fleet *fleet, struct forecaster *forecaster)
{
    int64_t now_us = fleet_now(fleet).boot_us;
    GHashTable *indexes = g_hash_table_new(g_direct_hash, g_direct_equal);
    cs_forecast forecast;
    guint i;

    update_peaks(fleet, &forecaster->peak);
    cs_forecast_init(&forecast);
    forecast.epoch = fleet->epoch;
    forecast.made_ms = fleet->store_clock_ms;
    forecast.loaded_ms = (now_us - forecaster->loaded_us) / CS_MS_US;
    g_array_append_vals(forecast.services, forecaster->peak.services->data,
                        forecaster->peak.services->len);
    copy_labels(&forecast, &forecaster->peak);
    for (i = 0; i < fleet->active_jobs->len; i++)
        add_job(fleet, &forecast, indexes,
                g_ptr_array_index(fleet->active_jobs, i));
    g_byte_array_set_size(forecaster->record, 0);
    cs_forecast_encode(forecaster->record, &forecast);
    /* This VM is an entry too, and reads no lease row while it holds the
       cell. */
    cs_fleet_state_set_forecast(fleet->state, forecaster->record->data,
                                forecaster->record->len,
                                fleet->store_clock_ms);
    cs_forecast_dispose(&forecast);
    g_hash_table_destroy(indexes);
}

/* Initializes the peaks from the former holder's forecast: a new holder does
   not know workers that are gone while it takes over, such as those of an
   evacuated zone. */
static void
load_peaks(const cs_fleet *fleet, cs_forecast *peak)
{
    const GByteArray *record = fleet->state->cell.forecast;

    if (!record || cs_forecast_decode(peak, record->data, record->len)) {
        cs_forecast_init(peak);
        return;
    }
    g_array_set_size(peak->queues, 0);
    if (peak->services->len > CS_FORECAST_SERVICES_MAX) {
        cs_forecast_dispose(peak);
        cs_forecast_init(peak);
    }
}

void
forecast_tick(cs_fleet *fleet)
{
    struct forecaster *forecaster = fleet->forecaster;
    int64_t now_us = fleet_now(fleet).boot_us;

    if (!forecaster) {
        forecaster = g_new0(struct forecaster, 1);
        forecaster->record = g_byte_array_new();
        forecaster->loaded_us = now_us;
        load_peaks(fleet, &forecaster->peak);
        fleet->forecaster = forecaster;
    }
    if (now_us < forecaster->next_us || !fleet->state->config ||
        fleet->store_clock_ms <= 0)
        return;
    forecaster->next_us = now_us + FORECAST_INTERVAL_US;
    make_forecast(fleet, forecaster);
}

static json_t *
backlog_status(const cs_forecast_queue *queue, uint32_t class,
               const cs_forecast_service *service)
{
    static const char *const class_names[] = {"singles", "gangs"};
    const cs_forecast_backlog *backlog = &queue->backlog[class];

    return json_pack("{s:s,s:s,s:i,s:s,s:I,s:I,s:I,s:I}", "queue", queue->name,
                     "service", service->name, "priority",
                     (int)queue->priority, "class", class_names[class],
                     "core_s", (json_int_t)(backlog->cpu_milli_s / 1000),
                     "accelerator_s", (json_int_t)backlog->accelerator_s,
                     "wait_ms",
                     (json_int_t)cs_forecast_work_ms(backlog, service),
                     "oldest_wait_ms", (json_int_t)backlog->oldest_wait_ms);
}

static json_t *
service_status(const cs_forecast_service *service)
{
    return json_pack(
        "{s:s,s:i,s:I,s:I,s:I,s:I,s:I}", "service", service->name, "workers",
        (int)service->worker_count, "worker_cores",
        (json_int_t)(service->largest_worker.cpu_milli / 1000),
        "worker_accelerators",
        (json_int_t)service->largest_worker.accelerators, "rack_cores",
        (json_int_t)(service->largest_rack.cpu_milli / 1000),
        "rack_accelerators", (json_int_t)service->largest_rack.accelerators,
        "cores", (json_int_t)(service->rate_cpu_milli / 1000));
}

static json_t *
describe_forecast(const cs_forecast *forecast)
{
    json_t *services = json_array();
    json_t *backlog = json_array();
    guint i;
    uint32_t c;

    for (i = 0; i < forecast->services->len; i++)
        json_array_append_new(
            services, service_status(&g_array_index(forecast->services,
                                                    cs_forecast_service, i)));
    for (i = 0; i < forecast->queues->len; i++) {
        const cs_forecast_queue *queue =
            &g_array_index(forecast->queues, cs_forecast_queue, i);

        for (c = 0; c < CS_FORECAST_CLASSES; c++) {
            if (queue->backlog[c].widest > 0)
                json_array_append_new(
                    backlog, backlog_status(queue, c,
                                            &g_array_index(forecast->services,
                                                           cs_forecast_service,
                                                           queue->service)));
        }
    }
    return json_pack("{s:I,s:I,s:o,s:o}", "epoch", (json_int_t)forecast->epoch,
                     "loaded_ms", (json_int_t)forecast->loaded_ms, "services",
                     services, "backlog", backlog);
}

json_t *
forecast_status(const cs_fleet *fleet)
{
    const cs_cell_view *cell = &fleet->state->cell;
    cs_forecast forecast;
    json_t *status;

    if (!cell->forecast || cs_forecast_decode(&forecast, cell->forecast->data,
                                              cell->forecast->len))
        return NULL;
    status = describe_forecast(&forecast);
    json_object_set_new(
        status, "age_ms",
        json_integer(cell->forecast_read_ms - forecast.made_ms +
                     (fleet_now(fleet).boot_us - cell->forecast_read_us) /
                         CS_MS_US));
    cs_forecast_dispose(&forecast);
    return status;
}
