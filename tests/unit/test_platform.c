#include "unit/suites.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "adapters/msgpack_map.h"
#include "chervilmast/error.h"
#include "fake/body.h"
#include "platform/desired_state.h"
#include "platform/members_entry.h"
#include "platform/packet_header.h"
#include "platform/server_entry.h"

UNIT_CASE("platform", "formats", NULL, NULL, UNIT_TIMEOUT_S);

/* The examples in the documentation of the packet format. */
static const uint8_t syn[PLATFORM_HEADER_SIZE] = {
	0x01, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x00, 0x00, 0x11, 0x22, 0x33,
	0x44, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0xc6, 0x12,
	0x00, 0x01, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0x01, 0xbb,
};

static const uint8_t reset[PLATFORM_HEADER_SIZE] = {
	0x40, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x64, 0x40,
	0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x9c, 0x41,
};

TEST(example_syn_is_read)
{
	struct cm_steer_packet packet;

	ASSERT_OK(platform_fabric.read(syn, sizeof(syn), &packet));
	ck_assert_uint_eq(packet.flags, CM_STEER_SYN);
	ck_assert_uint_eq(packet.key.caller.address, 0x64400007);
	ck_assert_uint_eq(packet.key.caller.port, 40001);
	ck_assert_uint_eq(packet.key.service.address, 0xc6120001);
	ck_assert_uint_eq(packet.key.service.port, 443);
	ck_assert_uint_eq(packet.token, 0);
	ck_assert_uint_eq(packet.repeats, 0);
}

TEST(example_reset_is_written)
{
	uint8_t written[CM_FABRIC_RESET_MAX];

	ck_assert_uint_eq(platform_fabric.write_reset(syn, written),
			  sizeof(reset));
	ck_assert_mem_eq(written, reset, sizeof(reset));
}

/* A caller accepts a reset of an open flow only if its sequence number is at
 * most 76,800 after the number that it expects next. That number is in its last
 * packet, also when the packet carries data or the numbers wrap around. */
TEST(reset_of_a_data_packet_has_the_expected_number)
{
	uint8_t bytes[PLATFORM_HEADER_SIZE], written[CM_FABRIC_RESET_MAX];
	uint8_t expected[PLATFORM_HEADER_SIZE];

	memcpy(bytes, syn, sizeof(bytes));
	memcpy(expected, reset, sizeof(expected));
	/* Flags of a data packet, a sequence number of its own, and the
	 * acknowledgment number 0xfffffff0. */
	bytes[0] = 0x04;
	memset(bytes + 8, 0x55, 4);
	memset(bytes + 12, 0xff, 4);
	bytes[15] = 0xf0;
	memcpy(expected + 8, bytes + 12, 4);
	ck_assert_uint_eq(platform_fabric.write_reset(bytes, written),
			  sizeof(expected));
	ck_assert_mem_eq(written, expected, sizeof(expected));
}

/* The sender's checksum covers everything but the token, so nothing else may
 * change. */
TEST(set_token_changes_only_the_token)
{
	uint8_t bytes[PLATFORM_HEADER_SIZE], prefix[CM_FABRIC_PREFIX_MAX];
	static const uint8_t id[] = { 0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2 };
	struct cm_steer_packet packet;

	memcpy(bytes, syn, sizeof(bytes));
	platform_fabric.set_token(bytes, 0x01020304);
	ASSERT_OK(platform_fabric.read(bytes, sizeof(bytes), &packet));
	ck_assert_uint_eq(packet.token, 0x01020304);
	memset(bytes + 16, 0, 4);
	ck_assert_mem_eq(bytes, syn, sizeof(bytes));
	ck_assert_uint_eq(platform_fabric.prefix_size, sizeof(id));
	platform_fabric.write_prefix(prefix, 0x7f3a91c2);
	ck_assert_mem_eq(prefix, id, sizeof(id));
}

TEST(repeats_are_counted_in_syns_only)
{
	uint8_t bytes[PLATFORM_HEADER_SIZE];
	struct cm_steer_packet packet;

	memcpy(bytes, syn, sizeof(bytes));
	bytes[15] = 2;
	ASSERT_OK(platform_fabric.read(bytes, sizeof(bytes), &packet));
	ck_assert_uint_eq(packet.repeats, 2);
	bytes[0] = 4;
	ASSERT_OK(platform_fabric.read(bytes, sizeof(bytes), &packet));
	ck_assert_uint_eq(packet.repeats, 0);
	ck_assert_uint_eq(packet.flags, CM_STEER_ACK);
}

