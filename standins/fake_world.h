/**
 * @file fake_world.h
 * Simulates a zone on a virtual clock. Two real schedulers and a real entry
 * process run a scripted session against a fake table service, fake workers
 * and a fake network. The network can inject a fault at a chosen call: lose,
 * delay or duplicate it, or kill or pause the process that sends it. After
 * the session, a checker verifies the invariants.
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
    WORLD_LOSE_REPLY,   /**< the call is executed, but its reply is lost */
    WORLD_LATE_REQUEST, /**< the request arrives after a cell lease ended */
    WORLD_LATE_REPLY,   /**< the reply arrives after a cell lease ended */
    WORLD_DOUBLE,       /**< the call is executed twice */
    WORLD_KILL_BEFORE,  /**< the caller dies before the call is sent */
    WORLD_KILL_AFTER,   /**< the caller dies after the call is executed */
    WORLD_PAUSE_BEFORE, /**< the caller pauses before the call is sent, for
                             longer than a cell lease */
    WORLD_PAUSE_AFTER,  /**< the same, after the call is executed */
    WORLD_STORE_DOWN,   /**< the store refuses all calls for 10 s */
    WORLD_FAULT_COUNT
} world_fault;

/** A fault and the number of the call that it affects. */
typedef struct {
    world_fault fault;
    uint32_t call; /**< counted from 1; 0 for no fault */
} world_strike;

/**
 * Protections to disable, so that a test can verify that the checker detects
 * the violations that follow.
 */
typedef struct {
    bool no_fencing;      /**< schedulers and workers ignore epochs */
    bool no_worker_lease; /**< tasks continue after their leases expire */
    bool no_admission;    /**< guarantees are accepted without a check */
    bool no_condition;    /**< the table ignores the checks of a txn */
} world_breaks;

typedef struct {
    uint64_t seed;
    world_strike strikes[2];
    world_breaks breaks;
    GString *trace; /**< the audit trail is appended; may be NULL */
} world_options;

/** The checked invariants, numbered as in docs/design/authority.md. */
typedef enum {
    WORLD_GUARANTEE,  /**< a claim starts within its time bound */
    WORLD_WHOLE_GANG, /**< part of a gang runs alone for at most a worker
                           lease */
    WORLD_TRUTH,      /**< a final state agrees with the workers' events */
    WORLD_ONCE,       /**< attempts don't overlap, and a job that is not
                           restartable starts at most once */
    WORLD_DURABLE,    /**< every acknowledged change is in the table */
    WORLD_FORWARD,    /**< no process goes back to an older version */
    WORLD_COMPLETE,   /**< every job reaches a final state */
    WORLD_PROMISE_COUNT
} world_promise;

typedef struct {
    bool broken[WORLD_PROMISE_COUNT];
    char why[WORLD_PROMISE_COUNT][160]; /**< first violation of each */
    uint32_t calls;                     /**< number of calls sent */
    int64_t settled_us; /**< virtual time at which the session ended */
    int64_t partial_us; /**< longest time that part of a gang ran alone */
    int64_t claim_us;   /**< longest time from a claim to its start */
    uint64_t digest;    /**< hash of the table at the end */
} world_result;

/** Runs one session. The result depends only on the options. */
world_result world_play(const world_options *options);

/** @return name of an invariant, such as "whole-gang" */
const char *world_promise_name(world_promise promise);

/** @return name of a fault, such as "lose-reply" */
const char *world_fault_name(world_fault fault);

#endif
