#include "bench.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/cluster.h"
#include "fake/random.h"

#define INSTANCES 9
#define DOMAINS 3
#define SERVERS 19
#define FLOWS 2000
#define ROUNDS 12
#define PROBES_MAX 40
#define TEXT_SIZE 8192
#define SETTLE_MS 500
#define WARM_UP_MS 20000
/* 200 new flows/s, so that instances exchange load reports while flows open. */
#define OPENED_PER_TICK 20
#define TICK_INTERVAL_MS 100
#define ISN 100
#define SERVER_ISN 500

/**
 * struct bench_flow - an open flow
 * @caller: address of its caller
 * @server: address of its backend server
 * @seq: sequence number of the caller's last segment
 * @broken: whether each scheme has broken it
 */
struct bench_flow {
	struct cm_endpoint caller;
	struct cm_endpoint server;
	uint32_t seq;
	bool broken[3];
};

/**
 * enum scheme - a balancing scheme
 * @SCHEME_CHERVILMAST: chervilmast
 * @SCHEME_HASHING: consistent hashing without connection state
 * @SCHEME_LOCAL_TABLE: the same hashing, with a connection table in each
 *                      instance that is not shared
 */
enum scheme {
	SCHEME_CHERVILMAST,
	SCHEME_HASHING,
	SCHEME_LOCAL_TABLE,
};

/**
 * struct schemes - state of the benchmark
 * @cluster: the entry instances
 * @random: generator of the events
 * @flows: the flows
 * @has_flow: connection table of each instance for SCHEME_LOCAL_TABLE: whether
 *            the instance has received a packet of the flow
 * @version: version of the last note
 * @next_server: number of the next backend server to add
 */
struct schemes {
	struct fake_cluster cluster;
	struct fake_random random;
	struct bench_flow flows[FLOWS];
	bool has_flow[INSTANCES][FLOWS];
	uint64_t version;
	uint32_t next_server;
};

static const char *const domains[DOMAINS] = { "a", "b", "c" };
static const struct cm_endpoint service = { 0xcb007101, 80, IPPROTO_TCP };

static void publish(struct schemes *run, const char *changes)
{
	char text[TEXT_SIZE + 256];

	snprintf(text, sizeof(text),
		 "{\"version\":%llu,\"publication_id\":"
		 "\"00112233445566778899aabbccddeeff\","
		 "\"published_at_s\":1000,%s}",
		 (unsigned long long)++run->version, changes);
	fake_cluster_publish(&run->cluster, text);
	fake_cluster_advance(&run->cluster, SETTLE_MS);
}

static size_t server_text(char *text, size_t room, uint32_t number)
{
	return (size_t)snprintf(
		text, room,
		"{\"name\":\"s%u\",\"service\":\"s\",\"failure_domain\":\"%s\","
		"\"address\":\"192.0.2.%u\",\"port\":80,\"protocol\":\"tcp\","
		"\"slots\":2,\"max_connections\":100000,"
		"\"max_new_per_s\":100000,\"cold_start_s\":0,"
		"\"state\":\"active\"}",
		number, domains[number % DOMAINS], number);
}

static void publish_first(struct schemes *run)
{
	char text[TEXT_SIZE];
	size_t used = (size_t)snprintf(
		text, sizeof(text),
		"\"failure_domains\":{\"add\":[{\"name\":\"a\",\"state\":"
		"\"in\"},{\"name\":\"b\",\"state\":\"in\"},{\"name\":\"c\","
		"\"state\":\"in\"}]},\"services\":{\"add\":[{\"name\":\"s\","
		"\"address\":\"203.0.113.1\",\"port\":80,\"protocol\":\"tcp\","
		"\"idle_timeout_s\":3600}]},\"backend_servers\":{\"add\":[");

	for (uint32_t i = 1; i <= SERVERS; i++) {
		used += server_text(text + used, sizeof(text) - used, i);
		text[used++] = i < SERVERS ? ',' : ']';
	}
	snprintf(text + used, sizeof(text) - used, "}");
	run->next_server = SERVERS + 1;
	publish(run, text);
}

static void open_flow(struct schemes *run, uint32_t i)
{
	struct bench_flow *flow = &run->flows[i];
	struct fake_cluster *cluster = &run->cluster;

	flow->caller.address = 0xc6336401 + i / 1000;
	flow->caller.port = (uint16_t)(20000 + i % 1000);
	flow->caller.protocol = IPPROTO_TCP;
	fake_cluster_deliver_segment(cluster, i % INSTANCES, &flow->caller,
				     &service, CM_TCP_SYN, ISN, 0);
	if (cluster->output_count != 1 || !cluster->outputs[0].is_to_server) {
		fputs("bench: a flow was not admitted\n", stderr);
		exit(1);
	}
	flow->server = cluster->outputs[0].server;
	fake_cluster_deliver_segment(
		cluster, (i + 1) % INSTANCES, &flow->server, &flow->caller,
		CM_TCP_SYN | CM_TCP_ACK, SERVER_ISN, ISN + 1);
	flow->seq = ISN + 1;
	run->has_flow[i % INSTANCES][i] = true;
}

