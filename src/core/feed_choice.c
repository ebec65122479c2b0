#include "chervilmast/feed_choice.h"

#include <string.h>

void cm_feed_choice_init(struct cm_feed_choice *choice, uint64_t age_max_ms)
{
	memset(choice, 0, sizeof(*choice));
	choice->age_max_ms = age_max_ms;
}

static bool is_expired(const struct cm_feed_skipped *skipped, uint64_t now_ms)
{
	return !*skipped->name || now_ms >= skipped->since_ms + CM_FEED_SKIP_MS;
}

bool cm_feed_choice_is_skipped(const struct cm_feed_choice *choice,
			       const char *name, uint64_t now_ms)
{
	for (int i = 0; i < CM_FEED_SKIPPED_MAX; i++)
		if (!is_expired(&choice->skipped[i], now_ms) &&
		    !strcmp(choice->skipped[i].name, name))
			return true;
	return false;
}

static struct cm_feed_skipped *earliest_skipped(struct cm_feed_choice *choice)
{
	struct cm_feed_skipped *first = &choice->skipped[0];

	for (int i = 1; i < CM_FEED_SKIPPED_MAX; i++)
		if (choice->skipped[i].since_ms < first->since_ms)
			first = &choice->skipped[i];
	return first;
}

static void skip_source(struct cm_feed_choice *choice, uint64_t now_ms)
{
	struct cm_feed_skipped *skipped = earliest_skipped(choice);

	memcpy(skipped->name, choice->source_name, sizeof(skipped->name));
	skipped->since_ms = now_ms;
	choice->waiting_since_ms = 0;
	choice->source_name[0] = '\0';
}

static void select_source(struct cm_feed_choice *choice, const char *name,
			  uint64_t now_ms)
{
	memset(choice->source_name, 0, sizeof(choice->source_name));
	memcpy(choice->source_name, name,
	       strnlen(name, sizeof(choice->source_name) - 1));
	choice->waiting_since_ms = now_ms;
	choice->has_answered = false;
}

bool cm_feed_choice_begin_request(struct cm_feed_choice *choice,
				  const char *name, uint64_t now_ms)
{
	if (strcmp(choice->source_name, name) != 0)
		select_source(choice, name, now_ms);
	if (!choice->waiting_since_ms)
		choice->waiting_since_ms = now_ms;
	if (now_ms < choice->waiting_since_ms + CM_FEED_TIMEOUT_MS)
		return true;
	skip_source(choice, now_ms);
	return false;
}

bool cm_feed_choice_record_answer(struct cm_feed_choice *choice,
				  uint64_t now_ms, uint64_t age_ms,
				  bool is_behind)
{
	/* Also true for CM_FEED_AGE_UNREACHABLE, which is greater. */
	if (age_ms >= CM_FEED_AGE_LEAVING && *choice->source_name)
		skip_source(choice, now_ms);
	if (is_behind || age_ms > choice->age_max_ms)
		return false;
	choice->waiting_since_ms = 0;
	choice->has_answered = true;
	return true;
}