/* Length of the datagram, length of the data according to the header, and the
 * result. */
static const struct {
	size_t length;
	uint16_t data;
	int error;
} headers[] = {
	{ 0, 0, CM_E_TRUNCATED },
	{ 31, 0, CM_E_TRUNCATED },
	{ 32, 0, 0 },
	{ 33, 0, CM_E_MALFORMED },
	{ 32, 1, CM_E_MALFORMED },
	{ 32 + 1200, 1200, 0 },
	{ 32 + 1201, 1201, CM_E_MALFORMED },
	{ 32 + 1200, 1199, CM_E_MALFORMED },
};

TEST_TABLE(length_is_checked, headers)
{
	uint8_t bytes[CM_FABRIC_PACKET_MAX] = { 4 };
	struct cm_steer_packet packet;

	bytes[6] = (uint8_t)(headers[_i].data >> 8);
	bytes[7] = (uint8_t)headers[_i].data;
	ck_assert_int_eq(
		platform_fabric.read(bytes, headers[_i].length, &packet),
		headers[_i].error);
}

/**
 * struct value - a value of the store
 * @bytes: the encoded value, to which @unpacked refers
 * @unpacked: the decoded value
 */
struct value {
	msgpack_sbuffer bytes;
	msgpack_unpacked unpacked;
};

static const msgpack_object *value_init(struct value *value, const char *json)
{
	msgpack_sbuffer_init(&value->bytes);
	fake_body_write_text(&value->bytes, json);
	ASSERT_OK(cm_map_decode(&value->unpacked, value->bytes.data,
				value->bytes.size));
	return &value->unpacked.data;
}

static void value_finish(struct value *value)
{
	msgpack_unpacked_destroy(&value->unpacked);
	msgpack_sbuffer_destroy(&value->bytes);
}

/* Bytes of a body, and the result of decoding them. */
static const struct {
	const char *bytes;
	size_t size;
	int error;
} bodies[] = {
	UNIT_BYTES("\x80", 0),
	UNIT_BYTES("\x81\xa1x\xa2\xc3\xa4", 0),
	UNIT_BYTES("", CM_E_PROTOCOL),
	UNIT_BYTES("\x81\xa1x", CM_E_PROTOCOL),
	UNIT_BYTES("\x80\x80", CM_E_PROTOCOL),
	UNIT_BYTES("\xc1", CM_E_PROTOCOL),
	UNIT_BYTES("\xdf\xff\xff\xff\xff", CM_E_PROTOCOL),
	UNIT_BYTES("{}", CM_E_PROTOCOL),
};

TEST_TABLE(body_is_one_whole_object, bodies)
{
	msgpack_unpacked unpacked;

	ck_assert_int_eq(
		cm_map_decode(&unpacked, bodies[_i].bytes, bodies[_i].size),
		bodies[_i].error);
	msgpack_unpacked_destroy(&unpacked);
}

TEST(text_with_a_nul_is_refused)
{
	static const char bytes[] = "\x81\xa1x\xa3"
				    "a\0b";
	msgpack_unpacked unpacked;
	char text[CM_NAME_SIZE];

	ASSERT_OK(cm_map_decode(&unpacked, bytes, sizeof(bytes) - 1));
	ck_assert_int_eq(cm_map_text(text, &unpacked.data, "x"), CM_E_BAD_NAME);
	msgpack_unpacked_destroy(&unpacked);
}

#define ENTRY(more)                                                          \
	"{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\"," \
	"\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","                \
	"\"cold-left-ms\":5,\"sequence\":4" more "}"

