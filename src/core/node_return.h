/**
 * DOC: Node, packets from backend servers
 */
#ifndef CORE_NODE_RETURN_H
#define CORE_NODE_RETURN_H

#include "node_event.h"

/**
 * cm_event_handle_server_packet() - handle a packet from a server to a caller
 * @event: the packet
 */
void cm_event_handle_server_packet(struct cm_event *event);

#endif
