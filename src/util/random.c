#include "corianderstair/random.h"

#include <math.h>

void
cs_random_init(cs_random *rng, uint64_t seed)
{
    /* The generator could never leave the state 0. */
    rng->state = seed * UINT64_C(0x9E3779B97F4A7C15) + 1;
    if (rng->state == 0)
        rng->state = 1;
    cs_random_next(rng);
    cs_random_next(rng);
}

uint64_t
cs_random_next(cs_random *rng)
{
    uint64_t x = rng->state;

    x ^= x >> 12;
    x ^= x << 25;
    x ^= x >> 27;
    rng->state = x;
    return x * UINT64_C(0x2545F4914F6CDD1D);
}

uint64_t
cs_random_below(cs_random *rng, uint64_t bound)
{
    return cs_random_next(rng) % bound;
}

double
cs_random_unit(cs_random *rng)
{
    return (double)(cs_random_next(rng) >> 11) * 0x1.0p-53;
}

double
cs_random_exponential(cs_random *rng, double mean)
{
    return -mean * log(1.0 - cs_random_unit(rng));
}
