/**
 * @file cell.h
 * Leader election for a zone: the holder of the zone's cell is the one process
 * that gives orders to its workers.
 *
 * The row cell/ZONE names the holder and its epoch and changes only when the
 * cell changes hands; the row lease/ZONE is written at every renewal. A
 * stand-by takes over once it has seen the lease row unchanged for a whole
 * lease on its own clock. The epoch is the fencing token of every order.
 */
#ifndef CS_CELL_H
#define CS_CELL_H

#include <stdbool.h>
#include <stdint.h>
#include "corianderstair/counters.h"
#include "corianderstair/outbox.h"

typedef struct cs_cell cs_cell;

/** Renewals per lease. */
#define CS_CELL_RENEWALS_PER_LEASE 3

/**
 * Creates a cell that is not held.
 * @param outbox carries the calls to the store; borrowed, as is counters
 * @param holder name of this process; copied, as are zone and incarnation
 * @param incarnation distinguishes this run of the process
 * @return the cell; free it with cs_cell_destroy
 */
cs_cell *cs_cell_create(cs_outbox *outbox, cs_counters *counters,
                        const char *zone, const char *holder,
                        const char *incarnation, int64_t lease_us);
void cs_cell_destroy(cs_cell *cell);

/** Reads the rows, acquires the cell or renews its lease, as is due. */
void cs_cell_tick(cs_cell *cell);

/** Gives up the cell; a stand-by can acquire it without waiting. */
void cs_cell_release(cs_cell *cell);

/**
 * @param at_us an instant of the boot clock
 * @return whether the cell is held at that instant
 */
bool cs_cell_is_held(const cs_cell *cell, int64_t at_us);

/** @return the epoch held or, when not held, the highest epoch seen */
int64_t cs_cell_epoch(const cs_cell *cell);

/** @return when the lease held ends, on the boot clock */
int64_t cs_cell_lease_end_us(const cs_cell *cell);

/** @return the length of a lease */
int64_t cs_cell_lease_us(const cs_cell *cell);

/**
 * @return the row version of cell/ZONE on which commits are conditional; 0
 *         when the cell is not held
 */
uint64_t cs_cell_fence_version(const cs_cell *cell);

/** Reports an epoch seen elsewhere; a higher one means the cell is lost. */
void cs_cell_report_epoch(cs_cell *cell, int64_t epoch);

/**
 * @return the last known holder, possibly this process; "" when unknown. Owned
 *         by the cell
 */
const char *cs_cell_holder(const cs_cell *cell);

/** @return whether the store answered the last read or write */
bool cs_cell_store_answers(const cs_cell *cell);

#endif
