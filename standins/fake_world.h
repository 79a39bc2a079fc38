/**
 * @file fake_world.h
 * Real controllers on fake interfaces and a virtual clock: two schedulers of
 * one zone and an entry process, a table service and workers, and a network
 * that can be told to lose, delay or double any one call, or to kill or pause
 * a process around it.
 */
#ifndef FAKE_WORLD_H
#define FAKE_WORLD_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include "corianderstair/clock.h"

typedef enum {
    WORLD_NO_FAULT,
    WORLD_LOSE_REQUEST,
    WORLD_LOSE_REPLY,   /**< answered after the effect, and the answer lost */
    WORLD_LATE_REQUEST, /**< arrives after a lease */
    WORLD_LATE_REPLY,
    WORLD_DOUBLE,       /**< executed twice */
    WORLD_KILL_BEFORE,  /**< the caller dies before it is sent */
    WORLD_KILL_AFTER,   /**< the caller dies when it has taken effect */
    WORLD_PAUSE_BEFORE, /**< the caller stops for longer than its lease */
    WORLD_PAUSE_AFTER,
    WORLD_STORE_DOWN, /**< the store refuses everything for a while */
    WORLD_FAULT_COUNT
} world_fault;

/** A fault and the call at which it strikes, counted from 1. */
typedef struct {
    world_fault fault;
    uint32_t call;
} world_strike;

/** Protections taken away, to show that the checker notices. */
typedef struct {
    bool no_fencing;      /**< schedulers and workers ignore epochs */
    bool no_worker_lease; /**< tasks go on when nobody renews them */
    bool no_admission;    /**< guarantees are accepted unchecked */
    bool no_condition;    /**< the table ignores conditions */
} world_breaks;

typedef struct {
    uint64_t seed;
    world_strike strikes[2];
    world_breaks breaks;
    GString *trace; /**< takes the audit trail; NULL for none */
} world_options;

/** The promises that are checked, by the numbers of docs/design/authority.md.
 */
typedef enum {
    WORLD_GUARANTEE,  /**< a claim starts within its bound */
    WORLD_WHOLE_GANG, /**< no part of a gang runs longer than a lease alone */
    WORLD_TRUTH,      /**< a final state agrees with the workers' record */
    WORLD_ONCE,       /**< a job that may run once is started once */
    WORLD_DURABLE,    /**< what was acknowledged is in the table */
    WORLD_FORWARD,    /**< no process applies an older version */
    WORLD_COMPLETE,   /**< every job comes to an end */
    WORLD_PROMISE_COUNT
} world_promise;

typedef struct {
    bool broken[WORLD_PROMISE_COUNT];
    char why[WORLD_PROMISE_COUNT][160];
    uint32_t calls;     /**< made in all */
    int64_t settled_us; /**< when the last job ended */
    int64_t partial_us; /**< longest time that a part of a gang ran alone */
    int64_t claim_us;   /**< from the claim to its start */
    uint64_t digest;    /**< of the table's end state */
} world_result;

/** Plays one session. The same options give the same result. */
world_result world_play(const world_options *options);

/** @return the word for a promise, such as "whole-gang" */
const char *world_promise_name(world_promise promise);

/** @return the word for a fault, such as "lose-reply" */
const char *world_fault_name(world_fault fault);

#endif
