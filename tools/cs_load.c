/*
 * Open-loop load for a service: requests are sent at their times whether or
 * not earlier ones were answered, and latency counts from the intended time.
 */
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/http_client.h"
#include "corianderstair/random.h"
#include "corianderstair/settings.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINGER_US (3 * CS_SEC_US)
#define TIMEOUT_US (10 * CS_SEC_US)
#define TICK_MS 1

struct load {
    const char *service;
    const char *class_name;
    const char *organisations;
    const char *addresses;
    const char *prefix;
    int64_t rate;
    int64_t count;
    int64_t seed;
    int64_t body_bytes;
    int64_t connections;
    bool direct; /* call the endpoint itself */
    bool list;   /* print each answer */
    GMainLoop *loop;
    cs_net *net;
    cs_http_client *client;
    cs_random random;
    gchar **targets;
    gchar **orgs;
    char *body;
    int64_t sent;
    int64_t answered;
    int64_t next_us;
    int64_t start_us;
    int64_t end_us;
    GArray *latencies;   /* of int64_t, of successes */
    int64_t outcomes[4]; /* done, not-run, unknown, ran */
    int64_t good[16];    /* by organisation */
    int64_t cut;
    int64_t crossed;
};

struct shot {
    struct load *load;
    int64_t due_us;
    int64_t number;
    int organisation;
};

enum { DONE, NOT_RUN, UNKNOWN, RAN };

/* name takes what the error is called. */
static int
outcome_of(const cs_http_answer *answer, char *name, size_t size)
{
    json_t *body;
    const char *run;
    const char *word;
    int outcome = UNKNOWN;

    g_strlcpy(name, cs_error_name(answer->code), size);
    if (answer->code == CS_E_CONNECT || answer->code == CS_E_OVERLOAD)
        return NOT_RUN;
    if (answer->code)
        return UNKNOWN;
    if (answer->status == 200)
        return DONE;
    body = json_loadb(answer->body, answer->size_bytes, 0, NULL);
    run = json_string_value(json_object_get(body, "run"));
    word = json_string_value(json_object_get(body, "name"));
    g_strlcpy(name, word ? word : "no-name", size);
    if (g_strcmp0(run, "not-run") == 0)
        outcome = NOT_RUN;
    else if (g_strcmp0(run, "ran") == 0)
        outcome = RAN;
    json_decref(body);
    return outcome;
}

static void
check_mark(struct load *load, const struct shot *shot,
           const cs_http_answer *answer)
{
    char mark[96];

    g_snprintf(mark, sizeof(mark), "\"id\":\"%s-%" PRId64 "\"", load->prefix,
               shot->number);
    if (!strstr(answer->body, mark))
        load->crossed++;
}

static void
on_done(void *data, const cs_http_answer *answer)
{
    static const char *const words[] = {"done", "not-run", "unknown", "ran"};
    struct shot *shot = data;
    struct load *load = shot->load;
    int64_t now_us = cs_clock_boot_us();
    int64_t latency_us = now_us - shot->due_us;
    char name[32];
    int outcome = outcome_of(answer, name, sizeof(name));

    load->answered++;
    load->end_us = now_us;
    load->outcomes[outcome]++;
    if (answer->code == CS_E_CUT)
        load->cut++;
    if (outcome == DONE) {
        g_array_append_val(load->latencies, latency_us);
        load->good[shot->organisation]++;
        check_mark(load, shot, answer);
    }
    if (load->list)
        printf("%s-%" PRId64 " %s %s %d\n", load->prefix, shot->number,
               words[outcome], name, answer->status);
    g_free(shot);
}

static void
fire(struct load *load)
{
    struct shot *shot = g_new0(struct shot, 1);
    guint targets = g_strv_length(load->targets);
    char path[512];
    cs_http_call call = {.method = "POST",
                         .path = path,
                         .body = load->body,
                         .size_bytes = (size_t)load->body_bytes,
                         .deadline_us = cs_clock_boot_us() + TIMEOUT_US,
                         .done = on_done,
                         .data = shot};

    shot->load = load;
    shot->due_us = load->next_us;
    shot->number = load->sent++;
    shot->organisation =
        (int)cs_random_below(&load->random, g_strv_length(load->orgs));
    call.address = load->targets[cs_random_below(&load->random, targets)];
    if (load->direct)
        g_snprintf(path, sizeof(path), "/%s?id=%s-%" PRId64, load->class_name,
                   load->prefix, shot->number);
    else
        g_snprintf(
            path, sizeof(path),
            "/v1/services/%s/requests?class=%s&organisation=%s&id=%s-%" PRId64,
            load->service, load->class_name, load->orgs[shot->organisation],
            load->prefix, shot->number);
    if (cs_http_client_start(load->client, &call)) {
        load->answered++;
        load->outcomes[NOT_RUN]++;
        g_free(shot);
    }
}

static gboolean
on_tick(gpointer data)
{
    struct load *load = data;
    int64_t now_us = cs_clock_boot_us();

    while (load->sent < load->count && load->next_us <= now_us) {
        fire(load);
        load->next_us += (int64_t)cs_random_exponential(
            &load->random, 1e6 / (double)load->rate);
    }
    if (load->sent == load->count &&
        (load->answered == load->count ||
         now_us > load->next_us + TIMEOUT_US + LINGER_US)) {
        g_main_loop_quit(load->loop);
        return G_SOURCE_REMOVE;
    }
    return G_SOURCE_CONTINUE;
}

