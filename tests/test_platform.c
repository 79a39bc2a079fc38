/* Tests the codecs of the platform interfaces on valid and invalid input. */
#include "harness.h"
#include "adviser.h"
#include "callers.h"
#include "config.h"
#include "settings.h"
#include "store.h"
#include "workers.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

struct invalid_input {
    const char *text;
    int code;
    const char *message; /* substring of the expected error message */
};

static void
expect_message(const struct invalid_input *row)
{
    if (!strstr(cs_error_last(), row->message))
        fail_msg("input %s: message '%s' does not contain '%s'", row->text,
                 cs_error_last(), row->message);
}

static void
platform__job_is_decoded(void **state)
{
    static const char text[] =
        "{\"spec\":\"abc\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,"
        "\"gpu\":2,\"estimateMs\":900,\"dataRack\":\"r1-3\",\"gang\":true,"
        "\"sameRack\":true,\"requires\":\"a\",\"maxPerServer\":2},"
        "{\"count\":20,\"after\":[0],\"checkpoint\":true,\"perpetual\":true,"
        "\"speculative\":true,\"fills\":true,\"image\":\"i1\",\"targetMs\":40,"
        "\"maxUnavailable\":3}],\"repeatCount\":2,\"startMs\":1700000000000,"
        "\"intervalMs\":4500,\"unknown\":[1]}";
    cs_job_spec spec;

    assert_int_equal(platform_job_decode(&spec, text, strlen(text)), 0);
    assert_string_equal(spec.payload, "abc");
    assert_int_equal(spec.step_count, 2);
    assert_int_equal(spec.steps[0].task_count, 4);
    assert_int_equal(spec.steps[0].demand.cpu_milli, 500);
    assert_int_equal(spec.steps[0].demand.memory_mb, 256);
    assert_int_equal(spec.steps[0].demand.accelerators, 2);
    assert_int_equal(spec.steps[0].estimate_ms, 900);
    assert_string_equal(spec.steps[0].data_rack, "r1-3");
    assert_string_equal(spec.steps[0].required_label, "a");
    assert_true(spec.steps[0].gang && spec.steps[0].same_rack);
    assert_int_equal(spec.steps[0].max_per_worker, 2);
    assert_int_equal(spec.steps[0].predecessors, 0);
    assert_int_equal(spec.steps[1].predecessors, 1);
    assert_true(spec.steps[1].checkpoint && spec.steps[1].perpetual);
    assert_true(spec.steps[1].speculative && spec.steps[1].best_effort);
    assert_string_equal(spec.steps[1].image, "i1");
    assert_int_equal(spec.steps[1].target_ms, 40);
    assert_int_equal(spec.steps[1].max_unavailable, 3);
    assert_int_equal(spec.repeats, 2);
    assert_int_equal(spec.interval_ms, 4500);
    cs_job_spec_dispose(&spec);
}

static void
platform__invalid_job_names_the_field(void **state)
{
    static const struct invalid_input rows[] = {
        {"", CS_E_JSON, "not a JSON object"},
        {"[]", CS_E_JSON, "not a JSON object"},
        {"{\"spec\":", CS_E_JSON, "not a JSON object"},
        {"{}", CS_E_FIELD, "'spec'"},
        {"{\"spec\":5,\"steps\":[]}", CS_E_FIELD, "'spec'"},
        {"{\"spec\":\"\"}", CS_E_FIELD, "'steps'"},
        {"{\"spec\":\"\",\"steps\":{}}", CS_E_FIELD, "'steps'"},
        {"{\"spec\":\"\",\"steps\":[{\"count\":\"4\"}]}", CS_E_FIELD,
         "'count'"},
        {"{\"spec\":\"\",\"steps\":[{\"count\":-1}]}", CS_E_FIELD, "'count'"},
        {"{\"spec\":\"\",\"steps\":[{\"count\":1.5}]}", CS_E_FIELD, "'count'"},
        {"{\"spec\":\"\",\"steps\":[{\"count\":1,\"gang\":1}]}", CS_E_FIELD,
         "'gang'"},
        {"{\"spec\":\"\",\"steps\":[{\"count\":1,\"after\":[64]}]}",
         CS_E_FIELD, "'after'"},
        {"{\"spec\":\"\",\"steps\":[{\"count\":1,\"after\":[\"0\"]}]}",
         CS_E_FIELD, "'after'"},
        {"{\"spec\":\"\",\"steps\":[{\"count\":1,\"requires\":7}]}",
         CS_E_FIELD, "'requires'"},
        {"{\"spec\":\"\",\"steps\":[{\"count\":1}],\"repeatCount\":-2}",
         CS_E_FIELD, "repeat count"},
    };
    cs_job_spec spec;
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(rows); i++) {
        assert_int_equal(
            platform_job_decode(&spec, rows[i].text, strlen(rows[i].text)),
            rows[i].code);
        expect_message(&rows[i]);
    }
}

