#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/error.h"
#include "ports/clock.h"
#include "unit/feed_instances.h"

/** Grace period, ms; longer than a test may take. */
#define GRACE_MS 100000
/** Revision up to which the registry's data goes before the change. */
#define REVISION 500
/** Revision of the older copy. */
#define COPY_REVISION 400

static void setup(void)
{
	feed_instances_setup();
	source.steer.config.lapse_grace_ms = GRACE_MS;
	follower.steer.config.lapse_grace_ms = GRACE_MS;
	other.steer.config.lapse_grace_ms = GRACE_MS;
}

UNIT_CASE("feed", "eras", setup, feed_instances_teardown, UNIT_TIMEOUT_S);

static cm_position at(uint64_t era, uint64_t revision)
{
	cm_position position;

	ASSERT_OK(cm_position_compose(&position, era, revision));
	return position;
}

static void put_server(const struct cm_registry_sink *sink, uint64_t id,
		       cm_position revision)
{
	const struct cm_server_entry entry = server_entry(id);

	sink->server(sink->user, &entry, revision);
}

/* Applies a full read of the registry that returns the servers @first to
 * @last. */
static void read_servers(struct feed_instance *instance, uint64_t first,
			 uint64_t last, cm_position reached)
{
	const struct cm_registry_sink sink =
		cm_feed_sink(&instance->feed, true);

	cm_feed_begin_read(&instance->feed, false);
	for (uint64_t id = first; id <= last; id++)
		put_server(&sink, id, reached);
	sink.complete_up_to(sink.user, reached);
	cm_feed_registry_answered(&instance->feed, NOW_MS);
}

static enum cm_listing listing(struct feed_instance *instance, uint64_t id)
{
	return cm_steer_servers_find_by_id(&instance->steer.servers, id)
		->listing;
}

static uint64_t era_changes(struct feed_instance *instance)
{
	return cm_counters_get(&instance->steer.counters,
			       CM_C_STORE_ERA_CHANGES);
}

static void set_domain_out(struct feed_instance *instance, bool is_out,
			   cm_position revision)
{
	const struct cm_registry_sink sink =
		cm_feed_sink(&instance->feed, false);

	sink.domain_state(sink.user, "b", is_out, revision);
	sink.complete_up_to(sink.user, revision);
}

/* Without a change of era, nothing is counted and no grace period begins. */
TEST(registry_without_eras_begins_no_grace_period)
{
	read_servers(&source, 1, 3, REVISION);
	read_servers(&source, 1, 2, REVISION + 1);
	ck_assert_uint_eq(era_changes(&source), 0);
	ck_assert_uint_eq(source.steer.registry_restored_ms, 0);
	ck_assert_int_eq(listing(&source, 3), CM_LEFT);
}

/* The first data that an instance gets is no change, whatever its era. */
TEST(first_era_is_no_change)
{
	read_servers(&source, 1, 3, at(7, REVISION));
	ck_assert_uint_eq(era_changes(&source), 0);
	ck_assert_uint_eq(source.steer.registry_restored_ms, 0);
}

/* The key has the same revision number as before, with other content. The item
 * log must not ignore it as a change that it already has. */
TEST(key_with_a_reused_revision_is_applied)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, true);
	struct cm_server_entry entry = server_entry(1);

	read_servers(&source, 1, 1, at(1, REVISION));
	entry.slots = 9;
	cm_feed_begin_read(&source.feed, false);
	sink.server(sink.user, &entry, at(2, REVISION));
	sink.complete_up_to(sink.user, at(2, REVISION));
	ck_assert_uint_eq(cm_steer_servers_find_by_id(&source.steer.servers, 1)
				  ->entry.slots,
			  9);
}

/* Servers that the older copy lacks are alive and register again. */
TEST(missing_servers_lapse_after_a_change_of_era)
{
	read_servers(&source, 1, 3, at(1, REVISION));
	read_servers(&source, 1, 2, at(2, COPY_REVISION));
	ck_assert_uint_eq(era_changes(&source), 1);
	ck_assert_uint_ne(source.steer.registry_restored_ms, 0);
	ck_assert_int_eq(listing(&source, 3), CM_LAPSED);
	ck_assert_uint_eq(cm_feed_revision(&source.feed), at(2, COPY_REVISION));
}

/* A server that was lost with the first change must not count as gone after the
 * second, and a skipped era is one change. */
