#include "unit/suites.h"

#include <stdio.h>
#include <string.h>

#include "chervilmast/steer.h"
#include "chervilmast/steer_report.h"
#include "chervilmast/suspect_list.h"

/*
 * A failure domain of 40 nodes and 60 servers. 15 servers die at SILENT_MS.
 * From ADDRESS_REUSE_MS on, other servers have their addresses; these accept
 * probes but do not answer a SYN with the token of a dead server. The entries
 * of the dead servers stay in the registry until REMOVED_MS.
 */
#define NODES 40
#define SERVERS 60
#define SILENT_SERVERS 15
#define SILENT_MS 2000
#define ADDRESS_REUSE_MS 4000
#define REMOVED_MS 5600
#define END_MS 8000
#define TICK_MS 25
#define FLOW_INTERVAL_MS 150
#define REPORT_INTERVAL_MS 500
#define ANSWER_MS 10
#define START_MS 100000
#define SYN_REPEAT_MS 200

/**
 * struct caller - a flow that a caller opens
 * @port: its port; 0 while there is no flow
 * @token: token of the server that got its last SYN
 * @sent_ms: when the last SYN was sent
 * @repeats: number of SYNs before that one
 */
struct caller {
	uint16_t port;
	uint32_t token;
	uint64_t sent_ms;
	uint32_t repeats;
};

static struct cm_steer nodes[NODES];
static struct caller callers[NODES];
static uint16_t next_port[NODES];
static struct cm_suspect_list reports;
/* Numbers of SYNs sent to silent servers: the first of a node to a server,
 * further ones of the same node to the same server, and all of them. Number of
 * probes. */
static uint32_t first_syns, later_syns, lost_syns, probes;
/* Whether a node has sent a SYN to a server that was silent already. */
static bool has_tried[NODES][SERVERS + 1];

static uint64_t server_id(const struct cm_steer *node, uint32_t token)
{
	return cm_steer_servers_find_by_token(&node->servers, token)->entry.id;
}

static bool is_silent(uint64_t id, uint64_t ms)
{
	return id <= SILENT_SERVERS && ms >= SILENT_MS;
}

static void start_node(int index)
{
	const struct cm_steer_route route = {
		.address = { 1, 443, 6 },
		.target_count = 1,
		.targets = { { "ledger", 1 } },
	};
	const struct cm_steer_config config = {
		.domain = "a",
		.seed = (uint64_t)index * 7919,
		.flows_max = 256,
		.flow_life_ms = 60000,
		.registry_fresh_ms = 3000,
	};
	struct cm_steer_plan plan;

	cm_steer_init(&nodes[index], &config);
	ASSERT_OK(cm_steer_plan_init(&plan, 1, 1, 0));
	ASSERT_OK(cm_steer_plan_add_route(&plan, &route));
	ASSERT_OK(cm_steer_plan_seal(&plan));
	ASSERT_OK(cm_steer_set_plan(&nodes[index], &plan));
	for (uint64_t id = 1; id <= SERVERS; id++) {
		const struct cm_server_entry entry = {
			.id = id,
			.service = "ledger",
			.domain = "a",
			.address = { (uint32_t)id, 80, 17 },
			.slots = 2,
		};

		ASSERT_OK(cm_steer_put_server(&nodes[index], START_MS, &entry));
	}
	for (int peer = 0; peer < NODES; peer++) {
		struct cm_peer_entry entry = { .domain = "a" };

		snprintf(entry.name, sizeof(entry.name), "a-%d", peer);
		ASSERT_OK(cm_steer_put_peer(&nodes[index], &entry));
	}
	cm_steer_probe_succeeded(&nodes[index], START_MS, 0);
	cm_steer_registry_answered(&nodes[index], START_MS);
}

static void setup(void)
{
	first_syns = later_syns = lost_syns = probes = 0;
	memset(callers, 0, sizeof(callers));
	memset(has_tried, 0, sizeof(has_tried));
	memset(&reports, 0, sizeof(reports));
	for (int i = 0; i < NODES; i++) {
		next_port[i] = 0;
		start_node(i);
	}
}

static void teardown(void)
{
	for (int i = 0; i < NODES; i++)
		cm_steer_finish(&nodes[i]);
}

UNIT_CASE("steer", "silent servers", setup, teardown, UNIT_TIMEOUT_S);

static struct cm_steer_packet packet_of(const struct caller *caller)
{
	const struct cm_steer_packet packet = {
		.key = { { 9, caller->port, 6 }, { 1, 443, 6 } },
	};

	return packet;
}

static void answer(struct cm_steer *node, struct caller *caller, uint64_t ms)
{
	struct cm_steer_packet packet = packet_of(caller);
	struct cm_steer_verdict verdict;

	packet.flags = CM_STEER_ACK | CM_STEER_FIN;
	packet.token = caller->token;
	packet.ack = 1;
	cm_steer_packet(node, START_MS + ms + ANSWER_MS, &packet, &verdict);
	caller->port = 0;
}

