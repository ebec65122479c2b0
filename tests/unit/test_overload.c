#include "unit/suites.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/tcp_end.h"
#include "unit/flows.h"

#define NODES 9
#define SERVERS 15
#define FLOWS 3000
#define MS_PER_S 1000

static struct fake_service_flow opened[FLOWS];
static const uint32_t mixed_slots[] = { 1, 2, 3 };

/* Slots and seed of a run of 3,000 flows on 15 servers. */
static const struct {
	const uint32_t *slots;
	uint64_t seed;
} balance_cases[] = {
	{ NULL, 1 },	    { NULL, 2 },	{ NULL, 3 },
	{ mixed_slots, 4 }, { mixed_slots, 5 }, { mixed_slots, 6 },
};

UNIT_CASE("overload", "service", NULL, flows_teardown, 60);

/*
 * No server holds more than 1.1 times the mean number of connections. Plain
 * hashing gives up to 1.2 times the mean.
 */
TEST_TABLE(connections_stay_balanced, balance_cases)
{
	struct fake_service_config config = {
		.nodes = NODES,
		.servers = SERVERS,
		.slots = balance_cases[_i].slots,
		.slots_count = COUNT_OF(mixed_slots),
		.cap = 2000,
		.rate = 1000,
		.seed = balance_cases[_i].seed,
	};

	fake_service_run_init(&run, &config);
	for (uint32_t i = 0; i < FLOWS; i++) {
		ck_assert_int_eq(fake_service_run_open(&run, &opened[i]),
				 FAKE_OPENED);
		fake_service_run_until(&run, cluster->now_ms + 2);
	}
	ck_assert_double_le(fake_service_run_imbalance(&run, run.open), 1.1);
}

/*
 * The candidates of a flow have only two homes, so a search for a server can
 * return to the instance where it began. Every SYN must get an answer: the
 * servers accept connections up to their caps, 60 in all, and the other
 * connections are refused.
 */
TEST_LOOP(search_returns_to_first_home, 1, 5)
{
	struct fake_service_config config = {
		.nodes = 6,
		.servers = 6,
		.cap = 10,
		.rate = 1000,
		.seed = (uint64_t)_i,
	};

	fake_service_run_init(&run, &config);
	for (uint32_t i = 0; i < 200; i++) {
		enum fake_connect_result result =
			fake_service_run_open(&run, &opened[i]);

		ck_assert_int_eq(result, i < 60 ? FAKE_OPENED : FAKE_REFUSED);
	}
}

static void start(uint32_t servers, uint32_t cap, uint32_t rate,
		  uint32_t cold_start_s)
{
	struct fake_service_config config = {
		.nodes = NODES,
		.servers = servers,
		.cap = cap,
		.rate = rate,
		.cold_start_s = cold_start_s,
		.seed = 1,
	};

	fake_service_run_init(&run, &config);
}

static void set_mode(uint32_t step, enum fake_server_mode mode)
{
	for (uint32_t i = 0; i < run.config.servers; i += step)
		run.mode[i] = mode;
}

static const uint32_t overload_percents[] = { 150, 300 };

/*
 * At 1.5 and 3 times the capacity of the servers, at least 95 % of the capacity
 * is used, every caller gets an answer, and every SYN that a server gets opens
 * a connection.
 */
TEST_TABLE(overload_uses_the_capacity, overload_percents)
{
	uint32_t servers = 10, rate = 20, seconds = 10;
	uint32_t capacity = servers * rate * seconds;
	uint32_t offered = capacity * overload_percents[_i] / 100;
	uint64_t begin_ms;

	start(servers, 2000, rate, 0);
	begin_ms = cluster->now_ms;
	for (uint32_t i = 0; i < offered; i++) {
		fake_service_run_until(&run, begin_ms + (uint64_t)i * seconds *
								MS_PER_S /
								offered);
		ck_assert_int_ne(fake_service_run_open(&run, &opened[0]),
				 FAKE_UNANSWERED);
	}
	ck_assert_uint_ge(run.opened, capacity * 95 / 100);
	ck_assert_uint_eq(run.syns, run.opened);
}

static void open_all(void)
{
	for (uint32_t i = 0; i < FLOWS; i++)
		ck_assert_int_ne(fake_service_run_open(&run, &opened[i]),
				 FAKE_UNANSWERED);
	ck_assert_uint_eq(run.opened + run.refused, run.requests);
}

static const uint32_t cold_starts_s[] = { 0, 10 };

/*
 * Half of the servers reset all connections. The other half has enough capacity
 * for all callers and serves at least 95 % of them. Retries add at most 20 % to
 * the SYNs of the callers.
 */
TEST_TABLE(failing_half_adds_few_retries, cold_starts_s)
{
	start(SERVERS, 2000, 1000, cold_starts_s[_i]);
	set_mode(2, FAKE_SERVER_RESETS);
	open_all();
	ck_assert_uint_le(run.syns * 5, run.requests * 6);
	ck_assert_uint_ge(run.opened, FLOWS * 95 / 100);
}

