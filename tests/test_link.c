/* Messages between processes, over loopback. */
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/peer_link.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* How long a message may take before the test fails. */
#define WAIT_US (20 * CS_SEC_US)

struct end {
    cs_peer_link *link;
    cs_counters *counters;
    uint32_t received;
    uint8_t kind;
    char text[64];
    char from[64];
};

static void
on_received(void *data, const char *from, uint8_t kind, const void *bytes,
            size_t size_bytes)
{
    struct end *end = data;

    end->received++;
    end->kind = kind;
    g_strlcpy(end->from, from, sizeof(end->from));
    memcpy(end->text, bytes, MIN(size_bytes, sizeof(end->text) - 1));
}

static void
end_init(struct end *end, const char *address)
{
    memset(end, 0, sizeof(*end));
    end->counters = cs_counters_create();
    assert_int_equal(cs_peer_link_create(&end->link, end->counters, address,
                                         on_received, end),
                     0);
}

static void
end_dispose(struct end *end)
{
    cs_peer_link_destroy(end->link);
    cs_counters_destroy(end->counters);
}

static void
send_text(struct end *end, const char *address, uint8_t kind, const char *text)
{
    const cs_peer_link_port *port = cs_peer_link_port_of(end->link);

    port->send(port->self, address, kind, text, strlen(text));
}

/* Turns both loops until a number of messages has come. */
static void
wait_received(struct end *end, uint32_t count)
{
    int64_t until_us = cs_clock_boot_us() + WAIT_US;

    while (end->received < count) {
        assert_true(cs_clock_boot_us() < until_us);
        while (g_main_context_iteration(NULL, FALSE))
            ;
        cs_peer_link_tick(end->link);
        g_usleep(1000);
    }
}

static void
link__message_names_its_sender(void **state)
{
    struct end a;
    struct end b;

    end_init(&a, "127.0.0.1:0");
    end_init(&b, "127.0.0.1:0");
    send_text(&a, cs_peer_link_address(b.link), CS_PEER_ORDERS, "orders");
    wait_received(&b, 1);
    assert_int_equal(b.kind, CS_PEER_ORDERS);
    assert_string_equal(b.text, "orders");
    assert_string_equal(b.from, cs_peer_link_address(a.link));
    send_text(&b, b.from, CS_PEER_ANSWERS, "answers");
    wait_received(&a, 1);
    assert_int_equal(a.kind, CS_PEER_ANSWERS);
    assert_string_equal(a.text, "answers");
    end_dispose(&a);
    end_dispose(&b);
}

/* A peer that has started anew at its address is reached after a close. */
static void
link__peer_is_reached_again(void **state)
{
    char address[64];
    struct end a;
    struct end b;

    end_init(&a, "127.0.0.1:0");
    end_init(&b, "127.0.0.1:0");
    g_strlcpy(address, cs_peer_link_address(b.link), sizeof(address));
    send_text(&a, address, CS_PEER_ORDERS, "one");
    wait_received(&b, 1);
    end_dispose(&b);
    cs_peer_link_port_of(a.link)->close(a.link, address);
    end_init(&b, address);
    send_text(&a, address, CS_PEER_ORDERS, "two");
    wait_received(&b, 1);
    assert_string_equal(b.text, "two");
    end_dispose(&a);
    end_dispose(&b);
}

static void
link__wrong_address_is_refused(void **state)
{
    cs_counters *counters = cs_counters_create();
    cs_peer_link *link = NULL;

    assert_int_equal(
        cs_peer_link_create(&link, counters, "nowhere", on_received, NULL),
        CS_E_SYSTEM);
    assert_null(link);
    cs_counters_destroy(counters);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(link__message_names_its_sender),
        cmocka_unit_test(link__peer_is_reached_again),
        cmocka_unit_test(link__wrong_address_is_refused),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
