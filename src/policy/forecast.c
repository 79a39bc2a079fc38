#include "corianderstair/forecast.h"
#include "corianderstair/errors.h"
#include "corianderstair/record.h"

#include <string.h>

#define RECORD_VERSION 1
/* Upper limit of any figure of a forecast. A fleet of the design size, 15,000
   workers of 128 cores, does 1.7e14 thousandths of core-seconds a day; sums of
   all queues stay within 64 bits. */
#define FIGURE_MAX INT64_C(1000000000000000)
#define DEMAND_ITEMS 3
#define BACKLOG_ITEMS 9

void
cs_forecast_init(cs_forecast *forecast)
{
    memset(forecast, 0, sizeof(*forecast));
    forecast->services = g_array_new(FALSE, TRUE, sizeof(cs_forecast_service));
    forecast->labels = g_array_new(FALSE, TRUE, sizeof(cs_forecast_label));
    forecast->queues = g_array_new(FALSE, TRUE, sizeof(cs_forecast_queue));
}

void
cs_forecast_dispose(cs_forecast *forecast)
{
    if (forecast->services) {
        g_array_free(forecast->services, TRUE);
        g_array_free(forecast->labels, TRUE);
        g_array_free(forecast->queues, TRUE);
    }
    memset(forecast, 0, sizeof(*forecast));
}

void
cs_forecast_raise(cs_demand *demand, const cs_demand *other)
{
    demand->cpu_milli = MAX(demand->cpu_milli, other->cpu_milli);
    demand->memory_mb = MAX(demand->memory_mb, other->memory_mb);
    demand->accelerators = MAX(demand->accelerators, other->accelerators);
}

void
cs_forecast_add_step(cs_forecast_backlog *backlog, const cs_job_step *step,
                     uint32_t count, double run_ms, int64_t counts_for_ms,
                     int64_t waited_ms)
{
    double seconds = run_ms / 1000.0 * count;

    backlog->cpu_milli_s +=
        (int64_t)(seconds * (double)step->demand.cpu_milli);
    backlog->accelerator_s +=
        (int64_t)(seconds * (double)step->demand.accelerators);
    cs_forecast_raise(&backlog->largest_task, &step->demand);
    backlog->widest = MAX(backlog->widest, step->task_count);
    backlog->same_rack |= step->same_rack;
    backlog->counts_for_ms = MAX(backlog->counts_for_ms, counts_for_ms);
    backlog->oldest_wait_ms = MAX(backlog->oldest_wait_ms, waited_ms);
}

double
cs_forecast_work_ms(const cs_forecast_backlog *backlog,
                    const cs_forecast_service *service)
{
    double ms = 0;

    if (service->rate_cpu_milli > 0)
        ms = 1000.0 * (double)backlog->cpu_milli_s /
             (double)service->rate_cpu_milli;
    if (service->rate_accelerator_milli > 0)
        ms = MAX(ms, 1000.0 * 1000.0 * (double)backlog->accelerator_s /
                         (double)service->rate_accelerator_milli);
    return ms;
}

static void
pack_demand(msgpack_packer *packer, const cs_demand *demand)
{
    msgpack_pack_array(packer, DEMAND_ITEMS);
    msgpack_pack_int64(packer, demand->cpu_milli);
    msgpack_pack_int64(packer, demand->memory_mb);
    msgpack_pack_int64(packer, demand->accelerators);
}

static void
pack_service(msgpack_packer *packer, const cs_forecast_service *service)
{
    msgpack_pack_array(packer, 8);
    cs_record_pack_text(packer, service->name);
    msgpack_pack_uint32(packer, service->worker_count);
    pack_demand(packer, &service->largest_worker);
    pack_demand(packer, &service->largest_rack);
    pack_demand(packer, &service->total);
    pack_demand(packer, &service->largest_free);
    msgpack_pack_int64(packer, service->rate_cpu_milli);
    msgpack_pack_int64(packer, service->rate_accelerator_milli);
}

static void
pack_label(msgpack_packer *packer, const cs_forecast_label *label)
{
    msgpack_pack_array(packer, 5);
    cs_record_pack_text(packer, label->name);
    msgpack_pack_uint32(packer, label->service);
    msgpack_pack_uint32(packer, label->worker_count);
    pack_demand(packer, &label->largest_worker);
    pack_demand(packer, &label->total);
}

/* An empty array stands for a class of which nothing waits. */
static void
pack_backlog(msgpack_packer *packer, const cs_forecast_backlog *backlog)
{
    if (backlog->widest == 0) {
        msgpack_pack_array(packer, 0);
        return;
    }
    msgpack_pack_array(packer, BACKLOG_ITEMS);
    msgpack_pack_int64(packer, backlog->cpu_milli_s);
    msgpack_pack_int64(packer, backlog->accelerator_s);
    msgpack_pack_int64(packer, backlog->largest_task.cpu_milli);
    msgpack_pack_int64(packer, backlog->largest_task.memory_mb);
    msgpack_pack_int64(packer, backlog->largest_task.accelerators);
    msgpack_pack_uint32(packer, backlog->widest);
    msgpack_pack_int64(packer, backlog->same_rack);
    msgpack_pack_int64(packer, backlog->counts_for_ms);
    msgpack_pack_int64(packer, backlog->oldest_wait_ms);
}

