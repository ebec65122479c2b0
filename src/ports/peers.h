/**
 * DOC: Port to the other instances
 *
 * Carries messages between instances. An adapter fills the table of functions
 * and embeds struct cm_peers. Delivery is not guaranteed: a message is dropped
 * when the send queue is full or the peer can't be reached.
 */
#ifndef PORTS_PEERS_H
#define PORTS_PEERS_H

#include <stdbool.h>

#include "chervilmast/message.h"

struct cm_peers;

/**
 * struct cm_peers_handler - receiver of messages
 * @receive: handle @message. @answer is uninitialised; returns true when it has
 *           been set. The adapter then sends @answer over the connection that
 *           @message arrived on and frees it. Called by the thread that calls
 *           @run.
 * @user: passed to @receive
 */
struct cm_peers_handler {
	bool (*receive)(void *user, const struct cm_message *message,
			struct cm_message *answer);
	void *user;
};

/**
 * struct cm_peers_ops - functions of an adapter
 * @send: send @message to the instance whose control address is @to; does not
 *        block; may be called from any thread. Returns 0, or CM_E_TOO_LARGE,
 *        CM_E_UNAVAILABLE, CM_E_MEMORY or CM_E_IO when it was dropped.
 * @run: wait up to @timeout_ms for events, process them, and pass received
 *       messages to the handler; always called by the same thread. Returns 0
 *       or CM_E_IO.
 */
struct cm_peers_ops {
	int (*send)(struct cm_peers *peers, const struct cm_endpoint *to,
		    const struct cm_message *message);
	int (*run)(struct cm_peers *peers, uint32_t timeout_ms);
};

/**
 * struct cm_peers - connection to the other instances
 * @ops: functions of the adapter
 * @handler: receiver of messages
 */
struct cm_peers {
	const struct cm_peers_ops *ops;
	struct cm_peers_handler handler;
};

#endif
