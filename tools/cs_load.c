/*
 * Open-loop load generator for a service: sends requests at random intervals
 * whether or not earlier ones were answered. Latency is measured from the time
 * at which a request was due, so that a late send counts as latency too.
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

#define EXIT_MARGIN_US (3 * CS_SEC_US) /* after the last timeout */
#define TIMEOUT_US (10 * CS_SEC_US)
#define TICK_MS 1

struct load {
    const char *service;
    const char *class_name;
    const char *organisation_list;
    const char *target_list;
    const char *prefix;
    int64_t rate;
    int64_t count;
    int64_t seed;
    int64_t body_bytes;
    int64_t connections;
    bool direct; /* the addresses are those of endpoints */
    bool list;   /* print the outcome of each request */
    GMainLoop *loop;
    cs_net *net;
    cs_http_client *client;
    cs_random random;
    gchar **target_addresses;
    gchar **organisation_names;
    char *body;
    int64_t sent;
    int64_t finished; /* answered or failed */
    int64_t next_due_us;
    int64_t start_us;
    int64_t last_answer_us;
    GArray *latencies;         /* of int64_t microseconds, of successes */
    int64_t outcomes[4];       /* number of requests, by OUTCOME_* */
    int64_t successes[16];     /* successes, by organisation */
    int64_t connection_losses; /* the connection closed before the answer */
    int64_t wrong_answers;     /* answers to the id of another request */
};

struct request {
    struct load *load;
    int64_t due_us; /* time at which it should be sent */
    int64_t sequence;
    int organisation;
};

/* OUTCOME_NOT_RUN: certainly not executed; OUTCOME_RAN: executed and answered
   with an error; OUTCOME_UNKNOWN: possibly executed. */
enum { OUTCOME_DONE, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN, OUTCOME_RAN };

/* Classifies an answer and sets name to the name of its error. */
static int
outcome_of(const cs_http_response *answer, char *name, size_t size)
{
    json_t *body;
    const char *run;
    const char *error_name;
    int outcome = OUTCOME_UNKNOWN;

    g_strlcpy(name, cs_error_name(answer->code), size);
    if (answer->code == CS_E_CONNECT || answer->code == CS_E_OVERLOAD)
        return OUTCOME_NOT_RUN;
    if (answer->code)
        return OUTCOME_UNKNOWN;
    if (answer->status == 200)
        return OUTCOME_DONE;
    body = json_loadb(answer->body, answer->size_bytes, 0, NULL);
    run = json_string_value(json_object_get(body, "run"));
    error_name = json_string_value(json_object_get(body, "name"));
    g_strlcpy(name, error_name ? error_name : "no-name", size);
    if (g_strcmp0(run, "not-run") == 0)
        outcome = OUTCOME_NOT_RUN;
    else if (g_strcmp0(run, "ran") == 0)
        outcome = OUTCOME_RAN;
    json_decref(body);
    return outcome;
}

static void
check_answer_id(struct load *load, const struct request *request,
                const cs_http_response *answer)
{
    char id_field[96];

    g_snprintf(id_field, sizeof(id_field), "\"id\":\"%s-%" PRId64 "\"",
               load->prefix, request->sequence);
    if (!strstr(answer->body, id_field))
        load->wrong_answers++;
}

static void
on_done(void *user_data, const cs_http_response *answer)
{
    static const char *const outcome_names[] = {"done", "not-run", "unknown",
                                                "ran"};
    struct request *request = user_data;
    struct load *load = request->load;
    int64_t now_us = cs_clock_boot_us();
    int64_t latency_us = now_us - request->due_us;
    char name[32];
    int outcome = outcome_of(answer, name, sizeof(name));

    load->finished++;
    load->last_answer_us = now_us;
    load->outcomes[outcome]++;
    if (answer->code == CS_E_CUT)
        load->connection_losses++;
    if (outcome == OUTCOME_DONE) {
        g_array_append_val(load->latencies, latency_us);
        load->successes[request->organisation]++;
        check_answer_id(load, request, answer);
    }
    if (load->list)
        printf("%s-%" PRId64 " %s %s %d\n", load->prefix, request->sequence,
               outcome_names[outcome], name, answer->status);
    g_free(request);
}

static void
send_request(struct load *load)
{
    struct request *request = g_new0(struct request, 1);
    guint target_count = g_strv_length(load->target_addresses);
    char path[512];
    cs_http_call call = {.method = "POST",
                         .path = path,
                         .body = load->body,
                         .size_bytes = (size_t)load->body_bytes,
                         .deadline_us = cs_clock_boot_us() + TIMEOUT_US,
                         .done = on_done,
                         .user_data = request};

    request->load = load;
    request->due_us = load->next_due_us;
    request->sequence = load->sent++;
    request->organisation = (int)cs_random_below(
        &load->random, g_strv_length(load->organisation_names));
    call.address =
        load->target_addresses[cs_random_below(&load->random, target_count)];
    if (load->direct)
        g_snprintf(path, sizeof(path), "/%s?id=%s-%" PRId64, load->class_name,
                   load->prefix, request->sequence);
    else
        g_snprintf(
            path, sizeof(path),
            "/v1/services/%s/requests?class=%s&organisation=%s&id=%s-%" PRId64,
            load->service, load->class_name,
            load->organisation_names[request->organisation], load->prefix,
            request->sequence);
    if (cs_http_client_start(load->client, &call)) {
        load->finished++;
        load->outcomes[OUTCOME_NOT_RUN]++;
        g_free(request);
    }
}

