#include "unit/suites.h"

#include <netinet/in.h>
#include <string.h>

#include "fake/packet.h"
#include "unit/edge.h"
#include "unit/flows.h"

#define FABRIC_ADDRESS 0x7f000001
#define IP_HEADER_SIZE 20

static const struct cm_endpoint caller_tcp = { 0xc6336401, 5000, IPPROTO_TCP };
static const struct cm_endpoint caller_udp = { 0xc6336401, 5000, IPPROTO_UDP };
static const struct cm_endpoint tcp = FAKE_SERVICE_TCP;
static const struct cm_endpoint udp = FAKE_SERVICE_UDP;

static size_t build(uint8_t *inner, uint8_t protocol)
{
	if (protocol == IPPROTO_TCP)
		return fake_segment_build(inner, &caller_tcp, &tcp, CM_TCP_ACK,
					  7, 9, (const uint8_t *)"abc", 3);
	return fake_datagram_build(inner, &caller_udp, &udp, "abc", 3, true);
}

/* Passes a valid segment of a caller to the packet loop. */
static void input_valid_segment(const struct cm_relay *relay,
				const struct cm_endpoint *from)
{
	uint8_t inner[EDGE_SIZE];

	edge_input_packet(inner, build(inner, IPPROTO_TCP), relay, from);
}

/**
 * struct edge_case - an invalid packet from the fabric, made from a valid one
 * @name: what is wrong with it
 * @counter: the counter of its drop
 * @protocol: protocol of the valid packet
 * @patch: bytes to change; an entry of two zeros changes nothing
 * @cut: number of bytes removed from the end
 * @add: number of bytes appended
 * @has_stale_checksum: leave the checksum of the IPv4 header as it was
 */
struct edge_case {
	const char *name;
	enum cm_counter counter;
	uint8_t protocol;
	struct {
		uint8_t offset;
		uint8_t value;
	} patch[2];
	uint8_t cut;
	uint8_t add;
	bool has_stale_checksum;
};

#define T IPPROTO_TCP
#define U IPPROTO_UDP
#define TRUNCATED CM_C_DROP_TRUNCATED
#define MALFORMED CM_C_DROP_MALFORMED
#define UNSUPPORTED CM_C_DROP_UNSUPPORTED
#define UNKNOWN CM_C_DROP_UNKNOWN_DESTINATION
#define PATCH(...) .patch = { __VA_ARGS__ }

static const struct edge_case edge_cases[] = {
	{ "IPv6", UNSUPPORTED, T, PATCH({ 0, 0x65 }) },
	{ "version 0", UNSUPPORTED, T, PATCH({ 0, 0x05 }) },
	{ "header of 16 bytes", MALFORMED, T, PATCH({ 0, 0x44 }) },
	{ "header past the end", MALFORMED, U, PATCH({ 0, 0x4f }) },
	{ "length of 0", MALFORMED, T, PATCH({ 2, 0 }, { 3, 0 }) },
	{ "length too large", TRUNCATED, T, PATCH({ 2, 1 }) },
	{ "bytes after the end", MALFORMED, T, .add = 1 },
	{ "bytes missing", TRUNCATED, T, .cut = 1 },
	{ "wrong checksum", MALFORMED, T, PATCH({ 8, 63 }),
	  .has_stale_checksum = true },
	{ "first fragment", UNSUPPORTED, T, PATCH({ 6, 0x20 }) },
	{ "later fragment", UNSUPPORTED, U, PATCH({ 7, 1 }) },
	{ "ICMP", UNSUPPORTED, T, PATCH({ 9, IPPROTO_ICMP }) },
	{ "SCTP", UNSUPPORTED, T, PATCH({ 9, IPPROTO_SCTP }) },
	{ "source port 0", MALFORMED, T, PATCH({ 20, 0 }, { 21, 0 }) },
	{ "destination port 0", MALFORMED, U, PATCH({ 22, 0 }, { 23, 0 }) },
	{ "TCP header of 16 bytes", MALFORMED, T, PATCH({ 32, 0x40 }) },
	{ "TCP header past the end", TRUNCATED, T, PATCH({ 32, 0xf0 }) },
	{ "no TCP flags", MALFORMED, T, PATCH({ 33, 0 }) },
	{ "FIN alone", MALFORMED, T, PATCH({ 33, CM_TCP_FIN }) },
	{ "SYN, FIN", MALFORMED, T, PATCH({ 33, CM_TCP_SYN | CM_TCP_FIN }) },
	{ "SYN, RST", MALFORMED, T, PATCH({ 33, CM_TCP_SYN | CM_TCP_RST }) },
	{ "all TCP flags", MALFORMED, T, PATCH({ 33, 0xff }) },
	{ "UDP length of 7", MALFORMED, U, PATCH({ 25, 7 }) },
	{ "UDP length too large", MALFORMED, U, PATCH({ 24, 1 }) },
	{ "unknown address", UNKNOWN, T, PATCH({ 19, 77 }) },
	{ "unknown port", UNKNOWN, U, PATCH({ 23, 77 }) },
};

