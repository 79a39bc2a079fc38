/*
 * Shares of organisations and evenness over the zones of callers, under the
 * loads that they are for, without network. The fleet is a pool of
 * accelerators; steps are placed in the order of cs_share_rank_compare(), then
 * by age, as in a scheduling cycle.
 */
#include "corianderstair/shares.h"
#include "corianderstair/zone_lag.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <glib.h>
#include <cmocka.h>

#define ORGANISATIONS 10
#define ZONES 3
#define ACCELERATORS 400
#define TICK_MS 100
#define RUN_MS 9500
/* Time in which a job is to be completed, and until which it counts. */
#define OBJECTIVE_MS 22000
#define COUNTED_MS (3 * OBJECTIVE_MS)
#define LOAD_MS (300 * 1000)
#define SKEW 1.2

struct simulated_job {
    uint32_t organisation;
    uint32_t zone;
    int64_t size;
    int64_t accepted_ms;
    int64_t known_ms;  /* when the scheduler learns of it */
    int64_t end_ms;    /* 0 while waiting */
    uint32_t sequence; /* in the order in which jobs became known */
    cs_share_rank rank;
};

struct load {
    bool use_shares;
    bool single;            /* all jobs are of one organisation and one zone */
    double demand;          /* relative to the fleet */
    int64_t burst_start_ms; /* the last organisation sends three times the */
    int64_t burst_end_ms;   /* fleet's demand alone; no burst if 0 */
    int64_t slow_zone_ms;   /* jobs of zone 0 get known that much late */
};

struct outcome {
    double total; /* what all jobs count, in accelerator-milliseconds */
    double zone_work[ZONES];     /* done or dropped */
    double zone_lateness[ZONES]; /* mean of that work; the maximum for what
                                    was dropped */
    double end_sum_s; /* of completed jobs' ends, each weighted by its sequence
                         so that an exchange of two jobs changes it */
    double counted[ORGANISATIONS];
    double submitted[ORGANISATIONS];
};

struct simulation {
    struct outcome *out;
    GPtrArray *waiting; /* of struct simulated_job */
    GPtrArray *running;
    cs_shares *shares;
    cs_zone_lag zones;
    int64_t free; /* accelerators */
    uint32_t last_sequence;
    int64_t now_ms;
};

static double
job_worth(const struct simulated_job *job)
{
    double late_ms = (double)(job->end_ms - job->accepted_ms - OBJECTIVE_MS);

    return CLAMP(1.0 - late_ms / (COUNTED_MS - OBJECTIVE_MS), 0.0, 1.0);
}

static uint32_t
draw_organisation(GRand *random)
{
    double weights[ORGANISATIONS];
    double total = 0;
    double drawn;
    uint32_t i;

    for (i = 0; i < ORGANISATIONS; i++)
        total += weights[i] = pow(i + 1, -SKEW);
    drawn = g_rand_double(random) * total;
    for (i = 0; i + 1 < ORGANISATIONS && drawn >= weights[i]; i++)
        drawn -= weights[i];
    return i;
}

static void
submit(GArray *jobs, GRand *random, const struct load *load, int64_t now_ms,
       uint32_t organisation)
{
    struct simulated_job job = {.organisation = organisation,
                                .zone = g_rand_int_range(random, 0, ZONES),
                                .size = g_rand_int_range(random, 1, 17),
                                .accepted_ms = now_ms,
                                .known_ms = now_ms};

    if (load->single)
        job.organisation = job.zone = 0;
    if (job.zone == 0)
        job.known_ms += load->slow_zone_ms;
    g_array_append_val(jobs, job);
}

static GArray *
make_jobs(const struct load *load)
{
    GArray *jobs = g_array_new(FALSE, TRUE, sizeof(struct simulated_job));
    GRand *random = g_rand_new_with_seed(7);
    /* 8.5 is the mean size of a job. */
    double rate = ACCELERATORS / 8.5 * TICK_MS / RUN_MS;
    double due = 0;
    double burst_due = 0;
    int64_t now_ms;

    for (now_ms = 0; now_ms < LOAD_MS; now_ms += TICK_MS) {
        for (due += rate * load->demand; due >= 1; due--)
            submit(jobs, random, load, now_ms, draw_organisation(random));
        if (now_ms < load->burst_start_ms || now_ms >= load->burst_end_ms)
            continue;
        for (burst_due += rate * 3; burst_due >= 1; burst_due--)
            submit(jobs, random, load, now_ms, ORGANISATIONS - 1);
    }
    g_rand_free(random);
    return jobs;
}

