/**
 * DOC: Registry loop of an instance that steers by token
 *
 * A thread that reads the registry once and then waits for its changes, and
 * gives all of it to the node. Each wait is short, so that a connection that
 * fell silent is noticed before what the node knows is too old.
 */
#ifndef DAEMON_REGISTRY_LOOP_H
#define DAEMON_REGISTRY_LOOP_H

#include <pthread.h>

#include "chervilmast/steer.h"
#include "ports/registry.h"

/**
 * struct cm_registry_loop - a registry loop
 * @steer: the node
 * @registry: the registry
 * @self: entry of this node
 * @wait_ms: longest wait for changes in one call
 * @announced_ms: when the node's entry was last kept; 0 for never
 * @is_read: all of the registry was read once
 * @is_reachable: the last call was answered
 * @lock: guards @is_tried
 * @tried: signalled when @is_tried is set
 * @is_tried: the first call has ended
 * @counted: calls that were counted so far
 * @stopping: set to stop the thread
 * @thread: the thread
 */
struct cm_registry_loop {
	struct cm_steer *steer;
	struct cm_registry *registry;
	struct cm_peer_entry self;
	uint32_t wait_ms;
	uint64_t announced_ms;
	bool is_read;
	bool is_reachable;
	pthread_mutex_t lock;
	pthread_cond_t tried;
	bool is_tried;
	uint64_t counted;
	uint32_t stopping;
	pthread_t thread;
};

/**
 * cm_registry_loop_init() - start the thread
 * @loop: memory of the caller
 * @steer: the node
 * @registry: the registry; used by the thread alone from now on
 * @self: entry of this node
 * @wait_ms: longest wait for changes in one call
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_registry_loop_init(struct cm_registry_loop *loop, struct cm_steer *steer,
			  struct cm_registry *registry,
			  const struct cm_peer_entry *self, uint32_t wait_ms);

/**
 * cm_registry_loop_wait_first() - wait until the first call has ended
 * @loop: the loop
 * @most_ms: longest wait
 */
void cm_registry_loop_wait_first(struct cm_registry_loop *loop,
				 uint32_t most_ms);

/**
 * cm_registry_loop_finish() - stop the thread
 * @loop: the loop; its memory stays the caller's
 */
void cm_registry_loop_finish(struct cm_registry_loop *loop);

#endif
