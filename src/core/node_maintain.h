/**
 * DOC: Node: flow timeouts and changes of the view
 *
 * Changes to flows without a packet: node_maintain.c expires them,
 * node_sweep.c applies a new view to them.
 */
#ifndef CORE_NODE_MAINTAIN_H
#define CORE_NODE_MAINTAIN_H

#include "node_event.h"

/** Timeout of a flow that was passed on to another home, ms. */
#define CM_PASSED_TIMEOUT_MS 3000
/** Timeout of a flow whose server has not answered its SYN, ms. */
#define CM_OPENING_TIMEOUT_MS 10000
/** Timeout of a probed flow after its last segment, ms. */
#define CM_PROBING_TIMEOUT_MS 60000
/** Time for which an ended flow is kept for late packets, ms. */
#define CM_CLOSING_TIMEOUT_MS 5000
/**
 * Minimum time between the sweeps of two successive shards for deferred binding
 * announcements, ms.
 */
#define CM_SWEEP_SHARD_MS 400

/**
 * cm_node_reset_at_server() - send the server of a held TCP flow an RST
 * @node: the node, its view locked
 * @flow: the flow, about to be removed
 * @actions: appended to
 */
void cm_node_reset_at_server(struct cm_node *node, const struct cm_flow *flow,
			     struct cm_actions *actions);

/**
 * cm_sweep() - apply a changed view to all flows
 * @node: the node, its view locked for reading
 * @now_ms: current time
 * @actions: appended to
 *
 * If the view has not changed but binding announcements are deferred, each call
 * sweeps one shard, at most one per CM_SWEEP_SHARD_MS except in a graceful
 * shutdown.
 */
void cm_sweep(struct cm_node *node, uint64_t now_ms,
	      struct cm_actions *actions);

#endif
