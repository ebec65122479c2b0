#include "feed.h"

#include <string.h>

#include "adapters/plan_items.h"
#include "adapters/registry_item.h"
#include "chervilmast/error.h"
#include "feed_era.h"
#include "feed_events.h"
#include "log.h"
#include "ports/clock.h"

/** Retention time of tombstones, ms. */
#define TOMBSTONE_TTL_MS 60000
/** Minimum time between two removals of old tombstones, ms. */
#define SWEEP_INTERVAL_MS 5000
/** Sender of positions, for the log. */
#define FROM_REGISTRY "registry"

static void put_item(struct cm_feed *feed, const struct cm_registry_item *entry,
		     uint64_t revision)
{
	const struct cm_item *item = cm_item_log_put(
		&feed->items, entry->key, entry->value, entry->size, revision);

	cm_feed_observe(feed, revision, FROM_REGISTRY);
	if (item)
		cm_feed_apply(feed, item);
}

static void remove_item(struct cm_feed *feed, const char *key,
			uint64_t revision)
{
	const struct cm_item *item =
		cm_item_log_remove(&feed->items, key, revision, cm_clock_ms());

	cm_feed_observe(feed, revision, FROM_REGISTRY);
	if (item)
		cm_feed_apply(feed, item);
}

void cm_feed_begin_read(struct cm_feed *feed, bool may_be_stale)
{
	pthread_mutex_lock(&feed->lock);
	feed->read_may_be_stale = may_be_stale;
	/* Stops receiving a snapshot from another instance. */
	feed->snapshot.sender_incarnation = 0;
	feed->read_has_plan = false;
	cm_item_log_begin_snapshot(&feed->items);
	pthread_mutex_unlock(&feed->lock);
}

void cm_feed_cancel_read(struct cm_feed *feed)
{
	pthread_mutex_lock(&feed->lock);
	cm_item_log_cancel_snapshot(&feed->items);
	pthread_mutex_unlock(&feed->lock);
}

static void on_server(void *user, const struct cm_server_entry *entry,
		      uint64_t revision)
{
	struct cm_feed *feed = user;
	struct cm_registry_item item;

	cm_registry_item_server(&item, entry->id, entry);
	pthread_mutex_lock(&feed->lock);
	put_item(feed, &item, revision);
	pthread_mutex_unlock(&feed->lock);
}

static void on_server_removed(void *user, uint64_t id, uint64_t revision)
{
	struct cm_feed *feed = user;
	struct cm_registry_item item;

	cm_registry_item_server(&item, id, NULL);
	pthread_mutex_lock(&feed->lock);
	remove_item(feed, item.key, revision);
	pthread_mutex_unlock(&feed->lock);
}

static void on_domain_state(void *user, const char *domain, bool is_out,
			    uint64_t revision)
{
	struct cm_feed *feed = user;
	struct cm_registry_item item;

	cm_registry_item_domain_out(&item, domain);
	pthread_mutex_lock(&feed->lock);
	if (is_out)
		put_item(feed, &item, revision);
	else
		remove_item(feed, item.key, revision);
	pthread_mutex_unlock(&feed->lock);
}

/**
 * struct plan_item_context - context for writing the items of a plan into the
 * copy
 * @feed: the feed
 * @revision: revision of the registry at the plan's last change
 */
struct plan_item_context {
	struct cm_feed *feed;
	uint64_t revision;
};

static void put_plan_item(void *user, const char *key, const char *value,
			  size_t size)
{
	const struct plan_item_context *context = user;
	const struct cm_item *item = cm_item_log_put(
		&context->feed->items, key, value, size, context->revision);

	if (item)
		cm_feed_apply(context->feed, item);
}

static void put_plan(struct cm_feed *feed, const struct cm_steer_plan *plan,
		     uint64_t revision)
{
	struct plan_item_context context = { feed, revision };

	cm_feed_observe(feed, revision, FROM_REGISTRY);
	feed->read_has_plan = true;
	cm_plan_items_write(plan, put_plan_item, &context);
}

