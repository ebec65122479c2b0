#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "unit/feed_sides.h"

UNIT_CASE("feed", "exchange", sides_setup, sides_teardown, UNIT_TIMEOUT_S);

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

/* Two servers are removed at the source between the parts of a snapshot: one
 * that the follower already has, and one that no part has contained yet. */
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

/* The follower missed the removal of server 2, and the source has swept the
 * tombstone. The end of the snapshot has to remove the server. */
TEST(snapshot_takes_away_what_it_lacks)
{
	tell_all(&follower, 3);
	tell_all(&source, SERVERS);
	source.feed.log.complete_since = SERVERS;
	cm_item_log_remove(&source.feed.log, "s/2", SERVERS + 1, NOW_MS);
	cm_item_log_sweep(&source.feed.log, NOW_MS + 1);
	cm_item_log_advance(&source.feed.log, SERVERS + 1);
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

/* A part of another instance, or of the source after a restart, belongs to
 * another snapshot, which the follower has to request from the beginning. */
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

/* A full read of the registry fails after one server. The source still has to
 * serve its whole copy, without taking the missing servers for removed. */
TEST(read_that_failed_changes_nothing)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, true);
	const struct cm_server_entry entry = server(7);

	tell_all(&source, 20);
	cm_feed_begin_read(&source.feed, false);
	sink.server(sink.user, &entry, 7);
	cm_feed_cancel_read(&source.feed);
	ask_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.servers.count, 20);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), 20);
}

/* The follower has got one part of a snapshot when it turns to the registry,
 * as when the source has gone. The change that the registry returns has to end
 * the snapshot. */
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

TEST(instance_that_leaves_sends_to_the_next_one)
{
	struct cm_message message;

	tell_all(&source, 3);
	cm_steer_leave(&source.steer);
	message = answer(&source, &follower);
	ck_assert_uint_eq(message.items.age_ms, CM_FEED_AGE_LEAVING);
	ASSERT_OK(take(&follower, SOURCE_INCARNATION, &message));
	ck_assert(!follower.steer.is_registry_unreachable);
}

/* An instance of another failure domain may ask, but does not become a member.
 */
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
	ck_assert(cm_feed_is_members_writer(&source.feed, NOW_MS));
	tell_members(&source, "a-5", 4);
	ck_assert_uint_eq(source.feed.members_revision, 4);
	ck_assert(!cm_feed_is_members_writer(&source.feed, NOW_MS));
	tell_members(&source, "a-1", 5);
	ck_assert(cm_feed_is_members_writer(&source.feed, NOW_MS));
}

/* The registry's entry of the members is deleted. The instances keep the
 * members they know, and the first one that is not skipped writes the entry
 * again. */
TEST(members_stay_known_without_their_entry)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, false);
	struct cm_peer_entry asked;

	tell_all(&source, 3);
	tell_members(&source, "a-5", 4);
	sink.members_gone(sink.user, "a", 5);
	tell_all(&source, 8);
	ck_assert_uint_eq(source.feed.members_revision, 0);
	ck_assert_uint_eq(cm_steer_count_local_peers(&source.steer), 2);
	ck_assert(!cm_feed_is_members_writer(&source.feed, NOW_MS));
	ck_assert(cm_feed_select_source(&source.feed, NOW_MS, &asked));
	ck_assert_str_eq(asked.name, "a-5");
}

/* Several silent sources in a row must not let the copy grow older than
 * stale_ms: the instance then asks the registry itself. */
TEST(instance_that_hears_nothing_asks_the_registry)
{
	struct cm_peer_entry asked;

	source.feed.stale_ms = 2500;
	tell_all(&source, 3);
	tell_members(&source, "a-5", 4);
	ck_assert(cm_feed_select_source(&source.feed, NOW_MS + 2400, &asked));
	ck_assert(!cm_feed_select_source(&source.feed, NOW_MS + 2500, &asked));
	cm_feed_registry_answered(&source.feed, NOW_MS + 2510);
	ck_assert(cm_feed_select_source(&source.feed, NOW_MS + 2520, &asked));
}