static void
pack_queue(msgpack_packer *packer, const cs_forecast_queue *queue)
{
    uint32_t i;

    msgpack_pack_array(packer, 4 + CS_FORECAST_CLASSES);
    cs_record_pack_text(packer, queue->name);
    msgpack_pack_uint32(packer, queue->service);
    msgpack_pack_uint32(packer, queue->priority);
    msgpack_pack_int64(packer, queue->run_ms);
    for (i = 0; i < CS_FORECAST_CLASSES; i++)
        pack_backlog(packer, &queue->backlog[i]);
}

static double
queue_work_ms(const cs_forecast *forecast, const cs_forecast_queue *queue)
{
    const cs_forecast_service *service = &g_array_index(
        forecast->services, cs_forecast_service, queue->service);
    double ms = 0;
    uint32_t i;

    for (i = 0; i < CS_FORECAST_CLASSES; i++)
        ms += cs_forecast_work_ms(&queue->backlog[i], service);
    return ms;
}

static gint
compare_work(gconstpointer a, gconstpointer b, gpointer forecast)
{
    const cs_forecast_queue *first = a;
    const cs_forecast_queue *second = b;
    double first_ms = queue_work_ms(forecast, first);
    double second_ms = queue_work_ms(forecast, second);

    if (first_ms != second_ms)
        return first_ms > second_ms ? -1 : 1;
    return strcmp(first->name, second->name);
}

static void
pack_head(msgpack_packer *packer, const cs_forecast *forecast)
{
    guint i;

    msgpack_pack_array(packer, 7);
    msgpack_pack_int64(packer, RECORD_VERSION);
    msgpack_pack_uint64(packer, forecast->epoch);
    msgpack_pack_int64(packer, forecast->made_ms);
    msgpack_pack_int64(packer, forecast->loaded_ms);
    msgpack_pack_array(packer, forecast->services->len);
    for (i = 0; i < forecast->services->len; i++)
        pack_service(packer, &g_array_index(forecast->services,
                                            cs_forecast_service, i));
    msgpack_pack_array(packer, forecast->labels->len);
    for (i = 0; i < forecast->labels->len; i++)
        pack_label(packer,
                   &g_array_index(forecast->labels, cs_forecast_label, i));
}

void
cs_forecast_encode(GByteArray *out, const cs_forecast *forecast)
{
    /* Bytes of the header of an array. */
    const guint array_bytes = 5;
    GByteArray *queues = g_byte_array_new();
    guint start = out->len;
    guint kept = 0;
    msgpack_packer packer;

    cs_record_packer_init(&packer, out);
    pack_head(&packer, forecast);
    g_array_sort_with_data(forecast->queues, compare_work, (gpointer)forecast);
    for (; kept < forecast->queues->len; kept++) {
        guint len = queues->len;

        cs_record_packer_init(&packer, queues);
        pack_queue(&packer,
                   &g_array_index(forecast->queues, cs_forecast_queue, kept));
        if (out->len - start + array_bytes + queues->len <=
            CS_FORECAST_MAX_BYTES)
            continue;
        g_byte_array_set_size(queues, len);
        break;
    }
    cs_record_packer_init(&packer, out);
    msgpack_pack_array(&packer, kept);
    g_byte_array_append(out, queues->data, queues->len);
    g_byte_array_free(queues, TRUE);
}

/* Reads a figure, which is a failure if it is negative or not possible. */
static int64_t
read_figure(cs_record_reader *reader)
{
    int64_t value = cs_record_read_int(reader);

    if (value < 0 || value > FIGURE_MAX)
        reader->failed = true;
    return value;
}

static uint32_t
read_count(cs_record_reader *reader)
{
    int64_t value = read_figure(reader);

    if (value > INT32_MAX)
        reader->failed = true;
    return (uint32_t)value;
}

static void
read_demand(cs_demand *out, cs_record_reader *reader)
{
    const msgpack_object *item = cs_record_read_item(reader);
    cs_record_reader inner;

    if (!item)
        return;
    cs_record_reader_init(&inner, item);
    out->cpu_milli = read_figure(&inner);
    out->memory_mb = read_figure(&inner);
    out->accelerators = read_figure(&inner);
    reader->failed |= inner.failed;
}

static bool
covers(const cs_demand *larger, const cs_demand *smaller)
{
    return larger->cpu_milli >= smaller->cpu_milli &&
           larger->memory_mb >= smaller->memory_mb &&
           larger->accelerators >= smaller->accelerators;
}

