/**
 * DOC: Event loops of the HTTP client and server
 */
#ifndef ADAPTERS_EVENT_LOOP_H
#define ADAPTERS_EVENT_LOOP_H

#include <event2/event.h>

/**
 * struct cm_event_loop - an event loop that another thread can end
 * @base: the library's loop; NULL while there is none
 * @stop: event of @stop_fd
 * @stop_fd: readable once the loop is to end
 */
struct cm_event_loop {
	struct event_base *base;
	struct event *stop;
	int stop_fd;
};

/**
 * cm_event_loop_init() - make a loop
 * @loop: memory of the caller
 *
 * Return: 0 or CM_E_IO.
 */
int cm_event_loop_init(struct cm_event_loop *loop);

/**
 * cm_event_loop_stop() - end the loop; from any thread
 * @loop: the loop
 */
void cm_event_loop_stop(struct cm_event_loop *loop);

/**
 * cm_event_loop_finish() - free the loop, after all that uses it
 * @loop: the loop; its memory stays the caller's
 */
void cm_event_loop_finish(struct cm_event_loop *loop);

#endif
