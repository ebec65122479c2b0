#include "unit/suites.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/message_msgpack.h"
#include "chervilmast/error.h"
#include "chervilmast/steer_load.h"
#include "daemon/feed_loads.h"
#include "unit/feed_instances.h"

#define SERVERS 10
/** Interval of requests with three instances, ms. */
#define REQUEST_MS 210

static const struct cm_endpoint source_control = { 0x7f000001, 9, IPPROTO_TCP };
static const struct cm_endpoint other_control = { 0x7f000003, 9, IPPROTO_TCP };
static uint64_t now_ms;

static void add_peers(struct feed_instance *instance)
{
	static const char *const names[] = { "a-1", "a-2", "a-3" };

	for (uint64_t i = 0; i < 3; i++) {
		struct cm_peer_entry entry = { .domain = "a", .rank = i };

		snprintf(entry.name, sizeof(entry.name), "%s", names[i]);
		ASSERT_OK(cm_steer_put_peer(&instance->steer, &entry));
	}
}

static void setup(void)
{
	struct feed_instance *const all[] = { &source, &follower, &other };

	feed_instances_setup();
	now_ms = NOW_MS;
	for (int i = 0; i < 3; i++) {
		put_servers(all[i], SERVERS);
		add_peers(all[i]);
		all[i]->feed.request_address = source_control;
	}
}

UNIT_CASE("feed", "loads", setup, feed_instances_teardown, UNIT_TIMEOUT_S);

static struct cm_steer_server *server_at(struct feed_instance *instance,
					 uint64_t id)
{
	return cm_steer_servers_find_by_id(&instance->steer.servers, id);
}

/* Encodes and decodes a message, as between two processes. */
static void transfer(struct cm_message *message)
{
	struct cm_message copy;
	char *bytes;
	size_t size;

	message->sender_data_address = source_control;
	message->sender_control_address = source_control;
	ASSERT_OK(cm_message_write(message, &bytes, &size));
	ASSERT_OK(cm_message_read(&copy, bytes, size));
	cm_message_finish(message);
	*message = copy;
	free(bytes);
}

/* One request of @to and the answer of @from, REQUEST_MS after the last. */
static void exchange(struct feed_instance *from, uint64_t incarnation,
		     const struct cm_endpoint *address,
		     struct feed_instance *to)
{
	struct cm_message request, answer;

	now_ms += REQUEST_MS;
	cm_message_init(&request, CM_MESSAGE_ITEMS_REQUEST);
	cm_feed_make_request(&to->feed, now_ms, &request.items_request);
	transfer(&request);
	cm_message_init(&answer, CM_MESSAGE_ITEMS);
	ASSERT_OK(cm_feed_make_answer(&from->feed, now_ms, &to->feed.self,
				      &request.items_request, &answer.items));
	transfer(&answer);
	cm_feed_apply_answer(&to->feed, now_ms, address, incarnation,
			     &answer.items);
	cm_message_finish(&request);
	cm_message_finish(&answer);
}

static void exchange_all(int rounds)
{
	for (int i = 0; i < rounds; i++) {
		exchange(&source, SOURCE_INCARNATION, &source_control,
			 &follower);
		exchange(&source, SOURCE_INCARNATION, &source_control, &other);
	}
}

/* Guards against sums that contain an instance's own load, lack that of the
 * source, or keep a load that has ended. */
TEST(instances_learn_the_sums_of_the_others)
{
	server_at(&source, 1)->load.own = 100;
	server_at(&follower, 1)->load.own = 300;
	server_at(&other, 1)->load.own = 20;
	exchange_all(5);
	ck_assert_uint_eq(server_at(&follower, 1)->load.others, 120);
	ck_assert_uint_eq(server_at(&other, 1)->load.others, 400);
	ck_assert_uint_eq(server_at(&source, 1)->load.others, 320);
	ck_assert(
		cm_server_load_is_known(&server_at(&source, 1)->load, now_ms));
	server_at(&follower, 1)->load.own = 0;
	exchange_all(5);
	ck_assert_uint_eq(server_at(&other, 1)->load.others, 100);
}

/* Sums of 3 s ago must not decide placements. Both transitions are counted. */
TEST(old_sums_are_not_known)
{
	struct cm_steer_server *server = server_at(&follower, 1);

	server_at(&other, 1)->load.own = 20;
	exchange_all(5);
	ck_assert(cm_server_load_is_known(&server->load, now_ms));
	ck_assert(!cm_server_load_is_known(&server->load, now_ms + 3000));
	cm_steer_tick(&follower.steer, now_ms);
	ck_assert_uint_eq(cm_counters_get(&follower.steer.counters,
					  CM_C_STEER_LOADS_KNOWN),
			  1);
	cm_steer_tick(&follower.steer, now_ms + 3000);
	ck_assert_uint_eq(cm_counters_get(&follower.steer.counters,
					  CM_C_STEER_LOADS_UNKNOWN),
			  1);
}

