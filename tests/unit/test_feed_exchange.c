#include "unit/suites.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "adapters/registry_item.h"
#include "chervilmast/error.h"
#include "daemon/feed.h"

#define SERVERS 1000
#define SOURCE_INCARNATION 11
#define OTHER_INCARNATION 12
#define NOW_MS 100000
/** More parts than any of these copies has. */
#define PARTS_MOST 50

/**
 * struct side - an instance with its copy
 * @steer: its node
 * @feed: its copy
 */
struct side {
	struct cm_steer steer;
	struct cm_feed feed;
};

static struct side source, follower, other;
static const struct cm_endpoint source_address = { 0x7f000001, 9, 6 };

static void start(struct side *side, const char *name, uint64_t incarnation)
{
	const struct cm_steer_config config = { .domain = "a", .flows_max = 1 };
	struct cm_feed_config feed_config = {
		.self.domain = "a",
		.incarnation = incarnation,
		.age_max_ms = 1000,
	};

	snprintf(feed_config.self.name, sizeof(feed_config.self.name), "%s",
		 name);
	cm_steer_init(&side->steer, &config);
	cm_feed_init(&side->feed, &side->steer, &feed_config);
}

static void finish(struct side *side)
{
	cm_feed_finish(&side->feed);
	cm_steer_finish(&side->steer);
}

static void setup(void)
{
	start(&source, "a-1", SOURCE_INCARNATION);
	start(&follower, "a-2", 21);
	start(&other, "a-3", OTHER_INCARNATION);
}

static void teardown(void)
{
	finish(&source);
	finish(&follower);
	finish(&other);
}

UNIT_CASE("feed", "exchange", setup, teardown, UNIT_TIMEOUT_S);

static struct cm_server_entry server(uint64_t id)
{
	const struct cm_server_entry entry = {
		.id = id,
		.service = "ledger",
		.domain = "a",
		.address = { 0x0a800000 + (uint32_t)id, 8080, IPPROTO_UDP },
		.slots = 2,
	};

	return entry;
}

/* The registry tells of @count servers, one with each revision. */
static void tell_all(struct side *side, uint64_t count)
{
	const struct cm_registry_sink sink = cm_feed_sink(&side->feed, true);

	cm_feed_begin(&side->feed, false);
	for (uint64_t id = 1; id <= count; id++) {
		const struct cm_server_entry entry = server(id);

		sink.server(sink.user, &entry, id);
	}
	sink.reached(sink.user, count);
	cm_feed_heard(&side->feed, NOW_MS);
}

static struct cm_message answer(struct side *from, struct side *to)
{
	struct cm_message_items_request request = { .after = 0 };
	struct cm_message message;

	cm_feed_request(&to->feed, NOW_MS, &request);
	cm_message_init(&message, CM_MESSAGE_ITEMS);
	ASSERT_OK(cm_feed_answer(&from->feed, NOW_MS, &to->feed.self, &request,
				 &message.items));
	return message;
}

static int take(struct side *to, uint64_t incarnation,
		struct cm_message *message)
{
	int error = cm_feed_take(&to->feed, NOW_MS, &source_address,
				 incarnation, &message->items);

	cm_message_finish(message);
	return error;
}

/* Return: whether another part follows. */
static bool ask(struct side *from, uint64_t incarnation)
{
	struct cm_message message = answer(from, &follower);
	bool has_more = message.items.has_more;

	ASSERT_OK(take(&follower, incarnation, &message));
	return has_more;
}

/* Return: number of parts. */
static int ask_all(struct side *from, uint64_t incarnation)
{
	int parts = 1;

	while (ask(from, incarnation) && parts < PARTS_MOST)
		parts++;
	return parts;
}

TEST(copy_comes_in_parts)
{
	tell_all(&source, SERVERS);
	ck_assert(ask(&source, SOURCE_INCARNATION));
	ck_assert_uint_gt(follower.steer.servers.count, 0);
	ck_assert_uint_lt(follower.steer.servers.count, SERVERS / 2);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), 0);
	ck_assert_int_ge(ask_all(&source, SOURCE_INCARNATION), 3);
	ck_assert_uint_eq(follower.steer.servers.count, SERVERS);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), SERVERS);
	ck_assert(!ask(&source, SOURCE_INCARNATION));
}

