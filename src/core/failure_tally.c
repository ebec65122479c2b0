#include "chervilmast/failure_tally.h"

#include <stddef.h>

#define PER_MILLE 1000
/** A failure counts nothing after so long, ms. */
#define FAILURE_LIFE_MS 6000
/** Score from which a server fails again and again, thousandths. */
#define FAILING_SCORE 3000
/** Highest score, so that a server that was mended is tried in time. */
#define SCORE_MAX 12000

static uint32_t score_now(const struct cm_failure_count *count, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - count->added_ms;

	if (!count->token || age_ms >= FAILURE_LIFE_MS)
		return 0;
	return (uint32_t)(count->score * (FAILURE_LIFE_MS - age_ms) /
			  FAILURE_LIFE_MS);
}

/* The place of a token, or the one that says least. */
static struct cm_failure_count *place_of(struct cm_failure_tally *tally,
					 uint64_t now_ms, uint32_t token)
{
	struct cm_failure_count *least = &tally->items[0];

	for (int i = 0; i < CM_FAILURE_TALLY_MAX; i++) {
		struct cm_failure_count *count = &tally->items[i];

		if (count->token == token)
			return count;
		if (score_now(count, now_ms) < score_now(least, now_ms))
			least = count;
	}
	return least;
}

static void add_one(struct cm_failure_tally *tally, uint64_t now_ms,
		    uint32_t token)
{
	struct cm_failure_count *count = place_of(tally, now_ms, token);
	uint32_t score = PER_MILLE;

	if (count->token == token)
		score += score_now(count, now_ms);
	count->token = token;
	count->score = score < SCORE_MAX ? score : SCORE_MAX;
	count->added_ms = now_ms;
}

void cm_failure_tally_add(struct cm_failure_tally *tally, uint64_t now_ms,
			  const uint32_t *tokens, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		add_one(tally, now_ms, tokens[i]);
}

uint32_t cm_failure_tally_read(const struct cm_failure_tally *tally,
			       uint64_t now_ms, uint32_t *tokens)
{
	uint32_t count = 0;

	for (int i = 0; i < CM_FAILURE_TALLY_MAX; i++)
		if (score_now(&tally->items[i], now_ms) >= FAILING_SCORE)
			tokens[count++] = tally->items[i].token;
	return count;
}
