/**
 * DOC: Node, internal interface
 *
 * Shared by the node_*.c files; see chervilmast/node.h for the public
 * interface.
 */
#ifndef CORE_NODE_INTERNAL_H
#define CORE_NODE_INTERNAL_H

#include "chervilmast/node.h"

/** Binding announcements per second; each takes 30 bytes on the wire. */
#define CM_ANNOUNCES_PER_S 25
/** Maximum number of binding announcements in a burst. */
#define CM_ANNOUNCES_BURST 1000

/**
 * cm_node_backend() - admission state of a server
 * @node: the node, its view locked
 * @address: address of the server
 *
 * Return: the backend, or NULL if the server is not in the catalog.
 */
struct cm_backend *cm_node_backend(struct cm_node *node,
				   const struct cm_endpoint *address);

/**
 * cm_node_release() - stop counting a flow as a connection of its server
 * @node: the node, its view locked
 * @flow: the flow; nothing happens unless cm_flow_is_held()
 */
void cm_node_release(struct cm_node *node, const struct cm_flow *flow);

#endif