/* What changes while the parts come is not missed. */
TEST(changes_during_a_snapshot_are_in_it)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, false);

	tell_all(&source, SERVERS);
	ck_assert(ask(&source, SOURCE_INCARNATION));
	sink.server_gone(sink.user, 1, SERVERS + 1);
	sink.server_gone(sink.user, SERVERS, SERVERS + 2);
	sink.reached(sink.user, SERVERS + 2);
	ask_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), SERVERS + 2);
	ck_assert_int_eq(
		cm_steer_servers_by_id(&follower.steer.servers, 1)->listing,
		CM_LEFT);
	ck_assert_ptr_null(
		cm_steer_servers_by_id(&follower.steer.servers, SERVERS));
}

/* A server whose removal this instance has missed goes at the end. */
TEST(snapshot_takes_away_what_it_lacks)
{
	tell_all(&follower, 3);
	tell_all(&source, SERVERS);
	source.feed.log.complete_since = SERVERS;
	cm_item_log_remove(&source.feed.log, "s/2", SERVERS + 1, NOW_MS);
	cm_item_log_sweep(&source.feed.log, NOW_MS + 1);
	cm_item_log_reached(&source.feed.log, SERVERS + 1);
	ask_all(&source, SOURCE_INCARNATION);
	ck_assert_int_eq(
		cm_steer_servers_by_id(&follower.steer.servers, 2)->listing,
		CM_LEFT);
	ck_assert_int_eq(
		cm_steer_servers_by_id(&follower.steer.servers, 3)->listing,
		CM_LISTED);
}

TEST(part_that_comes_twice_is_refused)
{
	struct cm_message first, again;

	tell_all(&source, SERVERS);
	ask(&source, SOURCE_INCARNATION);
	first = answer(&source, &follower);
	again = answer(&source, &follower);
	ASSERT_OK(take(&follower, SOURCE_INCARNATION, &first));
	ck_assert_int_eq(take(&follower, SOURCE_INCARNATION, &again),
			 CM_E_STALE);
	ask_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.servers.count, SERVERS);
}

/* Another instance, or the same one after a new start, begins again. */
TEST(part_of_another_snapshot_is_refused)
{
	struct cm_message part;

	tell_all(&source, SERVERS);
	ask(&source, SOURCE_INCARNATION);
	part = answer(&source, &follower);
	ck_assert_int_eq(take(&follower, OTHER_INCARNATION, &part), CM_E_STALE);
	tell_all(&other, SERVERS + 1);
	ask_all(&other, OTHER_INCARNATION);
	ck_assert_uint_eq(follower.steer.servers.count, SERVERS + 1);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), SERVERS + 1);
}

TEST(part_behind_a_gap_is_refused)
{
	struct cm_message part;

	tell_all(&source, SERVERS);
	tell_all(&follower, SERVERS);
	part = answer(&source, &follower);
	part.items.after = SERVERS + 5;
	part.items.revision = SERVERS + 9;
	ck_assert_int_eq(take(&follower, SOURCE_INCARNATION, &part),
			 CM_E_STALE);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), SERVERS);
}

/* An instance whose read of the registry failed still serves what it had. */
TEST(read_that_failed_changes_nothing)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, true);
	const struct cm_server_entry entry = server(7);

	tell_all(&source, 20);
	cm_feed_begin(&source.feed, false);
	sink.server(sink.user, &entry, 7);
	cm_feed_cancel(&source.feed);
	ask_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.servers.count, 20);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), 20);
}

/* A snapshot whose giver went is followed by what the registry tells. */
TEST(snapshot_may_be_left_for_the_registry)
{
	const struct cm_registry_sink sink =
		cm_feed_sink(&follower.feed, false);

	tell_all(&follower, 3);
	tell_all(&source, SERVERS);
	source.feed.log.complete_since = SERVERS;
	ck_assert(ask(&source, SOURCE_INCARNATION));
	sink.server_gone(sink.user, 3, SERVERS + 1);
	sink.reached(sink.user, SERVERS + 1);
	ck_assert(!follower.feed.log.in_snapshot);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), SERVERS + 1);
}

static void tell_plan(struct side *side, uint64_t version, uint32_t routes,
		      uint64_t revision)
{
	const struct cm_registry_sink sink = cm_feed_sink(&side->feed, false);
	struct cm_steer_plan plan;

	ASSERT_OK(cm_steer_plan_init(&plan, version, routes, 0));
	for (uint32_t i = 0; i < routes; i++) {
		const struct cm_steer_route route = {
			.address = { 0xc6120000 + i, 443, IPPROTO_TCP },
			.target_count = 1,
			.targets = { { "ledger", 1 } },
		};

		ASSERT_OK(cm_steer_plan_add_route(&plan, &route));
	}
	ASSERT_OK(cm_steer_plan_seal(&plan));
	sink.plan(sink.user, &plan, revision);
	sink.reached(sink.user, revision);
}

