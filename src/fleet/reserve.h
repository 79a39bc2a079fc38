/* Private declarations of the holder's reservations, cycle_reserve.c and
   run_ends.c. They exist only in the holder: a new one computes them from the
   runs that it has adopted. */
#ifndef CS_RESERVE_H
#define CS_RESERVE_H

#include "corianderstair/backfill.h"
#include "cycle_internal.h"

/* The holder's reservations. Dropped at the end of a tenure. */
struct reserve {
    cs_backfill *backfill;
    int64_t next_update_us;
    GHashTable *deviations; /* queue name to double: mean relative deviation
                               of its run times from their mean */
};

/* run_ends.c */
/* Returns the expected duration of a task of a step on a worker of speed 1,
   in ms, and its spread. */
double run_expected_work_ms(const cs_fleet *fleet, const struct step *step,
                            double *spread_ms);
/* Returns the expected ends of all runs that hold capacity and will end, of
   cs_backfill_run, to be freed. */
GArray *run_list_ends(const cs_fleet *fleet, int64_t now_us);

/* cycle_reserve.c */
struct reserve *reserve_create(void);
void reserve_free(struct reserve *reserve);
/* Learns how much the run times of a queue differ from their mean. */
void reserve_learn(struct reserve *reserve, const char *queue, double ms,
                   double mean_ms);
/* Returns the expected duration of the candidate's tasks with its spread, by
   which reservations limit it: 0 if none stand or if it is urgent. */
double reserve_duration_s(const struct cycle *cycle,
                          const struct candidate *candidate);
bool reserve_has(const struct cycle *cycle, const struct step *step);
/* Withholds from the cell what reservations for other steps deny to a step of
   the duration, until reserve_restore(). Returns whether they deny any. */
bool reserve_withhold(struct cycle *cycle, const struct step *step,
                      double duration_s);
void reserve_restore(struct cycle *cycle);
/* Accounts for the tasks of a step that were placed. */
void reserve_placed(struct cycle *cycle, const struct step *step,
                    const uint32_t *workers, uint32_t count,
                    double duration_s);
/* Updates the reservations after all candidates were tried. */
void reserve_update(struct cycle *cycle);
/* Describes the reservation of a step: a new object with its racks, number of
   workers and start, or NULL. Sets reason to a sentence, to be freed. */
json_t *reserve_status(const cs_fleet *fleet, const struct step *step,
                       char **reason);

#endif
