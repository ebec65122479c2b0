/**
 * DOC: Pseudo-random numbers that depend only on a seed
 */
#ifndef FAKE_RANDOM_H
#define FAKE_RANDOM_H

#include <stdint.h>

/**
 * struct fake_random - a generator (SplitMix64)
 * @state: state of the generator; any value may serve as the seed
 */
struct fake_random {
	uint64_t state;
};

/**
 * fake_random_next() - next random number
 * @random: the generator
 *
 * Return: 64 random bits.
 */
uint64_t fake_random_next(struct fake_random *random);

/**
 * fake_random_below() - random number below a limit
 * @random: the generator
 * @limit: above 0
 *
 * Return: a number from 0 to @limit - 1.
 */
uint32_t fake_random_below(struct fake_random *random, uint32_t limit);

#endif
