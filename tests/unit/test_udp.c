#include "unit/suites.h"

#include <netinet/in.h>
#include <netinet/ip_icmp.h>
#include <stdlib.h>
#include <string.h>

#include "fake/packet.h"
#include "unit/flows.h"

#define FLOWS 200
#define FIRST_PORT 5000
#define PACKET_SIZE (FAKE_DATAGRAM_HEADER_SIZE + FAKE_DATAGRAM_PAYLOAD_MAX)
#define IP_HEADER_SIZE 20
#define ICMP_HEADER_SIZE 8

static const struct cm_endpoint service = FAKE_SERVICE_UDP;

static struct cm_endpoint caller(uint32_t flow)
{
	struct cm_endpoint endpoint = { 0xc6336401,
					(uint16_t)(FIRST_PORT + flow),
					IPPROTO_UDP };

	return endpoint;
}

static void send_datagram(uint32_t flow, uint32_t node, bool has_checksum)
{
	struct cm_endpoint from = caller(flow);
	uint8_t bytes[PACKET_SIZE];
	size_t length = fake_datagram_build(bytes, &from, &service, "question",
					    8, has_checksum);

	fake_cluster_deliver_packet(cluster, node, bytes, length);
}

static void check_sent(bool to_server)
{
	ck_assert_uint_eq(cluster->output_count, 1);
	ck_assert_int_eq(cluster->outputs[0].is_to_server, to_server);
	ck_assert(fake_datagram_is_valid(cluster->outputs[0].bytes,
					 cluster->outputs[0].length));
}

/* Opens a flow and returns its backend server. */
static struct cm_endpoint open_flow(uint32_t flow, uint32_t node)
{
	send_datagram(flow, node, true);
	check_sent(true);
	return cluster->outputs[0].server;
}

static void check_same_server(uint32_t flow, uint32_t node,
			      const struct cm_endpoint *server)
{
	send_datagram(flow, node, true);
	check_sent(true);
	ck_assert(cm_endpoint_equal(&cluster->outputs[0].server, server));
}

UNIT_CASE("udp", "flows", flows_setup_small, flows_teardown, UNIT_TIMEOUT_S);

TEST(first_datagram_admits_one_flow)
{
	for (uint32_t i = 0; i < FLOWS; i++)
		open_flow(i, i % 3);
	ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_FLOWS_ADMITTED),
			  FLOWS);
	ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_PACKETS_TO_SERVER),
			  FLOWS);
}

TEST(flow_stays_at_its_server_from_any_instance)
{
	for (uint32_t i = 0; i < FLOWS; i++) {
		struct cm_endpoint server = open_flow(i, i % 3);

		for (uint32_t node = 0; node < 3; node++)
			check_same_server(i, node, &server);
	}
	ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_FLOWS_ADMITTED),
			  FLOWS);
}

TEST(missing_checksum_stays_missing)
{
	static const uint8_t none[2] = { 0, 0 };

	send_datagram(0, 0, false);
	check_sent(true);
	ck_assert_mem_eq(cluster->outputs[0].bytes + IP_HEADER_SIZE + 6, none,
			 2);
}

TEST(answer_comes_from_the_service)
{
	for (uint32_t i = 0; i < FLOWS; i++) {
		struct cm_endpoint server = open_flow(i, i % 3);
		struct cm_endpoint to = caller(i);
		uint8_t bytes[PACKET_SIZE], fresh[PACKET_SIZE];
		size_t length = fake_datagram_build(bytes, &server, &to,
						    "answer", 6, true);

		for (uint32_t node = 0; node < 3; node++) {
			fake_cluster_deliver_packet(cluster, node, bytes,
						    length);
			check_sent(false);
			fake_datagram_build(fresh, &service, &to, "answer", 6,
					    true);
			ck_assert_mem_eq(cluster->outputs[0].bytes, fresh,
					 length);
		}
	}
}

static uint64_t count_flows(void)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < cluster->count; i++)
		for (int j = 0; j < CM_FLOW_SHARDS; j++)
			sum += cluster->nodes[i].flows.shards[j].count;
	return sum;
}

static uint64_t count_open(void)
{
	struct cm_node_server_status *servers;
	uint64_t open = 0;
	uint32_t count;

	for (uint32_t i = 0; i < cluster->count; i++) {
		ASSERT_OK(
			cm_node_servers(&cluster->nodes[i], &servers, &count));
		for (uint32_t j = 0; j < count; j++)
			open += servers[j].is_home ?
					servers[j].open_connections :
					0;
		free(servers);
	}
	return open;
}

