#include "unit/suites.h"

#include <string.h>

#include "chervilmast/steer_choice.h"
#include "unit/steering.h"

#define PORTS_MAX 1000

UNIT_CASE("steer", "choice", steering_setup, steering_teardown, UNIT_TIMEOUT_S);

/* Runs flows of 20 ms one after the other. Sets @flow_counts, an array of @ids
 * elements, to the number of flows of the server with each id. */
static void run_flows(uint32_t flows, uint32_t *flow_counts, size_t ids)
{
	memset(flow_counts, 0, ids * sizeof(*flow_counts));
	for (uint32_t i = 0; i < flows; i++) {
		uint64_t id =
			steering_run_flow((uint16_t)(i % PORTS_MAX + 1), 20);

		ck_assert_uint_lt(id, ids);
		flow_counts[id]++;
	}
}

TEST(flows_spread_evenly_over_the_own_domain)
{
	uint32_t flow_counts[128];

	steering_make_ready(4);
	run_flows(400, flow_counts, 128);
	for (int id = 1; id <= 4; id++)
		ck_assert_uint_eq(flow_counts[id], 100);
}

/* Starts a node with @seed and @count servers of its own failure domain. */
static void start_node(uint64_t seed, uint32_t count)
{
	steering_teardown();
	steering_setup();
	steering.config.seed = seed;
	cm_server_pools_init(&steering.servers.pools, seed);
	steering_set_plan(1, 0);
	for (uint32_t id = 1; id <= count; id++)
		steering_add_server(id, "a");
	cm_steer_registry_answered(&steering, steering_ms);
}

/* Nodes that start together have no data about each other's flows. If all of
 * them began with the same server, it would get the first flow of each. */
TEST(nodes_that_start_together_begin_with_different_servers)
{
	uint32_t first[41] = { 0 };
	uint32_t servers = 0;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		start_node(seed, 40);
		first[steering_send_syn(1, 0).server_id]++;
	}
	for (uint32_t id = 1; id <= 40; id++)
		servers += first[id] > 0;
	ck_assert_uint_ge(servers, 10);
}

/* A new server without flows must not be the next choice of all nodes at once,
 * which would overload it. */
TEST(new_server_is_not_the_next_choice_of_all_nodes)
{
	uint32_t flow_counts[128];
	uint32_t next = 0;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		start_node(seed, 10);
		run_flows(100, flow_counts, 128);
		steering_add_server(11, "a");
		next += steering_send_syn(2000, 0).server_id == 11;
	}
	ck_assert_uint_le(next, 6);
}

/* Although not all nodes choose a new server next, it gets about as many flows
 * as each of the others. */
TEST(new_server_gets_its_share)
{
	uint32_t flow_counts[128];

	start_node(7, 10);
	run_flows(100, flow_counts, 128);
	steering_add_server(11, "a");
	run_flows(220, flow_counts, 128);
	ck_assert_uint_ge(flow_counts[11], 15);
	ck_assert_uint_le(flow_counts[11], 25);
}

TEST(one_answer_clears_a_suspected_server)
{
	struct cm_steer_server *server;
	struct cm_steer_verdict verdict;

	steering_make_ready(1);
	verdict = steering_send_syn(1, 0);
	steering_advance(100);
	server = cm_steer_servers_find_by_id(&steering.servers,
					     verdict.server_id);
	ck_assert(cm_server_health_is_suspected(&server->health));
	steering_send_packet(1, verdict.token, CM_STEER_ACK);
	ck_assert(!cm_server_health_is_suspected(&server->health));
}

/* A server whose flows take five times as long as those of the others gets
 * clearly fewer flows. */
TEST(slow_server_gets_fewer_flows)
{
	uint32_t flow_counts[128] = { 0 };

	steering_make_ready(4);
	for (uint32_t i = 0; i < 400; i++) {
		uint16_t port = (uint16_t)(i + 1);
		struct cm_steer_verdict verdict = steering_send_syn(port, 0);

		steering_send_packet(port, verdict.token, CM_STEER_ACK);
		steering_advance(verdict.server_id == 1 ? 200 : 40);
		steering_end_flow(port, verdict.token, STEERING_ANSWER_BYTES);
		flow_counts[verdict.server_id]++;
	}
	ck_assert_uint_lt(flow_counts[1], 30);
	ck_assert_uint_gt(flow_counts[2], 80);
}

