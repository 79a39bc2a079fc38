/* The scheduling process of a VM: holds a zone's cell or stands by. */
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
on_request(cs_http_request *request, void *data)
{
    static const char text[] = "{\"code\":-200,\"name\":\"not-found\","
                               "\"message\":\"the interface is that of "
                               "cs-entryd\",\"run\":\"not-run\"}\n";

    cs_http_reply(request, 404, "application/json", text, sizeof(text) - 1);
}

static void
on_message(void *data, const cs_message *message)
{
    struct schedd *schedd = data;
    cs_message answer = {.type = CS_MSG_EXPLAINED};
    json_t *body;
    char *text;

    if (message->type != CS_MSG_EXPLAIN)
        return;
    body = cs_scheduler_explain(schedd->scheduler, message->u.explain.job);
    if (!body)
        return;
    text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    answer.deadline_us = message->deadline_us;
    answer.u.explained.id = message->u.explain.id;
    answer.u.explained.text = g_strdup(text);
    g_strlcpy(answer.from, schedd->name, sizeof(answer.from));
    cs_peers_send(cs_process_peers(schedd->process), message->from, &answer);
    cs_message_clear(&answer);
    free(text);
}

static void
on_tick(void *data)
{
    struct schedd *schedd = data;

    cs_scheduler_tick(schedd->scheduler);
}

static void
on_heartbeat(void *data, cs_heartbeat *heartbeat)
{
    struct schedd *schedd = data;
    json_t *summary = cs_scheduler_summary(schedd->scheduler);
    char *text = json_dumps(summary, JSON_COMPACT);

    heartbeat->summary = g_strdup(text);
    free(text);
    json_decref(summary);
}

static void
on_drain(void *data)
{
    struct schedd *schedd = data;

    cs_scheduler_drain(schedd->scheduler);
}

static bool
is_drained(void *data)
{
    struct schedd *schedd = data;

    return cs_scheduler_is_drained(schedd->scheduler);
}

static bool
is_ready(void *data)
{
    struct schedd *schedd = data;

    return cs_journal_is_loaded(cs_process_journal(schedd->process),
                                CS_SCOPE_CONFIG);
}

static int
run(const cs_process_settings *settings, int64_t lease_ms)
{
    struct schedd schedd = {.name = settings->name};
    cs_scheduler_settings scheduler = {.zone = settings->zone,
                                       .name = settings->name,
                                       .cell_lease_us = lease_ms * CS_MS_US};
    cs_process_hooks hooks = {.request = on_request,
                              .message = on_message,
                              .tick = on_tick,
                              .heartbeat = on_heartbeat,
                              .drain = on_drain,
                              .is_drained = is_drained,
                              .is_ready = is_ready,
                              .data = &schedd};
    int status;

    if (cs_process_create(&schedd.process, settings)) {
        fprintf(stderr, "cs-schedd: %s\n", cs_error_last());
        return 1;
    }
    scheduler.incarnation = cs_process_incarnation(schedd.process);
    schedd.scheduler = cs_scheduler_create(
        cs_process_board(schedd.process), cs_process_outbox(schedd.process),
        cs_process_journal(schedd.process),
        cs_process_counters(schedd.process), &scheduler);
    cs_process_set_hooks(schedd.process, &hooks);
    status = cs_process_run(schedd.process);
    cs_process_close(schedd.process);
    cs_process_end_journal(schedd.process);
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
    int64_t lease_ms = 3000;
    int64_t connections = 16;
    const cs_setting table[] = {
        {"name", CS_SETTING_TEXT, &settings.name, 1, 63, true,
         "name of this process, unique among all"},
        {"zone", CS_SETTING_TEXT, &settings.zone, 1, 63, true,
         "availability zone of this VM; its cell is held or stood by for"},
        {"listen", CS_SETTING_ADDRESS, &settings.listen, 0, 0, false,
         "address of health checks and metrics"},
        {"peer-listen", CS_SETTING_ADDRESS, &settings.peer_listen, 0, 0, false,
         "address for messages of peers"},
        {"peers", CS_SETTING_TEXT, &settings.peers, 0, 16384, false,
         "peer addresses, separated by commas"},
        {"store", CS_SETTING_ADDRESS, &settings.store, 0, 0, false,
         "address of the platform's table service"},
        {"poll-ms", CS_SETTING_NUMBER, &settings.poll_ms, 20, 5000, false,
         "time between polls of the store"},
        {"cell-lease-ms", CS_SETTING_NUMBER, &lease_ms, 500, 60000, false,
         "length of the lease of the cell"},
        {"drain-ms", CS_SETTING_NUMBER, &settings.drain_ms, 0, 600000, false,
         "time to hand the cell over after SIGTERM"},
        {"connections", CS_SETTING_NUMBER, &connections, 1, 64, false,
         "connections to one address at most"},
    };
    cs_settings_next next;

    if (cs_settings_parse(&next, NULL, table, G_N_ELEMENTS(table), argc, argv,
                          "scheduling process of a VM")) {
        fprintf(stderr, "cs-schedd: %s\n", cs_error_last());
        return 2;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    settings.connections = (uint32_t)connections;
    return run(&settings, lease_ms);
}