/*
 * Sends the next segment of a flow through chervilmast. A backend server
 * without the connection answers with an RST, and the instance then tries the
 * next candidate.
 */
static bool chervilmast_reaches(struct schemes *run, uint32_t node,
				struct bench_flow *flow)
{
	struct fake_cluster *cluster = &run->cluster;

	fake_cluster_deliver_segment(cluster, node, &flow->caller, &service,
				     CM_TCP_ACK, ++flow->seq, SERVER_ISN + 1);
	for (int i = 0; i < PROBES_MAX; i++) {
		struct cm_endpoint server;

		if (cluster->output_count != 1 ||
		    !cluster->outputs[0].is_to_server)
			return false;
		server = cluster->outputs[0].server;
		if (cm_endpoint_equal(&server, &flow->server))
			return true;
		fake_cluster_deliver_segment(cluster, node, &server,
					     &flow->caller, CM_TCP_RST,
					     SERVER_ISN + 1, 0);
	}
	return false;
}

/*
 * Under hashing, every instance selects the first candidate of the catalog in
 * force.
 */
static bool hashing_reaches(struct schemes *run, uint32_t node,
			    const struct bench_flow *flow)
{
	const struct cm_view *view = &run->cluster.nodes[node].view;
	struct cm_flow_key key = { flow->caller, service };
	struct cm_candidates candidates;

	cm_view_candidates(view,
			   cm_catalog_find_service(&view->catalog, &service),
			   cm_flow_key_hash(&key), &candidates);
	return candidates.count &&
	       cm_endpoint_equal(&view->catalog.servers[candidates.servers[0]]
					  .spec.address,
				 &flow->server);
}

static void send_segments(struct schemes *run)
{
	for (uint32_t i = 0; i < FLOWS; i++) {
		struct bench_flow *flow = &run->flows[i];
		uint32_t node = fake_random_below(&run->random, INSTANCES);
		bool hashed = hashing_reaches(run, node, flow);

		if (!chervilmast_reaches(run, node, flow))
			flow->broken[SCHEME_CHERVILMAST] = true;
		if (!hashed)
			flow->broken[SCHEME_HASHING] = true;
		if (!hashed && !run->has_flow[node][i])
			flow->broken[SCHEME_LOCAL_TABLE] = true;
		run->has_flow[node][i] = true;
	}
}

static void replace_instance(struct schemes *run)
{
	uint32_t node = fake_random_below(&run->random, INSTANCES);

	fake_cluster_kill(&run->cluster, node);
	fake_cluster_update_members(&run->cluster);
	fake_cluster_advance(&run->cluster, SETTLE_MS);
	fake_cluster_start(&run->cluster, node);
	fake_cluster_advance(&run->cluster, SETTLE_MS);
	memset(run->has_flow[node], 0, sizeof(run->has_flow[node]));
}

static void change_servers(struct schemes *run)
{
	char text[TEXT_SIZE];
	size_t used;

	if (fake_random_below(&run->random, 2)) {
		used = (size_t)snprintf(text, sizeof(text),
					"\"backend_servers\":{\"add\":[");
		used += server_text(text + used, sizeof(text) - used,
				    run->next_server++);
		snprintf(text + used, sizeof(text) - used, "]}");
	} else {
		snprintf(text, sizeof(text),
			 "\"backend_servers\":{\"change\":[{\"name\":\"s%u\","
			 "\"slots\":%u}]}",
			 1 + fake_random_below(&run->random, SERVERS),
			 1 + fake_random_below(&run->random, 4));
	}
	publish(run, text);
}

static uint32_t count_broken(const struct schemes *run, enum scheme scheme)
{
	uint32_t broken = 0;

	for (uint32_t i = 0; i < FLOWS; i++)
		broken += run->flows[i].broken[scheme];
	return broken;
}

static void report_broken(json_t *report, const struct schemes *run)
{
	json_t *broken = json_pack("{s:i, s:i, s:i, s:i, s:i}", "flows", FLOWS,
				   "events", 2 * ROUNDS, "chervilmast",
				   (int)count_broken(run, SCHEME_CHERVILMAST),
				   "consistent_hashing",
				   (int)count_broken(run, SCHEME_HASHING),
				   "local_connection_table",
				   (int)count_broken(run, SCHEME_LOCAL_TABLE));

	json_object_set_new(report, "broken_connections", broken);
}

void bench_schemes(json_t *report, uint64_t seed)
{
	static struct schemes run;

	memset(&run, 0, sizeof(run));
	run.random.state = seed;
	fake_cluster_init(&run.cluster, INSTANCES, domains, DOMAINS);
	publish_first(&run);
	/* After a takeover, a home admits new flows at a reduced rate. */
	fake_cluster_advance(&run.cluster, WARM_UP_MS);
	for (uint32_t i = 0; i < FLOWS; i++) {
		open_flow(&run, i);
		if (i % OPENED_PER_TICK == 0)
			fake_cluster_advance(&run.cluster, TICK_INTERVAL_MS);
	}
	for (int round = 0; round < ROUNDS; round++) {
		change_servers(&run);
		replace_instance(&run);
		send_segments(&run);
	}
	report_broken(report, &run);
	fake_cluster_finish(&run.cluster);
}
