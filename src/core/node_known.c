#include "node_forward.h"

#include <netinet/in.h>

#include "node_admit.h"
#include "node_event.h"
#include "node_internal.h"
#include "node_probe.h"
#include "test_switch.h"

bool cm_event_is_syn(const struct cm_event *event)
{
	return (event->packet->flags & (CM_TCP_SYN | CM_TCP_ACK)) == CM_TCP_SYN;
}

bool cm_event_may_open(const struct cm_event *event)
{
	return cm_event_is_syn(event) ||
	       event->packet->source.protocol == IPPROTO_UDP;
}

/* Records the sequence numbers that a later RST has to carry. */
static void flow_record_seq_and_ack(struct cm_flow *flow,
				    const struct cm_packet *packet)
{
	uint32_t payload = (uint32_t)cm_packet_payload_length(packet);
	uint32_t seq = packet->seq + payload;

	if (packet->flags & (CM_TCP_SYN | CM_TCP_FIN))
		seq++;
	/* A retransmission must not lower the recorded number. */
	if (!(flow->flags & CM_FLOW_SEQ_KNOWN) || packet->flags & CM_TCP_SYN ||
	    (int32_t)(seq - flow->seq) > 0)
		flow->seq = seq;
	flow->flags |= CM_FLOW_SEQ_KNOWN;
	if (payload)
		flow->flags |= CM_FLOW_DELIVERED;
	if (packet->flags & CM_TCP_ACK)
		flow->ack = packet->ack;
}

bool cm_segment_is_in_window(const struct cm_flow *flow,
			     const struct cm_packet *packet)
{
	int32_t distance = (int32_t)(packet->seq - flow->seq);

	return distance > -CM_SEQ_WINDOW && distance < CM_SEQ_WINDOW;
}

/* Whether a SYN precedes sequence number @next of its connection. */
static bool syn_precedes(const struct cm_packet *syn, uint32_t next)
{
	uint32_t distance = next - syn->seq;

	return distance > 0 && distance < CM_SEQ_WINDOW;
}

bool cm_syn_precedes_probe(const struct cm_event *event,
			   const struct cm_flow *flow)
{
	return !cm_switched_off(CM_SWITCH_LATE_SYN) &&
	       flow->state == CM_FLOW_PROBING && flow->half_open &&
	       cm_event_is_syn(event) &&
	       syn_precedes(event->packet, flow->half_open->seq);
}

bool cm_syn_is_answered(const struct cm_event *event,
			const struct cm_flow *flow)
{
	return !cm_switched_off(CM_SWITCH_LATE_SYN) &&
	       flow->state == CM_FLOW_BOUND &&
	       flow->flags & CM_FLOW_AWAITING_ACK &&
	       flow->flags & CM_FLOW_SEQ_KNOWN && cm_event_is_syn(event) &&
	       event->packet->seq + 1 == flow->seq;
}

/*
 * Whether a packet is the SYN of a new connection that reuses the caller's
 * address and port and has to be admitted anew: the old connection has ended,
 * or its server accepts no new flows. A delayed SYN of the old connection,
 * which precedes the recorded sequence number, is not a new connection.
 */
static bool flow_is_replaced(const struct cm_event *event,
			     const struct cm_flow *flow, uint32_t server)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;

	if (!cm_event_is_syn(event))
		return false;
	if (flow->state == CM_FLOW_CLOSING)
		return true;
	if (flow->state != CM_FLOW_OPENING &&
	    !cm_switched_off(CM_SWITCH_OWN_SYN) &&
	    flow->flags & CM_FLOW_SEQ_KNOWN &&
	    syn_precedes(event->packet, flow->seq))
		return false;
	return catalog->servers[server].spec.state != CM_SERVER_ACTIVE &&
	       !cm_switched_off(CM_SWITCH_LEAVING_SYN);
}

/* The candidates that an ADMIT relay lists as tried are not tried again. */
void cm_admit_as_new(struct cm_event *event, struct cm_flow_shard *shard)
{
	cm_admit(event, shard,
		 event->relay.kind == CM_RELAY_ADMIT ? event->relay.kind_data :
						       0);
}

void cm_flow_end(struct cm_event *event, struct cm_flow_shard *shard,
		 struct cm_flow *flow)
{
	if (cm_flow_is_held(flow))
		cm_event_count(event, CM_C_FLOWS_ENDED);
	cm_node_release(event->node, flow);
	cm_flow_shard_remove(shard, flow);
}

/* Ends a flow, but keeps its entry for CM_CLOSING_TIMEOUT_MS. */
static void flow_close(struct cm_event *event, struct cm_flow_shard *shard,
		       struct cm_flow *flow)
{
	if (flow->state == CM_FLOW_CLOSING)
		return;
	if (cm_flow_is_held(flow))
		cm_event_count(event, CM_C_FLOWS_ENDED);
	cm_node_release(event->node, flow);
	cm_flow_free_half_open(flow);
	cm_flow_shard_set_state(shard, flow, CM_FLOW_CLOSING, event->now_ms);
}

/*
 * Handles a packet whose flow may not continue at its server. A packet that may
 * be the first of a flow is admitted as a new flow. For any other packet, the
 * flow is looked up again if this instance has seen no answer of the server,
 * else the packet is refused.
 */
