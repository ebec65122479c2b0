#include "chervilmast/congestion.h"

/** Divisor of the weight of a response. */
#define WEIGHT_DIVISOR 8
/** Number of half-lives after which a congestion is 0. */
#define HALF_LIVES_MAX 10

uint32_t cm_congestion_get(const struct cm_congestion *congestion,
			   uint64_t now_ms)
{
	uint64_t half_lives;

	if (now_ms <= congestion->seen_ms)
		return congestion->per_mille;
	half_lives =
		(now_ms - congestion->seen_ms) / CM_CONGESTION_HALF_LIFE_MS;
	return half_lives < HALF_LIVES_MAX ?
		       congestion->per_mille >> half_lives :
		       0;
}

void cm_congestion_add(struct cm_congestion *congestion, uint64_t now_ms,
		       bool is_full)
{
	uint32_t per_mille = cm_congestion_get(congestion, now_ms);

	per_mille -= per_mille / WEIGHT_DIVISOR;
	if (is_full)
		per_mille += CM_CONGESTION_FULL / WEIGHT_DIVISOR;
	congestion->per_mille = per_mille;
	congestion->seen_ms = now_ms;
}
