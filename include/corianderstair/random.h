/**
 * @file random.h
 * A seeded random number generator (xorshift64*), not for cryptography. The
 * same seed gives the same sequence, and so the same decisions.
 */
#ifndef CS_RANDOM_H
#define CS_RANDOM_H

#include <stdint.h>

typedef struct {
    uint64_t state; /**< never 0 */
} cs_random;

/** Initializes a generator; any seed is valid. */
void cs_random_init(cs_random *rng, uint64_t seed);

/** @return the next 64 bits */
uint64_t cs_random_next(cs_random *rng);

/** @return a value in [0, bound), with bound > 0; slightly biased (modulo) */
uint64_t cs_random_below(cs_random *rng, uint64_t bound);

/** @return a uniformly distributed value in [0, 1) */
double cs_random_unit(cs_random *rng);

/** @return an exponentially distributed value with the given mean */
double cs_random_exponential(cs_random *rng, double mean);

#endif