/* The order before shares: by objective, then by age. */
static gint
compare_jobs_by_age(gconstpointer a, gconstpointer b)
{
    const struct simulated_job *first =
        *(const struct simulated_job *const *)a;
    const struct simulated_job *second =
        *(const struct simulated_job *const *)b;

    if (first->rank.misses_objective != second->rank.misses_objective)
        return first->rank.misses_objective ? 1 : -1;
    return first->sequence < second->sequence ? -1 : 1;
}

static gint
compare_jobs(gconstpointer a, gconstpointer b)
{
    const struct simulated_job *first =
        *(const struct simulated_job *const *)a;
    const struct simulated_job *second =
        *(const struct simulated_job *const *)b;
    int result = cs_share_rank_compare(&first->rank, &second->rank);

    if (result)
        return result;
    return first->sequence < second->sequence ? -1 : 1;
}

/* Returns the lateness of a job that ends at a time. */
static double
lateness_at(const struct simulated_job *job, int64_t end_ms)
{
    return cs_zone_lag_of_job(job->accepted_ms,
                              job->accepted_ms + OBJECTIVE_MS, end_ms);
}

static cs_share *
share_of(const struct simulation *sim, const struct simulated_job *job)
{
    return cs_shares_at(sim->shares, job->organisation);
}

/* Computes the ranks of the waiting jobs as a scheduling cycle does. */
static void
rank_jobs(struct simulation *sim, bool use_shares)
{
    int64_t end_ms = sim->now_ms + RUN_MS;
    guint i;

    for (i = 0; i < sim->waiting->len; i++) {
        struct simulated_job *job = g_ptr_array_index(sim->waiting, i);

        job->rank.misses_objective = end_ms > job->accepted_ms + OBJECTIVE_MS;
        share_of(sim, job)->waiting = true;
        cs_zone_lag_add_waiting(&sim->zones, job->zone, 2,
                                lateness_at(job, end_ms));
    }
    cs_shares_compute_steps(sim->shares);
    cs_zone_lag_compute_steps(&sim->zones);
    for (i = 0; i < sim->waiting->len; i++) {
        struct simulated_job *job = g_ptr_array_index(sim->waiting, i);

        job->rank.share_step = share_of(sim, job)->step;
        job->rank.zone_step = cs_zone_lag_step(&sim->zones, job->zone, 2);
    }
    g_ptr_array_sort(sim->waiting,
                     use_shares ? compare_jobs : compare_jobs_by_age);
}

static void
finish_job(struct simulation *sim, const struct simulated_job *job,
           double worth, double lateness)
{
    struct outcome *out = sim->out;
    double work = (double)job->size * RUN_MS;

    out->total += work * worth;
    out->submitted[job->organisation] += work;
    out->counted[job->organisation] += work * worth;
    out->zone_work[job->zone] += work;
    out->zone_lateness[job->zone] += work * lateness;
}

static void
place_jobs(struct simulation *sim)
{
    int64_t end_ms = sim->now_ms + RUN_MS;
    guint i = 0;

    while (i < sim->waiting->len) {
        struct simulated_job *job = g_ptr_array_index(sim->waiting, i);

        if (end_ms > job->accepted_ms + COUNTED_MS) {
            finish_job(sim, job, 0, CS_ZONE_LAG_MAX);
        }
        else if (job->size > sim->free) {
            i++;
            continue;
        }
        else {
            sim->free -= job->size;
            job->end_ms = end_ms;
            share_of(sim, job)->used.accelerators += job->size;
            cs_zone_lag_add_placed(&sim->zones, job->zone, 2,
                                   lateness_at(job, end_ms));
            g_ptr_array_add(sim->running, job);
        }
        g_ptr_array_remove_index(sim->waiting, i);
    }
}

