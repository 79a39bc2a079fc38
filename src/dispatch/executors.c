/*
 * Which VMs carry out orders. In each zone the strongest ones, as many as its
 * workers need. Each message is echoed, so that one that is lost, frozen or
 * overloaded is noticed soon; its workers then go to others.
 */
#include "dispatch_internal.h"
#include "corianderstair/log.h"

#include <string.h>

/* 3% of a core: 0.35 ms for each of 1.2 calls a second and worker at full load
   (docs/design/scale.md). */
#define WORKERS_EACH 75
#define FILL_US (500 * CS_MS_US)
#define ASK_US (200 * CS_MS_US)
/* Well over a turn of an executor's loop, and under the patience of orders. */
#define SILENCE_US (700 * CS_MS_US)
#define RETRY_US (2 * CS_SEC_US)

void
executor_free(gpointer data)
{
    struct executor *executor = data;

    cs_dispatch_writer_dispose(&executor->orders);
    g_free(executor);
}

struct executor *
executors_find(const cs_dispatch *dispatch, const char *address)
{
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        struct executor *e = g_ptr_array_index(dispatch->executors, i);

        if (strcmp(e->address, address) == 0)
            return e;
    }
    return NULL;
}

static void
executor_add(cs_dispatch *dispatch, const cs_member *member)
{
    struct executor *executor = g_new0(struct executor, 1);

    g_strlcpy(executor->address, member->link_address,
              sizeof(executor->address));
    g_strlcpy(executor->zone, member->zone, sizeof(executor->zone));
    executor->cpu_milli = MAX(member->cpu_milli, 1);
    cs_dispatch_writer_init(&executor->orders);
    g_ptr_array_add(dispatch->executors, executor);
}

/* Those of a zone that work or may yet answer. */
static uint32_t
count_hopeful(const cs_dispatch *dispatch, const char *zone, int64_t now_us)
{
    uint32_t count = 0;
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        const struct executor *e = g_ptr_array_index(dispatch->executors, i);

        if (strcmp(e->zone, zone) == 0 && !e->leaving &&
            (e->up || now_us >= e->retry_us))
            count++;
    }
    return count;
}

static uint32_t
zones_of(const GPtrArray *members)
{
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    uint32_t count;
    guint i;

    for (i = 0; i < members->len; i++) {
        const cs_member *m = g_ptr_array_index(members, i);

        g_hash_table_add(zones, (gpointer)m->zone);
    }
    count = g_hash_table_size(zones);
    g_hash_table_destroy(zones);
    return count;
}

void
executors_fill(cs_dispatch *dispatch, int64_t now_us)
{
    const GPtrArray *members = cs_members_list(dispatch->settings.members);
    uint32_t workers = dispatch->workers;
    uint32_t zones;
    uint32_t wanted;
    guint i;

    if (now_us < dispatch->next_fill_us ||
        workers <= dispatch->settings.direct_max)
        return;
    dispatch->next_fill_us = now_us + FILL_US;
    zones = MAX(zones_of(members), 1);
    wanted = (workers + zones * WORKERS_EACH - 1) / (zones * WORKERS_EACH);
    for (i = 0; i < members->len; i++) {
        const cs_member *m = g_ptr_array_index(members, i);

        if (!m->link_address[0] ||
            strcmp(m->name, dispatch->settings.own_name) == 0 ||
            executors_find(dispatch, m->link_address))
            continue;
        if (count_hopeful(dispatch, m->zone, now_us) < wanted)
            executor_add(dispatch, m);
    }
}

static void
send_orders(cs_dispatch *dispatch, struct executor *executor, int64_t now_us)
{
    const cs_peer_link_port *link = dispatch->settings.link;
    GByteArray *message = g_byte_array_new();
    cs_dispatch_head head = {++executor->sent_serial, now_us, false};

    cs_dispatch_finish(&executor->orders, message, &head);
    executor->sent_us = now_us;
    if (executor->asked_serial == 0) {
        executor->asked_serial = executor->sent_serial;
        executor->asked_us = now_us;
    }
    link->send(link->self, executor->address, CS_PEER_ORDERS, message->data,
               message->len);
    g_byte_array_unref(message);
}

