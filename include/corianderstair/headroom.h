/**
 * @file headroom.h
 * The capacity that is reserved for urgent work, in racks that other work has
 * to leave free. Pure decisions without I/O or a clock.
 */
#ifndef CS_HEADROOM_H
#define CS_HEADROOM_H

#include <stdint.h>
#include "corianderstair/binpack.h"

/** The use of accelerators by urgent tasks. Initialised with zeros. */
typedef struct {
    int64_t
        used_accelerators; /**< accelerators in use now; set by the caller */
    double mean_used;      /**< exponential moving average of
                           used_accelerators; its time constant is 10 s */
} cs_headroom;

/** Updates the average after an interval during which the number of used
 * accelerators did not change. */
void cs_headroom_advance(cs_headroom *headroom, double seconds);

/**
 * Racks with workers of which none is usable are not counted.
 * @param cell indexed
 * @return how many of the cell's last racks to reserve for urgent work: so
 * many that at least one and at most half of all counted racks are reserved,
 *         or 0 in a cell with a single counted rack or no usable accelerators
 */
uint32_t cs_headroom_racks(const cs_headroom *headroom,
                           const cs_binpack_cell *cell);

#endif
