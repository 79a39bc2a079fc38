/**
 * @file headroom.h
 * Room kept for urgent work: how many racks other work has to leave free.
 * Pure decisions without I/O or clock.
 */
#ifndef CS_HEADROOM_H
#define CS_HEADROOM_H

#include <stdint.h>
#include "corianderstair/fit.h"

/** What is known of the urgent work. Zeroed: nothing yet. */
typedef struct {
    int64_t used; /**< accelerators that urgent tasks have now */
    double mean;  /**< of used, over the last seconds */
} cs_headroom;

/** Lets time pass, during which used was as it is now. */
void cs_headroom_advance(cs_headroom *headroom, double seconds);

/**
 * @return the number of racks that only urgent work may take, at most half
 *         of them
 */
uint32_t cs_headroom_racks(const cs_headroom *headroom,
                           const cs_fit_cell *cell);

#endif
