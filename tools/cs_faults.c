/*
 * Plays one session with every fault at every call, and with pairs of
 * faults, and prints a line for each promise.
 */
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/random.h"
#include "corianderstair/settings.h"
#include "fake_world.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

struct totals {
    uint32_t cases;
    uint32_t violations[WORLD_PROMISE_COUNT];
    uint32_t different; /* played twice with different ends */
    int64_t settled_us;
    int64_t partial_us;
    int64_t claim_us;
};

static void
print_violation(const world_options *o, const world_result *r,
                world_promise promise)
{
    printf("VIOLATION %s: %s; play again with --seed %" PRIu64
           " --first %s:%u --second %s:%u\n",
           world_promise_name(promise), r->why[promise], o->seed,
           world_fault_name(o->strikes[0].fault), o->strikes[0].call,
           world_fault_name(o->strikes[1].fault), o->strikes[1].call);
}

static void
play(struct totals *t, const world_options *options)
{
    world_result r = world_play(options);
    int i;

    t->cases++;
    t->settled_us = MAX(t->settled_us, r.settled_us);
    t->partial_us = MAX(t->partial_us, r.partial_us);
    t->claim_us = MAX(t->claim_us, r.claim_us);
    for (i = 0; i < WORLD_PROMISE_COUNT; i++) {
        if (!r.broken[i])
            continue;
        t->violations[i]++;
        print_violation(options, &r, (world_promise)i);
    }
    if (t->cases % 50 == 0 && world_play(options).digest != r.digest)
        t->different++;
}

static void
play_singles(struct totals *t, uint64_t seed, uint32_t calls, uint32_t every,
             world_breaks breaks)
{
    uint32_t call;
    int fault;

    for (call = 1; call <= calls; call += every) {
        for (fault = 1; fault < WORLD_FAULT_COUNT; fault++) {
            world_options o = {.seed = seed,
                               .strikes = {{(world_fault)fault, call}},
                               .breaks = breaks};

            play(t, &o);
        }
    }
}

static void
play_pairs(struct totals *t, uint64_t seed, uint32_t calls, uint32_t count)
{
    cs_random random;
    uint32_t i;
    int k;

    cs_random_init(&random, seed);
    for (i = 0; i < count; i++) {
        world_options o = {.seed = seed};

        for (k = 0; k < 2; k++) {
            o.strikes[k].fault =
                (world_fault)(1 +
                              cs_random_below(&random, WORLD_FAULT_COUNT - 1));
            o.strikes[k].call = 1 + (uint32_t)cs_random_below(&random, calls);
        }
        play(t, &o);
    }
}

static int
report(const struct totals *t)
{
    uint32_t sum = t->different;
    int i;

    for (i = 0; i < WORLD_PROMISE_COUNT; i++) {
        printf("%-12s cases %u violations %u\n",
               world_promise_name((world_promise)i), t->cases,
               t->violations[i]);
        sum += t->violations[i];
    }
    printf("%-12s cases %u violations %u\n", "same-result", t->cases / 50,
           t->different);
    printf("worst: session %.1f s, part of a gang alone %.2f s, claim %.2f "
           "s\n",
           (double)t->settled_us / 1e6, (double)t->partial_us / 1e6,
           (double)t->claim_us / 1e6);
    return sum ? 1 : 0;
}

static int
read_strike(world_strike *out, const char *text)
{
    gchar **parts;
    int i;

    if (!*text)
        return 0;
    parts = g_strsplit(text, ":", 2);
    for (i = 0; parts[0] && parts[1] && i < WORLD_FAULT_COUNT; i++) {
        if (g_strcmp0(parts[0], world_fault_name((world_fault)i)) == 0) {
            out->fault = (world_fault)i;
            out->call = (uint32_t)g_ascii_strtoull(parts[1], NULL, 10);
            g_strfreev(parts);
            return 0;
        }
    }
    g_strfreev(parts);
    return cs_error_set(CS_E_SETTING, "'%s' is not FAULT:CALL", text);
}

int
main(int argc, char **argv)
{
    struct totals totals = {0};
    world_options one = {0};
    const char *first = "";
    const char *second = "";
    const char *broken = "";
    int64_t seed = 1;
    int64_t every = 1;
    int64_t pairs = 1000;
    bool trace = false;
    const cs_setting table[] = {
        {"seed", CS_SETTING_NUMBER, &seed, 1, INT64_MAX, false, "seed"},
        {"every", CS_SETTING_NUMBER, &every, 1, 1000, false,
         "strike each n-th call only"},
        {"pairs", CS_SETTING_NUMBER, &pairs, 0, 1000000, false,
         "cases with two faults"},
        {"first", CS_SETTING_TEXT, &first, 0, 64, false,
         "play one case: FAULT:CALL"},
        {"break", CS_SETTING_TEXT, &broken, 0, 32, false,
         "take a protection away: fencing, lease, admission, condition"},
        {"trace", CS_SETTING_FLAG, &trace, 0, 0, false,
         "print the audit trail of the one case"},
        {"second", CS_SETTING_TEXT, &second, 0, 64, false, "its second fault"},
    };
    cs_settings_next next;

    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "fault cases on a virtual clock") ||
        read_strike(&one.strikes[0], first) ||
        read_strike(&one.strikes[1], second)) {
        fprintf(stderr, "cs-faults: %s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    cs_log_silence();
    one.seed = (uint64_t)seed;
    one.breaks.no_fencing = strcmp(broken, "fencing") == 0;
    one.breaks.no_worker_lease = strcmp(broken, "lease") == 0;
    one.breaks.no_admission = strcmp(broken, "admission") == 0;
    one.breaks.no_condition = strcmp(broken, "condition") == 0;
    if (*first) {
        one.trace = trace ? g_string_new(NULL) : NULL;
        play(&totals, &one);
        if (trace)
            fputs(one.trace->str, stdout);
    }
    else {
        uint32_t calls = world_play(&one).calls;

        printf("the session makes %u calls\n", calls);
        play(&totals, &one);
        play_singles(&totals, one.seed, calls, (uint32_t)every, one.breaks);
        play_pairs(&totals, one.seed, calls, (uint32_t)pairs);
    }
    return report(&totals);
}