static const char valid_config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
    "\"pathPrefix\":\"/a/\",\"service\":\"s\",\"priority\":2,\"attempts\":4,"
    "\"stretch\":3.0,\"targetLatencyMs\":250,\"timeoutMs\":3000,"
    "\"allowAnonymous\":false},{\"name\":\"deep\",\"host\":\"h.example\","
    "\"pathPrefix\":\"/a/b/\",\"service\":\"s\",\"advice\":{\"decideMs\":5}}],"
    "\"services\":[{\"name\":\"s\",\"admissionControl\":true,\"extra\":1}],"
    "\"limits\":{\"maxBodyBytes\":1000},\"tenants\":[{\"name\":\"t\","
    "\"apiKeys\":[\"k1\",\"k2\"],\"guaranteed\":{\"gpu\":72}}]}";

static void
platform__configuration_is_decoded(void **state)
{
    const cs_queue_config *queue;
    cs_fleet_config *config;
    const char *rest;

    assert_int_equal(
        platform_config_decode(&config, valid_config, strlen(valid_config)),
        0);
    assert_int_equal(config->version, 7);
    queue = cs_fleet_config_route(config, "H.example", "/a/b/x", &rest);
    assert_string_equal(queue->name, "deep");
    assert_string_equal(rest, "x");
    assert_true(queue->needs_ticket);
    queue = cs_fleet_config_route(config, "h.example", "/a/x", &rest);
    assert_string_equal(queue->name, "r");
    assert_int_equal(queue->priority, 2);
    assert_int_equal(queue->max_attempts, 4);
    assert_null(cs_fleet_config_route(config, "other", "/a/x", &rest));
    assert_null(cs_fleet_config_route(config, "h.example", "/b/x", &rest));
    assert_int_equal(cs_fleet_config_organisation_by_key(config, "k2")
                         ->guaranteed_accelerators,
                     72);
    assert_null(cs_fleet_config_organisation_by_key(config, "k3"));
    assert_true(cs_fleet_config_service(config, "s")->admission_control);
    cs_fleet_config_unref(config);
}

static void
platform__invalid_configuration_is_rejected(void **state)
{
    static const struct invalid_input rows[] = {
        {"{", CS_E_JSON, "configuration"},
        {"{\"routes\":[]}", CS_E_FIELD, "version"},
        {"{\"version\":\"7\",\"routes\":[]}", CS_E_FIELD, "version"},
        {"{\"version\":7}", CS_E_FIELD, "routes"},
        {"{\"version\":7,\"routes\":[{}]}", CS_E_FIELD, "route 0"},
        {"{\"version\":7,\"routes\":[],\"services\":[{\"name\":1}]}",
         CS_E_FIELD, "service 0"},
        {"{\"version\":7,\"routes\":[],\"tenants\":[{\"name\":\"t\","
         "\"apiKeys\":[5]}]}",
         CS_E_FIELD, "tenant 0"},
    };
    cs_fleet_config *config;
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(rows); i++) {
        assert_int_equal(platform_config_decode(&config, rows[i].text,
                                                strlen(rows[i].text)),
                         rows[i].code);
        expect_message(&rows[i]);
    }
}

