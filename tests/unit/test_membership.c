#include "unit/suites.h"

#include <stdlib.h>

#include "fake/group.h"

/** Time after a change within which a group has settled, ms. */
#define SETTLE_MS 5000
/** Time within which the events of a simultaneous start have spread, ms. */
#define START_SPREAD_MS 60000
/** Time limit for instances to vote that another is dead and for the result to
 * spread to all, ms. */
#define DETECTION_MAX_MS (CM_DEAD_MS + 1000)

static struct fake_group group;

static void start_group(uint32_t count, uint32_t domains)
{
	fake_group_init(&group, count, domains);
	fake_group_run(&group, SETTLE_MS);
}

static void teardown(void)
{
	fake_group_finish(&group);
}

static void assert_state(uint32_t subject, uint32_t observer,
			 enum cm_member_state state)
{
	enum cm_member_state seen = fake_group_state(&group, subject, observer);

	ck_assert_msg(seen == state,
		      "instance %u sees instance %u in state %u, not %u",
		      observer, subject, seen, state);
}

/* Asserts that all other running instances see @subject in @state. */
static void assert_state_everywhere(uint32_t subject,
				    enum cm_member_state state)
{
	for (uint32_t i = 0; i < group.count; i++)
		if (i != subject && group.members[i].is_running)
			assert_state(subject, i, state);
}

static void assert_all_admit(void)
{
	for (uint32_t i = 0; i < group.count; i++)
		ck_assert_msg(fake_group_admits(&group, i),
			      "instance %u may not admit flows", i);
}

static void assert_all_alive_and_admit(void)
{
	for (uint32_t i = 0; i < group.count; i++)
		assert_state_everywhere(i, CM_MEMBER_ALIVE);
	assert_all_admit();
}

static void assert_recovers(void)
{
	fake_group_run(&group, SETTLE_MS);
	assert_all_alive_and_admit();
}

static void restart(uint32_t index)
{
	fake_group_kill(&group, index);
	fake_group_start(&group, index);
}

/* Instance i starts with incarnation i + 1, as fake_group_init() starts the
 * instances in turn. */
static uint64_t incarnation_of(uint32_t index)
{
	return group.members[index].membership.records[0].member.incarnation;
}

UNIT_CASE("membership", "faults", NULL, teardown, 0);

TEST_LOOP(all_instances_discover_each_other, 0, 6)
{
	static const uint32_t counts[] = { 1, 2, 3, 9, 27, 60 };

	start_group(counts[_i], 3);
	assert_all_alive_and_admit();
}

/* The loss of two of its messages must not get an instance declared dead. */
TEST(lost_messages_are_not_a_death)
{
	start_group(9, 3);
	for (uint32_t i = 0; i < group.count; i++) {
		group.members[i].drop_next = 2;
		fake_group_run(&group, CM_HEARTBEAT_MS);
		assert_all_alive_and_admit();
	}
	assert_recovers();
}

TEST(killed_instance_is_dead_everywhere)
{
	start_group(9, 3);
	fake_group_kill(&group, 4);
	fake_group_run(&group, CM_DEAD_MS - CM_CROSS_DOMAIN_HEARTBEAT_MS);
	assert_state_everywhere(4, CM_MEMBER_ALIVE);
	fake_group_run(&group, DETECTION_MAX_MS);
	assert_state_everywhere(4, CM_MEMBER_DEAD);
}

/*
 * Instance 0 receives nothing from instance 3. The vote of instance 0 alone
 * must not be enough to declare instance 3 dead.
 */
TEST(one_way_loss_is_not_a_death)
{
	start_group(9, 3);
	group.members[0].blocked_sender = 3;
	for (int i = 0; i < 100; i++) {
		fake_group_run(&group, 100);
		assert_state_everywhere(3, CM_MEMBER_ALIVE);
		ck_assert(fake_group_admits(&group, 3));
		ck_assert(fake_group_admits(&group, 0));
	}
}

/*
 * A process that was paused until the others declared it dead must not admit
 * flows by its old leases. It may admit flows again after it has refuted its
 * death with a new incarnation.
 */
