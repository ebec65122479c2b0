#include "feed_events.h"

#include "adapters/plan_items.h"
#include "adapters/registry_item.h"
#include "adapters/socket.h"
#include "chervilmast/error.h"
#include "feed_era.h"
#include "log.h"
#include "ports/clock.h"

/*
 * While this is true, items are logged only on errors: lines for all items of a
 * snapshot would use up the rate limit of the log, and lines about flows would
 * be dropped. The snapshot as a whole is logged in one line.
 */
static bool is_receiving_snapshot(const struct cm_feed *feed)
{
	return feed->items.is_receiving_snapshot;
}

static void apply_server_entry(void *user, const struct cm_server_entry *entry)
{
	const struct cm_feed *feed = user;
	char address[CM_ENDPOINT_TEXT_SIZE];
	int error = cm_steer_put_server(feed->steer, cm_clock_ms(), entry);

	if (is_receiving_snapshot(feed) && !error)
		return;
	cm_log(CM_EVENT_SERVER_ENTRY,
	       "server=%llx service=%s failure_domain=%s at=%s draining=%d "
	       "cold_left_ms=%u outcome=%s",
	       (unsigned long long)entry->id, entry->service, entry->domain,
	       cm_endpoint_write(&entry->address, address), entry->is_draining,
	       entry->cold_left_ms, cm_error_name(error));
}

static void apply_server_removal(void *user, uint64_t id)
{
	const struct cm_feed *feed = user;

	cm_steer_remove_server(feed->steer, cm_clock_ms(), id);
	if (is_receiving_snapshot(feed))
		return;
	cm_log(CM_EVENT_SERVER_GONE, "server=%llx", (unsigned long long)id);
}

static void apply_peer_entry(void *user, const struct cm_peer_entry *entry)
{
	const struct cm_feed *feed = user;
	int error = cm_steer_put_peer(feed->steer, entry);

	if (is_receiving_snapshot(feed) && !error)
		return;
	cm_log(CM_EVENT_PEER_ENTRY, "peer=%s failure_domain=%s outcome=%s",
	       entry->name, entry->domain, cm_error_name(error));
}

static void apply_peer_removal(void *user, const char *name)
{
	struct cm_feed *feed = user;

	cm_steer_remove_peer(feed->steer, name);
	cm_load_table_remove(&feed->loads, name);
	if (is_receiving_snapshot(feed))
		return;
	cm_log(CM_EVENT_PEER_GONE, "peer=%s", name);
}

static int build_plan(struct cm_feed *feed, uint64_t version)
{
	struct cm_steer_plan plan;
	int error = cm_plan_items_read(&plan, &feed->items, version);

	if (!error)
		error = cm_steer_set_plan(feed->steer, &plan);
	return error;
}

/*
 * Many new versions of the plan have the same routes and services as the one
 * before; the plan is not rebuilt for them.
 */
static int put_plan_in_force(struct cm_feed *feed, uint64_t version)
{
	if (feed->plan_version && !feed->plan_changed)
		return cm_steer_set_plan_version(feed->steer, version);
	return build_plan(feed, version);
}

/*
 * When the items do not match the plan's digest, the copy has missed a change
 * of the plan. It is marked stale, so that a full read follows.
 */
static void apply_plan_version(void *user, uint64_t version, uint64_t digest)
{
	struct cm_feed *feed = user;
	bool routes_differ = feed->plan_changed;
	int error = cm_plan_items_check(&feed->items, digest);

	if (error)
		feed->is_stale = true;
	else
		error = put_plan_in_force(feed, version);
	if (!error) {
		feed->plan_version = version;
		feed->plan_changed = false;
	}
	cm_log(CM_EVENT_PLAN, "version=%llu routes_differ=%d outcome=%s",
	       (unsigned long long)version, routes_differ,
	       cm_error_name(error));
}

/*
 * Keeps a failure domain out of service for the grace period: its entry may
 * only have been lost, as the store came back from an older copy.
 */
static void hold_domain_out(const struct cm_feed *feed, const char *domain)
{
	cm_steer_hold_domain_out(feed->steer, domain);
	cm_log(CM_EVENT_DOMAIN,
	       "failure_domain=%s out=1 outcome=held grace_ms=%u", domain,
	       feed->steer->config.lapse_grace_ms);
}

static void apply_domain_out(void *user, const char *domain, bool is_out)
{
	const struct cm_feed *feed = user;
	int error;

	if (!is_out && cm_feed_is_entering_era(feed)) {
		hold_domain_out(feed, domain);
		return;
	}
	error = cm_steer_set_domain_out(feed->steer, cm_clock_ms(), domain,
					is_out);
	cm_log(CM_EVENT_DOMAIN, "failure_domain=%s out=%d outcome=%s", domain,
	       is_out, cm_error_name(error));
}

void cm_feed_report_bad_item(struct cm_feed *feed, const char *key, int error)
{
	cm_counters_add(&feed->steer->counters, CM_C_REGISTRY_BAD_ITEM);
	cm_log(CM_EVENT_REGISTRY_BAD_ITEM, "key=%s error=%s", key,
	       cm_error_name(error));
}

void cm_feed_apply(struct cm_feed *feed, const struct cm_item *item)
{
	const struct cm_registry_events events = {
		.server = apply_server_entry,
		.server_removed = apply_server_removal,
		.plan = apply_plan_version,
		.domain_out = apply_domain_out,
		.peer = apply_peer_entry,
		.peer_removed = apply_peer_removal,
		.user = feed,
	};
	int error = cm_registry_item_decode(item, &events);

	cm_counters_add(&feed->steer->counters, CM_C_REGISTRY_ITEMS);
	if (cm_plan_items_is_content(item->key))
		feed->plan_changed = true;
	if (error)
		cm_feed_report_bad_item(feed, item->key, error);
}

void cm_feed_apply_pending_plan(struct cm_feed *feed)
{
	const struct cm_item *item = cm_plan_items_find_version(&feed->items);
	uint64_t version, digest;

	if (item && !cm_plan_items_version(item, &version, &digest) &&
	    version > feed->plan_version)
		apply_plan_version(feed, version, digest);
}
