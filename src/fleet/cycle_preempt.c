/*
 * Preemption: stops work of lower priority for a step if the step gains more
 * than the work loses (cs_preempt), and reserves for it the capacity that this
 * frees.
 */
#include "cycle_internal.h"

#include <math.h>

/* Bounds of a cycle's work. Of the work that may be stopped at all, the tasks
   beyond the first are no victims. */
#define MAX_VICTIMS 4096
#define MAX_WAIT_ESTIMATES 8
#define MAX_VICTIM_SEARCHES 4
/* Guaranteed claims have searches of their own, so that neither other claims
   nor guaranteed ones that no stop helps use up theirs. */
#define MAX_GUARANTEED_SEARCHES 16
/* A search that has stopped nothing is repeated no sooner, so that further
   steps get theirs. Ends of short work change the result within this time. */
#define SEARCH_INTERVAL_US (200 * CS_MS_US)

/* A running task, or a gang: what is stopped together. */
struct running_group {
    cs_preempt_victim victim;
    const struct step *step;
    int64_t started_us;
    double work; /* core-seconds that a stop would lose by task_stop_loss() */
    uint32_t priority;
    bool stoppable; /* it is of no ended job, and its step states no bound of
                       unavailable tasks */
};

struct running_task {
    struct task *task;
    uint32_t worker;
    uint32_t group; /* index in groups */
};

/* The running work as a cycle knows it. */
struct running_work {
    GArray *groups;    /* of struct running_group */
    GArray *tasks;     /* of struct running_task; those that may be stopped */
    GArray *ends;      /* of cs_preempt_end, sorted by end_s */
    GHashTable *gangs; /* struct step to its group + 1 */
    GArray *claimed;   /* of cs_preempt_claimed */
    bool collected;
    uint32_t estimates;
    uint32_t searches;
    uint32_t guaranteed_searches; /* with their estimates */
};

static cs_preempt_costs
stop_costs(const cs_fleet *fleet)
{
    const cs_vm_bounds *bounds = &fleet->state->settings.bounds;
    cs_preempt_costs costs = {.stop_s = (double)bounds->stop_ms / 1000.0,
                              .restore_s =
                                  (double)bounds->restore_ms / 1000.0};

    return costs;
}

static double
seconds_between(int64_t from_us, int64_t to_us)
{
    return (double)(to_us - from_us) / (double)CS_SEC_US;
}

/* Adds a task to its group, which ends with its slowest member. */
static void
add_to_group(const struct cycle *cycle, struct running_group *group,
             const struct task *task)
{
    int64_t now_us = cycle->now.boot_us;
    cs_preempt_victim *victim = &group->victim;
    cs_preempt_progress progress = {.percent = task->progress_percent,
                                    .resumed = task->partial};
    double done_s;

    if (!task->worker)
        return;
    progress.expected_run_s = cycle_expected_run_s(cycle->fleet, task->step) /
                              exp(task->worker->speed.log_speed);
    if (task->started_us) {
        progress.run_s = seconds_between(task->started_us, now_us);
        progress.sampled_run_s = MAX(
            seconds_between(task->started_us, task->worker->last_answer_us),
            0);
    }
    /* An adopted run has worked before its adoption. */
    done_s = progress.run_s;
    if (task->partial)
        done_s = MAX(done_s, progress.expected_run_s *
                                 (double)task->progress_percent / 100.0);
    victim->cores += task_cores(task);
    victim->run_s = MAX(victim->run_s, done_s);
    victim->expected_run_s =
        MAX(victim->expected_run_s, progress.expected_run_s);
    victim->remaining_s =
        MAX(victim->remaining_s,
            task->state == TASK_STOPPING
                ? MAX(stop_costs(cycle->fleet).stop_s -
                          seconds_between(task->stop_sent_us, now_us),
                      0)
                : cs_preempt_remaining_s(&progress));
    victim->restarts = MAX(victim->restarts, task->run - 1);
    group->started_us = MAX(group->started_us, task->started_us);
    group->work += task_stop_loss(cycle->fleet, task, now_us);
}

