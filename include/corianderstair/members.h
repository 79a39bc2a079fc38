/**
 * @file members.h
 * Membership of the VMs of the deployment. Each VM periodically writes a row
 * with its addresses and its CPU share to the store, and reads those of the
 * others.
 */
#ifndef CS_MEMBERS_H
#define CS_MEMBERS_H

#include "corianderstair/fleet_state.h"
#include "corianderstair/store_router.h"

/** Table of the rows in the store; the key is the VM's name. */
#define CS_TABLE_MEMBERS "vm"

/** A VM, as described by its row. */
typedef struct {
    char name[64];
    char zone[64];
    char peer_address[48]; /**< where it relays calls to the store */
    char link_address[48]; /**< of its peer link; empty for none */
    int64_t cpu_milli;     /**< CPU share in 1/1000 of a core; 0 unknown */
} cs_member;

typedef struct cs_members cs_members;

/**
 * Creates an empty list. Free it with cs_members_destroy.
 * @param state shared state of the process, where the rank of this VM and
 *              whether its store calls are relayed are set; borrowed
 * @param router is given the addresses of the peers; borrowed
 */
cs_members *cs_members_create(cs_fleet_state *state, cs_store_router *router);

/**
 * Frees the list; NULL is allowed. To be called only when no call to the store
 * is open.
 */
void cs_members_destroy(cs_members *members);

/**
 * Writes the row of this VM and reads those of all VMs, when they are due.
 * Does neither if this VM has no peer address.
 */
void cs_members_tick(cs_members *members);

/**
 * @return the cs_member of each VM whose row is not stale, by descending CPU
 *         share; owned by members and valid until the next read
 */
const GPtrArray *cs_members_list(const cs_members *members);

/**
 * Reads from a VM's row which incarnation of the process has written it.
 * @param size size of out
 * @return false if the row does not tell
 */
bool cs_members_read_incarnation(char *out, size_t size, const cs_row *row);

#endif
