/**
 * @file dispatch_batch.h
 * Encoding of the messages between the holder of a cell and its executors. A
 * batch carries either many orders for workers, from the holder to an
 * executor, or many answers of workers, on the way back.
 */
#ifndef CS_DISPATCH_BATCH_H
#define CS_DISPATCH_BATCH_H

#include <glib.h>
#include "corianderstair/worker_port.h"

/** Type of an order. The values are part of the encoding. */
typedef enum {
    CS_DISPATCH_START = 1,    /**< starts a run */
    CS_DISPATCH_STOP = 2,     /**< ends a run */
    CS_DISPATCH_HEARTBEAT = 3 /**< renews the leases and lists the runs */
} cs_dispatch_order_type;

/** Arguments of an order that ends a run. */
typedef struct {
    const char *task;
    uint32_t run;
    uint64_t epoch; /**< fencing token: number of the holder's tenure */
} cs_stop_order;

/** An order for one worker. Strings are borrowed. */
typedef struct {
    cs_dispatch_order_type type;
    uint64_t id;         /**< set by the holder and repeated in the answer */
    int64_t deadline_us; /**< on the receiver's boot clock */
    cs_worker_target target;
    union {
        cs_start_order start;
        cs_stop_order stop;
        cs_heartbeat_order heartbeat;
    } u;
} cs_dispatch_order;

/** Encoder of a batch. */
typedef struct {
    GByteArray *items; /**< encoded so far */
    uint32_t count;    /**< of items */
    /** Job spec of the newest start order, or NULL. Start orders that follow
        with the same spec are encoded without it. */
    char *last_spec;
} cs_batch_writer;

/** Initialises an empty batch. Dispose of it with cs_batch_writer_dispose. */
void cs_batch_writer_init(cs_batch_writer *writer);
/** Frees what the writer owns, but not the writer itself. */
void cs_batch_writer_dispose(cs_batch_writer *writer);

/** Appends an order; its strings are copied. */
void cs_batch_add_order(cs_batch_writer *writer,
                        const cs_dispatch_order *order);

/** Appends the answer to the order with the given id. */
void cs_batch_add_answer(cs_batch_writer *writer, uint64_t order_id,
                         const cs_worker_answer *answer);

/** Largest session of a process. Sessions of the tenures follow it. */
#define CS_SESSION_MAX (UINT64_C(1) << 62)

/** Header of a batch. */
typedef struct {
    /** Orders: number of the batch, one more than the one before. Answers:
        highest number received, as an acknowledgement. */
    uint64_t sequence;
    int64_t sender_clock_us; /**< the sender's boot clock at sending */
    bool draining; /**< the executor will exit and wants no new orders */
    /** Of the sender: a number that no other process and no other tenure at
        its address has; 0 in batches of older versions. */
    uint64_t session;
    /** Session that the batch is meant for: of the executor whose clock the
        deadlines are on, or of the holder whose orders are answered; 0 if the
        sender does not know it. */
    uint64_t receiver_session;
} cs_batch_header;

/**
 * Appends the complete batch to out, and empties the writer for the next one.
 * A batch without items is valid.
 */
void cs_batch_finish(cs_batch_writer *writer, GByteArray *out,
                     const cs_batch_header *header);

/** Called for each order. It and its strings are valid during the call. */
typedef void (*cs_batch_on_order)(void *user_data,
                                  const cs_dispatch_order *order);
/** Called for each answer, which is valid during the call. */
typedef void (*cs_batch_on_answer)(void *user_data, uint64_t order_id,
                                   const cs_worker_answer *answer);

/**
 * Decodes the header of a batch alone.
 * @return 0, or CS_E_INVALID if the header is invalid or of another version
 */
int cs_batch_read_header(cs_batch_header *header, const void *bytes,
                         size_t size_bytes);

/**
 * Decodes a batch of orders and calls on_order for each. Skips an order with
 * missing or invalid fields, and stops without an error where the batch ends
 * early or an item isn't an array.
 * @param header receives the header, before on_order is called
 * @return 0, or CS_E_INVALID if the header is invalid or of another version
 */
int cs_batch_read_orders(cs_batch_header *header, const void *bytes,
                         size_t size_bytes, cs_batch_on_order on_order,
                         void *user_data);

/**
 * Decodes a batch of answers and calls on_answer for each; invalid items are
 * treated as in cs_batch_read_orders.
 * @param header receives the header
 * @return 0, or CS_E_INVALID if the header is invalid or of another version
 */
int cs_batch_read_answers(cs_batch_header *header, const void *bytes,
                          size_t size_bytes, cs_batch_on_answer on_answer,
                          void *user_data);

#endif
