#include "reach_probe.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"

void cm_reach_probe_init(struct cm_reach_probe *probe)
{
	probe->fd = -1;
}

void cm_reach_probe_finish(struct cm_reach_probe *probe)
{
	if (probe->fd >= 0)
		close(probe->fd);
	probe->fd = -1;
}

void cm_reach_probe_start(struct cm_reach_probe *probe, uint32_t token,
			  const struct cm_endpoint *address, uint64_t now_ms)
{
	struct sockaddr_in to = cm_socket_address(address);

	cm_reach_probe_finish(probe);
	probe->token = token;
	probe->started_ms = now_ms;
	probe->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (probe->fd < 0)
		return;
	if (connect(probe->fd, (struct sockaddr *)&to, sizeof(to)) < 0 &&
	    errno != EINPROGRESS)
		cm_reach_probe_finish(probe);
}

bool cm_reach_probe_check(struct cm_reach_probe *probe)
{
	struct pollfd poll_fd = { .fd = probe->fd, .events = POLLOUT };
	int error = 0;
	socklen_t size = sizeof(error);

	if (probe->fd < 0 || poll(&poll_fd, 1, 0) <= 0)
		return false;
	if (getsockopt(probe->fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0)
		error = errno;
	cm_reach_probe_finish(probe);
	return !error;
}
