#include "packet_loop.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/geneve.h"
#include "chervilmast/error.h"
#include "core/test_switch.h"
#include "ports/clock.h"

#define RECEIVE_TIMEOUT_MS 50
#define DATAGRAM_SIZE (CM_GENEVE_RELAY_SIZE + CM_PACKET_SIZE_MAX)

static void send_action(struct cm_packet_loop *loop,
			const struct cm_action *action,
			const struct cm_packet *received)
{
	bool is_relayed = action->kind == CM_ACTION_RELAY;
	const uint8_t *body = action->built.bytes;
	size_t length = action->built.length;
	uint8_t head[CM_GENEVE_RELAY_SIZE];
	size_t head_length;

	if (action->kind == CM_ACTION_SEND_BINDING ||
	    action->kind == CM_ACTION_SEND_LOAD) {
		cm_notification_queue_add(loop->send_queue, action);
		return;
	}
	if (!length && !received)
		return;
	if (!length) {
		body = received->bytes;
		length = received->length;
	}
	head_length = cm_geneve_write(head, is_relayed ? &action->relay : NULL);
	if (loop->link->ops->send(loop->link,
				  is_relayed ? &action->peer : &loop->fabric,
				  head, head_length, body, length))
		cm_counters_add(&loop->node->counters, CM_C_DROP_SEND);
}

void cm_packet_loop_send(struct cm_packet_loop *loop,
			 const struct cm_actions *actions,
			 const struct cm_packet *received)
{
	for (size_t i = 0; i < actions->count; i++)
		send_action(loop, &actions->items[i], received);
}

/*
 * Checks the source address of a datagram. Returns true, and counts the drop,
 * if a datagram of this kind, relayed or not, is not accepted from that
 * address.
 */
static bool drop_foreign(struct cm_packet_loop *loop, bool is_relayed,
			 const struct cm_endpoint *from)
{
	bool is_accepted = is_relayed ? cm_node_is_peer(loop->node, from) :
					from->address == loop->fabric.address;

	if (is_accepted || cm_switched_off(CM_SWITCH_SENDER_CHECK))
		return false;
	cm_counters_add(&loop->node->counters,
			is_relayed ? CM_C_DROP_FOREIGN_RELAY :
				     CM_C_DROP_FOREIGN_FABRIC);
	return true;
}

void cm_packet_loop_handle_datagram(struct cm_packet_loop *loop,
				    uint64_t now_ms, uint8_t *bytes,
				    size_t length,
				    const struct cm_endpoint *from,
				    struct cm_actions *actions)
{
	struct cm_geneve geneve;
	struct cm_packet packet;
	int error = cm_geneve_read(&geneve, bytes, length);

	cm_actions_clear(actions);
	if (!error && drop_foreign(loop, geneve.has_relay, from))
		return;
	if (!error)
		error = cm_packet_parse(&packet, bytes + geneve.length,
					length - geneve.length);
	if (error) {
		cm_node_count_bad_packet(loop->node, error);
		return;
	}
	cm_node_packet(loop->node, now_ms, &packet,
		       geneve.has_relay ? &geneve.relay : NULL, actions);
	cm_packet_loop_send(loop, actions, &packet);
}

static void *packet_thread(void *user)
{
	struct cm_packet_loop *loop = user;
	uint8_t *bytes = malloc(DATAGRAM_SIZE);
	struct cm_actions actions;
	struct cm_endpoint from;

	cm_actions_init(&actions);
	while (bytes && !ck_pr_load_32(&loop->stopping)) {
		int length = loop->link->ops->receive(
			loop->link, bytes, DATAGRAM_SIZE, RECEIVE_TIMEOUT_MS,
			&from);

		if (length < 0)
			break;
		if (length > 0)
			cm_packet_loop_handle_datagram(loop, cm_clock_ms(),
						       bytes, (size_t)length,
						       &from, &actions);
	}
	cm_actions_finish(&actions);
	free(bytes);
	return NULL;
}

int cm_packet_loop_init(struct cm_packet_loop *loop, struct cm_node *node,
			struct cm_link *link,
			struct cm_notification_queue *send_queue,
			const struct cm_settings *settings)
{
	memset(loop, 0, sizeof(*loop));
	loop->node = node;
	loop->link = link;
	loop->send_queue = send_queue;
	loop->fabric = settings->fabric;
	for (uint32_t i = 0; i < settings->threads; i++) {
		if (pthread_create(&loop->threads[i], NULL, packet_thread,
				   loop)) {
			cm_packet_loop_finish(loop);
			return CM_E_MEMORY;
		}
		loop->count++;
	}
	return CM_OK;
}

void cm_packet_loop_finish(struct cm_packet_loop *loop)
{
	ck_pr_store_32(&loop->stopping, 1);
	for (uint32_t i = 0; i < loop->count; i++)
		pthread_join(loop->threads[i], NULL);
	loop->count = 0;
}
