#include "corianderstair/job_spec.h"
#include "corianderstair/errors.h"
#include "corianderstair/record.h"

#include <string.h>

#define RECORD_VERSION 1
#define JOB_FIELDS 15
#define TERMS_FIELDS 2
#define STEP_FIELDS 15
/* Maximum of each resource: thousandths of a core, MB, accelerators. */
#define DEMAND_MAX INT64_C(1000000000)

/* Bits of the flags of a stored step. */
enum {
    FLAG_CHECKPOINT = 1,
    FLAG_GANG = 2,
    FLAG_SAME_RACK = 4,
    FLAG_SPECULATIVE = 8,
    FLAG_PERPETUAL = 16,
    FLAG_BEST_EFFORT = 32
};

void
cs_job_spec_init(cs_job_spec *spec)
{
    memset(spec, 0, sizeof(*spec));
}

void
cs_job_spec_init_tombstone(cs_job_spec *spec, const char *id,
                           const char *organisation, int64_t store_ms)
{
    cs_job_spec_init(spec);
    g_strlcpy(spec->id, id, sizeof(spec->id));
    g_strlcpy(spec->organisation, organisation, sizeof(spec->organisation));
    spec->cancelled = true;
    spec->tombstone = true;
    spec->tombstone_ms = store_ms;
    /* The least that is a valid job. */
    spec->payload = g_strdup("");
    spec->step_count = 1;
    spec->steps = g_new0(cs_job_step, 1);
    spec->steps[0].task_count = 1;
}

void
cs_job_spec_dispose(cs_job_spec *spec)
{
    g_free(spec->payload);
    g_free(spec->steps);
    spec->payload = NULL;
    spec->steps = NULL;
    spec->step_count = 0;
}

bool
cs_job_id_is_valid(const char *id)
{
    size_t i;

    for (i = 0; i < CS_JOB_ID_BYTES - 1; i++) {
        if (!g_ascii_isxdigit(id[i]))
            return false;
    }
    return id[i] == '\0';
}

static int
check_demand(const cs_demand *demand, uint32_t step_index)
{
    if (demand->cpu_milli < 0 || demand->cpu_milli > DEMAND_MAX ||
        demand->memory_mb < 0 || demand->memory_mb > DEMAND_MAX ||
        demand->accelerators < 0 || demand->accelerators > DEMAND_MAX)
        return cs_error_set(CS_E_INVALID,
                            "step %u: a resource demand is out of range",
                            step_index);
    return 0;
}

static int
check_step(const cs_job_step *step, uint32_t step_index)
{
    if (step->task_count < 1 || step->task_count > CS_JOB_TASKS_MAX)
        return cs_error_set(CS_E_INVALID,
                            "step %u: the number of tasks is not 1 to %d",
                            step_index, CS_JOB_TASKS_MAX);
    if (step->predecessors >> step_index)
        return cs_error_set(CS_E_INVALID,
                            "step %u: depends on a step that is not earlier",
                            step_index);
    if (step->estimate_ms < 0 || step->target_ms < 0)
        return cs_error_set(
            CS_E_INVALID,
            "step %u: the estimate or the latency target is negative",
            step_index);
    return check_demand(&step->demand, step_index);
}

int
cs_job_spec_check(const cs_job_spec *spec)
{
    uint64_t tasks = 0;
    uint32_t i;
    int rc;

    if (!cs_job_id_is_valid(spec->id))
        return cs_error_set(CS_E_INVALID,
                            "the job id is not 16 hexadecimal digits");
    if (!spec->payload || strlen(spec->payload) > CS_JOB_PAYLOAD_MAX_BYTES)
        return cs_error_set(
            CS_E_INVALID, "the job payload is missing or longer than %d bytes",
            CS_JOB_PAYLOAD_MAX_BYTES);
    if (spec->step_count < 1 || spec->step_count > CS_JOB_STEPS_MAX)
        return cs_error_set(CS_E_INVALID, "the number of steps is not 1 to %d",
                            CS_JOB_STEPS_MAX);
    if (spec->repeats > CS_JOB_REPEATS_MAX || spec->interval_ms < 0 ||
        spec->start_ms < 0)
        return cs_error_set(CS_E_INVALID,
                            "invalid repeat count, start time or interval");
    for (i = 0; i < spec->step_count; i++) {
        rc = check_step(&spec->steps[i], i);
        if (rc)
            return rc;
        tasks += spec->steps[i].task_count;
    }
    if (tasks * MAX(spec->repeats, 1) > CS_JOB_TOTAL_TASKS_MAX)
        return cs_error_set(CS_E_INVALID,
                            "the job has more than %d tasks in all",
                            CS_JOB_TOTAL_TASKS_MAX);
    return 0;
}

