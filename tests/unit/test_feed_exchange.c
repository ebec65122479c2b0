#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "unit/feed_instances.h"

UNIT_CASE("feed", "exchange", feed_instances_setup, feed_instances_teardown,
	  UNIT_TIMEOUT_S);

TEST(snapshot_is_sent_in_parts)
{
	put_servers(&source, SERVER_COUNT);
	ck_assert(fetch_part(&source, SOURCE_INCARNATION));
	ck_assert_uint_gt(follower.steer.servers.count, 0);
	ck_assert_uint_lt(follower.steer.servers.count, SERVER_COUNT / 2);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), 0);
	ck_assert_int_ge(fetch_all(&source, SOURCE_INCARNATION), 3);
	ck_assert_uint_eq(follower.steer.servers.count, SERVER_COUNT);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), SERVER_COUNT);
	ck_assert(!fetch_part(&source, SOURCE_INCARNATION));
}

/* Two servers are removed at the source between two parts of a snapshot: one
 * that the follower has already received, and one that it has not. */
TEST(changes_during_a_snapshot_are_received)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, false);

	put_servers(&source, SERVER_COUNT);
	ck_assert(fetch_part(&source, SOURCE_INCARNATION));
	sink.server_removed(sink.user, 1, SERVER_COUNT + 1);
	sink.server_removed(sink.user, SERVER_COUNT, SERVER_COUNT + 2);
	sink.complete_up_to(sink.user, SERVER_COUNT + 2);
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), SERVER_COUNT + 2);
	ck_assert_int_eq(cm_steer_servers_find_by_id(&follower.steer.servers, 1)
				 ->listing,
			 CM_LEFT);
	ck_assert_ptr_null(cm_steer_servers_find_by_id(&follower.steer.servers,
						       SERVER_COUNT));
}

/* The follower missed the removal of server 2, and the source has freed the
 * tombstone. At the end of the snapshot the follower has to remove the server
 * because the snapshot lacks it. */
TEST(entry_missing_from_snapshot_is_removed)
{
	put_servers(&follower, 3);
	put_servers(&source, SERVER_COUNT);
	source.feed.items.complete_since = SERVER_COUNT;
	cm_item_log_remove(&source.feed.items, "s/2", SERVER_COUNT + 1, NOW_MS);
	cm_item_log_free_tombstones(&source.feed.items, NOW_MS + 1);
	cm_item_log_advance(&source.feed.items, SERVER_COUNT + 1);
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_int_eq(cm_steer_servers_find_by_id(&follower.steer.servers, 2)
				 ->listing,
			 CM_LEFT);
	ck_assert_int_eq(cm_steer_servers_find_by_id(&follower.steer.servers, 3)
				 ->listing,
			 CM_LISTED);
}

TEST(duplicate_part_is_refused)
{
	struct cm_message first, again;

	put_servers(&source, SERVER_COUNT);
	fetch_part(&source, SOURCE_INCARNATION);
	first = make_answer(&source, &follower);
	again = make_answer(&source, &follower);
	ASSERT_OK(apply_answer(&follower, SOURCE_INCARNATION, &first));
	ck_assert_int_eq(apply_answer(&follower, SOURCE_INCARNATION, &again),
			 CM_E_STALE);
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.servers.count, SERVER_COUNT);
}

/* A part from another instance, or from the source after a restart, belongs to
 * another snapshot. The follower has to request the other snapshot from its
 * first part. */
TEST(part_of_another_snapshot_is_refused)
{
	struct cm_message part;

	put_servers(&source, SERVER_COUNT);
	fetch_part(&source, SOURCE_INCARNATION);
	part = make_answer(&source, &follower);
	ck_assert_int_eq(apply_answer(&follower, OTHER_INCARNATION, &part),
			 CM_E_STALE);
	put_servers(&other, SERVER_COUNT + 1);
	fetch_all(&other, OTHER_INCARNATION);
	ck_assert_uint_eq(follower.steer.servers.count, SERVER_COUNT + 1);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), SERVER_COUNT + 1);
}

TEST(part_after_a_gap_is_refused)
{
	struct cm_message part;

	put_servers(&source, SERVER_COUNT);
	put_servers(&follower, SERVER_COUNT);
	part = make_answer(&source, &follower);
	part.items.after_revision = SERVER_COUNT + 5;
	part.items.revision = SERVER_COUNT + 9;
	ck_assert_int_eq(apply_answer(&follower, SOURCE_INCARNATION, &part),
			 CM_E_STALE);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), SERVER_COUNT);
}

/* A full read of the registry fails after one server. The source must still
 * send its whole copy, and must not treat the servers that were not read as
 * removed. */
