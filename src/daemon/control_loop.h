/**
 * DOC: Control thread
 *
 * Runs the membership protocol and exchanges messages with other instances.
 * Passes to the node the members, the deadlines until which it may admit flows
 * and handle packets, and the bindings and server loads that other instances
 * sent. Packet threads do not wait for its network I/O.
 */
#ifndef DAEMON_CONTROL_LOOP_H
#define DAEMON_CONTROL_LOOP_H

#include <pthread.h>

#include "adapters/peer_tcp.h"
#include "chervilmast/membership.h"
#include "chervilmast/node.h"
#include "config/settings.h"
#include "note_feed.h"
#include "notification_queue.h"

/**
 * struct cm_control_loop - the control thread of an instance
 * @node: the node
 * @feed: note feed of this instance
 * @settings: settings of the process
 * @peers: control connections to other instances
 * @send_queue: bindings and loads to send to other instances
 * @lock: guards @membership
 * @membership: membership state
 * @logged: the members whose states were logged last; owned
 * @logged_count: number of @logged
 * @start_ms: start time, for the uptime
 * @next_tick_ms: time at which the next tick is due
 * @is_pause_logged: the last of CM_EVENT_PAUSED and CM_EVENT_CAUGHT_UP that was
 *                   logged is CM_EVENT_PAUSED
 * @thread: the thread
 * @stopping: nonzero tells the thread to exit; accessed atomically
 */
struct cm_control_loop {
	struct cm_node *node;
	struct cm_note_feed *feed;
	const struct cm_settings *settings;
	struct cm_peer_tcp peers;
	struct cm_notification_queue send_queue;
	pthread_mutex_t lock;
	struct cm_membership membership;
	struct cm_member *logged;
	uint32_t logged_count;
	uint64_t start_ms;
	uint64_t next_tick_ms;
	bool is_pause_logged;
	pthread_t thread;
	uint32_t stopping;
};

/**
 * cm_control_loop_init() - start the thread
 * @loop: memory owned by the calling function
 * @node: the node
 * @feed: note feed of this instance
 * @settings: settings of the process
 *
 * A failure to bind the control address is logged, and the running thread
 * retries.
 *
 * Return: 0, CM_E_MEMORY or CM_E_IO.
 */
int cm_control_loop_init(struct cm_control_loop *loop, struct cm_node *node,
			 struct cm_note_feed *feed,
			 const struct cm_settings *settings);

/**
 * cm_control_loop_finish() - announce the stop to other instances and stop the
 * thread
 * @loop: the loop; the struct itself is not freed
 */
void cm_control_loop_finish(struct cm_control_loop *loop);

/**
 * cm_control_loop_add_listed() - pass the platform's list of instances to the
 * membership
 * @loop: the loop
 * @members: the listed instances
 * @count: number of @members
 *
 * Can be called from any thread.
 */
void cm_control_loop_add_listed(struct cm_control_loop *loop,
				const struct cm_member *members,
				uint32_t count);

/**
 * cm_control_loop_leave() - announce the graceful shutdown to other instances
 * @loop: the loop
 *
 * Can be called from any thread; the next tick sends the announcement.
 */
void cm_control_loop_leave(struct cm_control_loop *loop);

#endif
