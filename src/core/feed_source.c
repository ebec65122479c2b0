#include "chervilmast/feed_source.h"

#include <string.h>

void cm_feed_source_init(struct cm_feed_source *feed, uint64_t age_max_ms)
{
	memset(feed, 0, sizeof(*feed));
	feed->age_max_ms = age_max_ms;
}

static bool is_expired(const struct cm_feed_skipped *skipped, uint64_t now_ms)
{
	return !*skipped->name || now_ms >= skipped->since_ms + CM_FEED_SKIP_MS;
}

bool cm_feed_source_is_skipped(const struct cm_feed_source *feed,
			       const char *name, uint64_t now_ms)
{
	for (int i = 0; i < CM_FEED_SKIPPED_MAX; i++)
		if (!is_expired(&feed->skipped[i], now_ms) &&
		    !strcmp(feed->skipped[i].name, name))
			return true;
	return false;
}

static struct cm_feed_skipped *oldest(struct cm_feed_source *feed)
{
	struct cm_feed_skipped *oldest = &feed->skipped[0];

	for (int i = 1; i < CM_FEED_SKIPPED_MAX; i++)
		if (feed->skipped[i].since_ms < oldest->since_ms)
			oldest = &feed->skipped[i];
	return oldest;
}

static void skip_source(struct cm_feed_source *feed, uint64_t now_ms)
{
	struct cm_feed_skipped *skipped = oldest(feed);

	memcpy(skipped->name, feed->name, sizeof(skipped->name));
	skipped->since_ms = now_ms;
	feed->waiting_since_ms = 0;
	feed->name[0] = '\0';
}

static void select_source(struct cm_feed_source *feed, const char *name,
			  uint64_t now_ms)
{
	memset(feed->name, 0, sizeof(feed->name));
	memcpy(feed->name, name, strnlen(name, sizeof(feed->name) - 1));
	feed->waiting_since_ms = now_ms;
	feed->has_answered = false;
}

bool cm_feed_source_may_ask(struct cm_feed_source *feed, const char *name,
			    uint64_t now_ms)
{
	if (strcmp(feed->name, name) != 0)
		select_source(feed, name, now_ms);
	if (!feed->waiting_since_ms)
		feed->waiting_since_ms = now_ms;
	if (now_ms < feed->waiting_since_ms + CM_FEED_TIMEOUT_MS)
		return true;
	skip_source(feed, now_ms);
	return false;
}

bool cm_feed_source_answered(struct cm_feed_source *feed, uint64_t now_ms,
			     uint64_t age_ms, bool is_behind)
{
	/* Also true for CM_FEED_AGE_LOST, which is greater. */
	if (age_ms >= CM_FEED_AGE_LEAVING && *feed->name)
		skip_source(feed, now_ms);
	if (is_behind || age_ms > feed->age_max_ms)
		return false;
	feed->waiting_since_ms = 0;
	feed->has_answered = true;
	return true;
}
