#include "chervilmast/failure_tally.h"

#include <stdbool.h>
#include <stddef.h>

#define PER_MILLE 1000
/**
 * Age at which an ended flow no longer counts, ms; until then its weight
 * decreases linearly.
 */
#define FLOW_DECAY_MS 6000
/**
 * Minimum failures for an ejection, thousandths: two, the first of which has
 * decayed a little.
 */
#define FAILURES_MIN 1800
/**
 * Minimum failure rate for an ejection, thousandths; see FAILURE_RATE_FACTOR.
 */
#define FAILURE_RATE_MIN 100
/**
 * A server is ejected when its failure rate reaches FAILURE_RATE_MIN plus this
 * multiple of the failure rate of all servers.
 */
#define FAILURE_RATE_FACTOR 2
/** Duration of a first ejection, and its increase with each further one, ms. */
#define EJECTION_MS 5000
/** Maximum duration of an ejection, ms. */
#define EJECTION_MAX_MS 30000
/**
 * Time after the end of a server's last ejection from which the next one counts
 * as a first one, ms.
 */
#define EJECTIONS_RESET_MS 30000

static bool is_ejected(const struct cm_failure_count *count, uint64_t now_ms)
{
	return count->token && now_ms < count->ejected_until_ms;
}

static uint32_t decayed(uint32_t score, uint64_t age_ms)
{
	if (age_ms >= FLOW_DECAY_MS)
		return 0;
	return (uint32_t)(score * (FLOW_DECAY_MS - age_ms) / FLOW_DECAY_MS);
}

static void decay_ends(struct cm_flow_ends *ends, uint64_t now_ms)
{
	ends->failed = decayed(ends->failed, now_ms - ends->added_ms);
	ends->all = decayed(ends->all, now_ms - ends->added_ms);
	ends->added_ms = now_ms;
}

static void add_end(struct cm_flow_ends *ends, uint64_t now_ms, bool failed)
{
	decay_ends(ends, now_ms);
	ends->all += PER_MILLE;
	if (failed)
		ends->failed += PER_MILLE;
}

static uint64_t failure_rate(const struct cm_flow_ends *ends)
{
	return ends->all ? (uint64_t)ends->failed * PER_MILLE / ends->all : 0;
}

/* The record with the lowest priority is evicted when a new one needs room. */
static uint32_t retention_priority(const struct cm_failure_count *count,
				   uint64_t now_ms)
{
	if (is_ejected(count, now_ms))
		return UINT32_MAX;
	if (!count->token)
		return 0;
	return decayed(count->ends.failed, now_ms - count->ends.added_ms);
}

static struct cm_failure_count *find(struct cm_failure_tally *tally,
				     uint32_t token)
{
	for (int i = 0; i < CM_FAILURE_TALLY_MAX; i++)
		if (tally->items[i].token == token)
			return &tally->items[i];
	return NULL;
}

static struct cm_failure_count *eviction_victim(struct cm_failure_tally *tally,
						uint64_t now_ms)
{
	struct cm_failure_count *least = &tally->items[0];

	for (int i = 1; i < CM_FAILURE_TALLY_MAX; i++)
		if (retention_priority(&tally->items[i], now_ms) <
		    retention_priority(least, now_ms))
			least = &tally->items[i];
	return least;
}

/*
 * Finds or adds the record of a token; evicts another one if there is no room.
 */
static struct cm_failure_count *find_or_evict(struct cm_failure_tally *tally,
					      uint64_t now_ms, uint32_t token)
{
	struct cm_failure_count *count = find(tally, token);

	if (count)
		return count;
	count = eviction_victim(tally, now_ms);
	*count = (struct cm_failure_count){
		.token = token,
		.ends.added_ms = now_ms,
	};
	return count;
}

static bool is_outlier(const struct cm_failure_tally *tally,
		       const struct cm_failure_count *count)
{
	return count->ends.failed >= FAILURES_MIN &&
	       failure_rate(&count->ends) >=
		       FAILURE_RATE_MIN +
			       FAILURE_RATE_FACTOR * failure_rate(&tally->all);
}

/*
 * Sets the counts to one failure at the end of the ejection, so that one more
 * failure soon after it ejects the server again.
 */
static void eject(struct cm_failure_count *count, uint64_t now_ms)
{
	uint64_t duration_ms;

	if (now_ms >= count->ejected_until_ms + EJECTIONS_RESET_MS)
		count->ejections = 0;
	count->ejections++;
	duration_ms = (uint64_t)count->ejections * EJECTION_MS;
	if (duration_ms > EJECTION_MAX_MS)
		duration_ms = EJECTION_MAX_MS;
	count->ejected_until_ms = now_ms + duration_ms;
	count->ends.failed = PER_MILLE;
	count->ends.all = PER_MILLE;
	count->ends.added_ms = count->ejected_until_ms;
}

/*
 * Failures at an ejected server are of flows that began before the ejection, so
 * they do not count against the server.
 */
static void add_failure(struct cm_failure_tally *tally, uint64_t now_ms,
			uint32_t token)
{
	struct cm_failure_count *count = find_or_evict(tally, now_ms, token);

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

uint32_t cm_failure_tally_list_ejected(const struct cm_failure_tally *tally,
				       uint64_t now_ms, uint32_t *tokens)
{
	uint32_t count = 0;

	for (int i = 0; i < CM_FAILURE_TALLY_MAX; i++)
		if (is_ejected(&tally->items[i], now_ms))
			tokens[count++] = tally->items[i].token;
	return count;
}