static void
platform__worker_entry_is_decoded(void **state)
{
    static const char text[] =
        "{\"service\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
        "\"version\":\"v1\",\"slots\":8,\"state\":\"draining\","
        "\"remainingMs\":4000,\"capacity\":{\"cpu\":64000,\"memMb\":131072,"
        "\"gpu\":8},\"labels\":[\"a\",\"r1-3\"],\"seq\":4,\"born\":17}";
    cs_worker_entry entry;

    assert_int_equal(platform_worker_entry_decode(&entry, text, strlen(text)),
                     0);
    assert_true(entry.draining);
    assert_int_equal(entry.remaining_ms, 4000);
    assert_int_equal(entry.capacity.accelerators, 8);
    assert_string_equal(g_ptr_array_index(entry.labels, 1), "r1-3");
    assert_int_equal(entry.incarnation_ms, 17);
    cs_worker_entry_dispose(&entry);
}

static void
platform__invalid_worker_entry_is_rejected(void **state)
{
    static const struct invalid_input rows[] = {
        {"\xff\xfe", CS_E_JSON, "JSON"},
        {"{}", CS_E_FIELD, "field"},
        {"{\"service\":5,\"addr\":\"a\",\"zone\":\"z\",\"state\":\"ready\","
         "\"capacity\":{}}",
         CS_E_FIELD, "field"},
        {"{\"service\":\"s\",\"addr\":\"a\",\"zone\":\"z\",\"state\":\"on\","
         "\"capacity\":{}}",
         CS_E_FIELD, "field"},
        {"{\"service\":\"s\",\"addr\":\"a\",\"zone\":\"z\",\"state\":"
         "\"ready\"}",
         CS_E_FIELD, "field"},
        {"{\"service\":\"s\",\"addr\":\"a\",\"zone\":\"z\",\"state\":"
         "\"ready\",\"capacity\":{\"gpu\":\"8\"}}",
         CS_E_FIELD, "field"},
        {"{\"service\":\"s\",\"addr\":\"a\",\"zone\":\"z\",\"state\":"
         "\"ready\",\"capacity\":{},\"labels\":[1]}",
         CS_E_FIELD, "field"},
        {"{\"service\":\"s\",\"addr\":\"a\",\"zone\":\"z\",\"state\":"
         "\"ready\",\"capacity\":{},\"born\":1.5}",
         CS_E_FIELD, "field"},
    };
    cs_worker_entry entry;
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(rows); i++) {
        assert_int_equal(platform_worker_entry_decode(&entry, rows[i].text,
                                                      strlen(rows[i].text)),
                         rows[i].code);
        expect_message(&rows[i]);
    }
}

