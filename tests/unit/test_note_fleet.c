#include "unit/suites.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"
#include "config/note_json.h"
#include "fake/fleet.h"

/* Maximum time from the acceptance of a note until it is in force on all
 * instances, ms. */
#define IN_FORCE_MS 7000
/* Time for the instances to settle after the first note, ms. */
#define SETTLE_MS 20000
#define SERVERS 4
#define HOUR_MS 3600000
/* Interval between notes at 4,700 notes a day, ms. */
#define NOTE_INTERVAL_MS 18383

static struct fake_fleet fleet;

static void teardown(void)
{
	if (fleet.group.count)
		fake_fleet_finish(&fleet);
	fleet.group.count = 0;
}

static uint64_t publish_change(uint32_t number)
{
	struct cm_note note;

	fake_note_change_slots(&note, number % SERVERS, 1 + number % 100);
	return fake_fleet_publish(&fleet, &note, number + 1);
}

static void assert_in_force(uint64_t version)
{
	ck_assert(fake_fleet_run_until(&fleet, version, IN_FORCE_MS));
}

/* Starts a new fleet, waits until the first note is in force on all instances,
 * and then for SETTLE_MS. */
static void start_fleet(uint32_t count)
{
	struct cm_note note;

	teardown();
	fake_fleet_init(&fleet, count, 3);
	fake_note_init_servers(&note, SERVERS);
	assert_in_force(fake_fleet_publish(&fleet, &note, 1));
	fake_fleet_run(&fleet, SETTLE_MS);
}

static uint32_t count_with_version(uint64_t version)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < fleet.group.count; i++)
		count += cm_node_version(&fleet.members[i].node) >= version;
	return count;
}

UNIT_CASE("note fleet", "in force", NULL, teardown, 0);

TEST(in_force_with_a_healthy_store)
{
	start_fleet(27);
	assert_in_force(publish_change(1));
}

TEST(in_force_with_a_slow_store)
{
	start_fleet(9);
	fleet.store_call_ms = 300;
	assert_in_force(publish_change(1));
}

/*
 * The store goes down when only some instances have read the newest note. These
 * must send it to the others.
 */
TEST(peers_pass_on_a_note_when_the_store_goes_down)
{
	uint64_t version;

	start_fleet(27);
	version = publish_change(1);
	while (!count_with_version(version))
		fake_fleet_run(&fleet, FAKE_FLEET_STEP_MS);
	ck_assert_uint_lt(count_with_version(version), fleet.group.count);
	fleet.store_down = true;
	assert_in_force(version);
}

TEST(in_force_after_an_outage)
{
	start_fleet(9);
	fleet.store_down = true;
	fake_fleet_run(&fleet, HOUR_MS / 60);
	fleet.store_down = false;
	assert_in_force(publish_change(1));
}

TEST(in_force_after_a_partition_heals)
{
	uint64_t version;

	start_fleet(9);
	fleet.isolated_domain = 2;
	version = publish_change(1);
	fake_fleet_run(&fleet, HOUR_MS / 60);
	ck_assert_uint_eq(count_with_version(version), 6);
	version = publish_change(2);
	fleet.isolated_domain = -1;
	assert_in_force(version);
}

/*
 * While the store is down, all instances are replaced one after the other. Each
 * new instance must get the notes from its peers; otherwise no instance has
 * them after the last replacement. _i is the number of notes published after
 * the first one.
 */
TEST_LOOP(new_instances_get_notes_from_peers, 1, 4)
{
	uint64_t version = 0;

	start_fleet(9);
	for (uint32_t i = 1; i <= (uint32_t)_i; i++)
		version = publish_change(i);
	assert_in_force(version);
	fleet.store_down = true;
	for (uint32_t i = 0; i < fleet.group.count; i++) {
		fake_fleet_stop(&fleet, i);
		fake_fleet_run(&fleet, 1000);
		fake_fleet_start(&fleet, i);
		assert_in_force(version);
	}
	fleet.store_down = false;
	assert_in_force(publish_change(99));
}

TEST(all_start_at_once)
{
	uint64_t version;

	start_fleet(9);
	version = publish_change(1);
	for (uint32_t i = 0; i < fleet.group.count; i++) {
		fake_fleet_stop(&fleet, i);
		fake_fleet_start(&fleet, i);
	}
	assert_in_force(version);
}

