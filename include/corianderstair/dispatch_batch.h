/**
 * @file dispatch_batch.h
 * Messages between the holder and its executors: orders to workers one way,
 * their answers the other, many in one message.
 */
#ifndef CS_DISPATCH_BATCH_H
#define CS_DISPATCH_BATCH_H

#include <glib.h>
#include "corianderstair/worker_port.h"

/** What an order asks of a worker. */
typedef enum {
    CS_DISPATCH_START = 1,
    CS_DISPATCH_STOP = 2,
    CS_DISPATCH_HOLD = 3
} cs_dispatch_type;

/** Ends a run. */
typedef struct {
    const char *task;
    uint32_t run;
    uint64_t epoch;
} cs_stop_order;

/** One order; texts are borrowed. */
typedef struct {
    cs_dispatch_type type;
    uint64_t number;     /**< of the sender, repeated in the answer */
    int64_t deadline_us; /**< on the receiver's boot clock */
    cs_worker_target target;
    union {
        cs_start_order start;
        cs_stop_order stop;
        cs_hold_order hold;
    } u;
} cs_dispatch_order;

/** A message that is being written. */
typedef struct {
    GByteArray *items;
    uint32_t count;
    char *spec; /**< text of the last start, which its successors share */
} cs_dispatch_writer;

void cs_dispatch_writer_init(cs_dispatch_writer *writer);
void cs_dispatch_writer_dispose(cs_dispatch_writer *writer);

/** Adds an order. */
void cs_dispatch_add_order(cs_dispatch_writer *writer,
                           const cs_dispatch_order *order);

/** Adds the answer to the order of a number. */
void cs_dispatch_add_answer(cs_dispatch_writer *writer, uint64_t number,
                            const cs_worker_answer *answer);

/** What a message says besides its items. */
typedef struct {
    uint64_t serial;  /**< in answers that of the newest orders received */
    int64_t clock_us; /**< the sender's boot clock */
    bool leaving;     /**< the sender will stop, and takes no new orders */
} cs_dispatch_head;

/** Ends a message and empties the writer. */
void cs_dispatch_finish(cs_dispatch_writer *writer, GByteArray *out,
                        const cs_dispatch_head *head);

typedef void (*cs_dispatch_on_order)(void *data,
                                     const cs_dispatch_order *order);
typedef void (*cs_dispatch_on_answer)(void *data, uint64_t number,
                                      const cs_worker_answer *answer);

/**
 * Reads a message of orders. The order and its texts are valid during the
 * call; one that cannot be read is passed over.
 * @return 0 or CS_E_INVALID
 */
int cs_dispatch_read_orders(cs_dispatch_head *head, const void *bytes,
                            size_t size_bytes, cs_dispatch_on_order take,
                            void *data);

/** Reads a message of answers, likewise. @return 0 or CS_E_INVALID */
int cs_dispatch_read_answers(cs_dispatch_head *head, const void *bytes,
                             size_t size_bytes, cs_dispatch_on_answer take,
                             void *data);

#endif
