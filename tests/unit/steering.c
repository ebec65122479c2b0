#include "unit/steering.h"

#include <netinet/in.h>
#include <stdio.h>

#include "unit/suites.h"

#define TICK_MS 25
#define CALLER_ADDRESS 0x64400007
#define SERVER_ADDRESS 0x0a010000
#define SERVER_PORT 8080
#define SECOND_DOMAIN_ID_BASE 100

const struct cm_endpoint steering_route = { 0xc6120001, 443, IPPROTO_TCP };

struct cm_steer steering;
uint64_t steering_ms;

void steering_setup(void)
{
	const struct cm_steer_config config = {
		.domain = "a",
		.flows_max = STEERING_FLOWS_MAX,
		.flow_life_ms = STEERING_FLOW_LIFE_MS,
		.domain_out_ms = STEERING_DOMAIN_OUT_MS,
		.registry_fresh_ms = STEERING_REGISTRY_FRESH_MS,
		.lapse_grace_ms = STEERING_LAPSE_GRACE_MS,
	};

	steering_ms = STEERING_START_MS;
	cm_steer_init(&steering, &config);
	cm_steer_tick(&steering, steering_ms);
}

void steering_teardown(void)
{
	cm_steer_finish(&steering);
}

static void set_plan(uint64_t version, uint32_t cold_per_s,
		     uint32_t objective_ms)
{
	const struct cm_steer_route route = {
		.address = steering_route,
		.objective_ms = objective_ms,
		.target_count = 1,
		.targets = { { "ledger", 1 } },
	};
	const struct cm_steer_service service = { "ledger", cold_per_s };
	struct cm_steer_plan plan;

	ASSERT_OK(cm_steer_plan_init(&plan, version, 1, 1));
	ASSERT_OK(cm_steer_plan_add_route(&plan, &route));
	cm_steer_plan_add_service(&plan, &service);
	ASSERT_OK(cm_steer_plan_seal(&plan));
	ASSERT_OK(cm_steer_set_plan(&steering, &plan));
}

void steering_set_plan(uint64_t version, uint32_t cold_per_s)
{
	set_plan(version, cold_per_s, 0);
}

void steering_set_plan_with_objective(uint64_t version, uint32_t objective_ms)
{
	set_plan(version, 0, objective_ms);
}

struct cm_server_entry steering_make_entry(uint64_t id, const char *domain)
{
	struct cm_server_entry entry = {
		.id = id,
		.service = "ledger",
		.address = { SERVER_ADDRESS + (uint32_t)id, SERVER_PORT,
			     IPPROTO_UDP },
		.slots = 2,
	};

	snprintf(entry.domain, sizeof(entry.domain), "%s", domain);
	return entry;
}

void steering_add_server(uint64_t id, const char *domain)
{
	struct cm_server_entry entry = steering_make_entry(id, domain);

	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
}

void steering_make_ready(uint32_t count)
{
	steering_set_plan(1, 0);
	for (uint64_t i = 1; i <= count; i++) {
		steering_add_server(i, "a");
		steering_add_server(SECOND_DOMAIN_ID_BASE + i, "b");
	}
	cm_steer_registry_answered(&steering, steering_ms);
	cm_steer_probe_succeeded(&steering, steering_ms, 0);
}

static struct cm_steer_verdict
input_packet(const struct cm_steer_packet *packet)
{
	struct cm_steer_verdict verdict;

	cm_steer_packet(&steering, steering_ms, packet, &verdict);
	return verdict;
}

static struct cm_steer_packet make_packet(uint16_t port)
{
	const struct cm_steer_packet packet = {
		.key = { { CALLER_ADDRESS, port, IPPROTO_TCP },
			 steering_route },
	};

	return packet;
}

struct cm_steer_verdict steering_send_syn(uint16_t port, uint32_t repeats)
{
	struct cm_steer_packet packet = make_packet(port);

	packet.flags = CM_STEER_SYN;
	packet.repeats = repeats;
	return input_packet(&packet);
}

struct cm_steer_verdict
steering_send_delayed_syn(uint16_t port, uint32_t repeats, uint32_t waited_ms)
{
	struct cm_steer_packet packet = make_packet(port);

	packet.flags = CM_STEER_SYN;
	packet.repeats = repeats;
	packet.waited_ms = waited_ms;
	return input_packet(&packet);
}

struct cm_steer_verdict steering_send_packet(uint16_t port, uint32_t token,
					     uint8_t flags)
{
	struct cm_steer_packet packet = make_packet(port);

	packet.flags = flags;
	packet.token = token;
	packet.ack = STEERING_FIRST_ACK;
	return input_packet(&packet);
}

void steering_send_data(uint16_t port, uint32_t token, uint32_t bytes)
{
	struct cm_steer_packet packet = make_packet(port);

	packet.flags = CM_STEER_ACK;
	packet.token = token;
	packet.data_length = 1;
	packet.ack = STEERING_FIRST_ACK + bytes;
	input_packet(&packet);
}

void steering_end_flow(uint16_t port, uint32_t token, uint32_t bytes)
{
	struct cm_steer_packet packet = make_packet(port);

	packet.flags = CM_STEER_ACK | CM_STEER_FIN;
	packet.token = token;
	packet.ack = STEERING_FIRST_ACK + bytes;
	input_packet(&packet);
}

uint64_t steering_run_flow(uint16_t port, uint32_t duration_ms)
{
	struct cm_steer_verdict verdict = steering_send_syn(port, 0);

	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
	steering_send_packet(port, verdict.token, CM_STEER_ACK);
	steering_advance(duration_ms);
	steering_end_flow(port, verdict.token, STEERING_ANSWER_BYTES);
	return verdict.server_id;
}

/* Reports an answer of the registry, unless the registry is unreachable or has
 * not answered before. */
static void refresh_registry(void)
{
	if (steering.registry_confirmed_ms && !steering.is_registry_unreachable)
		cm_steer_registry_answered(&steering, steering_ms);
}

void steering_advance(uint64_t ms)
{
	uint64_t end_ms = steering_ms + ms;

	while (steering_ms + TICK_MS < end_ms) {
		steering_ms += TICK_MS;
		refresh_registry();
		cm_steer_tick(&steering, steering_ms);
	}
	steering_ms = end_ms;
	refresh_registry();
	cm_steer_tick(&steering, steering_ms);
}

void steering_pause(uint64_t ms)
{
	steering_ms += ms;
	refresh_registry();
}

uint64_t steering_counter(enum cm_counter counter)
{
	return cm_counters_get(&steering.counters, counter);
}
