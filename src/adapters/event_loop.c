#include "event_loop.h"

#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "chervilmast/error.h"

static void on_stop(evutil_socket_t fd, short events, void *user)
{
	struct cm_event_loop *loop = user;

	(void)fd;
	(void)events;
	event_base_loopbreak(loop->base);
}

/*
 * Creates a loop without locks, as only one thread runs it. Environment
 * variables must not change libevent's polling method.
 */
static struct event_base *make_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	if (!config)
		return NULL;
	event_config_set_flag(config, EVENT_BASE_FLAG_IGNORE_ENV);
	event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

int cm_event_loop_init(struct cm_event_loop *loop)
{
	loop->stop = NULL;
	loop->base = make_base();
	loop->stop_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (loop->base && loop->stop_fd >= 0)
		loop->stop = event_new(loop->base, loop->stop_fd, EV_READ,
				       on_stop, loop);
	if (loop->stop && !event_add(loop->stop, NULL))
		return CM_OK;
	cm_event_loop_finish(loop);
	return CM_E_IO;
}

void cm_event_loop_stop(struct cm_event_loop *loop)
{
	if (loop->stop_fd >= 0)
		eventfd_write(loop->stop_fd, 1);
}

void cm_event_loop_finish(struct cm_event_loop *loop)
{
	if (loop->stop)
		event_free(loop->stop);
	if (loop->base)
		event_base_free(loop->base);
	if (loop->stop_fd >= 0)
		close(loop->stop_fd);
	memset(loop, 0, sizeof(*loop));
	loop->stop_fd = -1;
}
