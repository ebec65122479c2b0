#include <string.h>

#include "fake/tcp_end.h"
#include "unit/flows.h"
#include "unit/suites.h"

static bool last_output_has_payload(void)
{
	struct fake_output *last = &cluster->outputs[cluster->output_count - 1];
	struct cm_packet packet;

	return !cm_packet_parse(&packet, last->bytes, last->length) &&
	       cm_packet_payload_length(&packet) > 0;
}

/*
 * Sends a data segment to a node; returns whether the segment reaches the
 * flow's server with its payload. Any other server that gets it answers with an
 * RST, except @silent, which does not answer.
 */
static bool data_reaches_server(const struct flow *flow,
				const struct cm_endpoint *silent, uint32_t node)
{
	static const struct cm_endpoint service = FAKE_SERVICE_TCP;
	uint8_t bytes[CM_BUILT_PACKET_SIZE_MAX];
	size_t length =
		fake_segment_build(bytes, &flow->caller, &service, CM_TCP_ACK,
				   101, 501, (const uint8_t *)"data", 4);

	fake_cluster_deliver_packet(cluster, node, bytes, length);
	while (cluster->output_count && cluster->outputs[0].is_to_server) {
		const struct cm_endpoint *server = &cluster->outputs[0].server;

		if (cm_endpoint_equal(server, &flow->server))
			return last_output_has_payload();
		if (cm_endpoint_equal(server, silent))
			return false;
		flow_answer_reset(flow, node);
	}
	return false;
}

UNIT_CASE("flow", "search", flows_setup, flows_teardown, UNIT_TIMEOUT_S);

/*
 * After an RST, the probe sends only the saved header, without payload, to the
 * next candidate. A server that holds the flow does not answer such a segment.
 * The probe must send the caller's retransmission to this server too before it
 * continues with the next one. If _i is 1, the first candidate is silent too.
 */
TEST_LOOP(probe_waits_for_the_callers_data, 0, 2)
{
	struct flow flow = { .caller = flows_caller(77) };
	struct cm_endpoint silent = { 0 };
	uint32_t tries = 0;

	flow.server = flow_candidate(&flow, 2)->spec.address;
	if (_i)
		silent = flow_candidate(&flow, 0)->spec.address;
	while (!data_reaches_server(&flow, &silent, tries % FLOWS_NODES)) {
		ck_assert_uint_lt(++tries, 3);
		fake_cluster_advance(cluster, 1600);
	}
}

/*
 * A note that arrives during a probe changes the order of the candidates. The
 * probe must start over; otherwise it would skip a server.
 */
TEST(probe_starts_over_after_a_new_note)
{
	struct flow flow = { .caller = flows_caller(78), .isn = 100 };

	flow.server = flow_candidate(&flow, 2)->spec.address;
	flow_send(&flow, 0, CM_TCP_ACK, 101, 501);
	flow_answer_reset(&flow, 1);
	fake_cluster_publish_changes(
		cluster,
		"\"backend_servers\":{\"withdraw\":[{\"name\":\"%s\"}]}",
		flow_candidate(&flow, 1)->spec.name);
	fake_cluster_advance(cluster, 100);
	ck_assert(flow_reaches_server(&flow, 2, 101));
}

/* Gives @node a list of members in which the running node @dead is dead. */
static void mark_dead_at(uint32_t node, uint32_t dead)
{
	struct cm_member members[FLOWS_NODES];

	memcpy(members, cluster->members, sizeof(members));
	members[dead].state = CM_MEMBER_DEAD;
	ASSERT_OK(cm_node_set_members(&cluster->nodes[node], members,
				      FLOWS_NODES));
}

static bool is_first_candidate_draining(const struct flow *flow)
{
	return flow_candidate(flow, 0)->spec.state == CM_SERVER_DRAINING;
}

static void assert_reached_without_probe(const struct flow *flow, uint32_t node)
{
	uint64_t probes = fake_cluster_total(cluster, CM_C_PROBES_STARTED);

	ck_assert(flow_reaches_server(flow, node, 102));
	ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_PROBES_STARTED),
			  probes);
}

/*
 * No instance has an entry of the flow, so its directory probes. The RST that
 * answers the probe arrives at an instance in whose view the directory is dead.
 * The RST must reach the directory, which then probes the next server.
 */