static void
end_jobs(struct simulation *sim)
{
    guint i = sim->running->len;

    while (i-- > 0) {
        const struct simulated_job *job = g_ptr_array_index(sim->running, i);

        if (job->end_ms > sim->now_ms)
            continue;
        sim->free += job->size;
        share_of(sim, job)->used.accelerators -= job->size;
        sim->out->end_sum_s += job->sequence * (job->end_ms / 1000.0);
        finish_job(sim, job, job_worth(job), lateness_at(job, job->end_ms));
        g_ptr_array_remove_index_fast(sim->running, i);
    }
}

static void
simulate(struct outcome *out, const struct load *load)
{
    static const char *const names[ORGANISATIONS] = {
        "o0", "o1", "o2", "o3", "o4", "o5", "o6", "o7", "o8", "o9"};
    const cs_demand capacity = {.accelerators = ACCELERATORS};
    GArray *jobs = make_jobs(load);
    struct simulation sim = {.out = out,
                             .waiting = g_ptr_array_new(),
                             .running = g_ptr_array_new(),
                             .shares = cs_shares_create(),
                             .free = ACCELERATORS};
    guint i;

    memset(out, 0, sizeof(*out));
    for (i = 0; i < ORGANISATIONS; i++)
        cs_shares_get(sim.shares, names[i])->configured = true;
    for (i = 0; i < ZONES; i++)
        cs_zone_lag_find(&sim.zones, names[i]);
    for (; sim.now_ms < LOAD_MS + COUNTED_MS; sim.now_ms += TICK_MS) {
        end_jobs(&sim);
        cs_shares_advance(sim.shares, &capacity, TICK_MS / 1000.0);
        cs_zone_lag_advance(&sim.zones, TICK_MS / 1000.0);
        for (i = 0; i < ORGANISATIONS; i++)
            cs_shares_at(sim.shares, i)->waiting = false;
        for (i = 0; i < jobs->len; i++) {
            struct simulated_job *job =
                &g_array_index(jobs, struct simulated_job, i);

            if (job->known_ms != sim.now_ms)
                continue;
            job->sequence = ++sim.last_sequence;
            g_ptr_array_add(sim.waiting, job);
        }
        rank_jobs(&sim, load->use_shares);
        place_jobs(&sim);
    }
    for (i = 0; i < ZONES; i++) {
        if (out->zone_work[i] > 0)
            out->zone_lateness[i] /= out->zone_work[i];
    }
    cs_shares_destroy(sim.shares);
    g_ptr_array_free(sim.waiting, TRUE);
    g_ptr_array_free(sim.running, TRUE);
    g_array_free(jobs, TRUE);
}

/* Results of compare_orders(). */
static struct outcome by_age;
static struct outcome by_shares;

/* Runs a load in the order by age and by shares. Prints the figures for
   docs/design/shares.md if CS_TEST_LOG is set. */
static void
compare_orders(const char *title, struct load load)
{
    uint32_t i;

    load.use_shares = false;
    simulate(&by_age, &load);
    load.use_shares = true;
    simulate(&by_shares, &load);
    if (!g_getenv("CS_TEST_LOG"))
        return;
    fprintf(stderr, "%s: total %.3f, of the fleet %.4f\n", title,
            by_shares.total / by_age.total,
            by_shares.total / LOAD_MS / ACCELERATORS);
    for (i = 0; i < ZONES; i++)
        fprintf(stderr, "  z%u lateness %.3f by age %.3f\n", i,
                by_shares.zone_lateness[i], by_age.zone_lateness[i]);
    for (i = 0; i < ORGANISATIONS; i++)
        fprintf(stderr, "  o%u submitted %.3f counts %.3f by age %.3f\n", i,
                by_shares.submitted[i] / LOAD_MS / ACCELERATORS,
                by_shares.counted[i] / by_shares.submitted[i],
                by_age.counted[i] / by_age.submitted[i]);
}

/* Accelerator-milliseconds of the fleet during the load. */
#define LOAD_WORK ((double)ACCELERATORS * LOAD_MS)
#define EQUAL_SHARE (LOAD_WORK / ORGANISATIONS)
/* What must count of a load that exceeds the fleet: all capacity until the
   runs that have started during the load have ended. */
#define FULL_WORK ((double)ACCELERATORS * (LOAD_MS + RUN_MS))

/* Returns whether all jobs of an organisation were completed within their
   objective, up to rounding. */