TEST(era_that_changes_twice_in_a_row_is_followed)
{
	read_servers(&source, 1, 4, at(1, REVISION));
	read_servers(&source, 1, 3, at(2, COPY_REVISION));
	read_servers(&source, 1, 2, at(4, COPY_REVISION - 50));
	ck_assert_uint_eq(era_changes(&source), 2);
	ck_assert_int_eq(listing(&source, 2), CM_LISTED);
	ck_assert_int_eq(listing(&source, 3), CM_LAPSED);
	ck_assert_int_eq(listing(&source, 4), CM_LAPSED);
	ck_assert_uint_eq(cm_feed_revision(&source.feed),
			  at(4, COPY_REVISION - 50));
}

/* The grace period of the outage must not end before that of the change. */
TEST(era_that_changes_during_an_outage_is_followed)
{
	uint64_t begin_ms = cm_clock_ms();

	read_servers(&source, 1, 3, at(1, REVISION));
	cm_feed_registry_unreachable(&source.feed);
	read_servers(&source, 1, 2, at(2, COPY_REVISION));
	ck_assert(!source.steer.is_registry_unreachable);
	ck_assert_uint_ge(source.steer.registry_restored_ms, begin_ms);
	ck_assert_int_eq(listing(&source, 3), CM_LAPSED);
}

/* The era changes after the first page of the first read. A server of that page
 * that the older copy lacks is treated as lost, and not as read. */
TEST(era_that_changes_during_the_first_read_is_followed)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, true);

	cm_feed_begin_read(&source.feed, false);
	put_server(&sink, 1, at(1, REVISION));
	put_server(&sink, 2, at(1, REVISION));
	sink.restarted(sink.user, at(2, COPY_REVISION));
	ck_assert_uint_eq(cm_counters_get(&source.steer.counters,
					  CM_C_STORE_READ_RESTARTS),
			  1);
	put_server(&sink, 1, at(2, COPY_REVISION));
	sink.complete_up_to(sink.user, at(2, COPY_REVISION));
	ck_assert_int_eq(listing(&source, 1), CM_LISTED);
	ck_assert_int_eq(listing(&source, 2), CM_LAPSED);
	ck_assert_uint_eq(era_changes(&source), 1);
}

static bool is_domain_out(struct feed_instance *instance)
{
	return instance->steer.domains_out_count > 0;
}

/* The entry is lost with the change. The domain must not get flows before the
 * operator could write the entry again. */
TEST(missing_domain_stays_out_for_the_grace_period)
{
	read_servers(&source, 1, 2, at(1, REVISION));
	set_domain_out(&source, true, at(1, REVISION + 1));
	read_servers(&source, 1, 2, at(2, COPY_REVISION));
	ck_assert(is_domain_out(&source));
	cm_feed_registry_answered(
		&source.feed, source.steer.registry_restored_ms + GRACE_MS - 1);
	ck_assert(is_domain_out(&source));
	cm_feed_registry_answered(&source.feed,
				  source.steer.registry_restored_ms + GRACE_MS);
	ck_assert(!is_domain_out(&source));
}

/* The operator writes the entry again in the new era. The end of the grace
 * period must not put the domain back in service. */
TEST(domain_that_is_taken_out_again_stays_out)
{
	read_servers(&source, 1, 2, at(1, REVISION));
	set_domain_out(&source, true, at(1, REVISION + 1));
	read_servers(&source, 1, 2, at(2, COPY_REVISION));
	set_domain_out(&source, true, at(2, COPY_REVISION + 1));
	cm_feed_registry_answered(&source.feed,
				  source.steer.registry_restored_ms + GRACE_MS);
	ck_assert(is_domain_out(&source));
	set_domain_out(&source, false, at(2, COPY_REVISION + 2));
	ck_assert(!is_domain_out(&source));
}

/* Without a change of era, a removed entry puts the domain back at once. */
TEST(domain_is_back_at_once_without_a_change)
{
	read_servers(&source, 1, 2, at(1, REVISION));
	set_domain_out(&source, true, at(1, REVISION + 1));
	read_servers(&source, 1, 2, at(1, REVISION + 2));
	ck_assert(!is_domain_out(&source));
}

/* A plan in force must not be rolled back to that of the older copy, although
 * its position is later. */
