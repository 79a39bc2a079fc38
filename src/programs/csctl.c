/* csctl: the command line for operators. */
#include "csctl.h"
#include "corianderstair/errors.h"
#include "corianderstair/settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct command commands[] = {
    {"apply", "apply -f FILE|-", "create or update the resources in a file",
     command_apply},
    {"get", "get KIND[/NAME]", "list resources or show one", command_get},
    {"delete", "delete KIND/NAME", "delete a resource", command_delete},
    {"watch", "watch KIND", "print changes as they are committed",
     command_watch},
    {"wait", "wait job/NAME --for=STATE --deadline SECONDS",
     "wait until a job reaches a state", command_wait},
    {"explain", "explain job/NAME", "show why a job waits or where it runs",
     command_explain},
    {"cancel", "cancel job/NAME", "cancel a job", command_cancel},
    {"drain", "drain worker/NAME | drain endpoint/SERVICE/NAME",
     "send no new work to a worker or endpoint", command_drain},
    {"audit", "audit [--scope ZONE]", "print committed changes",
     command_audit},
    {"top", "top", "show zones and processes", command_top},
    {"fleet", "fleet [JOB-ID]", "show a VM's cs-fleetd, or explain a job",
     command_fleet},
    {"request", "request SERVICE CLASS ORGANISATION ID",
     "send a request to a service", command_request},
};

static const struct command *
find_command(const char *name)
{
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, name) == 0)
            return &commands[i];
    }
    return NULL;
}

static void
print_commands(void)
{
    size_t i;

    fprintf(stderr, "usage: csctl [FLAGS] COMMAND\n\n");
    for (i = 0; i < G_N_ELEMENTS(commands); i++)
        fprintf(stderr, "  %-46s %s\n", commands[i].usage, commands[i].help);
    fprintf(stderr, "\nsee csctl --help for the flags\n");
}

static int
parse_flags(cs_settings_next *next, int *first_arg, struct ctl *ctl, int argc,
            char **argv)
{
    const cs_setting table[] = {
        {"server", CS_SETTING_TEXT, &ctl->servers, 1, 4096, false,
         "IP:PORT of entry processes, separated by commas"},
        {"output", CS_SETTING_TEXT, &ctl->output, 1, 8, false,
         "output format: table or json"},
        {"file", CS_SETTING_TEXT, &ctl->file, 1, 4096, false,
         "file to apply; - for standard input"},
        {"for", CS_SETTING_TEXT, &ctl->wait_state, 1, 32, false,
         "job state to wait for"},
        {"deadline", CS_SETTING_NUMBER, &ctl->deadline_s, 1, 86400, false,
         "maximum time to wait or watch, in seconds"},
        {"zone", CS_SETTING_TEXT, &ctl->zone, 0, 63, false,
         "get, watch: only resources of this zone"},
        {"scope", CS_SETTING_TEXT, &ctl->scope, 1, 63, false,
         "audit: scope to read, config or a zone"},
        {"from", CS_SETTING_NUMBER, &ctl->from_version, -1, INT64_MAX, false,
         "watch: the last version seen; audit: the first one to print"},
    };

    return cs_settings_parse(next, first_arg, table, G_N_ELEMENTS(table), argc,
                             argv, "command line for operators");
}

/* Returns a copy of argv with the flags and their values in front of the other
   arguments, as getopt_long expects, so that flags may follow the command.
   Replaces -f and -o by their long forms. */
static char **
move_flags_first(int argc, char **argv)
{
    char **sorted = g_new0(char *, argc + 1);
    int count = 1;
    int pass;
    int i;

    sorted[0] = argv[0];
    for (pass = 0; pass < 2; pass++) {
        for (i = 1; i < argc; i++) {
            bool is_flag = argv[i][0] == '-' && argv[i][1];
            bool takes_value = is_flag && !strchr(argv[i], '=') &&
                               i + 1 < argc &&
                               strcmp(argv[i], "--help") != 0 &&
                               strcmp(argv[i], "--version") != 0;

            if (is_flag && strcmp(argv[i], "-f") == 0)
                argv[i] = "--file";
            if (is_flag && strcmp(argv[i], "-o") == 0)
                argv[i] = "--output";
            if (is_flag == (pass == 0)) {
                sorted[count++] = argv[i];
                if (takes_value)
                    sorted[count++] = argv[i + 1];
            }
            if (takes_value)
                i++;
        }
    }
    return sorted;
}

int
main(int argc, char **argv)
{
    struct ctl ctl = {.servers = "127.0.0.1:7300",
                      .output = "table",
                      .deadline_s = 60,
                      .scope = "config",
                      .wait_state = "succeeded",
                      .zone = "",
                      .from_version = -1};
    char **sorted = move_flags_first(argc, argv);
    const struct command *command;
    cs_settings_next next;
    int first_arg = 0;
    int status;

    if (parse_flags(&next, &first_arg, &ctl, argc, sorted)) {
        fprintf(stderr, "csctl: %s\n", cs_error_last());
        return EXIT_USAGE;
    }
    if (next == CS_SETTINGS_EXIT)
        return 0;
    ctl.args = sorted + first_arg;
    ctl.arg_count = argc - first_arg;
    command = ctl.arg_count > 0 ? find_command(ctl.args[0]) : NULL;
    if (!command) {
        print_commands();
        return EXIT_USAGE;
    }
    if (ctl_open(&ctl)) {
        fprintf(stderr, "csctl: %s\n", cs_error_last());
        return EXIT_USAGE;
    }
    status = command->run(&ctl);
    if (status == EXIT_USAGE)
        fprintf(stderr, "usage: csctl %s\n", command->usage);
    ctl_close(&ctl);
    g_free(sorted);
    return status;
}
