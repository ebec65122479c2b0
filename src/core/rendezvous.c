#include "chervilmast/rendezvous.h"

#include "log2_table.h"

/* A scale is this value divided by the weight. */
#define SCALE_UNIT (1u << 20)
#define HASH_BITS 64
/* Number of fraction bits of a fixed-point logarithm. */
#define LOG2_SHIFT 32
/* Number of bits by which to interpolate between two table entries. */
#define STEP_BITS 16

/* Hashes a key and an item by the finalizer of SplitMix64. */
static uint64_t mix(uint64_t key, uint64_t item)
{
	uint64_t z = (key ^ item) + 0x9e3779b97f4a7c15 * (item | 1);

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
	z = (z ^ z >> 27) * 0x94d049bb133111eb;
	return z ^ z >> 31;
}

/* -log2(hash / 2^64), exponentially distributed for uniform hashes. */
static uint64_t negative_log2(uint64_t hash)
{
	int zeros = __builtin_clzll(hash | 1);
	uint64_t fraction = (hash | 1) << zeros << 1;
	uint32_t i = (uint32_t)(fraction >> (HASH_BITS - LOG2_TABLE_BITS));
	uint64_t step = fraction >> (HASH_BITS - LOG2_TABLE_BITS - STEP_BITS) &
			((1 << STEP_BITS) - 1);
	uint64_t low = log2_table[i];
	uint64_t rise = log2_table[i + 1] - low;

	return ((uint64_t)(zeros + 1) << LOG2_SHIFT) - low -
	       (rise * step >> STEP_BITS);
}

uint32_t cm_rendezvous_scale(uint32_t weight)
{
	return SCALE_UNIT / weight;
}

uint64_t cm_rendezvous_score(uint64_t key, uint64_t item, uint32_t scale)
{
	return UINT64_MAX - negative_log2(mix(key, item)) * scale;
}
