/*
 * Benchmark of a node that steers by token. Measures the time of a decision on
 * a SYN and on a later packet, and the memory for backend servers and peers,
 * and prints a line for each size of the fleet.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chervilmast/steer.h"
#include "ports/clock.h"

#define DOMAINS 6
#define SYNS 2000
#define PACKETS 200000
#define NS_PER_US 1000
#define START_MS 100000

static const struct cm_endpoint address = { 0xc6120001, 443, 6 };
static struct cm_steer steer;

static void add_plan(void)
{
	const struct cm_steer_route route = {
		.address = address,
		.target_count = 1,
		.targets = { { "ledger", 1 } },
	};
	struct cm_steer_plan plan;

	if (cm_steer_plan_init(&plan, 1, 1, 0))
		exit(EXIT_FAILURE);
	cm_steer_plan_add_route(&plan, &route);
	if (cm_steer_plan_seal(&plan) || cm_steer_set_plan(&steer, &plan))
		exit(EXIT_FAILURE);
}

static void add_fleet(uint32_t servers, uint32_t nodes)
{
	for (uint32_t i = 0; i < servers; i++) {
		struct cm_server_entry entry = { .id = i + 1, .slots = 2 };

		snprintf(entry.service, CM_NAME_SIZE, "ledger");
		snprintf(entry.domain, CM_NAME_SIZE, "domain-%u", i % DOMAINS);
		entry.address.address = i;
		cm_steer_put_server(&steer, START_MS, &entry);
	}
	for (uint32_t i = 0; i < nodes; i++) {
		struct cm_peer_entry entry = { .control = address };

		snprintf(entry.name, CM_NAME_SIZE, "node-%u", i);
		snprintf(entry.domain, CM_NAME_SIZE, "domain-%u", i % DOMAINS);
		cm_steer_put_peer(&steer, &entry);
	}
}

static uint32_t process_packet(uint32_t port, uint8_t flags, uint32_t token)
{
	const struct cm_steer_packet packet = {
		.key = { { port, (uint16_t)port, 6 }, address },
		.flags = flags,
		.token = token,
	};
	struct cm_steer_verdict verdict;

	cm_steer_packet(&steer, START_MS, &packet, &verdict);
	return verdict.token;
}

static void measure(uint32_t servers, uint32_t nodes)
{
	const struct cm_steer_config config = {
		.domain = "domain-0",
		.flows_max = SYNS,
		.flow_life_ms = 60000,
		.registry_fresh_ms = 3000,
	};
	size_t before = mallinfo2().uordblks;
	uint64_t begin_us, syn_us, packet_us;
	uint32_t token = 0;

	cm_steer_init(&steer, &config);
	add_plan();
	add_fleet(servers, nodes);
	cm_steer_registry_answered(&steer, START_MS);
	printf("servers=%u nodes=%u bytes=%zu", servers, nodes,
	       mallinfo2().uordblks - before);
	begin_us = cm_clock_us();
	for (uint32_t i = 0; i < SYNS; i++)
		token = process_packet(i, CM_STEER_SYN, 0);
	syn_us = cm_clock_us() - begin_us;
	begin_us = cm_clock_us();
	for (uint32_t i = 0; i < PACKETS; i++)
		process_packet(i % SYNS, CM_STEER_ACK, token);
	packet_us = cm_clock_us() - begin_us;
	printf(" syn_ns=%llu packet_ns=%llu\n",
	       (unsigned long long)(syn_us * NS_PER_US / SYNS),
	       (unsigned long long)(packet_us * NS_PER_US / PACKETS));
	cm_steer_finish(&steer);
}

int main(void)
{
	measure(18, 9);
	measure(150, 78);
	measure(1500, 300);
	measure(7000, 840);
	return EXIT_SUCCESS;
}
