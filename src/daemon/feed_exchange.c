#include "feed.h"

#include <string.h>

#include "adapters/plan_items.h"
#include "chervilmast/error.h"
#include "chervilmast/steer_report.h"
#include "feed_era.h"
#include "feed_events.h"
#include "feed_loads.h"
#include "log.h"
#include "ports/clock.h"

/** A part of an answer ends at the end of the revision in which it reaches this
 * number of items; bounds the time for which the receiver of the part holds the
 * lock of the feed. */
#define PART_ITEMS 256
/** Maximum duration of a snapshot transfer, ms; shorter than the retention of
 * tombstones, so that no deletion between two parts is missed. */
#define SNAPSHOT_TIMEOUT_MS 30000
/** Minimum time between two requests that are sent early because of a silent
 * server, ms; bounds the rate of requests when many servers become silent. */
#define REPORT_INTERVAL_MS 100

void cm_feed_make_request(struct cm_feed *feed, uint64_t now_ms,
			  struct cm_message_items_request *request)
{
	memcpy(request->name, feed->self.name, sizeof(request->name));
	pthread_mutex_lock(&feed->lock);
	if (feed->snapshot.sender_incarnation &&
	    now_ms >= feed->snapshot.began_ms + SNAPSHOT_TIMEOUT_MS) {
		feed->snapshot.sender_incarnation = 0;
		cm_item_log_cancel_snapshot(&feed->items);
	}
	request->snapshot_incarnation = feed->snapshot.sender_incarnation;
	request->after_revision = feed->is_stale ? 0 : feed->items.revision;
	if (feed->snapshot.sender_incarnation)
		request->after_revision = feed->snapshot.after;
	cm_feed_report_loads(feed, now_ms, request);
	pthread_mutex_unlock(&feed->lock);
	request->requested_ms = now_ms;
	request->suspects.count = cm_steer_list_silent_servers(
		feed->steer, now_ms, request->suspects.tokens,
		CM_MESSAGE_TOKENS_MAX);
	cm_steer_list_stalled_servers(feed->steer, now_ms, &request->suspects,
				      &request->stalled);
	request->failures.count =
		cm_steer_take_failures(feed->steer, request->failures.tokens);
	request->successes.count =
		cm_steer_take_successes(feed->steer, request->successes.tokens);
}

static void apply_item(struct cm_feed *feed, const struct cm_message_item *item)
{
	const struct cm_item *changed;

	if (item->is_deleted)
		changed = cm_item_log_remove(&feed->items, item->key,
					     item->revision, cm_clock_ms());
	else
		changed = cm_item_log_put(&feed->items, item->key, item->value,
					  item->size, item->revision);
	if (changed)
		cm_feed_apply(feed, changed);
}

static void on_item_deleted(void *user, const struct cm_item *item)
{
	cm_feed_apply(user, item);
}

static void end_part(struct cm_feed *feed, uint64_t incarnation,
		     const struct cm_message_items *items)
{
	if (!feed->snapshot.sender_incarnation) {
		cm_item_log_advance(&feed->items, items->revision);
		return;
	}
	feed->snapshot.after = items->revision;
	if (items->has_more)
		return;
	feed->snapshot.sender_incarnation = 0;
	if (!feed->read_has_plan)
		cm_plan_items_keep(&feed->items);
	cm_item_log_end_snapshot(&feed->items, items->revision, cm_clock_ms(),
				 on_item_deleted, feed);
	cm_feed_clear_stale(feed, items->revision);
	cm_feed_apply_pending_plan(feed);
	cm_log(CM_EVENT_REGISTRY_SNAPSHOT, "of=%llx revision=%llu items=%u",
	       (unsigned long long)incarnation,
	       (unsigned long long)items->revision, feed->items.count);
}

/*
 * Whether the items contain a plan with a lower version than the one in force.
 * The sender got it from an older copy of the store; taking its items would
 * pass the earlier plan on to instances that have none.
 */
static bool has_earlier_plan(struct cm_feed *feed,
			     const struct cm_message_items *items)
{
	for (uint32_t i = 0; i < items->count; i++) {
		const struct cm_item item = {
			.key = items->items[i].key,
			.value = items->items[i].value,
			.size = items->items[i].size,
			.is_deleted = items->items[i].is_deleted,
		};
		uint64_t version, digest;

		if (cm_plan_items_version(&item, &version, &digest))
			continue;
		if (version < feed->plan_version)
			return true;
		feed->read_has_plan = true;
	}
	return false;
}