TEST(failed_registry_read_removes_no_server)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, true);
	const struct cm_server_entry entry = server_entry(7);

	put_servers(&source, 20);
	cm_feed_begin_read(&source.feed, false);
	sink.server(sink.user, &entry, 7);
	cm_feed_cancel_read(&source.feed);
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.servers.count, 20);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), 20);
}

/* The follower has received one part of a snapshot when the source fails. A
 * change that the follower then reads from the registry has to end the
 * snapshot. */
TEST(registry_change_ends_a_snapshot)
{
	const struct cm_registry_sink sink =
		cm_feed_sink(&follower.feed, false);

	put_servers(&follower, 3);
	put_servers(&source, SERVER_COUNT);
	source.feed.items.complete_since = SERVER_COUNT;
	ck_assert(fetch_part(&source, SOURCE_INCARNATION));
	sink.server_removed(sink.user, 3, SERVER_COUNT + 1);
	sink.complete_up_to(sink.user, SERVER_COUNT + 1);
	ck_assert(!follower.feed.items.is_receiving_snapshot);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), SERVER_COUNT + 1);
}

/* A source in graceful shutdown sends CM_FEED_AGE_LEAVING as the age of its
 * copy. Its followers must not conclude that the registry is unreachable. */
TEST(leaving_source_is_not_taken_for_an_outage)
{
	struct cm_message message;

	put_servers(&source, 3);
	cm_steer_leave(&source.steer);
	message = make_answer(&source, &follower);
	ck_assert_uint_eq(message.items.age_ms, CM_FEED_AGE_LEAVING);
	ASSERT_OK(apply_answer(&follower, SOURCE_INCARNATION, &message));
	ck_assert(!follower.steer.is_registry_unreachable);
}

/* An instance of another failure domain may request items, but does not become
 * a member of the source's failure domain. */
TEST(requesters_of_the_domain_are_members)
{
	struct cm_peer_entry entries[CM_ROSTER_MAX];
	uint64_t revision;

	strcpy(other.feed.self.domain, "b");
	put_servers(&source, 3);
	fetch_all(&source, SOURCE_INCARNATION);
	struct cm_message message = make_answer(&source, &other);

	cm_message_finish(&message);
	ck_assert_uint_eq(cm_feed_take_due_members(&source.feed, NOW_MS, false,
						   entries, &revision),
			  2);
	ck_assert_uint_eq(revision, 0);
}

static void put_members(struct feed_instance *instance, const char *first,
			uint64_t revision)
{
	const struct cm_registry_sink sink =
		cm_feed_sink(&instance->feed, false);
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

TEST(first_member_writes_the_members)
{
	put_servers(&source, 3);
	ck_assert(cm_feed_is_members_writer(&source.feed, NOW_MS));
	put_members(&source, "a-5", 4);
	ck_assert_uint_eq(source.feed.members_revision, 4);
	ck_assert(!cm_feed_is_members_writer(&source.feed, NOW_MS));
	put_members(&source, "a-1", 5);
	ck_assert(cm_feed_is_members_writer(&source.feed, NOW_MS));
}

/* The registry's entry that lists the members is deleted. The instances keep
 * the members that it listed. The one with the lowest rank writes the entry
 * again; members that are skipped as sources are left out. */
TEST(members_are_kept_without_their_entry)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, false);
	struct cm_peer_entry selected;

	put_servers(&source, 3);
	put_members(&source, "a-5", 4);
	sink.members_removed(sink.user, "a", 5);
	put_servers(&source, 8);
	ck_assert_uint_eq(source.feed.members_revision, 0);
	ck_assert_uint_eq(cm_steer_count_local_peers(&source.steer), 2);
	ck_assert(!cm_feed_is_members_writer(&source.feed, NOW_MS));
	ck_assert(cm_feed_select_source(&source.feed, NOW_MS, &selected));
	ck_assert_str_eq(selected.name, "a-5");
}

/* If several sources in a row do not answer, the copy must not get much older
 * than stale_ms. From that age on, the instance reads the registry itself. */
TEST(instance_with_an_old_copy_reads_the_registry)
{
	struct cm_peer_entry selected;

	source.feed.stale_ms = 2500;
	put_servers(&source, 3);
	put_members(&source, "a-5", 4);
	ck_assert(
		cm_feed_select_source(&source.feed, NOW_MS + 2400, &selected));
	ck_assert(
		!cm_feed_select_source(&source.feed, NOW_MS + 2500, &selected));
	cm_feed_registry_answered(&source.feed, NOW_MS + 2510);
	ck_assert(
		cm_feed_select_source(&source.feed, NOW_MS + 2520, &selected));
}
