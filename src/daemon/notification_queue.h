/**
 * DOC: Queue of notifications to other instances
 *
 * Packet threads add bindings of flows and loads of servers; the control thread
 * takes them out as one message for each receiver and kind. The queue is
 * bounded: when it is full, a new notification is dropped and counted. If
 * memory runs out while notifications are taken out, some are dropped without
 * being counted. An instance that misses a binding finds the flow's server by
 * probing.
 */
#ifndef DAEMON_NOTIFICATION_QUEUE_H
#define DAEMON_NOTIFICATION_QUEUE_H

#include <pthread.h>

#include "chervilmast/action.h"
#include "chervilmast/counter.h"
#include "chervilmast/outbox.h"

/** Maximum number of queued notifications. */
#define CM_NOTIFICATIONS_MAX 4096

/**
 * struct cm_notification - a queued notification
 * @kind: CM_ACTION_SEND_BINDING or CM_ACTION_SEND_LOAD; another value once it
 *        was taken out
 * @to: control address of the receiver
 * @binding: binding of a flow, for CM_ACTION_SEND_BINDING
 * @load: load of a server, for CM_ACTION_SEND_LOAD
 */
struct cm_notification {
	enum cm_action_kind kind;
	struct cm_endpoint to;
	union {
		struct cm_message_binding binding;
		struct cm_message_load load;
	};
};

/**
 * struct cm_notification_queue - the queue
 * @counters: counts dropped notifications
 * @lock: guards all members below
 * @items: the queued notifications; owned
 * @count: number of @items
 */
struct cm_notification_queue {
	struct cm_counters *counters;
	pthread_mutex_t lock;
	struct cm_notification *items;
	uint32_t count;
};

/**
 * cm_notification_queue_is_empty() - whether nothing is queued
 * @queue: the queue
 *
 * Return: true when the queue is empty.
 */
bool cm_notification_queue_is_empty(struct cm_notification_queue *queue);

/**
 * cm_notification_queue_init() - initialise an empty queue
 * @queue: memory owned by the calling function
 * @counters: counts dropped notifications
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_notification_queue_init(struct cm_notification_queue *queue,
			       struct cm_counters *counters);

/**
 * cm_notification_queue_finish() - free what a queue holds
 * @queue: the queue; the struct itself is not freed
 */
void cm_notification_queue_finish(struct cm_notification_queue *queue);

/**
 * cm_notification_queue_add() - add the notification of an action
 * @queue: the queue
 * @action: an action of kind CM_ACTION_SEND_BINDING or CM_ACTION_SEND_LOAD
 *
 * Safe to call from any thread.
 */
void cm_notification_queue_add(struct cm_notification_queue *queue,
			       const struct cm_action *action);

/**
 * cm_notification_queue_take() - turn all queued notifications into messages
 * @queue: the queue
 * @outbox: one message for each receiver and kind is appended
 */
void cm_notification_queue_take(struct cm_notification_queue *queue,
				struct cm_outbox *outbox);

#endif
