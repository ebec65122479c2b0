/**
 * DOC: Graceful shutdown of a node
 *
 * Reports the state that only the instance in shutdown still holds. Once
 * nothing remains, the process can exit without breaking a flow or losing the
 * connection counts that the new homes of its servers need.
 */
#ifndef CHERVILMAST_NODE_DRAIN_H
#define CHERVILMAST_NODE_DRAIN_H

#include "chervilmast/node.h"

/**
 * struct cm_node_drain - state that is still to be handed over
 * @leave_applied: this instance is LEAVING in its own view, so that other
 *                 instances (if there are any) are the homes, and the flows
 *                 have been swept since
 * @held_flows: flows that this instance still holds as the home of their
 *              servers
 * @bindings_pending: bindings may exist that were not announced to other
 *                    instances
 * @reports_pending: number of servers whose new home has not yet received a
 *                   report of the connections that were held here
 */
struct cm_node_drain {
	bool leave_applied;
	uint64_t held_flows;
	bool bindings_pending;
	uint32_t reports_pending;
};

/**
 * cm_node_drain_read() - read the progress of a graceful shutdown
 * @node: the node, after cm_node_leave()
 * @remaining: set to the remaining state
 *
 * Call it from the thread that calls cm_node_tick(), after the actions of the
 * last tick were executed.
 *
 * Return: true if nothing remains.
 */
bool cm_node_drain_read(struct cm_node *node, struct cm_node_drain *remaining);

#endif
