/* Ways to a store that turns VMs away. */
#include "corianderstair/errors.h"
#include "corianderstair/store_router.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define PEERS 20
#define VMS 60

/* One VM's router; the store refuses its direct calls. */
struct bench {
    cs_store_port refusing;
    cs_store_port serving;
    cs_store_router *router;
    cs_counters *counters;
    char name[16];
    char opened[32]; /* the last peer that was used */
};

static cs_now
bench_now(void *user_data)
{
    cs_now now = {CS_SEC_US, CS_SEC_US};

    return now;
}

static void
refuse(void *self, const cs_row_range *range, int64_t deadline_us,
       cs_store_done done, void *user_data)
{
    cs_store_answer answer = {.code = CS_E_STORE};

    done(user_data, &answer);
}

static void
serve(void *self, const cs_row_range *range, int64_t deadline_us,
      cs_store_done done, void *user_data)
{
    cs_store_answer answer = {.code = 0};

    done(user_data, &answer);
}

static const cs_store_port *
open_peer(void *user_data, const char *address)
{
    struct bench *bench = user_data;

    g_strlcpy(bench->opened, address, sizeof(bench->opened));
    return &bench->serving;
}

static void
ignore(void *user_data, const cs_store_answer *answer)
{
}

static void
bench_init(struct bench *bench, uint32_t number)
{
    cs_store_router_settings settings = {.direct = &bench->refusing,
                                         .open = open_peer,
                                         .open_data = bench,
                                         .own_name = bench->name,
                                         .now = bench_now};
    char address[32];
    uint32_t i;

    memset(bench, 0, sizeof(*bench));
    g_snprintf(bench->name, sizeof(bench->name), "vm-%u", number);
    bench->refusing.read = refuse;
    bench->serving.read = serve;
    bench->counters = cs_counters_create();
    settings.counters = bench->counters;
    bench->router = cs_store_router_create(&settings);
    for (i = 0; i < PEERS; i++) {
        g_snprintf(address, sizeof(address), "10.0.0.%u:80", i + 1);
        cs_store_router_add_peer(bench->router, address);
    }
}

static void
bench_dispose(struct bench *bench)
{
    cs_store_router_destroy(bench->router);
    cs_counters_destroy(bench->counters);
}

static void
read_some(struct bench *bench)
{
    const cs_store_port *port = cs_store_router_port(bench->router);
    cs_row_range range = {.table = "t", .part = ""};
    uint32_t i;

    for (i = 0; i < 4; i++)
        port->read(port->self, &range, 2 * CS_SEC_US, ignore, NULL);
}

static void
store_router__refused_vm_uses_a_peer(void **state)
{
    struct bench bench;

    bench_init(&bench, 1);
    read_some(&bench);
    assert_true(cs_store_router_is_relayed(bench.router));
    assert_string_not_equal(bench.opened, "");
    bench_dispose(&bench);
}

/* 60 VMs that all began with the first peer kept its connections to the store
   busy; it was the holder. */
static void
store_router__refused_vms_use_different_peers(void **state)
{
    GHashTable *uses =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct bench bench;
    guint most = 0;
    uint32_t i;

    for (i = 0; i < VMS; i++) {
        guint count;

        bench_init(&bench, i);
        read_some(&bench);
        count = GPOINTER_TO_UINT(g_hash_table_lookup(uses, bench.opened)) + 1;
        g_hash_table_replace(uses, g_strdup(bench.opened),
                             GUINT_TO_POINTER(count));
        most = MAX(most, count);
        bench_dispose(&bench);
    }
    assert_true(g_hash_table_size(uses) > PEERS / 2);
    assert_true(most <= 4 * VMS / PEERS);
    g_hash_table_destroy(uses);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(store_router__refused_vm_uses_a_peer),
        cmocka_unit_test(store_router__refused_vms_use_different_peers),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
