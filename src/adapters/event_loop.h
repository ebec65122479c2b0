/**
 * DOC: Event loops of the HTTP client and server
 */
#ifndef ADAPTERS_EVENT_LOOP_H
#define ADAPTERS_EVENT_LOOP_H

#include <event2/event.h>

/**
 * struct cm_event_loop - an event loop that another thread can stop
 * @base: loop of libevent; NULL when not initialised
 * @stop: event that stops the loop when @stop_fd is readable
 * @stop_fd: eventfd, readable once the loop is to stop; -1 when not initialised
 */
struct cm_event_loop {
	struct event_base *base;
	struct event *stop;
	int stop_fd;
};

/**
 * cm_event_loop_init() - initialise a loop
 * @loop: memory owned by the calling function
 *
 * Return: 0 or CM_E_IO.
 */
int cm_event_loop_init(struct cm_event_loop *loop);

/**
 * cm_event_loop_stop() - stop the loop; may be called from any thread
 * @loop: the loop
 */
void cm_event_loop_stop(struct cm_event_loop *loop);

/**
 * cm_event_loop_finish() - free the loop, after all objects that use it
 * @loop: the loop; the struct itself is not freed
 */
void cm_event_loop_finish(struct cm_event_loop *loop);

#endif
