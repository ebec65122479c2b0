#include "fake/cluster.h"

#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/geneve.h"
#include "config/note_json.h"
#include "fake/tcp_end.h"

#define FIRST_NODE_ADDRESS 0x7f010001
#define DATA_PORT 6081
#define CONTROL_PORT 7081
#define HALF_OPEN_MAX 1024
#define START_MS 1000000
#define TICK_MS 100
#define CHANGES_JSON_SIZE 32768
#define NOTE_HEADER_JSON_SIZE 256

static void run_actions(struct fake_cluster *cluster, uint32_t node,
			const struct cm_actions *actions,
			const struct cm_packet *input);

void fake_cluster_init(struct fake_cluster *cluster, uint32_t count,
		       const char *const *domains, uint32_t domain_count)
{
	memset(cluster, 0, sizeof(*cluster));
	cluster->count = count;
	cluster->now_ms = START_MS;
	for (uint32_t i = 0; i < count; i++) {
		struct cm_member *member = &cluster->members[i];
		struct cm_node_config config = {
			.half_open_max = HALF_OPEN_MAX,
		};

		snprintf(member->name, CM_NAME_SIZE, "node-%u", i);
		snprintf(member->domain, CM_NAME_SIZE, "%s",
			 domains[i % domain_count]);
		member->data_address.address = FIRST_NODE_ADDRESS + i;
		member->data_address.port = DATA_PORT;
		member->data_address.protocol = IPPROTO_UDP;
		member->control_address = member->data_address;
		member->control_address.port = CONTROL_PORT;
		member->control_address.protocol = IPPROTO_TCP;
		member->incarnation = 1;
		config.self = member->data_address;
		if (cm_node_init(&cluster->nodes[i], &config))
			abort();
		cluster->is_running[i] = true;
	}
	fake_cluster_update_members(cluster);
}

void fake_cluster_finish(struct fake_cluster *cluster)
{
	for (uint32_t i = 0; i < cluster->count; i++)
		cm_node_finish(&cluster->nodes[i]);
	for (uint32_t i = 0; i < cluster->note_count; i++)
		cm_note_finish(&cluster->notes[i]);
}

void fake_cluster_publish(struct fake_cluster *cluster, const char *text)
{
	struct cm_json_error error = { .error = 0 };
	struct cm_note *note = &cluster->notes[cluster->note_count++];

	cm_note_init(note);
	if (cluster->note_count > FAKE_NOTES_MAX ||
	    cm_note_read_published(note, text, strlen(text), &error)) {
		fprintf(stderr, "release note is invalid at %s: error %d\n",
			error.path, error.error);
		abort();
	}
	for (uint32_t i = 0; i < cluster->count; i++)
		if (cluster->is_running[i] &&
		    cm_node_apply_note(&cluster->nodes[i], cluster->now_ms,
				       note))
			abort();
}

void fake_cluster_publish_changes(struct fake_cluster *cluster,
				  const char *format, ...)
{
	char changes[CHANGES_JSON_SIZE],
		text[CHANGES_JSON_SIZE + NOTE_HEADER_JSON_SIZE];
	va_list values;

	va_start(values, format);
	vsnprintf(changes, sizeof(changes), format, values);
	va_end(values);
	snprintf(text, sizeof(text),
		 "{\"version\":%u,\"publication_id\":"
		 "\"00112233445566778899aabbccddeeff\","
		 "\"published_at_s\":1000,%s}",
		 cluster->note_count + 1, changes);
	fake_cluster_publish(cluster, text);
}

void fake_cluster_start(struct fake_cluster *cluster, uint32_t node)
{
	struct cm_node_config config = cluster->nodes[node].config;

	cm_node_finish(&cluster->nodes[node]);
	if (cm_node_init(&cluster->nodes[node], &config))
		abort();
	for (uint32_t i = 0; i < cluster->note_count; i++)
		if (cm_node_apply_note(&cluster->nodes[node], cluster->now_ms,
				       &cluster->notes[i]))
			abort();
	cluster->is_running[node] = true;
	fake_cluster_update_members(cluster);
}

void fake_cluster_update_members(struct fake_cluster *cluster)
{
	for (uint32_t i = 0; i < cluster->count; i++)
		cluster->members[i].state = cluster->is_running[i] ?
						    CM_MEMBER_ALIVE :
						    CM_MEMBER_DEAD;
	for (uint32_t i = 0; i < cluster->count; i++)
		if (cluster->is_running[i] &&
		    cm_node_set_members(&cluster->nodes[i], cluster->members,
					cluster->count))
			abort();
}

void fake_cluster_kill(struct fake_cluster *cluster, uint32_t node)
{
	cluster->is_running[node] = false;
}

static uint32_t find_node(const struct fake_cluster *cluster,
			  const struct cm_endpoint *data)
{
	for (uint32_t i = 0; i < cluster->count; i++)
		if (cm_endpoint_equal(&cluster->members[i].data_address, data))
			return i;
	abort();
}

static void deliver(struct fake_cluster *cluster, uint32_t node,
		    const uint8_t *bytes, size_t length,
		    const struct cm_relay *relay)
{
	uint8_t copy[2048];
	struct cm_packet packet;
	struct cm_actions actions;
	int error;

	if (!cluster->is_running[node])
		return;
	if (length > sizeof(copy))
		abort();
	memcpy(copy, bytes, length);
	error = cm_packet_parse(&packet, copy, length);
	if (error) {
		cm_node_count_bad_packet(&cluster->nodes[node], error);
		return;
	}
	cm_actions_init(&actions);
	cm_node_packet(&cluster->nodes[node], cluster->now_ms, &packet, relay,
		       &actions);
	run_actions(cluster, node, &actions, &packet);
	cm_actions_finish(&actions);
}