TEST(full_domain_spills_over)
{
	uint32_t remote = 0;

	steering_make_ready(2);
	for (uint16_t port = 1; port <= 12; port++) {
		struct cm_steer_verdict verdict = steering_send_syn(port, 0);

		steering_send_packet(port, verdict.token, CM_STEER_ACK);
		remote += verdict.server_id > 100;
	}
	ck_assert_uint_ge(remote, 4);
}

/* A server in its cold start gets at most cold-per-s new flows in 1 s. The
 * nodes that send flows to it share this rate. */
TEST(cold_server_gets_no_more_than_its_rate)
{
	struct cm_server_entry entry = steering_make_entry(1, "a");
	uint32_t forwarded = 0;

	steering_set_plan(1, 40);
	entry.cold_left_ms = 10000;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &entry));
	cm_steer_registry_answered(&steering, steering_ms);
	for (uint32_t i = 0; i < 500; i++) {
		uint16_t port = (uint16_t)(i + 1);
		struct cm_steer_verdict verdict = steering_send_syn(port, 0);

		if (verdict.action == CM_STEER_FORWARD) {
			forwarded++;
			steering_send_packet(port, verdict.token,
					     CM_STEER_ACK | CM_STEER_FIN);
		}
		steering_advance(2);
	}
	ck_assert_uint_le(forwarded, 40);
	ck_assert_uint_gt(forwarded, 5);
}

/* Guards against too many new flows to a server in its cold start: the
 * instances of its failure domain share its rate, and those of other domains
 * are not counted unless they have no server of their own. */
TEST(cold_server_gets_no_flow_of_a_domain_with_servers)
{
	struct cm_server_entry cold = steering_make_entry(101, "b");

	steering_set_plan(1, 40);
	cold.cold_left_ms = 10000;
	ASSERT_OK(cm_steer_put_server(&steering, steering_ms, &cold));
	steering_add_server(1, "a");
	cm_steer_registry_answered(&steering, steering_ms);
	for (uint16_t port = 1; port <= 50; port++) {
		ck_assert_uint_ne(steering_send_syn(port, 0).server_id, 101);
		steering_advance(2);
	}
	cm_steer_remove_server(&steering, steering_ms, 1);
	ck_assert_uint_eq(steering_send_syn(60, 0).server_id, 101);
}

TEST(route_is_split_by_weight)
{
	const struct cm_steer_route route = {
		.address = steering_route,
		.target_count = 3,
		.targets = { { "x", 90 }, { "y", 0 }, { "z", 10 } },
	};
	uint32_t x = 0, z = 0;
	struct cm_steer_plan plan;

	ASSERT_OK(cm_steer_plan_init(&plan, 1, 1, 0));
	ASSERT_OK(cm_steer_plan_add_route(&plan, &route));
	ASSERT_OK(cm_steer_plan_seal(&plan));
	for (uint64_t hash = 0; hash < 1000; hash++) {
		const char *service = cm_steer_plan_select_service(
			&plan, cm_steer_plan_find_route(&plan, &steering_route),
			hash);

		x += !strcmp(service, "x");
		z += !strcmp(service, "z");
	}
	cm_steer_plan_finish(&plan);
	ck_assert_uint_eq(x, 900);
	ck_assert_uint_eq(z, 100);
}

#define FLEET_NODES 60
#define FLEET_SERVERS 7000
/** Flows of each node. */
#define FLEET_FLOWS 700
/** Flows of a node that are open at a time. */
#define FLEET_OPEN 30

static uint32_t fleet_flow_counts[FLEET_SERVERS + 1];

static void end_flow(uint16_t port)
{
	const struct cm_flow_key key = { { 0x64400007, port, 6 },
					 steering_route };
	const struct cm_steer_flow *flow =
		cm_steer_flows_find(&steering.flows, &key);

	if (flow)
		steering_end_flow(port, flow->token, STEERING_ANSWER_BYTES);
}