TEST(resumed_instance_may_not_admit)
{
	start_group(9, 3);
	group.members[4].is_frozen = true;
	fake_group_run(&group, SETTLE_MS);
	assert_state_everywhere(4, CM_MEMBER_DEAD);
	group.members[4].is_frozen = false;
	ck_assert(!fake_group_admits(&group, 4));
	ck_assert_uint_lt(
		cm_membership_handle_until_ms(&group.members[4].membership),
		group.now_ms);
	fake_group_run(&group, FAKE_TICK_MS);
	ck_assert_uint_eq(
		cm_membership_handle_until_ms(&group.members[4].membership), 0);
	ck_assert(!fake_group_admits(&group, 4));
	assert_recovers();
	ck_assert_uint_eq(incarnation_of(4), 6);
}

/*
 * A process that missed a release note while it was paused would handle packets
 * by an old catalog. After the pause it must handle no packets until the note
 * is in force or CM_CATCH_UP_MS has passed.
 */
TEST(resumed_instance_waits_for_the_newest_note)
{
	uint8_t id[CM_PUBLICATION_ID_SIZE] = { 1 };
	struct cm_membership *resumed;

	start_group(9, 3);
	resumed = &group.members[4].membership;
	group.members[4].is_frozen = true;
	for (uint32_t i = 0; i < group.count; i++)
		if (i != 4)
			cm_membership_set_note(&group.members[i].membership, 7,
					       id);
	fake_group_run(&group, SETTLE_MS);
	group.members[4].is_frozen = false;
	fake_group_run(&group, CM_CATCH_UP_MS / 2);
	ck_assert_uint_eq(cm_membership_handle_until_ms(resumed), 0);
	ck_assert_uint_eq(resumed->newest_note.version, 7);
	cm_membership_set_note(resumed, 7, id);
	fake_group_run(&group, FAKE_TICK_MS);
	ck_assert_uint_gt(cm_membership_handle_until_ms(resumed), group.now_ms);
}

TEST(restart_is_a_new_incarnation)
{
	start_group(9, 3);
	restart(4);
	fake_group_run(&group, CM_JOIN_MS / 2);
	ck_assert(!fake_group_admits(&group, 4));
	assert_state_everywhere(4, CM_MEMBER_ALIVE);
	assert_recovers();
}

/*
 * An instance derives its incarnation from its clock. If the clock is behind
 * after a restart, the incarnation is lower than that of the former process,
 * and the others would ignore it. The instance must then take a higher one.
 */
TEST(restart_with_a_clock_behind_gets_a_higher_incarnation)
{
	start_group(9, 3);
	fake_group_kill(&group, 4);
	group.incarnation = 1;
	fake_group_start(&group, 4);
	assert_recovers();
	ck_assert_uint_gt(incarnation_of(4), 5);
}

/*
 * Instances 0 to 6 restart with a list from the platform that still contains
 * instance 7, which is dead, and lacks instance 8, which is alive. They must
 * detect the state of both.
 */
TEST(stale_instance_list_is_corrected)
{
	fake_group_init(&group, 9, 3);
	group.members[8].is_listed = false;
	fake_group_kill(&group, 7);
	for (uint32_t i = 0; i < 7; i++)
		restart(i);
	fake_group_run(&group, SETTLE_MS);
	assert_state_everywhere(7, CM_MEMBER_DEAD);
	assert_state_everywhere(8, CM_MEMBER_ALIVE);
	ck_assert(fake_group_admits(&group, 8));
}

static void cut_domain(uint32_t domain, uint32_t partition)
{
	for (uint32_t i = domain; i < group.count; i += group.domains)
		group.members[i].partition = partition;
}

/*
 * Both sides of a partition between failure domains must keep admitting flows.
 * Each must see the instances of the other side as UNREACHABLE, not DEAD.
 */
TEST(partitioned_domain_keeps_admitting)
{
	start_group(9, 3);
	cut_domain(1, 1);
	for (int i = 0; i < 150; i++) {
		fake_group_run(&group, 100);
		assert_all_admit();
	}
	for (uint32_t subject = 1; subject < group.count;
	     subject += group.domains) {
		assert_state(subject, 0, CM_MEMBER_UNREACHABLE);
		assert_state(0, subject, CM_MEMBER_UNREACHABLE);
		assert_state(4, subject, CM_MEMBER_ALIVE);
	}
	cut_domain(1, 0);
	for (int i = 0; i < 50; i++) {
		fake_group_run(&group, 100);
		assert_all_admit();
	}
	assert_all_alive_and_admit();
}

/*
 * A third of 100 instances change state at once. The events must reach all
 * instances within the time limit, although a heartbeat carries few events.
 */