/* Key and value of a server's entry, and the result of decoding them. */
static const struct {
	const char *id;
	const char *text;
	int error;
} entries[] = {
	{ "i-7f3a91c2", ENTRY(""), 0 },
	{ "i-7f3a91c2", ENTRY(",\"born\":1700000000000"), 0 },
	{ "i-7f3a91c2", ENTRY(",\"unknown\":[1]"), 0 },
	{ "i-7f3a91c2", ENTRY(",\"born\":\"x\""), CM_E_WRONG_TYPE },
	{ "i-7f3a91c2", ENTRY(",\"born\":1.5"), CM_E_WRONG_TYPE },
	{ "i-7f3a91c2", ENTRY(",\"born\":-1"), CM_E_OUT_OF_RANGE },
	{ "i-7f3a91c2", ENTRY(",\"slots\":0"), CM_E_OUT_OF_RANGE },
	{ "i-7f3a91c2", ENTRY(",\"slots\":\"3\""), CM_E_WRONG_TYPE },
	{ "i-7f3a91c2", ENTRY(",\"state\":\"lost\""), CM_E_OUT_OF_RANGE },
	{ "i-7f3a91c2", ENTRY(",\"state\":7"), CM_E_WRONG_TYPE },
	{ "i-7f3a91c2", ENTRY(",\"service\":\"\""), CM_E_OUT_OF_RANGE },
	{ "i-7f3a91c2", ENTRY(",\"service\":null"), CM_E_WRONG_TYPE },
	{ "i-7f3a91c2", ENTRY(",\"zone\":{}"), CM_E_WRONG_TYPE },
	{ "i-7f3a91c2", ENTRY(",\"address\":\"x:1\""), CM_E_BAD_ADDRESS },
	{ "i-7f3a91c2", ENTRY(",\"address\":\"10.0.0.1\""), CM_E_BAD_ADDRESS },
	{ "i-7f3a91c2", ENTRY(",\"address\":\"10.0.0.1:0\""),
	  CM_E_BAD_ADDRESS },
	{ "i-7f3a91c2", ENTRY(",\"cold-left-ms\":-5"), CM_E_OUT_OF_RANGE },
	{ "i-7f3a91c2", "{}", CM_E_MISSING_KEY },
	{ "i-7f3a91c2", "[]", CM_E_WRONG_TYPE },
	{ "i-7f3a91c2", "7", CM_E_WRONG_TYPE },
	{ "i-", ENTRY(""), CM_E_BAD_NAME },
	{ "i-xyz", ENTRY(""), CM_E_BAD_NAME },
	{ "i-11112222333344445", ENTRY(""), CM_E_BAD_NAME },
};

TEST_TABLE(entry_is_checked, entries)
{
	struct cm_server_entry entry = { .id = 0 };
	struct value value;

	ck_assert_int_eq(platform_server_entry_read(
				 &entry, entries[_i].id,
				 value_init(&value, entries[_i].text)),
			 entries[_i].error);
	value_finish(&value);
	if (entries[_i].error)
		return;
	ck_assert_uint_eq(entry.id, 0x7f3a91c2);
	ck_assert_uint_eq(entry.slots, 3);
	ck_assert_uint_eq(entry.cold_left_ms, 5);
	ck_assert_uint_eq(entry.address.address, 0x0a800009);
	ck_assert_uint_eq(entry.address.port, 8080);
	ck_assert_str_eq(entry.domain, "z");
	ck_assert(!entry.is_draining);
}

#define STATE(routes, services)                                 \
	"{\"version\":7,\"limits\":{},\"routes\":[" routes "]," \
	"\"services\":[" services "]}"
#define ROUTE(more)                                                     \
	"{\"name\":\"r\",\"host\":\"198.18.0.1\",\"prefix\":\"/443/\"," \
	"\"service\":\"s\"" more "}"
#define SERVICE "{\"name\":\"s\",\"cold-per-s\":2.5}"

/* A desired state, and the result of decoding it. */
static const struct {
	const char *text;
	int error;
} states[] = {
	{ STATE(ROUTE(""), SERVICE), 0 },
	{ STATE("", ""), 0 },
	{ STATE(ROUTE(",\"backends\":[{\"service\":\"s\",\"weight\":9},"
		      "{\"service\":\"t\",\"weight\":1}]"),
		SERVICE),
	  0 },
	{ STATE(ROUTE(",\"backends\":[{\"service\":\"s\"}]"), ""),
	  CM_E_MISSING_KEY },
	{ STATE(ROUTE(",\"backends\":[{\"service\":\"s\",\"weight\":-1}]"), ""),
	  CM_E_OUT_OF_RANGE },
	{ STATE(ROUTE(",\"prefix\":\"/x/\""), ""), CM_E_BAD_ADDRESS },
	{ STATE(ROUTE(",\"prefix\":\"/443\""), ""), CM_E_BAD_ADDRESS },
	{ STATE(ROUTE(",\"prefix\":\"/70000/\""), ""), CM_E_BAD_ADDRESS },
	{ STATE(ROUTE(",\"host\":\"name\""), ""), CM_E_BAD_ADDRESS },
	{ STATE(ROUTE(",\"host\":7"), ""), CM_E_WRONG_TYPE },
	{ STATE(ROUTE(",\"service\":7"), ""), CM_E_WRONG_TYPE },
	{ STATE(ROUTE("") "," ROUTE(""), ""), CM_E_DUPLICATE_ENDPOINT },
	{ STATE("", SERVICE "," SERVICE), CM_E_DUPLICATE_ITEM },
	{ STATE("", "{\"name\":\"s\",\"cold-per-s\":-1}"), CM_E_OUT_OF_RANGE },
	{ "{\"version\":7}", CM_E_WRONG_TYPE },
	{ "{}", CM_E_MISSING_KEY },
	{ "{\"version\":\"7\"}", CM_E_WRONG_TYPE },
	{ "[]", CM_E_MISSING_KEY },
};

