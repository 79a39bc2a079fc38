/* Starts programs of the build as child processes, on ports that the kernel
   chooses, and sends HTTP requests to them. */
#ifndef HARNESS_H
#define HARNESS_H

#include <jansson.h>
#include <stddef.h>

struct harness;

struct harness *harness_create(void);
/* Stops every program with SIGTERM and waits for it. Returns the number of
   programs that did not exit with status 0, and prints the end of their
   output. */
int harness_destroy(struct harness *harness);

/* Starts a program with the given arguments, which end with NULL, and waits
   until it has printed its address. Returns "IP:PORT" of its HTTP server,
   owned by the harness. */
const char *harness_start(struct harness *harness, const char *program, ...)
    __attribute__((sentinel));

/* Sends a request and waits for the response. Returns the HTTP status, or a
   negative cs_code if there is no response. body may be NULL; it is set to the
   parsed JSON response, a new reference, or to NULL if that is not JSON.
   if_match is the If-Match header or NULL; text is the request's body or NULL,
   size its length in bytes. */
int harness_call(struct harness *harness, json_t **body, const char *method,
                 const char *address, const char *path, const char *if_match,
                 const char *text, size_t size);

/* As harness_call, with a Host header and, unless authorization is NULL, an
   Authorization header. */
int harness_call_as(struct harness *harness, json_t **body, const char *method,
                    const char *address, const char *path, const char *host,
                    const char *authorization, const char *text, size_t size);

/* Repeats a GET request until it returns the status; fails the test after
   20 s. */
void harness_wait_for_status(struct harness *harness, const char *address,
                             const char *path, int status);

#endif
