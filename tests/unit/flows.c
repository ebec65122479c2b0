#include "unit/flows.h"

#include <netinet/in.h>

#include "fake/tcp_end.h"
#include "unit/suites.h"

#define FIRST_PORT 20000
/* Maximum number of servers probed by flow_reaches_server(), with repeats. */
#define PROBES_MAX 24

static const struct cm_endpoint service = FAKE_SERVICE_TCP;

struct fake_service_run run;
struct fake_cluster *const cluster = &run.cluster;
struct flow flows[FLOWS_COUNT];
const struct cm_relay *flows_relay;

void flows_setup(void)
{
	static const uint32_t slots[] = { 2 };
	static const struct fake_service_config config = {
		.nodes = FLOWS_NODES,
		.servers = 6,
		.slots = slots,
		.slots_count = 1,
		.cap = 1000,
		.rate = 100000,
	};

	fake_service_run_init(&run, &config);
}

void flows_setup_small(void)
{
	static const struct fake_service_config config = {
		.nodes = FLOWS_SMALL_NODES,
		.servers = 6,
		.udp_servers = 6,
		.cap = 1000,
		.rate = 1000,
	};

	fake_service_run_init(&run, &config);
}

void flows_teardown(void)
{
	fake_service_run_finish(&run);
	flows_relay = NULL;
}

uint32_t flows_live_node(uint32_t wanted)
{
	while (!cluster->is_running[wanted % cluster->count])
		wanted++;
	return wanted % cluster->count;
}

struct cm_endpoint flows_caller(uint32_t i)
{
	struct cm_endpoint caller = {
		.address = 0xc6336401,
		.port = (uint16_t)(FIRST_PORT + i),
		.protocol = IPPROTO_TCP,
	};

	return caller;
}

static void deliver_segment(uint32_t node, const struct cm_endpoint *from,
			    const struct cm_endpoint *to, uint8_t flags,
			    uint32_t seq, uint32_t ack)
{
	uint8_t bytes[CM_BUILT_PACKET_SIZE_MAX];
	size_t length =
		fake_segment_build(bytes, from, to, flags, seq, ack, NULL, 0);
	struct cm_packet packet;

	ASSERT_OK(cm_packet_parse(&packet, bytes, length));
	fake_cluster_deliver_relayed(cluster, node, bytes, length, flows_relay);
}

void flow_send(const struct flow *flow, uint32_t node, uint8_t flags,
	       uint32_t seq, uint32_t ack)
{
	deliver_segment(node, &flow->caller, &service, flags, seq, ack);
}

void flow_answer(const struct flow *flow, struct cm_endpoint server,
		 uint32_t node, uint8_t flags, uint32_t seq, uint32_t ack)
{
	deliver_segment(node, &server, &flow->caller, flags, seq, ack);
}

void flow_answer_reset(const struct flow *flow, uint32_t node)
{
	flow_answer(flow, cluster->outputs[0].server, node, CM_TCP_RST, 501, 0);
}

bool flow_open(struct flow *flow, uint32_t i, uint32_t isn)
{
	flow->caller = flows_caller(i);
	flow->isn = isn;
	flow_send(flow, flows_live_node(i), CM_TCP_SYN, isn, 0);
	if (cluster->output_count != 1 || !cluster->outputs[0].is_to_server)
		return false;
	flow->server = cluster->outputs[0].server;
	flow_answer(flow, flow->server, flows_live_node(i + 1),
		    CM_TCP_SYN | CM_TCP_ACK, 500, isn + 1);
	ck_assert_uint_eq(cluster->output_count, 1);
	ck_assert(!cluster->outputs[0].is_to_server);
	flow_send(flow, flows_live_node(i + 2), CM_TCP_ACK, isn + 1, 501);
	ck_assert_uint_eq(cluster->output_count, 1);
	ck_assert(
		cm_endpoint_equal(&cluster->outputs[0].server, &flow->server));
	return true;
}