TEST(large_partitioned_domain_is_seen_by_all)
{
	start_group(100, 3);
	fake_group_run(&group, START_SPREAD_MS);
	cut_domain(1, 1);
	fake_group_run(&group, CM_CROSS_DOMAIN_PARTIAL_QUORUM_MS);
	for (uint32_t subject = 1; subject < group.count;
	     subject += group.domains)
		for (uint32_t observer = 0; observer < group.count;
		     observer += group.domains)
			assert_state(subject, observer, CM_MEMBER_UNREACHABLE);
}

/* Each instance may send at most 2 KB/s, whatever the size of the group. */
TEST_LOOP(control_bytes_are_bounded, 0, 4)
{
	static const uint32_t counts[] = { 3, 9, 27, 100 };
	const uint64_t bytes_per_s_max = 2000;
	const uint64_t window_s = 10;

	start_group(counts[_i], 3);
	fake_group_run(&group, START_SPREAD_MS);
	for (uint32_t i = 0; i < group.count; i++)
		group.members[i].sent_bytes = 0;
	fake_group_run(&group, window_s * 1000);
	for (uint32_t i = 0; i < group.count; i++)
		ck_assert_uint_le(group.members[i].sent_bytes,
				  bytes_per_s_max * window_s);
}

/*
 * Instances 1, 4 and 7 form a failure domain. When 4 and 7 are dead, instance 1
 * has no quorum. It must still admit flows once CM_PARTIAL_QUORUM_MS have
 * passed.
 */
TEST(third_instance_admits_after_two_deaths)
{
	start_group(9, 3);
	fake_group_kill(&group, 4);
	fake_group_kill(&group, 7);
	fake_group_run(&group, CM_PARTIAL_QUORUM_MS + 1000);
	assert_state_everywhere(4, CM_MEMBER_DEAD);
	assert_state_everywhere(7, CM_MEMBER_DEAD);
	ck_assert(fake_group_admits(&group, 1));
}

TEST(stopped_instance_is_leaving_then_dead)
{
	struct cm_outbox outbox;
	struct cm_message answer;

	start_group(9, 3);
	cm_membership_leave(&group.members[4].membership);
	fake_group_run(&group, CM_CROSS_DOMAIN_HEARTBEAT_MS);
	assert_state_everywhere(4, CM_MEMBER_LEAVING);
	cm_outbox_init(&outbox);
	cm_membership_stop(&group.members[4].membership, group.now_ms, &outbox);
	for (size_t i = 0; i < outbox.count; i++) {
		uint32_t to = outbox.items[i].to.address - 0x0a000001;

		if (cm_membership_receive(&group.members[to].membership,
					  group.now_ms,
					  &outbox.items[i].message, &answer))
			cm_message_finish(&answer);
	}
	cm_outbox_finish(&outbox);
	fake_group_kill(&group, 4);
	fake_group_run(&group, CM_CROSS_DOMAIN_HEARTBEAT_MS);
	assert_state_everywhere(4, CM_MEMBER_DEAD);
}

static bool is_dead_in_any_view(uint32_t subject)
{
	for (uint32_t i = 0; i < group.count; i++)
		if (i != subject &&
		    fake_group_state(&group, subject, i) == CM_MEMBER_DEAD)
			return true;
	return false;
}

/*
 * Once instance 1 is dead in the view of another instance, the other instance
 * may become home of the servers of instance 1. From then on instance 1 must
 * not admit flows, or both would admit flows to the same servers.
 */
TEST_LOOP(admission_ends_before_death_is_seen, 3, 8)
{
	bool is_seen_dead = false;

	start_group(_i, 1);
	group.members[1].partition = 1;
	for (int ms = 0; ms < CM_PARTIAL_QUORUM_MS - CM_HEARTBEAT_MS; ms++) {
		fake_group_run(&group, 1);
		is_seen_dead = is_seen_dead || is_dead_in_any_view(1);
		ck_assert(!is_seen_dead || !fake_group_admits(&group, 1));
	}
	ck_assert(is_seen_dead);
}

TEST(dead_instances_are_removed)
{
	start_group(9, 3);
	fake_group_kill(&group, 4);
	for (uint32_t i = 0; i < group.count; i++)
		if (i != 4)
			cm_membership_add_listed(&group.members[i].membership,
						 group.now_ms, NULL, 0);
	fake_group_run(&group, CM_DEAD_RETENTION_MS + DETECTION_MAX_MS);
	for (uint32_t i = 0; i < group.count; i++)
		if (i != 4)
			ck_assert_uint_eq(group.members[i].membership.count, 8);
	fake_group_start(&group, 4);
	assert_recovers();
}