TEST_TABLE(desired_state_is_checked, states)
{
	struct cm_steer_plan plan;
	struct value value;

	ck_assert_int_eq(platform_desired_state_read(
				 &plan, value_init(&value, states[_i].text)),
			 states[_i].error);
	value_finish(&value);
	if (!states[_i].error)
		cm_steer_plan_finish(&plan);
}

#define LONG "hokkaido-monthly-petty-cash-reimbursement"
#define BACKEND(name, weight) "{\"service\":\"" name "\",\"weight\":" weight "}"

/* Guards against a desired state that is refused as a whole, so that dropped
 * routes stay and added ones are missing, because of a long name. */
TEST(names_of_any_length_are_read)
{
	const struct cm_endpoint address = { 0xc6120001, 443, IPPROTO_TCP };
	const char *selected[2];
	const struct cm_plan_route *route;
	struct cm_server_entry entry = { .id = 0 };
	struct cm_steer_plan plan;
	struct value value;

	ASSERT_OK(platform_desired_state_read(
		&plan,
		value_init(&value,
			   STATE(ROUTE(",\"backends\":[" BACKEND(
					 LONG "1", "1") "," BACKEND(LONG "2",
								    "1") "]"),
				 "{\"name\":\"" LONG "1\",\"cold-per-s\":1},"
				 "{\"name\":\"" LONG
				 "2\",\"cold-per-s\":2}"))));
	value_finish(&value);
	route = cm_steer_plan_find_route(&plan, &address);
	for (uint64_t i = 0; i < 2; i++) {
		selected[i] = cm_steer_plan_select_service(&plan, route, i);
		ck_assert_uint_eq(cm_steer_plan_find_service(&plan, selected[i])
					  ->cold_per_s,
				  i + 1);
	}
	ASSERT_OK(platform_server_entry_read(
		&entry, "i-1",
		value_init(&value, ENTRY(",\"service\":\"" LONG
					 "2\",\"zone\":\"" LONG "\""))));
	value_finish(&value);
	ck_assert_str_eq(entry.service, selected[1]);
	ck_assert_str_ne(entry.service, selected[0]);
	ck_assert_str_ne(entry.service, entry.domain);
	cm_steer_plan_finish(&plan);
}

/* Guards against a desired state that is refused as a whole because a route has
 * more backends than struct cm_steer_route has room for. */
TEST(route_with_many_backends_is_read)
{
	const struct cm_endpoint address = { 0xc6120001, 443, IPPROTO_TCP };
	const struct cm_plan_route *route;
	char text[4096] = "", name[16];
	struct cm_steer_plan plan;
	struct value value;
	size_t length;

	length = (size_t)sprintf(text,
				 "{\"version\":7,\"services\":[],\"routes\":[{"
				 "\"host\":\"198.18.0.1\",\"prefix\":"
				 "\"/443/\",\"backends\":[");
	for (int i = 0; i < 5 * CM_ROUTE_TARGETS_MAX; i++)
		length +=
			(size_t)sprintf(text + length, "%s" BACKEND("s%d", "1"),
					i ? "," : "", i);
	sprintf(text + length, "]}]}");
	ASSERT_OK(platform_desired_state_read(&plan, value_init(&value, text)));
	value_finish(&value);
	route = cm_steer_plan_find_route(&plan, &address);
	for (uint64_t i = 0; i < 5 * CM_ROUTE_TARGETS_MAX; i++) {
		sprintf(name, "s%llu", (unsigned long long)i);
		ck_assert_str_eq(cm_steer_plan_select_service(&plan, route, i),
				 name);
	}
	cm_steer_plan_finish(&plan);
}

