#include "feed.h"

#include <string.h>

#include "adapters/plan_items.h"
#include "adapters/registry_item.h"
#include "chervilmast/error.h"
#include "condition.h"
#include "feed_events.h"
#include "log.h"
#include "ports/clock.h"

/** Time for which items that went are kept, ms. */
#define GONE_KEPT_MS 60000
/** Time between sweeps of the copy, ms. */
#define SWEEP_MS 5000

void cm_feed_init(struct cm_feed *feed, struct cm_steer *steer,
		  const struct cm_feed_config *config)
{
	feed->steer = steer;
	feed->self = config->self;
	feed->incarnation = config->incarnation;
	feed->alone_ms = config->alone_ms;
	pthread_mutex_init(&feed->lock, NULL);
	cm_item_log_init(&feed->log);
	feed->version = 0;
	feed->plan_differs = false;
	memset(&feed->snapshot, 0, sizeof(feed->snapshot));
	cm_roster_init(&feed->roster);
	feed->members_revision = 0;
	feed->has_plan = false;
	cm_feed_source_init(&feed->source, config->age_max_ms);
	memset(&feed->asked, 0, sizeof(feed->asked));
	cm_condition_init(&feed->turned);
	feed->turns = 0;
	feed->turns_seen = 0;
	feed->asked_ms = 0;
	memset(&feed->suspects, 0, sizeof(feed->suspects));
	memset(&feed->failures, 0, sizeof(feed->failures));
	feed->is_lost = false;
	feed->is_confirmed = false;
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

static void put(struct cm_feed *feed, const struct cm_registry_item *entry,
		uint64_t revision)
{
	const struct cm_item *item = cm_item_log_put(
		&feed->log, entry->key, entry->value, entry->size, revision);

	if (item)
		cm_feed_apply(feed, item);
}

static void remove_item(struct cm_feed *feed, const char *key,
			uint64_t revision)
{
	const struct cm_item *item =
		cm_item_log_remove(&feed->log, key, revision, cm_clock_ms());

	if (item)
		cm_feed_apply(feed, item);
}

void cm_feed_begin(struct cm_feed *feed)
{
	pthread_mutex_lock(&feed->lock);
	feed->snapshot.of = 0;
	feed->has_plan = false;
	cm_item_log_begin(&feed->log);
	pthread_mutex_unlock(&feed->lock);
}

static void told_server(void *user, const struct cm_server_entry *entry,
			uint64_t revision)
{
	struct cm_feed *feed = user;
	struct cm_registry_item item;

	cm_registry_item_server(&item, entry->id, entry);
	pthread_mutex_lock(&feed->lock);
	put(feed, &item, revision);
	pthread_mutex_unlock(&feed->lock);
}

static void told_server_gone(void *user, uint64_t id, uint64_t revision)
{
	struct cm_feed *feed = user;
	struct cm_registry_item item;

	cm_registry_item_server(&item, id, NULL);
	pthread_mutex_lock(&feed->lock);
	remove_item(feed, item.key, revision);
	pthread_mutex_unlock(&feed->lock);
}

static void told_domain_out(void *user, const char *domain, bool is_out,
			    uint64_t revision)
{
	struct cm_feed *feed = user;
	struct cm_registry_item item;

	cm_registry_item_domain_out(&item, domain);
	pthread_mutex_lock(&feed->lock);
	if (is_out)
		put(feed, &item, revision);
	else
		remove_item(feed, item.key, revision);
	pthread_mutex_unlock(&feed->lock);
}

/**
 * struct plan_put - a plan whose items are being put
 * @feed: the copy
 * @revision: revision of the registry at the plan's last change
 */
struct plan_put {
	struct cm_feed *feed;
	uint64_t revision;
};

static void put_plan_item(void *user, const char *key, const char *value,
			  size_t size)
{
	const struct plan_put *plan_put = user;
	const struct cm_item *item = cm_item_log_put(
		&plan_put->feed->log, key, value, size, plan_put->revision);

	if (item)
		cm_feed_apply(plan_put->feed, item);
}

static void put_plan(struct cm_feed *feed, const struct cm_steer_plan *plan,
		     uint64_t revision)
{
	struct plan_put plan_put = { feed, revision };

	feed->has_plan = true;
	cm_plan_items_write(plan, put_plan_item, &plan_put);
}

static void told_plan(void *user, struct cm_steer_plan *plan, uint64_t revision)
{
	struct cm_feed *feed = user;

	pthread_mutex_lock(&feed->lock);
	if (plan->version >= feed->version)
		put_plan(feed, plan, revision);
	else
		cm_feed_bad_item(feed, "plan", CM_E_STALE);
	pthread_mutex_unlock(&feed->lock);
	cm_steer_plan_finish(plan);
}

static bool has_member(const struct cm_domain_members *members,
		       const char *name)
{
	for (uint32_t i = 0; i < members->count; i++)
		if (!strcmp(members->entries[i].name, name))
			return true;
	return false;
}

static void remove_leavers(struct cm_feed *feed,
			   const struct cm_domain_members *members,
			   uint64_t revision)
{
	struct cm_peer_entry *known = feed->listed;
	uint32_t count = cm_steer_list_peers(feed->steer, members->domain,
					     known, CM_ROSTER_MAX);
	struct cm_registry_item item;

	for (uint32_t i = 0; i < count; i++) {
		cm_registry_item_peer(&item, &known[i]);
		if (!has_member(members, known[i].name))
			remove_item(feed, item.key, revision);
	}
}

static void told_members(void *user, const struct cm_domain_members *members,
			 uint64_t revision)
{
	struct cm_feed *feed = user;
	struct cm_registry_item item;

	pthread_mutex_lock(&feed->lock);
	remove_leavers(feed, members, revision);
	for (uint32_t i = 0; i < members->count; i++) {
		cm_registry_item_peer(&item, &members->entries[i]);
		put(feed, &item, revision);
	}
	if (!strcmp(members->domain, feed->self.domain) &&
	    revision > feed->members_revision) {
		feed->members_revision = revision;
		cm_roster_store(&feed->roster, cm_clock_ms(), members);
	}
	pthread_mutex_unlock(&feed->lock);
}

/*
 * The entry went with the lease of who wrote it. The members are still the ones
 * to ask, and one of them enters them anew.
 */
static void told_members_gone(void *user, const char *domain, uint64_t revision)
{
	struct cm_feed *feed = user;

	(void)revision;
	pthread_mutex_lock(&feed->lock);
	if (!strcmp(domain, feed->self.domain)) {
		feed->members_revision = 0;
		cm_roster_store(&feed->roster, cm_clock_ms(), NULL);
	}
	pthread_mutex_unlock(&feed->lock);
}

static void told_bad_item(void *user, const char *key, int error)
{
	cm_feed_bad_item(user, key, error);
}

static void apply(void *user, const struct cm_item *item)
{
	cm_feed_apply(user, item);
}

/* Members of the own failure domain stay known while it has no entry. */
static void keep_members(struct cm_feed *feed)
{
	uint32_t count = cm_steer_list_peers(feed->steer, feed->self.domain,
					     feed->listed, CM_ROSTER_MAX);
	struct cm_registry_item item;

	for (uint32_t i = 0; i < count; i++) {
		cm_registry_item_peer(&item, &feed->listed[i]);
		cm_item_log_keep(&feed->log, item.key);
	}
}

static void told_all(void *user, uint64_t revision)
{
	struct cm_feed *feed = user;

	pthread_mutex_lock(&feed->lock);
	keep_members(feed);
	if (!feed->has_plan)
		cm_plan_items_keep(&feed->log);
	cm_item_log_end(&feed->log, revision, cm_clock_ms(), apply, feed);
	cm_log(CM_EVENT_SNAPSHOT, "of=registry revision=%llu items=%u",
	       (unsigned long long)revision, feed->log.count);
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
		.server = told_server,
		.server_gone = told_server_gone,
		.plan = told_plan,
		.domain_out = told_domain_out,
		.members = told_members,
		.members_gone = told_members_gone,
		.bad_item = told_bad_item,
		.reached = is_all ? told_all : told_changes,
		.user = feed,
	};

	return sink;
}

