/**
 * @file entry.h
 * Handles callers' requests to submit, query and cancel jobs.
 *
 * Every request gets exactly one reply. A job is reported as accepted only
 * after its row is stored, and as rejected only if nothing was or will be
 * stored; CS_REPLY_UNKNOWN covers the rest.
 */
#ifndef CS_ENTRY_H
#define CS_ENTRY_H

#include "corianderstair/fleet_state.h"
#include "corianderstair/job_progress.h"
#include "corianderstair/job_spec.h"

/** Handles the job requests of one process. */
typedef struct cs_entry cs_entry;

typedef enum {
    CS_ENTRY_SUBMIT,
    CS_ENTRY_STATUS, /**< state of a job, or length of a queue if no id */
    CS_ENTRY_CANCEL,
    CS_ENTRY_OTHER /**< any other HTTP method; not allowed */
} cs_entry_call_type;

/** A caller's request. */
typedef struct {
    cs_entry_call_type type;
    const char *host; /**< with path, selects the queue */
    const char *path;
    const char *api_key; /**< API key; NULL if the caller sent none */
    cs_job_spec *spec;   /**< job to submit, disposed of by
                              cs_entry_handle(); NULL to decode the body */
    const char *body;    /**< of a submission without spec */
    size_t body_bytes;   /**< size of the body of a submission */
    /** Decodes the body, once the call is known to be allowed. Returns 0, or
        an error that the reply tells. */
    int (*decode)(cs_job_spec *out, const char *body, size_t size_bytes);
    int64_t deadline_us; /**< boot clock; when the caller stops waiting */
} cs_entry_call;

typedef enum {
    CS_REPLY_ACCEPTED,     /**< the job is stored, now or by an earlier call */
    CS_REPLY_STATUS,       /**< answer to a status query; state is set */
    CS_REPLY_QUEUE_LENGTH, /**< answer to a queue length query; queue_length is
                                set */
    CS_REPLY_CANCELLED,    /**< the job is marked as cancelled */
    CS_REPLY_UNKNOWN_QUEUE,      /**< no queue matches the host and path */
    CS_REPLY_UNKNOWN_KEY,        /**< the queue requires a known API key */
    CS_REPLY_NOT_FOUND,          /**< no such job */
    CS_REPLY_INVALID,            /**< invalid job; nothing was stored */
    CS_REPLY_TOO_LARGE,          /**< body too large; nothing was stored */
    CS_REPLY_METHOD_NOT_ALLOWED, /**< method not allowed */
    CS_REPLY_REJECTED, /**< nothing was stored or will be; may be retried */
    CS_REPLY_UNKNOWN   /**< a write was sent and may take effect */
} cs_reply_type;

typedef struct {
    cs_reply_type type;
    cs_progress_state state; /**< for CS_REPLY_STATUS */
    uint32_t queue_length;   /**< waiting jobs of the queue */
    uint32_t retry_after_s;  /**< for CS_REPLY_REJECTED; 0: no hint */
    int code;                /**< error number, see docs/ERRORS.md; 0: none */
    const char *message;     /**< error text; NULL if there is no error */
} cs_entry_reply;

/** Receives the reply, which is valid only during the call. */
typedef void (*cs_entry_done)(void *user_data, const cs_entry_reply *reply);

/**
 * Creates a handler. The shared state of the process is borrowed and must
 * outlive it.
 */
cs_entry *cs_entry_create(cs_fleet_state *fleet_state);

/**
 * Frees the handler. Requests that wait for a retry are answered as rejected
 * or unknown; no store call may be in flight. NULL is allowed.
 */
void cs_entry_destroy(cs_entry *entry);

/**
 * Handles a request. done is called exactly once, possibly before this
 * function returns.
 */
void cs_entry_handle(cs_entry *entry, const cs_entry_call *call,
                     cs_entry_done done, void *user_data);

/** Retries the requests whose backoff has passed. */
void cs_entry_tick(cs_entry *entry);

/** @return the number of requests without a reply */
uint32_t cs_entry_open_requests(const cs_entry *entry);

/**
 * @return whether the process can accept requests: it has a configuration and
 *         is not draining
 */
bool cs_entry_is_ready(const cs_entry *entry);

#endif
