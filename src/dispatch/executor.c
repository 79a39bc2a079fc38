/* Executes orders that the holder of the cell relays through this VM. */
#include "corianderstair/executor.h"
#include "corianderstair/dispatch_batch.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"

#include <inttypes.h>
#include <string.h>

/* A holder sends a batch several times a second. One that is silent has lost
   the cell or uses other executors. */
#define SENDER_TIMEOUT_US (10 * CS_SEC_US)
/* An executor that is cut off from the store must not refuse starts in a zone
   that was returned meanwhile. Past this age it relies on the holder, which
   does not start tasks without a current set. */
#define EVACUATIONS_AGE_MAX_US (5 * CS_SEC_US)

/* A process that sends orders: the holder of the cell, or a former one. One
   that was restarted, or holds the cell again, is another sender. */
struct sender {
    char *address;
    uint64_t session;           /* 0 for holders of older versions */
    cs_batch_writer answers;    /* not sent yet */
    uint64_t received_sequence; /* of its newest batch; sent back as the ack */
    bool needs_ack;             /* a batch arrived since the last reply */
    int64_t last_heard_us;      /* boot clock */
};

struct cs_executor {
    cs_executor_settings settings;
    GPtrArray *senders;            /* of struct sender */
    GHashTable *open_calls;        /* set of struct worker_call */
    struct sender *current_sender; /* of the batch that is being read */
    bool current_is_misdirected;   /* it is for another process */
    int64_t *orders_total;
    int64_t *late_total;        /* orders that arrived past their deadline */
    int64_t *refused_total;     /* batches that could not be decoded */
    int64_t *withheld_total;    /* starts in evacuated zones */
    int64_t *misdirected_total; /* orders for a former process */
};

/* A call to a worker whose answer is outstanding. */
struct worker_call {
    cs_executor *executor; /* NULL once it has been destroyed */
    char *sender_address;
    uint64_t sender_session;
    uint64_t order_id;
    char *start; /* what the log says of a start order; NULL for others */
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

    cs_batch_writer_dispose(&sender->answers);
    g_free(sender->address);
    g_free(sender);
}

static struct sender *
find_sender(const cs_executor *executor, const char *address, uint64_t session)
{
    guint i;

    for (i = 0; i < executor->senders->len; i++) {
        struct sender *sender = g_ptr_array_index(executor->senders, i);

        if (sender->session == session &&
            strcmp(sender->address, address) == 0)
            return sender;
    }
    return NULL;
}

/* Returns the sender of a session; creates it if there is none. */
static struct sender *
get_sender(cs_executor *executor, const char *address, uint64_t session)
{
    struct sender *sender = find_sender(executor, address, session);

    if (sender)
        return sender;
    sender = g_new0(struct sender, 1);
    sender->address = g_strdup(address);
    sender->session = session;
    cs_batch_writer_init(&sender->answers);
    g_ptr_array_add(executor->senders, sender);
    return sender;
}

static void
on_done(void *user_data, const cs_worker_answer *answer)
{
    struct worker_call *call = user_data;
    cs_executor *executor = call->executor;
    struct sender *sender;

    if (call->start && answer->code)
        cs_log_event("relayed-start-failed", "%s: %s, refusal %d", call->start,
                     cs_error_name(answer->code), (int)answer->refusal);
    if (executor) {
        g_hash_table_remove(executor->open_calls, call);
        sender =
            find_sender(executor, call->sender_address, call->sender_session);
        if (sender)
            cs_batch_add_answer(&sender->answers, call->order_id, answer);
    }
    g_free(call->sender_address);
    g_free(call->start);
    g_free(call);
}

/* Tracks a call for an order of the current sender. */
static struct worker_call *
begin_call(cs_executor *executor, uint64_t order_id)
{
    struct worker_call *call = g_new0(struct worker_call, 1);

    call->executor = executor;
    call->sender_address = g_strdup(executor->current_sender->address);
    call->sender_session = executor->current_sender->session;
    call->order_id = order_id;
    g_hash_table_add(executor->open_calls, call);
    return call;
}

/* Answers that nothing was sent, so the holder may retry safely. */
static void
drop_order(cs_executor *executor, const cs_dispatch_order *order)
{
    cs_worker_answer not_sent = {.code = CS_E_CONNECT, .clock_ms = -1};

    cs_batch_add_answer(&executor->current_sender->answers, order->id,
                        &not_sent);
}

static bool
is_start_in_evacuated_zone(const cs_executor *executor,
                           const cs_dispatch_order *order)
{
    const cs_evacuations *evacuations = executor->settings.evacuations;

    return order->type == CS_DISPATCH_START &&
           cs_evacuations_contains(evacuations, order->target.zone) &&
           cs_evacuations_is_current(evacuations, now_us(executor),
                                     EVACUATIONS_AGE_MAX_US);
}

/* Returns what the log says of a start order, to be freed with g_free, or NULL
   for an order of another type. */
static char *
describe_start(const cs_executor *executor, const cs_dispatch_order *order)
{
    const cs_start_order *start = &order->u.start;

    if (order->type != CS_DISPATCH_START)
        return NULL;
    return g_strdup_printf("task %.60s run %" PRIu32
                           " worker %.60s epoch %" PRIu64
                           " from %s session %" PRIx64 " order %" PRIu64,
                           start->task, start->run, order->target.incarnation,
                           start->epoch, executor->current_sender->address,
                           executor->current_sender->session, order->id);
}

/* Logs a start order that is not sent to its worker. */
static void
log_dropped_start(const cs_executor *executor, const cs_dispatch_order *order,
                  const char *reason)
{
    char *start = describe_start(executor, order);

    if (start)
        cs_log_event("relayed-start-dropped",
                     "%s: %s, deadline in %" PRId64 " ms", start, reason,
                     (order->deadline_us - now_us(executor)) / CS_MS_US);
    g_free(start);
}