/* Weights of two backends, and the share of flows that the first one gets, in
 * millionths. */
static const struct {
	const char *state;
	uint32_t first;
} splits[] = {
	{ STATE(ROUTE(",\"backends\":[" BACKEND("s", "0.25") "," BACKEND(
			"t", "0.75") "]"),
		""),
	  250000 },
	{ STATE(ROUTE(",\"backends\":[" BACKEND("s", "5000000000") "," BACKEND(
			"t", "15000000000") "]"),
		""),
	  250000 },
	{ STATE(ROUTE(",\"backends\":[" BACKEND("s", "1e-9") "," BACKEND(
			"t", "1") "]"),
		""),
	  1 },
	{ STATE(ROUTE(",\"backends\":[" BACKEND("s", "0.0") "," BACKEND(
			"t", "0.5") "]"),
		""),
	  0 },
};

/* Guards against a desired state that is refused as a whole because of a weight
 * that is not an integer of 32 bits. */
TEST_TABLE(any_weight_is_read, splits)
{
	const struct cm_endpoint address = { 0xc6120001, 443, IPPROTO_TCP };
	const struct cm_plan_route *route;
	struct cm_steer_plan plan;
	struct value value;
	const char *last;

	ASSERT_OK(platform_desired_state_read(
		&plan, value_init(&value, splits[_i].state)));
	value_finish(&value);
	route = cm_steer_plan_find_route(&plan, &address);
	last = cm_steer_plan_select_service(&plan, route, splits[_i].first);
	ck_assert_str_eq(last, "t");
	if (splits[_i].first)
		ck_assert_str_eq(cm_steer_plan_select_service(
					 &plan, route, splits[_i].first - 1),
				 "s");
	cm_steer_plan_finish(&plan);
}

/* A "cold-per-s", and the rate used. A rate below 1 must not become 0, which
 * stands for no limit. */
static const struct {
	const char *state;
	uint32_t cold_per_s;
} rates[] = {
	{ STATE("", "{\"name\":\"s\",\"cold-per-s\":0}"), 0 },
	{ STATE("", "{\"name\":\"s\",\"cold-per-s\":0.2}"), 1 },
	{ STATE("", "{\"name\":\"s\",\"cold-per-s\":2.9}"), 2 },
	{ STATE("", "{\"name\":\"s\",\"cold-per-s\":1e300}"), 1000000 },
};

TEST_TABLE(rate_of_a_cold_start_is_read, rates)
{
	struct cm_steer_plan plan;
	struct value value;

	ASSERT_OK(platform_desired_state_read(
		&plan, value_init(&value, rates[_i].state)));
	value_finish(&value);
	ck_assert_uint_eq(cm_steer_plan_find_service(&plan, "s")->cold_per_s,
			  rates[_i].cold_per_s);
	cm_steer_plan_finish(&plan);
}

#define MEMBER(name, more) \
	"{\"name\":\"" name "\",\"control\":\"10.0.0.1:1\"" more "}"

/* Guards against a list of members that is refused as a whole because of one
 * member. */
TEST(other_members_are_read)
{
	static struct cm_peer_entry members[CM_ROSTER_MAX];
	char domain[CM_NAME_SIZE] = "a";
	struct value value;
	uint32_t count;

	ck_assert_int_eq(
		platform_members_read(
			members, &count, domain,
			value_init(
				&value,
				"{\"members\":[" MEMBER(LONG "1", ",\"rank\":1") "," MEMBER(
					"x",
					",\"rank\":-1") ",7," MEMBER(LONG "2",
								     ",\"rank\":2") "]}")),
		CM_E_OUT_OF_RANGE);
	value_finish(&value);
	ck_assert_uint_eq(count, 2);
	ck_assert_uint_eq(members[0].rank, 1);
	ck_assert_uint_eq(members[1].rank, 2);
	ck_assert_str_ne(members[0].name, members[1].name);
	ck_assert_str_eq(members[1].domain, "a");
}

/* A desired state whose route has a latency objective, and the objective used,
 * ms. An invalid objective is ignored, so that the route remains in the plan.
 */
