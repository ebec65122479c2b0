#include "node_forward.h"

#include "node_admit.h"
#include "node_event.h"
#include "node_maintain.h"
#include "node_probe.h"
#include "test_switch.h"

/*
 * Whether a segment belongs to another connection of the caller than the one
 * that @flow describes. A late or repeated SYN can open a second connection
 * while the caller already has one with another server. The caller's next
 * segment then acknowledges a number that does not match the SYN-ACK of the
 * second connection. Checked only for the first segment after the SYN-ACK.
 */
static bool acks_other_connection(const struct cm_flow *flow,
				  const struct cm_packet *packet)
{
	uint32_t distance = packet->ack - flow->ack;

	return !cm_switched_off(CM_SWITCH_SYN_ACK_NUMBER) &&
	       flow->flags & CM_FLOW_AWAITING_ACK &&
	       packet->flags & CM_TCP_ACK && distance >= CM_FIRST_ACK_MAX;
}

static void handle_probing_flow(struct cm_event *event,
				struct cm_flow_shard *shard,
				struct cm_flow *flow)
{
	if (!cm_event_is_syn(event)) {
		cm_probe_segment(event, shard, flow);
	} else if (cm_syn_precedes_probe(event, flow)) {
		cm_event_count(event, CM_C_DROP_LATE_SYN);
	} else {
		cm_flow_shard_remove(shard, flow);
		cm_admit_as_new(event, shard);
	}
}

static void handle_known_flow(struct cm_event *event,
			      struct cm_flow_shard *shard, struct cm_flow *flow)
{
	switch ((enum cm_flow_state)flow->state) {
	case CM_FLOW_OPENING:
	case CM_FLOW_OPEN:
	case CM_FLOW_CLOSING:
		cm_forward_held(event, shard, flow);
		break;
	case CM_FLOW_RELAYED:
	case CM_FLOW_BOUND:
		cm_forward_bound(event, shard, flow);
		break;
	case CM_FLOW_PROBING:
		handle_probing_flow(event, shard, flow);
		break;
	}
}

/*
 * Returns the flow's entry, or NULL if there is none. If the segment belongs to
 * another connection than the entry, the entry is removed; the entry's server
 * is sent a reset if its SYN-ACK was not acknowledged.
 */
static struct cm_flow *find_flow(struct cm_event *event,
				 struct cm_flow_shard *shard)
{
	struct cm_flow *flow =
		cm_flow_shard_find(shard, &event->key, event->hash);

	if (!flow || cm_event_may_open(event))
		return flow;
	if (flow->state == CM_FLOW_CLOSING &&
	    !cm_segment_is_in_window(flow, event->packet)) {
		cm_flow_shard_remove(shard, flow);
		return NULL;
	}
	if (acks_other_connection(flow, event->packet)) {
		cm_node_reset_at_server(event->node, flow, event->actions);
		cm_flow_end(event, shard, flow);
		return NULL;
	}
	flow->flags &= (uint8_t)~CM_FLOW_AWAITING_ACK;
	return flow;
}

static void look_up_and_handle(struct cm_event *event,
			       uint32_t considered_count)
{
	struct cm_flow_shard *shard =
		cm_flow_table_shard(&event->node->flows, event->hash);
	struct cm_flow *flow;

	pthread_mutex_lock(&shard->lock);
	flow = find_flow(event, shard);
	if (flow)
		handle_known_flow(event, shard, flow);
	else
		cm_forward_unknown(event, shard, considered_count);
	pthread_mutex_unlock(&shard->lock);
}

/*
 * Whether a packet of a LOOKUP relay belongs to a flow that has an OPEN or
 * BOUND entry here. If the view of the sender differs, this instance may get a
 * lookup although by its own view another instance is the directory; the entry
 * is valid nevertheless.
 */
static bool has_flow_for_lookup(struct cm_event *event)
{
	struct cm_flow_shard *shard =
		cm_flow_table_shard(&event->node->flows, event->hash);
	const struct cm_flow *flow;
	bool has_entry;

	if (event->relay.kind != CM_RELAY_LOOKUP || cm_event_may_open(event))
		return false;
	pthread_mutex_lock(&shard->lock);
	flow = cm_flow_shard_find(shard, &event->key, event->hash);
	has_entry = flow && (flow->state == CM_FLOW_OPEN ||
			     flow->state == CM_FLOW_BOUND);
	pthread_mutex_unlock(&shard->lock);
	return has_entry;
}

/*
 * Handles a packet from the fabric, or one that was relayed to this instance as
 * the directory. Looks its flow up here if this instance is the directory or
 * can answer the lookup, else relays the packet to the directory.
 */
static void forward_via_directory(struct cm_event *event)
{
	uint32_t directory =
		cm_view_directory(&event->node->view, &event->candidates);

	if (directory == CM_NONE && cm_event_may_open(event))
		cm_event_refuse(event, CM_REFUSAL_NO_SERVER);
	else if (directory == CM_NONE)
		cm_event_count(event, CM_C_DROP_UNREACHABLE);
	else if (cm_event_is_self(event, directory) ||
		 has_flow_for_lookup(event))
		look_up_and_handle(event, 0);
	else
		cm_event_relay(event, directory, CM_RELAY_LOOKUP, 0, NULL);
}

