#include "feed.h"

#include <string.h>

#include "chervilmast/error.h"
#include "feed_events.h"
#include "condition.h"
#include "ports/clock.h"

/** Time for which items that went are kept, ms. */
#define GONE_KEPT_MS 60000
/** Time between sweeps of the copy, ms. */
#define SWEEP_MS 5000

void cm_feed_init(struct cm_feed *feed, struct cm_steer *steer,
		  const struct cm_registry_ops *ops, uint64_t age_max_ms)
{
	feed->steer = steer;
	feed->ops = ops;
	pthread_mutex_init(&feed->lock, NULL);
	cm_item_log_init(&feed->log);
	cm_feed_source_init(&feed->source, age_max_ms);
	feed->asked_ms = 0;
	memset(&feed->asked, 0, sizeof(feed->asked));
	cm_condition_init(&feed->turned);
	feed->turns = 0;
	feed->turns_seen = 0;
	feed->is_lost = false;
	memset(&feed->suspects, 0, sizeof(feed->suspects));
	memset(&feed->failures, 0, sizeof(feed->failures));
	feed->swept_ms = 0;
}

void cm_feed_finish(struct cm_feed *feed)
{
	cm_item_log_finish(&feed->log);
	pthread_cond_destroy(&feed->turned);
	pthread_mutex_destroy(&feed->lock);
}

uint64_t cm_feed_revision(struct cm_feed *feed)
{
	uint64_t revision;

	pthread_mutex_lock(&feed->lock);
	revision = feed->log.revision;
	pthread_mutex_unlock(&feed->lock);
	return revision;
}

static void decode(void *user, const struct cm_item *item)
{
	struct cm_feed *feed = user;
	const struct cm_registry_events events = cm_feed_events(feed->steer);

	feed->ops->decode(item, &events);
}

static void put(struct cm_feed *feed, const char *key, const char *value,
		size_t size, uint64_t revision)
{
	const struct cm_item *item =
		cm_item_log_put(&feed->log, key, value, size, revision);

	if (item)
		decode(feed, item);
}

static void remove_item(struct cm_feed *feed, const char *key,
			uint64_t revision)
{
	const struct cm_item *item =
		cm_item_log_remove(&feed->log, key, revision, cm_clock_ms());

	if (item)
		decode(feed, item);
}

void cm_feed_begin(struct cm_feed *feed)
{
	pthread_mutex_lock(&feed->lock);
	cm_item_log_begin(&feed->log);
	pthread_mutex_unlock(&feed->lock);
}

static void told_put(void *user, const char *key, const char *value,
		     size_t size, uint64_t revision)
{
	struct cm_feed *feed = user;

	pthread_mutex_lock(&feed->lock);
	put(feed, key, value, size, revision);
	pthread_mutex_unlock(&feed->lock);
}

static void told_remove(void *user, const char *key, uint64_t revision)
{
	struct cm_feed *feed = user;

	pthread_mutex_lock(&feed->lock);
	remove_item(feed, key, revision);
	pthread_mutex_unlock(&feed->lock);
}

static void told_all(void *user, uint64_t revision)
{
	struct cm_feed *feed = user;

	pthread_mutex_lock(&feed->lock);
	cm_item_log_end(&feed->log, revision, cm_clock_ms(), decode, feed);
	pthread_mutex_unlock(&feed->lock);
}

static void told_changes(void *user, uint64_t revision)
{
	struct cm_feed *feed = user;
	uint64_t now_ms = cm_clock_ms();

	pthread_mutex_lock(&feed->lock);
	cm_item_log_reached(&feed->log, revision);
	if (now_ms >= feed->swept_ms + SWEEP_MS && now_ms > GONE_KEPT_MS) {
		cm_item_log_sweep(&feed->log, now_ms - GONE_KEPT_MS);
		feed->swept_ms = now_ms;
	}
	pthread_mutex_unlock(&feed->lock);
}

struct cm_registry_sink cm_feed_sink(struct cm_feed *feed, bool is_all)
{
	const struct cm_registry_sink sink = {
		.put = told_put,
		.remove = told_remove,
		.reached = is_all ? told_all : told_changes,
		.user = feed,
	};

	return sink;
}

static void set_lost(struct cm_feed *feed, bool is_lost)
{
	pthread_mutex_lock(&feed->lock);
	feed->is_lost = is_lost;
	pthread_mutex_unlock(&feed->lock);
}