static void apply_all_items(struct cm_feed *feed,
			    const struct cm_message_items *items)
{
	bool skips_plan = has_earlier_plan(feed, items);

	if (skips_plan)
		cm_feed_report_bad_item(feed, "plan", CM_E_STALE);
	for (uint32_t i = 0; i < items->count; i++)
		if (!skips_plan || !cm_plan_items_has_key(items->items[i].key))
			apply_item(feed, &items->items[i]);
}

/*
 * While a snapshot is being received: whether the items are its next part.
 * Otherwise: whether the copy has all changes up to the revision that the items
 * follow. Changes never lead from one era to another: the first copy of an era
 * is a snapshot.
 */
static bool is_next_part(const struct cm_feed *feed, uint64_t incarnation,
			 const struct cm_message_items *items)
{
	if (feed->snapshot.sender_incarnation)
		return incarnation == feed->snapshot.sender_incarnation &&
		       items->after_revision == feed->snapshot.after;
	return !feed->is_stale &&
	       items->after_revision <= feed->items.revision &&
	       cm_position_era(items->revision) ==
		       cm_position_era(feed->items.revision);
}

static int apply_items(struct cm_feed *feed, uint64_t now_ms,
		       uint64_t incarnation,
		       const struct cm_message_items *items)
{
	if (!items->starts_snapshot &&
	    !is_next_part(feed, incarnation, items)) {
		cm_counters_add(&feed->steer->counters, CM_C_FEED_BAD_PART);
		return CM_E_STALE;
	}
	if (items->starts_snapshot) {
		cm_item_log_begin_snapshot(&feed->items);
		feed->snapshot.sender_incarnation = incarnation;
		feed->snapshot.began_ms = now_ms;
		feed->read_has_plan = false;
	}
	cm_feed_observe(feed, items->revision, "instance");
	apply_all_items(feed, items);
	end_part(feed, incarnation, items);
	return CM_OK;
}

static void wake_locked(struct cm_feed *feed)
{
	feed->wakeups++;
	pthread_cond_signal(&feed->wakeup);
}

bool cm_feed_report_silent(struct cm_feed *feed, uint64_t now_ms)
{
	bool is_due;

	if (pthread_mutex_trylock(&feed->lock))
		return false;
	is_due = now_ms >= feed->reported_ms + REPORT_INTERVAL_MS;
	if (is_due && *feed->source.source_name) {
		feed->reported_ms = now_ms;
		wake_locked(feed);
	}
	pthread_mutex_unlock(&feed->lock);
	return is_due;
}

/*
 * Age of the sender's data, including the round-trip time of the request, or
 * CM_FEED_AGE_LEAVING or CM_FEED_AGE_UNREACHABLE.
 */
static uint64_t answer_age_ms(uint64_t now_ms,
			      const struct cm_message_items *items)
{
	if (items->age_ms >= CM_FEED_AGE_LEAVING)
		return items->age_ms;
	return items->age_ms + (now_ms - items->requested_ms);
}

/* Return: true when the answer is usable. */
static bool record_answer(struct cm_feed *feed, uint64_t now_ms,
			  const struct cm_endpoint *from,
			  const struct cm_message_items *items, bool is_behind)
{
	uint64_t age_ms = answer_age_ms(now_ms, items);
	bool is_usable;

	/* Late answers of an earlier source don't affect the current one. */
	if (!cm_endpoint_equal(from, &feed->request_address))
		return !is_behind && age_ms <= feed->source.age_max_ms;
	is_usable = cm_feed_choice_record_answer(&feed->source, now_ms, age_ms,
						 is_behind);
	/* No name: the source was skipped; the next one is selected at once. */
	if (!*feed->source.source_name)
		wake_locked(feed);
	return is_usable;
}

/* The copy is as current as the sender's only once the last part is applied. */
static void record_copy_age(struct cm_feed *feed, uint64_t now_ms,
			    const struct cm_endpoint *from,
			    const struct cm_message_items *items,
			    bool is_usable)
{
	uint64_t age_ms = answer_age_ms(now_ms, items);

	if (is_usable && !items->has_more && now_ms > age_ms) {
		feed->is_registry_unreachable = false;
		feed->was_current = true;
		cm_steer_registry_answered(feed->steer, now_ms - age_ms);
		cm_feed_return_domains(feed, now_ms - age_ms);
	}
	if (items->age_ms == CM_FEED_AGE_UNREACHABLE)
		cm_steer_registry_reported(feed->steer, from);
}

/*
 * Whether the sender's copy is behind this one. A snapshot may end at an
 * earlier position than this copy, but never in an earlier era than the latest
 * one seen: it would move the copy back.
 */