/*
 * Whether an ADMIT relay replaces the flow's entry here. A RELAYED entry is
 * replaced if the relay lists a tried candidate that the entry does not list. A
 * BOUND entry is kept only if its server has answered this SYN, and a PROBING
 * entry only if the SYN precedes the probe. Entries in other states are kept.
 */
static bool admit_replaces_entry(const struct cm_event *event,
				 const struct cm_flow *flow)
{
	if (flow->state == CM_FLOW_RELAYED)
		return !cm_switched_off(CM_SWITCH_PASSED_SEARCH) &&
		       event->relay.kind_data & ~flow->tried_or_position;
	if (flow->state == CM_FLOW_BOUND)
		return !cm_syn_is_answered(event, flow);
	return flow->state == CM_FLOW_PROBING &&
	       !cm_syn_precedes_probe(event, flow);
}

static void handle_admit_relay(struct cm_event *event)
{
	struct cm_flow_shard *shard =
		cm_flow_table_shard(&event->node->flows, event->hash);
	struct cm_flow *flow;

	if (!cm_event_may_open(event)) {
		cm_event_count(event, CM_C_DROP_RELAY_MISMATCH);
		return;
	}
	pthread_mutex_lock(&shard->lock);
	flow = find_flow(event, shard);
	if (flow && admit_replaces_entry(event, flow)) {
		cm_flow_shard_remove(shard, flow);
		flow = NULL;
	}
	if (flow)
		handle_known_flow(event, shard, flow);
	else
		cm_admit(event, shard, event->relay.kind_data);
	pthread_mutex_unlock(&shard->lock);
}

/*
 * Refuses a packet that was relayed for a server that cannot be used. If the
 * server is unknown here and the sender has a newer release note, the note may
 * add the server. The packet is then dropped rather than refused, so that a
 * retransmission succeeds once the note has arrived here.
 */
static void refuse_or_drop(struct cm_event *event, uint32_t server,
			   enum cm_refusal refusal)
{
	uint32_t version = (uint32_t)event->node->view.catalog.version;

	/* A relay carries the low 32 bits; versions compare modulo 2^32. */
	if (server == CM_NONE && !cm_switched_off(CM_SWITCH_BEHIND_WAITS) &&
	    (int32_t)(event->relay.version - version) > 0)
		cm_event_count(event, CM_C_DROP_BEHIND);
	else
		cm_event_refuse(event, refusal);
}

/* Handles a packet of a BOUND relay whose flow has no entry here. */
static void handle_bound_without_entry(struct cm_event *event,
				       struct cm_flow_shard *shard)
{
	enum cm_refusal refusal;
	uint32_t server;

	if (!cm_event_server_is_usable(event, &event->relay.server, &server,
				       &refusal))
		refuse_or_drop(event, server, refusal);
	else if (cm_event_is_syn(event))
		cm_admit_as_new(event, shard);
	else if (cm_event_is_self(event, cm_event_home(event, server)))
		cm_probe_bound(event, shard, server);
	else /* the sender's view, in which this is the home, differs */
		cm_event_count(event, CM_C_DROP_UNREACHABLE);
}

static void handle_bound_relay(struct cm_event *event)
{
	struct cm_flow_shard *shard =
		cm_flow_table_shard(&event->node->flows, event->hash);
	struct cm_flow *flow;

	pthread_mutex_lock(&shard->lock);
	flow = find_flow(event, shard);
	if (flow && flow->state == CM_FLOW_PROBING &&
	    !cm_syn_precedes_probe(event, flow)) {
		cm_flow_shard_remove(shard, flow);
		flow = NULL;
	}
	if (flow)
		handle_known_flow(event, shard, flow);
	else
		handle_bound_without_entry(event, shard);
	pthread_mutex_unlock(&shard->lock);
}

static void handle_probe_relay(struct cm_event *event)
{
	struct cm_flow_shard *shard =
		cm_flow_table_shard(&event->node->flows, event->hash);
	struct cm_flow *flow;

	pthread_mutex_lock(&shard->lock);
	flow = find_flow(event, shard);
	if (flow)
		handle_known_flow(event, shard, flow);
	else
		cm_probe_start(event, shard);
	pthread_mutex_unlock(&shard->lock);
}

void cm_event_handle_caller_packet(struct cm_event *event)
{
	switch (event->relay.kind) {
	case CM_RELAY_ADMIT:
		handle_admit_relay(event);
		break;
	case CM_RELAY_BOUND:
		handle_bound_relay(event);
		break;
	case CM_RELAY_PROBE:
		handle_probe_relay(event);
		break;
	case CM_RELAY_LOOKUP:
		if (event->relay.kind_data)
			look_up_and_handle(event, event->relay.kind_data);
		else
			forward_via_directory(event);
		break;
	/* Not valid for a packet from a caller; the relay is ignored. */
	case CM_RELAY_RETURN:
	default: /* a packet from the fabric */
		forward_via_directory(event);
		break;
	}
}