static bool
counts_in_full(const struct outcome *out, uint32_t organisation)
{
    return out->counted[organisation] >=
           out->submitted[organisation] * (1 - 1e-9);
}

/* Returns the even share: what each organisation gets at most if the fleet is
   divided evenly and the others receive what some do not ask for. */
static double
even_share(const struct outcome *out)
{
    double left = LOAD_WORK;
    double share = EQUAL_SHARE;
    uint32_t others = ORGANISATIONS;
    bool served[ORGANISATIONS] = {false};
    bool changed;
    uint32_t i;

    do {
        changed = false;
        share = left / others;
        for (i = 0; i < ORGANISATIONS && others > 1; i++) {
            if (served[i] || out->submitted[i] > share)
                continue;
            served[i] = changed = true;
            left -= out->submitted[i];
            others--;
        }
    } while (changed);
    return share;
}

/* Guards against organisations that ask for less than their share being
   crowded out by the one that submits most, and against that one getting less
   than its share. Shares that differ by less than a quantum are equal. */
static void
shares__skewed_load_serves_small_organisations(void **state)
{
    double served_in_full;
    uint32_t i;

    compare_orders("skewed", (struct load){.demand = 1.3});
    served_in_full = even_share(&by_shares) - CS_SHARES_QUANTUM * LOAD_WORK;
    assert_true(served_in_full > EQUAL_SHARE);
    for (i = 0; i < ORGANISATIONS; i++) {
        if (by_shares.submitted[i] <= served_in_full) {
            assert_true(counts_in_full(&by_shares, i));
            assert_false(counts_in_full(&by_age, i));
        }
        else {
            assert_true(by_shares.counted[i] >= served_in_full);
        }
    }
    assert_true(by_shares.total >= FULL_WORK);
}

/* Guards against a burst of one organisation delaying all others. */
static void
shares__burst_delays_its_own_organisation(void **state)
{
    const uint32_t sender = ORGANISATIONS - 1;
    struct load load = {.demand = 0.9, .use_shares = true};
    struct outcome without;
    uint32_t i;

    simulate(&without, &load);
    load.burst_start_ms = 100 * 1000;
    load.burst_end_ms = 110 * 1000;
    compare_orders("burst", load);
    for (i = 1; i < sender; i++)
        assert_true(counts_in_full(&by_shares, i));
    /* The largest one asks for more than the even share while the burst lasts
       and gets at least its equal share. What it loses the sender has. */
    assert_true(by_shares.counted[0] >= EQUAL_SHARE);
    assert_true(by_shares.submitted[0] - by_shares.counted[0] <=
                by_shares.counted[sender] - without.counted[sender]);
    assert_true(by_shares.total >= without.total);
}

/* Guards against jobs of a zone that become known late staying behind those
   of other zones that were accepted at the same time. */
static void
shares__slow_zone_is_served_evenly(void **state)
{
    const struct load load = {.demand = 1.3, .slow_zone_ms = 8000};
    /* The zone's part of the fleet, idle until its first jobs are known. */
    const double unknown_work =
        (double)ACCELERATORS / ZONES * (double)load.slow_zone_ms;

    compare_orders("slow zone", load);
    assert_true(by_shares.zone_lateness[0] - by_shares.zone_lateness[1] <
                CS_ZONE_LAG_QUANTUM);
    assert_true(by_shares.zone_lateness[0] - by_shares.zone_lateness[2] <
                CS_ZONE_LAG_QUANTUM);
    assert_true(by_shares.total >= FULL_WORK - unknown_work);
}

/* Guards against any change of order in a fleet with a single organisation and
   zone, whose jobs must end exactly as without shares. */
static void
shares__single_organisation_keeps_its_order(void **state)
{
    compare_orders("single", (struct load){.demand = 1.3, .single = true});
    assert_true(by_shares.end_sum_s > 0);
    assert_true(by_shares.end_sum_s == by_age.end_sum_s);
    assert_true(by_shares.total == by_age.total);
}

/* Guards against an organisation that competes with no other one being behind
   itself or over its share. */
