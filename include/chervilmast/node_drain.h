/**
 * DOC: Graceful shutdown of a node
 *
 * Reports the state that only the instance in graceful shutdown still holds.
 * Once no such state remains, the process can exit without breaking a flow or
 * losing the connection counts that the new homes of its servers need.
 */
#ifndef CHERVILMAST_NODE_DRAIN_H
#define CHERVILMAST_NODE_DRAIN_H

#include "chervilmast/node.h"

/**
 * struct cm_node_drain - progress of a graceful shutdown
 * @leave_applied: this instance is LEAVING in its own view, so that other
 *                 instances of its failure domain (if there are any) are the
 *                 homes, and the flows have been swept since
 * @held_flows: flows that this instance still holds as the home of their
 *              servers
 * @bindings_pending: there may be bindings that still have to be announced to
 *                    other instances
 * @reports_pending: number of servers for which no report of the connections
 *                   held here was sent to the new home yet
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
 * @remaining: set to the progress
 *
 * To be called from the thread that calls cm_node_tick(), after the actions of
 * the last tick were executed.
 *
 * Return: true if @leave_applied is set and no state remains.
 */
bool cm_node_drain_read(struct cm_node *node, struct cm_node_drain *remaining);

#endif
