/**
 * @file fake_zone.h
 * Simulates a zone on a virtual clock. Two real schedulers and a real entry
 * process run a scripted session against a fake table service, fake workers
 * and a fake network. The network can inject a fault at a chosen call: lose,
 * delay or duplicate it, or kill or pause the process that sends it. After
 * the session, a checker verifies the invariants.
 */
#ifndef FAKE_ZONE_H
#define FAKE_ZONE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include "corianderstair/clock.h"

typedef enum {
    FAKE_ZONE_NO_FAULT,
    FAKE_ZONE_LOSE_REQUEST,
    FAKE_ZONE_LOSE_REPLY,   /**< the call is executed, but its reply is lost */
    FAKE_ZONE_LATE_REQUEST, /**< the request arrives after a cell lease ended
                             */
    FAKE_ZONE_LATE_REPLY,   /**< the reply arrives after a cell lease ended */
    FAKE_ZONE_DUPLICATE_REQUEST, /**< the call is executed twice */
    FAKE_ZONE_KILL_BEFORE,  /**< the caller dies before the call is sent */
    FAKE_ZONE_KILL_AFTER,   /**< the caller dies after the call is executed */
    FAKE_ZONE_PAUSE_BEFORE, /**< the caller pauses before the call is sent, for
                             longer than a cell lease */
    FAKE_ZONE_PAUSE_AFTER,  /**< the same, after the call is executed */
    FAKE_ZONE_STORE_DOWN,   /**< the store refuses all calls for 10 s */
    FAKE_ZONE_FAULT_COUNT
} fake_zone_fault;

/** A fault and the number of the call that it affects. */
typedef struct {
    fake_zone_fault fault;
    uint32_t call; /**< counted from 1; 0 for no fault */
} fake_zone_injection;

/**
 * Protections to disable, so that a test can verify that the checker detects
 * the violations that follow.
 */
typedef struct {
    bool no_fencing;          /**< schedulers and workers ignore epochs */
    bool no_worker_lease;     /**< tasks continue after their leases expire */
    bool no_admission;        /**< guarantees are accepted without a check */
    bool no_condition_checks; /**< the table ignores the checks of a txn */
} fake_zone_disabled_protections;

typedef struct {
    uint64_t seed;
    fake_zone_injection injections[2];
    fake_zone_disabled_protections disabled;
    GString *trace; /**< the audit trail is appended; may be NULL */
} fake_zone_options;

/** The checked invariants, numbered as in docs/design/authority.md. */
typedef enum {
    FAKE_ZONE_CLAIM_WAIT, /**< a claim starts within its time bound */
    FAKE_ZONE_WHOLE_GANG, /**< part of a gang runs alone for at most a worker
                           lease */
    FAKE_ZONE_TRUE_STATE, /**< a final state agrees with the workers' events */
    FAKE_ZONE_SINGLE_START, /**< attempts don't overlap, and a job that is not
                     restartable starts at most once */
    FAKE_ZONE_DURABLE,      /**< every acknowledged change is in the table */
    FAKE_ZONE_MONOTONIC_VERSION, /**< no process goes back to an older version
                                  */
    FAKE_ZONE_COMPLETE,          /**< every job reaches a final state */
    FAKE_ZONE_INVARIANT_COUNT
} fake_zone_invariant;

typedef struct {
    bool violated[FAKE_ZONE_INVARIANT_COUNT];
    char violation[FAKE_ZONE_INVARIANT_COUNT]
                  [160];    /**< first violation of each */
    uint32_t call_count;    /**< number of calls sent */
    int64_t ended_us;       /**< virtual time at which the session ended */
    int64_t max_partial_us; /**< longest time that part of a gang ran alone */
    int64_t max_claim_wait_us; /**< longest time from a claim to its start */
    uint64_t digest;           /**< hash of the table at the end */
} fake_zone_result;

/** Runs one session. The result depends only on the options. */
fake_zone_result fake_zone_run(const fake_zone_options *options);

/** @return name of an invariant, such as "whole-gang" */
const char *fake_zone_invariant_name(fake_zone_invariant invariant);

/** @return name of a fault, such as "lose-reply" */
const char *fake_zone_fault_name(fake_zone_fault fault);

#endif
