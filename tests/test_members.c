/* Tests what a VM learns from the rows of the others, on a virtual clock. */
#include "corianderstair/members.h"
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* The names of zone a sort before those of zone b, as do more of them than the
   first read returns. */
#define ZONE_A_VMS 70
#define ZONE_B_VMS 30
#define VMS (ZONE_A_VMS + ZONE_B_VMS)
/* Longer than the latest time of the read of all rows. */
#define ALL_ROWS_READ_US (13 * CS_SEC_US)
#define TICK_US (100 * CS_MS_US)

/* A store with the rows of all VMs, and the process of one VM. */
struct fixture {
    int64_t now_us;
    GByteArray *values[VMS];
    char names[VMS][16];
    bool refuses;
    uint32_t vm;
    bool used_zone_b;
    cs_store_port store;
    cs_store_port peer;
    cs_counters *counters;
    cs_store_router *router;
    cs_fleet_state state;
    cs_members *members;
};

static cs_now
fixture_now(void *user_data)
{
    const struct fixture *fixture = user_data;
    cs_now now = {fixture->now_us, fixture->now_us};

    return now;
}

static void
store_read(void *self, const cs_row_range *range, int64_t deadline_us,
           cs_store_done done, void *user_data)
{
    const struct fixture *fixture = self;
    cs_row rows[VMS];
    cs_store_answer answer = {.now_ms = fixture->now_us / CS_MS_US,
                              .rows = rows};
    uint32_t i;

    memset(rows, 0, sizeof(rows));
    if (fixture->refuses)
        answer.code = CS_E_STORE_UNAVAILABLE;
    for (i = 0; i < VMS && !answer.code && fixture->values[i]; i++) {
        if (range->limit && i == range->limit) {
            answer.has_more = true;
            break;
        }
        rows[i].key = fixture->names[i];
        rows[i].value = fixture->values[i]->data;
        rows[i].size_bytes = fixture->values[i]->len;
        answer.row_count++;
    }
    done(user_data, &answer);
}

static void
store_change(void *self, const cs_row_change *change, int64_t deadline_us,
             cs_store_done done, void *user_data)
{
    struct fixture *fixture = self;
    cs_store_answer answer = {.now_ms = fixture->now_us / CS_MS_US};

    if (!fixture->values[fixture->vm]) {
        fixture->values[fixture->vm] = g_byte_array_new();
        g_byte_array_append(fixture->values[fixture->vm],
                            change->puts[0].value,
                            (guint)change->puts[0].size_bytes);
    }
    done(user_data, &answer);
}

static void
peer_read(void *self, const cs_row_range *range, int64_t deadline_us,
          cs_store_done done, void *user_data)
{
    cs_store_answer answer = {.code = 0};

    done(user_data, &answer);
}

static void
peer_change(void *self, const cs_row_change *change, int64_t deadline_us,
            cs_store_done done, void *user_data)
{
    cs_store_answer answer = {.code = 0};

    done(user_data, &answer);
}

static const cs_store_port *
open_peer(void *user_data, const char *address)
{
    struct fixture *fixture = user_data;

    fixture->used_zone_b |= g_str_has_prefix(address, "10.0.1.");
    return &fixture->peer;
}

static void
start_vm(struct fixture *fixture, uint32_t vm)
{
    cs_store_router_settings router_settings = {.direct = &fixture->store,
                                                .open_relay = open_peer,
                                                .open_relay_data = fixture,
                                                .own_name = fixture->names[vm],
                                                .now = fixture_now,
                                                .now_data = fixture};
    cs_fleet_ports ports = {.now = fixture_now,
                            .now_data = fixture,
                            .evacuation_prefix = "evacuate/"};
    cs_vm_settings settings = {0};
    bool in_a = vm < ZONE_A_VMS;

    fixture->vm = vm;
    fixture->counters = cs_counters_create();
    router_settings.counters = fixture->counters;
    fixture->router = cs_store_router_create(&router_settings);
    ports.store = cs_store_router_port(fixture->router);
    g_strlcpy(settings.name, fixture->names[vm], sizeof(settings.name));
    g_strlcpy(settings.zone, in_a ? "a" : "b", sizeof(settings.zone));
    g_snprintf(settings.peer_address, sizeof(settings.peer_address),
               "10.0.%u.%u:80", in_a ? 0 : 1, vm + 1);
    settings.cpu_share = in_a ? 0.3 : 0.5;
    cs_fleet_state_init(&fixture->state, &ports, &settings, fixture->counters);
    fixture->members = cs_members_create(&fixture->state, fixture->router);
}

static void
run_vm(struct fixture *fixture, int64_t duration_us)
{
    int64_t end_us = fixture->now_us + duration_us;

    for (; fixture->now_us < end_us; fixture->now_us += TICK_US)
        cs_members_tick(fixture->members);
}

static void
end_vm(struct fixture *fixture)
{
    cs_members_destroy(fixture->members);
    cs_fleet_state_dispose(&fixture->state);
    cs_store_router_destroy(fixture->router);
    cs_counters_destroy(fixture->counters);
}

static void
fixture_init(struct fixture *fixture)
{
    uint32_t vm;

    memset(fixture, 0, sizeof(*fixture));
    fixture->now_us = 1000 * CS_SEC_US;
    fixture->store.self = fixture;
    fixture->store.read = store_read;
    fixture->store.change = store_change;
    fixture->peer.read = peer_read;
    fixture->peer.change = peer_change;
    for (vm = 0; vm < VMS; vm++) {
        g_snprintf(fixture->names[vm], sizeof(fixture->names[vm]), "%s-%02u",
                   vm < ZONE_A_VMS ? "a" : "b", vm);
        start_vm(fixture, vm);
        run_vm(fixture, 2 * TICK_US);
        end_vm(fixture);
        assert_non_null(fixture->values[vm]);
    }
}

static void
fixture_dispose(struct fixture *fixture)
{
    uint32_t vm;

    for (vm = 0; vm < VMS; vm++)
        g_byte_array_unref(fixture->values[vm]);
}

/* Guards against routers whose list of peers is full after the limited first
   read, with VMs of one zone only: if that zone is cut off from the store,
   none of its VMs reaches it through another zone. */
static void
members__restarted_vms_have_peers_in_other_zones(void **state)
{
    struct fixture fixture;
    int64_t start_us;
    uint32_t users = 0; /* VMs that used a peer of zone b */
    uint32_t vm;

    fixture_init(&fixture);
    start_us = fixture.now_us;
    for (vm = ZONE_A_VMS / 2; vm < ZONE_A_VMS; vm++) {
        fixture.refuses = false;
        fixture.used_zone_b = false;
        /* The rows of the other VMs must not be stale. */
        fixture.now_us = start_us;
        start_vm(&fixture, vm);
        run_vm(&fixture, ALL_ROWS_READ_US);
        fixture.refuses = true;
        run_vm(&fixture, 40 * CS_SEC_US);
        end_vm(&fixture);
        users += fixture.used_zone_b;
    }
    /* The share of zone b in all VMs, whose strongest it has. */
    assert_true(users * VMS >= (VMS - ZONE_A_VMS) * ZONE_A_VMS / 2);
    fixture_dispose(&fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(members__restarted_vms_have_peers_in_other_zones),
    };

    cs_log_silence();
    return cmocka_run_group_tests(tests, NULL, NULL);
}