static bool
decode_service(cs_forecast *out, cs_record_reader *reader)
{
    cs_forecast_service service = {0};

    cs_record_read_text(reader, service.name, sizeof(service.name));
    service.worker_count = read_count(reader);
    read_demand(&service.largest_worker, reader);
    read_demand(&service.largest_rack, reader);
    read_demand(&service.total, reader);
    read_demand(&service.largest_free, reader);
    service.rate_cpu_milli = read_figure(reader);
    service.rate_accelerator_milli = read_figure(reader);
    g_array_append_val(out->services, service);
    return !reader->failed && service.worker_count > 0 &&
           covers(&service.total, &service.largest_rack) &&
           covers(&service.largest_rack, &service.largest_worker) &&
           covers(&service.largest_worker, &service.largest_free);
}

static bool
decode_label(cs_forecast *out, cs_record_reader *reader)
{
    cs_forecast_label label = {0};

    cs_record_read_text(reader, label.name, sizeof(label.name));
    label.service = read_count(reader);
    label.worker_count = read_count(reader);
    read_demand(&label.largest_worker, reader);
    read_demand(&label.total, reader);
    g_array_append_val(out->labels, label);
    return !reader->failed && label.service < out->services->len &&
           label.worker_count > 0 &&
           covers(&label.total, &label.largest_worker);
}

static void
read_backlog(cs_forecast_backlog *out, cs_record_reader *reader)
{
    const msgpack_object *item = cs_record_read_item(reader);
    cs_record_reader inner;

    if (!item)
        return;
    cs_record_reader_init(&inner, item);
    if (inner.failed || inner.count == 0) {
        reader->failed |= inner.failed;
        return;
    }
    out->cpu_milli_s = read_figure(&inner);
    out->accelerator_s = read_figure(&inner);
    out->largest_task.cpu_milli = read_figure(&inner);
    out->largest_task.memory_mb = read_figure(&inner);
    out->largest_task.accelerators = read_figure(&inner);
    out->widest = read_count(&inner);
    out->same_rack = cs_record_read_int(&inner) != 0;
    out->counts_for_ms = read_figure(&inner);
    out->oldest_wait_ms = read_figure(&inner);
    reader->failed |= inner.failed || out->widest == 0;
}

static bool
decode_queue(cs_forecast *out, cs_record_reader *reader)
{
    cs_forecast_queue queue = {0};
    uint32_t i;

    cs_record_read_text(reader, queue.name, sizeof(queue.name));
    queue.service = read_count(reader);
    queue.priority = read_count(reader);
    queue.run_ms = read_figure(reader);
    for (i = 0; i < CS_FORECAST_CLASSES; i++)
        read_backlog(&queue.backlog[i], reader);
    g_array_append_val(out->queues, queue);
    return !reader->failed && queue.service < out->services->len;
}

static bool
decode_list(cs_forecast *out, cs_record_reader *reader,
            bool (*decode)(cs_forecast *out, cs_record_reader *reader))
{
    const msgpack_object *list = cs_record_read_item(reader);
    cs_record_reader items;
    bool valid = true;

    if (!list)
        return false;
    cs_record_reader_init(&items, list);
    while (valid && !items.failed && items.next < items.count) {
        cs_record_reader item;

        cs_record_reader_init(&item, cs_record_read_item(&items));
        valid = !item.failed && decode(out, &item);
    }
    return valid && !items.failed;
}

int
cs_forecast_decode(cs_forecast *out, const void *bytes, size_t size_bytes)
{
    cs_packed_record record;
    bool valid;

    cs_forecast_init(out);
    /* Bounds the lists, whose lengths the record tells. */
    if (size_bytes > CS_FORECAST_MAX_BYTES) {
        cs_forecast_dispose(out);
        return cs_error_set(CS_E_INVALID, "the forecast is too large");
    }
    cs_record_open(&record, bytes, size_bytes);
    valid = cs_record_read_int(&record.reader) == RECORD_VERSION;
    out->epoch = (uint64_t)cs_record_read_int(&record.reader);
    out->made_ms = cs_record_read_int(&record.reader);
    out->loaded_ms = read_figure(&record.reader);
    valid = valid && !record.reader.failed && out->made_ms > 0 &&
            decode_list(out, &record.reader, decode_service) &&
            decode_list(out, &record.reader, decode_label) &&
            decode_list(out, &record.reader, decode_queue);
    cs_record_close(&record);
    if (valid)
        return 0;
    cs_forecast_dispose(out);
    return cs_error_set(CS_E_INVALID, "the forecast is not readable");
}

const cs_forecast_service *
cs_forecast_find_service(const cs_forecast *forecast, const char *name)
{
    guint i;

    for (i = 0; i < forecast->services->len; i++) {
        const cs_forecast_service *service =
            &g_array_index(forecast->services, cs_forecast_service, i);

        if (strcmp(service->name, name) == 0)
            return service;
    }
    return NULL;
}

const cs_forecast_queue *
cs_forecast_find_queue(const cs_forecast *forecast, const char *name)
{
    guint i;

    for (i = 0; i < forecast->queues->len; i++) {
        const cs_forecast_queue *queue =
            &g_array_index(forecast->queues, cs_forecast_queue, i);

        if (strcmp(queue->name, name) == 0)
            return queue;
    }
    return NULL;
}
