/**
 * DOC: Messages between instances that steer by token
 *
 * A thread that answers other instances from the copy of the registry, and
 * takes what they answer.
 */
#ifndef DAEMON_PEER_LOOP_H
#define DAEMON_PEER_LOOP_H

#include <pthread.h>

#include "adapters/peer_tcp.h"
#include "feed.h"

/**
 * struct cm_peer_loop - messages between instances
 * @feed: what is heard of the registry
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
 * @loop: memory of the caller
 * @feed: what is heard of the registry
 *
 * Return: 0, CM_E_IO or CM_E_MEMORY.
 */
int cm_peer_loop_init(struct cm_peer_loop *loop, struct cm_feed *feed);

/**
 * cm_peer_loop_ask() - ask an instance for what changed; from any thread
 * @loop: the loop
 * @to: where the instance answers
 *
 * The answer goes to the feed; there may be none.
 *
 * Return: 0, or why the question was not sent.
 */
int cm_peer_loop_ask(struct cm_peer_loop *loop, const struct cm_endpoint *to);

/**
 * cm_peer_loop_finish() - stop the thread
 * @loop: the loop; its memory stays the caller's
 */
void cm_peer_loop_finish(struct cm_peer_loop *loop);

#endif
