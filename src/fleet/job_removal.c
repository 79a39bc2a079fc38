/*
 * The removal of ended jobs. The job row is removed before the progress rows,
 * because a job without progress would run again. One change cannot remove
 * both, as all rows of a change share a part of the store.
 *
 * Once the row is gone the id may be used again, before the holder knows and
 * before the progress is removed. Such a row is another job, or a tombstone,
 * and is never removed in the place of the ended one. The time of acceptance
 * tells jobs of one id apart; a cancel rewrites the row and leaves it.
 */
#include "fleet_internal.h"

/* A job that was accepted after the ended one of the same id was removed. It
   waits until that one's progress is removed, too. */
struct newer_job {
    cs_job_spec spec;
    uint64_t row_version;
};

void
newer_job_free(struct newer_job *newer)
{
    if (!newer)
        return;
    cs_job_spec_dispose(&newer->spec);
    g_free(newer);
}

static bool
is_expired(const cs_fleet *fleet, const struct job *job)
{
    int64_t now_ms = fleet_now(fleet).wall_us / CS_MS_US;

    /* A job whose id was accepted again is no longer asked for. */
    return (job->newer || now_ms - job->ended_ms >=
                              cs_fleet_state_retention_ms(fleet->state)) &&
           job->active_tasks == 0 && progress_is_recorded(job);
}

void
job_queue_expired(cs_fleet *fleet)
{
    while (fleet->final_jobs->len > 0) {
        struct job *job = g_ptr_array_index(fleet->final_jobs, 0);

        if (!is_expired(fleet, job))
            return;
        g_ptr_array_remove_index(fleet->final_jobs, 0);
        g_queue_push_tail(&fleet->expired_jobs, job);
    }
}

bool
job_is_of_row(const struct job *job, const cs_job_spec *spec)
{
    return !spec->tombstone && spec->accepted_ms == job->spec.accepted_ms;
}

void
job_note_newer(cs_fleet *fleet, struct job *job, cs_job_spec *spec,
               uint64_t row_version)
{
    uint64_t known = job->newer ? job->newer->row_version : job->row_version;

    if (row_version <= known) {
        cs_job_spec_dispose(spec);
        return;
    }
    if (!job->newer)
        cs_log_event("job-id-reused",
                     "job %s, accepted again %" PRId64
                     " ms after it has ended, row version %" PRIu64,
                     job->spec.id, spec->accepted_ms - job->ended_ms,
                     row_version);
    newer_job_free(job->newer);
    job->newer = g_new0(struct newer_job, 1);
    job->newer->spec = *spec;
    job->newer->row_version = row_version;
    /* The others are in the order of their ends. */
    if (g_ptr_array_remove(fleet->final_jobs, job))
        g_ptr_array_insert(fleet->final_jobs, 0, job);
}

void
job_remove(cs_fleet *fleet, struct job *job)
{
    struct newer_job *newer = job->newer;
    struct job *added;
    bool cancelled;

    job->newer = NULL;
    g_hash_table_remove(fleet->jobs, job->spec.id);
    if (!newer)
        return;
    cancelled = newer->spec.cancelled;
    newer->spec.cancelled = false;
    added = job_add(fleet, &newer->spec);
    added->row_version = newer->row_version;
    g_free(newer);
    if (cancelled)
        job_cancel(fleet, added);
    fleet->cycle_requested = true;
}

/* Takes the first expired job off the queue, as its row is gone. */
static void
note_row_removed(cs_fleet *fleet, uint64_t version)
{
    struct job *job = g_queue_pop_head(&fleet->expired_jobs);

    cs_log_event("job-removed",
                 "job %s, ended %" PRId64 " ms ago, store at version %" PRIu64,
                 job->spec.id,
                 fleet_now(fleet).wall_us / CS_MS_US - job->ended_ms, version);
    g_queue_push_tail(&fleet->expired_progress, job);
}

/* Handles a removal that has found the row at another version. */
static void
handle_conflict(cs_fleet *fleet, struct job *job,
                const cs_store_answer *answer)
{
    const cs_row *row = answer->row_count > 0 ? &answer->rows[0] : NULL;
    cs_job_spec spec;
    bool is_own;

    if (!row || row->deleted || row->version == 0) {
        note_row_removed(fleet, answer->version);
        return;
    }
    if (cs_job_spec_decode(&spec, row->value, row->size_bytes)) {
        /* Neither the row nor the progress is surely that of an ended job. */
        cs_log_event("removal-dropped", "job %s: its row cannot be read",
                     job->spec.id);
        g_queue_pop_head(&fleet->expired_jobs);
        return;
    }
    is_own = job_is_of_row(job, &spec);
    cs_job_spec_dispose(&spec);
    /* A caller may have cancelled the ended job, which rewrites its row. */
    if (is_own)
        job->row_version = row->version;
    else
        note_row_removed(fleet, answer->version);
}

static void
on_row_removed(void *user_data, const cs_store_answer *answer)
{
    struct call *call = user_data;
    cs_fleet *fleet = call->fleet;
    bool stale = call_is_stale(call);

    g_free(call);
    if (stale)
        return;
    fleet->job_removal_pending = false;
    if (answer->code == 0)
        note_row_removed(fleet, answer->version);
    else if (answer->code == CS_E_CONFLICT)
        handle_conflict(fleet, g_queue_peek_head(&fleet->expired_jobs),
                        answer);
}

void
job_remove_expired(cs_fleet *fleet)
{
    const cs_store_port *store = fleet->state->ports.store;
    const struct job *job = g_queue_peek_head(&fleet->expired_jobs);
    char part[CS_JOB_PART_BYTES];
    cs_row row = {.table = CS_TABLE_JOBS, .part = part};
    /* An attempt that is carried out late must not remove a newer row. */
    cs_row_change change = {.conditions = &row,
                            .condition_count = 1,
                            .removals = &row,
                            .removal_count = 1};

    if (!job || fleet->job_removal_pending)
        return;
    if (job->newer) {
        note_row_removed(fleet, job->newer->row_version);
        return;
    }
    fleet->job_removal_pending = true;
    row.key = job->spec.id;
    row.version = job->row_version;
    cs_job_part(part, job->spec.id);
    store->change(store->self, &change,
                  fleet_now(fleet).boot_us + STORE_TIMEOUT_US, on_row_removed,
                  call_create(fleet, NULL));
}