void flows_open_all(void)
{
	for (uint32_t i = 0; i < FLOWS_COUNT; i++)
		ck_assert(flow_open(&flows[i], i, 100));
}

bool flow_reaches_server(const struct flow *flow, uint32_t node, uint32_t seq)
{
	flow_send(flow, node, CM_TCP_ACK, seq, 501);
	for (int i = 0; i < PROBES_MAX; i++) {
		if (cluster->output_count != 1 ||
		    !cluster->outputs[0].is_to_server)
			return false;
		if (cm_endpoint_equal(&cluster->outputs[0].server,
				      &flow->server))
			return true;
		flow_answer_reset(flow, flows_live_node(node + 1));
	}
	return false;
}

uint32_t flows_count_lost(void)
{
	uint32_t lost = 0;
	uint32_t seq = 1;

	for (uint32_t i = 0; i < FLOWS_COUNT; i++)
		for (uint32_t node = 0; node < FLOWS_NODES; node++)
			if (cluster->is_running[node] &&
			    !flow_reaches_server(&flows[i], node,
						 flows[i].isn + seq++))
				lost++;
	return lost;
}

uint32_t flow_home(const struct flow *flow)
{
	flow_send(flow, flows_live_node(0), CM_TCP_ACK, 101, 501);
	ck_assert_uint_eq(cluster->output_count, 1);
	return cluster->outputs[0].node;
}

void flows_kill(uint32_t node)
{
	fake_cluster_kill(cluster, node);
	fake_cluster_update_members(cluster);
	fake_cluster_advance(cluster, FLOWS_SETTLE_MS);
}

void flows_change(const char *text)
{
	fake_cluster_publish_changes(cluster, "%s", text);
	fake_cluster_advance(cluster, FLOWS_SETTLE_MS);
}

void flows_drain(const char *name)
{
	fake_cluster_publish_changes(
		cluster,
		"\"backend_servers\":{\"change\":[{\"name\":"
		"\"%s\",\"state\":\"draining\"}]}",
		name);
	fake_cluster_advance(cluster, FLOWS_SETTLE_MS);
}

void flows_set_domain(const char *name, const char *state)
{
	fake_cluster_publish_changes(
		cluster,
		"\"failure_domains\":{\"change\":[{\"name\":\"%s\","
		"\"state\":\"%s\"}]}",
		name, state);
}

static void find_candidates(const struct flow *flow,
			    struct cm_candidates *candidates)
{
	struct cm_flow_key key = { flow->caller, service };

	cm_view_candidates(&cluster->nodes[0].view, 0, cm_flow_key_hash(&key),
			   candidates);
}

const struct cm_server *flow_candidate(const struct flow *flow, uint32_t rank)
{
	struct cm_candidates candidates;

	find_candidates(flow, &candidates);
	return &cluster->nodes[0]
			.view.catalog.servers[candidates.servers[rank]];
}

uint32_t flow_directory(const struct flow *flow)
{
	struct cm_candidates candidates;

	find_candidates(flow, &candidates);
	return cm_view_directory(&cluster->nodes[0].view, &candidates);
}

void flows_stop_announcing(void)
{
	for (uint32_t node = 0; node < FLOWS_NODES; node++) {
		cluster->nodes[node].announce_budget.per_s = 0;
		cluster->nodes[node].announce_budget.tokens = 0;
	}
}

void flows_read_output(uint32_t index, struct cm_packet *packet)
{
	struct fake_output *output = &cluster->outputs[index];

	ck_assert_int_eq(cm_packet_parse(packet, output->bytes, output->length),
			 0);
}

struct cm_endpoint flows_output_server(void)
{
	ck_assert_uint_eq(cluster->output_count, 1);
	ck_assert(cluster->outputs[0].is_to_server);
	return cluster->outputs[0].server;
}

void flows_assert_no_output(void)
{
	ck_assert_uint_eq(cluster->output_count, 0);
	ck_assert_uint_eq(cluster->relays, 0);
	ck_assert_uint_eq(cluster->bindings_sent, 0);
}
