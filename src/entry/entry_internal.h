/* Private declarations of src/entry: the parts of the entry that decide
   whether a submission is stored at all. */
#ifndef CS_ENTRY_INTERNAL_H
#define CS_ENTRY_INTERNAL_H

#include "corianderstair/admit.h"
#include "corianderstair/entry.h"

/* entry_admit.c: admission by the holder's forecast. */
struct entry_admit;

/* A decision with what it was based on, for the log. */
struct entry_verdict {
    cs_admit_decision decision;
    int64_t forecast_age_ms;
    uint64_t epoch;
    char queue[CS_JOB_NAME_BYTES];
    char organisation[CS_JOB_NAME_BYTES];
};

struct entry_admit *entry_admit_create(cs_fleet_state *fleet_state);
void entry_admit_destroy(struct entry_admit *admit);
/*
 * Decides on a submission. Returns NULL if it is to be stored, else the
 * verdict, to be freed with g_free(), which holds if no row of the job exists.
 */
struct entry_verdict *
entry_admit_decide(struct entry_admit *admit, const cs_queue_config *queue,
                   const cs_organisation_config *organisation,
                   const cs_job_spec *spec, int64_t timeout_ms);
/* Logs and counts a rejection, remembers the id and fills the reply. */
void entry_admit_reject(struct entry_admit *admit, const char *id,
                        const struct entry_verdict *verdict,
                        cs_entry_reply *reply);
/* Records that a write of the job is sent. */
void entry_admit_note_write(struct entry_admit *admit, const char *id);
/* Records the answer to a write, which may take effect later if unknown. */
void entry_admit_note_answer(struct entry_admit *admit, const char *id,
                             bool unknown);
/* Records that the job is stored. */
void entry_admit_note_stored(struct entry_admit *admit, const char *id);
/* Returns whether a write of this process may still store the job. */
bool entry_admit_is_unsettled(const struct entry_admit *admit, const char *id);
/* Returns whether this process has found lately that the job is stored. */
bool entry_admit_is_stored(const struct entry_admit *admit, const char *id);

/* entry_tombstones.c: limits of the tombstones that this process writes. */
struct entry_tombstones;

struct entry_tombstones *entry_tombstones_create(cs_fleet_state *fleet_state);
void entry_tombstones_destroy(struct entry_tombstones *tombstones);
/* Counts a tombstone that is to be written for an organisation's cancel.
   Returns false if there is no room for it. */
bool entry_tombstones_reserve(struct entry_tombstones *tombstones,
                              const char *organisation);

/* entry_outage.c: outages of the store. */
struct entry_outage;

struct entry_outage *entry_outage_create(cs_fleet_state *fleet_state);
void entry_outage_destroy(struct entry_outage *outage);
/* Notices outages and their ends, and sends probes during them. */
void entry_outage_tick(struct entry_outage *outage);
/* Returns whether the store is unreachable and being probed. */
bool entry_outage_is_present(const struct entry_outage *outage);
/* Rejects a submission for which nothing was sent: logs and counts it and
   fills the reply. */
void entry_outage_reject(struct entry_outage *outage, const char *id,
                         int64_t deadline_us, cs_entry_reply *reply);
/* Returns after how many seconds a caller should return. */
uint32_t entry_outage_retry_after_s(const struct entry_outage *outage,
                                    const char *id, int64_t timeout_ms);

#endif
