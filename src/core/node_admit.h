/**
 * DOC: Node, admission of new flows
 */
#ifndef CORE_NODE_ADMIT_H
#define CORE_NODE_ADMIT_H

#include "node_event.h"

/**
 * cm_half_open_evict() - make room for a half-open flow by evicting the oldest
 * @event: the current packet
 * @shard: a shard, locked
 */
void cm_half_open_evict(struct cm_event *event, struct cm_flow_shard *shard);

/**
 * cm_admit() - admit a new flow to a server, relay it to a home or refuse it
 * @event: its first packet
 * @shard: the flow's shard, locked
 * @tried: bit mask of the candidates that were tried
 */
void cm_admit(struct cm_event *event, struct cm_flow_shard *shard,
	      uint32_t tried);

/**
 * cm_admit_syn_answered() - record that a server answered the SYN of a held
 * flow
 * @event: a packet of the flow
 * @flow: the flow, in state OPENING
 */
void cm_admit_syn_answered(struct cm_event *event, const struct cm_flow *flow);

/**
 * cm_admit_flow_reset() - record that the server reset an open flow
 * @event: the RST
 * @flow: the flow, in state OPEN
 */
void cm_admit_flow_reset(struct cm_event *event, const struct cm_flow *flow);

/**
 * cm_admit_idle_timeout_ms() - idle timeout of the flows of a server
 * @node: the node, its view locked
 * @server: index of the server
 *
 * Return: the idle timeout of its service, ms.
 */
uint64_t cm_admit_idle_timeout_ms(const struct cm_node *node, uint32_t server);

/**
 * cm_admit_take_over() - begin to admit to a server as its new home if its
 * takeover is due
 * @node: the node, its view locked
 * @server: index of the server
 * @now_ms: current time
 */
void cm_admit_take_over(struct cm_node *node, uint32_t server, uint64_t now_ms);

/**
 * cm_admit_retry() - try the next candidate after the server reset the SYN, or
 * refuse the flow
 * @event: the RST
 * @shard: the flow's shard, locked
 * @flow: the flow, in state OPENING
 */
void cm_admit_retry(struct cm_event *event, struct cm_flow_shard *shard,
		    struct cm_flow *flow);

#endif