/* Only a reply that proves the outcome may be reported as done or refused. */
static void
platform__worker_reply_maps_to_result_code(void **state)
{
    static const struct {
        int call_code;
        int status;
        const char *body;
        int code;
        cs_worker_refusal refusal;
    } rows[] = {
        {0, 200, "{\"clockMs\":5}", 0, CS_REFUSED_OTHER},
        {0, 200, "{\"clockMs\":", CS_E_INVALID, CS_REFUSED_OTHER},
        {0, 200, "", CS_E_INVALID, CS_REFUSED_OTHER},
        {0, 409, "{\"reason\":\"fence\"}", CS_E_WORKER, CS_REFUSED_FENCED},
        {0, 409, "{\"reason\":\"old\"}", CS_E_WORKER, CS_REFUSED_OLD_RUN},
        {0, 409, "{\"reason\":\"late\"}", CS_E_WORKER,
         CS_REFUSED_LEASE_EXPIRED},
        {0, 409, "{\"reason\":\"room\"}", CS_E_WORKER, CS_REFUSED_NO_SPACE},
        {0, 409, "{\"reason\":\"ticket\"}", CS_E_WORKER, CS_REFUSED_TICKET},
        {0, 409, "{\"reason\":\"new\"}", CS_E_WORKER, CS_REFUSED_OTHER},
        {0, 409, "no JSON", CS_E_WORKER, CS_REFUSED_OTHER},
        {0, 421, "", CS_E_WORKER, CS_REFUSED_INCARNATION},
        {0, 400, "", CS_E_WORKER, CS_REFUSED_OTHER},
        {0, 429, "", CS_E_OVERLOAD, CS_REFUSED_OTHER},
        {0, 503, "", CS_E_OVERLOAD, CS_REFUSED_OTHER},
        {0, 500, "", CS_E_OUTCOME_UNKNOWN, CS_REFUSED_OTHER},
        {CS_E_CONNECT, 0, "", CS_E_CONNECT, CS_REFUSED_OTHER},
        {CS_E_OVERLOAD, 0, "", CS_E_CONNECT, CS_REFUSED_OTHER},
        {CS_E_CUT, 0, "", CS_E_OUTCOME_UNKNOWN, CS_REFUSED_OTHER},
        {CS_E_TIMEOUT, 0, "", CS_E_OUTCOME_UNKNOWN, CS_REFUSED_OTHER},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(rows); i++) {
        platform_worker_reply reply;

        platform_worker_decode(&reply, rows[i].call_code, rows[i].status,
                               rows[i].body, strlen(rows[i].body));
        assert_int_equal(reply.answer.code, rows[i].code);
        assert_int_equal(reply.answer.refusal, rows[i].refusal);
        platform_worker_reply_dispose(&reply);
    }
}

static void
platform__advice_lists_workers_with_tickets(void **state)
{
    static const struct {
        int call_code;
        int status;
        const char *body;
        int code;
        size_t allowed;
    } rows[] = {
        {0, 200, "{\"good\":[[\"w1\",\"t1\"]],\"validMs\":3000}", 0, 1},
        {0, 200, "{\"good\":[],\"validMs\":3000}", 0, 0},
        {0, 200, "{\"good\":[[\"w1\"],[1,\"t\"],[\"w2\",\"t2\"]]}", 0, 1},
        {0, 200, "{\"good\":{},\"validMs\":3000}", CS_E_INVALID, 0},
        {0, 200, "{\"good\":[],\"validMs\":\"3\"}", CS_E_INVALID, 0},
        {0, 200, "{\"good\":", CS_E_INVALID, 0},
        {0, 429, "", CS_E_OVERLOAD, 0},
        {0, 503, "", CS_E_OUTCOME_UNKNOWN, 0},
        {CS_E_CONNECT, 0, "", CS_E_CONNECT, 0},
        {CS_E_TIMEOUT, 0, "", CS_E_OUTCOME_UNKNOWN, 0},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(rows); i++) {
        platform_advice_reply reply;

        platform_advice_decode(&reply, rows[i].call_code, rows[i].status,
                               rows[i].body, strlen(rows[i].body));
        assert_int_equal(reply.advice.code, rows[i].code);
        assert_int_equal(reply.advice.allowed_count, rows[i].allowed);
        platform_advice_reply_dispose(&reply);
    }
}

