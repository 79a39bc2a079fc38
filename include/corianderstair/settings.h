/**
 * @file settings.h
 * Settings of a program from command-line flags (getopt_long) and environment
 * variables.
 *
 * A flag such as --cell-lease-ms can also be given by the environment variable
 * CS_CELL_LEASE_MS; the flag takes precedence. Each value is checked at start,
 * and the message of a failure names the flag, the value and the allowed
 * range.
 */
#ifndef CS_SETTINGS_H
#define CS_SETTINGS_H

#include <stdint.h>
#include <stddef.h>
#include <stdbool.h>

typedef enum {
    CS_SETTING_TEXT,    /**< const char * of min..max bytes */
    CS_SETTING_NUMBER,  /**< int64_t within min..max */
    CS_SETTING_ADDRESS, /**< const char *, "IP:PORT" with a numeric IPv4 */
    CS_SETTING_FLAG     /**< bool, true when given */
} cs_setting_type;

/** A setting of a program. */
typedef struct {
    const char *name; /**< long flag without leading dashes */
    cs_setting_type type;
    void *value; /**< const char **, int64_t * or bool *; holds the default */
    int64_t min;
    int64_t max;
    bool required;
    const char *help; /**< description in the text of --help */
} cs_setting;

/** What the program does after cs_settings_parse. */
typedef enum { CS_SETTINGS_RUN, CS_SETTINGS_EXIT } cs_settings_next;

/**
 * Reads the values of the settings from the environment and the flags. Texts
 * point into argv or the environment.
 * @param next set to CS_SETTINGS_EXIT if --help or --version was given, whose
 *             text is printed then
 * @param first_arg set to the index in argv of the first positional argument;
 *                  NULL if positional arguments are an error
 * @param summary one line for --help that describes the program
 * @return 0 or CS_E_SETTING
 */
int cs_settings_parse(cs_settings_next *next, int *first_arg,
                      const cs_setting *settings, size_t count, int argc,
                      char **argv, const char *summary);

/**
 * Splits "IP:PORT", with a numeric IPv4 address.
 * @param ip receives the address without the port, zero-terminated
 * @return 0 or CS_E_INVALID
 */
int cs_address_split(char *ip, size_t ip_size, uint16_t *port,
                     const char *address);

#endif