static int64_t
step_flags(const cs_job_step *step)
{
    return (step->checkpoint ? FLAG_CHECKPOINT : 0) |
           (step->gang ? FLAG_GANG : 0) |
           (step->same_rack ? FLAG_SAME_RACK : 0) |
           (step->speculative ? FLAG_SPECULATIVE : 0) |
           (step->perpetual ? FLAG_PERPETUAL : 0) |
           (step->best_effort ? FLAG_BEST_EFFORT : 0);
}

static void
encode_step(msgpack_packer *packer, const cs_job_step *step)
{
    msgpack_pack_array(packer, STEP_FIELDS);
    msgpack_pack_uint32(packer, step->task_count);
    msgpack_pack_int64(packer, step->demand.cpu_milli);
    msgpack_pack_int64(packer, step->demand.memory_mb);
    msgpack_pack_int64(packer, step->demand.accelerators);
    msgpack_pack_int64(packer, step->estimate_ms);
    /* Readers take signed integers, so the top bit is a field of its own. */
    msgpack_pack_uint64(packer, step->predecessors & INT64_MAX);
    msgpack_pack_uint64(packer, step->predecessors >> 63);
    msgpack_pack_int64(packer, step_flags(step));
    msgpack_pack_uint32(packer, step->max_per_worker);
    msgpack_pack_uint32(packer, step->max_unavailable);
    msgpack_pack_int64(packer, step->target_ms);
    cs_record_pack_text(packer, step->required_label);
    cs_record_pack_text(packer, step->data_rack);
    cs_record_pack_text(packer, step->image);
    /* The last item is reserved; no reader uses it. */
    msgpack_pack_nil(packer);
}

void
cs_job_spec_encode(GByteArray *out, const cs_job_spec *spec)
{
    msgpack_packer packer;
    uint32_t i;

    cs_record_packer_init(&packer, out);
    msgpack_pack_array(&packer, JOB_FIELDS);
    msgpack_pack_int64(&packer, RECORD_VERSION);
    cs_record_pack_text(&packer, spec->id);
    cs_record_pack_text(&packer, spec->queue);
    cs_record_pack_text(&packer, spec->organisation);
    cs_record_pack_text(&packer, spec->payload);
    msgpack_pack_uint32(&packer, spec->repeats);
    msgpack_pack_int64(&packer, spec->start_ms);
    msgpack_pack_int64(&packer, spec->interval_ms);
    msgpack_pack_int64(&packer, spec->accepted_ms);
    msgpack_pack_int64(&packer, spec->cancelled);
    msgpack_pack_array(&packer, spec->step_count);
    for (i = 0; i < spec->step_count; i++)
        encode_step(&packer, &spec->steps[i]);
    cs_record_pack_text(&packer, spec->entry_zone);
    msgpack_pack_int64(&packer, spec->tombstone);
    msgpack_pack_int64(&packer, spec->tombstone_ms);
    msgpack_pack_array(&packer, TERMS_FIELDS);
    msgpack_pack_uint32(&packer, spec->max_attempts);
    msgpack_pack_uint32(&packer, spec->priority);
}

