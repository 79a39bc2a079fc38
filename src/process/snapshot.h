/* Loads the state of a scope from a peer while the store is unreachable. */
#ifndef CS_SNAPSHOT_H
#define CS_SNAPSHOT_H

#include "corianderstair/process.h"

struct snapshot_state {
    int64_t next_fetch_us; /* boot clock; 0 until a scope needs one */
    bool fetching;         /* a fetch is in flight */
};

/* Starts a fetch if a followed scope is not loaded and the time has come. */

void snapshot_tick(struct snapshot_state *state, cs_process *process);

#endif
