#include "corianderstair/job_progress.h"
#include "corianderstair/errors.h"
#include "corianderstair/record.h"

#include <string.h>

#define RECORD_VERSION 1
#define TASK_FIELDS 8
#define UNSETTLED_FIELDS 7

void
cs_job_part_name(char out[CS_JOB_PART_BYTES], uint32_t number)
{
    g_snprintf(out, CS_JOB_PART_BYTES, "j%x", number);
}

void
cs_job_part(char out[CS_JOB_PART_BYTES], const char *id)
{
    /* The digits of job ids are evenly distributed. */
    uint32_t digit = (uint32_t)g_ascii_xdigit_value(id[strlen(id) - 1]);

    cs_job_part_name(out, digit % CS_JOB_PARTS);
}

static void
clear_task(gpointer data)
{
    cs_task_progress *task = data;

    g_free(task->worker);
    g_free(task->checkpoint_data);
}

static void
clear_unsettled(gpointer data)
{
    cs_unsettled_start *start = data;

    g_free(start->worker);
}

void
cs_job_progress_init(cs_job_progress *progress)
{
    progress->state = CS_PROGRESS_QUEUED;
    progress->ended_ms = 0;
    progress->row_tasks = 0;
    progress->has_begun = false;
    progress->tasks = g_array_new(FALSE, TRUE, sizeof(cs_task_progress));
    g_array_set_clear_func(progress->tasks, clear_task);
    progress->unsettled = g_array_new(FALSE, TRUE, sizeof(cs_unsettled_start));
    g_array_set_clear_func(progress->unsettled, clear_unsettled);
}

void
cs_job_progress_dispose(cs_job_progress *progress)
{
    if (progress->tasks)
        g_array_free(progress->tasks, TRUE);
    if (progress->unsettled)
        g_array_free(progress->unsettled, TRUE);
    progress->tasks = NULL;
    progress->unsettled = NULL;
}

void
cs_job_progress_add(cs_job_progress *progress, const cs_task_progress *task)
{
    cs_task_progress copy = *task;

    copy.worker = g_strdup(task->worker ? task->worker : "");
    copy.checkpoint_data =
        g_strdup(task->checkpoint_data ? task->checkpoint_data : "");
    g_array_append_val(progress->tasks, copy);
}

void
cs_job_progress_add_unsettled(cs_job_progress *progress,
                              const cs_unsettled_start *start)
{
    cs_unsettled_start copy = *start;

    copy.worker = g_strdup(start->worker);
    g_array_append_val(progress->unsettled, copy);
}

bool
cs_progress_is_final(cs_progress_state state)
{
    switch (state) {
    case CS_PROGRESS_QUEUED:
    case CS_PROGRESS_RUNNING:
        return false;
    case CS_PROGRESS_COMPLETED:
    case CS_PROGRESS_FAILED:
    case CS_PROGRESS_CANCELLED:
        return true;
    }
    return false;
}

static void
encode_task(msgpack_packer *packer, const cs_task_progress *task)
{
    msgpack_pack_array(packer, TASK_FIELDS);
    msgpack_pack_uint32(packer, task->occurrence);
    msgpack_pack_uint32(packer, task->step);
    msgpack_pack_uint32(packer, task->index);
    msgpack_pack_uint32(packer, task->run);
    msgpack_pack_uint32(packer, task->failures);
    msgpack_pack_int64(packer, task->done);
    cs_record_pack_text(packer, task->worker);
    cs_record_pack_text(packer, task->checkpoint_data);
}

static void
encode_unsettled(msgpack_packer *packer, const cs_unsettled_start *start)
{
    msgpack_pack_array(packer, UNSETTLED_FIELDS);
    msgpack_pack_uint32(packer, start->occurrence);
    msgpack_pack_uint32(packer, start->step);
    msgpack_pack_uint32(packer, start->index);
    msgpack_pack_uint32(packer, start->run);
    cs_record_pack_text(packer, start->worker);
    msgpack_pack_uint64(packer, start->incarnation_ms);
    msgpack_pack_int64(packer, start->expires_ms);
}