void cm_feed_heard(struct cm_feed *feed, uint64_t now_ms)
{
	pthread_mutex_lock(&feed->lock);
	feed->is_lost = false;
	feed->is_confirmed = true;
	pthread_mutex_unlock(&feed->lock);
	cm_steer_heard(feed->steer, now_ms);
}

void cm_feed_lost(struct cm_feed *feed)
{
	pthread_mutex_lock(&feed->lock);
	feed->is_lost = true;
	pthread_mutex_unlock(&feed->lock);
	cm_steer_lost(feed->steer);
}

/*
 * A silent source is a reason to ask the registry; an outage of the registry,
 * or a source that answers late since all are busy, is none.
 */
static bool is_alone(const struct cm_feed *feed, uint64_t now_ms)
{
	return feed->is_confirmed && !feed->is_lost && feed->alone_ms &&
	       !feed->source.is_proven &&
	       now_ms >= cm_steer_heard_ms(feed->steer) + feed->alone_ms;
}

bool cm_feed_source(struct cm_feed *feed, uint64_t now_ms,
		    struct cm_peer_entry *source)
{
	bool may_ask;

	pthread_mutex_lock(&feed->lock);
	may_ask = feed->log.revision && !is_alone(feed, now_ms) &&
		  cm_steer_source(feed->steer, feed->self.name, now_ms,
				  &feed->source, source) &&
		  cm_feed_source_may_ask(&feed->source, source->name, now_ms);
	if (may_ask) {
		feed->asked_ms = now_ms;
		feed->asked = source->control;
	}
	pthread_mutex_unlock(&feed->lock);
	return may_ask;
}

bool cm_feed_leads(struct cm_feed *feed, uint64_t now_ms)
{
	struct cm_peer_entry other;
	bool leads;

	pthread_mutex_lock(&feed->lock);
	cm_roster_see(&feed->roster, now_ms, &feed->self);
	leads = feed->members_revision ?
			cm_roster_is_first(&feed->roster, feed->self.name) :
			!cm_steer_source(feed->steer, feed->self.name, now_ms,
					 &feed->source, &other);
	pthread_mutex_unlock(&feed->lock);
	return leads;
}

uint32_t cm_feed_members_due(struct cm_feed *feed, uint64_t now_ms, bool must,
			     struct cm_peer_entry *entries, uint64_t *revision)
{
	uint32_t count = 0;

	pthread_mutex_lock(&feed->lock);
	cm_roster_see(&feed->roster, now_ms, &feed->self);
	cm_roster_expire(&feed->roster, now_ms);
	if (must || cm_roster_is_due(&feed->roster, now_ms)) {
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

void cm_feed_wake(struct cm_feed *feed)
{
	pthread_mutex_lock(&feed->lock);
	feed->turns++;
	pthread_cond_signal(&feed->turned);
	pthread_mutex_unlock(&feed->lock);
}
