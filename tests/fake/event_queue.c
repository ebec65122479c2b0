#include "fake/event_queue.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAPACITY 1024

static int due_before(const struct fake_event *a, const struct fake_event *b)
{
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us;
	return a->order < b->order;
}

static void swap(struct fake_event_queue *queue, size_t a, size_t b)
{
	struct fake_event *kept = queue->heap[a];

	queue->heap[a] = queue->heap[b];
	queue->heap[b] = kept;
}

static void reserve(struct fake_event_queue *queue)
{
	if (queue->count < queue->capacity)
		return;
	queue->capacity =
		queue->capacity ? queue->capacity * 2 : FIRST_CAPACITY;
	queue->heap = realloc(queue->heap,
			      queue->capacity * sizeof(struct fake_event *));
	if (!queue->heap)
		abort();
}

void fake_event_queue_add(struct fake_event_queue *queue,
			  struct fake_event *event, uint64_t due_us)
{
	size_t at, parent;

	reserve(queue);
	event->due_us = due_us;
	event->order = queue->added_count++;
	at = queue->count++;
	queue->heap[at] = event;
	while (at) {
		parent = (at - 1) / 2;
		if (!due_before(queue->heap[at], queue->heap[parent]))
			break;
		swap(queue, at, parent);
		at = parent;
	}
}

struct fake_event *fake_event_queue_take(struct fake_event_queue *queue,
					 uint64_t now_us)
{
	struct fake_event *first;
	size_t at = 0, child;

	if (!queue->count || queue->heap[0]->due_us > now_us)
		return NULL;
	first = queue->heap[0];
	queue->heap[0] = queue->heap[--queue->count];
	while ((child = at * 2 + 1) < queue->count) {
		if (child + 1 < queue->count &&
		    due_before(queue->heap[child + 1], queue->heap[child]))
			child++;
		if (!due_before(queue->heap[child], queue->heap[at]))
			break;
		swap(queue, at, child);
		at = child;
	}
	return first;
}

void fake_event_queue_finish(struct fake_event_queue *queue)
{
	for (size_t i = 0; i < queue->count; i++)
		free(queue->heap[i]);
	free(queue->heap);
	memset(queue, 0, sizeof(*queue));
}