/*
 * Every server rejects every second SYN. Retries add at most 20 % to the SYNs
 * of the callers.
 */
TEST_TABLE(retries_stay_within_budget, cold_starts_s)
{
	start(SERVERS, 2000, 1000, cold_starts_s[_i]);
	set_mode(1, FAKE_SERVER_SHEDS);
	open_all();
	ck_assert_uint_gt(run.syns, run.requests);
	ck_assert_uint_le(run.syns * 5, run.requests * 6);
}

/* Settings of a service that refuses flows, how its servers answer, whether all
 * instances are leaving, and the text of the refusal. */
static const struct refusal_case {
	uint32_t cap;
	uint32_t rate;
	uint32_t cold_start_s;
	enum fake_server_mode mode;
	bool is_leaving;
	const char *text;
} refusal_cases[] = {
	{ 10, 1000, 0, FAKE_SERVER_ANSWERS, false,
	  "refused=cap not-run=1 retry-after-ms=1000" },
	{ 1000, 1, 0, FAKE_SERVER_ANSWERS, false,
	  "refused=rate not-run=1 retry-after-ms=" },
	{ 1000, 100, 60, FAKE_SERVER_ANSWERS, false,
	  "refused=cold-start not-run=1 retry-after-ms=" },
	{ 1000, 1000, 0, FAKE_SERVER_SHEDS, false,
	  "refused=retry-budget not-run=1 retry-after-ms=1000" },
	{ 1000, 1000, 0, FAKE_SERVER_RESETS, false,
	  "refused=cold-start not-run=1 retry-after-ms=1000" },
	{ 1000, 1000, 0, FAKE_SERVER_ANSWERS, true,
	  "refused=overload not-run=1 retry-after-ms=1000" },
};

/* The refusal is sent in answer to the SYN, without waiting for a tick. */
TEST_TABLE(refusal_states_its_reason, refusal_cases)
{
	const struct refusal_case *refusal_case = &refusal_cases[_i];

	start(3, refusal_case->cap, refusal_case->rate,
	      refusal_case->cold_start_s);
	set_mode(1, refusal_case->mode);
	for (uint32_t i = 0; i < NODES && refusal_case->is_leaving; i++)
		cm_node_leave(&cluster->nodes[i]);
	for (uint32_t i = 0; i < 300; i++)
		ck_assert_int_ne(fake_service_run_open(&run, &opened[i]),
				 FAKE_UNANSWERED);
	ck_assert_uint_gt(run.refused, 0);
	ck_assert_ptr_eq(strstr(run.refusal_text, refusal_case->text),
			 run.refusal_text);
}

/*
 * A server that does not answer may have accepted the connection, so a repeated
 * SYN is sent to the same server again.
 */
TEST(silent_server_is_not_retried)
{
	struct fake_service_flow silent;
	struct flow flow;

	start(SERVERS, 2000, 1000, 0);
	set_mode(1, FAKE_SERVER_SILENT);
	ck_assert_int_eq(fake_service_run_open(&run, &silent), FAKE_UNANSWERED);
	flow.caller = silent.caller;
	for (uint32_t node = 0; node < NODES; node++) {
		flow_send(&flow, node, CM_TCP_SYN, silent.isn, 0);
		ck_assert_uint_eq(cluster->output_count, 1);
		ck_assert(cluster->outputs[0].is_to_server);
		ck_assert_uint_eq(cluster->outputs[0].server.address,
				  FAKE_FIRST_SERVER_ADDRESS + silent.server);
	}
}

static void assert_one_output(bool to_server)
{
	ck_assert(cluster->output_count == 1 &&
		  cluster->outputs[0].is_to_server == to_server);
}

/*
 * The SYN carries payload, so the server may have run the request before it
 * resets the flow. The refusal must say not-run=0.
 */
TEST(reset_after_syn_data_reports_not_run_0)
{
	const struct cm_endpoint service = FAKE_SERVICE_TCP;
	static const char refused[] = "refused=server-reset not-run=0";
	struct flow flow = { .caller = flows_caller(0) };
	struct cm_packet packet;
	uint8_t bytes[CM_BUILT_PACKET_SIZE_MAX];
	size_t length =
		fake_segment_build(bytes, &flow.caller, &service, CM_TCP_SYN, 7,
				   0, (const uint8_t *)"data", 4);

	start(SERVERS, 2000, 1000, 0);
	fake_cluster_deliver_packet(cluster, 0, bytes, length);
	assert_one_output(true);
	flow_answer(&flow, cluster->outputs[0].server, 1,
		    CM_TCP_RST | CM_TCP_ACK, 0, 8);
	assert_one_output(false);
	flows_read_output(0, &packet);
	ck_assert_mem_eq(packet.bytes + packet.payload_offset, refused,
			 sizeof(refused) - 1);
}

