#include "notification_queue.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

/**
 * Replaces the kind of an item that was copied to a message. CM_ACTION_RELAY
 * can't be the kind of another item, as it is never queued.
 */
#define KIND_TAKEN CM_ACTION_RELAY

int cm_notification_queue_init(struct cm_notification_queue *queue,
			       struct cm_counters *counters)
{
	memset(queue, 0, sizeof(*queue));
	queue->counters = counters;
	queue->items = calloc(CM_NOTIFICATIONS_MAX, sizeof(*queue->items));
	if (!queue->items)
		return CM_E_MEMORY;
	pthread_mutex_init(&queue->lock, NULL);
	return CM_OK;
}

void cm_notification_queue_finish(struct cm_notification_queue *queue)
{
	if (!queue->items)
		return;
	free(queue->items);
	queue->items = NULL;
	pthread_mutex_destroy(&queue->lock);
}

void cm_notification_queue_add(struct cm_notification_queue *queue,
			       const struct cm_action *action)
{
	struct cm_notification item = { .kind = action->kind };

	item.to = action->peer_control;
	if (action->kind == CM_ACTION_SEND_LOAD) {
		item.load = action->load;
	} else {
		item.binding.flow = action->flow;
		item.binding.server = action->server;
	}
	pthread_mutex_lock(&queue->lock);
	if (queue->count < CM_NOTIFICATIONS_MAX)
		queue->items[queue->count++] = item;
	else
		cm_counters_add(queue->counters, CM_C_DROP_BINDINGS_QUEUE);
	pthread_mutex_unlock(&queue->lock);
}

bool cm_notification_queue_is_empty(struct cm_notification_queue *queue)
{
	bool is_empty;

	pthread_mutex_lock(&queue->lock);
	is_empty = !queue->count;
	pthread_mutex_unlock(&queue->lock);
	return is_empty;
}

static bool is_same_batch(const struct cm_notification *item,
			  const struct cm_notification *first)
{
	return item->kind == first->kind &&
	       cm_endpoint_equal(&item->to, &first->to);
}

/*
 * Number of items, from index @first to the end, that have the same kind and
 * receiver as the item at @first.
 */
static uint32_t count_batch(const struct cm_notification_queue *queue,
			    uint32_t first)
{
	uint32_t count = 0;

	for (uint32_t i = first; i < queue->count; i++)
		if (is_same_batch(&queue->items[i], &queue->items[first]))
			count++;
	return count;
}

static void take_bindings(struct cm_notification_queue *queue, uint32_t first,
			  struct cm_message_bindings *bindings)
{
	struct cm_notification key = queue->items[first];
	uint32_t count = 0;

	if (cm_message_bindings_reserve(bindings, count_batch(queue, first)))
		return;
	for (uint32_t i = first; i < queue->count; i++) {
		struct cm_notification *item = &queue->items[i];

		if (!is_same_batch(item, &key))
			continue;
		bindings->items[count++] = item->binding;
		item->kind = KIND_TAKEN;
	}
}

static void take_loads(struct cm_notification_queue *queue, uint32_t first,
		       struct cm_message_loads *loads)
{
	struct cm_notification key = queue->items[first];
	uint32_t count = 0;

	if (cm_message_loads_reserve(loads, count_batch(queue, first)))
		return;
	for (uint32_t i = first; i < queue->count; i++) {
		struct cm_notification *item = &queue->items[i];

		if (!is_same_batch(item, &key))
			continue;
		loads->items[count++] = item->load;
		item->kind = KIND_TAKEN;
	}
}

/*
 * If memory runs out, no item of the batch is marked as taken, and
 * cm_notification_queue_take() retries with the next item of the batch. Items
 * that are never taken are dropped without being counted.
 */
static void take_batch(struct cm_notification_queue *queue, uint32_t first,
		       struct cm_outbox *outbox)
{
	const struct cm_notification *item = &queue->items[first];
	bool is_load = item->kind == CM_ACTION_SEND_LOAD;
	struct cm_message *message =
		cm_outbox_add(outbox, &item->to,
			      is_load ? CM_MESSAGE_LOADS : CM_MESSAGE_BINDINGS);

	if (!message)
		return;
	if (is_load)
		take_loads(queue, first, &message->loads);
	else
		take_bindings(queue, first, &message->bindings);
}

void cm_notification_queue_take(struct cm_notification_queue *queue,
				struct cm_outbox *outbox)
{
	pthread_mutex_lock(&queue->lock);
	for (uint32_t i = 0; i < queue->count; i++)
		if (queue->items[i].kind != KIND_TAKEN)
			take_batch(queue, i, outbox);
	queue->count = 0;
	pthread_mutex_unlock(&queue->lock);
}