/* A storm of plans of 2,400 routes: a follower handles what differs. */
TEST(follower_handles_the_routes_that_differ)
{
	uint64_t before;

	tell_all(&source, 3);
	tell_plan(&source, 7, 2400, 4);
	ask_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.plan.route_count, 2400);
	before = cm_counters_get(&follower.steer.counters, CM_C_REGISTRY_ITEMS);
	for (uint32_t i = 1; i <= 10; i++) {
		tell_plan(&source, 7 + i, 2400 + i, 4 + i);
		ask_all(&source, SOURCE_INCARNATION);
		ck_assert_uint_eq(follower.steer.plan.version, 7 + i);
		ck_assert_uint_eq(follower.steer.plan.route_count, 2400 + i);
	}
	ck_assert_uint_le(
		cm_counters_get(&follower.steer.counters, CM_C_REGISTRY_ITEMS) -
			before,
		10 * 2);
}

/* A storm of plans that differ in nothing that concerns flows builds none. */
TEST(plan_of_the_same_routes_is_not_built_again)
{
	const struct cm_plan_route *routes;

	tell_all(&source, 3);
	tell_plan(&source, 7, 2400, 4);
	ask_all(&source, SOURCE_INCARNATION);
	routes = follower.steer.plan.routes;
	for (uint32_t i = 1; i <= 10; i++) {
		tell_plan(&source, 7 + i, 2400, 4 + i);
		ask_all(&source, SOURCE_INCARNATION);
		ck_assert_uint_eq(follower.steer.plan.version, 7 + i);
	}
	ck_assert_ptr_eq(follower.steer.plan.routes, routes);
	tell_plan(&source, 18, 2401, 15);
	ask_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.plan.route_count, 2401);
}

/*
 * A read that may be stale gives no revision to go on from: it may name one
 * that its content has not reached.
 */
TEST(stale_copy_is_followed_by_a_whole_one)
{
	const struct cm_registry_sink sink = cm_feed_sink(&follower.feed, true);
	const struct cm_server_entry entry = server(1);
	struct cm_message message;

	tell_all(&source, 3);
	tell_plan(&source, 8, 5, 4);
	cm_feed_begin(&follower.feed, true);
	sink.server(sink.user, &entry, 1);
	sink.reached(sink.user, 6);
	tell_plan(&follower, 8, 5, 4);
	/* What the stale copy lacks is older than the revision that it named.
	 */
	tell_plan(&source, 10, 9, 5);
	tell_plan(&source, 12, 9, 7);
	ck_assert(cm_feed_is_stale(&follower.feed));
	message = answer(&follower, &source);
	ck_assert_uint_eq(message.items.revision, 0);
	cm_message_finish(&message);
	ask_all(&source, SOURCE_INCARNATION);
	ck_assert(!cm_feed_is_stale(&follower.feed));
	ck_assert_uint_eq(follower.steer.plan.version, 12);
	ck_assert_uint_eq(follower.steer.plan.route_count, 9);
	ck_assert_uint_eq(follower.steer.servers.count, 3);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), 7);
}

/* The source never saw the plan that the follower has, and that is taken back.
 */
TEST(plan_that_the_source_missed_is_taken_back)
{
	tell_all(&source, 3);
	tell_all(&follower, 3);
	tell_plan(&source, 5, 5, 4);
	tell_plan(&follower, 5, 5, 4);
	tell_plan(&follower, 8, 9, 5);
	tell_plan(&source, 12, 5, 7);
	ask_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.plan.version, 12);
	ck_assert_uint_eq(follower.steer.plan.route_count, 5);
	ck_assert(!cm_feed_is_stale(&follower.feed));
}

/* However it came to lack one: a follower with a part of another plan asks for
 * all before it puts the version in force. */
TEST(plan_that_lacks_a_change_is_asked_for_whole)
{
	struct cm_message message;

	tell_all(&source, 3);
	tell_plan(&source, 5, 5, 4);
	ask_all(&source, SOURCE_INCARNATION);
	tell_plan(&source, 8, 9, 5);
	message = answer(&source, &follower);
	for (uint32_t i = 0; i < message.items.count; i++)
		if (!strncmp(message.items.items[i].key, "p/routes/", 9))
			message.items.items[i].revision = 1;
	ASSERT_OK(take(&follower, SOURCE_INCARNATION, &message));
	ck_assert_uint_eq(follower.steer.plan.version, 5);
	ck_assert(cm_feed_is_stale(&follower.feed));
	ask_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.plan.version, 8);
	ck_assert_uint_eq(follower.steer.plan.route_count, 9);
	ck_assert(!cm_feed_is_stale(&follower.feed));
}

