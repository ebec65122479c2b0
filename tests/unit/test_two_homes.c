#include "unit/suites.h"

#include <netinet/in.h>
#include <stdio.h>

#include "fake/cluster.h"

#define MS_PER_S 1000
#define TICK_MS 100
#define NOTE_SIZE 1024
#define SERVER_ISN 500
/* Ratio of the connections that the rate allows in 1 s to a burst, which is
 * what the rate allows in CM_ADMIT_BURST_MS. */
#define BURST_DIVISOR 10
/* Time under load after the two nodes agree again, ms. */
#define LOAD_AFTER_MS 8000
/* Maximum time until the new home has the former home's load report, ms. */
#define REPORT_DELAY_MS (CM_LOADS_INTERVAL_MS + TICK_MS)

static const char *const domains[] = { "a" };
static const struct cm_endpoint service = { 0xcb007101, 80, IPPROTO_TCP };

/**
 * struct disagreement - two instances that are both home of one server
 * @cap: max_connections of the server
 * @rate: max_new_per_s of the server
 * @reported: connections that the home has reported before the disagreement
 * @duration_ms: duration of the disagreement, ms
 * @home_leaves: the home leaves when they agree again
 */
struct disagreement {
	uint32_t cap;
	uint32_t rate;
	uint32_t reported;
	uint32_t duration_ms;
	bool home_leaves;
};

static const struct disagreement disagreements[] = {
	{ 100, 50, 60, CM_TAKEOVER_LEASE_MS, false },
	{ 100, 50, 60, CM_TAKEOVER_LEASE_MS, true },
	{ 100, 50, 60, 5000, false },
	{ 100, 50, 60, 5000, true },
	{ 400, 20, 300, CM_TAKEOVER_LEASE_MS, false },
	{ 400, 20, 300, CM_TAKEOVER_LEASE_MS, true },
	{ 400, 20, 200, 6000, false },
	{ 400, 20, 200, 6000, true },
	{ 400, 100, 0, 8000, false },
	{ 100, 50, 100, 8000, true },
};

static struct fake_cluster cluster;
static uint32_t open_connections;
static uint32_t opened_in_second;
static uint64_t second_start_ms;
static uint16_t port;

static void setup(void)
{
	open_connections = 0;
	port = 0;
	fake_cluster_init(&cluster, 2, domains, 1);
}

static void teardown(void)
{
	fake_cluster_finish(&cluster);
}

static void publish(const struct disagreement *disagreement)
{
	char text[NOTE_SIZE];

	snprintf(text, sizeof(text),
		 "{\"version\":1,\"publication_id\":"
		 "\"00112233445566778899aabbccddeeff\",\"published_at_s\":1000,"
		 "\"failure_domains\":{\"add\":[{\"name\":\"a\",\"state\":"
		 "\"in\"}]},\"services\":{\"add\":[{\"name\":\"s\",\"address\":"
		 "\"203.0.113.1\",\"port\":80,\"protocol\":\"tcp\","
		 "\"idle_timeout_s\":600}]},\"backend_servers\":{\"add\":[{"
		 "\"name\":\"s1\",\"service\":\"s\",\"failure_domain\":\"a\","
		 "\"address\":\"192.0.2.1\",\"port\":80,\"protocol\":\"tcp\","
		 "\"slots\":1,\"max_connections\":%u,\"max_new_per_s\":%u,"
		 "\"cold_start_s\":0,\"state\":\"active\"}]}}",
		 disagreement->cap, disagreement->rate);
	fake_cluster_publish(&cluster, text);
}

/* Delivers a SYN of a new caller to a node; the server answers at once. */
static void try_open(uint32_t node)
{
	struct cm_endpoint caller = { 0xc6336401, ++port, IPPROTO_TCP };
	struct cm_endpoint server;

	fake_cluster_deliver_segment(&cluster, node, &caller, &service,
				     CM_TCP_SYN, 1, 0);
	if (cluster.output_count != 1 || !cluster.outputs[0].is_to_server)
		return;
	server = cluster.outputs[0].server;
	fake_cluster_deliver_segment(&cluster, node, &server, &caller,
				     CM_TCP_SYN | CM_TCP_ACK, SERVER_ISN, 2);
	open_connections++;
	opened_in_second++;
}

