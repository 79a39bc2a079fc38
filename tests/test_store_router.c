/* Tests how calls are routed to a store that refuses VMs. */
#include "corianderstair/errors.h"
#include "corianderstair/store_router.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define PEER_COUNT 20
#define VM_COUNT 60

#define BULK_TABLE "large"

/* One VM's router; the store refuses its direct calls. */
struct fixture {
    int64_t now_us;
    cs_store_answer direct_answer;
    /* The store refuses this number of peers: the first that are used. */
    uint32_t refused_peer_count;
    char refused_peers[3][32];
    cs_store_port refusing;
    cs_store_port serving;
    cs_store_router *router;
    cs_counters *counters;
    char name[16];
    char last_peer[32]; /* address of the peer that was used last */
};

static cs_now
fixture_now(void *user_data)
{
    const struct fixture *fixture = user_data;
    cs_now now = {fixture->now_us, fixture->now_us};

    return now;
}

static void
refuse_read(void *self, const cs_row_range *range, int64_t deadline_us,
            cs_store_done done, void *user_data)
{
    const struct fixture *fixture = self;

    done(user_data, &fixture->direct_answer);
}

static void
serve_read(void *self, const cs_row_range *range, int64_t deadline_us,
           cs_store_done done, void *user_data)
{
    cs_store_answer answer = {.code = 0};

    done(user_data, &answer);
}

static const cs_store_port *
open_peer(void *user_data, const char *address)
{
    struct fixture *fixture = user_data;
    uint32_t i;

    g_strlcpy(fixture->last_peer, address, sizeof(fixture->last_peer));
    for (i = 0; i < fixture->refused_peer_count; i++) {
        if (fixture->refused_peers[i][0] == '\0')
            g_strlcpy(fixture->refused_peers[i], address,
                      sizeof(fixture->refused_peers[i]));
        if (strcmp(fixture->refused_peers[i], address) == 0)
            return &fixture->refusing;
    }
    return &fixture->serving;
}

static void
ignore_answer(void *user_data, const cs_store_answer *answer)
{
}

static void
fixture_init(struct fixture *fixture, uint32_t number)
{
    cs_store_router_settings settings = {.direct = &fixture->refusing,
                                         .open_relay = open_peer,
                                         .open_relay_data = fixture,
                                         .own_name = fixture->name,
                                         .now = fixture_now,
                                         .now_data = fixture,
                                         .bulk_table = BULK_TABLE};
    char address[32];
    uint32_t i;

    memset(fixture, 0, sizeof(*fixture));
    g_snprintf(fixture->name, sizeof(fixture->name), "vm-%u", number);
    fixture->now_us = CS_SEC_US;
    fixture->direct_answer.code = CS_E_STORE_UNAVAILABLE;
    fixture->refusing.self = fixture;
    fixture->refusing.read = refuse_read;
    fixture->serving.read = serve_read;
    fixture->counters = cs_counters_create();
    settings.counters = fixture->counters;
    fixture->router = cs_store_router_create(&settings);
    for (i = 0; i < PEER_COUNT; i++) {
        g_snprintf(address, sizeof(address), "10.0.0.%u:80", i + 1);
        cs_store_router_add_peer(fixture->router, address);
    }
}

static void
fixture_dispose(struct fixture *fixture)
{
    cs_store_router_destroy(fixture->router);
    cs_counters_destroy(fixture->counters);
}

static void
read_repeatedly(struct fixture *fixture)
{
    const cs_store_port *port = cs_store_router_port(fixture->router);
    cs_row_range range = {.table = "t", .part = ""};
    uint32_t i;

    for (i = 0; i < 4; i++)
        port->read(port->self, &range, 2 * CS_SEC_US, ignore_answer, NULL);
}

static void
store_router__refused_vm_uses_a_peer(void **state)
{
    struct fixture fixture;

    fixture_init(&fixture, 1);
    read_repeatedly(&fixture);
    assert_true(cs_store_router_is_relayed(fixture.router));
    assert_string_not_equal(fixture.last_peer, "");
    fixture_dispose(&fixture);
}