void
executors_flush(cs_dispatch *dispatch, int64_t now_us)
{
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        struct executor *e = g_ptr_array_index(dispatch->executors, i);

        if (!e->up && now_us < e->retry_us)
            continue;
        if (e->orders.count > 0 || now_us - e->sent_us >= ASK_US)
            send_orders(dispatch, e, now_us);
    }
}

static void
executor_down(cs_dispatch *dispatch, struct executor *executor, int64_t now_us)
{
    const cs_peer_link_port *link = dispatch->settings.link;

    if (executor->up && !executor->leaving) {
        cs_log_event("executor-lost",
                     "%s, zone %s, %u workers, silent for %" G_GINT64_FORMAT
                     " ms",
                     executor->address, executor->zone, executor->routes,
                     (now_us - executor->asked_us) / CS_MS_US);
        (*dispatch->downs)++;
    }
    executor->up = false;
    executor->leaving = false;
    executor->asked_serial = 0;
    executor->retry_us = now_us + RETRY_US;
    link->close(link->self, executor->address);
    cs_dispatch_writer_dispose(&executor->orders);
    cs_dispatch_writer_init(&executor->orders);
    routes_leave(dispatch, executor);
    calls_lost(dispatch, executor);
}

void
executors_watch(cs_dispatch *dispatch, int64_t now_us)
{
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        struct executor *e = g_ptr_array_index(dispatch->executors, i);

        if (e->asked_serial && now_us - e->asked_us > SILENCE_US)
            executor_down(dispatch, e, now_us);
    }
}

void
executor_heard(cs_dispatch *dispatch, struct executor *executor,
               const cs_dispatch_head *head, int64_t now_us)
{
    if (now_us < executor->retry_us)
        return;
    executor->clock_offset_us = head->clock_us - now_us;
    if (executor->asked_serial && head->serial >= executor->asked_serial) {
        executor->asked_serial = 0;
        if (head->serial < executor->sent_serial) {
            executor->asked_serial = executor->sent_serial;
            executor->asked_us = now_us;
        }
    }
    if (!executor->up)
        cs_log_event("executor-up",
                     "%s, zone %s, %" G_GINT64_FORMAT " thousandths of a core",
                     executor->address, executor->zone, executor->cpu_milli);
    executor->up = true;
    if (head->leaving && !executor->leaving) {
        cs_log_event("executor-leaving", "%s, zone %s, %u workers",
                     executor->address, executor->zone, executor->routes);
        routes_leave(dispatch, executor);
    }
    executor->leaving = head->leaving;
}

/* Workers that it would have for each thousandth of a core. */
static double
load_of(const struct executor *executor)
{
    return (executor->routes + 1) / (double)executor->cpu_milli;
}

static struct executor *
least_loaded(const cs_dispatch *dispatch, const char *zone,
             const struct executor *avoid)
{
    struct executor *best = NULL;
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        struct executor *e = g_ptr_array_index(dispatch->executors, i);

        if (!e->up || e->leaving || e == avoid ||
            (zone && strcmp(e->zone, zone) != 0))
            continue;
        if (!best || load_of(e) < load_of(best))
            best = e;
    }
    return best;
}

struct executor *
executors_choose(cs_dispatch *dispatch, const char *zone,
                 const struct executor *avoid)
{
    struct executor *best = least_loaded(dispatch, zone, avoid);

    if (!best)
        best = least_loaded(dispatch, NULL, avoid);
    return best ? best : least_loaded(dispatch, NULL, NULL);
}

void
executors_drop_all(cs_dispatch *dispatch)
{
    const cs_peer_link_port *link = dispatch->settings.link;
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        struct executor *e = g_ptr_array_index(dispatch->executors, i);

        link->close(link->self, e->address);
    }
    g_ptr_array_set_size(dispatch->executors, 0);
}

json_t *
cs_dispatch_status(const cs_dispatch *dispatch)
{
    json_t *list = json_array();
    guint i;

    for (i = 0; i < dispatch->executors->len; i++) {
        const struct executor *e = g_ptr_array_index(dispatch->executors, i);

        json_array_append_new(list, json_pack("{s:s,s:s,s:b,s:i,s:I}",
                                              "address", e->address, "zone",
                                              e->zone, "up", e->up, "workers",
                                              (int)e->routes, "cpu_milli",
                                              (json_int_t)e->cpu_milli));
    }
    return list;
}