static void
decode_step(cs_job_step *step, const msgpack_object *object, bool *failed)
{
    cs_record_reader reader;
    int64_t flags;

    cs_record_reader_init(&reader, object);
    step->task_count = (uint32_t)cs_record_read_int(&reader);
    step->demand.cpu_milli = cs_record_read_int(&reader);
    step->demand.memory_mb = cs_record_read_int(&reader);
    step->demand.accelerators = cs_record_read_int(&reader);
    step->estimate_ms = cs_record_read_int(&reader);
    step->predecessors = (uint64_t)cs_record_read_int(&reader);
    step->predecessors |= (uint64_t)cs_record_read_int(&reader) << 63;
    flags = cs_record_read_int(&reader);
    step->checkpoint = (flags & FLAG_CHECKPOINT) != 0;
    step->gang = (flags & FLAG_GANG) != 0;
    step->same_rack = (flags & FLAG_SAME_RACK) != 0;
    step->speculative = (flags & FLAG_SPECULATIVE) != 0;
    step->perpetual = (flags & FLAG_PERPETUAL) != 0;
    step->best_effort = (flags & FLAG_BEST_EFFORT) != 0;
    step->max_per_worker = (uint32_t)cs_record_read_int(&reader);
    step->max_unavailable = (uint32_t)cs_record_read_int(&reader);
    step->target_ms = cs_record_read_int(&reader);
    cs_record_read_text(&reader, step->required_label,
                        sizeof(step->required_label));
    cs_record_read_text(&reader, step->data_rack, sizeof(step->data_rack));
    cs_record_read_text(&reader, step->image, sizeof(step->image));
    *failed = *failed || reader.failed;
}

static void
decode_steps(cs_job_spec *spec, cs_record_reader *reader)
{
    const msgpack_object *list = cs_record_read_item(reader);
    uint32_t i;

    if (!list || list->type != MSGPACK_OBJECT_ARRAY ||
        list->via.array.size > CS_JOB_STEPS_MAX) {
        reader->failed = true;
        return;
    }
    spec->step_count = list->via.array.size;
    spec->steps = g_new0(cs_job_step, spec->step_count);
    for (i = 0; i < spec->step_count; i++)
        decode_step(&spec->steps[i], &list->via.array.ptr[i], &reader->failed);
}

static void
decode_terms(cs_job_spec *spec, cs_record_reader *reader)
{
    const msgpack_object *item = cs_record_read_item(reader);
    cs_record_reader terms;

    if (!item)
        return;
    cs_record_reader_init(&terms, item);
    spec->max_attempts = (uint32_t)cs_record_read_int(&terms);
    spec->priority = (uint32_t)cs_record_read_int(&terms);
    reader->failed = reader->failed || terms.failed;
}

static bool
decode_fields(cs_job_spec *spec, cs_record_reader *reader)
{
    if (cs_record_read_int(reader) != RECORD_VERSION)
        return false;
    cs_record_read_text(reader, spec->id, sizeof(spec->id));
    cs_record_read_text(reader, spec->queue, sizeof(spec->queue));
    cs_record_read_text(reader, spec->organisation,
                        sizeof(spec->organisation));
    spec->payload = cs_record_dup_text(reader);
    spec->repeats = (uint32_t)cs_record_read_int(reader);
    spec->start_ms = cs_record_read_int(reader);
    spec->interval_ms = cs_record_read_int(reader);
    spec->accepted_ms = cs_record_read_int(reader);
    spec->cancelled = cs_record_read_int(reader) != 0;
    decode_steps(spec, reader);
    /* Records of older versions end here, */
    if (!reader->failed && reader->next < reader->count)
        cs_record_read_text(reader, spec->entry_zone,
                            sizeof(spec->entry_zone));
    /* or here. */
    if (!reader->failed && reader->next < reader->count) {
        spec->tombstone = cs_record_read_int(reader) != 0;
        spec->tombstone_ms = cs_record_read_int(reader);
    }
    if (!reader->failed && reader->next < reader->count)
        decode_terms(spec, reader);
    return !reader->failed;
}

int
cs_job_spec_decode(cs_job_spec *out, const void *bytes, size_t size_bytes)
{
    cs_packed_record record;
    bool ok;

    cs_job_spec_init(out);
    cs_record_open(&record, bytes, size_bytes);
    ok = decode_fields(out, &record.reader);
    cs_record_close(&record);
    if (ok && cs_job_spec_check(out) == 0)
        return 0;
    cs_job_spec_dispose(out);
    return cs_error_set(CS_E_INVALID, "the row is not a valid job record");
}
