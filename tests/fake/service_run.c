#include "fake/service_run.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake/tcp_end.h"

#define FIRST_CALLER_ADDRESS 0xc6336401
#define FIRST_PORT 1024
#define PORT_COUNT 60000
#define SERVER_ISN 500
#define SERVERS_JSON_SIZE 16384
#define SERVER_JSON_SIZE 512
#define DOMAINS_MAX 3
#define DOMAINS_JSON_SIZE 128
#define TICK_MS 100
/* Exceeds CM_NOTE_SPREAD_MS, the time for which a new server gets no flows, and
 * the duration of a takeover. */
#define SETTLE_MS 5000
/* Upper bound of the loop over server answers in one connection attempt; more
 * than the nodes' retries can cause. */
#define ANSWERS_PER_ATTEMPT_MAX 64

static const char *const domains[DOMAINS_MAX] = { "a", "b", "c" };
static const struct cm_endpoint service = FAKE_SERVICE_TCP;
static const uint32_t one_slot[] = { 1 };

static const char note_format[] =
	"\"failure_domains\":{\"add\":[%s]},\"services\":{\"add\":["
	"{\"name\":\"s\",\"address\":\"203.0.113.1\",\"port\":80,"
	"\"protocol\":\"tcp\",\"idle_timeout_s\":%d},"
	"{\"name\":\"u\",\"address\":\"203.0.113.2\",\"port\":53,"
	"\"protocol\":\"udp\",\"idle_timeout_s\":%d}]},"
	"\"backend_servers\":{\"add\":[%s]}";

static uint32_t count_domains(const struct fake_service_config *config)
{
	return config->domains ? config->domains : DOMAINS_MAX;
}

static size_t write_server(const struct fake_service_config *config,
			   uint32_t number, char *text, size_t room)
{
	bool udp = number >= config->servers &&
		   number - config->servers < config->udp_servers;

	return (size_t)snprintf(
		text, room,
		"{\"name\":\"s%u\",\"service\":\"%c\","
		"\"failure_domain\":\"%s\",\"address\":\"192.0.2.%u\","
		"\"port\":80,\"protocol\":\"%s\",\"slots\":%u,"
		"\"max_connections\":%u,\"max_new_per_s\":%u,"
		"\"cold_start_s\":%u,\"state\":\"active\"}",
		number, udp ? 'u' : 's',
		domains[number % count_domains(config)], number + 1,
		udp ? "udp" : "tcp",
		config->slots[number % config->slots_count], config->cap,
		config->rate, config->cold_start_s);
}

static void publish(struct fake_service_run *run)
{
	const struct fake_service_config *config = &run->config;
	char servers[SERVERS_JSON_SIZE] = "", added[DOMAINS_JSON_SIZE] = "";
	size_t used = 0, at = 0;

	for (uint32_t i = 0; i < DOMAINS_MAX && i < count_domains(config); i++)
		at += (size_t)snprintf(added + at, sizeof(added) - at,
				       "%s{\"name\":\"%s\",\"state\":\"in\"}",
				       i ? "," : "", domains[i]);
	for (uint32_t i = 0; i < config->servers + config->udp_servers; i++) {
		if (i)
			servers[used++] = ',';
		used += write_server(config, i, servers + used,
				     sizeof(servers) - used);
	}
	fake_cluster_publish_changes(&run->cluster, note_format, added,
				     FAKE_IDLE_TIMEOUT_S, FAKE_IDLE_TIMEOUT_S,
				     servers);
}

void fake_service_run_init(struct fake_service_run *run,
			   const struct fake_service_config *config)
{
	memset(run, 0, sizeof(*run));
	run->config = *config;
	if (!config->slots) {
		run->config.slots = one_slot;
		run->config.slots_count = 1;
	}
	run->random.state = config->seed;
	fake_cluster_init(&run->cluster, config->nodes, domains,
			  count_domains(config));
	publish(run);
	run->next_tick_ms = run->cluster.now_ms;
	fake_service_run_until(run, run->cluster.now_ms + SETTLE_MS);
}

void fake_service_run_add(struct fake_service_run *run, uint32_t number)
{
	char server[SERVER_JSON_SIZE];

	write_server(&run->config, number, server, sizeof(server));
	fake_cluster_publish_changes(
		&run->cluster, "\"backend_servers\":{\"add\":[%s]}", server);
}

void fake_service_run_finish(struct fake_service_run *run)
{
	fake_cluster_finish(&run->cluster);
}

void fake_service_run_until(struct fake_service_run *run, uint64_t until_ms)
{
	while (run->next_tick_ms <= until_ms) {
		if (run->cluster.now_ms < run->next_tick_ms)
			run->cluster.now_ms = run->next_tick_ms;
		fake_cluster_tick(&run->cluster);
		run->next_tick_ms += TICK_MS;
	}
	if (run->cluster.now_ms < until_ms)
		run->cluster.now_ms = until_ms;
}

