#include "feed.h"

#include <string.h>

#include "condition.h"
#include "feed_era.h"
#include "ports/clock.h"

void cm_feed_init(struct cm_feed *feed, struct cm_steer *steer,
		  const struct cm_feed_config *config)
{
	feed->steer = steer;
	feed->self = config->self;
	feed->incarnation = config->incarnation;
	feed->stale_ms = config->stale_ms;
	pthread_mutex_init(&feed->lock, NULL);
	cm_item_log_init(&feed->items);
	memset(&feed->era, 0, sizeof(feed->era));
	feed->plan_version = 0;
	feed->plan_changed = false;
	memset(&feed->snapshot, 0, sizeof(feed->snapshot));
	cm_roster_init(&feed->roster);
	feed->read_may_be_stale = false;
	feed->is_stale = false;
	feed->members_revision = 0;
	feed->members_were_lost = false;
	feed->members_kept_until_ms = 0;
	feed->read_has_plan = false;
	cm_feed_choice_init(&feed->source, config->age_max_ms);
	memset(&feed->request_address, 0, sizeof(feed->request_address));
	cm_condition_init(&feed->wakeup);
	feed->wakeups = 0;
	feed->wakeups_seen = 0;
	feed->request_sent_ms = 0;
	feed->reported_ms = 0;
	memset(&feed->down, 0, sizeof(feed->down));
	memset(&feed->suspects, 0, sizeof(feed->suspects));
	memset(&feed->failures, 0, sizeof(feed->failures));
	memset(&feed->loads, 0, sizeof(feed->loads));
	feed->loads_source = 0;
	feed->loads_epoch = (uint32_t)config->incarnation;
	feed->own_loads_ms = 0;
	feed->loads_answered_ms = 0;
	memset(&feed->optional_address, 0, sizeof(feed->optional_address));
	feed->is_registry_unreachable = false;
	feed->was_current = false;
	feed->swept_ms = 0;
}

void cm_feed_finish(struct cm_feed *feed)
{
	cm_load_table_finish(&feed->loads);
	cm_item_log_finish(&feed->items);
	pthread_cond_destroy(&feed->wakeup);
	pthread_mutex_destroy(&feed->lock);
}

uint64_t cm_feed_revision(struct cm_feed *feed)
{
	uint64_t revision;

	pthread_mutex_lock(&feed->lock);
	revision = feed->items.revision;
	pthread_mutex_unlock(&feed->lock);
	return revision;
}

bool cm_feed_is_stale(struct cm_feed *feed)
{
	bool is_stale;

	pthread_mutex_lock(&feed->lock);
	is_stale = feed->is_stale;
	pthread_mutex_unlock(&feed->lock);
	return is_stale;
}

void cm_feed_clear_stale(struct cm_feed *feed, uint64_t revision)
{
	if (!feed->is_stale)
		return;
	feed->is_stale = false;
	feed->items.revision = revision;
	feed->items.complete_since = revision;
}

void cm_feed_registry_answered(struct cm_feed *feed, uint64_t data_current_ms)
{
	pthread_mutex_lock(&feed->lock);
	if (feed->is_registry_unreachable)
		feed->members_kept_until_ms = cm_clock_ms() + CM_FEED_SKIP_MS;
	feed->is_registry_unreachable = false;
	feed->was_current = true;
	cm_steer_registry_answered(feed->steer, data_current_ms);
	cm_feed_return_domains(feed, data_current_ms);
	pthread_mutex_unlock(&feed->lock);
}

void cm_feed_registry_unreachable(struct cm_feed *feed)
{
	pthread_mutex_lock(&feed->lock);
	feed->is_registry_unreachable = true;
	pthread_mutex_unlock(&feed->lock);
	cm_steer_registry_unreachable(feed->steer);
}

/*
 * Requests go to the registry when the copy is older than stale_ms and the
 * source has not answered since it was selected. They still go to the source
 * during an outage of the registry, and while a source under load answers late.
 */
static bool must_request_from_registry(const struct cm_feed *feed,
				       uint64_t now_ms)
{
	return feed->was_current && !feed->is_registry_unreachable &&
	       feed->stale_ms && !feed->source.has_answered &&
	       now_ms >= cm_steer_registry_confirmed_ms(feed->steer) +
				 feed->stale_ms;
}