TEST(earlier_plan_of_the_copy_is_ignored_until_a_higher_one)
{
	read_servers(&source, 1, 2, at(1, REVISION));
	put_plan(&source, 8, 9, at(1, REVISION + 1));
	read_servers(&source, 1, 2, at(2, COPY_REVISION));
	put_plan(&source, 7, 5, at(2, COPY_REVISION + 1));
	ck_assert_uint_eq(source.steer.plan.version, 8);
	ck_assert_uint_eq(source.steer.plan.route_count, 9);
	put_plan(&source, 8, 9, at(2, COPY_REVISION + 2));
	put_plan(&source, 9, 10, at(2, COPY_REVISION + 3));
	ck_assert_uint_eq(source.steer.plan.version, 9);
	ck_assert_uint_eq(source.steer.plan.route_count, 10);
}

/* The source started after the change and has the plan of the older copy. The
 * follower must not take its items, or it would pass the reverted plan on. */
TEST(earlier_plan_of_the_source_is_not_passed_on)
{
	read_servers(&follower, 1, 2, at(1, REVISION));
	put_plan(&follower, 8, 9, at(1, REVISION + 1));
	read_servers(&source, 1, 2, at(2, COPY_REVISION));
	put_plan(&source, 7, 5, at(2, COPY_REVISION + 1));
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed),
			  at(2, COPY_REVISION + 1));
	ck_assert_uint_eq(follower.steer.plan.version, 8);

	struct cm_message message = make_answer(&follower, &other);

	ASSERT_OK(apply_answer(&other, 21, &message));
	ck_assert_uint_eq(other.steer.plan.version, 8);
	ck_assert_uint_eq(other.steer.plan.route_count, 9);
	put_plan(&source, 9, 10, at(2, COPY_REVISION + 2));
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.plan.version, 9);
	ck_assert_uint_eq(follower.steer.plan.route_count, 10);
}

/* The source has read a copy from before the first plan. */
TEST(plan_is_kept_when_the_source_has_none)
{
	read_servers(&follower, 1, 2, at(1, REVISION));
	put_plan(&follower, 8, 9, at(1, REVISION + 1));
	read_servers(&source, 1, 2, at(2, COPY_REVISION));
	fetch_all(&source, SOURCE_INCARNATION);
	put_plan(&source, 9, 9, at(2, COPY_REVISION + 1));
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.plan.version, 9);
	ck_assert_uint_eq(follower.steer.plan.route_count, 9);
}

/* The follower's revision number is higher than the source's, but of an earlier
 * era. It gets a full snapshot, and the servers and the failure domain that the
 * snapshot lacks are treated as lost. */
TEST(follower_gets_a_snapshot_of_the_new_era)
{
	struct cm_message message;

	read_servers(&source, 1, 3, at(1, REVISION));
	set_domain_out(&source, true, at(1, REVISION + 1));
	fetch_all(&source, SOURCE_INCARNATION);
	read_servers(&source, 1, 2, at(2, COPY_REVISION));
	message = make_answer(&source, &follower);
	ck_assert(message.items.starts_snapshot);
	ASSERT_OK(apply_answer(&follower, SOURCE_INCARNATION, &message));
	ck_assert_uint_eq(cm_feed_revision(&follower.feed),
			  at(2, COPY_REVISION));
	ck_assert_uint_eq(era_changes(&follower), 1);
	ck_assert_uint_ne(follower.steer.registry_restored_ms, 0);
	ck_assert_int_eq(listing(&follower, 3), CM_LAPSED);
	ck_assert(is_domain_out(&follower));
}

/* Lets the follower apply an answer of the source at @now_ms. */
static void fetch_at(uint64_t now_ms)
{
	const struct cm_endpoint address = { 0x7f000001, 9, 6 };
	struct cm_message message = make_answer(&source, &follower);

	message.items.requested_ms = now_ms;
	ASSERT_OK(cm_feed_apply_answer(&follower.feed, now_ms, &address,
				       SOURCE_INCARNATION, &message.items));
	cm_message_finish(&message);
}

/* A follower gets no answer of the registry. The failure domain must return to
 * service with an answer of the source after the grace period. */
