/**
 * @file clock.h
 * Time in microseconds. A process compares its own deadlines on the boot
 * clock (CLOCK_BOOTTIME), which is monotonic and counts suspended time.
 * Messages between machines carry deadlines on the wall clock.
 */
#ifndef CS_CLOCK_H
#define CS_CLOCK_H

#include <stdint.h>

/** A millisecond in microseconds. */
#define CS_MS_US ((int64_t)1000)
/** A second in microseconds. */
#define CS_SEC_US ((int64_t)1000000)

/**
 * One instant on both clocks. Controllers are passed the instant and read no
 * clock themselves.
 */
typedef struct {
    int64_t boot_us; /**< boot clock; for deadlines within the process */
    int64_t wall_us; /**< since 1970; for messages and records */
} cs_now;

/** @return the current time on both clocks */
cs_now cs_now_read(void);

/** @return the boot clock, in microseconds */
int64_t cs_clock_boot_us(void);

/** @return the wall clock, in microseconds since 1970 */
int64_t cs_clock_wall_us(void);

#endif
