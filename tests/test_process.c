/* The program of a VM against the platform's interfaces over HTTP. */
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

#define WAIT_US (30 * CS_SEC_US)
#define GANG                                                                  \
    "{\"spec\":\"x\",\"steps\":[{\"count\":3,\"cpu\":1000,\"memMb\":100,"     \
    "\"gpu\":8,\"estimateMs\":400,\"gang\":true,\"sameRack\":true},"          \
    "{\"count\":2,\"cpu\":1000,\"gpu\":1,\"estimateMs\":400,\"after\":[0]}]}"

static struct harness *h;
static const char *vms[2];
static char *files[2];

static char *
write_settings(const char *name, const char *store, int link_port)
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
        name, link_port, store, store);

    assert_true(g_file_set_contents(path, text, -1, NULL));
    g_free(text);
    return path;
}

static int
call(uint32_t vm, const char *method, const char *path, const char *body,
     json_t **answer)
{
    return harness_call_as(h, answer, method, vms[vm], path, "h", "Token k0",
                           body, body ? strlen(body) : 0);
}

static char *
state_of(uint32_t vm, const char *path)
{
    json_t *answer = NULL;
    char *state = NULL;

    if (call(vm, "GET", path, NULL, &answer) == 200)
        state = g_strdup(json_string_value(json_object_get(answer, "state")));
    json_decref(answer);
    return state;
}

static void
wait_state(uint32_t vm, const char *path, const char *wanted)
{
    int64_t until_us = cs_clock_boot_us() + WAIT_US;

    for (;;) {
        char *state = state_of(vm, path);
        bool reached = g_strcmp0(state, wanted) == 0;

        g_free(state);
        if (reached)
            return;
        assert_true(cs_clock_boot_us() < until_us);
        g_usleep(50000);
    }
}

static int taken; /* a socket, so that its port cannot be listened on */

/* Workers that the holder calls by itself: all, or none. */
static const char *direct_workers = "1000";

/* A port that is taken: one VM cannot open its link. */
static int
take_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);

    taken = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(taken, (struct sockaddr *)&address, size), 0);
    assert_int_equal(listen(taken, 1), 0);
    assert_int_equal(getsockname(taken, (struct sockaddr *)&address, &size),
                     0);
    return ntohs(address.sin_port);
}

static int
start_all(void **state)
{
    int link_port = taken ? 0 : take_port();
    const char *store;
    uint32_t i;

    h = harness_create();
    store = harness_start(h, "standin-deployment", "--workers", "8", NULL);
    for (i = 0; i < 2; i++) {
        files[i] =
            write_settings(i ? "vm-b" : "vm-a", store, i ? 0 : link_port);
        vms[i] = harness_start(h, "cs-fleetd", "--settings", files[i],
                               "--direct-workers", direct_workers, NULL);
    }
    wait_state(0, "/q0/", NULL);
    return 0;
}

static int
stop_all(void **state)
{
    int failed = harness_destroy(h);
    uint32_t i;

    for (i = 0; i < 2; i++) {
        g_unlink(files[i]);
        g_free(files[i]);
    }
    assert_int_equal(failed, 0);
    return 0;
}

static void
process__job_of_steps_is_completed(void **state)
{
    int64_t until_us = cs_clock_boot_us() + WAIT_US;

    while (call(0, "POST", "/q0/00000000000000aa", GANG, NULL) != 200) {
        assert_true(cs_clock_boot_us() < until_us);
        g_usleep(50000);
    }
    wait_state(1, "/q0/00000000000000aa", "completed");
    /* The same id at another VM is the same job. */
    assert_int_equal(call(1, "POST", "/q0/00000000000000aa", GANG, NULL), 200);
    wait_state(0, "/q0/00000000000000aa", "completed");
}

static void
process__advised_job_is_completed(void **state)
{
    static const char body[] =
        "{\"spec\":\"x\",\"steps\":[{\"count\":6,\"gpu\":8,\"estimateMs\":"
        "200}]}";

    assert_int_equal(call(0, "POST", "/q3/00000000000000cc", body, NULL), 200);
    wait_state(1, "/q3/00000000000000cc", "completed");
}

static void
process__requests_have_their_status(void **state)
{
    static const struct {
        const char *method;
        const char *path;
        const char *body;
        int status;
    } rows[] = {
        {"GET", "/q0/00000000000000ff", NULL, 410},
        {"DELETE", "/q0/00000000000000ff", NULL, 410},
        {"GET", "/q0/short", NULL, 410},
        {"GET", "/q9/00000000000000ff", NULL, 404},
        {"POST", "/q9/00000000000000ff", GANG, 404},
        {"POST", "/q0/short", GANG, 400},
        {"POST", "/q0/00000000000000ff", "{}", 400},
        {"POST", "/q0/00000000000000ff", "{\"spec\":\"\",\"steps\":[]}", 400},
        {"POST", "/q0/00000000000000ff",
         "{\"spec\":\"\",\"steps\":[{\"count\":1,\"after\":[0]}]}", 400},
        {"PUT", "/q0/00000000000000ff", GANG, 405},
        {"GET", "/q0/", NULL, 200},
        {"GET", "/q0/00000000000000ff", NULL, 410},
    };
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(rows); i++)
        assert_int_equal(
            call(0, rows[i].method, rows[i].path, rows[i].body, NULL),
            rows[i].status);
    assert_int_equal(harness_call_as(h, NULL, "GET", vms[0], "/q0/", "h",
                                     "Token wrong", NULL, 0),
                     401);
    assert_int_equal(
        harness_call_as(h, NULL, "GET", vms[0], "/q0/", "h", NULL, NULL, 0),
        401);
}

static void
process__too_large_body_is_refused(void **state)
{
    char *text = g_strnfill(300 * 1024, ' ');

    assert_int_equal(call(0, "POST", "/q0/00000000000000ef", text, NULL), 413);
    assert_int_equal(call(0, "GET", "/q0/00000000000000ef", NULL, NULL), 410);
    g_free(text);
}

static void
process__cancelled_job_ends(void **state)
{
    static const char body[] =
        "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"gpu\":1,\"estimateMs\":"
        "60000}]}";

    assert_int_equal(call(0, "POST", "/q1/00000000000000bb", body, NULL), 200);
    wait_state(0, "/q1/00000000000000bb", "running");
    assert_int_equal(call(1, "DELETE", "/q1/00000000000000bb", NULL, NULL),
                     200);
    wait_state(0, "/q1/00000000000000bb", "canceled");
    assert_int_equal(call(0, "DELETE", "/q1/00000000000000bb", NULL, NULL),
                     200);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(process__job_of_steps_is_completed),
        cmocka_unit_test(process__advised_job_is_completed),
        cmocka_unit_test(process__requests_have_their_status),
        cmocka_unit_test(process__too_large_body_is_refused),
        cmocka_unit_test(process__cancelled_job_ends),
    };

    int failed = cmocka_run_group_tests(tests, start_all, stop_all);

    direct_workers = "0";
    failed += cmocka_run_group_tests(tests, start_all, stop_all);
    close(taken);
    return failed;
}
