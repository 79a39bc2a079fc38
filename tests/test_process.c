/* Runs two cs-fleetd processes against a stand-in for the platform, over HTTP.
   All tests run twice. In the first run the holder calls the workers itself,
   and vm-a has no peer link because its port is in use. In the second run all
   calls to workers go through executors on the other VM. */
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "harness.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include "corianderstair/clock.h"

#define WAIT_TIMEOUT_US (30 * CS_SEC_US)
#define GANG_JOB                                                              \
    "{\"spec\":\"x\",\"steps\":[{\"count\":3,\"cpu\":1000,\"memMb\":100,"     \
    "\"gpu\":8,\"estimateMs\":400,\"gang\":true,\"sameRack\":true},"          \
    "{\"count\":2,\"cpu\":1000,\"gpu\":1,\"estimateMs\":400,\"after\":[0]}]}"

static struct harness *harness;
static const char *vm_addresses[2];
static char *settings_files[2];

static char *
write_settings(const char *name, const char *platform_address, int link_port)
{
    char *path = g_strdup_printf("%s/cs-%s-%d.json", g_get_tmp_dir(), name,
                                 (int)g_random_int_range(0, 1 << 30));
    char *text = g_strdup_printf(
        "{\"node\":\"%s\",\"zone\":\"z\",\"listen\":{\"front\":"
        "\"127.0.0.1:0\",\"ready\":\"127.0.0.1:0\",\"control\":"
        "\"127.0.0.1:0\"},\"ip\":\"127.0.0.1\",\"portRange\":[%d,0],"
        "\"seeds\":[],\"heartbeatMs\":1500,\"platform\":{"
        "\"addr\":\"%s\"},\"advice\":\"%s\",\"bounds\":{\"holdMaxMs\":6000,"
        "\"stopMs\":900,"
        "\"gangMs\":3000,\"graceS\":6,\"configApplyMs\":2000,\"status_s\":"
        "120,\"early_ms\":250}}",
        name, link_port, platform_address, platform_address);

    assert_true(g_file_set_contents(path, text, -1, NULL));
    g_free(text);
    return path;
}

static int
call_vm(uint32_t vm, const char *method, const char *path, const char *body,
        json_t **response)
{
    return harness_call_as(harness, response, method, vm_addresses[vm], path,
                           "h", "Token k0", body, body ? strlen(body) : 0);
}

static char *
job_state(uint32_t vm, const char *path)
{
    json_t *response = NULL;
    char *state = NULL;

    if (call_vm(vm, "GET", path, NULL, &response) == 200)
        state =
            g_strdup(json_string_value(json_object_get(response, "state")));
    json_decref(response);
    return state;
}

static void
wait_for_state(uint32_t vm, const char *path, const char *expected)
{
    int64_t deadline_us = cs_clock_boot_us() + WAIT_TIMEOUT_US;

    for (;;) {
        char *state = job_state(vm, path);
        bool is_reached = g_strcmp0(state, expected) == 0;

        g_free(state);
        if (is_reached)
            return;
        assert_true(cs_clock_boot_us() < deadline_us);
        g_usleep(50000);
    }
}

static int occupying_socket; /* listens on the port of occupy_port */

/* Value of --direct-workers: above the number of workers, then 0. */
static const char *direct_workers = "1000";

/* Returns a port that is in use, so that opening a peer link on it fails. */
static int
occupy_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);

    occupying_socket = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(occupying_socket, (struct sockaddr *)&address, size),
                     0);
    assert_int_equal(listen(occupying_socket, 1), 0);
    assert_int_equal(
        getsockname(occupying_socket, (struct sockaddr *)&address, &size), 0);
    return ntohs(address.sin_port);
}

static int
start_vms(void **state)
{
    int link_port = occupying_socket ? 0 : occupy_port();
    const char *platform_address;
    uint32_t i;

    harness = harness_create();
    platform_address =
        harness_start(harness, "standin-deployment", "--workers", "8", NULL);
    for (i = 0; i < 2; i++) {
        settings_files[i] = write_settings(
            i ? "vm-b" : "vm-a", platform_address, i ? 0 : link_port);
        vm_addresses[i] = harness_start(harness, "cs-fleetd", "--settings",
                                        settings_files[i], "--direct-workers",
                                        direct_workers, NULL);
    }
    wait_for_state(0, "/q0/", NULL);
    return 0;
}

static int
stop_vms(void **state)
{
    int failed = harness_destroy(harness);
    uint32_t i;

    for (i = 0; i < 2; i++) {
        g_unlink(settings_files[i]);
        g_free(settings_files[i]);
    }
    assert_int_equal(failed, 0);
    return 0;
}

