/* State changes of jobs that a scheduling cycle makes. */
#ifndef CS_SCHED_INTERNAL_H
#define CS_SCHED_INTERNAL_H

#include "policy_internal.h"

/* Claims the members for a job that is no longer queued. */
void sched_claim(cs_sched *sched, cs_sched_job *job, const GArray *members);
/* Gives up the claim; the caller queues the job again or frees it. */
void sched_unclaim(cs_sched *sched, cs_sched_job *job);
/* Starts a job on the members, or on those that it has claimed if members is
   NULL. */
void sched_start(cs_sched *sched, cs_sched_job *job, const GArray *members,
                 int64_t now_us);

#endif
