#include "corianderstair/executor.h"
#include "corianderstair/dispatch_batch.h"
#include "corianderstair/errors.h"

#include <string.h>

/* A holder asks several times a second; one that is silent has lost the cell
   or uses other executors. */
#define FORGET_US (10 * CS_SEC_US)

/* A process that sends orders. */
struct sender {
    char *address;
    cs_dispatch_writer answers;
    uint64_t serial; /* of its newest message */
    bool heard;      /* since the last message to it */
    int64_t heard_us;
};

struct cs_executor {
    cs_executor_settings settings;
    GHashTable *senders; /* address to struct sender */
    GHashTable *open;    /* set of struct carried */
    struct sender *reading;
    int64_t *orders;
    int64_t *late;
    int64_t *refused;
};

/* An order that was passed on to its worker. */
struct carried {
    cs_executor *executor; /* NULL once that is gone */
    char *from;
    uint64_t number;
};

static int64_t
now_us(const cs_executor *executor)
{
    return executor->settings.now(executor->settings.now_data).boot_us;
}

static void
sender_free(gpointer data)
{
    struct sender *sender = data;

    cs_dispatch_writer_dispose(&sender->answers);
    g_free(sender->address);
    g_free(sender);
}

static struct sender *
get_sender(cs_executor *executor, const char *address)
{
    struct sender *sender = g_hash_table_lookup(executor->senders, address);

    if (sender)
        return sender;
    sender = g_new0(struct sender, 1);
    sender->address = g_strdup(address);
    cs_dispatch_writer_init(&sender->answers);
    g_hash_table_insert(executor->senders, sender->address, sender);
    return sender;
}

static void
on_done(void *data, const cs_worker_answer *answer)
{
    struct carried *carried = data;
    cs_executor *executor = carried->executor;
    struct sender *sender;

    if (executor) {
        g_hash_table_remove(executor->open, carried);
        sender = g_hash_table_lookup(executor->senders, carried->from);
        if (sender)
            cs_dispatch_add_answer(&sender->answers, carried->number, answer);
    }
    g_free(carried->from);
    g_free(carried);
}

static struct carried *
carry(cs_executor *executor, uint64_t number)
{
    struct carried *carried = g_new0(struct carried, 1);

    carried->executor = executor;
    carried->from = g_strdup(executor->reading->address);
    carried->number = number;
    g_hash_table_add(executor->open, carried);
    return carried;
}

static void
on_order(void *data, const cs_dispatch_order *order)
{
    cs_executor *executor = data;
    const cs_worker_port *port = executor->settings.workers;
    cs_worker_answer expired = {.code = CS_E_CONNECT, .clock_ms = -1};
    struct carried *carried;

    (*executor->orders)++;
    /* What was held up on the way is surely not done. */
    if (now_us(executor) >= order->deadline_us) {
        (*executor->late)++;
        cs_dispatch_add_answer(&executor->reading->answers, order->number,
                               &expired);
        return;
    }
    carried = carry(executor, order->number);
    switch (order->type) {
    case CS_DISPATCH_START:
        port->start(port->self, &order->target, &order->u.start,
                    order->deadline_us, on_done, carried);
        return;
    case CS_DISPATCH_STOP:
        port->stop(port->self, &order->target, order->u.stop.task,
                   order->u.stop.run, order->u.stop.epoch, order->deadline_us,
                   on_done, carried);
        return;
    case CS_DISPATCH_HOLD:
        port->hold(port->self, &order->target, &order->u.hold,
                   order->deadline_us, on_done, carried);
        return;
    }
}

void
cs_executor_receive(cs_executor *executor, const char *from, const void *bytes,
                    size_t size_bytes)
{
    struct sender *sender = get_sender(executor, from);
    cs_dispatch_head head;

    executor->reading = sender;
    if (cs_dispatch_read_orders(&head, bytes, size_bytes, on_order,
                                executor)) {
        (*executor->refused)++;
        return;
    }
    sender->serial = MAX(sender->serial, head.serial);
    sender->heard = true;
    sender->heard_us = now_us(executor);
}

static void
send_answers(cs_executor *executor, struct sender *sender, bool leaving)
{
    const cs_peer_link_port *link = executor->settings.link;
    GByteArray *message = g_byte_array_new();
    cs_dispatch_head head = {sender->serial, now_us(executor), leaving};

    cs_dispatch_finish(&sender->answers, message, &head);
    sender->heard = false;
    link->send(link->self, sender->address, CS_PEER_ANSWERS, message->data,
               message->len);
    g_byte_array_unref(message);
}

void
cs_executor_tick(cs_executor *executor, bool leaving)
{
    const cs_peer_link_port *link = executor->settings.link;
    int64_t now = now_us(executor);
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, executor->senders);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct sender *sender = value;

        if (now - sender->heard_us > FORGET_US) {
            link->close(link->self, sender->address);
            g_hash_table_iter_remove(&iter);
        }
        else if (sender->heard || sender->answers.count > 0) {
            send_answers(executor, sender, leaving);
        }
    }
}

cs_executor *
cs_executor_create(const cs_executor_settings *settings)
{
    cs_executor *executor = g_new0(cs_executor, 1);
    cs_counters *counters = settings->counters;

    executor->settings = *settings;
    executor->senders =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, sender_free);
    executor->open = g_hash_table_new(g_direct_hash, g_direct_equal);
    executor->orders = cs_counters_get(counters, "cs_executor_orders_total");
    executor->late = cs_counters_get(counters, "cs_executor_late_total");
    executor->refused = cs_counters_get(counters, "cs_executor_refused_total");
    return executor;
}

void
cs_executor_destroy(cs_executor *executor)
{
    GHashTableIter iter;
    gpointer carried;

    if (!executor)
        return;
    g_hash_table_iter_init(&iter, executor->open);
    while (g_hash_table_iter_next(&iter, &carried, NULL))
        ((struct carried *)carried)->executor = NULL;
    g_hash_table_destroy(executor->open);
    g_hash_table_destroy(executor->senders);
    g_free(executor);
}