static void
platform__heartbeat_lists_running_and_ended_runs(void **state)
{
    static const char text[] =
        "{\"clockMs\":482113,\"born\":9,\"running\":[[\"a.0.1.17\",2,\"s\",41,"
        "7.5]],\"ended\":[[58,\"a.0.1.9\",1,\"done\",\"\"],[59,\"b.0.0.0\",3,"
        "\"lapsed\",\"t\"]]}";
    static const char *const malformed[] = {
        "{\"clockMs\":1,\"running\":[[\"a\"]],\"ended\":[]}",
        "{\"clockMs\":1,\"running\":[5],\"ended\":[]}",
        "{\"clockMs\":1,\"running\":[],\"ended\":[[1,\"a\",1,\"gone\",\"\"]]}",
        "{\"clockMs\":1,\"running\":[],\"ended\":[[\"1\",\"a\",1,\"done\"]]}",
        "{\"clockMs\":\"1\",\"running\":[],\"ended\":[]}",
    };
    platform_worker_reply reply;
    size_t i;

    platform_worker_decode(&reply, 0, 200, text, strlen(text));
    assert_int_equal(reply.answer.code, 0);
    assert_int_equal(reply.answer.clock_ms, 482113);
    assert_int_equal(reply.answer.incarnation_ms, 9);
    assert_int_equal(reply.answer.run_count, 1);
    assert_string_equal(reply.answer.runs[0].task, "a.0.1.17");
    assert_int_equal(reply.answer.runs[0].percent, 41);
    assert_int_equal(reply.answer.ended_run_count, 2);
    assert_int_equal(reply.answer.ended_runs[1].sequence, 59);
    assert_int_equal(reply.answer.ended_runs[1].outcome, CS_OUTCOME_LAPSED);
    assert_string_equal(reply.answer.ended_runs[1].checkpoint_data, "t");
    platform_worker_reply_dispose(&reply);
    for (i = 0; i < G_N_ELEMENTS(malformed); i++) {
        platform_worker_decode(&reply, 0, 200, malformed[i],
                               strlen(malformed[i]));
        assert_int_equal(reply.answer.code, CS_E_INVALID);
        platform_worker_reply_dispose(&reply);
    }
}

static void
platform__store_reply_maps_to_result_code(void **state)
{
    static const struct {
        int call_code;
        int status;
        const char *body;
        int code;
        size_t rows;
    } rows[] = {
        {0, 200, "{\"ver\":412,\"nowMs\":5}", 0, 0},
        {0, 200,
         "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"k\",\"value\":"
         "\"bm9kZS0x\",\"ver\":3},{\"table\":\"t\",\"key\":\"d\",\"ver\":4,"
         "\"deleted\":true}],\"ver\":9,\"hasMore\":true}",
         0, 2},
        {0, 200, "{\"rows\":[{\"table\":\"t\",\"ver\":3}],\"ver\":9}", 0, 0},
        {0, 412, "{\"rows\":[],\"ver\":9}", CS_E_CONFLICT, 0},
        {0, 200, "{\"ver\":", CS_E_OUTCOME_UNKNOWN, 0},
        {0, 412, "", CS_E_OUTCOME_UNKNOWN, 0},
        {0, 410, "", CS_E_TOO_OLD, 0},
        {0, 429, "", CS_E_OVERLOAD, 0},
        {0, 503, "", CS_E_STORE_UNAVAILABLE, 0},
        {0, 400, "", CS_E_INVALID, 0},
        {0, 403, "", CS_E_INVALID, 0},
        {0, 504, "", CS_E_OUTCOME_UNKNOWN, 0},
        {CS_E_CONNECT, 0, "", CS_E_CONNECT, 0},
        {CS_E_OVERLOAD, 0, "", CS_E_CONNECT, 0},
        {CS_E_CUT, 0, "", CS_E_OUTCOME_UNKNOWN, 0},
        {CS_E_TIMEOUT, 0, "", CS_E_OUTCOME_UNKNOWN, 0},
        {CS_E_TOO_LARGE, 0, "", CS_E_OUTCOME_UNKNOWN, 0},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(rows); i++) {
        platform_store_reply reply;

        platform_store_decode(&reply, rows[i].call_code, rows[i].status,
                              rows[i].body, strlen(rows[i].body));
        assert_int_equal(reply.answer.code, rows[i].code);
        assert_int_equal(reply.answer.row_count, rows[i].rows);
        if (rows[i].rows == 2) {
            assert_memory_equal(reply.answer.rows[0].value, "node-1", 6);
            assert_int_equal(reply.answer.rows[0].size_bytes, 6);
            assert_true(reply.answer.rows[1].deleted);
            assert_true(reply.answer.has_more);
        }
        platform_store_reply_dispose(&reply);
    }
}