static double
seconds_to(const struct cycle *cycle, int64_t wall_ms)
{
    int64_t now_ms = cycle->now.wall_us / CS_MS_US;

    return (double)(wall_ms - now_ms) / 1000.0;
}

static uint32_t
add_group(struct cycle *cycle, const struct task *task)
{
    const struct step *step = task->step;
    const cs_queue_config *queue = job_queue(cycle->fleet, step->job);
    struct running_group group = {
        .step = step,
        .priority = step->job->priority,
        .stoppable = queue && step->spec->max_unavailable == 0 &&
                     !job_is_final(step->job),
        .victim.checkpoint = step->spec->checkpoint};
    uint32_t i;

    if (queue) {
        int64_t objective_ms =
            cycle_objective_ms(cycle->fleet, step->job, queue);

        group.victim.objective_s = seconds_to(cycle, objective_ms);
        group.victim.counted_until_s =
            seconds_to(cycle, cycle_counted_until_ms(step->job, objective_ms));
    }
    for (i = 0; step->spec->gang && i < step->spec->task_count; i++)
        add_to_group(cycle, &group, &step->tasks[i]);
    if (!step->spec->gang)
        add_to_group(cycle, &group, task);
    g_array_append_val(cycle->running->groups, group);
    return cycle->running->groups->len - 1;
}

/* Returns the index of the task's group. */
static uint32_t
group_of(struct cycle *cycle, const struct task *task)
{
    GHashTable *gangs = cycle->running->gangs;
    guint number;

    if (!task->step->spec->gang)
        return add_group(cycle, task);
    number = GPOINTER_TO_UINT(g_hash_table_lookup(gangs, task->step));
    if (number == 0) {
        number = add_group(cycle, task) + 1;
        g_hash_table_insert(gangs, task->step, GUINT_TO_POINTER(number));
    }
    return number - 1;
}

static gint
compare_ends(gconstpointer a, gconstpointer b)
{
    const cs_preempt_end *first = a;
    const cs_preempt_end *second = b;

    if (first->end_s != second->end_s)
        return first->end_s < second->end_s ? -1 : 1;
    return first->worker < second->worker ? -1
                                          : first->worker > second->worker;
}

static void
collect_running_work(struct cycle *cycle)
{
    const GPtrArray *list = cycle->fleet->worker_list;
    struct running_work *running = cycle->running;
    guint i;
    guint k;

    for (i = 0; i < list->len; i++) {
        const struct worker *worker = g_ptr_array_index(list, i);

        for (k = 0; k < worker->tasks->len; k++) {
            struct running_task entry = {
                .task = g_ptr_array_index(worker->tasks, k), .worker = i};
            cs_preempt_end end = {.worker = i,
                                  .demand = entry.task->step->spec->demand};

            const struct running_group *group;

            entry.group = group_of(cycle, entry.task);
            group = &g_array_index(running->groups, struct running_group,
                                   entry.group);
            /* Only steps of priority 0 have others stopped. */
            if (group->stoppable && group->priority > 0 &&
                running->tasks->len < MAX_VICTIMS)
                g_array_append_val(running->tasks, entry);
            end.end_s = group->victim.remaining_s;
            if (!entry.task->step->spec->perpetual)
                g_array_append_val(running->ends, end);
        }
    }
    g_array_sort(running->ends, compare_ends);
    running->collected = true;
}

/* Collects the running work unless it is known. */
static void
ensure_running_work(struct cycle *cycle)
{
    struct running_work *running = cycle->running;

    if (!running) {
        running = g_new0(struct running_work, 1);
        running->groups =
            g_array_new(FALSE, FALSE, sizeof(struct running_group));
        running->tasks =
            g_array_new(FALSE, FALSE, sizeof(struct running_task));
        running->ends = g_array_new(FALSE, FALSE, sizeof(cs_preempt_end));
        running->gangs = g_hash_table_new(g_direct_hash, g_direct_equal);
        running->claimed =
            g_array_new(FALSE, FALSE, sizeof(cs_preempt_claimed));
        cycle->running = running;
    }
    if (!running->collected)
        collect_running_work(cycle);
}

