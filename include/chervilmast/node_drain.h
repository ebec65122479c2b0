/**
 * DOC: Graceful shutdown of a node
 *
 * State that only the leaving instance holds. Once none is left, the process
 * can exit without breaking a flow or losing a count that other instances need.
 */
#ifndef CHERVILMAST_NODE_DRAIN_H
#define CHERVILMAST_NODE_DRAIN_H

#include "chervilmast/node.h"

/**
 * struct cm_node_drain - state that is still to be handed over
 * @known: this instance is LEAVING in its own view, so that other instances
 *         (if there are any) are the homes, and the flows have been swept since
 * @held: flows that this instance still holds as the home of their servers
 * @bindings: bindings may exist that were not announced to other instances
 * @reports: number of servers whose new home has not yet received a report of
 *           the connections that were held here
 */
struct cm_node_drain {
	bool known;
	uint64_t held;
	bool bindings;
	uint32_t reports;
};

/**
 * cm_node_drain_read() - read the progress of a graceful shutdown
 * @node: the node, after cm_node_leave()
 * @left: set to the remaining state
 *
 * Call it from the thread that calls cm_node_tick(), after the actions of the
 * last tick were executed.
 *
 * Return: true if nothing is left.
 */
bool cm_node_drain_read(struct cm_node *node, struct cm_node_drain *left);

#endif
