/**
 * DOC: Store thread
 *
 * Reads and watches the store, which is the platform's key-value service, at
 * the times that the note follower selects. Passes new release notes to the
 * note feed and the platform's list of instances to a handler.
 */
#ifndef DAEMON_STORE_LOOP_H
#define DAEMON_STORE_LOOP_H

#include <pthread.h>

#include "adapters/etcd_store.h"
#include "config/publication.h"
#include "config/settings.h"
#include "note_feed.h"

/**
 * typedef cm_instances_handler - receives the platform's list of instances
 * @user: value passed to cm_store_loop_init()
 * @members: the instances
 * @count: number of @members
 */
typedef void (*cm_instances_handler)(void *user,
				     const struct cm_member *members,
				     uint32_t count);

/**
 * struct cm_store_loop - the store thread of an instance
 * @feed: receives the release notes
 * @settings: settings of the process
 * @handler: receives the list of instances
 * @user: passed to @handler
 * @store: the store
 * @publication: the release notes in @store
 * @revision: revision of the store at the last read
 * @counted_calls: calls of @store that CM_C_STORE_CALLS includes
 * @thread: the thread
 * @stopping: set to stop the thread
 * @is_reachable: the last call to the store was answered; false at the start
 */
struct cm_store_loop {
	struct cm_note_feed *feed;
	const struct cm_settings *settings;
	cm_instances_handler handler;
	void *user;
	struct cm_etcd_store store;
	struct cm_publication publication;
	int64_t revision;
	uint64_t counted_calls;
	pthread_t thread;
	uint32_t stopping;
	bool is_reachable;
};

/**
 * cm_store_loop_init() - start the thread
 * @loop: memory owned by the calling function
 * @feed: receives the release notes
 * @settings: settings of the process
 * @handler: receives the list of instances; called in the thread
 * @user: passed to @handler
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_store_loop_init(struct cm_store_loop *loop, struct cm_note_feed *feed,
		       const struct cm_settings *settings,
		       cm_instances_handler handler, void *user);

/**
 * cm_store_loop_finish() - stop the thread
 * @loop: the loop; the struct itself is not freed
 */
void cm_store_loop_finish(struct cm_store_loop *loop);

#endif