static void
process__job_with_dependent_steps_completes(void **state)
{
    int64_t deadline_us = cs_clock_boot_us() + WAIT_TIMEOUT_US;

    while (call_vm(0, "POST", "/q0/00000000000000aa", GANG_JOB, NULL) != 200) {
        assert_true(cs_clock_boot_us() < deadline_us);
        g_usleep(50000);
    }
    wait_for_state(1, "/q0/00000000000000aa", "completed");
    /* The same id submitted to another VM creates no second job. */
    assert_int_equal(
        call_vm(1, "POST", "/q0/00000000000000aa", GANG_JOB, NULL), 200);
    wait_for_state(0, "/q0/00000000000000aa", "completed");
}

static void
process__job_of_advised_queue_completes(void **state)
{
    static const char body[] =
        "{\"spec\":\"x\",\"steps\":[{\"count\":6,\"gpu\":8,\"estimateMs\":"
        "200}]}";

    assert_int_equal(call_vm(0, "POST", "/q3/00000000000000cc", body, NULL),
                     200);
    wait_for_state(1, "/q3/00000000000000cc", "completed");
}

static void
process__requests_return_their_http_status(void **state)
{
    static const struct {
        const char *method;
        const char *path;
        const char *body;
        int status;
    } cases[] = {
        {"GET", "/q0/00000000000000ff", NULL, 410},
        {"DELETE", "/q0/00000000000000ff", NULL, 410},
        {"GET", "/q0/short", NULL, 410},
        {"GET", "/q9/00000000000000ff", NULL, 404},
        {"POST", "/q9/00000000000000ff", GANG_JOB, 404},
        {"POST", "/q0/short", GANG_JOB, 400},
        {"POST", "/q0/00000000000000ff", "{}", 400},
        {"POST", "/q0/00000000000000ff", "{\"spec\":\"\",\"steps\":[]}", 400},
        {"POST", "/q0/00000000000000ff",
         "{\"spec\":\"\",\"steps\":[{\"count\":1,\"after\":[0]}]}", 400},
        {"PUT", "/q0/00000000000000ff", GANG_JOB, 405},
        {"GET", "/q0/", NULL, 200},
        {"GET", "/q0/00000000000000ff", NULL, 410},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(cases); i++)
        assert_int_equal(
            call_vm(0, cases[i].method, cases[i].path, cases[i].body, NULL),
            cases[i].status);
    assert_int_equal(harness_call_as(harness, NULL, "GET", vm_addresses[0],
                                     "/q0/", "h", "Token wrong", NULL, 0),
                     401);
    assert_int_equal(harness_call_as(harness, NULL, "GET", vm_addresses[0],
                                     "/q0/", "h", NULL, NULL, 0),
                     401);
}

/* Guards against a cancelled job that runs, and against one that is shown: it
   is submitted to one VM after another has answered its cancel. */
static void
process__job_cancelled_before_its_submission_is_rejected(void **state)
{
    json_t *response = NULL;

    assert_int_equal(call_vm(1, "DELETE", "/q0/00000000000000dd", NULL, NULL),
                     410);
    assert_int_equal(
        call_vm(0, "POST", "/q0/00000000000000dd", GANG_JOB, &response), 503);
    assert_string_equal(json_string_value(json_object_get(response, "error")),
                        "cancelled");
    json_decref(response);
    assert_int_equal(call_vm(0, "GET", "/q0/00000000000000dd", NULL, NULL),
                     410);
    assert_int_equal(call_vm(0, "DELETE", "/q0/00000000000000dd", NULL, NULL),
                     410);
}

static void
process__oversized_body_is_rejected(void **state)
{
    char *text = g_strnfill(300 * 1024, ' ');

    assert_int_equal(call_vm(0, "POST", "/q0/00000000000000ef", text, NULL),
                     413);
    assert_int_equal(call_vm(0, "GET", "/q0/00000000000000ef", NULL, NULL),
                     410);
    g_free(text);
}

static void
process__running_job_can_be_cancelled(void **state)
{
    static const char body[] =
        "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"gpu\":1,\"estimateMs\":"
        "60000}]}";

    assert_int_equal(call_vm(0, "POST", "/q1/00000000000000bb", body, NULL),
                     200);
    wait_for_state(0, "/q1/00000000000000bb", "running");
    assert_int_equal(call_vm(1, "DELETE", "/q1/00000000000000bb", NULL, NULL),
                     200);
    wait_for_state(0, "/q1/00000000000000bb", "canceled");
    assert_int_equal(call_vm(0, "DELETE", "/q1/00000000000000bb", NULL, NULL),
                     200);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(process__job_with_dependent_steps_completes),
        cmocka_unit_test(process__job_of_advised_queue_completes),
        cmocka_unit_test(process__requests_return_their_http_status),
        cmocka_unit_test(
            process__job_cancelled_before_its_submission_is_rejected),
        cmocka_unit_test(process__oversized_body_is_rejected),
        cmocka_unit_test(process__running_job_can_be_cancelled),
    };

    int failed = cmocka_run_group_tests(tests, start_vms, stop_vms);

    direct_workers = "0";
    failed += cmocka_run_group_tests(tests, start_vms, stop_vms);
    close(occupying_socket);
    return failed;
}