/* The caller sends nothing more. At the idle timeout its server gets an RST. */
TEST(idle_caller_is_cancelled)
{
	struct fake_service_flow flow;
	struct cm_packet packet;

	start(SERVERS, 2000, 1000, 0);
	ck_assert_int_eq(fake_service_run_open(&run, &flow), FAKE_OPENED);
	fake_cluster_advance(cluster, (FAKE_IDLE_TIMEOUT_S + 1) * MS_PER_S);
	ck_assert_uint_eq(cluster->output_count, 1);
	ck_assert(cluster->outputs[0].is_to_server);
	flows_read_output(0, &packet);
	ck_assert(packet.flags & CM_TCP_RST);
	ck_assert_uint_eq(packet.seq, flow.isn + 1);
	ck_assert_uint_eq(packet.destination.address,
			  FAKE_FIRST_SERVER_ADDRESS + flow.server);
}

/*
 * Instances die one after the other. The new homes must count the idle
 * connections of the dead ones as well, or the servers would exceed their caps.
 */
TEST(cap_holds_through_takeovers)
{
	uint32_t cap = 50, most = 0;

	start(SERVERS, cap, 1000, 0);
	for (uint32_t i = 0; i < SERVERS * cap * 4 / 5; i++)
		fake_service_run_open(&run, &opened[i]);
	fake_service_run_until(&run, cluster->now_ms + 2 * MS_PER_S);
	for (uint32_t node = 0; node < 6; node++) {
		fake_cluster_kill(cluster, node);
		fake_cluster_update_members(&run.cluster);
		for (uint32_t i = 0; i < 500; i++)
			fake_service_run_open(&run, &opened[0]);
		fake_service_run_until(&run, cluster->now_ms + 5 * MS_PER_S);
	}
	for (uint32_t i = 0; i < SERVERS; i++)
		if (run.open[i] > most)
			most = run.open[i];
	ck_assert_uint_le(most, cap);
}

/* Changes that take server s0 out of service and return it. It must begin a
 * cold start when it returns. */
static const struct {
	const char *out_change;
	const char *return_change;
} return_cases[] = {
	{ "\"backend_servers\":{\"change\":[{\"name\":\"s0\",\"state\":"
	  "\"draining\"}]}",
	  "\"backend_servers\":{\"change\":[{\"name\":\"s0\",\"state\":"
	  "\"active\"}]}" },
	{ "\"failure_domains\":{\"change\":[{\"name\":\"a\",\"state\":"
	  "\"out\"}]}",
	  "\"failure_domains\":{\"change\":[{\"name\":\"a\",\"state\":"
	  "\"in\"}]}" },
};

static uint32_t cold_starts_at_home(const char *name)
{
	uint32_t begun = 0;

	for (uint32_t node = 0; node < NODES; node++) {
		struct cm_node_server_status *servers;
		uint32_t count;

		ASSERT_OK(cm_node_servers(&cluster->nodes[node], &servers,
					  &count));
		for (uint32_t i = 0; i < count; i++)
			if (servers[i].is_home &&
			    cm_name_equal(servers[i].spec.name, name))
				begun = servers[i].admission.cold_starts;
		free(servers);
	}
	return begun;
}

TEST_TABLE(returning_server_is_cold, return_cases)
{
	start(SERVERS, 2000, 1000, 10);
	ck_assert_uint_eq(cold_starts_at_home("s0"), 1);
	fake_cluster_publish_changes(cluster, "%s",
				     return_cases[_i].out_change);
	ck_assert_uint_eq(cold_starts_at_home("s0"), 1);
	fake_cluster_publish_changes(cluster, "%s",
				     return_cases[_i].return_change);
	ck_assert_uint_eq(cold_starts_at_home("s0"), 2);
	ck_assert_uint_eq(cold_starts_at_home("s1"), 1);
}

/*
 * While an instance probes the servers for a flow that it has no entry of, a
 * SYN of the same caller and port arrives. A late SYN of the probed connection
 * is dropped. A SYN of a new connection is admitted, but not to the probed
 * server, which is draining.
 */
TEST(syn_of_a_probed_flow_is_not_sent_to_the_probed_server)
{
	struct flow flow = { .caller = flows_caller(0) };

	start(SERVERS, 2000, 1000, 0);
	flow_send(&flow, 0, CM_TCP_ACK, 9, 9);
	assert_one_output(true);
	flow.server = cluster->outputs[0].server;
	fake_cluster_publish_changes(
		cluster,
		"\"backend_servers\":{\"change\":[{\"name\":"
		"\"s%u\",\"state\":\"draining\"}]}",
		flow.server.address - FAKE_FIRST_SERVER_ADDRESS);
	flow_send(&flow, 1, CM_TCP_SYN, 8, 0);
	ck_assert_uint_eq(cluster->output_count, 0);
	flow_send(&flow, 1, CM_TCP_SYN, 1000, 0);
	assert_one_output(true);
	ck_assert(
		!cm_endpoint_equal(&cluster->outputs[0].server, &flow.server));
}