static void relay_packet(struct fake_cluster *cluster,
			 const struct cm_action *action, const uint8_t *bytes,
			 size_t length)
{
	uint8_t head[CM_GENEVE_RELAY_SIZE];
	struct cm_geneve geneve;

	cluster->relays++;
	cluster->relay = action->relay;
	if (cm_geneve_read(&geneve, head,
			   cm_geneve_write(head, &action->relay)))
		abort();
	deliver(cluster, find_node(cluster, &action->peer), bytes, length,
		&geneve.relay);
}

static void record_output(struct fake_cluster *cluster, uint32_t node,
			  const struct cm_action *action, const uint8_t *bytes,
			  size_t length)
{
	struct fake_output *output;

	if (cluster->output_count == FAKE_OUTPUTS_MAX)
		return;
	output = &cluster->outputs[cluster->output_count++];
	output->is_to_server = action->kind == CM_ACTION_TO_SERVER;
	output->server = action->server;
	output->node = node;
	output->length =
		length < sizeof(output->bytes) ? length : sizeof(output->bytes);
	memcpy(output->bytes, bytes, output->length);
}

static void run_action(struct fake_cluster *cluster, uint32_t node,
		       const struct cm_action *action,
		       const struct cm_packet *input)
{
	const uint8_t *bytes = action->built.bytes;
	size_t length = action->built.length;
	uint32_t peer;

	if (action->kind == CM_ACTION_SEND_BINDING) {
		cluster->bindings_sent++;
		peer = find_node(cluster, &action->peer);
		if (cluster->is_running[peer])
			cm_node_record_binding(&cluster->nodes[peer],
					       cluster->now_ms, &action->flow,
					       &action->server);
		return;
	}
	if (action->kind == CM_ACTION_SEND_LOAD) {
		cluster->loads_sent++;
		peer = find_node(cluster, &action->peer);
		if (cluster->is_running[peer])
			cm_node_record_load(&cluster->nodes[peer],
					    cluster->now_ms, &action->load);
		return;
	}
	if (!length && !input)
		abort();
	if (!length) {
		bytes = input->bytes;
		length = input->length;
	}
	if (action->kind == CM_ACTION_RELAY)
		relay_packet(cluster, action, bytes, length);
	else
		record_output(cluster, node, action, bytes, length);
}

static void run_actions(struct fake_cluster *cluster, uint32_t node,
			const struct cm_actions *actions,
			const struct cm_packet *input)
{
	for (size_t i = 0; i < actions->count; i++)
		run_action(cluster, node, &actions->items[i], input);
}

static void begin_event(struct fake_cluster *cluster)
{
	cluster->output_count = 0;
	cluster->relays = 0;
	cluster->bindings_sent = 0;
}

void fake_cluster_deliver_relayed(struct fake_cluster *cluster, uint32_t node,
				  const uint8_t *bytes, size_t length,
				  const struct cm_relay *relay)
{
	begin_event(cluster);
	cluster->now_ms++;
	deliver(cluster, node, bytes, length, relay);
}

void fake_cluster_deliver_packet(struct fake_cluster *cluster, uint32_t node,
				 const uint8_t *bytes, size_t length)
{
	fake_cluster_deliver_relayed(cluster, node, bytes, length, NULL);
}

void fake_cluster_deliver_segment(struct fake_cluster *cluster, uint32_t node,
				  const struct cm_endpoint *from,
				  const struct cm_endpoint *to, uint8_t flags,
				  uint32_t seq, uint32_t ack)
{
	uint8_t bytes[CM_BUILT_PACKET_SIZE_MAX];
	size_t length =
		fake_segment_build(bytes, from, to, flags, seq, ack, NULL, 0);

	fake_cluster_deliver_packet(cluster, node, bytes, length);
}

static void tick(struct fake_cluster *cluster)
{
	struct cm_actions actions;

	cm_actions_init(&actions);
	for (uint32_t i = 0; i < cluster->count; i++) {
		if (!cluster->is_running[i])
			continue;
		cm_actions_clear(&actions);
		cm_node_tick(&cluster->nodes[i], cluster->now_ms, &actions);
		cm_node_send_loads(&cluster->nodes[i], cluster->now_ms,
				   &actions);
		run_actions(cluster, i, &actions, NULL);
	}
	cm_actions_finish(&actions);
}

void fake_cluster_tick(struct fake_cluster *cluster)
{
	begin_event(cluster);
	tick(cluster);
}

void fake_cluster_advance(struct fake_cluster *cluster, uint64_t ms)
{
	uint64_t end_ms = cluster->now_ms + ms;

	begin_event(cluster);
	while (cluster->now_ms < end_ms) {
		cluster->now_ms += TICK_MS;
		tick(cluster);
	}
}

uint64_t fake_cluster_total(const struct fake_cluster *cluster,
			    enum cm_counter counter)
{
	uint64_t total = 0;

	for (uint32_t i = 0; i < cluster->count; i++)
		total += cm_counters_get(&cluster->nodes[i].counters, counter);
	return total;
}
