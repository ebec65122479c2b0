#include "peer_tcp.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chervilmast/error.h"
#include "message_msgpack.h"
#include "ports/clock.h"
#include "socket.h"

/** Time without traffic after which a connection is closed, ms. */
#define IDLE_TIMEOUT_MS 30000
/** Idle timeout above SHORT_TIMEOUT_COUNT connections, ms. */
#define IDLE_TIMEOUT_SHORT_MS 1000
/** Number of connections above which IDLE_TIMEOUT_SHORT_MS applies. */
#define SHORT_TIMEOUT_COUNT (CM_PEER_CONNECTIONS_MAX / 4 * 3)
/** Time for which a connection may have unsent bytes without sending any before
 * it is closed, ms. */
#define SEND_TIMEOUT_MS 1500
#define BACKLOG 64
/** Interval between attempts to open the listening socket, ms. */
#define LISTEN_RETRY_MS 1000
#define LISTENER_INDEX 0
#define WAKE_INDEX 1
#define FIRST_CONNECTION_INDEX 2

static void set_socket_options(int fd)
{
	int on = 1;
	unsigned int timeout_ms = SEND_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
}

static struct cm_peer_connection *add_connection(struct cm_peer_tcp *peers,
						 int fd)
{
	struct cm_peer_connection *connection;

	if (peers->count >= CM_PEER_CONNECTIONS_MAX) {
		cm_counters_add(peers->counters, CM_C_DROP_CONNECTIONS);
		close(fd);
		return NULL;
	}
	connection = malloc(sizeof(*connection));
	if (!connection) {
		close(fd);
		return NULL;
	}
	cm_peer_connection_init(connection, fd, cm_clock_ms());
	LIST_INSERT_HEAD(&peers->connections, connection, link);
	peers->count++;
	return connection;
}

static void free_connection(struct cm_peer_connection *connection)
{
	cm_peer_connection_finish(connection);
	free(connection);
}

static void remove_connection(struct cm_peer_tcp *peers,
			      struct cm_peer_connection *connection)
{
	if (cm_peer_connection_has_pending(connection))
		cm_counters_add(peers->counters, CM_C_DROP_MESSAGE_UNSENT);
	LIST_REMOVE(connection, link);
	peers->count--;
	free_connection(connection);
}

static struct cm_peer_connection *open_connection(struct cm_peer_tcp *peers,
						  const struct cm_endpoint *to)
{
	struct sockaddr_in address = cm_socket_address(to);
	struct cm_peer_connection *connection;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0)
		return NULL;
	set_socket_options(fd);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	connection = add_connection(peers, fd);
	if (connection)
		connection->peer = *to;
	return connection;
}

static struct cm_peer_connection *find_connection(struct cm_peer_tcp *peers,
						  const struct cm_endpoint *to)
{
	struct cm_peer_connection *connection;

	LIST_FOREACH(connection, &peers->connections, link)
	if (cm_endpoint_equal(&connection->peer, to))
		return connection;
	return open_connection(peers, to);
}

/*
 * Called with the lock held. Counts the message as sent once it is queued, or
 * as dropped if the send queue has no room for it.
 */
static int queue_message(struct cm_peer_tcp *peers,
			 struct cm_peer_connection *connection,
			 const struct cm_message *message)
{
	char *bytes;
	size_t size;
	int error = cm_message_write(message, &bytes, &size);

	if (error)
		return error;
	error = cm_peer_connection_queue(connection, bytes, size,
					 cm_clock_ms());
	free(bytes);
	if (error) {
		cm_counters_add(peers->counters, CM_C_DROP_MESSAGE_QUEUE);
		return error;
	}
	cm_counters_add(peers->counters, CM_C_MESSAGES_SENT);
	cm_counters_add_many(peers->counters, CM_C_CONTROL_BYTES_SENT,
			     size + sizeof(uint32_t));
	return CM_OK;
}

static int tcp_send(struct cm_peers *base, const struct cm_endpoint *to,
		    const struct cm_message *message)
{
	struct cm_peer_tcp *peers = (struct cm_peer_tcp *)base;
	struct cm_peer_connection *connection;
	uint64_t one = 1;
	int error = CM_E_UNAVAILABLE;

	pthread_mutex_lock(&peers->lock);
	connection = find_connection(peers, to);
	if (connection)
		error = queue_message(peers, connection, message);
	pthread_mutex_unlock(&peers->lock);
	/* A write that fails is not an error: see cm_peer_tcp_wake(). */
	if (!error && write(peers->wake_fd, &one, sizeof(one)) < 0)
		return CM_OK;
	return error;
}

