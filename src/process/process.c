#include "corianderstair/process.h"
#include "corianderstair/admission.h"
#include "corianderstair/errors.h"
#include "corianderstair/log.h"
#include "corianderstair/settings.h"

#include "snapshot.h"

#include <glib-unix.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#define TICK_MS 20
#define BYTES_PER_MB 1000000
/* Parts of the machine that clients may hold. */
#define CLIENT_MEMORY_PERCENT 12
#define CLIENT_DESCRIPTOR_PERCENT 36
/* An earlier request with the same id may have run. */
#define OVERLOAD_STATUS 504
#define MIN_DRAIN_US CS_SEC_US
#define CLOSE_TIMEOUT_US (2 * CS_SEC_US)
#define EXIT_UNFINISHED 3 /* the drain deadline passed before work ended */

struct cs_process {
    cs_process_settings settings;
    cs_process_hooks hooks;
    GMainLoop *loop;
    cs_net *net;
    cs_http_server *server;
    cs_http_client *client;
    cs_counters *counters;
    cs_outbox *outbox;
    cs_outbox_sender *sender;
    cs_store_view *store_view;
    cs_journal *journal;
    cs_peers *peers;
    char incarnation[32];
    char api_address[64]; /* of the HTTP server, "IP:PORT" */
    struct snapshot_state snapshot;
    guint wake_source;
    int64_t next_heartbeat_us;
    int64_t drain_deadline_us; /* boot clock; 0 while not draining */
    /* Boot clock; open HTTP calls are awaited until then. 0 before the drain
       has ended. */
    int64_t close_deadline_us;
    int exit_status;
    int64_t *cpu_us;
    int64_t *rss_bytes;
};

static void
make_incarnation(cs_process *process)
{
    /* The start time distinguishes the runs of a process name. */
    g_snprintf(process->incarnation, sizeof(process->incarnation),
               "%.12s-%" PRIx64, process->settings.name,
               (uint64_t)cs_clock_wall_us());
}

/*
 * Notifies the peers of a change that this process has written, so that they
 * poll the store at once.
 */
static void
send_hint(void *user_data, const cs_change *change)
{
    cs_process *process = user_data;
    cs_message message = {.type = CS_MSG_VERSION_HINT};

    if (strcmp(change->writer, process->settings.name) != 0)
        return;
    message.deadline_us = cs_clock_wall_us() + CS_SEC_US;
    g_strlcpy(message.sender_name, process->settings.name,
              sizeof(message.sender_name));
    g_strlcpy(message.u.version_hint.scope, change->scope,
              sizeof(message.u.version_hint.scope));
    message.u.version_hint.version = change->version;
    cs_peers_broadcast(process->peers, &message);
}

static void
send_heartbeat(cs_process *process)
{
    cs_message message = {.type = CS_MSG_HEARTBEAT};
    cs_peer_heartbeat *heartbeat = &message.u.heartbeat;

    message.deadline_us = cs_clock_wall_us() + CS_PEER_TIMEOUT_US;
    g_strlcpy(message.sender_name, process->settings.name,
              sizeof(message.sender_name));
    g_strlcpy(heartbeat->role, process->settings.role,
              sizeof(heartbeat->role));
    g_strlcpy(heartbeat->zone, process->settings.zone,
              sizeof(heartbeat->zone));
    g_strlcpy(heartbeat->http_address, process->api_address,
              sizeof(heartbeat->http_address));
    heartbeat->config_version =
        cs_store_view_version(process->store_view, CS_SCOPE_CONFIG);
    heartbeat->draining = process->drain_deadline_us != 0;
    if (process->hooks.heartbeat)
        process->hooks.heartbeat(process->hooks.user_data, heartbeat);
    cs_peers_broadcast(process->peers, &message);
    cs_message_clear(&message);
}

static void
on_message(void *user_data, const cs_message *message)
{
    cs_process *process = user_data;

    cs_outbox_set_now(process->outbox, cs_now_read());
    if (message->type == CS_MSG_VERSION_HINT)
        cs_journal_report_version(process->journal,
                                  message->u.version_hint.scope,
                                  message->u.version_hint.version);
    else if (process->hooks.message)
        process->hooks.message(process->hooks.user_data, message);
    cs_process_wake(process);
}

/*
 * Returns the minimum duration of a drain, which gives the load balancer and
 * callers time to notice it before connections are closed.
 */
static int64_t
min_drain_us(const cs_process *process)
{
    return MIN(MIN_DRAIN_US, process->settings.drain_ms * CS_MS_US / 2);
}