static void
on_order(void *user_data, const cs_dispatch_order *order)
{
    cs_executor *executor = user_data;
    const cs_worker_port *port = executor->settings.workers;
    struct worker_call *call;

    if (executor->current_is_misdirected) {
        (*executor->misdirected_total)++;
        log_dropped_start(executor, order, "for another process");
        return;
    }
    (*executor->orders_total)++;
    if (now_us(executor) >= order->deadline_us) {
        (*executor->late_total)++;
        log_dropped_start(executor, order, "late");
        drop_order(executor, order);
        return;
    }
    if (is_start_in_evacuated_zone(executor, order)) {
        (*executor->withheld_total)++;
        log_dropped_start(executor, order, "zone evacuated");
        drop_order(executor, order);
        return;
    }
    call = begin_call(executor, order->id);
    switch (order->type) {
    case CS_DISPATCH_START:
        call->start = describe_start(executor, order);
        cs_log_event("relayed-start-sent", "%s, deadline in %" PRId64 " ms",
                     call->start,
                     (order->deadline_us - now_us(executor)) / CS_MS_US);
        port->start(port->self, &order->target, &order->u.start,
                    order->deadline_us, on_done, call);
        return;
    case CS_DISPATCH_STOP:
        port->stop(port->self, &order->target, order->u.stop.task,
                   order->u.stop.run, order->u.stop.epoch, order->deadline_us,
                   on_done, call);
        return;
    case CS_DISPATCH_HEARTBEAT:
        port->heartbeat(port->self, &order->target, &order->u.heartbeat,
                        order->deadline_us, on_done, call);
        return;
    }
}

void
cs_executor_receive(cs_executor *executor, const char *sender_address,
                    const void *bytes, size_t size_bytes)
{
    struct sender *sender;
    cs_batch_header header;

    if (cs_batch_read_header(&header, bytes, size_bytes)) {
        (*executor->refused_total)++;
        return;
    }
    sender = get_sender(executor, sender_address, header.session);
    executor->current_sender = sender;
    /* The deadlines of such orders are not on this process's clock. */
    executor->current_is_misdirected =
        header.session &&
        header.receiver_session != executor->settings.session;
    cs_batch_read_orders(&header, bytes, size_bytes, on_order, executor);
    sender->received_sequence =
        MAX(sender->received_sequence, header.sequence);
    sender->needs_ack = true;
    sender->last_heard_us = now_us(executor);
}

static void
send_answers(cs_executor *executor, struct sender *sender, bool draining)
{
    const cs_peer_link_port *link = executor->settings.link;
    GByteArray *batch = g_byte_array_new();
    cs_batch_header header = {.sequence = sender->received_sequence,
                              .sender_clock_us = now_us(executor),
                              .draining = draining,
                              .session = executor->settings.session,
                              .receiver_session = sender->session};

    cs_batch_finish(&sender->answers, batch, &header);
    sender->needs_ack = false;
    link->send(link->self, sender->address, CS_PEER_ANSWERS, batch->data,
               batch->len);
    g_byte_array_unref(batch);
}

static bool
has_sender_at(const cs_executor *executor, const char *address)
{
    guint i;

    for (i = 0; i < executor->senders->len; i++) {
        const struct sender *sender = g_ptr_array_index(executor->senders, i);

        if (strcmp(sender->address, address) == 0)
            return true;
    }
    return false;
}

/* Removes a silent sender, and closes its connection unless another session at
   its address uses it. */
static void
remove_sender(cs_executor *executor, guint index)
{
    const cs_peer_link_port *link = executor->settings.link;
    struct sender *sender = g_ptr_array_steal_index(executor->senders, index);

    if (!has_sender_at(executor, sender->address))
        link->close(link->self, sender->address);
    sender_free(sender);
}

void
cs_executor_tick(cs_executor *executor, bool draining)
{
    int64_t now = now_us(executor);
    guint i = 0;

    while (i < executor->senders->len) {
        struct sender *sender = g_ptr_array_index(executor->senders, i);

        if (now - sender->last_heard_us > SENDER_TIMEOUT_US) {
            remove_sender(executor, i);
            continue;
        }
        if (sender->needs_ack || sender->answers.count > 0)
            send_answers(executor, sender, draining);
        i++;
    }
}

cs_executor *
cs_executor_create(const cs_executor_settings *settings)
{
    cs_executor *executor = g_new0(cs_executor, 1);
    cs_counters *counters = settings->counters;

    executor->settings = *settings;
    executor->senders = g_ptr_array_new_with_free_func(sender_free);
    executor->open_calls = g_hash_table_new(g_direct_hash, g_direct_equal);
    executor->orders_total =
        cs_counters_get(counters, "cs_executor_orders_total");
    executor->late_total = cs_counters_get(counters, "cs_executor_late_total");
    executor->refused_total =
        cs_counters_get(counters, "cs_executor_refused_total");
    executor->withheld_total =
        cs_counters_get(counters, "cs_executor_withheld_total");
    executor->misdirected_total =
        cs_counters_get(counters, "cs_executor_misdirected_total");
    return executor;
}

void
cs_executor_destroy(cs_executor *executor)
{
    GHashTableIter iter;
    gpointer call;

    if (!executor)
        return;
    g_hash_table_iter_init(&iter, executor->open_calls);
    while (g_hash_table_iter_next(&iter, &call, NULL))
        ((struct worker_call *)call)->executor = NULL;
    g_hash_table_destroy(executor->open_calls);
    g_ptr_array_free(executor->senders, TRUE);
    g_free(executor);
}