static bool is_sender_behind(struct cm_feed *feed,
			     const struct cm_message_items *items)
{
	/* Revision 0: the sender has no usable copy. */
	if (!items->revision)
		return true;
	if (cm_position_era(items->revision) <
	    cm_position_era(feed->era.latest)) {
		cm_counters_add(&feed->steer->counters, CM_C_STORE_ERA_REFUSED);
		return true;
	}
	return !items->starts_snapshot && !feed->snapshot.sender_incarnation &&
	       items->revision < feed->items.revision;
}

int cm_feed_apply_answer(struct cm_feed *feed, uint64_t now_ms,
			 const struct cm_endpoint *from, uint64_t incarnation,
			 const struct cm_message_items *items)
{
	bool is_behind, is_usable;
	int error = CM_OK;

	if (items->requested_ms > now_ms)
		return CM_E_OUT_OF_RANGE;
	pthread_mutex_lock(&feed->lock);
	if (feed->request_sent_ms)
		cm_histograms_add(&feed->steer->histograms, CM_H_SOURCE_ANSWER,
				  now_ms - feed->request_sent_ms);
	feed->request_sent_ms = 0;
	is_behind = is_sender_behind(feed, items);
	is_usable = record_answer(feed, now_ms, from, items, is_behind);
	if (!is_behind)
		error = apply_items(feed, now_ms, incarnation, items);
	if (!error)
		record_copy_age(feed, now_ms, from, items, is_usable);
	cm_feed_apply_loads(feed, now_ms, from, incarnation, items);
	pthread_mutex_unlock(&feed->lock);
	cm_steer_apply_reports(feed->steer, now_ms, items->suspects.tokens,
			       items->suspects.count);
	cm_steer_apply_down(feed->steer, items->requested_ms, &items->down);
	cm_steer_eject(feed->steer, now_ms, items->ejected.tokens,
		       items->ejected.count);
	return error;
}

/**
 * struct answer - an answer that is being filled
 * @items: the answer, with room for its items
 * @filled: number of items filled so far
 * @error: the first error; 0 for none
 */
struct answer {
	struct cm_message_items *items;
	uint32_t filled;
	int error;
};

static void add_item(void *user, const struct cm_item *item)
{
	struct answer *answer = user;
	struct cm_message_item *copy;

	if (answer->filled == answer->items->count) {
		answer->error = CM_E_TOO_LARGE;
		return;
	}
	copy = &answer->items->items[answer->filled++];
	copy->revision = item->revision;
	copy->is_deleted = item->is_deleted;
	if (!answer->error)
		answer->error =
			cm_message_item_set(copy, item->key, strlen(item->key),
					    item->value, item->size);
}

static void count_item(void *user, const struct cm_item *item)
{
	uint32_t *count = user;

	(void)item;
	(*count)++;
}

/* Adds the next part of the changes and sets the revision at which it ends. */
static int add_part(struct cm_feed *feed, struct cm_message_items *items)
{
	struct answer answer = { .items = items };
	uint32_t count = 0;
	int error;

	items->revision = cm_item_log_read_changes_since(
		&feed->items, items->after_revision, PART_ITEMS, count_item,
		&count);
	items->has_more = items->revision < feed->items.revision;
	error = cm_message_items_reserve(items, count);
	if (error)
		return error;
	cm_item_log_read_changes_since(&feed->items, items->after_revision,
				       PART_ITEMS, add_item, &answer);
	return answer.error;
}

/*
 * Whether the request continues a snapshot that this process began to send, in
 * the present era.
 */
static bool continues_snapshot(const struct cm_feed *feed,
			       const struct cm_message_items_request *request)
{
	return request->snapshot_incarnation == feed->incarnation &&
	       cm_position_era(request->after_revision) ==
		       cm_position_era(feed->items.revision);
}

static int add_items(struct cm_feed *feed,
		     const struct cm_message_items_request *request,
		     struct cm_message_items *items)
{
	items->revision = feed->items.revision;
	if (feed->items.is_receiving_snapshot || feed->is_stale)
		items->revision = 0;
	if (!items->revision)
		return CM_OK;
	items->after_revision = request->after_revision;
	/*
	 * Starts a snapshot if the requester was receiving one from another
	 * process or if changes that it lacks are no longer available here.
	 */
	if (!continues_snapshot(feed, request) &&
	    (request->snapshot_incarnation ||
	     (items->revision > request->after_revision &&
	      !cm_item_log_has_changes_since(&feed->items,
					     request->after_revision)))) {
		items->starts_snapshot = true;
		items->after_revision = 0;
	}
	if (items->revision <= items->after_revision)
		return CM_OK;
	return add_part(feed, items);
}

/*
 * Adds the servers that this instance and the requesting one suspect to the
 * list of the failure domain, and sets @all to that list.
 */
