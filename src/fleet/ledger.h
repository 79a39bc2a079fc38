/*
 * The holder's account of the organisations' shares and of the lateness of
 * callers' zones, which decide the order of waiting steps within a priority.
 * It is kept in the row LEDGER_KEY of CS_TABLE_CELL across tenures.
 */
#ifndef CS_FLEET_LEDGER_H
#define CS_FLEET_LEDGER_H

#include "fleet_internal.h"
#include "corianderstair/shares.h"
#include "corianderstair/zone_lag.h"

#define LEDGER_KEY "shares"

struct ledger {
    cs_shares *shares;
    cs_zone_lag zones;
    struct feed feed;     /* reads the row once in a tenure */
    bool restored;        /* from the row; otherwise it starts from what is
                             adopted */
    int64_t row_clock_ms; /* store's clock when the row was written */
    int64_t advanced_us;  /* when the averages were last updated; 0 never */
    int64_t next_write_us;
    bool configured;
    uint64_t config_version; /* that was applied to the shares */
};

struct ledger *ledger_create(void);
void ledger_destroy(struct ledger *ledger);
/* Drops all that is known, at the begin of a tenure. */
void ledger_reset(struct ledger *ledger);
/* Accounts for a task that was placed on a worker, or taken off it. */
void ledger_add_use(cs_fleet *fleet, const struct task *task);
void ledger_remove_use(cs_fleet *fleet, const struct task *task);
/* Updates the averages; capacity is that of all listed workers. */
void ledger_begin_cycle(cs_fleet *fleet, const cs_demand *capacity);
/* Computes the steps of what was marked as waiting; logs who is over. */
void ledger_compute_steps(cs_fleet *fleet);
/* Encodes the row if it is due. Returns whether it was. */
bool ledger_encode_due(cs_fleet *fleet, GByteArray *out);
void ledger_apply_row(cs_fleet *fleet, const cs_row *row);
/* Return lists for operators, to be freed by the caller. */
json_t *ledger_list_organisations(const cs_fleet *fleet);
json_t *ledger_list_zones(const cs_fleet *fleet);

#endif