bool cm_feed_select_source(struct cm_feed *feed, uint64_t now_ms,
			   struct cm_peer_entry *source)
{
	bool use_source;

	pthread_mutex_lock(&feed->lock);
	use_source = feed->items.revision &&
		     !must_request_from_registry(feed, now_ms) &&
		     cm_steer_select_source(feed->steer, feed->self.name,
					    now_ms, &feed->source, source) &&
		     cm_feed_choice_begin_request(&feed->source, source->name,
						  now_ms);
	if (use_source) {
		feed->request_sent_ms = now_ms;
		feed->request_address = source->control;
	}
	pthread_mutex_unlock(&feed->lock);
	return use_source;
}

bool cm_feed_is_members_writer(struct cm_feed *feed, uint64_t now_ms)
{
	struct cm_peer_entry other;
	bool is_writer;

	pthread_mutex_lock(&feed->lock);
	cm_roster_record_request(&feed->roster, now_ms, &feed->self);
	cm_feed_forget_earlier_members(feed);
	is_writer =
		feed->members_revision && !feed->members_were_lost ?
			cm_roster_is_first(&feed->roster, feed->self.name) :
			!cm_steer_select_source(feed->steer, feed->self.name,
						now_ms, &feed->source, &other);
	pthread_mutex_unlock(&feed->lock);
	return is_writer;
}

/*
 * During an outage the roster may expire, as instances skip a source that can't
 * reach the registry. A write of the roster alone would then remove all other
 * members at every instance of all failure domains. Members that have stopped
 * expire again and are removed by a later write.
 */
static void add_known_members(struct cm_feed *feed, uint64_t now_ms)
{
	uint32_t count = cm_steer_list_peers(feed->steer, feed->self.domain,
					     feed->peers_buffer, CM_ROSTER_MAX);

	for (uint32_t i = 0; i < count; i++)
		cm_roster_add(&feed->roster, now_ms, &feed->peers_buffer[i]);
}

/* Keeps the members that may be unable to send requests to this instance. */
static void keep_known_members(struct cm_feed *feed, uint64_t now_ms)
{
	uint32_t count = cm_steer_list_peers(feed->steer, feed->self.domain,
					     feed->peers_buffer, CM_ROSTER_MAX);

	for (uint32_t i = 0; i < count; i++)
		cm_roster_keep(&feed->roster, now_ms, &feed->peers_buffer[i]);
}

uint32_t cm_feed_take_due_members(struct cm_feed *feed, uint64_t now_ms,
				  bool force, struct cm_peer_entry *entries,
				  uint64_t *revision)
{
	uint32_t count = 0;

	pthread_mutex_lock(&feed->lock);
	cm_roster_record_request(&feed->roster, now_ms, &feed->self);
	if (now_ms < feed->members_kept_until_ms)
		keep_known_members(feed, now_ms);
	cm_roster_expire(&feed->roster, now_ms);
	cm_feed_forget_earlier_members(feed);
	if (feed->members_were_lost)
		add_known_members(feed, now_ms);
	if (force || cm_roster_write_is_due(&feed->roster, now_ms)) {
		count = cm_roster_read(&feed->roster, entries);
		feed->roster.written_ms = now_ms;
	}
	*revision = feed->members_revision;
	pthread_mutex_unlock(&feed->lock);
	return count;
}

bool cm_feed_is_searching(struct cm_feed *feed)
{
	bool is_searching;

	pthread_mutex_lock(&feed->lock);
	is_searching = !feed->source.has_answered;
	pthread_mutex_unlock(&feed->lock);
	return is_searching;
}

void cm_feed_pause(struct cm_feed *feed, uint32_t pause_ms)
{
	struct timespec end = cm_condition_deadline(pause_ms);

	pthread_mutex_lock(&feed->lock);
	while (feed->wakeups == feed->wakeups_seen &&
	       !pthread_cond_timedwait(&feed->wakeup, &feed->lock, &end))
		;
	feed->wakeups_seen = feed->wakeups;
	pthread_mutex_unlock(&feed->lock);
}

void cm_feed_wake(struct cm_feed *feed)
{
	pthread_mutex_lock(&feed->lock);
	feed->wakeups++;
	pthread_cond_signal(&feed->wakeup);
	pthread_mutex_unlock(&feed->lock);
}
