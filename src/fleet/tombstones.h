/* Private declarations of the holder's tombstones: the rows of ids that were
   cancelled before a job of them was stored. They are no jobs. The holder
   removes them after the retention time of jobs. */
#ifndef CS_TOMBSTONES_H
#define CS_TOMBSTONES_H

#include "fleet_internal.h"

struct tombstones;

struct tombstones *tombstones_create(void);
void tombstones_free(struct tombstones *tombstones);
/* Notes the row of a tombstone, with what it contains. */
void tombstones_note(cs_fleet *fleet, const cs_row *row,
                     const cs_job_spec *spec);
/* Forgets the tombstone of an id, if any: its row is removed or replaced. */
void tombstones_forget(cs_fleet *fleet, const char *id);
/* Removes the rows of some that are past their retention unless a removal is
   in flight. */
void tombstones_remove_expired(cs_fleet *fleet);

#endif
