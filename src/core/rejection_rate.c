#include "chervilmast/rejection_rate.h"

#define PER_MILLE 1000
/** Divisor of the weight of a response. */
#define WEIGHT_DIVISOR 8
/** Number of half-lives after which a rate is 0. */
#define HALF_LIVES_MAX 10

uint32_t cm_rejection_rate_get(const struct cm_rejection_rate *rate,
			       uint64_t now_ms)
{
	uint64_t half_lives;

	if (now_ms <= rate->seen_ms)
		return rate->per_mille;
	half_lives = (now_ms - rate->seen_ms) / CM_REJECTION_HALF_LIFE_MS;
	return half_lives < HALF_LIVES_MAX ? rate->per_mille >> half_lives : 0;
}

void cm_rejection_rate_add(struct cm_rejection_rate *rate, uint64_t now_ms,
			   bool is_rejected)
{
	uint32_t per_mille = cm_rejection_rate_get(rate, now_ms);

	per_mille -= per_mille / WEIGHT_DIVISOR;
	if (is_rejected)
		per_mille += PER_MILLE / WEIGHT_DIVISOR;
	rate->per_mille = per_mille;
	rate->seen_ms = now_ms;
}
