/*
 * Preemption takes most of a second, which is too long for short urgent jobs.
 * Therefore some racks are reserved for urgent work, in proportion to its
 * recent use.
 */
#include "corianderstair/headroom.h"

#include <glib.h>
#include <math.h>

/* Time constant of the average use: a few run times of urgent jobs. */
#define AVERAGING_S 10.0
/* Accelerators reserved for each accelerator of average urgent use. Bursts of
   urgent work reach 2 to 2.6 times its average on the deployments. */
#define HEADROOM_FACTOR 2.4
#define HEADROOM_RACKS_MIN 1

void
cs_headroom_advance(cs_headroom *headroom, double seconds)
{
    double weight = 1.0 - exp(-seconds / AVERAGING_S);

    headroom->mean_used +=
        ((double)headroom->used_accelerators - headroom->mean_used) * weight;
}

static double
accelerators_per_rack(const cs_binpack_cell *cell)
{
    int64_t total = 0;
    uint32_t i;

    for (i = 0; i < cell->worker_count; i++) {
        if (cell->workers[i].usable)
            total += cell->workers[i].capacity.accelerators;
    }
    return (double)total / cell->rack_count;
}

uint32_t
cs_headroom_racks(const cs_headroom *headroom, const cs_binpack_cell *cell)
{
    uint32_t max_racks = cell->rack_count / 2;
    double per_rack;
    double racks;

    if (cell->rack_count < 2)
        return 0;
    per_rack = accelerators_per_rack(cell);
    if (per_rack <= 0)
        return 0;
    racks = floor(HEADROOM_FACTOR * headroom->mean_used / per_rack + 0.5);
    return (uint32_t)CLAMP(racks, HEADROOM_RACKS_MIN, max_racks);
}