void cm_feed_heard(struct cm_feed *feed, uint64_t now_ms)
{
	set_lost(feed, false);
	cm_steer_heard(feed->steer, now_ms);
}

void cm_feed_lost(struct cm_feed *feed)
{
	set_lost(feed, true);
	cm_steer_lost(feed->steer);
}

bool cm_feed_source(struct cm_feed *feed, const char *self, uint64_t now_ms,
		    struct cm_peer_entry *source)
{
	bool may_ask;

	pthread_mutex_lock(&feed->lock);
	may_ask = feed->log.revision &&
		  cm_steer_source(feed->steer, self, now_ms, &feed->source,
				  source) &&
		  cm_feed_source_may_ask(&feed->source, source->name, now_ms);
	if (may_ask) {
		feed->asked_ms = now_ms;
		feed->asked = source->control;
	}
	pthread_mutex_unlock(&feed->lock);
	return may_ask;
}

bool cm_feed_is_searching(struct cm_feed *feed)
{
	bool is_searching;

	pthread_mutex_lock(&feed->lock);
	is_searching = !feed->source.is_proven;
	pthread_mutex_unlock(&feed->lock);
	return is_searching;
}

void cm_feed_pause(struct cm_feed *feed, uint32_t pause_ms)
{
	struct timespec end = cm_condition_end(pause_ms);

	pthread_mutex_lock(&feed->lock);
	while (feed->turns == feed->turns_seen &&
	       !pthread_cond_timedwait(&feed->turned, &feed->lock, &end))
		;
	feed->turns_seen = feed->turns;
	pthread_mutex_unlock(&feed->lock);
}

void cm_feed_request(struct cm_feed *feed,
		     struct cm_message_items_request *request)
{
	request->after = cm_feed_revision(feed);
	request->suspects.count = cm_steer_suspects(
		feed->steer, request->suspects.tokens, CM_MESSAGE_TOKENS_MAX);
	request->failures.count =
		cm_steer_take_failures(feed->steer, request->failures.tokens);
}

static void take_items(struct cm_feed *feed,
		       const struct cm_message_items *items)
{
	if (items->is_all)
		cm_item_log_begin(&feed->log);
	for (uint32_t i = 0; i < items->count; i++) {
		const struct cm_message_item *item = &items->items[i];

		if (item->is_gone)
			remove_item(feed, item->key, item->revision);
		else
			put(feed, item->key, item->value, item->size,
			    item->revision);
	}
	if (items->is_all)
		cm_item_log_end(&feed->log, items->revision, cm_clock_ms(),
				decode, feed);
	else
		cm_item_log_reached(&feed->log, items->revision);
}

static void end_pause(struct cm_feed *feed)
{
	feed->turns++;
	pthread_cond_signal(&feed->turned);
}

void cm_feed_wake(struct cm_feed *feed)
{
	pthread_mutex_lock(&feed->lock);
	end_pause(feed);
	pthread_mutex_unlock(&feed->lock);
}

/* Return: whether what the source knows will do. */
static bool judge_source(struct cm_feed *feed, uint64_t now_ms,
			 const struct cm_endpoint *from,
			 const struct cm_message_items *items, bool is_behind)
{
	bool is_good;

	/* An answer that comes late is not of the one that is asked now. */
	if (!cm_endpoint_equal(from, &feed->asked))
		return !is_behind && items->age_ms <= feed->source.age_max_ms;
	is_good = cm_feed_source_answered(&feed->source, now_ms, items->age_ms,
					  is_behind);
	if (!*feed->source.name)
		end_pause(feed);
	return is_good;
}

/* What the other instance knows is as old as its word of the registry. */
void cm_feed_take(struct cm_feed *feed, uint64_t now_ms,
		  const struct cm_endpoint *from,
		  const struct cm_message_items *items)
{
	bool is_behind, is_good;

	pthread_mutex_lock(&feed->lock);
	if (feed->asked_ms)
		cm_histograms_add(&feed->steer->histograms, CM_H_SOURCE_ANSWER,
				  now_ms - feed->asked_ms);
	feed->asked_ms = 0;
	is_behind = !items->revision || items->revision < feed->log.revision;
	is_good = judge_source(feed, now_ms, from, items, is_behind);
	if (is_good && now_ms > items->age_ms) {
		feed->is_lost = false;
		cm_steer_heard(feed->steer, now_ms - items->age_ms);
	}
	if (items->age_ms == CM_FEED_LOST)
		cm_steer_lost(feed->steer);
	if (!is_behind)
		take_items(feed, items);
	pthread_mutex_unlock(&feed->lock);
	cm_steer_doubt(feed->steer, now_ms, items->suspects.tokens,
		       items->suspects.count);
	cm_steer_warn(feed->steer, now_ms, items->failing.tokens,
		      items->failing.count);
}

