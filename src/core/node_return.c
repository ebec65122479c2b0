#include "node_return.h"

#include <netinet/in.h>

#include "node_admit.h"
#include "node_event.h"
#include "node_internal.h"
#include "node_forward.h"
#include "node_maintain.h"
#include "node_probe.h"
#include "test_switch.h"

/*
 * Role of the instance that receives a RETURN relay, and what the directory has
 * recorded of the flow; sent as kind_data of the relay header.
 */
enum return_receiver {
	RETURN_AT_DIRECTORY,
	RETURN_AT_HOME,
	/* At the home; the directory has seen no answer of the server. */
	RETURN_AT_HOME_UNCONFIRMED,
	/* At the home; the directory has no binding to this server. */
	RETURN_AT_HOME_UNBOUND,
};

static bool is_at_home(const struct cm_event *event)
{
	return event->relay.kind == CM_RELAY_RETURN &&
	       event->relay.kind_data != RETURN_AT_DIRECTORY;
}

/* Hops from which on an RST is not relayed from one directory to another. */
#define RESET_HOPS_MAX 3

static bool is_syn_ack(const struct cm_event *event)
{
	return event->packet->flags & CM_TCP_SYN;
}

/* Only a TCP SYN, FIN or RST changes the state of a flow. */
static bool changes_flow_state(const struct cm_event *event)
{
	return event->packet->source.protocol == IPPROTO_TCP &&
	       event->packet->flags & (CM_TCP_SYN | CM_TCP_FIN | CM_TCP_RST);
}

/* Records the sequence numbers of the SYN-ACK of the flow's server. */
static void flow_record_syn_ack(struct cm_flow *flow,
				const struct cm_packet *packet)
{
	flow->flags |=
		CM_FLOW_CONFIRMED | CM_FLOW_AWAITING_ACK | CM_FLOW_SEQ_KNOWN;
	flow->ack = packet->seq + 1;
	flow->seq = packet->ack;
}

/* Ends the flow on an RST, or on a FIN if both sides have sent one. */
static void return_track_end(struct cm_event *event,
			     struct cm_flow_shard *shard, struct cm_flow *flow)
{
	uint8_t flags = event->packet->flags;

	if (flags & CM_TCP_FIN)
		flow->flags |= CM_FLOW_SERVER_FIN | CM_FLOW_CONFIRMED;
	if (flow->state == CM_FLOW_CLOSING)
		return;
	if (!(flags & CM_TCP_RST) &&
	    (flow->flags & CM_FLOW_BOTH_FIN) != CM_FLOW_BOTH_FIN)
		return;
	if (cm_flow_is_held(flow))
		cm_event_count(event, CM_C_FLOWS_ENDED);
	if (flags & CM_TCP_RST && flow->state == CM_FLOW_OPEN)
		cm_admit_flow_reset(event, flow);
	cm_node_release(event->node, flow);
	cm_flow_free_half_open(flow);
	cm_flow_shard_set_state(shard, flow, CM_FLOW_CLOSING, event->now_ms);
}

/*
 * Home of the server that sent the packet, if the packet still has to be
 * relayed there, otherwise CM_NONE.
 */
static uint32_t next_home(const struct cm_event *event)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;
	uint32_t server =
		cm_catalog_find_server(catalog, &event->packet->source);
	uint32_t home = cm_event_home(event, server);

	if (cm_event_is_self(event, home) || is_at_home(event))
		return CM_NONE;
	return home;
}

/*
 * Handles an RST of a server that the flow is not bound to here. The server's
 * home may have admitted the flow to the server or may be probing the server,
 * so the RST is relayed to that home.
 */
static void return_reset_unbound(struct cm_event *event)
{
	uint32_t home = next_home(event);

	if (home == CM_NONE || cm_switched_off(CM_SWITCH_RESET_HOME))
		cm_event_count(event, CM_C_DROP_PROBE_RESET);
	else
		cm_event_relay(event, home, CM_RELAY_RETURN,
			       RETURN_AT_HOME_UNBOUND, NULL);
}