TEST(flow_ends_by_the_idle_timeout)
{
	for (uint32_t i = 0; i < FLOWS; i++)
		open_flow(i, 0);
	ck_assert_uint_eq(count_open(), FLOWS);
	fake_cluster_advance(cluster, (FAKE_IDLE_TIMEOUT_S - 1) * 1000);
	ck_assert_uint_eq(count_open(), FLOWS);
	fake_cluster_advance(cluster, 10000);
	ck_assert_uint_eq(count_open(), 0);
	ck_assert_uint_eq(count_flows(), 0);
}

TEST(datagram_keeps_a_flow_open)
{
	struct cm_endpoint server = open_flow(0, 0);

	for (int i = 0; i < 10; i++) {
		fake_cluster_advance(cluster, (FAKE_IDLE_TIMEOUT_S - 5) * 1000);
		check_same_server(0, 0, &server);
	}
	ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_FLOWS_ADMITTED), 1);
}

static void set_domain_out(char name)
{
	fake_cluster_publish_changes(
		cluster,
		"\"failure_domains\":{\"change\":[{\"name\":"
		"\"%c\",\"state\":\"out\"}]}",
		name);
}

/*
 * A refused datagram is answered with ICMP "administratively prohibited" from
 * the service, which quotes the datagram.
 */
TEST(refusal_is_icmp)
{
	const uint8_t *bytes = cluster->outputs[0].bytes;
	uint8_t quoted[4];

	for (uint32_t i = 0; i < 3; i++)
		set_domain_out("abc"[i]);
	send_datagram(0, 1, true);
	ck_assert_uint_eq(cluster->output_count, 1);
	ck_assert(!cluster->outputs[0].is_to_server);
	ck_assert_uint_eq(bytes[9], IPPROTO_ICMP);
	ck_assert_uint_eq(bytes[IP_HEADER_SIZE], ICMP_UNREACH);
	ck_assert_uint_eq(bytes[IP_HEADER_SIZE + 1],
			  ICMP_UNREACH_FILTER_PROHIB);
	/* The quoted UDP header holds the caller's port, then the service's. */
	memcpy(quoted,
	       bytes + IP_HEADER_SIZE + ICMP_HEADER_SIZE + IP_HEADER_SIZE, 4);
	ck_assert_uint_eq(quoted[0] << 8 | quoted[1], FIRST_PORT);
	ck_assert_uint_eq(quoted[2] << 8 | quoted[3], service.port);
	ck_assert_uint_eq(cluster->outputs[0].length, 2 * IP_HEADER_SIZE +
							      ICMP_HEADER_SIZE +
							      ICMP_HEADER_SIZE);
	ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_REFUSED_NO_SERVER),
			  1);
}

/* Instances 0 and 1 share a failure domain: when 0 dies, 1 is the home. */
TEST(flow_stays_when_its_home_dies)
{
	struct cm_endpoint server[FLOWS];
	uint32_t kept = 0;

	memcpy(cluster->members[1].domain, cluster->members[0].domain,
	       CM_NAME_SIZE);
	fake_cluster_update_members(cluster);
	fake_cluster_advance(cluster, 30000);
	for (uint32_t i = 0; i < FLOWS; i++)
		server[i] = open_flow(i, i % 3);
	fake_cluster_advance(cluster, 2000);
	fake_cluster_kill(cluster, 0);
	fake_cluster_update_members(cluster);
	fake_cluster_advance(cluster, 1000);
	for (uint32_t i = 0; i < FLOWS; i++) {
		send_datagram(i, 1 + i % 2, true);
		if (cluster->output_count == 1 &&
		    cluster->outputs[0].is_to_server &&
		    cm_endpoint_equal(&cluster->outputs[0].server, &server[i]))
			kept++;
	}
	ck_assert_uint_eq(kept, FLOWS);
}

TEST(failure_domain_out_moves_its_flows)
{
	struct cm_endpoint server[FLOWS];
	uint32_t moved = 0;

	for (uint32_t i = 0; i < FLOWS; i++)
		server[i] = open_flow(i, i % 3);
	set_domain_out('b');
	fake_cluster_advance(cluster, 1000);
	for (uint32_t i = 0; i < FLOWS; i++) {
		struct cm_endpoint now = open_flow(i, i % 3);

		moved += !cm_endpoint_equal(&now, &server[i]);
		/* Backend server n is in failure domain n % 3; 1 is "b". */
		ck_assert_uint_ne((now.address - FAKE_FIRST_SERVER_ADDRESS) % 3,
				  1);
	}
	ck_assert_uint_gt(moved, 0);
	ck_assert_uint_lt(moved, FLOWS);
}
