#include "unit/suites.h"

#include <string.h>

#include "unit/flows.h"

#define SERVERS 6
#define DRAIN_ALL SERVERS

static struct flow flow;

/*
 * Node 1 does not run, but is ALIVE in the view of node 0. Packets that node 0
 * relays to node 1 are lost, and the tests send to node 0 the packets that node
 * 1 would relay.
 */
static void setup(void)
{
	static const struct fake_service_config config = {
		.nodes = 2,
		.domains = 2,
		.servers = SERVERS,
		.udp_servers = 1,
		.cap = 12,
		.rate = 60,
	};

	fake_service_run_init(&run, &config);
	fake_cluster_kill(cluster, 1);
}

static uint32_t home_of(const struct cm_server *server)
{
	const struct cm_view *view = &cluster->nodes[0].view;

	return view->homes[server - view->catalog.servers].member;
}

static bool have_homes(const uint32_t *homes, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (home_of(flow_candidate(&flow, i)) != homes[i])
			return false;
	return true;
}

/* Finds a caller whose first candidates have these homes, in this order. */
static void find_caller(const uint32_t *homes, uint32_t count)
{
	uint32_t i = 0;

	do
		flow.caller = flows_caller(i++);
	while (!have_homes(homes, count));
}

static struct cm_endpoint candidate(uint32_t rank)
{
	return flow_candidate(&flow, rank)->spec.address;
}

static void send_syn(void)
{
	flow_send(&flow, 0, CM_TCP_SYN, 99, 0);
}

/*
 * Drains all servers of node 0 except the candidate of rank @spared. Node 0,
 * the home of the first candidate, then relays a SYN to node 1, the home of the
 * second.
 */
static void drain_and_send_syn(uint32_t spared)
{
	const struct cm_server *servers =
		cluster->nodes[0].view.catalog.servers;
	char names[SERVERS][CM_NAME_SIZE];
	uint32_t count = 0;

	find_caller((const uint32_t[]){ 0, 1, 0 }, 3);
	for (uint32_t i = 0; i < SERVERS; i++)
		if (home_of(&servers[i]) == 0 &&
		    (spared == DRAIN_ALL ||
		     &servers[i] != flow_candidate(&flow, spared)))
			memcpy(names[count++], servers[i].spec.name,
			       CM_NAME_SIZE);
	for (uint32_t i = 0; i < count; i++)
		flows_drain(names[i]);
	send_syn();
	ck_assert_uint_eq(cluster->relays, 1);
}

UNIT_CASE("pass_on", "pass_on", setup, flows_teardown, UNIT_TIMEOUT_S);

/*
 * Node 0, home of the first and the third candidate, has relayed the SYN to
 * node 1, home of the second, which relays it back for admission to the third.
 * The flow entry of node 0 still names the second candidate. The SYN must go to
 * the third one and not be relayed to node 1 again.
 */
TEST(relayed_syn_that_returns_tries_next_candidate)
{
	struct cm_endpoint server;
	struct cm_relay relay;

	drain_and_send_syn(2);
	relay = cluster->relay;
	ck_assert_int_eq(relay.kind, CM_RELAY_ADMIT);
	relay.hops++;
	relay.kind_data |= 1u << 2;
	relay.server = candidate(2);
	flows_relay = &relay;
	send_syn();
	server = flows_output_server();
	ck_assert(cm_endpoint_equal(&server, &relay.server));
}

/*
 * An old SYN has opened a second connection, whose SYN-ACK did not pass through
 * this instance. The server of the second connection answers segments of the
 * first connection with an RST. The RST must not reach the caller, as it would
 * end the first connection.
 */
TEST(reset_of_an_unconfirmed_flow_is_dropped)
{
	struct cm_relay relay = { .kind = CM_RELAY_ADMIT,
				  .kind_data = 1,
				  .hops = 2,
				  .version = 1,
				  .service = FAKE_SERVICE_TCP };

	find_caller((const uint32_t[]){ 1, 0 }, 2);
	relay.server = candidate(1);
	flows_relay = &relay;
	send_syn();
	flow.server = flows_output_server();
	relay.kind = CM_RELAY_BOUND;
	relay.kind_data = 0;
	flow_send(&flow, 0, CM_TCP_ACK, 100, 2000);
	relay.kind = CM_RELAY_RETURN;
	relay.kind_data = 2;
	flow_answer(&flow, flow.server, 0, CM_TCP_RST, 2000, 0);
	flows_assert_no_output();
}

/*
 * A SYN-ACK has confirmed a server when a binding to another server is
 * announced. The other server is not confirmed by that, so its RST must not
 * reach the caller.
 */
TEST(announced_server_is_not_confirmed_by_former_one)
{
	struct cm_flow_key key = { .service = FAKE_SERVICE_TCP };
	struct cm_endpoint announced_server;

	find_caller((const uint32_t[]){ 0, 1, 1 }, 3);
	announced_server = candidate(2);
	flow_answer(&flow, candidate(1), 0, CM_TCP_SYN | CM_TCP_ACK, 1000, 100);
	key.caller = flow.caller;
	cm_node_record_binding(&cluster->nodes[0], cluster->now_ms, &key,
			       &announced_server);
	flow_answer(&flow, announced_server, 0, CM_TCP_RST, 1001, 0);
	flows_assert_no_output();
}

