/*
 * Placement advice: which workers may run the steps of advised queues.
 *
 * One query at a time asks the adviser about the workers that a step would
 * be placed on. Its verdicts are cached: a refusal for the lifetime of the
 * worker's incarnation, a ticket until shortly before it expires.
 */
#include "fleet_internal.h"

/* A ticket must stay valid until a start that is decided now has been recorded
   and sent, which takes less than this. */
#define TICKET_MARGIN_US (400 * CS_MS_US)
/* Limits of the number of workers in a query. The adviser's time to answer
   grows with each of them. */
#define QUERY_WORKERS_MIN 8
#define QUERY_WORKERS_MAX 30
#define RETRY_US (300 * CS_MS_US)
/* Includes the time that a query waits behind those of other processes. */
#define ANSWER_TIMEOUT_US (5 * CS_SEC_US)

/* What the adviser has answered about a worker. */
struct verdict {
    uint64_t incarnation_ms; /* of the worker when it was asked about */
    char ticket[CS_TICKET_BYTES];
    int64_t ticket_end_us;
    bool allowed;
};

/* The advice on a step. */
struct advice {
    GHashTable *verdicts;  /* struct worker to struct verdict */
    int64_t next_query_us; /* no query before */
};

struct advice_query {
    struct call call;
    guint count;
    struct worker *workers[QUERY_WORKERS_MAX];
    uint64_t incarnation_ms[QUERY_WORKERS_MAX];
};

void
advice_free(struct advice *advice)
{
    if (!advice)
        return;
    g_hash_table_destroy(advice->verdicts);
    g_free(advice);
}

static struct advice *
get_advice(struct step *step)
{
    if (!step->advice) {
        step->advice = g_new0(struct advice, 1);
        step->advice->verdicts =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    }
    return step->advice;
}

static const struct verdict *
find_verdict(const struct step *step, const struct worker *worker)
{
    const struct verdict *verdict = NULL;

    if (step->advice)
        verdict = g_hash_table_lookup(step->advice->verdicts, worker);
    return verdict && verdict->incarnation_ms == worker->incarnation_ms
               ? verdict
               : NULL;
}

const char *
advice_ticket(const cs_fleet *fleet, const struct step *step,
              const struct worker *worker)
{
    const struct verdict *verdict = find_verdict(step, worker);

    if (!verdict || !verdict->allowed ||
        fleet_now(fleet).boot_us >= verdict->ticket_end_us)
        return NULL;
    return verdict->ticket;
}

bool *
advice_ticketed_workers(const cs_fleet *fleet, const struct step *step)
{
    bool *allowed = g_new0(bool, fleet->worker_list->len + 1);
    int64_t min_end_us = fleet_now(fleet).boot_us + TICKET_MARGIN_US;
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct verdict *verdict =
            find_verdict(step, g_ptr_array_index(fleet->worker_list, i));

        allowed[i] =
            verdict && verdict->allowed && verdict->ticket_end_us > min_end_us;
    }
    return allowed;
}

bool *
advice_eligible_workers(const cs_fleet *fleet, const struct step *step)
{
    bool *possible = g_new0(bool, fleet->worker_list->len + 1);
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct verdict *verdict =
            find_verdict(step, g_ptr_array_index(fleet->worker_list, i));

        possible[i] = !verdict || verdict->allowed;
    }
    return possible;
}

void
advice_discard_ticket(struct step *step, struct worker *worker)
{
    if (step->advice)
        g_hash_table_remove(step->advice->verdicts, worker);
}

/*
 * Returns the priority of asking about a worker: 2 if it was allowed and its
 * ticket expires, 1 if there is no verdict on it, 0 if the verdict holds.
 */
static int
asking_priority(const struct step *step, const struct worker *worker,
                int64_t min_end_us)
{
    const struct verdict *verdict = find_verdict(step, worker);

    if (!verdict)
        return 1;
    return verdict->allowed && verdict->ticket_end_us <= min_end_us ? 2 : 0;
}

static struct step *
find_step(cs_fleet *fleet, const char *name)
{
    char first_task_name[TASK_NAME_BYTES];
    struct task *task;

    g_snprintf(first_task_name, sizeof(first_task_name), "%s.0", name);
    task = job_find_task(fleet, first_task_name);
    return task ? task->step : NULL;
}

