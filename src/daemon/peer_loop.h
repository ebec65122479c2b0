/**
 * DOC: Messages between instances that steer by token
 *
 * A thread that answers other instances' requests for registry data from the
 * local copy of the registry. It also receives other instances' answers to the
 * requests of this one and applies them to that copy.
 */
#ifndef DAEMON_PEER_LOOP_H
#define DAEMON_PEER_LOOP_H

#include <pthread.h>

#include "adapters/peer_tcp.h"
#include "feed.h"

/**
 * struct cm_peer_loop - thread for messages between instances
 * @feed: local copy of the registry
 * @peers: connections to other instances
 * @stopping: set to stop the thread
 * @thread: the thread
 */
struct cm_peer_loop {
	struct cm_feed *feed;
	struct cm_peer_tcp peers;
	uint32_t stopping;
	pthread_t thread;
};

/**
 * cm_peer_loop_init() - start the thread
 * @loop: memory owned by the calling function
 * @feed: local copy of the registry
 *
 * Return: 0, CM_E_IO or CM_E_MEMORY.
 */
int cm_peer_loop_init(struct cm_peer_loop *loop, struct cm_feed *feed);

/**
 * cm_peer_loop_request_items() - request registry changes from another instance
 * @loop: the loop
 * @to: control address of the instance
 *
 * Does not wait for the answer; the thread applies it to the feed.
 * Safe to call from any thread.
 *
 * Return: 0, or an error when the request was not sent.
 */
int cm_peer_loop_request_items(struct cm_peer_loop *loop,
			       const struct cm_endpoint *to);

/**
 * cm_peer_loop_finish() - stop the thread
 * @loop: the loop; the struct itself is not freed
 */
void cm_peer_loop_finish(struct cm_peer_loop *loop);

#endif
