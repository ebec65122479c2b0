#include "chervilmast/failure_tally.h"

#include <stdbool.h>
#include <stddef.h>

#define PER_MILLE 1000
/** Age at which an ended flow has decayed to nothing, ms. */
#define END_LIFE_MS 6000
/** Minimum failures of an ejected server, thousandths; two failures, of which
 * the first has decayed a little. */
#define FAILURES_LEAST 1800
/** Constant part of the failure rate from which a server is ejected,
 * thousandths. */
#define SHARE_LEAST 100
/** Multiple of the failure rate of all servers that is added to the constant
 * part. */
#define SHARE_TIMES 2
/** Duration of a first ejection, and increment of each one after it, ms. */
#define EJECTION_MS 5000
/** Maximum duration of an ejection, ms. */
#define EJECTION_MOST_MS 30000
/** Time since the last ejection's end from which one counts as a first, ms. */
#define EJECTIONS_LIFE_MS 30000

static bool is_ejected(const struct cm_failure_count *count, uint64_t now_ms)
{
	return count->token && now_ms < count->ejected_until_ms;
}

static uint32_t at_age(uint32_t score, uint64_t age_ms)
{
	if (age_ms >= END_LIFE_MS)
		return 0;
	return (uint32_t)(score * (END_LIFE_MS - age_ms) / END_LIFE_MS);
}

static void expire(struct cm_flow_ends *ends, uint64_t now_ms)
{
	ends->failed = at_age(ends->failed, now_ms - ends->added_ms);
	ends->all = at_age(ends->all, now_ms - ends->added_ms);
	ends->added_ms = now_ms;
}

static void add_end(struct cm_flow_ends *ends, uint64_t now_ms, bool failed)
{
	expire(ends, now_ms);
	ends->all += PER_MILLE;
	if (failed)
		ends->failed += PER_MILLE;
}

static uint64_t share_failed(const struct cm_flow_ends *ends)
{
	return ends->all ? (uint64_t)ends->failed * PER_MILLE / ends->all : 0;
}

/* The record with the lowest priority is evicted when a new one needs room. */
static uint32_t priority(const struct cm_failure_count *count, uint64_t now_ms)
{
	if (is_ejected(count, now_ms))
		return UINT32_MAX;
	if (!count->token)
		return 0;
	return at_age(count->ends.failed, now_ms - count->ends.added_ms);
}

static struct cm_failure_count *find(struct cm_failure_tally *tally,
				     uint32_t token)
{
	for (int i = 0; i < CM_FAILURE_TALLY_MAX; i++)
		if (tally->items[i].token == token)
			return &tally->items[i];
	return NULL;
}

static struct cm_failure_count *least_important(struct cm_failure_tally *tally,
						uint64_t now_ms)
{
	struct cm_failure_count *least = &tally->items[0];

	for (int i = 1; i < CM_FAILURE_TALLY_MAX; i++)
		if (priority(&tally->items[i], now_ms) <
		    priority(least, now_ms))
			least = &tally->items[i];
	return least;
}

/* Finds or adds the record of a token; evicts another one if need be. */
static struct cm_failure_count *get(struct cm_failure_tally *tally,
				    uint64_t now_ms, uint32_t token)
{
	struct cm_failure_count *count = find(tally, token);

	if (count)
		return count;
	count = least_important(tally, now_ms);
	*count = (struct cm_failure_count){
		.token = token,
		.ends.added_ms = now_ms,
	};
	return count;
}

static bool is_outlier(const struct cm_failure_tally *tally,
		       const struct cm_failure_count *count)
{
	return count->ends.failed >= FAILURES_LEAST &&
	       share_failed(&count->ends) >=
		       SHARE_LEAST + SHARE_TIMES * share_failed(&tally->all);
}

/*
 * Keeps one failure, dated to the end of the ejection, so that one failure soon
 * after it ejects the server again.
 */
static void eject(struct cm_failure_count *count, uint64_t now_ms)
{
	uint64_t pause_ms;

	if (now_ms >= count->ejected_until_ms + EJECTIONS_LIFE_MS)
		count->ejections = 0;
	count->ejections++;
	pause_ms = (uint64_t)count->ejections * EJECTION_MS;
	if (pause_ms > EJECTION_MOST_MS)
		pause_ms = EJECTION_MOST_MS;
	count->ejected_until_ms = now_ms + pause_ms;
	count->ends.failed = PER_MILLE;
	count->ends.all = PER_MILLE;
	count->ends.added_ms = count->ejected_until_ms;
}

/* Flows that end at an ejected server began before the ejection. */
static void add_failure(struct cm_failure_tally *tally, uint64_t now_ms,
			uint32_t token)
{
	struct cm_failure_count *count = get(tally, now_ms, token);

	add_end(&tally->all, now_ms, true);
	if (is_ejected(count, now_ms))
		return;
	add_end(&count->ends, now_ms, true);
	if (is_outlier(tally, count))
		eject(count, now_ms);
}

void cm_failure_tally_failed(struct cm_failure_tally *tally, uint64_t now_ms,
			     const uint32_t *tokens, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		add_failure(tally, now_ms, tokens[i]);
}

void cm_failure_tally_succeeded(struct cm_failure_tally *tally, uint64_t now_ms,
				const uint32_t *tokens, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct cm_failure_count *known = find(tally, tokens[i]);

		add_end(&tally->all, now_ms, false);
		if (known && !is_ejected(known, now_ms))
			add_end(&known->ends, now_ms, false);
	}
}

uint32_t cm_failure_tally_read(const struct cm_failure_tally *tally,
			       uint64_t now_ms, uint32_t *tokens)
{
	uint32_t count = 0;

	for (int i = 0; i < CM_FAILURE_TALLY_MAX; i++)
		if (is_ejected(&tally->items[i], now_ms))
			tokens[count++] = tally->items[i].token;
	return count;
}