/* Handles a packet of another server than the one the flow is bound to here. */
static void return_other_server(struct cm_event *event)
{
	if (event->packet->flags & CM_TCP_RST)
		return_reset_unbound(event);
	else
		cm_event_count(event, CM_C_DROP_STALE_ANSWER);
}

/*
 * Whether a packet is an RST in answer to a segment with the ACK flag. Such an
 * RST has no ACK flag, and its sequence number is the acknowledgment number of
 * the segment; an RST in answer to a SYN has the ACK flag (RFC 9293, section
 * 3.10.7.1).
 */
static bool reset_answers_segment(const struct cm_packet *packet)
{
	return (packet->flags & (CM_TCP_RST | CM_TCP_ACK)) == CM_TCP_RST;
}

/* Handles a packet of a flow that is OPENING, OPEN or CLOSING here. */
static void return_held(struct cm_event *event, struct cm_flow_shard *shard,
			struct cm_flow *flow)
{
	uint8_t flags = event->packet->flags;

	if (!cm_endpoint_equal(&flow->server, &event->packet->source) &&
	    !cm_switched_off(CM_SWITCH_STALE_ANSWER)) {
		return_other_server(event);
		return;
	}
	if (flow->state == CM_FLOW_OPENING &&
	    reset_answers_segment(event->packet)) {
		cm_event_count(event, CM_C_DROP_STALE_ANSWER);
		return;
	}
	if (flags & CM_TCP_RST && flow->state == CM_FLOW_OPENING) {
		cm_admit_retry(event, shard, flow);
		return;
	}
	if (is_syn_ack(event) && flow->state == CM_FLOW_OPENING) {
		cm_admit_syn_answered(event, flow);
		cm_flow_free_half_open(flow);
		flow_record_syn_ack(flow, event->packet);
		cm_flow_shard_set_state(shard, flow, CM_FLOW_OPEN,
					event->now_ms);
		if (is_at_home(event))
			cm_event_mark_announced(event, flow);
		else
			cm_event_announce(event, flow);
	}
	return_track_end(event, shard, flow);
	cm_event_send_to_caller(event);
}

/*
 * Relays the packet to the home of the server, which counts the server's
 * connections, or sends it to the caller if it need not be relayed.
 */
static void return_via_home(struct cm_event *event,
			    enum return_receiver receiver)
{
	uint32_t home = next_home(event);

	if (home == CM_NONE)
		cm_event_send_to_caller(event);
	else
		cm_event_relay(event, home, CM_RELAY_RETURN, (uint8_t)receiver,
			       NULL);
}

/*
 * Whether this instance, the home of @server, has admitted the flow to @server
 * or probes @server for the flow, and has seen no answer yet.
 */
static bool is_awaiting_answer(const struct cm_flow *flow,
			       const struct cm_endpoint *server)
{
	if (!flow || !cm_endpoint_equal(&flow->server, server))
		return false;
	return flow->state == CM_FLOW_OPENING ||
	       flow->state == CM_FLOW_PROBING ||
	       (flow->state == CM_FLOW_OPEN &&
		!(flow->flags & CM_FLOW_CONFIRMED));
}

/* Handles a packet of a flow that is RELAYED or BOUND here. */
static void return_bound(struct cm_event *event, struct cm_flow_shard *shard,
			 struct cm_flow *flow)
{
	if (!cm_endpoint_equal(&flow->server, &event->packet->source) &&
	    !cm_switched_off(CM_SWITCH_STALE_ANSWER)) {
		if (flow->state != CM_FLOW_RELAYED ||
		    event->packet->flags & CM_TCP_RST) {
			return_other_server(event);
			return;
		}
		flow->server = event->packet->source;
	}
	if (flow->state == CM_FLOW_RELAYED && is_syn_ack(event) &&
	    !cm_switched_off(CM_SWITCH_SYN_ACK_TEACHES)) {
		flow_record_syn_ack(flow, event->packet);
		cm_flow_shard_set_state(shard, flow, CM_FLOW_BOUND,
					event->now_ms);
		cm_event_announce(event, flow);
	}
	/* An RST may result from a stale binding; the server's home decides. */
	if (flow->state == CM_FLOW_BOUND &&
	    !(event->packet->flags & CM_TCP_RST))
		return_track_end(event, shard, flow);
	return_via_home(event, flow->flags & CM_FLOW_CONFIRMED ?
				       RETURN_AT_HOME :
				       RETURN_AT_HOME_UNCONFIRMED);
}