void
cs_job_progress_encode(GByteArray *out, const cs_job_progress *progress)
{
    bool has_options = progress->unsettled->len > 0 || progress->has_begun;
    msgpack_packer packer;
    guint i;

    cs_record_packer_init(&packer, out);
    msgpack_pack_array(&packer, has_options ? 7 : 5);
    msgpack_pack_int64(&packer, RECORD_VERSION);
    msgpack_pack_int64(&packer, progress->state);
    msgpack_pack_int64(&packer, progress->ended_ms);
    msgpack_pack_array(&packer, progress->tasks->len);
    for (i = 0; i < progress->tasks->len; i++)
        encode_task(&packer,
                    &g_array_index(progress->tasks, cs_task_progress, i));
    msgpack_pack_uint32(&packer, progress->row_tasks);
    if (!has_options)
        return;
    msgpack_pack_array(&packer, progress->unsettled->len);
    for (i = 0; i < progress->unsettled->len; i++)
        encode_unsettled(&packer, &g_array_index(progress->unsettled,
                                                 cs_unsettled_start, i));
    msgpack_pack_int64(&packer, progress->has_begun);
}

static void
decode_task(cs_job_progress *out, const msgpack_object *object, bool *failed)
{
    cs_task_progress task = {0};
    cs_record_reader reader;

    cs_record_reader_init(&reader, object);
    task.occurrence = (uint32_t)cs_record_read_int(&reader);
    task.step = (uint32_t)cs_record_read_int(&reader);
    task.index = (uint32_t)cs_record_read_int(&reader);
    task.run = (uint32_t)cs_record_read_int(&reader);
    task.failures = (uint32_t)cs_record_read_int(&reader);
    task.done = cs_record_read_int(&reader) != 0;
    task.worker = cs_record_dup_text(&reader);
    task.checkpoint_data = cs_record_dup_text(&reader);
    g_array_append_val(out->tasks, task);
    *failed = *failed || reader.failed;
}

static void
decode_unsettled(cs_job_progress *out, const msgpack_object *object,
                 bool *failed)
{
    cs_unsettled_start start = {0};
    cs_record_reader reader;

    cs_record_reader_init(&reader, object);
    start.occurrence = (uint32_t)cs_record_read_int(&reader);
    start.step = (uint32_t)cs_record_read_int(&reader);
    start.index = (uint32_t)cs_record_read_int(&reader);
    start.run = (uint32_t)cs_record_read_int(&reader);
    start.worker = cs_record_dup_text(&reader);
    start.incarnation_ms = (uint64_t)cs_record_read_int(&reader);
    start.expires_ms = cs_record_read_int(&reader);
    g_array_append_val(out->unsettled, start);
    *failed = *failed || reader.failed;
}

static bool
decode_fields(cs_job_progress *out, cs_record_reader *reader)
{
    const msgpack_object *list;
    int64_t state;
    uint32_t i;

    if (cs_record_read_int(reader) != RECORD_VERSION)
        return false;
    state = cs_record_read_int(reader);
    if (state < CS_PROGRESS_QUEUED || state > CS_PROGRESS_CANCELLED)
        return false;
    out->state = (cs_progress_state)state;
    out->ended_ms = cs_record_read_int(reader);
    list = cs_record_read_item(reader);
    if (!list || list->type != MSGPACK_OBJECT_ARRAY)
        return false;
    for (i = 0; i < list->via.array.size; i++)
        decode_task(out, &list->via.array.ptr[i], &reader->failed);
    /* Records of older versions end here. */
    if (!reader->failed && reader->next < reader->count)
        out->row_tasks = (uint32_t)cs_record_read_int(reader);
    /* So do those of jobs that have not begun and without unsettled starts. */
    list = !reader->failed && reader->next < reader->count
               ? cs_record_read_item(reader)
               : NULL;
    if (list && list->type != MSGPACK_OBJECT_ARRAY)
        return false;
    for (i = 0; list && i < list->via.array.size; i++)
        decode_unsettled(out, &list->via.array.ptr[i], &reader->failed);
    if (!reader->failed && reader->next < reader->count)
        out->has_begun = cs_record_read_int(reader) != 0;
    return !reader->failed;
}

int
cs_job_progress_decode(cs_job_progress *out, const void *bytes,
                       size_t size_bytes)
{
    cs_packed_record record;
    bool ok;

    cs_job_progress_init(out);
    cs_record_open(&record, bytes, size_bytes);
    ok = decode_fields(out, &record.reader);
    cs_record_close(&record);
    if (ok)
        return 0;
    cs_job_progress_dispose(out);
    return cs_error_set(CS_E_INVALID,
                        "the row is not a valid job progress record");
}