/* Makes the next search collect the running work again. */
static void
forget_running_work(struct running_work *running)
{
    running->collected = false;
    g_array_set_size(running->groups, 0);
    g_array_set_size(running->tasks, 0);
    g_array_set_size(running->ends, 0);
    g_hash_table_remove_all(running->gangs);
}

void
cycle_preempt_dispose(struct cycle *cycle)
{
    struct running_work *running = cycle->running;

    if (!running)
        return;
    g_array_free(running->groups, TRUE);
    g_array_free(running->tasks, TRUE);
    g_array_free(running->ends, TRUE);
    g_hash_table_destroy(running->gangs);
    g_array_free(running->claimed, TRUE);
    g_free(running);
    cycle->running = NULL;
}

/* A search for victims for one step. */
struct search {
    const struct candidate *candidate;
    cs_preempt_claim claim;
    cs_preempt_costs costs;
    double wait_s;
    double gain;
    GArray *victims;   /* of cs_binpack_victim */
    GPtrArray *tasks;  /* of struct task, parallel to victims */
    uint32_t *groups;  /* found: those to stop */
    uint32_t *workers; /* found: for each task of the step */
    int32_t count;     /* of groups; -1 none found */
    double loss;
    double work;
};

static bool
is_allowed(const struct cycle *cycle, const struct search *search,
           const struct running_group *group)
{
    if (!group->stoppable ||
        group->priority <= search->candidate->queue->priority)
        return false;
    if (cs_preempt_is_forced(&search->claim))
        return true;
    /* Others use idle accelerators with work that lasts as well, but lose it
       only to a guarantee that nothing else would meet in time. */
    if (group->step->spec->perpetual)
        return false;
    if (cs_preempt_ends_first(&group->victim, &search->costs))
        return false;
    return search->claim.guaranteed ||
           cs_preempt_may_repeat(&group->step->preemption,
                                 group->victim.expected_run_s,
                                 group->started_us, cycle->now.boot_us);
}

static void
collect_victims(const struct cycle *cycle, struct search *search)
{
    const struct running_work *running = cycle->running;
    guint i;

    for (i = 0; i < running->tasks->len; i++) {
        const struct running_task *entry =
            &g_array_index(running->tasks, struct running_task, i);
        const struct running_group *group = &g_array_index(
            running->groups, struct running_group, entry->group);
        cs_binpack_victim victim = {.worker = entry->worker,
                                    .group = entry->group,
                                    .demand = entry->task->step->spec->demand};

        if (entry->task->state != TASK_RUNNING ||
            !is_allowed(cycle, search, group))
            continue;
        victim.loss =
            cs_preempt_loss(&group->victim, &search->costs, search->wait_s);
        if (!search->claim.guaranteed && victim.loss > search->gain)
            continue;
        g_array_append_val(search->victims, victim);
        g_ptr_array_add(search->tasks, entry->task);
    }
}

static bool
is_chosen(const struct search *search, uint32_t group)
{
    int32_t i;

    for (i = 0; i < search->count; i++) {
        if (search->groups[i] == group)
            return true;
    }
    return false;
}

static cs_preempt_verdict
find_victims(struct cycle *cycle, struct search *search,
             const cs_binpack_request *request)
{
    int32_t i;

    collect_victims(cycle, search);
    search->groups = g_new(uint32_t, (gsize)search->victims->len + 1);
    search->count = cs_binpack_preempt(
        search->groups, search->workers, &cycle->cell, request,
        (const cs_binpack_victim *)(void *)search->victims->data,
        search->victims->len);
    if (search->count <= 0)
        return CS_PREEMPT_NO_VICTIMS;
    for (i = 0; i < search->count; i++) {
        const struct running_group *group = &g_array_index(
            cycle->running->groups, struct running_group, search->groups[i]);

        search->loss +=
            cs_preempt_loss(&group->victim, &search->costs, search->wait_s);
        search->work += group->work;
    }
    return cs_preempt_judge_loss(&search->claim, search->loss, search->work,
                                 search->gain);
}

/* Stops the chosen groups. A step counts one stop, however many of its tasks
   are stopped. */