TEST(earlier_plan_is_refused)
{
	tell_all(&source, 3);
	tell_plan(&source, 7, 5, 4);
	tell_plan(&source, 6, 9, 5);
	ck_assert_uint_eq(source.steer.plan.version, 7);
	ck_assert_uint_eq(source.steer.plan.route_count, 5);
}

/* A snapshot of the registry that lacks the plan leaves the last one. */
TEST(snapshot_without_a_plan_takes_none_away)
{
	tell_all(&source, 3);
	tell_plan(&source, 7, 5, 4);
	tell_all(&source, 6);
	tell_plan(&source, 8, 6, 7);
	ck_assert_uint_eq(source.steer.plan.version, 8);
	ck_assert_uint_eq(source.steer.plan.route_count, 6);
}

TEST(instance_that_leaves_sends_to_the_next_one)
{
	struct cm_message message;

	tell_all(&source, 3);
	cm_steer_leave(&source.steer);
	message = answer(&source, &follower);
	ck_assert_uint_eq(message.items.age_ms, CM_FEED_LEAVES);
	ASSERT_OK(take(&follower, SOURCE_INCARNATION, &message));
	ck_assert(!follower.steer.is_away);
}

/* Instances of another failure domain may ask, and are no members. */
TEST(members_are_those_of_the_domain_that_ask)
{
	struct cm_peer_entry entries[CM_ROSTER_MAX];
	uint64_t revision;

	strcpy(other.feed.self.domain, "b");
	tell_all(&source, 3);
	ask_all(&source, SOURCE_INCARNATION);
	struct cm_message message = answer(&source, &other);

	cm_message_finish(&message);
	ck_assert_uint_eq(cm_feed_members_due(&source.feed, NOW_MS, false,
					      entries, &revision),
			  2);
	ck_assert_uint_eq(revision, 0);
}

static void tell_members(struct side *side, const char *first,
			 uint64_t revision)
{
	const struct cm_registry_sink sink = cm_feed_sink(&side->feed, false);
	struct cm_peer_entry entries[2] = {
		{ .domain = "a", .control = { 1, 1, 6 }, .rank = 3 },
		{ .name = "a-9",
		  .domain = "a",
		  .control = { 1, 2, 6 },
		  .rank = 4 },
	};
	const struct cm_domain_members members = { "a", entries, 2 };

	snprintf(entries[0].name, sizeof(entries[0].name), "%s", first);
	sink.members(sink.user, &members, revision);
}

TEST(first_member_enters_the_others)
{
	tell_all(&source, 3);
	ck_assert(cm_feed_leads(&source.feed, NOW_MS));
	tell_members(&source, "a-5", 4);
	ck_assert_uint_eq(source.feed.members_revision, 4);
	ck_assert(!cm_feed_leads(&source.feed, NOW_MS));
	tell_members(&source, "a-1", 5);
	ck_assert(cm_feed_leads(&source.feed, NOW_MS));
}

/* Without the entry the first one that is not skipped makes it anew. */
TEST(members_stay_known_without_their_entry)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, false);
	struct cm_peer_entry asked;

	tell_all(&source, 3);
	tell_members(&source, "a-5", 4);
	sink.members_gone(sink.user, "a", 5);
	tell_all(&source, 8);
	ck_assert_uint_eq(source.feed.members_revision, 0);
	ck_assert_uint_eq(cm_steer_peers_near(&source.steer), 2);
	ck_assert(!cm_feed_leads(&source.feed, NOW_MS));
	ck_assert(cm_feed_source(&source.feed, NOW_MS, &asked));
	ck_assert_str_eq(asked.name, "a-5");
}

/* However many sources are silent, what is known does not grow too old. */
TEST(instance_that_hears_nothing_asks_the_registry)
{
	struct cm_peer_entry asked;

	source.feed.stale_ms = 2500;
	tell_all(&source, 3);
	tell_members(&source, "a-5", 4);
	ck_assert(cm_feed_source(&source.feed, NOW_MS + 2400, &asked));
	ck_assert(!cm_feed_source(&source.feed, NOW_MS + 2500, &asked));
	cm_feed_heard(&source.feed, NOW_MS + 2510);
	ck_assert(cm_feed_source(&source.feed, NOW_MS + 2520, &asked));
}
