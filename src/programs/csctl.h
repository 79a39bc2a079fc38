/* Declarations shared by the source files of csctl. */
#ifndef CSCTL_H
#define CSCTL_H

#include <jansson.h>
#include <stdbool.h>
#include "corianderstair/http_client.h"
#include "corianderstair/net.h"

/* Exit statuses; docs/OPERATIONS.md has the table. */
enum {
    EXIT_OK = 0,
    EXIT_REFUSED = 1,         /* a server answered with an error */
    EXIT_USAGE = 2,           /* wrong flags, arguments or input file */
    EXIT_UNREACHABLE = 3,     /* no response from a server */
    EXIT_DEADLINE = 4,        /* --deadline passed */
    EXIT_UNEXPECTED_STATE = 5 /* the job ended in another state than --for */
};

/* The flags, the arguments and the connection of one run of csctl. */
struct ctl {
    const char *servers;    /* "IP:PORT,IP:PORT" */
    const char *output;     /* "table" or "json" */
    const char *file;       /* NULL if not given; "-" for standard input */
    const char *wait_state; /* value of --for */
    int64_t deadline_s;
    const char *zone;
    const char *scope;
    int64_t from_version; /* negative if not given */
    char **args;          /* the command and its arguments */
    int arg_count;
    GMainLoop *loop;
    cs_net *net;
    cs_http_client *client;
    char **server_addresses;
    /* The last response. */
    int call_code; /* 0, or a negative cs_code if there was no response */
    int http_status;
    json_t *response;       /* its body; NULL if that is not JSON */
    GString *stream_buffer; /* received part of a line of a stream */
};

struct command {
    const char *name;
    const char *usage;
    const char *help;
    int (*run)(struct ctl *ctl);
};

/* Checks the flags and creates the HTTP client. Returns 0 or a negative
   cs_code. */
int ctl_open(struct ctl *ctl);
void ctl_close(struct ctl *ctl);

/* Sends a request to the servers in turn until one responds that is not
   shutting down; a request that a server may have handled is not sent again.
   if_match and body may be NULL. Returns an exit status, and prints the error
   for any but EXIT_OK. */
int ctl_call(struct ctl *ctl, const char *method, const char *path,
             const char *if_match, const json_t *body);

/* Sends a GET request to the first server and calls on_line for each line of
   the response, until the response ends, on_line returns false or the deadline
   passes. Returns an exit status, and prints the error for EXIT_REFUSED,
   EXIT_USAGE and EXIT_UNREACHABLE. */
int ctl_stream(struct ctl *ctl, const char *path,
               bool (*on_line)(struct ctl *ctl, const json_t *object));

/* Prints the last response in the format of --output. */
void ctl_print_response(struct ctl *ctl);

/* Splits "KIND/NAME" or "KIND". name is set to NULL if there is none. Returns
   the plural name of the kind, or NULL if the kind is unknown. */
const char *ctl_parse_resource(const char *arg, const char **name);

int command_apply(struct ctl *ctl);
int command_get(struct ctl *ctl);
int command_delete(struct ctl *ctl);
int command_watch(struct ctl *ctl);
int command_wait(struct ctl *ctl);
int command_explain(struct ctl *ctl);
int command_cancel(struct ctl *ctl);
int command_drain(struct ctl *ctl);
int command_audit(struct ctl *ctl);
int command_top(struct ctl *ctl);
int command_request(struct ctl *ctl);
int command_fleet(struct ctl *ctl);

#endif