/* The source dies, and the other instance becomes the source. It has no loads
 * at first and must not send sums that lack those of the follower. */
TEST(new_source_gets_all_loads_again)
{
	struct cm_steer_server *server = server_at(&follower, 1);

	server_at(&follower, 1)->load.own = 300;
	server_at(&other, 1)->load.own = 20;
	exchange_all(5);
	cm_steer_remove_peer(&other.steer, "a-1");
	cm_steer_remove_peer(&follower.steer, "a-1");
	follower.feed.request_address = other_control;
	now_ms += 3000;
	exchange(&other, OTHER_INCARNATION, &other_control, &follower);
	ck_assert(!cm_server_load_is_known(&server->load, now_ms));
	for (int i = 0; i < 5; i++)
		exchange(&other, OTHER_INCARNATION, &other_control, &follower);
	ck_assert(cm_server_load_is_known(&server->load, now_ms));
	ck_assert_uint_eq(server->load.others, 20);
	ck_assert_uint_eq(server_at(&other, 1)->load.others, 300);
}

/* In a partition there are two sources, each with requests of one instance out
 * of many. */
TEST(source_of_a_small_part_sends_no_sums)
{
	for (uint64_t i = 0; i < 20; i++) {
		struct cm_peer_entry entry = { .domain = "a", .rank = 10 + i };

		snprintf(entry.name, sizeof(entry.name), "a-x%d", (int)i);
		ASSERT_OK(cm_steer_put_peer(&source.steer, &entry));
	}
	server_at(&other, 1)->load.own = 20;
	exchange_all(5);
	ck_assert(!cm_server_load_is_known(&server_at(&follower, 1)->load,
					   now_ms));
}

/* An instance is removed from the members; its loads must not count for another
 * 5 s. */
TEST(loads_of_a_removed_member_are_removed)
{
	const struct cm_registry_sink sink = cm_feed_sink(&source.feed, false);
	struct cm_peer_entry entries[3] = {
		{ .domain = "a", .name = "a-1", .control = { 1, 1, 6 } },
		{ .domain = "a", .name = "a-2", .control = { 1, 2, 6 } },
		{ .domain = "a", .name = "a-3", .control = { 1, 3, 6 } },
	};
	struct cm_domain_members members = { "a", entries, 3 };

	sink.members(sink.user, &members, SERVERS + 1);
	server_at(&other, 1)->load.own = 20;
	exchange_all(5);
	ck_assert_uint_eq(source.feed.loads.instance_count, 3);
	members.count = 2;
	sink.members(sink.user, &members, SERVERS + 2);
	ck_assert_uint_eq(source.feed.loads.instance_count, 2);
}

/* An instance of the previous version refuses a message with surplus elements.
 * Neither side may send one before the other has shown that it reads them. */
TEST(previous_version_gets_no_optional_fields)
{
	struct cm_message_items_request request = { .after_revision = 0 };
	struct cm_message_items answer = { .count = 0 };

	cm_feed_make_request(&follower.feed, now_ms, &request);
	ck_assert(!request.has_optional);
	ck_assert(request.reads_optional);
	request.reads_optional = false;
	ASSERT_OK(cm_feed_make_answer(&source.feed, now_ms, &follower.feed.self,
				      &request, &answer));
	ck_assert(!answer.has_optional);
	ck_assert_uint_eq(answer.loads.count, 0);
	cm_feed_apply_answer(&follower.feed, now_ms, &source_control,
			     SOURCE_INCARNATION, &answer);
	memset(&request, 0, sizeof(request));
	cm_feed_make_request(&follower.feed, now_ms, &request);
	ck_assert(!request.has_optional);
	for (uint32_t i = 0; i < answer.count; i++) {
		free(answer.items[i].key);
		free(answer.items[i].value);
	}
	free(answer.items);
}

/* The token 0 that marks a sender is invalid; the previous version must not
 * take it for a server. */
TEST(mark_of_a_sender_is_no_suspect)
{
	struct cm_suspect_list list = { .items = { { 0 } } };
	const uint32_t mark = 0;
	uint32_t tokens[CM_SUSPECT_LIST_MAX];

	cm_suspect_list_add(&list, now_ms, &mark, 1);
	ck_assert_uint_eq(cm_suspect_list_read(&list, now_ms, tokens), 0);
}

/* A message with fields of a later version must not be refused. */
TEST(unknown_optional_field_is_ignored)
{
	static const char frame[] =
		"\x96\x09\xcf\x00\x7f\x00\x00\x01\x17\xc1\x11\x07\xa1\x61\x01"
		"\x98\xa1\x61\x01\x00\x05\x91\x00\x90\x90"
		"\x82\x7f\xa1\x61\x01\x94\x05\x01\x07\x09";
	struct cm_message message;

	ASSERT_OK(cm_message_read(&message, frame, sizeof(frame) - 1));
	ck_assert(message.items_request.reads_optional);
	ck_assert(message.items_request.has_optional);
	ck_assert_uint_eq(message.items_request.suspects.count, 0);
	ck_assert_uint_eq(message.items_request.loads_epoch, 5);
	ck_assert(message.items_request.loads_complete);
	ck_assert_uint_eq(message.items_request.loads.count, 1);
	ck_assert_uint_eq(message.items_request.loads.tokens[0], 7);
	ck_assert_uint_eq(message.items_request.loads.loads[0], 9);
	cm_message_finish(&message);
}