/*
 * If all VMs relayed through the same peer, their calls would keep its
 * connections to the store busy. That happened with 60 VMs that all started
 * with the first peer, which was the holder of the cell.
 */
static void
store_router__refused_vms_use_different_peers(void **state)
{
    GHashTable *uses =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct fixture fixture;
    guint max_uses = 0;
    uint32_t i;

    for (i = 0; i < VM_COUNT; i++) {
        guint count;

        fixture_init(&fixture, i);
        read_repeatedly(&fixture);
        count =
            GPOINTER_TO_UINT(g_hash_table_lookup(uses, fixture.last_peer)) + 1;
        g_hash_table_replace(uses, g_strdup(fixture.last_peer),
                             GUINT_TO_POINTER(count));
        max_uses = MAX(max_uses, count);
        fixture_dispose(&fixture);
    }
    assert_true(g_hash_table_size(uses) > PEER_COUNT / 2);
    assert_true(max_uses <= 4 * VM_COUNT / PEER_COUNT);
    g_hash_table_destroy(uses);
}

static void
read_table_once(struct fixture *fixture, const char *table)
{
    const cs_store_port *port = cs_store_router_port(fixture->router);
    cs_row_range range = {.table = table, .part = ""};

    port->read(port->self, &range, 2 * CS_SEC_US, ignore_answer, NULL);
}

static void
read_once(struct fixture *fixture)
{
    read_table_once(fixture, "t");
}

/* Guards against moving the load of slow transfers to peers. */
static void
store_router__slow_transfer_keeps_the_route(void **state)
{
    struct fixture fixture;

    fixture_init(&fixture, 1);
    fixture.direct_answer.code = CS_E_OUTCOME_UNKNOWN;
    fixture.direct_answer.partial = true;
    read_repeatedly(&fixture);
    assert_false(cs_store_router_is_relayed(fixture.router));
    fixture.direct_answer.partial = false;
    read_repeatedly(&fixture);
    assert_true(cs_store_router_is_relayed(fixture.router));
    fixture_dispose(&fixture);
}

/* Guards against a return to a store that answers one call by chance. */
static void
store_router__several_probes_return_to_the_store(void **state)
{
    struct fixture fixture;
    uint32_t i;

    fixture_init(&fixture, 1);
    read_repeatedly(&fixture);
    for (i = 0; i < 9; i++) {
        /* Every third probe is refused. */
        fixture.direct_answer.code = i % 3 == 2 ? CS_E_STORE_UNAVAILABLE : 0;
        fixture.now_us += CS_SEC_US;
        read_once(&fixture);
        assert_true(cs_store_router_is_relayed(fixture.router));
    }
    fixture.direct_answer.code = 0;
    for (i = 0; i < 3; i++) {
        fixture.now_us += CS_SEC_US;
        read_once(&fixture);
    }
    assert_false(cs_store_router_is_relayed(fixture.router));
    fixture_dispose(&fixture);
}

/* Guards against changes of the route 30 to 40 times a second while neither
   the store nor a peer answers. */
static void
store_router__changes_of_the_route_are_limited(void **state)
{
    struct fixture fixture;
    uint32_t i;

    fixture_init(&fixture, 1);
    fixture.serving = fixture.refusing;
    for (i = 0; i < 1000; i++) {
        fixture.now_us += 10 * CS_MS_US;
        read_once(&fixture);
    }
    /* 4 tokens and one per 2 s. */
    assert_true(*cs_counters_get(fixture.counters,
                                 "cs_store_way_changes_total") <= 4 + 5);
    fixture_dispose(&fixture);
}

/* Guards against a VM that reads every 1.5 s, sends each read as a probe, and
   stays for good with a peer that does not answer. */
static void
store_router__silent_peer_is_left_by_a_vm_that_reads_little(void **state)
{
    struct fixture fixture;
    uint32_t i;

    fixture_init(&fixture, 1);
    fixture.serving = fixture.refusing;
    fixture.direct_answer.code = CS_E_OUTCOME_UNKNOWN;
    for (i = 0; i < 4; i++) {
        read_once(&fixture);
        fixture.now_us += 1500 * CS_MS_US;
    }
    /* To the first peer, and on to the next. */
    assert_true(
        *cs_counters_get(fixture.counters, "cs_store_way_changes_total") >= 2);
    fixture_dispose(&fixture);
}

