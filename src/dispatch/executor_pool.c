/*
 * Selection and monitoring of the executors. Each zone gets as many as its
 * share of the workers needs, the strongest VMs first. Executors acknowledge
 * every batch, so one that is lost, frozen or overloaded is detected quickly
 * and its workers move to others.
 */
#include "dispatch_internal.h"
#include "corianderstair/log.h"

#include <string.h>

/* This many workers cost an executor 3% of a core at full load: 1.2 calls per
   second and worker, 0.35 ms each (docs/design/scale.md). */
#define WORKERS_PER_EXECUTOR 75
#define POOL_GROW_INTERVAL_US (500 * CS_MS_US)
#define KEEPALIVE_INTERVAL_US (200 * CS_MS_US)
/* Well above one main loop iteration of an executor, and shorter than the
   timeout of an order. */
#define ACK_TIMEOUT_US (700 * CS_MS_US)
/* How long an executor that is down is left alone. */
#define RETRY_DELAY_US (2 * CS_SEC_US)

void
remote_executor_free(gpointer data)
{
    struct remote_executor *executor = data;

    cs_batch_writer_dispose(&executor->pending_orders);
    g_free(executor);
}

struct remote_executor *
executor_pool_find(const cs_dispatch *dispatch, const char *address)
{
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        struct remote_executor *executor =
            g_ptr_array_index(dispatch->executors, i);

        if (strcmp(executor->address, address) == 0)
            return executor;
    }
    return NULL;
}

static void
executor_pool_add(cs_dispatch *dispatch, const cs_member *member)
{
    struct remote_executor *executor = g_new0(struct remote_executor, 1);

    g_strlcpy(executor->address, member->link_address,
              sizeof(executor->address));
    g_strlcpy(executor->zone, member->zone, sizeof(executor->zone));
    executor->cpu_milli = MAX(member->cpu_milli, 1);
    cs_batch_writer_init(&executor->pending_orders);
    g_ptr_array_add(dispatch->executors, executor);
}

/* Counts the zone's executors that are up or due for another attempt. */
static uint32_t
count_available(const cs_dispatch *dispatch, const char *zone, int64_t now_us)
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        const struct remote_executor *executor =
            g_ptr_array_index(dispatch->executors, i);

        if (strcmp(executor->zone, zone) == 0 && !executor->draining &&
            (executor->up || now_us >= executor->retry_at_us))
            count++;
    }
    return count;
}

/* Counts the zones that have at least one VM. */
static uint32_t
count_zones(const GPtrArray *members)
{
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    uint32_t count;
    guint i;

    for (i = 0; i < members->len; i++) {
        const cs_member *member = g_ptr_array_index(members, i);

        g_hash_table_add(zones, (gpointer)member->zone);
    }
    count = g_hash_table_size(zones);
    g_hash_table_destroy(zones);
    return count;
}

void
executor_pool_grow(cs_dispatch *dispatch, int64_t now_us)
{
    const GPtrArray *members = cs_members_list(dispatch->settings.members);
    uint32_t worker_count = dispatch->worker_count;
    uint32_t zone_count;
    uint32_t target_per_zone;
    guint i;

    if (now_us < dispatch->next_pool_grow_us ||
        worker_count <= dispatch->settings.max_direct_workers)
        return;
    dispatch->next_pool_grow_us = now_us + POOL_GROW_INTERVAL_US;
    zone_count = MAX(count_zones(members), 1);
    target_per_zone = (worker_count + zone_count * WORKERS_PER_EXECUTOR - 1) /
                      (zone_count * WORKERS_PER_EXECUTOR);
    for (i = 0; i < members->len; i++) {
        const cs_member *member = g_ptr_array_index(members, i);

        if (!member->link_address[0] ||
            strcmp(member->name, dispatch->settings.own_name) == 0 ||
            executor_pool_find(dispatch, member->link_address))
            continue;
        if (count_available(dispatch, member->zone, now_us) < target_per_zone)
            executor_pool_add(dispatch, member);
    }
}

static void
send_orders(cs_dispatch *dispatch, struct remote_executor *executor,
            int64_t now_us)
{
    const cs_peer_link_port *link = dispatch->settings.link;
    GByteArray *batch = g_byte_array_new();
    cs_batch_header header = {.sequence = ++executor->sent_sequence,
                              .sender_clock_us = now_us,
                              .session = dispatch->session,
                              .receiver_session = executor->session};

    cs_batch_finish(&executor->pending_orders, batch, &header);
    executor->last_sent_us = now_us;
    if (executor->unacked_sequence == 0) {
        executor->unacked_sequence = executor->sent_sequence;
        executor->unacked_since_us = now_us;
    }
    link->send(link->self, executor->address, CS_PEER_ORDERS, batch->data,
               batch->len);
    g_byte_array_unref(batch);
}

void
executor_pool_flush(cs_dispatch *dispatch, int64_t now_us)
{
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        struct remote_executor *executor =
            g_ptr_array_index(dispatch->executors, i);

        if (!executor->up && now_us < executor->retry_at_us)
            continue;
        if (executor->pending_orders.count > 0 ||
            now_us - executor->last_sent_us >= KEEPALIVE_INTERVAL_US)
            send_orders(dispatch, executor, now_us);
    }
}

