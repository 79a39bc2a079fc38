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

/* Returns whether the rack counts: not if it has workers of which none is
   usable, as in an evacuated zone. A rack without workers stands for those
   that do not name theirs yet. */
static bool
is_rack_counted(const cs_binpack_cell *cell, uint32_t rack)
{
    uint32_t first = cell->rack_first[rack];
    uint32_t end = cell->rack_first[rack + 1];
    uint32_t i;

    for (i = first; i < end; i++) {
        if (cell->workers[cell->by_rack[i]].usable)
            return true;
    }
    return first == end;
}

static uint32_t
count_racks(const cs_binpack_cell *cell)
{
    uint32_t count = 0;
    uint32_t rack;

    for (rack = 0; rack < cell->rack_count; rack++)
        count += is_rack_counted(cell, rack);
    return count;
}

static double
accelerators_per_rack(const cs_binpack_cell *cell, uint32_t racks)
{
    int64_t total = 0;
    uint32_t i;

    for (i = 0; i < cell->worker_count; i++) {
        if (cell->workers[i].usable)
            total += cell->workers[i].capacity.accelerators;
    }
    return (double)total / racks;
}

/* Returns how many of the last racks contain the number of counted ones. */
static uint32_t
tail_length(const cs_binpack_cell *cell, uint32_t racks)
{
    uint32_t length = 0;

    while (racks > 0 && length < cell->rack_count) {
        length++;
        racks -= is_rack_counted(cell, cell->rack_count - length);
    }
    return length;
}

uint32_t
cs_headroom_racks(const cs_headroom *headroom, const cs_binpack_cell *cell)
{
    uint32_t max_racks;
    uint32_t counted;
    double per_rack;
    double racks;

    if (cell->rack_count < 2)
        return 0;
    counted = count_racks(cell);
    if (counted < 2)
        return 0;
    per_rack = accelerators_per_rack(cell, counted);
    if (per_rack <= 0)
        return 0;
    racks = floor(HEADROOM_FACTOR * headroom->mean_used / per_rack + 0.5);
    max_racks = counted / 2;
    return tail_length(cell,
                       (uint32_t)CLAMP(racks, HEADROOM_RACKS_MIN, max_racks));
}