/* Guards against a VM that makes no calls and stays with a silent peer while
   the store serves it again. */
static void
store_router__served_vm_leaves_a_silent_peer(void **state)
{
    struct fixture fixture;

    fixture_init(&fixture, 1);
    fixture.serving = fixture.refusing;
    fixture.direct_answer.code = CS_E_OUTCOME_UNKNOWN;
    read_once(&fixture);
    read_once(&fixture);
    assert_true(cs_store_router_is_relayed(fixture.router));
    fixture.direct_answer.code = 0;
    fixture.now_us += CS_SEC_US;
    cs_store_router_tick(fixture.router);
    assert_false(cs_store_router_is_relayed(fixture.router));
    fixture_dispose(&fixture);
}

/* Guards against a VM that has changed its route often in an outage and may
   not return to the store although it serves the VM again. */
static void
store_router__limits_do_not_delay_the_return_from_a_silent_peer(void **state)
{
    struct fixture fixture;
    uint32_t i;

    fixture_init(&fixture, 1);
    fixture.serving = fixture.refusing;
    fixture.direct_answer.code = CS_E_OUTCOME_UNKNOWN;
    for (i = 0; i < 1000 || !cs_store_router_is_relayed(fixture.router); i++) {
        fixture.now_us += 10 * CS_MS_US;
        read_once(&fixture);
    }
    fixture.direct_answer.code = 0;
    fixture.now_us += CS_SEC_US;
    cs_store_router_tick(fixture.router);
    assert_false(cs_store_router_is_relayed(fixture.router));
    fixture_dispose(&fixture);
}

/* Guards against a VM that waits for its configuration from a peer that has
   stopped answering, as large calls are not counted as failures. */
static void
store_router__peer_that_stops_answering_bulk_calls_is_left(void **state)
{
    struct fixture fixture;
    uint32_t i;

    fixture_init(&fixture, 1);
    read_repeatedly(&fixture);
    assert_true(cs_store_router_is_relayed(fixture.router));
    fixture.serving = fixture.refusing;
    fixture.direct_answer.code = CS_E_OUTCOME_UNKNOWN;
    for (i = 0; i < 2; i++) {
        fixture.now_us += CS_SEC_US;
        assert_int_equal(
            *cs_counters_get(fixture.counters, "cs_store_way_changes_total"),
            1);
        read_table_once(&fixture, BULK_TABLE);
    }
    assert_int_equal(
        *cs_counters_get(fixture.counters, "cs_store_way_changes_total"), 2);
    fixture_dispose(&fixture);
}

/* Guards against a VM that is refused and tries the same three refused peers
   again and again. */
static void
store_router__refused_peers_are_followed_by_others(void **state)
{
    struct fixture fixture;
    int64_t end_us;

    fixture_init(&fixture, 1);
    fixture.refused_peer_count = G_N_ELEMENTS(fixture.refused_peers);
    /* As stated in docs/design/store-routes.md. */
    end_us = fixture.now_us + 8 * CS_SEC_US;
    for (; fixture.now_us < end_us; fixture.now_us += 300 * CS_MS_US)
        read_once(&fixture);
    assert_true(cs_store_router_is_refused(fixture.router));
    fixture_dispose(&fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(store_router__refused_vm_uses_a_peer),
        cmocka_unit_test(store_router__refused_vms_use_different_peers),
        cmocka_unit_test(store_router__slow_transfer_keeps_the_route),
        cmocka_unit_test(store_router__several_probes_return_to_the_store),
        cmocka_unit_test(store_router__changes_of_the_route_are_limited),
        cmocka_unit_test(store_router__refused_peers_are_followed_by_others),
        cmocka_unit_test(
            store_router__silent_peer_is_left_by_a_vm_that_reads_little),
        cmocka_unit_test(store_router__served_vm_leaves_a_silent_peer),
        cmocka_unit_test(
            store_router__limits_do_not_delay_the_return_from_a_silent_peer),
        cmocka_unit_test(
            store_router__peer_that_stops_answering_bulk_calls_is_left),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
