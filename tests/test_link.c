/* Peer links that exchange messages over the loopback interface. */
#include "corianderstair/clock.h"
#include "corianderstair/errors.h"
#include "corianderstair/peer_link.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

/* How long to wait for a message before the test fails. */
#define RECEIVE_TIMEOUT_US (20 * CS_SEC_US)

/* A link with the number of messages that it has received, and the newest. */
struct test_peer {
    cs_peer_link *link;
    cs_counters *counters;
    uint32_t received;
    uint8_t kind;
    char text[64];
    char sender_address[64];
};

static void
on_received(void *user_data, const char *sender_address, uint8_t kind,
            const void *bytes, size_t size_bytes)
{
    struct test_peer *peer = user_data;

    peer->received++;
    peer->kind = kind;
    g_strlcpy(peer->sender_address, sender_address,
              sizeof(peer->sender_address));
    memcpy(peer->text, bytes, MIN(size_bytes, sizeof(peer->text) - 1));
}

static void
peer_init(struct test_peer *peer, const char *address)
{
    memset(peer, 0, sizeof(*peer));
    peer->counters = cs_counters_create();
    assert_int_equal(cs_peer_link_create(&peer->link, peer->counters, address,
                                         on_received, peer),
                     0);
}

static void
peer_dispose(struct test_peer *peer)
{
    cs_peer_link_destroy(peer->link);
    cs_counters_destroy(peer->counters);
}

static void
send_text(struct test_peer *peer, const char *address, uint8_t kind,
          const char *text)
{
    const cs_peer_link_port *port = cs_peer_link_port_of(peer->link);

    port->send(port->self, address, kind, text, strlen(text));
}

/* Runs the main loop and the link until a peer has received a number of
   messages. */
static void
wait_received(struct test_peer *peer, uint32_t count)
{
    int64_t deadline_us = cs_clock_boot_us() + RECEIVE_TIMEOUT_US;

    while (peer->received < count) {
        assert_true(cs_clock_boot_us() < deadline_us);
        while (g_main_context_iteration(NULL, FALSE))
            ;
        cs_peer_link_tick(peer->link);
        g_usleep(1000);
    }
}

static void
link__message_carries_its_sender(void **state)
{
    struct test_peer holder;
    struct test_peer executor;

    peer_init(&holder, "127.0.0.1:0");
    peer_init(&executor, "127.0.0.1:0");
    send_text(&holder, cs_peer_link_address(executor.link), CS_PEER_ORDERS,
              "orders");
    wait_received(&executor, 1);
    assert_int_equal(executor.kind, CS_PEER_ORDERS);
    assert_string_equal(executor.text, "orders");
    assert_string_equal(executor.sender_address,
                        cs_peer_link_address(holder.link));
    send_text(&executor, executor.sender_address, CS_PEER_ANSWERS, "answers");
    wait_received(&holder, 1);
    assert_int_equal(holder.kind, CS_PEER_ANSWERS);
    assert_string_equal(holder.text, "answers");
    peer_dispose(&holder);
    peer_dispose(&executor);
}

/* A peer that has restarted at the same address receives messages again, after
   the sender has closed the old connection. */
static void
link__restarted_peer_is_reached_after_close(void **state)
{
    char address[64];
    struct test_peer sender;
    struct test_peer receiver;

    peer_init(&sender, "127.0.0.1:0");
    peer_init(&receiver, "127.0.0.1:0");
    g_strlcpy(address, cs_peer_link_address(receiver.link), sizeof(address));
    send_text(&sender, address, CS_PEER_ORDERS, "one");
    wait_received(&receiver, 1);
    peer_dispose(&receiver);
    cs_peer_link_port_of(sender.link)->close(sender.link, address);
    peer_init(&receiver, address);
    send_text(&sender, address, CS_PEER_ORDERS, "two");
    wait_received(&receiver, 1);
    assert_string_equal(receiver.text, "two");
    peer_dispose(&sender);
    peer_dispose(&receiver);
}

static void
link__invalid_address_is_rejected(void **state)
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
        cmocka_unit_test(link__message_carries_its_sender),
        cmocka_unit_test(link__restarted_peer_is_reached_after_close),
        cmocka_unit_test(link__invalid_address_is_rejected),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