UNIT_CASE("packet edge", "datagrams", edge_setup, edge_teardown, 60);

TEST_TABLE(bad_packet_is_dropped, edge_cases)
{
	const struct edge_case *edge = &edge_cases[_i];
	uint8_t inner[EDGE_SIZE] = { 0 };
	size_t length = build(inner, edge->protocol);
	uint64_t before = edge_count(edge->counter);

	for (int i = 0; i < 2; i++)
		if (edge->patch[i].offset || edge->patch[i].value)
			inner[edge->patch[i].offset] = edge->patch[i].value;
	if (!edge->has_stale_checksum)
		edge_fix_checksum(inner, length);
	edge_input_packet(inner, length + edge->add - edge->cut, NULL,
			  &edge_fabric);
	ck_assert_msg(edge_count(edge->counter) == before + 1, "%s",
		      edge->name);
	ck_assert_uint_eq(edge_sent, 0);
}

TEST(options_and_zero_checksum_pass)
{
	uint8_t inner[EDGE_SIZE];
	size_t length =
		fake_datagram_build(inner, &caller_udp, &udp, "abcd", 4, false);

	edge_input_packet(inner, length, NULL, &edge_fabric);
	ck_assert_uint_eq(edge_sent, 1);
	/* Insert four bytes of IPv4 options, each a no-operation. */
	memmove(inner + IP_HEADER_SIZE + 4, inner + IP_HEADER_SIZE,
		length - IP_HEADER_SIZE);
	memset(inner + IP_HEADER_SIZE, 1, 4);
	inner[0] = 0x46;
	inner[3] += 4;
	edge_fix_checksum(inner, length + 4);
	edge_input_packet(inner, length + 4, NULL, &edge_fabric);
	ck_assert_uint_eq(edge_sent, 2);
}

/* Sender of a datagram, and the counter that it increments. */
static const struct {
	bool relayed;
	struct cm_endpoint from;
	enum cm_counter counter;
} senders[] = {
	{ false, { FABRIC_ADDRESS, 6081, U }, CM_C_PACKETS_FROM_FABRIC },
	{ false, { FABRIC_ADDRESS, 40000, U }, CM_C_PACKETS_FROM_FABRIC },
	{ false, { 0x7f010002, 6081, U }, CM_C_DROP_FOREIGN_FABRIC },
	{ false, { 0xc6336401, 6081, U }, CM_C_DROP_FOREIGN_FABRIC },
	{ true, { 0x7f010002, 6081, U }, CM_C_PACKETS_FROM_PEER },
	{ true, { 0x7f010003, 6081, U }, CM_C_PACKETS_FROM_PEER },
	{ true, { 0x7f010002, 6082, U }, CM_C_DROP_FOREIGN_RELAY },
	{ true, { 0x7f010009, 6081, U }, CM_C_DROP_FOREIGN_RELAY },
	{ true, { FABRIC_ADDRESS, 6081, U }, CM_C_DROP_FOREIGN_RELAY },
	/* The node's own address: an instance relays no packet to itself. */
	{ true, { 0x7f010001, 6081, U }, CM_C_DROP_FOREIGN_RELAY },
};

TEST_TABLE(sender_is_checked, senders)
{
	struct cm_relay relay = { .kind = CM_RELAY_LOOKUP,
				  .hops = 1,
				  .service = tcp };

	input_valid_segment(senders[_i].relayed ? &relay : NULL,
			    &senders[_i].from);
	ck_assert_uint_eq(edge_count(senders[_i].counter), 1);
}

/* Only an RST that comes from the fabric may end a flow. */
TEST(rst_from_outside_the_fabric_is_dropped)
{
	static const struct cm_endpoint outside = { 0xc6336499, 9, U };
	uint8_t inner[EDGE_SIZE];
	size_t length = fake_segment_build(inner, &caller_tcp, &tcp, CM_TCP_RST,
					   7, 9, NULL, 0);

	edge_input_packet(inner, length, NULL, &outside);
	ck_assert_uint_eq(edge_sent, 0);
	ck_assert_uint_eq(edge_count(CM_C_DROP_FOREIGN_FABRIC), 1);
}