/* Fails the executor's open calls and takes it off its routes. It gets no
   batch before retry_at_us. */
static void
remote_executor_down(cs_dispatch *dispatch, struct remote_executor *executor,
                     int64_t now_us, const char *reason)
{
    const cs_peer_link_port *link = dispatch->settings.link;

    if (executor->up && !executor->draining) {
        cs_log_event("executor-lost", "%s in zone %s with %u workers: %s",
                     executor->address, executor->zone, executor->route_count,
                     reason);
        (*dispatch->executors_lost_total)++;
    }
    executor->up = false;
    executor->session = 0;
    executor->draining = false;
    executor->unacked_sequence = 0;
    executor->retry_at_us = now_us + RETRY_DELAY_US;
    link->close(link->self, executor->address);
    cs_batch_writer_dispose(&executor->pending_orders);
    cs_batch_writer_init(&executor->pending_orders);
    unassign_routes(dispatch, executor);
    fail_open_calls(dispatch, executor);
}

void
executor_pool_check_timeouts(cs_dispatch *dispatch, int64_t now_us)
{
    char reason[64];
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        struct remote_executor *executor =
            g_ptr_array_index(dispatch->executors, i);
        int64_t unacked_us = now_us - executor->unacked_since_us;

        if (!executor->unacked_sequence || unacked_us <= ACK_TIMEOUT_US)
            continue;
        g_snprintf(reason, sizeof(reason),
                   "no acknowledgement for %" G_GINT64_FORMAT " ms",
                   unacked_us / CS_MS_US);
        remote_executor_down(dispatch, executor, now_us, reason);
    }
}

bool
remote_executor_accepts(cs_dispatch *dispatch,
                        struct remote_executor *executor,
                        const cs_batch_header *header, int64_t now_us)
{
    /* Executors of older versions do not name the holder's session. */
    if (header->session && header->receiver_session != dispatch->session) {
        (*dispatch->stale_total)++;
        return false;
    }
    if (executor->up && header->session != executor->session) {
        remote_executor_down(dispatch, executor, now_us,
                             "another process answers");
        return false;
    }
    return now_us >= executor->retry_at_us;
}

void
remote_executor_update(cs_dispatch *dispatch, struct remote_executor *executor,
                       const cs_batch_header *header, int64_t now_us)
{
    executor->session = header->session;
    executor->clock_offset_us = header->sender_clock_us - now_us;
    if (executor->unacked_sequence &&
        header->sequence >= executor->unacked_sequence) {
        executor->unacked_sequence = 0;
        if (header->sequence < executor->sent_sequence) {
            executor->unacked_sequence = executor->sent_sequence;
            executor->unacked_since_us = now_us;
        }
    }
    if (!executor->up)
        cs_log_event("executor-up",
                     "%s in zone %s, cpu %" G_GINT64_FORMAT " millicores",
                     executor->address, executor->zone, executor->cpu_milli);
    executor->up = true;
    if (header->draining && !executor->draining) {
        cs_log_event("executor-leaving",
                     "%s in zone %s is draining, %u workers move to others",
                     executor->address, executor->zone, executor->route_count);
        unassign_routes(dispatch, executor);
    }
    executor->draining = header->draining;
}

/* Workers per thousandth of a core if it were assigned one more. */
static double
load_with_one_more(const struct remote_executor *executor)
{
    return (executor->route_count + 1) / (double)executor->cpu_milli;
}

/* zone and avoid may be NULL for no restriction. */
static struct remote_executor *
least_loaded(const cs_dispatch *dispatch, const char *zone,
             const struct remote_executor *avoid)
{
    struct remote_executor *best = NULL;
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        struct remote_executor *executor =
            g_ptr_array_index(dispatch->executors, i);

        if (!executor->up || executor->draining || executor == avoid ||
            (zone && strcmp(executor->zone, zone) != 0))
            continue;
        if (!best || load_with_one_more(executor) < load_with_one_more(best))
            best = executor;
    }
    return best;
}

struct remote_executor *
executor_pool_choose(cs_dispatch *dispatch, const char *zone,
                     const struct remote_executor *avoid)
{
    struct remote_executor *best = least_loaded(dispatch, zone, avoid);

    if (!best)
        best = least_loaded(dispatch, NULL, avoid);
    return best ? best : least_loaded(dispatch, NULL, NULL);
}

void
executor_pool_clear(cs_dispatch *dispatch)
{
    const cs_peer_link_port *link = dispatch->settings.link;
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        struct remote_executor *executor =
            g_ptr_array_index(dispatch->executors, i);

        link->close(link->self, executor->address);
    }
    g_ptr_array_set_size(dispatch->executors, 0);
}

json_t *
cs_dispatch_status(const cs_dispatch *dispatch)
{
    json_t *list = json_array();
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        const struct remote_executor *executor =
            g_ptr_array_index(dispatch->executors, i);

        json_array_append_new(
            list,
            json_pack("{s:s,s:s,s:b,s:i,s:I}", "address", executor->address,
                      "zone", executor->zone, "up", executor->up, "workers",
                      (int)executor->route_count, "cpu_milli",
                      (json_int_t)executor->cpu_milli));
    }
    return list;
}
