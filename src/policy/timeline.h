/*
 * The expected free capacity of a cell over time, for the reservations of
 * backfill.c. The ends of the runs give, for each worker, when capacity
 * becomes free.
 */
#ifndef CS_TIMELINE_H
#define CS_TIMELINE_H

#include "corianderstair/backfill.h"

/* The caller owns the struct; timeline_dispose() frees what it owns. */
struct timeline {
    const cs_binpack_cell *cell;
    double now_s;
    cs_demand *free;          /* by worker: now, less what is reserved */
    cs_demand *rack_capacity; /* by rack: of its usable workers */
    cs_backfill_run *runs;    /* by rack; end_s includes the spread */
    uint32_t *rack_first_run; /* by rack; an entry more than racks */
    bool *rack_sorted;        /* by rack: its runs are sorted by their ends */
    cs_backfill_run *all;     /* runs of all racks, sorted; NULL not yet */
    uint32_t run_count;
    /* Scratch space of sweep(), by worker. */
    cs_demand *available;
    uint32_t *slots;
};

/* A place and time for a gang. */
struct place {
    uint32_t *workers;
    double start_s;
    double idle_cores_s;
};

/* Begins with the free capacity of the cell, which is borrowed. */
void timeline_init(struct timeline *timeline, const cs_binpack_cell *cell,
                   const cs_backfill_run *runs, uint32_t run_count,
                   double now_s);
void timeline_dispose(struct timeline *timeline);

/* Returns by how much starts at about the time may differ and are still
   regarded as equal, so that reservations don't move between racks. */
double timeline_tolerance_s(const struct timeline *timeline, double start_s);

/* Finds the earliest place of a request up to limit_s. */
bool timeline_find_place(struct place *out, struct timeline *timeline,
                         const cs_binpack_request *request, double limit_s);

/* Returns when the reserved workers could hold the request. */
double timeline_reserved_start_s(struct timeline *timeline,
                                 const cs_backfill_reservation *reservation,
                                 const cs_binpack_request *request);

/* Returns the demand of a reservation's tasks on the worker of its task index,
   and sets next to the first task on another worker. */
cs_demand
timeline_reserved_on_worker(const cs_backfill_reservation *reservation,
                            uint32_t index, uint32_t *next);

/* Returns the runs of a rack, or of all for CS_BINPACK_ANY, sorted by their
   ends; owned by the timeline. */
const cs_backfill_run *timeline_sorted_runs(struct timeline *timeline,
                                            uint32_t rack, uint32_t *count);

/* Takes the reserved capacity from the timeline. */
void timeline_reserve(struct timeline *timeline,
                      const cs_backfill_reservation *reservation);

#endif