/* An invalid relay header, and the counter of the drop. */
static const struct {
	struct cm_relay relay;
	enum cm_counter counter;
} bad_relays[] = {
	{ { CM_RELAY_LOOKUP, 0, CM_HOP_LIMIT + 1, 1, FAKE_SERVICE_TCP, { 0 } },
	  CM_C_DROP_HOP_LIMIT },
	{ { CM_RELAY_PROBE, 0, 255, 1, FAKE_SERVICE_TCP, { 0 } },
	  CM_C_DROP_HOP_LIMIT },
	{ { CM_RELAY_LOOKUP, 0, 0, 1, FAKE_SERVICE_TCP, { 0 } }, MALFORMED },
	{ { 0, 0, 1, 1, FAKE_SERVICE_TCP, { 0 } }, MALFORMED },
	{ { CM_RELAY_RETURN + 1, 0, 1, 1, FAKE_SERVICE_TCP, { 0 } },
	  MALFORMED },
	{ { CM_RELAY_LOOKUP, 0, 1, 1, FAKE_SERVICE_UDP, { 0 } },
	  CM_C_DROP_RELAY_MISMATCH },
	{ { CM_RELAY_LOOKUP, 0, 1, 1, { 0xcb0071ff, 443, T }, { 0 } },
	  CM_C_DROP_RELAY_MISMATCH },
	/* Only for the first packet of a flow may admission be requested. */
	{ { CM_RELAY_ADMIT, 0, 1, 1, FAKE_SERVICE_TCP, { 0 } },
	  CM_C_DROP_RELAY_MISMATCH },
	/* The server is not in the catalog, but may be in that of the sender,
	 * which has a newer release note. */
	{ { CM_RELAY_BOUND, 0, 1, 2, FAKE_SERVICE_TCP, { 0xc00002ff, 80, T } },
	  CM_C_DROP_BEHIND },
};

TEST_TABLE(bad_relay_is_dropped, bad_relays)
{
	input_valid_segment(&bad_relays[_i].relay,
			    &cluster->members[1].data_address);
	ck_assert_uint_eq(edge_count(bad_relays[_i].counter), 1);
	ck_assert_uint_eq(edge_sent, 0);
}

/*
 * The relay header names a server that does not exist (_i is 0), or the address
 * of a server that has another protocol (_i is 1).
 */
TEST_LOOP(bound_to_no_server_is_refused, 0, 2)
{
	struct cm_relay relay = {
		CM_RELAY_BOUND, 0, 1, 1, FAKE_SERVICE_TCP, { 0xc00002ff, 80, T }
	};

	relay.server.address -= (uint32_t)_i * 0xf6;
	input_valid_segment(&relay, &cluster->members[1].data_address);
	ck_assert_uint_eq(edge_count(CM_C_REFUSED_SERVER_WITHDRAWN), 1);
	ck_assert_uint_eq(edge_sent, 1);
}

/*
 * Two instances of a failure domain disagree: each sees itself as LEAVING and
 * the other one as ALIVE. Each therefore relays every packet to the other one,
 * as the home. The hop limit ends the loop.
 */
TEST(loop_ends_at_the_hop_limit)
{
	struct cm_member members[2] = { cluster->members[0],
					cluster->members[1] };
	uint8_t inner[EDGE_SIZE];
	struct cm_endpoint from = caller_udp;
	uint64_t outputs = 0;

	memcpy(members[1].domain, members[0].domain, CM_NAME_SIZE);
	for (int i = 0; i < 2; i++) {
		members[i].state = CM_MEMBER_LEAVING;
		members[1 - i].state = CM_MEMBER_ALIVE;
		cm_node_set_members(&cluster->nodes[i], members, 2);
	}
	for (int i = 0; i < 100; i++) {
		from.port++;
		fake_cluster_deliver_packet(
			cluster, 0, inner,
			fake_datagram_build(inner, &from, &udp, "a", 1, true));
		outputs += cluster->output_count;
	}
	ck_assert_uint_eq(outputs, 0);
	ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_DROP_HOP_LIMIT),
			  100);
	ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_PACKETS_RELAYED),
			  100 * CM_HOP_LIMIT);
}
