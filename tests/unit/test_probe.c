#include "unit/suites.h"

#include "unit/flows.h"

/*
 * Acknowledgment numbers of the caller. ACK can follow from the SYN-ACK of
 * these tests, whose sequence number is 1000; FOREIGN_ACK can't.
 */
#define ACK 2000
#define FOREIGN_ACK 3000000000

static struct flow flow;

static void setup(void)
{
	static const struct fake_service_config config = {
		.nodes = 1,
		.domains = 1,
		.servers = 3,
		.cap = 12,
		.rate = 60,
		.cold_start_s = 3,
	};

	fake_service_run_init(&run, &config);
	flow.caller = flows_caller(0);
}

static void send_data(uint32_t ack)
{
	flow_send(&flow, 0, CM_TCP_ACK, 100, ack);
}

static void send_syn(void)
{
	flow_send(&flow, 0, CM_TCP_SYN, 99, 0);
}

static void answer_syn(uint32_t isn)
{
	flow_answer(&flow, flow.server, 0, CM_TCP_SYN | CM_TCP_ACK, isn, 100);
}

static void send_reset(uint32_t seq)
{
	flow_answer(&flow, flow.server, 0, CM_TCP_RST, seq, 0);
}

/* Sends a segment of an unknown flow and stores the server probed first. */
static void begin_probe(uint32_t ack)
{
	send_data(ack);
	flow.server = flows_output_server();
}

/* Asserts that the last output goes to a server other than flow.server. */
static void assert_tries_another(void)
{
	const struct fake_output *last;

	ck_assert_uint_gt(cluster->output_count, 0);
	last = &cluster->outputs[cluster->output_count - 1];
	ck_assert(last->is_to_server);
	ck_assert(!cm_endpoint_equal(&flow.server, &last->server));
}

/* Sends the packets of a handshake; the caller's last one acknowledges @ack. */
static void open_connection(uint32_t ack)
{
	send_syn();
	flow.server = flows_output_server();
	answer_syn(1000);
	send_data(ack);
}

static void drain_flow_server(void)
{
	const struct cm_catalog *catalog = &cluster->nodes[0].view.catalog;
	uint32_t index = cm_catalog_find_server(catalog, &flow.server);

	flows_drain(catalog->servers[index].spec.name);
}

UNIT_CASE("probe", "probe", setup, flows_teardown, UNIT_TIMEOUT_S);

/*
 * Data of the server that holds the flow goes to the caller without a lookup,
 * so the caller's acknowledgment number grows although the probed server does
 * not hold the flow. An RST of the probed server must still continue the probe.
 */
TEST(growing_ack_is_no_answer_of_the_probed_server)
{
	begin_probe(ACK);
	send_data(ACK + 1200);
	send_reset(ACK);
	assert_tries_another();
	/* The RST in answer to the second segment is dropped, too. */
	send_reset(ACK + 1200);
	flows_assert_no_output();
}

/*
 * While instances disagree about the members, another instance may forward the
 * flow to the server that holds it. The caller's acknowledgment number then
 * grows, and this instance binds the flow to the probed server, which does not
 * hold it. The late RST of that server must continue the probe and not reach
 * the caller.
 */
TEST(late_reset_of_a_probed_server_tries_the_next_one)
{
	struct cm_packet packet;
	uint32_t ack = ACK;

	begin_probe(ack);
	for (int i = 0; i < 6; i++) {
		cluster->now_ms += 50;
		send_data(ack += 1200);
	}
	send_reset(ack);
	assert_tries_another();
	flows_read_output(cluster->output_count - 1, &packet);
	ck_assert_uint_eq(packet.flags, CM_TCP_ACK);
}

/*
 * An RST of an unknown flow may answer a probe of another instance, so it must
 * not reach the caller.
 */
TEST(reset_of_an_unknown_flow_is_dropped)
{
	flow.server = cluster->nodes[0].view.catalog.servers[0].spec.address;
	send_reset(ACK);
	flows_assert_no_output();
}

/* Acknowledgment numbers that can't follow from a SYN-ACK with sequence number
 * 1000. */
static const uint32_t foreign_acks[] = { FOREIGN_ACK, 5000000, 999 };

/*
 * The caller acknowledges the SYN-ACK of another server, so the connection that
 * was opened here is a second one. The server of the first connection must be
 * found by a probe.
 */
TEST_TABLE(ack_of_another_connection_starts_probe, foreign_acks)
{
	open_connection(foreign_acks[_i]);
	send_reset(foreign_acks[_i]);
	assert_tries_another();
}

/*
 * An old SYN has opened a second connection. The sequence number of its SYN-ACK
 * does not match the acknowledgment number of the caller, so it must not end
 * the probe for the first connection.
 */
TEST(syn_ack_of_another_connection_answers_no_probe)
{
	begin_probe(FOREIGN_ACK);
	answer_syn(1000);
	flows_assert_no_output();
	answer_syn(FOREIGN_ACK - 1);
	ck_assert_uint_eq(cluster->output_count, 1);
	ck_assert(!cluster->outputs[0].is_to_server);
}

/*
 * A SYN of a new connection goes to a server only through admission, which does
 * not choose the probed server, since that is draining.
 */
TEST(syn_is_never_sent_to_a_probed_server)
{
	begin_probe(FOREIGN_ACK);
	drain_flow_server();
	flow_send(&flow, 0, CM_TCP_SYN, 5000, 0);
	ck_assert_uint_eq(cluster->output_count, 1);
	ck_assert(
		!cluster->outputs[0].is_to_server ||
		!cm_endpoint_equal(&cluster->outputs[0].server, &flow.server));
}

/*
 * A delayed SYN of an open flow must not open a new connection, although the
 * flow's server is draining.
 */
TEST(late_syn_leaves_the_flow_of_a_draining_server)
{
	struct cm_endpoint server;

	open_connection(1001);
	drain_flow_server();
	send_syn();
	send_data(1001);
	server = flows_output_server();
	ck_assert(cm_endpoint_equal(&flow.server, &server));
}
