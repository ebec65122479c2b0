/**
 * DOC: Registry loop of an instance that steers by token
 *
 * A thread that keeps the feed up to date: it sends requests to the source of
 * its failure domain or to the registry itself. Waits for changes are short, so
 * that a connection that stopped delivering data is detected before the copy is
 * too old.
 */
#ifndef DAEMON_REGISTRY_LOOP_H
#define DAEMON_REGISTRY_LOOP_H

#include <pthread.h>

#include "config/steer_settings.h"
#include "feed.h"
#include "peer_loop.h"

/**
 * struct cm_registry_loop - a registry loop
 * @feed: local copy of the registry
 * @peers: sends requests to other instances
 * @registry: the registry
 * @settings: settings of the process
 * @wait_ms: maximum wait for changes in one call
 * @lease: lease of the members entry that this instance wrote; id 0 for none
 * @next_lease_renewal_ms: when the lease has to be renewed
 * @data_current_ms: time at which the data of the last answer was certainly
 *                   current
 * @is_reachable: the last call to the registry was answered
 * @was_answered: the last step called the registry, and the call succeeded
 * @retry_ms: mean pause after the next failed call
 * @random_count: number of random numbers drawn for pauses
 * @next_seed: index of the next seed to send a request to, modulo the number of
 *             seeds
 * @counted_calls: calls of @registry that CM_C_STORE_CALLS includes
 * @lock: guards @has_first_read_ended
 * @first_read_ended: signalled when @has_first_read_ended is set
 * @has_first_read_ended: the first read of the registry has ended
 * @stopping: set to stop the thread
 * @thread: the thread
 */
struct cm_registry_loop {
	struct cm_feed *feed;
	struct cm_peer_loop *peers;
	struct cm_registry *registry;
	const struct cm_steer_settings *settings;
	uint32_t wait_ms;
	struct cm_registry_lease lease;
	uint64_t next_lease_renewal_ms;
	uint64_t data_current_ms;
	bool is_reachable;
	bool was_answered;
	uint32_t retry_ms;
	uint64_t random_count;
	size_t next_seed;
	uint64_t counted_calls;
	pthread_mutex_t lock;
	pthread_cond_t first_read_ended;
	bool has_first_read_ended;
	uint32_t stopping;
	pthread_t thread;
};

/**
 * cm_registry_loop_init() - start the thread
 * @loop: memory owned by the calling function; zeroed except for @feed, @peers,
 *        @registry, @settings and @wait_ms
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_registry_loop_init(struct cm_registry_loop *loop);

/**
 * cm_registry_loop_wait_first_data() - wait for the data needed to place flows
 * @loop: the loop
 * @max_wait_ms: maximum wait
 *
 * Returns when a plan and a server are known, when the first read of the
 * registry has ended, successfully or not, or after @max_wait_ms.
 */
void cm_registry_loop_wait_first_data(struct cm_registry_loop *loop,
				      uint32_t max_wait_ms);

/**
 * cm_registry_loop_finish() - stop the thread
 * @loop: the loop; the struct itself is not freed
 */
void cm_registry_loop_finish(struct cm_registry_loop *loop);

#endif
