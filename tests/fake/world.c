#include "fake/world.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

/* First address of the callers, in 198.51.100.0/24 of RFC 5737. */
#define FIRST_CALLER_ADDRESS 0xc6336401
#define FIRST_PORT 1024
#define LONG_ANSWER_PERCENT 5

uint8_t fake_answer_byte(const struct fake_request *request, size_t at)
{
	return (uint8_t)(request->id * 31 + request->service * 101 + at * 7 +
			 (at >> 8));
}

static void *allocate(size_t count, size_t size)
{
	/* One element more, so that a count of 0 does not yield NULL. */
	void *memory = calloc(count + 1, size);

	if (!memory)
		abort();
	return memory;
}

static void init_hosts(struct fake_world *world,
		       const struct cm_catalog *catalog)
{
	world->host_count = catalog->server_count;
	world->hosts = allocate(world->host_count, sizeof(*world->hosts));
	for (uint32_t i = 0; i < world->host_count; i++) {
		const struct cm_server *server = &catalog->servers[i];
		struct fake_host *host = &world->hosts[i];

		host->world = world;
		host->address = server->spec.address;
		host->load.spec = server->spec;
		host->service = catalog->services[server->service].spec.address;
		memcpy(host->domain, server->spec.domain, CM_NAME_SIZE);
		LIST_INIT(&host->connections);
	}
}

static void init_callers(struct fake_world *world)
{
	world->callers = allocate(world->caller_count, sizeof(*world->callers));
	for (uint32_t i = 0; i < world->caller_count; i++) {
		struct cm_endpoint address = {
			.address = FIRST_CALLER_ADDRESS + i,
			.port = FIRST_PORT,
			.protocol = IPPROTO_TCP,
		};

		fake_caller_init(&world->callers[i], world, &address);
	}
}

void fake_world_init(struct fake_world *world, const struct cm_catalog *catalog,
		     uint32_t instances, uint32_t callers, uint64_t seed,
		     uint64_t now_ms)
{
	memset(world, 0, sizeof(*world));
	world->random.state = seed;
	world->now_ms = now_ms;
	world->next_id = 1;
	world->long_answer_percent = LONG_ANSWER_PERCENT;
	world->instance_count = instances;
	for (uint32_t i = 0; i < instances; i++)
		world->instance_live[i] = true;
	world->run_counts = allocate(FAKE_REQUESTS_MAX, 1);
	world->refused_not_run = allocate(FAKE_REQUESTS_MAX, 1);
	world->service_count = catalog->service_count;
	world->services =
		allocate(world->service_count, sizeof(*world->services));
	for (uint32_t i = 0; i < world->service_count; i++)
		world->services[i] = catalog->services[i].spec.address;
	init_hosts(world, catalog);
	world->caller_count = callers;
	init_callers(world);
}

void fake_world_finish(struct fake_world *world)
{
	for (uint32_t i = 0; i < world->host_count; i++)
		fake_host_kill(&world->hosts[i]);
	for (uint32_t i = 0; i < world->caller_count; i++)
		fake_tcp_end_finish(&world->callers[i].end);
	free(world->run_counts);
	free(world->refused_not_run);
	free(world->services);
	free(world->hosts);
	free(world->callers);
}

void fake_world_tick(struct fake_world *world, uint64_t now_ms)
{
	world->now_ms = now_ms;
	for (uint32_t i = 0; i < world->host_count; i++)
		fake_host_tick(&world->hosts[i]);
	for (uint32_t i = 0; i < world->caller_count; i++)
		fake_caller_tick(&world->callers[i]);
}

void fake_world_receive_from_instance(struct fake_world *world, uint8_t *bytes,
				      size_t length)
{
	struct cm_packet packet;
	uint32_t caller;

	if (cm_packet_parse(&packet, bytes, length))
		return;
	caller = packet.destination.address - FIRST_CALLER_ADDRESS;
	if (caller < world->caller_count) {
		fake_caller_input(&world->callers[caller], &packet);
		return;
	}
	for (uint32_t i = 0; i < world->host_count; i++) {
		if (!cm_endpoint_equal(&world->hosts[i].address,
				       &packet.destination))
			continue;
		fake_host_input(&world->hosts[i], &packet);
		return;
	}
}

void fake_world_send_to_any_instance(struct fake_world *world,
				     const uint8_t *bytes, size_t length)
{
	uint32_t live[FAKE_INSTANCES_MAX];
	uint32_t count = 0;

	for (uint32_t i = 0; i < world->instance_count; i++)
		if (world->instance_live[i])
			live[count++] = i;
	if (!count)
		return;
	world->to_instance(world->user,
			   live[fake_random_below(&world->random, count)],
			   bytes, length);
}

bool fake_world_is_idle(const struct fake_world *world)
{
	for (uint32_t i = 0; i < world->caller_count; i++)
		if (world->callers[i].is_busy)
			return false;
	return true;
}

void fake_world_count_executions(struct fake_world *world)
{
	for (uint64_t id = 0; id < world->next_id; id++) {
		if (world->run_counts[id] > 1)
			world->totals.executed_twice++;
		if (world->run_counts[id] && world->refused_not_run[id])
			world->totals.false_not_run++;
	}
}
