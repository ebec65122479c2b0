#include "tell_queue.h"

#include <stdlib.h>
#include <string.h>

#include "chervilmast/error.h"

/** Kind of an item that was taken out; the queue has no items of this kind. */
#define TAKEN CM_ACTION_RELAY

int cm_tell_queue_init(struct cm_tell_queue *queue,
		       struct cm_counters *counters)
{
	memset(queue, 0, sizeof(*queue));
	queue->counters = counters;
	queue->items = calloc(CM_TELLS_MAX, sizeof(*queue->items));
	if (!queue->items)
		return CM_E_MEMORY;
	pthread_mutex_init(&queue->lock, NULL);
	return CM_OK;
}

void cm_tell_queue_finish(struct cm_tell_queue *queue)
{
	if (!queue->items)
		return;
	free(queue->items);
	queue->items = NULL;
	pthread_mutex_destroy(&queue->lock);
}

void cm_tell_queue_add(struct cm_tell_queue *queue,
		       const struct cm_action *action)
{
	struct cm_tell tell = { .kind = action->kind };

	tell.to = action->peer_control;
	if (action->kind == CM_ACTION_LOAD) {
		tell.load = action->load;
	} else {
		tell.binding.flow = action->flow;
		tell.binding.server = action->server;
	}
	pthread_mutex_lock(&queue->lock);
	if (queue->count < CM_TELLS_MAX)
		queue->items[queue->count++] = tell;
	else
		cm_counters_add(queue->counters, CM_C_DROP_BINDINGS_QUEUE);
	pthread_mutex_unlock(&queue->lock);
}

bool cm_tell_queue_is_empty(struct cm_tell_queue *queue)
{
	bool empty;

	pthread_mutex_lock(&queue->lock);
	empty = !queue->count;
	pthread_mutex_unlock(&queue->lock);
	return empty;
}

static bool belongs(const struct cm_tell *tell, const struct cm_tell *first)
{
	return tell->kind == first->kind &&
	       cm_endpoint_equal(&tell->to, &first->to);
}

/* Number of items from @first on of the same kind and receiver as @first. */
static uint32_t count_like(const struct cm_tell_queue *queue, uint32_t first)
{
	uint32_t count = 0;

	for (uint32_t i = first; i < queue->count; i++)
		if (belongs(&queue->items[i], &queue->items[first]))
			count++;
	return count;
}

static void take_bindings(struct cm_tell_queue *queue, uint32_t first,
			  struct cm_message_bindings *bindings)
{
	struct cm_tell like = queue->items[first];
	uint32_t count = 0;

	if (cm_message_bindings_reserve(bindings, count_like(queue, first)))
		return;
	for (uint32_t i = first; i < queue->count; i++) {
		struct cm_tell *tell = &queue->items[i];

		if (!belongs(tell, &like))
			continue;
		bindings->items[count++] = tell->binding;
		tell->kind = TAKEN;
	}
}

static void take_loads(struct cm_tell_queue *queue, uint32_t first,
		       struct cm_message_loads *loads)
{
	struct cm_tell like = queue->items[first];
	uint32_t count = 0;

	if (cm_message_loads_reserve(loads, count_like(queue, first)))
		return;
	for (uint32_t i = first; i < queue->count; i++) {
		struct cm_tell *tell = &queue->items[i];

		if (!belongs(tell, &like))
			continue;
		loads->items[count++] = tell->load;
		tell->kind = TAKEN;
	}
}

static void take_like(struct cm_tell_queue *queue, uint32_t first,
		      struct cm_outbox *outbox)
{
	const struct cm_tell *tell = &queue->items[first];
	bool is_load = tell->kind == CM_ACTION_LOAD;
	struct cm_message *message =
		cm_outbox_add(outbox, &tell->to,
			      is_load ? CM_MESSAGE_LOADS : CM_MESSAGE_BINDINGS);

	if (!message)
		return;
	if (is_load)
		take_loads(queue, first, &message->loads);
	else
		take_bindings(queue, first, &message->bindings);
}

void cm_tell_queue_take(struct cm_tell_queue *queue, struct cm_outbox *outbox)
{
	pthread_mutex_lock(&queue->lock);
	for (uint32_t i = 0; i < queue->count; i++)
		if (queue->items[i].kind != TAKEN)
			take_like(queue, i, outbox);
	queue->count = 0;
	pthread_mutex_unlock(&queue->lock);
}
