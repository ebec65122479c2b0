/*
 * Uses the installed library without the daemon, with a fabric that echoes
 * tokens: passes a SYN and later packets to a node with one route and two
 * backend servers and prints its verdicts.
 *
 *	cc -o embed_steer embed_steer.c \
 *		$(pkg-config --cflags --libs chervilmast)
 */
#include <chervilmast/error.h>
#include <chervilmast/steer.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#define NOW_MS 1000000

static const struct cm_endpoint route_address = { 0xc6120001, 443,
						  IPPROTO_TCP };

static int add_plan(struct cm_steer *steer)
{
	const struct cm_steer_route route = {
		.address = route_address,
		.target_count = 1,
		.targets = { { "ledger", 1 } },
	};
	struct cm_steer_plan plan;
	int error = cm_steer_plan_init(&plan, 1, 1, 0);

	if (error)
		return error;
	error = cm_steer_plan_add_route(&plan, &route);
	if (!error)
		error = cm_steer_plan_seal(&plan);
	if (!error)
		error = cm_steer_set_plan(steer, &plan);
	return error;
}

static int add_server(struct cm_steer *steer, uint64_t id, const char *domain)
{
	struct cm_server_entry entry = {
		.id = id,
		.service = "ledger",
		.address = { 0x0a800000 + (uint32_t)id, 8080, IPPROTO_UDP },
		.slots = 2,
	};

	snprintf(entry.domain, sizeof(entry.domain), "%s", domain);
	return cm_steer_put_server(steer, NOW_MS, &entry);
}

static void print_verdict(const char *what,
			  const struct cm_steer_verdict *verdict)
{
	static const char *const kinds[] = { "drop", "forward", "reset" };

	printf("%s: %s (%s), server %llu\n", what, kinds[verdict->action],
	       cm_counter_name(verdict->reason),
	       (unsigned long long)verdict->server_id);
}

static void process_packets(struct cm_steer *steer)
{
	struct cm_steer_packet packet = {
		.key = { { 0x64400007, 40001, IPPROTO_TCP }, route_address },
		.flags = CM_STEER_SYN,
	};
	struct cm_steer_verdict verdict;

	cm_steer_packet(steer, NOW_MS, &packet, &verdict);
	print_verdict("SYN", &verdict);
	packet.flags = CM_STEER_ACK;
	packet.token = verdict.token;
	cm_steer_packet(steer, NOW_MS + 7, &packet, &verdict);
	print_verdict("ACK with its token", &verdict);
	packet.token++;
	cm_steer_packet(steer, NOW_MS + 8, &packet, &verdict);
	print_verdict("ACK with another token", &verdict);
}

int main(void)
{
	const struct cm_steer_config config = {
		.domain = "a",
		.flows_max = 1024,
		.flow_life_ms = 60000,
		.domain_out_ms = 4500,
		.registry_fresh_ms = 3000,
		.lapse_grace_ms = 2500,
	};
	static struct cm_steer steer;
	int error;

	cm_steer_init(&steer, &config);
	error = add_plan(&steer);
	if (!error)
		error = add_server(&steer, 1, "a");
	if (!error)
		error = add_server(&steer, 2, "b");
	cm_steer_registry_answered(&steer, NOW_MS);
	if (error)
		fprintf(stderr, "embed_steer: %s\n", cm_error_name(error));
	else
		process_packets(&steer);
	cm_steer_finish(&steer);
	return error ? 1 : 0;
}
