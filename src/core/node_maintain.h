/**
 * DOC: Node, flow timeouts and changes of the view
 *
 * Changes of flows that are not caused by a packet: node_maintain.c expires
 * flows and records announced bindings, node_sweep.c applies a new view to the
 * flows.
 */
#ifndef CORE_NODE_MAINTAIN_H
#define CORE_NODE_MAINTAIN_H

#include "node_event.h"

/** Timeout of a flow that another instance has to admit, ms. */
#define CM_RELAYED_TIMEOUT_MS 3000
/** Timeout of a flow whose server has not answered its SYN, ms. */
#define CM_OPENING_TIMEOUT_MS 10000
/** Timeout of a probed flow after its last segment, ms. */
#define CM_PROBING_TIMEOUT_MS 60000
/** Time for which the entry of an ended flow is kept for late packets, ms. */
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
 *
 * Sends nothing if the flow is not held, its sequence numbers are unknown, or
 * its server is not in the catalog or in a failure domain that is out.
 */
void cm_node_reset_at_server(struct cm_node *node, const struct cm_flow *flow,
			     struct cm_actions *actions);

/**
 * cm_node_sweep() - apply a changed view to all flows
 * @node: the node, its view locked for reading
 * @now_ms: current time
 * @actions: appended to
 *
 * If the view has not changed since the last call but binding announcements are
 * deferred, each call sweeps one shard, at most one per CM_SWEEP_SHARD_MS
 * except in a graceful shutdown.
 */
void cm_node_sweep(struct cm_node *node, uint64_t now_ms,
		   struct cm_actions *actions);

#endif