static void
store_answer(cs_fleet *fleet, struct step *step,
             const struct advice_query *query, const cs_advice *advice)
{
    int64_t ticket_end_us =
        fleet_now(fleet).boot_us + advice->valid_ms * CS_MS_US;
    guint i;
    size_t k;

    for (i = 0; i < query->count; i++) {
        struct verdict *verdict = g_new0(struct verdict, 1);

        verdict->incarnation_ms = query->incarnation_ms[i];
        for (k = 0; k < advice->allowed_count; k++) {
            if (strcmp(advice->allowed[k].worker, query->workers[i]->id) != 0)
                continue;
            verdict->allowed = true;
            verdict->ticket_end_us = ticket_end_us;
            g_strlcpy(verdict->ticket, advice->allowed[k].ticket,
                      sizeof(verdict->ticket));
        }
        g_hash_table_replace(get_advice(step)->verdicts, query->workers[i],
                             verdict);
    }
}

static void
on_advice(void *user_data, const cs_advice *advice)
{
    struct advice_query *query = user_data;
    cs_fleet *fleet = query->call.fleet;
    struct step *step;

    if (!call_is_stale(&query->call)) {
        fleet->advice_pending = false;
        step = find_step(fleet, query->call.task);
        cs_log_event(
            "advice",
            "step %s: asked about %u workers, %u allowed, %s, %" PRId64 " ms",
            query->call.task, query->count, (unsigned)advice->allowed_count,
            cs_error_name(advice->code),
            (fleet_now(fleet).boot_us - query->call.sent_us) / CS_MS_US);
        if (step && advice->code == 0)
            store_answer(fleet, step, query, advice);
        else if (step)
            get_advice(step)->next_query_us =
                fleet_now(fleet).boot_us + RETRY_US;
        fleet->cycle_requested = true;
    }
    g_free(query);
}

/*
 * Chooses the workers of a query: those whose ticket expires or, without
 * any, those on which there is no verdict.
 */
static void
choose_workers(cs_fleet *fleet, struct step *step, const uint32_t *ranked,
               uint32_t count, struct advice_query *query)
{
    int64_t min_end_us = fleet_now(fleet).boot_us + TICKET_MARGIN_US;
    guint max_workers =
        CLAMP(step->waiting_count * 2, QUERY_WORKERS_MIN, QUERY_WORKERS_MAX);
    int priority;
    uint32_t i;

    for (priority = 2; priority > 0 && query->count == 0; priority--) {
        for (i = 0; i < count && query->count < max_workers; i++) {
            struct worker *worker =
                g_ptr_array_index(fleet->worker_list, ranked[i]);

            if (asking_priority(step, worker, min_end_us) != priority)
                continue;
            query->incarnation_ms[query->count] = worker->incarnation_ms;
            query->workers[query->count++] = worker;
        }
    }
}

void
advice_ask(cs_fleet *fleet, struct step *step, const uint32_t *ranked,
           uint32_t count)
{
    const cs_adviser_port *adviser = fleet->state->ports.adviser;
    int64_t now_us = fleet_now(fleet).boot_us;
    struct advice_query *query;
    const char *ids[QUERY_WORKERS_MAX];
    guint i;

    if (!adviser || fleet->advice_pending ||
        now_us < get_advice(step)->next_query_us)
        return;
    query = g_new0(struct advice_query, 1);
    choose_workers(fleet, step, ranked, count, query);
    if (query->count == 0) {
        g_free(query);
        return;
    }
    for (i = 0; i < query->count; i++)
        ids[i] = query->workers[i]->id;
    call_init(&query->call, fleet, NULL);
    g_snprintf(query->call.task, TASK_NAME_BYTES, "%s.%u.%u",
               step->job->spec.id, step->occurrence, step->number);
    fleet->advice_pending = true;
    fleet_increment_counter(fleet, "cs_advice_asked_total");
    adviser->ask(adviser->self, query->call.task, ids, query->count,
                 now_us + ANSWER_TIMEOUT_US, on_advice, query);
}
