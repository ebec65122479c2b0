#include "soak/instance.h"

#include <stdlib.h>

#include "soak/soak.h"

#define HALF_OPEN_MAX 65536
/* Interval at which the fabric checks an instance without a release note. */
#define READY_RETRY_MS 300

bool soak_instance_is_running(const struct soak *soak, uint32_t number)
{
	const struct soak_instance *instance = &soak->instances[number];

	return instance->is_up &&
	       soak_now_ms(soak) >= instance->paused_until_ms;
}

bool soak_instance_accept_message(struct soak *soak,
				  const struct soak_message *message)
{
	struct soak_instance *instance = &soak->instances[message->instance];

	if (!instance->is_up)
		return false;
	if (soak_now_ms(soak) >= instance->paused_until_ms)
		return true;
	soak_message_push(soak, soak_message_copy(message),
			  (instance->paused_until_ms - soak_now_ms(soak)) *
				  SOAK_US_PER_MS);
	return false;
}

static void handle_binding(struct soak *soak, struct soak_message *message)
{
	if (soak_instance_accept_message(soak, message))
		cm_node_record_binding(&soak->instances[message->instance].node,
				       soak_now_ms(soak), &message->flow,
				       &message->server);
}

static void handle_load(struct soak *soak, struct soak_message *message)
{
	if (soak_instance_accept_message(soak, message))
		cm_node_record_load(&soak->instances[message->instance].node,
				    soak_now_ms(soak), &message->load);
}

static void handle_packet(struct soak *soak, struct soak_message *message);

/* Sends a message from one instance to another. */
static void send(struct soak *soak, struct soak_message *message, uint32_t from,
		 uint32_t to)
{
	soak_message_transmit(soak, message, from % SOAK_DOMAINS,
			      to % SOAK_DOMAINS);
}

static void perform_action(struct soak *soak, uint32_t from,
			   const struct cm_action *action,
			   const struct cm_packet *original)
{
	uint32_t to = action->peer.address & (FAKE_INSTANCES_MAX - 1);
	const uint8_t *bytes = action->built.bytes;
	size_t length = action->built.length;
	struct soak_message *message;

	if (!length && original) {
		bytes = original->bytes;
		length = original->length;
	}
	if (action->kind == CM_ACTION_SEND_BINDING) {
		message = soak_message_make(handle_binding, to, NULL, 0);
		message->flow = action->flow;
		message->server = action->server;
		send(soak, message, from, to);
	} else if (action->kind == CM_ACTION_SEND_LOAD) {
		message = soak_message_make(handle_load, to, NULL, 0);
		message->load = action->load;
		send(soak, message, from, to);
	} else if (action->kind == CM_ACTION_RELAY) {
		message = soak_message_make(handle_packet, to, bytes, length);
		message->relay = action->relay;
		send(soak, message, from, to);
	} else {
		message = soak_message_make(soak_handle_to_world, from, bytes,
					    length);
		soak_message_transmit(soak, message, from % SOAK_DOMAINS,
				      soak_domain_of_address(soak, bytes + 16));
	}
}

static void perform_actions(struct soak *soak, uint32_t from,
			    const struct cm_packet *original)
{
	for (size_t i = 0; i < soak->actions.count; i++)
		perform_action(soak, from, &soak->actions.items[i], original);
	cm_actions_clear(&soak->actions);
}

static void handle_packet(struct soak *soak, struct soak_message *message)
{
	struct soak_instance *instance = &soak->instances[message->instance];
	struct cm_packet packet;

	if (!soak_instance_accept_message(soak, message) ||
	    cm_packet_parse(&packet, message->bytes, message->length))
		return;
	soak->trace = cm_hash_mix(soak->trace, message->due.due_us);
	soak->trace = cm_hash_mix(soak->trace, packet.seq ^ packet.ack);
	soak->trace = cm_hash_mix(soak->trace, message->instance);
	cm_node_packet(&instance->node, soak_now_ms(soak), &packet,
		       message->relay.kind ? &message->relay : NULL,
		       &soak->actions);
	perform_actions(soak, message->instance, &packet);
}

void soak_to_instance(void *user, uint32_t instance, const uint8_t *bytes,
		      size_t length)
{
	struct soak *soak = user;

	soak_message_transmit(
		soak, soak_message_make(handle_packet, instance, bytes, length),
		soak_domain_of_address(soak, bytes + 12),
		instance % SOAK_DOMAINS);
}

/* Records in the fabric whether an instance is ready for packets. */
static void handle_fabric_update(struct soak *soak,
				 struct soak_message *message)
{
	struct soak_instance *instance = &soak->instances[message->instance];
	bool ready = soak_instance_is_running(soak, message->instance) &&
		     !instance->is_leaving && cm_node_version(&instance->node);

	if (instance->is_up && !cm_node_version(&instance->node))
		soak_message_schedule(soak, handle_fabric_update,
				      message->instance, 0, READY_RETRY_MS);
	soak->world.instance_live[message->instance] = ready;
}

void soak_instance_update_fabric(struct soak *soak, uint32_t instance,
				 uint32_t delay_ms)
{
	soak_message_schedule(soak, handle_fabric_update, instance, 0,
			      delay_ms + soak_random_below(soak, 800));
}

void soak_handle_start(struct soak *soak, struct soak_message *message)
{
	struct soak_instance *instance = &soak->instances[message->instance];
	struct cm_node_config config = {
		.self = instance->self.data_address,
		.half_open_max = HALF_OPEN_MAX,
	};

	if (instance->is_up)
		return;
	soak_event(soak, "start", message->instance, 0);
	if (cm_node_init(&instance->node, &config))
		abort();
	soak_control_start(soak, message->instance);
	instance->is_up = true;
	instance->is_leaving = false;
	instance->paused_until_ms = 0;
	soak_instance_update_fabric(soak, message->instance, 300);
}

void soak_instance_add_counters(struct soak *soak,
				const struct soak_instance *instance)
{
	for (int i = 0; i < CM_COUNTER_COUNT; i++)
		cm_counters_add_many(
			&soak->counters, i,
			cm_counters_get(&instance->node.counters, i));
}

void soak_instance_finish(struct soak *soak, uint32_t number)
{
	soak_control_stop(soak, number);
	cm_node_finish(&soak->instances[number].node);
}

void soak_handle_stop(struct soak *soak, struct soak_message *message)
{
	struct soak_instance *instance = &soak->instances[message->instance];

	if (!instance->is_up)
		return;
	soak_event(soak, "stop", message->instance, instance->is_leaving);
	if (instance->is_leaving)
		soak_control_leave(soak, message->instance, true);
	instance->is_up = false;
	soak_instance_add_counters(soak, instance);
	soak_instance_finish(soak, message->instance);
	soak_instance_update_fabric(soak, message->instance, 300);
	soak_message_schedule(soak, soak_handle_start, message->instance, 0,
			      1000 + soak_random_below(soak, 4000));
}

void soak_instance_tick(struct soak *soak, uint32_t number)
{
	struct soak_instance *instance = &soak->instances[number];

	if (!soak_instance_is_running(soak, number))
		return;
	cm_node_tick(&instance->node, soak_now_ms(soak), &soak->actions);
	cm_node_send_loads(&instance->node, soak_now_ms(soak), &soak->actions);
	perform_actions(soak, number, NULL);
}