TEST(missing_domain_returns_at_a_follower_after_the_grace_period)
{
	uint64_t end_ms;

	read_servers(&source, 1, 3, at(1, REVISION));
	set_domain_out(&source, true, at(1, REVISION + 1));
	fetch_all(&source, SOURCE_INCARNATION);
	read_servers(&source, 1, 3, at(2, COPY_REVISION));
	fetch_all(&source, SOURCE_INCARNATION);
	end_ms = follower.steer.registry_restored_ms + GRACE_MS;
	fetch_at(end_ms - 1);
	ck_assert(is_domain_out(&follower));
	fetch_at(end_ms);
	ck_assert(!is_domain_out(&follower));
}

/* A change of the new era reaches a follower that has its snapshot. */
TEST(changes_follow_the_snapshot_of_the_new_era)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, false);

	read_servers(&source, 1, 3, at(1, REVISION));
	fetch_all(&source, SOURCE_INCARNATION);
	read_servers(&source, 1, 2, at(2, COPY_REVISION));
	fetch_all(&source, SOURCE_INCARNATION);
	put_server(&sink, 3, at(2, COPY_REVISION + 1));
	sink.complete_up_to(sink.user, at(2, COPY_REVISION + 1));
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_int_eq(listing(&follower, 3), CM_LISTED);
	ck_assert_uint_eq(era_changes(&follower), 1);
}

/* The follower knows the new era, its source does not yet. Nothing of the
 * source's copy may be applied, although its revision numbers are higher. */
TEST(source_of_an_earlier_era_is_behind)
{
	read_servers(&source, 1, 4, at(1, REVISION));
	read_servers(&follower, 1, 2, at(2, COPY_REVISION));
	fetch_part(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.servers.count, 2);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed),
			  at(2, COPY_REVISION));
	read_servers(&source, 1, 3, at(2, COPY_REVISION + 5));
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.servers.count, 3);
}

/* A stale copy requests a snapshot from any source. That of an earlier era must
 * not move the copy back, end its staleness or confirm it as current. */
TEST(snapshot_of_an_earlier_era_is_refused_by_a_stale_copy)
{
	const struct cm_registry_sink sink = cm_feed_sink(&follower.feed, true);
	struct cm_message message;

	read_servers(&source, 1, 4, at(1, REVISION));
	cm_feed_begin_read(&follower.feed, true);
	put_server(&sink, 1, at(2, COPY_REVISION));
	sink.complete_up_to(sink.user, at(2, COPY_REVISION));
	message = make_answer(&source, &follower);
	ck_assert(message.items.starts_snapshot);
	ASSERT_OK(apply_answer(&follower, SOURCE_INCARNATION, &message));
	ck_assert_uint_eq(follower.steer.servers.count, 1);
	ck_assert(follower.feed.is_stale);
	ck_assert(!follower.feed.was_current);
	ck_assert_uint_eq(cm_counters_get(&follower.steer.counters,
					  CM_C_STORE_ERA_REFUSED),
			  1);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed),
			  at(2, COPY_REVISION));
}

/* The sender of a snapshot stops, and the next source is in an earlier era. Its
 * snapshot must not replace the parts that were received. */
TEST(snapshot_of_an_earlier_era_does_not_replace_a_later_one)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, true);
	struct cm_message message;

	read_servers(&other, 1, 3, at(1, REVISION));
	fetch_all(&other, OTHER_INCARNATION);
	cm_feed_begin_read(&source.feed, false);
	for (uint64_t id = 1; id <= SERVER_COUNT; id++)
		put_server(&sink, id, at(2, id));
	sink.complete_up_to(sink.user, at(2, SERVER_COUNT));
	cm_feed_registry_answered(&source.feed, NOW_MS);
	ck_assert(fetch_part(&source, SOURCE_INCARNATION));
	message = make_answer(&other, &follower);
	ck_assert(message.items.starts_snapshot);
	ASSERT_OK(apply_answer(&follower, OTHER_INCARNATION, &message));
	ck_assert_uint_eq(follower.feed.snapshot.sender_incarnation,
			  SOURCE_INCARNATION);
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(follower.steer.servers.count, SERVER_COUNT);
}

/* The source's era changes after the first part of a snapshot. The parts of two
 * eras don't fit together. */
TEST(snapshot_starts_again_when_the_era_of_the_source_changes)
{
	struct cm_message message;

	put_servers(&source, SERVER_COUNT);
	ck_assert(fetch_part(&source, SOURCE_INCARNATION));
	read_servers(&source, 1, 10, at(1, COPY_REVISION));
	message = make_answer(&source, &follower);
	ck_assert(message.items.starts_snapshot);
	ASSERT_OK(apply_answer(&follower, SOURCE_INCARNATION, &message));
	fetch_all(&source, SOURCE_INCARNATION);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed),
			  at(1, COPY_REVISION));
	ck_assert_int_eq(listing(&follower, 10), CM_LISTED);
	ck_assert_int_eq(listing(&follower, 11), CM_LAPSED);
}