static void run_fleet_node(uint64_t seed)
{
	start_node(seed, FLEET_SERVERS);
	for (uint16_t port = 1; port <= FLEET_FLOWS; port++) {
		struct cm_steer_verdict verdict = steering_send_syn(port, 0);

		ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
		fleet_flow_counts[verdict.server_id]++;
		steering_send_packet(port, verdict.token, CM_STEER_ACK);
		if (port > FLEET_OPEN)
			end_flow((uint16_t)(port - FLEET_OPEN));
	}
}

/*
 * A choice examines at most 64 servers on average and not all 7,000, so that
 * the cost of a SYN does not grow with the fleet. The flows of all nodes must
 * still be spread at least as evenly as by random choice: with 6 flows per
 * server on average, the busiest server gets no more than 18.
 */
TEST(choice_examines_only_some_of_many_servers)
{
	uint32_t busiest = 0;
	uint64_t before;

	memset(fleet_flow_counts, 0, sizeof(fleet_flow_counts));
	for (uint64_t seed = 1; seed <= FLEET_NODES; seed++)
		run_fleet_node(seed);
	for (uint32_t id = 1; id <= FLEET_SERVERS; id++)
		if (fleet_flow_counts[id] > busiest)
			busiest = fleet_flow_counts[id];
	ck_assert_uint_le(busiest,
			  3 * FLEET_NODES * FLEET_FLOWS / FLEET_SERVERS);
	/* The sums over all servers are cached and stay valid, so no server is
	 * examined for them. */
	before = steering.servers_examined;
	for (uint16_t port = 2000; port < 2100; port++)
		steering_send_syn(port, 0);
	ck_assert_uint_le(steering.servers_examined - before, 100 * 64);
}

/* Sets the known loads of the servers of the own failure domain, of which this
 * instance's flows cause @own, thousandths of a slot. */
static void set_known_loads(uint32_t own, uint32_t others)
{
	for (uint64_t id = 1; id <= 4; id++) {
		struct cm_steer_server *server =
			cm_steer_servers_find_by_id(&steering.servers, id);

		server->load.own = own;
		server->load.others = others;
		server->load.others_ms = steering_ms;
	}
}

static const char *domain_of_long_flow(void)
{
	const struct cm_choice_input choice = {
		.service = "ledger",
		.is_long = true,
		.now_ms = steering_ms,
	};
	enum cm_spare_capacity capacity;

	return cm_steer_choose(&steering, &choice, &capacity)->entry.domain;
}

/* Servers of another domain look idle, as only few loads there are known. A
 * long flow to them is lost when the domains are cut off from each other, so it
 * must stay in its domain while a slot is free there. */
TEST(long_flow_stays_in_its_domain_while_a_slot_is_free)
{
	steering_make_ready(4);
	set_known_loads(1500, 300);
	ck_assert_str_eq(domain_of_long_flow(), "a");
	set_known_loads(1500, 2500);
	ck_assert_str_eq(domain_of_long_flow(), "b");
}

/* Records responses of the servers of a failure domain. */
static void reject(uint64_t server_id, uint32_t rejections)
{
	const struct cm_steer_server *server =
		cm_steer_servers_find_by_id(&steering.servers, server_id);

	for (uint32_t i = 0; i < rejections; i++)
		cm_congestion_add(&server->group->congestion, steering_ms,
				  true);
}

/* Guards against new flows that go to the full servers of the own failure
 * domain although another one has room, and against flows that leave a domain
 * after a single rejection or while the others are as full. */
TEST(rejections_move_flows_to_a_domain_with_room)
{
	steering_make_ready(4);
	reject(1, 1);
	ck_assert_uint_lt(steering_send_syn(1, 0).server_id, 101);
	reject(1, 7);
	ck_assert_uint_ge(steering_send_syn(2, 0).server_id, 101);
	reject(101, 8);
	ck_assert_uint_lt(steering_send_syn(3, 0).server_id, 101);
}