/* Offers new connections to both nodes in turn, more than the server may get,
 * until @until_ms or until @limit connections are open. Checks that the server
 * gets no more in 1 s than two homes may admit. */
static void load_until(const struct disagreement *disagreement,
		       uint64_t until_ms, uint32_t limit)
{
	uint32_t max_per_s =
		2 * (disagreement->rate + disagreement->rate / BURST_DIVISOR);
	uint64_t next_tick_ms = cluster.now_ms;

	for (uint32_t i = 0;
	     cluster.now_ms < until_ms && open_connections < limit; i++) {
		if (cluster.now_ms >= next_tick_ms) {
			fake_cluster_tick(&cluster);
			next_tick_ms += TICK_MS;
		}
		if (cluster.now_ms >= second_start_ms + MS_PER_S) {
			second_start_ms = cluster.now_ms;
			opened_in_second = 0;
		}
		try_open(i % 2);
		ck_assert_uint_le(opened_in_second, max_per_s);
	}
}

/* Gives each node a member list in which the other node is dead, so that both
 * nodes are home of the server. */
static void disagree(void)
{
	for (uint32_t i = 0; i < 2; i++) {
		cluster.members[i].state = CM_MEMBER_ALIVE;
		cluster.members[1 - i].state = CM_MEMBER_DEAD;
		cm_node_set_members(&cluster.nodes[i], cluster.members, 2);
	}
}

static void agree(bool home_leaves)
{
	uint32_t home;

	fake_cluster_update_members(&cluster);
	if (!home_leaves)
		return;
	home = cluster.nodes[0].view.homes[0].member;
	cluster.members[home].state = CM_MEMBER_LEAVING;
	cm_node_leave(&cluster.nodes[home]);
	for (uint32_t i = 0; i < 2; i++)
		cm_node_set_members(&cluster.nodes[i], cluster.members, 2);
}

static uint32_t min(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Maximum number of connections that a home admits in @duration_ms beyond those
 * reported. */
static uint32_t max_admitted(const struct disagreement *disagreement,
			     uint32_t duration_ms)
{
	return min(disagreement->cap - disagreement->reported,
		   disagreement->rate * duration_ms / MS_PER_S +
			   disagreement->rate / BURST_DIVISOR);
}

/* Bound on open connections (docs/ADMISSION.md) @after_ms after the nodes agree
 * again. */
static uint32_t max_open(const struct disagreement *disagreement,
			 uint32_t after_ms)
{
	uint32_t limit = disagreement->reported +
			 max_admitted(disagreement, disagreement->duration_ms) +
			 max_admitted(disagreement,
				      disagreement->duration_ms + after_ms);

	if (!after_ms && disagreement->duration_ms <= CM_TAKEOVER_LEASE_MS)
		return min(limit, disagreement->cap);
	return limit;
}

/*
 * Bound on open connections at the end of the run. Until the remaining home has
 * the load report of the former one, it does not count that one's connections.
 * After that it admits connections only up to the cap.
 */
static uint32_t max_open_after_report(const struct disagreement *disagreement,
				      uint32_t open_at_agreement)
{
	uint32_t limit = open_at_agreement +
			 disagreement->rate * REPORT_DELAY_MS / MS_PER_S +
			 disagreement->rate / BURST_DIVISOR;

	return min(max_open(disagreement, LOAD_AFTER_MS),
		   limit > disagreement->cap ? limit : disagreement->cap);
}

UNIT_CASE("two homes", "disagreement", setup, teardown, UNIT_TIMEOUT_S);

TEST_TABLE(two_homes_stay_within_the_bound, disagreements)
{
	const struct disagreement *disagreement = &disagreements[_i];
	uint32_t open_at_agreement;

	publish(disagreement);
	load_until(disagreement, UINT64_MAX, disagreement->reported);
	fake_cluster_advance(&cluster, 2 * MS_PER_S);
	disagree();
	load_until(disagreement, cluster.now_ms + disagreement->duration_ms,
		   UINT32_MAX);
	ck_assert_uint_le(open_connections, max_open(disagreement, 0));
	open_at_agreement = open_connections;
	agree(disagreement->home_leaves);
	load_until(disagreement, cluster.now_ms + LOAD_AFTER_MS, UINT32_MAX);
	ck_assert_uint_le(
		open_connections,
		max_open_after_report(disagreement, open_at_agreement));
	ck_assert_uint_ge(open_connections, disagreement->cap);
}