static gboolean
on_tick(gpointer user_data)
{
    struct load *load = user_data;
    int64_t now_us = cs_clock_boot_us();

    while (load->sent < load->count && load->next_due_us <= now_us) {
        send_request(load);
        load->next_due_us += (int64_t)cs_random_exponential(
            &load->random, 1e6 / (double)load->rate);
    }
    if (load->sent == load->count &&
        (load->finished == load->count ||
         now_us > load->next_due_us + TIMEOUT_US + EXIT_MARGIN_US)) {
        g_main_loop_quit(load->loop);
        return G_SOURCE_REMOVE;
    }
    return G_SOURCE_CONTINUE;
}

static gint
compare_latencies(gconstpointer a, gconstpointer b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;

    return left < right ? -1 : left > right;
}

static int64_t
latency_quantile_us(struct load *load, double fraction)
{
    if (load->latencies->len == 0)
        return 0;
    return g_array_index(load->latencies, int64_t,
                         (guint)(fraction * (load->latencies->len - 1)));
}

static double
jain_index(const struct load *load)
{
    guint count = g_strv_length(load->organisation_names);
    double sum = 0;
    double squares = 0;
    guint i;

    for (i = 0; i < count; i++) {
        sum += (double)load->successes[i];
        squares += (double)load->successes[i] * (double)load->successes[i];
    }
    return squares > 0 ? sum * sum / (count * squares) : 1;
}

static void
print_report(struct load *load)
{
    double elapsed_s = (double)(load->last_answer_us - load->start_us) / 1e6;

    g_array_sort(load->latencies, compare_latencies);
    printf(
        "{\"bench\":\"load\",\"class\":\"%s\",\"rate\":%" PRId64
        ",\"sent\":%" PRId64 ",\"done\":%" PRId64 ",\"not_run\":%" PRId64
        ",\"unknown\":%" PRId64 ",\"ran\":%" PRId64 ",\"cut\":%" PRId64
        ",\"crossed\":%" PRId64 ",\"unanswered\":%" PRId64
        ",\"goodput\":%.1f,\"p50_us\":%" PRId64 ",\"p90_us\":%" PRId64
        ",\"p99_us\":%" PRId64 ",\"max_us\":%" PRId64 ",\"jain\":%.3f}\n",
        load->class_name, load->rate, load->sent, load->outcomes[OUTCOME_DONE],
        load->outcomes[OUTCOME_NOT_RUN], load->outcomes[OUTCOME_UNKNOWN],
        load->outcomes[OUTCOME_RAN], load->connection_losses,
        load->wrong_answers, load->sent - load->finished,
        elapsed_s > 0 ? (double)load->outcomes[OUTCOME_DONE] / elapsed_s : 0,
        latency_quantile_us(load, 0.5), latency_quantile_us(load, 0.9),
        latency_quantile_us(load, 0.99), latency_quantile_us(load, 1.0),
        jain_index(load));
}

static int
run(struct load *load)
{
    load->loop = g_main_loop_new(NULL, FALSE);
    load->target_addresses = g_strsplit(load->target_list, ",", 64);
    load->organisation_names = g_strsplit(load->organisation_list, ",", 16);
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
    load->next_due_us = load->start_us;
    g_timeout_add(TICK_MS, on_tick, load);
    g_main_loop_run(load->loop);
    print_report(load);
    return 0;
}

int
main(int argc, char **argv)
{
    struct load load = {.service = "clocking-results",
                        .class_name = "rank-loft",
                        .organisation_list = "consorzio",
                        .target_list = "127.0.0.1:7300",
                        .prefix = "load",
                        .rate = 100,
                        .count = 1000,
                        .seed = 1,
                        .body_bytes = 100,
                        .connections = 64};
    const cs_setting table[] = {
        {"service", CS_SETTING_TEXT, &load.service, 1, 63, false, "service"},
        {"class", CS_SETTING_TEXT, &load.class_name, 1, 63, false, "class"},
        {"organisations", CS_SETTING_TEXT, &load.organisation_list, 1, 1024,
         false, "organisations, separated by commas"},
        {"targets", CS_SETTING_TEXT, &load.target_list, 1, 4096, false,
         "addresses of entry processes, separated by commas"},
        {"prefix", CS_SETTING_TEXT, &load.prefix, 1, 40, false,
         "prefix of every request id"},
        {"rate", CS_SETTING_NUMBER, &load.rate, 1, 100000, false,
         "requests per second"},
        {"count", CS_SETTING_NUMBER, &load.count, 1, 1000000, false,
         "number of requests"},
        {"seed", CS_SETTING_NUMBER, &load.seed, 1, INT64_MAX, false,
         "seed of the arrival times and of the choice of targets and "
         "organisations"},
        {"body-bytes", CS_SETTING_NUMBER, &load.body_bytes, 0, 1000000, false,
         "size of a request body in bytes"},
        {"connections", CS_SETTING_NUMBER, &load.connections, 1, 64, false,
         "maximum number of connections to one address"},
        {"direct", CS_SETTING_FLAG, &load.direct, 0, 0, false,
         "the targets are endpoints, called without an entry process"},
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