static void
shares__single_organisation_has_step_0(void **state)
{
    const cs_demand capacity = {.cpu_milli = 1000, .memory_mb = 1000};
    cs_shares *shares = cs_shares_create();
    cs_share *share = cs_shares_get(shares, "only");
    uint32_t i;

    cs_shares_get(shares, "idle")->configured = true;
    share->used.cpu_milli = 900;
    share->waiting = true;
    for (i = 0; i < 100; i++) {
        cs_shares_advance(shares, &capacity, 1);
        cs_shares_compute_steps(shares);
        assert_int_equal(share->step, 0);
        assert_false(cs_shares_update_over(share, cs_shares_fair(shares)));
    }
    cs_shares_destroy(shares);
}

static void
shares__dominant_resource_and_weight_decide(void **state)
{
    const cs_demand capacity = {
        .cpu_milli = 1000, .memory_mb = 1000, .accelerators = 0};
    const cs_demand used = {
        .cpu_milli = 100, .memory_mb = 600, .accelerators = 3};
    cs_shares *shares = cs_shares_create();
    cs_share *heavy = cs_shares_get(shares, "heavy");
    cs_share *light = cs_shares_get(shares, "light");

    assert_true(fabs(cs_shares_dominant(&used, &capacity) - 0.6) < 1e-9);
    heavy->used = used;
    heavy->weight = 3;
    heavy->waiting = light->waiting = true;
    light->used.cpu_milli = 190;
    cs_shares_start(shares, &capacity);
    cs_shares_compute_steps(shares);
    /* 0.6 at weight 3 is within a quantum of 0.19. */
    assert_int_equal(heavy->step, 0);
    heavy->weight = 1;
    cs_shares_compute_steps(shares);
    assert_int_equal(heavy->step, 10);
    assert_int_equal(light->step, 0);
    cs_shares_destroy(shares);
}

/* Guards against a zone going first because of one late job, against it going
   first for longer than it is late, and against an unbounded number of zones.
   */
static void
shares__late_zone_goes_first_until_it_has_caught_up(void **state)
{
    cs_zone_lag lag = {0};
    uint32_t late = cs_zone_lag_find(&lag, "late");
    uint32_t other = cs_zone_lag_find(&lag, "other");
    uint32_t i;

    cs_zone_lag_add_placed(&lag, late, 1, 0.5);
    cs_zone_lag_add_waiting(&lag, late, 1, 0);
    cs_zone_lag_add_waiting(&lag, other, 1, 0);
    cs_zone_lag_compute_steps(&lag);
    assert_int_equal(cs_zone_lag_step(&lag, other, 1), 0);
    for (i = 0; i < 20; i++) {
        cs_zone_lag_add_placed(&lag, late, 1, 0.8);
        cs_zone_lag_add_placed(&lag, other, 1, 0);
    }
    cs_zone_lag_compute_steps(&lag);
    assert_int_equal(cs_zone_lag_step(&lag, late, 1), 0);
    assert_true(cs_zone_lag_step(&lag, other, 1) > 0);
    /* Other priorities are not concerned. */
    assert_int_equal(cs_zone_lag_step(&lag, other, 0), 0);
    assert_true(cs_zone_lag_update_late(&lag, late));
    for (i = 0; i < 10; i++) {
        cs_zone_lag_advance(&lag, 1);
        cs_zone_lag_add_waiting(&lag, late, 1, 0);
        cs_zone_lag_add_waiting(&lag, other, 1, 0);
        cs_zone_lag_add_placed(&lag, late, 1, 0);
        cs_zone_lag_add_placed(&lag, other, 1, 0);
    }
    cs_zone_lag_compute_steps(&lag);
    assert_int_equal(cs_zone_lag_step(&lag, other, 1), 0);
    for (i = 0; i < 2 * CS_ZONE_LAG_ZONES_MAX; i++) {
        char name[2] = {(char)('a' + i)};

        assert_true(cs_zone_lag_find(&lag, name) < CS_ZONE_LAG_ZONES_MAX);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(shares__skewed_load_serves_small_organisations),
        cmocka_unit_test(shares__burst_delays_its_own_organisation),
        cmocka_unit_test(shares__slow_zone_is_served_evenly),
        cmocka_unit_test(shares__single_organisation_keeps_its_order),
        cmocka_unit_test(shares__single_organisation_has_step_0),
        cmocka_unit_test(shares__dominant_resource_and_weight_decide),
        cmocka_unit_test(shares__late_zone_goes_first_until_it_has_caught_up),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