/*
 * Handles a packet of a flow without entry here. From a SYN-ACK, the directory
 * records to which server the flow was admitted.
 */
static void return_unknown(struct cm_event *event, struct cm_flow_shard *shard)
{
	struct cm_flow *flow;

	if (event->packet->flags & CM_TCP_RST &&
	    event->relay.kind_data != RETURN_AT_HOME) {
		return_reset_unbound(event);
		return;
	}
	if (!is_syn_ack(event) || is_at_home(event) ||
	    cm_switched_off(CM_SWITCH_SYN_ACK_TEACHES)) {
		return_via_home(event, RETURN_AT_HOME);
		return;
	}
	flow = cm_flow_shard_add(shard, &event->key, event->hash, CM_FLOW_BOUND,
				 event->now_ms);
	if (flow) {
		flow->server = event->packet->source;
		flow_record_syn_ack(flow, event->packet);
		cm_event_announce(event, flow);
	}
	return_via_home(event, RETURN_AT_HOME);
}

/*
 * Whether a packet is the RST of the flow's server and this instance has seen
 * no answer of that server in the flow.
 */
static bool reset_is_unconfirmed(const struct cm_event *event,
				 const struct cm_flow *flow)
{
	return !cm_switched_off(CM_SWITCH_CONFIRMED_RESET) &&
	       event->packet->flags & CM_TCP_RST &&
	       event->relay.kind_data != RETURN_AT_HOME &&
	       !(flow->flags & CM_FLOW_CONFIRMED) &&
	       (flow->state == CM_FLOW_OPEN || flow->state == CM_FLOW_BOUND) &&
	       cm_endpoint_equal(&flow->server, &event->packet->source);
}

/*
 * Whether a packet is the RST in answer to a segment of another connection of
 * the caller. If a repeated SYN has opened a second connection, the server of
 * the second one answers segments of the first one by RSTs. The sequence number
 * of these RSTs is not one that the second connection can have reached.
 */
static bool reset_is_of_other_connection(const struct cm_event *event,
					 const struct cm_flow *flow)
{
	const struct cm_packet *packet = event->packet;
	uint32_t distance = packet->seq - flow->ack;

	return !cm_switched_off(CM_SWITCH_RESET_NUMBER) &&
	       reset_answers_segment(packet) &&
	       flow->flags & CM_FLOW_AWAITING_ACK &&
	       cm_endpoint_equal(&flow->server, &packet->source) &&
	       distance >= CM_FIRST_ACK_MAX;
}

/*
 * Handles an RST of which reset_is_of_other_connection() is true. Resets the
 * second connection at its server and removes its entry, so that the caller's
 * next segment is looked up and reaches the server of the first connection.
 */
static void return_other_connection(struct cm_event *event,
				    struct cm_flow_shard *shard,
				    struct cm_flow *flow)
{
	uint32_t home = next_home(event);

	cm_event_count(event, CM_C_DROP_STALE_ANSWER);
	cm_node_reset_at_server(event->node, flow, event->actions);
	if (flow->state == CM_FLOW_BOUND && home != CM_NONE)
		cm_event_relay(event, home, CM_RELAY_RETURN,
			       RETURN_AT_HOME_UNCONFIRMED, NULL);
	cm_flow_end(event, shard, flow);
}

