#include "bench.h"

#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/tcp_end.h"
#include "fake/service_run.h"

#define SERVERS 15
#define PACKETS 4096
#define PACKET_SIZE 64
#define ROUNDS 100
#define THREADS 4
#define INSTANCES 9
#define NS_PER_S 1e9

/**
 * struct packets - segments of open flows
 * @node: node that processes the segments
 * @now_ms: virtual time at which @node processes them, ms
 * @bytes: the segments
 * @length: length of each segment, bytes
 */
struct packets {
	struct cm_node *node;
	uint64_t now_ms;
	uint8_t bytes[PACKETS][PACKET_SIZE];
	size_t length;
};

static struct fake_service_run run;
static struct packets packets;
static const uint32_t slots[] = { 1 };

static void open_flows(void)
{
	const struct cm_endpoint service = { 0xcb007101, 80, IPPROTO_TCP };
	struct fake_service_config config = {
		.nodes = INSTANCES,
		.servers = SERVERS,
		.slots = slots,
		.slots_count = 1,
		.cap = 100000,
		.rate = 100000,
		.seed = 1,
	};

	fake_service_run_init(&run, &config);
	for (uint32_t i = 0; i < PACKETS; i++) {
		struct fake_service_flow flow;

		if (fake_service_run_open(&run, &flow) != FAKE_OPENED)
			abort();
		fake_service_run_until(&run, run.cluster.now_ms + 1);
		packets.length = fake_segment_build(
			packets.bytes[i], &flow.caller, &service, CM_TCP_ACK,
			flow.isn + 1, 1, NULL, 0);
	}
	packets.node = &run.cluster.nodes[0];
	packets.now_ms = run.cluster.now_ms;
}

static void *process_packets(void *user)
{
	struct cm_actions actions;

	(void)user;
	cm_actions_init(&actions);
	for (uint32_t i = 0; i < ROUNDS * PACKETS; i++) {
		uint8_t bytes[PACKET_SIZE];
		struct cm_packet packet;

		memcpy(bytes, packets.bytes[i % PACKETS], packets.length);
		if (cm_packet_parse(&packet, bytes, packets.length))
			abort();
		cm_actions_clear(&actions);
		cm_node_packet(packets.node, packets.now_ms, &packet, NULL,
			       &actions);
	}
	cm_actions_finish(&actions);
	return NULL;
}

static double packets_per_s(uint32_t threads)
{
	pthread_t ids[THREADS];
	uint64_t begin_ns = bench_now_ns();

	for (uint32_t i = 0; i < threads; i++)
		if (pthread_create(&ids[i], NULL, process_packets, NULL))
			abort();
	for (uint32_t i = 0; i < threads; i++)
		pthread_join(ids[i], NULL);
	return (double)threads * ROUNDS * PACKETS * NS_PER_S /
	       (double)(bench_now_ns() - begin_ns);
}

static uint32_t count_flows(const struct cm_node *node)
{
	uint32_t count = 0;

	for (int i = 0; i < CM_FLOW_SHARDS; i++)
		count += node->flows.shards[i].count;
	return count;
}

/* After each change of the members, the next tick checks every flow. */
static double sweep_ns_per_flow(void)
{
	struct cm_node *node = &run.cluster.nodes[0];
	struct cm_actions actions;
	uint64_t spent_ns = 0;

	cm_actions_init(&actions);
	for (uint32_t i = 0; i < ROUNDS; i++) {
		uint64_t begin_ns;

		if (cm_node_set_members(node, run.cluster.members, INSTANCES))
			abort();
		begin_ns = bench_now_ns();
		cm_node_tick(node, run.cluster.now_ms, &actions);
		spent_ns += bench_now_ns() - begin_ns;
		cm_actions_clear(&actions);
	}
	cm_actions_finish(&actions);
	return (double)spent_ns / ROUNDS / count_flows(node);
}

void bench_packets(json_t *report)
{
	open_flows();
	bench_add_figure(report, "sweep_ns_per_flow", sweep_ns_per_flow());
	bench_add_figure(report, "core_packets_per_second_1_thread",
			 packets_per_s(1));
	bench_add_figure(report, "core_packets_per_second_4_threads",
			 packets_per_s(THREADS));
	fake_service_run_finish(&run);
}