/* Items that a read of the new era does not return are kept with positions of
 * the new era: a snapshot of many parts must end, and not start again at a part
 * that ends at an earlier position. */
TEST(snapshot_in_parts_with_kept_items_ends)
{
	put_servers(&source, SERVER_COUNT);
	put_plan(&source, 8, 9, SERVER_COUNT + 1);
	read_servers(&source, 1, SERVER_COUNT, at(1, SERVER_COUNT + 1));
	ck_assert_int_le(fetch_all(&source, SOURCE_INCARNATION), 8);
	ck_assert_uint_eq(follower.steer.plan.version, 8);
	ck_assert_uint_eq(follower.steer.servers.count, SERVER_COUNT);
	for (const struct cm_item *item = TAILQ_FIRST(&source.feed.items.all);
	     item; item = TAILQ_NEXT(item, link))
		ck_assert_uint_eq(cm_position_era(item->revision), 1);
}

/* Incremental changes can't lead from one era to another. */
TEST(changes_across_eras_are_refused)
{
	struct cm_message message;

	read_servers(&source, 1, 3, at(1, REVISION));
	fetch_all(&source, SOURCE_INCARNATION);
	read_servers(&source, 1, 2, at(2, COPY_REVISION));
	message = make_answer(&source, &follower);
	message.items.starts_snapshot = false;
	ck_assert_int_eq(apply_answer(&follower, SOURCE_INCARNATION, &message),
			 CM_E_STALE);
	ck_assert_uint_eq(cm_feed_revision(&follower.feed), at(1, REVISION));
}

static void put_members(struct feed_instance *instance, bool is_full_read,
			const char *first, cm_position revision)
{
	const struct cm_registry_sink sink =
		cm_feed_sink(&instance->feed, is_full_read);
	struct cm_peer_entry entry = { .domain = "a",
				       .control = { 1, 1, 6 },
				       .rank = 3 };
	const struct cm_domain_members members = { "a", &entry, 1 };

	snprintf(entry.name, sizeof(entry.name), "%s", first);
	sink.members(sink.user, &members, revision);
}

static void read_with_members(struct feed_instance *instance, const char *first,
			      cm_position revision)
{
	const struct cm_registry_sink sink =
		cm_feed_sink(&instance->feed, true);

	cm_feed_begin_read(&instance->feed, false);
	if (first)
		put_members(instance, true, first, revision);
	sink.complete_up_to(sink.user, revision);
	cm_feed_registry_answered(&instance->feed, NOW_MS);
}

static bool has_peer(struct feed_instance *instance, const char *name)
{
	return cm_steer_peers_find(&instance->steer.peers, name) != NULL;
}

/* The entry of the copy lists a former member. The instances keep the members
 * that they know, and the first of them replaces the entry. */
TEST(members_entry_of_the_copy_is_replaced)
{
	struct cm_peer_entry entries[CM_ROSTER_MAX];
	uint64_t revision;

	read_servers(&source, 1, 2, at(1, REVISION));
	put_members(&source, false, "a-1", at(1, REVISION + 1));
	read_with_members(&source, "a-7", at(2, COPY_REVISION));
	ck_assert(has_peer(&source, "a-1"));
	ck_assert(!has_peer(&source, "a-7"));
	ck_assert(cm_feed_is_members_writer(&source.feed, NOW_MS));
	ck_assert_uint_eq(cm_feed_take_due_members(&source.feed, NOW_MS, true,
						   entries, &revision),
			  1);
	ck_assert_uint_eq(revision, at(2, COPY_REVISION));
	ck_assert_str_eq(entries[0].name, "a-1");
	put_members(&source, false, "a-1", at(2, COPY_REVISION + 1));
	ck_assert(!source.feed.members_were_lost);
}

/* The copy has no members entry. A write must not expect the revision of the
 * earlier era, as the store would not even get it. */