static void
platform__change_is_encoded(void **state)
{
    cs_row condition = {.table = "my", .part = "p", .key = "a", .version = 4};
    cs_row put = {.table = "my",
                  .part = "p",
                  .key = "b",
                  .value = "node-1",
                  .size_bytes = 6};
    cs_row removal = {.table = "my", .part = "p", .key = "c"};
    cs_row_change change = {&condition, 1, &put, 1, &removal, 1};
    char *text = platform_store_encode_change(&change);

    assert_string_equal(
        text, "{\"ifRev\":[{\"table\":\"my\",\"part\":\"p\",\"key\":\"a\","
              "\"ver\":4}],\"puts\":[{\"table\":\"my\",\"part\":\"p\",\"key\":"
              "\"b\",\"value\":\"bm9kZS0x\"}],\"remove\":[{\"table\":\"my\","
              "\"part\":\"p\",\"key\":\"c\"}]}");
    free(text);
}

static const char valid_settings[] =
    "{\"node\":\"n1\",\"limits\":{\"memoryMb\":260,\"maxFds\":4100},"
    "\"zone\":\"z\",\"listen\":{\"front\":\"10.0.0.1:1\","
    "\"ready\":\"10.0.0.1:2\",\"control\":\"10.0.0.1:3\"},\"seeds\":["
    "\"10.0.0.2:3\"],\"heartbeatMs\":1500,\"platform\":{\"addr\":"
    "\"10.0.0.9:4\"},\"new\":{},\"bounds\":{\"holdMaxMs\":6000,\"stopMs\":900,"
    "\"gangMs\":3000,\"graceS\":1.5,\"configApplyMs\":2000,\"status_s\":120,"
    "\"early_ms\":250}}";

static void
platform__settings_are_decoded(void **state)
{
    cs_vm_settings settings;

    assert_int_equal(platform_settings_decode(&settings, valid_settings), 0);
    assert_string_equal(settings.name, "n1");
    assert_string_equal(settings.peer_address, "10.0.0.1:3");
    assert_string_equal(settings.seeds[0], "10.0.0.2:3");
    assert_int_equal(settings.memory_bytes, 260000000);
    assert_int_equal(settings.max_descriptors, 4100);
    assert_int_equal(settings.bounds.grace_ms, 1500);
    assert_int_equal(settings.bounds.worker_lease_ms, 6000);
    assert_false(settings.bounds.evacuate_given);
    assert_int_equal(settings.bounds.evacuate_ms, 5000);
}

/* Guards against a deployment whose bound for work to run again is ignored. */
static void
platform__bound_of_restarts_is_optional(void **state)
{
    GString *text = g_string_new(valid_settings);
    cs_vm_settings settings;

    assert_int_equal(platform_settings_decode(&settings, text->str), 0);
    assert_int_equal(settings.bounds.restart_ms, 0);
    g_string_insert(text, (gssize)(text->len - strlen("}}")),
                    ",\"finish_s\":14");
    assert_int_equal(platform_settings_decode(&settings, text->str), 0);
    assert_int_equal(settings.bounds.restart_ms, 14000);
    g_string_free(text, TRUE);
}

/* Guards against a deployment whose own bound for evacuations is ignored. */
static void
platform__bound_of_evacuations_is_optional(void **state)
{
    GString *text = g_string_new(valid_settings);
    cs_vm_settings settings;

    g_string_replace(text, "\"early_ms\":250", "\"evacuateMs\":4000", 1);
    assert_int_equal(platform_settings_decode(&settings, text->str), 0);
    assert_true(settings.bounds.evacuate_given);
    assert_int_equal(settings.bounds.evacuate_ms, 4000);
    g_string_free(text, TRUE);
}

static void
platform__invalid_settings_name_the_field(void **state)
{
    static const struct invalid_input rows[] = {
        {"", CS_E_JSON, "settings"},
        {"{}", CS_E_FIELD, "'node'"},
        {"{\"node\":\"n\"}", CS_E_FIELD, "'zone'"},
        {"{\"node\":\"n\",\"zone\":\"z\"}", CS_E_FIELD, "'front'"},
        {"{\"node\":\"n\",\"zone\":\"z\",\"listen\":{\"front\":\"a\","
         "\"ready\":\"b\"}}",
         CS_E_FIELD, "'addr'"},
        {"{\"node\":\"n\",\"zone\":\"z\",\"listen\":{\"front\":\"a\","
         "\"ready\":\"b\"},\"platform\":{\"addr\":\"c\"}}",
         CS_E_FIELD, "'holdMaxMs'"},
    };
    cs_vm_settings settings;
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(rows); i++) {
        assert_int_equal(platform_settings_decode(&settings, rows[i].text),
                         rows[i].code);
        expect_message(&rows[i]);
    }
}