static void forward_server_unusable(struct cm_event *event,
				    struct cm_flow_shard *shard,
				    struct cm_flow *flow,
				    enum cm_refusal refusal)
{
	if (cm_event_may_open(event)) {
		cm_flow_end(event, shard, flow);
		cm_admit_as_new(event, shard);
		return;
	}
	/* The caller's connection may be with another server. */
	if (!(flow->flags & CM_FLOW_CONFIRMED) &&
	    !cm_switched_off(CM_SWITCH_UNSEEN_END)) {
		cm_flow_end(event, shard, flow);
		cm_forward_unknown(event, shard, 0);
		return;
	}
	flow_close(event, shard, flow);
	cm_event_refuse(event, refusal);
}

/* Updates the state of a flow from a segment of its caller. */
static void flow_track_segment(struct cm_event *event,
			       struct cm_flow_shard *shard,
			       struct cm_flow *flow)
{
	uint8_t flags = event->packet->flags;

	if (flow->state == CM_FLOW_OPENING && !cm_event_may_open(event) &&
	    !(flags & CM_TCP_RST)) {
		cm_admit_syn_answered(event, flow);
		cm_flow_free_half_open(flow);
		cm_flow_shard_set_state(shard, flow, CM_FLOW_OPEN,
					event->now_ms);
	}
	if (flags & CM_TCP_FIN)
		flow->flags |= CM_FLOW_CALLER_FIN;
	if (flags & CM_TCP_RST)
		cm_flow_end(event, shard, flow);
	else if ((flow->flags & CM_FLOW_BOTH_FIN) == CM_FLOW_BOTH_FIN)
		flow_close(event, shard, flow);
}

void cm_forward_held(struct cm_event *event, struct cm_flow_shard *shard,
		     struct cm_flow *flow)
{
	enum cm_refusal refusal;
	uint32_t server;

	if (!cm_event_server_is_usable(event, &flow->server, &server,
				       &refusal)) {
		forward_server_unusable(event, shard, flow, refusal);
		return;
	}
	if (flow_is_replaced(event, flow, server)) {
		cm_flow_end(event, shard, flow);
		cm_admit_as_new(event, shard);
		return;
	}
	flow_record_seq_and_ack(flow, event->packet);
	cm_flow_shard_touch(shard, flow, event->now_ms);
	cm_event_send_to_server(event, server);
	flow_track_segment(event, shard, flow);
}

/*
 * Handles a packet of a flow whose server has no home. A packet that may be the
 * first of a flow is admitted to another server, unless it is a SYN that the
 * server has answered. Other packets are dropped; the caller retransmits them
 * until the server has a home again.
 */
static void forward_unreachable(struct cm_event *event,
				struct cm_flow_shard *shard,
				struct cm_flow *flow)
{
	if (cm_event_may_open(event) && !cm_syn_is_answered(event, flow)) {
		cm_flow_shard_remove(shard, flow);
		cm_admit_as_new(event, shard);
		return;
	}
	cm_event_count(event, CM_C_DROP_UNREACHABLE);
}

/*
 * Handles a SYN of a RELAYED or BOUND flow to a server whose home is this
 * instance. If the server has answered a SYN and the caller has sent no other
 * segment since, this SYN is a retransmission and must not open a second
 * connection; the flow is adopted. Otherwise the SYN is admitted as a new flow.
 */
static void forward_syn_of_bound(struct cm_event *event,
				 struct cm_flow_shard *shard,
				 struct cm_flow *flow, uint32_t server)
{
	const struct cm_catalog *catalog = &event->node->view.catalog;

	if (flow->state != CM_FLOW_BOUND ||
	    !(flow->flags & CM_FLOW_AWAITING_ACK) ||
	    (catalog->servers[server].spec.state != CM_SERVER_ACTIVE &&
	     !cm_switched_off(CM_SWITCH_LEAVING_SYN))) {
		cm_flow_shard_remove(shard, flow);
		cm_admit_as_new(event, shard);
		return;
	}
	cm_flow_shard_set_state(shard, flow, CM_FLOW_OPEN, event->now_ms);
	cm_backend_adopt(event->node->backends[server]);
	cm_event_count(event, CM_C_FLOWS_ADOPTED);
	cm_event_send_to_server(event, server);
}

void cm_forward_bound(struct cm_event *event, struct cm_flow_shard *shard,
		      struct cm_flow *flow)
{
	enum cm_refusal refusal;
	uint32_t server, home;

	if (!cm_event_server_is_usable(event, &flow->server, &server,
				       &refusal)) {
		forward_server_unusable(event, shard, flow, refusal);
		return;
	}
	home = cm_event_home(event, server);
	if (home == CM_NONE) {
		forward_unreachable(event, shard, flow);
		return;
	}
	if (cm_event_is_self(event, home) && cm_event_is_syn(event)) {
		forward_syn_of_bound(event, shard, flow, server);
		return;
	}
	if (cm_event_is_self(event, home)) {
		cm_probe_bound(event, shard, server);
		return;
	}
	/*
	 * Instances with stale bindings relay the packet to each other. Once
	 * this entry is removed, the caller's next packet is looked up or
	 * probed.
	 */
	if (event->relay.hops >= CM_HOP_LIMIT) {
		cm_event_count(event, CM_C_DROP_HOP_LIMIT);
		cm_flow_shard_remove(shard, flow);
		return;
	}
	cm_flow_shard_touch(shard, flow, event->now_ms);
	if (flow->state == CM_FLOW_RELAYED && cm_event_may_open(event))
		cm_event_relay(event, home, CM_RELAY_ADMIT,
			       flow->tried_or_position, &flow->server);
	else
		cm_event_relay(event, home, CM_RELAY_BOUND, 0, &flow->server);
	flow_track_segment(event, shard, flow);
}
