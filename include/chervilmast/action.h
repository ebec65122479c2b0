/**
 * DOC: Actions
 *
 * The core does no I/O. It appends the packets and messages to send to a list
 * of actions, which the calling function owns and carries out.
 */
#ifndef CHERVILMAST_ACTION_H
#define CHERVILMAST_ACTION_H

#include "chervilmast/message.h"
#include "chervilmast/packet.h"
#include "chervilmast/relay.h"

/**
 * enum cm_action_kind - kind of packet or message to send
 * @CM_ACTION_TO_SERVER: send a packet to a backend server over the fabric
 * @CM_ACTION_TO_CALLER: send a packet to a caller over the fabric
 * @CM_ACTION_RELAY: send a packet to another instance
 * @CM_ACTION_SEND_BINDING: send another instance the binding of a flow to its
 *                          backend server
 * @CM_ACTION_SEND_LOAD: send another instance the load of a backend server
 */
enum cm_action_kind {
	CM_ACTION_TO_SERVER,
	CM_ACTION_TO_CALLER,
	CM_ACTION_RELAY,
	CM_ACTION_SEND_BINDING,
	CM_ACTION_SEND_LOAD,
};

/**
 * struct cm_action - one packet or message to send
 * @kind: kind of packet or message, and of its receiver
 * @flow: key of the flow; zero for CM_ACTION_SEND_LOAD
 * @server: backend server concerned; zero if none
 * @peer: data address of the other instance, for CM_ACTION_RELAY,
 *        CM_ACTION_SEND_BINDING and CM_ACTION_SEND_LOAD
 * @peer_control: control address of the other instance, for
 *                CM_ACTION_SEND_BINDING and CM_ACTION_SEND_LOAD
 * @relay: relay header to put before the packet, for CM_ACTION_RELAY
 * @load: the load, for CM_ACTION_SEND_LOAD
 * @built: the packet to send; if its length is 0, send the packet that was
 *         passed to the core, which has rewritten it in place
 */
struct cm_action {
	enum cm_action_kind kind;
	struct cm_flow_key flow;
	struct cm_endpoint server;
	struct cm_endpoint peer;
	struct cm_endpoint peer_control;
	struct cm_relay relay;
	struct cm_message_load load;
	struct cm_built_packet built;
};

/**
 * struct cm_actions - a list of actions
 * @items: the actions, in the order in which to carry them out
 * @count: number of @items
 * @capacity: allocated length of @items
 */
struct cm_actions {
	struct cm_action *items;
	size_t count;
	size_t capacity;
};

/**
 * cm_actions_init() - initialize an empty list
 * @actions: uninitialized memory, owned by the calling function
 */
void cm_actions_init(struct cm_actions *actions);

/**
 * cm_actions_finish() - free the elements of a list
 * @actions: the list; the struct itself is not freed
 */
void cm_actions_finish(struct cm_actions *actions);

/**
 * cm_actions_clear() - empty a list and keep its allocation
 * @actions: the list
 */
void cm_actions_clear(struct cm_actions *actions);

/**
 * cm_actions_add() - append an action
 * @actions: the list
 * @kind: what to send
 *
 * Return: the new action, zeroed except for its kind, or NULL if out of memory.
 */
struct cm_action *cm_actions_add(struct cm_actions *actions,
				 enum cm_action_kind kind);

#endif