/*
 * A SYN was relayed to a home that dies afterwards. The repeated SYN must go
 * through admission again; a probe would send it to servers that have not
 * admitted the flow.
 */
TEST(syn_whose_next_home_died_is_admitted_anew)
{
	struct cm_member members[2] = { cluster->members[0],
					cluster->members[1] };

	drain_and_send_syn(DRAIN_ALL);
	memcpy(members[0].domain, members[1].domain, CM_NAME_SIZE);
	members[1].state = CM_MEMBER_DEAD;
	ASSERT_OK(cm_node_set_members(&cluster->nodes[0], members, 2));
	cluster->now_ms += 390;
	send_syn();
	for (int i = 0; i < CM_FLOW_SHARDS; i++) {
		struct cm_flow *at;

		TAILQ_FOREACH (at, &cluster->nodes[0].flows.shards[i].half_open,
			       age)
			ck_assert_int_ne(at->state, CM_FLOW_PROBING);
	}
}

/*
 * Another instance names a server of a different service than the flow's, in a
 * relay header (_i is 0) or in an announced binding (_i is 1).
 */
TEST_LOOP(server_of_another_service_gets_no_packet, 0, 2)
{
	static const struct cm_endpoint other_service = FAKE_SERVICE_UDP;
	const struct cm_catalog *catalog = &cluster->nodes[0].view.catalog;
	uint32_t other = cm_catalog_find_service(catalog, &other_service);
	struct cm_relay relay = { .kind = _i ? CM_RELAY_LOOKUP : CM_RELAY_BOUND,
				  .hops = 1,
				  .version = 1,
				  .service = FAKE_SERVICE_TCP };
	struct cm_flow_key key = { flows_caller(0), FAKE_SERVICE_TCP };

	flow.caller = flows_caller(0);
	relay.server = catalog->servers[catalog->services[other].first_server]
			       .spec.address;
	if (_i)
		cm_node_record_binding(&cluster->nodes[0], cluster->now_ms,
				       &key, &relay.server);
	flows_relay = &relay;
	flow_send(&flow, 0, CM_TCP_ACK, 100, 2000);
	ck_assert_uint_eq(cluster->output_count + cluster->relays, 1);
	for (uint32_t i = 0; i < cluster->output_count; i++)
		ck_assert(!cm_endpoint_equal(&cluster->outputs[i].server,
					     &relay.server));
	ck_assert(!cm_endpoint_equal(&cluster->relay.server, &relay.server));
	/* A relay header that names such a server is refused at once. After an
	 * announced binding, the flow's candidates are probed, so nothing is
	 * refused yet. */
	ck_assert_uint_eq(
		fake_cluster_total(cluster, CM_C_REFUSED_SERVER_WITHDRAWN),
		_i ? 0 : 1);
}

/* Whether the only packet that the last event caused went to @server. Fails the
 * test if there was not exactly one packet. */
static bool is_sent_to(struct cm_endpoint server)
{
	ck_assert_uint_eq(cluster->output_count + cluster->relays, 1);
	return cluster->output_count && cluster->outputs[0].is_to_server &&
	       cm_endpoint_equal(&cluster->outputs[0].server, &server);
}

/*
 * A relay header requests admission to a draining server, as its sender does
 * not have the note that drains the server yet.
 */
TEST(draining_server_named_by_relay_gets_no_syn)
{
	struct cm_relay relay = { .kind = CM_RELAY_ADMIT,
				  .kind_data = 1,
				  .hops = 1,
				  .version = 1,
				  .service = FAKE_SERVICE_TCP };

	find_caller((const uint32_t[]){ 1, 0 }, 2);
	relay.server = candidate(1);
	flows_drain(flow_candidate(&flow, 1)->spec.name);
	flows_relay = &relay;
	send_syn();
	ck_assert(!is_sent_to(relay.server));
}

/* Binds the flow to its second candidate by a SYN-ACK of that candidate. */
static void bind_by_answer(void)
{
	find_caller((const uint32_t[]){ 0, 0 }, 2);
	flow.server = candidate(1);
	flow_answer(&flow, flow.server, 0, CM_TCP_SYN | CM_TCP_ACK, 1000, 100);
}

/*
 * A repeated SYN goes to the server that has answered, unless that server is
 * draining (_i is 1).
 */
TEST_LOOP(repeated_syn_of_a_bound_flow, 0, 2)
{
	bind_by_answer();
	if (_i)
		flows_drain(flow_candidate(&flow, 1)->spec.name);
	send_syn();
	ck_assert_int_eq(is_sent_to(flow.server), !_i);
}

TEST(answer_of_another_server_is_dropped)
{
	bind_by_answer();
	flow_answer(&flow, candidate(0), 0, CM_TCP_FIN | CM_TCP_ACK, 1000, 100);
	flows_assert_no_output();
}