static const struct {
	const char *state;
	uint32_t objective_ms;
} objectives[] = {
	{ STATE(ROUTE(""), SERVICE), 0 },
	{ STATE(ROUTE(",\"target-latency-ms\":250"), SERVICE), 250 },
	{ STATE(ROUTE(",\"target-latency-ms\":250.5"), SERVICE), 250 },
	{ STATE(ROUTE(",\"target-latency-ms\":-1"), SERVICE), 0 },
	{ STATE(ROUTE(",\"target-latency-ms\":1e300"), SERVICE), 0 },
	{ STATE(ROUTE(",\"target-latency-ms\":\"250\""), SERVICE), 0 },
};

TEST_TABLE(objective_of_a_route_is_read, objectives)
{
	const struct cm_endpoint address = { 0xc6120001, 443, IPPROTO_TCP };
	struct cm_steer_plan plan;
	struct value value;

	ASSERT_OK(platform_desired_state_read(
		&plan, value_init(&value, objectives[_i].state)));
	value_finish(&value);
	ck_assert_uint_eq(
		cm_steer_plan_find_route(&plan, &address)->objective_ms,
		objectives[_i].objective_ms);
	cm_steer_plan_finish(&plan);
}

/* A desired state whose route states properties of its requests, and the
 * traits used. Invalid ones must not remove the route from the plan, and a kind
 * that is not known must not count as repeatable. */
static const struct {
	const char *state;
	struct cm_route_traits traits;
	bool is_repeatable;
} traits[] = {
	{ STATE(ROUTE(""), SERVICE), { CM_ROUTE_OTHER, 0, 0 }, false },
	{ STATE(ROUTE(",\"type\":\"idempotent\",\"priority\":2,"
		      "\"timeout-ms\":2000"),
		SERVICE),
	  { CM_ROUTE_IDEMPOTENT, 2, 2000 },
	  true },
	{ STATE(ROUTE(",\"type\":\"download\""), SERVICE),
	  { CM_ROUTE_DOWNLOAD, 0, 0 },
	  true },
	{ STATE(ROUTE(",\"type\":\"non_idempotent\",\"priority\":1"), SERVICE),
	  { CM_ROUTE_NON_IDEMPOTENT, 1, 0 },
	  false },
	{ STATE(ROUTE(",\"type\":\"download\",\"priority\":5000"), SERVICE),
	  { CM_ROUTE_DOWNLOAD, 1000, 0 },
	  true },
	{ STATE(ROUTE(",\"type\":\"upload\""), SERVICE),
	  { CM_ROUTE_UPLOAD, 0, 0 },
	  false },
	{ STATE(ROUTE(",\"type\":7,\"priority\":-1,\"timeout-ms\":\"9\""),
		SERVICE),
	  { CM_ROUTE_OTHER, 0, 0 },
	  false },
};

TEST_TABLE(traits_of_a_route_are_read, traits)
{
	const struct cm_endpoint address = { 0xc6120001, 443, IPPROTO_TCP };
	const struct cm_route_traits *read;
	struct cm_steer_plan plan;
	struct value value;

	ASSERT_OK(platform_desired_state_read(
		&plan, value_init(&value, traits[_i].state)));
	value_finish(&value);
	read = &cm_steer_plan_find_route(&plan, &address)->traits;
	ck_assert_int_eq(read->kind, traits[_i].traits.kind);
	ck_assert_uint_eq(read->priority, traits[_i].traits.priority);
	ck_assert_uint_eq(read->timeout_ms, traits[_i].traits.timeout_ms);
	ck_assert_int_eq(cm_route_is_repeatable(read),
			 traits[_i].is_repeatable);
	cm_steer_plan_finish(&plan);
}

TEST(route_resolves_to_its_service)
{
	const struct cm_endpoint address = { 0xc6120001, 443, IPPROTO_TCP };
	const struct cm_endpoint other = { 0xc6120001, 444, IPPROTO_TCP };
	const struct cm_plan_route *route;
	struct cm_steer_plan plan;
	struct value value;

	ASSERT_OK(platform_desired_state_read(
		&plan, value_init(&value, STATE(ROUTE(""), SERVICE))));
	value_finish(&value);
	ck_assert_uint_eq(plan.version, 7);
	route = cm_steer_plan_find_route(&plan, &address);
	ck_assert_str_eq(cm_steer_plan_select_service(&plan, route, 5), "s");
	ck_assert_uint_eq(route->objective_ms, 0);
	ck_assert_ptr_null(cm_steer_plan_find_route(&plan, &other));
	ck_assert_uint_eq(cm_steer_plan_find_service(&plan, "s")->cold_per_s,
			  2);
	cm_steer_plan_finish(&plan);
}