static void exchange_suspects(struct cm_feed *feed, uint64_t now_ms,
			      const struct cm_message_tokens *theirs,
			      struct cm_message_tokens *all)
{
	uint32_t own[CM_SUSPECT_LIST_MAX];
	uint32_t count = cm_steer_list_silent_servers(feed->steer, now_ms, own,
						      CM_SUSPECT_LIST_MAX);

	cm_suspect_list_add(&feed->suspects, now_ms, own, count);
	cm_suspect_list_add(&feed->suspects, now_ms, theirs->tokens,
			    theirs->count);
	all->count = cm_suspect_list_read(&feed->suspects, now_ms, all->tokens);
}

/*
 * Counts the instances that report each server as silent, this one included,
 * and sets @down to the servers that are down.
 */
static void exchange_down(struct cm_feed *feed, uint64_t now_ms,
			  const struct cm_message_items_request *theirs,
			  struct cm_message_tokens *down)
{
	struct cm_message_tokens silent, stalled;

	silent.count = cm_steer_list_silent_servers(
		feed->steer, now_ms, silent.tokens, CM_MESSAGE_TOKENS_MAX);
	cm_steer_list_stalled_servers(feed->steer, now_ms, &silent, &stalled);
	cm_down_list_report(&feed->down, now_ms,
			    cm_steer_name_hash(feed->self.name), &silent,
			    &stalled);
	cm_down_list_report(&feed->down, now_ms,
			    cm_steer_name_hash(theirs->name), &theirs->suspects,
			    &theirs->stalled);
	cm_down_list_read(&feed->down, now_ms, down);
}

/*
 * Counts the failed and successful flows of this instance and of the requesting
 * one, and sets @ejected to the servers that are ejected.
 */
static void exchange_failures(struct cm_feed *feed, uint64_t now_ms,
			      const struct cm_message_items_request *theirs,
			      struct cm_message_tokens *ejected)
{
	struct cm_failure_tally *tally = &feed->failures;
	uint32_t own[CM_STEER_RESULTS_MAX];
	uint32_t count = cm_steer_take_successes(feed->steer, own);

	cm_failure_tally_succeeded(tally, now_ms, own, count);
	cm_failure_tally_succeeded(tally, now_ms, theirs->successes.tokens,
				   theirs->successes.count);
	count = cm_steer_take_failures(feed->steer, own);
	cm_failure_tally_failed(tally, now_ms, own, count);
	cm_failure_tally_failed(tally, now_ms, theirs->failures.tokens,
				theirs->failures.count);
	ejected->count = cm_failure_tally_list_ejected(&feed->failures, now_ms,
						       ejected->tokens);
}

/*
 * Age of this instance's copy for an answer. It is CM_FEED_AGE_LEAVING during a
 * graceful shutdown and CM_FEED_AGE_UNREACHABLE while the registry is
 * unreachable; the requesting instance then skips this one and selects the next
 * source.
 */
static uint64_t own_age_ms(struct cm_feed *feed, uint64_t now_ms)
{
	uint64_t confirmed_ms = cm_steer_registry_confirmed_ms(feed->steer);

	if (cm_steer_is_leaving(feed->steer))
		return CM_FEED_AGE_LEAVING;
	if (feed->is_registry_unreachable)
		return CM_FEED_AGE_UNREACHABLE;
	return now_ms > confirmed_ms ? now_ms - confirmed_ms : 0;
}

int cm_feed_make_answer(struct cm_feed *feed, uint64_t now_ms,
			const struct cm_peer_entry *from,
			const struct cm_message_items_request *request,
			struct cm_message_items *items)
{
	int error;

	pthread_mutex_lock(&feed->lock);
	if (!strcmp(from->domain, feed->self.domain))
		cm_roster_record_request(&feed->roster, now_ms, from);
	items->requested_ms = request->requested_ms;
	items->age_ms = own_age_ms(feed, now_ms);
	error = add_items(feed, request, items);
	exchange_suspects(feed, now_ms, &request->suspects, &items->suspects);
	exchange_down(feed, now_ms, request, &items->down);
	exchange_failures(feed, now_ms, request, &items->ejected);
	cm_feed_exchange_loads(feed, now_ms, from, request, items);
	pthread_mutex_unlock(&feed->lock);
	cm_steer_apply_down(feed->steer, now_ms, &items->down);
	cm_steer_apply_reports(feed->steer, now_ms, request->suspects.tokens,
			       request->suspects.count);
	cm_steer_eject(feed->steer, now_ms, items->ejected.tokens,
		       items->ejected.count);
	return error;
}
