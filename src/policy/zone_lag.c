/*
 * Evenness over the zones of callers. Load: the jobs of one zone become known
 * late, for example after its links were slow, and stay behind those of other
 * zones of the same age.
 */
#include "corianderstair/zone_lag.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Jobs of the mean of all zones that are added to each zone's, so that one or
   two late jobs do not make a zone late. */
#define PRIOR_JOBS 3.0

uint32_t
cs_zone_lag_find(cs_zone_lag *lag, const char *name)
{
    uint32_t i;

    for (i = 0; i < lag->zone_count; i++) {
        if (strcmp(lag->zones[i].name, name) == 0)
            return i;
    }
    if (lag->zone_count == CS_ZONE_LAG_ZONES_MAX)
        return CS_ZONE_LAG_ZONES_MAX - 1;
    g_strlcpy(lag->zones[i].name, name, sizeof(lag->zones[i].name));
    lag->zone_count++;
    return i;
}

double
cs_zone_lag_of_job(int64_t accepted_ms, int64_t objective_ms,
                   int64_t expected_end_ms)
{
    double allowed_ms = (double)(objective_ms - accepted_ms);

    if (allowed_ms <= 0)
        return 0;
    return CLAMP((double)(expected_end_ms - objective_ms) / allowed_ms, 0.0,
                 CS_ZONE_LAG_MAX);
}

static uint32_t
class_of(uint32_t priority)
{
    return MIN(priority, CS_ZONE_LAG_CLASSES - 1);
}

void
cs_zone_lag_advance(cs_zone_lag *lag, double seconds)
{
    double kept = exp(-MAX(seconds, 0) / CS_ZONE_LAG_AVERAGING_S);
    uint32_t i;
    uint32_t k;

    for (i = 0; i < lag->zone_count; i++) {
        for (k = 0; k < CS_ZONE_LAG_CLASSES; k++) {
            cs_zone_lag_class *figures = &lag->zones[i].classes[k];

            figures->sum *= kept;
            figures->count *= kept;
            figures->waiting_sum = 0;
            figures->waiting_count = 0;
        }
    }
}

void
cs_zone_lag_add_waiting(cs_zone_lag *lag, uint32_t zone, uint32_t priority,
                        double lateness)
{
    cs_zone_lag_class *figures = &lag->zones[zone].classes[class_of(priority)];

    figures->waiting_sum += lateness;
    figures->waiting_count++;
}

void
cs_zone_lag_add_placed(cs_zone_lag *lag, uint32_t zone, uint32_t priority,
                       double lateness)
{
    cs_zone_lag_class *figures = &lag->zones[zone].classes[class_of(priority)];

    figures->sum += lateness;
    figures->count++;
}

static void
compute_means(cs_zone_lag *lag, uint32_t k)
{
    double sum = 0;
    double count = 0;
    uint32_t i;

    for (i = 0; i < lag->zone_count; i++) {
        const cs_zone_lag_class *figures = &lag->zones[i].classes[k];

        sum += figures->sum + figures->waiting_sum;
        count += figures->count + figures->waiting_count;
    }
    for (i = 0; i < lag->zone_count; i++) {
        cs_zone_lag_class *figures = &lag->zones[i].classes[k];
        double prior = count > 0 ? sum / count : 0;

        figures->mean =
            (figures->sum + figures->waiting_sum + PRIOR_JOBS * prior) /
            (figures->count + figures->waiting_count + PRIOR_JOBS);
    }
}

static void
compute_class_steps(cs_zone_lag *lag, uint32_t k)
{
    double latest = 0;
    uint32_t i;

    compute_means(lag, k);
    for (i = 0; i < lag->zone_count; i++) {
        if (lag->zones[i].classes[k].waiting_count > 0)
            latest = MAX(latest, lag->zones[i].classes[k].mean);
    }
    for (i = 0; i < lag->zone_count; i++) {
        cs_zone_lag_class *figures = &lag->zones[i].classes[k];

        figures->step =
            (uint32_t)(MAX(latest - figures->mean, 0) / CS_ZONE_LAG_QUANTUM);
    }
}

void
cs_zone_lag_compute_steps(cs_zone_lag *lag)
{
    uint32_t k;

    for (k = 0; k < CS_ZONE_LAG_CLASSES; k++)
        compute_class_steps(lag, k);
}

uint32_t
cs_zone_lag_step(const cs_zone_lag *lag, uint32_t zone, uint32_t priority)
{
    return lag->zones[zone].classes[class_of(priority)].step;
}

double
cs_zone_lag_mean(const cs_zone *zone)
{
    double sum = 0;
    double count = 0;
    uint32_t k;

    for (k = 0; k < CS_ZONE_LAG_CLASSES; k++) {
        double jobs = zone->classes[k].count + zone->classes[k].waiting_count;

        sum += zone->classes[k].mean * jobs;
        count += jobs;
    }
    return count > 0 ? sum / count : 0;
}

bool
cs_zone_lag_update_late(cs_zone_lag *lag, uint32_t zone)
{
    double least = CS_ZONE_LAG_MAX;
    double excess;
    bool late;
    uint32_t i;

    for (i = 0; i < lag->zone_count; i++)
        least = MIN(least, cs_zone_lag_mean(&lag->zones[i]));
    excess = cs_zone_lag_mean(&lag->zones[zone]) - least;
    late = lag->zones[zone].late ? excess > CS_ZONE_LAG_QUANTUM / 2
                                 : excess >= CS_ZONE_LAG_QUANTUM;
    if (late == lag->zones[zone].late)
        return false;
    lag->zones[zone].late = late;
    return true;
}