TEST(missing_members_entry_is_created)
{
	struct cm_peer_entry entries[CM_ROSTER_MAX];
	uint64_t revision;

	read_servers(&source, 1, 2, at(1, REVISION));
	put_members(&source, false, "a-1", at(1, REVISION + 1));
	read_with_members(&source, NULL, at(2, COPY_REVISION));
	ck_assert(has_peer(&source, "a-1"));
	ck_assert(cm_feed_is_members_writer(&source.feed, NOW_MS));
	ck_assert_uint_eq(cm_feed_take_due_members(&source.feed, NOW_MS, true,
						   entries, &revision),
			  1);
	ck_assert_uint_eq(revision, 0);
}

static bool lists(const struct cm_peer_entry *entries, uint32_t count,
		  const char *name)
{
	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(entries[i].name, name))
			return true;
	return false;
}

static const char *const copied_first[] = { "a-7", NULL };

/* The roster has expired during an outage. The entry that is written at once
 * must not remove the other members, whether the copy has an entry or not. */
TEST_TABLE(members_written_after_an_outage_include_the_known_ones, copied_first)
{
	const uint64_t later_ms = cm_clock_ms() + 2 * CM_ROSTER_TIMEOUT_MS;
	struct cm_peer_entry entries[CM_ROSTER_MAX];
	uint64_t revision;
	uint32_t count;

	read_servers(&source, 1, 2, at(1, REVISION));
	put_members(&source, false, "a-2", at(1, REVISION + 1));
	read_with_members(&source, copied_first[_i], at(2, COPY_REVISION));
	count = cm_feed_take_due_members(&source.feed, later_ms, true, entries,
					 &revision);
	ck_assert_uint_eq(count, 2);
	ck_assert(lists(entries, count, "a-1"));
	ck_assert(lists(entries, count, "a-2"));
	put_members(&source, false, "a-1", at(2, COPY_REVISION + 1));
	count = cm_feed_take_due_members(&source.feed,
					 later_ms + 2 * CM_ROSTER_TIMEOUT_MS,
					 true, entries, &revision);
	ck_assert_uint_eq(count, 1);
}

static void put_other_domain(const struct cm_registry_sink *sink,
			     const char *first, const char *second,
			     cm_position revision)
{
	struct cm_peer_entry entries[] = {
		{ .domain = "b", .control = { 2, 1, 6 }, .rank = 1 },
		{ .domain = "b", .control = { 2, 2, 6 }, .rank = 2 },
	};
	const struct cm_domain_members members = { "b", entries,
						   second ? 2 : 1 };

	snprintf(entries[0].name, sizeof(entries[0].name), "%s", first);
	if (second)
		snprintf(entries[1].name, sizeof(entries[1].name), "%s",
			 second);
	sink->members(sink->user, &members, revision);
}

/* The other failure domain has written its entry again before this instance
 * reads. Its new member must not stay unknown until the entry next changes. */
TEST(members_of_another_domain_are_added_from_an_entry_written_again)
{
	const struct cm_registry_sink changes =
		cm_feed_sink(&source.feed, false);
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, true);

	read_servers(&source, 1, 2, at(1, REVISION));
	put_other_domain(&changes, "b-1", NULL, at(1, REVISION + 1));
	cm_feed_begin_read(&source.feed, false);
	put_other_domain(&sink, "b-2", "b-3", at(2, COPY_REVISION));
	sink.complete_up_to(sink.user, at(2, COPY_REVISION));
	ck_assert(has_peer(&source, "b-1"));
	ck_assert(has_peer(&source, "b-2"));
	ck_assert(has_peer(&source, "b-3"));
	put_other_domain(&changes, "b-3", NULL, at(2, COPY_REVISION + 1));
	ck_assert(!has_peer(&source, "b-1"));
	ck_assert(!has_peer(&source, "b-2"));
	ck_assert(has_peer(&source, "b-3"));
}

/* The copy lacks the entry of another domain, whose members are alive. */
TEST(members_of_another_domain_are_kept_without_their_entry)
{
	const struct cm_registry_sink changes =
		cm_feed_sink(&source.feed, false);

	read_servers(&source, 1, 2, at(1, REVISION));
	put_other_domain(&changes, "b-1", "b-2", at(1, REVISION + 1));
	read_servers(&source, 1, 2, at(2, COPY_REVISION));
	ck_assert(has_peer(&source, "b-1"));
	ck_assert(has_peer(&source, "b-2"));
	read_servers(&source, 1, 2, at(2, COPY_REVISION + 1));
	ck_assert(!has_peer(&source, "b-1"));
}
