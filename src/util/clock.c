#include "corianderstair/clock.h"

#include <time.h>

static int64_t
read_clock_us(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (int64_t)ts.tv_sec * CS_SEC_US + ts.tv_nsec / 1000;
}

int64_t
cs_clock_boot_us(void)
{
    return read_clock_us(CLOCK_BOOTTIME);
}

int64_t
cs_clock_wall_us(void)
{
    return read_clock_us(CLOCK_REALTIME);
}

cs_now
cs_now_read(void)
{
    cs_now now = {cs_clock_boot_us(), cs_clock_wall_us()};

    return now;
}
