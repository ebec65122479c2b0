/**
 * DOC: Node: packets from callers
 *
 * node_forward.c dispatches each packet, node_known.c handles packets of flows
 * that have an entry here, node_lookup.c asks other instances about the rest.
 */
#ifndef CORE_NODE_FORWARD_H
#define CORE_NODE_FORWARD_H

#include "node_event.h"

/**
 * A caller's first acknowledgment after a SYN-ACK is less than this beyond the
 * SYN-ACK's sequence number, bytes; otherwise it belongs to another connection.
 */
#define CM_FIRST_ACK_MAX (1 << 17)
/** Maximum distance of sequence numbers of one connection, bytes. */
#define CM_SEQ_WINDOW (1 << 24)
/**
 * Age at which a flow is taken to be held by its server although this instance
 * has not seen the server answer, ms.
 */
#define CM_UNCONFIRMED_MS 5000

/**
 * cm_forward() - handle a packet from a caller to a service
 * @event: the packet
 */
void cm_forward(struct cm_event *event);

/**
 * cm_event_is_syn() - whether a packet opens a TCP connection
 * @event: the packet
 *
 * Return: true for SYN without ACK.
 */
bool cm_event_is_syn(const struct cm_event *event);

/**
 * cm_event_may_open() - whether a packet may be the first of its flow
 * @event: the packet
 *
 * Return: true for a SYN and for every UDP datagram.
 */
bool cm_event_may_open(const struct cm_event *event);

/**
 * cm_segment_in_window() - whether a segment may belong to a flow's connection
 * @flow: the flow
 * @packet: the segment
 *
 * Return: true if its sequence number is within CM_SEQ_WINDOW of the flow's.
 */
bool cm_segment_in_window(const struct cm_flow *flow,
			  const struct cm_packet *packet);

/**
 * cm_syn_precedes_probe() - whether a SYN precedes the probe of its flow
 * @event: the packet
 * @flow: the flow
 *
 * The probe began with a later segment of the same connection, so the SYN was
 * delayed on the network and must not open a new connection.
 *
 * Return: true if it does.
 */
bool cm_syn_precedes_probe(const struct cm_event *event,
			   const struct cm_flow *flow);

/**
 * cm_syn_is_answered() - whether the server of a flow has answered this SYN
 * @event: the packet
 * @flow: the flow
 *
 * Return: true for the SYN of a BOUND flow whose SYN-ACK passed this instance.
 */
bool cm_syn_is_answered(const struct cm_event *event,
			const struct cm_flow *flow);

/**
 * cm_flow_end() - release and remove a flow that has ended
 * @event: a packet of it
 * @shard: the flow's shard, locked
 * @flow: the flow
 */
void cm_flow_end(struct cm_event *event, struct cm_flow_shard *shard,
		 struct cm_flow *flow);

/**
 * cm_admit_as_new() - admit a flow that has no valid entry here
 * @event: its first packet
 * @shard: the flow's shard, locked
 */
void cm_admit_as_new(struct cm_event *event, struct cm_flow_shard *shard);

/**
 * cm_forward_bound() - relay a packet of a flow held by another instance
 * @event: the packet
 * @shard: the flow's shard, locked
 * @flow: the flow, RELAYED or BOUND
 */
void cm_forward_bound(struct cm_event *event, struct cm_flow_shard *shard,
		      struct cm_flow *flow);

/**
 * cm_forward_unknown() - ask other instances about a flow without entry here
 * @event: the packet
 * @shard: the flow's shard, locked
 * @asked_count: number of servers whose homes were asked before
 */
void cm_forward_unknown(struct cm_event *event, struct cm_flow_shard *shard,
			uint32_t asked_count);

/**
 * cm_forward_held() - send a packet of a flow admitted or adopted here
 * @event: the packet
 * @shard: the flow's shard, locked
 * @flow: the flow, OPENING, OPEN or CLOSING
 */
void cm_forward_held(struct cm_event *event, struct cm_flow_shard *shard,
		     struct cm_flow *flow);

#endif