static void send_syn(int index, uint64_t ms)
{
	struct caller *caller = &callers[index];
	struct cm_steer_packet packet = packet_of(caller);
	struct cm_steer_verdict verdict;
	uint64_t id;

	packet.flags = CM_STEER_SYN;
	packet.repeats = caller->repeats;
	cm_steer_packet(&nodes[index], START_MS + ms, &packet, &verdict);
	ck_assert_int_eq(verdict.action, CM_STEER_FORWARD);
	caller->token = verdict.token;
	caller->sent_ms = ms;
	id = server_id(&nodes[index], verdict.token);
	if (!is_silent(id, ms)) {
		answer(&nodes[index], caller, ms);
		return;
	}
	lost_syns++;
	first_syns += !has_tried[index][id];
	later_syns += has_tried[index][id];
	has_tried[index][id] = true;
}

static void step_caller(int index, uint64_t ms)
{
	struct caller *caller = &callers[index];

	if (caller->port && ms >= caller->sent_ms + SYN_REPEAT_MS) {
		caller->repeats++;
		send_syn(index, ms);
	} else if (!caller->port &&
		   (ms + (uint64_t)index * TICK_MS) % FLOW_INTERVAL_MS <
			   TICK_MS) {
		caller->port = ++next_port[index];
		caller->repeats = 0;
		send_syn(index, ms);
	}
}

static void step_probes(int index, uint64_t ms)
{
	struct cm_endpoint address;
	uint32_t token =
		cm_steer_next_probe(&nodes[index], START_MS + ms, &address);

	probes += token != 0;
	if (token &&
	    (!is_silent(address.address, ms) || ms >= ADDRESS_REUSE_MS))
		cm_steer_probe_succeeded(&nodes[index], START_MS + ms, token);
}

static void exchange_reports(int index, uint64_t ms)
{
	uint32_t tokens[CM_SUSPECT_LIST_MAX];
	uint32_t count = cm_steer_list_silent_servers(
		&nodes[index], START_MS + ms, tokens, CM_SUSPECT_LIST_MAX);

	cm_suspect_list_add(&reports, START_MS + ms, tokens, count);
	count = cm_suspect_list_read(&reports, START_MS + ms, tokens);
	cm_steer_apply_reports(&nodes[index], START_MS + ms, tokens, count);
	cm_steer_registry_answered(&nodes[index], START_MS + ms);
}

static void run(uint64_t from_ms, uint64_t to_ms)
{
	for (uint64_t ms = from_ms; ms < to_ms; ms += TICK_MS)
		for (int i = 0; i < NODES; i++) {
			step_caller(i, ms);
			cm_steer_tick(&nodes[i], START_MS + ms);
			step_probes(i, ms);
			if ((ms + (uint64_t)i * TICK_MS) % REPORT_INTERVAL_MS <
			    TICK_MS)
				exchange_reports(i, ms);
		}
}

static void remove_silent(void)
{
	for (int i = 0; i < NODES; i++)
		for (uint64_t id = 1; id <= SILENT_SERVERS; id++)
			cm_steer_remove_server(&nodes[i], START_MS + REMOVED_MS,
					       id);
}

/*
 * The number of SYNs that callers lose is bounded. Until the first reports are
 * exchanged, some nodes send one SYN each to a silent server. Each of these
 * nodes may lose one more after a probe has reached the new server at the
 * address.
 */
TEST(syns_lost_to_silent_servers_are_bounded)
{
	uint32_t pairs;

	run(0, SILENT_MS);
	ck_assert_uint_eq(lost_syns, 0);
	ck_assert_uint_eq(probes, 0);
	run(SILENT_MS, ADDRESS_REUSE_MS);
	pairs = first_syns;
	ck_assert_uint_gt(pairs, SILENT_SERVERS);
	ck_assert_uint_lt(pairs, NODES * SILENT_SERVERS / 2);
	ck_assert_uint_eq(later_syns, 0);
	run(ADDRESS_REUSE_MS, REMOVED_MS);
	remove_silent();
	run(REMOVED_MS, END_MS);
	ck_assert_uint_le(later_syns, pairs);
	ck_assert_uint_le(first_syns, pairs + NODES * SILENT_SERVERS / 10);
}

/* Ticks and probes must examine only suspected servers, or their cost would
 * grow with the number of all servers. */
TEST(ticks_examine_only_suspected_servers)
{
	struct cm_endpoint address;
	uint64_t before;

	run(0, 500);
	before = nodes[0].servers_examined;
	for (uint64_t ms = 500; ms < 1500; ms += TICK_MS) {
		cm_steer_tick(&nodes[0], START_MS + ms);
		cm_steer_next_probe(&nodes[0], START_MS + ms, &address);
	}
	ck_assert_uint_le(nodes[0].servers_examined - before, 1000 / TICK_MS);
}