static void on_plan(void *user, struct cm_steer_plan *plan, uint64_t revision)
{
	struct cm_feed *feed = user;

	pthread_mutex_lock(&feed->lock);
	if (plan->version >= feed->plan_version)
		put_plan(feed, plan, revision);
	else
		cm_feed_report_bad_item(feed, "plan", CM_E_STALE);
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

static void remove_missing_members(struct cm_feed *feed,
				   const struct cm_domain_members *members,
				   uint64_t revision)
{
	struct cm_peer_entry *known = feed->peers_buffer;
	uint32_t count = cm_steer_list_peers(feed->steer, members->domain,
					     known, CM_ROSTER_MAX);
	struct cm_registry_item item;

	for (uint32_t i = 0; i < count; i++) {
		cm_registry_item_peer(&item, &known[i]);
		if (!has_member(members, known[i].name))
			remove_item(feed, item.key, revision);
	}
}

static void put_members(struct cm_feed *feed,
			const struct cm_domain_members *members,
			uint64_t revision)
{
	struct cm_registry_item item;

	for (uint32_t i = 0; i < members->count; i++) {
		cm_registry_item_peer(&item, &members->entries[i]);
		put_item(feed, &item, revision);
	}
}

static bool knows_members(struct cm_feed *feed, const char *domain)
{
	return cm_steer_list_peers(feed->steer, domain, feed->peers_buffer, 1);
}

/*
 * While the first snapshot of a later era is read, an entry may come from the
 * store's older copy, and the members that this instance knows may be more
 * recent: none of them is removed. Of the own failure domain's entry, only the
 * revision is used, to replace the entry. The entry of another domain may
 * already have been written again before this read, so its members are added.
 */
static void on_members(void *user, const struct cm_domain_members *members,
		       uint64_t revision)
{
	struct cm_feed *feed = user;
	bool is_own = !strcmp(members->domain, feed->self.domain);
	bool may_be_outdated;

	pthread_mutex_lock(&feed->lock);
	cm_feed_observe(feed, revision, FROM_REGISTRY);
	may_be_outdated = cm_feed_is_entering_era(feed) &&
			  knows_members(feed, members->domain);
	if (!may_be_outdated)
		remove_missing_members(feed, members, revision);
	if (!may_be_outdated || !is_own)
		put_members(feed, members, revision);
	if (is_own && !feed->members_revision)
		feed->members_kept_until_ms = cm_clock_ms() + CM_FEED_SKIP_MS;
	if (is_own && revision > feed->members_revision) {
		feed->members_revision = revision;
		feed->members_were_lost = may_be_outdated;
		cm_roster_load(&feed->roster, cm_clock_ms(),
			       may_be_outdated ? NULL : members);
	}
	pthread_mutex_unlock(&feed->lock);
}

/*
 * The entry was deleted because the lease of the instance that wrote it
 * expired. The members stay in the copy, so that they can be used as sources,
 * and one of them writes the entry again.
 */
static void on_members_removed(void *user, const char *domain,
			       uint64_t revision)
{
	struct cm_feed *feed = user;

	(void)revision;
	pthread_mutex_lock(&feed->lock);
	if (!strcmp(domain, feed->self.domain)) {
		feed->members_revision = 0;
		cm_roster_load(&feed->roster, cm_clock_ms(), NULL);
	}
	pthread_mutex_unlock(&feed->lock);
}

static void on_bad_item(void *user, const char *key, int error)
{
	cm_feed_report_bad_item(user, key, error);
}

static void on_item_deleted(void *user, const struct cm_item *item)
{
	cm_feed_apply(user, item);
}

/*
 * A snapshot lacks the members of the own failure domain while the registry has
 * no entry of them. Their items are therefore kept at the end of every
 * snapshot; on_members() removes those that a members entry no longer lists.
 */
static void keep_members(struct cm_feed *feed)
{
	uint32_t count = cm_steer_list_peers(feed->steer, feed->self.domain,
					     feed->peers_buffer, CM_ROSTER_MAX);
	struct cm_registry_item item;

	for (uint32_t i = 0; i < count; i++) {
		cm_registry_item_peer(&item, &feed->peers_buffer[i]);
		cm_item_log_keep(&feed->items, item.key);
	}
}

static void on_read_restarted(void *user, uint64_t revision)
{
	struct cm_feed *feed = user;

	pthread_mutex_lock(&feed->lock);
	cm_feed_observe(feed, revision, FROM_REGISTRY);
	cm_counters_add(&feed->steer->counters, CM_C_STORE_READ_RESTARTS);
	feed->read_has_plan = false;
	if (feed->items.is_receiving_snapshot)
		cm_item_log_begin_snapshot(&feed->items);
	pthread_mutex_unlock(&feed->lock);
}

static void on_snapshot_end(void *user, uint64_t revision)
{
	struct cm_feed *feed = user;

	pthread_mutex_lock(&feed->lock);
	cm_feed_observe(feed, revision, FROM_REGISTRY);
	keep_members(feed);
	if (cm_feed_is_entering_era(feed))
		cm_item_log_keep_prefix(&feed->items, CM_REGISTRY_ITEM_PEERS);
	if (!feed->read_has_plan)
		cm_plan_items_keep(&feed->items);
	cm_item_log_end_snapshot(&feed->items, revision, cm_clock_ms(),
				 on_item_deleted, feed);
	if (feed->read_may_be_stale)
		feed->is_stale = true;
	else
		cm_feed_clear_stale(feed, revision);
	cm_feed_apply_pending_plan(feed);
	cm_log(CM_EVENT_REGISTRY_SNAPSHOT,
	       "of=registry revision=%llu items=%u may_be_stale=%d",
	       (unsigned long long)revision, feed->items.count,
	       feed->read_may_be_stale);
	pthread_mutex_unlock(&feed->lock);
}

static void on_changes_end(void *user, uint64_t revision)
{
	struct cm_feed *feed = user;
	uint64_t now_ms = cm_clock_ms();

	pthread_mutex_lock(&feed->lock);
	cm_feed_observe(feed, revision, FROM_REGISTRY);
	/* Stops receiving a snapshot from another instance. */
	feed->snapshot.sender_incarnation = 0;
	cm_item_log_cancel_snapshot(&feed->items);
	cm_item_log_advance(&feed->items, revision);
	if (now_ms >= feed->swept_ms + SWEEP_INTERVAL_MS &&
	    now_ms > TOMBSTONE_TTL_MS) {
		cm_item_log_free_tombstones(&feed->items,
					    now_ms - TOMBSTONE_TTL_MS);
		feed->swept_ms = now_ms;
	}
	pthread_mutex_unlock(&feed->lock);
}

struct cm_registry_sink cm_feed_sink(struct cm_feed *feed, bool is_full_read)
{
	const struct cm_registry_sink sink = {
		.server = on_server,
		.server_removed = on_server_removed,
		.plan = on_plan,
		.domain_state = on_domain_state,
		.members = on_members,
		.members_removed = on_members_removed,
		.bad_item = on_bad_item,
		.restarted = on_read_restarted,
		.complete_up_to =
			is_full_read ? on_snapshot_end : on_changes_end,
		.user = feed,
	};

	return sink;
}