static gint
compare(gconstpointer a, gconstpointer b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return x < y ? -1 : x > y;
}

static int64_t
quantile_us(struct load *load, double q)
{
    if (load->latencies->len == 0)
        return 0;
    return g_array_index(load->latencies, int64_t,
                         (guint)(q * (load->latencies->len - 1)));
}

static double
jain(const struct load *load)
{
    guint n = g_strv_length(load->orgs);
    double sum = 0;
    double squares = 0;
    guint i;

    for (i = 0; i < n; i++) {
        sum += (double)load->good[i];
        squares += (double)load->good[i] * (double)load->good[i];
    }
    return squares > 0 ? sum * sum / (n * squares) : 1;
}

static void
report(struct load *load)
{
    double span_s = (double)(load->end_us - load->start_us) / 1e6;

    g_array_sort(load->latencies, compare);
    printf("{\"bench\":\"load\",\"class\":\"%s\",\"rate\":%" PRId64
           ",\"sent\":%" PRId64 ",\"done\":%" PRId64 ",\"not_run\":%" PRId64
           ",\"unknown\":%" PRId64 ",\"ran\":%" PRId64 ",\"cut\":%" PRId64
           ",\"crossed\":%" PRId64 ",\"unanswered\":%" PRId64
           ",\"goodput\":%.1f,\"p50_us\":%" PRId64 ",\"p90_us\":%" PRId64
           ",\"p99_us\":%" PRId64 ",\"max_us\":%" PRId64 ",\"jain\":%.3f}\n",
           load->class_name, load->rate, load->sent, load->outcomes[DONE],
           load->outcomes[NOT_RUN], load->outcomes[UNKNOWN],
           load->outcomes[RAN], load->cut, load->crossed,
           load->sent - load->answered,
           span_s > 0 ? (double)load->outcomes[DONE] / span_s : 0,
           quantile_us(load, 0.5), quantile_us(load, 0.9),
           quantile_us(load, 0.99), quantile_us(load, 1.0), jain(load));
}

static int
run(struct load *load)
{
    load->loop = g_main_loop_new(NULL, FALSE);
    load->targets = g_strsplit(load->addresses, ",", 64);
    load->orgs = g_strsplit(load->organisations, ",", 16);
    load->latencies = g_array_new(FALSE, FALSE, sizeof(int64_t));
    load->body = g_strnfill((gsize)load->body_bytes, 'x');
    cs_random_init(&load->random, (uint64_t)load->seed);
    if (cs_net_create(&load->net, load->loop) ||
        cs_http_client_create(&load->client, load->net,
                              (uint32_t)load->connections)) {
        fprintf(stderr, "cs-load: %s\n", cs_error_last());
        return 1;
    }
    load->start_us = cs_clock_boot_us();
    load->next_us = load->start_us;
    g_timeout_add(TICK_MS, on_tick, load);
    g_main_loop_run(load->loop);
    report(load);
    return 0;
}

int
main(int argc, char **argv)
{
    struct load load = {.service = "clocking-results",
                        .class_name = "rank-loft",
                        .organisations = "consorzio",
                        .addresses = "127.0.0.1:7300",
                        .prefix = "load",
                        .rate = 100,
                        .count = 1000,
                        .seed = 1,
                        .body_bytes = 100,
                        .connections = 64};
    const cs_setting table[] = {
        {"service", CS_SETTING_TEXT, &load.service, 1, 63, false, "service"},
        {"class", CS_SETTING_TEXT, &load.class_name, 1, 63, false, "class"},
        {"organisations", CS_SETTING_TEXT, &load.organisations, 1, 1024, false,
         "organisations, separated by commas"},
        {"targets", CS_SETTING_TEXT, &load.addresses, 1, 4096, false,
         "entry processes, separated by commas"},
        {"prefix", CS_SETTING_TEXT, &load.prefix, 1, 40, false,
         "start of every request id"},
        {"rate", CS_SETTING_NUMBER, &load.rate, 1, 100000, false,
         "requests a second"},
        {"count", CS_SETTING_NUMBER, &load.count, 1, 1000000, false,
         "requests in all"},
        {"seed", CS_SETTING_NUMBER, &load.seed, 1, INT64_MAX, false,
         "seed of the arrivals"},
        {"body-bytes", CS_SETTING_NUMBER, &load.body_bytes, 0, 1000000, false,
         "size of a body"},
        {"connections", CS_SETTING_NUMBER, &load.connections, 1, 64, false,
         "connections to one address at most"},
        {"direct", CS_SETTING_FLAG, &load.direct, 0, 0, false,
         "the targets are endpoints"},
        {"list", CS_SETTING_FLAG, &load.list, 0, 0, false,
         "print the outcome of each request"},
    };
    cs_settings_next next;

    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "load generator for a service")) {
        fprintf(stderr, "cs-load: %s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    return run(&load);
}
