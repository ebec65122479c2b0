#include "udp_link.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "chervilmast/error.h"
#include "socket.h"

#define SOCKET_BUFFER_SIZE (4 * 1024 * 1024)

/*
 * Returns 0 after the timeout, after another thread has taken the datagram that
 * ended the wait, and after a receive error other than EBADF.
 */
static int udp_receive(struct cm_link *base, uint8_t *bytes, size_t room,
		       uint32_t timeout_ms, struct cm_endpoint *from)
{
	struct cm_udp_link *link = (struct cm_udp_link *)base;
	struct pollfd poll_fd = { .fd = link->fd, .events = POLLIN };
	struct sockaddr_in address;
	socklen_t size = sizeof(address);
	ssize_t got;

	got = recvfrom(link->fd, bytes, room, MSG_DONTWAIT,
		       (struct sockaddr *)&address, &size);
	if (got < 0) {
		if (poll(&poll_fd, 1, (int)timeout_ms) <= 0)
			return 0;
		size = sizeof(address);
		got = recvfrom(link->fd, bytes, room, MSG_DONTWAIT,
			       (struct sockaddr *)&address, &size);
	}
	if (got < 0)
		return errno == EBADF ? CM_E_IO : 0;
	*from = cm_socket_endpoint(&address, IPPROTO_UDP);
	return (int)got;
}

static int udp_send(struct cm_link *base, const struct cm_endpoint *to,
		    const uint8_t *head, size_t head_length,
		    const uint8_t *body, size_t body_length)
{
	struct cm_udp_link *link = (struct cm_udp_link *)base;
	struct sockaddr_in address = cm_socket_address(to);
	struct iovec parts[] = {
		{ .iov_base = (void *)head, .iov_len = head_length },
		{ .iov_base = (void *)body, .iov_len = body_length },
	};
	struct msghdr message = {
		.msg_name = &address,
		.msg_namelen = sizeof(address),
		.msg_iov = parts,
		.msg_iovlen = 2,
	};

	return sendmsg(link->fd, &message, 0) < 0 ? CM_E_IO : CM_OK;
}

static const struct cm_link_ops udp_link_ops = {
	.receive = udp_receive,
	.send = udp_send,
};

int cm_udp_link_init(struct cm_udp_link *link,
		     const struct cm_endpoint *address)
{
	struct sockaddr_in bound = cm_socket_address(address);
	int size = SOCKET_BUFFER_SIZE;

	link->base.ops = &udp_link_ops;
	link->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (link->fd < 0)
		return CM_E_IO;
	setsockopt(link->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(link->fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	if (bind(link->fd, (struct sockaddr *)&bound, sizeof(bound)) < 0) {
		cm_udp_link_finish(link);
		return CM_E_IO;
	}
	return CM_OK;
}

void cm_udp_link_finish(struct cm_udp_link *link)
{
	if (link->fd >= 0)
		close(link->fd);
	link->fd = -1;
}
