/**
 * DOC: Node, packets from backend servers
 */
#ifndef CORE_NODE_RETURN_H
#define CORE_NODE_RETURN_H

#include "node_event.h"

/**
 * cm_return() - handle a packet from a backend server to a caller
 * @event: the packet
 */
void cm_return(struct cm_event *event);

#endif
