/**
 * @file message.h
 * Messages between the processes of a deployment, encoded in msgpack.
 */
#ifndef CS_MESSAGE_H
#define CS_MESSAGE_H

#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/** Version of the encoding; a message of any other version is rejected. */
#define CS_MESSAGE_VERSION 1
/** Size of the buffers for names, including the terminator. */
#define CS_MESSAGE_NAME_BYTES 64

/** Type of a message. The values are part of the encoding. */
typedef enum {
    CS_MSG_HEARTBEAT = 1, /**< from every process to all peers, periodically */
    CS_MSG_VERSION_HINT = 2, /**< to all peers: a scope has a new version */
    CS_MSG_EXPLAIN_REQUEST =
        3,                   /**< request to explain a job, to a scheduler */
    CS_MSG_EXPLAIN_REPLY = 4 /**< the reply to it */
} cs_message_type;

/** State of the sending process. */
typedef struct {
    char role[CS_MESSAGE_NAME_BYTES];
    char zone[CS_MESSAGE_NAME_BYTES];
    char http_address[CS_MESSAGE_NAME_BYTES]; /**< "IP:PORT" of its HTTP server
                                               */
    uint64_t config_version; /**< of the configuration in use */
    int64_t open_requests;   /**< of callers, in progress */
    int64_t draining;        /**< 1 if the process is about to exit, else 0 */
    /** Status of a scheduler as JSON, or NULL; owned. Where the sender had
       NULL the receiver gets an empty string. */
    char *summary;
} cs_peer_heartbeat;

/** Announces that a scope of the store has reached a version. A receiver that
    hasn't read it yet polls the store at once. */
typedef struct {
    char scope[CS_MESSAGE_NAME_BYTES];
    uint64_t version;
} cs_version_hint;

/** Asks the scheduler for an explanation of a job's state. */
typedef struct {
    uint64_t id; /**< repeated in the reply */
    char job[CS_MESSAGE_NAME_BYTES];
} cs_explain_request;

/** Reply to a cs_explain_request. */
typedef struct {
    uint64_t id; /**< of the request */
    char *text;  /**< JSON; owned */
} cs_explain_reply;

/** A message; type selects the member of the union. */
typedef struct {
    cs_message_type type;
    char
        sender_name[CS_MESSAGE_NAME_BYTES]; /**< name of the sending process */
    int64_t deadline_us; /**< wall clock; receivers drop it afterwards */
    union {
        cs_peer_heartbeat heartbeat;
        cs_version_hint version_hint;
        cs_explain_request explain_request;
        cs_explain_reply explain_reply;
    } u;
} cs_message;

/** Appends the encoded message to out. */
void cs_message_encode(GByteArray *out, const cs_message *message);

/**
 * Decodes a message.
 * @param out receives the message; free its contents with cs_message_clear
 * @return 0, or CS_E_INVALID if it is malformed or of another version
 */
int cs_message_decode(cs_message *out, const void *bytes, size_t size_bytes);

/** Frees what the message owns, but not the message itself. */
void cs_message_clear(cs_message *message);

#endif
