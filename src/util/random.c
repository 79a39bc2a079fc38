#include "corianderstair/random.h"

#include <math.h>

void
cs_random_init(cs_random *r, uint64_t seed)
{
    /* Zero is the one state the generator cannot leave. */
    r->state = seed * UINT64_C(0x9E3779B97F4A7C15) + 1;
    if (r->state == 0)
        r->state = 1;
    cs_random_next(r);
    cs_random_next(r);
}

uint64_t
cs_random_next(cs_random *r)
{
    uint64_t x = r->state;

    x ^= x >> 12;
    x ^= x << 25;
    x ^= x >> 27;
    r->state = x;
    return x * UINT64_C(0x2545F4914F6CDD1D);
}

uint64_t
cs_random_below(cs_random *r, uint64_t bound)
{
    return cs_random_next(r) % bound;
}

double
cs_random_unit(cs_random *r)
{
    return (double)(cs_random_next(r) >> 11) * 0x1.0p-53;
}

double
cs_random_exponential(cs_random *r, double mean)
{
    return -mean * log(1.0 - cs_random_unit(r));
}
