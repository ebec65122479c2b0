/**
 * DOC: Priority queue of timed events
 *
 * Returns events in order of time, and those with the same time in the order in
 * which they were added.
 */
#ifndef FAKE_EVENT_QUEUE_H
#define FAKE_EVENT_QUEUE_H

#include <stddef.h>
#include <stdint.h>

/**
 * struct fake_event - a timed event; first member of the structs that are
 * queued
 * @due_us: time of the event, microseconds
 * @order: sequence number of its addition; orders events with the same time
 */
struct fake_event {
	uint64_t due_us;
	uint64_t order;
};

/**
 * struct fake_event_queue - queue of events
 * @heap: binary heap of the queued events
 * @count: number of entries in @heap
 * @capacity: number of entries that @heap has room for
 * @added_count: number of entries added so far
 */
struct fake_event_queue {
	struct fake_event **heap;
	size_t count;
	size_t capacity;
	uint64_t added_count;
};

/**
 * fake_event_queue_add() - queue an event
 * @queue: the queue; a zeroed struct is an empty queue
 * @event: the event, allocated with malloc(); owned by the queue until taken
 * @due_us: time of the event, microseconds
 */
void fake_event_queue_add(struct fake_event_queue *queue,
			  struct fake_event *event, uint64_t due_us);

/**
 * fake_event_queue_take() - remove the next event that is due
 * @queue: the queue
 * @now_us: current time, microseconds
 *
 * Return: the event, which the caller frees, or NULL when none is due.
 */
struct fake_event *fake_event_queue_take(struct fake_event_queue *queue,
					 uint64_t now_us);

/**
 * fake_event_queue_finish() - free the queue's array and the events left in it
 * @queue: the queue; its memory stays the caller's
 */
void fake_event_queue_finish(struct fake_event_queue *queue);

#endif