TEST(reset_reaches_the_instance_that_probes)
{
	struct flow flow = { .caller = flows_caller(79) };
	uint32_t directory, other;

	directory = flow_home(&flow);
	/* The probe that flow_home() started expires after 60 s. */
	fake_cluster_advance(cluster, 61000);
	flows_kill(directory);
	fake_cluster_start(cluster, directory);
	fake_cluster_advance(cluster, FLOWS_SETTLE_MS);
	other = flows_live_node(directory + 1);
	mark_dead_at(other, directory);
	flow_send(&flow, directory, CM_TCP_ACK, 101, 501);
	ck_assert_uint_eq(cluster->output_count, 1);
	flow_answer_reset(&flow, other);
	ck_assert_uint_eq(cluster->output_count, 1);
	ck_assert(cluster->outputs[0].is_to_server);
	ck_assert_uint_eq(cluster->outputs[0].node, directory);
}

/*
 * The directory of a flow dies. The binding was also announced to the instance
 * that becomes the directory, so no probe is needed to find the flow.
 */
TEST(binding_survives_death_of_directory)
{
	struct flow *flow = &flows[0];
	uint32_t directory = 0;

	flows_drain("s1");
	for (uint32_t i = 0; i < 2000; i++) {
		flow->caller = flows_caller(i);
		if (!is_first_candidate_draining(flow))
			continue;
		directory = flow_directory(flow);
		ck_assert(flow_open(flow, i, 100));
		if (flow_home(flow) != directory)
			break;
	}
	ck_assert_uint_ne(flow_home(flow), directory);
	flows_kill(directory);
	assert_reached_without_probe(flow, flows_live_node(3));
}

/*
 * A restarted instance becomes the directory of a flow. An instance in whose
 * view it is still dead relays lookups to the former directory, which must
 * still use the binding.
 */
TEST(former_directory_still_answers)
{
	struct flow *flow = &flows[0];
	uint32_t joined, other, i = 0;

	flows_drain("s1");
	do
		flow->caller = flows_caller(i++);
	while (!is_first_candidate_draining(flow));
	joined = flow_directory(flow);
	flows_kill(joined);
	ck_assert(flow_open(flow, i - 1, 100));
	other = flows_live_node(joined + 1);
	flows_stop_announcing();
	fake_cluster_start(cluster, joined);
	mark_dead_at(other, joined);
	fake_cluster_advance(cluster, FLOWS_SETTLE_MS);
	assert_reached_without_probe(flow, other);
}

/* The caller may be reset only after all six servers have rejected the flow. */
TEST(unknown_flow_is_reset_once)
{
	static const struct cm_endpoint service = FAKE_SERVICE_TCP;
	struct flow flow = { .caller = flows_caller(7) };
	struct cm_packet packet;
	uint32_t servers = 0;

	flow_send(&flow, 4, CM_TCP_ACK, 101, 501);
	while (cluster->output_count == 1 && cluster->outputs[0].is_to_server) {
		servers++;
		flow_answer_reset(&flow, 5);
	}
	ck_assert_uint_eq(servers, 6);
	ck_assert_uint_eq(cluster->output_count, 1);
	flows_read_output(0, &packet);
	ck_assert(packet.flags & CM_TCP_RST);
	ck_assert_uint_eq(packet.seq, 501);
	ck_assert(cm_endpoint_equal(&packet.source, &service));
}

/*
 * All instances restart without the flow, and its server does not answer the
 * probes. A silent server may hold the flow, so the caller must not be reset.
 */
TEST(silence_of_a_server_does_not_reset_the_caller)
{
	struct flow *flow = &flows[0];

	flows_open_all();
	for (uint32_t node = 0; node < FLOWS_NODES; node++)
		fake_cluster_start(cluster, node);
	for (int i = 0; i < 40; i++) {
		flow_send(flow, (uint32_t)i % FLOWS_NODES, CM_TCP_ACK, 101,
			  501);
		if (cluster->output_count && cluster->outputs[0].is_to_server &&
		    !cm_endpoint_equal(&cluster->outputs[0].server,
				       &flow->server))
			flow_answer_reset(flow, 1);
		for (uint32_t k = 0; k < cluster->output_count; k++)
			ck_assert(cluster->outputs[k].is_to_server);
		fake_cluster_advance(cluster, 300);
	}
}

/*
 * An RST of another server than the flow's may answer an old probe. It must not
 * end the flow.
 */
TEST(late_reset_of_another_server_is_dropped)
{
	struct cm_endpoint other = { FAKE_FIRST_SERVER_ADDRESS, 80, 6 };

	flows_open_all();
	if (cm_endpoint_equal(&flows[0].server, &other))
		other.address++;
	flow_answer(&flows[0], other, 3, CM_TCP_RST, 501, 0);
	ck_assert_uint_eq(cluster->output_count, 0);
	ck_assert(flow_reaches_server(&flows[0], 4, 102));
}
