#include "unit/suites.h"

#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>

#include "chervilmast/node_status.h"
#include "fake/random.h"
#include "fake/tcp_end.h"
#include "unit/flows.h"

#define NODES FLOWS_SMALL_NODES
#define PACKET_THREADS 3
#define PACKETS 4000
#define CHANGES 60
#define PORTS 500
#define PACKET_SIZE 512

static const struct cm_endpoint service = FAKE_SERVICE_TCP;

static uint8_t draw_flags(struct fake_random *random)
{
	static const uint8_t flags[] = { CM_TCP_SYN, CM_TCP_SYN, CM_TCP_ACK,
					 CM_TCP_ACK | CM_TCP_FIN, CM_TCP_RST };

	return flags[fake_random_below(random, sizeof(flags))];
}

static size_t draw_packet(struct fake_random *random, uint8_t *bytes)
{
	uint32_t number = fake_random_below(random, run.config.servers);
	struct cm_endpoint caller = { 0xc6336401, 0, IPPROTO_TCP };
	struct cm_endpoint server = { FAKE_FIRST_SERVER_ADDRESS + number, 80,
				      IPPROTO_TCP };
	bool is_answer = fake_random_below(random, 2);

	caller.port = (uint16_t)(1 + fake_random_below(random, PORTS));
	if (is_answer)
		return fake_segment_build(bytes, &server, &caller,
					  CM_TCP_ACK | draw_flags(random), 7, 9,
					  NULL, 0);
	return fake_segment_build(bytes, &caller, &service, draw_flags(random),
				  7, 9, NULL, 0);
}

/* Thread that passes random packets to the node; @user points to the seed. */
static void *pass_packets(void *user)
{
	struct fake_random random = { .state = *(const uint64_t *)user };
	struct cm_actions actions;
	struct cm_packet packet;
	uint8_t bytes[PACKET_SIZE];

	cm_actions_init(&actions);
	for (int i = 0; i < PACKETS; i++) {
		size_t length = draw_packet(&random, bytes);

		if (cm_packet_parse(&packet, bytes, length))
			continue;
		cm_actions_clear(&actions);
		cm_node_packet(&cluster->nodes[0],
			       cluster->now_ms + (uint64_t)i, &packet, NULL,
			       &actions);
	}
	cm_actions_finish(&actions);
	return NULL;
}

static void *set_members(void *user)
{
	struct cm_member members[NODES];

	(void)user;
	for (int i = 0; i < NODES; i++)
		members[i] = cluster->members[i];
	for (int i = 0; i < CHANGES; i++) {
		members[1].state = i % 2 ? CM_MEMBER_ALIVE : CM_MEMBER_DEAD;
		ASSERT_OK(cm_node_set_members(&cluster->nodes[0], members,
					      NODES));
	}
	return NULL;
}

static void apply_domain(uint64_t version, enum cm_domain_state state)
{
	struct cm_note note;

	cm_note_init(&note);
	ASSERT_OK(cm_note_reserve(&note, 1, 0, 0));
	note.version = version;
	note.published_at_s = 1;
	note.domains[0].change = CM_CHANGE_UPDATE;
	note.domains[0].spec = cluster->nodes[1].view.catalog.domains[2].spec;
	note.domains[0].spec.state = state;
	ASSERT_OK(
		cm_node_apply_note(&cluster->nodes[0], cluster->now_ms, &note));
	cm_note_finish(&note);
}

static void *apply_notes(void *user)
{
	(void)user;
	for (uint64_t i = 0; i < CHANGES; i++)
		apply_domain(2 + i, i % 2 ? CM_DOMAIN_IN : CM_DOMAIN_OUT);
	return NULL;
}

static void *tick(void *user)
{
	struct cm_actions actions;

	(void)user;
	cm_actions_init(&actions);
	for (int i = 0; i < CHANGES; i++) {
		cm_actions_clear(&actions);
		cm_node_tick(&cluster->nodes[0],
			     cluster->now_ms + (uint64_t)i * 100, &actions);
	}
	cm_actions_finish(&actions);
	return NULL;
}

static void *read_status(void *user)
{
	struct cm_node_server_status *servers;
	struct cm_node_status status;
	struct cm_member *members;
	uint32_t count;

	(void)user;
	for (int i = 0; i < CHANGES; i++) {
		cm_node_status_read(&cluster->nodes[0], &status);
		if (!cm_node_servers(&cluster->nodes[0], &servers, &count))
			free(servers);
		if (!cm_node_members(&cluster->nodes[0], &members, &count))
			free(members);
	}
	return NULL;
}

/* Thread functions that use the node concurrently with the packet threads. */
static void *(*const other_threads[])(void *user) = { set_members, apply_notes,
						      tick, read_status };

#define OTHER_THREADS (sizeof(other_threads) / sizeof(*other_threads))

UNIT_CASE("threads", "node", NULL, NULL, 60);

TEST(one_node_serves_many_threads)
{
	pthread_t threads[PACKET_THREADS + OTHER_THREADS];
	uint64_t seeds[PACKET_THREADS];
	size_t count = 0;

	flows_setup_small();
	for (uint64_t i = 0; i < PACKET_THREADS; i++) {
		seeds[i] = i + 1;
		pthread_create(&threads[count++], NULL, pass_packets,
			       &seeds[i]);
	}
	for (size_t i = 0; i < OTHER_THREADS; i++)
		pthread_create(&threads[count++], NULL, other_threads[i], NULL);
	while (count)
		pthread_join(threads[--count], NULL);
	ck_assert_uint_eq(cm_node_version(&cluster->nodes[0]), 1 + CHANGES);
	ck_assert_uint_eq(cm_counters_get(&cluster->nodes[0].counters,
					  CM_C_PACKETS_FROM_FABRIC),
			  PACKET_THREADS * PACKETS);
	flows_teardown();
}

/*
 * Each thread reads the clock by itself, so a tick may have an earlier time
 * than a packet that was handled before. The negative age of the flow must not
 * wrap around and be taken for an idle timeout.
 */
TEST(tick_earlier_than_a_packet_ends_no_flow)
{
	struct flow flow = { .caller = flows_caller(0) };
	struct cm_actions actions;

	flows_setup_small();
	cm_actions_init(&actions);
	flow_send(&flow, 0, CM_TCP_SYN, 0, 0);
	flow.server = flows_output_server();
	for (int i = 0; i < 2; i++) {
		for (uint32_t node = 0; node < NODES; node++)
			cm_node_tick(&cluster->nodes[node], cluster->now_ms - 1,
				     &actions);
		ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_FLOWS_IDLE),
				  0);
		flow_answer(&flow, flow.server, 0, CM_TCP_SYN | CM_TCP_ACK,
			    1000, 1);
	}
	cm_actions_finish(&actions);
	flows_teardown();
}
