/**
 * @file config_follower.h
 * Follows the configuration row and the evacuated zones in the store and
 * applies each change to the shared state of the process.
 */
#ifndef CS_CONFIG_FOLLOWER_H
#define CS_CONFIG_FOLLOWER_H

#include "corianderstair/fleet_state.h"

typedef struct cs_config_follower cs_config_follower;

/**
 * Creates a follower. It changes the configuration and the evacuated zones in
 * the shared state of the process, which is borrowed and must outlive the
 * follower.
 */
cs_config_follower *cs_config_follower_create(cs_fleet_state *fleet_state);

/** Frees the follower; no store call may be in flight. NULL is allowed. */
void cs_config_follower_destroy(cs_config_follower *follower);

/** Starts the next store call if it is due and none is in flight. */
void cs_config_follower_tick(cs_config_follower *follower);

#endif
