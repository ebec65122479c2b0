#include "unit/suites.h"

#include <string.h>

#include "chervilmast/error.h"
#include "unit/feed_instances.h"

UNIT_CASE("feed", "plans", feed_instances_setup, feed_instances_teardown,
	  UNIT_TIMEOUT_S);

/* Each of ten plans adds one route to about 2,400 others. The follower must
 * handle only the two items of each plan that differ from the plan before. */
TEST(follower_handles_the_routes_that_differ)
{
	uint64_t before;

	put_servers(&source, 3);
	put_plan(&source, 7, 2400, 4);
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.plan.route_count, 2400);
	before = cm_counters_get(&follower.steer.counters, CM_C_REGISTRY_ITEMS);
	for (uint32_t i = 1; i <= 10; i++) {
		put_plan(&source, 7 + i, 2400 + i, 4 + i);
		fetch_all(&source, SOURCE_INCARNATION);
		ck_assert_uint_eq(follower.steer.plan.version, 7 + i);
		ck_assert_uint_eq(follower.steer.plan.route_count, 2400 + i);
	}
	ck_assert_uint_le(
		cm_counters_get(&follower.steer.counters, CM_C_REGISTRY_ITEMS) -
			before,
		10 * 2);
}

/* The follower must not take a route whose requests may run once for one whose
 * requests are repeatable. */
TEST(follower_gets_the_traits_of_routes)
{
	const struct cm_plan_route *routes;

	put_plan(&source, 7, 300, 4);
	fetch_all(&source, SOURCE_INCARNATION);
	routes = follower.steer.plan.routes;
	ck_assert_int_eq(routes[0].traits.kind, CM_ROUTE_NON_IDEMPOTENT);
	ck_assert_uint_eq(routes[0].traits.priority, 1);
	ck_assert_uint_eq(routes[0].traits.timeout_ms, 2500);
	for (uint32_t i = 1; i < 300; i++) {
		ck_assert_int_eq(routes[i].traits.kind, CM_ROUTE_IDEMPOTENT);
		ck_assert_uint_eq(routes[i].traits.priority, 2);
		ck_assert_uint_eq(routes[i].traits.timeout_ms, 2000);
	}
}

/* Ten plans that differ only in their versions must not make the follower build
 * its table of routes again. */
TEST(plan_with_unchanged_routes_keeps_the_route_table)
{
	const struct cm_plan_route *routes;

	put_servers(&source, 3);
	put_plan(&source, 7, 2400, 4);
	fetch_all(&source, SOURCE_INCARNATION);
	routes = follower.steer.plan.routes;
	for (uint32_t i = 1; i <= 10; i++) {
		put_plan(&source, 7 + i, 2400, 4 + i);
		fetch_all(&source, SOURCE_INCARNATION);
		ck_assert_uint_eq(follower.steer.plan.version, 7 + i);
	}
	ck_assert_ptr_eq(follower.steer.plan.routes, routes);
	put_plan(&source, 18, 2401, 15);
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.plan.route_count, 2401);
}

/*
 * A read that may be stale can return a revision without all changes up to it.
 * If the follower then requested the changes since that revision, it would
 * never get the missing ones, so it has to request a snapshot.
 */
TEST(stale_copy_is_replaced_by_a_snapshot)
{
	const struct cm_registry_sink sink = cm_feed_sink(&follower.feed, true);
	const struct cm_server_entry entry = server_entry(1);
	struct cm_message message;

	put_servers(&source, 3);
	put_plan(&source, 8, 5, 4);
	cm_feed_begin_read(&follower.feed, true);
	sink.server(sink.user, &entry, 1);
	sink.complete_up_to(sink.user, 6);
	put_plan(&follower, 8, 5, 4);
	/* The follower lacks revision 5, but its read returned revision 6. */
	put_plan(&source, 10, 9, 5);
	put_plan(&source, 12, 9, 7);
	ck_assert(cm_feed_is_stale(&follower.feed));
	message = make_answer(&follower, &source);
	ck_assert_uint_eq(message.items.revision, 0);
	cm_message_finish(&message);
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert(!cm_feed_is_stale(&follower.feed));
	ck_assert_uint_eq(follower.steer.plan.version, 12);
	ck_assert_uint_eq(follower.steer.plan.route_count, 9);
	ck_assert_uint_eq(follower.steer.servers.count, 3);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), 7);
}

/* The follower has plan 8, with nine routes, which the source never received.
 * The next plan of the source has the five routes of plan 5 again, so the
 * follower must not keep the others. */
TEST(routes_that_the_source_never_had_are_removed)
{
	put_servers(&source, 3);
	put_servers(&follower, 3);
	put_plan(&source, 5, 5, 4);
	put_plan(&follower, 5, 5, 4);
	put_plan(&follower, 8, 9, 5);
	put_plan(&source, 12, 5, 7);
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.plan.version, 12);
	ck_assert_uint_eq(follower.steer.plan.route_count, 5);
	ck_assert(!cm_feed_is_stale(&follower.feed));
}

/* The answer marks the new plan's routes with a revision that the follower
 * already has, so the follower ignores them and has items of two plans. Their
 * digest does not match that of the new version, so the follower keeps the old
 * plan in force and requests a snapshot. */
TEST(plan_with_a_missing_change_needs_a_snapshot)
{
	struct cm_message message;

	put_servers(&source, 3);
	put_plan(&source, 5, 5, 4);
	fetch_all(&source, SOURCE_INCARNATION);
	put_plan(&source, 8, 9, 5);
	message = make_answer(&source, &follower);
	for (uint32_t i = 0; i < message.items.count; i++)
		if (!strncmp(message.items.items[i].key, "p/routes/", 9))
			message.items.items[i].revision = 1;
	ASSERT_OK(apply_answer(&follower, SOURCE_INCARNATION, &message));
	ck_assert_uint_eq(follower.steer.plan.version, 5);
	ck_assert(cm_feed_is_stale(&follower.feed));
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.plan.version, 8);
	ck_assert_uint_eq(follower.steer.plan.route_count, 9);
	ck_assert(!cm_feed_is_stale(&follower.feed));
}

TEST(earlier_plan_is_refused)
{
	put_servers(&source, 3);
	put_plan(&source, 7, 5, 4);
	put_plan(&source, 6, 9, 5);
	ck_assert_uint_eq(source.steer.plan.version, 7);
	ck_assert_uint_eq(source.steer.plan.route_count, 5);
}

/* After a full read of the registry that returns no plan, the last plan stays
 * in force, and a later plan can replace it. */
TEST(read_without_a_plan_keeps_the_last_plan)
{
	put_servers(&source, 3);
	put_plan(&source, 7, 5, 4);
	put_servers(&source, 6);
	put_plan(&source, 8, 6, 7);
	ck_assert_uint_eq(source.steer.plan.version, 8);
	ck_assert_uint_eq(source.steer.plan.route_count, 6);
}
