/*
 * An instance has the authority to admit flows while its lease is valid.
 * Without it, the instance must not admit any, because another instance may
 * have become home of the same servers. An instance that may have missed
 * changes during a pause must not handle packets at all.
 */
#include "unit/suites.h"

#include "unit/flows.h"

#define NODES 3
#define ISN 100
#define SERVER_ISN 500
/* Idle timeout of the service. */
#define IDLE_TIMEOUT_S 600
#define MS_PER_S 1000

static struct flow flow, later;

static void setup(void)
{
	static const struct fake_service_config config = {
		.nodes = NODES,
		.domains = 1,
		.servers = 1,
		.cap = 1000,
		.rate = 100000,
	};

	fake_service_run_init(&run, &config);
	flow.caller = flows_caller(0);
	later.caller = flows_caller(1);
}

static void set_deadlines(uint64_t admit_until_ms, uint64_t packets_until_ms)
{
	for (uint32_t i = 0; i < NODES; i++)
		cm_node_set_deadlines(&cluster->nodes[i], admit_until_ms,
				      packets_until_ms);
}

static void send_syn(const struct flow *opened)
{
	flow_send(opened, 0, CM_TCP_SYN, ISN, 0);
}

static bool has_output_to_server(void)
{
	for (uint32_t i = 0; i < cluster->output_count; i++)
		if (cluster->outputs[i].is_to_server)
			return true;
	return false;
}

static void open_connection(void)
{
	send_syn(&flow);
	ck_assert(has_output_to_server());
	flow_answer(&flow, cluster->outputs[0].server, 1,
		    CM_TCP_SYN | CM_TCP_ACK, SERVER_ISN, ISN + 1);
}

/* Sends the caller's ACK of the first @bytes bytes from the server. */
static void send_ack(uint32_t bytes)
{
	flow_send(&flow, 2, CM_TCP_ACK, ISN + 1, SERVER_ISN + 1 + bytes);
}

UNIT_CASE("authority", "node", setup, flows_teardown, UNIT_TIMEOUT_S);

TEST(home_without_authority_admits_nothing)
{
	set_deadlines(cluster->now_ms, UINT64_MAX);
	send_syn(&flow);
	ck_assert(!has_output_to_server());
	ck_assert_uint_eq(cluster->output_count, 1);
	ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_SKIP_AUTHORITY), 1);
	ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_FLOWS_ADMITTED), 0);
}

TEST(home_without_authority_keeps_its_connections)
{
	open_connection();
	set_deadlines(cluster->now_ms, UINT64_MAX);
	send_ack(0);
	ck_assert(has_output_to_server());
	send_syn(&later);
	ck_assert(!has_output_to_server());
}

TEST(authority_is_compared_with_the_time_of_the_packet)
{
	set_deadlines(cluster->now_ms + 10, UINT64_MAX);
	send_syn(&flow);
	ck_assert(has_output_to_server());
	fake_cluster_advance(cluster, 20);
	send_syn(&later);
	ck_assert(!has_output_to_server());
}

TEST(resumed_instance_drops_every_packet)
{
	open_connection();
	set_deadlines(UINT64_MAX, cluster->now_ms);
	send_ack(0);
	ck_assert_uint_eq(cluster->output_count, 0);
	send_syn(&later);
	ck_assert_uint_eq(cluster->output_count, 0);
	ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_DROP_PAUSED), 2);
	set_deadlines(UINT64_MAX, UINT64_MAX);
	send_ack(0);
	ck_assert(has_output_to_server());
}

/* Starts the graceful shutdown of the instance that admitted the flow; returns
 * its number. */
static uint32_t make_home_leave(void)
{
	uint32_t home = 0;

	while (!cm_counters_get(&cluster->nodes[home].counters,
				CM_C_FLOWS_ADMITTED))
		home++;
	cluster->members[home].state = CM_MEMBER_LEAVING;
	cm_node_leave(&cluster->nodes[home]);
	for (uint32_t i = 0; i < NODES; i++)
		cm_node_set_members(&cluster->nodes[i], cluster->members,
				    NODES);
	fake_cluster_advance(cluster, 1000);
	return home;
}

TEST(leaving_home_hands_its_connections_over)
{
	uint32_t home;

	open_connection();
	home = make_home_leave();
	for (uint32_t i = 0; i < 10; i++) {
		send_ack(i);
		ck_assert(has_output_to_server());
		fake_cluster_advance(cluster, 400);
	}
	send_syn(&later);
	ck_assert(has_output_to_server());
	ck_assert_uint_eq(cm_counters_get(&cluster->nodes[home].counters,
					  CM_C_FLOWS_ADMITTED),
			  1);
}

/*
 * After the handover, the former home sees no packet of the connection for
 * longer than the idle timeout. It must not cancel the connection, because the
 * new home serves it.
 */
TEST(connection_handed_over_is_not_cancelled)
{
	open_connection();
	make_home_leave();
	for (uint32_t i = 0; i < IDLE_TIMEOUT_S / 100 + 1; i++) {
		send_ack(i);
		ck_assert(has_output_to_server());
		fake_cluster_advance(cluster, 100 * MS_PER_S);
		ck_assert_uint_eq(cluster->output_count, 0);
	}
	ck_assert_uint_eq(fake_cluster_total(cluster, CM_C_FLOWS_CANCELLED), 0);
}