/* Returns a job of as many steps as allowed, all members present, each with
   all steps before it as predecessors. */
static GString *
longest_job(void)
{
    GString *text = g_string_new("{\"spec\":\"[{,:}]\",\"repeatCount\":2,"
                                 "\"startMs\":1,\"intervalMs\":1,\"steps\":[");
    uint32_t step;
    uint32_t i;

    for (step = 0; step < CS_JOB_STEPS_MAX; step++) {
        g_string_append_printf(
            text,
            "%s{\"count\":1,\"cpu\":1,\"memMb\":1,\"gpu\":1,"
            "\"estimateMs\":1,\"targetMs\":1,\"gang\":true,\"sameRack\":true,"
            "\"checkpoint\":true,\"speculative\":false,\"perpetual\":false,"
            "\"fills\":false,\"maxPerServer\":1,\"maxUnavailable\":1,"
            "\"requires\":\"a\",\"dataRack\":\"b\",\"image\":\"c\",\"after\":"
            "[",
            step ? "," : "");
        for (i = 0; i < step; i++)
            g_string_append_printf(text, "%s%u", i ? "," : "", i);
        g_string_append(text, "]}");
    }
    return g_string_append(text, "]}");
}

/* Guards against bodies of many values, which take over a hundred times their
   length once they are parsed. */
static void
platform__values_of_a_job_are_limited(void **state)
{
    GString *text = longest_job();
    cs_job_spec spec;
    uint32_t i;

    assert_int_equal(platform_job_decode(&spec, text->str, text->len), 0);
    assert_int_equal(spec.step_count, CS_JOB_STEPS_MAX);
    assert_string_equal(spec.payload, "[{,:}]");
    cs_job_spec_dispose(&spec);
    g_string_assign(text, "{\"spec\":\"x\",\"more\":[0");
    for (i = 0; i < 20000; i++)
        g_string_append(text, ",{}");
    g_string_append(text, "],\"steps\":[{\"count\":1}]}");
    assert_int_equal(platform_job_decode(&spec, text->str, text->len),
                     CS_E_TOO_LARGE);
    g_string_assign(text, "");
    for (i = 0; i < 1000; i++)
        g_string_append(text, "[");
    assert_int_equal(platform_job_decode(&spec, text->str, text->len),
                     CS_E_TOO_LARGE);
    g_string_assign(text, "{\"spec\":\"\\");
    assert_int_equal(platform_job_decode(&spec, text->str, text->len),
                     CS_E_JSON);
    g_string_free(text, TRUE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(platform__job_is_decoded),
        cmocka_unit_test(platform__invalid_job_names_the_field),
        cmocka_unit_test(platform__configuration_is_decoded),
        cmocka_unit_test(platform__invalid_configuration_is_rejected),
        cmocka_unit_test(platform__worker_entry_is_decoded),
        cmocka_unit_test(platform__invalid_worker_entry_is_rejected),
        cmocka_unit_test(platform__worker_reply_maps_to_result_code),
        cmocka_unit_test(platform__advice_lists_workers_with_tickets),
        cmocka_unit_test(platform__heartbeat_lists_running_and_ended_runs),
        cmocka_unit_test(platform__store_reply_maps_to_result_code),
        cmocka_unit_test(platform__change_is_encoded),
        cmocka_unit_test(platform__values_of_a_job_are_limited),
        cmocka_unit_test(platform__settings_are_decoded),
        cmocka_unit_test(platform__bound_of_evacuations_is_optional),
        cmocka_unit_test(platform__bound_of_restarts_is_optional),
        cmocka_unit_test(platform__invalid_settings_name_the_field),
    };

    cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