static void accept_connections(struct cm_peer_tcp *peers)
{
	int fd;

	while ((fd = accept(peers->listener, NULL, NULL)) >= 0) {
		fcntl(fd, F_SETFD, FD_CLOEXEC);
		fcntl(fd, F_SETFL, O_NONBLOCK);
		set_socket_options(fd);
		add_connection(peers, fd);
	}
}

/* Called without the lock, as the handler may call tcp_send(). */
static int handle_frame(struct cm_peer_tcp *peers,
			struct cm_peer_connection *connection,
			const char *bytes, size_t size)
{
	const struct cm_peers_handler *handler = &peers->base.handler;
	struct cm_message message, answer;
	int error = cm_message_read(&message, bytes, size);

	if (error) {
		cm_counters_add(peers->counters, CM_C_DROP_MESSAGE_MALFORMED);
		return error;
	}
	cm_counters_add(peers->counters, CM_C_MESSAGES_RECEIVED);
	if (handler->receive(handler->user, &message, &answer)) {
		pthread_mutex_lock(&peers->lock);
		queue_message(peers, connection, &answer);
		pthread_mutex_unlock(&peers->lock);
		cm_message_finish(&answer);
	}
	cm_message_finish(&message);
	return CM_OK;
}

/* Needs no lock: only this thread accesses the receive buffers. */
static int handle_input(struct cm_peer_tcp *peers,
			struct cm_peer_connection *connection)
{
	const char *bytes;
	size_t size;
	int result = cm_peer_connection_read(connection, cm_clock_ms());

	if (result)
		return result;
	while ((result = cm_peer_connection_next(connection, &bytes, &size)) >
	       0) {
		result = handle_frame(peers, connection, bytes, size);
		if (result)
			return result;
	}
	if (result)
		cm_counters_add(peers->counters, CM_C_DROP_MESSAGE_MALFORMED);
	return result;
}

static bool is_timed_out(const struct cm_peer_tcp *peers,
			 const struct cm_peer_connection *connection,
			 uint64_t now_ms)
{
	uint64_t idle_ms = peers->count > SHORT_TIMEOUT_COUNT ?
				   IDLE_TIMEOUT_SHORT_MS :
				   IDLE_TIMEOUT_MS;

	if (cm_peer_connection_has_pending(connection))
		return now_ms - connection->last_progress_ms > SEND_TIMEOUT_MS;
	return now_ms - connection->last_used_ms > idle_ms;
}

static size_t fill_poll_set(struct cm_peer_tcp *peers, struct pollfd *set)
{
	struct cm_peer_connection *connection;
	size_t count = FIRST_CONNECTION_INDEX;

	set[LISTENER_INDEX] =
		(struct pollfd){ .fd = peers->listener, .events = POLLIN };
	set[WAKE_INDEX] =
		(struct pollfd){ .fd = peers->wake_fd, .events = POLLIN };
	LIST_FOREACH(connection, &peers->connections, link)
	{
		bool has_pending = cm_peer_connection_has_pending(connection);

		set[count].fd = connection->fd;
		set[count].events = has_pending ? POLLIN | POLLOUT : POLLIN;
		connection->poll_index = count++;
	}
	return count;
}

/*
 * Called without the lock. The connection stays valid without it, as only this
 * thread removes connections.
 */
static void serve_connection(struct cm_peer_tcp *peers,
			     struct cm_peer_connection *connection,
			     short events)
{
	uint64_t now_ms;
	int error = CM_OK;

	if (events & (POLLIN | POLLHUP | POLLERR))
		error = handle_input(peers, connection);
	pthread_mutex_lock(&peers->lock);
	/*
	 * Read after handle_input() and with the lock held: the connection must
	 * not have been used later than now_ms, or is_timed_out() wraps around.
	 */
	now_ms = cm_clock_ms();
	if (!error && cm_peer_connection_has_pending(connection))
		error = cm_peer_connection_write(connection, now_ms);
	if (error || is_timed_out(peers, connection, now_ms))
		remove_connection(peers, connection);
	pthread_mutex_unlock(&peers->lock);
}