static void
check_drain(cs_process *process)
{
    int64_t now_us = cs_clock_boot_us();
    int64_t drain_start_us =
        process->drain_deadline_us - process->settings.drain_ms * CS_MS_US;
    bool finished = process->hooks.is_drained(process->hooks.user_data) &&
                    cs_http_server_open_requests(process->server) == 0 &&
                    now_us - drain_start_us >= min_drain_us(process);

    if (!finished && now_us < process->drain_deadline_us)
        return;
    process->exit_status = finished ? 0 : EXIT_UNFINISHED;
    process->close_deadline_us = now_us + CLOSE_TIMEOUT_US;
    cs_log_event("stopped",
                 finished ? "all work is finished"
                          : "the drain deadline passed with work unfinished");
}

static void
tick(cs_process *process)
{
    cs_now now = cs_now_read();

    if (process->close_deadline_us) {
        /* No more calls are started; waits for the open ones. */
        if (cs_http_client_open_calls(process->client) == 0 ||
            now.boot_us >= process->close_deadline_us)
            g_main_loop_quit(process->loop);
        return;
    }
    cs_outbox_set_now(process->outbox, now);
    cs_journal_tick(process->journal);
    process->hooks.tick(process->hooks.user_data);
    snapshot_tick(&process->snapshot, process);
    if (now.boot_us >= process->next_heartbeat_us) {
        process->next_heartbeat_us =
            now.boot_us + CS_PEER_HEARTBEAT_INTERVAL_US;
        send_heartbeat(process);
    }
    cs_outbox_sender_send_all(process->sender);
    if (process->drain_deadline_us)
        check_drain(process);
}