/* Delivers a note with @version and @id to instance @to, as from a peer. */
static void send_note(uint32_t to, uint64_t version, uint64_t id)
{
	struct cm_message message, answer;
	struct cm_note note;
	char *text;

	fake_note_change_slots(&note, 0, 77);
	fake_note_set_id(&note, id);
	note.version = version;
	note.published_at_s = 2000;
	text = cm_note_write_published(&note);
	cm_message_init(&message, CM_MESSAGE_NOTES);
	message.notes.version = version;
	ASSERT_OK(cm_message_notes_reserve(&message.notes, 1));
	ASSERT_OK(cm_message_note_set(&message.notes.items[0], text,
				      strlen(text)));
	ck_assert(!cm_note_feed_receive(&fleet.members[to].follower.feed,
					fleet.group.now_ms, &message, &answer));
	cm_message_finish(&message);
	cm_note_finish(&note);
	free(text);
}

/*
 * Notes from a peer: version, the number given to fake_note_set_id(), version
 * in force afterwards, and the counter that is incremented. Before a note
 * arrives, version 2 is in force and the head of the store has version 3 and id
 * 4.
 */
static const struct {
	uint64_t version;
	uint64_t id;
	uint64_t in_force;
	enum cm_counter counter;
} sent_notes[] = {
	{ 3, 4, 3, CM_C_NOTES_FROM_PEERS },
	{ 3, 99, 2, CM_C_REFUSED_NOTE_CONTRADICTION },
	{ 2, 99, 2, CM_C_REFUSED_NOTE_CONTRADICTION },
	{ 2, 2, 2, CM_C_REFUSED_NOTE_STALE },
	{ 1, 1, 2, CM_C_REFUSED_NOTE_STALE },
	{ 4, 5, 2, CM_C_REFUSED_NOTE_GAP },
};

TEST_TABLE(note_of_a_peer_is_checked, sent_notes)
{
	struct fake_fleet_member *member = &fleet.members[0];
	struct cm_counters *counters = &member->node.counters;
	enum cm_counter counter = sent_notes[_i].counter;
	uint8_t id[CM_PUBLICATION_ID_SIZE] = { 4 };
	uint64_t before;

	start_fleet(3);
	assert_in_force(publish_change(1));
	ASSERT_OK(cm_note_follower_set_store_version(
		&member->follower.feed.follower, 3, id));
	before = cm_counters_get(counters, counter);
	send_note(0, sent_notes[_i].version, sent_notes[_i].id);
	ck_assert_uint_eq(cm_node_version(&member->node),
			  sent_notes[_i].in_force);
	ck_assert_uint_eq(cm_counters_get(counters, counter), before + 1);
}

/*
 * The head of the store has another publication id for the version in force. No
 * later note may be applied after that.
 */
TEST(no_note_is_applied_after_a_contradicting_head)
{
	struct fake_fleet_member *member = &fleet.members[0];
	uint8_t other[CM_PUBLICATION_ID_SIZE] = { 99 };

	start_fleet(3);
	ck_assert_int_eq(cm_note_follower_set_store_version(
				 &member->follower.feed.follower, 1, other),
			 CM_E_CONTRADICTION);
	send_note(0, 2, 5);
	ck_assert_uint_eq(cm_node_version(&member->node), 1);
}

/* Measures calls to the store per instance and second over one hour. */
static double store_calls_per_instance_per_s(uint32_t count)
{
	uint32_t number = 1;
	uint64_t before, start_ms;
	double calls;

	start_fleet(count);
	before = fake_fleet_calls(&fleet);
	start_ms = fleet.group.now_ms;
	while (fleet.group.now_ms < start_ms + HOUR_MS) {
		publish_change(number++);
		fake_fleet_run(&fleet, NOTE_INTERVAL_MS);
	}
	calls = (double)(fake_fleet_calls(&fleet) - before);
	calls /= fleet.group.count;
	return calls / ((double)(fleet.group.now_ms - start_ms) / 1000);
}

TEST(store_calls_grow_more_slowly_than_the_fleet)
{
	double few = store_calls_per_instance_per_s(3);
	double some = store_calls_per_instance_per_s(9);
	double many = store_calls_per_instance_per_s(27);

	ck_assert_double_lt(some, few);
	ck_assert_double_lt(many, some);
	printf("store_calls_per_instance_s 3=%.3f 9=%.3f 27=%.3f\n", few, some,
	       many);
}
