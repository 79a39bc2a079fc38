#include "corianderstair/settings.h"
#include "corianderstair/errors.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <getopt.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_SETTINGS 48
/* Values that getopt_long returns: a setting has its index added to this. */
#define FIRST_SETTING_OPTION 1000
#define OPTION_HELP 1
#define OPTION_VERSION 2

int
cs_address_split(char *ip, size_t ip_size, uint16_t *port, const char *address)
{
    const char *colon = strrchr(address, ':');
    struct in_addr parsed;
    char *end;
    unsigned long number;
    size_t length;

    if (!colon)
        return cs_error_set(CS_E_INVALID, "'%s' is not IP:PORT", address);
    length = (size_t)(colon - address);
    if (length >= ip_size)
        return cs_error_set(CS_E_INVALID, "'%s' is not IP:PORT", address);
    memcpy(ip, address, length);
    ip[length] = '\0';
    if (inet_pton(AF_INET, ip, &parsed) != 1)
        return cs_error_set(CS_E_INVALID, "'%s' has no numeric IPv4 address",
                            address);
    number = strtoul(colon + 1, &end, 10);
    if (!isdigit((unsigned char)colon[1]) || *end || number > 65535)
        return cs_error_set(CS_E_INVALID, "'%s' has no port in 0..65535",
                            address);
    *port = (uint16_t)number;
    return 0;
}

static int
set_number(const cs_setting *setting, const char *text)
{
    char *end;
    long long number;

    errno = 0;
    number = strtoll(text, &end, 10);
    if (errno || end == text || *end || number < setting->min ||
        number > setting->max)
        return cs_error_set(CS_E_SETTING,
                            "--%s: '%s' is not an integer in %" PRId64
                            "..%" PRId64,
                            setting->name, text, setting->min, setting->max);
    *(int64_t *)setting->value = number;
    return 0;
}

static int
set_text(const cs_setting *setting, const char *text)
{
    size_t length = strlen(text);

    if (length < (size_t)setting->min || length > (size_t)setting->max)
        return cs_error_set(CS_E_SETTING,
                            "--%s: '%s' is not %" PRId64 "..%" PRId64
                            " bytes long",
                            setting->name, text, setting->min, setting->max);
    *(const char **)setting->value = text;
    return 0;
}

static int
set_address(const cs_setting *setting, const char *text)
{
    char ip[64];
    uint16_t port;

    if (cs_address_split(ip, sizeof(ip), &port, text))
        return cs_error_set(CS_E_SETTING,
                            "--%s: '%s' is not IP:PORT (numeric IPv4, port "
                            "0..65535)",
                            setting->name, text);
    *(const char **)setting->value = text;
    return 0;
}

static int
set_value(const cs_setting *setting, const char *text)
{
    switch (setting->type) {
    case CS_SETTING_TEXT:
        return set_text(setting, text);
    case CS_SETTING_NUMBER:
        return set_number(setting, text);
    case CS_SETTING_ADDRESS:
        return set_address(setting, text);
    case CS_SETTING_FLAG:
        *(bool *)setting->value = true;
        return 0;
    }
    return cs_error_set(CS_E_SETTING, "--%s: unknown type", setting->name);
}

static void
get_environment_name(char *out, size_t size, const char *name)
{
    size_t i;

    snprintf(out, size, "CS_%s", name);
    for (i = 3; out[i]; i++)
        out[i] = out[i] == '-' ? '_' : (char)toupper((unsigned char)out[i]);
}

static int
read_environment(const cs_setting *settings, size_t count, bool *given)
{
    char name[64];
    const char *text;
    size_t i;
    int rc;

    for (i = 0; i < count; i++) {
        get_environment_name(name, sizeof(name), settings[i].name);
        text = getenv(name);
        if (!text)
            continue;
        rc = set_value(&settings[i], text);
        if (rc)
            return rc;
        given[i] = true;
    }
    return 0;
}

