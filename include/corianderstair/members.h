/**
 * @file members.h
 * The VMs of the deployment: each keeps a row with its addresses and its
 * strength, so that the others find it.
 */
#ifndef CS_MEMBERS_H
#define CS_MEMBERS_H

#include "corianderstair/fleet_board.h"
#include "corianderstair/store_router.h"

/** Table of the rows; the key is the VM's name. */
#define CS_TABLE_MEMBERS "vm"

/** A VM as its row tells. */
typedef struct {
    char name[64];
    char zone[64];
    char peer_address[48];
    char link_address[48]; /**< of its peer link; empty for none */
    int64_t cpu_milli;     /**< share of a core; 0 not told */
} cs_member;

typedef struct cs_members cs_members;

/** Creates the list; board and router are borrowed. */
cs_members *cs_members_create(cs_fleet_board *board, cs_store_router *router);

/** Frees it once no call is open; NULL is allowed. */
void cs_members_destroy(cs_members *members);

/** Writes and reads what is due. */
void cs_members_tick(cs_members *members);

/** @return the VMs whose rows are fresh, the strongest first */
const GPtrArray *cs_members_list(const cs_members *members);

#endif