/**
 * struct answer - an answer that is being made
 * @items: the items
 * @at: number of items so far
 * @error: the first error
 */
struct answer {
	struct cm_message_items *items;
	uint32_t at;
	int error;
};

static void count_item(void *user, const struct cm_item *item)
{
	struct answer *answer = user;

	(void)item;
	answer->at++;
}

static void copy_item(void *user, const struct cm_item *item)
{
	struct answer *answer = user;
	struct cm_message_item *copy = &answer->items->items[answer->at++];
	int error = cm_message_item_set(copy, item->key, strlen(item->key),
					item->value, item->size);

	copy->revision = item->revision;
	copy->is_gone = item->is_gone;
	if (error && !answer->error)
		answer->error = error;
}

static int copy_items(const struct cm_item_log *log, uint64_t after,
		      struct cm_message_items *items)
{
	struct answer answer = { .items = items };
	int error;

	cm_item_log_tell(log, after, count_item, &answer);
	error = cm_message_items_reserve(items, answer.at);
	if (error)
		return error;
	answer.at = 0;
	cm_item_log_tell(log, after, copy_item, &answer);
	return answer.error;
}

/* Adds what the other instance suspects, and tells what all suspect. */
static void exchange_suspects(struct cm_feed *feed, uint64_t now_ms,
			      const struct cm_message_tokens *theirs,
			      struct cm_message_tokens *all)
{
	uint32_t own[CM_SUSPECT_LIST_MAX];
	uint32_t count =
		cm_steer_suspects(feed->steer, own, CM_SUSPECT_LIST_MAX);

	cm_suspect_list_add(&feed->suspects, now_ms, own, count);
	cm_suspect_list_add(&feed->suspects, now_ms, theirs->tokens,
			    theirs->count);
	all->count = cm_suspect_list_read(&feed->suspects, now_ms, all->tokens);
}

/* Adds the failures that the other instance saw to all others. */
static void exchange_failures(struct cm_feed *feed, uint64_t now_ms,
			      const struct cm_message_tokens *theirs,
			      struct cm_message_tokens *failing)
{
	uint32_t own[CM_STEER_FAILURES_MAX];
	uint32_t count = cm_steer_take_failures(feed->steer, own);

	cm_failure_tally_add(&feed->failures, now_ms, own, count);
	cm_failure_tally_add(&feed->failures, now_ms, theirs->tokens,
			     theirs->count);
	failing->count =
		cm_failure_tally_read(&feed->failures, now_ms, failing->tokens);
}

int cm_feed_answer(struct cm_feed *feed, uint64_t now_ms,
		   const struct cm_message_items_request *request,
		   struct cm_message_items *items)
{
	uint64_t heard_ms = cm_steer_heard_ms(feed->steer);
	uint64_t after = request->after;
	int error = CM_OK;

	pthread_mutex_lock(&feed->lock);
	items->revision = feed->log.revision;
	items->age_ms = now_ms > heard_ms ? now_ms - heard_ms : 0;
	if (feed->is_lost)
		items->age_ms = CM_FEED_LOST;
	items->is_all = items->revision > after &&
			!cm_item_log_can_tell(&feed->log, after);
	if (items->revision > after)
		error = copy_items(&feed->log, items->is_all ? 0 : after,
				   items);
	exchange_suspects(feed, now_ms, &request->suspects, &items->suspects);
	exchange_failures(feed, now_ms, &request->failures, &items->failing);
	pthread_mutex_unlock(&feed->lock);
	cm_steer_doubt(feed->steer, now_ms, request->suspects.tokens,
		       request->suspects.count);
	cm_steer_warn(feed->steer, now_ms, items->failing.tokens,
		      items->failing.count);
	return error;
}