static void serve_connections(struct cm_peer_tcp *peers,
			      const struct pollfd *set)
{
	struct cm_peer_connection *connection, *next;

	pthread_mutex_lock(&peers->lock);
	connection = LIST_FIRST(&peers->connections);
	pthread_mutex_unlock(&peers->lock);
	for (; connection; connection = next) {
		/* 0 for a connection opened after the poll set was filled. */
		size_t index = connection->poll_index;

		next = LIST_NEXT(connection, link);
		serve_connection(peers, connection,
				 index ? set[index].revents : 0);
	}
}

static void close_fd(int *fd)
{
	if (*fd >= 0)
		close(*fd);
	*fd = -1;
}

static int open_listener(struct cm_peer_tcp *peers)
{
	struct sockaddr_in address = cm_socket_address(&peers->control);
	int on = 1;

	peers->listen_retry_ms = cm_clock_ms() + LISTEN_RETRY_MS;
	peers->listener =
		socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	setsockopt(peers->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(peers->listener, (struct sockaddr *)&address,
		 sizeof(address)) ||
	    listen(peers->listener, BACKLOG)) {
		close_fd(&peers->listener);
		return CM_E_BIND;
	}
	return CM_OK;
}

static int tcp_run(struct cm_peers *base, uint32_t timeout_ms)
{
	struct cm_peer_tcp *peers = (struct cm_peer_tcp *)base;
	struct pollfd set[CM_PEER_CONNECTIONS_MAX + FIRST_CONNECTION_INDEX];
	uint64_t wakes;
	size_t count;

	if (peers->listener < 0 && cm_clock_ms() >= peers->listen_retry_ms)
		open_listener(peers);
	pthread_mutex_lock(&peers->lock);
	count = fill_poll_set(peers, set);
	pthread_mutex_unlock(&peers->lock);
	if (poll(set, count, (int)timeout_ms) < 0)
		return CM_OK;
	if (set[WAKE_INDEX].revents &&
	    read(peers->wake_fd, &wakes, sizeof(wakes)) < 0)
		return CM_E_IO;
	serve_connections(peers, set);
	if (set[LISTENER_INDEX].revents) {
		pthread_mutex_lock(&peers->lock);
		accept_connections(peers);
		pthread_mutex_unlock(&peers->lock);
	}
	return CM_OK;
}

static const struct cm_peers_ops tcp_ops = {
	.send = tcp_send,
	.run = tcp_run,
};

int cm_peer_tcp_init_client(struct cm_peer_tcp *peers,
			    const struct cm_peers_handler *handler,
			    struct cm_counters *counters)
{
	memset(peers, 0, sizeof(*peers));
	peers->base.ops = &tcp_ops;
	peers->base.handler = *handler;
	peers->counters = counters;
	peers->listener = -1;
	peers->listen_retry_ms = UINT64_MAX;
	LIST_INIT(&peers->connections);
	pthread_mutex_init(&peers->lock, NULL);
	peers->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (peers->wake_fd < 0) {
		cm_peer_tcp_finish(peers);
		return CM_E_IO;
	}
	return CM_OK;
}

int cm_peer_tcp_init(struct cm_peer_tcp *peers,
		     const struct cm_endpoint *control,
		     const struct cm_peers_handler *handler,
		     struct cm_counters *counters)
{
	int error = cm_peer_tcp_init_client(peers, handler, counters);

	if (error)
		return error;
	peers->control = *control;
	return open_listener(peers);
}

void cm_peer_tcp_wake(struct cm_peer_tcp *peers)
{
	uint64_t one = 1;

	/*
	 * Fails only when the eventfd's counter is at its maximum. The eventfd
	 * is then readable, which interrupts the wait as well.
	 */
	if (write(peers->wake_fd, &one, sizeof(one)) < 0)
		return;
}

void cm_peer_tcp_finish(struct cm_peer_tcp *peers)
{
	struct cm_peer_connection *connection, *next;

	for (connection = LIST_FIRST(&peers->connections); connection;
	     connection = next) {
		next = LIST_NEXT(connection, link);
		free_connection(connection);
	}
	close_fd(&peers->listener);
	close_fd(&peers->wake_fd);
	pthread_mutex_destroy(&peers->lock);
}