static uint32_t random_node(struct fake_service_run *run)
{
	uint32_t node;

	do
		node = fake_random_below(&run->random, run->config.nodes);
	while (!run->cluster.is_running[node]);
	return node;
}

static void count_first_candidate(struct fake_service_run *run,
				  const struct fake_service_flow *flow)
{
	const struct cm_view *view = &run->cluster.nodes[0].view;
	struct cm_flow_key key = { .caller = flow->caller, .service = service };
	struct cm_candidates candidates;
	uint32_t server;

	cm_view_candidates(view,
			   cm_catalog_find_service(&view->catalog, &service),
			   cm_flow_key_hash(&key), &candidates);
	server = view->catalog.servers[candidates.servers[0]]
			 .spec.address.address;
	run->first_candidates[server - FAKE_FIRST_SERVER_ADDRESS]++;
}

/* Sends the server's answer to the last SYN; false when it sends none. */
static bool answer_syn(struct fake_service_run *run,
		       struct fake_service_flow *flow)
{
	struct cm_endpoint server = run->cluster.outputs[0].server;
	uint8_t flags = CM_TCP_SYN | CM_TCP_ACK;

	flow->server = server.address - FAKE_FIRST_SERVER_ADDRESS;
	run->syns++;
	if (run->mode[flow->server] == FAKE_SERVER_SILENT)
		return false;
	if (run->mode[flow->server] == FAKE_SERVER_SHEDS)
		run->has_reset_last[flow->server] =
			!run->has_reset_last[flow->server];
	if (run->mode[flow->server] == FAKE_SERVER_RESETS ||
	    run->has_reset_last[flow->server])
		flags = CM_TCP_RST | CM_TCP_ACK;
	fake_cluster_deliver_segment(&run->cluster, random_node(run), &server,
				     &flow->caller, flags, SERVER_ISN,
				     flow->isn + 1);
	return true;
}

static void store_refusal_text(struct fake_service_run *run,
			       const struct cm_packet *packet)
{
	size_t length = cm_packet_payload_length(packet);

	if (length >= FAKE_TEXT_SIZE)
		length = FAKE_TEXT_SIZE - 1;
	memcpy(run->refusal_text, packet->bytes + packet->payload_offset,
	       length);
	run->refusal_text[length] = '\0';
}

static enum fake_connect_result
handle_answer(struct fake_service_run *run,
	      const struct fake_service_flow *flow)
{
	struct fake_output *output = &run->cluster.outputs[0];
	struct cm_packet packet;

	if (cm_packet_parse(&packet, output->bytes, output->length))
		abort();
	if (packet.flags & CM_TCP_RST) {
		store_refusal_text(run, &packet);
		run->refused++;
		return FAKE_REFUSED;
	}
	run->opened++;
	run->open[flow->server]++;
	return FAKE_OPENED;
}

enum fake_connect_result fake_service_run_open(struct fake_service_run *run,
					       struct fake_service_flow *flow)
{
	uint32_t number = (uint32_t)run->requests++;

	fake_service_run_until(run, run->cluster.now_ms);
	flow->caller.address =
		FIRST_CALLER_ADDRESS + (uint32_t)run->config.seed;
	flow->caller.port = (uint16_t)(FIRST_PORT + number % PORT_COUNT);
	flow->caller.protocol = IPPROTO_TCP;
	flow->isn = (uint32_t)fake_random_next(&run->random);
	count_first_candidate(run, flow);
	fake_cluster_deliver_segment(&run->cluster, random_node(run),
				     &flow->caller, &service, CM_TCP_SYN,
				     flow->isn, 0);
	for (int i = 0;
	     i < ANSWERS_PER_ATTEMPT_MAX && run->cluster.output_count; i++) {
		if (!run->cluster.outputs[0].is_to_server)
			return handle_answer(run, flow);
		if (!answer_syn(run, flow))
			break;
	}
	return FAKE_UNANSWERED;
}

void fake_service_run_close(struct fake_service_run *run,
			    const struct fake_service_flow *flow)
{
	fake_service_run_until(run, run->cluster.now_ms);
	fake_cluster_deliver_segment(&run->cluster, random_node(run),
				     &flow->caller, &service, CM_TCP_RST,
				     flow->isn + 1, 0);
	run->open[flow->server]--;
}

double fake_service_run_imbalance(const struct fake_service_run *run,
				  const uint32_t *count)
{
	const struct fake_service_config *config = &run->config;
	double total = 0, slots = 0, most = 0;

	for (uint32_t i = 0; i < config->servers; i++) {
		uint32_t weight = config->slots[i % config->slots_count];
		double share = (double)count[i] / weight;

		total += count[i];
		slots += weight;
		if (share > most)
			most = share;
	}
	return most / (total / slots);
}