/*
 * Handles an RST of which reset_is_unconfirmed() is true: the directory probes
 * for the server that holds the flow, the home removes its entry.
 */
static void return_unconfirmed_reset(struct cm_event *event,
				     struct cm_flow_shard *shard,
				     struct cm_flow *flow)
{
	if (!is_at_home(event)) {
		cm_probe_restart(event, shard, flow);
		return;
	}
	cm_event_count(event, CM_C_DROP_PROBE_RESET);
	cm_node_release(event->node, flow);
	cm_flow_shard_remove(shard, flow);
}

/*
 * Whether to relay an RST to the directory. The sender relayed the RST here as
 * to the directory, but by this instance's view another instance is the
 * directory; the RST may be the answer to a probe by that instance.
 */
static bool reset_needs_relay(const struct cm_event *event,
			      const struct cm_flow *flow, uint32_t directory)
{
	if (!(event->packet->flags & CM_TCP_RST) || directory == CM_NONE ||
	    event->relay.kind_data != RETURN_AT_DIRECTORY ||
	    event->relay.hops >= RESET_HOPS_MAX ||
	    cm_event_is_self(event, directory))
		return false;
	return !flow ||
	       (flow->state == CM_FLOW_BOUND &&
		!cm_endpoint_equal(&flow->server, &event->packet->source));
}

static void return_local(struct cm_event *event, uint32_t directory)
{
	struct cm_flow_shard *shard =
		cm_flow_table_shard(&event->node->flows, event->hash);
	struct cm_flow *flow;

	pthread_mutex_lock(&shard->lock);
	flow = cm_flow_shard_find(shard, &event->key, event->hash);
	if (reset_needs_relay(event, flow, directory))
		cm_event_relay(event, directory, CM_RELAY_RETURN,
			       RETURN_AT_DIRECTORY, NULL);
	else if (event->relay.kind_data == RETURN_AT_HOME_UNBOUND &&
		 !is_awaiting_answer(flow, &event->packet->source))
		cm_event_count(event, CM_C_DROP_STALE_ANSWER);
	else if (!flow)
		return_unknown(event, shard);
	else if (reset_is_of_other_connection(event, flow))
		return_other_connection(event, shard, flow);
	else if (reset_is_unconfirmed(event, flow))
		return_unconfirmed_reset(event, shard, flow);
	else if (flow->state == CM_FLOW_PROBING)
		cm_probe_answer(event, shard, flow);
	else if (flow->state == CM_FLOW_BOUND || flow->state == CM_FLOW_RELAYED)
		return_bound(event, shard, flow);
	else
		return_held(event, shard, flow);
	pthread_mutex_unlock(&shard->lock);
}

/*
 * Whether a packet is sent to the caller without a lookup of its flow. If no
 * candidate has a home, only the flow of an RST is looked up, as the RST may be
 * the answer to a probe by this instance.
 */
static bool skips_flow_lookup(const struct cm_event *event, uint32_t directory)
{
	return !changes_flow_state(event) ||
	       (directory == CM_NONE && !(event->packet->flags & CM_TCP_RST));
}

void cm_event_handle_server_packet(struct cm_event *event)
{
	const struct cm_view *view = &event->node->view;
	uint32_t server =
		cm_catalog_find_server(&view->catalog, &event->packet->source);
	uint32_t directory = cm_view_directory(view, &event->candidates);

	if (!cm_catalog_server_domain_is_in(&view->catalog, server)) {
		cm_event_count(event, CM_C_DROP_DOMAIN_OUT);
		return;
	}
	if (skips_flow_lookup(event, directory))
		cm_event_send_to_caller(event);
	else if (event->relay.kind == CM_RELAY_RETURN || directory == CM_NONE ||
		 cm_event_is_self(event, directory))
		return_local(event, directory);
	else
		cm_event_relay(event, directory, CM_RELAY_RETURN,
			       RETURN_AT_DIRECTORY, NULL);
}