static void
stop_groups(struct cycle *cycle, const struct search *search)
{
    GHashTable *steps = g_hash_table_new(g_direct_hash, g_direct_equal);
    guint i;

    for (i = 0; i < search->victims->len; i++) {
        struct task *task = g_ptr_array_index(search->tasks, i);

        if (!is_chosen(
                search,
                g_array_index(search->victims, cs_binpack_victim, i).group))
            continue;
        if (g_hash_table_add(steps, task->step)) {
            task->step->preemption.stops++;
            task->step->preemption.stopped_us = cycle->now.boot_us;
        }
        run_stop(cycle->fleet, task);
        fleet_increment_counter(cycle->fleet, "cs_tasks_preempted_total");
    }
    g_hash_table_destroy(steps);
}

/* Writes how long the step would wait without a stop. */
static void
format_wait(char *out, size_t size, double wait_s)
{
    if (isinf(wait_s))
        g_strlcpy(out, "not foreseen", size);
    else
        g_snprintf(out, (gulong)size, "in %.1f s", wait_s);
}

static void
log_stop(const struct cycle *cycle, const struct search *search)
{
    const struct step *step = search->candidate->step;
    char wait[32];

    format_wait(wait, sizeof(wait), search->wait_s);
    cs_log_event("preempt",
                 "job %s step %u.%u stops %d groups, %.0f core-seconds, %s, "
                 "loss %.0f, gain %.0f, without a stop %s",
                 step->job->spec.id, step->occurrence, step->number,
                 search->count, search->work,
                 search->claim.guaranteed ? "guaranteed" : "priority",
                 search->loss, search->gain, wait);
    fleet_increment_counter(cycle->fleet, "cs_preemptions_total");
    if (cs_preempt_is_forced(&search->claim))
        fleet_increment_counter(cycle->fleet, "cs_preemptions_forced_total");
}

/* Logs that nothing is stopped, once for each reason in a row. */
static void
log_no_stop(const struct cycle *cycle, const struct search *search,
            cs_preempt_verdict verdict)
{
    const struct step *step = search->candidate->step;
    char wait[32];

    if (step->preemption.verdict == verdict)
        return;
    format_wait(wait, sizeof(wait), search->wait_s);
    cs_log_event("preempt-declined",
                 "job %s step %u.%u: %s, loss %.0f, gain %.0f, without a stop "
                 "%s",
                 step->job->spec.id, step->occurrence, step->number,
                 cs_preempt_verdict_name(verdict), search->loss, search->gain,
                 wait);
    fleet_increment_counter(cycle->fleet, "cs_preemptions_declined_total");
}

static void
init_claim(const struct cycle *cycle, struct search *search)
{
    const struct candidate *candidate = search->candidate;
    const struct step *step = candidate->step;
    const cs_job_spec *spec = &step->job->spec;
    cs_preempt_claim *claim = &search->claim;

    claim->cores = task_cores(&step->tasks[0]) * step->spec->task_count;
    claim->run_s = cycle_expected_run_s(cycle->fleet, step);
    claim->age_s = MAX(-seconds_to(cycle, spec->accepted_ms), 0);
    claim->objective_s = seconds_to(cycle, candidate->objective_ms);
    claim->counted_until_s = seconds_to(
        cycle, cycle_counted_until_ms(step->job, candidate->objective_ms));
    claim->guaranteed = candidate->guaranteed;
    claim->waited_s = seconds_between(step->ready_us, cycle->now.boot_us);
    /* The bound of a guaranteed first step counts from the acceptance, which
       may have been under a former holder. */
    if (step->number == 0 && spec->repeats == 0)
        claim->waited_s = MAX(claim->waited_s, claim->age_s);
}

/* Lets later estimates account for the capacity that the step will take. */
static void
claim_capacity(const struct cycle *cycle, const struct search *search,
               const cs_binpack_request *request)
{
    uint32_t i;

    for (i = 0; !isinf(search->wait_s) && i < request->count; i++) {
        cs_preempt_claimed claimed = {search->workers[i], request->demand};

        g_array_append_val(cycle->running->claimed, claimed);
    }
}

