/* cs-schedd: the scheduler of a VM. Holds the cell of its zone, or stands by
   to take it over. */
#include "corianderstair/errors.h"
#include "corianderstair/process.h"
#include "corianderstair/scheduler.h"
#include "corianderstair/settings.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct schedd {
    cs_process *process;
    cs_scheduler *scheduler;
    const char *name;
};

static void
on_request(cs_http_request *request, void *user_data)
{
    static const char text[] = "{\"code\":-200,\"name\":\"not-found\","
                               "\"message\":\"cs-schedd does not serve this "
                               "path; use cs-entryd\",\"run\":\"not-run\"}\n";

    cs_http_reply(request, 404, "application/json", text, sizeof(text) - 1);
}

/* Answers an entry process that asks to explain a job. Sends no reply for an
   unknown job; the entry process then answers from its own store view once its
   wait has timed out. */
static void
on_message(void *user_data, const cs_message *message)
{
    struct schedd *schedd = user_data;
    cs_message reply = {.type = CS_MSG_EXPLAIN_REPLY};
    json_t *explanation;
    char *text;

    if (message->type != CS_MSG_EXPLAIN_REQUEST)
        return;
    explanation = cs_scheduler_explain(schedd->scheduler,
                                       message->u.explain_request.job);
    if (!explanation)
        return;
    text = json_dumps(explanation, JSON_COMPACT);
    json_decref(explanation);
    reply.deadline_us = message->deadline_us;
    reply.u.explain_reply.id = message->u.explain_request.id;
    reply.u.explain_reply.text = g_strdup(text);
    g_strlcpy(reply.sender_name, schedd->name, sizeof(reply.sender_name));
    cs_peers_send(cs_process_peers(schedd->process), message->sender_name,
                  &reply);
    cs_message_clear(&reply);
    free(text);
}

static void
on_tick(void *user_data)
{
    struct schedd *schedd = user_data;

    cs_scheduler_tick(schedd->scheduler);
}

static void
on_heartbeat(void *user_data, cs_peer_heartbeat *heartbeat)
{
    struct schedd *schedd = user_data;
    json_t *summary = cs_scheduler_summary(schedd->scheduler);
    char *text = json_dumps(summary, JSON_COMPACT);

    heartbeat->summary = g_strdup(text);
    free(text);
    json_decref(summary);
}

static void
on_drain(void *user_data)
{
    struct schedd *schedd = user_data;

    cs_scheduler_drain(schedd->scheduler);
}

static bool
is_drained(void *user_data)
{
    struct schedd *schedd = user_data;

    return cs_scheduler_is_drained(schedd->scheduler);
}

static bool
is_ready(void *user_data)
{
    struct schedd *schedd = user_data;

    return cs_journal_is_loaded(cs_process_journal(schedd->process),
                                CS_SCOPE_CONFIG);
}

static int
run(const cs_process_settings *settings, int64_t cell_lease_ms)
{
    struct schedd schedd = {.name = settings->name};
    cs_scheduler_settings scheduler = {.zone = settings->zone,
                                       .name = settings->name,
                                       .cell_lease_us =
                                           cell_lease_ms * CS_MS_US};
    cs_process_hooks hooks = {.request = on_request,
                              .message = on_message,
                              .tick = on_tick,
                              .heartbeat = on_heartbeat,
                              .drain = on_drain,
                              .is_drained = is_drained,
                              .is_ready = is_ready,
                              .user_data = &schedd};
    int status;

    if (cs_process_create(&schedd.process, settings)) {
        fprintf(stderr, "cs-schedd: %s\n", cs_error_last());
        return 1;
    }
    scheduler.incarnation = cs_process_incarnation(schedd.process);
    schedd.scheduler = cs_scheduler_create(
        cs_process_store_view(schedd.process),
        cs_process_outbox(schedd.process), cs_process_journal(schedd.process),
        cs_process_counters(schedd.process), &scheduler);
    cs_process_set_hooks(schedd.process, &hooks);
    status = cs_process_run(schedd.process);
    cs_process_close(schedd.process);
    cs_process_destroy_journal(schedd.process);
    cs_scheduler_destroy(schedd.scheduler);
    cs_process_destroy(schedd.process);
    return status;
}

int
main(int argc, char **argv)
{
    cs_process_settings settings = {.role = "schedd",
                                    .listen = "127.0.0.1:7302",
                                    .peer_listen = "127.0.0.1:7303",
                                    .peers = "",
                                    .store = "127.0.0.1:7000",
                                    .poll_ms = 500,
                                    .drain_ms = 5000};
    int64_t cell_lease_ms = 3000;
    int64_t connections = 16;
    const cs_setting table[] = {
        {"name", CS_SETTING_TEXT, &settings.name, 1, 63, true,
         "name of this process, unique in the deployment"},
        {"zone", CS_SETTING_TEXT, &settings.zone, 1, 63, true,
         "availability zone of this VM; the process schedules its cell"},
        {"listen", CS_SETTING_ADDRESS, &settings.listen, 0, 0, false,
         "IP:PORT of health checks and metrics"},
        {"peer-listen", CS_SETTING_ADDRESS, &settings.peer_listen, 0, 0, false,
         "IP:PORT for messages from peers"},
        {"peers", CS_SETTING_TEXT, &settings.peers, 0, 16384, false,
         "IP:PORT of each peer, separated by commas"},
        {"store", CS_SETTING_ADDRESS, &settings.store, 0, 0, false,
         "IP:PORT of the platform's table service"},
        {"poll-ms", CS_SETTING_NUMBER, &settings.poll_ms, 20, 5000, false,
         "interval between polls of the table service, in ms"},
        {"cell-lease-ms", CS_SETTING_NUMBER, &cell_lease_ms, 500, 60000, false,
         "duration of the lease on the cell, in ms"},
        {"drain-ms", CS_SETTING_NUMBER, &settings.drain_ms, 0, 600000, false,
         "maximum time to hand the cell over after SIGTERM, in ms"},
        {"memory-mb", CS_SETTING_NUMBER, &settings.memory_mb, 0, 1 << 24,
         false,
         "memory of the machine, in MB, 12% of which clients may "
         "hold; 0: as the machine reports"},
        {"descriptors", CS_SETTING_NUMBER, &settings.descriptors, 0, 1 << 20,
         false,
         "file descriptors, 36% of which clients may hold; "
         "0: as the limit of the process says"},
        {"connections", CS_SETTING_NUMBER, &connections, 1, 64, false,
         "maximum number of connections to one address"},
    };
    cs_settings_next next;

    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "scheduler of a VM for the cell of its zone")) {
        fprintf(stderr, "cs-schedd: %s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    settings.max_connections = (uint32_t)connections;
    return run(&settings, cell_lease_ms);
}
