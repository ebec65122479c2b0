/**
 * DOC: Queue of what is told to other instances
 *
 * Packet threads put bindings and loads in; the control thread takes them out
 * as one message for each receiver. Bounded: what finds no room is dropped
 * and counted, and the recovery by probing serves.
 */
#ifndef DAEMON_TELL_QUEUE_H
#define DAEMON_TELL_QUEUE_H

#include <pthread.h>

#include "chervilmast/action.h"
#include "chervilmast/counter.h"
#include "chervilmast/outbox.h"

/** Most bindings and loads that wait. */
#define CM_TELLS_MAX 4096

/**
 * struct cm_tell - a binding or a load that waits
 * @kind: CM_ACTION_SEND_BINDING or CM_ACTION_SEND_LOAD; another value once it
 * was taken
 * @to: control address of the receiver
 * @binding: for TELL
 * @load: for LOAD
 */
struct cm_tell {
	enum cm_action_kind kind;
	struct cm_endpoint to;
	union {
		struct cm_message_binding binding;
		struct cm_message_load load;
	};
};

/**
 * struct cm_tell_queue - the queue
 * @counters: where it counts
 * @lock: guards all below
 * @items: what waits; owned
 * @count: number of @items
 */
struct cm_tell_queue {
	struct cm_counters *counters;
	pthread_mutex_t lock;
	struct cm_tell *items;
	uint32_t count;
};

/**
 * cm_tell_queue_is_empty() - whether all was taken out
 * @queue: the queue
 *
 * Return: true if so.
 */
bool cm_tell_queue_is_empty(struct cm_tell_queue *queue);

/**
 * cm_tell_queue_init() - make an empty queue
 * @queue: memory of the caller
 * @counters: where it counts
 *
 * Return: 0 or CM_E_MEMORY.
 */
int cm_tell_queue_init(struct cm_tell_queue *queue,
		       struct cm_counters *counters);

/**
 * cm_tell_queue_finish() - free what a queue holds
 * @queue: the queue; its memory stays the caller's
 */
void cm_tell_queue_finish(struct cm_tell_queue *queue);

/**
 * cm_tell_queue_add() - put in what an action tells; from any thread
 * @queue: the queue
 * @action: an action TELL or LOAD
 */
void cm_tell_queue_add(struct cm_tell_queue *queue,
		       const struct cm_action *action);

/**
 * cm_tell_queue_take() - take everything out
 * @queue: the queue
 * @outbox: one message for each receiver and kind is appended
 */
void cm_tell_queue_take(struct cm_tell_queue *queue, struct cm_outbox *outbox);

#endif