/* Malformed optional fields, and the expected error. */
static const struct {
	const char *bytes;
	size_t size;
	int error;
} bad_fields[] = {
	UNIT_BYTES("\x90", CM_E_WRONG_TYPE),
	UNIT_BYTES("\x81\x01\x05", CM_E_WRONG_TYPE),
	UNIT_BYTES("\x81\x01\x90", CM_E_TRUNCATED),
	UNIT_BYTES("\x81\x01\x93\x05\x01\x07", CM_E_TRUNCATED),
	UNIT_BYTES("\x81\x01\x94\x05\x02\x07\x09", CM_E_OUT_OF_RANGE),
	UNIT_BYTES("\x81\x01\x94\x05\x01\x07\xa1\x61", CM_E_WRONG_TYPE),
	UNIT_BYTES("\x81\x01\xdc\x01\x00", CM_E_TRUNCATED),
};

TEST_TABLE(bad_optional_field_is_refused, bad_fields)
{
	static const char head[] =
		"\x96\x09\xcf\x00\x7f\x00\x00\x01\x17\xc1\x11\x07\xa1\x61\x01"
		"\x98\xa1\x61\x01\x00\x05\x91\x00\x90\x90";
	char frame[128];
	struct cm_message message;

	memcpy(frame, head, sizeof(head) - 1);
	memcpy(frame + sizeof(head) - 1, bad_fields[_i].bytes,
	       bad_fields[_i].size);
	ck_assert_int_eq(
		cm_message_read(&message, frame,
				sizeof(head) - 1 + bad_fields[_i].size),
		bad_fields[_i].error);
}

#define FLEET_ROUNDS 40

/* Sizes of failure domains: instances, servers in the whole deployment. The
 * last is a third of 840 instances. */
static const struct {
	uint32_t instances;
	uint32_t servers;
} fleets[] = { { 17, 150 }, { 44, 150 }, { 280, 900 } };

/* Encoded size of a message in bytes. */
static size_t encoded_size(struct cm_message *message)
{
	char *bytes;
	size_t size;

	message->sender_data_address = source_control;
	message->sender_control_address = source_control;
	strcpy(message->sender_domain, "domain-a");
	message->sender_incarnation = UINT64_MAX / 3;
	ASSERT_OK(cm_message_write(message, &bytes, &size));
	free(bytes);
	return size;
}

/* The load of every server changes in each round. */
static void change_loads(uint32_t servers, int round)
{
	for (uint64_t id = 1; id <= servers; id++) {
		uint32_t load = (uint32_t)(300 + round % 2 * 300 + id);

		server_at(&other, id)->load.own = load;
		server_at(&follower, id)->load.own = load;
	}
}

/*
 * The traffic of an instance stays under 2 KB/s, both directions together, with
 * the load of every server changed in each round.
 */
TEST_TABLE(traffic_of_an_instance_is_bounded, fleets)
{
	uint32_t request_ms = 180 + 10 * fleets[_i].instances;
	size_t bytes = 0;

	put_servers(&source, fleets[_i].servers);
	put_servers(&follower, fleets[_i].servers);
	put_servers(&other, fleets[_i].servers);
	for (int round = 0; round < FLEET_ROUNDS; round++) {
		struct cm_message request, answer;

		now_ms += request_ms - REQUEST_MS;
		change_loads(fleets[_i].servers, round);
		exchange(&source, SOURCE_INCARNATION, &source_control, &other);
		cm_message_init(&request, CM_MESSAGE_ITEMS_REQUEST);
		cm_feed_make_request(&follower.feed, now_ms,
				     &request.items_request);
		bytes += encoded_size(&request);
		cm_message_init(&answer, CM_MESSAGE_ITEMS);
		ASSERT_OK(cm_feed_make_answer(
			&source.feed, now_ms, &follower.feed.self,
			&request.items_request, &answer.items));
		if (round)
			bytes += encoded_size(&answer);
		cm_feed_apply_answer(&follower.feed, now_ms, &source_control,
				     SOURCE_INCARNATION, &answer.items);
		cm_message_finish(&answer);
	}
	bytes = bytes * 1000 / (FLEET_ROUNDS * request_ms);
	printf("load exchange: %u instances, %u servers: %zu bytes/s\n",
	       fleets[_i].instances, fleets[_i].servers, bytes);
	ck_assert_uint_gt(server_at(&follower, 150)->load.others, 0);
	ck_assert_uint_lt(bytes, 2000);
}
