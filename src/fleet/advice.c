/*
 * Which workers may run the steps of advised queues. The adviser is asked one
 * question at a time, about the workers that a step would take, and its
 * answers are kept: a refusal as long as the worker's incarnation lasts, a
 * ticket until shortly before it ends.
 */
#include "fleet_internal.h"

/* A start is recorded and sent within this time of its decision. */
#define TICKET_MARGIN_US (400 * CS_MS_US)
/* Workers named in a question: each takes the adviser some time. */
#define WORKERS_MIN 8
#define WORKERS_MAX 30
#define AGAIN_US (300 * CS_MS_US)
/* A question waits in turn behind those of other processes. */
#define ANSWER_US (5 * CS_SEC_US)

struct permit {
    uint64_t born_ms; /* of the incarnation that was asked about */
    char ticket[CS_TICKET_BYTES];
    int64_t until_us; /* boot clock; of the ticket */
    bool good;
};

struct advice {
    GHashTable *permits; /* struct worker to struct permit */
    int64_t next_us;     /* boot clock; no question before */
};

struct advice_question {
    struct call call;
    guint count;
    struct worker *workers[WORKERS_MAX];
    uint64_t born_ms[WORKERS_MAX];
};

void
advice_free(struct advice *advice)
{
    if (!advice)
        return;
    g_hash_table_destroy(advice->permits);
    g_free(advice);
}

static struct advice *
advice_of(struct step *step)
{
    if (!step->advice) {
        step->advice = g_new0(struct advice, 1);
        step->advice->permits =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    }
    return step->advice;
}

static const struct permit *
find_permit(const struct step *step, const struct worker *worker)
{
    const struct permit *permit = NULL;

    if (step->advice)
        permit = g_hash_table_lookup(step->advice->permits, worker);
    return permit && permit->born_ms == worker->born_ms ? permit : NULL;
}

const char *
advice_ticket(const cs_fleet *fleet, const struct step *step,
              const struct worker *worker)
{
    const struct permit *permit = find_permit(step, worker);

    if (!permit || !permit->good ||
        fleet_now(fleet).boot_us >= permit->until_us)
        return NULL;
    return permit->ticket;
}

bool *
advice_allowed(const cs_fleet *fleet, const struct step *step)
{
    bool *allowed = g_new0(bool, fleet->worker_list->len + 1);
    int64_t latest_us = fleet_now(fleet).boot_us + TICKET_MARGIN_US;
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct permit *permit =
            find_permit(step, g_ptr_array_index(fleet->worker_list, i));

        allowed[i] = permit && permit->good && permit->until_us > latest_us;
    }
    return allowed;
}

bool *
advice_possible(const cs_fleet *fleet, const struct step *step)
{
    bool *possible = g_new0(bool, fleet->worker_list->len + 1);
    guint i;

    for (i = 0; i < fleet->worker_list->len; i++) {
        const struct permit *permit =
            find_permit(step, g_ptr_array_index(fleet->worker_list, i));

        possible[i] = !permit || permit->good;
    }
    return possible;
}

void
advice_drop(struct step *step, struct worker *worker)
{
    if (step->advice)
        g_hash_table_remove(step->advice->permits, worker);
}

/* Whether asking about a worker may tell something new: 2 where it was good
   before, 1 where it is not known. */
static int
worth_asking(const struct step *step, const struct worker *worker,
             int64_t latest_us)
{
    const struct permit *permit = find_permit(step, worker);

    if (!permit)
        return 1;
    return permit->good && permit->until_us <= latest_us ? 2 : 0;
}

static struct step *
find_step(cs_fleet *fleet, const char *name)
{
    char first[TASK_NAME_BYTES];
    struct task *task;

    g_snprintf(first, sizeof(first), "%s.0", name);
    task = job_find_task(fleet, first);
    return task ? task->step : NULL;
}

static void
note_advice(cs_fleet *fleet, struct step *step,
            const struct advice_question *question, const cs_advice *advice)
{
    int64_t until_us = fleet_now(fleet).boot_us + advice->valid_ms * CS_MS_US;
    guint i;
    size_t k;

    for (i = 0; i < question->count; i++) {
        struct permit *permit = g_new0(struct permit, 1);

        permit->born_ms = question->born_ms[i];
        for (k = 0; k < advice->good_count; k++) {
            if (strcmp(advice->good[k].worker, question->workers[i]->id) != 0)
                continue;
            permit->good = true;
            permit->until_us = until_us;
            g_strlcpy(permit->ticket, advice->good[k].ticket,
                      sizeof(permit->ticket));
        }
        g_hash_table_replace(advice_of(step)->permits, question->workers[i],
                             permit);
    }
}

static void
on_advice(void *data, const cs_advice *advice)
{
    struct advice_question *question = data;
    cs_fleet *fleet = question->call.fleet;
    struct step *step;

    if (!call_is_stale(&question->call)) {
        fleet->advice_open = false;
        step = find_step(fleet, question->call.task);
        cs_log_event(
            "advice", "step %s: %u workers asked, %u good, %s, %" PRId64 " ms",
            question->call.task, question->count, (unsigned)advice->good_count,
            cs_error_name(advice->code),
            (fleet_now(fleet).boot_us - question->call.sent_us) / CS_MS_US);
        if (step && advice->code == 0)
            note_advice(fleet, step, question, advice);
        else if (step)
            advice_of(step)->next_us = fleet_now(fleet).boot_us + AGAIN_US;
        fleet->turn_wanted = true;
    }
    g_free(question);
}

/* Names workers for a question: those that were good before, else new ones. */
static void
choose_workers(cs_fleet *fleet, struct step *step, const uint32_t *ranked,
               uint32_t count, struct advice_question *question)
{
    int64_t latest_us = fleet_now(fleet).boot_us + TICKET_MARGIN_US;
    guint most = CLAMP(step->waiting * 2, WORKERS_MIN, WORKERS_MAX);
    int wanted;
    uint32_t i;

    for (wanted = 2; wanted > 0 && question->count == 0; wanted--) {
        for (i = 0; i < count && question->count < most; i++) {
            struct worker *worker =
                g_ptr_array_index(fleet->worker_list, ranked[i]);

            if (worth_asking(step, worker, latest_us) != wanted)
                continue;
            question->born_ms[question->count] = worker->born_ms;
            question->workers[question->count++] = worker;
        }
    }
}

void
advice_ask(cs_fleet *fleet, struct step *step, const uint32_t *ranked,
           uint32_t count)
{
    const cs_adviser_port *adviser = fleet->board->ports.adviser;
    int64_t now_us = fleet_now(fleet).boot_us;
    struct advice_question *question;
    const char *ids[WORKERS_MAX];
    guint i;

    if (!adviser || fleet->advice_open || now_us < advice_of(step)->next_us)
        return;
    question = g_new0(struct advice_question, 1);
    choose_workers(fleet, step, ranked, count, question);
    if (question->count == 0) {
        g_free(question);
        return;
    }
    for (i = 0; i < question->count; i++)
        ids[i] = question->workers[i]->id;
    call_init(&question->call, fleet, NULL);
    g_snprintf(question->call.task, TASK_NAME_BYTES, "%s.%u.%u",
               step->job->spec.id, step->occurrence, step->number);
    fleet->advice_open = true;
    fleet_count(fleet, "cs_advice_asked_total");
    adviser->ask(adviser->self, question->call.task, ids, question->count,
                 now_us + ANSWER_US, on_advice, question);
}