static void
print_default(const cs_setting *setting)
{
    const char *text;

    switch (setting->type) {
    case CS_SETTING_NUMBER:
        printf(" (%" PRId64 "..%" PRId64 ", default %" PRId64 ")",
               setting->min, setting->max, *(int64_t *)setting->value);
        break;
    case CS_SETTING_TEXT:
    case CS_SETTING_ADDRESS:
        text = *(const char **)setting->value;
        if (setting->required)
            printf(" (required)");
        else if (text && *text)
            printf(" (default %s)", text);
        break;
    case CS_SETTING_FLAG:
        break;
    }
    printf("\n");
}

static void
print_help(const cs_setting *settings, size_t count, const char *program,
           const char *summary)
{
    size_t i;

    printf("%s: %s\n\n", program, summary);
    for (i = 0; i < count; i++) {
        printf("  --%-22s %s", settings[i].name, settings[i].help);
        print_default(&settings[i]);
    }
    printf("  --%-22s print this text\n", "help");
    printf("  --%-22s print the version\n", "version");
    printf("\nEach flag may be given in the environment: --cell-lease-ms as "
           "CS_CELL_LEASE_MS.\n");
}

static void
fill_options(struct option *options, const cs_setting *settings, size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        options[i].name = settings[i].name;
        options[i].has_arg = settings[i].type == CS_SETTING_FLAG
                                 ? no_argument
                                 : required_argument;
        options[i].val = FIRST_SETTING_OPTION + (int)i;
    }
    options[count].name = "help";
    options[count].val = OPTION_HELP;
    options[count + 1].name = "version";
    options[count + 1].val = OPTION_VERSION;
}

static int
read_flags(cs_settings_next *next, const cs_setting *settings, size_t count,
           int argc, char **argv, bool *given, const char *summary)
{
    struct option options[MAX_SETTINGS + 3] = {0};
    int option;
    int rc;

    fill_options(options, settings, count);
    optind = 1;
    opterr = 0;
    while ((option = getopt_long(argc, argv, "+", options, NULL)) != -1) {
        if (option == OPTION_HELP) {
            print_help(settings, count, argv[0], summary);
            *next = CS_SETTINGS_EXIT;
            return 0;
        }
        if (option == OPTION_VERSION) {
            printf("%s %s\n", argv[0], CS_VERSION);
            *next = CS_SETTINGS_EXIT;
            return 0;
        }
        if (option < FIRST_SETTING_OPTION)
            return cs_error_set(CS_E_SETTING,
                                "%s: unknown flag or missing value; see "
                                "--help",
                                argv[optind - 1]);
        rc = set_value(&settings[option - FIRST_SETTING_OPTION],
                       optarg ? optarg : "");
        if (rc)
            return rc;
        given[option - FIRST_SETTING_OPTION] = true;
    }
    return 0;
}

int
cs_settings_parse(cs_settings_next *next, int *first_arg,
                  const cs_setting *settings, size_t count, int argc,
                  char **argv, const char *summary)
{
    bool given[MAX_SETTINGS] = {false};
    size_t i;
    int rc;

    *next = CS_SETTINGS_RUN;
    if (count > MAX_SETTINGS)
        return cs_error_set(CS_E_SETTING, "too many settings");
    rc = read_environment(settings, count, given);
    if (!rc)
        rc = read_flags(next, settings, count, argc, argv, given, summary);
    if (rc || *next == CS_SETTINGS_EXIT)
        return rc;
    if (first_arg)
        *first_arg = optind;
    else if (optind < argc)
        return cs_error_set(CS_E_SETTING, "unexpected argument '%s'",
                            argv[optind]);
    for (i = 0; i < count; i++) {
        if (settings[i].required && !given[i])
            return cs_error_set(CS_E_SETTING, "--%s is required: %s",
                                settings[i].name, settings[i].help);
    }
    return 0;
}