static gboolean
on_timer(gpointer user_data)
{
    tick(user_data);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_wake(gpointer user_data)
{
    cs_process *process = user_data;

    process->wake_source = 0;
    tick(process);
    return G_SOURCE_REMOVE;
}

void
cs_process_wake(cs_process *process)
{
    if (!process->wake_source)
        process->wake_source =
            g_idle_add_full(G_PRIORITY_DEFAULT, on_wake, process, NULL);
}

static void
on_outbox_sender_done(void *user_data)
{
    cs_process_wake(user_data);
}

static gboolean
on_stop_signal(gpointer user_data)
{
    cs_process *process = user_data;

    if (process->drain_deadline_us)
        return G_SOURCE_CONTINUE;
    process->drain_deadline_us =
        cs_clock_boot_us() + process->settings.drain_ms * CS_MS_US;
    cs_log_event("draining", "within %" PRId64 " ms",
                 process->settings.drain_ms);
    cs_http_server_stop_accepting(process->server);
    cs_outbox_set_now(process->outbox, cs_now_read());
    process->hooks.drain(process->hooks.user_data);
    send_heartbeat(process);
    return G_SOURCE_CONTINUE;
}

static int64_t
read_rss_bytes(void)
{
    FILE *file = fopen("/proc/self/statm", "r");
    long pages = 0;

    if (!file)
        return 0;
    if (fscanf(file, "%*d %ld", &pages) != 1)
        pages = 0;
    fclose(file);
    return (int64_t)pages * 4096;
}

static void
reply_metrics(cs_process *process, cs_http_request *request)
{
    GString *text = g_string_new(NULL);
    struct rusage usage;

    getrusage(RUSAGE_SELF, &usage);
    *process->cpu_us =
        (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * CS_SEC_US +
        usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
    *process->rss_bytes = read_rss_bytes();
    cs_counters_print(process->counters, text);
    cs_http_reply(request, 200, "text/plain; version=0.0.4", text->str,
                  text->len);
    g_string_free(text, TRUE);
}

static void
reply_text(cs_http_request *request, int status, const char *text)
{
    cs_http_reply(request, status, "text/plain", text, strlen(text));
}

static void
on_request(cs_http_request *request, void *user_data)
{
    cs_process *process = user_data;
    const char *path = cs_http_request_path(request);

    cs_outbox_set_now(process->outbox, cs_now_read());
    if (strcmp(path, "/metrics") == 0)
        reply_metrics(process, request);
    else if (strcmp(path, "/healthz") == 0)
        reply_text(request, 200, "ok\n");
    else if (strcmp(path, "/readyz") == 0) {
        bool ready = !process->drain_deadline_us &&
                     process->hooks.is_ready(process->hooks.user_data);

        reply_text(request, ready ? 200 : 503,
                   ready ? "ready\n" : "not ready\n");
    }
    else
        process->hooks.request(request, process->hooks.user_data);
    cs_process_wake(process);
}

static void
limit_clients(cs_process *process)
{
    cs_machine machine;
    cs_http_limits limits;

    cs_machine_read(&machine, process->settings.memory_mb * BYTES_PER_MB,
                    process->settings.descriptors);
    cs_http_limits_share(&limits, &machine, CLIENT_MEMORY_PERCENT,
                         CLIENT_DESCRIPTOR_PERCENT);
    cs_http_server_set_limits(process->server, &limits);
    cs_http_server_set_overload_status(process->server, OVERLOAD_STATUS);
    cs_http_server_set_counters(process->server, process->counters, "api");
}

static int
create_http(cs_process *process)
{
    char ip[32];
    uint16_t port;
    int rc = cs_address_split(ip, sizeof(ip), &port, process->settings.listen);

    if (!rc)
        rc = cs_net_create(&process->net, process->loop);
    if (!rc)
        rc = cs_http_server_create(&process->server, process->net, ip, port,
                                   on_request, process);
    if (!rc)
        rc = cs_http_client_create(&process->client, process->net,
                                   process->settings.max_connections);
    if (!rc)
        limit_clients(process);
    if (!rc)
        g_snprintf(process->api_address, sizeof(process->api_address), "%s:%u",
                   ip, cs_http_server_port(process->server));
    return rc;
}

static void
create_store_access(cs_process *process)
{
    const cs_process_settings *settings = &process->settings;

    process->outbox = cs_outbox_create();
    cs_outbox_set_now(process->outbox, cs_now_read());
    process->store_view = cs_store_view_create();
    process->journal = cs_journal_create(
        process->store_view, process->outbox, process->counters,
        settings->name, process->incarnation, cs_admission_check);
    cs_journal_set_poll_interval_us(process->journal,
                                    settings->poll_ms * CS_MS_US);
    process->sender = cs_outbox_sender_create(
        process->outbox, process->client, process->counters, settings->store,
        on_outbox_sender_done, process);
}

int
cs_process_create(cs_process **out, const cs_process_settings *settings)
{
    cs_process *process = g_new0(cs_process, 1);
    int rc;

    signal(SIGPIPE, SIG_IGN);
    cs_log_init(settings->name);
    process->settings = *settings;
    process->loop = g_main_loop_new(NULL, FALSE);
    process->counters = cs_counters_create();
    process->cpu_us =
        cs_counters_get(process->counters, "cs_process_cpu_us_total");
    process->rss_bytes =
        cs_counters_get(process->counters, "cs_process_rss_bytes");
    make_incarnation(process);
    rc = create_http(process);
    if (!rc)
        rc = cs_peers_create(&process->peers, process->counters,
                             settings->name, settings->peer_listen,
                             settings->peers, on_message, process);
    if (rc) {
        cs_process_destroy(process);
        return rc;
    }
    create_store_access(process);
    cs_store_view_subscribe(process->store_view, send_hint, process);
    *out = process;
    return 0;
}

void
cs_process_set_hooks(cs_process *process, const cs_process_hooks *hooks)
{
    process->hooks = *hooks;
}

int
cs_process_run(cs_process *process)
{
    g_unix_signal_add(SIGTERM, on_stop_signal, process);
    g_unix_signal_add(SIGINT, on_stop_signal, process);
    g_timeout_add(TICK_MS, on_timer, process);
    cs_log_event("started", "%s in %s on %s", process->settings.role,
                 process->settings.zone, process->api_address);
    g_main_loop_run(process->loop);
    return process->exit_status;
}

void
cs_process_close(cs_process *process)
{
    cs_peers_destroy(process->peers);
    process->peers = NULL;
    if (process->client)
        cs_http_client_close(process->client);
    cs_net_destroy(process->net);
    process->net = NULL;
    if (process->wake_source)
        g_source_remove(process->wake_source);
    process->wake_source = 0;
}

void
cs_process_destroy_journal(cs_process *process)
{
    cs_journal_destroy(process->journal);
    process->journal = NULL;
}

void
cs_process_destroy(cs_process *process)
{
    if (!process)
        return;
    cs_process_close(process);
    cs_http_client_destroy(process->client);
    cs_http_server_destroy(process->server);
    cs_outbox_sender_destroy(process->sender);
    cs_process_destroy_journal(process);
    cs_store_view_destroy(process->store_view);
    cs_outbox_destroy(process->outbox);
    cs_counters_destroy(process->counters);
    g_main_loop_unref(process->loop);
    g_free(process);
}

cs_store_view *
cs_process_store_view(cs_process *process)
{
    return process->store_view;
}

cs_outbox *
cs_process_outbox(cs_process *process)
{
    return process->outbox;
}

cs_journal *
cs_process_journal(cs_process *process)
{
    return process->journal;
}

cs_counters *
cs_process_counters(cs_process *process)
{
    return process->counters;
}

cs_http_client *
cs_process_client(cs_process *process)
{
    return process->client;
}

cs_peers *
cs_process_peers(cs_process *process)
{
    return process->peers;
}

const char *
cs_process_incarnation(const cs_process *process)
{
    return process->incarnation;
}

bool
cs_process_is_draining(const cs_process *process)
{
    return process->drain_deadline_us != 0;
}
