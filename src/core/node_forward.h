/**
 * DOC: Node, packets from callers
 *
 * node_forward.c dispatches each packet, node_known.c handles packets of flows
 * that have an entry here, node_lookup.c relays packets of other flows to the
 * instances that may have an entry.
 */
#ifndef CORE_NODE_FORWARD_H
#define CORE_NODE_FORWARD_H

#include "node_event.h"

/**
 * Limit of the difference between a caller's first acknowledgment number after
 * a SYN-ACK and the sequence number that follows the SYN-ACK, bytes. From this
 * difference on, the segment belongs to another connection.
 */
#define CM_FIRST_ACK_MAX (1 << 17)
/** Limit of the difference of sequence numbers in one connection, bytes. */
#define CM_SEQ_WINDOW (1 << 24)
/**
 * Time after the last change of a flow's state or server from which the server
 * is assumed to hold the flow even if this instance has seen no answer of the
 * server, ms.
 */
#define CM_UNCONFIRMED_MS 5000

/**
 * cm_event_handle_caller_packet() - handle a packet from a caller to a service
 * @event: the packet
 */
void cm_event_handle_caller_packet(struct cm_event *event);

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
 * cm_segment_is_in_window() - whether a segment may belong to a flow's
 * connection
 * @flow: the flow
 * @packet: the segment
 *
 * Return: true if its sequence number is within CM_SEQ_WINDOW of the flow's.
 */
bool cm_segment_is_in_window(const struct cm_flow *flow,
			     const struct cm_packet *packet);

/**
 * cm_syn_precedes_probe() - whether a SYN precedes the probe of its flow
 * @event: the packet
 * @flow: the flow
 *
 * If the probe began with a later segment of the same connection, the SYN was
 * delayed on the network and must not open a new connection.
 *
 * Return: true if the SYN precedes the probe.
 */
bool cm_syn_precedes_probe(const struct cm_event *event,
			   const struct cm_flow *flow);

/**
 * cm_syn_is_answered() - whether the server of a flow has answered this SYN
 * @event: the packet
 * @flow: the flow
 *
 * Return: true if the flow is BOUND, this instance has seen the SYN-ACK to this
 * SYN, and the caller has not acknowledged it yet.
 */
bool cm_syn_is_answered(const struct cm_event *event,
			const struct cm_flow *flow);

/**
 * cm_flow_end() - release and remove a flow that has ended
 * @event: a packet of the flow
 * @shard: the flow's shard, locked
 * @flow: the flow; freed
 */
void cm_flow_end(struct cm_event *event, struct cm_flow_shard *shard,
		 struct cm_flow *flow);

/**
 * cm_admit_as_new() - admit a flow that has no entry here
 * @event: its first packet
 * @shard: the flow's shard, locked
 */
void cm_admit_as_new(struct cm_event *event, struct cm_flow_shard *shard);

/**
 * cm_forward_bound() - relay a packet to the home of the flow's server, or
 * handle it here if this instance is the home
 * @event: the packet
 * @shard: the flow's shard, locked
 * @flow: the flow, RELAYED or BOUND
 */
void cm_forward_bound(struct cm_event *event, struct cm_flow_shard *shard,
		      struct cm_flow *flow);

/**
 * cm_forward_unknown() - handle a packet of a flow without entry here
 * @event: the packet
 * @shard: the flow's shard, locked
 * @considered_count: number of earlier first candidates of the flow that were
 *                    considered on other instances, see CM_RELAY_LOOKUP
 *
 * Admits a new flow. Relays other packets to the homes of earlier first
 * candidates, one after the other, then to the directory for a probe.
 */
void cm_forward_unknown(struct cm_event *event, struct cm_flow_shard *shard,
			uint32_t considered_count);

/**
 * cm_forward_held() - send a packet of a flow admitted or adopted here to its
 * server
 * @event: the packet
 * @shard: the flow's shard, locked
 * @flow: the flow, OPENING, OPEN or CLOSING
 */
void cm_forward_held(struct cm_event *event, struct cm_flow_shard *shard,
		     struct cm_flow *flow);

#endif
