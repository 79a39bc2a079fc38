/*
 * Judges a session by the workers' and the table's own records, not by what
 * the processes believe.
 */
#include "fake_world_internal.h"
#include "corianderstair/errors.h"
#include "corianderstair/job_status.h"
#include "corianderstair/store.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Half of a gang may run until its leases end, and a little longer. */
#define PARTIAL_MAX_US (WORLD_WORKER_LEASE_MS * CS_MS_US + CS_SEC_US)
/* Grace, one turn, and the calls of a start. */
#define CLAIM_MAX_US (WORLD_GRACE_MS * CS_MS_US + CS_SEC_US)
/* After a fault: a lease of the cell and one of the workers, an outage or a
   pause, the time to replace a process, and as much again for a second. */
#define CLAIM_FAULT_MAX_US (2 * 20 * CS_SEC_US)

static void fail(struct world *w, world_promise promise, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void
fail(struct world *w, world_promise promise, const char *fmt, ...)
{
    va_list ap;

    if (w->result.broken[promise])
        return;
    w->result.broken[promise] = true;
    va_start(ap, fmt);
    g_vsnprintf(w->result.why[promise], sizeof(w->result.why[0]), fmt, ap);
    va_end(ap);
}

/* Everything that happened to one attempt of a job. */
struct attempt {
    char token[48];
    uint32_t started;
    uint32_t done; /* ended with success */
    int64_t first_us;
    int64_t last_us; /* of the last end */
    uint32_t running;
    int64_t since_us;
    int64_t partial_us;
};

struct job_view {
    const char *name;
    uint32_t members;
    GArray *attempts;
    GArray *events; /* of fake_worker_event, by time */
};

static gint
compare_events(gconstpointer a, gconstpointer b)
{
    const fake_worker_event *x = a;
    const fake_worker_event *y = b;

    return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

static struct attempt *
find_attempt(struct job_view *view, const char *token)
{
    struct attempt fresh = {0};
    guint i;

    for (i = 0; i < view->attempts->len; i++) {
        struct attempt *a = &g_array_index(view->attempts, struct attempt, i);

        if (strcmp(a->token, token) == 0)
            return a;
    }
    g_strlcpy(fresh.token, token, sizeof(fresh.token));
    g_array_append_val(view->attempts, fresh);
    return &g_array_index(view->attempts, struct attempt,
                          view->attempts->len - 1);
}

static void
add_event(struct job_view *view, const fake_worker_event *event)
{
    struct attempt *a = find_attempt(view, event->token);

    if (a->running > 0 && a->running < view->members)
        a->partial_us += event->at_us - a->since_us;
    a->since_us = event->at_us;
    a->last_us = event->at_us;
    if (event->what == FAKE_STARTED) {
        if (a->started++ == 0)
            a->first_us = event->at_us;
        a->running++;
        return;
    }
    a->running--;
    if (event->exit_code == 0)
        a->done++;
}

static struct job_view
view_job(struct world *w, const char *name, uint32_t members)
{
    struct job_view view = {
        name, members, g_array_new(FALSE, TRUE, sizeof(struct attempt)),
        g_array_new(FALSE, TRUE, sizeof(fake_worker_event))};
    uint32_t i;
    guint k;

    for (i = 0; i < WORLD_WORKERS; i++) {
        uint32_t count;
        const fake_worker_event *events =
            fake_worker_record(w->workers[i], &count);
        uint32_t j;

        for (j = 0; j < count; j++) {
            if (strcmp(events[j].job, name) == 0)
                g_array_append_val(view.events, events[j]);
        }
    }
    g_array_sort(view.events, compare_events);
    for (k = 0; k < view.events->len; k++)
        add_event(&view, &g_array_index(view.events, fake_worker_event, k));
    for (k = 0; k < view.attempts->len; k++) {
        struct attempt *a = &g_array_index(view.attempts, struct attempt, k);

        if (a->running > 0 && a->running < members)
            a->partial_us += w->now.boot_us - a->since_us;
        if (a->running > 0)
            a->last_us = INT64_MAX;
    }
    return view;
}

static void
view_dispose(struct job_view *view)
{
    g_array_free(view->attempts, TRUE);
    g_array_free(view->events, TRUE);
}

static void
check_whole(struct world *w, const struct job_view *view)
{
    guint i;

    for (i = 0; i < view->attempts->len; i++) {
        const struct attempt *a =
            &g_array_index(view->attempts, struct attempt, i);

        w->result.partial_us = MAX(w->result.partial_us, a->partial_us);
        if (a->partial_us > PARTIAL_MAX_US)
            fail(w, WORLD_WHOLE_GANG,
                 "%s attempt %s ran in part for %" PRId64 " ms", view->name,
                 a->token, a->partial_us / CS_MS_US);
    }
}

static void
check_once(struct world *w, const struct job_view *view, bool restartable)
{
    uint32_t started = 0;
    guint i;
    guint k;

    for (i = 0; i < view->attempts->len; i++) {
        const struct attempt *a =
            &g_array_index(view->attempts, struct attempt, i);

        started += a->started > 0;
        if (a->started > view->members)
            fail(w, WORLD_ONCE, "%s attempt %s started %u tasks of %u",
                 view->name, a->token, a->started, view->members);
        for (k = 0; k < i; k++) {
            const struct attempt *b =
                &g_array_index(view->attempts, struct attempt, k);

            if (a->first_us < b->last_us && b->first_us < a->last_us)
                fail(w, WORLD_ONCE, "%s ran as %s and %s at once", view->name,
                     a->token, b->token);
        }
    }
    if (!restartable && started > 1)
        fail(w, WORLD_ONCE, "%s was started by %u attempts", view->name,
             started);
}

static bool
any_whole(const struct job_view *view)
{
    guint i;

    for (i = 0; i < view->attempts->len; i++) {
        if (g_array_index(view->attempts, struct attempt, i).done ==
            view->members)
            return true;
    }
    return false;
}

static bool
says_never_started(const cs_job_status *status)
{
    uint32_t i;

    for (i = 0; i < status->condition_count; i++) {
        if (strcmp(status->conditions[i].message, "it never started") == 0)
            return true;
    }
    return false;
}

static void
check_truth(struct world *w, const struct job_view *view,
            const cs_job_status *status)
{
    bool whole = any_whole(view);

    if (status->state == CS_JOB_SUCCEEDED && !whole)
        fail(w, WORLD_TRUTH, "%s is succeeded and no attempt was done",
             view->name);
    if (status->state == CS_JOB_FAILED && whole)
        fail(w, WORLD_TRUTH, "%s is failed and an attempt was done",
             view->name);
    if (says_never_started(status) && view->attempts->len > 0)
        fail(w, WORLD_TRUTH, "%s is said not to have started and did",
             view->name);
    if (status->state == CS_JOB_NEVER && view->attempts->len > 0)
        fail(w, WORLD_TRUTH, "%s is said to be impossible and ran",
             view->name);
}

static void
check_claim(struct world *w, const struct job_view *view, int64_t submitted_us)
{
    bool sound = w->options.strikes[0].call == 0;
    int64_t limit_us = sound ? CLAIM_MAX_US : CLAIM_FAULT_MAX_US;
    int64_t first_us = INT64_MAX;
    guint i;

    for (i = 0; i < view->attempts->len; i++)
        first_us =
            MIN(first_us,
                g_array_index(view->attempts, struct attempt, i).first_us);
    if (first_us == INT64_MAX || first_us - submitted_us > limit_us)
        fail(w, WORLD_GUARANTEE, "%s was not placed within %" PRId64 " ms",
             view->name, limit_us / CS_MS_US);
    else
        w->result.claim_us = MAX(w->result.claim_us, first_us - submitted_us);
}

struct rows {
    struct world *w;
    bool all_final;
    uint32_t jobs;
};

static int64_t
submitted_us(const struct world *w, const cs_job_status *status)
{
    return status->submitted_us - w->now.wall_us + w->now.boot_us;
}

static void
check_job(void *data, const char *key, const json_t *row)
{
    struct rows *rows = data;
    struct world *w = rows->w;
    cs_resource resource;
    cs_job_status status;
    struct job_view view;
    const cs_job *job = &resource.u.job;

    if (cs_resource_read(&resource, CS_KIND_JOB,
                         json_object_get(row, "doc")) ||
        cs_job_status_read(&status, json_object_get(row, "status")))
        return;
    view = view_job(w, job->name, (uint32_t)(job->accelerators + 7) / 8);
    check_whole(w, &view);
    check_once(w, &view, job->restartable || job->checkpoint);
    check_truth(w, &view, &status);
    if (job->tier == CS_TIER_GUARANTEED)
        check_claim(w, &view,
                    strcmp(job->name, "claim") == 0
                        ? w->claim_us
                        : submitted_us(w, &status));
    if (!cs_job_state_is_final(status.state))
        fail(w, WORLD_COMPLETE, "%s is still %s", job->name,
             cs_job_state_name(status.state));
    view_dispose(&view);
    cs_job_status_clear(&status);
}

static void
note_state(void *data, const char *key, const json_t *row)
{
    struct rows *rows = data;
    cs_job_status status;

    rows->jobs++;
    if (cs_job_status_read(&status, json_object_get(row, "status"))) {
        rows->all_final = false;
        return;
    }
    rows->all_final &= cs_job_state_is_final(status.state);
    cs_job_status_clear(&status);
}

bool
world_all_final(const struct world *w)
{
    struct rows rows = {NULL, true, 0};
    const struct told *last = g_ptr_array_index(w->told, w->told->len - 1);

    if (!last->answered || last->code)
        return false;
    fake_table_each(w->table, "r/zone/jobs/", note_state, &rows);
    return rows.all_final;
}

static void
check_told(struct world *w, const struct told *told)
{
    char key[CS_STORE_KEY_BYTES];
    const json_t *row;
    const char *name;

    if (!told->answered || told->code)
        return;
    cs_store_key_change(key, told->scope, told->version);
    row = fake_table_get(w->table, key);
    name = json_string_value(json_object_get(row, "name"));
    if (g_strcmp0(name, told->name) != 0)
        fail(w, WORLD_DURABLE, "change %s of %s was acknowledged and is %s",
             key, told->name, name ? name : "absent");
}

static void
check_script(struct world *w)
{
    guint i;
    uint32_t n;

    for (i = 0; i < w->told->len; i++)
        check_told(w, g_ptr_array_index(w->told, i));
    for (n = 0; n < WORLD_NODES; n++) {
        if (w->nodes[n].went_back)
            fail(w, WORLD_FORWARD, "process %u applied an older version", n);
    }
}

static void
add_digest(void *data, const char *key, const json_t *value)
{
    uint64_t *digest = data;
    char *text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);

    *digest = *digest * 1099511628211U + g_str_hash(key);
    *digest = *digest * 1099511628211U + g_str_hash(text);
    free(text);
}

/* The audit trail, a line for each change. */
static void
trace_row(void *data, const char *key, const json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);

    g_string_append_printf(data, "%s %s\n", key, text);
    free(text);
}

void
world_check(struct world *w)
{
    struct rows rows = {w, true, 0};

    if (w->options.trace)
        fake_table_each(w->table, "c/", trace_row, w->options.trace);
    check_script(w);
    fake_table_each(w->table, "r/zone/jobs/", check_job, &rows);
    if (w->now.boot_us >= WORLD_END_US)
        fail(w, WORLD_COMPLETE, "the session did not end");
    fake_table_each(w->table, "", add_digest, &w->result.digest);
}