/* Returns whether the last search for the step is recent. One from before a
   guaranteed claim's bound required a stop does not count after that. */
static bool
was_searched(const struct cycle *cycle, const struct search *search)
{
    int64_t searched_us = search->candidate->step->preemption.searched_us;
    cs_preempt_claim claim = search->claim;

    if (searched_us == 0 ||
        cycle->now.boot_us - searched_us >= SEARCH_INTERVAL_US)
        return false;
    claim.waited_s -= seconds_between(searched_us, cycle->now.boot_us);
    return cs_preempt_is_forced(&claim) ==
           cs_preempt_is_forced(&search->claim);
}

/* Returns whether the wait without a stop is to be estimated. */
static bool
may_estimate(struct cycle *cycle, const struct search *search)
{
    struct running_work *running = cycle->running;

    if (!search->claim.guaranteed)
        return running->estimates++ < MAX_WAIT_ESTIMATES;
    return !was_searched(cycle, search) &&
           running->guaranteed_searches++ < MAX_GUARANTEED_SEARCHES;
}

static bool
may_search(struct cycle *cycle, const struct search *search)
{
    return search->claim.guaranteed ||
           (!was_searched(cycle, search) &&
            cycle->running->searches++ < MAX_VICTIM_SEARCHES);
}

static void
carry_out(struct cycle *cycle, struct search *search,
          cs_preempt_verdict verdict)
{
    struct step *step = search->candidate->step;

    if (verdict == CS_PREEMPT_STOP) {
        log_stop(cycle, search);
        stop_groups(cycle, search);
        step->reserved_workers = search->workers;
        step->reserved_count = step->waiting_count;
        step->reserved_us = cycle->now.boot_us;
        search->workers = NULL;
        cycle_apply_reservation(cycle, step, true);
        forget_running_work(cycle->running);
    }
    else {
        log_no_stop(cycle, search, verdict);
    }
    step->preemption.verdict = verdict;
    step->preemption.loss = search->loss;
    step->preemption.gain = search->gain;
    step->preemption.wait_s = search->wait_s;
}

void
cycle_preempt(struct cycle *cycle, const struct candidate *candidate,
              const cs_binpack_request *request)
{
    struct search search = {.candidate = candidate,
                            .costs = stop_costs(cycle->fleet)};
    const struct running_work *running;
    cs_preempt_verdict verdict;
    guint first_claimed;

    ensure_running_work(cycle);
    running = cycle->running;
    init_claim(cycle, &search);
    if (!may_estimate(cycle, &search))
        return;
    search.victims = g_array_new(FALSE, FALSE, sizeof(cs_binpack_victim));
    search.tasks = g_ptr_array_new();
    search.workers = g_new(uint32_t, candidate->step->spec->task_count);
    search.wait_s = cs_preempt_wait_s(
        search.workers, &cycle->cell, request,
        (const cs_preempt_end *)(void *)running->ends->data,
        running->ends->len,
        (const cs_preempt_claimed *)(void *)running->claimed->data,
        running->claimed->len);
    search.gain = cs_preempt_gain(&search.claim, &search.costs, search.wait_s);
    verdict =
        cs_preempt_judge_wait(&search.claim, &search.costs, search.wait_s);
    first_claimed = running->claimed->len;
    claim_capacity(cycle, &search, request);
    if (verdict != CS_PREEMPT_UNDECIDED) {
        if (candidate->guaranteed)
            candidate->step->preemption.searched_us = cycle->now.boot_us;
        carry_out(cycle, &search, verdict);
    }
    else if (may_search(cycle, &search)) {
        candidate->step->preemption.searched_us = cycle->now.boot_us;
        verdict = find_victims(cycle, &search, request);
        carry_out(cycle, &search, verdict);
    }
    if (verdict == CS_PREEMPT_STOP)
        g_array_set_size(cycle->running->claimed, first_claimed);
    g_free(search.groups);
    g_free(search.workers);
    g_array_free(search.victims, TRUE);
    g_ptr_array_free(search.tasks, TRUE);
}
